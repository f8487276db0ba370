//! More boxes than a planner holds, or than a forwarder takes: what is not planned for is counted and told.

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

fn told(planner: &Planner, server: &str) -> String {
    planner.explain(&ExplainRequest { server: server.into(), ..ExplainRequest::default() })
}

#[test]
fn boxes_over_the_limit_are_counted_and_told() {
    let mut planner = planner();
    let list = |count: usize| (0..count).map(member).collect::<Vec<_>>();
    planner.update_membership(0, 1, true, list(MAX_SERVERS));
    assert_eq!((planner.over_limit(), planner.limits().len()), (0, 0));
    planner.update_membership(0, 2, false, (0..3).map(|k| member(MAX_SERVERS + k)).collect());
    planner.update_membership(0, 3, false, vec![member(MAX_SERVERS + 1)]);
    let line = format!("3 boxes over the limit of {MAX_SERVERS} are not planned for\n");
    assert!(told(&planner, "").contains(&line), "{}", told(&planner, ""));
    let one = format!("box-{}", MAX_SERVERS + 2);
    assert_eq!(
        told(&planner, &one),
        format!("box {one} is over the limit of {MAX_SERVERS} and not planned for\n")
    );
    // One that leaves is over no limit any more, and a whole list says who there is.
    planner.update_membership(0, 4, false, vec![member(MAX_SERVERS).in_phase(Phase::Removed)]);
    assert_eq!(planner.over_limit(), 2);
    planner.update_membership(0, 5, true, list(MAX_SERVERS + 1));
    assert_eq!(planner.over_limit(), 1);
    planner.update_membership(0, 6, true, list(MAX_SERVERS));
    assert_eq!((planner.over_limit(), told(&planner, &one)), (0, format!("no box is named `{one}`\n")));
}

#[test]
fn a_forwarder_gets_no_more_than_it_takes() {
    let mut planner = planner();
    planner.update_membership(0, 1, true, (0..MAX_ROWS + 5).map(member).collect());
    planner.forwarder_connected(0, "f0", 0).expect("there is room");
    planner.poll(DEFAULT_SETTLE_TIME);
    assert_eq!((planner.subset_of("f0").len(), planner.left_out()), (MAX_ROWS, 5));
    let line = format!("5 boxes over the {MAX_ROWS} that a forwarder takes are left out of subsets\n");
    assert!(told(&planner, "").contains(&line), "{}", told(&planner, ""));
    let part = planner.next_update(DEFAULT_SETTLE_TIME, "f0").expect("a whole plan");
    let mut follower = Follower::new(0, "f0", "perth", &["a".into()]);
    assert_eq!(follower.receive(DEFAULT_SETTLE_TIME, 0, &part).refused, 0, "it takes that");
    assert_eq!(follower.view(DEFAULT_SETTLE_TIME).members.len(), MAX_ROWS);
}
