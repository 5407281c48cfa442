//! Shifts a service's requests to a new version in steps.
//!
//! Every entry computes the same step from the time since the rollout was first seen and the shared
//! evidence, so no leader is needed. Only the rollout's status is durable; it is changed by
//! conditional updates.

use derive_more::Display;
use ibissail_core::{Millis, ServiceId, StoreRevision, VersionId};
use serde::{Deserialize, Serialize};

/// Part of the allowed exposure that the canary phase uses.
const CANARY_PART: f64 = 0.4;
/// Part of the allowed exposure that sessions may use in the canary phase; twice [`CANARY_PART`],
/// because they join it halfway.
const SESSION_CANARY_PART: f64 = 0.8;
/// Part of the rollout's duration in which all sessions stay on the old version: the half in which
/// operators expect it, and a margin for entries that disagree on the start.
const SESSION_DELAY_PART: f64 = 0.52;
/// Part of the allowed exposure that the full phase uses before success is recorded. A version may
/// fail only under the load of all requests, so this phase comes last and is short.
const FULL_PART: f64 = 0.5;
/// Time before the full phase in which the entries agree on the result of the canary phase: four
/// rounds of messages.
const AGREEMENT_TIME: Millis = Millis(1_600);
/// Longest time for that, as a part of the rollout's duration.
const MAX_AGREEMENT_PART: f64 = 0.1;
/// Time before the rollout's end at which the outcome is recorded even if requests still run on the
/// old version; operators see a status up to half a second after it was written.
const STATUS_MARGIN: Millis = Millis(600);
/// Time after the start of a rollout in which the new version gets no requests. Entries of earlier
/// builds exchange which sessions run on the old one.
const CANARY_DELAY: Millis = Millis(1_200);
/// Part of the rollout's duration for which some entry must have observed the new version before
/// success. Restarts lose evidence, and a version that no entry has observed that long keeps
/// the canary share.
const MIN_OBSERVED_PART: f64 = 0.4;
/// Minimum number of responses of the new version before it gets more than the canary share.
const MIN_RESPONSES: u32 = 5;

/// State of a rollout, as stored in its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
pub enum RolloutState {
    /// No entry has started it.
    #[display("pending")]
    Pending,
    /// It is in progress.
    #[display("running")]
    Running,
    /// The new version has taken over.
    #[display("succeeded")]
    Succeeded,
    /// The old version has been kept.
    #[display("rolled back")]
    RolledBack,
}

impl RolloutState {
    /// Whether the rollout is over.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::RolledBack)
    }
}

/// A rollout requested by an operator: moves a service to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// Service that is rolled out.
    pub service: ServiceId,
    /// New version.
    pub target: VersionId,
    /// Time in which the rollout must finish.
    pub duration: Millis,
    /// Position in the store of the object that holds it.
    pub revision: StoreRevision,
    /// State of the rollout.
    pub state: RolloutState,
    /// Unix time at which an entry started it, in milliseconds; `None` if none has.
    pub started_unix_ms: Option<u64>,
}

/// Phase of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Phase {
    /// A small share of the requests goes to the new version.
    #[display("trial")]
    Canary,
    /// All requests go to the new version; success is recorded once none runs on the old one.
    #[display("full")]
    Full,
    /// The outcome must be recorded now.
    #[display("due")]
    Due,
}

/// Elapsed and total time of a rollout, and the exposure that it allows.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    /// Time since any entry first saw the rollout.
    pub elapsed: Millis,
    /// Time in which the rollout must finish.
    pub duration: Millis,
    /// Share of the requests in that time that a bad version may receive.
    pub exposure: f64,
}

/// How thoroughly the new version has been tested.
///
/// In the order of values, one that counts more responses is greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CanaryProgress {
    /// Responses of the new version counted by all entries.
    pub responses: u32,
    /// Longest time for which one entry has observed it without a restart.
    pub observed_for: Millis,
    /// Whether the responses speak against it, though not enough to reject it.
    pub is_suspect: bool,
}

impl CanaryProgress {
    /// Whether the version has been tested enough to receive all requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::Millis;
    /// use ibissail_direct::CanaryProgress;
    /// let duration = Millis(20_000);
    /// let canary = CanaryProgress { responses: 30, observed_for: Millis(15_000), is_suspect: false };
    /// assert!(canary.is_sufficient(duration));
    /// assert!(!CanaryProgress { observed_for: Millis(2_000), ..canary }.is_sufficient(duration));
    /// ```
    #[must_use]
    pub fn is_sufficient(&self, duration: Millis) -> bool {
        let needed = duration.0 as f64 * MIN_OBSERVED_PART;
        !self.is_suspect && self.responses >= MIN_RESPONSES && self.observed_for.0 as f64 >= needed
    }
}

impl Schedule {
    /// Whether sessions may run on the new version.
    pub(crate) fn includes_sessions(&self) -> bool {
        self.elapsed.0 as f64 >= self.duration.0 as f64 * SESSION_DELAY_PART
    }

    /// Time until the full phase begins, in milliseconds.
    fn time_until_full(&self) -> f64 {
        let full_time = self.duration.0 as f64 * FULL_PART * self.exposure;
        self.duration.since(self.elapsed).0 as f64 - full_time
    }

    /// Whether the result of the canary phase is fixed, so that the entries can agree on it before
    /// the full phase begins.
    #[must_use]
    pub fn is_canary_concluded(&self) -> bool {
        let longest = self.duration.0 as f64 * MAX_AGREEMENT_PART;
        self.time_until_full() <= longest.min(AGREEMENT_TIME.0 as f64)
    }

    /// Phase at the elapsed time.
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
        if self.time_until_full() > 0.0 {
            Phase::Canary
        } else if self.duration.since(self.elapsed) > STATUS_MARGIN {
            Phase::Full
        } else {
            Phase::Due
        }
    }
}

/// How the requests of a service are split between the two versions.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficSplit {
    /// New version.
    pub target: VersionId,
    /// Share of the requests without a session that the new version receives, from 0 to 1.
    pub share: f64,
    /// Share of the sessions that run on the new version, from 0 to 1. It depends on the time and
    /// the phase only, so that no entry needs to know where a session has run.
    pub session_share: f64,
    /// Whether the rollout is in progress and not all requests go to the new version; also true
    /// while the share is 0.
    pub is_canary: bool,
}

impl TrafficSplit {
    /// Computes the split for the current state of a rollout.
    ///
    /// The canary share is kept until the new version has been tested enough.
    #[must_use]
    pub fn new(
        rollout: &Rollout,
        schedule: &Schedule,
        is_bad: bool,
        canary: CanaryProgress,
    ) -> Self {
        let canary_share = CANARY_PART * schedule.exposure;
        let session_canary_share = if schedule.includes_sessions() {
            SESSION_CANARY_PART * schedule.exposure
        } else {
            0.0
        };
        let canary_shares = (canary_share, session_canary_share);
        let (share, session_share) = match rollout.state {
            RolloutState::Succeeded => (1.0, 1.0),
            RolloutState::RolledBack => (0.0, 0.0),
            RolloutState::Pending | RolloutState::Running
                if is_bad || schedule.elapsed < CANARY_DELAY =>
            {
                (0.0, 0.0)
            }
            RolloutState::Pending | RolloutState::Running
                if !canary.is_sufficient(rollout.duration) =>
            {
                canary_shares
            }
            RolloutState::Pending | RolloutState::Running => match schedule.phase() {
                Phase::Canary => canary_shares,
                Phase::Full | Phase::Due => (1.0, 1.0),
            },
        };
        let is_canary = !rollout.state.is_final() && share < 1.0;
        Self { target: rollout.target.clone(), share, session_share, is_canary }
    }

    /// Whether an entry of an earlier build would send a session with this hash to the new version.
    #[must_use]
    pub fn is_in_canary(hash: u64, exposure: f64) -> bool {
        unit_fraction(hash) < CANARY_PART * exposure
    }

    /// Whether the sessions with this hash run on the new version.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{Millis, StoreRevision};
    /// use ibissail_direct::{CanaryProgress, Rollout, RolloutState, Schedule, TrafficSplit};
    /// let rollout = Rollout {
    ///     service: "records".parse().unwrap(),
    ///     target: "v2".parse().unwrap(),
    ///     duration: Millis(24_000),
    ///     revision: StoreRevision::new(0, 1),
    ///     state: RolloutState::Running,
    ///     started_unix_ms: None,
    /// };
    /// let split = |elapsed| {
    ///     let schedule = Schedule { elapsed, duration: rollout.duration, exposure: 0.15 };
    ///     TrafficSplit::new(&rollout, &schedule, false, CanaryProgress::default())
    /// };
    /// assert!(!split(Millis(11_900)).routes_session_to_target(0), "sessions stay at first");
    /// assert!(split(Millis(13_000)).routes_session_to_target(0));
    /// ```
    #[must_use]
    pub fn routes_session_to_target(&self, hash: u64) -> bool {
        unit_fraction(hash) < self.session_share
    }

    /// Whether a request without a session and with this hash goes to the new version.
    ///
    /// A hash that goes to the new version keeps going there while the share grows.
    #[must_use]
    pub fn routes_to_target(&self, hash: u64) -> bool {
        unit_fraction(hash) < self.share
    }
}

/// Maps a hash to a number between 0 and 1.
fn unit_fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
