//! Bounds each organisation's requests in progress.

use ibissail_core::{ErrorKind, Fault, OrganisationId};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

type Counts = BTreeMap<OrganisationId, u32>;

/// Requests in progress by organisation; clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct ConcurrencyLimiter {
    counts: Arc<Mutex<Counts>>,
}

/// A place among an organisation's requests, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: ConcurrencyLimiter,
    organisation: OrganisationId,
}

impl ConcurrencyLimiter {
    /// Takes a place.
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
    /// let place = limiter.acquire(&huts, 1);
    /// assert!(place.is_ok() && limiter.acquire(&huts, 1).is_err());
    /// drop(place);
    /// assert!(limiter.acquire(&huts, 1).is_ok());
    /// # Ok::<(), ibissail_core::UnitError>(())
    /// ```
    pub fn acquire(&self, organisation: &OrganisationId, limit: u32) -> Result<Permit, Fault> {
        let mut counts = self.lock();
        let count = counts.entry(organisation.clone()).or_default();
        if *count >= limit {
            let detail = format!("{limit} are in progress here");
            return Err(Fault::new(ErrorKind::Overloaded, detail));
        }
        *count += 1;
        Ok(Permit { limiter: self.clone(), organisation: organisation.clone() })
    }

    /// Requests in progress of all organisations.
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
