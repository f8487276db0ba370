//! Server choice without faults: sampling, selection, ties, decay of scores.

mod common;
use common::*;
use laurelroute_policy::interface::*;
use std::collections::BTreeMap;

/// With all queues empty, ties go to the server with the higher score, so that no server outside the top half can
/// win.
#[test]
fn ties_go_to_the_highest_score() {
    let mut bed = TestBed::new(settings(Idempotency::Safe), servers(20), 3);
    let mut counts = BTreeMap::new();
    for k in 0..20 {
        counts.insert(endpoint(k), 0u32);
    }
    for round in 0..400 {
        // A third of the latency target is what a new node expects, so all estimates stay equal.
        let server = bed.served(400 * MS / 3).expect("an idle fleet takes all");
        if round > 50 {
            let better = counts.values().filter(|&&c| c > counts[&server]).count();
            assert!(better < 10, "round {round}: {better} servers had a higher score");
        }
        *counts.get_mut(&server).unwrap() += 1;
    }
    assert!(counts.values().filter(|&&c| c > 0).count() >= 5, "draws are random: {counts:?}");
    assert!(counts.values().filter(|&&c| c == 0).count() >= 5, "the other half never won a tie: {counts:?}");
}

/// With four servers all are sampled, and requests in flight go round in shortest-queue order.
#[test]
fn the_shortest_queue_wins() {
    let mut bed = TestBed::new(settings(Idempotency::Safe), servers(4), 5);
    let mut in_flight = BTreeMap::new();
    for _ in 0..8 {
        let (id, actions) = bed.request();
        let server = sent(&actions, id).expect("sent");
        let mine = *in_flight.entry(server).or_insert(0u32);
        let least = (0..4).map(|k| in_flight.get(&endpoint(k)).copied().unwrap_or(0)).min().unwrap();
        assert_eq!(mine, least, "{in_flight:?}");
        *in_flight.get_mut(&server).unwrap() += 1;
    }
}

/// A server that responds slowly loses its rank to faster ones, and old scores decay.
#[test]
fn a_slow_server_loses_its_rank() {
    let mut bed = TestBed::new(settings(Idempotency::Safe), servers(4), 9);
    let first = bed.served(50 * MS).unwrap();
    let mut late = 0;
    for round in 0..600 {
        bed.now += 20 * MS;
        let (id, actions) = bed.request();
        let server = sent(&actions, id).expect("sent");
        let took = if server == first { 300 * MS } else { 50 * MS };
        bed.outcome(id, server, 0, took, AttemptOutcome::Ok);
        late += u32::from(round >= 300 && server == first);
    }
    assert!(late < 60, "the slow server still got {late} of the last 300");
}

/// A server that fails fast has the shortest queue of all and must not rise in the ranking.
#[test]
fn fast_errors_do_not_attract() {
    let mut bed = TestBed::new(settings(Idempotency::Unsafe), servers(8), 11);
    let bad = bed.served(50 * MS).unwrap();
    let mut hits = 0;
    for _ in 0..400 {
        bed.now += 10 * MS;
        let (id, actions) = bed.request();
        let server = sent(&actions, id).expect("sent");
        if server == bad {
            hits += 1;
            let actions = bed.outcome(id, server, 0, MS, AttemptOutcome::Error);
            assert!(failed(&actions, id));
        } else {
            bed.outcome(id, server, 0, 50 * MS, AttemptOutcome::Ok);
        }
    }
    assert!(hits <= 8, "{hits} of 400 went to the failing server");
}

/// A server that accepts requests and never responds must not look idle.
#[test]
fn a_hung_server_does_not_look_idle() {
    let mut bed = TestBed::new(settings(Idempotency::Unsafe), servers(4), 13);
    let (_, actions) = bed.request();
    let hung = sent(&actions, 1).unwrap();
    for _ in 0..20 {
        bed.served(50 * MS);
    }
    bed.now += 500 * MS;
    for _ in 0..50 {
        assert_ne!(bed.served(50 * MS), Some(hung));
    }
}

/// The local zone serves while it is fast; another is used when there is no server in the local one.
#[test]
fn the_local_zone_is_preferred() {
    let mut list = servers(12);
    for s in &mut list[6..] {
        s.zone = 1;
    }
    let mut bed = TestBed::new(settings(Idempotency::Safe), list.clone(), 17);
    for _ in 0..100 {
        assert!(bed.served(50 * MS).unwrap() < endpoint(6));
    }
    let removed = list[..6].iter().map(|s| Server { phase: Phase::Removed, ..*s }).collect();
    bed.list(ListKind::Changes, removed);
    assert!(bed.served(50 * MS).unwrap() >= endpoint(6));
}

/// Equal settings, seed and events give equal actions.
#[test]
fn equal_events_give_equal_actions() {
    let run = |seed| {
        let mut bed = TestBed::new(settings(Idempotency::Safe), servers(30), seed);
        let mut all = Vec::new();
        for k in 0..300u64 {
            bed.now += 3 * MS;
            let (id, actions) = bed.request();
            let server = sent(&actions, id);
            all.extend(actions);
            if let Some(server) = server.filter(|_| k % 3 != 0) {
                let outcome = if k % 7 == 0 { AttemptOutcome::Error } else { AttemptOutcome::Ok };
                all.extend(bed.outcome(id, server, 0, 40 * MS, outcome));
            }
        }
        all
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}
