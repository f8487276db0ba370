//! `rig mesh`: several real processes joined by relays, under schedules of faults, with a checker over what they wrote.

use crate::report::{median, table, Failure, Outcome};
use crate::seeds::at_a_time;
use crate::{Common, AS_PROGRAM};
use laurelroute_membership::defect::Defect;
use laurelroute_replica::defect as copies;
use laurelroute_simulation::schedule::{read, shortest, strained, write, Schedule};
use laurelroute_testkit::mesh::{play, Mesh, Setup, Verdict};
use laurelroute_testkit::process::processor;
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::wire::Wire;
use std::path::{Path, PathBuf};
use std::time::Duration;

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

/// Sizes of fleets whose processor time is taken.
const SIZES: [usize; 4] = [3, 6, 12, 24];

/// What a member costs while nothing is done to the fleet and nobody asks it for anything: processor time and datagrams a
/// second, beside a node that is no member.
pub fn rest(common: &Common) -> Result<(), Failure> {
    std::env::set_var(AS_PROGRAM, "1");
    let program = std::env::current_exe()?;
    let lasts = Duration::from_secs_f64(common.seconds);
    let alone = Bed::wishing(&program, Wire::Http, 4, Wishes::default());
    let before = processor(alone.node.pid());
    std::thread::sleep(lasts);
    let taken = processor(alone.node.pid()).saturating_sub(before);
    let none = taken.as_secs_f64() * 1e3 / lasts.as_secs_f64();
    drop(alone);
    let mut outcome = Outcome::default();
    outcome.put("no_member_ms_a_s", none);
    let mut rows = vec![vec!["no member".to_owned(), format!("{none:.2}"), "-".to_owned(), "-".to_owned()]];
    for members in SIZES {
        let mut mesh = Mesh::start(&program, &Setup { members, clients: 0, ..Setup::default() }, common.seed);
        // What follows from the founding is over.
        mesh.run(Duration::from_secs(3));
        let carried = mesh.relays.carried();
        let taken = mesh.processor(lasts);
        let datagrams = (mesh.relays.carried() - carried) as f64 / members as f64 / lasts.as_secs_f64();
        let millis: Vec<f64> = taken.iter().map(|t| t.as_secs_f64() * 1e3).collect();
        let most = millis.iter().copied().fold(0.0, f64::max);
        rows.push(vec![
            members.to_string(),
            format!("{:.2}", median(millis.clone())),
            format!("{most:.2}"),
            format!("{datagrams:.0}"),
        ]);
        outcome.put(format!("members_{members}_ms_a_s"), median(millis));
        outcome.put(format!("members_{members}_datagrams_a_s"), datagrams);
    }
    table(&["members", "processor ms a s", "most", "datagrams a s"], &rows);
    outcome.close("mesh-rest", common)
}

/// Plays the seeds.
pub fn run(common: &Common, wanted: &Wanted) -> Result<(), Failure> {
    play_all(common, wanted, |seed| strained(seed, wanted.members), Outcome::default(), "mesh")
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
