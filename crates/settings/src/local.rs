//! Settings of one process: addresses, availability zone, peers, platform, limits.

use crate::{
    ValidationErrors,
    key::read_signing_keys,
    reader::{Document, Fields, Node},
};
use ibissail_core::{ByteSize, Count, Millis, SigningKey, Target, VmId, ZoneId};
use std::net::SocketAddr;

const KEYS: [&str; 12] = [
    "vm",
    "zone",
    "listen",
    "peer_listen",
    "platform",
    "peers",
    "peer_keys",
    "upstream",
    "rater",
    "memory",
    "stop_timeout",
    "head_timeout",
];
const DEFAULT_MEMORY: ByteSize = ByteSize(16 << 20);
const DEFAULT_STOP_TIMEOUT: Millis = Millis(30_000);
const DEFAULT_HEAD_TIMEOUT: Millis = Millis(30_000);
const DEFAULT_CONCURRENCY: u32 = 16;
const DEFAULT_RETENTION: Millis = Millis(600_000);

/// Who a process is and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The VM that it runs on.
    pub vm: VmId,
    /// The VM's availability zone.
    pub zone: ZoneId,
}

/// How the sidecar speaks to its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine with the chat completions API.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// The upstream beside a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// What it offers.
    pub offers: Target,
    /// Runs in progress at most.
    pub concurrency: u32,
    /// How long a finished run is kept for those who ask again.
    pub retention: Millis,
}

impl UpstreamSettings {
    /// The kind that follows from what is offered.
    #[must_use]
    pub fn kind(&self) -> UpstreamKind {
        match self.offers {
            Target::Model(_) => UpstreamKind::Engine,
            Target::Service(_) => UpstreamKind::Plain,
        }
    }
}

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalSettings {
    /// Who the process is.
    pub identity: Identity,
    /// Address for callers (entry), or for metrics and health (sidecar).
    pub listen: SocketAddr,
    /// Address for the system's own processes.
    pub peer_listen: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Own-protocol addresses of processes to ask when the platform is down.
    pub peers: Vec<SocketAddr>,
    /// Keys for messages between processes, the first one for sending.
    pub peer_keys: Vec<SigningKey>,
    /// The upstream; only for a sidecar.
    pub upstream: Option<UpstreamSettings>,
    /// Address of the rater, if there is one.
    pub rater: Option<SocketAddr>,
    /// Memory for answers that are kept.
    pub memory: ByteSize,
    /// Longest time for the head of a caller's request.
    pub head_timeout: Millis,
    /// Longest time that a planned stop may take.
    pub stop_timeout: Millis,
}

/// Reads the local settings of one process.
///
/// # Errors
///
/// Every mistake of the document, each with file, line, key path, value and what is valid.
pub fn parse_local(file: &str, text: &str) -> Result<LocalSettings, ValidationErrors> {
    let document = Document::new(file);
    let yaml = document.load(text)?;
    let settings = read_local(&Node::top(&document, &yaml));
    match settings {
        Some(settings) if !document.has_errors() => Ok(settings),
        _ => Err(document.finish()),
    }
}

fn read_local(top: &Node<'_>) -> Option<LocalSettings> {
    let fields = top.fields(&KEYS);
    let vm = fields.required("vm");
    let zone = fields.required("zone");
    let listen = address(&fields, "listen", true);
    let peer_listen = address(&fields, "peer_listen", true);
    let platform = address(&fields, "platform", true);
    let peers = fields.get("peers").map(Node::items).unwrap_or_default();
    let peers = peers.iter().filter_map(read_address).collect();
    let rater = address(&fields, "rater", false);
    let upstream = fields.get("upstream").map(read_upstream);
    let peer_keys = read_peer_keys(&fields, top);
    Some(LocalSettings {
        identity: Identity { vm: vm?, zone: zone? },
        listen: listen?,
        peer_listen: peer_listen?,
        platform: platform?,
        peers,
        peer_keys,
        upstream: match upstream {
            Some(upstream) => Some(upstream?),
            None => None,
        },
        rater,
        memory: fields.optional("memory").unwrap_or(DEFAULT_MEMORY),
        head_timeout: fields.optional("head_timeout").unwrap_or(DEFAULT_HEAD_TIMEOUT),
        stop_timeout: fields.optional("stop_timeout").unwrap_or(DEFAULT_STOP_TIMEOUT),
    })
}

fn address(fields: &Fields<'_>, name: &str, required: bool) -> Option<SocketAddr> {
    if required && fields.get(name).is_none() {
        return fields.required::<String>(name).and(None);
    }
    fields.get(name).and_then(read_address)
}

fn read_address(node: &Node<'_>) -> Option<SocketAddr> {
    let text = node.parse::<String>()?;
    let address = text.parse().ok();
    if address.is_none() {
        node.report(format!(
            "`{text}` is not an address; valid: IP number and port, as 10.0.0.1:8080"
        ));
    }
    address
}

fn read_upstream(node: &Node<'_>) -> Option<UpstreamSettings> {
    let fields = node.fields(&["address", "offers", "concurrency", "retention"]);
    let address = address(&fields, "address", true);
    let offers = fields.required("offers");
    Some(UpstreamSettings {
        address: address?,
        offers: offers?,
        concurrency: fields
            .optional::<Count>("concurrency")
            .map_or(DEFAULT_CONCURRENCY, |count| count.0),
        retention: fields.optional("retention").unwrap_or(DEFAULT_RETENTION),
    })
}

fn read_peer_keys(fields: &Fields<'_>, top: &Node<'_>) -> Vec<SigningKey> {
    let Some(node) = fields.get("peer_keys") else {
        top.report("the key `peer_keys` is missing");
        return Vec::new();
    };
    read_signing_keys(node)
}
