//! An upstream that names a rate gets no more than that from entries with sidecars.

mod common;

use common::{
    Cluster,
    http::{self, Response},
    wait_until,
};
use ibissail_standin::{ServiceCounts, ServiceFaults};
use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const SIDECARS: [&str; 3] = ["routes-1", "routes-2", "routes-3"];
const INTERVAL: Duration = Duration::from_millis(20);
/// Time after an upstream first named its rate from which it holds.
const REACTION_TIME: Duration = Duration::from_secs(3);
const WINDOW_MS: u64 = 4_000;
const TEST_TIME: Duration = Duration::from_secs(12);

/// Two entries, and three sidecars of one service.
struct Fleet {
    cluster: Cluster,
}

impl Fleet {
    fn start(test: &str) -> Self {
        let upstreams = SIDECARS.map(|name| (name, "service:routes"));
        let mut cluster = Cluster::with_upstreams(test, &upstreams);
        cluster.start_all();
        let fleet = Self { cluster };
        wait_until("requests are served", || fleet.send("entry-1").status == 200);
        fleet
    }

    fn send(&self, entry: &str) -> Response {
        let headers = [("authorization", "Bearer demo-key")];
        let entry = self.cluster.members[entry].listen;
        let path = "/v1/services/routes/look";
        http::send(entry, "POST", path, &headers, b"ridge").unwrap_or_else(Response::missing)
    }

    fn name_limit(&self, sidecar: &str, limit: Option<&str>) {
        let limit = limit.map(str::to_owned);
        self.cluster.set_service_faults(sidecar, &ServiceFaults { limit, ..Default::default() });
    }

    fn arrivals(&self, sidecar: &str) -> Vec<u64> {
        let upstream: SocketAddr = self.cluster.members[sidecar].upstream.as_ref().expect("one").0;
        let response = http::get(upstream, "/control/counts").expect("the stand-in responds");
        let counts: ServiceCounts = serde_json::from_slice(&response.body).expect("valid counters");
        counts.arrived_unix_ms
    }

    /// Sends 100 requests a second through both entries for a while; returns their status codes and
    /// when they were sent.
    fn send_for(&self, time: Duration) -> Vec<(u64, Response)> {
        let (responses, is_over) = (Mutex::new(Vec::new()), AtomicBool::new(false));
        thread::scope(|scope| {
            for entry in ["entry-1", "entry-2"] {
                let (responses, is_over) = (&responses, &is_over);
                scope.spawn(move || {
                    while !is_over.load(Ordering::Relaxed) {
                        scope.spawn(move || {
                            let sent_at = unix_ms();
                            let response = self.send(entry);
                            responses.lock().expect("no sender panics").push((sent_at, response));
                        });
                        thread::sleep(INTERVAL);
                    }
                });
            }
            thread::sleep(time);
            is_over.store(true, Ordering::Relaxed);
        });
        responses.into_inner().expect("no sender panics")
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a date after 1970");
    u64::try_from(now.as_millis()).expect("a date before the year 500,000,000")
}

/// Most arrivals in some window after `from`.
fn most_in_a_window(arrivals: &[u64], from: u64) -> usize {
    let times: Vec<u64> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let in_window =
        |start: &u64| times.iter().filter(|at| (*start..start + WINDOW_MS).contains(at)).count();
    times.iter().map(in_window).max().unwrap_or_default()
}

#[test]
fn upstream_with_a_limit_gets_no_more_and_the_others_get_the_rest() {
    let fleet = Fleet::start("upstream_limit");
    fleet.name_limit("routes-1", Some("2"));
    let from = unix_ms() + u64::try_from(REACTION_TIME.as_millis()).expect("it is small");
    let responses = fleet.send_for(TEST_TIME);
    let most = most_in_a_window(&fleet.arrivals("routes-1"), from);
    assert!(most <= 17, "{most} requests in 4 s, 17 are allowed at 2 a second");
    assert!(most > 0, "a limited upstream is still asked");
    let served = responses.iter().filter(|(_, response)| response.status == 200).count();
    assert!(served * 100 >= responses.len() * 99, "{served} of {} were served", responses.len());
    fleet.name_limit("routes-1", None);
    let before = fleet.arrivals("routes-1").len();
    let _responses = fleet.send_for(Duration::from_secs(4));
    let after = fleet.arrivals("routes-1").len() - before;
    assert!(after >= 40, "{after} requests in four seconds after the limit ended");
}

#[test]
fn callers_above_the_limits_of_all_upstreams_are_refused_at_once() {
    let fleet = Fleet::start("upstream_limits");
    for sidecar in SIDECARS {
        fleet.name_limit(sidecar, Some("4"));
    }
    let started = Instant::now();
    let from = unix_ms() + u64::try_from(REACTION_TIME.as_millis()).expect("it is small");
    let responses = fleet.send_for(TEST_TIME);
    let seconds = started.elapsed().as_secs();
    for sidecar in SIDECARS {
        let most = most_in_a_window(&fleet.arrivals(sidecar), from);
        assert!(most <= 29, "{most} requests in 4 s, 29 are allowed at 4 a second");
    }
    let (served, refused): (Vec<_>, Vec<_>) =
        responses.iter().partition(|(_, response)| response.status == 200);
    assert!(served.len() as u64 >= 8 * seconds, "{} served in {seconds} s", served.len());
    for (_, response) in refused {
        assert_eq!((response.status, response.error_kind().as_str()), (503, "no_replica"));
    }
}

#[test]
fn values_that_are_no_rate_limit_no_upstream() {
    let fleet = Fleet::start("upstream_garbled");
    for value in ["", "many", "-1", "NaN", "inf", "1e999", "1, 2", "0x10"] {
        fleet.name_limit("routes-1", Some(value));
        let before = fleet.arrivals("routes-1").len();
        wait_until("the upstream is used", || {
            assert_eq!(fleet.send("entry-1").status, 200, "after `{value}`");
            fleet.arrivals("routes-1").len() >= before + 5
        });
    }
}
