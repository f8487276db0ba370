//! The four invariants: one final response, no unsafe request run twice, draining respected, no server in slow start
//! overloaded.

mod common;
use common::*;
use laurelroute_policy::interface::*;
use rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

const ATTEMPT_OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Ok,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

/// Each kind of idempotency against each way an attempt can end without a response.
#[test]
fn idempotency_against_outcomes() {
    for outcome in ATTEMPT_OUTCOMES.into_iter().filter(|e| *e != AttemptOutcome::Ok) {
        let mut bed = TestBed::new(settings(Idempotency::Unsafe), servers(6), 1);
        let (id, actions) = bed.request();
        let first = sent(&actions, id).unwrap();
        bed.now += 10 * MS;
        let actions = bed.outcome(id, first, 0, 10 * MS, outcome);
        if outcome.never_ran() {
            assert!(sent(&actions, id).is_some_and(|s| s != first), "{outcome:?}: {actions:?}");
        } else {
            assert!(sent(&actions, id).is_none() && !refused(&actions, id), "{outcome:?}: {actions:?}");
            assert!(failed(&actions, id), "{outcome:?}: {actions:?}");
        }
        let mut bed = TestBed::new(settings(Idempotency::Safe), servers(6), 1);
        let (id, actions) = bed.request();
        let first = sent(&actions, id).unwrap();
        let actions = bed.outcome(id, first, 0, 10 * MS, outcome);
        assert!(sent(&actions, id).is_some_and(|s| s != first), "safe, {outcome:?}: {actions:?}");
    }
}

/// A keyed request that may have run is retried only within its deduplication group and window, else it fails.
#[test]
fn keyed_requests_stay_in_their_group_and_window() {
    for (group, late) in [
        (DedupGroup::Zone, false),
        (DedupGroup::Cell, false),
        (DedupGroup::All, false),
        (DedupGroup::Zone, true),
    ] {
        let mut s = settings(Idempotency::Keyed);
        s.classes[0].dedup_group = group;
        let mut list = servers(8);
        for (k, server) in list.iter_mut().enumerate() {
            server.zone = (k / 4) as u8;
            server.cell = (k / 2) as u16;
        }
        let mut bed = TestBed::new(s, list.clone(), 2);
        let (id, actions) = bed.request();
        let first = sent(&actions, id).unwrap();
        let took = if late { 650 * MS } else { 50 * MS };
        bed.now += took;
        let actions = bed.outcome(id, first, 0, took, AttemptOutcome::Reset);
        let of = |e: Endpoint| list.iter().find(|s| s.endpoint == e).unwrap();
        match sent(&actions, id) {
            Some(second) => {
                assert!(!late && second != first);
                assert!(group != DedupGroup::Zone || of(first).zone == of(second).zone);
                assert!(group != DedupGroup::Cell || of(first).cell == of(second).cell);
            }
            None => assert!(late && failed(&actions, id), "{group:?}: {actions:?}"),
        }
    }
}

/// Random event sequences: every request gets one final response, nothing follows it, and no unsafe request can run
/// twice.
#[test]
fn random_sequences_keep_the_invariants() {
    for seed in 0..60u64 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let idempotency = [Idempotency::Safe, Idempotency::Keyed, Idempotency::Unsafe][(seed % 3) as usize];
        let mut s = settings(idempotency);
        s.hedging = seed % 2 == 0;
        let mut bed = TestBed::new(s, servers(8), seed);
        let mut draining = [false; 8];
        // Per request: its deadline, its open attempts, whether one may have run, and the number of final responses.
        struct RequestState {
            deadline: Nanos,
            open: Vec<(u8, Endpoint, Nanos)>,
            attempts: u8,
            may_have_run: bool,
            responses: u32,
        }
        let mut requests: BTreeMap<RequestId, RequestState> = BTreeMap::new();
        for _ in 0..1500 {
            bed.now += u64::from(rng.next_u32() % 20) * MS;
            let due =
                requests.iter().find(|(_, s)| s.responses == 0 && bed.now >= s.deadline).map(|(id, _)| *id);
            let pick = requests.iter().filter(|(_, s)| !s.open.is_empty()).nth(rng.next_u32() as usize % 4);
            let target = due.or(pick.map(|(id, _)| *id));
            let actions = if let (Some(id), true) = (target, due.is_some() || rng.next_u32() % 2 == 0) {
                let request_state = requests.get_mut(&id).unwrap();
                assert!(
                    !request_state.open.is_empty(),
                    "seed {seed}: request {id} is held without an attempt in flight"
                );
                let (attempt, server, at) = request_state.open.swap_remove(0);
                let outcome = match due {
                    Some(_) => AttemptOutcome::TimedOut,
                    None => ATTEMPT_OUTCOMES[rng.next_u32() as usize % 8],
                };
                request_state.may_have_run |= !outcome.never_ran();
                let finished = outcome == AttemptOutcome::Ok || request_state.responses > 0;
                request_state.responses +=
                    u32::from(outcome == AttemptOutcome::Ok && request_state.responses == 0);
                let (request, took) = (id, bed.now - at);
                bed.feed(Event::AttemptEnded {
                    request,
                    server,
                    attempt,
                    finished,
                    took,
                    outcome,
                    report: None,
                })
            } else if rng.next_u32() % 10 == 0 {
                let k = rng.next_u32() as u8 % 8;
                draining[usize::from(k)] ^= true;
                let phase = if draining[usize::from(k)] { Phase::Draining } else { Phase::Ready };
                bed.list(ListKind::Changes, vec![Server { phase, ..Server::warm(endpoint(k)) }])
            } else if rng.next_u32() % 3 == 0 {
                bed.feed(Event::Timer { token: rng.next_u32() })
            } else {
                let (id, actions) = bed.request();
                let deadline = bed.now + 800 * MS;
                let request_state =
                    RequestState { deadline, open: vec![], attempts: 0, may_have_run: false, responses: 0 };
                requests.insert(id, request_state);
                actions
            };
            for action in actions {
                match action {
                    Action::Send { request, server, .. } => {
                        let request_state = requests.get_mut(&request).unwrap();
                        assert_eq!(request_state.responses, 0, "seed {seed}: sent after the final response");
                        assert!(bed.now < request_state.deadline && request_state.attempts < 4);
                        assert!(
                            !draining[usize::from(server.address[3])],
                            "seed {seed}: sent to a draining server"
                        );
                        assert!(
                            idempotency != Idempotency::Unsafe
                                || (!request_state.may_have_run && request_state.open.is_empty())
                        );
                        assert!(
                            request_state.open.is_empty()
                                || (seed % 2 == 0 && idempotency == Idempotency::Safe)
                        );
                        request_state.open.push((request_state.attempts, server, bed.now));
                        request_state.attempts += 1;
                    }
                    Action::Refuse { request, .. } => {
                        let request_state = requests.get_mut(&request).unwrap();
                        request_state.responses += 1;
                        assert_eq!(request_state.responses, 1, "seed {seed}: two final responses");
                        assert!(
                            idempotency != Idempotency::Unsafe
                                || (!request_state.may_have_run && request_state.open.is_empty())
                        );
                    }
                    Action::Fail { request } => {
                        let request_state = requests.get_mut(&request).unwrap();
                        request_state.responses += 1;
                        assert_eq!(request_state.responses, 1, "seed {seed}: two final responses");
                    }
                    _ => {}
                }
            }
        }
        assert!(requests.values().filter(|s| s.responses == 1).count() > 200);
    }
}

/// No new request goes to a server once the list reports it as draining or removed, or omits it.
#[test]
fn draining_servers_get_no_requests() {
    let mut bed = TestBed::new(settings(Idempotency::Safe), servers(4), 1);
    bed.list(ListKind::Changes, vec![Server { phase: Phase::Draining, ..Server::warm(endpoint(0)) }]);
    bed.list(ListKind::Changes, vec![Server { phase: Phase::Removed, ..Server::warm(endpoint(1)) }]);
    for _ in 0..50 {
        assert!(bed.served(20 * MS).unwrap() >= endpoint(2));
    }
    bed.list(ListKind::Full, vec![Server::warm(endpoint(3))]);
    for _ in 0..50 {
        assert_eq!(bed.served(20 * MS), Some(endpoint(3)));
    }
}

/// Without any server, a request still gets its one final response.
#[test]
fn an_empty_list_refuses() {
    let mut bed = TestBed::new(settings(Idempotency::Unsafe), vec![], 1);
    let (id, actions) = bed.request();
    assert!(refused(&actions, id), "{actions:?}");
}

/// Unusual but legal events have no effect.
#[test]
fn unusual_events_are_harmless() {
    let mut bed = TestBed::new(settings(Idempotency::Safe), servers(3), 1);
    assert!(bed.outcome(77, endpoint(0), 0, MS, AttemptOutcome::Error).is_empty());
    assert!(bed.feed(Event::ClientDisconnected { request: 77 }).is_empty());
    assert!(bed.feed(Event::Timer { token: 9 }).is_empty());
    let removed = Server { phase: Phase::Removed, ..Server::warm(endpoint(99)) };
    assert!(bed.list(ListKind::Changes, vec![removed]).is_empty());
    let (id, actions) = bed.request();
    let server = sent(&actions, id).unwrap();
    bed.feed(Event::ClientDisconnected { request: id });
    let late = bed.outcome(id, server, 0, 90 * MS, AttemptOutcome::Error);
    assert!(sent(&late, id).is_none() && !failed(&late, id) && !refused(&late, id), "{late:?}");
}

/// A broken subscription is renewed, after a delay that differs between nodes.
#[test]
fn a_lost_subscription_is_renewed() {
    let mut s = settings(Idempotency::Safe);
    s.must_subscribe = true;
    let wait = |seed| {
        let mut bed = TestBed::new(s.clone(), vec![], seed);
        assert!(bed.list(ListKind::Cached, servers(3)).contains(&Action::Subscribe));
        let actions = bed.list(ListKind::Failed, vec![]);
        let after = actions.iter().find_map(|a| match a {
            Action::StartTimer { after, .. } => Some(*after),
            _ => None,
        });
        bed.now += after.expect("a timer");
        assert!(bed.feed(Event::Timer { token: 0 }).contains(&Action::Subscribe));
        after
    };
    assert_ne!(wait(1), wait(2));
}

/// Invalid settings are rejected and named.
#[test]
fn invalid_settings_are_named() {
    let validation_error = |edit: fn(&mut Settings)| {
        let mut s = settings(Idempotency::Safe);
        edit(&mut s);
        laurelroute_policy::Balancer::new(s, 1).err()
    };
    assert_eq!(validation_error(|s| s.classes.clear()), Some(SettingsError::Empty("classes")));
    assert_eq!(validation_error(|s| s.classes[0].client_timeout = 0), Some(SettingsError::Zero("give_up")));
    assert_eq!(validation_error(|s| s.initial_capacity = 1.5), Some(SettingsError::NotAShare("cold_from")));
    assert_eq!(
        validation_error(|s| s.overload_multiple = f64::NAN),
        Some(SettingsError::OutOfRange("tip_multiple"))
    );
    assert_eq!(validation_error(|_| {}), None);
}
