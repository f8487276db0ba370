//! Clients beyond the places: as many as there are descriptors for, and few.

use laurelroute_core::budget::Budget;

/// Guards against more descriptors than the limit, and against a full node that has no overflow, whoever came first.
#[test]
fn a_full_node_has_an_overflow_and_keeps_within_the_descriptors() {
    for limit in [28, 32, 48, 64, 256, 1_000] {
        for servers_first in [true, false] {
            let budget = Budget::new(limit, 64, 0);
            let servers = || std::iter::from_fn(|| budget.acquire_server()).collect::<Vec<_>>();
            let clients = || {
                let one = || (!budget.clients_exhausted()).then(|| budget.acquire_client());
                std::iter::from_fn(one).collect::<Vec<_>>()
            };
            let (_servers, clients) = match servers_first {
                true => (servers(), clients()),
                false => {
                    let clients = clients();
                    (servers(), clients)
                }
            };
            let overflow: Vec<_> = std::iter::from_fn(|| budget.acquire_overflow()).collect();
            assert!(budget.descriptors_in_use() <= limit, "{} of {limit}", budget.descriptors_in_use());
            assert!(!overflow.is_empty(), "{limit}, servers first: {servers_first}");
            assert!(overflow.len() <= (clients.len() / 16).max(1), "{} of {limit}", overflow.len());
            assert!(budget.acquire_server().is_none(), "{limit}: what is left is nobody's");
        }
    }
}

/// Guards against an overflow that stays taken, and against one that a node without servers does not have.
#[test]
fn a_client_beyond_the_places_gives_its_descriptor_back() {
    let budget = Budget::new(48, 64, 16);
    let mut clients = Vec::new();
    while !budget.clients_exhausted() {
        clients.push(budget.acquire_client());
    }
    let held = budget.descriptors_in_use();
    let beyond = budget.acquire_overflow().expect("a descriptor is free");
    assert!(budget.acquire_overflow().is_none(), "a small node has one");
    assert_eq!(budget.descriptors_in_use(), held + 1);
    drop(beyond);
    assert_eq!(budget.descriptors_in_use(), held);
    assert!(budget.acquire_overflow().is_some());
}

/// Guards against clients taken for a crowd, and their connections ended, because a takeover has left few places.
#[test]
fn a_fallen_lease_makes_no_crowd_of_a_few_clients() {
    let budget = Budget::new(256, 64, 16);
    let crowd = (0..).find(|clients| budget.is_crowded(*clients)).expect("some are a crowd");
    budget.resize(48);
    assert!(budget.max_clients() < crowd, "places for {}", budget.max_clients());
    assert_eq!((0..).find(|clients| budget.is_crowded(*clients)), Some(crowd));
}
