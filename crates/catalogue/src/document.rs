//! Local copies of the platform's settings documents. The revision of a copy only increases.

use ibissail_core::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key and revision of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DocumentRevision {
    /// Key in the platform.
    pub key: String,
    /// Revision in the platform.
    pub revision: Revision,
}

/// A document at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Key in the platform.
    pub key: String,
    /// Revision in the platform.
    pub revision: Revision,
    /// Contents, or `None` when the document has been deleted.
    pub value: Option<String>,
}

/// Result of merging a received document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The document was newer and has replaced the known one.
    Newer,
    /// The same revision was known.
    Same,
    /// A newer revision was known.
    Older,
}

/// The newest known revision of each document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Documents {
    known: BTreeMap<String, Document>,
}

impl Documents {
    /// Stores a document unless the same or a newer revision of it is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_catalogue::{Document, Documents, MergeOutcome};
    /// use ibissail_core::Revision;
    /// let at = |revision| Document { key: "k".into(), revision: Revision(revision), value: None };
    /// let mut documents = Documents::default();
    /// assert_eq!(documents.merge(at(2)), MergeOutcome::Newer);
    /// assert_eq!(documents.merge(at(1)), MergeOutcome::Older);
    /// ```
    pub fn merge(&mut self, document: Document) -> MergeOutcome {
        let known = self.revision(&document.key);
        match known {
            Some(known) if known > document.revision => MergeOutcome::Older,
            Some(known) if known == document.revision => MergeOutcome::Same,
            _ => {
                self.known.insert(document.key.clone(), document);
                MergeOutcome::Newer
            }
        }
    }

    /// Known revision of a document, or `None` when it is unknown.
    #[must_use]
    pub fn revision(&self, key: &str) -> Option<Revision> {
        self.known.get(key).map(|document| document.revision)
    }

    /// A document by its key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.known.get(key)
    }

    /// All documents, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Document> {
        self.known.values()
    }

    /// Keys and revisions of all documents.
    #[must_use]
    pub fn revisions(&self) -> Vec<DocumentRevision> {
        self.iter().map(|d| DocumentRevision { key: d.key.clone(), revision: d.revision }).collect()
    }

    /// Hash over the keys and revisions of all documents. Different sets of revisions have
    /// different digests, except for hash collisions.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.iter().fold(FNV_OFFSET, |hash, document| {
            let hash = fnv(hash, document.key.as_bytes());
            fnv(hash, &document.revision.0.to_be_bytes())
        })
    }

    /// Documents whose revision here is newer than in `revisions`, or that `revisions` does not
    /// contain.
    #[must_use]
    pub fn newer_than(&self, revisions: &[DocumentRevision]) -> Vec<Document> {
        let remote_revisions: BTreeMap<&str, Revision> =
            revisions.iter().map(|remote| (remote.key.as_str(), remote.revision)).collect();
        let is_newer =
            |d: &&Document| remote_revisions.get(d.key.as_str()).is_none_or(|r| *r < d.revision);
        self.iter().filter(is_newer).cloned().collect()
    }

    /// Keys in `revisions` whose document is older here, or unknown.
    #[must_use]
    pub fn stale_keys(&self, revisions: &[DocumentRevision]) -> Vec<String> {
        let is_newer = |remote: &&DocumentRevision| {
            self.revision(&remote.key).is_none_or(|local| local < remote.revision)
        };
        revisions.iter().filter(is_newer).map(|remote| remote.key.clone()).collect()
    }

    /// Whether no document is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Continues an FNV-1a hash over some bytes.
pub(crate) fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// FNV-1a hash of some strings, with a finalizer that mixes the high bits into the low ones.
pub(crate) fn hash(parts: &[&str]) -> u64 {
    let hash = parts.iter().fold(FNV_OFFSET, |hash, part| fnv(fnv(hash, part.as_bytes()), &[0]));
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
