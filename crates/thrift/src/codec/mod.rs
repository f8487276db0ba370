//! The codec: bytes in, messages and faults out. It does no I/O, and everything it holds is bounded by [`Limits`].
//!
//! Sources: the Apache Thrift specifications "Thrift Binary protocol encoding", "Thrift Compact protocol encoding",
//! "Thrift Remote Procedure Call" and "THeader" (`doc/specs` of the Apache Thrift sources).
//!
//! [`walk::Walker`] is the one reader of values: the bounded skip, the transcoder and the look-up of a field by its
//! path are three users of it.

pub mod application;
pub mod decoder;
pub mod head;
pub mod header;
pub mod message;
pub mod path;
pub mod walk;
pub mod write;

/// How values and message heads are encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Protocol {
    /// Binary with the version in the message's head.
    BinaryStrict,
    /// Binary as before versions: the head begins with the name's length.
    BinaryOld,
    /// Compact.
    Compact,
}

impl Protocol {
    /// Whether values are encoded alike: the two binary forms differ in the message's head only.
    pub fn same_values(self, other: Protocol) -> bool {
        (self == Protocol::Compact) == (other == Protocol::Compact)
    }
}

/// How messages are set apart on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Transport {
    /// Four bytes of length ahead of each message.
    Framed,
    /// Nothing: a message ends where its arguments do.
    Unframed,
    /// THeader: framed, with key-value headers ahead of the message.
    Header,
}

/// A transport and a protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Form {
    /// How messages are set apart.
    pub transport: Transport,
    /// How they are encoded.
    pub protocol: Protocol,
}

/// The names of all forms that can be fixed by configuration.
pub const FORMS: [(&str, Form); 7] = [
    ("framed-binary", Form { transport: Transport::Framed, protocol: Protocol::BinaryStrict }),
    ("framed-binary-old", Form { transport: Transport::Framed, protocol: Protocol::BinaryOld }),
    ("framed-compact", Form { transport: Transport::Framed, protocol: Protocol::Compact }),
    ("unframed-binary", Form { transport: Transport::Unframed, protocol: Protocol::BinaryStrict }),
    ("unframed-compact", Form { transport: Transport::Unframed, protocol: Protocol::Compact }),
    ("header-binary", Form { transport: Transport::Header, protocol: Protocol::BinaryStrict }),
    ("header-compact", Form { transport: Transport::Header, protocol: Protocol::Compact }),
];

impl Form {
    /// The form of this name.
    pub fn named(name: &str) -> Option<Form> {
        FORMS.iter().find(|(n, _)| *n == name).map(|(_, form)| *form)
    }

    /// Its name in configuration and logs.
    pub fn name(self) -> &'static str {
        FORMS.iter().find(|(_, form)| *form == self).map_or("unframed-binary-old", |(name, _)| *name)
    }
}

/// The type of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Type {
    /// True or false.
    Bool,
    /// 8 bits.
    Byte,
    /// 16 bits.
    I16,
    /// 32 bits.
    I32,
    /// 64 bits.
    I64,
    /// IEEE 754, 64 bits.
    Double,
    /// Bytes or text.
    Binary,
    /// Fields.
    Struct,
    /// Keys and values.
    Map,
    /// Elements without order.
    Set,
    /// Elements in order.
    List,
    /// 16 bytes.
    Uuid,
}

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Wants an answer.
    Call = 1,
    /// An answer.
    Reply = 2,
    /// A TApplicationException in place of one.
    Exception = 3,
    /// Wants none.
    Oneway = 4,
}

impl Kind {
    fn of(code: u8) -> Result<Kind, Fault> {
        match code {
            1 => Ok(Kind::Call),
            2 => Ok(Kind::Reply),
            3 => Ok(Kind::Exception),
            4 => Ok(Kind::Oneway),
            _ => Err(Fault::MessageKind(code)),
        }
    }
}

/// What one message may cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a message, and of a frame without its length.
    pub message: usize,
    /// Structs and containers inside one another, the arguments' own struct among them.
    pub depth: usize,
    /// Bytes of a method's name.
    pub name: usize,
    /// Key-value headers of a THeader frame.
    pub headers: usize,
}

impl Default for Limits {
    /// The platform's limit for bodies; the depth that Apache Thrift's own implementations allow.
    fn default() -> Self {
        Limits { message: 64 * 1024, depth: 64, name: 256, headers: 64 }
    }
}

/// What a peer did wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Fault {
    /// The first bytes are of no form that is taken.
    #[error("the first bytes are of no known form")]
    UnknownForm,
    /// The form is fixed, and this is another.
    #[error("another form than the one that is configured")]
    OtherForm,
    /// A frame says that it holds a negative number of bytes.
    #[error("a frame of {0} bytes")]
    NegativeFrame(i32),
    /// A frame or message is larger than it may be.
    #[error("a message of over {limit} bytes")]
    TooLong {
        /// The limit.
        limit: usize,
    },
    /// The message's version is none that is known.
    #[error("unknown version of the protocol")]
    Version,
    /// The message is neither call, reply, exception nor oneway.
    #[error("unknown kind of message {0}")]
    MessageKind(u8),
    /// The method's name is empty, too long or not UTF-8.
    #[error("the method's name is empty, too long or not UTF-8")]
    Name,
    /// The frame ends inside a value.
    #[error("the frame ends inside a value")]
    Truncated,
    /// There are bytes after the message's end.
    #[error("{0} bytes after the end of the message")]
    Trailing(usize),
    /// No such type.
    #[error("unknown type {0}")]
    UnknownType(u8),
    /// A boolean that is neither.
    #[error("a boolean of value {0}")]
    Bool(u8),
    /// A negative size of a container, string or header.
    #[error("a size of {0}")]
    NegativeSize(i32),
    /// A container or string that can't fit in what is left of the message.
    #[error("a size of {size} where {left} bytes are left")]
    Oversize {
        /// Elements or bytes.
        size: u32,
        /// Bytes that the message can still have.
        left: usize,
    },
    /// Structs and containers are nested too deep.
    #[error("nested deeper than {0} levels")]
    TooDeep(usize),
    /// A number of variable length that does not end, or holds more bits than its type.
    #[error("a number of variable length does not end")]
    Varint,
    /// A field's number is outside 16 bits.
    #[error("a field's number is out of range")]
    FieldId,
    /// A THeader that contradicts itself, or has more headers than it may.
    #[error("the header is malformed")]
    Header,
    /// A THeader with transforms (compression), which are not taken.
    #[error("the header asks for transform {0}")]
    Transform(u32),
    /// A THeader that names a protocol that is neither binary nor compact.
    #[error("the header names the unknown protocol {0}")]
    HeaderProtocol(u32),
}

/// Reads a number of variable length (ULEB128) of at most `bits` bits: its value and how many bytes it takes;
/// `None` where `bytes` ends inside it.
pub(crate) fn varint(bytes: &[u8], bits: u32) -> Result<Option<(u64, usize)>, Fault> {
    let mut value = 0u64;
    for (k, byte) in bytes.iter().enumerate() {
        let shift = 7 * k as u32;
        let part = u64::from(byte & 0x7f);
        if shift >= bits || (shift + 7 > bits && part >> (bits - shift) != 0) {
            return Err(Fault::Varint);
        }
        value |= part << shift;
        if byte & 0x80 == 0 {
            return Ok(Some((value, k + 1)));
        }
    }
    if bytes.len() as u32 * 7 >= bits {
        return Err(Fault::Varint);
    }
    Ok(None)
}

/// Appends a number of variable length.
pub(crate) fn put_varint(out: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}

/// The number behind a zigzag code.
pub(crate) fn unzigzag(code: u64) -> i64 {
    (code >> 1) as i64 ^ -((code & 1) as i64)
}

/// The zigzag code of a number.
pub(crate) fn zigzag(value: i64) -> u64 {
    ((value << 1) ^ (value >> 63)) as u64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn varints_are_read_back_and_bounded() {
        for value in [0, 1, 127, 128, 300, u64::from(u32::MAX), u64::MAX] {
            let mut out = Vec::new();
            put_varint(&mut out, value);
            assert_eq!(varint(&out, 64), Ok(Some((value, out.len()))));
            for cut in 0..out.len() {
                assert_eq!(varint(&out[..cut], 64), Ok(None), "{value} cut at {cut}");
            }
        }
        assert_eq!(varint(&[0xff; 10], 64), Err(Fault::Varint));
        assert_eq!(varint(&[0xff, 0xff, 0xff, 0xff, 0x1f], 32), Err(Fault::Varint));
        assert_eq!(varint(&[0xff, 0xff, 0xff, 0xff, 0x0f], 32), Ok(Some((u64::from(u32::MAX), 5))));
        assert_eq!(varint(&[0x80; 5], 32), Err(Fault::Varint));
    }

    #[test]
    fn zigzag_is_its_own_way_back() {
        for value in [0, 1, -1, 63, -64, i64::MAX, i64::MIN] {
            assert_eq!(unzigzag(zigzag(value)), value);
        }
        assert_eq!([zigzag(0), zigzag(-1), zigzag(1), zigzag(-2)], [0, 1, 2, 3]);
    }

    #[test]
    fn forms_have_names() {
        for (name, form) in FORMS {
            assert_eq!((Form::named(name), form.name()), (Some(form), name));
        }
        assert_eq!(Form::named("framed"), None);
    }
}
