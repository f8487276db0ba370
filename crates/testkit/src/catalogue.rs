//! A stand-in for discovery that holds a large list as text prepared once, and tells changes to it by their versions.
//!
//! A watch that names the version it has gets what has changed since; any other one, and one that is too far behind,
//! gets the whole.

use crate::lock;
use std::collections::{HashMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Versions whose changes are kept for watches that come back.
const KEPT: usize = 10_000;
/// An open watch hears something at least this often.
const BEAT: Duration = Duration::from_millis(500);

/// One server's entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Where it speaks HTTP.
    pub http: SocketAddr,
    /// `active`, `leaving` or `left`.
    pub health: &'static str,
    /// When it started, Unix time in milliseconds; 0 where that is long ago.
    pub born_ms: u64,
    /// Its listed size.
    pub share: f32,
}

impl Listed {
    /// As discovery words it.
    fn json(&self) -> String {
        serde_json::json!({"host": self.name, "dial": self.http, "site": "a", "class": "m", "health": self.health,
            "share": self.share, "born_ms": self.born_ms, "service": self.service})
        .to_string()
    }
}

#[derive(Debug)]
struct State {
    seq: u64,
    /// Every server's entry, and the place of each name.
    hosts: Vec<Arc<str>>,
    places: HashMap<String, usize>,
    /// Lines of the latest versions, the first of which is that of `seq + 1 - changes.len()`.
    changes: VecDeque<Arc<str>>,
    ended: bool,
}

impl State {
    fn line<'a>(seq: u64, whole: bool, hosts: impl Iterator<Item = &'a str>) -> String {
        let mut line = format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[");
        for (k, host) in hosts.enumerate() {
            if k > 0 {
                line.push(',');
            }
            line.push_str(host);
        }
        line.push_str("]}\n");
        line
    }

    /// Lines that bring a watch which has this version, if any, up to the latest one; whether that is the whole.
    fn since(&self, held: Option<u64>) -> (Vec<Arc<str>>, bool) {
        let oldest = self.seq - self.changes.len() as u64;
        match held {
            Some(held) if held >= oldest && held <= self.seq => {
                (self.changes.iter().skip((held - oldest) as usize).cloned().collect(), false)
            }
            _ => {
                let whole = State::line(self.seq, true, self.hosts.iter().map(|h| &**h));
                (vec![whole.into()], true)
            }
        }
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    wholes: AtomicUsize,
}

/// Discovery with a large list.
#[derive(Debug)]
pub struct Catalogue {
    /// Where nodes and planners watch it.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Catalogue {
    /// Starts with a list, which is version 1.
    pub fn start(servers: impl Iterator<Item = Listed>) -> Catalogue {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut state = State {
            seq: 1,
            hosts: Vec::new(),
            places: HashMap::new(),
            changes: VecDeque::new(),
            ended: false,
        };
        for server in servers {
            state.places.insert(server.name.clone(), state.hosts.len());
            state.hosts.push(server.json().into());
        }
        let state = Mutex::new(state);
        let shared = Arc::new(Shared { state, changed: Condvar::new(), wholes: AtomicUsize::new(0) });
        let told = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if lock(&told.state).ended {
                    return;
                }
                let shared = told.clone();
                thread::spawn(move || watch(stream, &shared));
            }
        });
        Catalogue { address, shared }
    }

    /// Changes these servers; gives the version. It is told to all open watches at once.
    pub fn push(&self, servers: &[Listed]) -> u64 {
        // Worded before the lock is taken: a watch that is opened meanwhile must not wait for it.
        let worded: Vec<Arc<str>> = servers.iter().map(|s| s.json().into()).collect();
        let mut state = lock(&self.shared.state);
        state.seq += 1;
        for (server, json) in servers.iter().zip(&worded) {
            let next = state.hosts.len();
            let place = *state.places.entry(server.name.clone()).or_insert(next);
            match state.hosts.get_mut(place) {
                Some(host) => *host = json.clone(),
                None => state.hosts.push(json.clone()),
            }
        }
        let line = State::line(state.seq, false, worded.iter().map(|h| &**h));
        state.changes.push_back(line.into());
        if state.changes.len() > KEPT {
            state.changes.pop_front();
        }
        self.shared.changed.notify_all();
        state.seq
    }

    /// How often a whole list was told.
    pub fn wholes(&self) -> usize {
        self.shared.wholes.load(Ordering::SeqCst)
    }
}

impl Drop for Catalogue {
    fn drop(&mut self) {
        lock(&self.shared.state).ended = true;
        self.shared.changed.notify_all();
        // The thread that waits for watches sees it.
        let _ = TcpStream::connect(self.address);
    }
}

/// The version that a watch names.
fn held(head: &[u8]) -> Option<u64> {
    let head = String::from_utf8_lossy(head);
    let path = head.split(' ').nth(1)?.to_owned();
    path.split(['?', '&']).find_map(|p| p.strip_prefix("since="))?.parse().ok()
}

fn watch(mut stream: TcpStream, shared: &Shared) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        (stream.read(&mut byte).ok()? == 1).then_some(())?;
        head.push(byte[0]);
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    let mut has = held(&head);
    let mut spoken = Instant::now();
    loop {
        let state = lock(&shared.state);
        let (state, _) = shared
            .changed
            .wait_timeout_while(state, BEAT, |s| !s.ended && has == Some(s.seq))
            .unwrap_or_else(PoisonError::into_inner);
        if state.ended {
            return None;
        }
        let behind = has != Some(state.seq);
        let (lines, whole) = if behind { state.since(has) } else { (Vec::new(), false) };
        let seq = state.seq;
        drop(state);
        if whole {
            shared.wholes.fetch_add(1, Ordering::SeqCst);
        }
        has = Some(seq);
        for line in &lines {
            write!(stream, "{:x}\r\n", line.len()).ok()?;
            stream.write_all(line.as_bytes()).ok()?;
            stream.write_all(b"\r\n").ok()?;
            spoken = Instant::now();
        }
        if spoken.elapsed() >= BEAT {
            stream.write_all(b"1\r\n\n\r\n").ok()?;
            spoken = Instant::now();
        }
    }
}
