//! Identities of what may crash a replica, and what is known not to.

use crate::{Prompt, hash::stable_hash_with_bytes, stable_hash};
use derive_more::{Display, From};
use ibissail_core::{InstanceId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most parts of one prompt that are tracked.
pub const MAX_TRACKED_PARTS: usize = 16;
/// Most sound parts, and most sound requests, that are remembered; those proven least recently are
/// forgotten first.
const MAX_SOUND_RECORDS: usize = 4_096;

/// Identifies the content of a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct PartHash(pub u64);

/// Identifies one run of a replica: its name and start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct RunHash(pub u64);

/// Identifies what a request asks for; a request that its caller repeats has the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct ContentHash(pub u64);

/// Identifies a request; one that its caller repeats has another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:08x}")]
#[serde(transparent)]
pub struct RequestHash(pub u32);

impl PartHash {
    /// Hashes the id of a part.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_direct::PartHash;
    /// assert_eq!(PartHash::new("5c1e07a2"), PartHash::new("5c1e07a2"));
    /// ```
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self(stable_hash(&[id]))
    }

    /// The parts of a prompt that other requests may share, in order, at most
    /// [`MAX_TRACKED_PARTS`].
    #[must_use]
    pub fn shared(prompt: &Prompt) -> Vec<Self> {
        let parts = prompt.shared_parts().iter().take(MAX_TRACKED_PARTS);
        parts.map(|part| Self::new(&part.id)).collect()
    }
}

impl ContentHash {
    /// Hashes the caller, the method, the host, the path with its query, and the body.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_direct::ContentHash;
    /// let first = ContentHash::new("editors", "PUT", "guides.example", "/routes/1?v=2", b"ridge");
    /// let other = ContentHash::new("editors", "PUT", "guides.example", "/routes/1?v=2", b"face");
    /// assert_ne!(first, other);
    /// ```
    #[must_use]
    pub fn new(caller: &str, method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        Self(stable_hash_with_bytes(&[caller, method, host, target], body))
    }

    /// Adds the parts of the prompt, which the body may not hold.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_direct::{ContentHash, PartHash};
    /// let request = ContentHash::new("editors", "POST", "guides.example", "/drafts/1", b"");
    /// assert_ne!(request.with_prompt(&[PartHash::new("5c1e07a2")]), request);
    /// assert_eq!(request.with_prompt(&[]), request);
    /// ```
    #[must_use]
    pub fn with_prompt(self, parts: &[PartHash]) -> Self {
        let mix = |content: Self, part: &PartHash| {
            Self(stable_hash_with_bytes(
                &[],
                &[content.0.to_be_bytes(), part.0.to_be_bytes()].concat(),
            ))
        };
        parts.iter().fold(self, mix)
    }
}

impl RunHash {
    /// Hashes the name of a replica and the start time of its run, if reported.
    #[must_use]
    pub fn new(replica: &InstanceId, started_unix_ms: Option<u64>) -> Self {
        let started = started_unix_ms.map_or_else(|| "-".to_owned(), |time| time.to_string());
        Self(stable_hash(&[replica.as_str(), &started]))
    }
}

impl RequestHash {
    /// Hashes the id of a request.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self(u32::try_from(stable_hash(&[id]) >> 32).unwrap_or_default())
    }
}

/// What may crash replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, From)]
pub enum Suspect {
    /// A whole request.
    Request(ContentHash),
    /// A part of prompts.
    Part(PartHash),
}

/// Requests or parts that a replica has answered without crashing, each with the start of the latest
/// such answer.
#[derive(Debug, Clone)]
pub(crate) struct SoundRecords<K> {
    began_at: BTreeMap<K, Millis>,
}

impl<K> Default for SoundRecords<K> {
    fn default() -> Self {
        Self { began_at: BTreeMap::new() }
    }
}

impl<K> SoundRecords<K>
where
    K: Copy + Ord,
{
    /// Start of the latest answer that proves this sound; `None` if it was never proven.
    pub(crate) fn proven_at(&self, key: K) -> Option<Millis> {
        self.began_at.get(&key).copied()
    }

    /// Records an answer that began at this time; an earlier one than known changes nothing.
    pub(crate) fn record(&mut self, key: K, began_at: Millis) {
        if let Some(known) = self.began_at.get_mut(&key) {
            *known = began_at.max(*known);
            return;
        }
        if self.began_at.len() >= MAX_SOUND_RECORDS {
            let mut times: Vec<Millis> = self.began_at.values().copied().collect();
            times.sort_unstable();
            let limit = times[MAX_SOUND_RECORDS / 8];
            self.began_at.retain(|_, began| *began > limit);
        }
        self.began_at.insert(key, began_at);
    }
}
