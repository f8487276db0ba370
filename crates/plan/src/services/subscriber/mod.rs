//! The forwarder's side of service subscriptions: holds the services that requests name, as sent by one planner at
//! a time.
//!
//! Held state outlives the connection: losing the planner removes nothing, and the next planner is sent what is
//! held. A planner whose own list is stale yields to the next one; where the lists of all are stale, the latest is
//! used on. Services in use are never dropped to make room. Names of services that do not exist have a separate limit,
//! so that they cannot displace services.

mod held_service;
mod messages;
mod planner_choice;

use super::publisher::{FRAMING_BYTES, HEARTBEAT_INTERVAL};
use crate::follower::PlannedServer;
use crate::list_age::ListConfirmation;
use crate::member::{Member, MAX_NAME_BYTES};
use crate::services::list_version::{History, ListVersion, VersionDigest};
use crate::wire::{
    Chunk, ClosedServer, RejectReason, RejectedService, ServiceChanges, Subscribe, Update, UpdateAck,
};
use held_service::{HeldService, RemovedServer};
use laurelroute_policy::interface::{Nanos, Phase};
use planner_choice::PlannerChoice;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
/// Maximum number of requested services of which nothing has been received. They do not count as held.
pub const MAX_PENDING_SERVICES: usize = 1_024;
/// Time after which a service of which nothing has been received, and that no request names, is forgotten.
const PENDING_TIMEOUT: Nanos = 10 * S;
/// Maximum number of remembered names of services that do not exist.
pub const MAX_UNKNOWN_SERVICES: usize = 4_096;
/// Granularity of the last use of a service.
const LAST_USE_GRANULARITY: Nanos = S;
/// Time after which a planner with an earlier list than the held state is believed, if its source confirms that
/// list: the source has lost its versions.
const STALE_LIST_TIMEOUT: Nanos = 9 * S;
/// Delay before a service is requested again after an unusable or unbelieved answer.
const RETRY_DELAY: Nanos = 5 * S;
/// Approximate memory per server, in these tables, in the decision module and for its sockets.
const SERVER_BYTES: usize = 1_200;
/// Approximate memory per service beside its servers.
const SERVICE_BYTES: usize = 8_000;

/// Number of list versions that a forwarder remembers. Together with `VERSION_HISTORY_INTERVAL` they cover well over
/// the delay by which planners' lists differ.
pub const MAX_VERSION_HISTORY: usize = 24;
/// Minimum time between two remembered list versions of the same epoch.
const VERSION_HISTORY_INTERVAL: Nanos = 400 * MS;

/// Time without a message after which a planner is considered lost. It is well above the number of heartbeats that
/// a planner misses when a third of all forwarders connect to it at once.
pub const PLANNER_SILENCE_TIMEOUT: Nanos = 6 * HEARTBEAT_INTERVAL;

/// Settings of a [`Subscriber`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this forwarder.
    pub name: String,
    /// Name of the installation.
    pub site: String,
    /// Addresses of the planners; planners are identified by their index here.
    pub planners: Vec<String>,
    /// Maximum number of held services.
    pub max_services: usize,
    /// Approximate maximum memory of the held services, in bytes.
    pub max_bytes: usize,
    /// Time after which a service that no request has named is dropped.
    pub unused_timeout: Nanos,
    /// Time for which it is remembered that a service does not exist.
    pub unknown_ttl: Nanos,
    /// Rate limit for sent messages, in bytes per second.
    pub bytes_per_second: f64,
    /// Bytes that may be sent at once after an idle period.
    pub burst: f64,
    /// Rate limit for received updates, in bytes per second. A new planner is sent the remaining budget.
    pub receive_bytes_per_second: f64,
    /// Bytes that may be received at once after an idle period.
    pub receive_burst: f64,
    /// Seed of the random delays.
    pub seed: u64,
}

/// Status of a service that a request names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceStatus {
    /// Its servers are known; the request can be sent.
    Available,
    /// It has been subscribed to and nothing has been received yet.
    Pending,
    /// The service does not exist.
    Unknown,
    /// There is no room for it: every held service is in use.
    AtCapacity,
}

/// A change that concerns the request path.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Servers of a service that are new, changed or removed, according to their phase.
    Members {
        /// The service.
        service: String,
        /// The changed servers.
        members: Vec<Member>,
        /// Minimum number of forwarders that use the service with all planners: the largest count of the last
        /// minute.
        subscribers: u32,
    },
    /// What other forwarders report about a service's servers. Replaces all earlier hints of the service.
    Hints {
        /// The service.
        service: String,
        /// Hints by server.
        hints: Vec<PlannedServer>,
    },
    /// The service does not exist; requests waiting for it fail.
    Unknown(String),
    /// A service is no longer held. It has no requests in flight.
    Dropped(String),
}

/// Counters for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Held services.
    pub services: usize,
    /// Servers of the held services.
    pub servers: usize,
    /// Their approximate memory in bytes.
    pub bytes: usize,
    /// Names remembered as services that do not exist.
    pub unknown: usize,
    /// Bytes of received updates.
    pub received: u64,
    /// Bytes of sent messages.
    pub sent: u64,
}

/// The subscriptions of a forwarder.
#[derive(Clone, Debug)]
pub struct Subscriber {
    settings: Settings,
    services: BTreeMap<String, HeldService>,
    /// Requests in flight by service. They are counted apart from the held services, since a request may outlast
    /// the service that it began with, and its end must not be counted against a later one of the same name.
    in_flight: BTreeMap<String, u32>,
    /// Services ordered by their last use.
    by_last_use: BTreeSet<(Nanos, String)>,
    pending_services: usize,
    servers: usize,
    bytes: usize,
    /// Names of services that do not exist, and until when they are remembered.
    unknown: BTreeMap<String, Nanos>,
    unknown_order: VecDeque<(Nanos, String)>,
    choice: PlannerChoice,
    /// Services to request from the planner, in order.
    to_request: VecDeque<String>,
    /// Services whose subscription is to be ended.
    to_unsubscribe: BTreeSet<String>,
    /// Services to request again, by time.
    retries: BTreeSet<(Nanos, String)>,
    /// Removed servers, for planners with an earlier list.
    removed: VecDeque<RemovedServer>,
    send_closed: bool,
    /// List versions of the connected planners.
    history: History,
    /// When the last version was recorded in `history`.
    recorded_at: Nanos,
    /// Whether the planner has yet to be sent the remaining receive budget.
    send_allowance: bool,
    /// Whether the planner has yet to be sent that all subscriptions were named.
    send_all_named: bool,
    tokens: f64,
    receive_tokens: f64,
    refilled_at: Nanos,
    pending_changes: BTreeMap<String, held_service::PendingChange>,
    ended_services: Vec<Change>,
    reported: BTreeMap<String, (f32, bool)>,
    stats: Stats,
}

impl Subscriber {
    /// Creates a subscriber that holds no services.
    pub fn new(now: Nanos, settings: Settings) -> Self {
        Subscriber {
            choice: PlannerChoice::new(now, &settings.name, &settings.planners, settings.seed),
            tokens: settings.burst,
            receive_tokens: settings.receive_burst,
            refilled_at: now,
            settings,
            services: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            by_last_use: BTreeSet::new(),
            pending_services: 0,
            servers: 0,
            bytes: 0,
            unknown: BTreeMap::new(),
            unknown_order: VecDeque::new(),
            to_request: VecDeque::new(),
            to_unsubscribe: BTreeSet::new(),
            retries: BTreeSet::new(),
            removed: VecDeque::new(),
            history: History::new(MAX_VERSION_HISTORY),
            recorded_at: now,
            send_closed: false,
            send_allowance: false,
            send_all_named: false,
            pending_changes: BTreeMap::new(),
            ended_services: Vec::new(),
            reported: BTreeMap::new(),
            stats: Stats::default(),
        }
    }

    // ---- Requests ----

    /// Returns the status of a service that a request names. Subscribes to it if necessary and records its use.
    pub fn lookup(&mut self, now: Nanos, service: &str) -> ServiceStatus {
        if let Some(held) = self.services.get_mut(service) {
            if now.saturating_sub(held.last_used_at) >= LAST_USE_GRANULARITY {
                self.by_last_use.remove(&(held.last_used_at, service.to_owned()));
                held.last_used_at = now;
                self.by_last_use.insert((now, service.to_owned()));
            }
            return if held.received { ServiceStatus::Available } else { ServiceStatus::Pending };
        }
        if self.unknown.get(service).is_some_and(|until| now < *until) {
            return ServiceStatus::Unknown;
        }
        if service.len() > MAX_NAME_BYTES {
            return ServiceStatus::Unknown;
        }
        if self.pending_services >= MAX_PENDING_SERVICES {
            return ServiceStatus::AtCapacity;
        }
        self.to_unsubscribe.remove(service);
        self.services.insert(service.to_owned(), HeldService::new(now));
        self.by_last_use.insert((now, service.to_owned()));
        self.pending_services += 1;
        self.to_request.push_back(service.to_owned());
        ServiceStatus::Pending
    }

    /// Records that a request of this service is in flight or waiting. The service is not dropped before the
    /// matching `request_finished`.
    pub fn request_started(&mut self, service: &str) {
        *self.in_flight.entry(service.to_owned()).or_insert(0) += 1;
    }

    /// Records that a request of this service has ended.
    pub fn request_finished(&mut self, _now: Nanos, service: &str) {
        let Some(requests) = self.in_flight.get_mut(service) else { return };
        *requests -= 1;
        if *requests == 0 {
            self.in_flight.remove(service);
            // A service that was in use may be droppable now.
            self.make_room(service);
        }
    }

    // ---- Planners ----

    /// Returns the planner to connect to now, if any; to be called several times a second. No other planner is
    /// returned until `connected` or `connect_failed` is called for it. The connected planner may be replaced by a
    /// preferred one: `connected` then switches to the new one, and the former connection is to be closed once
    /// `leave_message` has been sent on it.
    pub fn try_next(&mut self, now: Nanos) -> Option<usize> {
        self.choice.try_next(now)
    }

    /// Switches to a planner whose hello has been received.
    pub fn connected(&mut self, now: Nanos, planner: usize, incarnation: u64) {
        self.choice.connected(now, planner, incarnation);
        // All services are requested anew, the most recently used ones first. The planner derives the missing
        // changes from the held versions.
        self.to_unsubscribe.clear();
        self.retries.clear();
        self.to_request = self.by_last_use.iter().rev().map(|(_, service)| service.clone()).collect();
        self.services.values_mut().for_each(|held| held.snapshot_names = None);
        (self.send_closed, self.send_allowance, self.send_all_named) = (false, true, true);
        self.reported.clear();
    }

    /// Records that the planner could not be reached.
    pub fn connect_failed(&mut self, now: Nanos, planner: usize) {
        self.choice.connect_failed(now, planner);
    }

    /// Records that the planner is reachable but at capacity or overloaded. It is retried after a longer delay.
    pub fn planner_at_capacity(&mut self, now: Nanos, planner: usize) {
        self.choice.planner_at_capacity(now, planner);
    }

    /// Records that the connection to the planner was lost. Held services stay.
    pub fn connection_lost(&mut self, now: Nanos, planner: usize) {
        self.choice.connection_lost(now, planner);
    }

    /// Returns the connected planner.
    pub fn planner(&self) -> Option<usize> {
        self.choice.planner()
    }

    /// Returns the message for a planner that is left on purpose.
    pub fn leave_message() -> Subscribe {
        Subscribe { leaving: true, ..Subscribe::default() }
    }

    // ---- Updates ----

    /// Applies an update, service by service; a rejected service is not changed. Returns the acknowledgement, or
    /// `None` if the update needs none.
    pub fn receive(&mut self, now: Nanos, planner: usize, update: &Update) -> Option<UpdateAck> {
        self.refill(now);
        let size = update.encoded_len() + FRAMING_BYTES;
        self.stats.received += size as u64;
        self.receive_tokens -= size as f64;
        let incarnation = self.choice.incarnation_of(now, planner)?;
        // A planner that does not count epochs is compared by its numbers alone.
        let epoch = if update.epoch == 0 { self.latest_list().epoch } else { update.epoch };
        let source = ListVersion { epoch, number: update.source };
        self.choice.list_confirmed(planner, ListConfirmation::received(now, update.list_age_ms));
        let reason = match () {
            () if update.site != self.settings.site => RejectReason::OtherSite,
            () if update.incarnation != incarnation => RejectReason::StaleIncarnation,
            () => RejectReason::Accepted,
        };
        // An unreadable update is not acknowledged; the planner closes the connection if that continues.
        let services = update.unpacked().ok()?;
        let mut refused: BTreeMap<&str, RejectReason> = BTreeMap::new();
        for changes in &services {
            let result = match reason {
                RejectReason::Accepted => self.apply_changes(now, (update.incarnation, source), changes),
                _ => Err(reason),
            };
            if result.is_err() && changes.chunk() == Chunk::Unknown {
                // The planner sends this answer once, so the service is requested again until it is known or the
                // answer is believed.
                self.retries.insert((now + RETRY_DELAY, changes.service.clone()));
            }
            if let Err(reason) = result {
                refused.insert(&changes.service, reason);
            }
        }
        if reason == RejectReason::Accepted && update.epoch > 0 {
            self.record_version(now, VersionDigest { version: source, digest: update.list_digest });
            self.send_closed |=
                source < self.latest_list() && !self.choice.connected_for(now, STALE_LIST_TIMEOUT);
        }
        let refused = refused.into_iter();
        let refused =
            refused.map(|(s, b)| RejectedService { service: s.to_owned(), reason: b as i32 }).collect();
        let ack = UpdateAck { incarnation: update.incarnation, number: update.number, refused };
        if update.number == 0 {
            return None;
        }
        let size = ack.encoded_len() + FRAMING_BYTES;
        self.stats.sent += size as u64;
        self.tokens -= size as f64;
        Some(ack)
    }

    /// Records the planner's list version at intervals, and whenever the epoch changes.
    fn record_version(&mut self, now: Nanos, followed: VersionDigest) {
        let last = self.history.iter().next_back().map(|last| last.version.epoch);
        if last != Some(followed.version.epoch) || now >= self.recorded_at + VERSION_HISTORY_INTERVAL {
            self.history.push(followed);
            self.recorded_at = now;
        }
    }

    /// Returns the latest list version from which any held state was made.
    fn latest_list(&self) -> ListVersion {
        self.choice.latest_list
    }

    fn apply_changes(
        &mut self,
        now: Nanos,
        (incarnation, source): (u64, ListVersion),
        changes: &ServiceChanges,
    ) -> Result<(), RejectReason> {
        let believed = self.choice.connected_for(now, STALE_LIST_TIMEOUT) && self.choice.has_fresh_list(now);
        let planners = self.settings.planners.len().max(1) as u32;
        // The service was dropped after it was requested, so its changes are not acknowledged.
        let Some(held) = self.services.get_mut(&changes.service) else {
            return Err(RejectReason::NotSubscribed);
        };
        if held.incarnation != incarnation && source < held.list_version && !believed {
            return Err(RejectReason::StaleMembership);
        }
        let before = (held.received, held.servers.len());
        if changes.chunk() == Chunk::Unknown {
            self.mark_unknown(now, &changes.service);
            return Ok(());
        }
        let changed = self.pending_changes.entry(changes.service.clone()).or_default();
        let result = held.apply(now, (incarnation, source), changes, changed, &mut self.removed);
        if held.received {
            held.update_subscriber_count(now, changes.subscribers.saturating_mul(planners), changed);
        }
        let after = (held.received, held.servers.len());
        self.update_totals(before, after);
        if result.is_ok() {
            self.choice.latest_list = self.choice.latest_list.max(source);
        }
        self.make_room(&changes.service);
        result
    }

    fn update_totals(
        &mut self,
        (was_received, old_servers): (bool, usize),
        (is_received, new_servers): (bool, usize),
    ) {
        self.servers = self.servers + new_servers - old_servers;
        self.bytes = self.bytes + new_servers * SERVER_BYTES - old_servers * SERVER_BYTES;
        if is_received && !was_received {
            self.pending_services -= 1;
            self.bytes += SERVICE_BYTES;
        }
    }

    /// Handles the planner's answer that the service does not exist (any longer).
    fn mark_unknown(&mut self, now: Nanos, service: &str) {
        let Some(held) = self.services.get_mut(service) else { return };
        if self.in_flight.contains_key(service) && held.received {
            // The service has requests in flight, so it stays without servers and is requested again.
            let changed = self.pending_changes.entry(service.to_owned()).or_default();
            let before = (held.received, held.servers.len());
            held.remove_all(now, changed, &mut self.removed);
            self.update_totals(before, (true, 0));
            self.retries.insert((now + RETRY_DELAY, service.to_owned()));
            return;
        }
        let received = held.received;
        self.remove_service(service);
        self.to_unsubscribe.remove(service);
        self.ended_services.push(if received {
            Change::Dropped(service.to_owned())
        } else {
            Change::Unknown(service.to_owned())
        });
        let until = now + self.settings.unknown_ttl;
        self.unknown.insert(service.to_owned(), until);
        self.unknown_order.push_back((until, service.to_owned()));
        while self.unknown_order.len() > MAX_UNKNOWN_SERVICES {
            self.forget_unknown();
        }
    }

    fn forget_unknown(&mut self) {
        let Some((until, service)) = self.unknown_order.pop_front() else { return };
        if self.unknown.get(&service) == Some(&until) {
            self.unknown.remove(&service);
        }
    }

    /// Enforces the limits by dropping the least recently used services that have no request in flight. If there is
    /// none, `newcomer` is dropped.
    fn make_room(&mut self, newcomer: &str) {
        let over_limit = |s: &Self| {
            s.services.len() - s.pending_services > s.settings.max_services || s.bytes > s.settings.max_bytes
        };
        while over_limit(self) {
            let idle = |(_, name): &&(Nanos, String)| name != newcomer && self.is_idle(name);
            let least_used = self.by_last_use.iter().find(idle).map(|(_, name)| name.clone());
            let Some(least_used) = least_used.or_else(|| self.is_idle(newcomer).then(|| newcomer.to_owned()))
            else {
                return;
            };
            self.drop_service(&least_used);
        }
    }

    /// Returns whether a service is held and has no request in flight.
    fn is_idle(&self, service: &str) -> bool {
        let received = self.services.get(service).is_some_and(|held| held.received);
        received && !self.in_flight.contains_key(service)
    }

    fn drop_service(&mut self, service: &str) {
        let Some(held) = self.remove_service(service) else { return };
        self.to_unsubscribe.insert(service.to_owned());
        if held.received {
            self.ended_services.push(Change::Dropped(service.to_owned()));
        } else {
            self.ended_services.push(Change::Unknown(service.to_owned()));
        }
    }

    fn remove_service(&mut self, service: &str) -> Option<HeldService> {
        let held = self.services.remove(service)?;
        self.by_last_use.remove(&(held.last_used_at, service.to_owned()));
        self.pending_changes.remove(service);
        self.servers -= held.servers.len();
        self.bytes -= held.servers.len() * SERVER_BYTES;
        match held.received {
            true => self.bytes -= SERVICE_BYTES,
            false => self.pending_services -= 1,
        }
        Some(held)
    }

    // ---- Time ----

    /// Runs everything that is due. To be called several times a second.
    pub fn poll(&mut self, now: Nanos) {
        self.refill(now);
        while self.unknown_order.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_unknown();
        }
        let due = |(at, _): &&(Nanos, String)| *at <= now;
        while let Some((at, service)) = self.retries.first().filter(due).cloned() {
            self.retries.remove(&(at, service.clone()));
            if self.services.contains_key(&service) {
                self.to_request.push_back(service);
            }
        }
        // Pending services expire earlier than held ones; both are searched from the least recently used on.
        let wait = PENDING_TIMEOUT.min(self.settings.unused_timeout);
        let unused = self.by_last_use.iter().take_while(|(at, _)| now.saturating_sub(*at) >= wait);
        let expired = |(at, name): &&(Nanos, String)| {
            let timed_out = now.saturating_sub(*at) >= self.settings.unused_timeout;
            let idle = !self.in_flight.contains_key(name);
            idle && self.services.get(name).is_some_and(|h| timed_out || !h.received)
        };
        let unused: Vec<String> =
            unused.take(MAX_EXAMINED_SERVICES).filter(expired).map(|(_, name)| name.clone()).collect();
        unused.iter().for_each(|service| self.drop_service(service));
    }

    /// Returns the changes since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        for (service, changed) in std::mem::take(&mut self.pending_changes) {
            let Some(held) = self.services.get(&service) else { continue };
            changes.extend(held.changes_to_report(service, changed));
        }
        changes.append(&mut self.ended_services);
        changes
    }

    /// Returns the servers of a held service, for inspection, or `None` if it is not held.
    pub fn members_of(&self, service: &str) -> Option<Vec<&Member>> {
        let held = self.services.get(service).filter(|h| h.received)?;
        Some(held.servers.values().map(|s| &s.member).collect())
    }

    /// Returns the planner's incarnation, the version and the list number of a service's held state, for
    /// inspection; zeros before the first complete snapshot.
    pub fn version_of(&self, service: &str) -> Option<(u64, u64, u64)> {
        self.services.get(service).map(|h| (h.incarnation, h.version, h.list_version.number))
    }

    /// Returns the list version, with its epoch, of a service's held state, for inspection.
    pub fn list_version_of(&self, service: &str) -> Option<ListVersion> {
        self.services.get(service).map(|held| held.list_version)
    }

    /// Returns counters for measurements.
    pub fn stats(&self) -> Stats {
        Stats {
            services: self.services.len() - self.pending_services,
            servers: self.servers,
            bytes: self.bytes,
            unknown: self.unknown.len(),
            ..self.stats
        }
    }
}

/// Maximum number of services examined in one search for unused ones; the next call continues.
const MAX_EXAMINED_SERVICES: usize = 256;
