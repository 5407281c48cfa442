//! Stand-in for a plain service, one that serves no model. Its calls have an effect that must not
//! be repeated.

use crate::http::{json_response, read_json_body, read_request_body};
use async_std::{net::TcpListener, task};
use http_types::{Method, Request, Response, StatusCode};
use ibissail_transport::{Caller, ServerOptions, ShutdownSignal, serve};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Faults injected into the service through `/control/faults`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Delay before the effect, in milliseconds.
    pub before_ms: u64,
    /// Delay between the effect and the response, in milliseconds.
    pub after_ms: u64,
    /// The effect takes place, but the response has status 500.
    pub fail_after: bool,
}

/// Counters of the service, reported at `/control/counts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Number of effects by idempotency key.
    pub effects: BTreeMap<String, u64>,
    /// Number of calls received completely, by idempotency key.
    #[serde(default)]
    pub arrivals: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct State {
    faults: ServiceFaults,
    counts: ServiceCounts,
}

type Shared = Arc<Mutex<State>>;

/// Serves the service until shutdown.
pub async fn run_service(listener: TcpListener, shutdown: ShutdownSignal) {
    let state = Shared::default();
    let options = ServerOptions::default();
    serve(listener, options, shutdown, move |req, _: Caller| {
        handle_request(Arc::clone(&state), req)
    })
    .await;
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle_request(state: Shared, mut req: Request) -> Response {
    match (req.method(), req.url().path()) {
        (Method::Put, "/control/faults") => {
            let faults = read_json_body(&mut req).await;
            lock(&state).faults = faults;
            Response::new(StatusCode::Ok)
        }
        (Method::Get, "/control/counts") => json_response(200, &lock(&state).counts),
        _ => handle_call(&state, req).await,
    }
}

/// Counts the effect of a call by its idempotency key, with the configured delays around it.
async fn handle_call(state: &Shared, mut req: Request) -> Response {
    let faults = lock(state).faults.clone();
    let key = req.header("idempotency-key").map(|h| h.as_str().to_owned()).unwrap_or_default();
    let body = read_request_body(&mut req).await;
    *lock(state).counts.arrivals.entry(key.clone()).or_default() += 1;
    task::sleep(Duration::from_millis(faults.before_ms)).await;
    let count = {
        let mut state = lock(state);
        let count = state.counts.effects.entry(key.clone()).or_default();
        *count += 1;
        *count
    };
    task::sleep(Duration::from_millis(faults.after_ms)).await;
    if faults.fail_after {
        return Response::new(StatusCode::InternalServerError);
    }
    let result = serde_json::json!({"key": key, "effect": count, "bytes": body.len()});
    json_response(200, &result)
}
