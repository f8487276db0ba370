//! The settings of a shift and their validation. Error positions in the file are added by the caller.

use crate::analysis::Bounds;
use crate::cells::{Cells, CellsError, Dimension};
use crate::pool::Pools;
use crate::Nanos;
use wildmatch::WildMatch;

/// The default steps, as shares.
pub const STEPS: [f64; 5] = [0.01, 0.05, 0.20, 0.50, 1.0];
/// Maximum number of steps.
pub const MAX_STEPS: usize = 32;

/// Groups tenants by patterns of their names; the first matching group counts, `other` is for the rest.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// Its name, such as `shire`.
    pub name: String,
    /// Groups by name.
    pub groups: Vec<(String, Vec<WildMatch>)>,
}

impl Split {
    /// The index of a tenant's group; that of `other` if none matches.
    pub fn group_index(&self, tenant: &str) -> usize {
        let at = self.groups.iter().position(|(_, patterns)| patterns.iter().any(|p| p.matches(tenant)));
        at.unwrap_or(self.groups.len())
    }

    fn dimension(&self) -> Dimension {
        let names = self.groups.iter().map(|(name, _)| name.clone());
        Dimension { name: self.name.clone(), values: names.chain(["other".to_owned()]).collect() }
    }
}

/// The reaction to an alarm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnAlarm {
    /// Undo the shift.
    Undo,
    /// Hold, and wait for an operator.
    Hold,
}

/// The settings of a shift.
#[derive(Clone, Debug, PartialEq)]
pub struct ShiftSettings {
    /// Its name, which journals and commands refer to.
    pub name: String,
    /// Its pools.
    pub pools: Pools,
    /// The share of each step, rising from above 0 to 1.
    pub steps: Vec<f64>,
    /// Number of steps by which each class lags behind, by class index.
    pub class_delays: Vec<usize>,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Groupings of tenants.
    pub splits: Vec<Split>,
    /// The statistical bounds.
    pub bounds: Bounds,
    /// The smallest fault of a class that a step must be able to detect before the next one.
    pub min_detectable_fault: f64,
    /// Minimum duration of a step.
    pub min_step_time: Nanos,
    /// Minimum duration of the last step, with all but the holdback: some faults need time to show.
    pub final_step_time: Nanos,
    /// The part of each class that stays with the old pool until the shift is finished, for comparison.
    pub holdback: f64,
    /// An automatic hold ends after its cause has been absent for this time.
    pub settle_time: Nanos,
    /// A start within this time after an undo has to be forced.
    pub restart_cooldown: Nanos,
    /// Requests per second that a server of size 1 can carry; `None` if not configured.
    pub server_rate: Option<f64>,
    /// The reaction to an alarm.
    pub on_alarm: OnAlarm,
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ShiftError {
    /// The name is empty or not usable as a file name.
    #[error("`name` has to have 1 to 64 letters, digits, dots, dashes or underscores")]
    Name,
    /// A predicate without a condition matches every server.
    #[error("`{0}` names no condition, so that it would match all servers")]
    Everything(&'static str),
    /// Both predicates are the same.
    #[error("`old` and `new` match the same servers")]
    Same,
    /// The steps do not rise from above 0 to 1, or are too many.
    #[error("`steps` have to rise from above 0 to 100 percent, {MAX_STEPS} at most")]
    Steps,
    /// A number out of its range.
    #[error("`{0}` has to be {1}")]
    Range(&'static str, &'static str),
    /// The cells cannot be created.
    #[error("cells: {0}")]
    Cells(#[from] CellsError),
}

impl ShiftSettings {
    /// Standard settings for these pools.
    pub fn new(name: &str, pools: Pools, classes: Vec<String>, zones: Vec<String>) -> ShiftSettings {
        ShiftSettings {
            name: name.to_owned(),
            pools,
            steps: STEPS.to_vec(),
            class_delays: vec![0; classes.len()],
            classes,
            zones,
            splits: Vec::new(),
            bounds: Bounds { false_alarm_rate: 0.01, tolerance: 0.002, min_outcomes: 30 },
            min_detectable_fault: 0.05,
            min_step_time: 2_000_000_000,
            final_step_time: 900_000_000_000,
            holdback: 0.02,
            settle_time: 5_000_000_000,
            restart_cooldown: 600_000_000_000,
            server_rate: None,
            on_alarm: OnAlarm::Undo,
        }
    }

    /// Checks the settings.
    pub fn validate(&self) -> Result<(), ShiftError> {
        let letter = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        if self.name.is_empty() || self.name.len() > 64 || !self.name.chars().all(letter) {
            return Err(ShiftError::Name);
        }
        for (key, predicate) in [("old", &self.pools.old), ("new", &self.pools.new)] {
            if predicate.is_empty() {
                return Err(ShiftError::Everything(key));
            }
        }
        if self.pools.old == self.pools.new {
            return Err(ShiftError::Same);
        }
        let rising = self.steps.windows(2).all(|w| w[0] < w[1]);
        let ends = self.steps.first().is_some_and(|s| *s > 0.0) && self.steps.last() == Some(&1.0);
        if !rising || !ends || self.steps.len() > MAX_STEPS {
            return Err(ShiftError::Steps);
        }
        let within = |value: f64, low: f64, high: f64| value > low && value < high;
        if !within(self.bounds.false_alarm_rate, 0.0, 0.5) {
            return Err(ShiftError::Range("false_halts", "above 0 and below 0.5"));
        }
        if !(0.0..0.5).contains(&self.bounds.tolerance) {
            return Err(ShiftError::Range("tolerance", "from 0 to below 0.5"));
        }
        if !within(self.min_detectable_fault, self.bounds.tolerance, 1.0) {
            return Err(ShiftError::Range("least_fault", "above `tolerance` and below 1"));
        }
        if !within(self.holdback, 0.0, 0.5) {
            return Err(ShiftError::Range("keep_back", "above 0 and below 50 percent"));
        }
        if self.server_rate.is_some_and(|r| !(r.is_finite() && r > 0.0)) {
            return Err(ShiftError::Range("box_rate", "above 0"));
        }
        if self.class_delays.iter().any(|b| *b > MAX_STEPS) {
            return Err(ShiftError::Range("behind", "32 steps at most"));
        }
        self.cells().map(drop).map_err(ShiftError::Cells)
    }

    /// The cells that are compared.
    pub fn cells(&self) -> Result<Cells, CellsError> {
        let named = |name: &str, values: Vec<String>| Dimension { name: name.to_owned(), values };
        let mut dimensions = vec![
            named("class", self.classes.clone()),
            named("zone", self.zones.clone()),
            named("repeat", vec!["first".to_owned(), "again".to_owned()]),
        ];
        dimensions.extend(self.splits.iter().map(Split::dimension));
        Cells::new(dimensions)
    }

    /// The number of steps, including those by which the last class lags behind.
    pub fn step_count(&self) -> usize {
        self.steps.len() + self.class_delays.iter().copied().max().unwrap_or(0)
    }

    /// The share of each class at a step.
    pub fn shares(&self, step: usize) -> Vec<f64> {
        let share = |behind: &usize| match step.checked_sub(*behind) {
            Some(index) => self.steps[index.min(self.steps.len() - 1)],
            None => 0.0,
        };
        self.class_delays.iter().map(share).collect()
    }

    /// The salt of split positions, derived from the name.
    pub fn salt(&self) -> u64 {
        let crc = u64::from(crc32fast::hash(self.name.as_bytes()));
        crc << 32 | crc
    }
}
