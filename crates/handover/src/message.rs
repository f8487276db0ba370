//! The messages of a takeover: one JSON object per packet.

use crate::bans::BanRecord;
use crate::server_list::ListFragment;
use laurelroute_policy::interface::{Endpoint, LearnedServer, LearnedState, Nanos};
use serde::{Deserialize, Serialize};

/// Version of the protocol; raised when an older program could not understand the new one.
pub const VERSION: u32 = 1;
/// The longest packet in bytes.
pub const MAX_PACKET_BYTES: usize = 32 * 1024;
/// Ban records per packet: with the longest names they fit into [`MAX_PACKET_BYTES`].
pub const MAX_PACKET_RECORDS: usize = 64;
/// Servers per packet of learned state.
const MAX_PACKET_SERVERS: usize = 128;
/// Servers of learned state in all packets together.
const MAX_LEARNED_SERVERS: usize = 20_000;
/// The most descriptors that one packet carries.
pub const MAX_PACKET_DESCRIPTORS: usize = 8;

/// The sockets that the old process offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SocketKind {
    /// A listening socket for HTTP.
    Http,
    /// A listening socket for Thrift.
    Thrift,
    /// No listening socket, but the queue in which the old process leaves idle client connections for the new one. Both
    /// processes hold its receiving end, so that each connection is taken by exactly one of them. Offered only to a new
    /// process that sends heartbeats.
    #[serde(rename = "rest")]
    IdleQueue,
}

/// A part of what the old process's balancer has learned ([`LearnedState`]): all general figures, and some of the
/// servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedStateChunk {
    rate: f64,
    classes: Vec<(Nanos, u32)>,
    #[serde(rename = "pressure")]
    slowdown: f64,
    #[serde(rename = "faults")]
    failure_rate: f64,
    /// Address, port, score, relative latency, failure rate.
    servers: Vec<([u8; 4], u16, f64, f64, f64)>,
}

impl LearnedStateChunk {
    /// Splits learned state into chunks that fit into packets.
    pub fn split(learned: &LearnedState) -> Vec<LearnedStateChunk> {
        let row = |k: &LearnedServer| {
            (k.server.address, k.server.port, k.score, k.relative_latency, k.failure_rate)
        };
        let chunk = |servers: &[LearnedServer]| LearnedStateChunk {
            rate: learned.rate,
            classes: learned.classes.clone(),
            slowdown: learned.slowdown,
            failure_rate: learned.failure_rate,
            servers: servers.iter().map(row).collect(),
        };
        match learned.servers.is_empty() {
            true => vec![chunk(&[])],
            false => learned.servers.chunks(MAX_PACKET_SERVERS).map(chunk).collect(),
        }
    }

    /// Adds this chunk to those received before.
    pub fn merge_into(self, learned: &mut LearnedState) {
        let server = |(address, port, score, relative_latency, failure_rate)| LearnedServer {
            server: Endpoint { address, port },
            score,
            relative_latency,
            failure_rate,
        };
        (learned.rate, learned.classes, learned.slowdown) = (self.rate, self.classes, self.slowdown);
        learned.failure_rate = self.failure_rate;
        learned.servers.extend(self.servers.into_iter().map(server));
        learned.servers.truncate(MAX_LEARNED_SERVERS);
    }
}

/// One packet between the old and the new process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Message {
    /// The new process asks to take over.
    #[serde(rename = "take")]
    TakeoverRequest {
        /// The sender's [`VERSION`].
        version: u32,
        /// The new process sends [`Message::Heartbeat`]s. Older programs do not.
        #[serde(rename = "beats", default)]
        sends_heartbeats: bool,
        /// The new process understands [`Message::ServerList`]. Older programs do not.
        #[serde(rename = "lists", default)]
        shares_lists: bool,
    },
    /// The old process offers its sockets, which are the packet's descriptors in the same order, and an initial quota
    /// of descriptors.
    Offer {
        /// The sender's [`VERSION`].
        version: u32,
        /// The kinds of the sockets.
        #[serde(rename = "doors")]
        sockets: Vec<SocketKind>,
        /// How many descriptors the new process may hold for now.
        #[serde(rename = "part")]
        quota: usize,
        /// The old process expects heartbeats and answers them. Older programs do not.
        #[serde(rename = "beats", default)]
        sends_heartbeats: bool,
        /// The old process understands [`Message::ServerList`]. Older programs do not.
        #[serde(rename = "lists", default)]
        shares_lists: bool,
        /// The old process understands [`Message::Ending`]. Older programs do not.
        #[serde(rename = "resumes", default)]
        resumes: bool,
    },
    /// The new process accepts clients.
    Ready,
    /// The new process is told to end: it still answers what it holds, and accepts nobody any more.
    Ending,
    /// The new process is alive.
    #[serde(rename = "beat")]
    Heartbeat {
        /// Sequence number, counted from 1.
        number: u64,
        /// Descriptors that the new process holds.
        held: usize,
        /// Idle connections that it has received so far. Older programs do not report this.
        #[serde(rename = "picked", default)]
        received: Option<usize>,
    },
    /// The old process is alive, and grants the new one a quota.
    #[serde(rename = "part")]
    Quota {
        /// How many descriptors the new process may hold.
        #[serde(rename = "part")]
        quota: usize,
        /// The number of the latest heartbeat that the old process has received.
        #[serde(rename = "beat", default)]
        heartbeat: u64,
    },
    /// A part of the old process's learned state, which takes as many packets as its servers need.
    #[serde(rename = "learnt")]
    LearnedState(LearnedStateChunk),
    /// A part of an update of the server list, in either direction.
    #[serde(rename = "list")]
    ServerList(ListFragment),
    /// Records of servers that operators have banned or restored.
    Bans {
        /// The batch's number, which the acknowledgement repeats.
        #[serde(rename = "mark")]
        batch: u64,
        /// The records.
        #[serde(rename = "words")]
        records: Vec<BanRecord>,
    },
    /// The other process has applied a batch of ban records.
    #[serde(rename = "noted")]
    BansAck {
        /// The batch's number.
        #[serde(rename = "mark")]
        batch: u64,
    },
    /// An idle client connection, which is the packet's only descriptor.
    Client {
        /// The connection's protocol.
        #[serde(rename = "door")]
        protocol: SocketKind,
        /// The connection has carried a request. Older programs do not report this.
        #[serde(default = "default_used")]
        used: bool,
    },
}

fn default_used() -> bool {
    true
}

/// Why a packet cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The packet exceeds [`MAX_PACKET_BYTES`].
    #[error("packet of {0} bytes exceeds the limit of {MAX_PACKET_BYTES}")]
    TooLong(usize),
    /// The packet is not a message of this version.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
}

impl Message {
    /// Encodes the message as a packet.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Whether a client connection has carried a request, which is assumed where the message does not tell.
    pub fn used(&self) -> bool {
        !matches!(self, Message::Client { used: false, .. })
    }

    /// Decodes a packet.
    pub fn decode(packet: &[u8]) -> Result<Message, MessageError> {
        if packet.len() > MAX_PACKET_BYTES {
            return Err(MessageError::TooLong(packet.len()));
        }
        Ok(serde_json::from_slice(packet)?)
    }

    /// All records, in as many packets as they need, numbered from `first_batch` on.
    pub fn ban_batches(first_batch: u64, records: Vec<BanRecord>) -> impl Iterator<Item = Message> {
        let packets: Vec<_> = records.chunks(MAX_PACKET_RECORDS).map(<[BanRecord]>::to_vec).collect();
        (first_batch..).zip(packets).map(|(batch, records)| Message::Bans { batch, records })
    }
}
