//! The statistical test: false alarms, detection and blame; also pools, split positions and capacity.

mod common;

use common::*;
use laurelroute_policy::interface::Request;
use laurelroute_shift::analysis::{Blame, Bounds, CanaryAnalysis, Outcome, Signal, Signals};
use laurelroute_shift::capacity::{solve, PoolCapacity, Zone};
use laurelroute_shift::cells::{Cells, Dimension, MAX_CELLS};
use laurelroute_shift::pool::{Pool, PoolMembership, Pools, Predicate, ServerLabels};
use laurelroute_shift::position;
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

fn within(place: u32, share: f64) -> bool {
    Request { split_position: place, ..Request::default() }.in_split_share(share)
}

fn judge(false_alarm_rate: f64) -> CanaryAnalysis {
    let values = |n: usize| (0..n).map(|k| k.to_string()).collect();
    let dimension = |name: &str, n| Dimension { name: name.into(), values: values(n) };
    let cells = Cells::new(vec![dimension("class", 3), dimension("shire", 9)]).unwrap();
    CanaryAnalysis::new(cells, Bounds { false_alarm_rate, tolerance: 0.0, min_outcomes: 30 })
}

/// Records batches, evaluating after each; returns whether an alarm is ever raised.
fn alarms(judge: &mut CanaryAnalysis, seed: u64, rate: impl Fn(Pool, u32, &[usize], u32) -> f64) -> bool {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut draw = move || f64::from(rng.next_u32()) / f64::from(u32::MAX);
    for batch in 0..120 {
        for _ in 0..100 {
            let values = [(draw() * 3.0) as usize, (draw() * 9.0) as usize];
            let pool = if draw() < 0.3 { Pool::New } else { Pool::Old };
            let server = (draw() * 20.0) as u32;
            let failed = draw() < rate(pool, batch, &values, server);
            let bad = if failed { Signals::default().with(Signal::Failed) } else { Signals::default() };
            judge.record(&Outcome { pool, server, values: &values, bad, judged: Signals::ALL });
        }
        judge.update_evidence();
        if !judge.alarms().is_empty() {
            return true;
        }
    }
    false
}

#[test]
fn false_alarms_stay_below_the_rate_under_repeated_evaluation() {
    // A high rate, so that an excess shows with few seeds; the failure rate of both pools varies together.
    let swing = |_: Pool, batch: u32, _: &[usize], _: u32| 0.05 + 0.2 * f64::from(batch % 7) / 7.0;
    let false_ones = (0..100).filter(|&seed| alarms(&mut judge(0.4), seed, swing)).count();
    assert!(false_ones <= 40, "{false_ones} of 100");
}

#[test]
fn one_bad_cell_of_27_is_detected_and_named() {
    for seed in 0..10 {
        let mut judge = judge(0.01);
        let one =
            |pool, _, values: &[usize], _| if pool == Pool::New && values == [2, 5] { 0.5 } else { 0.01 };
        assert!(alarms(&mut judge, seed, one), "seed {seed}");
        let alarm = judge.alarms().remove(0);
        let name = judge.cells.name(alarm.cell);
        assert!(name.contains("shire=5") || name.contains("class=2"), "{name}");
        assert!(alarm.evidence >= alarm.bound);
    }
}

#[test]
fn two_bad_servers_are_told_from_a_bad_release() {
    let (mut boxes, mut release) = (judge(0.01), judge(0.01));
    let two = |pool, _, _: &[usize], server| if pool == Pool::New && server < 2 { 0.6 } else { 0.01 };
    assert!(alarms(&mut boxes, 1, two));
    assert_eq!(boxes.alarms()[0].blame, Blame::Servers(vec![0, 1]));
    let all = |pool, _, _: &[usize], _| if pool == Pool::New { 0.06 } else { 0.01 };
    assert!(alarms(&mut release, 1, all));
    assert_eq!(release.alarms()[0].blame, Blame::Release);
}

#[test]
fn required_outcomes_and_detectable_fault_agree() {
    for fault in [0.05, 0.2, 0.5] {
        let judge = judge(0.01);
        let needs = judge.required_outcomes(0, 0.01, fault);
        assert!(judge.would_detect(0, 0.01, fault, (8 * needs, needs)));
        assert!(!judge.would_detect(0, 0.01, fault, (8 * (needs - 1), needs - 1)));
        let least = judge.detectable_fault(0, 0.01, (8 * needs, needs)).unwrap();
        // Large faults need few requests, and one more or less is a tenth of them.
        assert!((least / fault - 1.0).abs() < 0.1, "{least} for {fault}");
    }
    assert_eq!(judge(0.01).detectable_fault(0, 0.01, (100, 1)), None);
}

#[test]
fn merged_outcomes_of_forwarders_give_the_same_evidence() {
    let (mut whole, mut sum) = (judge(0.01), judge(0.01));
    let mut parts = [judge(0.01), judge(0.01), judge(0.01)];
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for k in 0..3000usize {
        let pool = if k % 3 == 0 { Pool::New } else { Pool::Old };
        let failed = rng.next_u32() % 10 == 0;
        let bad = if failed { Signals::default().with(Signal::Failed) } else { Signals::default() };
        let values = [k % 3, k % 9];
        let outcome = Outcome { pool, server: 0, values: &values, bad, judged: Signals::ALL };
        whole.record(&outcome);
        parts[(k / 9) % 3].record(&outcome);
    }
    for part in &mut parts {
        for (cell, signal, old, new) in part.take_pending() {
            sum.merge_pending(cell, signal, old, new);
        }
    }
    whole.update_evidence();
    sum.update_evidence();
    for cell in 0..whole.cells.len() {
        assert_eq!(whole.evidence_ratio(cell), sum.evidence_ratio(cell), "{}", whole.cells.name(cell));
    }
}

#[test]
fn too_many_cells_are_rejected() {
    let values = |n: usize| (0..n).map(|k| k.to_string()).collect::<Vec<_>>();
    let dimension = |n| Dimension { name: format!("d{n}"), values: values(n) };
    let error = Cells::new(vec![dimension(10), dimension(100), dimension(20)]).unwrap_err();
    assert!(error.to_string().contains(&MAX_CELLS.to_string()), "{error}");
    assert!(Cells::new(vec![dimension(1), dimension(0)]).is_err());
    let cells = Cells::new(vec![dimension(3), dimension(1), dimension(27)]).unwrap();
    let all: f64 = (0..cells.len()).map(|c| cells.weight(c)).sum();
    assert!((all - 1.0).abs() < 1e-9, "the parts of the rate add up to it: {all}");
    for cell in 0..cells.len() {
        assert_eq!(cells.find(&cells.name(cell)), Some(cell));
    }
}

fn labels<'a>(id: &'a str, version: &'a str, metadata: &'a BTreeMap<String, String>) -> ServerLabels<'a> {
    let address = Some(std::net::IpAddr::from([10, 2, 3, 4]));
    ServerLabels { id, zone: "a", kind: "k", version, address, metadata }
}

#[test]
fn servers_in_both_pools_in_none_and_changing_pools_are_classified() {
    let none = BTreeMap::new();
    let ring = BTreeMap::from([("ring".to_owned(), "canary".to_owned())]);
    let version =
        |v: &str| Predicate { versions: vec![wildmatch::WildMatch::new(v)], ..Predicate::default() };
    let pools = Pools { old: version("4*"), new: version("42") };
    let mut roster = PoolMembership::default();
    let both = roster.insert(&pools, &labels("x", "42", &none));
    assert_eq!((both.pool, both.ambiguous), (Pool::Old, true), "counts as old, but is no evidence");
    assert_eq!(roster.insert(&pools, &labels("y", "39", &none)).pool, Pool::Outside);
    assert_eq!(roster.insert(&pools, &labels("y", "41", &none)).pool, Pool::Old);
    assert_eq!(roster.pool_changes, 1);
    assert_eq!(roster.find("nobody").pool, Pool::Outside);
    let network = Predicate { networks: vec!["10.2.0.0/16".parse().unwrap()], ..Predicate::default() };
    assert!(network.matches(&labels("z", "", &none)));
    assert!(!network.matches(&ServerLabels { address: None, ..labels("z", "", &none) }));
    let mut canary = Predicate::default();
    canary.metadata.insert("ring".into(), vec![wildmatch::WildMatch::new("can*")]);
    assert!(canary.matches(&labels("z", "", &ring)) && !canary.matches(&labels("z", "", &none)));
    let mut other = PoolMembership::default();
    other.insert(&Pools { old: ids("x"), new: ids("w") }, &labels("x", "1", &none));
    assert_eq!(roster.shared_server(&other), Some("x"));
}

#[test]
fn uneven_zones_are_solved_without_exceeding_capacity() {
    let strength = |warm| PoolCapacity { warm, cold: 0.0 };
    // The new pool is in the second zone only, the load in the first.
    let zones = [
        Zone { load: vec![60.0, 40.0], old: strength(200.0), new: strength(0.0) },
        Zone { load: vec![0.0, 0.0], old: strength(0.0), new: strength(50.0) },
    ];
    let room = solve(&zones, &[1.0, 1.0]);
    let moved = 60.0 * room.shares[0] + 40.0 * room.shares[1];
    assert!((moved - 47.5).abs() < 0.5, "{room:?}");
    assert_eq!(room.stays, 0.0);
    assert!(solve(&zones, &[0.3, 0.3]).covers(&[0.3, 0.3]));
    let cold =
        [Zone { load: vec![100.0], old: strength(200.0), new: PoolCapacity { warm: 0.0, cold: 30.0 } }];
    assert!((solve(&cold, &[1.0]).shares[0] - 0.24).abs() < 0.01);
    assert_eq!(solve(&[], &[0.5]).shares, [0.0], "there are no pools");
    let gone = [Zone { load: vec![100.0], old: strength(0.0), new: strength(200.0) }];
    assert_eq!(solve(&gone, &[0.2]).stays, 1.0);
}

proptest! {
    #[test]
    fn moved_sessions_stay_moved_as_the_share_grows(key: u64, salt: u64, a in 0.0..=1.0f64, b in 0.0..=1.0f64) {
        let at = position::of_key(salt, key);
        let (low, high) = (a.min(b), a.max(b));
        prop_assert!(!within(at, low) || within(at, high));
        prop_assert!(!within(at, 0.0) && within(at, 1.0));
    }

    #[test]
    fn a_solved_share_never_exceeds_capacity(
        load in prop::collection::vec(0.0..100.0f64, 3),
        old in prop::collection::vec(0.0..200.0f64, 3),
        new in prop::collection::vec(0.0..200.0f64, 3),
        wanted in 0.0..=1.0f64,
    ) {
        let zones: Vec<Zone> = (0..3).map(|z| Zone {
            load: vec![load[z], load[z] / 2.0],
            old: PoolCapacity { warm: old[z], cold: 0.0 },
            new: PoolCapacity { warm: new[z], cold: 0.0 },
        }).collect();
        let room = solve(&zones, &[wanted, wanted / 2.0]);
        let moved: f64 = zones.iter().map(|z| z.load[0] * room.shares[0] + z.load[1] * room.shares[1]).sum();
        prop_assert!(moved <= new.iter().sum::<f64>() + 1e-3);
        prop_assert!(room.shares[0] <= wanted + 1e-9 && room.shares[1] <= wanted / 2.0 + 1e-9);
    }
}

#[test]
fn sessions_are_spread_evenly() {
    let within = (0..20_000u64).filter(|&k| within(position::of_key(7, k), 0.05)).count();
    assert!((900..1100).contains(&within), "{within} of 20,000 at 5%");
}
