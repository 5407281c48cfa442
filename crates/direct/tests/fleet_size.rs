//! The estimated number of entries, and what is divided by it, in fleets whose entries know few
//! peers.

use ibissail_core::{Count, Millis};
use ibissail_direct::{ExtraCanaryRequests, FleetSize};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Time between two samples that an entry sends.
const INTERVAL_MS: u64 = 800;
const RECEIVERS: usize = 6;
const KNOWN_PEERS: usize = 10;
/// Time in which the estimates settle after entries start, and after some end.
const START_MS: u64 = 8_000;
const LOSS_MS: u64 = 16_000;
const ALLOWANCE: Count = Count(30);
const DURATION: Millis = Millis(24_000);

struct Fleet {
    rng: StdRng,
    entries: Vec<FleetSize>,
    /// The peers that each entry sends to.
    known: Vec<Vec<usize>>,
    is_alive: Vec<bool>,
    loss: f64,
    now: u64,
}

impl Fleet {
    fn new(seed: u64, size: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let name = |index: usize| format!("front-{seed}-{index}").parse().expect("a valid name");
        let known = (0..size).map(|own| {
            // A ring connects the fleet.
            let others = (0..KNOWN_PEERS).map(|_| rng.random_range(0..size));
            let mut known: Vec<usize> = others.filter(|other| *other != own).collect();
            known.push((own + 1) % size);
            known
        });
        let known = known.collect();
        Self {
            entries: (0..size).map(|index| FleetSize::new(&name(index), Millis(100_000))).collect(),
            known,
            is_alive: vec![true; size],
            loss: rng.random_range(0.0..0.3),
            now: 100_000,
            rng,
        }
    }

    fn run(&mut self, time_ms: u64) {
        for _round in 0..time_ms / INTERVAL_MS {
            self.now += INTERVAL_MS;
            let now = Millis(self.now);
            for sender in 0..self.entries.len() {
                if !self.is_alive[sender] {
                    continue;
                }
                let sample = self.entries[sender].sample(now);
                for _ in 0..RECEIVERS {
                    let known = &self.known[sender];
                    let receiver = known[self.rng.random_range(0..known.len())];
                    if !self.rng.random_bool(self.loss) {
                        self.entries[receiver].merge(&sample, now);
                    }
                }
            }
        }
    }

    /// Estimates of the live entries, from the smallest to the largest.
    fn estimates(&mut self) -> Vec<usize> {
        let now = Millis(self.now);
        let live = self.entries.iter_mut().zip(&self.is_alive).filter(|(_, is_alive)| **is_alive);
        let mut estimates: Vec<usize> = live.map(|(entry, _)| entry.estimate(now)).collect();
        estimates.sort_unstable();
        estimates
    }
}

/// Asserts that all estimates are right for a small fleet, and within half to double for a large one.
fn assert_near(estimates: &[usize], size: usize, context: &str) {
    let (smallest, largest) = (estimates[0], estimates[estimates.len() - 1]);
    if size < 32 {
        assert_eq!((smallest, largest), (size, size), "{context}");
    } else {
        assert!(2 * smallest >= size && largest <= 2 * size, "{context}: {smallest} to {largest}");
    }
}

#[test]
fn every_entry_estimates_the_size_of_its_fleet() {
    for size in [2, 5, 30, 68, 200, 600] {
        for seed in 0..6 {
            let mut fleet = Fleet::new(seed, size);
            fleet.run(START_MS);
            assert_near(&fleet.estimates(), size, &format!("{size} entries, seed {seed}"));
        }
    }
}

#[test]
fn new_entry_takes_itself_for_the_only_one_after_a_while() {
    let mut entry = FleetSize::new(&"front-1".parse().expect("a valid name"), Millis(500));
    assert!(entry.cautious_estimate(Millis(600)) >= 30, "others may not have been heard of yet");
    assert_eq!(entry.cautious_estimate(Millis(8_500)), 1);
}

#[test]
fn ended_entries_are_no_longer_counted() {
    for size in [5, 30, 68, 200] {
        for seed in 0..6 {
            let mut fleet = Fleet::new(seed, size);
            fleet.run(START_MS);
            // Every fifth entry of the ring ends.
            for index in (0..size).step_by(5) {
                fleet.is_alive[index] = false;
            }
            fleet.run(LOSS_MS);
            let left = size - size.div_ceil(5);
            assert_near(&fleet.estimates(), left, &format!("{left} of {size}, seed {seed}"));
        }
    }
}

#[test]
fn extra_canary_requests_stay_within_the_allowance_of_the_fleet() {
    for size in [5, 30, 68, 200] {
        for seed in 0..6 {
            let mut fleet = Fleet::new(seed, size);
            fleet.run(START_MS);
            let mut taken = 0;
            for entries in fleet.estimates() {
                let mut extra = ExtraCanaryRequests::default();
                for at in (0..DURATION.0).step_by(20) {
                    taken += u32::from(extra.try_take(ALLOWANCE, entries, Millis(at), DURATION));
                }
            }
            assert!(taken <= ALLOWANCE.0, "{size} entries, seed {seed}: {taken}");
        }
    }
}
