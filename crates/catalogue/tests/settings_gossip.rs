//! Settings documents reach every process in any order of exchanges, and never revert to an older
//! revision.

use ibissail_catalogue::{
    Document, Documents, Exchange, PUSH_FANOUT, choose_peers, handle_exchange, initial_exchange,
    is_watcher, merge_documents,
};
use ibissail_core::{Revision, VmId};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::BTreeSet, net::SocketAddr};

const SEEDS: u64 = 200;

fn document(key: &str, revision: u64) -> Document {
    let value = Some(format!("{key} at {revision}"));
    Document { key: key.to_owned(), revision: Revision(revision), value }
}

/// One complete exchange, with the same steps as in the daemon.
fn exchange(from: &mut Documents, to: &mut Documents) {
    let first = initial_exchange(from, Vec::new());
    let (_, reply) = handle_exchange(to, first.clone());
    if reply.digest == from.digest() {
        return;
    }
    let (_, reply) = handle_exchange(to, Exchange { revisions: Some(from.revisions()), ..first });
    let wanted = reply.wanted.iter().filter_map(|key| from.get(key).cloned()).collect();
    let offer = Exchange { documents: wanted, ..initial_exchange(from, Vec::new()) };
    handle_exchange(to, offer);
    merge_documents(from, reply.documents);
}

#[test]
fn random_exchanges_converge_and_revisions_only_increase() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut processes = vec![Documents::default(); 8];
        let mut newest = 0;
        for _ in 0..40 {
            newest += 1;
            let key = format!("config/branches/root/{}", rng.random_range(0..4));
            let at = rng.random_range(0..processes.len());
            processes[at].merge(document(&key, newest));
            exchange_between_random_pair(&mut processes, &mut rng);
        }
        let mut rounds = 0;
        while processes.iter().any(|process| *process != processes[0]) {
            exchange_between_random_pair(&mut processes, &mut rng);
            rounds += 1;
            assert!(rounds < 10_000, "seed {seed} does not converge");
        }
    }
}

fn exchange_between_random_pair(processes: &mut [Documents], rng: &mut StdRng) {
    let from = rng.random_range(0..processes.len());
    let to = rng.random_range(0..processes.len());
    if from == to {
        return;
    }
    let mut one = processes[from].clone();
    let mut other = processes[to].clone();
    let before = [one.clone(), other.clone()];
    exchange(&mut one, &mut other);
    for (old, new) in before.iter().zip([&one, &other]) {
        for known in old.revisions() {
            assert!(new.revision(&known.key) >= Some(known.revision), "a revision decreased");
        }
    }
    assert_eq!(one, other, "after an exchange both processes have the newest documents");
    processes[from] = one;
    processes[to] = other;
}

#[test]
fn pushed_documents_reach_nearly_all_processes() {
    let addresses: BTreeSet<SocketAddr> =
        (0..300_u16).map(|port| SocketAddr::from(([127, 0, 0, 1], 1_000 + port))).collect();
    let mut total_reached = 0;
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let first = *addresses.first().expect("peers");
        let mut reached = BTreeSet::from([first]);
        let mut queue = vec![first];
        while let Some(process) = queue.pop() {
            for peer in choose_peers(&addresses, Some(process), PUSH_FANOUT, &mut rng) {
                if reached.insert(peer) {
                    queue.push(peer);
                }
            }
        }
        total_reached += reached.len();
    }
    let percent = total_reached * 100 / (addresses.len() * 200);
    assert!(percent >= 97, "only {percent}% of the processes are reached without anti-entropy");
}

#[test]
fn removing_a_watcher_replaces_only_that_watcher() {
    let zone: Vec<VmId> = (0..100).map(|n| format!("vm-{n}").parse().expect("a name")).collect();
    let watchers = |zone: &[VmId]| -> BTreeSet<VmId> {
        zone.iter().filter(|vm| is_watcher(vm, zone, 2)).cloned().collect()
    };
    let before = watchers(&zone);
    assert_eq!(before.len(), 2);
    let removed = before.first().cloned().expect("a watcher");
    let remaining: Vec<VmId> = zone.into_iter().filter(|vm| *vm != removed).collect();
    let after = watchers(&remaining);
    assert_eq!(after.len(), 2);
    assert_eq!(before.intersection(&after).count(), 1);
}
