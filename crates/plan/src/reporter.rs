//! Incremental reports of a forwarder within a byte rate.
//!
//! One reporter serves one connection to one planner. Each row holds the current state of a server and replaces the
//! previous one: a lost message loses nothing, and a row that exceeds the byte rate is sent later with the state of then.

use crate::wire::{ClosedServer, RateShare, Report, ServerReport};
use laurelroute_policy::interface::{Nanos, ServerObservation, ATTEMPT_OUTCOMES};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// Relative change below which a value is not reported again.
const MIN_RELATIVE_CHANGE: f64 = 0.15;
/// Change of the requests in flight, which vary all the time, below which they are not reported again.
const MIN_IN_FLIGHT_CHANGE: u32 = 4;
/// Maximum interval between two reports; an empty one shows the planner that the forwarder is alive.
pub const HEARTBEAT_INTERVAL: Nanos = 1_000_000_000;

/// The current state of a forwarder, to be reported.
#[derive(Clone, Debug, Default)]
pub struct NodeState<'a> {
    /// Every server that it uses, by name.
    pub servers: Vec<(&'a str, ServerObservation)>,
    /// Admitted requests per second, by class.
    pub classes: Vec<(&'a str, f64)>,
    /// Admitted requests per second, by tenant.
    pub tenants: Vec<(&'a str, f64)>,
    /// Drains and removals that it knows of.
    pub closed: Vec<ClosedServer>,
    /// The planner that it follows.
    pub following: &'a str,
}

/// Reports to one planner.
#[derive(Clone, Debug)]
pub struct Reporter {
    reported: BTreeMap<String, ServerReport>,
    rates: [BTreeMap<String, f64>; 2],
    closed: BTreeSet<(String, u64)>,
    following: String,
    bytes_per_second: f64,
    tokens: f64,
    refilled_at: Nanos,
    sent_at: Option<Nanos>,
}

impl Reporter {
    /// A reporter for a new connection: its first report is full, as far as the byte rate permits.
    pub fn new(now: Nanos, bytes_per_second: f64) -> Reporter {
        Reporter {
            reported: BTreeMap::new(),
            rates: Default::default(),
            closed: BTreeSet::new(),
            following: String::new(),
            bytes_per_second,
            // A restarted planner needs the full state soon.
            tokens: 2.0 * bytes_per_second,
            refilled_at: now,
            sent_at: None,
        }
    }

    /// The next report, if one is due. Rows with the largest changes come first.
    pub fn report(&mut self, now: Nanos, state: &NodeState<'_>) -> Option<Report> {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1e9;
        self.refilled_at = now;
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
            let weight =
                self.reported.get(*name).map_or(f64::INFINITY, |reported| change(reported, observed));
            if weight > 0.0 {
                rows.push((weight, server_report(name, observed)));
            }
        }
        rows.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));
        for (_, row) in rows {
            let size = row.encoded_len() as f64 + 2.0;
            if size > self.tokens {
                break;
            }
            self.tokens -= size;
            self.reported.insert(row.name.clone(), row.clone());
            report.rows.push(row);
        }
        self.drop_unused(state, &mut report);
        report.classes = self.rate_shares(0, &state.classes);
        report.tenants = self.rate_shares(1, &state.tenants);
        let unchanged = report.rows.is_empty()
            && report.dropped.is_empty()
            && report.closed.is_empty()
            && report.classes.is_empty()
            && report.tenants.is_empty()
            && self.following == state.following;
        if unchanged && self.sent_at.is_some_and(|at| now.saturating_sub(at) < HEARTBEAT_INTERVAL) {
            return None;
        }
        self.following = state.following.to_owned();
        self.sent_at = Some(now);
        Some(report)
    }

    fn drop_unused(&mut self, state: &NodeState<'_>, report: &mut Report) {
        let used: BTreeSet<&str> = state.servers.iter().map(|(name, _)| *name).collect();
        let unused: Vec<String> =
            self.reported.keys().filter(|n| !used.contains(n.as_str())).cloned().collect();
        for name in unused {
            self.reported.remove(&name);
            report.dropped.push(name);
        }
    }

    fn rate_shares(&mut self, k: usize, rates: &[(&str, f64)]) -> Vec<RateShare> {
        let mut rate_shares = Vec::new();
        for (name, rate) in rates {
            let reported = self.rates[k].get(*name).copied().unwrap_or(0.0);
            let size = name.len() as f64 + 9.0;
            let differs = (rate - reported).abs() > MIN_RELATIVE_CHANGE * reported.max(*rate)
                && rate.max(reported) > 0.01;
            if differs && size <= self.tokens {
                self.tokens -= size;
                self.rates[k].insert((*name).to_owned(), *rate);
                rate_shares.push(RateShare { name: (*name).to_owned(), rate: *rate as f32 });
            }
        }
        rate_shares
    }
}

/// Converts observations of a server to the wire format.
pub(crate) fn server_report(name: &str, observed: &ServerObservation) -> ServerReport {
    let mut outcomes = observed.outcomes.to_vec();
    let used = outcomes.iter().rposition(|&n| n > 0).map_or(0, |last| last + 1);
    outcomes.truncate(used.min(ATTEMPT_OUTCOMES));
    ServerReport {
        name: name.to_owned(),
        score: observed.score as f32,
        in_flight: observed.in_flight,
        relative_latency: observed.relative_latency as f32,
        failure_rate: observed.failure_rate.clamp(0.0, 1.0) as f32,
        ejected: observed.ejected,
        outcomes,
    }
}

/// How far a server's state has moved from the last reported one; 0 if it need not be reported.
fn change(reported: &ServerReport, now: &ServerObservation) -> f64 {
    if reported.ejected != now.ejected {
        return 1e6;
    }
    let relative = |a: f64, b: f64, floor: f64| (a - b).abs() / a.max(b).max(floor);
    let score = relative(reported.score.into(), now.score, 1.0);
    let latency = relative(reported.relative_latency.into(), now.relative_latency, 1.0);
    let failures = (f64::from(reported.failure_rate) - now.failure_rate).abs();
    let in_flight_change = reported.in_flight.abs_diff(now.in_flight);
    let in_flight = if in_flight_change < MIN_IN_FLIGHT_CHANGE {
        0.0
    } else {
        relative(reported.in_flight.into(), now.in_flight.into(), 8.0)
    };
    let largest = score.max(latency / 2.0).max(failures).max(in_flight / 3.0);
    if largest < MIN_RELATIVE_CHANGE {
        0.0
    } else {
        largest
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use laurelroute_policy::interface::Endpoint;

    fn observed(score: f64) -> ServerObservation {
        let server = Endpoint { address: [0; 4], port: 1 };
        ServerObservation {
            server,
            score,
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
    fn only_changes_are_reported_and_an_empty_report_is_sent_every_second() {
        let mut reporter = Reporter::new(0, 4_000.0);
        let now = |a: f64, b: f64| NodeState {
            servers: vec![("a", observed(a)), ("b", observed(b))],
            ..NodeState::default()
        };
        assert_eq!(names(reporter.report(0, &now(10.0, 20.0))), ["a", "b"]);
        assert_eq!(reporter.report(1, &now(10.5, 20.0)), None, "the change of a is too small");
        assert_eq!(names(reporter.report(2, &now(10.5, 40.0))), ["b"]);
        let heartbeat = reporter.report(2 + HEARTBEAT_INTERVAL, &now(10.5, 40.0));
        assert_eq!(heartbeat, Some(Report::default()));
        let only_a = NodeState { servers: vec![("a", observed(10.5))], ..NodeState::default() };
        assert_eq!(reporter.report(3 + HEARTBEAT_INTERVAL, &only_a).unwrap().dropped, ["b"]);
    }

    #[test]
    fn the_byte_rate_is_kept_and_every_server_is_reported() {
        let servers: Vec<String> = (0..2000).map(|k| format!("box-{k:05}")).collect();
        let state = NodeState {
            servers: servers.iter().map(|b| (b.as_str(), observed(5.0))).collect(),
            ..NodeState::default()
        };
        let mut reporter = Reporter::new(0, 4_000.0);
        let (mut bytes, mut reported) = (0, BTreeSet::new());
        for step in 0..=200u64 {
            if let Some(report) = reporter.report(step * 100_000_000, &state) {
                bytes += report.encoded_len();
                reported.extend(report.rows.into_iter().map(|r| r.name));
            }
            let most = 4_000.0 * (2.0 + step as f64 / 10.0) + 200.0;
            assert!((bytes as f64) < most, "{bytes} bytes after {step} steps");
        }
        assert_eq!(reported.len(), 2000);
    }
}
