//! The `laurelroute fleet` subcommands: print a running member's view of its fleet and its replicated state.

use crate::management_client::{request, ManagementError, ManagementRequest};
use serde_json::Value;
use std::net::SocketAddr;

/// Subcommands of `laurelroute fleet`.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum FleetCommand {
    /// Lists the members of the view that this node has.
    Members {
        /// Print the node's JSON.
        #[arg(long)]
        json: bool,
    },
    /// Explains why a member is in or out: whether this node watches it, how long it has been silent, which members
    /// accuse it.
    Explain {
        /// Name of the member.
        name: String,
    },
    /// Shows this node's replica of the state shared by all members: bans, and drains from discovery's list.
    State {
        /// Show only entries of this kind.
        #[arg(long, value_parser = ["ban", "drain"])]
        kind: Option<String>,
        /// Print the node's JSON.
        #[arg(long)]
        json: bool,
    },
    /// Compares two nodes' replicas and names the rule that resolves each difference; exit code 1 where they differ.
    Differ {
        /// Management address of a node.
        a: SocketAddr,
        /// Management address of the other node.
        b: SocketAddr,
    },
}

/// Why a `laurelroute fleet` subcommand failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FleetCommandError {
    #[error("{0}")]
    Call(#[from] ManagementError),
    #[error("invalid response from the node: {0}")]
    InvalidResponse(#[from] serde_json::Error),
}

/// Runs a subcommand against the node at `at` and prints the result.
pub(crate) fn run(call: &FleetCommand, at: Option<SocketAddr>) -> Result<(), FleetCommandError> {
    let text = match call {
        FleetCommand::Members { json: true } => request(&ManagementRequest::Fleet, at)?,
        FleetCommand::Members { json: false } => members(&query(&ManagementRequest::Fleet, at)?),
        FleetCommand::Explain { name } => {
            explain(&query(&ManagementRequest::Fleet, at)?, name).map_err(ManagementError::Refused)?
        }
        FleetCommand::State { kind, json: true } => {
            request(&ManagementRequest::FleetState(kind.clone()), at)?
        }
        FleetCommand::State { kind, json: false } => {
            state(&query(&ManagementRequest::FleetState(kind.clone()), at)?)
        }
        FleetCommand::Differ { a, b } => differ(*a, *b)?,
    };
    println!("{text}");
    Ok(())
}

/// Sends a call to a node and parses its JSON response.
fn query(call: &ManagementRequest, at: Option<SocketAddr>) -> Result<Value, FleetCommandError> {
    Ok(serde_json::from_str(&request(call, at)?)?)
}

/// Compares two nodes' replicas; an error where they differ.
fn differ(a: SocketAddr, b: SocketAddr) -> Result<String, FleetCommandError> {
    let replica = |at| query(&ManagementRequest::FleetState(None), Some(at));
    let lines = differences(&replica(a)?, &replica(b)?);
    match lines.is_empty() {
        true => Ok("the copies are equal".to_owned()),
        false => Err(ManagementError::Refused(lines.join("\n")).into()),
    }
}

/// Lists which members hold an operator's ban of `server`; an error where one does not hold it or does not answer.
pub(crate) fn ban_replication_report(
    server: &str,
    at: Option<SocketAddr>,
) -> Result<String, ManagementError> {
    let response = request(&ManagementRequest::FleetHeld(server.to_owned()), at)?;
    let rows: Vec<(String, Option<bool>)> = serde_json::from_str(&response)
        .map_err(|_| ManagementError::Refused(format!("invalid response from the node: {response}")))?;
    let line = |(name, has): &(String, Option<bool>)| {
        let has = match has {
            Some(true) => "has it",
            Some(false) => "does not have it",
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

fn entries(replica: &Value) -> &[Value] {
    replica["entries"].as_array().map_or(&[], Vec::as_slice)
}

/// Formats a replica's entries as a table.
fn state(replica: &Value) -> String {
    let record = |record: &Value| match record["version"].as_u64() {
        Some(version) => format!("list {version}"),
        None => format!(
            "{}#{}{}",
            text(&record["by"]),
            record["number"],
            if record["out"] == true { "" } else { " back" }
        ),
    };
    let row = |entry: &Value| {
        let records: Vec<String> = entry["words"].as_array().into_iter().flatten().map(record).collect();
        let out = if entry["out"] == true { "out" } else { "in use" };
        format!("{:<6} {:<24} {out:<7} {}", text(&entry["kind"]), text(&entry["server"]), records.join(", "))
    };
    let caught_up =
        if replica["caught_up"] == true { "" } else { "; not yet caught up with the other members" };
    let header = format!(
        "replica {} at {}, {} entries{caught_up}",
        text(&replica["copy"]),
        text(&replica["me"]),
        entries(replica).len()
    );
    [header].into_iter().chain(entries(replica).iter().map(row)).collect::<Vec<_>>().join("\n")
}

/// Describes each entry in which two replicas differ, with the rule that resolves it.
fn differences(a: &Value, b: &Value) -> Vec<String> {
    let name = |e: &Value| (text(&e["kind"]).to_owned(), text(&e["server"]).to_owned());
    let index = |replica: &Value| -> std::collections::BTreeMap<(String, String), Value> {
        entries(replica).iter().map(|e| (name(e), e.clone())).collect()
    };
    let (first, second) = (index(a), index(b));
    let keys: std::collections::BTreeSet<_> = first.keys().chain(second.keys()).collect();
    let standing = |e: Option<&Value>| match e {
        None => "no entry".to_owned(),
        Some(e) => (if e["out"] == true { "out" } else { "in use" }).to_owned(),
    };
    let line = |key: &(String, String)| {
        let rule = match key.0.as_str() {
            "drain" => "the newer version of the list wins",
            _ => "the change made with knowledge of the other wins; of two concurrent changes, the ban",
        };
        let (a, b) = (standing(first.get(key)), standing(second.get(key)));
        format!("{} {}: {a} at the first node, {b} at the second: {rule}", key.0, key.1)
    };
    keys.into_iter().filter(|key| first.get(*key) != second.get(*key)).map(line).collect()
}

fn rows(fleet: &Value) -> &[Value] {
    fleet["members"].as_array().map_or(&[], Vec::as_slice)
}

/// Summarises the node's view in one line.
fn view_summary(fleet: &Value) -> String {
    match fleet["view"].as_u64() {
        None => format!("{} is not in a view and asks to join", text(&fleet["me"])),
        Some(view) => format!(
            "view {view}{} at {}, for {:.1} s; lease: {}; share of the fleet-wide limits: {:.4}",
            if fleet["rooted"] == true { "" } else { " (founded without all members)" },
            text(&fleet["me"]),
            fleet["since_ms"].as_f64().unwrap_or(0.0) / 1e3,
            if fleet["lease"] == true { "held" } else { "none" },
            fleet["share"].as_f64().unwrap_or(0.0),
        ),
    }
}

/// Formats the members as a table.
fn members(fleet: &Value) -> String {
    let row = |m: &Value| {
        let silent = m["silent_ms"].as_u64().map_or("-".to_owned(), |ms| format!("{ms} ms"));
        let member = if m["member"] == true { "in" } else { "out" };
        format!("{:<24} {:<22} {member:<4} {silent:>9}", text(&m["name"]), text(&m["address"]))
    };
    let header = format!("{:<24} {:<22} {:<4} {:>9}", "name", "address", "", "silent");
    let rows = rows(fleet).iter().map(row);
    let learned = fleet["learnt"]["servers"].as_u64();
    let learned = learned.map(|n| {
        format!("started with what {} had learned about {n} servers", text(&fleet["learnt"]["from"]))
    });
    [view_summary(fleet), header].into_iter().chain(rows).chain(learned).collect::<Vec<_>>().join("\n")
}

/// Explains why a member is in or out of the view.
fn explain(fleet: &Value, name: &str) -> Result<String, String> {
    let member = rows(fleet).iter().find(|m| m["name"] == name);
    let Some(member) = member else { return Err(format!("no member is called `{name}`")) };
    let accusers: Vec<&str> =
        member["accused_by"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let mut lines = vec![view_summary(fleet)];
    lines.push(match member["life"].as_u64() {
        Some(life) => format!("{name} is a member, with incarnation {life:08x}"),
        None => format!("{name} is no member of this view"),
    });
    lines.push(match (member["watched_here"] == true, member["silent_ms"].as_u64()) {
        (true, Some(ms)) => format!("this node watches it and has received nothing from it for {ms} ms"),
        _ => "this node does not watch it; other members do".to_owned(),
    });
    lines.push(match accusers.is_empty() {
        true => "no member accuses it of being silent, as far as this node knows".to_owned(),
        false => format!("accused of being silent by {}", accusers.join(", ")),
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
    fn a_fleet_is_printed_readably() {
        let fleet = serde_json::json!({"me": "a", "view": 3, "rooted": true, "since_ms": 1500, "lease": true, "share": 0.46,
            "members": [{"name": "a", "address": "127.0.0.1:1", "member": true, "life": 7, "watched_here": false,
            "silent_ms": null, "accused_by": []}, {"name": "b", "address": "127.0.0.1:2", "member": false, "life": null,
            "watched_here": true, "silent_ms": 2300, "accused_by": ["a"]}], "learnt": {"from": "b", "servers": 7}});
        let shown = members(&fleet);
        assert!(
            shown.starts_with("view 3 at a, for 1.5 s; lease: held; share of the fleet-wide limits: 0.4600"),
            "{shown}"
        );
        assert!(shown.lines().nth(3).unwrap().contains("out") && shown.contains("2300 ms"), "{shown}");
        assert!(shown.ends_with("\nstarted with what b had learned about 7 servers"), "{shown}");
        let explanation = explain(&fleet, "b").unwrap();
        assert!(
            explanation.contains("no member")
                && explanation.contains("for 2300 ms")
                && explanation.contains("by a"),
            "{explanation}"
        );
        assert!(explain(&fleet, "c").is_err());
    }

    #[test]
    fn replicas_and_their_differences_are_printed_readably() {
        let record = serde_json::json!({"by": "a", "life": 1, "number": 2, "out": true, "at": 0});
        let ban = serde_json::json!({"kind": "ban", "server": "s", "out": true, "words": [record]});
        let drain = serde_json::json!({"kind": "drain", "server": "t", "out": false, "words": [{"version": 7, "out": false}]});
        let replica = |entries: &[&Value]| serde_json::json!({"me": "a", "caught_up": true, "copy": "0f", "entries": entries});
        let both = replica(&[&ban, &drain]);
        let shown = state(&both);
        assert!(shown.starts_with("replica 0f at a, 2 entries\n") && shown.contains("a#2"), "{shown}");
        assert!(shown.lines().nth(2).unwrap().contains("list 7"), "{shown}");
        assert!(differences(&both, &both).is_empty());
        let lines = differences(&both, &replica(&[&drain]));
        assert_eq!(lines.len(), 1);
        assert!(lines[0].starts_with("ban s: out at the first node, no entry at the second"), "{lines:?}");
    }
}
