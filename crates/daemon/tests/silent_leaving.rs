//! Streams whose replica falls silent in the second in which it leaves, or in which a rollout
//! replaces its version.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, RouteSpec, ScriptedExchange,
    ScriptedReplicas, StoreFault,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Longer than the silence after which another replica is asked, 400 ms to 1 s.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Events of the complete stream, and those before the silence.
const EVENTS: u64 = 80;
const EVENTS_BEFORE: u64 = 3;
/// Time of the rollouts, in which a busy machine too brings the new version enough requests before
/// all go to it.
const ROLLOUT_SECONDS: f64 = 8.0;

/// Set by a test or by a script.
#[derive(Debug, Clone, Default)]
struct Flag(Arc<AtomicBool>);

impl Flag {
    fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

fn fixture(test: &str) -> EntryFixture {
    let mut route = RouteSpec::new("/drafts/", "resumable", "writers");
    route.request_timeout_ms = 20_000;
    let configuration =
        ConfigurationSpec { version: 1, routes: vec![route], organisations: Vec::new() };
    EntryFixture::start(test, &configuration)
}

fn add_replica(fixture: &EntryFixture, replicas: &ScriptedReplicas, id: &str, version: &str) {
    replicas.add_version(&fixture.store, id, "writers", version);
    wait_until("the entry knows the replica", || fixture.log().contains(id));
}

fn draft(id: &str) -> CallerRequest {
    let mut request = CallerRequest::new("POST", "/drafts/1", id);
    request.deadline_ms = 15_000;
    request
}

fn start_stream(exchange: &mut ScriptedExchange) {
    exchange.send_stream_head();
    exchange.send_events(1..=EVENTS_BEFORE);
}

fn finish_stream(exchange: &mut ScriptedExchange) {
    exchange.send_events(EVENTS_BEFORE + 1..=EVENTS);
    exchange.end_stream();
}

fn continue_stream(exchange: &mut ScriptedExchange) {
    exchange.send_stream_head();
    exchange.send_events(exchange.resume_after + 1..=EVENTS);
    exchange.end_stream();
}

fn assert_whole_stream(response: &CallerResponse) {
    let whole = (1..=EVENTS)
        .fold(String::new(), |text, id| text + &format!("id: {id}\ndata: word {id}\n\n"));
    assert_eq!(response.body, whole, "{response:?}");
    assert!(response.status == 200 && response.is_complete, "{response:?}");
}

/// Sends a stream of which the only replica plays `silent` and leaves in its silence; another
/// replica then plays `other`.
fn leave_in_silence<L, S, O>(test: &str, leave: L, silent: S, other: O)
where
    L: FnOnce(&EntryFixture),
    S: Fn(&mut ScriptedExchange) + Send + Sync + 'static,
    O: Fn(&mut ScriptedExchange) + Send + Sync + 'static,
{
    let fixture = fixture(test);
    let leaving = ScriptedReplicas::new(silent);
    let staying = ScriptedReplicas::new(other);
    add_replica(&fixture, &leaving, "leaving-1", "v1");
    fixture.wait_ready();
    let response = thread::scope(|scope| {
        let sending = scope.spawn(|| fixture.send(&draft("draft-1")));
        wait_until("the replica has the request", || !leaving.received_at().is_empty());
        add_replica(&fixture, &staying, "staying-1", "v1");
        leave(&fixture);
        sending.join().expect("the caller gets a response")
    });
    assert_whole_stream(&response);
}

fn go_on_after_silence(exchange: &mut ScriptedExchange) {
    start_stream(exchange);
    thread::sleep(SILENCE);
    finish_stream(exchange);
}

#[test]
fn silent_stream_of_a_draining_replica_is_finished() {
    let drain = |fixture: &EntryFixture| fixture.store.start_draining("leaving-1");
    leave_in_silence("drains", drain, go_on_after_silence, ScriptedExchange::refuse);
}

#[test]
fn silent_stream_of_a_removed_replica_is_finished() {
    let remove = |fixture: &EntryFixture| fixture.store.remove("servers", "leaving-1");
    leave_in_silence("removed", remove, go_on_after_silence, ScriptedExchange::refuse);
}

#[test]
fn silent_stream_of_a_replica_that_says_it_leaves_is_finished() {
    let silent = |exchange: &mut ScriptedExchange| {
        exchange.is_leaving = true;
        go_on_after_silence(exchange);
    };
    leave_in_silence("says", |_fixture| {}, silent, ScriptedExchange::refuse);
}

#[test]
fn unanswered_stream_of_a_leaving_replica_is_finished() {
    let silent = |exchange: &mut ScriptedExchange| {
        exchange.is_leaving = true;
        thread::sleep(SILENCE * 2);
        start_stream(exchange);
        finish_stream(exchange);
    };
    let drain = |fixture: &EntryFixture| fixture.store.start_draining("leaving-1");
    leave_in_silence("unanswered", drain, silent, ScriptedExchange::refuse);
}

#[test]
fn silent_stream_of_a_replica_that_exits_is_continued() {
    let silent = |exchange: &mut ScriptedExchange| {
        start_stream(exchange);
        exchange.send_chunk("id: 4\nda");
        thread::sleep(SILENCE);
    };
    let refuse_once = |exchange: &mut ScriptedExchange| match exchange.number {
        0 => exchange.refuse(),
        _ => continue_stream(exchange),
    };
    let drain = |fixture: &EntryFixture| fixture.store.start_draining("leaving-1");
    leave_in_silence("exits", drain, silent, refuse_once);
}

#[test]
fn silent_stream_of_a_leaving_replica_outlasts_a_failed_successor() {
    let drain = |fixture: &EntryFixture| fixture.store.start_draining("leaving-1");
    let fail = |_exchange: &mut ScriptedExchange| thread::sleep(Duration::from_millis(50));
    leave_in_silence("failed", drain, go_on_after_silence, fail);
}

/// Which entry receives the stream that a rollout interrupts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Receiver {
    /// The one that writes the success of the rollout.
    Writer,
    /// One that learns of the success late.
    LatePeer,
}

/// Runs a stream on `v1` until a rollout to `v2` succeeds. Its replica then plays `ending`, and the
/// replica of `v2` plays `successor` when it is to continue the stream. The id of the stream begins
/// with `name`; one that is not `long` has no events before the rollout succeeds.
fn replace_version<E, S>(test: &str, receiver: Receiver, name: &str, ending: E, successor: S)
where
    E: Fn(&mut ScriptedExchange, u64) + Send + Sync + 'static,
    S: Fn(&mut ScriptedExchange) + Send + Sync + 'static,
{
    let fixture = fixture(test);
    let (has_begun, has_succeeded) = (Flag::default(), Flag::default());
    let old = ScriptedReplicas::new({
        let (has_begun, has_succeeded) = (has_begun.clone(), has_succeeded.clone());
        move |exchange| {
            if exchange.id.starts_with("short") {
                return continue_stream(exchange);
            }
            has_begun.set();
            let mut sent = 0;
            while !has_succeeded.is_set() {
                if exchange.id.starts_with("long") {
                    if sent == 0 {
                        exchange.send_stream_head();
                    }
                    sent += 1;
                    exchange.send_events([sent]);
                }
                thread::sleep(Duration::from_millis(100));
            }
            ending(exchange, sent);
        }
    });
    let new = ScriptedReplicas::new(move |exchange| {
        if exchange.resume_after > 0 {
            return successor(exchange);
        }
        continue_stream(exchange);
    });
    add_replica(&fixture, &old, "old-1", "v1");
    fixture.wait_ready();
    let peer = (receiver == Receiver::LatePeer).then(|| {
        let peer = fixture.start_peer(&format!("{test}_peer"));
        peer.wait_ready();
        peer
    });
    let receiver = peer.as_ref().unwrap_or(&fixture);
    add_replica(&fixture, &new, "new-1", "v2");
    fixture.start_rollout("writers", "v2", ROLLOUT_SECONDS);
    let mut number = 0;
    while new.received_at().len() < 8 {
        assert_eq!(fixture.rollout_state("writers").replace("running", ""), "", "too few requests");
        number += 1;
        fixture.send(&draft(&format!("short-{number}")));
        thread::sleep(Duration::from_millis(10));
    }
    let response = thread::scope(|scope| {
        let sending = scope.spawn(|| {
            let mut number = 0;
            loop {
                number += 1;
                assert!(number < 100, "the stream reaches the old version");
                let response = receiver.send(&draft(&format!("{name}-{number}")));
                if has_begun.is_set() {
                    return response;
                }
            }
        });
        wait_until("the stream has begun", || has_begun.is_set());
        if peer.is_some() {
            fixture.store.set_fault(StoreFault::StalledWatches);
        }
        wait_until("the rollout succeeds", || fixture.rollout_state("writers") == "succeeded");
        has_succeeded.set();
        fixture.store.remove("servers", "old-1");
        sending.join().expect("the caller gets a response")
    });
    assert_whole_stream(&response);
}

#[test]
fn stream_of_a_replaced_version_that_falls_silent_is_finished() {
    let ending = |exchange: &mut ScriptedExchange, sent: u64| {
        thread::sleep(SILENCE);
        exchange.send_events(sent + 1..=EVENTS);
        exchange.end_stream();
    };
    replace_version("replaced_on", Receiver::Writer, "long", ending, ScriptedExchange::refuse);
}

/// Falls silent and stops without draining.
fn stop_in_silence(_exchange: &mut ScriptedExchange, _sent: u64) {
    thread::sleep(Duration::from_millis(700));
}

#[test]
fn stream_of_a_replaced_version_that_stops_in_its_silence_is_continued() {
    replace_version("replaced_stops", Receiver::Writer, "long", stop_in_silence, continue_stream);
}

#[test]
fn stream_of_a_replaced_version_is_continued_after_a_refusal() {
    let has_refused = Flag::default();
    let successor = move |exchange: &mut ScriptedExchange| {
        if has_refused.is_set() {
            return continue_stream(exchange);
        }
        has_refused.set();
        exchange.refuse();
    };
    replace_version("replaced_refused", Receiver::Writer, "long", stop_in_silence, successor);
}

/// Stops without draining.
fn stop(_exchange: &mut ScriptedExchange, _sent: u64) {}

#[test]
fn stream_of_a_replaced_version_is_continued_before_its_entry_knows() {
    replace_version("replaced_late", Receiver::LatePeer, "long", stop, continue_stream);
}

#[test]
fn unanswered_stream_of_a_replaced_version_is_sent_on_before_its_entry_knows() {
    replace_version("replaced_early", Receiver::LatePeer, "unanswered", stop, continue_stream);
}
