//! A load over kept connections: each sends its next request when its answer is there.

use crate::report::Failure;
use laurelroute_testkit::wire::{Ask, Class, Wire};
use laurelroute_thrift::codec::decoder::{Accept, Decoder, Item};
use laurelroute_thrift::codec::{Kind, Limits};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};

/// How long a load lasts.
#[derive(Clone, Copy, Debug)]
pub enum Until {
    /// So long.
    Time(Duration),
    /// So many requests.
    Requests(u64),
}

/// What a load is.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The wire that clients speak.
    pub wire: Wire,
    /// The class of all requests.
    pub class: Class,
    /// Bytes that each request carries.
    pub body: usize,
    /// Connections, each with one request under way.
    pub connections: usize,
    /// How long it lasts.
    pub until: Until,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Tally {
    /// Served.
    pub served: u64,
    /// Answered otherwise.
    pub other: u64,
    /// Times of the served ones, in microseconds, in order of size.
    pub micros: Vec<u32>,
    /// From the first request to the last answer.
    pub took: Duration,
}

impl Tally {
    /// Served requests a second.
    pub fn rate(&self) -> f64 {
        self.served as f64 / self.took.as_secs_f64()
    }

    /// The time in milliseconds within which this part was, from 0 to 1.
    pub fn quantile(&self, part: f64) -> f64 {
        let at = ((self.micros.len() as f64 * part) as usize).min(self.micros.len().saturating_sub(1));
        self.micros.get(at).map_or(f64::NAN, |m| f64::from(*m) / 1000.0)
    }
}

/// Runs a load to its end.
pub fn run(plan: Plan, address: SocketAddr) -> Result<Tally, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let begun = Instant::now();
        let left = Rc::new(Cell::new(match plan.until {
            Until::Requests(n) => n,
            Until::Time(_) => u64::MAX,
        }));
        let end = match plan.until {
            Until::Time(time) => Some(begun + time),
            Until::Requests(_) => None,
        };
        let tasks: Vec<_> =
            (0..plan.connections).map(|_| spawn_local(client(plan, address, left.clone(), end))).collect();
        let mut tally = Tally::default();
        for task in tasks {
            let own = task.await??;
            tally.served += own.served;
            tally.other += own.other;
            tally.micros.extend(own.micros);
        }
        tally.took = begun.elapsed();
        tally.micros.sort_unstable();
        Ok(tally)
    })
}

async fn client(
    plan: Plan,
    address: SocketAddr,
    left: Rc<Cell<u64>>,
    end: Option<Instant>,
) -> Result<Tally, std::io::Error> {
    let mut tally = Tally::default();
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(plan.wire);
    let mut seqid = 0;
    while left.get() > 0 && end.is_none_or(|end| Instant::now() < end) {
        left.set(left.get() - 1);
        seqid += 1;
        let ask = Ask::new(plan.class).carrying(plan.body);
        let begun = Instant::now();
        stream.write_all(&ask.bytes(plan.wire, seqid)).await?;
        if reader.answer(&mut stream).await? {
            tally.served += 1;
            tally.micros.push(begun.elapsed().as_micros() as u32);
        } else {
            tally.other += 1;
        }
    }
    Ok(tally)
}

enum Reader {
    Http(Vec<u8>),
    Thrift(Decoder),
}

impl Reader {
    fn new(wire: Wire) -> Reader {
        match wire {
            Wire::Http => Reader::Http(Vec::new()),
            Wire::Thrift { client, .. } => {
                Reader::Thrift(Decoder::new(Accept::Only(client), Limits::default()))
            }
        }
    }

    /// Reads one answer; whether it is a box's.
    async fn answer(&mut self, stream: &mut TcpStream) -> std::io::Result<bool> {
        loop {
            let (done, n) = match self {
                Reader::Http(held) => (http_answer(held), stream.read_buf(held)),
                Reader::Thrift(decoder) => match decoder.take_item() {
                    Some(Item::Message(message)) => return Ok(message.head.kind == Kind::Reply),
                    Some(Item::Malformed(m)) => {
                        return Err(std::io::Error::other(m.fault.to_string()));
                    }
                    None => {
                        if stream.read_buf(decoder.buffer()).await? == 0 {
                            return Err(std::io::ErrorKind::UnexpectedEof.into());
                        }
                        continue;
                    }
                },
            };
            if let Some(served) = done {
                return Ok(served);
            }
            if n.await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Takes a whole answer off the front; whether it is a 200.
fn http_answer(held: &mut Vec<u8>) -> Option<bool> {
    let head = held.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = std::str::from_utf8(&held[..head]).ok()?;
    let length = text.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let whole = head + length.unwrap_or(0);
    if held.len() < whole {
        return None;
    }
    let served = text.starts_with("HTTP/1.1 200");
    held.drain(..whole);
    Some(served)
}
