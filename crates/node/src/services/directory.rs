//! The services that a forwarder's requests name, each with a gateway of its own.
//!
//! The subscriber holds the services' state. Each service that it holds gets a gateway when its servers arrive and
//! loses it when the service is dropped. An idle gateway costs only memory: its timers sleep, and its connections are
//! swept only while it may have any.

use crate::source;
use laurelroute_core::gateway::Gateway;
use laurelroute_core::route::{ServiceResolver, ServiceStatus};
use laurelroute_plan::follower::View;
use laurelroute_plan::lead;
use laurelroute_plan::services::subscriber::{self, Change, Subscriber};
use laurelroute_plan::wire::Report;
use laurelroute_policy::interface::{ListKind, Nanos, NodePlan, ServerObservation};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};

/// Services per report. Reports go round robin over the services in use.
const SERVICES_PER_REPORT: usize = 8;
/// How long a gateway without requests is swept beyond the idle timeout of its connections.
const SWEEP_MARGIN: Nanos = 2_000_000_000;
/// How long hints about servers from other nodes apply without a planner: no one could withdraw them.
const HINT_TTL: Nanos = 30_000_000_000;
/// Interval at which the unnamed service is requested where it is always in use.
const UNNAMED_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// A named service's gateway and the task that runs its timers.
struct ServiceGateway {
    gateway: Rc<Gateway>,
    timer_task: AbortHandle,
}

/// Notifies the requests that wait for a service to change, by service.
type Waiters = Rc<RefCell<HashMap<String, Rc<Notify>>>>;

/// One wait for a service; removes the service's entry with the last of its waits.
struct Waiter {
    waiters: Waiters,
    service: String,
    notify: Rc<Notify>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        // The references left are the map's and this one.
        if Rc::strong_count(&self.notify) <= 2 {
            self.waiters.borrow_mut().remove(&self.service);
        }
    }
}

/// The forwarder's services and their gateways.
pub(crate) struct Directory {
    /// The process's first gateway, which serves the unnamed service.
    unnamed_gateway: Rc<Gateway>,
    /// The subscription's state, with all that is known of services.
    pub(crate) subscriber: RefCell<Subscriber>,
    /// Notified when a service is wanted that has not been requested from the planner yet.
    pub(crate) wanted: Notify,
    /// Gateways of the named services. Bounded by the subscriber: one for each service that it holds.
    gateways: RefCell<HashMap<String, ServiceGateway>>,
    /// Waiting requests by service; bounded by their number.
    waiters: Waiters,
    /// Recently used services, and when each was last used; the next sweep removes those without a gateway.
    last_used: RefCell<BTreeMap<String, Nanos>>,
    /// Directives from other nodes' hints about servers, by service; no entry where there are no hints.
    node_plans: RefCell<BTreeMap<String, NodePlan>>,
    /// Since when there has been no planner.
    no_planner_since: Cell<Option<Nanos>>,
    /// There has been no planner for longer than [`HINT_TTL`], and hints no longer apply.
    hints_expired: Cell<bool>,
    /// The last service of the previous report.
    last_reported: RefCell<String>,
    /// Thrift port of servers whose list entry names none.
    thrift_port: Option<u16>,
    /// The error that no gateway can be created has been logged.
    gateway_error_logged: Cell<bool>,
}

impl Directory {
    /// Creates a directory without services.
    pub(crate) fn new(
        unnamed_gateway: Rc<Gateway>,
        settings: subscriber::Settings,
        thrift_port: Option<u16>,
    ) -> Rc<Self> {
        unnamed_gateway.enable_services();
        let subscriber = Subscriber::new(unnamed_gateway.clock.now(), settings);
        Rc::new(Directory {
            unnamed_gateway,
            subscriber: RefCell::new(subscriber),
            wanted: Notify::new(),
            gateways: RefCell::default(),
            waiters: Waiters::default(),
            last_used: RefCell::default(),
            node_plans: RefCell::default(),
            no_planner_since: Cell::new(None),
            hints_expired: Cell::new(false),
            last_reported: RefCell::default(),
            thrift_port,
            gateway_error_logged: Cell::new(false),
        })
    }

    /// Current time on the node's clock.
    pub(crate) fn now(&self) -> Nanos {
        self.unnamed_gateway.clock.now()
    }

    /// Returns the service's gateway, creating it if necessary.
    fn gateway(&self, service: &str) -> Option<Rc<Gateway>> {
        if service.is_empty() {
            return Some(self.unnamed_gateway.clone());
        }
        if let Some(existing) = self.gateways.borrow().get(service) {
            return Some(existing.gateway.clone());
        }
        match self.unnamed_gateway.for_service(service) {
            Ok(gateway) => {
                let timer_task = spawn_local(gateway.clone().run_timers()).abort_handle();
                let entry = ServiceGateway { gateway: gateway.clone(), timer_task };
                self.gateways.borrow_mut().insert(service.to_owned(), entry);
                Some(gateway)
            }
            // Not expected: the first gateway was created with the same settings.
            Err(error) => {
                if !self.gateway_error_logged.replace(true) {
                    tracing::error!("cannot create a gateway for a service: {error}");
                }
                None
            }
        }
    }

    /// Applies the subscriber's changes to the gateways and wakes the requests that wait for them.
    pub(crate) fn apply_changes(&self) {
        let changes = self.subscriber.borrow_mut().changes();
        for change in changes {
            match change {
                Change::Members { service, members, subscribers } => {
                    let Some(gateway) = self.gateway(&service) else { continue };
                    let entries =
                        members.into_iter().map(|m| source::to_entry(m, self.thrift_port)).collect();
                    gateway.update_servers(ListKind::Changes, entries);
                    gateway.set_quota_share(1.0 / f64::from(subscribers.max(1)));
                }
                Change::Hints { service, hints } => {
                    let Some(gateway) = self.gateway(&service) else { continue };
                    if hints.is_empty() {
                        self.node_plans.borrow_mut().remove(&service);
                        gateway.apply_plan(NodePlan::default());
                        continue;
                    }
                    let view = View { planned: hints, trust: 1.0, ..View::default() };
                    let known = |name: &str| gateway.fleet(|f| f.endpoint_of(name));
                    let plan = lead::node_plan(&view, known, &[], std::iter::empty());
                    gateway.apply_plan(self.effective_plan(&plan));
                    self.node_plans.borrow_mut().insert(service, plan);
                }
                Change::Unknown(service) | Change::Dropped(service) => self.drop_service(&service),
            }
        }
        // Services whose members are known now, even if there are none.
        let known = |service: &&String| self.subscriber.borrow().members_of(service).is_some();
        let arrived: Vec<String> = self.waiters.borrow().keys().filter(known).cloned().collect();
        arrived.iter().for_each(|service| self.wake(service));
    }

    /// The plan, without trust once hints have expired.
    fn effective_plan(&self, plan: &NodePlan) -> NodePlan {
        let trust = if self.hints_expired.get() { 0.0 } else { plan.trust };
        NodePlan { trust, ..plan.clone() }
    }

    /// Expires hints after [`HINT_TTL`] without a planner and restores them with the next planner.
    fn update_hint_trust(&self) {
        let now = self.now();
        let no_planner = self.subscriber.borrow().planner().is_none();
        let since = no_planner.then(|| self.no_planner_since.get().unwrap_or(now));
        self.no_planner_since.set(since);
        let hints_expired = since.is_some_and(|at| now.saturating_sub(at) >= HINT_TTL);
        if self.hints_expired.replace(hints_expired) != hints_expired {
            for (service, plan) in &*self.node_plans.borrow() {
                if let Some(gateway) = self.gateway(service) {
                    gateway.apply_plan(self.effective_plan(plan));
                }
            }
        }
    }

    /// Wakes the requests that wait for this service.
    fn wake(&self, service: &str) {
        if let Some(notify) = self.waiters.borrow().get(service) {
            notify.notify_waiters();
        }
    }

    /// Removes a service that was dropped or turned out to be unknown.
    fn drop_service(&self, service: &str) {
        self.node_plans.borrow_mut().remove(service);
        if service.is_empty() {
            self.unnamed_gateway.update_servers(ListKind::Full, Vec::new());
        } else if let Some(removed) = self.gateways.borrow_mut().remove(service) {
            removed.timer_task.abort();
            // Pooled connections are closed; an abandoned attempt may still be in flight.
            removed.gateway.update_servers(ListKind::Full, Vec::new());
            spawn_local(removed.gateway.run_timers_until_idle());
        }
        self.wake(service);
    }

    /// Closes expired pooled connections of the services that may have any, and updates the trust in hints.
    pub(crate) fn sweep(&self) {
        self.update_hint_trust();
        let now = self.now();
        let sweep_for = self.unnamed_gateway.config.server_idle_timeout + SWEEP_MARGIN;
        let gateways = self.gateways.borrow();
        self.last_used.borrow_mut().retain(|service, used_at| {
            let Some(entry) = gateways.get(service) else { return false };
            entry.gateway.sweep_idle_connections();
            now.saturating_sub(*used_at) < sweep_for
        });
    }

    /// Builds the next report of observations: the unnamed service's and those of the next few services in use.
    pub(crate) fn report(&self, now: Nanos) -> Option<Report> {
        let mut observed: Vec<(String, ServerObservation)> = Vec::new();
        {
            let (last_used, mut last_reported) = (self.last_used.borrow(), self.last_reported.borrow_mut());
            let after = last_used.range::<str, _>((
                std::ops::Bound::Excluded(last_reported.as_str()),
                std::ops::Bound::Unbounded,
            ));
            let selected: Vec<String> =
                after.take(SERVICES_PER_REPORT).map(|(service, _)| service.clone()).collect();
            // Starts over after the last service.
            *last_reported = if selected.len() < SERVICES_PER_REPORT {
                String::new()
            } else {
                selected[SERVICES_PER_REPORT - 1].clone()
            };
            let gateways = self.gateways.borrow();
            let reporting = selected.iter().filter_map(|service| Some(&gateways.get(service)?.gateway));
            reporting.for_each(|gateway| observed.append(&mut gateway.observed_servers()));
        }
        observed.append(&mut self.unnamed_gateway.observed_servers());
        let mut rows = observed.iter().map(|(name, o)| (name.as_str(), *o));
        self.subscriber.borrow_mut().next_report(now, &mut rows)
    }

    /// Keeps the unnamed service in use for good: some requests name no service.
    pub(crate) async fn keep_unnamed_service(self: Rc<Self>) {
        let mut pinned = false;
        loop {
            // An unknown service is requested again, and pinned when it becomes available.
            let held = matches!(self.resolve(""), ServiceStatus::Available(_));
            if held && !pinned {
                self.pin("");
            }
            pinned = held;
            tokio::time::sleep(UNNAMED_REFRESH_INTERVAL).await;
        }
    }
}

impl ServiceResolver for Directory {
    fn resolve(&self, service: &str) -> ServiceStatus {
        let standing = self.subscriber.borrow_mut().lookup(self.now(), service);
        match standing {
            subscriber::ServiceStatus::Available => {
                self.gateway(service).map_or(ServiceStatus::AtCapacity, ServiceStatus::Available)
            }
            subscriber::ServiceStatus::Pending => {
                self.wanted.notify_one();
                ServiceStatus::Pending
            }
            subscriber::ServiceStatus::Unknown => ServiceStatus::Unknown,
            subscriber::ServiceStatus::AtCapacity => ServiceStatus::AtCapacity,
        }
    }

    fn pin(&self, service: &str) {
        self.subscriber.borrow_mut().request_started(service);
    }

    fn unpin(&self, service: &str) {
        let now = self.now();
        self.subscriber.borrow_mut().request_finished(now, service);
        if service.is_empty() {
            return;
        }
        let mut last_used = self.last_used.borrow_mut();
        if let Some(used_at) = last_used.get_mut(service) {
            *used_at = now;
        } else if self.gateways.borrow().contains_key(service) {
            last_used.insert(service.to_owned(), now);
        }
    }

    fn status_changed(&self, service: &str) -> Pin<Box<dyn Future<Output = ()>>> {
        let notify = self.waiters.borrow_mut().entry(service.to_owned()).or_default().clone();
        let waiter = Waiter { waiters: self.waiters.clone(), service: service.to_owned(), notify };
        Box::pin(async move { waiter.notify.notified().await })
    }
}
