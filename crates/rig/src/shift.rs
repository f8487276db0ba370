//! `rig shift`: what a shift finds, what it costs clients to find it, and what it costs a request.

use crate::boxes::Boxes;
use crate::cost::{plan, FEW, MANY};
use crate::load::{self, Until};
use crate::report::{table, Failure, Outcome};
use crate::seeds::all;
use crate::site::{can_count, Site, Used};
use crate::Common;
use laurelroute_shift::rollout::State;
use laurelroute_simulation::draw::Draw;
use laurelroute_simulation::shift::course::{play, New, Played};
use laurelroute_simulation::shift::rivals::{self, Rival, CANARY, CLOCK};
use laurelroute_simulation::shift::world::{self, Point, World};
use laurelroute_simulation::shift::{Fault, Kind, Where};
use laurelroute_simulation::S;
use laurelroute_testkit::program::Wishes;
use laurelroute_thrift::codec::Form;
use plotters::prelude::*;
use std::path::Path;

/// The stated probability that a sound pool is halted.
const FALSE_HALTS: f64 = 0.01;
/// The model's requests a second on average, for those who go by the clock.
const RATE: f64 = 5000.0;
/// Seeds of each row of the table.
const ROW: u64 = 24;
/// What a request may cost more with a shift on.
const DEARER: f64 = 1.05;

/// What is asked for.
pub struct Wanted<'a> {
    /// Seeds each of sound, cold and faulty pools.
    pub seeds: u64,
    /// Where the plot goes.
    pub svg: Option<&'a Path>,
    /// Whether to count what a request costs.
    pub cost: bool,
}

fn drawn(seed: u64) -> Fault {
    Fault::drawn(&mut Draw::new(seed, 99), 40)
}

/// Runs the measurement.
pub fn run(common: &Common, wanted: &Wanted<'_>) -> Result<(), Failure> {
    let mut outcome = Outcome::default();
    let mut broken = populations(common, wanted.seeds, &mut outcome);
    faults_table(common, &mut outcome);
    broken.extend(worlds(common, wanted, &mut outcome)?);
    if wanted.cost {
        broken.extend(cost(&mut outcome)?);
    }
    outcome.close("shift", common)?;
    match broken.is_empty() {
        true => Ok(()),
        false => Err(Failure(broken.join("; "))),
    }
}

/// Sound, cold and faulty pools by many seeds; what was broken.
fn populations(common: &Common, seeds: u64, outcome: &mut Outcome) -> Vec<String> {
    let mut broken = Vec::new();
    let mut rows = Vec::new();
    for (name, kind) in [("sound", 0), ("cold", 1), ("faulty", 2)] {
        println!("{name} pools, {seeds} seeds ...");
        let played = all(seeds, |k| {
            let seed = common.seed + k;
            let new = [New::Sound, New::Cold, New::Faulty(drawn(seed))][kind];
            (seed, play(seed, new))
        });
        let count = |f: &dyn Fn(&Played) -> bool| played.iter().filter(|(_, p)| f(p)).count();
        let (undone, finished) = (count(&|p| p.undone), count(&|p| p.finished));
        let two = count(&|p| p.in_two_steps());
        let owed = count(&|p| p.owed);
        let missed: Vec<u64> =
            played.iter().filter(|(_, p)| p.owed && !p.in_two_steps()).map(|(s, _)| *s).collect();
        rows.push(
            [name.to_owned()]
                .into_iter()
                .chain([finished, undone, two, owed, missed.len()].map(|n| n.to_string()))
                .collect(),
        );
        outcome.put(format!("{name}_undone"), undone as f64);
        outcome.put(format!("{name}_finished"), finished as f64);
        if kind < 2 && undone as f64 > FALSE_HALTS * seeds as f64 {
            broken
                .push(format!("{undone} of {seeds} {name} pools were halted; at most {FALSE_HALTS} may be"));
        }
        if kind == 2 {
            outcome.put("owed_missed", missed.len() as f64);
            if !missed.is_empty() {
                broken.push(format!("faults above the stated least were missed at seeds {missed:?}"));
            }
        }
    }
    table(&["new pool", "finished", "undone", "in two steps", "left though owed", "owed and missed"], &rows);
    broken
}

/// Detection by the size of a fault and the part of requests that it may strike.
fn faults_table(common: &Common, outcome: &mut Outcome) {
    println!("\nfaults of one size, {ROW} seeds a row; medians over those found ...");
    let mut rows = Vec::new();
    for (cell, at) in [
        ("all", Where::All),
        ("class, 10%", Where::Class(2)),
        ("shire, 3.7%", Where::Shire(5)),
        ("class of shire, 0.37%", Where::Both(2, 5)),
    ] {
        for size in [0.005, 0.02, 0.05, 0.2, 0.5] {
            let fault = Fault { kind: Kind::Fails, at, size, after: 0.0 };
            let played = all(ROW, |k| play(common.seed + k, New::Faulty(fault)));
            let found: Vec<&Played> = played.iter().filter(|p| p.undone).collect();
            let middle =
                |of: &dyn Fn(&Played) -> f64| crate::report::median(found.iter().map(|p| of(p)).collect());
            let mut row =
                vec![cell.to_owned(), format!("{}%", 100.0 * size), format!("{}/{ROW}", found.len())];
            row.extend([middle(&|p| p.shown as f64), middle(&|p| p.seconds), middle(&|p| p.hurt)].map(brief));
            for rival in [CLOCK, CANARY] {
                row.extend(rivalled(common, &rival, &fault));
            }
            if cell == "class, 10%" && size == 0.5 {
                outcome.put("class_half_hurt", middle(&|p| p.hurt));
            }
            rows.push(row);
        }
    }
    let heads = [
        "where",
        "size",
        "found",
        "requests",
        "s",
        "hurt",
        "clock found",
        "s",
        "hurt",
        "canary found",
        "s",
        "hurt",
    ];
    table(&heads, &rows);
}

fn brief(figure: f64) -> String {
    if figure.is_nan() {
        "-".to_owned()
    } else {
        format!("{figure:.0}")
    }
}

fn rivalled(common: &Common, rival: &Rival<'_>, fault: &Fault) -> [String; 3] {
    let played: Vec<(bool, f64, f64)> =
        (0..ROW).map(|k| rivals::play(rival, fault, RATE, &mut Draw::new(common.seed + k, 18))).collect();
    let found = played.iter().filter(|p| p.0).count();
    let middle =
        |of: &dyn Fn(&(bool, f64, f64)) -> f64| crate::report::median(played.iter().map(of).collect());
    [format!("{found}/{ROW}"), brief(middle(&|p| p.1)), brief(middle(&|p| p.2))]
}

/// The whole world: cold boxes, an old pool that goes away, a failing class; and the plot of the last.
fn worlds(common: &Common, wanted: &Wanted<'_>, outcome: &mut Outcome) -> Result<Vec<String>, Failure> {
    let fault = Fault { kind: Kind::Fails, at: Where::Class(2), size: 0.5, after: 0.0 };
    let usual = World::usual();
    let cases = [
        ("sound, warm", usual),
        ("sound, cold, 40 at a time", World { cold: true, ..usual }),
        ("sound, cold, one", World { cold: true, boxes: (40, 1), ..usual }),
        ("too small", World { boxes: (40, 8), ..usual }),
        ("fails one class", World { fault: Some(fault), cold: true, ..usual }),
        ("load doubles", World { load: 0.4, doubles: Some(25 * S), ..usual }),
        ("old pool deleted", World { old_gone: Some(25 * S), watch: 200 * S, ..usual }),
    ];
    println!("\nworlds with boxes, queues and the decision module ...");
    let played = all(cases.len() as u64, |k| world::play(&cases[k as usize].1, common.seed));
    let mut broken = Vec::new();
    let mut rows = Vec::new();
    for ((name, _), out) in cases.iter().zip(&played) {
        let (came, aim): (u32, u32) = out.points.iter().fold((0, 0), |s, p| (s.0 + p.came, s.1 + p.in_aim));
        let most = out.points.iter().flat_map(|p| &p.shares).fold(0.0f64, |m, s| m.max(*s));
        let state = format!("{:?}", out.state);
        rows.push(vec![
            (*name).to_owned(),
            state.split([' ', '{']).next().unwrap_or_default().to_owned(),
            format!("{:.0}%", 100.0 * most),
            format!("{:.4}", f64::from(aim) / f64::from(came.max(1))),
            out.pushed.to_string(),
            out.twice.to_string(),
            out.late_sends.to_string(),
            out.lost.to_string(),
            out.moved_twice.to_string(),
        ]);
        let rules = out.pushed + out.twice + out.late_sends + out.moved_twice;
        if rules > 0 {
            broken.push(format!("{name}: {rules} promises broken"));
        }
        if (*name == "fails one class") != (out.state == State::Undone) {
            broken.push(format!("{name}: it ends as {:?}", out.state));
        }
    }
    let heads =
        ["world", "ends", "most", "in aim", "pushed over", "ran twice", "late sends", "lost", "moved twice"];
    table(&heads, &rows);
    outcome.put("pushed", played.iter().map(|o| f64::from(o.pushed)).sum());
    if let Some(path) = wanted.svg {
        let courses: Vec<(&str, &[Point])> =
            [1usize, 4].iter().map(|&k| (cases[k].0, &played[k].points[..])).collect();
        draw(path, &courses).map_err(|e| Failure(format!("{}: {e}", path.display())))?;
        println!("the courses stand in {}", path.display());
    }
    Ok(broken)
}

/// Share, warmth, service and doubt over time, a panel each course.
fn draw(path: &Path, courses: &[(&str, &[Point])]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (960, 360 * courses.len() as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, (name, points)) in root.split_evenly((courses.len(), 1)).iter().zip(courses) {
        let Some(first) = points.first().map(|p| p.at) else { continue };
        let seconds = |p: &Point| (p.at - first) as f64 / S as f64;
        let end = points.last().map_or(1.0, seconds);
        let mut chart = ChartBuilder::on(area)
            .caption(name, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(45)
            .build_cartesian_2d(0.0..end, 0.0..1.05f64)?;
        chart.configure_mesh().x_desc("s").y_desc("part").draw()?;
        type Of = fn(&Point) -> f64;
        let lines: [(&str, RGBColor, Of); 4] = [
            ("share of acknowledge", BLUE, |p| p.shares.last().copied().unwrap_or(0.0)),
            ("warmth of the coldest new box", RGBColor(230, 140, 0), |p| p.warmth),
            ("answered in aim", RGBColor(0, 140, 60), |p| f64::from(p.in_aim) / f64::from(p.came.max(1))),
            ("most doubt (1 halts)", RED, |p| p.doubt.clamp(0.0, 1.05)),
        ];
        for (label, colour, of) in lines {
            let line = points.iter().map(|p| (seconds(p), of(p).min(1.05)));
            chart
                .draw_series(LineSeries::new(line, &colour))?
                .label(label)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::MiddleRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
    }
    root.present()?;
    Ok(())
}

/// Instructions a request with and without a shift on.
fn cost(outcome: &mut Outcome) -> Result<Vec<String>, Failure> {
    if !can_count() {
        return Err(Failure("instructions are counted by valgrind, which is not there".into()));
    }
    println!("\ncounting instructions with and without a shift on ...");
    let form = Form::named("framed-binary").ok_or_else(|| Failure("no form".into()))?;
    let boxes = Boxes::start(form, 4)?;
    let (off, on) = (counted(&boxes, form, false)?, counted(&boxes, form, true)?);
    let ratio = on.instructions / off.instructions;
    let row = |name: &str, used: &Used| {
        vec![name.to_owned(), format!("{:.0}", used.instructions), format!("{:.1}", used.allocations)]
    };
    table(&["shift", "instructions", "allocations"], &[row("off", &off), row("on, at 50%", &on)]);
    outcome.put("instructions_off", off.instructions);
    outcome.put("instructions_on", on.instructions);
    outcome.put("instructions_ratio", ratio);
    let dear = ratio > DEARER;
    Ok(dear
        .then(|| format!("a request takes {ratio:.3} times the instructions, at most {DEARER}"))
        .into_iter()
        .collect())
}

fn counted(boxes: &Boxes, form: Form, shift: bool) -> Result<Used, Failure> {
    let life = |requests: u64| -> Result<Used, Failure> {
        let site = "[shift]\nname = \"cost\"\nold = { id = [\"box-0\", \"box-1\"] }\n\
                    new = { id = [\"box-2\", \"box-3\"] }\nsteps = [50, 100]\nleast_seconds = 3600\n";
        let wishes = Wishes {
            managed: true,
            site: if shift { site.into() } else { String::new() },
            ..Wishes::default()
        };
        let site = Site::wishing(boxes, form, true, wishes)?;
        if shift && site.node.call("POST", "/_shift/start/rig/cost") != Some(200) {
            return Err(Failure("the shift does not start".into()));
        }
        if shift {
            laurelroute_testkit::until("the shift is on", || {
                let said = site.node.call_for_text("GET", "/_shift");
                said.is_some_and(|(_, text)| text.contains("\"state\":\"stepping\""))
            });
        }
        load::run(plan(Until::Requests(requests), 1), site.node.http)?;
        site.finish()
    };
    let (few, many) = (life(FEW)?, life(MANY)?);
    Ok(many.per(few, MANY - FEW))
}
