//! Bootstrap of the first view: by all members of the roster, or by more than half of them if the others do not
//! appear in time.

use crate::view::{digest, quorum, MemberId};
use crate::{Incarnation, Nanos, MS};
use std::collections::{BTreeMap, BTreeSet};

/// Number of members that a member without a view calls at a time.
pub const MAX_CALLS: usize = 4;
/// Interval between the calls of a member without a view.
pub const CALL_INTERVAL: Nanos = 250 * MS;
/// How long the bootstrap waits for all members of the roster; after that, more than half are enough.
pub const FULL_ROSTER_TIMEOUT: Nanos = 8_000 * MS;
/// The set of founders has to stay the same for this long.
const STABLE_TIME: Nanos = 600 * MS;

/// The state of a member without a view.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    started_at: Nanos,
    others: BTreeMap<MemberId, (Nanos, Incarnation)>,
    next_index: usize,
    called_at: Option<Nanos>,
    candidate: (u64, Nanos),
    accepted: (u64, BTreeSet<MemberId>),
}

impl Bootstrap {
    /// Starts the bootstrap. `start` is the index of the roster at which the calls begin.
    pub fn new(now: Nanos, start: usize) -> Bootstrap {
        Bootstrap {
            started_at: now,
            others: BTreeMap::new(),
            next_index: start,
            called_at: None,
            candidate: (0, now),
            accepted: (0, BTreeSet::new()),
        }
    }

    /// Records that another member is in no view.
    pub fn record_unattached(&mut self, now: Nanos, member: MemberId, incarnation: Incarnation) {
        self.others.insert(member, (now, incarnation));
    }

    /// Records that another member is in a view.
    pub fn record_attached(&mut self, member: MemberId) {
        self.others.remove(&member);
    }

    /// The members to call now.
    pub fn calls(&mut self, now: Nanos, me: MemberId, roster: usize) -> Vec<MemberId> {
        if self.called_at.is_some_and(|at| now.saturating_sub(at) < CALL_INTERVAL) {
            return Vec::new();
        }
        self.called_at = Some(now);
        let others = roster.saturating_sub(1).min(MAX_CALLS);
        let mut calls = Vec::new();
        while calls.len() < others {
            self.next_index = (self.next_index + 1) % roster;
            if self.next_index != usize::from(me) {
                calls.push(self.next_index as MemberId);
            }
        }
        calls
    }

    /// All members that are currently in no view, this one included.
    fn unattached(
        &self,
        now: Nanos,
        me: (MemberId, Incarnation),
        roster: usize,
    ) -> BTreeMap<MemberId, Incarnation> {
        // Every member is called once within this time, and one call may be lost.
        let round_time = CALL_INTERVAL * roster.div_ceil(MAX_CALLS) as Nanos;
        let is_current = |at: Nanos| now.saturating_sub(at) < 2 * round_time + 1_000 * MS;
        let others = self.others.iter().filter(|(_, (at, _))| is_current(*at)).map(|(s, (_, l))| (*s, *l));
        others.chain([me]).collect()
    }

    /// The founders and their digest, if they are enough for a bootstrap now.
    fn founders(
        &self,
        now: Nanos,
        me: (MemberId, Incarnation),
        roster: usize,
    ) -> Option<(BTreeMap<MemberId, Incarnation>, u64)> {
        let unattached = self.unattached(now, me, roster);
        let ids: Vec<MemberId> = (0..roster as MemberId).collect();
        let timed_out = now.saturating_sub(self.started_at) >= FULL_ROSTER_TIMEOUT;
        let enough = unattached.len() == roster || timed_out && quorum(&ids, |s| unattached.contains_key(&s));
        enough.then(|| {
            let digest = digest(&unattached);
            (unattached, digest)
        })
    }

    /// The members to send a proposal to, and its digest. Only the founder with the lowest ID proposes.
    pub fn proposal(
        &mut self,
        now: Nanos,
        me: (MemberId, Incarnation),
        roster: usize,
    ) -> Option<(Vec<MemberId>, u64)> {
        let (founders, digest) = self.founders(now, me, roster)?;
        if digest != self.candidate.0 {
            self.candidate = (digest, now);
            self.accepted = (digest, BTreeSet::from([me.0]));
        }
        let first = founders.keys().next() == Some(&me.0);
        let stable = now.saturating_sub(self.candidate.1) >= STABLE_TIME;
        let missing = founders.keys().copied().filter(|s| !self.accepted.1.contains(s));
        (first && stable).then(|| (missing.take(2 * MAX_CALLS).collect(), digest))
    }

    /// Whether this member has the same founders as the proposer, which has to be the first of them.
    pub fn accepts(
        &self,
        now: Nanos,
        me: (MemberId, Incarnation),
        roster: usize,
        from: MemberId,
        digest: u64,
    ) -> bool {
        let founders = self.founders(now, me, roster);
        founders.is_some_and(|(f, own_digest)| own_digest == digest && f.keys().next() == Some(&from))
    }

    /// Records an acceptance; returns the founders once all have accepted.
    pub fn handle_accept(
        &mut self,
        now: Nanos,
        me: (MemberId, Incarnation),
        roster: usize,
        from: MemberId,
        digest: u64,
    ) -> Option<BTreeMap<MemberId, Incarnation>> {
        if self.accepted.0 == digest {
            self.accepted.1.insert(from);
        }
        let (founders, own_digest) = self.founders(now, me, roster)?;
        let all = own_digest == self.accepted.0 && founders.keys().all(|s| self.accepted.1.contains(s));
        all.then_some(founders)
    }
}
