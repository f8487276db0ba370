//! Services by subscription: what a planner holds of all of them, what a forwarder holds of those that it uses, what a
//! change costs both, and the bytes of a start, of a whole and of catching up. Messages are handed over in process, in
//! simulated time: their bytes are counted with their framing and held back as on a connection.

use super::{count, Measured, ALLOCATOR, CPU, LENGTH, SIMULATED};
use crate::report::Failure;
use laurelroute_plan::member::Member;
use laurelroute_plan::services::publisher::{self, ListedServer, Publisher, FRAMING_BYTES};
use laurelroute_plan::services::subscriber::{self, ServiceStatus, Subscriber};
use laurelroute_policy::interface::{Nanos, Phase};
use prost::Message;
use std::net::{Ipv4Addr, SocketAddr};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
/// Servers of a service, in the mean.
const EACH: usize = 27;
/// Services that a forwarder uses.
const IN_USE: usize = 300;
/// Changes of servers a second on an ordinary day.
const CHANGES_A_SECOND: f64 = laurelroute_rig::slopes::reckoning::CHANGES_A_SECOND;
/// No exchange takes longer, in simulated time.
const PATIENCE: Nanos = 3_600 * S;

const HELD: [usize; 4] = [20_000, 60_000, 120_000, 180_000];
const SUBSCRIBED: [usize; 4] = [10, 20, 40, 80];
const USED: [usize; 5] = [50, 100, 300, 1_000, 3_000];
const OF_ONE: [usize; 4] = [27, 200, 1_000, 4_000];
const AWAY: [usize; 4] = [10, 60, 300, 1_800];

/// A service's name.
fn service(k: usize) -> String {
    format!("service-{k:04}")
}

/// A server of the number; its name and address follow no order, as those of real ones do not: what is in order packs too well.
fn listed(k: usize, services: usize, phase: Phase) -> ListedServer {
    let (service, drawn) = (service(k % services), laurelroute_core::stable_hash(&k.to_be_bytes()));
    let address = Ipv4Addr::from(0x0a00_0000 | (drawn as u32 & 0x00ff_ffff));
    let member = Member {
        addresses: vec![Some(SocketAddr::from((address, 8080)))],
        ..Member::warm(&format!("{service}-{:08x}", drawn >> 32))
    };
    ListedServer { services: vec![service], member: member.in_phase(phase) }
}

/// A planner with so many servers in services of 27.
struct Planner {
    publisher: Publisher,
    services: usize,
    version: u64,
    now: Nanos,
}

impl Planner {
    fn new(servers: usize, services: usize) -> Planner {
        let settings = publisher::Settings {
            site: "capacity".into(),
            incarnation: 1,
            planners: 3,
            max_forwarders: 2_100,
            bytes_per_second: 7_000.0,
            burst: 36_000.0,
            drain_bytes_per_second: 1_500.0,
            drain_burst: 4_000.0,
        };
        let mut publisher = Publisher::new(S, settings);
        let all = (0..servers).map(|k| listed(k, services, Phase::Ready)).collect();
        publisher.apply_list(S, 1, true, all);
        Planner { publisher, services, version: 1, now: S }
    }

    fn change(&mut self, server: usize, phase: Phase) {
        self.version += 1;
        self.publisher.apply_list(self.now, self.version, false, vec![listed(server, self.services, phase)]);
    }
}

/// A forwarder.
struct Forwarder {
    subscriber: Subscriber,
    name: String,
    /// Bytes of updates, framing included.
    bytes: usize,
}

impl Forwarder {
    fn new(k: usize) -> Forwarder {
        let name = format!("forwarder-{k:04}");
        let settings = subscriber::Settings {
            name: name.clone(),
            site: "capacity".into(),
            planners: vec!["p0".into()],
            max_services: 10_000,
            max_bytes: 256 << 20,
            unused_timeout: PATIENCE * 2,
            unknown_ttl: 30 * S,
            bytes_per_second: 1_500.0,
            burst: 8_000.0,
            receive_bytes_per_second: 7_000.0,
            receive_burst: 36_000.0,
            seed: k as u64 + 1,
        };
        Forwarder { subscriber: Subscriber::new(S, settings), name, bytes: 0 }
    }

    fn connect(&mut self, planner: &mut Planner) -> Result<(), Failure> {
        planner.publisher.forwarder_connected(planner.now, &self.name, 0)?;
        self.subscriber.connected(planner.now, 0, 1);
        Ok(())
    }

    /// All that there is to say now, both ways; whether there was anything.
    fn talk(&mut self, planner: &mut Planner) -> Result<bool, Failure> {
        let (now, mut any) = (planner.now, false);
        while let Some(word) = self.subscriber.next_subscribe(now) {
            planner.publisher.subscribe(now, &self.name, &word)?;
            any = true;
        }
        while let Some(update) = planner.publisher.next_update(now, &self.name)? {
            self.bytes += update.encoded_len() + FRAMING_BYTES;
            any |= update.number > 0;
            if let Some(answer) = self.subscriber.receive(now, 0, &update) {
                planner.publisher.acknowledge(now, &self.name, &answer);
            }
        }
        self.subscriber.changes();
        Ok(any)
    }

    /// Lets time go on until this holds; how long that was.
    fn until(
        &mut self,
        planner: &mut Planner,
        mut holds: impl FnMut(&mut Subscriber, &Planner) -> bool,
    ) -> Result<Nanos, Failure> {
        let begun = planner.now;
        loop {
            while self.talk(planner)? {}
            if holds(&mut self.subscriber, planner) {
                return Ok(planner.now - begun);
            }
            if planner.now - begun > PATIENCE {
                return Err(Failure(format!("`{}` does not come to hold what it wants", self.name)));
            }
            planner.now += 100 * MS;
            planner.publisher.poll(planner.now);
            self.subscriber.poll(planner.now);
        }
    }

    /// Comes to hold these services; how long that takes.
    fn hold(&mut self, planner: &mut Planner, wanted: &[usize]) -> Result<Nanos, Failure> {
        let names: Vec<String> = wanted.iter().map(|k| service(*k)).collect();
        self.until(planner, |subscriber, planner| {
            // As requests name them again and again.
            names
                .iter()
                .filter(|name| subscriber.lookup(planner.now, name) != ServiceStatus::Available)
                .count()
                == 0
        })
    }
}

/// The services that a forwarder uses: some for each, spread over all.
fn used(forwarder: usize, count: usize, services: usize) -> Vec<usize> {
    // A step that has no divisor in common with their number meets each once.
    let step = (7..).find(|step| gcd(*step, services) == 1).unwrap_or(1);
    (0..count.min(services)).map(|k| (forwarder * 97 + k * step) % services).collect()
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        gcd(b, a % b)
    }
}

/// Against servers in all services: what is held, what the list and one change of it cost.
fn by_servers() -> Result<Vec<Measured>, Failure> {
    let grows = "servers in services of 27";
    let mut held = Measured::line("planner.services.held", grows, "bytes", ALLOCATOR);
    let mut list_cpu = Measured::line("planner.services.list_cpu", grows, "ns", CPU);
    let mut allocations =
        Measured::line("planner.service_change.allocations", grows, "allocations", ALLOCATOR);
    let mut steps = Measured::line("planner.service_change.steps", grows, "steps", "the planner's own count");
    let mut cpu = Measured::line("planner.service_change.cpu", grows, "ns", CPU);
    for servers in HELD {
        println!("  {servers} {grows} ...");
        let services = servers / EACH;
        let mut kept = None;
        let list = count::counted(1, || kept = Some(Planner::new(servers, services)))?;
        let mut planner = kept.ok_or_else(|| Failure("no planner".into()))?;
        held.add(servers, list.held);
        list_cpu.add(servers, list.cpu);
        let mut forwarders: Vec<Forwarder> = (0..20).map(Forwarder::new).collect();
        for forwarder in &mut forwarders {
            forwarder.connect(&mut planner)?;
            forwarder.hold(&mut planner, &[0])?;
        }
        planner.now += 60 * S;
        for forwarder in &mut forwarders {
            while forwarder.talk(&mut planner)? {}
        }
        let before = planner.publisher.stats().steps;
        let (mut next, mut failed) = (0, None);
        // Servers of the service that all twenty use drain, one after another.
        let change = count::counted(8, || {
            planner.change(next * services, Phase::Draining);
            next += 1;
            for forwarder in &mut forwarders {
                failed = failed.take().or(forwarder.talk(&mut planner).err());
            }
        })?;
        if let Some(failure) = failed {
            return Err(failure);
        }
        allocations.add(servers, change.allocations);
        steps.add(servers, (planner.publisher.stats().steps - before) as f64 / 8.0);
        cpu.add(servers, change.cpu);
    }
    Ok(vec![held, list_cpu, allocations, steps, cpu])
}

/// Against forwarders, each with 300 services of 6,666: what a planner holds of their subscriptions.
fn by_subscriptions() -> Result<Vec<Measured>, Failure> {
    let grows = "subscriptions of all its forwarders";
    let mut held = Measured::line("planner.subscriptions.held", grows, "bytes", ALLOCATOR);
    let servers = HELD[HELD.len() - 1];
    let services = servers / EACH;
    for forwarders in SUBSCRIBED {
        println!("  {forwarders} forwarders with {IN_USE} services each ...");
        let (mut kept, mut failed) = (None, None);
        let counted = count::counted(1, || {
            let mut planner = Planner::new(servers, services);
            for k in 0..forwarders {
                let mut forwarder = Forwarder::new(k);
                let done = forwarder
                    .connect(&mut planner)
                    .and_then(|()| forwarder.hold(&mut planner, &used(k, IN_USE, services)));
                failed = failed.take().or(done.err());
            }
            kept = Some(planner);
        })?;
        match failed {
            Some(failure) => return Err(failure),
            None => held.add(forwarders * IN_USE, counted.held),
        }
    }
    Ok(vec![held])
}

/// Against services in use at one forwarder.
fn by_use() -> Result<Vec<Measured>, Failure> {
    let grows = "services in use, of 27 servers each";
    let mut held = Measured::line("node.services.held", grows, "bytes", ALLOCATOR);
    let mut bytes = Measured::line("node.services.start_bytes", grows, "bytes", LENGTH);
    let mut ready = Measured::line("node.services.start", grows, "ns", SIMULATED);
    let mut allocations = Measured::line("node.service_change.allocations", grows, "allocations", ALLOCATOR);
    let mut one = Measured::line("node.service_change.bytes", grows, "bytes", LENGTH);
    let servers = HELD[HELD.len() - 1];
    let services = servers / EACH;
    let mut planner = Planner::new(servers, services);
    for (k, count) in USED.into_iter().enumerate() {
        println!("  {count} {grows} ...");
        let wanted = used(k, count, services);
        let mut forwarder = Forwarder::new(k);
        forwarder.connect(&mut planner)?;
        let took = forwarder.hold(&mut planner, &wanted)?;
        ready.add(count, took as f64);
        bytes.add(count, forwarder.bytes as f64);
        // What a copy of it holds is what it holds, without what a publisher holds of it.
        let mut kept = None;
        held.add(count, count::counted(1, || kept = Some(forwarder.subscriber.clone()))?.held);
        drop(kept);
        planner.now += 60 * S;
        while forwarder.talk(&mut planner)? {}
        let before = forwarder.bytes;
        let (mut all, mut said) = (0.0, 0);
        for change in 0..8 {
            planner.change(wanted[0] + change * services, Phase::Draining);
            while let Some(update) = planner.publisher.next_update(planner.now, &forwarder.name)? {
                let (mut answer, subscriber) = (None, &mut forwarder.subscriber);
                let counted = count::counted(1, || {
                    answer = subscriber.receive(planner.now, 0, &update);
                    subscriber.changes();
                })?;
                all += counted.allocations;
                said += update.encoded_len() + FRAMING_BYTES;
                if let Some(answer) = answer {
                    planner.publisher.acknowledge(planner.now, &forwarder.name, &answer);
                }
            }
        }
        allocations.add(count, all / 8.0);
        one.add(count, (forwarder.bytes - before + said) as f64 / 8.0);
        planner.publisher.forwarder_disconnected(planner.now, &forwarder.name);
    }
    Ok(vec![held, bytes, ready, allocations, one])
}

/// Bytes of a whole against the servers of its service.
fn by_size() -> Result<Vec<Measured>, Failure> {
    let grows = "servers in one service";
    let mut bytes = Measured::line("planner.whole.bytes", grows, "bytes", LENGTH);
    let mut rows = Measured::line("node.slice.servers", grows, "servers", "the forwarder's own count");
    for count in OF_ONE {
        println!("  {count} servers in one service ...");
        let mut planner = Planner::new(count, 1);
        let mut forwarder = Forwarder::new(0);
        forwarder.connect(&mut planner)?;
        forwarder.hold(&mut planner, &[0])?;
        bytes.add(count, forwarder.bytes as f64);
        rows.add(count, forwarder.subscriber.stats().servers as f64);
    }
    Ok(vec![bytes, rows])
}

/// Bytes of catching up against the length of an absence, at the ordinary day's rate of changes.
fn by_absence() -> Result<Vec<Measured>, Failure> {
    let grows = "seconds away, at the ordinary rate of changes";
    let mut bytes = Measured::line("node.absence.bytes", grows, "bytes", LENGTH);
    let mut took = Measured::line("node.absence.caught_up", grows, "ns", SIMULATED);
    let servers = HELD[HELD.len() - 1];
    let services = servers / EACH;
    for away in AWAY {
        println!("  {away} s away ...");
        let mut planner = Planner::new(servers, services);
        let wanted = used(0, IN_USE, services);
        let mut forwarder = Forwarder::new(0);
        forwarder.connect(&mut planner)?;
        forwarder.hold(&mut planner, &wanted)?;
        forwarder.subscriber.connection_lost(planner.now, 0);
        planner.publisher.forwarder_disconnected(planner.now, &forwarder.name);
        let changes = (away as f64 * CHANGES_A_SECOND) as usize;
        let step = away as Nanos * S / changes.max(1) as Nanos;
        for k in 0..changes {
            planner.now += step;
            // One leaves, and another comes in its place: each is a change.
            let server = (k / 2 * 7_919) % servers;
            match k % 2 {
                0 => planner.change(server, Phase::Removed),
                _ => planner.change(server + servers, Phase::Ready),
            }
            planner.publisher.poll(planner.now);
        }
        forwarder.bytes = 0;
        forwarder.connect(&mut planner)?;
        let name = forwarder.name.clone();
        let lasted = forwarder.until(&mut planner, |subscriber, planner| {
            wanted.iter().all(|k| {
                let service = service(*k);
                let planned = planner.publisher.assigned_members(&name, &service);
                planned.is_some() && planned == subscriber.members_of(&service)
            })
        })?;
        bytes.add(away, forwarder.bytes as f64);
        took.add(away, lasted as f64);
    }
    Ok(vec![bytes, took])
}

/// The slopes.
pub fn measure(_seed: u64) -> Result<Vec<Measured>, Failure> {
    let parts = [by_servers, by_subscriptions, by_use, by_size, by_absence];
    Ok(parts.into_iter().map(|part| part()).collect::<Result<Vec<_>, _>>()?.into_iter().flatten().collect())
}
