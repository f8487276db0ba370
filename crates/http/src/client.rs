//! One client connection: its stage, its timeouts, and when it may be closed.

use crate::socket::Socket;
use laurelroute_core::budget::{OverflowSlot, Slot};
use laurelroute_core::connection::write_stall_timeout;
use laurelroute_core::events::Kind;
use laurelroute_core::idle::IdleTracker;
use laurelroute_policy::interface::Nanos;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// No client may hold a descriptor indefinitely, whether it is silent, slow or malicious. A connection without a
/// request is closed after `IDLE_TIMEOUT`, and sooner when more than half of the client slots are taken
/// ([`Client::sweep`]), one with an incomplete head after `HEAD_TIMEOUT` more, however slowly that arrives; a body has
/// limits of its own (`intake.rs`), and a client has to take something of its response within [`write_stall_timeout`].
/// Clients may take 2 s for a head and send a body at 64 kB/s; slower connections would take up slots at the expense of
/// honest clients.
const IDLE_TIMEOUT: Nanos = 2_000_000_000;
/// A connection that has not yet sent anything is closed after this when more than half of the client slots are taken.
const FIRST_REQUEST_TIMEOUT_CROWDED: Nanos = 150_000_000;
/// A connection whose head is incomplete is closed after this.
const HEAD_TIMEOUT: Nanos = 2_500_000_000;
/// The first head of a connection has to be complete within this time from the connection's opening.
const FIRST_HEAD_TIMEOUT: Nanos = 2_750_000_000;
/// A connection that has stalled within a head for this long may be closed to make room for others. Honest slow clients
/// go on writing; those that pause for longer are harmed, but only where no other slot is left.
const EVICTABLE_HEAD_STALL: Nanos = 700_000_000;

/// The stage of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Between requests, or reading a head.
    Idle,
    /// Reading a body.
    ReadingBody,
    /// The gateway has the request, and its deadline bounds the wait.
    AwaitingResponse,
    /// The response is being written.
    WritingResponse,
}

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// Between two requests, unless a request has arrived meanwhile.
    WhenIdle,
    /// After the next response, which announces it by `connection: close`.
    AfterResponse,
    /// Immediately: what has been received is not a complete request, or another process has the connection.
    Immediately,
}

/// The slot that a connection takes up within the limits.
pub(crate) enum ClientSlot {
    /// A regular slot, which the connection may keep.
    Regular { _slot: Slot },
    /// A slot beyond the regular ones: the connection is closed after its first response.
    Overflow { _slot: OverflowSlot },
}

/// A client connection. All times are running time ([`laurelroute_core::running`]).
pub(crate) struct Client {
    pub(crate) socket: Rc<Socket>,
    pub(crate) idle_tracker: IdleTracker,
    stage: Cell<Stage>,
    /// When the response last made progress.
    last_progress_at: Cell<Nanos>,
    /// When a part of a head was first seen.
    head_started_at: Cell<Option<Nanos>>,
    /// When more of the head was last seen to have arrived.
    head_received_at: Cell<Nanos>,
    /// Requests whose heads have been read.
    request_count: Cell<u32>,
    /// The connection is closed after its next response, which announces it.
    close_after_response: Cell<bool>,
    /// How the connection is to be closed; until then it holds its descriptor.
    close_mode: Cell<Option<CloseMode>>,
    /// Notified when `close_mode` is set.
    close_notify: Notify,
}

impl Client {
    pub(crate) fn new(stream: TcpStream, now: Nanos, used: bool, slot: ClientSlot) -> Client {
        let close_after_response = matches!(slot, ClientSlot::Overflow { .. });
        Client {
            socket: Socket::for_client(stream, slot),
            idle_tracker: IdleTracker::new(now, used),
            stage: Cell::new(Stage::Idle),
            last_progress_at: Cell::new(now),
            head_started_at: Cell::new(None),
            head_received_at: Cell::new(0),
            request_count: Cell::new(0),
            close_after_response: Cell::new(close_after_response),
            close_mode: Cell::new(None),
            close_notify: Notify::new(),
        }
    }

    /// The current stage. A response counts as being written until the kernel has all of it, even once hyper has taken
    /// it.
    pub(crate) fn stage(&self) -> Stage {
        match self.stage.get() {
            Stage::Idle if self.socket.response_unsent.get() => Stage::WritingResponse,
            stage => stage,
        }
    }

    /// Called when a request's head has been read.
    pub(crate) fn request_started(&self) {
        self.request_count.set(self.request_count.get().saturating_add(1));
        self.idle_tracker.request_started();
        self.head_started_at.set(None);
        self.stage.set(Stage::ReadingBody);
    }

    /// Called when the request goes to the gateway.
    pub(crate) fn request_submitted(&self) {
        self.stage.set(Stage::AwaitingResponse);
    }

    /// Called when the response begins; returns whether the connection is closed after it.
    pub(crate) fn response_started(&self, now: Nanos) -> bool {
        self.last_progress_at.set(now);
        self.stage.set(Stage::WritingResponse);
        self.close_after_response.get()
    }

    /// Called when hyper has taken all of the response, or the request has ended without one.
    pub(crate) fn request_finished(&self, now: Nanos) {
        self.stage.set(Stage::Idle);
        self.last_progress_at.set(now);
        self.idle_tracker.response_sent(now);
        self.socket.data_received.set(false);
        self.socket.response_unsent.set(true);
    }

    /// Requests whose heads have been read.
    pub(crate) fn request_count(&self) -> u32 {
        self.request_count.get()
    }

    /// Whether the connection is between requests and nothing of a further one has arrived.
    pub(crate) fn is_idle(&self) -> bool {
        self.stage() == Stage::Idle && !self.socket.data_received.get() && self.socket.is_quiescent()
    }

    /// Whether the connection can be closed now without losing a request.
    pub(crate) fn may_close(&self, now: Nanos) -> bool {
        self.idle_tracker.may_evict(now) && self.is_idle()
    }

    /// Whether another process can take the connection over: no part of a further request has been read here.
    pub(crate) fn may_hand_over(&self) -> bool {
        !self.is_closing() && self.is_idle() && self.socket.is_between_requests()
    }

    /// Since when the connection has stalled within a head, if for long enough that it may be closed for others.
    pub(crate) fn head_stalled_since(&self, now: Nanos) -> Option<Nanos> {
        let head_received_at = self.head_received_at.get();
        let stalled =
            !self.socket.progressed.get() && now.saturating_sub(head_received_at) >= EVICTABLE_HEAD_STALL;
        let in_head = self.stage() == Stage::Idle && self.head_started_at.get().is_some();
        (in_head && stalled && self.socket.is_quiescent()).then_some(head_received_at)
    }

    /// Whether the connection is to be closed.
    pub(crate) fn is_closing(&self) -> bool {
        self.close_mode.get().is_some()
    }

    /// Whether a request is in flight whose response can still announce that the connection is closed after it.
    pub(crate) fn awaits_response(&self) -> bool {
        matches!(self.stage(), Stage::ReadingBody | Stage::AwaitingResponse) && !self.is_closing()
    }

    /// Whether the connection is closed after its next response.
    pub(crate) fn closes_after_response(&self) -> bool {
        self.close_after_response.get()
    }

    /// Requests that the connection is closed. An immediate close is not overridden: another process may have the
    /// connection.
    pub(crate) fn request_close(&self, mode: CloseMode) {
        match (mode, self.close_mode.get()) {
            (CloseMode::AfterResponse, _) => return self.close_after_response.set(true),
            (_, Some(CloseMode::Immediately)) => {}
            _ => self.close_mode.set(Some(mode)),
        }
        self.close_notify.notify_one();
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn close_requested(&self) -> Option<CloseMode> {
        self.close_notify.notified().await;
        self.close_mode.get()
    }

    /// Withdraws the close: a request has arrived since.
    pub(crate) fn cancel_close(&self) {
        self.close_mode.set(None);
    }

    /// Closes the connection if it has made no progress for too long, and returns the event to count. When more than
    /// half of the slots are taken, clients that send one request and stay connected would leave no slot for those that
    /// come next, which open no more than their share. The idle timeout is then shorter, at the price that clients
    /// which pause have to reconnect.
    pub(crate) fn sweep(&self, now: Nanos, crowded: bool) -> Option<Kind> {
        match self.stage() {
            Stage::Idle if self.socket.data_received.get() => return self.sweep_head(now),
            Stage::Idle => return self.sweep_idle(now, crowded),
            Stage::WritingResponse => return self.sweep_response(now, crowded),
            // Nothing more is read while the client has sent data beyond the pending request, so its close is noticed
            // only here.
            Stage::AwaitingResponse if self.socket.peer_closed() => {
                self.request_close(CloseMode::Immediately)
            }
            // A body being read has its own limits, and a pending request has the gateway's deadline.
            _ => {}
        }
        None
    }

    /// Closes the connection if the client has taken nothing of its response for too long. While there is nothing to
    /// write, the server is waited for, which has limits of its own.
    fn sweep_response(&self, now: Nanos, crowded: bool) -> Option<Kind> {
        if self.socket.progressed.replace(false) || !self.socket.write_blocked() {
            self.last_progress_at.set(now);
            // The connection is not idle before the kernel has all of the response.
            self.idle_tracker.response_sent(now);
            return None;
        }
        let stalled = Duration::from_nanos(now.saturating_sub(self.last_progress_at.get()));
        if stalled < write_stall_timeout(crowded) {
            return None;
        }
        self.request_close(CloseMode::Immediately);
        Some(Kind::ClosedStuck)
    }

    /// Closes the connection if it has been idle for too long.
    fn sweep_idle(&self, now: Nanos, crowded: bool) -> Option<Kind> {
        self.idle_tracker.record_check();
        let age = self.idle_tracker.idle_for(now);
        let idle_in_crowd = if self.idle_tracker.used() {
            self.idle_tracker.may_close(now)
        } else {
            age >= FIRST_REQUEST_TIMEOUT_CROWDED
        };
        let timed_out = age >= IDLE_TIMEOUT || crowded && idle_in_crowd;
        // A connection that was to be closed and is still open holds a part of a head that arrived with the request
        // before.
        if age >= IDLE_TIMEOUT + HEAD_TIMEOUT && self.socket.is_quiescent() {
            self.request_close(CloseMode::Immediately);
        } else if timed_out && self.may_close(now) {
            self.request_close(CloseMode::WhenIdle);
            return Some(Kind::ClosedIdle);
        }
        None
    }

    /// Closes the connection if its head is incomplete for too long.
    fn sweep_head(&self, now: Nanos) -> Option<Kind> {
        let started_at = self.head_started_at.get().unwrap_or(now);
        self.head_started_at.set(Some(started_at));
        if self.socket.progressed.replace(false) {
            self.head_received_at.set(now);
        }
        let first_head_late =
            !self.idle_tracker.used() && self.idle_tracker.idle_for(now) >= FIRST_HEAD_TIMEOUT;
        if !first_head_late && now.saturating_sub(started_at) < HEAD_TIMEOUT {
            return None;
        }
        self.request_close(CloseMode::Immediately);
        Some(Kind::ClosedSlow)
    }
}
