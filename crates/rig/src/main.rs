//! Load and measurement. Every measurement is a subcommand: it prints a table, ends with one `RESULT` line, writes the
//! same as JSON with `--json`, and exits non-zero where a promise of its page is broken.

mod boxes;
mod cost;
mod demo;
mod load;
mod passthrough;
mod report;
mod site;
mod thrift;

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
    /// A bare pass-through to these addresses.
    #[command(hide = true)]
    Passthrough { boxes: Vec<std::net::SocketAddr> },
}

fn main() -> ExitCode {
    let outcome = match Arguments::parse().command {
        Command::Demo(common) => demo::run(&common),
        Command::Thrift(common) => thrift::run(&common),
        Command::Cost(common) => cost::run(&common),
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
