//! What goes wrong, and when: drawn from a seed, all of it mended by a time after which equality is owed.

use super::link::End;
use crate::draw::Draw;
use crate::{Nanos, MS, S};

/// One thing that happens.
#[derive(Clone, Debug)]
pub(super) enum Fault {
    KillPlanner(usize),
    /// It begins anew, with nothing and a new life.
    StartPlanner(usize),
    KillForwarder(usize),
    StartForwarder(usize),
    /// A forwarder stands still for so long, and then goes on with what has queued up.
    Pause(usize, Nanos),
    /// The next message of a connection to this end is lost, and it breaks so long after.
    Lose(usize, usize, End, Nanos),
    /// Nothing arrives at one end.
    Deaf(usize, usize, End),
    /// Nothing arrives at either.
    Cut(usize, usize),
    Mend(usize, usize),
    /// A connection ends, and may come back at once.
    Break(usize, usize),
    Delay(usize, usize, Nanos),
    /// A planner hears nothing of the list.
    Freeze(usize),
    /// It hears it again: a whole, or the changes since.
    Thaw(usize, bool),
    /// It hears of the list so much later.
    Late(usize, Nanos),
    /// The source starts anew, and its versions go back.
    SourceRestart,
    /// Requests for so many services that don't exist.
    Flood(usize, usize),
    /// A forwarder's requests name other services from now on.
    Turn(usize),
    /// All is mended, and the source stands still.
    Heal,
}

/// What is played.
#[derive(Clone, Debug)]
pub(super) struct Schedule {
    pub(super) forwarders: usize,
    pub(super) planners: usize,
    /// Between changes of the list, in the mean.
    pub(super) pace: Nanos,
    /// Services and bytes that a forwarder holds at most.
    pub(super) most: (usize, usize),
    pub(super) unused_after: Nanos,
    pub(super) unknown_for: Nanos,
    /// Part of the requests that name services that don't exist.
    pub(super) strangers: f64,
    pub(super) faults: Vec<(Nanos, Fault)>,
}

/// From then on all is mended.
pub(super) const HEALED: Nanos = 16 * S;

/// A drawn schedule, and in it the source's restart beside moves of half of the forwarders.
pub(super) fn restart_beside_moves(seed: u64) -> Schedule {
    let mut schedule = drawn(seed);
    let mut draw = Draw::new(seed, 35);
    let restart = draw.between(4_000, 12_000) * MS;
    let late = draw.below(schedule.planners);
    let hears_after = draw.between(500, 3_000) * MS;
    let faults = &mut schedule.faults;
    faults.push((restart - 2 * S, Fault::Late(late, hears_after)));
    faults.push((restart, Fault::SourceRestart));
    for f in (0..schedule.forwarders).filter(|f| f % 2 == 0) {
        let at = restart - S + draw.between(0, 2_000) * MS;
        (0..schedule.planners).for_each(|p| faults.push((at, Fault::Break(p, f))));
        // One whose planner cannot be reached for a while goes to another.
        let (cut, lasts) = (draw.below(schedule.planners), draw.between(500, 3_000) * MS);
        faults.extend([(at, Fault::Cut(cut, f)), ((at + lasts).min(HEALED - MS), Fault::Mend(cut, f))]);
    }
    faults.sort_by_key(|(at, _)| *at);
    schedule
}

/// Draws what is played.
pub(super) fn drawn(seed: u64) -> Schedule {
    let mut draw = Draw::new(seed, 32);
    let forwarders = draw.between(4, 11) as usize;
    let planners = draw.between(2, 4) as usize;
    let mut faults = vec![(HEALED, Fault::Heal)];
    for p in 0..planners {
        if draw.chance(0.15) {
            let later = draw.between(500, 4_000) * MS;
            faults.extend([(0, Fault::KillPlanner(p)), (later, Fault::StartPlanner(p))]);
        }
        faults.push((0, Fault::Late(p, draw.between(1, 300) * MS)));
    }
    for _ in 0..draw.between(4, 22) {
        let at = draw.between(1_000, 14_500) * MS;
        let lasts = draw.between(100, 6_000) * MS;
        let later = (at + lasts).min(HEALED - MS);
        let (p, f) = (draw.below(planners), draw.below(forwarders));
        let end = [End::Forwarder, End::Planner][draw.below(2)];
        match draw.below(21) {
            0 => faults.extend([(at, Fault::KillPlanner(p)), (later, Fault::StartPlanner(p))]),
            1 => (0..planners).for_each(|p| {
                faults.extend([(at, Fault::KillPlanner(p)), (later, Fault::StartPlanner(p))]);
            }),
            2 => faults.extend([(at, Fault::KillForwarder(f)), (later, Fault::StartForwarder(f))]),
            3 | 4 => faults.push((at, Fault::Pause(f, draw.between(500, 5_000) * MS))),
            5 => faults.push((at, Fault::Lose(p, f, end, draw.between(10, 4_000) * MS))),
            6 => (0..planners).for_each(|p| faults.push((at, Fault::Lose(p, f, end, 200 * MS)))),
            7 => faults.extend([(at, Fault::Deaf(p, f, end)), (later, Fault::Mend(p, f))]),
            8 => faults.extend([(at, Fault::Cut(p, f)), (later, Fault::Mend(p, f))]),
            9 => (0..planners)
                .for_each(|p| faults.extend([(at, Fault::Cut(p, f)), (later, Fault::Mend(p, f))])),
            10 => (0..forwarders)
                .for_each(|f| faults.extend([(at, Fault::Cut(p, f)), (later, Fault::Mend(p, f))])),
            11 | 12 => (0..planners).for_each(|p| faults.push((at, Fault::Break(p, f)))),
            13 => (0..forwarders).for_each(|f| faults.push((at, Fault::Break(p, f)))),
            14 => faults.push((at, Fault::Delay(p, f, draw.between(1, 400) * MS))),
            15 => faults.extend([(at, Fault::Freeze(p)), (later, Fault::Thaw(p, draw.chance(0.5)))]),
            16 => faults.push((at, Fault::Late(p, draw.between(1, 3_000) * MS))),
            17 => faults.push((at, Fault::SourceRestart)),
            18 => faults.push((at, Fault::Flood(f, draw.between(10, 200) as usize))),
            _ => faults.push((at, Fault::Turn(f))),
        }
    }
    faults.sort_by_key(|(at, _)| *at);
    Schedule {
        forwarders,
        planners,
        pace: draw.between(40, 500) * MS,
        most: match draw.below(3) {
            0 => (draw.between(12, 40) as usize, 1 << 22),
            1 => (1_000, draw.between(300, 900) as usize * 1_024),
            _ => (1_000, 1 << 22),
        },
        unused_after: draw.between(2, 10) * S,
        unknown_for: draw.between(1, 6) * S,
        strangers: [0.0, 0.1, 0.4][draw.below(3)],
        faults,
    }
}
