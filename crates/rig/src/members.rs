//! `rig members`: the fleet's members under drawn faults in simulated time, and what detection takes and costs by their number.

use crate::report::{quantile, table, Failure, Outcome};
use crate::seeds::all;
use crate::Common;
use laurelroute_membership::defect::Planted;
use laurelroute_simulation::members::{play, Fleet};
use laurelroute_simulation::schedule::{drawn, Fault};
use laurelroute_simulation::{Nanos, MS, S};
use std::path::Path;

/// Members in the drawn worlds.
const MEMBERS: usize = 12;
/// Sizes at which kills are timed.
const SIZES: [usize; 4] = [12, 30, 100, 300];
/// Kills at each size.
const KILLS: u64 = 60;

/// From a kill until the first and the last member has a view without it, in milliseconds, and bytes a second a member at rest.
fn one_kill(members: usize, seed: u64) -> Option<(u64, u64, f64)> {
    let mut fleet = Fleet::new(members, seed, S);
    fleet.settle(60 * S)?;
    fleet.run(3 * S);
    let sent: u64 = fleet.sent().iter().sum();
    fleet.run(4 * S + (seed % 25) * 10 * MS);
    let rate = (fleet.sent().iter().sum::<u64>() - sent) as f64 / (4.0 + (seed % 25) as f64 / 100.0);
    let killed = (seed * 7 % members as u64) as u16;
    let begun = fleet.now;
    fleet.apply(&Fault::Kill(killed));
    fleet.settle(20 * S)?;
    let noticed = |seat| {
        let views = fleet.views(seat);
        views.iter().find(|(at, v)| *at > begun && !v.members.contains_key(&killed)).map(|(at, _)| at - begun)
    };
    let times: Vec<Nanos> = fleet.seats().into_iter().filter(|s| *s != killed).filter_map(noticed).collect();
    Some((times.iter().min()? / MS, times.iter().max()? / MS, rate / members as f64))
}

/// Bytes a second that a member sends at rest; `None` where the members do not settle.
pub fn rest(members: usize, seed: u64) -> Option<f64> {
    let mut fleet = Fleet::new(members, seed, S);
    fleet.settle(60 * S)?;
    fleet.run(3 * S);
    let sent: u64 = fleet.sent().iter().sum();
    fleet.run(4 * S);
    Some((fleet.sent().iter().sum::<u64>() - sent) as f64 / 4.0 / members as f64)
}

/// Members that are put out though they run, in a minute of loss with one pause of up to two seconds.
fn rough_minute(seed: u64, loss: f64) -> usize {
    let mut fleet = Fleet::new(MEMBERS, seed, S);
    if fleet.settle(30 * S).is_none() {
        return MEMBERS;
    }
    fleet.apply(&Fault::Network(crate::compare::network(loss)));
    for k in 0..6 {
        fleet.run(3 * S);
        let lasts = (seed * 37 + k * 331) % 2_000 * MS;
        fleet.apply(&Fault::Pause(((seed + 5 * k) % MEMBERS as u64) as u16, lasts));
    }
    fleet.run(5 * S);
    fleet.removals.len()
}

/// What is to be played.
pub struct Wanted<'a> {
    /// How many seeds.
    pub seeds: u64,
    /// How many of the sizes.
    pub sizes: usize,
    /// Beside others.
    pub compare: bool,
    /// A picture of that.
    pub svg: Option<&'a Path>,
}

/// Drawn schedules, kills by size, and rough minutes.
pub fn run(common: &Common, wanted: &Wanted<'_>) -> Result<(), Failure> {
    let (seeds, sizes) = (wanted.seeds, wanted.sizes);
    println!("{seeds} drawn schedules, {MEMBERS} members ...");
    let played = all(seeds, |k| {
        let seed = common.seed + k;
        (seed, play(MEMBERS, seed, &drawn(seed, MEMBERS), Planted::default()))
    });
    let broken: Vec<String> = played
        .iter()
        .flat_map(|(seed, v)| v.broken.iter().map(move |b| format!("seed {seed}: {b}")))
        .collect();
    broken.iter().take(20).for_each(|b| println!("BROKEN {b}"));
    let agreed: Vec<u64> = played.iter().map(|(_, v)| v.agreed / MS).collect();
    let most = played.iter().map(|(_, v)| v.most).fold(0.0, f64::max);
    println!("{seeds} rough stretches of 23 s, loss of 20%, pauses of up to 2 s ...");
    let wrongful: usize = all(seeds, |k| rough_minute(common.seed + k, 0.2)).into_iter().sum();
    let mut outcome = Outcome::default();
    outcome.put("seeds", seeds as f64);
    outcome.put("broken", broken.len() as f64);
    outcome.put("agreed_ms_median", quantile(agreed.clone(), 0.5) as f64);
    outcome.put("agreed_ms_slowest", quantile(agreed, 1.0) as f64);
    outcome.put("most_of_one_whole", most);
    outcome.put("wrongful", wrongful as f64);
    let mut rows = Vec::new();
    for members in SIZES.into_iter().take(sizes) {
        println!("{KILLS} kills among {members} ...");
        let kills: Vec<_> =
            all(KILLS, |k| one_kill(members, common.seed + k)).into_iter().flatten().collect();
        let first: Vec<u64> = kills.iter().map(|k| k.0).collect();
        let last: Vec<u64> = kills.iter().map(|k| k.1).collect();
        let rate = kills.iter().map(|k| k.2).sum::<f64>() / kills.len().max(1) as f64;
        rows.push(vec![
            members.to_string(),
            kills.len().to_string(),
            quantile(first.clone(), 0.5).to_string(),
            quantile(first.clone(), 0.99).to_string(),
            quantile(last.clone(), 0.5).to_string(),
            quantile(last.clone(), 0.99).to_string(),
            format!("{rate:.0}"),
        ]);
        outcome.put(format!("first_ms_p99_{members}"), quantile(first, 0.99) as f64);
        outcome.put(format!("last_ms_p99_{members}"), quantile(last, 0.99) as f64);
        outcome.put(format!("bytes_a_second_{members}"), rate);
    }
    table(&["members", "kills", "first ms", "p99", "last ms", "p99", "B/s a member"], &rows);
    if wanted.compare {
        crate::compare::run(&mut outcome, common.seed, wanted.svg)?;
    }
    outcome.close("members", common)?;
    match broken.into_iter().next() {
        Some(first) => Err(Failure(first)),
        None if wrongful > 0 => Err(Failure(format!("{wrongful} members put out though they ran"))),
        None => Ok(()),
    }
}
