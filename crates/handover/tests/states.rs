//! The takeover's state machines, its messages and the ban records, without sockets.

use laurelroute_handover::bans::{BanRecord, Bans, MAX_RECORDS};
use laurelroute_handover::message::{Message, SocketKind, MAX_PACKET_BYTES, VERSION};
use laurelroute_handover::server_list::ListFragment;
use laurelroute_handover::share::{max_held_after_heartbeat, MIN_DESCRIPTORS};
use laurelroute_handover::states::{
    Effect, NewProcess, OldProcess, HEARTBEAT_INTERVAL, QUOTA_LEASE, SILENCE_TIMEOUT,
};
use laurelroute_policy::interface::{Endpoint, Phase, Server};
use proptest::prelude::*;

fn server(started_at: u64) -> Server {
    Server { started_at, ..Server::warm(Endpoint { address: [1; 4], port: 1 }) }
}

#[test]
fn one_attach_undoes_two_detaches() {
    let mut bans = Bans::default();
    assert!(bans.detach("a", 10).unwrap().is_some());
    assert!(bans.detach("a", 20).unwrap().is_none());
    assert_eq!(bans.overlay("a", server(0)).phase, Phase::Draining);
    assert_eq!(bans.overlay("b", server(0)).phase, Phase::Ready);
    assert!(bans.attach("a", 30).is_some());
    assert!(bans.attach("a", 40).is_none());
    assert_eq!(bans.overlay("a", server(0)).phase, Phase::Ready);
}

#[test]
fn a_banned_server_keeps_a_later_phase_of_the_list() {
    let mut bans = Bans::default();
    bans.detach("a", 10).unwrap();
    for phase in [Phase::Removed, Phase::Draining] {
        assert_eq!(bans.overlay("a", Server { phase, ..server(0) }).phase, phase);
    }
}

/// A restored server counts as started when it was restored, whether the late discovery list still has its start before
/// the ban or already the one after it.
#[test]
fn a_restored_server_is_in_slow_start() {
    let mut bans = Bans::default();
    bans.detach("a", 100).unwrap();
    bans.attach("a", 200);
    assert_eq!(bans.overlay("a", server(0)).started_at, 200);
    assert_eq!(bans.overlay("a", server(99)).started_at, 200);
    assert_eq!(bans.overlay("a", server(150)).started_at, 150);
    bans.forget_restored_before(200);
    assert_eq!(bans.overlay("a", server(0)).started_at, 200);
    bans.forget_restored_before(201);
    assert_eq!(bans.overlay("a", server(0)).started_at, 0);
}

#[test]
fn records_are_bounded_and_bans_in_force_are_kept() {
    let mut bans = Bans::default();
    bans.detach("back", 1).unwrap();
    bans.attach("back", 2);
    for k in 0..MAX_RECORDS {
        assert!(bans.detach(&format!("s{k}"), 3).is_ok());
    }
    assert!(bans.detach("one more", 4).is_err());
    assert!(bans.is_banned("s0") && !bans.is_banned("one more"));
    let records: Vec<_> = bans.records().cloned().collect();
    assert_eq!(records.len(), MAX_RECORDS);
    for message in Message::ban_batches(0, records) {
        assert!(message.encode().len() <= MAX_PACKET_BYTES);
    }
}

#[test]
fn messages_round_trip_and_malformed_packets_are_rejected() {
    let record = BanRecord { host: "s-\"1\"".into(), banned: true, updated_at: u64::MAX, banned_at: 1 };
    let messages = [
        Message::TakeoverRequest { version: VERSION, sends_heartbeats: true, shares_lists: true },
        Message::Offer {
            version: VERSION,
            sockets: vec![SocketKind::Http, SocketKind::IdleQueue],
            quota: 7,
            sends_heartbeats: true,
            shares_lists: true,
            resumes: true,
        },
        Message::Ending,
        Message::ServerList(ListFragment { text: "{\"version\"".into(), last: false }),
        Message::Heartbeat { number: 9, held: 60, received: Some(5) },
        Message::Quota { quota: 7, heartbeat: 9 },
        Message::Ready,
        Message::Bans { batch: 3, records: vec![record] },
        Message::Client { protocol: SocketKind::Http, used: false },
    ];
    for message in messages {
        assert_eq!(Message::decode(&message.encode()).unwrap(), message);
    }
    for malformed in [&b""[..], b"{}", b"{\"say\":\"leave\"}", &[b' '; MAX_PACKET_BYTES + 1]] {
        assert!(Message::decode(malformed).is_err());
    }
}

#[test]
fn the_old_process_yields_only_to_a_ready_one_and_resumes_when_that_ends() {
    let mut old = OldProcess::new(400);
    assert_eq!(old.handle(Message::Ready, 100), vec![]);
    assert_eq!(
        old.handle(
            Message::TakeoverRequest { version: VERSION + 1, sends_heartbeats: true, shares_lists: true },
            100
        ),
        vec![Effect::RejectPeer]
    );
    assert_eq!(
        old.handle(
            Message::TakeoverRequest { version: VERSION, sends_heartbeats: true, shares_lists: true },
            100
        ),
        vec![Effect::SetQuota(200), Effect::Offer(200)]
    );
    assert!(!old.has_yielded() && old.tick(0, 10).is_empty());
    assert_eq!(old.handle(Message::Ready, 100), vec![Effect::Accept(false)]);
    assert!(old.has_yielded());
    assert_eq!(old.peer_lost(), vec![Effect::SetQuota(400), Effect::Accept(true), Effect::Reclaim]);
    assert!(!old.has_yielded());
}

/// However the number of descriptors that the old process holds changes, the two quotas never exceed the total.
#[test]
fn quotas_never_exceed_the_total() {
    proptest!(|(total in 128usize..4096, held in prop::collection::vec(0usize..4096, 1..20))| {
        let mut old = OldProcess::new(total);
        let mut effects = old.handle(Message::TakeoverRequest { version: VERSION, sends_heartbeats: true, shares_lists: true }, held[0]);
        let Some(Effect::Offer(quota)) = effects.pop() else { panic!("no offer") };
        let Some(Effect::SetQuota(mut old_quota)) = effects.pop() else { panic!("no quota") };
        let (mut new, effects) = NewProcess::new(total, quota, false, 0);
        let Some(Effect::SetQuota(mut new_quota)) = effects.into_iter().next() else { panic!("no quota") };
        prop_assert!(new_quota >= MIN_DESCRIPTORS);
        old.handle(Message::Ready, held[0]);
        for held in held {
            for effect in old.tick(0, held) {
                match effect {
                    Effect::SetQuota(quota) => old_quota = quota,
                    Effect::Send(message) => for effect in new.handle(message, 0, 0) {
                        if let Effect::SetQuota(quota) = effect { new_quota = quota }
                    },
                    _ => {}
                }
            }
            prop_assert!(old_quota + new_quota <= total, "{old_quota} + {new_quota} > {total}");
        }
        prop_assert_eq!(new.peer_lost(), vec![Effect::SetQuota(total)]);
    });
}

const MS: u64 = 1_000_000;

/// An old process that has yielded, and the new process that serves, both at `now`.
fn pair(total: usize, held: usize, now: u64) -> (OldProcess, NewProcess) {
    let mut old = OldProcess::new(total);
    let effects = old.handle(
        Message::TakeoverRequest { version: VERSION, sends_heartbeats: true, shares_lists: true },
        held,
    );
    let Some(Effect::Offer(quota)) = effects.last() else { panic!("no offer") };
    let (new, _) = NewProcess::new(total, *quota, true, now);
    old.tick(now, held);
    old.handle(Message::Ready, held);
    (old, new)
}

fn last_accept(effects: &[Effect]) -> Option<bool> {
    effects.iter().rev().find_map(|e| if let Effect::Accept(open) = e { Some(*open) } else { None })
}

#[test]
fn the_old_process_accepts_while_the_new_one_is_silent() {
    let (mut old, mut new) = pair(400, 100, 0);
    let mut now = 0;
    for _ in 0..50 {
        now += 5 * MS;
        assert_eq!(last_accept(&old.tick(now, 100)), None);
        if now % HEARTBEAT_INTERVAL == 0 {
            let Some(Effect::Send(heartbeat)) = new.tick(now, 60).pop() else { panic!("no heartbeat") };
            assert!(matches!(old.handle(heartbeat, 100)[..], [Effect::Send(Message::Quota { .. })]));
        }
    }
    let silent_from = now;
    while last_accept(&old.tick(now, 10)).is_none() {
        now += 5 * MS;
        assert!(now - silent_from <= SILENCE_TIMEOUT + 5 * MS);
    }
    assert!(old.in_fallback() && old.has_yielded());
    assert_eq!(
        last_accept(&old.handle(Message::Heartbeat { number: 99, held: 60, received: None }, 10)),
        Some(false)
    );
    assert!(!old.in_fallback());
}

/// An old process that was itself stopped reads the messages that came meanwhile before it takes the new one for
/// silent.
#[test]
fn a_stopped_old_process_does_not_take_the_new_one_for_silent() {
    let (mut old, _) = pair(400, 100, 0);
    assert_eq!(last_accept(&old.tick(3_000 * MS, 100)), None);
    assert_eq!(last_accept(&old.tick(6_000 * MS, 100)), None);
}

/// An older program as the new process sends no heartbeats, and none are expected of it.
#[test]
fn a_new_process_without_heartbeats_is_never_taken_for_silent() {
    let mut old = OldProcess::new(400);
    old.handle(
        Message::TakeoverRequest { version: VERSION, sends_heartbeats: false, shares_lists: true },
        100,
    );
    old.handle(Message::Ready, 100);
    for k in 0..1_000 {
        assert_eq!(last_accept(&old.tick(k * 5 * MS, 100)), None);
    }
}

/// One side of the property test: its quota, and the descriptors that it holds, which fall only by themselves.
#[derive(Debug)]
struct Side {
    quota: usize,
    held: usize,
    outbox: Vec<Message>,
}

impl Side {
    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SetQuota(quota) => self.quota = quota,
                Effect::Send(message) => self.outbox.push(message),
                _ => {}
            }
        }
    }

    /// Opens as many descriptors as the quota allows, as in a burst of new clients, or closes some.
    fn step(&mut self, burst: bool, closes: usize) {
        self.held = if burst { self.held.max(self.quota) } else { self.held.saturating_sub(closes) };
    }
}

/// Pauses of either process and delays in either direction are drawn, while each side opens as many connections as it
/// may or closes some, and the old process gives idle connections to the new one: what both hold never exceeds the
/// total.
#[test]
fn descriptors_held_never_exceed_the_total_through_pauses_and_bursts() {
    // The paused process, the directions that hold messages back, the number of steps of 5 ms, and the processes in a
    // burst.
    let step = (0u8..3, 0u8..4, 1u8..60, 0u8..4, 0usize..40);
    let steps = prop::collection::vec(step, 1..30);
    let config = ProptestConfig { cases: 2_000, ..ProptestConfig::default() };
    proptest!(config, |(total in 200usize..2048, held in 40usize..400, steps in steps)| {
        let (mut old, mut new) = pair(total, held.min(total / 2), 0);
        let quota = laurelroute_handover::share::old_serving(total, held.min(total / 2));
        let mut old_side = Side { quota, held: held.min(total / 2), outbox: Vec::new() };
        let mut new_side = Side { quota: total - quota, held: 36, outbox: Vec::new() };
        // Idle connections in the queue, which neither process has taken.
        let mut queued = 0usize;
        let (mut now, mut last_heartbeat) = (0u64, 0);
        for (paused, blocked, duration, burst, closes) in steps {
            for _ in 0..duration {
                now += 5 * MS;
                if paused != 1 {
                    let delivered =
                        if blocked & 1 == 0 { std::mem::take(&mut new_side.outbox) } else { Vec::new() };
                    for message in delivered {
                        old_side.apply(old.handle(message, old_side.held));
                    }
                    let was_in_fallback = old.in_fallback();
                    old_side.apply(old.tick(now, old_side.held));
                    if old.in_fallback() && !was_in_fallback {
                        let effects = old.connections_reclaimed(queued);
                        old_side.apply(effects);
                        old_side.held += std::mem::take(&mut queued);
                    }
                    if !old.in_fallback() {
                        let give = closes.min(old_side.held.saturating_sub(36)).min(16);
                        old_side.apply(old.connections_given(give));
                        old_side.held -= give;
                        queued += give;
                    } else {
                        old_side.step(burst & 1 != 0, closes);
                    }
                }
                if paused != 2 {
                    let effects = new.connections_received(queued);
                    new_side.held += std::mem::take(&mut queued);
                    new_side.apply(effects);
                    let delivered =
                        if blocked & 2 == 0 { std::mem::take(&mut old_side.outbox) } else { Vec::new() };
                    for message in delivered {
                        new_side.apply(new.handle(message, now, new_side.held));
                    }
                    // A timer that came due during a pause fires at its end.
                    if now - last_heartbeat >= HEARTBEAT_INTERVAL {
                        last_heartbeat = now;
                        new_side.apply(new.tick(now, new_side.held));
                    }
                    new_side.step(burst & 2 != 0, closes);
                }
                let sum = old_side.held + new_side.held;
                prop_assert!(sum <= total, "{old_side:?} and {new_side:?} of {total} at {} ms", now / MS);
            }
        }
    });
}

/// A quota that was sent before a pause of the new process is not valid after it.
#[test]
fn a_stopped_new_process_gives_up_its_quota_until_a_new_one_arrives() {
    let (_, mut new) = pair(400, 50, 0);
    new.tick(HEARTBEAT_INTERVAL, 50);
    // However large its quota, it opens only so many beyond what the old process knows of.
    let limit = |held| max_held_after_heartbeat(400, held);
    assert_eq!(new.handle(Message::Quota { quota: 300, heartbeat: 1 }, HEARTBEAT_INTERVAL + MS, 50), vec![]);
    let resumed = HEARTBEAT_INTERVAL + MS + QUOTA_LEASE + HEARTBEAT_INTERVAL + MS;
    assert_eq!(
        new.handle(Message::Quota { quota: 350, heartbeat: 1 }, resumed, 60),
        vec![Effect::SetQuota(68)]
    );
    new.tick(resumed, 60);
    assert_eq!(
        new.handle(Message::Quota { quota: 310, heartbeat: 2 }, resumed + MS, 60),
        vec![Effect::SetQuota(limit(60))]
    );
    new.tick(resumed + HEARTBEAT_INTERVAL, 90);
    assert_eq!(
        new.handle(Message::Quota { quota: 310, heartbeat: 3 }, resumed + HEARTBEAT_INTERVAL, 90),
        vec![Effect::SetQuota(limit(90))]
    );
    // The old process knows of the connections that it gave.
    assert_eq!(new.connections_received(7), vec![Effect::SetQuota(limit(97))]);
}

/// Guards against a new process that receives more idle connections than its quota has room for, and closes some of
/// them to make room for others.
#[test]
fn received_connections_raise_the_quota() {
    let (_, mut new) = pair(400, 50, 0);
    new.tick(HEARTBEAT_INTERVAL, 50);
    new.handle(Message::Quota { quota: 300, heartbeat: 1 }, HEARTBEAT_INTERVAL + MS, 50);
    let effects = new.tick(HEARTBEAT_INTERVAL + MS + QUOTA_LEASE + HEARTBEAT_INTERVAL, 36);
    assert!(effects.contains(&Effect::SetQuota(MIN_DESCRIPTORS)), "{effects:?}");
    assert_eq!(new.connections_received(8), vec![Effect::SetQuota(MIN_DESCRIPTORS + 8)]);
}

/// Both processes take operators' calls at the same time and exchange records in any order, repeatedly: they converge.
#[test]
fn two_processes_converge_on_the_same_bans() {
    let calls = prop::collection::vec((0u8..4, any::<bool>(), any::<bool>(), 0u64..50), 0..40);
    proptest!(|(calls in calls, order in any::<prop::sample::Index>())| {
        let mut sides = [Bans::default(), Bans::default()];
        let mut sent = [Vec::new(), Vec::new()];
        for (host, ban, side, at) in calls {
            let (host, side) = (format!("s{host}"), usize::from(side));
            let record =
                if ban { sides[side].detach(&host, at).unwrap() } else { sides[side].attach(&host, at) };
            sent[side].extend(record);
        }
        for (from, to) in [(0, 1), (1, 0)] {
            let mut records = sent[from].clone();
            if !records.is_empty() {
                let middle = order.index(records.len());
                records.rotate_left(middle);
            }
            sides[to].merge(records.clone());
            sides[to].merge(records);
        }
        let [a, b] = sides;
        prop_assert_eq!(a, b);
    });
}

/// A record made by a clock that is an hour ahead does not keep a server in slow start for that hour, and is dropped in
/// time.
#[test]
fn a_record_from_a_fast_clock_counts_from_when_it_was_received() {
    const HOUR: u64 = 3_600_000_000_000;
    let now = 10 * HOUR;
    let restored = |at| BanRecord { host: "a".to_owned(), banned: false, updated_at: at, banned_at: at - 1 };
    let mut bans = Bans::default();
    assert_eq!(bans.merge_received([restored(now + HOUR)], now), ["a"]);
    assert_eq!(bans.overlay("a", server(0)).started_at, now);
    // Received again, it changes nothing.
    assert!(bans.merge_received([restored(now + HOUR)], now + 50).is_empty());
    assert_eq!(bans.overlay("a", server(0)).started_at, now);
    bans.forget_restored_before(now + 1);
    assert_eq!(bans.overlay("a", server(0)).started_at, 0);
    // A record that was made before it was received counts from when it was made.
    bans.merge_received([restored(now - 5)], now);
    assert_eq!(bans.overlay("a", server(0)).started_at, now - 5);
}

// Guards against an address that nobody serves while a new process that was told to end still answers what it holds.
#[test]
fn the_old_process_accepts_again_once_the_new_one_is_told_to_end_though_that_still_beats() {
    let mut old = OldProcess::new(100);
    let request = Message::TakeoverRequest { version: VERSION, sends_heartbeats: true, shares_lists: true };
    old.handle(request, 10);
    old.handle(Message::Ready, 10);
    assert!(old.has_yielded());
    assert_eq!(old.handle(Message::Ending, 10), [Effect::Accept(true), Effect::Reclaim]);
    let beat = Message::Heartbeat { number: 1, held: 20, received: Some(0) };
    assert!(!old.handle(beat, 10).contains(&Effect::Accept(false)));
    assert!(!old.has_yielded() && !old.is_alone(), "it still counts the other one's descriptors");
    assert!(old.peer_lost().contains(&Effect::Accept(true)));
}
