//! The headers of a request while it is in progress, in as few bytes as they have on the wire. A parsed header map takes
//! over a hundred bytes for each field, however short, and keeps the whole read buffer allocated.

use bytes::{Bytes, BytesMut};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use laurelroute_core::budget::BodyLease;
use laurelroute_core::payload::PREPAID_BYTES;

/// What a request takes beyond its head: its state, and the beginnings of its body and of its response's.
const REQUEST_BYTES: usize = 1024 + 2 * PREPAID_BYTES as usize;
/// What a parsed field takes beyond its text. An attempt parses the headers again.
const PARSED_FIELD_BYTES: usize = 128;
/// The connection library keeps the table of the longest head that a connection has carried. A connection is not kept for
/// reuse after a head with more fields.
const MAX_REUSABLE_FIELDS: usize = 40;

/// Lengths of a field's name and value.
#[derive(Clone, Copy, Debug)]
struct Field {
    name: u16,
    value: u16,
}

/// Headers without a parsed form.
#[derive(Debug)]
pub struct CompactHeaders {
    fields: Vec<Field>,
    /// The names and values of all fields, without separators.
    text: Bytes,
    _lease: BodyLease,
}

impl CompactHeaders {
    /// Copies the headers; `None` if the lease's budget has no room for them.
    pub fn new(headers: &HeaderMap, mut lease: BodyLease) -> Option<CompactHeaders> {
        let length: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        let size = REQUEST_BYTES + 2 * length + headers.len() * (size_of::<Field>() + PARSED_FIELD_BYTES);
        if !lease.grow(size) {
            return None;
        }
        let (mut fields, mut text) = (Vec::with_capacity(headers.len()), BytesMut::with_capacity(length));
        for (name, value) in headers {
            let lengths = (u16::try_from(name.as_str().len()).ok()?, u16::try_from(value.len()).ok()?);
            fields.push(Field { name: lengths.0, value: lengths.1 });
            text.extend_from_slice(name.as_str().as_bytes());
            text.extend_from_slice(value.as_bytes());
        }
        Some(CompactHeaders { fields, text: text.freeze(), _lease: lease })
    }

    /// Whether a connection that has carried this head may be kept for others.
    pub fn allows_reuse(&self) -> bool {
        self.fields.len() <= MAX_REUSABLE_FIELDS
    }

    /// The headers in parsed form.
    pub fn to_map(&self) -> HeaderMap {
        let mut headers = HeaderMap::with_capacity(self.fields.len() + 1);
        let mut rest = self.text.clone();
        for field in &self.fields {
            let name = rest.split_to(usize::from(field.name));
            let value = rest.split_to(usize::from(field.value));
            // Both were parsed before.
            if let (Ok(name), Ok(value)) =
                (HeaderName::from_bytes(&name), HeaderValue::from_maybe_shared(value))
            {
                headers.append(name, value);
            }
        }
        headers
    }
}
