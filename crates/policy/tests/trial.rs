//! A server that operators have put back is tried soon, wherever it stands.

mod common;
use common::*;
use laurelroute_policy::interface::*;

/// Ten warm servers at home and one elsewhere, which was taken out and comes back cold.
fn put_back(idempotency: Idempotency) -> (Bed, Endpoint) {
    let away = Server { zone: 1, ..Server::warm(endpoint(99)) };
    let mut list = servers(10);
    list.push(away);
    let mut bed = Bed::new(settings(effect), list, 7);
    for _ in 0..300 {
        bed.now += 10 * MS;
        assert_ne!(bed.served(50 * MS), Some(away.endpoint), "no need to cross");
    }
    bed.list(ListKind::Changes, vec![Server { phase: Phase::Draining, ..away }]);
    bed.now += 1_000 * MS;
    bed.list(ListKind::Changes, vec![Server { started_at: bed.now, ..away }]);
    bed.feed(Event::Reinstated { server: away.endpoint });
    (bed, away.endpoint)
}

fn tries(bed: &mut Bed, server: Endpoint, requests: u32) -> usize {
    let mut to = Vec::new();
    for _ in 0..requests {
        bed.now += 10 * MS;
        to.push(bed.served(50 * MS));
    }
    to.into_iter().filter(|s| *s == Some(server)).count()
}

#[test]
fn it_is_tried_once_and_then_chosen_like_any_other() {
    let (mut bed, server) = put_back(Idempotency::Safe);
    assert_eq!(tries(&mut bed, server, 300), 1);
}

/// What must not run twice is no trial.
#[test]
fn nothing_unsafe_is_tried_with() {
    let (mut bed, server) = put_back(Idempotency::Unsafe);
    assert_eq!(tries(&mut bed, server, 300), 0);
}

#[test]
fn one_that_drains_again_is_not_tried() {
    let (mut bed, server) = put_back(Idempotency::Safe);
    let again = Server { zone: 1, phase: Phase::Draining, ..Server::warm(server) };
    bed.list(ListKind::Changes, vec![again]);
    assert_eq!(tries(&mut bed, server, 300), 0);
}
