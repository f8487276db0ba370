//! `rig mesh`: several real processes joined by relays, under schedules of faults, with a checker over what they wrote.

use crate::report::{median, Failure, Outcome};
use crate::seeds::at_a_time;
use crate::{Common, AS_PROGRAM};
use laurelroute_membership::defect::Defect;
use laurelroute_replica::defect as copies;
use laurelroute_simulation::schedule::{drawn, read, shortest, write, Schedule};
use laurelroute_testkit::mesh::{play, Setup, Verdict};
use std::path::{Path, PathBuf};

/// What is done to real processes, beside what is drawn.
#[derive(Debug, clap::Args)]
pub struct Faults {
    /// A schedule to play instead of drawn ones.
    #[arg(long, value_name = "FILE")]
    pub schedule: Option<PathBuf>,
    /// Has all processes do something wrong. Of the members: NoRefutation, NoSelfDoubt, LifeComesBack or SmallerCount; of their
    /// copies: WallClock, ForgetsEarly, SecondWriter or ReadyEarly.
    #[arg(long, value_name = "DEFECT")]
    pub planted: Option<String>,
    /// Cuts the first schedule that breaks something down to the shortest that still does.
    #[arg(long)]
    pub shortest: bool,
}

/// What is to be played.
pub struct Wanted {
    /// How many seeds.
    pub seeds: u64,
    /// Processes.
    pub members: usize,
    /// What is done to them.
    pub faults: Faults,
    /// Beds at a time.
    pub beds: usize,
}

fn line(seed: u64, verdict: &Verdict) -> String {
    let agreed = verdict.agreed.map_or("never".to_owned(), |t| format!("{:.2} s", t.as_secs_f64()));
    let (served, refused, failed) = verdict.served;
    format!(
        "seed {seed}: agreed after {agreed}, {} views, at most {:.3} of one whole, {served} served, {refused} refused, {failed} failed, {} lost, {} datagrams",
        verdict.views, verdict.most, verdict.lost, verdict.carried
    )
}

/// Plays the seeds.
pub fn run(common: &Common, wanted: &Wanted) -> Result<(), Failure> {
    play_all(common, wanted, |seed| drawn(seed, wanted.members), Outcome::default(), "mesh")
}

/// Plays the seeds with schedules drawn like this.
pub fn play_all(
    common: &Common,
    wanted: &Wanted,
    drawn: impl Fn(u64) -> Schedule + Sync,
    mut outcome: Outcome,
    name: &str,
) -> Result<(), Failure> {
    std::env::set_var(AS_PROGRAM, "1");
    let program = std::env::current_exe()?;
    let defects: Vec<String> = Defect::ALL
        .iter()
        .map(|d| format!("{d:?}"))
        .chain(copies::Defect::ALL.iter().map(|d| format!("{d:?}")))
        .collect();
    if let Some(name) = wanted.faults.planted.as_ref().filter(|n| !defects.contains(n)) {
        return Err(Failure(format!("`{name}` is no defect; known are {}", defects.join(", "))));
    }
    let named = match &wanted.faults.schedule {
        Some(file) => Some(read(&std::fs::read_to_string(file)?)?),
        None => None,
    };
    let schedule = |seed| named.clone().unwrap_or_else(|| drawn(seed));
    let setup = Setup { members: wanted.members, planted: wanted.faults.planted.clone(), ..Setup::default() };
    let played = at_a_time(wanted.beds.max(1), wanted.seeds, |k| {
        let seed = common.seed + k;
        let verdict = play(&program, &setup, seed, &schedule(seed));
        println!("{}", line(seed, &verdict));
        verdict.broken.iter().for_each(|b| println!("  BROKEN {b}"));
        (seed, verdict)
    });
    let broken: Vec<&(u64, Verdict)> = played.iter().filter(|(_, v)| !v.broken.is_empty()).collect();
    let agreed: Vec<f64> = played.iter().filter_map(|(_, v)| Some(v.agreed?.as_secs_f64())).collect();
    outcome.put("seeds", wanted.seeds as f64);
    outcome.put("members", wanted.members as f64);
    outcome.put("broken", broken.len() as f64);
    outcome.put("agreed_s_median", median(agreed.clone()));
    outcome.put("agreed_s_slowest", agreed.into_iter().fold(0.0, f64::max));
    outcome.put("most_of_one_whole", played.iter().map(|(_, v)| v.most).fold(0.0, f64::max));
    outcome.put("served", played.iter().map(|(_, v)| v.served.0).sum::<usize>() as f64);
    outcome.put("lost", played.iter().map(|(_, v)| v.lost).sum::<usize>() as f64);
    let words = |of: fn(&(usize, usize)) -> usize| played.iter().map(|(_, v)| of(&v.words)).sum::<usize>();
    if words(|w| w.0) > 0 {
        let equal = played.iter().filter_map(|(_, v)| Some(v.equal?.as_secs_f64())).fold(0.0, f64::max);
        outcome.put("words", words(|w| w.0) as f64);
        outcome.put("words_kept_by_others_at_once", words(|w| w.1) as f64);
        outcome.put("equal_s_slowest", equal);
    }
    outcome.close(name, common)?;
    let Some((seed, verdict)) = broken.first() else { return Ok(()) };
    show(&program, &setup, *seed, schedule(*seed), wanted.faults.shortest);
    Err(Failure(format!("seed {seed}: {}", verdict.broken[0])))
}

/// The schedule that broke something, or the shortest that still does.
fn show(program: &Path, setup: &Setup, seed: u64, schedule: Schedule, cut_down: bool) {
    let breaks = |s: &[_]| !play(program, setup, seed, &s.to_vec()).broken.is_empty();
    let schedule = if cut_down { shortest(&schedule, breaks) } else { schedule };
    println!("schedule of seed {seed}:\n{}", write(&schedule));
}
