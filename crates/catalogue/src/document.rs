//! Copies of the platform's settings documents, whose versions only rise.

use ibissail_core::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key and version of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DocumentRevision {
    /// Key in the platform.
    pub key: String,
    /// Version in the platform.
    pub revision: Revision,
}

/// A document as it stood at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Key in the platform.
    pub key: String,
    /// Version in the platform.
    pub revision: Revision,
    /// The text, or `None` once it has been deleted.
    pub value: Option<String>,
}

/// What became of a document that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It was newer and has been taken.
    Newer,
    /// It was known.
    Same,
    /// A newer one was known.
    Older,
}

/// The newest known version of each document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Documents {
    known: BTreeMap<String, Document>,
}

impl Documents {
    /// Takes a document unless the same or a newer one is known.
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

    /// The known version of a document.
    #[must_use]
    pub fn revision(&self, key: &str) -> Option<Revision> {
        self.known.get(key).map(|document| document.revision)
    }

    /// A document.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.known.get(key)
    }

    /// All documents, by key.
    pub fn iter(&self) -> impl Iterator<Item = &Document> {
        self.known.values()
    }

    /// Key and version of all documents.
    #[must_use]
    pub fn revisions(&self) -> Vec<DocumentRevision> {
        self.iter().map(|d| DocumentRevision { key: d.key.clone(), revision: d.revision }).collect()
    }

    /// A number that differs, all but surely, when any version differs.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.iter().fold(FNV_OFFSET, |hash, document| {
            let hash = fnv(hash, document.key.as_bytes());
            fnv(hash, &document.revision.0.to_be_bytes())
        })
    }

    /// Documents that are newer here than the stamps say, or missing there.
    #[must_use]
    pub fn newer_than(&self, revisions: &[DocumentRevision]) -> Vec<Document> {
        let theirs: BTreeMap<&str, Revision> =
            revisions.iter().map(|known| (known.key.as_str(), known.revision)).collect();
        let is_newer = |d: &&Document| theirs.get(d.key.as_str()).is_none_or(|r| *r < d.revision);
        self.iter().filter(is_newer).cloned().collect()
    }

    /// Keys of the stamps that are newer than what is known here.
    #[must_use]
    pub fn stale_keys(&self, revisions: &[DocumentRevision]) -> Vec<String> {
        let is_newer = |theirs: &&DocumentRevision| {
            self.revision(&theirs.key).is_none_or(|mine| mine < theirs.revision)
        };
        revisions.iter().filter(is_newer).map(|theirs| theirs.key.clone()).collect()
    }

    /// Whether no document is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// One step of the FNV-1a hash.
pub(crate) fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// The FNV-1a hash of some bytes, well mixed in all its bits.
pub(crate) fn hash(parts: &[&str]) -> u64 {
    let hash = parts.iter().fold(FNV_OFFSET, |hash, part| fnv(fnv(hash, part.as_bytes()), &[0]));
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
