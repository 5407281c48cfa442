//! The requests of one service that wait in this entry for capacity.

use super::load_window::{RANKS, RankLoads, rank_index};
use ibissail_core::Millis;
use std::collections::BTreeMap;

/// Owners whose shares are remembered, beyond which those that are owed nothing are forgotten.
const MAX_OWNERS: usize = 64;
/// Scale of the tags that order requests: they are whole numbers, so that they can be keys.
const TAGS_PER_SLOT_SECOND: f64 = 1_000_000.0;

/// Identifies a waiting request within its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingRequest {
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Hash of the organisation, key or session that it counts for.
    pub owner: u64,
    /// Slots that it takes up.
    pub slots: f64,
    /// Expected work in slots times seconds.
    pub work: f64,
    /// Bytes of memory that it holds.
    pub bytes: u64,
    /// When it began to wait.
    pub since: Millis,
    /// When it is rejected if it still waits.
    pub until: Millis,
    /// When its caller has no more use for the response.
    pub deadline: Millis,
}

/// Requests by rank, and within a rank by fair shares of their owners (self-clocked fair queuing):
/// the more an owner has been served, the later its next requests come.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<(usize, u64, Ticket), WaitingRequest>,
    /// Tag of each owner's last request.
    tags: BTreeMap<(usize, u64), u64>,
    /// Tag of the last request served, by rank.
    reached: [u64; RANKS],
    bytes: u64,
}

/// Where a request stands in the queue.
pub(super) type Position = (usize, u64, Ticket);

impl WaitQueue {
    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Memory that they hold, in bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds a request.
    pub fn push(&mut self, ticket: Ticket, request: WaitingRequest) {
        let rank = rank_index(request.rank);
        let last = self.tags.get(&(rank, request.owner)).copied().unwrap_or_default();
        let work = tag_distance(&request);
        let tag = last.max(self.reached[rank]).saturating_add(work);
        if self.tags.len() >= MAX_OWNERS {
            let reached = self.reached;
            self.tags.retain(|(rank, _), tag| *tag > reached[*rank]);
        }
        self.tags.insert((rank, request.owner), tag);
        self.bytes = self.bytes.saturating_add(request.bytes);
        self.waiting.insert((rank, tag, ticket), request);
    }

    /// The next request of a rank.
    pub(super) fn first(&self, rank: usize) -> Option<(Position, WaitingRequest)> {
        let range = (rank, 0, Ticket(0))..(rank + 1, 0, Ticket(0));
        self.waiting.range(range).next().map(|(position, request)| (*position, *request))
    }

    /// Removes a request that is sent.
    pub(super) fn serve(&mut self, position: Position) -> Option<WaitingRequest> {
        self.reached[position.0] = self.reached[position.0].max(position.1);
        self.take(position)
    }

    /// Removes a request that is not sent; its owner's share is not charged with it.
    pub(super) fn remove(&mut self, position: Position) -> Option<WaitingRequest> {
        let request = self.take(position)?;
        if let Some(tag) = self.tags.get_mut(&(position.0, request.owner)) {
            *tag = tag.saturating_sub(tag_distance(&request));
        }
        Some(request)
    }

    fn take(&mut self, position: Position) -> Option<WaitingRequest> {
        let request = self.waiting.remove(&position)?;
        self.bytes = self.bytes.saturating_sub(request.bytes);
        Some(request)
    }

    /// Removes a request whose caller no longer waits; returns it if it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        let position = self.waiting.keys().find(|position| position.2 == ticket).copied()?;
        self.remove(position)
    }

    /// The waiting requests in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Position, WaitingRequest)> {
        self.waiting.iter().map(|(position, request)| (*position, *request))
    }

    /// The least urgent request, the last of its rank.
    pub(super) fn last(&self) -> Option<(Position, WaitingRequest)> {
        self.waiting.last_key_value().map(|(position, request)| (*position, *request))
    }

    /// Work that waits, by rank, in slots times seconds.
    #[must_use]
    pub fn work(&self) -> RankLoads {
        let mut work = [0.0; RANKS];
        for ((rank, ..), request) in &self.waiting {
            work[*rank] += request.work;
        }
        work
    }
}

/// Distance of a request's tag from that of its owner's request before.
fn tag_distance(request: &WaitingRequest) -> u64 {
    (request.work * TAGS_PER_SLOT_SECOND).max(1.0) as u64
}
