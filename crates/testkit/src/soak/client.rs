//! Clients of a soak: each keeps one connection to its node, asks with pauses, and writes down what it saw.

use super::history::{Asked, End, Half, Recorder, Try};
use super::node::Nodes;
use super::plan::{Kind, Plan};
use super::text;
use crate::wire::{Class, CLASSES};
use crate::Random;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long clients wait where nothing is drawn.
const DEADLINE_MS: u64 = 1_500;
/// An answer may come so long after its client's time, and earns nothing.
const GRACE: Duration = Duration::from_millis(1_500);
/// For how long a client that has stopped in a request stays.
const STAYS: Duration = Duration::from_secs(5);

/// Nodes close connections that have rested for so long.
const RESTS: Duration = Duration::from_millis(2_000);
/// Idle connections of a crowd, and the pause between two that are opened.
const CROWD: usize = 160;
const CROWD_PAUSE: Duration = Duration::from_millis(4);

/// Idle clients of a node, while the plan has them: each asks once whether it is up, and stays.
pub async fn crowd(node: usize, nodes: Arc<Nodes>, plan: Arc<Plan>, recorder: Recorder) {
    let mut held = VecDeque::new();
    loop {
        sleep(CROWD_PAUSE).await;
        if plan.active(Kind::Crowd, node, recorder.now()).is_none() {
            held.clear();
            continue;
        }
        let Some(address) = nodes.address(node).filter(|_| nodes.takes(node)) else { continue };
        if let Ok(Ok(mut stream)) = timeout(Duration::from_secs(1), TcpStream::connect(address)).await {
            let _ = stream.write_all(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n").await;
            held.push_back(stream);
        }
        if held.len() > CROWD {
            held.pop_front();
        }
    }
}

/// A client.
pub struct Client {
    node: usize,
    nodes: Arc<Nodes>,
    plan: Arc<Plan>,
    recorder: Recorder,
    random: Random,
    resting: Option<TcpStream>,
    pause: Duration,
}

/// A request to be sent.
struct Ask {
    id: String,
    class: Class,
    deadline_ms: u64,
}

impl Ask {
    fn bytes(&self, deadline_ms: u64) -> Vec<u8> {
        let method = if self.class == Class::Read { "GET" } else { "POST" };
        let key = match self.class {
            Class::Keyed => format!("Idempotency-Key: key-{}\r\n", self.id),
            _ => String::new(),
        };
        let (length, body) = match self.class {
            Class::Read => ("", ""),
            _ => ("Content-Length: 8\r\n", "12345678"),
        };
        format!(
            "{method} /{} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\nX-Timeout-Ms: {deadline_ms}\r\n{key}{length}\r\n{body}",
            self.class.name(),
            self.id
        )
        .into_bytes()
    }
}

impl Client {
    /// One that asks a node, with pauses of this length in the mean.
    pub fn new(
        node: usize,
        nodes: Arc<Nodes>,
        plan: Arc<Plan>,
        recorder: Recorder,
        seed: u64,
        pause: Duration,
    ) -> Client {
        Client { node, nodes, plan, recorder, random: Random::new(seed), resting: None, pause }
    }

    /// Asks until `span` is over.
    pub async fn run(mut self, span: Duration) {
        while !self.nodes.takes(self.node) && Duration::from_micros(self.recorder.now().0) < span {
            sleep(Duration::from_millis(5)).await;
        }
        while Duration::from_micros(self.recorder.now().0) < span {
            let drawn = self.random.below(1000) as f64 / 1000.0;
            let pause = match self.active(Kind::Rest) {
                true => RESTS.mul_f64(0.97 + 0.1 * drawn),
                false => self.pause.mul_f64(0.1 + 1.8 * drawn),
            };
            sleep(pause).await;
            if self.active(Kind::Halves) && self.random.below(4) == 0 {
                self.half().await;
            } else {
                self.ask().await;
            }
        }
    }

    fn active(&self, kind: Kind) -> bool {
        self.plan.active(kind, self.node, self.recorder.now()).is_some()
    }

    async fn connect(&self) -> Option<TcpStream> {
        let address = self.nodes.address(self.node).filter(|_| self.nodes.takes(self.node))?;
        let connected = timeout(Duration::from_secs(2), TcpStream::connect(address)).await;
        let stream = connected.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(stream)
    }

    async fn ask(&mut self) {
        let deadline_ms = match self.active(Kind::ShortDeadlines) {
            true => 5 + self.random.below(60) as u64,
            false => DEADLINE_MS,
        };
        let class = [Class::Read, Class::Write, Class::Keyed][self.random.below(CLASSES.len())];
        let ask = Ask { id: crate::fresh_id(), class, deadline_ms };
        let mut tries = Vec::new();
        let resting = self.resting.take();
        let fresh = resting.is_none();
        let begun = self.recorder.now();
        let stream = match resting {
            Some(stream) => Some(stream),
            None => self.connect().await,
        };
        let first = self.send(&ask, stream, fresh, ask.deadline_ms).await;
        let crossed = !fresh && first.end == End::Closed;
        tries.push(first);
        if crossed {
            // It may have crossed the end of a connection that rested: once more on a new one.
            let left = ask.deadline_ms.saturating_sub(self.recorder.now().since(begun).as_millis() as u64);
            if left > 0 {
                let stream = self.connect().await;
                let again = self.send(&ask, stream, true, left).await;
                tries.push(again);
            }
        }
        let asked = Asked { id: ask.id, class, node: self.node, tries };
        self.recorder.write(|h| h.asked.push(asked));
    }

    /// Sends a request over a connection, which is kept where it may be.
    async fn send(&mut self, ask: &Ask, stream: Option<TcpStream>, fresh: bool, deadline_ms: u64) -> Try {
        let begun = self.recorder.now();
        let ended = |sent, ended, end| Try { fresh, begun, sent, deadline_ms, ended, end };
        let Some(mut stream) = stream else { return ended(begun, begun, End::Unreached) };
        let bytes = ask.bytes(deadline_ms);
        if !self.write(&mut stream, &bytes).await {
            let now = self.recorder.now();
            return ended(now, now, End::Closed);
        }
        let sent = self.recorder.now();
        if self.active(Kind::Leave) && self.random.below(2) == 0 {
            self.leave(stream).await;
            return ended(sent, self.recorder.now(), End::Left);
        }
        let patience = Duration::from_millis(deadline_ms) + GRACE;
        let answer = timeout(patience, text::read(&mut stream)).await;
        let at = self.recorder.now();
        let end = match answer {
            Err(_) => End::Silent,
            Ok(None) => End::Closed,
            Ok(Some(answer)) => {
                let closes = answer.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                if !closes {
                    self.resting = Some(stream);
                }
                match answer.status() {
                    Some(200) if answer.body != ask.id.as_bytes() => End::Mixed,
                    status => End::Answered(status.unwrap_or(0)),
                }
            }
        };
        ended(sent, at, end)
    }

    async fn write(&mut self, stream: &mut TcpStream, bytes: &[u8]) -> bool {
        if !self.active(Kind::SlowWriters) {
            return stream.write_all(bytes).await.is_ok();
        }
        for (k, piece) in bytes.chunks(1 + self.random.below(80)).enumerate() {
            if k > 0 {
                sleep(Duration::from_millis(self.random.below(30) as u64)).await;
            }
            if stream.write_all(piece).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Goes away after a while: by a close or a reset, with or without a part of a further request behind.
    async fn leave(&mut self, mut stream: TcpStream) {
        sleep(Duration::from_millis(self.random.below(120) as u64)).await;
        if self.random.below(2) == 0 {
            let _ = stream.write_all(b"GET /read HTTP/1.1\r\nHost: app").await;
            sleep(Duration::from_millis(self.random.below(10) as u64)).await;
        }
        if self.random.below(2) == 0 {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Stops in the middle of a request, and stays.
    async fn half(&mut self) {
        self.resting = None;
        let Some(mut stream) = self.connect().await else { return };
        let ask = Ask { id: crate::fresh_id(), class: Class::Write, deadline_ms: DEADLINE_MS };
        let bytes = ask.bytes(DEADLINE_MS);
        let cut = 1 + self.random.below(bytes.len() - 1);
        let _ = stream.write_all(&bytes[..cut]).await;
        let stopped = self.recorder.now();
        let mut byte = [0];
        let ended = timeout(STAYS, stream.read(&mut byte)).await.is_ok();
        let half = Half { node: self.node, stopped, ended: ended.then(|| self.recorder.now()) };
        self.recorder.write(|h| h.halves.push(half));
    }
}
