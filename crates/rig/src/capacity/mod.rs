//! `rig capacity`: how the cost of what is shipped grows with what there is. Counted in process where it can be (bytes,
//! allocations), by instructions under valgrind where that is installed, and else by processor time and the kernel's word.
//!
//! With `--store` the slopes go into a file; `--check` makes the tables of the page from that file and compares them.

mod count;
mod fleet;
mod planner;
mod process;
mod server_list;
mod subject;
mod tenants;

use crate::report::{table, Failure, Outcome};
use crate::Common;
use clap::Args;
use laurelroute_rig::slopes::fit::{Fit, Shape};
use laurelroute_rig::slopes::reckoning::first_that_grows;
use laurelroute_rig::slopes::store::{Run, Slope, Store};
use laurelroute_rig::slopes::{page, text};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

pub use subject::probe;

/// What is asked of it.
#[derive(Clone, Debug, Args)]
pub struct Wanted {
    /// Adds the slopes to this file.
    #[arg(long, value_name = "FILE")]
    store: Option<PathBuf>,
    /// On which code: `before` or `after`.
    #[arg(long, default_value = "after")]
    label: String,
    /// Only these parts, by name.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Measures nothing: compares the page's tables with the stored slopes.
    #[arg(long)]
    check: bool,
    /// Measures nothing: makes the page's tables anew from the stored slopes.
    #[arg(long)]
    write: bool,
    /// Takes over the figures of another measurement, as its `--json` has them, for the page; measures nothing.
    #[arg(long, value_name = "FILE")]
    take: Option<PathBuf>,
    /// The command that gave those figures.
    #[arg(long, requires = "take", default_value = "")]
    taken_from: String,
    /// The stored slopes.
    #[arg(long, value_name = "FILE", default_value = "docs/capacity-slopes.json")]
    slopes: PathBuf,
    /// The page.
    #[arg(long, value_name = "FILE", default_value = "docs/CAPACITY.md")]
    page: PathBuf,
}

/// A slope as a part of the measurement gives it: what it is, and its points.
pub struct Measured {
    name: &'static str,
    grows: &'static str,
    unit: &'static str,
    how: &'static str,
    /// How a slope is fitted; `None` for single figures, which are no slope.
    shape: Option<Shape>,
    points: Vec<(f64, f64)>,
}

impl Measured {
    fn line(name: &'static str, grows: &'static str, unit: &'static str, how: &'static str) -> Measured {
        Measured { name, grows, unit, how, shape: Some(Shape::Line), points: Vec::new() }
    }

    fn power(name: &'static str, grows: &'static str, unit: &'static str, how: &'static str) -> Measured {
        Measured { shape: Some(Shape::Power), ..Measured::line(name, grows, unit, how) }
    }

    /// Figures that no slope follows from, such as where a limit is.
    fn figures(name: &'static str, how: &'static str) -> Measured {
        Measured { shape: None, ..Measured::line(name, "", "", how) }
    }

    fn add(&mut self, size: usize, figure: f64) {
        self.points.push((size as f64, figure));
    }
}

/// How a figure was counted.
const ALLOCATOR: &str = "allocator's count";
const INSTRUCTIONS: &str = "instructions, callgrind";
const CPU: &str = "processor time";
const KERNEL: &str = "kernel's word (/proc)";
const LENGTH: &str = "length of the message";
const SIMULATED: &str = "simulated time, counted";

type Part = (&'static str, fn(u64) -> Result<Vec<Measured>, Failure>);

/// The parts. Those of services by subscription have their place here.
const PARTS: [Part; 6] = [
    ("list", server_list::measure),
    ("tenants", tenants::measure),
    ("process", process::measure),
    ("request", tenants::request),
    ("planner", planner::measure),
    ("fleet", fleet::measure),
];

fn today() -> String {
    text::day(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_secs()))
}

/// Runs it.
pub fn run(common: &Common, wanted: &Wanted) -> Result<(), Failure> {
    if let Some(file) = &wanted.take {
        return take(file, wanted);
    }
    if wanted.check || wanted.write {
        return tables(wanted);
    }
    if let Some(unknown) = wanted.only.iter().find(|o| PARTS.iter().all(|(name, _)| name != o)) {
        let known: Vec<&str> = PARTS.iter().map(|(name, _)| *name).collect();
        return Err(Failure(format!("there is no part `{unknown}`; known are {}", known.join(", "))));
    }
    let (mut slopes, mut singles) = (Vec::new(), BTreeMap::new());
    for (name, part) in
        PARTS.iter().filter(|(name, _)| wanted.only.is_empty() || wanted.only.iter().any(|o| o == name))
    {
        println!("{name} ...");
        for measured in part(common.seed)? {
            let Some(shape) = measured.shape else {
                let key = |size: &f64| format!("{}_{size}", measured.name);
                singles.extend(measured.points.iter().map(|(size, figure)| (key(size), *figure)));
                continue;
            };
            slopes.push(slope(measured, shape, name, &wanted.label)?);
        }
        if let Some(path) = &wanted.store {
            // Part by part: what was measured stays, also where a later one fails.
            let mut store = Store::read_or_new(path)?;
            slopes.iter().cloned().for_each(|s| store.put(s));
            if !singles.is_empty() {
                let run = store.runs.entry(format!("capacity, {}", wanted.label)).or_default();
                run.command = "rig capacity".to_owned();
                run.date = today();
                run.figures.extend(singles.clone());
            }
            store.write(path)?;
        }
    }
    show(&slopes);
    let mut outcome = Outcome::default();
    for slope in &slopes {
        outcome.put(format!("{}.slope", slope.name), slope.fit.slope);
        outcome.put(format!("{}.base", slope.name), slope.fit.base);
        outcome.put(format!("{}.error", slope.name), slope.fit.error);
    }
    singles.into_iter().for_each(|(key, figure)| outcome.put(key, figure));
    outcome.close("capacity", common)?;
    flat(&Store { slopes, ..Store::default() })
}

/// What is to cost the same whatever there is does.
fn flat(store: &Store) -> Result<(), Failure> {
    first_that_grows(store).map_or(Ok(()), |words| Err(Failure(words)))
}

fn slope(measured: Measured, shape: Shape, part: &str, label: &str) -> Result<Slope, Failure> {
    let (sizes, values): (Vec<f64>, Vec<f64>) = measured.points.into_iter().unzip();
    let fit = Fit::of(shape, &sizes, &values)
        .map_err(|e| Failure(format!("`{}`: {e}; sizes {sizes:?}, figures {values:?}", measured.name)))?;
    Ok(Slope {
        name: measured.name.to_owned(),
        label: label.to_owned(),
        role: measured.name.split('.').next().unwrap_or_default().to_owned(),
        grows: measured.grows.to_owned(),
        unit: measured.unit.to_owned(),
        sizes,
        values,
        fit,
        how: measured.how.to_owned(),
        command: format!("rig capacity --only {part}"),
        date: today(),
    })
}

fn show(slopes: &[Slope]) {
    let row = |s: &Slope| {
        let sizes: Vec<String> = s.sizes.iter().map(|v| text::grouped(*v)).collect();
        let values: Vec<String> = s.values.iter().map(|v| text::figure(*v)).collect();
        let fit = match s.fit.shape {
            Shape::Line => format!("{} + {} each", text::figure(s.fit.base), text::figure(s.fit.slope)),
            Shape::Power => format!("{} x size^{:.2}", text::figure(s.fit.base), s.fit.slope),
        };
        vec![
            s.name.clone(),
            s.grows.clone(),
            sizes.join("/"),
            values.join("/"),
            s.unit.clone(),
            fit,
            text::figure(s.fit.error),
            format!("{:.1}%", 100.0 * s.fit.miss),
        ]
    };
    let rows: Vec<Vec<String>> = slopes.iter().map(row).collect();
    table(&["slope", "grows with", "sizes", "figures", "unit", "fit", "+-", "worst miss"], &rows);
}

/// The page's tables: compared with the slopes, or made anew.
fn tables(wanted: &Wanted) -> Result<(), Failure> {
    let store = Store::read(&wanted.slopes)?;
    let text = if wanted.page.exists() { std::fs::read_to_string(&wanted.page)? } else { page::blank() };
    if wanted.write {
        std::fs::write(&wanted.page, page::fill(&text, &store)?)?;
    } else {
        page::check(&text, &store).map_err(|e| Failure(format!("{}: {e}", wanted.page.display())))?;
        flat(&store)?;
    }
    println!("RESULT capacity_page slopes={} runs={}", store.slopes.len(), store.runs.len());
    Ok(())
}

/// Figures of another measurement, for the page.
fn take(file: &Path, wanted: &Wanted) -> Result<(), Failure> {
    let taken: serde_json::Value = serde_json::from_str(&std::fs::read_to_string(file)?)?;
    let name = taken["name"].as_str().ok_or_else(|| Failure("the figures have no name".into()))?;
    let figures = serde_json::from_value(taken["figures"].clone())?;
    let command = match wanted.taken_from.as_str() {
        "" => format!("rig {name}"),
        command => command.to_owned(),
    };
    let mut store = Store::read_or_new(&wanted.slopes)?;
    store.runs.insert(name.to_owned(), Run { command, date: today(), figures });
    store.write(&wanted.slopes)?;
    Ok(())
}
