//! A replica that names a rate gets no more than that from all entries together.

mod direct;

use direct::{
    EntryFixture,
    traffic::{Exchange, Traffic, assert_served},
    wait_until,
};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, ReplicaStandin, RouteSpec,
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time after a replica first named its rate from which it holds.
const REACTION_TIME: Duration = Duration::from_secs(3);
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
const TEST_TIME: Duration = Duration::from_secs(14);
const OK_RESPONSE: Behaviour = Behaviour::Respond(200, Duration::from_millis(5));

/// Most requests in a window at a rate in thousandths of a request a second: half more than the rate
/// allows, and five.
fn allowed(rate: u128) -> usize {
    usize::try_from(3 * rate * WINDOW.as_millis() / 2_000_000).expect("it is small") + 5
}

/// Most requests that reached the replica in some window after `from`.
fn most_in_a_window(replica: &ReplicaStandin, from: Instant) -> usize {
    let received = replica.received_requests();
    let times: Vec<Instant> =
        received.iter().map(|run| run.received_at).filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        times.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    times.iter().map(in_window).max().unwrap_or_default()
}

struct Fleet {
    entries: Vec<EntryFixture>,
    replicas: Vec<ReplicaStandin>,
}

impl Fleet {
    fn start(test: &str) -> Self {
        let routes = vec![
            RouteSpec::new("/look/", "safe", "records"),
            RouteSpec::new("/records/", "unsafe", "records"),
            RouteSpec::new("/drafts/", "resumable", "records"),
        ];
        let configuration = ConfigurationSpec { version: 1, routes, organisations: Vec::new() };
        let entries: Vec<EntryFixture> = EntryFixture::start_fleet(test, &configuration).into();
        let add = |id| entries[0].add_replica(id, "records", OK_RESPONSE);
        let replicas = ["r-1", "r-2", "r-3"].map(add).to_vec();
        EntryFixture::wait_for_fleet(&entries);
        for (entry, replica) in entries.iter().flat_map(|e| replicas.iter().map(move |r| (e, r))) {
            entry.wait_for_replica(replica);
        }
        Self { entries, replicas }
    }

    /// Starts to send requests to all entries in turn, 60 a second.
    fn send(&self, method: &'static str, path: &'static str) -> Traffic {
        let callers: Vec<_> = self.entries.iter().map(|entry| entry.callers).collect();
        Traffic::start(&callers, Duration::from_millis(16), move |number| {
            CallerRequest::new(method, path, &format!("{method}-{number}"))
        })
    }

    /// Starts a fourth entry, and sends it 20 requests a second; the entry must outlive them.
    fn send_to_late_entry(&self, test: &str) -> (EntryFixture, Traffic) {
        let late = self.entries[0].start_peer(&format!("{test}_d"));
        let traffic = Traffic::start(&[late.callers], Duration::from_millis(50), |number| {
            CallerRequest::new("GET", "/look/1", &format!("late-{number}"))
        });
        (late, traffic)
    }

    /// Plays requests while the first replica names a rate; returns the most in a window and all
    /// exchanges.
    fn play_one_limit(
        &self,
        test: &str,
        rate: &str,
        method: &'static str,
        path: &'static str,
    ) -> (usize, Vec<Exchange>) {
        let traffic = self.send(method, path);
        thread::sleep(Duration::from_secs(2));
        let limited = &self.replicas[0];
        limited.set_limit(Some(rate));
        let from = Instant::now() + REACTION_TIME;
        thread::sleep(TEST_TIME / 2);
        let (_late, late_traffic) = self.send_to_late_entry(test);
        thread::sleep(TEST_TIME / 2);
        let most = most_in_a_window(limited, from);
        limited.set_limit(None);
        let before = limited.received_requests().len();
        thread::sleep(Duration::from_secs(4));
        let after = limited.received_requests().len() - before;
        let mut exchanges = traffic.stop();
        exchanges.extend(late_traffic.stop());
        // A third of 80 requests a second reaches it again; a fifth of that, within four seconds.
        assert!(after >= 20, "{after} requests in the four seconds after the limit ended");
        (most, exchanges)
    }
}

fn assert_all_served(exchanges: &[Exchange]) {
    assert_served(&exchanges.iter().collect::<Vec<_>>(), 99, 800);
}

fn assert_one_limit_holds(
    test: &str,
    rate: &str,
    bound: usize,
    method: &'static str,
    path: &'static str,
) {
    let fleet = Fleet::start(test);
    let (most, exchanges) = fleet.play_one_limit(test, rate, method, path);
    assert!(most <= bound, "{most} requests in {WINDOW:?}, {bound} are allowed");
    assert!(most > 0, "a limited replica is still asked");
    assert_all_served(&exchanges);
}

#[test]
fn replica_with_a_limit_of_one_a_second_gets_no_more() {
    assert_one_limit_holds("limit_one", "1", allowed(1_000), "GET", "/look/1");
}

#[test]
fn replica_with_a_limit_below_one_gets_no_more() {
    assert_one_limit_holds("limit_half", "0.5", allowed(500), "GET", "/look/1");
}

#[test]
fn limit_holds_for_requests_that_run_once_only() {
    assert_one_limit_holds("limit_once", "4.5", allowed(4_500), "POST", "/records/new");
}

#[test]
fn limit_in_the_head_of_a_stream_holds() {
    let fleet = Fleet::start("limit_stream");
    for replica in &fleet.replicas {
        replica.set_behaviour(Behaviour::Stream {
            events: 3,
            sent: 3,
            interval: Duration::from_millis(10),
            ending: ibissail_platform_standin::StreamEnding::Complete,
            confidence: 90,
        });
    }
    let (most, exchanges) = fleet.play_one_limit("limit_stream", "2", "POST", "/drafts/1");
    assert!(most <= allowed(2_000), "{most} requests in {WINDOW:?}");
    assert_all_served(&exchanges);
}

#[test]
fn callers_above_the_limits_of_all_replicas_are_refused_at_once() {
    let fleet = Fleet::start("limit_all");
    let traffic = fleet.send("GET", "/look/1");
    thread::sleep(Duration::from_secs(2));
    for replica in &fleet.replicas {
        replica.set_limit(Some("4"));
    }
    let from = Instant::now() + REACTION_TIME;
    thread::sleep(TEST_TIME);
    let until = Instant::now();
    let exchanges = traffic.stop();
    let runs: Vec<usize> =
        fleet.replicas.iter().map(|replica| most_in_a_window(replica, from)).collect();
    assert!(runs.iter().all(|most| *most <= allowed(4_000)), "{runs:?}");
    let later: Vec<&Exchange> =
        exchanges.iter().filter(|exchange| exchange.sent_at >= from).collect();
    let served = later.iter().filter(|exchange| exchange.is_served()).count();
    let capacity = 12 * (until - from).as_millis() / 1_000;
    assert!(served as u128 * 10 >= capacity * 7, "{served} served, the replicas take {capacity}");
    for Exchange { response, .. } in later.iter().filter(|exchange| !exchange.is_served()) {
        assert_eq!((response.status, response.error_kind().as_str()), (503, "no_replica"));
        let retry_after = response.retry_after().expect("a time to come back");
        assert!((0.01..=8.0).contains(&retry_after), "{retry_after}");
    }
}

#[test]
fn values_that_are_no_rate_limit_nothing() {
    let fleet = Fleet::start("limit_garbled");
    for value in ["", "many", "-1", "NaN", "inf", "1e999", "1, 2", "0x10"] {
        fleet.replicas[0].set_limit(Some(value));
        let before = fleet.replicas[0].received_requests().len();
        let mut number = 0;
        wait_until("the replica is used", || {
            number += 1;
            let request = CallerRequest::new("GET", "/look/1", &format!("{number}"));
            assert_eq!(fleet.entries[0].send(&request).status, 200, "after `{value}`");
            fleet.replicas[0].received_requests().len() >= before + 10
        });
    }
}

/// Guards against a replica that is flooded after one response whose rate is garbled.
#[test]
fn values_that_are_no_rate_end_no_limit() {
    let fleet = Fleet::start("limit_unended");
    for replica in &fleet.replicas {
        replica.set_limit(Some("0.5"));
    }
    let traffic = fleet.send("GET", "/look/1");
    thread::sleep(REACTION_TIME);
    let from = Instant::now();
    for value in ["", "many", "-1", "NaN", "inf", "1, 2"] {
        fleet.replicas[0].set_limit(Some(value));
        thread::sleep(Duration::from_secs(1));
    }
    traffic.stop();
    let most = most_in_a_window(&fleet.replicas[0], from);
    assert!(most <= allowed(500), "{most} requests in {WINDOW:?}");
}

#[test]
fn callers_of_one_entry_get_what_the_others_do_not_use() {
    let fleet = Fleet::start("limit_uneven");
    let busy = [fleet.entries[0].callers];
    let traffic = Traffic::start(&busy, Duration::from_millis(125), |number| {
        CallerRequest::new("GET", "/look/1", &format!("uneven-{number}"))
    });
    thread::sleep(Duration::from_secs(2));
    for replica in &fleet.replicas {
        replica.set_limit(Some("4"));
    }
    let from = Instant::now() + REACTION_TIME;
    thread::sleep(TEST_TIME);
    let exchanges = traffic.stop();
    let later: Vec<&Exchange> =
        exchanges.iter().filter(|exchange| exchange.sent_at >= from).collect();
    assert_served(&later, 95, 60);
    for replica in &fleet.replicas {
        let most = most_in_a_window(replica, from);
        assert!(most <= allowed(4_000), "{most} requests in {WINDOW:?}");
    }
}

/// A rate of 26 nines once filled a bucket so slowly that 14 of 40 requests were refused.
#[test]
fn absurdly_high_rate_limits_nothing() {
    let fleet = Fleet::start("limit_nines");
    let nines = "9".repeat(26);
    for replica in &fleet.replicas {
        replica.set_limit(Some(&nines));
    }
    for number in 0..40 {
        let request = CallerRequest::new("GET", "/look/1", &format!("{number}"));
        let response = fleet.entries[0].send(&request);
        assert_eq!(response.status, 200, "request {number}: {response:?}");
    }
}
