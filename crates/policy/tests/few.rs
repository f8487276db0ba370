//! One of many nodes: with some tens of requests per second it gets few responses to learn from.

mod common;

use common::*;
use laurelroute_policy::interface::*;

/// Sends fifteen requests per second of two classes of equal work, the second of an eighth of the first one's value.
/// For the first 6 s responses take 100 ms; then an overload makes them take 340 ms, which exceeds the admission
/// limit. Returns per class the requests refused in the 10 s from the start of the overload, and all requests in
/// them.
fn refused_in_overload() -> [(u32, u32); 2] {
    let mut bed = TestBed::new(Settings { hedging: false, ..two_classes() }, servers(12), 7);
    let overload_at = bed.now + 6_000 * MS;
    let mut in_flight: Vec<InFlight> = Vec::new();
    let mut seen = [(0, 0); 2];
    for id in 1..=15 * (6 + 10) {
        bed.now += 67 * MS;
        bed.answer_due(&mut in_flight);
        let class = u8::from(id % 2 == 0);
        let actions = bed.feed(Event::Request(Request { class, ..Request::new(id, bed.now + 800 * MS) }));
        let took = if bed.now < overload_at { 100 * MS } else { 340 * MS };
        let count = &mut seen[usize::from(class)];
        count.1 += u32::from(bed.now >= overload_at);
        match sent(&actions, id) {
            Some(server) => in_flight.push((bed.now + took, bed.now, id, server)),
            None => count.0 += u32::from(bed.now >= overload_at),
        }
    }
    seen
}

/// In a large fleet, no class reached the minimum number of latency samples during a 25 s run, so its value never
/// counted, and the class with the shortest target, worth five times another, was refused most.
#[test]
fn the_low_value_class_is_refused_first_within_seconds() {
    let [high_value, low_value] = refused_in_overload();
    let part = |(refused, of): (u32, u32)| f64::from(refused) / f64::from(of);
    assert!(
        part(low_value) > 1.5 * part(high_value),
        "of the high-value class {high_value:?}, of the low-value class {low_value:?} refused"
    );
}

/// Number of servers of 40 that a node ranks after 12 s at a request rate. It is one of 300 nodes in a single zone,
/// and every response takes 100 ms.
fn ranked_at(rate: u64) -> usize {
    let many = Settings { group_size: 300, hedging: false, ..settings(Idempotency::Safe) };
    let mut bed = TestBed::new(many, servers(40), 7);
    let mut in_flight: Vec<InFlight> = Vec::new();
    for id in 1..=12 * rate as u32 {
        bed.now += 1000 * MS / rate;
        bed.answer_due(&mut in_flight);
        let actions = bed.feed(Event::Request(Request::new(id, bed.now + 800 * MS)));
        // Until latencies are measured, some requests are refused.
        let Some(server) = sent(&actions, id) else { continue };
        in_flight.push((bed.now + 100 * MS, bed.now, id, server));
    }
    bed.balancer.ranking(0).count()
}

/// In a whole fleet without overload, each node ranked 12 servers, of which its 15 requests per second gave it next
/// to nothing, and single servers overflowed while others were idle.
#[test]
fn subset_size_follows_the_request_rate() {
    assert_eq!([15, 70, 300].map(ranked_at), [6, 11, 12]);
}
