//! What a forwarder says to its planner: what it wants, what it knows better, and what it has met.

use super::*;
use crate::reporter::seen;
use crate::services::list_version::VersionDigest;
use crate::wire::{FollowedVersion, Interest, Report};
use laurelroute_policy::interface::ServerObservation;

/// Bytes of one message, about.
const MESSAGE: usize = 2_000;
/// How long a server that has left is told to planners with an earlier list.
const TELL_LEFT: Nanos = 60 * S;
/// Words on drains and leavings in one message.
const MOST_CLOSED: usize = 64;
/// Servers that are reported on.
const MOST_REPORTED: usize = 512;
/// Accomplishments that differ by less than this part are not told anew, and less than this many requests is none.
const HARDLY: f64 = 0.3;
const LEAST: f64 = 1.0;
/// Reports wait until so many bytes are left for what counts.
const REPORTS_FROM: f64 = 2_000.0;

impl Subscriber {
    pub(super) fn refill(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.tokens_at) as f64 / 1e9;
        self.tokens_at = self.tokens_at.max(now);
        let settings = &self.settings;
        self.tokens = (self.tokens + elapsed * settings.bytes_per_second).min(settings.burst);
        self.takes = (self.takes + elapsed * settings.receive_bytes_per_second).min(settings.receive_burst);
    }

    fn say(&mut self, size: usize) {
        self.tokens -= (size + FRAMING_BYTES) as f64;
        self.stats.sent += (size + FRAMING_BYTES) as u64;
    }

    /// What to say to the planner now, if anything: to be asked after `lookup` and some times a second, until there is nothing.
    pub fn next_subscribe(&mut self, now: Nanos) -> Option<Subscribe> {
        self.planner()?;
        self.refill(now);
        if self.tokens <= 0.0 {
            return None;
        }
        let mut word = Subscribe::default();
        if std::mem::take(&mut self.say_closed) {
            word.closed = self.closed(now);
        }
        let mut size = word.encoded_len();
        while size < MESSAGE && (size as f64) < self.tokens {
            let Some(service) = self.unwanted.pop_first() else { break };
            size += service.len() + 8;
            word.interests.push(Interest { service, unwanted: true, ..Interest::default() });
        }
        while size < MESSAGE && (size as f64) < self.tokens {
            let Some(service) = self.to_ask.pop_front() else { break };
            let Some(held) = self.services.get(&service) else { continue };
            let interest = Interest {
                service,
                unwanted: false,
                incarnation: if held.known { held.life.max(1) } else { 0 },
                version: held.version,
                source: held.source.number,
                epoch: held.source.epoch,
                digest: held.digest,
                slice: held.slice,
                slices: held.slices,
            };
            size += interest.encoded_len() + 3;
            word.interests.push(interest);
        }
        if self.say_all && self.to_ask.is_empty() {
            (self.say_all, word.all) = (false, true);
        }
        if word.interests.is_empty() && word.closed.is_empty() && !word.all {
            return None;
        }
        if std::mem::take(&mut self.say_allowance) {
            word.allowance = self.takes.max(1.0) as u32;
            word.followed = self.history.iter().map(followed).collect();
        }
        self.say(word.encoded_len());
        Some(word)
    }

    /// Drains and leavings known here, the latest ones, for a planner with an earlier list.
    fn closed(&mut self, now: Nanos) -> Vec<ClosedServer> {
        while self.left.front().is_some_and(|l| now.saturating_sub(l.at) >= TELL_LEFT) {
            self.left.pop_front();
        }
        let left = self.left.iter().rev().map(|l| ClosedServer {
            name: l.name.clone(),
            membership: l.source.number,
            epoch: l.source.epoch,
            started_ms: l.started_at / MS,
            removed: true,
        });
        let drains =
            self.services.values().flat_map(|h| h.servers.values().map(move |s| (h.source, &s.member)));
        let drains =
            drains.filter(|(_, m)| m.server.phase == Phase::Draining).map(|(source, m)| ClosedServer {
                name: m.name.clone(),
                membership: source.number,
                epoch: source.epoch,
                started_ms: m.server.started_at / MS,
                removed: false,
            });
        drains.chain(left).take(MOST_CLOSED).collect()
    }

    /// A report of what was met of servers, within the bytes that are left; `observed` names those of services in use.
    pub fn next_report(
        &mut self,
        now: Nanos,
        observed: &mut dyn Iterator<Item = (&str, ServerObservation)>,
    ) -> Option<Report> {
        self.planner()?;
        self.refill(now);
        let mut report = Report::default();
        let mut size = 0;
        for (name, met) in observed {
            if self.tokens - REPORTS_FROM < size as f64 || size > MESSAGE {
                break;
            }
            let told = self.reported.get(name).copied();
            let (count, out) = told.unwrap_or((0.0, false));
            let most = f64::from(count).max(met.score).max(LEAST);
            let differs = (f64::from(count) - met.score).abs() > HARDLY * most;
            let room = told.is_some() || self.reported.len() < MOST_REPORTED;
            if !room || !(differs || out != met.ejected) {
                continue;
            }
            self.reported.insert(name.to_owned(), (met.score as f32, met.ejected));
            let row = seen(name, &met);
            size += row.encoded_len() + 3;
            report.rows.push(row);
        }
        if report.rows.is_empty() {
            return None;
        }
        self.say(report.encoded_len());
        Some(report)
    }
}

fn followed(seen: &VersionDigest) -> FollowedVersion {
    FollowedVersion { epoch: seen.version.epoch, number: seen.version.number, digest: seen.digest }
}
