//! The faults of one soak: a list of typed entries with a start and a span, drawn from a seed so that two or three overlap.

use crate::Random;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

use super::history::Moment;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// Nodes are stopped for up to 0.15 s, again and again.
    Stop,
    /// Nodes get a new configuration with another address of discovery, twice in quick succession.
    Reload,
    /// Nodes get SIGTERM and are started again.
    Restart,
    /// Nodes are killed and started again.
    Kill,
    /// Servers drain, restart and come back cold, one after another.
    Replace,
    /// Servers read requests and say nothing.
    Hang,
    /// Servers reset connections under requests, some of them late.
    Reset,
    /// Servers close connections soon after an answer.
    CloseIdle,
    /// Servers die and come back cold.
    Crash,
    /// Servers turn requests away.
    TurnAway,
    /// Servers answer 500.
    Error,
    /// Servers take long.
    Slow,
    /// Servers begin an answer and stop, or end it early.
    Spoilt,
    /// Answers have no length and end with their connection; some are reset on the way.
    NoLength,
    /// Servers stop in the head of an answer and stay.
    HeadStalls,
    /// Servers stop in the body of an answer and stay.
    BodyStalls,
    /// Servers answer that they failed or turn the request away, and stop in that answer's body or take long over it.
    FailedStalls,
    /// Servers write a byte of an answer just before each time limit.
    Drips,
    /// Links to servers pass nothing, and are reset at the end.
    LinkSilent,
    /// Links pass requests and no answers.
    LinkOneWay,
    /// Answers drip.
    LinkDrips,
    /// Links are shut towards the node behind an answer.
    LinkHalfCloses,
    /// Links are reset, also while they rest.
    LinkReset,
    /// Discovery is down.
    DiscoveryDown,
    /// Open watches fall silent.
    WatchSilent,
    /// Open watches end.
    WatchEnds,
    /// Calls of discovery hang (where it is asked), or are slow.
    DiscoveryHangs,
    /// Clients leave early, some with bytes behind.
    Leave,
    /// Clients stop in the middle of a request and stay.
    Halves,
    /// Requests have very little time.
    ShortDeadlines,
    /// Clients write slowly.
    SlowWriters,
    /// Clients rest until their node is about to close their connections.
    Rest,
    /// Idle clients fill the node's descriptors.
    Crowd,
    /// System calls of nodes fail: EINTR, short reads and writes, failing accept, socket and connect.
    Syscalls,
    /// Nodes' disks fail while staff take servers out.
    Disk,
    /// Nodes start with a wall clock that is off, or it is stepped while they run.
    WallClock,
}

/// All of them.
pub const KINDS: [Kind; 36] = [
    Kind::Stop,
    Kind::Reload,
    Kind::Restart,
    Kind::Kill,
    Kind::Replace,
    Kind::Hang,
    Kind::Reset,
    Kind::CloseIdle,
    Kind::Crash,
    Kind::TurnAway,
    Kind::Error,
    Kind::Slow,
    Kind::Spoilt,
    Kind::NoLength,
    Kind::HeadStalls,
    Kind::BodyStalls,
    Kind::FailedStalls,
    Kind::Drips,
    Kind::LinkSilent,
    Kind::LinkOneWay,
    Kind::LinkDrips,
    Kind::LinkHalfCloses,
    Kind::LinkReset,
    Kind::DiscoveryDown,
    Kind::WatchSilent,
    Kind::WatchEnds,
    Kind::DiscoveryHangs,
    Kind::Leave,
    Kind::Halves,
    Kind::ShortDeadlines,
    Kind::SlowWriters,
    Kind::Rest,
    Kind::Crowd,
    Kind::Syscalls,
    Kind::Disk,
    Kind::WallClock,
];

impl Kind {
    /// The kind of this name, in any case.
    pub fn named(name: &str) -> Option<Kind> {
        KINDS.into_iter().find(|kind| format!("{kind:?}").eq_ignore_ascii_case(name))
    }

    /// Where it strikes some servers, and not nodes.
    fn of_servers(self) -> bool {
        use Kind::*;
        matches!(
            self,
            Replace
                | Hang
                | Reset
                | CloseIdle
                | Crash
                | TurnAway
                | Error
                | Slow
                | Spoilt
                | NoLength
                | HeadStalls
                | BodyStalls
                | FailedStalls
                | Drips
                | LinkSilent
                | LinkOneWay
                | LinkDrips
                | LinkHalfCloses
                | LinkReset
        )
    }

    /// It needs the shim, which a process has from its start.
    pub fn of_process(self) -> bool {
        matches!(self, Kind::Syscalls | Kind::Disk | Kind::WallClock)
    }
}

/// One entry of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// When it begins.
    pub at: Moment,
    /// For how long.
    pub span: Duration,
    /// The nodes or servers that it strikes.
    pub targets: Vec<usize>,
}

impl Fault {
    /// Whether it goes on at that moment.
    pub fn active(&self, at: Moment) -> bool {
        at >= self.at && at < self.end()
    }

    /// When it ends.
    pub fn end(&self) -> Moment {
        self.at.after(self.span)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, until) = (self.at.0 as f64 / 1e6, self.end().0 as f64 / 1e6);
        write!(f, "{:?} {from:.2}..{until:.2} s on {:?}", self.kind, self.targets)
    }
}

/// How large a soak is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Processes of the node.
    pub nodes: usize,
    /// Servers.
    pub servers: usize,
    /// How long clients ask.
    pub span: Duration,
}

/// All faults of a soak.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Plan {
    /// In no special order.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws faults of these kinds: in each third of the time two or three that overlap.
    pub fn draw(random: &mut Random, size: Size, kinds: &[Kind]) -> Plan {
        let mut faults = Vec::new();
        if kinds.is_empty() {
            return Plan { faults };
        }
        let span = size.span.as_millis() as usize;
        for third in 0..3 {
            let begin = 1_000 + third * (span - 1_000) / 3;
            let count = 2 + random.below(2);
            for _ in 0..count {
                let kind = kinds[random.below(kinds.len())];
                let at = begin + random.below(1 + span / 10);
                let lasts = 500 + random.below(1 + span / 4);
                faults.push(Fault {
                    kind,
                    at: Moment(at as u64 * 1_000),
                    span: Duration::from_millis(lasts as u64),
                    targets: targets(random, if kind.of_servers() { size.servers } else { size.nodes }),
                });
            }
        }
        Plan { faults }
    }

    /// The fault of a kind that strikes a target at a moment.
    pub fn active(&self, kind: Kind, target: usize, at: Moment) -> Option<&Fault> {
        self.faults.iter().find(|f| f.kind == kind && f.active(at) && f.targets.contains(&target))
    }

    /// The faults of a kind that strike a target at any time.
    pub fn of(&self, kind: Kind, target: usize) -> impl Iterator<Item = &Fault> {
        self.faults.iter().filter(move |f| f.kind == kind && f.targets.contains(&target))
    }

    /// The same without one entry.
    pub fn without(&self, entry: usize) -> Plan {
        let mut faults = self.faults.clone();
        faults.remove(entry);
        Plan { faults }
    }
}

/// One to half of them.
fn targets(random: &mut Random, of: usize) -> Vec<usize> {
    let count = 1 + random.below((of / 2).max(1));
    let first = random.below(of);
    (0..count).map(|k| (first + k) % of).collect()
}
