//! Gossip of settings: pushes new documents, and runs anti-entropy with random peers.

use crate::node::Node;
use async_std::task;
use ibissail_catalogue::{Document, Exchange, ExchangeReply, PUSH_FANOUT, choose_peers};
use ibissail_execution::paths;
use ibissail_transport::CallError;
use slog::debug;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Interval between two anti-entropy exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval until the process is synced.
const INITIAL_EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Exchanges settings with a random peer at regular intervals, until the process stops.
pub(crate) async fn run(node: Arc<Node>) {
    while !node.is_stopping() {
        let peer = choose_peers(&node.peers.addresses(), None, 1, &mut rand::rng()).pop();
        if let Some(peer) = peer {
            match reconcile(&node, peer).await {
                Ok(()) => node.peers.mark_synced(peer),
                Err(error) => debug!(node.log, "gossip: exchange failed";
                    "peer" => peer, "error" => %error),
            }
        }
        task::sleep(if node.is_synced() { EXCHANGE_INTERVAL } else { INITIAL_EXCHANGE_INTERVAL })
            .await;
    }
}

/// Pushes new documents to `PUSH_FANOUT` random peers.
pub(crate) fn push(node: &Arc<Node>, new_documents: &[Document]) {
    let peers = choose_peers(&node.peers.addresses(), None, PUSH_FANOUT, &mut rand::rng());
    for peer in peers {
        let (node, message) =
            (Arc::clone(node), node.settings.initial_exchange(new_documents.to_vec()));
        task::spawn(async move {
            let _unreachable = send(&node, peer, &message).await;
        });
    }
}

/// Compares digests with a peer; if they differ, exchanges the documents that either side lacks.
async fn reconcile(node: &Arc<Node>, peer: SocketAddr) -> Result<(), CallError> {
    let initial = node.settings.initial_exchange(Vec::new());
    let reply = send(node, peer, &initial).await?;
    if reply.digest == node.settings.digest() {
        return Ok(());
    }
    let revisions = Some(node.settings.revisions());
    let reply = send(node, peer, &Exchange { revisions, ..initial }).await?;
    if !reply.wanted.is_empty() {
        let documents = node.settings.documents(&reply.wanted);
        let offer = Exchange { documents, ..node.settings.initial_exchange(Vec::new()) };
        send(node, peer, &offer).await?;
    }
    node.merge_documents(reply.documents);
    Ok(())
}

async fn send(
    node: &Node,
    peer: SocketAddr,
    message: &Exchange,
) -> Result<ExchangeReply, CallError> {
    node.call(peer, paths::EXCHANGE, message, EXCHANGE_TIMEOUT).await
}
