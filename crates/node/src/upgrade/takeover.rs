//! This process's place between the one that it takes over from and the one that takes over from it.

use super::predecessor::{offer, PredecessorReply, Offer};
use super::link::{bind, runtime_path, Link, LinkError, Rest, SOCKET};
use super::reuseport;
use crate::ledger::BanLedger;
use laurelroute_core::accept::Gate;
use laurelroute_core::gateway::Gateway;
use laurelroute_handover::bans::Word;
use laurelroute_handover::message::{Door, Lesson, Message, MOST_DESCRIPTORS, VERSION};
use laurelroute_handover::share;
use laurelroute_handover::states::{Effect, Elder, Heir, BEAT};
use laurelroute_http::front::Clients;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UnixListener};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, JoinHandle};

/// How often the elder looks for connections at rest, for descriptors that it no longer holds, and for its heir.
const TICK: Duration = Duration::from_millis(5);
/// The folder may be full or gone for a while.
const BIND_AGAIN: Duration = Duration::from_secs(5);
/// Words that wait for the other process; beyond it the oldest call is answered without its word.
const MOST_WAITING: usize = 64;

/// How clients come in by one door.
pub(crate) enum ClientListener {
    /// By sockets that listen already.
    Open(Vec<TcpListener>),
    /// By one that will listen once this process serves: until then all connections go to the process that has not
    /// answered.
    Bound(TcpSocket, SocketAddr),
}

/// Starts to accept by a listening socket of a door.
pub(crate) type AcceptFn = Box<dyn Fn(Door, Rc<TcpListener>) -> JoinHandle<()>>;

/// This process's place in the line of those that serve at the address: after an elder, before an heir, both or none.
pub(crate) struct Takeover {
    gate: watch::Sender<Gate>,
    clients: RefCell<Option<Rc<Clients>>>,
    take: RefCell<Option<AcceptFn>>,
    listeners: RefCell<Vec<(Door, Rc<TcpListener>)>>,
    accepting: RefCell<Vec<JoinHandle<()>>>,
    /// For clients at rest, while an heir that beats is there.
    rest: RefCell<Option<Rest>>,
    elder: RefCell<Elder>,
    links: RefCell<Vec<Rc<Link>>>,
    marks: Cell<u64>,
    /// Words of which the other process has not said yet that it has them.
    waiting: RefCell<VecDeque<u64>>,
    noted: Notify,
    sockets: usize,
    ledger: Rc<BanLedger>,
}

impl Takeover {
    pub(crate) fn new(sockets: usize, ledger: Rc<BanLedger>) -> Rc<Takeover> {
        Rc::new(Takeover {
            gate: watch::Sender::new(Gate::Held),
            clients: RefCell::default(),
            take: RefCell::default(),
            listeners: RefCell::default(),
            accepting: RefCell::default(),
            rest: RefCell::default(),
            elder: RefCell::new(Elder::new(sockets)),
            links: RefCell::default(),
            marks: Cell::new(1),
            waiting: RefCell::default(),
            noted: Notify::new(),
            sockets,
            ledger,
        })
    }

    /// Whether clients are accepted, for those who accept.
    pub(crate) fn gate(&self) -> watch::Receiver<Gate> {
        self.gate.subscribe()
    }

    /// Whether this process takes clients.
    pub(crate) fn is_serving(&self, gateway: &Gateway) -> bool {
        gateway.ready.get() && !gateway.leaving() && *self.gate.borrow() == Gate::Open
    }

    /// An heir is there, whether it takes clients by now or not.
    pub(crate) fn has_successor(&self) -> bool {
        !self.elder.borrow().alone()
    }

    /// An heir takes all new clients now.
    pub(crate) fn successor_serves(&self) -> bool {
        let elder = self.elder.borrow();
        elder.yielded() && !elder.covering()
    }

    /// No more clients: what waits is still taken, unless an heir takes it. Over once that has been done.
    pub(crate) async fn stop_accepting(&self) {
        if self.successor_serves() {
            return;
        }
        self.gate.send_replace(Gate::Shut);
        let accepting = std::mem::take(&mut *self.accepting.borrow_mut());
        for task in accepting {
            let _ = task.await;
        }
    }

    /// Takes clients by this socket too, whenever the gate is open.
    fn enter(&self, door: Door, listener: TcpListener) {
        let listener = Rc::new(listener);
        if let Some(take) = &*self.take.borrow() {
            self.accepting.borrow_mut().push(take(door, listener.clone()));
            self.listeners.borrow_mut().push((door, listener));
        }
    }

    /// Listens where only an address was kept so far, and has the kernel bring all new connections here.
    fn open_bound(&self, bound: Vec<(Door, TcpSocket, SocketAddr)>) {
        for (door, socket, address) in bound {
            match socket.listen(crate::run::LISTEN_BACKLOG) {
                Ok(listener) => {
                    if let Err(error) = reuseport::route_to_newest(&listener, address) {
                        tracing::warn!("takeover: connections go to both processes: {error}");
                    }
                    self.enter(door, listener);
                }
                Err(error) => tracing::error!("takeover: {address} cannot be listened at: {error}"),
            }
        }
    }

    /// Serves by these client_listeners: after a process that serves now once there is a list, else at once. From then on others
    /// may take over from this one.
    pub(crate) async fn serve(
        self: Rc<Self>,
        gateway: Rc<Gateway>,
        clients: Rc<Clients>,
        take: AcceptFn,
        client_listeners: Vec<(Door, ClientListener)>,
        claim: PredecessorReply,
        listen: SocketAddr,
    ) {
        *self.clients.borrow_mut() = Some(clients);
        *self.take.borrow_mut() = Some(take);
        let mut bound = Vec::new();
        for (door, client_listener) in client_listeners {
            match client_listener {
                ClientListener::Listening(listeners) => listeners.into_iter().for_each(|l| self.enter(door, l)),
                ClientListener::Bound(socket, address) => bound.push((door, socket, address)),
            }
        }
        match claim {
            PredecessorReply::None => {
                self.gate.send_replace(Gate::Open);
            }
            PredecessorReply::Offered(link, offer) => self.take_over(&gateway, link, offer).await,
            PredecessorReply::Silent(link) => {
                // Both keep within the limit also before the elder has said what it holds.
                let held = link.peer().and_then(descriptors);
                gateway.resize(share::beside(self.sockets, held));
                gateway.listed().await;
                self.open_bound(bound);
                self.gate.send_replace(Gate::Open);
                spawn_local(self.clone().await_offer(gateway.clone(), link));
            }
        }
        let Some(place) = runtime_path(listen, SOCKET) else { return };
        // Anew after each heir that has gone: it may have waited there for an heir of its own.
        loop {
            match bind(&place) {
                Ok(door) => self.await_heir(&gateway, door).await,
                Err(error) => {
                    tracing::warn!("nobody can take over from this process: {error}");
                    tokio::time::sleep(BIND_AGAIN).await;
                }
            }
        }
    }

    /// Has what the elder has offered, and says so once there is a list.
    async fn take_over(self: &Rc<Self>, gateway: &Rc<Gateway>, link: Link, mut offer: Offer) {
        let (heir, effects) = Heir::new(self.sockets, offer.part, offer.beats, gateway.clock.now());
        let rest = offer.rest();
        let link = Rc::new(link);
        self.carry_out(gateway, &link, effects);
        self.links.borrow_mut().push(link.clone());
        spawn_local(self.clone().follow_elder(gateway.clone(), link.clone(), rest, heir));
        gateway.listed().await;
        // Of the servers in the list, and no others.
        gateway.take_over(offer.learnt);
        self.gate.send_replace(Gate::Open);
        let _ = link.send(&Message::Ready, &[]).await;
    }

    /// An elder that said nothing when this process started runs again: its queues are served, and it hands over as ever.
    async fn await_offer(self: Rc<Self>, gateway: Rc<Gateway>, link: Link) {
        match offer(&link).await {
            Ok(mut offer) => {
                tracing::info!("takeover: the other process answers now");
                gateway.merge_bans(std::mem::take(&mut offer.words));
                let doors: Vec<_> = {
                    let listeners = self.listeners.borrow();
                    listeners.iter().filter_map(|(d, l)| Some((*d, l.local_addr().ok()?))).collect()
                };
                for (door, address) in doors {
                    offer.listeners(door, address).into_iter().for_each(|l| self.enter(door, l));
                }
                self.take_over(&gateway, link, offer).await;
            }
            Err(error) => {
                tracing::info!("takeover: {error}: this process has all that the node may hold");
                gateway.resize(self.sockets);
            }
        }
    }

    /// Follows an elder to its end, and picks up the clients at rest that it puts down; over once none is left.
    async fn follow_elder(
        self: Rc<Self>,
        gateway: Rc<Gateway>,
        link: Rc<Link>,
        mut rest: Option<Link>,
        mut heir: Heir,
    ) {
        let mut beat = tokio::time::interval(Duration::from_nanos(BEAT));
        beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                packet = link.receive() => match packet {
                    Ok((Message::Client { door: Door::Http, used }, descriptors)) => {
                        let effects = heir.pick_up(self.take_clients(descriptors, used));
                        self.carry_out(&gateway, &link, effects);
                    }
                    Ok((message, _)) => {
                        let effects = heir.hear(message, gateway.clock.now(), gateway.budget.held());
                        self.carry_out(&gateway, &link, effects);
                    }
                    Err(error) => {
                        tracing::info!("takeover: {error}: this process has all that the node may hold");
                        break;
                    }
                },
                picked = put_down(rest.as_ref()) => match picked {
                    Ok((client, connections)) => {
                        let effects = heir.pick_up(self.take_clients(connections, client.used()));
                        self.carry_out(&gateway, &link, effects);
                    }
                    Err(_) => rest = None,
                },
                _ = beat.tick() => {
                    let effects = heir.tick(gateway.clock.now(), gateway.budget.held());
                    self.carry_out(&gateway, &link, effects);
                }
            }
        }
        self.carry_out(&gateway, &link, heir.lost());
        self.drop_link(&link);
        let Some(rest) = rest else { return };
        while let Ok((client, connections)) = rest.receive().await {
            self.take_clients(connections, client.used());
        }
    }

    /// Takes these clients' connections, which have carried requests or not; how many.
    fn take_clients(&self, connections: Vec<OwnedFd>, used: bool) -> usize {
        let number = connections.len();
        connections.into_iter().for_each(|connection| self.take_client(connection, used));
        number
    }

    fn take_client(&self, connection: OwnedFd, used: bool) {
        let stream = TcpStream::from_std(std::net::TcpStream::from(connection));
        if let (Ok(stream), Some(clients)) = (stream, &*self.clients.borrow()) {
            clients.resume(stream, used);
        }
    }

    /// One heir from its coming to its going. A second one at the same time hears nothing, and shares the address without
    /// help.
    async fn await_heir(&self, gateway: &Rc<Gateway>, door: UnixListener) {
        let accepted = door.accept().await.and_then(|(stream, _)| Link::new(stream.into_std()?.into()));
        let Ok(link) = accepted.map(Rc::new) else { return tokio::time::sleep(TICK).await };
        self.links.borrow_mut().push(link.clone());
        let error = self.follow_heir(gateway, &link).await;
        tracing::info!("takeover: {error}");
        self.drop_link(&link);
        if !gateway.leaving() {
            let effects = self.elder.borrow_mut().lost();
            self.carry_out(gateway, &link, effects);
        }
        *self.rest.borrow_mut() = None;
    }

    async fn follow_heir(&self, gateway: &Rc<Gateway>, link: &Rc<Link>) -> LinkError {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                packet = link.receive() => match packet {
                    Ok((message, _)) => {
                        let effects = self.elder.borrow_mut().hear(message, gateway.budget.held());
                        self.carry_out(gateway, link, effects);
                    }
                    Err(error) => return error,
                },
                _ = tick.tick(), if !self.elder.borrow().alone() => {
                    let covering = self.elder.borrow().covering();
                    let effects = self.elder.borrow_mut().tick(gateway.clock.now(), gateway.budget.held());
                    self.carry_out(gateway, link, effects);
                    if !covering && self.elder.borrow().covering() {
                        tracing::warn!("takeover: the new process is silent; this one accepts beside it");
                    }
                    if self.successor_serves() {
                        self.hand_over(gateway, link);
                    }
                }
                _ = self.rested(), if self.successor_serves() => {
                    self.hand_over(gateway, link);
                    // What went is closed here before more of them go.
                    tokio::task::yield_now().await;
                }
            }
        }
    }

    /// A client's connection has come to rest.
    async fn rested(&self) {
        let clients = self.clients.borrow().clone();
        match clients {
            Some(clients) => clients.rested().await,
            None => std::future::pending().await,
        }
    }

    fn hand_over(&self, gateway: &Rc<Gateway>, link: &Rc<Link>) {
        let (clients, rest) = (self.clients.borrow(), self.rest.borrow());
        let Some(clients) = &*clients else { return };
        let given = clients.hand_over(|connection, used| {
            let client = Message::Client { door: Door::Http, used };
            match &*rest {
                Some(rest) => rest.put(&client, connection),
                None => link.try_send(&client, &[connection]).unwrap_or(false),
            }
        });
        if given > 0 {
            let effects = self.elder.borrow_mut().gave(given);
            self.carry_out(gateway, link, effects);
        }
    }

    fn carry_out(&self, gateway: &Rc<Gateway>, link: &Rc<Link>, effects: Vec<Effect>) {
        effects.into_iter().for_each(|effect| self.carry_out_one(gateway, link, effect));
    }

    fn carry_out_one(&self, gateway: &Rc<Gateway>, link: &Rc<Link>, effect: Effect) {
        match effect {
            Effect::Say(message) => self.post(link, message),
            Effect::Offer(part) => self.offer(gateway, link, part),
            Effect::Accept(open) => {
                let wanted = if open { Gate::Open } else { Gate::Held };
                // Once shut it stays so: this process is about to end.
                let changed =
                    |gate: &mut Gate| *gate != Gate::Shut && std::mem::replace(gate, wanted) != wanted;
                self.gate.send_if_modified(changed);
            }
            Effect::Hold(sockets) => gateway.resize(sockets),
            Effect::Reclaim => {
                let clients = self.rest.borrow().as_ref().map_or_else(Vec::new, Rest::reclaim);
                let number = clients.iter().map(|(_, connections)| connections.len()).sum();
                let effects = self.elder.borrow_mut().took_back(number);
                self.carry_out(gateway, link, effects);
                for (client, connections) in clients {
                    self.take_clients(connections, client.used());
                }
            }
            Effect::Merge(mark, words) => {
                gateway.merge_bans(words);
                let (gateway, link, ledger) = (gateway.clone(), link.clone(), self.ledger.clone());
                spawn_local(async move {
                    if let Err(error) = ledger.persist(&gateway).await {
                        tracing::warn!("bans are not kept: {error}");
                    }
                    let _ = link.send(&Message::Noted { mark }, &[]).await;
                });
            }
            Effect::Noted(mark) => {
                self.waiting.borrow_mut().retain(|m| *m != mark);
                self.noted.notify_waiters();
            }
            Effect::Foreign => {
                tracing::warn!("takeover: another process speaks a version that this one does not")
            }
        }
    }

    /// Sends all that an heir needs, the listening sockets last. With many servers it does not fit into the socket at once,
    /// and goes out as the heir reads.
    fn offer(&self, gateway: &Rc<Gateway>, link: &Rc<Link>, part: usize) {
        let words = gateway.fleet(|f| f.bans.words().cloned().collect());
        let lessons = Lesson::parts(&gateway.learnt());
        let ahead: Vec<_> =
            Message::of_words(0, words).chain(lessons.into_iter().map(Message::Learnt)).collect();
        let (link, listeners) = (link.clone(), self.listeners.borrow().clone());
        let beats = self.elder.borrow().beats();
        let rest = beats.then(Rest::new).and_then(|rest| {
            rest.inspect_err(|error| tracing::warn!("takeover: clients go over by the link: {error}")).ok()
        });
        let picked = rest.as_ref().and_then(|rest| rest.taken_from.try_clone().ok());
        *self.rest.borrow_mut() = rest.filter(|_| picked.is_some());
        spawn_local(async move {
            let sent = async {
                for message in &ahead {
                    link.send(message, &[]).await?;
                }
                let newest = listeners.iter().rev().take(MOST_DESCRIPTORS - 1).rev();
                let (mut doors, mut sockets): (Vec<_>, Vec<_>) =
                    newest.map(|(door, listener)| (*door, listener.as_fd())).unzip();
                if let Some(picked) = &picked {
                    doors.push(Door::Rest);
                    sockets.push(picked.as_fd());
                }
                link.send(&Message::Offer { version: VERSION, doors, part, beats }, &sockets).await
            };
            if let Err(error) = sent.await {
                tracing::warn!("takeover: the offer does not go out: {error}");
            }
        });
    }

    /// Sends a packet in its turn; one that finds no room goes out later.
    fn post(&self, link: &Rc<Link>, message: Message) {
        match link.try_send(&message, &[]) {
            Ok(true) => {}
            Ok(false) => {
                let link = link.clone();
                spawn_local(async move { link.send(&message, &[]).await });
            }
            Err(error) => tracing::warn!("takeover: {error}"),
        }
    }

    /// Tells the node's other process, and waits until it has noted it. At once where there is none.
    pub(crate) async fn send_ban_update(&self, word: Word) {
        let links = self.links.borrow().clone();
        for link in links {
            let mark = self.marks.get();
            self.marks.set(mark + 1);
            {
                let mut waiting = self.waiting.borrow_mut();
                waiting.push_back(mark);
                let over = waiting.len().saturating_sub(MOST_WAITING);
                waiting.drain(..over);
            }
            self.post(&link, Message::Bans { mark, words: vec![word.clone()] });
            loop {
                let noted = self.noted.notified();
                if !self.waiting.borrow().contains(&mark) {
                    break;
                }
                noted.await;
            }
        }
    }

    fn drop_link(&self, link: &Rc<Link>) {
        self.links.borrow_mut().retain(|l| !Rc::ptr_eq(l, link));
        // Nobody is left to note anything.
        self.waiting.borrow_mut().clear();
        self.noted.notify_waiters();
    }
}

/// What the elder has put down, where it does so at a place for it; else nothing, ever.
async fn put_down(rest: Option<&Link>) -> Result<(Message, Vec<OwnedFd>), LinkError> {
    match rest {
        Some(rest) => rest.receive().await,
        None => std::future::pending().await,
    }
}

/// Descriptors that another process of this user holds; `None` where the kernel does not say.
fn descriptors(pid: u32) -> Option<usize> {
    std::fs::read_dir(format!("/proc/{pid}/fd")).ok().map(Iterator::count)
}
