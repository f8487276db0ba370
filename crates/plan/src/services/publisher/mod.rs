//! The planner's side of service subscriptions: applies the server list, sends changes to subscribers and tracks
//! which forwarders have acknowledged each change.
//!
//! All state is soft. The cost follows the changes: a change to a server costs as much as its slice has
//! subscribers, a message from a forwarder as much as it names, and a heartbeat one message. Only a full list,
//! which names every server, makes the planner visit all services, servers or forwarders.

mod forwarders;
mod hints;
mod list;
mod rollout;
mod slice;
mod stream;

pub use slice::MAX_REMOVED;
pub use stream::{ACK_TIMEOUT, FRAMING_BYTES, MAX_UPDATE_BYTES};

use crate::list_age::ListConfirmation;
use crate::member::{Member, MAX_NAME_BYTES};
use crate::planner::ReportError;
use crate::services::digest;
use crate::services::list_version::{History, ListVersion, VersionDigest};
use crate::wire::{ClosedServer, Interest, RejectReason, Subscribe, UpdateAck};
use hints::ReportSummary;
use laurelroute_policy::interface::{Nanos, Phase};
use slice::{Name, Service};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
/// Maximum number of services.
pub const MAX_SERVICES: usize = 50_000;
/// Maximum number of servers.
pub const MAX_SERVERS: usize = 1_000_000;
/// Maximum number of services that one server may belong to.
const MAX_SERVICES_PER_SERVER: usize = 64;
/// Maximum number of services that one forwarder may subscribe to.
pub const MAX_SUBSCRIPTIONS: usize = 16_384;
/// Time within which a forwarder that has connected renews its subscriptions, unless it says earlier that it has
/// sent them all. Those not renewed by then are removed.
const RESUBSCRIBE_TIMEOUT: Nanos = 30 * S;
/// Time after which a disconnected forwarder is forgotten. Until then it counts as lagging.
pub const FORWARDER_EXPIRY: Nanos = 600 * S;
/// Time for which a forwarder keeps its state if it comes from a later list than this planner's. If the planner's
/// list has not caught up by then although its source confirms it, the source has lost its versions and the planner's
/// list becomes authoritative.
pub const STALE_LIST_TIMEOUT: Nanos = 10 * S;
/// Maximum number of list changes whose rollout is tracked.
const MAX_RECORDED_CHANGES: usize = 4_096;
/// Maximum number of unacknowledged changes tracked per subscription. When there are more, the oldest ones are
/// dropped and never count as acknowledged there.
const MAX_UNACKNOWLEDGED_CHANGES: usize = 256;
/// Maximum time between two messages to a forwarder.
pub const HEARTBEAT_INTERVAL: Nanos = 1_000 * MS;

/// Settings of a [`Publisher`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the installation.
    pub site: String,
    /// Start time of this planner process, Unix time in milliseconds. Of two incarnations the later one is valid.
    pub incarnation: u64,
    /// Number of planners of this installation, running or not.
    pub planners: u32,
    /// Maximum number of connected forwarders. Further ones are refused and try another planner.
    pub max_forwarders: usize,
    /// Rate limit for updates to one forwarder, in bytes per second.
    pub bytes_per_second: f64,
    /// Bytes that may be sent at once after an idle period.
    pub burst: f64,
    /// Additional rate for drains and removals, which are sent before everything else, in bytes per second.
    pub drain_bytes_per_second: f64,
    /// Bytes of drains and removals that may be sent at once, in addition to `burst`.
    pub drain_burst: f64,
}

/// A server of the list and the services that it belongs to. No service stands for the service without a name.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Names of the services.
    pub services: Vec<String>,
    /// The server.
    pub member: Member,
}

/// Counts of the list entries that were dropped, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Servers beyond the limit.
    pub servers: usize,
    /// Services beyond the limit.
    pub services: usize,
    /// Names that are empty or too long.
    pub names: usize,
}

/// Reasons to refuse a forwarder or its message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// No forwarder of this name is registered.
    #[error("`{0}` has not joined")]
    NotConnected(String),
    /// The maximum number of forwarders is connected.
    #[error("{0} forwarders are here already")]
    AtCapacity(usize),
    /// A name is empty or too long.
    #[error("a name of {0} bytes")]
    InvalidName(usize),
    /// The forwarder has more subscriptions than allowed.
    #[error("over {0} services for one forwarder")]
    TooManySubscriptions(usize),
    /// The forwarder has not acknowledged an update in time.
    #[error("nothing was acknowledged for {0} s")]
    Unresponsive(u64),
    /// A report holds an invalid value.
    #[error("{0}")]
    Report(#[from] ReportError),
}

/// Rollout of a list change to the subscribed forwarders.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutStatus {
    /// When this planner received the change.
    pub listed_at: Nanos,
    /// Number of subscriptions to the services that the change affects.
    pub subscriptions: usize,
    /// Number of those subscriptions that have acknowledged the change.
    pub acknowledged: usize,
    /// When the last acknowledgement arrived, if all have arrived.
    pub completed_at: Option<Nanos>,
    /// Some of the lagging forwarders, and why each one lags.
    pub lagging: Vec<(String, LagReason)>,
}

/// Why a forwarder lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagReason {
    /// It has been disconnected since this time.
    Disconnected(Nanos),
    /// The change was sent and has not been acknowledged.
    Unacknowledged,
    /// Its rate limit delays the change.
    Throttled,
    /// It holds a later list than this planner.
    NewerList,
}

/// Counters for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Services that have servers or subscribers.
    pub services: usize,
    /// Servers.
    pub servers: usize,
    /// Connected forwarders.
    pub forwarders: usize,
    /// Subscriptions of all forwarders.
    pub subscriptions: usize,
    /// Removed servers that are still remembered, counted once per service.
    pub removed_servers: usize,
    /// Snapshots sent.
    pub snapshots: u64,
    /// Updates sent.
    pub updates: u64,
    /// Bytes of updates sent.
    pub bytes: u64,
    /// Servers and subscriptions visited, as a measure of the cost of changes.
    pub steps: u64,
}

#[derive(Clone, Debug)]
struct Server {
    member: Member,
    services: Vec<u32>,
    digest: u64,
    /// The batch of the last full list that named the server.
    listed_in_batch: u64,
    reports: ReportSummary,
}

/// How much of a slice has been sent to one forwarder.
#[derive(Clone, Debug)]
struct Subscription {
    slice: usize,
    /// Position in the order of changes up to which everything has been sent.
    sent_up_to: (u64, Option<Name>),
    /// Position up to which drains and removals have been sent.
    urgent_sent_up_to: (u64, Option<Name>),
    /// The version that the forwarder will hold once it has applied everything sent; `None` until a complete
    /// snapshot has been sent.
    sent_version: Option<u64>,
    /// The version at which the snapshot in progress began.
    snapshot_version: Option<u64>,
    /// Digest to confirm: the forwarder already holds the slice's present state and only needs the version.
    confirmed_digest: Option<u64>,
    /// Hints up to this number have been sent.
    last_hint: u64,
    acknowledged_version: Option<u64>,
    /// Changes not yet acknowledged: the slice version and the batch of each.
    unacknowledged: VecDeque<(u64, u64)>,
    /// Nothing is sent until the planner's list reaches this version or this time has passed.
    blocked_until: Option<(ListVersion, Nanos)>,
    /// Whether the subscription has not been renewed since the forwarder connected.
    stale: bool,
    /// The subscriber count last sent to the forwarder.
    announced_subscribers: u32,
}

#[derive(Clone, Debug)]
struct Forwarder {
    name: String,
    zone: u8,
    /// When the forwarder disconnected; `None` while it is connected.
    disconnected_at: Option<Nanos>,
    /// When it last connected.
    connected_at: Nanos,
    subscriptions: BTreeMap<u32, Subscription>,
    /// Services not sent at all so far, in the order of subscription.
    new_services: VecDeque<u32>,
    /// Services with changes to send.
    pending: BTreeSet<u32>,
    /// The service last sent from `pending`, for round-robin order.
    last_served: u32,
    /// Services with drains or removals to send.
    urgent: BTreeSet<u32>,
    /// Services with hints to send.
    pending_hints: BTreeSet<u32>,
    /// Names of requested services that do not exist, to be sent.
    unknown_services: BTreeSet<String>,
    /// Interests received before the first list.
    deferred_interests: Vec<Interest>,
    /// List versions that the forwarder has followed, kept until this planner has a list.
    version_history: Vec<VersionDigest>,
    /// How far the forwarder's epochs are ahead of the local ones; `None` until its version history is known.
    epoch_offset: Option<i64>,
    /// Servers that it has reported on.
    reported_servers: BTreeSet<Name>,
    tokens: f64,
    drain_tokens: f64,
    refilled_at: Nanos,
    last_update: u64,
    /// Updates that have not been acknowledged, oldest first.
    in_flight: VecDeque<UpdateInFlight>,
    last_sent_at: Nanos,
}

/// Services with the version that an update brings each of them to, if it completes one.
type Versions = Vec<(u32, Option<u64>)>;

/// An unacknowledged update: its number, the time it was sent, and the versions that it carries.
type UpdateInFlight = (u64, Nanos, Versions);

/// Rollout state of a list change.
#[derive(Clone, Debug)]
struct ChangeRecord {
    listed_at: Nanos,
    list_number: u64,
    /// Service, slice index, and number of slices at the time of the change.
    affected: Vec<(u32, usize, usize)>,
    /// Number of subscriptions that have not acknowledged the change.
    pending: usize,
    completed_at: Option<Nanos>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// Remove a forwarder's subscriptions that were not renewed.
    RemoveStale(u32),
    /// Forget a disconnected forwarder.
    ForgetForwarder(u32),
    /// Check the subscriptions of a forwarder that holds a later list.
    Unblock(u32),
    /// Expire the closings that forwarders reported from a later list.
    ExpireOverrides,
}

/// The services of one planner and their subscribers.
#[derive(Clone, Debug)]
pub struct Publisher {
    settings: Settings,
    list_version: Option<ListVersion>,
    /// When the source last confirmed the list.
    list_confirmation: ListConfirmation,
    /// List versions that this planner has applied.
    history: History,
    /// Digest of the list as received, without the closings that forwarders reported.
    list_digest: u64,
    servers: BTreeMap<Name, Server>,
    services: BTreeMap<u32, Service>,
    service_ids: BTreeMap<Name, u32>,
    next_service_id: u32,
    forwarders: BTreeMap<u32, Forwarder>,
    forwarder_ids: BTreeMap<String, u32>,
    next_forwarder_id: u32,
    connected: usize,
    /// Forwarders with subscriptions that wait for a list version.
    blocked_forwarders: BTreeSet<u32>,
    /// Recorded list changes by batch, and the batch of each list version. Version numbers may repeat, batches do
    /// not.
    changes: BTreeMap<u64, ChangeRecord>,
    batch_by_version: BTreeMap<u64, u64>,
    /// Servers closed on the report of a forwarder with a later list: the expiry of the override, and the entry of
    /// the own list.
    overrides: BTreeMap<Name, (Nanos, ListedServer)>,
    timers: BTreeSet<(Nanos, Timer)>,
    ready_forwarders: BTreeSet<u32>,
    batch: u64,
    /// The number of the last hint.
    last_hint: u64,
    stats: Stats,
}

impl Publisher {
    /// Creates a publisher. It sends nothing about services until it has received a list.
    pub fn new(_now: Nanos, settings: Settings) -> Self {
        Publisher {
            settings,
            list_version: None,
            list_confirmation: ListConfirmation::default(),
            history: History::new(MAX_RECORDED_CHANGES),
            list_digest: 0,
            servers: BTreeMap::new(),
            services: BTreeMap::new(),
            service_ids: BTreeMap::new(),
            next_service_id: 0,
            forwarders: BTreeMap::new(),
            forwarder_ids: BTreeMap::new(),
            next_forwarder_id: 0,
            connected: 0,
            blocked_forwarders: BTreeSet::new(),
            changes: BTreeMap::new(),
            batch_by_version: BTreeMap::new(),
            overrides: BTreeMap::new(),
            timers: BTreeSet::new(),
            ready_forwarders: BTreeSet::new(),
            batch: 0,
            last_hint: 0,
            stats: Stats::default(),
        }
    }

    /// Returns the number of the list version in use.
    pub fn list_number(&self) -> Option<u64> {
        self.list_version.map(|source| source.number)
    }

    /// Returns the list version in use, with its epoch.
    pub fn list_version(&self) -> Option<ListVersion> {
        self.list_version
    }

    /// Returns counters for measurements. Visits all services.
    pub fn stats(&self) -> Stats {
        let subscriptions = self.forwarders.values().map(|f| f.subscriptions.len()).sum();
        let slices = self.services.values().flat_map(|s| &s.slices);
        Stats {
            removed_servers: slices.map(|s| s.rows.len() - s.size).sum(),
            services: self.services.values().filter(|service| !service.is_unused()).count(),
            servers: self.servers.len(),
            forwarders: self.connected,
            subscriptions,
            ..self.stats
        }
    }

    /// Returns a service's servers as this planner holds them, for inspection.
    pub fn members_of(&self, service: &str) -> Vec<&Member> {
        let slices =
            self.service_ids.get(service).and_then(|id| self.services.get(id)).map(|s| &s.slices[..]);
        let present = slices.unwrap_or_default().iter().flat_map(|s| &s.rows).filter(|(_, row)| row.present);
        present.filter_map(|(name, _)| self.servers.get(name)).map(|s| &s.member).collect()
    }

    /// Returns the servers of the slice that a forwarder is assigned of a service, for inspection, or `None` if it
    /// has not subscribed to the service.
    pub fn assigned_members(&self, forwarder: &str, service: &str) -> Option<Vec<&Member>> {
        let f = self.forwarders.get(self.forwarder_ids.get(forwarder)?)?;
        let id = self.service_ids.get(service)?;
        let slice = self.services.get(id)?.slices.get(f.subscriptions.get(id)?.slice)?;
        let present = slice.rows.iter().filter(|(_, row)| row.present);
        Some(present.filter_map(|(name, _)| self.servers.get(name)).map(|s| &s.member).collect())
    }

    /// Runs the timers that are due. To be called several times a second.
    pub fn poll(&mut self, now: Nanos) {
        while let Some(&(at, due)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            match due {
                Timer::RemoveStale(id) => self.remove_stale_subscriptions(now, id),
                Timer::ForgetForwarder(id) => {
                    let long = |f: &Forwarder| {
                        f.disconnected_at.is_some_and(|at| now.saturating_sub(at) >= FORWARDER_EXPIRY)
                    };
                    if self.forwarders.get(&id).is_some_and(long) {
                        self.forget_forwarder(now, id);
                    }
                }
                Timer::Unblock(id) => self.unblock_subscriptions(now, id),
                Timer::ExpireOverrides => self.expire_overrides(now),
            }
        }
    }

    /// Resumes a forwarder's subscriptions that wait for a list version which has been reached, or whose wait has
    /// timed out.
    pub(super) fn unblock_subscriptions(&mut self, now: Nanos, id: u32) {
        let source = self.list_version.unwrap_or_default();
        // A list that is stale itself proves nothing about the source's versions.
        let fresh = self.list_confirmation.is_fresh(now);
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        let mut waits = false;
        for (service, s) in &mut f.subscriptions {
            let released = |(version, until)| version <= source || fresh && until <= now;
            if s.blocked_until.is_some_and(released) {
                s.blocked_until = None;
                f.pending.insert(*service);
                f.urgent.insert(*service);
                self.ready_forwarders.insert(id);
            }
            waits |= s.blocked_until.is_some();
        }
        if !waits {
            self.blocked_forwarders.remove(&id);
        }
    }

    /// Returns the names of the forwarders with new updates since the last call.
    pub fn take_ready_forwarders(&mut self) -> Vec<String> {
        let ready = std::mem::take(&mut self.ready_forwarders);
        ready.iter().filter_map(|f| self.forwarders.get(f)).map(|f| f.name.clone()).collect()
    }
}

impl Subscription {
    /// Creates a subscription that begins with a snapshot.
    fn from_snapshot(slice: usize) -> Subscription {
        Subscription {
            slice,
            sent_up_to: (0, None),
            urgent_sent_up_to: (0, None),
            sent_version: None,
            snapshot_version: None,
            confirmed_digest: None,
            last_hint: 0,
            acknowledged_version: None,
            unacknowledged: VecDeque::new(),
            blocked_until: None,
            stale: false,
            announced_subscribers: 0,
        }
    }

    /// Continues from this version, which the forwarder holds.
    fn resume(&mut self, version: u64) {
        self.sent_up_to = (version + 1, None);
        self.urgent_sent_up_to = (version + 1, None);
        self.sent_version = Some(version);
        self.acknowledged_version = Some(version);
    }
}
