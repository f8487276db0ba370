//! The forwarder role: the same gateway and balancing policy as a standalone node, guided by a planner's plan.
//!
//! One task per planner holds a connection, receives the parts of plans and sends reports. All planners feed one
//! [`Follower`]; each change of its view is passed to the gateway as a server list and a plan. While no planner is
//! reachable, the server list is watched as on a standalone node.

use crate::config::Config;
use crate::discovery::{Host, HostConverter, ListUse, OnHeartbeat, Watcher};
use crate::levels::{ForwarderSettings, PeerSettings, RoleError};
use crate::log::RateLimitedWarning;
use crate::services;
use crate::site::Site;
use crate::source;
use crate::upgrade::lists::{ListExchange, PeerChanges};
use laurelroute_channel::frames::{self, FrameError};
use laurelroute_channel::hello::{self, HelloError, Identity};
use laurelroute_channel::tls::Tls;
use laurelroute_core::connect::connect_with_retry;
use laurelroute_core::gateway::Gateway;
use laurelroute_core::retry_io::RetryingStream;
use laurelroute_http::service::Routing;
use laurelroute_plan::follower::{Follower, View};
use laurelroute_plan::lead::{self, AppliedMembers};
use laurelroute_plan::member::Member;
use laurelroute_plan::reporter::{NodeState, Reporter};
use laurelroute_plan::wire::{Body, Role};
use laurelroute_policy::interface::{ListKind, Nanos, NodePlan, Phase};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// Interval between reports to a planner.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the age of the plan and the choice of the planner to follow are checked.
const TICK: Duration = Duration::from_millis(50);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// A planner sends a message at least four times a second.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Reconnect backoff in seconds: starts at the minimum, doubles up to the maximum, with jitter.
const MIN_BACKOFF_S: f64 = 0.05;
const MAX_BACKOFF_S: f64 = 0.4;
/// Capacity of the queue of replies to a planner; no more are ever outstanding.
const REPLY_QUEUE: usize = 64;
/// How long the server list is still watched after a planner has become reachable again.
const WATCH_LINGER: Nanos = 2_000_000_000;

/// The forwarder's part of the operator's file, with the certificates loaded.
pub(crate) struct ForwarderRole {
    forward: ForwarderSettings,
    peers: PeerSettings,
    tls: Tls,
}

/// Why a connection to a planner ended.
#[derive(Debug, thiserror::Error)]
enum SessionError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("no answer in time")]
    Timeout,
    #[error("{0}")]
    Hello(#[from] HelloError),
    #[error("{0}")]
    Frame(#[from] FrameError),
}

/// A running forwarder, shared by the sessions with the planners and the periodic task.
struct Forwarder {
    gateway: Rc<Gateway>,
    follower: RefCell<Follower>,
    /// The servers already passed to the gateway.
    applied: RefCell<AppliedMembers>,
    /// The plan last passed to the gateway.
    node_plan: RefCell<NodePlan>,
    /// The operator's own limit of connections to one server.
    max_connections: Option<u32>,
    /// Thrift port of servers whose entry has no Thrift address.
    thrift_port: Option<u16>,
    identity: Identity,
    /// The list that the processes of the node share.
    lists: Rc<ListExchange>,
    /// The configuration, for the form of that list.
    config: Config,
    converter: HostConverter,
    /// The last time at which no planner with a fresh list was reachable.
    isolated_at: Cell<Nanos>,
}

impl ForwarderRole {
    pub(crate) fn new(site: &Site) -> Result<Self, RoleError> {
        let peers = site.levels.peers.clone().ok_or(RoleError::Missing("peers"))?;
        let forward = site.levels.forward.clone().ok_or(RoleError::Missing("forward"))?;
        let tls = peers.tls()?;
        Ok(ForwarderRole { forward, peers, tls })
    }

    /// Starts to follow the planners per service, if the operator's file enables services; returns the routing of
    /// requests to services.
    pub(crate) fn start_service_routing(&self, gateway: &Rc<Gateway>, site: &Site) -> Option<Routing> {
        let settings = self.forward.services.as_ref()?;
        Some(services::forwarder::start(gateway, site, &self.forward, &self.peers, &self.tls, settings))
    }

    /// Starts to follow the planners.
    pub(crate) fn start(
        self,
        gateway: &Rc<Gateway>,
        config: &Config,
        site: &Site,
        discovery: watch::Receiver<SocketAddr>,
        lists: Rc<ListExchange>,
    ) {
        let now = gateway.clock.now();
        let planner_names: Vec<String> = self.forward.planners.iter().map(SocketAddr::to_string).collect();
        let identity = Identity {
            role: Role::Forwarder,
            name: self.peers.name.clone(),
            site: self.peers.site.clone(),
            incarnation: now / 1_000_000,
            zone: gateway.config.settings.zone,
            services: false,
        };
        let forwarder = Rc::new(Forwarder {
            gateway: gateway.clone(),
            follower: RefCell::new(Follower::new(now, &self.peers.name, &self.peers.site, &planner_names)),
            applied: RefCell::default(),
            node_plan: RefCell::default(),
            max_connections: gateway.config.max_connections_per_server,
            thrift_port: site.thrift.as_ref().and_then(|t| t.port),
            identity,
            lists,
            config: config.clone(),
            converter: HostConverter::new(config, site).with_all_addresses(),
            isolated_at: Cell::new(0),
        });
        forwarder.follow_other_processes();
        for (index, address) in self.forward.planners.iter().enumerate() {
            let report_bytes = f64::from(self.forward.report_bytes);
            spawn_local(forwarder.clone().keep_session(index, *address, self.tls.clone(), report_bytes));
        }
        let watcher = {
            let (forwarder, config, site) = (forwarder.clone(), config.clone(), site.clone());
            move || {
                Watcher::new(forwarder.sink(), &config, &site, discovery.clone())
                    .with_heartbeats(forwarder.on_heartbeat())
            }
        };
        spawn_local(forwarder.tick(watcher));
    }
}

impl Forwarder {
    /// Records discovery's heartbeats: the list is current.
    fn on_heartbeat(self: &Rc<Self>) -> OnHeartbeat {
        let forwarder = self.clone();
        Box::new(move || {
            forwarder.follower.borrow_mut().confirm_membership(forwarder.gateway.clock.now());
        })
    }

    /// Receives discovery's lists, which count while no planner with a fresh list is reachable.
    fn sink(self: &Rc<Self>) -> crate::discovery::Sink {
        let forwarder = self.clone();
        Box::new(move |kind, version, entries| {
            let members: Vec<Member> = entries.into_iter().map(source::to_member).collect();
            let now = forwarder.gateway.clock.now();
            let mut follower = forwarder.follower.borrow_mut();
            match kind {
                ListKind::Failed => return ListUse::Ignored,
                // The configuration's list is used only at a start where neither planners nor discovery are
                // reachable.
                ListKind::Cached if members.is_empty() || !forwarder.applied.borrow().is_empty() => {
                    return ListUse::Ignored
                }
                ListKind::Cached if !follower.use_configured_membership(version, members.clone()) => {
                    return ListUse::Ignored
                }
                ListKind::Cached => {}
                ListKind::Full => follower.update_membership(now, version, true, members),
                ListKind::Changes => follower.update_membership(now, version, false, members),
            }
            drop(follower);
            forwarder.apply();
            ListUse::Used
        })
    }

    /// Begins with the servers that another process of the node has sent, and takes its later changes.
    fn follow_other_processes(self: &Rc<Self>) {
        if let Some(list) = self.lists.snapshot() {
            self.receive_from_process(list.version.number, list.servers.into_values().flatten());
        }
        let forwarder = Rc::downgrade(self);
        self.lists.on_changes(Box::new(move |PeerChanges { version, servers, .. }| {
            let Some(forwarder) = forwarder.upgrade() else { return };
            let hosts = servers.into_iter().filter_map(|s| s.after.or(s.before.map(Host::left)));
            forwarder.receive_from_process(version.number, hosts);
        }));
    }

    fn receive_from_process(&self, version: u64, hosts: impl Iterator<Item = Host>) {
        let now = self.gateway.clock.now();
        let members = hosts.map(|host| source::to_member(self.converter.entry(host))).collect();
        self.follower.borrow_mut().receive_from_process(now, version, members);
        self.apply();
    }

    /// Passes the servers on to the other processes of the node, if a later membership has come.
    fn share_membership(&self) {
        let known = self.follower.borrow().known_membership(self.gateway.clock.now());
        let Some((version, members)) = known else { return };
        // Planners may differ in how late their lists are: an earlier version is no news.
        if self.lists.version().is_some_and(|shared| shared.number > version) {
            return;
        }
        let entries = members.into_iter().map(|member| source::to_entry(member, None));
        let hosts = entries.filter_map(|entry| Host::of_entry(entry, &self.config));
        // Those that have left are named too: a planner with an earlier list may still have them.
        let servers = hosts.map(|host| (host.name().to_owned(), Some(host))).collect();
        self.lists.update(version, None, true, servers);
    }

    /// Passes the changes of the current view to the gateway.
    fn apply(&self) {
        let now = self.gateway.clock.now();
        let view = self.follower.borrow().view(now);
        let changes = self.applied.borrow_mut().changes(&view);
        if !changes.is_empty() {
            self.share_membership();
        }
        let entries: Vec<_> = changes.into_iter().map(|m| source::to_entry(m, self.thrift_port)).collect();
        if !entries.is_empty() {
            self.gateway.update_servers(ListKind::Changes, entries);
        }
        let connection_limit =
            [self.max_connections, Some(view.connections).filter(|&n| n > 0)].into_iter().flatten().min();
        self.gateway.fleet(|f| f.set_max_connections(connection_limit));
        let node_plan = self.node_plan_from(&view);
        if *self.node_plan.borrow() != node_plan {
            self.node_plan.replace(node_plan.clone());
            self.gateway.apply_plan(node_plan);
        }
        if view.members.iter().any(|m| m.server.phase == Phase::Ready) {
            self.gateway.set_ready();
        }
    }

    /// The view's directives for the gateway.
    fn node_plan_from(&self, view: &View) -> NodePlan {
        let config = &self.gateway.config;
        let tenants = config.tenants.iter().zip(&config.settings.tenant_quota);
        lead::node_plan(
            view,
            |name| self.gateway.fleet(|f| f.endpoint_of(name)),
            &config.classes,
            tenants.map(|(name, quota)| (name, quota / f64::from(config.settings.group_size))),
        )
    }

    /// Periodic work: expires plans and planners, and watches the server list while no planner with a fresh list is
    /// reachable.
    async fn tick(self: Rc<Self>, watcher: impl Fn() -> Watcher) {
        let mut watch: Option<AbortHandle> = None;
        loop {
            let now = self.gateway.clock.now();
            let (isolated, reaches_planner) = {
                let mut follower = self.follower.borrow_mut();
                follower.poll(now);
                (follower.needs_membership(now), follower.reaches_planner(now))
            };
            if isolated && watch.is_none() {
                let cause = match reaches_planner {
                    true => "the server lists of all planners are stale",
                    false => "no planner is reachable",
                };
                tracing::warn!("{cause}: the server list is read from discovery");
                watch = Some(spawn_local(watcher().follow()).abort_handle());
            }
            if isolated {
                self.isolated_at.set(now);
            } else if now.saturating_sub(self.isolated_at.get()) > WATCH_LINGER {
                if let Some(watch) = watch.take() {
                    tracing::info!("a planner with a current server list is reachable again");
                    watch.abort();
                }
                self.follower.borrow_mut().forget_membership(now);
            }
            self.apply();
            tokio::time::sleep(TICK).await;
        }
    }

    /// Keeps a connection to one planner open, reconnecting with backoff forever.
    async fn keep_session(
        self: Rc<Self>,
        planner_index: usize,
        address: SocketAddr,
        tls: Tls,
        report_bytes: f64,
    ) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.gateway.config.seed ^ 0x706c_616e ^ planner_index as u64);
        let mut backoff = MIN_BACKOFF_S;
        let mut warning = RateLimitedWarning::default();
        loop {
            let started_at = tokio::time::Instant::now();
            let error = self.session(planner_index, address, &tls, report_bytes).await.err();
            if let Some(error) = error {
                warning.warn(|suppressed| format!("planner {address}: {error}{suppressed}"));
            }
            if started_at.elapsed() > READ_TIMEOUT {
                backoff = MIN_BACKOFF_S;
            }
            let jitter = 0.5 + f64::from(rng.next_u32()) / f64::from(u32::MAX);
            tokio::time::sleep(Duration::from_secs_f64(backoff * jitter)).await;
            backoff = (backoff * 2.0).min(MAX_BACKOFF_S);
        }
    }

    /// Connects to a planner, then receives parts and sends replies and reports until the connection fails.
    async fn session(
        &self,
        planner_index: usize,
        address: SocketAddr,
        tls: &Tls,
        report_bytes: f64,
    ) -> Result<(), SessionError> {
        let timed_out = |_| SessionError::Timeout;
        let stream = timeout(CONNECT_TIMEOUT, connect_with_retry(address)).await.map_err(timed_out)??;
        stream.set_nodelay(true)?;
        let mut stream = timeout(HANDSHAKE_TIMEOUT, tls.connect(RetryingStream::new(stream)))
            .await
            .map_err(timed_out)??;
        let planner = timeout(HANDSHAKE_TIMEOUT, hello::connect(&mut stream, &self.identity, Role::Planner))
            .await
            .map_err(timed_out)??;
        tracing::info!("planner {address}: connected to `{}`", planner.name.escape_debug());
        let (mut reader, mut writer) = tokio::io::split(stream);
        let (replies, mut queued_replies) = mpsc::channel(REPLY_QUEUE);
        let read = async {
            loop {
                let body = timeout(READ_TIMEOUT, frames::read(&mut reader)).await.map_err(timed_out)??;
                let Some(Body::PlanUpdate(part)) = body else { continue };
                let reply =
                    self.follower.borrow_mut().receive(self.gateway.clock.now(), planner_index, &part);
                self.apply();
                // Bounds the memory for a planner that sends without reading the replies.
                if replies.try_send(reply).is_err() {
                    return Err(SessionError::Timeout);
                }
            }
        };
        let write = async {
            let mut reporter = Reporter::new(self.gateway.clock.now(), report_bytes);
            let mut next_report_at = tokio::time::Instant::now();
            loop {
                let body = tokio::select! {
                    Some(reply) = queued_replies.recv() => Some(Body::PlanAck(reply)),
                    _ = tokio::time::sleep_until(next_report_at) => {
                        next_report_at = tokio::time::Instant::now() + REPORT_INTERVAL;
                        self.report(&mut reporter)
                    }
                };
                if let Some(body) = body {
                    timeout(WRITE_TIMEOUT, frames::write(&mut writer, body)).await.map_err(timed_out)??;
                }
            }
        };
        tokio::select! { result = read => result, result = write => result }
    }

    /// Builds the next report, if one is due.
    fn report(&self, reporter: &mut Reporter) -> Option<Body> {
        let follower = self.follower.borrow();
        let (observed, [classes, tenants]) =
            (self.gateway.observed_servers(), self.gateway.admission_rates());
        let config = &self.gateway.config;
        let now = NodeState {
            servers: observed.iter().map(|(name, o)| (name.as_str(), *o)).collect(),
            classes: config.classes.iter().map(String::as_str).zip(classes).collect(),
            tenants: config.tenants.iter().zip(tenants).collect(),
            closed: follower.closed(),
            following: follower.following().unwrap_or_default(),
        };
        reporter.report(self.gateway.clock.now(), &now).map(Body::Report)
    }
}
