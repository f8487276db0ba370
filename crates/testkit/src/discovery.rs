//! A stand-in for discovery: one list with versions, told to watches after a lag.

use crate::boxes::StandIn;
use crate::lock;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A box's entry in the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Where it speaks HTTP.
    pub http: SocketAddr,
    /// Where it speaks Thrift; `None` where the list does not say.
    pub thrift: Option<SocketAddr>,
    /// `active`, `leaving` or `left`.
    pub health: &'static str,
    /// When it started, Unix time in milliseconds.
    pub born_ms: u64,
    /// Its cell.
    pub block: u16,
    /// The services that it serves; none where the list says nothing of it, and one is told as a word alone.
    pub services: Vec<String>,
}

impl Entry {
    /// An active, long-started box.
    pub fn of(stand_in: &StandIn) -> Entry {
        Entry {
            name: stand_in.name.clone(),
            http: stand_in.http,
            thrift: Some(stand_in.thrift),
            health: "active",
            born_ms: 0,
            block: 1,
            services: Vec::new(),
        }
    }

    /// The same, which serves these.
    pub fn serving(self, services: &[&str]) -> Entry {
        Entry { services: services.iter().map(|s| (*s).to_owned()).collect(), ..self }
    }

    /// The same, which drains.
    pub fn leaving(self) -> Entry {
        Entry { health: "leaving", ..self }
    }

    /// The same, started then.
    pub fn born(self, born_ms: u64) -> Entry {
        Entry { born_ms, ..self }
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        let mut entry = serde_json::json!({"host": self.name, "dial": self.http, "site": "a", "class": "m",
            "block": self.block, "health": self.health, "share": 1.0, "born_ms": self.born_ms});
        if let Some(thrift) = self.thrift {
            entry["thrift"] = serde_json::json!(thrift);
        }
        match &self.services[..] {
            [] => {}
            [one] => entry["service"] = serde_json::json!(one),
            several => entry["services"] = serde_json::json!(several),
        }
        entry
    }
}

#[derive(Debug)]
struct State {
    seq: u64,
    hosts: Vec<serde_json::Value>,
    /// When the list became what it is.
    changed: Instant,
    lag: Duration,
    /// Watches with a lower number do this.
    spoilt: (usize, Spoilt),
    /// Watches with a lower number end.
    ended: usize,
    /// It resets whoever comes.
    down: bool,
    /// Lists go out over many lines.
    indented: bool,
    /// Earlier versions that it can tell the changes from; `None` where every list is told whole.
    kept: Option<BTreeMap<u64, Vec<serde_json::Value>>>,
}

impl State {
    /// The list for somebody who has this version.
    fn list_since(&self, version: u64) -> serde_json::Value {
        let seq = self.seq;
        let Some(before) = self.kept.as_ref().and_then(|kept| kept.get(&version)) else {
            return serde_json::json!({"seq": seq, "whole": true, "hosts": self.hosts});
        };
        let mut changed: Vec<_> = self.hosts.iter().filter(|host| !before.contains(host)).cloned().collect();
        let is_listed =
            |host: &serde_json::Value| self.hosts.iter().any(|other| other["host"] == host["host"]);
        for host in before.iter().filter(|host| !is_listed(host)) {
            let mut left = host.clone();
            left["health"] = serde_json::json!("left");
            changed.push(left);
        }
        serde_json::json!({"seq": seq, "whole": false, "hosts": changed})
    }

    /// Keeps the present version.
    fn keep(&mut self) {
        let (seq, hosts) = (self.seq, self.hosts.clone());
        self.kept.iter_mut().for_each(|kept| drop(kept.insert(seq, hosts.clone())));
    }
}

/// What a watch does instead of telling anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// It says nothing and stays open.
    Silent,
    /// It goes on with a line that never ends.
    Endless,
}

/// Discovery.
#[derive(Debug)]
pub struct Discovery {
    /// Where nodes watch it.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    told: Arc<Mutex<Option<(u64, Instant)>>>,
    /// Watches that were opened.
    pub watches: Arc<AtomicUsize>,
}

impl Discovery {
    /// Starts with a list.
    pub fn start(entries: &[Entry]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let hosts = entries.iter().map(Entry::json).collect();
        let state = State {
            seq: 1,
            hosts,
            changed: Instant::now(),
            lag: Duration::ZERO,
            spoilt: (0, Spoilt::Silent),
            ended: 0,
            down: false,
            indented: false,
            kept: None,
        };
        let state = Arc::new(Mutex::new(state));
        let told = Arc::new(Mutex::new(None));
        let watches = Arc::new(AtomicUsize::new(0));
        let (list, heard, count) = (state.clone(), told.clone(), watches.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, heard) = (list.clone(), heard.clone());
                let number = count.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || watch(stream, number, &list, &heard));
            }
        });
        Discovery { address, state, told, watches }
    }

    /// From now on changes are told this much later.
    pub fn lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// All watches that are open now tell nothing any more; those that are opened later are as ever.
    pub fn spoil(&self, how: Spoilt) {
        lock(&self.state).spoilt = (self.watches.load(Ordering::SeqCst), how);
    }

    /// All watches that are open now end, and the next so many that are opened say nothing at all.
    pub fn cut(&self, unanswered: usize) {
        let mut state = lock(&self.state);
        state.ended = self.watches.load(Ordering::SeqCst);
        state.spoilt = (state.ended + unanswered, Spoilt::Silent);
    }

    /// It is down: watches end, and whoever comes is reset. Or it is back.
    pub fn down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// From now on lists go out over many lines, indented.
    pub fn indent(&self) {
        lock(&self.state).indented = true;
    }

    /// From now on whoever has the present version or a later one is told what has changed since, and anybody else the
    /// whole list.
    pub fn tell_changes(&self) {
        let mut state = lock(&self.state);
        state.kept = Some(BTreeMap::new());
        state.keep();
    }

    /// Changes the list; gives its version.
    pub fn tell(&self, entries: &[Entry]) -> u64 {
        let mut state = lock(&self.state);
        state.seq += 1;
        state.hosts = entries.iter().map(Entry::json).collect();
        state.changed = Instant::now();
        state.keep();
        state.seq
    }

    /// Waits until a version was written to a watch, and gives when.
    pub fn told(&self, seq: u64) -> Instant {
        let mut at = None;
        crate::until("discovery tells its list", || {
            at = lock(&self.told).filter(|(told, _)| *told >= seq).map(|(_, at)| at);
            at.is_some()
        });
        at.unwrap_or_else(Instant::now)
    }
}

/// The version that a watch's head says the node has; 0 where it has none.
fn since(head: &[u8]) -> u64 {
    let head = String::from_utf8_lossy(head);
    let digits = head.split("since=").nth(1).unwrap_or_default().split(|c: char| !c.is_ascii_digit()).next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

fn watch(
    mut stream: TcpStream,
    number: usize,
    state: &Mutex<State>,
    told: &Mutex<Option<(u64, Instant)>>,
) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        (stream.read(&mut byte).ok()? == 1).then_some(())?;
        head.push(byte[0]);
    }
    if lock(state).down {
        return None;
    }
    // Not even a head.
    while number >= lock(state).ended && number < lock(state).spoilt.0 {
        thread::sleep(Duration::from_millis(5));
        if matches!(stream.peek(&mut [0]), Ok(0)) {
            return None;
        }
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    let (mut last, mut spoken) = (0, Instant::now());
    let mut held = since(&head);
    loop {
        let (seq, line, due, spoilt) = {
            let state = lock(state);
            if state.down || number < state.ended {
                return None;
            }
            let list = state.list_since(held);
            let line = if state.indented { format!("{list:#}\n") } else { format!("{list}\n") };
            let spoilt = (number < state.spoilt.0).then_some(state.spoilt.1);
            (state.seq, line, state.changed.elapsed() >= state.lag, spoilt)
        };
        if let Some(spoilt) = spoilt {
            if spoilt == Spoilt::Endless && spoken.elapsed() > Duration::from_millis(200) {
                stream.write_all(b"1\r\n[\r\n").ok()?;
                spoken = Instant::now();
            }
        } else if seq != last && (due || last == 0) {
            let at = Instant::now();
            write!(stream, "{:x}\r\n{line}\r\n", line.len()).ok()?;
            (last, held, spoken) = (seq, seq, Instant::now());
            let mut told = lock(told);
            if told.is_none_or(|(before, _)| before < seq) {
                *told = Some((seq, at));
            }
        } else if spoken.elapsed() > Duration::from_millis(500) {
            stream.write_all(b"1\r\n\n\r\n").ok()?;
            spoken = Instant::now();
        }
        thread::sleep(Duration::from_millis(5));
    }
}
