//! Plays seeded histories of crashes, with parts that cause them and without, against the truth.

#![allow(dead_code, reason = "each test file uses a part of this module")]
#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates and counts are small"
)]

use ibissail_core::Millis;
use ibissail_direct::{
    AttemptNumber, ContentHash, CrashEvidence, CrashQuarantine, LostRun, PROOF_EVENTS, PROOF_TIME,
    PartHash, RequestHash, RunHash,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

const STEP: u64 = 20;
const REPORT_INTERVAL: u64 = 400;
const REVIEW_INTERVAL: u64 = 100;
/// Time from the fifth crash of a part until requests with it must be refused.
const STABILITY_WINDOW: u64 = 3_000;
const MAX_ATTEMPTS: u32 = 3;
const MAX_LATE_REQUESTS: usize = 3;

/// When replicas crash on a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashMoment {
    /// Before the head of the response.
    BeforeHead,
    /// Shortly after the head.
    AfterHead,
    /// Shortly after the first event.
    AfterEvent,
    /// One of these, in turn.
    Any,
}

/// The circumstances of a history.
#[derive(Debug, Clone)]
pub struct Conditions {
    pub entries: usize,
    /// Peers that each entry sends messages to.
    pub known_peers: usize,
    pub replicas: usize,
    pub routes: u64,
    pub subjects: u64,
    /// Sound requests per second.
    pub rate: f64,
    /// When each crashing part begins to be sent, and its requests per second.
    pub crashing: Vec<(u64, f64)>,
    pub crash_moment: CrashMoment,
    /// Time until a replica that has crashed is back.
    pub restart_delay: u64,
    /// Whether the parts are sent, and are sound, before that.
    pub is_sound_before: bool,
    /// Shortest and longest time until the head of a response, in milliseconds.
    pub shortest_wait: u64,
    pub longest_wait: u64,
    /// Times at which all entries restart.
    pub fleet_restarts: Vec<u64>,
    /// Share of crashing requests that have one more part that only they have seen.
    pub rare_part_share: f64,
    /// Ordinary crashes per second in the time of trouble.
    pub crash_rate: f64,
    /// Times at which some replicas crash at once, and how many.
    pub bursts: Vec<(u64, usize)>,
    pub lost_messages: f64,
    pub lost_answers: f64,
    /// Times at which an entry restarts.
    pub restarts: Vec<u64>,
    pub duration: u64,
    /// Time before which no replica crashes.
    pub warm_up: u64,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            entries: 5,
            known_peers: 4,
            replicas: 20,
            routes: 4,
            subjects: 60,
            rate: 60.0,
            crashing: Vec::new(),
            crash_moment: CrashMoment::AfterHead,
            restart_delay: 3_000,
            is_sound_before: false,
            shortest_wait: 40,
            longest_wait: 400,
            fleet_restarts: Vec::new(),
            rare_part_share: 0.0,
            crash_rate: 0.0,
            bursts: Vec::new(),
            lost_messages: 0.0,
            lost_answers: 0.0,
            restarts: Vec::new(),
            duration: 40_000,
            warm_up: 10_000,
        }
    }
}

#[derive(Debug, Clone)]
struct Request {
    id: u32,
    entry: usize,
    parts: Vec<PartHash>,
    attempts: u32,
}

#[derive(Debug, Clone)]
struct Attempt {
    request: Request,
    replica: usize,
    sent_at: u64,
    head_at: u64,
    end_at: u64,
    /// Time from the head to the event that may prove the parts sound.
    proving_event_after: u64,
    /// When the replica crashes because of it.
    crash_at: Option<u64>,
    is_proven: bool,
    number: AttemptNumber,
}

#[derive(Debug)]
pub struct World {
    conditions: Conditions,
    rng: StdRng,
    now: u64,
    entries: Vec<CrashQuarantine>,
    clocks: Vec<u64>,
    /// Number of the run of each replica, and when it is up.
    replicas: Vec<(u64, u64)>,
    attempts: Vec<Attempt>,
    messages: Vec<(u64, usize, CrashEvidence)>,
    /// Crashes to be confirmed: when, entry, lost run, request.
    confirmations: Vec<(u64, usize, LostRun, Request)>,
    next_id: u32,
    crashes: BTreeMap<PartHash, Vec<u64>>,
    arrivals: BTreeMap<PartHash, Vec<u64>>,
    /// Sound requests that were refused, by part.
    wrongly_refused: BTreeMap<PartHash, usize>,
    sound_sent: usize,
}

fn crashing_part(number: usize) -> PartHash {
    PartHash::new(&format!("crashing {number}"))
}

fn new_entry(conditions: &Conditions, entry: usize) -> CrashQuarantine {
    let mut quarantine = CrashQuarantine::default();
    quarantine.set_fleet(conditions.entries, entry as u64);
    quarantine
}

impl World {
    pub fn new(conditions: Conditions, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let clocks = (0..conditions.entries).map(|_| rng.random_range(300_000..9_000_000));
        let clocks = clocks.collect();
        Self {
            entries: (0..conditions.entries).map(|entry| new_entry(&conditions, entry)).collect(),
            clocks,
            replicas: (0..conditions.replicas).map(|_| (rng.random(), 0)).collect(),
            conditions,
            rng,
            now: 0,
            attempts: Vec::new(),
            messages: Vec::new(),
            confirmations: Vec::new(),
            next_id: 0,
            crashes: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            wrongly_refused: BTreeMap::new(),
            sound_sent: 0,
        }
    }

    fn clock(&self, entry: usize) -> Millis {
        Millis(self.clocks[entry] + self.now)
    }

    fn crashing_of(&self, request: &Request) -> Option<PartHash> {
        let crashing = self.conditions.crashing.iter().enumerate();
        let crashing = crashing.filter(|(_, (from, _))| self.now >= *from);
        let mut parts = crashing.map(|(number, _)| crashing_part(number));
        parts.find(|part| request.parts.contains(part))
    }

    fn run_hash(&self, replica: usize) -> RunHash {
        RunHash(self.replicas[replica].0)
    }

    fn happens(&mut self, rate_per_s: f64) -> bool {
        self.rng.random_bool((rate_per_s * STEP as f64 / 1_000.0).min(1.0))
    }

    fn new_request(&mut self, crashing: Option<usize>) {
        self.next_id += 1;
        let route = self.rng.random_range(0..self.conditions.routes);
        // Some subjects are asked for much more often than others.
        let draw: f64 = self.rng.random();
        let subject = (draw * draw * self.conditions.subjects as f64) as u64;
        let mut parts = vec![
            PartHash::new(&format!("route {route}")),
            PartHash::new(&format!("subject {route} {subject}")),
        ];
        if let Some(number) = crashing {
            parts.insert(1, crashing_part(number));
            if self.rng.random_bool(self.conditions.rare_part_share) {
                parts.push(PartHash::new("rare"));
            }
        } else if self.rng.random_bool(0.2) {
            // A part of one session.
            let session = self.next_id / 200;
            parts.push(PartHash::new(&format!("session {route} {session}")));
        }
        let entry = self.rng.random_range(0..self.conditions.entries);
        self.sound_sent += usize::from(crashing.is_none());
        let request = Request { id: self.next_id, entry, parts, attempts: 0 };
        self.attempt(request);
    }

    fn attempt(&mut self, mut request: Request) {
        let now = self.clock(request.entry);
        let entry = &mut self.entries[request.entry];
        let quarantined = entry.quarantined(&request.parts, now);
        let id = RequestHash(request.id);
        if let Some((position, _)) =
            quarantined.filter(|_| !entry.try_probe(&request.parts, id, now))
        {
            if self.crashing_of(&request).is_none() {
                *self.wrongly_refused.entry(request.parts[position]).or_default() += 1;
            }
            return;
        }
        let up: Vec<usize> = (0..self.replicas.len())
            .filter(|replica| self.replicas[*replica].1 <= self.now)
            .collect();
        if up.is_empty() || request.attempts >= MAX_ATTEMPTS {
            return;
        }
        request.attempts += 1;
        let content = ContentHash(request.id.into());
        let number = self.entries[request.entry].begin_attempt(0, content, &request.parts, now);
        let replica = up[self.rng.random_range(0..up.len())];
        let (shortest, longest) = (self.conditions.shortest_wait, self.conditions.longest_wait);
        let head_at = self.now + self.rng.random_range(shortest..longest);
        let length = self.rng.random_range(300..4_000);
        let first_event_after = self.rng.random_range(10..600);
        let event_interval = self.rng.random_range(20..120);
        let crashing = self.crashing_of(&request);
        let crash_at = crashing.map(|_| self.crash_time(head_at, first_event_after));
        if let Some(part) = crashing {
            self.arrivals.entry(part).or_default().push(self.now);
        }
        let end_at = head_at + length;
        self.attempts.push(Attempt {
            request,
            replica,
            sent_at: self.now,
            head_at,
            end_at,
            proving_event_after: first_event_after + event_interval * (PROOF_EVENTS - 1),
            crash_at,
            is_proven: false,
            number,
        });
    }

    fn settle(&mut self, attempt: &Attempt) {
        let entry = attempt.request.entry;
        let now = self.clock(entry);
        self.entries[entry].settle_attempt(attempt.number, now);
    }

    /// When a replica crashes on a request that it has just been sent.
    fn crash_time(&mut self, head_at: u64, first_event_after: u64) -> u64 {
        let moments = [CrashMoment::BeforeHead, CrashMoment::AfterHead, CrashMoment::AfterEvent];
        let moment = match self.conditions.crash_moment {
            CrashMoment::Any => moments[self.rng.random_range(0..moments.len())],
            moment => moment,
        };
        match moment {
            CrashMoment::BeforeHead => {
                self.rng.random_range(self.now + STEP..head_at.max(self.now + STEP) + 1)
            }
            CrashMoment::AfterHead | CrashMoment::Any => head_at + self.rng.random_range(40..120),
            CrashMoment::AfterEvent => head_at + first_event_after + self.rng.random_range(10..80),
        }
    }

    fn crash(&mut self, replica: usize) {
        let run = self.run_hash(replica);
        let next = self.rng.random();
        self.replicas[replica] = (next, self.now + self.conditions.restart_delay);
        let (broken, left) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|attempt: &Attempt| attempt.replica == replica);
        self.attempts = left;
        for attempt in broken {
            self.settle(&attempt);
            if !attempt.is_proven {
                let confirmed_at = self.now + self.rng.random_range(50..150);
                let entry = attempt.request.entry;
                let lost = LostRun {
                    run,
                    request: RequestHash(attempt.request.id),
                    content: ContentHash(attempt.request.id.into()),
                    began_at: Millis(self.clocks[entry] + attempt.sent_at),
                    ended_at: self.clock(entry),
                };
                self.confirmations.push((confirmed_at, entry, lost, attempt.request.clone()));
            }
            self.attempt(attempt.request);
        }
    }

    fn run_crashes(&mut self) {
        let now = self.now;
        let due = |attempt: &Attempt| attempt.crash_at.is_some_and(|at| at <= now);
        while let Some(attempt) = self.attempts.iter().find(|attempt| due(attempt)).cloned() {
            if let Some(part) = self.crashing_of(&attempt.request) {
                self.crashes.entry(part).or_default().push(now);
            }
            self.crash(attempt.replica);
        }
        let mut crashes = usize::from(self.happens(self.conditions.crash_rate));
        let bursts = self.conditions.bursts.iter();
        crashes += bursts.filter(|(at, _)| *at == now).map(|(_, count)| count).sum::<usize>();
        for _ in 0..crashes {
            let replica = self.rng.random_range(0..self.replicas.len());
            if self.replicas[replica].1 <= now {
                self.crash(replica);
            }
        }
    }

    fn run_attempts(&mut self) {
        let now = self.now;
        for mut attempt in std::mem::take(&mut self.attempts) {
            let is_lost = attempt.head_at <= now
                && self.rng.random_bool(self.conditions.lost_answers * STEP as f64 / 2_000.0);
            if is_lost {
                self.settle(&attempt);
                self.attempt(attempt.request);
                continue;
            }
            let has_ended = attempt.end_at <= now;
            let has_events = attempt.head_at + attempt.proving_event_after <= now;
            let is_old = attempt.head_at + PROOF_TIME.0 <= now && has_events;
            if attempt.crash_at.is_none() && !attempt.is_proven && (has_ended || is_old) {
                attempt.is_proven = true;
                self.settle(&attempt);
                let entry = attempt.request.entry;
                let (began, now) =
                    (Millis(self.clocks[entry] + attempt.head_at), self.clock(entry));
                self.entries[entry].record_sound(&attempt.request.parts, began, now);
            }
            if !has_ended {
                self.attempts.push(attempt);
            }
        }
    }

    fn run_messages(&mut self) {
        let now = self.now;
        let (due, left) = std::mem::take(&mut self.confirmations)
            .into_iter()
            .partition(|(at, ..): &(u64, _, _, _)| *at <= now);
        self.confirmations = left;
        for (_, entry, lost, request) in due {
            let clock = self.clock(entry);
            self.entries[entry].record_lost_run(lost, clock);
            if self.entries[entry].record_crash(lost.run, lost.request, &request.parts, clock) {
                self.tell(entry);
            }
        }
        let (due, left) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, ..): &(u64, _, _)| *at <= now);
        self.messages = left;
        for (_, entry, evidence) in due {
            let clock = self.clock(entry);
            self.entries[entry].merge(&evidence, clock);
        }
        for entry in 0..self.entries.len() {
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

    fn step(&mut self) {
        self.now += STEP;
        if self.conditions.restarts.contains(&self.now) {
            let entry = self.rng.random_range(0..self.entries.len());
            self.entries[entry] = new_entry(&self.conditions, entry);
        }
        if self.conditions.fleet_restarts.contains(&self.now) {
            for entry in 0..self.entries.len() {
                self.entries[entry] = new_entry(&self.conditions, entry);
            }
        }
        let expected = self.conditions.rate * STEP as f64 / 1_000.0;
        let more = usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..expected as usize + more {
            self.new_request(None);
        }
        for number in 0..self.conditions.crashing.len() {
            let (from, rate) = self.conditions.crashing[number];
            if (self.now >= from || self.conditions.is_sound_before) && self.happens(rate) {
                self.new_request(Some(number));
            }
        }
        if self.now < self.conditions.warm_up {
            self.run_attempts();
        } else {
            self.run_crashes();
            self.run_attempts();
        }
        self.run_messages();
    }

    /// Whether all entries refuse requests with the part.
    fn is_refused(&self, part: PartHash) -> bool {
        let refuses =
            |entry: usize| self.entries[entry].quarantined(&[part], self.clock(entry)).is_some();
        (0..self.entries.len()).all(refuses)
    }

    pub fn play(mut self) -> Self {
        while self.now < self.conditions.duration {
            self.step();
        }
        self
    }

    fn assert_crashing_refused(&self, seed: u64) {
        for number in 0..self.conditions.crashing.len() {
            let part = crashing_part(number);
            let crashes = self.crashes.get(&part).map_or(&[][..], Vec::as_slice);
            let fifth = crashes.get(4).copied().unwrap_or(u64::MAX);
            let arrivals = self.arrivals.get(&part).map_or(&[][..], Vec::as_slice);
            // Entries are excused for a while after a restart.
            let restarts = self.conditions.fleet_restarts.iter().filter(|at| **at > fifth);
            let begin = restarts.max().copied().unwrap_or(fifth);
            let bound = begin.saturating_add(STABILITY_WINDOW);
            let late = arrivals.iter().filter(|at| **at > bound).count();
            assert!(
                late <= MAX_LATE_REQUESTS,
                "seed {seed}: {late} late requests of part {number}, {} crashes from {:?}",
                crashes.len(),
                crashes.iter().take(8).collect::<Vec<_>>(),
            );
            assert!(self.is_refused(part), "seed {seed}: part {number} is not refused at the end");
        }
    }

    pub fn assert_kept(&self, seed: u64) {
        self.assert_crashing_refused(seed);
        self.assert_sound_served(seed);
    }

    /// Asserts that requests with the crashing parts are refused in time, and that no more than half
    /// of the sound requests are refused from twice the window after the fifth crash on.
    pub fn assert_refused_in_time(&self, seed: u64) {
        self.assert_crashing_refused(seed);
        let refused: usize = self.wrongly_refused.values().sum();
        assert!(refused * 2 <= self.sound_sent, "seed {seed}: {refused} of {}", self.sound_sent);
    }

    /// Where nothing can be told from answers, a rare part may be refused, but no common one.
    pub fn assert_most_served(&self, seed: u64) {
        let refused: usize = self.wrongly_refused.values().sum();
        assert!(refused * 20 <= self.sound_sent, "seed {seed}: {refused} of {}", self.sound_sent);
        for route in 0..self.conditions.routes {
            let part = PartHash::new(&format!("route {route}"));
            assert!(!self.wrongly_refused.contains_key(&part), "seed {seed}: route {route}");
        }
    }

    pub fn assert_sound_served(&self, seed: u64) {
        let refused: usize = self.wrongly_refused.values().sum();
        assert_eq!(
            refused, 0,
            "seed {seed}: of {} sound requests: {:?}",
            self.sound_sent, self.wrongly_refused
        );
    }
}

pub fn play_all<F>(seeds: u64, conditions: F, check: fn(&World, u64))
where
    F: Fn(&mut StdRng) -> Conditions,
{
    for seed in 0..seeds {
        let mut rng = StdRng::seed_from_u64(seed);
        let world = World::new(conditions(&mut rng), seed).play();
        check(&world, seed);
    }
}
