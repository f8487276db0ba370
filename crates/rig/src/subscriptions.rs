//! `rig subscriptions`: services by subscription in simulated time under drawn faults, by many seeds.

use crate::report::{quantile, table, Failure, Outcome};
use crate::seeds::at_a_time;
use crate::Common;
use laurelroute_simulation::services::{play, play_restart_beside_moves, Defect, Figures};
use laurelroute_simulation::MS;

/// Plays so many seeds, with a defect planted where one is named.
pub fn run(
    common: &Common,
    seeds: u64,
    planted: Option<&str>,
    restarts: bool,
    workers: usize,
) -> Result<(), Failure> {
    let names: Vec<&str> = Defect::ALL.iter().map(|(name, _)| *name).collect();
    let defect = match planted {
        None => None,
        Some(name) => Some(
            Defect::ALL
                .into_iter()
                .find(|(known, _)| *known == name)
                .map(|(_, defect)| defect)
                .ok_or_else(|| Failure(format!("no defect `{name}`; there are {}", names.join(", "))))?,
        ),
    };
    let workers = match workers {
        0 => std::thread::available_parallelism().map_or(1, |n| n.get()),
        n => n,
    };
    println!("{seeds} drawn schedules in simulated time, {workers} at a time ...");
    let play = |seed| if restarts { play_restart_beside_moves(seed) } else { play(seed, defect) };
    let played = at_a_time(workers, seeds, |k| (common.seed + k, play(common.seed + k)));
    let broken: Vec<&String> = played.iter().filter_map(|(_, v)| v.broken.first()).collect();
    broken.iter().take(40).for_each(|b| println!("BROKEN {b}"));
    let equal: Vec<u64> = played.iter().map(|(_, v)| v.equal / MS).collect();
    let sum = |of: fn(&Figures) -> u64| played.iter().map(|(_, v)| of(&v.figures)).sum::<u64>() as f64;
    let most =
        |of: fn(&Figures) -> usize| played.iter().map(|(_, v)| of(&v.figures)).max().unwrap_or(0) as f64;
    let figures = [
        ("seeds", seeds as f64),
        ("broken", broken.len() as f64),
        ("equal_ms_median", quantile(equal.clone(), 0.5) as f64),
        ("equal_ms_p99", quantile(equal.clone(), 0.99) as f64),
        ("equal_ms_slowest", quantile(equal, 1.0) as f64),
        ("requests", sum(|f| f.requests)),
        ("unknown", sum(|f| f.unknown)),
        ("no_room", sum(|f| f.no_room)),
        ("services_dropped", sum(|f| f.dropped)),
        ("connections", sum(|f| f.connections)),
        ("crowded", sum(|f| f.refused)),
        ("unresponsive", sum(|f| f.unresponsive)),
        ("updates", sum(|f| f.updates)),
        ("update_bytes", sum(|f| f.bytes)),
        ("not_taken_in", sum(|f| f.refusals)),
        ("wholes", sum(|f| f.wholes)),
        ("hints", sum(|f| f.hints)),
        ("asked_in_force", sum(|f| f.asked)),
        ("in_force", sum(|f| f.complete)),
        ("most_bytes_got_in_10_s", most(|f| f.most_got)),
        ("most_bytes_said_in_10_s", most(|f| f.most_gave)),
    ];
    let mut outcome = Outcome::default();
    let rows: Vec<Vec<String>> =
        figures.iter().map(|(key, value)| vec![(*key).to_owned(), format!("{value:.0}")]).collect();
    table(&["what", "figure"], &rows);
    figures.into_iter().for_each(|(key, value)| outcome.put(key, value));
    outcome.close("subscriptions", common)?;
    match (broken.first(), planted) {
        (None, Some(name)) => Err(Failure(format!("`{name}` was not found in {seeds} seeds"))),
        (Some(first), None) => Err(Failure((*first).clone())),
        (Some(_), Some(_)) | (None, None) => Ok(()),
    }
}
