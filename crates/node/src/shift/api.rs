//! The shift's calls at the management address: `GET /_shift`, `POST /_shift/VERB/WHO/WHY`, and
//! `POST /_shift/insist/VERB/WHO/WHY`.

use crate::management::percent_encode;
use hyper::StatusCode;
use laurelroute_core::gateway::Gateway;
use laurelroute_shift::explain;
use laurelroute_shift::rollout::{Command, Verb};
use std::rc::Rc;

/// Maximum length of an operator's name and of a reason, in characters.
const MAX_TEXT_CHARS: usize = 256;
/// Names of the verbs in paths.
const VERBS: [(&str, Verb); 6] = [
    ("start", Verb::Start),
    ("hold", Verb::Hold),
    ("advance", Verb::Advance),
    ("undo", Verb::Undo),
    ("finish", Verb::Finish),
    ("abandon", Verb::Abandon),
];
const NO_SHIFT: &str = "the operator's file names no shift";

/// Reports the shift's status as JSON.
pub(crate) fn status(gateway: &Rc<Gateway>) -> (StatusCode, String) {
    let now = gateway.clock.now();
    let status =
        gateway.shift(|controller| serde_json::to_string(&explain::status(&controller.rollout, now)));
    match status {
        Some(Ok(json)) => (StatusCode::OK, json),
        Some(Err(error)) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        None => (StatusCode::NOT_FOUND, NO_SHIFT.to_owned()),
    }
}

/// Applies an operator's command, given by the rest of the path.
pub(crate) fn apply_command(
    gateway: &Rc<Gateway>,
    rest: &str,
    decode: fn(&str) -> Option<String>,
) -> (StatusCode, String) {
    let Some(command) = parse_command(rest, decode) else {
        return (StatusCode::BAD_REQUEST, "that is no word on a shift".to_owned());
    };
    match gateway.apply_shift_command(&command) {
        None => (StatusCode::NOT_FOUND, NO_SHIFT.to_owned()),
        Some(Err(refused)) => (StatusCode::CONFLICT, refused.to_string()),
        Some(Ok(_)) => {
            let name = gateway.shift(|controller| controller.rollout.state_name()).unwrap_or_default();
            (StatusCode::OK, format!("the shift is {name}"))
        }
    }
}

/// Parses `VERB/WHO/WHY` or `insist/VERB/WHO/WHY`.
fn parse_command(rest: &str, decode: fn(&str) -> Option<String>) -> Option<Command> {
    let (insist, rest) = match rest.strip_prefix("insist/") {
        Some(rest) => (true, rest),
        None => (false, rest),
    };
    let mut parts = rest.split('/');
    let name = parts.next()?;
    let (_, verb) = *VERBS.iter().find(|(n, _)| *n == name)?;
    let text = |part: Option<&str>| decode(part?).filter(|t| t.chars().count() <= MAX_TEXT_CHARS);
    let (who, why) = (text(parts.next())?, text(parts.next())?);
    parts.next().is_none().then_some(Command { verb, who, why, insist })
}

/// The request path of a command.
pub(crate) fn command_path(command: &Command) -> String {
    let name = VERBS.iter().find(|(_, v)| *v == command.verb).map_or("", |(n, _)| n);
    let insist = if command.insist { "insist/" } else { "" };
    format!("/_shift/{insist}{name}/{}/{}", percent_encode(&command.who), percent_encode(&command.why))
}
