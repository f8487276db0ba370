//! Requests a takeover from the process that already serves at the address and receives its offer.

use super::link::{runtime_path, socket, socket_address, Link, LinkError, SOCKET};
use crate::discovery::Host;
use laurelroute_handover::bans::BanRecord;
use laurelroute_handover::message::{Message, SocketKind, VERSION};
use laurelroute_handover::server_list::{ListAssembler, ServerListUpdate};
use laurelroute_policy::interface::LearnedState;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{timeout, Instant};

/// How long the next packet of the old process's offer is waited for. A running one sends it at once; clients must not
/// wait for a stopped one.
const PACKET_TIMEOUT: Duration = Duration::from_millis(120);
/// How long a whole offer is waited for, whose packets keep coming. The old process serves meanwhile.
const OFFER_TIMEOUT: Duration = Duration::from_millis(600);

/// Result of requesting a takeover from the process that already serves at the address.
pub(crate) enum PredecessorReply {
    /// There is no such process, or it cannot be contacted.
    None,
    /// It hands over its sockets and state.
    Offered(Link, Offer),
    /// It accepted the connection but has not answered in time. It may answer later; this is what has come so far.
    Silent(Link, PartialOffer),
}

/// What the old process hands over.
pub(crate) struct Offer {
    /// Listening sockets and the idle queue, by kind.
    sockets: Vec<(SocketKind, OwnedFd)>,
    /// Number of descriptors that this process may hold.
    pub(super) quota: usize,
    /// The old process sends heartbeats and expects them.
    pub(super) sends_heartbeats: bool,
    /// The old process understands server lists.
    pub(super) shares_lists: bool,
    /// The old process understands [`Message::Ending`].
    pub(super) resumes: bool,
    /// What came ahead of the sockets.
    pub(super) state: PartialOffer,
}

/// What the old process sends ahead of its sockets, in many packets.
#[derive(Default)]
pub(crate) struct PartialOffer {
    /// The server list as the old process has it, if it was told one.
    pub(super) server_list: Option<ServerListUpdate<Host>>,
    /// Bans of servers, and lifted bans, by operators.
    pub(super) ban_records: Vec<BanRecord>,
    /// What the old process has learned about servers.
    pub(super) learned_state: LearnedState,
    /// The packets of a list that is not complete.
    assembler: ListAssembler,
}

impl PredecessorReply {
    /// Requests a takeover from the process that serves at `listen`.
    pub(crate) async fn request(listen: SocketAddr) -> PredecessorReply {
        let Some(path) = runtime_path(listen, SOCKET).filter(|path| path.exists()) else {
            return PredecessorReply::None;
        };
        let request = async {
            let link = connect(&path).await?;
            let mut state = PartialOffer::default();
            match receive_offer_in_time(&link, &mut state).await? {
                Some(sockets) => Ok(PredecessorReply::Offered(link, sockets.with_state(state))),
                None => Ok(PredecessorReply::Silent(link, state)),
            }
        };
        let reply: Result<PredecessorReply, LinkError> = request.await;
        match &reply {
            Err(error) => tracing::warn!("takeover: {error}; sharing the address without a handover"),
            Ok(PredecessorReply::Silent(..)) => {
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
            PredecessorReply::None | PredecessorReply::Silent(..) => Vec::new(),
        }
    }

    /// The server list received with the offer.
    pub(crate) fn server_list(&self) -> Option<&ServerListUpdate<Host>> {
        match self {
            PredecessorReply::Offered(_, offer) => offer.state.server_list.as_ref(),
            PredecessorReply::None | PredecessorReply::Silent(..) => None,
        }
    }

    /// The ban records received with the offer.
    pub(crate) fn take_ban_updates(&mut self) -> Vec<BanRecord> {
        match self {
            PredecessorReply::Offered(_, offer) => std::mem::take(&mut offer.state.ban_records),
            PredecessorReply::None | PredecessorReply::Silent(..) => Vec::new(),
        }
    }
}

/// Connects to the old process's socket and sends the takeover request.
async fn connect(path: &Path) -> Result<Link, LinkError> {
    let (_folder, address) = socket_address(path)?;
    let socket = socket()?;
    rustix::net::connect(&socket, &address)?;
    let link = Link::new(socket)?;
    let request = Message::TakeoverRequest { version: VERSION, sends_heartbeats: true, shares_lists: true };
    link.send(&request, &[]).await?;
    Ok(link)
}

/// The last packet of an offer: the sockets.
struct OfferedSockets {
    sockets: Vec<(SocketKind, OwnedFd)>,
    quota: usize,
    sends_heartbeats: bool,
    shares_lists: bool,
    resumes: bool,
}

impl OfferedSockets {
    fn with_state(self, state: PartialOffer) -> Offer {
        Offer {
            sockets: self.sockets,
            quota: self.quota,
            sends_heartbeats: self.sends_heartbeats,
            shares_lists: self.shares_lists,
            resumes: self.resumes,
            state,
        }
    }
}

/// Receives the old process's offer as long as its packets keep coming; `None` where they do not.
async fn receive_offer_in_time(
    link: &Link,
    state: &mut PartialOffer,
) -> Result<Option<OfferedSockets>, LinkError> {
    let end = Instant::now() + OFFER_TIMEOUT;
    while Instant::now() < end {
        let Ok(packet) = timeout(PACKET_TIMEOUT, link.receive()).await else { return Ok(None) };
        if let Some(sockets) = state.receive(packet?) {
            return Ok(Some(sockets));
        }
    }
    Ok(None)
}

/// Receives the rest of the old process's offer, however long it takes.
pub(super) async fn receive_offer(link: &Link, mut state: PartialOffer) -> Result<Offer, LinkError> {
    loop {
        if let Some(sockets) = state.receive(link.receive().await?) {
            return Ok(sockets.with_state(state));
        }
    }
}

impl PartialOffer {
    /// Takes the next packet; returns the sockets, which come last.
    fn receive(&mut self, (message, descriptors): (Message, Vec<OwnedFd>)) -> Option<OfferedSockets> {
        match message {
            Message::Bans { records, .. } => self.ban_records.extend(records),
            Message::LearnedState(chunk) => chunk.merge_into(&mut self.learned_state),
            Message::ServerList(fragment) => match self.assembler.receive(fragment) {
                Ok(update) => self.server_list = update.or(self.server_list.take()),
                Err(error) => tracing::warn!("takeover: {error}"),
            },
            Message::Offer {
                version: VERSION,
                sockets: kinds,
                quota,
                sends_heartbeats,
                shares_lists,
                resumes,
            } => {
                let sockets = kinds.into_iter().zip(descriptors).collect();
                return Some(OfferedSockets { sockets, quota, sends_heartbeats, shares_lists, resumes });
            }
            _ => {}
        }
        None
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
