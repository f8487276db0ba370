//! Accepting clients, the same on every wire.

use crate::budget::Budget;
use crate::connect::{exhausted, of_this_machine};
use crate::retry_io::{meaning, Meaning};
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
pub enum Gate {
    /// They are.
    Open,
    /// Not now: another process of the node takes them from the same queue, or this one does not serve yet.
    Held,
    /// Never more, once what the kernel has accepted for us is taken.
    Shut,
}

/// A front's connections.
pub trait Door {
    /// A client has connected.
    fn open(self: &Rc<Self>, stream: TcpStream);

    /// A client has connected for whom there is no place: it is served beyond the places where its answer can tell it to
    /// come back on another connection and a descriptor is free, and is given back where not.
    fn open_overflow(self: &Rc<Self>, stream: TcpStream) -> Result<(), TcpStream> {
        Err(stream)
    }

    /// Told whenever a connection has gone.
    fn left(&self) -> &Notify;
}

/// How much a new client needs a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// It has one, and those that come next will have none.
    Soon,
    /// It has waited for one for so long.
    Now(Duration),
}

impl Need {
    /// Connections that should be about to end for the sake of one client that waits: one, and one more for each span in
    /// which none of them has.
    pub fn ends_wanted(self) -> usize {
        match self {
            Need::Soon => 0,
            Need::Now(waited) => 1 + (waited.as_millis() / ONE_MORE_AFTER.as_millis()) as usize,
        }
    }
}

/// Ends a connection, on whichever front, if there is one that can be spared: all of them share the descriptors, and
/// idle clients of one wire must not keep those of another out.
pub type MakeRoom = Rc<dyn Fn(Need)>;

/// Accepts while the gate is open, and until it is shut. What the kernel has accepted for us by then is taken.
pub async fn accept<D: Door>(
    door: Rc<D>,
    budget: Rc<Budget>,
    make_room: MakeRoom,
    listener: Rc<TcpListener>,
    mut gate: watch::Receiver<Gate>,
) {
    // One client for whom there is no place yet, and since when it waits: room is made only for somebody. The kernel holds
    // those behind it.
    let mut waiting: Option<(TcpStream, Instant)> = None;
    loop {
        let now = *gate.borrow_and_update();
        let (open, shut) = (now != Gate::Held, now == Gate::Shut);
        if let Some((stream, since)) = waiting.take() {
            // Once no further ones are accepted, nothing comes of keeping this one waiting.
            if !budget.clients_exhausted() || now != Gate::Open {
                door.open(stream);
            } else {
                waiting = open_full(&door, &make_room, stream, since);
            }
        }
        // What does not find a place any more as the door shuts stays with the kernel.
        let takes = open && waiting.is_none() && !(shut && budget.clients_exhausted());
        tokio::select! {
            biased;
            _ = door.left().notified(), if waiting.is_some() => {}
            _ = tokio::time::sleep(FULL), if waiting.is_some() => {}
            accepted = listener.accept(), if takes => match accepted {
                Ok((stream, _)) if budget.clients_exhausted() => waiting = Some((stream, Instant::now())),
                Ok((stream, _)) => {
                    if budget.clients() >= budget.most_clients() {
                        make_room(Need::Soon);
                    }
                    door.open(stream);
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
fn open_full<D: Door>(
    door: &Rc<D>,
    make_room: &MakeRoom,
    stream: TcpStream,
    since: Instant,
) -> Option<(TcpStream, Instant)> {
    let stream = door.open_overflow(stream).err()?;
    make_room(Need::Now(since.elapsed()));
    Some((stream, since))
}

async fn not_accepted(error: &io::Error, make_room: &MakeRoom) {
    if exhausted(error) {
        make_room(Need::Now(Duration::ZERO));
        tokio::time::sleep(EXHAUSTED).await;
    } else if of_this_machine(error) && meaning(error) != Meaning::Again {
        // Memory or buffers that are short for a moment come back no sooner for being asked at once.
        tokio::time::sleep(EXHAUSTED).await;
    } else {
        // Interrupted, or a client that left while it waited: nothing to do with the next one.
        tokio::task::yield_now().await;
    }
}
