//! The command line.

use crate::config::Config;
use crate::fleet::cli::FleetFailure;
use crate::run::{self, Role, StartError};
use crate::shift::cli::ShiftFailure;
use crate::site::{Site, SiteError};
use crate::staff::{answered, Call, CallError};
use clap::{Parser, Subcommand};
use laurelroute_plan::wire::Ask;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code where a running node gave no answer, as for arguments that make no sense.
const NO_ANSWER: u8 = 2;

/// A load balancer. Without arguments it is the platform's node, told by the file that GW_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "laurelroute", version)]
struct Arguments {
    /// The operator's file (see deploy/site.example.toml).
    #[arg(long, value_name = "FILE", global = true)]
    site: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Moves traffic by the plan of the planners that the operator's file names.
    Forward,
    /// Plans for all forwarders.
    Plan,
    /// Asks a planner what its plan says now, and why.
    Explain {
        /// The planner's address.
        #[arg(long, value_name = "ADDRESS")]
        plan: SocketAddr,
        /// Of this box.
        #[arg(long = "box", value_name = "ID")]
        server: Option<String>,
        /// Of this class.
        #[arg(long, value_name = "CLASS", conflicts_with = "server")]
        class: Option<String>,
        /// Where this change of the list is in force, by its version.
        #[arg(long, value_name = "N", conflicts_with_all = ["server", "class"],
            value_parser = clap::value_parser!(u64).range(1..))]
        change: Option<u64>,
        /// Of this service; empty for the one without a name.
        #[arg(long, value_name = "NAME", conflicts_with_all = ["server", "class", "change"])]
        service: Option<String>,
    },
    /// Asks a running node whether it takes clients: exit code 0 is yes, 1 no, 2 no answer.
    Ready {
        /// The node's second address; else that of GW_MANAGEMENT or GW_CONFIG.
        #[arg(long, value_name = "ADDRESS")]
        at: Option<SocketAddr>,
    },
    /// Takes a server out of a running node's use, or puts it back: exit code 0 is yes, 1 no, 2 no answer.
    Servers {
        #[command(subcommand)]
        change: Change,
        /// The node's second address; else that of GW_MANAGEMENT or GW_CONFIG.
        #[arg(long, value_name = "ADDRESS", global = true)]
        at: Option<SocketAddr>,
    },
    /// Moves traffic from one pool of servers to another: exit code 0 is yes, 1 no, 2 no answer.
    Shift {
        #[command(subcommand)]
        call: crate::shift::cli::ShiftCall,
        /// The node's second address; else that of GW_MANAGEMENT or GW_CONFIG.
        #[arg(long, value_name = "ADDRESS", global = true)]
        at: Option<SocketAddr>,
    },
    /// Says who is in the fleet: exit code 0 is yes, 1 no, 2 no answer.
    Fleet {
        #[command(subcommand)]
        call: crate::fleet::cli::FleetCall,
        /// The node's second address; else that of GW_MANAGEMENT or GW_CONFIG.
        #[arg(long, value_name = "ADDRESS", global = true)]
        at: Option<SocketAddr>,
    },
    /// Checks an operator's file; errors name key and line.
    Check {
        /// The file.
        file: PathBuf,
        /// The platform's configuration, for the classes that methods name.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
}

#[derive(Debug, Subcommand)]
enum Change {
    /// Nothing new goes to it from now on, whatever discovery says.
    Detach {
        /// Its name in the list.
        id: String,
        /// Says of each member of the fleet whether it has that word; a no where one has not, or does not answer.
        #[arg(long)]
        everywhere: bool,
    },
    /// It is used again.
    Attach {
        /// Its name in the list.
        id: String,
        /// Says of each member of the fleet whether it has that word; a no where one has not, or does not answer.
        #[arg(long)]
        everywhere: bool,
    },
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}")]
    Start(#[from] StartError),
    #[error("{0}")]
    Config(#[from] crate::config::ConfigError),
    #[error("{0}")]
    Site(#[from] SiteError),
    #[error("{0}")]
    Ask(#[from] crate::ask::AskError),
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Shift(#[from] ShiftFailure),
    #[error("{0}")]
    Fleet(#[from] FleetFailure),
}

/// The program, from its arguments to its exit.
pub fn main() -> ExitCode {
    match act(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laurelroute: {error}");
            let call = match &error {
                Failure::Call(error)
                | Failure::Fleet(FleetFailure::Call(error))
                | Failure::Shift(ShiftFailure::Call(error)) => Some(error),
                _ => None,
            };
            match call {
                Some(CallError::Staff(_)) => ExitCode::from(NO_ANSWER),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn act(arguments: Arguments) -> Result<(), Failure> {
    let site = arguments.site.as_deref();
    match arguments.command {
        None => Ok(run::start(site, Role::OneLevel)?),
        Some(Command::Forward) => Ok(run::start(site, Role::Forwarder)?),
        Some(Command::Plan) => Ok(run::start(site, Role::Planner)?),
        Some(Command::Explain { plan, server, class, change, service }) => {
            let (server, class) = (server.unwrap_or_default(), class.unwrap_or_default());
            let ask = Ask { server, class, change: change.unwrap_or_default(), service };
            Ok(crate::ask::explain(site, plan, ask)?)
        }
        Some(Command::Ready { at }) => call(&Call::Ready, at),
        Some(Command::Servers { change, at }) => say(change, at),
        Some(Command::Shift { call, at }) => Ok(crate::shift::cli::run(&call, at)?),
        Some(Command::Fleet { call, at }) => Ok(crate::fleet::cli::run(&call, at)?),
        Some(Command::Check { file, config }) => check(&file, config.as_deref()),
    }
}

fn say(change: Change, at: Option<SocketAddr>) -> Result<(), Failure> {
    let (word, id, everywhere) = match change {
        Change::Detach { id, everywhere } => (Call::Detach(id.clone()), id, everywhere),
        Change::Attach { id, everywhere } => (Call::Attach(id.clone()), id, everywhere),
    };
    call(&word, at)?;
    if everywhere {
        println!("{}", crate::fleet::cli::everywhere(&id, at)?);
    }
    Ok(())
}

fn call(call: &Call, at: Option<SocketAddr>) -> Result<(), Failure> {
    println!("{}", answered(call, at)?);
    Ok(())
}

fn check(file: &std::path::Path, config: Option<&std::path::Path>) -> Result<(), Failure> {
    let config = config.map(Config::read).transpose()?;
    let classes = config.as_ref().map(|c| (&c.site.classes[..], &c.site.settings));
    let site = Site::load(file, classes)?;
    let methods = site.thrift.as_ref().map_or(0, |t| t.front.table.len());
    let unseen = if config.is_none() { "; class names were not checked, see --config" } else { "" };
    println!("{}: sound, {methods} Thrift methods{unseen}", file.display());
    if let Some(shift) = &site.shift {
        println!("{}", shift.explained());
    }
    Ok(())
}
