//! Subsetting: assigns servers to forwarders.
//!
//! Forwarders are distributed over lots; within a lot every server is assigned to exactly one forwarder. A server
//! therefore has exactly as many forwarders as there are lots, for any number of servers and forwarders, and gets the
//! same share of the traffic of each lot. Both assignments are consistent hashing with bounded loads (Mirrokni, Thorup
//! and Zadimoghaddam 2016): adding or removing a server changes about one forwarder per lot. Lots are taken from
//! Google's Rocksteadier subsetting (Ward et al., ACM Queue 2022). The assignment is stateless: equal names give equal
//! subsets at every planner and after every restart.

use crate::{scramble, stable_hash};

/// Minimum number of points of each bin on the ring: many points spread the bins evenly, so that the load bound is
/// rarely reached.
const MIN_POINTS_PER_BIN: usize = 64;
/// Minimum number of points of all bins together.
const MIN_POINTS: usize = 4096;
/// Number of bins tried by hash before the min_load loaded one is taken.
const MAX_HASH_ATTEMPTS: u64 = 64;
/// Load bound of a bin relative to the average; a bound above 1 reduces the number of reassignments.
const LOAD_BOUND: f64 = 1.08;

/// Assigns items to bins and returns the bin of each item, in the order of `items`. Bins and items are hashes of names.
fn assign_to_bins(items: &[u64], bins: &[u64], salt: u64) -> Vec<u32> {
    if bins.len() < 2 {
        return vec![0; items.len()];
    }
    let points = MIN_POINTS_PER_BIN.max(MIN_POINTS / bins.len()) as u64;
    let mut ring: Vec<(u64, u32)> = (0..bins.len())
        .flat_map(|b| (0..points).map(move |p| (scramble(bins[b] ^ scramble(salt ^ p)), b as u32)))
        .collect();
    ring.sort_unstable();
    let even = items.len() as f64 / bins.len() as f64;
    let max_load = if even < 4.0 { even.ceil() } else { (even * LOAD_BOUND).ceil() } as u32;
    let mut load = vec![0u32; bins.len()];
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_unstable_by_key(|&i| (scramble(items[i] ^ salt), items[i]));
    let mut assignment = vec![0; items.len()];
    for i in order {
        let candidates = (0..MAX_HASH_ATTEMPTS).map(|attempt| {
            let at = scramble(items[i] ^ scramble(salt ^ attempt));
            ring[ring.partition_point(|(point, _)| *point < at) % ring.len()].1
        });
        let least_loaded = || (0..bins.len() as u32).min_by_key(|&b| load[b as usize]).unwrap_or(0);
        let bin = candidates.into_iter().find(|&b| load[b as usize] < max_load).unwrap_or_else(least_loaded);
        load[bin as usize] += 1;
        assignment[i] = bin;
    }
    assignment
}

/// For each forwarder, in the given order, the ascending indexes of its servers in `servers`. Every server has exactly
/// `cover` forwarders, or all of them where there are fewer. The result does not depend on the order of names.
pub fn subsets(forwarders: &[&str], servers: &[&str], cover: usize) -> Vec<Vec<u32>> {
    let hash = |names: &[&str]| names.iter().map(|n| stable_hash(1, n.as_bytes())).collect::<Vec<_>>();
    let (forwarder_hashes, server_hashes) = (hash(forwarders), hash(servers));
    let lots = cover.clamp(1, forwarders.len().max(1));
    let lot_names: Vec<u64> = (0..lots as u64).map(scramble).collect();
    let lot_of = assign_lots(&forwarder_hashes, &lot_names);
    let mut subsets = vec![Vec::new(); forwarders.len()];
    for lot in 0..lots as u32 {
        let inside: Vec<usize> = (0..forwarders.len()).filter(|&f| lot_of[f] == lot).collect();
        if inside.is_empty() {
            continue;
        }
        let bins: Vec<u64> = inside.iter().map(|&f| forwarder_hashes[f]).collect();
        for (b, bin) in
            assign_to_bins(&server_hashes, &bins, 0x6c6f_7400 + u64::from(lot)).into_iter().enumerate()
        {
            subsets[inside[bin as usize]].push(b as u32);
        }
    }
    subsets
}

/// Assigns forwarders to lots such that no lot has less than half of the average: no lot may be without a forwarder,
/// while lots of different sizes do not affect the load of the servers.
fn assign_lots(items: &[u64], bins: &[u64]) -> Vec<u32> {
    let min_load =
        if items.len() < bins.len() { 0 } else { (items.len() / bins.len().max(1) / 2).max(1) as u32 };
    let mut assignment = assign_to_bins(items, bins, 0x6576_656e);
    let mut load = vec![0u32; bins.len()];
    assignment.iter().for_each(|&b| load[b as usize] += 1);
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_unstable_by_key(|&i| items[i]);
    for i in order {
        let to = (0..bins.len()).min_by_key(|&b| load[b]).unwrap_or(0);
        if load.get(to).is_none_or(|&h| h >= min_load) {
            break;
        }
        let from = assignment[i] as usize;
        if load[from] > min_load {
            load[from] -= 1;
            load[to] += 1;
            assignment[i] = to as u32;
        }
    }
    assignment
}

/// The number of forwarders per server, and of connections that each may hold to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Forwarders per server.
    pub forwarders: usize,
    /// Maximum connections of one forwarder to one server; 0 for no limit.
    pub connections: u32,
}

/// Minimum number of servers that a forwarder should choose from: twice the candidates drawn on the regular path.
pub const MIN_SERVERS: usize = 12;
/// Minimum number of forwarders per server, if there are as many: the loss of one must not leave a server idle.
const MIN_FORWARDERS_PER_SERVER: usize = 3;

/// Chooses the coverage for a fleet in which a server accepts `max_connections` from all forwarders together (`None`: no
/// limit), and a forwarder should be able to hold `wanted_connections` to each of its servers.
pub fn cover(
    forwarders: usize,
    servers: usize,
    max_connections: Option<u32>,
    wanted_connections: u32,
) -> Coverage {
    let forwarders = forwarders.max(1);
    let choice = (MIN_SERVERS * forwarders).div_ceil(servers.max(1));
    let max_forwarders = max_connections.map_or(usize::MAX, |limit| limit.max(1) as usize);
    let by_limit = max_connections
        .map_or(MIN_FORWARDERS_PER_SERVER, |limit| (limit / wanted_connections.max(1)) as usize);
    let cover = by_limit.max(MIN_FORWARDERS_PER_SERVER).max(choice).min(max_forwarders).min(forwarders);
    Coverage {
        forwarders: cover,
        connections: max_connections.map_or(0, |limit| (limit / cover as u32).max(1)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(prefix: &str, count: usize) -> Vec<String> {
        (0..count).map(|k| format!("{prefix}-{k}")).collect()
    }

    fn of(forwarders: &[String], servers: &[String], cover: usize) -> Vec<Vec<String>> {
        fn refs(names: &[String]) -> Vec<&str> {
            names.iter().map(String::as_str).collect()
        }
        let named = |s: &Vec<u32>| s.iter().map(|&k| servers[k as usize].clone()).collect();
        subsets(&refs(forwarders), &refs(servers), cover).iter().map(named).collect()
    }

    #[test]
    fn every_server_has_the_required_number_of_forwarders() {
        for (forwarders, servers, cover) in [
            (28, 210, 4),
            (1, 5, 3),
            (3, 1, 3),
            (7, 100, 3),
            (100, 30, 5),
            (500, 1000, 4),
            (5, 0, 3),
            (0, 5, 3),
        ] {
            let subsets = of(&names("f", forwarders), &names("b", servers), cover);
            let mut count = std::collections::BTreeMap::new();
            for subset in &subsets {
                let mut unique = subset.clone();
                unique.dedup();
                assert_eq!(unique.len(), subset.len(), "a server is assigned twice");
                subset.iter().for_each(|b| *count.entry(b.clone()).or_insert(0) += 1);
            }
            let wanted = cover.min(forwarders);
            assert!(count.values().all(|&n| n == wanted), "{forwarders} x {servers}: {count:?}");
            assert_eq!(count.len(), if wanted == 0 { 0 } else { servers });
            let sizes = subsets.iter().map(Vec::len);
            let (min_load, most) = (sizes.clone().min().unwrap_or(0), sizes.max().unwrap_or(0));
            let even = (servers * wanted) as f64 / forwarders.max(1) as f64;
            if even >= 12.0 {
                assert!(
                    min_load as f64 > 0.55 * even && (most as f64) < 1.9 * even,
                    "{min_load} to {most} of {even}"
                );
            }
        }
    }

    #[test]
    fn adding_a_server_or_removing_a_forwarder_reassigns_few_servers() {
        let (forwarders, mut servers) = (names("f", 200), names("b", 2000));
        let before = of(&forwarders, &servers, 4);
        let changed = |a: &[Vec<String>], b: &[Vec<String>]| {
            let only = |x: &Vec<String>, y: &Vec<String>| x.iter().filter(|n| !y.contains(n)).count();
            a.iter().zip(b).map(|(a, b)| only(a, b) + only(b, a)).sum::<usize>()
        };
        servers.push("new".to_owned());
        let after = of(&forwarders, &servers, 4);
        assert!(changed(&before, &after) < 200, "{} changes for one server", changed(&before, &after));
        servers.pop();
        let fewer = of(&forwarders[..199], &servers, 4);
        // The removed forwarder had 40 servers; about as many others are reassigned.
        let moved = changed(&before[..199], &fewer);
        assert!(moved < 800, "{moved} changes for one forwarder of 200 with 40 servers each");
    }

    #[test]
    fn the_order_of_names_does_not_matter() {
        let (forwarders, servers) = (names("f", 9), names("b", 40));
        let mut reversed = servers.clone();
        reversed.reverse();
        let sorted = |mut s: Vec<Vec<String>>| {
            s.iter_mut().for_each(|s| s.sort());
            s
        };
        assert_eq!(sorted(of(&forwarders, &servers, 3)), sorted(of(&forwarders, &reversed, 3)));
    }

    #[test]
    fn connections_stay_within_the_limit() {
        for (forwarders, servers, max_connections) in
            [(28, 210, 41), (28, 210, 52), (2000, 10_000, 41), (300, 12, 41), (1, 3, 41)]
        {
            let cover = cover(forwarders, servers, Some(max_connections), 8);
            assert!(cover.forwarders as u32 * cover.connections <= max_connections, "{cover:?}");
            assert!(cover.connections >= 1 && cover.forwarders >= 1);
        }
        assert_eq!(cover(28, 210, Some(41), 8), Coverage { forwarders: 5, connections: 8 });
        assert_eq!(cover(28, 210, None, 8), Coverage { forwarders: 3, connections: 0 });
    }
}
