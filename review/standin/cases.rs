//! The cases.

use crate::callers::{self, Answer, HOST, KEY};
use crate::link::Link;
use crate::processes::{Entry, Folder, Record, Replica};
use crate::replica;
use crate::store::Store;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const HELD: i32 = 0;
const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Runs a case; returns the exit code.
pub fn run(case: &str, record: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(record));
    let folder = Folder::create(case);
    record.write(&format!("case {case}, with the disruption: {has_trouble}"));
    let code = match case {
        "drained-stream" => drained_stream(&record, &folder, has_trouble),
        "crashed-body" => crashed_body(&record, &folder, has_trouble),
        "run-and-refused" => run_and_refused(&record, &folder, has_trouble),
        "silent-order" => silent_order(&record, &folder, has_trouble),
        "early-answer" => early_answer(&record, &folder, has_trouble),
        "large-bodies" => large_bodies(&record, &folder, has_trouble),
        _ => NOT_RUN,
    };
    let result = ["the rule held", "the rule was broken", "the case could not run"];
    record.write(result[usize::try_from(code).unwrap_or(2)]);
    println!("{case}: {}", result[usize::try_from(code).unwrap_or(2)]);
    code
}

/// The operator's configuration: drafts by models, and records of a plain service.
fn configuration() -> String {
    format!(
        r#"{{"version": 3, "routes": [
{{"name": "r-drafts", "host": "{HOST}", "path_prefix": "/drafts/", "kind": "streaming",
 "timeout_ms": 20000, "target_latency_ms": 4000, "priority": 1, "sizes": ["m0", "m1", "m2"],
 "service": "ibis-writers", "max_attempts": 3, "allow_anonymous": false, "session_affinity": true,
 "stream_resume": true, "target_gap_ms": 1500}},
{{"name": "r-records", "host": "{HOST}", "path_prefix": "/records/", "kind": "unsafe",
 "timeout_ms": 1500, "target_latency_ms": 500, "priority": 2, "service": "fieldbook-app",
 "max_attempts": 1, "allow_anonymous": false, "session_affinity": false}}],
"services": [
{{"name": "ibis-writers", "health_path": "/health", "max_connections": 370, "protocol": "h1",
 "tls": false, "engine": {{"slots": 64, "kv_capacity": 401638, "kv_token_bytes": 18432,
 "link_mbps": 280000.0, "moves": true, "backups": true, "stride": 7, "most": 12, "pin_ms": 4000.0,
 "hold_ms": 2000.0, "handle_s": 5.0, "models": [{{"name": "m0", "cost": 0.018}},
 {{"name": "m1", "cost": 0.13}}, {{"name": "m2", "cost": 0.27}}]}}}},
{{"name": "fieldbook-app", "health_path": "/health", "max_connections": 110, "protocol": "h1",
 "tls": false}}],
"limits": {{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
 "idle_timeout_ms": 15000}},
"tenants": [{{"name": "editors", "api_keys": ["{KEY}"], "priority": 1}}]}}"#
    )
}

/// Memory of an entry in the settings, `memory_mb`.
const MEMORY_BYTES: u64 = 110 << 20;
/// Callers at the entry at the same time.
const LARGE_CALLERS: usize = 20;
/// Largest body that the configuration allows, `max_body_bytes`.
const LARGEST_BODY: usize = 4_194_304;
/// Mean body of a draft on the sheet.
const USUAL_BODY: usize = 12_000;

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

type Answers = Arc<Mutex<Vec<(String, Answer)>>>;

/// Sends a request beside others.
fn send_beside(
    record: &Arc<Record>,
    answers: &Answers,
    entry: SocketAddr,
    attempt: String,
    request: String,
) -> JoinHandle<()> {
    let (record, answers) = (Arc::clone(record), Arc::clone(answers));
    thread::spawn(move || {
        record.write(&format!("sent {attempt}"));
        let answer = callers::send(entry, &request, Duration::from_secs(21));
        record.write(&format!(
            "answered {attempt}: status {}, seal {}, {} bytes, events {:?}..{:?}, complete: {}",
            answer.status(),
            answer.seal(),
            answer.body.len(),
            answer.events().first(),
            answer.events().last(),
            answer.is_complete
        ));
        answers.lock().unwrap().push((attempt, answer));
    })
}

/// A replica whose streams have no framing drains and exits, as planned. The streams that it has not
/// finished must not look complete.
fn drained_stream(record: &Arc<Record>, folder: &Folder, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("config", "main", &configuration());
    let mut leaving = Replica::start(&folder.0, "i-7f3a91c2", "ibis-writers", &["unframed"]);
    let staying = Replica::start(&folder.0, "i-02d9e6b4", "ibis-writers", &[]);
    for replica in [&leaving, &staying] {
        store.put("servers", &replica.id, &replica.spec("ready", "v1"));
    }
    let entry = Entry::start_alone(&folder.0, store.address);
    if !entry.wait_ready(Duration::from_secs(10)) {
        return NOT_RUN;
    }
    let answers = Answers::default();
    let mut senders = Vec::new();
    for number in 0..12 {
        let attempt = format!("{number:02}41d07be2a35f68");
        let request = callers::draft(&attempt);
        senders.push(send_beside(record, &answers, entry.callers, attempt, request));
        thread::sleep(Duration::from_millis(100));
    }
    if has_trouble {
        record.write("the replica i-7f3a91c2 reports `draining`; the store has accepted it");
        store.put("servers", &leaving.id, &leaving.spec("draining", "v1"));
        // It serves for `drain_ms` (2 s) and a little longer.
        thread::sleep(Duration::from_millis(2_500));
        record.write("the replica i-7f3a91c2 exits");
        leaving.process.terminate();
        thread::sleep(Duration::from_millis(500));
        store.remove("servers", &leaving.id);
        record.write("the entry of the replica i-7f3a91c2 is removed");
    }
    for sender in senders {
        sender.join().ok();
    }
    record.append("the replica that leaves", &leaving.log);
    record.append("the replica that stays", &staying.log);
    record.append("log of the entry", &entry.log);
    let whole: Vec<u64> = (1..=replica::EVENTS).collect();
    let mut broken = 0;
    let answers = answers.lock().unwrap();
    for (attempt, answer) in answers.iter() {
        if answer.status() == 200 && answer.is_complete && answer.events() != whole {
            record.write(&format!(
                "ORDER: the stream {attempt} ended as complete without its last event"
            ));
            broken += 1;
        }
    }
    let is_used = answers.iter().any(|(_, answer)| answer.seal().starts_with(&leaving.id));
    match broken {
        0 if answers.is_empty() || !is_used => NOT_RUN,
        0 => HELD,
        _ => BROKEN,
    }
}

/// A replica whose answers have no framing crashes while it sends some. What has arrived of them must
/// not reach the caller as a whole answer.
fn crashed_body(record: &Arc<Record>, folder: &Folder, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("config", "main", &configuration());
    let mut crashing = Replica::start(&folder.0, "i-7f3a91c2", "fieldbook-app", &["unframed"]);
    store.put("servers", &crashing.id, &crashing.spec("ready", "v1"));
    let entry = Entry::start_alone(&folder.0, store.address);
    if !entry.wait_ready(Duration::from_secs(10)) {
        return NOT_RUN;
    }
    let answers = Answers::default();
    let mut senders = Vec::new();
    for number in 0..10 {
        let attempt = format!("{number:02}41d07be2a35f68");
        let request = callers::submission(&attempt, 1_500);
        senders.push(send_beside(record, &answers, entry.callers, attempt, request));
        thread::sleep(Duration::from_millis(100));
    }
    if has_trouble {
        record.write("the replica i-7f3a91c2 crashes");
        crashing.process.kill();
    }
    for sender in senders {
        sender.join().ok();
    }
    record.append("the replica", &crashing.log);
    record.append("log of the entry", &entry.log);
    let mut broken = 0;
    let answers = answers.lock().unwrap();
    for (attempt, answer) in answers.iter() {
        let whole = replica::lines(attempt).concat();
        if answer.status() == 200 && answer.is_complete && answer.body != whole {
            record.write(&format!("MIXED: {attempt} was answered 200 with a part of the body"));
            broken += 1;
        }
    }
    let is_served = answers.iter().any(|(_, answer)| answer.status() == 200);
    match broken {
        0 if !is_served => NOT_RUN,
        0 => HELD,
        _ => BROKEN,
    }
}

/// Callers send bodies of the largest size that the configuration allows. The platform kills an entry
/// that uses more memory than its settings say.
fn large_bodies(record: &Arc<Record>, folder: &Folder, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("config", "main", &configuration());
    let writers = Replica::start(&folder.0, "i-7f3a91c2", "ibis-writers", &[]);
    let records = Replica::start(&folder.0, "i-02d9e6b4", "fieldbook-app", &[]);
    for replica in [&writers, &records] {
        store.put("servers", &replica.id, &replica.spec("ready", "v1"));
    }
    let mut entry = Entry::start_alone(&folder.0, store.address);
    if !entry.wait_ready(Duration::from_secs(10)) {
        return NOT_RUN;
    }
    let size = if has_trouble { LARGEST_BODY } else { USUAL_BODY };
    let answers = Answers::default();
    let mut senders = Vec::new();
    for number in 0..LARGE_CALLERS {
        let (record, answers) = (Arc::clone(record), Arc::clone(&answers));
        let callers = entry.callers;
        senders.push(thread::spawn(move || {
            let attempts =
                [format!("{number:02}00d07be2a35f68"), format!("{number:02}11d07be2a35f68")];
            let submission = callers::submission(&attempts[0], 1_500);
            let draft = callers::large_draft(&attempts[1], size);
            record
                .write(&format!("sent {} and, kept, {} of {size} bytes", attempts[0], attempts[1]));
            let answer = callers::send_kept(callers, &submission, &draft, Duration::from_secs(21));
            record.write(&format!(
                "answered {}: status {}, {} events, complete: {}",
                attempts[1],
                answer.status(),
                answer.events().len(),
                answer.is_complete
            ));
            answers.lock().unwrap().push((attempts[1].clone(), answer));
        }));
        thread::sleep(Duration::from_millis(100));
    }
    let mut most = 0;
    while senders.iter().any(|sender| !sender.is_finished()) {
        let used = entry.process.memory();
        most = most.max(used);
        if used > MEMORY_BYTES {
            record.write(&format!("the entry uses {used} bytes and is killed: memory_mb is 110"));
            entry.process.kill();
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    for sender in senders {
        sender.join().ok();
    }
    record.write(&format!("most memory of the entry: {most} bytes"));
    record.append("the replica that runs the drafts", &writers.log);
    record.append("log of the entry", &entry.log);
    let run = std::fs::read_to_string(&writers.log).unwrap_or_default();
    let answers = answers.lock().unwrap();
    let is_lost = |(attempt, answer): &&(String, Answer)| {
        !answer.is_complete && run.contains(&format!("runs {attempt}"))
    };
    let lost = answers.iter().filter(is_lost).count();
    record.write(&format!(
        "LOST: {lost} requests of kept connections were passed on and not answered"
    ));
    match lost {
        0 if answers.iter().all(|(_, answer)| answer.is_complete) => HELD,
        0..=3 => NOT_RUN,
        _ => BROKEN,
    }
}

/// Requests a second of the routes to the models, from the sheet.
const REQUESTS_PER_SECOND: u64 = 35;
/// Time in which the rollout is to be done.
const ROLLOUT_S: u64 = 16;
/// The bound `exposure_share` and `exposure_slack`.
const EXPOSURE_SHARE: f64 = 0.15;
const EXPOSURE_SLACK: f64 = 30.0;

/// One run at a replica.
struct Run {
    unix_ms: u64,
    session: String,
    is_new: bool,
}

/// The open connections to the store go silent. Later than `stability_window_ms` after that, a rollout
/// of a bad version is ordered.
fn silent_order(record: &Arc<Record>, folder: &Folder, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("config", "main", &configuration());
    let link = Link::start(store.address);
    let old = ["i-a1", "i-a2", "i-a3"]
        .map(|id| Replica::start(&folder.0, id, "ibis-writers", &["events=42", "interval=70"]));
    // Bad: three of ten answers are failures.
    let bad = ["events=42", "interval=70", "failing=30"];
    let new =
        ["i-b1", "i-b2", "i-b3"].map(|id| Replica::start(&folder.0, id, "ibis-writers", &bad));
    for replica in &old {
        store.put("servers", &replica.id, &replica.spec("ready", "v1"));
    }
    let ports = {
        let host = format!("127.77.{}.1", std::process::id() % 250);
        [0; 5].map(|_| crate::processes::free_port(&host))
    };
    let entries: Vec<Entry> = (1..=3)
        .map(|number| Entry::start(&folder.0, number, &[1, 2, 3], ports, link.address))
        .collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        return NOT_RUN;
    }
    let callers: Vec<SocketAddr> = entries.iter().map(|entry| entry.callers).collect();
    let is_over = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let answers = Answers::default();
    let load = {
        let (record, is_over, answers) =
            (Arc::clone(record), Arc::clone(&is_over), Arc::clone(&answers));
        thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(std::sync::atomic::Ordering::Relaxed) {
                let attempt = format!("{number:016x}");
                let session = format!("s-{}", number % 40);
                let request = callers::summary(number, &attempt, &session);
                let entry = callers[number % callers.len()];
                let (record, answers) = (Arc::clone(&record), Arc::clone(&answers));
                thread::spawn(move || {
                    let answer = callers::send(entry, &request, Duration::from_secs(21));
                    record.write(&format!(
                        "{attempt} of session {session} at {entry}: status {}, seal {}",
                        answer.status(),
                        answer.seal()
                    ));
                    answers.lock().unwrap().push((attempt, answer));
                });
                number += 1;
                thread::sleep(Duration::from_millis(1_000 / REQUESTS_PER_SECOND));
            }
        })
    };
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        let opened = link.silence();
        record.write(&format!("the open connections to the store go silent; {opened} were opened"));
    }
    // `stability_window_ms` is 3 s.
    thread::sleep(Duration::from_millis(4_500));
    let ordered_at = replica::unix_ms();
    let order =
        format!("{{\"service\":\"ibis-writers\",\"target\":\"v2\",\"duration_s\":{ROLLOUT_S}}}");
    store.put("rollouts", "ibis-writers", &order);
    for replica in &new {
        store.put("servers", &replica.id, &replica.spec("ready", "v2"));
    }
    record.write("a rollout to v2 is ordered; its replicas are started");
    thread::sleep(Duration::from_secs(ROLLOUT_S));
    let ended_at = replica::unix_ms();
    record.write("the rollout is due");
    is_over.store(true, std::sync::atomic::Ordering::Relaxed);
    load.join().ok();
    thread::sleep(Duration::from_secs(4));
    let mut runs = Vec::new();
    for (replicas, is_new) in [(&old, false), (&new, true)] {
        for replica in replicas {
            record.append(&format!("runs of {}", replica.id), &replica.log);
            let text = std::fs::read_to_string(&replica.log).unwrap_or_default();
            runs.extend(text.lines().filter_map(|line| run_of(line, is_new)));
        }
    }
    for entry in &entries {
        record.append("log of an entry", &entry.log);
    }
    runs.sort_by_key(|run| run.unix_ms);
    let during = || runs.iter().filter(|run| (ordered_at..ended_at).contains(&run.unix_ms));
    let all = during().count();
    let exposed = during().filter(|run| run.is_new).count();
    let allowed = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    record.write(&format!(
        "EXPOSURE: of {all} requests between the order and its deadline {exposed} reached the new \
         version; at most {allowed:.0} may"
    ));
    let half = ordered_at + ROLLOUT_S * 500;
    let mut last: BTreeMap<&str, &Run> = BTreeMap::new();
    let mut moved = 0;
    for run in &runs {
        let before = last.insert(&run.session, run);
        let goes_on = before.is_some_and(|before| {
            !before.is_new
                && run.unix_ms - before.unix_ms < 5_000
                && before.unix_ms + 4_000 > ordered_at
        });
        moved += usize::from(goes_on && run.is_new && run.unix_ms < half);
    }
    record.write(&format!(
        "PINNED: {moved} requests went from v1 to v2 within their session in the first half of the \
         rollout; at most 3 may"
    ));
    if answers.lock().unwrap().len() < 300 {
        return NOT_RUN;
    }
    if exposed as f64 > allowed || moved > 3 {
        BROKEN
    } else {
        HELD
    }
}

/// The run that a line of a replica's log tells of.
fn run_of(line: &str, is_new: bool) -> Option<Run> {
    let words: Vec<&str> = line.split(' ').collect();
    match words.as_slice() {
        [time, _, "runs", _, "session", session, ..] => {
            Some(Run { unix_ms: time.parse().ok()?, session: (*session).to_owned(), is_new })
        }
        _ => None,
    }
}

/// Submissions of the case.
const SUBMISSIONS: usize = 120;

/// A replica fails a part of the submissions that it has run, with 503 and without `Not-Run`, so that it
/// does not say that it has not run them. Callers must not be told that they have not been run.
fn run_and_refused(record: &Arc<Record>, folder: &Folder, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("config", "main", &configuration());
    let words: &[&str] = if has_trouble { &["late-503=45"] } else { &[] };
    let grey = Replica::start(&folder.0, "i-7f3a91c2", "fieldbook-app", words);
    let sound =
        ["i-02d9e6b4", "i-11c0ffee"].map(|id| Replica::start(&folder.0, id, "fieldbook-app", &[]));
    for replica in std::iter::once(&grey).chain(&sound) {
        store.put("servers", &replica.id, &replica.spec("ready", "v1"));
    }
    let entry = Entry::start_alone(&folder.0, store.address);
    if !entry.wait_ready(Duration::from_secs(10)) {
        return NOT_RUN;
    }
    let answers = Answers::default();
    let mut callers = Vec::new();
    for number in 0..SUBMISSIONS {
        let (record, answers) = (Arc::clone(record), Arc::clone(&answers));
        let address = entry.callers;
        callers.push(thread::spawn(move || {
            // A caller tries once more after a promise that the request has not run.
            for attempt in
                [format!("{number:03}a1d07be2a35f6"), format!("{number:03}a2d07be2a35f6")]
            {
                let request = callers::submission(&attempt, 1_500);
                record.write(&format!("submission {number} sent as {attempt}"));
                let answer = callers::send(address, &request, Duration::from_secs(2));
                let status = answer.status();
                record.write(&format!("submission {number} answered: {attempt}, status {status}"));
                answers.lock().unwrap().push((attempt, answer));
                if !PROMISES.contains(&status) {
                    return;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }));
        thread::sleep(Duration::from_millis(100));
    }
    for caller in callers {
        caller.join().ok();
    }
    let mut runs = String::new();
    for replica in std::iter::once(&grey).chain(&sound) {
        record.append(&format!("runs of {}", replica.id), &replica.log);
        runs += &std::fs::read_to_string(&replica.log).unwrap_or_default();
    }
    record.append("log of the entry", &entry.log);
    let has_run = |attempt: &str| runs.contains(&format!("has ended {attempt}"));
    let answers = answers.lock().unwrap();
    let mut broken = 0;
    for (attempt, answer) in answers.iter() {
        if PROMISES.contains(&answer.status()) && has_run(attempt) {
            let status = answer.status();
            record.write(&format!("REFUSED: {attempt} was answered {status} and has run"));
            broken += 1;
        }
    }
    let twice = (0..SUBMISSIONS)
        .filter(|number| {
            has_run(&format!("{number:03}a1d07be2a35f6"))
                && has_run(&format!("{number:03}a2d07be2a35f6"))
        })
        .count();
    record.write(&format!("{twice} submissions were booked twice, as their callers came again"));
    match broken {
        0 if answers.iter().all(|(_, answer)| answer.status() != 200) => NOT_RUN,
        0 => HELD,
        _ => BROKEN,
    }
}

/// Long submissions of the case.
const LONG_SUBMISSIONS: usize = 12;

/// A replica answers a long submission with success before it has read it whole, and reads on. The rest of
/// the body must reach it.
fn early_answer(record: &Arc<Record>, folder: &Folder, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("config", "main", &configuration());
    let words: &[&str] = if has_trouble { &["early"] } else { &[] };
    let replica = Replica::start(&folder.0, "i-7f3a91c2", "fieldbook-app", words);
    store.put("servers", &replica.id, &replica.spec("ready", "v1"));
    let entry = Entry::start_alone(&folder.0, store.address);
    if !entry.wait_ready(Duration::from_secs(10)) {
        return NOT_RUN;
    }
    let mut accepted = Vec::new();
    for number in 0..LONG_SUBMISSIONS {
        let attempt = format!("{number:02}41d07be2a35f68");
        let request = callers::large_submission(&attempt, LARGEST_BODY);
        record.write(&format!("sent {attempt}, {LARGEST_BODY} bytes"));
        let answer = callers::send(entry.callers, &request, Duration::from_secs(6));
        record.write(&format!(
            "answered {attempt}: status {}, seal {}, complete: {}",
            answer.status(),
            answer.seal(),
            answer.is_complete
        ));
        if answer.status() == 200 && answer.is_complete {
            accepted.push(attempt);
        }
        thread::sleep(Duration::from_millis(1_000));
    }
    record.append("the replica", &replica.log);
    record.append("log of the entry", &entry.log);
    let log = std::fs::read_to_string(&replica.log).unwrap_or_default();
    let whole = |attempt: &str| {
        let got = format!("got {LARGEST_BODY} of {LARGEST_BODY} bytes of {attempt}, as sent: true");
        log.contains(&got) || log.contains(&format!("has ended {attempt}"))
    };
    let cut: Vec<&String> = accepted.iter().filter(|attempt| !whole(attempt)).collect();
    for attempt in &cut {
        record.write(&format!(
            "UNASKED: {attempt} was answered 200, and its replica did not get its whole body"
        ));
    }
    match (accepted.is_empty(), cut.is_empty()) {
        (true, _) => NOT_RUN,
        (_, true) => HELD,
        _ => BROKEN,
    }
}
