//! All decisions. Types, events and actions: `interface.rs`.
//!
//! Sections: constants, state, list, ranking, queue, choice (JSQ-DAS), cold, health, requests, and so on.

#[path = "forecast.rs"]
mod forecast;
#[path = "learnt.rs"]
mod learnt;
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

// ---- Constants: ratios of settings or of observations ----

/// Size of the accomplished set where the listed sizes do not tell fast from slow.
const TOP_SHARE: f64 = 0.5;
/// Accomplishment fades by e within this many cold ramps: a noisy neighbour must not stay on top for good.
const FADE_RAMPS: f64 = 1.0;
/// The lag of a server is believed for this many give-up times.
const LAG_MEMORY: f64 = 3.0;
/// Least weight of a new response in a server's lag.
const LAG_WEIGHT: f64 = 0.15;
/// Weight of a new response in the fleet's pressure, and how slowly a class's usual response follows.
const PRESSURE_WEIGHT: f64 = 0.1;
/// No single answer counts for more than this many usual ones in pressure and in what is usual.
const SURGE: f64 = 5.0;
/// Without news, pressure fades by e in this many aims.
const RELIEF: f64 = 3.0;
const TYPICAL_UP: f64 = 200.0;
const TYPICAL_DOWN: f64 = 50.0;
/// The least answer time given to a light request by its hint.
const LIGHTEST: f64 = 0.25;
/// A reported queue is believed for this part of the lag's memory; usual ones average this many reports.
const REPORT_MEMORY: f64 = 0.15;
const USUAL_OVER: f64 = 100.0;
/// Queues closer than this part of a mean response count as tied.
const TIE_STEP: f64 = 0.1;
/// Another zone is looked at when the local answer is expected after this part of the aim ...
const WIDEN_AT: f64 = 0.6;
/// ... and taken when it is expected to be this much quicker.
const CROSS_GAIN: f64 = 0.6;
/// A second copy goes out when this part of the aim is over.
const HEDGE_AT: f64 = 0.5;
/// Repeats that may cost servers work, as a part of requests.
const RETRY_SHARE: f64 = 0.1;
/// ... which shrinks with this power of the fleet's pressure.
const CALM_STEEP: i32 = 4;
/// No more than this part of a zone is ejected on soft evidence.
const EJECT_CAP: f64 = 0.5;
/// Weights of a new answer in a server's and in the fleet's share of failures; the share above the fleet's
/// that ejects (what strikes all must not), the one that ends the doubt, a failure's cost in mean responses.
const FAULT_WEIGHT: f64 = 0.2;
const FLEET_FAULT_WEIGHT: f64 = 0.02;
const FAULTY: f64 = 0.35;
const SOUND: f64 = 0.1;
const FAULT_COST: f64 = 4.0;
/// Refuse when the answer is expected after this multiple of the aim.
const ADMIT_AIMS: f64 = 0.75;
/// Lesser worth for the work lowers the limit with this power of its ratio to the best.
const WORTH_POWER: f64 = 0.5;
/// ... fully where this part of all requests is turned away, less where there is room for nearly all. It is
/// averaged over as many as come while a lag is believed, within bounds: few must not remember a jam.
const SHORTAGE: f64 = 0.2;
const SHORTAGE_OVER: (f64, f64) = (5.0, 100.0);
/// A class's answer time is a guess until so many answers have come. Refused by it, it would never be known.
const KNOWN_AFTER: u32 = 20;
/// Who meets full servers only is to stay away for this part of the aim at least, however quick they are.
const LEAST_PAUSE: f64 = 0.1;
/// A failed list is asked for again after 0.5 to 1.5 times this part of the time in which one has to ask.
const ASK_PART: f64 = 0.15;
/// A tenant is over its share when it gets this many deviations of chance more.
const CHANCE: f64 = 1.0;
/// What a key's own server may be behind the best: it saves work there.
const KEY_BONUS: f64 = 0.6;

// ---- State ----

#[derive(Default)]
struct Node {
    server: Server,
    size: f64,
    out: u32,
    load: f64,
    silent_since: Nanos,
    silence: silence::Silence,
    relative_latency: f64,
    latency_at: Nanos,
    queued: f64,
    report_at: Nanos,
    sent_since: f64,
    score: f64,
    place: Option<usize>,
    pool: u8,
    blocked_until: Nanos,
    strikes: u32,
    failure_rate: f64,
    failure_rate_at: Nanos,
    left_at: Nanos,
    cold_next: Nanos,
    planned: f64,
    suspected: bool,
    slow_start_rate: f64,
    served: Rate,
    served_at: Option<Nanos>,
    outcomes: [u32; ATTEMPT_OUTCOMES],
}

#[derive(Clone, Copy)]
struct Attempt {
    node: usize,
    credit: f64,
    weight: f64,
    expected: f64,
    open: bool,
}

/// A server that a request may go to: the answer time expected there, and what it is compared by with others,
/// both in mean responses.
#[derive(Clone, Copy)]
struct Candidate {
    server: usize,
    queue: f64,
    cost: f64,
}

/// How an attempt has ended: whether the client has its answer, how long it took, and what came.
type End = (bool, Nanos, AttemptOutcome);

#[derive(Default)]
struct Pending {
    request: Request,
    arrived: Nanos,
    attempts: Vec<Attempt>,
    fence: Option<(usize, Nanos)>,
    answered: bool,
    streaming: bool,
}

impl Pending {
    fn open(&self) -> usize {
        self.attempts.iter().filter(|a| a.open).count()
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Job {
    Hedge(RequestId),
    Relist,
}

/// A zone's ready servers in one order, and those that are ranked. It is looked at again where its part would
/// be another, which is 0 where somebody has come, left or started since, or warms up and may shift its edge.
#[derive(Default)]
struct Zone {
    ready: Vec<usize>,
    rank: Vec<usize>,
    part: f64,
    fresh: BTreeSet<usize>,
    left: bool,
    size: f64,
}

/// The decisions of one node. Equal settings, seed and events give equal actions.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    nodes: Vec<Node>,
    by_endpoint: BTreeMap<Endpoint, usize>,
    zones: Vec<Zone>,
    left: BTreeSet<(Nanos, usize)>,
    free: BTreeSet<usize>,
    steps: u64,
    epoch: Nanos,
    pending: BTreeMap<RequestId, Pending>,
    typical: Vec<f64>,
    answers: Vec<u32>,
    turned_away: f64,
    hints: Vec<forecast::Slope>,
    slowdown: f64,
    slowdown_at: Nanos,
    arrivals: Rate,
    served: Rate,
    tenants: Vec<Rate>,
    budget: f64,
    usual_queue: f64,
    line: forecast::Line,
    failure_rate: f64,
    jobs: BinaryHeap<Reverse<(Nanos, Job)>>,
    armed: Nanos,
    list_failures: u32,
    memory: f64,
    relief: f64,
    longest: Nanos,
    guide: NodePlan,
    share: f64,
    classes: Vec<Rate>,
    trials: Vec<(usize, Nanos)>,
    split: Option<TrafficSplit>,
    lane: Option<u8>,
    part: Subset,
}

impl Balancer {
    /// A balancer without any servers yet. The seed settles all its random draws.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let longest = settings.longest_client_timeout();
        Ok(Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            nodes: Vec::new(),
            by_endpoint: BTreeMap::new(),
            zones: Vec::new(),
            left: BTreeSet::new(),
            free: BTreeSet::new(),
            steps: 0,
            epoch: 0,
            pending: BTreeMap::new(),
            typical: settings.classes.iter().map(|c| c.latency_target as f64 / 3.0).collect(),
            answers: vec![0; settings.classes.len()],
            turned_away: 0.0,
            hints: vec![forecast::Slope::default(); settings.classes.len()],
            slowdown: 1.0,
            slowdown_at: 0,
            arrivals: Rate::default(),
            served: Rate::default(),
            tenants: vec![Rate::default(); settings.tenant_quota.len()],
            budget: 1.0,
            usual_queue: 0.0,
            line: forecast::Line::default(),
            failure_rate: 0.0,
            jobs: BinaryHeap::new(),
            armed: Nanos::MAX,
            list_failures: 0,
            memory: LAG_MEMORY * longest as f64,
            relief: RELIEF * settings.classes.iter().map(|c| c.latency_target).max().unwrap_or(1) as f64,
            longest,
            guide: NodePlan::default(),
            share: 1.0 / f64::from(settings.group_size),
            classes: vec![Rate::default(); settings.classes.len()],
            trials: Vec::new(),
            split: None,
            lane: None,
            part: Subset::INITIAL,
            settings,
        })
    }

    /// Takes one event at the given time and writes what is to be done about it into `sink`, in order.
    pub fn handle(&mut self, now: Nanos, event: Event, sink: &mut Vec<Action>) {
        match event {
            Event::List { kind, servers } => self.follow_list(now, kind, &servers, sink),
            Event::Plan(guide) => self.follow_plan(now, guide),
            Event::QuotaShare(share) => self.share = share,
            Event::Split(split) => self.follow_split(now, split),
            Event::TakeOver(learnt) => self.take_over(now, learnt),
            Event::Reinstated { server } => self.restored(now, server),
            Event::Request(request) => self.admit(now, request, sink),
            Event::AttemptEnded { request, server, attempt, finished, took, outcome, report } => {
                self.learn(now, server, report);
                self.outcome(now, request, attempt, (finished, took, outcome), sink)
            }
            Event::StreamStarted { request, .. } => {
                self.pending.get_mut(&request).into_iter().for_each(|p| p.streaming = true);
            }
            Event::ClientGone { request } => self.close(request, sink),
            Event::Probed { server, report, .. } => self.learn(now, server, report),
            Event::Message { .. } => {}
            Event::Timer { .. } => {
                self.armed = Nanos::MAX;
                while let Some(Reverse((_, job))) = self.jobs.peek().copied().filter(|j| j.0 .0 <= now) {
                    self.jobs.pop();
                    match job {
                        Job::Hedge(id) => self.hedge(now, id, sink),
                        Job::Relist => sink.push(Action::Subscribe),
                    }
                }
            }
        }
        self.arm(now, sink);
    }

    /// How many servers are remembered, departed ones among them.
    pub fn tracked_servers(&self) -> usize {
        self.nodes.len()
    }

    /// Servers looked at so far to follow lists, one for each look: what lists have cost.
    pub fn list_update_steps(&self) -> u64 {
        self.steps
    }

    fn draw(&mut self, below: usize) -> usize {
        ((u64::from(self.rng.next_u32()) * below as u64) >> 32) as usize
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    // ---- List ----

    fn follow_list(&mut self, now: Nanos, kind: ListKind, servers: &[Server], sink: &mut Vec<Action>) {
        match kind {
            // All may be cut off at once: come back spread out, but before what is missed counts as told.
            ListKind::Failed => {
                self.list_failures = (self.list_failures + 1).min(4);
                let later = self.longest as f64 * f64::from(1 << self.list_failures);
                let pause = later.min(ASK_PART * self.settings.max_list_age as f64) * (0.5 + self.chance());
                return self.jobs.push(Reverse((now + pause as Nanos, Job::Relist)));
            }
            ListKind::Cached => sink.extend(self.settings.must_subscribe.then_some(Action::Subscribe)),
            ListKind::Full | ListKind::Changes => self.list_failures = 0,
        }
        if kind != ListKind::Changes {
            let listed = servers.iter().map(|s| s.endpoint).collect::<BTreeSet<_>>();
            self.steps += self.nodes.len() as u64;
            for i in 0..self.nodes.len() {
                if !listed.contains(&self.nodes[i].server.endpoint) {
                    self.leave(now, i, Phase::Removed);
                }
            }
        }
        for server in servers {
            match self.by_endpoint.get(&server.endpoint).copied() {
                Some(i) => self.update(now, i, *server),
                None if server.phase == Phase::Ready => self.add(now, *server),
                None => {}
            }
        }
        (0..self.zones.len()).for_each(|zone| self.regroup(now, zone));
    }

    /// Ranks this node's own part of a zone: with many nodes each would see any one server too seldom. Parts
    /// are windows of one order, set off by the golden ratio, so that all servers are in about as many.
    fn regroup(&mut self, now: Nanos, zone: usize) {
        if std::mem::take(&mut self.zones[zone].left) {
            self.renumber(zone);
        }
        let ready = std::mem::take(&mut self.zones[zone].ready);
        if self.split.is_none() {
            self.regroup_pool(now, zone, &ready);
        } else {
            for pool in 0..=2 {
                let all = ready.iter().copied();
                let servers = all.filter(|&i| self.nodes[i].pool == pool).collect::<Vec<_>>();
                self.regroup_pool(now, zone, &servers);
                self.zones[zone].part = 0.0;
            }
        }
        self.zones[zone].ready = ready;
    }

    fn regroup_pool(&mut self, now: Nanos, zone: usize, servers: &[usize]) {
        let count = servers.len();
        let nodes = f64::from(self.settings.group_size) / self.zones.len() as f64;
        // A plan has chosen already who is in the list.
        let part = if self.guide.trust > 0.0 { f64::INFINITY } else { self.part.size(count, nodes) };
        let same = std::mem::replace(&mut self.zones[zone].part, part) == part && self.split.is_none();
        if same || count == 0 {
            return;
        }
        let start = f64::from(self.settings.ordinal) * 0.618_033_988_749_895 % 1.0 * count as f64;
        let first = servers[start as usize % count];
        let fresh = std::mem::take(&mut self.zones[zone].fresh);
        let all = part >= count as f64;
        // Where all are inside, and all but those who have just come were, only these are looked at.
        if all && self.split.is_none() && self.zones[zone].rank.len() + fresh.len() == count {
            let fresh = fresh.into_iter().map(|i| (self.turn(first, i), i)).collect::<BTreeSet<_>>();
            return fresh.into_iter().for_each(|(_, i)| self.place(zone, i));
        }
        let (mut filled, mut inside) = (0.0, 0);
        while inside < count && filled < part {
            let i = servers[(start as usize + inside) % count];
            // Cold ones count for what they can take: a fleet that grows must not leave a node with few warm.
            filled += self.cold_share(now, i);
            inside += 1;
            self.place(zone, i);
        }
        if inside < count {
            let end = self.turn(first, servers[(start as usize + inside) % count]);
            for i in self.zones[zone].rank.clone() {
                if self.nodes[i].pool == self.nodes[first].pool && self.turn(first, i) >= end {
                    self.nodes[i].place = None;
                }
            }
            self.renumber(zone);
        }
        if !all && filled < inside as f64 {
            self.zones[zone].part = 0.0;
        }
    }

    /// Where a server comes in its zone's order as read from the first one.
    fn turn(&self, first: usize, i: usize) -> (bool, Endpoint) {
        let endpoint = self.nodes[i].server.endpoint;
        (endpoint < self.nodes[first].server.endpoint, endpoint)
    }

    fn place(&mut self, zone: usize, i: usize) {
        self.steps += 1;
        if self.nodes[i].place.is_none() {
            self.nodes[i].place = Some(self.zones[zone].rank.len());
            self.zones[zone].rank.push(i);
            self.zones[zone].size += self.nodes[i].size;
            self.credit(i, 0.0);
        }
    }

    /// Takes those out of a zone's ranking who have no place in it any more.
    fn renumber(&mut self, zone: usize) {
        let Zone { rank, size, .. } = &mut self.zones[zone];
        self.steps += rank.len() as u64;
        let nodes = &mut self.nodes;
        rank.retain(|&i| nodes[i].place.is_some() && usize::from(nodes[i].server.zone) == zone);
        rank.iter().enumerate().for_each(|(k, &i)| nodes[i].place = Some(k));
        *size = rank.iter().map(|&i| nodes[i].size).sum();
    }

    fn add(&mut self, now: Nanos, server: Server) {
        let size = if server.size > 0.0 && self.settings.sizes_known { f64::from(server.size) } else { 1.0 };
        let node = Node { size, slow_start_rate: f64::INFINITY, ..Node::default() };
        // One that left so long ago that no request under way can have met it gives its place to the next.
        let forgotten = now.saturating_sub(2 * self.longest);
        while let Some((_, i)) = self.left.first().copied().filter(|l| l.0 < forgotten) {
            self.left.pop_first();
            self.free.insert(i);
        }
        let i = self.free.iter().copied().find(|&i| self.nodes[i].out == 0).unwrap_or(self.nodes.len());
        match self.nodes.get_mut(i) {
            Some(old) => drop(self.by_endpoint.remove(&std::mem::replace(old, node).server.endpoint)),
            None => self.nodes.push(node),
        }
        self.by_endpoint.insert(server.endpoint, i);
        self.update(now, i, server);
    }

    fn update(&mut self, now: Nanos, i: usize, server: Server) {
        let restarted = server.started_at > self.nodes[i].server.started_at;
        if server.phase != Phase::Ready || server.zone != self.nodes[i].server.zone {
            self.leave(now, i, server.phase);
        }
        if server.phase != Phase::Removed {
            self.left.remove(&(self.nodes[i].left_at, i));
            self.free.remove(&i);
        }
        let fresh = self.nodes[i].server.phase != Phase::Ready;
        if !fresh && server.started_at != self.nodes[i].server.started_at {
            self.zones[usize::from(server.zone)].part = 0.0;
        }
        self.nodes[i].server = server;
        if server.phase == Phase::Ready && (fresh || restarted) {
            let node = &mut self.nodes[i];
            (node.relative_latency, node.latency_at, node.failure_rate, node.strikes, node.blocked_until) = (1.0, now, 0.0, 0, 0);
            node.silence.end();
            node.served = Rate::default();
            let zone = usize::from(server.zone);
            if self.zones.len() <= zone {
                self.zones.resize_with(zone + 1, Zone::default);
            }
            if fresh {
                (node.score, node.planned) = (0.0, 0.0);
                let zone = &mut self.zones[zone];
                let at = zone.ready.partition_point(|&j| self.nodes[j].server.endpoint < server.endpoint);
                zone.ready.insert(at, i);
                zone.fresh.insert(i);
                zone.part = 0.0;
            }
            // Every node hears of a cold server at about the same time: first sends are spread over an
            // interval, or all of them together would spend its tipping budget at once.
            if self.cold_share(now, i) < 1.0 {
                let wait = self.first_wait(now, i) * self.chance();
                self.nodes[i].cold_next = now.saturating_add(wait as Nanos);
            }
        }
    }

    /// Takes a server out of the ranking: nothing new goes to one that drains or is gone.
    fn leave(&mut self, now: Nanos, i: usize, phase: Phase) {
        let server = self.nodes[i].server;
        if server.phase == Phase::Ready {
            let zone = &mut self.zones[usize::from(server.zone)];
            let at = zone.ready.partition_point(|&j| self.nodes[j].server.endpoint < server.endpoint);
            zone.ready.remove(at);
            zone.fresh.remove(&i);
            zone.part = 0.0;
            if self.nodes[i].place.take().is_some() {
                (zone.left, zone.size) = (true, zone.size - self.nodes[i].size);
            }
        }
        if server.phase != Phase::Removed {
            self.nodes[i].left_at = now;
            self.left.insert((now, i));
        }
        self.nodes[i].server.phase = if phase == Phase::Ready { Phase::Removed } else { phase };
    }

    // ---- Ranking: accomplishment counters, faded by growing the increment ----

    fn fade(&self) -> f64 {
        FADE_RAMPS * self.settings.ramp as f64
    }

    fn increment(&mut self, now: Nanos) -> f64 {
        let mut grown = (now.saturating_sub(self.epoch) as f64 / self.fade()).exp();
        if grown > 1e100 {
            self.nodes.iter_mut().for_each(|n| (n.score, n.planned) = (n.score / grown, n.planned / grown));
            self.pending.values_mut().flat_map(|p| &mut p.attempts).for_each(|a| a.credit /= grown);
            self.epoch = now;
            grown = 1.0;
        }
        grown
    }

    fn credit(&mut self, i: usize, by: f64) {
        self.nodes[i].score += by;
        let Some(mut at) = self.nodes[i].place else { return };
        let rank = &mut self.zones[usize::from(self.nodes[i].server.zone)].rank;
        let score = self.nodes[i].score;
        while at > 0 && self.nodes[rank[at - 1]].score < score {
            rank[at] = rank[at - 1];
            self.nodes[rank[at]].place = Some(at);
            at -= 1;
        }
        while at + 1 < rank.len() && self.nodes[rank[at + 1]].score > score {
            rank[at] = rank[at + 1];
            self.nodes[rank[at]].place = Some(at);
            at += 1;
        }
        rank[at] = i;
        self.nodes[i].place = Some(at);
    }

    // ---- Queue estimate, in mean responses ----

    fn learn(&mut self, now: Nanos, endpoint: Endpoint, report: Option<LoadReport>) {
        let (Some(&i), Some(report)) = (self.by_endpoint.get(&endpoint), report) else { return };
        let node = &mut self.nodes[i];
        node.queued = f64::from(report.queued.unwrap_or(0.0)).max(0.0);
        node.report_at = now;
        self.usual_queue += (node.queued / node.size - self.usual_queue) / USUAL_OVER;
        node.sent_since = 0.0;
    }

    /// The answer time of a request in its class's mean responses, by its hint and the slope met so far. One
    /// mean for all would send the heaviest, which hold most of the worth, anywhere.
    fn weight(&self, request: &Request) -> f64 {
        let class = usize::from(request.class);
        let slope = self.hints[class];
        request.work_hint.map_or(1.0, |hint| {
            let more = slope.rise() * (hint as f64 - slope.mean) / self.typical[class];
            (1.0 + more).max(LIGHTEST)
        })
    }

    /// How long an answer takes here, in the class's mean responses: recent lag, or the silence while work is
    /// out if that is longer (a hung server must not look idle), and the work that waits per unit of size.
    fn queue(&self, now: Nanos, i: usize, mean: f64, weight: f64) -> f64 {
        let node = &self.nodes[i];
        let faded = (-(now.saturating_sub(node.latency_at) as f64) / self.memory).exp();
        let fleet = self.slowdown_now(now);
        let mut lag = fleet * (1.0 + (node.relative_latency - 1.0) * faded) * weight;
        if node.out > 0 {
            lag = lag.max(now.saturating_sub(node.silent_since) as f64 / mean);
        }
        // An old report says little; what is not known is taken to be as usual, not to be idle.
        let age = now.saturating_sub(node.report_at) as f64;
        let known = (-age / (REPORT_MEMORY * self.memory)).exp();
        let own = node.load / node.size;
        let since = node.sent_since / node.size;
        let waiting =
            (node.queued / node.size * known + since.min(own) + self.usual_queue * (1.0 - known)).max(own);
        // The lag already holds the usual queue: only what differs from it counts.
        let faults = (self.failure_rate_now(now, i) - self.failure_rate).max(0.0) * FAULT_COST;
        (lag + waiting - self.usual_queue).max(own) + faults
    }

    /// A server's share of failures. It fades: one that gets no requests has to be found out again.
    fn failure_rate_now(&self, now: Nanos, i: usize) -> f64 {
        let age = now.saturating_sub(self.nodes[i].failure_rate_at) as f64;
        self.nodes[i].failure_rate * (-age / self.memory).exp()
    }

    /// How much longer than usual the fleet takes to answer. It fades: who refuses all must find a jam over.
    fn slowdown_now(&self, now: Nanos) -> f64 {
        let faded = (-(now.saturating_sub(self.slowdown_at) as f64) / self.relief).exp();
        1.0 + (self.slowdown - 1.0) * faded
    }

    // ---- Choice: JSQ-DAS within a zone ----

    /// Whether a request may go there now, or (`out`) could, were it not out for failures.
    fn usable(&self, now: Nanos, i: usize, pending: &Pending, out: bool) -> bool {
        let node = &self.nodes[i];
        (out || node.blocked_until <= now)
            && (node.strikes == 0 || node.out == 0)
            && (node.cold_next <= now || self.cold_share(now, i) >= 1.0)
            && (node.place.is_some() || self.cold_share(now, i) >= 1.0)
            && !pending.attempts.iter().any(|a| a.node == i)
            && self.lane.is_none_or(|lane| node.pool == 0 || node.pool == lane)
            && self.inside(now, i, pending)
    }

    /// A keyed request that may have run stays with the servers that drop its repeats, in their time.
    fn inside(&self, now: Nanos, i: usize, pending: &Pending) -> bool {
        let class = &self.settings.classes[usize::from(pending.request.class)];
        pending.fence.filter(|_| class.idempotency == Idempotency::Keyed).is_none_or(|(first, until)| {
            let (a, b) = (&self.nodes[first].server, &self.nodes[i].server);
            let same = match class.dedup_group {
                DedupGroup::All => true,
                DedupGroup::Zone => a.zone == b.zone,
                DedupGroup::Cell => a.cell == b.cell,
            };
            same && now < until
        })
    }

    fn choose_in(&mut self, now: Nanos, zone: usize, pending: &Pending) -> Option<Candidate> {
        let rank = &self.zones.get(zone)?.rank;
        let lane = self.lane.map(|lane| {
            let inside = |i: &usize| self.nodes[*i].pool == 0 || self.nodes[*i].pool == lane;
            rank.iter().copied().filter(inside).collect::<Vec<_>>()
        });
        let count = lane.as_ref().unwrap_or(rank).len();
        if count == 0 && self.lane.is_none() {
            return None;
        }
        let mean = self.typical[usize::from(pending.request.class)];
        let top = ((TOP_SHARE * count as f64).ceil() as usize).clamp(1, count.max(2) - 1).min(count);
        let weight = self.weight(&pending.request);
        let mut drawn = [usize::MAX; MAX_SAMPLE + 1];
        let mut have = 0;
        let half = half_sample_size(count);
        for (from, to, want) in [(0, top, half), (top, count, half)] {
            let (mut tries, goal) = (0, have + want.min(to - from));
            while have < goal && tries < 4 * want {
                let place = from + self.draw(to - from);
                let i = lane.as_ref().unwrap_or(&self.zones[zone].rank)[place];
                tries += 1;
                if !drawn[..have].contains(&i) && self.usable(now, i, pending, false) {
                    drawn[have] = i;
                    have += 1;
                }
            }
        }
        let favourite = self.favourite(now, zone, pending);
        if let Some(i) = favourite.filter(|i| !drawn[..have].contains(i)) {
            drawn[have] = i;
            have += 1;
        }
        if have == 0 {
            // Nearly all are out: take any that is left.
            drawn[0] = *self.zones[zone].ready.iter().find(|&&i| self.usable(now, i, pending, false))?;
            have = 1;
        }
        let rated = drawn[..have].iter().map(|&i| {
            let bonus = if favourite == Some(i) { KEY_BONUS } else { 1.0 };
            let queue = self.queue(now, i, mean, weight) * bonus;
            Candidate { server: i, queue, cost: queue + self.silence_cost(now, i, mean, queue) }
        });
        let cost = |c: &Candidate| ((c.cost + self.suspect(now, c.server)) / TIE_STEP).round();
        let place = |c: &Candidate| self.nodes[c.server].place.unwrap_or(usize::MAX);
        rated.min_by(|a, b| cost(a).total_cmp(&cost(b)).then(place(a).cmp(&place(b))))
    }

    /// The server that has most likely met the key: highest hash of key and server.
    fn favourite(&self, now: Nanos, zone: usize, pending: &Pending) -> Option<usize> {
        let key = pending.request.key;
        if key == 0 || !self.settings.key_affinity {
            return None;
        }
        let hash = |i: usize| self.nodes[i].server.endpoint.affinity(key);
        let best = *self.zones[zone].rank.iter().max_by_key(|&&i| (hash(i), i))?;
        Some(best).filter(|&i| self.usable(now, i, pending, false))
    }

    /// The home zone first; another where the local answer would be late and the other much sooner.
    fn choose_near(&mut self, now: Nanos, pending: &Pending) -> Option<(usize, f64)> {
        let class = usize::from(pending.request.class);
        let (mean, latency_target) = (self.typical[class], self.settings.classes[class].latency_target as f64);
        let home = usize::from(self.settings.zone);
        let local = self.choose_in(now, home, pending);
        if let Some(local) = local.filter(|c| c.cost * mean < WIDEN_AT * latency_target) {
            return Some((local.server, local.queue));
        }
        let skip = self.draw(self.zones.len());
        let mut best = local.map(|c| Candidate { cost: c.cost * CROSS_GAIN, ..c });
        for k in 0..self.zones.len() {
            let zone = (k + skip) % self.zones.len();
            let found = if zone == home { None } else { self.choose_in(now, zone, pending) };
            if let Some(found) = found.filter(|f| best.is_none_or(|b| f.cost < b.cost)) {
                best = Some(found);
            }
        }
        best.map(|c| (c.server, c.queue)).or_else(|| self.last_resort(now, pending))
    }

    /// Where all are out for failures, who is to be tried first, at home before elsewhere, one request each:
    /// connections that come up late put all out at once, and to refuse then fails for sure.
    fn last_resort(&self, now: Nanos, pending: &Pending) -> Option<(usize, f64)> {
        let (mean, weight) =
            (self.typical[usize::from(pending.request.class)], self.weight(&pending.request));
        let out = self.zones.iter().flat_map(|z| &z.ready).filter(|&&i| self.usable(now, i, pending, true));
        let order =
            |&&i: &&usize| (self.nodes[i].server.zone != self.settings.zone, self.nodes[i].blocked_until);
        out.min_by_key(order).map(|&i| (i, self.queue(now, i, mean, weight)))
    }

    // ---- Health ----

    fn strike(&mut self, now: Nanos, i: usize, outcome: AttemptOutcome, sink: &mut Vec<Action>) {
        let zone = usize::from(self.nodes[i].server.zone);
        if self.nodes[i].blocked_until > now || self.nodes[i].server.phase != Phase::Ready {
            return;
        }
        let hard = outcome == AttemptOutcome::ConnectFailed;
        let sound = self.nodes[i].strikes == 0 && self.failure_rate_now(now, i) < FAULTY + self.failure_rate;
        let out = self.zones[zone].rank.iter().filter(|&&j| self.nodes[j].blocked_until > now).count();
        if !hard && (sound || out as f64 >= EJECT_CAP * self.zones[zone].rank.len() as f64) {
            return;
        }
        let jitter = 0.75 + 0.5 * self.chance();
        let node = &mut self.nodes[i];
        node.strikes = (node.strikes + 1).min(4);
        let pause = self.longest as f64 / 2.0 * f64::from(1 << node.strikes) * jitter;
        node.blocked_until = now + pause as Nanos;
        if node.strikes == 2 {
            sink.push(Action::Log { text: format!("ejected {:?} after {outcome:?}", node.server.endpoint) });
        }
    }

    // ---- Requests ----
    fn admit(&mut self, now: Nanos, request: Request, sink: &mut Vec<Action>) {
        let ramp = self.settings.ramp as f64;
        self.arrivals.count(now, ramp);
        if self.part.update(now, || self.arrivals.since_start(now, ramp), self.memory) {
            (0..self.zones.len()).for_each(|zone| self.regroup(now, zone));
        }
        let most = 1.0 + RETRY_SHARE * self.arrivals.read(now, ramp) * ramp / 1e9;
        // Copies into a jam make it worse: the budget dries up as answers take longer than usual.
        let calm = self.slowdown_now(now).max(1.0).powi(-CALM_STEEP);
        self.budget = (self.budget + RETRY_SHARE * calm).min(most);
        let pending = Pending { request, arrived: now, ..Pending::default() };
        let class = usize::from(request.class);
        let known = class < self.settings.classes.len();
        let tried = if known { self.trial(now, &pending) } else { None };
        let found = tried.or_else(|| if known { self.choose(now, &pending) } else { None });
        let Some((i, queue)) = found else { return self.refuse(request.id, self.longest as f64, sink) };
        let wait = self.line.read(queue) * self.typical[class] - self.limit(now, &request);
        let turned_away = if wait > 0.0 { 1.0 } else { 0.0 };
        let recent = self.arrivals.since_start(now, ramp) * self.memory / 1e9;
        let over = recent.clamp(SHORTAGE_OVER.0, SHORTAGE_OVER.1);
        self.turned_away += (turned_away - self.turned_away) / over;
        if wait > 0.0 {
            return self.refuse(request.id, wait, sink);
        }
        let tenant = self.tenants.get_mut(request.tenant as usize);
        tenant.into_iter().for_each(|rate| rate.count(now, self.memory));
        self.classes[class].count(now, self.memory);
        self.pending.insert(request.id, pending);
        self.send(now, request.id, (i, queue), sink);
        let class = &self.settings.classes[class];
        let at = now + (HEDGE_AT * class.latency_target as f64) as Nanos;
        let copies = self.settings.hedging && !class.stream && at < request.deadline;
        if class.idempotency == Idempotency::Safe && copies {
            self.jobs.push(Reverse((at, Job::Hedge(request.id))));
        }
    }

    // ---- Admission ----

    /// Whether a tenant already gets its share here. What is let in counts: clients that ask again after a
    /// refusal would put their tenant over its share and be refused the more.
    fn over_share(&self, now: Nanos, tenant: usize) -> bool {
        let Some(rate) = self.tenants.get(tenant) else { return false };
        let even = self.settings.tenant_quota[tenant] * self.share;
        let planned = self.guide.tenants.get(tenant).filter(|_| self.guide.trust > 0.0);
        self.beyond(now, rate, planned.copied().unwrap_or(even))
    }

    /// Whether a class already gets what the plan lets in here.
    fn over_limit(&self, now: Nanos, class: usize) -> bool {
        let limit = self.guide.classes.get(class).filter(|_| self.guide.trust > 0.0);
        limit.is_some_and(|&limit| self.beyond(now, &self.classes[class], limit))
    }

    fn beyond(&self, now: Nanos, rate: &Rate, fair: f64) -> bool {
        // One node of many sees a few of a tenant's requests: chance alone must not put it over.
        rate.read(now, self.memory) > fair + CHANCE * (fair / (self.memory / 1e9)).sqrt()
    }

    /// The expected answer time beyond which the request is not worth its work.
    fn limit(&self, now: Nanos, request: &Request) -> f64 {
        let class = &self.settings.classes[usize::from(request.class)];
        let cost = |c: usize| if self.settings.value_per_work { 1.0 } else { self.typical[c] };
        let worth = |c: usize| self.settings.classes[c].value / cost(c);
        let best = (0..self.typical.len()).map(worth).fold(f64::MIN_POSITIVE, f64::max);
        let known = self.answers[usize::from(request.class)] >= KNOWN_AFTER;
        let value = if known { worth(usize::from(request.class)) / best } else { 1.0 };
        // Who takes more than the share has agreed to less: that counts however much room there is.
        let over =
            self.over_share(now, request.tenant as usize) || self.over_limit(now, usize::from(request.class));
        let over = if over { self.settings.over_quota_value } else { 1.0 };
        let left = request.deadline.saturating_sub(now) as f64;
        // A late answer that still earns something is worth a longer wait.
        let most = (ADMIT_AIMS * (1.0 + class.late_value) * class.latency_target as f64).min(left);
        let shortage = (self.turned_away / SHORTAGE).min(1.0);
        most * (value.clamp(0.0, 1.0).powf(shortage) * over.clamp(0.0, 1.0)).powf(WORTH_POWER)
    }

    fn refuse(&mut self, id: RequestId, wait: f64, sink: &mut Vec<Action>) {
        let advice = (wait * (0.5 + self.chance())).min(self.settings.max_retry_after as f64) as Nanos;
        let retry_after = if self.settings.retry_after { advice } else { 0 };
        sink.push(Action::Refuse { request: id, retry_after });
    }

    // ---- Attempts ----

    fn send(&mut self, now: Nanos, id: RequestId, (i, expected): (usize, f64), sink: &mut Vec<Action>) {
        let credit = self.increment(now);
        let weight = self.pending.get(&id).map_or(1.0, |p| self.weight(&p.request));
        self.nodes[i].cold_next = self.after_send(now, i);
        let node = &mut self.nodes[i];
        if node.out == 0 {
            node.silent_since = now;
        }
        node.out += 1;
        node.load += weight;
        node.sent_since += weight;
        let server = node.server.endpoint;
        self.credit(i, credit);
        if let Some(p) = self.pending.get_mut(&id) {
            p.attempts.push(Attempt { node: i, credit, weight, expected, open: true });
            sink.push(Action::Send { request: id, server, timeout: 0 });
        }
    }

    fn outcome(&mut self, now: Nanos, id: RequestId, attempt: u8, end: End, sink: &mut Vec<Action>) {
        let (finished, took, outcome) = end;
        let Some(p) = self.pending.get_mut(&id) else { return };
        let Some(a) = p.attempts.get_mut(usize::from(attempt)).filter(|a| a.open) else { return };
        a.open = false;
        let (a, request, class) = (*a, p.request, usize::from(p.request.class));
        let window = self.settings.classes[class].dedup_window;
        if matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::TimedOut) && a.expected > 0.0 {
            self.line.met(a.expected, took as f64 / self.typical[class]);
        }
        if !outcome.never_ran() && p.fence.is_none() {
            p.fence = Some((a.node, now.saturating_sub(took).saturating_add(window)));
        }
        self.judge(now, a, request, end, sink);
        let Some(p) = self.pending.get(&id) else { return };
        if finished || p.answered {
            self.close(id, sink);
        } else if p.open() == 0 || now >= p.request.deadline {
            self.again(now, id, outcome, sink);
        }
    }

    /// What an ending says of its server.
    fn judge(&mut self, now: Nanos, a: Attempt, request: Request, end: End, sink: &mut Vec<Action>) {
        let (Attempt { node: i, credit, weight, .. }, (_, took, outcome)) = (a, end);
        let class = usize::from(request.class);
        let fleet = self.slowdown_now(now);
        let faults = self.failure_rate_now(now, i);
        let node = &mut self.nodes[i];
        node.outcomes[outcome as usize] = node.outcomes[outcome as usize].saturating_add(1);
        node.out = node.out.saturating_sub(1);
        node.load = if node.out == 0 { 0.0 } else { (node.load - weight).max(0.0) };
        if matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Rejected | AttemptOutcome::Reset) {
            node.silent_since = now;
            node.silence.end();
        } else if outcome == AttemptOutcome::Cancelled && node.out == 0 {
            let most = SURGE * self.typical[class];
            node.silence.add(now, node.silent_since, most, self.memory);
        }
        if matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::TimedOut) {
            let answers = self.answers[class].saturating_add(1);
            self.answers[class] = answers;
            let typical = &mut self.typical[class];
            if let Some(hint) = request.work_hint {
                self.hints[class].met(hint as f64, took as f64 - *typical);
            }
            // One answer that never comes is no jam: it tells of its server, and of the fleet only so much.
            let ratio = took as f64 / (*typical * weight);
            // The yardstick follows slowly, upwards slowest: it has to outlive a jam.
            let late = (took as f64).min(SURGE * *typical) - *typical;
            // The first answers are averaged: a node of many sees few, and would go by its guess for minutes.
            let slow = if ratio > 1.0 { TYPICAL_UP / TYPICAL_DOWN } else { 1.0 };
            *typical += late / (slow * f64::from(answers).min(TYPICAL_DOWN));
            let gap = (-(now.saturating_sub(node.latency_at) as f64) / self.memory).exp();
            node.relative_latency = 1.0 + (node.relative_latency - 1.0) * gap;
            // A server that answers others is there: one connection alone has fallen silent.
            let alive = now.saturating_sub(node.silent_since) < took;
            let felt = if alive { ratio.min(SURGE) } else { ratio };
            node.relative_latency += (felt / fleet - node.relative_latency) * LAG_WEIGHT.max(1.0 - gap);
            self.slowdown = fleet + (ratio.min(SURGE) - fleet) * PRESSURE_WEIGHT;
            self.slowdown_at = now;
            node.latency_at = now;
        }
        if matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Rejected | AttemptOutcome::Reset) {
            let fault = if outcome == AttemptOutcome::Ok { 0.0 } else { 1.0 };
            (node.failure_rate, node.failure_rate_at) = (faults + (fault - faults) * FAULT_WEIGHT, now);
            self.failure_rate += (fault - self.failure_rate) * FLEET_FAULT_WEIGHT;
        }
        if outcome == AttemptOutcome::Ok {
            node.served_at = Some(now);
            node.served.count(now, self.settings.overload_window as f64);
            self.served.count(now, self.settings.ramp as f64);
        }
        match outcome {
            AttemptOutcome::Ok if node.blocked_until <= now && node.failure_rate < SOUND + self.failure_rate => node.strikes = 0,
            AttemptOutcome::Ok | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            // A server that fails fast would drain its queue and climb: take back its credit.
            AttemptOutcome::Error | AttemptOutcome::Rejected | AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                self.credit(i, -credit);
                // A time-out tells of load as well as of a fault, and the lag already counts it: ejecting
                // for it would push an overloaded fleet's work onto ever fewer servers.
                if outcome != AttemptOutcome::TimedOut {
                    self.strike(now, i, outcome, sink);
                }
            }
        }
    }

    /// Sends a request again whose attempts have all ended without an answer, or ends it.
    fn again(&mut self, now: Nanos, id: RequestId, outcome: AttemptOutcome, sink: &mut Vec<Action>) {
        let Some(mut p) = self.pending.remove(&id) else { return };
        let class = usize::from(p.request.class);
        let effect = self.settings.classes[class].idempotency;
        let may_have_run = p.fence.is_some();
        let free = outcome.never_ran();
        let allowed = !p.streaming
            && p.attempts.len() < self.settings.max_attempts as usize
            && (!may_have_run || effect != Idempotency::Unsafe)
            && (free || self.budget >= 1.0)
            && now + (self.typical[class] / 2.0) as Nanos <= p.request.deadline;
        let next = if allowed { self.choose(now, &p) } else { None };
        let all = self.settings.classes[class].dedup_group == DedupGroup::All;
        let harmless = !may_have_run || effect == Idempotency::Safe || (effect == Idempotency::Keyed && all);
        if next.is_none() {
            p.answered = true;
            if harmless && now < p.request.deadline {
                let latency_target = self.settings.classes[class].latency_target as f64;
                self.refuse(id, self.typical[class].max(LEAST_PAUSE * latency_target), sink);
            } else {
                sink.push(Action::Fail { request: id });
            }
        }
        self.pending.insert(id, p);
        let Some(next) = next else { return self.close(id, sink) };
        self.budget -= if free { 0.0 } else { 1.0 };
        self.send(now, id, next, sink)
    }

    /// A second copy for a request that is slow to come back, within the budget.
    fn hedge(&mut self, now: Nanos, id: RequestId, sink: &mut Vec<Action>) {
        let Some(p) = self.pending.remove(&id) else { return };
        let fits = !p.answered && p.open() == 1 && p.attempts.len() < self.settings.max_attempts as usize;
        let class = &self.settings.classes[usize::from(p.request.class)];
        let left = (p.arrived + class.latency_target).saturating_sub(now) as f64;
        let mean = self.typical[usize::from(p.request.class)];
        let fits = fits && self.budget >= 1.0 && now < p.request.deadline;
        let next = if fits { self.choose(now, &p).filter(|&(_, q)| q * mean < left) } else { None };
        self.pending.insert(id, p);
        let Some(next) = next else { return };
        self.budget -= 1.0;
        self.send(now, id, next, sink);
    }

    /// Nothing more is owed: calls off what is still out and forgets the request once all is in.
    fn close(&mut self, id: RequestId, sink: &mut Vec<Action>) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        if !p.answered && self.settings.cancel && !p.streaming {
            for (k, _) in p.attempts.iter().enumerate().filter(|(_, a)| a.open) {
                sink.push(Action::Cancel { request: id, attempt: k as u8 });
            }
        }
        p.answered = true;
        if p.open() == 0 {
            self.pending.remove(&id);
        }
    }

    // ---- Timers ----

    fn arm(&mut self, now: Nanos, sink: &mut Vec<Action>) {
        if let Some(&Reverse((at, _))) = self.jobs.peek() {
            if at < self.armed {
                self.armed = at;
                sink.push(Action::StartTimer { after: at.saturating_sub(now), token: 0 });
            }
        }
    }
}
