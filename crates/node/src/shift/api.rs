//! The shift at the second address: `GET /_shift`, `POST /_shift/VERB/WHO/WHY`, and `POST /_shift/insist/VERB/WHO/WHY`.

use crate::management::percent_encode;
use hyper::StatusCode;
use laurelroute_core::gateway::Gateway;
use laurelroute_shift::course::{Verb, Word};
use laurelroute_shift::explain;
use std::rc::Rc;

/// Letters of who and why at most.
const MOST_TEXT: usize = 256;
const VERBS: [(&str, Verb); 6] = [
    ("start", Verb::Start),
    ("hold", Verb::Hold),
    ("advance", Verb::Advance),
    ("undo", Verb::Undo),
    ("finish", Verb::Finish),
    ("abandon", Verb::Abandon),
];
const NONE: &str = "the operator's file names no shift";

/// What is to be said of the shift, as JSON.
pub(crate) fn status(gateway: &Rc<Gateway>) -> (StatusCode, String) {
    let now = gateway.clock.now();
    let status = gateway.shift(|f| serde_json::to_string(&explain::status(&f.course, now)));
    match status {
        Some(Ok(json)) => (StatusCode::OK, json),
        Some(Err(error)) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        None => (StatusCode::NOT_FOUND, NONE.to_owned()),
    }
}

/// An operator's word, from the rest of the path.
pub(crate) fn apply_command(
    gateway: &Rc<Gateway>,
    rest: &str,
    decode: fn(&str) -> Option<String>,
) -> (StatusCode, String) {
    let Some(word) = word(rest, decode) else {
        return (StatusCode::BAD_REQUEST, "that is no word on a shift".to_owned());
    };
    match gateway.say_to_shift(&word) {
        None => (StatusCode::NOT_FOUND, NONE.to_owned()),
        Some(Err(refused)) => (StatusCode::CONFLICT, refused.to_string()),
        Some(Ok(_)) => {
            let name = gateway.shift(|f| f.course.state_name()).unwrap_or_default();
            (StatusCode::OK, format!("the shift is {name}"))
        }
    }
}

fn word(rest: &str, decode: fn(&str) -> Option<String>) -> Option<Word> {
    let (insist, rest) = match rest.strip_prefix("insist/") {
        Some(rest) => (true, rest),
        None => (false, rest),
    };
    let mut parts = rest.split('/');
    let name = parts.next()?;
    let (_, verb) = *VERBS.iter().find(|(n, _)| *n == name)?;
    let text = |part: Option<&str>| decode(part?).filter(|t| t.chars().count() <= MOST_TEXT);
    let (who, why) = (text(parts.next())?, text(parts.next())?);
    parts.next().is_none().then_some(Word { verb, who, why, insist })
}

/// The path of a word.
pub(crate) fn command_path(word: &Word) -> String {
    let name = VERBS.iter().find(|(_, v)| *v == word.verb).map_or("", |(n, _)| n);
    let insist = if word.insist { "insist/" } else { "" };
    format!("/_shift/{insist}{name}/{}/{}", percent_encode(&word.who), percent_encode(&word.why))
}
