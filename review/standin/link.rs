//! The way to the store, whose open connections may go silent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

/// Passes connections on to an address.
pub struct Link {
    pub address: SocketAddr,
    /// Number of connections opened so far.
    opened: Arc<AtomicU64>,
    /// Connections with a lower number are silent.
    silent_below: Arc<AtomicU64>,
}

impl Link {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let opened = Arc::new(AtomicU64::new(0));
        let silent_below = Arc::new(AtomicU64::new(0));
        let link =
            Self { address, opened: Arc::clone(&opened), silent_below: Arc::clone(&silent_below) };
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let number = opened.fetch_add(1, Ordering::SeqCst);
                let Ok(far) = TcpStream::connect(to) else { continue };
                near.set_nodelay(true).ok();
                far.set_nodelay(true).ok();
                let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
                    continue;
                };
                let silent = Arc::clone(&silent_below);
                thread::spawn(move || pass(near_copy, far_copy, number, &silent));
                let silent = Arc::clone(&silent_below);
                thread::spawn(move || pass(far, near, number, &silent));
            }
        });
        link
    }

    /// Makes all connections that are open now silent for good, without a reset. New ones work.
    /// Returns how many have been opened.
    pub fn silence(&self) -> u64 {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
        opened
    }
}

/// Passes bytes on in one direction; those of a silent connection are lost, its end too.
fn pass(mut from: TcpStream, mut to: TcpStream, number: u64, silent_below: &AtomicU64) {
    let mut buf = [0; 16 << 10];
    loop {
        let count = from.read(&mut buf).unwrap_or(0);
        if number < silent_below.load(Ordering::SeqCst) {
            if count == 0 {
                // The other end hears nothing of it: keep its socket open.
                std::mem::forget(to);
                return;
            }
            continue;
        }
        if count == 0 || to.write_all(&buf[..count]).is_err() {
            to.shutdown(Shutdown::Both).ok();
            return;
        }
    }
}
