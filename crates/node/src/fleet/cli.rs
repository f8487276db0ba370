//! `laurelroute fleet`: what a running member says of its fleet, for people.

use crate::management_client::{request, ManagementError, ManagementRequest};
use serde_json::Value;
use std::net::SocketAddr;

/// What is asked.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum FleetCommand {
    /// Who is a member, by the view that this node has.
    Members {
        /// As the node says it.
        #[arg(long)]
        json: bool,
    },
    /// Why a member is in or out: who watches it here, how long it has been silent, who accuses it.
    Explain {
        /// Its name.
        name: String,
    },
    /// What all members know alike, as this node has it: bans, and drains by the list.
    State {
        /// Only `ban` or `drain`.
        #[arg(long, value_parser = ["ban", "drain"])]
        kind: Option<String>,
        /// As the node says it.
        #[arg(long)]
        json: bool,
    },
    /// What two nodes' copies disagree on, and which rule will settle it: exit code 1 where they do.
    Differ {
        /// A node's second address.
        a: SocketAddr,
        /// Another one's.
        b: SocketAddr,
    },
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum FleetCommandError {
    #[error("{0}")]
    Call(#[from] ManagementError),
    #[error("the node's answer cannot be read: {0}")]
    Odd(#[from] serde_json::Error),
}

pub(crate) fn run(call: &FleetCommand, at: Option<SocketAddr>) -> Result<(), FleetCommandError> {
    let text = match call {
        FleetCommand::Members { json: true } => request(&ManagementRequest::Fleet, at)?,
        FleetCommand::Members { json: false } => members(&asked(&ManagementRequest::Fleet, at)?),
        FleetCommand::Explain { name } => {
            explain(&asked(&ManagementRequest::Fleet, at)?, name).map_err(ManagementError::Refused)?
        }
        FleetCommand::State { kind, json: true } => request(&ManagementRequest::FleetState(kind.clone()), at)?,
        FleetCommand::State { kind, json: false } => {
            state(&asked(&ManagementRequest::FleetState(kind.clone()), at)?)
        }
        FleetCommand::Differ { a, b } => differ(*a, *b)?,
    };
    println!("{text}");
    Ok(())
}

/// What a node says, as JSON.
fn asked(call: &ManagementRequest, at: Option<SocketAddr>) -> Result<Value, FleetCommandError> {
    Ok(serde_json::from_str(&request(call, at)?)?)
}

fn differ(a: SocketAddr, b: SocketAddr) -> Result<String, FleetCommandError> {
    let copy = |at| asked(&ManagementRequest::FleetState(None), Some(at));
    let lines = differences(&copy(a)?, &copy(b)?);
    match lines.is_empty() {
        true => Ok("the copies are equal".to_owned()),
        false => Err(ManagementError::Refused(lines.join("\n")).into()),
    }
}

/// After staff's word: which members have it. A no where one has not, or does not answer.
pub(crate) fn ban_replication_report(server: &str, at: Option<SocketAddr>) -> Result<String, ManagementError> {
    let said = request(&ManagementRequest::FleetHeld(server.to_owned()), at)?;
    let rows: Vec<(String, Option<bool>)> = serde_json::from_str(&said)
        .map_err(|_| ManagementError::Refused(format!("that is no answer: {said}")))?;
    let line = |(name, has): &(String, Option<bool>)| {
        let has = match has {
            Some(true) => "has it",
            Some(false) => "has not",
            None => "does not answer",
        };
        format!("{name:<24} {has}")
    };
    let text = rows.iter().map(line).collect::<Vec<_>>().join("\n");
    match rows.iter().all(|(_, has)| *has == Some(true)) {
        true => Ok(text),
        false => Err(ManagementError::Refused(text)),
    }
}

fn entries(copy: &Value) -> &[Value] {
    copy["entries"].as_array().map_or(&[], Vec::as_slice)
}

fn state(copy: &Value) -> String {
    let word = |w: &Value| match w["version"].as_u64() {
        Some(version) => format!("list {version}"),
        None => format!("{}#{}{}", text(&w["by"]), w["number"], if w["out"] == true { "" } else { " back" }),
    };
    let row = |e: &Value| {
        let words: Vec<String> = e["words"].as_array().into_iter().flatten().map(word).collect();
        let out = if e["out"] == true { "out" } else { "in use" };
        format!("{:<6} {:<24} {out:<7} {}", text(&e["kind"]), text(&e["server"]), words.join(", "))
    };
    let caught_up = if copy["caught_up"] == true { "" } else { "; has yet to hear what the others know" };
    let head = format!(
        "copy {} at {}, {} entries{caught_up}",
        text(&copy["copy"]),
        text(&copy["me"]),
        entries(copy).len()
    );
    [head].into_iter().chain(entries(copy).iter().map(row)).collect::<Vec<_>>().join("\n")
}

/// Entries that two copies have otherwise, with the rule that settles it.
fn differences(a: &Value, b: &Value) -> Vec<String> {
    let name = |e: &Value| (text(&e["kind"]).to_owned(), text(&e["server"]).to_owned());
    let index = |copy: &Value| -> std::collections::BTreeMap<(String, String), Value> {
        entries(copy).iter().map(|e| (name(e), e.clone())).collect()
    };
    let (mine, theirs) = (index(a), index(b));
    let keys: std::collections::BTreeSet<_> = mine.keys().chain(theirs.keys()).collect();
    let short = |e: Option<&Value>| match e {
        None => "nothing".to_owned(),
        Some(e) => (if e["out"] == true { "out" } else { "in use" }).to_owned(),
    };
    let line = |key: &(String, String)| {
        let rule = match key.0.as_str() {
            "drain" => "the later version of the list counts",
            _ => "the word that knew of the other counts; of two that did not, the ban",
        };
        let (a, b) = (short(mine.get(key)), short(theirs.get(key)));
        format!("{} {}: {a} here, {b} there: {rule}", key.0, key.1)
    };
    keys.into_iter().filter(|key| mine.get(*key) != theirs.get(*key)).map(line).collect()
}

fn rows(fleet: &Value) -> &[Value] {
    fleet["members"].as_array().map_or(&[], Vec::as_slice)
}

fn standing(fleet: &Value) -> String {
    match fleet["view"].as_u64() {
        None => format!("{} is in no view and asks to come in", text(&fleet["me"])),
        Some(view) => format!(
            "view {view}{} at {}, for {:.1} s; lease: {}; part of what is shared: {:.4}",
            if fleet["rooted"] == true { "" } else { " (founded without all)" },
            text(&fleet["me"]),
            fleet["since_ms"].as_f64().unwrap_or(0.0) / 1e3,
            if fleet["lease"] == true { "held" } else { "none" },
            fleet["share"].as_f64().unwrap_or(0.0),
        ),
    }
}

fn members(fleet: &Value) -> String {
    let row = |m: &Value| {
        let silent = m["silent_ms"].as_u64().map_or("-".to_owned(), |ms| format!("{ms} ms"));
        let member = if m["member"] == true { "in" } else { "out" };
        format!("{:<24} {:<22} {member:<4} {silent:>9}", text(&m["name"]), text(&m["address"]))
    };
    let head = format!("{:<24} {:<22} {:<4} {:>9}", "name", "address", "", "silent");
    let rows = rows(fleet).iter().map(row);
    let learnt = fleet["learnt"]["servers"].as_u64();
    let learnt = learnt
        .map(|n| format!("began with what {} had learnt of {n} servers", text(&fleet["learnt"]["from"])));
    [standing(fleet), head].into_iter().chain(rows).chain(learnt).collect::<Vec<_>>().join("\n")
}

fn explain(fleet: &Value, name: &str) -> Result<String, String> {
    let of = rows(fleet).iter().find(|m| m["name"] == name);
    let Some(m) = of else { return Err(format!("no member is called `{name}`")) };
    let accusers: Vec<&str> =
        m["accused_by"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let mut lines = vec![standing(fleet)];
    lines.push(match m["life"].as_u64() {
        Some(life) => format!("{name} is a member, with life {life:08x}"),
        None => format!("{name} is no member in this view"),
    });
    lines.push(match (m["watched_here"] == true, m["silent_ms"].as_u64()) {
        (true, Some(ms)) => format!("this node watches it, and has not heard of it for {ms} ms"),
        _ => "this node does not watch it; others do".to_owned(),
    });
    lines.push(match accusers.is_empty() {
        true => "nobody accuses it of silence, as far as this node is told".to_owned(),
        false => format!("accused of silence by {}", accusers.join(", ")),
    });
    Ok(lines.join("\n"))
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_fleet_is_readable() {
        let fleet = serde_json::json!({"me": "a", "view": 3, "rooted": true, "since_ms": 1500, "lease": true, "share": 0.46,
            "members": [{"name": "a", "address": "127.0.0.1:1", "member": true, "life": 7, "watched_here": false,
            "silent_ms": null, "accused_by": []}, {"name": "b", "address": "127.0.0.1:2", "member": false, "life": null,
            "watched_here": true, "silent_ms": 2300, "accused_by": ["a"]}], "learnt": {"from": "b", "servers": 7}});
        let shown = members(&fleet);
        assert!(
            shown.starts_with("view 3 at a, for 1.5 s; lease: held; part of what is shared: 0.4600"),
            "{shown}"
        );
        assert!(shown.lines().nth(3).unwrap().contains("out") && shown.contains("2300 ms"), "{shown}");
        assert!(shown.ends_with("\nbegan with what b had learnt of 7 servers"), "{shown}");
        let why = explain(&fleet, "b").unwrap();
        assert!(why.contains("no member") && why.contains("for 2300 ms") && why.contains("by a"), "{why}");
        assert!(explain(&fleet, "c").is_err());
    }

    #[test]
    fn copies_are_readable_and_so_is_what_differs() {
        let word = serde_json::json!({"by": "a", "life": 1, "number": 2, "out": true, "at": 0});
        let ban = serde_json::json!({"kind": "ban", "server": "s", "out": true, "words": [word]});
        let drain = serde_json::json!({"kind": "drain", "server": "t", "out": false, "words": [{"version": 7, "out": false}]});
        let copy = |entries: &[&Value]| serde_json::json!({"me": "a", "caught_up": true, "copy": "0f", "entries": entries});
        let both = copy(&[&ban, &drain]);
        let shown = state(&both);
        assert!(shown.starts_with("copy 0f at a, 2 entries\n") && shown.contains("a#2"), "{shown}");
        assert!(shown.lines().nth(2).unwrap().contains("list 7"), "{shown}");
        assert!(differences(&both, &both).is_empty());
        let lines = differences(&both, &copy(&[&drain]));
        assert_eq!(lines.len(), 1);
        assert!(lines[0].starts_with("ban s: out here, nothing there"), "{lines:?}");
    }
}
