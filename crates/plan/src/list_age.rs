//! How old a server list is: the time since its source last confirmed it.
//!
//! A planner passes this age on with every message, so that its confirmation is only as fresh as its own list. A
//! receiver that finds the list stale turns to another source.

use laurelroute_policy::interface::Nanos;

const MS: Nanos = 1_000_000;
/// A list that its source has not confirmed for this long is stale. Discovery sends a heartbeat every 2 s, and a silent
/// watch is replaced after 2.6 s, so that a working source stays below it. A change counts as known after 6 s at the
/// latest: the receiver has the other half to turn to another source.
pub const STALE_LIST_AGE: Nanos = 3_000 * MS;
/// The age of a list that no source has confirmed, in messages: there is no list, or only a configured one.
pub const UNCONFIRMED_AGE_MS: u64 = u64::MAX;

/// When the source of a list last confirmed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListConfirmation {
    /// Time of the receiver's clock; `None` if no source has confirmed the list.
    at: Option<Nanos>,
}

impl ListConfirmation {
    /// Confirmed at this time.
    pub fn at(now: Nanos) -> ListConfirmation {
        ListConfirmation { at: Some(now) }
    }

    /// The confirmation that a message received at `now` passes on. A sender that does not state an age is an older
    /// program and is taken to have a current list.
    pub fn received(now: Nanos, age_ms: Option<u64>) -> ListConfirmation {
        match age_ms {
            Some(UNCONFIRMED_AGE_MS) => ListConfirmation::default(),
            age_ms => ListConfirmation::at(now.saturating_sub(age_ms.unwrap_or(0).saturating_mul(MS))),
        }
    }

    /// The list's age for a message; see [`UNCONFIRMED_AGE_MS`].
    pub fn age_ms(self, now: Nanos) -> u64 {
        self.at.map_or(UNCONFIRMED_AGE_MS, |at| now.saturating_sub(at) / MS)
    }

    /// The list's age for people.
    pub fn describe(self, now: Nanos) -> String {
        match self.at {
            Some(at) => format!("confirmed {:.1} s ago", now.saturating_sub(at) as f64 / 1e9),
            None => "confirmed by no source".to_owned(),
        }
    }

    /// Whether any source has confirmed the list: a configured one counts only where there is no other.
    pub fn is_confirmed(self) -> bool {
        self.at.is_some()
    }

    /// Whether the list is not stale.
    pub fn is_fresh(self, now: Nanos) -> bool {
        self.at.is_some_and(|at| now.saturating_sub(at) < STALE_LIST_AGE)
    }
}
