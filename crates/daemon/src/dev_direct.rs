//! Direct entry of the development mode, with stand-ins of the users' platform.

use crate::{
    StartError,
    dev::{Ports, free_address},
    direct::DirectEntry,
};
use ibissail_core::{Count, Millis};
use ibissail_direct::{DirectSettings, RetryBudgetLimits, Shedding, ZoneRegions};
use ibissail_platform_standin::{
    Behaviour, ConfigurationSpec, ReplicaStandin, RouteSpec, StoreStandin, StreamEnding,
    curl_options,
};
use slog::Logger;
use std::{
    io::{self, Write},
    net::SocketAddr,
    time::Duration,
};

/// Events in a draft stream.
const DRAFT_EVENTS: u64 = 8;
/// Events after which the first writer replica breaks its stream.
const BROKEN_AFTER: u64 = 3;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const LOOKUP_TIME: Duration = Duration::from_millis(20);

/// A running direct entry.
#[derive(Debug)]
pub(crate) struct DevDirect {
    pub(crate) entry: DirectEntry,
    address: SocketAddr,
}

impl DevDirect {
    pub(crate) fn print_usage<W>(&self, mut out: W) -> io::Result<()>
    where
        W: Write,
    {
        let address = self.address;
        writeln!(out)?;
        writeln!(out, "direct    http://{address}")?;
        writeln!(out)?;
        writeln!(out, "curl -s http://{address}/lookups/ridge {}", curl_options("lookup-1"))?;
        writeln!(out, "curl -sN -X POST http://{address}/drafts/ridge {}", curl_options("draft-1"))
    }
}

/// Starts a store stand-in, replicas of two services and the entry.
pub(crate) async fn start(ports: &mut Ports, log: &Logger) -> Result<DevDirect, StartError> {
    let store = StoreStandin::start();
    let configuration = ConfigurationSpec {
        version: 1,
        routes: vec![
            RouteSpec::new("/lookups/", "safe", "lookups"),
            RouteSpec {
                request_timeout_ms: 10_000,
                ..RouteSpec::new("/drafts/", "resumable", "writers")
            },
        ],
        organisations: Vec::new(),
    };
    configuration.apply(&store);
    for (id, service, behaviour) in replicas() {
        let replica = ReplicaStandin::start(id, behaviour);
        store.register_replica(&replica, service, "v1", false);
    }
    let settings = settings(ports, &store).await?;
    let address = settings.callers;
    let entry = DirectEntry::start(settings, log.clone()).await?;
    Ok(DevDirect { entry, address })
}

fn replicas() -> [(&'static str, &'static str, Behaviour); 4] {
    let draft = |sent, ending| Behaviour::Stream {
        events: DRAFT_EVENTS,
        sent,
        interval: EVENT_PAUSE,
        ending,
        confidence: 90,
    };
    [
        ("lookups-1", "lookups", Behaviour::Respond(200, LOOKUP_TIME)),
        ("lookups-2", "lookups", Behaviour::Respond(200, LOOKUP_TIME)),
        ("writers-1", "writers", draft(BROKEN_AFTER, StreamEnding::Truncated)),
        ("writers-2", "writers", draft(DRAFT_EVENTS, StreamEnding::Complete)),
    ]
}

async fn settings(ports: &mut Ports, store: &StoreStandin) -> Result<DirectSettings, StartError> {
    Ok(DirectSettings {
        vm: "direct-1".parse()?,
        zone: "az-1".parse()?,
        zone_regions: ZoneRegions::default(),
        callers: free_address(ports).await?,
        readiness: free_address(ports).await?,
        metrics: free_address(ports).await?,
        peers: free_address(ports).await?,
        seeds: Vec::new(),
        store: store.address(),
        key_age_limit: None,
        grace: Millis(2_000),
        budget: RetryBudgetLimits { ratio: 0.5, allowance: 50.0, window: Millis(10_000) },
        exposure: 0.1,
        exposure_allowance: Count(0),
        session_idle_timeout: Millis(5_000),
        evacuation_delay: None,
        cold_limits: None,
        expects_overload: false,
        shedding: Shedding::Off,
        memory: None,
        descriptors: None,
    })
}
