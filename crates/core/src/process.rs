//! State shared by the gateways of one process, which has one gateway for each service: the shutdown state, and the
//! counts of connections to servers, where a connection counts once however many services the server belongs to.
//!
//! A process without services has a single gateway and hardly uses this.

use crate::gateway::Gateway;
use crate::request_ids::RequestIds;
use crate::running::RunningTime;
use laurelroute_policy::interface::{Nanos, Settings};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

/// State shared by the gateways of one process.
#[derive(Default)]
pub struct ProcessState {
    /// SIGTERM was received: no further requests are taken on persistent connections.
    pub draining: Cell<bool>,
    /// The deadline of the shutdown, once it is known.
    pub ends_at: Cell<Option<Nanos>>,
    /// The ids of clients' requests.
    pub request_ids: Rc<RequestIds>,
    /// Time for which the process has been running.
    pub(crate) running: RunningTime,
    gateways: RefCell<Vec<Weak<Gateway>>>,
    /// Settings for the decision module of a service, derived once.
    settings: OnceCell<Settings>,
    /// Open connections to each server, by its first address; kept as long as a fleet knows the server.
    connection_counts: RefCell<HashMap<SocketAddr, Weak<Cell<u32>>>>,
}

impl ProcessState {
    pub(crate) fn add(&self, gateway: &Rc<Gateway>) {
        let mut gateways = self.gateways.borrow_mut();
        gateways.retain(|g| g.strong_count() > 0);
        gateways.push(Rc::downgrade(gateway));
    }

    /// Settings for the decision module of a service: all but the tenants. Tenant quotas apply to all services
    /// together, which no single service could count, and at 40 bytes a tenant, 300 services with 380,000 tenants would
    /// take 4.6 GB.
    pub(crate) fn service_settings(&self, settings: &Settings) -> Settings {
        let without_tenants = || Settings { tenant_quota: Vec::new(), ..settings.clone() };
        self.settings.get_or_init(without_tenants).clone()
    }

    /// All gateways of the process but the given one.
    pub(crate) fn others(&self, gateway: &Gateway) -> Vec<Rc<Gateway>> {
        let gateways = self.gateways.borrow();
        let others = gateways.iter().filter(|g| !std::ptr::eq(g.as_ptr(), gateway));
        others.filter_map(Weak::upgrade).collect()
    }

    /// The counter of open connections to a server.
    pub(crate) fn open_connections(&self, server: SocketAddr) -> Rc<Cell<u32>> {
        let mut counts = self.connection_counts.borrow_mut();
        if let Some(count) = counts.get(&server).and_then(Weak::upgrade) {
            return count;
        }
        // Servers come and go: counters that are no longer in use are removed before the table would grow.
        if counts.len() == counts.capacity() {
            counts.retain(|_, count| count.strong_count() > 0);
        }
        let count = Rc::default();
        counts.insert(server, Rc::downgrade(&count));
        count
    }
}

impl std::fmt::Debug for ProcessState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ProcessState({} gateways)", self.gateways.borrow().len())
    }
}
