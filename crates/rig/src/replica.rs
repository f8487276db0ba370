//! `rig replica`: what all members know alike, on real processes under drawn schedules with staff's words in them, and in
//! simulated time: promises, and how long a ban takes to all against loss and their number.

use crate::mesh;
use crate::report::{quantile, table, Failure, Outcome};
use crate::seeds::all;
use crate::Common;
use laurelroute_replica::defect::Planted;
use laurelroute_simulation::members::copies::play;
use laurelroute_simulation::members::Fleet;
use laurelroute_simulation::schedule::{spoken, Fault, Network};
use laurelroute_simulation::{Nanos, MS, S};

/// Servers that words are said on.
pub const SERVERS: u16 = 4;
/// Members in the drawn worlds.
const SIZES: [usize; 2] = [12, 5];
/// Bans of each figure, among few members and among many.
const BANS: [u64; 2] = [20, 6];

/// How long a ban takes to all members, and bytes a second a member at rest and in the second after it.
pub fn one_ban(members: usize, seed: u64, loss: f64) -> Option<(Nanos, f64, f64)> {
    let mut fleet = Fleet::new(members, seed, S);
    fleet.with_copies(Planted::default());
    fleet.settle(60 * S)?;
    fleet.apply(&Fault::Network(Network { loss, ..Network::default() }));
    fleet.run(4 * S);
    let sent = |fleet: &Fleet| fleet.sent().iter().sum::<u64>() as f64;
    let begun = sent(&fleet);
    fleet.run(4 * S);
    let rest = (sent(&fleet) - begun) / 4.0 / members as f64;
    let begun = sent(&fleet);
    fleet.apply(&Fault::Say((seed % members as u64) as u16, 1, true));
    fleet.run(S);
    let busy = (sent(&fleet) - begun) / members as f64;
    fleet.run(4 * S);
    Some(((*fleet.spread().first()?)?, rest, busy))
}

fn bans(outcome: &mut Outcome) {
    let mut rows = Vec::new();
    for (members, loss) in [(12, 0.0), (12, 0.1), (12, 0.3), (300, 0.0), (300, 0.1), (300, 0.3)] {
        let bans = BANS[usize::from(members > 100)];
        println!("{bans} bans among {members}, loss of {:.0}% ...", 100.0 * loss);
        let seen: Vec<_> = all(bans, |k| one_ban(members, 40 + k, loss)).into_iter().flatten().collect();
        let took: Vec<u64> = seen.iter().map(|(took, ..)| took / MS).collect();
        let mean =
            |of: fn(&(Nanos, f64, f64)) -> f64| seen.iter().map(of).sum::<f64>() / seen.len().max(1) as f64;
        let (median, slowest) = (quantile(took.clone(), 0.5), quantile(took, 1.0));
        rows.push(vec![
            members.to_string(),
            format!("{:.0}%", 100.0 * loss),
            seen.len().to_string(),
            median.to_string(),
            slowest.to_string(),
            format!("{:.0}", mean(|s| s.1)),
            format!("{:.0}", mean(|s| s.2)),
        ]);
        outcome.put(format!("ban_ms_slowest_{members}_loss{:.0}", 100.0 * loss), slowest as f64);
    }
    table(
        &[
            "members",
            "loss",
            "bans",
            "all have it, ms",
            "slowest",
            "B/s a member at rest",
            "in the second after",
        ],
        &rows,
    );
}

/// Simulated seeds; then real processes.
pub fn run(common: &Common, simulated: u64, wanted: &mesh::Wanted) -> Result<(), Failure> {
    let mut outcome = Outcome::default();
    if simulated > 0 {
        println!("{simulated} drawn schedules in simulated time ...");
        let played = all(simulated, |k| {
            let (seed, members) = (common.seed + k, SIZES[(k % 2) as usize]);
            (seed, members, play(members, seed, &spoken(seed, members, SERVERS), Planted::default()))
        });
        let broken: Vec<String> = played
            .iter()
            .flat_map(|(seed, m, v)| v.broken.iter().map(move |b| format!("seed {seed}, {m} members: {b}")))
            .collect();
        broken.iter().take(20).for_each(|b| println!("BROKEN {b}"));
        let equal: Vec<u64> = played.iter().map(|(.., v)| v.equal / MS).collect();
        outcome.put("simulated", simulated as f64);
        outcome.put("simulated_broken", broken.len() as f64);
        outcome.put("words", played.iter().map(|(.., v)| v.spread.len()).sum::<usize>() as f64);
        outcome.put("words_that_lost", played.iter().map(|(.., v)| v.lost).sum::<usize>() as f64);
        outcome.put("equal_ms_p99", quantile(equal.clone(), 0.99) as f64);
        outcome.put("equal_ms_slowest", quantile(equal, 1.0) as f64);
        bans(&mut outcome);
        if let Some(first) = broken.into_iter().next() {
            outcome.close("replica", common)?;
            return Err(Failure(first));
        }
    }
    if wanted.seeds == 0 {
        return outcome.close("replica", common);
    }
    mesh::play_all(common, wanted, |seed| spoken(seed, wanted.members, SERVERS), outcome, "replica")
}
