//! Client of the discovery service: fetches the server list and watches it for changes. An invalid line leaves the
//! current list in place, and the watch is opened again.

use crate::config::Config;
use crate::site::Site;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use laurelroute_core::connect::connect_with_retry;
use laurelroute_core::fleet::{Addresses, ServerAttributes, ServerEntry};
use laurelroute_core::gateway::ListRequest;
use laurelroute_core::retry_io::RetryingStream;
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

/// A watch delivers a list or a heartbeat at least every 2 s; one that is silent for longer is considered hung.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2600);
/// In subscribe mode, discovery may queue a call; it is answered within 6 s at the latest.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which a second call is made beside an unanswered one, which may still be answered. A call may hang
/// while discovery answers later ones. A change counts as known 6 s after discovery became reachable: less the
/// policy's pause after a failed call (1.35 s at most), an answer that takes 1 s and a stall of the process
/// (150 ms), a further call has to be made within 3.5 s of the one before.
const HEDGED_CALL_DELAY: Duration = Duration::from_secs(3);
/// Time limit of a TCP connect to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Reconnect backoff of a watch in seconds: starts at the minimum, doubles up to the maximum, with jitter.
const MIN_BACKOFF_S: f64 = 0.05;
const MAX_BACKOFF_S: f64 = 1.0;
/// The backoff is also capped at this fraction of the drain grace period: where lists are pushed, the list of the
/// discovery agent is in force as soon as the agent is back. It answers immediately and at no cost.
const MAX_BACKOFF_DRAIN_FRACTION: f64 = 0.25;
/// Maximum length of a line; a list of 10,000 servers takes a fifth of that.
const MAX_LINE_BYTES: usize = 8 << 20;
/// Maximum length of a line for a process that holds the servers of all services: 180,000 servers with their
/// services take 22 to 30 MB. One process in hundreds uses that much, and only while it reads the list.
const MAX_ALL_SERVICES_LINE_BYTES: usize = 64 << 20;
/// A line longer than `MAX_LINE_BYTES` has to be complete within this time.
const LONG_LINE_TIMEOUT: Duration = Duration::from_secs(15);
/// An older full list is accepted only after this many consecutive watches delivered it: discovery may have lost
/// its version numbers, but a single stale replica is more likely, whose list would bring drained servers back.
const OLDER_LISTS_TO_ACCEPT: u32 = 4;

/// One line of the discovery stream.
#[derive(Clone, Debug, Deserialize)]
pub struct HostList {
    /// Version of the list.
    pub seq: u64,
    /// Whether the list names all servers, or only those that changed.
    #[serde(default, rename = "whole")]
    pub full: bool,
    /// The servers.
    pub hosts: Vec<Host>,
}

/// One server, in discovery's format.
#[derive(Clone, Debug, Deserialize)]
pub struct Host {
    host: String,
    dial: SocketAddr,
    /// Its Thrift address, if it has one of its own.
    #[serde(default)]
    thrift: Option<SocketAddr>,
    #[serde(default, deserialize_with = "names")]
    service: Vec<String>,
    #[serde(default, deserialize_with = "names")]
    services: Vec<String>,
    /// Zone name.
    #[serde(default)]
    site: Option<String>,
    /// Machine type.
    #[serde(default)]
    class: Option<String>,
    /// Cell that the server belongs to.
    #[serde(default)]
    block: Option<u16>,
    health: Health,
    /// Relative size of the server.
    #[serde(default)]
    share: Option<f32>,
    #[serde(default)]
    born_ms: Option<u64>,
    /// Version and metadata select the pools of a traffic shift. Values of an unexpected type are ignored and must
    /// not make the list invalid.
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

/// Deserializes one name or a list of names; values of other types are ignored and do not make the list invalid.
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

/// The attributes that a traffic shift selects servers by.
fn attributes(host: &Host) -> ServerAttributes {
    let pairs = host.metadata.as_object().into_iter().flatten();
    let text = |(key, value): (&String, &Value)| Some((key.clone(), value.as_str()?.to_owned()));
    ServerAttributes {
        kind: host.class.clone().unwrap_or_default(),
        version: host.version.as_str().unwrap_or_default().to_owned(),
        metadata: pairs.filter_map(text).collect(),
        services: Vec::new(),
    }
}

/// A frame of a response body, as it is received.
type BodyFrame = Result<Frame<Bytes>, hyper::Error>;

/// Why a watch or a fetch has ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("no answer in time")]
    Timeout,
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("answered with status {0}")]
    Status(StatusCode),
    #[error("a line of over {0} bytes")]
    TooLong(usize),
    #[error("invalid line: {0}")]
    InvalidLine(#[from] serde_json::Error),
    #[error("version {0} received after {1}")]
    OlderVersion(u64, u64),
    #[error("the watch ended")]
    Ended,
    #[error("the configured address has changed")]
    AddressChanged,
}

/// Result of one line of a watch.
#[derive(Debug, PartialEq, Eq)]
enum Line {
    /// An empty line.
    Heartbeat,
    /// The last line of a list, with the complete text of the list.
    Complete(Vec<u8>),
    /// A line of an indented list that continues on the next line.
    Partial,
}

/// Assembles lists from lines. A list may be indented over several lines: it ends with the line in which its last
/// brace closes.
#[derive(Debug)]
struct ListAssembler {
    /// Maximum size of a list.
    max_bytes: usize,
    buffer: Vec<u8>,
    depth: i64,
    in_string: bool,
    escaped: bool,
}

impl ListAssembler {
    fn new(max_bytes: usize) -> Self {
        ListAssembler { max_bytes, buffer: Vec::new(), depth: 0, in_string: false, escaped: false }
    }

    /// Appends bytes of the current line.
    fn append(&mut self, bytes: &[u8]) -> Result<(), WatchError> {
        if self.buffer.len() + bytes.len() > self.max_bytes {
            return Err(WatchError::TooLong(self.max_bytes));
        }
        self.buffer.extend_from_slice(bytes);
        for &byte in bytes {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                b'{' | b'[' if !self.in_string => self.depth += 1,
                b'}' | b']' if !self.in_string => self.depth -= 1,
                _ => {}
            }
        }
        Ok(())
    }

    /// Appends the rest of the current line and ends the line.
    fn end_line(&mut self, bytes: &[u8]) -> Result<Line, WatchError> {
        let empty = bytes.trim_ascii().is_empty();
        self.append(bytes)?;
        // JSON strings contain no raw line feeds, and a list contains no empty lines: a list that is open there is
        // corrupt, and parsing it reports that.
        if self.depth > 0 && !self.in_string && !empty {
            self.buffer.push(b'\n');
            return Ok(Line::Partial);
        }
        let list = std::mem::replace(self, ListAssembler::new(self.max_bytes)).buffer;
        Ok(if list.trim_ascii().is_empty() { Line::Heartbeat } else { Line::Complete(list) })
    }
}

/// Receives each update of the server list: its kind, its version and its entries.
pub type Sink = Box<dyn Fn(ListKind, u64, Vec<ServerEntry>)>;

/// Called on each heartbeat, an empty line that carries no update.
pub type OnHeartbeat = Box<dyn Fn()>;

/// Runs work at discovery's address until it ends or the configured address changes, which may happen at any time,
/// also while a call hangs at the old address.
async fn until_address_changes(
    mut address_changes: watch::Receiver<SocketAddr>,
    work: impl Future<Output = Result<(), WatchError>>,
) -> Result<(), WatchError> {
    tokio::select! {
        ended = work => ended,
        _ = address_changes.changed() => Err(WatchError::AddressChanged),
    }
}

/// Follows the server list of the discovery service.
pub struct Watcher {
    sink: Sink,
    on_heartbeat: OnHeartbeat,
    /// Subscribe mode: lists are sent only on request, and discovery may queue calls.
    must_subscribe: bool,
    /// The longest pause before a watch is opened again, in seconds.
    max_backoff_s: f64,
    seq: u64,
    /// No list is held that changes could be applied to.
    no_list: bool,
    /// Consecutive lists with an older version than the one held.
    older_lists: u32,
    lists_received: u64,
    /// The discovery address that the current list comes from: only a watch there can send changes to it.
    list_address: Option<SocketAddr>,
    address: watch::Receiver<SocketAddr>,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Set if Thrift is enabled; the port applies to entries without a Thrift address.
    thrift: Option<Option<u16>>,
    /// A traffic shift needs the servers' versions and metadata.
    with_attributes: bool,
    /// The servers' services are needed, and the list covers all services.
    with_services: bool,
    rng: Pcg64Mcg,
}

impl Watcher {
    /// Creates a watcher and passes on the list that the configuration holds.
    pub fn new(sink: Sink, config: &Config, site: &Site, address: watch::Receiver<SocketAddr>) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(config.gateway.seed ^ 0x6469_7363);
        let list_address = Some(*address.borrow());
        let mut watcher = Watcher {
            seq: 0,
            no_list: true,
            older_lists: 0,
            lists_received: 0,
            list_address,
            address,
            zones: config.zones.clone(),
            kinds: config.kinds.clone(),
            thrift: site.thrift.as_ref().map(|t| t.port),
            with_attributes: site.shift.is_some(),
            with_services: false,
            rng,
            sink,
            on_heartbeat: Box::new(|| {}),
            must_subscribe: config.gateway.settings.must_subscribe,
            max_backoff_s: (config.gateway.settings.drain_grace as f64 / 1e9 * MAX_BACKOFF_DRAIN_FRACTION)
                .clamp(0.01, MAX_BACKOFF_S),
        };
        if let Some(cached) = config.cached_list.clone() {
            watcher.seq = cached.seq;
            watcher.no_list = false;
            watcher.publish(ListKind::Cached, cached);
        } else {
            (watcher.sink)(ListKind::Cached, 0, Vec::new());
        }
        watcher
    }

    /// Also calls `on_heartbeat` on each heartbeat.
    pub fn with_heartbeats(mut self, on_heartbeat: OnHeartbeat) -> Self {
        self.on_heartbeat = on_heartbeat;
        self
    }

    /// Passes on all addresses of an entry: other processes may use protocols that this one does not.
    pub fn with_all_addresses(mut self) -> Self {
        self.thrift = self.thrift.or(Some(None));
        self
    }

    /// Passes on the services of servers, and accepts the longer list that covers all services.
    pub fn with_services(mut self) -> Self {
        self.with_services = true;
        self
    }

    fn max_line_bytes(&self) -> usize {
        if self.with_services {
            MAX_ALL_SERVICES_LINE_BYTES
        } else {
            MAX_LINE_BYTES
        }
    }

    /// Push mode: keeps a watch open, reopening it with backoff when it ends.
    pub async fn follow(mut self) {
        let min_backoff = MIN_BACKOFF_S.min(self.max_backoff_s);
        let mut backoff = min_backoff;
        loop {
            let lists_before = self.lists_received;
            let error = self.watch().await;
            if self.lists_received > lists_before {
                backoff = min_backoff;
            }
            tracing::warn!("discovery: {error}");
            if matches!(error, WatchError::AddressChanged) {
                // The list at the new address is in force soon: connect without a pause.
                backoff = min_backoff;
                continue;
            }
            let jitter = 0.5 + f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
            // A change of the address also ends the pause.
            let _ = timeout(Duration::from_secs_f64(backoff * jitter), self.address.clone().changed()).await;
            backoff = (backoff * 2.0).min(self.max_backoff_s);
        }
    }

    /// Subscribe mode: fetches and watches when the policy asks for it.
    pub async fn serve_calls(mut self, mut calls: mpsc::UnboundedReceiver<ListRequest>) {
        let mut next = calls.recv().await;
        while let Some(call) = next.take() {
            let error = match call {
                ListRequest::Fetch => self.fetch().await.err(),
                ListRequest::Subscribe => tokio::select! {
                    error = self.watch() => Some(error),
                    // A new watch answers any call made during this one, which nothing else would reopen.
                    call = calls.recv() => { next = call.map(|_| ListRequest::Subscribe); continue }
                },
            };
            if let Some(error) = error {
                tracing::warn!("discovery: {error}");
                if matches!(error, WatchError::AddressChanged) {
                    // Discovery has not failed: the call is repeated at the new address.
                    next = Some(call);
                    continue;
                }
                (self.sink)(ListKind::Failed, self.seq, Vec::new());
            }
            next = calls.recv().await;
        }
    }

    /// Fetches the full list once.
    async fn fetch(&mut self) -> Result<(), WatchError> {
        until_address_changes(self.address_changes(), self.fetch_from_current_address()).await
    }

    async fn fetch_from_current_address(&mut self) -> Result<(), WatchError> {
        let bytes = self.hedged(|| self.full_list()).await?;
        self.handle_list(bytes)
    }

    /// Requests the full list.
    async fn full_list(&self) -> Result<Bytes, WatchError> {
        let body = self.get("/discovery/hosts".to_owned()).await?;
        let limited_body = http_body_util::Limited::new(body, self.max_line_bytes());
        let body =
            timeout(self.call_timeout(), limited_body.collect()).await.map_err(|_| WatchError::Timeout)?;
        Ok(body.map_err(|_| WatchError::Ended)?.to_bytes())
    }

    /// Makes a call and, in subscribe mode, a second one beside it if there is no answer yet; the first result
    /// counts.
    async fn hedged<T, F>(&self, call: impl Fn() -> F) -> Result<T, WatchError>
    where
        F: Future<Output = Result<T, WatchError>>,
    {
        let with_timeout =
            |call| async { timeout(CALL_TIMEOUT, call).await.map_err(|_| WatchError::Timeout)? };
        if !self.must_subscribe {
            return call().await;
        }
        let mut first = pin!(with_timeout(call()));
        if let Ok(done) = timeout(HEDGED_CALL_DELAY, first.as_mut()).await {
            return done;
        }
        tokio::select! {
            done = first => done,
            done = with_timeout(call()) => done,
        }
    }

    /// Time limit of a call.
    fn call_timeout(&self) -> Duration {
        match self.must_subscribe {
            true => CALL_TIMEOUT,
            false => WATCH_TIMEOUT,
        }
    }

    /// Watches until the watch ends or discovery's address changes.
    async fn watch(&mut self) -> WatchError {
        until_address_changes(self.address_changes(), self.read_watch())
            .await
            .err()
            .unwrap_or(WatchError::Ended)
    }

    /// A receiver of address changes from now on.
    fn address_changes(&mut self) -> watch::Receiver<SocketAddr> {
        self.address.mark_unchanged();
        self.address.clone()
    }

    /// Opens a watch from the version held and handles its lines until it ends.
    async fn read_watch(&mut self) -> Result<(), WatchError> {
        let mut path = "/discovery/hosts?follow=1".to_owned();
        let address = *self.address.borrow();
        if !self.no_list && self.older_lists == 0 && self.list_address == Some(address) {
            path += &format!("&since={}", self.seq);
        }
        let (mut body, first_frame, started_at) = self.hedged(|| self.open_watch(path.clone())).await?;
        let mut first_frame = Some(first_frame);
        let mut assembler = ListAssembler::new(self.max_line_bytes());
        // Only a complete list or an empty line extends the deadline: bytes alone may belong to a line that never
        // ends. The first one has to arrive within the time limit of the call.
        let mut deadline = started_at + self.call_timeout();
        let mut last_line_at = started_at;
        loop {
            let frame = match first_frame.take() {
                Some(frame) => frame,
                None => timeout_at(deadline, body.frame()).await.map_err(|_| WatchError::Timeout)?,
            };
            let Some(frame) = frame else { break };
            let Ok(data) = frame?.into_data() else { continue };
            let mut rest = &data[..];
            while let Some(end) = rest.iter().position(|b| *b == b'\n') {
                let line = assembler.end_line(&rest[..end])?;
                rest = &rest[end + 1..];
                match line {
                    Line::Partial => continue,
                    Line::Heartbeat => (self.on_heartbeat)(),
                    Line::Complete(list) => {
                        self.handle_list(list)?;
                        self.list_address = Some(address);
                    }
                }
                last_line_at = Instant::now();
                deadline = last_line_at + WATCH_TIMEOUT;
            }
            assembler.append(rest)?;
            if assembler.buffer.len() > MAX_LINE_BYTES {
                deadline = last_line_at + LONG_LINE_TIMEOUT;
            }
        }
        Ok(())
    }

    /// Opens a watch and waits for its first body frame.
    async fn open_watch(&self, path: String) -> Result<(Incoming, Option<BodyFrame>, Instant), WatchError> {
        let started_at = Instant::now();
        let mut body = self.get(path).await?;
        let deadline = started_at + self.call_timeout();
        let first_frame = timeout_at(deadline, body.frame()).await.map_err(|_| WatchError::Timeout)?;
        Ok((body, first_frame, started_at))
    }

    /// Parses a list and passes it on, unless its version is older than that of the list held.
    fn handle_list(&mut self, bytes: impl AsRef<[u8]>) -> Result<(), WatchError> {
        let list: HostList = serde_json::from_slice(bytes.as_ref())?;
        // Frees the text of a long list before its entries are converted.
        drop(bytes);
        if list.seq < self.seq && !self.no_list {
            self.older_lists += 1;
            if !list.full || self.older_lists < OLDER_LISTS_TO_ACCEPT {
                return Err(WatchError::OlderVersion(list.seq, self.seq));
            }
        }
        self.older_lists = 0;
        self.lists_received += 1;
        self.seq = list.seq;
        self.no_list = false;
        self.publish(if list.full { ListKind::Full } else { ListKind::Changes }, list);
        Ok(())
    }

    /// Converts a list's servers to entries and passes them to the sink.
    fn publish(&self, kind: ListKind, list: HostList) {
        // All names that the settings do not list share one index after those that they do.
        let index_of = |names: &[String], name: &Option<String>| {
            let name = name.as_deref().unwrap_or_default();
            names.iter().position(|n| n == name).unwrap_or(names.len())
        };
        let collect_attributes = |host: &mut Host| {
            let mut attributes =
                if self.with_attributes { attributes(host) } else { ServerAttributes::default() };
            if self.with_services {
                attributes.services = std::mem::take(&mut host.service);
                attributes.services.append(&mut host.services);
            }
            Box::new(attributes)
        };
        let entry = |mut host: Host| ServerEntry {
            addresses: self.addresses(&host),
            attributes: (self.with_attributes || self.with_services).then(|| collect_attributes(&mut host)),
            host: host.host,
            server: Server {
                endpoint: Endpoint { address: [0; 4], port: 0 },
                zone: index_of(&self.zones, &host.site).min(255) as u8,
                kind: index_of(&self.kinds, &host.class).min(usize::from(u16::MAX)) as u16,
                cell: host.block.unwrap_or(0),
                phase: match host.health {
                    Health::Active => Phase::Ready,
                    Health::Leaving => Phase::Draining,
                    Health::Left => Phase::Removed,
                },
                size: host.share.filter(|s| s.is_finite()).unwrap_or(0.0),
                started_at: host.born_ms.unwrap_or(0).saturating_mul(1_000_000),
            },
        };
        (self.sink)(kind, list.seq, list.hosts.into_iter().map(entry).collect());
    }

    /// A server's addresses by protocol: HTTP, and Thrift if this node uses it.
    fn addresses(&self, host: &Host) -> Addresses {
        match self.thrift {
            None => vec![Some(host.dial)],
            Some(port) => {
                let same_host = port.map(|port| SocketAddr::new(host.dial.ip(), port));
                vec![Some(host.dial), host.thrift.or(same_host)]
            }
        }
    }

    /// Sends a GET request and returns the body of a 200 response.
    async fn get(&self, path: String) -> Result<Incoming, WatchError> {
        let address = *self.address.borrow();
        let stream = match timeout(CONNECT_TIMEOUT, connect_with_retry(address)).await {
            Ok(stream) => stream.map_err(WatchError::Connect)?,
            Err(_) => return Err(WatchError::Timeout),
        };
        let io = TokioIo::new(RetryingStream::new(stream));
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
        // Ends with the response body: nothing else holds the connection.
        tokio::task::spawn_local(connection);
        let mut request = Request::new(Empty::<Bytes>::new());
        *request.uri_mut() = path.parse().unwrap_or_default();
        let host = hyper::header::HeaderValue::try_from(address.to_string());
        request.headers_mut().extend(host.ok().map(|h| (hyper::header::HOST, h)));
        let response = timeout(self.call_timeout(), sender.send_request(request))
            .await
            .map_err(|_| WatchError::Timeout)??;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            status => Err(WatchError::Status(status)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lines(text: &str) -> Vec<Result<Line, String>> {
        let mut assembler = ListAssembler::new(MAX_LINE_BYTES);
        text.split_terminator('\n')
            .map(|l| assembler.end_line(l.as_bytes()).map_err(|e| e.to_string()))
            .collect()
    }

    #[test]
    fn a_list_ends_where_its_last_brace_closes() {
        let complete = |text: &str| Ok(Line::Complete(text.as_bytes().to_vec()));
        let flat = r#"{"seq":1,"hosts":[{"host":"a}\"{["}]}"#;
        assert_eq!(
            lines(&format!("{flat}\n\n  {flat}\n")),
            [complete(flat), Ok(Line::Heartbeat), complete(&format!("  {flat}"))]
        );
        let indented = "{\n  \"seq\": 1,\n  \"hosts\": [\n  ]\n}";
        let mut parts: Vec<_> = (0..4).map(|_| Ok(Line::Partial)).collect();
        parts.push(complete(indented));
        assert_eq!(lines(&format!("{indented}\n")), parts);
        // A truncated list ends with the next empty line, and parsing it will fail.
        assert_eq!(lines("{\"seq\":1,\"ho\n\n"), [complete("{\"seq\":1,\"ho"), Ok(Line::Heartbeat)]);
        assert_eq!(lines("{\"seq\":1,\n\n"), [Ok(Line::Partial), complete("{\"seq\":1,\n")]);
        // Two lists on one line are a single invalid one.
        assert_eq!(lines(&format!("{flat}{flat}\n")), [complete(&format!("{flat}{flat}"))]);
    }

    #[test]
    fn services_are_one_name_or_several_and_other_values_are_ignored() {
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
    fn a_watcher_of_all_services_accepts_a_longer_line() {
        let mut assembler = ListAssembler::new(MAX_ALL_SERVICES_LINE_BYTES);
        assert!(assembler.append(&vec![b'['; 30 << 20]).is_ok());
        assert!(
            matches!(assembler.end_line(&vec![b']'; 30 << 20]), Ok(Line::Complete(list)) if list.len() == 60 << 20)
        );
        assert!(
            assembler.append(&vec![b'['; MAX_ALL_SERVICES_LINE_BYTES]).is_ok(),
            "the limit applies to each line"
        );
        assert!(matches!(assembler.append(b"["), Err(WatchError::TooLong(MAX_ALL_SERVICES_LINE_BYTES))));
    }

    #[test]
    fn an_endless_line_is_bounded() {
        let mut assembler = ListAssembler::new(MAX_LINE_BYTES);
        assert!(assembler.append(&vec![b'['; MAX_LINE_BYTES]).is_ok());
        assert!(matches!(assembler.append(b"["), Err(WatchError::TooLong(MAX_LINE_BYTES))));
    }
}
