//! A member that starts with nothing learns from its neighbours, over links that lose, double and overtake.

use laurelroute_membership::{MemberId, Nanos, Roster, View, MS};
use laurelroute_replica::wire::{Body, Datagram};
use laurelroute_replica::{FleetAverages, LearnedSnapshot, Machine, Output, ServerRow};
use proptest::prelude::*;
use std::collections::BTreeMap;

const MEMBERS: u16 = 4;

fn snapshot(number: u32, servers: usize) -> LearnedSnapshot {
    let row = |k: usize| ServerRow {
        address: [10, 0, (k / 256) as u8, (k % 256) as u8],
        port: 8_080,
        score: u32::MAX - k as u32,
        relative_latency: u16::MAX,
        failure_rate: number as u16,
    };
    let classes = if servers > 0 { vec![(u32::MAX, 7); 16] } else { Vec::new() };
    let averages = FleetAverages { slowdown: 1_000 + number as u16, failure_rate: 9, classes };
    LearnedSnapshot { number, averages, rows: (0..servers).map(row).collect() }
}

/// Members in one view; the last one has just started.
struct Fleet {
    now: Nanos,
    machines: Vec<Machine>,
    snapshots: Vec<LearnedSnapshot>,
    /// Under way: when it comes, where from, where to.
    air: Vec<(Nanos, usize, usize, Vec<u8>)>,
    learnt: Option<(MemberId, LearnedSnapshot)>,
    asked: usize,
}

impl Fleet {
    fn new(snapshots: Vec<LearnedSnapshot>) -> Fleet {
        let roster = Roster::new((0..MEMBERS).map(|k| format!("n{k}")).collect()).unwrap();
        let mut machines: Vec<_> =
            (0..MEMBERS).map(|k| Machine::new("s", &roster, k, 10 + u32::from(k))).collect();
        let incarnations: BTreeMap<MemberId, u32> = (0..MEMBERS).map(|k| (k, 10 + u32::from(k))).collect();
        let view = View::bootstrap(incarnations, usize::from(MEMBERS));
        for (k, machine) in machines.iter_mut().enumerate() {
            machine.apply_view(0, &view, 10 + k as u32);
        }
        machines[usize::from(MEMBERS) - 1].request_snapshot();
        Fleet { now: 1_000 * MS, machines, snapshots, air: Vec::new(), learnt: None, asked: 0 }
    }

    fn carry_out(&mut self, k: usize, outputs: Vec<Output>, fate: &mut impl FnMut(usize) -> Vec<Nanos>) {
        for output in outputs {
            match output {
                Output::Send(to, bytes) => {
                    assert!(bytes.len() <= 236, "{} bytes", bytes.len());
                    let copies = fate(k);
                    self.air.extend(
                        copies.into_iter().map(|late| (self.now + late, k, usize::from(to), bytes.clone())),
                    );
                }
                Output::SnapshotRequested(member, _, first) => {
                    let (snapshot, machine) = (&self.snapshots[k], &mut self.machines[k]);
                    let outputs = machine.send_snapshot(member, snapshot, first);
                    self.asked += 1;
                    self.carry_out(k, outputs, fate);
                }
                Output::SnapshotReceived(member, snapshot) => self.learnt = Some((member, snapshot)),
                _ => {}
            }
        }
    }

    /// Lets time go on; each datagram comes after each of the times that `fate` gives it.
    fn run(&mut self, lasts: Nanos, mut fate: impl FnMut(usize) -> Vec<Nanos>) {
        let end = self.now + lasts;
        while self.now < end && self.learnt.is_none() {
            self.now += 5 * MS;
            if self.now.is_multiple_of(50 * MS) {
                for k in 0..self.machines.len() {
                    let outputs = self.machines[k].tick(self.now);
                    self.carry_out(k, outputs, &mut fate);
                }
            }
            self.air.sort_by_key(|(at, ..)| *at);
            let due = self.air.partition_point(|(at, ..)| *at <= self.now);
            for (_, from, to, bytes) in self.air.drain(..due).collect::<Vec<_>>() {
                let outputs = self.machines[to].receive(self.now, from as MemberId, &bytes);
                self.carry_out(to, outputs, &mut fate);
            }
        }
    }
}

#[test]
fn one_neighbour_tells_all_that_it_knows() {
    for servers in [1, 9, 10, 11, 160, 161, 2_000] {
        let mut fleet = Fleet::new(vec![
            snapshot(3, servers),
            LearnedSnapshot::default(),
            LearnedSnapshot::default(),
            LearnedSnapshot::default(),
        ]);
        fleet.run(2_000 * MS, |_| vec![0]);
        let (from, learnt) = fleet.learnt.expect("it learns");
        assert!(from == 0 && learnt == snapshot(3, servers), "{servers} servers: {} came", learnt.rows.len());
    }
}

/// Whatever is lost, doubled or late: what is learnt is one member's snapshot, whole.
#[test]
fn what_is_learnt_is_whole_whatever_the_links_do() {
    let fates = prop::collection::vec((0u8..10, 0u64..120), 64);
    proptest!(|(servers in 1usize..400, fates in fates, loss in 0u8..4)| {
        let snapshots: Vec<_> = (0..4).map(|k| snapshot(20 + k, servers + k as usize)).collect();
        let mut fleet = Fleet::new(snapshots.clone());
        let mut k = 0;
        fleet.run(2_400 * MS, |_| {
            k += 1;
            let (chance, late) = fates[k % fates.len()];
            match chance {
                c if c < loss => vec![],
                9 => vec![late * MS, 3 * late * MS],
                _ => vec![late * MS / 8],
            }
        });
        if let Some((from, learnt)) = fleet.learnt {
            prop_assert_eq!(&learnt, &snapshots[usize::from(from)]);
        } else {
            prop_assert!(loss > 0, "nothing was lost, and nothing learnt");
        }
    });
}

#[test]
fn one_that_falls_silent_half_way_is_left_for_the_next() {
    let mut fleet =
        Fleet::new(vec![snapshot(5, 1_000), snapshot(6, 700), snapshot(7, 500), LearnedSnapshot::default()]);
    let mut first = 0;
    fleet.run(2_000 * MS, |from| {
        first += usize::from(from == 0);
        if from == 0 && first > 40 {
            vec![]
        } else {
            vec![MS]
        }
    });
    assert_eq!(fleet.learnt, Some((1, snapshot(6, 700))));
}

/// Those who know nothing themselves are passed over, and where nobody knows anything nobody is asked for ever.
#[test]
fn who_knows_nothing_teaches_nothing() {
    let mut fleet = Fleet::new(vec![
        snapshot(5, 0),
        LearnedSnapshot::default(),
        snapshot(7, 30),
        LearnedSnapshot::default(),
    ]);
    fleet.run(2_000 * MS, |_| vec![MS]);
    assert_eq!(fleet.learnt, Some((2, snapshot(7, 30))));
    let mut fleet = Fleet::new(vec![LearnedSnapshot::default(); 4]);
    fleet.run(5_000 * MS, |_| vec![MS]);
    assert!(fleet.learnt.is_none() && fleet.asked == 3, "asked {} times", fleet.asked);
    let mut fleet = Fleet::new(vec![snapshot(5, 10); 4]);
    fleet.run(10_000 * MS, |from| if from == 3 { vec![MS] } else { vec![] });
    let asked = fleet.asked;
    assert!(fleet.learnt.is_none() && (3..=9).contains(&asked), "asked {asked} times");
}

/// A snapshot that is another one half-way is learnt anew: rows of two moments do not go together.
#[test]
fn rows_of_two_moments_do_not_mix() {
    let mut fleet = Fleet::new(vec![
        snapshot(5, 1_000),
        LearnedSnapshot::default(),
        LearnedSnapshot::default(),
        LearnedSnapshot::default(),
    ]);
    fleet.run(60 * MS, |_| vec![MS]);
    assert!(fleet.learnt.is_none());
    fleet.snapshots[0] = snapshot(6, 900);
    fleet.run(2_000 * MS, |_| vec![MS]);
    assert_eq!(fleet.learnt, Some((0, snapshot(6, 900))));
}

/// Bounds hold whatever a peer claims.
#[test]
fn a_lesson_out_of_bounds_is_not_taken() {
    let mut fetcher = laurelroute_replica::snapshot::SnapshotFetcher::default();
    let members = BTreeMap::from([(0, 1), (1, 1)]);
    let asked = fetcher.tick(0, 0, &members);
    assert!(
        matches!(asked, laurelroute_replica::snapshot::FetchStep::Request(1, Body::SnapshotRequest(0, 0))),
        "{asked:?}"
    );
    let rows = snapshot(1, 10).rows;
    for body in [
        Body::SnapshotRows(1, u32::MAX, 0, rows.clone()),
        Body::SnapshotRows(1, 10, u32::MAX, rows.clone()),
        Body::SnapshotSummary(1, 5, FleetAverages::default()),
        Body::SnapshotRows(1, 5, 3, rows),
    ] {
        let step = fetcher.receive(1, 1, 1, body);
        assert!(!matches!(step, laurelroute_replica::snapshot::FetchStep::Complete(..)), "{step:?}");
    }
    assert!(Datagram::decode(&[0x81; 40]).is_none());
}
