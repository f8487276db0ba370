//! The planner's role: the membership and forwarders' reports in, parts of plans out.
//!
//! One thread, no disk. The state is borrowed only between awaits. A peer that does not prove itself gets nothing; one
//! that does is bounded in messages (the channel), rows (the planner) and time (here).

use crate::discovery::Watcher;
use crate::levels::LevelError;
use crate::log::Seldom;
use crate::run::{listen, load, reload, StartError};
use crate::services;
use crate::signals::Signal;
use crate::site::Site;
use crate::source;
use laurelroute_channel::frames::{self, FrameError};
use laurelroute_channel::hello::{self, HelloError, Identity};
use laurelroute_channel::tls::Tls;
use laurelroute_core::clock::Clock;
use laurelroute_core::retry_io::Retried;
use laurelroute_plan::planner::{Planner, ReportError, Settings, SETTLE};
use laurelroute_plan::wire::{Body, Hello, Role, Told};
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

/// How often subsets, budgets and each forwarder's part are looked at without news.
const TICK: Duration = Duration::from_millis(50);
const HANDSHAKE: Duration = Duration::from_secs(3);
/// A forwarder says something at least once a second.
const SILENCE: Duration = Duration::from_secs(5);
const WRITE: Duration = Duration::from_secs(3);
/// Connections at once: forwarders, those that are just being replaced, and askers.
const MOST_PEERS: usize = 12_000;

#[derive(Debug, thiserror::Error)]
enum SessionError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("nothing heard in time")]
    Silent,
    #[error("{0}")]
    Hello(#[from] HelloError),
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("{0}")]
    Report(#[from] ReportError),
    #[error("a newer connection of the same name has come")]
    Replaced,
}

struct Desk {
    planner: RefCell<Planner>,
    clock: Clock,
    /// Something has changed that forwarders should hear of at once.
    news: Notify,
    identity: Identity,
    tls: Tls,
    /// The latest connection of each forwarder.
    latest: RefCell<BTreeMap<String, u64>>,
    connections: Cell<u64>,
    peers: Cell<usize>,
    log: RefCell<Seldom>,
    /// Of what is not planned for.
    limits: RefCell<Seldom>,
}

/// Counts a peer for as long as it lives.
struct Seat(Rc<Desk>);

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.peers.set(self.0.peers.get() - 1);
    }
}

/// Runs a planner on this thread until SIGTERM.
pub(crate) async fn run(site: Option<&Path>) -> Result<(), StartError> {
    let mut terminate = Signal::terminate()?;
    let hangup = Signal::hangup()?;
    let (config, site) = load(site)?;
    let peers = site.levels.peers.clone().ok_or(LevelError::Missing("peers"))?;
    let own = site.levels.plan.clone().ok_or(LevelError::Missing("plan"))?;
    let discovery = watch::Sender::new(config.discovery);
    if let Some(publish) = &own.services {
        let watch = |sink| Watcher::new(sink, &config, &site, discovery.subscribe());
        services::planner::start(&peers, &own, publish, watch)?;
        spawn_local(reload(config, discovery, hangup));
        terminate.recv().await;
        return Ok(());
    }
    let tls = peers.tls().map_err(LevelError::from)?;
    let clock = Clock::start();
    let life = clock.now() / 1_000_000;
    let settings = settings(&config.site, &site, &peers.site, life);
    let listener = listen(own.listen)?;
    let desk = Rc::new(Desk {
        planner: RefCell::new(Planner::new(clock.now(), settings)),
        clock,
        news: Notify::new(),
        identity: Identity {
            role: Role::Planner,
            name: peers.name,
            site: peers.site,
            life,
            zone: 0,
            services: false,
        },
        tls,
        latest: RefCell::default(),
        connections: Cell::new(0),
        peers: Cell::new(0),
        log: RefCell::default(),
        limits: RefCell::default(),
    });
    let watcher = Watcher::new(desk.sink(), &config, &site, discovery.subscribe());
    spawn_local(watcher.with_all_addresses().follow());
    spawn_local(reload(config, discovery, hangup));
    spawn_local(desk.clone().tick());
    spawn_local(desk.accept(listener));
    // All state is soft: there is nothing to put in order.
    terminate.recv().await;
    Ok(())
}

fn settings(core: &laurelroute_core::gateway::Site, site: &Site, name: &str, life: u64) -> Settings {
    let own = site.levels.plan.as_ref();
    let limit =
        |class: &String| own.and_then(|o| o.limits.iter().find(|(name, _)| name == class)).map(|l| l.1);
    Settings {
        site: name.to_owned(),
        life,
        planners: own.map_or(1, |o| o.planners),
        cap: own.and_then(|o| o.max_connections),
        wanted: own.map_or(8, |o| o.wanted_connections),
        cold_from: core.settings.cold_from,
        ramp: core.settings.ramp,
        settle: own.map_or(SETTLE, |o| o.settle),
        classes: core.classes.iter().map(|c| (c.clone(), limit(c))).collect(),
        tenants: core
            .tenants
            .iter()
            .map(str::to_owned)
            .zip(core.settings.tenant_quota.iter().copied())
            .collect(),
        bytes_per_second: own.map_or(16_000.0, |o| f64::from(o.plan_bytes)),
    }
}

impl Desk {
    fn sink(self: &Rc<Self>) -> crate::discovery::Sink {
        let desk = self.clone();
        Box::new(move |kind, version, entries| {
            // The configuration's list may be hours old: forwarders with a better one must not hear of it.
            if matches!(kind, ListKind::Failed | ListKind::Cached) {
                return;
            }
            let members = entries.into_iter().map(source::member).collect();
            let now = desk.clock.now();
            let mut planner = desk.planner.borrow_mut();
            planner.membership(now, version, kind == ListKind::Full, members);
            desk.tell_limits(&planner);
            desk.news.notify_waiters();
        })
    }

    /// What is not planned for is written down, seldom.
    fn tell_limits(&self, planner: &Planner) {
        let limits = planner.limits().join("; ");
        if !limits.is_empty() {
            self.limits.borrow_mut().warn(|more| format!("{limits}{more}"));
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
                    self.log.borrow_mut().warn(|more| format!("cannot accept: {error}{more}"));
                    tokio::time::sleep(TICK).await;
                    continue;
                }
            };
            if self.peers.get() >= MOST_PEERS {
                self.log
                    .borrow_mut()
                    .warn(|more| format!("{address}: {MOST_PEERS} peers are here already{more}"));
                continue;
            }
            self.peers.set(self.peers.get() + 1);
            let seat = Seat(self.clone());
            spawn_local(async move {
                if let Err(error) = seat.0.clone().serve(stream).await {
                    seat.0.log.borrow_mut().warn(|more| format!("{address}: {error}{more}"));
                }
            });
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) -> Result<(), SessionError> {
        let late = |_| SessionError::Silent;
        stream.set_nodelay(true)?;
        let mut stream = timeout(HANDSHAKE, self.tls.accept(Retried::new(stream))).await.map_err(late)??;
        let roles = [Role::Forwarder, Role::Asker];
        let peer =
            timeout(HANDSHAKE, hello::welcome(&mut stream, &self.identity, &roles)).await.map_err(late)??;
        if peer.role() == Role::Asker {
            return timeout(HANDSHAKE, self.tell(&mut stream)).await.map_err(late)?;
        }
        let zone = peer.zone.min(255) as u8;
        self.planner.borrow_mut().joined(self.clock.now(), &peer.name, zone)?;
        let number = self.connections.get() + 1;
        self.connections.set(number);
        self.latest.borrow_mut().insert(peer.name.clone(), number);
        let ended = self.lead(stream, &peer, number).await;
        let mut latest = self.latest.borrow_mut();
        if latest.get(&peer.name) == Some(&number) {
            latest.remove(&peer.name);
            self.planner.borrow_mut().left(self.clock.now(), &peer.name);
        }
        ended
    }

    async fn tell<S: AsyncRead + AsyncWrite + Unpin>(&self, stream: &mut S) -> Result<(), SessionError> {
        if let Some(Body::Ask(ask)) = frames::read(stream).await? {
            let text = match ask.change > 0 || ask.service.is_some() {
                true => "this planner does not go by services\n".to_owned(),
                false => self.planner.borrow().explain(&ask),
            };
            frames::write(stream, Body::Told(Told { text })).await?;
        }
        Ok(())
    }

    async fn lead<S: AsyncRead + AsyncWrite>(
        &self,
        stream: S,
        peer: &Hello,
        number: u64,
    ) -> Result<(), SessionError> {
        let late = |_| SessionError::Silent;
        let (mut reader, mut writer) = tokio::io::split(stream);
        let current = || self.latest.borrow().get(&peer.name) == Some(&number);
        let read = async {
            loop {
                let body = timeout(SILENCE, frames::read(&mut reader)).await.map_err(late)??;
                if !current() {
                    return Err(SessionError::Replaced);
                }
                match body {
                    Some(Body::Reply(reply)) => self.planner.borrow_mut().reply(&peer.name, &reply),
                    Some(Body::Report(report)) => {
                        let now = self.clock.now();
                        self.planner.borrow_mut().report(now, &peer.name, &report)?;
                        if !report.closed.is_empty() {
                            self.news.notify_waiters();
                        }
                    }
                    _ => {}
                }
            }
        };
        let write = async {
            loop {
                let news = self.news.notified();
                while current() {
                    let part = self.planner.borrow_mut().next_part(self.clock.now(), &peer.name);
                    let Some(part) = part else { break };
                    timeout(WRITE, frames::write(&mut writer, Body::Part(part))).await.map_err(late)??;
                }
                let _ = timeout(TICK, news).await;
            }
        };
        tokio::select! { ended = read => ended, ended = write => ended }
    }
}
