//! The scale run's draws, its day, and how it tells that a change is in force.

use laurelroute_rig::scale_model::awaited::{Awaited, State};
use laurelroute_rig::scale_model::fleet::{server_name, server_named, Fleet, Size};
use laurelroute_rig::scale_model::schedule::{drawn, What};
use std::collections::BTreeSet;

#[test]
fn a_fleet_has_the_servers_that_were_asked_for_and_each_its_service() {
    for (size, seed) in [(Size::FULL, 1), (Size::SMALL, 7)] {
        let fleet = Fleet::draw(size, seed);
        assert_eq!(fleet.servers(), size.servers);
        let counted: usize = (0..size.services).map(|s| fleet.size_of(s)).sum();
        assert_eq!(counted, size.servers);
        assert!((0..size.services).all(|s| fleet.size_of(s) > 0));
        for server in (0..size.servers).step_by(97) {
            let service = fleet.service_of(server);
            let first: usize = (0..service).map(|s| fleet.size_of(s)).sum();
            assert!((first..first + fleet.size_of(service)).contains(&server));
            assert_eq!(server_named(&server_name(server)), Some(server));
        }
    }
    let largest = Fleet::draw(Size::FULL, 3).largest();
    assert!((3_000..6_000).contains(&largest), "{largest}");
}

#[test]
fn nodes_use_services_by_popularity_and_not_the_same() {
    let fleet = Fleet::draw(Size::FULL, 5);
    let all: Vec<Vec<usize>> = (0..200).map(|n| fleet.uses(n)).collect();
    assert!(all.iter().all(|u| u.len() == 300 && u.iter().collect::<BTreeSet<_>>().len() == 300));
    assert_eq!(all[7], Fleet::draw(Size::FULL, 5).uses(7));
    let most = all.iter().filter(|u| u.contains(&fleet.most_named())).count();
    assert!(most > 150, "{most} of 200 use what is named most");
    let shared: BTreeSet<usize> = all.iter().flatten().copied().collect();
    assert!(shared.len() > 3_000, "all nodes use the same {} services", shared.len());
}

#[test]
fn zones_and_the_rack_have_their_part_of_the_servers() {
    let fleet = Fleet::draw(Size::FULL, 1);
    let zone = fleet.zone(0).len();
    assert!((19_000..21_000).contains(&zone), "{zone}");
    let nodes = fleet.nodes_of(0).len();
    assert!((200..260).contains(&nodes), "{nodes}");
    let rack = fleet.rack();
    assert_eq!(rack.len(), 60);
    assert!(rack.iter().all(|s| Fleet::zone_of(*s) == 1));
}

#[test]
fn a_day_has_the_changes_that_it_should_in_an_order_that_makes_sense() {
    let steps = drawn(9, 180_000, 600.0, 1.0);
    // 600 s of 50,000 restarts and 36,000 changes of configuration a day.
    let count = |wanted: fn(&What) -> bool| steps.iter().filter(|s| wanted(&s.what)).count();
    let drains = count(|w| *w == What::Drain);
    let sizes = count(|w| matches!(w, What::Size(_)));
    assert!((290..410).contains(&drains), "{drains}");
    assert!((200..300).contains(&sizes), "{sizes}");
    assert_eq!(count(|w| *w == What::Leave), drains);
    assert_eq!(count(|w| *w == What::Join), drains);
    assert!(steps.windows(2).all(|w| w[0].at <= w[1].at));
    let mut state = State { phase: 0, born_ms: 0, share: 1.0 };
    let drained = steps.iter().find(|s| s.what == What::Drain).map(|s| s.server).unwrap();
    let phases: Vec<u8> = steps
        .iter()
        .filter(|s| s.server == drained)
        .map(|s| {
            state = s.what.applied(state, 1_000);
            state.phase
        })
        .collect();
    assert_eq!(phases, [1, 2, 0]);
    assert_eq!(state.born_ms, 1_000);
}

const READY: State = State { phase: 0, born_ms: 0, share: 1.0 };
const DRAINS: State = State { phase: 1, ..READY };
const BACK: State = State { born_ms: 5_000, ..READY };

fn row(awaited: &Awaited, id: usize) -> (u64, u64, Vec<u64>) {
    let told = awaited.told();
    let row = told.as_array().unwrap().iter().find(|r| r["id"] == id).unwrap().clone();
    let took = row["took"].as_array().unwrap().iter().map(|t| t.as_u64().unwrap()).collect();
    (row["expected"].as_u64().unwrap(), row["lagging"].as_u64().unwrap(), took)
}

#[test]
fn a_change_is_in_force_where_its_state_or_a_later_one_is_held() {
    let mut awaited = Awaited::default();
    // Nodes 1 and 2 hold server 7, node 3 does not.
    assert!(awaited.expect(0, 10, 1, 1, 7, &DRAINS, Some(&READY)));
    assert!(awaited.expect(0, 10, 2, 1, 7, &DRAINS, Some(&READY)));
    assert!(!awaited.expect(0, 10, 3, 1, 7, &DRAINS, None));
    awaited.pushed(&[10], 1_000_000_000);
    assert_eq!(awaited.lagging(), 2);
    awaited.held(1_250_000_000, 1, 7, &DRAINS);
    // What was so before is no sign of it.
    awaited.held(1_260_000_000, 2, 7, &READY);
    assert_eq!(row(&awaited, 10), (2, 1, vec![250]));
    // It leaves and is back; node 2 hears of the end alone.
    for node in [1, 2, 3] {
        awaited.expect(0, 11, node, 1, 7, &State::GONE, (node != 3).then_some(&DRAINS));
    }
    for node in [1, 2, 3] {
        // Nodes that held it before it left await it, and only they.
        assert_eq!(awaited.expect(0, 12, node, 1, 7, &BACK, None), node != 3);
    }
    awaited.pushed(&[11, 12], 2_000_000_000);
    assert_eq!(awaited.lagging(), 5);
    awaited.held(3_000_000_000, 2, 7, &BACK);
    assert_eq!(awaited.lagging(), 2);
    awaited.held(3_500_000_000, 1, 7, &State::GONE);
    assert_eq!(row(&awaited, 11), (2, 0, vec![1_000, 1_500]));
    // ... of which the return is none.
    assert_eq!(row(&awaited, 12), (2, 1, vec![1_000]));
    // A life of a node that began after it left need not hold it.
    assert!(!awaited.expect(0, 13, 2, 2, 7, &BACK, None));
}

#[test]
fn a_node_that_has_ended_is_not_awaited_and_one_that_drops_the_server_uses_no_old_state() {
    let mut awaited = Awaited::default();
    for node in [1, 2] {
        awaited.expect(3, 1, node, 1, 7, &DRAINS, Some(&READY));
        awaited.expect(3, 2, node, 1, 8, &BACK, Some(&READY));
    }
    awaited.pushed(&[1, 2], 0);
    awaited.gone(1);
    assert_eq!(awaited.lagging(), 2);
    awaited.held(4_000_000, 2, 7, &State::GONE);
    assert_eq!(row(&awaited, 1), (2, 0, vec![4]));
    awaited.held(4_000_000, 2, 8, &State::GONE);
    assert_eq!(awaited.lagging(), 1, "a server that is to be there is not held once it is gone");
}
