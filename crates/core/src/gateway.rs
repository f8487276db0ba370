//! Connects the sockets to the decision module: translates what happens into events, and carries out the module's
//! actions in order. The gateway owns the balancer, the requests in flight and all timers.
//!
//! Everything runs on one thread. The state is borrowed only inside the methods here, never across an await.

use crate::budget::Budget;
use crate::call::{Call, Exchange, LocalReply};
use crate::clock::Clock;
use crate::dispatch::{Locality, PriorAttempt};
use crate::events::{self, AttemptDetails, Kind, Label};
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
use laurelroute_shift::controller::{Evaluation, ListedServer, ShiftController};
use laurelroute_shift::pool::ServerLabels;
use laurelroute_shift::rollout::{Change, Command as ShiftCommand, CommandError};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};
use tokio::task::AbortHandle;

mod attempt;
mod carrier;
mod ending;
mod lingering;
mod pending_request;
mod permits;

pub use attempt::Attempt;
use carrier::Carrier;
use lingering::{LingeringAttempts, LINGER_TIME};
pub use pending_request::PendingRequest;

/// How often an idle gateway checks its timers. A process may have hundreds of idle gateways.
const IDLE_TIMER_INTERVAL: Nanos = 600_000_000_000;

/// A pooled connection is reused only within this fraction of the server's idle timeout.
const IDLE_REUSE_FRACTION: f64 = 0.6;

/// A client's connection is checked when its request arrives; an attempt that begins within this time does not check
/// again.
const CLIENT_CHECK_TTL: Nanos = 5_000_000;

/// Configuration of the gateway, apart from its servers.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of descriptors of the process.
    pub max_descriptors: usize,
    /// The descriptors of these that are reserved for neither clients nor servers.
    pub reserved_descriptors: usize,
    /// Memory limit of the process, in MiB.
    pub memory_mb: u64,
    /// Idle timeout of the servers: a server may close a connection that has been idle for this long.
    pub server_idle_timeout: Nanos,
    /// Timeout for opening a connection to a server.
    pub connect_timeout: Nanos,
    /// Maximum number of connections from this node to one server, over all protocols; `None` for no limit.
    pub max_connections_per_server: Option<u32>,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: NameIndex,
}

impl GatewayConfig {
    /// A tenant's index in the settings; `u32::MAX` for a tenant that they do not name, which has no quota to exceed.
    pub fn tenant_index(&self, name: Option<&[u8]>) -> u32 {
        name.and_then(|name| self.tenants.find(name)).unwrap_or(u32::MAX)
    }

    /// The value of `retry-after` in seconds, if there is one and the settings allow it.
    pub fn retry_after_seconds(&self, retry_after: Nanos) -> Option<f64> {
        let allowed = self.settings.retry_after && retry_after > 0;
        allowed.then(|| retry_after.min(self.settings.max_retry_after) as f64 / 1e9)
    }
}

/// Converts a route key for the decision module: its value if it is a hexadecimal number, otherwise its hash.
pub fn route_key(text: &[u8]) -> u64 {
    let hex = std::str::from_utf8(text).ok().and_then(|t| u64::from_str_radix(t, 16).ok());
    hex.unwrap_or_else(|| crate::stable_hash(text))
}

/// Why a server could not be detached or attached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ServerControlError {
    /// There is no server of this name.
    #[error("no server has this name")]
    Unknown,
    /// The ban list is full.
    #[error("{0}")]
    Bans(#[from] BanError),
}

#[derive(Clone, Copy, Debug)]
struct AttemptId {
    request: RequestId,
    number: u8,
}

struct SentAttempt {
    server: Endpoint,
    sent_at: Nanos,
    open: bool,
    /// How the attempt ended, once it has.
    ending: Option<AttemptOutcome>,
    locality: Option<Locality>,
    /// Its connection, while it has one.
    carrier: Carrier,
    task: Option<AbortHandle>,
}

struct RequestState {
    exchange: Rc<dyn Exchange>,
    label: Label,
    arrived_at: Nanos,
    request: Request,
    give_up_at: Nanos,
    /// Whether the client still waits for its final response.
    awaiting_response: bool,
    attempts: Vec<SentAttempt>,
}

impl RequestState {
    fn earlier(&self) -> impl Iterator<Item = PriorAttempt> + Clone + '_ {
        self.attempts.iter().map(|a| PriorAttempt {
            locality: a.locality,
            ending: a.ending,
            sent_at: a.sent_at,
            connection_open: a.carrier.is_open(),
        })
    }

    /// Whether a further attempt may still be sent.
    fn may_be_sent_again(&self, now: Nanos) -> bool {
        self.awaiting_response && now < self.give_up_at
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(u32),
    Deadline(RequestId),
    AttemptTimeout(RequestId, u8),
}

struct State {
    balancer: Balancer,
    fleet: Fleet,
    /// Requests in flight. Bounded by the client connections: each carries one request, whose entry stays until its
    /// attempts have ended, at the latest at its deadline.
    in_flight: HashMap<RequestId, RequestState>,
    /// Timers by time. Bounded by the request rate times the longest deadline: an entry stays until it is due.
    timers: BinaryHeap<Reverse<(Nanos, Timer)>>,
    /// The time until which the timer task sleeps.
    armed: Nanos,
    lingering: LingeringAttempts,
    next_id: RequestId,
    ids: Ids,
    /// The shift of traffic from one pool of servers to another, if the operator's file configures one.
    shift: Option<Box<ShiftController>>,
}

/// A request to the discovery task, if discovery has to be asked for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// Subscribe to the list.
    Subscribe,
    /// Fetch the complete list once.
    Fetch,
}

/// Connects the protocol fronts and the servers to the decision module.
pub struct Gateway {
    /// The configuration.
    pub config: Rc<GatewayConfig>,
    /// The node's clock.
    pub clock: Clock,
    /// The resource limits of the process.
    pub budget: Rc<Budget>,
    /// The state shared with the gateways of other services, if there are any.
    pub process: Rc<ProcessState>,
    /// Whether a server list has been received, so that clients can be served.
    pub ready: Cell<bool>,
    became_ready: Notify,
    /// Requests to the discovery task. Bounded by the decision module, which sends the next one only after a reply.
    pub list_requests: mpsc::UnboundedSender<ListRequest>,
    state: RefCell<State>,
    /// Wakes the timer task when an earlier timer was added.
    timer: Notify,
}

impl Gateway {
    /// A gateway without servers and requests.
    pub fn new(
        config: GatewayConfig,
        list_requests: mpsc::UnboundedSender<ListRequest>,
    ) -> Result<Rc<Self>, SettingsError> {
        let budget = Budget::new(config.max_descriptors, config.memory_mb, config.reserved_descriptors);
        let (fleet, seed) = (Fleet::with_max_connections(config.max_connections_per_server), config.seed);
        let settings = config.settings.clone();
        Self::build(
            Rc::new(config),
            (settings, seed),
            fleet,
            list_requests,
            (budget, Clock::start(), Rc::default()),
        )
    }

    /// A gateway for a service of the same process: it starts without servers, and the operators' bans and drains apply
    /// to it.
    pub fn for_service(self: &Rc<Self>, service: &str) -> Result<Rc<Self>, SettingsError> {
        let seed = self.config.seed ^ crate::stable_hash(service.as_bytes());
        let shared = (self.budget.clone(), self.clock, self.process.clone());
        let mut fleet = self.fleet(|f| f.with_same_settings());
        fleet.share_connection_counts(self.process.clone());
        let settings = self.process.service_settings(&self.config.settings);
        let gateway =
            Self::build(self.config.clone(), (settings, seed), fleet, self.list_requests.clone(), shared)?;
        gateway.ready.set(true);
        self.process.add(&gateway);
        Ok(gateway)
    }

    /// Prepares for further gateways in this process: from now on the connections to a server count for all of them.
    pub fn enable_services(self: &Rc<Self>) {
        self.fleet(|f| f.share_connection_counts(self.process.clone()));
        self.process.add(self);
    }

    fn build(
        config: Rc<GatewayConfig>,
        (settings, seed): (Settings, u64),
        fleet: Fleet,
        list_requests: mpsc::UnboundedSender<ListRequest>,
        (budget, clock, process): (Rc<Budget>, Clock, Rc<ProcessState>),
    ) -> Result<Rc<Self>, SettingsError> {
        let state = State {
            balancer: Balancer::new(settings, seed)?,
            fleet,
            in_flight: HashMap::new(),
            timers: BinaryHeap::new(),
            armed: Nanos::MAX,
            lingering: LingeringAttempts::default(),
            next_id: 0,
            ids: Ids::default(),
            shift: None,
        };
        Ok(Rc::new(Gateway {
            budget,
            clock,
            process,
            ready: Cell::new(false),
            became_ready: Notify::new(),
            list_requests,
            state: RefCell::new(state),
            timer: Notify::new(),
            config,
        }))
    }

    /// Limits the deadlines of all requests to this time: the process exits soon after, and a connection that it closes
    /// on exit would not deliver a final response.
    pub fn set_shutdown_deadline(self: &Rc<Self>, at: Nanos) {
        self.process.ends_at.set(Some(at));
        self.cap_deadlines(at);
        self.process.others(self).iter().for_each(|g| g.cap_deadlines(at));
    }

    fn cap_deadlines(self: &Rc<Self>, at: Nanos) {
        let mut state = self.state.borrow_mut();
        let later: Vec<_> =
            state.in_flight.iter().filter(|(_, l)| l.give_up_at > at).map(|(id, _)| *id).collect();
        for id in later {
            if let Some(entry) = state.in_flight.get_mut(&id) {
                entry.give_up_at = at;
            }
            self.start_timer(&mut state, at, Timer::Deadline(id));
        }
    }

    /// The time by which every request has its final response.
    fn ends_at(&self) -> Nanos {
        self.process.ends_at.get().unwrap_or(Nanos::MAX)
    }

    /// Whether the process is shutting down (SIGTERM): no further requests are taken on persistent connections.
    pub fn is_draining(&self) -> bool {
        self.process.draining.get()
    }

    /// Marks the gateway as ready: it has a server list.
    pub fn set_ready(&self) {
        self.ready.set(true);
        self.became_ready.notify_waiters();
    }

    /// Waits until the gateway has a server list.
    pub async fn wait_ready(&self) {
        loop {
            let ready = self.became_ready.notified();
            if self.ready.get() {
                return;
            }
            ready.await;
        }
    }

    /// Runs `f` on the fleet.
    pub fn fleet<T>(&self, f: impl FnOnce(&mut Fleet) -> T) -> T {
        f(&mut self.state.borrow_mut().fleet)
    }

    /// Connections to servers that have been idle since before this time are not reused.
    pub fn idle_cutoff(&self) -> Nanos {
        let limit = (self.config.server_idle_timeout as f64 * IDLE_REUSE_FRACTION) as Nanos;
        self.clock.now().saturating_sub(limit)
    }

    /// Time for which this process has been running, for timeouts on clients ([`crate::running`]).
    pub fn running_time(&self) -> Nanos {
        self.process.running.at(self.clock.now())
    }

    /// Advances the running time; to be called every [`crate::peer::PEER_CHECK_INTERVAL`].
    pub fn tick_running_time(&self) {
        self.process.running.tick(self.clock.now());
    }

    /// Closes idle connections to servers that are too old or were closed by their servers.
    pub fn sweep_idle_connections(&self) {
        let oldest = self.idle_cutoff();
        self.fleet(|f| f.sweep(oldest));
    }

    /// Reserves a client's request id, given as a hash, for a request with this deadline; returns false if it is in
    /// use.
    pub fn claim_request_id(&self, id: u64, give_up_at: Nanos) -> bool {
        let until = give_up_at.saturating_add(LINGER_TIME);
        self.state.borrow_mut().ids.claim(self.clock.now(), id, until)
    }

    /// Submits a request; its exchange receives the final response. Dropping the returned value before that reports
    /// that the client has disconnected.
    pub fn submit(self: &Rc<Self>, call: Call, exchange: Rc<dyn Exchange>) -> PendingRequest {
        let mut state = self.state.borrow_mut();
        let id = state.next_id;
        state.next_id = id.wrapping_add(1);
        let give_up_at = call.give_up_at.min(self.ends_at());
        let mut request = Request { id, deadline: give_up_at, ..call.request };
        if let Some(shift) = &mut state.shift {
            request.split_position = shift.split_position(&request);
            shift.request_received(&request);
        }
        state.in_flight.insert(
            id,
            RequestState {
                exchange,
                label: call.label,
                arrived_at: self.clock.now(),
                request,
                give_up_at,
                awaiting_response: true,
                attempts: Vec::new(),
            },
        );
        self.start_timer(&mut state, give_up_at, Timer::Deadline(id));
        self.handle(&mut state, Event::Request(request));
        PendingRequest { gateway: self.clone(), id }
    }

    /// Applies a server list or changes to it. The fleet is updated before the decision module, whose actions must find
    /// the servers there.
    pub fn update_servers(self: &Rc<Self>, kind: ListKind, entries: Vec<ServerEntry>) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let shift_entries = state.shift.is_some().then(|| entries.clone());
        state.fleet.set_wall_clock_offset(self.clock.wall().wrapping_sub(now) as i64);
        let servers = state.fleet.update(now, kind, entries);
        if let (Some(shift), Some(entries)) = (&mut state.shift, shift_entries) {
            update_shift_servers(shift, kind != ListKind::Changes, &entries, &servers);
        }
        self.report_servers(&mut state, kind, servers);
    }

    /// Records a contact with discovery that brought no changes.
    pub fn record_discovery_contact(&self) {
        let now = self.clock.now();
        self.fleet(|f| f.record_discovery_contact(now));
    }

    fn report_servers(self: &Rc<Self>, state: &mut State, kind: ListKind, servers: Vec<Server>) {
        if let Some(shift) = &mut state.shift {
            shift.update_servers(&servers);
        }
        self.handle(state, Event::List { kind, servers });
        if let Some(split) = state.shift.as_mut().and_then(|s| s.split_after_list_update()) {
            self.handle(state, Event::Split(split));
        }
        for server in state.fleet.take_restored() {
            self.handle(state, Event::Reinstated { server });
        }
    }

    /// Takes a server out of use, whatever the list says; returns the record to send to other processes, if this is a
    /// change.
    pub fn detach(self: &Rc<Self>, host: &str) -> Result<Option<BanRecord>, ServerControlError> {
        self.control_server(host, |bans, now| bans.detach(host, now))
    }

    /// Puts a detached server back into use; does nothing for a server that was not detached.
    pub fn attach(self: &Rc<Self>, host: &str) -> Result<Option<BanRecord>, ServerControlError> {
        self.control_server(host, |bans, now| Ok(bans.attach(host, now)))
    }

    /// Applies an operator's command on a server, if the server is known.
    fn control_server(
        self: &Rc<Self>,
        host: &str,
        command: impl FnOnce(&mut Bans, Nanos) -> Result<Option<BanRecord>, BanError>,
    ) -> Result<Option<BanRecord>, ServerControlError> {
        let others = self.process.others(self);
        let known = |g: &Rc<Self>| g.fleet(|f| f.is_listed(host) || f.bans.is_banned(host));
        if !known(self) && !others.iter().any(known) {
            return Err(ServerControlError::Unknown);
        }
        let record = self.fleet(|f| command(&mut f.bans, self.clock.now()))?;
        self.reapply_bans_and_drains(&[host.to_owned()]);
        // An operator's command applies to the server in all its services.
        others.iter().for_each(|g| g.merge_ban_records(record.iter().cloned().collect()));
        Ok(record)
    }

    /// Applies the fleet's decision on a server, which overrides local commands.
    pub fn apply_fleet_ban(self: &Rc<Self>, host: &str, banned: bool) {
        let now = self.clock.now();
        let record = self.fleet(|f| match banned {
            true => f.bans.detach(host, now).ok().flatten(),
            false => f.bans.attach(host, now),
        });
        if let Some(record) = record {
            self.reapply_bans_and_drains(&[host.to_owned()]);
            self.process.others(self).iter().for_each(|g| g.merge_ban_records(vec![record.clone()]));
        }
    }

    /// Sets whether other nodes report a server as draining, which may be ahead of the list here.
    pub fn apply_fleet_drain(self: &Rc<Self>, host: &str, draining: bool) {
        if self.fleet(|f| f.set_drained(host, draining)) {
            self.reapply_bans_and_drains(&[host.to_owned()]);
            for other in self.process.others(self) {
                other.fleet(|f| f.set_drained(host, draining));
                other.reapply_bans_and_drains(&[host.to_owned()]);
            }
        }
    }

    /// Merges ban records from another process of this node.
    pub fn merge_bans(self: &Rc<Self>, records: Vec<BanRecord>) {
        self.process.others(self).iter().for_each(|g| g.merge_ban_records(records.clone()));
        self.merge_ban_records(records);
    }

    fn merge_ban_records(self: &Rc<Self>, records: Vec<BanRecord>) {
        let now = self.clock.now();
        let changed = self.fleet(|f| f.bans.merge_received(records, now));
        // Known records are received again with each call, mostly without changes, which need no update.
        if !changed.is_empty() {
            self.reapply_bans_and_drains(&changed);
        }
    }

    fn reapply_bans_and_drains(self: &Rc<Self>, hosts: &[String]) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let slow_start_over = now.saturating_sub(2 * self.config.settings.ramp);
        state.fleet.bans.forget_restored_before(slow_start_over);
        let servers = state.fleet.reapply(now, hosts);
        self.report_servers(&mut state, ListKind::Changes, servers);
    }

    /// Sets the maximum number of descriptors of this process.
    pub fn set_descriptor_limit(&self, descriptors: usize) {
        self.budget.resize(descriptors);
        while self.budget.servers_over_limit() && self.evict_idle_connection() {}
    }

    /// Closes an idle connection to a server, of any service; returns false if there is none.
    pub fn evict_idle_connection(&self) -> bool {
        self.fleet(Fleet::evict) || self.process.others(self).iter().any(|g| g.fleet(Fleet::evict))
    }

    /// Closes an idle connection that another service has to the same server; returns false if there is none.
    pub fn evict_from_other_services(&self, server: Endpoint) -> bool {
        let Some(host) = self.fleet(|f| f.host_of(server).map(str::to_owned)) else { return false };
        self.process.others(self).iter().any(|g| g.fleet(|f| f.evict_from(&host)))
    }

    /// Sets this node's share, from 0 to 1, of the quotas that all nodes share.
    pub fn set_quota_share(self: &Rc<Self>, share: f64) {
        let mut state = self.state.borrow_mut();
        self.handle(&mut state, Event::QuotaShare(share));
    }

    /// Applies a plan for the fleet: a new one, or the current one as it ages.
    pub fn apply_plan(self: &Rc<Self>, plan: NodePlan) {
        let mut state = self.state.borrow_mut();
        self.handle(&mut state, Event::Plan(plan));
    }

    /// Sets the shift that this node follows; to be called before the first server list is applied.
    pub fn set_shift(&self, controller: ShiftController) {
        self.state.borrow_mut().shift = Some(Box::new(controller));
    }

    /// Runs `f` on the shift, if there is one.
    pub fn shift<T>(&self, f: impl FnOnce(&ShiftController) -> T) -> Option<T> {
        self.state.borrow().shift.as_deref().map(f)
    }

    /// Evaluates the shift's pools and evidence, and returns the resulting changes. `no_planner` means that planners
    /// are configured and none is reachable.
    pub fn evaluate_shift(self: &Rc<Self>, no_planner: bool) -> Vec<Change> {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let Some(evaluation) = state.shift.as_mut().map(|s| s.evaluate(now, no_planner)) else {
            return Vec::new();
        };
        self.apply_split(&mut state, evaluation)
    }

    /// Applies an operator's command to the shift; `None` if there is no shift.
    pub fn apply_shift_command(
        self: &Rc<Self>,
        command: &ShiftCommand,
    ) -> Option<Result<Vec<Change>, CommandError>> {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let evaluation = state.shift.as_mut()?.apply_command(now, command);
        Some(evaluation.map(|evaluation| self.apply_split(&mut state, evaluation)))
    }

    fn apply_split(self: &Rc<Self>, state: &mut State, evaluation: Evaluation) -> Vec<Change> {
        if let Some(split) = evaluation.split {
            self.handle(state, Event::Split(split));
        }
        evaluation.changes
    }

    /// The decision module's observations of each server, by server name.
    pub fn observed_servers(&self) -> Vec<(String, ServerObservation)> {
        let state = self.state.borrow();
        let named = |o: ServerObservation| Some((state.fleet.host_of(o.server)?.to_owned(), o));
        state.balancer.observations(self.clock.now()).filter_map(named).collect()
    }

    /// Exports the learned state, for a process that takes over from this one.
    pub fn export_learned(&self) -> LearnedState {
        self.state.borrow().balancer.learned_state(self.clock.now())
    }

    /// Imports the learned state of another process of this node.
    pub fn import_learned(self: &Rc<Self>, learned: LearnedState) {
        let mut state = self.state.borrow_mut();
        self.handle(&mut state, Event::TakeOver(learned));
    }

    /// Recent rates of admitted requests per second, by class and by tenant.
    pub fn admission_rates(&self) -> [Vec<f64>; 2] {
        self.state.borrow().balancer.admitted_rates(self.clock.now())
    }

    /// Runs the timers; never returns.
    pub async fn run_timers(self: Rc<Self>) {
        self.run_timers_while_not(|_| false).await;
    }

    /// Runs the timers until no request or attempt is left; for a gateway that gets no new requests.
    pub async fn run_timers_until_idle(self: Rc<Self>) {
        self.run_timers_while_not(|state| state.in_flight.is_empty() && state.lingering.is_empty()).await;
    }

    async fn run_timers_while_not(self: &Rc<Self>, done: impl Fn(&State) -> bool) {
        loop {
            let next = {
                let mut state = self.state.borrow_mut();
                let next = state.timers.peek().map_or(Nanos::MAX, |Reverse((at, _))| *at);
                state.armed = next.min(state.lingering.next_end());
                if done(&state) {
                    return;
                }
                state.armed
            };
            // Data that arrived while the process was stalled is read before any timeout is reported.
            let sleep =
                running::sleep_until(self.clock.instant(next.min(self.clock.now() + IDLE_TIMER_INTERVAL)));
            tokio::select! {
                _ = sleep => {}
                _ = self.timer.notified() => {}
            }
            self.run_due_timers();
        }
    }

    fn run_due_timers(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        while let Some(&Reverse((at, timer))) = state.timers.peek() {
            if at > self.clock.now() {
                break;
            }
            state.timers.pop();
            match timer {
                Timer::Module(token) => self.handle(&mut state, Event::Timer { token }),
                Timer::Deadline(id) => self.deadline(&mut state, id),
                Timer::AttemptTimeout(request, number) => {
                    self.conclude(&mut state, AttemptId { request, number }, AttemptOutcome::TimedOut);
                }
            }
        }
        state.lingering.end_due(self.clock.now());
    }

    fn handle(self: &Rc<Self>, state: &mut State, event: Event) {
        let mut actions = Vec::new();
        state.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(state, action);
        }
    }

    fn execute(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(state, request, server, timeout),
            Action::Refuse { request, retry_after } => {
                let end = match self.may_refuse(state, request) {
                    Ok(()) => LocalReply::Refused { retry_after },
                    Err(_) => LocalReply::Failed { late: false },
                };
                self.reply(state, request, end);
                self.forget(state, request);
            }
            Action::Fail { request } => {
                let late = |l: &RequestState| l.give_up_at <= self.clock.now();
                let late = state.in_flight.get(&request).is_some_and(late);
                self.reply(state, request, LocalReply::Failed { late });
                self.forget(state, request);
            }
            Action::Cancel { request, attempt } => {
                self.conclude(state, AttemptId { request, number: attempt }, AttemptOutcome::Cancelled);
            }
            Action::StartTimer { after, token } => {
                let at = self.clock.now().saturating_add(after);
                self.start_timer(state, at, Timer::Module(token));
            }
            // A closed channel means that the node is shutting down.
            Action::Subscribe => drop(self.list_requests.send(ListRequest::Subscribe)),
            Action::FetchList => drop(self.list_requests.send(ListRequest::Fetch)),
            Action::Log { text } => tracing::info!("{text}"),
            // The configuration allows neither, and the module requests neither.
            Action::Probe { .. } | Action::SendToPeer { .. } => {}
        }
    }

    fn send(self: &Rc<Self>, state: &mut State, request: RequestId, server: Endpoint, timeout: Nanos) {
        let locality = state.fleet.locality(server);
        let Some(entry) = state.in_flight.get_mut(&request) else { return };
        let id = AttemptId { request, number: entry.attempts.len() as u8 };
        let (sent_at, carrier) = (self.clock.now(), Carrier::default());
        let mut sent = SentAttempt {
            server,
            sent_at,
            open: true,
            ending: None,
            locality,
            carrier: carrier.clone(),
            task: None,
        };
        let decided = self.may_send(entry, locality);
        match decided {
            Err(denied) => self.denied(denied, entry.label),
            Ok(()) if id.number == 0 => events::record(sent_at, Kind::AttemptBegun, entry.label),
            Ok(()) => {
                let server = state.fleet.host_of(server).unwrap_or_default().to_owned();
                let details = AttemptDetails { number: id.number, server, ended: None };
                events::record_attempt(sent_at, Kind::AttemptRepeated, entry.label, details);
            }
        }
        let wanted = decided.is_ok();
        if wanted {
            if let Some(shift) = &mut state.shift {
                shift.attempt_sent(&entry.request, server, entry.attempts.len());
            }
            let (give_up_at, send_by) = (entry.give_up_at, self.send_by(entry));
            let attempt = Attempt {
                gateway: self.clone(),
                id,
                server,
                give_up_at,
                send_by,
                carrier,
                exchange: entry.exchange.clone(),
                arrived_at: entry.arrived_at,
                label: entry.label,
            };
            sent.task = Some(entry.exchange.clone().start_attempt(attempt));
        }
        entry.attempts.push(sent);
        if !wanted {
            self.conclude(state, id, AttemptOutcome::NotSent);
        } else if timeout > 0 {
            let at = self.clock.now().saturating_add(timeout);
            self.start_timer(state, at, Timer::AttemptTimeout(request, id.number));
        }
    }

    /// Sends the final response, unless one was sent; returns whether this did.
    fn reply(&self, state: &mut State, request: RequestId, end: LocalReply) -> bool {
        let Some(entry) = state.in_flight.get_mut(&request) else { return false };
        let awaited = std::mem::replace(&mut entry.awaiting_response, false);
        if awaited {
            let kind = match end {
                LocalReply::Refused { .. } => Kind::Refused,
                LocalReply::Failed { late: true } => Kind::FailedLate,
                LocalReply::Failed { late: false } => Kind::Failed,
            };
            events::record(self.clock.now(), kind, entry.label);
            entry.exchange.send_local_reply(end);
        }
        awaited
    }

    fn start_timer(&self, state: &mut State, at: Nanos, timer: Timer) {
        state.timers.push(Reverse((at, timer)));
        self.wake_timers_by(state, at);
    }

    /// Has the timer task run at this time at the latest.
    fn wake_timers_by(&self, state: &mut State, at: Nanos) {
        if at < state.armed {
            state.armed = at;
            self.timer.notify_one();
        }
    }
}

/// Passes the server list to the shift. `servers` are in the order of their entries.
fn update_shift_servers(
    shift: &mut ShiftController,
    is_full_list: bool,
    entries: &[ServerEntry],
    servers: &[Server],
) {
    let no_attributes = ServerAttributes::default();
    let zones = shift.rollout.settings.zones.clone();
    let listed = entries.iter().zip(servers).map(|(entry, server)| {
        let attributes = entry.attributes.as_deref().unwrap_or(&no_attributes);
        let address = entry.addresses.iter().flatten().next().map(|a| a.ip());
        let zone = zones.get(usize::from(server.zone)).map_or("", String::as_str);
        let labels = ServerLabels {
            id: &entry.host,
            zone,
            kind: &attributes.kind,
            version: &attributes.version,
            address,
            metadata: &attributes.metadata,
        };
        ListedServer { labels, server: *server }
    });
    shift.update_list(is_full_list, listed);
}
