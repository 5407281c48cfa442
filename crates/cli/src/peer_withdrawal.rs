//! Withdraws a version through a process instead of the platform, while the platform is down.

use crate::{cli::OutputFormat, error::CommandError, output::print};
use ibissail_catalogue::{
    Documents, Exchange, ExchangeReply, LifecycleState, Standing, WITHDRAWALS_KEY, Withdrawals,
    merge_documents, pending_document,
};
use ibissail_core::ModelVersion;
use ibissail_execution::{Refusal, paths};
use ibissail_settings::parse_local;
use ibissail_transport::{Keyring, Pool, PoolOptions, call};
use serde_json::json;
use std::{fs, net::SocketAddr, path::Path, time::Duration};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the version's current generation from the process and sends it a withdrawal for that
/// generation. The process forwards the withdrawal to its peers and the platform.
pub(crate) async fn withdraw(
    process: SocketAddr,
    settings: &Path,
    version: &ModelVersion,
    new_state: LifecycleState,
    output: OutputFormat,
) -> Result<(), CommandError> {
    let keyring = read_keyring(settings)?;
    let pool = Pool::new(PoolOptions::default());
    // An empty list of revisions declares every document missing, so the reply has them all.
    let fetch_all = Exchange { revisions: Some(Vec::new()), ..Exchange::default() };
    let reply = send_exchange(&pool, &keyring, process, &fetch_all).await?;
    let mut documents = Documents::default();
    merge_documents(&mut documents, reply.documents);
    let generation = parse_withdrawals(&documents)?.standing(version).generation;
    let standing = Standing { generation, state: new_state };
    let documents = vec![pending_document(version, standing)];
    send_exchange(&pool, &keyring, process, &Exchange { documents, ..Exchange::default() }).await?;
    let value = json!({"version": version.to_string(), "standing": standing, "pending": true});
    print(output, &value, |_| {
        format!("{version} is {standing} at {process}, which notifies its peers and the platform\n")
    });
    Ok(())
}

fn read_keyring(settings: &Path) -> Result<Keyring, CommandError> {
    let name = settings.display().to_string();
    let text = fs::read_to_string(settings)
        .map_err(|error| CommandError::File(name.clone(), error.to_string()))?;
    Ok(Keyring::new(parse_local(&name, &text)?.peer_keys))
}

fn parse_withdrawals(documents: &Documents) -> Result<Withdrawals, CommandError> {
    match documents.get(WITHDRAWALS_KEY).and_then(|document| document.value.as_ref()) {
        Some(text) => serde_json::from_str(text)
            .map_err(|error| CommandError::Failed(format!("{WITHDRAWALS_KEY}: {error}"))),
        None => Ok(Withdrawals::default()),
    }
}

async fn send_exchange(
    pool: &Pool,
    keyring: &Keyring,
    process: SocketAddr,
    message: &Exchange,
) -> Result<ExchangeReply, CommandError> {
    let result: Result<Result<ExchangeReply, Refusal>, _> =
        call(pool, keyring, process, paths::EXCHANGE, message, REQUEST_TIMEOUT).await;
    let result = result.map_err(|error| CommandError::Failed(error.to_string()))?;
    result.map_err(|refusal| CommandError::Failed(refusal.fault.to_string()))
}
