//! Requests a takeover from the process that already serves at the address and receives its offer.

use super::link::{runtime_path, socket, socket_address, Link, LinkError, SOCKET};
use laurelroute_handover::bans::BanRecord;
use laurelroute_handover::message::{Message, SocketKind, VERSION};
use laurelroute_policy::interface::LearnedState;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;

/// How long the old process's offer is waited for. A running one sends it at once; clients must not wait for a
/// stopped one.
const OFFER_TIMEOUT: Duration = Duration::from_millis(120);

/// Result of requesting a takeover from the process that already serves at the address.
pub(crate) enum PredecessorReply {
    /// There is no such process, or it cannot be contacted.
    None,
    /// It hands over its sockets and state.
    Offered(Link, Offer),
    /// It accepted the connection but has not answered in time. It may answer later.
    Silent(Link),
}

/// What the old process hands over.
pub(crate) struct Offer {
    /// Listening sockets and the idle queue, by kind.
    sockets: Vec<(SocketKind, OwnedFd)>,
    /// Number of descriptors that this process may hold.
    pub(super) quota: usize,
    /// The old process sends heartbeats and expects them.
    pub(super) sends_heartbeats: bool,
    /// Bans of servers, and lifted bans, by operators.
    pub(super) ban_records: Vec<BanRecord>,
    /// What the old process has learned about servers.
    pub(super) learned_state: LearnedState,
}

impl PredecessorReply {
    /// Requests a takeover from the process that serves at `listen`.
    pub(crate) async fn request(listen: SocketAddr) -> PredecessorReply {
        let Some(path) = runtime_path(listen, SOCKET).filter(|path| path.exists()) else {
            return PredecessorReply::None;
        };
        let request = async {
            let link = connect(&path).await?;
            match tokio::time::timeout(OFFER_TIMEOUT, receive_offer(&link)).await {
                Ok(offer) => Ok(PredecessorReply::Offered(link, offer?)),
                Err(_) => Ok(PredecessorReply::Silent(link)),
            }
        };
        let reply: Result<PredecessorReply, LinkError> = request.await;
        match &reply {
            Err(error) => tracing::warn!("takeover: {error}; sharing the address without a handover"),
            Ok(PredecessorReply::Silent(_)) => {
                tracing::warn!("takeover: the old process did not answer in time; new connections are routed here once there is a list")
            }
            Ok(_) => {}
        }
        reply.unwrap_or(PredecessorReply::None)
    }

    /// The offered listening sockets of this kind that are bound to `address`.
    pub(crate) fn listeners(&mut self, kind: SocketKind, address: SocketAddr) -> Vec<TcpListener> {
        match self {
            PredecessorReply::Offered(_, offer) => offer.listeners(kind, address),
            PredecessorReply::None | PredecessorReply::Silent(_) => Vec::new(),
        }
    }

    /// The ban records received with the offer.
    pub(crate) fn take_ban_updates(&mut self) -> Vec<BanRecord> {
        match self {
            PredecessorReply::Offered(_, offer) => std::mem::take(&mut offer.ban_records),
            PredecessorReply::None | PredecessorReply::Silent(_) => Vec::new(),
        }
    }
}

/// Connects to the old process's socket and sends the takeover request.
async fn connect(path: &Path) -> Result<Link, LinkError> {
    let (_folder, address) = socket_address(path)?;
    let socket = socket()?;
    rustix::net::connect(&socket, &address)?;
    let link = Link::new(socket)?;
    link.send(&Message::TakeoverRequest { version: VERSION, sends_heartbeats: true }, &[]).await?;
    Ok(link)
}

/// Receives the old process's offer, however long it takes.
pub(super) async fn receive_offer(link: &Link) -> Result<Offer, LinkError> {
    let (mut ban_records, mut learned_state) = (Vec::new(), LearnedState::default());
    loop {
        match link.receive().await? {
            (Message::Bans { records: more, .. }, _) => ban_records.extend(more),
            (Message::LearnedState(chunk), _) => chunk.merge_into(&mut learned_state),
            (Message::Offer { version: VERSION, sockets: kinds, quota, sends_heartbeats }, descriptors) => {
                let sockets = kinds.into_iter().zip(descriptors).collect();
                return Ok(Offer { sockets, quota, sends_heartbeats, ban_records, learned_state });
            }
            _ => {}
        }
    }
}

impl Offer {
    /// Takes the offered descriptors of this kind.
    fn take(&mut self, kind: SocketKind) -> Vec<OwnedFd> {
        let (matching, others) = std::mem::take(&mut self.sockets).into_iter().partition(|(k, _)| *k == kind);
        self.sockets = others;
        Vec::into_iter(matching).map(|(_, descriptor)| descriptor).collect()
    }

    /// Takes the listening sockets of this kind that are bound to `address`.
    pub(super) fn listeners(&mut self, kind: SocketKind, address: SocketAddr) -> Vec<TcpListener> {
        let at_address = |fd| {
            let listener = std::net::TcpListener::from(fd);
            (listener.local_addr().ok()? == address).then_some(())?;
            TcpListener::from_std(listener).ok()
        };
        self.take(kind).into_iter().filter_map(at_address).collect()
    }

    /// Takes the queue on which the old process passes idle clients' connections.
    pub(super) fn idle_queue(&mut self) -> Option<Link> {
        self.take(SocketKind::IdleQueue).pop().and_then(|fd| Link::new(fd).ok())
    }
}
