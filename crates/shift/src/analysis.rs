//! Compares the pools cell by cell with a sequential test that may be evaluated at any time.
//!
//! For each cell and each [`Signal`] there is an *e-process* for the hypothesis that in the new pool a request ends badly
//! no more often than in the old one over the same time, by more than a tolerance. Outcomes come in batches of `m` from
//! the old pool and `n` from the new one. With an estimate `a` of the old pool's rate, from earlier outcomes, and
//! `b = a + d (1 - a)`, a batch multiplies the e-process by
//!
//! ```text
//!   product over old outcomes of p(a) / p(c)  x  product over new outcomes of p(b) / p(c),    c = (m a + n b) / (m + n)
//! ```
//!
//! where `p(q)` is `q` for a bad outcome and `1 - q` for a good one. Whatever the true rate, if it is the same in both
//! pools (or lower in the new one) the expectation of this is at most 1: by the concavity of the logarithm its mean
//! logarithm is at most that of 1 (Turner, Ly, Grünwald: Generic E-variables for exact sequential k-sample tests, 2021).
//! The rate may differ from batch to batch, so a fault of both pools is no evidence. The tolerance `t` makes each
//! good outcome of the old pool count as bad with probability `t`, in expectation rather than by a draw. The mean over a
//! grid of `d` is an e-process again, and by Ville's inequality it ever reaches `1 / rate` with probability `rate` at
//! most. A cell's part of the rate is its [`Cells::weight`] over the number of signals, so that the rate holds for all
//! cells, signals and evaluations together, however they depend on each other.
//!
//! Assumed: which outcomes fall into one batch does not depend on how they ended. An attempt that hangs is counted when it
//! ends, in a later batch than one that fails at once; under the hypothesis that is so in both pools.
//!
//! Alternatives not chosen: mixture SPRT on the difference of means (needs the variance, and a common rate over time), CUSUM
//! (bounds the time between false alarms, not their number), Mann-Whitney on windows as in Kayenta (repeated evaluation
//! adds up its false alarms).

use crate::cells::Cells;
use crate::pool::Pool;
use std::collections::BTreeMap;

/// A kind of bad outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Signal {
    /// An error, a reset, a refused connection or a malformed response.
    Failed,
    /// No response in time, or one after the class's latency target.
    Late,
    /// Slower than nine in ten of the old pool's responses in this class.
    Slow,
    /// Rejected by a full server.
    Refused,
}

/// All signals, in their order.
pub const SIGNALS: [Signal; 4] = [Signal::Failed, Signal::Late, Signal::Slow, Signal::Refused];

/// A set of signals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signals(u8);

impl Signals {
    /// The set of all signals.
    pub const ALL: Signals = Signals(0b1111);

    /// Adds a signal.
    pub fn with(self, signal: Signal) -> Signals {
        Signals(self.0 | 1 << signal as u8)
    }

    /// Removes a signal.
    pub fn without(self, signal: Signal) -> Signals {
        Signals(self.0 & !(1 << signal as u8))
    }

    /// Whether the signal is in the set.
    pub fn has(self, signal: Signal) -> bool {
        self.0 & (1 << signal as u8) != 0
    }
}

/// Excess failure rates that are tested for.
const GRID: [f64; 7] = [0.005, 0.015, 0.05, 0.15, 0.4, 0.7, 0.95];
/// Number of outcomes over which the old pool's rate is estimated.
const ESTIMATE_WINDOW: f64 = 8000.0;
/// Estimated rates stay this far from 0 and 1, so that a single outcome is not decisive.
const RATE_MARGIN: f64 = 1e-4;
/// A cell's evidence is updated after the new pool's outcomes have grown by one part in this many.
const MIN_UPDATE_FRACTION: u64 = 32;
/// Maximum number of servers and classes tracked separately; others count in the cells only.
const MAX_SERVERS: usize = 4096;
/// A fault is blamed on servers if at most this part of them accounts for the part below of the excess.
const MAX_BLAMED_FRACTION: f64 = 0.1;
const MIN_BLAMED_EXCESS: f64 = 0.85;

/// Statistical bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum probability of ever halting a healthy new pool during a shift.
    pub false_alarm_rate: f64,
    /// Tolerated excess of the new pool's rate.
    pub tolerance: f64,
    /// Outcomes of the new pool below which a cell is reported as sparse.
    pub min_outcomes: u64,
}

/// Number of outcomes and of bad ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Tally {
    /// All outcomes.
    pub of: u64,
    /// Bad ones.
    pub bad: u64,
}

impl Tally {
    fn count(&mut self, bad: bool) {
        self.of += 1;
        self.bad += u64::from(bad);
    }

    fn add(&mut self, other: Tally) {
        self.of += other.of;
        self.bad += other.bad;
    }

    /// The part of bad outcomes; 0 if there are none.
    pub fn rate(&self) -> f64 {
        self.bad as f64 / self.of.max(1) as f64
    }
}

/// The comparison of one cell for one signal.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Comparison {
    /// The old pool's outcomes since the start of the shift.
    pub old: Tally,
    /// The new pool's outcomes since the start of the shift.
    pub new: Tally,
    /// The new pool's outcomes in this step.
    #[serde(rename = "step")]
    pub new_in_step: Tally,
    /// Number of the old pool's outcomes in this step.
    #[serde(rename = "step_old")]
    pub old_in_step: u64,
    waiting: [Tally; 2],
    guess: (f64, f64),
    log_e: [f64; GRID.len()],
    /// The logarithm of the mean over the grid.
    mean: f64,
    /// Evidence that an operator's command has excused.
    excused: f64,
}

impl Default for Comparison {
    fn default() -> Self {
        Comparison {
            old: Tally::default(),
            new: Tally::default(),
            new_in_step: Tally::default(),
            old_in_step: 0,
            waiting: [Tally::default(); 2],
            guess: (1.0, 0.5 * RATE_MARGIN),
            log_e: [0.0; GRID.len()],
            mean: 0.0,
            excused: 0.0,
        }
    }
}

fn clamp_rate(rate: f64) -> f64 {
    rate.clamp(RATE_MARGIN, 1.0 - RATE_MARGIN)
}

/// The mean of exponentials, as its logarithm.
fn log_mean(logs: &[f64]) -> f64 {
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|l| (l - most).exp()).sum();
    most + (sum / logs.len() as f64).ln()
}

impl Comparison {
    fn estimated_rate(&self) -> f64 {
        clamp_rate(self.guess.1 / self.guess.0)
    }

    /// Updates the evidence once both pools have enough pending outcomes. What is enough depends on counts alone, never on
    /// results, and limits the updates of a cell to a few hundred.
    fn update(&mut self, tolerance: f64) {
        let [old, new] = self.waiting;
        let few = self.new.of / MIN_UPDATE_FRACTION;
        if new.of > few && old.of > 0 {
            self.waiting = [Tally::default(); 2];
            self.multiply([old, new], tolerance);
            self.new.add(new);
            self.new_in_step.add(new);
            self.old_in_step += old.of;
        } else if new.of == 0 && old.of > 0 {
            // Outcomes of the old pool alone still improve the estimate of its rate.
            self.waiting[0] = Tally::default();
        } else {
            return;
        }
        self.old.add(old);
        self.guess.0 += old.of as f64;
        self.guess.1 += old.bad as f64;
        if self.guess.0 > ESTIMATE_WINDOW {
            let by = ESTIMATE_WINDOW / 2.0 / self.guess.0;
            self.guess = (self.guess.0 * by, self.guess.1 * by);
        }
    }

    fn multiply(&mut self, [old, new]: [Tally; 2], tolerance: f64) {
        let base = self.estimated_rate() * (1.0 - tolerance) + tolerance;
        for (log, more) in self.log_e.iter_mut().zip(GRID) {
            let (a, b) = (base, clamp_rate(base + more * (1.0 - base)));
            let (m, n) = (old.of as f64, new.of as f64);
            let c = clamp_rate((m * a + n * b) / (m + n));
            let good_old = (1.0 - tolerance) * (1.0 - a) / (1.0 - c) + tolerance * a / c;
            *log += old.bad as f64 * (a / c).ln()
                + (old.of - old.bad) as f64 * good_old.ln()
                + new.bad as f64 * (b / c).ln()
                + (new.of - new.bad) as f64 * ((1.0 - b) / (1.0 - c)).ln();
        }
        self.mean = log_mean(&self.log_e);
    }

    /// The log e-value since evidence was last excused.
    pub fn evidence(&self) -> f64 {
        self.mean - self.excused
    }
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Outcome<'a> {
    /// Its pool, when it was sent.
    pub pool: Pool,
    /// The server, by a number that the caller assigns.
    pub server: u32,
    /// Its value in each dimension.
    pub values: &'a [usize],
    /// The signals that are bad.
    pub bad: Signals,
    /// The signals that count: a server in slow start may be slow, late or full for that reason.
    pub judged: Signals,
}

/// The likely source of a fault.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Blame {
    /// All servers of the new pool.
    Release,
    /// These servers, by the caller's numbers; the others behave like the old pool.
    #[serde(rename = "boxes")]
    Servers(Vec<u32>),
    /// Too few servers or outcomes to tell.
    Unclear,
}

/// A cell whose evidence is above its alarm threshold.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Alarm {
    /// The cell.
    pub cell: usize,
    /// The signal that is worse.
    pub signal: Signal,
    /// Old pool.
    pub old: Tally,
    /// New pool.
    pub new: Tally,
    /// The evidence, as a logarithm.
    pub evidence: f64,
    /// The alarm threshold, as a logarithm.
    pub bound: f64,
    /// The likely source of a fault.
    pub blame: Blame,
}

/// Compares all cells of a shift.
#[derive(Clone, Debug)]
pub struct CanaryAnalysis {
    /// The cells.
    pub cells: Cells,
    bounds: Bounds,
    comparisons: Vec<[Comparison; SIGNALS.len()]>,
    servers: BTreeMap<(u32, usize), [Tally; SIGNALS.len()]>,
    /// The highest evidence of each cell's signals, as a part of its alarm threshold.
    evidence_ratios: Vec<f64>,
    /// Cells with pending outcomes.
    dirty: Vec<usize>,
    marked: Vec<bool>,
}

impl CanaryAnalysis {
    /// Creates an analysis without outcomes.
    pub fn new(cells: Cells, bounds: Bounds) -> CanaryAnalysis {
        let count = cells.len();
        CanaryAnalysis {
            cells,
            bounds,
            comparisons: vec![Default::default(); count],
            servers: BTreeMap::new(),
            evidence_ratios: vec![0.0; count],
            dirty: Vec::new(),
            marked: vec![false; count],
        }
    }

    /// Records an outcome. It runs for every request, so evidence waits for [`CanaryAnalysis::update_evidence`].
    pub fn record(&mut self, outcome: &Outcome<'_>) {
        let side = match outcome.pool {
            Pool::Old => 0,
            Pool::New => 1,
            Pool::Outside => return,
        };
        let CanaryAnalysis { cells, comparisons, dirty, marked, .. } = self;
        for cell in cells.cells_of(outcome.values) {
            if !std::mem::replace(&mut marked[cell], true) {
                dirty.push(cell);
            }
            for signal in SIGNALS.into_iter().filter(|s| outcome.judged.has(*s)) {
                let comparison = &mut comparisons[cell][signal as usize];
                comparison.waiting[side].count(outcome.bad.has(signal));
            }
        }
        let class = outcome.values.first().copied().unwrap_or(0);
        let at = (outcome.server, class);
        if side == 1 && (self.servers.len() < MAX_SERVERS || self.servers.contains_key(&at)) {
            let tallies = self.servers.entry(at).or_default();
            for signal in SIGNALS.into_iter().filter(|s| outcome.judged.has(*s)) {
                tallies[signal as usize].count(outcome.bad.has(signal));
            }
        }
    }

    /// Updates the evidence from pending outcomes.
    pub fn update_evidence(&mut self) {
        for cell in std::mem::take(&mut self.dirty) {
            self.marked[cell] = false;
            for comparison in &mut self.comparisons[cell] {
                comparison.update(self.bounds.tolerance);
                if comparison.waiting[1].of > 0 && !std::mem::replace(&mut self.marked[cell], true) {
                    self.dirty.push(cell);
                }
            }
            self.evidence_ratios[cell] = self.max_evidence_ratio(cell);
        }
    }

    fn max_evidence_ratio(&self, cell: usize) -> f64 {
        let most = self.comparisons[cell].iter().map(Comparison::evidence).fold(f64::NEG_INFINITY, f64::max);
        most / self.alarm_threshold(cell)
    }

    /// The highest evidence of a cell's signals, as a part of the alarm threshold.
    pub fn evidence_ratio(&self, cell: usize) -> f64 {
        self.evidence_ratios[cell]
    }

    /// The evidence at which a cell raises an alarm, as a logarithm.
    pub fn alarm_threshold(&self, cell: usize) -> f64 {
        -(self.bounds.false_alarm_rate * self.cells.weight(cell) / SIGNALS.len() as f64).ln()
    }

    /// One cell's comparison for a signal.
    pub fn comparison(&self, cell: usize, signal: Signal) -> &Comparison {
        &self.comparisons[cell][signal as usize]
    }

    /// The alarms, strongest evidence first.
    pub fn alarms(&self) -> Vec<Alarm> {
        let mut alarms = Vec::new();
        for cell in (0..self.cells.len()).filter(|&c| self.evidence_ratios[c] >= 1.0) {
            let bound = self.alarm_threshold(cell);
            for signal in SIGNALS {
                let comparison = self.comparison(cell, signal);
                if comparison.evidence() >= bound {
                    let (old, new, evidence) = (comparison.old, comparison.new, comparison.evidence());
                    let blame = self.blame(cell, signal);
                    alarms.push(Alarm { cell, signal, old, new, evidence, bound, blame });
                }
            }
        }
        alarms.sort_by(|a, b| (b.evidence - b.bound).total_cmp(&(a.evidence - a.bound)));
        alarms
    }

    /// Excuses the current evidence: the next alarm takes as much again.
    pub fn excuse_evidence(&mut self) {
        for comparison in self.comparisons.iter_mut().flatten() {
            comparison.excused += comparison.evidence().max(0.0);
        }
        self.evidence_ratios = (0..self.cells.len()).map(|c| self.max_evidence_ratio(c)).collect();
    }

    /// Starts a new step.
    pub fn begin_step(&mut self) {
        for comparison in self.comparisons.iter_mut().flatten() {
            (comparison.new_in_step, comparison.old_in_step) = (Tally::default(), 0);
        }
    }

    /// The cells that have outcomes, but too few of the new pool in this step.
    pub fn sparse_cells(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.cells.len()).filter(|&c| {
            let [failed, ..] = &self.comparisons[c];
            failed.old.of + failed.new.of > 0 && failed.new_in_step.of < self.bounds.min_outcomes
        })
    }

    /// Attributes a fault to servers or the release, by the tallies of single servers.
    fn blame(&self, cell: usize, signal: Signal) -> Blame {
        let class = self.cells.class(cell);
        let mut servers: BTreeMap<u32, Tally> = BTreeMap::new();
        for ((server, of), tallies) in &self.servers {
            if class.is_none_or(|c| c == *of) {
                servers.entry(*server).or_default().add(tallies[signal as usize]);
            }
        }
        let usual = self.comparison(cell, signal).old.rate() + self.bounds.tolerance;
        let over = |t: &Tally| t.bad as f64 - usual * t.of as f64;
        let all: f64 = servers.values().map(over).sum();
        let few = ((MAX_BLAMED_FRACTION * servers.len() as f64).ceil() as usize).min(servers.len() / 3);
        if few == 0 || all <= 0.0 {
            return Blame::Unclear;
        }
        let mut worst: Vec<(u32, Tally)> = servers.into_iter().collect();
        worst.sort_by(|a, b| over(&b.1).total_cmp(&over(&a.1)));
        let mut held = 0.0;
        for k in 0..few {
            held += over(&worst[k].1);
            let rest = worst[k + 1..].iter().fold(Tally::default(), |mut sum, (_, t)| {
                sum.add(*t);
                sum
            });
            let chance = 3.0 * (usual * rest.of as f64).sqrt() + 1.0;
            if held >= MIN_BLAMED_EXCESS * all && over(&rest) <= chance {
                return Blame::Servers(worst[..=k].iter().map(|(server, _)| *server).collect());
            }
        }
        Blame::Release
    }

    /// The evidence that is expected of `m` outcomes of the old pool and `n` of the new one, with the best step of the grid,
    /// less what it costs to look for all of them.
    fn expected(&self, rate: f64, fault: f64, (m, n): (f64, f64)) -> f64 {
        let usual = clamp_rate(rate * (1.0 - self.bounds.tolerance) + self.bounds.tolerance);
        let found = clamp_rate(rate + fault * (1.0 - rate));
        let grown = GRID.iter().map(|d| {
            let b = clamp_rate(usual + d * (1.0 - usual));
            let c = clamp_rate((m * usual + n * b) / (m + n));
            let coin = |q: f64, p: f64| q * (p / c).ln() + (1.0 - q) * ((1.0 - p) / (1.0 - c)).ln();
            m * coin(usual, usual) + n * coin(found, b)
        });
        grown.fold(f64::NEG_INFINITY, f64::max) - (GRID.len() as f64).ln()
    }

    /// Whether so many outcomes of the old and the new pool are expected to put a fault of this size beyond a cell's bound,
    /// where the old pool fails at `rate`.
    pub fn would_detect(&self, cell: usize, rate: f64, fault: f64, (old, new): (u64, u64)) -> bool {
        old > 0
            && new > 0
            && self.expected(rate, fault, (old as f64, new as f64)) >= self.alarm_threshold(cell)
    }

    /// Outcomes of the new pool after which that is so, where the old one answers eight times as many.
    pub fn required_outcomes(&self, cell: usize, rate: f64, fault: f64) -> u64 {
        let (mut low, mut high) = (0u64, 1u64);
        while !self.would_detect(cell, rate, fault, (8 * high, high)) {
            if high > 1 << 40 {
                return u64::MAX;
            }
            (low, high) = (high, 2 * high);
        }
        while high - low > 1 {
            let middle = low + (high - low) / 2;
            let shown = self.would_detect(cell, rate, fault, (8 * middle, middle));
            (low, high) = if shown { (low, middle) } else { (middle, high) };
        }
        high
    }

    /// The least fault that is expected to be seen in a cell by so many outcomes of the old and the new pool; `None` where
    /// not even one of all is.
    pub fn detectable_fault(&self, cell: usize, rate: f64, outcomes: (u64, u64)) -> Option<f64> {
        if !self.would_detect(cell, rate, 1.0, outcomes) {
            return None;
        }
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..30 {
            let middle = (low + high) / 2.0;
            if self.would_detect(cell, rate, middle, outcomes) {
                high = middle;
            } else {
                low = middle;
            }
        }
        Some(high)
    }

    /// Adds another node's pending outcomes: the sum over all forwarders is compared as one.
    pub fn merge_pending(&mut self, cell: usize, signal: Signal, old: Tally, new: Tally) {
        let Some(comparisons) = self.comparisons.get_mut(cell) else { return };
        let comparison = &mut comparisons[signal as usize];
        comparison.waiting[0].add(old);
        comparison.waiting[1].add(new);
        if !std::mem::replace(&mut self.marked[cell], true) {
            self.dirty.push(cell);
        }
    }

    /// Takes the pending outcomes, by cell and signal, for the planner.
    pub fn take_pending(&mut self) -> Vec<(usize, Signal, Tally, Tally)> {
        let mut taken = Vec::new();
        for cell in std::mem::take(&mut self.dirty) {
            self.marked[cell] = false;
            for signal in SIGNALS {
                let [old, new] = std::mem::take(&mut self.comparisons[cell][signal as usize].waiting);
                if old.of + new.of > 0 {
                    taken.push((cell, signal, old, new));
                }
            }
        }
        taken
    }

    /// All comparisons, for the journal.
    pub fn export(&self) -> Vec<(usize, [Comparison; SIGNALS.len()])> {
        let seen = |d: &[Comparison; SIGNALS.len()]| d[0].old.of + d[0].new.of > 0;
        self.comparisons.iter().enumerate().filter(|(_, d)| seen(d)).map(|(c, d)| (c, d.clone())).collect()
    }

    /// Restores comparisons from a journal; false if they are for other cells or are invalid.
    pub fn restore(&mut self, kept: Vec<(usize, [Comparison; SIGNALS.len()])>) -> bool {
        let sound = |d: &Comparison| {
            let tallies = [d.old, d.new, d.new_in_step];
            tallies.iter().all(|t| t.bad <= t.of)
                && d.log_e.iter().all(|l| l.is_finite())
                && d.mean.is_finite()
                && d.guess.0 >= 1.0
        };
        if kept.iter().any(|(c, d)| *c >= self.comparisons.len() || !d.iter().all(sound)) {
            return false;
        }
        for (cell, comparisons) in kept {
            self.comparisons[cell] = comparisons;
            self.evidence_ratios[cell] = self.max_evidence_ratio(cell);
        }
        true
    }
}

/// The 90th percentile of the old pool's latency in a class, tracked by stochastic approximation (Robbins, Monro 1951). A
/// response is compared before it is included.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyBaseline {
    at: f64,
    seen: u32,
}

/// The part of answers that are not slow, the step as a part of the time, and answers before anything is called slow.
const FAST_FRACTION: f64 = 0.9;
const RELATIVE_STEP: f64 = 0.05;
const MIN_SAMPLES: u32 = 50;

impl LatencyBaseline {
    /// Whether an answer that took so long is slow.
    pub fn slow(&self, took: u64) -> bool {
        self.seen >= MIN_SAMPLES && took as f64 > self.at
    }

    /// Records a response of the old pool.
    pub fn observe(&mut self, took: u64) {
        self.seen = self.seen.saturating_add(1);
        if self.seen == 1 {
            self.at = took as f64;
        }
        let step = RELATIVE_STEP * self.at.max(1.0) * (10.0 / f64::from(self.seen)).clamp(0.2, 1.0);
        self.at += if took as f64 > self.at { step * FAST_FRACTION } else { -step * (1.0 - FAST_FRACTION) };
    }
}
