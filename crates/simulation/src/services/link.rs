//! Connections between forwarders and planners: streams that delay, that lose all that follows a lost message and break
//! some time later, and whose two ends notice that at different times.

use super::check::Snapshot;
use crate::Nanos;
use laurelroute_plan::wire::{Report, Subscribe, Update, UpdateAck};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What is under way.
#[derive(Clone, Debug)]
pub(super) enum Message {
    /// The planner takes the forwarder, and says its life.
    Hello(u64),
    /// An update, with what the planner had heard of the list as it was said, in batches, and its bytes.
    Update {
        update: Update,
        heard: usize,
        bytes: usize,
        sent: Nanos,
    },
    /// With when it was said.
    Subscribe(Subscribe, Nanos),
    Acknowledge(UpdateAck),
    Report(Report),
    Close,
}

/// The two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Forwarder,
    Planner,
}

impl End {
    pub(super) fn other(self) -> End {
        match self {
            End::Forwarder => End::Planner,
            End::Planner => End::Forwarder,
        }
    }
}

/// A way between a forwarder and a planner, whoever lives at its ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct Link {
    /// Nothing arrives at this end.
    pub(super) deaf: [bool; 2],
    pub(super) delay: Nanos,
    /// Since when nothing is wrong with it.
    pub(super) sound_since: Nanos,
}

impl Link {
    pub(super) fn sound(&self) -> bool {
        self.deaf == [false, false]
    }
}

/// What a connection carries in one direction.
#[derive(Debug, Default)]
pub(super) struct Way {
    pub(super) queue: VecDeque<Message>,
    /// When the last message in it arrives.
    pub(super) last: Nanos,
    /// A message was lost: nothing arrives any longer.
    pub(super) dead: bool,
}

/// A connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) forwarder: usize,
    pub(super) planner: usize,
    /// Which processes it joins.
    pub(super) lives: [u64; 2],
    /// The forwarder's attempt that it came of.
    pub(super) attempt: u64,
    /// What arrives at each end.
    pub(super) ways: [Way; 2],
    /// Which ends hold it for open.
    pub(super) open: [bool; 2],
    /// The services that the forwarder wants by what has arrived, and when that was said.
    pub(super) interests: BTreeMap<String, Nanos>,
    /// Services that were wanted on the connection before, and have not been named on this one.
    pub(super) stale: BTreeSet<String>,
    /// The planner has been told that the forwarder is elsewhere.
    pub(super) leaving: bool,
    /// What the forwarder held as it was last connected here.
    pub(super) frozen: Option<Snapshot>,
    pub(super) wake: Option<Nanos>,
    /// Bytes of updates on it: when, how many, and how many of them told of drains and leavings.
    pub(super) said: VecDeque<(Nanos, usize, usize)>,
    /// The same of what the forwarder says.
    pub(super) heard: VecDeque<(Nanos, usize)>,
}

impl Connection {
    pub(super) fn new(forwarder: usize, planner: usize, lives: [u64; 2], attempt: u64) -> Connection {
        Connection {
            forwarder,
            planner,
            lives,
            attempt,
            ways: Default::default(),
            open: [true, true],
            interests: BTreeMap::new(),
            stale: BTreeSet::new(),
            leaving: false,
            frozen: None,
            wake: None,
            said: VecDeque::new(),
            heard: VecDeque::new(),
        }
    }

    /// Bytes of updates since then, and how many of them told of drains and leavings.
    pub(super) fn said_since(&self, then: Nanos) -> (usize, usize) {
        let late = self.said.iter().rev().take_while(|(at, ..)| *at >= then);
        late.fold((0, 0), |(all, closings), (_, a, c)| (all + a, closings + c))
    }

    /// Bytes of the forwarder's words since then.
    pub(super) fn heard_since(&self, then: Nanos) -> usize {
        self.heard.iter().rev().take_while(|(at, _)| *at >= then).map(|(_, bytes)| bytes).sum()
    }
}
