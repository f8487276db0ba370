//! Choice of the planner that a forwarder connects to.
//!
//! Each forwarder ranks the planners by rendezvous hashing of the names, so that the load of a lost planner spreads
//! over all others. A planner at capacity refuses the connection and the next one is tried. After a loss,
//! forwarders reconnect at random times, and return later to the planner that they rank first.
//!
//! A planner says how old its own list is. While the connected one's list is stale, the others are tried in turn, each
//! again after a while, and the one with the latest list is kept.

use super::{ListVersion, MS, S};
use crate::list_age::ListConfirmation;
use crate::{scramble, stable_hash};
use laurelroute_policy::interface::Nanos;

/// Maximum random delay before a reconnection after a loss.
const MAX_RECONNECT_DELAY: Nanos = 2 * S;
/// First and longest delay before a failed planner is tried again; the delay doubles in between.
const INITIAL_BACKOFF: Nanos = 250 * MS;
const MAX_BACKOFF: Nanos = 3 * S;
/// The same delays for a planner that is reachable but at capacity or overloaded. Retrying soon would add to its
/// load.
const INITIAL_CAPACITY_BACKOFF: Nanos = S;
const MAX_CAPACITY_BACKOFF: Nanos = 8 * S;
/// Delay before a planner that was lost, or that is preferred to the present one, is tried again.
const RETURN_DELAY: Nanos = 10 * S;
/// Delay before a planner that was left because of its stale list is tried again while all lists are stale.
const STALE_RETRY_DELAY: Nanos = 4 * S;

#[derive(Clone, Copy, Debug)]
struct Slot {
    retry_at: Nanos,
    /// When to try it if no planner is connected.
    retry_disconnected_at: Nanos,
    backoff: Nanos,
    /// When its list was last confirmed, by its last message.
    list_confirmation: ListConfirmation,
    /// When to try it if the connected planner's list is stale.
    retry_stale_at: Nanos,
}

#[derive(Clone, Copy, Debug)]
struct CurrentPlanner {
    planner: usize,
    incarnation: u64,
    connected_at: Nanos,
    /// Whether it has said how old its list is.
    list_age_known: bool,
}

#[derive(Clone, Debug)]
pub(super) struct PlannerChoice {
    slots: Vec<Slot>,
    /// Planner indices, the preferred one first.
    order: Vec<usize>,
    current: Option<CurrentPlanner>,
    connecting: Option<usize>,
    not_before: Nanos,
    random_state: u64,
    /// The latest list version from which any held state was made.
    pub(super) latest_list: ListVersion,
}

impl PlannerChoice {
    pub(super) fn new(now: Nanos, name: &str, planners: &[String], seed: u64) -> PlannerChoice {
        let own_hash = stable_hash(8, name.as_bytes());
        let mut order: Vec<usize> = (0..planners.len()).collect();
        order
            .sort_by_key(|&k| std::cmp::Reverse(scramble(own_hash ^ stable_hash(9, planners[k].as_bytes()))));
        let slot = Slot {
            retry_at: now,
            retry_disconnected_at: now,
            backoff: INITIAL_BACKOFF,
            list_confirmation: ListConfirmation::default(),
            retry_stale_at: now,
        };
        PlannerChoice {
            slots: vec![slot; planners.len()],
            order,
            current: None,
            connecting: None,
            not_before: now,
            random_state: stable_hash(seed, name.as_bytes()),
            latest_list: ListVersion::default(),
        }
    }

    /// Returns a random time between half and one and a half times `time`.
    fn jittered(&mut self, time: Nanos) -> Nanos {
        time / 2 + self.random_below(time)
    }

    fn random_below(&mut self, time: Nanos) -> Nanos {
        self.random_state = scramble(self.random_state);
        self.random_state % time.max(1)
    }

    pub(super) fn try_next(&mut self, now: Nanos) -> Option<usize> {
        if self.connecting.is_some() || now < self.not_before {
            return None;
        }
        let current = self.current.map(|c| c.planner);
        let better = self.order.iter().take_while(|k| Some(**k) != current);
        let mut next = better.copied().find(|&k| self.slots[k].retry_at <= now);
        if current.is_none() {
            next = next
                .or_else(|| self.order.iter().copied().find(|&k| self.slots[k].retry_disconnected_at <= now));
        }
        let next = next.or_else(|| self.alternative_to_stale(now));
        self.connecting = next;
        next
    }

    /// Returns the next planner to try while the connected one's list is stale: one that was not tried lately, or that
    /// had a later list.
    fn alternative_to_stale(&self, now: Nanos) -> Option<usize> {
        let current = self.current.filter(|c| c.list_age_known)?;
        let list = self.slots[current.planner].list_confirmation;
        if list.is_fresh(now) {
            return None;
        }
        let due = |k: &usize| {
            let slot = &self.slots[*k];
            let worth_a_try = slot.retry_stale_at <= now || slot.list_confirmation > list;
            *k != current.planner && slot.retry_disconnected_at <= now && worth_a_try
        };
        self.order.iter().copied().find(due)
    }

    /// Records when the planner's list was last confirmed.
    pub(super) fn list_confirmed(&mut self, planner: usize, confirmation: ListConfirmation) {
        if let Some(current) = self.current.as_mut().filter(|c| c.planner == planner) {
            current.list_age_known = true;
            self.slots[planner].list_confirmation = confirmation;
        }
    }

    /// Returns whether the connected planner's list is fresh.
    pub(super) fn has_fresh_list(&self, now: Nanos) -> bool {
        let current = self.current.filter(|c| c.list_age_known);
        current.is_some_and(|c| self.slots[c.planner].list_confirmation.is_fresh(now))
    }

    /// Postpones the return to the connected planner, which is left because of its stale list.
    fn postpone_stale(&mut self, now: Nanos) {
        let Some(current) = self.current.filter(|c| c.list_age_known && !self.has_fresh_list(now)) else {
            return;
        };
        let (retry_at, retry_stale_at) =
            (now + self.jittered(RETURN_DELAY), now + self.jittered(STALE_RETRY_DELAY));
        let slot = &mut self.slots[current.planner];
        (slot.retry_at, slot.retry_stale_at) = (retry_at, retry_stale_at);
    }

    pub(super) fn connected(&mut self, now: Nanos, planner: usize, incarnation: u64) {
        self.connecting = self.connecting.filter(|k| *k != planner);
        self.postpone_stale(now);
        if let Some(slot) = self.slots.get_mut(planner) {
            slot.backoff = INITIAL_BACKOFF;
        }
        self.current =
            Some(CurrentPlanner { planner, incarnation, connected_at: now, list_age_known: false });
    }

    pub(super) fn connect_failed(&mut self, now: Nanos, planner: usize) {
        self.connecting = self.connecting.filter(|k| *k != planner);
        let Some(slot) = self.slots.get(planner).copied() else { return };
        let retry_disconnected_at = now + self.jittered(slot.backoff);
        let retry_at =
            if self.current.is_some() { now + self.jittered(RETURN_DELAY) } else { retry_disconnected_at };
        let backoff = (slot.backoff * 2).min(MAX_BACKOFF);
        self.slots[planner] = Slot { retry_at, retry_disconnected_at, backoff, ..slot };
    }

    /// Records that the planner is reachable but at capacity or overloaded.
    pub(super) fn planner_at_capacity(&mut self, now: Nanos, planner: usize) {
        let backoff = self.slots.get(planner).map_or(0, |slot| slot.backoff.max(INITIAL_CAPACITY_BACKOFF));
        self.connect_failed(now, planner);
        if self.current.is_some() {
            return;
        }
        let retry_at = now + self.jittered(backoff);
        if let Some(slot) = self.slots.get_mut(planner) {
            *slot = Slot {
                retry_at,
                retry_disconnected_at: retry_at,
                backoff: (backoff * 2).min(MAX_CAPACITY_BACKOFF),
                ..*slot
            };
        }
    }

    pub(super) fn connection_lost(&mut self, now: Nanos, planner: usize) {
        self.connecting = self.connecting.filter(|k| *k != planner);
        if self.planner() != Some(planner) {
            return;
        }
        self.current = None;
        self.not_before = now + self.random_below(MAX_RECONNECT_DELAY);
        let (retry_at, retry_disconnected_at) =
            (now + self.jittered(RETURN_DELAY), now + self.jittered(INITIAL_BACKOFF));
        let slot = &mut self.slots[planner];
        (slot.retry_at, slot.retry_disconnected_at) = (retry_at, retry_disconnected_at);
    }

    pub(super) fn planner(&self) -> Option<usize> {
        self.current.map(|c| c.planner)
    }

    /// Returns the planner's incarnation if this is the connected planner.
    pub(super) fn incarnation_of(&mut self, _now: Nanos, planner: usize) -> Option<u64> {
        self.current.filter(|c| c.planner == planner).map(|c| c.incarnation)
    }

    /// Returns whether the present planner has been connected for at least `time`.
    pub(super) fn connected_for(&self, now: Nanos, time: Nanos) -> bool {
        self.current.is_some_and(|c| now.saturating_sub(c.connected_at) >= time)
    }
}
