//! Gateways beside one another in one process: what counts once for all of them, and what a service costs at rest.

use laurelroute_core::call::{Exchange, LocalReply, Wire};
use laurelroute_core::clock::Clock;
use laurelroute_core::connect::{connect, ConnectError, ConnectionPermit};
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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, AbortHandle, LocalSet};

const MS: Nanos = 1_000_000;
const HTTP: Wire = Wire(0);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn first(max_connections_per_server: Option<u32>) -> Rc<Gateway> {
    first_with(max_connections_per_server, Vec::new())
}

fn first_with(max_connections_per_server: Option<u32>, tenant_quota: Vec<f64>) -> Rc<Gateway> {
    let site = GatewayConfig {
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
    let (calls, _) = mpsc::unbounded_channel();
    let gateway = Gateway::new(site, calls).unwrap();
    gateway.enable_services();
    gateway
}

fn entry(host: &str, at: SocketAddr, phase: Phase) -> ServerEntry {
    let server = Server { phase, ..Server::warm(Endpoint { address: [0; 4], port: 0 }) };
    ServerEntry { host: host.into(), addresses: vec![Some(at)], server, attributes: None }
}

fn list(gateway: &Rc<Gateway>, host: &str, at: SocketAddr) {
    gateway.update_servers(ListKind::Changes, vec![entry(host, at, Phase::Ready)]);
}

async fn to(
    gateway: &Rc<Gateway>,
    host: &str,
    at: SocketAddr,
) -> Result<(TcpStream, ConnectionPermit), ConnectError> {
    let server = gateway.fleet(|f| f.endpoint_of(host)).expect("listed");
    connect(gateway, server, HTTP, at).await
}

struct Link(#[allow(dead_code)] (TcpStream, ConnectionPermit));

impl PooledConnection for Link {
    fn is_reusable(&self) -> bool {
        true
    }
}

#[test]
fn a_server_in_two_services_holds_no_more_connections_than_in_one() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let first = first(Some(2));
        let [shop, stock] = ["shop", "stock"].map(|name| first.for_service(name).unwrap());
        list(&shop, "a", at);
        list(&stock, "a", at);
        let one = to(&shop, "a", at).await.unwrap();
        let two = to(&stock, "a", at).await.unwrap();
        assert_eq!(to(&shop, "a", at).await.err(), Some(ConnectError::Exhausted));
        assert_eq!(to(&stock, "a", at).await.err(), Some(ConnectError::Exhausted));
        // One that is given back counts nowhere any longer, also after the service that opened it has gone.
        drop(stock);
        drop(two);
        let two = to(&shop, "a", at).await.unwrap();
        drop(one);
        // A connection that another service keeps makes room.
        let now = shop.clock.now();
        let server = shop.fleet(|f| f.endpoint_of("a")).unwrap();
        shop.fleet(|f| f.checkin(server, (HTTP, at), Box::new(Link(two)), (now, now)));
        let till = first.for_service("till").unwrap();
        list(&till, "a", at);
        let held = [to(&till, "a", at).await.unwrap(), to(&till, "a", at).await.unwrap()];
        assert!(shop.fleet(|f| f.checkout::<Link>(server, HTTP, 0)).is_none(), "it was closed");
        drop(held);
        // Another server is another count.
        let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
        list(&till, "b", other.local_addr().unwrap());
        assert!(to(&till, "b", other.local_addr().unwrap()).await.is_ok());
    });
}

#[test]
fn what_operators_say_of_a_server_counts_in_every_service_that_has_it() {
    run(async {
        let at = "127.0.0.1:9".parse().unwrap();
        let first = first(None);
        let shop = first.for_service("shop").unwrap();
        assert!(first.detach("a").is_err(), "nobody has it");
        list(&shop, "a", at);
        let dial = |g: &Rc<Gateway>| {
            let server = g.fleet(|f| f.endpoint_of("a")).expect("listed");
            g.fleet(|f| f.address(server, HTTP))
        };
        assert_eq!(dial(&shop), Some(at));
        first.detach("a").unwrap();
        assert_eq!(dial(&shop), None);
        // Also in one that comes later.
        let stock = first.for_service("stock").unwrap();
        list(&stock, "a", at);
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

/// Counts how often a future is looked at.
struct Counted<F>(Pin<Box<F>>, Rc<Cell<u32>>);

impl<F: Future> Future for Counted<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        self.1.set(self.1.get() + 1);
        self.0.as_mut().poll(cx)
    }
}

#[test]
fn a_service_at_rest_wakes_nobody() {
    run(async {
        let first = first(None);
        let looks = Rc::new(Cell::new(0));
        for k in 0..300 {
            let gateway = first.for_service(&format!("s{k}")).unwrap();
            list(&gateway, "a", "127.0.0.1:9".parse().unwrap());
            spawn_local(Counted(Box::pin(gateway.run_timers()), looks.clone()));
        }
        // Whatever wakes within two seconds of rest has been seen by then.
        tokio::time::sleep(Duration::from_millis(2_100)).await;
        assert_eq!(looks.get(), 300, "each once, as it began");
    });
}

/// An exchange whose attempts never end.
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
}

#[test]
fn the_end_of_the_process_is_the_end_of_every_services_requests() {
    run(async {
        let first = first(None);
        let shop = first.for_service("shop").unwrap();
        spawn_local(shop.clone().run_timers());
        list(&shop, "a", "127.0.0.1:9".parse().unwrap());
        let ended = Rc::new(Cell::new(None));
        let give_up_at = shop.clock.now() + 5_000 * MS;
        let request = laurelroute_policy::interface::Request::new(0, give_up_at);
        let call = laurelroute_core::call::Call { request, give_up_at, label: Default::default() };
        let _claim = shop.submit(call, Rc::new(Stuck(ended.clone())));
        assert!(ended.get().is_none());
        let asked = tokio::time::Instant::now();
        first.set_shutdown_deadline(first.clock.now() + 20 * MS);
        while ended.get().is_none() {
            assert!(asked.elapsed() < Duration::from_secs(4), "it waits for its own time");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        // Dropped, it comes to rest by itself.
        tokio::time::timeout(Duration::from_secs(20), shop.run_timers_until_idle()).await.unwrap();
        first.process.draining.set(true);
        assert!(first.for_service("late").unwrap().is_draining());
    });
}

/// Services by a script.
#[derive(Default)]
struct Script {
    held: RefCell<Option<Rc<Gateway>>>,
    unknown: Cell<bool>,
    full: Cell<bool>,
    pins: Cell<i32>,
    waiters: Cell<u32>,
    news: Rc<Notify>,
}

impl ServiceResolver for Script {
    fn resolve(&self, _: &str) -> ServiceStatus {
        match &*self.held.borrow() {
            Some(gateway) => ServiceStatus::Available(gateway.clone()),
            None if self.unknown.get() => ServiceStatus::Unknown,
            None if self.full.get() => ServiceStatus::AtCapacity,
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
        self.waiters.set(self.waiters.get() + 1);
        let news = self.news.clone();
        Box::pin(async move { news.notified().await })
    }
}

#[test]
fn a_request_waits_for_its_service_and_no_longer_than_it_may() {
    run(async {
        let script = Rc::new(Script::default());
        let services: Rc<dyn ServiceResolver> = script.clone();
        let clock = Clock::start();
        let waits_here = WaiterCount::default();
        let room = (&waits_here, 1);
        let far = || clock.now() + 60_000 * MS;
        let routed = || ServiceRoute::new(&services, "shop".to_owned());
        // In vain, and at once where no time is left.
        let waits = routed().unwrap();
        assert_eq!(script.pins.get(), 1);
        assert_eq!(
            waits.gateway(&clock, clock.now() + 10 * MS, room).await.err(),
            Some(RouteError::TimedOut)
        );
        assert_eq!(waits.gateway(&clock, clock.now(), room).await.err(), Some(RouteError::TimedOut));
        // One that leaves is not counted any longer.
        {
            let mut waiting = pin!(waits.gateway(&clock, far(), room));
            assert!(tokio::time::timeout(Duration::from_millis(1), &mut waiting).await.is_err());
            // Meanwhile there is no room for a second one to wait.
            let second = routed().unwrap();
            assert_eq!(second.gateway(&clock, far(), room).await.err(), Some(RouteError::TooManyWaiting));
        }
        drop(waits);
        assert_eq!(script.pins.get(), 0);
        // News of others change nothing; its own ends the wait.
        let waits = routed().unwrap();
        let come = async {
            script.news.notify_waiters();
            tokio::task::yield_now().await;
            *script.held.borrow_mut() = Some(first(None));
            script.news.notify_waiters();
        };
        let (gateway, ()) = tokio::join!(waits.gateway(&clock, far(), room), come);
        assert!(gateway.is_ok_and(|(_, waited)| waited));
        assert!(
            waits.gateway(&clock, 0, room).await.is_ok_and(|(_, waited)| !waited),
            "held ones cost no wait"
        );
        drop(waits);
        script.held.take();
        // It turns out not to exist while somebody waits.
        let waits = routed().unwrap();
        let come = async {
            script.unknown.set(true);
            script.news.notify_waiters();
        };
        let (unknown, ()) = tokio::join!(waits.gateway(&clock, far(), room), come);
        assert_eq!(unknown.err(), Some(RouteError::Unknown));
        drop(waits);
        assert_eq!(routed().err(), Some(RouteError::Unknown));
        script.unknown.set(false);
        script.full.set(true);
        assert_eq!(routed().err(), Some(RouteError::AtCapacity));
        assert_eq!(script.pins.get(), 0, "what is turned away pins nothing");
    });
}

#[test]
fn a_wait_leaves_the_time_that_an_answer_takes() {
    let settings = Settings::single_class(300 * MS, 900 * MS);
    assert_eq!(wait_deadline(&settings, 0, 1_000 * MS), 900 * MS);
    assert_eq!(wait_deadline(&settings, 0, 50 * MS), 0, "too little is left to wait at all");
    assert_eq!(wait_deadline(&settings, 9, 50 * MS), 50 * MS);
}

/// 380,000 tenants in 300 services would be 4.6 GB.
#[test]
fn a_service_counts_no_tenants_of_its_own() {
    let first = first_with(None, vec![5.0; 1_000]);
    let shop = first.for_service("shop").unwrap();
    assert_eq!(first.admission_rates()[1].len(), 1_000);
    assert_eq!(shop.admission_rates()[1].len(), 0);
}
