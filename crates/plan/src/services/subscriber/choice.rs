//! Which planner a forwarder speaks with.
//!
//! By rendezvous of the names: each forwarder has an order of planners of its own, so that the loss of one spreads its
//! forwarders over all others. One that is full refuses, and the next one is asked. After a loss forwarders come back spread
//! out in time, and later return to the one that is first for them.

use super::{ListVersion, MS, S};
use crate::{scramble, stable_hash};
use laurelroute_policy::interface::Nanos;

/// After a loss forwarders connect anew within this.
const SPREAD: Nanos = 2 * S;
/// Before a planner that failed is tried again: from the first, doubled up to the last.
const PAUSE_FIRST: Nanos = 250 * MS;
const PAUSE_LAST: Nanos = 3 * S;
/// The same of one that is there and has no room, or no time: to come again soon would take from it what it lacks.
const CROWDED_FIRST: Nanos = S;
const CROWDED_LAST: Nanos = 8 * S;
/// Before one that was lost, or that is better than the present one, is tried again.
const RETURN: Nanos = 10 * S;

#[derive(Clone, Copy, Debug)]
struct Slot {
    try_at: Nanos,
    /// The same where no planner is there at all.
    alone_at: Nanos,
    pause: Nanos,
}

#[derive(Clone, Copy, Debug)]
struct Current {
    planner: usize,
    life: u64,
    since: Nanos,
}

#[derive(Clone, Debug)]
pub(super) struct Choice {
    slots: Vec<Slot>,
    /// Planners, the best one first.
    order: Vec<usize>,
    current: Option<Current>,
    trying: Option<usize>,
    not_before: Nanos,
    draws: u64,
    /// The latest version of the list of which anything that is held was made.
    pub(super) newest: ListVersion,
}

impl Choice {
    pub(super) fn new(now: Nanos, name: &str, planners: &[String], seed: u64) -> Choice {
        let me = stable_hash(8, name.as_bytes());
        let mut order: Vec<usize> = (0..planners.len()).collect();
        order.sort_by_key(|&k| std::cmp::Reverse(scramble(me ^ stable_hash(9, planners[k].as_bytes()))));
        Choice {
            slots: vec![Slot { try_at: now, alone_at: now, pause: PAUSE_FIRST }; planners.len()],
            order,
            current: None,
            trying: None,
            not_before: now,
            draws: stable_hash(seed, name.as_bytes()),
            newest: ListVersion::default(),
        }
    }

    /// A time of up to twice this, half of it at least.
    fn spread(&mut self, time: Nanos) -> Nanos {
        time / 2 + self.up_to(time)
    }

    fn up_to(&mut self, time: Nanos) -> Nanos {
        self.draws = scramble(self.draws);
        self.draws % time.max(1)
    }

    pub(super) fn try_next(&mut self, now: Nanos) -> Option<usize> {
        if self.trying.is_some() || now < self.not_before {
            return None;
        }
        let current = self.current.map(|c| c.planner);
        let better = self.order.iter().take_while(|k| Some(**k) != current);
        let mut next = better.copied().find(|&k| self.slots[k].try_at <= now);
        if current.is_none() {
            next = next.or_else(|| self.order.iter().copied().find(|&k| self.slots[k].alone_at <= now));
        }
        self.trying = next;
        next
    }

    pub(super) fn connected(&mut self, now: Nanos, planner: usize, life: u64) {
        self.trying = self.trying.filter(|k| *k != planner);
        if let Some(slot) = self.slots.get_mut(planner) {
            slot.pause = PAUSE_FIRST;
        }
        self.current = Some(Current { planner, life, since: now });
    }

    pub(super) fn connect_failed(&mut self, now: Nanos, planner: usize) {
        self.trying = self.trying.filter(|k| *k != planner);
        let Some(slot) = self.slots.get(planner).copied() else { return };
        let alone_at = now + self.spread(slot.pause);
        let try_at = if self.current.is_some() { now + self.spread(RETURN) } else { alone_at };
        self.slots[planner] = Slot { try_at, alone_at, pause: (slot.pause * 2).min(PAUSE_LAST) };
    }

    /// It is there, and has no room or no time.
    pub(super) fn planner_at_capacity(&mut self, now: Nanos, planner: usize) {
        let pause = self.slots.get(planner).map_or(0, |slot| slot.pause.max(CROWDED_FIRST));
        self.connect_failed(now, planner);
        if self.current.is_some() {
            return;
        }
        let try_at = now + self.spread(pause);
        if let Some(slot) = self.slots.get_mut(planner) {
            *slot = Slot { try_at, alone_at: try_at, pause: (pause * 2).min(CROWDED_LAST) };
        }
    }

    pub(super) fn connection_lost(&mut self, now: Nanos, planner: usize) {
        self.trying = self.trying.filter(|k| *k != planner);
        if self.planner() != Some(planner) {
            return;
        }
        self.current = None;
        self.not_before = now + self.up_to(SPREAD);
        let (try_at, alone_at) = (now + self.spread(RETURN), now + self.spread(PAUSE_FIRST));
        let slot = &mut self.slots[planner];
        (slot.try_at, slot.alone_at) = (try_at, alone_at);
    }

    pub(super) fn planner(&self) -> Option<usize> {
        self.current.map(|c| c.planner)
    }

    /// The planner that is spoken with has said something; its life, where it is the one.
    pub(super) fn heard(&mut self, _now: Nanos, planner: usize) -> Option<u64> {
        self.current.filter(|c| c.planner == planner).map(|c| c.life)
    }

    /// Whether the present planner has been connected for so long.
    pub(super) fn insists(&self, now: Nanos, time: Nanos) -> bool {
        self.current.is_some_and(|c| now.saturating_sub(c.since) >= time)
    }
}
