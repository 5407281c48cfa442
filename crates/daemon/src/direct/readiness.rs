//! Tells the balancer whether this entry takes requests, and serves metrics.

use super::Direct;
use crate::clock::since_boot;
use async_std::net::TcpListener;
use http_types::{Request, Response, StatusCode};
use ibissail_core::Millis;
use ibissail_platform::{METRICS_PATH, READINESS_PATH};
use ibissail_transport::{ServerOptions, ShutdownSignal, serve};
use std::{sync::Arc, time::Duration};

/// Age of the configuration from which requests with a key are better served elsewhere.
const MAX_READY_AGE: Millis = Millis(3_500);
const OPTIONS: ServerOptions =
    ServerOptions { head_timeout: Duration::from_secs(10), max_connections: 64 };

impl Direct {
    /// Whether this entry should be given new connections.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state();
        let is_fresh = state.freshness.age(since_boot()).is_some_and(|age| age < MAX_READY_AGE);
        !self.is_stopping() && state.table.is_some() && is_fresh && !state.replicas.is_empty()
    }
}

pub(super) async fn serve_readiness(
    direct: Arc<Direct>,
    listener: TcpListener,
    stop: ShutdownSignal,
) {
    serve(listener, OPTIONS, stop, move |req: Request, _caller| {
        let direct = Arc::clone(&direct);
        async move {
            if req.url().path() != READINESS_PATH {
                return Response::new(StatusCode::NotFound);
            }
            let is_ready = direct.is_ready();
            Response::new(if is_ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable })
        }
    })
    .await;
}

pub(super) async fn serve_metrics(
    direct: Arc<Direct>,
    listener: TcpListener,
    stop: ShutdownSignal,
) {
    serve(listener, OPTIONS, stop, move |req: Request, _caller| {
        let direct = Arc::clone(&direct);
        async move {
            if req.url().path() != METRICS_PATH {
                return Response::new(StatusCode::NotFound);
            }
            let age = direct.state().freshness.age(since_boot()).unwrap_or_default();
            direct.metrics.configuration_age.set(i64::try_from(age.0).unwrap_or(i64::MAX));
            let mut res = Response::new(StatusCode::Ok);
            res.set_body(direct.metrics.text());
            res
        }
    })
    .await;
}
