//! The load balancing decisions of one proxy node: which server gets a request, when it is retried or
//! hedged, and what is refused. Types, events and actions are in `interface.rs`.
//!
//! Sections: constants, state, server list, ranking, latency estimate, server choice (JSQ-DAS), health,
//! requests, admission, attempts, timers.

#[path = "forecast.rs"]
mod forecast;
#[path = "learned_state.rs"]
mod learned_state;
#[path = "plan.rs"]
mod plan;
#[path = "pools.rs"]
mod pools;
#[path = "silence.rs"]
mod silence;
#[path = "slow_start.rs"]
mod slow_start;
#[path = "trial.rs"]
mod trial;

use crate::interface::*;
use crate::rate::Rate;
use laurelroute_part::{half_sample_size, Subset, MAX_SAMPLE};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

// ---- Constants: ratios of settings or of observed values ----

/// Share of the ranked servers that form the top half of the draw. A fixed share: listed sizes do not tell
/// fast servers from slow ones.
const TOP_SHARE: f64 = 0.5;
/// Scores decay by a factor of e within this many slow-start ramps: a server with a noisy neighbour must
/// not keep its rank for good.
const SCORE_DECAY_RAMPS: f64 = 1.0;
/// A server's relative latency is remembered for this many times the longest client timeout.
const LATENCY_MEMORY_TIMEOUTS: f64 = 3.0;
/// Minimum weight of a new response in a server's relative latency.
const MIN_LATENCY_WEIGHT: f64 = 0.15;
/// Weight of a new response in the fleet's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// A single response counts for at most this many mean responses in the fleet's slowdown and in the class's
/// mean latency.
const MAX_LATENCY_RATIO: f64 = 5.0;
/// Without new responses, the slowdown decays by a factor of e within this many of the longest latency
/// target.
const SLOWDOWN_DECAY_TARGETS: f64 = 3.0;
/// A class's mean latency averages over this many responses where they are slower than it.
const MEAN_SAMPLES_UP: f64 = 200.0;
/// A class's mean latency averages over this many responses where they are faster than it.
const MEAN_SAMPLES_DOWN: f64 = 50.0;
/// Minimum work of a request relative to its class's mean, however small its work hint.
const MIN_WORK_RATIO: f64 = 0.25;
/// A reported queue length is remembered for this share of the latency memory; the mean reported queue
/// averages over `MEAN_QUEUE_REPORTS` reports.
const REPORT_MEMORY_SHARE: f64 = 0.15;
const MEAN_QUEUE_REPORTS: f64 = 100.0;
/// Servers whose cost differs by less than this share of a mean response count as tied.
const TIE_TOLERANCE: f64 = 0.1;
/// Other zones are considered when the local response is expected after this share of the latency target.
const CROSS_ZONE_THRESHOLD: f64 = 0.6;
/// Another zone is used when its cost is below this share of the local one.
const CROSS_ZONE_MAX_RATIO: f64 = 0.6;
/// An unanswered request is hedged after this share of its latency target.
const HEDGE_DELAY_SHARE: f64 = 0.5;
/// Retries and hedges that may cost servers work, as a share of requests.
const RETRY_BUDGET_SHARE: f64 = 0.1;
/// The retry budget shrinks with this power of the fleet's slowdown.
const RETRY_SLOWDOWN_EXPONENT: i32 = 4;
/// At most this share of a zone is ejected for failures other than failed connects.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Weights of a new outcome in a server's and in the fleet's failure rate; the excess over the fleet's rate
/// that ejects a server (a failure that affects all servers must not), the excess below which an ejected
/// server counts as recovered, and the cost of a failure rate of 1 in mean responses.
const FAILURE_WEIGHT: f64 = 0.2;
const FLEET_FAILURE_WEIGHT: f64 = 0.02;
const EJECTION_EXCESS: f64 = 0.35;
const RECOVERY_EXCESS: f64 = 0.1;
const FAILURE_PENALTY: f64 = 4.0;
/// A request is refused when its response is expected after this multiple of its latency target.
const ADMISSION_TARGETS: f64 = 0.75;
/// A class of lower value per work has its latency limit reduced by this power of its ratio to the best
/// class.
const VALUE_EXPONENT: f64 = 0.5;
/// That reduction applies in full where this share of all requests is refused, and less where capacity
/// suffices for nearly all. The share is averaged over the requests of one latency memory, within these
/// bounds, so that a node with few requests does not remember an overload for long.
const FULL_SHORTAGE: f64 = 0.2;
const REFUSAL_RATE_REQUESTS: (f64, f64) = (5.0, 100.0);
/// Until a class has this many responses its mean latency is an initial guess. A class refused because of
/// that guess would never get a measured one.
const MIN_LATENCY_SAMPLES: u32 = 20;
/// Minimum retry-after advice when all servers reject, as a share of the latency target, however fast they
/// respond.
const MIN_RETRY_AFTER_TARGETS: f64 = 0.1;
/// After a failed server list the node subscribes again after 0.5 to 1.5 times this share of the maximum
/// list age.
const RESUBSCRIBE_DELAY_SHARE: f64 = 0.15;
/// A tenant exceeds its quota when its rate is this many standard deviations of a Poisson count above it.
const QUOTA_DEVIATIONS: f64 = 1.0;
/// Factor on the cost of the server with affinity to the request's key, which has less work to do for it.
const AFFINITY_COST_RATIO: f64 = 0.6;

// ---- State ----

#[derive(Default)]
struct ServerState {
    server: Server,
    /// Relative capacity; 1 where listed sizes are unknown or not comparable.
    size: f64,
    in_flight: u32,
    /// Work of the requests in flight, in mean requests.
    in_flight_work: f64,
    /// The last response, or when the server last became busy.
    silent_since: Nanos,
    silence: silence::Silence,
    relative_latency: f64,
    latency_at: Nanos,
    reported_queue: f64,
    reported_at: Nanos,
    /// Work sent since the last load report, in mean requests.
    sent_since_report: f64,
    /// Decaying count of requests sent, without those that failed; it decides the rank.
    score: f64,
    /// Position in the zone's ranking; `None` outside this node's subset.
    rank: Option<usize>,
    /// Pool of a traffic shift; 0 if in neither.
    pool: u8,
    ejected_until: Nanos,
    /// Consecutive ejections, up to 4; each doubles the duration of the next one.
    ejections: u32,
    failure_rate: f64,
    failure_rate_at: Nanos,
    removed_at: Nanos,
    /// In slow start, when the next request may be sent.
    next_send_at: Nanos,
    /// The part of the score that comes from the plan.
    planned_score: f64,
    suspected: bool,
    slow_start_rate: f64,
    served_rate: Rate,
    last_success_at: Option<Nanos>,
    outcomes: [u32; ATTEMPT_OUTCOMES],
}

#[derive(Clone, Copy)]
struct Attempt {
    server: usize,
    /// What was added to the score when it was sent.
    credit: f64,
    /// Its work relative to the class's mean.
    weight: f64,
    /// Latency expected when it was sent, in mean responses.
    expected: f64,
    open: bool,
}

/// A server that a request may be sent to: the latency expected there and the cost by which servers are
/// compared, both in mean responses.
#[derive(Clone, Copy)]
struct Candidate {
    server: usize,
    latency: f64,
    cost: f64,
}

/// How an attempt ended: whether the client has its response, the time since it was sent, and the outcome.
type AttemptEnd = (bool, Nanos, AttemptOutcome);

#[derive(Default)]
struct Pending {
    request: Request,
    arrived: Nanos,
    attempts: Vec<Attempt>,
    /// The server of the first attempt that may have run, and the end of the deduplication window.
    dedup_scope: Option<(usize, Nanos)>,
    answered: bool,
    streaming: bool,
}

impl Pending {
    fn open_attempts(&self) -> usize {
        self.attempts.iter().filter(|a| a.open).count()
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Hedge(RequestId),
    Resubscribe,
}

/// A zone's ready servers in endpoint order, and those that are ranked. The ranking is recomputed when its
/// subset size changes; the size is set to 0 to force that when a server was added, removed or restarted,
/// or while a warming server may move the subset's edge.
#[derive(Default)]
struct Zone {
    ready: Vec<usize>,
    ranking: Vec<usize>,
    subset_size: f64,
    unranked: BTreeSet<usize>,
    ranking_stale: bool,
    ranked_size: f64,
}

/// The decisions of one proxy node. Equal settings, seed and events give equal actions.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    servers: Vec<ServerState>,
    by_endpoint: BTreeMap<Endpoint, usize>,
    zones: Vec<Zone>,
    removed: BTreeSet<(Nanos, usize)>,
    free_slots: BTreeSet<usize>,
    list_update_steps: u64,
    score_epoch: Nanos,
    pending: BTreeMap<RequestId, Pending>,
    mean_latency: Vec<f64>,
    latency_samples: Vec<u32>,
    refusal_rate: f64,
    hint_slopes: Vec<forecast::SlopeEstimate>,
    slowdown: f64,
    slowdown_at: Nanos,
    arrivals: Rate,
    served_rate: Rate,
    tenant_rates: Vec<Rate>,
    retry_budget: f64,
    mean_reported_queue: f64,
    forecast: forecast::LatencyFit,
    failure_rate: f64,
    timers: BinaryHeap<Reverse<(Nanos, Timer)>>,
    armed_at: Nanos,
    list_failures: u32,
    latency_memory: f64,
    slowdown_memory: f64,
    longest_timeout: Nanos,
    plan: NodePlan,
    quota_share: f64,
    class_rates: Vec<Rate>,
    pending_trials: Vec<(usize, Nanos)>,
    split: Option<TrafficSplit>,
    target_pool: Option<u8>,
    subset: Subset,
}

impl Balancer {
    /// Creates a balancer that has no servers yet. All its random draws follow from the seed.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let longest = settings.longest_client_timeout();
        Ok(Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: Vec::new(),
            by_endpoint: BTreeMap::new(),
            zones: Vec::new(),
            removed: BTreeSet::new(),
            free_slots: BTreeSet::new(),
            list_update_steps: 0,
            score_epoch: 0,
            pending: BTreeMap::new(),
            mean_latency: settings.classes.iter().map(|c| c.latency_target as f64 / 3.0).collect(),
            latency_samples: vec![0; settings.classes.len()],
            refusal_rate: 0.0,
            hint_slopes: vec![forecast::SlopeEstimate::default(); settings.classes.len()],
            slowdown: 1.0,
            slowdown_at: 0,
            arrivals: Rate::default(),
            served_rate: Rate::default(),
            tenant_rates: vec![Rate::default(); settings.tenant_quota.len()],
            retry_budget: 1.0,
            mean_reported_queue: 0.0,
            forecast: forecast::LatencyFit::default(),
            failure_rate: 0.0,
            timers: BinaryHeap::new(),
            armed_at: Nanos::MAX,
            list_failures: 0,
            latency_memory: LATENCY_MEMORY_TIMEOUTS * longest as f64,
            slowdown_memory: SLOWDOWN_DECAY_TARGETS
                * settings.classes.iter().map(|c| c.latency_target).max().unwrap_or(1) as f64,
            longest_timeout: longest,
            plan: NodePlan::default(),
            quota_share: 1.0 / f64::from(settings.group_size),
            class_rates: vec![Rate::default(); settings.classes.len()],
            pending_trials: Vec::new(),
            split: None,
            target_pool: None,
            subset: Subset::INITIAL,
            settings,
        })
    }

    /// Handles one event at the given time and appends the resulting actions to `sink`, in order.
    pub fn handle(&mut self, now: Nanos, event: Event, sink: &mut Vec<Action>) {
        match event {
            Event::List { kind, servers } => self.apply_list(now, kind, &servers, sink),
            Event::Plan(plan) => self.apply_plan(now, plan),
            Event::QuotaShare(share) => self.quota_share = share,
            Event::Split(split) => self.apply_split(now, split),
            Event::TakeOver(learned) => self.take_over(now, learned),
            Event::Reinstated { server } => self.schedule_trial(now, server),
            Event::Request(request) => self.handle_request(now, request, sink),
            Event::AttemptEnded { request, server, attempt, finished, took, outcome, report } => {
                self.record_report(now, server, report);
                self.on_attempt_end(now, request, attempt, (finished, took, outcome), sink)
            }
            Event::StreamStarted { request, .. } => {
                self.pending.get_mut(&request).into_iter().for_each(|p| p.streaming = true);
            }
            Event::ClientDisconnected { request } => self.finish(request, sink),
            Event::Probed { server, report, .. } => self.record_report(now, server, report),
            Event::Message { .. } => {}
            Event::Timer { .. } => {
                self.armed_at = Nanos::MAX;
                while let Some(Reverse((_, timer))) = self.timers.peek().copied().filter(|j| j.0 .0 <= now) {
                    self.timers.pop();
                    match timer {
                        Timer::Hedge(id) => self.hedge(now, id, sink),
                        Timer::Resubscribe => sink.push(Action::Subscribe),
                    }
                }
            }
        }
        self.arm_timer(now, sink);
    }

    /// Number of servers tracked, including removed ones whose slots are not reused yet.
    pub fn tracked_servers(&self) -> usize {
        self.servers.len()
    }

    /// Number of servers visited so far to apply list updates, one per visit; a measure of their cost.
    pub fn list_update_steps(&self) -> u64 {
        self.list_update_steps
    }

    fn random_below(&mut self, below: usize) -> usize {
        ((u64::from(self.rng.next_u32()) * below as u64) >> 32) as usize
    }

    fn random_unit(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    // ---- Server list ----

    fn apply_list(&mut self, now: Nanos, kind: ListKind, servers: &[Server], sink: &mut Vec<Action>) {
        match kind {
            // All nodes may lose the list at the same time, so reconnects are spread out, but soon enough
            // that the list does not exceed its maximum age.
            ListKind::Failed => {
                self.list_failures = (self.list_failures + 1).min(4);
                let delay = self.longest_timeout as f64 * f64::from(1 << self.list_failures);
                let delay = delay.min(RESUBSCRIBE_DELAY_SHARE * self.settings.max_list_age as f64)
                    * (0.5 + self.random_unit());
                return self.timers.push(Reverse((now + delay as Nanos, Timer::Resubscribe)));
            }
            ListKind::Cached => sink.extend(self.settings.must_subscribe.then_some(Action::Subscribe)),
            ListKind::Full | ListKind::Changes => self.list_failures = 0,
        }
        if kind != ListKind::Changes {
            let listed = servers.iter().map(|s| s.endpoint).collect::<BTreeSet<_>>();
            self.list_update_steps += self.servers.len() as u64;
            for i in 0..self.servers.len() {
                if !listed.contains(&self.servers[i].server.endpoint) {
                    self.remove_server(now, i, Phase::Removed);
                }
            }
        }
        for server in servers {
            match self.by_endpoint.get(&server.endpoint).copied() {
                Some(i) => self.update_server(now, i, *server),
                None if server.phase == Phase::Ready => self.add_server(now, *server),
                None => {}
            }
        }
        (0..self.zones.len()).for_each(|zone| self.rank_zone(now, zone));
    }

    /// Ranks this node's subset of a zone: with many nodes each one would see any single server too rarely.
    /// Subsets are windows of one common order, offset by the golden ratio, so that every server is in
    /// about equally many.
    fn rank_zone(&mut self, now: Nanos, zone: usize) {
        if std::mem::take(&mut self.zones[zone].ranking_stale) {
            self.compact_ranking(zone);
        }
        let ready = std::mem::take(&mut self.zones[zone].ready);
        if self.split.is_none() {
            self.rank_pool(now, zone, &ready);
        } else {
            for pool in 0..=2 {
                let all = ready.iter().copied();
                let servers = all.filter(|&i| self.servers[i].pool == pool).collect::<Vec<_>>();
                self.rank_pool(now, zone, &servers);
                self.zones[zone].subset_size = 0.0;
            }
        }
        self.zones[zone].ready = ready;
    }

    /// Ranks this node's subset of the given servers of a zone: all ready ones, or those of one pool.
    fn rank_pool(&mut self, now: Nanos, zone: usize, servers: &[usize]) {
        let count = servers.len();
        let nodes = f64::from(self.settings.group_size) / self.zones.len() as f64;
        // A plan's server list is already a subset.
        let size = if self.plan.trust > 0.0 { f64::INFINITY } else { self.subset.size(count, nodes) };
        let same = std::mem::replace(&mut self.zones[zone].subset_size, size) == size && self.split.is_none();
        if same || count == 0 {
            return;
        }
        let start = f64::from(self.settings.ordinal) * 0.618_033_988_749_895 % 1.0 * count as f64;
        let first = servers[start as usize % count];
        let added = std::mem::take(&mut self.zones[zone].unranked);
        let whole_zone = size >= count as f64;
        // If the subset is the whole zone and all but the newly added servers are ranked, only the new ones
        // are visited.
        if whole_zone && self.split.is_none() && self.zones[zone].ranking.len() + added.len() == count {
            let added = added.into_iter().map(|i| (self.ring_position(first, i), i)).collect::<BTreeSet<_>>();
            return added.into_iter().for_each(|(_, i)| self.add_to_ranking(zone, i));
        }
        let (mut capacity, mut visited) = (0.0, 0);
        while visited < count && capacity < size {
            let i = servers[(start as usize + visited) % count];
            // Servers in slow start count by their present capacity, or a node in a growing fleet would be
            // left with few warm servers.
            capacity += self.capacity_fraction(now, i);
            visited += 1;
            self.add_to_ranking(zone, i);
        }
        if visited < count {
            let end = self.ring_position(first, servers[(start as usize + visited) % count]);
            for i in self.zones[zone].ranking.clone() {
                if self.servers[i].pool == self.servers[first].pool && self.ring_position(first, i) >= end {
                    self.servers[i].rank = None;
                }
            }
            self.compact_ranking(zone);
        }
        if !whole_zone && capacity < visited as f64 {
            self.zones[zone].subset_size = 0.0;
        }
    }

    /// Position of a server in the zone's order, starting from `first`.
    fn ring_position(&self, first: usize, i: usize) -> (bool, Endpoint) {
        let endpoint = self.servers[i].server.endpoint;
        (endpoint < self.servers[first].server.endpoint, endpoint)
    }

    fn add_to_ranking(&mut self, zone: usize, i: usize) {
        self.list_update_steps += 1;
        if self.servers[i].rank.is_none() {
            self.servers[i].rank = Some(self.zones[zone].ranking.len());
            self.zones[zone].ranking.push(i);
            self.zones[zone].ranked_size += self.servers[i].size;
            self.add_score(i, 0.0);
        }
    }

    /// Removes servers that no longer have a rank from a zone's ranking and renumbers the others.
    fn compact_ranking(&mut self, zone: usize) {
        let Zone { ranking, ranked_size, .. } = &mut self.zones[zone];
        self.list_update_steps += ranking.len() as u64;
        let servers = &mut self.servers;
        ranking.retain(|&i| servers[i].rank.is_some() && usize::from(servers[i].server.zone) == zone);
        ranking.iter().enumerate().for_each(|(k, &i)| servers[i].rank = Some(k));
        *ranked_size = ranking.iter().map(|&i| servers[i].size).sum();
    }

    fn add_server(&mut self, now: Nanos, server: Server) {
        let size = if server.size > 0.0 && self.settings.sizes_known { f64::from(server.size) } else { 1.0 };
        let state = ServerState { size, slow_start_rate: f64::INFINITY, ..ServerState::default() };
        // The slot of a server that was removed so long ago that no request in flight can involve it is
        // reused.
        let forgotten = now.saturating_sub(2 * self.longest_timeout);
        while let Some((_, i)) = self.removed.first().copied().filter(|l| l.0 < forgotten) {
            self.removed.pop_first();
            self.free_slots.insert(i);
        }
        let i = self
            .free_slots
            .iter()
            .copied()
            .find(|&i| self.servers[i].in_flight == 0)
            .unwrap_or(self.servers.len());
        match self.servers.get_mut(i) {
            Some(old) => drop(self.by_endpoint.remove(&std::mem::replace(old, state).server.endpoint)),
            None => self.servers.push(state),
        }
        self.by_endpoint.insert(server.endpoint, i);
        self.update_server(now, i, server);
    }

    fn update_server(&mut self, now: Nanos, i: usize, server: Server) {
        let restarted = server.started_at > self.servers[i].server.started_at;
        if server.phase != Phase::Ready || server.zone != self.servers[i].server.zone {
            self.remove_server(now, i, server.phase);
        }
        if server.phase != Phase::Removed {
            self.removed.remove(&(self.servers[i].removed_at, i));
            self.free_slots.remove(&i);
        }
        let added = self.servers[i].server.phase != Phase::Ready;
        if !added && server.started_at != self.servers[i].server.started_at {
            self.zones[usize::from(server.zone)].subset_size = 0.0;
        }
        self.servers[i].server = server;
        if server.phase == Phase::Ready && (added || restarted) {
            let state = &mut self.servers[i];
            (
                state.relative_latency,
                state.latency_at,
                state.failure_rate,
                state.ejections,
                state.ejected_until,
            ) = (1.0, now, 0.0, 0, 0);
            state.silence.end();
            state.served_rate = Rate::default();
            let zone = usize::from(server.zone);
            if self.zones.len() <= zone {
                self.zones.resize_with(zone + 1, Zone::default);
            }
            if added {
                (state.score, state.planned_score) = (0.0, 0.0);
                let zone = &mut self.zones[zone];
                let at = zone.ready.partition_point(|&j| self.servers[j].server.endpoint < server.endpoint);
                zone.ready.insert(at, i);
                zone.unranked.insert(i);
                zone.subset_size = 0.0;
            }
            // All nodes learn of a starting server at about the same time. First sends are spread over an
            // interval, or together they would use up its overload budget at once.
            if self.capacity_fraction(now, i) < 1.0 {
                let wait = self.initial_send_delay(now, i) * self.random_unit();
                self.servers[i].next_send_at = now.saturating_add(wait as Nanos);
            }
        }
    }

    /// Removes a server from the ranking: no new requests go to a draining or removed one.
    fn remove_server(&mut self, now: Nanos, i: usize, phase: Phase) {
        let server = self.servers[i].server;
        if server.phase == Phase::Ready {
            let zone = &mut self.zones[usize::from(server.zone)];
            let at = zone.ready.partition_point(|&j| self.servers[j].server.endpoint < server.endpoint);
            zone.ready.remove(at);
            zone.unranked.remove(&i);
            zone.subset_size = 0.0;
            if self.servers[i].rank.take().is_some() {
                (zone.ranking_stale, zone.ranked_size) = (true, zone.ranked_size - self.servers[i].size);
            }
        }
        if server.phase != Phase::Removed {
            self.servers[i].removed_at = now;
            self.removed.insert((now, i));
        }
        self.servers[i].server.phase = if phase == Phase::Ready { Phase::Removed } else { phase };
    }

    // ---- Ranking: scores, which decay by growing the increment ----

    fn score_decay_time(&self) -> f64 {
        SCORE_DECAY_RAMPS * self.settings.ramp as f64
    }

    /// What one request adds to a score now. It grows over time, which is cheaper than decaying all scores;
    /// on overflow, all are rescaled.
    fn score_increment(&mut self, now: Nanos) -> f64 {
        let mut growth = (now.saturating_sub(self.score_epoch) as f64 / self.score_decay_time()).exp();
        if growth > 1e100 {
            self.servers
                .iter_mut()
                .for_each(|s| (s.score, s.planned_score) = (s.score / growth, s.planned_score / growth));
            self.pending.values_mut().flat_map(|p| &mut p.attempts).for_each(|a| a.credit /= growth);
            self.score_epoch = now;
            growth = 1.0;
        }
        growth
    }

    /// Adds to a server's score and moves it to its new rank.
    fn add_score(&mut self, i: usize, by: f64) {
        self.servers[i].score += by;
        let Some(mut position) = self.servers[i].rank else { return };
        let ranking = &mut self.zones[usize::from(self.servers[i].server.zone)].ranking;
        let score = self.servers[i].score;
        while position > 0 && self.servers[ranking[position - 1]].score < score {
            ranking[position] = ranking[position - 1];
            self.servers[ranking[position]].rank = Some(position);
            position -= 1;
        }
        while position + 1 < ranking.len() && self.servers[ranking[position + 1]].score > score {
            ranking[position] = ranking[position + 1];
            self.servers[ranking[position]].rank = Some(position);
            position += 1;
        }
        ranking[position] = i;
        self.servers[i].rank = Some(position);
    }

    // ---- Latency estimate, in mean responses ----

    fn record_report(&mut self, now: Nanos, endpoint: Endpoint, report: Option<LoadReport>) {
        let (Some(&i), Some(report)) = (self.by_endpoint.get(&endpoint), report) else { return };
        let state = &mut self.servers[i];
        state.reported_queue = f64::from(report.queued.unwrap_or(0.0)).max(0.0);
        state.reported_at = now;
        self.mean_reported_queue +=
            (state.reported_queue / state.size - self.mean_reported_queue) / MEAN_QUEUE_REPORTS;
        state.sent_since_report = 0.0;
    }

    /// The expected work of a request relative to its class's mean, from its work hint and the slope
    /// observed so far. With one mean for all, the heaviest requests, which hold most of the value, would
    /// go to any server.
    fn relative_work(&self, request: &Request) -> f64 {
        let class = usize::from(request.class);
        let fit = self.hint_slopes[class];
        request.work_hint.map_or(1.0, |hint| {
            let more = fit.slope() * (hint as f64 - fit.mean) / self.mean_latency[class];
            (1.0 + more).max(MIN_WORK_RATIO)
        })
    }

    /// The latency expected at a server in the class's mean responses: its recent relative latency, or the
    /// time without any response while requests are in flight if that is longer (a hung server must not
    /// look idle), plus the queued work per unit of size.
    fn estimate_latency(&self, now: Nanos, i: usize, mean: f64, weight: f64) -> f64 {
        let state = &self.servers[i];
        let decay = (-(now.saturating_sub(state.latency_at) as f64) / self.latency_memory).exp();
        let fleet = self.slowdown_now(now);
        let mut latency = fleet * (1.0 + (state.relative_latency - 1.0) * decay) * weight;
        if state.in_flight > 0 {
            latency = latency.max(now.saturating_sub(state.silent_since) as f64 / mean);
        }
        // An old report says little: an unknown queue is assumed to be average, not empty.
        let age = now.saturating_sub(state.reported_at) as f64;
        let known = (-age / (REPORT_MEMORY_SHARE * self.latency_memory)).exp();
        let own_work = state.in_flight_work / state.size;
        let sent = state.sent_since_report / state.size;
        let queued = (state.reported_queue / state.size * known
            + sent.min(own_work)
            + self.mean_reported_queue * (1.0 - known))
            .max(own_work);
        // The relative latency already includes the average queue, so only the difference from it counts.
        let failures = (self.failure_rate_now(now, i) - self.failure_rate).max(0.0) * FAILURE_PENALTY;
        (latency + queued - self.mean_reported_queue).max(own_work) + failures
    }

    /// A server's failure rate. It decays, because a server that gets no requests has to be tried again.
    fn failure_rate_now(&self, now: Nanos, i: usize) -> f64 {
        let age = now.saturating_sub(self.servers[i].failure_rate_at) as f64;
        self.servers[i].failure_rate * (-age / self.latency_memory).exp()
    }

    /// Response times of the fleet relative to their mean. It decays, so that a node that refuses all
    /// requests detects the end of an overload.
    fn slowdown_now(&self, now: Nanos) -> f64 {
        let decay = (-(now.saturating_sub(self.slowdown_at) as f64) / self.slowdown_memory).exp();
        1.0 + (self.slowdown - 1.0) * decay
    }

    // ---- Server choice: JSQ-DAS within a zone ----

    /// Whether a request may be sent to a server now. With `ejected` set, ejected servers are eligible too.
    fn is_eligible(&self, now: Nanos, i: usize, pending: &Pending, ejected: bool) -> bool {
        let state = &self.servers[i];
        (ejected || state.ejected_until <= now)
            && (state.ejections == 0 || state.in_flight == 0)
            && (state.next_send_at <= now || self.capacity_fraction(now, i) >= 1.0)
            && (state.rank.is_some() || self.capacity_fraction(now, i) >= 1.0)
            && !pending.attempts.iter().any(|a| a.server == i)
            && self.target_pool.is_none_or(|pool| state.pool == 0 || state.pool == pool)
            && self.in_dedup_scope(now, i, pending)
    }

    /// A keyed request that may have run is retried only on servers that deduplicate it, within their
    /// window.
    fn in_dedup_scope(&self, now: Nanos, i: usize, pending: &Pending) -> bool {
        let class = &self.settings.classes[usize::from(pending.request.class)];
        pending.dedup_scope.filter(|_| class.idempotency == Idempotency::Keyed).is_none_or(
            |(first, until)| {
                let (a, b) = (&self.servers[first].server, &self.servers[i].server);
                let same = match class.dedup_group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => a.zone == b.zone,
                    DedupGroup::Cell => a.cell == b.cell,
                };
                same && now < until
            },
        )
    }

    /// Samples servers from both halves of a zone's ranking and returns the one of lowest cost; ties go to
    /// the better rank.
    fn choose_in_zone(&mut self, now: Nanos, zone: usize, pending: &Pending) -> Option<Candidate> {
        let ranking = &self.zones.get(zone)?.ranking;
        let members = self.target_pool.map(|pool| {
            let in_pool = |i: &usize| self.servers[*i].pool == 0 || self.servers[*i].pool == pool;
            ranking.iter().copied().filter(in_pool).collect::<Vec<_>>()
        });
        let count = members.as_ref().unwrap_or(ranking).len();
        if count == 0 && self.target_pool.is_none() {
            return None;
        }
        let mean = self.mean_latency[usize::from(pending.request.class)];
        let top = ((TOP_SHARE * count as f64).ceil() as usize).clamp(1, count.max(2) - 1).min(count);
        let weight = self.relative_work(&pending.request);
        let mut sampled = [usize::MAX; MAX_SAMPLE + 1];
        let mut filled = 0;
        let half = half_sample_size(count);
        for (from, to, wanted) in [(0, top, half), (top, count, half)] {
            let (mut tries, goal) = (0, filled + wanted.min(to - from));
            while filled < goal && tries < 4 * wanted {
                let position = from + self.random_below(to - from);
                let i = members.as_ref().unwrap_or(&self.zones[zone].ranking)[position];
                tries += 1;
                if !sampled[..filled].contains(&i) && self.is_eligible(now, i, pending, false) {
                    sampled[filled] = i;
                    filled += 1;
                }
            }
        }
        let preferred = self.affinity_server(now, zone, pending);
        if let Some(i) = preferred.filter(|i| !sampled[..filled].contains(i)) {
            sampled[filled] = i;
            filled += 1;
        }
        if filled == 0 {
            // Nearly all servers are ineligible: take any that is left.
            sampled[0] =
                *self.zones[zone].ready.iter().find(|&&i| self.is_eligible(now, i, pending, false))?;
            filled = 1;
        }
        let candidates = sampled[..filled].iter().map(|&i| {
            let factor = if preferred == Some(i) { AFFINITY_COST_RATIO } else { 1.0 };
            let latency = self.estimate_latency(now, i, mean, weight) * factor;
            Candidate { server: i, latency, cost: latency + self.silence_penalty(now, i, mean, latency) }
        });
        let cost = |c: &Candidate| ((c.cost + self.suspicion_penalty(now, c.server)) / TIE_TOLERANCE).round();
        let rank = |c: &Candidate| self.servers[c.server].rank.unwrap_or(usize::MAX);
        candidates.min_by(|a, b| cost(a).total_cmp(&cost(b)).then(rank(a).cmp(&rank(b))))
    }

    /// The server with affinity to the request's key: the one with the highest hash of key and server.
    fn affinity_server(&self, now: Nanos, zone: usize, pending: &Pending) -> Option<usize> {
        let key = pending.request.key;
        if key == 0 || !self.settings.key_affinity {
            return None;
        }
        let hash = |i: usize| self.servers[i].server.endpoint.affinity(key);
        let best = *self.zones[zone].ranking.iter().max_by_key(|&&i| (hash(i), i))?;
        Some(best).filter(|&i| self.is_eligible(now, i, pending, false))
    }

    /// Prefers the local zone; uses another one where the local response would be late and the other much
    /// faster.
    fn choose_across_zones(&mut self, now: Nanos, pending: &Pending) -> Option<(usize, f64)> {
        let class = usize::from(pending.request.class);
        let (mean, latency_target) =
            (self.mean_latency[class], self.settings.classes[class].latency_target as f64);
        let home = usize::from(self.settings.zone);
        let local = self.choose_in_zone(now, home, pending);
        if let Some(local) = local.filter(|c| c.cost * mean < CROSS_ZONE_THRESHOLD * latency_target) {
            return Some((local.server, local.latency));
        }
        let skip = self.random_below(self.zones.len());
        let mut best = local.map(|c| Candidate { cost: c.cost * CROSS_ZONE_MAX_RATIO, ..c });
        for k in 0..self.zones.len() {
            let zone = (k + skip) % self.zones.len();
            let found = if zone == home { None } else { self.choose_in_zone(now, zone, pending) };
            if let Some(found) = found.filter(|f| best.is_none_or(|b| f.cost < b.cost)) {
                best = Some(found);
            }
        }
        best.map(|c| (c.server, c.latency)).or_else(|| self.last_resort(now, pending))
    }

    /// Where all servers are ejected: the one whose ejection ends first, local zone first, with one request
    /// each. Connections that come up late eject all servers at once, and refusing would then be certain to
    /// fail.
    fn last_resort(&self, now: Nanos, pending: &Pending) -> Option<(usize, f64)> {
        let (mean, weight) =
            (self.mean_latency[usize::from(pending.request.class)], self.relative_work(&pending.request));
        let ejected =
            self.zones.iter().flat_map(|z| &z.ready).filter(|&&i| self.is_eligible(now, i, pending, true));
        let order =
            |&&i: &&usize| (self.servers[i].server.zone != self.settings.zone, self.servers[i].ejected_until);
        ejected.min_by_key(order).map(|&i| (i, self.estimate_latency(now, i, mean, weight)))
    }

    // ---- Health ----

    /// Ejects a server after a failed connect, or if its failure rate exceeds the fleet's by too much.
    /// Repeated ejections last longer.
    fn maybe_eject(&mut self, now: Nanos, i: usize, outcome: AttemptOutcome, sink: &mut Vec<Action>) {
        let zone = usize::from(self.servers[i].server.zone);
        if self.servers[i].ejected_until > now || self.servers[i].server.phase != Phase::Ready {
            return;
        }
        let connect_failed = outcome == AttemptOutcome::ConnectFailed;
        let healthy = self.servers[i].ejections == 0
            && self.failure_rate_now(now, i) < EJECTION_EXCESS + self.failure_rate;
        let ejected_count =
            self.zones[zone].ranking.iter().filter(|&&j| self.servers[j].ejected_until > now).count();
        if !connect_failed
            && (healthy || ejected_count as f64 >= MAX_EJECTED_SHARE * self.zones[zone].ranking.len() as f64)
        {
            return;
        }
        let jitter = 0.75 + 0.5 * self.random_unit();
        let state = &mut self.servers[i];
        state.ejections = (state.ejections + 1).min(4);
        let duration = self.longest_timeout as f64 / 2.0 * f64::from(1 << state.ejections) * jitter;
        state.ejected_until = now + duration as Nanos;
        if state.ejections == 2 {
            sink.push(Action::Log { text: format!("ejected {:?} after {outcome:?}", state.server.endpoint) });
        }
    }

    // ---- Requests ----
    fn handle_request(&mut self, now: Nanos, request: Request, sink: &mut Vec<Action>) {
        let ramp = self.settings.ramp as f64;
        self.arrivals.count(now, ramp);
        if self.subset.update(now, || self.arrivals.since_start(now, ramp), self.latency_memory) {
            (0..self.zones.len()).for_each(|zone| self.rank_zone(now, zone));
        }
        let max_budget = 1.0 + RETRY_BUDGET_SHARE * self.arrivals.read(now, ramp) * ramp / 1e9;
        // Extra attempts make an overload worse, so the budget shrinks as responses get slower than usual.
        let backoff = self.slowdown_now(now).max(1.0).powi(-RETRY_SLOWDOWN_EXPONENT);
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_SHARE * backoff).min(max_budget);
        let pending = Pending { request, arrived: now, ..Pending::default() };
        let class = usize::from(request.class);
        let known_class = class < self.settings.classes.len();
        let trial = if known_class { self.take_trial(now, &pending) } else { None };
        let found = trial.or_else(|| if known_class { self.choose(now, &pending) } else { None });
        let Some((i, latency)) = found else {
            return self.refuse(request.id, self.longest_timeout as f64, sink);
        };
        let excess =
            self.forecast.read(latency) * self.mean_latency[class] - self.latency_limit(now, &request);
        let refused = if excess > 0.0 { 1.0 } else { 0.0 };
        let recent = self.arrivals.since_start(now, ramp) * self.latency_memory / 1e9;
        let window = recent.clamp(REFUSAL_RATE_REQUESTS.0, REFUSAL_RATE_REQUESTS.1);
        self.refusal_rate += (refused - self.refusal_rate) / window;
        if excess > 0.0 {
            return self.refuse(request.id, excess, sink);
        }
        let tenant = self.tenant_rates.get_mut(request.tenant as usize);
        tenant.into_iter().for_each(|rate| rate.count(now, self.latency_memory));
        self.class_rates[class].count(now, self.latency_memory);
        self.pending.insert(request.id, pending);
        self.send(now, request.id, (i, latency), sink);
        let class = &self.settings.classes[class];
        let at = now + (HEDGE_DELAY_SHARE * class.latency_target as f64) as Nanos;
        let may_hedge = self.settings.hedging && !class.stream && at < request.deadline;
        if class.idempotency == Idempotency::Safe && may_hedge {
            self.timers.push(Reverse((at, Timer::Hedge(request.id))));
        }
    }

    // ---- Admission ----

    /// Whether a tenant already gets its quota at this node. Only admitted requests count: with refused
    /// ones counted, clients that retry would keep their tenant over its quota and be refused even more.
    fn exceeds_tenant_quota(&self, now: Nanos, tenant: usize) -> bool {
        let Some(rate) = self.tenant_rates.get(tenant) else { return false };
        let even = self.settings.tenant_quota[tenant] * self.quota_share;
        let planned = self.plan.tenants.get(tenant).filter(|_| self.plan.trust > 0.0);
        self.exceeds(now, rate, planned.copied().unwrap_or(even))
    }

    /// Whether a class already gets the rate that the plan admits at this node.
    fn exceeds_class_limit(&self, now: Nanos, class: usize) -> bool {
        let limit = self.plan.classes.get(class).filter(|_| self.plan.trust > 0.0);
        limit.is_some_and(|&limit| self.exceeds(now, &self.class_rates[class], limit))
    }

    /// Whether a rate exceeds a limit by more than random variation.
    fn exceeds(&self, now: Nanos, rate: &Rate, fair: f64) -> bool {
        // One of many nodes sees few of a tenant's requests: random variation alone must not exceed the
        // limit.
        rate.read(now, self.latency_memory)
            > fair + QUOTA_DEVIATIONS * (fair / (self.latency_memory / 1e9)).sqrt()
    }

    /// The expected latency beyond which a request is refused.
    fn latency_limit(&self, now: Nanos, request: &Request) -> f64 {
        let class = &self.settings.classes[usize::from(request.class)];
        let work_unit = |c: usize| if self.settings.value_per_work { 1.0 } else { self.mean_latency[c] };
        let value_of = |c: usize| self.settings.classes[c].value / work_unit(c);
        let best = (0..self.mean_latency.len()).map(value_of).fold(f64::MIN_POSITIVE, f64::max);
        let measured = self.latency_samples[usize::from(request.class)] >= MIN_LATENCY_SAMPLES;
        let value = if measured { value_of(usize::from(request.class)) / best } else { 1.0 };
        // Exceeding an agreed quota reduces the value regardless of spare capacity.
        let over_quota = self.exceeds_tenant_quota(now, request.tenant as usize)
            || self.exceeds_class_limit(now, usize::from(request.class));
        let over_quota = if over_quota { self.settings.over_quota_value } else { 1.0 };
        let remaining = request.deadline.saturating_sub(now) as f64;
        // A late response that keeps part of its value justifies a longer wait.
        let longest =
            (ADMISSION_TARGETS * (1.0 + class.late_value) * class.latency_target as f64).min(remaining);
        let shortage = (self.refusal_rate / FULL_SHORTAGE).min(1.0);
        longest * (value.clamp(0.0, 1.0).powf(shortage) * over_quota.clamp(0.0, 1.0)).powf(VALUE_EXPONENT)
    }

    fn refuse(&mut self, id: RequestId, wait: f64, sink: &mut Vec<Action>) {
        let advice = (wait * (0.5 + self.random_unit())).min(self.settings.max_retry_after as f64) as Nanos;
        let retry_after = if self.settings.retry_after { advice } else { 0 };
        sink.push(Action::Refuse { request: id, retry_after });
    }

    // ---- Attempts ----

    fn send(&mut self, now: Nanos, id: RequestId, (i, expected): (usize, f64), sink: &mut Vec<Action>) {
        let credit = self.score_increment(now);
        let weight = self.pending.get(&id).map_or(1.0, |p| self.relative_work(&p.request));
        self.servers[i].next_send_at = self.next_send_time(now, i);
        let state = &mut self.servers[i];
        if state.in_flight == 0 {
            state.silent_since = now;
        }
        state.in_flight += 1;
        state.in_flight_work += weight;
        state.sent_since_report += weight;
        let server = state.server.endpoint;
        self.add_score(i, credit);
        if let Some(p) = self.pending.get_mut(&id) {
            p.attempts.push(Attempt { server: i, credit, weight, expected, open: true });
            sink.push(Action::Send { request: id, server, timeout: 0 });
        }
    }

    /// Handles the end of an attempt: updates statistics, then finishes or retries the request.
    fn on_attempt_end(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: u8,
        end: AttemptEnd,
        sink: &mut Vec<Action>,
    ) {
        let (finished, took, outcome) = end;
        let Some(p) = self.pending.get_mut(&id) else { return };
        let Some(a) = p.attempts.get_mut(usize::from(attempt)).filter(|a| a.open) else { return };
        a.open = false;
        let (a, request, class) = (*a, p.request, usize::from(p.request.class));
        let window = self.settings.classes[class].dedup_window;
        if matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::TimedOut) && a.expected > 0.0 {
            self.forecast.observe(a.expected, took as f64 / self.mean_latency[class]);
        }
        if !outcome.never_ran() && p.dedup_scope.is_none() {
            p.dedup_scope = Some((a.server, now.saturating_sub(took).saturating_add(window)));
        }
        self.record_outcome(now, a, request, end, sink);
        let Some(p) = self.pending.get(&id) else { return };
        if finished || p.answered {
            self.finish(id, sink);
        } else if p.open_attempts() == 0 || now >= p.request.deadline {
            self.retry(now, id, outcome, sink);
        }
    }

    /// Updates the server's and the fleet's statistics with the outcome of an attempt.
    fn record_outcome(
        &mut self,
        now: Nanos,
        a: Attempt,
        request: Request,
        end: AttemptEnd,
        sink: &mut Vec<Action>,
    ) {
        let (Attempt { server: i, credit, weight, .. }, (_, took, outcome)) = (a, end);
        let class = usize::from(request.class);
        let slowdown = self.slowdown_now(now);
        let failure_rate = self.failure_rate_now(now, i);
        let state = &mut self.servers[i];
        state.outcomes[outcome as usize] = state.outcomes[outcome as usize].saturating_add(1);
        state.in_flight = state.in_flight.saturating_sub(1);
        state.in_flight_work =
            if state.in_flight == 0 { 0.0 } else { (state.in_flight_work - weight).max(0.0) };
        if matches!(
            outcome,
            AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Rejected | AttemptOutcome::Reset
        ) {
            state.silent_since = now;
            state.silence.end();
        } else if outcome == AttemptOutcome::Cancelled && state.in_flight == 0 {
            let max_spell = MAX_LATENCY_RATIO * self.mean_latency[class];
            state.silence.add(now, state.silent_since, max_spell, self.latency_memory);
        }
        if matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::TimedOut) {
            let samples = self.latency_samples[class].saturating_add(1);
            self.latency_samples[class] = samples;
            let mean_latency = &mut self.mean_latency[class];
            if let Some(hint) = request.work_hint {
                self.hint_slopes[class].observe(hint as f64, took as f64 - *mean_latency);
            }
            // A response that never comes is not an overload: it counts in full against its server and only
            // up to a bound for the fleet.
            let ratio = took as f64 / (*mean_latency * weight);
            // The mean follows slowly, and most slowly upwards: it has to outlast an overload.
            let deviation = (took as f64).min(MAX_LATENCY_RATIO * *mean_latency) - *mean_latency;
            // The first responses are averaged evenly: one of many nodes sees few and would use its initial
            // guess for minutes.
            let slower = if ratio > 1.0 { MEAN_SAMPLES_UP / MEAN_SAMPLES_DOWN } else { 1.0 };
            *mean_latency += deviation / (slower * f64::from(samples).min(MEAN_SAMPLES_DOWN));
            let decay = (-(now.saturating_sub(state.latency_at) as f64) / self.latency_memory).exp();
            state.relative_latency = 1.0 + (state.relative_latency - 1.0) * decay;
            // If the server answered other requests meanwhile, it is up and only one connection hangs.
            let responsive = now.saturating_sub(state.silent_since) < took;
            let observed = if responsive { ratio.min(MAX_LATENCY_RATIO) } else { ratio };
            state.relative_latency +=
                (observed / slowdown - state.relative_latency) * MIN_LATENCY_WEIGHT.max(1.0 - decay);
            self.slowdown = slowdown + (ratio.min(MAX_LATENCY_RATIO) - slowdown) * SLOWDOWN_WEIGHT;
            self.slowdown_at = now;
            state.latency_at = now;
        }
        if matches!(
            outcome,
            AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Rejected | AttemptOutcome::Reset
        ) {
            let failure = if outcome == AttemptOutcome::Ok { 0.0 } else { 1.0 };
            (state.failure_rate, state.failure_rate_at) =
                (failure_rate + (failure - failure_rate) * FAILURE_WEIGHT, now);
            self.failure_rate += (failure - self.failure_rate) * FLEET_FAILURE_WEIGHT;
        }
        if outcome == AttemptOutcome::Ok {
            state.last_success_at = Some(now);
            state.served_rate.count(now, self.settings.overload_window as f64);
            self.served_rate.count(now, self.settings.ramp as f64);
        }
        match outcome {
            AttemptOutcome::Ok
                if state.ejected_until <= now && state.failure_rate < RECOVERY_EXCESS + self.failure_rate =>
            {
                state.ejections = 0
            }
            AttemptOutcome::Ok | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            // A server that fails fast would drain its queue and rise in the ranking: its credit is taken
            // back.
            AttemptOutcome::Error
            | AttemptOutcome::Rejected
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Reset => {
                self.add_score(i, -credit);
                // A timeout is a sign of load as well as of a fault, and the relative latency already
                // includes it. Ejecting for it would push the work of an overloaded fleet onto ever fewer
                // servers.
                if outcome != AttemptOutcome::TimedOut {
                    self.maybe_eject(now, i, outcome, sink);
                }
            }
        }
    }

    /// Retries a request all of whose attempts have ended without a response, or sends its final response.
    fn retry(&mut self, now: Nanos, id: RequestId, outcome: AttemptOutcome, sink: &mut Vec<Action>) {
        let Some(mut p) = self.pending.remove(&id) else { return };
        let class = usize::from(p.request.class);
        let idempotency = self.settings.classes[class].idempotency;
        let may_have_run = p.dedup_scope.is_some();
        let never_ran = outcome.never_ran();
        let allowed = !p.streaming
            && p.attempts.len() < self.settings.max_attempts as usize
            && (!may_have_run || idempotency != Idempotency::Unsafe)
            && (never_ran || self.retry_budget >= 1.0)
            && now + (self.mean_latency[class] / 2.0) as Nanos <= p.request.deadline;
        let next = if allowed { self.choose(now, &p) } else { None };
        let any_server = self.settings.classes[class].dedup_group == DedupGroup::All;
        let harmless = !may_have_run
            || idempotency == Idempotency::Safe
            || (idempotency == Idempotency::Keyed && any_server);
        if next.is_none() {
            p.answered = true;
            if harmless && now < p.request.deadline {
                let latency_target = self.settings.classes[class].latency_target as f64;
                self.refuse(id, self.mean_latency[class].max(MIN_RETRY_AFTER_TARGETS * latency_target), sink);
            } else {
                sink.push(Action::Fail { request: id });
            }
        }
        self.pending.insert(id, p);
        let Some(next) = next else { return self.finish(id, sink) };
        self.retry_budget -= if never_ran { 0.0 } else { 1.0 };
        self.send(now, id, next, sink)
    }

    /// Sends a second attempt of a request that is slow to be answered, within the retry budget.
    fn hedge(&mut self, now: Nanos, id: RequestId, sink: &mut Vec<Action>) {
        let Some(p) = self.pending.remove(&id) else { return };
        let allowed =
            !p.answered && p.open_attempts() == 1 && p.attempts.len() < self.settings.max_attempts as usize;
        let class = &self.settings.classes[usize::from(p.request.class)];
        let remaining = (p.arrived + class.latency_target).saturating_sub(now) as f64;
        let mean = self.mean_latency[usize::from(p.request.class)];
        let allowed = allowed && self.retry_budget >= 1.0 && now < p.request.deadline;
        let next = if allowed {
            self.choose(now, &p).filter(|&(_, latency)| latency * mean < remaining)
        } else {
            None
        };
        self.pending.insert(id, p);
        let Some(next) = next else { return };
        self.retry_budget -= 1.0;
        self.send(now, id, next, sink);
    }

    /// Ends a request: cancels the attempts still in flight and drops the request once all have ended.
    fn finish(&mut self, id: RequestId, sink: &mut Vec<Action>) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        if !p.answered && self.settings.cancel && !p.streaming {
            for (k, _) in p.attempts.iter().enumerate().filter(|(_, a)| a.open) {
                sink.push(Action::Cancel { request: id, attempt: k as u8 });
            }
        }
        p.answered = true;
        if p.open_attempts() == 0 {
            self.pending.remove(&id);
        }
    }

    // ---- Timers ----

    fn arm_timer(&mut self, now: Nanos, sink: &mut Vec<Action>) {
        if let Some(&Reverse((at, _))) = self.timers.peek() {
            if at < self.armed_at {
                self.armed_at = at;
                sink.push(Action::StartTimer { after: at.saturating_sub(now), token: 0 });
            }
        }
    }
}
