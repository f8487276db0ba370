//! `rig members --compare`: members that are put out though they run, an hour, against loss and pauses: the fleet's own
//! detection beside plain heartbeats and SWIM without Lifeguard; and what is left of a fleet that loses half at once.

use crate::report::{quantile, table, Failure, Outcome};
use crate::seeds::all;
use laurelroute_simulation::baselines::{Kind, Watchers};
use laurelroute_simulation::members::{Fleet, LONGEST_PAUSE};
use laurelroute_simulation::schedule::{Fault, Network};
use laurelroute_simulation::{Nanos, MS, S};
use plotters::prelude::*;
use std::path::Path;

/// Members of the compared fleets.
const MEMBERS: usize = 12;
/// Minutes of each figure: an hour.
const MINUTES: u64 = 60;
/// One member is stopped this often, where any is.
const EVERY: Nanos = 6 * S;
const LOSSES: [f64; 5] = [0.0, 0.1, 0.2, 0.3, 0.4];
const PAUSES: [Nanos; 5] = [0, 500 * MS, S, 2 * S, 5 * S];

/// Links that lose this part and delay the rest by up to 20 ms.
pub fn network(loss: f64) -> Network {
    Network { loss, delay: (MS / 5, 20 * MS), ..Network::default() }
}

/// Ten times six seconds, at the beginning of each a pause of somebody.
fn minute(seed: u64, pause: Nanos, mut go_on: impl FnMut(usize, Nanos)) {
    for k in 0..60 * S / EVERY {
        go_on(((seed + 5 * k) % MEMBERS as u64) as usize, pause);
    }
}

fn own(seed: u64, loss: f64, pause: Nanos) -> usize {
    let mut fleet = Fleet::new(MEMBERS, seed, S);
    if fleet.settle(30 * S).is_none() {
        return MEMBERS;
    }
    fleet.apply(&Fault::Network(network(loss)));
    minute(seed, pause, |member, pause| {
        if pause > 0 {
            fleet.apply(&Fault::Pause(member as u16, pause));
        }
        fleet.run(EVERY);
    });
    let excused = |r: &&laurelroute_simulation::members::Removal| {
        r.ran_for.is_none_or(|ran| r.pause > LONGEST_PAUSE && ran < 4 * S)
    };
    fleet.removals.iter().filter(|r| !excused(r)).count()
}

fn other(kind: Kind, seed: u64, loss: f64, pause: Nanos) -> usize {
    let mut watchers = Watchers::new(kind, MEMBERS, seed, network(loss));
    watchers.run(3 * S);
    watchers.wrongful = 0;
    minute(seed, pause, |member, pause| {
        if pause > 0 {
            watchers.pause(member, pause);
        }
        watchers.run(EVERY);
    });
    watchers.wrongful
}

/// Wrongful removals an hour: heartbeats, SWIM, the fleet's own.
fn hour(seed: u64, loss: f64, pause: Nanos) -> [usize; 3] {
    let sum = |one: &(dyn Fn(u64) -> usize + Sync)| all(MINUTES, |k| one(seed + k)).into_iter().sum();
    [
        sum(&|s| other(Kind::Heartbeats, s, loss, pause)),
        sum(&|s| other(Kind::Swim, s, loss, pause)),
        sum(&|s| own(s, loss, pause)),
    ]
}

const NAMES: [&str; 3] = ["plain heartbeats", "SWIM without Lifeguard", "the fleet's own"];

/// How long after half of the members went, all at once or one each second, the others use nine tenths of what is shared,
/// where they do within 15 s; and the most that all used at any moment.
fn half_gone(members: usize, seed: u64, apart: Nanos) -> (Option<Nanos>, f64) {
    let mut fleet = Fleet::new(members, seed, S);
    if fleet.settle(60 * S).is_none() {
        return (None, 0.0);
    }
    fleet.run(4 * S);
    let mut left: Vec<usize> = (0..members).collect();
    for k in 0..members / 2 {
        let at = (seed as usize * 31 + k * 17) % left.len();
        fleet.run(if k == 0 { 0 } else { apart });
        fleet.apply(&Fault::Kill(left.swap_remove(at) as u16));
    }
    let begun = fleet.now;
    while fleet.used() <= 0.9 && fleet.now - begun < 15 * S {
        fleet.run(50 * MS);
    }
    ((fleet.used() > 0.9).then_some(fleet.now - begun), fleet.most)
}

/// The tables, and a picture where one is wanted.
pub fn run(outcome: &mut Outcome, seed: u64, svg: Option<&Path>) -> Result<(), Failure> {
    println!("wrongful removals in an hour of {MEMBERS} members ...");
    let mut cases: Vec<(f64, Nanos)> = LOSSES.iter().map(|loss| (*loss, 0)).collect();
    cases.extend(PAUSES.iter().skip(1).map(|pause| (0.0, *pause)));
    cases.extend([(0.2, 2 * S), (0.4, 5 * S)]);
    let figures: Vec<((f64, Nanos), [usize; 3])> =
        cases.into_iter().map(|(loss, pause)| ((loss, pause), hour(seed, loss, pause))).collect();
    let rows: Vec<Vec<String>> = figures
        .iter()
        .map(|((loss, pause), counts)| {
            let mut row = vec![format!("{:.0}%", 100.0 * loss), format!("{:.1} s", *pause as f64 / S as f64)];
            row.extend(counts.iter().map(usize::to_string));
            row
        })
        .collect();
    let head: Vec<&str> = ["loss", "pauses"].into_iter().chain(NAMES).collect();
    table(&head, &rows);
    for ((loss, pause), counts) in &figures {
        let key = format!("own_loss{:.0}_pause{}", 100.0 * loss, pause / MS);
        outcome.put(key, counts[2] as f64);
    }
    if let Some(path) = svg {
        draw(path, &figures).map_err(|e| Failure(format!("{}: {e}", path.display())))?;
    }
    halves(outcome, seed);
    Ok(())
}

fn halves(outcome: &mut Outcome, seed: u64) {
    println!("half of the members killed, 100 seeds each ...");
    let mut rows = Vec::new();
    for (members, apart, how) in
        [(12, 0, "at once"), (12, S, "one a second"), (30, 0, "at once"), (30, S, "one a second")]
    {
        let seen = all(100, |k| half_gone(members, seed + k, apart));
        let most = seen.iter().map(|(_, most)| *most).fold(0.0, f64::max);
        let took: Vec<u64> = seen.iter().filter_map(|(took, _)| *took).map(|t| t / MS).collect();
        let full = took.iter().filter(|ms| **ms <= 5_000).count();
        let (ever, slowest) = (took.len(), quantile(took, 1.0));
        rows.push(vec![
            members.to_string(),
            how.to_owned(),
            format!("{full} of 100"),
            format!("{ever} of 100"),
            slowest.to_string(),
            format!("{most:.4}"),
        ]);
        outcome.put(format!("half_of_{members}_{}_in_5s", how.replace(' ', "_")), full as f64);
        outcome.put(format!("half_of_{members}_{}_ever", how.replace(' ', "_")), ever as f64);
        outcome.put(format!("half_of_{members}_{}_most", how.replace(' ', "_")), most);
    }
    let head =
        ["members", "half gone", "over 90% used within 5 s", "ever", "slowest ms", "most at any moment"];
    table(&head, &rows);
}

/// Two panels, against loss and against pauses; one more than what was counted, so that none can be drawn.
fn draw(path: &Path, figures: &[((f64, Nanos), [usize; 3])]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (960, 380)).into_drawing_area();
    root.fill(&WHITE)?;
    type Part = Vec<(f64, [usize; 3])>;
    let losses: Part =
        figures.iter().filter(|((_, p), _)| *p == 0).map(|((l, _), c)| (100.0 * l, *c)).collect();
    let pauses: Part = figures
        .iter()
        .filter(|((l, _), _)| *l == 0.0)
        .map(|((_, p), c)| (*p as f64 / S as f64, *c))
        .collect();
    let most = figures.iter().flat_map(|(_, c)| c).max().copied().unwrap_or(1) as f64 * 2.0 + 2.0;
    let panels = [("loss, %", 40.0, losses), ("pauses, s", 5.0, pauses)];
    for (area, (what, end, points)) in root.split_evenly((1, 2)).iter().zip(&panels) {
        let mut chart = ChartBuilder::on(area)
            .caption("wrongful removals an hour, and one", ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..*end, (1.0..most).log_scale())?;
        chart.configure_mesh().x_desc(*what).draw()?;
        for (k, (name, colour)) in NAMES.iter().zip([RED, RGBColor(230, 140, 0), BLUE]).enumerate() {
            let line = points.iter().map(|(at, counts)| (*at, 1.0 + counts[k] as f64));
            chart
                .draw_series(LineSeries::new(line, colour.stroke_width(2)))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
    }
    root.present()?;
    Ok(())
}
