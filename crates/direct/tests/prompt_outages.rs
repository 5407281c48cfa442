//! Seeded histories in which hardly anything is answered while a part of prompts crashes replicas.

mod prompt_world;

use prompt_world::{Conditions, CrashMoment, World, play_all};
use rand::{Rng, rngs::StdRng};

/// Circumstances drawn from a seed: rates, first moments, waits, returns, sizes and restarts.
fn drawn(rng: &mut StdRng) -> Conditions {
    let replicas = rng.random_range(6..30);
    let shortest_wait = if rng.random_bool(0.5) { 40 } else { rng.random_range(40..1_200) };
    let from = if rng.random_bool(0.5) { 100 } else { rng.random_range(100..8_000) };
    let moments = [CrashMoment::BeforeHead, CrashMoment::AfterHead, CrashMoment::Any];
    let fleet_restarts = if rng.random_bool(0.2) { vec![from + 5_000] } else { Vec::new() };
    Conditions {
        entries: rng.random_range(3..9),
        known_peers: 8,
        replicas,
        routes: rng.random_range(1..4),
        subjects: 8,
        rate: rng.random_range(10.0..60.0),
        crashing: vec![(from, rng.random_range(1.0..25.0))],
        crash_moment: moments[rng.random_range(0..moments.len())],
        restart_delay: rng.random_range(800..5_000),
        shortest_wait,
        longest_wait: shortest_wait + rng.random_range(100..1_000),
        crash_rate: if rng.random_bool(0.3) { 0.2 } else { 0.0 },
        fleet_restarts,
        warm_up: 0,
        ..Conditions::default()
    }
}

#[test]
fn crashing_part_is_refused_though_hardly_anything_is_answered() {
    play_all(50, drawn, World::assert_refused_in_time);
}
