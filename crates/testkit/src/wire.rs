//! Requests and answers as tests see them, and how each wire puts them.

use laurelroute_thrift::codec::application;
use laurelroute_thrift::codec::decoder::{Accept, Decoder, Item};
use laurelroute_thrift::codec::head::Head;
use laurelroute_thrift::codec::header::Header;
use laurelroute_thrift::codec::message::Message;
use laurelroute_thrift::codec::path::{find, FieldPath, Value};
use laurelroute_thrift::codec::walk::Token;
use laurelroute_thrift::codec::write::Writer;
use laurelroute_thrift::codec::{Form, Kind, Limits, Transport, Type};
use std::io::{Read, Write};
use std::net::TcpStream;

/// A wire, from a client's side to a box's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wire {
    /// HTTP/1.1.
    Http,
    /// Thrift, in forms that may differ.
    Thrift {
        /// What clients speak.
        client: Form,
        /// What boxes speak.
        boxes: Form,
    },
}

impl Wire {
    /// Thrift in one form throughout.
    pub fn thrift(form: &str) -> Wire {
        Wire::mixed(form, form)
    }

    /// Thrift, with a form for each side.
    pub fn mixed(client: &str, boxes: &str) -> Wire {
        let form = |name: &str| Form::named(name).unwrap_or_else(|| panic!("no form `{name}`"));
        Wire::Thrift { client: form(client), boxes: form(boxes) }
    }
}

/// The classes of the suite's site, one for each effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Class {
    /// Safe to repeat.
    Read,
    /// Must not run twice.
    Write,
    /// Boxes drop repeats.
    Keyed,
}

/// All of them.
pub const CLASSES: [Class; 3] = [Class::Read, Class::Write, Class::Keyed];

impl Class {
    /// Its name in the settings, in paths and as a method.
    pub fn name(self) -> &'static str {
        match self {
            Class::Read => "read",
            Class::Write => "write",
            Class::Keyed => "keyed",
        }
    }

    fn named(name: &str) -> Option<Class> {
        CLASSES.into_iter().find(|c| c.name() == name)
    }
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Its identity.
    pub id: String,
    /// Its class.
    pub class: Class,
    /// How long its client waits.
    pub deadline_ms: u32,
    /// What it carries.
    pub body: Vec<u8>,
    /// Nobody waits for an answer (Thrift only).
    pub oneway: bool,
    /// The service that is asked (HTTP only, as its host); none: the only one.
    pub service: Option<String>,
}

impl Ask {
    /// A request with an id of its own and a deadline of four seconds.
    pub fn new(class: Class) -> Ask {
        Ask {
            id: crate::fresh_id(),
            class,
            deadline_ms: 4000,
            body: Vec::new(),
            oneway: false,
            service: None,
        }
    }

    /// The same with another deadline.
    pub fn within(self, deadline_ms: u32) -> Ask {
        Ask { deadline_ms, ..self }
    }

    /// The same of a service.
    pub fn of(self, service: &str) -> Ask {
        Ask { service: Some(service.to_owned()), ..self }
    }

    /// The same with a body of this size.
    pub fn carrying(self, bytes: usize) -> Ask {
        Ask { body: vec![b'x'; bytes], ..self }
    }

    fn head(&self, seqid: i32) -> Head {
        let kind = if self.oneway { Kind::Oneway } else { Kind::Call };
        Head { name: self.class.name().into(), kind, seqid }
    }

    /// The bytes of the request on a wire, from a client.
    pub fn bytes(&self, wire: Wire, seqid: i32) -> Vec<u8> {
        match wire {
            Wire::Http => self.http(),
            Wire::Thrift { client, .. } => self.thrift(client, seqid),
        }
    }

    fn http(&self) -> Vec<u8> {
        let method = if self.class == Class::Read { "GET" } else { "POST" };
        let mut head = format!(
            "{method} /{} HTTP/1.1\r\nHost: {}\r\nX-Request-ID: {}\r\nX-Timeout-Ms: {}\r\n",
            self.class.name(),
            self.service.as_deref().unwrap_or("app.svc"),
            self.id,
            self.deadline_ms
        );
        if self.class == Class::Keyed {
            head += &format!("Idempotency-Key: key-{}\r\n", self.id);
        }
        if self.class != Class::Read {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        let body = if self.class == Class::Read { &[][..] } else { &self.body };
        [head.as_bytes(), b"\r\n", body].concat()
    }

    fn thrift(&self, form: Form, seqid: i32) -> Vec<u8> {
        let mut message = Vec::new();
        self.head(seqid).write(form.protocol, &mut message);
        let mut writer = Writer::new(form.protocol, &mut message);
        writer.put(Token::StructBegin);
        writer.put(Token::Field { id: 1, kind: Type::Binary });
        writer.put(Token::Binary(self.id.as_bytes()));
        writer.put(Token::Field { id: 2, kind: Type::I32 });
        writer.put(Token::I32(self.deadline_ms as i32));
        writer.put(Token::Field { id: 3, kind: Type::Binary });
        writer.put(Token::Binary(&self.body));
        writer.put(Token::StructEnd);
        wrap(form, seqid, message)
    }
}

/// Puts a message into a form's frame.
fn wrap(form: Form, seqid: i32, message: Vec<u8>) -> Vec<u8> {
    match form.transport {
        Transport::Unframed => message,
        Transport::Framed => [&(message.len() as u32).to_be_bytes()[..], &message].concat(),
        Transport::Header => {
            let mut out = vec![0; 4];
            Header { seqid: seqid as u32, ..Header::default() }.write(form.protocol, &mut out);
            out.extend_from_slice(&message);
            let len = (out.len() - 4) as u32;
            out[..4].copy_from_slice(&len.to_be_bytes());
            out
        }
    }
}

/// What a client hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A box's answer.
    Served(Vec<u8>),
    /// Turned away, with the advice when to come back in seconds.
    Refused(Option<f64>),
    /// Failed.
    Failed {
        /// For want of time.
        late: bool,
    },
}

impl Answer {
    /// Whether a box has served it.
    pub fn served(&self) -> bool {
        matches!(self, Answer::Served(_))
    }
}

/// A request as a box has read it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The request.
    pub ask: Ask,
    /// A Thrift message's own head, form and header.
    call: Option<(Form, Head, Option<Header>)>,
}

/// What a box says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Say {
    /// Served: the request's id.
    Served,
    /// An error of its own.
    Error,
    /// Turned away, never ran.
    TurnedAway,
    /// A sound answer that is not to this request: another number, or two lengths.
    Misfit,
    /// Noise.
    Noise,
}

impl Seen {
    /// The bytes of an answer.
    pub fn answer(&self, say: Say) -> Vec<u8> {
        if say == Say::Noise {
            return b"\x00\x00\x00\x09\xfe\x01\x02 noise\r\n\r\n".to_vec();
        }
        match &self.call {
            None => self.http_answer(say),
            Some((form, head, header)) => self.thrift_answer(say, *form, head, header.as_ref()),
        }
    }

    fn http_answer(&self, say: Say) -> Vec<u8> {
        let (status, more) = match say {
            Say::Error => ("500 Broken", ""),
            Say::TurnedAway => ("503 Busy", "X-Not-Processed: 1\r\n"),
            Say::Misfit => ("200 OK", "Content-Length: 3\r\n"),
            Say::Served | Say::Noise => ("200 OK", ""),
        };
        let id = &self.ask.id;
        format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{id}", id.len()).into_bytes()
    }

    fn thrift_answer(&self, say: Say, form: Form, head: &Head, header: Option<&Header>) -> Vec<u8> {
        let code = match say {
            Say::Error => application::INTERNAL_ERROR,
            Say::TurnedAway => application::LOAD_SHEDDING,
            _ => {
                let seqid = if say == Say::Misfit { head.seqid.wrapping_add(1) } else { head.seqid };
                return self.reply(form, head, seqid);
            }
        };
        application::encode(form, head, header, code, "from the box").to_vec()
    }

    fn reply(&self, form: Form, head: &Head, seqid: i32) -> Vec<u8> {
        let mut message = Vec::new();
        Head { kind: Kind::Reply, seqid, ..head.clone() }.write(form.protocol, &mut message);
        let mut writer = Writer::new(form.protocol, &mut message);
        writer.put(Token::StructBegin);
        writer.put(Token::Field { id: 0, kind: Type::Binary });
        writer.put(Token::Binary(self.ask.id.as_bytes()));
        writer.put(Token::StructEnd);
        wrap(form, seqid, message)
    }
}

/// One end of a connection, which reads messages of its wire.
#[derive(Debug)]
pub struct Conn {
    /// The connection.
    pub stream: TcpStream,
    decoder: Option<Decoder>,
    /// The peer has said that it closes after what it sent last.
    pub told_to_close: bool,
}

impl Conn {
    /// An end that reads HTTP, or Thrift in this form.
    pub fn new(stream: TcpStream, form: Option<Form>) -> Self {
        let _ = stream.set_nodelay(true);
        let limits = Limits { message: 1 << 20, ..Limits::default() };
        let decoder = form.map(|form| Decoder::new(Accept::Only(form), limits));
        Conn { stream, decoder, told_to_close: false }
    }

    /// Waits for the first byte of the next message; false where the peer has closed.
    pub fn begun(&mut self) -> bool {
        self.decoder.as_ref().is_some_and(Decoder::partial)
            || matches!(self.stream.peek(&mut [0]), Ok(n) if n > 0)
    }

    /// The next request; `None` where there is none any more.
    pub fn request(&mut self) -> Option<Seen> {
        if self.decoder.is_none() {
            return self.http_request();
        }
        let message = self.message()?;
        let paths: Vec<FieldPath> = ["1", "2", "3"].iter().filter_map(|p| p.parse().ok()).collect();
        let mut values = find(&message, &paths.iter().collect::<Vec<_>>());
        let mut bytes = |k: usize| values[k].take().map(Value::into_bytes);
        let id = String::from_utf8(bytes(0)?).ok()?;
        let deadline_ms = String::from_utf8(bytes(1)?).ok()?.parse().ok()?;
        let body = bytes(2)?;
        let class = Class::named(message.head.method())?;
        let oneway = message.head.kind == Kind::Oneway;
        let call = Some((message.form, message.head, message.header));
        Some(Seen { ask: Ask { id, class, deadline_ms, body, oneway, service: None }, call })
    }

    fn http_request(&mut self) -> Option<Seen> {
        let (head, body) = self.http_message()?;
        let class = Class::named(head.split(['/', '?', ' ']).nth(2)?)?;
        let id = field(&head, "x-request-id")?.to_owned();
        let deadline_ms = field(&head, "x-timeout-ms")?.parse().ok()?;
        Some(Seen { ask: Ask { id, class, deadline_ms, body, oneway: false, service: None }, call: None })
    }

    /// The next answer; `None` where the connection ends first.
    pub fn answer(&mut self) -> Option<Answer> {
        if self.decoder.is_some() {
            return self.numbered_answer().map(|(_, answer)| answer);
        }
        let (head, body) = self.http_message()?;
        Some(match head.split(' ').nth(1)? {
            "200" => Answer::Served(body),
            "429" | "503" => Answer::Refused(field(&head, "retry-after").and_then(|v| v.parse().ok())),
            status => Answer::Failed { late: status == "504" },
        })
    }

    /// The next Thrift answer with the number of its call.
    pub fn numbered_answer(&mut self) -> Option<(i32, Answer)> {
        let message = self.message()?;
        let seqid = message.head.seqid;
        let answer = match message.head.kind {
            Kind::Reply => Answer::Served(first_bytes(&message)),
            _ => match application::decode(&message) {
                (application::LOAD_SHEDDING, text) => Answer::Refused(advice(&text)),
                (code, _) => Answer::Failed { late: code == application::TIMEOUT },
            },
        };
        Some((seqid, answer))
    }

    fn message(&mut self) -> Option<Message> {
        let decoder = self.decoder.as_mut()?;
        loop {
            match decoder.take_item() {
                Some(Item::Message(message)) => return Some(message),
                Some(Item::Malformed(_)) => return None,
                None => {}
            }
            let mut part = [0; 4096];
            let n = self.stream.read(&mut part).ok().filter(|n| *n > 0)?;
            decoder.buffer().extend_from_slice(&part[..n]);
        }
    }

    fn http_message(&mut self) -> Option<(String, Vec<u8>)> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            (self.stream.read(&mut byte).ok()? == 1).then_some(())?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        self.told_to_close = field(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let length = field(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).ok()?;
        Some((head, body))
    }

    /// Writes all of it; false where the peer is gone.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

fn first_bytes(message: &Message) -> Vec<u8> {
    let mut walker = message.walk();
    while let Ok(Some(token)) = walker.next(message.body()) {
        if let Token::Binary(bytes) = token {
            return bytes.to_vec();
        }
    }
    Vec::new()
}

fn advice(text: &str) -> Option<f64> {
    text.split("retry after ").nth(1)?.split(' ').next()?.parse().ok()
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}
