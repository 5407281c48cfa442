//! Estimates which parts of prompts the replicas have cached.
//!
//! Prefilling a long shared prefix again takes more of a replica's time than generating the
//! response.

use crate::{Prompt, PromptPart, stable_hash};
use ibissail_core::{InstanceId, Millis, ModelId, Tokens};
use std::collections::BTreeMap;

/// Time after its last use at which a part may have been evicted.
const ASSUMED_RETENTION: Millis = Millis(20_000);
/// Maximum number of parts remembered; parts that may have been evicted are dropped first, then the
/// others in order of their keys.
const MAX_PARTS: usize = 8_192;

type Key = (InstanceId, u64);

/// Parts of prompts by replica, with the time of their last use.
#[derive(Debug, Clone, Default)]
pub struct PrefixCacheIndex {
    last_used: BTreeMap<Key, Millis>,
}

fn part_key(model: &ModelId, part: &PromptPart) -> u64 {
    stable_hash(&[model.as_str(), &part.id])
}

impl PrefixCacheIndex {
    /// Records that a replica has prefilled a prompt.
    pub fn record(&mut self, replica: &InstanceId, model: &ModelId, prompt: &Prompt, now: Millis) {
        for part in &prompt.parts {
            self.last_used.insert((replica.clone(), part_key(model, part)), now);
        }
        if self.last_used.len() > MAX_PARTS {
            self.last_used.retain(|_, last_used| now.since(*last_used) < ASSUMED_RETENTION);
        }
        while self.last_used.len() > MAX_PARTS {
            self.last_used.pop_first();
        }
    }

    /// Removes all parts of a replica, for example after it has restarted.
    pub fn remove_replica(&mut self, replica: &InstanceId) {
        self.last_used.retain(|(known, _), _| known != replica);
    }

    /// Tokens of the prompt's prefix that a replica probably has cached.
    #[must_use]
    pub fn cached_tokens(
        &self,
        replica: &InstanceId,
        model: &ModelId,
        prompt: &Prompt,
        now: Millis,
    ) -> Tokens {
        let is_cached = |part: &&PromptPart| {
            let last_used = self.last_used.get(&(replica.clone(), part_key(model, part)));
            last_used.is_some_and(|last_used| now.since(*last_used) < ASSUMED_RETENTION)
        };
        Tokens(prompt.parts.iter().take_while(is_cached).map(|part| part.tokens.0).sum())
    }
}
