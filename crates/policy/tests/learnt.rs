//! A process that takes over continues with the learned state of its predecessor; one that starts from nothing learns
//! soon.

mod common;
use common::*;
use laurelroute_policy::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// Two warm servers and eight that have just started.
fn mostly_cold(now: Nanos) -> Vec<Server> {
    let cold = |k: u8| Server { started_at: now, ..Server::warm(endpoint(k)) };
    (0..10).map(|k| if k < 2 { Server::warm(endpoint(k)) } else { cold(k) }).collect()
}

/// A node that has just started must not take its traffic for low, or cold servers get next to nothing.
#[test]
fn a_starting_node_uses_cold_servers() {
    let mut settings = settings(Idempotency::Safe);
    (settings.ramp, settings.overload_window, settings.initial_capacity) = (20_000 * MS, 1_000 * MS, 0.15);
    let mut bed = TestBed::new(settings, Vec::new(), 11);
    let list = mostly_cold(bed.now);
    bed.list(ListKind::Full, list);
    let start = bed.now;
    let mut sends: BTreeMap<Endpoint, Vec<Nanos>> = BTreeMap::new();
    let (mut cold, mut in_flight) = (0, VecDeque::new());
    for _ in 0..600 {
        bed.now += 5 * MS;
        // Each response takes 60 ms.
        while let Some(&(id, server, _)) =
            in_flight.front().filter(|o: &&(_, _, Nanos)| bed.now >= o.2 + 60 * MS)
        {
            bed.outcome(id, server, 0, 60 * MS, AttemptOutcome::Ok);
            in_flight.pop_front();
        }
        let (id, actions) = bed.request();
        if let Some(server) = sent(&actions, id) {
            cold += u32::from(server.address[3] >= 2);
            sends.entry(server).or_default().push(bed.now - start);
            in_flight.push_back((id, server, bed.now));
        }
    }
    assert!(cold >= 30, "{cold} of 600 went to eight cold servers");
    // At 200 requests per second over ten servers, a warm server's share is 20 per second. No window of a second may
    // hold more than the specification allows.
    for (server, times) in sends.iter().filter(|(server, _)| server.address[3] >= 2) {
        for (k, &from) in times.iter().enumerate() {
            let within = times[k..].iter().filter(|&&t| t < from + 1_000 * MS).count() as f64;
            let share = 0.15 + 0.85 * from as f64 / 20_000e6;
            let most = slow_start_limit(3.0 * share * 20.0);
            assert!(within <= most, "{server:?} got {within} in a second from {from}, at most {most}");
        }
    }
}

#[test]
fn learned_state_is_transferred() {
    let (fast, slow) = (endpoint(1), endpoint(7));
    let list = || vec![Server::warm(fast), Server::warm(slow), Server::warm(endpoint(3))];
    let mut predecessor = TestBed::new(settings(Idempotency::Safe), list(), 5);
    for _ in 0..400 {
        predecessor.now += 10 * MS;
        let (id, actions) = predecessor.request();
        let server = sent(&actions, id).expect("nothing is refused");
        predecessor.outcome(
            id,
            server,
            0,
            if server == slow { 200 * MS } else { 20 * MS },
            AttemptOutcome::Ok,
        );
    }
    let learned = predecessor.balancer.learned_state(predecessor.now);
    let mut successor = TestBed::new(settings(Idempotency::Safe), list(), 6);
    successor.now = predecessor.now;
    successor.feed(Event::TakeOver(learned.clone()));
    assert_eq!(
        successor.balancer.ranking(0).collect::<Vec<_>>(),
        predecessor.balancer.ranking(0).collect::<Vec<_>>()
    );
    let again = successor.balancer.learned_state(successor.now);
    assert_eq!(again.classes, learned.classes);
    assert!((again.rate - learned.rate).abs() < 0.01 * learned.rate, "{} {}", again.rate, learned.rate);
    let latency = |l: &LearnedState| {
        l.servers.iter().map(|k| (k.server, (k.relative_latency * 100.0) as u32)).collect::<BTreeMap<_, _>>()
    };
    assert_eq!(latency(&again), latency(&learned));
    // The first choices already avoid the slow server.
    let first: Vec<_> = (0..20).filter_map(|_| successor.served(20 * MS)).collect();
    assert!(first.iter().filter(|s| **s == slow).count() <= 2, "{first:?}");
}

#[test]
fn invalid_learned_state_is_harmless() {
    let mut bed = TestBed::new(settings(Idempotency::Safe), servers(5), 5);
    let server = LearnedServer {
        server: endpoint(1),
        score: f64::NAN,
        relative_latency: f64::INFINITY,
        failure_rate: -3.0,
    };
    let unlisted = LearnedServer { server: endpoint(200), ..server };
    bed.feed(Event::TakeOver(LearnedState {
        rate: f64::NAN,
        classes: vec![(0, 9); 300],
        slowdown: f64::NEG_INFINITY,
        failure_rate: f64::NAN,
        servers: vec![server, unlisted],
    }));
    assert_eq!((0..20).filter(|_| bed.served(20 * MS).is_some()).count(), 20);
}
