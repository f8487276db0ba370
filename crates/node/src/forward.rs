//! The forwarder's role: the same gateway and decision module as ever, led by a plan.
//!
//! One task a planner keeps a connection, takes in parts and sends reports. What they say meets in one
//! [`Follower`]; each change of its view is handed to the gateway as a list and a guide. With no planner heard, the
//! membership is watched as on one level.

use crate::config::Config;
use crate::discovery::Watcher;
use crate::levels::{Forward, LevelError, Peers};
use crate::log::Seldom;
use crate::services;
use crate::site::Site;
use crate::source;
use laurelroute_channel::frames::{self, FrameError};
use laurelroute_channel::hello::{self, HelloError, Identity};
use laurelroute_channel::tls::Tls;
use laurelroute_core::connect::establish;
use laurelroute_core::gateway::Gateway;
use laurelroute_core::retry_io::Retried;
use laurelroute_http::service::Routing;
use laurelroute_plan::follower::{Follower, View};
use laurelroute_plan::lead::{self, Told};
use laurelroute_plan::member::Member;
use laurelroute_plan::reporter::{Now, Reporter};
use laurelroute_plan::wire::{Body, Role};
use laurelroute_policy::interface::{Guide, ListKind, Nanos, Phase};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// How often reports are made, and what has come by itself (age, whom to follow) is looked at.
const REPORT: Duration = Duration::from_millis(200);
const TICK: Duration = Duration::from_millis(50);
const CONNECT: Duration = Duration::from_millis(500);
const HANDSHAKE: Duration = Duration::from_secs(3);
/// A planner says something at least four times a second.
const SILENCE: Duration = Duration::from_secs(3);
const WRITE: Duration = Duration::from_secs(3);
/// Waits before a planner is connected to again: doubled from the first to the last, and spread.
const PAUSE_FIRST: f64 = 0.05;
const PAUSE_LAST: f64 = 0.4;
/// Answers to a planner that wait to be written; more are never under way.
const REPLIES: usize = 64;
/// The membership is watched for this long after a planner has taken over.
const STILL_WATCH: Nanos = 2_000_000_000;

/// What the operator's file says of the role, with the certificates read.
pub(crate) struct Forwarding {
    forward: Forward,
    peers: Peers,
    tls: Tls,
}

#[derive(Debug, thiserror::Error)]
enum SessionError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("no answer in time")]
    Silent,
    #[error("{0}")]
    Hello(#[from] HelloError),
    #[error("{0}")]
    Frame(#[from] FrameError),
}

struct Forwarder {
    gateway: Rc<Gateway>,
    follower: RefCell<Follower>,
    told: RefCell<Told>,
    guide: RefCell<Guide>,
    /// The operator's own limit of connections to one box.
    most_connections: Option<u32>,
    /// Where boxes speak Thrift whose entry does not say.
    thrift_port: Option<u16>,
    identity: Identity,
    heard_at: Cell<Nanos>,
}

impl Forwarding {
    pub(crate) fn new(site: &Site) -> Result<Self, LevelError> {
        let peers = site.levels.peers.clone().ok_or(LevelError::Missing("peers"))?;
        let forward = site.levels.forward.clone().ok_or(LevelError::Missing("forward"))?;
        let tls = peers.tls()?;
        Ok(Forwarding { forward, peers, tls })
    }

    /// Starts to follow planners by services, where the file says so: where requests name them, and who knows them.
    pub(crate) fn by_services(&self, gateway: &Rc<Gateway>, site: &Site) -> Option<Routing> {
        let own = self.forward.services.as_ref()?;
        Some(services::forwarder::start(gateway, site, &self.forward, &self.peers, &self.tls, own))
    }

    /// Starts to follow the planners.
    pub(crate) fn start(
        self,
        gateway: &Rc<Gateway>,
        config: &Config,
        site: &Site,
        discovery: watch::Receiver<SocketAddr>,
    ) {
        let now = gateway.clock.now();
        let names: Vec<String> = self.forward.planners.iter().map(SocketAddr::to_string).collect();
        let identity = Identity {
            role: Role::Forwarder,
            name: self.peers.name.clone(),
            site: self.peers.site.clone(),
            life: now / 1_000_000,
            zone: gateway.site.settings.zone,
            services: false,
        };
        let forwarder = Rc::new(Forwarder {
            gateway: gateway.clone(),
            follower: RefCell::new(Follower::new(now, &self.peers.name, &self.peers.site, &names)),
            told: RefCell::default(),
            guide: RefCell::default(),
            most_connections: gateway.site.most_connections,
            thrift_port: site.thrift.as_ref().and_then(|t| t.port),
            identity,
            heard_at: Cell::new(0),
        });
        for (place, address) in self.forward.planners.iter().enumerate() {
            let report_bytes = f64::from(self.forward.report_bytes);
            spawn_local(forwarder.clone().keep(place, *address, self.tls.clone(), report_bytes));
        }
        let watcher = {
            let (forwarder, config, site) = (forwarder.clone(), config.clone(), site.clone());
            move || Watcher::new(forwarder.sink(), &config, &site, discovery.clone())
        };
        spawn_local(forwarder.tick(watcher));
    }
}

impl Forwarder {
    /// Discovery's word, for while no planner speaks.
    fn sink(self: &Rc<Self>) -> crate::discovery::Sink {
        let forwarder = self.clone();
        Box::new(move |kind, version, entries| {
            let members: Vec<Member> = entries.into_iter().map(source::member).collect();
            let whole = match kind {
                ListKind::Failed => return,
                // The configuration's list is only for a start with nobody to ask.
                ListKind::Cached if members.is_empty() || !forwarder.told.borrow().is_empty() => return,
                ListKind::Cached | ListKind::Full => true,
                ListKind::Changes => false,
            };
            let now = forwarder.gateway.clock.now();
            forwarder.follower.borrow_mut().membership(now, version, whole, members);
            forwarder.apply();
        })
    }

    /// Hands what is to be gone by now to the gateway, as far as it has changed.
    fn apply(&self) {
        let now = self.gateway.clock.now();
        let view = self.follower.borrow().view(now);
        let changes = self.told.borrow_mut().changes(&view);
        let entries: Vec<_> = changes.into_iter().map(|m| source::entry(m, self.thrift_port)).collect();
        if !entries.is_empty() {
            self.gateway.list(ListKind::Changes, entries);
        }
        let most =
            [self.most_connections, Some(view.connections).filter(|&n| n > 0)].into_iter().flatten().min();
        self.gateway.fleet(|f| f.limit(most));
        let guide = self.guide_of(&view);
        if *self.guide.borrow() != guide {
            self.guide.replace(guide.clone());
            self.gateway.guide(guide);
        }
        if view.members.iter().any(|m| m.server.phase == Phase::Ready) {
            self.gateway.set_ready();
        }
    }

    fn guide_of(&self, view: &View) -> Guide {
        let site = &self.gateway.site;
        let tenants = site.tenants.iter().zip(&site.settings.tenant_quota);
        lead::guide(
            view,
            |name| self.gateway.fleet(|f| f.known(name)),
            &site.classes,
            tenants.map(|(name, quota)| (name, quota / f64::from(site.settings.group_size))),
        )
    }

    /// Time: the plan ages, planners fall silent, and the membership is watched as long as it has to be.
    async fn tick(self: Rc<Self>, watcher: impl Fn() -> Watcher) {
        let mut watching: Option<AbortHandle> = None;
        loop {
            let now = self.gateway.clock.now();
            let alone = {
                let mut follower = self.follower.borrow_mut();
                follower.poll(now);
                follower.alone(now)
            };
            if alone && watching.is_none() {
                tracing::warn!("no planner speaks: the membership is read here");
                watching = Some(spawn_local(watcher().follow()).abort_handle());
            }
            if alone {
                self.heard_at.set(now);
            } else if watching.is_some() && now.saturating_sub(self.heard_at.get()) > STILL_WATCH {
                tracing::info!("a planner speaks again");
                watching.take().inspect(AbortHandle::abort);
                self.follower.borrow_mut().forget_membership();
            }
            self.apply();
            tokio::time::sleep(TICK).await;
        }
    }

    /// Keeps a connection to one planner, for good.
    async fn keep(self: Rc<Self>, place: usize, address: SocketAddr, tls: Tls, report_bytes: f64) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.gateway.site.seed ^ 0x706c_616e ^ place as u64);
        let mut pause = PAUSE_FIRST;
        let mut seldom = Seldom::default();
        loop {
            let begun = tokio::time::Instant::now();
            let error = self.session(place, address, &tls, report_bytes).await.err();
            if let Some(error) = error {
                seldom.warn(|more| format!("planner {address}: {error}{more}"));
            }
            if begun.elapsed() > SILENCE {
                pause = PAUSE_FIRST;
            }
            let spread = 0.5 + f64::from(rng.next_u32()) / f64::from(u32::MAX);
            tokio::time::sleep(Duration::from_secs_f64(pause * spread)).await;
            pause = (pause * 2.0).min(PAUSE_LAST);
        }
    }

    async fn session(
        &self,
        place: usize,
        address: SocketAddr,
        tls: &Tls,
        report_bytes: f64,
    ) -> Result<(), SessionError> {
        let late = |_| SessionError::Silent;
        let stream = timeout(CONNECT, establish(address)).await.map_err(late)??;
        stream.set_nodelay(true)?;
        let mut stream = timeout(HANDSHAKE, tls.connect(Retried::new(stream))).await.map_err(late)??;
        let planner = timeout(HANDSHAKE, hello::greet(&mut stream, &self.identity, Role::Planner))
            .await
            .map_err(late)??;
        tracing::info!("planner {address}: `{}` is there", planner.name.escape_debug());
        let (mut reader, mut writer) = tokio::io::split(stream);
        let (replies, mut waiting) = mpsc::channel(REPLIES);
        let read = async {
            loop {
                let body = timeout(SILENCE, frames::read(&mut reader)).await.map_err(late)??;
                let Some(Body::Part(part)) = body else { continue };
                let reply = self.follower.borrow_mut().receive(self.gateway.clock.now(), place, &part);
                self.apply();
                // A planner that sends on and on without reading is not worth the memory.
                if replies.try_send(reply).is_err() {
                    return Err(SessionError::Silent);
                }
            }
        };
        let write = async {
            let mut reporter = Reporter::new(self.gateway.clock.now(), report_bytes);
            let mut next = tokio::time::Instant::now();
            loop {
                let body = tokio::select! {
                    Some(reply) = waiting.recv() => Some(Body::Reply(reply)),
                    _ = tokio::time::sleep_until(next) => {
                        next = tokio::time::Instant::now() + REPORT;
                        self.report(&mut reporter)
                    }
                };
                if let Some(body) = body {
                    timeout(WRITE, frames::write(&mut writer, body)).await.map_err(late)??;
                }
            }
        };
        tokio::select! { ended = read => ended, ended = write => ended }
    }

    fn report(&self, reporter: &mut Reporter) -> Option<Body> {
        let follower = self.follower.borrow();
        let (observed, [classes, tenants]) = (self.gateway.observed(), self.gateway.admitted());
        let site = &self.gateway.site;
        let now = Now {
            servers: observed.iter().map(|(name, o)| (name.as_str(), *o)).collect(),
            classes: site.classes.iter().map(String::as_str).zip(classes).collect(),
            tenants: site.tenants.iter().zip(tenants).collect(),
            closed: follower.closed(),
            following: follower.following().unwrap_or_default(),
        };
        reporter.report(self.gateway.clock.now(), &now).map(Body::Report)
    }
}
