//! Periodic tasks of a sidecar: cancels withdrawn and abandoned runs, expires old ones, writes
//! ledgers.

use crate::sidecar::{Shared, records, runs};
use async_std::task;
use ibissail_catalogue::Purpose;
use ibissail_core::{ErrorKind, Fault, Millis, Ran};
use ibissail_execution::{RunKey, RunRequest};
use ibissail_settings::OnWithdrawal;
use std::{sync::Arc, time::Duration};

const INTERVAL: Duration = Duration::from_millis(200);
/// How long an attempt keeps running without a reader, so that its entry can reconnect.
const ABANDONED_AFTER: Millis = Millis(5_000);

/// Runs the periodic tasks until the process stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    while !shared.node.is_stopping() {
        cancel_withdrawn(&shared);
        cancel_abandoned(&shared);
        let now = shared.node.now();
        shared.table().expire(now);
        records::flush(&shared, now).await;
        task::sleep(INTERVAL).await;
    }
}

fn cancel_withdrawn(shared: &Shared) {
    let requests: Vec<Arc<RunRequest>> =
        shared.active().values().map(|active| Arc::clone(&active.request)).collect();
    for req in requests {
        if let Some(fault) = withdrawal_fault(shared, &req) {
            runs::cancel(shared, &req.key, fault);
        }
    }
}

/// Fault to cancel a run with, if its version is withdrawn and its organisation cancels such runs.
fn withdrawal_fault(shared: &Shared, req: &RunRequest) -> Option<Fault> {
    let catalogue = shared.node.catalogue();
    let organisation = catalogue.organisation(&req.organisation).ok()?;
    if organisation.settings.on_withdrawal != OnWithdrawal::Cancel {
        return None;
    }
    let fault = catalogue.authorize(&organisation, &req.target, Purpose::Session).err()?;
    let is_withdrawn = fault.kind == ErrorKind::VersionWithdrawn;
    is_withdrawn.then_some(Fault { ran: Ran::Yes, ..fault })
}

fn cancel_abandoned(shared: &Shared) {
    let now = shared.node.now();
    let abandoned: Vec<RunKey> = shared.table().abandoned(ABANDONED_AFTER, now);
    for key in abandoned {
        runs::cancel(
            shared,
            &key,
            Fault::new(ErrorKind::Incomplete, "no entry reads the response"),
        );
    }
}
