//! Several gateways in one process: the state that they share, and the cost of an idle service.

use laurelroute_core::call::{Exchange, LocalReply, Wire};
use laurelroute_core::clock::Clock;
use laurelroute_core::connect::{connect, ConnectError};
use laurelroute_core::connection::Connection;
use laurelroute_core::fleet::{PooledConnection, ServerEntry};
use laurelroute_core::gateway::{Attempt, Gateway, GatewayConfig};
use laurelroute_core::route::{
    wait_deadline, RouteError, ServiceResolver, ServiceRoute, ServiceStatus, WaiterCount,
};
use laurelroute_policy::interface::{Endpoint, ListKind, Nanos, Phase, Server, Settings};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, AbortHandle, LocalSet};

const MS: Nanos = 1_000_000;
const HTTP: Wire = Wire(0);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn new_gateway(max_connections_per_server: Option<u32>) -> Rc<Gateway> {
    new_gateway_with(max_connections_per_server, Vec::new())
}

fn new_gateway_with(max_connections_per_server: Option<u32>, tenant_quota: Vec<f64>) -> Rc<Gateway> {
    let config = GatewayConfig {
        settings: Settings { tenant_quota, ..Settings::single_class(3_000 * MS, 5_000 * MS) },
        seed: 1,
        max_descriptors: 256,
        reserved_descriptors: 0,
        memory_mb: 64,
        server_idle_timeout: 10_000 * MS,
        connect_timeout: 1_000 * MS,
        max_connections_per_server,
        classes: vec!["read".into()],
        tenants: Default::default(),
    };
    let (list_requests, _) = mpsc::unbounded_channel();
    let gateway = Gateway::new(config, list_requests).unwrap();
    gateway.enable_services();
    gateway
}

fn entry(host: &str, at: SocketAddr, phase: Phase) -> ServerEntry {
    let server = Server { phase, ..Server::warm(Endpoint { address: [0; 4], port: 0 }) };
    ServerEntry { host: host.into(), addresses: vec![Some(at)], server, attributes: None }
}

fn add_server(gateway: &Rc<Gateway>, host: &str, at: SocketAddr) {
    gateway.update_servers(ListKind::Changes, vec![entry(host, at, Phase::Ready)]);
}

async fn open(gateway: &Rc<Gateway>, host: &str, at: SocketAddr) -> Result<Rc<Connection>, ConnectError> {
    let server = gateway.fleet(|f| f.endpoint_of(host)).expect("listed");
    connect(gateway, server, HTTP, at).await
}

struct Link(#[allow(dead_code)] Rc<Connection>);

impl PooledConnection for Link {
    fn is_reusable(&self) -> bool {
        true
    }
}

#[test]
fn a_server_in_two_services_gets_no_more_connections_than_in_one() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let first = new_gateway(Some(2));
        let [shop, stock] = ["shop", "stock"].map(|name| first.for_service(name).unwrap());
        add_server(&shop, "a", at);
        add_server(&stock, "a", at);
        let one = open(&shop, "a", at).await.unwrap();
        let two = open(&stock, "a", at).await.unwrap();
        assert_eq!(open(&shop, "a", at).await.err(), Some(ConnectError::Exhausted));
        assert_eq!(open(&stock, "a", at).await.err(), Some(ConnectError::Exhausted));
        // A closed connection is no longer counted, also after the service that opened it was dropped.
        drop(stock);
        drop(two);
        let two = open(&shop, "a", at).await.unwrap();
        drop(one);
        // An idle connection of another service is closed to make room.
        let now = shop.clock.now();
        let server = shop.fleet(|f| f.endpoint_of("a")).unwrap();
        shop.fleet(|f| f.checkin(server, (HTTP, at), Box::new(Link(two)), (now, now)));
        let till = first.for_service("till").unwrap();
        add_server(&till, "a", at);
        let held = [open(&till, "a", at).await.unwrap(), open(&till, "a", at).await.unwrap()];
        assert!(shop.fleet(|f| f.checkout::<Link>(server, HTTP, 0)).is_none(), "it was closed");
        drop(held);
        // Another server is counted separately.
        let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
        add_server(&till, "b", other.local_addr().unwrap());
        assert!(open(&till, "b", other.local_addr().unwrap()).await.is_ok());
    });
}

#[test]
fn operator_commands_on_a_server_apply_to_all_its_services() {
    run(async {
        let at = "127.0.0.1:9".parse().unwrap();
        let first = new_gateway(None);
        let shop = first.for_service("shop").unwrap();
        assert!(first.detach("a").is_err(), "no service has it");
        add_server(&shop, "a", at);
        let dial = |g: &Rc<Gateway>| {
            let server = g.fleet(|f| f.endpoint_of("a")).expect("listed");
            g.fleet(|f| f.address(server, HTTP))
        };
        assert_eq!(dial(&shop), Some(at));
        first.detach("a").unwrap();
        assert_eq!(dial(&shop), None);
        // Also in a service that is added later.
        let stock = first.for_service("stock").unwrap();
        add_server(&stock, "a", at);
        assert_eq!(dial(&stock), None);
        first.attach("a").unwrap();
        assert_eq!([dial(&shop), dial(&stock)], [Some(at); 2]);
        first.apply_fleet_drain("a", true);
        assert_eq!([dial(&shop), dial(&stock)], [None; 2]);
        first.apply_fleet_drain("a", false);
        first.apply_fleet_ban("a", true);
        assert_eq!([dial(&shop), dial(&stock)], [None; 2]);
    });
}

/// Counts how often a future is polled.
struct CountPolls<F>(Pin<Box<F>>, Rc<Cell<u32>>);

impl<F: Future> Future for CountPolls<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        self.1.set(self.1.get() + 1);
        self.0.as_mut().poll(cx)
    }
}

#[test]
fn an_idle_service_wakes_no_task() {
    run(async {
        let first = new_gateway(None);
        let polls = Rc::new(Cell::new(0));
        for k in 0..300 {
            let gateway = first.for_service(&format!("s{k}")).unwrap();
            add_server(&gateway, "a", "127.0.0.1:9".parse().unwrap());
            spawn_local(CountPolls(Box::pin(gateway.run_timers()), polls.clone()));
        }
        // A task that wakes within two seconds of idleness has been polled again by then.
        tokio::time::sleep(Duration::from_millis(2_100)).await;
        assert_eq!(polls.get(), 300, "each once, when it started");
    });
}

/// An exchange whose attempts never end, and which records the local reply.
struct Stuck(Rc<Cell<Option<LocalReply>>>);

impl Exchange for Stuck {
    fn start_attempt(self: Rc<Self>, attempt: Attempt) -> AbortHandle {
        spawn_local(async move {
            std::future::pending::<()>().await;
            drop(attempt);
        })
        .abort_handle()
    }

    fn send_local_reply(&self, end: LocalReply) {
        self.0.set(Some(end));
    }

    fn client_state(&self) -> laurelroute_core::peer::PeerState {
        laurelroute_core::peer::PeerState::Connected
    }

    fn release_request(&self) {}
}

#[test]
fn the_shutdown_deadline_applies_to_the_requests_of_all_services() {
    run(async {
        let first = new_gateway(None);
        let shop = first.for_service("shop").unwrap();
        spawn_local(shop.clone().run_timers());
        add_server(&shop, "a", "127.0.0.1:9".parse().unwrap());
        let ended = Rc::new(Cell::new(None));
        let give_up_at = shop.clock.now() + 5_000 * MS;
        let request = laurelroute_policy::interface::Request::new(0, give_up_at);
        let call =
            laurelroute_core::call::Call { request, give_up_at, label: Default::default(), id_claim: None };
        let _claim = shop.submit(call, Rc::new(Stuck(ended.clone())));
        assert!(ended.get().is_none());
        let started = tokio::time::Instant::now();
        first.set_shutdown_deadline(first.clock.now() + 20 * MS);
        while ended.get().is_none() {
            assert!(started.elapsed() < Duration::from_secs(4), "the request waits for its own deadline");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        // With its request answered, the timers of the gateway end by themselves.
        tokio::time::timeout(Duration::from_secs(20), shop.run_timers_until_idle()).await.unwrap();
        first.process.draining.set(true);
        assert!(first.for_service("late").unwrap().is_draining());
    });
}

/// A resolver whose results the test sets.
#[derive(Default)]
struct FakeResolver {
    gateway: RefCell<Option<Rc<Gateway>>>,
    unknown: Cell<bool>,
    at_capacity: Cell<bool>,
    pins: Cell<i32>,
    change_waits: Cell<u32>,
    changed: Rc<Notify>,
}

impl ServiceResolver for FakeResolver {
    fn resolve(&self, _: &str) -> ServiceStatus {
        match &*self.gateway.borrow() {
            Some(gateway) => ServiceStatus::Available(gateway.clone()),
            None if self.unknown.get() => ServiceStatus::Unknown,
            None if self.at_capacity.get() => ServiceStatus::AtCapacity,
            None => ServiceStatus::Pending,
        }
    }

    fn pin(&self, _: &str) {
        self.pins.set(self.pins.get() + 1);
    }

    fn unpin(&self, _: &str) {
        self.pins.set(self.pins.get() - 1);
    }

    fn status_changed(&self, _: &str) -> Pin<Box<dyn Future<Output = ()>>> {
        self.change_waits.set(self.change_waits.get() + 1);
        let changed = self.changed.clone();
        Box::pin(async move { changed.notified().await })
    }
}

#[test]
fn a_request_waits_for_its_service_within_its_limits() {
    run(async {
        let resolver = Rc::new(FakeResolver::default());
        let services: Rc<dyn ServiceResolver> = resolver.clone();
        let clock = Clock::start();
        let waiting = WaiterCount::default();
        let limits = (&waiting, 1);
        let far = || clock.now() + 60_000 * MS;
        let routed = || ServiceRoute::new(&services, "shop".to_owned());
        // The service never arrives; the wait ends at once if no time is left.
        let route = routed().unwrap();
        assert_eq!(resolver.pins.get(), 1);
        assert_eq!(
            route.gateway(&clock, clock.now() + 10 * MS, limits).await.err(),
            Some(RouteError::TimedOut)
        );
        assert_eq!(route.gateway(&clock, clock.now(), limits).await.err(), Some(RouteError::TimedOut));
        // A request that stops waiting is no longer counted.
        {
            let mut wait = pin!(route.gateway(&clock, far(), limits));
            assert!(tokio::time::timeout(Duration::from_millis(1), &mut wait).await.is_err());
            // Meanwhile a second request may not wait.
            let second = routed().unwrap();
            assert_eq!(second.gateway(&clock, far(), limits).await.err(), Some(RouteError::TooManyWaiting));
        }
        drop(route);
        assert_eq!(resolver.pins.get(), 0);
        // A notification without a change does not end the wait; the arrival of the service does.
        let route = routed().unwrap();
        let arrive = async {
            resolver.changed.notify_waiters();
            tokio::task::yield_now().await;
            *resolver.gateway.borrow_mut() = Some(new_gateway(None));
            resolver.changed.notify_waiters();
        };
        let (gateway, ()) = tokio::join!(route.gateway(&clock, far(), limits), arrive);
        assert!(gateway.is_ok_and(|(_, waited)| waited));
        assert!(
            route.gateway(&clock, 0, limits).await.is_ok_and(|(_, waited)| !waited),
            "an available service needs no wait"
        );
        drop(route);
        resolver.gateway.take();
        // The service turns out not to exist while a request waits.
        let route = routed().unwrap();
        let arrive = async {
            resolver.unknown.set(true);
            resolver.changed.notify_waiters();
        };
        let (unknown, ()) = tokio::join!(route.gateway(&clock, far(), limits), arrive);
        assert_eq!(unknown.err(), Some(RouteError::Unknown));
        drop(route);
        assert_eq!(routed().err(), Some(RouteError::Unknown));
        resolver.unknown.set(false);
        resolver.at_capacity.set(true);
        assert_eq!(routed().err(), Some(RouteError::AtCapacity));
        assert_eq!(resolver.pins.get(), 0, "refused requests hold no pin");
    });
}

#[test]
fn a_wait_leaves_time_for_the_response() {
    let settings = Settings::single_class(300 * MS, 900 * MS);
    assert_eq!(wait_deadline(&settings, 0, 1_000 * MS), 900 * MS);
    assert_eq!(wait_deadline(&settings, 0, 50 * MS), 0, "too little is left to wait at all");
    assert_eq!(wait_deadline(&settings, 9, 50 * MS), 50 * MS);
}

/// Guards against per-service counters of tenants: 380,000 tenants in 300 services would take 4.6 GB.
#[test]
fn a_service_has_no_tenant_counters_of_its_own() {
    let first = new_gateway_with(None, vec![5.0; 1_000]);
    let shop = first.for_service("shop").unwrap();
    assert_eq!(first.admission_rates()[1].len(), 1_000);
    assert_eq!(shop.admission_rates()[1].len(), 0);
}
