//! Accepting clients, the same on every wire.

use crate::budget::Budget;
use crate::connect::{exhausted, of_this_machine};
use crate::retry_io::{meaning, Meaning};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};

/// Without a descriptor, accepting again at once would only spin: something has to close first.
const EXHAUSTED: Duration = Duration::from_millis(10);
/// Where no client has left for so long, another one is told to make room.
const FULL: Duration = Duration::from_millis(20);

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

    /// Told whenever a connection has gone.
    fn left(&self) -> &Notify;
}

/// Closes a connection that nobody needs, on whichever front, if there is one: all of them share the descriptors, and
/// idle clients of one wire must not keep those of another out.
pub type MakeRoom = Rc<dyn Fn()>;

/// Accepts while the gate is open, and until it is shut. What the kernel has accepted for us by then is taken.
pub async fn accept<D: Door>(
    door: Rc<D>,
    budget: Rc<Budget>,
    make_room: MakeRoom,
    listener: Rc<TcpListener>,
    mut gate: watch::Receiver<Gate>,
) {
    loop {
        let now = *gate.borrow_and_update();
        let (open, shut) = (now != Gate::Held, now == Gate::Shut);
        // The kernel holds further ones until somebody has gone.
        let full = budget.clients_exhausted();
        // While another process takes the clients, those here go over to it: there is nothing to make room for.
        if full && open {
            make_room();
        }
        tokio::select! {
            biased;
            _ = door.left().notified(), if full => {}
            _ = tokio::time::sleep(FULL), if full => {}
            accepted = listener.accept(), if open && !full => {
                accepted_one(&door, &budget, &make_room, accepted.map(|(stream, _)| stream)).await;
            }
            _ = std::future::ready(()), if shut => return,
            changed = gate.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

async fn accepted_one<D: Door>(
    door: &Rc<D>,
    budget: &Budget,
    make_room: &MakeRoom,
    accepted: io::Result<TcpStream>,
) {
    match accepted {
        Ok(stream) => {
            if budget.clients() >= budget.most_clients() {
                make_room();
            }
            door.open(stream);
        }
        Err(e) if exhausted(&e) => {
            make_room();
            tokio::time::sleep(EXHAUSTED).await;
        }
        // Memory or buffers that are short for a moment come back no sooner for being asked at once.
        Err(e) if of_this_machine(&e) && meaning(&e) != Meaning::Again => {
            tokio::time::sleep(EXHAUSTED).await;
        }
        // Interrupted, or a client that left while it waited: nothing to do with the next one.
        Err(_) => tokio::task::yield_now().await,
    }
}
