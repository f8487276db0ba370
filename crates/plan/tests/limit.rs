//! More boxes than a planner holds, or than a forwarder takes: what is not planned for is counted and told.

use laurelroute_plan::follower::{Follower, MOST_ROWS};
use laurelroute_plan::member::Member;
use laurelroute_plan::planner::{Planner, Settings, MOST_BOXES, SETTLE};
use laurelroute_plan::wire::Ask;
use laurelroute_policy::interface::Phase;

fn planner() -> Planner {
    let settings = Settings {
        site: "perth".into(),
        life: 100,
        planners: 1,
        cap: None,
        wanted: 8,
        cold_from: 0.2,
        ramp: 10_000_000_000,
        settle: SETTLE,
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
    planner.explain(&Ask { server: server.into(), ..Ask::default() })
}

#[test]
fn boxes_over_the_limit_are_counted_and_told() {
    let mut planner = planner();
    let list = |count: usize| (0..count).map(member).collect::<Vec<_>>();
    planner.membership(0, 1, true, list(MOST_BOXES));
    assert_eq!((planner.over_limit(), planner.limits().len()), (0, 0));
    planner.membership(0, 2, false, (0..3).map(|k| member(MOST_BOXES + k)).collect());
    planner.membership(0, 3, false, vec![member(MOST_BOXES + 1)]);
    let line = format!("3 boxes over the limit of {MOST_BOXES} are not planned for\n");
    assert!(told(&planner, "").contains(&line), "{}", told(&planner, ""));
    let one = format!("box-{}", MOST_BOXES + 2);
    assert_eq!(
        told(&planner, &one),
        format!("box {one} is over the limit of {MOST_BOXES} and not planned for\n")
    );
    // One that leaves is over no limit any more, and a whole list says who there is.
    planner.membership(0, 4, false, vec![member(MOST_BOXES).in_phase(Phase::Removed)]);
    assert_eq!(planner.over_limit(), 2);
    planner.membership(0, 5, true, list(MOST_BOXES + 1));
    assert_eq!(planner.over_limit(), 1);
    planner.membership(0, 6, true, list(MOST_BOXES));
    assert_eq!((planner.over_limit(), told(&planner, &one)), (0, format!("no box is named `{one}`\n")));
}

#[test]
fn a_forwarder_gets_no_more_than_it_takes() {
    let mut planner = planner();
    planner.membership(0, 1, true, (0..MOST_ROWS + 5).map(member).collect());
    planner.joined(0, "f0", 0).expect("there is room");
    planner.poll(SETTLE);
    assert_eq!((planner.subset_of("f0").len(), planner.left_out()), (MOST_ROWS, 5));
    let line = format!("5 boxes over the {MOST_ROWS} that a forwarder takes are left out of subsets\n");
    assert!(told(&planner, "").contains(&line), "{}", told(&planner, ""));
    let part = planner.next_part(SETTLE, "f0").expect("a whole plan");
    let mut follower = Follower::new(0, "f0", "perth", &["a".into()]);
    assert_eq!(follower.receive(SETTLE, 0, &part).refused, 0, "it takes that");
    assert_eq!(follower.view(SETTLE).members.len(), MOST_ROWS);
}
