//! Which nodes await which change, and when each of them held it. Pure.
//!
//! A change is in force at a node once the node holds the server's new state or one that came after it: a change and its
//! opposite within one batch need not both be told.

use laurelroute_policy::interface::{Nanos, Phase, Server};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// What a change brings a server to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// 0 ready, 1 draining, 2 gone.
    pub phase: u8,
    /// When it started, Unix time in milliseconds.
    pub born_ms: u64,
    /// Its listed size.
    pub share: f32,
}

impl State {
    /// Gone: nothing else counts.
    pub const GONE: State = State { phase: 2, born_ms: 0, share: 0.0 };

    /// A server's, as a node holds it.
    pub fn of(server: &Server) -> State {
        let phase = match server.phase {
            Phase::Ready => 0,
            Phase::Draining => 1,
            Phase::Removed => return State::GONE,
        };
        State { phase, born_ms: server.started_at / 1_000_000, share: server.size }
    }

    /// For a line of orders.
    pub fn numbers(&self) -> [u64; 3] {
        [u64::from(self.phase), self.born_ms, u64::from(self.share.to_bits())]
    }

    /// From a line of orders.
    pub fn from_numbers(numbers: &[u64]) -> State {
        match *numbers {
            [phase, born_ms, share] if phase < 2 => {
                State { phase: phase as u8, born_ms, share: f32::from_bits(share as u32) }
            }
            _ => State::GONE,
        }
    }
}

#[derive(Debug)]
struct Change {
    event: usize,
    server: usize,
    state: State,
    pushed: Option<Nanos>,
    expected: usize,
    /// Nodes that do not hold it yet.
    pending: Vec<usize>,
    /// When the others did, and whether the node went away before it did.
    held: Vec<Nanos>,
    gone: usize,
}

/// All changes that are awaited, by their numbers.
#[derive(Debug, Default)]
pub struct Awaited {
    changes: BTreeMap<usize, Change>,
    /// Numbers of the changes of each server, in order.
    by_server: BTreeMap<usize, Vec<usize>>,
    /// Who held a server before it left: node and life.
    holders: BTreeMap<usize, Vec<(usize, u32)>>,
}

impl Awaited {
    /// A change of `server` is about to come; whether `node` in this life of it, which holds the server as `holds` says, has to
    /// hear of it.
    #[allow(clippy::too_many_arguments)]
    pub fn expect(
        &mut self,
        event: usize,
        id: usize,
        node: usize,
        life: u32,
        server: usize,
        state: &State,
        holds: Option<&State>,
    ) -> bool {
        let change = self.changes.entry(id).or_insert_with(|| {
            self.by_server.entry(server).or_default().push(id);
            Change {
                event,
                server,
                state: *state,
                pushed: None,
                expected: 0,
                pending: Vec::new(),
                held: Vec::new(),
                gone: 0,
            }
        });
        let has = holds.is_some_and(|h| *h != State::GONE);
        let holders = self.holders.entry(server).or_default();
        // Of a large service a node holds a slice: one that comes back concerns those that held it before.
        let concerned = has || holders.contains(&(node, life));
        if has && !holders.contains(&(node, life)) {
            holders.push((node, life));
        }
        if concerned {
            change.expected += 1;
            change.pending.push(node);
        }
        concerned
    }

    /// These were pushed then.
    pub fn pushed(&mut self, ids: &[usize], at: Nanos) {
        for id in ids {
            if let Some(change) = self.changes.get_mut(id) {
                change.pushed = Some(at);
            }
        }
    }

    /// A node holds a server in this state now.
    pub fn held(&mut self, now: Nanos, node: usize, server: usize, state: &State) {
        let Some(ids) = self.by_server.get(&server) else { return };
        let same = |id: &&usize| self.changes.get(*id).is_some_and(|c| c.state == *state);
        let (upto, only_ends) = match ids.iter().rev().find(same) {
            Some(id) => (*id, false),
            // It no longer uses the server, for a reason of its own.
            None if *state == State::GONE => (usize::MAX, true),
            None => return,
        };
        for id in ids.iter().rev().skip_while(|id| **id > upto) {
            let Some(change) = self.changes.get_mut(id) else { continue };
            if only_ends && change.state.phase == 0 {
                continue;
            }
            let Some(at) = change.pending.iter().position(|n| *n == node) else {
                // Older ones of the same server were held by it before this one.
                continue;
            };
            change.pending.swap_remove(at);
            change.held.push(now);
        }
    }

    /// A node has ended: nothing is awaited of it.
    pub fn gone(&mut self, node: usize) {
        for change in self.changes.values_mut() {
            if let Some(at) = change.pending.iter().position(|n| *n == node) {
                change.pending.swap_remove(at);
                change.gone += 1;
            }
        }
    }

    /// How many pairs of a node and a pushed change are still awaited.
    pub fn lagging(&self) -> usize {
        self.changes.values().filter(|c| c.pushed.is_some()).map(|c| c.pending.len()).sum()
    }

    /// For the driver, a row a change: its number, event, server, when it was pushed, nodes that had to hear of it, those that
    /// went away before, those that still lag (some of them by number), and how long the others took, in milliseconds.
    pub fn told(&self) -> Value {
        let row = |(id, c): (&usize, &Change)| {
            let pushed = c.pushed?;
            let took: Vec<u64> = c.held.iter().map(|at| at.saturating_sub(pushed) / 1_000_000).collect();
            let some: Vec<usize> = c.pending.iter().copied().take(5).collect();
            Some(
                json!({"id": id, "event": c.event, "server": c.server, "pushed": pushed, "expected": c.expected,
                "gone": c.gone, "lagging": c.pending.len(), "some": some, "took": took}),
            )
        };
        Value::Array(self.changes.iter().filter_map(row).collect())
    }
}
