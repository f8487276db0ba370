//! What a forwarder has met, as changes within a budget of bytes.
//!
//! One reporter serves one connection to one planner. Each row says how a box stands now and replaces the one before:
//! nothing is lost with a message, and what had no room is said later as it then stands.

use crate::wire::{ClosedServer, RateShare, Report, ServerReport};
use laurelroute_policy::interface::{Nanos, ServerObservation, ATTEMPT_OUTCOMES};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// Figures that differ by less than this part are not told anew ...
const HARDLY: f64 = 0.15;
/// ... and counts in flight, which change all the time, by less than this.
const FEW: u32 = 4;
/// Something is said at least this often, so that a planner knows that the forwarder is there.
pub const HEARTBEAT_INTERVAL: Nanos = 1_000_000_000;

/// What a forwarder knows now, to be reported.
#[derive(Clone, Debug, Default)]
pub struct NodeState<'a> {
    /// Every box that it uses, by name.
    pub servers: Vec<(&'a str, ServerObservation)>,
    /// Requests a second let in, by class.
    pub classes: Vec<(&'a str, f64)>,
    /// The same by tenant.
    pub tenants: Vec<(&'a str, f64)>,
    /// Drains and leavings that it knows of by itself.
    pub closed: Vec<ClosedServer>,
    /// The planner that it follows.
    pub following: &'a str,
}

/// Reports to one planner.
#[derive(Clone, Debug)]
pub struct Reporter {
    told: BTreeMap<String, ServerReport>,
    rates: [BTreeMap<String, f64>; 2],
    closed: BTreeSet<(String, u64)>,
    following: String,
    bytes_per_second: f64,
    tokens: f64,
    at: Nanos,
    said_at: Option<Nanos>,
}

impl Reporter {
    /// A reporter on a fresh connection: its first report is whole, as far as the budget goes.
    pub fn new(now: Nanos, bytes_per_second: f64) -> Reporter {
        Reporter {
            told: BTreeMap::new(),
            rates: Default::default(),
            closed: BTreeSet::new(),
            following: String::new(),
            bytes_per_second,
            // A planner that starts from nothing needs the whole soon.
            tokens: 2.0 * bytes_per_second,
            at: now,
            said_at: None,
        }
    }

    /// The next report, if there is anything to say. What has changed most comes first.
    pub fn report(&mut self, now: Nanos, state: &NodeState<'_>) -> Option<Report> {
        let elapsed = now.saturating_sub(self.at) as f64 / 1e9;
        self.at = now;
        self.tokens = (self.tokens + elapsed * self.bytes_per_second).min(2.0 * self.bytes_per_second);
        let mut report = Report { following: state.following.to_owned(), ..Report::default() };
        for closed in &state.closed {
            if self.closed.insert((closed.name.clone(), closed.membership)) {
                report.closed.push(closed.clone());
            }
        }
        if state.closed.len() * 2 < self.closed.len() {
            self.closed = state.closed.iter().map(|c| (c.name.clone(), c.membership)).collect();
        }
        let mut rows: Vec<(f64, ServerReport)> = Vec::new();
        for (name, observed) in &state.servers {
            let weight = self.told.get(*name).map_or(f64::INFINITY, |told| change(told, observed));
            if weight > 0.0 {
                rows.push((weight, seen(name, observed)));
            }
        }
        rows.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));
        for (_, row) in rows {
            let size = row.encoded_len() as f64 + 2.0;
            if size > self.tokens {
                break;
            }
            self.tokens -= size;
            self.told.insert(row.name.clone(), row.clone());
            report.rows.push(row);
        }
        self.drop_unused(state, &mut report);
        report.classes = self.portions(0, &state.classes);
        report.tenants = self.portions(1, &state.tenants);
        let quiet = report.rows.is_empty()
            && report.dropped.is_empty()
            && report.closed.is_empty()
            && report.classes.is_empty()
            && report.tenants.is_empty()
            && self.following == state.following;
        if quiet && self.said_at.is_some_and(|at| now.saturating_sub(at) < HEARTBEAT_INTERVAL) {
            return None;
        }
        self.following = state.following.to_owned();
        self.said_at = Some(now);
        Some(report)
    }

    fn drop_unused(&mut self, state: &NodeState<'_>, report: &mut Report) {
        let used: BTreeSet<&str> = state.servers.iter().map(|(name, _)| *name).collect();
        let unused: Vec<String> = self.told.keys().filter(|n| !used.contains(n.as_str())).cloned().collect();
        for name in unused {
            self.told.remove(&name);
            report.dropped.push(name);
        }
    }

    fn portions(&mut self, k: usize, rates: &[(&str, f64)]) -> Vec<RateShare> {
        let mut portions = Vec::new();
        for (name, rate) in rates {
            let told = self.rates[k].get(*name).copied().unwrap_or(0.0);
            let size = name.len() as f64 + 9.0;
            let differs = (rate - told).abs() > HARDLY * told.max(*rate) && rate.max(told) > 0.01;
            if differs && size <= self.tokens {
                self.tokens -= size;
                self.rates[k].insert((*name).to_owned(), *rate);
                portions.push(RateShare { name: (*name).to_owned(), rate: *rate as f32 });
            }
        }
        portions
    }
}

/// What was met of a box, in the messages' form.
pub(crate) fn seen(name: &str, observed: &ServerObservation) -> ServerReport {
    let mut endings = observed.outcomes.to_vec();
    let used = endings.iter().rposition(|&n| n > 0).map_or(0, |last| last + 1);
    endings.truncate(used.min(ATTEMPT_OUTCOMES));
    ServerReport {
        name: name.to_owned(),
        score: observed.score as f32,
        in_flight: observed.in_flight,
        relative_latency: observed.relative_latency as f32,
        failure_rate: observed.failure_rate.clamp(0.0, 1.0) as f32,
        ejected: observed.ejected,
        outcomes: endings,
    }
}

/// How far a box has moved from what was told of it; 0 where that is not worth a row.
fn change(told: &ServerReport, now: &ServerObservation) -> f64 {
    if told.ejected != now.ejected {
        return 1e6;
    }
    let part = |a: f64, b: f64, least: f64| (a - b).abs() / a.max(b).max(least);
    let counts = part(told.score.into(), now.score, 1.0);
    let lag = part(told.relative_latency.into(), now.relative_latency, 1.0);
    let faults = (f64::from(told.failure_rate) - now.failure_rate).abs();
    let flights = told.in_flight.abs_diff(now.in_flight);
    let flight = if flights < FEW { 0.0 } else { part(told.in_flight.into(), now.in_flight.into(), 8.0) };
    let most = counts.max(lag / 2.0).max(faults).max(flight / 3.0);
    if most < HARDLY {
        0.0
    } else {
        most
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use laurelroute_policy::interface::Endpoint;

    fn observed(accomplished: f64) -> ServerObservation {
        let server = Endpoint { address: [0; 4], port: 1 };
        ServerObservation {
            server,
            score: accomplished,
            in_flight: 0,
            relative_latency: 1.0,
            failure_rate: 0.0,
            ejected: false,
            outcomes: [3, 0, 0, 0, 0, 0, 0, 0],
        }
    }

    fn names(report: Option<Report>) -> Vec<String> {
        report.map(|r| r.rows.into_iter().map(|r| r.name).collect()).unwrap_or_default()
    }

    #[test]
    fn only_what_changed_is_told_and_something_is_said_every_second() {
        let mut reporter = Reporter::new(0, 4_000.0);
        let now = |a: f64, b: f64| NodeState {
            servers: vec![("a", observed(a)), ("b", observed(b))],
            ..NodeState::default()
        };
        assert_eq!(names(reporter.report(0, &now(10.0, 20.0))), ["a", "b"]);
        assert_eq!(reporter.report(1, &now(10.5, 20.0)), None, "a hardly differs");
        assert_eq!(names(reporter.report(2, &now(10.5, 40.0))), ["b"]);
        let beat = reporter.report(2 + HEARTBEAT_INTERVAL, &now(10.5, 40.0));
        assert_eq!(beat, Some(Report::default()));
        let only_a = NodeState { servers: vec![("a", observed(10.5))], ..NodeState::default() };
        assert_eq!(reporter.report(3 + HEARTBEAT_INTERVAL, &only_a).unwrap().dropped, ["b"]);
    }

    #[test]
    fn the_budget_holds_and_nothing_is_lost() {
        let boxes: Vec<String> = (0..2000).map(|k| format!("box-{k:05}")).collect();
        let state = NodeState {
            servers: boxes.iter().map(|b| (b.as_str(), observed(5.0))).collect(),
            ..NodeState::default()
        };
        let mut reporter = Reporter::new(0, 4_000.0);
        let (mut bytes, mut told) = (0, BTreeSet::new());
        for step in 0..=200u64 {
            if let Some(report) = reporter.report(step * 100_000_000, &state) {
                bytes += report.encoded_len();
                told.extend(report.rows.into_iter().map(|r| r.name));
            }
            let most = 4_000.0 * (2.0 + step as f64 / 10.0) + 200.0;
            assert!((bytes as f64) < most, "{bytes} bytes after {step} steps");
        }
        assert_eq!(told.len(), 2000);
    }
}
