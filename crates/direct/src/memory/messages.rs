//! Bounds the memory of the messages that a process holds: responses of replicas that are not
//! complete, and requests with their bodies.
//!
//! The load is hundreds of responses without an end, each below the limit of one response, beside
//! small responses to other requests; and dozens of requests with the longest bodies at once. One
//! budget serves both, because they share the memory of the VM.

use derive_more::Display;
use ibissail_core::{ByteSize, Millis};
use std::{cmp::Reverse, collections::BTreeMap};

/// Messages up to this size are not counted: with as many connections as a process accepts they hold
/// some 14 MB.
pub const SMALL_MESSAGE: ByteSize = ByteSize(8 << 10);
/// Part of the process's memory limit that larger messages may hold.
const PROCESS_DIVISOR: u64 = 6;
/// Part of that which requests leave to responses: they hold theirs until they end, and all responses
/// would be given up meanwhile.
const RESPONSES_DIVISOR: u64 = 8;
/// Memory that is assumed where no limit is set. A smaller one would refuse requests for no reason.
const ASSUMED_MEMORY: ByteSize = ByteSize(1 << 30);

/// Number of a response that is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct MessageId(u64);

/// What is held of one response.
#[derive(Debug, Clone, Copy)]
struct Held {
    bytes: u64,
    /// When it was last small.
    since: Millis,
}

impl Held {
    /// How much memory it has held for how long, in bytes and milliseconds.
    fn weight(self, now: Millis) -> u64 {
        self.bytes.saturating_mul(now.since(self.since).0.saturating_add(1))
    }
}

/// The memory of the messages that a process holds.
#[derive(Debug, Clone)]
pub struct MessageBudget {
    limit: ByteSize,
    used: u64,
    used_by_requests: u64,
    next_id: u64,
    responses: BTreeMap<MessageId, Held>,
}

impl MessageBudget {
    /// Creates the budget of a process with this memory limit; `None` for an unknown one.
    #[must_use]
    pub fn new(memory: Option<ByteSize>) -> Self {
        let limit = ByteSize(memory.unwrap_or(ASSUMED_MEMORY).0 / PROCESS_DIVISOR);
        Self { limit, used: 0, used_by_requests: 0, next_id: 0, responses: BTreeMap::new() }
    }

    /// Bytes in use.
    #[must_use]
    pub fn used(&self) -> ByteSize {
        ByteSize(self.used)
    }

    /// Begins to count a response.
    pub fn add_response(&mut self, now: Millis) -> MessageId {
        let id = MessageId(self.next_id);
        self.next_id += 1;
        self.responses.insert(id, Held { bytes: 0, since: now });
        id
    }

    /// Whether the response counts: it has been neither given up nor removed.
    #[must_use]
    pub fn holds_response(&self, id: MessageId) -> bool {
        self.responses.contains_key(&id)
    }

    /// Sets how many bytes are held of a response. Returns the responses that have to be given up for
    /// it, perhaps itself: those that have held the most for the longest time, which are the least
    /// likely to end. They no longer count.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{ByteSize, Millis};
    /// use ibissail_direct::MessageBudget;
    /// let mut budget = MessageBudget::new(Some(ByteSize(600 << 10)));
    /// let endless = budget.add_response(Millis(0));
    /// let sound = budget.add_response(Millis(900));
    /// assert_eq!(budget.set_response(endless, ByteSize(40 << 10), Millis(5)), []);
    /// assert_eq!(budget.set_response(sound, ByteSize(70 << 10), Millis(910)), [endless]);
    /// assert!(!budget.holds_response(endless));
    /// ```
    pub fn set_response(&mut self, id: MessageId, bytes: ByteSize, now: Millis) -> Vec<MessageId> {
        let Some(held) = self.responses.get_mut(&id) else { return Vec::new() };
        let has_grown = bytes.0 > held.bytes;
        self.used = self.used.saturating_sub(held.bytes).saturating_add(bytes.0);
        held.bytes = bytes.0;
        if bytes <= SMALL_MESSAGE {
            held.since = now;
        }
        let mut given_up = Vec::new();
        while has_grown && self.used > self.limit.0 {
            let large = self.responses.iter().filter(|(_, held)| held.bytes > SMALL_MESSAGE.0);
            let heaviest = large.max_by_key(|(id, held)| (held.weight(now), Reverse(**id)));
            let Some(heaviest) = heaviest.map(|(id, _)| *id) else { break };
            self.remove_response(heaviest);
            given_up.push(heaviest);
        }
        given_up
    }

    /// Ends the count of a response.
    pub fn remove_response(&mut self, id: MessageId) {
        if let Some(held) = self.responses.remove(&id) {
            self.used = self.used.saturating_sub(held.bytes);
        }
    }

    /// Takes `further` bytes for a request that has `taken` some before; returns whether there is room.
    /// Responses are not given up for it, because their requests run already, and an eighth of the
    /// memory is left to them. A request that no other shares the memory with always has room.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::ByteSize;
    /// use ibissail_direct::MessageBudget;
    /// let mut budget = MessageBudget::new(Some(ByteSize(60 << 20)));
    /// let (none, body) = (ByteSize(0), ByteSize(6 << 20));
    /// assert!(budget.try_take_request(none, body));
    /// assert!(!budget.try_take_request(none, body), "10 MiB are a sixth of the memory");
    /// budget.give_back_request(body);
    /// assert!(budget.try_take_request(none, body));
    /// ```
    pub fn try_take_request(&mut self, taken: ByteSize, further: ByteSize) -> bool {
        let used = self.used.saturating_add(further.0);
        let by_requests = self.used_by_requests.saturating_add(further.0);
        let has_others = self.used_by_requests > taken.0;
        let is_over =
            used > self.limit.0 || by_requests > self.limit.0 - self.limit.0 / RESPONSES_DIVISOR;
        if has_others && is_over {
            return false;
        }
        self.used = used;
        self.used_by_requests = by_requests;
        true
    }

    /// Gives back what a request has taken.
    pub fn give_back_request(&mut self, bytes: ByteSize) {
        self.used = self.used.saturating_sub(bytes.0);
        self.used_by_requests = self.used_by_requests.saturating_sub(bytes.0);
    }
}
