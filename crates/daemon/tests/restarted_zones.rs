//! An entry that restarts on a restored store sends nothing to a zone whose evacuation the store has
//! lost, and one whose whole fleet has restarted serves soon.

mod direct;

use direct::{
    EntryFixture, wait_until,
    zones::{add_zones, assert_avoided, look, received, start, wait_for_evacuation, wait_for_log},
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Guards against an entry that restarts right after a restore and uses a zone whose evacuation only
/// its peers still know.
#[test]
fn entry_that_restarts_after_a_restore_learns_from_its_peer() {
    let first = start("restart_restored_a");
    let replicas = add_zones(&first);
    let copy = first.store.copy();
    let mut fleet = [first.start_peer("restart_restored_b"), first];
    EntryFixture::wait_for_fleet(&fleet);
    fleet[1].store.evacuate("az-2");
    for entry in &fleet {
        wait_for_evacuation(entry, 1);
    }
    fleet[1].store.restore(&copy);
    let restored = Instant::now();
    wait_for_log(&fleet[1], "store: restored from an older copy");
    // The peer has listed since, so that its list is not of the earlier epoch.
    thread::sleep(Duration::from_millis(300));
    fleet[0].kill();
    fleet[0].start_entry();
    fleet[0].wait_ready();
    let left = Duration::from_millis(3_500).saturating_sub(restored.elapsed());
    assert_avoided(&fleet[0], &replicas[1], left);
}

/// Guards against a fleet whose entries wait for each other after they have all restarted.
#[test]
fn fleet_that_restarts_serves_soon() {
    let first = start("restart_all_a");
    add_zones(&first);
    let mut fleet = [first.start_peer("restart_all_b"), first];
    EntryFixture::wait_for_fleet(&fleet);
    fleet.iter_mut().for_each(EntryFixture::kill);
    let seeds = vec![fleet[0].callers, fleet[1].callers];
    let restarted = Instant::now();
    for entry in &mut fleet {
        entry.set_seeds(seeds.clone());
        entry.start_entry();
    }
    for entry in &fleet {
        wait_until("requests are served", || entry.send(&look(1)).status == 200);
    }
    assert!(restarted.elapsed() < Duration::from_millis(1_500), "{:?}", restarted.elapsed());
}

/// Guards against an entry that believes a restored store because its seeds are gone.
#[test]
fn entry_with_stale_seeds_waits_for_its_peers_after_a_restore() {
    for (name, down) in [("soon", 300), ("late", 4_000)] {
        let first = start(&format!("stale_restored_{name}_a"));
        let replicas = add_zones(&first);
        let copy = first.store.copy();
        let mut fleet = [first.start_peer(&format!("stale_restored_{name}_b")), first];
        EntryFixture::wait_for_fleet(&fleet);
        fleet[1].store.evacuate("az-2");
        for entry in &fleet {
            wait_for_evacuation(entry, 1);
        }
        fleet[0].kill();
        thread::sleep(Duration::from_millis(down));
        fleet[1].store.restore(&copy);
        let seeds = ["127.255.1.1:4000", "127.255.1.2:4000"];
        fleet[0].set_seeds(seeds.map(|seed| seed.parse().expect("an address")).into());
        fleet[0].start_entry();
        let (restored, before) = (Instant::now(), received(&replicas[1]));
        let mut statuses = Vec::new();
        // The time for which the fleet holds what a restore has lost.
        while restored.elapsed() < Duration::from_millis(3_500) {
            statuses.push(fleet[0].send(&look(statuses.len())).status);
            thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(received(&replicas[1]), before, "{name}: requests to an evacuated zone");
        assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{name}: {statuses:?}");
        assert_eq!(statuses.last(), Some(&200), "{name}");
    }
}
