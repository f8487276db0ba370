//! Requests through the real forwarders: a load on services whose boxes are there, checked request by request, and now and
//! then one of each further service, so that the forwarder uses it.

use super::bed::{live_name, Bed, LIVE, WORK};
use laurelroute_rig::scale_model::fleet::service_name;
use laurelroute_testkit::boxes::{ran, StandIn};
use laurelroute_testkit::client::Client;
use laurelroute_testkit::load::{Load, Tally};
use laurelroute_testkit::wire::{Answer, Ask, Class, Wire};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Clients of each class at a forwarder.
const CLIENTS: [(Class, usize); 3] = [(Class::Read, 2), (Class::Write, 1), (Class::Keyed, 1)];
/// Bytes that a request carries.
const BODY: usize = 200;

/// What became of requests that only name a service: served, and turned away or failed.
#[derive(Debug, Default)]
struct Named {
    served: AtomicUsize,
    other: AtomicUsize,
}

/// Names services for as long as it is kept.
pub struct Namer {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    named: Arc<Named>,
    reached: Arc<AtomicUsize>,
}

impl Namer {
    /// Names these, the first ones first, all of them within `first` and then each again once in `again`.
    pub fn start(address: SocketAddr, services: Vec<String>, first: Duration, again: Duration) -> Namer {
        let (stop, named, reached) =
            (Arc::<AtomicBool>::default(), Arc::<Named>::default(), Arc::<AtomicUsize>::default());
        let (ended, tally, count) = (stop.clone(), named.clone(), reached.clone());
        let thread = std::thread::spawn(move || {
            let mut known = vec![false; services.len()];
            let (mut round, mut client) = (0, None);
            while !ended.load(Ordering::SeqCst) {
                let begun = Instant::now();
                let span = if round == 0 { first } else { again };
                round += 1;
                for (k, service) in services.iter().enumerate() {
                    let due = begun + span.mul_f64(k as f64 / services.len() as f64);
                    while Instant::now() < due && !ended.load(Ordering::SeqCst) {
                        std::thread::sleep(
                            due.saturating_duration_since(Instant::now()).min(Duration::from_millis(50)),
                        );
                    }
                    if ended.load(Ordering::SeqCst) {
                        return;
                    }
                    let ask = Ask::new(Class::Read).of(service);
                    let mut conn = client.take().or_else(|| Client::connect(Wire::Http, address));
                    let answer = conn.as_mut().and_then(|c| c.ask(&ask));
                    match answer {
                        Some(Answer::Served(_)) => {
                            tally.served.fetch_add(1, Ordering::SeqCst);
                            if !std::mem::replace(&mut known[k], true) {
                                count.fetch_add(1, Ordering::SeqCst);
                            }
                        }
                        _ => {
                            tally.other.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                    client = conn.filter(|c| answer.is_some() && !c.told_to_close());
                }
            }
        });
        Namer { stop, thread: Some(thread), named, reached }
    }

    /// How many of the services have been served at least once.
    pub fn reached(&self) -> usize {
        self.reached.load(Ordering::SeqCst)
    }

    /// How many of its requests were served, and how many not.
    pub fn counts(&self) -> (usize, usize) {
        (self.named.served.load(Ordering::SeqCst), self.named.other.load(Ordering::SeqCst))
    }

    /// Names the services that a real node of the bed uses.
    pub fn of(bed: &Bed, node: usize) -> Namer {
        let real = &bed.real[node];
        let services = real.uses.iter().map(|s| service_name(*s)).collect();
        Namer::start(real.program.http, services, Duration::from_secs(5), Duration::from_secs(30))
    }
}

impl Drop for Namer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Loads on real forwarders: of each, one a class.
pub struct Traffic(Vec<[Load; 3]>);

/// What became of all requests.
#[derive(Debug, Default)]
pub struct Became {
    /// Served.
    pub served: usize,
    /// Turned away.
    pub refused: usize,
    /// Failed.
    pub failed: usize,
    /// Without a final answer.
    pub lost: usize,
    /// With another request's answer.
    pub mixed: usize,
    /// Requests that must run once and did not, or ran at all though they were not served and not lost.
    pub doubled: usize,
    /// The time within which 99 in 100 of the served ones were, in milliseconds.
    pub p99_ms: f64,
    /// The same in the middle.
    pub p50_ms: f64,
}

impl Traffic {
    /// Starts loads on all real forwarders but the last, which carries none: what it costs is control.
    pub fn start(bed: &Bed) -> Traffic {
        let loaded = bed.real.len().saturating_sub(1).max(1);
        let of = |k: usize| {
            std::array::from_fn(|class| {
                let (kind, clients) = CLIENTS[class];
                let ask = Ask::new(kind).carrying(BODY).of(&live_name((k + class) % LIVE.0));
                Load::asking(Wire::Http, bed.real[k].program.http, clients, &ask)
            })
        };
        Traffic((0..loaded.min(bed.real.len())).map(of).collect())
    }

    /// Ends the loads; what became of every request.
    pub fn finish(self, boxes: &[StandIn]) -> Became {
        let tallies: Vec<[Tally; 3]> = self.0.into_iter().map(|all| all.map(Load::finish)).collect();
        let runs = ran(boxes);
        let mut became = Became::default();
        let mut all = Tally::default();
        for [read, write, keyed] in tallies {
            // Served without a run at a box, or run more than once, is wrong either way.
            became.doubled += write.served.iter().filter(|id| runs.get(*id) != Some(&1)).count();
            became.doubled +=
                write.lost.iter().chain(&write.crossed).filter(|id| runs.get(*id) > Some(&1)).count();
            for tally in [read, write, keyed] {
                became.served += tally.served.len();
                became.refused += tally.refused;
                became.failed += tally.failed;
                became.lost += tally.lost.len();
                became.mixed += tally.mixed.len();
                all.took.extend(tally.took);
            }
        }
        became.p99_ms = all.quantile(0.99).as_secs_f64() * 1e3;
        became.p50_ms = all.quantile(0.5).as_secs_f64() * 1e3;
        became
    }
}

/// What the boxes alone take for the same load, at 99 in 100 and in the middle, in milliseconds.
pub fn direct(bed: &Bed, lasts: Duration) -> (f64, f64) {
    // So many clients at a box as there are for each through forwarders.
    let loads: Vec<Load> = bed
        .boxes
        .iter()
        .step_by(LIVE.1)
        .flat_map(|stand_in| {
            CLIENTS.map(|(class, clients)| {
                Load::asking(Wire::Http, stand_in.http, clients, &Ask::new(class).carrying(BODY))
            })
        })
        .collect();
    std::thread::sleep(lasts + WORK);
    let mut all = Tally::default();
    loads.into_iter().map(Load::finish).for_each(|tally| all.took.extend(tally.took));
    (all.quantile(0.99).as_secs_f64() * 1e3, all.quantile(0.5).as_secs_f64() * 1e3)
}
