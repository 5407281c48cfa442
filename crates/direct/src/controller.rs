//! Carries an order out at one entry, beside all others that do the same.
//!
//! Entries lead nobody and follow nobody: each computes what is due from the time since the order
//! and from the evidence that it has heard of, and writes the status if nobody has written it.

use crate::{
    CanaryProgress, Evidence, Phase, Rollout, RolloutState, Schedule, SharedEvidence, Slowdown,
    TrafficSplit, Verdict, compare_versions, is_suspect, slowdown,
};
use ibissail_core::{Incarnation, Millis, ServiceId, VersionId};
use serde::{Deserialize, Serialize};

/// What an entry says of an order in progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub target: VersionId,
    /// How far the order has come, as the reporting entry knows it.
    pub state: RolloutState,
    /// Time since any entry first saw the order.
    pub elapsed: Millis,
    /// Time for which the reporting entry has watched the new version.
    #[serde(rename = "watched")]
    pub observed_for: Millis,
    /// Whether it has condemned the new version.
    pub is_bad: bool,
    /// Its requests on the old version.
    pub old_running: u32,
    /// Answers that it has counted itself.
    pub evidence: Evidence,
}

/// An order, and what one entry knows of its course.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutController {
    /// The order, as far as this entry knows.
    pub rollout: Rollout,
    /// Answers that the entries have seen.
    pub evidence: SharedEvidence,
    /// Requests of this entry that run on the old version.
    pub old_running: u32,
    /// When any entry first saw the order, by this entry's clock.
    first_seen: Millis,
    /// What was decided; it is not taken back.
    verdict: Verdict,
    canary: CanaryProgress,
    /// Whether the version was suspect when its trial ended; later answers only condemn it, so that
    /// sessions do not move to and fro.
    was_suspect: Option<bool>,
    slowdown: Slowdown,
    /// Share of requests that a bad version may get.
    exposure: f64,
}

impl RolloutController {
    /// Takes an order up; `running_for` is the time since another entry did, where that is known.
    #[must_use]
    pub fn new(rollout: Rollout, exposure: f64, running_for: Millis, now: Millis) -> Self {
        Self {
            rollout,
            evidence: SharedEvidence::new(now),
            old_running: 0,
            first_seen: now.since(running_for),
            verdict: Verdict::NoDifference,
            canary: CanaryProgress::default(),
            was_suspect: None,
            slowdown: Slowdown::default(),
            exposure,
        }
    }

    /// Takes over a newer status of the same order.
    pub fn update(&mut self, rollout: Rollout) {
        if rollout.state.is_final() {
            self.evidence.clear_peers();
        }
        self.rollout = rollout;
    }

    /// Time since any entry first saw the order.
    #[must_use]
    pub fn elapsed(&self, now: Millis) -> Millis {
        now.since(self.first_seen)
    }

    /// What has been decided on the new version.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// How well the new version has been tried.
    #[must_use]
    pub fn canary(&self) -> CanaryProgress {
        self.canary
    }

    /// How much longer the new version's answers take.
    #[must_use]
    pub fn slowdown(&self) -> Slowdown {
        self.slowdown
    }

    /// Where the order stands in its time.
    #[must_use]
    pub fn schedule(&self, now: Millis) -> Schedule {
        Schedule {
            elapsed: self.elapsed(now),
            duration: self.rollout.duration,
            exposure: self.exposure,
        }
    }

    /// How this entry divides the service's requests.
    #[must_use]
    pub fn current_split(&self, now: Millis) -> TrafficSplit {
        TrafficSplit::new(&self.rollout, &self.schedule(now), self.verdict.is_bad(), self.canary)
    }

    /// What this entry tells its peers; of an order that is over, nobody needs the evidence.
    #[must_use]
    pub fn report(&self, now: Millis) -> RolloutReport {
        let is_over = self.rollout.state.is_final();
        RolloutReport {
            service: self.rollout.service.clone(),
            target: self.rollout.target.clone(),
            state: self.rollout.state,
            elapsed: self.elapsed(now),
            observed_for: self.evidence.own_observed_for(now),
            is_bad: self.verdict.is_bad(),
            old_running: self.old_running,
            evidence: if is_over { Evidence::default() } else { self.evidence.own().clone() },
        }
    }

    /// Takes over what live peers say, and returns the status that the order should get now, if
    /// another than it has.
    pub fn decide<I>(&mut self, peers: I, now: Millis) -> Option<RolloutState>
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
            self.first_seen = self.first_seen.min(now.since(report.elapsed));
            if report.state.is_final() {
                // A peer has read what this entry may be unable to read.
                self.update(Rollout { state: report.state, ..self.rollout.clone() });
                return None;
            }
            if report.is_bad && !self.verdict.is_bad() {
                self.verdict = Verdict::Failing;
            }
        }
        self.weigh(now);
        self.wanted(old_running, now)
    }

    fn weigh(&mut self, now: Millis) {
        let evidence = self.evidence.total();
        if !self.verdict.is_bad() {
            self.verdict = compare_versions(&evidence);
        }
        self.slowdown = slowdown(&evidence);
        let is_suspect = self.was_suspect.unwrap_or_else(|| is_suspect(&evidence));
        if self.schedule(now).phase() != Phase::Canary {
            self.was_suspect = Some(is_suspect);
        }
        self.canary = CanaryProgress {
            responses: evidence.new.answers(),
            observed_for: self.evidence.observed_for(now),
            is_suspect,
        };
    }

    fn wanted(&self, old_running: u32, now: Millis) -> Option<RolloutState> {
        let is_tried = self.canary.is_sufficient(self.rollout.duration);
        match (self.verdict.is_bad(), self.rollout.state, self.schedule(now).phase()) {
            (false, _, Phase::Due) if is_tried => Some(RolloutState::Succeeded),
            // Without evidence the old version is the safe one.
            (true, ..) | (false, _, Phase::Due) => Some(RolloutState::RolledBack),
            (false, _, Phase::Full) if old_running == 0 && is_tried => {
                Some(RolloutState::Succeeded)
            }
            (false, RolloutState::Pending, _) => Some(RolloutState::Running),
            _ => None,
        }
    }
}
