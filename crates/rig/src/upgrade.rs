//! `rig upgrade`: one process after another takes over under load; what it costs the clients, against an address that is
//! shared and nothing more, and against one that is closed and opened again.

use crate::report::{median, table, Failure, Outcome};
use crate::seeds::at_a_time;
use crate::{Common, AS_PROGRAM};
use laurelroute_testkit::load::{Load, Tally};
use laurelroute_testkit::process::{memory_kb, Memory};
use laurelroute_testkit::program::{Bed, Program, Wishes};
use laurelroute_testkit::takeover::{self, Victim};
use laurelroute_testkit::until;
use laurelroute_testkit::wire::{Class, Wire};
use std::time::{Duration, Instant};

/// A new process takes clients within this.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// The old one has ended by then: SIGKILL would follow.
const ENDED_WITHIN: Duration = Duration::from_millis(3_700);

/// How the second process comes to its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// It is handed the listening sockets and the clients at rest.
    TakenOver,
    /// Both listen at the address by SO_REUSEPORT, and know nothing of each other.
    Shared,
    /// The first one ends before the second one starts.
    Reopened,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Way::TakenOver => "taken over",
            Way::Shared => "shared",
            Way::Reopened => "reopened",
        }
    }

    fn key(self, figure: &str) -> String {
        match self {
            Way::TakenOver => figure.to_owned(),
            Way::Shared => format!("shared_{figure}"),
            Way::Reopened => format!("reopened_{figure}"),
        }
    }
}

/// What was seen of one way.
#[derive(Default)]
struct Seen {
    ready: Vec<f64>,
    ended: Vec<f64>,
    /// Served within which time, 99 of 100: with one process, and while two run or none.
    p99: [Duration; 2],
    tallies: Vec<Tally>,
    twice: usize,
    /// Memory in MB and descriptors, of both processes together, at most.
    memory: f64,
    descriptors: usize,
}

impl Seen {
    fn sum(&self, count: fn(&Tally) -> usize) -> usize {
        self.tallies.iter().map(count).sum()
    }

    /// Connections that were refused, reset or ended without an answer.
    fn broken(&self) -> usize {
        self.sum(|t| t.unreached + t.crossed.len() + t.lost.len() + t.mixed.len())
    }

    fn late(&self) -> bool {
        self.ready.iter().any(|t| *t > READY_WITHIN.as_secs_f64())
            || self.ended.iter().any(|t| *t > ENDED_WITHIN.as_secs_f64())
    }
}

fn loads(bed: &Bed, body: usize) -> [Load; 2] {
    [(Class::Read, 8), (Class::Write, 4)]
        .map(|(class, clients)| Load::start(Wire::Http, bed.node.http, clients, class, body))
}

fn resident_mb(pid: u32) -> f64 {
    memory_kb(pid, Memory::Resident).unwrap_or(0) as f64 / 1024.0
}

fn takes_clients(program: &Program) {
    until("the new process takes clients", || program.call("GET", "/_ready") == Some(200));
}

/// Replaces the process once.
fn replace(way: Way, bed: &mut Bed, seen: &mut Seen, first: &mut Option<Program>) {
    let mut begun = Instant::now();
    let end = |program: &mut Program| {
        let told = Instant::now();
        program.signal("TERM");
        until("the old process ends", || !program.running());
        told.elapsed().as_secs_f64()
    };
    if way == Way::Reopened {
        seen.ended.push(end(&mut bed.node));
        begun = Instant::now();
    }
    let next = if way == Way::Shared { bed.node.stranger() } else { bed.node.successor() };
    takes_clients(&next);
    seen.ready.push(begun.elapsed().as_secs_f64());
    let both = [&bed.node, &next];
    seen.memory = seen.memory.max(both.map(|p| resident_mb(p.pid())).into_iter().sum());
    seen.descriptors = seen.descriptors.max(both.map(Program::descriptors).into_iter().sum());
    if way != Way::Reopened {
        seen.ended.push(end(&mut bed.node));
    }
    // The first process's handle keeps the addresses for all that follow.
    let old = std::mem::replace(&mut bed.node, next);
    first.get_or_insert(old);
}

fn play(way: Way, upgrades: usize, part: Duration, body: usize) -> Result<Seen, Failure> {
    let program = std::env::current_exe()?;
    let mut bed = Bed::wishing(&program, Wire::Http, 6, Wishes { managed: true, ..Wishes::default() });
    let (mut seen, mut first) = (Seen::default(), None);
    let mut took: [Vec<Duration>; 2] = Default::default();
    for round in 0..=2 * upgrades {
        let load = loads(&bed, body);
        std::thread::sleep(part);
        let upgrade = round % 2 == 1;
        if upgrade {
            replace(way, &mut bed, &mut seen, &mut first);
        }
        for tally in load.map(Load::finish) {
            took[usize::from(upgrade)].extend(&tally.took);
            seen.tallies.push(tally);
        }
    }
    for (p99, took) in seen.p99.iter_mut().zip(took) {
        *p99 = Tally { took, ..Tally::default() }.quantile(0.99);
    }
    let ran = bed.ran();
    seen.twice = seen.tallies.iter().skip(1).step_by(2).map(|t| t.twice(&ran)).sum();
    Ok(seen)
}

/// Replaces the process so many times in each way, with load before, during and after.
pub fn run(common: &Common, upgrades: usize, body: usize) -> Result<(), Failure> {
    std::env::set_var(AS_PROGRAM, "1");
    let part = Duration::from_secs_f64(common.seconds / 4.0);
    let mut outcome = Outcome::default();
    outcome.put("upgrades", upgrades as f64);
    let (mut rows, mut broken) = (Vec::new(), None);
    for way in [Way::TakenOver, Way::Shared, Way::Reopened] {
        println!("{} {upgrades} times ...", way.name());
        let seen = play(way, upgrades, part, body)?;
        let millis = |t: f64| format!("{:.0}", t * 1e3);
        let figures = [
            ("served", seen.sum(|t| t.served.len())),
            ("refused", seen.sum(|t| t.refused)),
            ("failed", seen.sum(|t| t.failed)),
            ("unreached", seen.sum(|t| t.unreached)),
            ("crossed", seen.sum(|t| t.crossed.len())),
            ("lost", seen.sum(|t| t.lost.len() + t.mixed.len())),
            ("twice", seen.twice),
        ];
        let mut row = vec![way.name().to_owned(), millis(median(seen.ready.clone()))];
        row.push(millis(median(seen.ended.clone())));
        row.extend(seen.p99.map(|p| format!("{:.1}", p.as_secs_f64() * 1e3)));
        row.extend(figures.iter().map(|(_, n)| n.to_string()));
        row.extend([format!("{:.1}", seen.memory), seen.descriptors.to_string()]);
        rows.push(row);
        outcome.put(way.key("ready_s"), median(seen.ready.clone()));
        outcome.put(way.key("ended_s"), median(seen.ended.clone()));
        outcome.put(way.key("p99_ms"), seen.p99[1].as_secs_f64() * 1e3);
        figures.iter().for_each(|(key, count)| outcome.put(way.key(key), *count as f64));
        if way == Way::TakenOver {
            let wrong = seen.broken() + seen.sum(|t| t.failed) + seen.twice;
            broken = match wrong {
                0 => seen.late().then(|| "a process came or went too late".to_owned()),
                n => Some(format!("{n} requests without their one answer")),
            };
        }
    }
    table(
        &[
            "way",
            "takes clients ms",
            "old ends ms",
            "p99 ms",
            "in upgrades",
            "served",
            "refused",
            "failed",
            "unreached",
            "crossed",
            "lost",
            "twice",
            "MB of both",
            "descriptors",
        ],
        &rows,
    );
    outcome.close("upgrade", common)?;
    broken.map_or(Ok(()), |wrong| Err(Failure(wrong)))
}

/// Takeovers with a strike at some step of each, seed after seed, so many at a time.
pub fn kills(common: &Common, seeds: u64, beds: usize) -> Result<(), Failure> {
    std::env::set_var(AS_PROGRAM, "1");
    let program = std::env::current_exe()?;
    let plays = at_a_time(beds, seeds, |k| {
        let seen = takeover::run(&program, common.seed + k);
        println!(
            "seed {}: {:?} {:?} after {:.1} ms, {:?}: {} served, {} lost, {} of {} new clients unanswered, silence {:.0} ms, \
             clients taken after {:.0} ms",
            common.seed + k,
            seen.strike.victim,
            seen.strike.blow,
            seen.strike.after.as_secs_f64() * 1e3,
            seen.strike.beside,
            seen.served,
            seen.lost,
            seen.heard.unanswered,
            seen.heard.came,
            seen.heard.longest.as_secs_f64() * 1e3,
            seen.ready.as_secs_f64() * 1e3
        );
        seen
    });
    let rows: Vec<Vec<String>> = ["killed", "stopped", "deaf"]
        .iter()
        .map(|kind| {
            let of =
                |v| plays.iter().filter(|p| p.strike.blow.name() == *kind && p.strike.victim == v).count();
            let counts = Victim::ALL.iter().skip(1).map(|v| of(*v).to_string());
            [(*kind).to_owned()].into_iter().chain(counts).collect()
        })
        .collect();
    table(&["", "elder", "heir", "both"], &rows);
    let numbered = plays.iter().zip(common.seed..);
    let broken: Vec<String> =
        numbered.flat_map(|(p, seed)| p.broken.iter().map(move |b| format!("seed {seed}: {b}"))).collect();
    broken.iter().take(10).for_each(|b| println!("BROKEN {b}"));
    let slowest =
        |of: fn(&takeover::Seen) -> Duration| plays.iter().map(of).max().unwrap_or_default().as_secs_f64();
    let mut outcome = Outcome::default();
    outcome.put("seeds", seeds as f64);
    outcome.put("served", plays.iter().map(|p| p.served).sum::<usize>() as f64);
    let unkilled = plays.iter().filter(|p| !p.strike.kills());
    outcome.put("lost_unkilled", unkilled.map(|p| p.lost).sum::<usize>() as f64);
    outcome.put("ready_s_slowest", slowest(|p| p.ready));
    outcome.put("silence_s_longest", slowest(|p| p.heard.longest));
    outcome.put("descriptors_most", plays.iter().map(|p| p.descriptors.0).max().unwrap_or(0) as f64);
    outcome.put("broken", broken.len() as f64);
    outcome.close("kills", common)?;
    broken.into_iter().next().map_or(Ok(()), |first| Err(Failure(first)))
}
