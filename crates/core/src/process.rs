//! What the gateways of one process share, where it has one for each service: when the process goes, and the connections
//! to servers, which count once however many services a server has.
//!
//! A process that knows no services has one gateway, and nothing here is looked at.

use crate::gateway::Gateway;
use crate::running::RunningTime;
use laurelroute_policy::interface::{Nanos, Settings};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

/// See the module's documentation.
#[derive(Default)]
pub struct ProcessState {
    /// SIGTERM has come: no more requests on kept connections.
    pub draining: Cell<bool>,
    /// When the process ends at the latest, once that is known.
    pub ends_at: Cell<Option<Nanos>>,
    /// Time in which the process ran.
    pub(crate) running: RunningTime,
    gateways: RefCell<Vec<Weak<Gateway>>>,
    /// What the decision module of a service is told.
    settings: OnceCell<Settings>,
    /// Connections open to servers, by their first address; as long as a fleet knows the server.
    open: RefCell<HashMap<SocketAddr, Weak<Cell<u32>>>>,
}

impl ProcessState {
    pub(crate) fn add(&self, gateway: &Rc<Gateway>) {
        let mut gateways = self.gateways.borrow_mut();
        gateways.retain(|g| g.strong_count() > 0);
        gateways.push(Rc::downgrade(gateway));
    }

    /// What the decision module of a service is told: all but the tenants. Their shares are of all services together, and no
    /// one service's count of them would be that; each would hold 40 bytes a tenant, 4.6 GB for 300 services and 380,000.
    pub(crate) fn settings_of_a_service(&self, settings: &Settings) -> Settings {
        let plain = || Settings { tenant_quota: Vec::new(), ..settings.clone() };
        self.settings.get_or_init(plain).clone()
    }

    /// All gateways but one.
    pub(crate) fn others(&self, gateway: &Gateway) -> Vec<Rc<Gateway>> {
        let gateways = self.gateways.borrow();
        let others = gateways.iter().filter(|g| !std::ptr::eq(g.as_ptr(), gateway));
        others.filter_map(Weak::upgrade).collect()
    }

    /// The count of connections that are open to a server.
    pub(crate) fn open_connections(&self, server: SocketAddr) -> Rc<Cell<u32>> {
        let mut open = self.open.borrow_mut();
        if let Some(count) = open.get(&server).and_then(Weak::upgrade) {
            return count;
        }
        // Servers come and go: what nobody counts any longer goes as often as the table has doubled.
        if open.len() == open.capacity() {
            open.retain(|_, count| count.strong_count() > 0);
        }
        let count = Rc::default();
        open.insert(server, Rc::downgrade(&count));
        count
    }
}

impl std::fmt::Debug for ProcessState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ProcessState({} gateways)", self.gateways.borrow().len())
    }
}
