//! Local settings of one process: addresses, availability zone, peers, platform and limits.

use crate::{
    ValidationErrors,
    key::read_signing_keys,
    reader::{Document, Fields, Node},
};
use ibissail_core::{ByteSize, Count, Millis, SigningKey, Target, VmId, ZoneId};
use std::net::SocketAddr;

const VALID_KEYS: [&str; 12] = [
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

/// VM and availability zone of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// VM on which the process runs.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
}

/// Protocol between a sidecar and its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine with the chat completions API.
    Engine,
    /// An HTTP service that is not a model engine.
    Plain,
}

/// Settings of the upstream of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Model version or service that the upstream provides.
    pub offers: Target,
    /// Maximum number of runs in progress.
    pub concurrency: u32,
    /// How long a finished run is kept for repeated requests.
    pub retention: Millis,
}

impl UpstreamSettings {
    /// Returns the protocol that matches what the upstream provides.
    #[must_use]
    pub fn kind(&self) -> UpstreamKind {
        match self.offers {
            Target::Model(_) => UpstreamKind::Engine,
            Target::Service(_) => UpstreamKind::Plain,
        }
    }
}

/// Local settings of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalSettings {
    /// Identity of the process.
    pub identity: Identity,
    /// Listen address for callers (entry) or for metrics and health checks (sidecar).
    pub listen: SocketAddr,
    /// Listen address for other ibissail processes.
    pub peer_listen: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Peer addresses (`peer_listen`) of processes that are contacted even if the platform is
    /// unavailable and its list of VMs cannot be read.
    pub peers: Vec<SocketAddr>,
    /// Keys that authenticate messages between processes; the first one signs outgoing messages.
    pub peer_keys: Vec<SigningKey>,
    /// The upstream; only set for a sidecar.
    pub upstream: Option<UpstreamSettings>,
    /// Address of the service that rates responses, if there is one.
    pub rater: Option<SocketAddr>,
    /// Memory limit for stored responses.
    pub memory: ByteSize,
    /// Timeout for receiving the head of a caller's request.
    pub head_timeout: Millis,
    /// Maximum duration of a planned stop.
    pub stop_timeout: Millis,
}

/// Parses the local settings of one process.
///
/// # Errors
///
/// All errors of the document, each with file, line, key path, value and what is valid.
pub fn parse_local(file: &str, text: &str) -> Result<LocalSettings, ValidationErrors> {
    let document = Document::new(file);
    let yaml = document.load(text)?;
    let settings = read_local(&Node::root(&document, &yaml));
    match settings {
        Some(settings) if !document.has_errors() => Ok(settings),
        _ => Err(document.take_errors()),
    }
}

fn read_local(root: &Node<'_>) -> Option<LocalSettings> {
    let fields = root.fields(&VALID_KEYS);
    let vm = fields.required("vm");
    let zone = fields.required("zone");
    let listen = read_address_field(&fields, "listen", true);
    let peer_listen = read_address_field(&fields, "peer_listen", true);
    let platform = read_address_field(&fields, "platform", true);
    let peers = fields.get("peers").map(Node::items).unwrap_or_default();
    let peers = peers.iter().filter_map(read_address).collect();
    let rater = read_address_field(&fields, "rater", false);
    let upstream = fields.get("upstream").map(read_upstream);
    let peer_keys = read_peer_keys(&fields, root);
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

fn read_address_field(fields: &Fields<'_>, name: &str, required: bool) -> Option<SocketAddr> {
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
            "`{text}` is not an address; valid: IP address and port, such as 10.0.0.1:8080"
        ));
    }
    address
}

fn read_upstream(node: &Node<'_>) -> Option<UpstreamSettings> {
    let fields = node.fields(&["address", "offers", "concurrency", "retention"]);
    let address = read_address_field(&fields, "address", true);
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

fn read_peer_keys(fields: &Fields<'_>, root: &Node<'_>) -> Vec<SigningKey> {
    let Some(node) = fields.get("peer_keys") else {
        root.report("the key `peer_keys` is missing");
        return Vec::new();
    };
    read_signing_keys(node)
}
