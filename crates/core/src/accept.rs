//! The accept loop for client connections, shared by all protocols.

use crate::budget::Budget;
use crate::connect::{is_descriptor_exhaustion, is_local_failure};
use crate::retry_io::{classify_error, ErrorClass};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};

/// Pause after a failed accept that a resource shortage caused. Without a free descriptor an immediate retry would only
/// spin: a connection has to close first.
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(10);
/// How often a waiting client checks for a free slot.
const FULL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// If none of the connections asked to close has closed within this time, one more is asked to.
const ESCALATION_INTERVAL: Duration = Duration::from_millis(100);

/// Whether the accept loop takes new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptState {
    /// New connections are accepted.
    Accepting,
    /// Accepting is suspended: another process of the node accepts from the same queue, or this one does not serve yet.
    Paused,
    /// Accepting has ended for good, once the connections that the kernel has already accepted for us are taken.
    Closed,
}

/// Handles the connections that a listener accepts.
pub trait ConnectionHandler {
    /// Serves a newly accepted connection.
    fn serve(self: &Rc<Self>, stream: TcpStream);

    /// Serves a connection for which there is no regular slot, if its response can ask the client to reconnect and a
    /// descriptor is free; returns the connection otherwise.
    fn serve_overflow(self: &Rc<Self>, stream: TcpStream) -> Result<(), TcpStream> {
        Err(stream)
    }

    /// Notified whenever a connection has closed.
    fn connection_closed(&self) -> &Notify;
}

/// How urgently a new client needs a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDemand {
    /// The client has a slot, but the next ones will not.
    Upcoming,
    /// The client has waited this long for a slot.
    Waiting(Duration),
}

impl SlotDemand {
    /// Number of connections that should be closing on behalf of one waiting client: one, and one more for each
    /// [`ESCALATION_INTERVAL`] in which none of them has closed.
    pub fn connections_to_close(self) -> usize {
        match self {
            SlotDemand::Upcoming => 0,
            SlotDemand::Waiting(waited) => {
                1 + (waited.as_millis() / ESCALATION_INTERVAL.as_millis()) as usize
            }
        }
    }
}

/// Closes a client connection that can be spared, on any front. All fronts share the descriptors, and idle clients of
/// one protocol must not keep out those of another.
pub type EvictClient = Rc<dyn Fn(SlotDemand)>;

/// Accepts connections in the state `Accepting`, until the state is `Closed` and the connections that the kernel has
/// accepted by then are taken.
pub async fn accept<D: ConnectionHandler>(
    handler: Rc<D>,
    budget: Rc<Budget>,
    evict_client: EvictClient,
    listener: Rc<TcpListener>,
    mut accept_state: watch::Receiver<AcceptState>,
) {
    // One accepted client that has no slot yet, and since when it waits: connections are evicted only on behalf of a
    // waiting client. Those behind it stay in the kernel's queue.
    let mut waiting: Option<(TcpStream, Instant)> = None;
    loop {
        let now = *accept_state.borrow_and_update();
        let (open, shut) = (now != AcceptState::Paused, now == AcceptState::Closed);
        if let Some((stream, since)) = waiting.take() {
            // Once no further connections are accepted, there is no point in keeping this one waiting.
            if !budget.clients_exhausted() || now != AcceptState::Accepting {
                handler.serve(stream);
            } else {
                waiting = serve_when_full(&handler, &evict_client, stream, since);
            }
        }
        // Connections that find no slot while the listener closes stay in the kernel's queue.
        let takes = open && waiting.is_none() && !(shut && budget.clients_exhausted());
        tokio::select! {
            biased;
            _ = handler.connection_closed().notified(), if waiting.is_some() => {}
            _ = tokio::time::sleep(FULL_POLL_INTERVAL), if waiting.is_some() => {}
            accepted = listener.accept(), if takes => match accepted {
                Ok((stream, _)) if budget.clients_exhausted() => waiting = Some((stream, Instant::now())),
                Ok((stream, _)) => {
                    if budget.clients() >= budget.max_clients() {
                        evict_client(SlotDemand::Upcoming);
                    }
                    handler.serve(stream);
                }
                Err(error) => handle_accept_error(&error, &evict_client).await,
            },
            _ = std::future::ready(()), if shut => return,
            changed = accept_state.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

/// Serves a client that has waited since `since` as overflow, or returns it and asks for a connection to be evicted.
fn serve_when_full<D: ConnectionHandler>(
    handler: &Rc<D>,
    evict_client: &EvictClient,
    stream: TcpStream,
    since: Instant,
) -> Option<(TcpStream, Instant)> {
    let stream = handler.serve_overflow(stream).err()?;
    evict_client(SlotDemand::Waiting(since.elapsed()));
    Some((stream, since))
}

async fn handle_accept_error(error: &io::Error, evict_client: &EvictClient) {
    if is_descriptor_exhaustion(error) {
        evict_client(SlotDemand::Waiting(Duration::ZERO));
        tokio::time::sleep(EXHAUSTED_PAUSE).await;
    } else if is_local_failure(error) && classify_error(error) != ErrorClass::Interrupted {
        // A temporary shortage of memory or buffers does not pass sooner if the call is repeated at once.
        tokio::time::sleep(EXHAUSTED_PAUSE).await;
    } else {
        // The call was interrupted, or a client disconnected while queued: the next one is unaffected.
        tokio::task::yield_now().await;
    }
}
