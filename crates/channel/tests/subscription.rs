//! Sessions of subscribers and publishers over in-memory streams.

use laurelroute_channel::frames;
use laurelroute_channel::hello::{self, HelloError, Identity};
use laurelroute_channel::subscription::{PublisherServer, SessionError, SubscriberClient, MAX_STARTING};
use laurelroute_plan::member::Member;
use laurelroute_plan::services::publisher::{self, ListedServer, Publisher};
use laurelroute_plan::services::subscriber::{self, Change, ServiceStatus, Subscriber};
use laurelroute_plan::wire::{Body, Hello, Refusal, Role};
use laurelroute_policy::interface::{Nanos, Phase};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::DuplexStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle, LocalSet};

const SITE: &str = "perth";

fn identity(role: Role, name: &str, incarnation: u64) -> Identity {
    Identity { role, name: name.into(), site: SITE.into(), incarnation, zone: 1, services: true }
}

/// The time since the start of the test plus one second, as zero means no time.
fn clock() -> Rc<dyn Fn() -> Nanos> {
    let start = Instant::now();
    Rc::new(move || 1_000_000_000 + start.elapsed().as_nanos() as Nanos)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn until(what: &str, met: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !met() {
        assert!(Instant::now() < end, "not within 30 s: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A planner that can be stopped and restarted.
struct Planner {
    publishing: Rc<PublisherServer>,
    identity: Identity,
    alive: Cell<bool>,
    sessions: RefCell<Vec<AbortHandle>>,
    ended: RefCell<Vec<Result<(), SessionError>>>,
}

impl Planner {
    fn new(now: &Rc<dyn Fn() -> Nanos>, name: &str, max_forwarders: usize) -> Rc<Self> {
        let incarnation = now() / 1_000_000;
        let settings = publisher::Settings {
            site: SITE.into(),
            incarnation,
            planners: 2,
            max_forwarders,
            bytes_per_second: 7_000.0,
            burst: 36_000.0,
            drain_bytes_per_second: 1_500.0,
            drain_burst: 4_000.0,
        };
        let clock = now.clone();
        let publishing = PublisherServer::new(Publisher::new(now(), settings), Box::new(move || clock()));
        let planner = Rc::new(Planner {
            publishing: Rc::new(publishing),
            identity: identity(Role::Planner, name, incarnation),
            alive: Cell::new(true),
            sessions: RefCell::default(),
            ended: RefCell::default(),
        });
        let ticking = planner.publishing.clone();
        spawn_local(async move { ticking.run_timer().await });
        planner
    }

    fn list(&self, version: u64, full: bool, entries: Vec<ListedServer>) {
        let dropped = self.publishing.with(|p, now| p.apply_list(now, version, full, entries));
        assert_eq!(dropped, publisher::Dropped::default());
    }

    fn connect(self: &Rc<Self>) -> std::io::Result<DuplexStream> {
        if !self.alive.get() {
            return Err(std::io::ErrorKind::ConnectionRefused.into());
        }
        let (near, mut far) = tokio::io::duplex(1 << 16);
        let planner = self.clone();
        let session = spawn_local(async move {
            let peer = hello::receive_hello(&mut far, &planner.identity, &[Role::Forwarder]).await.unwrap();
            let ended = planner.publishing.serve(far, &planner.identity, &peer).await;
            planner.ended.borrow_mut().push(ended);
        });
        self.sessions.borrow_mut().push(session.abort_handle());
        Ok(near)
    }

    fn stop(&self) {
        self.alive.set(false);
        self.sessions.borrow_mut().drain(..).for_each(|s| s.abort());
    }

    fn forwarders(&self) -> usize {
        self.publishing.with(|p, _| p.stats().forwarders)
    }
}

struct Forwarder {
    subscriber: RefCell<Subscriber>,
    interest_added: Notify,
    changes: RefCell<Vec<Change>>,
    session_events: RefCell<Vec<(usize, Result<String, String>)>>,
    now: Rc<dyn Fn() -> Nanos>,
}

impl Forwarder {
    fn start(now: &Rc<dyn Fn() -> Nanos>, name: &str, planners: &[Rc<Planner>]) -> (Rc<Self>, AbortHandle) {
        Self::start_process(now, name, 1, planners)
    }

    fn start_process(
        now: &Rc<dyn Fn() -> Nanos>,
        name: &str,
        incarnation: u64,
        planners: &[Rc<Planner>],
    ) -> (Rc<Self>, AbortHandle) {
        let settings = subscriber::Settings {
            name: name.into(),
            site: SITE.into(),
            planners: planners.iter().map(|p| p.identity.name.clone()).collect(),
            max_services: 100,
            max_bytes: 1 << 20,
            unused_timeout: 600_000_000_000,
            unknown_ttl: 10_000_000_000,
            bytes_per_second: 1_500.0,
            burst: 8_000.0,
            receive_bytes_per_second: 7_000.0,
            receive_burst: 36_000.0,
            seed: 7,
        };
        let forwarder = Rc::new(Forwarder {
            subscriber: RefCell::new(Subscriber::new(now(), settings)),
            interest_added: Notify::new(),
            changes: RefCell::default(),
            session_events: RefCell::default(),
            now: now.clone(),
        });
        let (own, planners, state) =
            (identity(Role::Forwarder, name, incarnation), planners.to_vec(), forwarder.clone());
        let task = spawn_local(async move {
            let changed = || {
                let mut changes = state.subscriber.borrow_mut().changes();
                state.changes.borrow_mut().append(&mut changes);
            };
            let session_events = |planner, result: Result<&Hello, &SessionError>| {
                let result = result.map(|h| h.name.clone()).map_err(|e| e.to_string());
                state.session_events.borrow_mut().push((planner, result));
            };
            let subscribing = SubscriberClient {
                subscriber: &state.subscriber,
                now: &*state.now,
                interest_added: &state.interest_added,
                on_change: &changed,
                report: &|now| state.subscriber.borrow_mut().next_report(now, &mut std::iter::empty()),
                on_session: &session_events,
            };
            let planners = &planners;
            subscribing.run(&own, |planner| async move { planners[planner].connect() }).await;
        });
        (forwarder, task.abort_handle())
    }

    fn lookup(&self, service: &str) -> ServiceStatus {
        let status = self.subscriber.borrow_mut().lookup((self.now)(), service);
        self.interest_added.notify_one();
        status
    }

    fn phases(&self, service: &str) -> Vec<(String, Phase)> {
        let subscriber = self.subscriber.borrow();
        let members = subscriber.members_of(service).unwrap_or_default();
        let mut phases: Vec<_> = members.iter().map(|m| (m.name.clone(), m.server.phase)).collect();
        phases.sort_by(|a, b| a.0.cmp(&b.0));
        phases
    }

    fn planner(&self) -> Option<usize> {
        self.subscriber.borrow().planner()
    }
}

fn listed(service: &str, name: &str, phase: Phase) -> ListedServer {
    ListedServer { services: vec![service.into()], member: Member::warm(name).in_phase(phase) }
}

fn two_services() -> Vec<ListedServer> {
    vec![
        listed("shop", "a", Phase::Ready),
        listed("shop", "b", Phase::Ready),
        listed("stock", "c", Phase::Ready),
    ]
}

#[test]
fn a_service_is_received_on_lookup_and_a_drain_is_rolled_out() {
    run(async {
        let now = clock();
        let planner = Planner::new(&now, "p0", 10);
        planner.list(1, true, two_services());
        let (forwarder, _) = Forwarder::start(&now, "f0", std::slice::from_ref(&planner));
        assert_eq!(forwarder.lookup("shop"), ServiceStatus::Pending);
        until("shop is available", || forwarder.lookup("shop") == ServiceStatus::Available).await;
        let ready = |n: &str| (n.to_owned(), Phase::Ready);
        assert_eq!(forwarder.phases("shop"), [ready("a"), ready("b")]);
        assert_eq!(forwarder.phases("stock"), [], "it was not looked up");
        assert!(
            matches!(&forwarder.changes.borrow()[..], [Change::Members { service, .. }, ..] if service == "shop")
        );
        until("an unlisted service is unknown", || forwarder.lookup("strange") == ServiceStatus::Unknown)
            .await;
        planner.list(2, false, vec![listed("shop", "b", Phase::Draining)]);
        until("the drain is rolled out", || {
            planner
                .publishing
                .with(|p, _| p.rollout_status(2))
                .is_some_and(|f| (f.acknowledged, f.subscriptions) == (1, 1))
        })
        .await;
        assert_eq!(forwarder.phases("shop"), [ready("a"), ("b".into(), Phase::Draining)]);
    });
}

#[test]
fn services_stay_available_while_another_planner_takes_over() {
    run(async {
        let now = clock();
        let planners = [Planner::new(&now, "p0", 10), Planner::new(&now, "p1", 10)];
        planners.iter().for_each(|p| p.list(1, true, two_services()));
        let (forwarder, _) = Forwarder::start(&now, "f0", &planners);
        until("shop is available", || forwarder.lookup("shop") == ServiceStatus::Available).await;
        let first = forwarder.planner().expect("connected");
        planners[first].stop();
        until("the other planner is followed", || forwarder.planner() == Some(1 - first)).await;
        assert_eq!(forwarder.lookup("shop"), ServiceStatus::Available);
        until("it is subscribed there", || {
            planners[1 - first].publishing.with(|p, _| p.stats().subscriptions) > 0
        })
        .await;
        planners[1 - first].list(2, false, vec![listed("shop", "a", Phase::Draining)]);
        until("the drain is received", || forwarder.phases("shop")[0].1 == Phase::Draining).await;
        planners[1 - first].stop();
        until("no planner is connected", || forwarder.planner().is_none()).await;
        assert_eq!(forwarder.lookup("shop"), ServiceStatus::Available);
        assert_eq!(forwarder.lookup("stock"), ServiceStatus::Pending);
        // The planners restart, and the service looked up meanwhile is received.
        planners.iter().for_each(|p| p.alive.set(true));
        until("stock is available", || forwarder.lookup("stock") == ServiceStatus::Available).await;
    });
}

#[test]
fn a_planner_at_capacity_refuses_before_the_handshake_completes() {
    run(async {
        let now = clock();
        let planners = [Planner::new(&now, "p0", 1), Planner::new(&now, "p1", 1)];
        planners.iter().for_each(|p| p.list(1, true, two_services()));
        let forwarders: Vec<_> =
            ["f0", "f1"].iter().map(|name| Forwarder::start(&now, name, &planners)).collect();
        until("each planner has one forwarder", || planners.iter().all(|p| p.forwarders() == 1)).await;
        until("both are served", || {
            forwarders.iter().all(|(f, _)| f.lookup("shop") == ServiceStatus::Available)
        })
        .await;
        assert_ne!(forwarders[0].0.planner(), forwarders[1].0.planner());
        // A third forwarder is refused by both planners.
        let (third, _) = Forwarder::start(&now, "f2", &planners);
        let refused = |planner| {
            third.session_events.borrow().iter().any(|(at, result)| {
                *at == planner
                    && matches!(result, Err(reason) if reason.contains("1 forwarders are here already"))
            })
        };
        until("both planners have refused", || refused(0) && refused(1)).await;
        assert_eq!(third.planner(), None);
        // A forwarder that disconnects makes room.
        forwarders[0].1.abort();
        until("the third is served", || third.lookup("shop") == ServiceStatus::Available).await;
    });
}

#[test]
fn a_newer_connection_of_the_same_process_replaces_the_older() {
    run(async {
        let now = clock();
        let planner = Planner::new(&now, "p0", 10);
        planner.list(1, true, two_services());
        let mut first = planner.connect().unwrap();
        hello::connect(&mut first, &identity(Role::Forwarder, "f0", 1), Role::Planner).await.unwrap();
        let mut second = planner.connect().unwrap();
        hello::connect(&mut second, &identity(Role::Forwarder, "f0", 1), Role::Planner).await.unwrap();
        until("the first has ended", || !planner.ended.borrow().is_empty()).await;
        assert!(matches!(planner.ended.borrow()[..], [Err(SessionError::Replaced)]));
        let refusal = loop {
            match frames::read(&mut first).await.unwrap() {
                Some(Body::Refusal(Refusal { reason })) => break reason,
                _ => continue,
            }
        };
        assert!(refusal.contains("a newer connection"), "{refusal}");
        assert_eq!(planner.forwarders(), 1);
        // Messages of the second connection are still processed.
        frames::write(&mut second, Body::Subscribe(Subscriber::leave_message())).await.unwrap();
        drop(second);
        until("the second has left", || planner.ended.borrow().len() == 2).await;
        assert!(planner.ended.borrow()[1].is_ok());
        assert_eq!(planner.forwarders(), 0);
    });
}

#[test]
fn a_new_process_is_served_beside_the_old_one() {
    run(async {
        let now = clock();
        let planner = Planner::new(&now, "p0", 10);
        planner.list(1, true, two_services());
        let start =
            |incarnation| Forwarder::start_process(&now, "f0", incarnation, std::slice::from_ref(&planner));
        let (old, task) = start(1);
        until("the old process is served", || old.lookup("shop") == ServiceStatus::Available).await;
        let (new, _) = start(2);
        until("the new process is served", || new.lookup("shop") == ServiceStatus::Available).await;
        let rollout = |version| {
            planner
                .publishing
                .with(|p, _| p.rollout_status(version))
                .map(|f| (f.acknowledged, f.subscriptions))
        };
        planner.list(2, false, vec![listed("shop", "a", Phase::Draining)]);
        until("both receive a drain", || rollout(2) == Some((2, 2))).await;
        assert!(planner.ended.borrow().is_empty(), "neither replaces the other");
        // A third process replaces the first, which reconnects and is refused as older than both.
        let (third, _) = start(3);
        until("the third is served", || third.lookup("shop") == ServiceStatus::Available).await;
        until("the session of the old process has ended", || !planner.ended.borrow().is_empty()).await;
        assert!(matches!(planner.ended.borrow()[..], [Err(SessionError::Replaced)]));
        until("it is refused because of newer processes", || {
            let newer = |result: &Result<String, String>| {
                matches!(result, Err(reason) if reason.contains("it refuses") && reason.contains("a newer connection"))
            };
            old.session_events.borrow().iter().filter(|(_, result)| newer(result)).count() > 1
        })
        .await;
        task.abort();
        // The process that ended does not count as lagging, as others of the forwarder are connected.
        planner.list(3, false, vec![listed("shop", "a", Phase::Ready)]);
        until("the two remaining processes have acknowledged", || rollout(3) == Some((2, 2))).await;
    });
}

#[test]
fn the_number_of_starting_forwarders_is_limited_and_the_others_wait() {
    run(async {
        let now = clock();
        let planner = Planner::new(&now, "p0", 1_000);
        planner.list(1, true, two_services());
        let mut streams = Vec::new();
        for k in 0..MAX_STARTING {
            let mut stream = planner.connect().unwrap();
            let own = identity(Role::Forwarder, &format!("f{k}"), 1);
            hello::connect(&mut stream, &own, Role::Planner).await.unwrap();
            streams.push(stream);
        }
        assert_eq!(planner.forwarders(), MAX_STARTING);
        // None of them has subscribed yet. The next one waits until their start times out.
        let mut stream = planner.connect().unwrap();
        let own = identity(Role::Forwarder, "late", 1);
        hello::connect(&mut stream, &own, Role::Planner).await.unwrap();
        assert_eq!(planner.forwarders(), MAX_STARTING + 1);
        // Forwarders that subscribe have started as soon as they have received their services.
        let forwarders: Vec<_> = (0..3 * MAX_STARTING)
            .map(|k| Forwarder::start(&now, &format!("g{k}"), std::slice::from_ref(&planner)).0)
            .collect();
        until("all have their services", || {
            forwarders.iter().all(|f| f.lookup("shop") == ServiceStatus::Available)
        })
        .await;
    });
}

#[test]
fn a_forwarder_without_services_is_sent_the_reason() {
    run(async {
        let now = clock();
        let planner = Planner::new(&now, "p0", 10);
        let mut stream = planner.connect().unwrap();
        let own = Identity { services: false, ..identity(Role::Forwarder, "f0", 1) };
        let refused = hello::connect(&mut stream, &own, Role::Planner).await.unwrap_err();
        assert!(
            matches!(&refused, HelloError::Refused(reason) if reason.contains("goes by services")),
            "{refused}"
        );
        until("its session has ended", || !planner.ended.borrow().is_empty()).await;
        assert!(matches!(planner.ended.borrow()[..], [Err(SessionError::NoServices)]));
        assert_eq!(planner.forwarders(), 0);
    });
}

#[test]
fn invalid_bytes_end_the_session_with_a_decoding_error() {
    run(async {
        let now = clock();
        let planner = Planner::new(&now, "p0", 10);
        let mut stream = planner.connect().unwrap();
        hello::connect(&mut stream, &identity(Role::Forwarder, "f0", 1), Role::Planner).await.unwrap();
        tokio::io::AsyncWriteExt::write_all(&mut stream, &[0, 0, 0, 1, 0xff]).await.unwrap();
        until("it has ended", || !planner.ended.borrow().is_empty()).await;
        assert!(matches!(
            planner.ended.borrow()[..],
            [Err(SessionError::Frame(frames::FrameError::Unreadable(_)))]
        ));
        assert_eq!(planner.forwarders(), 0);
    });
}
