//! Development mode: entries, sidecars and stand-ins in one process on loopback.

use crate::{
    StartError,
    dev_direct::{self, DevDirect},
    entry::Entry,
    process::{listen, wait_for_stop_signal},
    sidecar::Sidecar,
};
use async_std::{net::TcpListener, task};
use ibissail_catalogue::branch_key;
use ibissail_core::{BranchPath, Target, VmId, ZoneId};
use ibissail_object_store::{HttpPlatformClient, ObjectApi, VmRecord, VmRole, VmState};
use ibissail_settings::{LocalSettings, ValidationErrors, parse_branch, parse_local};
use ibissail_standin::{EngineOptions, run_engine, run_platform, run_service};
use ibissail_transport::{Pool, PoolOptions, ShutdownSignal, shutdown_channel};
use slog::{Logger, warn};
use std::{
    io::{self, Write},
    net::SocketAddr,
    time::Duration,
};

const ROOT: &str = include_str!("../../../examples/settings/root.yaml");
const GUIDES: &str = include_str!("../../../examples/settings/guides.yaml");
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const READY_CHECKS: u32 = 500;
const MAX_PORTS: u16 = 400;

/// VM and target of each upstream, with its delays before the first token and between tokens in
/// ms.
const UPSTREAMS: [(&str, &str, u64, u64); 5] = [
    ("swift-1", "swift@1", 20, 5),
    ("swift-2", "swift@2", 20, 5),
    ("strong-1", "strong@1", 80, 20),
    ("payouts-1", "service:payouts", 0, 0),
    ("routes-1", "service:routes", 0, 0),
];

/// Runs the development mode until a stop signal.
pub(crate) async fn run(port: u16, log: Logger) -> Result<(), StartError> {
    let (stop_standins, stop) = shutdown_channel();
    let mut ports = Ports::after(port);
    let platform = start_platform(&mut ports, &stop).await?;
    let admin = HttpPlatformClient::new(platform, PLATFORM_TIMEOUT);
    put_settings(&admin).await?;
    let mut sidecars = Vec::new();
    for upstream in UPSTREAMS {
        let settings = start_upstream(&mut ports, upstream, platform, &stop).await?;
        register(platform, &settings, VmRole::Upstream).await;
        let Some(upstream) = settings.upstream.clone() else {
            continue;
        };
        sidecars.push(Sidecar::start(settings, upstream, log.clone()).await?);
    }
    let settings = entry_settings(&mut ports, port, platform).await?;
    register(platform, &settings, VmRole::Entry).await;
    let address = settings.listen;
    let entry = Entry::start(settings, log.clone()).await?;
    let direct = dev_direct::start(&mut ports, &log).await?;
    wait_until("the entry", || entry.can_serve(UPSTREAMS.len())).await?;
    wait_until("the direct entry", || direct.entry.is_ready()).await?;
    let printed = print_usage(io::stdout().lock(), address, platform, &direct);
    if let Err(error) = printed {
        // A reader of the output may have closed it, which is no reason to stop serving.
        warn!(log, "usage: not printed"; "error" => %error);
    }
    wait_for_stop_signal().await?;
    entry.stop().await;
    direct.entry.stop().await;
    for sidecar in sidecars {
        sidecar.stop().await;
    }
    stop_standins.shut_down();
    Ok(())
}

fn print_usage<W>(
    mut out: W,
    entry: SocketAddr,
    platform: SocketAddr,
    direct: &DevDirect,
) -> io::Result<()>
where
    W: Write,
{
    writeln!(out, "entry     http://{entry}")?;
    writeln!(out, "platform  http://{platform}")?;
    writeln!(out, "keys      demo-key (editors), shop-key (volunteers)")?;
    writeln!(out)?;
    writeln!(
        out,
        "curl -s http://{entry}/v1/chat/completions -H 'Authorization: Bearer demo-key' \
         -d '{{\"model\":\"auto\",\"messages\":[{{\"role\":\"user\",\"content\":\"Describe the north ridge\"}}]}}'"
    )?;
    direct.print_usage(out)
}

async fn start_platform(
    ports: &mut Ports,
    stop: &ShutdownSignal,
) -> Result<SocketAddr, StartError> {
    let (listener, address) = listen_next(ports).await?;
    task::spawn(run_platform(listener, stop.clone()));
    Ok(address)
}

/// Listens on the next free port.
///
/// Fails once `MAX_PORTS` ports have been tried.
async fn listen_next(ports: &mut Ports) -> Result<(TcpListener, SocketAddr), StartError> {
    loop {
        let address = ports.next();
        match listen(address).await {
            Ok(listener) => return Ok((listener, address)),
            Err(error) if ports.is_exhausted() => return Err(error),
            Err(_) => {}
        }
    }
}

/// Returns the next free address.
///
/// The address is not reserved: another process could bind it before it is used.
pub(crate) async fn free_address(ports: &mut Ports) -> Result<SocketAddr, StartError> {
    listen_next(ports).await.map(|(_listener, address)| address)
}

/// Iterates over loopback ports in ascending order.
#[derive(Debug)]
pub(crate) struct Ports {
    last: u16,
    end: u16,
}

impl Ports {
    fn after(port: u16) -> Self {
        Self { last: port, end: port.saturating_add(MAX_PORTS) }
    }

    fn next(&mut self) -> SocketAddr {
        self.last = self.last.saturating_add(1);
        SocketAddr::from(([127, 0, 0, 1], self.last))
    }

    fn is_exhausted(&self) -> bool {
        self.last >= self.end
    }
}

async fn put_settings(admin: &HttpPlatformClient) -> Result<(), StartError> {
    for (file, text) in [("root.yaml", ROOT), ("guides.yaml", GUIDES)] {
        let path: BranchPath = parse_branch(file, text)?.path;
        let written = admin.create(&branch_key(&path), text).await;
        written.map_err(|error| StartError::Platform(error.to_string()))?;
    }
    Ok(())
}

async fn start_upstream(
    ports: &mut Ports,
    (vm, offers, first_token_ms, between_tokens_ms): (&str, &str, u64, u64),
    platform: SocketAddr,
    stop: &ShutdownSignal,
) -> Result<LocalSettings, StartError> {
    let (listener, address) = listen_next(ports).await?;
    if offers.starts_with("service:") {
        task::spawn(run_service(listener, stop.clone()));
    } else {
        let options = EngineOptions {
            model: offers.to_owned(),
            first_token_delay: Duration::from_millis(first_token_ms),
            token_interval: Duration::from_millis(between_tokens_ms),
        };
        task::spawn(run_engine(listener, options, stop.clone()));
    }
    let upstream = format!("upstream: {{address: \"{address}\", offers: \"{offers}\"}}\n");
    let address = free_address(ports).await?;
    local_settings(ports, vm, address, platform, &upstream).await
}

async fn entry_settings(
    ports: &mut Ports,
    port: u16,
    platform: SocketAddr,
) -> Result<LocalSettings, StartError> {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    local_settings(ports, "entry-1", address, platform, "").await
}

async fn local_settings(
    ports: &mut Ports,
    vm: &str,
    address: SocketAddr,
    platform: SocketAddr,
    upstream: &str,
) -> Result<LocalSettings, StartError> {
    let peer = free_address(ports).await?;
    let text = format!(
        "vm: {vm}\nzone: az-1\nlisten: {address}\npeer_listen: {peer}\nplatform: {platform}\n\
         peer_keys: [{{id: dev, secret: \"only-for-development\"}}]\n{upstream}"
    );
    let settings: Result<LocalSettings, ValidationErrors> = parse_local("(dev)", &text);
    Ok(settings?)
}

async fn register(platform: SocketAddr, settings: &LocalSettings, role: VmRole) {
    let vm: VmId = settings.identity.vm.clone();
    let zone: ZoneId = settings.identity.zone.clone();
    let offers: Option<Target> = settings.upstream.as_ref().map(|u| u.offers.clone());
    let address = settings.peer_listen;
    let record = VmRecord { vm, zone, role, address, state: VmState::Live, offers };
    let pool = Pool::new(PoolOptions::default());
    let url = format!("http://{platform}/control/vms");
    if let Ok(url) = http_types::Url::parse(&url) {
        let mut req = http_types::Request::new(http_types::Method::Put, url);
        req.set_body(serde_json::to_vec(&record).unwrap_or_default());
        let _registered = pool.send(platform, req, PLATFORM_TIMEOUT).await;
    }
}

async fn wait_until<F>(what: &str, is_ready: F) -> Result<(), StartError>
where
    F: Fn() -> bool,
{
    for _ in 0..READY_CHECKS {
        if is_ready() {
            return Ok(());
        }
        task::sleep(READY_CHECK_INTERVAL).await;
    }
    Err(StartError::NotReady(what.to_owned()))
}
