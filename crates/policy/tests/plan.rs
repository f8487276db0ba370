//! What a fleet-wide plan changes at one node, and what it must not change.

mod common;
use common::*;
use laurelroute_policy::interface::*;
use std::collections::BTreeMap;

fn server_plan(k: u8) -> ServerPlan {
    ServerPlan { server: endpoint(k), score: 0.0, suspected: false, slow_start_rate: f64::INFINITY }
}

fn node_plan(servers: Vec<ServerPlan>) -> NodePlan {
    NodePlan { trust: 1.0, servers, ..NodePlan::default() }
}

fn counts(bed: &mut TestBed, rounds: usize) -> BTreeMap<Endpoint, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..rounds {
        bed.now += 10 * MS;
        if let Some(server) = bed.served(400 * MS / 3) {
            *counts.entry(server).or_insert(0) += 1;
        }
    }
    counts
}

#[test]
fn planned_scores_apply_at_once_and_own_scores_take_over() {
    let mut bed = TestBed::new(settings(Idempotency::Safe), servers(20), 3);
    let better = |k: u8| ServerPlan { score: if k >= 10 { 500.0 } else { 1.0 }, ..server_plan(k) };
    bed.feed(Event::Plan(node_plan((0..20).map(better).collect())));
    let ranking: Vec<u8> = bed.balancer.ranking(0).map(|e| e.address[3]).collect();
    assert!(ranking[..10].iter().all(|&k| k >= 10), "{ranking:?}");
    let counts = counts(&mut bed, 200);
    assert!(
        counts.keys().all(|e| e.address[3] >= 10),
        "ties go to the servers with the higher planned score: {counts:?}"
    );
    // The planned score is not reported as the node's own observation.
    let own: f64 = bed.balancer.observations(bed.now).map(|o| o.score).sum();
    assert!((150.0..=200.0).contains(&own), "{own}");
    // Without an update it decays as the node's own counts do: three ramps later those decide.
    bed.now += 3 * 8_000 * MS;
    for _ in 0..120 {
        let (id, actions) = bed.request();
        bed.now += MS;
        let server = sent(&actions, id).unwrap();
        let (took, outcome) = if server.address[3] >= 10 {
            (5 * MS, AttemptOutcome::Error)
        } else {
            (5 * MS, AttemptOutcome::Ok)
        };
        bed.outcome(id, server, 0, took, outcome);
    }
    let first = bed.balancer.ranking(0).next().unwrap().address[3];
    assert!(first < 10, "server {first} still leads");
}

#[test]
fn a_plan_without_trust_has_no_effect() {
    let run = |plan: bool| {
        let mut bed = TestBed::new(settings(Idempotency::Safe), servers(12), 5);
        if plan {
            let hints =
                (0..12).map(|k| ServerPlan { score: 9.0, suspected: true, ..server_plan(k) }).collect();
            bed.feed(Event::Plan(NodePlan { trust: 0.0, ..node_plan(hints) }));
        }
        counts(&mut bed, 100)
    };
    assert_eq!(run(true), run(false));
}

#[test]
fn a_suspected_server_comes_last_unless_all_are() {
    let run = |suspected: &dyn Fn(u8) -> bool| {
        let mut bed = TestBed::new(settings(Idempotency::Safe), servers(6), 7);
        bed.feed(Event::Plan(node_plan(
            (0..6).map(|k| ServerPlan { suspected: suspected(k), ..server_plan(k) }).collect(),
        )));
        counts(&mut bed, 60)
    };
    assert!(!run(&|k| k < 3).keys().any(|e| e.address[3] < 3));
    assert_eq!(run(&|_| true), run(&|_| false), "suspecting all servers changes nothing");
}

#[test]
fn an_own_success_outweighs_the_plans_suspicion() {
    let mut bed = TestBed::new(settings(Idempotency::Safe), servers(2), 9);
    let first = bed.served(400 * MS / 3).unwrap();
    let hints = (0..2).map(|k| ServerPlan { suspected: endpoint(k) == first, score: 5.0, ..server_plan(k) });
    bed.feed(Event::Plan(node_plan(hints.collect())));
    assert_eq!(bed.served(400 * MS / 3), Some(first), "it has just answered here");
    bed.now += 2_000 * MS;
    assert_ne!(bed.served(400 * MS / 3), Some(first), "the success is long past");
}

#[test]
fn a_cold_server_gets_no_more_than_its_budget() {
    let run = |slow_start_rate: f64| {
        let mut bed = TestBed::new(settings(Idempotency::Safe), servers(5), 11);
        counts(&mut bed, 800);
        let restarted = Server { started_at: bed.now, ..Server::warm(endpoint(0)) };
        bed.list(ListKind::Changes, vec![restarted]);
        bed.feed(Event::Plan(node_plan(vec![ServerPlan { score: 1e6, slow_start_rate, ..server_plan(0) }])));
        counts(&mut bed, 300).get(&endpoint(0)).copied().unwrap_or(0)
    };
    // 3 s of requests.
    let (bounded, free) = (run(2.0), run(f64::INFINITY));
    assert!(bounded <= 7, "{bounded} in 3 s at 2 a second");
    assert!(free > bounded, "slow start alone allows {free}");
    assert!(run(0.0) <= 1, "only what was due before the plan was received");
}

#[test]
fn a_class_beyond_its_limit_is_refused_first() {
    let run = |limit: f64| {
        let mut s = settings(Idempotency::Safe);
        s.over_quota_value = 0.0;
        let mut bed = TestBed::new(s, servers(6), 13);
        bed.feed(Event::Plan(NodePlan { classes: vec![limit], ..node_plan(Vec::new()) }));
        counts(&mut bed, 500).values().sum::<usize>()
    };
    let (limited, free) = (run(20.0), run(f64::INFINITY));
    assert_eq!(free, 500);
    // 100 per second for 5 s; the memory that the rate is averaged over admits some more at first.
    assert!((80..250).contains(&limited), "{limited}");
}

#[test]
fn planned_tenant_quotas_replace_even_ones() {
    let run = |part: Option<f64>| {
        let mut s = settings(Idempotency::Safe);
        (s.tenant_quota, s.group_size, s.over_quota_value) = (vec![100.0], 10, 0.0);
        let mut bed = TestBed::new(s, servers(6), 15);
        if let Some(part) = part {
            bed.feed(Event::Plan(NodePlan { tenants: vec![part], ..node_plan(Vec::new()) }));
        }
        counts(&mut bed, 500).values().sum::<usize>()
    };
    let (even, more) = (run(None), run(Some(80.0)));
    assert!(more > 2 * even, "{even} with a tenth of the quota, {more} with most of it");
}
