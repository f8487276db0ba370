//! The planner's role with services: takes discovery's list and publishes changes of services to their subscribers.
//!
//! Runs on one thread without disk access. A peer that does not authenticate gets nothing; one that does is limited
//! in message size (by the channel), in its subscriptions (by the publisher) and in time.

use super::table::PlannerServices;
use crate::discovery::{ListUse, OnHeartbeat, Sink, Watcher};
use crate::levels::{PeerSettings, PlannerSettings, RoleError};
use crate::log::RateLimitedWarning;
use crate::run::{listen, StartError};
use crate::source;
use laurelroute_channel::frames::{self, FrameError};
use laurelroute_channel::hello::{self, Identity};
use laurelroute_channel::subscription::{PublisherServer, SessionError};
use laurelroute_channel::tls::Tls;
use laurelroute_core::clock::Clock;
use laurelroute_core::retry_io::RetryingStream;
use laurelroute_plan::services::publisher::{Dropped, ListedServer, Publisher, Settings};
use laurelroute_plan::wire::{Body, ExplainResponse, Role};
use laurelroute_policy::interface::ListKind;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Pause after a failed accept, for example when descriptors are exhausted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Limit for TLS and the hello. After another planner has failed, hundreds of forwarders connect within a second.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections beyond the maximum number of forwarders: replaced forwarders, rejected peers and operators' queries.
const EXTRA_CONNECTIONS: usize = 2_000;

/// The publishing planner and its connections.
struct PublishingServer {
    publishing: Rc<PublisherServer>,
    identity: Identity,
    tls: Tls,
    max_connections: usize,
    connections: Cell<usize>,
    warnings: RefCell<RateLimitedWarning>,
    dropped_warnings: RefCell<RateLimitedWarning>,
}

/// Counts a connection while it is open.
struct ConnectionGuard(Rc<PublishingServer>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Starts publishing; `watch` creates the watcher that passes discovery's list to a sink.
pub(crate) fn start(
    peers: &PeerSettings,
    plan: &PlannerSettings,
    services: &PlannerServices,
    watch: impl FnOnce(Sink) -> Watcher,
) -> Result<(), StartError> {
    let tls = peers.tls().map_err(RoleError::from)?;
    let clock = Clock::start();
    let life = clock.now() / 1_000_000;
    let settings = Settings {
        site: peers.site.clone(),
        incarnation: life,
        planners: plan.planners,
        max_forwarders: services.max_forwarders,
        bytes_per_second: services.update_bytes.into(),
        burst: services.update_burst.into(),
        drain_bytes_per_second: services.drain_bytes.into(),
        drain_burst: services.drain_burst.into(),
    };
    let listener = listen(plan.listen)?;
    let publisher = Publisher::new(clock.now(), settings);
    let server = Rc::new(PublishingServer {
        publishing: Rc::new(PublisherServer::new(publisher, Box::new(move || clock.now()))),
        identity: Identity {
            role: Role::Planner,
            name: peers.name.clone(),
            site: peers.site.clone(),
            incarnation: life,
            zone: 0,
            services: true,
        },
        tls,
        max_connections: services.max_forwarders + EXTRA_CONNECTIONS,
        connections: Cell::new(0),
        warnings: RefCell::default(),
        dropped_warnings: RefCell::default(),
    });
    let watcher = watch(server.sink()).with_all_addresses().with_services();
    spawn_local(watcher.with_heartbeats(server.on_heartbeat()).follow());
    let publishing = server.publishing.clone();
    spawn_local(async move { publishing.run_timer().await });
    spawn_local(server.accept(listener));
    Ok(())
}

impl PublishingServer {
    /// A sink that publishes discovery's list.
    fn sink(self: &Rc<Self>) -> Sink {
        let server = self.clone();
        Box::new(move |kind, version, entries| {
            if kind == ListKind::Failed || kind == ListKind::Cached && entries.is_empty() {
                return ListUse::Ignored;
            }
            let listed = entries.into_iter().map(|mut entry| {
                let services =
                    entry.attributes.take().map(|attributes| attributes.services).unwrap_or_default();
                ListedServer { services, member: source::to_member(entry) }
            });
            let listed = listed.collect();
            let dropped = server.publishing.with(|p, now| match kind {
                // It may be hours old: it is for forwarders that have no other, and discovery's whole list follows.
                ListKind::Cached => p.apply_configured_list(now, listed),
                _ => p.apply_list(now, version, kind == ListKind::Full, listed),
            });
            if dropped != Dropped::default() {
                let Dropped { servers, services, names } = dropped;
                server.dropped_warnings.borrow_mut().warn(|more| {
                    format!(
                        "list {version}: ignored {servers} servers and {services} services beyond the \
                         limits, {names} names that are empty or too long{more}"
                    )
                });
            }
            match kind {
                ListKind::Cached => ListUse::Ignored,
                _ => ListUse::Used,
            }
        })
    }

    /// Records discovery's heartbeats: the list is current.
    fn on_heartbeat(self: &Rc<Self>) -> OnHeartbeat {
        let server = self.clone();
        Box::new(move || server.publishing.with(|publisher, now| publisher.confirm_list(now)))
    }

    /// Accepts peers for good.
    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let (stream, address) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    self.warnings.borrow_mut().warn(|more| format!("cannot accept: {error}{more}"));
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                    continue;
                }
            };
            let max = self.max_connections;
            if self.connections.get() >= max {
                self.warnings
                    .borrow_mut()
                    .warn(|more| format!("{address}: rejected, {max} peers are connected already{more}"));
                continue;
            }
            self.connections.set(self.connections.get() + 1);
            let guard = ConnectionGuard(self.clone());
            spawn_local(async move {
                if let Err(error) = guard.0.serve(stream).await {
                    guard.0.warnings.borrow_mut().warn(|more| format!("{address}: {error}{more}"));
                }
            });
        }
    }

    /// Serves one peer: a forwarder's subscription or an operator's query.
    async fn serve(&self, stream: TcpStream) -> Result<(), SessionError> {
        stream.set_nodelay(true)?;
        let handshake = async {
            let mut stream = self.tls.accept(RetryingStream::new(stream)).await?;
            let roles = [Role::Forwarder, Role::Operator];
            let peer = hello::receive_hello(&mut stream, &self.identity, &roles).await?;
            Ok::<_, SessionError>((stream, peer))
        };
        let (mut stream, peer) =
            timeout(HANDSHAKE_TIMEOUT, handshake).await.map_err(|_| SessionError::Silent)??;
        match peer.role() {
            Role::Operator => {
                let explanation = async {
                    hello::accept(&mut stream, &self.identity).await?;
                    Ok(self.answer_query(&mut stream).await?)
                };
                timeout(HANDSHAKE_TIMEOUT, explanation).await.map_err(|_| SessionError::Silent)?
            }
            _ => self.publishing.serve(stream, &self.identity, &peer).await,
        }
    }

    /// Answers an operator's query.
    async fn answer_query<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
    ) -> Result<(), FrameError> {
        if let Some(Body::ExplainRequest(ask)) = frames::read(stream).await? {
            let text = self.publishing.with(|publisher, now| publisher.explain(now, &ask));
            frames::write(stream, Body::ExplainResponse(ExplainResponse { text })).await?;
        }
        Ok(())
    }
}
