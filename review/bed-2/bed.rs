//! What the cases of this folder share: the project's programs as processes, stand-ins for servers, discovery and clients,
//! a delaying relay, and the record. Standard library only, so that `rustc` alone builds it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A number that differs from call to call.
pub fn fresh() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::SeqCst)
}

/// A request id that no other request has.
pub fn fresh_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), fresh())
}

/// The bed of one run: the folder of the case, a temporary folder, the record and the processes.
pub struct Bed {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub trouble: bool,
    started: Instant,
    record: Mutex<File>,
    pids: Mutex<Vec<u32>>,
}

impl Bed {
    /// Opens the record in the case's folder; `limit` is how long the run may take.
    pub fn new(limit: Duration) -> Arc<Bed> {
        let root = PathBuf::from(std::env::var("ROOT").expect("ROOT is set by run.sh"));
        let case = PathBuf::from(std::env::var("CASE").expect("CASE is set by run.sh"));
        let folder = std::env::temp_dir().join(format!("laurelroute-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let record = Mutex::new(File::create(case.join("record.txt")).expect("the record"));
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        let bed = Arc::new(Bed {
            root,
            folder,
            trouble,
            started: Instant::now(),
            record,
            pids: Mutex::default(),
        });
        bed.log(&format!("trouble: {trouble}"));
        let watched = bed.clone();
        thread::spawn(move || {
            thread::sleep(limit);
            watched.end(2, "the run took too long");
        });
        bed
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Adds a line to the record.
    pub fn log(&self, text: &str) {
        let line = format!("{:10.1} ms  {text}\n", self.now());
        let _ = lock(&self.record).write_all(line.as_bytes());
    }

    /// Ends all processes that were started, and this one with the code.
    pub fn end(&self, code: i32, why: &str) -> ! {
        self.log(&format!("end {code}: {why}"));
        println!("exit {code}: {why}");
        for pid in lock(&self.pids).iter() {
            // These are children of this process that nobody has waited for, or whose entry was taken out.
            unsafe { kill(*pid as i32, SIGKILL) };
        }
        thread::sleep(ms(50));
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(code)
    }

    /// Ends with 2 where a condition does not hold in time.
    pub fn until(&self, what: &str, limit: Duration, condition: impl Fn() -> bool) {
        let end = Instant::now() + limit;
        while !condition() {
            if Instant::now() > end {
                self.end(2, &format!("not in time: {what}"));
            }
            thread::sleep(ms(5));
        }
    }

    /// Writes a file into the temporary folder, renamed into place.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        let draft = self.folder.join(format!("{name}.draft"));
        std::fs::write(&draft, text).and_then(|()| std::fs::rename(&draft, &path)).expect("a file");
        path
    }

    /// A folder of its own in the temporary folder.
    pub fn subfolder(&self, name: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        path
    }

    /// Starts the program by the deploy file's command, with further arguments.
    pub fn program(&self, name: &str, arguments: &str, variables: &[(&str, String)]) -> Process {
        let command = format!("exec target/release/laurelroute {arguments}");
        let output = File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let mut run = Command::new("/bin/sh");
        run.arg("-c").arg(&command).current_dir(&self.root).stdin(Stdio::null());
        run.stdout(output.try_clone().expect("a log")).stderr(output);
        run.env_remove("GW_MANAGEMENT").env_remove("GW_CONFIG");
        for (key, value) in variables {
            run.env(key, value);
        }
        match run.spawn() {
            Ok(child) => {
                lock(&self.pids).push(child.id());
                self.log(&format!("{name}: started"));
                Process { name: name.to_owned(), child: Mutex::new(child), ended: AtomicBool::new(false) }
            }
            Err(error) => self.end(2, &format!("the program does not start: {error}")),
        }
    }

    pub fn signal(&self, process: &Process, signal: i32) {
        self.log(&format!("{}: signal {signal}", process.name));
        process.signal(signal);
    }

    /// Whether a process has ended; it is then no longer one to end.
    pub fn ended(&self, process: &Process) -> bool {
        let mut child = lock(&process.child);
        let ended = matches!(child.try_wait(), Ok(Some(_)));
        if ended {
            let pid = child.id();
            lock(&self.pids).retain(|p| *p != pid);
            if !process.ended.swap(true, Ordering::SeqCst) {
                self.log(&format!("{}: ended", process.name));
            }
        }
        ended
    }

    /// What a process wrote, into the record.
    pub fn log_output(&self, name: &str) {
        let text = std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        text.lines().rev().take(30).collect::<Vec<_>>().into_iter().rev().for_each(|l| {
            self.log(&format!("  [{name}] {l}"));
        });
    }
}

/// A process of the project's.
pub struct Process {
    pub name: String,
    child: Mutex<Child>,
    ended: AtomicBool,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        if !self.ended.load(Ordering::SeqCst) {
            unsafe { kill(lock(&self.child).id() as i32, signal) };
        }
    }
}

/// A free address on loopback.
pub fn free_address() -> SocketAddr {
    static TAKEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut taken = lock(&TAKEN);
        if !taken.contains(&address.port()) {
            taken.push(address.port());
            return address;
        }
    }
}

// ---- Messages ----

/// A request or a response, as it was read.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// The first part of the path.
    pub fn class(&self) -> &str {
        self.path().split('/').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection that messages are read from.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&address, limit)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16384];
        let n = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..n]);
        Ok(n)
    }

    /// Whether nothing has come that was not read.
    pub fn quiet(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..n).collect())
    }

    /// Reads one message.
    pub fn read(&mut self) -> io::Result<Message> {
        let first = self.line()?;
        let mut headers = BTreeMap::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
            }
        }
        let mut body = Vec::new();
        if headers.get("transfer-encoding").is_some_and(|t| t.to_lowercase().contains("chunked")) {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                body.extend(self.exact(size)?);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = headers.get("content-length").and_then(|l| l.parse().ok()) {
            body = self.exact(length)?;
        }
        Ok(Message { first, headers, body })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// A response with a status, further header lines and a body.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A client's request as the protocol page has it.
pub fn request(method: &str, path: &str, id: &str, timeout_ms: u64) -> Vec<u8> {
    let length = if method == "POST" { "Content-Length: 2\r\n" } else { "" };
    let body = if method == "POST" { "{}" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: swan-valley\r\nX-Timeout-Ms: {timeout_ms}\r\n{length}\r\n{body}"
    )
    .into_bytes()
}

/// A call on a connection of its own: the status and the text, or nothing where there is no whole answer in time.
pub fn call(address: SocketAddr, method: &str, path: &str, limit: Duration) -> Option<(u16, String)> {
    let mut conn = Conn::connect(address, limit).ok()?;
    conn.stream.set_read_timeout(Some(limit)).ok()?;
    conn.write(format!("{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n").as_bytes()).ok()?;
    let answer = conn.read().ok()?;
    Some((answer.status(), answer.text()))
}

pub fn status(address: SocketAddr, method: &str, path: &str) -> u16 {
    call(address, method, path, ms(1000)).map_or(0, |(status, _)| status)
}

// ---- Servers ----

type Script = dyn Fn(&Message, &mut Conn) -> bool + Send + Sync;

/// A stand-in server: a script reads each request and answers; it returns whether the connection stays open.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
    stopped: Arc<AtomicBool>,
}

impl Server {
    pub fn start(name: &str, script: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let script: Arc<Script> = Arc::new(script);
        let open = Arc::new(Mutex::new(Vec::<TcpStream>::new()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (kept, over) = (open.clone(), stopped.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    lock(&kept).push(copy);
                }
                let script = script.clone();
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(request) = conn.read() {
                        if !script(&request, &mut conn) {
                            let _ = conn.stream.shutdown(Shutdown::Both);
                            break;
                        }
                    }
                });
            }
        });
        Server { name: name.to_owned(), address, open, stopped }
    }

    /// The process ends: its connections end, and new ones are refused.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        lock(&self.open).drain(..).for_each(|s| drop(s.shutdown(Shutdown::Both)));
    }
}

// ---- Discovery ----

/// One entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub health: &'static str,
    pub born_ms: u64,
    pub more: String,
}

impl Host {
    pub fn of(name: &str, dial: SocketAddr) -> Host {
        Host { name: name.to_owned(), dial, health: "active", born_ms: 0, more: String::new() }
    }

    fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"a\",\"class\":\"m\",\"block\":1,\"health\":\"{}\",\"share\":1.0,\"born_ms\":{}{}}}",
            self.name, self.dial, self.health, self.born_ms, self.more
        )
    }
}

pub struct ListState {
    pub seq: u64,
    pub hosts: Vec<Host>,
    /// Each change: its version and the entry.
    changes: Vec<(u64, Host)>,
    /// Told, for the record: who, version, when.
    pub told: Vec<(u64, Instant)>,
}

/// How a watch is to behave from the moment it is opened; numbered from 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchMode {
    Sound,
    /// It sends so many bytes of its first answer, and falls silent.
    SilentAfter(usize),
}

/// A stand-in for discovery, or for the agent on the node's machine.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pub state: Arc<Mutex<ListState>>,
    pub watches: Arc<AtomicU64>,
    pub mode: Arc<Mutex<WatchMode>>,
    /// Watches up to this number end now.
    pub end_up_to: Arc<AtomicU64>,
    /// How long it takes to answer a call.
    pub delay_ms: Arc<AtomicU64>,
}

impl Discovery {
    pub fn start(hosts: Vec<Host>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = ListState { seq: 10, hosts, changes: Vec::new(), told: Vec::new() };
        let discovery = Discovery {
            address,
            state: Arc::new(Mutex::new(state)),
            watches: Arc::default(),
            mode: Arc::new(Mutex::new(WatchMode::Sound)),
            end_up_to: Arc::default(),
            delay_ms: Arc::default(),
        };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || {
                    let _ = serving.serve(Conn::new(stream));
                });
            }
        });
        discovery
    }

    /// Changes one entry; returns the version.
    pub fn change(&self, host: Host) -> u64 {
        let mut state = lock(&self.state);
        state.seq += 1;
        state.hosts.retain(|h| h.name != host.name);
        if host.health != "left" {
            state.hosts.push(host.clone());
        }
        let seq = state.seq;
        state.changes.push((seq, host));
        seq
    }

    /// The whole list.
    pub fn whole(&self) -> String {
        let state = lock(&self.state);
        let hosts: Vec<String> = state.hosts.iter().map(Host::json).collect();
        format!("{{\"seq\":{},\"whole\":true,\"hosts\":[{}]}}", state.seq, hosts.join(","))
    }

    /// When a version was first written to somebody.
    pub fn told_at(&self, seq: u64) -> Option<Instant> {
        lock(&self.state).told.iter().filter(|(s, _)| *s >= seq).map(|(_, at)| *at).min()
    }

    fn serve(&self, mut conn: Conn) -> io::Result<()> {
        let request = conn.read()?;
        thread::sleep(ms(self.delay_ms.load(Ordering::SeqCst)));
        let query = request.path().split_once('?').map_or("", |(_, q)| q).to_owned();
        let whole = |state: &ListState| {
            let hosts: Vec<String> = state.hosts.iter().map(Host::json).collect();
            format!("{{\"seq\":{},\"whole\":true,\"hosts\":[{}]}}", state.seq, hosts.join(","))
        };
        if !query.contains("follow=1") {
            let (text, seq) = {
                let state = lock(&self.state);
                (whole(&state), state.seq)
            };
            conn.write(&response("200 OK", "Content-Type: application/json\r\n", &text))?;
            lock(&self.state).told.push((seq, Instant::now()));
            return Ok(());
        }
        let number = self.watches.fetch_add(1, Ordering::SeqCst) + 1;
        let mode = *lock(&self.mode);
        conn.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let since = query.split('&').find_map(|p| p.strip_prefix("since=")?.parse::<u64>().ok());
        let (mut held, mut first) = (since, true);
        let mut written_at = Instant::now();
        loop {
            if number <= self.end_up_to.load(Ordering::SeqCst) {
                // A watch that is reset.
                let _ = conn.stream.shutdown(Shutdown::Both);
                return Ok(());
            }
            let (text, seq) = {
                let state = lock(&self.state);
                match held {
                    Some(seq) if seq <= state.seq && !first && seq == state.seq => (String::new(), seq),
                    Some(seq) if seq <= state.seq => {
                        let hosts: Vec<String> = state
                            .changes
                            .iter()
                            .filter(|(s, _)| *s > seq)
                            .map(|(_, h)| h.json())
                            .collect();
                        let text =
                            format!("{{\"seq\":{},\"whole\":false,\"hosts\":[{}]}}", state.seq, hosts.join(","));
                        (text, state.seq)
                    }
                    _ => (whole(&state), state.seq),
                }
            };
            if let (WatchMode::SilentAfter(n), true) = (mode, first) {
                let text = &text[..n.min(text.len())];
                if !text.is_empty() {
                    conn.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
                }
                // It stays open, and nothing more comes.
                let _ = conn.stream.set_read_timeout(None);
                let _ = conn.read();
                return Ok(());
            }
            if !text.is_empty() || written_at.elapsed() >= ms(2000) {
                conn.write(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes())?;
                written_at = Instant::now();
                if !text.is_empty() {
                    lock(&self.state).told.push((seq, Instant::now()));
                }
                first = false;
                held = Some(seq);
            }
            thread::sleep(ms(2));
        }
    }
}

// ---- A relay that delays, or passes nothing on ----

/// A relay to an address: what it passes on takes a while each way; while it is cut, nothing passes and nothing ends.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    pub cut: Arc<AtomicBool>,
}

impl Relay {
    pub fn start(target: SocketAddr, delay: Duration) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let cut = Arc::new(AtomicBool::new(false));
        let shared = cut.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = shared.clone();
                thread::spawn(move || {
                    while cut.load(Ordering::SeqCst) {
                        thread::sleep(ms(5));
                    }
                    let Ok(far) = TcpStream::connect(target) else { return };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let pairs = [(near.try_clone(), far.try_clone()), (far.try_clone(), near.try_clone())];
                    for (from, to) in pairs {
                        if let (Ok(from), Ok(to)) = (from, to) {
                            pump(from, to, delay, cut.clone());
                        }
                    }
                });
            }
        });
        Relay { address, cut }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, delay: Duration, cut: Arc<AtomicBool>) {
    let (sender, queue) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut bytes = [0; 16384];
        loop {
            let n = from.read(&mut bytes).unwrap_or(0);
            if sender.send((Instant::now() + delay, bytes[..n].to_vec())).is_err() || n == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        while let Ok((due, bytes)) = queue.recv() {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            while cut.load(Ordering::SeqCst) {
                thread::sleep(ms(5));
            }
            if bytes.is_empty() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    });
}

// ---- Settings ----

/// Settings like those of a small deployment of perth-warnings.
#[derive(Clone)]
pub struct Settings {
    pub nodes: u32,
    pub ordinal: u32,
    pub asked: bool,
    pub peers: bool,
    pub status_aim_ms: u64,
    pub sockets: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { nodes: 1, ordinal: 0, asked: false, peers: false, status_aim_ms: 250, sockets: 1024 }
    }
}

pub const STATUS_MS: u64 = 600;
pub const GAUGES_MS: u64 = 1500;
pub const ACKNOWLEDGE_MS: u64 = 2500;

/// A configuration as the deployment page has it, with the list that the node last had.
pub fn config_knowing(
    name: &str,
    listen: SocketAddr,
    discovery: &Discovery,
    settings: &Settings,
) -> String {
    let known = discovery.whole();
    let text = config(name, listen, discovery.address, settings);
    text.replacen("\"settings\":", &format!("\"known\":{known},\"settings\":"), 1)
}

/// A configuration as the deployment page has it.
pub fn config(name: &str, listen: SocketAddr, discovery: SocketAddr, settings: &Settings) -> String {
    let class = |name: &str, aim: u64, give_up: u64, worth: f64, effect: &str| {
        format!(
            "{{\"name\":\"{name}\",\"aimNs\":{aim}000000,\"giveUpNs\":{give_up}000000,\"worth\":{worth:.1},\"lateWorth\":0.0,\"effect\":\"{effect}\",\"group\":\"all\",\"windowNs\":5000000000,\"stream\":false}}"
        )
    };
    let classes = [
        class("status", settings.status_aim_ms, STATUS_MS, 5.0, "pure"),
        class("gauges", 600, GAUGES_MS, 1.0, "pure"),
        class("acknowledge", 600, ACKNOWLEDGE_MS, 10.0, "side_effect"),
    ]
    .join(",");
    let mode = if settings.asked { "subscribe" } else { "automatic" };
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{:016x}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{}}},\
         \"settings\":{{\"classes\":[{classes}],\"tenants\":[{{\"name\":\"swan-valley\",\"quotaPerS\":1000.0,\"share\":1.0}}],\
         \"zone\":0,\"zones\":[\"a\"],\"skus\":[\"m\"],\"ordinal\":{},\"groupSize\":{},\"registryMode\":\"{mode}\",\
         \"weightSource\":\"nominal\",\"overShareWorth\":0.05,\"countedBy\":\"request\",\"report\":{{\"via\":\"silent\",\"names\":[]}},\
         \"caps\":{{\"maxAttempts\":3,\"secondCopies\":true,\"cancelling\":true,\"mayProbe\":false,\"peers\":{},\
         \"retryAfter\":true,\"maxRetryAfterNs\":2000000000,\"connIdleNs\":10000000000,\"connectTimeoutNs\":120000000,\"maxStreams\":1,\"mostHeld\":20000}},\
         \"guarantees\":{{\"answerSlackNs\":16000000,\"askWithinNs\":10000000000,\"coldFrom\":0.14,\"fallNs\":2000000000,\
         \"rampTimeNs\":23000000000,\"stopSendingWithinNs\":250000000,\"tipMultiple\":3.0}}}}}}",
        0x8c1f_30d2_7a5b_e964u64 ^ fresh() ^ u64::from(std::process::id()) << 16,
        settings.sockets,
        settings.ordinal,
        settings.nodes,
        settings.peers
    )
}
