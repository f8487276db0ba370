//! Discovery of a soak: two addresses for each node with one list behind them, and what each node has to know by when.

use super::history::{Health, Moment, Recorder, Told};
use super::listen::Grid;
use super::plan::{Kind, Plan};
use super::text;
use crate::lock;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// What another address tells counts so long after SIGHUP.
const MOVED: Duration = Duration::from_secs(4);
/// Between two empty lines of a watch.
const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// How long a slow call takes.
const SLOW: Duration = Duration::from_secs(1);

struct Entry {
    health: Health,
    born_ms: u64,
    /// The version that changed it last.
    seq: u64,
}

struct Seat {
    /// Which of its two addresses counts, and since when.
    current: usize,
    moved: Option<Moment>,
}

struct State {
    seq: u64,
    entries: Vec<Entry>,
    seats: Vec<Seat>,
    told: Vec<(u64, Told)>,
}

/// Discovery.
pub struct Registry {
    /// By node, two each.
    grid: Grid,
    state: Mutex<State>,
    /// Where nodes find the servers: by server, then by node.
    dials: Vec<Vec<SocketAddr>>,
    plan: Arc<Plan>,
    recorder: Recorder,
    /// Lists come to those who ask.
    pub asked: bool,
}

impl Registry {
    /// All servers active, nobody told.
    pub fn bind(
        dials: Vec<Vec<SocketAddr>>,
        nodes: usize,
        plan: Arc<Plan>,
        recorder: Recorder,
        asked: bool,
    ) -> std::io::Result<Registry> {
        let entries = dials.iter().map(|_| Entry { health: Health::Active, born_ms: 0, seq: 1 });
        let seats = (0..nodes).map(|_| Seat { current: 0, moved: None });
        let state = State { seq: 1, entries: entries.collect(), seats: seats.collect(), told: Vec::new() };
        Ok(Registry { grid: Grid::bind(nodes, 2)?, state: Mutex::new(state), dials, plan, recorder, asked })
    }

    /// A server's state changes.
    pub fn change(&self, server: usize, health: Health, born_ms: u64) {
        let mut state = lock(&self.state);
        let made = self.recorder.now();
        state.seq += 1;
        let seq = state.seq;
        state.entries[server] = Entry { health, born_ms, seq };
        for node in 0..state.seats.len() {
            let counts = self.counts(&state.seats[node], node, made);
            state.told.push((seq, Told { node, server, health, counts, made }));
        }
    }

    /// When a change that is made now counts as told at the latest, if it is not written to the node before.
    fn counts(&self, seat: &Seat, node: usize, made: Moment) -> Moment {
        let struck = |kind| self.plan.active(kind, node, made);
        let moved = seat.moved.map_or(Moment(0), |at| at.after(MOVED));
        let reachable = struck(Kind::DiscoveryDown).map_or(made, |f| f.end());
        let counts = if self.asked {
            let answers = struck(Kind::DiscoveryHangs).map_or(reachable, |f| f.end().max(reachable));
            answers.after(TOLD)
        } else {
            // A watch that fell silent stays so, also once those that are opened anew are sound.
            let fell =
                self.plan.of(Kind::WatchSilent, node).filter(|f| f.at <= made).map(|f| f.at.after(TOLD));
            fell.max().map_or(reachable, |at| at.max(reachable))
        };
        counts.max(moved)
    }

    /// From now on a node is told at its other address, which it hears of by SIGHUP; gives the address.
    pub fn move_node(&self, node: usize) -> SocketAddr {
        let mut state = lock(&self.state);
        let seat = &mut state.seats[node];
        seat.current = 1 - seat.current;
        seat.moved = Some(self.recorder.now());
        self.grid.addresses[node][seat.current]
    }

    /// Where a node is told now.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.grid.addresses[node][lock(&self.state).seats[node].current]
    }

    /// Hands what was to be known by whom to the history.
    pub fn finish(&self) {
        let told: Vec<Told> = lock(&self.state).told.drain(..).map(|(_, told)| told).collect();
        self.recorder.write(|h| h.told.extend(told));
    }

    fn list(&self, node: usize, since: u64) -> (u64, String) {
        let state = lock(&self.state);
        let changed = state.entries.iter().enumerate().filter(|(_, e)| e.seq > since);
        let hosts: Vec<_> = changed
            .map(|(server, e)| {
                let health = if e.health == Health::Active { "active" } else { "leaving" };
                json!({"host": format!("s-{server}"), "dial": self.dials[server][node], "site": "a",
                    "class": "m", "block": 1, "health": health, "share": 1.0, "born_ms": e.born_ms})
            })
            .collect();
        let list = json!({"seq": state.seq, "whole": since == 0, "hosts": hosts});
        (state.seq, list.to_string())
    }

    /// A list has been written to a node.
    fn written(&self, node: usize, seq: u64, at: Moment) {
        let mut state = lock(&self.state);
        let known = state.told.iter_mut().filter(|(version, told)| told.node == node && *version <= seq);
        known.for_each(|(_, told)| told.counts = told.counts.min(at));
    }

    fn newest(&self) -> u64 {
        lock(&self.state).seq
    }

    fn current(&self, node: usize, which: usize) -> bool {
        lock(&self.state).seats[node].current == which
    }

    fn active(&self, kind: Kind, node: usize) -> bool {
        self.plan.active(kind, node, self.recorder.now()).is_some()
    }

    /// Tells on this thread until it is dropped.
    pub async fn serve(self: Arc<Self>) {
        let registry = self.clone();
        let call = move |stream, node, which| {
            let registry = registry.clone();
            async move {
                // A call ends where its caller has gone.
                let _ = registry.call(stream, node, which).await;
            }
        };
        self.grid.serve(call).await;
    }

    async fn call(&self, mut stream: TcpStream, node: usize, which: usize) -> Option<()> {
        let _ = stream.set_nodelay(true);
        if self.active(Kind::DiscoveryDown, node) {
            return None;
        }
        let message = text::read(&mut stream).await?;
        if self.asked && self.active(Kind::DiscoveryHangs, node) {
            // Taken, and nothing is ever said on it.
            let _ = text::begun(&stream).await;
            return None;
        }
        if self.active(Kind::DiscoveryHangs, node) {
            sleep(SLOW / 10).await;
        }
        if !message.head.contains("follow=1") {
            let (seq, list) = self.list(node, 0);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            self.written(node, seq, self.recorder.now());
            return stream.write_all((head + &list).as_bytes()).await.ok();
        }
        self.watch(stream, node, which).await
    }

    async fn watch(&self, mut stream: TcpStream, node: usize, which: usize) -> Option<()> {
        let opened = self.recorder.now();
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.ok()?;
        let (mut last, mut spoken) = (0, opened);
        loop {
            let now = self.recorder.now();
            if self.active(Kind::DiscoveryDown, node) {
                return None;
            }
            let struck = |kind| self.plan.active(kind, node, now).is_some_and(|f| f.at >= opened);
            if struck(Kind::WatchEnds) {
                return None;
            }
            if struck(Kind::WatchSilent) {
                let _ = text::begun(&stream).await;
                return None;
            }
            if self.current(node, which) && self.newest() > last {
                let (seq, list) = self.list(node, last);
                self.written(node, seq, self.recorder.now());
                let chunk = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
                stream.write_all(chunk.as_bytes()).await.ok()?;
                (last, spoken) = (seq, now);
            } else if now.since(spoken) > HEARTBEAT {
                stream.write_all(b"1\r\n\n\r\n").await.ok()?;
                spoken = now;
            }
            sleep(Duration::from_millis(3)).await;
        }
    }
}
