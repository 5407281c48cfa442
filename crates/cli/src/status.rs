//! Shows branches, withdrawals, VMs and the status of a process.

use crate::{
    cli::OutputFormat,
    error::CommandError,
    http::fetch,
    output::{print, table},
};
use ibissail_catalogue::{BRANCH_PREFIX, WITHDRAWALS_KEY, Withdrawals};
use ibissail_object_store::{ObjectApi, VmRecord};
use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;

#[derive(Debug, Serialize)]
struct Status {
    branches: Vec<BranchStatus>,
    withdrawals: Withdrawals,
    vms: Vec<VmRecord>,
    process: Option<Value>,
}

#[derive(Debug, Serialize)]
struct BranchStatus {
    branch: String,
    revision: u64,
}

/// Prints branches, withdrawals and VMs, and the status of `process` if it is given.
pub(crate) async fn show<P>(
    platform: &P,
    process: Option<SocketAddr>,
    output: OutputFormat,
) -> Result<(), CommandError>
where
    P: ObjectApi,
{
    let listing = platform.list(BRANCH_PREFIX).await?;
    let branches = listing.objects.iter().map(|object| BranchStatus {
        branch: object.key.trim_start_matches(BRANCH_PREFIX).to_owned(),
        revision: object.revision.0,
    });
    let withdrawals = match platform.get(WITHDRAWALS_KEY).await? {
        Some(object) => serde_json::from_str(&object.value)
            .map_err(|error| CommandError::Failed(format!("{WITHDRAWALS_KEY}: {error}")))?,
        None => Withdrawals::default(),
    };
    let process = match process {
        Some(address) => Some(fetch_process_status(address).await?),
        None => None,
    };
    let vms = platform.list_vms().await?.vms;
    let status = Status { branches: branches.collect(), withdrawals, vms, process };
    print(output, &status, format_status);
    Ok(())
}

async fn fetch_process_status(address: SocketAddr) -> Result<Value, CommandError> {
    let body = fetch(address, "/status").await?;
    serde_json::from_slice(&body).map_err(|error| CommandError::Failed(error.to_string()))
}

fn format_status(status: &Status) -> String {
    let mut rows = vec![vec!["BRANCH".to_owned(), "REVISION".to_owned()]];
    for branch in &status.branches {
        rows.push(vec![branch.branch.clone(), branch.revision.to_string()]);
    }
    let mut text = table(&rows);
    let mut rows = vec![vec!["VERSION".to_owned(), "STANDING".to_owned()]];
    for (version, standing) in &status.withdrawals {
        rows.push(vec![version.to_string(), standing.to_string()]);
    }
    text.push('\n');
    text.push_str(&table(&rows));
    let mut rows = vec![["VM", "ZONE", "OFFERS", "STATE"].map(str::to_owned).to_vec()];
    for vm in &status.vms {
        let offers = vm.offers.as_ref().map(ToString::to_string).unwrap_or_default();
        let state = format!("{:?}", vm.state).to_lowercase();
        rows.push(vec![vm.vm.to_string(), vm.zone.to_string(), offers, state]);
    }
    text.push('\n');
    text.push_str(&table(&rows));
    if let Some(process) = &status.process {
        text.push('\n');
        text.push_str(&serde_json::to_string_pretty(process).unwrap_or_default());
        text.push('\n');
    }
    text
}
