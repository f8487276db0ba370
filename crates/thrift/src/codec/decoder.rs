//! One direction of a connection: bytes as they come, messages as they are whole.

use super::head::{Head, COMPACT, STRICT};
use super::header::{Header, MAGIC};
use super::message::Message;
use super::walk::Walker;
use super::{Fault, Form, Limits, Protocol, Transport};
use bytes::{Bytes, BytesMut};

/// Which forms are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accept {
    /// Any, told from the first bytes: `80 01` is unframed strict binary, `82` with version 1 is unframed compact,
    /// and anything else is a frame's length, with the protocol told from what the frame begins with. Old binary is
    /// taken in frames only, where nothing else can look like it.
    Detect,
    /// This one alone.
    Only(Form),
}

/// What was read.
#[derive(Clone, Debug)]
pub enum Item {
    /// A sound message.
    Message(Message),
    /// One that is not.
    Malformed(Malformed),
}

/// A message that is not sound.
#[derive(Clone, Debug)]
pub struct Malformed {
    /// Which call it is, where that could be read.
    pub call: Option<(Form, Head, Option<Header>)>,
    /// What is wrong.
    pub fault: Fault,
    /// The next message can still be read.
    pub in_step: bool,
}

/// Tells messages apart. It holds at most one message's bytes beside what was put in behind it, and never reserves
/// memory for bytes that are only announced.
#[derive(Debug)]
pub struct Decoder {
    accept: Accept,
    limits: Limits,
    buffer: BytesMut,
    /// Fixed by the first message.
    transport: Option<Transport>,
    /// The unframed message that is under way.
    walk: Option<(Protocol, Head, usize, Walker)>,
    broken: bool,
}

impl Decoder {
    /// A decoder at the start of a connection.
    pub fn new(accept: Accept, limits: Limits) -> Self {
        let transport = match accept {
            Accept::Detect => None,
            Accept::Only(form) => Some(form.transport),
        };
        Decoder { accept, limits, buffer: BytesMut::new(), transport, walk: None, broken: false }
    }

    /// Where bytes that have come are put.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Bytes of the message that is under way, or of what has come if its length is not known.
    pub fn message_bytes(&self) -> usize {
        let framed = matches!(self.transport, Some(Transport::Framed | Transport::Header));
        let announced = self.buffer.get(..4).filter(|_| framed).and_then(|length| {
            let length = i32::from_be_bytes(length.try_into().ok()?);
            usize::try_from(length).ok().filter(|size| *size <= self.limits.message)
        });
        self.buffer.len().max(announced.unwrap_or(0))
    }

    /// Gives up the message that is under way, and with it the stream; returns which call it is, where its head has come.
    pub fn abandon(&mut self) -> Option<(Form, Head, Option<Header>)> {
        let bytes = std::mem::take(&mut self.buffer).freeze();
        self.broken = true;
        let unframed = self
            .walk
            .take()
            .map(|(protocol, head, ..)| (Form { transport: Transport::Unframed, protocol }, head, None));
        unframed.or_else(|| {
            let frame = bytes.get(4..)?;
            let (form, header, at) = self.form(frame).ok()?;
            let (head, _) = Head::read(form.protocol, frame.get(at..)?, &self.limits).ok()??;
            Some((form, head, header))
        })
    }

    /// A part of a message is held.
    pub fn partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next message, sound or not; `None` until more bytes have come, and for good once the stream is out of
    /// step.
    pub fn take_item(&mut self) -> Option<Item> {
        if self.broken || self.buffer.is_empty() {
            return None;
        }
        let item = self.read().unwrap_or_else(|fault| {
            let call = self
                .walk
                .take()
                .map(|(protocol, head, ..)| (Form { transport: Transport::Unframed, protocol }, head, None));
            Some(Item::Malformed(Malformed { call, fault, in_step: false }))
        });
        if matches!(&item, Some(Item::Malformed(m)) if !m.in_step) {
            self.broken = true;
            self.buffer = BytesMut::new();
        }
        item
    }

    fn read(&mut self) -> Result<Option<Item>, Fault> {
        let Some(transport) = self.transport()? else { return Ok(None) };
        self.transport = Some(transport);
        match transport {
            Transport::Unframed => Ok(self.unframed()?.map(Item::Message)),
            Transport::Framed | Transport::Header => self.framed(),
        }
    }

    fn transport(&self) -> Result<Option<Transport>, Fault> {
        if self.transport.is_some() {
            return Ok(self.transport);
        }
        let second = self.buffer.get(1).copied();
        match (self.buffer[0], second) {
            (0x80, Some(second)) if second == STRICT[1] => Ok(Some(Transport::Unframed)),
            (COMPACT, Some(second)) if second & 0x1f == 1 => Ok(Some(Transport::Unframed)),
            (0x80 | COMPACT, None) => Ok(None),
            (0x80 | COMPACT, _) => Err(Fault::UnknownForm),
            _ => Ok(Some(Transport::Framed)),
        }
    }

    fn unframed(&mut self) -> Result<Option<Message>, Fault> {
        if self.walk.is_none() {
            let protocol = match (self.accept, self.buffer[0]) {
                (Accept::Only(form), _) => form.protocol,
                (Accept::Detect, COMPACT) => Protocol::Compact,
                (Accept::Detect, _) => Protocol::BinaryStrict,
            };
            let Some((head, at)) = Head::read(protocol, &self.buffer, &self.limits)? else { return Ok(None) };
            let walker = Walker::new(protocol, at, self.limits.message, self.limits.depth);
            self.walk = Some((protocol, head, at, walker));
        }
        let Some((_, _, _, walker)) = &mut self.walk else { return Ok(None) };
        if !walker.skip(&self.buffer)? {
            return match self.buffer.len() >= self.limits.message {
                true => Err(Fault::TooLong { limit: self.limits.message }),
                false => Ok(None),
            };
        }
        let Some((protocol, head, at, walker)) = self.walk.take() else { return Ok(None) };
        let bytes = self.buffer.split_to(walker.at()).freeze();
        let form = Form { transport: Transport::Unframed, protocol };
        Ok(Some(Message::new(form, None, head, bytes, at)))
    }

    fn framed(&mut self) -> Result<Option<Item>, Fault> {
        let Some(length) = self.buffer.get(..4) else { return Ok(None) };
        let length = i32::from_be_bytes([length[0], length[1], length[2], length[3]]);
        let size = usize::try_from(length).map_err(|_| Fault::NegativeFrame(length))?;
        if size > self.limits.message {
            return Err(Fault::TooLong { limit: self.limits.message });
        }
        if self.buffer.len() < 4 + size {
            return Ok(None);
        }
        let frame = self.buffer.split_to(4 + size).freeze().slice(4..);
        let mut call = None;
        Ok(Some(match self.frame(frame, &mut call) {
            Ok(message) => Item::Message(message),
            Err(fault) => Item::Malformed(Malformed { call, fault, in_step: true }),
        }))
    }

    /// Reads a frame that is there whole. `call` is what is known of it where it turns out to be unsound.
    fn frame(&self, frame: Bytes, call: &mut Option<(Form, Head, Option<Header>)>) -> Result<Message, Fault> {
        let (form, header, at) = self.form(&frame)?;
        let bytes = frame.slice(at..);
        let (head, body_at) = Head::read(form.protocol, &bytes, &self.limits)?.ok_or(Fault::Truncated)?;
        *call = Some((form, head.clone(), header.clone()));
        let mut walker = Walker::new(form.protocol, body_at, bytes.len(), self.limits.depth);
        if !walker.skip(&bytes)? {
            return Err(Fault::Truncated);
        }
        if walker.at() < bytes.len() {
            return Err(Fault::Trailing(bytes.len() - walker.at()));
        }
        Ok(Message::new(form, header, head, bytes, body_at))
    }

    /// A frame's form, its header and where its message begins.
    fn form(&self, frame: &[u8]) -> Result<(Form, Option<Header>, usize), Fault> {
        let found = if frame.starts_with(&MAGIC) {
            let (header, protocol, at) = Header::read(frame, self.limits.headers)?;
            (Form { transport: Transport::Header, protocol }, Some(header), at)
        } else {
            let protocol = match frame.first().ok_or(Fault::Truncated)? {
                0x80 => Protocol::BinaryStrict,
                &COMPACT => Protocol::Compact,
                _ => Protocol::BinaryOld,
            };
            (Form { transport: Transport::Framed, protocol }, None, 0)
        };
        match self.accept {
            Accept::Only(form) if form != found.0 => Err(Fault::OtherForm),
            _ => Ok(found),
        }
    }
}
