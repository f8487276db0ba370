//! The `laurelroute shift` subcommands: control a running node's traffic shift and print its status.

use crate::management_client::{request, ManagementError, ManagementRequest};
use clap::{Args, Subcommand};
use laurelroute_shift::explain::Status;
use laurelroute_shift::rollout::{Command, Verb};
use std::net::SocketAddr;

/// Comparison rows in the text form of the status.
const STATUS_ROWS: usize = 12;

/// Subcommands of `laurelroute shift`.
#[derive(Debug, Subcommand)]
pub(crate) enum ShiftCommand {
    /// Starts the shift, or restarts it after an undo.
    Start(CommandOptions),
    /// Holds the shift at its current step; an alarm still takes traffic back.
    Hold(CommandOptions),
    /// Resumes a held shift, or advances by one step regardless of the evidence.
    Advance(CommandOptions),
    /// Moves all traffic back to the old pool.
    Undo(CommandOptions),
    /// Moves all traffic to the new pool.
    Finish(CommandOptions),
    /// Ends the shift: requests are balanced without regard to the pools.
    Abandon(CommandOptions),
    /// Prints the current step, the reason for it and the most suspicious comparisons.
    Status {
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints the status and its history: who changed what, and on what evidence.
    Explain {
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Shows the status live; prints plain lines where there is no terminal.
    Watch {
        /// Seconds between two updates.
        #[arg(long, default_value_t = 1.0)]
        every: f64,
    },
}

/// Options of the subcommands that change the shift.
#[derive(Debug, Args)]
pub(crate) struct CommandOptions {
    /// Reason for the change, recorded in the journal.
    #[arg(long, default_value = "")]
    why: String,
    /// Operator's name; defaults to the user of this process.
    #[arg(long)]
    who: Option<String>,
    /// Apply the change despite objections.
    #[arg(long)]
    insist: bool,
}

/// Why a `laurelroute shift` subcommand failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ShiftCommandError {
    #[error("{0}")]
    Call(#[from] ManagementError),
    #[error("invalid response from the node: {0}")]
    InvalidResponse(#[from] serde_json::Error),
    #[error("terminal: {0}")]
    Terminal(#[from] std::io::Error),
}

/// Runs a subcommand against the node at `at` and prints the result.
pub(crate) fn run(command: &ShiftCommand, at: Option<SocketAddr>) -> Result<(), ShiftCommandError> {
    let (verb, options) = match command {
        ShiftCommand::Start(options) => (Verb::Start, options),
        ShiftCommand::Hold(options) => (Verb::Hold, options),
        ShiftCommand::Advance(options) => (Verb::Advance, options),
        ShiftCommand::Undo(options) => (Verb::Undo, options),
        ShiftCommand::Finish(options) => (Verb::Finish, options),
        ShiftCommand::Abandon(options) => (Verb::Abandon, options),
        ShiftCommand::Status { json } => return print_status(at, *json, false),
        ShiftCommand::Explain { json } => return print_status(at, *json, true),
        ShiftCommand::Watch { every } => return super::watch::run(at, *every),
    };
    let default_who = || std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let who = options.who.clone().unwrap_or_else(default_who);
    let command = Command { verb, who, why: options.why.clone(), insist: options.insist };
    println!("{}", request(&ManagementRequest::ShiftCommand(command), at)?);
    Ok(())
}

/// Fetches the status of a running node's shift.
pub(super) fn fetch_status(at: Option<SocketAddr>) -> Result<Status, ShiftCommandError> {
    Ok(serde_json::from_str(&request(&ManagementRequest::ShiftStatus, at)?)?)
}

/// Prints the status as JSON or text, on demand with its history.
fn print_status(at: Option<SocketAddr>, json: bool, history: bool) -> Result<(), ShiftCommandError> {
    let status = fetch_status(at)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&status)?);
        return Ok(());
    }
    print!("{}", status.plain(if history { usize::MAX } else { STATUS_ROWS }));
    if history {
        println!("\nhistory:\n{}", status.history());
    }
    Ok(())
}
