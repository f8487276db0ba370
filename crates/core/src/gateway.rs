//! Connects the sockets to the decision module: translates what happens into events, and carries out the module's
//! actions in order. The gateway owns the balancer, the requests in flight and all timers.
//!
//! Everything runs on one thread. The state is borrowed only inside the methods here, never across an await.

use crate::budget::Budget;
use crate::call::{Call, Exchange, LocalReply};
use crate::clock::Clock;
use crate::dispatch::{Locality, PriorAttempt};
use crate::events::{self, AttemptDetails, Kind, Label};
use crate::fleet::Fleet;
use crate::name_index::NameIndex;
use crate::process::ProcessState;
use crate::request_ids::{ClaimError, RequestIdClaim};
use laurelroute_policy::interface::{
    Action, AttemptOutcome, Endpoint, Event, LearnedState, Nanos, NodePlan, Request, RequestId,
    ServerObservation, Settings, SettingsError,
};
use laurelroute_policy::Balancer;
use laurelroute_shift::controller::ShiftController;
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
mod servers;
mod shift;
mod timers;

pub use attempt::Attempt;
use carrier::Carrier;
use lingering::{LingeringAttempts, LINGER_TIME};
pub use pending_request::{PendingRequest, RequestDeadline};
pub use servers::ServerControlError;
use timers::Timer;

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
    id_claim: Option<RequestIdClaim>,
    arrived_at: Nanos,
    request: Request,
    give_up_at: Nanos,
    /// When the next deadline timer runs, which may be before the deadline if that was moved.
    deadline_timer_at: Nanos,
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
            self.start_deadline_timer(&mut state, id);
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

    /// Claims a client's request id, given as a hash, for a request with this deadline.
    pub fn claim_request_id(
        &self,
        id: u64,
        give_up_at: Nanos,
        label: Label,
    ) -> Result<RequestIdClaim, ClaimError> {
        let until = give_up_at.max(self.attempts_over_by());
        self.process.request_ids.claim(self.clock, id, until).inspect_err(|error| {
            let kind = match error {
                ClaimError::InUse => Kind::DuplicateId,
                ClaimError::Unrecorded => Kind::IdUnrecorded,
            };
            events::record(self.clock.now(), kind, label);
        })
    }

    /// When no attempt that is sent now can still be running, whatever deadline its client has given.
    fn attempts_over_by(&self) -> Nanos {
        let longest = self.config.settings.longest_client_timeout();
        self.clock.now().saturating_add(longest).saturating_add(LINGER_TIME)
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
                id_claim: call.id_claim,
                arrived_at: self.clock.now(),
                request,
                give_up_at,
                deadline_timer_at: Nanos::MAX,
                awaiting_response: true,
                attempts: Vec::new(),
            },
        );
        self.start_deadline_timer(&mut state, id);
        self.handle(&mut state, Event::Request(request));
        PendingRequest { gateway: self.clone(), id }
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
            if let Some(claim) = &entry.id_claim {
                claim.keep_until(self.attempts_over_by());
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
}
