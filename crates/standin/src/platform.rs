//! Stand-in for the platform: the object API over HTTP, with injected faults.

use crate::{
    http::{
        json_response, numeric_query_parameter, query_parameter, read_json_body, read_request_body,
    },
    store::{Precondition, Store},
};
use async_std::{channel, future::timeout, net::TcpListener, task};
use http_types::{
    Method, Request, Response, StatusCode,
    headers::{IF_MATCH, IF_NONE_MATCH},
};
use ibissail_core::Revision;
use ibissail_object_store::{
    ChangesBody, ListingBody, OBJECTS_PATH, ObjectBody, VMS_PATH, VmRecord, WATCH_PATH,
};
use ibissail_transport::{Caller, ServerOptions, ShutdownSignal, serve};
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Faults injected into the platform through `/control/faults`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Responds to every call with status 503.
    pub down: bool,
    /// Delay before each call is processed, in milliseconds.
    pub delay_ms: u64,
    /// Delay between applying a write and responding to it, in milliseconds.
    pub answer_delay_ms: u64,
    /// Number of further writes that are processed but get status 504 as their response.
    pub lose_answers: u32,
    /// Age of the returned list of VMs, in milliseconds.
    pub list_lag_ms: u64,
}

/// Counters of the platform, reported at `/control/counts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads and listings of objects.
    pub reads: u64,
    /// Writes, including those whose precondition failed.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
    /// Maximum number of watches that were waiting at the same time.
    pub most_waiting: u64,
    /// Reads of the list of VMs.
    pub vm_lists: u64,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    faults: PlatformFaults,
    counts: PlatformCounts,
}

type Shared = Arc<Mutex<State>>;

/// Serves the object API until shutdown.
pub async fn run_platform(listener: TcpListener, shutdown: ShutdownSignal) {
    let state = Shared::default();
    let options = ServerOptions::default();
    serve(listener, options, shutdown, move |req, caller| {
        handle_request(Arc::clone(&state), req, caller)
    })
    .await;
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle_request(state: Shared, mut req: Request, caller: Caller) -> Response {
    let path = req.url().path().to_owned();
    if let Some(control) = path.strip_prefix("/control/") {
        return handle_control(&state, control, &mut req).await;
    }
    let faults = lock(&state).faults.clone();
    task::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.down {
        return Response::new(StatusCode::ServiceUnavailable);
    }
    match (req.method(), path.as_str()) {
        (Method::Get, VMS_PATH) => vms(&state, &faults),
        (Method::Get, WATCH_PATH) => watch(&state, &req, &caller).await,
        (Method::Get, OBJECTS_PATH) => list(&state, &req),
        (Method::Get, path) => get(&state, path),
        (Method::Put | Method::Delete, path) => write(&state, path, &mut req).await,
        _ => Response::new(StatusCode::MethodNotAllowed),
    }
}

async fn handle_control(state: &Shared, path: &str, req: &mut Request) -> Response {
    match (req.method(), path) {
        (Method::Put, "faults") => {
            let faults = read_json_body(req).await;
            lock(state).faults = faults;
            Response::new(StatusCode::Ok)
        }
        (Method::Get, "counts") => json_response(200, &lock(state).counts),
        (Method::Put, "vms") => {
            match serde_json::from_slice::<VmRecord>(&read_request_body(req).await) {
                Ok(record) => {
                    lock(state).store.set_vm(record);
                    Response::new(StatusCode::Ok)
                }
                Err(_) => Response::new(StatusCode::BadRequest),
            }
        }
        (Method::Delete, path) => match path.strip_prefix("vms/") {
            Some(vm) => {
                lock(state).store.remove_vm(vm);
                Response::new(StatusCode::Ok)
            }
            None => Response::new(StatusCode::NotFound),
        },
        _ => Response::new(StatusCode::NotFound),
    }
}

fn vms(state: &Shared, faults: &PlatformFaults) -> Response {
    let mut state = lock(state);
    state.counts.vm_lists += 1;
    json_response(200, &state.store.vms(Duration::from_millis(faults.list_lag_ms)))
}

fn list(state: &Shared, req: &Request) -> Response {
    let mut state = lock(state);
    state.counts.reads += 1;
    let (objects, revision) = state.store.list(&query_parameter(req, "prefix").unwrap_or_default());
    json_response(200, &ListingBody { objects, revision })
}

fn get(state: &Shared, path: &str) -> Response {
    let mut state = lock(state);
    state.counts.reads += 1;
    let object = object_key(path).and_then(|key| state.store.get(&key));
    let status = if object.is_some() { 200 } else { 404 };
    json_response(status, &ObjectBody { object })
}

/// Key of the object at a path; `None` for any other path.
fn object_key(path: &str) -> Option<String> {
    let key = path.strip_prefix(OBJECTS_PATH)?.strip_prefix('/')?;
    Some(percent_decode_str(key).decode_utf8_lossy().into_owned())
}

/// Waits for changes below a prefix until the wait is over or the caller disconnects.
async fn watch(state: &Shared, req: &Request, caller: &Caller) -> Response {
    let prefix = query_parameter(req, "prefix").unwrap_or_default();
    let from = numeric_query_parameter(req, "from").unwrap_or_default();
    let wait = Duration::from_millis(numeric_query_parameter(req, "wait_ms").unwrap_or_default());
    let deadline = Instant::now() + wait;
    count_watch(state);
    let changes = loop {
        let (tx, rx) = channel::bounded::<()>(1);
        let (changes, revision) = {
            let mut state = lock(state);
            state.store.add_waiter(tx);
            state.store.changes(&prefix, from)
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        if !changes.is_empty() || time_left.is_zero() {
            break ChangesBody { changes, revision };
        }
        let disconnected = async {
            caller.disconnected().await;
            true
        };
        let notified = async {
            let _closed = timeout(time_left, rx.recv()).await;
            false
        };
        if futures_lite::future::or(notified, disconnected).await {
            break ChangesBody { changes: Vec::new(), revision };
        }
    };
    lock(state).counts.waiting -= 1;
    if lock(state).faults.down {
        return Response::new(StatusCode::ServiceUnavailable);
    }
    json_response(200, &changes)
}

fn count_watch(state: &Shared) {
    let counts = &mut lock(state).counts;
    counts.watches += 1;
    counts.waiting += 1;
    counts.most_waiting = counts.most_waiting.max(counts.waiting);
}

async fn write(state: &Shared, path: &str, req: &mut Request) -> Response {
    let Some(key) = object_key(path) else {
        return Response::new(StatusCode::NotFound);
    };
    let Some(precondition) = parse_precondition(req) else {
        return Response::new(StatusCode::PreconditionRequired);
    };
    let value = match req.method() {
        Method::Delete => None,
        _ => Some(String::from_utf8_lossy(&read_request_body(req).await).into_owned()),
    };
    let (result, loses_response, delay) = {
        let mut state = lock(state);
        state.counts.writes += 1;
        let delay = Duration::from_millis(state.faults.answer_delay_ms);
        let loses_response = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        (state.store.write(&key, precondition, value), loses_response, delay)
    };
    task::sleep(delay).await;
    if loses_response {
        return Response::new(StatusCode::GatewayTimeout);
    }
    match result {
        Ok(object) => json_response(200, &ObjectBody { object: Some(object) }),
        Err(object) => json_response(412, &ObjectBody { object }),
    }
}

/// Precondition in the headers of a write; `None` when it is missing or invalid.
fn parse_precondition(req: &Request) -> Option<Precondition> {
    if req.header(IF_NONE_MATCH).is_some() {
        return Some(Precondition::Absent);
    }
    let base: u64 = req.header(IF_MATCH)?.as_str().parse().ok()?;
    Some(Precondition::RevisionIs(Revision(base)))
}
