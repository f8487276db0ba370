//! The first view: founded by all of the roster, or, where some never come, by more than half of it.

use crate::view::{digest, quorum, MemberId};
use crate::{Incarnation, Nanos, MS};
use std::collections::{BTreeMap, BTreeSet};

/// Who is in no view says so to this many at a time ...
pub const CALLS: usize = 4;
/// ... this often.
pub const CALL_EVERY: Nanos = 250 * MS;
/// All of the roster are waited for this long; then more than half of it do.
pub const ALL_WITHIN: Nanos = 8_000 * MS;
/// Who wants to found has been the same for so long.
const STABLE: Nanos = 600 * MS;

/// What a member without a view knows of others without one.
#[derive(Clone, Debug)]
pub struct Founding {
    began: Nanos,
    others: BTreeMap<MemberId, (Nanos, Incarnation)>,
    next: usize,
    called: Option<Nanos>,
    wanted: (u64, Nanos),
    agreed: (u64, BTreeSet<MemberId>),
}

impl Founding {
    /// From now on.
    pub fn new(now: Nanos, start: usize) -> Founding {
        Founding {
            began: now,
            others: BTreeMap::new(),
            next: start,
            called: None,
            wanted: (0, now),
            agreed: (0, BTreeSet::new()),
        }
    }

    /// Another one is in no view.
    pub fn hear(&mut self, now: Nanos, member: MemberId, incarnation: Incarnation) {
        self.others.insert(member, (now, incarnation));
    }

    /// Another one is in a view.
    pub fn gone(&mut self, member: MemberId) {
        self.others.remove(&member);
    }

    /// Whom to call now.
    pub fn calls(&mut self, now: Nanos, me: MemberId, roster: usize) -> Vec<MemberId> {
        if self.called.is_some_and(|at| now.saturating_sub(at) < CALL_EVERY) {
            return Vec::new();
        }
        self.called = Some(now);
        let others = roster.saturating_sub(1).min(CALLS);
        let mut calls = Vec::new();
        while calls.len() < others {
            self.next = (self.next + 1) % roster;
            if self.next != usize::from(me) {
                calls.push(self.next as MemberId);
            }
        }
        calls
    }

    /// All that are in no view now, this one too.
    fn present(
        &self,
        now: Nanos,
        me: (MemberId, Incarnation),
        roster: usize,
    ) -> BTreeMap<MemberId, Incarnation> {
        // All are called once in that time; one call may be lost.
        let round = CALL_EVERY * roster.div_ceil(CALLS) as Nanos;
        let counts = |at: Nanos| now.saturating_sub(at) < 2 * round + 1_000 * MS;
        let others = self.others.iter().filter(|(_, (at, _))| counts(*at)).map(|(s, (_, l))| (*s, *l));
        others.chain([me]).collect()
    }

    /// Those who would found now, and their digest, where that may be.
    fn founders(
        &self,
        now: Nanos,
        me: (MemberId, Incarnation),
        roster: usize,
    ) -> Option<(BTreeMap<MemberId, Incarnation>, u64)> {
        let present = self.present(now, me, roster);
        let seats: Vec<MemberId> = (0..roster as MemberId).collect();
        let late = now.saturating_sub(self.began) >= ALL_WITHIN;
        let enough = present.len() == roster || late && quorum(&seats, |s| present.contains_key(&s));
        enough.then(|| {
            let digest = digest(&present);
            (present, digest)
        })
    }

    /// Whom to ask for a founding now, and its digest: only the first of the founders asks.
    pub fn ask(
        &mut self,
        now: Nanos,
        me: (MemberId, Incarnation),
        roster: usize,
    ) -> Option<(Vec<MemberId>, u64)> {
        let (founders, digest) = self.founders(now, me, roster)?;
        if digest != self.wanted.0 {
            self.wanted = (digest, now);
            self.agreed = (digest, BTreeSet::from([me.0]));
        }
        let first = founders.keys().next() == Some(&me.0);
        let stable = now.saturating_sub(self.wanted.1) >= STABLE;
        let missing = founders.keys().copied().filter(|s| !self.agreed.1.contains(s));
        (first && stable).then(|| (missing.take(2 * CALLS).collect(), digest))
    }

    /// Whether this one wants the same founding as the first of the founders, who asks.
    pub fn agrees(
        &self,
        now: Nanos,
        me: (MemberId, Incarnation),
        roster: usize,
        from: MemberId,
        digest: u64,
    ) -> bool {
        let founders = self.founders(now, me, roster);
        founders.is_some_and(|(f, own)| own == digest && f.keys().next() == Some(&from))
    }

    /// One agrees; gives the founders once all do.
    pub fn agreed(
        &mut self,
        now: Nanos,
        me: (MemberId, Incarnation),
        roster: usize,
        from: MemberId,
        digest: u64,
    ) -> Option<BTreeMap<MemberId, Incarnation>> {
        if self.agreed.0 == digest {
            self.agreed.1.insert(from);
        }
        let (founders, own) = self.founders(now, me, roster)?;
        let all = own == self.agreed.0 && founders.keys().all(|s| self.agreed.1.contains(s));
        all.then_some(founders)
    }
}
