//! A planner's side: the list in, changes of services out, and where each change is in force.
use crate::member::Member;
use crate::wire::{Acknowledge, Ask, Report, Subscribe, Update};
use laurelroute_policy::interface::Nanos;

const MS: Nanos = 1_000_000;
/// Something is said to each forwarder at least this often.
pub const BEAT: Nanos = 1_000 * MS;

/// What a publisher is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The installation.
    pub site: String,
    /// When this life began, Unix time in milliseconds: of two lives the later one counts.
    pub life: u64,
    /// Planners of this installation, running or not.
    pub planners: u32,
    /// Forwarders that this planner takes at most; further ones are sent to another.
    pub most_forwarders: usize,
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
pub struct Listed {
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
    Stranger(String),
    /// There are as many forwarders as this planner takes.
    #[error("{0} forwarders are here already")]
    Crowded(usize),
    /// A name is empty or too long.
    #[error("a name of {0} bytes")]
    Name(usize),
    /// More interests than one forwarder may have.
    #[error("over {0} services for one forwarder")]
    Services(usize),
    /// It has acknowledged nothing for too long.
    #[error("nothing was acknowledged for {0} s")]
    Unresponsive(u64),
    /// A report makes no sense.
    #[error("{0}")]
    Report(#[from] crate::planner::ReportError),
}

/// Where a change of the list is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InForce {
    /// When the list told it.
    pub told_at: Nanos,
    /// Forwarders that use what it changed, counted once a service.
    pub of: usize,
    /// Those of them that have acknowledged it.
    pub at: usize,
    /// When the last of them had, if all have.
    pub since: Option<Nanos>,
    /// Some of those that lag, and why.
    pub lag: Vec<(String, Lag)>,
}

/// Why a forwarder lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lag {
    /// It is not connected, since then.
    Lost(Nanos),
    /// It has been sent the change and has not acknowledged it.
    Unacknowledged,
    /// Its bytes are used up for now.
    Waiting,
    /// It holds a later list than this planner.
    Ahead,
}

/// Counts for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Services held.
    pub services: usize,
    /// Servers held.
    pub servers: usize,
    /// Forwarders connected.
    pub forwarders: usize,
    /// Subscriptions of all forwarders.
    pub subscriptions: usize,
    /// Wholes sent so far.
    pub wholes: u64,
    /// Updates sent so far.
    pub updates: u64,
    /// Bytes of updates sent so far.
    pub bytes: u64,
    /// Servers and subscriptions looked at so far: what changes cost, counted.
    pub steps: u64,
}

/// One planner's services and their subscribers.
#[derive(Debug)]
pub struct Publisher;

#[allow(unused_variables, missing_docs, clippy::unimplemented)]
impl Publisher {
    /// A publisher that knows nothing yet. It says nothing of services before the first list.
    pub fn new(now: Nanos, settings: Settings) -> Self {
        unimplemented!()
    }
    /// The list has spoken: a whole, or changes to it.
    pub fn list(&mut self, now: Nanos, version: u64, whole: bool, entries: Vec<Listed>) -> Dropped {
        unimplemented!()
    }
    /// A forwarder has connected. It says what it wants by `subscribe`, and all of it anew.
    pub fn joined(&mut self, now: Nanos, name: &str, zone: u8) -> Result<(), PublishError> {
        unimplemented!()
    }
    /// Its connection is lost: it lags from now on.
    pub fn left(&mut self, now: Nanos, name: &str) {
        unimplemented!()
    }
    pub fn subscribe(&mut self, now: Nanos, name: &str, subscribe: &Subscribe) -> Result<(), PublishError> {
        unimplemented!()
    }
    pub fn acknowledge(&mut self, now: Nanos, name: &str, acknowledge: &Acknowledge) {
        unimplemented!()
    }
    /// Rows name servers; classes and tenants are not looked at here.
    pub fn report(&mut self, now: Nanos, name: &str, report: &Report) -> Result<(), PublishError> {
        unimplemented!()
    }
    /// The next update for a forwarder, if there is one now; to be called until there is none.
    pub fn next_update(&mut self, now: Nanos, name: &str) -> Result<Option<Update>, PublishError> {
        unimplemented!()
    }
    /// When `next_update` may have something without further news (bytes, a beat, patience).
    pub fn wake_at(&self, now: Nanos, name: &str) -> Nanos {
        unimplemented!()
    }
    /// Names of the forwarders for whom there is news since the last call.
    pub fn stirred(&mut self) -> Vec<String> {
        unimplemented!()
    }
    /// What time brings; to be called some times a second. Costs what is due.
    pub fn poll(&mut self, now: Nanos) {
        unimplemented!()
    }
    /// Where the change of the list with this version is in force; `None` where it is not known (any longer).
    pub fn in_force(&self, change: u64) -> Option<InForce> {
        unimplemented!()
    }
    /// Lines for people.
    pub fn explain(&self, now: Nanos, ask: &Ask) -> String {
        unimplemented!()
    }
    pub fn figures(&self) -> Figures {
        unimplemented!()
    }
    /// A service's servers, by name, as this planner has them, for those who look on.
    pub fn members_of(&self, service: &str) -> Vec<&Member> {
        unimplemented!()
    }
    /// The version of the list that it goes by.
    pub fn source(&self) -> Option<u64> {
        unimplemented!()
    }
}
