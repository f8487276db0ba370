//! Planner and follower together, message by message.

use laurelroute_plan::follower::{
    trust, Follower, FOLLOW_HOLD_TIME, PLANNER_FRESH_TIME, PLANNER_SILENCE_LIMIT,
};
use laurelroute_plan::list_age::STALE_LIST_AGE;
use laurelroute_plan::member::Member;
use laurelroute_plan::planner::{
    Planner, Settings, DEFAULT_SETTLE_TIME, FORWARDER_GRACE, HEARTBEAT_INTERVAL,
};
use laurelroute_plan::wire::{
    ClosedServer, PlanAck, PlanUpdate, RateShare, RejectReason, Report, ServerReport, Suspicion,
};
use laurelroute_policy::interface::{Nanos, Phase};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn settings() -> Settings {
    Settings {
        site: "perth".into(),
        incarnation: 100,
        planners: 2,
        max_connections: Some(40),
        wanted_connections: 8,
        initial_capacity: 0.2,
        ramp: 10 * S,
        settle_time: DEFAULT_SETTLE_TIME,
        classes: vec![("status".into(), None), ("gauges".into(), Some(100.0))],
        tenants: vec![("swan".into(), 50.0)],
        bytes_per_second: 8_000.0,
    }
}

fn members(count: usize) -> Vec<Member> {
    (0..count).map(|k| Member::warm(&format!("box-{k}"))).collect()
}

fn planner(count: usize, forwarders: &[&str]) -> (Planner, Nanos) {
    let mut planner = Planner::new(0, settings());
    planner.update_membership(0, 1, true, members(count));
    forwarders.iter().for_each(|f| planner.forwarder_connected(0, f, 0).unwrap());
    planner.poll(DEFAULT_SETTLE_TIME);
    (planner, DEFAULT_SETTLE_TIME)
}

fn follower() -> Follower {
    Follower::new(0, "f0", "perth", &["a".into(), "b".into()])
}

/// Delivers all due updates of one planner to the forwarder and returns the acknowledgements.
fn exchange(
    now: Nanos,
    planner: &mut Planner,
    planner_index: usize,
    follower: &mut Follower,
) -> Vec<RejectReason> {
    let mut rejections = Vec::new();
    while let Some(update) = planner.next_update(now, "f0") {
        let reply = follower.receive(now, planner_index, &update);
        planner.handle_ack("f0", &reply);
        rejections.push(reply.refused());
    }
    rejections
}

fn server_report(name: &str, score: f32) -> ServerReport {
    ServerReport { name: name.into(), score, relative_latency: 1.0, ..ServerReport::default() }
}

fn phase(follower: &Follower, now: Nanos, name: &str) -> Option<Phase> {
    follower.view(now).members.iter().find(|m| m.name == name).map(|m| m.server.phase)
}

#[test]
fn a_full_plan_is_followed_by_deltas() {
    let (mut planner, now) = planner(10, &["f0"]);
    let mut follower = follower();
    assert_eq!(exchange(now, &mut planner, 0, &mut follower), [RejectReason::Accepted]);
    assert_eq!(follower.view(now).members.len(), 10);
    assert_eq!(follower.view(now).trust, 1.0);
    assert!(exchange(now + MS, &mut planner, 0, &mut follower).is_empty(), "nothing new");
    planner
        .report(now + MS, "f0", &Report { rows: vec![server_report("box-3", 50.0)], ..Report::default() })
        .unwrap();
    let update = planner.next_update(now + MS, "f0").unwrap();
    assert_eq!((update.rows.len(), update.base > 0, update.rows[0].attributes.is_some()), (1, true, false));
    planner.handle_ack("f0", &follower.receive(now + MS, 0, &update));
    let view = follower.view(now + MS);
    let planned = view.planned.iter().find(|w| w.name == "box-3").unwrap();
    assert!((planned.score / 50.0 - 1.0).abs() < 0.1, "{planned:?}");
    // The heartbeat confirms the current version.
    let heartbeat = planner.next_update(now + MS + HEARTBEAT_INTERVAL, "f0").unwrap();
    assert!(heartbeat.rows.is_empty() && heartbeat.base == heartbeat.version);
    assert_eq!(
        follower.receive(now + MS + HEARTBEAT_INTERVAL, 0, &heartbeat).refused(),
        RejectReason::Accepted
    );
}

#[test]
fn scores_are_summed_over_forwarders_and_a_report_replaces_the_previous_one() {
    let (mut planner, now) = planner(4, &["f0", "f1"]);
    for (name, count) in [("f0", 10.0), ("f1", 30.0), ("f0", 20.0)] {
        planner
            .report(now, name, &Report { rows: vec![server_report("box-1", count)], ..Report::default() })
            .unwrap();
    }
    let mut follower = follower();
    exchange(now, &mut planner, 0, &mut follower);
    let view = follower.view(now);
    let score = |name: &str| view.planned.iter().find(|w| w.name == name).unwrap().score;
    assert!((score("box-1") / 50.0 - 1.0).abs() < 0.1);
    assert_eq!(score("box-0"), 0.0);
    // The reports of a reconnected forwarder are discarded.
    planner.forwarder_connected(now, "f1", 0).unwrap();
    planner
        .report(now, "f1", &Report { rows: vec![server_report("box-1", 5.0)], ..Report::default() })
        .unwrap();
    exchange(now, &mut planner, 0, &mut follower);
    let view = follower.view(now);
    let sum = view.planned.iter().find(|w| w.name == "box-1").unwrap().score;
    assert!((sum / 25.0 - 1.0).abs() < 0.1, "{sum}");
}

#[test]
fn a_drain_is_sent_at_once_and_applies_from_any_planner() {
    let (mut a, now) = planner(6, &["f0"]);
    let (mut b, _) = planner(6, &["f0"]);
    let mut follower = follower();
    exchange(now, &mut a, 0, &mut follower);
    exchange(now, &mut b, 1, &mut follower);
    let followed = follower.followed_plan().unwrap().0;
    let other = if followed == 0 { &mut b } else { &mut a };
    other.update_membership(now, 2, false, vec![Member::warm("box-2").in_phase(Phase::Draining)]);
    exchange(now + MS, other, 1 - followed, &mut follower);
    assert_eq!(follower.followed_plan().unwrap().0, followed, "it does not switch planners");
    assert_eq!(phase(&follower, now + MS, "box-2"), Some(Phase::Draining));
    // A drain reported by one forwarder reaches the planner, and from there all others.
    let followed = if followed == 0 { &mut a } else { &mut b };
    followed.forwarder_connected(now, "f9", 0).unwrap();
    let report = Report { closed: follower.closed(), ..Report::default() };
    followed.report(now + MS, "f0", &report).unwrap();
    let update = followed.next_update(now + MS, "f9").unwrap();
    let row = update.rows.iter().find(|r| r.name == "box-2");
    assert!(row.is_none_or(|r| r.attributes.as_ref().unwrap().phase == 1), "{row:?}");
    // A later membership reinstates the server.
    followed.update_membership(now, 3, false, members(6));
    let planner_index = follower.followed_plan().unwrap().0;
    exchange(now + 2 * MS, followed, planner_index, &mut follower);
    followed.poll(now + S);
    exchange(now + S, followed, planner_index, &mut follower);
    assert_eq!(phase(&follower, now + S, "box-2"), Some(Phase::Ready));
}

#[test]
fn an_old_membership_reinstates_no_server() {
    let (mut a, now) = planner(6, &["f0"]);
    let mut follower = follower();
    exchange(now, &mut a, 0, &mut follower);
    a.update_membership(now, 5, false, vec![Member::warm("box-2").in_phase(Phase::Removed)]);
    exchange(now + MS, &mut a, 0, &mut follower);
    assert_eq!(phase(&follower, now + MS, "box-2"), Some(Phase::Removed));
    // Another planner starts with an older list.
    let (mut b, _) = planner(6, &["f0"]);
    assert_eq!(exchange(now + 2 * MS, &mut b, 1, &mut follower)[0], RejectReason::StaleMembership);
    // The first planner is silent: the old plan is applied rather than none, but the server stays removed.
    let later = now + FOLLOW_HOLD_TIME + 2 * S;
    let update = b.next_update(later, "f0").unwrap();
    assert_eq!(follower.receive(later, 1, &update).refused(), RejectReason::Accepted);
    assert_eq!(follower.followed_plan().unwrap().0, 1);
    assert_eq!(phase(&follower, later, "box-2"), Some(Phase::Removed));
}

#[test]
fn invalid_updates_are_rejected_and_change_nothing() {
    let (mut planner, now) = planner(6, &["f0"]);
    let mut follower = follower();
    let full = planner.next_update(now, "f0").unwrap();
    assert_eq!(follower.receive(now, 0, &full).refused(), RejectReason::Accepted);
    let before = follower.view(now);
    let refused = |follower: &mut Follower, change: &dyn Fn(&mut PlanUpdate)| {
        let mut update = full.clone();
        change(&mut update);
        let reply = follower.receive(now, 0, &update).refused();
        (reply, follower.view(now) == before)
    };
    assert_eq!(refused(&mut follower, &|p| p.site = "other".into()), (RejectReason::OtherSite, true));
    assert_eq!(refused(&mut follower, &|p| p.incarnation = 99), (RejectReason::StaleIncarnation, true));
    assert_eq!(refused(&mut follower, &|p| (p.base, p.version) = (7, 8)), (RejectReason::UnknownBase, true));
    assert_eq!(refused(&mut follower, &|p| p.version = 0), (RejectReason::Invalid, true));
    assert_eq!(refused(&mut follower, &|p| p.rows[0].name = String::new()), (RejectReason::Invalid, true));
    assert_eq!(
        refused(&mut follower, &|p| p.rows[0].slow_start_rate = Some(f32::NAN)),
        (RejectReason::Invalid, true)
    );
    let address =
        |p: &mut PlanUpdate| p.rows[0].attributes.as_mut().unwrap().addresses = vec!["nowhere".into()];
    assert_eq!(refused(&mut follower, &address), (RejectReason::Invalid, true));
    let unknown_server = |p: &mut PlanUpdate| {
        (p.base, p.version) = (full.version, full.version + 1);
        p.rows[2].attributes = None;
        p.rows[2].name = "who".into();
    };
    assert_eq!(refused(&mut follower, &unknown_server), (RejectReason::UnknownBase, true));
    let portion = |p: &mut PlanUpdate| p.tenants = vec![RateShare { name: "swan".into(), rate: -1.0 }];
    assert_eq!(refused(&mut follower, &portion), (RejectReason::Invalid, true));
    assert_eq!(
        follower.receive(now, 7, &full).refused(),
        RejectReason::Invalid,
        "a planner that is not configured"
    );
}

#[test]
fn a_lost_update_is_recovered_by_a_full_plan() {
    let (mut planner, now) = planner(6, &["f0"]);
    let mut follower = follower();
    exchange(now, &mut planner, 0, &mut follower);
    planner.update_membership(now, 2, false, vec![Member::warm("box-1").in_phase(Phase::Draining)]);
    let lost = planner.next_update(now, "f0").unwrap();
    planner.update_membership(now, 3, false, vec![Member::warm("box-4").in_phase(Phase::Draining)]);
    let next = planner.next_update(now, "f0").unwrap();
    assert_eq!(next.base, lost.version);
    let reply = follower.receive(now, 0, &next);
    assert_eq!(reply.refused(), RejectReason::UnknownBase);
    planner.handle_ack("f0", &reply);
    assert_eq!(exchange(now + HEARTBEAT_INTERVAL, &mut planner, 0, &mut follower)[0], RejectReason::Accepted);
    for drained in ["box-1", "box-4"] {
        assert_eq!(phase(&follower, now + HEARTBEAT_INTERVAL, drained), Some(Phase::Draining));
    }
}

#[test]
fn a_forwarder_that_does_not_acknowledge_gets_few_updates_and_then_a_full_plan() {
    let (mut planner, now) = planner(50, &["f0"]);
    let mut updates = 0;
    for round in 0..2_000u32 {
        let row = server_report(&format!("box-{}", round % 50), round as f32 * 7.0 + 1.0);
        planner.report(now, "f0", &Report { rows: vec![row], ..Report::default() }).unwrap();
        updates += u32::from(planner.next_update(now, "f0").is_some());
    }
    assert!(updates <= 4, "{updates} unacknowledged updates");
    let mut follower = follower();
    let later = now + 4 * S;
    let update = planner.next_update(later, "f0").unwrap();
    assert_eq!((update.base, update.rows.len()), (0, 50));
    assert_eq!(follower.receive(later, 0, &update).refused(), RejectReason::Accepted);
}

#[test]
fn a_planner_is_followed_until_a_long_silence() {
    let (mut a, now) = planner(6, &["f0"]);
    let (mut b, _) = planner(6, &["f0"]);
    let mut follower = follower();
    exchange(now, &mut a, 0, &mut follower);
    exchange(now, &mut b, 1, &mut follower);
    assert_eq!((follower.followed_plan().unwrap().0, follower.switches()), (0, 1));
    // The other planner sends at every step, the followed one with gaps that are shorter than the hold time.
    let mut at = now;
    for step in 0..200u64 {
        at = now + step * HEARTBEAT_INTERVAL;
        exchange(at, &mut b, 1, &mut follower);
        if step % 7 == 0 {
            exchange(at, &mut a, 0, &mut follower);
        }
        follower.poll(at);
    }
    assert_eq!(follower.switches(), 1, "gaps of 1.75 s cause no switch");
    for step in 1..20u64 {
        exchange(at + step * HEARTBEAT_INTERVAL, &mut b, 1, &mut follower);
        follower.poll(at + step * HEARTBEAT_INTERVAL);
    }
    assert_eq!((follower.followed_plan().unwrap().0, follower.switches()), (1, 2));
    exchange(at + 6 * S, &mut a, 0, &mut follower);
    follower.poll(at + 6 * S);
    assert_eq!(follower.switches(), 2, "the return of the first planner causes no switch");
}

#[test]
fn a_planner_with_an_old_membership_is_abandoned_and_its_attributes_are_overridden() {
    let (mut a, now) = planner(6, &["f0"]);
    let (mut b, _) = planner(6, &["f0"]);
    let mut follower = follower();
    exchange(now, &mut b, 1, &mut follower);
    exchange(now, &mut a, 0, &mut follower);
    let mut moved = Member::warm("box-3");
    moved.server.cell = 9;
    a.update_membership(now, 2, false, vec![moved]);
    exchange(now + MS, &mut a, 0, &mut follower);
    let cell =
        |f: &Follower, at| f.view(at).members.iter().find(|m| m.name == "box-3").map(|m| m.server.cell);
    assert_eq!((follower.followed_plan().unwrap().0, cell(&follower, now + MS)), (1, Some(9)));
    for step in 1..=20u64 {
        let at = now + step * HEARTBEAT_INTERVAL;
        exchange(at, &mut b, 1, &mut follower);
        exchange(at, &mut a, 0, &mut follower);
        follower.poll(at);
        let followed = follower.followed_plan().unwrap().0;
        assert_eq!(
            followed,
            usize::from(at < now + FOLLOW_HOLD_TIME + HEARTBEAT_INTERVAL),
            "after {step} heartbeats"
        );
    }
    assert_eq!(follower.switches(), 2);
}

#[test]
fn a_plan_is_trusted_less_as_it_ages() {
    let steps: Vec<f64> = [0, 1_999, 2_000, 8_000, 30_000, 120_000].iter().map(|ms| trust(ms * MS)).collect();
    assert_eq!(steps, [1.0, 1.0, 0.75, 0.5, 0.25, 0.0]);
    let (mut planner, now) = planner(6, &["f0"]);
    let mut follower = follower();
    exchange(now, &mut planner, 0, &mut follower);
    assert!(
        !follower.needs_membership(now + PLANNER_SILENCE_LIMIT - 1)
            && follower.needs_membership(now + PLANNER_SILENCE_LIMIT)
    );
    assert_eq!(follower.view(now + 10 * S).trust, 0.5);
    assert_eq!(follower.view(now + 10 * S).members.len(), 6);
    let old = follower.view(now + 200 * S);
    // With nothing else to go by, its servers are used on.
    assert_eq!((old.trust, old.members.len(), old.following), (0.0, 6, None));
}

#[test]
fn without_planners_the_membership_is_read_and_removed_servers_are_replaced() {
    let names: Vec<String> = (0..28).map(|k| format!("f{k}")).collect();
    let refs: Vec<&str> = names.iter().map(String::as_str).collect();
    let (mut planner, now) = planner(210, &refs);
    let mut follower = follower();
    exchange(now, &mut planner, 0, &mut follower);
    let planned: Vec<String> = follower.view(now).members.into_iter().map(|m| m.name).collect();
    assert!((20..70).contains(&planned.len()), "{}", planned.len());
    // Most of the fleet is replaced while no planner is reachable.
    let mut list: Vec<Member> = members(210).split_off(200);
    list.extend((0..200).map(|k| Member::warm(&format!("new-{k}"))));
    let later = now + 3 * S;
    follower.update_membership(later, 9, true, list.clone());
    let view = follower.view(later);
    let ready: Vec<&str> =
        view.members.iter().filter(|m| m.server.phase == Phase::Ready).map(|m| m.name.as_str()).collect();
    assert!(
        ready.len() >= planned.len() && ready.iter().all(|n| list.iter().any(|m| m.name == *n)),
        "{ready:?}"
    );
    assert!(ready.len() < 100, "still a subset of the fleet");
    // Once the plan is too old to be trusted, the full membership is used.
    assert_eq!(follower.view(now + 200 * S).members.len(), 210);
    // A forwarder that never received a plan starts with the membership.
    let mut fresh = Follower::new(0, "f9", "perth", &[]);
    fresh.update_membership(0, 1, true, members(5));
    assert_eq!(fresh.view(0).members.len(), 5);
}

#[test]
fn slow_start_budgets_are_split_and_the_lowest_applies() {
    let start_new_server = |planner: &mut Planner, now: Nanos, share: f32| {
        for k in 0..5 {
            let row = server_report(&format!("box-{k}"), share);
            planner.report(now, "f0", &Report { rows: vec![row], ..Report::default() }).unwrap();
        }
        planner.update_membership(now, 2, false, vec![Member::warm("new").started(now)]);
        planner.poll(now + HEARTBEAT_INTERVAL);
    };
    let (mut a, now) = planner(5, &["f0", "f1"]);
    let (mut b, _) = planner(5, &["f0", "f1"]);
    let mut follower = follower();
    // A warm server serves 10/s according to the one planner, 4/s according to the other: scores decay in 10 s.
    start_new_server(&mut a, now, 100.0);
    start_new_server(&mut b, now, 40.0);
    exchange(now + HEARTBEAT_INTERVAL, &mut a, 0, &mut follower);
    let rate = |f: &Follower| {
        f.view(now + HEARTBEAT_INTERVAL).planned.iter().find(|w| w.name == "new").unwrap().slow_start_rate
    };
    // 0.9 of a fifth of 10/s, over two planners and two forwarders; a little of the slow start has passed.
    let first = rate(&follower);
    assert!((first / (0.9 * 0.2 * 10.0 / 4.0) - 1.0).abs() < 0.15, "{first}");
    exchange(now + HEARTBEAT_INTERVAL, &mut b, 1, &mut follower);
    assert!(rate(&follower) < 0.5 * first, "the lower of both");
    let sum = 2.0 * 2.0 * first;
    assert!(sum <= 0.9 * 0.25 * 10.0, "two planners' forwarders together: {sum}");
}

#[test]
fn suspicion_needs_several_reporters_and_is_limited_to_half_of_the_servers() {
    let (mut planner, now) = planner(10, &["f0", "f1", "f2"]);
    let ejected = |name: &str| ServerReport {
        ejected: true,
        failure_rate: 1.0,
        outcomes: vec![0, 0, 0, 0, 9],
        ..server_report(name, 1.0)
    };
    let report = |rows| Report { rows, ..Report::default() };
    planner.report(now, "f0", &report(vec![ejected("box-1")])).unwrap();
    planner.report(now, "f1", &report(vec![server_report("box-1", 9.0)])).unwrap();
    planner.report(now, "f2", &report(vec![server_report("box-1", 9.0)])).unwrap();
    let mut follower = follower();
    exchange(now, &mut planner, 0, &mut follower);
    let suspects =
        |f: &Follower| f.view(now + S).planned.iter().filter(|w| w.suspicion != Suspicion::None).count();
    assert_eq!(suspects(&follower), 0, "failures at one forwarder do not make a server suspected");
    planner.report(now, "f1", &report(vec![ejected("box-1")])).unwrap();
    exchange(now, &mut planner, 0, &mut follower);
    assert_eq!(suspects(&follower), 1);
    let text = planner.explain(
        now,
        &laurelroute_plan::wire::ExplainRequest { server: "box-1".into(), ..Default::default() },
    );
    assert!(text.contains("suspected: it takes no connections"), "{text}");
    for name in ["f0", "f1", "f2"] {
        let all = (0..10).map(|k| ejected(&format!("box-{k}"))).collect();
        planner.report(now, name, &report(all)).unwrap();
    }
    exchange(now + S, &mut planner, 0, &mut follower);
    assert!((1..=5).contains(&suspects(&follower)), "{}", suspects(&follower));
}

#[test]
fn rate_shares_follow_the_demand() {
    let (mut planner, now) = planner(4, &["f0", "f1"]);
    let mut follower = follower();
    let demand = |rate| Report {
        classes: vec![RateShare { name: "gauges".into(), rate }],
        tenants: vec![RateShare { name: "swan".into(), rate }],
        ..Report::default()
    };
    planner.poll(now + HEARTBEAT_INTERVAL);
    planner.report(now, "f1", &demand(30.0)).unwrap();
    planner.report(now, "f0", &demand(90.0)).unwrap();
    exchange(now, &mut planner, 0, &mut follower);
    let view = follower.view(now);
    let (class, tenant) = (view.classes["gauges"], view.tenants["swan"]);
    assert!((class - 70.0).abs() < 1.0, "a tenth as even share, three quarters of the rest: {class}");
    assert!((tenant - 35.0).abs() < 0.5, "{tenant}");
    assert!(!view.classes.contains_key("status"), "it has no limit");
}

#[test]
fn invalid_reports_change_nothing() {
    let (mut planner, now) = planner(4, &["f0"]);
    let invalid = [
        Report { rows: vec![server_report("", 1.0)], ..Report::default() },
        Report { rows: vec![server_report("box-1", f32::NAN)], ..Report::default() },
        Report { rows: vec![server_report("box-1", -1.0)], ..Report::default() },
        Report {
            rows: vec![ServerReport { failure_rate: 2.0, ..server_report("box-1", 1.0) }],
            ..Report::default()
        },
        Report { rows: vec![server_report("box-1", 1.0); 5_000], ..Report::default() },
        Report { tenants: vec![RateShare { name: "swan".into(), rate: f32::INFINITY }], ..Report::default() },
    ];
    for report in invalid {
        assert!(planner.report(now, "f0", &report).is_err(), "{report:?}");
    }
    assert!(planner
        .report(now, "who", &Report::default())
        .unwrap_err()
        .to_string()
        .contains("`who` has not joined"));
    let update = planner.next_update(now, "f0").unwrap();
    assert!(update.rows.iter().all(|r| r.grade == 0 && r.suspicion == 0));
    // Unlisted servers and acknowledgements of another incarnation are ignored.
    planner
        .report(now, "f0", &Report { rows: vec![server_report("unknown", 1.0)], ..Report::default() })
        .unwrap();
    let closed =
        ClosedServer { name: "unknown".into(), membership: 9, removed: true, ..ClosedServer::default() };
    planner.report(now, "f0", &Report { closed: vec![closed], ..Report::default() }).unwrap();
    planner.handle_ack("f0", &PlanAck { incarnation: 1, version: 1, refused: 0 });
    planner.handle_ack("f0", &PlanAck { incarnation: 100, version: 99, refused: 0 });
}

#[test]
fn a_briefly_disconnected_forwarder_keeps_its_servers() {
    let (mut planner, now) = planner(30, &["f0", "f1", "f2", "f3", "f4", "f5"]);
    let before: Vec<String> = planner.subset_of("f1").into_iter().map(str::to_owned).collect();
    planner.forwarder_disconnected(now, "f0");
    planner.poll(now + FORWARDER_GRACE / 2);
    assert_eq!(planner.subset_of("f1"), before);
    planner.poll(now + FORWARDER_GRACE + S);
    planner.poll(now + FORWARDER_GRACE + 2 * S);
    let after = planner.subset_of("f1");
    assert!(before.iter().all(|b| after.contains(&b.as_str())) || after.len() >= before.len(), "{after:?}");
    let held: usize = ["f1", "f2", "f3", "f4", "f5"].iter().map(|f| planner.subset_of(f).len()).sum();
    assert_eq!(held, 30 * planner.cover().forwarders);
    assert_eq!(PLANNER_FRESH_TIME, S);
}

/// Lets a planner and the forwarder exchange heartbeats, without word of the planner's source, from `from` to `until`.
fn exchange_until(planner: &mut Planner, index: usize, follower: &mut Follower, from: Nanos, until: Nanos) {
    let mut now = from;
    while now <= until {
        planner.poll(now);
        exchange(now, planner, index, follower);
        follower.poll(now);
        now += HEARTBEAT_INTERVAL;
    }
}

// Guards against a planner that hears nothing of discovery and keeps its forwarders from reading it themselves.
#[test]
fn a_planner_whose_own_list_is_stale_does_not_keep_its_forwarders_from_reading_the_membership() {
    let (mut planner, now) = planner(6, &["f0"]);
    let mut follower = follower();
    planner.confirm_membership(now);
    exchange_until(&mut planner, 0, &mut follower, now, now + STALE_LIST_AGE - MS);
    assert!(!follower.needs_membership(now + STALE_LIST_AGE - MS));
    exchange_until(&mut planner, 0, &mut follower, now + STALE_LIST_AGE, now + 10 * S);
    let later = now + 10 * S;
    assert!(follower.needs_membership(now + STALE_LIST_AGE) && follower.needs_membership(later));
    assert_eq!(follower.view(later).members.len(), 6, "it goes on serving by the last plan");
    // What the membership's source says applies, whatever the planner confirms.
    follower.update_membership(later, 2, false, vec![Member::warm("box-1").in_phase(Phase::Draining)]);
    exchange_until(&mut planner, 0, &mut follower, later, later + S);
    assert_eq!(phase(&follower, later + S, "box-1"), Some(Phase::Draining));
    // Once the planner hears of the list again, and has what the forwarder has, it is enough.
    planner.update_membership(later + S, 2, false, vec![Member::warm("box-1").in_phase(Phase::Draining)]);
    exchange_until(&mut planner, 0, &mut follower, later + S, later + 2 * S);
    assert!(!follower.needs_membership(later + 2 * S));
}

// Guards against a forwarder that follows a planner with a stale list beside one with a fresh list.
#[test]
fn a_planner_with_a_fresh_list_is_preferred_at_once_to_one_with_a_stale_list() {
    let (mut a, now) = planner(6, &["f0"]);
    let (mut b, _) = planner(6, &["f0"]);
    let mut follower = follower();
    exchange(now, &mut a, 0, &mut follower);
    exchange(now, &mut b, 1, &mut follower);
    let followed = follower.followed_plan().unwrap().0;
    let (stale, fresh) = if followed == 0 { (&mut a, &mut b) } else { (&mut b, &mut a) };
    let mut switched_at = None;
    for step in 1..60 {
        let at = now + step * HEARTBEAT_INTERVAL;
        fresh.confirm_membership(at);
        exchange(at, stale, followed, &mut follower);
        exchange(at, fresh, 1 - followed, &mut follower);
        follower.poll(at);
        assert!(!follower.needs_membership(at), "one planner's list is fresh");
        if follower.followed_plan().unwrap().0 != followed {
            switched_at.get_or_insert(at);
        }
    }
    let switched_at = switched_at.expect("it follows the other planner");
    assert!(switched_at <= now + STALE_LIST_AGE + HEARTBEAT_INTERVAL, "{switched_at}");
    assert_eq!(follower.switches(), 2);
}

// Guards against a planner with a fresh list that is rejected because a stale one names a later version.
#[test]
fn the_latest_membership_is_followed_where_all_lists_are_stale_and_a_fresh_one_before_it() {
    let (mut a, now) = planner(6, &["f0"]);
    let (mut b, _) = planner(6, &["f0"]);
    let mut follower = follower();
    exchange(now, &mut a, 0, &mut follower);
    let later = now + S;
    b.update_membership(later, 7, false, vec![Member::warm("box-2").in_phase(Phase::Draining)]);
    for step in 0..40 {
        let at = later + step * HEARTBEAT_INTERVAL;
        exchange(at, &mut a, 0, &mut follower);
        exchange(at, &mut b, 1, &mut follower);
        follower.poll(at);
    }
    let stale = later + 40 * HEARTBEAT_INTERVAL;
    assert_eq!(follower.followed_plan().map(|p| (p.0, p.3)), Some((1, 7)), "the latest of the stale ones");
    assert_eq!(phase(&follower, stale, "box-2"), Some(Phase::Draining));
    // The other one's source speaks again, with an earlier version: its list is the fresh one, and what was known to
    // drain stays closed.
    a.update_membership(stale, 2, false, Vec::new());
    exchange(stale + HEARTBEAT_INTERVAL, &mut a, 0, &mut follower);
    exchange(stale + HEARTBEAT_INTERVAL, &mut b, 1, &mut follower);
    follower.poll(stale + HEARTBEAT_INTERVAL);
    assert_eq!(follower.followed_plan().map(|p| p.0), Some(0));
    assert_eq!(phase(&follower, stale + HEARTBEAT_INTERVAL, "box-2"), Some(Phase::Draining));
}

#[test]
fn a_configured_membership_closes_nothing_and_yields_to_a_plan() {
    let (mut planner, now) = planner(6, &["f0"]);
    let mut follower = follower();
    // Version 9 is later than the planner's: discovery has begun anew since the configuration was written.
    assert!(follower.use_configured_membership(9, vec![Member::warm("box-1").in_phase(Phase::Draining)]));
    assert_eq!(follower.view(now).members.len(), 1);
    exchange(now, &mut planner, 0, &mut follower);
    assert_eq!(follower.view(now).members.len(), 6);
    assert_eq!(phase(&follower, now, "box-1"), Some(Phase::Ready));
    assert!(!follower.needs_membership(now));
}
