//! Requests split between two pools during a traffic shift.

mod common;

use common::*;
use laurelroute_policy::interface::*;
use std::collections::BTreeMap;

/// Servers 0 to 3 are the old pool, 4 to 7 the new one; 8 is in neither.
fn bed(share: f64) -> TestBed {
    let mut bed = TestBed::new(Settings { hedging: false, ..settings(Idempotency::Safe) }, servers(9), 3);
    split(&mut bed, share);
    bed
}

fn split(bed: &mut TestBed, share: f64) {
    let pools: BTreeMap<_, _> = (0..8).map(|k| (endpoint(k), k >= 4)).collect();
    bed.feed(Event::Split(Some(TrafficSplit { shares: vec![share], pools })));
}

fn hash_position(position: f64) -> u32 {
    (position * f64::from(u32::MAX)) as u32
}

/// Sends a request at a position on the hash, delivers its response at once and returns its server.
fn destination(bed: &mut TestBed, id: RequestId, position: f64) -> u8 {
    bed.now += 10 * MS;
    let request = Request { split_position: hash_position(position), ..Request::new(id, bed.now + 800 * MS) };
    let actions = bed.feed(Event::Request(request));
    let server = sent(&actions, id).expect("a server is available");
    bed.outcome(id, server, 0, 20 * MS, AttemptOutcome::Ok);
    server.address[3]
}

#[test]
fn a_request_goes_to_the_pool_of_its_position_at_every_share() {
    let mut bed = bed(0.2);
    for (round, share) in [0.2, 0.5, 1.0, 0.0].into_iter().enumerate() {
        split(&mut bed, share);
        for id in 0..400 {
            let position = (f64::from(id) + 0.5) / 400.0;
            let at = destination(&mut bed, 1 + round as u32 * 1000 + id, position);
            let new = at >= 4;
            assert!(
                at == 8 || new == (position < share),
                "position {position} went to {at} at a share of {share}"
            );
        }
    }
    bed.feed(Event::Split(None));
    let seen: std::collections::BTreeSet<u8> =
        (0..400).map(|k| destination(&mut bed, 9000 + k, 0.9)).collect();
    assert!(seen.iter().any(|at| (4..8).contains(at)), "pools are no longer distinguished");
}

#[test]
fn failures_in_the_new_pool_are_retried_in_the_old_one() {
    let mut bed = bed(1.0);
    for id in 1..=50 {
        bed.now += 50 * MS;
        let actions = bed.feed(Event::Request(Request::new(id, bed.now + 800 * MS)));
        let first = sent(&actions, id).expect("the new pool has servers");
        let again = bed.outcome(id, first, 0, 5 * MS, AttemptOutcome::Rejected);
        if first.address[3] == 8 {
            continue;
        }
        let second = sent(&again, id).expect("a retry of a rejected request is free");
        assert!(second.address[3] < 4 || second.address[3] == 8, "again to {second:?}");
        bed.outcome(id, second, 1, 20 * MS, AttemptOutcome::Ok);
    }
}

#[test]
fn the_other_pool_serves_when_one_is_removed() {
    let mut bed = bed(1.0);
    let removed = (4..9).map(|k| Server { phase: Phase::Removed, ..Server::warm(endpoint(k)) }).collect();
    bed.list(ListKind::Changes, removed);
    assert!(destination(&mut bed, 1, 0.5) < 4);
    let mut bed = self::bed(0.0);
    let removed =
        (0..4).chain([8]).map(|k| Server { phase: Phase::Removed, ..Server::warm(endpoint(k)) }).collect();
    bed.list(ListKind::Changes, removed);
    assert!((4..8).contains(&destination(&mut bed, 1, 0.5)));
}
