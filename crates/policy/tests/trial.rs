//! A server that operators have put back into use is tried soon, regardless of zone and rank.

mod common;
use common::*;
use laurelroute_policy::interface::*;

/// Ten warm servers in the local zone and one in another, which was drained and comes back cold.
fn reinstated(idempotency: Idempotency) -> (TestBed, Endpoint) {
    let remote = Server { zone: 1, ..Server::warm(endpoint(99)) };
    let mut list = servers(10);
    list.push(remote);
    let mut bed = TestBed::new(settings(idempotency), list, 7);
    for _ in 0..300 {
        bed.now += 10 * MS;
        assert_ne!(bed.served(50 * MS), Some(remote.endpoint), "no need to leave the local zone");
    }
    bed.list(ListKind::Changes, vec![Server { phase: Phase::Draining, ..remote }]);
    bed.now += 1_000 * MS;
    bed.list(ListKind::Changes, vec![Server { started_at: bed.now, ..remote }]);
    bed.feed(Event::Reinstated { server: remote.endpoint });
    (bed, remote.endpoint)
}

fn trial_count(bed: &mut TestBed, server: Endpoint, requests: u32) -> usize {
    let mut to = Vec::new();
    for _ in 0..requests {
        bed.now += 10 * MS;
        to.push(bed.served(50 * MS));
    }
    to.into_iter().filter(|s| *s == Some(server)).count()
}

#[test]
fn a_server_is_tried_once_and_then_chosen_like_any_other() {
    let (mut bed, server) = reinstated(Idempotency::Safe);
    assert_eq!(trial_count(&mut bed, server, 300), 1);
}

/// Unsafe requests are not used as trials.
#[test]
fn unsafe_requests_are_not_used_for_trials() {
    let (mut bed, server) = reinstated(Idempotency::Unsafe);
    assert_eq!(trial_count(&mut bed, server, 300), 0);
}

#[test]
fn a_draining_server_is_not_tried() {
    let (mut bed, server) = reinstated(Idempotency::Safe);
    let again = Server { zone: 1, phase: Phase::Draining, ..Server::warm(server) };
    bed.list(ListKind::Changes, vec![again]);
    assert_eq!(trial_count(&mut bed, server, 300), 0);
}
