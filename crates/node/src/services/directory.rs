//! The services that a forwarder's requests name, each with its gateway.
//!
//! What is known of services is the subscriber's; here each that is held gets a gateway as its servers come, and loses it
//! as it is dropped. A gateway at rest costs its memory and nothing else: its timers sleep, and its connections are looked
//! at only while it may have any.

use crate::source;
use laurelroute_core::gateway::Gateway;
use laurelroute_core::route::{Services, Standing};
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

/// Services whose servers are reported on at once: a report takes those that were in use since it was last their turn.
const REPORTED: usize = 8;
/// A gateway without requests is looked at for so long beyond the time that its connections may stand idle.
const STILL_SWEPT: Nanos = 2_000_000_000;
/// What others have met of servers counts for so long without a planner: nobody takes it back.
const HINTS_LAST: Nanos = 30_000_000_000;
/// How often the service without a name is asked for, where it is always in use.
const KEPT: Duration = Duration::from_secs(1);

struct Carried {
    gateway: Rc<Gateway>,
    timers: AbortHandle,
}

/// Who waits for which service to change.
type Waiting = Rc<RefCell<HashMap<String, Rc<Notify>>>>;

/// Waits once, and leaves no trace of it.
struct Waiter {
    waiting: Waiting,
    service: String,
    notify: Rc<Notify>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        // Of the table's and this one.
        if Rc::strong_count(&self.notify) <= 2 {
            self.waiting.borrow_mut().remove(&self.service);
        }
    }
}

/// See the module's documentation.
pub(crate) struct Directory {
    /// The process's first gateway, which carries the service without a name.
    first: Rc<Gateway>,
    pub(crate) subscriber: RefCell<Subscriber>,
    /// Something is wanted that the planner has not heard of.
    pub(crate) wanted: Notify,
    /// Bounded by the subscriber: one for each service that it holds.
    carried: RefCell<HashMap<String, Carried>>,
    /// Bounded by the requests that wait.
    waiting: Waiting,
    /// Services in use lately, and when; one that is not carried goes with the next look.
    used: RefCell<BTreeMap<String, Nanos>>,
    /// What counts of others' word on servers, by service; none where nothing is said.
    guides: RefCell<BTreeMap<String, NodePlan>>,
    /// Since when there is no planner, where what others said counts still.
    alone_since: Cell<Option<Nanos>>,
    /// Without a planner for too long: others' word does not count.
    mistrusts: Cell<bool>,
    /// The service whose turn in reports is over.
    reported: RefCell<String>,
    /// Where servers speak Thrift whose entry does not say.
    thrift_port: Option<u16>,
    refused: Cell<bool>,
}

impl Directory {
    pub(crate) fn new(
        first: Rc<Gateway>,
        settings: subscriber::Settings,
        thrift_port: Option<u16>,
    ) -> Rc<Self> {
        first.with_services();
        let subscriber = Subscriber::new(first.clock.now(), settings);
        Rc::new(Directory {
            first,
            subscriber: RefCell::new(subscriber),
            wanted: Notify::new(),
            carried: RefCell::default(),
            waiting: Waiting::default(),
            used: RefCell::default(),
            guides: RefCell::default(),
            alone_since: Cell::new(None),
            mistrusts: Cell::new(false),
            reported: RefCell::default(),
            thrift_port,
            refused: Cell::new(false),
        })
    }

    pub(crate) fn now(&self) -> Nanos {
        self.first.clock.now()
    }

    /// The service's gateway, made where there is none.
    fn gateway(&self, service: &str) -> Option<Rc<Gateway>> {
        if service.is_empty() {
            return Some(self.first.clone());
        }
        if let Some(carried) = self.carried.borrow().get(service) {
            return Some(carried.gateway.clone());
        }
        match self.first.beside(service) {
            Ok(gateway) => {
                let timers = spawn_local(gateway.clone().run_timers()).abort_handle();
                let carried = Carried { gateway: gateway.clone(), timers };
                self.carried.borrow_mut().insert(service.to_owned(), carried);
                Some(gateway)
            }
            // The first gateway goes by the same settings.
            Err(error) => {
                if !self.refused.replace(true) {
                    tracing::error!("no gateway for a service: {error}");
                }
                None
            }
        }
    }

    /// Hands what has changed to the gateways, and wakes who waits for it.
    pub(crate) fn take_changes(&self) {
        let changes = self.subscriber.borrow_mut().changes();
        for change in changes {
            match change {
                Change::Members { service, members, subscribers } => {
                    let Some(gateway) = self.gateway(&service) else { continue };
                    let entries =
                        members.into_iter().map(|m| source::to_entry(m, self.thrift_port)).collect();
                    gateway.list(ListKind::Changes, entries);
                    gateway.take_share(1.0 / f64::from(subscribers.max(1)));
                }
                Change::Hints { service, words } => {
                    let Some(gateway) = self.gateway(&service) else { continue };
                    if words.is_empty() {
                        self.guides.borrow_mut().remove(&service);
                        gateway.guide(NodePlan::default());
                        continue;
                    }
                    let view = View { words, trust: 1.0, ..View::default() };
                    let known = |name: &str| gateway.fleet(|f| f.known(name));
                    let guide = lead::guide(&view, known, &[], std::iter::empty());
                    gateway.guide(self.weighed(&guide));
                    self.guides.borrow_mut().insert(service, guide);
                }
                Change::Unknown(service) | Change::Dropped(service) => self.drop_service(&service),
            }
        }
        // Those whose servers are known now, also where there are none.
        let known = |service: &&String| self.subscriber.borrow().members_of(service).is_some();
        let came: Vec<String> = self.waiting.borrow().keys().filter(known).cloned().collect();
        came.iter().for_each(|service| self.wake(service));
    }

    /// A guide as far as it counts now.
    fn weighed(&self, guide: &NodePlan) -> NodePlan {
        let trust = if self.mistrusts.get() { 0.0 } else { guide.trust };
        NodePlan { trust, ..guide.clone() }
    }

    /// What others said of servers counts no longer where no planner has been there for long, and again with the next one.
    fn look_at_trust(&self) {
        let now = self.now();
        let alone = self.subscriber.borrow().planner().is_none();
        let since = alone.then(|| self.alone_since.get().unwrap_or(now));
        self.alone_since.set(since);
        let mistrusts = since.is_some_and(|at| now.saturating_sub(at) >= HINTS_LAST);
        if self.mistrusts.replace(mistrusts) != mistrusts {
            for (service, guide) in &*self.guides.borrow() {
                if let Some(gateway) = self.gateway(service) {
                    gateway.guide(self.weighed(guide));
                }
            }
        }
    }

    fn wake(&self, service: &str) {
        if let Some(notify) = self.waiting.borrow().get(service) {
            notify.notify_waiters();
        }
    }

    fn drop_service(&self, service: &str) {
        self.guides.borrow_mut().remove(service);
        if service.is_empty() {
            self.first.list(ListKind::Full, Vec::new());
        } else if let Some(carried) = self.carried.borrow_mut().remove(service) {
            carried.timers.abort();
            // Kept connections are closed; an attempt that was given up may still be under way.
            carried.gateway.list(ListKind::Full, Vec::new());
            spawn_local(carried.gateway.run_timers_to_rest());
        }
        self.wake(service);
    }

    /// Closes kept connections that are too old, in the services that may have any.
    pub(crate) fn sweep(&self) {
        self.look_at_trust();
        let now = self.now();
        let swept = self.first.site.conn_idle + STILL_SWEPT;
        let carried = self.carried.borrow();
        self.used.borrow_mut().retain(|service, at| {
            let Some(carried) = carried.get(service) else { return false };
            carried.gateway.sweep_servers();
            now.saturating_sub(*at) < swept
        });
    }

    /// What was met in some of the services that are in use.
    pub(crate) fn report(&self, now: Nanos) -> Option<Report> {
        let mut observed: Vec<(String, ServerObservation)> = Vec::new();
        {
            let (used, mut reported) = (self.used.borrow(), self.reported.borrow_mut());
            let after = used
                .range::<str, _>((std::ops::Bound::Excluded(reported.as_str()), std::ops::Bound::Unbounded));
            let turn: Vec<String> = after.take(REPORTED).map(|(service, _)| service.clone()).collect();
            // From the first one on, where the last one has had its turn.
            *reported = if turn.len() < REPORTED { String::new() } else { turn[REPORTED - 1].clone() };
            let carried = self.carried.borrow();
            let gateways = turn.iter().filter_map(|service| Some(&carried.get(service)?.gateway));
            gateways.for_each(|gateway| observed.append(&mut gateway.observed()));
        }
        observed.append(&mut self.first.observed());
        let mut rows = observed.iter().map(|(name, o)| (name.as_str(), *o));
        self.subscriber.borrow_mut().next_report(now, &mut rows)
    }

    /// The service without a name is in use for good: some requests come without one.
    pub(crate) async fn keep_nameless(self: Rc<Self>) {
        let mut pinned = false;
        loop {
            // What turns out not to be there is asked for again, and pinned as it comes.
            let held = matches!(self.want(""), Standing::Held(_));
            if held && !pinned {
                self.began("");
            }
            pinned = held;
            tokio::time::sleep(KEPT).await;
        }
    }
}

impl Services for Directory {
    fn want(&self, service: &str) -> Standing {
        let standing = self.subscriber.borrow_mut().want(self.now(), service);
        match standing {
            subscriber::Standing::Held => self.gateway(service).map_or(Standing::NoRoom, Standing::Held),
            subscriber::Standing::Waiting => {
                self.wanted.notify_one();
                Standing::Waiting
            }
            subscriber::Standing::Unknown => Standing::Unknown,
            subscriber::Standing::NoRoom => Standing::NoRoom,
        }
    }

    fn began(&self, service: &str) {
        self.subscriber.borrow_mut().began(service);
    }

    fn ended(&self, service: &str) {
        let now = self.now();
        self.subscriber.borrow_mut().ended(now, service);
        if service.is_empty() {
            return;
        }
        let mut used = self.used.borrow_mut();
        if let Some(at) = used.get_mut(service) {
            *at = now;
        } else if self.carried.borrow().contains_key(service) {
            used.insert(service.to_owned(), now);
        }
    }

    fn changed(&self, service: &str) -> Pin<Box<dyn Future<Output = ()>>> {
        let notify = self.waiting.borrow_mut().entry(service.to_owned()).or_default().clone();
        let waiter = Waiter { waiting: self.waiting.clone(), service: service.to_owned(), notify };
        Box::pin(async move { waiter.notify.notified().await })
    }
}
