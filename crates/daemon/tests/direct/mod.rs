//! A direct entry as a process of its own, with stand-ins of the users' platform.
#![allow(dead_code, reason = "each test file uses a part of this module")]

#[path = "../common/wait.rs"]
mod wait;

pub use wait::wait_until;

use ibissail_platform_standin::{
    Behaviour, CallerRequest, CallerResponse, ConfigurationSpec, ReplicaStandin, StoreStandin,
    is_ready, rollout_spec, send_request, settings_file,
};
use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
};

/// Lines of an entry's log that a failed test shows.
const LOG_LINES: usize = 12;

static NEXT_ADDRESS: AtomicU16 = AtomicU16::new(1);

/// An entry, its store and its replicas.
#[derive(Debug)]
pub struct World {
    pub store: StoreStandin,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    /// First and last port for messages between entries.
    peer_ports: (u16, u16),
    /// Addresses of other entries.
    seeds: Vec<SocketAddr>,
    dir: PathBuf,
    child: Option<Child>,
}

impl World {
    /// Starts a store with a configuration, and an entry.
    pub fn start(test: &str, configuration: &ConfigurationSpec) -> Self {
        let store = StoreStandin::start();
        configuration.apply(&store);
        let mut world = Self::without_entry(test, store);
        world.start_entry();
        world
    }

    /// A world whose entry has not been started.
    pub fn without_entry(test: &str, store: StoreStandin) -> Self {
        // Each world has an address of its own, so that internal ports never clash.
        let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
        let host = format!("127.{}.{}.{}", 10 + std::process::id() % 100, test.len() % 250, number);
        let dir =
            std::env::temp_dir().join(format!("ibissail-direct-{test}-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("the directory can be made");
        let [callers, readiness, peers, metrics] = free(&host, &[]);
        Self {
            store,
            callers,
            readiness,
            peer_ports: (peers.port(), metrics.port()),
            seeds: Vec::new(),
            dir,
            child: None,
        }
    }

    /// Starts another entry on the same store, which knows of this one.
    pub fn start_beside(&self, test: &str) -> Self {
        let mut beside = Self::without_entry(test, self.store.clone());
        let (peers, metrics) = self.peer_ports;
        beside.peer_ports = self.peer_ports;
        let host = beside.callers.ip().to_string();
        [beside.callers, beside.readiness] = free(&host, &[peers, metrics]);
        beside.seeds.push(self.callers);
        beside.start_entry();
        beside
    }

    /// Starts the entry, or starts it again.
    pub fn start_entry(&mut self) {
        let name = format!("entry-{}", self.callers.ip());
        let boot = settings_file(
            &name,
            &self.store,
            self.callers,
            self.readiness,
            self.peer_ports,
            &self.seeds,
        );
        let path = self.dir.join("boot.json");
        fs::write(&path, boot).expect("the settings can be written");
        let log = File::create(self.dir.join("entry.log")).expect("the log can be created");
        let child = Command::new(env!("CARGO_BIN_EXE_ibissaild"))
            .args(["--threads", "1", "direct", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the daemon starts");
        self.child = Some(child);
        wait_until("the entry listens", || TcpStream::connect(self.callers).is_ok());
    }

    /// Starts a replica and lists it.
    pub fn add_replica(&self, id: &str, service: &str, behaviour: Behaviour) -> ReplicaStandin {
        self.add_version(id, service, "v1", behaviour)
    }

    /// Starts a replica of a version and lists it.
    pub fn add_version(
        &self,
        id: &str,
        service: &str,
        version: &str,
        behaviour: Behaviour,
    ) -> ReplicaStandin {
        let replica = ReplicaStandin::start(id, behaviour);
        self.store.register_replica(&replica, service, version, false);
        replica
    }

    /// Lists a replica as leaving.
    pub fn drain(&self, replica: &ReplicaStandin, service: &str) {
        self.store.register_replica(replica, service, "v1", true);
    }

    /// Orders a service to move to a version.
    pub fn order(&self, service: &str, target: &str, seconds: f64) {
        self.store.put("rollouts", service, &rollout_spec(service, target, seconds));
    }

    /// State of an order.
    pub fn order_state(&self, service: &str) -> String {
        self.store.status("rollouts", service)["state"].as_str().unwrap_or_default().to_owned()
    }

    /// Asks the entry.
    pub fn ask(&self, request: &CallerRequest) -> CallerResponse {
        send_request(self.callers, request)
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_ready(&self) {
        wait_until("the entry is ready", || self.is_ready());
    }

    /// Waits until the entry knows a replica.
    pub fn wait_known(&self, replica: &ReplicaStandin) {
        wait_until("the entry knows the replica", || self.log().contains(replica.id()));
    }

    /// Whether the entry says that it is ready.
    pub fn is_ready(&self) -> bool {
        is_ready(self.readiness)
    }

    /// Sends the entry a signal.
    pub fn signal(&self, signal: &str) {
        let id = self.child.as_ref().expect("the entry runs").id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.expect("kill runs").success(), "the entry takes {signal}");
    }

    /// Ends the entry without notice, as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the entry can be killed");
            child.wait().expect("the entry ends");
        }
    }

    /// Waits for the end of an entry that was asked to stop.
    pub fn wait_for_end(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.wait().expect("the entry ends");
        }
    }

    /// Whether the entry has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut().expect("the entry was started");
        child.try_wait().expect("the entry can be looked at").is_some()
    }

    /// What the entry has logged of its decisions on orders.
    pub fn decisions(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> =
            log.lines().filter(|line| line.contains("rollout: decided")).collect();
        lines.join("\n")
    }

    /// Most memory that the entry has held, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let pid = self.child.as_ref().expect("the entry runs").id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("it runs");
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("its peak");
        let digits: String = line.chars().filter(char::is_ascii_digit).collect();
        digits.parse().expect("a number")
    }

    /// What the entry has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.join("entry.log")).unwrap_or_default()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let log = self.log();
            let tail = log.lines().rev().take(LOG_LINES).collect::<Vec<_>>();
            eprintln!("last lines of the entry at {}, newest first:", self.callers);
            for line in tail {
                eprintln!("{line}");
            }
        }
        if let Some(child) = &mut self.child {
            let _gone = child.kill();
            let _ended = child.wait();
        }
        let _removed = fs::remove_dir_all(&self.dir);
    }
}

/// Addresses that are free and differ from each other and from ports that will be taken.
fn free<const N: usize>(host: &str, taken: &[u16]) -> [SocketAddr; N] {
    loop {
        // All are held until the last is found, so that none comes twice.
        let listeners: [TcpListener; N] =
            std::array::from_fn(|_| TcpListener::bind((host, 0)).expect("a port is free"));
        let address = |listener: TcpListener| listener.local_addr().expect("it has an address");
        let addresses = listeners.map(address);
        if addresses.iter().all(|address| !taken.contains(&address.port())) {
            return addresses;
        }
    }
}
