//! Anti-entropy between two processes: compare digests, then stamps, then send documents.

use crate::{Document, DocumentRevision, Documents, MergeOutcome};
use serde::{Deserialize, Serialize};

/// A message of an exchange.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Digest of the sender's documents.
    pub digest: u64,
    /// All stamps of the sender, once the digests differed.
    #[serde(rename = "stamps")]
    pub revisions: Option<Vec<DocumentRevision>>,
    /// Documents that the receiver may lack.
    pub documents: Vec<Document>,
}

/// The answer to an exchange.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Digest of the receiver's documents, after the message.
    pub digest: u64,
    /// Documents that the sender lacks.
    pub documents: Vec<Document>,
    /// Keys of documents that the receiver lacks.
    pub wanted: Vec<String>,
    /// How many of the sent documents were news.
    #[serde(rename = "news")]
    pub accepted: u32,
}

/// The first message: a digest, and documents to push, if any.
#[must_use]
pub fn initial_exchange(documents: &Documents, push: Vec<Document>) -> Exchange {
    Exchange { digest: documents.digest(), revisions: None, documents: push }
}

/// Takes a message in; returns what was new, and the answer.
pub fn handle_exchange(
    documents: &mut Documents,
    message: Exchange,
) -> (Vec<Document>, ExchangeReply) {
    let news = merge_documents(documents, message.documents);
    let (newer, wanted) = match &message.revisions {
        Some(revisions) => (documents.newer_than(revisions), documents.stale_keys(revisions)),
        None => (Vec::new(), Vec::new()),
    };
    let reply = ExchangeReply {
        digest: documents.digest(),
        documents: newer,
        wanted,
        accepted: u32::try_from(news.len()).unwrap_or(u32::MAX),
    };
    (news, reply)
}

/// Merges documents; returns those that were new.
pub fn merge_documents(documents: &mut Documents, offered: Vec<Document>) -> Vec<Document> {
    let mut news = Vec::new();
    for document in offered {
        if documents.merge(document.clone()) == MergeOutcome::Newer {
            news.push(document);
        }
    }
    news
}
