//! A part of a prompt that crashes replicas is kept from them although hardly anything is answered.

mod direct;

use direct::{
    EntryFixture,
    traffic::{
        Exchange, Traffic, assert_never_quarantined, assert_quarantined, assert_served, sent_after,
    },
    wait_until,
};
use ibissail_platform_standin::{
    CallerRequest, ConfigurationSpec, CrashingReplicas, RouteSpec,
    SentBeforeCrash::{self, Head, Nothing, Response},
    StreamCrash,
    StreamFraming::Chunked,
    StreamTimes,
};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// The parts that crash replicas.
const CRASHING_PARTS: [&str; 2] = ["bad0bad0", "bad1bad1"];
/// Sound parts, of which each sound request has one.
const MIDDLE_PARTS: usize = 8;
/// Time from the fifth crash until a part must be kept from replicas.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Interval between two sound requests of the fleet.
const SOUND_INTERVAL: Duration = Duration::from_millis(59);
/// Most requests with a part that may reach replicas after that.
const MAX_LATE_REQUESTS: usize = 3;

fn configuration() -> ConfigurationSpec {
    let mut drafts = RouteSpec::new("/drafts/", "resumable", "writers");
    drafts.models = vec!["small".into()];
    drafts.request_timeout_ms = 8_000;
    drafts.objective_ms = 3_000;
    ConfigurationSpec { version: 1, routes: vec![drafts], organisations: Vec::new() }
}

/// What a play varies.
#[derive(Debug, Clone, Copy)]
struct Play {
    entries: usize,
    replicas: usize,
    times: StreamTimes,
    /// What a replica has sent when it crashes.
    sent: SentBeforeCrash,
    /// Time in which sound requests are sent alone.
    lead_time: Duration,
    /// Requests with a crashing part per second.
    crashing_rate: f64,
    /// How many of the crashing parts are sent, in turn.
    parts: usize,
    /// Time from the fifth crash until all entries are killed and started again.
    restart_after: Option<Duration>,
    /// Whether all requests have the same path and body.
    is_alike: bool,
    /// Whether sound requests are answered where no replica crashes.
    answers_in_time: bool,
    /// How long the play goes on after the fifth crash.
    observed: Duration,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            entries: 5,
            replicas: 9,
            times: StreamTimes {
                wait: Duration::ZERO,
                events: 30,
                event_interval: Duration::from_millis(40),
                restart_delay: Duration::from_millis(3_500),
            },
            sent: Head,
            lead_time: Duration::ZERO,
            crashing_rate: 10.0,
            parts: 1,
            restart_after: None,
            is_alike: false,
            answers_in_time: true,
            observed: Duration::from_secs(14),
        }
    }
}

/// A request with the first part that all share, these further ones, and one of its own.
fn draft(id: &str, parts: &[&str], is_alike: bool) -> CallerRequest {
    let path = if is_alike { "/drafts/1".to_owned() } else { format!("/drafts/{id}") };
    let mut request = CallerRequest::new("POST", &path, id);
    request.deadline_ms = 8_000;
    request.prompt = vec![("f1f1".to_owned(), 300)];
    request.prompt.extend(parts.iter().map(|part| ((*part).to_owned(), 40)));
    let own = id.bytes().fold(0_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    request.prompt.push((format!("{own:x}"), 40));
    if !is_alike {
        request.body = id.as_bytes().to_vec();
    }
    request
}

fn middle_part(number: usize) -> String {
    format!("a{:x}", number % MIDDLE_PARTS)
}

fn sound_draft(number: usize, is_alike: bool) -> CallerRequest {
    draft(&format!("sound-{number}"), &[&middle_part(number)], is_alike)
}

/// A request with one of the crashing parts, which every second one has behind a sound part.
fn crashing_draft(number: usize, parts: usize, is_alike: bool) -> CallerRequest {
    let part = CRASHING_PARTS[number % parts];
    let id = format!("crash-{number}");
    if (number / parts).is_multiple_of(2) {
        draft(&id, &[part], is_alike)
    } else {
        draft(&id, &[&middle_part(number), part], is_alike)
    }
}

fn served(exchanges: &[&Exchange]) -> usize {
    exchanges.iter().filter(|exchange| exchange.is_served()).count()
}

impl Play {
    /// Plays it, and asserts that the parts are kept from replicas in time and that sound requests
    /// are served.
    fn assert_kept_from_replicas(self, test: &str) {
        let mut fleet = EntryFixture::start_entries(test, &configuration(), self.entries);
        let crash =
            StreamCrash { framing: Chunked, sent: self.sent, delay: Duration::from_millis(60) };
        let store = &fleet[0].store;
        let parts = &CRASHING_PARTS[..self.parts];
        let replicas =
            CrashingReplicas::start(store, "writers", parts, self.replicas, &[crash], self.times);
        EntryFixture::wait_for_fleet(&fleet);
        let entries: Vec<SocketAddr> = fleet.iter().map(|entry| entry.callers).collect();
        let is_alike = self.is_alike;
        let sound =
            Traffic::start(&entries, SOUND_INTERVAL, move |number| sound_draft(number, is_alike));
        thread::sleep(self.lead_time);
        let interval = Duration::from_secs_f64(1.0 / self.crashing_rate);
        let crashing = Traffic::start(&entries, interval, move |number| {
            crashing_draft(number, self.parts, is_alike)
        });
        let crashes_before = 5 * self.parts;
        wait_until("the replicas have crashed", || replicas.crashes().len() >= crashes_before);
        let mut bound = replicas.crashes()[crashes_before - 1] + STABILITY_WINDOW;
        if let Some(pause) = self.restart_after {
            thread::sleep(pause);
            fleet.iter_mut().for_each(EntryFixture::kill);
            fleet.iter_mut().for_each(EntryFixture::start_entry);
            bound = bound.max(Instant::now() + STABILITY_WINDOW);
        }
        thread::sleep(self.observed);
        let (sound, crashing) = (sound.stop(), crashing.stop());

        let arrivals = replicas.arrivals();
        let late = arrivals.iter().filter(|arrived| arrived.received_at > bound).count();
        let crashes = replicas.crashes().len();
        let (later, refused) =
            (sent_after(&sound, bound + STABILITY_WINDOW), sent_after(&crashing, bound));
        eprintln!(
            "{test}: {late} late requests, {crashes} crashes, {} of {} sound requests served",
            served(&later),
            later.len(),
        );
        assert!(late <= MAX_LATE_REQUESTS * self.parts, "{late} late requests, {crashes} crashes");
        if self.answers_in_time {
            assert_served(&later, 90, 50);
        } else {
            assert_never_quarantined(&sound);
        }
        let arrived: BTreeSet<&str> = arrivals.iter().map(|request| request.id.as_str()).collect();
        let is_kept = |exchange: &&&Exchange| !arrived.contains(exchange.id.as_str());
        let kept: Vec<&Exchange> = refused.iter().filter(is_kept).copied().collect();
        assert_quarantined(&kept, "prompt_quarantined", 10);
    }
}

#[test]
fn prompt_part_that_crashes_replicas_from_the_first_moment_is_quarantined() {
    Play::default().assert_kept_from_replicas("outage_early");
}

#[test]
fn rare_prompt_part_that_crashes_replicas_from_the_first_moment_is_quarantined() {
    Play { crashing_rate: 6.5, ..Play::default() }.assert_kept_from_replicas("outage_rare");
}

#[test]
fn prompt_part_that_most_requests_have_is_quarantined() {
    let play = Play { crashing_rate: 25.0, replicas: 20, ..Play::default() };
    play.assert_kept_from_replicas("outage_common");
}

#[test]
fn two_prompt_parts_that_crash_replicas_from_the_first_moment_are_quarantined() {
    let play = Play { parts: 2, replicas: 20, ..Play::default() };
    play.assert_kept_from_replicas("outage_two");
}

#[test]
fn prompt_part_that_crashes_replicas_is_quarantined_though_heads_come_late() {
    let defaults = Play::default();
    // After 1.5 s without a byte the entries ask another replica, here each time.
    let times = StreamTimes { wait: Duration::from_millis(2_200), ..defaults.times };
    let play = Play {
        times,
        lead_time: Duration::from_secs(1),
        crashing_rate: 4.0,
        sent: Nothing,
        answers_in_time: false,
        ..defaults
    };
    play.assert_kept_from_replicas("outage_slow");
}

#[test]
fn prompt_part_that_crashes_replicas_after_a_complete_response_is_quarantined() {
    let lead_time = Duration::from_secs(1);
    let play = Play { sent: Response, lead_time, crashing_rate: 4.0, ..Play::default() };
    play.assert_kept_from_replicas("outage_complete");
}

#[test]
fn prompt_part_that_crashes_replicas_is_quarantined_by_entries_that_restart() {
    let lead_time = Duration::from_secs(1);
    let play = Play { lead_time, restart_after: Some(STABILITY_WINDOW), ..Play::default() };
    play.assert_kept_from_replicas("outage_restart");
}

#[test]
fn prompts_of_requests_with_one_path_and_body_are_told_apart() {
    let play = Play { is_alike: true, ..Play::default() };
    play.assert_kept_from_replicas("outage_alike");
}
