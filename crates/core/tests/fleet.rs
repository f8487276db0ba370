//! The cost of applying server lists, counted in servers examined, and which of two servers owns an address.

use laurelroute_core::call::Wire;
use laurelroute_core::fleet::{Fleet, PooledConnection, ServerEntry};
use laurelroute_policy::interface::{Endpoint, ListKind, Nanos, Phase, Server};
use std::net::SocketAddr;

const SECOND: Nanos = 1_000_000_000;

fn address(k: u32) -> SocketAddr {
    (std::net::Ipv4Addr::from(0x7F00_0000 | k), 80).into()
}

fn entry(k: u32, phase: Phase) -> ServerEntry {
    let server = Server { phase, ..Server::warm(Endpoint::default()) };
    ServerEntry { host: format!("server-{k}"), addresses: vec![Some(address(k))], server, attributes: None }
}

fn fleet(servers: u32) -> Fleet {
    let mut fleet = Fleet::with_max_connections(None);
    fleet.update(SECOND, ListKind::Full, (0..servers).map(|k| entry(k, Phase::Ready)).collect());
    fleet
}

/// The number of servers examined to apply these changes one after the other.
fn cost(fleet: &mut Fleet, now: Nanos, changes: Vec<ServerEntry>) -> u64 {
    let before = fleet.servers_examined();
    for change in changes {
        fleet.update(now, ListKind::Changes, vec![change]);
    }
    fleet.servers_examined() - before
}

#[test]
fn a_changed_server_costs_the_same_in_a_fleet_of_any_size() {
    let costs = [100, 20_000].map(|servers| {
        let mut fleet = fleet(servers);
        let mut moved = entry(7, Phase::Ready);
        (moved.addresses, moved.server.started_at) = (vec![Some(address(9))], 5 * SECOND);
        let changes =
            vec![entry(servers, Phase::Ready), entry(3, Phase::Draining), entry(3, Phase::Removed), moved];
        let changed = cost(&mut fleet, 10 * SECOND, changes);
        assert_eq!(
            fleet.address(fleet.endpoint_of("server-9").expect("known"), Wire(0)),
            None,
            "another process owns its address"
        );
        // Removed servers are dropped later, at a cost in proportion to their number.
        assert!(fleet.endpoint_of("server-3").is_some());
        let later = cost(&mut fleet, 70 * SECOND, vec![entry(5, Phase::Ready)]);
        assert_eq!(fleet.endpoint_of("server-3"), None);
        (changed, later)
    });
    assert_eq!(costs[0], costs[1]);
    assert!(costs[0].0 <= 8 && costs[0].1 <= 3, "{costs:?}");
}

#[test]
fn a_full_list_costs_in_proportion_to_its_servers() {
    for servers in [1_000, 20_000u32] {
        let mut fleet = fleet(servers);
        let before = fleet.servers_examined();
        let others =
            (0..servers).map(|k| ServerEntry { host: format!("other-{k}"), ..entry(k, Phase::Ready) });
        let updated = fleet.update(2 * SECOND, ListKind::Full, others.collect());
        let cost = fleet.servers_examined() - before;
        assert_eq!(updated.len(), servers as usize, "the previous servers are removed");
        assert!(cost <= 5 * u64::from(servers), "{servers} servers: {cost}");
    }
}

#[test]
fn the_newer_of_two_servers_owns_the_address_until_it_leaves() {
    let mut fleet = fleet(3);
    let newer = |phase| {
        let server = Server { started_at: SECOND, phase, ..Server::warm(Endpoint::default()) };
        ServerEntry { host: "new".into(), server, ..entry(1, phase) }
    };
    let updated = fleet.update(2 * SECOND, ListKind::Changes, vec![newer(Phase::Ready)]);
    let phases: Vec<Phase> = updated.iter().map(|s| s.phase).collect();
    assert_eq!(phases, [Phase::Ready, Phase::Removed], "the previous owner of the address is gone");
    let address_of =
        |fleet: &Fleet, host: &str| fleet.address(fleet.endpoint_of(host).expect("known"), Wire(0));
    assert_eq!((address_of(&fleet, "server-1"), address_of(&fleet, "new")), (None, Some(address(1))));
    // Listed again it is still the older one, also if both are in one list.
    for list in [vec![entry(1, Phase::Ready)], vec![newer(Phase::Ready), entry(1, Phase::Ready)]] {
        let updated = fleet.update(3 * SECOND, ListKind::Changes, list);
        assert_eq!(updated.last().map(|s| s.phase), Some(Phase::Removed));
        assert_eq!((address_of(&fleet, "server-1"), address_of(&fleet, "new")), (None, Some(address(1))));
    }
    fleet.update(4 * SECOND, ListKind::Changes, vec![newer(Phase::Removed), entry(1, Phase::Ready)]);
    assert_eq!((address_of(&fleet, "server-1"), address_of(&fleet, "new")), (Some(address(1)), None));
}

struct Connection {
    reusable: bool,
}

impl PooledConnection for Connection {
    fn is_reusable(&self) -> bool {
        self.reusable
    }
}

/// Guards against sweeps that examine servers without connections: this took 1.5 us a second and server, 6% of a core
/// with 40,000 servers.
#[test]
fn a_sweep_examines_only_servers_with_connections() {
    let mut fleet = fleet(20_000);
    let add_idle = |fleet: &mut Fleet, k: u32, since: Nanos, reusable: bool| {
        let server = fleet.endpoint_of(&format!("server-{k}")).expect("known");
        fleet.checkin(server, (Wire(0), address(k)), Box::new(Connection { reusable }), (since, since));
    };
    (0..4).for_each(|k| add_idle(&mut fleet, k, (2 + u64::from(k)) * SECOND, k != 3));
    let before = fleet.servers_examined();
    fleet.sweep(3 * SECOND);
    assert_eq!(fleet.servers_examined() - before, 4, "one connection was too old, one had been closed");
    fleet.sweep(3 * SECOND);
    assert_eq!(fleet.servers_examined() - before, 4 + 2, "two servers have no connection left");
    // The connection that has been idle longest is closed first, until there is none.
    let has_connection = |fleet: &mut Fleet, k: u32| {
        let server = fleet.endpoint_of(&format!("server-{k}")).expect("known");
        fleet.checkout::<Connection>(server, Wire(0), 0).is_some()
    };
    assert!(fleet.evict());
    assert_eq!([1, 2].map(|k| has_connection(&mut fleet, k)), [false, true]);
    assert!(!fleet.evict());
    // A server is examined again once it has another connection.
    add_idle(&mut fleet, 1, 9 * SECOND, true);
    assert!(fleet.evict());
}
