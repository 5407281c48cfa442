//! Trials of services with few requests.

use ibissail_core::Revision;
use ibissail_core::{Count, Millis};
use ibissail_direct::{
    CanaryProgress, ExtraCanaryRequests, Rollout, RolloutState, Schedule, TrafficSplit, stable_hash,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const EXPOSURE: f64 = 0.15;
const ALLOWANCE: Count = Count(30);
const DURATION: Millis = Millis(14_000);
const TRIED: CanaryProgress =
    CanaryProgress { responses: 60, observed_for: Millis(20_000), is_suspect: false };

/// Requests in all, those to the new version, and those of them before the last step.
fn play(seed: u64, per_second: f64, entries: usize, restarts: usize) -> (u32, u32, u32) {
    let mut rng = StdRng::seed_from_u64(seed);
    let order = Rollout {
        service: "records".parse().expect("a name"),
        target: "v2".parse().expect("a name"),
        duration: DURATION,
        revision: Revision(1),
        state: RolloutState::Running,
        started_unix_ms: None,
    };
    let mut extra = vec![(ExtraCanaryRequests::default(), 0_u64); entries];
    let (mut all, mut new, mut trial) = (0, 0, 0);
    let restart_at: Vec<u64> = (0..restarts).map(|_| rng.random_range(0..DURATION.0)).collect();
    for at in 0..DURATION.0 {
        if restart_at.contains(&at) {
            let entry = rng.random_range(0..entries);
            extra[entry] = (ExtraCanaryRequests::default(), at);
        }
        if !rng.random_bool(per_second / 1_000.0) {
            continue;
        }
        all += 1;
        let schedule = Schedule { elapsed: Millis(at), duration: DURATION, exposure: EXPOSURE };
        let view = TrafficSplit::new(&order, &schedule, false, TRIED);
        let (entry, since) = &mut extra[rng.random_range(0..entries)];
        let watched = Millis(at - *since);
        let hash = stable_hash(&[&rng.random::<u64>().to_string()]);
        let is_new = view.routes_to_target(hash)
            || view.is_canary && entry.try_take(ALLOWANCE, entries, watched, DURATION);
        new += u32::from(is_new);
        trial += u32::from(is_new && view.is_canary);
    }
    (all, new, trial)
}

#[test]
fn quiet_service_gets_enough_answers_within_its_bound() {
    let mut answers = Vec::new();
    for seed in 0..300 {
        let (all, new, trial) = play(seed, 15.0, 5, 6);
        let bound = EXPOSURE * f64::from(all) + f64::from(ALLOWANCE.0);
        assert!(f64::from(new) <= bound, "seed {seed}: {new} of {all}");
        answers.push(trial);
    }
    answers.sort_unstable();
    assert!(answers[15] >= 15, "95 of 100 trials bring 15 answers: {:?}", &answers[..20]);
}

#[test]
fn busy_service_keeps_its_bound() {
    for seed in 0..40 {
        let (all, new, _trial) = play(seed, 300.0, 50, 40);
        let bound = EXPOSURE * f64::from(all) + f64::from(ALLOWANCE.0);
        assert!(f64::from(new) <= bound, "seed {seed}: {new} of {all}");
    }
}
