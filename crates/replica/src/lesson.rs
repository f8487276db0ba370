//! What a member has learnt of servers, for one that starts with nothing: asked of one neighbour after another until one has
//! told all that it knows.
//!
//! A member that starts takes all servers for equal and all answer times for a guess. Its neighbours know better, and what they
//! know is seconds old at most. It is a hint, never a promise: whoever cannot get it in time goes on without it.

use crate::wire::Body;
use laurelroute_membership::{Life, Nanos, Seat, MS};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Servers in one datagram: with the longest numbers they fit.
pub const ROWS: usize = 10;
/// Datagrams that one question brings at most.
pub const PIECES: usize = 16;
/// Servers in a lesson at most.
pub const MOST_SERVERS: usize = 20_000;
/// Classes in a lesson at most.
pub const MOST_CLASSES: usize = 16;
/// A question that nobody answers is asked again after this ...
const AGAIN: Nanos = 100 * MS;
/// ... so often before another one is asked.
const TRIES: u32 = 3;
/// By then a member has learnt enough itself.
const GIVE_UP: Nanos = 2_500 * MS;

/// What is known of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its address.
    pub address: [u8; 4],
    /// Its port.
    pub port: u16,
    /// Its accomplishment, in sixteenths of a request.
    pub accomplished: u32,
    /// Its answers against the fleet's, in thousandths: 1,000 is usual.
    pub lag: u16,
    /// Its share of failures, of 65,535.
    pub faults: u16,
}

/// What is known of all servers together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usual {
    /// How much longer than usual the fleet takes, in thousandths.
    pub pressure: u16,
    /// The fleet's share of failures, of 65,535.
    pub faults: u16,
    /// The usual answer time of each class in microseconds, and the number of answers that it is known from.
    pub classes: Vec<(u32, u32)>,
}

/// All that a member has learnt, at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lesson {
    /// Tells it from other moments' at the same member.
    pub number: u32,
    /// Of all servers.
    pub usual: Usual,
    /// Of each.
    pub rows: Vec<Row>,
}

impl Lesson {
    /// Nobody can learn from it.
    pub fn empty(&self) -> bool {
        self.rows.is_empty() || self.usual.classes.iter().all(|(_, answers)| *answers == 0)
    }

    /// What answers a question for the rows from `first` on.
    pub fn pieces(&self, first: u32) -> Vec<Body> {
        let rows = &self.rows[..self.rows.len().min(MOST_SERVERS)];
        let total = if self.empty() { 0 } else { rows.len() as u32 };
        let mut pieces = Vec::new();
        if first == 0 {
            let mut usual = self.usual.clone();
            usual.classes.truncate(MOST_CLASSES);
            pieces.push(Body::Usual(self.number, total, usual));
        }
        if total > 0 {
            let from = (first as usize).min(rows.len());
            let some = rows[from..].chunks(ROWS).take(PIECES).zip((first..).step_by(ROWS));
            pieces.extend(some.map(|(rows, at)| Body::Rows(self.number, total, at, rows.to_vec())));
        }
        pieces
    }
}

/// What has come of a lesson.
#[derive(Debug, Default)]
struct Coming {
    number: u32,
    total: Option<u32>,
    usual: Option<Usual>,
    rows: BTreeMap<u32, Row>,
}

impl Coming {
    /// The first row that has not come; 0 also where what is usual has not.
    fn first_lacking(&self) -> u32 {
        if self.usual.is_none() {
            return 0;
        }
        (0..).zip(self.rows.keys()).find(|(k, at)| k != *at).map_or(self.rows.len() as u32, |(k, _)| k)
    }

    fn whole(&mut self) -> Option<Lesson> {
        let all = self.total == Some(self.rows.len() as u32);
        let usual = self.usual.take_if(|_| all)?;
        let rows = std::mem::take(&mut self.rows).into_values().collect();
        Some(Lesson { number: self.number, usual, rows })
    }
}

/// One that starts with nothing.
#[derive(Debug, Default)]
pub struct Student {
    began: Option<Nanos>,
    teacher: Option<(Seat, Life)>,
    /// Those who have not answered, or know nothing themselves.
    passed: BTreeSet<Seat>,
    asked: Nanos,
    tries: u32,
    coming: Coming,
}

/// What a student does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask this one.
    Ask(Seat, Body),
    /// Wait.
    Wait,
    /// It has all that this one knows.
    Learnt(Seat, Lesson),
    /// Nobody has anything to tell, or it has taken too long.
    Alone,
}

impl Student {
    /// Now and then, with the members of the view.
    pub fn tick(&mut self, now: Nanos, me: Seat, members: &BTreeMap<Seat, Life>) -> Step {
        if now.saturating_sub(*self.began.get_or_insert(now)) > GIVE_UP {
            return Step::Alone;
        }
        // One that has started again since is another one, who knows nothing.
        self.teacher.take_if(|(seat, life)| members.get(seat) != Some(life));
        if self.teacher.is_some() && now.saturating_sub(self.asked) < AGAIN {
            return Step::Wait;
        }
        if self.tries >= TRIES {
            self.pass();
        }
        if self.teacher.is_none() {
            // Each its own successor first: those that start together do not all ask the same one.
            let after = members.range(me + 1..).chain(members.range(..me));
            let next = after.map(|(seat, life)| (*seat, *life)).find(|(seat, _)| !self.passed.contains(seat));
            let Some(next) = next else { return if members.len() > 1 { Step::Alone } else { Step::Wait } };
            (self.teacher, self.tries, self.coming) = (Some(next), 0, Coming::default());
        }
        self.tries += 1;
        self.ask(now)
    }

    fn pass(&mut self) {
        self.passed.extend(self.teacher.take().map(|(seat, _)| seat));
    }

    fn ask(&mut self, now: Nanos) -> Step {
        self.asked = now;
        let question = Body::Learn(self.coming.number, self.coming.first_lacking());
        self.teacher.map_or(Step::Wait, |(seat, _)| Step::Ask(seat, question))
    }

    /// What a member says of its lesson.
    pub fn hear(&mut self, now: Nanos, from: Seat, life: Life, body: Body) -> Step {
        if self.teacher != Some((from, life)) {
            return Step::Wait;
        }
        let (number, total) = match body {
            Body::Usual(number, total, _) | Body::Rows(number, total, ..) => (number, total),
            _ => return Step::Wait,
        };
        if total as usize > MOST_SERVERS {
            return Step::Wait;
        }
        if total == 0 {
            self.pass();
            return Step::Wait;
        }
        if self.coming.total.is_none() || self.coming.number != number {
            // Rows of two moments do not go together.
            self.coming = Coming { number, total: Some(total), ..Coming::default() };
        }
        let mut last = false;
        match body {
            Body::Usual(_, _, usual) => self.coming.usual = Some(usual),
            Body::Rows(_, _, first, rows) => {
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
            Some(lesson) => Step::Learnt(from, lesson),
            None if last => self.ask(now),
            None => Step::Wait,
        }
    }
}
