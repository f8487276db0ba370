//! A forwarder's side: what several planners say, and the membership where nobody says anything, become one view.
//!
//! - One planner is followed at a time and kept as long as it speaks. Another is taken only when it has been silent,
//!   or has gone by an older membership than others, for [`FOLLOW_HOLD_TIME`], and then for at least that long: a forwarder never
//!   alternates.
//! - What makes sending safer counts whoever says it: drains and leavings of all planners and of the own membership
//!   together, and the least of the cold budgets.
//! - As a plan ages it is trusted less, step by step ([`trust`]), and the forwarder's own counters take over. What the
//!   plan added to them fades by itself; the steps take the rest. When no planner speaks, the membership is read.

use crate::grade;
use crate::member::{Member, MAX_NAME_BYTES};
use crate::subset::MIN_SERVERS;
use crate::wire::{ClosedServer, PlanAck, PlanUpdate, RejectReason, Suspicion};
use crate::{scramble, stable_hash};
use laurelroute_policy::interface::{Nanos, Phase};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
/// A planner that was heard within this is there.
pub const PLANNER_FRESH_TIME: Nanos = 1_000 * MS;
/// A planner is followed for at least this long, and through a silence of this long.
pub const FOLLOW_HOLD_TIME: Nanos = 2_000 * MS;
/// With nobody heard for this long the forwarder reads the membership itself.
pub const PLANNER_SILENCE_LIMIT: Nanos = 1_000 * MS;
/// At the start it reads the membership when nobody was heard for this long.
const FIRST: Nanos = 300 * MS;
/// Age of a plan, and how far it is trusted up to there.
const AGES: [(Nanos, f64); 4] =
    [(2_000 * MS, 1.0), (8_000 * MS, 0.75), (30_000 * MS, 0.5), (120_000 * MS, 0.25)];
/// What a planner said counts for cold budgets for this long after its last word.
const HEEDED: Nanos = 10_000 * MS;
/// PlannedServer that a box is closed is kept for this long after the last who knew better has fallen silent.
const REMEMBER: Nanos = 60_000 * MS;
/// Boxes that one plan may have.
pub const MAX_ROWS: usize = 40_000;
/// Classes and tenants that one part may speak of.
const MOST_PORTIONS: usize = 20_000;

/// How far a plan of this age is trusted, 0 to 1.
pub fn trust(age: Nanos) -> f64 {
    AGES.iter().find(|(until, _)| age < *until).map_or(0.0, |(_, trust)| *trust)
}

#[derive(Clone, Debug)]
struct Held {
    member: Member,
    grade: u32,
    suspicion: Suspicion,
    cold_rate: Option<f64>,
}

#[derive(Clone, Debug)]
struct Copy {
    life: u64,
    version: u64,
    membership: u64,
    rows: BTreeMap<String, Held>,
    connections: u32,
    portions: [BTreeMap<String, f64>; 2],
    heard_at: Nanos,
}

#[derive(Clone, Debug)]
struct Slot {
    name: String,
    life: u64,
    copy: Option<Copy>,
}

/// PlannedServer that a box takes nothing new.
#[derive(Clone, Copy, Debug)]
struct Mark {
    membership: u64,
    phase: Phase,
    started_at: Nanos,
    at: Nanos,
}

#[derive(Clone, Debug)]
struct Own {
    version: u64,
    members: BTreeMap<String, Member>,
}

/// What the plan says of one box, in the decision module's measures.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedServer {
    /// The box.
    pub name: String,
    /// Accomplishment over all forwarders, in requests.
    pub score: f64,
    /// Why it is suspected.
    pub suspicion: Suspicion,
    /// Requests a second that this forwarder may send it; infinite where nothing is said.
    pub slow_start_rate: f64,
}

/// What a forwarder goes by now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The boxes to use, and those that just closed; sorted by name.
    pub members: Vec<Member>,
    /// What the plan says of them.
    pub planned: Vec<PlannedServer>,
    /// How far the plan is trusted; 0 without one.
    pub trust: f64,
    /// Connections to one box; 0 where no plan says.
    pub connections: u32,
    /// This forwarder's parts of classes' limits, by name.
    pub classes: BTreeMap<String, f64>,
    /// The same of tenants' shares.
    pub tenants: BTreeMap<String, f64>,
    /// The planner that is followed.
    pub following: Option<String>,
}

/// Several planners' word, merged. See the module's documentation.
#[derive(Clone, Debug)]
pub struct Follower {
    name: String,
    site: String,
    slots: Vec<Slot>,
    following: Option<usize>,
    switched_at: Nanos,
    /// Since when another planner goes by a later membership than the one followed.
    behind_since: Option<Nanos>,
    switches: u32,
    heard_at: Nanos,
    marks: BTreeMap<String, Mark>,
    own: Option<Own>,
}

impl Follower {
    /// A forwarder of a site that has heard nothing yet. Planners are known by their place in `planners`.
    pub fn new(now: Nanos, name: &str, site: &str, planners: &[String]) -> Follower {
        let slot = |name: &String| Slot { name: name.clone(), life: 0, copy: None };
        Follower {
            name: name.to_owned(),
            site: site.to_owned(),
            slots: planners.iter().map(slot).collect(),
            following: None,
            switched_at: now,
            behind_since: None,
            switches: 0,
            // A first word is waited for less long: clients wait with it.
            heard_at: now.saturating_sub(if planners.is_empty() {
                PLANNER_SILENCE_LIMIT
            } else {
                PLANNER_SILENCE_LIMIT - FIRST
            }),
            marks: BTreeMap::new(),
            own: None,
        }
    }

    /// Takes in what a planner says, or refuses it; the answer goes back to it. A refused part changes nothing.
    pub fn receive(&mut self, now: Nanos, planner: usize, part: &PlanUpdate) -> PlanAck {
        let refused = match self.take(now, planner, part) {
            Ok(()) => RejectReason::Accepted,
            Err(because) => because,
        };
        PlanAck { incarnation: part.incarnation, version: part.version, refused: refused as i32 }
    }

    fn take(&mut self, now: Nanos, planner: usize, part: &PlanUpdate) -> Result<(), RejectReason> {
        if part.site != self.site {
            return Err(RejectReason::OtherSite);
        }
        let rows = checked(part)?;
        let newest = self.newest_beside(now, planner);
        let slot = self.slots.get_mut(planner).ok_or(RejectReason::Invalid)?;
        if part.incarnation < slot.life {
            return Err(RejectReason::StaleIncarnation);
        }
        if part.base == 0 {
            // Its own earlier word may have been later: a planner's source can lose its numbers with everybody else's.
            if newest.is_some_and(|newest| part.membership < newest) {
                return Err(RejectReason::StaleMembership);
            }
            slot.copy = Some(Copy {
                life: part.incarnation,
                version: 0,
                membership: 0,
                rows: BTreeMap::new(),
                connections: 0,
                portions: Default::default(),
                heard_at: now,
            });
        }
        slot.life = part.incarnation;
        let base = |c: &&mut Copy| c.life == part.incarnation && (part.base == 0 || c.version == part.base);
        let copy = slot.copy.as_mut().filter(base).ok_or(RejectReason::UnknownBase)?;
        // A change of a box that is not held cannot be built on. Looked at first: a refused part changes nothing.
        if rows.iter().any(|(name, row)| row.is_none() && !copy.rows.contains_key(name)) {
            return Err(RejectReason::UnknownBase);
        }
        if copy.rows.len() + rows.len() > MAX_ROWS {
            return Err(RejectReason::Invalid);
        }
        copy.heard_at = now;
        copy.version = part.version;
        copy.membership = part.membership;
        copy.connections = part.connections;
        for (row, (name, member)) in part.rows.iter().zip(rows) {
            let member = member.or_else(|| copy.rows.get(&name).map(|h| h.member.clone()));
            let Some(member) = member else { continue };
            let cold_rate = row.slow_start_rate.map(f64::from);
            copy.rows.insert(name, Held { member, grade: row.grade, suspicion: row.suspicion(), cold_rate });
        }
        part.removed.iter().for_each(|name| drop(copy.rows.remove(name)));
        for (portions, told) in copy.portions.iter_mut().zip([&part.classes, &part.tenants]) {
            portions.extend(told.iter().map(|p| (p.name.clone(), f64::from(p.rate))));
            if portions.len() > MOST_PORTIONS {
                portions.clear();
            }
        }
        let told: Vec<Member> = part
            .rows
            .iter()
            .filter(|r| r.attributes.is_some())
            .filter_map(|r| copy.rows.get(&r.name))
            .map(|h| h.member.clone())
            .collect();
        self.heard_at = now;
        told.iter().for_each(|member| self.note(now, member, part.membership));
        self.choose(now);
        Ok(())
    }

    /// The latest membership that another planner, who is there, has spoken by.
    fn newest_beside(&self, now: Nanos, planner: usize) -> Option<u64> {
        let others = self.slots.iter().enumerate().filter(|(k, _)| *k != planner);
        let copies = others.filter_map(|(_, s)| s.copy.as_ref());
        copies.filter(|c| now.saturating_sub(c.heard_at) < PLANNER_FRESH_TIME).map(|c| c.membership).max()
    }

    /// Marks a box that is closed, and takes the mark off one that later word says is ready.
    fn note(&mut self, now: Nanos, member: &Member, membership: u64) {
        let server = &member.server;
        let mark = self.marks.get(&member.name);
        if server.phase == Phase::Ready {
            let outdated = |m: &Mark| membership > m.membership || server.started_at > m.started_at;
            if mark.is_some_and(outdated) {
                self.marks.remove(&member.name);
            }
            return;
        }
        let newer = |m: &Mark| {
            membership > m.membership || server.started_at > m.started_at || server.phase == Phase::Removed
        };
        if mark.is_none_or(newer) && self.marks.len() < MAX_ROWS {
            let mark = Mark { membership, phase: server.phase, started_at: server.started_at, at: now };
            self.marks.insert(member.name.clone(), mark);
        }
    }

    /// The membership itself has spoken: a whole list, or changes to it.
    pub fn update_membership(&mut self, now: Nanos, version: u64, whole: bool, members: Vec<Member>) {
        let before = self.own.take().unwrap_or(Own { version: 0, members: BTreeMap::new() });
        let mut own = Own { version, members: if whole { BTreeMap::new() } else { before.members.clone() } };
        for member in members {
            self.note(now, &member, version);
            own.members.insert(member.name.clone(), member);
        }
        if whole {
            // Who is absent is gone, also where only a plan names it.
            let planned = self.slots.iter().filter_map(|s| s.copy.as_ref()).flat_map(|c| c.rows.values());
            let absent = planned.map(|h| &h.member).chain(before.members.values());
            let absent: BTreeMap<String, Member> = absent
                .filter(|m| !own.members.contains_key(&m.name))
                .map(|m| (m.name.clone(), m.clone().in_phase(Phase::Removed)))
                .collect();
            // A plan made from a later list may name who is not in this one yet.
            let newest = self.newest_beside(now, usize::MAX);
            if newest.is_none_or(|newest| newest <= version) {
                absent.values().for_each(|m| self.note(now, m, version));
            }
        }
        self.own = Some(own);
    }

    /// The membership is not read any longer: planners have taken over.
    pub fn forget_membership(&mut self) {
        self.own = None;
    }

    /// Whether the membership should be read: no planner has spoken for a while.
    pub fn needs_membership(&self, now: Nanos) -> bool {
        now.saturating_sub(self.heard_at) >= PLANNER_SILENCE_LIMIT
    }

    /// Does what the time brings: whom to follow, and what need not be remembered any longer.
    pub fn poll(&mut self, now: Nanos) {
        self.choose(now);
        let sources = self.slots.iter().filter_map(|s| s.copy.as_ref());
        let fresh =
            sources.filter(|c| now.saturating_sub(c.heard_at) < PLANNER_FRESH_TIME).map(|c| c.membership);
        let known = fresh.chain(self.own.as_ref().map(|o| o.version)).max().unwrap_or(0);
        self.marks.retain(|_, m| {
            if m.membership <= known {
                m.at = now;
            }
            now.saturating_sub(m.at) < REMEMBER
        });
        // A mark is of use only against who still names the box; the rest would pile up.
        let named = |name: &String| {
            self.slots.iter().filter_map(|s| s.copy.as_ref()).any(|c| c.rows.contains_key(name))
                || self.own.as_ref().is_some_and(|o| o.members.contains_key(name))
        };
        if self.marks.len() > MAX_ROWS / 2 {
            self.marks.retain(|name, _| named(name));
        }
    }

    fn silent(&self, now: Nanos, planner: usize) -> Nanos {
        self.slots[planner].copy.as_ref().map_or(Nanos::MAX, |c| now.saturating_sub(c.heard_at))
    }

    /// Whether another planner, who is there, goes by a later membership.
    fn behind(&self, now: Nanos, planner: usize) -> bool {
        let own = self.slots[planner].copy.as_ref().map(|c| c.membership);
        self.newest_beside(now, planner).is_some_and(|newest| own.is_some_and(|own| own < newest))
    }

    fn choose(&mut self, now: Nanos) {
        if let Some(k) = self.following {
            self.behind_since = self.behind(now, k).then(|| self.behind_since.unwrap_or(now));
            let left_behind =
                self.behind_since.is_some_and(|since| now.saturating_sub(since) >= FOLLOW_HOLD_TIME);
            let given_up = self.silent(now, k) >= FOLLOW_HOLD_TIME || left_behind;
            if !given_up || now.saturating_sub(self.switched_at) < FOLLOW_HOLD_TIME {
                return;
            }
        }
        // Spread by names, so that the loss of one planner does not send all forwarders to the same other.
        let me = stable_hash(2, self.name.as_bytes());
        let weight = |k: &usize| scramble(me ^ stable_hash(3, self.slots[*k].name.as_bytes()));
        let fit = |k: &usize| self.silent(now, *k) < PLANNER_FRESH_TIME && !self.behind(now, *k);
        let best = (0..self.slots.len()).filter(fit).max_by_key(weight);
        if best.is_some() && best != self.following {
            self.following = best;
            self.switched_at = now;
            self.behind_since = None;
            self.switches += 1;
        }
    }

    /// How often another planner was taken, the first one counted.
    pub fn switches(&self) -> u32 {
        self.switches
    }

    /// The name of the planner followed.
    pub fn following(&self) -> Option<&str> {
        self.following.map(|k| self.slots[k].name.as_str())
    }

    /// The planner followed, its life, and the version and membership of its plan as held here.
    pub fn followed_plan(&self) -> Option<(usize, u64, u64, u64)> {
        let k = self.following?;
        let copy = self.slots[k].copy.as_ref()?;
        Some((k, copy.life, copy.version, copy.membership))
    }

    /// Drains and leavings that this forwarder knows of, for its reports.
    pub fn closed(&self) -> Vec<ClosedServer> {
        let closed = |(name, mark): (&String, &Mark)| ClosedServer {
            epoch: 0,
            name: name.clone(),
            membership: mark.membership,
            started_ms: mark.started_at / MS,
            removed: mark.phase == Phase::Removed,
        };
        self.marks.iter().map(closed).collect()
    }

    /// What to go by now.
    pub fn view(&self, now: Nanos) -> View {
        let followed = self.following.and_then(|k| self.slots[k].copy.as_ref());
        let trusted = followed.map(|c| (c, trust(now.saturating_sub(c.heard_at)))).filter(|(_, t)| *t > 0.0);
        let Some((copy, trust)) = trusted else {
            let members =
                self.own.as_ref().map(|o| o.members.values().cloned().collect()).unwrap_or_default();
            return View { members: self.closing(members), ..View::default() };
        };
        let mut members: Vec<Member> = copy.rows.values().map(|h| h.member.clone()).collect();
        if let Some(own) = self.own.as_ref().filter(|o| o.version >= copy.membership) {
            // The membership itself is later word on who these are.
            members.iter_mut().for_each(|m| {
                if let Some(later) = own.members.get(&m.name) {
                    *m = later.clone();
                }
            });
        }
        let later = self.slots.iter().filter_map(|s| s.copy.as_ref());
        let later = later.filter(|c| {
            c.membership > copy.membership && now.saturating_sub(c.heard_at) < PLANNER_FRESH_TIME
        });
        for other in later {
            members.iter_mut().for_each(|m| {
                if let Some(held) = other.rows.get(&m.name) {
                    *m = held.member.clone();
                }
            });
        }
        members = self.closing(members);
        if let Some(own) = &self.own {
            self.fill(&mut members, own);
        }
        let word = |m: &Member| {
            let held = copy.rows.get(&m.name)?;
            Some(PlannedServer {
                name: m.name.clone(),
                score: grade::value(held.grade),
                suspicion: held.suspicion,
                slow_start_rate: self.cold_rate(now, &m.name),
            })
        };
        View {
            planned: members.iter().filter_map(word).collect(),
            members,
            trust,
            connections: copy.connections,
            classes: copy.portions[0].clone(),
            tenants: copy.portions[1].clone(),
            following: self.following.map(|k| self.slots[k].name.clone()),
        }
    }

    /// The members with all that is known of drains and leavings.
    fn closing(&self, members: Vec<Member>) -> Vec<Member> {
        let close = |m: Member| match self.marks.get(&m.name) {
            Some(mark) if mark.started_at >= m.server.started_at => {
                let phase = if m.server.phase == Phase::Removed { Phase::Removed } else { mark.phase };
                m.in_phase(phase)
            }
            _ => m,
        };
        members.into_iter().map(close).collect()
    }

    /// With nobody to plan, boxes that have left are replaced by others of the membership, each forwarder choosing
    /// its own by hash, so that together they spread over all.
    fn fill(&self, members: &mut Vec<Member>, own: &Own) {
        let ready = |m: &&Member| m.server.phase == Phase::Ready;
        let have = members.iter().filter(ready).count();
        let wanted = members.len().max(MIN_SERVERS);
        if have >= wanted {
            return;
        }
        let named: std::collections::BTreeSet<String> = members.iter().map(|m| m.name.clone()).collect();
        let others = own.members.values().filter(|m| !named.contains(&m.name)).cloned().collect();
        let mut others: Vec<Member> = self.closing(others);
        others.retain(|m| m.server.phase == Phase::Ready);
        let me = stable_hash(4, self.name.as_bytes());
        others.sort_by_cached_key(|m| scramble(me ^ stable_hash(5, m.name.as_bytes())));
        members.extend(others.into_iter().take(wanted - have));
        members.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// The least of the budgets that any planner heard lately gives.
    fn cold_rate(&self, now: Nanos, name: &str) -> f64 {
        let copies = self.slots.iter().filter_map(|s| s.copy.as_ref());
        let heeded = copies.filter(|c| now.saturating_sub(c.heard_at) < HEEDED);
        let rates = heeded.filter_map(|c| c.rows.get(name)).filter_map(|h| h.cold_rate);
        rates.fold(f64::INFINITY, f64::min)
    }
}

type Checked = Vec<(String, Option<Member>)>;

/// The rows with who they are, or why the part cannot be used.
fn checked(part: &PlanUpdate) -> Result<Checked, RejectReason> {
    let portions = || part.classes.iter().chain(&part.tenants);
    let many =
        part.rows.len() > MAX_ROWS || part.removed.len() > MAX_ROWS || portions().count() > MOST_PORTIONS;
    let rate = |r: f32| r.is_finite() && r >= 0.0;
    let bad_name = |name: &String| name.is_empty() || name.len() > MAX_NAME_BYTES;
    if many || part.version == 0 || portions().any(|p| !rate(p.rate) || bad_name(&p.name)) {
        return Err(RejectReason::Invalid);
    }
    let row = |row: &crate::wire::ServerRow| {
        if bad_name(&row.name) || row.slow_start_rate.is_some_and(|r| !rate(r)) {
            return Err(RejectReason::Invalid);
        }
        let member =
            row.attributes.as_ref().map(|facts| Member::from_attributes(&row.name, facts)).transpose();
        Ok((row.name.clone(), member.map_err(|_| RejectReason::Invalid)?))
    };
    part.rows.iter().map(row).collect()
}
