//! The changes of a stretch of a day, drawn from a seed: servers that are restarted (they drain, leave, and join under the same
//! name with a later start) and servers whose configuration changes. Pure.

use super::awaited::State;
use laurelroute_plan::scramble;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;

const DAY: f64 = 86_400.0;
/// Restarts and changes of configuration of an ordinary day at the size asked for, and its servers.
const RESTARTS: f64 = 50_000.0;
const CHANGES: f64 = 36_000.0;
const SERVERS: f64 = 180_000.0;
/// From a drain to the leaving, and from that to the return, in seconds; in a short stretch a quarter of it.
const PAUSE: f64 = 2.0;

/// One change of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Seconds after the beginning.
    pub at: f64,
    /// The server.
    pub server: usize,
    /// What it comes to.
    pub what: What,
}

/// What is done to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// It drains.
    Drain,
    /// It leaves.
    Leave,
    /// It is back, started now.
    Join,
    /// Its size changes.
    Size(f32),
}

impl What {
    /// The state that it brings about.
    pub fn applied(self, before: State, now_ms: u64) -> State {
        match self {
            What::Drain => State { phase: 1, ..before },
            What::Leave => State::GONE,
            // Two lives of a server never begin at the same moment.
            What::Join => State { phase: 0, born_ms: now_ms.max(before.born_ms + 1), share: 1.0 },
            What::Size(share) => State { share, ..before },
        }
    }
}

/// Draws the steps of so many seconds at `times` the ordinary day's rate, in order of time. A fleet of another size has its part
/// of the day's changes. Each server has at most one part in it.
pub fn drawn(seed: u64, servers: usize, seconds: f64, times: f64) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(scramble(seed ^ 0x7363_6865));
    let mut unit = || (f64::from(rng.next_u32()) + 0.5) / (f64::from(u32::MAX) + 1.0);
    let mut steps = Vec::new();
    let mut touched = HashSet::new();
    let part = servers as f64 / SERVERS;
    let pause = PAUSE.min(seconds / 4.0);
    for (a_day, restart) in [(RESTARTS, true), (CHANGES, false)] {
        let rate = a_day * part * times / DAY;
        let mut at = -unit().ln() / rate;
        while at < seconds {
            let server = ((unit() * servers as f64) as usize).min(servers - 1);
            if touched.insert(server) {
                let step = |at, what| Step { at, server, what };
                if restart {
                    steps.push(step(at, What::Drain));
                    steps.push(step(at + pause, What::Leave));
                    steps.push(step(at + 2.0 * pause, What::Join));
                } else {
                    // A listed size of 0.5 to 2, unlike the usual one.
                    steps.push(step(at, What::Size((0.5 + 1.5 * unit()) as f32)));
                }
            }
            at += -unit().ln() / rate;
        }
    }
    steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    steps
}
