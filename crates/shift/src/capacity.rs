//! Computes the share that the new pool can carry now, and the part that the old one could take back.
//!
//! A small linear program yields the part of the step that each class can get, and the work that zones of a pool do
//! for each other, within the capacity of every zone. A closed form would do for one zone; with several, the flows
//! between the zones matter where a pool is spread unevenly.

use good_lp::{constraint, microlp, variable, variables, Expression, Solution, SolverModel, Variable};

/// Maximum number of zones solved for; the last one sums up the rest.
pub const MAX_ZONES: usize = 12;
/// Usable part of a pool's warm capacity.
const HEADROOM: f64 = 0.95;
/// Usable part of the capacity in slow start: all nodes ramp at once, and each sees only its own load.
const SLOW_START_HEADROOM: f64 = 0.8;
/// Price of a unit of work in another zone, relative to a unit of share.
const CROSS_ZONE_PRICE: f64 = 0.02;
/// Price of a unit of work that no pool can carry.
const UNSERVED_PRICE: f64 = 100.0;

/// A pool's capacity in a zone, in units of work per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolCapacity {
    /// Servers past slow start.
    pub warm: f64,
    /// Servers in slow start, as far as they have ramped up.
    pub cold: f64,
}

impl PoolCapacity {
    fn usable(&self) -> f64 {
        HEADROOM * self.warm + SLOW_START_HEADROOM * self.cold
    }
}

/// One zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Zone {
    /// Incoming work by class, in units per second.
    pub load: Vec<f64>,
    /// The pool that traffic leaves.
    pub old: PoolCapacity,
    /// The pool that traffic goes to.
    pub new: PoolCapacity,
}

/// The result of the capacity calculation.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct CapacityPlan {
    /// The share of each class that the new pool can carry, at most what was wanted.
    pub shares: Vec<f64>,
    /// The part of all work that the old pool cannot take back at once: an undo leaves this part with the new one.
    pub stays: f64,
    /// The part of all work that neither pool can carry within its share.
    pub lost: f64,
}

impl CapacityPlan {
    /// Whether the full wanted shares can be carried.
    pub fn covers(&self, wanted: &[f64]) -> bool {
        self.shares.iter().zip(wanted).all(|(s, w)| *s >= w - 1e-6)
    }
}

fn merge_zones(zones: &[Zone], classes: usize) -> Vec<Zone> {
    let mut kept: Vec<Zone> = Vec::new();
    for zone in zones {
        if kept.len() < MAX_ZONES {
            let mut load = zone.load.clone();
            load.resize(classes, 0.0);
            kept.push(Zone { load, ..zone.clone() });
        } else if let Some(last) = kept.last_mut() {
            for (sum, load) in last.load.iter_mut().zip(&zone.load) {
                *sum += load;
            }
            for (sum, more) in [(&mut last.old, zone.old), (&mut last.new, zone.new)] {
                sum.warm += more.warm;
                sum.cold += more.cold;
            }
        }
    }
    kept
}

/// Solves for the shares, each at most the wanted share of its class.
pub fn solve(zones: &[Zone], wanted: &[f64]) -> CapacityPlan {
    let zones = merge_zones(zones, wanted.len());
    let load: f64 = zones.iter().flat_map(|z| &z.load).sum();
    let old: f64 = zones.iter().map(|z| z.old.usable()).sum();
    let stays = if load > 0.0 { (1.0 - old / load).clamp(0.0, 1.0) } else { 0.0 };
    let strong = zones.iter().map(|z| z.new.usable()).sum::<f64>() > 0.0;
    if load <= 0.0 || !strong {
        let shares = wanted.iter().map(|w| if strong { *w } else { 0.0 }).collect();
        return CapacityPlan { shares, stays: if strong { stays } else { 0.0 }, lost: 0.0 };
    }
    if fits_locally(&zones, wanted) {
        return CapacityPlan { shares: wanted.to_vec(), stays, lost: 0.0 };
    }
    match solve_program(&zones, wanted, load) {
        Some((shares, lost)) => CapacityPlan { shares, stays, lost: lost / load },
        // The program always has a solution (all work unserved); if the solver stops early, no traffic moves.
        None => CapacityPlan { shares: vec![0.0; wanted.len()], stays, lost: 0.0 },
    }
}

/// Whether each zone can carry its own load, so that no program needs to be solved.
fn fits_locally(zones: &[Zone], wanted: &[f64]) -> bool {
    zones.iter().all(|z| {
        let moved: f64 = z.load.iter().zip(wanted).map(|(l, w)| l * w).sum();
        let all: f64 = z.load.iter().sum();
        moved <= z.new.usable() && all - moved <= z.old.usable()
    })
}

fn solve_program(zones: &[Zone], wanted: &[f64], load: f64) -> Option<(Vec<f64>, f64)> {
    let mut vars = variables!();
    // All classes get the same part of their wanted share: with one for each, the least change of load would shift capacity
    // from class to class at every evaluation, and sessions would move back and forth.
    let part = vars.add(variable().min(0.0).max(1.0));
    let n = zones.len();
    let flows = |vars: &mut good_lp::ProblemVariables| -> Vec<Vec<Variable>> {
        (0..n).map(|_| (0..n).map(|_| vars.add(variable().min(0.0))).collect()).collect()
    };
    let to = [flows(&mut vars), flows(&mut vars)];
    let lost: Vec<Variable> = (0..n).map(|_| vars.add(variable().min(0.0))).collect();
    // Everything is relative to the total load, so that the solver's tolerances apply equally at every size.
    let of = |z: usize, c: usize| zones[z].load[c] / load;
    let moved = |z: usize| (0..wanted.len()).map(|c| of(z, c) * wanted[c]).sum::<f64>();
    let mut aim: Expression = ((0..n).map(moved).sum::<f64>() + 1e-4) * part;
    for flows in &to {
        for (z, row) in flows.iter().enumerate() {
            let elsewhere = row.iter().enumerate().filter(|(y, _)| *y != z);
            elsewhere.for_each(|(_, flow)| aim -= CROSS_ZONE_PRICE * *flow);
        }
    }
    lost.iter().for_each(|l| aim -= UNSERVED_PRICE * *l);
    let mut model = vars.maximise(aim).using(microlp);
    for z in 0..n {
        let all: f64 = (0..wanted.len()).map(|c| of(z, c)).sum();
        let moved: Expression = moved(z) * part;
        let [old, new] = [&to[0][z], &to[1][z]].map(|row| row.iter().sum::<Expression>());
        model = model.with(constraint!(new == moved.clone()));
        model = model.with(constraint!(old + lost[z] + moved == all));
        let got = |flows: &Vec<Vec<Variable>>| flows.iter().map(|row| row[z]).sum::<Expression>();
        let most = [zones[z].old.usable() / load, zones[z].new.usable() / load];
        model = model.with(constraint!(got(&to[0]) <= most[0]));
        model = model.with(constraint!(got(&to[1]) <= most[1]));
    }
    let solution = model.solve().ok()?;
    let part = solution.value(part).clamp(0.0, 1.0);
    let lost: f64 = lost.iter().map(|l| solution.value(*l).max(0.0)).sum();
    Some((wanted.iter().map(|w| w * part).collect(), lost * load))
}

/// The usable part of a pool's capacity at equal waiting times: spare capacity shrinks with the square root of the number
/// of servers (square-root staffing; Halfin, Whitt 1981).
pub fn usable_fraction(boxes: usize) -> f64 {
    1.0 - 0.5 / (boxes.max(1) as f64).sqrt()
}

/// The observed capacity per unit of size, where the operator configures none: the highest work per second that the old
/// pool did for each unit while nearly all responses were in time. It decays, so that an old burst loses its weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObservedCapacity {
    most: f64,
}

/// Part of the observed capacity that is lost at each lower observation.
const DECAY: f64 = 0.00005;
/// Part of responses that may be late while the load counts as carried.
const MAX_LATE_FRACTION: f64 = 0.05;

impl ObservedCapacity {
    /// Records the pool's work per second, its size and the late part.
    pub fn observe(&mut self, work: f64, size: f64, late: f64) {
        if size <= 0.0 || !work.is_finite() {
            return;
        }
        let each = work / size;
        if each > self.most && late <= MAX_LATE_FRACTION {
            self.most = each;
        } else {
            self.most -= self.most * DECAY;
        }
    }

    /// Work per second and unit of size; 0 before any observation.
    pub fn each(&self) -> f64 {
        self.most
    }
}
