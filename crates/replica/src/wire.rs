//! Datagrams between replicas: postcard, no longer than the members' own; and batches of entries, which go in parts.

use crate::entry::{Entry, Key};
use crate::lesson::{Row, Usual};
use laurelroute_membership::wire::{decode, encode};
use laurelroute_membership::Seat;
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
    pub from: Seat,
    /// Whom it is for.
    pub to: Seat,
    /// The sender's life.
    pub life: [u8; 4],
    /// The life that it is for: what was said to the process before is nothing to the one that has its seat now.
    pub to_life: [u8; 4],
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Of the batch with this number, this part of so many.
    Part(u32, u8, u8, Vec<u8>),
    /// Of that batch all parts but these have come.
    Took(u32, Vec<u8>),
    /// My copy, told from others.
    Root(u64),
    /// Do you have this entry with that mark? With a number for the answer.
    Ask(u32, Key, u64),
    /// Yes, or no.
    Answer(u32, bool),
    /// What have you learnt of servers? I have this lesson up to this row, or none yet.
    Learn(u32, u32),
    /// Of that lesson, which has so many rows: what is usual.
    Usual(u32, u32, Usual),
    /// Of that lesson, which has so many rows: those from this one on.
    Rows(u32, u32, u32, Vec<Row>),
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

/// Something in a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// An entry.
    Entry(Key, Entry),
    /// Digests of my copy's buckets; whether I want yours back.
    Buckets(Vec<u32>, bool),
    /// You now have all that I have; whether I have all that there is, as far as I know.
    Done(bool),
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
