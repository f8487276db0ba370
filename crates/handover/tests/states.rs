//! What two processes of one node promise each other, without sockets.

use laurelroute_handover::bans::{Bans, Word, MOST};
use laurelroute_handover::message::{Door, Message, MOST_PACKET, VERSION};
use laurelroute_handover::share::{most_after, LEAST};
use laurelroute_handover::states::{Effect, Elder, Heir, BEAT, LEASE, PATIENCE};
use laurelroute_policy::interface::{Endpoint, Phase, Server};
use proptest::prelude::*;

fn server(started_at: u64) -> Server {
    Server { started_at, ..Server::warm(Endpoint { address: [1; 4], port: 1 }) }
}

#[test]
fn one_call_back_undoes_two_calls_out() {
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
fn what_is_gone_stays_gone_while_it_is_out() {
    let mut bans = Bans::default();
    bans.detach("a", 10).unwrap();
    for phase in [Phase::Removed, Phase::Draining] {
        assert_eq!(bans.overlay("a", Server { phase, ..server(0) }).phase, phase);
    }
}

/// The list is late: it has the start before the ban, or the one after it.
#[test]
fn a_server_that_is_back_is_cold() {
    let mut bans = Bans::default();
    bans.detach("a", 100).unwrap();
    bans.attach("a", 200);
    assert_eq!(bans.overlay("a", server(0)).started_at, 200);
    assert_eq!(bans.overlay("a", server(99)).started_at, 200);
    assert_eq!(bans.overlay("a", server(150)).started_at, 150);
    bans.forget(200);
    assert_eq!(bans.overlay("a", server(0)).started_at, 200);
    bans.forget(201);
    assert_eq!(bans.overlay("a", server(0)).started_at, 0);
}

#[test]
fn bans_are_bounded_and_those_in_force_stay() {
    let mut bans = Bans::default();
    bans.detach("back", 1).unwrap();
    bans.attach("back", 2);
    for k in 0..MOST {
        assert!(bans.detach(&format!("s{k}"), 3).is_ok());
    }
    assert!(bans.detach("one more", 4).is_err());
    assert!(bans.out("s0") && !bans.out("one more"));
    let words: Vec<_> = bans.words().cloned().collect();
    assert_eq!(words.len(), MOST);
    for message in Message::of_words(0, words) {
        assert!(message.encode().len() <= MOST_PACKET);
    }
}

#[test]
fn packets_come_back_as_they_went() {
    let word = Word { host: "s-\"1\"".into(), out: true, at: u64::MAX, since: 1 };
    let messages = [
        Message::Take { version: VERSION, beats: true },
        Message::Offer { version: VERSION, doors: vec![Door::Http, Door::Rest], part: 7, beats: true },
        Message::Beat { number: 9, held: 60, picked: Some(5) },
        Message::Part { part: 7, beat: 9 },
        Message::Ready,
        Message::Bans { mark: 3, words: vec![word] },
        Message::Client { door: Door::Http, used: false },
    ];
    for message in messages {
        assert_eq!(Message::decode(&message.encode()).unwrap(), message);
    }
    for bad in [&b""[..], b"{}", b"{\"say\":\"leave\"}", &[b' '; MOST_PACKET + 1]] {
        assert!(Message::decode(bad).is_err());
    }
}

#[test]
fn an_elder_yields_only_to_an_heir_that_is_ready_and_takes_over_again() {
    let mut elder = Elder::new(400);
    assert_eq!(elder.hear(Message::Ready, 100), vec![]);
    assert_eq!(elder.hear(Message::Take { version: VERSION + 1, beats: true }, 100), vec![Effect::Foreign]);
    assert_eq!(
        elder.hear(Message::Take { version: VERSION, beats: true }, 100),
        vec![Effect::Hold(200), Effect::Offer(200)]
    );
    assert!(!elder.yielded() && elder.tick(0, 10).is_empty());
    assert_eq!(elder.hear(Message::Ready, 100), vec![Effect::Accept(false)]);
    assert!(elder.yielded());
    assert_eq!(elder.lost(), vec![Effect::Hold(400), Effect::Accept(true), Effect::Reclaim]);
    assert!(!elder.yielded());
}

/// Whatever the elder holds from one moment to the next, the parts of the two never exceed the whole.
#[test]
fn parts_never_exceed_the_whole() {
    proptest!(|(total in 128usize..4096, held in prop::collection::vec(0usize..4096, 1..20))| {
        let mut elder = Elder::new(total);
        let mut effects = elder.hear(Message::Take { version: VERSION, beats: true }, held[0]);
        let Some(Effect::Offer(part)) = effects.pop() else { panic!("no offer") };
        let Some(Effect::Hold(mut own)) = effects.pop() else { panic!("no part") };
        let (mut heir, effects) = Heir::new(total, part, false, 0);
        let Some(Effect::Hold(mut other)) = effects.into_iter().next() else { panic!("no part") };
        prop_assert!(other >= LEAST);
        elder.hear(Message::Ready, held[0]);
        for held in held {
            for effect in elder.tick(0, held) {
                match effect {
                    Effect::Hold(part) => own = part,
                    Effect::Say(message) => for effect in heir.hear(message, 0, 0) {
                        if let Effect::Hold(part) = effect { other = part }
                    },
                    _ => {}
                }
            }
            prop_assert!(own + other <= total, "{own} + {other} > {total}");
        }
        prop_assert_eq!(heir.lost(), vec![Effect::Hold(total)]);
    });
}

const MS: u64 = 1_000_000;

/// An elder whose heir serves, and that heir, both at `now`.
fn pair(total: usize, held: usize, now: u64) -> (Elder, Heir) {
    let mut elder = Elder::new(total);
    let effects = elder.hear(Message::Take { version: VERSION, beats: true }, held);
    let Some(Effect::Offer(part)) = effects.last() else { panic!("no offer") };
    let (heir, _) = Heir::new(total, *part, true, now);
    elder.tick(now, held);
    elder.hear(Message::Ready, held);
    (elder, heir)
}

fn accepts(effects: &[Effect]) -> Option<bool> {
    effects.iter().rev().find_map(|e| if let Effect::Accept(open) = e { Some(*open) } else { None })
}

#[test]
fn an_elder_accepts_beside_an_heir_that_is_silent_and_only_until_it_speaks() {
    let (mut elder, mut heir) = pair(400, 100, 0);
    let mut now = 0;
    for _ in 0..50 {
        now += 5 * MS;
        assert_eq!(accepts(&elder.tick(now, 100)), None);
        if now % BEAT == 0 {
            let Some(Effect::Say(beat)) = heir.tick(now, 60).pop() else { panic!("no beat") };
            assert!(matches!(elder.hear(beat, 100)[..], [Effect::Say(Message::Part { .. })]));
        }
    }
    let silent_from = now;
    while accepts(&elder.tick(now, 10)).is_none() {
        now += 5 * MS;
        assert!(now - silent_from <= PATIENCE + 5 * MS);
    }
    assert!(elder.covering() && elder.yielded());
    assert_eq!(accepts(&elder.hear(Message::Beat { number: 99, held: 60, picked: None }, 10)), Some(false));
    assert!(!elder.covering());
}

/// It was itself stopped: what the heir has said meanwhile is read before anybody is taken to be silent.
#[test]
fn an_elder_that_was_stopped_does_not_take_its_heir_for_stopped() {
    let (mut elder, _) = pair(400, 100, 0);
    assert_eq!(accepts(&elder.tick(3_000 * MS, 100)), None);
    assert_eq!(accepts(&elder.tick(6_000 * MS, 100)), None);
}

/// An older program as heir says nothing, and none is expected of it.
#[test]
fn an_heir_that_never_beats_is_not_waited_for() {
    let mut elder = Elder::new(400);
    elder.hear(Message::Take { version: VERSION, beats: false }, 100);
    elder.hear(Message::Ready, 100);
    for k in 0..1_000 {
        assert_eq!(accepts(&elder.tick(k * 5 * MS, 100)), None);
    }
}

/// One side in the drawn test: what it may hold, and what it does hold, which falls only by itself.
#[derive(Debug)]
struct Holder {
    may: usize,
    holds: usize,
    said: Vec<Message>,
}

impl Holder {
    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Hold(part) => self.may = part,
                Effect::Say(message) => self.said.push(message),
                _ => {}
            }
        }
    }

    /// As in a storm, all that it may; or it lets some go.
    fn open(&mut self, storm: bool, leaves: usize) {
        self.holds = if storm { self.holds.max(self.may) } else { self.holds.saturating_sub(leaves) };
    }
}

/// Pauses and silence in either direction, drawn, while each side opens as many connections as it may or lets some go, and the
/// elder puts clients down for the heir: what both hold never exceeds the whole.
#[test]
fn both_never_hold_more_than_the_whole_through_pauses_and_storms() {
    // Who is paused, which way the link carries, for how many steps of 5 ms, and who is in a storm.
    let step = (0u8..3, 0u8..4, 1u8..60, 0u8..4, 0usize..40);
    let steps = prop::collection::vec(step, 1..30);
    let config = ProptestConfig { cases: 2_000, ..ProptestConfig::default() };
    proptest!(config, |(total in 200usize..2048, held in 40usize..400, steps in steps)| {
        let (mut elder, mut heir) = pair(total, held.min(total / 2), 0);
        let may = laurelroute_handover::share::serving(total, held.min(total / 2));
        let mut one = Holder { may, holds: held.min(total / 2), said: Vec::new() };
        let mut other = Holder { may: total - may, holds: 36, said: Vec::new() };
        // Clients at rest that neither has in hand.
        let mut rest = 0usize;
        let (mut now, mut beat) = (0u64, 0);
        for (paused, link, long, storm, leaves) in steps {
            for _ in 0..long {
                now += 5 * MS;
                if paused != 1 {
                    let heard = if link & 1 == 0 { std::mem::take(&mut other.said) } else { Vec::new() };
                    for message in heard {
                        one.carry_out(elder.hear(message, one.holds));
                    }
                    let covered = elder.covering();
                    one.carry_out(elder.tick(now, one.holds));
                    if elder.covering() && !covered {
                        let effects = elder.took_back(rest);
                        one.carry_out(effects);
                        one.holds += std::mem::take(&mut rest);
                    }
                    if !elder.covering() {
                        let give = leaves.min(one.holds.saturating_sub(36)).min(16);
                        one.carry_out(elder.gave(give));
                        one.holds -= give;
                        rest += give;
                    } else {
                        one.open(storm & 1 != 0, leaves);
                    }
                }
                if paused != 2 {
                    let picked = heir.pick_up(rest);
                    other.holds += std::mem::take(&mut rest);
                    other.carry_out(picked);
                    let heard = if link & 2 == 0 { std::mem::take(&mut one.said) } else { Vec::new() };
                    for message in heard {
                        other.carry_out(heir.hear(message, now, other.holds));
                    }
                    // A timer that fell due in a pause fires at its end.
                    if now - beat >= BEAT {
                        beat = now;
                        other.carry_out(heir.tick(now, other.holds));
                    }
                    other.open(storm & 2 != 0, leaves);
                }
                let sum = one.holds + other.holds;
                prop_assert!(sum <= total, "{one:?} and {other:?} of {total} at {} ms", now / MS);
            }
        }
    });
}

/// What was said before a pause of the heir no longer counts after it.
#[test]
fn an_heir_that_was_stopped_gives_up_its_part_until_it_is_told_anew() {
    let (_, mut heir) = pair(400, 50, 0);
    heir.tick(BEAT, 50);
    // However large its part, it goes only so far beyond what the elder knows.
    let most = |told| most_after(400, told);
    assert_eq!(heir.hear(Message::Part { part: 300, beat: 1 }, BEAT + MS, 50), vec![]);
    let woken = BEAT + MS + LEASE + BEAT + MS;
    assert_eq!(heir.hear(Message::Part { part: 350, beat: 1 }, woken, 60), vec![Effect::Hold(68)]);
    heir.tick(woken, 60);
    assert_eq!(heir.hear(Message::Part { part: 310, beat: 2 }, woken + MS, 60), vec![Effect::Hold(most(60))]);
    heir.tick(woken + BEAT, 90);
    assert_eq!(
        heir.hear(Message::Part { part: 310, beat: 3 }, woken + BEAT, 90),
        vec![Effect::Hold(most(90))]
    );
    // The elder knows of clients that it has put down itself.
    assert_eq!(heir.pick_up(7), vec![Effect::Hold(most(97))]);
}

/// Guards against a new process that is given more clients than it has places for, and closes on them for one another.
#[test]
fn clients_that_go_over_come_with_their_places() {
    let (_, mut heir) = pair(400, 50, 0);
    heir.tick(BEAT, 50);
    heir.hear(Message::Part { part: 300, beat: 1 }, BEAT + MS, 50);
    let doubts = heir.tick(BEAT + MS + LEASE + BEAT, 36);
    assert!(doubts.contains(&Effect::Hold(LEAST)), "{doubts:?}");
    assert_eq!(heir.pick_up(8), vec![Effect::Hold(LEAST + 8)]);
}

/// Two processes take calls at the same time; whatever is told in whatever order and however often, they agree.
#[test]
fn two_processes_agree_on_bans() {
    let calls = prop::collection::vec((0u8..4, any::<bool>(), any::<bool>(), 0u64..50), 0..40);
    proptest!(|(calls in calls, order in any::<prop::sample::Index>())| {
        let mut sides = [Bans::default(), Bans::default()];
        let mut told = [Vec::new(), Vec::new()];
        for (host, out, side, at) in calls {
            let (host, side) = (format!("s{host}"), usize::from(side));
            let word = if out { sides[side].detach(&host, at).unwrap() } else { sides[side].attach(&host, at) };
            told[side].extend(word);
        }
        for (from, to) in [(0, 1), (1, 0)] {
            let mut words = told[from].clone();
            if !words.is_empty() {
                let middle = order.index(words.len());
                words.rotate_left(middle);
            }
            sides[to].merge(words.clone());
            sides[to].merge(words);
        }
        let [a, b] = sides;
        prop_assert_eq!(a, b);
    });
}

/// A word that was said by a clock an hour ahead does not keep a server cold for that hour, and is forgotten in time.
#[test]
fn a_word_by_a_wrong_clock_counts_from_when_it_was_heard() {
    const HOUR: u64 = 3_600_000_000_000;
    let now = 10 * HOUR;
    let word = |at| Word { host: "a".to_owned(), out: false, at, since: at - 1 };
    let mut bans = Bans::default();
    assert_eq!(bans.hear([word(now + HOUR)], now), ["a"]);
    assert_eq!(bans.overlay("a", server(0)).started_at, now);
    // Heard again, it is no news.
    assert!(bans.hear([word(now + HOUR)], now + 50).is_empty());
    assert_eq!(bans.overlay("a", server(0)).started_at, now);
    bans.forget(now + 1);
    assert_eq!(bans.overlay("a", server(0)).started_at, 0);
    // One that was said before it was heard counts from when it was said.
    bans.hear([word(now - 5)], now);
    assert_eq!(bans.overlay("a", server(0)).started_at, now - 5);
}
