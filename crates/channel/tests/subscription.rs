//! What two machines say to each other by the session loops, over streams in memory.

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

fn identity(role: Role, name: &str, life: u64) -> Identity {
    Identity { role, name: name.into(), site: SITE.into(), incarnation: life, zone: 1, services: true }
}

/// The time since the test's start, not from zero: that is no time.
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

/// A planner that may be stopped and started again.
struct Planner {
    publishing: Rc<PublisherServer>,
    identity: Identity,
    alive: Cell<bool>,
    sessions: RefCell<Vec<AbortHandle>>,
    ended: RefCell<Vec<Result<(), SessionError>>>,
}

impl Planner {
    fn new(now: &Rc<dyn Fn() -> Nanos>, name: &str, max_forwarders: usize) -> Rc<Self> {
        let life = now() / 1_000_000;
        let settings = publisher::Settings {
            site: SITE.into(),
            incarnation: life,
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
            identity: identity(Role::Planner, name, life),
            alive: Cell::new(true),
            sessions: RefCell::default(),
            ended: RefCell::default(),
        });
        let ticking = planner.publishing.clone();
        spawn_local(async move { ticking.run_timer().await });
        planner
    }

    fn list(&self, version: u64, whole: bool, entries: Vec<ListedServer>) {
        let dropped = self.publishing.with(|p, now| p.apply_list(now, version, whole, entries));
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
    wanted: Notify,
    changes: RefCell<Vec<Change>>,
    noted: RefCell<Vec<(usize, Result<String, String>)>>,
    now: Rc<dyn Fn() -> Nanos>,
}

impl Forwarder {
    fn start(now: &Rc<dyn Fn() -> Nanos>, name: &str, planners: &[Rc<Planner>]) -> (Rc<Self>, AbortHandle) {
        Self::born(now, name, 1, planners)
    }

    fn born(
        now: &Rc<dyn Fn() -> Nanos>,
        name: &str,
        life: u64,
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
            wanted: Notify::new(),
            changes: RefCell::default(),
            noted: RefCell::default(),
            now: now.clone(),
        });
        let (own, planners, kept) =
            (identity(Role::Forwarder, name, life), planners.to_vec(), forwarder.clone());
        let task = spawn_local(async move {
            let changed = || {
                let mut changes = kept.subscriber.borrow_mut().changes();
                kept.changes.borrow_mut().append(&mut changes);
            };
            let noted = |place, word: Result<&Hello, &SessionError>| {
                let word = word.map(|h| h.name.clone()).map_err(|e| e.to_string());
                kept.noted.borrow_mut().push((place, word));
            };
            let subscribing = SubscriberClient {
                subscriber: &kept.subscriber,
                now: &*kept.now,
                interest_added: &kept.wanted,
                on_change: &changed,
                report: &|now| kept.subscriber.borrow_mut().next_report(now, &mut std::iter::empty()),
                on_session: &noted,
            };
            let planners = &planners;
            subscribing.run(&own, |place| async move { planners[place].connect() }).await;
        });
        (forwarder, task.abort_handle())
    }

    fn want(&self, service: &str) -> ServiceStatus {
        let standing = self.subscriber.borrow_mut().lookup((self.now)(), service);
        self.wanted.notify_one();
        standing
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

fn both() -> Vec<ListedServer> {
    vec![
        listed("shop", "a", Phase::Ready),
        listed("shop", "b", Phase::Ready),
        listed("stock", "c", Phase::Ready),
    ]
}

#[test]
fn a_service_is_heard_of_as_it_is_wanted_and_a_drain_is_in_force() {
    run(async {
        let now = clock();
        let planner = Planner::new(&now, "p0", 10);
        planner.list(1, true, both());
        let (forwarder, _) = Forwarder::start(&now, "f0", std::slice::from_ref(&planner));
        assert_eq!(forwarder.want("shop"), ServiceStatus::Pending);
        until("shop is held", || forwarder.want("shop") == ServiceStatus::Available).await;
        let ready = |n: &str| (n.to_owned(), Phase::Ready);
        assert_eq!(forwarder.phases("shop"), [ready("a"), ready("b")]);
        assert_eq!(forwarder.phases("stock"), [], "nobody has asked for it");
        assert!(
            matches!(&forwarder.changes.borrow()[..], [Change::Members { service, .. }, ..] if service == "shop")
        );
        until("strangers are unknown", || forwarder.want("strange") == ServiceStatus::Unknown).await;
        planner.list(2, false, vec![listed("shop", "b", Phase::Draining)]);
        until("the drain is in force", || {
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
fn another_planner_takes_over_and_what_is_held_stays_meanwhile() {
    run(async {
        let now = clock();
        let planners = [Planner::new(&now, "p0", 10), Planner::new(&now, "p1", 10)];
        planners.iter().for_each(|p| p.list(1, true, both()));
        let (forwarder, _) = Forwarder::start(&now, "f0", &planners);
        until("shop is held", || forwarder.want("shop") == ServiceStatus::Available).await;
        let first = forwarder.planner().expect("connected");
        planners[first].stop();
        until("the other leads", || forwarder.planner() == Some(1 - first)).await;
        assert_eq!(forwarder.want("shop"), ServiceStatus::Available);
        until("it is subscribed there", || {
            planners[1 - first].publishing.with(|p, _| p.stats().subscriptions) > 0
        })
        .await;
        planners[1 - first].list(2, false, vec![listed("shop", "a", Phase::Draining)]);
        until("the drain came", || forwarder.phases("shop")[0].1 == Phase::Draining).await;
        planners[1 - first].stop();
        until("no planner is there", || forwarder.planner().is_none()).await;
        assert_eq!(forwarder.want("shop"), ServiceStatus::Available);
        assert_eq!(forwarder.want("stock"), ServiceStatus::Pending);
        // Back, and what was asked for meanwhile comes.
        planners.iter().for_each(|p| p.alive.set(true));
        until("stock is held", || forwarder.want("stock") == ServiceStatus::Available).await;
    });
}

#[test]
fn a_planner_that_is_full_says_so_before_it_greets() {
    run(async {
        let now = clock();
        let planners = [Planner::new(&now, "p0", 1), Planner::new(&now, "p1", 1)];
        planners.iter().for_each(|p| p.list(1, true, both()));
        let forwarders: Vec<_> =
            ["f0", "f1"].iter().map(|name| Forwarder::start(&now, name, &planners)).collect();
        until("each planner has one", || planners.iter().all(|p| p.forwarders() == 1)).await;
        until("both are led", || forwarders.iter().all(|(f, _)| f.want("shop") == ServiceStatus::Available))
            .await;
        assert_ne!(forwarders[0].0.planner(), forwarders[1].0.planner());
        // A third finds no place, and hears why.
        let (third, _) = Forwarder::start(&now, "f2", &planners);
        let heard = |place| {
            third.noted.borrow().iter().any(|(at, word)| {
                *at == place && matches!(word, Err(why) if why.contains("1 forwarders are here already"))
            })
        };
        until("both have refused", || heard(0) && heard(1)).await;
        assert_eq!(third.planner(), None);
        // One that goes makes room.
        forwarders[0].1.abort();
        until("the third is led", || third.want("shop") == ServiceStatus::Available).await;
    });
}

#[test]
fn a_newer_connection_of_the_same_process_replaces_the_older() {
    run(async {
        let now = clock();
        let planner = Planner::new(&now, "p0", 10);
        planner.list(1, true, both());
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
        // What the second says is heard still.
        frames::write(&mut second, Body::Subscribe(Subscriber::leave_message())).await.unwrap();
        drop(second);
        until("the second has left", || planner.ended.borrow().len() == 2).await;
        assert!(planner.ended.borrow()[1].is_ok());
        assert_eq!(planner.forwarders(), 0);
    });
}

#[test]
fn who_takes_over_is_led_beside_the_one_that_it_takes_over_from() {
    run(async {
        let now = clock();
        let planner = Planner::new(&now, "p0", 10);
        planner.list(1, true, both());
        let start = |life| Forwarder::born(&now, "f0", life, std::slice::from_ref(&planner));
        let (elder, task) = start(1);
        until("the elder is led", || elder.want("shop") == ServiceStatus::Available).await;
        let (heir, _) = start(2);
        until("so is the heir", || heir.want("shop") == ServiceStatus::Available).await;
        let rollout = |version| {
            planner
                .publishing
                .with(|p, _| p.rollout_status(version))
                .map(|f| (f.acknowledged, f.subscriptions))
        };
        planner.list(2, false, vec![listed("shop", "a", Phase::Draining)]);
        until("both hear of a drain", || rollout(2) == Some((2, 2))).await;
        assert!(planner.ended.borrow().is_empty(), "neither pushes the other out");
        // A third one has the place of the first; one of an earlier life than both is told so.
        let (third, _) = start(3);
        until("the third is led", || third.want("shop") == ServiceStatus::Available).await;
        until("the elder has ended", || !planner.ended.borrow().is_empty()).await;
        assert!(matches!(planner.ended.borrow()[..], [Err(SessionError::Replaced)]));
        until("it hears that newer ones are there", || {
            let newer = |word: &Result<String, String>| {
                matches!(word, Err(why) if why.contains("it refuses") && why.contains("a newer connection"))
            };
            elder.noted.borrow().iter().filter(|(_, word)| newer(word)).count() > 1
        })
        .await;
        task.abort();
        // Who has gone lags nowhere, as another one is there.
        planner.list(3, false, vec![listed("shop", "a", Phase::Ready)]);
        until("the two that are left have it", || rollout(3) == Some((2, 2))).await;
    });
}

#[test]
fn only_so_many_start_at_once_and_the_others_come_in_turn() {
    run(async {
        let now = clock();
        let planner = Planner::new(&now, "p0", 1_000);
        planner.list(1, true, both());
        let mut streams = Vec::new();
        for k in 0..MAX_STARTING {
            let mut stream = planner.connect().unwrap();
            let own = identity(Role::Forwarder, &format!("f{k}"), 1);
            hello::connect(&mut stream, &own, Role::Planner).await.unwrap();
            streams.push(stream);
        }
        assert_eq!(planner.forwarders(), MAX_STARTING);
        // Each of them has wanted nothing yet. The next one waits for its turn, which comes as they are through.
        let mut stream = planner.connect().unwrap();
        let own = identity(Role::Forwarder, "late", 1);
        hello::connect(&mut stream, &own, Role::Planner).await.unwrap();
        assert_eq!(planner.forwarders(), MAX_STARTING + 1);
        // Many that want something are through as soon as they have it.
        let forwarders: Vec<_> = (0..3 * MAX_STARTING)
            .map(|k| Forwarder::start(&now, &format!("g{k}"), std::slice::from_ref(&planner)).0)
            .collect();
        until("all hold what they want", || {
            forwarders.iter().all(|f| f.want("shop") == ServiceStatus::Available)
        })
        .await;
    });
}

#[test]
fn who_does_not_go_by_services_hears_so() {
    run(async {
        let now = clock();
        let planner = Planner::new(&now, "p0", 10);
        let mut stream = planner.connect().unwrap();
        let own = Identity { services: false, ..identity(Role::Forwarder, "f0", 1) };
        let refused = hello::connect(&mut stream, &own, Role::Planner).await.unwrap_err();
        assert!(
            matches!(&refused, HelloError::Refused(why) if why.contains("goes by services")),
            "{refused}"
        );
        until("its session has ended", || !planner.ended.borrow().is_empty()).await;
        assert!(matches!(planner.ended.borrow()[..], [Err(SessionError::NoServices)]));
        assert_eq!(planner.forwarders(), 0);
    });
}

#[test]
fn bytes_that_are_no_message_end_the_session_with_their_cause() {
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
