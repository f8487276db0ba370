//! The processes of the node: started, signalled, watched and ended by the driver.

use super::history::{Happened, Recorder};
use crate::client::Client;
use crate::lock;
use crate::port::Port;
use crate::program::{write_config, Wishes};
use crate::wire::Wire;
use rustix::process::{kill_process, Pid, Signal};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// SIGKILL comes so long after SIGTERM, and after the longest deadline.
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// New connections go on coming for so long after SIGTERM.
const STILL_COMING: Duration = Duration::from_millis(300);

/// One node, with one process at a time.
struct Node {
    port: Port,
    management: Port,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
    /// The front sends it new connections.
    takes: AtomicBool,
    /// It has been told to end.
    ending: AtomicBool,
    /// Who ends and starts its process; one at a time.
    turn: Mutex<()>,
}

/// All nodes.
pub struct Nodes {
    program: PathBuf,
    nodes: Vec<Node>,
    wishes: Wishes,
    /// The environment of each node's process.
    environments: Vec<Vec<(String, String)>>,
    recorder: Recorder,
}

impl Nodes {
    /// So many nodes, none of them started.
    pub fn new(
        program: &Path,
        folder: &Path,
        wishes: Wishes,
        environments: Vec<Vec<(String, String)>>,
        recorder: Recorder,
    ) -> std::io::Result<Nodes> {
        let mut nodes = Vec::new();
        for number in 0..environments.len() {
            let folder = folder.join(format!("node-{number}"));
            std::fs::create_dir_all(&folder)?;
            nodes.push(Node {
                port: Port::keep(),
                management: Port::keep(),
                folder,
                child: Mutex::new(None),
                takes: AtomicBool::new(false),
                ending: AtomicBool::new(false),
                turn: Mutex::new(()),
            });
        }
        Ok(Nodes { program: program.to_owned(), nodes, wishes, environments, recorder })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Where a node takes clients.
    pub fn address(&self, node: usize) -> Option<SocketAddr> {
        self.nodes.get(node).map(|n| n.port.address())
    }

    /// Whether clients open new connections to it.
    pub fn takes(&self, node: usize) -> bool {
        self.nodes[node].takes.load(Ordering::SeqCst)
    }

    /// Puts a configuration with this discovery in its place.
    pub fn configure(&self, node: usize, discovery: SocketAddr) {
        let own = &self.nodes[node];
        let wishes = Wishes { ordinal: (node, self.nodes.len()), ..self.wishes.clone() };
        write_config(&own.folder.join("config.json"), own.port.address(), discovery, &wishes);
    }

    /// Waits for the turn to end and start a node's process.
    pub fn turn(&self, node: usize) -> MutexGuard<'_, ()> {
        lock(&self.nodes[node].turn)
    }

    /// Starts a process; it may not take clients yet.
    pub fn start(&self, node: usize) -> std::io::Result<()> {
        let own = &self.nodes[node];
        let log = std::fs::File::options().create(true).append(true).open(own.folder.join("log"))?;
        let mut command = Command::new(&self.program);
        command.env("GW_CONFIG", own.folder.join("config.json")).env("TMPDIR", &own.folder);
        command.env("GW_MANAGEMENT", own.management.address().to_string());
        command.envs(self.environments[node].iter().map(|(key, value)| (key, value)));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn()?;
        *lock(&own.child) = Some(child);
        own.ending.store(false, Ordering::SeqCst);
        self.recorder.life(node, Happened::Started);
        Ok(())
    }

    /// Waits until a node answers `/up`, for no longer than that.
    pub fn wait_up(&self, node: usize, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        while Instant::now() < end {
            if up(self.nodes[node].port.address()) {
                self.recorder.life(node, Happened::Up);
                self.nodes[node].takes.store(true, Ordering::SeqCst);
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    fn kill(&self, node: usize, signal: Signal) {
        let pid = lock(&self.nodes[node].child).as_ref().and_then(|c| Pid::from_raw(c.id() as i32));
        if let Some(pid) = pid {
            // One that has ended already is found out by whoever waits for it.
            let _ = kill_process(pid, signal);
        }
    }

    /// SIGHUP.
    pub fn reload(&self, node: usize) {
        self.kill(node, Signal::HUP);
    }

    /// Stops it for a while.
    pub fn pause(&self, node: usize, span: Duration) {
        self.kill(node, Signal::STOP);
        self.recorder.life(node, Happened::Stopped);
        std::thread::sleep(span);
        self.kill(node, Signal::CONT);
        self.recorder.life(node, Happened::Continued);
    }

    /// SIGTERM, and SIGKILL for one that is still there when that may come.
    pub fn end(&self, node: usize, deadline: Duration) {
        self.read_counters(node);
        self.recorder.life(node, Happened::Told);
        self.nodes[node].ending.store(true, Ordering::SeqCst);
        self.kill(node, Signal::TERM);
        let told = Instant::now();
        std::thread::sleep(STILL_COMING);
        self.nodes[node].takes.store(false, Ordering::SeqCst);
        // The process ends by itself a little after SIGKILL may come, and is given that here.
        while told.elapsed() < deadline + KILLED_AFTER + Duration::from_millis(800) {
            if self.ended(node) {
                self.recorder.life(node, Happened::Ended);
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.recorder.life(node, Happened::Overdue);
        self.destroy(node);
    }

    /// SIGKILL.
    pub fn strike(&self, node: usize) {
        self.nodes[node].takes.store(false, Ordering::SeqCst);
        self.recorder.life(node, Happened::Killed);
        self.destroy(node);
    }

    fn destroy(&self, node: usize) {
        if let Some(mut child) = lock(&self.nodes[node].child).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether its process has ended; it is forgotten then.
    fn ended(&self, node: usize) -> bool {
        let mut child = lock(&self.nodes[node].child);
        let over = child.as_mut().is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))));
        if over {
            *child = None;
        }
        over
    }

    /// Notes a process that has ended with nobody asking.
    pub fn look(&self, node: usize) {
        if self.nodes[node].ending.load(Ordering::SeqCst) {
            return;
        }
        let crashed = match lock(&self.nodes[node].child).as_mut() {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => false,
        };
        if crashed {
            self.recorder.life(node, Happened::Crashed);
            self.nodes[node].takes.store(false, Ordering::SeqCst);
            self.destroy(node);
        }
    }

    /// Adds what its process has counted to the history.
    pub fn read_counters(&self, node: usize) {
        let Some((200, text)) = self.manage(node, "GET", "/_counters") else { return };
        let counts = text.lines().filter_map(|line| {
            let (name, count) = line.split_once(' ')?;
            Some((name.to_owned(), count.parse::<u64>().ok()?))
        });
        self.recorder.write(|h| counts.for_each(|(name, n)| *h.counters.entry(name).or_default() += n));
    }

    /// A call on its second address: the status and what the answer says.
    pub fn manage(&self, node: usize, method: &str, path: &str) -> Option<(u16, String)> {
        crate::program::call_for_text(self.nodes[node].management.address(), method, path)
    }
}

fn up(address: SocketAddr) -> bool {
    let patience = Duration::from_millis(500);
    let Some(mut client) = Client::connect_within(Wire::Http, address, patience) else { return false };
    client.raw(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n") && client.answer().is_some_and(|a| a.served())
}

impl Drop for Nodes {
    fn drop(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.destroy(node));
    }
}
