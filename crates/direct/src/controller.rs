//! Controls a rollout at one entry, without a leader.
//!
//! Each entry computes the next step from the time since the rollout was first seen and from the
//! evidence that it has received, and writes the rollout's status if no other entry has written it.

use crate::{
    CanaryProgress, Evidence, Phase, Rollout, RolloutState, Schedule, SharedEvidence, Slowdown,
    TrafficSplit, Verdict, compare_versions, is_suspect, pace_slowdown, restored_state, slowdown,
};
use ibissail_core::{Count, Incarnation, Millis, ServiceId, VersionId};
use serde::{Deserialize, Serialize};

/// Error of an age that wall clocks gave up to which sessions still stay on the old version long
/// enough.
const MAX_CLOCK_ERROR: Millis = Millis(3_000);

/// Report on a rollout, sent to the peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Service that is rolled out.
    pub service: ServiceId,
    /// New version.
    pub target: VersionId,
    /// State of the rollout, as known to the reporting entry.
    pub state: RolloutState,
    /// Time since any entry first saw the rollout; zero if the reporting entry only has the start
    /// time in the status, which another VM's clock gave.
    pub elapsed: Millis,
    /// Time for which the reporting entry has observed the new version.
    #[serde(rename = "watched")]
    pub observed_for: Millis,
    /// Whether the reporting entry has rejected the new version.
    pub is_bad: bool,
    /// Requests of the reporting entry that run on the old version.
    pub old_running: u32,
    /// Responses that the reporting entry has counted itself.
    pub evidence: Evidence,
}

/// A rollout and its progress, as known to one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutController {
    /// The rollout, with the latest status known to this entry.
    pub rollout: Rollout,
    /// Responses counted by all entries.
    pub evidence: SharedEvidence,
    /// Requests of this entry that run on the old version.
    pub old_running: u32,
    /// Time at which any entry first saw the rollout, on this entry's clock.
    first_seen: Millis,
    /// Whether that time comes from the status and wall clocks, which may be wrong by seconds, and
    /// no peer has told its own yet.
    is_start_estimated: bool,
    /// Current verdict; a rejection is final.
    verdict: Verdict,
    canary: CanaryProgress,
    /// Result of the canary phase, which decides whether the full phase follows; `None` until it is
    /// fixed. Of the results of all entries, the greatest counts. Later responses can only reject
    /// the version, so that sessions do not move back and forth.
    canary_result: Option<CanaryProgress>,
    /// Whether the responses that this entry knows are included in that result.
    is_canary_concluded: bool,
    slowdown: Slowdown,
    pace_slowdown: Slowdown,
    /// Share of requests that a bad version may receive.
    exposure: f64,
}

impl RolloutController {
    /// Starts to control a rollout; `running_for` is the time since another entry started it by the
    /// wall clock, zero if unknown.
    #[must_use]
    pub fn new(rollout: Rollout, exposure: f64, running_for: Millis, now: Millis) -> Self {
        Self {
            is_start_estimated: rollout.started_unix_ms.is_some(),
            rollout,
            evidence: SharedEvidence::new(now),
            old_running: 0,
            first_seen: now.since(running_for),
            verdict: Verdict::NoDifference,
            canary: CanaryProgress::default(),
            canary_result: None,
            is_canary_concluded: false,
            slowdown: Slowdown::default(),
            pace_slowdown: Slowdown::default(),
            exposure,
        }
    }

    /// Applies a newer status of the same rollout.
    pub fn update(&mut self, rollout: Rollout) {
        if rollout.state.is_final() {
            self.evidence.clear_peers();
        }
        self.rollout = rollout;
    }

    /// Applies the record of the same rollout from a restored store: its position is the one to
    /// write to, while state, time and evidence stay as known. Returns whether the store has lost
    /// the state.
    pub fn restore(&mut self, rollout: Rollout) -> bool {
        let state = restored_state(self.rollout.state, rollout.state);
        let started_unix_ms = self.rollout.started_unix_ms.or(rollout.started_unix_ms);
        let is_lost = state != rollout.state;
        self.update(Rollout { state, started_unix_ms, ..rollout });
        is_lost
    }

    /// Time since any entry first saw the rollout.
    #[must_use]
    pub fn elapsed(&self, now: Millis) -> Millis {
        now.since(self.first_seen)
    }

    /// Current verdict on the new version.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// How thoroughly the new version has been tested.
    #[must_use]
    pub fn canary(&self) -> CanaryProgress {
        self.canary
    }

    /// How much slower the new version is.
    #[must_use]
    pub fn slowdown(&self) -> Slowdown {
        self.slowdown
    }

    /// How much slower the streams of the new version are after their first events.
    #[must_use]
    pub fn pace_slowdown(&self) -> Slowdown {
        self.pace_slowdown
    }

    /// Elapsed and total time of the rollout, and the exposure that it allows.
    #[must_use]
    pub fn schedule(&self, now: Millis) -> Schedule {
        Schedule {
            elapsed: self.elapsed(now),
            duration: self.rollout.duration,
            exposure: self.exposure,
        }
    }

    /// How this entry splits the service's requests between the versions.
    #[must_use]
    pub fn current_split(&self, now: Millis) -> TrafficSplit {
        let schedule = self.schedule(now);
        let split = TrafficSplit::new(&self.rollout, &schedule, self.verdict.is_bad(), self.canary);
        if split.is_canary && self.is_start_estimated {
            let elapsed = schedule.elapsed.since(MAX_CLOCK_ERROR);
            if !(Schedule { elapsed, ..schedule }).includes_sessions() {
                return TrafficSplit { session_share: 0.0, ..split };
            }
        }
        split
    }

    /// Report for the peers; once the rollout is over, they no longer need the evidence.
    #[must_use]
    pub fn report(&self, now: Millis) -> RolloutReport {
        let is_over = self.rollout.state.is_final();
        let elapsed = if self.is_start_estimated { Millis(0) } else { self.elapsed(now) };
        RolloutReport {
            service: self.rollout.service.clone(),
            target: self.rollout.target.clone(),
            state: self.rollout.state,
            elapsed,
            observed_for: self.evidence.own_observed_for(now),
            is_bad: self.verdict.is_bad(),
            old_running: self.old_running,
            evidence: if is_over { Evidence::default() } else { self.evidence.own().clone() },
        }
    }

    /// Merges the reports of live peers and returns the state to write, or `None` if the state
    /// needs no change.
    ///
    /// `replicas` is the number of replicas of the new version.
    pub fn decide<I>(&mut self, peers: I, replicas: Count, now: Millis) -> Option<RolloutState>
    where
        I: IntoIterator<Item = (Incarnation, RolloutReport)>,
    {
        if self.rollout.state.is_final() {
            return None;
        }
        let mut old_running = self.old_running;
        for (peer, report) in peers {
            if report.target != self.rollout.target {
                continue;
            }
            old_running += report.old_running;
            self.evidence.update_peer(peer, report.evidence, report.observed_for);
            self.merge_start(report.elapsed, now);
            if report.state.is_final() {
                // The peer has read a status that this entry may be unable to read.
                self.update(Rollout { state: report.state, ..self.rollout.clone() });
                return None;
            }
            if report.is_bad && !self.verdict.is_bad() {
                // Reports do not say whether the peer saw failures or slow responses.
                self.verdict = Verdict::Failing;
            }
        }
        self.evaluate(replicas, now);
        self.next_state(old_running, now)
    }

    /// Applies the time since the start of the rollout that a peer has told.
    fn merge_start(&mut self, elapsed: Millis, now: Millis) {
        if elapsed == Millis(0) {
            return;
        }
        let told = now.since(elapsed);
        self.first_seen = if self.is_start_estimated { told } else { self.first_seen.min(told) };
        self.is_start_estimated = false;
    }

    fn evaluate(&mut self, replicas: Count, now: Millis) {
        let evidence = self.evidence.total();
        if !self.verdict.is_bad() {
            self.verdict = compare_versions(&evidence, replicas);
        }
        self.slowdown = slowdown(&evidence);
        self.pace_slowdown = pace_slowdown(&evidence);
        let mut canary = CanaryProgress {
            responses: evidence.new.response_count(),
            observed_for: self.evidence.observed_for(now),
            is_suspect: is_suspect(&evidence, replicas),
        };
        let schedule = self.schedule(now);
        if schedule.is_canary_concluded() && !self.is_canary_concluded {
            self.canary_result = self.canary_result.max(Some(canary));
            self.is_canary_concluded = true;
        }
        if let Some(result) = self.canary_result {
            // Responses that come later may complete the test, but not make the version suspect.
            canary.responses = canary.responses.max(result.responses);
            canary.observed_for = canary.observed_for.max(result.observed_for);
            canary.is_suspect = result.is_suspect;
        }
        self.canary = canary;
    }

    /// Result of the canary phase, to be told to the peers; `None` before it is fixed and once the
    /// rollout is over.
    #[must_use]
    pub fn canary_result(&self) -> Option<CanaryProgress> {
        self.canary_result.filter(|_| !self.rollout.state.is_final())
    }

    /// Applies a peer's result of the canary phase; returns whether it replaces the known one.
    ///
    /// Each entry knows the responses of some peers only. As all adopt the greatest result, they
    /// decide the same whatever each of them has counted.
    pub fn merge_canary_result(
        &mut self,
        target: &VersionId,
        result: CanaryProgress,
        now: Millis,
    ) -> bool {
        let is_current = *target == self.rollout.target
            && !self.rollout.state.is_final()
            && self.schedule(now).is_canary_concluded();
        if !is_current || self.canary_result >= Some(result) {
            return false;
        }
        self.canary_result = Some(result);
        self.canary.responses = self.canary.responses.max(result.responses);
        self.canary.observed_for = self.canary.observed_for.max(result.observed_for);
        self.canary.is_suspect = result.is_suspect;
        true
    }

    fn next_state(&self, old_running: u32, now: Millis) -> Option<RolloutState> {
        let is_tested = self.canary.is_sufficient(self.rollout.duration);
        match (self.verdict.is_bad(), self.rollout.state, self.schedule(now).phase()) {
            (false, _, Phase::Due) if is_tested => Some(RolloutState::Succeeded),
            // Without enough evidence, the old version is the safe choice.
            (true, ..) | (false, _, Phase::Due) => Some(RolloutState::RolledBack),
            (false, _, Phase::Full) if old_running == 0 && is_tested => {
                Some(RolloutState::Succeeded)
            }
            (false, RolloutState::Pending, _) => Some(RolloutState::Running),
            _ => None,
        }
    }
}
