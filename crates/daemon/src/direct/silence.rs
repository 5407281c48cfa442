//! Keeps an attempt open while its replica is silent and another replica is asked.

use super::{
    retry::Target,
    upstream::{Exchange, UpstreamResponse},
};
use async_std::task;
use futures_lite::{FutureExt, future};
use std::{future::Future, time::Duration};

/// Time that a successor has to refuse a request before the silent attempt is closed. Replicas
/// refuse at once, and two of them must not work on one request for longer than 400 ms.
const HANDOVER_TIME: Duration = Duration::from_millis(300);

/// How far an attempt got before its replica fell silent.
#[derive(Debug)]
pub(super) enum Upstream {
    /// The head of the response has not arrived.
    Unanswered(Exchange),
    /// The head has arrived, the body not completely.
    Answering(UpstreamResponse),
}

/// An attempt whose replica is silent. The replica may be sound and go on, so that the attempt is
/// given up only for one that another replica has taken over.
#[derive(Debug)]
pub(super) struct SilentAttempt {
    pub(super) target: Target,
    pub(super) upstream: Upstream,
}

/// Waits for the head of a successor's response, and closes the silent attempt once the successor
/// has had time to refuse the request.
pub(super) async fn hand_over<F, T>(silent: &mut Option<SilentAttempt>, head: F) -> T
where
    F: Future<Output = T>,
{
    let closing = async {
        task::sleep(HANDOVER_TIME).await;
        *silent = None;
        future::pending().await
    };
    head.or(closing).await
}
