//! All planners killed in the middle of a load, and their return: several forwarders, real processes, real sockets.

use crate::boxes::{ran, too_many_attempts, Act, Plan, StandIn};
use crate::discovery::{Discovery, Entry};
use crate::levels::{Levels, Upper};
use crate::load::{Load, Tally};
use crate::program::{Program, Wishes};
use crate::wire::{Ask, Class, Wire};
use crate::{until, Random};
use laurelroute_thrift::codec::Form;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How large the bed is, and how long each part of it lasts.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Forwarders.
    pub forwarders: usize,
    /// Boxes.
    pub boxes: usize,
    /// Of each of the parts: before, outage, return.
    pub part: Duration,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Share of requests served before, and in the outage.
    pub served: [f64; 2],
    /// Requests served a second before, and in the outage.
    pub rate: [f64; 2],
    /// From the planners' start until every forwarder held both planners' plans.
    pub converged: Duration,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

struct Site {
    boxes: Vec<StandIn>,
    forwarders: Vec<Program>,
}

impl Site {
    fn load(&self) -> Vec<Load> {
        let of = |f: &Program| {
            [(Class::Read, 2), (Class::Write, 1), (Class::Keyed, 1)]
                .map(|(class, clients)| Load::start(Wire::Http, f.address(Wire::Http), clients, class, 20))
        };
        self.forwarders.iter().flat_map(of).collect()
    }

    /// Ends the loads and checks what became of every request.
    fn finish(&self, what: &str, loads: Vec<Load>, seen: &mut Seen) -> (f64, usize) {
        let (mut served, mut all) = (0, 0);
        let tallies: Vec<Tally> = loads.into_iter().map(Load::finish).collect();
        let runs = ran(&self.boxes);
        for (place, tally) in tallies.into_iter().enumerate() {
            served += tally.served.len();
            all += tally.served.len() + tally.refused + tally.failed + tally.lost.len();
            if !tally.lost.is_empty() || !tally.mixed.is_empty() {
                seen.broken.push(format!(
                    "{what}: {} lost, {} mixed up",
                    tally.lost.len(),
                    tally.mixed.len()
                ));
            }
            // The second load of each forwarder is the one that must not run twice.
            if place % 3 == 1 {
                let wrong = tally.served.iter().filter(|id| runs.get(*id) != Some(&1)).count();
                if wrong > 0 {
                    seen.broken.push(format!("{what}: {wrong} served requests did not run once"));
                }
            }
        }
        (served as f64 / all.max(1) as f64, served)
    }
}

/// Runs it once.
pub fn run(program: &Path, seed: u64, size: Size) -> Seen {
    let mut random = Random::new(seed);
    let form = Form::named("framed-binary").expect("a form");
    let plan = Arc::<Plan>::default();
    let boxes: Vec<StandIn> =
        (0..size.boxes).map(|k| StandIn::start(&format!("box-{k}"), form, plan.clone())).collect();
    boxes.iter().for_each(|b| b.usually(Act::After(Duration::from_millis(2))));
    let entries: Vec<Entry> = boxes.iter().map(Entry::of).collect();
    let discovery = Discovery::start(&entries);
    let wishes = Wishes { levels: Some(Levels::Up), ..Wishes::default() };
    let mut upper = Upper::start(program, Levels::Up, &discovery, &entries, &wishes);
    let forwarder = |k: usize| {
        let name = format!("f{k}");
        let wishes = Wishes { site: upper.site(&name), name, ..wishes.clone() };
        Program::start(program, discovery.address, form, wishes)
    };
    let forwarders: Vec<Program> = (0..size.forwarders).map(forwarder).collect();
    let site = Site { boxes, forwarders };
    for f in &site.forwarders {
        until("a forwarder serves", || f.ask(Wire::Http, &Ask::new(Class::Read)).is_some_and(|a| a.served()));
    }
    until("every forwarder holds the plans", || upper.all_hold(size.forwarders));
    let mut seen = Seen::default();
    let pause =
        |random: &mut Random| std::thread::sleep(Duration::from_millis(50 + random.below(200) as u64));

    let (begun, loads) = (Instant::now(), site.load());
    std::thread::sleep(size.part);
    let (share, served) = site.finish("before", loads, &mut seen);
    (seen.served[0], seen.rate[0]) = (share, served as f64 / begun.elapsed().as_secs_f64());

    let (begun, loads) = (Instant::now(), site.load());
    pause(&mut random);
    upper.kill();
    std::thread::sleep(size.part);
    let (share, served) = site.finish("outage", loads, &mut seen);
    (seen.served[1], seen.rate[1]) = (share, served as f64 / begun.elapsed().as_secs_f64());

    let loads = site.load();
    pause(&mut random);
    let back = Instant::now();
    upper.start_again();
    until("every forwarder holds the new plans", || upper.all_hold(size.forwarders));
    seen.converged = back.elapsed();
    site.finish("return", loads, &mut seen);
    let at_once = too_many_attempts(&site.boxes, wishes.attempts_at_once());
    if at_once > 0 {
        seen.broken.push(format!("{at_once} attempts beside others of their requests"));
    }
    if seen.served[1] < 0.97 * seen.served[0] {
        seen.broken
            .push(format!("served {:.3} before and {:.3} in the outage", seen.served[0], seen.served[1]));
    }
    seen
}
