//! This process's part in takeovers: it takes over from the old process at its start and later hands over to a new one.

use super::link::{bind, runtime_path, IdleQueue, Link, LinkError, RequestListener, SOCKET};
use super::lists::ListExchange;
use super::predecessor::{receive_offer, Offer, PartialOffer, PredecessorReply};
use super::reuseport;
use crate::discovery::Host;
use crate::ledger::BanLedger;
use laurelroute_core::accept::AcceptState;
use laurelroute_core::gateway::Gateway;
use laurelroute_handover::bans::BanRecord;
use laurelroute_handover::message::{
    LearnedStateChunk, Message, SocketKind, MAX_PACKET_DESCRIPTORS, VERSION,
};
use laurelroute_handover::server_list::ServerListUpdate;
use laurelroute_handover::share;
use laurelroute_handover::states::{Effect, NewProcess, OldProcess, HEARTBEAT_INTERVAL};
use laurelroute_http::front::Clients;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::timeout;

/// Interval at which the old process checks for idle connections, released descriptors and the new process.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Delay before creating the socket file is retried: the folder may be full or missing for a while.
const BIND_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Ban updates that await the other process's acknowledgement; with more, the oldest call is answered without it.
const MAX_PENDING_ACKS: usize = 64;

/// How connections of one kind are accepted.
pub(crate) enum ClientListener {
    /// On sockets that already listen.
    Listening(Vec<TcpListener>),
    /// On a bound socket that listens only once this process serves: until then all connections go to the old
    /// process, which has not answered.
    Bound(TcpSocket, SocketAddr),
}

/// Starts accepting connections of this kind on a listening socket.
pub(crate) type AcceptFn = Box<dyn Fn(SocketKind, Rc<TcpListener>) -> JoinHandle<()>>;

/// This process's part in takeovers of the address: it may have an old process before it, a new one after it, both or
/// neither.
pub(crate) struct Takeover {
    /// Whether new connections are accepted.
    gate: watch::Sender<AcceptState>,
    clients: RefCell<Option<Rc<Clients>>>,
    accept: RefCell<Option<AcceptFn>>,
    listeners: RefCell<Vec<(SocketKind, Rc<TcpListener>)>>,
    accept_tasks: RefCell<Vec<JoinHandle<()>>>,
    /// Queue for idle clients, while there is a new process that sends heartbeats.
    idle_queue: RefCell<Option<IdleQueue>>,
    /// State of this process's role as the old process of the next takeover.
    old_role: RefCell<OldProcess>,
    /// The connection to the old process, if that accepts again when this one is told to end.
    predecessor: RefCell<Option<Rc<Link>>>,
    /// Connections to the node's other processes.
    links: RefCell<Vec<Rc<Link>>>,
    /// Number of the next batch of ban updates.
    next_batch: Cell<u64>,
    /// Batches of ban updates that the other process has not acknowledged yet.
    pending_acks: RefCell<VecDeque<u64>>,
    /// Notified when a batch is acknowledged or no longer awaited.
    ack_received: Notify,
    /// Number of descriptors that the node may hold.
    descriptor_limit: usize,
    ledger: Rc<BanLedger>,
    /// The server list that the node's processes share.
    lists: Rc<ListExchange>,
}

impl Takeover {
    pub(crate) fn new(
        descriptor_limit: usize,
        ledger: Rc<BanLedger>,
        lists: Rc<ListExchange>,
    ) -> Rc<Takeover> {
        Rc::new(Takeover {
            gate: watch::Sender::new(AcceptState::Paused),
            clients: RefCell::default(),
            accept: RefCell::default(),
            listeners: RefCell::default(),
            accept_tasks: RefCell::default(),
            idle_queue: RefCell::default(),
            old_role: RefCell::new(OldProcess::new(descriptor_limit)),
            predecessor: RefCell::default(),
            links: RefCell::default(),
            next_batch: Cell::new(1),
            pending_acks: RefCell::default(),
            ack_received: Notify::new(),
            descriptor_limit,
            ledger,
            lists,
        })
    }

    /// Whether new connections are accepted, for the accept loops.
    pub(crate) fn gate(&self) -> watch::Receiver<AcceptState> {
        self.gate.subscribe()
    }

    /// Whether this process accepts clients and is ready to serve them.
    pub(crate) fn is_serving(&self, gateway: &Gateway) -> bool {
        gateway.ready.get() && !gateway.is_draining() && *self.gate.borrow() == AcceptState::Accepting
    }

    /// Whether a new process is connected, serving or not.
    pub(crate) fn has_successor(&self) -> bool {
        !self.old_role.borrow().is_alone()
    }

    /// Whether the new process accepts all new connections.
    pub(crate) fn successor_serves(&self) -> bool {
        let old_role = self.old_role.borrow();
        old_role.has_yielded() && !old_role.in_fallback()
    }

    /// Has the old process, if it still runs, accept clients again: this one is told to end.
    pub(crate) async fn return_to_predecessor(&self) {
        let predecessor = self.predecessor.borrow().clone();
        if let Some(link) = predecessor {
            if let Err(error) = link.send(&Message::Ending, &[]).await {
                tracing::warn!("takeover: the old process is not told to accept again: {error}");
            }
        }
    }

    /// Stops accepting: connections in the backlog are still accepted unless the new process accepts them. Returns
    /// when that is done.
    pub(crate) async fn stop_accepting(&self) {
        if self.successor_serves() {
            return;
        }
        self.gate.send_replace(AcceptState::Closed);
        let accept_tasks = std::mem::take(&mut *self.accept_tasks.borrow_mut());
        for task in accept_tasks {
            let _ = task.await;
        }
    }

    /// Accepts connections on this socket too, whenever the gate is open.
    fn add_listener(&self, kind: SocketKind, listener: TcpListener) {
        let listener = Rc::new(listener);
        if let Some(accept) = &*self.accept.borrow() {
            self.accept_tasks.borrow_mut().push(accept(kind, listener.clone()));
            self.listeners.borrow_mut().push((kind, listener));
        }
    }

    /// Listens on the sockets that were only bound so far and has the kernel route all new connections here.
    fn listen_on_bound(&self, bound: Vec<(SocketKind, TcpSocket, SocketAddr)>) {
        for (kind, socket, address) in bound {
            match socket.listen(crate::run::LISTEN_BACKLOG) {
                Ok(listener) => {
                    if let Err(error) = reuseport::route_to_newest(&listener, address) {
                        tracing::warn!("takeover: new connections go to both processes: {error}");
                    }
                    self.add_listener(kind, listener);
                }
                Err(error) => tracing::error!("takeover: cannot listen on {address}: {error}"),
            }
        }
    }

    /// Starts serving on these listeners: at once, or once there is a list if an old process serves. From then on a
    /// new process may take over from this one.
    pub(crate) async fn serve(
        self: Rc<Self>,
        gateway: Rc<Gateway>,
        clients: Rc<Clients>,
        accept: AcceptFn,
        client_listeners: Vec<(SocketKind, ClientListener)>,
        predecessor: PredecessorReply,
        listen: SocketAddr,
    ) {
        *self.clients.borrow_mut() = Some(clients);
        *self.accept.borrow_mut() = Some(accept);
        let mut bound = Vec::new();
        for (kind, client_listener) in client_listeners {
            match client_listener {
                ClientListener::Listening(listeners) => {
                    listeners.into_iter().for_each(|l| self.add_listener(kind, l))
                }
                ClientListener::Bound(socket, address) => bound.push((kind, socket, address)),
            }
        }
        match predecessor {
            PredecessorReply::None => {
                self.gate.send_replace(AcceptState::Accepting);
            }
            PredecessorReply::Offered(link, offer) => self.take_over(&gateway, link, offer).await,
            PredecessorReply::Silent(link, state) => {
                // Keeps both processes within the limit even before the old process has reported what it holds.
                let held = link.peer_pid().and_then(open_descriptors);
                gateway.set_descriptor_limit(share::new_beside_silent(self.descriptor_limit, held));
                gateway.process.request_ids.set_accompanied(true);
                spawn_local(self.clone().await_offer(gateway.clone(), link, state));
                gateway.wait_ready().await;
                self.listen_on_bound(bound);
                self.gate.send_replace(AcceptState::Accepting);
            }
        }
        let Some(path) = runtime_path(listen, SOCKET) else { return };
        // Bound again after a new process that has bound the path itself, to await the next takeover, has ended.
        loop {
            match bind(&path) {
                Ok(listener) => self.serve_successors(&gateway, &listener).await,
                Err(error) => {
                    tracing::warn!("takeover: no other process can take over from this one: {error}");
                    tokio::time::sleep(BIND_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Applies the old process's offer and reports this process ready once there is a list.
    async fn take_over(self: &Rc<Self>, gateway: &Rc<Gateway>, link: Link, mut offer: Offer) {
        let (new_role, effects) =
            NewProcess::new(self.descriptor_limit, offer.quota, offer.sends_heartbeats, gateway.clock.now());
        let idle_queue = offer.idle_queue();
        let link = Rc::new(link);
        self.apply_effects(gateway, &link, effects);
        self.add_link(gateway, &link);
        if offer.resumes {
            self.predecessor.replace(Some(link.clone()));
        }
        if offer.shares_lists {
            self.share_lists_with_predecessor(&link, offer.state.server_list.take());
        }
        spawn_local(self.clone().follow_predecessor(gateway.clone(), link.clone(), idle_queue, new_role));
        gateway.wait_ready().await;
        // After the list has arrived: learned state is applied only to listed servers.
        gateway.import_learned(offer.state.learned_state);
        self.gate.send_replace(AcceptState::Accepting);
        let _ = link.send(&Message::Ready, &[]).await;
    }

    /// Begins to share the server list with the old process, which has sent this one.
    fn share_lists_with_predecessor(&self, link: &Rc<Link>, received: Option<ServerListUpdate<Host>>) {
        let peer = self.lists.open(link);
        if let Some(update) = received {
            self.lists.apply(&peer, update);
        }
        peer.start(&self.lists, std::future::ready(Ok(())));
    }

    /// Waits for an old process that did not answer when this one started. When it runs again, what it knows counts at
    /// once, its listening sockets are served and it hands over as usual.
    async fn await_offer(self: Rc<Self>, gateway: Rc<Gateway>, link: Link, state: PartialOffer) {
        match receive_offer(&link, state).await {
            Ok(mut offer) => {
                tracing::info!("takeover: the old process has answered now");
                gateway.merge_bans(std::mem::take(&mut offer.state.ban_records));
                offer.state.server_list.iter().for_each(|list| self.lists.adopt(list));
                // This process's own sockets listen from then on.
                let _ = self.gate.subscribe().wait_for(|state| *state != AcceptState::Paused).await;
                let addresses: Vec<_> = {
                    let listeners = self.listeners.borrow();
                    listeners
                        .iter()
                        .filter_map(|(kind, listener)| Some((*kind, listener.local_addr().ok()?)))
                        .collect()
                };
                for (kind, address) in addresses {
                    offer.listeners(kind, address).into_iter().for_each(|l| self.add_listener(kind, l));
                }
                self.take_over(&gateway, link, offer).await;
            }
            Err(error) => {
                tracing::info!("takeover: {error}: this process now has the node's full descriptor limit");
                gateway.set_descriptor_limit(self.descriptor_limit);
                gateway.process.request_ids.set_accompanied(!self.links.borrow().is_empty());
            }
        }
    }

    /// Follows the old process until it ends and takes the idle clients that it queues; returns when none is left.
    async fn follow_predecessor(
        self: Rc<Self>,
        gateway: Rc<Gateway>,
        link: Rc<Link>,
        mut idle_queue: Option<Link>,
        mut new_role: NewProcess,
    ) {
        let mut heartbeat = tokio::time::interval(Duration::from_nanos(HEARTBEAT_INTERVAL));
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                packet = link.receive() => match packet {
                    Ok((Message::Client { protocol: SocketKind::Http, used }, descriptors)) => {
                        let effects = new_role.connections_received(self.take_clients(descriptors, used));
                        self.apply_effects(&gateway, &link, effects);
                    }
                    Ok((Message::ServerList(fragment), _)) => self.lists.receive(&link, fragment),
                    Ok((message, _)) => {
                        let effects = new_role.handle(message, gateway.clock.now(), gateway.budget.descriptors_in_use());
                        self.apply_effects(&gateway, &link, effects);
                    }
                    Err(error) => {
                        tracing::info!("takeover: {error}: this process now has the node's full descriptor limit");
                        break;
                    }
                },
                received = receive_idle_client(idle_queue.as_ref()) => match received {
                    Ok((client, connections)) => {
                        let effects = new_role.connections_received(self.take_clients(connections, client.used()));
                        self.apply_effects(&gateway, &link, effects);
                    }
                    Err(_) => idle_queue = None,
                },
                _ = heartbeat.tick() => {
                    let effects = new_role.tick(gateway.clock.now(), gateway.budget.descriptors_in_use());
                    self.apply_effects(&gateway, &link, effects);
                }
            }
        }
        self.predecessor.replace(None);
        self.apply_effects(&gateway, &link, new_role.peer_lost());
        self.drop_link(&gateway, &link);
        let Some(idle_queue) = idle_queue else { return };
        while let Ok((client, connections)) = idle_queue.receive().await {
            self.take_clients(connections, client.used());
        }
    }

    /// Serves these clients' connections, which have carried requests or not; returns their number.
    fn take_clients(&self, connections: Vec<OwnedFd>, used: bool) -> usize {
        let count = connections.len();
        connections.into_iter().for_each(|connection| self.take_client(connection, used));
        count
    }

    /// Serves a client's connection.
    fn take_client(&self, connection: OwnedFd, used: bool) {
        let stream = TcpStream::from_std(std::net::TcpStream::from(connection));
        if let (Ok(stream), Some(clients)) = (stream, &*self.clients.borrow()) {
            clients.resume(stream, used);
        }
    }

    /// Serves new processes one after the other, until the path belongs to another process and none is waiting here: one
    /// that starts while another one has not ended yet gets its answer as soon as that has.
    async fn serve_successors(&self, gateway: &Rc<Gateway>, requests: &RequestListener) {
        let mut next = requests.listener.accept().await;
        loop {
            match next.and_then(|(stream, _)| Link::new(stream.into_std()?.into())) {
                Ok(link) => self.serve_successor(gateway, &Rc::new(link)).await,
                Err(_) => tokio::time::sleep(TICK_INTERVAL).await,
            }
            let waiting = timeout(Duration::ZERO, requests.listener.accept()).await;
            next = match waiting {
                Ok(waiting) => waiting,
                Err(_) if requests.owns_path() => requests.listener.accept().await,
                Err(_) => return,
            };
        }
    }

    /// Serves one new process from its connection to its end.
    async fn serve_successor(&self, gateway: &Rc<Gateway>, link: &Rc<Link>) {
        self.add_link(gateway, link);
        let error = self.follow_successor(gateway, link).await;
        tracing::info!("takeover: {error}");
        self.drop_link(gateway, link);
        if !gateway.is_draining() {
            let effects = self.old_role.borrow_mut().peer_lost();
            self.apply_effects(gateway, link, effects);
        }
        *self.idle_queue.borrow_mut() = None;
    }

    /// Exchanges messages with the new process and hands idle clients over until the link ends.
    async fn follow_successor(&self, gateway: &Rc<Gateway>, link: &Rc<Link>) -> LinkError {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                packet = link.receive() => match packet {
                    Ok((Message::ServerList(fragment), _)) => self.lists.receive(link, fragment),
                    Ok((message, _)) => {
                        let effects = self.old_role.borrow_mut().handle(message, gateway.budget.descriptors_in_use());
                        self.apply_effects(gateway, link, effects);
                    }
                    Err(error) => return error,
                },
                _ = tick.tick(), if !self.old_role.borrow().is_alone() => {
                    let was_in_fallback = self.old_role.borrow().in_fallback();
                    let effects = self.old_role.borrow_mut().tick(gateway.clock.now(), gateway.budget.descriptors_in_use());
                    self.apply_effects(gateway, link, effects);
                    if !was_in_fallback && self.old_role.borrow().in_fallback() {
                        tracing::warn!("takeover: the new process does not respond; this one accepts connections as well");
                    }
                    if self.successor_serves() {
                        self.hand_over(gateway, link);
                    }
                }
                _ = self.client_idle(), if self.successor_serves() => {
                    self.hand_over(gateway, link);
                    // Lets the connections handed over be closed here before more of them are.
                    tokio::task::yield_now().await;
                }
            }
        }
    }

    /// Waits until a client's connection becomes idle.
    async fn client_idle(&self) {
        let clients = self.clients.borrow().clone();
        match clients {
            Some(clients) => clients.connection_idle().await,
            None => std::future::pending().await,
        }
    }

    /// Hands idle clients over to the new process.
    fn hand_over(&self, gateway: &Rc<Gateway>, link: &Rc<Link>) {
        let (clients, idle_queue) = (self.clients.borrow(), self.idle_queue.borrow());
        let Some(clients) = &*clients else { return };
        let handed_over = clients.hand_over(|connection, used| {
            let client = Message::Client { protocol: SocketKind::Http, used };
            match &*idle_queue {
                Some(queue) => queue.push(&client, connection),
                None => link.try_send(&client, &[connection]).unwrap_or(false),
            }
        });
        if handed_over > 0 {
            let effects = self.old_role.borrow_mut().connections_given(handed_over);
            self.apply_effects(gateway, link, effects);
        }
    }

    /// Carries out the state machines' effects in order.
    fn apply_effects(&self, gateway: &Rc<Gateway>, link: &Rc<Link>, effects: Vec<Effect>) {
        effects.into_iter().for_each(|effect| self.apply_effect(gateway, link, effect));
    }

    /// Carries out one effect.
    fn apply_effect(&self, gateway: &Rc<Gateway>, link: &Rc<Link>, effect: Effect) {
        match effect {
            Effect::Send(message) => self.send_or_queue(link, message),
            Effect::Offer(quota) => self.send_offer(gateway, link, quota),
            Effect::Accept(open) => {
                let target = if open { AcceptState::Accepting } else { AcceptState::Paused };
                // A shut gate stays shut: this process is about to end.
                let changed = |gate: &mut AcceptState| {
                    *gate != AcceptState::Closed && std::mem::replace(gate, target) != target
                };
                self.gate.send_if_modified(changed);
            }
            Effect::SetQuota(quota) => gateway.set_descriptor_limit(quota),
            Effect::Reclaim => {
                let clients = self.idle_queue.borrow().as_ref().map_or_else(Vec::new, IdleQueue::reclaim);
                let count = clients.iter().map(|(_, connections)| connections.len()).sum();
                let effects = self.old_role.borrow_mut().connections_reclaimed(count);
                self.apply_effects(gateway, link, effects);
                for (client, connections) in clients {
                    self.take_clients(connections, client.used());
                }
            }
            Effect::MergeBans(batch, records) => {
                gateway.merge_bans(records);
                let (gateway, link, ledger) = (gateway.clone(), link.clone(), self.ledger.clone());
                spawn_local(async move {
                    if let Err(error) = ledger.persist(&gateway).await {
                        tracing::warn!("takeover: received bans cannot be stored: {error}");
                    }
                    let _ = link.send(&Message::BansAck { batch }, &[]).await;
                });
            }
            Effect::BansAcked(acked) => {
                self.pending_acks.borrow_mut().retain(|batch| *batch != acked);
                self.ack_received.notify_waiters();
            }
            Effect::RejectPeer => {
                tracing::warn!("takeover: the other process uses an unsupported protocol version")
            }
        }
    }

    /// Sends the new process what it needs, the listening sockets last. With many servers this exceeds the socket's
    /// buffer and is sent as the new process reads.
    fn send_offer(&self, gateway: &Rc<Gateway>, link: &Rc<Link>, quota: usize) {
        let records = gateway.fleet(|f| f.bans.records().cloned().collect());
        let chunks = LearnedStateChunk::split(&gateway.export_learned());
        let state: Vec<_> =
            Message::ban_batches(0, records).chain(chunks.into_iter().map(Message::LearnedState)).collect();
        let (link, listeners) = (link.clone(), self.listeners.borrow().clone());
        let sends_heartbeats = self.old_role.borrow().peer_sends_heartbeats();
        let shares_lists = self.old_role.borrow().peer_shares_lists();
        let idle_queue = sends_heartbeats.then(IdleQueue::new).and_then(|queue| {
            queue
                .inspect_err(|error| {
                    tracing::warn!("takeover: passing clients over the link instead of a queue: {error}")
                })
                .ok()
        });
        let receiver = idle_queue.as_ref().and_then(|queue| queue.receiver.try_clone().ok());
        *self.idle_queue.borrow_mut() = idle_queue.filter(|_| receiver.is_some());
        let lists = self.lists.clone();
        let peer = shares_lists.then(|| lists.open(&link));
        let offer = {
            let peer = peer.clone();
            async move {
                for message in &state {
                    link.send(message, &[]).await?;
                }
                // Ahead of the sockets: the new process starts with this list.
                if let Some(peer) = peer {
                    peer.send_pending(&lists).await?;
                }
                let newest_listeners = listeners.iter().rev().take(MAX_PACKET_DESCRIPTORS - 1).rev();
                let (mut kinds, mut descriptors): (Vec<_>, Vec<_>) =
                    newest_listeners.map(|(kind, listener)| (*kind, listener.as_fd())).unzip();
                if let Some(receiver) = &receiver {
                    kinds.push(SocketKind::IdleQueue);
                    descriptors.push(receiver.as_fd());
                }
                let offer = Message::Offer {
                    version: VERSION,
                    sockets: kinds,
                    quota,
                    sends_heartbeats,
                    shares_lists,
                    resumes: true,
                };
                link.send(&offer, &descriptors).await
            }
        };
        match peer {
            Some(peer) => peer.start(&self.lists, offer),
            None => drop(spawn_local(async move {
                if let Err(error) = offer.await {
                    tracing::warn!("takeover: the offer cannot be sent: {error}");
                }
            })),
        }
    }

    /// Sends a packet, or queues it until the socket has room.
    fn send_or_queue(&self, link: &Rc<Link>, message: Message) {
        match link.try_send(&message, &[]) {
            Ok(true) => {}
            Ok(false) => {
                let link = link.clone();
                spawn_local(async move { link.send(&message, &[]).await });
            }
            Err(error) => tracing::warn!("takeover: {error}"),
        }
    }

    /// Sends a ban update to the node's other process and waits for the acknowledgement. Returns at once where there
    /// is none.
    pub(crate) async fn send_ban_update(&self, record: BanRecord) {
        let links = self.links.borrow().clone();
        for link in links {
            let batch = self.next_batch.get();
            self.next_batch.set(batch + 1);
            {
                let mut pending = self.pending_acks.borrow_mut();
                pending.push_back(batch);
                let excess = pending.len().saturating_sub(MAX_PENDING_ACKS);
                pending.drain(..excess);
            }
            self.send_or_queue(&link, Message::Bans { batch, records: vec![record.clone()] });
            loop {
                let acked = self.ack_received.notified();
                if !self.pending_acks.borrow().contains(&batch) {
                    break;
                }
                acked.await;
            }
        }
    }

    /// Adds a link to another process of the node.
    fn add_link(&self, gateway: &Gateway, link: &Rc<Link>) {
        self.links.borrow_mut().push(link.clone());
        gateway.process.request_ids.set_accompanied(true);
    }

    /// Forgets a link that has ended.
    fn drop_link(&self, gateway: &Gateway, link: &Rc<Link>) {
        self.lists.close(link);
        let mut links = self.links.borrow_mut();
        links.retain(|l| !Rc::ptr_eq(l, link));
        gateway.process.request_ids.set_accompanied(!links.is_empty());
        // No acknowledgement can arrive any more.
        self.pending_acks.borrow_mut().clear();
        self.ack_received.notify_waiters();
    }
}

/// Receives the next idle client from the old process's queue; never returns where there is no queue.
async fn receive_idle_client(queue: Option<&Link>) -> Result<(Message, Vec<OwnedFd>), LinkError> {
    match queue {
        Some(queue) => queue.receive().await,
        None => std::future::pending().await,
    }
}

/// Number of descriptors that another process of this user holds; `None` where the kernel does not report it.
fn open_descriptors(pid: u32) -> Option<usize> {
    std::fs::read_dir(format!("/proc/{pid}/fd")).ok().map(Iterator::count)
}
