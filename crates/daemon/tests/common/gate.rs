//! A TCP gate between two processes that can be shut, cut or made silent.

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

const OPEN: u8 = 0;
const SHUT: u8 = 1;
const POLL: Duration = Duration::from_millis(5);

/// Forwards connections to an address while it is open.
#[derive(Debug, Clone)]
pub struct Gate {
    pub address: SocketAddr,
    state: Arc<AtomicU8>,
    silenced: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Gate {
    /// A gate in front of an address.
    pub fn before(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let gate = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::new(AtomicU8::new(OPEN)),
            silenced: Arc::default(),
            next: Arc::default(),
            streams: Arc::default(),
        };
        let shared = gate.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.forward(stream, target);
            }
        });
        gate
    }

    /// Refuses new connections and cuts those that are open.
    pub fn shut(&self) {
        self.state.store(SHUT, Ordering::SeqCst);
        for stream in self.streams.lock().expect("not poisoned").drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lets connections through again.
    pub fn open(&self) {
        self.state.store(OPEN, Ordering::SeqCst);
    }

    /// Makes all present connections silent for good; new ones work.
    pub fn silence(&self) {
        self.silenced.store(self.next.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn forward(&self, inbound: TcpStream, target: SocketAddr) {
        if self.state.load(Ordering::SeqCst) == SHUT {
            return;
        }
        let Ok(outbound) = TcpStream::connect(target) else {
            return;
        };
        let id = self.next.fetch_add(1, Ordering::SeqCst);
        let pairs = [(&inbound, &outbound), (&outbound, &inbound)];
        for (from, to) in pairs {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let gate = self.clone();
            thread::spawn(move || gate.copy(id, from, to));
        }
        let mut streams = self.streams.lock().expect("not poisoned");
        streams.extend([inbound, outbound]);
    }

    fn copy(&self, id: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = vec![0; 16 << 10];
        loop {
            let count = from.read(&mut buf).unwrap_or(0);
            while id < self.silenced.load(Ordering::SeqCst) {
                // A silent connection passes nothing on, not even its end.
                thread::sleep(POLL);
                if self.state.load(Ordering::SeqCst) == SHUT {
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
