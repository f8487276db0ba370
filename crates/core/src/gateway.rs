//! Between the sockets and the module: what happens becomes an event, what the module wants is carried out, in
//! order. The gateway owns the balancer, the requests that are under way and all timers.
//!
//! Everything runs on one thread. The state is borrowed only inside the methods here, never across an await.

use crate::budget::Budget;
use crate::call::{Call, Exchange, LocalReply, SendProgress};
use crate::clock::Clock;
use crate::dispatch::{Locality, PriorAttempt};
use crate::events::{self, Kind, Label};
use crate::fleet::{Fleet, ServerAttributes, ServerEntry};
use crate::ids::Ids;
use crate::name_index::NameIndex;
use crate::process::ProcessState;
use crate::running;
use laurelroute_handover::bans::{BanError, BanRecord, Bans};
use laurelroute_policy::interface::{
    Action, AttemptOutcome, Endpoint, Event, LearnedState, ListKind, Nanos, NodePlan, Request, RequestId,
    Server, ServerObservation, Settings, SettingsError,
};
use laurelroute_policy::Balancer;
use laurelroute_shift::course::{Change, Refused, Word as ShiftWord};
use laurelroute_shift::follow::{Follower, Look, Told};
use laurelroute_shift::pool::Facts;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};
use tokio::task::AbortHandle;

mod attempt;
mod claim;
mod permits;

pub use attempt::Attempt;
pub use claim::PendingRequest;

/// How long an attempt that was given up may go on, so that its connection can be used again. Giving it up by
/// closing costs the server a new handshake, and the work goes on there all the same.
const LINGER: Nanos = 1_000_000_000;

/// With nothing to wait for, timers are looked at this often. One process has hundreds of gateways at rest.
const REST: Nanos = 600_000_000_000;

/// Part of the idle time after which a server may close that a kept connection is used.
const IDLE_PART: f64 = 0.6;

/// A request's client is looked at as it comes; an attempt that begins within this does not look again.
const LOOKED_AT: Nanos = 5_000_000;

/// What the node is told of its config, apart from who its servers are.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// What the decision module is told.
    pub settings: Settings,
    /// Settles all random draws.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Descriptors of those that are neither for clients nor for servers.
    pub reserved_descriptors: usize,
    /// Memory that the process may hold, in MiB.
    pub memory_mb: u64,
    /// A server may close a connection that has stood idle for this long.
    pub server_idle_timeout: Nanos,
    /// A connection that is not up after this has failed.
    pub connect_timeout: Nanos,
    /// Connections that one server may hold of this node's, over all wires; `None` where nobody says.
    pub max_connections_per_server: Option<u32>,
    /// NameIndex of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// NameIndex of the tenants, in the order of the settings.
    pub tenants: NameIndex,
}

impl GatewayConfig {
    /// A tenant's place in the settings. One that they do not name has no share to be over.
    pub fn tenant_index(&self, name: Option<&[u8]>) -> u32 {
        name.and_then(|name| self.tenants.find(name)).unwrap_or(u32::MAX)
    }

    /// Advice when to come back, in seconds, where the settings allow it and there is any.
    pub fn retry_after_seconds(&self, retry_after: Nanos) -> Option<f64> {
        let allowed = self.settings.retry_after && retry_after > 0;
        allowed.then(|| retry_after.min(self.settings.max_retry_after) as f64 / 1e9)
    }
}

/// A route key in the module's form: a number where it is one in hexadecimal, else a hash.
pub fn route_key(text: &[u8]) -> u64 {
    let hex = std::str::from_utf8(text).ok().and_then(|t| u64::from_str_radix(t, 16).ok());
    hex.unwrap_or_else(|| crate::stable_hash(text))
}

/// Why a server is neither taken out nor put back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ServerControlError {
    /// Nobody has this name.
    #[error("no server has this name")]
    Unknown,
    /// No further ban can be remembered.
    #[error("{0}")]
    Bans(#[from] BanError),
}

#[derive(Clone, Copy, Debug)]
struct AttemptId {
    request: RequestId,
    number: u8,
}

type Handed = Rc<RefCell<Option<Rc<dyn SendProgress>>>>;

struct Sent {
    server: Endpoint,
    sent_at: Nanos,
    open: bool,
    /// How it ended, once it has.
    ending: Option<AttemptOutcome>,
    locality: Option<Locality>,
    /// The connection that it has, once it has one.
    handed: Handed,
    task: Option<AbortHandle>,
}

impl Sent {
    /// Its last byte is with the kernel: from here on it may run.
    fn fully_sent(&self) -> bool {
        self.handed.borrow().as_ref().is_some_and(|h| h.fully_sent())
    }
}

struct Live {
    exchange: Rc<dyn Exchange>,
    label: Label,
    came_at: Nanos,
    request: Request,
    give_up_at: Nanos,
    /// The client has had no final answer yet.
    owed: bool,
    attempts: Vec<Sent>,
}

impl Live {
    fn earlier(&self) -> impl Iterator<Item = PriorAttempt> + Clone + '_ {
        self.attempts.iter().map(|a| PriorAttempt {
            locality: a.locality,
            ending: a.ending,
            sent_at: a.sent_at,
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Module(u32),
    Deadline(RequestId),
    AttemptTimeout(RequestId, u8),
}

struct State {
    balancer: Balancer,
    fleet: Fleet,
    /// Bounded by the clients' connections: each carries one request, and attempts outlive it by a deadline.
    live: HashMap<RequestId, Live>,
    /// Bounded by the rate of requests times the longest give-up time: an entry stays until it is due.
    timers: BinaryHeap<Reverse<(Nanos, Wake)>>,
    armed: Nanos,
    /// Attempts whose outcome is told already; bounded by the connections to servers.
    lingering: VecDeque<(Nanos, AbortHandle)>,
    next_id: RequestId,
    ids: Ids,
    /// A shift from one pool of servers to another, where the operator's file names one.
    shift: Option<Box<Follower>>,
}

/// What the discovery task is asked to do, where the list has to be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// Open a standing subscription.
    Subscribe,
    /// Ask for the whole list once.
    Fetch,
}

/// See the module's documentation.
pub struct Gateway {
    /// What the node was told.
    pub config: Rc<GatewayConfig>,
    /// The node's one clock.
    pub clock: Clock,
    /// What may be held.
    pub budget: Rc<Budget>,
    /// What it shares with the gateways of other services, where there are any.
    pub process: Rc<ProcessState>,
    /// Discovery has told the list, so that new clients may come.
    pub ready: Cell<bool>,
    now_ready: Notify,
    /// Bounded by the module, which asks again only after an answer.
    pub list_requests: mpsc::UnboundedSender<ListRequest>,
    state: RefCell<State>,
    timer: Notify,
}

impl Gateway {
    /// A gateway with nobody listed and nothing under way.
    pub fn new(
        config: GatewayConfig,
        list_requests: mpsc::UnboundedSender<ListRequest>,
    ) -> Result<Rc<Self>, SettingsError> {
        let budget = Budget::new(config.max_descriptors, config.memory_mb, config.reserved_descriptors);
        let (fleet, seed) = (Fleet::with_cap(config.max_connections_per_server), config.seed);
        let settings = config.settings.clone();
        Self::made(
            Rc::new(config),
            (settings, seed),
            fleet,
            list_requests,
            (budget, Clock::start(), Rc::default()),
        )
    }

    /// A gateway for a service of the same process: nobody is listed, and what operators have said of servers counts.
    pub fn for_service(self: &Rc<Self>, service: &str) -> Result<Rc<Self>, SettingsError> {
        let seed = self.config.seed ^ crate::stable_hash(service.as_bytes());
        let shared = (self.budget.clone(), self.clock, self.process.clone());
        let mut fleet = self.fleet(|f| f.with_same_limits());
        fleet.share_connection_counts(self.process.clone());
        let settings = self.process.settings_of_a_service(&self.config.settings);
        let gateway =
            Self::made(self.config.clone(), (settings, seed), fleet, self.list_requests.clone(), shared)?;
        gateway.ready.set(true);
        self.process.add(&gateway);
        Ok(gateway)
    }

    /// Further gateways will be made beside this one: from now on the connections to a server count for all of them.
    pub fn enable_services(self: &Rc<Self>) {
        self.fleet(|f| f.share_connection_counts(self.process.clone()));
        self.process.add(self);
    }

    fn made(
        config: Rc<GatewayConfig>,
        (settings, seed): (Settings, u64),
        fleet: Fleet,
        list_requests: mpsc::UnboundedSender<ListRequest>,
        (budget, clock, process): (Rc<Budget>, Clock, Rc<ProcessState>),
    ) -> Result<Rc<Self>, SettingsError> {
        let state = State {
            balancer: Balancer::new(settings, seed)?,
            fleet,
            live: HashMap::new(),
            timers: BinaryHeap::new(),
            armed: Nanos::MAX,
            lingering: VecDeque::new(),
            next_id: 0,
            ids: Ids::default(),
            shift: None,
        };
        Ok(Rc::new(Gateway {
            budget,
            clock,
            process,
            ready: Cell::new(false),
            now_ready: Notify::new(),
            list_requests,
            state: RefCell::new(state),
            timer: Notify::new(),
            config,
        }))
    }

    /// No request waits beyond this, however long its client would: the process ends soon after, and a connection that
    /// ends with it gives no final answer.
    pub fn set_shutdown_deadline(self: &Rc<Self>, at: Nanos) {
        self.process.ends_at.set(Some(at));
        self.end_live_by(at);
        self.process.others(self).iter().for_each(|g| g.end_live_by(at));
    }

    fn end_live_by(self: &Rc<Self>, at: Nanos) {
        let mut state = self.state.borrow_mut();
        let beyond: Vec<_> =
            state.live.iter().filter(|(_, l)| l.give_up_at > at).map(|(id, _)| *id).collect();
        for id in beyond {
            if let Some(live) = state.live.get_mut(&id) {
                live.give_up_at = at;
            }
            self.start_timer(&mut state, at, Wake::Deadline(id));
        }
    }

    /// Until then every request has its final answer.
    fn ends_at(&self) -> Nanos {
        self.process.ends_at.get().unwrap_or(Nanos::MAX)
    }

    /// SIGTERM has come: no more requests on kept connections.
    pub fn is_draining(&self) -> bool {
        self.process.draining.get()
    }

    /// There is a list to go by.
    pub fn set_ready(&self) {
        self.ready.set(true);
        self.now_ready.notify_waiters();
    }

    /// Waits until there is a list to go by.
    pub async fn wait_ready(&self) {
        loop {
            let ready = self.now_ready.notified();
            if self.ready.get() {
                return;
            }
            ready.await;
        }
    }

    /// Runs `f` on the fleet's connections.
    pub fn fleet<T>(&self, f: impl FnOnce(&mut Fleet) -> T) -> T {
        f(&mut self.state.borrow_mut().fleet)
    }

    /// A kept connection to a server that stands idle since before this is not used again.
    pub fn idle_cutoff(&self) -> Nanos {
        let limit = (self.config.server_idle_timeout as f64 * IDLE_PART) as Nanos;
        self.clock.now().saturating_sub(limit)
    }

    /// Time in which this process ran, for limits on how long clients may stand still ([`crate::running`]).
    pub fn running_time(&self) -> Nanos {
        self.process.running.at(self.clock.now())
    }

    /// Counts running time, every [`crate::peer::PEER_CHECK_INTERVAL`].
    pub fn tick_running_time(&self) {
        self.process.running.tick(self.clock.now());
    }

    /// Closes kept connections that are too old or were closed by their servers.
    pub fn sweep_idle_connections(&self) {
        let oldest = self.idle_cutoff();
        self.fleet(|f| f.sweep(oldest));
    }

    /// Takes a client's id, given as a hash, for a request that ends then; false where it is taken.
    pub fn claim_request_id(&self, id: u64, give_up_at: Nanos) -> bool {
        let until = give_up_at.saturating_add(LINGER);
        self.state.borrow_mut().ids.claim(self.clock.now(), id, until)
    }

    /// Takes a request; its exchange hears the end. Where the claim is dropped first, the client has left.
    pub fn submit(self: &Rc<Self>, call: Call, exchange: Rc<dyn Exchange>) -> PendingRequest {
        let mut state = self.state.borrow_mut();
        let id = state.next_id;
        state.next_id = id.wrapping_add(1);
        let give_up_at = call.give_up_at.min(self.ends_at());
        let mut request = Request { id, deadline: give_up_at, ..call.request };
        if let Some(shift) = &mut state.shift {
            request.split_position = shift.place(&request);
            shift.came(&request);
        }
        state.live.insert(
            id,
            Live {
                exchange,
                label: call.label,
                came_at: self.clock.now(),
                request,
                give_up_at,
                owed: true,
                attempts: Vec::new(),
            },
        );
        self.start_timer(&mut state, give_up_at, Wake::Deadline(id));
        self.handle(&mut state, Event::Request(request));
        PendingRequest { gateway: self.clone(), id }
    }

    fn client_gone(self: &Rc<Self>, request: RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(live) = state.live.get_mut(&request) else { return };
        if std::mem::replace(&mut live.owed, false) {
            events::record(self.clock.now(), Kind::ClientLeft, live.label);
            self.withdraw(&mut state, request);
            self.handle(&mut state, Event::ClientDisconnected { request });
            self.forget(&mut state, request);
        }
    }

    /// Nobody waits for the request any more. What of it no server can have begun is not sent on, whatever the settings
    /// say of calling off: an attempt whose connection comes up late would else run for nobody.
    fn withdraw(self: &Rc<Self>, state: &mut State, request: RequestId) {
        let attempts = state.live.get(&request).map_or(0, |live| live.attempts.len());
        for number in 0..attempts as u8 {
            let attempt = state.live.get(&request).and_then(|l| l.attempts.get(usize::from(number)));
            if attempt.is_some_and(|a| a.open && !a.fully_sent()) {
                self.conclude(state, AttemptId { request, number }, AttemptOutcome::NotSent);
            }
        }
    }

    /// Discovery has spoken. The node's own table is told first: what the module then sends must find it.
    pub fn update_servers(self: &Rc<Self>, kind: ListKind, entries: Vec<ServerEntry>) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let said = state.shift.is_some().then(|| entries.clone());
        state.fleet.set_wall_clock_offset(self.clock.wall().wrapping_sub(now) as i64);
        let servers = state.fleet.update(now, kind, entries);
        if let (Some(shift), Some(said)) = (&mut state.shift, said) {
            relist(shift, kind != ListKind::Changes, &said, &servers);
        }
        self.tell(&mut state, kind, servers);
    }

    /// Discovery has given a sign of life without news.
    pub fn record_discovery_contact(&self) {
        let now = self.clock.now();
        self.fleet(|f| f.record_discovery_contact(now));
    }

    fn tell(self: &Rc<Self>, state: &mut State, kind: ListKind, servers: Vec<Server>) {
        if let Some(shift) = &mut state.shift {
            shift.phases(&servers);
        }
        self.handle(state, Event::List { kind, servers });
        if let Some(split) = state.shift.as_mut().and_then(|s| s.relisted()) {
            self.handle(state, Event::Split(split));
        }
        for server in state.fleet.take_restored() {
            self.handle(state, Event::Reinstated { server });
        }
    }

    /// Takes a server out of use, whatever the list says of it; what others must be told of it, where they do not know.
    pub fn detach(self: &Rc<Self>, host: &str) -> Result<Option<BanRecord>, ServerControlError> {
        self.say(host, |bans, now| bans.detach(host, now))
    }

    /// Uses a server again that was taken out; nothing changes for one that was not.
    pub fn attach(self: &Rc<Self>, host: &str) -> Result<Option<BanRecord>, ServerControlError> {
        self.say(host, |bans, now| Ok(bans.attach(host, now)))
    }

    /// Has the operators' word on a server count, if there is such a one.
    fn say(
        self: &Rc<Self>,
        host: &str,
        word: impl FnOnce(&mut Bans, Nanos) -> Result<Option<BanRecord>, BanError>,
    ) -> Result<Option<BanRecord>, ServerControlError> {
        let others = self.process.others(self);
        let known = |g: &Rc<Self>| g.fleet(|f| f.is_listed(host) || f.bans.is_banned(host));
        if !known(self) && !others.iter().any(known) {
            return Err(ServerControlError::Unknown);
        }
        let word = self.fleet(|f| word(&mut f.bans, self.clock.now()))?;
        self.reconsider(&[host.to_owned()]);
        // Operators speak of a server, whatever its services.
        others.iter().for_each(|g| g.take_words(word.iter().cloned().collect()));
        Ok(word)
    }

    /// The fleet's word on a server, which counts whatever was said of it here before.
    pub fn apply_fleet_ban(self: &Rc<Self>, host: &str, out: bool) {
        let now = self.clock.now();
        let word = self.fleet(|f| match out {
            true => f.bans.detach(host, now).ok().flatten(),
            false => f.bans.attach(host, now),
        });
        if let Some(word) = word {
            self.reconsider(&[host.to_owned()]);
            self.process.others(self).iter().for_each(|g| g.take_words(vec![word.clone()]));
        }
    }

    /// Others have heard that a server drains, before the list here says so; or that counts no longer.
    pub fn apply_fleet_drain(self: &Rc<Self>, host: &str, drains: bool) {
        if self.fleet(|f| f.set_drained(host, drains)) {
            self.reconsider(&[host.to_owned()]);
            for other in self.process.others(self) {
                other.fleet(|f| f.set_drained(host, drains));
                other.reconsider(&[host.to_owned()]);
            }
        }
    }

    /// Takes over words that were said to another process of this node.
    pub fn merge_bans(self: &Rc<Self>, words: Vec<BanRecord>) {
        self.process.others(self).iter().for_each(|g| g.take_words(words.clone()));
        self.take_words(words);
    }

    fn take_words(self: &Rc<Self>, words: Vec<BanRecord>) {
        let now = self.clock.now();
        let changed = self.fleet(|f| f.bans.merge_received(words, now));
        // What is kept comes back with each call, mostly without news: that is no word on the list.
        if !changed.is_empty() {
            self.reconsider(&changed);
        }
    }

    fn reconsider(self: &Rc<Self>, hosts: &[String]) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let warm = now.saturating_sub(2 * self.config.settings.ramp);
        state.fleet.bans.forget_restored_before(warm);
        let servers = state.fleet.reapply(now, hosts);
        self.tell(&mut state, ListKind::Changes, servers);
    }

    /// From now on this process holds no more descriptors than this.
    pub fn set_descriptor_limit(&self, sockets: usize) {
        self.budget.resize(sockets);
        while self.budget.servers_over_limit() && self.evict_idle_connection() {}
    }

    /// Closes a kept connection that is idle, of whichever service; false where there is none.
    pub fn evict_idle_connection(&self) -> bool {
        self.fleet(Fleet::evict) || self.process.others(self).iter().any(|g| g.fleet(Fleet::evict))
    }

    /// Closes a kept connection to the same server that another service keeps; false where there is none.
    pub fn evict_from_other_services(&self, server: Endpoint) -> bool {
        let Some(host) = self.fleet(|f| f.host_of(server).map(str::to_owned)) else { return false };
        self.process.others(self).iter().any(|g| g.fleet(|f| f.evict_from(&host)))
    }

    /// This node's part of what is split among all nodes is now this, from 0 to 1.
    pub fn set_quota_share(self: &Rc<Self>, share: f64) {
        let mut state = self.state.borrow_mut();
        self.handle(&mut state, Event::QuotaShare(share));
    }

    /// A plan for the whole fleet has come, or has aged.
    pub fn apply_plan(self: &Rc<Self>, guide: NodePlan) {
        let mut state = self.state.borrow_mut();
        self.handle(&mut state, Event::Plan(guide));
    }

    /// Has this node follow a shift; to be called before the first list comes.
    pub fn set_shift(&self, follower: Follower) {
        self.state.borrow_mut().shift = Some(Box::new(follower));
    }

    /// Runs `f` on the shift, where there is one.
    pub fn shift<T>(&self, f: impl FnOnce(&Follower) -> T) -> Option<T> {
        self.state.borrow().shift.as_deref().map(f)
    }

    /// Looks at the shift's pools and evidence; what has changed by it. `no_planner` says that planners are followed and
    /// none is heard.
    pub fn evaluate_shift(self: &Rc<Self>, no_planner: bool) -> Vec<Change> {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let Some(look) = state.shift.as_mut().map(|s| s.look(now, no_planner)) else { return Vec::new() };
        self.split(&mut state, look)
    }

    /// An operator has spoken on the shift; `None` where there is none.
    pub fn apply_shift_command(self: &Rc<Self>, word: &ShiftWord) -> Option<Result<Vec<Change>, Refused>> {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let look = state.shift.as_mut()?.say(now, word);
        Some(look.map(|look| self.split(&mut state, look)))
    }

    fn split(self: &Rc<Self>, state: &mut State, look: Look) -> Vec<Change> {
        if let Some(split) = look.split {
            self.handle(state, Event::Split(split));
        }
        look.changes
    }

    /// What the module has met of each server, by name.
    pub fn observed_servers(&self) -> Vec<(String, ServerObservation)> {
        let state = self.state.borrow();
        let named = |o: ServerObservation| Some((state.fleet.host_of(o.server)?.to_owned(), o));
        state.balancer.observations(self.clock.now()).filter_map(named).collect()
    }

    /// What this process has learnt, for one that takes over from it.
    pub fn export_learned(&self) -> LearnedState {
        self.state.borrow().balancer.learned_state(self.clock.now())
    }

    /// Takes over what another process of this node has learnt.
    pub fn import_learned(self: &Rc<Self>, learnt: LearnedState) {
        let mut state = self.state.borrow_mut();
        self.handle(&mut state, Event::TakeOver(learnt));
    }

    /// Requests a second that were let in lately, by class and by tenant.
    pub fn admission_rates(&self) -> [Vec<f64>; 2] {
        self.state.borrow().balancer.admitted_rates(self.clock.now())
    }

    /// Waits for timers and tells the module of them, for good.
    pub async fn run_timers(self: Rc<Self>) {
        self.timers_until(|_| false).await;
    }

    /// The same until nothing is under way: the gateway gets nothing new.
    pub async fn run_timers_until_idle(self: Rc<Self>) {
        self.timers_until(|state| state.live.is_empty() && state.lingering.is_empty()).await;
    }

    async fn timers_until(self: &Rc<Self>, over: impl Fn(&State) -> bool) {
        loop {
            let next = {
                let mut state = self.state.borrow_mut();
                let next = state.timers.peek().map_or(Nanos::MAX, |Reverse((at, _))| *at);
                let linger = state.lingering.front().map_or(Nanos::MAX, |(at, _)| *at);
                state.armed = next.min(linger);
                if over(&state) {
                    return;
                }
                state.armed
            };
            // What came while the process was held up is read before anybody is told that it did not come.
            let sleep = running::sleep_until(self.clock.instant(next.min(self.clock.now() + REST)));
            tokio::select! {
                _ = sleep => {}
                _ = self.timer.notified() => {}
            }
            self.fire();
        }
    }

    fn fire(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        while let Some(&Reverse((at, wake))) = state.timers.peek() {
            if at > self.clock.now() {
                break;
            }
            state.timers.pop();
            match wake {
                Wake::Module(token) => self.handle(&mut state, Event::Timer { token }),
                Wake::Deadline(id) => self.deadline(&mut state, id),
                Wake::AttemptTimeout(request, number) => {
                    self.conclude(&mut state, AttemptId { request, number }, AttemptOutcome::TimedOut);
                }
            }
        }
        while let Some((at, _)) = state.lingering.front() {
            if *at > self.clock.now() {
                break;
            }
            if let Some((_, task)) = state.lingering.pop_front() {
                task.abort();
            }
        }
    }

    /// The client waits no longer: all that is out has timed out.
    fn deadline(self: &Rc<Self>, state: &mut State, request: RequestId) {
        // One whose last byte has come late has its time counted anew.
        let Some(live) = state.live.get(&request).filter(|l| l.give_up_at <= self.clock.now()) else {
            return;
        };
        for number in 0..live.attempts.len() as u8 {
            self.conclude(state, AttemptId { request, number }, AttemptOutcome::TimedOut);
        }
        // The module answers the last time-out. Should it not, or should it count on more time than this process has, the
        // client still must hear something, and what it sends again has no use.
        if self.answer(state, request, LocalReply::Failed { late: true }) {
            self.withdraw(state, request);
            self.handle(state, Event::ClientDisconnected { request });
        }
        self.forget(state, request);
    }

    /// Tells the module how an attempt ended, once.
    fn conclude(self: &Rc<Self>, state: &mut State, id: AttemptId, ending: AttemptOutcome) {
        let Some(live) = state.live.get_mut(&id.request) else { return };
        let Some(attempt) = live.attempts.get_mut(usize::from(id.number)).filter(|a| a.open) else { return };
        attempt.open = false;
        attempt.ending = Some(ending);
        let took = self.clock.now().saturating_sub(attempt.sent_at);
        if let Some(shift) = &mut state.shift {
            let at = (attempt.server, usize::from(id.number));
            shift.ended(&live.request, at, (attempt.sent_at, took), ending);
        }
        let event = Event::AttemptEnded {
            request: id.request,
            server: attempt.server,
            attempt: id.number,
            finished: !live.owed,
            took,
            outcome: ending,
            report: None,
        };
        if matches!(ending, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotSent) {
            if let Some(task) = attempt.task.take() {
                // Cut off before its last byte it never begins; after that the server does the work anyway.
                if attempt.fully_sent() {
                    let at = self.clock.now() + LINGER;
                    state.lingering.push_back((at, task));
                    if at < state.armed {
                        state.armed = at;
                        self.timer.notify_one();
                    }
                } else {
                    task.abort();
                }
            }
        }
        self.handle(state, event);
        self.forget(state, id.request);
    }

    /// Drops a request that is answered and has no attempt out.
    fn forget(&self, state: &mut State, request: RequestId) {
        let over = |l: &Live| !l.owed && l.attempts.iter().all(|a| !a.open);
        if state.live.get(&request).is_some_and(over) {
            state.live.remove(&request);
        }
    }

    fn handle(self: &Rc<Self>, state: &mut State, event: Event) {
        let mut actions = Vec::new();
        state.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(state, action);
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(state, request, server, timeout),
            Action::Refuse { request, retry_after } => {
                let end = match self.may_refuse(state, request) {
                    Ok(()) => LocalReply::Refused { retry_after },
                    Err(_) => LocalReply::Failed { late: false },
                };
                self.answer(state, request, end);
                self.forget(state, request);
            }
            Action::Fail { request } => {
                let late = |l: &Live| l.give_up_at <= self.clock.now();
                let late = state.live.get(&request).is_some_and(late);
                self.answer(state, request, LocalReply::Failed { late });
                self.forget(state, request);
            }
            Action::Cancel { request, attempt } => {
                self.conclude(state, AttemptId { request, number: attempt }, AttemptOutcome::Cancelled);
            }
            Action::StartTimer { after, token } => {
                let at = self.clock.now().saturating_add(after);
                self.start_timer(state, at, Wake::Module(token));
            }
            // A closed channel means that the node is on its way out.
            Action::Subscribe => drop(self.list_requests.send(ListRequest::Subscribe)),
            Action::FetchList => drop(self.list_requests.send(ListRequest::Fetch)),
            Action::Log { text } => tracing::info!("{text}"),
            // The config allows neither, and the module asks for neither.
            Action::Probe { .. } | Action::SendToPeer { .. } => {}
        }
    }

    fn send(self: &Rc<Self>, state: &mut State, request: RequestId, server: Endpoint, timeout: Nanos) {
        let locality = state.fleet.locality(server);
        let Some(live) = state.live.get_mut(&request) else { return };
        let id = AttemptId { request, number: live.attempts.len() as u8 };
        let (sent_at, handed) = (self.clock.now(), Handed::default());
        let mut sent =
            Sent { server, sent_at, open: true, ending: None, locality, handed: handed.clone(), task: None };
        let decided = self.may_send(live, locality);
        match decided {
            Err(denied) => self.denied(denied, live.label),
            Ok(()) if id.number == 0 => events::record(sent_at, Kind::AttemptBegun, live.label),
            Ok(()) => events::record(sent_at, Kind::AttemptRepeated, live.label),
        }
        let wanted = decided.is_ok();
        if wanted {
            if let Some(shift) = &mut state.shift {
                shift.sent(&live.request, server, live.attempts.len());
            }
            let (give_up_at, send_by) = (live.give_up_at, self.send_by(live));
            let attempt = Attempt {
                gateway: self.clone(),
                id,
                server,
                give_up_at,
                send_by,
                handed,
                exchange: live.exchange.clone(),
                came_at: live.came_at,
                label: live.label,
            };
            sent.task = Some(live.exchange.clone().start_attempt(attempt));
        }
        live.attempts.push(sent);
        if !wanted {
            self.conclude(state, id, AttemptOutcome::NotSent);
        } else if timeout > 0 {
            let at = self.clock.now().saturating_add(timeout);
            self.start_timer(state, at, Wake::AttemptTimeout(request, id.number));
        }
    }

    /// Gives the final answer, unless one was given.
    fn answer(&self, state: &mut State, request: RequestId, end: LocalReply) -> bool {
        let Some(live) = state.live.get_mut(&request) else { return false };
        let owed = std::mem::replace(&mut live.owed, false);
        if owed {
            let kind = match end {
                LocalReply::Refused { .. } => Kind::Refused,
                LocalReply::Failed { late: true } => Kind::FailedLate,
                LocalReply::Failed { late: false } => Kind::Failed,
            };
            events::record(self.clock.now(), kind, live.label);
            live.exchange.send_local_reply(end);
        }
        owed
    }

    fn start_timer(&self, state: &mut State, at: Nanos, wake: Wake) {
        state.timers.push(Reverse((at, wake)));
        if at < state.armed {
            state.armed = at;
            self.timer.notify_one();
        }
    }

    /// Closes one connection whose attempt is long told of, to make room; false where there is none.
    pub fn abort_lingering(&self) -> bool {
        let stop = |g: &Self| {
            let oldest = g.state.borrow_mut().lingering.pop_front();
            oldest.inspect(|(_, task)| task.abort()).is_some()
        };
        stop(self) || self.process.others(self).iter().any(|g| stop(g))
    }
}

/// The list in the shift's words. The fleet gives the servers back in the order of their entries.
fn relist(shift: &mut Follower, whole: bool, entries: &[ServerEntry], servers: &[Server]) {
    let nothing = ServerAttributes::default();
    let zones = shift.course.settings.zones.clone();
    let told = entries.iter().zip(servers).map(|(entry, server)| {
        let said = entry.attributes.as_deref().unwrap_or(&nothing);
        let address = entry.addresses.iter().flatten().next().map(|a| a.ip());
        let zone = zones.get(usize::from(server.zone)).map_or("", String::as_str);
        let facts = Facts {
            id: &entry.host,
            zone,
            kind: &said.kind,
            version: &said.version,
            address,
            metadata: &said.metadata,
        };
        Told { facts, server: *server }
    });
    shift.list(whole, told);
}
