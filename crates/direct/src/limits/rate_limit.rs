//! This entry's share of the rate that a replica accepts from all entries together.
//!
//! The rate is divided by the entries' demand. If the fleet's burst is at least one request for each entry, each has
//! a token bucket. Otherwise, buckets that hold a whole token each would allow a burst as large as
//! the fleet, so time is divided into periods, and each entry may send one request in some of them.

use super::window::WindowProfile;
use crate::{ColdLimits, hash::stable_hash_with_bytes, stable_hash};
use ibissail_core::{InstanceId, Millis, RequestRate, VmId};

/// Part of a rate that is divided evenly, so that an entry without demand can begin to send.
const EVEN_PART: f64 = 0.1;
/// Part of a cold replica's rate that is divided evenly. The rest is divided by demand, and only among
/// entries that know the demand of all others: within one second, nothing makes up for an error.
const COLD_EVEN_PART: f64 = 0.7;
/// Most entries of which each hears from all others in time.
const MAX_HEARD_ENTRIES: usize = 31;
/// The same parts in larger fleets. Each entry estimates the demand from the quarter or more that it
/// has heard of, and some that have not heard of a busy one take too much, so that the parts do not
/// add up to one.
const LARGE_EVEN_PART: f64 = 0.8;
const LARGE_DEMAND_PART: f64 = 0.1;
/// Fractional part of the golden ratio, whose multiples are evenly spread modulo 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// Periods after the current one that are searched for the next turn.
const MAX_PERIODS: u64 = 1_024;
/// Urgency from which requests leave the most tokens to more urgent ones.
const LEAST_URGENT: u32 = 3;
/// Part of a bucket's burst that the least urgent requests leave.
const MAX_RESERVE: f64 = 0.75;

/// The part of a rate that an entry takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetShare {
    /// Hash of the entry's name.
    entry: u64,
    /// Number of entries that would each take this part.
    entries: f64,
}

impl FleetShare {
    /// An even share of the entry on this VM in a fleet of `entries`, this one included.
    #[must_use]
    pub fn new(vm: &VmId, entries: usize) -> Self {
        Self { entry: stable_hash(&[vm.as_str()]), entries: entries.max(1) as f64 }
    }

    /// A share by demand: `own` requests of this entry and those of the peers heard of, all in the
    /// same span of time. Peers that were not heard of count like the others.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_direct::FleetShare;
    /// let vm = "front-1".parse().unwrap();
    /// assert_eq!(FleetShare::by_demand(&vm, 3, 7, &[7, 7]), FleetShare::new(&vm, 3));
    /// assert_ne!(FleetShare::by_demand(&vm, 3, 7, &[0, 0]), FleetShare::new(&vm, 3));
    /// ```
    #[must_use]
    pub fn by_demand(vm: &VmId, entries: usize, own: u32, heard: &[u32]) -> Self {
        let even = Self::new(vm, entries);
        let others = entries.saturating_sub(1).max(heard.len()) as f64;
        let sum: f64 = heard.iter().map(|demand| f64::from(*demand)).sum();
        let total = f64::from(own) + sum * others / heard.len().max(1) as f64;
        if heard.is_empty() || total == 0.0 {
            return even;
        }
        let part = EVEN_PART / even.entries + (1.0 - EVEN_PART) * f64::from(own) / total;
        Self { entries: 1.0 / part, ..even }
    }

    /// A share of the requests to cold replicas: the shares of all entries add up to at most one
    /// whatever messages are lost or late. `own` is the least demand that this entry has told lately,
    /// and `heard` the most that each peer has. An entry that has not heard from all others takes
    /// nothing of the part that is divided by demand.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_direct::FleetShare;
    /// let vm = "front-1".parse().unwrap();
    /// let unheard = FleetShare::by_settled_demand(&vm, 3, 7, &[7]);
    /// assert_ne!(unheard, FleetShare::by_settled_demand(&vm, 3, 7, &[7, 0]));
    /// ```
    #[must_use]
    pub fn by_settled_demand(vm: &VmId, entries: usize, own: u32, heard: &[u32]) -> Self {
        let even = Self::new(vm, entries);
        let sum: f64 = heard.iter().map(|demand| f64::from(*demand)).sum();
        let others = entries.saturating_sub(1).max(heard.len()) as f64;
        let is_large = entries > MAX_HEARD_ENTRIES;
        let (even_part, demand_part, needed) = if is_large {
            (LARGE_EVEN_PART, LARGE_DEMAND_PART, entries / 4)
        } else {
            (COLD_EVEN_PART, 1.0 - COLD_EVEN_PART, entries.saturating_sub(1))
        };
        let total = f64::from(own) + sum * others / heard.len().max(1) as f64;
        let is_known = heard.len() >= needed && total > 0.0;
        let by_demand = if is_known { f64::from(own) / total } else { 0.0 };
        let part = even_part / even.entries + demand_part * by_demand;
        Self { entries: 1.0 / part, ..even }
    }
}

/// How this entry takes its share.
#[derive(Debug, Clone, Copy)]
enum Method {
    /// A token bucket that holds at least one request.
    Bucket { per_ms: f64, capacity: f64 },
    /// A turn in this part of the periods.
    Turns { period_ms: f64, part: f64 },
}

/// A rate that a replica accepts, and what this entry has used of its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    rate: RequestRate,
    /// Bound that the requests to a cold replica must keep; `None` for a rate that the replica names.
    cold: Option<ColdLimits>,
    /// Hash of the replica's name.
    replica: u64,
    /// Requests that the bucket held at `updated_at`.
    level: f64,
    updated_at: Millis,
    /// The last period whose turn was used.
    used_period: Option<u64>,
}

impl RateLimit {
    /// Starts to limit the requests to a replica; the bucket is empty.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{Millis, RequestRate};
    /// use ibissail_direct::{FleetShare, RateLimit};
    /// let mut limit = RateLimit::new(&"r-1".parse().unwrap(), RequestRate(4_000), Millis(0));
    /// let fleet = FleetShare::new(&"front-1".parse().unwrap(), 2);
    /// assert!(!limit.try_take(fleet, 0.0, Millis(100)));
    /// assert!(limit.try_take(fleet, 0.0, Millis(600)), "two a second are this entry's");
    /// assert!(!limit.try_take(fleet, 0.0, Millis(600)));
    /// ```
    #[must_use]
    pub fn new(replica: &InstanceId, rate: RequestRate, now: Millis) -> Self {
        let replica = stable_hash(&[replica.as_str()]);
        Self { rate, cold: None, replica, level: 0.0, updated_at: now, used_period: None }
    }

    /// Starts to limit the requests to a cold replica that sustains `rate` while cold.
    #[must_use]
    pub fn for_cold(id: &InstanceId, rate: RequestRate, limits: ColdLimits, now: Millis) -> Self {
        Self { cold: Some(limits), ..Self::new(id, rate, now) }
    }

    /// The rate that the replica accepts from all entries together.
    #[must_use]
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Replaces the rate; what has been used of the share still counts.
    pub fn set_rate(&mut self, rate: RequestRate) {
        self.rate = rate;
    }

    /// Whether a request may be sent now that leaves `reserve`, a part of the burst, to others.
    #[must_use]
    pub fn can_take(&self, fleet: FleetShare, reserve: f64, now: Millis) -> bool {
        match self.method(fleet) {
            Method::Bucket { per_ms, capacity } => {
                self.level_at(per_ms, capacity, now) >= needed(capacity, reserve)
            }
            Method::Turns { period_ms, part } => {
                let period = self.period(fleet, period_ms, now);
                self.used_period != Some(period) && self.has_turn(fleet, period, part)
            }
        }
    }

    /// Takes a request from the share; returns whether it may be sent.
    pub fn try_take(&mut self, fleet: FleetShare, reserve: f64, now: Millis) -> bool {
        if !self.can_take(fleet, reserve, now) {
            return false;
        }
        match self.method(fleet) {
            Method::Bucket { per_ms, capacity } => {
                self.level = self.level_at(per_ms, capacity, now) - 1.0;
                self.updated_at = now;
            }
            Method::Turns { period_ms, .. } => {
                self.used_period = Some(self.period(fleet, period_ms, now));
                if self.cold.is_some() {
                    // A larger share that follows must not begin with a full bucket.
                    self.level = 0.0;
                    self.updated_at = now;
                }
            }
        }
        true
    }

    /// Time until a request may be sent, if no other is sent before.
    #[must_use]
    pub fn wait(&self, fleet: FleetShare, reserve: f64, now: Millis) -> Millis {
        if self.can_take(fleet, reserve, now) {
            return Millis(0);
        }
        match self.method(fleet) {
            Method::Bucket { per_ms, capacity } => {
                let missing = needed(capacity, reserve) - self.level_at(per_ms, capacity, now);
                Millis((missing / per_ms).ceil() as u64)
            }
            Method::Turns { period_ms, part } => {
                let current = self.period(fleet, period_ms, now);
                let next = (current + 1..=current + MAX_PERIODS)
                    .find(|period| self.has_turn(fleet, *period, part));
                let next = next.unwrap_or(current + MAX_PERIODS);
                let starts_at = next as f64 * period_ms - self.phase(fleet, period_ms);
                Millis((starts_at - now.0 as f64).ceil().max(0.0) as u64)
            }
        }
    }

    /// Average time between two requests of this entry's share.
    #[must_use]
    pub fn interval(&self, fleet: FleetShare) -> Millis {
        let interval = match self.method(fleet) {
            Method::Bucket { per_ms, .. } => 1.0 / per_ms,
            Method::Turns { period_ms, part } => period_ms / part,
        };
        Millis(interval as u64)
    }

    fn method(&self, fleet: FleetShare) -> Method {
        let profile = match self.cold {
            None => WindowProfile::named(self.rate),
            Some(limits) => WindowProfile::cold(self.rate, limits),
        };
        let entries = fleet.entries;
        let capacity = profile.burst / entries;
        if capacity >= 1.0 {
            return Method::Bucket { per_ms: profile.rate / entries / 1_000.0, capacity };
        }
        // The length of a period does not depend on the number of entries, so that a change of that
        // number does not start a new period.
        let period_ms = profile.turn_burst / profile.turn_rate * 1_000.0;
        Method::Turns { period_ms, part: profile.turn_burst / entries }
    }

    fn level_at(&self, per_ms: f64, capacity: f64, now: Millis) -> f64 {
        let added = per_ms * now.since(self.updated_at).0 as f64;
        (self.level + added).min(capacity)
    }

    /// Time by which this entry's periods begin earlier than others'.
    fn phase(&self, fleet: FleetShare, period_ms: f64) -> f64 {
        unit_hash([fleet.entry, self.replica]) * period_ms
    }

    fn period(&self, fleet: FleetShare, period_ms: f64, now: Millis) -> u64 {
        ((now.0 as f64 + self.phase(fleet, period_ms)) / period_ms) as u64
    }

    /// Whether this entry may send a request in the period. Its turns are evenly spread, differ from
    /// those of other entries, and stay the same but for a few when the number of entries changes.
    fn has_turn(&self, fleet: FleetShare, period: u64, part: f64) -> bool {
        let offset = unit_hash([fleet.entry, self.replica, 1]);
        (offset + period as f64 * GOLDEN_RATIO).fract() < part
    }
}

/// Part of a bucket's burst that requests of this urgency leave to more urgent ones; 0 is the most
/// urgent.
///
/// # Examples
///
/// ```
/// use ibissail_direct::urgency_reserve;
/// assert!(urgency_reserve(0) < urgency_reserve(1));
/// assert!(urgency_reserve(9) < 1.0);
/// ```
#[must_use]
pub fn urgency_reserve(urgency: u32) -> f64 {
    MAX_RESERVE * f64::from(urgency.min(LEAST_URGENT)) / f64::from(LEAST_URGENT)
}

/// Requests that a bucket must hold for one that leaves `reserve` of the burst beyond the first.
fn needed(capacity: f64, reserve: f64) -> f64 {
    1.0 + (capacity - 1.0) * reserve
}

/// A number from 0 to below 1 that depends on these numbers only.
fn unit_hash<const N: usize>(numbers: [u64; N]) -> f64 {
    let bytes = numbers.map(u64::to_le_bytes);
    (stable_hash_with_bytes(&[], bytes.as_flattened()) >> 11) as f64 / (1_u64 << 53) as f64
}
