//! The council: what becomes the next view. One decision for each view, by single-decree Paxos (Lamport, "Paxos Made
//! Simple", 2001) among the members of the present one that have a seat on it.

use crate::view::{quorum, Cut, MemberId, MemberSet, Observers, View, MAX_JOINS};
use crate::wire::{Accepted, Body};
use crate::{Incarnation, Nanos, MS};
use std::collections::{BTreeMap, BTreeSet};

/// An accusation or a wish to join counts for so long.
const COUNTS: Nanos = 1_000 * MS;
/// What is to change has to have been the same for so long ...
const STABLE: Nanos = 300 * MS;
/// ... and is waited for no longer than this where some are accused by too few.
const UNSETTLED: Nanos = 1_200 * MS;
/// A round that has come to nothing for so long is tried again.
const ROUND: Nanos = 600 * MS;

fn counts(now: Nanos, at: Nanos) -> bool {
    now.saturating_sub(at) < COUNTS
}

#[derive(Debug)]
enum Proposal {
    Preparing { promises: BTreeMap<MemberId, (Accepted, MemberSet)> },
    Accepting { cut: Cut, agreed: BTreeSet<MemberId> },
}

/// What one of the council knows and has said about the next view.
#[derive(Debug)]
pub struct Council {
    me: MemberId,
    seats: Vec<MemberId>,
    observers: Observers,
    members: BTreeMap<MemberId, Incarnation>,
    accusers: BTreeMap<MemberId, (Nanos, Vec<MemberId>)>,
    joiners: BTreeMap<MemberId, (Nanos, Incarnation)>,
    /// The cut that there would be, since when it has been that, and since when there is anything to change.
    wanted: (Cut, Nanos, Nanos),
    promised: u32,
    accepted: Accepted,
    proposal: Option<(u32, Nanos, Proposal)>,
    /// Rounds that came to nothing make the next one wait longer.
    rounds: u32,
}

/// Where words go.
pub enum To {
    /// To one.
    One(MemberId, Body),
    /// To all others of the council.
    All(Body),
    /// Nowhere: this is the next view's cut.
    Decided(Cut),
}

impl Council {
    /// For a view that this member has a seat on the council of.
    pub fn new(me: MemberId, view: &View, seats: Vec<MemberId>, observers: Observers) -> Council {
        Council {
            me,
            seats,
            observers,
            members: view.members.clone(),
            accusers: BTreeMap::new(),
            joiners: BTreeMap::new(),
            wanted: (Cut::default(), 0, 0),
            promised: 0,
            accepted: None,
            proposal: None,
            rounds: 0,
        }
    }

    /// Who has a seat on it.
    pub fn seats(&self) -> &[MemberId] {
        &self.seats
    }

    /// Nothing has been accepted that would end the present view.
    pub fn in_force(&self) -> bool {
        self.accepted.is_none()
    }

    /// An observer's accusations, all that it has.
    pub fn accuse(&mut self, now: Nanos, by: MemberId, accused: Vec<MemberId>) {
        self.accusers.insert(by, (now, accused));
    }

    /// A incarnation that wants a seat.
    pub fn join(&mut self, now: Nanos, member: MemberId, incarnation: Incarnation) {
        if self.members.get(&member) != Some(&incarnation) {
            self.joiners.insert(member, (now, incarnation));
        }
    }

    /// Those who accuse a member now.
    pub fn suspected_by(&self, now: Nanos, member: MemberId) -> BTreeSet<MemberId> {
        self.accusations(now).filter(|(_, accused)| accused.contains(&member)).map(|(by, _)| by).collect()
    }

    /// Who accuses whom now.
    fn accusations(&self, now: Nanos) -> impl Iterator<Item = (MemberId, &[MemberId])> {
        let fresh = self.accusers.iter().filter(move |(_, (at, _))| counts(now, *at));
        fresh.map(|(by, (_, accused))| (*by, accused.as_slice()))
    }

    /// Members whose observers accuse them, most of them or all but those that are to leave themselves; and whether others
    /// are accused by too few.
    fn silent(&self, now: Nanos, fresh: &impl Fn(MemberId) -> bool) -> (BTreeSet<MemberId>, bool) {
        let mut accusers: BTreeMap<MemberId, BTreeSet<MemberId>> = BTreeMap::new();
        for (by, accused) in self.accusations(now).filter(|(by, _)| self.members.contains_key(by)) {
            for member in accused.iter().filter(|s| self.members.contains_key(*s) && !fresh(**s)) {
                accusers.entry(*member).or_default().insert(by);
            }
        }
        let accused = accusers.len();
        let mut out: BTreeSet<MemberId> = accusers.keys().copied().filter(|s| *s != self.me).collect();
        loop {
            let stays = |member: &MemberId| {
                let by = &accusers[member];
                let observers = &self.observers[member];
                let against = observers.iter().filter(|o| by.contains(o) || out.contains(o)).count();
                let live = by.iter().any(|o| !out.contains(o));
                5 * against < 4 * observers.len() || !live
            };
            let keep: Vec<MemberId> = out.iter().copied().filter(stays).collect();
            if keep.is_empty() {
                break;
            }
            out.retain(|s| !keep.contains(s));
        }
        let unsettled = out.len() < accused;
        (out, unsettled)
    }

    fn cut(&self, now: Nanos, fresh: &impl Fn(MemberId) -> bool) -> (Cut, bool) {
        let (out, unsettled) = self.silent(now, fresh);
        let wish = |(member, (at, incarnation)): (&MemberId, &(Nanos, Incarnation))| {
            counts(now, *at).then_some((*member, incarnation.to_le_bytes()))
        };
        let joined: Vec<_> = self.joiners.iter().filter_map(wish).take(MAX_JOINS).collect();
        let taken = |member: &MemberId| joined.iter().any(|(s, _)| s == member);
        (Cut { removed: out.into_iter().filter(|s| !taken(s)).collect(), joined }, unsettled)
    }

    /// Time goes by. `fresh` says who was heard just now by this member itself.
    pub fn tick(&mut self, now: Nanos, fresh: impl Fn(MemberId) -> bool) -> Vec<To> {
        let (cut, unsettled) = self.cut(now, &fresh);
        if cut != self.wanted.0 {
            let since = if self.wanted.0.is_empty() { now } else { self.wanted.2 };
            self.wanted = (cut, now, since);
        }
        let (cut, same, any) = &self.wanted;
        let settled = now.saturating_sub(*same) >= STABLE
            && (!unsettled || now.saturating_sub(*any) >= UNSETTLED)
            || now.saturating_sub(*any) >= 2 * UNSETTLED;
        let wants = !cut.is_empty() && settled || self.accepted.is_some();
        let leads = self.seats.iter().find(|s| **s == self.me || fresh(**s)) == Some(&self.me);
        let patience = ROUND << self.rounds.min(1);
        let stuck = self.proposal.as_ref().is_none_or(|(_, at, _)| now.saturating_sub(*at) > patience);
        if !(wants && leads && stuck) {
            return Vec::new();
        }
        self.prepare(now)
    }

    fn prepare(&mut self, now: Nanos) -> Vec<To> {
        if self.proposal.is_some() {
            self.rounds += 1;
        }
        let index = self.seats.iter().position(|s| *s == self.me).unwrap_or(0) as u32;
        let ballot = ((self.promised >> 8) + 1) << 8 | index;
        self.proposal = Some((ballot, now, Proposal::Preparing { promises: BTreeMap::new() }));
        vec![To::All(Body::Prepare(ballot)), To::One(self.me, Body::Prepare(ballot))]
    }

    /// Takes a word of the council.
    pub fn hear(
        &mut self,
        now: Nanos,
        from: MemberId,
        body: Body,
        fresh: impl Fn(MemberId) -> bool,
    ) -> Vec<To> {
        if !self.seats.contains(&from) {
            return Vec::new();
        }
        match body {
            Body::Prepare(ballot) if ballot > self.promised => {
                self.promised = ballot;
                let heard = self.members.keys().copied().filter(|s| fresh(*s) || *s == self.me).collect();
                vec![To::One(from, Body::Promise(ballot, self.accepted.clone(), heard))]
            }
            Body::Accept(ballot, cut, bound) if ballot >= self.promised => {
                // One that is to leave has been heard after all.
                if !bound && cut.removed.iter().any(|s| fresh(s) || s == self.me) {
                    return vec![To::One(from, Body::Nack(ballot))];
                }
                self.promised = ballot;
                self.accepted = Some((ballot, cut));
                vec![To::One(from, Body::Accepted(ballot))]
            }
            Body::Prepare(_) | Body::Accept(..) => vec![To::One(from, Body::Nack(self.promised))],
            Body::Promise(ballot, accepted, heard) => self.promise(now, from, ballot, accepted, heard),
            Body::Accepted(ballot) => self.agree(from, ballot),
            Body::Nack(ballot) => {
                if self.proposal.as_ref().is_some_and(|(own, ..)| ballot >= *own) {
                    self.promised = self.promised.max(ballot);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn promise(
        &mut self,
        now: Nanos,
        from: MemberId,
        ballot: u32,
        accepted: Accepted,
        heard: MemberSet,
    ) -> Vec<To> {
        let Some((own, _, Proposal::Preparing { promises })) = &mut self.proposal else { return Vec::new() };
        if ballot != *own {
            return Vec::new();
        }
        promises.insert(from, (accepted, heard));
        if !quorum(&self.seats, |s| promises.contains_key(&s)) {
            return Vec::new();
        }
        // Those that said that they have accepted nothing never will below this ballot. Where the others are too few, nothing
        // can have been decided, and an old cut need not be gone on with.
        let may_have = |s: MemberId| promises.get(&s).is_none_or(|(accepted, _)| accepted.is_some());
        let decided = quorum(&self.seats, may_have);
        let accepted = || promises.values().filter_map(|(a, _)| a.clone());
        let unfinished = accepted().next().is_some();
        let before = accepted().max_by_key(|(ballot, _)| *ballot).filter(|_| decided);
        let bound = before.is_some();
        let cut = before.map_or_else(
            || {
                let mut cut = self.wanted.0.clone();
                // Whom any of them hears is there.
                let vouched = |member: MemberId| promises.values().any(|(_, heard)| heard.contains(member));
                cut.removed = cut.removed.iter().filter(|s| !vouched(*s)).collect();
                cut
            },
            |(_, cut)| cut,
        );
        // One that has accepted something no longer says that this view is in force: it takes another view to end that.
        if cut.is_empty() && !unfinished {
            self.proposal = None;
            return Vec::new();
        }
        self.proposal =
            Some((ballot, now, Proposal::Accepting { cut: cut.clone(), agreed: BTreeSet::new() }));
        let accept = Body::Accept(ballot, cut, bound);
        vec![To::All(accept.clone()), To::One(self.me, accept)]
    }

    fn agree(&mut self, from: MemberId, ballot: u32) -> Vec<To> {
        let Some((own, _, Proposal::Accepting { cut, agreed })) = &mut self.proposal else {
            return Vec::new();
        };
        if ballot != *own {
            return Vec::new();
        }
        agreed.insert(from);
        match quorum(&self.seats, |s| agreed.contains(&s)) {
            true => vec![To::Decided(cut.clone())],
            false => Vec::new(),
        }
    }
}
