//! Servers beyond the limits of a planner or of a forwarder's subset are counted and shown in the explanation.

use laurelroute_plan::follower::{Follower, MAX_ROWS};
use laurelroute_plan::member::Member;
use laurelroute_plan::planner::{Planner, Settings, DEFAULT_SETTLE_TIME, MAX_SERVERS};
use laurelroute_plan::wire::ExplainRequest;
use laurelroute_policy::interface::Phase;

fn planner() -> Planner {
    let settings = Settings {
        site: "perth".into(),
        incarnation: 100,
        planners: 1,
        max_connections: None,
        wanted_connections: 8,
        initial_capacity: 0.2,
        ramp: 10_000_000_000,
        settle_time: DEFAULT_SETTLE_TIME,
        classes: Vec::new(),
        tenants: Vec::new(),
        bytes_per_second: 8_000.0,
    };
    Planner::new(0, settings)
}

fn member(k: usize) -> Member {
    Member::warm(&format!("box-{k}"))
}

fn explain(planner: &Planner, server: &str) -> String {
    planner.explain(0, &ExplainRequest { server: server.into(), ..ExplainRequest::default() })
}

#[test]
fn servers_over_the_limit_are_counted_and_explained() {
    let mut planner = planner();
    let members = |count: usize| (0..count).map(member).collect::<Vec<_>>();
    planner.update_membership(0, 1, true, members(MAX_SERVERS));
    assert_eq!((planner.over_limit(), planner.limits().len()), (0, 0));
    planner.update_membership(0, 2, false, (0..3).map(|k| member(MAX_SERVERS + k)).collect());
    planner.update_membership(0, 3, false, vec![member(MAX_SERVERS + 1)]);
    let line = format!("3 boxes over the limit of {MAX_SERVERS} are not planned for\n");
    assert!(explain(&planner, "").contains(&line), "{}", explain(&planner, ""));
    let over_limit = format!("box-{}", MAX_SERVERS + 2);
    assert_eq!(
        explain(&planner, &over_limit),
        format!("box {over_limit} is over the limit of {MAX_SERVERS} and not planned for\n")
    );
    // A removed server no longer counts, and a full list resets the count.
    planner.update_membership(0, 4, false, vec![member(MAX_SERVERS).in_phase(Phase::Removed)]);
    assert_eq!(planner.over_limit(), 2);
    planner.update_membership(0, 5, true, members(MAX_SERVERS + 1));
    assert_eq!(planner.over_limit(), 1);
    planner.update_membership(0, 6, true, members(MAX_SERVERS));
    assert_eq!(
        (planner.over_limit(), explain(&planner, &over_limit)),
        (0, format!("no box is named `{over_limit}`\n"))
    );
}

#[test]
fn a_subset_is_limited_to_the_maximum_of_a_forwarder() {
    let mut planner = planner();
    planner.update_membership(0, 1, true, (0..MAX_ROWS + 5).map(member).collect());
    planner.forwarder_connected(0, "f0", 0).expect("below the limit on forwarders");
    planner.poll(DEFAULT_SETTLE_TIME);
    assert_eq!((planner.subset_of("f0").len(), planner.left_out()), (MAX_ROWS, 5));
    let line = format!("5 boxes over the {MAX_ROWS} that a forwarder takes are left out of subsets\n");
    assert!(explain(&planner, "").contains(&line), "{}", explain(&planner, ""));
    let update = planner.next_update(DEFAULT_SETTLE_TIME, "f0").expect("a full plan");
    let mut follower = Follower::new(0, "f0", "perth", &["a".into()]);
    assert_eq!(follower.receive(DEFAULT_SETTLE_TIME, 0, &update).refused, 0, "the plan is accepted");
    assert_eq!(follower.view(DEFAULT_SETTLE_TIME).members.len(), MAX_ROWS);
}
