//! Two and three replicas that speak to each other over links that lose: what comes through, what is sent again, and who is not
//! listened to.

use laurelroute_membership::{MemberId, Nanos, Roster, View, MS};
use laurelroute_replica::wire::{Body, Datagram, VERSION};
use laurelroute_replica::{Key, Machine, Output};
use std::collections::{BTreeMap, VecDeque};

fn roster(members: u16) -> Roster {
    Roster::new((0..members).map(|k| format!("n{k}")).collect()).unwrap()
}

fn view(incarnations: &[u32]) -> View {
    let members: BTreeMap<MemberId, u32> = (0..).zip(incarnations).map(|(s, l)| (s, *l)).collect();
    View::bootstrap(members, incarnations.len())
}

struct Pair {
    now: Nanos,
    machines: Vec<Machine>,
    sent: usize,
    /// Of all datagrams, one in so many is lost; 0 for none.
    loses: usize,
}

impl Pair {
    fn new(members: u16) -> Pair {
        let machines =
            (0..members).map(|k| Machine::new("s", &roster(members), k, 10 + u32::from(k))).collect();
        Pair { now: 1_000 * MS, machines, sent: 0, loses: 0 }
    }

    fn carry(&mut self, from: usize, outputs: Vec<Output>) -> Vec<(usize, Output)> {
        let mut queue: VecDeque<(usize, Output)> = outputs.into_iter().map(|o| (from, o)).collect();
        let mut seen = Vec::new();
        while let Some((from, output)) = queue.pop_front() {
            let Output::Send(to, bytes) = &output else {
                seen.push((from, output));
                continue;
            };
            self.sent += 1;
            if self.loses > 0 && self.sent.is_multiple_of(self.loses) {
                continue;
            }
            let to = usize::from(*to);
            queue.extend(
                self.machines[to].receive(self.now, from as MemberId, bytes).into_iter().map(|o| (to, o)),
            );
        }
        seen
    }

    fn run(&mut self, ticks: usize) -> Vec<(usize, Output)> {
        let mut seen = Vec::new();
        for _ in 0..ticks {
            self.now += 50 * MS;
            for k in 0..self.machines.len() {
                let outputs = self.machines[k].tick(self.now);
                seen.extend(self.carry(k, outputs));
            }
        }
        seen
    }

    fn enter(&mut self, incarnations: &[u32]) {
        let view = view(incarnations);
        for (k, incarnation) in incarnations.iter().enumerate() {
            let outputs = self.machines[k].apply_view(self.now, &view, *incarnation);
            self.carry(k, outputs);
        }
    }

    fn set_ban(&mut self, k: usize, host: &str, out: bool) -> Vec<(usize, Output)> {
        let outputs = self.machines[k].set_ban(self.now, host, out, 0).expect("there is room");
        self.carry(k, outputs)
    }
}

#[test]
fn a_word_is_at_the_other_at_once_and_known_to_be() {
    let mut pair = Pair::new(2);
    pair.enter(&[10, 11]);
    pair.run(40);
    assert!(pair.machines.iter().all(Machine::caught_up));
    pair.set_ban(0, "s", true);
    assert!(pair.machines[1].bans("s").is_some_and(|b| b.is_banned()));
    assert_eq!(pair.machines[0].holder_count(&Key::Ban("s".to_owned())), 1);
    let outputs = pair.machines[0].query_holders(7, &Key::Ban("s".to_owned()));
    assert_eq!(pair.carry(0, outputs), [(0, Output::HolderReply(1, 7, true))]);
}

#[test]
fn many_entries_come_through_links_that_lose() {
    let mut pair = Pair::new(2);
    for k in 0..700 {
        pair.set_ban(0, &format!("a-box-with-a-rather-long-name-{k}"), true);
        pair.set_ban(1, &format!("another-box-{k}"), k % 2 == 0);
    }
    pair.loses = 3;
    pair.enter(&[10, 11]);
    let mut ticks = 0;
    while pair.machines[0].store().root_digest() != pair.machines[1].store().root_digest() && ticks < 400 {
        pair.run(1);
        ticks += 1;
    }
    // 1,024 of 1,400 have a place; those in use go first, so that both have the same bans at least.
    println!("{ticks} ticks, {} datagrams", pair.sent);
    let outs = |m: &Machine| m.store().entries().filter(|(_, e)| e.excludes_server()).count();
    assert!(outs(&pair.machines[0]) >= 1_000 && outs(&pair.machines[1]) >= 1_000);
}

#[test]
fn a_link_that_only_one_side_made_anew_carries_on() {
    let mut pair = Pair::new(2);
    pair.enter(&[10, 11]);
    for k in 0..5 {
        pair.set_ban(0, &format!("s{k}"), true);
    }
    // The first one alone sees the other leave and come back.
    let (alone, both) = (view(&[10]), view(&[10, 11]));
    let outputs = pair.machines[0].apply_view(pair.now, &alone, 10);
    pair.carry(0, outputs);
    let outputs = pair.machines[0].apply_view(pair.now, &both, 10);
    pair.carry(0, outputs);
    pair.set_ban(0, "later", true);
    pair.run(10);
    assert!(pair.machines[1].bans("later").is_some_and(|b| b.is_banned()));
}

#[test]
fn nobody_listens_to_another_life_site_or_version() {
    let mut pair = Pair::new(2);
    pair.enter(&[10, 11]);
    pair.run(4);
    let outputs = pair.machines[0].set_ban(pair.now, "s", true, 0).unwrap();
    let bytes = outputs
        .iter()
        .find_map(|o| match o {
            Output::Send(1, bytes) => Some(bytes.clone()),
            _ => None,
        })
        .expect("it is sent");
    let spoilt = |spoil: fn(&mut Datagram)| {
        let mut datagram = Datagram::decode(&bytes).unwrap();
        spoil(&mut datagram);
        datagram.encode().unwrap()
    };
    let wrong = [
        spoilt(|d| d.head.incarnation = [9; 4]),
        spoilt(|d| d.head.site = [1; 2]),
        spoilt(|d| d.head.roster = [1; 2]),
        spoilt(|d| d.head.to = 0),
        spoilt(|d| d.head.to_incarnation = [9; 4]),
    ];
    for bytes in wrong {
        assert_eq!(pair.machines[1].receive(pair.now, 0, &bytes), []);
    }
    let newer = spoilt(|d| d.head.version = VERSION + 1);
    assert_eq!(pair.machines[1].receive(pair.now, 0, &newer), [Output::VersionMismatch(0, VERSION + 1)]);
    assert!(pair.machines[1].bans("s").is_none());
    assert!(matches!(Datagram::decode(&bytes).unwrap().body, Body::BatchPart(..)));
    pair.machines[1].receive(pair.now, 0, &bytes);
    assert!(pair.machines[1].bans("s").is_some());
    // Bytes of all kinds are taken without harm.
    for length in 0..bytes.len() {
        pair.machines[1].receive(pair.now, 0, &bytes[..length]);
    }
}

/// One that starts with an old copy of its own: what was put back meanwhile stays in use.
#[test]
fn an_old_copy_brings_nothing_back() {
    let mut pair = Pair::new(3);
    pair.enter(&[10, 11, 12]);
    pair.run(4);
    pair.set_ban(0, "s", true);
    let old: Vec<_> = pair.machines[2].store().entries().map(|(k, e)| (k.clone(), e.clone())).collect();
    pair.set_ban(1, "s", false);
    pair.machines[2] = Machine::new("s", &roster(3), 2, 99);
    assert!(pair.machines[2].restore(old).contains(&Output::Changed(Key::Ban("s".to_owned()))));
    assert!(pair.machines[2].bans("s").is_some_and(|b| b.is_banned()));
    pair.enter(&[10, 11, 99]);
    pair.run(40);
    assert!(pair.machines.iter().all(|m| m.bans("s").is_some_and(|b| !b.is_banned())));
    assert!(pair.machines[2].caught_up());
}
