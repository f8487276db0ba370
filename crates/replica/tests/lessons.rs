//! Tests the snapshot transfer to a member that starts with nothing, over links that lose, duplicate and reorder
//! datagrams.

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

/// The members of one view; the last one has just started.
struct Fleet {
    now: Nanos,
    machines: Vec<Machine>,
    snapshots: Vec<LearnedSnapshot>,
    /// Datagrams in flight: time of arrival, sender, receiver, bytes.
    in_flight: Vec<(Nanos, usize, usize, Vec<u8>)>,
    received: Option<(MemberId, LearnedSnapshot)>,
    requests: usize,
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
        Fleet { now: 1_000 * MS, machines, snapshots, in_flight: Vec::new(), received: None, requests: 0 }
    }

    fn handle_outputs(
        &mut self,
        k: usize,
        outputs: Vec<Output>,
        delays: &mut impl FnMut(usize) -> Vec<Nanos>,
    ) {
        for output in outputs {
            match output {
                Output::Send(to, bytes) => {
                    assert!(bytes.len() <= 236, "{} bytes", bytes.len());
                    let copies = delays(k);
                    self.in_flight.extend(
                        copies.into_iter().map(|delay| (self.now + delay, k, usize::from(to), bytes.clone())),
                    );
                }
                Output::SnapshotRequested(member, _, first) => {
                    let (snapshot, machine) = (&self.snapshots[k], &mut self.machines[k]);
                    let outputs = machine.send_snapshot(member, snapshot, first);
                    self.requests += 1;
                    self.handle_outputs(k, outputs, delays);
                }
                Output::SnapshotReceived(member, snapshot) => self.received = Some((member, snapshot)),
                _ => {}
            }
        }
    }

    /// Advances the time. `delays` returns the delays of a datagram's copies: none if it is lost, several if it is
    /// duplicated.
    fn run(&mut self, duration: Nanos, mut delays: impl FnMut(usize) -> Vec<Nanos>) {
        let end = self.now + duration;
        while self.now < end && self.received.is_none() {
            self.now += 5 * MS;
            if self.now.is_multiple_of(50 * MS) {
                for k in 0..self.machines.len() {
                    let outputs = self.machines[k].tick(self.now);
                    self.handle_outputs(k, outputs, &mut delays);
                }
            }
            self.in_flight.sort_by_key(|(at, ..)| *at);
            let due = self.in_flight.partition_point(|(at, ..)| *at <= self.now);
            for (_, from, to, bytes) in self.in_flight.drain(..due).collect::<Vec<_>>() {
                let outputs = self.machines[to].receive(self.now, from as MemberId, &bytes);
                self.handle_outputs(to, outputs, &mut delays);
            }
        }
    }
}

#[test]
fn a_snapshot_of_any_size_is_received_completely() {
    for servers in [1, 9, 10, 11, 160, 161, 2_000] {
        let mut fleet = Fleet::new(vec![
            snapshot(3, servers),
            LearnedSnapshot::default(),
            LearnedSnapshot::default(),
            LearnedSnapshot::default(),
        ]);
        fleet.run(2_000 * MS, |_| vec![0]);
        let (from, received) = fleet.received.expect("a snapshot is received");
        assert!(
            from == 0 && received == snapshot(3, servers),
            "{servers} servers: {} rows received",
            received.rows.len()
        );
    }
}

/// A received snapshot is always a complete one of a single member.
#[test]
fn a_received_snapshot_is_complete_over_faulty_links() {
    let schedules = prop::collection::vec((0u8..10, 0u64..120), 64);
    proptest!(|(servers in 1usize..400, schedules in schedules, loss in 0u8..4)| {
        let snapshots: Vec<_> = (0..4).map(|k| snapshot(20 + k, servers + k as usize)).collect();
        let mut fleet = Fleet::new(snapshots.clone());
        let mut k = 0;
        fleet.run(2_400 * MS, |_| {
            k += 1;
            let (chance, delay) = schedules[k % schedules.len()];
            match chance {
                c if c < loss => vec![],
                9 => vec![delay * MS, 3 * delay * MS],
                _ => vec![delay * MS / 8],
            }
        });
        if let Some((from, received)) = fleet.received {
            prop_assert_eq!(&received, &snapshots[usize::from(from)]);
        } else {
            prop_assert!(loss > 0, "no datagram was lost, but no snapshot received");
        }
    });
}

#[test]
fn a_source_that_falls_silent_is_replaced_by_the_next() {
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
    assert_eq!(fleet.received, Some((1, snapshot(6, 700))));
}

/// Members without learned state are skipped, and the fetch ends when no member has any.
#[test]
fn members_without_learned_state_are_skipped() {
    let mut fleet = Fleet::new(vec![
        snapshot(5, 0),
        LearnedSnapshot::default(),
        snapshot(7, 30),
        LearnedSnapshot::default(),
    ]);
    fleet.run(2_000 * MS, |_| vec![MS]);
    assert_eq!(fleet.received, Some((2, snapshot(7, 30))));
    let mut fleet = Fleet::new(vec![LearnedSnapshot::default(); 4]);
    fleet.run(5_000 * MS, |_| vec![MS]);
    assert!(fleet.received.is_none() && fleet.requests == 3, "{} requests", fleet.requests);
    let mut fleet = Fleet::new(vec![snapshot(5, 10); 4]);
    fleet.run(10_000 * MS, |from| if from == 3 { vec![MS] } else { vec![] });
    let requests = fleet.requests;
    assert!(fleet.received.is_none() && (3..=9).contains(&requests), "{requests} requests");
}

/// A snapshot that is replaced during the transfer is fetched from the beginning.
#[test]
fn rows_of_two_snapshots_are_not_mixed() {
    let mut fleet = Fleet::new(vec![
        snapshot(5, 1_000),
        LearnedSnapshot::default(),
        LearnedSnapshot::default(),
        LearnedSnapshot::default(),
    ]);
    fleet.run(60 * MS, |_| vec![MS]);
    assert!(fleet.received.is_none());
    fleet.snapshots[0] = snapshot(6, 900);
    fleet.run(2_000 * MS, |_| vec![MS]);
    assert_eq!(fleet.received, Some((0, snapshot(6, 900))));
}

/// Messages that claim sizes beyond the limits are ignored.
#[test]
fn a_snapshot_beyond_the_limits_is_ignored() {
    let mut fetcher = laurelroute_replica::snapshot::SnapshotFetcher::default();
    let members = BTreeMap::from([(0, 1), (1, 1)]);
    let first_step = fetcher.tick(0, 0, &members);
    assert!(
        matches!(
            first_step,
            laurelroute_replica::snapshot::FetchStep::Request(1, Body::SnapshotRequest(0, 0))
        ),
        "{first_step:?}"
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
