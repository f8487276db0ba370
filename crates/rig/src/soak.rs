//! `rig soak`: real processes of the node under drawn faults, judged by recorded histories.

use crate::report::{Failure, Outcome};
use crate::{seeds, Common, AS_PROGRAM};
use clap::Args;
use laurelroute_testkit::soak::check::{check, timeline, Rule, Shares, Violation};
use laurelroute_testkit::soak::history::History;
use laurelroute_testkit::soak::plan::{Kind, Plan, Size, KINDS};
use laurelroute_testkit::soak::{self, DrawnSettings, Wanted as Soak};
use laurelroute_testkit::Random;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Violations of a seed that are printed.
const MOST_LINES: usize = 8;

/// What a soak may be told.
#[derive(Clone, Debug, Args)]
pub struct Wanted {
    /// How many seeds, from `--seed` on.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// Processes of the node in each.
    #[arg(long, default_value_t = 10)]
    nodes: usize,
    /// Servers in each.
    #[arg(long, default_value_t = 8)]
    servers: usize,
    /// How many play at a time.
    #[arg(long, default_value_t = 1)]
    beds: usize,
    /// Only these kinds of fault; `none` for a control run.
    #[arg(long, value_delimiter = ',', value_name = "KINDS")]
    only: Vec<String>,
    /// All kinds of fault but these.
    #[arg(long, value_delimiter = ',', value_name = "KINDS")]
    without: Vec<String>,
    /// Each kind of fault alone, each with all seeds.
    #[arg(long)]
    each: bool,
    /// Reduces the list of faults of a seed that fails, by playing it again with fewer of them.
    #[arg(long)]
    reduce: bool,
    /// Another program of the node than this one.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Where histories and logs of seeds that fail are kept.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Judges a kept history instead.
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
}

/// What one seed has shown.
struct Played {
    plan: Plan,
    history: History,
    violations: Vec<Violation>,
}

/// Plays seeds and judges them.
pub fn run(common: &Common, wanted: &Wanted) -> Result<(), Failure> {
    if let Some(file) = &wanted.history {
        return judge(file);
    }
    if wanted.each {
        for kind in KINDS {
            println!("{kind:?} alone:");
            play_all(common, wanted, &[kind])?;
        }
        return Ok(());
    }
    let broken = play_all(common, wanted, &kinds(wanted)?)?;
    match broken {
        0 => Ok(()),
        n => Err(Failure(format!("{n} seeds broke a promise"))),
    }
}

fn kinds(wanted: &Wanted) -> Result<Vec<Kind>, Failure> {
    let named = |names: &[String]| -> Result<Vec<Kind>, Failure> {
        let known = names.iter().filter(|name| *name != "none");
        known.map(|n| Kind::named(n).ok_or_else(|| Failure(format!("no kind of fault `{n}`")))).collect()
    };
    let without = named(&wanted.without)?;
    let only = named(&wanted.only)?;
    let from = if wanted.only.is_empty() { KINDS.to_vec() } else { only };
    Ok(from.into_iter().filter(|kind| !without.contains(kind)).collect())
}

/// Plays all seeds with these kinds; how many broke a promise.
fn play_all(common: &Common, wanted: &Wanted, kinds: &[Kind]) -> Result<usize, Failure> {
    let played = seeds::at_a_time(wanted.beds, wanted.seeds, |k| {
        let seed = common.seed + k;
        let played = play_seed(common, wanted, kinds, seed);
        if let Ok(played) = &played {
            report(seed, played);
        }
        played
    });
    let mut rules: BTreeMap<Rule, usize> = BTreeMap::new();
    let mut counters: BTreeMap<String, u64> = BTreeMap::new();
    let (mut broken, mut requests, mut refused, mut served, mut lag) = (0, 0, 0, 0, 0);
    for one in played {
        let one = one?;
        broken += usize::from(!one.violations.is_empty());
        one.violations.iter().for_each(|v| *rules.entry(v.rule).or_default() += 1);
        let shares = Shares::of(&one.history);
        requests += shares.asked;
        refused += shares.refused;
        served += shares.served;
        lag = lag.max(one.history.lag);
        one.history.counters.iter().for_each(|(name, n)| *counters.entry(name.clone()).or_default() += n);
    }
    let counted: Vec<String> = counters.iter().map(|(name, n)| format!("{name} {n}")).collect();
    println!("counted by the processes: {}", counted.join(", "));
    let mut outcome = Outcome::default();
    outcome.put("seeds", wanted.seeds as f64);
    outcome.put("broken", broken as f64);
    outcome.put("requests", requests as f64);
    outcome.put("served", served as f64);
    outcome.put("refused", refused as f64);
    outcome.put("lag_ms", lag as f64 / 1e3);
    for (rule, count) in rules {
        outcome.put(format!("{rule:?}").to_lowercase(), count as f64);
    }
    outcome.close("soak", common)?;
    Ok(broken)
}

fn play_seed(common: &Common, wanted: &Wanted, kinds: &[Kind], seed: u64) -> Result<Played, Failure> {
    let span = Duration::from_secs_f64(common.seconds);
    let size = Size { nodes: wanted.nodes, servers: wanted.servers, span };
    let plan = Plan::draw(&mut Random::new(seed), size, kinds);
    let mut played = play_plan(wanted, size, seed, plan)?;
    if wanted.reduce && !played.violations.is_empty() {
        played = reduced(wanted, size, seed, played)?;
    }
    Ok(played)
}

fn play_plan(wanted: &Wanted, size: Size, seed: u64, plan: Plan) -> Result<Played, Failure> {
    let folder = std::env::temp_dir().join(format!("laurelroute-soak-{}-{seed}", std::process::id()));
    let (program, environment) = match &wanted.program {
        Some(program) => (program.clone(), Vec::new()),
        None => (std::env::current_exe()?, vec![(AS_PROGRAM.to_owned(), "1".to_owned())]),
    };
    let settings = DrawnSettings::draw(seed);
    let soak = Soak { seed, size, settings, program, environment, folder: folder.clone() };
    let history = soak::play(&soak, &plan)?;
    let violations = check(&history);
    if let (Some(keep), false) = (&wanted.keep, violations.is_empty()) {
        let kept = keep.join(format!("seed-{seed}"));
        std::fs::create_dir_all(keep)?;
        let _ = std::fs::remove_dir_all(&kept);
        std::fs::write(folder.join("history.json"), serde_json::to_vec(&history)?)?;
        std::fs::write(folder.join("plan.json"), serde_json::to_vec(&plan)?)?;
        copy(&folder, &kept)?;
    }
    let _ = std::fs::remove_dir_all(&folder);
    Ok(Played { plan, history, violations })
}

/// Copies a folder: where it is kept may be another disk.
fn copy(from: &Path, to: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        let kind = entry.file_type()?;
        if kind.is_dir() {
            copy(&entry.path(), &target)?;
        } else if kind.is_file() {
            std::fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

/// Leaves out one fault after another, as long as the seed still breaks a promise without it.
fn reduced(wanted: &Wanted, size: Size, seed: u64, played: Played) -> Result<Played, Failure> {
    let mut least = played;
    let mut entry = 0;
    while entry < least.plan.faults.len() {
        let fewer = play_plan(wanted, size, seed, least.plan.without(entry))?;
        if fewer.violations.is_empty() {
            entry += 1;
        } else {
            least = fewer;
        }
    }
    Ok(least)
}

fn report(seed: u64, played: &Played) {
    let shares = Shares::of(&played.history);
    let names: Vec<String> = played.plan.faults.iter().map(|f| format!("{:?}", f.kind)).collect();
    let settings = DrawnSettings::draw(seed);
    let lag = played.history.lag / 1000;
    let mut text = format!(
        "seed {seed} ({settings}): {} requests, {} served, {} refused, {} failed, {} broken, late by {lag} ms [{}]",
        shares.asked,
        shares.served,
        shares.refused,
        shares.failed,
        played.violations.len(),
        names.join(" ")
    );
    if !played.violations.is_empty() {
        played.plan.faults.iter().for_each(|fault| text += &format!("\n    {fault}"));
    }
    for violation in played.violations.iter().take(MOST_LINES) {
        text += &format!("\n  {violation}");
    }
    if let Some(id) = played.violations.iter().find_map(|v| v.id.as_deref()) {
        timeline(&played.history, id).iter().for_each(|line| text += &format!("\n      {line}"));
    }
    println!("{text}");
}

fn judge(file: &Path) -> Result<(), Failure> {
    let history: History = serde_json::from_slice(&std::fs::read(file)?)?;
    let violations = check(&history);
    for violation in &violations {
        println!("{violation}");
        if let Some(id) = &violation.id {
            timeline(&history, id).iter().for_each(|line| println!("    {line}"));
        }
    }
    match violations.len() {
        0 => Ok(()),
        n => Err(Failure(format!("{n} promises broken"))),
    }
}
