//! Datagrams: postcard, at most [`MOST`] bytes.

use crate::view::{Cut, Seat, Seats};
use serde::{Deserialize, Serialize};

/// Bytes of a datagram at most, without what a carrier adds to tell that it is from one of us.
pub const MOST: usize = 236;
/// Raised when a program could not understand one of another version.
pub const VERSION: u8 = 1;
/// Members in one piece of a view.
pub const PIECE: usize = 25;
/// Subjects in one accusation.
pub const ACCUSED: usize = 32;

/// What stands in every datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// [`VERSION`].
    pub version: u8,
    /// The installation.
    pub site: [u8; 2],
    /// The roster.
    pub roster: [u8; 2],
    /// The sender's seat.
    pub from: Seat,
    /// Whom it is for.
    pub to: Seat,
    /// Its life.
    pub life: [u8; 4],
    /// The sender's view and its lineage; 0 where it is in none.
    pub view: u64,
    /// As above.
    pub lineage: [u8; 2],
    /// The sender's view is rooted.
    pub rooted: bool,
}

impl Head {
    /// The lineage of the sender's view.
    pub fn lineage(&self) -> u16 {
        u16::from_le_bytes(self.lineage)
    }
}

/// What a council has accepted before: the ballot and the cut.
pub type Accepted = Option<(u32, Cut)>;

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// I am there, and this is my view.
    Beat,
    /// Is this one there? I do not hear it.
    Ask(Seat),
    /// Are you there? This one asks.
    Probe(Seat),
    /// I am, for this one who asks.
    Alive(Seat),
    /// It is, with this life.
    Seen(Seat, [u8; 4]),
    /// All that I watch and do not hear.
    Accuse(Vec<Seat>),
    /// Is my view in force? With the sender's time.
    Ping(u64),
    /// It is, and was so for sure this many milliseconds ago.
    Pong(u64, u32),
    /// I am in no view; with the cookie of the one that is asked, if it has given one.
    Join(u64),
    /// Say it again with this, so that I know that you are there now.
    Challenge(u64),
    /// This life would like this seat, and is there.
    Joiner(Seat, [u8; 4]),
    /// Promise to take nothing below this ballot.
    Prepare(u32),
    /// Promised; with what was accepted before, and whom I have heard just now.
    Promise(u32, Accepted, Seats),
    /// Accept this; bound by what was accepted before.
    Accept(u32, Cut, bool),
    /// Accepted.
    Accepted(u32),
    /// There is a higher ballot.
    Refuse(u32),
    /// Give me what comes after my view, or your view from this member on.
    Want(u16),
    /// What led from the view with this number to the next.
    Change(u64, Cut),
    /// Members of my view from this one on, of so many.
    Piece(u16, u16, Vec<(Seat, [u8; 4])>),
    /// Let all of us with these lives (a digest) found the first view.
    Found(u64),
    /// So be it.
    Founded(u64),
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who speaks.
    pub head: Head,
    /// What is said.
    pub body: Body,
}

impl Datagram {
    /// As bytes; `None` where it would be too long, which no bound above allows.
    pub fn encode(&self) -> Option<Vec<u8>> {
        encode(self)
    }

    /// From bytes; `None` where they are none.
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        decode(bytes)
    }
}

/// Something as a datagram's bytes; `None` where it would be too long.
pub fn encode<T: Serialize>(datagram: &T) -> Option<Vec<u8>> {
    postcard::to_allocvec(datagram).ok().filter(|bytes| bytes.len() <= MOST)
}

/// What a datagram's bytes say; `None` where they are too long, or nothing of the kind.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    (bytes.len() <= MOST).then(|| postcard::from_bytes(bytes).ok()).flatten()
}
