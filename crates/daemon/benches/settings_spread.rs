//! Time until a withdrawal is in force at every process, and what each process costs when idle.

#[path = "../tests/common/mod.rs"]
mod common;
mod measure;

use common::{Cluster, wait_until};
use ibissail_standin::PlatformFaults;
use measure::{Samples, Usage, fit, loopback_bytes, row};
use std::{
    thread,
    time::{Duration, Instant},
};

const SIZES: [u32; 4] = [10, 30, 60, 120];
const CHANGES: u32 = 20;
const SETTLE: Duration = Duration::from_secs(6);
const IDLE: Duration = Duration::from_secs(10);

fn main() {
    row(&["processes", "p50 ms", "max ms", "max ms (then down)", "watches", "reads/s", "lists/s"]);
    let mut costs = Vec::new();
    for size in SIZES {
        let mut cluster = cluster(size);
        spread(&mut cluster, size);
        costs.push((size, idle_cost(&cluster)));
    }
    println!("\nidle cost of one process");
    row(&["processes", "CPU % of a core", "resident MB", "bytes/s"]);
    for (size, cost) in &costs {
        let cells = cost.map(|value| format!("{value:.2}"));
        row(&[&size.to_string(), &cells[0], &cells[1], &cells[2]]);
    }
    for (index, name) in ["CPU %", "resident MB", "bytes/s"].iter().enumerate() {
        let points: Vec<(f64, f64)> =
            costs.iter().map(|(size, cost)| (f64::from(*size), cost[index])).collect();
        let (slope, base) = fit(&points);
        println!("{name}: {base:.3} + {slope:.6} a process known");
    }
}

fn cluster(size: u32) -> Cluster {
    let mut cluster = Cluster::new(&format!("bench_spread_{size}"));
    cluster.log_level = "warn";
    for number in 0..size {
        if number % 5 == 0 {
            cluster.add_entry(&format!("entry-{number}"));
        } else {
            cluster.add_unserved(&format!("swift-{number}"), "swift@1");
        }
    }
    let names: Vec<String> = cluster.members.keys().cloned().collect();
    for name in &names {
        cluster.start(name);
    }
    for name in &names {
        cluster.wait_ready(name);
    }
    thread::sleep(SETTLE);
    cluster
}

fn spread(cluster: &mut Cluster, size: u32) {
    let mut samples = Samples::default();
    for generation in 0..CHANGES {
        samples.add(change(cluster, generation, false));
    }
    let cut = change(cluster, CHANGES, true);
    let before = cluster.platform_counts();
    thread::sleep(IDLE);
    let after = cluster.platform_counts();
    let per_second = |count: u64| {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        format!("{:.1}", f64::from(count) / IDLE.as_secs_f64())
    };
    row(&[
        &size.to_string(),
        &samples.percentile(50).as_millis().to_string(),
        &samples.percentile(100).as_millis().to_string(),
        &cut.as_millis().to_string(),
        &after.waiting.to_string(),
        &per_second(after.reads - before.reads),
        &per_second(after.vm_lists - before.vm_lists),
    ]);
}

/// Withdraws a version in a generation of its own; gives the time until all processes have it.
fn change(cluster: &mut Cluster, generation: u32, then_down: bool) -> Duration {
    let value = format!("{{\"swift@1\":{{\"generation\":{generation},\"grade\":\"withdrawn\"}}}}");
    cluster.put("config/withdrawals", &value);
    let accepted = Instant::now();
    let faults = PlatformFaults { down: then_down, ..PlatformFaults::default() };
    if then_down {
        let informed = |name: &String| has(cluster, name, generation);
        wait_until("one process knows", || cluster.members.keys().any(informed));
        cluster.platform_faults(&faults);
    }
    thread::scope(|scope| {
        for name in cluster.members.keys() {
            let cluster = &*cluster;
            scope.spawn(move || wait_until(name, || has(cluster, name, generation)));
        }
    });
    let elapsed = accepted.elapsed();
    if then_down {
        cluster.platform_faults(&PlatformFaults::default());
    }
    elapsed
}

fn has(cluster: &Cluster, name: &str, generation: u32) -> bool {
    let standing = &cluster.status(name)["withdrawals"]["swift@1"];
    standing["generation"] == generation && standing["grade"] == "withdrawn"
}

/// CPU in percent of a core, resident MB and bytes a second, each of one process.
fn idle_cost(cluster: &Cluster) -> [f64; 3] {
    let pids: Vec<u32> = cluster.members.keys().map(|name| cluster.processes[name].id()).collect();
    let count: f64 = pids.iter().map(|_| 1.0).sum();
    let cpu = || pids.iter().map(|pid| Usage::of(*pid).cpu).sum::<Duration>();
    let (cpu_before, bytes_before) = (cpu(), loopback_bytes());
    thread::sleep(IDLE);
    let cpu = cpu().saturating_sub(cpu_before).as_secs_f64() * 100.0 / IDLE.as_secs_f64() / count;
    let bytes = (loopback_bytes() - bytes_before) / IDLE.as_secs_f64() / count;
    let resident: f64 = pids.iter().map(|pid| Usage::of(*pid).resident_mb()).sum::<f64>() / count;
    [cpu, resident, bytes]
}
