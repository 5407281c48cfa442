//! The end of a body that ends with its connection, and a reset of that connection.

use async_std::task;
use futures_lite::AsyncWriteExt;
use ibissail_http1::{BodyReader, Connection, Framing, HttpError, dial};
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    thread,
    time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which what a peer has done arrives.
const ARRIVAL: Duration = Duration::from_millis(50);
const PART: &[u8] = b"part";

/// Opens a connection whose peer is played by `play`, and writes bytes that the peer may leave unread;
/// then reads a body of the framing. With `write_again`, another write comes before the read, as that
/// of a request which is still being sent.
fn read_after<F>(play: F, framing: Framing, write_again: bool) -> Result<Vec<u8>, HttpError>
where
    F: FnOnce(TcpStream) + Send + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let peer = thread::spawn(move || play(listener.accept().expect("a connection").0));
    task::block_on(async {
        let mut connection: Connection = dial(address, TIMEOUT).await.expect("a connection");
        connection.write(b"request").await.expect("written");
        peer.join().expect("the peer has played");
        task::sleep(ARRIVAL).await;
        if write_again {
            let mut stream = connection.stream().clone();
            for _ in 0..2 {
                let _error = stream.write_all(b"rest").await;
                task::sleep(ARRIVAL).await;
            }
        }
        BodyReader::new(framing).read_all(&mut connection, 1 << 10).await
    })
}

/// Waits until the request has arrived, which is left unread, and sends a part of a body.
fn send_part(stream: &mut TcpStream) {
    stream.peek(&mut [0; 1]).expect("the request arrives");
    stream.write_all(PART).expect("written");
}

fn send_and_reset(mut stream: TcpStream) {
    send_part(&mut stream);
}

fn end_and_reset(mut stream: TcpStream) {
    send_part(&mut stream);
    stream.shutdown(Shutdown::Write).expect("the half is closed");
    thread::sleep(ARRIVAL);
}

fn read_and_close(mut stream: TcpStream) {
    send_part(&mut stream);
    let _read = stream.read(&mut [0; 64]).expect("the request is read");
}

#[test]
fn reset_ends_no_body() {
    for write_again in [false, true] {
        let read = read_after(send_and_reset, Framing::UntilClose, write_again);
        assert!(matches!(read, Err(HttpError::Io(_))), "{write_again}: {read:?}");
    }
}

#[test]
fn reset_behind_the_end_ends_no_body() {
    for write_again in [false, true] {
        let read = read_after(end_and_reset, Framing::UntilClose, write_again);
        assert!(matches!(read, Err(HttpError::Io(_))), "{write_again}: {read:?}");
    }
}

/// The peer has closed both halves, and resets the connection only because of what is sent behind.
#[test]
fn rest_of_a_request_that_is_refused_ends_no_body() {
    let read = read_after(read_and_close, Framing::UntilClose, true);
    assert!(matches!(read, Err(HttpError::Io(_))), "{read:?}");
}

#[test]
fn close_ends_a_body() {
    assert_eq!(read_after(read_and_close, Framing::UntilClose, false), Ok(PART.to_vec()));
}

#[test]
fn reset_spoils_no_body_with_a_length() {
    let length = Framing::Length(PART.len() as u64);
    for write_again in [false, true] {
        assert_eq!(read_after(send_and_reset, length, write_again), Ok(PART.to_vec()));
    }
}
