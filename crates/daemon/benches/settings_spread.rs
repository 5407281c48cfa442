//! Time until every process has applied a withdrawal, and the resource usage of idle processes.

#[path = "../tests/common/mod.rs"]
mod common;
mod measure;

use common::{Cluster, wait_until};
use ibissail_standin::PlatformFaults;
use measure::{Samples, Usage, fit_line, loopback_bytes, print_row};
use std::{
    thread,
    time::{Duration, Instant},
};

const PROCESS_COUNTS: [u32; 4] = [10, 30, 60, 120];
const WITHDRAWALS: u32 = 20;
const SETTLE_TIME: Duration = Duration::from_secs(6);
const IDLE_TIME: Duration = Duration::from_secs(10);

fn main() {
    print_row(&[
        "processes",
        "p50 ms",
        "max ms",
        "ms with an outage",
        "watches",
        "reads/s",
        "lists/s",
    ]);
    let mut costs = Vec::new();
    for size in PROCESS_COUNTS {
        let mut cluster = cluster(size);
        measure_propagation(&mut cluster, size);
        costs.push((size, measure_idle_cost(&cluster)));
    }
    println!("\nidle cost of one process");
    print_row(&["processes", "CPU % of a core", "resident MB", "bytes/s"]);
    for (size, cost) in &costs {
        let cells = cost.map(|value| format!("{value:.2}"));
        print_row(&[&size.to_string(), &cells[0], &cells[1], &cells[2]]);
    }
    for (index, name) in ["CPU %", "resident MB", "bytes/s"].iter().enumerate() {
        let points: Vec<(f64, f64)> =
            costs.iter().map(|(size, cost)| (f64::from(*size), cost[index])).collect();
        let (slope, base) = fit_line(&points);
        println!("{name}: {base:.3} + {slope:.6} for each process");
    }
}

fn cluster(size: u32) -> Cluster {
    let mut cluster = Cluster::new(&format!("bench_spread_{size}"));
    cluster.log_level = "warn";
    for number in 0..size {
        if number % 5 == 0 {
            cluster.add_entry(&format!("entry-{number}"));
        } else {
            cluster.add_sidecar_without_upstream(&format!("swift-{number}"), "swift@1");
        }
    }
    let names: Vec<String> = cluster.members.keys().cloned().collect();
    for name in &names {
        cluster.start(name);
    }
    for name in &names {
        cluster.wait_ready(name);
    }
    thread::sleep(SETTLE_TIME);
    cluster
}

/// Prints the propagation time of withdrawals, and the calls that an idle cluster sends to the
/// platform.
fn measure_propagation(cluster: &mut Cluster, size: u32) {
    let mut samples = Samples::default();
    for generation in 0..WITHDRAWALS {
        samples.add(withdraw_and_measure(cluster, generation, false));
    }
    let with_outage = withdraw_and_measure(cluster, WITHDRAWALS, true);
    let before = cluster.platform_counts();
    thread::sleep(IDLE_TIME);
    let after = cluster.platform_counts();
    let per_second = |count: u64| {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        format!("{:.1}", f64::from(count) / IDLE_TIME.as_secs_f64())
    };
    print_row(&[
        &size.to_string(),
        &samples.percentile(50).as_millis().to_string(),
        &samples.percentile(100).as_millis().to_string(),
        &with_outage.as_millis().to_string(),
        &after.waiting.to_string(),
        &per_second(after.reads - before.reads),
        &per_second(after.vm_lists - before.vm_lists),
    ]);
}

/// Withdraws a version in the given generation; returns the time until all processes have applied
/// it. With `with_outage`, the platform goes down once one process has.
fn withdraw_and_measure(cluster: &mut Cluster, generation: u32, with_outage: bool) -> Duration {
    let value = format!("{{\"swift@1\":{{\"generation\":{generation},\"grade\":\"withdrawn\"}}}}");
    cluster.put("config/withdrawals", &value);
    let accepted = Instant::now();
    let faults = PlatformFaults { down: with_outage, ..PlatformFaults::default() };
    if with_outage {
        let has_applied = |name: &String| has_withdrawal(cluster, name, generation);
        wait_until("one process has applied the withdrawal", || {
            cluster.members.keys().any(has_applied)
        });
        cluster.set_faults(&faults);
    }
    thread::scope(|scope| {
        for name in cluster.members.keys() {
            let cluster = &*cluster;
            scope.spawn(move || wait_until(name, || has_withdrawal(cluster, name, generation)));
        }
    });
    let elapsed = accepted.elapsed();
    if with_outage {
        cluster.set_faults(&PlatformFaults::default());
    }
    elapsed
}

fn has_withdrawal(cluster: &Cluster, name: &str, generation: u32) -> bool {
    let standing = &cluster.status(name)["withdrawals"]["swift@1"];
    standing["generation"] == generation && standing["grade"] == "withdrawn"
}

/// CPU in percent of a core, resident MB and bytes per second, averaged over all processes.
fn measure_idle_cost(cluster: &Cluster) -> [f64; 3] {
    let pids: Vec<u32> = cluster.members.keys().map(|name| cluster.processes[name].id()).collect();
    let count: f64 = pids.iter().map(|_| 1.0).sum();
    let cpu = || pids.iter().map(|pid| Usage::for_pid(*pid).cpu).sum::<Duration>();
    let (cpu_before, bytes_before) = (cpu(), loopback_bytes());
    thread::sleep(IDLE_TIME);
    let cpu =
        cpu().saturating_sub(cpu_before).as_secs_f64() * 100.0 / IDLE_TIME.as_secs_f64() / count;
    let bytes = (loopback_bytes() - bytes_before) / IDLE_TIME.as_secs_f64() / count;
    let resident: f64 =
        pids.iter().map(|pid| Usage::for_pid(*pid).resident_mb()).sum::<f64>() / count;
    [cpu, resident, bytes]
}
