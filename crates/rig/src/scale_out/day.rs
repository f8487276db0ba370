//! The day: what is done to the bed, and when it is over.

use super::bed::{Bed, LIVE, PLANNERS};
use super::traffic::{Namer, Traffic};
use crate::report::Failure;
use laurelroute_rig::scale_model::awaited::State;
use laurelroute_rig::scale_model::schedule::{drawn, What};
use laurelroute_testkit::process::{memory_kb, processor, Memory};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A change has to be in force at every reachable node within this.
pub const IN_FORCE: Duration = Duration::from_secs(19);
/// Changes of a stretch are pushed together where they fall within this.
const TOGETHER: f64 = 0.25;
/// A drained box may be sent to for so long after its forwarders know; the rest is for what is on its way on a busy machine.
const GRACE: Duration = Duration::from_millis(250 + 500);
/// How often it is said how far a long wait is.
const TELL: Duration = Duration::from_secs(10);
/// Servers of a small fleet change seldom: a stretch has this many of the day's changes at least.
const LEAST_STEPS: f64 = 12.0;

/// What happens, in order.
pub const EVENTS: [&str; 10] = [
    "ordinary day",
    "ten times",
    "rack down",
    "rack back",
    "zone down",
    "zone back",
    "planner killed",
    "planner back",
    "all planners back",
    "a tenth restarted",
];

/// What a stretch has cost.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Its name.
    pub name: String,
    /// How long it was.
    pub seconds: f64,
    /// Processor time of the busiest planner, as a share of a core.
    pub planner: f64,
    /// The same of the real forwarder without a load.
    pub control: f64,
    /// The same of the busiest real forwarder with one.
    pub loaded: f64,
}

/// What is measured beside what the hollow processes tell.
#[derive(Debug, Default)]
pub struct Seen {
    /// What stretches have cost.
    pub costs: Vec<Cost>,
    /// Most memory of a planner, and of a real forwarder, in kB.
    pub memory_kb: [u64; 2],
    /// From a box's drain to the last request that it got, in milliseconds.
    pub drained_ms: Vec<u64>,
    /// Changes that planners said to be in force: how long after the push, in milliseconds.
    pub explained_ms: Vec<u64>,
    /// Changes by number, and when planners had said that they are in force.
    pub explained: Vec<(Vec<usize>, u64)>,
    /// How long hollow nodes took until all held all of their services, in seconds: at the start, and after a tenth was restarted.
    pub ready_s: [f64; 2],
    /// Wholes of services sent, by the planner's process.
    pub wholes: BTreeMap<u32, u64>,
    /// Requests that only named a service at a real forwarder: served, and turned away or failed.
    pub named: [usize; 2],
    /// What broke.
    pub broken: Vec<String>,
}

/// Drives a bed.
pub struct Day {
    /// What runs.
    pub bed: Bed,
    /// What was seen.
    pub seen: Seen,
    seed: u64,
    /// How long a stretch lasts.
    part: Duration,
    next: usize,
}

struct Meter {
    begun: Instant,
    planners: Vec<(u32, Duration)>,
    real: Vec<Duration>,
}

impl Day {
    /// A day on a bed whose stretches last so long.
    pub fn new(bed: Bed, seed: u64, part: Duration) -> Day {
        Day { bed, seen: Seen::default(), seed, part, next: 0 }
    }

    fn numbered(&mut self, states: impl IntoIterator<Item = (usize, State)>) -> Vec<(usize, usize, State)> {
        let from = self.next;
        let all: Vec<_> =
            states.into_iter().enumerate().map(|(k, (server, state))| (from + k, server, state)).collect();
        self.next += all.len();
        all
    }

    fn now_ms(&self) -> u64 {
        self.bed.time.now() / 1_000_000
    }

    fn meter(&self) -> Meter {
        Meter {
            begun: Instant::now(),
            planners: self.bed.planners.iter().filter_map(|p| p.pid()).map(|p| (p, processor(p))).collect(),
            real: self.bed.real.iter().map(|r| processor(r.program.pid())).collect(),
        }
    }

    /// What was used since then, and the memory that is held now.
    fn metered(&mut self, name: &str, meter: Meter) {
        let seconds = meter.begun.elapsed().as_secs_f64();
        let share = |now: Duration, before: Duration| now.saturating_sub(before).as_secs_f64() / seconds;
        // One that was started meanwhile has used nothing before.
        let before =
            |pid: u32| meter.planners.iter().find(|(p, _)| *p == pid).map_or(Duration::ZERO, |p| p.1);
        let running = self.bed.planners.iter().filter_map(|p| p.pid());
        let planner: Vec<f64> = running.map(|pid| share(processor(pid), before(pid))).collect();
        let mut real: Vec<f64> = self
            .bed
            .real
            .iter()
            .zip(&meter.real)
            .map(|(r, before)| share(processor(r.program.pid()), *before))
            .collect();
        let control = real.pop().unwrap_or(0.0);
        let cost = Cost {
            name: name.to_owned(),
            seconds,
            planner: planner.into_iter().fold(0.0, f64::max),
            control,
            loaded: real.into_iter().fold(0.0, f64::max),
        };
        self.seen.costs.push(cost);
        self.weigh();
    }

    fn weigh(&mut self) {
        let peak = |pid: u32| memory_kb(pid, Memory::Peak).unwrap_or(0);
        let planners = self.bed.planners.iter().filter_map(|p| p.pid()).map(peak).max().unwrap_or(0);
        let real = self.bed.real.iter().map(|r| peak(r.program.pid())).max().unwrap_or(0);
        for planner in &self.bed.planners {
            let told = planner.explain(&[]).unwrap_or_default();
            if let (Some(pid), Some(wholes)) = (planner.pid(), wholes(&told)) {
                self.seen.wholes.insert(pid, wholes);
            }
        }
        let [a, b] = self.seen.memory_kb;
        self.seen.memory_kb = [a.max(planners), b.max(real)];
    }

    /// Waits until all hollow nodes that run hold all that they have named; how long that took.
    fn until_held(&mut self, patience: Duration) -> Result<Duration, Failure> {
        let begun = Instant::now();
        let mut told = Duration::ZERO;
        loop {
            let status = self.bed.all(&serde_json::json!({"do": "status"}))?;
            let sum = |key: &str| status.iter().filter_map(|s| s[key].as_u64()).sum::<u64>();
            let (running, connected, named, held) =
                (sum("running"), sum("connected"), sum("named"), sum("held"));
            if connected == running && held >= named {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > told + TELL {
                told = begun.elapsed();
                println!(
                    "after {:.0} s {connected} of {running} nodes are connected and hold {held} of {named} services; \
                     {} connections were made",
                    told.as_secs_f64(),
                    sum("made")
                );
                for (why, count) in ends(&status) {
                    println!("    {count} ended: {why}");
                }
                if let Some(least) = status.iter().find_map(|s| s["least"].as_str()) {
                    println!("    {least}");
                }
            }
            if begun.elapsed() > patience {
                self.seen.broken.push(format!(
                    "after {} s {connected} of {running} nodes are connected and hold {held} of {named} services",
                    patience.as_secs()
                ));
                return Ok(begun.elapsed());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until every change is in force where it is awaited, or late.
    fn until_in_force(&mut self) -> Result<(), Failure> {
        let end = Instant::now() + IN_FORCE + Duration::from_secs(5);
        while self.bed.sum("lagging", "lagging")? > 0 && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// The ordinary changes of a stretch, at a multiple of their rate. `first` goes at its beginning.
    fn stretch(&mut self, event: usize, times: f64) -> Result<(), Failure> {
        let seconds = self.part.as_secs_f64();
        let least =
            LEAST_STEPS * 86_400.0 * 180_000.0 / (86_000.0 * self.bed.fleet.servers() as f64 * seconds);
        let seed = self.seed ^ ((event as u64) << 40);
        let steps = drawn(seed, self.bed.fleet.servers(), seconds, times.max(least));
        let begun = Instant::now();
        let mut left = &steps[..];
        while let Some(first) = left.first() {
            let due = begun + Duration::from_secs_f64(first.at);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let until = begun.elapsed().as_secs_f64().max(first.at + TOGETHER);
            let count = left.partition_point(|s| s.at <= until);
            let now_ms = self.now_ms();
            let states: Vec<(usize, State)> = left[..count]
                .iter()
                .map(|s| (s.server, s.what.applied(self.bed.state(s.server), now_ms)))
                .collect();
            left = &left[count..];
            let changes = self.numbered(states);
            self.bed.push(event, &changes)?;
        }
        self.until_in_force()
    }

    /// All of these servers at once.
    fn at_once(&mut self, event: usize, servers: &[usize], what: What) -> Result<(), Failure> {
        let now_ms = self.now_ms();
        let states: Vec<(usize, State)> =
            servers.iter().map(|s| (*s, what.applied(self.bed.state(*s), now_ms))).collect();
        let changes = self.numbered(states);
        self.bed.push(event, &changes).map(drop)
    }

    /// One server changes, and planners are asked until all of them say that this is in force.
    fn explained(&mut self, event: usize) -> Result<(), Failure> {
        // What is named most concerns most nodes.
        let fleet = &self.bed.fleet;
        let service = fleet.most_named();
        let server = (0..fleet.servers()).find(|s| fleet.service_of(*s) == service).unwrap_or(0);
        let before = self.bed.state(server);
        let share = if before.share == 1.5 { 1.25 } else { 1.5 };
        let changes = self.numbered([(server, State { share, ..before })]);
        let pushed = self.bed.time.now();
        let version = self.bed.push(event, &changes)?.to_string();
        let end = Instant::now() + IN_FORCE;
        let mut waits: Vec<bool> = vec![true; PLANNERS];
        while waits.contains(&true) && Instant::now() < end {
            for (planner, waits) in self.bed.planners.iter().zip(&mut waits) {
                let told = planner.explain(&["--change", &version]).unwrap_or_default();
                *waits = !in_force(&told);
            }
        }
        let at = self.bed.time.now();
        if waits.contains(&true) {
            self.seen.broken.push(format!("planners do not say that change {version} is in force"));
            return Ok(());
        }
        self.seen.explained_ms.push((at - pushed) / 1_000_000);
        self.seen.explained.push((changes.into_iter().map(|c| c.0).collect(), at));
        Ok(())
    }

    /// A box under load drains, leaves and comes back: from when all planners say that the drain is in force, and the grace after
    /// it, nothing comes to it any more.
    fn drain_box(&mut self, place: usize) -> Result<(), Failure> {
        let first = State { phase: 0, born_ms: 0, share: 1.0 };
        let begun = Instant::now();
        let version = self.bed.push_box(place, &State { phase: 1, ..first }).to_string();
        let end = begun + IN_FORCE;
        let told = |bed: &Bed| {
            bed.planners.iter().all(|p| in_force(&p.explain(&["--change", &version]).unwrap_or_default()))
        };
        while !told(&self.bed) && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
        }
        let known = Instant::now();
        std::thread::sleep(GRACE * 2);
        let came = self.bed.boxes[place].came();
        if came.iter().all(|c| c.at > begun) {
            self.seen
                .broken
                .push(format!("box {} got nothing before it drained", self.bed.boxes[place].name));
        }
        let last = came.iter().rev().map(|c| c.at).find(|at| *at > begun);
        self.seen.drained_ms.push(last.map_or(0, |at| at.duration_since(begun).as_millis() as u64));
        if let Some(late) = last.filter(|at| *at > known + GRACE) {
            self.seen.broken.push(format!(
                "box {} got a request {} ms after all knew that it drains",
                self.bed.boxes[place].name,
                late.duration_since(known).as_millis()
            ));
        }
        self.bed.push_box(place, &State { phase: 2, ..first });
        std::thread::sleep(GRACE);
        let born_ms = self.now_ms();
        self.bed.push_box(place, &State { born_ms, ..first });
        Ok(())
    }

    /// Plays all of it.
    pub fn play(&mut self, patience: Duration) -> Result<(), Failure> {
        let hollow = self.bed.size.nodes - self.bed.size.real;
        let all: Vec<usize> = (0..hollow).collect();
        println!("{hollow} hollow nodes start ...");
        let namers: Vec<Namer> = (0..self.bed.real.len()).map(|k| Namer::of(&self.bed, k)).collect();
        self.bed.nodes("start", &all, self.part * 3)?;
        self.seen.ready_s[0] = self.until_held(patience)?.as_secs_f64();
        println!("all held after {:.1} s", self.seen.ready_s[0]);
        let (rest, meter) = (self.part.min(Duration::from_secs(10)), self.meter());
        std::thread::sleep(rest);
        self.metered("at rest", meter);

        for (event, times) in [(0, 1.0), (1, 10.0)] {
            self.under_way(event, |day| {
                day.stretch(event, times)?;
                day.explained(event)?;
                day.drain_box(event * LIVE.1)
            })?;
        }
        let rack = self.bed.fleet.rack();
        let of_rack: Vec<usize> = (0..hollow).rev().take(self.bed.size.rack.1).collect();
        self.away(2, &rack, &of_rack)?;
        let zone = self.bed.fleet.zone(0);
        let of_zone = self.bed.fleet.nodes_of(0);
        self.away(4, &zone, &of_zone)?;

        self.under_way(6, |day| {
            day.weigh();
            day.bed.planners[0].kill();
            day.stretch(6, 1.0)
        })?;
        self.under_way(7, |day| {
            day.bed.planners[0].start();
            day.stretch(7, 1.0)
        })?;
        self.under_way(8, Day::outage)?;
        self.under_way(9, |day| {
            let tenth: Vec<usize> = all.iter().copied().filter(|n| n % 10 == 3).collect();
            day.bed.nodes("stop", &tenth, Duration::ZERO)?;
            day.bed.nodes("start", &tenth, Duration::from_secs(2))?;
            day.stretch(9, 1.0)?;
            day.seen.ready_s[1] = day.until_held(patience)?.as_secs_f64();
            Ok(())
        })?;
        for namer in &namers {
            let (served, other) = namer.counts();
            self.seen.named = [self.seen.named[0] + served, self.seen.named[1] + other];
        }
        Ok(())
    }

    fn under_way(
        &mut self,
        event: usize,
        what: impl FnOnce(&mut Day) -> Result<(), Failure>,
    ) -> Result<(), Failure> {
        let meter = self.meter();
        println!("{} ...", EVENTS[event]);
        what(self)?;
        self.metered(EVENTS[event], meter);
        Ok(())
    }

    /// Servers and nodes go at once, and come back.
    fn away(&mut self, event: usize, servers: &[usize], nodes: &[usize]) -> Result<(), Failure> {
        self.under_way(event, |day| {
            day.bed.nodes("stop", nodes, Duration::ZERO)?;
            day.at_once(event, servers, What::Leave)?;
            day.until_in_force()
        })?;
        self.under_way(event + 1, |day| {
            day.at_once(event + 1, servers, What::Join)?;
            day.bed.nodes("start", nodes, Duration::from_secs(2))?;
            day.until_in_force()
        })
    }

    /// No planner is there; servers change meanwhile; all planners come back with nothing.
    fn outage(&mut self) -> Result<(), Failure> {
        self.weigh();
        self.bed.planners.iter_mut().for_each(laurelroute_testkit::levels::Planner::kill);
        std::thread::sleep(self.part / 2);
        let servers: Vec<usize> = self.bed.fleet.rack();
        let drained: Vec<(usize, State)> =
            servers.iter().map(|s| (*s, What::Drain.applied(self.bed.state(*s), 0))).collect();
        let changes = self.numbered(drained);
        self.bed.push_unseen(8, &changes)?;
        std::thread::sleep(self.part / 2);
        // Nobody can be reached before a planner is there.
        self.bed.planners.iter_mut().for_each(laurelroute_testkit::levels::Planner::start);
        let at = self.bed.time.now();
        self.bed.seen(&changes, at)?;
        self.until_in_force()?;
        // As they were.
        let now_ms = self.now_ms();
        let back: Vec<(usize, State)> =
            servers.iter().map(|s| (*s, State { born_ms: now_ms, phase: 0, share: 1.0 })).collect();
        let changes = self.numbered(back);
        self.bed.push(8, &changes)?;
        self.until_in_force()
    }

    /// Starts the client load.
    pub fn traffic(&self) -> Traffic {
        Traffic::start(&self.bed)
    }

    /// What the hollow processes have to tell at the end.
    pub fn told(&mut self) -> Result<Vec<Value>, Failure> {
        self.bed.all(&serde_json::json!({"do": "figures"}))
    }
}

/// Why connections of hollow nodes ended, with how often.
fn ends(status: &[Value]) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    let each = status.iter().filter_map(|s| s["ended"].as_object()).flatten();
    each.for_each(|(why, count)| *all.entry(why.clone()).or_default() += count.as_u64().unwrap_or(0));
    all
}

/// How many wholes a planner says that it has sent: `..., 7 wholes`.
pub fn wholes(told: &str) -> Option<u64> {
    told.split(" wholes").next()?.rsplit(' ').next()?.parse().ok()
}

/// Whether a planner says that a change is in force everywhere: `in force at 7 of 7 ...`.
pub fn in_force(told: &str) -> bool {
    let counts = told.split("in force at ").nth(1).unwrap_or_default();
    let mut words = counts.split_whitespace();
    let (at, of) = (words.next(), words.nth(1));
    at.is_some() && at == of
}
