//! Cost of list updates: counted visits to servers, in fleets of two sizes.

mod common;

use common::{settings, TestBed, MS};
use laurelroute_policy::interface::*;

fn endpoint(k: u32) -> Endpoint {
    Endpoint { address: k.wrapping_mul(0x9E37_79B9).to_be_bytes(), port: 80 }
}

fn server(k: u32) -> Server {
    Server { zone: (k % 9) as u8, size: 1.0 + (k % 7) as f32, ..Server::warm(endpoint(k)) }
}

/// A test bed with this many servers in nine zones, and this many nodes sharing them.
fn bed(servers: u32, nodes: u32) -> TestBed {
    let settings = Settings { group_size: nodes, ordinal: nodes / 3, ..settings(Idempotency::Safe) };
    TestBed::new(settings, (0..servers).map(server).collect(), 7)
}

/// The cost of applying a list.
fn update_cost(bed: &mut TestBed, kind: ListKind, servers: Vec<Server>) -> u64 {
    let before = bed.balancer.list_update_steps();
    bed.list(kind, servers);
    bed.balancer.list_update_steps() - before
}

/// Costs of: adding a server, a restart, draining, removing and re-adding one.
fn changes(bed: &mut TestBed, servers: u32) -> [u64; 5] {
    let now = bed.now;
    let cold = |k| Server { started_at: now, ..server(k) };
    let phase = |phase| Server { phase, ..server(11) };
    [cold(servers), cold(5), phase(Phase::Draining), phase(Phase::Removed), cold(11)]
        .map(|server| update_cost(bed, ListKind::Changes, vec![server]))
}

#[test]
fn a_full_list_costs_linear_time() {
    for nodes in [1, 2_100] {
        for count in [1_000, 10_000] {
            let mut bed = bed(count, nodes);
            let list: Vec<Server> = (0..count).map(server).collect();
            let again = update_cost(&mut bed, ListKind::Full, list.clone());
            assert!(again <= 2 * u64::from(count), "{nodes} nodes, {count} servers: {again}");
            let others: Vec<Server> = (count..2 * count).map(server).collect();
            let all = update_cost(&mut bed, ListKind::Full, others);
            assert!(all <= 6 * u64::from(count), "{nodes} nodes, {count} other servers: {all}");
        }
    }
}

#[test]
fn new_servers_reuse_slots_without_a_search() {
    let count = 10_000;
    let mut bed = bed(count, 1);
    bed.list(ListKind::Full, Vec::new());
    bed.now += 2_000 * MS;
    let cost = update_cost(&mut bed, ListKind::Changes, (count..2 * count).map(server).collect());
    assert_eq!(bed.balancer.tracked_servers(), count as usize);
    assert!(cost <= 3 * u64::from(count), "{cost}");
    // The earlier servers have lost their slots; the present ones keep theirs.
    bed.now += 2_000 * MS;
    let cost = update_cost(&mut bed, ListKind::Changes, (0..100).map(server).collect());
    assert_eq!(bed.balancer.tracked_servers(), count as usize + 100);
    assert!(cost <= 100, "{cost}");
}

#[test]
fn a_changed_server_costs_the_same_in_a_fleet_of_any_size() {
    for nodes in [1, 9] {
        let [small, large] = [1_000, 20_000].map(|servers| changes(&mut bed(servers, nodes), servers));
        assert_eq!(
            [small[0], small[1], small[3], small[4]],
            [large[0], large[1], large[3], large[4]],
            "{nodes} nodes"
        );
        assert!(small[0] <= 1 && small[1] == 0, "{nodes} nodes: {small:?}");
        // Servers ranked behind the draining one, in its zone, each get another rank.
        assert!(large[2] <= 20_000 / 9 + 1, "{nodes} nodes: {large:?}");
    }
    // Many nodes rank a subset of each zone; a change costs that subset of its zone, and of those with servers in
    // slow start.
    let [small, large] = [1_000, 20_000].map(|servers| changes(&mut bed(servers, 2_100), servers));
    let most = |servers: f64| 8 * ((servers / 9.0 * 3.0 / (2_100.0 / 9.0)).max(6.0) + 2.0) as u64;
    for (cost, servers) in small.iter().chain(&large).zip([[1_000.0; 5], [20_000.0; 5]].as_flattened()) {
        assert!(*cost <= most(*servers), "{small:?} {large:?}");
    }
}

#[test]
fn a_server_that_changes_its_zone_stays_in_use() {
    let mut bed = TestBed::new(settings(Idempotency::Safe), vec![Server::warm(endpoint(1))], 1);
    let moved = Server { zone: 3, ..Server::warm(endpoint(1)) };
    bed.list(ListKind::Changes, vec![moved]);
    assert_eq!(bed.served(MS), Some(endpoint(1)));
    bed.list(ListKind::Changes, vec![Server { phase: Phase::Removed, ..moved }]);
    assert_eq!(bed.served(MS), None);
}
