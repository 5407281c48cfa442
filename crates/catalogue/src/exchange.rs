//! Anti-entropy between two processes: they compare digests, then revisions, and then send the
//! documents that differ.

use crate::{Document, DocumentRevision, Documents, MergeOutcome};
use serde::{Deserialize, Serialize};

/// A request of an anti-entropy exchange.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Digest of the sender's documents.
    pub digest: u64,
    /// Revisions of all documents of the sender; sent after the digests have differed.
    #[serde(rename = "stamps")]
    pub revisions: Option<Vec<DocumentRevision>>,
    /// Documents that may be missing or stale at the receiver.
    pub documents: Vec<Document>,
}

/// The reply to an exchange.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Digest of the receiver's documents after it has merged the received ones.
    pub digest: u64,
    /// Documents that are missing or stale at the sender.
    pub documents: Vec<Document>,
    /// Keys of documents that are missing or stale at the receiver.
    pub wanted: Vec<String>,
    /// Number of sent documents that were newer than the receiver's.
    #[serde(rename = "news")]
    pub accepted: u32,
}

/// The first request of an exchange: the digest, and documents to push, if any.
#[must_use]
pub fn initial_exchange(documents: &Documents, push: Vec<Document>) -> Exchange {
    Exchange { digest: documents.digest(), revisions: None, documents: push }
}

/// Merges the documents of a request; returns those that were newer, and the reply.
pub fn handle_exchange(
    documents: &mut Documents,
    message: Exchange,
) -> (Vec<Document>, ExchangeReply) {
    let updated = merge_documents(documents, message.documents);
    let (newer, wanted) = match &message.revisions {
        Some(revisions) => (documents.newer_than(revisions), documents.stale_keys(revisions)),
        None => (Vec::new(), Vec::new()),
    };
    let reply = ExchangeReply {
        digest: documents.digest(),
        documents: newer,
        wanted,
        accepted: u32::try_from(updated.len()).unwrap_or(u32::MAX),
    };
    (updated, reply)
}

/// Merges documents; returns those that were newer than the known ones.
pub fn merge_documents(documents: &mut Documents, received: Vec<Document>) -> Vec<Document> {
    let mut updated = Vec::new();
    for document in received {
        if documents.merge(document.clone()) == MergeOutcome::Newer {
            updated.push(document);
        }
    }
    updated
}
