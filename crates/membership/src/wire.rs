//! Datagrams: postcard, at most [`MAX_DATAGRAM_BYTES`] bytes.

use crate::view::{Cut, MemberId, MemberSet};
use serde::{Deserialize, Serialize};

/// Bytes of a datagram at most, without what a carrier adds to tell that it is from one of us.
pub const MAX_DATAGRAM_BYTES: usize = 236;
/// Raised when a program could not understand one of another version.
pub const VERSION: u8 = 1;
/// Members in one piece of a view.
pub const CHUNK_MEMBERS: usize = 25;
/// Subjects in one accusation.
pub const MAX_SUSPECTS: usize = 32;

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
    pub from: MemberId,
    /// Whom it is for.
    pub to: MemberId,
    /// Its incarnation.
    pub incarnation: [u8; 4],
    /// The sender's view and its lineage; 0 where it is in none.
    pub view: u64,
    /// As above.
    pub lineage: [u8; 2],
    /// The sender's view is is_primary.
    pub is_primary: bool,
}

impl Head {
    /// The lineage of the sender's view.
    pub fn lineage(&self) -> u16 {
        u16::from_le_bytes(self.lineage)
    }
}

/// What a council has accepted before: the ballot and the cut.
pub type Accepted = Option<(u32, Cut)>;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The sender is alive; the head carries its view.
    Heartbeat,
    /// Asks the receiver to probe this member, which the sender has not heard from.
    ProbeRequest(MemberId),
    /// Asks for a [`Body::ProbeAck`] on behalf of this member.
    Probe(MemberId),
    /// Answers a probe that was sent on behalf of this member.
    ProbeAck(MemberId),
    /// The probed member answered, with this incarnation.
    ProbeResult(MemberId, [u8; 4]),
    /// All members that the sender observes and suspects.
    Suspect(Vec<MemberId>),
    /// Asks whether the view is in force, with the sender's clock.
    LeaseRequest(u64),
    /// Echoes the request's clock; the view was confirmed by a majority this many milliseconds ago.
    LeaseReply(u64, u32),
    /// The sender is in no view; with the cookie that the receiver gave it, or 0.
    Join(u64),
    /// Asks the sender to repeat its join with this cookie, which proves that the join is not an old datagram.
    Challenge(u64),
    /// Passes on to the council that this incarnation asks to join under this ID.
    ForwardedJoin(MemberId, [u8; 4]),
    /// Paxos phase 1a: asks for a promise to accept nothing below this ballot.
    Prepare(u32),
    /// Paxos phase 1b: the ballot, what was accepted before, and the members heard recently.
    Promise(u32, Accepted, MemberSet),
    /// Paxos phase 2a: the ballot and the cut, and whether an earlier acceptance dictates the cut.
    Accept(u32, Cut, bool),
    /// Paxos phase 2b.
    Accepted(u32),
    /// A higher ballot was promised.
    Nack(u32),
    /// Asks for the change that follows the sender's view, or for the receiver's view from this member on.
    ViewRequest(u16),
    /// The cut that led from the view with this number to the next.
    ViewChange(u64, Cut),
    /// Members of the sender's view: the index of the first, the view's total, and the members.
    ViewChunk(u16, u16, Vec<(MemberId, [u8; 4])>),
    /// Proposes to form the first view from the members and incarnations with this digest.
    BootstrapProposal(u64),
    /// Accepts the proposal with this digest.
    BootstrapAccept(u64),
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
    postcard::to_allocvec(datagram).ok().filter(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)
}

/// What a datagram's bytes say; `None` where they are too long, or nothing of the kind.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    (bytes.len() <= MAX_DATAGRAM_BYTES).then(|| postcard::from_bytes(bytes).ok()).flatten()
}
