//! A node of many: some tens of requests a second, so that what counts answers learns for a day.

mod common;

use common::*;
use laurelroute_policy::interface::*;

/// Fifteen requests a second over two classes of like work, the second worth an eighth of the first. For the first 6 s
/// answers take 100 ms, then a jam makes them 340 ms, which is more than is worth waiting for. How many of either class
/// are refused in the 10 s from the start of the jam on, and of how many.
fn refused_in_a_jam() -> [(u32, u32); 2] {
    let mut bed = Bed::new(Settings { hedging: false, ..two_classes() }, servers(12), 7);
    let jam = bed.now + 6_000 * MS;
    let mut out: Vec<Out> = Vec::new();
    let mut seen = [(0, 0); 2];
    for id in 1..=15 * (6 + 10) {
        bed.now += 67 * MS;
        bed.answer_due(&mut out);
        let class = u8::from(id % 2 == 0);
        let actions = bed.feed(Event::Request(Request { class, ..Request::new(id, bed.now + 800 * MS) }));
        let took = if bed.now < jam { 100 * MS } else { 340 * MS };
        let count = &mut seen[usize::from(class)];
        count.1 += u32::from(bed.now >= jam);
        match sent(&actions, id) {
            Some(server) => out.push((bed.now + took, bed.now, id, server)),
            None => count.0 += u32::from(bed.now >= jam),
        }
    }
    seen
}

/// Large fleet, join and zone: no class was ever known in a day of 25 s, so worth never counted, and the class with the
/// shortest aim, which was worth five times another, was refused most.
#[test]
fn the_lesser_class_makes_room_within_seconds() {
    let [worthy, lesser] = refused_in_a_jam();
    let part = |(refused, of): (u32, u32)| f64::from(refused) / f64::from(of);
    assert!(part(lesser) > 1.5 * part(worthy), "of the worthy {worthy:?}, of the lesser {lesser:?} refused");
}

/// How many servers of 40 a node ranks after 12 s at a rate. It is one of 300 in a single zone, and every answer takes
/// 100 ms.
fn ranked_at(rate: u64) -> usize {
    let many = Settings { group_size: 300, hedging: false, ..settings(Idempotency::Safe) };
    let mut bed = Bed::new(many, servers(40), 7);
    let mut out: Vec<Out> = Vec::new();
    for id in 1..=12 * rate as u32 {
        bed.now += 1000 * MS / rate;
        bed.answer_due(&mut out);
        let actions = bed.feed(Event::Request(Request::new(id, bed.now + 800 * MS)));
        // Until answers have told how long they take, some are turned away.
        let Some(server) = sent(&actions, id) else { continue };
        out.push((bed.now + 100 * MS, bed.now, id, server));
    }
    bed.balancer.ranking(0).count()
}

/// Whole fleet, calm: each node ranked 12 servers, of which its 15 requests a second told it next to nothing, and single
/// servers overflowed while others idled.
#[test]
fn a_part_follows_what_a_node_can_know() {
    assert_eq!([15, 70, 300].map(ranked_at), [6, 11, 12]);
}
