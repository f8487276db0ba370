//! `rig scale-out`: the size of two years from now on one machine. Planners and some forwarders are real processes, the
//! other nodes hollow ones: the shipped subscriber over the real channel, hundreds to a process. Servers are data.

mod bed;
mod checks;
mod counted;
mod day;
mod figures;

pub mod hollow;
mod one;
mod relay;
mod reported;

mod traffic;

use crate::report::{table, Failure, Outcome};
use crate::{Common, AS_PROGRAM};
use bed::{Bed, LIVE, PLANNERS};
use day::{Day, Seen};
use laurelroute_rig::scale_model::fleet::Size;
use std::time::Duration;

/// What is to be played.
#[derive(Debug, clap::Args)]
pub struct Wanted {
    /// 60 nodes before 3,000 servers in 150 services, in a short day.
    #[arg(long, conflicts_with = "one")]
    pub small: bool,
    /// One real forwarder that uses 300 services of the whole list.
    #[arg(long)]
    pub one: bool,
    /// Fewer nodes than the size has.
    #[arg(long)]
    pub nodes: Option<usize>,
}

/// Parts of `--seconds` that a stretch of the day lasts: with the default of 2 s, 20 s at full size and 2 s in the small form.
const STRETCH: f64 = 10.0;
/// All nodes hold all that they have named after this.
const PATIENCE: Duration = Duration::from_secs(240);
const PATIENCE_SMALL: Duration = Duration::from_secs(19);
/// Processes at most.
const MOST_PROCESSES: usize = 100;

/// What a run takes of the machine, in MB, by experience with the sizes given: a hollow node, of its services' servers and its
/// connection; a planner, of all servers; discovery, of the text of all servers; a real process.
fn memory_mb(size: &Size) -> f64 {
    let servers_a_node = size.uses as f64 * size.servers as f64 / size.services as f64;
    let node = 0.3 + servers_a_node * 0.000_45;
    let planner = 20.0 + size.servers as f64 * 0.002;
    let list = 50.0 + size.servers as f64 * 0.001_5;
    let hollow = (size.nodes - size.real) as f64 * node + size.processes as f64 * 20.0;
    hollow + PLANNERS as f64 * planner + list + size.real as f64 * 64.0 + 400.0
}

/// Checks that the machine has room for it, and says so.
fn check_room(size: &Size) -> Result<(), Failure> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let mb = |key: &str| {
        let line = text.lines().find_map(|l| l.strip_prefix(key));
        line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    };
    let (whole, free, wanted) = (mb("MemTotal:"), mb("MemAvailable:"), memory_mb(size));
    let processes = 1 + PLANNERS + size.real + size.processes;
    println!(
        "{} nodes ({} of them real), {} servers in {} services: some {wanted:.0} MB and {processes} processes; the machine has \
         {whole:.0} MB, {free:.0} of them free",
        size.nodes, size.real, size.servers, size.services
    );
    if wanted > whole / 2.0 || wanted > free {
        return Err(Failure(format!(
            "{wanted:.0} MB would be over half of the machine's memory, or not free"
        )));
    }
    if processes > MOST_PROCESSES {
        return Err(Failure(format!("{processes} processes would be over {MOST_PROCESSES}")));
    }
    Ok(())
}

/// Plays a day.
pub fn run(common: &Common, wanted: &Wanted) -> Result<(), Failure> {
    std::env::set_var(AS_PROGRAM, "1");
    let size = match (wanted.small, wanted.one) {
        (_, true) => Size::ONE,
        (true, _) => Size::SMALL,
        _ => Size::FULL,
    };
    let size = size.of_nodes(wanted.nodes.unwrap_or(size.nodes));
    check_room(&size)?;
    let stretch = if wanted.small { 1.0 } else { STRETCH };
    let part = Duration::from_secs_f64(common.seconds * stretch);
    if wanted.one {
        return one::run(common, size, part);
    }
    let patience = if wanted.small { PATIENCE_SMALL } else { PATIENCE };
    let program = std::env::current_exe()?;
    println!("seed {}", common.seed);
    let bed = Bed::start(&program, size, common.seed)?;
    println!(
        "drawn: {} servers, the largest service has {}; and {} boxes in {} services of their own",
        bed.fleet.servers(),
        bed.fleet.largest(),
        LIVE.0 * LIVE.1,
        LIVE.0
    );
    let direct = traffic::direct(&bed, part / 2);
    let mut day = Day::new(bed, common.seed, part);
    let load = day.traffic();
    let played = day.play(patience);
    let became = load.finish(&day.bed.boxes);
    played?;
    let figures = figures::summed(&day.told()?);
    let real: Vec<_> = day.bed.real.iter().map(|r| r.relay.rates(0)).collect();
    let mut outcome = Outcome::default();
    for (key, count) in [("nodes", size.nodes), ("servers", size.servers), ("services", size.services)] {
        outcome.put(key, count as f64);
    }
    figures.tell(&mut outcome);
    tell_costs(&day.seen, &mut outcome);
    let (mean, most) = figures.bytes();
    let rows = vec![
        vec!["hollow, mean".to_owned(), whole(mean[0]), whole(mean[1]), whole(mean[2])],
        vec!["hollow, worst".to_owned(), whole(most[0]), whole(most[1]), whole(most[2])],
        real.iter().fold(
            vec!["real, worst".to_owned(), "0".to_owned(), "0".to_owned(), "0".to_owned()],
            |row, r| {
                let more = |k: usize, v: f64| whole(row[k].parse::<f64>().unwrap_or(0.0).max(v));
                vec![row[0].clone(), more(1, r.mean), more(2, r.second), more(3, r.ten)]
            },
        ),
    ];
    println!("bytes a second and node, both ways:");
    table(&["nodes", "mean", "worst second", "worst 10 s"], &rows);
    outcome.put("bytes_mean", mean[0]);
    outcome.put("bytes_worst_second", most[1]);
    outcome.put("bytes_worst_10s", most[2]);
    outcome.put("real_bytes_worst_10s", real.iter().map(|r| r.ten).fold(0.0, f64::max));
    outcome.put("list_wholes", day.bed.catalogue.wholes() as f64);
    println!(
        "requests: {} served, {} refused, {} failed, {} lost, {} mixed up, {} not once; p99 {:.1} ms, {:.1} of it the boxes' own",
        became.served, became.refused, became.failed, became.lost, became.mixed, became.doubled, became.p99_ms, direct.0
    );
    let wholes: u64 = day.seen.wholes.values().sum();
    println!(
        "wholes of services sent: {wholes}; wholes of the list told by discovery: {}",
        day.bed.catalogue.wholes()
    );
    outcome.put("wholes", wholes as f64);
    let [named, unnamed] = day.seen.named;
    println!("requests that only named a service at a real forwarder: {named} served, {unnamed} not");
    for (key, value) in [
        ("named_served", named as f64),
        ("named_other", unnamed as f64),
        ("served", became.served as f64),
        ("refused", became.refused as f64),
        ("failed", became.failed as f64),
        ("lost", became.lost as f64),
        ("doubled", became.doubled as f64),
        ("added_p99_ms", became.p99_ms - direct.0),
        ("added_p50_ms", became.p50_ms - direct.1),
    ] {
        outcome.put(key, value);
    }
    let broken = checks::of_day(&day.seen, &figures, &became, &real);
    broken.iter().for_each(|b| println!("BROKEN {b}"));
    outcome.put("broken", broken.len() as f64);
    outcome.close("scale-out", common)?;
    match broken.into_iter().next() {
        Some(first) => Err(Failure(first)),
        None => Ok(()),
    }
}

fn whole(bytes: f64) -> String {
    format!("{bytes:.0}")
}

fn tell_costs(seen: &Seen, outcome: &mut Outcome) {
    let percent = |share: f64| format!("{:.2}", share * 100.0);
    let row = |c: &day::Cost| {
        vec![
            c.name.clone(),
            format!("{:.1}", c.seconds),
            percent(c.planner),
            percent(c.control),
            percent(c.loaded),
        ]
    };
    println!("processor time, in percent of a core:");
    let rows: Vec<_> = seen.costs.iter().map(row).collect();
    table(&["stretch", "s", "busiest planner", "forwarder without load", "busiest forwarder"], &rows);
    for cost in &seen.costs {
        let key = cost.name.replace(' ', "_");
        outcome.put(format!("{key}_planner_core"), cost.planner);
        outcome.put(format!("{key}_control_core"), cost.control);
    }
    let mb = |kb: u64| kb as f64 / 1024.0;
    println!(
        "memory at most: planner {:.1} MB, real forwarder {:.1} MB",
        mb(seen.memory_kb[0]),
        mb(seen.memory_kb[1])
    );
    outcome.put("planner_mb", mb(seen.memory_kb[0]));
    outcome.put("forwarder_mb", mb(seen.memory_kb[1]));
    outcome.put("ready_s", seen.ready_s[0]);
    outcome.put("tenth_ready_s", seen.ready_s[1]);
    let most = |all: &[u64]| all.iter().copied().max().unwrap_or(0) as f64;
    println!(
        "a drained box got its last request {} ms after the list told it at the latest; planners said in force after {} ms",
        most(&seen.drained_ms),
        most(&seen.explained_ms)
    );
    outcome.put("drained_last_ms", most(&seen.drained_ms));
    outcome.put("explained_ms", most(&seen.explained_ms));
}
