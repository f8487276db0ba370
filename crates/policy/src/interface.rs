//! The types between a proxy node and its [`Balancer`](crate::Balancer): settings, events and actions.
//!
//! All times and durations are nanoseconds. The node owns connections, clocks and timers; the balancer owns
//! nothing but its own picture of the fleet.

use std::collections::BTreeMap;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
/// The node's own number for one request; never used twice.
pub type RequestId = u32;

/// Where a server listens. Order and value carry no meaning beyond identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoint {
    /// IPv4 address, first byte first.
    pub address: [u8; 4],
    /// TCP port.
    pub port: u16,
}

impl Endpoint {
    /// How close a key is to this server: the closest of a group is the same at every node (rendezvous hashing).
    pub fn affinity(&self, key: u64) -> u64 {
        let id = (u64::from(u32::from_be_bytes(self.address)) << 16) | u64::from(self.port);
        let mixed = (id ^ key).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) >> 11
    }
}

/// Where a server stands in its life, as the list tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Takes work.
    Ready,
    /// Finishes what it has; takes nothing new.
    Draining,
    /// Removed from the list.
    #[default]
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Server {
    /// The server's identity.
    pub endpoint: Endpoint,
    /// Zone it stands in, as an index into the node's zones.
    pub zone: u8,
    /// Machine kind, as an index.
    pub kind: u16,
    /// DedupGroup of servers with shared memory of keys.
    pub cell: u16,
    /// Ready, draining or gone.
    pub phase: Phase,
    /// Listed size for comparison with other servers; no unit, 0 when unknown.
    pub size: f32,
    /// When its process last started; 0 when long ago.
    pub started_at: Nanos,
}

impl Server {
    /// The part of its capacity that a server has reached, which starts at `from` and is whole after `ramp`.
    pub fn capacity_fraction(&self, now: Nanos, from: f64, ramp: Nanos) -> f64 {
        if self.started_at == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.started_at) as f64 / ramp as f64;
        (from + (1.0 - from) * age).min(1.0)
    }

    /// A ready, long-started server of size 1 in zone 0.
    pub fn warm(endpoint: Endpoint) -> Self {
        Server { endpoint, zone: 0, kind: 0, cell: 0, phase: Phase::Ready, size: 1.0, started_at: 0 }
    }
}

/// How far a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats do no harm.
    Safe,
    /// Servers of one group drop repeats within a window.
    Keyed,
    /// Must not run twice.
    Unsafe,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this earns the full worth.
    pub latency_target: Nanos,
    /// How long a client waits over all its tries.
    pub client_timeout: Nanos,
    /// Worth of one request (or of a unit of its work, see [`Settings::value_per_work`]).
    pub value: f64,
    /// Share of the worth left for an answer after the aim, 0 to 1.
    pub late_value: f64,
    /// How far it may be repeated.
    pub idempotency: Idempotency,
    /// For keyed classes: who drops repeats.
    pub dedup_group: DedupGroup,
    /// For keyed classes: for how long, from the first attempt that may have run.
    pub dedup_window: Nanos,
    /// The answer is a stream.
    pub stream: bool,
}

/// The values that a load report may carry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in hand.
    pub concurrent: Option<f32>,
    /// Requests that wait.
    pub queued: Option<f32>,
    /// Share of its processor in use, 0 to 1.
    pub utilisation: Option<f32>,
    /// Recent service time without waiting, milliseconds.
    pub service_ms: Option<f32>,
    /// Requests served a second.
    pub rate: Option<f32>,
    /// Errors a second.
    pub error_rate: Option<f32>,
}

/// What a node is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The request classes; at least one.
    pub classes: Vec<Class>,
    /// Each tenant's share in requests a second over all nodes; empty where there are none.
    pub tenant_quota: Vec<f64>,
    /// Part of its worth that a request over its tenant's share keeps, 0 to 1.
    pub over_quota_value: f64,
    /// Requests count by their work, not each alike.
    pub value_per_work: bool,
    /// The node's own zone.
    pub zone: u8,
    /// The node's number in its group, from 0.
    pub ordinal: u32,
    /// Number of nodes in the group; at least one.
    pub group_size: u32,
    /// The list comes only to those who subscribe.
    pub must_subscribe: bool,
    /// Who has neither a subscription nor asked for so long counts as told of all that there was to tell.
    pub max_list_age: Nanos,
    /// Nothing new goes to a server this long after it was told that it drains or is gone.
    pub drain_grace: Nanos,
    /// Most attempts for one request; at least one.
    pub max_attempts: u32,
    /// Two attempts of a request may be out at once.
    pub hedging: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Nodes may send each other messages.
    pub peers: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest such advice that a client heeds.
    pub max_retry_after: Nanos,
    /// A server starts at this share of its capacity or more; above 0, at most 1.
    pub initial_capacity: f64,
    /// A started server is warm after this.
    pub ramp: Nanos,
    /// More than this multiple of its present capacity, for `fall`, pushes a cold server over.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub overload_window: Nanos,
    /// Listed sizes can be compared between servers.
    pub sizes_known: bool,
    /// Servers that met a key lately do less work for it.
    pub key_affinity: bool,
    /// Points lost for each request that crosses zones, as a share of 1.
    pub cross_zone_cost: f64,
}

impl Settings {
    /// Settings for one safe class on a plain site, to start from.
    pub fn single_class(latency_target: Nanos, client_timeout: Nanos) -> Self {
        let class = Class {
            latency_target,
            client_timeout,
            value: 1.0,
            late_value: 0.0,
            idempotency: Idempotency::Safe,
            dedup_group: DedupGroup::All,
            dedup_window: 0,
            stream: false,
        };
        Settings {
            classes: vec![class],
            tenant_quota: Vec::new(),
            over_quota_value: 1.0,
            value_per_work: false,
            zone: 0,
            ordinal: 0,
            group_size: 1,
            must_subscribe: false,
            max_list_age: 10_000_000_000,
            drain_grace: 250_000_000,
            max_attempts: 3,
            hedging: false,
            cancel: true,
            probes: false,
            peers: false,
            retry_after: true,
            max_retry_after: client_timeout,
            initial_capacity: 0.3,
            ramp: 10 * client_timeout,
            overload_multiple: 3.0,
            overload_window: client_timeout,
            sizes_known: true,
            key_affinity: false,
            cross_zone_cost: 0.0,
        }
    }

    /// The longest time that a client waits for an answer, over all classes.
    pub fn longest_client_timeout(&self) -> Nanos {
        self.classes.iter().map(|c| c.client_timeout).max().unwrap_or(1)
    }

    /// Refuses settings that no node could act on, naming the one at fault.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::Empty("classes"));
        }
        for class in &self.classes {
            for (name, value) in [("aim", class.latency_target), ("give_up", class.client_timeout)] {
                if value == 0 {
                    return Err(SettingsError::Zero(name));
                }
            }
            share("late_worth", class.late_value)?;
            if !(class.value.is_finite() && class.value >= 0.0) {
                return Err(SettingsError::OutOfRange("worth"));
            }
        }
        for (name, value) in [
            ("group_size", u64::from(self.group_size)),
            ("max_attempts", u64::from(self.max_attempts)),
            ("ramp", self.ramp),
            ("fall", self.overload_window),
            ("ask_within", self.max_list_age),
        ] {
            if value == 0 {
                return Err(SettingsError::Zero(name));
            }
        }
        share("over_share_worth", self.over_quota_value)?;
        share("cold_from", self.initial_capacity)?;
        share("cross_price", self.cross_zone_cost)?;
        if self.initial_capacity == 0.0 {
            return Err(SettingsError::Zero("cold_from"));
        }
        if !(self.overload_multiple.is_finite() && self.overload_multiple > 0.0) {
            return Err(SettingsError::OutOfRange("tip_multiple"));
        }
        if self.tenant_quota.iter().any(|q| !(q.is_finite() && *q >= 0.0)) {
            return Err(SettingsError::OutOfRange("tenant_quota"));
        }
        Ok(())
    }
}

fn share(name: &'static str, value: f64) -> Result<(), SettingsError> {
    if (0.0..=1.0).contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::NotAShare(name))
    }
}

/// Why settings were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A list has no items.
    #[error("setting `{0}` must not be empty")]
    Empty(&'static str),
    /// A value must be above zero.
    #[error("setting `{0}` must be above zero")]
    Zero(&'static str),
    /// A value must lie between 0 and 1.
    #[error("setting `{0}` must lie between 0 and 1")]
    NotAShare(&'static str),
    /// A value makes no sense.
    #[error("setting `{0}` is out of range")]
    OutOfRange(&'static str),
}

/// A client's request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// The node's number for it.
    pub id: RequestId,
    /// Its class, as an index into [`Settings::classes`].
    pub class: u8,
    /// Its tenant, as an index into [`Settings::tenant_quota`].
    pub tenant: u32,
    /// Routing key, 0 for none.
    pub key: u64,
    /// When the client abandons this try.
    pub deadline: Nanos,
    /// Rough work, as time on a standard core, where known.
    pub work_hint: Option<Nanos>,
    /// The client says that it tries again.
    pub is_retry: bool,
    /// It writes.
    pub is_write: bool,
    /// Its place on the hash while a [`TrafficSplit`] is on: below a pool's share it is that pool's.
    pub split_position: u32,
}

impl Request {
    /// Whether its place is within a share from 0 to 1: never at 0, always at 1.
    pub fn in_split_share(&self, share: f64) -> bool {
        f64::from(self.split_position) < share * 2f64.powi(32)
    }

    /// A first try of class 0 without tenant or key.
    pub fn new(id: RequestId, deadline: Nanos) -> Self {
        Request {
            id,
            class: 0,
            tenant: 0,
            key: 0,
            deadline,
            work_hint: None,
            is_retry: false,
            is_write: false,
            split_position: 0,
        }
    }
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// All servers; whoever is absent is gone.
    Full,
    /// All servers as last seen by this node's earlier life, possibly out of date.
    Cached,
    /// A call to the list service failed or the subscription broke; the old list stands.
    Failed,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Ok,
    /// The server returned an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection came about; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off by the node; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptOutcome {
    /// True where the attempt is proved never to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// What a plan for the whole fleet says to one node. Each guide replaces the one before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodePlan {
    /// How far the plan is believed, from 0 (the node is on its own) to 1. An old plan is believed less.
    pub trust: f64,
    /// What it says of servers; the others in the list have no standing.
    pub servers: Vec<ServerPlan>,
    /// This node's part of each tenant's share, requests a second; where it ends, nothing is said.
    pub tenants: Vec<f64>,
    /// The requests a second of each class that may come in here; where it ends, there is no limit.
    pub classes: Vec<f64>,
}

/// What a plan says of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerPlan {
    /// The server.
    pub server: Endpoint,
    /// Its accomplishment summed over all nodes, in requests, faded.
    pub score: f64,
    /// Others have met failures there.
    pub suspected: bool,
    /// Requests a second that this node may send it while it is cold; infinite where nothing is said.
    pub slow_start_rate: f64,
}

/// How requests are split between two pools of servers while traffic is shifted from one to the other. Each replaces the
/// one before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficSplit {
    /// Part of each class's requests, from 0 to 1, that is meant for the new pool; where it ends, nothing is.
    pub shares: Vec<f64>,
    /// Servers by their pool, true for the new one. Those in neither take any request.
    pub pools: BTreeMap<Endpoint, bool>,
}

/// Number of [`AttemptOutcome`]s.
pub const ATTEMPT_OUTCOMES: usize = 8;

/// What a node has met of one server, for those who plan for all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerObservation {
    /// The server.
    pub server: Endpoint,
    /// Its accomplishment at this node alone, in requests, faded.
    pub score: f64,
    /// Requests out to it.
    pub in_flight: u32,
    /// Its answers against the fleet's: 1 is usual.
    pub relative_latency: f64,
    /// Its share of failures, 0 to 1, recent ones counting most.
    pub failure_rate: f64,
    /// It is out of use here, for failures.
    pub ejected: bool,
    /// How many attempts ended in each way, by [`AttemptOutcome`] in its order.
    pub outcomes: [u32; ATTEMPT_OUTCOMES],
}

/// What one process of a node has learnt, for another one that takes over from it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Requests a second.
    pub rate: f64,
    /// The usual answer time of each class, and the number of answers that it is known from.
    pub classes: Vec<(Nanos, u32)>,
    /// How much longer than usual the fleet takes: 1 is usual.
    pub slowdown: f64,
    /// The fleet's share of failures, 0 to 1.
    pub failure_rate: f64,
    /// What is known of each server.
    pub servers: Vec<LearnedServer>,
}

/// What a process has learnt of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedServer {
    /// The server.
    pub server: Endpoint,
    /// Its accomplishment, in requests, faded.
    pub score: f64,
    /// Its answers against the fleet's: 1 is usual.
    pub relative_latency: f64,
    /// Its share of failures, 0 to 1.
    pub failure_rate: f64,
}

impl From<ServerObservation> for LearnedServer {
    fn from(o: ServerObservation) -> LearnedServer {
        LearnedServer { server: o.server, score: o.score, relative_latency: o.relative_latency, failure_rate: o.failure_rate }
    }
}

/// What a node tells its balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// What the process has learnt from which this one takes over.
    TakeOver(LearnedState),
    /// A plan for the whole fleet has come, or has aged.
    Plan(NodePlan),
    /// This node's part, from 0 to 1, of what is split among all nodes; else it is an even one by the settings.
    QuotaShare(f64),
    /// Requests are split between two pools from now on, or (`None`) no longer.
    TrafficSplit(Option<TrafficSplit>),
    /// The list service spoke.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        servers: Vec<Server>,
    },
    /// Operators have put a server back into use: it is to be tried soon.
    Reinstated {
        /// The server.
        server: Endpoint,
    },
    /// A client's request came in; it is owed exactly one final answer.
    Request(Request),
    /// An attempt ended; each send gets exactly one.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The server it was sent to.
        server: Endpoint,
        /// Attempt number, from 0 in the order of sending.
        attempt: u8,
        /// Nothing more is owed for the request.
        finished: bool,
        /// Time since it was sent.
        took: Nanos,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The server's load, where told.
        report: Option<LoadReport>,
    },
    /// The answer of a streamed request has begun.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Attempt number.
        attempt: u8,
        /// The server it was sent to.
        server: Endpoint,
        /// Time since it was sent.
        took: Nanos,
    },
    /// The client is gone; nothing more is owed.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A probe came back.
    Probed {
        /// The server.
        server: Endpoint,
        /// How it went.
        outcome: AttemptOutcome,
        /// How long it took.
        took: Nanos,
        /// The server's load, where told.
        report: Option<LoadReport>,
    },
    /// Bytes from another node.
    Message {
        /// The sender's number.
        from: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A timer asked for has run out.
    Timer {
        /// The token given with it.
        token: u32,
    },
}

/// What a balancer asks its node to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the server as its next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: Endpoint,
        /// The attempt's time-out; 0 means until the client gives up.
        timeout: Nanos,
    },
    /// Final answer: turned away, a repeat is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice when to come back; 0 for none.
        retry_after: Nanos,
    },
    /// Final answer: failed, with no word on its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Call off an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Attempt number.
        attempt: u8,
    },
    /// Check a server.
    Probe {
        /// The server.
        server: Endpoint,
    },
    /// Send bytes to another node, or to all when `to` is `None`.
    SendToPeer {
        /// The peer's number.
        to: Option<u32>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Open a standing subscription to list changes.
    Subscribe,
    /// Ask for the whole list once.
    FetchList,
    /// Wake the balancer with this token after this time.
    StartTimer {
        /// Time from now.
        after: Nanos,
        /// Comes back with the event.
        token: u32,
    },
    /// A line for the operator's log.
    Log {
        /// The text.
        text: String,
    },
}
