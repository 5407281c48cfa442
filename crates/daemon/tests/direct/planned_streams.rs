//! Callers of a service whose ids rise unevenly.

use ibissail_platform_standin::{
    CallerRequest, CallerResponse, PlannedReplicas, PlannedStream, resume_header, send_request,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Most events of an uneven stream.
const EVENTS: u64 = 12;
/// Streams of each kind that a run must have at least.
const MIN_STREAMS: usize = 10;

/// What happens to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    Frozen,
    Restarted,
}

#[derive(Debug)]
struct DisruptedTime {
    disruption: Disruption,
    from: Instant,
    until: Option<Instant>,
}

/// The times in which an entry was disrupted.
#[derive(Debug, Clone, Default)]
pub struct Disruptions {
    times: Arc<Mutex<Vec<DisruptedTime>>>,
}

/// A disruption that ends when this is dropped.
#[derive(Debug)]
pub struct CurrentDisruption<'a> {
    disruptions: &'a Disruptions,
}

impl Drop for CurrentDisruption<'_> {
    fn drop(&mut self) {
        if let Some(last) = self.disruptions.lock().last_mut() {
            last.until = Some(Instant::now());
        }
    }
}

impl Disruptions {
    pub fn begin(&self, disruption: Disruption) -> CurrentDisruption<'_> {
        self.lock().push(DisruptedTime { disruption, from: Instant::now(), until: None });
        CurrentDisruption { disruptions: self }
    }

    /// Whether the entry was disrupted at some time since.
    fn any_since(&self, since: Instant) -> bool {
        self.lock().iter().any(|time| time.until.is_none_or(|until| until > since))
    }

    /// The times, in seconds before now.
    fn describe(&self) -> String {
        let seconds = |at: Instant| at.elapsed().as_secs_f64();
        let times = self.lock();
        let times = times.iter().map(|DisruptedTime { disruption, from, until }| {
            format!("{disruption:?} {:.3}..{:.3}", seconds(*from), until.map_or(0.0, seconds))
        });
        times.collect::<Vec<_>>().join(", ")
    }

    fn lock(&self) -> MutexGuard<'_, Vec<DisruptedTime>> {
        self.times.lock().expect("no panic")
    }
}

/// A caller that sends one request after the other, so that it knows which streams have ended before.
#[derive(Debug)]
struct PlannedCaller {
    entry: SocketAddr,
    seed: u64,
    /// Part of the request ids.
    name: &'static str,
    rng: StdRng,
    sent: usize,
    replicas: PlannedReplicas,
    disruptions: Disruptions,
}

/// A stream that was asked for, and what came of it.
#[derive(Debug)]
struct PlannedExchange {
    id: String,
    may_resume: bool,
    stream: PlannedStream,
    resume_after: Option<u64>,
    response: CallerResponse,
    is_disrupted: bool,
}

impl PlannedCaller {
    fn send(
        &mut self,
        path: &str,
        stream: PlannedStream,
        resume_after: Option<u64>,
    ) -> PlannedExchange {
        self.sent += 1;
        let id = format!("{}-{}-{}", self.seed, self.name, self.sent);
        self.replicas.plan(&id, stream.clone());
        let mut request = CallerRequest::new("POST", path, &id);
        request.deadline_ms = 3_000;
        request.extra = resume_after.map(resume_header).unwrap_or_default();
        let sent_at = Instant::now();
        let response = send_request(self.entry, &request);
        let is_disrupted = self.disruptions.any_since(sent_at);
        let may_resume = path == "/logs/1";
        let exchange =
            PlannedExchange { id, may_resume, stream, resume_after, response, is_disrupted };
        self.check(&exchange);
        thread::sleep(Duration::from_millis(self.rng.random_range(2..10)));
        exchange
    }

    /// Asserts what holds whatever happens to the entry.
    fn check(&self, exchange: &PlannedExchange) {
        let context = self.context(exchange);
        let PlannedExchange { id, may_resume, response, .. } = exchange;
        let runs = self.replicas.run_count(id);
        assert!(*may_resume || runs <= 1, "at most once: {context}");
        if matches!(response.status, 408 | 421 | 429 | 503) && response.is_complete {
            assert_eq!(runs, 0, "a refused request has not run: {context}");
        }
        if response.status != 200 {
            return;
        }
        let (body, whole) = (&response.body, exchange.due_text());
        let is_own = whole.starts_with(body) && (body.is_empty() || body.ends_with("\n\n"));
        assert!(is_own, "events of the run: {context}");
        assert!(!response.is_complete || *body == whole, "all events: {context}");
    }

    fn context(&self, exchange: &PlannedExchange) -> String {
        let runs = self.replicas.run_count(&exchange.id);
        let disruptions = self.disruptions.describe();
        format!("seed {}: {runs} runs of {exchange:?}; disruptions {disruptions}", self.seed)
    }
}

impl PlannedExchange {
    /// Ids of the events that are due.
    fn due(&self) -> Vec<u64> {
        let from = self.resume_after.unwrap_or_default();
        self.stream.ids.iter().copied().filter(|id| *id > from).collect()
    }

    fn due_text(&self) -> String {
        PlannedStream::text(&self.id, &self.due())
    }

    fn is_whole(&self) -> bool {
        let Self { response, .. } = self;
        response.status == 200 && response.is_complete && response.body == self.due_text()
    }

    /// Whether the entry has promised that the request has not run.
    fn is_refused(&self) -> bool {
        matches!(self.response.status, 429 | 503) && self.response.is_complete
    }
}

/// Spawns a caller of a service whose ids rise unevenly, which resumes streams that have broken off, and
/// others from an event in their middle.
pub fn spawn_uneven_streams(
    entry: SocketAddr,
    seed: u64,
    stop: &Arc<AtomicBool>,
    disruptions: &Disruptions,
    replicas: &PlannedReplicas,
) -> JoinHandle<()> {
    let mut caller = new_caller(entry, seed, "uneven", disruptions, replicas);
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        let (mut whole, mut resumed) = (0, 0);
        while !stop.load(Ordering::Relaxed) {
            let stream = uneven_stream(&mut caller.rng);
            let path = ["/logs/1", "/minutes/1", "/minutes/1"][caller.rng.random_range(0..3)];
            let from = caller.rng.random_range(0..stream.ids.len());
            let is_resumed = path == "/logs/1" && from > 0 && caller.rng.random_bool(0.4);
            let resume_after = is_resumed.then(|| stream.ids[from - 1]);
            let mut exchange = caller.send(path, stream, resume_after);
            while exchange.may_resume && is_broken_off(&exchange) && exchange.is_disrupted {
                let last = exchange.response.event_ids().last().copied();
                let after = last.or(exchange.resume_after);
                exchange = caller.send(path, exchange.stream, after);
                resumed += usize::from(after.is_some());
            }
            if exchange.is_whole() {
                whole += 1;
                resumed += usize::from(is_resumed);
            } else if !exchange.is_disrupted && !exchange.is_refused() {
                panic!("a sound stream ends whole: {}", caller.context(&exchange));
            }
        }
        println!("seed {seed}: uneven: {whole} whole, {resumed} resumed");
        assert!(whole >= MIN_STREAMS && resumed > 0, "seed {seed}: {whole} whole, {resumed}");
    })
}

/// Whether a stream has ended with an event missing, which its caller has a way to ask for.
fn is_broken_off(exchange: &PlannedExchange) -> bool {
    let PlannedExchange { response, .. } = exchange;
    let has_rest = exchange.due().len() > response.event_ids().len();
    response.status == 200 && !response.is_complete && has_rest
}

fn uneven_stream(rng: &mut StdRng) -> PlannedStream {
    let count = rng.random_range(1..=EVENTS);
    let limit = 10_u64.pow(rng.random_range(2..6));
    let mut steps: Vec<u64> = (0..count).map(|_| rng.random_range(1..=limit)).collect();
    if rng.random_bool(0.5) {
        steps.sort_unstable();
    }
    let mut last = 0;
    let ids = steps.into_iter().map(|step| {
        last += step;
        last
    });
    let ids = ids.collect();
    let interval = Duration::from_millis(rng.random_range(0..3));
    PlannedStream { ids, is_framed: rng.random_bool(0.3), interval }
}

fn new_caller(
    entry: SocketAddr,
    seed: u64,
    name: &'static str,
    disruptions: &Disruptions,
    replicas: &PlannedReplicas,
) -> PlannedCaller {
    let rng = StdRng::seed_from_u64(seed ^ name.len() as u64);
    let (replicas, disruptions) = (replicas.clone(), disruptions.clone());
    PlannedCaller { entry, seed, name, rng, sent: 0, replicas, disruptions }
}
