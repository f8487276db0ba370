//! Leases: how long a member may rely on its view without a confirmation from the council.

use crate::view::{quorum, MemberId};
use crate::{Nanos, MS};
use std::collections::BTreeMap;

/// A view is in force at a member for this long after a majority of its council confirmed it.
pub const LEASE_DURATION: Nanos = 2_000 * MS;
/// The part of the whole that is set aside for members without a lease, divided by the size of the roster.
pub const UNLEASED_FRACTION: f64 = 0.08;

/// A member's lease on its view.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// The latest time at which the view was certainly in force.
    confirmed_at: Option<Nanos>,
    /// On a council member: the time of the latest request that each other council member has confirmed.
    confirmations: BTreeMap<MemberId, Nanos>,
    /// Until then, shares of earlier views may be in use: members that do not know of this view still hold a lease.
    settles_at: Nanos,
    /// This member's share before the view change.
    previous_share: Option<f64>,
}

impl Lease {
    /// The lease on a view that is installed now, by a member that had this share before.
    pub fn for_new_view(now: Nanos, share: Option<f64>) -> Lease {
        Lease { settles_at: now + LEASE_DURATION, previous_share: share, ..Lease::default() }
    }

    /// Records that a council member confirmed the view in reply to a request sent at `asked`.
    pub fn record_confirmation(&mut self, by: MemberId, requested_at: Nanos) {
        let at = self.confirmations.entry(by).or_insert(requested_at);
        *at = requested_at.max(*at);
    }

    /// Records a reply from a council member whose own confirmation by a majority was `age` old when it replied.
    pub fn record_reply(&mut self, requested_at: Nanos, age: Nanos) {
        let from = requested_at.saturating_sub(age);
        self.confirmed_at = Some(self.confirmed_at.map_or(from, |f| f.max(from)));
    }

    /// On a council member: renews the lease from the latest time at which requests were sent that a majority has
    /// confirmed.
    pub fn renew(&mut self, now: Nanos, me: MemberId, council: &[MemberId]) {
        let at = |s: MemberId| if s == me { Some(now) } else { self.confirmations.get(&s).copied() };
        let mut moments: Vec<Nanos> = council.iter().filter_map(|s| at(*s)).collect();
        moments.sort_unstable();
        let enough = |t: &Nanos| quorum(council, |s| at(s).is_some_and(|a| a >= *t));
        if let Some(from) = moments.into_iter().rev().find(enough) {
            self.confirmed_at = Some(self.confirmed_at.map_or(from, |f| f.max(from)));
        }
    }

    /// The age of the latest confirmation, if the lease has not expired.
    pub fn age(&self, now: Nanos) -> Option<Nanos> {
        self.confirmed_at.map(|from| now.saturating_sub(from)).filter(|age| *age < LEASE_DURATION)
    }

    /// The share of the whole that a member may use, in a view of `members` out of a roster of `roster`.
    pub fn share(&self, now: Nanos, is_primary: bool, members: usize, roster: usize) -> f64 {
        let unleased = UNLEASED_FRACTION / roster as f64;
        if !is_primary || self.age(now).is_none() {
            return unleased;
        }
        let leased = (1.0 - UNLEASED_FRACTION) / members.max(1) as f64;
        match now < self.settles_at {
            true => leased.min(self.previous_share.unwrap_or(unleased)),
            false => leased,
        }
    }
}
