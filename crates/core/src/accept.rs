//! Accepting clients, the same on every wire.

use crate::budget::Budget;
use crate::connect::exhausted;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Without a descriptor, accepting again at once would only spin: something has to close first.
const EXHAUSTED: Duration = Duration::from_millis(10);
/// Where no client has left for so long, another one is told to make room.
const FULL: Duration = Duration::from_millis(20);

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

/// Accepts until told to stop, and then what the kernel has accepted for us by then.
pub async fn accept<D: Door>(
    door: Rc<D>,
    budget: Rc<Budget>,
    make_room: MakeRoom,
    listener: TcpListener,
    stop: Rc<Notify>,
) {
    let mut stop = pin!(stop.notified());
    loop {
        // The kernel holds further ones until somebody has gone.
        let full = budget.clients_exhausted();
        if full {
            make_room();
        }
        tokio::select! {
            biased;
            _ = door.left().notified(), if full => {}
            _ = tokio::time::sleep(FULL), if full => {}
            accepted = listener.accept(), if !full => {
                accepted_one(&door, &budget, &make_room, accepted.map(|(stream, _)| stream)).await;
            }
            _ = &mut stop => return,
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
            if budget.clients() >= budget.most_clients {
                make_room();
            }
            door.open(stream);
        }
        Err(e) if exhausted(&e) => {
            make_room();
            tokio::time::sleep(EXHAUSTED).await;
        }
        // A client that left while it waited: nothing to do with the next one.
        Err(_) => tokio::task::yield_now().await,
    }
}
