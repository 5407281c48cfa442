//! Simulates rollouts in fleets whose entries know few peers, and counts the requests that run on
//! another version than the one before in their session.

use ibissail_core::{Count, Incarnation, Millis, StoreRevision};
use ibissail_direct::{
    CanaryProgress, Rollout, RolloutController, RolloutReport, RolloutState, Sample, stable_hash,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use std::collections::BTreeMap;

const STEP_MS: usize = 50;
const REPORT_INTERVAL_MS: u64 = 400;
const EVALUATION_INTERVAL_MS: u64 = 250;
const DURATION: Millis = Millis(24_000);
const EXPOSURE: f64 = 0.0975;
const REPLICAS: Count = Count(6);
const SESSIONS: u32 = 400;
/// Requests of all sessions in a step: 240 a second.
const REQUESTS_PER_STEP: usize = 12;
/// Longest time for which a request runs.
const MAX_REQUEST_MS: u64 = 1_500;
/// Requests that may run on another version than the one before.
const MAX_MOVED: usize = 3;
/// Peers whose reports an entry receives, however large the fleet is.
const KNOWN_PEERS: usize = 10;
/// Entries that start late compute the rollout's age with clocks that differ by up to this.
const CLOCK_DIFFERENCE_MS: u64 = 2_500;

/// Time since the boot of the VMs at a time since the order of the rollout.
fn clock(now: u64) -> Millis {
    Millis(60_000 + now)
}

struct Entry {
    controller: RolloutController,
    /// Time from which it serves requests.
    starts_at: u64,
    /// Time at which it stops by plan.
    stops_at: u64,
    /// Entries that send it reports, and the last report of each.
    reports: BTreeMap<usize, Option<RolloutReport>>,
    /// Whether its zone is cut off from the others for a while.
    is_in_cut_zone: bool,
}

impl Entry {
    fn serves(&self, now: u64) -> bool {
        (self.starts_at..self.stops_at).contains(&now)
    }
}

/// What callers of sessions saw in one rollout.
#[derive(Debug, Default)]
struct Moves {
    early: usize,
    back: usize,
    late: usize,
}

struct Fleet {
    rng: StdRng,
    entries: Vec<Entry>,
    failure_rate: f64,
    /// Latency of the new version, whose caches are cold, in percent of the old one's.
    latency_percent: u64,
    report_loss: f64,
    cut: (u64, u64),
    /// The version that each session ran on last; `true` is the new one.
    versions: BTreeMap<u32, bool>,
    state: RolloutState,
    moves: Moves,
    /// Requests on the old version: when each ends, and its entry.
    running: Vec<(u64, usize)>,
}

impl Fleet {
    fn new(seed: u64, size: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let rollout = Rollout {
            service: "writers".parse().expect("a valid name"),
            target: "v2".parse().expect("a valid name"),
            duration: DURATION,
            revision: StoreRevision::new(0, 1),
            state: RolloutState::Running,
            started_unix_ms: Some(0),
        };
        let indexes: Vec<usize> = (0..size).collect();
        let mut entries = Vec::new();
        for index in 0..size {
            // One in eight starts late, and one in eight stops by plan.
            let fate = rng.random_range(0..8);
            let starts_at = if fate == 0 { rng.random_range(1..20_000) } else { 0 };
            let stops_at = if fate == 1 { rng.random_range(1..24_000) } else { u64::MAX };
            let seen_at = starts_at + rng.random_range(0..60);
            let started_unix_ms = (starts_at > 0).then_some(0);
            let error = rng.random_range(0..2 * CLOCK_DIFFERENCE_MS);
            let running_for = started_unix_ms
                .map(|_| Millis((seen_at + error).saturating_sub(CLOCK_DIFFERENCE_MS)))
                .unwrap_or_default();
            let known = Rollout { started_unix_ms, ..rollout.clone() };
            let controller = RolloutController::new(known, EXPOSURE, running_for, clock(seen_at));
            let peers = indexes.choose_multiple(&mut rng, KNOWN_PEERS.min(size - 1));
            let reports = peers.filter(|peer| **peer != index).map(|peer| (*peer, None));
            let reports = reports.collect();
            let is_in_cut_zone = index % 5 == 0;
            entries.push(Entry { controller, starts_at, stops_at, reports, is_in_cut_zone });
        }
        let cut_at = rng.random_range(0..12_000);
        Self {
            entries,
            failure_rate: rng.random_range(0.0..0.2),
            latency_percent: rng.random_range(100..130),
            report_loss: rng.random_range(0.0..0.2),
            cut: (cut_at, cut_at + rng.random_range(0..4_000)),
            versions: BTreeMap::new(),
            state: RolloutState::Running,
            moves: Moves::default(),
            running: Vec::new(),
            rng,
        }
    }

    fn end_requests(&mut self, now: u64) {
        let ended = self.running.extract_if(.., |(end, _)| *end <= now);
        for (_, index) in ended {
            self.entries[index].controller.old_running -= 1;
        }
    }

    fn serve(&mut self, now: u64) {
        let serving: Vec<usize> =
            (0..self.entries.len()).filter(|index| self.entries[*index].serves(now)).collect();
        for _ in 0..REQUESTS_PER_STEP {
            let index = serving[self.rng.random_range(0..serving.len())];
            let session = self.rng.random_range(0..SESSIONS);
            let controller = &mut self.entries[index].controller;
            let hash = stable_hash(&[&session.to_string()]);
            let is_new = controller.current_split(clock(now)).routes_session_to_target(hash);
            match (self.versions.insert(session, is_new), is_new) {
                (Some(false), true) if now < DURATION.0 / 2 => self.moves.early += 1,
                (Some(false), true) => self.moves.late += 1,
                (Some(true), false) => self.moves.back += 1,
                _ => {}
            }
            if !is_new {
                controller.old_running += 1;
                let end = now + self.rng.random_range(50..MAX_REQUEST_MS);
                self.running.push((end, index));
            }
            let latency_percent = if is_new { self.latency_percent } else { 100 };
            let latency_ms = self.rng.random_range(50..90) * latency_percent / 100;
            let sample = Sample {
                route: self.rng.random_range(0..3),
                latency_class: 1,
                replica: self.rng.random_range(0..9),
                is_failure: self.rng.random_bool(self.failure_rate),
                latency_ms: Some(latency_ms),
            };
            controller.evidence.record(is_new, &sample);
        }
    }

    fn report(&mut self, now: u64) {
        let is_cut = (self.cut.0..self.cut.1).contains(&now);
        let entries = &self.entries;
        let report = |entry: &Entry| entry.serves(now).then(|| entry.controller.report(clock(now)));
        let sent: Vec<Option<RolloutReport>> = entries.iter().map(report).collect();
        let results: Vec<Option<CanaryProgress>> = entries
            .iter()
            .map(|entry| entry.controller.canary_result().filter(|_| entry.serves(now)))
            .collect();
        let zones: Vec<bool> = entries.iter().map(|entry| entry.is_in_cut_zone).collect();
        for entry in &mut self.entries {
            for (peer, known) in &mut entry.reports {
                let is_reachable = !is_cut || zones[*peer] == entry.is_in_cut_zone;
                if is_reachable && !self.rng.random_bool(self.report_loss) {
                    known.clone_from(&sent[*peer]);
                    if let Some(result) = results[*peer] {
                        let target = entry.controller.rollout.target.clone();
                        entry.controller.merge_canary_result(&target, result, clock(now));
                    }
                }
            }
        }
    }

    fn decide(&mut self, now: u64) {
        for entry in self.entries.iter_mut().filter(|entry| entry.serves(now)) {
            let reports = entry.reports.iter();
            let reports = reports.filter_map(|(peer, report)| {
                report.as_ref().map(|report| (Incarnation(*peer as u64), report.clone()))
            });
            let decided =
                entry.controller.decide(reports.collect::<Vec<_>>(), REPLICAS, clock(now));
            if let Some(state) = decided.filter(|state| state.is_final()) {
                self.state = state;
                return;
            }
        }
    }

    /// Plays the rollout until an entry writes its final state.
    fn run(mut self) -> (RolloutState, Moves) {
        for now in (0..DURATION.0).step_by(STEP_MS) {
            if now % REPORT_INTERVAL_MS == 0 {
                self.report(now);
            }
            if now % EVALUATION_INTERVAL_MS == 0 {
                self.decide(now);
            }
            if self.state.is_final() {
                break;
            }
            self.end_requests(now);
            self.serve(now);
        }
        (self.state, self.moves)
    }
}

/// Rollouts that succeed, of 70: the others are slower by up to 30 in 100 and may look suspect.
const MIN_SUCCEEDED: u32 = 50;

/// Number of entries, and of seeds played with it.
const FLEETS: [(usize, u64); 4] = [(5, 40), (30, 16), (68, 10), (200, 4)];

#[test]
fn no_session_moves_in_the_first_half() {
    for (size, seeds) in FLEETS {
        for seed in 0..seeds {
            let (state, moves) = Fleet::new(seed, size).run();
            assert_eq!(moves.early, 0, "{size} entries, seed {seed}, {state}: {moves:?}");
            assert!(moves.late > 0, "{size} entries, seed {seed}, {state}: {moves:?}");
        }
    }
}

#[test]
fn entries_take_the_last_step_together() {
    let mut succeeded = 0;
    for (size, seeds) in FLEETS {
        for seed in 0..seeds {
            let (state, moves) = Fleet::new(seed, size).run();
            assert!(moves.back <= MAX_MOVED, "{size} entries, seed {seed}, {state}: {moves:?}");
            succeeded += u32::from(state == RolloutState::Succeeded);
        }
    }
    assert!(succeeded >= MIN_SUCCEEDED, "{succeeded} of 70 sound rollouts succeeded");
}
