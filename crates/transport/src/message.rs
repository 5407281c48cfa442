//! Messages between processes: `MessagePack` bodies, authenticated in both directions.

use crate::{FrameReader, Pool, PooledResponse, SendError, read_body};
use http_types::{Body, Method, Request, Response, Url};
use ibissail_core::{ByteSize, ErrorKind, Fault, SigningKey};
use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, sync::Arc, time::Duration};

const AUTH_HEADER: &str = "x-ibissail-auth";
/// Largest message, in bytes: a settings document of a megabyte and some room.
const MAX_MESSAGE: ByteSize = ByteSize(24 << 20);
const STREAM_MARK: &[u8] = b"stream";

quick_error! {
    /// Why a call between processes failed.
    #[derive(Debug, Clone)]
    pub enum CallError {
        /// The message or its answer was not delivered.
        Send(error: SendError) {
            from()
            display("{}", error)
        }
        /// The peer refused.
        Refused(fault: Fault) {
            from()
            display("refused: {}", fault)
        }
        /// The answer was not signed with a known key, or is not such a message.
        InvalidResponse(peer: SocketAddr) {
            display("{}: the answer is not authentic", peer)
        }
    }
}

/// Keys for messages between processes; the first signs, all verify.
#[derive(Debug, Clone)]
pub struct Keyring {
    keys: Arc<Vec<SigningKey>>,
}

impl Keyring {
    /// A ring of at least one key.
    #[must_use]
    pub fn new(keys: Vec<SigningKey>) -> Self {
        Self { keys: Arc::new(keys) }
    }

    fn sign(&self, nonce: &str, parts: &[&[u8]]) -> String {
        let mut all = vec![nonce.as_bytes()];
        all.extend_from_slice(parts);
        let Some(key) = self.keys.first() else {
            return String::new();
        };
        format!("{} {nonce} {}", key.id(), key.sign(&all))
    }

    /// The nonce of a valid header.
    fn verify<'h>(&self, header: &'h str, parts: &[&[u8]]) -> Option<&'h str> {
        let mut words = header.split(' ');
        let (id, nonce, signature) = (words.next()?, words.next()?, words.next()?);
        let mut all = vec![nonce.as_bytes()];
        all.extend_from_slice(parts);
        let key = self.keys.iter().find(|key| key.id() == id)?;
        key.verify(&all, signature).then_some(nonce)
    }
}

/// A received message, with what its answer needs.
#[derive(Debug)]
pub struct Envelope {
    keyring: Keyring,
    nonce: String,
    body: Vec<u8>,
}

impl Envelope {
    /// Reads a request and checks that a process of this system sent it.
    ///
    /// # Errors
    ///
    /// `Unauthorized` for a wrong signature, `BadRequest` for a broken body.
    pub async fn receive(keyring: &Keyring, req: &mut Request) -> Result<Self, Fault> {
        let mut body = req.take_body();
        let body = read_body(&mut body, MAX_MESSAGE).await?;
        let header = req.header(AUTH_HEADER).map(|h| h.as_str().to_owned()).unwrap_or_default();
        let path = req.url().path().as_bytes();
        let nonce = keyring
            .verify(&header, &[path, &body])
            .ok_or_else(|| Fault::new(ErrorKind::Unauthorized, "the message is not authentic"))?
            .to_owned();
        Ok(Self { keyring: keyring.clone(), nonce, body })
    }

    /// The message.
    ///
    /// # Errors
    ///
    /// `BadRequest` when the body is not such a message.
    pub fn message<M>(&self) -> Result<M, Fault>
    where
        M: DeserializeOwned,
    {
        rmp_serde::from_slice(&self.body)
            .map_err(|error| Fault::new(ErrorKind::BadRequest, error.to_string()))
    }

    /// A signed answer.
    #[must_use]
    pub fn respond<M>(&self, message: &M) -> Response
    where
        M: Serialize,
    {
        self.whole(200, encode(message))
    }

    /// A signed refusal.
    #[must_use]
    pub fn refuse<M>(&self, message: &M) -> Response
    where
        M: Serialize,
    {
        self.whole(409, encode(message))
    }

    /// A signed head in front of a body of frames.
    #[must_use]
    pub fn stream(&self, body: Body) -> Response {
        let mut res = Response::new(200);
        res.insert_header(AUTH_HEADER, self.keyring.sign(&self.nonce, &[STREAM_MARK]));
        res.set_body(body);
        res
    }

    fn whole(&self, status: u16, body: Vec<u8>) -> Response {
        let mut res = Response::new(status);
        res.insert_header(AUTH_HEADER, self.keyring.sign(&self.nonce, &[&body]));
        res.set_body(body);
        res
    }
}

fn encode<M>(message: &M) -> Vec<u8>
where
    M: Serialize,
{
    rmp_serde::to_vec(message).expect("messages have a binary form")
}

fn request<M>(keyring: &Keyring, peer: SocketAddr, path: &str, message: &M) -> (Request, String)
where
    M: Serialize,
{
    let body = encode(message);
    let nonce = format!("{:016x}", rand::random::<u64>());
    let auth = keyring.sign(&nonce, &[path.as_bytes(), &body]);
    let url = Url::parse(&format!("http://{peer}{path}")).expect("addresses and paths are valid");
    let mut req = Request::new(Method::Post, url);
    req.insert_header(AUTH_HEADER, auth);
    req.set_body(body);
    (req, nonce)
}

fn is_authentic(keyring: &Keyring, reply: &PooledResponse, nonce: &str, signed: &[u8]) -> bool {
    let header = reply.response.header(AUTH_HEADER).map(|h| h.as_str()).unwrap_or_default();
    keyring.verify(header, &[signed]) == Some(nonce)
}

/// Sends a message and reads the whole answer; a refusal carries a message of type `E`.
///
/// # Errors
///
/// `Send` when no answer came, `Invalid` when it is not authentic; the inner error is a refusal.
pub async fn call<M, A, E>(
    pool: &Pool,
    keyring: &Keyring,
    peer: SocketAddr,
    path: &str,
    message: &M,
    limit: Duration,
) -> Result<Result<A, E>, CallError>
where
    M: Serialize,
    A: DeserializeOwned,
    E: DeserializeOwned,
{
    let (req, nonce) = request(keyring, peer, path, message);
    let reply = pool.send(peer, req, limit).await?;
    read_whole(keyring, reply, &nonce, limit).await
}

async fn read_whole<A, E>(
    keyring: &Keyring,
    reply: PooledResponse,
    nonce: &str,
    limit: Duration,
) -> Result<Result<A, E>, CallError>
where
    A: DeserializeOwned,
    E: DeserializeOwned,
{
    let peer = reply.peer();
    let accepted = reply.response.status().is_success();
    let auth = reply.response.header(AUTH_HEADER).map(|h| h.as_str().to_owned());
    let body = reply.read_body(MAX_MESSAGE, limit).await?;
    let authentic = keyring.verify(&auth.unwrap_or_default(), &[&body]) == Some(nonce);
    if !authentic {
        return Err(CallError::InvalidResponse(peer));
    }
    let invalid = |_error| CallError::InvalidResponse(peer);
    if accepted {
        rmp_serde::from_slice(&body).map(Ok).map_err(invalid)
    } else {
        rmp_serde::from_slice(&body).map(Err).map_err(invalid)
    }
}

/// An answer that arrives as frames.
#[derive(Debug)]
pub struct StreamResponse {
    /// The frames.
    pub frames: FrameReader<Body>,
    reply: PooledResponse,
}

impl StreamResponse {
    /// Gives the connection back once all frames have been read.
    pub fn release(self) {
        self.reply.release();
    }
}

/// Sends a message whose answer is a stream of frames, or a whole refusal.
///
/// # Errors
///
/// As for [`call`].
pub async fn open_stream<M, E>(
    pool: &Pool,
    keyring: &Keyring,
    peer: SocketAddr,
    path: &str,
    message: &M,
    limit: Duration,
) -> Result<Result<StreamResponse, E>, CallError>
where
    M: Serialize,
    E: DeserializeOwned,
{
    let (req, nonce) = request(keyring, peer, path, message);
    let mut reply = pool.send(peer, req, limit).await?;
    if !reply.response.status().is_success() {
        let refusal = read_whole::<(), E>(keyring, reply, &nonce, limit).await?;
        return refusal.err().map(Err).ok_or(CallError::InvalidResponse(peer));
    }
    if !is_authentic(keyring, &reply, &nonce, STREAM_MARK) {
        return Err(CallError::InvalidResponse(peer));
    }
    let frames = FrameReader::new(reply.take_body());
    Ok(Ok(StreamResponse { frames, reply }))
}
