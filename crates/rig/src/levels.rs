//! `rig faults` and `rig outage`: the promises of two levels, by many seeds.

use crate::report::{table, Failure, Outcome};
use crate::seeds::all;
use crate::{Common, AS_PROGRAM};
use laurelroute_simulation::boxes::Cold;
use laurelroute_simulation::faults::{drawn, HEALED};
use laurelroute_simulation::world::{Mode, Setup, World, BEGIN};
use laurelroute_simulation::{MS, S};
use laurelroute_testkit::outage::{self, Size};
use std::time::Duration;

/// How boxes start cold in all simulated worlds.
pub const COLD: Cold = Cold { from: 0.3, ramp: 10 * S, tip: 3.0, fall: 2 * S };
/// Agreement is owed within this after all is mended.
const AGREE_MS: u64 = 2_000;

fn setup(seed: u64) -> Setup {
    Setup {
        seed,
        mode: Mode::TwoLevel,
        forwarders: 3 + (seed % 5) as usize,
        planners: 1 + (seed % 3) as usize,
        speeds: (0..10 + seed as usize % 9).map(|k| [0.6, 1.0, 1.6][k % 3]).collect(),
        workers: 4,
        rate: 300.0,
        cap: Some(40),
        wanted: 8,
        cold: COLD,
        skew: 300 * MS,
    }
}

/// Runs one seed: what it broke first, and how long it took to agree, in milliseconds.
fn one(seed: u64) -> (Option<String>, u64) {
    let setup = setup(seed);
    let plan = drawn(seed, setup.forwarders, setup.planners, setup.speeds.len());
    let mut world = World::new(setup, plan);
    world.run_until(HEALED + 4 * S);
    let took = world.tally.apart_at.saturating_sub(BEGIN + HEALED) / MS;
    (world.tally.broken.first().cloned(), took)
}

/// Many seeds on all cores.
pub fn faults(common: &Common, seeds: u64) -> Result<(), Failure> {
    let seen = all(seeds, |k| (one(common.seed + k), common.seed + k));
    let broken: Vec<&String> = seen.iter().filter_map(|((broken, _), _)| broken.as_ref()).collect();
    let mut took: Vec<(u64, u64)> = seen.iter().map(|((_, took), seed)| (*took, *seed)).collect();
    took.sort_unstable();
    let at =
        |part: f64| took.get(((took.len() as f64 * part) as usize).min(took.len() - 1)).map_or(0, |t| t.0);
    let slowest = took.last().copied().unwrap_or_default();
    println!(
        "agreement after the mending: median {} ms, 99% {} ms, slowest {} ms (seed {})",
        at(0.5),
        at(0.99),
        slowest.0,
        slowest.1
    );
    broken.iter().take(10).for_each(|b| println!("BROKEN {b}"));
    let mut outcome = Outcome::default();
    outcome.put("seeds", seeds as f64);
    outcome.put("broken", broken.len() as f64);
    outcome.put("agree_ms_median", at(0.5) as f64);
    outcome.put("agree_ms_slowest", slowest.0 as f64);
    outcome.close("faults", common)?;
    if let Some(first) = broken.first() {
        return Err(Failure(first.to_string()));
    }
    if slowest.0 > AGREE_MS {
        return Err(Failure(format!("seed {} took {} ms to agree", slowest.1, slowest.0)));
    }
    Ok(())
}

/// Kills all planners under load, seed after seed.
pub fn outage(common: &Common, seeds: u64, forwarders: usize) -> Result<(), Failure> {
    std::env::set_var(AS_PROGRAM, "1");
    let program = std::env::current_exe()?;
    let size = Size { forwarders, boxes: 8, part: Duration::from_secs_f64(common.seconds) };
    let (mut rows, mut broken, mut slowest, mut least) = (Vec::new(), Vec::new(), 0.0f64, f64::INFINITY);
    for seed in common.seed..common.seed + seeds {
        let seen = outage::run(&program, seed, size);
        let converged = seen.converged.as_secs_f64();
        slowest = slowest.max(converged);
        least = least.min(seen.served[1] / seen.served[0]);
        rows.push(vec![
            seed.to_string(),
            format!("{:.4}", seen.served[0]),
            format!("{:.4}", seen.served[1]),
            format!("{:.3}", seen.rate[1] / seen.rate[0]),
            format!("{converged:.2}"),
            seen.broken.len().to_string(),
        ]);
        println!(
            "seed {seed}: served {:.4}, in the outage {:.4}, agreed after {converged:.2} s",
            seen.served[0], seen.served[1]
        );
        broken.extend(seen.broken.into_iter().map(|b| format!("seed {seed}: {b}")));
        if converged > AGREE_MS as f64 / 1e3 {
            broken.push(format!("seed {seed}: {converged:.2} s until all forwarders held the new plans"));
        }
    }
    table(&["seed", "served before", "in the outage", "rate", "agreed s", "broken"], &rows);
    let mut outcome = Outcome::default();
    outcome.put("seeds", seeds as f64);
    outcome.put("service_least", least);
    outcome.put("agreed_s_slowest", slowest);
    outcome.put("broken", broken.len() as f64);
    outcome.close("outage", common)?;
    match broken.first() {
        Some(first) => Err(Failure(first.clone())),
        None => Ok(()),
    }
}
