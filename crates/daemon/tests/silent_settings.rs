//! Settings reach processes whose watches of the platform have gone silent.

mod common;

use common::{Cluster, fault_proxy::FaultProxy};
use std::{
    thread,
    time::{Duration, Instant},
};

/// A withdrawal is in force within seconds; a silent watch is noticed after 22 s only.
const IN_FORCE: Duration = Duration::from_secs(10);
const MEMBERS: [&str; 4] = ["entry-1", "entry-2", "swift-1", "swift-2"];

/// Guards against a withdrawal that no process reads, because all of them watch on connections that
/// have gone silent.
#[test]
fn withdrawal_reaches_processes_whose_watches_are_silent() {
    let upstreams = [("swift-1", "swift@1"), ("swift-2", "swift@2")];
    let mut cluster = Cluster::with_upstreams("silent_settings", &upstreams);
    let mut proxies = Vec::new();
    for name in MEMBERS {
        let proxy = FaultProxy::start(cluster.platform);
        cluster.platform_overrides.insert(name.to_owned(), proxy.address);
        proxies.push(proxy);
    }
    cluster.start_all();
    thread::sleep(Duration::from_secs(1));
    proxies.iter().for_each(FaultProxy::stall);
    thread::sleep(Duration::from_secs(1));
    cluster.withdraw("swift@2");
    let withdrawn = Instant::now();
    for name in MEMBERS {
        while !cluster.has_withdrawn(name, "swift@2") {
            assert!(withdrawn.elapsed() < IN_FORCE, "{name} does not know the withdrawal");
            thread::sleep(Duration::from_millis(50));
        }
    }
}
