//! Runs a cluster of daemon processes on loopback addresses.
#![allow(dead_code, unused_imports, reason = "each test file uses a part of this module")]

pub mod crashing_upstream;
pub mod fault_proxy;
pub mod http;
mod process;
mod wait;

pub use process::{Process, StopOnDrop};
pub use wait::wait_until;

use fault_proxy::FaultProxy;
use http::{Response, get, send};
use ibissail_object_store::{HttpPlatformClient, ObjectApi, VmRecord, VmRole, VmState};
use ibissail_standin::{
    EngineCounts, EngineFaults, PlatformCounts, PlatformFaults, ServiceCounts, ServiceFaults,
};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    collections::BTreeMap,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::atomic::{AtomicU16, Ordering},
    thread,
    time::{Duration, Instant},
};

/// Timeout of every call and wait. No test result depends on a shorter one, so that a slow machine
/// does not fail a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
pub const API_KEY: &str = "demo-key";

pub const ROOT_SETTINGS: &str = include_str!("../../../../examples/settings/root.yaml");
pub const GUIDES_SETTINGS: &str = include_str!("../../../../examples/settings/guides.yaml");

/// Number of the next cluster of this test process.
static NEXT_CLUSTER: AtomicU16 = AtomicU16::new(1);
const FIRST_PORT: u16 = 20_000;

/// Allocates the addresses of one cluster: ports of a loopback address of its own, on which no
/// other process listens and which no outgoing connection uses as its source.
#[derive(Debug)]
pub struct Addresses {
    ip: Ipv4Addr,
    port: u16,
}

impl Addresses {
    fn new() -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let cluster = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed).to_be_bytes()[1];
        // The second octet is never zero, which avoids 127.0.0.x, the source address of clients.
        let ip = Ipv4Addr::new(127, high | 1, low, cluster.max(1));
        Self { ip, port: FIRST_PORT }
    }

    /// Returns an address that was not returned before.
    pub fn next(&mut self) -> SocketAddr {
        self.port += 1;
        SocketAddr::from((self.ip, self.port))
    }
}

/// Reads the counters of a stand-in.
fn counts<T>(address: SocketAddr) -> T
where
    T: DeserializeOwned,
{
    let response = get(address, "/control/counts").expect("the stand-in responds");
    serde_json::from_slice(&response.body).expect("valid counters")
}

/// Name, zone and addresses of an entry or a sidecar.
#[derive(Debug, Clone)]
pub struct Member {
    pub name: String,
    pub zone: String,
    /// Address for callers, and for the status and metrics.
    pub listen: SocketAddr,
    /// Address for messages from other processes of the cluster.
    pub peer_listen: SocketAddr,
    /// Address that the other processes use: `peer_listen`, or the fault proxy in front of it.
    pub advertised_address: SocketAddr,
    /// Address of the upstream of a sidecar and the target that it offers; `None` for an entry.
    pub upstream: Option<(SocketAddr, String)>,
}

/// The processes of one test, with a stand-in for the platform.
#[derive(Debug)]
pub struct Cluster {
    /// Directory of settings and logs.
    dir: PathBuf,
    pub addresses: Addresses,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    pub processes: BTreeMap<String, Process>,
    /// Entries and sidecars by name, started or not.
    pub members: BTreeMap<String, Member>,
    /// Platform addresses by process, for processes that use another than `platform`.
    pub platform_overrides: BTreeMap<String, SocketAddr>,
    /// Log level of processes that are started from now on.
    pub log_level: &'static str,
    /// Maximum number of concurrent runs of each sidecar.
    pub upstream_concurrency: u32,
    /// Settings lines by process, appended to the generated ones.
    pub extra_settings: BTreeMap<String, String>,
}

impl Cluster {
    /// Starts a platform stand-in with the example settings.
    pub fn new(test: &str) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        fs::create_dir_all(&dir).expect("the directory can be created");
        let mut addresses = Addresses::new();
        let platform = addresses.next();
        let mut cluster = Self {
            dir,
            addresses,
            platform,
            processes: BTreeMap::new(),
            members: BTreeMap::new(),
            platform_overrides: BTreeMap::new(),
            log_level: "debug",
            upstream_concurrency: 16,
            extra_settings: BTreeMap::new(),
        };
        cluster.spawn("platform", &["standin", "platform", "--listen", &platform.to_string()]);
        wait_until("the platform responds", || get(platform, "/control/counts").is_some());
        cluster.put("config/branches/root", ROOT_SETTINGS);
        cluster.put("config/branches/root/guides", GUIDES_SETTINGS);
        cluster
    }

    /// Like `new`, with two entries and the sidecars of these upstreams, given by name and offered
    /// target. Entries and sidecars are not started.
    pub fn with_upstreams(test: &str, upstreams: &[(&str, &str)]) -> Self {
        let mut cluster = Self::new(test);
        cluster.add_entry("entry-1");
        cluster.add_entry("entry-2");
        for (name, offers) in upstreams {
            cluster.add_upstream(name, offers);
        }
        cluster
    }

    /// Starts a daemon process under a name.
    pub fn spawn(&mut self, name: &str, args: &[&str]) {
        let args: Vec<String> = args.iter().map(ToString::to_string).collect();
        let process = Process::start(&self.dir, name, self.log_level, &args);
        self.processes.insert(name.to_owned(), process);
    }

    /// Adds an entry to the cluster without starting it.
    pub fn add_entry(&mut self, name: &str) {
        self.add(name, None);
    }

    /// Starts an upstream stand-in and adds a sidecar for it without starting the sidecar.
    pub fn add_upstream(&mut self, name: &str, offers: &str) {
        let address = self.addresses.next();
        let listen = address.to_string();
        let upstream = format!("{name}-upstream");
        if offers.starts_with("service:") {
            self.spawn(&upstream, &["standin", "service", "--listen", &listen]);
        } else {
            let args = ["standin", "engine", "--listen", &listen, "--model", offers];
            self.spawn(&upstream, &args);
        }
        wait_until("the upstream responds", || get(address, "/control/counts").is_some());
        self.add(name, Some((address, offers.to_owned())));
    }

    /// Adds a sidecar whose upstream does not run.
    pub fn add_sidecar_without_upstream(&mut self, name: &str, offers: &str) {
        let address = self.addresses.next();
        self.add(name, Some((address, offers.to_owned())));
    }

    fn add(&mut self, name: &str, upstream: Option<(SocketAddr, String)>) {
        let peer_listen = self.addresses.next();
        let zone = format!("az-{}", self.members.len() % 3 + 1);
        let name = name.to_owned();
        let listen = self.addresses.next();
        let member = Member {
            name: name.clone(),
            zone,
            listen,
            peer_listen,
            advertised_address: peer_listen,
            upstream,
        };
        self.members.insert(name, member);
    }

    /// Puts a fault proxy between each of these sidecars and the processes that call it.
    pub fn add_proxies(&mut self, names: &[&str]) -> Vec<FaultProxy> {
        let add_proxy = |name: &&str| {
            let member = self.members.get_mut(*name).expect("a member");
            let proxy = FaultProxy::start(member.peer_listen);
            member.advertised_address = proxy.address;
            proxy
        };
        names.iter().map(add_proxy).collect()
    }

    /// Registers, configures and starts a member, or restarts it.
    pub fn start(&mut self, name: &str) {
        let member = self.members[name].clone();
        self.register(&member, VmState::Live);
        let path = self.dir.join(format!("{name}.yaml"));
        fs::write(&path, self.settings(&member)).expect("settings can be written");
        let role = if member.upstream.is_some() { "sidecar" } else { "entry" };
        self.spawn(name, &[role, "--settings", &path.display().to_string()]);
    }

    /// Text of the settings file of a member.
    fn settings(&self, member: &Member) -> String {
        let peers: Vec<String> = self
            .members
            .values()
            .filter(|other| other.name != member.name)
            .map(|other| format!("\"{}\"", other.advertised_address))
            .collect();
        let platform = self.platform_overrides.get(&member.name).unwrap_or(&self.platform);
        let mut text = format!(
            "vm: {}\nzone: {}\nlisten: {}\npeer_listen: {}\nplatform: {platform}\npeers: [{}]\n\
             peer_keys: [{{id: p1, secret: \"a-secret-for-tests\"}}]\n",
            member.name,
            member.zone,
            member.listen,
            member.peer_listen,
            peers.join(", "),
        );
        if let Some((address, offers)) = &member.upstream {
            let concurrency = self.upstream_concurrency;
            let upstream = format!(
                "upstream: {{address: \"{address}\", offers: \"{offers}\", concurrency: {concurrency}}}\n"
            );
            text.push_str(&upstream);
        }
        text.push_str(
            self.extra_settings.get(&member.name).map(String::as_str).unwrap_or_default(),
        );
        text
    }

    /// Adds the VM of a member to the list of the platform, or updates it.
    pub fn register(&self, member: &Member, state: VmState) {
        let offers = member.upstream.as_ref().map(|(_, offers)| offers.parse().expect("a target"));
        let record = VmRecord {
            vm: member.name.parse().expect("a name"),
            zone: member.zone.parse().expect("a name"),
            role: if member.upstream.is_some() { VmRole::Upstream } else { VmRole::Entry },
            address: member.advertised_address,
            state,
            offers,
        };
        self.put_control("/control/vms", &record);
    }

    /// Sends a value to a control path of the platform stand-in.
    pub fn put_control<T>(&self, path: &str, value: &T)
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(value).expect("JSON");
        let response = send(self.platform, "PUT", path, &[], &body).expect("the platform responds");
        assert_eq!(response.status, 200);
    }

    /// Sets the faults of the platform stand-in; the default value clears them.
    pub fn set_faults(&self, faults: &PlatformFaults) {
        self.put_control("/control/faults", faults);
    }

    /// Starts all members; waits until all are ready and the entries have discovered all upstreams.
    pub fn start_all(&mut self) {
        let names: Vec<String> = self.members.keys().cloned().collect();
        for name in &names {
            self.start(name);
        }
        for name in &names {
            self.wait_ready(name);
        }
        self.wait_for_upstreams();
    }

    /// Waits until the readiness check of a member succeeds.
    pub fn wait_ready(&self, name: &str) {
        let listen = self.members[name].listen;
        let ready = || get(listen, "/readyz").is_some_and(|response| response.status == 200);
        wait_until(&format!("{name} is ready"), ready);
    }

    /// Waits until each entry counts all upstreams as ready.
    pub fn wait_for_upstreams(&self) {
        let upstreams = self.members.values().filter(|m| m.upstream.is_some()).count() as u64;
        for entry in self.members.values().filter(|m| m.upstream.is_none()) {
            wait_until(&format!("{} has discovered all upstreams", entry.name), || {
                self.status(&entry.name)["replicas_ready"].as_u64() == Some(upstreams)
            });
        }
    }

    /// The status document of a member; null if it does not respond.
    pub fn status(&self, name: &str) -> serde_json::Value {
        let response = get(self.members[name].listen, "/status");
        response.map(|response| response.json()).unwrap_or_default()
    }

    /// A started process by name.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).expect("the process has been started")
    }

    /// Counters of the platform stand-in.
    pub fn platform_counts(&self) -> PlatformCounts {
        counts(self.platform)
    }

    /// Counters of the engine stand-in behind a sidecar.
    pub fn engine_counts(&self, name: &str) -> EngineCounts {
        counts(self.upstream_address(name))
    }

    /// Counters of the service stand-in behind a sidecar.
    pub fn service_counts(&self, name: &str) -> ServiceCounts {
        counts(self.upstream_address(name))
    }

    /// Number of effects of an idempotency key over all services.
    pub fn effect_count(&self, key: &str) -> u64 {
        self.all_service_counts()
            .map(|counts| counts.effects.get(key).copied().unwrap_or_default())
            .sum()
    }

    /// Number of calls with an idempotency key that reached a service, whether or not they took
    /// effect.
    pub fn service_call_count(&self, key: &str) -> u64 {
        self.all_service_counts()
            .map(|counts| counts.arrivals.get(key).copied().unwrap_or_default())
            .sum()
    }

    fn all_service_counts(&self) -> impl Iterator<Item = ServiceCounts> + '_ {
        let services = self.members.values().filter_map(|member| {
            let (address, offers) = member.upstream.as_ref()?;
            offers.starts_with("service:").then_some(*address)
        });
        services.map(counts::<ServiceCounts>)
    }

    /// Sets the faults of the engine stand-in behind a sidecar.
    pub fn set_engine_faults(&self, name: &str, faults: &EngineFaults) {
        self.set_upstream_faults(name, faults);
    }

    /// Sets the faults of the service stand-in behind a sidecar.
    pub fn set_service_faults(&self, name: &str, faults: &ServiceFaults) {
        self.set_upstream_faults(name, faults);
    }

    fn set_upstream_faults<T>(&self, name: &str, faults: &T)
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(faults).expect("JSON");
        let response = send(self.upstream_address(name), "PUT", "/control/faults", &[], &body);
        assert_eq!(response.expect("the upstream responds").status, 200);
    }

    fn upstream_address(&self, name: &str) -> SocketAddr {
        self.members[name].upstream.as_ref().expect("an upstream").0
    }

    /// Creates or overwrites an object in the platform; returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let platform = HttpPlatformClient::new(self.platform, WAIT_TIMEOUT);
        async_std::task::block_on(async {
            let written = match platform.get(key).await.expect("the platform responds") {
                Some(object) => platform.update(key, object.revision, value).await,
                None => platform.create(key, value).await,
            };
            written.expect("the write is accepted").0
        })
    }

    /// Withdraws a version in the platform; returns the revision of the withdrawals.
    pub fn withdraw(&self, version: &str) -> u64 {
        let value = format!("{{\"{version}\":{{\"generation\":0,\"grade\":\"withdrawn\"}}}}");
        self.put("config/withdrawals", &value)
    }

    /// Whether a member has applied the withdrawal of a version.
    pub fn has_withdrawn(&self, name: &str, version: &str) -> bool {
        self.status(name)["withdrawals"][version]["grade"] == "withdrawn"
    }

    /// Value of a counter metric of a member; 0 if it is missing.
    pub fn counter(&self, name: &str, counter: &str) -> u64 {
        let text = get(self.members[name].listen, "/metrics").map(|response| response.text());
        let text = text.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(counter));
        line.and_then(|rest| rest.trim().parse().ok()).unwrap_or_default()
    }

    /// Sends a completion request without streaming through an entry.
    pub fn send_completion(&self, entry: &str, model: &str) -> Response {
        self.send_completion_with(entry, model, &[])
    }

    /// Like `send_completion`, with additional headers.
    pub fn send_completion_with(
        &self,
        entry: &str,
        model: &str,
        headers: &[(&str, &str)],
    ) -> Response {
        let body = format!(
            "{{\"model\":\"{model}\",\"messages\":[{{\"role\":\"user\",\"content\":\"two words\"}}]}}"
        );
        self.post(entry, "/v1/chat/completions", headers, body.as_bytes())
    }

    /// Calls the payout service with an idempotency key.
    pub fn send_payout(&self, entry: &str, key: &str) -> Response {
        let headers = [("idempotency-key", key), ("x-ibissail-deadline-ms", "10000")];
        self.post(entry, "/v1/services/payouts/pay", &headers, b"{\"amount\":1}")
    }

    /// Sends a POST request with the API key to an entry.
    pub fn post(&self, entry: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Response {
        let mut all = vec![("authorization", "Bearer demo-key")];
        all.extend_from_slice(headers);
        let listen = self.members[entry].listen;
        send(listen, "POST", path, &all, body).unwrap_or_else(Response::missing)
    }

    /// What a process has logged since its last start.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.dir.join(format!("{name}.log"))).expect("the log is readable")
    }

    /// Totals of all ledgers by target: requests, prompt tokens, response tokens.
    pub fn ledger_totals(&self) -> BTreeMap<String, (u64, u64, u64)> {
        let platform = HttpPlatformClient::new(self.platform, WAIT_TIMEOUT);
        let listing = async_std::task::block_on(platform.list("ledger/"));
        let mut sums: BTreeMap<String, (u64, u64, u64)> = BTreeMap::new();
        for object in listing.expect("the platform responds").objects {
            let ledger: ibissail_billing::Ledger =
                serde_json::from_str(&object.value).expect("a ledger");
            for (target, usage) in ledger.totals().values().flatten() {
                let sum = sums.entry(target.clone()).or_default();
                sum.0 += usage.requests;
                sum.1 += usage.input.0;
                sum.2 += usage.output.0;
            }
        }
        sums
    }
}
