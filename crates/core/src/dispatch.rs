//! Decides for every protocol whether an attempt may begin and whether a request may be refused.
//!
//! These checks run right before an action of the decision module is carried out. A forbidden action is dropped, and if
//! the module had the information to avoid it, it is counted as a violation of the node's own invariants
//! ([`crate::events`]).

use laurelroute_policy::interface::{AttemptOutcome, DedupGroup, Idempotency, Nanos};

/// Why an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// The request already has its final response.
    #[error("the request is answered")]
    Answered,
    /// The maximum number of attempts has been made.
    #[error("no attempt is left")]
    NoAttemptLeft,
    /// The client has closed or reset its connection.
    #[error("the client has gone")]
    ClientGone,
    /// The client's deadline has passed.
    #[error("its time is up")]
    DeadlinePassed,
    /// The server is draining or gone.
    #[error("the server takes nothing new")]
    ServerClosed,
    /// A keyed request may have run, and the window in which servers deduplicate its repeats is over.
    #[error("its window is over")]
    WindowOver,
    /// A keyed request may have run on a server outside this server's deduplication group.
    #[error("the server is of another group")]
    OtherGroup,
    /// A request that must not run more than once may have run.
    #[error("it may have run")]
    MayHaveRun,
    /// As many attempts as the settings allow are under way at once.
    #[error("another attempt is out")]
    SecondCopy,
}

impl Denied {
    /// Whether the decision module had the information to avoid this.
    pub fn is_violation(self) -> bool {
        matches!(self, Denied::OtherGroup | Denied::MayHaveRun | Denied::SecondCopy)
    }
}

/// A server's location.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Locality {
    /// Its zone.
    pub zone: u8,
    /// Its cell.
    pub cell: u16,
}

/// An earlier attempt of the same request.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// The server's location; `None` if it is no longer known.
    pub locality: Option<Locality>,
    /// How it ended; `None` while it is in flight.
    pub ending: Option<AttemptOutcome>,
    /// When it was sent.
    pub sent_at: Nanos,
    /// Whether its connection is open, however it is said to have ended: its server may still be at work on it.
    pub connection_open: bool,
}

impl PriorAttempt {
    fn is_under_way(&self) -> bool {
        self.ending.is_none() || self.connection_open
    }

    fn may_have_run(&self) -> bool {
        self.ending.is_none_or(|ending| !ending.never_ran())
    }
}

/// The settings that govern retries of a request.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// The effect of repeating the request.
    pub idempotency: Idempotency,
    /// The group of servers that deduplicates repeats of a keyed request.
    pub dedup_group: DedupGroup,
    /// How long servers deduplicate repeats.
    pub dedup_window: Nanos,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
}

/// Whether one more attempt may be sent to a server, given the earlier ones.
pub fn may_retry(
    policy: &RetryPolicy,
    earlier: impl Iterator<Item = PriorAttempt> + Clone,
    locality: Option<Locality>,
    now: Nanos,
) -> Result<(), Denied> {
    let allowed_at_once = if policy.hedging { 2 } else { 1 };
    if earlier.clone().filter(PriorAttempt::is_under_way).count() >= allowed_at_once {
        return Err(Denied::SecondCopy);
    }
    let mut ran = earlier.filter(PriorAttempt::may_have_run);
    match policy.idempotency {
        Idempotency::Safe => Ok(()),
        Idempotency::Unsafe => ran.next().map_or(Ok(()), |_| Err(Denied::MayHaveRun)),
        Idempotency::Keyed => ran.try_for_each(|e| {
            if now >= e.sent_at.saturating_add(policy.dedup_window) {
                return Err(Denied::WindowOver);
            }
            same_group(policy.dedup_group, e.locality, locality).then_some(()).ok_or(Denied::OtherGroup)
        }),
    }
}

/// Whether two servers deduplicate the repeats of each other's requests.
fn same_group(group: DedupGroup, one: Option<Locality>, other: Option<Locality>) -> bool {
    match (group, one, other) {
        (DedupGroup::All, ..) => true,
        (DedupGroup::Zone, Some(one), Some(other)) => one.zone == other.zone,
        (DedupGroup::Cell, Some(one), Some(other)) => one.cell == other.cell,
        _ => false,
    }
}

/// Whether a request may be refused, which tells the client that a retry is harmless.
pub fn may_refuse(
    policy: &RetryPolicy,
    mut earlier: impl Iterator<Item = PriorAttempt>,
) -> Result<(), Denied> {
    let harmless = match policy.idempotency {
        Idempotency::Safe => true,
        Idempotency::Keyed if policy.dedup_group == DedupGroup::All => true,
        Idempotency::Keyed | Idempotency::Unsafe => !earlier.any(|e| e.may_have_run()),
    };
    harmless.then_some(()).ok_or(Denied::MayHaveRun)
}
