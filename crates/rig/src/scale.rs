//! `rig scale`: what one planner costs as forwarders and boxes grow, and as things change.

use crate::report::{table, Failure, Outcome};
use crate::{Common, ALLOCATOR};
use laurelroute_plan::member::Member;
use laurelroute_plan::planner::{Planner, Settings, DEFAULT_SETTLE_TIME, HEARTBEAT_INTERVAL};
use laurelroute_plan::wire::{PlanAck, Report, ServerReport};
use laurelroute_policy::interface::{Nanos, Phase};
use prost::Message;
use std::time::Instant;

const S: Nanos = 1_000_000_000;

fn settings() -> Settings {
    Settings {
        site: "scale".into(),
        incarnation: 1,
        planners: 2,
        max_connections: Some(41),
        wanted_connections: 8,
        initial_capacity: 0.3,
        ramp: 10 * S,
        settle_time: DEFAULT_SETTLE_TIME,
        classes: vec![("status".into(), None)],
        tenants: Vec::new(),
        bytes_per_second: 16_000.0,
    }
}

struct Bench {
    planner: Planner,
    names: Vec<String>,
    now: Nanos,
}

impl Bench {
    fn new(forwarders: usize, boxes: usize) -> Bench {
        let mut planner = Planner::new(0, settings());
        planner.update_membership(
            0,
            1,
            true,
            (0..boxes).map(|b| Member::warm(&format!("box-{b:05}"))).collect(),
        );
        let names: Vec<String> = (0..forwarders).map(|f| format!("forwarder-{f:04}")).collect();
        for name in &names {
            // There is room for as many as are asked for here.
            let _ = planner.forwarder_connected(0, name, 0);
        }
        Bench { planner, names, now: 0 }
    }

    /// Sends every forwarder what there is for it: parts and bytes.
    fn parts(&mut self) -> (u64, u64) {
        let (mut parts, mut bytes) = (0, 0);
        for name in &self.names {
            while let Some(part) = self.planner.next_update(self.now, name) {
                parts += 1;
                bytes += part.encoded_len() as u64;
                self.planner.handle_ack(name, &PlanAck { incarnation: 1, version: part.version, refused: 0 });
            }
        }
        (parts, bytes)
    }

    /// Every forwarder reports on all of its boxes: rows and bytes.
    fn reports(&mut self, round: u32) -> (u64, u64) {
        let (mut rows, mut bytes) = (0, 0);
        for (k, name) in self.names.iter().enumerate() {
            let row = |server: &str| ServerReport {
                name: server.to_owned(),
                // Steady counts with some noise, as a quiet fleet has them.
                score: 40.0 + ((k as u32 * 7 + round * 13) % 11) as f32,
                in_flight: 2,
                relative_latency: 1.0,
                failure_rate: 0.0,
                ejected: false,
                outcomes: vec![round * 100],
            };
            let report = Report {
                rows: self.planner.subset_of(name).into_iter().map(row).collect(),
                ..Report::default()
            };
            rows += report.rows.len() as u64;
            bytes += report.encoded_len() as u64;
            let _ = self.planner.report(self.now, name, &report);
        }
        (rows, bytes)
    }

    fn drain(&mut self, version: u64, from: usize, count: usize) {
        let drained =
            (from..from + count).map(|b| Member::warm(&format!("box-{b:05}")).in_phase(Phase::Draining));
        self.planner.update_membership(self.now, version, false, drained.collect());
    }
}

fn timed<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let begun = Instant::now();
    let done = work();
    (begun.elapsed().as_secs_f64() * 1e3, done)
}

fn held() -> f64 {
    let stats = ALLOCATOR.stats();
    (stats.bytes_allocated as f64 - stats.bytes_deallocated as f64) / 1e6
}

/// Grows both sides in turn, and then changes a little.
pub fn run(common: &Common) -> Result<(), Failure> {
    let (mut rows, mut outcome) = (Vec::new(), Outcome::default());
    for (forwarders, boxes) in [(28, 210), (200, 1_000), (200, 10_000), (2_000, 1_000), (2_000, 10_000)] {
        println!("{forwarders} forwarders, {boxes} boxes ...");
        let before = held();
        let mut bench = Bench::new(forwarders, boxes);
        bench.now = DEFAULT_SETTLE_TIME;
        let (plan_ms, ()) = timed(|| bench.planner.poll(bench.now));
        let (_, (_, whole_bytes)) = timed(|| bench.parts());
        let (report_ms, (seen_rows, report_bytes)) = timed(|| bench.reports(1));
        bench.now += S;
        bench.planner.poll(bench.now);
        bench.parts();
        // A quiet second: noise in the counts, and nothing else.
        bench.now += S;
        bench.reports(2);
        let (quiet_ms, (_, quiet_bytes)) = timed(|| bench.parts());
        let memory = held() - before;
        // One box drains, then a hundred; the subsets are made anew after each.
        let change = |bench: &mut Bench, version: u64, from: usize, count: usize| {
            bench.now += HEARTBEAT_INTERVAL / 2;
            let (told_ms, (parts, bytes)) = timed(|| {
                bench.drain(version, from, count);
                bench.parts()
            });
            bench.now += S;
            let (moved_ms, moved) = timed(|| {
                bench.planner.poll(bench.now);
                bench.parts()
            });
            (told_ms, parts, bytes, moved_ms, moved.1)
        };
        let one = change(&mut bench, 2, 0, 1);
        let hundred = change(&mut bench, 3, 1, 100.min(boxes / 4));
        let per = |bytes: u64| bytes as f64 / forwarders as f64;
        rows.push(vec![
            format!("{forwarders} x {boxes}"),
            bench.planner.cover().forwarders.to_string(),
            format!("{plan_ms:.1}"),
            format!("{:.2}", report_ms * 1e3 / seen_rows.max(1) as f64),
            format!("{:.0}", per(whole_bytes)),
            format!("{:.0}", per(report_bytes)),
            format!("{:.0}", per(quiet_bytes)),
            format!("{quiet_ms:.1}"),
            format!("{:.2}/{}", one.0, one.1),
            format!("{:.1}", one.3),
            format!("{:.1}", hundred.3),
            format!("{memory:.1}"),
        ]);
        let key = format!("{forwarders}x{boxes}");
        outcome.put(format!("plan_ms_{key}"), plan_ms);
        outcome.put(format!("memory_mb_{key}"), memory);
        outcome.put(format!("drain_one_ms_{key}"), one.0);
        outcome.put(format!("replan_after_one_ms_{key}"), one.3);
        outcome.put(format!("whole_bytes_{key}"), per(whole_bytes));
        outcome.put(format!("quiet_bytes_{key}"), per(quiet_bytes));
        outcome.put(format!("moved_bytes_one_{key}"), per(one.4));
        outcome.put(format!("moved_bytes_hundred_{key}"), per(hundred.4));
    }
    table(
        &[
            "size",
            "cover",
            "plan ms",
            "us a row",
            "whole B",
            "report B",
            "quiet B/s",
            "quiet ms",
            "drain ms/parts",
            "replan 1 ms",
            "replan 100 ms",
            "MB",
        ],
        &rows,
    );
    outcome.close("scale", common)
}
