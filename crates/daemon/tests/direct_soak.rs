//! Injects seeded faults, one after another and overlapping, and checks the invariants that callers
//! can observe.
//!
//! `SOAK_SEEDS=100..150 cargo test -p ibissail-daemon --test direct_soak` runs other seeds.

mod direct;

use direct::{
    EntryFixture,
    fault_proxy::FaultProxy,
    planned_streams::{Disruption, Disruptions, spawn_uneven_streams},
};
use ibissail_platform_standin::{
    BODY_BYTE, Behaviour, CallerRequest, CallerResponse, ConfigurationSpec, EarlyBehaviour,
    EarlyReplica, EarlyResponse, ForeignReplicas, PlannedReplicas, ReplicaStandin, RestReading,
    RouteSpec, StoreFault, StoreStandin, StreamEnding, run_events, send_request,
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

/// Seeds that run by default.
const DEFAULT_SEEDS: Range<u64> = 1..4;
/// Duration of the run of one seed.
const RUN_TIME: Duration = Duration::from_secs(7);
/// Age of the configuration up to which the settings of these tests accept keys.
const KEY_AGE_LIMIT: Duration = Duration::from_secs(2);
/// Events of a complete stream.
const EVENTS: u64 = 12;
/// Streams with foreign bytes that a run must have at least.
const MIN_FOREIGN_RUNS: usize = 20;
/// Length of a body that its replica responds to before it has read it.
const LONG_BODY_BYTES: usize = 6 << 20;
/// Time in which the rest of such a body reaches its replica.
const REST_TIME: Duration = Duration::from_secs(3);

/// A request of a caller and its response.
#[derive(Debug)]
struct Exchange {
    request: CallerRequest,
    sent_at: Instant,
    response: CallerResponse,
}

fn configuration(version: u64, keys: &[&str]) -> ConfigurationSpec {
    let mut drafts = RouteSpec::new("/drafts/", "resumable", "writers");
    drafts.request_timeout_ms = 3_000;
    let edits = RouteSpec { prefix: "/edits/".into(), service: "editors".into(), ..drafts.clone() };
    let logs = RouteSpec { prefix: "/logs/".into(), service: "scribes".into(), ..drafts.clone() };
    let minutes = RouteSpec { prefix: "/minutes/".into(), kind: "stream".into(), ..logs.clone() };
    let notes = RouteSpec { prefix: "/notes/".into(), kind: "stream".into(), ..edits.clone() };
    let mut members = RouteSpec::new("/members/", "safe", "records");
    members.allows_anonymous = false;
    ConfigurationSpec {
        version,
        routes: vec![
            RouteSpec::new("/records/", "unsafe", "records"),
            RouteSpec::new("/look/", "safe", "records"),
            drafts,
            edits,
            notes,
            logs,
            minutes,
            members,
            RouteSpec {
                request_timeout_ms: 3_000,
                ..RouteSpec::new("/bodies/", "unsafe", "bodies")
            },
        ],
        organisations: vec![("huts".into(), keys.iter().map(|key| (*key).into()).collect())],
    }
}

fn stream(sent: u64, ending: StreamEnding) -> Behaviour {
    let interval = Duration::from_millis(10);
    Behaviour::Stream { events: EVENTS, sent, interval, ending, confidence: 90 }
}

fn is_stream(path: &str) -> bool {
    matches!(path, "/drafts/1" | "/edits/1" | "/notes/1")
}

fn random_request(rng: &mut StdRng, id: &str) -> CallerRequest {
    let (method, path) = [
        ("POST", "/records/new"),
        ("GET", "/look/1"),
        ("POST", "/drafts/1"),
        ("GET", "/members/1"),
        ("POST", "/edits/1"),
        ("POST", "/notes/1"),
    ][rng.random_range(0..6)];
    let mut request = CallerRequest::new(method, path, id);
    request.deadline_ms = if is_stream(path) { 3_000 } else { 1_500 };
    request.key = (path == "/members/1").then(|| "key-1".to_owned());
    request
}

/// Spawns callers that send requests until `stop` is set and record the responses.
fn spawn_callers(
    entry: SocketAddr,
    seed: u64,
    stop: &Arc<AtomicBool>,
    exchanges: &Arc<Mutex<Vec<Exchange>>>,
) {
    for caller in 0..9 {
        let (stop, exchanges) = (Arc::clone(stop), Arc::clone(exchanges));
        thread::spawn(move || {
            let mut rng = StdRng::seed_from_u64(seed * 100 + caller);
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let request = random_request(&mut rng, &format!("{seed}-{caller}-{number}"));
                let sent_at = Instant::now();
                let response = send_request(entry, &request);
                exchanges.lock().expect("no panic").push(Exchange { request, sent_at, response });
                thread::sleep(Duration::from_millis(rng.random_range(2..30)));
            }
        });
    }
}

/// Spawns a caller that sends long bodies until `stop` is set and records the responses.
fn spawn_long_bodies(
    entry: SocketAddr,
    seed: u64,
    stop: &Arc<AtomicBool>,
    exchanges: &Arc<Mutex<Vec<Exchange>>>,
) {
    let (stop, exchanges) = (Arc::clone(stop), Arc::clone(exchanges));
    thread::spawn(move || {
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let mut request =
                CallerRequest::new("POST", "/bodies/1", &format!("{seed}-b-{number}"));
            request.deadline_ms = 3_000;
            request.body = vec![BODY_BYTE; LONG_BODY_BYTES];
            let sent_at = Instant::now();
            let response = send_request(entry, &request);
            request.body.clear();
            exchanges.lock().expect("no panic").push(Exchange { request, sent_at, response });
            thread::sleep(Duration::from_millis(300));
        }
    });
}

/// Asserts that each body whose caller got a success has reached its replica, unless the entry was
/// killed meanwhile.
fn check_bodies(seed: u64, exchanges: &[Exchange], replica: &EarlyReplica, kills: &[Instant]) {
    let received = replica.received();
    for Exchange { request, sent_at, response } in exchanges {
        let is_excused = kills.iter().any(|at| *at > *sent_at && *at < *sent_at + 2 * REST_TIME);
        if response.status == 200 && response.is_complete && !is_excused {
            let body = received.get(&request.id).copied().unwrap_or_default();
            assert!(body.is_whole, "seed {seed}: {} got {body:?}", request.id);
        }
    }
}

/// Injects one fault and removes it again; returns when the entry was killed, if it was.
fn inject_fault(
    rng: &mut StdRng,
    fixture: &mut EntryFixture,
    proxy: &FaultProxy,
    replicas: &[ReplicaStandin],
    disruptions: &Disruptions,
) -> Option<Instant> {
    let pause = Duration::from_millis(rng.random_range(100..900));
    let healthy_behaviour = |replica: &ReplicaStandin| {
        if replica.id().starts_with('w') {
            stream(EVENTS, StreamEnding::Complete)
        } else {
            Behaviour::Respond(200, Duration::from_millis(5))
        }
    };
    match rng.random_range(0..9) {
        0 => {
            let _disruption = disruptions.begin(Disruption::Frozen);
            fixture.signal("-STOP");
            thread::sleep(pause);
            fixture.signal("-CONT");
        }
        1 => {
            let _disruption = disruptions.begin(Disruption::Restarted);
            fixture.kill();
            let killed_at = Instant::now();
            thread::sleep(pause / 4);
            fixture.start_entry();
            return Some(killed_at);
        }
        2 => {
            let _disruption = disruptions.begin(Disruption::Restarted);
            fixture.signal("-TERM");
            fixture.wait_for_exit();
            fixture.start_entry();
        }
        3 => fixture.signal("-HUP"),
        4 => {
            let store_faults = [
                StoreFault::Unavailable,
                StoreFault::Unresponsive,
                StoreFault::StalledWatches,
                StoreFault::LostWriteResponses,
            ];
            fixture.store.set_fault(store_faults[rng.random_range(0..4)]);
            thread::sleep(pause * 2);
            fixture.store.set_fault(StoreFault::None);
        }
        5 => fixture.store.compact(),
        6 => proxy.stall(),
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
            replica.set_behaviour(healthy_behaviour(replica));
        }
    }
    None
}

/// The runs of each request id over all replicas, each with what was foreign in it.
fn runs(replicas: &[ReplicaStandin], foreign: &ForeignReplicas) -> BTreeMap<String, Vec<String>> {
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let received = replicas.iter().flat_map(ReplicaStandin::received_requests);
    let received = received.filter(|received| received.ran).map(|received| (received.id, None));
    let foreign = foreign.runs().into_iter().map(|run| (run.id, run.foreign));
    for (id, foreign) in received.chain(foreign) {
        runs.entry(id).or_default().push(foreign.unwrap_or_default());
    }
    runs
}

/// Asserts that a stream consists of whole events of its run, from the first on, and of all if it is
/// complete.
fn check_stream(request: &CallerRequest, response: &CallerResponse, context: &str) {
    let run = if request.path == "/drafts/1" { "word" } else { &request.id };
    let (whole, body) = (run_events(run, 1..=EVENTS), &response.body);
    let has_whole_events = body.is_empty() || body.ends_with("\n\n");
    assert!(whole.starts_with(body) && has_whole_events, "events of the run: {context}");
    assert!(!response.is_complete || *body == whole, "all events: {context}");
}

/// Asserts that streams had foreign bytes, and that some of them went on elsewhere to their end.
fn check_foreign(seed: u64, exchanges: &[Exchange], foreign: &ForeignReplicas) {
    let runs = foreign.runs().into_iter().filter(|run| run.foreign.is_some());
    let ids: Vec<String> = runs.map(|run| run.id).collect();
    let whole = exchanges.iter().filter(|Exchange { request, response, .. }| {
        let is_whole = response.is_complete && response.status == 200;
        is_whole && request.path == "/edits/1" && ids.contains(&request.id)
    });
    let (count, whole) = (ids.len(), whole.count());
    println!("seed {seed}: {count} streams with foreign bytes, {whole} whole");
    assert!(count >= MIN_FOREIGN_RUNS && whole > 0, "seed {seed}: {count}, {whole} whole");
}

fn check_invariants(
    seed: u64,
    exchanges: &[Exchange],
    runs: &BTreeMap<String, Vec<String>>,
    revoked_at: Instant,
) {
    let mut served = 0;
    for Exchange { request, sent_at, response } in exchanges {
        let runs = runs.get(&request.id).map(Vec::as_slice).unwrap_or_default();
        let ran = runs.len();
        let context = format!("seed {seed}: runs {runs:?} of {request:?}, {response:?}");
        if matches!(request.path.as_str(), "/records/new" | "/notes/1") {
            assert!(ran <= 1, "at most once: {context}");
        }
        // The statuses that an entry may send only for a request that has not run.
        if matches!(response.status, 408 | 421 | 429 | 503) && response.is_complete {
            assert_eq!(ran, 0, "a refused request has not run: {context}");
        }
        if response.status == 200 && is_stream(&request.path) {
            check_stream(request, response, &context);
        } else if response.status == 200 && response.is_complete {
            let is_own = response.body.ends_with(&format!(" to {}", request.id));
            assert!(
                is_own && response.is_signed(),
                "the response belongs to the request: {context}"
            );
        }
        if request.key.is_some() && *sent_at > revoked_at + KEY_AGE_LIMIT {
            assert_eq!(ran, 0, "a revoked key: {context}");
        }
        let is_counted = !matches!(request.path.as_str(), "/edits/1" | "/notes/1");
        served += usize::from(response.status == 200 && response.is_complete && is_counted);
    }
    assert!(served > 50, "seed {seed}: {served} of {} served", exchanges.len());
}

fn run_seed(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let store = StoreStandin::start();
    configuration(1, &["key-1"]).apply_with_body_limit(&store, LONG_BODY_BYTES as u64);
    let proxy = FaultProxy::start(store.address());
    let mut fixture = EntryFixture::without_entry(&format!("soak{seed}"), store);
    let store = fixture.store.address().to_string();
    fixture.edit_settings(&store, &proxy.address.to_string());
    let rest = RestReading::After(Duration::from_millis(300));
    let early = EarlyBehaviour { read_first: 4 << 10, response: EarlyResponse::Status(200), rest };
    let early = EarlyReplica::start(&fixture.store, "b-0", "bodies", early);
    fixture.start_entry();
    let mut replicas = Vec::new();
    for number in 0..3 {
        let ok_response = Behaviour::Respond(200, Duration::from_millis(5));
        replicas.push(fixture.add_replica(&format!("r-{number}"), "records", ok_response));
        let complete_stream = stream(EVENTS, StreamEnding::Complete);
        replicas.push(fixture.add_replica(&format!("w-{number}"), "writers", complete_stream));
    }
    let foreign = ForeignReplicas::new(seed, EVENTS);
    for number in 0..6 {
        foreign.add(&fixture.store, &format!("e-{number}"), "editors");
    }
    let scribes = PlannedReplicas::new();
    for number in 0..3 {
        scribes.add(&fixture.store, &format!("s-{number}"), "scribes");
    }
    fixture.wait_ready();
    let (stop, exchanges) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    spawn_callers(fixture.callers, seed, &stop, &exchanges);
    let bodies = Arc::new(Mutex::new(Vec::new()));
    spawn_long_bodies(fixture.callers, seed, &stop, &bodies);
    let disruptions = Disruptions::default();
    let entry = fixture.callers;
    let uneven = spawn_uneven_streams(entry, seed, &stop, &disruptions, &scribes);
    let started = Instant::now();
    let mut revoked_at = None;
    let mut kills = Vec::new();
    while started.elapsed() < RUN_TIME {
        kills.extend(inject_fault(&mut rng, &mut fixture, &proxy, &replicas, &disruptions));
        if revoked_at.is_none() && started.elapsed() > RUN_TIME / 3 {
            let revoked = configuration(2, &["key-2"]);
            revoked.apply_with_body_limit(&fixture.store, LONG_BODY_BYTES as u64);
            revoked_at = Some(Instant::now());
        }
        thread::sleep(Duration::from_millis(rng.random_range(0..300)));
    }
    stop.store(true, Ordering::Relaxed);
    // Late runs of refused requests, and the rests of bodies, must be counted too.
    thread::sleep(REST_TIME);
    check_bodies(seed, &bodies.lock().expect("no panic"), &early, &kills);
    let exchanges = exchanges.lock().expect("no panic");
    let runs = runs(&replicas, &foreign);
    check_invariants(seed, &exchanges, &runs, revoked_at.expect("the key was revoked"));
    check_foreign(seed, &exchanges, &foreign);
    uneven.join().expect("uneven streams");
}

#[test]
fn invariants_hold_under_seeded_faults() {
    let seeds = env::var("SOAK_SEEDS").ok().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    let threads: Vec<_> = seeds.map(|seed| thread::spawn(move || run_seed(seed))).collect();
    let failed = threads.into_iter().filter_map(|thread| thread.join().err()).count();
    assert_eq!(failed, 0, "seeds that failed");
}
