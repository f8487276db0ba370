//! A fault soak of real processes: nodes, clients, servers and discovery on loopback under drawn faults, with every promise
//! checked from recorded histories. Nothing here is simulated.

mod agent;
pub mod check;
mod client;
pub mod history;
mod links;
mod listen;
mod node;
pub mod plan;
mod relay;
mod server;
mod settings;
pub mod shim;
mod text;

use crate::program::Wishes;
use crate::Random;
use agent::Registry;
use client::Client;
use history::{Ban, Birth, Health, History, Moment, Ramp, Recorder};
use links::Links;
use node::Nodes;
use plan::{Fault, Kind, Plan, Size};
use rand_core::RngCore;
use relay::Relays;
use server::Servers;
pub use settings::DrawnSettings;
use shim::{Shim, ShimError};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::task::LocalSet;

/// Clients of each node.
const CLIENTS: usize = 4;
/// A client's pause between two requests, in the mean.
const PAUSE: Duration = Duration::from_millis(160);
/// What is still under way when clients stop asking is over after this.
const AFTERMATH: Duration = Duration::from_millis(5_200);
/// A server that drains goes on for so long before it restarts.
const DRAINS: Duration = Duration::from_millis(700);
/// ... and is down for so long.
const DOWN: Duration = Duration::from_millis(200);
/// Between two servers that are replaced.
const REPLACED_EVERY: Duration = Duration::from_millis(600);
/// Between two stops of a node.
const STOPPED_EVERY: Duration = Duration::from_millis(300);
/// Between two configurations in quick succession.
const RELOADED_AGAIN: Duration = Duration::from_millis(120);
/// A node whose disk failed is killed so long after the disk is well.
const DISK_WELL: Duration = Duration::from_millis(2_500);
/// A disk surely fails so long after its fault began.
const DISK_FAILS: Duration = Duration::from_millis(200);
/// A process is waited for so long.
const UP: Duration = Duration::from_secs(12);
/// How often the soak's own threads look whether they are late.
const PULSE: Duration = Duration::from_millis(5);

/// Why a soak could not be played.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// Sockets, files or processes are not to be had.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The shim cannot be built.
    #[error("{0}")]
    Shim(#[from] ShimError),
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Settles all draws but what the system's scheduler decides.
    pub seed: u64,
    /// How large.
    pub size: Size,
    /// What the nodes' settings say.
    pub settings: DrawnSettings,
    /// The program of the node.
    pub program: PathBuf,
    /// Variables that it needs.
    pub environment: Vec<(String, String)>,
    /// A folder of its own, for configurations and logs.
    pub folder: PathBuf,
}

/// Plays a plan; gives all that was seen.
pub fn play(wanted: &Wanted, plan: &Plan) -> Result<History, SoakError> {
    std::fs::create_dir_all(&wanted.folder)?;
    let library = shim::build(&wanted.folder)?;
    let ramp = Ramp { capacity: 60.0, from: 0.3, time_ms: 5_000, multiple: 3.0, window_ms: 2_000 };
    let settings = wanted.settings;
    let wishes = wishes(&ramp, &settings);
    let recorder = Recorder::new(ramp, settings.window_ms, wishes.attempts_at_once());
    let plan = Arc::new(plan.clone());
    let servers = Arc::new(Servers::bind(wanted.size.servers, wanted.size.nodes)?);
    let relays = Arc::new(Relays::bind(&servers.grid.addresses)?);
    let registry = Arc::new(Registry::bind(
        relays.grid.addresses.clone(),
        wanted.size.nodes,
        plan.clone(),
        recorder.clone(),
        settings.asked,
    )?);
    let environments = (0..wanted.size.nodes).map(|node| environment(wanted, &plan, node, &library));
    let nodes =
        Nodes::new(&wanted.program, &wanted.folder, wishes, environments.collect(), recorder.clone())?;
    let nodes = Arc::new(nodes);
    let links = Links::default();
    let bed = Bed { wanted: wanted.clone(), nodes, servers, relays, registry, plan, recorder, links };
    bed.run()
}

fn wishes(ramp: &Ramp, settings: &DrawnSettings) -> Wishes {
    Wishes {
        cold: (ramp.from, ramp.time_ms),
        aim_ms: 1_000,
        give_up_ms: settings.deadline_ms,
        window_ms: settings.window_ms,
        connect_timeout_ms: settings.connect_timeout_ms,
        conn_idle_ms: 2_000,
        hedging: settings.hedging,
        cancelling: settings.cancelling,
        max_attempts: settings.max_attempts,
        managed: true,
        asked: settings.asked,
        ask_within_ms: 4_000,
        ..Wishes::default()
    }
}

fn environment(wanted: &Wanted, plan: &Plan, node: usize, library: &Path) -> Vec<(String, String)> {
    let mut environment = wanted.environment.clone();
    let shim = plan.faults.iter().filter(|f| f.targets.contains(&node)).fold(Shim::default(), struck);
    if !shim.is_empty() {
        environment.extend(shim.with("seed", (wanted.seed as u32 + node as u32).into()).environment(library));
    }
    environment
}

/// The shim with what a fault adds to it. A process begins soon after the soak, so that its age is the soak's.
fn struck(shim: Shim, fault: &Fault) -> Shim {
    let (from, until) = (fault.at.0 as f64 / 1e6, fault.end().0 as f64 / 1e6);
    match fault.kind {
        Kind::Syscalls => {
            let often = ["recv_eintr", "send_eintr", "accept_fail", "socket_fail", "connect_fail"];
            let shim = often.into_iter().fold(shim, |shim, knob| shim.with(knob, 0.01));
            let shim =
                ["recv_short", "send_short", "epoll_eintr"].into_iter().fold(shim, |s, k| s.with(k, 0.05));
            shim.with("unix_eintr", 0.02).with("close_fail", 0.05).with("from", from).with("until", until)
        }
        Kind::Disk => shim.with("file_fail", 1.0).with("from", from).with("until", until),
        Kind::WallClock => {
            let ahead = if (fault.at.0 / 1_000).is_multiple_of(2) { 3_600.0 } else { -3_600.0 };
            let step_at = if fault.span.as_millis().is_multiple_of(2) { from } else { 0.0 };
            shim.with("wall_offset", ahead).with("step_at", step_at)
        }
        _ => shim,
    }
}

#[derive(Clone)]
struct Bed {
    wanted: Wanted,
    nodes: Arc<Nodes>,
    servers: Arc<Servers>,
    relays: Arc<Relays>,
    registry: Arc<Registry>,
    plan: Arc<Plan>,
    recorder: Recorder,
    links: Links,
}

impl Bed {
    fn run(&self) -> Result<History, SoakError> {
        for node in 0..self.nodes.count() {
            self.nodes.configure(node, self.registry.address(node));
            self.nodes.start(node)?;
        }
        let whole = self.wanted.size.span + AFTERMATH;
        let parties = self.parties(whole);
        let starting: Vec<_> = (0..self.nodes.count())
            .map(|node| {
                let nodes = self.nodes.clone();
                thread::spawn(move || nodes.wait_up(node, UP))
            })
            .collect();
        let faults: Vec<_> = self.plan.faults.iter().cloned().flat_map(|fault| self.strike(fault)).collect();
        while Duration::from_micros(self.recorder.now().0) < whole {
            (0..self.nodes.count()).for_each(|node| self.nodes.look(node));
            thread::sleep(Duration::from_millis(20));
        }
        // One that has panicked has said so, and leaves a gap in the history that the oracle sees.
        starting.into_iter().for_each(|thread| drop(thread.join()));
        parties.into_iter().chain(faults).for_each(|thread| drop(thread.join()));
        (0..self.nodes.count()).for_each(|node| self.nodes.read_counters(node));
        self.registry.finish();
        Ok(self.recorder.history())
    }

    /// Servers, discovery and clients, each on a thread of its own.
    fn parties(&self, whole: Duration) -> Vec<thread::JoinHandle<()>> {
        let seed = self.wanted.seed;
        let (servers, plan, recorder) = (self.servers.clone(), self.plan.clone(), self.recorder.clone());
        let links = self.links.clone();
        let serving = self.party(whole, move || server::serve(servers, plan, recorder, links, seed));
        let (relays, plan, recorder) = (self.relays.clone(), self.plan.clone(), self.recorder.clone());
        let links = self.links.clone();
        let relaying = self.party(whole, move || relay::serve(relays, plan, recorder, links));
        let registry = self.registry.clone();
        let telling = self.party(whole, move || registry.serve());
        let bed = self.clone();
        let asking = self.party(whole, move || async move {
            let mut random = Random::new(bed.wanted.seed ^ 0x0063_6c69);
            for node in 0..bed.nodes.count() {
                let (nodes, plan, recorder) = (bed.nodes.clone(), bed.plan.clone(), bed.recorder.clone());
                tokio::task::spawn_local(client::crowd(node, nodes, plan, recorder));
            }
            for k in 0..bed.nodes.count() * CLIENTS {
                let (nodes, plan, recorder) = (bed.nodes.clone(), bed.plan.clone(), bed.recorder.clone());
                let client =
                    Client::new(k / CLIENTS, nodes, plan, recorder, u64::from(random.0.next_u32()), PAUSE);
                tokio::task::spawn_local(client.run(bed.wanted.size.span));
            }
            std::future::pending::<()>().await;
        });
        vec![serving, relaying, telling, asking]
    }

    fn party<F: std::future::Future<Output = ()>>(
        &self,
        whole: Duration,
        make: impl FnOnce() -> F + Send + 'static,
    ) -> thread::JoinHandle<()> {
        let recorder = self.recorder.clone();
        thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            let end = recorder.instant(Moment(0)) + whole;
            let both = async { tokio::join!(make(), pulse(recorder.clone())) };
            LocalSet::new().block_on(&runtime, async {
                let _ = tokio::time::timeout_at(end.into(), both).await;
            });
        })
    }

    fn wait_for(&self, at: Moment) {
        let left = self.recorder.instant(at).saturating_duration_since(Instant::now());
        thread::sleep(left);
    }

    /// Carries out a fault that somebody has to do; what parties do by the plan needs nobody.
    fn strike(&self, fault: Fault) -> Vec<thread::JoinHandle<()>> {
        let each = |act: fn(&Bed, usize, &Fault)| {
            let one = |target: &usize| {
                let (bed, fault, target) = (self.clone(), fault.clone(), *target);
                thread::spawn(move || {
                    bed.wait_for(fault.at);
                    act(&bed, target, &fault);
                })
            };
            fault.targets.iter().map(one).collect::<Vec<_>>()
        };
        match fault.kind {
            Kind::Stop => each(Bed::stop),
            Kind::Reload => each(Bed::reload),
            Kind::Restart => each(Bed::restart),
            Kind::Kill => each(Bed::kill),
            Kind::Crash => each(Bed::crash),
            Kind::Disk => each(Bed::take_out),
            Kind::Replace => {
                let bed = self.clone();
                vec![thread::spawn(move || bed.replace(&fault))]
            }
            _ => Vec::new(),
        }
    }

    fn stop(&self, node: usize, fault: &Fault) {
        let mut random = Random::new(self.wanted.seed ^ fault.at.0 ^ node as u64);
        while fault.active(self.recorder.now()) {
            self.nodes.pause(node, Duration::from_millis(20 + random.below(130) as u64));
            thread::sleep(STOPPED_EVERY.mul_f64(0.2 + random.below(100) as f64 / 100.0));
        }
    }

    fn reload(&self, node: usize, _: &Fault) {
        for _ in 0..2 {
            self.nodes.configure(node, self.registry.move_node(node));
            self.nodes.reload(node);
            thread::sleep(RELOADED_AGAIN);
        }
        self.nodes.configure(node, self.registry.move_node(node));
        self.nodes.reload(node);
    }

    fn restart(&self, node: usize, _: &Fault) {
        let _turn = self.nodes.turn(node);
        self.nodes.end(node, Duration::from_millis(self.wanted.settings.deadline_ms));
        self.start_again(node);
    }

    fn kill(&self, node: usize, _: &Fault) {
        let _turn = self.nodes.turn(node);
        self.nodes.strike(node);
        thread::sleep(DOWN);
        self.start_again(node);
    }

    fn start_again(&self, node: usize) {
        if self.nodes.start(node).is_ok() {
            self.nodes.wait_up(node, UP);
        }
    }

    fn crash(&self, server: usize, fault: &Fault) {
        let process = &self.servers.processes[server];
        process.down_until.store(fault.end().0, Ordering::SeqCst);
        self.wait_for(fault.end());
        self.born(server);
    }

    /// A server has started just now.
    fn born(&self, server: usize) {
        let at = self.recorder.now();
        self.servers.processes[server].born.store(at.0, Ordering::SeqCst);
        self.recorder.write(|h| h.births.push(Birth { server, at }));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.registry.change(server, Health::Active, unix.as_millis() as u64);
    }

    fn replace(&self, fault: &Fault) {
        self.wait_for(fault.at);
        let replacing: Vec<_> = fault
            .targets
            .iter()
            .map(|server| {
                let (bed, server) = (self.clone(), *server);
                let one = thread::spawn(move || {
                    bed.registry.change(server, Health::Leaving, 0);
                    thread::sleep(DRAINS);
                    let back = bed.recorder.now().after(DOWN);
                    bed.servers.processes[server].down_until.store(back.0, Ordering::SeqCst);
                    bed.wait_for(back);
                    bed.born(server);
                });
                thread::sleep(REPLACED_EVERY);
                one
            })
            .collect();
        replacing.into_iter().for_each(|one| drop(one.join()));
    }

    /// Staff take a server out while the disk fails; the node is killed once the disk is well.
    fn take_out(&self, node: usize, fault: &Fault) {
        let server = node % self.wanted.size.servers;
        // The shim's clock is that of the process, which began a little after the soak.
        self.wait_for(fault.at.after(DISK_FAILS));
        if let Some((200, _)) = self.nodes.manage(node, "POST", &format!("/_servers/detach/s-{server}")) {
            let at = self.recorder.now();
            self.recorder.write(|h| h.bans.push(Ban { node, server, at, well: fault.end() }));
        }
        self.wait_for(fault.end().after(DISK_WELL));
        self.kill(node, fault);
    }
}

/// Notes how late this thread is.
async fn pulse(recorder: Recorder) {
    loop {
        let due = Instant::now() + PULSE;
        tokio::time::sleep_until(due.into()).await;
        let late = due.elapsed().as_micros() as u64;
        recorder.write(|h| h.lag = h.lag.max(late));
    }
}
