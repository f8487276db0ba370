//! What a member has learnt of servers, for one that starts with nothing: asked of one neighbour after another until one has
//! told all that it knows.
//!
//! A member that starts takes all servers for equal and all answer times for a guess. Its neighbours know better, and what they
//! know is seconds old at most. It is a hint, never a promise: whoever cannot get it in time goes on without it.

use crate::wire::Body;
use laurelroute_membership::{Incarnation, MemberId, Nanos, MS};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Servers in one datagram: with the longest numbers they fit.
pub const ROWS: usize = 10;
/// Datagrams that one question brings at most.
pub const PIECES: usize = 16;
/// Servers in a snapshot at most.
pub const MAX_SERVERS: usize = 20_000;
/// Classes in a snapshot at most.
pub const MAX_CLASSES: usize = 16;
/// A question that nobody answers is asked again after this ...
const AGAIN: Nanos = 100 * MS;
/// ... so often before another one is asked.
const TRIES: u32 = 3;
/// By then a member has learnt enough itself.
const GIVE_UP: Nanos = 2_500 * MS;

/// What is known of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRow {
    /// Its address.
    pub address: [u8; 4],
    /// Its port.
    pub port: u16,
    /// Its accomplishment, in sixteenths of a request.
    pub score: u32,
    /// Its answers against the fleet's, in thousandths: 1,000 is usual.
    pub relative_latency: u16,
    /// Its share of failures, of 65,535.
    pub failure_rate: u16,
}

/// What is known of all servers together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetAverages {
    /// How much longer than usual the fleet takes, in thousandths.
    pub slowdown: u16,
    /// The fleet's share of failures, of 65,535.
    pub failure_rate: u16,
    /// The usual answer time of each class in microseconds, and the number of answers that it is known from.
    pub classes: Vec<(u32, u32)>,
}

/// All that a member has learnt, at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LearnedSnapshot {
    /// Tells it from other moments' at the same member.
    pub number: u32,
    /// Of all servers.
    pub averages: FleetAverages,
    /// Of each.
    pub rows: Vec<ServerRow>,
}

impl LearnedSnapshot {
    /// Nobody can learn from it.
    pub fn empty(&self) -> bool {
        self.rows.is_empty() || self.averages.classes.iter().all(|(_, answers)| *answers == 0)
    }

    /// What answers a question for the rows from `first` on.
    pub fn pieces(&self, first: u32) -> Vec<Body> {
        let rows = &self.rows[..self.rows.len().min(MAX_SERVERS)];
        let total = if self.empty() { 0 } else { rows.len() as u32 };
        let mut pieces = Vec::new();
        if first == 0 {
            let mut averages = self.averages.clone();
            averages.classes.truncate(MAX_CLASSES);
            pieces.push(Body::SnapshotSummary(self.number, total, averages));
        }
        if total > 0 {
            let from = (first as usize).min(rows.len());
            let some = rows[from..].chunks(ROWS).take(PIECES).zip((first..).step_by(ROWS));
            pieces.extend(some.map(|(rows, at)| Body::SnapshotRows(self.number, total, at, rows.to_vec())));
        }
        pieces
    }
}

/// What has come of a snapshot.
#[derive(Debug, Default)]
struct Coming {
    number: u32,
    total: Option<u32>,
    averages: Option<FleetAverages>,
    rows: BTreeMap<u32, ServerRow>,
}

impl Coming {
    /// The first row that has not come; 0 also where what is usual has not.
    fn first_lacking(&self) -> u32 {
        if self.averages.is_none() {
            return 0;
        }
        (0..).zip(self.rows.keys()).find(|(k, at)| k != *at).map_or(self.rows.len() as u32, |(k, _)| k)
    }

    fn whole(&mut self) -> Option<LearnedSnapshot> {
        let all = self.total == Some(self.rows.len() as u32);
        let averages = self.averages.take_if(|_| all)?;
        let rows = std::mem::take(&mut self.rows).into_values().collect();
        Some(LearnedSnapshot { number: self.number, averages, rows })
    }
}

/// One that starts with nothing.
#[derive(Debug, Default)]
pub struct SnapshotFetcher {
    began: Option<Nanos>,
    teacher: Option<(MemberId, Incarnation)>,
    /// Those who have not answered, or know nothing themselves.
    passed: BTreeSet<MemberId>,
    asked: Nanos,
    tries: u32,
    coming: Coming,
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
    /// Now and then, with the members of the view.
    pub fn tick(&mut self, now: Nanos, me: MemberId, members: &BTreeMap<MemberId, Incarnation>) -> FetchStep {
        if now.saturating_sub(*self.began.get_or_insert(now)) > GIVE_UP {
            return FetchStep::GaveUp;
        }
        // One that has started again since is another one, who knows nothing.
        self.teacher.take_if(|(member, incarnation)| members.get(member) != Some(incarnation));
        if self.teacher.is_some() && now.saturating_sub(self.asked) < AGAIN {
            return FetchStep::Wait;
        }
        if self.tries >= TRIES {
            self.pass();
        }
        if self.teacher.is_none() {
            // Each its own successor first: those that start together do not all ask the same one.
            let after = members.range(me + 1..).chain(members.range(..me));
            let next = after
                .map(|(member, incarnation)| (*member, *incarnation))
                .find(|(member, _)| !self.passed.contains(member));
            let Some(next) = next else {
                return if members.len() > 1 { FetchStep::GaveUp } else { FetchStep::Wait };
            };
            (self.teacher, self.tries, self.coming) = (Some(next), 0, Coming::default());
        }
        self.tries += 1;
        self.ask(now)
    }

    fn pass(&mut self) {
        self.passed.extend(self.teacher.take().map(|(member, _)| member));
    }

    fn ask(&mut self, now: Nanos) -> FetchStep {
        self.asked = now;
        let question = Body::SnapshotRequest(self.coming.number, self.coming.first_lacking());
        self.teacher.map_or(FetchStep::Wait, |(member, _)| FetchStep::Request(member, question))
    }

    /// What a member says of its snapshot.
    pub fn hear(&mut self, now: Nanos, from: MemberId, incarnation: Incarnation, body: Body) -> FetchStep {
        if self.teacher != Some((from, incarnation)) {
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
            self.pass();
            return FetchStep::Wait;
        }
        if self.coming.total.is_none() || self.coming.number != number {
            // Rows of two moments do not go together.
            self.coming = Coming { number, total: Some(total), ..Coming::default() };
        }
        let mut last = false;
        match body {
            Body::SnapshotSummary(_, _, averages) => self.coming.averages = Some(averages),
            Body::SnapshotRows(_, _, first, rows) => {
                let asked = self.coming.first_lacking();
                let end = first.saturating_add(rows.len() as u32);
                // The window of a question ends here: the next one, at once.
                last = end >= asked.saturating_add((ROWS * PIECES) as u32) || end >= total;
                let within = (first..total).zip(rows);
                self.coming.rows.extend(within);
            }
            _ => {}
        }
        self.tries = 0;
        match self.coming.whole() {
            Some(snapshot) => FetchStep::Complete(from, snapshot),
            None if last => self.ask(now),
            None => FetchStep::Wait,
        }
    }
}
