//! Leases: how long a member may go on as one of its view without a word from the council.

use crate::view::{quorum, MemberId};
use crate::{Nanos, MS};
use std::collections::BTreeMap;

/// A view is in force at a member for so long from the moment at which a majority of its council last said so.
pub const LEASE: Nanos = 2_000 * MS;
/// What is split is left to those without a lease by this part, over the whole roster.
pub const RESERVE: f64 = 0.08;

/// What a member knows of its view being in force.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// When it was so for sure.
    from: Option<Nanos>,
    /// On the council: when each other one was asked that has since said yes.
    said: BTreeMap<MemberId, Nanos>,
    /// Shares of earlier views hold until then, when the last that may not know has lost its lease.
    settled: Nanos,
    /// Part of the whole that this member had before.
    before: Option<f64>,
}

impl Lease {
    /// For a new view that this member learns of now, where it had this share.
    pub fn anew(now: Nanos, share: Option<f64>) -> Lease {
        Lease { settled: now + LEASE, before: share, ..Lease::default() }
    }

    /// One of the council, asked at that time, has said that the view is in force.
    pub fn confirmed(&mut self, by: MemberId, asked: Nanos) {
        let at = self.said.entry(by).or_insert(asked);
        *at = asked.max(*at);
    }

    /// One of the council has it from a majority so long before it answered.
    pub fn heard(&mut self, asked: Nanos, age: Nanos) {
        let from = asked.saturating_sub(age);
        self.from = Some(self.from.map_or(from, |f| f.max(from)));
    }

    /// On the council: the latest moment at which a majority was asked that has since said yes.
    pub fn renew(&mut self, now: Nanos, me: MemberId, council: &[MemberId]) {
        let at = |s: MemberId| if s == me { Some(now) } else { self.said.get(&s).copied() };
        let mut moments: Vec<Nanos> = council.iter().filter_map(|s| at(*s)).collect();
        moments.sort_unstable();
        let enough = |t: &Nanos| quorum(council, |s| at(s).is_some_and(|a| a >= *t));
        if let Some(from) = moments.into_iter().rev().find(enough) {
            self.from = Some(self.from.map_or(from, |f| f.max(from)));
        }
    }

    /// How long ago it was so for sure, where that is not too long.
    pub fn age(&self, now: Nanos) -> Option<Nanos> {
        self.from.map(|from| now.saturating_sub(from)).filter(|age| *age < LEASE)
    }

    /// The part of the whole that a member of a view of `members` out of a roster may use.
    pub fn share(&self, now: Nanos, is_primary: bool, members: usize, roster: usize) -> f64 {
        let alone = RESERVE / roster as f64;
        if !is_primary || self.age(now).is_none() {
            return alone;
        }
        let mine = (1.0 - RESERVE) / members.max(1) as f64;
        match now < self.settled {
            true => mine.min(self.before.unwrap_or(alone)),
            false => mine,
        }
    }
}
