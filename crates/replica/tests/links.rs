//! Tests two and three replicas over links that lose datagrams: what arrives, what is repeated, and which datagrams
//! are rejected.

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

struct Replicas {
    now: Nanos,
    machines: Vec<Machine>,
    sent: usize,
    /// Every n-th datagram is lost; 0 for none.
    loss_interval: usize,
}

impl Replicas {
    fn new(members: u16) -> Replicas {
        let machines =
            (0..members).map(|k| Machine::new("s", &roster(members), k, 10 + u32::from(k))).collect();
        Replicas { now: 1_000 * MS, machines, sent: 0, loss_interval: 0 }
    }

    fn deliver(&mut self, from: usize, outputs: Vec<Output>) -> Vec<(usize, Output)> {
        let mut queue: VecDeque<(usize, Output)> = outputs.into_iter().map(|o| (from, o)).collect();
        let mut events = Vec::new();
        while let Some((from, output)) = queue.pop_front() {
            let Output::Send(to, bytes) = &output else {
                events.push((from, output));
                continue;
            };
            self.sent += 1;
            if self.loss_interval > 0 && self.sent.is_multiple_of(self.loss_interval) {
                continue;
            }
            let to = usize::from(*to);
            queue.extend(
                self.machines[to].receive(self.now, from as MemberId, bytes).into_iter().map(|o| (to, o)),
            );
        }
        events
    }

    fn run(&mut self, ticks: usize) -> Vec<(usize, Output)> {
        let mut events = Vec::new();
        for _ in 0..ticks {
            self.now += 50 * MS;
            for k in 0..self.machines.len() {
                let outputs = self.machines[k].tick(self.now);
                events.extend(self.deliver(k, outputs));
            }
        }
        events
    }

    fn apply_view(&mut self, incarnations: &[u32]) {
        let view = view(incarnations);
        for (k, incarnation) in incarnations.iter().enumerate() {
            let outputs = self.machines[k].apply_view(self.now, &view, *incarnation);
            self.deliver(k, outputs);
        }
    }

    fn set_ban(&mut self, k: usize, host: &str, banned: bool) -> Vec<(usize, Output)> {
        let outputs = self.machines[k].set_ban(self.now, host, banned, 0).expect("the store has room");
        self.deliver(k, outputs)
    }
}

#[test]
fn a_ban_reaches_the_neighbour_at_once_and_is_acknowledged() {
    let mut replicas = Replicas::new(2);
    replicas.apply_view(&[10, 11]);
    replicas.run(40);
    assert!(replicas.machines.iter().all(Machine::caught_up));
    replicas.set_ban(0, "s", true);
    assert!(replicas.machines[1].bans("s").is_some_and(|b| b.is_banned()));
    assert_eq!(replicas.machines[0].holder_count(&Key::Ban("s".to_owned())), 1);
    let outputs = replicas.machines[0].query_holders(7, &Key::Ban("s".to_owned()));
    assert_eq!(replicas.deliver(0, outputs), [(0, Output::HolderReply(1, 7, true))]);
}

#[test]
fn many_entries_are_replicated_over_lossy_links() {
    let mut replicas = Replicas::new(2);
    for k in 0..700 {
        replicas.set_ban(0, &format!("a-box-with-a-rather-long-name-{k}"), true);
        replicas.set_ban(1, &format!("another-box-{k}"), k % 2 == 0);
    }
    replicas.loss_interval = 3;
    replicas.apply_view(&[10, 11]);
    let mut ticks = 0;
    while replicas.machines[0].store().root_digest() != replicas.machines[1].store().root_digest()
        && ticks < 400
    {
        replicas.run(1);
        ticks += 1;
    }
    // The store holds 1,024 of the 1,400 entries. Unbanned servers are evicted first, so both replicas keep at least
    // the bans.
    println!("{ticks} ticks, {} datagrams", replicas.sent);
    let banned = |m: &Machine| m.store().entries().filter(|(_, e)| e.excludes_server()).count();
    assert!(banned(&replicas.machines[0]) >= 1_000 && banned(&replicas.machines[1]) >= 1_000);
}

#[test]
fn a_link_recreated_by_one_side_keeps_working() {
    let mut replicas = Replicas::new(2);
    replicas.apply_view(&[10, 11]);
    for k in 0..5 {
        replicas.set_ban(0, &format!("s{k}"), true);
    }
    // Only the first one sees the other leave and come back.
    let (alone, both) = (view(&[10]), view(&[10, 11]));
    let outputs = replicas.machines[0].apply_view(replicas.now, &alone, 10);
    replicas.deliver(0, outputs);
    let outputs = replicas.machines[0].apply_view(replicas.now, &both, 10);
    replicas.deliver(0, outputs);
    replicas.set_ban(0, "later", true);
    replicas.run(10);
    assert!(replicas.machines[1].bans("later").is_some_and(|b| b.is_banned()));
}

#[test]
fn datagrams_of_another_incarnation_site_or_version_are_rejected() {
    let mut replicas = Replicas::new(2);
    replicas.apply_view(&[10, 11]);
    replicas.run(4);
    let outputs = replicas.machines[0].set_ban(replicas.now, "s", true, 0).unwrap();
    let bytes = outputs
        .iter()
        .find_map(|o| match o {
            Output::Send(1, bytes) => Some(bytes.clone()),
            _ => None,
        })
        .expect("a datagram is sent");
    let modified = |modify: fn(&mut Datagram)| {
        let mut datagram = Datagram::decode(&bytes).unwrap();
        modify(&mut datagram);
        datagram.encode().unwrap()
    };
    let invalid = [
        modified(|d| d.head.incarnation = [9; 4]),
        modified(|d| d.head.site = [1; 2]),
        modified(|d| d.head.roster = [1; 2]),
        modified(|d| d.head.to = 0),
        modified(|d| d.head.to_incarnation = [9; 4]),
    ];
    for bytes in invalid {
        assert_eq!(replicas.machines[1].receive(replicas.now, 0, &bytes), []);
    }
    let newer = modified(|d| d.head.version = VERSION + 1);
    assert_eq!(
        replicas.machines[1].receive(replicas.now, 0, &newer),
        [Output::VersionMismatch(0, VERSION + 1)]
    );
    assert!(replicas.machines[1].bans("s").is_none());
    assert!(matches!(Datagram::decode(&bytes).unwrap().body, Body::BatchPart(..)));
    replicas.machines[1].receive(replicas.now, 0, &bytes);
    assert!(replicas.machines[1].bans("s").is_some());
    // Truncated datagrams are ignored.
    for length in 0..bytes.len() {
        replicas.machines[1].receive(replicas.now, 0, &bytes[..length]);
    }
}

/// A member restarts from an outdated copy: a server that was unbanned in the meantime stays unbanned.
#[test]
fn an_outdated_copy_restores_no_ban() {
    let mut replicas = Replicas::new(3);
    replicas.apply_view(&[10, 11, 12]);
    replicas.run(4);
    replicas.set_ban(0, "s", true);
    let outdated: Vec<_> =
        replicas.machines[2].store().entries().map(|(k, e)| (k.clone(), e.clone())).collect();
    replicas.set_ban(1, "s", false);
    replicas.machines[2] = Machine::new("s", &roster(3), 2, 99);
    assert!(replicas.machines[2].restore(outdated).contains(&Output::Changed(Key::Ban("s".to_owned()))));
    assert!(replicas.machines[2].bans("s").is_some_and(|b| b.is_banned()));
    replicas.apply_view(&[10, 11, 99]);
    replicas.run(40);
    assert!(replicas.machines.iter().all(|m| m.bans("s").is_some_and(|b| !b.is_banned())));
    assert!(replicas.machines[2].caught_up());
}
