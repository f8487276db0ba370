//! Accepting clients, the same on every wire.

use crate::budget::Budget;
use crate::connect::{exhausted, of_this_machine};
use crate::retry_io::{classify_error, ErrorClass};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};

/// Without a descriptor, accepting again at once would only spin: something has to close first.
const EXHAUSTED: Duration = Duration::from_millis(10);
/// A place for a client that waits is looked for this often.
const FULL: Duration = Duration::from_millis(20);
/// Where none of those that are to end has ended for so long, one more is told to.
const ONE_MORE_AFTER: Duration = Duration::from_millis(100);

/// Whether clients are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptState {
    /// They are.
    Accepting,
    /// Not now: another process of the node takes them from the same queue, or this one does not serve yet.
    Paused,
    /// Never more, once what the kernel has accepted for us is taken.
    Closed,
}

/// A front's connections.
pub trait ConnectionHandler {
    /// A client has connected.
    fn serve(self: &Rc<Self>, stream: TcpStream);

    /// A client has connected for whom there is no place: it is served beyond the places where its answer can tell it to
    /// come back on another connection and a descriptor is free, and is given back where not.
    fn serve_overflow(self: &Rc<Self>, stream: TcpStream) -> Result<(), TcpStream> {
        Err(stream)
    }

    /// Told whenever a connection has gone.
    fn connection_closed(&self) -> &Notify;
}

/// How much a new client needs a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDemand {
    /// It has one, and those that come next will have none.
    Upcoming,
    /// It has waited for one for so long.
    Waiting(Duration),
}

impl SlotDemand {
    /// Connections that should be about to end for the sake of one client that waits: one, and one more for each span in
    /// which none of them has.
    pub fn connections_to_close(self) -> usize {
        match self {
            SlotDemand::Upcoming => 0,
            SlotDemand::Waiting(waited) => 1 + (waited.as_millis() / ONE_MORE_AFTER.as_millis()) as usize,
        }
    }
}

/// Ends a connection, on whichever front, if there is one that can be spared: all of them share the descriptors, and
/// idle clients of one wire must not keep those of another out.
pub type EvictClient = Rc<dyn Fn(SlotDemand)>;

/// Accepts while the gate is open, and until it is shut. What the kernel has accepted for us by then is taken.
pub async fn accept<D: ConnectionHandler>(
    door: Rc<D>,
    budget: Rc<Budget>,
    make_room: EvictClient,
    listener: Rc<TcpListener>,
    mut gate: watch::Receiver<AcceptState>,
) {
    // One client for whom there is no place yet, and since when it waits: room is made only for somebody. The kernel holds
    // those behind it.
    let mut waiting: Option<(TcpStream, Instant)> = None;
    loop {
        let now = *gate.borrow_and_update();
        let (open, shut) = (now != AcceptState::Paused, now == AcceptState::Closed);
        if let Some((stream, since)) = waiting.take() {
            // Once no further ones are accepted, nothing comes of keeping this one waiting.
            if !budget.clients_exhausted() || now != AcceptState::Accepting {
                door.serve(stream);
            } else {
                waiting = open_full(&door, &make_room, stream, since);
            }
        }
        // What does not find a place any more as the door shuts stays with the kernel.
        let takes = open && waiting.is_none() && !(shut && budget.clients_exhausted());
        tokio::select! {
            biased;
            _ = door.connection_closed().notified(), if waiting.is_some() => {}
            _ = tokio::time::sleep(FULL), if waiting.is_some() => {}
            accepted = listener.accept(), if takes => match accepted {
                Ok((stream, _)) if budget.clients_exhausted() => waiting = Some((stream, Instant::now())),
                Ok((stream, _)) => {
                    if budget.clients() >= budget.max_clients() {
                        make_room(SlotDemand::Upcoming);
                    }
                    door.serve(stream);
                }
                Err(error) => not_accepted(&error, &make_room).await,
            },
            _ = std::future::ready(()), if shut => return,
            changed = gate.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

/// Serves a client that has waited since then where all places are taken, or gives it back and makes room for it.
fn open_full<D: ConnectionHandler>(
    door: &Rc<D>,
    make_room: &EvictClient,
    stream: TcpStream,
    since: Instant,
) -> Option<(TcpStream, Instant)> {
    let stream = door.serve_overflow(stream).err()?;
    make_room(SlotDemand::Waiting(since.elapsed()));
    Some((stream, since))
}

async fn not_accepted(error: &io::Error, make_room: &EvictClient) {
    if exhausted(error) {
        make_room(SlotDemand::Waiting(Duration::ZERO));
        tokio::time::sleep(EXHAUSTED).await;
    } else if of_this_machine(error) && classify_error(error) != ErrorClass::Interrupted {
        // Memory or buffers that are short for a moment come back no sooner for being asked at once.
        tokio::time::sleep(EXHAUSTED).await;
    } else {
        // Interrupted, or a client that left while it waited: nothing to do with the next one.
        tokio::task::yield_now().await;
    }
}
