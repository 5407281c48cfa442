//! What replicas say about themselves in responses, compared with a naive model.

use ibissail_core::{Count, InstanceId, Millis, RequestRate};
use ibissail_direct::{
    FleetShare, MAX_PAUSE, NamedLimit, RateLimit, Replica, ReplicaSignals, ReplicaState,
    Unavailability,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn id() -> InstanceId {
    "a".parse().expect("a valid name")
}

fn replica(started: Option<u64>) -> Replica {
    Replica {
        id: id(),
        service: "records".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "az-1".parse().expect("a valid name"),
        version: "v1".parse().expect("a valid name"),
        slots: Count(4),
        state: ReplicaState::Ready,
        started_unix_ms: started,
        models: Vec::new(),
    }
}

#[test]
fn pause_is_bounded_and_never_shortened() {
    let mut signals = ReplicaSignals::default();
    let known = replica(None);
    let mut pause = |millis: u64, now: u64| {
        signals.record_pause(&id(), None, Some(&known), Millis(millis), Millis(now))
    };
    assert_eq!(pause(5_000, 0), Some(Millis(5_000)));
    assert_eq!(pause(1_000, 100), Some(Millis(5_000)), "a request that crossed");
    assert_eq!(pause(u64::MAX, 200), Some(MAX_PAUSE.saturating_add(Millis(200))));
}

#[test]
fn signals_of_an_unlisted_replica_are_forgotten_in_time() {
    let mut signals = ReplicaSignals::default();
    let known = replica(None);
    signals.record_leaving(&id(), None, Some(&known), Millis(0));
    signals.expire(|_| Some(&known), Millis(500_000));
    signals.expire(|_| None, Millis(520_000));
    assert_eq!(signals.unavailability(&known, Millis(520_000)), Some(Unavailability::Leaving));
    signals.expire(|_| None, Millis(600_000));
    assert_eq!(signals.unavailability(&known, Millis(600_000)), None);
}

/// Guards against a run that no list shows and whose signals count for the listed run for ever.
#[test]
fn signals_of_a_run_that_is_not_listed_are_forgotten_in_time() {
    let mut signals = ReplicaSignals::default();
    let (later, listed) = (Some(u64::MAX), replica(Some(2)));
    let rate = Some(RequestRate(0));
    let named = |started_unix_ms, observed_at| NamedLimit { started_unix_ms, rate, observed_at };
    signals.record_limit(&id(), named(later, Millis(0)), Some(&listed), Millis(0));
    signals.record_leaving(&id(), later, Some(&listed), Millis(0));
    assert_eq!(signals.told_leaving(|_| Some(&listed)).count(), 0, "peers would tell it back");
    assert_eq!(signals.told_limits(|_| Some(&listed), Millis(0)).count(), 0);
    for now in (0..20_000).step_by(400).map(Millis) {
        signals.expire(|_| Some(&listed), now);
    }
    assert_eq!(signals.unavailability(&listed, Millis(20_000)), None);
    assert!(signals.limit(&listed).is_none());
    let now = Millis(20_000);
    assert!(signals.record_leaving(&id(), Some(2), Some(&listed), now), "its own response counts");
    assert_eq!(signals.told_leaving(|_| Some(&listed)).count(), 1);
    signals.expire(|_| Some(&listed), Millis(500_000));
    let leaving = Some(Unavailability::Leaving);
    assert_eq!(signals.unavailability(&listed, Millis(500_000)), leaving);
}

/// A peer may read the list earlier than this entry.
#[test]
fn signals_of_a_run_that_is_listed_later_count() {
    let mut signals = ReplicaSignals::default();
    let (before, after) = (replica(Some(1)), replica(Some(2)));
    signals.record_leaving(&id(), Some(2), Some(&before), Millis(0));
    signals.expire(|_| Some(&before), Millis(3_000));
    assert_eq!(signals.unavailability(&after, Millis(3_000)), Some(Unavailability::Leaving));
    signals.expire(|_| Some(&after), Millis(3_400));
    signals.expire(|_| Some(&after), Millis(90_000));
    assert_eq!(signals.unavailability(&after, Millis(90_000)), Some(Unavailability::Leaving));
}

#[test]
fn hint_of_a_peer_does_not_exclude_a_replica() {
    let mut signals = ReplicaSignals::default();
    let known = replica(Some(3));
    signals.record_peer_pause(&known, Millis(2_000), Millis(0));
    assert_eq!(signals.unavailability(&known, Millis(10)), None);
    assert!(signals.is_paused_for_peers(&known, Millis(10)));
    assert!(!signals.is_paused_for_peers(&known, Millis(2_000)));
    assert!(!signals.is_paused_for_peers(&replica(Some(4)), Millis(10)), "it has restarted");
}

/// A naive model: all signals of all runs.
#[derive(Default)]
struct Model {
    leaving: Vec<u64>,
    pauses: Vec<(u64, u64)>,
}

/// Random histories in which runs follow each other, the list lags behind, and responses arrive late.
#[test]
fn matches_a_naive_model() {
    for seed in 0..3_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut signals = ReplicaSignals::default();
        let mut model = Model::default();
        let (mut run, mut listed) = (1_u64, 1_u64);
        for step in 0..40_u64 {
            let now = step * 100;
            match rng.random_range(0..6) {
                0 => run += 1,
                1 => listed = run,
                2 => {
                    let from = rng.random_range(listed.max(run.saturating_sub(1))..=run);
                    let known = replica(Some(listed));
                    signals.record_leaving(&id(), Some(from), Some(&known), Millis(now));
                    model.leaving.push(from);
                }
                3 => {
                    let (from, pause) = (listed, rng.random_range(1..1_500));
                    let known = replica(Some(listed));
                    signals.record_pause(
                        &id(),
                        Some(from),
                        Some(&known),
                        Millis(pause),
                        Millis(now),
                    );
                    model.pauses.push((from, now + pause));
                }
                _ => {
                    // A response of an earlier run says nothing about the listed one.
                    let earlier = listed.saturating_sub(1);
                    let known = replica(Some(listed));
                    assert!(!signals.record_leaving(
                        &id(),
                        Some(earlier),
                        Some(&known),
                        Millis(now)
                    ));
                }
            }
            let newest = model.leaving.iter().chain(model.pauses.iter().map(|(run, _)| run)).max();
            let is_current = |from: &u64| *from >= listed && Some(from) == newest;
            let until = model.pauses.iter().filter(|(from, _)| is_current(from));
            let until = until.map(|(_, until)| *until).max().filter(|until| *until > now);
            let expected = if model.leaving.iter().any(is_current) {
                Some(Unavailability::Leaving)
            } else {
                until.map(|until| Unavailability::PausedUntil(Millis(until)))
            };
            let found = signals.unavailability(&replica(Some(listed)), Millis(now));
            assert_eq!(found, expected, "seed {seed}, step {step}");
        }
    }
}

#[test]
fn newest_response_decides_on_a_limit() {
    let mut signals = ReplicaSignals::default();
    let known = replica(Some(1));
    let rate = |rate| Some(RequestRate(rate));
    let mut record = |rate, observed_at, started_unix_ms| {
        let observed_at = Millis(observed_at);
        let named = NamedLimit { started_unix_ms, rate, observed_at };
        signals.record_limit(&id(), named, Some(&known), Millis(20_000));
        signals.limit(&known).map(RateLimit::rate)
    };
    assert_eq!(record(None, 100, Some(1)), None);
    assert_eq!(record(rate(4_000), 1_000, Some(1)), rate(4_000));
    assert_eq!(record(None, 900, Some(1)), rate(4_000), "a peer's older response");
    assert_eq!(record(rate(2_000), 2_000, Some(1)), rate(2_000));
    assert_eq!(record(None, 3_000, Some(1)), None);
    assert_eq!(record(rate(2_000), 2_500, Some(1)), None, "a peer has not heard of the end");
    assert_eq!(record(rate(1_000), 4_000, Some(1)), rate(1_000));
    assert_eq!(record(rate(9_000), 5_000, Some(0)), rate(1_000), "an earlier run's response");
    let restarted = replica(Some(2));
    assert!(signals.limit(&restarted).is_none(), "the limit is that of the run before");
}

#[test]
fn end_of_a_limit_is_told_for_a_while() {
    let mut signals = ReplicaSignals::default();
    let known = replica(None);
    let mut record = |rate, observed_at| {
        let named = NamedLimit { started_unix_ms: None, rate, observed_at };
        signals.record_limit(&id(), named, Some(&known), observed_at);
    };
    record(Some(RequestRate(500)), Millis(0));
    record(None, Millis(1_000));
    assert_eq!(signals.named_limits(Millis(5_000)).count(), 1);
    assert_eq!(signals.named_limits(Millis(60_000)).count(), 0);
}

#[test]
fn limit_that_changes_with_each_response_starves_nobody() {
    let mut signals = ReplicaSignals::default();
    let known = replica(None);
    let fleet = FleetShare::new(&"front-1".parse().expect("a valid name"), 2);
    let mut sent = 0;
    for at in (0..20_000).step_by(100) {
        let rate = Some(RequestRate(4_000 + at % 300));
        let named = NamedLimit { started_unix_ms: None, rate, observed_at: Millis(at) };
        signals.record_limit(&id(), named, Some(&known), Millis(at));
        sent += u32::from(signals.try_take(&known, fleet, Millis(at)));
    }
    assert!((30..=50).contains(&sent), "{sent} of 40");
}
