//! What the node has done with requests and connections and why: counts by kind, and the last events with their requests.
//!
//! Counts are kept for good; the last events are a ring of fixed size, for whoever looks into an incident. Both are read at the
//! operators' address.

use laurelroute_policy::interface::Nanos;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt::Write;

/// Events that are remembered.
const MOST_EVENTS: usize = 256;
/// Bytes that are kept of a request's id: its end, which tells requests apart.
const LABEL: usize = 16;

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A first attempt was begun.
    AttemptBegun,
    /// A further attempt or a second copy was begun.
    AttemptRepeated,
    /// An attempt was not begun: the client had gone.
    DeniedClientGone,
    /// ... the server drains or is gone.
    DeniedServerClosed,
    /// ... a keyed request's window was over.
    DeniedWindowOver,
    /// ... the client's time was up.
    DeniedDeadline,
    /// ... the request was answered, or no attempt was left.
    DeniedOver,
    /// The decision module wanted what a rule forbids.
    Violation,
    /// A client was told to come back: by the decision module.
    Refused,
    /// ... for want of room.
    RefusedNoRoom,
    /// A request failed.
    Failed,
    /// A request failed for want of time.
    FailedLate,
    /// A client left before its answer.
    ClientLeft,
    /// A client's connection was closed as it rested.
    ClosedIdle,
    /// ... as what it sent stood still.
    ClosedSlow,
    /// ... to make room.
    ClosedForRoom,
    /// ... as it did not take its answer.
    ClosedStuck,
    /// A close was put off: something had come in the meantime.
    CloseCrossed,
}

/// All kinds, with the names that operators read.
const NAMES: [(Kind, &str); 18] = [
    (Kind::AttemptBegun, "attempt_begun"),
    (Kind::AttemptRepeated, "attempt_repeated"),
    (Kind::DeniedClientGone, "denied_client_gone"),
    (Kind::DeniedServerClosed, "denied_server_closed"),
    (Kind::DeniedWindowOver, "denied_window_over"),
    (Kind::DeniedDeadline, "denied_deadline"),
    (Kind::DeniedOver, "denied_over"),
    (Kind::Violation, "violation"),
    (Kind::Refused, "refused"),
    (Kind::RefusedNoRoom, "refused_no_room"),
    (Kind::Failed, "failed"),
    (Kind::FailedLate, "failed_late"),
    (Kind::ClientLeft, "client_left"),
    (Kind::ClosedIdle, "closed_idle"),
    (Kind::ClosedSlow, "closed_slow"),
    (Kind::ClosedForRoom, "closed_for_room"),
    (Kind::ClosedStuck, "closed_stuck"),
    (Kind::CloseCrossed, "close_crossed"),
];

impl Kind {
    fn name(self) -> &'static str {
        NAMES.iter().find(|(kind, _)| *kind == self).map_or("", |(_, name)| name)
    }

    /// Every request has one: too common to be remembered one by one.
    fn is_common(self) -> bool {
        matches!(self, Kind::AttemptBegun | Kind::ClosedIdle)
    }
}

/// The end of a request's id as its client gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Label([u8; LABEL]);

impl Label {
    /// Of an id.
    pub fn of(id: &[u8]) -> Label {
        let mut label = [0; LABEL];
        let end = &id[id.len().saturating_sub(LABEL)..];
        label[..end.len()].copy_from_slice(end);
        Label(label)
    }

    fn text(&self) -> String {
        let printable = |b: &&u8| b.is_ascii_graphic();
        self.0.iter().filter(printable).map(|b| char::from(*b)).collect()
    }
}

#[derive(Clone, Copy, Debug)]
struct Event {
    at: Nanos,
    kind: Kind,
    label: Label,
}

#[derive(Debug, Default)]
struct Log {
    counts: [u64; NAMES.len()],
    last: VecDeque<Event>,
}

thread_local! {
    static LOG: RefCell<Log> = RefCell::default();
}

/// Notes an event of a request.
pub fn record(at: Nanos, kind: Kind, label: Label) {
    LOG.with_borrow_mut(|log| {
        log.counts[kind as usize] += 1;
        if kind.is_common() {
            return;
        }
        if log.last.len() >= MOST_EVENTS {
            log.last.pop_front();
        }
        log.last.push_back(Event { at, kind, label });
    });
}

/// Notes an event of a connection.
pub fn record_for_connection(at: Nanos, kind: Kind) {
    record(at, kind, Label::default());
}

/// How often something has happened on this thread.
pub fn count_of(kind: Kind) -> u64 {
    LOG.with_borrow(|log| log.counts[kind as usize])
}

/// All counts, a line each.
pub fn counts() -> String {
    LOG.with_borrow(|log| {
        let mut text = String::new();
        for (kind, name) in NAMES {
            let count = log.counts[kind as usize];
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name} {count}");
        }
        text
    })
}

/// The last events, oldest first, a line each: how long ago, what, and the request.
pub fn recent(now: Nanos) -> String {
    LOG.with_borrow(|log| {
        let mut text = String::new();
        for event in &log.last {
            let ago = now.saturating_sub(event.at) as f64 / 1e9;
            let _ = writeln!(text, "-{ago:.3} s {} {}", event.kind.name(), event.label.text());
        }
        text
    })
}
