//! Sessions in a rollout at a fleet of 30 entries. The fleet needs about 700 MB and half a minute.

mod direct;

use direct::EntryFixture;
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, ReplicaStandin, RouteSpec, send_request,
    session_header,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

const ENTRIES: usize = 30;
const CALLERS: u64 = 48;
const SESSIONS_PER_CALLER: u64 = 10;
/// Longest time between two requests of a session; a session is idle after five seconds.
const MAX_PAUSE_MS: u64 = 3_100;
const MIN_PAUSE_MS: u64 = 700;
const ROLLOUT: Duration = Duration::from_secs(24);
/// Requests that may run on another version than the one before in their session.
const MAX_MOVED: usize = 3;

/// A linear congruential generator, so that a seed fixes sessions, entries and times.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    fn pause(&mut self) -> Duration {
        Duration::from_millis(MIN_PAUSE_MS + self.below(MAX_PAUSE_MS - MIN_PAUSE_MS))
    }
}

/// Callers that send the requests of their sessions to random entries.
struct Sessions {
    should_stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Sessions {
    fn start(entries: &Arc<Mutex<Vec<SocketAddr>>>, seed: u64) -> Self {
        let should_stop = Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS).map(|caller| {
            let (entries, stopped) = (Arc::clone(entries), Arc::clone(&should_stop));
            thread::spawn(move || send_sessions(caller, seed, &entries, &stopped))
        });
        let callers = callers.collect();
        Self { should_stop, callers }
    }

    fn stop(self) {
        self.should_stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.join().expect("the caller ends");
        }
    }
}

/// Sends the requests of some sessions until the callers stop. A fifth of the sessions end and are
/// replaced by new ones at each of their requests.
fn send_sessions(
    caller: u64,
    seed: u64,
    entries: &Mutex<Vec<SocketAddr>>,
    should_stop: &AtomicBool,
) {
    let mut random = Random(seed.wrapping_mul(1_000_003) + caller);
    let mut generations = vec![0; usize::try_from(SESSIONS_PER_CALLER).expect("it is small")];
    let mut schedule = BTreeSet::new();
    for session in 0..SESSIONS_PER_CALLER {
        schedule.insert((Instant::now() + random.pause(), session));
    }
    for number in 0.. {
        let Some((due, session)) = schedule.pop_first() else { return };
        if should_stop.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let generation = &mut generations[usize::try_from(session).expect("it is small")];
        let name = format!("c{caller}s{session}g{generation}");
        let mut request = CallerRequest::new("GET", "/look/1", &format!("{name}-{number}"));
        request.extra = session_header(&name);
        let entry = {
            let entries = entries.lock().expect("no caller panics");
            let index = random.below(entries.len() as u64);
            entries[usize::try_from(index).expect("it is small")]
        };
        let _response = send_request(entry, &request);
        if random.below(5) == 0 {
            *generation += 1;
        }
        schedule.insert((Instant::now() + random.pause(), session));
    }
}

/// Requests of sessions that ran on another version than the one before.
#[derive(Debug, Default)]
struct Moves {
    /// To the new version in the first half of the rollout.
    early: Vec<(String, Duration)>,
    /// Back to the old version.
    back: Vec<(String, Duration)>,
    /// To the new version later.
    late: usize,
}

impl Moves {
    fn find(
        old: &[ReplicaStandin],
        new: &[ReplicaStandin],
        ordered: Instant,
        until: Instant,
    ) -> Self {
        let mut all = Vec::new();
        for (replicas, is_new) in [(old, false), (new, true)] {
            let received = replicas.iter().flat_map(ReplicaStandin::received_requests);
            let runs = received.filter(|run| run.ran);
            all.extend(runs.map(|run| (run.received_at, is_new, run.id)));
        }
        all.sort();
        let mut versions: BTreeMap<String, bool> = BTreeMap::new();
        let mut moves = Self::default();
        for (at, is_new, id) in all.into_iter().filter(|(at, ..)| *at < until) {
            let session = id.rsplit_once('-').map_or(id.as_str(), |(session, _)| session);
            let before = versions.insert(session.to_owned(), is_new);
            let seen = (id, at.saturating_duration_since(ordered));
            match (before, is_new) {
                (Some(false), true) if at < ordered + ROLLOUT / 2 => moves.early.push(seen),
                (Some(false), true) => moves.late += 1,
                (Some(true), false) => moves.back.push(seen),
                _ => {}
            }
        }
        moves
    }
}

fn start_fleet(test: &str) -> Vec<EntryFixture> {
    let routes = vec![RouteSpec::new("/look/", "safe", "records")];
    let configuration = ConfigurationSpec { version: 1, routes, organisations: Vec::new() };
    let mut fleet = vec![EntryFixture::start(test, &configuration)];
    for number in 1..ENTRIES {
        let peer = fleet[0].start_peer(&format!("{test}-{number}"));
        fleet.push(peer);
    }
    fleet
}

fn addresses(fleet: &[EntryFixture]) -> Vec<SocketAddr> {
    fleet.iter().map(|entry| entry.callers).collect()
}

/// Lines of the entries' logs on the versions of sessions, of the requests with these ids.
fn log_lines(fleet: &[EntryFixture], ids: &BTreeSet<&str>) -> String {
    let logs: Vec<String> = fleet.iter().map(EntryFixture::log).collect();
    let lines = logs.iter().flat_map(|log| log.lines());
    let is_wanted = |line: &&str| {
        line.contains("\"session: ") && ids.iter().any(|id| line.contains(&format!("\"{id}\"")))
    };
    lines.filter(is_wanted).collect::<Vec<_>>().join("\n")
}

#[test]
fn sessions_keep_their_version_while_entries_are_replaced() {
    const REPLACED: usize = 3;
    let mut fleet = start_fleet("session_versions");
    let start_version = |fleet: &[EntryFixture], version: &str| -> Vec<ReplicaStandin> {
        let behaviour = Behaviour::Respond(200, Duration::from_millis(20));
        let name = |number: u32| format!("{version}-{number}");
        let add =
            |number| fleet[0].add_version(&name(number), "records", version, behaviour.clone());
        (0..4).map(add).collect()
    };
    let old = start_version(&fleet, "v1");
    for entry in &fleet {
        entry.wait_ready();
    }
    let entries = Arc::new(Mutex::new(addresses(&fleet)));
    let sessions = Sessions::start(&entries, 1);
    thread::sleep(Duration::from_secs(5));
    let new = start_version(&fleet, "v2");
    fleet[0].start_rollout("records", "v2", ROLLOUT.as_secs_f64());
    let ordered = Instant::now();
    for number in 0..REPLACED {
        thread::sleep(Duration::from_secs(2));
        let mut stopping = fleet.pop().expect("the fleet has entries");
        *entries.lock().expect("no caller panics") = addresses(&fleet);
        stopping.signal("-TERM");
        stopping.wait_for_exit();
        let peer = fleet[0].start_peer(&format!("session_versions-new-{number}"));
        peer.wait_ready();
        fleet.insert(1, peer);
        *entries.lock().expect("no caller panics") = addresses(&fleet);
    }
    let mut state = String::new();
    while !matches!(state.as_str(), "succeeded" | "rolled_back") && ordered.elapsed() < 2 * ROLLOUT
    {
        thread::sleep(Duration::from_millis(20));
        state = fleet[0].rollout_state("records");
    }
    let ended = Instant::now();
    sessions.stop();
    assert_eq!(state, "succeeded", "{}", fleet[0].decisions());
    let found = Moves::find(&old, &new, ordered, ended);
    let (early, back, late) = (found.early.len(), found.back.len(), found.late);
    eprintln!("moved early: {early}, back: {back}, late: {late}");
    let moved: BTreeSet<&str> =
        found.early.iter().chain(&found.back).map(|(id, _)| id.as_str()).collect();
    assert!(early + back <= MAX_MOVED, "{found:?}\n{}", log_lines(&fleet, &moved));
    assert!(late > 0, "sessions move in the second half");
    let counts: Vec<i64> = fleet.iter().map(|entry| entry.metric("entries")).collect();
    let entries = i64::try_from(ENTRIES).expect("it is small");
    assert!(counts.iter().all(|count| *count == entries), "each counts all entries: {counts:?}");
    let adopted = fleet.iter().filter(|entry| entry.log().contains("canary result adopted"));
    assert!(adopted.count() > ENTRIES / 2, "the entries tell each other the canary's result");
}
