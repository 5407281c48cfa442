//! Measures the time to choose a replica, and the memory of the membership, by the number of
//! replicas.

use ibissail_core::{Incarnation, Millis, Target, VmId, ZoneId};
use ibissail_execution::{Load, ProbeReply, SidecarState};
use ibissail_object_store::{VmRecord, VmRole, VmState};
use ibissail_routing::{Membership, choose_replica};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::BTreeSet, fs, hint::black_box, time::Instant};

const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];
const VERSIONS: u32 = 16;
const CHOICES: u32 = 20_000;
const SEED: u64 = 1;

fn main() {
    println!(
        "{:>10} {:>22} {:>22} {:>14}",
        "replicas", "16 versions, us", "1 version, us", "memory, MiB"
    );
    for size in SIZES {
        let before = resident_kb();
        let many = membership(size, VERSIONS);
        let memory = resident_kb().saturating_sub(before);
        let one = membership(size, 1);
        println!(
            "{size:>10} {:>22.2} {:>22.2} {:>14.1}",
            choice_time_us(&many),
            choice_time_us(&one),
            f64::from(memory) / 1024.0
        );
    }
}

fn choice_time_us(membership: &Membership) -> f64 {
    let mut rng = StdRng::seed_from_u64(SEED);
    let target: Target = "swift@0".parse().expect("a target");
    let zone: ZoneId = "az-1".parse().expect("a zone");
    let tried = BTreeSet::new();
    let started = Instant::now();
    for _ in 0..CHOICES {
        black_box(choose_replica(membership, &target, &zone, &tried, Millis(1), &mut rng));
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES)
}

fn membership(size: u32, versions: u32) -> Membership {
    let mut rng = StdRng::seed_from_u64(SEED);
    let records: Vec<VmRecord> = (0..size).map(|number| record(number, versions)).collect();
    let mut membership = Membership::default();
    membership.on_list(&records, Millis(0));
    for record in records {
        let reply = ProbeReply {
            vm: record.vm,
            incarnation: Incarnation(1),
            offers: record.offers.expect("an upstream"),
            state: SidecarState::Ready,
            load: Load { in_flight: rng.random_range(0..16), concurrency: 16 },
            ticket: Millis(1),
            digest: 0,
        };
        membership.on_probe(&reply, Millis(0));
    }
    membership
}

fn record(number: u32, versions: u32) -> VmRecord {
    let vm: VmId = format!("upstream-{number}").parse().expect("a name");
    VmRecord {
        vm,
        zone: format!("az-{}", number % 24).parse().expect("a zone"),
        role: VmRole::Upstream,
        address: ([10, 0, 0, 1], 8_000).into(),
        state: VmState::Live,
        offers: Some(format!("swift@{}", number % versions).parse().expect("a target")),
    }
}

fn resident_kb() -> u32 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
