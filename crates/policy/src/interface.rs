//! The interface between a proxy node and its [`Balancer`](crate::Balancer): settings, events and actions.
//!
//! All times and durations are in nanoseconds. The node owns connections, clocks and timers; the balancer
//! only holds its model of the fleet.

use std::collections::BTreeMap;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
/// The node's number of a request; never reused.
pub type RequestId = u32;

/// The address that a server listens on. Order and value carry no meaning beyond identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoint {
    /// IPv4 address, first byte first.
    pub address: [u8; 4],
    /// TCP port.
    pub port: u16,
}

impl Endpoint {
    /// Rendezvous hash of the key and this server: the highest of a group is the same at every node.
    pub fn affinity(&self, key: u64) -> u64 {
        let id = (u64::from(u32::from_be_bytes(self.address)) << 16) | u64::from(self.port);
        let mixed = (id ^ key).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) >> 11
    }
}

/// A server's lifecycle phase, as the server list reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Ready,
    /// Finishes its requests; accepts no new ones.
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
    /// The server's zone, as an index into the node's zones.
    pub zone: u8,
    /// Machine kind, as an index.
    pub kind: u16,
    /// The group of servers that share deduplication state, as an index.
    pub cell: u16,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Relative capacity from the list; no unit, 0 if unknown.
    pub size: f32,
    /// When its process last started; 0 if long ago.
    pub started_at: Nanos,
}

impl Server {
    /// The share of its full capacity that a server has reached in slow start: it starts at `from` and is 1
    /// after `ramp`.
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

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Safe,
    /// Servers of one deduplication group drop repeats within a time window.
    Keyed,
    /// Must not run more than once.
    Unsafe,
}

/// The servers that share deduplication of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency up to which a response has its full value.
    pub latency_target: Nanos,
    /// How long a client waits over all its attempts.
    pub client_timeout: Nanos,
    /// Value of one request (or of a unit of its work, see [`Settings::value_per_work`]).
    pub value: f64,
    /// Share of the value that a response after the latency target keeps, 0 to 1.
    pub late_value: f64,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// For keyed classes: the servers that drop repeats.
    pub dedup_group: DedupGroup,
    /// For keyed classes: how long repeats are dropped, from the first attempt that may have run.
    pub dedup_window: Nanos,
    /// The response is a stream.
    pub stream: bool,
}

/// A load report of a server; each field is optional.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in progress.
    pub concurrent: Option<f32>,
    /// Requests that wait in its queue.
    pub queued: Option<f32>,
    /// CPU utilisation, 0 to 1.
    pub utilisation: Option<f32>,
    /// Recent service time without queueing, in milliseconds.
    pub service_ms: Option<f32>,
    /// Requests served per second.
    pub rate: Option<f32>,
    /// Errors per second.
    pub error_rate: Option<f32>,
}

/// A node's settings, fixed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The request classes; at least one.
    pub classes: Vec<Class>,
    /// Each tenant's quota in requests per second over all nodes; empty if there are no tenants.
    pub tenant_quota: Vec<f64>,
    /// Share of its value that a request beyond its tenant's quota keeps, 0 to 1.
    pub over_quota_value: f64,
    /// The value of a class is per unit of work and not per request.
    pub value_per_work: bool,
    /// The node's zone.
    pub zone: u8,
    /// The node's number in its group, from 0.
    pub ordinal: u32,
    /// Number of nodes in the group; at least one.
    pub group_size: u32,
    /// The server list is only sent to subscribers.
    pub must_subscribe: bool,
    /// A node that has neither a subscription nor fetched the list for this long is expected to act
    /// on every change published since.
    pub max_list_age: Nanos,
    /// Time after which no new request may go to a server that was reported as draining or removed.
    pub drain_grace: Nanos,
    /// Maximum number of attempts per request; at least one.
    pub max_attempts: u32,
    /// Two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Nodes may send each other messages.
    pub peers: bool,
    /// Refusals carry a retry-after time.
    pub retry_after: bool,
    /// The longest retry-after time that clients respect.
    pub max_retry_after: Nanos,
    /// A starting server has at least this share of its capacity; above 0, at most 1.
    pub initial_capacity: f64,
    /// Duration of slow start.
    pub ramp: Nanos,
    /// A server in slow start is overloaded by more than this multiple of its present capacity over
    /// `overload_window`.
    pub overload_multiple: f64,
    /// The time over which `overload_multiple` applies.
    pub overload_window: Nanos,
    /// Listed sizes are comparable between servers.
    pub sizes_known: bool,
    /// Servers that recently served a key do less work for it.
    pub key_affinity: bool,
    /// Cost of sending a request to another zone, as a share of 1.
    pub cross_zone_cost: f64,
}

impl Settings {
    /// Settings with one safe class for a plain site, as a starting point.
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

    /// The longest client timeout over all classes.
    pub fn longest_client_timeout(&self) -> Nanos {
        self.classes.iter().map(|c| c.client_timeout).max().unwrap_or(1)
    }

    /// Rejects settings that no node could act on, and names the offending one.
    pub fn validate(&self) -> Result<(), SettingsError> {
        // Errors use the names that operators know from the settings' keys, such as `aimNs` or `coldFrom`.
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

/// Why settings were rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A list must not be empty.
    #[error("setting `{0}` must not be empty")]
    Empty(&'static str),
    /// A value must be above zero.
    #[error("setting `{0}` must be above zero")]
    Zero(&'static str),
    /// A value must lie between 0 and 1.
    #[error("setting `{0}` must lie between 0 and 1")]
    NotAShare(&'static str),
    /// A value is out of its range.
    #[error("setting `{0}` is out of range")]
    OutOfRange(&'static str),
}

/// A client's request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// The node's number of the request.
    pub id: RequestId,
    /// The class, as an index into [`Settings::classes`].
    pub class: u8,
    /// The tenant, as an index into [`Settings::tenant_quota`].
    pub tenant: u32,
    /// Routing key, 0 for none.
    pub key: u64,
    /// When the client gives up this attempt.
    pub deadline: Nanos,
    /// Estimated work, as time on a standard core, if known.
    pub work_hint: Option<Nanos>,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// It is a write.
    pub is_write: bool,
    /// Its position on the hash while a [`TrafficSplit`] is active: positions below a pool's share belong
    /// to that pool.
    pub split_position: u32,
}

impl Request {
    /// Whether its position is within a share from 0 to 1: never at 0, always at 1.
    pub fn in_split_share(&self, share: f64) -> bool {
        f64::from(self.split_position) < share * 2f64.powi(32)
    }

    /// A first attempt of class 0 without tenant or key.
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

/// What the entries of a list event are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// All servers; those absent are removed.
    Full,
    /// All servers as last seen by an earlier process of this node, possibly out of date.
    Cached,
    /// A call to the list service failed or the subscription broke; the old list remains in effect.
    Failed,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Ok,
    /// The server returned an error; the request may have run.
    Error,
    /// Rejected unprocessed; it never ran.
    Rejected,
    /// No response in time; it may have run or may still run.
    TimedOut,
    /// No connection was established; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled by the node; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptOutcome {
    /// True if the attempt certainly never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// The part of a fleet-wide plan that concerns one node. Each replaces the previous one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodePlan {
    /// Weight of the plan, from 0 (the node decides on its own) to 1. It decreases with the plan's age.
    pub trust: f64,
    /// What the plan holds of servers; others in the list have a planned score of 0.
    pub servers: Vec<ServerPlan>,
    /// This node's part of each tenant's quota, in requests per second; tenants beyond its end have none
    /// planned.
    pub tenants: Vec<f64>,
    /// The rate of each class that this node may admit, in requests per second; classes beyond its end are
    /// unlimited.
    pub classes: Vec<f64>,
}

/// What a plan holds of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerPlan {
    /// The server.
    pub server: Endpoint,
    /// Its score summed over all nodes: a decaying count of requests.
    pub score: f64,
    /// Other nodes have seen failures there.
    pub suspected: bool,
    /// Requests per second that this node may send it in slow start; infinite if the plan sets no limit.
    pub slow_start_rate: f64,
}

/// How requests are split between two pools of servers during a traffic shift. Each replaces the previous
/// one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficSplit {
    /// Share of each class's requests, from 0 to 1, that is meant for the new pool; 0 for classes beyond
    /// its end.
    pub shares: Vec<f64>,
    /// The pool of each server, true for the new one. Servers in neither pool take any request.
    pub pools: BTreeMap<Endpoint, bool>,
}

/// Number of [`AttemptOutcome`]s.
pub const ATTEMPT_OUTCOMES: usize = 8;

/// What a node has observed of one server, for planners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerObservation {
    /// The server.
    pub server: Endpoint,
    /// Its score at this node alone: a decaying count of requests.
    pub score: f64,
    /// Requests in flight to it.
    pub in_flight: u32,
    /// Its latency relative to the fleet's: 1 is average.
    pub relative_latency: f64,
    /// Its failure rate, 0 to 1, in which recent outcomes count most.
    pub failure_rate: f64,
    /// It is ejected at this node because of failures.
    pub ejected: bool,
    /// Number of attempts per [`AttemptOutcome`], in its order.
    pub outcomes: [u32; ATTEMPT_OUTCOMES],
}

/// State that one process of a node has learned, for another one that takes over from it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Requests per second.
    pub rate: f64,
    /// Mean latency of each class, and the number of responses it is based on.
    pub classes: Vec<(Nanos, u32)>,
    /// Response times of the fleet relative to their mean: 1 is average.
    pub slowdown: f64,
    /// The fleet's failure rate, 0 to 1.
    pub failure_rate: f64,
    /// The state of each server.
    pub servers: Vec<LearnedServer>,
}

/// State that a process has learned of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedServer {
    /// The server.
    pub server: Endpoint,
    /// Its score: a decaying count of requests.
    pub score: f64,
    /// Its latency relative to the fleet's: 1 is average.
    pub relative_latency: f64,
    /// Its failure rate, 0 to 1.
    pub failure_rate: f64,
}

impl From<ServerObservation> for LearnedServer {
    fn from(o: ServerObservation) -> LearnedServer {
        LearnedServer {
            server: o.server,
            score: o.score,
            relative_latency: o.relative_latency,
            failure_rate: o.failure_rate,
        }
    }
}

/// An event that a node passes to its balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The state learned by the process that this one takes over from.
    TakeOver(LearnedState),
    /// A fleet-wide plan was received, or its weight has changed with its age.
    Plan(NodePlan),
    /// This node's share, from 0 to 1, of quotas that are split among all nodes; initially an even share by
    /// the settings.
    QuotaShare(f64),
    /// Requests are split between two pools from now on, or (`None`) no longer.
    Split(Option<TrafficSplit>),
    /// The list service sent an update or failed.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        servers: Vec<Server>,
    },
    /// Operators have put a server back into use; it gets a trial request soon.
    Reinstated {
        /// The server.
        server: Endpoint,
    },
    /// A client's request arrived; it gets exactly one final response.
    Request(Request),
    /// An attempt ended; there is exactly one such event per [`Action::Send`].
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The server it was sent to.
        server: Endpoint,
        /// Attempt number, from 0 in the order of sending.
        attempt: u8,
        /// The request needs no further response.
        finished: bool,
        /// Time since the attempt was sent.
        took: Nanos,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The server's load report, if any.
        report: Option<LoadReport>,
    },
    /// The response of a streamed request has begun.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Attempt number.
        attempt: u8,
        /// The server it was sent to.
        server: Endpoint,
        /// Time since the attempt was sent.
        took: Nanos,
    },
    /// The client disconnected and needs no response.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A probe ended.
    Probed {
        /// The server.
        server: Endpoint,
        /// How it ended.
        outcome: AttemptOutcome,
        /// How long it took.
        took: Nanos,
        /// The server's load report, if any.
        report: Option<LoadReport>,
    },
    /// A message from another node.
    Message {
        /// The sender's number.
        from: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A requested timer has expired.
    Timer {
        /// The token it was started with.
        token: u32,
    },
}

/// What a balancer requests its node to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the server as its next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: Endpoint,
        /// The attempt's timeout; 0 means until the client's deadline.
        timeout: Nanos,
    },
    /// Final response: refused; a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Suggested time until a retry; 0 for none.
        retry_after: Nanos,
    },
    /// Final response: failed; the request may or may not have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Attempt number.
        attempt: u8,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: Endpoint,
    },
    /// Send a message to another node, or to all if `to` is `None`.
    SendToPeer {
        /// The number of the receiving node.
        to: Option<u32>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Subscribe to server list changes.
    Subscribe,
    /// Fetch the full server list once.
    FetchList,
    /// Send a timer event with this token after this time.
    StartTimer {
        /// Time from now.
        after: Nanos,
        /// Returned in the event.
        token: u32,
    },
    /// Log a line for operators.
    Log {
        /// The text.
        text: String,
    },
}
