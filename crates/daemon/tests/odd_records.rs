//! One record that cannot be read does not keep an entry from reading the others.

mod direct;

use direct::{EntryFixture, wait_until};
use ibissail_platform_standin::{
    Behaviour, CallerRequest, ConfigurationSpec, RouteSpec, StoreStandin, extreme_records,
    extreme_rollout, nested_array, odd_records, rollout_spec,
};
use std::time::Duration;

const RESPOND: Behaviour = Behaviour::Respond(200, Duration::from_millis(5));

fn configuration() -> ConfigurationSpec {
    let lookups = RouteSpec::new("/lookups/", "safe", "guides");
    ConfigurationSpec { version: 1, routes: vec![lookups], organisations: Vec::new() }
}

fn put_odd_records(store: &StoreStandin, kind: &str) {
    for (number, record) in odd_records("guides").iter().enumerate() {
        // Names before and after those of the replicas.
        for prefix in ["a", "z"] {
            store.put_raw(kind, &format!("{prefix}-odd-{number}"), record);
        }
    }
}

fn assert_served(entry: &EntryFixture, id: &str) {
    let response = entry.send(&CallerRequest::new("GET", "/lookups/1", id));
    assert_eq!(response.status, 200, "{response:?}");
}

#[test]
fn odd_records_do_not_end_the_watch_of_replicas() {
    let entry = EntryFixture::start("odd_watch", &configuration());
    let first = entry.add_replica("m-guides-1", "guides", RESPOND);
    entry.wait_ready();
    assert_served(&entry, "before");

    put_odd_records(&entry.store, "servers");
    let second = entry.add_replica("m-guides-2", "guides", RESPOND);
    entry.wait_for_replica(&second);
    entry.store.remove("servers", first.id());
    wait_until("the first replica is removed", || {
        entry
            .log()
            .lines()
            .any(|line| line.contains("replicas: removed") && line.contains(first.id()))
    });
    assert_served(&entry, "after");
}

#[test]
fn entry_starts_beside_odd_records_of_all_kinds() {
    let store = StoreStandin::start();
    configuration().apply(&store);
    for kind in ["servers", "config", "rollouts", "evacuations"] {
        put_odd_records(&store, kind);
    }
    let mut entry = EntryFixture::without_entry("odd_start", store);
    entry.evacuation_delay_ms = Some(2_000);
    let _replica = entry.add_replica("m-guides-1", "guides", RESPOND);
    entry.start_entry();
    entry.wait_ready();
    assert_served(&entry, "started");
}

#[test]
fn rollout_proceeds_beside_odd_records() {
    let entry = EntryFixture::start("odd_rollout", &configuration());
    let _old = entry.add_replica("m-old", "guides", RESPOND);
    let _new = entry.add_version("m-new", "guides", "v2", RESPOND);
    entry.wait_ready();
    put_odd_records(&entry.store, "rollouts");
    entry.store.put("rollouts", "guides", &rollout_spec("guides", "v2", 20.0));
    wait_until("the rollout runs", || entry.rollout_state("guides") == "running");
}

#[test]
fn odd_record_ends_the_use_of_its_replica_alone() {
    let entry = EntryFixture::start("odd_replica", &configuration());
    let first = entry.add_replica("m-guides-1", "guides", RESPOND);
    let second = entry.add_replica("m-guides-2", "guides", RESPOND);
    entry.wait_for_replica(&first);
    entry.wait_for_replica(&second);
    entry.wait_ready();
    entry.store.put_raw("servers", first.id(), &nested_array(200));
    wait_until("the first replica is not used", || {
        let before = first.run_count();
        for number in 0..40 {
            assert_served(&entry, &format!("odd-{before}-{number}"));
        }
        first.run_count() == before
    });
}

#[test]
fn extreme_numbers_do_not_end_the_entry() {
    let store = StoreStandin::start();
    configuration().apply(&store);
    for (number, record) in extreme_records("guides").iter().enumerate() {
        store.put_raw("servers", &format!("a-extreme-{number}"), record);
    }
    store.put_raw("rollouts", "guides", &extreme_rollout("guides"));
    let mut entry = EntryFixture::without_entry("odd_extreme", store);
    entry.cold_limits = Some((1.5, 5.0));
    let _replica = entry.add_replica("m-guides-1", "guides", RESPOND);
    entry.start_entry();
    entry.wait_ready();
    for number in 0..40 {
        assert_served(&entry, &format!("extreme-{number}"));
    }
    assert!(!entry.has_exited(), "the entry runs");
    assert!(!entry.log().contains("panicked"), "no task of the entry has ended");
}
