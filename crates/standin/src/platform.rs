//! The platform's object API over HTTP, with faults on demand.

use crate::{
    control::{body_of, json, json_of, query, query_number},
    store::{Condition, Store},
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
use serde::{Deserialize, Serialize};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Faults of the platform stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every call is answered with 503.
    pub down: bool,
    /// Every call waits so long first.
    pub delay_ms: u64,
    /// Every write waits so long between its effect and its answer.
    pub answer_delay_ms: u64,
    /// So many next writes take effect, and their answers are lost.
    pub lose_answers: u32,
    /// The list of VMs is so old.
    pub list_lag_ms: u64,
}

/// Calls that the platform stand-in has counted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads and lists.
    pub reads: u64,
    /// Writes, with those whose condition failed.
    pub writes: u64,
    /// Watches begun.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Most watches that ever waited at the same time.
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

/// Serves the object API until the stop.
pub async fn run_platform(listener: TcpListener, stop: ShutdownSignal) {
    let state = Shared::default();
    let options = ServerOptions::default();
    serve(listener, options, stop, move |req, caller| answer(Arc::clone(&state), req, caller))
        .await;
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(state: Shared, mut req: Request, caller: Caller) -> Response {
    let path = req.url().path().to_owned();
    if let Some(control) = path.strip_prefix("/control/") {
        return answer_control(&state, control, &mut req).await;
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

async fn answer_control(state: &Shared, path: &str, req: &mut Request) -> Response {
    match (req.method(), path) {
        (Method::Put, "faults") => {
            let faults = json_of(req).await;
            lock(state).faults = faults;
            Response::new(StatusCode::Ok)
        }
        (Method::Get, "counts") => json(200, &lock(state).counts),
        (Method::Put, "vms") => match serde_json::from_slice::<VmRecord>(&body_of(req).await) {
            Ok(record) => {
                lock(state).store.set_vm(record);
                Response::new(StatusCode::Ok)
            }
            Err(_) => Response::new(StatusCode::BadRequest),
        },
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
    json(200, &state.store.vms(Duration::from_millis(faults.list_lag_ms)))
}

fn list(state: &Shared, req: &Request) -> Response {
    let mut state = lock(state);
    state.counts.reads += 1;
    let (objects, revision) = state.store.list(&query(req, "prefix").unwrap_or_default());
    json(200, &ListingBody { objects, revision })
}

fn get(state: &Shared, path: &str) -> Response {
    let mut state = lock(state);
    state.counts.reads += 1;
    let object = key_of(path).and_then(|key| state.store.get(&key));
    let status = if object.is_some() { 200 } else { 404 };
    json(status, &ObjectBody { object })
}

fn key_of(path: &str) -> Option<String> {
    path.strip_prefix(OBJECTS_PATH)?.strip_prefix('/').map(str::to_owned)
}

async fn watch(state: &Shared, req: &Request, caller: &Caller) -> Response {
    let prefix = query(req, "prefix").unwrap_or_default();
    let from = query_number(req, "from").unwrap_or_default();
    let wait = Duration::from_millis(query_number(req, "wait_ms").unwrap_or_default());
    let until = Instant::now() + wait;
    begin_watch(state);
    let changes = loop {
        let (tx, rx) = channel::bounded::<()>(1);
        let (changes, revision) = {
            let mut state = lock(state);
            state.store.wait(tx);
            state.store.changes(&prefix, from)
        };
        let rest = until.saturating_duration_since(Instant::now());
        if !changes.is_empty() || rest.is_zero() {
            break ChangesBody { changes, revision };
        }
        let gone = async {
            caller.disconnected().await;
            true
        };
        let woken = async {
            let _written = timeout(rest, rx.recv()).await;
            false
        };
        if futures_lite::future::or(woken, gone).await {
            break ChangesBody { changes: Vec::new(), revision };
        }
    };
    lock(state).counts.waiting -= 1;
    if lock(state).faults.down {
        return Response::new(StatusCode::ServiceUnavailable);
    }
    json(200, &changes)
}

fn begin_watch(state: &Shared) {
    let counts = &mut lock(state).counts;
    counts.watches += 1;
    counts.waiting += 1;
    counts.most_waiting = counts.most_waiting.max(counts.waiting);
}

async fn write(state: &Shared, path: &str, req: &mut Request) -> Response {
    let Some(key) = key_of(path) else {
        return Response::new(StatusCode::NotFound);
    };
    let Some(condition) = condition_of(req) else {
        return Response::new(StatusCode::PreconditionRequired);
    };
    let value = match req.method() {
        Method::Delete => None,
        _ => Some(String::from_utf8_lossy(&body_of(req).await).into_owned()),
    };
    let (result, lost, delay) = {
        let mut state = lock(state);
        state.counts.writes += 1;
        let delay = Duration::from_millis(state.faults.answer_delay_ms);
        let lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        (state.store.write(&key, condition, value), lost, delay)
    };
    task::sleep(delay).await;
    if lost {
        return Response::new(StatusCode::GatewayTimeout);
    }
    match result {
        Ok(object) => json(200, &ObjectBody { object: Some(object) }),
        Err(object) => json(412, &ObjectBody { object }),
    }
}

fn condition_of(req: &Request) -> Option<Condition> {
    if req.header(IF_NONE_MATCH).is_some() {
        return Some(Condition::Absent);
    }
    let base: u64 = req.header(IF_MATCH)?.as_str().parse().ok()?;
    Some(Condition::At(Revision(base)))
}
