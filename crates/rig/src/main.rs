//! Load and measurement. Every measurement is a subcommand: it prints a table, ends with one `RESULT` line, writes the
//! same as JSON with `--json`, and exits non-zero where a promise of its page is broken.

mod boxes;
mod bulk;
mod capacity;
mod compare;
mod cost;
mod demo;
mod levels;
mod load;
mod members;
mod mesh;
mod passthrough;
mod replica;
mod report;
mod scale;
mod scale_out;
mod seeds;
mod shift;
mod silence;
mod site;
mod soak;
mod subscriptions;
mod thrift;
mod two_level;
mod upgrade;

use clap::{Args, Parser, Subcommand};
use report::Failure;
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::path::PathBuf;
use std::process::ExitCode;

/// Counts what the node allocates where the rig runs it; the node's own program has no such counter.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[derive(Debug, Parser)]
#[command(name = "laurelroute-rig")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// What every measurement takes.
#[derive(Clone, Debug, Args)]
pub struct Common {
    /// Settles all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long each part of the load lasts.
    #[arg(long, default_value_t = 2.0)]
    seconds: f64,
    /// Writes the result as JSON, too.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Stand-in boxes, a node on HTTP and Thrift, a short load with a drain, a table.
    Demo(Common),
    /// HTTP against each Thrift form through the node, on like calls.
    Thrift(Common),
    /// What a request costs the node, against a bare pass-through on the same libraries.
    Cost(Common),
    /// One level against two levels against a policy that sees all queues: in simulated time, and over sockets.
    TwoLevel {
        #[command(flatten)]
        common: Common,
        /// Forwarders in simulated time.
        #[arg(long, default_value_t = 28)]
        forwarders: usize,
        /// Boxes in simulated time.
        #[arg(long, default_value_t = 210)]
        boxes: usize,
        /// Connections that a forwarder would like to hold to each box: fewer make for larger subsets.
        #[arg(long, default_value_t = 8)]
        wanted: u32,
        /// Nothing goes wrong.
        #[arg(long)]
        calm: bool,
        /// Part of the sound fleet's capacity that is asked for.
        #[arg(long, default_value_t = 0.92)]
        load: f64,
    },
    /// Planners and forwarders in simulated time under drawn faults: every promise, seed after seed.
    Faults {
        #[command(flatten)]
        common: Common,
        /// How many seeds, from `--seed` on.
        #[arg(long, default_value_t = 10_000)]
        seeds: u64,
    },
    /// All planners killed under load, and their return: real processes.
    Outage {
        #[command(flatten)]
        common: Common,
        /// How many seeds, from `--seed` on.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Forwarders.
        #[arg(long, default_value_t = 4)]
        forwarders: usize,
    },
    /// One process after another takes over under load: real processes.
    Upgrade {
        #[command(flatten)]
        common: Common,
        /// How often, in each of three ways.
        #[arg(long, default_value_t = 10)]
        upgrades: usize,
        /// Bytes that each unsafe request carries.
        #[arg(long, default_value_t = 200)]
        body: usize,
    },
    /// Takeovers under load with a kill, a stop or a one-sided silence at some step of each: real processes.
    Kills {
        #[command(flatten)]
        common: Common,
        /// How many seeds, from `--seed` on.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// How many play at a time.
        #[arg(long, default_value_t = 1)]
        beds: usize,
    },
    /// Members of a fleet under drawn faults in simulated time; what noticing a kill takes and costs by their number.
    Members {
        #[command(flatten)]
        common: Common,
        /// How many seeds, from `--seed` on.
        #[arg(long, default_value_t = 10_000)]
        seeds: u64,
        /// How many of the sizes (12, 30, 100 and 300 members) kills are timed at.
        #[arg(long, default_value_t = 4)]
        sizes: usize,
        /// Counts wrongful removals beside plain heartbeats and SWIM, and what is used once half is gone.
        #[arg(long)]
        compare: bool,
        /// Draws that comparison.
        #[arg(long, value_name = "FILE", requires = "compare")]
        svg: Option<PathBuf>,
    },
    /// Real processes joined by relays, with drawn faults on links and processes, seed after seed.
    Mesh {
        #[command(flatten)]
        common: Common,
        /// How many seeds, from `--seed` on.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// Processes.
        #[arg(long, default_value_t = 12)]
        members: usize,
        #[command(flatten)]
        faults: mesh::Faults,
        /// Beds at a time.
        #[arg(long, default_value_t = 2)]
        beds: usize,
        /// Measures what a member costs at rest instead, for `--seconds` at each size.
        #[arg(long)]
        rest: bool,
    },
    /// What all members of a fleet know alike: real processes under drawn faults with staff's words in them, and simulated time.
    Replica {
        #[command(flatten)]
        common: Common,
        /// How many seeds on real processes, from `--seed` on.
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        /// How many seeds in simulated time.
        #[arg(long, default_value_t = 2_000)]
        simulated: u64,
        /// Processes.
        #[arg(long, default_value_t = 5)]
        members: usize,
        #[command(flatten)]
        faults: mesh::Faults,
        /// Beds at a time.
        #[arg(long, default_value_t = 4)]
        beds: usize,
    },
    /// New clients while one of two processes is stopped at some step of a takeover: for how long nobody answers them.
    Silence {
        #[command(flatten)]
        common: Common,
        #[command(flatten)]
        wanted: silence::Wanted,
    },
    /// Long messages through the node, many at once: memory, and bytes a second against a bare pass-through.
    Bulk(Common),
    /// What a planner costs as forwarders and boxes grow.
    Scale(Common),
    /// The size of two years from now: real planners and forwarders, hollow nodes beside them, a day in minutes.
    ScaleOut {
        #[command(flatten)]
        common: Common,
        #[command(flatten)]
        wanted: scale_out::Wanted,
    },
    /// How the cost of what is shipped grows with servers, tenants, nodes and changes; the page of it and its check.
    Capacity {
        #[command(flatten)]
        common: Common,
        #[command(flatten)]
        wanted: capacity::Wanted,
    },
    /// Work whose cost `capacity` has counted.
    #[command(hide = true)]
    Probe { name: String, size: usize, times: usize },
    /// A shift to drawn new pools in simulated time: false halts, what is found and when, against stepping by the clock and a
    /// fixed canary; its course as a plot; what it costs a request.
    Shift {
        #[command(flatten)]
        common: Common,
        /// How many seeds each of sound, cold and faulty pools, from `--seed` on.
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        /// Writes the course of one shift as a picture.
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
        /// Counts what a request costs with a shift on, too (over sockets, under valgrind).
        #[arg(long)]
        cost: bool,
    },
    /// Services by subscription in simulated time under drawn faults: every promise, seed after seed.
    Subscriptions {
        #[command(flatten)]
        common: Common,
        /// How many seeds, from `--seed` on.
        #[arg(long, default_value_t = 10_000)]
        seeds: u64,
        /// Has the machines' messages do something wrong (lost-on-resume, drain-behind, dropped-counted), which is to be
        /// found.
        #[arg(long, value_name = "DEFECT")]
        planted: Option<String>,
        /// Each schedule has a restart of the list's source within a second of moves between planners.
        #[arg(long, conflicts_with = "planted")]
        restarts: bool,
        /// Seeds at a time; 0 for one on each core.
        #[arg(long, default_value_t = 0)]
        workers: usize,
    },
    /// Real processes under drawn faults, two or three at a time, judged by what clients, servers and discovery saw.
    Soak {
        #[command(flatten)]
        common: Common,
        #[command(flatten)]
        wanted: soak::Wanted,
    },
    /// A node, as the measurements run it.
    #[command(hide = true)]
    Node {
        #[arg(long)]
        site: PathBuf,
    },
    /// Boxes that answer at once, as the measurements run them.
    #[command(hide = true)]
    Boxes {
        #[arg(long)]
        form: String,
        #[arg(long)]
        count: usize,
    },
    /// A process of hollow nodes, as the scale run has them.
    #[command(hide = true)]
    Hollow,
    /// A bare pass-through to these addresses.
    #[command(hide = true)]
    Passthrough { boxes: Vec<std::net::SocketAddr> },
}

/// Set for children of this program that are to be the program `laurelroute` itself.
pub const AS_PROGRAM: &str = "LAURELROUTE_RIG_AS_PROGRAM";

fn main() -> ExitCode {
    if std::env::var_os(AS_PROGRAM).is_some() {
        return laurelroute_node::cli::main();
    }
    let outcome = match Arguments::parse().command {
        Command::Demo(common) => demo::run(&common),
        Command::Thrift(common) => thrift::run(&common),
        Command::Cost(common) => cost::run(&common),
        Command::TwoLevel { common, forwarders, boxes, wanted, calm, load } => {
            two_level::run(&common, &two_level::Size { forwarders, boxes, wanted, calm, load })
        }
        Command::Faults { common, seeds } => levels::faults(&common, seeds),
        Command::Outage { common, seeds, forwarders } => levels::outage(&common, seeds, forwarders),
        Command::Upgrade { common, upgrades, body } => upgrade::run(&common, upgrades, body),
        Command::Kills { common, seeds, beds } => upgrade::kills(&common, seeds, beds),
        Command::Members { common, seeds, sizes, compare, svg } => {
            members::run(&common, &members::Wanted { seeds, sizes, compare, svg: svg.as_deref() })
        }
        Command::Mesh { common, rest: true, .. } => mesh::rest(&common),
        Command::Mesh { common, seeds, members, faults, beds, rest: false } => {
            mesh::run(&common, &mesh::Wanted { seeds, members, faults, beds })
        }
        Command::Replica { common, seeds, simulated, members, faults, beds } => {
            let wanted = mesh::Wanted { seeds, members, faults, beds };
            replica::run(&common, simulated, &wanted)
        }
        Command::Silence { common, wanted } => silence::run(&common, &wanted),
        Command::Bulk(common) => bulk::run(&common),
        Command::Scale(common) => scale::run(&common),
        Command::ScaleOut { common, wanted } => scale_out::run(&common, &wanted),
        Command::Hollow => scale_out::hollow::run(),
        Command::Capacity { common, wanted } => capacity::run(&common, &wanted),
        Command::Probe { name, size, times } => capacity::probe(&name, size, times),
        Command::Shift { common, seeds, svg, cost } => {
            shift::run(&common, &shift::Wanted { seeds, svg: svg.as_deref(), cost })
        }
        Command::Subscriptions { common, seeds, planted, restarts, workers } => {
            subscriptions::run(&common, seeds, planted.as_deref(), restarts, workers)
        }
        Command::Soak { common, wanted } => soak::run(&common, &wanted),
        Command::Node { site } => site::node(&site),
        Command::Boxes { form, count } => boxes::run(&form, count),
        Command::Passthrough { boxes } => passthrough::run(boxes),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure(message)) => {
            eprintln!("laurelroute-rig: {message}");
            ExitCode::FAILURE
        }
    }
}
