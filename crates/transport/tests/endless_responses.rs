//! A peer whose response head does not end is given up.

use async_std::task;
use http_types::{Method, Request, Url};
use ibissail_transport::{Pool, PoolOptions, SendError};
use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::mpsc,
    thread,
    time::Duration,
};

/// Time within which a head without end must be given up, on a busy machine.
const GIVE_UP_LIMIT: Duration = Duration::from_secs(2);

#[test]
fn head_line_without_end_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _request = stream.read(&mut [0; 1024]).expect("a request");
        let mut next = b"HTTP/1.1 200 OK\r\nx: ".to_vec();
        while stream.write_all(&next).is_ok() {
            next = vec![b'x'; 64 << 10];
        }
    });
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let pool = Pool::new(PoolOptions::default());
        let url = Url::parse(&format!("http://{peer}/")).expect("a URL");
        let sent = pool.send(peer, Request::new(Method::Get, url), Duration::from_mins(1));
        let error = task::block_on(sent).expect_err("the head has no end");
        let _received = tx.send(error);
    });
    let error = rx.recv_timeout(GIVE_UP_LIMIT).expect("the head is given up in time");
    assert!(matches!(error, SendError::ResponseLost(..)), "{error}");
}
