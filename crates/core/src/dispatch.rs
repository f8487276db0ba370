//! Whether an attempt may begin, and whether a request may be refused: the one locality that decides it for every wire.
//!
//! The decision module says what it wants; this is asked right before it is done. What must not be done is not done, and
//! where the module should have known, it is counted as a violation of the node's own invariants ([`crate::events`]).

use laurelroute_policy::interface::{AttemptOutcome, DedupGroup, Idempotency, Nanos};

/// Why an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// The request has its final answer.
    #[error("the request is answered")]
    Answered,
    /// As many attempts were made as the settings allow.
    #[error("no attempt is left")]
    NoAttemptLeft,
    /// The client has closed or reset its connection.
    #[error("the client has gone")]
    ClientGone,
    /// The client waits no longer.
    #[error("its time is up")]
    DeadlinePassed,
    /// The server drains or is gone.
    #[error("the server takes nothing new")]
    ServerClosed,
    /// A keyed request may have run, and servers drop its repeats no longer.
    #[error("its window is over")]
    WindowOver,
    /// A keyed request may have run at a server that shares nothing with this one.
    #[error("the server is of another group")]
    OtherGroup,
    /// A request that must not run twice may have run.
    #[error("it may have run")]
    MayHaveRun,
    /// Another attempt is out, and two must not be.
    #[error("another attempt is out")]
    SecondCopy,
}

impl Denied {
    /// The decision module knew all that it takes to see this.
    pub fn is_violation(self) -> bool {
        matches!(self, Denied::OtherGroup | Denied::MayHaveRun | Denied::SecondCopy)
    }
}

/// Where a server belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Locality {
    /// Its zone.
    pub zone: u8,
    /// Its cell.
    pub cell: u16,
}

/// An attempt that was made before.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// Where; `None` where that is forgotten.
    pub locality: Option<Locality>,
    /// How it ended; `None` while it is out.
    pub ending: Option<AttemptOutcome>,
    /// When it was sent.
    pub sent_at: Nanos,
}

impl PriorAttempt {
    fn may_have_run(&self) -> bool {
        self.ending.is_none_or(|ending| !ending.never_ran())
    }
}

/// What the settings say of a request's class and of attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// What a repeat does.
    pub effect: Idempotency,
    /// Who drops repeats of a keyed request.
    pub group: DedupGroup,
    /// For how long.
    pub window: Nanos,
    /// Two attempts of a request may be out at once.
    pub hedging: bool,
}

/// Whether one more attempt may be made at a server, by what became of the earlier ones.
pub fn may_retry(
    terms: &RetryPolicy,
    earlier: impl Iterator<Item = PriorAttempt> + Clone,
    locality: Option<Locality>,
    now: Nanos,
) -> Result<(), Denied> {
    if !terms.hedging && earlier.clone().any(|e| e.ending.is_none()) {
        return Err(Denied::SecondCopy);
    }
    let mut ran = earlier.filter(PriorAttempt::may_have_run);
    match terms.effect {
        Idempotency::Safe => Ok(()),
        Idempotency::Unsafe => ran.next().map_or(Ok(()), |_| Err(Denied::MayHaveRun)),
        Idempotency::Keyed => ran.try_for_each(|e| {
            if now >= e.sent_at.saturating_add(terms.window) {
                return Err(Denied::WindowOver);
            }
            same_group(terms.group, e.locality, locality).then_some(()).ok_or(Denied::OtherGroup)
        }),
    }
}

/// Whether two servers drop the repeats of each other's requests.
fn same_group(group: DedupGroup, one: Option<Locality>, other: Option<Locality>) -> bool {
    match (group, one, other) {
        (DedupGroup::All, ..) => true,
        (DedupGroup::Zone, Some(one), Some(other)) => one.zone == other.zone,
        (DedupGroup::Cell, Some(one), Some(other)) => one.cell == other.cell,
        _ => false,
    }
}

/// Whether a client may be told that trying again is harmless.
pub fn may_refuse(
    terms: &RetryPolicy,
    mut earlier: impl Iterator<Item = PriorAttempt>,
) -> Result<(), Denied> {
    let harmless = match terms.effect {
        Idempotency::Safe => true,
        Idempotency::Keyed if terms.group == DedupGroup::All => true,
        Idempotency::Keyed | Idempotency::Unsafe => !earlier.any(|e| e.may_have_run()),
    };
    harmless.then_some(()).ok_or(Denied::MayHaveRun)
}
