//! A TCP proxy between two processes that injects connection failures.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

const FORWARDING: u8 = 0;
const CLOSED: u8 = 1;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Forwards connections to a target address until a fault is injected.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Address on which the proxy accepts connections.
    pub address: SocketAddr,
    state: Arc<AtomicU8>,
    /// Connections with a lower id forward nothing.
    stalled_below: Arc<AtomicU64>,
    next_id: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl FaultProxy {
    /// Starts a proxy that forwards to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let proxy = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::new(AtomicU8::new(FORWARDING)),
            stalled_below: Arc::default(),
            next_id: Arc::default(),
            streams: Arc::default(),
        };
        let shared = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.forward(stream, target);
            }
        });
        proxy
    }

    /// Closes the open connections, and each new one as soon as it is accepted.
    pub fn close(&self) {
        self.state.store(CLOSED, Ordering::SeqCst);
        for stream in self.streams.lock().expect("not poisoned").drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }

    /// Forwards new connections again after `close`.
    pub fn restore(&self) {
        self.state.store(FORWARDING, Ordering::SeqCst);
    }

    /// Stops forwarding on all present connections without closing them; new ones work.
    pub fn stall(&self) {
        self.stalled_below.store(self.next_id.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn forward(&self, inbound: TcpStream, target: SocketAddr) {
        if self.state.load(Ordering::SeqCst) == CLOSED {
            return;
        }
        let Ok(outbound) = TcpStream::connect(target) else {
            return;
        };
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let pairs = [(&inbound, &outbound), (&outbound, &inbound)];
        for (from, to) in pairs {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let proxy = self.clone();
            thread::spawn(move || proxy.copy(id, from, to));
        }
        let mut streams = self.streams.lock().expect("not poisoned");
        streams.extend([inbound, outbound]);
    }

    fn copy(&self, id: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = vec![0; 16 << 10];
        loop {
            let count = from.read(&mut buf).unwrap_or(0);
            while id < self.stalled_below.load(Ordering::SeqCst) {
                // A stalled connection forwards nothing, not even the end of the stream.
                thread::sleep(POLL_INTERVAL);
                if self.state.load(Ordering::SeqCst) == CLOSED {
                    return;
                }
            }
            if count == 0 || to.write_all(&buf[..count]).is_err() {
                let _closed = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}
