//! Records with odd names in a listing of several pages do not keep an entry from using the others.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, ReplicaStandin, RouteSpec, StoreStandin,
    odd_names, odd_records, rollout_spec,
};
use std::time::Duration;

/// Its rollout is listed behind those with odd names.
const SERVICE: &str = "yards";
const RESPOND: Behaviour = Behaviour::Respond(200, Duration::from_millis(5));
/// Records of a page of the stand-in.
const PAGE: usize = 3;
const KINDS: [&str; 4] = ["servers", "config", "rollouts", "evacuations"];

fn configuration() -> ConfigurationSpec {
    let lookups = RouteSpec::new("/lookups/", "safe", SERVICE);
    ConfigurationSpec { version: 1, routes: vec![lookups], organisations: Vec::new() }
}

/// Leaves out the first `skipped` odd names, so that others stand at the ends of the pages.
fn put_odd_names(store: &StoreStandin, kind: &str, skipped: usize) {
    let record = odd_records(SERVICE).swap_remove(0);
    for name in odd_names("m").into_iter().skip(skipped) {
        store.put_raw(kind, &name, &record);
    }
}

fn assert_served(entry: &EntryFixture, id: &str) {
    let response = entry.send(&CallerRequest::new("GET", "/lookups/1", id));
    assert_eq!(response.status, 200, "{id}: {response:?}");
}

fn wait_until_used(entry: &EntryFixture, replica: &ReplicaStandin) {
    let mut sent = 0;
    wait_until("the replica is used", || {
        sent += 1;
        assert_served(entry, &format!("{}-{sent}", replica.id()));
        replica.run_count() > 0
    });
}

/// Guards against an entry that serves nothing from its start on.
#[test]
fn entry_starts_beside_odd_names() {
    for skipped in 0..PAGE {
        let store = StoreStandin::start();
        configuration().apply(&store);
        for kind in KINDS {
            put_odd_names(&store, kind, skipped);
        }
        let mut entry = EntryFixture::without_entry(&format!("odd_names_{skipped}"), store);
        entry.evacuation_delay_ms = Some(2_000);
        let first = entry.add_replica("a-guides", SERVICE, RESPOND);
        let last = entry.add_replica("z-guides", SERVICE, RESPOND);
        entry.start_entry();
        entry.wait_ready();
        wait_until_used(&entry, &first);
        wait_until_used(&entry, &last);
    }
}

/// Guards against an entry that serves nothing once it has to list again.
#[test]
fn entry_lists_again_beside_odd_names() {
    for skipped in 0..PAGE {
        let entry = EntryFixture::start(&format!("odd_list_{skipped}"), &configuration());
        let first = entry.add_replica("a-guides", SERVICE, RESPOND);
        entry.wait_ready();
        wait_until_used(&entry, &first);
        for kind in KINDS {
            put_odd_names(&entry.store, kind, skipped);
        }
        let restored_from = entry.store.copy();
        let last = entry.add_replica("z-guides", SERVICE, RESPOND);
        wait_until_used(&entry, &last);
        entry.store.restore(&restored_from);
        entry.store.register_replica(&last, SERVICE, "v1", false);
        entry.store.remove("servers", first.id());
        wait_until("the last replica serves alone", || {
            let before = first.run_count();
            (0..10).for_each(|number| assert_served(&entry, &format!("again-{number}")));
            first.run_count() == before
        });
    }
}

/// Guards against a rollout that never begins.
#[test]
fn rollout_begins_behind_odd_names() {
    for skipped in 0..PAGE {
        let store = StoreStandin::start();
        configuration().apply(&store);
        put_odd_names(&store, "rollouts", skipped);
        store.put("rollouts", SERVICE, &rollout_spec(SERVICE, "v2", 20.0));
        let mut entry = EntryFixture::without_entry(&format!("odd_order_{skipped}"), store);
        let _old = entry.add_replica("r-old", SERVICE, RESPOND);
        let _new = entry.add_version("r-new", SERVICE, "v2", RESPOND);
        entry.start_entry();
        entry.wait_ready();
        wait_until("the rollout runs", || entry.rollout_state(SERVICE) == "running");
    }
}

/// Guards against a record that replaces the rollout of the service that it names.
#[test]
fn rollout_under_another_name_is_invalid() {
    for name in ["m", "z-1"].into_iter().map(str::to_owned).chain(odd_names("m").drain(..1)) {
        let test = format!("odd_rollout_{}", name.len());
        let entry = EntryFixture::start(&test, &configuration());
        let _old = entry.add_replica("r-old", SERVICE, RESPOND);
        let new = entry.add_version("r-new", SERVICE, "v2", RESPOND);
        entry.wait_ready();
        entry.store.put("rollouts", SERVICE, &rollout_spec(SERVICE, "v2", 4.0));
        entry.store.put("rollouts", &name, &rollout_spec(SERVICE, "v3", 4.0));
        let mut sent = 0;
        wait_until("the rollout succeeds", || {
            sent += 1;
            assert_served(&entry, &format!("{name}-{sent}"));
            entry.rollout_state(SERVICE) == "succeeded"
        });
        assert!(new.run_count() > 0, "{name:?}");
    }
}

/// Guards against requests to a zone whose evacuation stands behind odd names.
#[test]
fn zone_is_evacuated_behind_odd_names() {
    for skipped in 0..PAGE {
        let store = StoreStandin::start();
        configuration().apply(&store);
        put_odd_names(&store, "evacuations", skipped);
        store.evacuate("z-zone");
        let mut entry = EntryFixture::without_entry(&format!("odd_zone_{skipped}"), store);
        entry.evacuation_delay_ms = Some(2_000);
        let replica = entry.add_replica("r-1", SERVICE, RESPOND);
        entry.start_entry();
        entry.wait_ready();
        wait_until_used(&entry, &replica);
        assert_eq!(entry.metric("evacuated_zones"), 1);
    }
}
