//! Which forwarder uses which boxes.
//!
//! Forwarders are dealt into lots; within a lot every box belongs to exactly one forwarder. A box therefore has
//! exactly as many forwarders as there are lots, however many boxes and forwarders there are, and every box gets the
//! same part of the traffic of each lot. Both deals are consistent hashing with bounded loads (Mirrokni, Thorup and
//! Zadimoghaddam 2016): a box that comes or goes changes about one forwarder a lot. The idea of lots is that of
//! Google's Rocksteadier subsetting (Ward et al., ACM Queue 2022). Nothing is remembered: equal names give equal
//! subsets at every planner and after every restart.

use crate::{scramble, stable_hash};

/// Points on the ring of each bin, and of all together at least: many spread the bins evenly before the bound has to
/// help.
const POINTS: usize = 64;
const ALL_POINTS: usize = 4096;
/// Bins that are tried by hash before the emptiest is taken.
const TRIES: u64 = 64;
/// What a bin may hold above the even part: slack keeps the changes few.
const SLACK: f64 = 1.08;

/// Deals items into bins; the bin of each item, by its place in `items`. Bins and items are hashes of names.
fn deal(items: &[u64], bins: &[u64], salt: u64) -> Vec<u32> {
    if bins.len() < 2 {
        return vec![0; items.len()];
    }
    let points = POINTS.max(ALL_POINTS / bins.len()) as u64;
    let mut ring: Vec<(u64, u32)> = (0..bins.len())
        .flat_map(|b| (0..points).map(move |p| (scramble(bins[b] ^ scramble(salt ^ p)), b as u32)))
        .collect();
    ring.sort_unstable();
    let even = items.len() as f64 / bins.len() as f64;
    let most = if even < 4.0 { even.ceil() } else { (even * SLACK).ceil() } as u32;
    let mut held = vec![0u32; bins.len()];
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_unstable_by_key(|&i| (scramble(items[i] ^ salt), items[i]));
    let mut dealt = vec![0; items.len()];
    for i in order {
        let tried = (0..TRIES).map(|attempt| {
            let at = scramble(items[i] ^ scramble(salt ^ attempt));
            ring[ring.partition_point(|(point, _)| *point < at) % ring.len()].1
        });
        let emptiest = || (0..bins.len() as u32).min_by_key(|&b| held[b as usize]).unwrap_or(0);
        let bin = tried.into_iter().find(|&b| held[b as usize] < most).unwrap_or_else(emptiest);
        held[bin as usize] += 1;
        dealt[i] = bin;
    }
    dealt
}

/// For each forwarder, in the order given, the places of its boxes in `boxes`, ascending. Every box has exactly
/// `cover` forwarders, or all of them where there are fewer. Names may come in any order.
pub fn subsets(forwarders: &[&str], boxes: &[&str], cover: usize) -> Vec<Vec<u32>> {
    let hash = |names: &[&str]| names.iter().map(|n| stable_hash(1, n.as_bytes())).collect::<Vec<_>>();
    let (movers, servers) = (hash(forwarders), hash(boxes));
    let lots = cover.clamp(1, forwarders.len().max(1));
    let lot_names: Vec<u64> = (0..lots as u64).map(scramble).collect();
    let lot_of = lots_of(&movers, &lot_names);
    let mut subsets = vec![Vec::new(); forwarders.len()];
    for lot in 0..lots as u32 {
        let inside: Vec<usize> = (0..forwarders.len()).filter(|&f| lot_of[f] == lot).collect();
        if inside.is_empty() {
            continue;
        }
        let bins: Vec<u64> = inside.iter().map(|&f| movers[f]).collect();
        for (b, bin) in deal(&servers, &bins, 0x6c6f_7400 + u64::from(lot)).into_iter().enumerate() {
            subsets[inside[bin as usize]].push(b as u32);
        }
    }
    subsets
}

/// Deals so that no bin has less than half of its even part: no lot may be without a forwarder, while lots of
/// different sizes do no harm to the boxes.
fn lots_of(items: &[u64], bins: &[u64]) -> Vec<u32> {
    let least =
        if items.len() < bins.len() { 0 } else { (items.len() / bins.len().max(1) / 2).max(1) as u32 };
    let mut dealt = deal(items, bins, 0x6576_656e);
    let mut held = vec![0u32; bins.len()];
    dealt.iter().for_each(|&b| held[b as usize] += 1);
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_unstable_by_key(|&i| items[i]);
    for i in order {
        let to = (0..bins.len()).min_by_key(|&b| held[b]).unwrap_or(0);
        if held.get(to).is_none_or(|&h| h >= least) {
            break;
        }
        let from = dealt[i] as usize;
        if held[from] > least {
            held[from] -= 1;
            held[to] += 1;
            dealt[i] = to as u32;
        }
    }
    dealt
}

/// How many forwarders a box has, and how many connections each may hold to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Forwarders of a box.
    pub forwarders: usize,
    /// Connections of one forwarder to one box; 0 for no limit.
    pub connections: u32,
}

/// Fewest boxes that a forwarder should choose from: twice what the ordinary path draws.
pub const MIN_SERVERS: usize = 12;
/// Fewest forwarders of a box, where there are so many: one that is lost must not leave it idle.
const LEAST_COVER: usize = 3;

/// Chooses the cover for a fleet in which a box takes `cap` connections of all forwarders together (`None`: no
/// limit), of which a forwarder wants `wanted` to each of its boxes.
pub fn cover(forwarders: usize, boxes: usize, cap: Option<u32>, wanted: u32) -> Coverage {
    let forwarders = forwarders.max(1);
    let choice = (MIN_SERVERS * forwarders).div_ceil(boxes.max(1));
    let most = cap.map_or(usize::MAX, |cap| cap.max(1) as usize);
    let by_cap = cap.map_or(LEAST_COVER, |cap| (cap / wanted.max(1)) as usize);
    let cover = by_cap.max(LEAST_COVER).max(choice).min(most).min(forwarders);
    Coverage { forwarders: cover, connections: cap.map_or(0, |cap| (cap / cover as u32).max(1)) }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(prefix: &str, count: usize) -> Vec<String> {
        (0..count).map(|k| format!("{prefix}-{k}")).collect()
    }

    fn of(forwarders: &[String], boxes: &[String], cover: usize) -> Vec<Vec<String>> {
        fn refs(names: &[String]) -> Vec<&str> {
            names.iter().map(String::as_str).collect()
        }
        let named = |s: &Vec<u32>| s.iter().map(|&k| boxes[k as usize].clone()).collect();
        subsets(&refs(forwarders), &refs(boxes), cover).iter().map(named).collect()
    }

    #[test]
    fn every_box_has_exactly_its_cover() {
        for (forwarders, boxes, cover) in [
            (28, 210, 4),
            (1, 5, 3),
            (3, 1, 3),
            (7, 100, 3),
            (100, 30, 5),
            (500, 1000, 4),
            (5, 0, 3),
            (0, 5, 3),
        ] {
            let subsets = of(&names("f", forwarders), &names("b", boxes), cover);
            let mut count = std::collections::BTreeMap::new();
            for subset in &subsets {
                let mut unique = subset.clone();
                unique.dedup();
                assert_eq!(unique.len(), subset.len(), "a box twice");
                subset.iter().for_each(|b| *count.entry(b.clone()).or_insert(0) += 1);
            }
            let wanted = cover.min(forwarders);
            assert!(count.values().all(|&n| n == wanted), "{forwarders} x {boxes}: {count:?}");
            assert_eq!(count.len(), if wanted == 0 { 0 } else { boxes });
            let sizes = subsets.iter().map(Vec::len);
            let (least, most) = (sizes.clone().min().unwrap_or(0), sizes.max().unwrap_or(0));
            let even = (boxes * wanted) as f64 / forwarders.max(1) as f64;
            if even >= 12.0 {
                assert!(
                    least as f64 > 0.55 * even && (most as f64) < 1.9 * even,
                    "{least} to {most} of {even}"
                );
            }
        }
    }

    #[test]
    fn a_box_or_forwarder_more_changes_little() {
        let (forwarders, mut boxes) = (names("f", 200), names("b", 2000));
        let before = of(&forwarders, &boxes, 4);
        let changed = |a: &[Vec<String>], b: &[Vec<String>]| {
            let only = |x: &Vec<String>, y: &Vec<String>| x.iter().filter(|n| !y.contains(n)).count();
            a.iter().zip(b).map(|(a, b)| only(a, b) + only(b, a)).sum::<usize>()
        };
        boxes.push("new".to_owned());
        let after = of(&forwarders, &boxes, 4);
        assert!(changed(&before, &after) < 200, "{} changes for one box", changed(&before, &after));
        boxes.pop();
        let fewer = of(&forwarders[..199], &boxes, 4);
        // The one that left had 40; about as many others move.
        let moved = changed(&before[..199], &fewer);
        assert!(moved < 800, "{moved} changes for one forwarder of 200 with 40 boxes each");
    }

    #[test]
    fn the_order_of_names_does_not_matter() {
        let (forwarders, boxes) = (names("f", 9), names("b", 40));
        let mut turned = boxes.clone();
        turned.reverse();
        let sorted = |mut s: Vec<Vec<String>>| {
            s.iter_mut().for_each(|s| s.sort());
            s
        };
        assert_eq!(sorted(of(&forwarders, &boxes, 3)), sorted(of(&forwarders, &turned, 3)));
    }

    #[test]
    fn connections_stay_under_the_cap() {
        for (forwarders, boxes, cap) in
            [(28, 210, 41), (28, 210, 52), (2000, 10_000, 41), (300, 12, 41), (1, 3, 41)]
        {
            let cover = cover(forwarders, boxes, Some(cap), 8);
            assert!(cover.forwarders as u32 * cover.connections <= cap, "{cover:?}");
            assert!(cover.connections >= 1 && cover.forwarders >= 1);
        }
        assert_eq!(cover(28, 210, Some(41), 8), Coverage { forwarders: 5, connections: 8 });
        assert_eq!(cover(28, 210, None, 8), Coverage { forwarders: 3, connections: 0 });
    }
}
