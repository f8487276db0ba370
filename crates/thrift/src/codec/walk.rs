//! The reader of values: one token at a time, from bytes that may still be on their way.

use super::{unzigzag, varint, Fault, Protocol, Type};

/// One step through a struct.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Token<'a> {
    /// A struct begins.
    StructBegin,
    /// A struct ends.
    StructEnd,
    /// A field begins; its value follows.
    Field {
        /// Its number.
        id: i16,
        /// The type of its value.
        kind: Type,
    },
    /// A list begins; its elements follow.
    ListBegin {
        /// The type of its elements; `None` where it has none and the wire names none.
        kind: Option<Type>,
        /// How many there are.
        len: u32,
    },
    /// A set begins; its elements follow.
    SetBegin {
        /// The type of its elements.
        kind: Option<Type>,
        /// How many there are.
        len: u32,
    },
    /// A map begins; its keys and values follow in turn.
    MapBegin {
        /// The types of keys and values; `None` where it is empty and the wire names none.
        kinds: Option<(Type, Type)>,
        /// How many entries there are.
        len: u32,
    },
    /// A list, set or map ends.
    ContainerEnd,
    /// A boolean.
    Bool(bool),
    /// A byte.
    Byte(i8),
    /// 16 bits.
    I16(i16),
    /// 32 bits.
    I32(i32),
    /// 64 bits.
    I64(i64),
    /// The bits of a double: what is not a number keeps its bits.
    Double(u64),
    /// Bytes or text.
    Binary(&'a [u8]),
    /// A UUID.
    Uuid([u8; 16]),
}

#[derive(Clone, Copy, Debug)]
enum Level {
    /// In a struct, after the field of this number.
    Struct { last: i16 },
    /// In a list or set with so many elements to go.
    Elements { kind: Type, left: u32 },
    /// In a map with so many keys and values to go.
    Entries { key: Type, value: Type, left: u64 },
}

/// What is still owed of the field whose head was read last.
#[derive(Clone, Copy, Debug)]
enum Owed {
    Value(Type),
    /// Compact puts a boolean's value into its field's head.
    Known(bool),
}

/// Walks over one struct, the arguments or result of a message. It holds one level for each struct and container
/// that is open and no bytes; a token is given when all of its bytes are there, and asking again costs the same
/// however little has come since.
#[derive(Clone, Debug)]
pub struct Walker {
    compact: bool,
    at: usize,
    /// Where the message has to end at the latest.
    end: usize,
    depth: usize,
    levels: Vec<Level>,
    owed: Option<Owed>,
    begun: bool,
}

impl Walker {
    /// A walker over a struct that begins at `at` of the bytes given later and ends before `end`, with at most
    /// `depth` levels.
    pub fn new(protocol: Protocol, at: usize, end: usize, depth: usize) -> Self {
        let compact = protocol == Protocol::Compact;
        Walker { compact, at, end, depth, levels: Vec::new(), owed: None, begun: false }
    }

    /// How far it has come.
    pub fn at(&self) -> usize {
        self.at
    }

    /// The struct has ended.
    pub fn done(&self) -> bool {
        self.begun && self.levels.is_empty()
    }

    /// The next token; `None` where `bytes`, which are those of the calls before and perhaps more, end inside it,
    /// and after the struct's end.
    pub fn next<'a>(&mut self, bytes: &'a [u8]) -> Result<Option<Token<'a>>, Fault> {
        let bytes = &bytes[..bytes.len().min(self.end)];
        if !self.begun {
            self.begun = true;
            self.open(Level::Struct { last: 0 }, self.at)?;
            return Ok(Some(Token::StructBegin));
        }
        if let Some(owed) = self.owed {
            let token = match owed {
                Owed::Known(value) => Some(Token::Bool(value)),
                Owed::Value(kind) => {
                    // Taken first: the value may open levels of its own.
                    self.owed = None;
                    let token = self.value(bytes, kind)?;
                    if token.is_none() {
                        self.owed = Some(owed);
                    }
                    return Ok(token);
                }
            };
            self.owed = None;
            return Ok(token);
        }
        let Some(top) = self.levels.len().checked_sub(1) else { return Ok(None) };
        match self.levels[top] {
            Level::Struct { last } => self.field(bytes, top, last),
            Level::Elements { left: 0, .. } | Level::Entries { left: 0, .. } => {
                self.levels.pop();
                Ok(Some(Token::ContainerEnd))
            }
            Level::Elements { kind, left } => {
                let token = self.value(bytes, kind)?;
                if token.is_some() {
                    self.levels[top] = Level::Elements { kind, left: left - 1 };
                }
                Ok(token)
            }
            Level::Entries { key, value, left } => {
                let token = self.value(bytes, if left % 2 == 0 { key } else { value })?;
                if token.is_some() {
                    self.levels[top] = Level::Entries { key, value, left: left - 1 };
                }
                Ok(token)
            }
        }
    }

    /// Walks to the end of the struct; false where `bytes` end first.
    pub fn skip(&mut self, bytes: &[u8]) -> Result<bool, Fault> {
        while self.next(bytes)?.is_some() {}
        Ok(self.done())
    }

    fn open(&mut self, level: Level, at: usize) -> Result<(), Fault> {
        if self.levels.len() >= self.depth {
            return Err(Fault::TooDeep(self.depth));
        }
        self.levels.push(level);
        self.at = at;
        Ok(())
    }

    fn left(&self, at: usize) -> usize {
        self.end.saturating_sub(at)
    }

    /// `size` elements of at least `least` bytes each have to fit in what the message can still have: this refuses
    /// a map of 2^31 entries before anything is held for it.
    fn fits(&self, size: u32, least: usize, at: usize) -> Result<(), Fault> {
        let left = self.left(at);
        if size as usize > left / least {
            return Err(Fault::Oversize { size, left });
        }
        Ok(())
    }

    fn field<'a>(&mut self, bytes: &'a [u8], top: usize, last: i16) -> Result<Option<Token<'a>>, Fault> {
        let Some(&byte) = bytes.get(self.at) else { return Ok(None) };
        if byte == 0 {
            self.at += 1;
            self.levels.pop();
            return Ok(Some(Token::StructEnd));
        }
        let (id, kind, owed, at) = if self.compact {
            let kind = compact_type(byte & 0x0f)?;
            let (id, at) = match byte >> 4 {
                0 => match varint(&bytes[self.at + 1..], 16)? {
                    Some((code, n)) => (unzigzag(code) as i16, self.at + 1 + n),
                    None => return Ok(None),
                },
                delta => (last.checked_add(i16::from(delta)).ok_or(Fault::FieldId)?, self.at + 1),
            };
            let owed = if kind == Type::Bool { Owed::Known(byte & 0x0f == 1) } else { Owed::Value(kind) };
            (id, kind, owed, at)
        } else {
            let kind = binary_type(byte)?;
            let Some(id) = bytes.get(self.at + 1..self.at + 3) else { return Ok(None) };
            (i16::from_be_bytes([id[0], id[1]]), kind, Owed::Value(kind), self.at + 3)
        };
        self.levels[top] = Level::Struct { last: id };
        self.owed = Some(owed);
        self.at = at;
        Ok(Some(Token::Field { id, kind }))
    }

    fn fixed<const N: usize>(&mut self, bytes: &[u8]) -> Option<[u8; N]> {
        let value = bytes.get(self.at..self.at + N)?.try_into().ok()?;
        self.at += N;
        Some(value)
    }

    fn zigzag(&mut self, bytes: &[u8], bits: u32) -> Result<Option<i64>, Fault> {
        let read = varint(&bytes[self.at.min(bytes.len())..], bits)?;
        Ok(read.map(|(code, n)| {
            self.at += n;
            unzigzag(code)
        }))
    }

    fn value<'a>(&mut self, bytes: &'a [u8], kind: Type) -> Result<Option<Token<'a>>, Fault> {
        Ok(match kind {
            Type::Bool => match self.fixed::<1>(bytes) {
                Some([byte]) => Some(Token::Bool(self.boolean(byte)?)),
                None => None,
            },
            Type::Byte => self.fixed(bytes).map(|b| Token::Byte(i8::from_be_bytes(b))),
            Type::I16 if self.compact => self.zigzag(bytes, 16)?.map(|v| Token::I16(v as i16)),
            Type::I32 if self.compact => self.zigzag(bytes, 32)?.map(|v| Token::I32(v as i32)),
            Type::I64 if self.compact => self.zigzag(bytes, 64)?.map(Token::I64),
            Type::I16 => self.fixed(bytes).map(|b| Token::I16(i16::from_be_bytes(b))),
            Type::I32 => self.fixed(bytes).map(|b| Token::I32(i32::from_be_bytes(b))),
            Type::I64 => self.fixed(bytes).map(|b| Token::I64(i64::from_be_bytes(b))),
            // Little-endian in compact, as all of Apache's implementations write it.
            Type::Double if self.compact => self.fixed(bytes).map(|b| Token::Double(u64::from_le_bytes(b))),
            Type::Double => self.fixed(bytes).map(|b| Token::Double(u64::from_be_bytes(b))),
            Type::Uuid => self.fixed(bytes).map(Token::Uuid),
            Type::Binary => return self.binary(bytes),
            Type::Struct => {
                self.open(Level::Struct { last: 0 }, self.at)?;
                Some(Token::StructBegin)
            }
            Type::List | Type::Set => return self.elements(bytes, kind == Type::List),
            Type::Map => return self.map(bytes),
        })
    }

    fn boolean(&self, byte: u8) -> Result<bool, Fault> {
        match byte {
            1 => Ok(true),
            0 => Ok(false),
            // Elements of compact containers: 2 is false, though some peers write 0.
            2 if self.compact => Ok(false),
            _ => Err(Fault::Bool(byte)),
        }
    }

    /// A size at `at`, and where it ends.
    fn size(&self, bytes: &[u8], at: usize) -> Result<Option<(u32, usize)>, Fault> {
        if self.compact {
            let read = varint(&bytes[at.min(bytes.len())..], 32)?;
            return match read {
                Some((size, _)) if size > i32::MAX as u64 => Err(Fault::NegativeSize(size as u32 as i32)),
                Some((size, n)) => Ok(Some((size as u32, at + n))),
                None => Ok(None),
            };
        }
        let Some(read) = bytes.get(at..at + 4) else { return Ok(None) };
        let size = i32::from_be_bytes([read[0], read[1], read[2], read[3]]);
        u32::try_from(size).map(|size| Some((size, at + 4))).map_err(|_| Fault::NegativeSize(size))
    }

    fn binary<'a>(&mut self, bytes: &'a [u8]) -> Result<Option<Token<'a>>, Fault> {
        let Some((size, at)) = self.size(bytes, self.at)? else { return Ok(None) };
        self.fits(size, 1, at)?;
        let Some(value) = bytes.get(at..at + size as usize) else { return Ok(None) };
        self.at = at + size as usize;
        Ok(Some(Token::Binary(value)))
    }

    fn elements<'a>(&mut self, bytes: &'a [u8], list: bool) -> Result<Option<Token<'a>>, Fault> {
        let Some(&head) = bytes.get(self.at) else { return Ok(None) };
        let (code, size, at) = if self.compact && head >> 4 != 15 {
            (head & 0x0f, u32::from(head >> 4), self.at + 1)
        } else {
            let Some((size, at)) = self.size(bytes, self.at + 1)? else { return Ok(None) };
            (if self.compact { head & 0x0f } else { head }, size, at)
        };
        let kind = match self.element_type(code) {
            Ok(kind) => Some(kind),
            // Peers write what they like as the type of nothing.
            Err(_) if size == 0 => None,
            Err(fault) => return Err(fault),
        };
        self.fits(size, 1, at)?;
        self.open(Level::Elements { kind: kind.unwrap_or(Type::Bool), left: size }, at)?;
        Ok(Some(match list {
            true => Token::ListBegin { kind, len: size },
            false => Token::SetBegin { kind, len: size },
        }))
    }

    fn map<'a>(&mut self, bytes: &'a [u8]) -> Result<Option<Token<'a>>, Fault> {
        let (size, codes, at) = if self.compact {
            let Some((size, at)) = self.size(bytes, self.at)? else { return Ok(None) };
            match size {
                0 => (0, (0, 0), at),
                _ => {
                    let Some(&kinds) = bytes.get(at) else { return Ok(None) };
                    (size, (kinds >> 4, kinds & 0x0f), at + 1)
                }
            }
        } else {
            let Some(codes) = bytes.get(self.at..self.at + 2) else { return Ok(None) };
            let Some((size, at)) = self.size(bytes, self.at + 2)? else { return Ok(None) };
            (size, (codes[0], codes[1]), at)
        };
        let kinds = match (self.element_type(codes.0), self.element_type(codes.1)) {
            (Ok(key), Ok(value)) => Some((key, value)),
            _ if size == 0 => None,
            (Err(fault), _) | (_, Err(fault)) => return Err(fault),
        };
        self.fits(size, 2, at)?;
        let (key, value) = kinds.unwrap_or((Type::Bool, Type::Bool));
        self.open(Level::Entries { key, value, left: 2 * u64::from(size) }, at)?;
        Ok(Some(Token::MapBegin { kinds, len: size }))
    }

    fn element_type(&self, code: u8) -> Result<Type, Fault> {
        if self.compact {
            compact_type(code)
        } else {
            binary_type(code)
        }
    }
}

fn binary_type(code: u8) -> Result<Type, Fault> {
    Ok(match code {
        2 => Type::Bool,
        3 => Type::Byte,
        4 => Type::Double,
        6 => Type::I16,
        8 => Type::I32,
        10 => Type::I64,
        11 => Type::Binary,
        12 => Type::Struct,
        13 => Type::Map,
        14 => Type::Set,
        15 => Type::List,
        16 => Type::Uuid,
        _ => return Err(Fault::UnknownType(code)),
    })
}

fn compact_type(code: u8) -> Result<Type, Fault> {
    Ok(match code {
        1 | 2 => Type::Bool,
        3 => Type::Byte,
        4 => Type::I16,
        5 => Type::I32,
        6 => Type::I64,
        7 => Type::Double,
        8 => Type::Binary,
        9 => Type::List,
        10 => Type::Set,
        11 => Type::Map,
        12 => Type::Struct,
        13 => Type::Uuid,
        _ => return Err(Fault::UnknownType(code)),
    })
}
