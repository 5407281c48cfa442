//! A small cluster of real processes on loopback, for tests.
#![allow(dead_code, unused_imports, reason = "each test file uses a part of this module")]

pub mod gate;
pub mod http;
mod process;
mod wait;

pub use process::{EndOnDrop, Process};
pub use wait::wait_until;

use gate::Gate;
use http::{Answer, get, send};
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

/// Upper bound of every wait; the verdict of a test never hangs on a shorter one.
pub const PATIENCE: Duration = Duration::from_secs(30);
pub const KEY: &str = "demo-key";

pub const ROOT: &str = include_str!("../../../../examples/settings/root.yaml");
pub const GUIDES: &str = include_str!("../../../../examples/settings/guides.yaml");

/// Clusters of this test process so far.
static CLUSTERS: AtomicU16 = AtomicU16::new(1);
const FIRST_PORT: u16 = 20_000;

/// Addresses of one cluster: a loopback address of its own, on which no other process listens
/// and from which no connection goes out.
#[derive(Debug)]
pub struct Addresses {
    ip: Ipv4Addr,
    port: u16,
}

impl Addresses {
    fn new() -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let cluster = CLUSTERS.fetch_add(1, Ordering::Relaxed).to_be_bytes()[1];
        // The first number keeps clear of 127.0.0.x, from which clients connect.
        let ip = Ipv4Addr::new(127, high | 1, low, cluster.max(1));
        Self { ip, port: FIRST_PORT }
    }

    pub fn next(&mut self) -> SocketAddr {
        self.port += 1;
        SocketAddr::from((self.ip, self.port))
    }
}

fn counts<T>(address: SocketAddr) -> T
where
    T: DeserializeOwned,
{
    let answer = get(address, "/control/counts").expect("the stand-in answers");
    serde_json::from_slice(&answer.body).expect("counts")
}

/// Addresses of an entry or a sidecar.
#[derive(Debug, Clone)]
pub struct Member {
    pub name: String,
    pub zone: String,
    pub listen: SocketAddr,
    pub peer: SocketAddr,
    /// Where the others reach it; the same as `peer` unless a gate stands before it.
    pub reached_at: SocketAddr,
    pub upstream: Option<(SocketAddr, String)>,
}

/// Processes of one test.
#[derive(Debug)]
pub struct Cluster {
    dir: PathBuf,
    pub addresses: Addresses,
    pub platform: SocketAddr,
    pub processes: BTreeMap<String, Process>,
    pub members: BTreeMap<String, Member>,
    /// Addresses of the platform that single processes use instead.
    pub platform_for: BTreeMap<String, SocketAddr>,
    /// Least level of the logs of processes started from now on.
    pub log_level: &'static str,
    /// Runs in progress that each sidecar takes.
    pub upstream_concurrency: u32,
    /// Extra lines of single processes' settings.
    pub extra: BTreeMap<String, String>,
}

impl Cluster {
    /// A platform with the example settings.
    pub fn new(test: &str) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        fs::create_dir_all(&dir).expect("the test's folder can be created");
        let mut addresses = Addresses::new();
        let platform = addresses.next();
        let mut cluster = Self {
            dir,
            addresses,
            platform,
            processes: BTreeMap::new(),
            members: BTreeMap::new(),
            platform_for: BTreeMap::new(),
            log_level: "debug",
            upstream_concurrency: 16,
            extra: BTreeMap::new(),
        };
        cluster.spawn("platform", &["standin", "platform", "--listen", &platform.to_string()]);
        wait_until("the platform answers", || get(platform, "/control/counts").is_some());
        cluster.put("config/branches/root", ROOT);
        cluster.put("config/branches/root/guides", GUIDES);
        cluster
    }

    /// The same with two entries and these upstreams, not started: names and what they offer.
    pub fn with_upstreams(test: &str, upstreams: &[(&str, &str)]) -> Self {
        let mut cluster = Self::new(test);
        cluster.add_entry("entry-1");
        cluster.add_entry("entry-2");
        for (name, offers) in upstreams {
            cluster.add_upstream(name, offers);
        }
        cluster
    }

    pub fn spawn(&mut self, name: &str, args: &[&str]) {
        let args: Vec<String> = args.iter().map(ToString::to_string).collect();
        let process = Process::start(&self.dir, name, self.log_level, &args);
        self.processes.insert(name.to_owned(), process);
    }

    /// Adds an entry to the cluster without starting it.
    pub fn add_entry(&mut self, name: &str) {
        self.add(name, None);
    }

    /// Adds a sidecar, starts its upstream, and does not start the sidecar.
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
        wait_until("the upstream answers", || get(address, "/control/counts").is_some());
        self.add(name, Some((address, offers.to_owned())));
    }

    /// Adds a sidecar whose upstream is not there.
    pub fn add_unserved(&mut self, name: &str, offers: &str) {
        let address = self.addresses.next();
        self.add(name, Some((address, offers.to_owned())));
    }

    fn add(&mut self, name: &str, upstream: Option<(SocketAddr, String)>) {
        let peer = self.addresses.next();
        let zone = format!("az-{}", self.members.len() % 3 + 1);
        let name = name.to_owned();
        let listen = self.addresses.next();
        let member = Member { name: name.clone(), zone, listen, peer, reached_at: peer, upstream };
        self.members.insert(name, member);
    }

    /// Puts a gate between each of these sidecars and the processes that reach it.
    pub fn gates_before(&mut self, names: &[&str]) -> Vec<Gate> {
        let gate_before = |name: &&str| {
            let member = self.members.get_mut(*name).expect("a member");
            let gate = Gate::before(member.peer);
            member.reached_at = gate.address;
            gate
        };
        names.iter().map(gate_before).collect()
    }

    /// Starts a member that has been added, or starts it again.
    pub fn start(&mut self, name: &str) {
        let member = self.members[name].clone();
        self.register(&member, VmState::Live);
        let path = self.dir.join(format!("{name}.yaml"));
        fs::write(&path, self.settings(&member)).expect("settings can be written");
        let role = if member.upstream.is_some() { "sidecar" } else { "entry" };
        self.spawn(name, &[role, "--settings", &path.display().to_string()]);
    }

    fn settings(&self, member: &Member) -> String {
        let peers: Vec<String> = self
            .members
            .values()
            .filter(|other| other.name != member.name)
            .map(|other| format!("\"{}\"", other.reached_at))
            .collect();
        let platform = self.platform_for.get(&member.name).unwrap_or(&self.platform);
        let mut text = format!(
            "vm: {}\nzone: {}\nlisten: {}\npeer_listen: {}\nplatform: {platform}\npeers: [{}]\n\
             peer_keys: [{{id: p1, secret: \"a-secret-for-tests\"}}]\n",
            member.name,
            member.zone,
            member.listen,
            member.peer,
            peers.join(", "),
        );
        if let Some((address, offers)) = &member.upstream {
            let concurrency = self.upstream_concurrency;
            let upstream = format!(
                "upstream: {{address: \"{address}\", offers: \"{offers}\", concurrency: {concurrency}}}\n"
            );
            text.push_str(&upstream);
        }
        text.push_str(self.extra.get(&member.name).map(String::as_str).unwrap_or_default());
        text
    }

    /// Puts a VM into the platform's list.
    pub fn register(&self, member: &Member, state: VmState) {
        let offers = member.upstream.as_ref().map(|(_, offers)| offers.parse().expect("a target"));
        let record = VmRecord {
            vm: member.name.parse().expect("a name"),
            zone: member.zone.parse().expect("a name"),
            role: if member.upstream.is_some() { VmRole::Upstream } else { VmRole::Entry },
            address: member.reached_at,
            state,
            offers,
        };
        self.control("/control/vms", &record);
    }

    pub fn control<T>(&self, path: &str, value: &T)
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(value).expect("JSON");
        let answer = send(self.platform, "PUT", path, &[], &body).expect("the platform answers");
        assert_eq!(answer.status, 200);
    }

    pub fn platform_faults(&self, faults: &PlatformFaults) {
        self.control("/control/faults", faults);
    }

    /// Starts every member and waits until all are ready and entries know all upstreams.
    pub fn start_all(&mut self) {
        let names: Vec<String> = self.members.keys().cloned().collect();
        for name in &names {
            self.start(name);
        }
        for name in &names {
            self.wait_ready(name);
        }
        self.wait_routes();
    }

    pub fn wait_ready(&self, name: &str) {
        let listen = self.members[name].listen;
        let ready = || get(listen, "/readyz").is_some_and(|answer| answer.status == 200);
        wait_until(&format!("{name} is ready"), ready);
    }

    /// Waits until each entry counts all upstreams as ready.
    pub fn wait_routes(&self) {
        let upstreams = self.members.values().filter(|m| m.upstream.is_some()).count() as u64;
        for entry in self.members.values().filter(|m| m.upstream.is_none()) {
            wait_until(&format!("{} has its routes", entry.name), || {
                self.status(&entry.name)["replicas_ready"].as_u64() == Some(upstreams)
            });
        }
    }

    pub fn status(&self, name: &str) -> serde_json::Value {
        let answer = get(self.members[name].listen, "/status");
        answer.map(|answer| answer.json()).unwrap_or_default()
    }

    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).expect("the process has been started")
    }

    pub fn platform_counts(&self) -> PlatformCounts {
        counts(self.platform)
    }

    pub fn engine(&self, name: &str) -> EngineCounts {
        counts(self.upstream(name))
    }

    pub fn service(&self, name: &str) -> ServiceCounts {
        counts(self.upstream(name))
    }

    /// Effects of a key, over all services.
    pub fn effects(&self, key: &str) -> u64 {
        self.service_counts()
            .map(|counts| counts.effects.get(key).copied().unwrap_or_default())
            .sum()
    }

    /// Calls under a key that have reached a service, whether or not they have had their effect.
    pub fn service_arrivals(&self, key: &str) -> u64 {
        self.service_counts()
            .map(|counts| counts.arrivals.get(key).copied().unwrap_or_default())
            .sum()
    }

    fn service_counts(&self) -> impl Iterator<Item = ServiceCounts> + '_ {
        let services = self.members.values().filter_map(|member| {
            let (address, offers) = member.upstream.as_ref()?;
            offers.starts_with("service:").then_some(*address)
        });
        services.map(counts::<ServiceCounts>)
    }

    pub fn engine_faults(&self, name: &str, faults: &EngineFaults) {
        self.upstream_faults(name, faults);
    }

    pub fn service_faults(&self, name: &str, faults: &ServiceFaults) {
        self.upstream_faults(name, faults);
    }

    fn upstream_faults<T>(&self, name: &str, faults: &T)
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(faults).expect("JSON");
        let answer = send(self.upstream(name), "PUT", "/control/faults", &[], &body);
        assert_eq!(answer.expect("the upstream answers").status, 200);
    }

    fn upstream(&self, name: &str) -> SocketAddr {
        self.members[name].upstream.as_ref().expect("an upstream").0
    }

    /// Writes an object, whatever its version.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let platform = HttpPlatformClient::new(self.platform, PATIENCE);
        async_std::task::block_on(async {
            let written = match platform.get(key).await.expect("the platform answers") {
                Some(object) => platform.update(key, object.revision, value).await,
                None => platform.create(key, value).await,
            };
            written.expect("the write is accepted").0
        })
    }

    /// Withdraws a version in the platform.
    pub fn withdraw(&self, version: &str) -> u64 {
        let value = format!("{{\"{version}\":{{\"generation\":0,\"grade\":\"withdrawn\"}}}}");
        self.put("config/withdrawals", &value)
    }

    /// Whether a process has the withdrawal of a version.
    pub fn has_withdrawn(&self, name: &str, version: &str) -> bool {
        self.status(name)["withdrawals"][version]["grade"] == "withdrawn"
    }

    /// A counter of a process.
    pub fn counter(&self, name: &str, counter: &str) -> u64 {
        let text = get(self.members[name].listen, "/metrics").map(|answer| answer.text());
        let text = text.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(counter));
        line.and_then(|rest| rest.trim().parse().ok()).unwrap_or_default()
    }

    /// One whole completion through an entry.
    pub fn complete(&self, entry: &str, model: &str) -> Answer {
        self.complete_with(entry, model, &[])
    }

    pub fn complete_with(&self, entry: &str, model: &str, headers: &[(&str, &str)]) -> Answer {
        let body = format!(
            "{{\"model\":\"{model}\",\"messages\":[{{\"role\":\"user\",\"content\":\"two words\"}}]}}"
        );
        self.post(entry, "/v1/chat/completions", headers, body.as_bytes())
    }

    /// One call of the payout service under a key.
    pub fn pay(&self, entry: &str, key: &str) -> Answer {
        let headers = [("idempotency-key", key), ("x-ibissail-deadline-ms", "10000")];
        self.post(entry, "/v1/services/payouts/pay", &headers, b"{\"amount\":1}")
    }

    pub fn post(&self, entry: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Answer {
        let mut all = vec![("authorization", "Bearer demo-key")];
        all.extend_from_slice(headers);
        let listen = self.members[entry].listen;
        send(listen, "POST", path, &all, body).unwrap_or_else(Answer::lost)
    }

    /// Sums of all ledgers by target: requests, prompt tokens, answer tokens.
    pub fn ledger(&self) -> BTreeMap<String, (u64, u64, u64)> {
        let platform = HttpPlatformClient::new(self.platform, PATIENCE);
        let listing = async_std::task::block_on(platform.list("ledger/"));
        let mut sums: BTreeMap<String, (u64, u64, u64)> = BTreeMap::new();
        for object in listing.expect("the platform answers").objects {
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
