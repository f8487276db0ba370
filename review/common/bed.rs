//! Stand-ins for the cases: discovery, servers, clients, links with delay, and the program's processes. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Signals by their numbers on Linux.
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is on.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

/// Processes that the case has started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case, and what it has started, should it take too long.
pub fn end_in_time() {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        println!("the case takes too long");
        for pid in STARTED.lock().unwrap().iter() {
            unsafe { kill(*pid as i32, SIGKILL) };
        }
        std::process::exit(NOT_RUN);
    });
}

/// What the case writes down: lines with the time since its start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<std::fs::File>)>);

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = std::fs::File::create(path).expect("record.txt can be written");
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let at = self.0 .0.elapsed().as_secs_f64();
        let _ = writeln!(self.0 .1.lock().unwrap(), "{at:9.4}  {}", text.as_ref());
    }

    /// The same, also on the standard output.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.say(text);
    }
}

/// A private folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), wall_ms()));
        std::fs::create_dir_all(&path).expect("a folder can be made");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An address that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

// ---- Discovery ----

#[derive(Clone, Debug)]
pub struct Entry {
    pub host: String,
    pub dial: SocketAddr,
    pub site: String,
    pub health: &'static str,
}

/// Discovery whose lists are pushed: it answers at once.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, Vec<Entry>)>, Condvar)>,
}

fn list(seq: u64, entries: &[Entry]) -> String {
    let hosts: Vec<String> = entries
        .iter()
        .map(|e| {
            format!(
                "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"std-1\",\"block\":0,\"health\":\"{}\",\"share\":1.0,\"born_ms\":0}}",
                e.host, e.dial, e.site, e.health
            )
        })
        .collect();
    format!("{{\"seq\":{seq},\"whole\":true,\"hosts\":[{}]}}", hosts.join(","))
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery listens");
        let address = listener.local_addr().unwrap();
        let discovery = Discovery { address, state: Arc::new((Mutex::new((1, entries)), Condvar::new())) };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let head = read_head(&mut reader)?;
        if !head.first.contains("follow=1") {
            let body = {
                let state = self.state.0.lock().unwrap();
                list(state.0, &state.1)
            };
            return stream.write_all(answer(200, "", body.as_bytes()).as_slice()).ok();
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut told = 0;
        loop {
            let line = {
                let state = self.state.0.lock().unwrap();
                let (state, _) =
                    self.state.1.wait_timeout_while(state, Duration::from_secs(2), |s| s.0 <= told).unwrap();
                if state.0 > told {
                    told = state.0;
                    list(state.0, &state.1) + "\n"
                } else {
                    "\n".to_owned()
                }
            };
            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).ok()?;
        }
    }

    pub fn set(&self, entries: Vec<Entry>) {
        let mut state = self.state.0.lock().unwrap();
        *state = (state.0 + 1, entries);
        self.state.1.notify_all();
    }
}

// ---- HTTP ----

pub struct Head {
    pub first: String,
    pub fields: HashMap<String, String>,
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut first = String::new();
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if first.is_empty() {
            if !line.is_empty() {
                first = line.to_owned();
            }
            continue;
        }
        if line.is_empty() {
            return Some(Head { first, fields });
        }
        let (name, value) = line.split_once(':')?;
        fields.insert(name.trim().to_lowercase(), value.trim().to_owned());
    }
}

pub fn read_body(reader: &mut impl Read, head: &Head) -> Option<Vec<u8>> {
    let length = head.fields.get("content-length").map_or(Some(0), |l| l.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

pub fn answer(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One call on a connection of its own: the status and the body.
pub fn call(address: SocketAddr, method: &str, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.get(9..12)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n").map_or("", |(_, t)| t).trim().to_owned()))
}

/// A client's connection, which is kept; requests go one at a time.
pub struct Client {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, stream: None }
    }

    /// Sends a request and waits for its answer: the status and the body, or what went wrong.
    pub fn ask(&mut self, request: &str, limit: Duration) -> Result<(u16, String), String> {
        if self.stream.is_none() {
            let stream = TcpStream::connect(self.address).map_err(|e| format!("connect: {e}"))?;
            stream.set_nodelay(true).map_err(|e| e.to_string())?;
            self.stream = Some(BufReader::new(stream));
        }
        let reader = self.stream.as_mut().unwrap();
        reader.get_ref().set_read_timeout(Some(limit)).map_err(|e| e.to_string())?;
        let result = (|| {
            reader.get_mut().write_all(request.as_bytes()).map_err(|e| format!("write: {e}"))?;
            let head = read_head(reader).ok_or("no answer, or a close")?;
            let status = head.first.get(9..12).and_then(|s| s.parse().ok()).ok_or("no status")?;
            let body = read_body(reader, &head).ok_or("the body broke off")?;
            let close = head.fields.get("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
            Ok::<_, String>((status, String::from_utf8_lossy(&body).into_owned(), close))
        })();
        match result {
            Ok((status, body, close)) => {
                if close {
                    self.stream = None;
                }
                Ok((status, body))
            }
            Err(error) => {
                self.stream = None;
                Err(error)
            }
        }
    }
}

/// The request of a class: GET for a class that is safe to repeat, else POST.
pub fn request(class: &str, safe: bool, id: &str, timeout_ms: u64) -> String {
    let (method, body) = if safe { ("GET", "") } else { ("POST", "x=1") };
    let mut text = format!("{method} /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: {timeout_ms}\r\n");
    if !safe {
        let _ = write!(text, "Content-Length: {}\r\n", body.len());
    }
    text + "\r\n" + body
}

// ---- Servers ----

/// What a server does with a request whose last byte has come, on this connection. Returns whether it goes on.
pub type Handler = Arc<dyn Fn(&Head, &mut TcpStream) -> bool + Send + Sync>;

/// A server that keeps connections and begins a request when its last byte has come.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a server listens");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(head) = read_head(&mut reader) {
                    if read_body(&mut reader, &head).is_none() || !handler(&head, &mut writer) {
                        break;
                    }
                }
                let _ = writer.shutdown(Shutdown::Both);
            });
        }
    });
    address
}

// ---- Links ----

fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 65536];
        while let Ok(n) = from.read(&mut buffer) {
            if sender.send((Instant::now() + delay, buffer[..n].to_vec())).is_err() || n == 0 {
                break;
            }
        }
    });
    thread::spawn(move || {
        for (at, bytes) in receiver {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}

/// A link to a server that takes `delay` one way, in order.
pub fn link(target: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a link listens");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else { continue };
            carry(near, far, delay);
            carry(far_2, near_2, delay);
        }
    });
    address
}

// ---- The program ----

/// A process of the program; ended with the case.
pub struct Node {
    pub child: Child,
}

impl Node {
    /// Starts the command of the deploy file, with arguments behind it.
    pub fn start(run: &str, arguments: &str, environment: &[(&str, String)], log: &Path) -> Node {
        let file = || {
            let file = std::fs::File::options().create(true).append(true).open(log);
            Stdio::from(file.expect("the log can be written"))
        };
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{run} {arguments}"))
            .envs(environment.iter().map(|(k, v)| (*k, v.as_str())))
            .env("NO_COLOR", "1")
            .stdin(Stdio::null())
            .stdout(file())
            .stderr(file())
            .spawn()
            .expect("the program starts");
        STARTED.lock().unwrap().push(child.id());
        Node { child }
    }

    pub fn signal(&self, number: i32) {
        unsafe { kill(self.child.id() as i32, number) };
    }

    pub fn running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for its end.
    pub fn ended_within(&mut self, limit: Duration) -> bool {
        until(limit, || !self.running())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

/// Waits until it holds; false where it does not in time.
pub fn until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    true
}

/// The configuration of a node in a small deployment, with the settings of the interface page's example.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub zones: &'static str,
    pub peers: bool,
    pub ordinal: (usize, usize),
}

impl Config {
    pub fn write(&self, path: &Path) {
        let class = |name: &str, aim: u64, give_up: u64, worth: f64, effect: &str| {
            format!(
                "{{\"name\":\"{name}\",\"aimNs\":{aim}000000,\"giveUpNs\":{give_up}000000,\"worth\":{worth:?},\"effect\":\"{effect}\",\
                 \"group\":\"all\",\"windowNs\":5000000000,\"lateWorth\":0.0,\"stream\":false}}"
            )
        };
        let classes = [
            class("status", 250, 600, 5.0, "pure"),
            class("gauges", 600, 1500, 1.0, "pure"),
            class("acknowledge", 600, 2500, 10.0, "side_effect"),
        ]
        .join(",");
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"settings\":{{\"classes\":[{classes}],\"tenants\":[],\"zone\":0,\"zones\":{},\"skus\":[\"std-1\"],\
             \"ordinal\":{},\"groupSize\":{},\"registryMode\":\"automatic\",\"weightSource\":\"nominal\",\
             \"caps\":{{\"maxAttempts\":3,\"secondCopies\":true,\"cancelling\":true,\"mayProbe\":false,\"peers\":{},\
             \"retryAfter\":true,\"maxRetryAfterNs\":2000000000,\"connIdleNs\":10000000000,\"connectTimeoutNs\":120000000}},\
             \"guarantees\":{{\"coldFrom\":0.14,\"rampTimeNs\":23000000000,\"tipMultiple\":3.0,\"fallNs\":2000000000,\
             \"answerSlackNs\":16000000,\"askWithinNs\":10000000000,\"stopSendingWithinNs\":250000000}}}}}}",
            self.name,
            self.listen,
            self.discovery,
            wall_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15),
            self.zones,
            self.ordinal.0,
            self.ordinal.1,
            self.peers,
        );
        std::fs::write(path, text).expect("the configuration can be written");
    }
}

/// The `run` command of the deploy file, which the script passes on.
pub fn run_command() -> String {
    std::env::var("RUN").unwrap_or_else(|_| "exec target/release/laurelroute".to_owned())
}

/// The folder of the case, which the script passes on.
pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::var("CASE").unwrap_or_else(|_| ".".to_owned()))
}
