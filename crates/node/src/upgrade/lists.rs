//! The server list that the processes of a node share during an upgrade: what any of them is told, the others are sent
//! over the links between them.

use super::link::{Link, LinkError};
use crate::discovery::Host;
use laurelroute_handover::message::Message;
use laurelroute_handover::server_list::{
    ListAssembler, ListFragment, ListOutbox, ListVersion, Received, ServerChange, ServerListUpdate,
    SharedServerList,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};

/// What this process did not know before another one sent it.
pub(crate) struct PeerChanges {
    pub(crate) version: ListVersion,
    /// The address of discovery that the list comes from.
    pub(crate) source: Option<SocketAddr>,
    pub(crate) servers: Vec<ServerChange<Host>>,
}

/// Applies the changes that another process has sent.
type OnChanges = Box<dyn Fn(PeerChanges)>;

/// Another process that understands server lists.
pub(super) struct ListPeer {
    link: Rc<Link>,
    outbox: RefCell<ListOutbox>,
    assembler: RefCell<ListAssembler>,
    /// Notified when there may be something to send.
    pending: Notify,
    /// The task that sends updates.
    task: RefCell<Option<AbortHandle>>,
}

/// The list as this process knows it, and the other processes that it is shared with.
#[derive(Default)]
pub(crate) struct ListExchange {
    list: RefCell<SharedServerList<Host>>,
    peers: RefCell<Vec<Rc<ListPeer>>>,
    on_changes: RefCell<Option<OnChanges>>,
}

impl ListExchange {
    /// Sets what applies the changes that other processes send.
    pub(crate) fn on_changes(&self, on_changes: OnChanges) {
        self.on_changes.replace(Some(on_changes));
    }

    /// The whole list, if any process of the node was told one.
    pub(crate) fn snapshot(&self) -> Option<ServerListUpdate<Host>> {
        self.list.borrow().snapshot()
    }

    /// The version of that list.
    pub(crate) fn version(&self) -> Option<ListVersion> {
        self.list.borrow().version()
    }

    /// Starts with a configured list, which is not passed on.
    pub(crate) fn configure(&self, number: u64, hosts: Vec<Host>) {
        let servers = hosts.into_iter().map(|host| (host.name().to_owned(), host));
        self.list.borrow_mut().configure(number, servers);
    }

    /// Passes on what this process was told: all servers, or those that changed, `None` for one that was removed.
    pub(crate) fn update(
        &self,
        number: u64,
        source: Option<SocketAddr>,
        full: bool,
        servers: BTreeMap<String, Option<Host>>,
    ) {
        let before = self.version();
        let names: Vec<String> = servers.keys().cloned().collect();
        self.list.borrow_mut().update(number, source, full, servers);
        if self.version() == before {
            return;
        }
        for peer in self.peers.borrow().iter() {
            let mut outbox = peer.outbox.borrow_mut();
            match full {
                true => outbox.send_whole(),
                false => outbox.add_changes(names.iter().cloned()),
            }
            peer.pending.notify_one();
        }
    }

    /// Takes the list that the old process has sent with its offer, ahead of the link's other messages.
    pub(crate) fn adopt(&self, update: &ServerListUpdate<Host>) {
        let (version, source) = (update.version, update.source);
        let received = self.list.borrow_mut().receive(update.clone());
        if let Received::Applied(changes) = received {
            self.apply_here(version, source, changes);
        }
    }

    /// Begins to share the list over a link; nothing is sent before [`ListPeer::start`] or [`ListPeer::send_pending`].
    pub(super) fn open(&self, link: &Rc<Link>) -> Rc<ListPeer> {
        let peer = Rc::new(ListPeer {
            link: link.clone(),
            outbox: RefCell::default(),
            assembler: RefCell::default(),
            pending: Notify::new(),
            task: RefCell::default(),
        });
        self.peers.borrow_mut().push(peer.clone());
        peer
    }

    /// Ends the sharing over a link.
    pub(super) fn close(&self, link: &Rc<Link>) {
        self.peers.borrow_mut().retain(|peer| {
            let closed = Rc::ptr_eq(&peer.link, link);
            if closed {
                peer.task.take().iter().for_each(AbortHandle::abort);
            }
            !closed
        });
    }

    /// Takes a packet of another process.
    pub(super) fn receive(&self, link: &Rc<Link>, fragment: ListFragment) {
        let peer = self.peers.borrow().iter().find(|peer| Rc::ptr_eq(&peer.link, link)).cloned();
        let Some(peer) = peer else { return };
        let update = peer.assembler.borrow_mut().receive(fragment);
        match update {
            Ok(Some(update)) => self.apply(&peer, update),
            Ok(None) => {}
            Err(error) => tracing::warn!("takeover: {error}"),
        }
    }

    /// Applies an update of another process, passes it on to the others, and answers where that one lacks something.
    pub(super) fn apply(&self, peer: &Rc<ListPeer>, update: ServerListUpdate<Host>) {
        let (version, source) = (update.version, update.source);
        let received = self.list.borrow_mut().receive(update);
        match received {
            Received::Known => peer.outbox.borrow_mut().peer_has(version),
            Received::Outdated => peer.outbox.borrow_mut().send_whole(),
            Received::Gap => peer.outbox.borrow_mut().announce_version(),
            Received::Applied(changes) => {
                peer.outbox.borrow_mut().peer_has(version);
                self.pass_on(peer, &changes);
                self.apply_here(version, source, changes);
            }
        }
        peer.pending.notify_one();
    }

    fn apply_here(
        &self,
        version: ListVersion,
        source: Option<SocketAddr>,
        changes: BTreeMap<String, ServerChange<Host>>,
    ) {
        let servers = changes.into_values().collect();
        if let Some(on_changes) = &*self.on_changes.borrow() {
            on_changes(PeerChanges { version, source, servers });
        }
    }

    fn pass_on(&self, from: &Rc<ListPeer>, changes: &BTreeMap<String, ServerChange<Host>>) {
        for peer in self.peers.borrow().iter().filter(|peer| !Rc::ptr_eq(peer, from)) {
            peer.outbox.borrow_mut().add_changes(changes.keys().cloned());
            peer.pending.notify_one();
        }
    }
}

impl ListPeer {
    /// Sends all that is pending now.
    pub(super) async fn send_pending(&self, exchange: &ListExchange) -> Result<(), LinkError> {
        loop {
            let update = self.outbox.borrow_mut().next(&exchange.list.borrow());
            let Some(update) = update else { return Ok(()) };
            for fragment in ListFragment::split(&update) {
                self.link.send(&Message::ServerList(fragment), &[]).await?;
            }
        }
    }

    /// Sends what is pending, now and later, in a task that runs `first` before.
    pub(super) fn start<F>(self: &Rc<Self>, exchange: &Rc<ListExchange>, first: F)
    where
        F: std::future::Future<Output = Result<(), LinkError>> + 'static,
    {
        let (peer, exchange) = (self.clone(), exchange.clone());
        let task = spawn_local(async move {
            let result = async {
                first.await?;
                loop {
                    peer.send_pending(&exchange).await?;
                    peer.pending.notified().await;
                }
            };
            let result: Result<(), LinkError> = result.await;
            if let Err(error) = result {
                tracing::warn!("takeover: the server list cannot be sent: {error}");
            }
        });
        self.task.replace(Some(task.abort_handle()));
    }
}
