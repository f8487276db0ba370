//! What a process that starts gets from the one that serves, if there is one.

use super::link::{runtime_path, socket_address, socket, Link, LinkError, SOCKET};
use laurelroute_handover::bans::Word;
use laurelroute_handover::message::{Door, Message, VERSION};
use laurelroute_policy::interface::LearnedState;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;

/// An elder that runs offers at once. One that does not is not waited for any longer: clients are.
const OFFER: Duration = Duration::from_millis(120);

/// Who else serves at the address.
pub(crate) enum PredecessorReply {
    /// Nobody that can be spoken to.
    None,
    /// A process that hands over what it has.
    Offered(Link, Offer),
    /// One that is there and says nothing. It may yet.
    Silent(Link),
}

/// What a process has from the one that it takes over from.
pub(crate) struct Offer {
    doors: Vec<(Door, OwnedFd)>,
    /// Descriptors that this process may hold.
    pub(super) part: usize,
    /// The elder says that it is there, and expects the same.
    pub(super) beats: bool,
    /// Servers that operators have taken out or put back.
    pub(super) words: Vec<Word>,
    pub(super) learnt: LearnedState,
}

impl PredecessorReply {
    /// Asks the process that serves at that address for all that it has.
    pub(crate) async fn request(listen: SocketAddr) -> PredecessorReply {
        let Some(place) = runtime_path(listen, SOCKET).filter(|place| place.exists()) else { return PredecessorReply::None };
        let claimed = async {
            let link = ask(&place).await?;
            match tokio::time::timeout(OFFER, offer(&link)).await {
                Ok(offer) => Ok(PredecessorReply::Offered(link, offer?)),
                Err(_) => Ok(PredecessorReply::Silent(link)),
            }
        };
        let claim: Result<PredecessorReply, LinkError> = claimed.await;
        match &claim {
            Err(error) => tracing::warn!("takeover: {error}; the address is shared without it"),
            Ok(PredecessorReply::Silent(_)) => {
                tracing::warn!("takeover: no offer in time; new clients come here as soon as there is a list")
            }
            Ok(_) => {}
        }
        claim.unwrap_or(PredecessorReply::None)
    }

    /// The elder's listening sockets of this kind, where it has offered any.
    pub(crate) fn listeners(&mut self, door: Door, address: SocketAddr) -> Vec<TcpListener> {
        match self {
            PredecessorReply::Offered(_, offer) => offer.listeners(door, address),
            PredecessorReply::None | PredecessorReply::Silent(_) => Vec::new(),
        }
    }

    /// Words on servers that came with the offer.
    pub(crate) fn take_ban_updates(&mut self) -> Vec<Word> {
        match self {
            PredecessorReply::Offered(_, offer) => std::mem::take(&mut offer.words),
            PredecessorReply::None | PredecessorReply::Silent(_) => Vec::new(),
        }
    }
}

async fn ask(place: &Path) -> Result<Link, LinkError> {
    let (_folder, address) = socket_address(place)?;
    let socket = socket()?;
    rustix::net::connect(&socket, &address)?;
    let link = Link::new(socket)?;
    link.send(&Message::Take { version: VERSION, beats: true }, &[]).await?;
    Ok(link)
}

/// The elder's offer, whenever it comes.
pub(super) async fn offer(link: &Link) -> Result<Offer, LinkError> {
    let (mut words, mut learnt) = (Vec::new(), LearnedState::default());
    loop {
        match link.receive().await? {
            (Message::Bans { words: more, .. }, _) => words.extend(more),
            (Message::Learnt(lesson), _) => lesson.join(&mut learnt),
            (Message::Offer { version: VERSION, doors, part, beats }, descriptors) => {
                let doors = doors.into_iter().zip(descriptors).collect();
                return Ok(Offer { doors, part, beats, words, learnt });
            }
            _ => {}
        }
    }
}

impl Offer {
    fn take(&mut self, door: Door) -> Vec<OwnedFd> {
        let (these, rest) = std::mem::take(&mut self.doors).into_iter().partition(|(d, _)| *d == door);
        self.doors = rest;
        Vec::into_iter(these).map(|(_, descriptor)| descriptor).collect()
    }

    /// The elder's listening sockets of this kind, if it listens there too.
    pub(super) fn listeners(&mut self, door: Door, address: SocketAddr) -> Vec<TcpListener> {
        let there = |fd| {
            let listener = std::net::TcpListener::from(fd);
            (listener.local_addr().ok()? == address).then_some(())?;
            TcpListener::from_std(listener).ok()
        };
        self.take(door).into_iter().filter_map(there).collect()
    }

    /// Where the elder puts down clients at rest.
    pub(super) fn rest(&mut self) -> Option<Link> {
        self.take(Door::Rest).pop().and_then(|fd| Link::new(fd).ok())
    }
}
