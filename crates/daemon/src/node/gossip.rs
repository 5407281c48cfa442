//! Spreads settings between processes: pushes news, and compares with peers at random.

use crate::node::Node;
use async_std::task;
use ibissail_catalogue::{Document, Exchange, ExchangeReply, PUSH_FANOUT, choose_peers};
use ibissail_execution::paths;
use ibissail_transport::CallError;
use slog::debug;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Time between two comparisons.
const INTERVAL: Duration = Duration::from_millis(500);
/// The same while this process has no settings yet.
const FIRST_INTERVAL: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_secs(1);

/// Compares settings with a random peer from time to time.
pub(crate) async fn run(node: Arc<Node>) {
    while !node.is_stopping() {
        let peer = choose_peers(&node.peers.addresses(), None, 1, &mut rand::rng()).pop();
        if let Some(peer) = peer {
            match compare(&node, peer).await {
                Ok(()) => node.peers.set_answered(peer),
                Err(error) => debug!(node.log, "gossip: a peer does not answer";
                    "peer" => peer, "error" => %error),
            }
        }
        task::sleep(if node.is_synced() { INTERVAL } else { FIRST_INTERVAL }).await;
    }
}

/// Pushes news to a few peers at random.
pub(crate) fn push(node: &Arc<Node>, news: &[Document]) {
    let peers = choose_peers(&node.peers.addresses(), None, PUSH_FANOUT, &mut rand::rng());
    for peer in peers {
        let (node, message) = (Arc::clone(node), node.settings.opening(news.to_vec()));
        task::spawn(async move {
            let _unreachable = send(&node, peer, &message).await;
        });
    }
}

async fn compare(node: &Arc<Node>, peer: SocketAddr) -> Result<(), CallError> {
    let opening = node.settings.opening(Vec::new());
    let reply = send(node, peer, &opening).await?;
    if reply.digest == node.settings.digest() {
        return Ok(());
    }
    let stamps = Some(node.settings.stamps());
    let reply = send(node, peer, &Exchange { revisions: stamps, ..opening }).await?;
    if !reply.wanted.is_empty() {
        let documents = node.settings.documents(&reply.wanted);
        let offer = Exchange { documents, ..node.settings.opening(Vec::new()) };
        send(node, peer, &offer).await?;
    }
    node.learn(reply.documents);
    Ok(())
}

async fn send(
    node: &Node,
    peer: SocketAddr,
    message: &Exchange,
) -> Result<ExchangeReply, CallError> {
    node.call(peer, paths::EXCHANGE, message, TIMEOUT).await
}
