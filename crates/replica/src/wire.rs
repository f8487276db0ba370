//! Datagrams between replicas: postcard, no longer than the members' own; and batches of entries, which go in parts.

use crate::entry::{Entry, Key};
use crate::snapshot::{FleetAverages, ServerRow};
use laurelroute_membership::wire::{decode, encode};
use laurelroute_membership::MemberId;
use serde::{Deserialize, Serialize};

/// The first byte, which no datagram of the members' own begins with; raised when a program could not understand one of
/// another version.
pub const VERSION: u8 = 0x81;
/// Bytes of a part of a batch.
pub const PART: usize = 200;
/// Parts of a batch at most.
pub const PARTS: usize = 48;
/// Parts that one answer names as lacking.
pub const LACKING: usize = 48;

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
    /// The sender's incarnation.
    pub incarnation: [u8; 4],
    /// The incarnation that it is for: what was said to the process before is nothing to the one that has its seat now.
    pub to_incarnation: [u8; 4],
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A part of a batch: the batch's number, the part's index, the number of parts, and the bytes.
    BatchPart(u32, u8, u8, Vec<u8>),
    /// Acknowledges the batch with this number, except for the parts listed as missing.
    BatchAck(u32, Vec<u8>),
    /// Digest of the sender's whole store.
    RootDigest(u64),
    /// Asks whether the receiver holds this entry with this digest; the number identifies the reply.
    EntryQuery(u32, Key, u64),
    /// Answers the query with this number.
    EntryReply(u32, bool),
    /// Asks for the rows of a snapshot from this index on; the snapshot's number is 0 where none is known yet.
    SnapshotRequest(u32, u32),
    /// The snapshot's number, its total of rows, and the fleet's averages.
    SnapshotSummary(u32, u32, FleetAverages),
    /// The snapshot's number, its total of rows, the index of the first row here, and the rows.
    SnapshotRows(u32, u32, u32, Vec<ServerRow>),
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

/// An item of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// An entry.
    Entry(Key, Entry),
    /// Digests of the sender's buckets, and whether it asks for the receiver's.
    BucketDigests(Vec<u32>, bool),
    /// The receiver now has every entry that the sender has; whether the sender has itself caught up.
    SyncComplete(bool),
}

/// A batch as parts. Items are left out from the end where they would be too many; gives how many are in.
pub fn parts(items: &[Item]) -> (usize, Vec<Vec<u8>>) {
    let mut bytes = Vec::new();
    let mut taken = 0;
    for item in items {
        let Ok(one) = postcard::to_allocvec(item) else { break };
        if bytes.len() + one.len() > PART * PARTS {
            break;
        }
        bytes.extend_from_slice(&one);
        taken += 1;
    }
    (taken, bytes.chunks(PART).map(<[u8]>::to_vec).collect())
}

/// The items of a batch; `None` where they are none.
pub fn items(mut bytes: &[u8]) -> Option<Vec<Item>> {
    let mut items = Vec::new();
    while !bytes.is_empty() {
        let (item, rest) = postcard::take_from_bytes(bytes).ok()?;
        items.push(item);
        bytes = rest;
    }
    Some(items)
}
