//! Requests whose clients disconnect before a response arrives, at a server that never responds beside healthy ones.

mod common;

use common::{endpoint, sent, servers, settings, TestBed, MS};
use laurelroute_policy::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Duration of a run, and the time after which attempts are counted.
const RUN: Nanos = 120_000 * MS;
const WARM_UP: Nanos = 20_000 * MS;
/// Connects to the unresponsive server fail after this time.
const CONNECT_TIMEOUT: Nanos = 500 * MS;

/// Clients that disconnect: their share of all, and the range of times after which they do.
#[derive(Clone, Copy)]
struct ImpatientClients {
    share: f64,
    after: (Nanos, Nanos),
}

const NONE: ImpatientClients = ImpatientClients { share: 0.0, after: (0, 1) };

/// An attempt at a server: when and how it ends.
struct Attempt {
    ends_at: Nanos,
    sent_at: Nanos,
    request: RequestId,
    attempt: u8,
    server: Endpoint,
    outcome: AttemptOutcome,
}

/// Random arrivals at one node in front of servers, the first of which never responds.
struct World {
    bed: TestBed,
    random: Pcg64Mcg,
    open: Vec<Attempt>,
    leaving: Vec<(Nanos, RequestId)>,
    started: Nanos,
    count_from: Nanos,
    recovers_at: Option<Nanos>,
    /// Attempts at the first server and at all servers after the warm-up.
    dead: u32,
    all: u32,
}

impl World {
    fn new(servers_count: u8, seed: u64) -> Self {
        let bed = TestBed::new(settings(Idempotency::Safe), servers(servers_count), seed);
        let random = Pcg64Mcg::seed_from_u64(seed);
        let started = bed.now;
        World {
            bed,
            random,
            open: Vec::new(),
            leaving: Vec::new(),
            started,
            count_from: started + WARM_UP,
            recovers_at: None,
            dead: 0,
            all: 0,
        }
    }

    fn random_unit(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn between(&mut self, (least, most): (Nanos, Nanos)) -> Nanos {
        least + (self.random_unit() * (most - least) as f64) as Nanos
    }

    /// Draws from an exponential distribution with the given mean.
    fn exponential(&mut self, mean: f64) -> Nanos {
        (-self.random_unit().max(1e-9).ln() * mean) as Nanos
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    if self.bed.now >= self.count_from {
                        self.dead += u32::from(server == endpoint(0));
                        self.all += 1;
                    }
                    let (took, outcome) = self.service(server);
                    let attempt = self.open.iter().filter(|a| a.request == request).count() as u8;
                    let sent_at = self.bed.now;
                    self.open.push(Attempt {
                        ends_at: sent_at + took,
                        sent_at,
                        request,
                        attempt,
                        server,
                        outcome,
                    });
                }
                Action::Cancel { request, attempt } => {
                    for open in self.open.iter_mut().filter(|a| (a.request, a.attempt) == (request, attempt))
                    {
                        (open.ends_at, open.outcome) = (self.bed.now, AttemptOutcome::Cancelled);
                    }
                }
                _ => {}
            }
        }
    }

    /// How long an attempt takes at a server and how it ends unless it is cancelled.
    fn service(&mut self, server: Endpoint) -> (Nanos, AttemptOutcome) {
        if server == endpoint(0) && !self.recovered() {
            return (CONNECT_TIMEOUT, AttemptOutcome::ConnectFailed);
        }
        let step = u64::from(server.address[3]) % 3;
        (self.exponential(((20 + 20 * step) * MS) as f64), AttemptOutcome::Ok)
    }

    fn recovered(&self) -> bool {
        self.recovers_at.is_some_and(|at| self.bed.now >= at)
    }

    fn next_event(&self) -> Nanos {
        let ends = self.open.iter().map(|a| a.ends_at);
        ends.chain(self.leaving.iter().map(|s| s.0)).min().unwrap_or(Nanos::MAX)
    }

    /// Processes due events: clients disconnect and attempts end.
    fn process_due(&mut self) {
        if let Some(k) = self.leaving.iter().position(|s| s.0 <= self.bed.now) {
            let (_, request) = self.leaving.swap_remove(k);
            let actions = self.bed.feed(Event::ClientDisconnected { request });
            self.apply_actions(actions);
        }
        if let Some(k) = self.open.iter().position(|a| a.ends_at <= self.bed.now) {
            let Attempt { sent_at, request, attempt, server, outcome, .. } = self.open.swap_remove(k);
            let took = self.bed.now - sent_at;
            let actions = self.bed.outcome(request, server, attempt, took, outcome);
            self.apply_actions(actions);
            if outcome == AttemptOutcome::Ok {
                self.leaving.retain(|s| s.1 != request);
            }
        }
    }

    /// Runs the model and returns the attempts at the first server and at all servers.
    fn run_model(mut self, arrivals: f64, impatient: ImpatientClients) -> (u32, u32) {
        let mut arrival = self.started;
        while self.bed.now < self.started + RUN {
            let next = self.next_event();
            if next <= arrival {
                self.bed.now = next.max(self.bed.now);
                self.process_due();
                continue;
            }
            self.bed.now = arrival;
            arrival += self.exponential(1e9 / arrivals);
            let (request, actions) = self.bed.request();
            if sent(&actions, request).is_some() && self.random_unit() < impatient.share {
                let at = self.bed.now + self.between(impatient.after);
                self.leaving.push((at, request));
            }
            self.apply_actions(actions);
        }
        (self.dead, self.all)
    }
}

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;
const EARLY: ImpatientClients = ImpatientClients { share: 1.0, after: (5 * MS, 20 * MS) };
const LATE: ImpatientClients = ImpatientClients { share: 1.0, after: (60 * MS, 400 * MS) };
const MOSTLY_LATE: ImpatientClients = ImpatientClients { share: 0.9, ..LATE };

/// A server that never responds got four in five of all requests, because each cancelled one made it look idle.
#[test]
fn a_dead_server_gets_under_a_tenth_when_all_clients_disconnect_within_20_ms() {
    for (count, arrivals) in [(2, 20.0), (2, 60.0), (6, 60.0)] {
        for seed in SEEDS {
            let (dead, all) = World::new(count, seed).run_model(arrivals, EARLY);
            assert!(dead * 10 < all, "{count} servers, {arrivals}/s, seed {seed}: {dead} of {all}");
        }
    }
}

/// With clients that disconnect before the connect fails, a dead server got 8 to 50 times the requests that it got
/// without them.
#[test]
fn disconnecting_clients_at_most_triple_a_dead_servers_requests() {
    for (count, arrivals, impatient) in
        [(2, 20.0, LATE), (2, 60.0, LATE), (6, 60.0, LATE), (6, 20.0, MOSTLY_LATE)]
    {
        for seed in SEEDS {
            let (patient, _) = World::new(count, seed).run_model(arrivals, NONE);
            let (dead, all) = World::new(count, seed).run_model(arrivals, impatient);
            let case = format!("{count} servers, {arrivals}/s, seed {seed}");
            assert!(dead <= 3 * patient, "{case}: {dead} of {all}, {patient} without impatient clients");
        }
    }
}

/// The protection must not be permanent: a server that recovers gets its share of requests again, with the same
/// impatient clients.
#[test]
fn a_recovered_server_gets_its_share_again() {
    for impatient in [EARLY, LATE, MOSTLY_LATE] {
        for seed in SEEDS {
            let mut world = World::new(2, seed);
            world.recovers_at = Some(world.started + RUN / 2);
            world.count_from = world.started + RUN * 3 / 4;
            let (recovered, all) = world.run_model(20.0, impatient);
            assert!(recovered * 4 > all, "{:?}, seed {seed}: {recovered} of {all}", impatient.after);
        }
    }
}
