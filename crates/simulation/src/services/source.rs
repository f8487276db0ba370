//! The list of servers: services whose sizes follow a power law, and how they change. What has been so at which time is
//! kept, so that what copies hold is held against it and not against what they say of themselves.

use crate::draw::Draw;
use crate::{Nanos, MS};
use laurelroute_plan::member::Member;
use laurelroute_plan::services::publisher::ListedServer;
use laurelroute_policy::interface::Phase;
use std::collections::{BTreeMap, BTreeSet};

/// Services at most.
const SERVICES: (u64, u64) = (10, 60);
/// Servers of the largest service.
const LARGEST: (u64, u64) = (60, 400);

/// A change of the list, as planners are told it.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    pub(super) at: Nanos,
    pub(super) epoch: u32,
    pub(super) version: u64,
    /// The source has just started: what it says is a whole.
    pub(super) whole: bool,
    /// Servers as they are from now on, those that left as gone. One may be named twice: the last counts.
    pub(super) entries: Vec<ListedServer>,
}

/// A server at some time: nothing while it is not listed.
#[derive(Clone, Debug)]
pub(super) struct Was {
    /// The batch that made it so.
    pub(super) batch: usize,
    pub(super) listed: Option<ListedServer>,
}

/// The list's source.
#[derive(Debug)]
pub(super) struct Source {
    draw: Draw,
    pub(super) epoch: u32,
    pub(super) version: u64,
    pub(super) servers: BTreeMap<String, ListedServer>,
    /// Those that have left, for their return.
    left: Vec<ListedServer>,
    /// Names of all services that there may be; requests are by their places.
    pub(super) services: Vec<String>,
    pub(super) log: Vec<Batch>,
    pub(super) history: BTreeMap<String, Vec<Was>>,
    serial: u32,
    joined: u32,
    /// Services of whom there are servers, and since when.
    pub(super) alive: BTreeMap<String, Nanos>,
}

/// What marks a server's state: no two have the same one.
pub(super) fn tag(member: &Member) -> u32 {
    member.server.size as u32
}

/// A listed server's services; who says none serves the one without a name.
pub(super) fn services_of(listed: &ListedServer) -> Vec<&str> {
    match listed.services.is_empty() {
        true => vec![""],
        false => listed.services.iter().map(String::as_str).collect(),
    }
}

/// Services and the server that an entry names.
pub(super) fn named(listed: &ListedServer) -> Vec<(String, String)> {
    services_of(listed).into_iter().map(|s| (s.to_owned(), listed.member.name.clone())).collect()
}

/// Services and servers in which two lists differ.
pub(super) fn differing(
    before: &BTreeMap<String, ListedServer>,
    after: &BTreeMap<String, ListedServer>,
) -> BTreeSet<(String, String)> {
    let names = before.keys().chain(after.keys()).filter(|name| before.get(*name) != after.get(*name));
    names.flat_map(|name| before.get(name).into_iter().chain(after.get(name))).flat_map(named).collect()
}

fn long(name: &str) -> String {
    format!("{name}{}", "x".repeat(256 - name.len()))
}

impl Source {
    pub(super) fn new(seed: u64) -> Source {
        let mut draw = Draw::new(seed, 31);
        let count = draw.between(SERVICES.0, SERVICES.1) as usize;
        let largest = draw.between(LARGEST.0, LARGEST.1) as f64;
        let name = |k: usize, draw: &mut Draw| match draw.below(40) {
            0 => long(&format!("service-{k}-")),
            _ => format!("service-{k}"),
        };
        let mut services: Vec<String> = (0..count).map(|k| name(k, &mut draw)).collect();
        if draw.chance(0.2) {
            services[count - 1] = String::new();
        }
        let mut source = Source {
            draw,
            epoch: 0,
            version: seed % 7 * 1_000 + 1,
            servers: BTreeMap::new(),
            left: Vec::new(),
            services,
            log: Vec::new(),
            history: BTreeMap::new(),
            serial: 0,
            joined: 0,
            alive: BTreeMap::new(),
        };
        let mut entries = Vec::new();
        for k in 0..count {
            let size = (largest / ((k + 1) as f64).powf(1.3)).max(1.0) as usize;
            (0..size).for_each(|_| entries.push(source.fresh(k)));
        }
        source.commit(0, entries, true);
        source
    }

    /// A server that has never been there.
    fn fresh(&mut self, service: usize) -> ListedServer {
        self.joined += 1;
        let name = match self.draw.below(300) {
            0 => long(&format!("server-{}-", self.joined)),
            _ => format!("server-{}", self.joined),
        };
        let mut member = Member::warm(&name);
        let address = format!("10.0.{}.{}:80", self.joined / 250 % 250, self.joined % 250 + 1);
        member.addresses = vec![address.parse().ok()];
        member.server.zone = (self.joined % 3) as u8;
        let mut services: Vec<String> = self.services.get(service).cloned().into_iter().collect();
        if self.draw.chance(0.02) {
            let second = self.draw.below(self.services.len());
            services.push(self.services[second].clone());
            services.dedup();
        }
        // The service without a name is said by naming none.
        if services.iter().any(String::is_empty) {
            services.clear();
        }
        self.stamp(ListedServer { services, member })
    }

    /// Marks a state as a new one.
    fn stamp(&mut self, mut listed: ListedServer) -> ListedServer {
        self.serial += 1;
        listed.member.server.size = self.serial as f32;
        listed
    }

    fn in_phase(&mut self, listed: &ListedServer, phase: Phase) -> ListedServer {
        let listed =
            ListedServer { services: listed.services.clone(), member: listed.member.clone().in_phase(phase) };
        self.stamp(listed)
    }

    /// A listed server's place in the whole list is drawn alike, so that large services change most.
    fn any(&mut self, phase: Option<Phase>) -> Option<ListedServer> {
        for _ in 0..8 {
            let k = self.draw.below(self.servers.len().max(1));
            let listed = self.servers.values().nth(k)?;
            if phase.is_none_or(|p| p == listed.member.server.phase) {
                return Some(listed.clone());
            }
        }
        None
    }

    /// One more change of the list.
    pub(super) fn change(&mut self, now: Nanos) {
        let mut entries = Vec::new();
        for _ in 0..self.draw.between(1, 4) {
            self.one(now, &mut entries);
        }
        self.commit(now, entries, false);
    }

    fn one(&mut self, now: Nanos, entries: &mut Vec<ListedServer>) {
        let kind = self.draw.below(24);
        match kind {
            0..=3 => {
                let service = self.draw.below(self.services.len());
                entries.push(self.fresh(service));
            }
            4..=8 => {
                let Some(listed) = self.any(Some(Phase::Ready)) else { return };
                entries.push(self.in_phase(&listed, Phase::Draining));
            }
            9..=10 => {
                let Some(listed) = self.any(Some(Phase::Draining)) else { return };
                entries.push(self.in_phase(&listed, Phase::Removed));
            }
            11 => {
                let Some(listed) = self.any(None) else { return };
                entries.push(self.in_phase(&listed, Phase::Removed));
            }
            // Put back as it was.
            12 => {
                let Some(listed) = self.any(Some(Phase::Draining)) else { return };
                entries.push(self.in_phase(&listed, Phase::Ready));
            }
            // Back under its name, with a later start.
            13..=15 if !self.left.is_empty() => {
                let k = self.draw.below(self.left.len());
                let back = self.left.swap_remove(k);
                let back = ListedServer {
                    member: back.member.in_phase(Phase::Ready).started(now / MS * MS),
                    ..back
                };
                entries.push(self.stamp(back));
            }
            16 => {
                let Some(listed) = self.any(Some(Phase::Ready)) else { return };
                let again = ListedServer { member: listed.member.clone().started(now / MS * MS), ..listed };
                entries.push(self.stamp(again));
            }
            // A change and its opposite.
            17..=18 => {
                let Some(listed) = self.any(Some(Phase::Ready)) else { return };
                entries.push(self.in_phase(&listed, Phase::Draining));
                entries.push(listed);
            }
            // A rack.
            19 if self.draw.chance(0.4) => {
                let phase = [Phase::Draining, Phase::Removed][self.draw.below(2)];
                let (from, many) =
                    (self.draw.below(self.servers.len().max(1)), self.draw.between(5, 50) as usize);
                let rack: Vec<ListedServer> = self.servers.values().skip(from).take(many).cloned().collect();
                rack.iter().for_each(|listed| entries.push(self.in_phase(listed, phase)));
            }
            // A service ends, or comes again.
            20 => {
                let k = self.draw.below(self.services.len());
                let service = self.services[k].clone();
                let serves = |l: &&ListedServer| services_of(l).contains(&service.as_str());
                let of: Vec<ListedServer> = self.servers.values().filter(serves).cloned().collect();
                match of.len() {
                    0 => (0..self.draw.between(1, 6)).for_each(|_| entries.push(self.fresh(k))),
                    1..=20 => {
                        of.iter().for_each(|listed| entries.push(self.in_phase(listed, Phase::Removed)))
                    }
                    _ => {}
                }
            }
            // To another service, or into a second one.
            21..=22 => {
                let Some(mut listed) = self.any(None) else { return };
                let other = self.services[self.draw.below(self.services.len())].clone();
                if self.draw.chance(0.5) || listed.services.len() > 1 {
                    listed.services.clear();
                }
                if other.is_empty() {
                    listed.services.clear();
                } else if !listed.services.contains(&other) {
                    listed.services.push(other);
                }
                entries.push(self.stamp(listed));
            }
            _ => {
                let Some(listed) = self.any(None) else { return };
                entries.push(self.stamp(listed));
            }
        }
    }

    /// The source starts anew: its versions go back, and at times what it knows.
    pub(super) fn restart(&mut self, now: Nanos) {
        self.epoch += 1;
        self.version = self.draw.between(0, 3);
        let mut entries = Vec::new();
        if self.draw.chance(0.5) {
            let back = self.draw.between(1, 10) as usize;
            let then = self.log.len().saturating_sub(back).max(1) - 1;
            for (name, was) in &self.history {
                let is = self.servers.get(name);
                let state = was.iter().rev().find(|w| w.batch <= then).and_then(|w| w.listed.as_ref());
                match (state, is) {
                    (Some(state), is) if is != Some(state) => entries.push(state.clone()),
                    (None, Some(is)) => {
                        let gone = is.member.clone().in_phase(Phase::Removed);
                        entries.push(ListedServer { services: is.services.clone(), member: gone });
                    }
                    _ => {}
                }
            }
        }
        self.commit(now, entries, true);
    }

    fn commit(&mut self, now: Nanos, entries: Vec<ListedServer>, whole: bool) {
        self.version += 1;
        let batch = self.log.len();
        for listed in &entries {
            let name = &listed.member.name;
            let gone = listed.member.server.phase == Phase::Removed;
            if gone {
                if self.servers.remove(name).is_some() {
                    self.left.push(listed.clone());
                }
            } else {
                self.left.retain(|l| l.member.name != *name);
                self.servers.insert(name.clone(), listed.clone());
            }
            let was = self.history.entry(name.clone()).or_default();
            if was.last().is_some_and(|w| w.batch == batch) {
                was.pop();
            }
            was.push(Was { batch, listed: (!gone).then(|| listed.clone()) });
        }
        let named: BTreeSet<&str> = self.servers.values().flat_map(services_of).collect();
        self.alive.retain(|s, _| named.contains(s.as_str()));
        for s in named {
            if !self.alive.contains_key(s) {
                self.alive.insert(s.to_owned(), now);
            }
        }
        let (epoch, version) = (self.epoch, self.version);
        self.log.push(Batch { at: now, epoch, version, whole, entries });
    }

    /// Whether a server as somebody holds it in a service is what it was after this batch or later.
    pub(super) fn since(&self, server: &str, service: &str, batch: usize, held: Option<u32>) -> bool {
        let Some(history) = self.history.get(server) else { return held.is_none() };
        let from = history.partition_point(|w| w.batch < batch);
        // What it was at the batch may have been made by an earlier one.
        let from = match history.get(from) {
            Some(w) if w.batch == batch => from,
            _ => from.saturating_sub(1),
        };
        history[from..].iter().any(|was| {
            let there = was.listed.as_ref().filter(|l| services_of(l).contains(&service));
            there.map(|l| tag(&l.member)) == held
        })
    }
}

/// How one planner hears of the list.
#[derive(Debug, Default)]
pub(super) struct Feed {
    /// Batches heard.
    pub(super) heard: usize,
    /// What is known from them.
    pub(super) state: BTreeMap<String, ListedServer>,
    /// The next word is a whole.
    pub(super) whole: bool,
    pub(super) frozen: bool,
    pub(super) delay: Nanos,
    /// When its watch was last sent a heartbeat.
    pub(super) heartbeat_at: Nanos,
}

impl Feed {
    /// Takes in a batch; services and servers that it changed, by name.
    pub(super) fn apply(&mut self, batch: &Batch) -> BTreeSet<(String, String)> {
        let mut touched = BTreeSet::new();
        let mut before: BTreeMap<&str, Option<ListedServer>> = BTreeMap::new();
        for listed in &batch.entries {
            let name = &listed.member.name;
            let old = match listed.member.server.phase {
                Phase::Removed => self.state.remove(name),
                _ => self.state.insert(name.clone(), listed.clone()),
            };
            before.entry(name.as_str()).or_insert(old);
        }
        for (name, old) in before {
            let new = self.state.get(name);
            if old.as_ref() == new {
                continue;
            }
            let services = old.iter().chain(new).flat_map(services_of);
            services.for_each(|s| {
                touched.insert((s.to_owned(), name.to_owned()));
            });
        }
        touched
    }
}
