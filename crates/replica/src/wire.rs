//! The datagram format between replicas: postcard, with the size limit of the membership's datagrams; and batches of
//! entries, which are sent in parts.

use crate::entry::{Entry, Key};
use crate::snapshot::{FleetAverages, ServerRow};
use laurelroute_membership::wire::{decode, encode};
use laurelroute_membership::MemberId;
use serde::{Deserialize, Serialize};

/// Protocol version, the first byte. No datagram of the membership begins with it. It is raised when programs could
/// not understand datagrams of the other version.
pub const VERSION: u8 = 0x81;
/// Maximum size of a part in bytes.
pub const MAX_PART_BYTES: usize = 200;
/// Maximum number of parts of a batch.
pub const MAX_PARTS: usize = 48;
/// Maximum number of missing parts in one acknowledgement.
pub const MAX_MISSING: usize = 48;

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
    /// The receiver's incarnation: datagrams for an earlier process do not concern its successor.
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

/// Splits a batch into parts. Items at the end that exceed the limit are left out; returns the number of included
/// ones.
pub fn split_batch(items: &[Item]) -> (usize, Vec<Vec<u8>>) {
    let mut bytes = Vec::new();
    let mut included = 0;
    for item in items {
        let Ok(encoded) = postcard::to_allocvec(item) else { break };
        if bytes.len() + encoded.len() > MAX_PART_BYTES * MAX_PARTS {
            break;
        }
        bytes.extend_from_slice(&encoded);
        included += 1;
    }
    (included, bytes.chunks(MAX_PART_BYTES).map(<[u8]>::to_vec).collect())
}

/// Decodes the items of a batch; `None` if it is malformed.
pub fn decode_items(mut bytes: &[u8]) -> Option<Vec<Item>> {
    let mut items = Vec::new();
    while !bytes.is_empty() {
        let (item, rest) = postcard::take_from_bytes(bytes).ok()?;
        items.push(item);
        bytes = rest;
    }
    Some(items)
}
