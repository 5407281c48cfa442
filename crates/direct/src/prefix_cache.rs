//! What this entry believes the replicas keep of prompts.
//!
//! Answers the load of long prompts with shared beginnings: reading them again takes more of a
//! replica's time than generating the answer.

use crate::{Prompt, PromptPart, stable_hash};
use ibissail_core::{InstanceId, Millis, ModelId, Tokens};
use std::collections::BTreeMap;

/// Time after which a part that was not used may have been evicted.
const BELIEF_TIME: Millis = Millis(20_000);
/// Most parts remembered; the oldest go first.
const MAX_PARTS: usize = 8_192;

type Key = (InstanceId, u64);

/// Parts of prompts by replica, with the time of their last use.
#[derive(Debug, Clone, Default)]
pub struct PrefixCacheIndex {
    used: BTreeMap<Key, Millis>,
}

fn part_key(model: &ModelId, part: &PromptPart) -> u64 {
    stable_hash(&[model.as_str(), &part.id])
}

impl PrefixCacheIndex {
    /// Takes note that a replica has read a prompt.
    pub fn record(&mut self, replica: &InstanceId, model: &ModelId, prompt: &Prompt, now: Millis) {
        for part in &prompt.parts {
            self.used.insert((replica.clone(), part_key(model, part)), now);
        }
        if self.used.len() > MAX_PARTS {
            self.used.retain(|_, used| now.since(*used) < BELIEF_TIME);
        }
        while self.used.len() > MAX_PARTS {
            self.used.pop_first();
        }
    }

    /// Forgets a replica, as after a restart.
    pub fn remove_replica(&mut self, replica: &InstanceId) {
        self.used.retain(|(known, _), _| known != replica);
    }

    /// Tokens of the prompt's beginning that a replica probably keeps.
    #[must_use]
    pub fn cached_tokens(
        &self,
        replica: &InstanceId,
        model: &ModelId,
        prompt: &Prompt,
        now: Millis,
    ) -> Tokens {
        let is_kept = |part: &&PromptPart| {
            let used = self.used.get(&(replica.clone(), part_key(model, part)));
            used.is_some_and(|used| now.since(*used) < BELIEF_TIME)
        };
        Tokens(prompt.parts.iter().take_while(is_kept).map(|part| part.tokens.0).sum())
    }
}
