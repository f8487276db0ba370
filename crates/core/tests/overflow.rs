//! Overflow slots for clients beyond the regular ones: within the descriptor limit, and few.

use laurelroute_core::budget::Budget;

/// Guards against exceeding the descriptor limit, and against a full node without overflow slots, whether clients or
/// servers took their slots first.
#[test]
fn a_full_node_has_overflow_slots_and_stays_within_the_descriptor_limit() {
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
            assert!(
                budget.acquire_server().is_none(),
                "{limit}: servers take none of the remaining descriptors"
            );
        }
    }
}

/// Guards against an overflow slot that is not released, and against a node without servers that has none.
#[test]
fn an_overflow_client_releases_its_descriptor() {
    let budget = Budget::new(48, 64, 16);
    let mut clients = Vec::new();
    while !budget.clients_exhausted() {
        clients.push(budget.acquire_client());
    }
    let in_use = budget.descriptors_in_use();
    let overflow = budget.acquire_overflow().expect("a descriptor is free");
    assert!(budget.acquire_overflow().is_none(), "a small node has one overflow slot");
    assert_eq!(budget.descriptors_in_use(), in_use + 1);
    drop(overflow);
    assert_eq!(budget.descriptors_in_use(), in_use);
    assert!(budget.acquire_overflow().is_some());
}

/// Guards against treating a few clients as a crowd, and closing their connections, because a takeover has reduced the
/// slots.
#[test]
fn a_reduced_descriptor_limit_does_not_make_a_crowd_of_few_clients() {
    let budget = Budget::new(256, 64, 16);
    let crowd = (0..).find(|clients| budget.is_crowded(*clients)).expect("some number of clients is a crowd");
    budget.resize(48);
    assert!(budget.max_clients() < crowd, "slots for {}", budget.max_clients());
    assert_eq!((0..).find(|clients| budget.is_crowded(*clients)), Some(crowd));
}
