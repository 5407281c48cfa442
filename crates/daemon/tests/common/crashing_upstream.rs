//! Upstreams that end when they begin to run a certain request.

use super::http::parse_head_and_body;
use std::{
    collections::{BTreeMap, BTreeSet},
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Requests that contain this, in the path or the body, end the upstream.
pub const CRASHING_TEXT: &str = "ends-its-upstream";
/// Time from the arrival of such a request to the crash, and from there until the upstream is back.
const CRASH_DELAY: Duration = Duration::from_millis(45);
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time after which other requests are answered.
const RESPONSE_TIME: Duration = Duration::from_millis(20);
/// Interval at which an upstream looks for connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
const READ_CHUNK_BYTES: usize = 16 << 10;
/// A response that a model's sidecar, too, takes for complete.
const RESPONSE_BODY: &str = "{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\
     \"content\":\"ridge\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":2,\
     \"completion_tokens\":1,\"total_tokens\":3}}";

/// What an upstream has sent of its response when it ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SentBeforeEnd {
    /// Nothing.
    #[default]
    Nothing,
    /// A head with neither a length nor chunks.
    UnframedHead,
    /// Such a head, and a part of the body.
    PartOfUnframedBody,
}

impl SentBeforeEnd {
    fn bytes(self) -> &'static [u8] {
        match self {
            Self::Nothing => b"",
            Self::UnframedHead => b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n",
            Self::PartOfUnframedBody => {
                b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"choices\":[{"
            }
        }
    }
}

/// What happened at the upstreams of one test.
#[derive(Debug, Default)]
struct History {
    crashes: Vec<Instant>,
    /// Arrivals of the request that ends upstreams.
    arrivals: Vec<Instant>,
    /// Arrivals of such requests by their idempotency key.
    keys: BTreeMap<String, usize>,
    /// Content types of such requests.
    content_types: BTreeSet<String>,
    /// One for each run of an upstream, set when it ends.
    ended: Vec<Arc<AtomicBool>>,
}

/// Upstreams that each listen on an address of their own; they end with the test's process.
#[derive(Debug, Clone, Default)]
pub struct CrashingUpstreams {
    history: Arc<Mutex<History>>,
    sent_before_end: SentBeforeEnd,
}

impl CrashingUpstreams {
    /// Upstreams that end after they have sent this of their response.
    pub fn ending_after(sent_before_end: SentBeforeEnd) -> Self {
        Self { sent_before_end, ..Self::default() }
    }

    /// Starts an upstream that comes back at the same address after each crash.
    pub fn start(&self, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the address is free");
        let upstreams = self.clone();
        thread::spawn(move || {
            let mut listener = listener;
            loop {
                upstreams.run_until_crash(listener);
                thread::sleep(RESTART_DELAY);
                listener = TcpListener::bind(address).expect("the address is free again");
            }
        });
    }

    /// When upstreams crashed, in order.
    pub fn crashes(&self) -> Vec<Instant> {
        self.history.lock().expect("not poisoned").crashes.clone()
    }

    /// Number of requests that end upstreams and arrived later than this.
    pub fn arrivals_after(&self, time: Instant) -> usize {
        let history = self.history.lock().expect("not poisoned");
        history.arrivals.iter().filter(|arrived| **arrived > time).count()
    }

    /// Number of arrivals of an idempotency key.
    pub fn arrivals_of(&self, key: &str) -> usize {
        self.history.lock().expect("not poisoned").keys.get(key).copied().unwrap_or_default()
    }

    /// Whether a request that ends upstreams has arrived with this content type.
    pub fn has_received(&self, content_type: &str) -> bool {
        self.history.lock().expect("not poisoned").content_types.contains(content_type)
    }

    /// Ends all upstreams at once, whatever they are doing.
    pub fn lose_power(&self) {
        let ended = std::mem::take(&mut self.history.lock().expect("not poisoned").ended);
        for has_ended in ended {
            has_ended.store(true, Ordering::Relaxed);
        }
    }

    fn run_until_crash(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        let has_crashed = Arc::new(AtomicBool::new(false));
        self.history.lock().expect("not poisoned").ended.push(Arc::clone(&has_crashed));
        let mut connections = Vec::new();
        while !has_crashed.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("a connection");
                    connections.push(stream.try_clone().expect("a connection"));
                    let (upstreams, has_crashed) = (self.clone(), Arc::clone(&has_crashed));
                    thread::spawn(move || upstreams.serve(stream, &has_crashed));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(ACCEPT_INTERVAL);
                }
                Err(error) => panic!("the upstream accepts connections: {error}"),
            }
        }
        drop(listener);
        for connection in connections {
            let _closed_by_the_sidecar = connection.shutdown(Shutdown::Both);
        }
    }

    /// Answers the requests of one connection in turn.
    fn serve(&self, mut stream: TcpStream, has_crashed: &AtomicBool) {
        let mut received = Vec::new();
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        loop {
            let Some((request, rest)) = parse_head_and_body(&received) else {
                match stream.read(&mut chunk) {
                    Ok(count) if count > 0 => received.extend_from_slice(&chunk[..count]),
                    Ok(_) | Err(_) => return,
                }
                continue;
            };
            received = rest;
            if request.contains(CRASHING_TEXT) {
                let _sent = stream.write_all(self.sent_before_end.bytes());
                self.crash(&request, has_crashed);
                return;
            }
            thread::sleep(RESPONSE_TIME);
            let length = RESPONSE_BODY.len();
            let response = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{RESPONSE_BODY}"
            );
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn crash(&self, request: &str, has_crashed: &AtomicBool) {
        let mut history = self.history.lock().expect("not poisoned");
        history.arrivals.push(Instant::now());
        let key = request.lines().find_map(|line| line.strip_prefix("idempotency-key: "));
        if let Some(key) = key {
            *history.keys.entry(key.to_owned()).or_default() += 1;
        }
        let content_type = request.lines().find_map(|line| line.strip_prefix("content-type: "));
        history.content_types.extend(content_type.map(str::to_owned));
        drop(history);
        thread::sleep(CRASH_DELAY);
        if !has_crashed.swap(true, Ordering::Relaxed) {
            self.history.lock().expect("not poisoned").crashes.push(Instant::now());
        }
    }
}
