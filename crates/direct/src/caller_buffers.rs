//! Bounds what is buffered for callers that read slowly.
//!
//! The load is dozens of callers that stop reading beside thousands that read; what is buffered for
//! them must fit into the memory of the VM.

use ibissail_core::{ByteSize, Millis};
use std::collections::BTreeMap;

/// Part of the process's memory limit that may be buffered for all callers.
const PROCESS_DIVISOR: u64 = 8;
/// Memory that is assumed where no limit is set: the smallest VMs have 88 MB.
const ASSUMED_MEMORY: ByteSize = ByteSize(88 << 20);
/// Part of the process's bound that one connection may use.
const CONNECTION_DIVISOR: u64 = 32;
/// Range of the bound of a connection: long responses have some 20 kB.
const MIN_CONNECTION_BYTES: u64 = 64 << 10;
const MAX_CONNECTION_BYTES: u64 = 1 << 20;

/// What is buffered for one caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Buffered {
    bytes: u64,
    /// When the caller last accepted bytes, or the first were buffered.
    accepted_at: Millis,
}

/// A caller that is to be disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowestCaller {
    /// Number of the caller.
    pub id: u64,
    /// Bytes that are buffered for it.
    pub bytes: ByteSize,
    /// Time for which it has accepted nothing.
    pub stalled: Millis,
    /// Bytes that are buffered for all callers.
    pub total: ByteSize,
}

/// What is buffered for all callers of a process.
#[derive(Debug, Clone)]
pub struct CallerBuffers {
    connection_limit: ByteSize,
    process_limit: ByteSize,
    callers: BTreeMap<u64, Buffered>,
    total: u64,
}

impl CallerBuffers {
    /// Creates the bounds for a process with this memory limit; `None` for an unknown one.
    #[must_use]
    pub fn new(memory: Option<ByteSize>) -> Self {
        let process = memory.unwrap_or(ASSUMED_MEMORY).0 / PROCESS_DIVISOR;
        let connection =
            (process / CONNECTION_DIVISOR).clamp(MIN_CONNECTION_BYTES, MAX_CONNECTION_BYTES);
        Self {
            connection_limit: ByteSize(connection),
            process_limit: ByteSize(process),
            callers: BTreeMap::new(),
            total: 0,
        }
    }

    /// Bytes that may be buffered for one caller before its replica is no longer read.
    #[must_use]
    pub fn connection_limit(&self) -> ByteSize {
        self.connection_limit
    }

    /// Bytes that are buffered for all callers.
    #[must_use]
    pub fn total(&self) -> ByteSize {
        ByteSize(self.total)
    }

    /// Sets what is buffered for a caller; 0 if it has accepted all or is gone. `has_accepted` tells
    /// whether it has just accepted bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{ByteSize, Millis};
    /// use ibissail_direct::CallerBuffers;
    /// let mut buffers = CallerBuffers::new(Some(ByteSize(800)));
    /// buffers.set(1, ByteSize(60), false, Millis(0));
    /// buffers.set(2, ByteSize(60), false, Millis(5));
    /// assert_eq!(buffers.take_slowest(Millis(9)).map(|caller| caller.id), Some(1));
    /// assert_eq!(buffers.take_slowest(Millis(9)), None);
    /// ```
    pub fn set(&mut self, id: u64, bytes: ByteSize, has_accepted: bool, now: Millis) {
        let earlier = self.callers.remove(&id);
        self.total = self.total.saturating_sub(earlier.map_or(0, |earlier| earlier.bytes));
        if bytes.0 == 0 {
            return;
        }
        let accepted_at = match earlier {
            Some(earlier) if !has_accepted => earlier.accepted_at,
            _ => now,
        };
        self.total = self.total.saturating_add(bytes.0);
        self.callers.insert(id, Buffered { bytes: bytes.0, accepted_at });
    }

    /// If more is buffered than the process may, the caller that has accepted nothing for the longest
    /// time, the one with the most bytes among equals; it no longer counts.
    pub fn take_slowest(&mut self, now: Millis) -> Option<SlowestCaller> {
        if self.total <= self.process_limit.0 {
            return None;
        }
        let slowest = self
            .callers
            .iter()
            .min_by_key(|(_, buffered)| (buffered.accepted_at, u64::MAX - buffered.bytes));
        let (id, Buffered { bytes, accepted_at }) = slowest.map(|(id, found)| (*id, *found))?;
        let total = self.total();
        self.set(id, ByteSize(0), false, now);
        Some(SlowestCaller { id, bytes: ByteSize(bytes), stalled: now.since(accepted_at), total })
    }
}
