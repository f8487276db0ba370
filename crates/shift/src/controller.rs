//! Connects a shift with the decision module of one node: the server list becomes pools, attempts become evidence, and
//! shares become the module's [`TrafficSplit`].

use crate::capacity::{usable_fraction, ObservedCapacity, PoolCapacity, Zone};
use crate::pool::{Pool, PoolMatch, PoolMembership, ServerLabels};
use crate::position;
use crate::rollout::{AttemptResult, Change, Command, CommandError, EndedAttempt, PoolStatus, Rollout};
use crate::Nanos;
use laurelroute_policy::interface::{
    AttemptOutcome, Endpoint, Phase, Request, Server, Settings, TrafficSplit,
};
use std::collections::BTreeMap;

/// Interval between evaluations of a shift.
pub const EVALUATION_INTERVAL: Nanos = 250_000_000;
/// Number of evaluations over which rates are averaged.
const AVERAGED_EVALUATIONS: f64 = 16.0;
/// A zone counts as unreachable after this many recent attempts on the old pool's servers there, of which the part below
/// failed or timed out. Failures of the new pool's servers alone are attributed to those servers.
const UNREACHABLE_MIN_ATTEMPTS: f64 = 5.0;
const UNREACHABLE_FAILURE_RATE: f64 = 0.8;
/// Servers are given this multiple of the load they were observed to carry in time: after a restart during a shift only a
/// part of it is observed, and without a margin it would never grow.
const EXPLORATION_MARGIN: f64 = 1.25;
/// Capacity per unit of size that is assumed before any was observed.
const UNKNOWN_CAPACITY: f64 = 1e9;

/// A server of the list.
#[derive(Clone, Copy, Debug)]
pub struct ListedServer<'a> {
    /// The labels that the predicates match.
    pub labels: ServerLabels<'a>,
    /// The server as the decision module knows it.
    pub server: Server,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    number: u32,
    found: PoolMatch,
    server: Server,
}

#[derive(Clone, Copy, Debug, Default)]
struct RateMeter {
    /// Requests since the last evaluation, and the average rate per second.
    counted: f64,
    rate: f64,
}

impl RateMeter {
    fn roll(&mut self) {
        let now = std::mem::take(&mut self.counted) * 1e9 / EVALUATION_INTERVAL as f64;
        self.rate += (now - self.rate) / AVERAGED_EVALUATIONS;
    }
}

/// The result of an evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evaluation {
    /// Changes of state, in order.
    pub changes: Vec<Change>,
    /// The new traffic split, if it differs from the one last passed to the module.
    pub split: Option<Option<TrafficSplit>>,
}

/// One node's part of a shift.
#[derive(Clone, Debug)]
pub struct ShiftController {
    /// The state machine.
    pub rollout: Rollout,
    /// The pool of each server.
    pub roster: PoolMembership,
    names: BTreeMap<String, Endpoint>,
    members: BTreeMap<Endpoint, Member>,
    next_number: u32,
    groups: Vec<Vec<usize>>,
    own_zone: usize,
    zones: usize,
    sizes_known: bool,
    slow_start: (f64, Nanos),
    latency_targets: Vec<Nanos>,
    nodes: f64,
    salt: u64,
    load: Vec<RateMeter>,
    mean_latency: Vec<f64>,
    /// Work answered by the old and the new pool, and the part of it that was late.
    served: [RateMeter; 2],
    late: [RateMeter; 2],
    /// Attempts on the old pool by zone, and those that failed or timed out.
    old_attempts: Vec<[RateMeter; 2]>,
    observed_capacity: ObservedCapacity,
    /// The old pool's size at the start of the shift.
    old_size_at_start: f64,
    applied_split: Option<TrafficSplit>,
}

impl ShiftController {
    /// Creates a controller without servers. `tenants` are the names in the order of the settings.
    pub fn new<'a>(
        rollout: Rollout,
        settings: &Settings,
        tenants: impl IntoIterator<Item = &'a str>,
    ) -> ShiftController {
        let splits = &rollout.settings.splits;
        let groups = |name: &str| splits.iter().map(|s| s.group_index(name)).collect::<Vec<_>>();
        // Tenants that are not configured are in no group.
        let known = tenants.into_iter().map(groups);
        let unknown = splits.iter().map(|s| s.groups.len()).collect();
        let zones = rollout.settings.zones.len();
        ShiftController {
            groups: known.chain([unknown]).collect(),
            names: BTreeMap::new(),
            members: BTreeMap::new(),
            next_number: 0,
            own_zone: usize::from(settings.zone),
            zones,
            sizes_known: settings.sizes_known,
            slow_start: (settings.initial_capacity, settings.ramp),
            latency_targets: settings.classes.iter().map(|c| c.latency_target).collect(),
            nodes: f64::from(settings.group_size),
            salt: rollout.settings.salt(),
            load: vec![RateMeter::default(); settings.classes.len()],
            mean_latency: settings.classes.iter().map(|c| c.latency_target as f64 / 3.0).collect(),
            served: [RateMeter::default(); 2],
            late: [RateMeter::default(); 2],
            old_attempts: vec![[RateMeter::default(); 2]; zones],
            observed_capacity: ObservedCapacity::default(),
            old_size_at_start: 0.0,
            applied_split: None,
            roster: PoolMembership::default(),
            rollout,
        }
    }

    /// Applies a server list; a full one (`whole`) removes the servers it does not name.
    pub fn update_list<'a>(&mut self, whole: bool, servers: impl Iterator<Item = ListedServer<'a>>) {
        let mut seen = Vec::new();
        for listed in servers {
            let id = listed.labels.id;
            seen.push(listed.server.endpoint);
            if listed.server.phase == Phase::Removed {
                self.forget(id);
                continue;
            }
            let found = self.roster.insert(&self.rollout.settings.pools, &listed.labels);
            let next = self.next_number;
            let member = self.members.entry(listed.server.endpoint).or_insert_with(|| {
                self.next_number += 1;
                Member { number: next, found, server: listed.server }
            });
            (member.found, member.server) = (found, listed.server);
            self.names.insert(id.to_owned(), listed.server.endpoint);
        }
        if whole {
            let absent = |(_, e): &(&String, &Endpoint)| !seen.contains(e);
            let removed: Vec<String> = self.names.iter().filter(absent).map(|(n, _)| n.clone()).collect();
            removed.iter().for_each(|id| self.forget(id));
        }
    }

    /// Updates servers without a change of their labels, as when an operator drains one.
    pub fn update_servers(&mut self, servers: &[Server]) {
        for server in servers {
            if let Some(member) = self.members.get_mut(&server.endpoint) {
                member.server = *server;
            }
        }
    }

    fn forget(&mut self, id: &str) {
        self.roster.remove(id);
        if let Some(endpoint) = self.names.remove(id) {
            self.members.remove(&endpoint);
        }
    }

    /// The name of a listed server by its number in alarms.
    pub fn server_name(&self, number: u32) -> Option<&str> {
        let of = |e: &Endpoint| self.members.get(e).is_some_and(|m| m.number == number);
        self.names.iter().find(|(_, e)| of(e)).map(|(name, _)| name.as_str())
    }

    /// A request's split position: that of its session key, or of its id if it has none.
    pub fn split_position(&self, request: &Request) -> u32 {
        let key =
            if request.key == 0 { u64::from(request.id) ^ self.salt.rotate_left(32) } else { request.key };
        position::of_key(self.salt, key)
    }

    fn capacity_fraction(&self, now: Nanos, server: &Server) -> f64 {
        let (from, ramp) = self.slow_start;
        server.capacity_fraction(now, from, ramp)
    }

    fn size(&self, server: &Server) -> f64 {
        if self.sizes_known && server.size > 0.0 {
            f64::from(server.size)
        } else {
            1.0
        }
    }

    /// Records an incoming request.
    pub fn request_received(&mut self, request: &Request) {
        if let Some(flow) = self.load.get_mut(usize::from(request.class)) {
            flow.counted += 1.0;
        }
    }

    /// Records that an attempt, numbered from 0, is sent; the first shows whether the split was followed.
    pub fn attempt_sent(&mut self, request: &Request, server: Endpoint, number: usize) {
        let share = self.rollout.shares().get(usize::from(request.class)).copied().unwrap_or(0.0);
        if number == 0 && request.in_split_share(share) {
            let old = self.members.get(&server).is_some_and(|m| m.found.pool == Pool::Old);
            self.rollout.record_new_pool_request(old);
        }
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(
        &mut self,
        request: &Request,
        (server, number): (Endpoint, usize),
        (sent_at, took): (Nanos, Nanos),
        outcome: AttemptOutcome,
    ) {
        let Some(member) = self.members.get(&server).copied() else { return };
        let end = match outcome {
            AttemptOutcome::Ok => AttemptResult::Served,
            AttemptOutcome::Error | AttemptOutcome::Reset | AttemptOutcome::ConnectFailed => {
                AttemptResult::Failed
            }
            AttemptOutcome::TimedOut => AttemptResult::TimedOut,
            AttemptOutcome::Rejected => AttemptResult::Rejected,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => AttemptResult::Cancelled,
        };
        let (class, zone) = (usize::from(request.class), usize::from(member.server.zone));
        let aim = self.latency_targets.get(class).copied().unwrap_or(0);
        self.record_work(member.found.pool, class, zone, end, took, aim);
        let cold = self.capacity_fraction(sent_at, &member.server) < 1.0;
        let again = number > 0 || request.is_retry;
        let at = (request.tenant as usize).min(self.groups.len() - 1);
        let PoolMatch { pool, ambiguous } = member.found;
        let groups = &self.groups[at];
        let server = member.number;
        self.rollout.record_attempt(&EndedAttempt {
            pool,
            ambiguous,
            server,
            class,
            zone,
            again,
            groups,
            end,
            took,
            aim,
            cold,
        });
    }

    fn record_work(
        &mut self,
        pool: Pool,
        class: usize,
        zone: usize,
        end: AttemptResult,
        took: Nanos,
        aim: Nanos,
    ) {
        if pool == Pool::Old {
            if let Some([all, failed]) = self.old_attempts.get_mut(zone) {
                all.counted += 1.0;
                failed.counted +=
                    f64::from(u8::from(matches!(end, AttemptResult::TimedOut | AttemptResult::Failed)));
            }
        }
        let side = match (pool, end) {
            (Pool::Outside, _)
            | (_, AttemptResult::Rejected | AttemptResult::Failed | AttemptResult::Cancelled) => return,
            (Pool::Old, _) => 0,
            (Pool::New, _) => 1,
        };
        if let Some(mean) = self.mean_latency.get_mut(class) {
            *mean += (took as f64 - *mean) * 0.01;
        }
        self.served[side].counted += self.work(class);
        self.late[side].counted += self.work(class) * f64::from(u8::from(took > aim));
    }

    /// Relative work of a request of the class, 1 being the mean, estimated from its response time.
    fn work(&self, class: usize) -> f64 {
        let mean = self.mean_latency.iter().sum::<f64>() / self.mean_latency.len().max(1) as f64;
        self.mean_latency.get(class).map_or(1.0, |t| t / mean.max(1.0)).clamp(0.05, 20.0)
    }

    /// Applies an operator's command.
    pub fn apply_command(&mut self, now: Nanos, command: &Command) -> Result<Evaluation, CommandError> {
        let change = self.rollout.apply_command(now, command)?;
        Ok(Evaluation { changes: vec![change], split: self.split() })
    }

    /// Evaluates pools and evidence; due every [`EVALUATION_INTERVAL`]. `no_planner`: planners are configured, none reachable.
    pub fn evaluate(&mut self, now: Nanos, no_planner: bool) -> Evaluation {
        let flows = self.load.iter_mut().chain(&mut self.served).chain(&mut self.late);
        flows.chain(self.old_attempts.iter_mut().flatten()).for_each(RateMeter::roll);
        let pool_status = PoolStatus { no_planner, ..self.pool_status(now) };
        let changes = self.rollout.tick(now, pool_status);
        Evaluation { changes, split: self.split() }
    }

    fn pool_status(&mut self, now: Nanos) -> PoolStatus {
        let mut zones = vec![Zone::default(); self.zones.max(1)];
        let mut sizes = [0.0; 2];
        let mut counts = [0; 2];
        let ready = self.members.values().filter(|m| m.server.phase == Phase::Ready);
        for member in ready {
            let Some(zone) = zones.get_mut(usize::from(member.server.zone)) else { continue };
            let (side, strength) = match member.found.pool {
                Pool::Old => (0, &mut zone.old),
                Pool::New => (1, &mut zone.new),
                Pool::Outside => continue,
            };
            let (size, capacity_fraction) =
                (self.size(&member.server), self.capacity_fraction(now, &member.server));
            counts[side] += 1;
            sizes[side] += size * capacity_fraction;
            if capacity_fraction < 1.0 {
                strength.cold += size * capacity_fraction;
            } else {
                strength.warm += size;
            }
        }
        // A small new pool's momentary throughput would raise its share by chance, so it is not used.
        let comparable = 2 * counts[1] >= counts[0];
        for (side, size) in sizes.into_iter().enumerate().filter(|(side, _)| *side == 0 || comparable) {
            let (served, late) = (self.served[side].rate, self.late[side].rate);
            self.observed_capacity.observe(served, size, late / served.max(1e-9));
        }
        // After a restart the old pool is assumed to be complete as found.
        if !self.rollout.state().on() || self.old_size_at_start == 0.0 {
            self.old_size_at_start = sizes[0];
        }
        let rates: Vec<f64> = self.load.iter().enumerate().map(|(c, f)| f.rate * self.work(c)).collect();
        let load: f64 = rates.iter().sum();
        let per_unit = match self.rollout.settings.server_rate {
            Some(rate) => rate / self.nodes,
            None if self.observed_capacity.each() > 0.0 => EXPLORATION_MARGIN * self.observed_capacity.each(),
            None => UNKNOWN_CAPACITY,
        };
        // A pool that observed_capacity all load at the start can take it back, in proportion to what is left of it.
        let reclaimable =
            if self.old_size_at_start > 0.0 { load / self.old_size_at_start / 0.9 } else { 0.0 };
        // The old pool's servers observed_capacity their load with more servers to choose from.
        let staffing_ratio = (usable_fraction(counts[1]) / usable_fraction(counts[0])).min(1.0);
        let scale = |s: PoolCapacity, by: f64| PoolCapacity { warm: s.warm * by, cold: s.cold * by };
        for zone in &mut zones {
            zone.old = scale(zone.old, per_unit.max(reclaimable));
            zone.new = scale(zone.new, per_unit * staffing_ratio);
            zone.load = vec![0.0; rates.len()];
        }
        let own_zone = self.own_zone.min(zones.len() - 1);
        zones[own_zone].load = rates;
        let is_unreachable = |[all, failed]: &[RateMeter; 2]| {
            all.rate * AVERAGED_EVALUATIONS * EVALUATION_INTERVAL as f64 / 1e9 >= UNREACHABLE_MIN_ATTEMPTS
                && failed.rate >= UNREACHABLE_FAILURE_RATE * all.rate
        };
        PoolStatus {
            zones,
            old: counts[0],
            new: counts[1],
            cut_off: self.old_attempts.iter().any(is_unreachable),
            no_planner: false,
        }
    }

    /// The traffic split, if it changed since the last call.
    fn split(&mut self) -> Option<Option<TrafficSplit>> {
        let split = self.rollout.state().on().then(|| TrafficSplit {
            shares: self.rollout.shares().to_vec(),
            pools: self
                .members
                .iter()
                .filter(|(_, m)| m.found.pool != Pool::Outside)
                .map(|(e, m)| (*e, m.found.pool == Pool::New))
                .collect(),
        });
        (split != self.applied_split).then(|| {
            self.applied_split = split.clone();
            split
        })
    }

    /// The traffic split to apply after a list update, before any request is sent.
    pub fn split_after_list_update(&mut self) -> Option<Option<TrafficSplit>> {
        // The module assigns newly listed servers to no pool.
        self.applied_split.is_some().then(|| {
            self.applied_split = None;
            self.split().unwrap_or(None)
        })
    }
}
