//! Who sends requests at a forwarder: the servers as its subscriber tells of them, and the requests.

use super::source::tag;
use super::world::{name, Event, World};
use crate::draw::Draw;
use crate::{Nanos, MS, S};
use laurelroute_plan::member::Member;
use laurelroute_plan::services::list_version::ListVersion;
use laurelroute_plan::services::subscriber::{Change, ServiceStatus};
use laurelroute_plan::wire::{Chunk, ServiceChanges, Subscribe, Update};
use laurelroute_policy::interface::{Phase, Server, ServerObservation, ATTEMPT_OUTCOMES};
use prost::Message as _;
use std::collections::{BTreeMap, BTreeSet};

/// Between two requests of a forwarder, in the mean.
const REQUESTS: Nanos = 40 * MS;

/// Word that came of a server in a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Word {
    pub(super) at: Nanos,
    pub(super) epoch: u32,
    pub(super) version: u64,
    /// When that server had started; not known where it has only left.
    pub(super) started: Option<Nanos>,
}

/// What one forwarder's requests go by.
#[derive(Debug)]
pub(super) struct App {
    pub(super) draw: Draw,
    /// Servers by service and name, those that are gone left out.
    pub(super) held: BTreeMap<String, BTreeMap<String, Member>>,
    pub(super) unknown: BTreeSet<String>,
    /// The last word that a server is closed, which no later word has taken back.
    pub(super) closed: BTreeMap<(String, String), Word>,
    ready: BTreeMap<(String, String), Word>,
    /// Services that requests wait for, and since when.
    pub(super) waiting: BTreeMap<String, Nanos>,
    /// Requests under way.
    pub(super) open: BTreeMap<String, u32>,
    pub(super) last_used: BTreeMap<String, Nanos>,
    pub(super) dropped: BTreeMap<String, Nanos>,
    /// Which slice of each service it has, by what planners told.
    pub(super) slices: BTreeMap<String, (u32, u32)>,
    /// Places of services, the most popular first.
    pub(super) popular: Vec<usize>,
    pub(super) strangers: u64,
}

/// What an update says of services.
pub(super) fn services(update: &Update) -> Vec<ServiceChanges> {
    update.unpacked().unwrap_or_default()
}

/// Bytes with which an update tells of drains and leavings, wholes left out.
pub(super) fn closings(update: &Update) -> usize {
    let services = services(update);
    let changes = services.iter().filter(|c| c.base > 0 || c.chunk() == Chunk::OutOfBand);
    let of = |changes: &ServiceChanges| {
        let closed = changes.rows.iter().filter(|r| r.attributes.as_ref().is_some_and(|f| f.phase != 0));
        let left = changes.removed.iter().map(|name| name.len() + 2);
        closed.map(|r| r.encoded_len() + 2).chain(left).sum::<usize>()
    };
    changes.map(of).sum()
}

impl App {
    pub(super) fn new(seed: u64, forwarder: usize, life: u64, services: usize) -> App {
        let mut draw = Draw::new(seed ^ life.rotate_left(17), 34 + forwarder as u64);
        let popular = chosen(&mut draw, services);
        App {
            draw,
            held: BTreeMap::new(),
            unknown: BTreeSet::new(),
            closed: BTreeMap::new(),
            ready: BTreeMap::new(),
            waiting: BTreeMap::new(),
            open: BTreeMap::new(),
            last_used: BTreeMap::new(),
            dropped: BTreeMap::new(),
            slices: BTreeMap::new(),
            popular,
            strangers: 0,
        }
    }

    /// Its requests name other services from now on.
    pub(super) fn turn(&mut self, services: usize) {
        self.popular = chosen(&mut self.draw, services);
    }

    /// What was met of some of the servers.
    pub(super) fn observed(&self, draw: &mut Draw) -> Vec<(String, ServerObservation)> {
        let servers = self.held.values().flat_map(|s| s.values());
        let skip = draw.below(8);
        let one = |m: &Member, draw: &mut Draw| {
            let of = |part: f64, draw: &mut Draw| if draw.chance(0.2) { part } else { 0.0 };
            ServerObservation {
                server: Server::default().endpoint,
                score: draw.between(1, 200) as f64,
                in_flight: draw.below(5) as u32,
                relative_latency: 1.0 + of(4.0, draw),
                failure_rate: of(0.8, draw),
                ejected: draw.chance(0.1),
                outcomes: [m.server.size as u32 % 7; ATTEMPT_OUTCOMES],
            }
        };
        servers.skip(skip).step_by(8).take(60).map(|m| (m.name.clone(), one(m, draw))).collect()
    }

    pub(super) fn held_tag(&self, service: &str, server: &str) -> Option<Option<u32>> {
        self.held.get(service).map(|s| s.get(server).map(tag))
    }
}

fn chosen(draw: &mut Draw, services: usize) -> Vec<usize> {
    let mut places: Vec<usize> = (0..services).collect();
    // Mostly the large ones first, as these have most requests.
    for _ in 0..services {
        let (a, b) = (draw.below(services), draw.below(services));
        places.swap(a, b);
    }
    places.truncate(draw.between(3, services as u64 + 1) as usize);
    if draw.chance(0.7) && !places.contains(&0) {
        places.insert(0, 0);
    }
    places
}

impl World {
    /// An update has arrived: what it tells of servers, whether or not the machine takes it in.
    pub(super) fn told(&mut self, f: usize, update: &Update, heard: usize) {
        let now = self.now;
        let epoch = heard.checked_sub(1).map_or(0, |k| self.source.log[k].epoch);
        // A planner that heard of a drain by the source's former versions takes that back after a while.
        let back = self.restarted_at.is_some();
        let forwarder = &mut self.forwarders[f];
        let Some(subscriber) = &forwarder.subscriber else { return };
        let app = &mut forwarder.app;
        for changes in &services(update) {
            // A list that is earlier than the one held, by its number: its planner may be late, so that it counts only where it
            // insists (see `STALE_LIST_TIMEOUT` in the machines).
            let Some(held) = subscriber.list_version_of(&changes.service) else { continue };
            let late = ListVersion { epoch: update.epoch, number: update.source } < held;
            let of = |server: &str| (changes.service.clone(), server.to_owned());
            let word = |started| Word { at: now, epoch, version: update.source, started };
            for row in &changes.rows {
                let Some(facts) = &row.attributes else { continue };
                let started = facts.started_ms * MS;
                if facts.phase == 0 {
                    let key = of(&row.name);
                    let later = |c: &Word| {
                        c.version < update.source
                            || back && c.version == update.source
                            || c.epoch != epoch
                            || c.started.is_some_and(|s| s < started)
                    };
                    if app.closed.get(&key).is_some_and(later) {
                        app.closed.remove(&key);
                    }
                    app.ready.insert(key, word(Some(started)));
                } else if !late {
                    close(app, of(&row.name), word(Some(started)));
                }
            }
            for server in changes.removed.iter().filter(|_| !late) {
                close(app, of(server), word(None));
            }
            let piece = changes.chunk();
            if piece != Chunk::Unknown {
                let slice = (changes.slice, changes.slices);
                app.slices.insert(changes.service.clone(), slice);
            }
        }
    }

    /// The subscriber's machine tells of a change.
    pub(super) fn changed(&mut self, f: usize, change: Change) {
        let now = self.now;
        let app = &mut self.forwarders[f].app;
        match change {
            Change::Members { service, members, .. } => {
                app.unknown.remove(&service);
                app.waiting.remove(&service);
                let held = app.held.entry(service).or_default();
                for member in members {
                    match member.server.phase {
                        Phase::Removed => held.remove(&member.name),
                        _ => held.insert(member.name.clone(), member),
                    };
                }
            }
            Change::Hints { .. } => self.figures.hints += 1,
            Change::Unknown(service) => {
                app.held.remove(&service);
                app.waiting.remove(&service);
                app.unknown.insert(service);
            }
            Change::Dropped(service) => {
                app.held.remove(&service);
                app.waiting.remove(&service);
                app.unknown.remove(&service);
                app.closed.retain(|(s, _), _| *s != service);
                app.dropped.insert(service.clone(), now);
                self.figures.dropped += 1;
                self.look_at_dropped(f, &service);
            }
        }
    }

    /// One more request of a forwarder, and the next one.
    pub(super) fn request(&mut self, f: usize) {
        let (now, life) = (self.now, self.forwarders[f].life);
        if self.paused(f) {
            let until = self.forwarders[f].paused_until;
            return self.at(until + MS, Event::Request(f, life));
        }
        let strangers = if self.healed { 0.0 } else { self.schedule.strangers };
        let app = &mut self.forwarders[f].app;
        let next = app.draw.exponential(REQUESTS as f64) as Nanos + MS;
        let service = if app.draw.chance(strangers) {
            app.strangers += 1;
            format!("stranger-{}", app.strangers)
        } else {
            // Popularity by a power law.
            let at = ((app.popular.len() + 1) as f64).powf(app.draw.unit()) as usize - 1;
            self.source.services[app.popular[at.min(app.popular.len() - 1)]].clone()
        };
        self.ask(f, &service);
        self.say(f);
        self.at(now + next, Event::Request(f, life));
    }

    /// A request names a service.
    pub(super) fn ask(&mut self, f: usize, service: &str) {
        let (now, life) = (self.now, self.forwarders[f].life);
        let Some(subscriber) = &mut self.forwarders[f].subscriber else { return };
        let standing = subscriber.lookup(now, service);
        self.figures.requests += 1;
        self.heed(f);
        let app = &mut self.forwarders[f].app;
        app.last_used.insert(service.to_owned(), now);
        let lasts = match standing {
            ServiceStatus::Available => {
                app.waiting.remove(service);
                let known = app.held.contains_key(service);
                let long = if app.draw.chance(0.05) { 6_000 } else { 400 };
                let lasts = app.draw.between(1, long) * MS;
                if !known {
                    self.breaks(format!("{}: `{service}` is held, and nothing was told of it", name(f)));
                }
                lasts
            }
            ServiceStatus::Pending => {
                app.waiting.entry(service.to_owned()).or_insert(now);
                app.draw.between(200, 2_000) * MS
            }
            ServiceStatus::Unknown => {
                app.waiting.remove(service);
                self.figures.unknown += 1;
                return;
            }
            ServiceStatus::AtCapacity => {
                self.figures.no_room += 1;
                return self.look_at_no_room(f, service);
            }
        };
        *self.forwarders[f].app.open.entry(service.to_owned()).or_insert(0) += 1;
        if let Some(subscriber) = &mut self.forwarders[f].subscriber {
            subscriber.request_started(service);
        }
        self.at(now + lasts, Event::Ended(f, life, service.to_owned()));
    }

    pub(super) fn ended(&mut self, f: usize, service: &str) {
        let now = self.now;
        let app = &mut self.forwarders[f].app;
        if let Some(open) = app.open.get_mut(service) {
            *open -= 1;
            if *open == 0 {
                app.open.remove(service);
            }
        }
        if let Some(subscriber) = &mut self.forwarders[f].subscriber {
            subscriber.request_finished(now, service);
        }
        self.heed(f);
    }

    /// What a forwarder wants, by a word that has arrived at a planner.
    pub(super) fn wanted(&mut self, c: usize, word: &Subscribe, said: Nanos) {
        let connection = &mut self.connections[c];
        connection.leaving |= word.leaving;
        if word.leaving {
            connection.stale.clear();
        }
        for interest in &word.interests {
            connection.stale.remove(&interest.service);
            if interest.unwanted {
                connection.interests.remove(&interest.service);
            } else {
                connection.interests.insert(interest.service.clone(), said);
            }
        }
    }

    pub(super) fn flood(&mut self, f: usize, many: usize) {
        if self.paused(f) || self.forwarders[f].subscriber.is_none() {
            return;
        }
        for k in 0..many {
            let service = format!("flood-{f}-{}-{k}{}", self.now / S, "y".repeat(k % 60));
            self.ask(f, &service);
        }
        self.say(f);
    }
}

fn close(app: &mut App, key: (String, String), word: Word) {
    // A later word said that it is ready: this one is late.
    let late = |ready: &Word| {
        ready.epoch == word.epoch && ready.version > word.version
            || word.started.is_some_and(|s| ready.started.is_some_and(|r| r > s))
    };
    if app.ready.get(&key).is_some_and(late) {
        return;
    }
    let at = app.closed.get(&key).map_or(word.at, |was| was.at);
    app.closed.insert(key, Word { at, ..word });
}
