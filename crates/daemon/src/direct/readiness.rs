//! Serves the readiness check of the load balancer, and the metrics.

use super::Shared;
use crate::clock::since_boot;
use async_std::net::TcpListener;
use http_types::{Request, Response, StatusCode};
use ibissail_core::Millis;
use ibissail_platform::{METRICS_PATH, READINESS_PATH};
use ibissail_transport::{ServerOptions, ShutdownSignal, serve};
use std::{sync::Arc, time::Duration};

/// Age of the configuration from which the entry is not ready, so that the load balancer sends
/// requests with an API key to another entry.
const MAX_READY_AGE: Millis = Millis(3_500);
/// Options of the readiness server and of the metrics server.
const SERVER_OPTIONS: ServerOptions =
    ServerOptions { head_timeout: Duration::from_secs(10), max_connections: 64 };

impl Shared {
    /// Whether the load balancer should send new connections to this entry: it is not stopping,
    /// knows a replica and the evacuated zones, and has a recently confirmed configuration that is not
    /// in doubt.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state();
        let knows_evacuations = state.knows_evacuations(since_boot());
        let is_fresh = state.freshness.age(since_boot()).is_some_and(|age| age < MAX_READY_AGE);
        !self.is_stopping()
            && state.table.is_some()
            && is_fresh
            && !state.replicas.is_empty()
            && state.configuration_doubt(since_boot()).is_none()
            && knows_evacuations
    }
}

pub(super) async fn serve_readiness(
    shared: Arc<Shared>,
    listener: TcpListener,
    stop: ShutdownSignal,
) {
    serve(listener, SERVER_OPTIONS, stop, move |req: Request, _caller| {
        let shared = Arc::clone(&shared);
        async move {
            if req.url().path() != READINESS_PATH {
                return Response::new(StatusCode::NotFound);
            }
            let is_ready = shared.is_ready();
            Response::new(if is_ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable })
        }
    })
    .await;
}

pub(super) async fn serve_metrics(
    shared: Arc<Shared>,
    listener: TcpListener,
    stop: ShutdownSignal,
) {
    serve(listener, SERVER_OPTIONS, stop, move |req: Request, _caller| {
        let shared = Arc::clone(&shared);
        async move {
            if req.url().path() != METRICS_PATH {
                return Response::new(StatusCode::NotFound);
            }
            let age = shared.state().freshness.age(since_boot()).unwrap_or_default();
            shared.metrics.configuration_age.set(i64::try_from(age.0).unwrap_or(i64::MAX));
            let mut res = Response::new(StatusCode::Ok);
            res.set_body(shared.metrics.encode_text());
            res
        }
    })
    .await;
}
