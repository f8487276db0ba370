//! The datagram format: postcard, at most [`MAX_DATAGRAM_BYTES`] bytes.

use crate::view::{Cut, MemberId, MemberSet};
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram in bytes, without the authentication that the transport adds.
pub const MAX_DATAGRAM_BYTES: usize = 236;
/// Protocol version. It is raised when programs could not understand datagrams of the other version.
pub const VERSION: u8 = 1;
/// Number of members in one chunk of a view.
pub const CHUNK_MEMBERS: usize = 25;
/// Maximum number of members in one [`Body::Suspect`].
pub const MAX_SUSPECTS: usize = 32;

/// The header of every datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// [`VERSION`].
    pub version: u8,
    /// Hash of the site's name.
    pub site: [u8; 2],
    /// Digest of the roster.
    pub roster: [u8; 2],
    /// The sender.
    pub from: MemberId,
    /// The receiver.
    pub to: MemberId,
    /// The sender's incarnation.
    pub incarnation: [u8; 4],
    /// The number of the sender's view; 0 if it is in none.
    pub view: u64,
    /// The lineage of the sender's view.
    pub lineage: [u8; 2],
    /// Whether the sender's view is primary.
    pub is_primary: bool,
}

impl Head {
    /// The lineage of the sender's view.
    pub fn lineage(&self) -> u16 {
        u16::from_le_bytes(self.lineage)
    }
}

/// What a council member has accepted before: the ballot and the cut.
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
    /// The header.
    pub head: Head,
    /// The message.
    pub body: Body,
}

impl Datagram {
    /// Encodes the datagram; `None` if it is too long, which the limits above exclude.
    pub fn encode(&self) -> Option<Vec<u8>> {
        encode(self)
    }

    /// Decodes a datagram; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        decode(bytes)
    }
}

/// Encodes a value as a datagram; `None` if it is too long.
pub fn encode<T: Serialize>(datagram: &T) -> Option<Vec<u8>> {
    postcard::to_allocvec(datagram).ok().filter(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)
}

/// Decodes a datagram; `None` if it is too long or malformed.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    (bytes.len() <= MAX_DATAGRAM_BYTES).then(|| postcard::from_bytes(bytes).ok()).flatten()
}
