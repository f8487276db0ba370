//! A server as listed by the membership.

use crate::wire;
use laurelroute_policy::interface::{Endpoint, Nanos, Phase, Server};
use std::net::SocketAddr;

/// Maximum length of the name of a server or a peer, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum number of addresses of a server, one per protocol.
const MAX_ADDRESSES: usize = 16;

/// One server of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name, the same at every node.
    pub name: String,
    /// Listening addresses by protocol.
    pub addresses: Vec<Option<SocketAddr>>,
    /// The server as passed to the decision module; the endpoint is assigned by the node.
    pub server: Server,
}

/// Why the attributes of a server are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttributesError {
    /// The name is empty or too long.
    #[error("a box's name has {0} bytes; 1 to {MAX_NAME_BYTES} are allowed")]
    Name(usize),
    /// An address cannot be parsed.
    #[error("`{name}` has the address `{address}`, which is none")]
    #[allow(missing_docs)]
    Address { name: String, address: String },
    /// It has too many addresses.
    #[error("`{0}` has over {MAX_ADDRESSES} addresses")]
    Addresses(String),
    /// A number is out of range.
    #[error("`{name}`: `{field}` is {value}")]
    #[allow(missing_docs)]
    Range { name: String, field: &'static str, value: String },
}

impl Member {
    /// A ready server of size 1 that is past slow start.
    pub fn warm(name: &str) -> Member {
        let server = Server::warm(Endpoint { address: [0; 4], port: 0 });
        Member { name: name.to_owned(), addresses: Vec::new(), server }
    }

    /// The same server in another phase.
    pub fn in_phase(self, phase: Phase) -> Member {
        Member { server: Server { phase, ..self.server }, ..self }
    }

    /// The same server with another start time.
    pub fn started(self, started_at: Nanos) -> Member {
        Member { server: Server { started_at, ..self.server }, ..self }
    }

    /// Converts to the wire format.
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

    /// Converts from the wire format and validates.
    pub fn from_attributes(
        name: &str,
        attributes: &wire::ServerAttributes,
    ) -> Result<Member, AttributesError> {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(AttributesError::Name(name.len()));
        }
        if attributes.addresses.len() > MAX_ADDRESSES {
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
        if !(attributes.size.is_finite() && attributes.size >= 0.0) {
            return Err(range("size", attributes.size.to_string()));
        }
        Ok(Member {
            name: name.to_owned(),
            addresses: attributes.addresses.iter().map(address).collect::<Result<_, _>>()?,
            server: Server {
                endpoint: Endpoint { address: [0; 4], port: 0 },
                zone: attributes.zone.try_into().map_err(|_| range("zone", attributes.zone.to_string()))?,
                kind: attributes.kind.try_into().map_err(|_| range("kind", attributes.kind.to_string()))?,
                cell: attributes.cell.try_into().map_err(|_| range("cell", attributes.cell.to_string()))?,
                phase: match attributes.phase {
                    0 => Phase::Ready,
                    1 => Phase::Draining,
                    2 => Phase::Removed,
                    other => return Err(range("phase", other.to_string())),
                },
                size: attributes.size,
                started_at: attributes.started_ms.saturating_mul(1_000_000),
            },
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn attributes_survive_a_round_trip() {
        let mut member = Member::warm("box-1").started(5_000_000).in_phase(Phase::Draining);
        member.addresses = vec!["127.0.0.1:80".parse().ok(), None];
        assert_eq!(Member::from_attributes("box-1", &member.attributes()), Ok(member.clone()));
        let rejection = |change: fn(&mut wire::ServerAttributes)| {
            let mut attributes = member.attributes();
            change(&mut attributes);
            Member::from_attributes("box-1", &attributes).unwrap_err().to_string()
        };
        assert_eq!(rejection(|f| f.addresses[0] = "x".into()), "`box-1` has the address `x`, which is none");
        assert_eq!(rejection(|f| f.phase = 9), "`box-1`: `phase` is 9");
        assert_eq!(rejection(|f| f.size = f32::NAN), "`box-1`: `size` is NaN");
        assert_eq!(rejection(|f| f.zone = 300), "`box-1`: `zone` is 300");
        assert_eq!(rejection(|f| f.addresses = vec![String::new(); 17]), "`box-1` has over 16 addresses");
        assert!(Member::from_attributes("", &member.attributes()).is_err());
    }
}
