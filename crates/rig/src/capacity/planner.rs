//! A planner with one service: what it holds, a plan, a drain, and the bytes of a whole.

use super::subject::{Subject, Work};
use super::{count, Measured, ALLOCATOR, CPU, INSTRUCTIONS, LENGTH};
use crate::report::Failure;
use crate::site::can_count;
use laurelroute_plan::member::Member;
use laurelroute_plan::planner::{Planner, Settings, DEFAULT_SETTLE_TIME};
use laurelroute_plan::wire::{ExplainRequest, PlanAck};
use laurelroute_policy::interface::{Nanos, Phase};
use prost::Message;

const S: Nanos = 1_000_000_000;
/// Forwarders while boxes grow, and boxes while forwarders grow.
pub const FORWARDERS: usize = 200;
/// See there.
pub const BOXES: usize = 10_000;
const BOX_SIZES: [usize; 5] = [5_000, 10_000, 20_000, 40_000, 180_000];
const FORWARDER_SIZES: [usize; 4] = [100, 500, 1_000, 2_100];
/// Boxes that are told of, up to the size asked for.
const TOLD: [usize; 4] = [40_000, 60_000, 180_000, 250_000];

fn settings() -> Settings {
    Settings {
        site: "capacity".into(),
        incarnation: 1,
        planners: 2,
        max_connections: Some(41),
        wanted_connections: 8,
        initial_capacity: 0.3,
        ramp: 10 * S,
        settle_time: DEFAULT_SETTLE_TIME,
        classes: vec![("read".into(), None)],
        tenants: Vec::new(),
        bytes_per_second: 16_000.0,
    }
}

fn member(k: usize) -> Member {
    Member {
        addresses: vec![Some(super::server_list::address(k))],
        ..Member::warm(&super::server_list::name(k))
    }
}

struct Bench {
    planner: Planner,
    names: Vec<String>,
    now: Nanos,
    version: u64,
}

impl Bench {
    fn new(forwarders: usize, boxes: usize) -> Result<Bench, Failure> {
        let mut planner = Planner::new(0, settings());
        planner.update_membership(0, 1, true, (0..boxes).map(member).collect());
        let names: Vec<String> = (0..forwarders).map(|f| format!("forwarder-{f:04}")).collect();
        names.iter().try_for_each(|name| planner.forwarder_connected(0, name, 0))?;
        Ok(Bench { planner, names, now: DEFAULT_SETTLE_TIME, version: 1 })
    }

    /// Sends every forwarder what there is for it; the bytes.
    fn parts(&mut self) -> u64 {
        let mut bytes = 0;
        for name in &self.names {
            while let Some(part) = self.planner.next_update(self.now, name) {
                bytes += part.encoded_len() as u64;
                self.planner.handle_ack(name, &PlanAck { incarnation: 1, version: part.version, refused: 0 });
            }
        }
        bytes
    }

    /// One box drains; all is planned and told anew.
    fn drain(&mut self) -> u64 {
        self.version += 1;
        self.now += S;
        let drained = member(self.version as usize).in_phase(Phase::Draining);
        self.planner.update_membership(self.now, self.version, false, vec![drained]);
        let bytes = self.parts();
        self.now += S;
        self.planner.poll(self.now);
        bytes + self.parts()
    }
}

/// A first plan.
pub fn plan(forwarders: usize, boxes: usize) -> Result<Work, Failure> {
    let mut bench = Bench::new(forwarders, boxes)?;
    Ok(Box::new(move || bench.planner.poll(bench.now)))
}

/// A drain.
pub fn drain(forwarders: usize, boxes: usize) -> Result<Work, Failure> {
    let mut bench = Bench::new(forwarders, boxes)?;
    bench.planner.poll(bench.now);
    bench.parts();
    Ok(Box::new(move || {
        bench.drain();
    }))
}

/// Bytes that a planner holds once all have its plan, and of the whole to one forwarder.
fn held(forwarders: usize, boxes: usize) -> Result<(f64, f64), Failure> {
    let (mut kept, mut bytes) = (None, 0);
    let counted = count::counted(1, || {
        if let Ok(mut bench) = Bench::new(forwarders, boxes) {
            bench.planner.poll(bench.now);
            bytes = bench.parts();
            kept = Some(bench);
        }
    })?;
    kept.ok_or_else(|| Failure("the planner takes no more forwarders".into()))?;
    Ok((counted.held, bytes as f64 / forwarders as f64))
}

/// Boxes that a planner says it has, of those that it was told of.
fn kept(told: usize) -> Result<f64, Failure> {
    let said = Bench::new(FORWARDERS, told)?.planner.explain(0, &ExplainRequest::default());
    let ready = said.lines().find_map(|l| l.strip_prefix("boxes: ")?.split(' ').next()?.parse().ok());
    ready.ok_or_else(|| Failure(format!("the planner says `{said}`")))
}

/// The slopes.
pub fn measure(_seed: u64) -> Result<Vec<Measured>, Failure> {
    let mut all = Vec::new();
    let boxes =
        ("boxes of one service, 200 forwarders", &BOX_SIZES[..], Subject::PlanBoxes, Subject::DrainBoxes);
    let names = [
        ["planner.boxes.held", "planner.boxes.whole", "planner.boxes.plan_cpu", "planner.boxes.drain_cpu"],
        [
            "planner.forwarders.held",
            "planner.forwarders.whole",
            "planner.forwarders.plan_cpu",
            "planner.forwarders.drain_cpu",
        ],
    ];
    let counted = [
        ["planner.boxes.plan", "planner.boxes.drain"],
        ["planner.forwarders.plan", "planner.forwarders.drain"],
    ];
    let forwarders =
        ("forwarders, 10,000 boxes", &FORWARDER_SIZES[..], Subject::PlanForwarders, Subject::DrainForwarders);
    for (k, (grows, sizes, plan, drain)) in [boxes, forwarders].into_iter().enumerate() {
        let mut held_bytes = Measured::line(names[k][0], grows, "bytes", ALLOCATOR);
        let mut whole = Measured::power(names[k][1], grows, "bytes", LENGTH);
        let mut plan_cpu = Measured::power(names[k][2], grows, "ns", CPU);
        let mut drain_cpu = Measured::line(names[k][3], grows, "ns", CPU);
        for &size in sizes {
            println!("  {size} {grows} ...");
            let (held, bytes) = if k == 0 { held(FORWARDERS, size)? } else { held(size, BOXES)? };
            held_bytes.add(size, held);
            whole.add(size, bytes);
            plan_cpu.add(size, count::of(plan, size)?.cpu);
            drain_cpu.add(size, count::of(drain, size)?.cpu);
        }
        all.extend([held_bytes, whole, plan_cpu, drain_cpu]);
        if can_count() {
            let mut plans = Measured::line(counted[k][0], grows, "instructions", INSTRUCTIONS);
            let mut drains = Measured::line(counted[k][1], grows, "instructions", INSTRUCTIONS);
            // Valgrind is some fifty times slower: the largest is left to processor time.
            for &size in &sizes[..sizes.len() - 1] {
                plans.add(size, count::instructions(plan, size)?);
                drains.add(size, count::instructions(drain, size)?);
            }
            all.extend([plans, drains]);
        }
    }
    let mut of_told = Measured::figures("planner_keeps_of_boxes", "the planner's own word");
    for told in TOLD {
        of_told.add(told, kept(told)?);
    }
    all.push(of_told);
    Ok(all)
}
