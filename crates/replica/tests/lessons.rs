//! A member that starts with nothing learns from its neighbours, over links that lose, double and overtake.

use laurelroute_membership::{Nanos, Roster, Seat, View, MS};
use laurelroute_replica::wire::{Body, Datagram};
use laurelroute_replica::{Lesson, Machine, Output, Row, Usual};
use proptest::prelude::*;
use std::collections::BTreeMap;

const MEMBERS: u16 = 4;

fn lesson(number: u32, servers: usize) -> Lesson {
    let row = |k: usize| Row {
        address: [10, 0, (k / 256) as u8, (k % 256) as u8],
        port: 8_080,
        accomplished: u32::MAX - k as u32,
        lag: u16::MAX,
        faults: number as u16,
    };
    let classes = if servers > 0 { vec![(u32::MAX, 7); 16] } else { Vec::new() };
    let usual = Usual { pressure: 1_000 + number as u16, faults: 9, classes };
    Lesson { number, usual, rows: (0..servers).map(row).collect() }
}

/// Members in one view; the last one has just started.
struct Fleet {
    now: Nanos,
    machines: Vec<Machine>,
    lessons: Vec<Lesson>,
    /// Under way: when it comes, where from, where to.
    air: Vec<(Nanos, usize, usize, Vec<u8>)>,
    learnt: Option<(Seat, Lesson)>,
    asked: usize,
}

impl Fleet {
    fn new(lessons: Vec<Lesson>) -> Fleet {
        let roster = Roster::new((0..MEMBERS).map(|k| format!("n{k}")).collect()).unwrap();
        let mut machines: Vec<_> =
            (0..MEMBERS).map(|k| Machine::new("s", &roster, k, 10 + u32::from(k))).collect();
        let lives: BTreeMap<Seat, u32> = (0..MEMBERS).map(|k| (k, 10 + u32::from(k))).collect();
        let view = View::found(lives, usize::from(MEMBERS));
        for (k, machine) in machines.iter_mut().enumerate() {
            machine.view(0, &view, 10 + k as u32);
        }
        machines[usize::from(MEMBERS) - 1].learn();
        Fleet { now: 1_000 * MS, machines, lessons, air: Vec::new(), learnt: None, asked: 0 }
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
                Output::Asked(seat, _, first) => {
                    let (lesson, machine) = (&self.lessons[k], &mut self.machines[k]);
                    let outputs = machine.teach(seat, lesson, first);
                    self.asked += 1;
                    self.carry_out(k, outputs, fate);
                }
                Output::Learnt(seat, lesson) => self.learnt = Some((seat, lesson)),
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
                let outputs = self.machines[to].receive(self.now, from as Seat, &bytes);
                self.carry_out(to, outputs, &mut fate);
            }
        }
    }
}

#[test]
fn one_neighbour_tells_all_that_it_knows() {
    for servers in [1, 9, 10, 11, 160, 161, 2_000] {
        let mut fleet =
            Fleet::new(vec![lesson(3, servers), Lesson::default(), Lesson::default(), Lesson::default()]);
        fleet.run(2_000 * MS, |_| vec![0]);
        let (from, learnt) = fleet.learnt.expect("it learns");
        assert!(from == 0 && learnt == lesson(3, servers), "{servers} servers: {} came", learnt.rows.len());
    }
}

/// Whatever is lost, doubled or late: what is learnt is one member's lesson, whole.
#[test]
fn what_is_learnt_is_whole_whatever_the_links_do() {
    let fates = prop::collection::vec((0u8..10, 0u64..120), 64);
    proptest!(|(servers in 1usize..400, fates in fates, loss in 0u8..4)| {
        let lessons: Vec<_> = (0..4).map(|k| lesson(20 + k, servers + k as usize)).collect();
        let mut fleet = Fleet::new(lessons.clone());
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
            prop_assert_eq!(&learnt, &lessons[usize::from(from)]);
        } else {
            prop_assert!(loss > 0, "nothing was lost, and nothing learnt");
        }
    });
}

#[test]
fn one_that_falls_silent_half_way_is_left_for_the_next() {
    let mut fleet = Fleet::new(vec![lesson(5, 1_000), lesson(6, 700), lesson(7, 500), Lesson::default()]);
    let mut first = 0;
    fleet.run(2_000 * MS, |from| {
        first += usize::from(from == 0);
        if from == 0 && first > 40 {
            vec![]
        } else {
            vec![MS]
        }
    });
    assert_eq!(fleet.learnt, Some((1, lesson(6, 700))));
}

/// Those who know nothing themselves are passed over, and where nobody knows anything nobody is asked for ever.
#[test]
fn who_knows_nothing_teaches_nothing() {
    let mut fleet = Fleet::new(vec![lesson(5, 0), Lesson::default(), lesson(7, 30), Lesson::default()]);
    fleet.run(2_000 * MS, |_| vec![MS]);
    assert_eq!(fleet.learnt, Some((2, lesson(7, 30))));
    let mut fleet = Fleet::new(vec![Lesson::default(); 4]);
    fleet.run(5_000 * MS, |_| vec![MS]);
    assert!(fleet.learnt.is_none() && fleet.asked == 3, "asked {} times", fleet.asked);
    let mut fleet = Fleet::new(vec![lesson(5, 10); 4]);
    fleet.run(10_000 * MS, |from| if from == 3 { vec![MS] } else { vec![] });
    let asked = fleet.asked;
    assert!(fleet.learnt.is_none() && (3..=9).contains(&asked), "asked {asked} times");
}

/// A lesson that is another one half-way is learnt anew: rows of two moments do not go together.
#[test]
fn rows_of_two_moments_do_not_mix() {
    let mut fleet =
        Fleet::new(vec![lesson(5, 1_000), Lesson::default(), Lesson::default(), Lesson::default()]);
    fleet.run(60 * MS, |_| vec![MS]);
    assert!(fleet.learnt.is_none());
    fleet.lessons[0] = lesson(6, 900);
    fleet.run(2_000 * MS, |_| vec![MS]);
    assert_eq!(fleet.learnt, Some((0, lesson(6, 900))));
}

/// Bounds hold whatever a peer claims.
#[test]
fn a_lesson_out_of_bounds_is_not_taken() {
    let mut student = laurelroute_replica::lesson::Student::default();
    let members = BTreeMap::from([(0, 1), (1, 1)]);
    let asked = student.tick(0, 0, &members);
    assert!(matches!(asked, laurelroute_replica::lesson::Step::Ask(1, Body::Learn(0, 0))), "{asked:?}");
    let rows = lesson(1, 10).rows;
    for body in [
        Body::Rows(1, u32::MAX, 0, rows.clone()),
        Body::Rows(1, 10, u32::MAX, rows.clone()),
        Body::Usual(1, 5, Usual::default()),
        Body::Rows(1, 5, 3, rows),
    ] {
        let step = student.hear(1, 1, 1, body);
        assert!(!matches!(step, laurelroute_replica::lesson::Step::Learnt(..)), "{step:?}");
    }
    assert!(Datagram::decode(&[0x81; 40]).is_none());
}
