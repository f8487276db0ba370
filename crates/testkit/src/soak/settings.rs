//! What the nodes' settings say in a soak, as its seed draws it.

use crate::Random;
use std::fmt;

/// Sets these draws apart from those of the faults.
const STREAM: u64 = 0x0073_6574_7469_6e67;

/// Settings of all nodes of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawnSettings {
    /// Lists come only to those who ask for them.
    pub asked: bool,
    /// A slow safe request may be sent a second time while the first is under way.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancelling: bool,
    /// Attempts of one request at most.
    pub max_attempts: u32,
    /// How long a client of any class waits at most, in milliseconds.
    pub deadline_ms: u64,
    /// For how long servers drop the repeats of a keyed request, in milliseconds.
    pub window_ms: u64,
    /// A connection to a server that is not up after so many milliseconds has failed.
    pub connect_timeout_ms: u64,
}

impl DrawnSettings {
    /// Those of a seed. Odd seeds ask for lists; one in four seeds allows second copies.
    pub fn draw(seed: u64) -> DrawnSettings {
        let mut random = Random::new(seed ^ STREAM);
        let mut one_of = |choices: [u64; 4]| choices[random.below(choices.len())];
        DrawnSettings {
            asked: seed % 2 == 1,
            hedging: one_of([0, 0, 0, 1]) == 1,
            cancelling: one_of([0, 1, 1, 1]) == 1,
            max_attempts: one_of([2, 3, 3, 4]) as u32,
            deadline_ms: one_of([1_000, 2_000, 2_000, 3_000]),
            window_ms: one_of([500, 2_000, 2_000, 5_000]),
            connect_timeout_ms: one_of([100, 200, 200, 500]),
        }
    }
}

impl fmt::Display for DrawnSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lists = if self.asked { "asked" } else { "pushed" };
        let copies = if self.hedging { "second copies" } else { "no second copies" };
        let cancelling = if self.cancelling { "cancelling" } else { "not cancelling" };
        write!(
            f,
            "{lists}, {copies}, {cancelling}, {} attempts, {} ms, window {} ms, connect {} ms",
            self.max_attempts, self.deadline_ms, self.window_ms, self.connect_timeout_ms
        )
    }
}
