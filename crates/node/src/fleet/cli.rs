//! `laurelroute fleet`: what a running member says of its fleet, for people.

use crate::staff::{answered, Call, CallError};
use serde_json::Value;
use std::net::SocketAddr;

/// What is asked.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum FleetCall {
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
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum FleetFailure {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("the node's answer cannot be read: {0}")]
    Odd(#[from] serde_json::Error),
}

pub(crate) fn run(call: &FleetCall, at: Option<SocketAddr>) -> Result<(), FleetFailure> {
    let said = answered(&Call::Fleet, at)?;
    let fleet: Value = serde_json::from_str(&said)?;
    match call {
        FleetCall::Members { json: true } => println!("{said}"),
        FleetCall::Members { json: false } => println!("{}", members(&fleet)),
        FleetCall::Explain { name } => println!("{}", explain(&fleet, name).map_err(CallError::No)?),
    }
    Ok(())
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
    [standing(fleet), head].into_iter().chain(rows).collect::<Vec<_>>().join("\n")
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
            "watched_here": true, "silent_ms": 2300, "accused_by": ["a"]}]});
        let shown = members(&fleet);
        assert!(
            shown.starts_with("view 3 at a, for 1.5 s; lease: held; part of what is shared: 0.4600"),
            "{shown}"
        );
        assert!(shown.lines().nth(3).unwrap().contains("out") && shown.contains("2300 ms"), "{shown}");
        let why = explain(&fleet, "b").unwrap();
        assert!(why.contains("no member") && why.contains("for 2300 ms") && why.contains("by a"), "{why}");
        assert!(explain(&fleet, "c").is_err());
    }
}
