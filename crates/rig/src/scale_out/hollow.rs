//! A process of hollow nodes: forwarders that hold their services as real ones do, by the shipped subscriber over the real
//! channel, and send no requests. It takes orders on its input and answers on its output, a line of JSON each.
//!
//! It says of each change that it was told to await how many of its nodes use the server, how many of them held the new
//! state, and when each did. One clock for all: they run on one machine.

use super::counted::{lock, Counted, Seconds};
use super::reported::Rounds;
use crate::report::Failure;
use laurelroute_channel::hello::Identity;
use laurelroute_channel::subscription::{SessionError, SubscriberClient};
use laurelroute_channel::tls::Tls;
use laurelroute_plan::scramble;
use laurelroute_plan::services::subscriber::{Change, ServiceStatus, Settings, Subscriber};
use laurelroute_plan::wire::{Hello, Role};
use laurelroute_policy::interface::Nanos;
use laurelroute_rig::scale_model::awaited::{Awaited, State};
use laurelroute_rig::scale_model::fleet::{server_named, service_name, Fleet, Size};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, AbortHandle, LocalSet};

/// The installation of a scale run.
pub const SITE: &str = "suite";
const S: Nanos = 1_000_000_000;
/// A node names its services within this time of its start, the most popular first.
const FIRST_NAMED: Duration = Duration::from_secs(5);
/// ... and each of them again once in this time.
const NAMED_AGAIN: Duration = Duration::from_secs(30);
/// Names are said this often, some at once.
const NAMING: Duration = Duration::from_millis(200);

/// A clock that all processes of a run share: Unix time in nanoseconds, which never goes back within a process.
#[derive(Clone, Copy, Debug)]
pub struct Time {
    begun: Instant,
    at: Nanos,
}

impl Time {
    /// Set by the system's clock now.
    pub fn new() -> Time {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_nanos() as Nanos);
        Time { begun: Instant::now(), at }
    }

    /// Now.
    pub fn now(&self) -> Nanos {
        self.at + self.begun.elapsed().as_nanos() as Nanos
    }
}

/// Reasons for the end of a connection that are told apart, and how much of each is kept.
const MOST_TEXTS: usize = 20;
const MOST_TEXT: usize = 100;

/// One life of a node.
struct Life {
    subscriber: RefCell<Subscriber>,
    wanted: Notify,
    /// How many of its services it has named so far.
    named: Cell<usize>,
    uses: Vec<usize>,
}

/// A node: what outlives its restarts.
struct Node {
    bytes: Arc<Mutex<Seconds>>,
    life: Option<(Rc<Life>, AbortHandle)>,
    /// When it last began, in seconds of this process.
    starts: u32,
}

struct Process {
    time: Time,
    begun: Instant,
    fleet: Fleet,
    seed: u64,
    planners: Vec<SocketAddr>,
    tls: Tls,
    nodes: RefCell<BTreeMap<usize, Node>>,
    awaited: RefCell<Awaited>,
    /// Connections that were made, and why some ended or could not be made, with how often.
    made: Cell<u64>,
    ended: RefCell<BTreeMap<String, u64>>,
}

/// The least that it must be told at its start.
pub struct Orders {
    /// The bed.
    pub size: Size,
    /// Settles all draws.
    pub seed: u64,
    /// Where the planners are.
    pub planners: Vec<SocketAddr>,
    /// Certificates: the authority's, the nodes' own and its key.
    pub files: [PathBuf; 3],
}

impl Orders {
    /// For the process.
    pub fn json(&self) -> Value {
        json!({"size": self.size.json(), "seed": self.seed, "planners": self.planners, "files": self.files})
    }

    fn from_json(value: &Value) -> Option<Orders> {
        Some(Orders {
            size: Size::from_json(&value["size"])?,
            seed: value["seed"].as_u64()?,
            planners: serde_json::from_value(value["planners"].clone()).ok()?,
            files: serde_json::from_value(value["files"].clone()).ok()?,
        })
    }
}

/// Lines of the input, read on a thread of their own; they end with it.
fn input() -> mpsc::Receiver<String> {
    let (lines, received) = mpsc::channel(4);
    std::thread::spawn(move || {
        let all = std::io::stdin().lines().map_while(Result::ok);
        all.map_while(|line| lines.blocking_send(line).ok()).for_each(drop);
    });
    received
}

/// Runs the process until its input ends.
pub fn run() -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut lines = input();
        let unread = || Failure("orders that cannot be read".into());
        let first = lines.recv().await.ok_or_else(unread)?;
        let orders = Orders::from_json(&serde_json::from_str(&first)?).ok_or_else(unread)?;
        let [authority, certificate, key] = &orders.files;
        let process = Rc::new(Process {
            time: Time::new(),
            begun: Instant::now(),
            fleet: Fleet::draw(orders.size, orders.seed),
            seed: orders.seed,
            planners: orders.planners,
            tls: Tls::load(authority, certificate, key, "planner.laurelroute")?,
            nodes: RefCell::default(),
            awaited: RefCell::default(),
            made: Cell::new(0),
            ended: RefCell::default(),
        });
        while let Some(line) = lines.recv().await {
            let answer = process.obey(&serde_json::from_str(&line)?);
            println!("{answer}");
        }
        Ok(())
    })
}

fn numbers(value: &Value) -> Vec<usize> {
    value.as_array().into_iter().flatten().filter_map(|v| Some(v.as_u64()? as usize)).collect()
}

impl Process {
    fn obey(self: &Rc<Self>, order: &Value) -> Value {
        match order["do"].as_str().unwrap_or_default() {
            "start" => {
                let within = Duration::from_millis(order["within_ms"].as_u64().unwrap_or(0));
                let nodes = numbers(&order["nodes"]);
                nodes.iter().for_each(|node| self.start(*node, within));
                json!({"started": nodes.len()})
            }
            "stop" => {
                let nodes = numbers(&order["nodes"]);
                nodes.iter().for_each(|node| self.stop(*node));
                json!({"stopped": nodes.len()})
            }
            "expect" => self.expect(order),
            "pushed" => {
                let told = numbers(&order["changes"]);
                self.awaited.borrow_mut().pushed(&told, order["at"].as_u64().unwrap_or(0));
                json!({})
            }
            "lagging" => json!({"lagging": self.awaited.borrow().lagging()}),
            "status" => self.status(),
            "figures" => self.figures(),
            other => json!({"error": format!("no order `{other}`")}),
        }
    }

    fn start(self: &Rc<Self>, node: usize, within: Duration) {
        self.stop(node);
        let mut nodes = self.nodes.borrow_mut();
        let entry = nodes.entry(node).or_insert_with(|| Node {
            bytes: Arc::new(Mutex::new(Seconds::new(self.begun))),
            life: None,
            starts: 0,
        });
        entry.starts += 1;
        let (now, seed) =
            (self.time.now(), scramble(self.seed ^ node as u64 ^ u64::from(entry.starts) << 32));
        let settings = Settings {
            name: format!("node-{node:04}"),
            site: SITE.to_owned(),
            planners: self.planners.iter().map(SocketAddr::to_string).collect(),
            max_services: 1_000,
            max_bytes: 24 << 20,
            unused_timeout: 600 * S,
            unknown_ttl: 10 * S,
            bytes_per_second: 1_500.0,
            burst: 8_000.0,
            receive_bytes_per_second: 7_000.0,
            receive_burst: 36_000.0,
            seed,
        };
        let life = Rc::new(Life {
            subscriber: RefCell::new(Subscriber::new(now, settings)),
            wanted: Notify::new(),
            named: Cell::new(0),
            uses: self.fleet.uses(node),
        });
        let pause = within.mul_f64((seed % 1_000) as f64 / 1_000.0);
        let running = self.clone().live(node, life.clone(), entry.bytes.clone(), pause);
        entry.life = Some((life, spawn_local(running).abort_handle()));
    }

    fn stop(&self, node: usize) {
        let life = self.nodes.borrow_mut().get_mut(&node).and_then(|n| n.life.take());
        if let Some((_, running)) = life {
            running.abort();
            self.awaited.borrow_mut().gone(node);
        }
    }

    async fn live(self: Rc<Self>, node: usize, life: Rc<Life>, bytes: Arc<Mutex<Seconds>>, pause: Duration) {
        tokio::time::sleep(pause).await;
        let now = || self.time.now();
        let own = Identity {
            role: Role::Forwarder,
            name: format!("node-{node:04}"),
            site: SITE.to_owned(),
            incarnation: now() / 1_000_000,
            zone: 0,
            services: true,
        };
        let rounds = RefCell::new(Rounds::default());
        let report = |at| {
            let mut subscriber = life.subscriber.borrow_mut();
            let named = &life.uses[..life.named.get()];
            rounds.borrow_mut().report(&mut subscriber, at, named)
        };
        let changed = || {
            let changes = life.subscriber.borrow_mut().changes();
            self.take(node, changes);
        };
        let noted = |_, how: Result<&Hello, &SessionError>| match how {
            Ok(_) => self.made.set(self.made.get() + 1),
            Err(error) => {
                let mut ended = self.ended.borrow_mut();
                let text: String = error.to_string().chars().take(MOST_TEXT).collect();
                if ended.len() < MOST_TEXTS || ended.contains_key(&text) {
                    *ended.entry(text).or_default() += 1;
                }
            }
        };
        let subscribing = SubscriberClient {
            subscriber: &life.subscriber,
            now: &now,
            interest_added: &life.wanted,
            on_change: &changed,
            report: &report,
            on_session: &noted,
        };
        let connect = |place: usize| {
            let (address, tls, bytes) = (self.planners[place], self.tls.clone(), bytes.clone());
            async move {
                let stream = TcpStream::connect(address).await?;
                stream.set_nodelay(true)?;
                tls.connect(Counted::new(stream, bytes)).await
            }
        };
        let naming = async {
            let begun = Instant::now();
            let mut next = 0;
            loop {
                let due = begun.elapsed().as_secs_f64() / FIRST_NAMED.as_secs_f64();
                let due = ((due * life.uses.len() as f64) as usize).min(life.uses.len());
                let again =
                    (life.uses.len() as f64 * NAMING.as_secs_f64() / NAMED_AGAIN.as_secs_f64()).ceil();
                let fresh = life.named.get()..due;
                let known = (0..again as usize).map(|_| {
                    next = (next + 1) % life.named.get().max(1);
                    next
                });
                let names: Vec<usize> =
                    fresh.chain(known).filter_map(|k| life.uses.get(k)).copied().collect();
                for service in names {
                    let standing =
                        life.subscriber.borrow_mut().lookup(self.time.now(), &service_name(service));
                    if standing == ServiceStatus::Pending {
                        life.wanted.notify_one();
                    }
                }
                life.named.set(due);
                tokio::time::sleep(NAMING).await;
            }
        };
        tokio::select! {
            _ = subscribing.run(&own, connect) => {}
            () = naming => {}
        }
    }

    /// What a node's subscriber says has changed.
    fn take(&self, node: usize, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        let now = self.time.now();
        let mut awaited = self.awaited.borrow_mut();
        for change in changes {
            let Change::Members { members, .. } = change else { continue };
            for member in &members {
                if let Some(server) = server_named(&member.name) {
                    awaited.held(now, node, server, &State::of(&member.server));
                }
            }
        }
    }

    /// Looks up which nodes use the servers that are about to change.
    fn expect(&self, order: &Value) -> Value {
        let rows: Vec<Vec<u64>> = serde_json::from_value(order["changes"].clone()).unwrap_or_default();
        let event = order["event"].as_u64().unwrap_or(0) as usize;
        // By service, so that each node's copy of it is walked once.
        let mut by_service: BTreeMap<usize, Vec<(usize, usize, State)>> = BTreeMap::new();
        for row in &rows {
            if let [id, server, ..] = row[..] {
                let server = server as usize;
                let state = State::from_numbers(&row[2..]);
                by_service.entry(self.fleet.service_of(server)).or_default().push((
                    id as usize,
                    server,
                    state,
                ));
            }
        }
        let mut awaited = self.awaited.borrow_mut();
        let nodes = self.nodes.borrow();
        let mut expected = 0;
        for (node, entry) in nodes.iter() {
            let Some((life, _)) = &entry.life else { continue };
            let subscriber = life.subscriber.borrow();
            for service in &life.uses[..life.named.get()] {
                let Some(changes) = by_service.get(service) else { continue };
                let Some(members) = subscriber.members_of(&service_name(*service)) else { continue };
                let held: HashMap<&str, State> =
                    members.iter().map(|m| (m.name.as_str(), State::of(&m.server))).collect();
                for (id, server, state) in changes {
                    let holds = held.get(laurelroute_rig::scale_model::fleet::server_name(*server).as_str());
                    expected +=
                        usize::from(awaited.expect(event, *id, *node, entry.starts, *server, state, holds));
                }
            }
        }
        json!({ "expected": expected })
    }

    fn status(&self) -> Value {
        let (mut running, mut connected, mut named, mut held, mut servers) = (0, 0, 0, 0, 0);
        let mut least: Option<(usize, String)> = None;
        for (number, node) in self.nodes.borrow().iter() {
            let Some((life, _)) = &node.life else { continue };
            let subscriber = life.subscriber.borrow();
            let figures = subscriber.stats();
            running += 1;
            connected += usize::from(subscriber.planner().is_some());
            named += life.uses.len();
            held += figures.services;
            servers += figures.servers;
            let lacks = life.uses.len().saturating_sub(figures.services);
            if lacks > 0 && least.as_ref().is_none_or(|(most, _)| lacks > *most) {
                let planner = subscriber.planner();
                let text = format!(
                    "node {number}, begun {} times, at planner {planner:?}: {figures:?}",
                    node.starts
                );
                least = Some((lacks, text));
            }
        }
        json!({"running": running, "connected": connected, "named": named, "held": held, "servers": servers, "least": least.map(|l| l.1),
            "made": self.made.get(), "ended": *self.ended.borrow()})
    }

    fn figures(&self) -> Value {
        let nodes = self.nodes.borrow();
        let rates: Vec<[f64; 3]> = nodes
            .values()
            .map(|node| {
                let rates = lock(&node.bytes).rates(0);
                [rates.mean, rates.second, rates.ten]
            })
            .collect();
        json!({"rates": rates, "changes": self.awaited.borrow().told()})
    }
}
