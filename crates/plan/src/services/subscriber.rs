//! A forwarder's side: the services that its requests name, held as one planner tells them.
use super::publisher::BEAT;
use crate::follower::Word;
use crate::member::Member;
use crate::wire::{Acknowledge, Report, Subscribe, Update};
use laurelroute_policy::interface::{Nanos, Observed};

/// A planner that has said nothing for so long is taken for lost.
pub const SILENCE: Nanos = 3 * BEAT;

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
    pub most_services: usize,
    /// Bytes that they may take at most, about.
    pub most_bytes: usize,
    /// A service that no request has named for so long is dropped.
    pub unused_after: Nanos,
    /// That a service does not exist is remembered for so long.
    pub unknown_for: Nanos,
    /// Bytes a second that it says.
    pub bytes_per_second: f64,
    /// Bytes beyond that at once, after a rest.
    pub burst: f64,
    /// Settles how it is spread out in time.
    pub seed: u64,
}

/// How a service stands here as a request names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Its servers are known: the request may go on.
    Held,
    /// It has been subscribed to, and nothing has come yet.
    Waiting,
    /// There is no such service.
    Unknown,
    /// There is no room for it: all that is held is in use.
    NoRoom,
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
        words: Vec<Word>,
    },
    /// There is no such service: requests that wait for it are answered so.
    Unknown(String),
    /// A service is no longer held; requests of it are none under way.
    Dropped(String),
}

/// Counts for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
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
#[derive(Debug)]
pub struct Subscriber;

#[allow(unused_variables, missing_docs, clippy::unimplemented)]
impl Subscriber {
    pub fn new(now: Nanos, settings: Settings) -> Self {
        unimplemented!()
    }
    /// A request names this service: it is subscribed to where it is not, and counts as used now.
    pub fn want(&mut self, now: Nanos, service: &str) -> Standing {
        unimplemented!()
    }
    /// A request of this service is under way (also while it waits): the service is not dropped before it has `ended`.
    pub fn began(&mut self, service: &str) {
        unimplemented!()
    }
    pub fn ended(&mut self, now: Nanos, service: &str) {
        unimplemented!()
    }
    /// The planner to connect to now, if there is one: to be asked some times a second. Until `connected` or `failed` is
    /// told for it, no other is named. One that is connected already may be left for a better one: `connected` then
    /// replaces it, and the connection to the former is to be closed once `last_word` is sent there.
    pub fn try_next(&mut self, now: Nanos) -> Option<usize> {
        unimplemented!()
    }
    pub fn connected(&mut self, now: Nanos, planner: usize, life: u64) {
        unimplemented!()
    }
    /// It could not be reached, or had no room.
    pub fn failed(&mut self, now: Nanos, planner: usize) {
        unimplemented!()
    }
    /// The connection to it is lost. All that is held stays.
    pub fn lost(&mut self, now: Nanos, planner: usize) {
        unimplemented!()
    }
    /// The planner that it is connected to.
    pub fn planner(&self) -> Option<usize> {
        unimplemented!()
    }
    /// What to say to a planner that is left on purpose.
    pub fn last_word() -> Subscribe {
        Subscribe { leaving: true, ..Subscribe::default() }
    }
    /// Takes in an update, service by service; what is refused changes nothing. `None` where it needs no answer.
    pub fn receive(&mut self, now: Nanos, planner: usize, update: &Update) -> Option<Acknowledge> {
        unimplemented!()
    }
    /// What to say to the planner now, if anything: to be asked after `want` and some times a second.
    pub fn next_subscribe(&mut self, now: Nanos) -> Option<Subscribe> {
        unimplemented!()
    }
    /// A report of what was met of servers, within the bytes that are left; `observed` names those of services in use.
    pub fn next_report(
        &mut self,
        now: Nanos,
        observed: &mut dyn Iterator<Item = (&str, Observed)>,
    ) -> Option<Report> {
        unimplemented!()
    }
    /// What time brings; to be called some times a second. Costs what is due.
    pub fn poll(&mut self, now: Nanos) {
        unimplemented!()
    }
    /// What has changed since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        unimplemented!()
    }
    /// The servers of a service as held here, for those who look on; `None` where it is not held.
    pub fn members_of(&self, service: &str) -> Option<Vec<&Member>> {
        unimplemented!()
    }
    pub fn figures(&self) -> Figures {
        unimplemented!()
    }
}
