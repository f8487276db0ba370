//! The world: publishers and subscribers in simulated time, and the links between them.

use super::app::App;
use super::defect::{Defect, Tamper};
use super::link::{Connection, End, Link, Message};
use super::schedule::{Fault, Schedule, HEALED};
use super::source::{Feed, Source};
use super::{Figures, SITE};
use crate::draw::Draw;
use crate::{Nanos, MS, S};
use laurelroute_plan::services::{publisher, publisher::Publisher, subscriber, subscriber::Subscriber};
use laurelroute_plan::wire;
use prost::Message as _;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Between two polls of either machine.
const POLL: Nanos = 100 * MS;
/// A connection that is not there within this is given up.
const CONNECT: Nanos = S;
/// Updates at one time, before it counts as endless.
const ENDLESS: usize = 2_000;
/// Interval between heartbeats of the list's source.
const LIST_HEARTBEAT: Nanos = 2 * S;
/// Changes that each planner is asked for.
const ASKED: usize = 8;

#[derive(Clone, Debug)]
pub(super) enum Event {
    Change,
    Hear(usize),
    Fault(Fault),
    Poll(usize, u64),
    PollPlanner(usize, u64),
    Wake(usize),
    Deliver(usize, End),
    Broken(usize, End),
    Accept {
        forwarder: usize,
        attempt: u64,
        planner: usize,
        life: u64,
    },
    GiveUp(usize, u64),
    Request(usize, u64),
    Ended(usize, u64, String),
    Resume(usize),
    /// By now forwarders of a planner know that a server is closed.
    Known {
        planner: usize,
        life: u64,
        told: Nanos,
        batch: usize,
        servers: Vec<(String, String)>,
    },
}

/// A change of the list as a planner heard it.
#[derive(Debug)]
pub(super) struct Heard {
    pub(super) version: u64,
    /// The batch that made it so.
    pub(super) batch: usize,
    /// Services and servers that it changed.
    pub(super) touched: BTreeMap<String, Vec<String>>,
    /// The same services, with those that are named and yet the same.
    pub(super) named: BTreeSet<String>,
    /// What was last said of where it is in force, and when that was looked at.
    pub(super) said: Option<(usize, usize, bool, Nanos)>,
    /// It named all servers.
    pub(super) whole: bool,
}

impl Heard {
    fn new(
        version: u64,
        batch: usize,
        pairs: BTreeSet<(String, String)>,
        named: BTreeSet<String>,
        whole: bool,
    ) -> Heard {
        let mut touched: BTreeMap<String, Vec<String>> = BTreeMap::new();
        pairs.into_iter().for_each(|(service, server)| touched.entry(service).or_default().push(server));
        Heard { version, batch, touched, named, said: None, whole }
    }
}

#[derive(Debug)]
pub(super) struct Planner {
    pub(super) publisher: Option<Publisher>,
    pub(super) life: u64,
    pub(super) feed: Feed,
    /// Since when it knows the list.
    pub(super) knows: Option<Nanos>,
    /// Connections by forwarder, the lost ones among them.
    pub(super) joined: BTreeMap<usize, usize>,
    pub(super) changes: VecDeque<Heard>,
}

#[derive(Debug)]
pub(super) struct Forwarder {
    pub(super) life: u64,
    pub(super) subscriber: Option<Subscriber>,
    pub(super) app: App,
    pub(super) paused_until: Nanos,
    backlog: VecDeque<(usize, Message)>,
    pub(super) connection: Option<usize>,
    pub(super) connected_at: Nanos,
    /// When its planner last said something.
    heard_at: Nanos,
    trying: Option<u64>,
    attempts: u64,
    reported_at: Nanos,
    /// Bytes got by this process, when they were sent; and given.
    pub(super) got: Vec<(Nanos, usize)>,
    pub(super) gave: Vec<(Nanos, usize)>,
}

/// See the module's documentation.
#[derive(Debug)]
pub(super) struct World {
    pub(super) seed: u64,
    pub(super) now: Nanos,
    pub(super) draw: Draw,
    pub(super) schedule: Schedule,
    events: BTreeMap<(Nanos, u64), Event>,
    order: u64,
    pub(super) source: Source,
    pub(super) planners: Vec<Planner>,
    pub(super) forwarders: Vec<Forwarder>,
    /// By planner and forwarder.
    pub(super) links: Vec<Vec<Link>>,
    pub(super) connections: Vec<Connection>,
    pub(super) tamper: Tamper,
    pub(super) healed: bool,
    /// When the source last started anew.
    pub(super) restarted_at: Option<Nanos>,
    pub(super) broken: Vec<String>,
    pub(super) figures: Figures,
}

pub(super) fn name(forwarder: usize) -> String {
    format!("forwarder-{forwarder}")
}

impl World {
    pub(super) fn new(seed: u64, schedule: Schedule, defect: Option<Defect>) -> World {
        let source = Source::new(seed);
        let link = Link { deaf: [false, false], delay: MS, sound_since: 0 };
        let (planners, forwarders) = (schedule.planners, schedule.forwarders);
        let mut world = World {
            seed,
            now: 0,
            draw: Draw::new(seed, 33),
            events: BTreeMap::new(),
            order: 0,
            source,
            planners: Vec::new(),
            forwarders: Vec::new(),
            links: vec![vec![link; forwarders]; planners],
            connections: Vec::new(),
            tamper: Tamper::new(defect),
            healed: false,
            restarted_at: None,
            broken: Vec::new(),
            figures: Figures::default(),
            schedule,
        };
        for _ in 0..planners {
            world.planners.push(Planner {
                publisher: None,
                life: 0,
                feed: Feed::default(),
                knows: None,
                joined: BTreeMap::new(),
                changes: VecDeque::new(),
            });
        }
        for f in 0..forwarders {
            let app = App::new(world.seed, f, 0, world.source.services.len());
            world.forwarders.push(Forwarder {
                life: 0,
                subscriber: None,
                app,
                paused_until: 0,
                backlog: VecDeque::new(),
                connection: None,
                connected_at: 0,
                heard_at: 0,
                trying: None,
                attempts: 0,
                reported_at: 0,
                got: Vec::new(),
                gave: Vec::new(),
            });
        }
        (0..planners).for_each(|p| world.start_planner(p));
        (0..forwarders).for_each(|f| world.start_forwarder(f));
        for (at, fault) in world.schedule.faults.clone() {
            world.at(at, Event::Fault(fault));
        }
        world.at(S, Event::Change);
        world
    }

    pub(super) fn at(&mut self, at: Nanos, event: Event) {
        self.order += 1;
        self.events.insert((at.max(self.now), self.order), event);
    }

    pub(super) fn breaks(&mut self, what: String) {
        if self.broken.len() < 20 {
            let restarted =
                self.restarted_at.map(|at| format!(" (the source started anew at {} ms)", at / MS));
            let restarted = restarted.unwrap_or_default();
            self.broken.push(format!("seed {}, {} ms: {what}{restarted}", self.seed, self.now / MS));
        }
    }

    pub(super) fn run_until(&mut self, until: Nanos) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until || self.broken.len() >= 20 {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.step(event);
        }
        self.now = until;
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Change => {
                if self.now < HEALED {
                    let now = self.now;
                    self.source.change(now);
                    self.listed();
                    let next = self.draw.exponential(self.schedule.pace as f64) as Nanos;
                    self.at(now + MS + next.min(5 * S), Event::Change);
                }
            }
            Event::Hear(p) => self.hear(p),
            Event::Fault(fault) => self.strike(fault),
            Event::Poll(f, life) if self.forwarders[f].life == life => self.poll(f),
            Event::PollPlanner(p, life) if self.planners[p].life == life => {
                let now = self.now;
                self.source_heartbeat(p);
                if let Some(publisher) = &mut self.planners[p].publisher {
                    publisher.poll(now);
                    self.pump(p);
                    self.at(now + POLL, Event::PollPlanner(p, life));
                }
            }
            Event::Poll(..) | Event::PollPlanner(..) => {}
            Event::Wake(c) => {
                self.connections[c].wake = None;
                self.speak(c);
            }
            Event::Deliver(c, end) => self.deliver(c, end),
            Event::Broken(c, end) => self.hung_up(c, end),
            Event::Accept { forwarder, attempt, planner, life } => {
                self.accept(forwarder, attempt, planner, life)
            }
            Event::GiveUp(f, attempt) => self.failed(f, attempt),
            Event::Request(f, life) if self.forwarders[f].life == life => self.request(f),
            Event::Request(..) => {}
            Event::Ended(f, life, service) if self.forwarders[f].life == life => self.ended(f, &service),
            Event::Ended(..) => {}
            Event::Resume(f) => self.resume(f),
            Event::Known { planner, life, told, batch, servers } => {
                self.look_at_closings(planner, life, told, batch, &servers)
            }
        }
    }

    // ---- The list ----

    pub(super) fn listed(&mut self) {
        for p in 0..self.planners.len() {
            let at = self.now + self.planners[p].feed.delay;
            self.at(at, Event::Hear(p));
        }
    }

    /// The list's source sends a heartbeat to a planner that has heard all that was sent before, if one is due.
    fn source_heartbeat(&mut self, p: usize) {
        let now = self.now;
        let planner = &mut self.planners[p];
        let feed = &mut planner.feed;
        let due = self.source.log.partition_point(|b| b.at + feed.delay <= now);
        let waits = feed.frozen || feed.whole || feed.heard < due;
        if waits || now.saturating_sub(feed.heartbeat_at) < LIST_HEARTBEAT {
            return;
        }
        feed.heartbeat_at = now;
        if let Some(publisher) = &mut planner.publisher {
            publisher.confirm_list(now);
        }
    }

    pub(super) fn hear(&mut self, p: usize) {
        let now = self.now;
        let planner = &mut self.planners[p];
        let Some(publisher) = &mut planner.publisher else { return };
        let feed = &mut planner.feed;
        let due = self.source.log.partition_point(|b| b.at + feed.delay <= now);
        if feed.frozen || due <= feed.heard && !(feed.whole && due > 0) {
            return;
        }
        let batches = feed.heard..due.max(feed.heard);
        feed.heard = batches.end;
        let whole = feed.whole || self.source.log[batches.clone()].iter().any(|b| b.whole);
        let mut heard = Vec::new();
        let before = whole.then(|| feed.state.clone());
        for k in batches {
            let batch = &self.source.log[k];
            let touched = feed.apply(batch);
            if !whole {
                publisher.apply_list(now, batch.version, false, batch.entries.clone());
                let named = batch.entries.iter().flat_map(super::source::named).chain(touched.clone());
                let named = named.map(|(service, _)| service).collect();
                heard.push(Heard::new(batch.version, k, touched, named, whole));
            }
        }
        if let Some(before) = before {
            feed.whole = false;
            planner.changes.clear();
            let (batch, version) = (feed.heard - 1, self.source.log[feed.heard - 1].version);
            let dropped = publisher.apply_list(now, version, true, feed.state.values().cloned().collect());
            if dropped != publisher::Dropped::default() {
                self.broken.push(format!("seed {}: {dropped:?}", self.seed));
            }
            let touched = super::source::differing(&before, &feed.state);
            heard.push(Heard::new(version, batch, touched, BTreeSet::new(), whole));
        }
        let planner = &mut self.planners[p];
        planner.knows.get_or_insert(now);
        let life = planner.life;
        let feed = &planner.feed;
        let closed = |(service, server): &(String, String)| {
            feed.state.get(server).is_none_or(|l| {
                l.member.server.phase != laurelroute_policy::interface::Phase::Ready
                    || !super::source::services_of(l).contains(&service.as_str())
            })
        };
        let mut due = Vec::new();
        for one in &heard {
            let touched = one.touched.iter().flat_map(|(s, of)| of.iter().map(|n| (s.clone(), n.clone())));
            let servers: Vec<_> = touched.filter(closed).collect();
            if !servers.is_empty() && !whole {
                due.push((one.batch, servers));
            }
        }
        planner.changes.extend(heard);
        while planner.changes.len() > ASKED {
            planner.changes.pop_front();
        }
        for (batch, servers) in due {
            let known = Event::Known { planner: p, life, told: now, batch, servers };
            self.at(now + super::check::CLOSINGS, known);
        }
        self.pump(p);
        self.ask_in_force(p);
    }

    // ---- Processes ----

    pub(super) fn start_planner(&mut self, p: usize) {
        if self.planners[p].publisher.is_some() {
            return;
        }
        let (now, planners) = (self.now, self.planners.len() as u32);
        let planner = &mut self.planners[p];
        planner.life = 1_000_000 + now / MS * 4 + p as u64;
        planner.publisher = Some(Publisher::new(
            now,
            publisher::Settings {
                site: SITE.to_owned(),
                incarnation: planner.life,
                planners,
                max_forwarders: self.schedule.forwarders,
                bytes_per_second: super::RATE,
                burst: super::BURST,
                drain_bytes_per_second: super::DRAIN_RATE,
                drain_burst: super::DRAIN_BURST,
            },
        ));
        let delay = planner.feed.delay;
        planner.feed = Feed { whole: true, delay, ..Feed::default() };
        let life = planner.life;
        self.at(now + delay, Event::Hear(p));
        self.at(now + POLL, Event::PollPlanner(p, life));
    }

    pub(super) fn kill_planner(&mut self, p: usize) {
        let planner = &mut self.planners[p];
        planner.publisher = None;
        planner.life = 0;
        planner.knows = None;
        planner.joined.clear();
        planner.changes.clear();
        for c in 0..self.connections.len() {
            if self.connections[c].planner == p && self.connections[c].open[1] {
                self.close(c, End::Planner);
            }
        }
    }

    pub(super) fn start_forwarder(&mut self, f: usize) {
        if self.forwarders[f].subscriber.is_some() {
            return;
        }
        let now = self.now;
        let life = now + 1 + f as u64;
        let app = App::new(self.seed, f, life, self.source.services.len());
        let settings = subscriber::Settings {
            name: name(f),
            site: SITE.to_owned(),
            planners: (0..self.planners.len()).map(|p| format!("planner-{p}")).collect(),
            max_services: self.schedule.most.0,
            max_bytes: self.schedule.most.1,
            unused_timeout: self.schedule.unused_after,
            unknown_ttl: self.schedule.unknown_for,
            bytes_per_second: super::SAY_RATE,
            burst: super::SAY_BURST,
            receive_bytes_per_second: super::RATE,
            receive_burst: super::BURST,
            seed: self.draw.between(0, u64::MAX),
        };
        let forwarder = &mut self.forwarders[f];
        forwarder.life = life;
        forwarder.subscriber = Some(Subscriber::new(now, settings));
        forwarder.app = app;
        forwarder.paused_until = 0;
        self.at(now + self.draw.clone().between(1, 100) * MS, Event::Poll(f, life));
        self.at(now + 10 * MS, Event::Request(f, life));
    }

    pub(super) fn kill_forwarder(&mut self, f: usize) {
        self.look_at_bytes(f);
        let now = self.now;
        for c in 0..self.connections.len() {
            if self.connections[c].forwarder == f && self.connections[c].open[0] {
                self.freeze(c);
                self.close(c, End::Forwarder);
            }
        }
        let forwarder = &mut self.forwarders[f];
        forwarder.subscriber = None;
        forwarder.life = 0;
        forwarder.backlog.clear();
        forwarder.connection = None;
        forwarder.trying = None;
        forwarder.paused_until = now;
        forwarder.got.clear();
        forwarder.gave.clear();
    }

    fn resume(&mut self, f: usize) {
        if self.forwarders[f].paused_until > self.now || self.forwarders[f].subscriber.is_none() {
            return;
        }
        while let Some((c, message)) = self.forwarders[f].backlog.pop_front() {
            self.forwarder_gets(c, message);
        }
    }

    pub(super) fn paused(&self, f: usize) -> bool {
        self.forwarders[f].paused_until > self.now
    }

    fn poll(&mut self, f: usize) {
        let now = self.now;
        let life = self.forwarders[f].life;
        if self.paused(f) {
            let until = self.forwarders[f].paused_until;
            return self.at(until + MS, Event::Poll(f, life));
        }
        let silent = now >= self.forwarders[f].heard_at + subscriber::PLANNER_SILENCE_TIMEOUT;
        if let Some(c) = self.forwarders[f].connection.filter(|_| silent) {
            self.hung_up(c, End::Forwarder);
            self.send(c, End::Planner, Message::Close);
        }
        let Some(subscriber) = &mut self.forwarders[f].subscriber else { return };
        subscriber.poll(now);
        self.heed(f);
        self.connect(f);
        self.say(f);
        self.report(f);
        self.look_at(f);
        self.at(now + POLL, Event::Poll(f, life));
    }

    /// Takes over what a subscriber's machine has come to.
    pub(super) fn heed(&mut self, f: usize) {
        let forwarder = &mut self.forwarders[f];
        let Some(subscriber) = &mut forwarder.subscriber else { return };
        let changes = subscriber.changes();
        let planner = subscriber.planner();
        for change in changes {
            self.changed(f, change);
        }
        // It gives up a planner by itself where that is silent.
        if let Some(c) = self.forwarders[f].connection {
            if planner != Some(self.connections[c].planner) {
                self.forwarders[f].connection = None;
                self.freeze(c);
                self.close(c, End::Forwarder);
            }
        }
    }

    // ---- Connections ----

    fn connect(&mut self, f: usize) {
        let now = self.now;
        let forwarder = &mut self.forwarders[f];
        let Some(subscriber) = forwarder.subscriber.as_mut().filter(|_| forwarder.trying.is_none()) else {
            return;
        };
        let Some(p) = subscriber.try_next(now) else { return };
        forwarder.attempts += 1;
        let attempt = forwarder.attempts << 8 | p as u64;
        forwarder.trying = Some(attempt);
        let link = self.links[p][f];
        let life = self.planners[p].life;
        if link.sound() && life == 0 {
            return self.at(now + 2 * link.delay, Event::GiveUp(f, attempt));
        }
        self.at(now + CONNECT, Event::GiveUp(f, attempt));
        if link.sound() {
            self.at(now + link.delay, Event::Accept { forwarder: f, attempt, planner: p, life });
        }
    }

    fn failed(&mut self, f: usize, attempt: u64) {
        if self.forwarders[f].trying != Some(attempt) {
            return;
        }
        if self.paused(f) {
            let until = self.forwarders[f].paused_until;
            return self.at(until + MS, Event::GiveUp(f, attempt));
        }
        self.forwarders[f].trying = None;
        let now = self.now;
        if let Some(subscriber) = &mut self.forwarders[f].subscriber {
            subscriber.connect_failed(now, (attempt & 255) as usize);
        }
        self.heed(f);
    }

    fn accept(&mut self, f: usize, attempt: u64, p: usize, life: u64) {
        let (now, link) = (self.now, self.links[p][f]);
        if self.forwarders[f].trying != Some(attempt) || !link.sound() || self.planners[p].life != life {
            return;
        }
        let planner = &mut self.planners[p];
        let Some(publisher) = &mut planner.publisher else { return };
        if publisher.forwarder_connected(now, &name(f), (f % 3) as u8).is_err() {
            self.figures.refused += 1;
            return self.at(now + link.delay, Event::GiveUp(f, attempt));
        }
        let c = self.connections.len();
        let former = planner.joined.insert(f, c);
        if let Some(former) = former.filter(|former| self.connections[*former].open[1]) {
            self.close(former, End::Planner);
        }
        let stale = former.map(|former| &self.connections[former]).filter(|former| !former.leaving);
        let stale = stale.map(|f| f.interests.keys().chain(&f.stale).cloned().collect()).unwrap_or_default();
        let lives = [self.forwarders[f].life, life];
        self.connections.push(Connection { stale, ..Connection::new(f, p, lives, attempt) });
        self.figures.connections += 1;
        self.send(c, End::Forwarder, Message::Hello(life));
        self.pump(p);
        self.speak(c);
    }

    /// One end closes; the other hears of it where it hears anything.
    pub(super) fn close(&mut self, c: usize, end: End) {
        self.send(c, end.other(), Message::Close);
        self.connections[c].open[end as usize] = false;
        if self.connections[c].open[end.other() as usize] {
            // Keeping alive finds a connection that is gone.
            let later = self.now + self.draw.between(3_000, 10_000) * MS;
            self.at(later, Event::Broken(c, end.other()));
        }
    }

    /// A connection is over for one end that did not close it.
    fn hung_up(&mut self, c: usize, end: End) {
        if !self.connections[c].open[end as usize] {
            return;
        }
        let (now, f, p) = (self.now, self.connections[c].forwarder, self.connections[c].planner);
        if end == End::Forwarder && self.paused(f) {
            let until = self.forwarders[f].paused_until;
            return self.at(until + MS, Event::Broken(c, end));
        }
        self.connections[c].open[end as usize] = false;
        match end {
            End::Planner => {
                self.freeze(c);
                let planner = &mut self.planners[p];
                if let Some(publisher) =
                    planner.publisher.as_mut().filter(|_| planner.joined.get(&f) == Some(&c))
                {
                    publisher.forwarder_disconnected(now, &name(f));
                    self.pump(p);
                    self.ask_in_force(p);
                }
            }
            End::Forwarder => {
                if self.forwarders[f].connection != Some(c) {
                    return;
                }
                self.freeze(c);
                self.forwarders[f].connection = None;
                if let Some(subscriber) = &mut self.forwarders[f].subscriber {
                    subscriber.connection_lost(now, p);
                }
                self.heed(f);
            }
        }
    }

    pub(super) fn send(&mut self, c: usize, to: End, message: Message) {
        let connection = &mut self.connections[c];
        let link = &self.links[connection.planner][connection.forwarder];
        let way = &mut connection.ways[to as usize];
        if link.deaf[to as usize] && !way.dead {
            way.dead = true;
            let later = self.now + self.draw.between(200, 8_000) * MS;
            for end in [End::Forwarder, End::Planner] {
                let at = later + self.draw.between(0, 500) * MS;
                self.at(at, Event::Broken(c, end));
            }
            return;
        }
        if way.dead {
            return;
        }
        way.last = way.last.max(self.now + link.delay);
        let at = way.last;
        way.queue.push_back(message);
        self.at(at, Event::Deliver(c, to));
    }

    fn deliver(&mut self, c: usize, end: End) {
        let connection = &mut self.connections[c];
        let way = &mut connection.ways[end as usize];
        let Some(message) = way.queue.pop_front() else { return };
        let f = connection.forwarder;
        let lost = way.dead || self.links[connection.planner][f].deaf[end as usize];
        if lost {
            if !way.dead {
                way.dead = true;
                let at = self.now + self.draw.between(200, 8_000) * MS;
                self.at(at, Event::Broken(c, End::Forwarder));
                self.at(at, Event::Broken(c, End::Planner));
            }
            return;
        }
        if !connection.open[end as usize] {
            return;
        }
        match end {
            End::Planner => self.planner_gets(c, message),
            End::Forwarder if self.paused(f) => self.forwarders[f].backlog.push_back((c, message)),
            End::Forwarder => {
                if self.connections[c].lives[0] == self.forwarders[f].life {
                    self.resume(f);
                    self.forwarder_gets(c, message);
                }
            }
        }
    }

    fn forwarder_gets(&mut self, c: usize, message: Message) {
        let (now, f, p) = (self.now, self.connections[c].forwarder, self.connections[c].planner);
        if !self.connections[c].open[0] {
            return;
        }
        match message {
            Message::Hello(life) => {
                if self.forwarders[f].trying != Some(self.connections[c].attempt) {
                    // It has given up meanwhile.
                    return self.close(c, End::Forwarder);
                }
                self.forwarders[f].trying = None;
                let former = self.forwarders[f].connection.replace(c);
                self.forwarders[f].connected_at = now;
                self.forwarders[f].heard_at = now;
                if let Some(subscriber) = &mut self.forwarders[f].subscriber {
                    subscriber.connected(now, p, life);
                }
                if let Some(former) = former {
                    self.freeze(former);
                    let word = Message::Subscribe(Subscriber::leave_message(), now);
                    self.gave(f, former, &word);
                    self.send(former, End::Planner, word);
                    self.close(former, End::Forwarder);
                }
                self.heed(f);
                self.say(f);
            }
            Message::Update { update, heard, bytes, sent } => {
                if self.forwarders[f].connection != Some(c) {
                    return;
                }
                self.forwarders[f].heard_at = now;
                self.forwarders[f].got.push((sent, bytes));
                self.told(f, &update, heard);
                let Some(subscriber) = &mut self.forwarders[f].subscriber else { return };
                let answer = subscriber.receive(now, p, &update);
                self.heed(f);
                if let Some(answer) = answer.filter(|_| self.forwarders[f].connection == Some(c)) {
                    self.figures.refusals += answer.refused.len() as u64;
                    let word = Message::Acknowledge(answer);
                    self.gave(f, c, &word);
                    self.send(c, End::Planner, word);
                }
                self.look_at(f);
            }
            Message::Close => self.hung_up(c, End::Forwarder),
            Message::Subscribe(..) | Message::Acknowledge(_) | Message::Report(_) => {}
        }
    }

    fn gave(&mut self, f: usize, c: usize, message: &Message) {
        let bytes = match message {
            Message::Subscribe(s, _) => s.encoded_len(),
            Message::Acknowledge(a) => a.encoded_len(),
            Message::Report(r) => r.encoded_len(),
            Message::Hello(_) | Message::Update { .. } | Message::Close => return,
        };
        let bytes = bytes + publisher::FRAMING_BYTES;
        self.forwarders[f].gave.push((self.now, bytes));
        self.connections[c].heard.push_back((self.now, bytes));
    }

    /// Has a forwarder say what it wants.
    pub(super) fn say(&mut self, f: usize) {
        let now = self.now;
        for round in 0.. {
            let Some(c) = self.forwarders[f].connection else { return };
            let Some(subscriber) = &mut self.forwarders[f].subscriber else { return };
            let Some(word) = subscriber.next_subscribe(now) else { return };
            if round > ENDLESS {
                return self.breaks(format!("{} subscribes without end", name(f)));
            }
            let word = Message::Subscribe(word, now);
            self.gave(f, c, &word);
            self.send(c, End::Planner, word);
        }
    }

    fn report(&mut self, f: usize) {
        let now = self.now;
        let forwarder = &mut self.forwarders[f];
        if now < forwarder.reported_at + S {
            return;
        }
        forwarder.reported_at = now;
        let observed = forwarder.app.observed(&mut self.draw);
        let Some(c) = forwarder.connection else { return };
        let Some(subscriber) = &mut forwarder.subscriber else { return };
        let mut rows = observed.iter().map(|(name, o)| (name.as_str(), *o));
        if let Some(report) = subscriber.next_report(now, &mut rows) {
            let word = Message::Report(report);
            self.gave(f, c, &word);
            self.send(c, End::Planner, word);
        }
    }

    fn planner_gets(&mut self, c: usize, message: Message) {
        let (now, f, p) = (self.now, self.connections[c].forwarder, self.connections[c].planner);
        if self.planners[p].joined.get(&f) != Some(&c) {
            return;
        }
        if let Message::Subscribe(word, said) = &message {
            self.wanted(c, word, *said);
        }
        let message = self.tamper.heard_by_planner(c, message);
        let Some(publisher) = &mut self.planners[p].publisher else { return };
        let went = match message {
            Message::Subscribe(word, _) => publisher.subscribe(now, &name(f), &word),
            Message::Report(report) => publisher.report(now, &name(f), &report),
            Message::Acknowledge(word) => {
                publisher.acknowledge(now, &name(f), &word);
                Ok(())
            }
            Message::Close => return self.hung_up(c, End::Planner),
            Message::Hello(_) | Message::Update { .. } => Ok(()),
        };
        if let Err(error) = went {
            self.breaks(format!("{} is refused by planner {p}: {error}", name(f)));
        }
        self.pump(p);
        self.speak(c);
        self.ask_in_force(p);
    }

    /// Has a planner say what there is to say to those for whom there is news.
    pub(super) fn pump(&mut self, p: usize) {
        let Some(publisher) = &mut self.planners[p].publisher else { return };
        for stirred in publisher.take_ready_forwarders() {
            let f = (0..self.forwarders.len()).find(|f| name(*f) == stirred);
            if let Some(c) = f.and_then(|f| self.planners[p].joined.get(&f)).copied() {
                self.speak(c);
            }
        }
    }

    fn speak(&mut self, c: usize) {
        let (now, f, p) = (self.now, self.connections[c].forwarder, self.connections[c].planner);
        if !self.connections[c].open[1] || self.planners[p].joined.get(&f) != Some(&c) {
            return;
        }
        for round in 0.. {
            let Some(publisher) = &mut self.planners[p].publisher else { return };
            let update = match publisher.next_update(now, &name(f)) {
                Ok(None) => break,
                Ok(Some(update)) => update,
                Err(_) => {
                    // It is unresponsive.
                    publisher.forwarder_disconnected(now, &name(f));
                    self.figures.unresponsive += 1;
                    self.freeze(c);
                    self.close(c, End::Planner);
                    return;
                }
            };
            if round > ENDLESS {
                return self.breaks(format!("planner {p} speaks to {} without end", name(f)));
            }
            for update in self.tamper.said_by_planner(now, c, update, &self.forwarders[f].app) {
                self.push(c, update);
            }
        }
        for update in self.tamper.later(now, c) {
            self.push(c, update);
        }
        let Some(publisher) = &self.planners[p].publisher else { return };
        let wake = publisher.next_wakeup(now, &name(f)).max(now + MS);
        if wake < now + 60 * S && self.connections[c].wake.is_none_or(|at| wake < at) {
            self.connections[c].wake = Some(wake);
            self.at(wake, Event::Wake(c));
        }
    }

    fn push(&mut self, c: usize, update: wire::Update) {
        let heard = self.planners[self.connections[c].planner].feed.heard;
        let bytes = update.encoded_len() + publisher::FRAMING_BYTES;
        self.figures.updates += 1;
        self.figures.bytes += bytes as u64;
        let (now, closed) = (self.now, super::app::closings(&update));
        self.connections[c].said.push_back((now, bytes, closed));
        self.send(c, End::Forwarder, Message::Update { update, heard, bytes, sent: now });
    }
}
