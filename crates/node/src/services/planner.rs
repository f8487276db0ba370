//! The planner's role by services: discovery's list in, changes of services out to those who subscribe to them.
//!
//! One thread, no disk. A peer that does not prove itself gets nothing; one that does is bounded in messages (the
//! channel), in what it asks for (the publisher) and in time.

use super::table::PlannerServices;
use crate::discovery::{Sink, Watcher};
use crate::levels::{PeerSettings, PlannerSettings, RoleError};
use crate::log::RateLimitedWarning;
use crate::run::{listen, StartError};
use crate::source;
use laurelroute_channel::frames::{self, FrameError};
use laurelroute_channel::hello::{self, Identity};
use laurelroute_channel::subscription::{Publishing, SessionError};
use laurelroute_channel::tls::Tls;
use laurelroute_core::clock::Clock;
use laurelroute_core::retry_io::Retried;
use laurelroute_plan::services::publisher::{Dropped, Listed, Publisher, Settings};
use laurelroute_plan::wire::{Body, Role, Told};
use laurelroute_policy::interface::ListKind;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Where nothing can be accepted, as descriptors are used up.
const EXHAUSTED: Duration = Duration::from_millis(50);
/// TLS and the first word. Where another planner has died, hundreds of forwarders come in the same second.
const HANDSHAKE: Duration = Duration::from_secs(5);
/// Connections beyond those of forwarders: who is being replaced, who is turned away, and who asks.
const OTHERS: usize = 2_000;

struct Desk {
    publishing: Rc<Publishing>,
    identity: Identity,
    tls: Tls,
    most_peers: usize,
    peers: Cell<usize>,
    log: RefCell<RateLimitedWarning>,
    dropped: RefCell<RateLimitedWarning>,
}

/// Counts a peer for as long as it lives.
struct Seat(Rc<Desk>);

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.peers.set(self.0.peers.get() - 1);
    }
}

/// Starts to publish; `watch` makes a watcher of discovery that tells a sink.
pub(crate) fn start(
    peers: &PeerSettings,
    plan: &PlannerSettings,
    own: &PlannerServices,
    watch: impl FnOnce(Sink) -> Watcher,
) -> Result<(), StartError> {
    let tls = peers.tls().map_err(RoleError::from)?;
    let clock = Clock::start();
    let life = clock.now() / 1_000_000;
    let settings = Settings {
        site: peers.site.clone(),
        life,
        planners: plan.planners,
        most_forwarders: own.max_forwarders,
        bytes_per_second: own.update_bytes.into(),
        burst: own.update_burst.into(),
        drain_bytes_per_second: own.drain_bytes.into(),
        drain_burst: own.drain_burst.into(),
    };
    let listener = listen(plan.listen)?;
    let publisher = Publisher::new(clock.now(), settings);
    let desk = Rc::new(Desk {
        publishing: Rc::new(Publishing::new(publisher, Box::new(move || clock.now()))),
        identity: Identity {
            role: Role::Planner,
            name: peers.name.clone(),
            site: peers.site.clone(),
            life,
            zone: 0,
            services: true,
        },
        tls,
        most_peers: own.max_forwarders + OTHERS,
        peers: Cell::new(0),
        log: RefCell::default(),
        dropped: RefCell::default(),
    });
    spawn_local(watch(desk.sink()).with_all_addresses().with_services().follow());
    let publishing = desk.publishing.clone();
    spawn_local(async move { publishing.tick().await });
    spawn_local(desk.accept(listener));
    Ok(())
}

impl Desk {
    fn sink(self: &Rc<Self>) -> Sink {
        let desk = self.clone();
        Box::new(move |kind, version, entries| {
            // The configuration's list may be hours old: forwarders with a better one must not hear of it.
            if matches!(kind, ListKind::Failed | ListKind::Cached) {
                return;
            }
            let listed = entries.into_iter().map(|mut entry| {
                let services = entry.said.take().map(|said| said.services).unwrap_or_default();
                Listed { services, member: source::to_member(entry) }
            });
            let listed = listed.collect();
            let whole = kind == ListKind::Full;
            let dropped = desk.publishing.with(|p, now| p.list(now, version, whole, listed));
            if dropped != Dropped::default() {
                let Dropped { servers, services, names } = dropped;
                desk.dropped.borrow_mut().warn(|more| {
                    format!(
                        "list {version}: not taken in: {servers} servers and {services} services beyond the \
                         limits, {names} names that are empty or too long{more}"
                    )
                });
            }
        })
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let (stream, address) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    self.log.borrow_mut().warn(|more| format!("cannot accept: {error}{more}"));
                    tokio::time::sleep(EXHAUSTED).await;
                    continue;
                }
            };
            let most = self.most_peers;
            if self.peers.get() >= most {
                self.log.borrow_mut().warn(|more| format!("{address}: {most} peers are here already{more}"));
                continue;
            }
            self.peers.set(self.peers.get() + 1);
            let seat = Seat(self.clone());
            spawn_local(async move {
                if let Err(error) = seat.0.serve(stream).await {
                    seat.0.log.borrow_mut().warn(|more| format!("{address}: {error}{more}"));
                }
            });
        }
    }

    async fn serve(&self, stream: TcpStream) -> Result<(), SessionError> {
        stream.set_nodelay(true)?;
        let greeted = async {
            let mut stream = self.tls.accept(Retried::new(stream)).await?;
            let roles = [Role::Forwarder, Role::Asker];
            let peer = hello::heard(&mut stream, &self.identity, &roles).await?;
            Ok::<_, SessionError>((stream, peer))
        };
        let (mut stream, peer) = timeout(HANDSHAKE, greeted).await.map_err(|_| SessionError::Silent)??;
        match peer.role() {
            Role::Asker => {
                let told = async {
                    hello::answered(&mut stream, &self.identity).await?;
                    Ok(self.tell(&mut stream).await?)
                };
                timeout(HANDSHAKE, told).await.map_err(|_| SessionError::Silent)?
            }
            _ => self.publishing.lead(stream, &self.identity, &peer).await,
        }
    }

    async fn tell<S: AsyncRead + AsyncWrite + Unpin>(&self, stream: &mut S) -> Result<(), FrameError> {
        if let Some(Body::Ask(ask)) = frames::read(stream).await? {
            let text = self.publishing.with(|publisher, now| publisher.explain(now, &ask));
            frames::write(stream, Body::Told(Told { text })).await?;
        }
        Ok(())
    }
}
