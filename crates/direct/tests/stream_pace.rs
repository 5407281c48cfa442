//! Versions whose streams are slow after their first event are detected, and good versions with
//! streams of all lengths and uneven load are not rejected.
#![expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small numbers")]

use ibissail_core::{Count, Incarnation, Millis, StoreRevision, Tokens};
use ibissail_direct::{
    Evidence, Rollout, RolloutController, RolloutReport, RolloutState, Sample, StreamPace,
    compare_versions, is_pace_class, latency_class, pace_class,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

const DURATION: Millis = Millis(14_000);
const EXPOSURE: f64 = 0.15;
/// Replicas of each version.
const REPLICAS: u64 = 6;
const ENTRIES: u64 = 4;
/// Time between two streams: 40 a second, of which some 30 reach the new version.
const STREAM_INTERVAL_MS: u64 = 25;
/// Time between two streams of a quiet service, of which some 18 reach the new version and 12 are
/// long enough for a pace.
const QUIET_INTERVAL_MS: u64 = 40;
/// Events of the longest stream on each route.
const MAX_EVENTS: [u64; 3] = [6, 30, 200];
const MODELS: [&str; 2] = ["small", "large"];
/// Time per event of each model.
const EVENT_MS: [f64; 2] = [25.0, 45.0];
/// Prefill of other requests beside a stream: none for most.
const PREFILL_BESIDE: [u64; 4] = [0, 0, 3_000, 9_000];

/// Times of a version in the form that the earlier build reads: by class, the number of answers and
/// the sums of logarithms and of their squares.
type Times = BTreeMap<u32, (u32, u64, u64)>;
/// Counts of a version in that form: responses by route, times, and failing replicas.
type Counts = (BTreeMap<u32, (u32, u32)>, Times, Vec<u64>);

/// What differs between the versions.
#[derive(Clone, Copy)]
struct Version {
    /// Share of its streams that are slow after their first event.
    slow_share: f64,
    /// Factor by which those are slower.
    slow_factor: f64,
    /// Share of its events that come beside a prefill; higher for a version without cached prompts.
    prefill_share: f64,
}

const OLD: Version = Version { slow_share: 0.0, slow_factor: 1.0, prefill_share: 0.15 };
const GOOD: Version = Version { prefill_share: 0.35, ..OLD };

/// What an entry sees of a stream.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Started(u64),
    Events,
    Ended,
}

struct Stream {
    entry: usize,
    is_new: bool,
    route: u32,
    latency_class: u32,
    pace_class: u32,
    replica: u64,
    pace: StreamPace,
}

/// Gaps between the events of a stream: the engine's time with noise, a prefill beside some of them,
/// and now and then a silence.
fn event_gaps(rng: &mut StdRng, version: Version, model: usize, load: f64, count: u64) -> Vec<u64> {
    let is_slow = rng.random_bool(version.slow_share);
    let factor = if is_slow { version.slow_factor } else { 1.0 };
    let base = EVENT_MS[model] * load * rng.random_range(0.75..1.3) * factor;
    let silent_at = rng.random_bool(0.03).then(|| rng.random_range(0..count.max(1)));
    let gap = |number| {
        let prefill = if rng.random_bool(version.prefill_share) { 40.0 } else { 0.0 };
        let silence = if Some(number) == silent_at { 1_000.0 } else { 0.0 };
        let gap = base * rng.random_range(0.7..1.3) + prefill + silence;
        gap as u64
    };
    (0..count).map(gap).collect()
}

/// Plays a rollout at several entries; returns its state at the end and whether the version was
/// rejected, rather than merely suspect at the end.
fn roll_out(seed: u64, interval_ms: u64, new: Version) -> (RolloutState, bool) {
    let mut rng = StdRng::seed_from_u64(seed);
    let rollout = Rollout {
        service: "writers".parse().expect("a valid name"),
        target: "v2".parse().expect("a valid name"),
        duration: DURATION,
        revision: StoreRevision::new(0, 1),
        state: RolloutState::Running,
        started_unix_ms: None,
    };
    let controller = RolloutController::new(rollout, EXPOSURE, Millis(0), Millis(0));
    let mut controllers = vec![controller; ENTRIES as usize];
    // Each replica has its own load, which slows all its streams.
    let loads: Vec<f64> = (0..2 * REPLICAS).map(|_| rng.random_range(0.8..1.3)).collect();
    let mut streams: Vec<Stream> = Vec::new();
    let mut events: Vec<(u64, usize, Event)> = Vec::new();
    for at in (0..DURATION.0).step_by(interval_ms as usize) {
        // Canaries reach one replica at a time.
        let is_new = at > 1_200 && rng.random_bool(0.06);
        let rotation = at / 1_000 % REPLICAS;
        let replica = if is_new { REPLICAS + rotation } else { rng.random_range(0..REPLICAS) };
        let (route, model) = (rng.random_range(0..3_usize), rng.random_range(0..2_usize));
        let beside = PREFILL_BESIDE[rng.random_range(0..PREFILL_BESIDE.len())];
        let name = ["tags", "summaries", "drafts"][route];
        let count = rng.random_range(MAX_EVENTS[route] / 4..=MAX_EVENTS[route]);
        let load = loads[replica as usize];
        let gaps = event_gaps(&mut rng, if is_new { new } else { OLD }, model, load, count);
        let start = rng.random_range(60..240);
        let mut now = at + start;
        events.push((now, streams.len(), Event::Started(start)));
        for gap in gaps {
            now += gap;
            events.push((now, streams.len(), Event::Events));
        }
        events.push((now, streams.len(), Event::Ended));
        streams.push(Stream {
            entry: rng.random_range(0..ENTRIES) as usize,
            is_new,
            route: route as u32,
            latency_class: latency_class(name, MODELS[model], Tokens(700)),
            pace_class: pace_class(name, MODELS[model], Tokens(beside)),
            replica,
            pace: StreamPace::default(),
        });
    }
    events.sort_unstable();
    let mut events = events.into_iter().peekable();
    for now in (0..=DURATION.0).step_by(250) {
        while let Some((at, number, event)) = events.next_if(|(at, ..)| *at <= now) {
            let stream = &mut streams[number];
            let evidence = &mut controllers[stream.entry].evidence;
            let pace = match event {
                Event::Started(start) => {
                    evidence.record_latency(stream.is_new, stream.latency_class, start);
                    stream.pace.record_events(1, Millis(at))
                }
                Event::Events => stream.pace.record_events(1, Millis(at)),
                Event::Ended => {
                    let (route, latency_class) = (stream.route, stream.latency_class);
                    let replica = stream.replica;
                    let sample = Sample {
                        route,
                        latency_class,
                        replica,
                        is_failure: false,
                        latency_ms: None,
                    };
                    evidence.record(stream.is_new, &sample);
                    stream.pace.finish()
                }
            };
            if let Some(pace) = pace {
                evidence.record_latency(stream.is_new, stream.pace_class, pace.0);
            }
        }
        let reports: Vec<(Incarnation, RolloutReport)> = (0..)
            .zip(&controllers)
            .map(|(number, controller)| (Incarnation(number), controller.report(Millis(now))))
            .collect();
        let peers = reports.into_iter().skip(1).collect::<Vec<_>>();
        let replicas = Count(REPLICAS as u32);
        if let Some(state) = controllers[0].decide(peers, replicas, Millis(now)) {
            return (state, controllers[0].verdict().is_bad());
        }
    }
    panic!("seed {seed}: no outcome at the deadline");
}

/// Counts the versions, out of `seeds`, that are rolled back, and those that are rejected early.
fn count_rolled_back<F>(seeds: u64, interval_ms: u64, version: F) -> (usize, usize)
where
    F: Fn(u64) -> Version,
{
    let outcomes: Vec<_> =
        (0..seeds).map(|seed| roll_out(seed, interval_ms, version(seed))).collect();
    let rolled_back = outcomes.iter().filter(|(state, _)| *state == RolloutState::RolledBack);
    (rolled_back.count(), outcomes.iter().filter(|(_, is_rejected)| *is_rejected).count())
}

/// A factor between `from` and `to` that depends on the seed.
fn factor(seed: u64, from: f64, to: f64) -> f64 {
    StdRng::seed_from_u64(!seed).random_range(from..to)
}

/// The first events come in the same time as those of the old version.
#[test]
fn version_that_is_slow_after_the_first_event_does_not_take_over() {
    let (rolled_back, rejected) = count_rolled_back(300, STREAM_INTERVAL_MS, |seed| Version {
        slow_share: 1.0,
        slow_factor: factor(seed, 2.0, 5.0),
        ..GOOD
    });
    assert!(rolled_back >= 285, "{rolled_back} of 300 slow versions were rolled back");
    assert!(rejected >= 270, "{rejected} of 300 slow versions were rejected early");
}

#[test]
fn version_with_half_of_its_streams_slow_does_not_take_over() {
    let (rolled_back, _rejected) = count_rolled_back(300, STREAM_INTERVAL_MS, |seed| Version {
        slow_share: 0.5,
        slow_factor: factor(seed, 3.0, 8.0),
        ..GOOD
    });
    assert!(rolled_back >= 285, "{rolled_back} of 300 half slow versions were rolled back");
}

/// Guards against a version of which too few streams are long enough for a pace.
#[test]
fn slow_version_of_a_quiet_service_does_not_take_over() {
    let (rolled_back, _rejected) = count_rolled_back(300, QUIET_INTERVAL_MS, |seed| Version {
        slow_share: 1.0,
        slow_factor: factor(seed, 2.0, 5.0),
        ..GOOD
    });
    assert!(rolled_back >= 285, "{rolled_back} of 300 slow versions were rolled back");
}

#[test]
fn good_version_beside_uneven_load_and_prefill_takes_over() {
    let (rolled_back, rejected) = count_rolled_back(300, STREAM_INTERVAL_MS, |_seed| GOOD);
    assert!(rolled_back <= 9, "{rolled_back} of 300 good versions were rolled back");
    assert!(rejected <= 1, "{rejected} of 300 good versions were rejected");
}

/// Pace of a stream whose events arrive at these times.
fn pace_of(arrivals: &[u64]) -> Option<Millis> {
    let mut pace = StreamPace::default();
    let early = arrivals.iter().find_map(|at| pace.record_events(1, Millis(*at)));
    early.or_else(|| pace.finish())
}

#[test]
fn long_stream_has_a_pace_before_its_end() {
    let mut pace = StreamPace::default();
    let known: Vec<u64> =
        (0..40).filter(|event| pace.record_events(1, Millis(30 * event)).is_some()).collect();
    assert_eq!(known, [8], "once, after eight events");
    assert_eq!(pace.finish(), None);
}

#[test]
fn silence_and_prefill_do_not_change_the_pace() {
    let even = pace_of(&[0, 30, 60, 90, 120, 150, 180, 210, 240]);
    assert_eq!(even, Some(Millis(300)));
    assert_eq!(pace_of(&[0, 30, 60, 1_360, 1_390, 1_420, 1_450, 1_480, 1_510]), even);
    assert_eq!(pace_of(&[0, 30, 60, 130, 200, 230, 260, 290, 360]), even);
}

#[test]
fn events_that_arrive_together_share_their_time() {
    assert_eq!(pace_of(&[0, 1, 60, 61, 120, 121, 180, 181, 240]), Some(Millis(300)));
    let mut pace = StreamPace::default();
    assert_eq!(pace.record_events(3, Millis(0)), None);
    assert_eq!(pace.record_events(3, Millis(90)), None);
    assert_eq!(pace.record_events(3, Millis(180)), Some(Millis(300)));
}

#[test]
fn fast_streams_have_the_shortest_pace() {
    assert_eq!(pace_of(&[0; 12]), Some(Millis(50)));
    assert_eq!(pace_of(&[7, 7, 8]), Some(Millis(50)));
    assert_eq!(pace_of(&[7, 700]), None, "one gap may be a silence");
    assert_eq!(pace_of(&[7, 8, 700]), None, "one gap may be a silence");
    assert_eq!(pace_of(&[]), None);
}

/// A handful of fast streams must not hide behind the latencies of other routes.
#[test]
fn slow_streams_are_not_outweighed_by_calls() {
    let mut evidence = Evidence::default();
    let class = pace_class("drafts", "small", Tokens(0));
    for number in 0..200_u32 {
        let is_new = number % 4 == 0;
        let counts = if is_new { &mut evidence.new } else { &mut evidence.old };
        counts.record_latency(1, 40);
        if number % 3 == 0 {
            counts.record_latency(class, if is_new { 900 } else { 300 });
        }
    }
    assert!(compare_versions(&evidence, Count(6)).is_bad());
}

/// Entries of both builds merge the same report; the earlier build compares all classes together.
#[test]
fn report_with_paces_keeps_its_form() {
    let mut evidence = Evidence::default();
    evidence.new.record_latency(pace_class("drafts", "small", Tokens(0)), 300);
    evidence.new.record_latency(latency_class("drafts", "small", Tokens(0)), 300);
    let bytes = rmp_serde::to_vec(&evidence).expect("it is encoded");
    let (new, _old): (Counts, Counts) = rmp_serde::from_slice(&bytes).expect("the earlier form");
    assert_eq!(new.1.len(), 2);
    assert_eq!(new.1.keys().filter(|class| is_pace_class(**class)).count(), 1);
    assert_eq!(rmp_serde::from_slice::<Evidence>(&bytes).expect("it is decoded"), evidence);
}
