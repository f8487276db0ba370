//! Messages to the planner: subscriptions, drains and removals known from a later list, and reports on servers.

use super::*;
use crate::reporter::server_report;
use crate::services::list_version::VersionDigest;
use crate::wire::{FollowedVersion, Interest, Report};
use laurelroute_policy::interface::ServerObservation;

/// Approximate maximum size of a message in bytes.
const TARGET_MESSAGE_BYTES: usize = 2_000;
/// Time for which a removed server is announced to planners with an earlier list.
const ANNOUNCE_REMOVED_FOR: Nanos = 60 * S;
/// Maximum number of drains and removals in one message.
const MAX_CLOSED_SERVERS: usize = 64;
/// Maximum number of servers that are reported on.
const MAX_REPORTED_SERVERS: usize = 512;
/// Relative change of a score below which it is not reported again, and the score in requests below which it counts
/// as none.
const MIN_RELATIVE_CHANGE: f64 = 0.3;
const MIN_SCORE: f64 = 1.0;
/// Bytes that must remain in the budget before reports are sent.
const REPORT_RESERVE_BYTES: f64 = 2_000.0;

impl Subscriber {
    pub(super) fn refill(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1e9;
        self.refilled_at = self.refilled_at.max(now);
        let settings = &self.settings;
        self.tokens = (self.tokens + elapsed * settings.bytes_per_second).min(settings.burst);
        self.receive_tokens =
            (self.receive_tokens + elapsed * settings.receive_bytes_per_second).min(settings.receive_burst);
    }

    fn charge(&mut self, size: usize) {
        self.tokens -= (size + FRAMING_BYTES) as f64;
        self.stats.sent += (size + FRAMING_BYTES) as u64;
    }

    /// Returns the next message to the planner, if any. To be called after `lookup` and several times a second,
    /// until it returns none.
    pub fn next_subscribe(&mut self, now: Nanos) -> Option<Subscribe> {
        self.planner()?;
        self.refill(now);
        if self.tokens <= 0.0 {
            return None;
        }
        let mut message = Subscribe::default();
        if std::mem::take(&mut self.send_closed) {
            message.closed = self.closed_servers(now);
        }
        let mut size = message.encoded_len();
        while size < TARGET_MESSAGE_BYTES && (size as f64) < self.tokens {
            let Some(service) = self.to_unsubscribe.pop_first() else { break };
            size += service.len() + 8;
            message.interests.push(Interest { service, unwanted: true, ..Interest::default() });
        }
        while size < TARGET_MESSAGE_BYTES && (size as f64) < self.tokens {
            let Some(service) = self.to_request.pop_front() else { break };
            let Some(held) = self.services.get(&service) else { continue };
            let interest = Interest {
                service,
                unwanted: false,
                incarnation: if held.received { held.incarnation.max(1) } else { 0 },
                version: held.version,
                source: held.list_version.number,
                epoch: held.list_version.epoch,
                digest: held.digest,
                slice: held.slice,
                slices: held.slices,
            };
            size += interest.encoded_len() + 3;
            message.interests.push(interest);
        }
        if self.send_all_named && self.to_request.is_empty() {
            (self.send_all_named, message.all) = (false, true);
        }
        if message.interests.is_empty() && message.closed.is_empty() && !message.all {
            return None;
        }
        if std::mem::take(&mut self.send_allowance) {
            message.allowance = self.receive_tokens.max(1.0) as u32;
            message.followed = self.history.iter().map(followed_version).collect();
        }
        self.charge(message.encoded_len());
        Some(message)
    }

    /// Returns the latest known drains and removals, for a planner with an earlier list.
    fn closed_servers(&mut self, now: Nanos) -> Vec<ClosedServer> {
        while self
            .removed
            .front()
            .is_some_and(|server| now.saturating_sub(server.removed_at) >= ANNOUNCE_REMOVED_FOR)
        {
            self.removed.pop_front();
        }
        let removals = self.removed.iter().rev().map(|server| ClosedServer {
            name: server.name.clone(),
            membership: server.list_version.number,
            epoch: server.list_version.epoch,
            started_ms: server.started_at / MS,
            removed: true,
        });
        let drains =
            self.services.values().flat_map(|h| h.servers.values().map(move |s| (h.list_version, &s.member)));
        let drains =
            drains.filter(|(_, m)| m.server.phase == Phase::Draining).map(|(source, m)| ClosedServer {
                name: m.name.clone(),
                membership: source.number,
                epoch: source.epoch,
                started_ms: m.server.started_at / MS,
                removed: false,
            });
        drains.chain(removals).take(MAX_CLOSED_SERVERS).collect()
    }

    /// Returns a report on servers within the remaining budget. `observed` yields the servers of the services in
    /// use.
    pub fn next_report(
        &mut self,
        now: Nanos,
        observed: &mut dyn Iterator<Item = (&str, ServerObservation)>,
    ) -> Option<Report> {
        self.planner()?;
        self.refill(now);
        let mut report = Report::default();
        let mut size = 0;
        for (name, observation) in observed {
            if self.tokens - REPORT_RESERVE_BYTES < size as f64 || size > TARGET_MESSAGE_BYTES {
                break;
            }
            let reported = self.reported.get(name).copied();
            let (reported_score, reported_ejected) = reported.unwrap_or((0.0, false));
            let largest = f64::from(reported_score).max(observation.score).max(MIN_SCORE);
            let differs =
                (f64::from(reported_score) - observation.score).abs() > MIN_RELATIVE_CHANGE * largest;
            let has_room = reported.is_some() || self.reported.len() < MAX_REPORTED_SERVERS;
            if !has_room || !(differs || reported_ejected != observation.ejected) {
                continue;
            }
            self.reported.insert(name.to_owned(), (observation.score as f32, observation.ejected));
            let row = server_report(name, &observation);
            size += row.encoded_len() + 3;
            report.rows.push(row);
        }
        if report.rows.is_empty() {
            return None;
        }
        self.charge(report.encoded_len());
        Some(report)
    }
}

fn followed_version(version_digest: &VersionDigest) -> FollowedVersion {
    FollowedVersion {
        epoch: version_digest.version.epoch,
        number: version_digest.version.number,
        digest: version_digest.digest,
    }
}
