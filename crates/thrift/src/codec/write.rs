//! The writer of values: tokens in, bytes out.

use super::walk::Token;
use super::{put_varint, zigzag, Protocol, Type};

/// Encodes the tokens of one struct. Tokens have to come as a [`Walker`](super::walk::Walker) gives them.
#[derive(Debug)]
pub struct Writer<'a> {
    compact: bool,
    out: &'a mut Vec<u8>,
    /// The last field's number in each struct that is open; compact writes the difference.
    last: Vec<i16>,
    /// A boolean field whose head waits for its value, in compact.
    held: Option<i16>,
}

impl<'a> Writer<'a> {
    /// Appends to `out`.
    pub fn new(protocol: Protocol, out: &'a mut Vec<u8>) -> Self {
        Writer { compact: protocol == Protocol::Compact, out, last: Vec::new(), held: None }
    }

    /// Appends a token.
    pub fn put(&mut self, token: Token<'_>) {
        match token {
            Token::StructBegin => self.last.push(0),
            Token::StructEnd => {
                self.last.pop();
                self.out.push(0);
            }
            Token::Field { id, kind: Type::Bool } if self.compact => self.held = Some(id),
            Token::Field { id, kind } if self.compact => self.compact_field(id, compact_code(kind)),
            Token::Field { id, kind } => {
                self.out.push(binary_code(kind));
                self.out.extend_from_slice(&id.to_be_bytes());
            }
            Token::ListBegin { kind, len } | Token::SetBegin { kind, len } => self.elements(kind, len),
            Token::MapBegin { kinds, len } => self.map(kinds, len),
            Token::ContainerEnd => {}
            Token::Bool(value) if self.compact => {
                let code = if value { 1 } else { 2 };
                match self.held.take() {
                    Some(id) => self.compact_field(id, code),
                    None => self.out.push(code),
                }
            }
            Token::Bool(value) => self.out.push(u8::from(value)),
            Token::Byte(value) => self.out.push(value as u8),
            Token::I16(value) if self.compact => put_varint(self.out, zigzag(value.into())),
            Token::I32(value) if self.compact => put_varint(self.out, zigzag(value.into())),
            Token::I64(value) if self.compact => put_varint(self.out, zigzag(value)),
            Token::I16(value) => self.out.extend_from_slice(&value.to_be_bytes()),
            Token::I32(value) => self.out.extend_from_slice(&value.to_be_bytes()),
            Token::I64(value) => self.out.extend_from_slice(&value.to_be_bytes()),
            Token::Double(bits) if self.compact => self.out.extend_from_slice(&bits.to_le_bytes()),
            Token::Double(bits) => self.out.extend_from_slice(&bits.to_be_bytes()),
            Token::Binary(bytes) => {
                self.size(bytes.len() as u32);
                self.out.extend_from_slice(bytes);
            }
            Token::Uuid(bytes) => self.out.extend_from_slice(&bytes),
        }
    }

    fn compact_field(&mut self, id: i16, code: u8) {
        let last = self.last.last().copied().unwrap_or(0);
        match i32::from(id) - i32::from(last) {
            delta @ 1..=15 => self.out.push((delta as u8) << 4 | code),
            _ => {
                self.out.push(code);
                put_varint(self.out, zigzag(id.into()));
            }
        }
        if let Some(last) = self.last.last_mut() {
            *last = id;
        }
    }

    fn size(&mut self, size: u32) {
        if self.compact {
            put_varint(self.out, size.into());
        } else {
            self.out.extend_from_slice(&size.to_be_bytes());
        }
    }

    fn elements(&mut self, kind: Option<Type>, len: u32) {
        if !self.compact {
            self.out.push(kind.map_or(0, binary_code));
            return self.size(len);
        }
        let code = kind.map_or(0, compact_code);
        if len < 15 {
            self.out.push((len as u8) << 4 | code);
        } else {
            self.out.push(0xf0 | code);
            self.size(len);
        }
    }

    fn map(&mut self, kinds: Option<(Type, Type)>, len: u32) {
        if self.compact {
            self.size(len);
            if let Some((key, value)) = kinds.filter(|_| len > 0) {
                self.out.push(compact_code(key) << 4 | compact_code(value));
            }
        } else {
            let codes = kinds.map_or((0, 0), |(key, value)| (binary_code(key), binary_code(value)));
            self.out.extend_from_slice(&[codes.0, codes.1]);
            self.size(len);
        }
    }
}

fn binary_code(kind: Type) -> u8 {
    match kind {
        Type::Bool => 2,
        Type::Byte => 3,
        Type::Double => 4,
        Type::I16 => 6,
        Type::I32 => 8,
        Type::I64 => 10,
        Type::Binary => 11,
        Type::Struct => 12,
        Type::Map => 13,
        Type::Set => 14,
        Type::List => 15,
        Type::Uuid => 16,
    }
}

fn compact_code(kind: Type) -> u8 {
    match kind {
        Type::Bool => 1,
        Type::Byte => 3,
        Type::I16 => 4,
        Type::I32 => 5,
        Type::I64 => 6,
        Type::Double => 7,
        Type::Binary => 8,
        Type::List => 9,
        Type::Set => 10,
        Type::Map => 11,
        Type::Struct => 12,
        Type::Uuid => 13,
    }
}
