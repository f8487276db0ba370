//! One planner: the membership and the forwarders' reports in, each forwarder's plan out.
//!
//! All state is soft. A planner that starts from nothing has the membership from its source and each forwarder's
//! whole report a moment after; until then it says nothing, and forwarders go on by what they have. Planners need not
//! agree on anything: equal memberships give equal subsets, and what else they say is safe whoever is followed.
//!
//! Work follows changes: a report's row touches one box, a box's change touches the forwarders that use it.

use crate::check::check;
use crate::follower::MAX_ROWS;
use crate::grade;
use crate::member::{Member, MAX_NAME_BYTES};
use crate::share;
use crate::subset::{self, Coverage};
use crate::wire::{
    PlanAck, PlanUpdate, RateShare, RejectReason, Report, ServerAttributes, ServerReport, ServerRow,
    Suspicion,
};
use laurelroute_policy::interface::{Nanos, Phase, ATTEMPT_OUTCOMES};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

const MS: Nanos = 1_000_000;
/// Boxes that a planner holds at most, departed ones among them; further ones are counted, and not planned for.
pub const MAX_SERVERS: usize = 200_000;
/// Boxes over the limit that are counted; of more it is only known that there are at least so many.
pub(crate) const MAX_COUNTED_OVER_LIMIT: usize = 200_000;
/// Forwarders that a planner serves at most.
pub const MAX_FORWARDERS: usize = 10_000;
/// A planner collects reports for this long before its first plan, where nothing else is set: fewer forwarders than
/// there are would each get far too many boxes.
pub const DEFAULT_SETTLE_TIME: Nanos = 700 * MS;
/// Subsets are made anew no more often than this.
const PLAN_EVERY: Nanos = 100 * MS;
/// A forwarder that is lost keeps its boxes for this long: most come back.
pub const FORWARDER_GRACE: Nanos = 5_000 * MS;
/// A box that left is remembered for this long, so that old word of it is known to be old.
const REMEMBER: Nanos = 60_000 * MS;
/// Something is said to a forwarder at least this often, so that it knows that its plan stands.
pub const HEARTBEAT_INTERVAL: Nanos = 250 * MS;
/// Parts under way to a forwarder that are not answered yet. One that reads slowly gets the sum of all changes later.
const WINDOW: u64 = 4;
/// A part that is not answered for this long is taken for lost.
const PATIENCE: Nanos = 1_500 * MS;
/// Before a plan that was refused is offered again.
const REFUSED_WAIT: Nanos = 1_000 * MS;
/// A cold box gets this part of its ramp share of what a like warm one gets: as the decision module has it.
const COLD_SHARE: f64 = 0.9;
/// Budgets and portions that differ by less than this part are not told anew.
const HARDLY: f64 = 0.1;
/// PlanUpdate of a zone that may be suspected.
const SUSPECT_CAP: f64 = 0.5;
/// Forwarders that have to say so before a box is suspected: what only one of them meets may be its own network.
const WITNESSES: u32 = 2;
/// Share of failures above the fleet's that makes a box suspected, and its answer times against the fleet's.
const FAULTY: f64 = 0.35;
const SLOW: f64 = 4.0;
/// Bytes of a row that tells no facts, about.
const ROW_BYTES: f64 = 32.0;

/// What a planner is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The installation.
    pub site: String,
    /// When this life began, Unix time in milliseconds: of two lives the later one counts.
    pub incarnation: u64,
    /// Planners of this installation, running or not: cold budgets are split among them.
    pub planners: u32,
    /// Connections that one box takes of all forwarders together.
    pub max_connections: Option<u32>,
    /// Connections that a forwarder would like to hold to each of its boxes.
    pub wanted_connections: u32,
    /// A box starts at this share of its capacity.
    pub initial_capacity: f64,
    /// It is warm after this; accomplishment fades by e in the same time.
    pub ramp: Nanos,
    /// How long it collects reports before its first plan.
    pub settle_time: Nanos,
    /// Classes, with their limits in requests a second over all forwarders.
    pub classes: Vec<(String, Option<f64>)>,
    /// Tenants, with their shares in requests a second over all forwarders.
    pub tenants: Vec<(String, f64)>,
    /// Bytes a second that changes of grades may take to one forwarder. What is urgent is not held back.
    pub bytes_per_second: f64,
}

/// What has been published of a box, and is told to all who use it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Published {
    grade: u32,
    suspicion: Suspicion,
    /// Requests a second over all its forwarders; `None` for a warm box.
    cold: Option<f64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) member: Member,
    /// Version of the membership that last spoke of it.
    pub(crate) told_by: u64,
    gone_at: Option<Nanos>,
    /// Forwarders that have it in their subset.
    pub(crate) holders: BTreeSet<u32>,
    /// Forwarders that have reported on it.
    pub(crate) reporters: BTreeSet<u32>,
    /// Forwarders that have been told of it.
    knowers: BTreeSet<u32>,
    pub(crate) accomplished: f64,
    pub(crate) in_flight: u64,
    pub(crate) ejected: u32,
    pub(crate) faults: f64,
    pub(crate) lag: f64,
    pub(crate) endings: [u64; ATTEMPT_OUTCOMES],
    published: Published,
    /// Counts changes of who it is.
    facts: u32,
}

impl Server {
    pub(crate) fn suspicion(&self) -> Suspicion {
        self.published.suspicion
    }

    pub(crate) fn cold_budget(&self) -> Option<f64> {
        self.published.cold
    }

    fn ready(&self) -> bool {
        self.member.server.phase == Phase::Ready
    }

    fn size(&self) -> f64 {
        let size = f64::from(self.member.server.size);
        if size > 0.0 {
            size
        } else {
            1.0
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Told {
    row: Published,
    cold_rate: Option<f64>,
    facts: u32,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Forwarder {
    pub(crate) name: String,
    zone: u8,
    /// Since when it is not connected.
    left_at: Option<Nanos>,
    seen: BTreeMap<u32, ServerReport>,
    pub(crate) subset: Vec<u32>,
    told: BTreeMap<u32, Told>,
    pending: BTreeSet<u32>,
    removed: Vec<String>,
    version: u64,
    answered: u64,
    whole: bool,
    refused: bool,
    told_connections: u32,
    pub(crate) demand: [BTreeMap<usize, f64>; 2],
    portions: [BTreeMap<usize, f64>; 2],
    changed_portions: [BTreeSet<usize>; 2],
    sent_at: Nanos,
    tokens: f64,
    tokens_at: Nanos,
    pub(crate) following: String,
}

/// Word that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// Nobody of this name has joined.
    #[error("`{0}` has not joined")]
    NotJoined(String),
    /// There are as many forwarders as there may be.
    #[error("{MAX_FORWARDERS} forwarders are here already")]
    TooManyForwarders,
    /// A name is empty or too long.
    #[error("a name of {0} bytes")]
    Name(usize),
    /// A figure makes no sense.
    #[error("`{server}`: `{field}` is {value}")]
    #[allow(missing_docs)]
    InvalidValue { server: String, field: &'static str, value: String },
    /// A report has too many rows.
    #[error("{0} rows in one report")]
    Rows(usize),
}

/// One planner's whole state.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) settings: Settings,
    started_at: Nanos,
    membership: Option<u64>,
    pub(crate) servers: BTreeMap<u32, Server>,
    pub(crate) by_name: BTreeMap<String, u32>,
    next_server: u32,
    pub(crate) forwarders: BTreeMap<u32, Forwarder>,
    forwarder_ids: BTreeMap<String, u32>,
    next_forwarder: u32,
    cold: BTreeSet<u32>,
    cover: Coverage,
    dirty: bool,
    planned_at: Option<Nanos>,
    /// Sums over all boxes: shares of failures, and rows reported.
    faults: f64,
    rows: f64,
    /// Requests a second of all forwarders, by class and by tenant.
    pub(crate) demand: [BTreeMap<usize, f64>; 2],
    swept_at: Nanos,
    zones: BTreeMap<u8, Zone>,
    connected: usize,
    /// Boxes that are ready and over the limit, by a hash of their names.
    over: BTreeSet<u64>,
    /// Boxes that forwarders do not get because they have as many as they take: how many, by forwarder.
    left_out: BTreeMap<u32, usize>,
    /// Places of the names of classes and of tenants.
    places: [BTreeMap<String, usize>; 2],
}

/// Sums over the boxes of a zone, made anew at every sweep.
#[derive(Clone, Copy, Debug, Default)]
struct Zone {
    ready: u32,
    suspected: u32,
    /// Requests a second that a warm box of size 1 serves.
    warm_rate: Option<f64>,
}

impl Planner {
    /// A planner that knows nothing yet.
    pub fn new(now: Nanos, settings: Settings) -> Planner {
        let places = |names: Vec<&String>| names.into_iter().cloned().zip(0..).collect();
        Planner {
            places: [
                places(settings.classes.iter().map(|c| &c.0).collect()),
                places(settings.tenants.iter().map(|t| &t.0).collect()),
            ],
            settings,
            started_at: now,
            membership: None,
            servers: BTreeMap::new(),
            by_name: BTreeMap::new(),
            next_server: 0,
            forwarders: BTreeMap::new(),
            forwarder_ids: BTreeMap::new(),
            next_forwarder: 0,
            cold: BTreeSet::new(),
            cover: Coverage { forwarders: 1, connections: 0 },
            dirty: false,
            planned_at: None,
            faults: 0.0,
            rows: 0.0,
            demand: Default::default(),
            swept_at: now,
            zones: BTreeMap::new(),
            connected: 0,
            over: BTreeSet::new(),
            left_out: BTreeMap::new(),
        }
    }

    /// The version of the membership that it goes by.
    pub fn membership_version(&self) -> Option<u64> {
        self.membership
    }

    /// Whether it has made a plan.
    pub fn settled(&self) -> bool {
        self.planned_at.is_some()
    }

    /// How many forwarders a box has now.
    pub fn cover(&self) -> Coverage {
        self.cover
    }

    /// Boxes that are ready and not planned for, as there are more than a planner holds. One of them comes in when the
    /// membership names it again and there is room.
    pub fn over_limit(&self) -> usize {
        self.over.len()
    }

    pub(crate) fn is_over_limit(&self, name: &str) -> bool {
        self.over.contains(&hash(name))
    }

    /// Boxes that would be a forwarder's and are left out, as it takes no more: summed over forwarders.
    pub fn left_out(&self) -> usize {
        self.left_out.values().sum()
    }

    // ---- Membership ----

    /// The membership has spoken: a whole list, or changes to it.
    pub fn update_membership(&mut self, now: Nanos, version: u64, whole: bool, members: Vec<Member>) {
        self.membership = Some(version);
        if whole {
            self.over.clear();
            let named: BTreeSet<&str> = members.iter().map(|m| m.name.as_str()).collect();
            let absent = |s: &&u32| !named.contains(self.servers[*s].member.name.as_str());
            let absent: Vec<u32> = self.servers.keys().filter(absent).copied().collect();
            absent.into_iter().for_each(|s| self.close(now, s, Phase::Removed, version));
        }
        members.into_iter().for_each(|m| self.member(now, version, m));
    }

    fn member(&mut self, now: Nanos, version: u64, member: Member) {
        let known = self.by_name.get(&member.name).copied();
        if known.is_none() {
            let ready = member.server.phase == Phase::Ready;
            let full = self.servers.len() >= MAX_SERVERS;
            if !ready || !full {
                self.over.remove(&hash(&member.name));
            } else if self.over.len() < MAX_COUNTED_OVER_LIMIT {
                self.over.insert(hash(&member.name));
            }
            if !ready || full {
                return;
            }
        }
        let id = known.unwrap_or_else(|| self.add(member.clone(), version));
        if member.server.phase != Phase::Ready {
            return self.close(now, id, member.server.phase, version);
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.told_by = version;
        server.gone_at = None;
        if known.is_none() || server.member != member {
            self.dirty |=
                known.is_none() || !server.ready() || server.member.server.zone != member.server.zone;
            server.member = member;
            server.facts += 1;
            self.cold.insert(id);
            self.touch(id);
        }
    }

    fn add(&mut self, member: Member, version: u64) -> u32 {
        let id = self.next_server;
        self.next_server += 1;
        self.by_name.insert(member.name.clone(), id);
        let server = Server {
            member,
            told_by: version,
            gone_at: None,
            holders: BTreeSet::new(),
            reporters: BTreeSet::new(),
            knowers: BTreeSet::new(),
            accomplished: 0.0,
            in_flight: 0,
            ejected: 0,
            faults: 0.0,
            lag: 0.0,
            endings: [0; ATTEMPT_OUTCOMES],
            published: Published::default(),
            facts: 0,
        };
        self.servers.insert(id, server);
        id
    }

    fn close(&mut self, now: Nanos, id: u32, phase: Phase, version: u64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.told_by = server.told_by.max(version);
        if phase == Phase::Removed {
            server.gone_at.get_or_insert(now);
        }
        if server.member.server.phase != phase && server.member.server.phase != Phase::Removed {
            server.member.server.phase = phase;
            server.facts += 1;
            self.dirty = true;
            self.touch(id);
        }
    }

    /// All who use a box hear of its change.
    fn touch(&mut self, id: u32) {
        let Some(server) = self.servers.get(&id) else { return };
        for f in server.holders.iter().chain(&server.reporters).chain(&server.knowers) {
            if let Some(forwarder) = self.forwarders.get_mut(f) {
                forwarder.pending.insert(id);
            }
        }
    }

    // ---- Forwarders ----

    /// A forwarder has connected; it gets a whole plan.
    pub fn forwarder_connected(&mut self, now: Nanos, name: &str, zone: u8) -> Result<(), ReportError> {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(ReportError::Name(name.len()));
        }
        let id = match self.forwarder_ids.get(name) {
            Some(&id) => id,
            None if self.forwarders.len() >= MAX_FORWARDERS => return Err(ReportError::TooManyForwarders),
            None => {
                let id = self.next_forwarder;
                self.next_forwarder += 1;
                self.forwarder_ids.insert(name.to_owned(), id);
                self.forwarders.insert(id, Forwarder { name: name.to_owned(), zone, ..Forwarder::default() });
                self.dirty = true;
                id
            }
        };
        // What an earlier connection reported may be of an earlier life: its first report is whole.
        self.forget_seen(id);
        if let Some(f) = self.forwarders.get_mut(&id) {
            self.dirty |= f.zone != zone;
            f.zone = zone;
            f.left_at = None;
            f.refused = false;
            f.whole = true;
            f.answered = f.version;
            f.sent_at = 0;
            f.tokens_at = now;
        }
        Ok(())
    }

    /// A forwarder's connection is lost.
    pub fn forwarder_disconnected(&mut self, now: Nanos, name: &str) {
        if let Some(f) = self.forwarder_ids.get(name).and_then(|id| self.forwarders.get_mut(id)) {
            f.left_at.get_or_insert(now);
        }
    }

    fn forget_seen(&mut self, id: u32) {
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        let demand = std::mem::take(&mut f.demand);
        for s in std::mem::take(&mut f.seen).into_iter() {
            self.unsee(id, s.0, &s.1);
        }
        for (all, own) in self.demand.iter_mut().zip(demand) {
            own.into_iter().for_each(|(k, rate)| *all.entry(k).or_insert(0.0) -= rate);
        }
    }

    fn unsee(&mut self, forwarder: u32, server: u32, seen: &ServerReport) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.reporters.remove(&forwarder);
        s.accomplished = (s.accomplished - f64::from(seen.score)).max(0.0);
        s.in_flight = s.in_flight.saturating_sub(seen.in_flight.into());
        s.ejected = s.ejected.saturating_sub(seen.ejected.into());
        s.faults = (s.faults - f64::from(seen.failure_rate)).max(0.0);
        s.lag = (s.lag - f64::from(seen.relative_latency)).max(0.0);
        self.faults = (self.faults - f64::from(seen.failure_rate)).max(0.0);
        self.rows = (self.rows - 1.0).max(0.0);
    }

    fn see(&mut self, forwarder: u32, server: u32, seen: &ServerReport) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.reporters.insert(forwarder);
        s.accomplished += f64::from(seen.score);
        s.in_flight += u64::from(seen.in_flight);
        s.ejected += u32::from(seen.ejected);
        s.faults += f64::from(seen.failure_rate);
        s.lag += f64::from(seen.relative_latency);
        self.faults += f64::from(seen.failure_rate);
        self.rows += 1.0;
    }

    /// A forwarder's report. Nothing of it counts where any figure makes no sense.
    pub fn report(&mut self, now: Nanos, name: &str, report: &Report) -> Result<(), ReportError> {
        let id = *self.forwarder_ids.get(name).ok_or_else(|| ReportError::NotJoined(name.to_owned()))?;
        check(report)?;
        for row in &report.rows {
            // One that the membership has not told of yet is told again when it has: the forwarder repeats itself.
            let Some(&server) = self.by_name.get(&row.name) else { continue };
            let Some(forwarder) = self.forwarders.get_mut(&id) else { continue };
            let before = forwarder.seen.insert(server, ServerReport { name: String::new(), ..row.clone() });
            if let Some(before) = &before {
                self.unsee(id, server, before);
            }
            self.see(id, server, row);
            self.count_endings(server, before.as_ref(), row);
            self.publish(now, server);
        }
        for name in &report.dropped {
            let Some(&server) = self.by_name.get(name) else { continue };
            let seen = self.forwarders.get_mut(&id).and_then(|f| f.seen.remove(&server));
            if let Some(seen) = seen {
                self.unsee(id, server, &seen);
                self.publish(now, server);
            }
        }
        for closed in &report.closed {
            let Some(&server) = self.by_name.get(&closed.name) else { continue };
            let s = &self.servers[&server];
            let same_life = s.member.server.started_at / MS <= closed.started_ms;
            if closed.membership >= s.told_by && same_life {
                let phase = if closed.removed { Phase::Removed } else { Phase::Draining };
                self.close(now, server, phase, closed.membership);
            }
        }
        for (k, portions) in [&report.classes, &report.tenants].into_iter().enumerate() {
            for portion in portions {
                let Some(&place) = self.places[k].get(&portion.name) else { continue };
                let Some(forwarder) = self.forwarders.get_mut(&id) else { continue };
                let rate = f64::from(portion.rate);
                let before = forwarder.demand[k].insert(place, rate).unwrap_or(0.0);
                let all = self.demand[k].entry(place).or_insert(0.0);
                *all = (*all + rate - before).max(0.0);
            }
        }
        if let Some(f) = self.forwarders.get_mut(&id) {
            f.following.clone_from(&report.following);
        }
        self.apportion(id);
        Ok(())
    }

    fn count_endings(&mut self, server: u32, before: Option<&ServerReport>, row: &ServerReport) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        for (k, &count) in row.outcomes.iter().take(ATTEMPT_OUTCOMES).enumerate() {
            let told = before.and_then(|b| b.outcomes.get(k)).copied().unwrap_or(0);
            // A count that falls is a new life's.
            s.endings[k] += u64::from(count.checked_sub(told).unwrap_or(count));
        }
    }

    /// This forwarder's parts of limits and shares, by what it asks for now.
    fn apportion(&mut self, id: u32) {
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        for k in 0..2 {
            for (&place, &own) in &f.demand[k] {
                let limit = match k {
                    0 => self.settings.classes[place].1,
                    _ => Some(self.settings.tenants[place].1),
                };
                let Some(limit) = limit else { continue };
                let all = self.demand[k].get(&place).copied().unwrap_or(0.0);
                let part = share::part(limit, own, all, self.connected);
                let told = f.portions[k].get(&place).copied();
                if told.is_none_or(|told| (part - told).abs() > HARDLY * told) {
                    f.portions[k].insert(place, part);
                    f.changed_portions[k].insert(place);
                }
            }
        }
    }

    /// A forwarder has taken a part in, or has not.
    pub fn handle_ack(&mut self, name: &str, reply: &PlanAck) {
        let life = self.settings.incarnation;
        let Some(f) = self.forwarder_ids.get(name).and_then(|id| self.forwarders.get_mut(id)) else { return };
        // Another life's, or one that a whole plan has overtaken.
        if reply.incarnation != life || reply.version <= f.answered || reply.version > f.version {
            return;
        }
        f.answered = reply.version;
        f.whole |= reply.refused == RejectReason::UnknownBase as i32;
        f.refused = false;
        if reply.refused != RejectReason::Accepted as i32 && reply.refused != RejectReason::UnknownBase as i32
        {
            // Saying the same again would not help: it gets the whole when something has changed, or after a pause.
            f.whole = true;
            f.refused = true;
            f.answered = f.version;
        }
    }

    // ---- What is published of a box ----

    /// Weighs all word of a box anew, and tells its forwarders where that makes a difference.
    fn publish(&mut self, now: Nanos, id: u32) {
        let suspicion = self.suspicion(id);
        let cold = self.cold_budget(now, id);
        let Some(server) = self.servers.get_mut(&id) else { return };
        let before = server.published;
        let grade = grade::of(server.accomplished);
        let mut after = Published { suspicion, ..before };
        if grade::differs(before.grade, grade) {
            after.grade = grade;
        }
        after.cold = match (before.cold, cold) {
            (Some(told), Some(budget)) if (budget - told).abs() < HARDLY * told => Some(told),
            (_, cold) => cold,
        };
        if after != before {
            server.published = after;
            let (was, is) = (before.suspicion != Suspicion::None, suspicion != Suspicion::None);
            let zone = self.zones.entry(server.member.server.zone).or_default();
            zone.suspected = (zone.suspected + u32::from(is && !was)).saturating_sub(u32::from(was && !is));
            self.touch(id);
        }
    }

    fn suspicion(&self, id: u32) -> Suspicion {
        let Some(s) = self.servers.get(&id) else { return Suspicion::None };
        let witnesses = s.reporters.len() as u32;
        if witnesses < WITNESSES {
            return Suspicion::None;
        }
        let of = f64::from(witnesses);
        let usual = self.faults / self.rows.max(1.0);
        let reason = if s.ejected >= WITNESSES.max(witnesses.div_ceil(2)) {
            let refused = s.endings[laurelroute_policy::interface::AttemptOutcome::ConnectFailed as usize];
            if refused > 0 {
                Suspicion::Refuses
            } else {
                Suspicion::Fails
            }
        } else if s.faults / of > FAULTY + usual {
            Suspicion::Fails
        } else if s.lag / of > SLOW {
            Suspicion::Slow
        } else {
            return Suspicion::None;
        };
        if s.published.suspicion != Suspicion::None {
            return reason;
        }
        let zone = self.zones.get(&s.member.server.zone).copied().unwrap_or_default();
        if f64::from(zone.suspected + 1) > SUSPECT_CAP * f64::from(zone.ready) {
            return Suspicion::None;
        }
        reason
    }

    /// Requests a second that all forwarders together may send a cold box; `None` for a warm one, and where nobody has
    /// said yet what a warm one gets.
    fn cold_budget(&self, now: Nanos, id: u32) -> Option<f64> {
        let s = self.servers.get(&id)?;
        let share = self.ramp_share(now, s)?;
        let warm = self.zones.get(&s.member.server.zone)?.warm_rate?;
        Some(COLD_SHARE * share * warm * s.size())
    }

    /// Sums by zone, for budgets and for the part that may be suspected.
    fn sum_zones(&mut self, now: Nanos) {
        let mut sums: BTreeMap<u8, (Zone, f64, f64)> = BTreeMap::new();
        for s in self.servers.values().filter(|s| s.ready()) {
            let (zone, served, sizes) = sums.entry(s.member.server.zone).or_default();
            zone.ready += 1;
            zone.suspected += u32::from(s.published.suspicion != Suspicion::None);
            if s.accomplished > 0.0 && self.ramp_share(now, s).is_none() {
                *served += s.accomplished;
                *sizes += s.size();
            }
        }
        // Accomplishment fades by e in a ramp: at a steady rate it stands at what is served in one.
        let seconds = self.settings.ramp as f64 / 1e9;
        let sum = |(zone, served, sizes): (Zone, f64, f64)| Zone {
            warm_rate: (sizes > 0.0).then(|| served / seconds / sizes),
            ..zone
        };
        self.zones = sums.into_iter().map(|(id, sums)| (id, sum(sums))).collect();
        self.connected = self.forwarders.values().filter(|f| f.left_at.is_none()).count();
    }

    /// The share of its capacity that a box has reached, where it is still cold.
    fn ramp_share(&self, now: Nanos, server: &Server) -> Option<f64> {
        let started = server.member.server.started_at;
        if started == 0 {
            return None;
        }
        let age = now.saturating_sub(started) as f64 / self.settings.ramp as f64;
        let share = self.settings.initial_capacity + (1.0 - self.settings.initial_capacity) * age;
        (share < 1.0).then_some(share)
    }

    // ---- Time ----

    /// Does what is due: subsets after changes, budgets of cold boxes, leaving out who has been away for long.
    pub fn poll(&mut self, now: Nanos) {
        if now.saturating_sub(self.swept_at) >= HEARTBEAT_INTERVAL {
            self.swept_at = now;
            self.sweep(now);
        }
        let due = match self.planned_at {
            None => {
                self.membership.is_some() && now.saturating_sub(self.started_at) >= self.settings.settle_time
            }
            Some(at) => self.dirty && now.saturating_sub(at) >= PLAN_EVERY,
        };
        if due {
            self.plan(now);
        }
    }

    fn sweep(&mut self, now: Nanos) {
        self.sum_zones(now);
        let lost = |f: &Forwarder| f.left_at.is_some_and(|at| now.saturating_sub(at) > FORWARDER_GRACE);
        let lost: Vec<u32> = self.forwarders.iter().filter(|(_, f)| lost(f)).map(|(id, _)| *id).collect();
        for id in lost {
            self.forget_seen(id);
            if let Some(f) = self.forwarders.remove(&id) {
                self.forwarder_ids.remove(&f.name);
                for s in f.subset.iter().chain(f.told.keys()) {
                    if let Some(s) = self.servers.get_mut(s) {
                        s.holders.remove(&id);
                        s.knowers.remove(&id);
                    }
                }
            }
            self.dirty = true;
        }
        let old = |s: &Server| s.gone_at.is_some_and(|at| now.saturating_sub(at) > REMEMBER);
        let old: Vec<u32> = self.servers.iter().filter(|(_, s)| old(s)).map(|(id, _)| *id).collect();
        for id in old {
            let Some(s) = self.servers.remove(&id) else { continue };
            self.by_name.remove(&s.member.name);
            for f in s.holders.iter().chain(&s.reporters).chain(&s.knowers) {
                let Some(f) = self.forwarders.get_mut(f) else { continue };
                f.seen.remove(&id);
                f.pending.remove(&id);
                if f.told.remove(&id).is_some() {
                    f.removed.push(s.member.name.clone());
                }
            }
        }
        for id in std::mem::take(&mut self.cold) {
            let cold = self.servers.get(&id).is_some_and(|s| s.ready() && self.ramp_share(now, s).is_some());
            self.publish(now, id);
            if cold {
                self.cold.insert(id);
            }
        }
    }

    /// Deals the boxes to the forwarders anew: zone by zone, first to those at home there, one more lot to the others.
    fn plan(&mut self, now: Nanos) {
        self.planned_at = Some(now);
        self.dirty = false;
        let ready: Vec<Named> = self
            .servers
            .iter()
            .filter(|(_, s)| s.ready())
            .map(|(id, s)| (*id, s.member.server.zone, s.member.name.as_str()))
            .collect();
        let movers: Vec<Named> =
            self.forwarders.iter().map(|(id, f)| (*id, f.zone, f.name.as_str())).collect();
        self.cover = subset::cover(
            movers.len(),
            ready.len(),
            self.settings.max_connections,
            self.settings.wanted_connections,
        );
        let zones: BTreeSet<u8> = ready.iter().map(|r| r.1).collect();
        let mut dealt: BTreeMap<u32, Vec<u32>> = movers.iter().map(|m| (m.0, Vec::new())).collect();
        for zone in zones {
            let boxes: Vec<_> = ready.iter().filter(|r| r.1 == zone).collect();
            let (home, away): (Vec<&Named>, Vec<&Named>) = movers.iter().partition(|m| m.1 == zone);
            let cover = self.cover.forwarders;
            let far = usize::from(!away.is_empty() && (cover > 1 || home.is_empty()));
            for (group, cover) in
                [(&home, cover - far.min(cover - 1)), (&away, if home.is_empty() { cover } else { far })]
            {
                if group.is_empty() || cover == 0 {
                    continue;
                }
                let names: Vec<&str> = group.iter().map(|m| m.2).collect();
                let box_names: Vec<&str> = boxes.iter().map(|b| b.2).collect();
                for (subset, mover) in subset::subsets(&names, &box_names, cover).into_iter().zip(group) {
                    let held = dealt.entry(mover.0).or_default();
                    held.extend(subset.into_iter().map(|k| boxes[k as usize].0));
                }
            }
        }
        self.left_out.clear();
        for (id, mut subset) in dealt {
            subset.sort_unstable();
            if subset.len() > MAX_ROWS {
                self.left_out.insert(id, subset.len() - MAX_ROWS);
                subset.truncate(MAX_ROWS);
            }
            self.assign(id, subset);
        }
    }

    fn assign(&mut self, id: u32, subset: Vec<u32>) {
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        if f.subset == subset {
            return;
        }
        let before = std::mem::replace(&mut f.subset, subset);
        for s in before.iter().filter(|s| f.subset.binary_search(s).is_err()) {
            f.pending.insert(*s);
            self.servers.get_mut(s).map(|s| s.holders.remove(&id));
        }
        for s in f.subset.iter().filter(|s| before.binary_search(s).is_err()) {
            f.pending.insert(*s);
            self.servers.get_mut(s).map(|s| s.holders.insert(id));
        }
    }

    // ---- Parts ----

    /// What a forwarder is to be told now, if anything: a whole plan, changes, or that all stands as it was.
    pub fn next_update(&mut self, now: Nanos, name: &str) -> Option<PlanUpdate> {
        let id = *self.forwarder_ids.get(name)?;
        self.planned_at?;
        let f = self.forwarders.get_mut(&id)?;
        if f.left_at.is_some() {
            return None;
        }
        let waiting = f.version - f.answered;
        if waiting > 0 && now.saturating_sub(f.sent_at) > PATIENCE {
            f.whole = true;
            f.answered = f.version;
        } else if waiting >= WINDOW {
            return None;
        }
        let pause = now.saturating_sub(f.sent_at);
        if f.whole {
            let wait = if f.refused { REFUSED_WAIT } else { HEARTBEAT_INTERVAL };
            return (f.sent_at == 0 || pause >= wait).then(|| self.whole(now, id)).flatten();
        }
        let elapsed = now.saturating_sub(f.tokens_at) as f64 / 1e9;
        f.tokens = (f.tokens + elapsed * self.settings.bytes_per_second).min(self.settings.bytes_per_second);
        f.tokens_at = now;
        let part = self.changes(now, id);
        if part.is_some() || pause < HEARTBEAT_INTERVAL {
            return part;
        }
        let f = self.forwarders.get_mut(&id)?;
        f.sent_at = now;
        let (version, base) = (f.version, f.version);
        Some(self.part(version, base))
    }

    fn part(&self, version: u64, base: u64) -> PlanUpdate {
        PlanUpdate {
            site: self.settings.site.clone(),
            incarnation: self.settings.incarnation,
            version,
            base,
            membership: self.membership.unwrap_or(0),
            connections: self.cover.connections,
            ..PlanUpdate::default()
        }
    }

    fn whole(&mut self, now: Nanos, id: u32) -> Option<PlanUpdate> {
        let f = self.forwarders.get_mut(&id)?;
        for s in std::mem::take(&mut f.told).keys() {
            self.servers.get_mut(s).map(|s| s.knowers.remove(&id));
        }
        f.removed.clear();
        f.pending = f.subset.iter().copied().collect();
        let servers = &self.servers;
        let closed = |s: &&u32| servers.get(s).is_some_and(|s| !s.ready());
        f.pending.extend(f.seen.keys().filter(closed).copied());
        f.changed_portions = [0, 1].map(|k| f.portions[k].keys().copied().collect());
        f.whole = false;
        f.tokens = f64::INFINITY;
        f.told_connections = self.cover.connections;
        let part = self.changes(now, id);
        let f = self.forwarders.get_mut(&id)?;
        f.tokens = 0.0;
        f.sent_at = now;
        if part.is_none() {
            f.version += 1;
        }
        let version = f.version;
        Some(PlanUpdate { base: 0, ..part.unwrap_or_else(|| self.part(version, 0)) })
    }

    /// The row of a box as a forwarder should know it; `None` where it should not.
    fn row(&self, forwarder: &Forwarder, id: u32) -> Option<(Told, &Server)> {
        let server = self.servers.get(&id)?;
        let held = forwarder.subset.binary_search(&id).is_ok();
        let used = !server.ready() && (forwarder.told.contains_key(&id) || forwarder.seen.contains_key(&id));
        if !held && !used {
            return None;
        }
        let sharers = self.settings.planners.max(1) as usize * server.holders.len().max(1);
        let cold_rate = server.published.cold.map(|budget| budget / sharers as f64);
        Some((Told { row: server.published, cold_rate, facts: server.facts }, server))
    }

    fn changes(&mut self, now: Nanos, id: u32) -> Option<PlanUpdate> {
        let f = self.forwarders.get(&id)?;
        let mut tokens = f.tokens;
        let (mut rows, mut told, mut later, mut removed) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for &s in &f.pending {
            let before = f.told.get(&s);
            let Some((row, server)) = self.row(f, s) else {
                if before.is_some() {
                    removed.push(s);
                }
                continue;
            };
            if before == Some(&row) {
                continue;
            }
            let only_grade = before.is_some_and(|b| {
                b.facts == row.facts && b.row.suspicion == row.row.suspicion && b.cold_rate == row.cold_rate
            });
            if only_grade && tokens < ROW_BYTES {
                later.push(s);
                continue;
            }
            tokens -= ROW_BYTES;
            let facts: Option<ServerAttributes> =
                before.is_none_or(|b| b.facts != row.facts).then(|| server.member.attributes());
            rows.push(ServerRow {
                name: server.member.name.clone(),
                attributes: facts,
                grade: row.row.grade,
                suspicion: row.row.suspicion as i32,
                slow_start_rate: row.cold_rate.map(|r| r as f32),
            });
            told.push((s, row));
        }
        let names: Vec<String> = removed
            .iter()
            .map(|s| self.servers.get(s).map(|s| s.member.name.clone()))
            .map(Option::unwrap_or_default)
            .collect();
        let connections = self.cover.connections;
        let portions = |k: usize, names: &dyn Fn(usize) -> String| -> Vec<RateShare> {
            let of = |&place: &usize| RateShare {
                name: names(place),
                rate: f.portions[k].get(&place).copied().unwrap_or(0.0) as f32,
            };
            f.changed_portions[k].iter().map(of).collect()
        };
        let classes = portions(0, &|place| self.settings.classes[place].0.clone());
        let tenants = portions(1, &|place| self.settings.tenants[place].0.clone());
        let told_connections = f.told_connections;
        let f = self.forwarders.get_mut(&id)?;
        f.tokens = tokens.max(0.0);
        f.pending = later.into_iter().collect();
        let mut gone: Vec<String> = std::mem::take(&mut f.removed);
        gone.extend(names.into_iter().filter(|n| !n.is_empty()));
        for s in &removed {
            f.told.remove(s);
            self.servers.get_mut(s).map(|s| s.knowers.remove(&id));
        }
        for (s, row) in told {
            f.told.insert(s, row);
            self.servers.get_mut(&s).map(|s| s.knowers.insert(id));
        }
        f.changed_portions = Default::default();
        f.told_connections = connections;
        let nothing = rows.is_empty() && gone.is_empty() && classes.is_empty() && tenants.is_empty();
        if nothing && told_connections == connections {
            return None;
        }
        f.sent_at = now;
        let base = f.version;
        f.version += 1;
        let version = f.version;
        Some(PlanUpdate { rows, removed: gone, classes, tenants, ..self.part(version, base) })
    }

    /// Forwarders that are connected.
    pub fn connected(&self) -> usize {
        self.forwarders.values().filter(|f| f.left_at.is_none()).count()
    }

    /// Forwarders that hold their plan as it is now.
    pub fn up_to_date(&self) -> usize {
        let holds = |f: &&Forwarder| {
            f.left_at.is_none() && !f.whole && !f.refused && f.version > 0 && f.answered == f.version
        };
        self.forwarders.values().filter(holds).count()
    }

    /// A forwarder's subset, by name, for those who look on.
    pub fn subset_of(&self, forwarder: &str) -> Vec<&str> {
        let f = self.forwarder_ids.get(forwarder).and_then(|id| self.forwarders.get(id));
        let names = |f: &Forwarder| {
            f.subset.iter().filter_map(|s| self.servers.get(s)).map(|s| s.member.name.as_str()).collect()
        };
        f.map(names).unwrap_or_default()
    }
}

fn hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Number, zone and name of a box or a forwarder.
type Named<'a> = (u32, u8, &'a str);
