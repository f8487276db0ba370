//! A real node's process, told a list of servers over a socket: memory, time until it is ready, and what changes cost.

use super::server_list::{address, config, name, zone, Temporary, LARGE, SIZES};
use super::{Measured, CPU, KERNEL, LENGTH};
use crate::report::Failure;
use crate::AS_PROGRAM;
use laurelroute_testkit::port::Port;
use laurelroute_testkit::process::{memory_kb, processor, Memory};
use laurelroute_testkit::program::call_for_text;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// No process is waited for longer than this: under valgrind, with all tenants, it takes a while.
const PATIENCE: Duration = Duration::from_secs(300);
/// Changes whose cost is taken together.
const CHANGES: usize = 40;
/// For so long a node at rest is looked at.
const REST: Duration = Duration::from_secs(3);

type Lines = Arc<Mutex<Vec<Arc<Vec<u8>>>>>;

/// A list of servers that is pushed to whoever watches, and changes to it.
pub struct Pushed {
    /// Where it is watched.
    pub address: SocketAddr,
    lines: Lines,
}

fn lock(lines: &Lines) -> MutexGuard<'_, Vec<Arc<Vec<u8>>>> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A server in the list's words.
fn host(name: &str, dial: SocketAddr, zone: &str, health: &str) -> String {
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{dial}\",\"site\":\"{zone}\",\"class\":\"m\",\"block\":1,\"health\":\"{health}\",\
         \"share\":1.0,\"born_ms\":0}}"
    )
}

/// The line of a list, or of changes to one.
fn line(seq: usize, whole: bool, hosts: &[String]) -> Vec<u8> {
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}\n", hosts.join(",")).into_bytes()
}

impl Pushed {
    fn start(hosts: &[String]) -> Result<Pushed, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let lines: Lines = Arc::new(Mutex::new(vec![Arc::new(line(1, true, hosts))]));
        let all = lines.clone();
        // Ends with this program, as its watches do with their peers.
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let lines = all.clone();
                thread::spawn(move || watch(stream, &lines));
            }
        });
        Ok(Pushed { address, lines })
    }

    /// So many servers at which nobody listens.
    pub fn servers(count: usize) -> Result<Pushed, Failure> {
        let hosts: Vec<String> = (0..count).map(|k| host(&name(k), address(k), &zone(k), "active")).collect();
        Pushed::start(&hosts)
    }

    /// Servers that listen at these addresses.
    pub fn listing(addresses: &[SocketAddr]) -> Result<Pushed, Failure> {
        let hosts = addresses.iter().enumerate().map(|(k, a)| host(&name(k), *a, &zone(0), "active"));
        Pushed::start(&hosts.collect::<Vec<_>>())
    }

    /// Bytes of the whole list.
    fn bytes(&self) -> usize {
        lock(&self.lines)[0].len()
    }

    /// Tells a change; gives its bytes.
    fn change(&self, host: String) -> usize {
        let mut lines = lock(&self.lines);
        let next = line(lines.len() + 1, false, &[host]);
        let bytes = next.len();
        lines.push(Arc::new(next));
        bytes
    }
}

fn watch(mut stream: TcpStream, lines: &Lines) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        (stream.read(&mut byte).ok()? == 1).then_some(())?;
        head.push(byte[0]);
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    let (mut told, mut spoken) = (0, Instant::now());
    loop {
        let next = lock(lines).get(told).cloned();
        if let Some(line) = next {
            write!(stream, "{:x}\r\n", line.len()).ok()?;
            stream.write_all(&line).ok()?;
            stream.write_all(b"\r\n").ok()?;
            (told, spoken) = (told + 1, Instant::now());
        } else if spoken.elapsed() > Duration::from_millis(500) {
            stream.write_all(b"1\r\n\n\r\n").ok()?;
            spoken = Instant::now();
        } else {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// A node's process: this program as `laurelroute`, with its default settings. It is ended with this.
pub struct Node {
    child: Child,
    begun: Instant,
    /// Where it takes clients.
    pub http: SocketAddr,
    management: SocketAddr,
    output: Temporary,
    _files: Temporary,
    _ports: [Port; 2],
}

impl Node {
    /// Starts one with so many tenants that follows this list, where wanted under valgrind.
    pub fn start(pushed: &Pushed, tenants: usize, valgrind: bool) -> Result<Node, Failure> {
        let ports = [Port::keep(), Port::keep()];
        let (http, management) = (ports[0].address(), ports[1].address());
        let files = Temporary::holding(&config(http, pushed.address, tenants).to_string())?;
        let output = Temporary::holding("")?;
        let own = std::env::current_exe()?;
        let mut command = match valgrind {
            true => {
                let mut command = Command::new("valgrind");
                command.args(["--tool=callgrind", "--callgrind-out-file=/dev/null"]).arg(own);
                command
            }
            false => Command::new(own),
        };
        let sink = || std::fs::File::options().append(true).open(&output.0).map(Stdio::from);
        command.env(AS_PROGRAM, "1").env("GW_CONFIG", &files.0).env("GW_MANAGEMENT", management.to_string());
        let begun = Instant::now();
        let child = command.stdout(sink()?).stderr(sink()?).spawn()?;
        Ok(Node { child, begun, http, management, output, _files: files, _ports: ports })
    }

    /// Its process's number.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    fn until(&self, what: &str, mut holds: impl FnMut() -> bool) -> Result<(), Failure> {
        let end = Instant::now() + PATIENCE;
        while !holds() {
            if Instant::now() > end {
                let said = std::fs::read_to_string(&self.output.0).unwrap_or_default();
                return Err(Failure(format!("never happened: {what}; the node says: {said}")));
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Waits until it takes clients; gives how long that was from its start.
    pub fn until_ready(&self) -> Result<Duration, Failure> {
        self.until("the node is ready", || {
            call_for_text(self.management, "GET", "/_ready").is_some_and(|(status, _)| status == 200)
        })?;
        Ok(self.begun.elapsed())
    }

    /// Waits until it has heard of a server.
    fn until_heard(&self, server: &str) -> Result<(), Failure> {
        // To use a server that was never taken out changes nothing; one that is not known is said so.
        let path = format!("/_servers/attach/{server}");
        self.until("the node has heard of a change", || {
            call_for_text(self.management, "POST", &path).is_some_and(|(status, _)| status == 200)
        })
    }

    /// Waits until it has refused a list as too long; whether it did so before it was ready.
    fn until_refused(&self) -> Result<bool, Failure> {
        let mut refused = false;
        self.until("the node takes or refuses the list", || {
            let said = std::fs::read_to_string(&self.output.0).unwrap_or_default();
            refused = said.contains("a line of over");
            refused
                || call_for_text(self.management, "GET", "/_ready").is_some_and(|(status, _)| status == 200)
        })?;
        Ok(refused)
    }

    /// Ends it in order; the instructions of its life, where valgrind counted them.
    pub fn finish(mut self) -> Result<f64, Failure> {
        let kill = Command::new("kill").args(["-TERM", &self.pid().to_string()]).status()?;
        if !kill.success() {
            return Err(Failure("the node has ended before its time".into()));
        }
        let end = Instant::now() + PATIENCE;
        while self.child.try_wait()?.is_none() {
            if Instant::now() > end {
                return Err(Failure("the node does not end".into()));
            }
            thread::sleep(Duration::from_millis(5));
        }
        let said = std::fs::read_to_string(&self.output.0)?;
        let collected = said.lines().find_map(|l| l.split("Collected :").nth(1)?.trim().parse().ok());
        collected.ok_or_else(|| Failure(format!("no instructions were counted: {said}")))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The slopes.
pub fn measure(_seed: u64) -> Result<Vec<Measured>, Failure> {
    let grows = "servers in one list";
    let mut resident = Measured::line("node.list.resident", grows, "bytes", KERNEL);
    let mut peak = Measured::line("node.list.peak", grows, "bytes", KERNEL);
    let mut ready = Measured::power("node.list.ready", grows, "ns", "clock of the wall, from the start");
    let mut ready_cpu = Measured::power("node.list.ready_cpu", grows, "ns", CPU);
    let mut rest = Measured::line("node.rest.cpu", grows, "ns", "processor time a second at rest");
    let mut change = Measured::line("node.change.cpu", grows, "ns", CPU);
    let mut whole = Measured::line("source.list.bytes", grows, "bytes", LENGTH);
    let mut one = Measured::line("source.change.bytes", grows, "bytes", LENGTH);
    for size in SIZES {
        println!("  a process with {size} servers ...");
        let pushed = Pushed::servers(size)?;
        whole.add(size, pushed.bytes() as f64);
        let node = Node::start(&pushed, 0, false)?;
        let cpu = || processor(node.pid()).as_nanos() as f64;
        node.until_ready()?;
        let (before, begun) = (cpu(), Instant::now());
        thread::sleep(REST);
        rest.add(size, (cpu() - before) / begun.elapsed().as_secs_f64());
        let kb = |what| memory_kb(node.pid(), what).map_or(f64::NAN, |kb| kb as f64 * 1024.0);
        resident.add(size, kb(Memory::Resident));
        peak.add(size, kb(Memory::Peak));
        let before = cpu();
        let mut bytes = 0;
        for k in 0..CHANGES {
            bytes += pushed.change(host(&name(k), address(k), &zone(k), "leaving"));
        }
        pushed.change(host("last-one", address(size), &zone(0), "active"));
        node.until_heard("last-one")?;
        change.add(size, (cpu() - before) / (CHANGES + 1) as f64);
        one.add(size, bytes as f64 / CHANGES as f64);
    }
    for size in LARGE {
        println!("  a process with {size} servers, timed ...");
        let pushed = Pushed::servers(size)?;
        let node = Node::start(&pushed, 0, false)?;
        ready.add(size, node.until_ready()?.as_nanos() as f64);
        ready_cpu.add(size, processor(node.pid()).as_nanos() as f64);
    }
    let mut refused = Measured::figures("list_refused", "the node's own word");
    for size in [40_000, 60_000, 80_000, 180_000] {
        println!("  a process is told {size} servers ...");
        let pushed = Pushed::servers(size)?;
        refused.add(size, f64::from(Node::start(&pushed, 0, false)?.until_refused()?));
    }
    Ok(vec![resident, peak, ready, ready_cpu, rest, change, whole, one, refused])
}
