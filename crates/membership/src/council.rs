//! The council decides the next view. Each view has one decision, by single-decree Paxos (Lamport, "Paxos Made
//! Simple", 2001) among the members of the current view that are on its council.

use crate::view::{quorum, Cut, MemberId, MemberSet, Observers, View, MAX_JOINS};
use crate::wire::{Accepted, Body};
use crate::{Incarnation, Nanos, MS};
use std::collections::{BTreeMap, BTreeSet};

/// How long a suspicion or a join request counts.
const REPORT_TTL: Nanos = 1_000 * MS;
/// A cut has to stay the same for this long before it is proposed.
const STABLE_TIME: Nanos = 300 * MS;
/// The longest wait for a stable cut while some members are suspected by too few observers.
const MAX_SETTLE_TIME: Nanos = 1_200 * MS;
/// A round without a decision is retried after this time.
const ROUND_TIMEOUT: Nanos = 600 * MS;

fn is_current(now: Nanos, at: Nanos) -> bool {
    now.saturating_sub(at) < REPORT_TTL
}

#[derive(Debug)]
enum Proposal {
    Preparing { promises: BTreeMap<MemberId, (Accepted, MemberSet)> },
    Accepting { cut: Cut, accepted_by: BTreeSet<MemberId> },
}

/// A council member's state for the decision on the next view.
#[derive(Debug)]
pub struct Council {
    me: MemberId,
    council: Vec<MemberId>,
    observers: Observers,
    members: BTreeMap<MemberId, Incarnation>,
    suspicions: BTreeMap<MemberId, (Nanos, Vec<MemberId>)>,
    join_requests: BTreeMap<MemberId, (Nanos, Incarnation)>,
    /// The cut to propose, since when it has been the same, and since when there has been anything to change.
    pending_cut: (Cut, Nanos, Nanos),
    promised: u32,
    accepted: Accepted,
    proposal: Option<(u32, Nanos, Proposal)>,
    /// Rounds without a decision; after the first, the retry timeout is doubled.
    failed_rounds: u32,
}

/// A council message with its destination, or the decision.
pub enum Message {
    /// To one council member.
    Unicast(MemberId, Body),
    /// To all other council members.
    Council(Body),
    /// The cut that leads to the next view has been decided.
    Decided(Cut),
}

impl Council {
    /// Creates the council state of `me` for a view in which it is on the council.
    pub fn new(me: MemberId, view: &View, council: Vec<MemberId>, observers: Observers) -> Council {
        Council {
            me,
            council,
            observers,
            members: view.members.clone(),
            suspicions: BTreeMap::new(),
            join_requests: BTreeMap::new(),
            pending_cut: (Cut::default(), 0, 0),
            promised: 0,
            accepted: None,
            proposal: None,
            failed_rounds: 0,
        }
    }

    /// The members of the council.
    pub fn council(&self) -> &[MemberId] {
        &self.council
    }

    /// Whether this member has accepted nothing that would end the current view.
    pub fn in_force(&self) -> bool {
        self.accepted.is_none()
    }

    /// Records all current suspicions of an observer, in place of its earlier ones.
    pub fn record_suspicions(&mut self, now: Nanos, by: MemberId, suspected: Vec<MemberId>) {
        self.suspicions.insert(by, (now, suspected));
    }

    /// Records that an incarnation asks to join.
    pub fn request_join(&mut self, now: Nanos, member: MemberId, incarnation: Incarnation) {
        if self.members.get(&member) != Some(&incarnation) {
            self.join_requests.insert(member, (now, incarnation));
        }
    }

    /// The observers that currently suspect a member.
    pub fn suspected_by(&self, now: Nanos, member: MemberId) -> BTreeSet<MemberId> {
        self.current_suspicions(now)
            .filter(|(_, suspected)| suspected.contains(&member))
            .map(|(by, _)| by)
            .collect()
    }

    /// The current suspicions of each observer.
    fn current_suspicions(&self, now: Nanos) -> impl Iterator<Item = (MemberId, &[MemberId])> {
        let current = self.suspicions.iter().filter(move |(_, (at, _))| is_current(now, *at));
        current.map(|(by, (_, suspected))| (*by, suspected.as_slice()))
    }

    /// The members to remove, and whether others are suspected by too few observers. A member is removed if at least
    /// four fifths of its observers suspect it or are to be removed themselves, and at least one that suspects it
    /// stays.
    fn removals(&self, now: Nanos, heard_recently: &impl Fn(MemberId) -> bool) -> (BTreeSet<MemberId>, bool) {
        let mut suspecting: BTreeMap<MemberId, BTreeSet<MemberId>> = BTreeMap::new();
        for (by, suspected) in self.current_suspicions(now).filter(|(by, _)| self.members.contains_key(by)) {
            for member in suspected.iter().filter(|s| self.members.contains_key(*s) && !heard_recently(**s)) {
                suspecting.entry(*member).or_default().insert(by);
            }
        }
        let suspected = suspecting.len();
        let mut removed: BTreeSet<MemberId> = suspecting.keys().copied().filter(|s| *s != self.me).collect();
        loop {
            let stays = |member: &MemberId| {
                let by = &suspecting[member];
                let observers = &self.observers[member];
                let suspecting_count =
                    observers.iter().filter(|o| by.contains(o) || removed.contains(o)).count();
                let suspected_by_remaining = by.iter().any(|o| !removed.contains(o));
                5 * suspecting_count < 4 * observers.len() || !suspected_by_remaining
            };
            let kept: Vec<MemberId> = removed.iter().copied().filter(stays).collect();
            if kept.is_empty() {
                break;
            }
            removed.retain(|s| !kept.contains(s));
        }
        let unsettled = removed.len() < suspected;
        (removed, unsettled)
    }

    fn next_cut(&self, now: Nanos, heard_recently: &impl Fn(MemberId) -> bool) -> (Cut, bool) {
        let (removed, unsettled) = self.removals(now, heard_recently);
        let current = |(member, (at, incarnation)): (&MemberId, &(Nanos, Incarnation))| {
            is_current(now, *at).then_some((*member, incarnation.to_le_bytes()))
        };
        let joined: Vec<_> = self.join_requests.iter().filter_map(current).take(MAX_JOINS).collect();
        let joins = |member: &MemberId| joined.iter().any(|(s, _)| s == member);
        (Cut { removed: removed.into_iter().filter(|s| !joins(s)).collect(), joined }, unsettled)
    }

    /// Starts a Paxos round if one is due. `heard_recently` tells whether this member has itself heard from another one
    /// recently.
    pub fn tick(&mut self, now: Nanos, heard_recently: impl Fn(MemberId) -> bool) -> Vec<Message> {
        let (cut, unsettled) = self.next_cut(now, &heard_recently);
        if cut != self.pending_cut.0 {
            let since = if self.pending_cut.0.is_empty() { now } else { self.pending_cut.2 };
            self.pending_cut = (cut, now, since);
        }
        let (cut, unchanged_since, pending_since) = &self.pending_cut;
        let settled = now.saturating_sub(*unchanged_since) >= STABLE_TIME
            && (!unsettled || now.saturating_sub(*pending_since) >= MAX_SETTLE_TIME)
            || now.saturating_sub(*pending_since) >= 2 * MAX_SETTLE_TIME;
        let has_proposal = !cut.is_empty() && settled || self.accepted.is_some();
        let is_leader = self.council.iter().find(|s| **s == self.me || heard_recently(**s)) == Some(&self.me);
        let timeout = ROUND_TIMEOUT << self.failed_rounds.min(1);
        let may_start = self.proposal.as_ref().is_none_or(|(_, at, _)| now.saturating_sub(*at) > timeout);
        if !(has_proposal && is_leader && may_start) {
            return Vec::new();
        }
        self.prepare(now)
    }

    fn prepare(&mut self, now: Nanos) -> Vec<Message> {
        if self.proposal.is_some() {
            self.failed_rounds += 1;
        }
        let index = self.council.iter().position(|s| *s == self.me).unwrap_or(0) as u32;
        let ballot = ((self.promised >> 8) + 1) << 8 | index;
        self.proposal = Some((ballot, now, Proposal::Preparing { promises: BTreeMap::new() }));
        vec![Message::Council(Body::Prepare(ballot)), Message::Unicast(self.me, Body::Prepare(ballot))]
    }

    /// Handles a message from a council member. `heard_recently` is as in [`Council::tick`].
    pub fn receive(
        &mut self,
        now: Nanos,
        from: MemberId,
        body: Body,
        heard_recently: impl Fn(MemberId) -> bool,
    ) -> Vec<Message> {
        if !self.council.contains(&from) {
            return Vec::new();
        }
        match body {
            Body::Prepare(ballot) if ballot > self.promised => {
                self.promised = ballot;
                let heard =
                    self.members.keys().copied().filter(|s| heard_recently(*s) || *s == self.me).collect();
                vec![Message::Unicast(from, Body::Promise(ballot, self.accepted.clone(), heard))]
            }
            Body::Accept(ballot, cut, dictated) if ballot >= self.promised => {
                // A member that is to be removed has been heard from after all.
                if !dictated && cut.removed.iter().any(|s| heard_recently(s) || s == self.me) {
                    return vec![Message::Unicast(from, Body::Nack(ballot))];
                }
                self.promised = ballot;
                self.accepted = Some((ballot, cut));
                vec![Message::Unicast(from, Body::Accepted(ballot))]
            }
            Body::Prepare(_) | Body::Accept(..) => vec![Message::Unicast(from, Body::Nack(self.promised))],
            Body::Promise(ballot, accepted, heard) => self.handle_promise(now, from, ballot, accepted, heard),
            Body::Accepted(ballot) => self.handle_accepted(from, ballot),
            Body::Nack(ballot) => {
                if self.proposal.as_ref().is_some_and(|(own, ..)| ballot >= *own) {
                    self.promised = self.promised.max(ballot);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn handle_promise(
        &mut self,
        now: Nanos,
        from: MemberId,
        ballot: u32,
        accepted: Accepted,
        heard: MemberSet,
    ) -> Vec<Message> {
        let Some((own, _, Proposal::Preparing { promises })) = &mut self.proposal else { return Vec::new() };
        if ballot != *own {
            return Vec::new();
        }
        promises.insert(from, (accepted, heard));
        if !quorum(&self.council, |s| promises.contains_key(&s)) {
            return Vec::new();
        }
        // A member that promised and has accepted nothing will never accept anything below this ballot. If the
        // remaining members are no quorum, nothing can have been decided, and an earlier cut need not be proposed
        // again.
        let may_have_accepted = |s: MemberId| promises.get(&s).is_none_or(|(accepted, _)| accepted.is_some());
        let may_be_decided = quorum(&self.council, may_have_accepted);
        let accepted = || promises.values().filter_map(|(a, _)| a.clone());
        let any_accepted = accepted().next().is_some();
        let earlier = accepted().max_by_key(|(ballot, _)| *ballot).filter(|_| may_be_decided);
        let dictated = earlier.is_some();
        let cut = earlier.map_or_else(
            || {
                let mut cut = self.pending_cut.0.clone();
                // A member that any of them has heard from recently is alive.
                let is_alive = |member: MemberId| promises.values().any(|(_, heard)| heard.contains(member));
                cut.removed = cut.removed.iter().filter(|s| !is_alive(*s)).collect();
                cut
            },
            |(_, cut)| cut,
        );
        // A member that has accepted a cut no longer confirms the current view, and only a further view ends that. So
        // an empty cut is proposed as well.
        if cut.is_empty() && !any_accepted {
            self.proposal = None;
            return Vec::new();
        }
        self.proposal =
            Some((ballot, now, Proposal::Accepting { cut: cut.clone(), accepted_by: BTreeSet::new() }));
        let accept = Body::Accept(ballot, cut, dictated);
        vec![Message::Council(accept.clone()), Message::Unicast(self.me, accept)]
    }

    fn handle_accepted(&mut self, from: MemberId, ballot: u32) -> Vec<Message> {
        let Some((own, _, Proposal::Accepting { cut, accepted_by })) = &mut self.proposal else {
            return Vec::new();
        };
        if ballot != *own {
            return Vec::new();
        }
        accepted_by.insert(from);
        match quorum(&self.council, |s| accepted_by.contains(&s)) {
            true => vec![Message::Decided(cut.clone())],
            false => Vec::new(),
        }
    }
}
