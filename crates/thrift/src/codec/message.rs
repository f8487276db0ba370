//! Whole messages, and how they are put into another form.

use super::head::Head;
use super::header::Header;
use super::walk::Walker;
use super::write::Writer;
use super::{Fault, Form, Protocol, Transport};
use bytes::Bytes;

/// A message that was read whole and walked through to its end.
#[derive(Clone, Debug)]
pub struct Message {
    /// The form in which it came.
    pub form: Form,
    /// What THeader said, where the form has it.
    pub header: Option<Header>,
    /// Method, kind and number.
    pub head: Head,
    bytes: Bytes,
    body_at: usize,
}

/// A message as it goes out: first the one, then the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Encoded {
    /// Length and THeader, where the form has them.
    pub prefix: Vec<u8>,
    /// Head and body.
    pub payload: Bytes,
}

impl Encoded {
    /// Bytes in all.
    pub fn len(&self) -> usize {
        self.prefix.len() + self.payload.len()
    }

    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Both parts in one piece.
    pub fn to_vec(&self) -> Vec<u8> {
        [&self.prefix[..], &self.payload[..]].concat()
    }
}

impl Message {
    /// `bytes` are head and body, `body_at` is where the body begins. The body has to be sound.
    pub(super) fn new(form: Form, header: Option<Header>, head: Head, bytes: Bytes, body_at: usize) -> Self {
        Message { form, header, head, bytes, body_at }
    }

    /// Head and body, as they came.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// The arguments or result.
    pub fn body(&self) -> &[u8] {
        &self.bytes[self.body_at..]
    }

    /// A walker over [`Message::body`].
    pub fn walk(&self) -> Walker {
        // The depth was checked when the message was read.
        Walker::new(self.form.protocol, 0, self.body().len(), usize::MAX)
    }

    /// The message in another form. Where the protocols agree its bytes are passed on untouched and uncopied. A
    /// THeader's own headers go along where both forms have them; `header` replaces them.
    pub fn encode(&self, form: Form, header: Option<&Header>) -> Result<Encoded, Fault> {
        let payload = match form.protocol == self.form.protocol {
            true => self.bytes.clone(),
            false => self.transcode(form.protocol)?,
        };
        Ok(Encoded { prefix: prefix(form, header.or(self.header.as_ref()), payload.len()), payload })
    }

    fn transcode(&self, to: Protocol) -> Result<Bytes, Fault> {
        // Compact is the smaller one; binary grows, by how much depends on the values.
        let mut out = Vec::with_capacity(self.bytes.len() + self.bytes.len() / 2);
        self.head.write(to, &mut out);
        if self.form.protocol.same_values(to) {
            out.extend_from_slice(self.body());
        } else {
            let mut writer = Writer::new(to, &mut out);
            let mut walker = self.walk();
            while let Some(token) = walker.next(self.body())? {
                writer.put(token);
            }
        }
        laurelroute_core::io_counters::record_copy(out.len());
        Ok(out.into())
    }
}

/// What stands ahead of a message of `len` bytes.
pub(super) fn prefix(form: Form, header: Option<&Header>, len: usize) -> Vec<u8> {
    match form.transport {
        Transport::Unframed => Vec::new(),
        Transport::Framed => (len as u32).to_be_bytes().to_vec(),
        Transport::Header => {
            let mut out = vec![0; 4];
            match header {
                Some(header) => header.write(form.protocol, &mut out),
                None => Header::default().write(form.protocol, &mut out),
            }
            let frame = (out.len() - 4 + len) as u32;
            out[..4].copy_from_slice(&frame.to_be_bytes());
            out
        }
    }
}
