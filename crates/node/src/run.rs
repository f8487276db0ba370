//! Life cycle of a node process: runtime, listeners, signals, reload and graceful shutdown.

use crate::config::{Config, ConfigError};
use crate::discovery::Watcher;
use crate::forward::ForwarderRole;
use crate::ledger::BanLedger;
use crate::levels::RoleError;
use crate::management::ManagementServer;
use crate::signals::Signal;
use crate::site::{Site, SiteError};
use crate::upgrade::link::runtime_path;
use crate::upgrade::lists::ListExchange;
use crate::upgrade::predecessor::PredecessorReply;
use crate::upgrade::takeover::{AcceptFn, ClientListener, Takeover};
use crate::{plan, source};
use laurelroute_core::accept::{accept, EvictClient, SlotDemand};
use laurelroute_core::gateway::Gateway;
use laurelroute_core::request_ids::table::IdTable;
use laurelroute_core::running;
use laurelroute_handover::message::SocketKind;
use laurelroute_http::front::{Clients, SWEEP_INTERVAL};
use laurelroute_thrift::front::Front;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};

/// The kind of the file that holds the node's request ids ([`runtime_path`]).
const REQUEST_IDS: &str = "request-ids";
/// Listen backlog: connections that the kernel queues while the process is busy. The kernel caps it at its own limit.
pub(crate) const LISTEN_BACKLOG: u32 = 4096;
/// Without a list from discovery, a node starts to serve with its configuration's list this long after its start.
const CACHED_LIST_READY_DELAY: Duration = Duration::from_millis(700);
/// How long a stopping process still accepts: at a planned restart new connections keep arriving for 0.2 to 0.4 s.
const ACCEPT_LINGER: Duration = Duration::from_millis(500);
/// Attempts to read a new configuration, and the pause between them. The file may still be being written, or the
/// disk may be slow or fail for a moment. The list of the new discovery address has to be in force 4 s after
/// SIGHUP: the file is retried as long as there is time left to connect to it.
const RELOAD_ATTEMPTS: u32 = 33;
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// A process that was suspended (SIGSTOP) may receive SIGTERM and the first message of its successor at the same
/// moment: the message is waited for.
const NEW_PROCESS_WAIT: Duration = Duration::from_millis(20);
/// SIGKILL follows SIGTERM after the longest deadline in the settings, capped at `MAX_DEADLINE`, plus `KILL_MARGIN`
/// (PROTOCOL, figures).
const MAX_DEADLINE: Duration = Duration::from_secs(3);
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Every request gets its final answer this long before SIGKILL, to leave time to write and read it.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// This long before SIGKILL, connections of clients that send requests without a pause are closed with the next
/// answer, if a new process serves.
const CLOSE_BUSY_MARGIN: Duration = Duration::from_millis(600);
/// If no SIGKILL comes, the process exits by itself this long after the expected time: a client that does not read
/// must not keep it alive.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time from SIGTERM to the earliest SIGKILL.
fn kill_delay(gateway: &Gateway) -> Duration {
    Duration::from_nanos(gateway.config.settings.longest_client_timeout()).min(MAX_DEADLINE) + KILL_MARGIN
}

/// Why a node does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The platform's configuration is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The settings in the configuration are invalid.
    #[error("settings: {0}")]
    Settings(#[from] laurelroute_policy::interface::SettingsError),
    /// The operator's file is invalid.
    #[error("{0}")]
    Site(#[from] SiteError),
    /// The operator's file lacks settings that the role needs.
    #[error("{0}")]
    Role(#[from] RoleError),
    /// The address is in use, or does not belong to this machine.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: std::io::Error,
    },
    /// The configured traffic shift cannot be started.
    #[error("{0}")]
    Shift(#[from] crate::shift::ShiftStartError),
    /// The process cannot join the configured fleet.
    #[error("{0}")]
    Fleet(#[from] crate::fleet::FleetError),
    /// The runtime or the signal handlers cannot be set up.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Balances traffic by its own decisions: the platform's node.
    Standalone,
    /// Balances traffic by a planner's plan.
    Forwarder,
    /// Computes the forwarders' plans.
    Planner,
}

/// Runs a process of a role on this thread until SIGTERM, configured by `GW_CONFIG` and by the operator's file if
/// there is one.
pub fn start(site: Option<&Path>, role: Role) -> Result<(), StartError> {
    crate::log::start();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        match role {
            Role::Standalone | Role::Forwarder => run(site, role).await,
            Role::Planner => plan::run(site).await,
        }
    })
}

/// Loads the configuration, and the operator's file validated against it.
pub(crate) fn load(site: Option<&Path>) -> Result<(Config, Site), StartError> {
    let config = Config::load()?;
    let site = match site {
        Some(path) => Site::load(path, Some((&config.gateway.classes, &config.gateway.settings)))?,
        None => Site::default(),
    };
    Ok((config, site))
}

/// Shares the ids of clients' requests with the other processes of the node that listens on this address.
fn share_request_ids(gateway: &Gateway, listen: SocketAddr) {
    // Without a directory for such files, no other process takes over from this one either.
    let Some(path) = runtime_path(listen, REQUEST_IDS) else { return };
    match IdTable::open(&path, gateway.clock) {
        Ok(table) => gateway.process.request_ids.share(table),
        Err(error) => tracing::warn!("request ids are not shared with other processes of the node: {error}"),
    }
}

/// Opens a listening socket on the address.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    bind(address)?.listen(LISTEN_BACKLOG).map_err(|error| StartError::Listen { address, error })
}

/// Creates a socket that is bound to the address and does not listen yet.
fn bind(address: SocketAddr) -> Result<TcpSocket, StartError> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // A restarted node must not wait for its former connections to leave TIME_WAIT.
        socket.set_reuseaddr(true)?;
        // Another process of this node may still listen there without knowing of this one.
        socket.set_reuseport(true)?;
        socket.bind(address)?;
        Ok(socket)
    };
    open().map_err(|error| StartError::Listen { address, error })
}

/// Runs a standalone node or a forwarder until SIGTERM.
async fn run(site: Option<&Path>, role: Role) -> Result<(), StartError> {
    // First of all: without a handler, either signal ends the process.
    let mut terminate = Signal::terminate()?;
    let hangup = Signal::hangup()?;
    let (mut config, site) = load(site)?;
    let forwarder_role = match role {
        Role::Forwarder => Some(ForwarderRole::new(&site)?),
        Role::Standalone | Role::Planner => None,
    };
    config.gateway.max_connections_per_server = site.max_connections;
    let (push, has_cached_list) = (
        !config.gateway.settings.must_subscribe,
        config.cached_list.as_ref().is_some_and(|list| !list.hosts.is_empty()),
    );
    let (list_requests, list_request_receiver) = mpsc::unbounded_channel();
    let gateway = Gateway::new(config.gateway.clone(), list_requests)?;
    if let Some(shift) = &site.shift {
        crate::shift::start(&gateway, &config, shift)?;
    }
    let discovery = watch::Sender::new(config.discovery);
    let management = config.management.map(listen).transpose()?;
    share_request_ids(&gateway, config.listen);
    let ledger = BanLedger::for_listener(config.listen);
    let mut predecessor = PredecessorReply::request(config.listen).await;
    // Read after the claim: bans made in between are in the file or are sent to this process.
    ledger.load(&gateway);
    gateway.merge_bans(predecessor.take_ban_updates());
    let lists = Rc::new(ListExchange::default());
    predecessor.server_list().iter().for_each(|list| lists.adopt(list));
    let member = match &site.fleet {
        Some(fleet) => {
            Some(crate::fleet::start(&gateway, fleet, config.gateway.settings.peers, config.listen)?)
        }
        None => None,
    };
    let mut open_listener = |kind, address| {
        let inherited = predecessor.listeners(kind, address);
        Ok::<_, StartError>(match predecessor {
            _ if !inherited.is_empty() => ClientListener::Listening(inherited),
            PredecessorReply::Silent(..) => ClientListener::Bound(bind(address)?, address),
            PredecessorReply::None | PredecessorReply::Offered(..) => {
                ClientListener::Listening(vec![listen(address)?])
            }
        })
    };
    let mut listeners = vec![(SocketKind::Http, open_listener(SocketKind::Http, config.listen)?)];
    let mut front = None;
    if let Some(thrift) = &site.thrift {
        listeners.push((SocketKind::Thrift, open_listener(SocketKind::Thrift, thrift.listen)?));
        front = Some(Front::new(gateway.clone(), thrift.front.clone()));
    }
    let takeover = Takeover::new(config.gateway.max_descriptors, ledger.clone(), lists.clone());
    if let Some(member) = &member {
        let takeover = takeover.clone();
        member.on_ban(move |record| {
            let takeover = takeover.clone();
            spawn_local(async move { takeover.send_ban_update(record).await });
        });
    }
    let standalone_watcher = || {
        let heartbeat_gateway = gateway.clone();
        let sink = source::gateway_sink(&gateway, member.clone());
        Watcher::sharing(sink, &config, &site, discovery.subscribe(), lists.clone())
            .with_heartbeats(Box::new(move || heartbeat_gateway.record_discovery_contact()))
    };
    let routing = forwarder_role.as_ref().and_then(|role| role.start_service_routing(&gateway, &site));
    // A node that routes by services is ready without a list: each request waits for that of its service.
    let ready_without_discovery = has_cached_list || lists.version().is_some() || routing.is_some();
    match forwarder_role {
        Some(_) if routing.is_some() => {}
        Some(role) => role.start(&gateway, &config, &site, discovery.subscribe(), lists.clone()),
        None if push => drop(spawn_local(standalone_watcher().follow())),
        None => drop(spawn_local(standalone_watcher().serve_calls(list_request_receiver))),
    }
    spawn_local(gateway.clone().run_timers());
    let clients = Clients::routed(gateway.clone(), routing);
    let evict_client: EvictClient = {
        let (clients, front) = (clients.clone(), front.clone());
        Rc::new(move |demand| {
            let evict_on_any_protocol =
                |demand| clients.make_room(demand) || front.as_ref().is_some_and(|f| f.make_room(demand));
            // Connections that are cheap to close, of either protocol, are closed first.
            let _ = evict_on_any_protocol(SlotDemand::Upcoming)
                || demand != SlotDemand::Upcoming && evict_on_any_protocol(demand);
        })
    };
    let accept_clients: AcceptFn = {
        let (gateway, clients, front) = (gateway.clone(), clients.clone(), front.clone());
        let accept_state = takeover.gate();
        Box::new(move |kind, listener| {
            let (budget, evict_client, accept_state) =
                (gateway.budget.clone(), evict_client.clone(), accept_state.clone());
            match (kind, &front) {
                (SocketKind::Thrift, Some(front)) => {
                    spawn_local(accept(front.clone(), budget, evict_client, listener, accept_state))
                }
                _ => spawn_local(accept(clients.clone(), budget, evict_client, listener, accept_state)),
            }
        })
    };
    let ready_gateway = gateway.clone();
    spawn_local(async move {
        tokio::time::sleep(CACHED_LIST_READY_DELAY).await;
        if ready_without_discovery {
            ready_gateway.set_ready();
        }
    });
    if let Some(listener) = management {
        spawn_local(
            ManagementServer::new(gateway.clone(), takeover.clone(), ledger.clone(), member).accept(listener),
        );
    }
    let serving = takeover.clone().serve(
        gateway.clone(),
        clients.clone(),
        accept_clients,
        listeners,
        predecessor,
        config.listen,
    );
    spawn_local(serving);
    spawn_local(sweep(gateway.clone(), clients.clone(), front.clone()));
    spawn_local(reload(config, discovery, hangup));

    terminate.recv().await;
    let terminated_at = Instant::now();
    let kill_delay = kill_delay(&gateway);
    gateway.set_shutdown_deadline(gateway.clock.now() + (kill_delay - FINAL_ANSWER_MARGIN).as_nanos() as u64);
    // A new process is handed the clients' connections as they become idle, once it accepts clients; clients whose
    // connections remain are asked to reconnect.
    let handing_over =
        || takeover.has_successor() && (clients.open_connections() > 0 || !takeover.successor_serves());
    while terminated_at.elapsed() < NEW_PROCESS_WAIT
        || handing_over() && terminated_at.elapsed() < kill_delay - CLOSE_BUSY_MARGIN
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    gateway.process.draining.set(true);
    if !takeover.successor_serves() {
        takeover.return_to_predecessor().await;
        tokio::time::sleep(ACCEPT_LINGER).await;
        takeover.stop_accepting().await;
    }
    // Closing an idle connection may race with its next request: if a new process accepts clients, it is handed the
    // connection instead.
    let open_http =
        || if takeover.successor_serves() { clients.open_connections() } else { clients.close_idle() };
    let open_connections = || open_http() + front.as_ref().map_or(0, |f| f.close_idle());
    while open_connections() > 0 && terminated_at.elapsed() < kill_delay + EXIT_MARGIN {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    ledger.flush(kill_delay.saturating_sub(terminated_at.elapsed())).await;
    Ok(())
}

/// Reloads the configuration on SIGHUP. Settings that can change at run time are applied; a file that cannot be
/// read, or is only partly written, is retried a few times and otherwise changes nothing.
pub(crate) async fn reload(mut old: Config, discovery: watch::Sender<SocketAddr>, mut hangup: Signal) {
    // Its list has been published and is outdated by now.
    old.cached_list = None;
    loop {
        hangup.recv().await;
        for attempt in 0..RELOAD_ATTEMPTS {
            match Config::load() {
                Ok(config) => {
                    reconfigure(&old, &config, &discovery);
                    break;
                }
                Err(error) if attempt == 0 => tracing::warn!("reload: {error}"),
                Err(_) => {}
            }
            tokio::time::sleep(RELOAD_RETRY_INTERVAL).await;
        }
    }
}

/// Applies what a new configuration may change without a restart: the address of discovery.
fn reconfigure(old: &Config, new: &Config, discovery: &watch::Sender<SocketAddr>) {
    discovery.send_if_modified(|address| std::mem::replace(address, new.discovery) != new.discovery);
    if new.gateway.settings != old.gateway.settings || new.listen != old.listen {
        tracing::warn!("reload: the new settings take effect after a restart");
    }
}

/// Periodically closes connections that have been idle or stalled for too long.
async fn sweep(gateway: Rc<Gateway>, clients: Rc<Clients>, front: Option<Rc<Front>>) {
    loop {
        running::sleep(SWEEP_INTERVAL).await;
        gateway.tick_running_time();
        clients.sweep();
        front.iter().for_each(|front| front.sweep());
        gateway.sweep_idle_connections();
    }
}
