//! What answers really took where a queue was expected, so that admission goes by what is observed.
//!
//! The queue estimate ranks servers: it adds up all that may make one slower than another, and one slow
//! answer counts in it for its server, for the fleet and for what waits there. For ranking it only has to
//! be in the right order. Whether a request is worth its work is another question: where peers are slow on
//! the wire and not in their work, answers take far less than the sum says. So the expected answer time is
//! read off a line through what was met lately (least squares, fading), which in a jam is the sum itself.

use super::*;

/// Weight of a new answer in a slope and the line. Lighter ones follow a jam too late, heavier ones chance.
const WEIGHT: f64 = 0.01;
/// Spread of the queues that are taken to have been met before any answer.
const FIRST_SPREAD: f64 = 1.0;

/// How much later answers come for each unit of what was known of them ahead (least squares, fading).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Slope {
    /// Of what was known ahead.
    pub(super) mean: f64,
    spread: f64,
    /// How both go together.
    both: f64,
}

impl Slope {
    /// An answer came so much later than usual.
    pub(super) fn met(&mut self, known: f64, late: f64) {
        let far = known - self.mean;
        self.mean += far * WEIGHT;
        self.spread += (far * far - self.spread) * WEIGHT;
        self.both += (far * late - self.both) * WEIGHT;
    }

    /// Nothing where nothing has differed yet.
    pub(super) fn rise(&self) -> f64 {
        (self.both / self.spread.max(f64::MIN_POSITIVE)).max(0.0)
    }
}

/// Expected and real answer times in mean responses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Line {
    slope: Slope,
    real: f64,
}

impl Default for Line {
    /// Before any answer what is expected is what comes.
    fn default() -> Self {
        Line { slope: Slope { mean: 1.0, spread: FIRST_SPREAD, both: FIRST_SPREAD }, real: 1.0 }
    }
}

impl Line {
    /// An answer has come, or was waited for in vain. A single one counts for so many expected ones at most.
    pub(super) fn met(&mut self, expected: f64, real: f64) {
        let real = real.min(SURGE * expected.max(1.0));
        let late = real - self.real;
        self.real += late * WEIGHT;
        self.slope.met(expected, late);
    }

    /// The answer time that a queue tells of. Never more than the queue: what it adds up is all there is.
    pub(super) fn read(&self, queue: f64) -> f64 {
        let rise = self.slope.rise().min(1.0);
        (self.real + rise * (queue - self.slope.mean)).max(0.0).min(queue)
    }
}
