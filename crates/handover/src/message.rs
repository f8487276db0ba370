//! What the two processes say: one JSON object a packet.

use crate::bans::Word;
use laurelroute_policy::interface::{Endpoint, LearnedServer, LearnedState, Nanos};
use serde::{Deserialize, Serialize};

/// Raised when a process could not understand one of another version.
pub const VERSION: u32 = 1;
/// The longest packet in bytes.
pub const MOST_PACKET: usize = 32 * 1024;
/// Words in one packet: with the longest names they stay within it.
pub const WORDS: usize = 64;
/// Servers in one packet about what was learnt, and in all of them.
const ROWS: usize = 128;
const MOST_SERVERS: usize = 20_000;
/// Descriptors that come with one packet at most.
pub const MOST_DESCRIPTORS: usize = 8;

/// One of the sockets on which clients connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Door {
    /// HTTP.
    Http,
    /// Thrift.
    Thrift,
    /// Not one of them: where the elder puts down clients at rest for the heir. Both hold its end that is read from, so
    /// that each client goes to exactly one of them. Offered only to an heir that beats.
    Rest,
}

/// What a process has learnt, as it is told ([`LearnedState`]).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lesson {
    rate: f64,
    classes: Vec<(Nanos, u32)>,
    pressure: f64,
    faults: f64,
    /// Address, port, accomplishment, lag, share of failures.
    servers: Vec<([u8; 4], u16, f64, f64, f64)>,
}

impl Lesson {
    /// The parts in which it is told.
    pub fn parts(learnt: &LearnedState) -> Vec<Lesson> {
        let row = |k: &LearnedServer| {
            (k.server.address, k.server.port, k.score, k.relative_latency, k.failure_rate)
        };
        let part = |servers: &[LearnedServer]| Lesson {
            rate: learnt.rate,
            classes: learnt.classes.clone(),
            pressure: learnt.slowdown,
            faults: learnt.failure_rate,
            servers: servers.iter().map(row).collect(),
        };
        match learnt.servers.is_empty() {
            true => vec![part(&[])],
            false => learnt.servers.chunks(ROWS).map(part).collect(),
        }
    }

    /// Puts a further part to what was told before.
    pub fn join(self, learnt: &mut LearnedState) {
        let known = |(address, port, accomplished, lag, faults)| LearnedServer {
            server: Endpoint { address, port },
            score: accomplished,
            relative_latency: lag,
            failure_rate: faults,
        };
        (learnt.rate, learnt.classes, learnt.slowdown) = (self.rate, self.classes, self.pressure);
        learnt.failure_rate = self.faults;
        learnt.servers.extend(self.servers.into_iter().map(known));
        learnt.servers.truncate(MOST_SERVERS);
    }
}

/// A packet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Message {
    /// The heir wants to take over.
    Take {
        /// [`VERSION`].
        version: u32,
        /// It says that it is there while it lives ([`Message::Beat`]). Older programs do not.
        #[serde(default)]
        beats: bool,
    },
    /// The elder's listening sockets, as the packet's descriptors in this order, and the descriptors that the heir may
    /// hold for now.
    Offer {
        /// [`VERSION`].
        version: u32,
        /// Which sockets.
        doors: Vec<Door>,
        /// Descriptors for the heir.
        part: usize,
        /// The elder expects beats and gives them. Older programs do not.
        #[serde(default)]
        beats: bool,
    },
    /// The heir takes clients.
    Ready,
    /// The heir is there.
    Beat {
        /// Counted from 1.
        number: u64,
        /// Descriptors that it holds.
        held: usize,
        /// Clients at rest that it has picked up so far. Older programs do not say.
        #[serde(default)]
        picked: Option<usize>,
    },
    /// The elder is there, and the heir may hold so many.
    Part {
        /// Descriptors for the heir.
        part: usize,
        /// The last of the heir's beats that the elder has heard.
        #[serde(default)]
        beat: u64,
    },
    /// What the elder has learnt, in as many packets as its servers take.
    Learnt(Lesson),
    /// Words on servers that operators have taken out or put back.
    Bans {
        /// To be named in the answer.
        mark: u64,
        /// The words.
        words: Vec<Word>,
    },
    /// Those words count now at the other process too.
    Noted {
        /// As in the words' packet.
        mark: u64,
    },
    /// A client's connection at rest, the packet's one descriptor.
    Client {
        /// What it speaks.
        door: Door,
        /// It has carried a request. Older programs do not say.
        #[serde(default = "yes")]
        used: bool,
    },
}

fn yes() -> bool {
    true
}

/// Why a packet is none.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// Longer than any.
    #[error("a packet of {0} bytes, where the longest has {MOST_PACKET}")]
    Long(usize),
    /// Not this version's words.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
}

impl Message {
    /// The packet.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Whether a client's connection has carried a request, as far as that is said.
    pub fn used(&self) -> bool {
        !matches!(self, Message::Client { used: false, .. })
    }

    /// Reads a packet.
    pub fn decode(packet: &[u8]) -> Result<Message, MessageError> {
        if packet.len() > MOST_PACKET {
            return Err(MessageError::Long(packet.len()));
        }
        Ok(serde_json::from_slice(packet)?)
    }

    /// All words, in as many packets as they take, marked from `mark` on.
    pub fn of_words(mark: u64, words: Vec<Word>) -> impl Iterator<Item = Message> {
        let packets: Vec<_> = words.chunks(WORDS).map(<[Word]>::to_vec).collect();
        (mark..).zip(packets).map(|(mark, words)| Message::Bans { mark, words })
    }
}
