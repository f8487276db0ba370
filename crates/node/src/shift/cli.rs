//! `laurelroute shift`.

use crate::management_client::{request, ManagementError, ManagementRequest};
use clap::{Args, Subcommand};
use laurelroute_shift::course::{Verb, Word};
use laurelroute_shift::explain::Status;
use std::net::SocketAddr;

/// Rows of a status for people.
const ROWS: usize = 12;

#[derive(Debug, Subcommand)]
pub(crate) enum ShiftCommand {
    /// Begins the shift, or begins it again after an undo.
    Start(Say),
    /// Stands still where it is; what alarms is taken back all the same.
    Hold(Say),
    /// Goes on where it was held, or climbs a step whatever the evidence.
    Advance(Say),
    /// Takes everything back to the old pool.
    Undo(Say),
    /// Gives everything to the new pool.
    Finish(Say),
    /// Forgets the shift: pools are no longer told apart.
    Abandon(Say),
    /// Where it is, why it stands there, and the most doubtful comparisons.
    Status {
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// The status and how it came about: who changed what, and by what evidence.
    Explain {
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// The status, live; plain lines where there is no terminal.
    Watch {
        /// Seconds between two looks.
        #[arg(long, default_value_t = 1.0)]
        every: f64,
    },
}

#[derive(Debug, Args)]
pub(crate) struct Say {
    /// Why; kept in the journal.
    #[arg(long, default_value = "")]
    why: String,
    /// Who; else the user of this process.
    #[arg(long)]
    who: Option<String>,
    /// Whatever speaks against it.
    #[arg(long)]
    insist: bool,
}

/// Why a call on a shift came to nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ShiftCommandError {
    #[error("{0}")]
    Call(#[from] ManagementError),
    #[error("the node's answer cannot be read: {0}")]
    Odd(#[from] serde_json::Error),
    #[error("terminal: {0}")]
    Terminal(#[from] std::io::Error),
}

pub(crate) fn run(call: &ShiftCommand, at: Option<SocketAddr>) -> Result<(), ShiftCommandError> {
    let (verb, say) = match call {
        ShiftCommand::Start(say) => (Verb::Start, say),
        ShiftCommand::Hold(say) => (Verb::Hold, say),
        ShiftCommand::Advance(say) => (Verb::Advance, say),
        ShiftCommand::Undo(say) => (Verb::Undo, say),
        ShiftCommand::Finish(say) => (Verb::Finish, say),
        ShiftCommand::Abandon(say) => (Verb::Abandon, say),
        ShiftCommand::Status { json } => return show(at, *json, false),
        ShiftCommand::Explain { json } => return show(at, *json, true),
        ShiftCommand::Watch { every } => return super::watch::run(at, *every),
    };
    let user = || std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let who = say.who.clone().unwrap_or_else(user);
    let word = Word { verb, who, why: say.why.clone(), insist: say.insist };
    println!("{}", request(&ManagementRequest::ShiftCommand(word), at)?);
    Ok(())
}

/// The status of a running node's shift.
pub(super) fn status(at: Option<SocketAddr>) -> Result<Status, ShiftCommandError> {
    Ok(serde_json::from_str(&request(&ManagementRequest::ShiftStatus, at)?)?)
}

fn show(at: Option<SocketAddr>, json: bool, history: bool) -> Result<(), ShiftCommandError> {
    let status = status(at)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&status)?);
        return Ok(());
    }
    print!("{}", status.plain(if history { usize::MAX } else { ROWS }));
    if history {
        println!("\nhow it came about:\n{}", status.history());
    }
    Ok(())
}
