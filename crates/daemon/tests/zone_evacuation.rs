//! Whether a direct entry sends nothing to the replicas of an evacuated zone.

mod direct;

use direct::{
    EntryFixture,
    traffic::{Exchange, Traffic},
    wait_until,
    zones::{
        EVACUATION_DELAY_MS, EXPECTED_DELAY, OK_RESPONSE, add_replica, add_zones, assert_avoided,
        configuration, look, prepare, received, start, wait_for_evacuation, wait_for_log,
        wait_until_used,
    },
};
use ibissail_platform_standin::{Behaviour, CallerRequest, StoreFault, StreamEnding};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Guards against requests that go on to an evacuated zone, and against a zone that stays unused
/// after its evacuation.
#[test]
fn evacuated_zone_gets_nothing_until_the_end() {
    let fixture = start("evacuated");
    let replicas = add_zones(&fixture);
    fixture.wait_ready();
    wait_until_used(&fixture, &replicas);
    fixture.store.evacuate("az-2");
    let evacuated = Instant::now();
    wait_for_evacuation(&fixture, 1);
    assert!(evacuated.elapsed() < EXPECTED_DELAY, "{:?}", evacuated.elapsed());
    assert_avoided(&fixture, &replicas[1], Duration::from_millis(500));
    wait_for_log(&fixture, "zone: evacuated");
    fixture.store.end_evacuation("az-2");
    let ended = Instant::now();
    wait_until_used(&fixture, &replicas);
    assert!(ended.elapsed() < EXPECTED_DELAY + Duration::from_millis(300), "{:?}", ended.elapsed());
    wait_for_log(&fixture, "zone: evacuation ended");
}

/// Guards against a listing of several zones that is applied in part, and against requests that
/// wait, or reach a replica, while all zones are evacuated.
#[test]
fn several_zones_and_then_all_are_evacuated() {
    let fixture = start("all_evacuated");
    let replicas = add_zones(&fixture);
    fixture.wait_ready();
    wait_until_used(&fixture, &replicas);
    fixture.store.evacuate("az-1");
    fixture.store.evacuate("az-2");
    wait_for_evacuation(&fixture, 2);
    for replica in &replicas[..2] {
        assert_avoided(&fixture, replica, Duration::ZERO);
    }
    fixture.store.evacuate("az-3");
    wait_for_evacuation(&fixture, 3);
    let before: usize = replicas.iter().map(received).sum();
    for number in 0..20 {
        let sent_at = Instant::now();
        let response = fixture.send(&look(number));
        assert!(sent_at.elapsed() < Duration::from_millis(300), "{:?}", sent_at.elapsed());
        assert_eq!((response.status, response.error_kind().as_str()), (503, "no_replica"));
        assert!(response.retry_after().is_some());
    }
    assert_eq!(replicas.iter().map(received).sum::<usize>(), before);
    wait_for_log(&fixture, "all zones with replicas are evacuated: az-1, az-2, az-3");
    fixture.store.end_evacuation("az-3");
    wait_until("requests are served", || fixture.send(&look(1)).status == 200);
}

/// Guards against a stream that is cut because its zone is evacuated.
#[test]
fn running_stream_is_finished_in_the_zone() {
    let fixture = start("running_stream");
    let stream = Behaviour::Stream {
        events: 40,
        sent: 41,
        interval: Duration::from_millis(60),
        ending: StreamEnding::Complete,
        confidence: 90,
    };
    let replica = add_replica(&fixture, "w-1", ("writers", "az-1"), stream);
    fixture.wait_ready();
    let callers = fixture.callers;
    let caller = thread::spawn(move || {
        let mut request = CallerRequest::new("POST", "/draft/1", "id-stream");
        request.deadline_ms = 9_000;
        ibissail_platform_standin::send_request(callers, &request)
    });
    wait_until("the stream runs", || received(&replica) == 1);
    fixture.store.evacuate("az-1");
    wait_for_evacuation(&fixture, 1);
    assert_eq!(fixture.metric("evacuation_requests_total"), 1);
    let response = caller.join().expect("the caller ends");
    assert!(response.status == 200 && response.is_complete, "{response:?}");
    assert_eq!(received(&replica), 1);
}

/// Guards against a resumed stream that is sent to a zone which was evacuated after its start.
#[test]
fn broken_stream_is_not_resumed_in_an_evacuated_zone() {
    let fixture = start("broken_stream");
    let stream = |ending| Behaviour::Stream {
        events: 40,
        sent: if ending == StreamEnding::Complete { 41 } else { 30 },
        interval: Duration::from_millis(80),
        ending,
        confidence: 90,
    };
    let broken = ("writers", "az-1");
    let broken = add_replica(&fixture, "w-1", broken, stream(StreamEnding::Truncated));
    fixture.wait_ready();
    let callers = fixture.callers;
    let caller = thread::spawn(move || {
        let mut request = CallerRequest::new("POST", "/draft/1", "id-stream");
        request.deadline_ms = 9_000;
        ibissail_platform_standin::send_request(callers, &request)
    });
    wait_until("the stream runs", || received(&broken) == 1);
    let sound = ("writers", "az-2");
    let sound = add_replica(&fixture, "w-2", sound, stream(StreamEnding::Complete));
    fixture.wait_for_replica(&sound);
    fixture.store.evacuate("az-2");
    wait_for_evacuation(&fixture, 1);
    let response = caller.join().expect("the caller ends");
    assert!(response.status == 200 && !response.is_complete, "{response:?}");
    assert_eq!((received(&broken), received(&sound)), (1, 0));
}

/// Guards against objects in the list that are no evacuation of a zone of this deployment.
#[test]
fn odd_evacuations_do_no_harm() {
    let fixture = start("odd_evacuations");
    let replicas = add_zones(&fixture);
    fixture.wait_ready();
    for name in ["zone~1", "az-77", "zone:1", &"z".repeat(300)] {
        fixture.store.evacuate(name);
    }
    fixture.store.put("evacuations", "az-1", &"no object".into());
    wait_for_evacuation(&fixture, 2);
    assert_avoided(&fixture, &replicas[0], Duration::ZERO);
    wait_until_used(&fixture, &replicas[1..]);
}

/// Guards against an evacuation that is forgotten while the store is down, and against one that is
/// not noticed once the store is back.
#[test]
fn evacuation_holds_while_the_store_is_down() {
    let fixture = start("store_down");
    let replicas = add_zones(&fixture);
    fixture.wait_ready();
    wait_until_used(&fixture, &replicas);
    fixture.store.evacuate("az-2");
    wait_for_evacuation(&fixture, 1);
    for fault in [StoreFault::Unavailable, StoreFault::Unresponsive] {
        fixture.store.set_fault(fault);
        // Longer than the age up to which a listing counts without a failed call.
        assert_avoided(&fixture, &replicas[1], Duration::from_secs(6));
    }
    fixture.store.end_evacuation("az-2");
    fixture.store.evacuate("az-3");
    fixture.store.set_fault(StoreFault::None);
    let returned = Instant::now();
    wait_until("the change is known", || {
        fixture.log().contains("zone: evacuation ended") && fixture.metric("evacuated_zones") == 1
    });
    assert!(returned.elapsed() < Duration::from_secs(3), "{:?}", returned.elapsed());
    assert_avoided(&fixture, &replicas[2], Duration::ZERO);
}

/// Guards against an entry that serves before it knows the evacuations.
#[test]
fn entry_that_starts_during_an_evacuation_serves_nothing_before_it_knows() {
    let mut fixture = prepare("refused_start");
    let replicas = add_zones(&fixture);
    fixture.store.evacuate("az-1");
    fixture.store.refuse_evacuations(true);
    fixture.start_entry();
    fixture.wait_for_replica(&replicas[2]);
    for number in 0..10 {
        let response = fixture.send(&look(number));
        assert_eq!((response.status, response.error_kind().as_str()), (503, "settings_missing"));
        thread::sleep(Duration::from_millis(100));
    }
    assert!(!fixture.is_ready());
    assert_eq!(replicas.iter().map(received).sum::<usize>(), 0);
    fixture.store.refuse_evacuations(false);
    fixture.wait_ready();
    assert_avoided(&fixture, &replicas[0], Duration::from_millis(200));
    fixture.kill();
    fixture.start_entry();
    fixture.wait_ready();
    assert_avoided(&fixture, &replicas[0], Duration::from_millis(200));
}

/// Guards against an entry that stays unready, or serves an evacuated zone, because the store
/// answers its peer but not itself.
#[test]
fn refused_entry_learns_from_its_peer() {
    let fixture = start("refused_a");
    let replicas = add_zones(&fixture);
    fixture.wait_ready();
    fixture.store.evacuate("az-1");
    wait_for_evacuation(&fixture, 1);
    fixture.store.refuse_evacuations(true);
    let peer = fixture.start_peer("refused_b");
    peer.wait_ready();
    assert_eq!(peer.metric("evacuated_zones"), 1);
    wait_for_log(&peer, "\"source\":\"peer\"");
    assert_avoided(&peer, &replicas[0], Duration::from_millis(500));
}

/// Guards against a fleet in which each entry lists for itself, and against one whose entries learn
/// of an evacuation later than the one that lists.
#[test]
fn one_entry_lists_for_the_fleet() {
    let first = start("fleet_evacuation_a");
    let replicas = add_zones(&first);
    let fleet =
        [first.start_peer("fleet_evacuation_b"), first.start_peer("fleet_evacuation_c"), first];
    EntryFixture::wait_for_fleet(&fleet);
    thread::sleep(Duration::from_secs(2));
    let listings = |fleet: &[EntryFixture]| fleet[0].store.calls_of("evacuations");
    let before = listings(&fleet);
    thread::sleep(Duration::from_secs(4));
    let calls = listings(&fleet) - before;
    assert!(calls <= 5, "{calls} listings in four seconds");
    fleet[0].store.evacuate("az-2");
    let evacuated = Instant::now();
    for entry in &fleet {
        wait_for_evacuation(entry, 1);
    }
    assert!(evacuated.elapsed() < EXPECTED_DELAY, "{:?}", evacuated.elapsed());
    for entry in &fleet {
        assert_avoided(entry, &replicas[1], Duration::ZERO);
    }
}

/// Guards against an evacuation that is lost when the store is restored from a copy without it.
#[test]
fn evacuation_survives_a_restore_until_it_is_written_again() {
    let fixture = start("evacuation_restored");
    let replicas = add_zones(&fixture);
    fixture.wait_ready();
    wait_until_used(&fixture, &replicas);
    let copy = fixture.store.copy();
    fixture.store.evacuate("az-2");
    wait_for_evacuation(&fixture, 1);
    fixture.store.restore(&copy);
    assert_avoided(&fixture, &replicas[1], Duration::from_millis(3_500));
    fixture.store.evacuate("az-2");
    assert_avoided(&fixture, &replicas[1], Duration::from_millis(3_500));
    // This time nobody writes it again.
    fixture.store.restore(&copy);
    let restored = Instant::now();
    assert_avoided(&fixture, &replicas[1], Duration::from_millis(3_500));
    wait_until_used(&fixture, &replicas);
    assert!(restored.elapsed() < Duration::from_secs(7), "{:?}", restored.elapsed());
}

/// Guards against a suspended entry that goes on with what it knew before.
#[test]
fn suspended_entry_sends_nothing_on_old_knowledge() {
    let fixture = start("evacuation_suspended");
    let replicas = add_zones(&fixture);
    fixture.wait_ready();
    wait_until_used(&fixture, &replicas);
    fixture.signal("-STOP");
    fixture.store.evacuate("az-1");
    fixture.store.evacuate("az-2");
    thread::sleep(Duration::from_millis(EVACUATION_DELAY_MS + 200));
    let before: Vec<usize> = replicas.iter().map(received).collect();
    let waiting = Traffic::start(&[fixture.callers], Duration::from_millis(2), look);
    thread::sleep(Duration::from_millis(100));
    fixture.signal("-CONT");
    wait_for_evacuation(&fixture, 2);
    let exchanges = waiting.stop();
    let after: Vec<usize> = replicas.iter().map(received).collect();
    assert_eq!(after[..2], before[..2], "requests to evacuated zones");
    assert!(exchanges.iter().any(Exchange::is_served));
}

/// Guards against requests that are served outside of the regions that may serve them.
#[test]
fn requests_stay_in_their_regions() {
    let fixture = start("regions");
    let replicas = add_zones(&fixture);
    fixture.wait_ready();
    wait_until_used(&fixture, &replicas);
    let before: Vec<usize> = replicas.iter().map(received).collect();
    for number in 0..20 {
        let request = CallerRequest::new("GET", "/south/1", &format!("south-{number}"));
        assert_eq!(fixture.send(&request).status, 200);
    }
    assert_eq!(received(&replicas[0]), before[0]);
    assert_eq!(received(&replicas[1]), before[1]);
    assert_eq!(received(&replicas[2]), before[2] + 20);
    let response = fixture.send(&CallerRequest::new("GET", "/nowhere/1", "nowhere-1"));
    assert_eq!((response.status, response.error_kind().as_str()), (503, "no_replica"));
    wait_for_log(&fixture, "no replica is in a region that may serve the request: west");
    fixture.store.evacuate("az-3");
    wait_for_evacuation(&fixture, 1);
    assert_eq!(fixture.send(&CallerRequest::new("GET", "/south/1", "south-x")).status, 503);
}

/// Guards against calls to the store that deployments without evacuations do not expect.
#[test]
fn without_the_setting_no_evacuation_is_read() {
    let fixture = EntryFixture::start("no_evacuations", &configuration());
    let replica = add_replica(&fixture, "r-1", ("records", "az-1"), OK_RESPONSE);
    fixture.wait_ready();
    fixture.store.evacuate("az-1");
    thread::sleep(Duration::from_secs(2));
    wait_until_used(&fixture, &[replica]);
    assert_eq!(fixture.store.calls_of("evacuations"), 0);
}
