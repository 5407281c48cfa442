//! Bad versions are found, and good ones are not condemned.
#![expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small numbers")]

use ibissail_core::{Incarnation, Millis, Revision, Tokens};
use ibissail_direct::{
    CanaryProgress, Evidence, Phase, Rollout, RolloutState, Sample, Schedule, SharedEvidence,
    TrafficSplit, compare_versions, is_suspect, stable_hash, time_kind,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const ROUTES: u32 = 3;
/// A version that has been tried enough.
const TRIED: CanaryProgress =
    CanaryProgress { responses: 60, observed_for: Millis(20_000), is_suspect: false };

fn order(state: RolloutState) -> Rollout {
    Rollout {
        service: "writers".parse().expect("a name"),
        target: "v2".parse().expect("a name"),
        duration: Millis(24_000),
        revision: Revision(1),
        state,
        started_unix_ms: None,
    }
}

/// Time of an answer: unlike routes, a long tail, at times a slow replica.
fn time(rng: &mut StdRng, route: u32) -> u64 {
    let base = f64::from(40 * (route + 1));
    let spread: f64 = (0..4).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() / 2.0;
    (base * (0.4 + spread * spread)) as u64
}

fn sample(rng: &mut StdRng, bad_share: f64, slow_share: f64) -> Sample {
    let route = rng.random_range(0..ROUTES);
    let factor = if rng.random_bool(slow_share) { 8 } else { 1 };
    Sample {
        route,
        kind: route,
        replica: rng.random_range(0..9),
        is_bad: rng.random_bool(bad_share),
        time_ms: Some(time(rng, route) * factor),
    }
}

/// Answers of the new version until it is condemned, of 400 at most.
fn answers_until_bad(seed: u64, old_bad: f64, bad: f64, slow: f64) -> Option<u32> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut evidence = Evidence::default();
    for answer in 0..400 {
        for _ in 0..9 {
            evidence.old.record(&sample(&mut rng, old_bad, 0.0));
        }
        evidence.new.record(&sample(&mut rng, bad, slow));
        if compare_versions(&evidence).is_bad() {
            return Some(answer + 1);
        }
    }
    None
}

/// How many of `seeds` versions are stopped by the evidence that `play` adds.
fn stopped<F>(seeds: u64, play: F) -> usize
where
    F: Fn(&mut StdRng, &mut Evidence),
{
    let is_stopped = |seed: &u64| {
        let mut rng = StdRng::seed_from_u64(*seed);
        let mut evidence = Evidence::default();
        play(&mut rng, &mut evidence);
        compare_versions(&evidence).is_bad() || is_suspect(&evidence)
    };
    (0..seeds).filter(is_stopped).count()
}

/// The users count from a version's 50th bad answer; it must be condemned well before.
#[test]
fn failing_version_is_found_before_its_fiftieth_failure() {
    let mut late = 0;
    for seed in 0..300 {
        let found = answers_until_bad(seed, 0.02, 0.4, 0.0).expect("it is found");
        // Of 100 answers with a share of 0.4, 50 are bad in less than one case of 40.
        assert!(found <= 100, "seed {seed}: {found} answers");
        late += u32::from(found > 50);
    }
    assert!(late <= 3, "{late} of 300 seeds took more than 50 answers");
}

#[test]
fn slow_version_is_found_within_sixty_answers() {
    for seed in 0..300 {
        let found = answers_until_bad(seed, 0.02, 0.02, 0.5);
        assert!(found.is_some_and(|answers| answers <= 60), "seed {seed}: {found:?}");
    }
}

#[test]
fn good_version_beside_failing_replicas_is_not_condemned() {
    let condemned = (0..300).filter(|seed| answers_until_bad(*seed, 0.05, 0.05, 0.0).is_some());
    let condemned = condemned.count();
    assert!(condemned <= 3, "{condemned} of 300");
}

#[test]
fn delay_below_a_hundredth_of_a_second_condemns_no_version() {
    let mut evidence = Evidence::default();
    for answer in 0..200_u32 {
        let sample = |time_ms| Sample {
            route: 1,
            kind: 1,
            replica: u64::from(answer % 9),
            is_bad: false,
            time_ms: Some(time_ms),
        };
        evidence.old.record(&sample(u64::from(answer % 3 == 0)));
        evidence.new.record(&sample(2));
        assert!(!compare_versions(&evidence).is_bad(), "after {answer} answers");
    }
}

#[test]
fn one_broken_replica_condemns_no_version() {
    let mut evidence = Evidence::default();
    for _ in 0..50 {
        evidence.new.record(&Sample { route: 1, kind: 1, replica: 7, is_bad: true, time_ms: None });
    }
    assert!(!compare_versions(&evidence).is_bad());
    evidence.new.record(&Sample { route: 1, kind: 1, replica: 8, is_bad: true, time_ms: None });
    assert!(compare_versions(&evidence).is_bad());
}

#[test]
fn entries_merge_to_the_same_evidence_in_any_order() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut parts = vec![Evidence::default(); 4];
    for part in &mut parts {
        for _ in 0..30 {
            part.new.record(&sample(&mut rng, 0.2, 0.2));
            part.old.record(&sample(&mut rng, 0.1, 0.0));
        }
    }
    let merge = |order: [usize; 4]| {
        let mut all = Evidence::default();
        for part in order {
            all.merge(&parts[part]);
        }
        all
    };
    assert_eq!(merge([0, 1, 2, 3]), merge([3, 1, 0, 2]));
}

#[test]
fn share_only_grows_and_keeps_its_hashes() {
    let order = order(RolloutState::Running);
    let mut taken: Vec<u64> = Vec::new();
    for elapsed in (0..24_000).step_by(500) {
        let schedule =
            Schedule { elapsed: Millis(elapsed), duration: order.duration, exposure: 0.15 };
        let view = TrafficSplit::new(&order, &schedule, false, TRIED);
        let hashes = (0..500_u64).map(|number| stable_hash(&[&number.to_string()]));
        let now: Vec<u64> = hashes.filter(|hash| view.routes_to_target(*hash)).collect();
        assert!(taken.iter().all(|hash| now.contains(hash)), "after {elapsed} ms");
        if schedule.phase() == Phase::Canary {
            assert!(now.len() <= 50, "{} of 500 in the trial", now.len());
        }
        taken = now;
    }
    assert_eq!(taken.len(), 500);
}

/// A version that is bad only under the load of all requests shows nothing before the last step.
#[test]
fn undetected_version_stays_within_the_exposure() {
    let order = order(RolloutState::Running);
    for exposure in [0.15, 0.0975] {
        let (mut new, mut all) = (0_u32, 0_u32);
        for elapsed in (0..24_000).step_by(20) {
            let schedule =
                Schedule { elapsed: Millis(elapsed), duration: order.duration, exposure };
            let view = TrafficSplit::new(&order, &schedule, false, TRIED);
            all += 1;
            new += u32::from(view.routes_to_target(stable_hash(&[&elapsed.to_string()])));
        }
        let share = f64::from(new) / f64::from(all);
        assert!(share < exposure, "{share} of {exposure}");
    }
}

#[test]
fn version_that_was_not_tried_stays_on_trial() {
    let order = order(RolloutState::Running);
    let schedule = Schedule { elapsed: Millis(23_000), duration: order.duration, exposure: 0.15 };
    let few = CanaryProgress { responses: 2, ..TRIED };
    let unwatched = CanaryProgress { observed_for: Millis(3_000), ..TRIED };
    let suspect = CanaryProgress { is_suspect: true, ..TRIED };
    for trial in [few, unwatched, suspect] {
        assert!(TrafficSplit::new(&order, &schedule, false, trial).is_canary, "{trial:?}");
    }
    assert!(!TrafficSplit::new(&order, &schedule, false, TRIED).is_canary);
    assert!(TrafficSplit::new(&order, &schedule, true, TRIED).share.abs() < f64::EPSILON);
}

/// Ratios of time per event that a version eight times as slow showed on a day of the bench: the
/// network and the wait for a place are part of each answer's time and do not grow.
#[test]
fn slow_version_is_found_by_two_dozen_answers_of_many_routes() {
    let means = [(64, 35), (14, 35), (12, 85), (83, 144), (23, 50), (39, 73), (62, 216), (74, 291)];
    let found = |is_bad_version: bool| {
        (0..200_u64)
            .filter(|seed| {
                let mut rng = StdRng::seed_from_u64(*seed);
                let mut evidence = Evidence::default();
                let mut note = |is_new: bool, route: usize| {
                    let (old, new) = means[route];
                    let mean = if is_new && is_bad_version { new.max(old) } else { old };
                    let sample = Sample {
                        route: route as u32,
                        kind: route as u32,
                        replica: rng.random_range(0..9),
                        is_bad: false,
                        time_ms: Some(time(&mut rng, 0) * mean / 40),
                    };
                    let counts = if is_new { &mut evidence.new } else { &mut evidence.old };
                    counts.record(&sample);
                };
                for answer in 0..200 {
                    note(false, answer % means.len());
                }
                for answer in 0..24 {
                    note(true, answer % means.len());
                }
                compare_versions(&evidence).is_bad()
            })
            .count()
    };
    let (bad, good) = (found(true), found(false));
    assert!(bad >= 190, "{bad} of 200 slow versions were found");
    assert!(good <= 1, "{good} of 200 good versions were condemned");
}

/// A version with a smaller share of slow answers shows too little to be condemned in a trial.
#[test]
fn partly_slow_version_does_not_take_over() {
    let versions = |slow_share: f64| {
        stopped(300, |rng, evidence| {
            for _ in 0..300 {
                evidence.old.record(&sample(rng, 0.02, 0.0));
            }
            for _ in 0..40 {
                evidence.new.record(&sample(rng, 0.02, slow_share));
            }
        })
    };
    let (bad, good) = (versions(0.3), versions(0.0));
    assert!(bad >= 285, "{bad} of 300 partly slow versions were stopped");
    assert!(good <= 9, "{good} of 300 good versions were stopped");
}

/// A route with few requests, whose models share the failures among them.
#[test]
fn version_that_fails_on_a_rare_route_does_not_take_over() {
    let versions = |bad_share: f64| {
        stopped(300, |rng, evidence| {
            for answer in 0..330_u32 {
                let is_new = answer % 10 == 0;
                // One answer in five is on the rare route.
                let is_rare = rng.random_bool(0.2);
                let share = if is_new && is_rare { bad_share } else { 0.02 };
                let sample = Sample {
                    route: u32::from(is_rare),
                    kind: 3 * u32::from(is_rare) + answer % 3,
                    replica: rng.random_range(0..9),
                    is_bad: rng.random_bool(share),
                    time_ms: None,
                };
                let counts = if is_new { &mut evidence.new } else { &mut evidence.old };
                counts.record(&sample);
            }
        })
    };
    let (bad, good) = (versions(0.6), versions(0.02));
    assert!(bad >= 255, "{bad} of 300 versions that fail on a rare route were stopped");
    assert!(good <= 15, "{good} of 300 good versions were stopped");
}

/// Four of five entries are killed after the trial's first half; the fifth knows what they saw.
#[test]
fn evidence_outlives_the_entries_that_saw_it() {
    let run = |number: u64, run: u64| Incarnation(10 * run + number);
    let bad = Sample { route: 1, kind: 1, replica: 1, is_bad: true, time_ms: None };
    let mut shared = SharedEvidence::new(Millis(0));
    for number in 1..5 {
        let mut evidence = Evidence::default();
        evidence.new.record(&Sample { replica: number, ..bad.clone() });
        shared.update_peer(run(number, 1), Evidence::default(), Millis(2_000));
        shared.update_peer(run(number, 1), evidence, Millis(6_000));
        // Reports of the next run, and one of the first that was delayed.
        shared.update_peer(run(number, 2), Evidence::default(), Millis(400));
        shared.update_peer(run(number, 1), Evidence::default(), Millis(4_000));
    }
    assert_eq!(shared.total().new.answers(), 4);
    assert!(compare_versions(&shared.total()).is_bad());
    assert_eq!(shared.observed_for(Millis(5_000)), Millis(6_000));
    shared.clear_peers();
    assert_eq!(shared.total(), Evidence::default());
}

/// The old version's replicas have read most prompts before; those of a good new one have not.
#[test]
fn version_with_unread_prompts_is_not_condemned() {
    let stopped = stopped(200, |rng, evidence| {
        for answer in 0..2_400_u32 {
            let is_new = answer % 10 == 0;
            let is_known = rng.random_bool(if is_new { 0.1 } else { 0.7 });
            let unread =
                if is_known { rng.random_range(50..800) } else { rng.random_range(3_000..9_000) };
            // A token is read in 1/50 ms.
            let time_ms = time(rng, 0) + unread / 50;
            let sample = Sample {
                route: 1,
                kind: time_kind("drafts", "small", Tokens(unread)),
                replica: rng.random_range(0..9),
                is_bad: false,
                time_ms: Some(time_ms),
            };
            let counts = if is_new { &mut evidence.new } else { &mut evidence.old };
            counts.record(&sample);
        }
    });
    assert!(stopped <= 6, "{stopped} of 200 good versions were stopped");
}
