//! One client's connection: where it stands, when it has stood still for too long, and when it may be ended.

use crate::socket::Socket;
use laurelroute_core::budget::{OverflowSlot, Slot};
use laurelroute_core::events::Kind;
use laurelroute_core::idle::IdleTracker;
use laurelroute_policy::interface::Nanos;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// No client may hold a descriptor for good, be it silent, slow or out to do harm. A connection without a
/// request is closed after `IDLE`, and sooner in a crowd ([`Client::sweep`]), one with a part of a head after `HEAD` more, however it trickles in; a body
/// has a pace of its own (`intake.rs`), and an answer may stand still for `STUCK`. Clients that talk at all
/// may take 2 s for a head and come to 64 kB a second in a body; slower lines would do harm to honest ones.
const IDLE: Nanos = 2_000_000_000;
/// ... and one that has never said anything after this, where more than half of the places are taken.
const SILENT_CROWDED: Nanos = 150_000_000;
const HEAD: Nanos = 2_500_000_000;
/// ... and a connection's first head has to be whole by then, counted from its opening.
const FIRST_HEAD: Nanos = 2_750_000_000;
const STUCK: Nanos = 3_000_000_000;
/// One that has stopped in a head for so long may make room for others. Honest clients that are slow go on writing; it
/// would do harm to those that pause for longer, but only where there is no other place left.
const STOPPED: Nanos = 700_000_000;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Between requests, or in a head.
    Idle,
    /// In a body.
    Reading,
    /// The request is with the gateway, whose deadline bounds it.
    Waiting,
    /// The answer is on its way.
    Writing,
}

/// How a connection is told to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Closed between two requests, unless one has come meanwhile.
    AtRest,
    /// Closed behind its next answer, which says so.
    WithAnswer,
    /// Dropped at once: what has come of it is no request, or another process has it.
    Now,
}

/// What a connection counts as against the limits.
pub(crate) enum Place {
    /// One of the places, which it may keep.
    Kept { _slot: Slot },
    /// One beyond them: it ends with its first answer.
    Overflow { _slot: OverflowSlot },
}

/// A client's connection. All times are running time ([`laurelroute_core::running`]).
pub(crate) struct Client {
    pub(crate) socket: Rc<Socket>,
    pub(crate) rest: IdleTracker,
    stage: Cell<Stage>,
    /// Since when an answer stands still.
    still_since: Cell<Nanos>,
    /// When a part of a head was first seen.
    head_since: Cell<Option<Nanos>>,
    /// When more of it was last seen to have come.
    came_at: Cell<Nanos>,
    /// Requests whose head was read.
    requests: Cell<u32>,
    /// Its next answer is its last one, and says so.
    last_answer: Cell<bool>,
    /// Told to end; it still holds its descriptor.
    end: Cell<Option<End>>,
    ended: Notify,
    _place: Place,
}

impl Client {
    pub(crate) fn new(socket: Rc<Socket>, now: Nanos, used: bool, place: Place) -> Client {
        Client {
            socket,
            rest: IdleTracker::new(now, used),
            stage: Cell::new(Stage::Idle),
            still_since: Cell::new(now),
            head_since: Cell::new(None),
            came_at: Cell::new(0),
            requests: Cell::new(0),
            last_answer: Cell::new(matches!(place, Place::Overflow { .. })),
            end: Cell::new(None),
            ended: Notify::new(),
            _place: place,
        }
    }

    /// Where it stands: an answer is on its way until the kernel has all of it, whatever hyper has taken.
    pub(crate) fn stage(&self) -> Stage {
        match self.stage.get() {
            Stage::Idle if self.socket.unsent.get() => Stage::Writing,
            stage => stage,
        }
    }

    /// A request's head has been read.
    pub(crate) fn request_came(&self) {
        self.requests.set(self.requests.get().saturating_add(1));
        self.rest.request_started();
        self.head_since.set(None);
        self.stage.set(Stage::Reading);
    }

    /// The request is with the gateway.
    pub(crate) fn request_taken(&self) {
        self.stage.set(Stage::Waiting);
    }

    /// Its answer begins; whether that is to be the connection's last one.
    pub(crate) fn answer_begins(&self, now: Nanos) -> bool {
        self.still_since.set(now);
        self.stage.set(Stage::Writing);
        self.last_answer.get()
    }

    /// hyper has taken all of the answer, or the request is over without one.
    pub(crate) fn request_over(&self, now: Nanos) {
        self.stage.set(Stage::Idle);
        self.still_since.set(now);
        self.rest.response_sent(now);
        self.socket.heard.set(false);
        self.socket.unsent.set(true);
    }

    /// Requests whose head was read.
    pub(crate) fn requests(&self) -> u32 {
        self.requests.get()
    }

    /// It is between requests, and no further one has come.
    pub(crate) fn idle(&self) -> bool {
        self.stage() == Stage::Idle && !self.socket.heard.get() && self.socket.quiet()
    }

    /// No request is lost when it is closed now.
    pub(crate) fn may_close(&self, now: Nanos) -> bool {
        self.rest.may_evict(now) && self.idle()
    }

    /// No part of a further request has been read here, so that another process can go on with it.
    pub(crate) fn may_be_given(&self) -> bool {
        !self.ending() && self.idle() && self.socket.between()
    }

    /// Since when it has stood still in the middle of a head, if for so long that it may make room for others.
    pub(crate) fn stopped_since(&self, now: Nanos) -> Option<Nanos> {
        let came_at = self.came_at.get();
        let still = !self.socket.moved.get() && now.saturating_sub(came_at) >= STOPPED;
        let in_head = self.stage() == Stage::Idle && self.head_since.get().is_some();
        (in_head && still && self.socket.quiet()).then_some(came_at)
    }

    /// It has been told to end.
    pub(crate) fn ending(&self) -> bool {
        self.end.get().is_some()
    }

    /// A request is under way whose answer can tell that it is the last one.
    pub(crate) fn before_answer(&self) -> bool {
        matches!(self.stage(), Stage::Reading | Stage::Waiting) && !self.ending()
    }

    /// It ends with its next answer.
    pub(crate) fn ends_with_answer(&self) -> bool {
        self.last_answer.get()
    }

    /// Tells it to end. One that was told to end now is not told otherwise: another process may have it.
    pub(crate) fn tell(&self, end: End) {
        match (end, self.end.get()) {
            (End::WithAnswer, _) => return self.last_answer.set(true),
            (_, Some(End::Now)) => {}
            _ => self.end.set(Some(end)),
        }
        self.ended.notify_one();
    }

    /// Waits until it is told to end.
    pub(crate) async fn told(&self) -> Option<End> {
        self.ended.notified().await;
        self.end.get()
    }

    /// It goes on: a request has come since it was told to end.
    pub(crate) fn go_on(&self) {
        self.end.set(None);
    }

    /// Ends it if it has stood still for too long; what that counts as. Where more than half of the places are taken, clients
    /// that ask once and stay would leave none to those that come next, who do not open more than their part: there its
    /// rest is over sooner, which costs clients that pause some new connections.
    pub(crate) fn sweep(&self, now: Nanos, crowded: bool) -> Option<Kind> {
        match self.stage() {
            Stage::Idle if self.socket.heard.get() => return self.sweep_head(now),
            Stage::Idle => return self.sweep_rest(now, crowded),
            Stage::Writing if self.socket.moved.replace(false) => {
                self.still_since.set(now);
                // It does not rest before the kernel has all of the answer.
                self.rest.response_sent(now);
            }
            Stage::Writing if now.saturating_sub(self.still_since.get()) >= STUCK => {
                self.tell(End::Now);
                return Some(Kind::ClosedStuck);
            }
            // Whoever has sent more than the request that waits is not read on, and its end is seen only here.
            Stage::Waiting if self.socket.left() => self.tell(End::Now),
            // What is read has its own limit, and what waits has the gateway's.
            _ => {}
        }
        None
    }

    /// Ends it if it has rested for too long.
    fn sweep_rest(&self, now: Nanos, crowded: bool) -> Option<Kind> {
        self.rest.record_check();
        let age = self.rest.idle_for(now);
        let over_in_crowd = if self.rest.used() { self.rest.may_close(now) } else { age >= SILENT_CROWDED };
        let over = age >= IDLE || crowded && over_in_crowd;
        // One that was told to close and is still here sits on a part of a head that came with the request before.
        if age >= IDLE + HEAD && self.socket.quiet() {
            self.tell(End::Now);
        } else if over && self.may_close(now) {
            self.tell(End::AtRest);
            return Some(Kind::ClosedIdle);
        }
        None
    }

    /// Ends it if a part of a head has been there for too long.
    fn sweep_head(&self, now: Nanos) -> Option<Kind> {
        let begun = self.head_since.get().unwrap_or(now);
        self.head_since.set(Some(begun));
        if self.socket.moved.replace(false) {
            self.came_at.set(now);
        }
        let first = !self.rest.used() && self.rest.idle_for(now) >= FIRST_HEAD;
        if !first && now.saturating_sub(begun) < HEAD {
            return None;
        }
        self.tell(End::Now);
        Some(Kind::ClosedSlow)
    }
}
