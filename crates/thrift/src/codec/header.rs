//! THeader frames: what stands between a frame's length and its message.
//!
//! Length (4 bytes, big-endian), magic `0x0FFF`, flags (2), sequence number (4), size of the header in words of four
//! bytes (2); then the header: protocol, number of transforms and the transforms, and blocks of information, all as
//! numbers of variable length, with zeros up to the size; then the message.

use super::{put_varint, varint, Fault, Protocol};

/// The two bytes that mark a THeader frame.
pub(crate) const MAGIC: [u8; 2] = [0x0f, 0xff];
/// Bytes from the magic to the header proper.
const FIXED: usize = 10;
/// Bytes of a header at most: its size is told in 16 bits of words, and what the node adds has to fit as well.
const MOST_BYTES: usize = 32 * 1024;
/// Blocks of headers: of this message, and (in Facebook's dialect) of all that follow on the connection.
const KEY_VALUES: u64 = 1;
const PERSISTENT: u64 = 2;

/// What a THeader frame says beside its message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// Flags, given back as they came.
    pub flags: u16,
    /// The frame's own number; it goes back with the answer.
    pub seqid: u32,
    /// The key-value headers, in order.
    pub pairs: Vec<(String, String)>,
}

impl Header {
    /// The last value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.iter().rev().find(|(k, _)| k.eq_ignore_ascii_case(key)).map(|(_, v)| v.as_str())
    }

    /// Puts a value in place of those that the key had.
    pub fn set(&mut self, key: &str, value: String) {
        self.pairs.retain(|(k, _)| !k.eq_ignore_ascii_case(key));
        self.pairs.push((key.to_owned(), value));
    }

    /// Reads what a frame without its length begins with: the header, the message's protocol and where the message
    /// begins. `most` bounds the number of pairs.
    pub fn read(frame: &[u8], most: usize) -> Result<(Header, Protocol, usize), Fault> {
        let fixed = frame.get(..FIXED).filter(|f| f[..2] == MAGIC).ok_or(Fault::Header)?;
        let flags = u16::from_be_bytes([fixed[2], fixed[3]]);
        let seqid = u32::from_be_bytes([fixed[4], fixed[5], fixed[6], fixed[7]]);
        let size = 4 * usize::from(u16::from_be_bytes([fixed[8], fixed[9]]));
        let bytes = frame.get(FIXED..FIXED + size).filter(|_| size <= MOST_BYTES).ok_or(Fault::Header)?;
        let mut reader = Reader { bytes };
        let protocol = reader.number()?;
        if reader.number()? != 0 {
            return Err(Fault::Transform(reader.number()? as u32));
        }
        let mut header = Header { flags, seqid, pairs: Vec::new() };
        while !reader.bytes.is_empty() {
            match reader.number()? {
                // Padding, to the end.
                0 => break,
                KEY_VALUES | PERSISTENT => reader.pairs(&mut header.pairs, most)?,
                // What this block holds can't be known, nor where it ends.
                _ => break,
            }
        }
        let at = FIXED + size;
        let protocol = match (protocol, frame.get(at..at + 2)) {
            (0, Some(first)) if first == super::head::STRICT => Protocol::BinaryStrict,
            (0, _) => Protocol::BinaryOld,
            (2, _) => Protocol::Compact,
            (other, _) => return Err(Fault::HeaderProtocol(other as u32)),
        };
        Ok((header, protocol, at))
    }

    /// Appends magic, header and padding for a message of this protocol.
    pub fn write(&self, protocol: Protocol, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&MAGIC);
        out.extend_from_slice(&self.flags.to_be_bytes());
        out.extend_from_slice(&self.seqid.to_be_bytes());
        out.extend_from_slice(&[0, 0]);
        out.push(if protocol == Protocol::Compact { 2 } else { 0 });
        out.push(0);
        if !self.pairs.is_empty() {
            put_varint(out, KEY_VALUES);
            put_varint(out, self.pairs.len() as u64);
            for text in self.pairs.iter().flat_map(|(key, value)| [key, value]) {
                put_varint(out, text.len() as u64);
                out.extend_from_slice(text.as_bytes());
            }
        }
        let size = (out.len() - start - FIXED).div_ceil(4);
        out.resize(start + FIXED + 4 * size, 0);
        out[start + 8..start + FIXED].copy_from_slice(&(size as u16).to_be_bytes());
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
}

impl Reader<'_> {
    fn number(&mut self) -> Result<u64, Fault> {
        let (value, n) = varint(self.bytes, 32)?.ok_or(Fault::Header)?;
        self.bytes = &self.bytes[n..];
        Ok(value)
    }

    fn text(&mut self) -> Result<String, Fault> {
        let size = self.number()? as usize;
        let text = self.bytes.get(..size).ok_or(Fault::Header)?;
        self.bytes = &self.bytes[size..];
        String::from_utf8(text.to_vec()).map_err(|_| Fault::Header)
    }

    fn pairs(&mut self, pairs: &mut Vec<(String, String)>, most: usize) -> Result<(), Fault> {
        for _ in 0..self.number()? {
            if pairs.len() >= most {
                return Err(Fault::Header);
            }
            let key = self.text()?;
            pairs.push((key, self.text()?));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frame(pairs: &[(&str, &str)], protocol: Protocol) -> (Header, Vec<u8>) {
        let pairs = pairs.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect();
        let header = Header { flags: 3, seqid: 77, pairs };
        let mut out = Vec::new();
        header.write(protocol, &mut out);
        (header, out)
    }

    #[test]
    fn headers_are_read_back() {
        for pairs in [&[][..], &[("deadline", "400")], &[("a", ""), ("x-request-id", "0123456789abcdef")]] {
            let (header, mut out) = frame(pairs, Protocol::Compact);
            assert_eq!((out.len() - FIXED) % 4, 0);
            let at = out.len();
            out.push(0x82);
            assert_eq!(Header::read(&out, 8), Ok((header, Protocol::Compact, at)));
        }
    }

    #[test]
    fn the_last_of_a_key_counts_and_set_replaces_all() {
        let (mut header, _) = frame(&[("a", "1"), ("A", "2")], Protocol::Compact);
        assert_eq!(header.get("a"), Some("2"));
        header.set("a", "3".into());
        assert_eq!(header.pairs, [("a".to_owned(), "3".to_owned())]);
    }

    #[test]
    fn bad_headers_are_named() {
        let (_, good) = frame(&[("k", "v")], Protocol::Compact);
        for cut in 0..good.len() {
            assert!(Header::read(&good[..cut], 8).is_err(), "cut at {cut}");
        }
        assert_eq!(Header::read(&good, 0), Err(Fault::Header));
        let with = |at: usize, byte: u8| {
            let mut bad = good.clone();
            bad[at] = byte;
            Header::read(&bad, 8).unwrap_err()
        };
        assert_eq!(with(FIXED, 5), Fault::HeaderProtocol(5));
        assert_eq!(with(FIXED + 1, 1), Fault::Transform(1));
        assert_eq!(with(FIXED + 3, 0x7f), Fault::Header);
        assert_eq!(with(0, 0), Fault::Header);
    }
}
