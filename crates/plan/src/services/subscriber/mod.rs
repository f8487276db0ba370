//! A forwarder's side: the services that its requests name, held as one planner tells them.
//!
//! What is held outlives its planner: a connection that ends takes nothing away, and the next planner is told what is held.
//! What is in use is never dropped to make room; what strangers name and does not exist takes room of its own.

mod choice;
mod held;
mod words;

use super::publisher::{FRAMING_BYTES, HEARTBEAT_INTERVAL};
use crate::follower::PlannedServer;
use crate::member::{Member, MAX_NAME_BYTES};
use crate::services::list_version::{History, ListVersion, VersionDigest};
use crate::wire::{
    Chunk, ClosedServer, RejectReason, RejectedService, ServiceChanges, Subscribe, Update, UpdateAck,
};
use choice::Choice;
use held::{Held, Left};
use laurelroute_policy::interface::{Nanos, Phase};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
/// Services that have been asked for and of which nothing has come yet. They are none of those that are held.
pub const MAX_PENDING_SERVICES: usize = 1_024;
/// A service of which nothing has come for so long, and that nobody asks for, is forgotten.
const WAITS: Nanos = 10 * S;
/// Names of services that do not exist.
pub const MAX_UNKNOWN_SERVICES: usize = 4_096;
/// A use is noted at most this often: what is least used is told by seconds.
const USE_STEP: Nanos = S;
/// A planner whose list is earlier than what is held is believed after this: its source has lost its versions.
const STALE_LIST_TIMEOUT: Nanos = 9 * S;
/// Before a service is asked for again that its planner has refused to know, or told badly.
const AGAIN: Nanos = 5 * S;
/// Bytes that a server takes here, about: in these tables, in the decision module and at the sockets.
const SERVER_BYTES: usize = 1_200;
/// Bytes that a service takes beside its servers.
const SERVICE_BYTES: usize = 8_000;

/// Versions of the list that a forwarder remembers, and the time between two of them: together well over the time by which
/// one planner's list is later than another's.
pub const MAX_VERSION_HISTORY: usize = 24;
const FOLLOW_STEP: Nanos = 400 * MS;

/// A planner that has said nothing for so long is taken for lost: well above the beats that one misses which is met by a
/// third of all forwarders at once.
pub const PLANNER_SILENCE_TIMEOUT: Nanos = 6 * HEARTBEAT_INTERVAL;

/// What a subscriber is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This forwarder.
    pub name: String,
    /// The installation.
    pub site: String,
    /// The planners, known by their place here.
    pub planners: Vec<String>,
    /// Services held at most.
    pub max_services: usize,
    /// Bytes that they may take at most, about.
    pub max_bytes: usize,
    /// A service that no request has named for so long is dropped.
    pub unused_timeout: Nanos,
    /// That a service does not exist is remembered for so long.
    pub unknown_ttl: Nanos,
    /// Bytes a second that it says.
    pub bytes_per_second: f64,
    /// Bytes beyond that at once, after a rest.
    pub burst: f64,
    /// Bytes a second that it takes; a planner that it comes to hears how many are left.
    pub receive_bytes_per_second: f64,
    /// Bytes beyond that at once, after a rest.
    pub receive_burst: f64,
    /// Settles how it is spread out in time.
    pub seed: u64,
}

/// How a service stands here as a request names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceStatus {
    /// Its servers are known: the request may go on.
    Available,
    /// It has been subscribed to, and nothing has come yet.
    Pending,
    /// There is no such service.
    Unknown,
    /// There is no room for it: all that is held is in use.
    AtCapacity,
}

/// What has changed for who sends requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Servers of a service that are new, changed, or gone (by their phase).
    Members {
        /// The service.
        service: String,
        /// The servers that have changed.
        members: Vec<Member>,
        /// Forwarders that use the service, all planners together, at least: the larger count of the last minute.
        subscribers: u32,
    },
    /// What others have met of a service's servers; all that is said of them, each replaces the one before.
    Hints {
        /// The service.
        service: String,
        /// By server.
        words: Vec<PlannedServer>,
    },
    /// There is no such service: requests that wait for it are answered so.
    Unknown(String),
    /// A service is no longer held; requests of it are none under way.
    Dropped(String),
}

/// Counts for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Services held.
    pub services: usize,
    /// Servers held in them.
    pub servers: usize,
    /// Bytes that they take, about.
    pub bytes: usize,
    /// Services known not to exist.
    pub unknown: usize,
    /// Bytes of updates received and of words sent so far.
    pub received: u64,
    /// See `received`.
    pub sent: u64,
}

/// A forwarder's subscriptions.
#[derive(Clone, Debug)]
pub struct Subscriber {
    settings: Settings,
    services: BTreeMap<String, Held>,
    /// Requests under way by service. A request may outlast what was held of its service as it began: counted there, its end
    /// would be taken off those of a later holding.
    under_way: BTreeMap<String, u32>,
    /// Services by when they were last used.
    by_use: BTreeSet<(Nanos, String)>,
    waiting: usize,
    servers: usize,
    bytes: usize,
    /// Names of services that do not exist, and until when that counts.
    unknown: BTreeMap<String, Nanos>,
    unknown_order: VecDeque<(Nanos, String)>,
    choice: Choice,
    /// Services that the planner is to be asked for, the first ones first.
    to_ask: VecDeque<String>,
    /// Services that it is to be told are no longer wanted.
    unwanted: BTreeSet<String>,
    /// Services that are to be asked for again then.
    again: BTreeSet<(Nanos, String)>,
    /// Servers that have left, for a planner with an earlier list.
    left: VecDeque<Left>,
    say_closed: bool,
    /// Versions of the list that planners went by, and when the last was noted.
    history: History,
    noted_at: Nanos,
    /// The planner has not been told yet how many bytes are left.
    say_allowance: bool,
    /// The planner has not been told yet that it has heard of all that is wanted.
    say_all: bool,
    tokens: f64,
    takes: f64,
    tokens_at: Nanos,
    changed: BTreeMap<String, held::Changed>,
    ended: Vec<Change>,
    reported: BTreeMap<String, (f32, bool)>,
    stats: Stats,
}

impl Subscriber {
    /// A forwarder that holds nothing yet.
    pub fn new(now: Nanos, settings: Settings) -> Self {
        Subscriber {
            choice: Choice::new(now, &settings.name, &settings.planners, settings.seed),
            tokens: settings.burst,
            takes: settings.receive_burst,
            tokens_at: now,
            settings,
            services: BTreeMap::new(),
            under_way: BTreeMap::new(),
            by_use: BTreeSet::new(),
            waiting: 0,
            servers: 0,
            bytes: 0,
            unknown: BTreeMap::new(),
            unknown_order: VecDeque::new(),
            to_ask: VecDeque::new(),
            unwanted: BTreeSet::new(),
            again: BTreeSet::new(),
            left: VecDeque::new(),
            history: History::new(MAX_VERSION_HISTORY),
            noted_at: now,
            say_closed: false,
            say_allowance: false,
            say_all: false,
            changed: BTreeMap::new(),
            ended: Vec::new(),
            reported: BTreeMap::new(),
            stats: Stats::default(),
        }
    }

    // ---- Requests ----

    /// A request names this service: it is subscribed to where it is not, and counts as used now.
    pub fn lookup(&mut self, now: Nanos, service: &str) -> ServiceStatus {
        if let Some(held) = self.services.get_mut(service) {
            if now.saturating_sub(held.used_at) >= USE_STEP {
                self.by_use.remove(&(held.used_at, service.to_owned()));
                held.used_at = now;
                self.by_use.insert((now, service.to_owned()));
            }
            return if held.known { ServiceStatus::Available } else { ServiceStatus::Pending };
        }
        if self.unknown.get(service).is_some_and(|until| now < *until) {
            return ServiceStatus::Unknown;
        }
        if service.len() > MAX_NAME_BYTES {
            return ServiceStatus::Unknown;
        }
        if self.waiting >= MAX_PENDING_SERVICES {
            return ServiceStatus::AtCapacity;
        }
        self.unwanted.remove(service);
        self.services.insert(service.to_owned(), Held::new(now));
        self.by_use.insert((now, service.to_owned()));
        self.waiting += 1;
        self.to_ask.push_back(service.to_owned());
        ServiceStatus::Pending
    }

    /// A request of this service is under way (also while it waits): the service is not dropped before it has `request_finished`.
    pub fn request_started(&mut self, service: &str) {
        *self.under_way.entry(service.to_owned()).or_insert(0) += 1;
    }

    /// A request of this service is no longer under way.
    pub fn request_finished(&mut self, _now: Nanos, service: &str) {
        let Some(requests) = self.under_way.get_mut(service) else { return };
        *requests -= 1;
        if *requests == 0 {
            self.under_way.remove(service);
            // What could not be dropped may be now.
            self.make_room(service);
        }
    }

    // ---- Planners ----

    /// The planner to connect to now, if there is one: to be asked some times a second. Until `connected` or `connect_failed` is
    /// told for it, no other is named. One that is connected already may be left for a better one: `connected` then
    /// replaces it, and the connection to the former is to be closed once `leave_message` is sent there.
    pub fn try_next(&mut self, now: Nanos) -> Option<usize> {
        self.choice.try_next(now)
    }

    /// The planner has greeted: it is the one that is spoken with from now on.
    pub fn connected(&mut self, now: Nanos, planner: usize, life: u64) {
        self.choice.connected(now, planner, life);
        // All of it is asked for anew, what was used last first; the planner knows by the version held what is lacking.
        self.unwanted.clear();
        self.again.clear();
        self.to_ask = self.by_use.iter().rev().map(|(_, service)| service.clone()).collect();
        self.services.values_mut().for_each(|held| held.whole = None);
        (self.say_closed, self.say_allowance, self.say_all) = (false, true, true);
        self.reported.clear();
    }

    /// It could not be reached.
    pub fn connect_failed(&mut self, now: Nanos, planner: usize) {
        self.choice.connect_failed(now, planner);
    }

    /// It was reached, and had no room or no time: it is left in peace for longer.
    pub fn planner_at_capacity(&mut self, now: Nanos, planner: usize) {
        self.choice.planner_at_capacity(now, planner);
    }

    /// The connection to it is lost. All that is held stays.
    pub fn connection_lost(&mut self, now: Nanos, planner: usize) {
        self.choice.connection_lost(now, planner);
    }

    /// The planner that it is connected to.
    pub fn planner(&self) -> Option<usize> {
        self.choice.planner()
    }

    /// What to say to a planner that is left on purpose.
    pub fn leave_message() -> Subscribe {
        Subscribe { leaving: true, ..Subscribe::default() }
    }

    // ---- What the planner says ----

    /// Takes in an update, service by service; what is refused changes nothing. `None` where it needs no answer.
    pub fn receive(&mut self, now: Nanos, planner: usize, update: &Update) -> Option<UpdateAck> {
        self.refill(now);
        let size = update.encoded_len() + FRAMING_BYTES;
        self.stats.received += size as u64;
        self.takes -= size as f64;
        let life = self.choice.heard(now, planner)?;
        // A planner that does not count epochs is compared by its numbers alone.
        let epoch = if update.epoch == 0 { self.newest().epoch } else { update.epoch };
        let source = ListVersion { epoch, number: update.source };
        let because = match () {
            () if update.site != self.settings.site => RejectReason::OtherSite,
            () if update.incarnation != life => RejectReason::StaleIncarnation,
            () => RejectReason::Accepted,
        };
        // What cannot be read is not acknowledged: the planner ends a connection on which that goes on.
        let services = update.unpacked().ok()?;
        let mut refused: BTreeMap<&str, RejectReason> = BTreeMap::new();
        for changes in &services {
            let taken = match because {
                RejectReason::Accepted => self.take(now, (update.incarnation, source), changes),
                _ => Err(because),
            };
            if taken.is_err() && changes.chunk() == Chunk::Unknown {
                // It is said once: it is asked for again, until it is known or believed.
                self.again.insert((now + AGAIN, changes.service.clone()));
            }
            if let Err(because) = taken {
                refused.insert(&changes.service, because);
            }
        }
        if because == RejectReason::Accepted && update.epoch > 0 {
            self.follow(now, VersionDigest { version: source, digest: update.list_digest });
            self.say_closed |= source < self.newest() && !self.choice.insists(now, STALE_LIST_TIMEOUT);
        }
        let refused = refused.into_iter();
        let refused =
            refused.map(|(s, b)| RejectedService { service: s.to_owned(), reason: b as i32 }).collect();
        let answer = UpdateAck { incarnation: update.incarnation, number: update.number, refused };
        if update.number == 0 {
            return None;
        }
        let size = answer.encoded_len() + FRAMING_BYTES;
        self.stats.sent += size as u64;
        self.tokens -= size as f64;
        Some(answer)
    }

    /// Notes a version of the list that the planner goes by, some times a second and where the epoch changes.
    fn follow(&mut self, now: Nanos, seen: VersionDigest) {
        let last = self.history.iter().next_back().map(|last| last.version.epoch);
        if last != Some(seen.version.epoch) || now >= self.noted_at + FOLLOW_STEP {
            self.history.push(seen);
            self.noted_at = now;
        }
    }

    /// The latest list of which anything here was made.
    fn newest(&self) -> ListVersion {
        self.choice.newest
    }

    fn take(
        &mut self,
        now: Nanos,
        (life, source): (u64, ListVersion),
        changes: &ServiceChanges,
    ) -> Result<(), RejectReason> {
        let insists = self.choice.insists(now, STALE_LIST_TIMEOUT);
        let planners = self.settings.planners.len().max(1) as u32;
        // Dropped since it was asked for: it does not count as in force here.
        let Some(held) = self.services.get_mut(&changes.service) else {
            return Err(RejectReason::NotSubscribed);
        };
        if held.life != life && source < held.source && !insists {
            return Err(RejectReason::StaleMembership);
        }
        let was = (held.known, held.servers.len());
        if changes.chunk() == Chunk::Unknown {
            self.no_such(now, &changes.service);
            return Ok(());
        }
        let changed = self.changed.entry(changes.service.clone()).or_default();
        let taken = held.take(now, (life, source), changes, changed, &mut self.left);
        if held.known {
            held.count(now, changes.subscribers.saturating_mul(planners), changed);
        }
        let is = (held.known, held.servers.len());
        self.count(was, is);
        if taken.is_ok() {
            self.choice.newest = self.choice.newest.max(source);
        }
        self.make_room(&changes.service);
        taken
    }

    fn count(&mut self, (known, servers): (bool, usize), (knows, has): (bool, usize)) {
        self.servers = self.servers + has - servers;
        self.bytes = self.bytes + has * SERVER_BYTES - servers * SERVER_BYTES;
        if knows && !known {
            self.waiting -= 1;
            self.bytes += SERVICE_BYTES;
        }
    }

    /// There is no such service (any longer).
    fn no_such(&mut self, now: Nanos, service: &str) {
        let Some(held) = self.services.get_mut(service) else { return };
        if self.under_way.contains_key(service) && held.known {
            // Its requests are still under way: it stays, empty, and is asked for again.
            let changed = self.changed.entry(service.to_owned()).or_default();
            let was = (held.known, held.servers.len());
            held.empty(now, changed, &mut self.left);
            self.count(was, (true, 0));
            self.again.insert((now + AGAIN, service.to_owned()));
            return;
        }
        let known = held.known;
        self.remove(service);
        self.unwanted.remove(service);
        self.ended.push(if known {
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

    /// Keeps to the bounds by dropping what is least used and has no request under way; never for one that is in use. Where
    /// there is nothing to drop, the one that has just come goes.
    fn make_room(&mut self, newcomer: &str) {
        let over = |s: &Self| {
            s.services.len() - s.waiting > s.settings.max_services || s.bytes > s.settings.max_bytes
        };
        while over(self) {
            let idle = |(_, name): &&(Nanos, String)| name != newcomer && self.rests(name);
            let least = self.by_use.iter().find(idle).map(|(_, name)| name.clone());
            let Some(least) = least.or_else(|| self.rests(newcomer).then(|| newcomer.to_owned())) else {
                return;
            };
            self.drop_service(&least);
        }
    }

    /// Whether a service is held and no request of it is under way.
    fn rests(&self, service: &str) -> bool {
        let known = self.services.get(service).is_some_and(|held| held.known);
        known && !self.under_way.contains_key(service)
    }

    fn drop_service(&mut self, service: &str) {
        let Some(held) = self.remove(service) else { return };
        self.unwanted.insert(service.to_owned());
        if held.known {
            self.ended.push(Change::Dropped(service.to_owned()));
        } else {
            self.ended.push(Change::Unknown(service.to_owned()));
        }
    }

    fn remove(&mut self, service: &str) -> Option<Held> {
        let held = self.services.remove(service)?;
        self.by_use.remove(&(held.used_at, service.to_owned()));
        self.changed.remove(service);
        self.servers -= held.servers.len();
        self.bytes -= held.servers.len() * SERVER_BYTES;
        match held.known {
            true => self.bytes -= SERVICE_BYTES,
            false => self.waiting -= 1,
        }
        Some(held)
    }

    // ---- Time ----

    /// What time brings; to be called some times a second. Costs what is due.
    pub fn poll(&mut self, now: Nanos) {
        self.refill(now);
        while self.unknown_order.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_unknown();
        }
        let due = |(at, _): &&(Nanos, String)| *at <= now;
        while let Some((at, service)) = self.again.first().filter(due).cloned() {
            self.again.remove(&(at, service.clone()));
            if self.services.contains_key(&service) {
                self.to_ask.push_back(service);
            }
        }
        // Those that wait are used for less long than the others: both are looked for from the least used on.
        let wait = WAITS.min(self.settings.unused_timeout);
        let old = self.by_use.iter().take_while(|(at, _)| now.saturating_sub(*at) >= wait);
        let gone = |(at, name): &&(Nanos, String)| {
            let long = now.saturating_sub(*at) >= self.settings.unused_timeout;
            let idle = !self.under_way.contains_key(name);
            idle && self.services.get(name).is_some_and(|h| long || !h.known)
        };
        let old: Vec<String> = old.take(LOOKED_AT).filter(gone).map(|(_, name)| name.clone()).collect();
        old.iter().for_each(|service| self.drop_service(service));
    }

    /// What has changed since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        for (service, changed) in std::mem::take(&mut self.changed) {
            let Some(held) = self.services.get(&service) else { continue };
            changes.extend(held.told(service, changed));
        }
        changes.append(&mut self.ended);
        changes
    }

    /// The servers of a service as held here, for those who look on; `None` where it is not held.
    pub fn members_of(&self, service: &str) -> Option<Vec<&Member>> {
        let held = self.services.get(service).filter(|h| h.known)?;
        Some(held.servers.values().map(|s| &s.member).collect())
    }

    /// The planner's life, the version and the list's version of what is held of a service, for those who look on; zeros
    /// where a whole has not come yet.
    pub fn version_of(&self, service: &str) -> Option<(u64, u64, u64)> {
        self.services.get(service).map(|h| (h.life, h.version, h.source.number))
    }

    /// The list's version of what is held of a service, with its epoch, for those who look on.
    pub fn list_version_of(&self, service: &str) -> Option<ListVersion> {
        self.services.get(service).map(|held| held.source)
    }

    /// Counts for measurements.
    pub fn stats(&self) -> Stats {
        Stats {
            services: self.services.len() - self.waiting,
            servers: self.servers,
            bytes: self.bytes,
            unknown: self.unknown.len(),
            ..self.stats
        }
    }
}

/// Services that one look at what is unused goes over; the rest is for the next.
const LOOKED_AT: usize = 256;
