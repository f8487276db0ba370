//! `rig cost`: what a keep-alive GET costs the node, against a bare pass-through, in one run.
//!
//! Processor time: both saturated in turn, the middle of several rounds. Instructions, allocations and system calls:
//! two lives of each under valgrind, one with more requests than the other; the difference is the requests'.

use crate::boxes::Boxes;
use crate::load::{self, Plan, Until};
use crate::passthrough::Passthrough;
use crate::report::{median, table, Failure, Outcome};
use crate::site::{can_count, cpu_ns, Site, Used};
use crate::Common;
use laurelroute_testkit::wire::{Class, Wire};
use laurelroute_thrift::codec::Form;
use std::net::SocketAddr;
use std::time::Duration;

const ROUNDS: usize = 3;
const CONNECTIONS: usize = 32;
/// Requests of the shorter and of the longer life.
pub const FEW: u64 = 500;
/// See there.
pub const MANY: u64 = 2_500;

/// A keep-alive GET from so many connections.
pub fn plan(until: Until, connections: usize) -> Plan {
    Plan { wire: Wire::Http, class: Class::Read, body: 0, connections, until }
}

/// Processor time a request in microseconds, and requests a second.
pub fn saturated(pid: u32, address: SocketAddr, seconds: f64) -> Result<(f64, f64), Failure> {
    load::run(plan(Until::Time(Duration::from_millis(300)), CONNECTIONS), address)?;
    let before = cpu_ns(pid)?;
    let tally = load::run(plan(Until::Time(Duration::from_secs_f64(seconds)), CONNECTIONS), address)?;
    if tally.served == 0 || tally.other > tally.served / 100 {
        return Err(Failure(format!("{} of {} were not served", tally.other, tally.served + tally.other)));
    }
    Ok(((cpu_ns(pid)? - before) as f64 / 1000.0 / tally.served as f64, tally.rate()))
}

fn counted(node: bool, boxes: &Boxes, form: Form, valgrind: bool) -> Result<Used, Failure> {
    let life = |requests: u64| -> Result<Used, Failure> {
        let plan = plan(Until::Requests(requests), 1);
        if node {
            let site = Site::start(boxes, form, valgrind)?;
            load::run(plan, site.node.http)?;
            site.finish()
        } else {
            let pass = Passthrough::start(boxes, valgrind)?;
            load::run(plan, pass.address)?;
            pass.finish()
        }
    };
    let (few, many) = (life(FEW)?, life(MANY)?);
    Ok(many.per(few, MANY - FEW))
}

/// Runs the measurement.
pub fn run(common: &Common) -> Result<(), Failure> {
    let form = Form::named("framed-binary").ok_or_else(|| Failure("no form".into()))?;
    let boxes = Boxes::start(form, 4)?;
    let (site, pass) = (Site::start(&boxes, form, false)?, Passthrough::start(&boxes, false)?);
    let (mut node_us, mut pass_us, mut ratio, mut rates) = (vec![], vec![], vec![], (vec![], vec![]));
    for round in 0..ROUNDS {
        println!("round {} of {ROUNDS} ...", round + 1);
        let (node, rate) = saturated(site.node.pid(), site.node.http, common.seconds)?;
        let (bare, bare_rate) = saturated(pass.pid(), pass.address, common.seconds)?;
        node_us.push(node);
        pass_us.push(bare);
        ratio.push(node / bare);
        rates.0.push(rate);
        rates.1.push(bare_rate);
    }
    drop(site);
    pass.finish()?;
    let valgrind = can_count();
    println!(
        "counting {} ...",
        if valgrind { "instructions, allocations, calls" } else { "allocations, calls" }
    );
    let node = counted(true, &boxes, form, valgrind)?;
    let bare = counted(false, &boxes, form, valgrind)?;
    let row = |name: &str, us: &[f64], rate: &[f64], used: Used| {
        vec![
            name.to_owned(),
            format!("{:.1}", median(us.to_vec())),
            format!("{:.0}", median(rate.to_vec())),
            format!("{:.0}", used.instructions),
            format!("{:.1}", used.allocations),
            format!("{:.0}", used.bytes),
            format!("{:.2}", used.syscalls),
        ]
    };
    table(
        &["keep-alive GET", "CPU us", "a second", "instructions", "allocations", "bytes", "calls on sockets"],
        &[row("node", &node_us, &rates.0, node), row("pass-through", &pass_us, &rates.1, bare)],
    );
    let mut outcome = Outcome::default();
    outcome.put("vs_passthrough", median(ratio));
    outcome.put("cpu_us", median(node_us));
    outcome.put("passthrough_cpu_us", median(pass_us));
    if valgrind {
        outcome.put("instructions", node.instructions);
        outcome.put("passthrough_instructions", bare.instructions);
        outcome.put("instructions_ratio", node.instructions / bare.instructions);
    }
    outcome.put("allocations", node.allocations);
    outcome.put("passthrough_allocations", bare.allocations);
    outcome.put("allocated_bytes", node.bytes);
    outcome.put("syscalls", node.syscalls);
    outcome.put("passthrough_syscalls", bare.syscalls);
    outcome.close("cost", common)
}
