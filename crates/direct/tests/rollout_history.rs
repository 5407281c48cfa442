//! Simulates rollouts at several entries with restarts, lost reports and store outages, and
//! compares the outcome with one evaluation of all evidence.

use ibissail_core::{Count, Incarnation, Millis, StoreRevision};
use ibissail_direct::{
    Evidence, Phase, Rollout, RolloutController, RolloutReport, RolloutState, Sample, Schedule,
    Verdict, compare_versions, is_suspect, stable_hash,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

/// Length of a simulation step in milliseconds.
const STEP_MS: u64 = 50;
/// Probability of a request at an entry in a step: 60 requests a second over five entries.
const REQUESTS_PER_STEP: f64 = 0.6;
/// Replicas of the new version.
const REPLICAS: Count = Count(6);
const DURATION: Millis = Millis(14_000);
const EXPOSURE: f64 = 0.15;
/// Requests that a bad version may receive beyond its share; the smallest bound that operators set.
const ALLOWANCE: f64 = 30.0;
/// Time after the rollout's end by which its status must be final, unless the store is down.
const SETTLING_MS: u64 = 1_500;
const PEER_TIMEOUT_MS: u64 = 3_000;

struct Entry {
    number: u64,
    /// Time of the last start; `None` while the entry is down, until `restart_at`.
    started: Option<u64>,
    restart_at: u64,
    controller: Option<RolloutController>,
    reports_received: BTreeMap<u64, (u64, Incarnation, RolloutReport)>,
}

impl Entry {
    /// Identifies the current run: no two runs share the entry and the start time.
    fn incarnation(&self) -> Incarnation {
        Incarnation(10 * self.started.unwrap_or_default() + self.number)
    }
}

/// Result of a simulated rollout.
struct Outcome {
    state: RolloutState,
    all: u32,
    new: u32,
    new_responses: u32,
    /// When an evaluation of all evidence would have rejected the version.
    rejected_at: Option<u64>,
    is_suspect: bool,
    has_late_outage: bool,
    restarts: u32,
}

struct Simulation {
    rng: StdRng,
    entries: Vec<Entry>,
    rollout: Rollout,
    all_evidence: Evidence,
    outcome: Outcome,
    outage: (u64, u64),
    bad_share: f64,
    report_loss: f64,
}

impl Simulation {
    fn new(seed: u64, is_bad: bool) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let outage_at = rng.random_range(0..DURATION.0);
        let outage = (outage_at, outage_at + rng.random_range(0..4_000));
        let entry = |number| Entry {
            number,
            started: Some(0),
            restart_at: 0,
            controller: None,
            reports_received: BTreeMap::new(),
        };
        Self {
            entries: (0..5).map(entry).collect(),
            rollout: Rollout {
                service: "writers".parse().expect("a valid name"),
                target: "v2".parse().expect("a valid name"),
                duration: DURATION,
                revision: StoreRevision::new(0, 1),
                state: RolloutState::Pending,
                started_unix_ms: None,
            },
            all_evidence: Evidence::default(),
            outcome: Outcome {
                state: RolloutState::Pending,
                all: 0,
                new: 0,
                new_responses: 0,
                rejected_at: None,
                is_suspect: false,
                has_late_outage: outage.1 > DURATION.0 - 1_500,
                restarts: 0,
            },
            outage,
            bad_share: if is_bad { rng.random_range(0.3..0.9) } else { 0.01 },
            report_loss: rng.random_range(0.0..0.3),
            rng,
        }
    }

    fn is_in_outage(&self, now: u64) -> bool {
        (self.outage.0..self.outage.1).contains(&now)
    }

    fn restart_entries(&mut self, now: u64) {
        for entry in &mut self.entries {
            if entry.started.is_none() && now >= entry.restart_at {
                entry.started = Some(now);
            }
            if entry.started.is_some() && self.rng.random_bool(0.001) {
                entry.started = None;
                entry.restart_at = now + 1_000;
                entry.controller = None;
                entry.reports_received.clear();
                self.outcome.restarts += 1;
            }
        }
    }

    fn read_status(&mut self, now: u64) {
        if self.is_in_outage(now) {
            return;
        }
        for entry in self.entries.iter_mut().filter(|entry| entry.started.is_some()) {
            match &mut entry.controller {
                Some(controller) if controller.rollout.revision < self.rollout.revision => {
                    controller.update(self.rollout.clone());
                }
                Some(_) => {}
                None => {
                    let since = self.rollout.started_unix_ms.unwrap_or(now);
                    let running_for = Millis(now).since(Millis(since));
                    let rollout = self.rollout.clone();
                    let controller =
                        RolloutController::new(rollout, EXPOSURE, running_for, Millis(now));
                    entry.controller = Some(controller);
                }
            }
        }
    }

    fn serve(&mut self, now: u64) {
        for entry in self.entries.iter_mut().filter(|entry| entry.started.is_some()) {
            if !self.rng.random_bool(REQUESTS_PER_STEP) {
                continue;
            }
            let hash = stable_hash(&[&self.rng.random::<u64>().to_string()]);
            let split =
                entry.controller.as_ref().map(|controller| controller.current_split(Millis(now)));
            let is_new = split.is_some_and(|split| split.routes_to_target(hash));
            let share = if is_new { self.bad_share } else { 0.01 };
            let sample = Sample {
                route: self.rng.random_range(0..3),
                latency_class: 1,
                replica: self.rng.random_range(0..9),
                is_failure: self.rng.random_bool(share),
                latency_ms: Some(self.rng.random_range(50..90)),
            };
            if now < DURATION.0 {
                self.outcome.all += 1;
                self.outcome.new += u32::from(is_new);
            }
            let Some(controller) = &mut entry.controller else { continue };
            if !controller.rollout.state.is_final() {
                controller.evidence.record(is_new, &sample);
                let counts =
                    if is_new { &mut self.all_evidence.new } else { &mut self.all_evidence.old };
                counts.record(&sample);
            }
        }
        let is_rejected = compare_versions(&self.all_evidence, REPLICAS).is_bad();
        if is_rejected && self.outcome.rejected_at.is_none() {
            self.outcome.rejected_at = Some(now);
        }
        let schedule = Schedule { elapsed: Millis(now), duration: DURATION, exposure: EXPOSURE };
        if schedule.phase() == Phase::Canary {
            self.outcome.is_suspect |= is_suspect(&self.all_evidence, REPLICAS);
        }
    }

    fn report(&mut self, now: u64) {
        let report = |entry: &Entry| {
            let controller = entry.controller.as_ref()?;
            Some((entry.number, entry.incarnation(), controller.report(Millis(now))))
        };
        let reports: Vec<_> = self
            .entries
            .iter()
            .filter(|entry| entry.started.is_some())
            .filter_map(report)
            .collect();
        for entry in self.entries.iter_mut().filter(|entry| entry.started.is_some()) {
            for (number, incarnation, report) in &reports {
                if *number != entry.number && !self.rng.random_bool(self.report_loss) {
                    entry.reports_received.insert(*number, (now, *incarnation, report.clone()));
                }
            }
        }
    }

    fn decide(&mut self, now: u64) {
        let is_in_outage = self.is_in_outage(now);
        for entry in self.entries.iter_mut().filter(|entry| entry.started.is_some()) {
            let Some(controller) = &mut entry.controller else { continue };
            let peers =
                entry.reports_received.values().filter(|(at, ..)| now - at < PEER_TIMEOUT_MS);
            let peers = peers.map(|(_, peer, report)| (*peer, report.clone()));
            let Some(state) = controller.decide(peers.collect::<Vec<_>>(), REPLICAS, Millis(now))
            else {
                continue;
            };
            // Simulates a conditional update, which fails unless the entry knows the newest status.
            if is_in_outage || controller.rollout.revision != self.rollout.revision {
                continue;
            }
            assert!(!self.rollout.state.is_final(), "a final status must not change");
            self.rollout.state = state;
            self.rollout.revision = StoreRevision::new(0, self.rollout.revision.revision.0 + 1);
            let running_for = controller.elapsed(Millis(now)).0;
            self.rollout.started_unix_ms = Some(now.saturating_sub(running_for));
        }
    }

    fn run(mut self) -> Outcome {
        for now in (0..DURATION.0 + SETTLING_MS).step_by(usize::try_from(STEP_MS).expect("small")) {
            self.restart_entries(now);
            if now % 200 == 0 {
                self.read_status(now);
            }
            self.serve(now);
            if now % 400 == 0 {
                self.report(now);
            }
            if now % 250 == 0 {
                self.decide(now);
            }
        }
        self.outcome.state = self.rollout.state;
        self.outcome.new_responses = self.all_evidence.new.response_count();
        self.outcome
    }
}

#[test]
fn bad_version_never_takes_over_and_stays_within_its_exposure() {
    let mut took_over = 0;
    for seed in 0..600 {
        let outcome = Simulation::new(seed, true).run();
        let bound = EXPOSURE * f64::from(outcome.all) + ALLOWANCE;
        assert!(f64::from(outcome.new) <= bound, "seed {seed}: {} of {}", outcome.new, outcome.all);
        let is_rejected_early = outcome.rejected_at.is_some_and(|at| at + 2_000 < DURATION.0);
        if is_rejected_early {
            assert_ne!(outcome.state, RolloutState::Succeeded, "seed {seed}");
        }
        if !outcome.has_late_outage {
            assert!(outcome.state.is_final(), "seed {seed}: {}", outcome.state);
        }
        took_over += u32::from(outcome.state == RolloutState::Succeeded);
    }
    assert!(took_over <= 6, "{took_over} of 600 bad versions took over");
}

#[test]
fn good_version_takes_over() {
    let (mut undisturbed, mut kept_old) = (0, 0);
    for seed in 0..600 {
        let outcome = Simulation::new(seed, false).run();
        let is_undisturbed = outcome.restarts <= 2
            && !outcome.has_late_outage
            && outcome.new_responses >= 20
            && outcome.rejected_at.is_none()
            && !outcome.is_suspect;
        undisturbed += u32::from(is_undisturbed);
        kept_old += u32::from(is_undisturbed && outcome.state != RolloutState::Succeeded);
    }
    assert!(undisturbed >= 300, "{undisturbed} undisturbed rollouts");
    assert!(
        kept_old * 100 <= undisturbed,
        "{kept_old} of {undisturbed} good versions did not take over"
    );
}

/// Sessions that have moved to the new version in the full phase must stay there, even if a few
/// later responses make the version suspect.
#[test]
fn full_phase_is_not_reverted_by_suspicion() {
    let rollout = Simulation::new(1, false).rollout;
    let mut controller = RolloutController::new(rollout, EXPOSURE, Millis(0), Millis(0));
    let sample = |number: u32, latency_ms| Sample {
        route: 1,
        latency_class: 1,
        replica: u64::from(number % 5),
        is_failure: false,
        latency_ms: Some(latency_ms),
    };
    for number in 0..40 {
        controller.evidence.record(true, &sample(number, 60 + u64::from(number)));
        controller.evidence.record(false, &sample(number, 60 + u64::from(number)));
    }
    let no_peers = Vec::new;
    controller.decide(no_peers(), REPLICAS, Millis(12_000));
    let full = Millis(13_200);
    controller.decide(no_peers(), REPLICAS, full);
    assert!((controller.current_split(full).share - 1.0).abs() < f64::EPSILON);
    for number in 0..20 {
        controller.evidence.record(true, &sample(number, 170));
    }
    let later = Millis(13_300);
    controller.decide(no_peers(), REPLICAS, later);
    assert_eq!(controller.verdict(), Verdict::NoDifference, "not enough to reject it");
    assert!((controller.current_split(later).share - 1.0).abs() < f64::EPSILON);
}

/// A service with few requests gives its last answers just before the rollout's end.
#[test]
fn answers_after_the_canary_phase_complete_the_test() {
    let rollout = Simulation::new(1, false).rollout;
    let mut controller = RolloutController::new(rollout, EXPOSURE, Millis(0), Millis(0));
    let sample =
        Sample { route: 1, latency_class: 1, replica: 1, is_failure: false, latency_ms: Some(60) };
    let no_peers = Vec::new;
    for _ in 0..4 {
        controller.evidence.record(true, &sample);
    }
    controller.decide(no_peers(), REPLICAS, Millis(12_500));
    controller.decide(no_peers(), REPLICAS, Millis(13_000));
    assert!(controller.current_split(Millis(13_000)).is_canary, "four answers are too few");
    controller.evidence.record(true, &sample);
    let due = Millis(13_450);
    assert_eq!(controller.decide(no_peers(), REPLICAS, due), Some(RolloutState::Succeeded));
}
