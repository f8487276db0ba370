//! The planner: computes each forwarder's plan from the membership and the forwarders' reports.
//!
//! All state is soft. A restarted planner receives the membership from its source and a full report from each
//! forwarder shortly after; until then it sends nothing, and forwarders continue with the plans they hold. Planners
//! need no agreement: equal memberships give equal subsets, and the rest of a plan is safe whichever planner is
//! followed.
//!
//! Work is proportional to changes: a row of a report touches one server, a changed server touches the forwarders
//! that use it.

mod reports;
mod updates;

use crate::check::check;
use crate::follower::MAX_ROWS;
use crate::grade;
use crate::list_age::ListConfirmation;
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
/// Maximum number of servers, removed ones included; further ones are counted but not planned for.
pub const MAX_SERVERS: usize = 200_000;
/// Maximum number of servers over the limit that are counted; beyond it the count is a lower bound.
pub(crate) const MAX_COUNTED_OVER_LIMIT: usize = 200_000;
/// Maximum number of forwarders of a planner.
pub const MAX_FORWARDERS: usize = 10_000;
/// Default time for which a planner collects reports before its first plan: while some forwarders are not connected
/// yet, the others would each be assigned remote_cover too many servers.
pub const DEFAULT_SETTLE_TIME: Nanos = 700 * MS;
/// Minimum interval between two computations of the subsets.
const MIN_PLAN_INTERVAL: Nanos = 100 * MS;
/// A disconnected forwarder keeps its servers for this long: most reconnect.
pub const FORWARDER_GRACE: Nanos = 5_000 * MS;
/// A removed server is remembered for this long, so that stale reports of it are recognized.
const REMOVED_RETENTION: Nanos = 60_000 * MS;
/// Maximum interval between two messages to a forwarder; an empty update confirms that its plan is current.
pub const HEARTBEAT_INTERVAL: Nanos = 250 * MS;
/// Maximum number of unacknowledged updates to a forwarder. A slow reader gets the accumulated changes deferred.
const MAX_UNACKED_UPDATES: u64 = 4;
/// An update that is not acknowledged within this time is considered lost.
const ACK_TIMEOUT: Nanos = 1_500 * MS;
/// Delay before a rejected plan is sent again.
const REJECTED_RETRY_DELAY: Nanos = 1_000 * MS;
/// A server in slow start gets this fraction of its capacity fraction times the rate of a comparable warm server, as in
/// the decision module.
const SLOW_START_FACTOR: f64 = 0.9;
/// Relative change below which a budget or rate share is not sent again.
const MIN_RELATIVE_CHANGE: f64 = 0.1;
/// Maximum fraction of a zone's servers that may be suspected.
const MAX_SUSPECTED_FRACTION: f64 = 0.5;
/// Forwarders that must report a server before it is suspected: failures report by only one may be its own network's.
const MIN_WITNESSES: u32 = 2;
/// Excess over the fleet's failure rate at which a server is suspected.
const FAILURE_RATE_MARGIN: f64 = 0.35;
/// Latency relative to the fleet's at which a server is suspected.
const SLOW_RELATIVE_LATENCY: f64 = 4.0;
/// Approximate size in bytes of a row without attributes.
const ROW_BYTES: f64 = 32.0;

/// Settings of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The installation.
    pub site: String,
    /// Start time of this process, Unix time in milliseconds; the deferred of two incarnations takes precedence.
    pub incarnation: u64,
    /// Planners of this installation, running or not: slow-start budgets are split among them.
    pub planners: u32,
    /// Maximum connections to one server from all forwarders together.
    pub max_connections: Option<u32>,
    /// Connections that a forwarder should be able to hold to each of its servers.
    pub wanted_connections: u32,
    /// Fraction of its capacity at which a server starts.
    pub initial_capacity: f64,
    /// Duration of slow start; scores decay by a factor of e in the same time.
    pub ramp: Nanos,
    /// How long reports are collected before the first plan.
    pub settle_time: Nanos,
    /// Classes, with their limits in requests per second over all forwarders.
    pub classes: Vec<(String, Option<f64>)>,
    /// Tenants, with their quotas in requests per second over all forwarders.
    pub tenants: Vec<(String, f64)>,
    /// Bytes per second for grade changes to one forwarder. Urgent changes are not limited.
    pub bytes_per_second: f64,
}

/// The state of a server that is sent to all forwarders that use it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Published {
    grade: u32,
    suspicion: Suspicion,
    /// Requests per second over all its forwarders; `None` outside slow start.
    slow_start_budget: Option<f64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) member: Member,
    /// Version of the membership that last listed it.
    pub(crate) membership_version: u64,
    removed_at: Option<Nanos>,
    /// Forwarders that have it in their subsets.
    pub(crate) holders: BTreeSet<u32>,
    /// Forwarders that have reported on it.
    pub(crate) reporters: BTreeSet<u32>,
    /// Forwarders that were sent a row of it.
    informed: BTreeSet<u32>,
    pub(crate) score: f64,
    pub(crate) in_flight: u64,
    pub(crate) ejected: u32,
    pub(crate) failure_rate_sum: f64,
    pub(crate) latency_sum: f64,
    pub(crate) outcomes: [u64; ATTEMPT_OUTCOMES],
    published: Published,
    /// Incremented with each change of its attributes.
    attributes_version: u32,
}

impl Server {
    pub(crate) fn suspicion(&self) -> Suspicion {
        self.published.suspicion
    }

    pub(crate) fn slow_start_budget(&self) -> Option<f64> {
        self.published.slow_start_budget
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

/// The row of a server last sent to a forwarder.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SentRow {
    published: Published,
    slow_start_rate: Option<f64>,
    attributes_version: u32,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Forwarder {
    pub(crate) name: String,
    zone: u8,
    /// When it disconnected; `None` while it is connected.
    disconnected_at: Option<Nanos>,
    reports: BTreeMap<u32, ServerReport>,
    pub(crate) subset: Vec<u32>,
    sent_rows: BTreeMap<u32, SentRow>,
    pending: BTreeSet<u32>,
    removed: Vec<String>,
    version: u64,
    acked_version: u64,
    needs_full_plan: bool,
    rejected: bool,
    sent_connections: u32,
    pub(crate) demand: [BTreeMap<usize, f64>; 2],
    rate_shares: [BTreeMap<usize, f64>; 2],
    changed_rate_shares: [BTreeSet<usize>; 2],
    sent_at: Nanos,
    tokens: f64,
    refilled_at: Nanos,
    pub(crate) following: String,
}

/// Why a report or a forwarder is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// No forwarder of this name is connected.
    #[error("`{0}` has not joined")]
    NotJoined(String),
    /// The maximum number of forwarders is reached.
    #[error("{MAX_FORWARDERS} forwarders are here already")]
    TooManyForwarders,
    /// A name is empty or too long.
    #[error("a name of {0} bytes")]
    Name(usize),
    /// A value is out of range.
    #[error("`{server}`: `{field}` is {value}")]
    #[allow(missing_docs)]
    InvalidValue { server: String, field: &'static str, value: String },
    /// A report has too many rows.
    #[error("{0} rows in one report")]
    Rows(usize),
}

/// The state of a planner.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) settings: Settings,
    started_at: Nanos,
    membership: Option<u64>,
    /// When the source last confirmed the membership.
    pub(crate) list_confirmation: ListConfirmation,
    pub(crate) servers: BTreeMap<u32, Server>,
    pub(crate) by_name: BTreeMap<String, u32>,
    next_server: u32,
    pub(crate) forwarders: BTreeMap<u32, Forwarder>,
    forwarder_ids: BTreeMap<String, u32>,
    next_forwarder: u32,
    slow_starting: BTreeSet<u32>,
    cover: Coverage,
    replan_needed: bool,
    planned_at: Option<Nanos>,
    /// Sum of the reported failure rates over all servers and forwarders, and the number of summands.
    failure_rate_sum: f64,
    reported_rows: f64,
    /// Requests per second of all forwarders, by class and by tenant.
    pub(crate) demand: [BTreeMap<usize, f64>; 2],
    last_sweep_at: Nanos,
    zones: BTreeMap<u8, Zone>,
    connected: usize,
    /// Ready servers over the limit, by a hash of their names.
    over_limit_names: BTreeSet<u64>,
    /// Number of servers that do not fit into a forwarder's subset, by forwarder.
    left_out_servers: BTreeMap<u32, usize>,
    /// Indexes of classes and of tenants by name.
    name_indexes: [BTreeMap<String, usize>; 2],
}

/// Sums over the servers of a zone, recomputed at every sweep.
#[derive(Clone, Copy, Debug, Default)]
struct Zone {
    ready: u32,
    suspected: u32,
    /// Requests per second that a warm server of size 1 serves.
    warm_rate: Option<f64>,
}

impl Planner {
    /// A planner without membership and forwarders.
    pub fn new(now: Nanos, settings: Settings) -> Planner {
        let indexes = |names: Vec<&String>| names.into_iter().cloned().zip(0..).collect();
        Planner {
            name_indexes: [
                indexes(settings.classes.iter().map(|c| &c.0).collect()),
                indexes(settings.tenants.iter().map(|t| &t.0).collect()),
            ],
            settings,
            started_at: now,
            membership: None,
            list_confirmation: ListConfirmation::default(),
            servers: BTreeMap::new(),
            by_name: BTreeMap::new(),
            next_server: 0,
            forwarders: BTreeMap::new(),
            forwarder_ids: BTreeMap::new(),
            next_forwarder: 0,
            slow_starting: BTreeSet::new(),
            cover: Coverage { forwarders: 1, connections: 0 },
            replan_needed: false,
            planned_at: None,
            failure_rate_sum: 0.0,
            reported_rows: 0.0,
            demand: Default::default(),
            last_sweep_at: now,
            zones: BTreeMap::new(),
            connected: 0,
            over_limit_names: BTreeSet::new(),
            left_out_servers: BTreeMap::new(),
        }
    }

    /// The version of the membership that was last applied.
    pub fn membership_version(&self) -> Option<u64> {
        self.membership
    }

    /// Whether the first plan has been computed.
    pub fn settled(&self) -> bool {
        self.planned_at.is_some()
    }

    /// The number of forwarders per server, and their connection limit.
    pub fn cover(&self) -> Coverage {
        self.cover
    }

    /// Number of ready servers that are not planned for because of [`MAX_SERVERS`]. One of them is admitted when the
    /// membership lists it again and there is room.
    pub fn over_limit(&self) -> usize {
        self.over_limit_names.len()
    }

    pub(crate) fn is_over_limit(&self, name: &str) -> bool {
        self.over_limit_names.contains(&hash(name))
    }

    /// Servers left out of forwarders' subsets because these are full, summed over forwarders.
    pub fn left_out(&self) -> usize {
        self.left_out_servers.values().sum()
    }

    // ---- Membership ----

    /// Applies a membership list: a full one, or changes.
    pub fn update_membership(&mut self, now: Nanos, version: u64, full: bool, members: Vec<Member>) {
        self.membership = Some(version);
        self.list_confirmation = ListConfirmation::at(now);
        if full {
            self.over_limit_names.clear();
            let named: BTreeSet<&str> = members.iter().map(|m| m.name.as_str()).collect();
            let absent = |s: &&u32| !named.contains(self.servers[*s].member.name.as_str());
            let absent: Vec<u32> = self.servers.keys().filter(absent).copied().collect();
            absent.into_iter().for_each(|s| self.close_server(now, s, Phase::Removed, version));
        }
        members.into_iter().for_each(|m| self.update_member(now, version, m));
    }

    /// Records that the source has confirmed the membership as it is: a heartbeat of its watch.
    pub fn confirm_membership(&mut self, now: Nanos) {
        if self.membership.is_some() {
            self.list_confirmation = ListConfirmation::at(now);
        }
    }

    fn update_member(&mut self, now: Nanos, version: u64, member: Member) {
        let known = self.by_name.get(&member.name).copied();
        if known.is_none() {
            let ready = member.server.phase == Phase::Ready;
            let full = self.servers.len() >= MAX_SERVERS;
            if !ready || !full {
                self.over_limit_names.remove(&hash(&member.name));
            } else if self.over_limit_names.len() < MAX_COUNTED_OVER_LIMIT {
                self.over_limit_names.insert(hash(&member.name));
            }
            if !ready || full {
                return;
            }
        }
        let id = known.unwrap_or_else(|| self.add(member.clone(), version));
        if member.server.phase != Phase::Ready {
            return self.close_server(now, id, member.server.phase, version);
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.membership_version = version;
        server.removed_at = None;
        if known.is_none() || server.member != member {
            self.replan_needed |=
                known.is_none() || !server.ready() || server.member.server.zone != member.server.zone;
            server.member = member;
            server.attributes_version += 1;
            self.slow_starting.insert(id);
            self.mark_pending(id);
        }
    }

    fn add(&mut self, member: Member, version: u64) -> u32 {
        let id = self.next_server;
        self.next_server += 1;
        self.by_name.insert(member.name.clone(), id);
        let server = Server {
            member,
            membership_version: version,
            removed_at: None,
            holders: BTreeSet::new(),
            reporters: BTreeSet::new(),
            informed: BTreeSet::new(),
            score: 0.0,
            in_flight: 0,
            ejected: 0,
            failure_rate_sum: 0.0,
            latency_sum: 0.0,
            outcomes: [0; ATTEMPT_OUTCOMES],
            published: Published::default(),
            attributes_version: 0,
        };
        self.servers.insert(id, server);
        id
    }

    fn close_server(&mut self, now: Nanos, id: u32, phase: Phase, version: u64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.membership_version = server.membership_version.max(version);
        if phase == Phase::Removed {
            server.removed_at.get_or_insert(now);
        }
        if server.member.server.phase != phase && server.member.server.phase != Phase::Removed {
            server.member.server.phase = phase;
            server.attributes_version += 1;
            self.replan_needed = true;
            self.mark_pending(id);
        }
    }

    /// Marks a server as pending at all forwarders that use it.
    fn mark_pending(&mut self, id: u32) {
        let Some(server) = self.servers.get(&id) else { return };
        for f in server.holders.iter().chain(&server.reporters).chain(&server.informed) {
            if let Some(forwarder) = self.forwarders.get_mut(f) {
                forwarder.pending.insert(id);
            }
        }
    }

    // ---- Forwarders ----

    /// Registers a forwarder's connection; it gets a full plan.
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
                self.replan_needed = true;
                id
            }
        };
        // An earlier connection may have been of an earlier process; the first report on a connection is full.
        self.discard_reports(id);
        if let Some(f) = self.forwarders.get_mut(&id) {
            self.replan_needed |= f.zone != zone;
            f.zone = zone;
            f.disconnected_at = None;
            f.rejected = false;
            f.needs_full_plan = true;
            f.acked_version = f.version;
            f.sent_at = 0;
            f.refilled_at = now;
        }
        Ok(())
    }

    /// Records that a forwarder's connection is closed.
    pub fn forwarder_disconnected(&mut self, now: Nanos, name: &str) {
        if let Some(f) = self.forwarder_ids.get(name).and_then(|id| self.forwarders.get_mut(id)) {
            f.disconnected_at.get_or_insert(now);
        }
    }

    // ---- Time ----

    /// Runs timers: recomputes subsets after changes, updates slow-start budgets, and expires forwarders and servers.
    pub fn poll(&mut self, now: Nanos) {
        if now.saturating_sub(self.last_sweep_at) >= HEARTBEAT_INTERVAL {
            self.last_sweep_at = now;
            self.sweep(now);
        }
        let replan_due = match self.planned_at {
            None => {
                self.membership.is_some() && now.saturating_sub(self.started_at) >= self.settings.settle_time
            }
            Some(at) => self.replan_needed && now.saturating_sub(at) >= MIN_PLAN_INTERVAL,
        };
        if replan_due {
            self.recompute_subsets(now);
        }
    }

    fn sweep(&mut self, now: Nanos) {
        self.sum_zones(now);
        let expired =
            |f: &Forwarder| f.disconnected_at.is_some_and(|at| now.saturating_sub(at) > FORWARDER_GRACE);
        let expired: Vec<u32> =
            self.forwarders.iter().filter(|(_, f)| expired(f)).map(|(id, _)| *id).collect();
        for id in expired {
            self.discard_reports(id);
            if let Some(f) = self.forwarders.remove(&id) {
                self.forwarder_ids.remove(&f.name);
                for s in f.subset.iter().chain(f.sent_rows.keys()) {
                    if let Some(s) = self.servers.get_mut(s) {
                        s.holders.remove(&id);
                        s.informed.remove(&id);
                    }
                }
            }
            self.replan_needed = true;
        }
        let expired = |s: &Server| s.removed_at.is_some_and(|at| now.saturating_sub(at) > REMOVED_RETENTION);
        let expired: Vec<u32> = self.servers.iter().filter(|(_, s)| expired(s)).map(|(id, _)| *id).collect();
        for id in expired {
            let Some(s) = self.servers.remove(&id) else { continue };
            self.by_name.remove(&s.member.name);
            for f in s.holders.iter().chain(&s.reporters).chain(&s.informed) {
                let Some(f) = self.forwarders.get_mut(f) else { continue };
                f.reports.remove(&id);
                f.pending.remove(&id);
                if f.sent_rows.remove(&id).is_some() {
                    f.removed.push(s.member.name.clone());
                }
            }
        }
        for id in std::mem::take(&mut self.slow_starting) {
            let in_slow_start =
                self.servers.get(&id).is_some_and(|s| s.ready() && self.capacity_fraction(now, s).is_some());
            self.evaluate(now, id);
            if in_slow_start {
                self.slow_starting.insert(id);
            }
        }
    }

    /// Recomputes the subsets zone by zone: most of a server's forwarders are of its own zone, one is of another.
    fn recompute_subsets(&mut self, now: Nanos) {
        self.planned_at = Some(now);
        self.replan_needed = false;
        let ready: Vec<Named> = self
            .servers
            .iter()
            .filter(|(_, s)| s.ready())
            .map(|(id, s)| (*id, s.member.server.zone, s.member.name.as_str()))
            .collect();
        let forwarders: Vec<Named> =
            self.forwarders.iter().map(|(id, f)| (*id, f.zone, f.name.as_str())).collect();
        self.cover = subset::cover(
            forwarders.len(),
            ready.len(),
            self.settings.max_connections,
            self.settings.wanted_connections,
        );
        let zones: BTreeSet<u8> = ready.iter().map(|r| r.1).collect();
        let mut assigned: BTreeMap<u32, Vec<u32>> = forwarders.iter().map(|m| (m.0, Vec::new())).collect();
        for zone in zones {
            let servers: Vec<_> = ready.iter().filter(|r| r.1 == zone).collect();
            let (local, remote): (Vec<&Named>, Vec<&Named>) = forwarders.iter().partition(|m| m.1 == zone);
            let cover = self.cover.forwarders;
            let remote_cover = usize::from(!remote.is_empty() && (cover > 1 || local.is_empty()));
            for (group, cover) in [
                (&local, cover - remote_cover.min(cover - 1)),
                (&remote, if local.is_empty() { cover } else { remote_cover }),
            ] {
                if group.is_empty() || cover == 0 {
                    continue;
                }
                let names: Vec<&str> = group.iter().map(|m| m.2).collect();
                let server_names: Vec<&str> = servers.iter().map(|b| b.2).collect();
                for (subset, forwarder) in
                    subset::subsets(&names, &server_names, cover).into_iter().zip(group)
                {
                    let held = assigned.entry(forwarder.0).or_default();
                    held.extend(subset.into_iter().map(|k| servers[k as usize].0));
                }
            }
        }
        self.left_out_servers.clear();
        for (id, mut subset) in assigned {
            subset.sort_unstable();
            if subset.len() > MAX_ROWS {
                self.left_out_servers.insert(id, subset.len() - MAX_ROWS);
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

    /// Number of connected forwarders.
    pub fn connected(&self) -> usize {
        self.forwarders.values().filter(|f| f.disconnected_at.is_none()).count()
    }

    /// Number of connected forwarders that have acknowledged their current plan.
    pub fn up_to_date(&self) -> usize {
        let holds = |f: &&Forwarder| {
            f.disconnected_at.is_none()
                && !f.needs_full_plan
                && !f.rejected
                && f.version > 0
                && f.acked_version == f.version
        };
        self.forwarders.values().filter(holds).count()
    }

    /// Names of the servers in a forwarder's subset.
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

/// Id, zone and name of a server or a forwarder.
type Named<'a> = (u32, u8, &'a str);
