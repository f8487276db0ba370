//! Publisher and subscriber together, message by message.

use laurelroute_plan::member::Member;
use laurelroute_plan::services::publisher::{
    LagReason, ListedServer, Publisher, Settings as PublisherSettings, ACK_TIMEOUT, FRAMING_BYTES,
    HEARTBEAT_INTERVAL, STALE_LIST_TIMEOUT,
};
use laurelroute_plan::services::subscriber::{
    Change, ServiceStatus, Settings, Subscriber, MAX_PENDING_SERVICES,
};
use laurelroute_plan::wire::{
    Chunk, ExplainRequest, Report, ServerReport, ServiceChanges, Suspicion, Update, UpdateAck,
};
use laurelroute_policy::interface::{Nanos, Phase};
use prost::Message;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn publisher(life: u64) -> Publisher {
    let settings = PublisherSettings {
        site: "perth".into(),
        incarnation: life,
        planners: 2,
        max_forwarders: 100,
        bytes_per_second: 7_000.0,
        burst: 36_000.0,
        drain_bytes_per_second: 1_500.0,
        drain_burst: 4_000.0,
    };
    Publisher::new(0, settings)
}

fn settings(name: &str) -> Settings {
    Settings {
        name: name.into(),
        site: "perth".into(),
        planners: vec!["a".into(), "b".into()],
        max_services: 1_000,
        max_bytes: 32 << 20,
        unused_timeout: 600 * S,
        unknown_ttl: 30 * S,
        bytes_per_second: 1_500.0,
        burst: 8_000.0,
        receive_bytes_per_second: 7_000.0,
        receive_burst: 36_000.0,
        seed: 1,
    }
}

fn listed(service: &str, member: Member) -> ListedServer {
    ListedServer { services: vec![service.into()], member }
}

fn servers(service: &str, count: usize) -> Vec<ListedServer> {
    (0..count).map(|k| listed(service, Member::warm(&format!("{service}-{k:04}")))).collect()
}

fn draining(service: &str, name: &str) -> ListedServer {
    listed(service, Member::warm(name).in_phase(Phase::Draining))
}

fn gone(service: &str, name: &str) -> ListedServer {
    listed(service, Member::warm(name).in_phase(Phase::Removed))
}

/// A forwarder that is connected to this planner.
fn connect(now: Nanos, publisher: &mut Publisher, name: &str, life: u64) -> Subscriber {
    let mut subscriber = Subscriber::new(now, settings(name));
    join(now, publisher, &mut subscriber, name, (0, life));
    subscriber
}

fn join(
    now: Nanos,
    publisher: &mut Publisher,
    subscriber: &mut Subscriber,
    name: &str,
    (planner, life): (usize, u64),
) {
    publisher.forwarder_connected(now, name, 0).unwrap();
    subscriber.connected(now, planner, life);
}

/// One message each way until there is nothing more to say at this time; the updates.
fn exchange(
    now: Nanos,
    publisher: &mut Publisher,
    subscriber: &mut Subscriber,
    name: &str,
    planner: usize,
) -> Vec<Update> {
    let mut updates = Vec::new();
    loop {
        let mut quiet = true;
        while let Some(word) = subscriber.next_subscribe(now) {
            publisher.subscribe(now, name, &word).unwrap();
            quiet = false;
        }
        while let Some(update) = publisher.next_update(now, name).unwrap() {
            if let Some(answer) = subscriber.receive(now, planner, &update) {
                publisher.acknowledge(now, name, &answer);
            }
            updates.push(update);
            quiet = false;
        }
        if quiet {
            return updates;
        }
    }
}

fn names(subscriber: &Subscriber, service: &str) -> Vec<String> {
    subscriber.members_of(service).unwrap_or_default().iter().map(|m| m.name.clone()).collect()
}

fn equal(publisher: &Publisher, subscriber: &Subscriber, name: &str, service: &str) {
    let planned: Vec<_> =
        publisher.assigned_members(name, service).expect("subscribed").into_iter().cloned().collect();
    let held: Vec<_> = subscriber.members_of(service).expect("held").into_iter().cloned().collect();
    assert_eq!(planned, held, "{service}");
}

fn changes(updates: &[Update]) -> Vec<ServiceChanges> {
    updates.iter().flat_map(|u| u.unpacked().expect("it can be read")).collect()
}

fn pieces(updates: &[Update]) -> Vec<Chunk> {
    changes(updates).iter().map(|c| c.chunk()).collect()
}

#[test]
fn a_service_comes_with_its_first_request_and_then_only_what_changes() {
    let mut publisher = publisher(7);
    let mut list = servers("tide", 20);
    list.extend(servers("rain", 3));
    publisher.apply_list(0, 1, true, list);
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    assert!(
        exchange(0, &mut publisher, &mut f0, "f0", 0).is_empty(),
        "nothing is sent that nobody asked for"
    );
    assert_eq!(f0.lookup(0, "tide"), ServiceStatus::Pending);
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    assert_eq!(f0.lookup(0, "tide"), ServiceStatus::Available);
    equal(&publisher, &f0, "f0", "tide");
    assert_eq!(f0.members_of("rain"), None);
    let Some(Change::Members { service, members, subscribers }) = f0.changes().pop() else { panic!() };
    assert_eq!((service.as_str(), members.len(), subscribers), ("tide", 20, 2));
    publisher.apply_list(S, 2, false, vec![draining("tide", "tide-0003"), gone("tide", "tide-0004")]);
    publisher.apply_list(S, 3, false, vec![draining("rain", "rain-0001")]);
    let updates = exchange(S, &mut publisher, &mut f0, "f0", 0);
    let [changes] = &changes(&updates)[..] else { panic!("{updates:?}") };
    assert_eq!((changes.rows.len(), changes.removed.len(), changes.base > 0), (1, 1, true));
    let Some(Change::Members { members, .. }) = f0.changes().pop() else { panic!() };
    let phases: Vec<_> = members.iter().map(|m| (m.name.as_str(), m.server.phase)).collect();
    assert_eq!(phases, [("tide-0003", Phase::Draining), ("tide-0004", Phase::Removed)]);
    equal(&publisher, &f0, "f0", "tide");
    assert!(exchange(S, &mut publisher, &mut f0, "f0", 0).is_empty());
    let beat = exchange(2 * S, &mut publisher, &mut f0, "f0", 0);
    assert_eq!((beat.len(), beat[0].number), (1, 0), "that all stands is said");
}

#[test]
fn one_that_comes_back_gets_what_changed_and_nothing_else() {
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, servers("tide", 20));
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    f0.lookup(0, "tide");
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    publisher.forwarder_disconnected(S, "f0");
    f0.connection_lost(S, 0);
    publisher.apply_list(2 * S, 2, false, vec![gone("tide", "tide-0001")]);
    publisher.apply_list(2 * S, 3, false, vec![draining("tide", "tide-0002")]);
    publisher.apply_list(2 * S, 4, false, vec![listed("tide", Member::warm("tide-0002"))]);
    assert_eq!(f0.lookup(2 * S, "tide"), ServiceStatus::Available, "what is held outlives the connection");
    join(3 * S, &mut publisher, &mut f0, "f0", (0, 7));
    let updates = exchange(3 * S, &mut publisher, &mut f0, "f0", 0);
    let changes = changes(&updates);
    assert_eq!(changes.len(), 1);
    // The drain that was taken back meanwhile is told as the server stands now.
    assert_eq!((changes[0].rows.len(), changes[0].removed.len()), (1, 1));
    equal(&publisher, &f0, "f0", "tide");
}

#[test]
fn another_planner_sends_nothing_of_what_is_held_alike() {
    let mut a = publisher(7);
    let mut b = publisher(9);
    a.apply_list(0, 1, true, servers("tide", 20));
    b.apply_list(0, 1, true, servers("tide", 20));
    let mut f0 = connect(0, &mut a, "f0", 7);
    f0.lookup(0, "tide");
    exchange(0, &mut a, &mut f0, "f0", 0);
    f0.connection_lost(S, 0);
    join(S, &mut b, &mut f0, "f0", (1, 9));
    assert_eq!(pieces(&exchange(S, &mut b, &mut f0, "f0", 1)), [Chunk::Unchanged]);
    b.apply_list(S, 2, false, vec![gone("tide", "tide-0001")]);
    assert_eq!(pieces(&exchange(S, &mut b, &mut f0, "f0", 1)), [Chunk::Last]);
    equal(&b, &f0, "f0", "tide");
    // Where it differs, the whole comes, and what it does not name goes.
    a.apply_list(2 * S, 3, false, vec![gone("tide", "tide-0001"), gone("tide", "tide-0009")]);
    f0.connection_lost(2 * S, 1);
    join(2 * S, &mut a, &mut f0, "f0", (0, 7));
    exchange(2 * S, &mut a, &mut f0, "f0", 0);
    equal(&a, &f0, "f0", "tide");
    assert_eq!(names(&f0, "tide").len(), 18);
}

#[test]
fn a_drain_goes_ahead_of_a_long_whole() {
    let mut publisher = publisher(7);
    // One service beside enough others that the bytes are used up for a while.
    let mut list = servers("tide", 30);
    (0..100).for_each(|k| list.extend(servers(&format!("s{k:03}"), 30)));
    publisher.apply_list(0, 1, true, list);
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    f0.lookup(0, "tide");
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    (0..100).for_each(|k| {
        f0.lookup(0, &format!("s{k:03}"));
    });
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    let held = (0..100).filter(|k| f0.members_of(&format!("s{k:03}")).is_some()).count();
    assert!(held > 20, "{held} services have begun");
    // The bytes are used up; the drain has bytes of its own.
    publisher.apply_list(MS, 2, false, vec![draining("tide", "tide-0003")]);
    exchange(MS, &mut publisher, &mut f0, "f0", 0);
    let drained = f0.members_of("tide").unwrap().into_iter().find(|m| m.name == "tide-0003").unwrap();
    assert_eq!(drained.server.phase, Phase::Draining);
}

#[test]
fn first_pieces_of_many_services_come_before_the_rest_of_any() {
    let mut publisher = publisher(7);
    let list = (0..60).flat_map(|k| servers(&format!("s{k:02}"), 60)).collect();
    publisher.apply_list(0, 1, true, list);
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    (0..60).for_each(|k| {
        f0.lookup(0, &format!("s{k:02}"));
    });
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    assert!((0..60).all(|k| f0.lookup(0, &format!("s{k:02}")) == ServiceStatus::Available));
    let mut now = 0;
    while now < 60 * S {
        now += S / 4;
        exchange(now, &mut publisher, &mut f0, "f0", 0);
    }
    (0..60).for_each(|k| equal(&publisher, &f0, "f0", &format!("s{k:02}")));
}

#[test]
fn a_large_service_is_cut_into_slices_and_every_forwarder_holds_one() {
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, servers("tide", 40));
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    f0.lookup(0, "tide");
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    assert_eq!(names(&f0, "tide").len(), 40);
    // It grows a hundredfold: what f0 holds is a slice from now on.
    publisher.apply_list(S, 2, true, servers("tide", 4_000));
    exchange(10 * S, &mut publisher, &mut f0, "f0", 0);
    equal(&publisher, &f0, "f0", "tide");
    assert!((12..90).contains(&names(&f0, "tide").len()), "{}", names(&f0, "tide").len());
    let mut seen = std::collections::BTreeSet::new();
    for k in 0..90 {
        let name = format!("g{k}");
        let mut f = connect(11 * S, &mut publisher, &name, 7);
        f.lookup(11 * S, "tide");
        exchange(11 * S, &mut publisher, &mut f, &name, 0);
        equal(&publisher, &f, &name, "tide");
        seen.extend(names(&f, "tide"));
    }
    assert!(seen.len() > 1_500, "{} servers of 4000 are used by 90 forwarders", seen.len());
    // And shrinks again: all of them are everybody's.
    publisher.apply_list(12 * S, 3, true, servers("tide", 20));
    exchange(20 * S, &mut publisher, &mut f0, "f0", 0);
    assert_eq!(names(&f0, "tide").len(), 20);
}

#[test]
fn a_name_that_does_not_exist_is_an_answer_and_takes_no_place() {
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, servers("tide", 3));
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    f0.lookup(0, "tide");
    assert_eq!(f0.lookup(0, "nowhere"), ServiceStatus::Pending);
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    assert_eq!(f0.lookup(0, "nowhere"), ServiceStatus::Unknown);
    assert!(f0.changes().contains(&Change::Unknown("nowhere".into())));
    // A flood of made-up names: no more of them wait than may, and what is in use stays.
    for round in 0..20u64 {
        for k in 0..1_000 {
            f0.lookup(round * S, &format!("made-up-{round}-{k}"));
        }
        assert!(f0.stats().services <= 1);
        exchange(round * S, &mut publisher, &mut f0, "f0", 0);
        assert_eq!(f0.lookup(round * S, "tide"), ServiceStatus::Available);
    }
    assert!(f0.stats().unknown <= 4_096);
    // With nobody to ask, too.
    f0.connection_lost(20 * S, 0);
    let full = (0..2 * MAX_PENDING_SERVICES)
        .filter(|k| f0.lookup(20 * S, &format!("x{k}")) == ServiceStatus::AtCapacity)
        .count();
    assert!(full >= MAX_PENDING_SERVICES);
    assert_eq!(f0.lookup(20 * S, "tide"), ServiceStatus::Available);
    // One that comes into being is asked for again after a while.
    let mut f0 = connect(21 * S, &mut publisher, "f0", 7);
    f0.lookup(21 * S, "nowhere");
    exchange(21 * S, &mut publisher, &mut f0, "f0", 0);
    publisher.apply_list(22 * S, 2, false, servers("nowhere", 2));
    f0.poll(60 * S);
    assert_eq!(f0.lookup(60 * S, "nowhere"), ServiceStatus::Pending);
    exchange(60 * S, &mut publisher, &mut f0, "f0", 0);
    assert_eq!(f0.lookup(60 * S, "nowhere"), ServiceStatus::Available);
}

#[test]
fn what_is_least_used_makes_room_and_nothing_with_a_request_under_way() {
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, (0..8).flat_map(|k| servers(&format!("s{k}"), 2)).collect());
    let mut f0 = Subscriber::new(0, Settings { max_services: 3, ..settings("f0") });
    join(0, &mut publisher, &mut f0, "f0", (0, 7));
    for k in 0..3u64 {
        f0.lookup(k * S, &format!("s{k}"));
        exchange(k * S, &mut publisher, &mut f0, "f0", 0);
    }
    f0.request_started("s0");
    f0.lookup(5 * S, "s2");
    f0.lookup(6 * S, "s5");
    exchange(6 * S, &mut publisher, &mut f0, "f0", 0);
    let held =
        |f: &Subscriber| (0..8).filter(|k| f.members_of(&format!("s{k}")).is_some()).collect::<Vec<_>>();
    assert_eq!(held(&f0), [0, 2, 5], "s1 was used last of all but s0, which has a request");
    assert!(f0.changes().contains(&Change::Dropped("s1".into())));
    assert_eq!(publisher.stats().subscriptions, 3);
    f0.request_finished(7 * S, "s0");
    f0.lookup(7 * S, "s6");
    exchange(7 * S, &mut publisher, &mut f0, "f0", 0);
    assert_eq!(held(&f0), [2, 5, 6]);
    // All in use: the newcomer goes.
    ["s2", "s5", "s6"].iter().for_each(|s| f0.request_started(s));
    f0.lookup(8 * S, "s7");
    exchange(8 * S, &mut publisher, &mut f0, "f0", 0);
    assert_eq!(held(&f0), [2, 5, 6]);
    ["s2", "s5", "s6"].iter().for_each(|s| f0.request_finished(8 * S, s));
    // Unused for long.
    f0.lookup(300 * S, "s5");
    f0.poll(620 * S);
    assert_eq!(held(&f0), [5]);
}

#[test]
fn a_change_is_in_force_where_it_is_acknowledged_and_nowhere_else() {
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, servers("tide", 10));
    let mut f: Vec<Subscriber> = (0..3).map(|k| connect(0, &mut publisher, &format!("f{k}"), 7)).collect();
    for (k, f) in f.iter_mut().enumerate() {
        f.lookup(0, "tide");
        exchange(0, &mut publisher, f, &format!("f{k}"), 0);
    }
    publisher.apply_list(S, 2, false, vec![gone("tide", "tide-0000")]);
    let rollout = publisher.rollout_status(2).unwrap();
    assert_eq!((rollout.acknowledged, rollout.subscriptions, rollout.completed_at), (0, 3, None));
    exchange(2 * S, &mut publisher, &mut f[0], "f0", 0);
    // Sent to f1, and not acknowledged; f2 is lost.
    let update = publisher.next_update(2 * S, "f1").unwrap().unwrap();
    publisher.forwarder_disconnected(2 * S, "f2");
    let rollout = publisher.rollout_status(2).unwrap();
    assert_eq!((rollout.acknowledged, rollout.subscriptions), (1, 3));
    assert_eq!(
        rollout.lagging,
        [("f1".into(), LagReason::Unacknowledged), ("f2".into(), LagReason::Disconnected(2 * S))]
    );
    assert!(publisher
        .explain(3 * S, &ExplainRequest { change: 2, ..ExplainRequest::default() })
        .contains("in force at 1 of 3"));
    let answer = f[1].receive(3 * S, 0, &update).unwrap();
    publisher.acknowledge(3 * S, "f1", &answer);
    assert_eq!(
        publisher.rollout_status(2).unwrap().completed_at,
        None,
        "one that cannot be reached is never counted as done"
    );
    publisher.poll(300 * S);
    assert_eq!(publisher.rollout_status(2).unwrap().lagging.len(), 1);
    // It comes back, holds what it held, and lags until it has the change.
    join(301 * S, &mut publisher, &mut f[2], "f2", (0, 7));
    assert_eq!(publisher.rollout_status(2).unwrap().acknowledged, 2);
    exchange(301 * S, &mut publisher, &mut f[2], "f2", 0);
    let rollout = publisher.rollout_status(2).unwrap();
    assert_eq!((rollout.acknowledged, rollout.subscriptions, rollout.completed_at), (3, 3, Some(301 * S)));
    // Who uses the service no longer counts on neither side.
    f[2].poll(2_000 * S);
    exchange(2_000 * S, &mut publisher, &mut f[2], "f2", 0);
    let rollout = publisher.rollout_status(2).unwrap();
    assert_eq!((rollout.acknowledged, rollout.subscriptions), (2, 2));
    assert_eq!(publisher.rollout_status(99), None);
}

#[test]
fn a_change_and_its_opposite_in_one_word_are_nothing() {
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, servers("tide", 10));
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    f0.lookup(0, "tide");
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    publisher.apply_list(
        MS,
        2,
        false,
        vec![draining("tide", "tide-0001"), listed("tide", Member::warm("tide-0001"))],
    );
    assert!(exchange(MS, &mut publisher, &mut f0, "f0", 0).is_empty());
    // And so is a whole list that says what is known.
    publisher.apply_list(MS, 3, true, servers("tide", 10));
    assert!(exchange(MS, &mut publisher, &mut f0, "f0", 0).is_empty());
}

#[test]
fn a_planner_with_an_earlier_list_is_told_and_waits() {
    let (mut a, mut b) = (publisher(7), publisher(9));
    for p in [&mut a, &mut b] {
        p.apply_list(0, 5, true, servers("tide", 10));
    }
    let mut f0 = connect(0, &mut a, "f0", 7);
    f0.lookup(0, "tide");
    a.apply_list(0, 6, false, vec![draining("tide", "tide-0001"), gone("tide", "tide-0002")]);
    exchange(0, &mut a, &mut f0, "f0", 0);
    f0.connection_lost(S, 0);
    join(S, &mut b, &mut f0, "f0", (1, 9));
    let closed = |f: &Subscriber| {
        let ready = |m: &&&Member| m.server.phase == Phase::Ready;
        f.members_of("tide").unwrap().iter().filter(ready).count()
    };
    // It keeps what it holds, and b hears of the drain by its next beat.
    let mut now = S;
    while now < 4 * S {
        exchange(now, &mut b, &mut f0, "f0", 1);
        assert_eq!(closed(&f0), 8);
        now += S / 2;
    }
    let heard = b.members_of("tide").iter().filter(|m| m.server.phase == Phase::Draining).count();
    assert_eq!(heard, 1, "the planner with the earlier list has heard of the drain");
    b.apply_list(5 * S, 6, false, vec![draining("tide", "tide-0001"), gone("tide", "tide-0002")]);
    exchange(5 * S, &mut b, &mut f0, "f0", 1);
    equal(&b, &f0, "f0", "tide");
    // A source that has lost its versions is believed in the end.
    let mut c = publisher(11);
    c.apply_list(0, 1, true, servers("tide", 10));
    f0.connection_lost(6 * S, 1);
    join(6 * S, &mut c, &mut f0, "f0", (0, 11));
    now = 6 * S;
    while now <= 7 * S + STALE_LIST_TIMEOUT {
        c.poll(now);
        exchange(now, &mut c, &mut f0, "f0", 0);
        now += S / 2;
    }
    equal(&c, &f0, "f0", "tide");
}

#[test]
fn a_planner_that_has_no_list_yet_says_of_nothing_that_it_is_not_there() {
    let mut publisher = publisher(7);
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    f0.lookup(0, "tide");
    assert!(exchange(0, &mut publisher, &mut f0, "f0", 0).is_empty());
    publisher.apply_list(S, 1, true, servers("tide", 4));
    exchange(S, &mut publisher, &mut f0, "f0", 0);
    equal(&publisher, &f0, "f0", "tide");
}

#[test]
fn one_server_in_two_services_is_in_both_and_leaves_both() {
    let mut publisher = publisher(7);
    let both = ListedServer { services: vec!["tide".into(), "rain".into()], member: Member::warm("x") };
    publisher.apply_list(0, 1, true, vec![both.clone()]);
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    f0.lookup(0, "tide");
    f0.lookup(0, "rain");
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    assert_eq!((names(&f0, "tide"), names(&f0, "rain")), (vec!["x".into()], vec!["x".into()]));
    publisher.apply_list(S, 2, false, vec![ListedServer { services: vec!["rain".into()], ..both.clone() }]);
    exchange(S, &mut publisher, &mut f0, "f0", 0);
    assert_eq!((names(&f0, "tide").len(), names(&f0, "rain").len()), (0, 1));
    publisher.apply_list(
        S,
        3,
        false,
        vec![ListedServer { member: both.member.in_phase(Phase::Draining), services: vec!["rain".into()] }],
    );
    exchange(S, &mut publisher, &mut f0, "f0", 0);
    assert_eq!(f0.members_of("rain").unwrap()[0].server.phase, Phase::Draining);
}

#[test]
fn the_bytes_hold_in_every_ten_seconds() {
    let mut publisher = publisher(7);
    let list: Vec<ListedServer> = (0..300).flat_map(|k| servers(&format!("s{k:03}"), 27)).collect();
    publisher.apply_list(0, 1, true, list.clone());
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    (0..300).for_each(|k| {
        f0.lookup(0, &format!("s{k:03}"));
    });
    let (mut sums, mut sent, mut whole) = (Vec::new(), 0, None);
    for step in 0..1_200u64 {
        let now = step * 100 * MS;
        if step % 40 == 39 {
            // A zone goes, and comes back.
            let phase = if step % 80 == 39 { Phase::Removed } else { Phase::Ready };
            let tenth = list.iter().step_by(9).cloned();
            let tenth = tenth.map(|l| ListedServer { member: l.member.in_phase(phase), ..l }).collect();
            publisher.apply_list(now, 2 + step, false, tenth);
        }
        let updates = exchange(now, &mut publisher, &mut f0, "f0", 0);
        sent += updates.iter().map(|u| u.encoded_len() + FRAMING_BYTES).sum::<usize>();
        sums.push(sent + f0.stats().sent as usize);
        if whole.is_none() && f0.stats().servers == 300 * 27 {
            whole = Some(now);
        }
    }
    let worst = sums.windows(101).map(|w| w[100] - w[0]).max().unwrap().max(sums[100]);
    assert!(worst < 150_000, "{worst} bytes in ten seconds");
    assert!(whole.is_some_and(|at| at < 19 * S), "all of 300 services after {whole:?}");
    (0..300).for_each(|k| equal(&publisher, &f0, "f0", &format!("s{k:03}")));
}

#[test]
fn one_that_acknowledges_nothing_is_told_to_go() {
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, servers("tide", 10));
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    f0.lookup(0, "tide");
    publisher.subscribe(0, "f0", &f0.next_subscribe(0).unwrap()).unwrap();
    assert!(publisher.next_update(0, "f0").unwrap().is_some());
    assert!(publisher.next_update(ACK_TIMEOUT - 1, "f0").unwrap().is_some_and(|u| u.number == 0));
    assert!(publisher.next_update(ACK_TIMEOUT, "f0").is_err());
    // Word of another life, and of numbers that never were, is nothing.
    publisher.acknowledge(S, "f0", &UpdateAck { incarnation: 6, number: 1, refused: Vec::new() });
    assert!(publisher.next_update(ACK_TIMEOUT, "f0").is_err());
    let crowd: Vec<String> = (0..120).map(|k| format!("g{k}")).collect();
    let taken = crowd.iter().filter(|name| publisher.forwarder_connected(0, name, 0).is_ok()).count();
    assert_eq!(taken, 99, "a planner that is full says so");
}

#[test]
fn what_two_have_met_is_told_to_all_and_comes_last() {
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, servers("tide", 4));
    let mut f: Vec<Subscriber> = (0..3).map(|k| connect(0, &mut publisher, &format!("f{k}"), 7)).collect();
    for (k, f) in f.iter_mut().enumerate() {
        f.lookup(0, "tide");
        exchange(0, &mut publisher, f, &format!("f{k}"), 0);
        f.changes();
    }
    let row = |ejected| ServerReport {
        name: "tide-0002".into(),
        score: 50.0,
        relative_latency: 1.0,
        ejected,
        ..ServerReport::default()
    };
    let report = |ejected| Report { rows: vec![row(ejected)], ..Report::default() };
    publisher.report(S, "f0", &report(true)).unwrap();
    publisher.report(S, "f1", &report(true)).unwrap();
    exchange(S, &mut publisher, &mut f[2], "f2", 0);
    let changes = f[2].changes();
    let [Change::Hints { hints, .. }] = &changes[..] else { panic!("{changes:?}") };
    assert_eq!((hints.len(), hints[0].suspicion), (1, Suspicion::Fails));
    assert!((hints[0].score / 100.0 - 1.0).abs() < 0.1);
    assert!(publisher.report(S, "f9", &report(true)).is_err());
}

#[test]
fn a_change_costs_what_uses_it_and_no_more() {
    let cost = |services: usize| {
        let mut publisher = publisher(7);
        publisher.apply_list(
            0,
            1,
            true,
            (0..services).flat_map(|k| servers(&format!("s{k:04}"), 10)).collect(),
        );
        let mut f0 = connect(0, &mut publisher, "f0", 7);
        f0.lookup(0, "s0001");
        exchange(0, &mut publisher, &mut f0, "f0", 0);
        let before = publisher.stats().steps;
        publisher.apply_list(S, 2, false, vec![draining("s0001", "s0001-0003")]);
        exchange(S, &mut publisher, &mut f0, "f0", 0);
        publisher.poll(2 * S);
        exchange(2 * S, &mut publisher, &mut f0, "f0", 0);
        publisher.stats().steps - before
    };
    assert_eq!(cost(10), cost(2_000));
    assert!(cost(10) < 20, "{}", cost(10));
}

#[test]
fn forwarders_spread_over_planners_and_come_back_spread_in_time() {
    let planners: Vec<String> = (0..3).map(|k| format!("10.0.0.{k}:7400")).collect();
    let subscriber = |k: u64| {
        let name = format!("f{k}");
        Subscriber::new(0, Settings { planners: planners.clone(), seed: k, ..settings(&name) })
    };
    let mut all: Vec<Subscriber> = (0..600).map(subscriber).collect();
    let mut count = [0; 3];
    for f in &mut all {
        let first = f.try_next(0).unwrap();
        assert_eq!(f.try_next(0), None, "one at a time");
        f.connected(0, first, 7);
        count[first] += 1;
    }
    assert!(count.iter().all(|n| (150..250).contains(n)), "{count:?}");
    // The first one is lost: its forwarders go to both others, some at a time, and not back at once.
    let mut others = [0; 3];
    let mut tenths = [0; 30];
    for f in all.iter_mut().filter(|f| f.planner() == Some(0)) {
        f.connection_lost(S, 0);
        let (tenth, next) =
            (0..30).find_map(|t| f.try_next(S + t as u64 * 100 * MS).map(|p| (t, p))).expect("within 3 s");
        others[next] += 1;
        tenths[tenth] += 1;
        f.connected(5 * S, next, 7);
    }
    assert!(others[0] == 0 && others[1] > 50 && others[2] > 50, "{others:?}");
    assert!(tenths.iter().all(|n| *n < count[0] / 5), "{tenths:?}");
    // It is back: they return within half a minute.
    let returned =
        all.iter_mut().map(|f| usize::from((5..40).any(|t| f.try_next(t * S) == Some(0)))).sum::<usize>();
    assert_eq!(returned, count[0]);
    assert_eq!(HEARTBEAT_INTERVAL, S);
}

#[test]
fn what_is_packed_is_bounded_once_it_is_whole_again() {
    let zeros = laurelroute_plan::wire::deflate(&vec![0; 60_000]);
    let bomb = ServiceChanges { packed: zeros, ..ServiceChanges::default() };
    let update = Update { services: vec![bomb; 200], ..Update::default() };
    assert!(update.encoded_len() < 40_000 && update.unpacked().is_err());
    let long = laurelroute_plan::wire::deflate(&vec![0; 1 << 20]);
    assert!(Update { packed: long, ..Update::default() }.unpacked().is_err());
    assert!(Update { packed: vec![1, 2, 3], ..Update::default() }.unpacked().is_err());
    // One that cannot be read is not acknowledged and changes nothing.
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, servers("tide", 3));
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    f0.lookup(0, "tide");
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    let bad = Update {
        site: "perth".into(),
        incarnation: 7,
        number: 9,
        packed: vec![1, 2, 3],
        ..Update::default()
    };
    assert_eq!(f0.receive(0, 0, &bad), None);
    equal(&publisher, &f0, "f0", "tide");
}

#[test]
fn a_whole_is_made_once_for_all_who_get_it() {
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, servers("tide", 30));
    let mut steps = Vec::new();
    for k in 0..20 {
        let name = format!("f{k}");
        let before = publisher.stats().steps;
        let mut f = connect(0, &mut publisher, &name, 7);
        f.lookup(0, "tide");
        exchange(0, &mut publisher, &mut f, &name, 0);
        equal(&publisher, &f, &name, "tide");
        steps.push(publisher.stats().steps - before);
    }
    assert!(steps[0] >= 30, "{steps:?}");
    // At the doublings all are told how many they are; who comes in between costs its word and no row.
    let between = (1..20usize).filter(|k| !k.is_power_of_two());
    assert!(between.clone().all(|k| steps[k] < 3), "{steps:?}");
    // A change makes it anew.
    publisher.apply_list(S, 2, false, vec![gone("tide", "tide-0004")]);
    let mut f = connect(S, &mut publisher, "late", 7);
    f.lookup(S, "tide");
    exchange(S, &mut publisher, &mut f, "late", 0);
    equal(&publisher, &f, "late", "tide");
}

#[test]
fn a_service_that_ends_and_comes_again_is_another_one() {
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, servers("tide", 4));
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    f0.lookup(0, "tide");
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    f0.connection_lost(S, 0);
    publisher.forwarder_disconnected(S, "f0");
    // It ends, and all who used it are forgotten; it comes again with others, by as many changes as it had before.
    publisher.apply_list(S, 2, true, servers("rain", 1));
    publisher.poll(2_000 * S);
    let others = ["tide-0008", "tide-0009"].map(|name| listed("tide", Member::warm(name)));
    publisher.apply_list(2_000 * S, 3, false, others.to_vec());
    join(2_001 * S, &mut publisher, &mut f0, "f0", (0, 7));
    exchange(2_001 * S, &mut publisher, &mut f0, "f0", 0);
    equal(&publisher, &f0, "f0", "tide");
    assert_eq!(names(&f0, "tide"), ["tide-0008", "tide-0009"]);
}

#[test]
fn what_comes_for_a_service_that_was_dropped_is_in_force_nowhere() {
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, servers("tide", 4));
    let mut f0 = connect(0, &mut publisher, "f0", 7);
    f0.lookup(0, "tide");
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    publisher.apply_list(S, 2, false, vec![gone("tide", "tide-0001")]);
    let update = publisher.next_update(S, "f0").unwrap().unwrap();
    // Unused for long, it is dropped just before the change comes.
    f0.poll(700 * S);
    assert_eq!(f0.members_of("tide"), None);
    let answer = f0.receive(700 * S, 0, &update).unwrap();
    assert_eq!(answer.refused.len(), 1);
    publisher.acknowledge(700 * S, "f0", &answer);
    assert_eq!(
        publisher.rollout_status(2).map(|rollout| (rollout.acknowledged, rollout.subscriptions)),
        Some((0, 0))
    );
}

/// `rig subscriptions --seed 5265 --seeds 1` (issue 52): a planner said that a change was in force, "0 of 0", while a
/// forwarder still used the server that it took away. That server was the last one of its service: the planner forgot
/// the service, and with it who has to hear of its end. The service came again, and the forwarder, which came from a
/// planner with an earlier list, counted as one that lacks nothing. The trace: `p1 hears batch 49 v1051 server-161
/// Gone`, `batch 52 v1054 server-161 Ready`, then `subscribe service-12 source: 1004` and at once `change 1051 is said
/// to be in force (0 of 0)`.
#[test]
fn a_change_that_ends_a_service_is_not_in_force_at_one_that_still_holds_it() {
    let (mut late, mut publisher) = (publisher(7), publisher(8));
    late.apply_list(0, 1, true, servers("tide", 1));
    let mut f0 = connect(0, &mut late, "f0", 7);
    f0.lookup(0, "tide");
    exchange(0, &mut late, &mut f0, "f0", 0);
    let mut both = servers("tide", 1);
    both.extend(servers("rain", 2));
    publisher.apply_list(0, 1, true, both);
    publisher.apply_list(S, 2, false, vec![gone("tide", "tide-0000"), draining("rain", "rain-0001")]);
    publisher.apply_list(2 * S, 3, false, vec![listed("tide", Member::warm("tide-0009"))]);
    join(3 * S, &mut publisher, &mut f0, "f0", (1, 8));
    while let Some(word) = f0.next_subscribe(3 * S) {
        publisher.subscribe(3 * S, "f0", &word).unwrap();
    }
    let rollout = publisher.rollout_status(2).expect("it is followed");
    assert_eq!((rollout.acknowledged, rollout.subscriptions, rollout.completed_at), (0, 1, None));
    exchange(3 * S, &mut publisher, &mut f0, "f0", 1);
    let rollout = publisher.rollout_status(2).expect("it is followed");
    assert_eq!((rollout.acknowledged, rollout.subscriptions, rollout.completed_at), (1, 1, Some(3 * S)));
    assert_eq!(names(&f0, "tide"), ["tide-0009"]);
}

/// `rig subscriptions --seed 5132 --seeds 1` and 5036 (issue 52): a forwarder dropped a service with a request under way.
/// A request had waited for the service when a planner said that there is none; the service came to be and was asked for
/// anew, and as the first request ended it was counted off the second one's. The trace: `update n140 service-16 Unknown`
/// at 9.671 s, a second request and the whole at 11.073 s, `drops service-16 under 1 requests` at 11.075 s.
#[test]
fn a_request_from_before_a_service_was_there_does_not_end_a_later_one() {
    let mut publisher = publisher(7);
    publisher.apply_list(0, 1, true, servers("tide", 2));
    let mut f0 = Subscriber::new(0, Settings { max_services: 1, ..settings("f0") });
    join(0, &mut publisher, &mut f0, "f0", (0, 7));
    f0.lookup(0, "rain");
    f0.request_started("rain");
    exchange(0, &mut publisher, &mut f0, "f0", 0);
    assert_eq!(f0.lookup(S, "rain"), ServiceStatus::Unknown);
    publisher.apply_list(2 * S, 2, false, servers("rain", 2));
    f0.poll(40 * S);
    assert_eq!(f0.lookup(40 * S, "rain"), ServiceStatus::Pending);
    f0.request_started("rain");
    f0.request_finished(40 * S, "rain");
    exchange(40 * S, &mut publisher, &mut f0, "f0", 0);
    f0.lookup(41 * S, "tide");
    exchange(41 * S, &mut publisher, &mut f0, "f0", 0);
    assert!(f0.members_of("rain").is_some(), "one request of it is still under way");
    f0.request_finished(42 * S, "rain");
    f0.lookup(42 * S, "tide");
    exchange(42 * S, &mut publisher, &mut f0, "f0", 0);
    assert!(f0.members_of("tide").is_some(), "now there is room");
}

/// The fault of seed 53 message by message: see `a_restart_of_the_list_beside_a_move_between_planners` in the simulation.
#[test]
fn a_planner_that_is_late_with_the_lists_former_numbers_is_not_believed() {
    let (mut first, mut late) = (publisher(7), publisher(8));
    for (k, publisher) in [&mut first, &mut late].into_iter().enumerate() {
        publisher.apply_list(0, 100, true, servers("tide", 3));
        publisher.apply_list(
            S,
            146,
            false,
            vec![listed("tide", Member::warm(&format!("tide-000{}", 3 + k / 9)))],
        );
    }
    let mut f0 = connect(S, &mut first, "f0", 7);
    f0.lookup(S, "tide");
    exchange(S, &mut first, &mut f0, "f0", 0);
    // The source starts anew, and only the first planner hears it and what comes then.
    let restored: Vec<ListedServer> = servers("tide", 4);
    first.apply_list(2 * S, 2, true, restored);
    first.apply_list(3 * S, 18, false, vec![draining("tide", "tide-0001")]);
    exchange(3 * S, &mut first, &mut f0, "f0", 0);
    let draining_at = |f0: &Subscriber| {
        let members = f0.members_of("tide").unwrap_or_default();
        members
            .iter()
            .filter(|m| m.server.phase == Phase::Draining)
            .map(|m| m.name.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(draining_at(&f0), ["tide-0001"]);
    f0.connection_lost(4 * S, 0);
    join(4 * S, &mut late, &mut f0, "f0", (1, 8));
    exchange(4 * S, &mut late, &mut f0, "f0", 1);
    exchange(6 * S, &mut late, &mut f0, "f0", 1);
    assert_eq!(draining_at(&f0), ["tide-0001"], "version 146 of the former numbers is earlier than 18");
    // Once it has come up to that it is believed at once, also where it says that the server is ready again.
    late.apply_list(7 * S, 2, true, servers("tide", 4));
    late.apply_list(7 * S, 18, false, vec![draining("tide", "tide-0001")]);
    late.apply_list(7 * S, 19, false, vec![listed("tide", Member::warm("tide-0001"))]);
    exchange(7 * S, &mut late, &mut f0, "f0", 1);
    assert_eq!(draining_at(&f0), Vec::<String>::new());
    equal(&late, &f0, "f0", "tide");
}
