//! The list of servers: read once, then watched. Nonsense leaves the old list in place and the watch is opened
//! anew.

use crate::config::Config;
use crate::site::Site;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use laurelroute_core::connect::establish;
use laurelroute_core::fleet::{Dials, Entry, Said};
use laurelroute_core::gateway::ListCall;
use laurelroute_core::retry_io::Retried;
use laurelroute_policy::interface::{Endpoint, ListKind, Phase, Server};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde_json::Value;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, timeout_at, Instant};

/// A watch says something at least every 2 s; one that is silent for longer hangs.
const SILENCE: Duration = Duration::from_millis(2600);
/// Discovery that is asked may let a call wait in turn: for this at the longest ...
const CALL: Duration = Duration::from_secs(6);
/// ... but a call may have fallen silent like any watch, and discovery may answer those that come later. A change counts as told
/// 6 s after discovery could be reached: less the module's pause after a failed call (1.35 s at most), an answer that takes
/// 1 s and a hold-up of the process (0.15 s), a further call has to be made within 3.5 s of the one before. It is made beside
/// the one that waits, which may still be answered.
const CALL_AGAIN: Duration = Duration::from_secs(3);
const CONNECT: Duration = Duration::from_millis(500);
/// Waits before a watch is opened again: from the first, doubled up to the last, and spread.
const PAUSE_FIRST: f64 = 0.05;
const PAUSE_LAST: f64 = 1.0;
/// ... and to no more than this part of the grace that servers have which drain: where lists are pushed, what the agent has
/// counts at once when it is back. It answers at once and at no cost.
const GRACE_PART: f64 = 0.25;
/// The longest line; a list of 10,000 servers has a fifth of that.
const LONGEST: usize = 8 << 20;
/// ... and for who goes by services and holds all of them: 180,000 servers with their services have 22 to 30 MB. One process
/// in hundreds takes so much, and for as long as it reads it.
const LONGEST_OF_ALL: usize = 64 << 20;
/// A line longer than `LONGEST` has to be whole after this.
const LONG_LINE: Duration = Duration::from_secs(15);
/// An older whole list is taken only when discovery has stuck to it in this many watches: it may have lost its
/// numbers, but more likely it was one stale copy, which would bring drained servers back.
const STUBBORN: u32 = 4;

/// One line of discovery.
#[derive(Clone, Debug, Deserialize)]
pub struct HostList {
    /// Version of the list.
    pub seq: u64,
    /// Whether it names all servers, or only those that changed.
    #[serde(default)]
    pub whole: bool,
    /// The servers.
    pub hosts: Vec<Host>,
}

/// One server, as discovery words it.
#[derive(Clone, Debug, Deserialize)]
pub struct Host {
    host: String,
    dial: SocketAddr,
    /// Where it speaks Thrift, if it says so.
    #[serde(default)]
    thrift: Option<SocketAddr>,
    #[serde(default, deserialize_with = "names")]
    service: Vec<String>,
    #[serde(default, deserialize_with = "names")]
    services: Vec<String>,
    #[serde(default)]
    site: Option<String>,
    #[serde(default)]
    class: Option<String>,
    #[serde(default)]
    block: Option<u16>,
    health: Health,
    #[serde(default)]
    share: Option<f32>,
    #[serde(default)]
    born_ms: Option<u64>,
    /// What it runs, and whatever else is said of it: for the pools of a shift. What is of another form says nothing, and
    /// must not spoil the list.
    #[serde(default)]
    version: Value,
    #[serde(default)]
    metadata: Value,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Health {
    Active,
    Leaving,
    Left,
}

/// One name or several; what is of another form says nothing, and does not spoil the list.
fn names<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let name = |value| match value {
        Value::String(name) => Some(name),
        _ => None,
    };
    Ok(match Value::deserialize(deserializer)? {
        Value::Array(values) => values.into_iter().filter_map(name).collect(),
        value => name(value).into_iter().collect(),
    })
}

fn said(host: &Host) -> Said {
    let pairs = host.metadata.as_object().into_iter().flatten();
    let text = |(key, value): (&String, &Value)| Some((key.clone(), value.as_str()?.to_owned()));
    Said {
        kind: host.class.clone().unwrap_or_default(),
        version: host.version.as_str().unwrap_or_default().to_owned(),
        metadata: pairs.filter_map(text).collect(),
        services: Vec::new(),
    }
}

/// A part of an answer as it comes.
type BodyFrame = Result<Frame<Bytes>, hyper::Error>;

/// Why a watch or a call has ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("no answer in time")]
    Silent,
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("a line of over {0} bytes")]
    TooLong(usize),
    #[error("a line that cannot be read: {0}")]
    Nonsense(#[from] serde_json::Error),
    #[error("version {0} after {1}")]
    Backwards(u64, u64),
    #[error("the watch ended")]
    Ended,
    #[error("a new configuration names another address")]
    Moved,
}

/// What a line of a watch has brought.
#[derive(Debug, PartialEq, Eq)]
enum Line {
    /// The empty line.
    Heartbeat,
    /// A list, as it was written.
    Whole(Vec<u8>),
    /// A part of one: it is indented, and more lines belong to it.
    Part,
}

/// Lists as they come in. One may be indented over several lines: it ends with the line in which its last brace closes.
#[derive(Debug)]
struct Lists {
    /// Bytes of a line at most.
    longest: usize,
    held: Vec<u8>,
    depth: i64,
    string: bool,
    escaped: bool,
}

impl Lists {
    fn new(longest: usize) -> Self {
        Lists { longest, held: Vec::new(), depth: 0, string: false, escaped: false }
    }

    /// Takes bytes within a line.
    fn take(&mut self, bytes: &[u8]) -> Result<(), WatchError> {
        if self.held.len() + bytes.len() > self.longest {
            return Err(WatchError::TooLong(self.longest));
        }
        self.held.extend_from_slice(bytes);
        for &byte in bytes {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.string => self.escaped = true,
                b'"' => self.string = !self.string,
                b'{' | b'[' if !self.string => self.depth += 1,
                b'}' | b']' if !self.string => self.depth -= 1,
                _ => {}
            }
        }
        Ok(())
    }

    /// Takes the rest of a line.
    fn end_line(&mut self, bytes: &[u8]) -> Result<Line, WatchError> {
        let empty = bytes.trim_ascii().is_empty();
        self.take(bytes)?;
        // No text holds a line's end as it is, and no list an empty line: what is open then is spoilt, and reading it says so.
        if self.depth > 0 && !self.string && !empty {
            self.held.push(b'\n');
            return Ok(Line::Part);
        }
        let list = std::mem::replace(self, Lists::new(self.longest)).held;
        Ok(if list.trim_ascii().is_empty() { Line::Heartbeat } else { Line::Whole(list) })
    }
}

/// Who is told what discovery says: what kind of list, its version and its entries.
pub type Sink = Box<dyn Fn(ListKind, u64, Vec<Entry>)>;

/// Who is told of signs of life without news.
pub type Alive = Box<dyn Fn()>;

/// What goes on at discovery's address, to its end or until that is another one: a new configuration may come at any moment,
/// also while a call hangs at the old address.
async fn unless_moved(
    mut moves: watch::Receiver<SocketAddr>,
    work: impl Future<Output = Result<(), WatchError>>,
) -> Result<(), WatchError> {
    tokio::select! {
        ended = work => ended,
        _ = moves.changed() => Err(WatchError::Moved),
    }
}

/// Follows discovery.
pub struct Watcher {
    sink: Sink,
    alive: Alive,
    /// Discovery has to be asked, and may let a call wait.
    must_subscribe: bool,
    /// The longest pause before a watch is opened again, seconds.
    pause_last: f64,
    seq: u64,
    /// Nothing is held that changes could build on.
    blank: bool,
    older: u32,
    lines: u64,
    /// A list of this address is held: changes to it are of use only to a watch there.
    heard_at: Option<SocketAddr>,
    address: watch::Receiver<SocketAddr>,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Thrift is on, with this port where an entry has no address for it.
    thrift: Option<Option<u16>>,
    /// Somebody goes by what else is said of servers.
    shift: bool,
    /// Somebody goes by services, and takes all of them.
    services: bool,
    rng: Pcg64Mcg,
}

impl Watcher {
    /// Starts with the list that the configuration holds.
    pub fn new(sink: Sink, config: &Config, site: &Site, address: watch::Receiver<SocketAddr>) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(config.site.seed ^ 0x6469_7363);
        let heard_at = Some(*address.borrow());
        let mut watcher = Watcher {
            seq: 0,
            blank: true,
            older: 0,
            lines: 0,
            heard_at,
            address,
            zones: config.zones.clone(),
            kinds: config.kinds.clone(),
            thrift: site.thrift.as_ref().map(|t| t.port),
            shift: site.shift.is_some(),
            services: false,
            rng,
            sink,
            alive: Box::new(|| {}),
            must_subscribe: config.site.settings.must_subscribe,
            pause_last: (config.site.settings.drain_grace as f64 / 1e9 * GRACE_PART).clamp(0.01, PAUSE_LAST),
        };
        if let Some(known) = config.known.clone() {
            watcher.seq = known.seq;
            watcher.blank = false;
            watcher.tell(ListKind::Cached, known);
        } else {
            (watcher.sink)(ListKind::Cached, 0, Vec::new());
        }
        watcher
    }

    /// Signs of life without news are told, too.
    pub fn with_signs_of_life(mut self, alive: Alive) -> Self {
        self.alive = alive;
        self
    }

    /// Every address that an entry has is told: others may speak wires that this process does not.
    pub fn with_all_addresses(mut self) -> Self {
        self.thrift = self.thrift.or(Some(None));
        self
    }

    /// The services of servers are told, and the list of all of them is taken, however long it is.
    pub fn with_services(mut self) -> Self {
        self.services = true;
        self
    }

    fn longest(&self) -> usize {
        if self.services {
            LONGEST_OF_ALL
        } else {
            LONGEST
        }
    }

    /// Lists come unasked: the watch is the node's to keep alive.
    pub async fn follow(mut self) {
        let first = PAUSE_FIRST.min(self.pause_last);
        let mut pause = first;
        loop {
            let lines = self.lines;
            let error = self.watch().await;
            if self.lines > lines {
                pause = first;
            }
            tracing::warn!("discovery: {error}");
            if matches!(error, WatchError::Moved) {
                // What the new place has to tell counts soon: no pause.
                pause = first;
                continue;
            }
            let spread = 0.5 + f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
            // A move ends the pause as well.
            let _ = timeout(Duration::from_secs_f64(pause * spread), self.address.clone().changed()).await;
            pause = (pause * 2.0).min(self.pause_last);
        }
    }

    /// Lists come to those who ask: the module says when.
    pub async fn obey(mut self, mut calls: mpsc::UnboundedReceiver<ListCall>) {
        let mut next = calls.recv().await;
        while let Some(call) = next.take() {
            let error = match call {
                ListCall::Fetch => self.fetch().await.err(),
                ListCall::Subscribe => tokio::select! {
                    error = self.watch() => Some(error),
                    // Whatever is asked for beside a watch comes with a new one, and nobody would open this one again.
                    call = calls.recv() => { next = call.map(|_| ListCall::Subscribe); continue }
                },
            };
            if let Some(error) = error {
                tracing::warn!("discovery: {error}");
                if matches!(error, WatchError::Moved) {
                    // Discovery has not failed: what was asked for only moves with it.
                    next = Some(call);
                    continue;
                }
                (self.sink)(ListKind::Failed, self.seq, Vec::new());
            }
            next = calls.recv().await;
        }
    }

    /// Asks for the whole list once.
    async fn fetch(&mut self) -> Result<(), WatchError> {
        unless_moved(self.moves(), self.fetch_here()).await
    }

    async fn fetch_here(&mut self) -> Result<(), WatchError> {
        let bytes = self.called_again(|| self.whole_list()).await?;
        self.line(bytes)
    }

    async fn whole_list(&self) -> Result<Bytes, WatchError> {
        let body = self.get("/discovery/hosts".to_owned()).await?;
        let limited = http_body_util::Limited::new(body, self.longest());
        let whole = timeout(self.patience(), limited.collect()).await.map_err(|_| WatchError::Silent)?;
        Ok(whole.map_err(|_| WatchError::Ended)?.to_bytes())
    }

    /// Makes a call, and where discovery is asked and says nothing, a second one beside it; what comes first counts.
    async fn called_again<T, F>(&self, call: impl Fn() -> F) -> Result<T, WatchError>
    where
        F: Future<Output = Result<T, WatchError>>,
    {
        let limited = |call| async { timeout(CALL, call).await.map_err(|_| WatchError::Silent)? };
        if !self.must_subscribe {
            return call().await;
        }
        let mut first = pin!(limited(call()));
        if let Ok(done) = timeout(CALL_AGAIN, first.as_mut()).await {
            return done;
        }
        tokio::select! {
            done = first => done,
            done = limited(call()) => done,
        }
    }

    /// How long a call may take.
    fn patience(&self) -> Duration {
        match self.must_subscribe {
            true => CALL,
            false => SILENCE,
        }
    }

    /// Watches until the watch ends or discovery moves.
    async fn watch(&mut self) -> WatchError {
        unless_moved(self.moves(), self.lines_of_watch()).await.err().unwrap_or(WatchError::Ended)
    }

    /// Tells of moves from now on.
    fn moves(&mut self) -> watch::Receiver<SocketAddr> {
        self.address.mark_unchanged();
        self.address.clone()
    }

    async fn lines_of_watch(&mut self) -> Result<(), WatchError> {
        let mut path = "/discovery/hosts?follow=1".to_owned();
        let address = *self.address.borrow();
        if !self.blank && self.older == 0 && self.heard_at == Some(address) {
            path += &format!("&since={}", self.seq);
        }
        let (mut body, first, begun) = self.called_again(|| self.opened(path.clone())).await?;
        let mut first = Some(first);
        let mut lists = Lists::new(self.longest());
        // Only a whole list or an empty line is a sign of life: bytes alone may be those of a line that never ends.
        // The first one is waited for no longer than the call for it may take.
        let mut due = begun + self.patience();
        let mut line_at = begun;
        loop {
            let frame = match first.take() {
                Some(frame) => frame,
                None => timeout_at(due, body.frame()).await.map_err(|_| WatchError::Silent)?,
            };
            let Some(frame) = frame else { break };
            let Ok(data) = frame?.into_data() else { continue };
            let mut rest = &data[..];
            while let Some(end) = rest.iter().position(|b| *b == b'\n') {
                let list = lists.end_line(&rest[..end])?;
                rest = &rest[end + 1..];
                match list {
                    Line::Part => continue,
                    Line::Heartbeat => (self.alive)(),
                    Line::Whole(list) => {
                        self.line(list)?;
                        self.heard_at = Some(address);
                    }
                }
                line_at = Instant::now();
                due = line_at + SILENCE;
            }
            lists.take(rest)?;
            if lists.held.len() > LONGEST {
                due = line_at + LONG_LINE;
            }
        }
        Ok(())
    }

    /// Opens a watch and waits for the first that it brings.
    async fn opened(&self, path: String) -> Result<(Incoming, Option<BodyFrame>, Instant), WatchError> {
        let begun = Instant::now();
        let mut body = self.get(path).await?;
        let due = begun + self.patience();
        let first = timeout_at(due, body.frame()).await.map_err(|_| WatchError::Silent)?;
        Ok((body, first, begun))
    }

    fn line(&mut self, bytes: impl AsRef<[u8]>) -> Result<(), WatchError> {
        let list: HostList = serde_json::from_slice(bytes.as_ref())?;
        // A long one is not held twice while it is taken in.
        drop(bytes);
        if list.seq < self.seq && !self.blank {
            self.older += 1;
            if !list.whole || self.older < STUBBORN {
                return Err(WatchError::Backwards(list.seq, self.seq));
            }
        }
        self.older = 0;
        self.lines += 1;
        self.seq = list.seq;
        self.blank = false;
        self.tell(if list.whole { ListKind::Full } else { ListKind::Changes }, list);
        Ok(())
    }

    fn tell(&self, kind: ListKind, list: HostList) {
        // A name that the settings do not hold stands for something of its own, after all that they hold.
        let place = |names: &[String], name: &Option<String>| {
            let name = name.as_deref().unwrap_or_default();
            names.iter().position(|n| n == name).unwrap_or(names.len())
        };
        let words = |h: &mut Host| {
            let mut words = if self.shift { said(h) } else { Said::default() };
            if self.services {
                words.services = std::mem::take(&mut h.service);
                words.services.append(&mut h.services);
            }
            Box::new(words)
        };
        let entry = |mut h: Host| Entry {
            dials: self.dials(&h),
            said: (self.shift || self.services).then(|| words(&mut h)),
            host: h.host,
            server: Server {
                endpoint: Endpoint { address: [0; 4], port: 0 },
                zone: place(&self.zones, &h.site).min(255) as u8,
                kind: place(&self.kinds, &h.class).min(usize::from(u16::MAX)) as u16,
                cell: h.block.unwrap_or(0),
                phase: match h.health {
                    Health::Active => Phase::Ready,
                    Health::Leaving => Phase::Draining,
                    Health::Left => Phase::Gone,
                },
                size: h.share.filter(|s| s.is_finite()).unwrap_or(0.0),
                started_at: h.born_ms.unwrap_or(0).saturating_mul(1_000_000),
            },
        };
        (self.sink)(kind, list.seq, list.hosts.into_iter().map(entry).collect());
    }

    /// Its addresses by wire: HTTP, and Thrift where this node speaks it.
    fn dials(&self, host: &Host) -> Dials {
        match self.thrift {
            None => vec![Some(host.dial)],
            Some(port) => {
                let same = port.map(|port| SocketAddr::new(host.dial.ip(), port));
                vec![Some(host.dial), host.thrift.or(same)]
            }
        }
    }

    async fn get(&self, path: String) -> Result<Incoming, WatchError> {
        let address = *self.address.borrow();
        let stream = match timeout(CONNECT, establish(address)).await {
            Ok(stream) => stream.map_err(WatchError::Connect)?,
            Err(_) => return Err(WatchError::Silent),
        };
        let io = TokioIo::new(Retried::new(stream));
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
        // Ends with the answer's body: nothing else holds the connection.
        tokio::task::spawn_local(connection);
        let mut request = Request::new(Empty::<Bytes>::new());
        *request.uri_mut() = path.parse().unwrap_or_default();
        let host = hyper::header::HeaderValue::try_from(address.to_string());
        request.headers_mut().extend(host.ok().map(|h| (hyper::header::HOST, h)));
        let answer = timeout(self.patience(), sender.send_request(request))
            .await
            .map_err(|_| WatchError::Silent)??;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            status => Err(WatchError::Status(status)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lines(text: &str) -> Vec<Result<Line, String>> {
        let mut lists = Lists::new(LONGEST);
        text.split_terminator('\n').map(|l| lists.end_line(l.as_bytes()).map_err(|e| e.to_string())).collect()
    }

    #[test]
    fn lists_end_where_their_last_brace_closes() {
        let whole = |text: &str| Ok(Line::Whole(text.as_bytes().to_vec()));
        let flat = r#"{"seq":1,"hosts":[{"host":"a}\"{["}]}"#;
        assert_eq!(
            lines(&format!("{flat}\n\n  {flat}\n")),
            [whole(flat), Ok(Line::Heartbeat), whole(&format!("  {flat}"))]
        );
        let indented = "{\n  \"seq\": 1,\n  \"hosts\": [\n  ]\n}";
        let mut parts: Vec<_> = (0..4).map(|_| Ok(Line::Part)).collect();
        parts.push(whole(indented));
        assert_eq!(lines(&format!("{indented}\n")), parts);
        // Cut in the middle: the next empty line ends it, and reading it will fail.
        assert_eq!(lines("{\"seq\":1,\"ho\n\n"), [whole("{\"seq\":1,\"ho"), Ok(Line::Heartbeat)]);
        assert_eq!(lines("{\"seq\":1,\n\n"), [Ok(Line::Part), whole("{\"seq\":1,\n")]);
        // Two at once are one that cannot be read.
        assert_eq!(lines(&format!("{flat}{flat}\n")), [whole(&format!("{flat}{flat}"))]);
    }

    #[test]
    fn services_are_told_by_one_name_or_several_and_nonsense_says_nothing() {
        let host = |more: &str| {
            let text = format!(
                r#"{{"seq":1,"hosts":[{{"host":"a","dial":"127.0.0.1:1","health":"active"{more}}}]}}"#
            );
            let host = serde_json::from_str::<HostList>(&text).unwrap().hosts.remove(0);
            [host.service, host.services].concat()
        };
        assert!(host("").is_empty());
        assert_eq!(host(r#","service":"x""#), ["x"]);
        assert_eq!(host(r#","services":["x","y"]"#), ["x", "y"]);
        assert_eq!(host(r#","services":["x",7,null,["z"],"y"]"#), ["x", "y"]);
        assert_eq!(host(r#","service":["x"],"services":"y""#), ["x", "y"]);
        for odd in ["7", "null", "{}", "[]", "[[\"x\"]]", "{\"name\":\"x\"}"] {
            assert!(host(&format!(",\"service\":{odd},\"services\":{odd}")).is_empty(), "{odd}");
        }
    }

    #[test]
    fn who_holds_all_services_takes_a_longer_line() {
        let mut lists = Lists::new(LONGEST_OF_ALL);
        assert!(lists.take(&vec![b'['; 30 << 20]).is_ok());
        assert!(
            matches!(lists.end_line(&vec![b']'; 30 << 20]), Ok(Line::Whole(list)) if list.len() == 60 << 20)
        );
        assert!(lists.take(&vec![b'['; LONGEST_OF_ALL]).is_ok(), "the bound is that of one line");
        assert!(matches!(lists.take(b"["), Err(WatchError::TooLong(LONGEST_OF_ALL))));
    }

    #[test]
    fn a_line_without_end_is_bounded() {
        let mut lists = Lists::new(LONGEST);
        assert!(lists.take(&vec![b'['; LONGEST]).is_ok());
        assert!(matches!(lists.take(b"["), Err(WatchError::TooLong(LONGEST))));
    }
}
