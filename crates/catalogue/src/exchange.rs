//! Anti-entropy between two processes: compare digests, then stamps, then send documents.

use crate::{Document, Documents, Merged, Stamp};
use serde::{Deserialize, Serialize};

/// A message of an exchange.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Digest of the sender's documents.
    pub digest: u64,
    /// All stamps of the sender, once the digests differed.
    pub stamps: Option<Vec<Stamp>>,
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
    pub news: u32,
}

/// The first message: a digest, and documents to push, if any.
#[must_use]
pub fn opening(documents: &Documents, push: Vec<Document>) -> Exchange {
    Exchange { digest: documents.digest(), stamps: None, documents: push }
}

/// Takes a message in; returns what was new, and the answer.
pub fn answer(documents: &mut Documents, message: Exchange) -> (Vec<Document>, ExchangeReply) {
    let news = learn(documents, message.documents);
    let (newer, wanted) = match &message.stamps {
        Some(stamps) => (documents.newer_than(stamps), documents.behind(stamps)),
        None => (Vec::new(), Vec::new()),
    };
    let reply = ExchangeReply {
        digest: documents.digest(),
        documents: newer,
        wanted,
        news: u32::try_from(news.len()).unwrap_or(u32::MAX),
    };
    (news, reply)
}

/// Merges documents; returns those that were new.
pub fn learn(documents: &mut Documents, offered: Vec<Document>) -> Vec<Document> {
    let mut news = Vec::new();
    for document in offered {
        if documents.merge(document.clone()) == Merged::Newer {
            news.push(document);
        }
    }
    news
}
