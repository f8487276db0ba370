//! A planner's side: the list in, changes of services out, and where each change is in force.
//!
//! All state is soft. Work follows changes: one of a server costs what the subscribers of its slice cost, a forwarder's
//! word costs what it names, and a beat costs its message. Nothing walks over all services, servers or forwarders but a
//! whole list, which names them all.

mod force;
mod forwarders;
mod hints;
mod list;
mod slice;
mod stream;

pub use slice::MAX_REMOVED;
pub use stream::{ACK_TIMEOUT, FRAMING_BYTES, MAX_UPDATE_BYTES};

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
/// Services held at most.
pub const MAX_SERVICES: usize = 50_000;
/// Servers held at most.
pub const MAX_SERVERS: usize = 1_000_000;
/// Services that one server may serve.
const MOST_SERVED: usize = 64;
/// Services that one forwarder may subscribe to.
pub const MAX_SUBSCRIPTIONS: usize = 16_384;
/// A forwarder that has connected says anew what it wants, and when that was all; what it has not named again by then, or
/// within this, it no longer wants.
const ANEW: Nanos = 30 * S;
/// A forwarder that is lost lags for so long; then it is no longer one of the fleet.
pub const FORWARDER_EXPIRY: Nanos = 600 * S;
/// A forwarder that holds a later list than this planner keeps it; where this planner's list does not come up to it within this,
/// the source has lost its versions, and the earlier one counts.
pub const STALE_LIST_TIMEOUT: Nanos = 10 * S;
/// Changes of the list whose being in force is followed.
const MOST_RECORDS: usize = 4_096;
/// Changes that one subscription may owe; of further ones the first are never counted as in force there.
const MOST_OWED: usize = 256;
/// Something is said to each forwarder at least this often.
pub const HEARTBEAT_INTERVAL: Nanos = 1_000 * MS;

/// What a publisher is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The installation.
    pub site: String,
    /// When this life began, Unix time in milliseconds: of two lives the later one counts.
    pub incarnation: u64,
    /// Planners of this installation, running or not.
    pub planners: u32,
    /// Forwarders that this planner takes at most; further ones are sent to another.
    pub max_forwarders: usize,
    /// Bytes a second to one forwarder.
    pub bytes_per_second: f64,
    /// Bytes beyond that at once, after a rest.
    pub burst: f64,
    /// The same for drains and leavings, which go ahead of all else.
    pub drain_bytes_per_second: f64,
    /// See `drain_bytes_per_second`.
    pub drain_burst: f64,
}

/// One server of the list, with the services that it serves; none is the service without a name.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The services.
    pub services: Vec<String>,
    /// The server.
    pub member: Member,
}

/// What of a list could not be taken in, for the log: nothing is dropped in silence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Servers beyond the limit.
    pub servers: usize,
    /// Services beyond the limit.
    pub services: usize,
    /// Names that are too long or empty.
    pub names: usize,
}

/// Word of a forwarder that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// Nobody of this name has joined.
    #[error("`{0}` has not joined")]
    NotConnected(String),
    /// There are as many forwarders as this planner takes.
    #[error("{0} forwarders are here already")]
    AtCapacity(usize),
    /// A name is empty or too long.
    #[error("a name of {0} bytes")]
    InvalidName(usize),
    /// More interests than one forwarder may have.
    #[error("over {0} services for one forwarder")]
    TooManySubscriptions(usize),
    /// It has acknowledged nothing for too long.
    #[error("nothing was acknowledged for {0} s")]
    Unresponsive(u64),
    /// A report makes no sense.
    #[error("{0}")]
    Report(#[from] ReportError),
}

/// Where a change of the list is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutStatus {
    /// When the list told it.
    pub listed_at: Nanos,
    /// Forwarders that use what it changed, counted once a service.
    pub subscriptions: usize,
    /// Those of them that have acknowledged it.
    pub acknowledged: usize,
    /// When the last of them had, if all have.
    pub completed_at: Option<Nanos>,
    /// Some of those that lag, and why.
    pub lagging: Vec<(String, LagReason)>,
}

/// Why a forwarder lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagReason {
    /// It is not connected, since then.
    Disconnected(Nanos),
    /// It has been sent the change and has not acknowledged it.
    Unacknowledged,
    /// Its bytes are used up for now.
    Throttled,
    /// It holds a later list than this planner.
    NewerList,
}

/// Counts for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Services held.
    pub services: usize,
    /// Servers held.
    pub servers: usize,
    /// Forwarders connected.
    pub forwarders: usize,
    /// Subscriptions of all forwarders.
    pub subscriptions: usize,
    /// Servers that have left and are still remembered, counted once a service.
    pub removed_servers: usize,
    /// Wholes sent so far.
    pub snapshots: u64,
    /// Updates sent so far.
    pub updates: u64,
    /// Bytes of updates sent so far.
    pub bytes: u64,
    /// Servers and subscriptions looked at so far: what changes cost, counted.
    pub steps: u64,
}

#[derive(Clone, Debug)]
struct Server {
    member: Member,
    services: Vec<u32>,
    digest: u64,
    /// The whole list that last named it.
    named: u64,
    standing: ReportSummary,
}

/// How far one forwarder has been told of one slice.
#[derive(Clone, Debug)]
struct Subscription {
    slice: usize,
    /// All changes up to this one have been sent.
    sent: (u64, Option<Name>),
    /// Of those that take nothing new, all up to this one.
    ahead: (u64, Option<Name>),
    /// The version that it holds once all that was sent is taken in; `None` until a whole is.
    held: Option<u64>,
    /// A whole is under way, begun at this version.
    whole: Option<u64>,
    /// What it holds has this digest and is what the slice had; it only has to be told the version.
    same: Option<u64>,
    /// Hints up to this number have been sent.
    hinted: u64,
    acknowledged: Option<u64>,
    /// Changes that it has not acknowledged: the slice's version and the batch.
    owes: VecDeque<(u64, u64)>,
    /// Nothing is sent before the list has come to this version, or until then.
    later: Option<(ListVersion, Nanos)>,
    /// It has not been named since the forwarder connected.
    stale: bool,
    /// The number of subscribers that it was told last.
    told: u32,
}

#[derive(Clone, Debug)]
struct Forwarder {
    name: String,
    zone: u8,
    /// Since when it is not connected.
    left_at: Option<Nanos>,
    /// When it last connected.
    joined_at: Nanos,
    subscriptions: BTreeMap<u32, Subscription>,
    /// Services of which it has been told nothing yet, in the order in which it named them.
    fresh: VecDeque<u32>,
    /// Services of which there is more to tell.
    dirty: BTreeSet<u32>,
    /// The service that was told of last, for taking turns.
    turn: u32,
    /// Services with drains or leavings that it has not been told of.
    urgent: BTreeSet<u32>,
    /// Services with hints that it has not been told of.
    hints: BTreeSet<u32>,
    /// Services that it has asked for and that do not exist.
    absent: BTreeSet<String>,
    /// What it wants, as long as there is no list to tell of.
    early: Vec<Interest>,
    /// What it has followed of the list, as it came; kept as long as there is no list here.
    followed: Vec<VersionDigest>,
    /// How far its epochs are ahead of the own ones; not known before it has said what it has followed.
    epochs_ahead: Option<i64>,
    /// Servers that it has reported on.
    reported: BTreeSet<Name>,
    tokens: f64,
    drain_tokens: f64,
    tokens_at: Nanos,
    number: u64,
    /// Updates that are not acknowledged: number, when, and the versions that they bring.
    under_way: VecDeque<UnderWay>,
    sent_at: Nanos,
}

/// Services, and for each the version that is held once an update is taken in, where it brings one.
type Versions = Vec<(u32, Option<u64>)>;

/// An update that is not acknowledged: its number, when it was sent, and what it brings.
type UnderWay = (u64, Nanos, Versions);

/// Where a change of the list is on its way.
#[derive(Clone, Debug)]
struct Record {
    listed_at: Nanos,
    source: u64,
    /// Service, slice, and how many slices there were.
    touched: Vec<(u32, usize, usize)>,
    /// Subscriptions that have not acknowledged it.
    waiting: usize,
    since: Option<Nanos>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// What a forwarder has not named again.
    Stale(u32),
    /// A lost forwarder.
    Forget(u32),
    /// A forwarder that holds a later list.
    Later(u32),
    /// Servers that were closed by others' word.
    Overruled,
}

/// One planner's services and their subscribers.
#[derive(Clone, Debug)]
pub struct Publisher {
    settings: Settings,
    source: Option<ListVersion>,
    /// Versions of the list that were told here.
    history: History,
    /// The digest of the list as it was told, whatever others' word says of its servers.
    list_digest: u64,
    servers: BTreeMap<Name, Server>,
    services: BTreeMap<u32, Service>,
    by_name: BTreeMap<Name, u32>,
    next_service: u32,
    forwarders: BTreeMap<u32, Forwarder>,
    forwarder_ids: BTreeMap<String, u32>,
    next_forwarder: u32,
    connected: usize,
    /// Forwarders that wait for the list to come to a version.
    waiting: BTreeSet<u32>,
    /// Changes of the list by the batch that took them in, and the batch of each version: versions may come again.
    records: BTreeMap<u64, Record>,
    batches: BTreeMap<u64, u64>,
    /// Servers that are closed here by others' word of a later list, as the own list has them, and until when that counts.
    overruled: BTreeMap<Name, (Nanos, ListedServer)>,
    due: BTreeSet<(Nanos, Due)>,
    stirred: BTreeSet<u32>,
    batch: u64,
    /// Counts what is said of servers.
    hint: u64,
    stats: Stats,
}

impl Publisher {
    /// A publisher that knows nothing yet. It says nothing of services before the first list.
    pub fn new(_now: Nanos, settings: Settings) -> Self {
        Publisher {
            settings,
            source: None,
            history: History::new(MOST_RECORDS),
            list_digest: 0,
            servers: BTreeMap::new(),
            services: BTreeMap::new(),
            by_name: BTreeMap::new(),
            next_service: 0,
            forwarders: BTreeMap::new(),
            forwarder_ids: BTreeMap::new(),
            next_forwarder: 0,
            connected: 0,
            waiting: BTreeSet::new(),
            records: BTreeMap::new(),
            batches: BTreeMap::new(),
            overruled: BTreeMap::new(),
            due: BTreeSet::new(),
            stirred: BTreeSet::new(),
            batch: 0,
            hint: 0,
            stats: Stats::default(),
        }
    }

    /// The version of the list that it goes by.
    pub fn source(&self) -> Option<u64> {
        self.source.map(|source| source.number)
    }

    /// The same with the epoch of that version.
    pub fn list_version(&self) -> Option<ListVersion> {
        self.source
    }

    /// Counts for measurements. Walks over all services.
    pub fn stats(&self) -> Stats {
        let subscriptions = self.forwarders.values().map(|f| f.subscriptions.len()).sum();
        let slices = self.services.values().flat_map(|s| &s.slices);
        Stats {
            removed_servers: slices.map(|s| s.rows.len() - s.size).sum(),
            services: self.services.values().filter(|service| !service.unused()).count(),
            servers: self.servers.len(),
            forwarders: self.connected,
            subscriptions,
            ..self.stats
        }
    }

    /// A service's servers, by name, as this planner has them, for those who look on.
    pub fn members_of(&self, service: &str) -> Vec<&Member> {
        let slices = self.by_name.get(service).and_then(|id| self.services.get(id)).map(|s| &s.slices[..]);
        let there = slices.unwrap_or_default().iter().flat_map(|s| &s.rows).filter(|(_, row)| row.there);
        there.filter_map(|(name, _)| self.servers.get(name)).map(|s| &s.member).collect()
    }

    /// The servers that a forwarder is to hold of a service, by name, for those who look on; `None` where it has not
    /// subscribed to it.
    pub fn assigned_members(&self, forwarder: &str, service: &str) -> Option<Vec<&Member>> {
        let f = self.forwarders.get(self.forwarder_ids.get(forwarder)?)?;
        let id = self.by_name.get(service)?;
        let slice = self.services.get(id)?.slices.get(f.subscriptions.get(id)?.slice)?;
        let there = slice.rows.iter().filter(|(_, row)| row.there);
        Some(there.filter_map(|(name, _)| self.servers.get(name)).map(|s| &s.member).collect())
    }

    /// What time brings; to be called some times a second. Costs what is due.
    pub fn poll(&mut self, now: Nanos) {
        while let Some(&(at, due)) = self.due.first() {
            if at > now {
                break;
            }
            self.due.pop_first();
            match due {
                Due::Stale(id) => self.withdraw_stale(now, id),
                Due::Forget(id) => {
                    let long = |f: &Forwarder| {
                        f.left_at.is_some_and(|at| now.saturating_sub(at) >= FORWARDER_EXPIRY)
                    };
                    if self.forwarders.get(&id).is_some_and(long) {
                        self.forget(now, id);
                    }
                }
                Due::Later(id) => self.look_at_later(now, id),
                Due::Overruled => self.look_at_overruled(now),
            }
        }
    }

    /// A forwarder that held a later list is told where this one's has come up to it, or has insisted for long enough.
    pub(super) fn look_at_later(&mut self, now: Nanos, id: u32) {
        let source = self.source.unwrap_or_default();
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        let mut waits = false;
        for (service, s) in &mut f.subscriptions {
            if s.later.is_some_and(|(version, until)| version <= source || until <= now) {
                s.later = None;
                f.dirty.insert(*service);
                f.urgent.insert(*service);
                self.stirred.insert(id);
            }
            waits |= s.later.is_some();
        }
        if !waits {
            self.waiting.remove(&id);
        }
    }

    /// Names of the forwarders for whom there is news since the last call.
    pub fn take_ready_forwarders(&mut self) -> Vec<String> {
        let stirred = std::mem::take(&mut self.stirred);
        stirred.iter().filter_map(|f| self.forwarders.get(f)).map(|f| f.name.clone()).collect()
    }
}

impl Subscription {
    /// Nothing told yet: the whole is to come.
    fn whole(slice: usize) -> Subscription {
        Subscription {
            slice,
            sent: (0, None),
            ahead: (0, None),
            held: None,
            whole: None,
            same: None,
            hinted: 0,
            acknowledged: None,
            owes: VecDeque::new(),
            later: None,
            stale: false,
            told: 0,
        }
    }

    /// It holds this version.
    fn resume(&mut self, version: u64) {
        self.sent = (version + 1, None);
        self.ahead = (version + 1, None);
        self.held = Some(version);
        self.acknowledged = Some(version);
    }
}
