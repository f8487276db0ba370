//! A message's head: method, kind and sequence number.

use super::{put_varint, varint, Fault, Kind, Limits, Protocol};

/// The head of a message, as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The method, with the service ahead (`service:method`) where calls are multiplexed.
    pub name: String,
    /// Call, reply, exception or oneway.
    pub kind: Kind,
    /// The client's number for the call; the answer carries the same.
    pub seqid: i32,
}

/// The compact protocol's first byte.
pub(crate) const COMPACT: u8 = 0x82;
/// The two bytes that a strict binary message begins with.
pub(crate) const STRICT: [u8; 2] = [0x80, 0x01];

impl Head {
    /// The method without its service.
    pub fn method(&self) -> &str {
        self.name.rsplit(':').next().unwrap_or_default()
    }

    /// Whether an answer that names this method can be to a call of `self`: a multiplexed service is not told
    /// the service's name, and answers without.
    pub fn answered_by(&self, answer: &Head) -> bool {
        answer.seqid == self.seqid && (answer.name == self.name || answer.name == self.method())
    }

    /// Reads a head; `None` where `bytes` ends inside it. Gives also where the head ends.
    pub fn read(protocol: Protocol, bytes: &[u8], limits: &Limits) -> Result<Option<(Head, usize)>, Fault> {
        match protocol {
            Protocol::BinaryStrict => Self::strict(bytes, limits),
            Protocol::BinaryOld => Self::old(bytes, limits),
            Protocol::Compact => Self::compact(bytes, limits),
        }
    }

    fn strict(bytes: &[u8], limits: &Limits) -> Result<Option<(Head, usize)>, Fault> {
        if bytes.len() >= 2 && bytes[..2] != STRICT {
            return Err(Fault::Version);
        }
        let (Some(kind), Some(length)) = (bytes.get(3), number(bytes, 4)) else { return Ok(None) };
        let kind = Kind::of(*kind)?;
        let Some((name, at)) = name(bytes, 8, length, limits)? else { return Ok(None) };
        let Some(seqid) = number(bytes, at) else { return Ok(None) };
        Ok(Some((Head { name, kind, seqid }, at + 4)))
    }

    fn old(bytes: &[u8], limits: &Limits) -> Result<Option<(Head, usize)>, Fault> {
        let Some(length) = number(bytes, 0) else { return Ok(None) };
        let Some((name, at)) = name(bytes, 4, length, limits)? else { return Ok(None) };
        let (Some(kind), Some(seqid)) = (bytes.get(at), number(bytes, at + 1)) else { return Ok(None) };
        Ok(Some((Head { name, kind: Kind::of(*kind)?, seqid }, at + 5)))
    }

    fn compact(bytes: &[u8], limits: &Limits) -> Result<Option<(Head, usize)>, Fault> {
        let Some(first) = bytes.first() else { return Ok(None) };
        if *first != COMPACT {
            return Err(Fault::Version);
        }
        let Some(second) = bytes.get(1) else { return Ok(None) };
        if second & 0x1f != 1 {
            return Err(Fault::Version);
        }
        let kind = Kind::of(second >> 5)?;
        let Some((seqid, n)) = varint(&bytes[2..], 32)? else { return Ok(None) };
        let Some((length, m)) = varint(&bytes[2 + n..], 32)? else { return Ok(None) };
        let length = i32::try_from(length).unwrap_or(-1);
        let Some((name, at)) = name(bytes, 2 + n + m, length, limits)? else { return Ok(None) };
        Ok(Some((Head { name, kind, seqid: seqid as u32 as i32 }, at)))
    }

    /// Appends the head.
    pub fn write(&self, protocol: Protocol, out: &mut Vec<u8>) {
        let name = self.name.as_bytes();
        match protocol {
            Protocol::BinaryStrict => {
                out.extend_from_slice(&[STRICT[0], STRICT[1], 0, self.kind as u8]);
                out.extend_from_slice(&(name.len() as u32).to_be_bytes());
                out.extend_from_slice(name);
                out.extend_from_slice(&self.seqid.to_be_bytes());
            }
            Protocol::BinaryOld => {
                out.extend_from_slice(&(name.len() as u32).to_be_bytes());
                out.extend_from_slice(name);
                out.push(self.kind as u8);
                out.extend_from_slice(&self.seqid.to_be_bytes());
            }
            Protocol::Compact => {
                out.extend_from_slice(&[COMPACT, (self.kind as u8) << 5 | 1]);
                put_varint(out, u64::from(self.seqid as u32));
                put_varint(out, name.len() as u64);
                out.extend_from_slice(name);
            }
        }
    }
}

fn number(bytes: &[u8], at: usize) -> Option<i32> {
    bytes.get(at..at + 4)?.try_into().ok().map(i32::from_be_bytes)
}

fn name(bytes: &[u8], at: usize, length: i32, limits: &Limits) -> Result<Option<(String, usize)>, Fault> {
    let length = usize::try_from(length).ok().filter(|l| (1..=limits.name).contains(l)).ok_or(Fault::Name)?;
    let Some(name) = bytes.get(at..at + length) else { return Ok(None) };
    let name = std::str::from_utf8(name).map_err(|_| Fault::Name)?;
    Ok(Some((name.to_owned(), at + length)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn heads_are_read_back_and_never_early() {
        let limits = Limits::default();
        for protocol in [Protocol::BinaryStrict, Protocol::BinaryOld, Protocol::Compact] {
            for seqid in [0, 1, -1, i32::MAX, i32::MIN] {
                let head = Head { name: "Warnings:status".into(), kind: Kind::Oneway, seqid };
                let mut out = Vec::new();
                head.write(protocol, &mut out);
                for cut in 0..out.len() {
                    assert_eq!(Head::read(protocol, &out[..cut], &limits), Ok(None), "{protocol:?} at {cut}");
                }
                assert_eq!(Head::read(protocol, &out, &limits), Ok(Some((head, out.len()))));
            }
        }
    }

    #[test]
    fn a_multiplexed_call_is_answered_without_its_service() {
        let head = |name: &str, seqid| Head { name: name.into(), kind: Kind::Reply, seqid };
        assert!(head("W:status", 4).answered_by(&head("status", 4)));
        assert!(head("W:status", 4).answered_by(&head("W:status", 4)));
        assert!(!head("W:status", 4).answered_by(&head("status", 5)));
        assert!(!head("status", 4).answered_by(&head("gauges", 4)));
    }

    #[test]
    fn bad_heads_are_named() {
        let limits = Limits::default();
        let strict = |bytes: &[u8]| Head::read(Protocol::BinaryStrict, bytes, &limits).unwrap_err();
        assert_eq!(strict(&[0x80, 2]), Fault::Version);
        assert_eq!(strict(&[0x80, 1, 0, 9, 0, 0, 0, 1]), Fault::MessageKind(9));
        assert_eq!(strict(&[0x80, 1, 0, 1, 0xff, 0, 0, 1]), Fault::Name);
        assert_eq!(strict(&[0x80, 1, 0, 1, 0, 0, 0, 0]), Fault::Name);
        assert_eq!(strict(&[0x80, 1, 0, 1, 0, 0, 0, 1, 0xff]), Fault::Name);
        let compact = |bytes: &[u8]| Head::read(Protocol::Compact, bytes, &limits).unwrap_err();
        assert_eq!(compact(&[0x82, 0x22]), Fault::Version);
        assert_eq!(compact(&[0x82, 0x21, 0, 0xff, 0xff, 0xff, 0xff, 0x0f]), Fault::Name);
    }
}
