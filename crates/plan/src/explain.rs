//! Human-readable explanations of the plan for operators.

use crate::follower::MAX_ROWS;
use crate::planner::{Planner, Server, MAX_COUNTED_OVER_LIMIT, MAX_SERVERS};
use crate::wire::{ExplainRequest, Suspicion};
use laurelroute_policy::interface::{Nanos, Phase};
use std::fmt::Write;

/// Maximum number of lines about single forwarders; the rest are only counted.
const MAX_FORWARDER_LINES: usize = 40;
const OUTCOME_NAMES: [&str; 8] =
    ["served", "errors", "turned away", "timed out", "no connection", "broken", "called off", "never sent"];

impl Planner {
    /// Explains the plan for a server or a class, or summarizes it where neither is named.
    pub fn explain(&self, now: Nanos, ask: &ExplainRequest) -> String {
        if !ask.server.is_empty() {
            let id = self.by_name.get(&ask.server);
            return match id.and_then(|id| self.servers.get(id)) {
                Some(server) => self.explain_server(server),
                None if self.is_over_limit(&ask.server) => format!(
                    "box {} is over the limit of {MAX_SERVERS} and not planned for\n",
                    ask.server.chars().take(256).collect::<String>()
                ),
                None => format!("no box is named `{}`\n", ask.server.chars().take(256).collect::<String>()),
            };
        }
        if !ask.class.is_empty() {
            return match self.settings.classes.iter().position(|c| c.0 == ask.class) {
                Some(index) => self.explain_class(index),
                None => {
                    let known: Vec<_> = self.settings.classes.iter().map(|c| c.0.as_str()).collect();
                    let asked: String = ask.class.chars().take(256).collect();
                    format!("no class is named `{asked}`; there are {}\n", known.join(", "))
                }
            };
        }
        self.explain_all(now)
    }

    fn explain_all(&self, now: Nanos) -> String {
        let count = |phase| self.servers.values().filter(|s| s.member.server.phase == phase).count();
        let suspects = self.servers.values().filter(|s| s.suspicion() != Suspicion::None).count();
        let version = self.membership_version().map_or("none yet".to_owned(), |v| v.to_string());
        let cover = self.cover();
        let limit = match cover.connections {
            0 => "no limit of connections".to_owned(),
            n => format!("{n} connections each"),
        };
        let mut text = format!(
            "site {}, membership {version}, {}\nlist {}\nboxes: {} ready, {} draining, {} gone lately, {suspects} suspected\n\
             forwarders: {} connected, {} hold the plan as it is now, {} follow a planner\neach box has {} forwarders, with {limit}\n",
            self.settings.site,
            if self.settled() { "settled" } else { "still collecting reports" },
            self.list_confirmation.describe(now),
            count(Phase::Ready),
            count(Phase::Draining),
            count(Phase::Removed),
            self.connected(),
            self.up_to_date(),
            self.forwarders.values().filter(|f| !f.following.is_empty()).count(),
            cover.forwarders,
        );
        self.limits().iter().for_each(|line| text.extend([line, "\n"]));
        text
    }

    /// One line for each limit because of which servers are not planned for.
    pub fn limits(&self) -> Vec<String> {
        let mut lines = Vec::new();
        if self.over_limit() > 0 {
            let over = self.over_limit();
            let more = if over >= MAX_COUNTED_OVER_LIMIT { " or more" } else { "" };
            lines.push(format!("{over}{more} boxes over the limit of {MAX_SERVERS} are not planned for"));
        }
        if self.left_out() > 0 {
            let out = self.left_out();
            lines.push(format!(
                "{out} boxes over the {MAX_ROWS} that a forwarder takes are left out of subsets"
            ));
        }
        lines
    }

    fn explain_server(&self, server: &Server) -> String {
        let mut text = String::new();
        let listed = &server.member.server;
        let phase = match listed.phase {
            Phase::Ready => "ready",
            Phase::Draining => "draining: nothing new goes there",
            Phase::Removed => "gone: nothing new goes there",
        };
        let _ = writeln!(
            text,
            "box {}: {phase}, by version {} of the membership",
            server.member.name, server.membership_version
        );
        let zone_servers = || {
            self.servers
                .values()
                .filter(|s| s.member.server.zone == listed.zone && s.member.server.phase == Phase::Ready)
        };
        let better = zone_servers().filter(|s| s.score > server.score).count();
        let _ = writeln!(
            text,
            "accomplishment {:.1} requests over {} forwarders, place {} of {} in zone {}",
            server.score,
            server.reporters.len(),
            better + 1,
            zone_servers().count(),
            listed.zone
        );
        let reporters = server.reporters.len().max(1) as f64;
        let _ = writeln!(
            text,
            "in flight {}, answer times {:.2} of the usual, failures {:.2}, out of use at {} forwarders",
            server.in_flight,
            server.latency_sum / reporters,
            server.failure_rate_sum / reporters,
            server.ejected
        );
        let outcomes = OUTCOME_NAMES.iter().zip(server.outcomes).filter(|(_, n)| *n > 0);
        let outcomes: Vec<_> = outcomes.map(|(name, n)| format!("{n} {name}")).collect();
        let _ = writeln!(
            text,
            "endings: {}",
            if outcomes.is_empty() { "none".into() } else { outcomes.join(", ") }
        );
        let _ = writeln!(
            text,
            "{}",
            match server.suspicion() {
                Suspicion::None => "not suspected",
                Suspicion::Refuses => "suspected: it takes no connections at several forwarders",
                Suspicion::Fails => "suspected: its share of failures is far above the fleet's",
                Suspicion::Slow => "suspected: its answers take far longer than the fleet's",
            }
        );
        if let Some(budget) = server.slow_start_budget() {
            let _ = writeln!(
                text,
                "cold: {budget:.2} requests a second for all, split among {} planners and {} forwarders",
                self.settings.planners,
                server.holders.len()
            );
        }
        let holders: Vec<_> = server
            .holders
            .iter()
            .filter_map(|f| self.forwarders.get(f))
            .map(|f| f.name.as_str())
            .take(MAX_FORWARDER_LINES)
            .collect();
        let _ = writeln!(text, "in the subsets of {}: {}", server.holders.len(), holders.join(", "));
        text
    }

    fn explain_class(&self, index: usize) -> String {
        let (name, limit) = &self.settings.classes[index];
        let all = self.demand[0].get(&index).copied().unwrap_or(0.0);
        let limit = limit.map_or("no limit".to_owned(), |l| format!("a limit of {l:.1}"));
        let mut text = format!("class {name}: {all:.1} requests a second let in, {limit}\n");
        let mut demands: Vec<_> =
            self.forwarders.values().filter_map(|f| Some((f.demand[0].get(&index)?, f))).collect();
        demands.sort_by(|a, b| b.0.total_cmp(a.0));
        for (rate, forwarder) in demands.iter().take(MAX_FORWARDER_LINES) {
            let following = match forwarder.following.as_str() {
                "" => "nobody",
                name => name,
            };
            let _ = writeln!(text, "  {}: {rate:.1} a second, follows {following}", forwarder.name);
        }
        if demands.len() > MAX_FORWARDER_LINES {
            let _ = writeln!(text, "  and {} more", demands.len() - MAX_FORWARDER_LINES);
        }
        text
    }
}
