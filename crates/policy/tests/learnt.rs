//! A process that takes over from another goes on where that one was, and one that starts from nothing soon knows.

mod common;
use common::*;
use laurelroute_policy::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// Two warm servers and eight that are as cold as can be.
fn mostly_cold(now: Nanos) -> Vec<Server> {
    let cold = |k: u8| Server { started_at: now, ..Server::warm(endpoint(k)) };
    (0..10).map(|k| if k < 2 { Server::warm(endpoint(k)) } else { cold(k) }).collect()
}

/// A node that has just started must not take itself for a quiet one: cold servers then get next to nothing.
#[test]
fn a_node_that_starts_uses_cold_servers() {
    let mut settings = settings(Idempotency::Safe);
    (settings.ramp, settings.overload_window, settings.initial_capacity) = (20_000 * MS, 1_000 * MS, 0.15);
    let mut bed = Bed::new(settings, Vec::new(), 11);
    let list = mostly_cold(bed.now);
    bed.list(ListKind::Full, list);
    let start = bed.now;
    let mut sends: BTreeMap<Endpoint, Vec<Nanos>> = BTreeMap::new();
    let (mut cold, mut out) = (0, VecDeque::new());
    for _ in 0..600 {
        bed.now += 5 * MS;
        // Each takes 60 ms.
        while let Some(&(id, server, _)) = out.front().filter(|o: &&(_, _, Nanos)| bed.now >= o.2 + 60 * MS) {
            bed.outcome(id, server, 0, 60 * MS, AttemptOutcome::Ok);
            out.pop_front();
        }
        let (id, actions) = bed.request();
        if let Some(server) = sent(&actions, id) {
            cold += u32::from(server.address[3] >= 2);
            sends.entry(server).or_default().push(bed.now - start);
            out.push_back((id, server, bed.now));
        }
    }
    assert!(cold >= 30, "{cold} of 600 went to eight cold servers");
    // 200 a second over ten servers: a warm one's part is 20. No window of a second may hold more than the page grants.
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
fn what_was_learnt_goes_over() {
    let (fast, slow) = (endpoint(1), endpoint(7));
    let list = || vec![Server::warm(fast), Server::warm(slow), Server::warm(endpoint(3))];
    let mut elder = Bed::new(settings(Idempotency::Safe), list(), 5);
    for _ in 0..400 {
        elder.now += 10 * MS;
        let (id, actions) = elder.request();
        let server = sent(&actions, id).expect("nothing is refused");
        elder.outcome(id, server, 0, if server == slow { 200 * MS } else { 20 * MS }, AttemptOutcome::Ok);
    }
    let learnt = elder.balancer.learned_state(elder.now);
    let mut heir = Bed::new(settings(Idempotency::Safe), list(), 6);
    heir.now = elder.now;
    heir.feed(Event::TakeOver(learnt.clone()));
    assert_eq!(heir.balancer.ranking(0).collect::<Vec<_>>(), elder.balancer.ranking(0).collect::<Vec<_>>());
    let again = heir.balancer.learned_state(heir.now);
    assert_eq!(again.classes, learnt.classes);
    assert!((again.rate - learnt.rate).abs() < 0.01 * learnt.rate, "{} {}", again.rate, learnt.rate);
    let lag =
        |l: &LearnedState| l.servers.iter().map(|k| (k.server, (k.relative_latency * 100.0) as u32)).collect::<BTreeMap<_, _>>();
    assert_eq!(lag(&again), lag(&learnt));
    // The first choices already shun the slow one.
    let first: Vec<_> = (0..20).filter_map(|_| heir.served(20 * MS)).collect();
    assert!(first.iter().filter(|s| **s == slow).count() <= 2, "{first:?}");
}

#[test]
fn nonsense_does_no_harm() {
    let mut bed = Bed::new(settings(Idempotency::Safe), servers(5), 5);
    let server = LearnedServer { server: endpoint(1), score: f64::NAN, relative_latency: f64::INFINITY, failure_rate: -3.0 };
    let stranger = LearnedServer { server: endpoint(200), ..server };
    bed.feed(Event::TakeOver(LearnedState {
        rate: f64::NAN,
        classes: vec![(0, 9); 300],
        slowdown: f64::NEG_INFINITY,
        failure_rate: f64::NAN,
        servers: vec![server, stranger],
    }));
    assert_eq!((0..20).filter(|_| bed.served(20 * MS).is_some()).count(), 20);
}
