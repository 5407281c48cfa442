//! Limits the concurrent requests of each organisation.

use ibissail_core::{ErrorKind, Fault, OrganisationId};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

type Counts = BTreeMap<OrganisationId, u32>;

/// Counts requests in progress by organisation. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct ConcurrencyLimiter {
    counts: Arc<Mutex<Counts>>,
}

/// A slot among an organisation's concurrent requests, released when dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: ConcurrencyLimiter,
    organisation: OrganisationId,
}

impl ConcurrencyLimiter {
    /// Acquires a slot.
    ///
    /// # Errors
    ///
    /// `Overloaded` when the organisation has `limit` requests in progress.
    ///
    /// # Examples
    ///
    /// ```
    /// let limiter = ibissail_routing::ConcurrencyLimiter::default();
    /// let huts: ibissail_core::OrganisationId = "huts".parse()?;
    /// let permit = limiter.acquire(&huts, 1);
    /// assert!(permit.is_ok() && limiter.acquire(&huts, 1).is_err());
    /// drop(permit);
    /// assert!(limiter.acquire(&huts, 1).is_ok());
    /// # Ok::<(), ibissail_core::ParseError>(())
    /// ```
    pub fn acquire(&self, organisation: &OrganisationId, limit: u32) -> Result<Permit, Fault> {
        let mut counts = self.lock();
        let count = counts.entry(organisation.clone()).or_default();
        if *count >= limit {
            let detail = format!("the limit per entry is {limit}");
            return Err(Fault::new(ErrorKind::Overloaded, detail));
        }
        *count += 1;
        Ok(Permit { limiter: self.clone(), organisation: organisation.clone() })
    }

    /// Number of requests in progress of all organisations.
    #[must_use]
    pub fn in_progress(&self) -> u32 {
        self.lock().values().sum()
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut counts = self.limiter.lock();
        if let Some(count) = counts.get_mut(&self.organisation) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.organisation);
            }
        }
    }
}
