//! The platform's store, as PROTOCOL.md describes it, in memory.

use crate::http::Reader;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
}

struct Event {
    revision: u64,
    kind: String,
    object: String,
    removed: bool,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    revision: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

fn encode(name: &str, object: &Object) -> String {
    let Object { revision, spec, status } = object;
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{status}}}"
    )
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let state = State { revision: 1, ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let store = Self { shared, address };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Writes the `spec` of an object, as the operator and the replicas do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.shared.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let status = state.objects.get(&key).map_or("null".to_owned(), |old| old.status.clone());
        let object = Object { revision, spec: spec.to_owned(), status };
        let text = encode(name, &object);
        state.objects.insert(key, object);
        state.events.push(Event { revision, kind: kind.to_owned(), object: text, removed: false });
        self.shared.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.state.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        let text = encode(name, &object);
        state.events.push(Event { revision, kind: kind.to_owned(), object: text, removed: true });
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.request_body(&head) else { return };
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.answer(head.method(), head.target(), &body);
            let text = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let Some(path) = path.strip_prefix("/-/objects/") else { return (404, "{}".into()) };
        let words: Vec<&str> = path.split('/').collect();
        match (method, words.as_slice()) {
            ("GET", [kind]) if query.contains_key("watch") => {
                let from = query["watch"].parse().unwrap_or(0);
                let wait = query.get("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                (200, self.watch(kind, from, Duration::from_millis(wait)))
            }
            ("GET", [kind]) => (200, self.list(kind)),
            ("GET", [kind, name]) => {
                let state = self.shared.state.lock().unwrap();
                match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(object) => (200, encode(name, object)),
                    None => (404, "{}".into()),
                }
            }
            ("PUT", [kind, name, "status"]) => self.put_status(kind, name, body),
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.shared.state.lock().unwrap();
        let items = state.objects.iter().filter(|((known, _), _)| known == kind);
        let items: Vec<String> = items.map(|((_, name), object)| encode(name, object)).collect();
        format!("{{\"items\":[{}],\"has_more\":false,\"at\":{}}}", items.join(","), state.revision)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.shared.state.lock().unwrap();
        loop {
            let new =
                state.events.iter().filter(|event| event.kind == kind && event.revision > from);
            let new: Vec<String> = new
                .map(|event| {
                    format!("{{\"removed\":{},\"object\":{}}}", event.removed, event.object)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", new.join(","), state.revision);
            }
            state = self.shared.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn put_status(&self, kind: &str, name: &str, body: &str) -> (u16, String) {
        let mut state = self.shared.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = state.objects.get(&key).cloned() else { return (404, "{}".into()) };
        let named = number_after(body, "\"revision\":");
        if named.is_some_and(|named| named != object.revision) {
            return (409, encode(name, &object));
        }
        let Some(status) = object_after(body, "\"status\":") else { return (400, "{}".into()) };
        if status != object.status {
            state.revision += 1;
            object.revision = state.revision;
            object.status = status;
            let (revision, text) = (object.revision, encode(name, &object));
            state.objects.insert(key, object.clone());
            state.events.push(Event {
                revision,
                kind: kind.to_owned(),
                object: text,
                removed: false,
            });
            self.shared.changed.notify_all();
        }
        (200, encode(name, &object))
    }
}

fn number_after(text: &str, field: &str) -> Option<u64> {
    let rest = &text[text.find(field)? + field.len()..];
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// The flat object that is the value of a field.
fn object_after(text: &str, field: &str) -> Option<String> {
    let rest = text[text.find(field)? + field.len()..].trim_start();
    let end = rest.find('}')?;
    rest.starts_with('{').then(|| rest[..=end].to_owned())
}
