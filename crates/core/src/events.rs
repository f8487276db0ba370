//! Events on requests and connections: counters by kind, and the most recent events with their requests.
//!
//! Counters run for the lifetime of the process; recent events are in a ring buffer of fixed size, for incident
//! analysis. Both are served at the management address.

use laurelroute_policy::interface::{AttemptOutcome, Nanos};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt::Write;

/// Capacity of the ring buffer of recent events.
const MAX_RECENT_EVENTS: usize = 256;
/// Bytes kept of a request's id: its end, where ids differ.
const LABEL_BYTES: usize = 16;

/// Characters shown of a server's name.
const MAX_SERVER_NAME_BYTES: usize = 64;

/// The kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request's first attempt began.
    AttemptBegun,
    /// A retry or a hedged attempt began.
    AttemptRepeated,
    /// An attempt ended without a response for the client.
    AttemptFailed,
    /// An attempt was not started because the client had disconnected.
    DeniedClientGone,
    /// An attempt was not started because the server was draining or gone.
    DeniedServerClosed,
    /// An attempt was not started because the deduplication window of a keyed request was over.
    DeniedWindowOver,
    /// An attempt was not started because the client's deadline had passed.
    DeniedDeadline,
    /// An attempt was not started because the request was answered or had used up its attempts.
    DeniedOver,
    /// The decision module requested an action that a rule forbids.
    Violation,
    /// The decision module refused a request; the client may retry it.
    Refused,
    /// A request was rejected because its id is in use.
    DuplicateId,
    /// A request was refused because its id could not be recorded.
    IdUnrecorded,
    /// A request was refused because a resource limit was reached.
    RefusedNoRoom,
    /// A request failed.
    Failed,
    /// A request failed because its deadline passed.
    FailedLate,
    /// A client disconnected before its response.
    ClientLeft,
    /// An idle client connection was closed.
    ClosedIdle,
    /// A client connection was closed because its request made no progress.
    ClosedSlow,
    /// A client connection was closed to free its slot.
    ClosedForRoom,
    /// A client connection was closed because the client did not read its response.
    ClosedStuck,
    /// A close was postponed because data had arrived in the meantime.
    CloseCrossed,
}

/// All kinds, in the order of the enum, with the names that operators see.
const NAMES: [(Kind, &str); 21] = [
    (Kind::AttemptBegun, "attempt_begun"),
    (Kind::AttemptRepeated, "attempt_repeated"),
    (Kind::AttemptFailed, "attempt_failed"),
    (Kind::DeniedClientGone, "denied_client_gone"),
    (Kind::DeniedServerClosed, "denied_server_closed"),
    (Kind::DeniedWindowOver, "denied_window_over"),
    (Kind::DeniedDeadline, "denied_deadline"),
    (Kind::DeniedOver, "denied_over"),
    (Kind::Violation, "violation"),
    (Kind::Refused, "refused"),
    (Kind::DuplicateId, "duplicate_id"),
    (Kind::IdUnrecorded, "id_unrecorded"),
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

    /// Whether events of this kind are too frequent to be kept individually: every request has one.
    fn is_frequent(self) -> bool {
        matches!(self, Kind::AttemptBegun | Kind::ClosedIdle)
    }
}

/// The end of a request's id as sent by its client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Label([u8; LABEL_BYTES]);

impl Label {
    /// The label for a request id.
    pub fn of(id: &[u8]) -> Label {
        let mut label = [0; LABEL_BYTES];
        let end = &id[id.len().saturating_sub(LABEL_BYTES)..];
        label[..end.len()].copy_from_slice(end);
        Label(label)
    }

    fn text(&self) -> String {
        let printable = |b: &&u8| b.is_ascii_graphic();
        self.0.iter().filter(printable).map(|b| char::from(*b)).collect()
    }
}

/// What became of the connection of an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It is closed.
    Closed,
    /// It stays open for a while: no further attempt can follow.
    Kept,
    /// The attempt had none, or had returned it to the pool after a whole response.
    Released,
}

/// What an event of an attempt states beside its request.
#[derive(Clone, Debug)]
pub struct AttemptDetails {
    /// The attempt's number, from 0.
    pub number: u8,
    /// The server's name.
    pub server: String,
    /// How the attempt ended, what became of its connection, and how long it took; `None` for a beginning.
    pub ended: Option<(AttemptOutcome, ConnectionEnd, Nanos)>,
}

impl AttemptDetails {
    fn write(&self, text: &mut String) {
        let printable = |c: &char| c.is_ascii_graphic();
        let server: String = self.server.chars().filter(printable).take(MAX_SERVER_NAME_BYTES).collect();
        // Writing to a string cannot fail.
        let _ = write!(text, " attempt={} server={server}", self.number);
        if let Some((outcome, connection, took)) = self.ended {
            let took_ms = took as f64 / 1e6;
            let _ = write!(text, " outcome={outcome:?} connection={connection:?} took_ms={took_ms:.3}");
        }
    }
}

#[derive(Clone, Debug)]
struct Event {
    at: Nanos,
    kind: Kind,
    label: Label,
    attempt: Option<AttemptDetails>,
}

#[derive(Debug, Default)]
struct EventLog {
    counts: [u64; NAMES.len()],
    recent: VecDeque<Event>,
}

thread_local! {
    static LOG: RefCell<EventLog> = RefCell::default();
}

/// Records an event of a request.
pub fn record(at: Nanos, kind: Kind, label: Label) {
    push(Event { at, kind, label, attempt: None });
}

/// Records an event of an attempt.
pub fn record_attempt(at: Nanos, kind: Kind, label: Label, attempt: AttemptDetails) {
    push(Event { at, kind, label, attempt: Some(attempt) });
}

fn push(event: Event) {
    LOG.with_borrow_mut(|log| {
        log.counts[event.kind as usize] += 1;
        if event.kind.is_frequent() {
            return;
        }
        if log.recent.len() >= MAX_RECENT_EVENTS {
            log.recent.pop_front();
        }
        log.recent.push_back(event);
    });
}

/// Records an event of a connection.
pub fn record_for_connection(at: Nanos, kind: Kind) {
    record(at, kind, Label::default());
}

/// How many events of this kind this thread has recorded.
pub fn count_of(kind: Kind) -> u64 {
    LOG.with_borrow(|log| log.counts[kind as usize])
}

/// All counters, one per line.
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

/// The recent events, oldest first, one per line: how long ago, the kind, the request, and for attempts `name=value`
/// fields.
pub fn recent(now: Nanos) -> String {
    LOG.with_borrow(|log| {
        let mut text = String::new();
        for event in &log.recent {
            let ago = now.saturating_sub(event.at) as f64 / 1e9;
            let _ = write!(text, "-{ago:.3} s {} {}", event.kind.name(), event.label.text());
            if let Some(attempt) = &event.attempt {
                attempt.write(&mut text);
            }
            text.push('\n');
        }
        text
    })
}
