//! The planner role: receives the server list and the forwarders' reports, and sends the forwarders parts of their
//! plans.
//!
//! Runs on one thread and stores nothing on disk. The state is borrowed only between awaits. Unauthenticated peers
//! get nothing; authenticated ones are bounded in message size (the channel), rows (the planner) and time (here).

use crate::discovery::{ListUse, OnHeartbeat, Watcher};
use crate::levels::RoleError;
use crate::log::RateLimitedWarning;
use crate::run::{listen, load, reload, StartError};
use crate::services;
use crate::signals::Signal;
use crate::site::Site;
use crate::source;
use laurelroute_channel::frames::{self, FrameError};
use laurelroute_channel::hello::{self, HelloError, Identity};
use laurelroute_channel::tls::Tls;
use laurelroute_core::clock::Clock;
use laurelroute_core::retry_io::RetryingStream;
use laurelroute_plan::planner::{Planner, ReportError, Settings, DEFAULT_SETTLE_TIME};
use laurelroute_plan::wire::{Body, ExplainResponse, Hello, Role};
use laurelroute_policy::interface::ListKind;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Interval at which subsets, budgets and each forwarder's pending part are checked without a change.
const TICK: Duration = Duration::from_millis(50);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// A forwarder sends a message at least once a second.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of concurrent connections: forwarders, connections being replaced, and explain queries.
const MAX_CONNECTIONS: usize = 12_000;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum SessionError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("no message in time")]
    Timeout,
    #[error("{0}")]
    Hello(#[from] HelloError),
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("{0}")]
    Report(#[from] ReportError),
    #[error("replaced by a newer connection of the same forwarder")]
    Replaced,
}

/// The planner and its connections to forwarders.
struct PlannerServer {
    planner: RefCell<Planner>,
    clock: Clock,
    /// Notified on changes that are to be sent to forwarders immediately.
    changed: Notify,
    identity: Identity,
    tls: Tls,
    /// Number of the latest connection of each forwarder.
    latest_connections: RefCell<BTreeMap<String, u64>>,
    /// Number of the last accepted connection.
    last_connection: Cell<u64>,
    open_connections: Cell<usize>,
    connection_warning: RefCell<RateLimitedWarning>,
    /// Warns about what exceeds the planner's limits.
    limit_warning: RefCell<RateLimitedWarning>,
}

/// Decrements the number of open connections when dropped.
struct ConnectionGuard(Rc<PlannerServer>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

/// Runs a planner on this thread until SIGTERM.
pub(crate) async fn run(site: Option<&Path>) -> Result<(), StartError> {
    let mut terminate = Signal::terminate()?;
    let hangup = Signal::hangup()?;
    let (config, site) = load(site)?;
    let peers = site.levels.peers.clone().ok_or(RoleError::Missing("peers"))?;
    let plan = site.levels.plan.clone().ok_or(RoleError::Missing("plan"))?;
    let discovery = watch::Sender::new(config.discovery);
    if let Some(publish) = &plan.services {
        let watch = |sink| Watcher::new(sink, &config, &site, discovery.subscribe());
        services::planner::start(&peers, &plan, publish, watch)?;
        spawn_local(reload(config, discovery, hangup));
        terminate.recv().await;
        return Ok(());
    }
    let tls = peers.tls().map_err(RoleError::from)?;
    let clock = Clock::start();
    let life = clock.now() / 1_000_000;
    let settings = settings(&config.gateway, &site, &peers.site, life);
    let listener = listen(plan.listen)?;
    let server = Rc::new(PlannerServer {
        planner: RefCell::new(Planner::new(clock.now(), settings)),
        clock,
        changed: Notify::new(),
        identity: Identity {
            role: Role::Planner,
            name: peers.name,
            site: peers.site,
            incarnation: life,
            zone: 0,
            services: false,
        },
        tls,
        latest_connections: RefCell::default(),
        last_connection: Cell::new(0),
        open_connections: Cell::new(0),
        connection_warning: RefCell::default(),
        limit_warning: RefCell::default(),
    });
    let watcher = Watcher::new(server.sink(), &config, &site, discovery.subscribe());
    spawn_local(watcher.with_all_addresses().with_heartbeats(server.on_heartbeat()).follow());
    spawn_local(reload(config, discovery, hangup));
    spawn_local(server.clone().tick());
    spawn_local(server.accept(listener));
    // All state is soft: nothing has to be saved.
    terminate.recv().await;
    Ok(())
}

/// The planner's settings, from the configuration and the operator's file.
fn settings(core: &laurelroute_core::gateway::GatewayConfig, site: &Site, name: &str, life: u64) -> Settings {
    let plan = site.levels.plan.as_ref();
    let limit =
        |class: &String| plan.and_then(|p| p.limits.iter().find(|(name, _)| name == class)).map(|l| l.1);
    Settings {
        site: name.to_owned(),
        incarnation: life,
        planners: plan.map_or(1, |p| p.planners),
        max_connections: plan.and_then(|p| p.max_connections),
        wanted_connections: plan.map_or(8, |p| p.wanted_connections),
        initial_capacity: core.settings.initial_capacity,
        ramp: core.settings.ramp,
        settle_time: plan.map_or(DEFAULT_SETTLE_TIME, |p| p.settle),
        classes: core.classes.iter().map(|c| (c.clone(), limit(c))).collect(),
        tenants: core
            .tenants
            .iter()
            .map(str::to_owned)
            .zip(core.settings.tenant_quota.iter().copied())
            .collect(),
        bytes_per_second: plan.map_or(16_000.0, |p| f64::from(p.plan_bytes)),
    }
}

impl PlannerServer {
    /// Receives discovery's lists.
    fn sink(self: &Rc<Self>) -> crate::discovery::Sink {
        let server = self.clone();
        Box::new(move |kind, version, entries| {
            // The configuration's list may be hours old and must not override a newer one of the forwarders.
            if matches!(kind, ListKind::Failed | ListKind::Cached) {
                return ListUse::Ignored;
            }
            let members = entries.into_iter().map(source::to_member).collect();
            let now = server.clock.now();
            let mut planner = server.planner.borrow_mut();
            planner.update_membership(now, version, kind == ListKind::Full, members);
            server.warn_of_limits(&planner);
            server.changed.notify_waiters();
            ListUse::Used
        })
    }

    /// Records discovery's heartbeats: the list is current.
    fn on_heartbeat(self: &Rc<Self>) -> OnHeartbeat {
        let server = self.clone();
        Box::new(move || server.planner.borrow_mut().confirm_membership(server.clock.now()))
    }

    /// Logs what exceeds the planner's limits.
    fn warn_of_limits(&self, planner: &Planner) {
        let limits = planner.limits().join("; ");
        if !limits.is_empty() {
            self.limit_warning.borrow_mut().warn(|suppressed| format!("{limits}{suppressed}"));
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            self.planner.borrow_mut().poll(self.clock.now());
            tokio::time::sleep(TICK).await;
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let (stream, address) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    self.connection_warning
                        .borrow_mut()
                        .warn(|suppressed| format!("cannot accept: {error}{suppressed}"));
                    tokio::time::sleep(TICK).await;
                    continue;
                }
            };
            if self.open_connections.get() >= MAX_CONNECTIONS {
                self.connection_warning.borrow_mut().warn(|suppressed| {
                    format!("{address}: refused, {MAX_CONNECTIONS} connections are open{suppressed}")
                });
                continue;
            }
            self.open_connections.set(self.open_connections.get() + 1);
            let guard = ConnectionGuard(self.clone());
            spawn_local(async move {
                if let Err(error) = guard.0.clone().serve(stream).await {
                    guard
                        .0
                        .connection_warning
                        .borrow_mut()
                        .warn(|suppressed| format!("{address}: {error}{suppressed}"));
                }
            });
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) -> Result<(), SessionError> {
        let timed_out = |_| SessionError::Timeout;
        stream.set_nodelay(true)?;
        let mut stream = timeout(HANDSHAKE_TIMEOUT, self.tls.accept(RetryingStream::new(stream)))
            .await
            .map_err(timed_out)??;
        let accepted_roles = [Role::Forwarder, Role::Operator];
        let peer =
            timeout(HANDSHAKE_TIMEOUT, hello::accept_hello(&mut stream, &self.identity, &accepted_roles))
                .await
                .map_err(timed_out)??;
        if peer.role() == Role::Operator {
            return timeout(HANDSHAKE_TIMEOUT, self.answer_query(&mut stream)).await.map_err(timed_out)?;
        }
        let zone = peer.zone.min(255) as u8;
        self.planner.borrow_mut().forwarder_connected(self.clock.now(), &peer.name, zone)?;
        let number = self.last_connection.get() + 1;
        self.last_connection.set(number);
        self.latest_connections.borrow_mut().insert(peer.name.clone(), number);
        let result = self.run_session(stream, &peer, number).await;
        let mut latest_connections = self.latest_connections.borrow_mut();
        if latest_connections.get(&peer.name) == Some(&number) {
            latest_connections.remove(&peer.name);
            self.planner.borrow_mut().forwarder_disconnected(self.clock.now(), &peer.name);
        }
        result
    }

    /// Answers one explain query.
    async fn answer_query<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
    ) -> Result<(), SessionError> {
        if let Some(Body::ExplainRequest(query)) = frames::read(stream).await? {
            let text = match query.change > 0 || query.service.is_some() {
                true => "this planner does not go by services\n".to_owned(),
                false => self.planner.borrow().explain(self.clock.now(), &query),
            };
            frames::write(stream, Body::ExplainResponse(ExplainResponse { text })).await?;
        }
        Ok(())
    }

    /// Receives replies and reports of a forwarder and sends it the parts of its plan, until the connection fails
    /// or is replaced.
    async fn run_session<S: AsyncRead + AsyncWrite>(
        &self,
        stream: S,
        peer: &Hello,
        number: u64,
    ) -> Result<(), SessionError> {
        let timed_out = |_| SessionError::Timeout;
        let (mut reader, mut writer) = tokio::io::split(stream);
        let current = || self.latest_connections.borrow().get(&peer.name) == Some(&number);
        let read = async {
            loop {
                let body = timeout(READ_TIMEOUT, frames::read(&mut reader)).await.map_err(timed_out)??;
                if !current() {
                    return Err(SessionError::Replaced);
                }
                match body {
                    Some(Body::PlanAck(reply)) => self.planner.borrow_mut().handle_ack(&peer.name, &reply),
                    Some(Body::Report(report)) => {
                        let now = self.clock.now();
                        self.planner.borrow_mut().report(now, &peer.name, &report)?;
                        if !report.closed.is_empty() {
                            self.changed.notify_waiters();
                        }
                    }
                    _ => {}
                }
            }
        };
        let write = async {
            loop {
                let changed = self.changed.notified();
                while current() {
                    let part = self.planner.borrow_mut().next_update(self.clock.now(), &peer.name);
                    let Some(part) = part else { break };
                    timeout(WRITE_TIMEOUT, frames::write(&mut writer, Body::PlanUpdate(part)))
                        .await
                        .map_err(timed_out)??;
                }
                let _ = timeout(TICK, changed).await;
            }
        };
        tokio::select! { result = read => result, result = write => result }
    }
}
