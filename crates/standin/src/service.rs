//! Stand-in for a plain service, one that serves no model. Its calls have an effect that must not
//! be repeated.

use crate::http::{json_response, read_json_body, read_request_body};
use async_std::{net::TcpListener, task};
use http_types::{Method, Request, Response, StatusCode};
use ibissail_core::Millis;
use ibissail_platform::RATE_LIMIT_HEADER;
use ibissail_transport::{Caller, ServerOptions, ShutdownSignal, serve};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
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
    /// Rate that the service names in its responses, as text that may be no rate.
    pub limit: Option<String>,
}

/// Counters of the service, reported at `/control/counts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Number of effects by idempotency key.
    pub effects: BTreeMap<String, u64>,
    /// Number of calls received completely, by idempotency key.
    #[serde(default)]
    pub arrivals: BTreeMap<String, u64>,
    /// When each call was received, in Unix milliseconds.
    #[serde(default)]
    pub arrived_unix_ms: Vec<u64>,
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
    {
        let counts = &mut lock(state).counts;
        *counts.arrivals.entry(key.clone()).or_default() += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        counts.arrived_unix_ms.push(Millis::from(now).0);
    }
    task::sleep(Duration::from_millis(faults.before_ms)).await;
    let count = {
        let mut state = lock(state);
        let count = state.counts.effects.entry(key.clone()).or_default();
        *count += 1;
        *count
    };
    task::sleep(Duration::from_millis(faults.after_ms)).await;
    let mut res = if faults.fail_after {
        Response::new(StatusCode::InternalServerError)
    } else {
        let result = serde_json::json!({"key": key, "effect": count, "bytes": body.len()});
        json_response(200, &result)
    };
    if let Some(limit) = &faults.limit {
        res.insert_header(RATE_LIMIT_HEADER, limit.as_str());
    }
    res
}
