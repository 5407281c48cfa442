//! Callers that send requests to entries in turn.

use ibissail_platform_standin::{CallerRequest, CallerResponse, send_request};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// A response, with the attempt id of its request and when that was sent.
#[derive(Debug, Clone)]
pub struct Exchange {
    pub id: String,
    pub sent_at: Instant,
    pub response: CallerResponse,
}

impl Exchange {
    /// Whether the response is complete and successful.
    pub fn is_served(&self) -> bool {
        self.response.status == 200 && self.response.is_complete
    }
}

/// Requests that are sent at an interval until they are stopped, each by a caller of its own.
#[derive(Debug)]
pub struct Traffic {
    should_stop: Arc<AtomicBool>,
    sender: JoinHandle<()>,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
}

impl Traffic {
    /// Starts to send requests to these entries in turn; `request` builds each from its number.
    pub fn start<F>(entries: &[SocketAddr], interval: Duration, request: F) -> Self
    where
        F: Fn(usize) -> CallerRequest + Send + 'static,
    {
        let should_stop = Arc::new(AtomicBool::new(false));
        let exchanges = Arc::<Mutex<Vec<Exchange>>>::default();
        let (stopped, kept) = (Arc::clone(&should_stop), Arc::clone(&exchanges));
        let entries = entries.to_vec();
        let sender = thread::spawn(move || {
            let mut callers = Vec::new();
            for number in 0.. {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let (entry, request) = (entries[number % entries.len()], request(number));
                let kept = Arc::clone(&kept);
                callers.push(thread::spawn(move || {
                    let sent_at = Instant::now();
                    let response = send_request(entry, &request);
                    let exchange = Exchange { id: request.id, sent_at, response };
                    kept.lock().expect("no caller panics").push(exchange);
                }));
                thread::sleep(interval);
            }
            for caller in callers {
                caller.join().expect("the caller ends");
            }
        });
        Self { should_stop, sender, exchanges }
    }

    /// Whether a request has been refused with this error kind.
    pub fn has_error(&self, kind: &str) -> bool {
        let exchanges = self.exchanges.lock().expect("no caller panics");
        exchanges.iter().any(|exchange| exchange.response.error_kind() == kind)
    }

    /// Waits for all responses to the requests sent so far, and returns them.
    pub fn stop(self) -> Vec<Exchange> {
        self.should_stop.store(true, Ordering::Relaxed);
        self.sender.join().expect("the sender ends");
        let exchanges = self.exchanges.lock().expect("no caller panics");
        exchanges.clone()
    }
}

/// Exchanges whose request was sent later than this.
pub fn sent_after(exchanges: &[Exchange], time: Instant) -> Vec<&Exchange> {
    exchanges.iter().filter(|exchange| exchange.sent_at > time).collect()
}

/// Asserts that at least this percentage of the requests, of which there are `min_sent` or more,
/// was served.
pub fn assert_served(sound: &[&Exchange], min_percentage: usize, min_sent: usize) {
    let served = sound.iter().filter(|exchange| exchange.is_served()).count();
    let sent = sound.len();
    assert!(sent >= min_sent, "{sent} requests were sent");
    assert!(served * 100 >= sent * min_percentage, "{served} of {sent} requests were served");
}

/// Asserts that none of the requests was refused because it crashes replicas.
pub fn assert_never_quarantined(exchanges: &[Exchange]) {
    let is_refused =
        |exchange: &&Exchange| exchange.response.error_kind().ends_with("_quarantined");
    let refused: Vec<&Exchange> = exchanges.iter().filter(is_refused).collect();
    let (count, sent) = (refused.len(), exchanges.len());
    assert!(refused.is_empty(), "{count} of {sent} were refused, the first: {:?}", refused[0]);
}

/// Asserts that the requests were refused with this error kind and a time after which to retry.
pub fn assert_quarantined(refused: &[&Exchange], kind: &str, min_sent: usize) {
    assert!(refused.len() >= min_sent, "{} requests were sent", refused.len());
    for Exchange { response, .. } in refused {
        let found = response.error_kind();
        assert_eq!((response.status, found.as_str()), (503, kind), "{response:?}");
        assert!(response.retry_after().is_some_and(|time| time > 1.0), "{response:?}");
    }
}
