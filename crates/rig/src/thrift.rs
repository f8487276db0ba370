//! `rig thrift`: HTTP against each Thrift form through the node, on like calls, in one run.

use crate::boxes::Boxes;
use crate::load::{self, Plan, Until};
use crate::report::{median, table, Failure, Outcome};
use crate::site::{cpu_ns, Site, Used};
use crate::Common;
use laurelroute_testkit::wire::{Class, Wire};
use laurelroute_thrift::codec::Form;
use std::time::Duration;

const ROUNDS: usize = 3;
const CONNECTIONS: usize = 16;
/// Bytes that each request carries.
const BODY: usize = 200;
const FEW: u64 = 500;
const MANY: u64 = 2_500;

/// What the page promises against HTTP in CPU a call: a pass-through no dearer, a transcoded call within this.
const PASSED: f64 = 1.0;
const TRANSCODED: f64 = 1.3;

/// The forms of client and box.
const LANES: [(&str, Option<(&str, &str)>); 8] = [
    ("http", None),
    ("framed_binary", Some(("framed-binary", "framed-binary"))),
    ("framed_compact", Some(("framed-compact", "framed-compact"))),
    ("unframed_binary", Some(("unframed-binary", "unframed-binary"))),
    ("unframed_compact", Some(("unframed-compact", "unframed-compact"))),
    ("theader", Some(("header-binary", "header-binary"))),
    ("compact_to_binary", Some(("framed-compact", "framed-binary"))),
    ("binary_to_compact", Some(("framed-binary", "framed-compact"))),
];

#[derive(Default)]
struct Lane {
    cpu_us: Vec<f64>,
    /// Against HTTP in the same round.
    against: Vec<f64>,
    rate: Vec<f64>,
    p50: Vec<f64>,
    p99: Vec<f64>,
    used: Used,
}

struct Run {
    wire: Wire,
    form: Form,
    boxes: Boxes,
    site: Site,
}

fn plan(wire: Wire, until: Until, connections: usize) -> Plan {
    // Over HTTP only a class that writes has a body.
    Plan { wire, class: Class::Write, body: BODY, connections, until }
}

impl Run {
    fn start(forms: Option<(&str, &str)>) -> Result<Run, Failure> {
        let wire = match forms {
            None => Wire::Http,
            Some((client, boxes)) => Wire::mixed(client, boxes),
        };
        let form = match wire {
            Wire::Http => Form::named("framed-binary").ok_or_else(|| Failure("no form".into()))?,
            Wire::Thrift { boxes, .. } => boxes,
        };
        let boxes = Boxes::start(form, 4)?;
        let site = Site::start(&boxes, form, false)?;
        Ok(Run { wire, form, boxes, site })
    }

    fn round(&self, lane: &mut Lane, seconds: f64) -> Result<f64, Failure> {
        let (pid, address) = (self.site.node.pid(), self.site.node.address(self.wire));
        load::run(plan(self.wire, Until::Time(Duration::from_millis(200)), CONNECTIONS), address)?;
        let before = cpu_ns(pid)?;
        let until = Until::Time(Duration::from_secs_f64(seconds));
        let tally = load::run(plan(self.wire, until, CONNECTIONS), address)?;
        if tally.served == 0 || tally.other > tally.served / 100 {
            return Err(Failure(format!(
                "{} of {} were not served",
                tally.other,
                tally.served + tally.other
            )));
        }
        let us = (cpu_ns(pid)? - before) as f64 / 1000.0 / tally.served as f64;
        lane.cpu_us.push(us);
        lane.rate.push(tally.rate());
        lane.p50.push(tally.quantile(0.5));
        lane.p99.push(tally.quantile(0.99));
        Ok(us)
    }

    fn used(&self) -> Result<Used, Failure> {
        let life = |requests: u64| -> Result<Used, Failure> {
            let site = Site::start(&self.boxes, self.form, false)?;
            load::run(plan(self.wire, Until::Requests(requests), 1), site.node.address(self.wire))?;
            site.finish()
        };
        let (few, many) = (life(FEW)?, life(MANY)?);
        Ok(many.per(few, MANY - FEW))
    }
}

/// Runs the measurement.
pub fn run(common: &Common) -> Result<(), Failure> {
    let runs = LANES.iter().map(|(_, forms)| Run::start(*forms)).collect::<Result<Vec<_>, _>>()?;
    let mut lanes: Vec<Lane> = LANES.iter().map(|_| Lane::default()).collect();
    for round in 0..ROUNDS {
        println!("round {} of {ROUNDS} ...", round + 1);
        let mut http = f64::NAN;
        for (k, run) in runs.iter().enumerate() {
            let us = run.round(&mut lanes[k], common.seconds)?;
            if k == 0 {
                http = us;
            }
            lanes[k].against.push(us / http);
        }
    }
    println!("counting allocations and copies ...");
    for (run, lane) in runs.iter().zip(&mut lanes) {
        lane.used = run.used()?;
    }
    let mut outcome = Outcome::default();
    let mut rows = Vec::new();
    let mut broken = Vec::new();
    for ((name, forms), lane) in LANES.iter().zip(lanes) {
        let figures = [lane.cpu_us, lane.against, lane.rate, lane.p50, lane.p99].map(median);
        rows.push(vec![
            (*name).to_owned(),
            format!("{:.1}", figures[0]),
            format!("{:.2}", figures[1]),
            format!("{:.0}", figures[2]),
            format!("{:.2}", figures[3]),
            format!("{:.2}", figures[4]),
            format!("{:.0}", lane.used.copied),
            format!("{:.1}", lane.used.allocations),
            format!("{:.2}", lane.used.syscalls),
        ]);
        let most = if forms.is_some_and(|(client, boxes)| client != boxes) { TRANSCODED } else { PASSED };
        if figures[1] > most {
            broken.push(format!("{name} costs {:.2} of HTTP, more than {most}", figures[1]));
        }
        outcome.put(format!("{name}_vs_http"), figures[1]);
        outcome.put(format!("{name}_rate"), figures[2]);
        outcome.put(format!("{name}_p99_ms"), figures[4]);
        outcome.put(format!("{name}_copied"), lane.used.copied);
        outcome.put(format!("{name}_allocations"), lane.used.allocations);
    }
    let heads = [
        "wire",
        "CPU us",
        "vs HTTP",
        "a second",
        "p50 ms",
        "p99 ms",
        "copied",
        "allocations",
        "calls on sockets",
    ];
    table(&heads, &rows);
    outcome.close("thrift", common)?;
    match broken.is_empty() {
        true => Ok(()),
        false => Err(Failure(broken.join("; "))),
    }
}
