//! One box, as the membership tells it.

use crate::wire;
use laurelroute_policy::interface::{Endpoint, Nanos, Phase, Server};
use std::net::SocketAddr;

/// Longest name of a box or of a peer, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Wires that a box may listen on.
const MOST_WIRES: usize = 16;

/// One box of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name, the same at every node.
    pub name: String,
    /// Where it listens, by wire.
    pub addresses: Vec<Option<SocketAddr>>,
    /// All that the decision module is told; the endpoint is the node's own affair.
    pub server: Server,
}

/// Why facts about a box cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttributesError {
    /// The name is empty or too long.
    #[error("a box's name has {0} bytes; 1 to {MAX_NAME_BYTES} are allowed")]
    Name(usize),
    /// An address is none.
    #[error("`{name}` has the address `{address}`, which is none")]
    #[allow(missing_docs)]
    Address { name: String, address: String },
    /// It has more wires than there are.
    #[error("`{0}` has over {MOST_WIRES} addresses")]
    Addresses(String),
    /// A number is out of range.
    #[error("`{name}`: `{field}` is {value}")]
    #[allow(missing_docs)]
    Range { name: String, field: &'static str, value: String },
}

impl Member {
    /// A ready, long-started box of size 1, to start from.
    pub fn warm(name: &str) -> Member {
        let server = Server::warm(Endpoint { address: [0; 4], port: 0 });
        Member { name: name.to_owned(), addresses: Vec::new(), server }
    }

    /// The same box in another phase.
    pub fn in_phase(self, phase: Phase) -> Member {
        Member { server: Server { phase, ..self.server }, ..self }
    }

    /// The same box, started then.
    pub fn started(self, started_at: Nanos) -> Member {
        Member { server: Server { started_at, ..self.server }, ..self }
    }

    /// In the messages' form.
    pub fn attributes(&self) -> wire::ServerAttributes {
        let address = |a: &Option<SocketAddr>| a.map(|a| a.to_string()).unwrap_or_default();
        wire::ServerAttributes {
            addresses: self.addresses.iter().map(address).collect(),
            zone: self.server.zone.into(),
            kind: self.server.kind.into(),
            cell: self.server.cell.into(),
            phase: match self.server.phase {
                Phase::Ready => 0,
                Phase::Draining => 1,
                Phase::Removed => 2,
            },
            size: self.server.size,
            started_ms: self.server.started_at / 1_000_000,
        }
    }

    /// From the messages' form, checked.
    pub fn from_attributes(name: &str, facts: &wire::ServerAttributes) -> Result<Member, AttributesError> {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(AttributesError::Name(name.len()));
        }
        if facts.addresses.len() > MOST_WIRES {
            return Err(AttributesError::Addresses(name.to_owned()));
        }
        let range = |field, value: String| AttributesError::Range { name: name.to_owned(), field, value };
        let address = |text: &String| match text.as_str() {
            "" => Ok(None),
            text => text.parse().map(Some).map_err(|_| AttributesError::Address {
                name: name.to_owned(),
                address: text.chars().take(64).collect(),
            }),
        };
        if !(facts.size.is_finite() && facts.size >= 0.0) {
            return Err(range("size", facts.size.to_string()));
        }
        Ok(Member {
            name: name.to_owned(),
            addresses: facts.addresses.iter().map(address).collect::<Result<_, _>>()?,
            server: Server {
                endpoint: Endpoint { address: [0; 4], port: 0 },
                zone: facts.zone.try_into().map_err(|_| range("zone", facts.zone.to_string()))?,
                kind: facts.kind.try_into().map_err(|_| range("kind", facts.kind.to_string()))?,
                cell: facts.cell.try_into().map_err(|_| range("cell", facts.cell.to_string()))?,
                phase: match facts.phase {
                    0 => Phase::Ready,
                    1 => Phase::Draining,
                    2 => Phase::Removed,
                    other => return Err(range("phase", other.to_string())),
                },
                size: facts.size,
                started_at: facts.started_ms.saturating_mul(1_000_000),
            },
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn facts_come_back_as_they_were() {
        let mut member = Member::warm("box-1").started(5_000_000).in_phase(Phase::Draining);
        member.addresses = vec!["127.0.0.1:80".parse().ok(), None];
        assert_eq!(Member::from_attributes("box-1", &member.attributes()), Ok(member.clone()));
        let bad = |change: fn(&mut wire::ServerAttributes)| {
            let mut facts = member.attributes();
            change(&mut facts);
            Member::from_attributes("box-1", &facts).unwrap_err().to_string()
        };
        assert_eq!(bad(|f| f.addresses[0] = "x".into()), "`box-1` has the address `x`, which is none");
        assert_eq!(bad(|f| f.phase = 9), "`box-1`: `phase` is 9");
        assert_eq!(bad(|f| f.size = f32::NAN), "`box-1`: `size` is NaN");
        assert_eq!(bad(|f| f.zone = 300), "`box-1`: `zone` is 300");
        assert_eq!(bad(|f| f.addresses = vec![String::new(); 17]), "`box-1` has over 16 addresses");
        assert!(Member::from_attributes("", &member.attributes()).is_err());
    }
}
