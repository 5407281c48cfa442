//! A plain service whose calls have an effect that may not be repeated.

use crate::control::{body_of, json, json_of};
use async_std::{net::TcpListener, task};
use http_types::{Method, Request, Response, StatusCode};
use ibissail_transport::{Caller, ServerOptions, ShutdownSignal, serve};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Faults of the service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Time before the effect.
    pub before_ms: u64,
    /// Time between the effect and the answer.
    pub after_ms: u64,
    /// The effect takes place, and the answer is an error.
    pub fail_after: bool,
}

/// What the service has done.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Effects by idempotency key.
    pub effects: BTreeMap<String, u64>,
    /// Calls that have arrived whole, by idempotency key.
    #[serde(default)]
    pub arrivals: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct State {
    faults: ServiceFaults,
    counts: ServiceCounts,
}

type Shared = Arc<Mutex<State>>;

/// Serves the plain service until the stop.
pub async fn run_service(listener: TcpListener, stop: ShutdownSignal) {
    let state = Shared::default();
    let options = ServerOptions::default();
    serve(listener, options, stop, move |req, _: Caller| answer(Arc::clone(&state), req)).await;
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(state: Shared, mut req: Request) -> Response {
    match (req.method(), req.url().path()) {
        (Method::Put, "/control/faults") => {
            let faults = json_of(&mut req).await;
            lock(&state).faults = faults;
            Response::new(StatusCode::Ok)
        }
        (Method::Get, "/control/counts") => json(200, &lock(&state).counts),
        _ => act(&state, req).await,
    }
}

async fn act(state: &Shared, mut req: Request) -> Response {
    let faults = lock(state).faults.clone();
    let key = req.header("idempotency-key").map(|h| h.as_str().to_owned()).unwrap_or_default();
    let body = body_of(&mut req).await;
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
    let done = serde_json::json!({"key": key, "effect": count, "bytes": body.len()});
    json(200, &done)
}
