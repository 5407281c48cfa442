//! Bounds the memory of requests that are still being sent after their responses.
//!
//! The load is callers with long bodies at replicas that respond early and read the rest later, or
//! never; what is held for them must fit into the memory of the VM beside the requests in progress.

use ibissail_core::ByteSize;

/// Part of the process's memory limit that such requests may hold.
const PROCESS_DIVISOR: u64 = 8;
/// Memory that is assumed where no limit is set: the smallest VMs have 88 MB.
const ASSUMED_MEMORY: ByteSize = ByteSize(88 << 20);
/// Memory of a connection beside the bytes that are to be sent on it.
const CONNECTION_BYTES: u64 = 64 << 10;

/// The memory of requests that are sent on after their responses.
#[derive(Debug, Clone)]
pub struct UnsentBudget {
    limit: ByteSize,
    used: u64,
    requests: u64,
}

impl UnsentBudget {
    /// Creates the budget of a process with this memory limit; `None` for an unknown one.
    #[must_use]
    pub fn new(memory: Option<ByteSize>) -> Self {
        let limit = ByteSize(memory.unwrap_or(ASSUMED_MEMORY).0 / PROCESS_DIVISOR);
        Self { limit, used: 0, requests: 0 }
    }

    /// Takes the memory for a request of which `unsent` bytes are left; returns whether there is
    /// room. Without it the caller's connection has to wait until the request is sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::ByteSize;
    /// use ibissail_direct::UnsentBudget;
    /// let mut budget = UnsentBudget::new(Some(ByteSize(80 << 20)));
    /// let body = ByteSize(6 << 20);
    /// assert!(budget.try_take(body));
    /// assert!(!budget.try_take(body), "10 MiB are an eighth of the memory");
    /// budget.give_back(body);
    /// assert!(budget.try_take(body));
    /// ```
    pub fn try_take(&mut self, unsent: ByteSize) -> bool {
        let used = self.used.saturating_add(Self::cost(unsent));
        if used > self.limit.0 {
            return false;
        }
        self.used = used;
        self.requests += 1;
        true
    }

    /// Gives back what a request has taken.
    pub fn give_back(&mut self, unsent: ByteSize) {
        self.used = self.used.saturating_sub(Self::cost(unsent));
        self.requests = self.requests.saturating_sub(1);
    }

    /// Number of requests that hold a part of the budget.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Bytes in use.
    #[must_use]
    pub fn used(&self) -> ByteSize {
        ByteSize(self.used)
    }

    fn cost(unsent: ByteSize) -> u64 {
        unsent.0.saturating_add(CONNECTION_BYTES)
    }
}
