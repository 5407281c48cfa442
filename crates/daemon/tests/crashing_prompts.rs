//! A part of a prompt that crashes replicas is kept from them.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    CallerRequest, CallerResponse, ConfigurationSpec, CrashingReplicas, RouteSpec, send_request,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// The part that crashes replicas.
const CRASHING_PART: &str = "bad0bad0";
/// Time from the fifth crash until the part must be kept from replicas.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Interval between two requests with the part, and between two sound ones of the same entry.
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);
const SOUND_INTERVAL: Duration = Duration::from_millis(60);

type Responses = Arc<Mutex<Vec<(Instant, CallerResponse)>>>;

fn configuration() -> ConfigurationSpec {
    let mut drafts = RouteSpec::new("/drafts/", "resumable", "writers");
    drafts.models = vec!["small".into()];
    drafts.request_timeout_ms = 5_000;
    ConfigurationSpec { version: 1, routes: vec![drafts], organisations: Vec::new() }
}

/// A request with the first part that all share, and these further ones.
fn draft(id: &str, parts: &[&str]) -> CallerRequest {
    let mut request = CallerRequest::new("POST", "/drafts/1", id);
    request.deadline_ms = 4_000;
    request.prompt = vec![("f1f1".to_owned(), 300)];
    request.prompt.extend(parts.iter().map(|part| ((*part).to_owned(), 40)));
    request
}

/// Sends requests to the entries in turn until `stop`; `parts` names the parts of a request.
fn send_in_turn<F>(
    entries: Vec<SocketAddr>,
    interval: Duration,
    stop: &Arc<AtomicBool>,
    parts: F,
) -> (JoinHandle<()>, Responses)
where
    F: Fn(usize) -> Vec<String> + Send + 'static,
{
    let responses = Responses::default();
    let (kept, stop) = (Arc::clone(&responses), Arc::clone(stop));
    let sender = thread::spawn(move || {
        let mut callers = Vec::new();
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let entry = entries[number % entries.len()];
            let parts = parts(number);
            let kept = Arc::clone(&kept);
            callers.push(thread::spawn(move || {
                let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
                let sent_at = Instant::now();
                let id = format!("{}-{number}", parts.join("-"));
                let response = send_request(entry, &draft(&id, &parts));
                kept.lock().expect("no caller panics").push((sent_at, response));
            }));
            thread::sleep(interval);
        }
        for caller in callers {
            caller.join().expect("the caller ends");
        }
    });
    (sender, responses)
}

#[test]
fn prompt_part_does_not_crash_one_replica_after_another() {
    let fixture = EntryFixture::start("crashing_a", &configuration());
    let replicas = CrashingReplicas::start(&fixture.store, "writers", CRASHING_PART, 8);
    let peers = [fixture.start_peer("crashing_b"), fixture.start_peer("crashing_c")];
    let fleet = [&fixture, &peers[0], &peers[1]];
    for entry in fleet {
        entry.wait_ready();
        wait_until("the entries discover each other", || {
            entry.log().matches("peers: discovered").count() >= 2
        });
    }
    let entries: Vec<SocketAddr> = fleet.iter().map(|entry| entry.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let sound_parts = |number: usize| vec!["5e5e".to_owned(), format!("a{number:x}")];
    let crashing_parts =
        |number: usize| vec![CRASHING_PART.to_owned(), "5e5e".to_owned(), format!("c{number:x}")];
    let sound = send_in_turn(entries.clone(), SOUND_INTERVAL, &stop, sound_parts);
    thread::sleep(Duration::from_secs(1));
    let crashing = send_in_turn(entries, CRASHING_INTERVAL, &stop, crashing_parts);
    wait_until("five replicas have crashed", || replicas.crashes().len() >= 5);
    let bound = replicas.crashes()[4] + STABILITY_WINDOW;
    thread::sleep(STABILITY_WINDOW * 3);
    stop.store(true, Ordering::Relaxed);
    for sender in [sound.0, crashing.0] {
        sender.join().expect("the sender ends");
    }

    let late = replicas.arrivals().iter().filter(|arrived| **arrived > bound).count();
    assert!(late <= 3, "{late} requests with the part, {} crashes", replicas.crashes().len());
    let sent_late = |responses: &Responses| -> Vec<CallerResponse> {
        let responses = responses.lock().expect("no caller panics");
        let late = responses.iter().filter(|(sent_at, _)| *sent_at > bound);
        late.map(|(_, response)| response.clone()).collect()
    };
    let refused = sent_late(&crashing.1);
    assert!(refused.len() >= 10, "{} requests with the part were sent late", refused.len());
    for response in refused {
        let kind = response.error_kind();
        assert_eq!((response.status, kind.as_str()), (503, "prompt_quarantined"), "{response:?}");
        assert!(response.retry_after().is_some_and(|time| time > 1.0), "{response:?}");
    }
    let sound = sent_late(&sound.1);
    let served = sound.iter().filter(|response| response.status == 200 && response.is_complete);
    let (served, sent) = (served.count(), sound.len());
    assert!(sent >= 50 && served * 10 >= sent * 9, "{served} of {sent} sound ones were served");
}
