//! Transfer of a neighbour's learned state to a member that starts without any. Neighbours are asked one after
//! another until one has sent a complete snapshot.
//!
//! A member that has just started treats all servers as equal and has no measured latencies. Its neighbours' state is
//! at most seconds old. It is only a hint: a member that does not receive it in time goes on without it.

use crate::wire::Body;
use laurelroute_membership::{Incarnation, MemberId, Nanos, MS};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of rows in one datagram; they fit with the longest numbers.
pub const ROWS_PER_DATAGRAM: usize = 10;
/// Maximum number of row datagrams sent in reply to one request.
pub const DATAGRAMS_PER_REQUEST: usize = 16;
/// Maximum number of servers in a snapshot.
pub const MAX_SERVERS: usize = 20_000;
/// Maximum number of request classes in a snapshot.
pub const MAX_CLASSES: usize = 16;
/// A request without a reply is repeated after this time.
const RETRY_INTERVAL: Nanos = 100 * MS;
/// Number of requests before the next member is asked.
const MAX_TRIES: u32 = 3;
/// The fetch is given up after this time: the member has learned enough itself by then.
const FETCH_TIMEOUT: Nanos = 2_500 * MS;

/// The learned state of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRow {
    /// The server's IPv4 address.
    pub address: [u8; 4],
    /// The server's port.
    pub port: u16,
    /// The server's score, in sixteenths of a request.
    pub score: u32,
    /// The server's latency relative to the fleet's, in thousandths: 1,000 is average.
    pub relative_latency: u16,
    /// The server's failure rate, as a fraction of 65,535.
    pub failure_rate: u16,
}

/// The learned state of all servers together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetAverages {
    /// How much slower than usual the fleet is, in thousandths.
    pub slowdown: u16,
    /// The fleet's failure rate, as a fraction of 65,535.
    pub failure_rate: u16,
    /// The usual latency of each class in microseconds, and the number of responses that it was measured on.
    pub classes: Vec<(u32, u32)>,
}

/// A snapshot of a member's learned state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LearnedSnapshot {
    /// Distinguishes the snapshots of one member.
    pub number: u32,
    /// The state of all servers together.
    pub averages: FleetAverages,
    /// The state of each server.
    pub rows: Vec<ServerRow>,
}

impl LearnedSnapshot {
    /// Whether the snapshot contains nothing of use.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() || self.averages.classes.iter().all(|(_, answers)| *answers == 0)
    }

    /// The messages that answer a request for the rows from `first` on.
    pub fn messages(&self, first: u32) -> Vec<Body> {
        let rows = &self.rows[..self.rows.len().min(MAX_SERVERS)];
        let total = if self.is_empty() { 0 } else { rows.len() as u32 };
        let mut messages = Vec::new();
        if first == 0 {
            let mut averages = self.averages.clone();
            averages.classes.truncate(MAX_CLASSES);
            messages.push(Body::SnapshotSummary(self.number, total, averages));
        }
        if total > 0 {
            let from = (first as usize).min(rows.len());
            let chunks = rows[from..]
                .chunks(ROWS_PER_DATAGRAM)
                .take(DATAGRAMS_PER_REQUEST)
                .zip((first..).step_by(ROWS_PER_DATAGRAM));
            messages
                .extend(chunks.map(|(rows, at)| Body::SnapshotRows(self.number, total, at, rows.to_vec())));
        }
        messages
    }
}

/// The received part of a snapshot.
#[derive(Debug, Default)]
struct PartialSnapshot {
    number: u32,
    total: Option<u32>,
    averages: Option<FleetAverages>,
    rows: BTreeMap<u32, ServerRow>,
}

impl PartialSnapshot {
    /// Index of the first missing row; 0 also if the summary is missing.
    fn first_missing(&self) -> u32 {
        if self.averages.is_none() {
            return 0;
        }
        (0..).zip(self.rows.keys()).find(|(k, at)| k != *at).map_or(self.rows.len() as u32, |(k, _)| k)
    }

    fn take_complete(&mut self) -> Option<LearnedSnapshot> {
        let all = self.total == Some(self.rows.len() as u32);
        let averages = self.averages.take_if(|_| all)?;
        let rows = std::mem::take(&mut self.rows).into_values().collect();
        Some(LearnedSnapshot { number: self.number, averages, rows })
    }
}

/// Fetches a snapshot from one member after another.
#[derive(Debug, Default)]
pub struct SnapshotFetcher {
    started_at: Option<Nanos>,
    source: Option<(MemberId, Incarnation)>,
    /// Members that did not reply or have nothing learned themselves.
    skipped: BTreeSet<MemberId>,
    requested_at: Nanos,
    tries: u32,
    partial: PartialSnapshot,
}

/// The fetcher's next step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Send this request to this member.
    Request(MemberId, Body),
    /// Wait.
    Wait,
    /// The snapshot of this member is complete.
    Complete(MemberId, LearnedSnapshot),
    /// No member has a snapshot, or the time is up.
    GaveUp,
}

impl SnapshotFetcher {
    /// Advances the time, with the members of the current view; returns the next step.
    pub fn tick(&mut self, now: Nanos, me: MemberId, members: &BTreeMap<MemberId, Incarnation>) -> FetchStep {
        if now.saturating_sub(*self.started_at.get_or_insert(now)) > FETCH_TIMEOUT {
            return FetchStep::GaveUp;
        }
        // A member that has restarted has lost what it had learned.
        self.source.take_if(|(member, incarnation)| members.get(member) != Some(incarnation));
        if self.source.is_some() && now.saturating_sub(self.requested_at) < RETRY_INTERVAL {
            return FetchStep::Wait;
        }
        if self.tries >= MAX_TRIES {
            self.skip_source();
        }
        if self.source.is_none() {
            // Members are asked in order from this one's successor on, so that members that start together do not all
            // ask the same one.
            let after = members.range(me + 1..).chain(members.range(..me));
            let next = after
                .map(|(member, incarnation)| (*member, *incarnation))
                .find(|(member, _)| !self.skipped.contains(member));
            let Some(next) = next else {
                return if members.len() > 1 { FetchStep::GaveUp } else { FetchStep::Wait };
            };
            (self.source, self.tries, self.partial) = (Some(next), 0, PartialSnapshot::default());
        }
        self.tries += 1;
        self.request(now)
    }

    fn skip_source(&mut self) {
        self.skipped.extend(self.source.take().map(|(member, _)| member));
    }

    fn request(&mut self, now: Nanos) -> FetchStep {
        self.requested_at = now;
        let request = Body::SnapshotRequest(self.partial.number, self.partial.first_missing());
        self.source.map_or(FetchStep::Wait, |(member, _)| FetchStep::Request(member, request))
    }

    /// Handles a message of a snapshot from a member.
    pub fn receive(&mut self, now: Nanos, from: MemberId, incarnation: Incarnation, body: Body) -> FetchStep {
        if self.source != Some((from, incarnation)) {
            return FetchStep::Wait;
        }
        let (number, total) = match body {
            Body::SnapshotSummary(number, total, _) | Body::SnapshotRows(number, total, ..) => {
                (number, total)
            }
            _ => return FetchStep::Wait,
        };
        if total as usize > MAX_SERVERS {
            return FetchStep::Wait;
        }
        if total == 0 {
            self.skip_source();
            return FetchStep::Wait;
        }
        if self.partial.total.is_none() || self.partial.number != number {
            // Rows of two snapshots must not be mixed.
            self.partial = PartialSnapshot { number, total: Some(total), ..PartialSnapshot::default() };
        }
        let mut last = false;
        match body {
            Body::SnapshotSummary(_, _, averages) => self.partial.averages = Some(averages),
            Body::SnapshotRows(_, _, first, rows) => {
                let first_missing = self.partial.first_missing();
                let end = first.saturating_add(rows.len() as u32);
                // This is the last datagram of the reply: the next rows are requested at once.
                last = end
                    >= first_missing.saturating_add((ROWS_PER_DATAGRAM * DATAGRAMS_PER_REQUEST) as u32)
                    || end >= total;
                let indexed = (first..total).zip(rows);
                self.partial.rows.extend(indexed);
            }
            _ => {}
        }
        self.tries = 0;
        match self.partial.take_complete() {
            Some(snapshot) => FetchStep::Complete(from, snapshot),
            None if last => self.request(now),
            None => FetchStep::Wait,
        }
    }
}
