//! Seeded histories of crashes, with requests that cause them and without, against the truth.

#![expect(clippy::cast_precision_loss, reason = "times of a history are small")]

use ibissail_core::Millis;
use ibissail_direct::{
    ContentHash, CrashEvidence, CrashQuarantine, LostRun, RequestHash, RunHash, Suspect,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

const STEP: u64 = 5;
const REPORT_INTERVAL: u64 = 400;
const REVIEW_INTERVAL: u64 = 100;
/// Time from the third crash of a request until it must be refused.
const STABILITY_WINDOW: u64 = 3_000;
const MAX_LATE_ARRIVALS: usize = 3;
/// Requests that a caller sends for one that fails, the first included.
const MAX_SENT: u32 = 3;

/// The circumstances of a history.
#[derive(Debug, Clone)]
struct Conditions {
    entries: usize,
    /// Peers that each entry sends messages to.
    known_peers: usize,
    replicas: usize,
    attempt_limit: u32,
    restart_delay: u64,
    /// Sound requests per second that are each sent by one caller only.
    rare_rate: f64,
    /// Sound requests that many callers send, and how often each per second.
    popular: Vec<f64>,
    /// Longest time until a replica answers.
    max_work: u64,
    /// When each crashing request begins to be sent, how often per second, and at how many entries
    /// at once.
    crashing: Vec<(u64, f64, usize)>,
    /// Times at which all replicas lose power.
    power_losses: Vec<u64>,
    /// Times at which one replica is killed.
    kills: Vec<u64>,
    /// Ordinary crashes per second.
    crash_rate: f64,
    lost_messages: f64,
    /// Times at which an entry restarts.
    restarts: Vec<u64>,
    /// Time for which an entry stands still, from when.
    freeze: Option<(u64, u64)>,
    duration: u64,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            entries: 5,
            known_peers: 4,
            replicas: 4,
            attempt_limit: 3,
            restart_delay: 2_500,
            rare_rate: 15.0,
            popular: Vec::new(),
            max_work: 80,
            crashing: Vec::new(),
            power_losses: Vec::new(),
            kills: Vec::new(),
            crash_rate: 0.0,
            lost_messages: 0.0,
            restarts: Vec::new(),
            freeze: None,
            duration: 30_000,
        }
    }
}

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Content {
    Crashing(usize),
    Popular(usize),
    Rare(u32),
}

impl Content {
    fn hash(self) -> ContentHash {
        let path = format!("/{self:?}");
        ContentHash::new("editors", "GET", "guides.example", &path, b"")
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    id: u32,
    content: Content,
    entry: usize,
    attempts: u32,
    /// How often the caller has sent it.
    sent: u32,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: Request,
    replica: usize,
    began: u64,
    /// When the answer, or the crash, comes.
    ends: u64,
}

#[derive(Debug)]
struct World {
    conditions: Conditions,
    rng: StdRng,
    now: u64,
    entries: Vec<CrashQuarantine>,
    clocks: Vec<u64>,
    /// Number of the run of each replica, and when it is up.
    replicas: Vec<(u64, u64)>,
    attempts: Vec<Attempt>,
    /// Requests that callers send later.
    due: Vec<(u64, Request)>,
    messages: Vec<(u64, usize, CrashEvidence)>,
    /// Lost runs to be confirmed: when, entry, run.
    confirmations: Vec<(u64, usize, LostRun)>,
    next_id: u32,
    crashes: BTreeMap<Content, Vec<u64>>,
    arrivals: BTreeMap<Content, Vec<u64>>,
    refused: BTreeMap<Content, usize>,
    rare_sent: usize,
}

impl World {
    fn new(conditions: Conditions, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let clocks = (0..conditions.entries).map(|_| rng.random_range(300_000..9_000_000));
        Self {
            clocks: clocks.collect(),
            entries: vec![CrashQuarantine::default(); conditions.entries],
            replicas: (0..conditions.replicas).map(|_| (rng.random(), 0)).collect(),
            conditions,
            rng,
            now: 0,
            attempts: Vec::new(),
            due: Vec::new(),
            messages: Vec::new(),
            confirmations: Vec::new(),
            next_id: 0,
            crashes: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            refused: BTreeMap::new(),
            rare_sent: 0,
        }
    }

    fn clock(&self, entry: usize) -> Millis {
        self.clock_at(entry, self.now)
    }

    fn clock_at(&self, entry: usize, time: u64) -> Millis {
        Millis(self.clocks[entry] + time)
    }

    fn is_frozen(&self, entry: usize) -> bool {
        let is_now = |(from, time): (u64, u64)| (from..from + time).contains(&self.now);
        entry == 0 && self.conditions.freeze.is_some_and(is_now)
    }

    fn happens(&mut self, rate_per_s: f64) -> bool {
        self.rng.random_bool((rate_per_s * STEP as f64 / 1_000.0).min(1.0))
    }

    fn send(&mut self, content: Content, sent: u32) {
        self.next_id += 1;
        let entry = self.rng.random_range(0..self.entries.len());
        self.send_to(entry, content, sent);
    }

    fn send_to(&mut self, entry: usize, content: Content, sent: u32) {
        if self.is_frozen(entry) {
            return;
        }
        self.next_id += 1;
        self.attempt(Request { id: self.next_id, content, entry, attempts: 0, sent });
    }

    fn is_refused(&self, request: &Request) -> bool {
        let suspects = [Suspect::Request(request.content.hash())];
        let now = self.clock(request.entry);
        self.entries[request.entry].quarantined(&suspects, now).is_some()
    }

    fn attempt(&mut self, mut request: Request) {
        if self.is_refused(&request) {
            *self.refused.entry(request.content).or_default() += 1;
            return;
        }
        let may_retry = self.entries[request.entry].may_retry(request.content.hash());
        let up: Vec<usize> = (0..self.replicas.len())
            .filter(|replica| self.replicas[*replica].1 <= self.now)
            .collect();
        let may_attempt = request.attempts < self.conditions.attempt_limit
            && (request.attempts == 0 || may_retry);
        if up.is_empty() || !may_attempt {
            self.repeat(request);
            return;
        }
        request.attempts += 1;
        let replica = up[self.rng.random_range(0..up.len())];
        let work = match request.content {
            Content::Crashing(_) => self.rng.random_range(30..120),
            Content::Popular(_) | Content::Rare(_) => {
                self.rng.random_range(15..=self.conditions.max_work)
            }
        };
        if let Content::Crashing(_) = request.content {
            self.arrivals.entry(request.content).or_default().push(self.now);
        }
        let attempt = Attempt { request, replica, began: self.now, ends: self.now + work };
        self.attempts.push(attempt);
    }

    /// The caller sends a request that has failed once more.
    fn repeat(&mut self, request: Request) {
        if request.sent < MAX_SENT && !matches!(request.content, Content::Crashing(_)) {
            let at = self.now + self.rng.random_range(50..800);
            self.due.push((at, Request { sent: request.sent + 1, ..request }));
        }
    }

    fn crash(&mut self, replica: usize) {
        let run = RunHash(self.replicas[replica].0);
        let next = self.rng.random();
        let delay = self.conditions.restart_delay + self.rng.random_range(0..600);
        self.replicas[replica] = (next, self.now + delay);
        let (broken, left) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|attempt: &Attempt| attempt.replica == replica);
        self.attempts = left;
        for Attempt { request, began, .. } in broken {
            let seen = self.now + self.rng.random_range(0..4);
            let lost = LostRun {
                run,
                request: RequestHash(request.id),
                content: request.content.hash(),
                began_at: self.clock_at(request.entry, began),
                ended_at: self.clock_at(request.entry, seen),
            };
            let confirmed_at = self.now + self.rng.random_range(50..90);
            self.confirmations.push((confirmed_at, request.entry, lost));
            self.attempt(request);
        }
    }

    fn run_crashes(&mut self) {
        let now = self.now;
        let is_due = |attempt: &&Attempt| {
            attempt.ends <= now && matches!(attempt.request.content, Content::Crashing(_))
        };
        while let Some(attempt) = self.attempts.iter().find(is_due).copied() {
            self.crashes.entry(attempt.request.content).or_default().push(now);
            self.crash(attempt.replica);
        }
        if self.conditions.power_losses.contains(&now) {
            for replica in 0..self.replicas.len() {
                self.crash(replica);
            }
        }
        let crashes = usize::from(self.happens(self.conditions.crash_rate))
            + self.conditions.kills.iter().filter(|at| **at == now).count();
        for _ in 0..crashes {
            let up = (0..self.replicas.len()).filter(|replica| self.replicas[*replica].1 <= now);
            let up: Vec<usize> = up.collect();
            if !up.is_empty() {
                let replica = up[self.rng.random_range(0..up.len())];
                self.crash(replica);
            }
        }
    }

    fn run_answers(&mut self) {
        let (ended, left) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|attempt: &Attempt| attempt.ends <= self.now);
        self.attempts = left;
        for Attempt { request, began, .. } in ended {
            let (began, now) = (self.clock_at(request.entry, began), self.clock(request.entry));
            let quarantine = &mut self.entries[request.entry];
            quarantine.record_sound_request(request.content.hash(), began, now);
        }
    }

    fn run_messages(&mut self) {
        let now = self.now;
        for (_, entry, lost) in take_due(&mut self.confirmations, |(at, ..)| *at <= now) {
            let clock = self.clock(entry);
            if self.entries[entry].record_lost_run(lost, clock) {
                self.entries[entry].review(clock);
                self.tell(entry);
            }
        }
        let messages = std::mem::take(&mut self.messages);
        for (at, entry, evidence) in messages {
            if at > now || self.is_frozen(entry) {
                self.messages.push((at, entry, evidence));
                continue;
            }
            let clock = self.clock(entry);
            self.entries[entry].merge(&evidence, clock);
        }
        for entry in 0..self.entries.len() {
            if self.is_frozen(entry) {
                continue;
            }
            let phase = (now + entry as u64 * 60) / STEP;
            if phase.is_multiple_of(REVIEW_INTERVAL / STEP) {
                let clock = self.clock(entry);
                if !self.entries[entry].review(clock).is_empty() {
                    self.tell(entry);
                }
            }
            if phase.is_multiple_of(REPORT_INTERVAL / STEP) {
                self.tell(entry);
            }
        }
    }

    fn tell(&mut self, entry: usize) {
        let clock = self.clock(entry);
        let Some(evidence) = self.entries[entry].evidence(clock) else { return };
        let count = self.entries.len();
        for offset in 1..=self.conditions.known_peers.min(count - 1) {
            if !self.rng.random_bool(self.conditions.lost_messages) {
                let at = self.now + self.rng.random_range(1..40);
                self.messages.push((at, (entry + offset) % count, evidence.clone()));
            }
        }
    }

    fn run_callers(&mut self) {
        let now = self.now;
        for (_, request) in take_due(&mut self.due, |(at, _)| *at <= now) {
            self.send(request.content, request.sent);
        }
        if self.happens(self.conditions.rare_rate) {
            self.rare_sent += 1;
            self.send(Content::Rare(self.next_id), 1);
        }
        for number in 0..self.conditions.popular.len() {
            if self.happens(self.conditions.popular[number]) {
                self.send(Content::Popular(number), 1);
            }
        }
        for number in 0..self.conditions.crashing.len() {
            let (from, rate, at_once) = self.conditions.crashing[number];
            if now >= from && self.happens(rate) {
                let first = self.rng.random_range(0..self.entries.len());
                for offset in 0..at_once {
                    let entry = (first + offset) % self.entries.len();
                    self.send_to(entry, Content::Crashing(number), 1);
                }
            }
        }
    }

    fn play(mut self) -> Self {
        while self.now < self.conditions.duration {
            self.now += STEP;
            if self.conditions.restarts.contains(&self.now) {
                let entry = self.rng.random_range(0..self.entries.len());
                self.entries[entry] = CrashQuarantine::default();
            }
            self.run_callers();
            self.run_crashes();
            self.run_answers();
            self.run_messages();
        }
        self
    }

    fn assert_crashing_refused(&self, seed: u64) {
        for number in 0..self.conditions.crashing.len() {
            let content = Content::Crashing(number);
            let crashes = self.crashes.get(&content).map_or(&[][..], Vec::as_slice);
            let Some(third) = crashes.get(2) else { continue };
            let bound = third + STABILITY_WINDOW;
            let late = self.arrivals[&content].iter().filter(|at| **at > bound).count();
            assert!(
                late <= MAX_LATE_ARRIVALS,
                "seed {seed}: {late} late arrivals of request {number}, crashes at {:?}",
                crashes.iter().take(12).collect::<Vec<_>>(),
            );
        }
    }

    fn assert_sound_served(&self, seed: u64) {
        let is_sound = |content: &Content| !matches!(content, Content::Crashing(_));
        let refused = self.refused.iter().filter(|(content, _)| is_sound(content));
        let refused: Vec<_> = refused.collect();
        assert!(refused.is_empty(), "seed {seed}: refused {refused:?}");
    }

    /// Where replicas die one after another under a request and its repeats, it may be refused
    /// although it is sound, but not one that others send too.
    fn assert_popular_served(&self, seed: u64) {
        let refused = |is_counted: fn(&Content) -> bool| -> usize {
            let counted = self.refused.iter().filter(|(content, _)| is_counted(content));
            counted.map(|(_, count)| count).sum()
        };
        let popular = refused(|content| matches!(content, Content::Popular(_)));
        assert_eq!(popular, 0, "seed {seed}: {:?}", self.refused);
        let rare = refused(|content| matches!(content, Content::Rare(_)));
        assert!(rare * 20 <= self.rare_sent, "seed {seed}: {rare} of {}", self.rare_sent);
    }

    fn assert_kept(&self, seed: u64) {
        self.assert_crashing_refused(seed);
        self.assert_sound_served(seed);
    }
}

fn take_due<T, F>(waiting: &mut Vec<T>, is_due: F) -> Vec<T>
where
    F: Fn(&T) -> bool,
{
    let (due, left) = std::mem::take(waiting).into_iter().partition(is_due);
    *waiting = left;
    due
}

fn play_all<F>(seeds: u64, conditions: F, check: fn(&World, u64))
where
    F: Fn(&mut StdRng) -> Conditions,
{
    for seed in 0..seeds {
        let mut rng = StdRng::seed_from_u64(seed);
        let world = World::new(conditions(&mut rng), seed).play();
        check(&world, seed);
    }
}

fn popular(rng: &mut StdRng) -> Vec<f64> {
    (0..4).map(|_| rng.random_range(2.0..20.0)).collect()
}

#[test]
fn crashing_request_is_refused_by_all_entries_in_time() {
    play_all(
        60,
        |rng| Conditions {
            replicas: rng.random_range(3..9),
            attempt_limit: rng.random_range(1..4),
            popular: popular(rng),
            crashing: vec![(8_000, rng.random_range(0.3..8.0), 1)],
            ..Conditions::default()
        },
        World::assert_kept,
    );
}

#[test]
fn crashing_request_is_refused_by_entries_that_know_nothing_yet() {
    play_all(
        60,
        |rng| Conditions {
            replicas: rng.random_range(3..9),
            popular: popular(rng),
            crashing: vec![(100, rng.random_range(0.3..8.0), 1)],
            ..Conditions::default()
        },
        World::assert_kept,
    );
}

#[test]
fn crashing_request_at_several_entries_at_once_is_refused_in_time() {
    play_all(
        60,
        |rng| Conditions {
            popular: popular(rng),
            crashing: vec![(8_000, rng.random_range(0.3..4.0), 3)],
            ..Conditions::default()
        },
        World::assert_kept,
    );
}

#[test]
fn crashing_request_is_refused_in_a_fleet_that_relays() {
    play_all(
        6,
        |rng| Conditions {
            entries: 68,
            known_peers: 14,
            replicas: 12,
            rare_rate: 80.0,
            popular: popular(rng),
            crashing: vec![(8_000, rng.random_range(1.0..8.0), 1)],
            duration: 20_000,
            ..Conditions::default()
        },
        World::assert_kept,
    );
}

#[test]
fn lost_messages_restarts_and_a_frozen_entry_change_nothing() {
    play_all(
        60,
        |rng| Conditions {
            popular: popular(rng),
            crashing: vec![(8_000, rng.random_range(0.5..6.0), 1)],
            lost_messages: 0.2,
            restarts: vec![7_000, 9_000, 13_000],
            freeze: Some((rng.random_range(6_000..12_000), 4_000)),
            ..Conditions::default()
        },
        World::assert_kept,
    );
}

#[test]
fn two_crashing_requests_are_told_apart() {
    play_all(
        60,
        |rng| Conditions {
            replicas: 8,
            popular: popular(rng),
            crashing: vec![
                (8_000, rng.random_range(0.5..4.0), 1),
                (8_500, rng.random_range(0.5..4.0), 1),
            ],
            ..Conditions::default()
        },
        World::assert_kept,
    );
}

#[test]
fn popular_request_is_served_after_losses_of_power() {
    play_all(
        60,
        |rng| Conditions {
            replicas: rng.random_range(3..9),
            restart_delay: rng.random_range(400..3_000),
            rare_rate: 5.0,
            popular: vec![rng.random_range(20.0..60.0)],
            max_work: 300,
            power_losses: vec![4_000, 6_500, 9_000, 11_500, 14_000, 16_500],
            restarts: vec![3_900, 8_900],
            ..Conditions::default()
        },
        World::assert_sound_served,
    );
}

#[test]
fn popular_request_is_served_after_losses_of_power_at_the_start() {
    play_all(
        60,
        |rng| Conditions {
            restart_delay: rng.random_range(400..3_000),
            popular: vec![rng.random_range(20.0..60.0)],
            max_work: 300,
            power_losses: vec![200, 3_000, 6_000, 9_000],
            ..Conditions::default()
        },
        World::assert_sound_served,
    );
}

#[test]
fn ordinary_crashes_refuse_no_popular_request() {
    play_all(
        60,
        |rng| Conditions {
            replicas: rng.random_range(3..12),
            popular: popular(rng),
            crash_rate: rng.random_range(0.1..2.0),
            freeze: Some((10_000, 3_000)),
            ..Conditions::default()
        },
        World::assert_popular_served,
    );
}

#[test]
fn replicas_killed_one_after_another_refuse_no_popular_request() {
    play_all(
        60,
        |rng| {
            let gap = rng.random_range(4..50) * STEP;
            let storms = [5_000, 10_000, 15_000, 20_000];
            let kills = storms.iter().flat_map(|from| (0..8).map(move |kill| from + kill * gap));
            Conditions {
                replicas: rng.random_range(3..9),
                popular: popular(rng),
                kills: kills.collect(),
                ..Conditions::default()
            }
        },
        World::assert_popular_served,
    );
}

#[test]
fn crashing_request_is_refused_beside_ordinary_crashes() {
    play_all(
        60,
        |rng| Conditions {
            replicas: 8,
            popular: popular(rng),
            crashing: vec![(8_000, rng.random_range(0.5..6.0), 1)],
            crash_rate: 0.3,
            ..Conditions::default()
        },
        |world, seed| {
            world.assert_crashing_refused(seed);
            world.assert_popular_served(seed);
        },
    );
}
