//! The server list as this process has it, whoever told it: discovery, another process of the node, or the
//! configuration. The one place that decides which list counts.

use super::host_list::{Host, HostConverter, HostList};
use crate::upgrade::lists::{ListExchange, PeerChanges};
use laurelroute_core::fleet::ServerEntry;
use laurelroute_policy::interface::ListKind;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// An older full list is accepted only after this many consecutive watches delivered it: discovery may have lost
/// its version numbers, but a single stale replica is more likely, whose list would bring drained servers back.
const OLDER_LISTS_TO_ACCEPT: u32 = 4;

/// Whether a sink uses the list that the configuration holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUse {
    /// It does; for any other list this is the only answer.
    Used,
    /// It does not, and needs a whole list of discovery.
    Ignored,
}

/// Receives each update of the server list: its kind, its version and its entries.
pub type Sink = Box<dyn Fn(ListKind, u64, Vec<ServerEntry>) -> ListUse>;

/// Why a list of discovery is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RejectedList {
    /// It is older than the one held.
    #[error("version {0} received after {1}")]
    Older(u64, u64),
    /// It names changes, and no list is held that they apply to.
    #[error("changes received before a whole list")]
    NoBase,
}

/// The version held, and where it comes from.
#[derive(Debug, Default)]
struct HeldVersion {
    /// `None` if no list is held that changes could be applied to.
    number: Option<u64>,
    /// The discovery address that the list comes from: only a watch there can send changes to it.
    source: Option<SocketAddr>,
    /// Consecutive lists with an older version than the one held.
    older_lists: u32,
    /// Lists accepted from discovery.
    accepted: u64,
}

/// The server list as this process has it.
pub(crate) struct ServerListStore {
    sink: Sink,
    converter: RefCell<HostConverter>,
    held: RefCell<HeldVersion>,
    /// The list that the processes of the node share, if they do.
    exchange: Option<Rc<ListExchange>>,
}

impl ServerListStore {
    pub(super) fn new(sink: Sink, converter: HostConverter) -> Rc<ServerListStore> {
        Rc::new(ServerListStore {
            sink,
            converter: RefCell::new(converter),
            held: RefCell::default(),
            exchange: None,
        })
    }

    /// A store that shares its list with the other processes of the node.
    pub(super) fn shared(
        sink: Sink,
        converter: HostConverter,
        exchange: Rc<ListExchange>,
    ) -> Rc<ServerListStore> {
        let store = Rc::new(ServerListStore {
            sink,
            converter: RefCell::new(converter),
            held: RefCell::default(),
            exchange: Some(exchange.clone()),
        });
        let receiver = Rc::downgrade(&store);
        exchange.on_changes(Box::new(move |changes| {
            if let Some(store) = receiver.upgrade() {
                store.apply_peer_changes(changes);
            }
        }));
        store
    }

    /// Changes how servers are converted, before the first list.
    pub(super) fn convert(&self, change: impl FnOnce(HostConverter) -> HostConverter) {
        self.converter.replace_with(|converter| change(converter.clone()));
    }

    /// Begins with the list that another process of the node has sent, or else with the configured one.
    pub(super) fn begin(&self, configured: Option<HostList>, address: SocketAddr) {
        if let Some(list) = self.exchange.as_ref().and_then(|exchange| exchange.snapshot()) {
            let number = list.version.number;
            let hosts = list.servers.into_values().flatten().collect();
            self.publish(ListKind::Cached, number, hosts);
            self.hold(number, list.source);
            return;
        }
        let Some(list) = configured else {
            self.publish(ListKind::Cached, 0, Vec::new());
            return;
        };
        let number = list.seq;
        if self.publish(ListKind::Cached, number, list.hosts.clone()) == ListUse::Used {
            self.hold(number, Some(address));
            self.exchange.iter().for_each(|exchange| exchange.configure(number, list.hosts.clone()));
        }
    }

    /// The version from which a watch at this address may continue.
    pub(super) fn resume_from(&self, address: SocketAddr) -> Option<u64> {
        let held = self.held.borrow();
        held.number.filter(|_| held.older_lists == 0 && held.source == Some(address))
    }

    /// The version held; 0 for none.
    pub(super) fn number(&self) -> u64 {
        self.held.borrow().number.unwrap_or(0)
    }

    /// Number of lists accepted from discovery.
    pub(super) fn accepted(&self) -> u64 {
        self.held.borrow().accepted
    }

    /// Accepts a list of discovery, unless it is older than the one held.
    pub(super) fn accept(&self, list: HostList, address: SocketAddr) -> Result<(), RejectedList> {
        self.check(&list)?;
        self.hold(list.seq, Some(address));
        self.held.borrow_mut().accepted += 1;
        if let Some(exchange) = &self.exchange {
            let state = |host: &Host| (host.name().to_owned(), (!host.has_left()).then(|| host.clone()));
            exchange.update(list.seq, Some(address), list.full, list.hosts.iter().map(state).collect());
        }
        let kind = if list.full { ListKind::Full } else { ListKind::Changes };
        self.publish(kind, list.seq, list.hosts);
        Ok(())
    }

    fn check(&self, list: &HostList) -> Result<(), RejectedList> {
        let mut held = self.held.borrow_mut();
        let Some(number) = held.number else {
            return if list.full { Ok(()) } else { Err(RejectedList::NoBase) };
        };
        if list.seq < number {
            held.older_lists += 1;
            if !list.full || held.older_lists < OLDER_LISTS_TO_ACCEPT {
                return Err(RejectedList::Older(list.seq, number));
            }
        }
        Ok(())
    }

    /// Tells the sink that a call to discovery has failed.
    pub(super) fn failed(&self) {
        self.publish(ListKind::Failed, self.number(), Vec::new());
    }

    /// Applies what another process of the node was told.
    fn apply_peer_changes(&self, changes: PeerChanges) {
        tracing::info!("takeover: version {} of the server list received", changes.version.number);
        self.hold(changes.version.number, changes.source);
        let hosts = changes.servers.into_iter().filter_map(|change| match change.after {
            Some(host) => Some(host),
            None => change.before.map(Host::left),
        });
        self.publish(ListKind::Changes, changes.version.number, hosts.collect());
    }

    fn hold(&self, number: u64, source: Option<SocketAddr>) {
        let mut held = self.held.borrow_mut();
        (held.number, held.source, held.older_lists) = (Some(number), source, 0);
    }

    /// Converts servers to entries and passes them to the sink.
    fn publish(&self, kind: ListKind, number: u64, hosts: Vec<Host>) -> ListUse {
        let converter = self.converter.borrow().clone();
        let entries = hosts.into_iter().map(|host| converter.entry(host)).collect();
        (self.sink)(kind, number, entries)
    }
}
