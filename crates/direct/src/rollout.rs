//! Moves a service's requests to a new version in steps.
//!
//! Every entry computes the same step from the time since the order and the shared evidence, so
//! no entry has to lead; the order's status, changed by conditional update, is what lasts.

use derive_more::Display;
use ibissail_core::{Millis, Revision, ServiceId, VersionId};
use serde::{Deserialize, Serialize};

/// Part of the allowed exposure that the trial uses.
const TRIAL_PART: f64 = 0.4;
/// Part of the allowed exposure that the full step uses before success is recorded; a version may
/// turn bad only under the load of all requests, so the step comes last and is short.
const FULL_PART: f64 = 0.5;
/// Time before the order's end at which success is recorded though requests still run on the old
/// version; the operator sees a status up to half a second after it was written.
const STATUS_MARGIN: Millis = Millis(600);
/// Time after an order in which no request goes to the new version: entries tell each other which
/// sessions are running on the old one.
const TRIAL_DELAY: Millis = Millis(1_200);
/// Part of the order's time that some entry must have watched the new version before success:
/// restarts lose evidence, and a version that nobody has watched stays on trial.
const MIN_WATCHED_PART: f64 = 0.4;
/// Fewest answers of the new version before it gets more than the trial's share.
const MIN_ANSWERS: u32 = 5;

/// How far an order has come, as its status says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
pub enum RolloutState {
    /// Nobody has taken it up.
    #[display("pending")]
    Pending,
    /// It is in progress.
    #[display("running")]
    Running,
    /// The new version has taken over.
    #[display("succeeded")]
    Succeeded,
    /// The old version has stayed.
    #[display("rolled back")]
    RolledBack,
}

impl RolloutState {
    /// Whether the order is over.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::RolledBack)
    }
}

/// An operator's order to move a service to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub target: VersionId,
    /// Time in which the order is to be done.
    pub duration: Millis,
    /// Revision of the object that holds it.
    pub revision: Revision,
    /// How far it has come.
    pub state: RolloutState,
    /// Unix time at which an entry took it up, in milliseconds.
    pub started_unix_ms: Option<u64>,
}

/// What the entries do for an order at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Phase {
    /// A small share is on trial.
    #[display("trial")]
    Canary,
    /// All requests go to the new version; success is recorded once none runs on the old one.
    #[display("full")]
    Full,
    /// Success is to be recorded.
    #[display("due")]
    Due,
}

/// An order and the time since it was first seen.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    /// Time since the order was first seen by any entry.
    pub elapsed: Millis,
    /// Time in which the order is to be done.
    pub duration: Millis,
    /// Share of the requests in that time that a bad version may get.
    pub exposure: f64,
}

/// How well the new version has been tried.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CanaryProgress {
    /// Answers of the new version that all entries have seen.
    pub responses: u32,
    /// Longest time for which one entry has watched it without a restart.
    pub observed_for: Millis,
    /// Whether the answers speak against it, though not enough to condemn it.
    pub is_suspect: bool,
}

impl CanaryProgress {
    /// Whether the version may get all requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::CanaryProgress;
    /// let duration = Millis(20_000);
    /// let trial = CanaryProgress { responses: 30, observed_for: Millis(15_000), is_suspect: false };
    /// assert!(trial.is_sufficient(duration));
    /// assert!(!CanaryProgress { observed_for: Millis(2_000), ..trial }.is_sufficient(duration));
    /// ```
    #[must_use]
    pub fn is_sufficient(&self, duration: Millis) -> bool {
        let needed = duration.0 as f64 * MIN_WATCHED_PART;
        !self.is_suspect && self.responses >= MIN_ANSWERS && self.observed_for.0 as f64 >= needed
    }
}

impl Schedule {
    /// The phase at this moment.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::{Phase, Schedule};
    /// let elapsed = Millis(1_000);
    /// let schedule = Schedule { elapsed, duration: Millis(12_000), exposure: 0.15 };
    /// assert_eq!(schedule.phase(), Phase::Canary);
    /// ```
    #[must_use]
    pub fn phase(&self) -> Phase {
        let full_time = self.duration.0 as f64 * FULL_PART * self.exposure;
        let rest = self.duration.since(self.elapsed);
        if rest.0 as f64 > full_time {
            Phase::Canary
        } else if rest > STATUS_MARGIN {
            Phase::Full
        } else {
            Phase::Due
        }
    }
}

/// How an entry divides the requests of a service at a moment.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficSplit {
    /// The new version.
    pub target: VersionId,
    /// Share of requests that it gets.
    pub share: f64,
    /// Whether the share is a trial's.
    pub is_canary: bool,
}

impl TrafficSplit {
    /// The division that an order asks for.
    ///
    /// Until the version has been tried enough the trial goes on.
    #[must_use]
    pub fn new(
        rollout: &Rollout,
        schedule: &Schedule,
        is_bad: bool,
        canary: CanaryProgress,
    ) -> Self {
        let trial_share = TRIAL_PART * schedule.exposure;
        let share = match rollout.state {
            RolloutState::Succeeded => 1.0,
            RolloutState::RolledBack => 0.0,
            RolloutState::Pending | RolloutState::Running if is_bad => 0.0,
            RolloutState::Pending | RolloutState::Running if schedule.elapsed < TRIAL_DELAY => 0.0,
            RolloutState::Pending | RolloutState::Running
                if !canary.is_sufficient(rollout.duration) =>
            {
                trial_share
            }
            RolloutState::Pending | RolloutState::Running => match schedule.phase() {
                Phase::Canary => trial_share,
                Phase::Full | Phase::Due => 1.0,
            },
        };
        let is_canary = !rollout.state.is_final() && share < 1.0;
        Self { target: rollout.target.clone(), share, is_canary }
    }

    /// Whether a session with this hash is among those that a trial takes.
    #[must_use]
    pub fn is_in_canary(hash: u64, exposure: f64) -> bool {
        fraction(hash) < TRIAL_PART * exposure
    }

    /// Whether a request with this hash goes to the new version.
    ///
    /// The same hash stays with the new version while the share grows.
    #[must_use]
    pub fn routes_to_target(&self, hash: u64) -> bool {
        fraction(hash) < self.share
    }
}

/// A hash as a number from 0 to 1.
fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
