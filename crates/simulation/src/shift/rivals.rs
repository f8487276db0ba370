//! What others do: steps by the clock judged by averages over minutes, and a canary of a fixed share.

use super::{Fault, Kind, Where, CLASSES, SHIRES};
use crate::draw::Draw;

/// A way to bring in a new pool by the clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rival<'a> {
    /// Shares, each for this many seconds.
    pub steps: &'a [f64],
    /// See there.
    pub seconds: f64,
    /// How much the new pool's average over all requests may be worse than the old one's.
    pub allowed: f64,
}

/// Steps as of tools that step by the clock, and a canary at 5% for five minutes.
pub const CLOCK: Rival<'static> = Rival { steps: &[0.01, 0.05, 0.2, 0.5, 1.0], seconds: 60.0, allowed: 0.01 };
/// See there.
pub const CANARY: Rival<'static> = Rival { steps: &[0.05, 1.0], seconds: 300.0, allowed: 0.01 };
/// After the last step nobody compares any longer; a fault that got so far is found by those whom it strikes.
const RUNG_UP: f64 = 900.0;

/// Whether a rival finds a fault, after how many seconds, and how many requests it has struck by then.
pub fn play(rival: &Rival<'_>, fault: &Fault, rate: f64, draw: &mut Draw) -> (bool, f64, f64) {
    let part = share(fault);
    let (mut hurt, mut seconds) = (0.0, 0.0);
    for &step in rival.steps {
        let sent = rate * step * rival.seconds;
        hurt += sent * part * fault.size;
        seconds += rival.seconds;
        let compared = step < 1.0;
        // The average of so many requests has its chance: a sum of twelve evens stands in for a normal deviation.
        let chance = (0..12).map(|_| draw.unit()).sum::<f64>() - 6.0;
        let size = if fault.kind == Kind::Slow { fault.size * 0.5 } else { fault.size };
        let worse = part * size + chance * (0.005 / sent.max(1.0)).sqrt();
        if compared && worse > rival.allowed {
            return (true, seconds, hurt);
        }
    }
    hurt += rate * RUNG_UP * part * fault.size;
    (false, seconds + RUNG_UP, hurt)
}

/// The part of all requests that a fault may strike.
pub fn share(fault: &Fault) -> f64 {
    match fault.at {
        Where::All => 1.0,
        Where::Class(c) => CLASSES[c].1,
        Where::Shire(_) => 1.0 / SHIRES as f64,
        Where::Both(c, _) => CLASSES[c].1 / SHIRES as f64,
        Where::Repeats => 0.04,
        Where::Boxes(n) => n as f64 / 40.0,
        Where::Quiet => 0.3,
    }
}
