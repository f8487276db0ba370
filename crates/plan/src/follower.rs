//! The forwarder's side: merges the plans of several planners, and the membership while no planner is reachable, into
//! one view.
//!
//! - One planner is followed at a time. Another one is chosen only after it has been silent, or has used an older
//!   membership than others, for [`FOLLOW_HOLD_TIME`], and is then kept for at least that long: a forwarder does not
//!   alternate between planners.
//! - A planner's confirmation is as fresh as its own list ([`list_age`](crate::list_age)). Planners with a stale list
//!   yield to those with a fresh one; where none has one, the forwarder reads the membership itself and goes by the
//!   latest of all.
//! - Restrictions apply whichever planner sends them: drains and removals of all planners and of the forwarder's own
//!   membership, and the lowest of the slow-start budgets.
//! - As a plan ages, it is trusted less in steps ([`trust`]), and the forwarder's own measurements prevail. What the plan
//!   has added to them decays by itself. While no planner with a fresh list is reachable, the forwarder reads the
//!   membership.

use crate::grade;
use crate::list_age::ListConfirmation;
use crate::member::{Member, MAX_NAME_BYTES};
use crate::subset::MIN_SERVERS;
use crate::wire::{ClosedServer, PlanAck, PlanUpdate, RejectReason, Suspicion};
use crate::{scramble, stable_hash};
use laurelroute_policy::interface::{Nanos, Phase};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
/// A planner from which an update was received within this time is reachable.
pub const PLANNER_FRESH_TIME: Nanos = 1_000 * MS;
/// Minimum time for which a planner is followed, and the silence after which another one is chosen.
pub const FOLLOW_HOLD_TIME: Nanos = 2_000 * MS;
/// The forwarder reads the membership itself after this time without an update of any planner, or earlier where the
/// lists of all planners are stale.
pub const PLANNER_SILENCE_LIMIT: Nanos = 1_000 * MS;
/// The same limit at the start, when clients wait for the first list.
const INITIAL_SILENCE_LIMIT: Nanos = 300 * MS;
/// Upper limit of a plan's age, and the trust up to that age.
const TRUST_BY_AGE: [(Nanos, f64); 4] =
    [(2_000 * MS, 1.0), (8_000 * MS, 0.75), (30_000 * MS, 0.5), (120_000 * MS, 0.25)];
/// Slow-start budgets of a planner are applied for this long after its last update.
const BUDGET_VALIDITY: Nanos = 10_000 * MS;
/// A closed server is remembered for this long after the last source with a membership at least as new became
/// unreachable.
const CLOSED_RETENTION: Nanos = 60_000 * MS;
/// Maximum number of servers in a plan.
pub const MAX_ROWS: usize = 40_000;
/// Maximum number of classes and tenants in one update.
const MAX_RATE_SHARES: usize = 20_000;

/// The trust in a plan of this age, 0 to 1.
pub fn trust(age: Nanos) -> f64 {
    TRUST_BY_AGE.iter().find(|(until, _)| age < *until).map_or(0.0, |(_, trust)| *trust)
}

#[derive(Clone, Debug)]
struct PlanRow {
    member: Member,
    grade: u32,
    suspicion: Suspicion,
    slow_start_rate: Option<f64>,
}

#[derive(Clone, Debug)]
struct PlanCopy {
    incarnation: u64,
    version: u64,
    membership: u64,
    rows: BTreeMap<String, PlanRow>,
    connections: u32,
    rate_shares: [BTreeMap<String, f64>; 2],
    updated_at: Nanos,
    /// When the planner's source last confirmed its membership, by the planner's last update.
    list_confirmation: ListConfirmation,
}

impl PlanCopy {
    /// Whether the planner has sent an update lately.
    fn is_reachable(&self, now: Nanos) -> bool {
        now.saturating_sub(self.updated_at) < PLANNER_FRESH_TIME
    }

    /// Whether the planner is reachable and has a fresh list.
    fn is_current(&self, now: Nanos) -> bool {
        self.is_reachable(now) && self.list_confirmation.is_fresh(now)
    }

    /// How good a reachable planner's membership is, the best last: a fresh one, then a later one.
    fn standing(&self, now: Nanos) -> MembershipStanding {
        MembershipStanding { fresh: self.list_confirmation.is_fresh(now), version: self.membership }
    }
}

/// How good a membership is, compared to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MembershipStanding {
    fresh: bool,
    version: u64,
}

#[derive(Clone, Debug)]
struct PlannerSlot {
    name: String,
    incarnation: u64,
    copy: Option<PlanCopy>,
}

/// A server known to accept no new requests.
#[derive(Clone, Copy, Debug)]
struct ClosedMark {
    membership: u64,
    phase: Phase,
    started_at: Nanos,
    at: Nanos,
}

#[derive(Clone, Debug)]
struct OwnMembership {
    version: u64,
    members: BTreeMap<String, Member>,
    confirmation: ListConfirmation,
}

/// The plan's state of one server, in the units of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedServer {
    /// Server name.
    pub name: String,
    /// Score over all forwarders, in requests.
    pub score: f64,
    /// Why the server is suspected.
    pub suspicion: Suspicion,
    /// Requests per second that this forwarder may send to it; infinite if not limited.
    pub slow_start_rate: f64,
}

/// The merged view of a forwarder.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The servers to use, and those that were closed recently; sorted by name.
    pub members: Vec<Member>,
    /// The plan's state of these servers.
    pub planned: Vec<PlannedServer>,
    /// The trust in the plan; 0 without a plan.
    pub trust: f64,
    /// Maximum connections to one server; 0 if not limited.
    pub connections: u32,
    /// This forwarder's shares of class limits, by name.
    pub classes: BTreeMap<String, f64>,
    /// This forwarder's shares of tenant quotas, by name.
    pub tenants: BTreeMap<String, f64>,
    /// The planner that is followed.
    pub following: Option<String>,
}

/// Merges the plans of several planners; see the module documentation.
#[derive(Clone, Debug)]
pub struct Follower {
    name: String,
    site: String,
    slots: Vec<PlannerSlot>,
    following: Option<usize>,
    followed_since: Nanos,
    /// Since when another planner has used a later membership than the one followed.
    behind_since: Option<Nanos>,
    switches: u32,
    /// From this time on, a forwarder without a planner reads the membership.
    initial_wait_until: Nanos,
    marks: BTreeMap<String, ClosedMark>,
    own: Option<OwnMembership>,
}

impl Follower {
    /// A follower without any plan. Planners are identified by their index in `planners`.
    pub fn new(now: Nanos, name: &str, site: &str, planners: &[String]) -> Follower {
        let slot = |name: &String| PlannerSlot { name: name.clone(), incarnation: 0, copy: None };
        Follower {
            name: name.to_owned(),
            site: site.to_owned(),
            slots: planners.iter().map(slot).collect(),
            following: None,
            followed_since: now,
            behind_since: None,
            switches: 0,
            // The first plan is awaited for a shorter time, as clients wait for it.
            initial_wait_until: now + if planners.is_empty() { 0 } else { INITIAL_SILENCE_LIMIT },
            marks: BTreeMap::new(),
            own: None,
        }
    }

    /// Applies or rejects an update of a planner and returns the acknowledgement. A rejected update changes nothing.
    pub fn receive(&mut self, now: Nanos, planner: usize, update: &PlanUpdate) -> PlanAck {
        let refused = match self.apply(now, planner, update) {
            Ok(()) => RejectReason::Accepted,
            Err(because) => because,
        };
        PlanAck { incarnation: update.incarnation, version: update.version, refused: refused as i32 }
    }

    fn apply(&mut self, now: Nanos, planner: usize, update: &PlanUpdate) -> Result<(), RejectReason> {
        if update.site != self.site {
            return Err(RejectReason::OtherSite);
        }
        let rows = validated(update)?;
        let confirmation = ListConfirmation::received(now, update.list_age_ms);
        let standing = MembershipStanding { fresh: confirmation.is_fresh(now), version: update.membership };
        let best_other = self.best_other_standing(now, planner);
        let slot = self.slots.get_mut(planner).ok_or(RejectReason::Invalid)?;
        if update.incarnation < slot.incarnation {
            return Err(RejectReason::StaleIncarnation);
        }
        if update.base == 0 {
            // An older membership than its own earlier one is accepted: the source of all planners may have lost its
            // version numbers.
            if best_other.is_some_and(|best| standing < best) {
                return Err(RejectReason::StaleMembership);
            }
            slot.copy = Some(PlanCopy {
                incarnation: update.incarnation,
                version: 0,
                membership: 0,
                rows: BTreeMap::new(),
                connections: 0,
                rate_shares: Default::default(),
                updated_at: now,
                list_confirmation: confirmation,
            });
        }
        slot.incarnation = update.incarnation;
        let base = |c: &&mut PlanCopy| {
            c.incarnation == update.incarnation && (update.base == 0 || c.version == update.base)
        };
        let copy = slot.copy.as_mut().filter(base).ok_or(RejectReason::UnknownBase)?;
        // A row without attributes needs a server that is held. Checked first, as a rejected update changes nothing.
        if rows.iter().any(|(name, row)| row.is_none() && !copy.rows.contains_key(name)) {
            return Err(RejectReason::UnknownBase);
        }
        if copy.rows.len() + rows.len() > MAX_ROWS {
            return Err(RejectReason::Invalid);
        }
        (copy.updated_at, copy.list_confirmation) = (now, confirmation);
        copy.version = update.version;
        copy.membership = update.membership;
        copy.connections = update.connections;
        for (row, (name, member)) in update.rows.iter().zip(rows) {
            let member = member.or_else(|| copy.rows.get(&name).map(|h| h.member.clone()));
            let Some(member) = member else { continue };
            let slow_start_rate = row.slow_start_rate.map(f64::from);
            copy.rows.insert(
                name,
                PlanRow { member, grade: row.grade, suspicion: row.suspicion(), slow_start_rate },
            );
        }
        update.removed.iter().for_each(|name| drop(copy.rows.remove(name)));
        for (rate_shares, received) in copy.rate_shares.iter_mut().zip([&update.classes, &update.tenants]) {
            rate_shares.extend(received.iter().map(|p| (p.name.clone(), f64::from(p.rate))));
            if rate_shares.len() > MAX_RATE_SHARES {
                rate_shares.clear();
            }
        }
        let listed: Vec<Member> = update
            .rows
            .iter()
            .filter(|r| r.attributes.is_some())
            .filter_map(|r| copy.rows.get(&r.name))
            .map(|h| h.member.clone())
            .collect();
        listed.iter().for_each(|member| self.record_closed(now, member, update.membership));
        self.choose_planner(now);
        Ok(())
    }

    /// The best membership of any other reachable planner.
    fn best_other_standing(&self, now: Nanos, planner: usize) -> Option<MembershipStanding> {
        let others = self.slots.iter().enumerate().filter(|(k, _)| *k != planner);
        let copies = others.filter_map(|(_, s)| s.copy.as_ref());
        copies.filter(|c| c.is_reachable(now)).map(|c| c.standing(now)).max()
    }

    /// The latest membership version of the planners with a fresh list.
    fn newest_current_membership(&self, now: Nanos) -> Option<u64> {
        let copies = self.slots.iter().filter_map(|s| s.copy.as_ref());
        copies.filter(|c| c.is_current(now)).map(|c| c.membership).max()
    }

    /// Records a closed server, and removes the record of one that a later membership lists as ready.
    fn record_closed(&mut self, now: Nanos, member: &Member, membership: u64) {
        let server = &member.server;
        let mark = self.marks.get(&member.name);
        if server.phase == Phase::Ready {
            let outdated = |m: &ClosedMark| membership > m.membership || server.started_at > m.started_at;
            if mark.is_some_and(outdated) {
                self.marks.remove(&member.name);
            }
            return;
        }
        let newer = |m: &ClosedMark| {
            membership > m.membership || server.started_at > m.started_at || server.phase == Phase::Removed
        };
        if mark.is_none_or(newer) && self.marks.len() < MAX_ROWS {
            let mark = ClosedMark { membership, phase: server.phase, started_at: server.started_at, at: now };
            self.marks.insert(member.name.clone(), mark);
        }
    }

    /// Starts with the membership of the configuration, which may be old: it is used until a planner or the
    /// membership's source sends a list, and closes no server. Returns false, and changes nothing, if there is a
    /// membership already.
    pub fn use_configured_membership(&mut self, version: u64, members: Vec<Member>) -> bool {
        if self.own.is_some() {
            return false;
        }
        let members = members.into_iter().map(|m| (m.name.clone(), m)).collect();
        self.own = Some(OwnMembership { version, members, confirmation: ListConfirmation::default() });
        true
    }

    /// Records that the source has confirmed the forwarder's own membership as it is: a heartbeat of its watch.
    pub fn confirm_membership(&mut self, now: Nanos) {
        if let Some(own) = self.own.as_mut().filter(|own| own.confirmation.is_confirmed()) {
            own.confirmation = ListConfirmation::at(now);
        }
    }

    /// Applies a list of the membership itself: a full one, or changes.
    pub fn update_membership(&mut self, now: Nanos, version: u64, full: bool, members: Vec<Member>) {
        let before = self.own.take().map(|own| own.members).unwrap_or_default();
        let mut own = OwnMembership {
            version,
            members: if full { BTreeMap::new() } else { before.clone() },
            confirmation: ListConfirmation::at(now),
        };
        for member in members {
            self.record_closed(now, &member, version);
            own.members.insert(member.name.clone(), member);
        }
        if full {
            // Absent servers are removed, also those that only a plan lists.
            let planned = self.slots.iter().filter_map(|s| s.copy.as_ref()).flat_map(|c| c.rows.values());
            let absent = planned.map(|h| &h.member).chain(before.values());
            let absent: BTreeMap<String, Member> = absent
                .filter(|m| !own.members.contains_key(&m.name))
                .map(|m| (m.name.clone(), m.clone().in_phase(Phase::Removed)))
                .collect();
            // A plan computed from a later list may contain servers that are not in this one yet.
            if self.newest_current_membership(now).is_none_or(|newest| newest <= version) {
                absent.values().for_each(|m| self.record_closed(now, m, version));
            }
        }
        self.own = Some(own);
    }

    /// Discards the forwarder's own membership, if a planner with a fresh list is reachable.
    pub fn forget_membership(&mut self, now: Nanos) {
        if self.newest_current_membership(now).is_some() {
            self.own = None;
        }
    }

    /// The servers as this process knows them, and the latest membership version that it has; `None` before it has been
    /// sent any.
    pub fn known_membership(&self, now: Nanos) -> Option<(u64, Vec<Member>)> {
        let copies = self.slots.iter().filter_map(|s| s.copy.as_ref()).map(|copy| copy.membership);
        let version = copies.chain(self.confirmed_membership().map(|own| own.version)).max()?;
        Some((version, self.view(now).members))
    }

    /// Takes servers as another process of this forwarder knows them by this membership version. They are used where
    /// there is neither a plan nor a later membership, and count as stale: a source is still looked for.
    pub fn receive_from_process(&mut self, now: Nanos, version: u64, members: Vec<Member>) {
        members.iter().for_each(|member| self.record_closed(now, member, version));
        let confirmed = self.own.take().filter(|own| own.confirmation.is_confirmed());
        let mut own = confirmed.unwrap_or(OwnMembership {
            version: 0,
            members: BTreeMap::new(),
            confirmation: ListConfirmation::at(0),
        });
        if own.version <= version {
            own.version = version;
            own.members.extend(members.into_iter().map(|member| (member.name.clone(), member)));
        }
        self.own = Some(own);
    }

    /// Whether the membership should be read: no planner with a fresh list has sent an update for
    /// [`PLANNER_SILENCE_LIMIT`], or the forwarder's own membership is fresh and later than theirs.
    pub fn needs_membership(&self, now: Nanos) -> bool {
        let Some(newest) = self.newest_current_membership(now) else {
            return now >= self.initial_wait_until;
        };
        self.own.as_ref().is_some_and(|own| own.confirmation.is_fresh(now) && own.version > newest)
    }

    /// Whether a planner is reachable, with a fresh list or not.
    pub fn reaches_planner(&self, now: Nanos) -> bool {
        self.slots.iter().filter_map(|s| s.copy.as_ref()).any(|c| c.is_reachable(now))
    }

    /// Runs timers: chooses the planner to follow and expires records of closed servers.
    pub fn poll(&mut self, now: Nanos) {
        self.choose_planner(now);
        let sources = self.slots.iter().filter_map(|s| s.copy.as_ref());
        let reachable = sources.filter(|c| c.is_reachable(now)).map(|c| c.membership);
        let known = reachable.chain(self.own.as_ref().map(|o| o.version)).max().unwrap_or(0);
        self.marks.retain(|_, m| {
            if m.membership <= known {
                m.at = now;
            }
            now.saturating_sub(m.at) < CLOSED_RETENTION
        });
        // A record is needed only while a source still lists the server; the others would accumulate.
        let named = |name: &String| {
            self.slots.iter().filter_map(|s| s.copy.as_ref()).any(|c| c.rows.contains_key(name))
                || self.own.as_ref().is_some_and(|o| o.members.contains_key(name))
        };
        if self.marks.len() > MAX_ROWS / 2 {
            self.marks.retain(|name, _| named(name));
        }
    }

    fn silence(&self, now: Nanos, planner: usize) -> Nanos {
        self.slots[planner].copy.as_ref().map_or(Nanos::MAX, |c| now.saturating_sub(c.updated_at))
    }

    /// Whether another reachable planner has a better membership: a fresh one where this one's is stale, or a later
    /// one.
    fn is_behind(&self, now: Nanos, planner: usize) -> bool {
        let own = self.slots[planner].copy.as_ref().map(|c| c.standing(now));
        self.best_other_standing(now, planner).is_some_and(|best| own.is_some_and(|own| own < best))
    }

    /// Whether this planner's list is stale and another reachable planner's is fresh.
    fn is_outdated(&self, now: Nanos, planner: usize) -> bool {
        let stale = |c: &PlanCopy| !c.list_confirmation.is_fresh(now);
        self.slots[planner].copy.as_ref().is_some_and(stale)
            && self.best_other_standing(now, planner).is_some_and(|best| best.fresh)
    }

    fn choose_planner(&mut self, now: Nanos) {
        if let Some(k) = self.following {
            self.behind_since = self.is_behind(now, k).then(|| self.behind_since.unwrap_or(now));
            let behind = self.behind_since.is_some_and(|since| now.saturating_sub(since) >= FOLLOW_HOLD_TIME);
            let abandoned = self.silence(now, k) >= FOLLOW_HOLD_TIME || behind;
            let held = now.saturating_sub(self.followed_since) < FOLLOW_HOLD_TIME;
            if (!abandoned || held) && !self.is_outdated(now, k) {
                return;
            }
        }
        // Rendezvous hashing of names, so that the loss of a planner does not move all its forwarders to the same one.
        let own_hash = stable_hash(2, self.name.as_bytes());
        let weight = |k: &usize| scramble(own_hash ^ stable_hash(3, self.slots[*k].name.as_bytes()));
        let eligible = |k: &usize| self.silence(now, *k) < PLANNER_FRESH_TIME && !self.is_behind(now, *k);
        let best = (0..self.slots.len()).filter(eligible).max_by_key(weight);
        if best.is_some() && best != self.following {
            self.following = best;
            self.followed_since = now;
            self.behind_since = None;
            self.switches += 1;
        }
    }

    /// Number of times a planner was chosen, including the first.
    pub fn switches(&self) -> u32 {
        self.switches
    }

    /// Name of the planner followed.
    pub fn following(&self) -> Option<&str> {
        self.following.map(|k| self.slots[k].name.as_str())
    }

    /// Index and incarnation of the planner followed, and the version and membership of its plan as held here.
    pub fn followed_plan(&self) -> Option<(usize, u64, u64, u64)> {
        let k = self.following?;
        let copy = self.slots[k].copy.as_ref()?;
        Some((k, copy.incarnation, copy.version, copy.membership))
    }

    /// Drains and removals that this forwarder knows of, for its reports.
    pub fn closed(&self) -> Vec<ClosedServer> {
        let closed = |(name, mark): (&String, &ClosedMark)| ClosedServer {
            epoch: 0,
            name: name.clone(),
            membership: mark.membership,
            started_ms: mark.started_at / MS,
            removed: mark.phase == Phase::Removed,
        };
        self.marks.iter().map(closed).collect()
    }

    /// The current view.
    pub fn view(&self, now: Nanos) -> View {
        let followed = self.following.and_then(|k| self.slots[k].copy.as_ref());
        let trusted =
            followed.map(|c| (c, trust(now.saturating_sub(c.updated_at)))).filter(|(_, t)| *t > 0.0);
        let Some((copy, trust)) = trusted else {
            let members = self.members_without_plan(followed);
            return View { members: self.with_closed_applied(members), ..View::default() };
        };
        let own = self.confirmed_membership();
        let mut members: Vec<Member> = copy.rows.values().map(|h| h.member.clone()).collect();
        if let Some(own) = own.filter(|o| o.version >= copy.membership) {
            // The forwarder's own membership is newer than the plan's attributes.
            members.iter_mut().for_each(|m| {
                if let Some(later) = own.members.get(&m.name) {
                    *m = later.clone();
                }
            });
        }
        let later = self.slots.iter().filter_map(|s| s.copy.as_ref());
        let later = later.filter(|c| c.is_reachable(now) && c.standing(now) > copy.standing(now));
        for other in later {
            members.iter_mut().for_each(|m| {
                if let Some(held) = other.rows.get(&m.name) {
                    *m = held.member.clone();
                }
            });
        }
        members = self.with_closed_applied(members);
        if let Some(own) = own {
            self.replace_removed(&mut members, own);
        }
        let planned = |m: &Member| {
            let held = copy.rows.get(&m.name)?;
            Some(PlannedServer {
                name: m.name.clone(),
                score: grade::value(held.grade),
                suspicion: held.suspicion,
                slow_start_rate: self.slow_start_rate(now, &m.name),
            })
        };
        View {
            planned: members.iter().filter_map(planned).collect(),
            members,
            trust,
            connections: copy.connections,
            classes: copy.rate_shares[0].clone(),
            tenants: copy.rate_shares[1].clone(),
            following: self.following.map(|k| self.slots[k].name.clone()),
        }
    }

    /// The forwarder's own membership, unless it is only the configured one.
    fn confirmed_membership(&self) -> Option<&OwnMembership> {
        self.own.as_ref().filter(|own| own.confirmation.is_confirmed())
    }

    /// The servers to use without a trusted plan: those of the forwarder's own membership, or else of the last plan.
    fn members_without_plan(&self, last_plan: Option<&PlanCopy>) -> Vec<Member> {
        let of_plan = |copy: &PlanCopy| copy.rows.values().map(|row| row.member.clone()).collect();
        match (self.confirmed_membership(), last_plan) {
            (None, Some(copy)) => of_plan(copy),
            _ => self.own.iter().flat_map(|own| own.members.values().cloned()).collect(),
        }
    }

    /// The members with all known drains and removals applied.
    fn with_closed_applied(&self, members: Vec<Member>) -> Vec<Member> {
        let close = |m: Member| match self.marks.get(&m.name) {
            Some(mark) if mark.started_at >= m.server.started_at => {
                let phase = if m.server.phase == Phase::Removed { Phase::Removed } else { mark.phase };
                m.in_phase(phase)
            }
            _ => m,
        };
        members.into_iter().map(close).collect()
    }

    /// Without a planner, removed servers are replaced by others of the membership. Each forwarder chooses by hash, so that
    /// the forwarders together spread over all servers.
    fn replace_removed(&self, members: &mut Vec<Member>, own: &OwnMembership) {
        let ready = |m: &&Member| m.server.phase == Phase::Ready;
        let ready_count = members.iter().filter(ready).count();
        let wanted = members.len().max(MIN_SERVERS);
        if ready_count >= wanted {
            return;
        }
        let named: std::collections::BTreeSet<String> = members.iter().map(|m| m.name.clone()).collect();
        let others = own.members.values().filter(|m| !named.contains(&m.name)).cloned().collect();
        let mut others: Vec<Member> = self.with_closed_applied(others);
        others.retain(|m| m.server.phase == Phase::Ready);
        let own_hash = stable_hash(4, self.name.as_bytes());
        others.sort_by_cached_key(|m| scramble(own_hash ^ stable_hash(5, m.name.as_bytes())));
        members.extend(others.into_iter().take(wanted - ready_count));
        members.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// The lowest slow-start rate of the planners with an update within [`BUDGET_VALIDITY`].
    fn slow_start_rate(&self, now: Nanos, name: &str) -> f64 {
        let copies = self.slots.iter().filter_map(|s| s.copy.as_ref());
        let valid = copies.filter(|c| now.saturating_sub(c.updated_at) < BUDGET_VALIDITY);
        let rates = valid.filter_map(|c| c.rows.get(name)).filter_map(|h| h.slow_start_rate);
        rates.fold(f64::INFINITY, f64::min)
    }
}

/// Names and attributes of the rows of a valid update.
type Checked = Vec<(String, Option<Member>)>;

/// Validates an update and returns its rows' names and attributes.
fn validated(update: &PlanUpdate) -> Result<Checked, RejectReason> {
    let rate_shares = || update.classes.iter().chain(&update.tenants);
    let too_many = update.rows.len() > MAX_ROWS
        || update.removed.len() > MAX_ROWS
        || rate_shares().count() > MAX_RATE_SHARES;
    let is_valid_rate = |r: f32| r.is_finite() && r >= 0.0;
    let bad_name = |name: &String| name.is_empty() || name.len() > MAX_NAME_BYTES;
    if too_many || update.version == 0 || rate_shares().any(|p| !is_valid_rate(p.rate) || bad_name(&p.name)) {
        return Err(RejectReason::Invalid);
    }
    let row = |row: &crate::wire::ServerRow| {
        if bad_name(&row.name) || row.slow_start_rate.is_some_and(|r| !is_valid_rate(r)) {
            return Err(RejectReason::Invalid);
        }
        let member = row
            .attributes
            .as_ref()
            .map(|attributes| Member::from_attributes(&row.name, attributes))
            .transpose();
        Ok((row.name.clone(), member.map_err(|_| RejectReason::Invalid)?))
    };
    update.rows.iter().map(row).collect()
}
