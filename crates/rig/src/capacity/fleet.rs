//! Members of a fleet and their copies of what all know: bytes a second by their number, in simulated time.

use super::{Measured, SIMULATED};
use crate::members::rest;
use crate::replica::one_ban;
use crate::report::Failure;
use crate::seeds::all;

/// Members.
const SIZES: [usize; 4] = [12, 30, 100, 300];
/// Seeds at each size.
const SEEDS: u64 = 4;

fn mean(figures: impl Iterator<Item = f64> + Clone) -> f64 {
    figures.clone().sum::<f64>() / figures.count() as f64
}

/// The slopes.
pub fn measure(seed: u64) -> Result<Vec<Measured>, Failure> {
    let grows = "members of one fleet";
    let mut member = Measured::power("member.bytes", grows, "bytes", SIMULATED);
    let mut copy = Measured::power("copy.bytes", grows, "bytes", SIMULATED);
    let mut ban = Measured::power("copy.ban_bytes", grows, "bytes", SIMULATED);
    for size in SIZES {
        println!("  {size} members ...");
        let settled = || Failure(format!("{size} members do not settle"));
        let rests: Option<Vec<f64>> = all(SEEDS, |k| rest(size, seed + k)).into_iter().collect();
        member.add(size, mean(rests.ok_or_else(settled)?.into_iter()));
        let bans: Option<Vec<_>> = all(SEEDS, |k| one_ban(size, seed + k, 0.0)).into_iter().collect();
        let bans = bans.ok_or_else(settled)?;
        copy.add(size, mean(bans.iter().map(|b| b.1)));
        ban.add(size, mean(bans.iter().map(|b| b.2)));
    }
    Ok(vec![member, copy, ban])
}
