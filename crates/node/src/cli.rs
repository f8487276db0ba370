//! The command line: subcommands, their options and exit codes.

use crate::config::Config;
use crate::fleet::cli::FleetCommandError;
use crate::management_client::{request, ManagementError, ManagementRequest};
use crate::run::{self, Role, StartError};
use crate::shift::cli::ShiftCommandError;
use crate::site::{Site, SiteError};
use clap::{Parser, Subcommand};
use laurelroute_plan::wire::ExplainRequest;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code when a running node did not answer; invalid arguments have the same one.
const EXIT_NO_ANSWER: u8 = 2;

/// A load balancer. Without arguments it runs the platform's node, configured by the file that GW_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "laurelroute", version)]
struct Arguments {
    /// The operator's configuration file (see deploy/site.example.toml).
    #[arg(long, value_name = "FILE", global = true)]
    site: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a forwarder: balances traffic by the plans of the planners that the operator's file names.
    Forward,
    /// Runs a planner: computes the plans of all forwarders.
    Plan,
    /// Prints a planner's current plan and the reasons for it.
    Explain {
        /// The planner's address.
        #[arg(long, value_name = "ADDRESS")]
        plan: SocketAddr,
        /// Explains the plan for this server.
        #[arg(long = "box", value_name = "ID")]
        server: Option<String>,
        /// Explains the limit of this request class.
        #[arg(long, value_name = "CLASS", conflicts_with = "server")]
        class: Option<String>,
        /// Shows which forwarders have applied the change of the server list with this version.
        #[arg(long, value_name = "N", conflicts_with_all = ["server", "class"],
            value_parser = clap::value_parser!(u64).range(1..))]
        change: Option<u64>,
        /// Explains this service; an empty name is the unnamed service.
        #[arg(long, value_name = "NAME", conflicts_with_all = ["server", "class", "change"])]
        service: Option<String>,
    },
    /// Checks whether a running node accepts clients. Exit code: 0 yes, 1 no, 2 no answer.
    Ready {
        /// The node's management address; the default is that of GW_MANAGEMENT or GW_CONFIG.
        #[arg(long, value_name = "ADDRESS")]
        at: Option<SocketAddr>,
    },
    /// Detaches a server from a running node, or attaches it again. Exit code: 0 done, 1 refused, 2 no answer.
    Servers {
        #[command(subcommand)]
        change: Change,
        /// The node's management address; the default is that of GW_MANAGEMENT or GW_CONFIG.
        #[arg(long, value_name = "ADDRESS", global = true)]
        at: Option<SocketAddr>,
    },
    /// Shifts traffic from one pool of servers to another. Exit code: 0 done, 1 refused, 2 no answer.
    Shift {
        #[command(subcommand)]
        command: crate::shift::cli::ShiftCommand,
        /// The node's management address; the default is that of GW_MANAGEMENT or GW_CONFIG.
        #[arg(long, value_name = "ADDRESS", global = true)]
        at: Option<SocketAddr>,
    },
    /// Shows the fleet's members and their shared state. Exit code: 0 yes, 1 no, 2 no answer.
    Fleet {
        #[command(subcommand)]
        command: crate::fleet::cli::FleetCommand,
        /// The node's management address; the default is that of GW_MANAGEMENT or GW_CONFIG.
        #[arg(long, value_name = "ADDRESS", global = true)]
        at: Option<SocketAddr>,
    },
    /// Validates an operator's file; errors name the key and the line.
    Check {
        /// The file to validate.
        file: PathBuf,
        /// The platform's configuration, to check the request classes that methods name.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
}

#[derive(Debug, Subcommand)]
enum Change {
    /// Sends the server no new requests from now on, whatever discovery reports.
    Detach {
        /// The server's name in the discovery list.
        id: String,
        /// Also shows for each fleet member whether it has applied the change; fails if one has not or does not
        /// answer.
        #[arg(long)]
        everywhere: bool,
    },
    /// Uses the server again.
    Attach {
        /// The server's name in the discovery list.
        id: String,
        /// Also shows for each fleet member whether it has applied the change; fails if one has not or does not
        /// answer.
        #[arg(long)]
        everywhere: bool,
    },
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("{0}")]
    Start(#[from] StartError),
    #[error("{0}")]
    Config(#[from] crate::config::ConfigError),
    #[error("{0}")]
    Site(#[from] SiteError),
    #[error("{0}")]
    Explain(#[from] crate::explain::ExplainError),
    #[error("{0}")]
    Call(#[from] ManagementError),
    #[error("{0}")]
    Shift(#[from] ShiftCommandError),
    #[error("{0}")]
    Fleet(#[from] FleetCommandError),
}

/// Parses the arguments, runs the command and returns its exit code.
pub fn main() -> ExitCode {
    match execute(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laurelroute: {error}");
            let management_error = match &error {
                CommandError::Call(error)
                | CommandError::Fleet(FleetCommandError::Call(error))
                | CommandError::Shift(ShiftCommandError::Call(error)) => Some(error),
                _ => None,
            };
            match management_error {
                Some(ManagementError::Client(_)) => ExitCode::from(EXIT_NO_ANSWER),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn execute(arguments: Arguments) -> Result<(), CommandError> {
    let site = arguments.site.as_deref();
    match arguments.command {
        None => Ok(run::start(site, Role::Standalone)?),
        Some(Command::Forward) => Ok(run::start(site, Role::Forwarder)?),
        Some(Command::Plan) => Ok(run::start(site, Role::Planner)?),
        Some(Command::Explain { plan, server, class, change, service }) => {
            let (server, class) = (server.unwrap_or_default(), class.unwrap_or_default());
            let query = ExplainRequest { server, class, change: change.unwrap_or_default(), service };
            Ok(crate::explain::explain(site, plan, query)?)
        }
        Some(Command::Ready { at }) => print_reply(&ManagementRequest::Ready, at),
        Some(Command::Servers { change, at }) => change_server(change, at),
        Some(Command::Shift { command, at }) => Ok(crate::shift::cli::run(&command, at)?),
        Some(Command::Fleet { command, at }) => Ok(crate::fleet::cli::run(&command, at)?),
        Some(Command::Check { file, config }) => check_site(&file, config.as_deref()),
    }
}

fn change_server(change: Change, at: Option<SocketAddr>) -> Result<(), CommandError> {
    let (request, id, everywhere) = match change {
        Change::Detach { id, everywhere } => (ManagementRequest::Detach(id.clone()), id, everywhere),
        Change::Attach { id, everywhere } => (ManagementRequest::Attach(id.clone()), id, everywhere),
    };
    print_reply(&request, at)?;
    if everywhere {
        println!("{}", crate::fleet::cli::ban_replication_report(&id, at)?);
    }
    Ok(())
}

fn print_reply(management_request: &ManagementRequest, at: Option<SocketAddr>) -> Result<(), CommandError> {
    println!("{}", request(management_request, at)?);
    Ok(())
}

fn check_site(file: &std::path::Path, config: Option<&std::path::Path>) -> Result<(), CommandError> {
    let config = config.map(Config::read).transpose()?;
    let classes = config.as_ref().map(|config| (&config.gateway.classes[..], &config.gateway.settings));
    let site = Site::load(file, classes)?;
    let methods = site.thrift.as_ref().map_or(0, |t| t.front.table.len());
    let unchecked = if config.is_none() { "; class names were not checked, see --config" } else { "" };
    println!("{}: valid, {methods} Thrift methods{unchecked}", file.display());
    if let Some(shift) = &site.shift {
        println!("{}", shift.summary());
    }
    Ok(())
}
