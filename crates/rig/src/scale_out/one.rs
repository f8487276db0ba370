//! `rig scale-out --one`: one real forwarder that uses 300 services of the whole list, and what control costs it.

use super::bed::Bed;
use super::checks;
use super::traffic::Namer;
use crate::report::{table, Failure, Outcome};
use crate::Common;
use laurelroute_rig::scale_model::fleet::Size;
use laurelroute_rig::scale_model::schedule::drawn;
use laurelroute_testkit::process::{memory_kb, processor, Memory};
use std::time::{Duration, Instant};

/// All services have been served after this.
const PATIENCE: Duration = Duration::from_secs(240);

/// Measures it: ready, memory, bytes, and processor time at rest, at the ordinary rate of changes and at ten times it.
pub fn run(common: &Common, size: Size, part: Duration) -> Result<(), Failure> {
    let program = std::env::current_exe()?;
    let mut bed = Bed::start(&program, size, common.seed)?;
    let pid = bed.real[0].program.pid();
    let services = bed.real[0].uses.len();
    let begun = Instant::now();
    let namer = Namer::of(&bed, 0);
    let mut broken = Vec::new();
    while namer.reached() < services {
        if begun.elapsed() > PATIENCE {
            broken.push(format!("only {} of {services} services were served", namer.reached()));
            break;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let ready = begun.elapsed().as_secs_f64();
    println!("{services} services were served once after {ready:.1} s");
    let (mut rows, mut outcome, mut control) = (Vec::new(), Outcome::default(), 0.0);
    for (times, name) in [(0.0, "rest"), (1.0, "ordinary"), (10.0, "ten_times")] {
        let (begun, second, before) = (Instant::now(), bed.real[0].relay.second(), processor(pid));
        let steps = match times > 0.0 {
            true => drawn(common.seed ^ times as u64, bed.fleet.servers(), part.as_secs_f64(), times),
            false => Vec::new(),
        };
        for step in &steps {
            let due = begun + Duration::from_secs_f64(step.at);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let state = step.what.applied(bed.state(step.server), bed.time.now() / 1_000_000);
            bed.push(0, &[(0, step.server, state)])?;
        }
        std::thread::sleep((begun + part).saturating_duration_since(Instant::now()));
        control = processor(pid).saturating_sub(before).as_secs_f64() / begun.elapsed().as_secs_f64();
        let rates = bed.real[0].relay.rates(second);
        rows.push(vec![
            name.to_owned(),
            steps.len().to_string(),
            format!("{:.2}", control * 100.0),
            format!("{:.0}", rates.mean),
            format!("{:.0}", rates.ten),
        ]);
        outcome.put(format!("{name}_core"), control);
        outcome.put(format!("{name}_bytes"), rates.mean);
    }
    table(&["stretch", "changes", "% of a core", "bytes a second", "worst 10 s"], &rows);
    let ten = bed.real[0].relay.rates(0).ten;
    let kb = memory_kb(pid, Memory::Peak).unwrap_or(0);
    println!("worst 10 s of all: {ten:.0} bytes a second; memory at most {:.1} MB", kb as f64 / 1024.0);
    outcome.put("ready_s", ready);
    outcome.put("bytes_worst_10s", ten);
    outcome.put("memory_mb", kb as f64 / 1024.0);
    broken.extend(checks::bytes("the forwarder", ten));
    broken.extend(checks::memory("the forwarder", kb, checks::NODE_KB));
    broken.extend(checks::control(control));
    broken.iter().for_each(|b| println!("BROKEN {b}"));
    outcome.put("broken", broken.len() as f64);
    outcome.close("scale-out-one", common)?;
    match broken.into_iter().next() {
        Some(first) => Err(Failure(first)),
        None => Ok(()),
    }
}
