//! Opening connections to servers, within the node's descriptor limit and the cap on connections to one server.

use crate::budget::Slot;
use crate::call::Wire;
use crate::connection::Connection;
use crate::fleet::ServerConnectionSlot;
use crate::gateway::Gateway;
use crate::retry_io::{classify_error, ErrorClass};
use laurelroute_policy::interface::Endpoint;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// The process has no descriptor left.
const EMFILE: i32 = 24;
/// The system has no descriptor left.
const ENFILE: i32 = 23;

/// No buffer space is left; the standard library has no [`io::ErrorKind`] for it.
const ENOBUFS: i32 = 105;
/// Number of attempts to open a connection that fails for want of a local resource.
const MAX_CONNECT_TRIES: u32 = 3;
/// Pause between these attempts.
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(2);

/// Whether an error means that no descriptor is left.
pub fn is_descriptor_exhaustion(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE))
}

/// Whether a connection could not be opened for a reason on this machine, which says nothing about the peer.
pub(crate) fn is_local_failure(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrNotAvailable, NetworkUnreachable, OutOfMemory};
    is_descriptor_exhaustion(error)
        || classify_error(error) != ErrorClass::Fatal
        || matches!(error.kind(), AddrNotAvailable | NetworkUnreachable | OutOfMemory)
        || error.raw_os_error() == Some(ENOBUFS)
}

/// Opens a TCP connection; retries after a short pause if a resource of this machine is temporarily exhausted.
pub async fn connect_with_retry(address: SocketAddr) -> io::Result<TcpStream> {
    for _ in 1..MAX_CONNECT_TRIES {
        match TcpStream::connect(address).await {
            Err(e) if is_local_failure(&e) => tokio::time::sleep(CONNECT_RETRY_PAUSE).await,
            connected => return connected,
        }
    }
    TcpStream::connect(address).await
}

/// Why no connection to a server could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The server's side failed: this counts against the server.
    Failed,
    /// The node itself has no descriptor left, or the server already has the maximum number of this node's connections.
    Exhausted,
}

/// Connects to a server. If the node's descriptors or the server's connections are used up, idle connections and those of
/// abandoned attempts are closed to make room.
pub async fn connect(
    gateway: &Rc<Gateway>,
    server: Endpoint,
    wire: Wire,
    address: SocketAddr,
) -> Result<Rc<Connection>, ConnectError> {
    let server_slot: ServerConnectionSlot = loop {
        match gateway.fleet(|f| f.reserve_connection(server, wire)) {
            Some(server_slot) => break server_slot,
            None if gateway.evict_from_other_services(server) || gateway.end_lingering_at(server) => {}
            None => return Err(ConnectError::Exhausted),
        }
    };
    let slot: Slot = loop {
        if let Some(slot) = gateway.budget.acquire_server() {
            break slot;
        }
        if gateway.evict_idle_connection() {
            continue;
        }
        if !gateway.end_lingering() {
            return Err(ConnectError::Exhausted);
        }
    };
    let limit = Duration::from_nanos(gateway.config.connect_timeout);
    match tokio::time::timeout(limit, connect_with_retry(address)).await {
        Ok(Ok(stream)) => Ok(Connection::new(stream, (slot, server_slot))),
        Ok(Err(e)) if is_local_failure(&e) => Err(ConnectError::Exhausted),
        Ok(Err(_)) | Err(_) => Err(ConnectError::Failed),
    }
}
