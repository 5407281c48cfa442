//! Seeded faults in series and overlapping, and the promises checked meanwhile from outside.
//!
//! `SOAK_SEEDS=100..150 cargo test -p ibissail-daemon --test direct_soak` plays further seeds.

mod direct;

use direct::World;
use ibissail_platform_standin::{
    Behaviour, CallerRequest, CallerResponse, ConfigurationSpec, ReplicaStandin, RouteSpec,
    StoreFault, StreamEnding, send_request,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::BTreeMap,
    env,
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Seeds of each run of the tests.
const USUAL_SEEDS: Range<u64> = 1..4;
/// Time for which one seed is played.
const PLAY_TIME: Duration = Duration::from_secs(7);
/// Age of the configuration up to which the settings of these tests allow keys.
const KEY_TIME: Duration = Duration::from_secs(2);
const EVENTS: u64 = 12;

/// What a caller asked and got.
#[derive(Debug)]
struct Asked {
    ask: CallerRequest,
    sent: Instant,
    answer: CallerResponse,
}

fn configuration(version: u64, keys: &[&str]) -> ConfigurationSpec {
    let mut drafts = RouteSpec::new("/drafts/", "resumable", "writers");
    drafts.request_timeout_ms = 3_000;
    let mut members = RouteSpec::new("/members/", "safe", "records");
    members.allows_anonymous = false;
    ConfigurationSpec {
        version,
        routes: vec![
            RouteSpec::new("/records/", "unsafe", "records"),
            RouteSpec::new("/look/", "safe", "records"),
            drafts,
            members,
        ],
        organisations: vec![("huts".into(), keys.iter().map(|key| (*key).into()).collect())],
    }
}

fn stream(sent: u64, ending: StreamEnding) -> Behaviour {
    let interval = Duration::from_millis(10);
    Behaviour::Stream { events: EVENTS, sent, interval, ending, confidence: 90 }
}

fn request(rng: &mut StdRng, id: &str) -> CallerRequest {
    let (method, path) = [
        ("POST", "/records/new"),
        ("GET", "/look/1"),
        ("POST", "/drafts/1"),
        ("GET", "/members/1"),
    ][rng.random_range(0..4)];
    let mut ask = CallerRequest::new(method, path, id);
    ask.deadline_ms = if path == "/drafts/1" { 3_000 } else { 1_500 };
    ask.key = (path == "/members/1").then(|| "key-1".to_owned());
    ask
}

/// Asks without a pause until the stop, and keeps what it got.
fn callers(entry: SocketAddr, seed: u64, stop: &Arc<AtomicBool>, kept: &Arc<Mutex<Vec<Asked>>>) {
    for caller in 0..6 {
        let (stop, kept) = (Arc::clone(stop), Arc::clone(kept));
        thread::spawn(move || {
            let mut rng = StdRng::seed_from_u64(seed * 100 + caller);
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let ask_now = request(&mut rng, &format!("{seed}-{caller}-{number}"));
                let sent = Instant::now();
                let answer = send_request(entry, &ask_now);
                kept.lock().expect("no panic").push(Asked { ask: ask_now, sent, answer });
                thread::sleep(Duration::from_millis(rng.random_range(2..30)));
            }
        });
    }
}

/// Brings about one fault; returns what undoes it later.
fn disturb(rng: &mut StdRng, world: &mut World, replicas: &[ReplicaStandin]) {
    let pause = Duration::from_millis(rng.random_range(100..900));
    let sound = |replica: &ReplicaStandin| {
        if replica.id().starts_with('w') {
            stream(EVENTS, StreamEnding::Complete)
        } else {
            Behaviour::Respond(200, Duration::from_millis(5))
        }
    };
    match rng.random_range(0..8) {
        0 => {
            world.signal("-STOP");
            thread::sleep(pause);
            world.signal("-CONT");
        }
        1 => {
            world.kill();
            thread::sleep(pause / 4);
            world.start_entry();
        }
        2 => {
            world.signal("-TERM");
            world.wait_for_end();
            world.start_entry();
        }
        3 => world.signal("-HUP"),
        4 => {
            let outages = [
                StoreFault::Unavailable,
                StoreFault::Unresponsive,
                StoreFault::StalledWatches,
                StoreFault::LostWriteResponses,
            ];
            world.store.set_fault(outages[rng.random_range(0..4)]);
            thread::sleep(pause * 2);
            world.store.set_fault(StoreFault::None);
        }
        5 => world.store.compact(),
        _ => {
            let replica = &replicas[rng.random_range(0..replicas.len())];
            let faults = [
                Behaviour::Refuse,
                Behaviour::CloseWithoutResponse,
                Behaviour::TruncatedBody,
                Behaviour::WrongResponseFirst,
                Behaviour::Hang,
                stream(rng.random_range(1..EVENTS), StreamEnding::Truncated),
            ];
            replica.set_behaviour(faults[rng.random_range(0..faults.len())].clone());
            thread::sleep(pause);
            replica.set_behaviour(sound(replica));
        }
    }
}

/// Runs of each id, over all replicas.
fn runs(replicas: &[ReplicaStandin]) -> BTreeMap<String, Vec<Instant>> {
    let mut runs: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for arrival in replicas.iter().flat_map(ReplicaStandin::received_requests) {
        if arrival.ran {
            runs.entry(arrival.id).or_default().push(arrival.received_at);
        }
    }
    runs
}

fn check(seed: u64, kept: &[Asked], replicas: &[ReplicaStandin], revoked: Instant) {
    let runs = runs(replicas);
    let mut served = 0;
    for Asked { ask, sent, answer } in kept {
        let ran = runs.get(&ask.id).map_or(0, Vec::len);
        let context = format!("seed {seed}: {ran} runs of {ask:?}, {answer:?}");
        if ask.path == "/records/new" {
            assert!(ran <= 1, "once at most: {context}");
        }
        if matches!(answer.status, 408 | 421 | 429 | 503) && answer.is_complete {
            assert_eq!(ran, 0, "a refusal is true: {context}");
        }
        if answer.status == 200 && ask.path == "/drafts/1" {
            let ids = answer.event_ids();
            let expected: Vec<u64> = (1..=ids.len() as u64).collect();
            assert_eq!(ids, expected, "events in order: {context}");
            assert!(!answer.is_complete || ids.len() as u64 == EVENTS, "whole: {context}");
        } else if answer.status == 200 && answer.is_complete {
            let own = answer.body.ends_with(&format!(" to {}", ask.id));
            assert!(own && answer.is_signed(), "the caller's own answer: {context}");
        }
        if ask.key.is_some() && *sent > revoked + KEY_TIME {
            assert_eq!(ran, 0, "a key that was taken away: {context}");
        }
        served += usize::from(answer.status == 200 && answer.is_complete);
    }
    assert!(served > 50, "seed {seed}: {served} of {} served", kept.len());
}

fn play(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::start(&format!("soak{seed}"), &configuration(1, &["key-1"]));
    let mut replicas = Vec::new();
    for number in 0..3 {
        let answer = Behaviour::Respond(200, Duration::from_millis(5));
        replicas.push(world.add_replica(&format!("r-{number}"), "records", answer));
        let whole = stream(EVENTS, StreamEnding::Complete);
        replicas.push(world.add_replica(&format!("w-{number}"), "writers", whole));
    }
    world.wait_ready();
    let (stop, kept) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    callers(world.callers, seed, &stop, &kept);
    let started = Instant::now();
    let mut revoked = None;
    while started.elapsed() < PLAY_TIME {
        disturb(&mut rng, &mut world, &replicas);
        if revoked.is_none() && started.elapsed() > PLAY_TIME / 3 {
            configuration(2, &["key-2"]).apply(&world.store);
            revoked = Some(Instant::now());
        }
        thread::sleep(Duration::from_millis(rng.random_range(0..300)));
    }
    stop.store(true, Ordering::Relaxed);
    // Late runs of refused requests must show too.
    thread::sleep(Duration::from_millis(800));
    let kept = kept.lock().expect("no panic");
    check(seed, &kept, &replicas, revoked.expect("the key was taken away"));
}

#[test]
fn promises_hold_under_seeded_faults() {
    let seeds = env::var("SOAK_SEEDS").ok().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    let seeds = seeds.unwrap_or(USUAL_SEEDS);
    let plays: Vec<_> = seeds.map(|seed| thread::spawn(move || play(seed))).collect();
    let failed = plays.into_iter().filter_map(|play| play.join().err()).count();
    assert_eq!(failed, 0, "seeds that failed");
}
