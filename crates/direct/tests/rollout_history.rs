//! Random histories of an order at several entries, against one controller that sees everything.

use ibissail_core::{Incarnation, Millis, Revision};
use ibissail_direct::{
    Evidence, Phase, Rollout, RolloutController, RolloutReport, RolloutState, Sample, Schedule,
    Verdict, compare_versions, is_suspect, stable_hash,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

/// Milliseconds.
const STEP: u64 = 50;
/// Requests of an entry in a step: 60 a second over five entries.
const REQUESTS_PER_STEP: f64 = 0.6;
const DURATION: Millis = Millis(14_000);
const EXPOSURE: f64 = 0.15;
/// Requests that a bad version may get beyond its share; the users' smallest bound.
const ALLOWANCE: f64 = 30.0;
/// Time after the order's end at which the status must stand, unless the store is away.
const SETTLING: u64 = 1_500;
const PEER_TIME: u64 = 3_000;

struct Entry {
    number: u64,
    /// Unix time of the start, or `None` while it is down until the given time.
    started: Option<u64>,
    back_at: u64,
    controller: Option<RolloutController>,
    heard: BTreeMap<u64, (u64, Incarnation, RolloutReport)>,
}

impl Entry {
    /// Runs begin at different times, at different entries.
    fn incarnation(&self) -> Incarnation {
        Incarnation(10 * self.started.unwrap_or_default() + self.number)
    }
}

/// What came of a history.
struct Outcome {
    state: RolloutState,
    all: u32,
    new: u32,
    new_answers: u32,
    /// When one that sees everything would have condemned the version.
    condemned_at: Option<u64>,
    is_suspect: bool,
    was_store_away_late: bool,
    restarts: u32,
}

struct World {
    rng: StdRng,
    entries: Vec<Entry>,
    order: Rollout,
    everything: Evidence,
    outcome: Outcome,
    outage: (u64, u64),
    bad_share: f64,
    loss: f64,
}

impl World {
    fn new(seed: u64, is_bad: bool) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let outage_at = rng.random_range(0..DURATION.0);
        let outage = (outage_at, outage_at + rng.random_range(0..4_000));
        let entry = |number| Entry {
            number,
            started: Some(0),
            back_at: 0,
            controller: None,
            heard: BTreeMap::new(),
        };
        Self {
            entries: (0..5).map(entry).collect(),
            order: Rollout {
                service: "writers".parse().expect("a name"),
                target: "v2".parse().expect("a name"),
                duration: DURATION,
                revision: Revision(1),
                state: RolloutState::Pending,
                started_unix_ms: None,
            },
            everything: Evidence::default(),
            outcome: Outcome {
                state: RolloutState::Pending,
                all: 0,
                new: 0,
                new_answers: 0,
                condemned_at: None,
                is_suspect: false,
                was_store_away_late: outage.1 > DURATION.0 - 1_500,
                restarts: 0,
            },
            outage,
            bad_share: if is_bad { rng.random_range(0.3..0.9) } else { 0.01 },
            loss: rng.random_range(0.0..0.3),
            rng,
        }
    }

    fn is_store_away(&self, now: u64) -> bool {
        (self.outage.0..self.outage.1).contains(&now)
    }

    fn restart_some(&mut self, now: u64) {
        for entry in &mut self.entries {
            if entry.started.is_none() && now >= entry.back_at {
                entry.started = Some(now);
            }
            if entry.started.is_some() && self.rng.random_bool(0.001) {
                entry.started = None;
                entry.back_at = now + 1_000;
                entry.controller = None;
                entry.heard.clear();
                self.outcome.restarts += 1;
            }
        }
    }

    fn learn(&mut self, now: u64) {
        if self.is_store_away(now) {
            return;
        }
        for entry in self.entries.iter_mut().filter(|entry| entry.started.is_some()) {
            match &mut entry.controller {
                Some(known) if known.rollout.revision < self.order.revision => {
                    known.update(self.order.clone());
                }
                Some(_) => {}
                None => {
                    let since = self.order.started_unix_ms.unwrap_or(now);
                    let running_for = Millis(now).since(Millis(since));
                    let order = self.order.clone();
                    let known = RolloutController::new(order, EXPOSURE, running_for, Millis(now));
                    entry.controller = Some(known);
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
            let view = entry.controller.as_ref().map(|known| known.current_split(Millis(now)));
            let is_new = view.is_some_and(|view| view.routes_to_target(hash));
            let share = if is_new { self.bad_share } else { 0.01 };
            let sample = Sample {
                route: self.rng.random_range(0..3),
                kind: 1,
                replica: self.rng.random_range(0..9),
                is_bad: self.rng.random_bool(share),
                time_ms: Some(self.rng.random_range(50..90)),
            };
            if now < DURATION.0 {
                self.outcome.all += 1;
                self.outcome.new += u32::from(is_new);
            }
            let Some(known) = &mut entry.controller else { continue };
            if !known.rollout.state.is_final() {
                known.evidence.record(is_new, &sample);
                let counts =
                    if is_new { &mut self.everything.new } else { &mut self.everything.old };
                counts.record(&sample);
            }
        }
        let is_condemned = compare_versions(&self.everything).is_bad();
        if is_condemned && self.outcome.condemned_at.is_none() {
            self.outcome.condemned_at = Some(now);
        }
        let schedule = Schedule { elapsed: Millis(now), duration: DURATION, exposure: EXPOSURE };
        if schedule.phase() == Phase::Canary {
            self.outcome.is_suspect |= is_suspect(&self.everything);
        }
    }

    fn report(&mut self, now: u64) {
        let report = |entry: &Entry| {
            let known = entry.controller.as_ref()?;
            Some((entry.number, entry.incarnation(), known.report(Millis(now))))
        };
        let reports: Vec<_> = self
            .entries
            .iter()
            .filter(|entry| entry.started.is_some())
            .filter_map(report)
            .collect();
        for entry in self.entries.iter_mut().filter(|entry| entry.started.is_some()) {
            for (number, incarnation, report) in &reports {
                if *number != entry.number && !self.rng.random_bool(self.loss) {
                    entry.heard.insert(*number, (now, *incarnation, report.clone()));
                }
            }
        }
    }

    fn decide(&mut self, now: u64) {
        let is_away = self.is_store_away(now);
        for entry in self.entries.iter_mut().filter(|entry| entry.started.is_some()) {
            let Some(known) = &mut entry.controller else { continue };
            let peers = entry.heard.values().filter(|(at, ..)| now - at < PEER_TIME);
            let peers = peers.map(|(_, peer, report)| (*peer, report.clone()));
            let Some(wanted) = known.decide(peers.collect::<Vec<_>>(), Millis(now)) else {
                continue;
            };
            // A conditional update: it fails unless the entry knows the newest status.
            if is_away || known.rollout.revision != self.order.revision {
                continue;
            }
            assert!(!self.order.state.is_final(), "a status that stands is not changed");
            self.order.state = wanted;
            self.order.revision = Revision(self.order.revision.0 + 1);
            let running_for = known.elapsed(Millis(now)).0;
            self.order.started_unix_ms = Some(now.saturating_sub(running_for));
        }
    }

    fn play(mut self) -> Outcome {
        for now in (0..DURATION.0 + SETTLING).step_by(usize::try_from(STEP).expect("small")) {
            self.restart_some(now);
            if now % 200 == 0 {
                self.learn(now);
            }
            self.serve(now);
            if now % 400 == 0 {
                self.report(now);
            }
            if now % 250 == 0 {
                self.decide(now);
            }
        }
        self.outcome.state = self.order.state;
        self.outcome.new_answers = self.everything.new.answers();
        self.outcome
    }
}

#[test]
fn bad_version_never_takes_over_and_keeps_its_exposure() {
    let mut late = 0;
    for seed in 0..600 {
        let outcome = World::new(seed, true).play();
        let bound = EXPOSURE * f64::from(outcome.all) + ALLOWANCE;
        assert!(f64::from(outcome.new) <= bound, "seed {seed}: {} of {}", outcome.new, outcome.all);
        let known_early = outcome.condemned_at.is_some_and(|at| at + 2_000 < DURATION.0);
        if known_early {
            assert_ne!(outcome.state, RolloutState::Succeeded, "seed {seed}");
        }
        if !outcome.was_store_away_late {
            assert!(outcome.state.is_final(), "seed {seed}: {}", outcome.state);
        }
        late += u32::from(outcome.state == RolloutState::Succeeded);
    }
    assert!(late <= 6, "{late} of 600 bad versions took over");
}

#[test]
fn good_version_takes_over() {
    let (mut calm, mut refused) = (0, 0);
    for seed in 0..600 {
        let outcome = World::new(seed, false).play();
        let is_calm = outcome.restarts <= 2
            && !outcome.was_store_away_late
            && outcome.new_answers >= 20
            && outcome.condemned_at.is_none()
            && !outcome.is_suspect;
        calm += u32::from(is_calm);
        refused += u32::from(is_calm && outcome.state != RolloutState::Succeeded);
    }
    assert!(calm >= 300, "{calm} calm histories");
    assert!(refused * 100 <= calm, "{refused} of {calm} good versions did not take over");
}

/// Sessions that have moved in the last step stay there, whatever a few further answers show.
#[test]
fn last_step_is_not_taken_back_by_a_suspicion() {
    let order = World::new(1, false).order;
    let mut controller = RolloutController::new(order, EXPOSURE, Millis(0), Millis(0));
    let sample = |number: u32, time_ms| Sample {
        route: 1,
        kind: 1,
        replica: u64::from(number % 5),
        is_bad: false,
        time_ms: Some(time_ms),
    };
    for number in 0..40 {
        controller.evidence.record(true, &sample(number, 60 + u64::from(number)));
        controller.evidence.record(false, &sample(number, 60 + u64::from(number)));
    }
    let no_peers = Vec::new;
    controller.decide(no_peers(), Millis(12_000));
    let full = Millis(13_200);
    controller.decide(no_peers(), full);
    assert!((controller.current_split(full).share - 1.0).abs() < f64::EPSILON);
    for number in 0..20 {
        controller.evidence.record(true, &sample(number, 170));
    }
    let later = Millis(13_300);
    controller.decide(no_peers(), later);
    assert_eq!(controller.verdict(), Verdict::NoDifference, "not enough to condemn it");
    assert!((controller.current_split(later).share - 1.0).abs() < f64::EPSILON);
}
