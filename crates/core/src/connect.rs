//! New connections to servers, within the node's descriptors and the server's own cap.

use crate::budget::Slot;
use crate::call::Wire;
use crate::fleet::ServerConnectionSlot;
use crate::gateway::Gateway;
use crate::retry_io::{classify_error, ErrorClass};
use laurelroute_policy::interface::Endpoint;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Descriptors used up: for the process and for the system.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;

/// Buffers used up, for which the library has no kind of error.
const ENOBUFS: i32 = 105;
/// A connection that could not be begun for such a reason is begun again so often, after this pause.
const TRIES: u32 = 3;
const PAUSE: Duration = Duration::from_millis(2);

/// Whether an error says that no descriptor is left.
pub fn exhausted(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE))
}

/// Whether it is this machine that could not begin a connection: nothing is known of the other side then.
pub(crate) fn of_this_machine(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrNotAvailable, NetworkUnreachable, OutOfMemory};
    exhausted(error)
        || classify_error(error) != ErrorClass::Fatal
        || matches!(error.kind(), AddrNotAvailable | NetworkUnreachable | OutOfMemory)
        || error.raw_os_error() == Some(ENOBUFS)
}

/// Connects; what this machine is short of for a moment is waited for a little.
pub async fn connect_with_retry(address: SocketAddr) -> io::Result<TcpStream> {
    for _ in 1..TRIES {
        match TcpStream::connect(address).await {
            Err(e) if of_this_machine(&e) => tokio::time::sleep(PAUSE).await,
            connected => return connected,
        }
    }
    TcpStream::connect(address).await
}

/// Why no connection was to be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The server's side: it counts against the server.
    Failed,
    /// The node itself has no descriptor left, or the server holds as many connections of ours as it may.
    Exhausted,
}

/// What a connection holds for as long as it is open.
#[derive(Debug)]
pub struct ConnectionPermit {
    _slot: Slot,
    _place: ServerConnectionSlot,
}

/// Connects to a server, making room where the node's descriptors or the server's connections are used up.
pub async fn connect(
    gateway: &Rc<Gateway>,
    server: Endpoint,
    wire: Wire,
    dial: SocketAddr,
) -> Result<(TcpStream, ConnectionPermit), ConnectError> {
    let place = loop {
        match gateway.fleet(|f| f.reserve_connection(server, wire)) {
            Some(place) => break place,
            None if gateway.evict_from_other_services(server) => {}
            None => return Err(ConnectError::Exhausted),
        }
    };
    let slot = loop {
        if let Some(slot) = gateway.budget.acquire_server() {
            break slot;
        }
        if gateway.evict_idle_connection() {
            continue;
        }
        if !gateway.abort_lingering() {
            return Err(ConnectError::Exhausted);
        }
        // What was told to stop gives its descriptor back when the runtime gets to it.
        tokio::task::yield_now().await;
    };
    let limit = Duration::from_nanos(gateway.config.connect_timeout);
    match tokio::time::timeout(limit, connect_with_retry(dial)).await {
        Ok(Ok(stream)) => Ok((stream, ConnectionPermit { _slot: slot, _place: place })),
        Ok(Err(e)) if of_this_machine(&e) => Err(ConnectError::Exhausted),
        Ok(Err(_)) | Err(_) => Err(ConnectError::Failed),
    }
}
