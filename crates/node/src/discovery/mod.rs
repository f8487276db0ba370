//! Client of the discovery service: fetches the server list and watches it for changes. An invalid line leaves the
//! current list in place, and the watch is opened again.

mod host_list;
mod lines;
mod store;

#[cfg(test)]
mod tests;

pub use host_list::HostList;
pub(crate) use host_list::{Host, HostConverter};
pub use store::{ListUse, Sink};

use crate::config::Config;
use crate::site::Site;
use crate::upgrade::lists::ListExchange;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use laurelroute_core::connect::connect_with_retry;
use laurelroute_core::gateway::ListRequest;
use laurelroute_core::retry_io::RetryingStream;
use lines::{Line, LineAssembler, LineTooLong};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use store::{RejectedList, ServerListStore};
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
    #[error("{0}")]
    TooLong(#[from] LineTooLong),
    #[error("invalid line: {0}")]
    InvalidLine(#[from] serde_json::Error),
    #[error("{0}")]
    Rejected(#[from] RejectedList),
    #[error("the watch ended")]
    Ended,
    #[error("the configured address has changed")]
    AddressChanged,
}

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
    list: Rc<ServerListStore>,
    on_heartbeat: OnHeartbeat,
    /// Subscribe mode: lists are sent only on request, and discovery may queue calls.
    must_subscribe: bool,
    /// The longest pause before a watch is opened again, in seconds.
    max_backoff_s: f64,
    address: watch::Receiver<SocketAddr>,
    /// The list covers all services.
    with_services: bool,
    /// The list that the configuration holds.
    configured_list: Option<HostList>,
    rng: Pcg64Mcg,
}

impl Watcher {
    /// Creates a watcher. The configuration's list is passed on as it begins to follow discovery.
    pub fn new(sink: Sink, config: &Config, site: &Site, address: watch::Receiver<SocketAddr>) -> Self {
        let list = ServerListStore::new(sink, HostConverter::new(config, site));
        Watcher::of(list, config, address)
    }

    /// Creates a watcher that shares its list with the other processes of the node. What one of these has sent counts
    /// in place of the configuration's list.
    pub(crate) fn sharing(
        sink: Sink,
        config: &Config,
        site: &Site,
        address: watch::Receiver<SocketAddr>,
        exchange: Rc<ListExchange>,
    ) -> Self {
        let list = ServerListStore::shared(sink, HostConverter::new(config, site), exchange);
        Watcher::of(list, config, address)
    }

    fn of(list: Rc<ServerListStore>, config: &Config, address: watch::Receiver<SocketAddr>) -> Self {
        Watcher {
            list,
            on_heartbeat: Box::new(|| {}),
            must_subscribe: config.gateway.settings.must_subscribe,
            max_backoff_s: (config.gateway.settings.drain_grace as f64 / 1e9 * MAX_BACKOFF_DRAIN_FRACTION)
                .clamp(0.01, MAX_BACKOFF_S),
            address,
            with_services: false,
            configured_list: config.cached_list.clone(),
            rng: Pcg64Mcg::seed_from_u64(config.gateway.seed ^ 0x6469_7363),
        }
    }

    /// Passes on the list that the process begins with.
    fn begin(&mut self) {
        let address = *self.address.borrow();
        self.list.begin(self.configured_list.take(), address);
    }

    /// Also calls `on_heartbeat` on each heartbeat.
    pub fn with_heartbeats(mut self, on_heartbeat: OnHeartbeat) -> Self {
        self.on_heartbeat = on_heartbeat;
        self
    }

    /// Passes on all addresses of an entry: other processes may use protocols that this one does not.
    pub fn with_all_addresses(self) -> Self {
        self.list.convert(HostConverter::with_all_addresses);
        self
    }

    /// Passes on the services of servers, and accepts the longer list that covers all services.
    pub fn with_services(mut self) -> Self {
        self.with_services = true;
        self.list.convert(HostConverter::with_services);
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
        self.begin();
        let min_backoff = MIN_BACKOFF_S.min(self.max_backoff_s);
        let mut backoff = min_backoff;
        loop {
            let lists_before = self.list.accepted();
            let error = self.watch().await;
            if self.list.accepted() > lists_before {
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
        self.begin();
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
                self.list.failed();
            }
            next = calls.recv().await;
        }
    }

    /// Fetches the full list once.
    async fn fetch(&mut self) -> Result<(), WatchError> {
        until_address_changes(self.address_changes(), self.fetch_from_current_address()).await
    }

    async fn fetch_from_current_address(&mut self) -> Result<(), WatchError> {
        let address = *self.address.borrow();
        let bytes = self.hedged(|| self.full_list()).await?;
        self.handle_list(bytes, address)
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
        if let Some(number) = self.list.resume_from(address) {
            path += &format!("&since={number}");
        }
        let (mut body, first_frame, started_at) = self.hedged(|| self.open_watch(path.clone())).await?;
        let mut first_frame = Some(first_frame);
        let mut assembler = LineAssembler::new(self.max_line_bytes());
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
                    Line::Complete(list) => self.handle_list(list, address)?,
                }
                last_line_at = Instant::now();
                deadline = last_line_at + WATCH_TIMEOUT;
            }
            assembler.append(rest)?;
            if assembler.len() > MAX_LINE_BYTES {
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
    fn handle_list(&self, bytes: impl AsRef<[u8]>, address: SocketAddr) -> Result<(), WatchError> {
        let list: HostList = serde_json::from_slice(bytes.as_ref())?;
        // Frees the text of a long list before its entries are converted.
        drop(bytes);
        Ok(self.list.accept(list, address)?)
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
