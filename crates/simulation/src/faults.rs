//! What goes wrong, and when: drawn from a seed, all of it mended by a time after which agreement is owed.

use crate::boxes::{Health, SimBox};
use crate::draw::Draw;
use crate::world::{member, World};
use crate::{Nanos, MS, S};
use laurelroute_policy::interface::Phase;

/// One thing that happens.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A planner's process ends.
    KillPlanner(usize),
    /// It begins anew, with nothing.
    StartPlanner(usize),
    /// A forwarder and a planner lose their connection, and get none for now.
    Cut(usize, usize),
    /// What they send does not arrive.
    Mute(usize, usize),
    /// They reach each other again.
    Mend(usize, usize),
    /// Messages take this long.
    Delay(usize, usize, Nanos),
    /// A planner hears nothing of the list any longer.
    Freeze(usize),
    /// It hears it again.
    Thaw(usize),
    /// A planner says that every box is suspected.
    Lie(usize),
    /// It stops doing so.
    Recant(usize),
    /// A box becomes faster or slower.
    Speed(u32, f64),
    /// Something is wrong with a box, or no longer.
    Box(u32, Health),
    /// A box's process ends and comes back, cold.
    Restart(u32),
    /// A box drains, and leaves some time later.
    Drain(u32),
    /// It leaves.
    Leave(u32),
    /// A new box comes, of this speed, cold.
    Come(f64),
    /// The list takes up to this long to be heard.
    Lag(Nanos),
    /// All is mended.
    Heal,
}

/// Faults and when they come, after the world's beginning.
pub type Plan = Vec<(Nanos, Fault)>;

/// All that a drawn plan breaks is mended by then.
pub const HEALED: Nanos = 9 * S;

/// Draws what goes wrong in a world of this size.
pub fn drawn(seed: u64, forwarders: usize, planners: usize, boxes: usize) -> Plan {
    let mut draw = Draw::new(seed, 3);
    let mut plan: Plan = vec![(HEALED, Fault::Heal)];
    let mut leavers: Vec<u32> = (0..boxes as u32).collect();
    // Some runs begin with planners that are not there.
    if draw.chance(0.2) {
        (0..planners).for_each(|p| plan.push((0, Fault::KillPlanner(p))));
    }
    for _ in 0..draw.between(3, 14) {
        let at = draw.between(1_500, 8_000) * MS;
        let later = (at + draw.between(100, 5_000) * MS).min(HEALED - MS);
        let (p, f, b) = (draw.below(planners), draw.below(forwarders), draw.below(boxes) as u32);
        match draw.below(13) {
            0 => plan.extend([(at, Fault::KillPlanner(p)), (later, Fault::StartPlanner(p))]),
            1 => (0..planners).for_each(|p| {
                plan.extend([(at, Fault::KillPlanner(p)), (later, Fault::StartPlanner(p))]);
            }),
            2 => plan.extend([(at, Fault::Cut(p, f)), (later, Fault::Mend(p, f))]),
            3 => plan.extend([(at, Fault::Mute(p, f)), (later, Fault::Mend(p, f))]),
            // A depot is cut off: each planner reaches half of the forwarders.
            4 => (0..forwarders).for_each(|f| {
                let p = f % planners;
                plan.extend([(at, Fault::Mute(p, f)), (later, Fault::Mend(p, f))]);
            }),
            5 => plan.push((at, Fault::Delay(p, f, draw.between(1, 400) * MS))),
            6 => plan.extend([(at, Fault::Freeze(p)), (later, Fault::Thaw(p))]),
            7 => plan.extend([(at, Fault::Lie(p)), (later, Fault::Recant(p))]),
            8 => {
                let health = [Health::Refuses, Health::Silent, Health::Fails][draw.below(3)];
                plan.extend([(at, Fault::Box(b, health)), (later, Fault::Box(b, Health::Sound))]);
            }
            9 => plan.push((at, Fault::Restart(b))),
            10 if leavers.len() > boxes / 2 => {
                let b = leavers.swap_remove(draw.below(leavers.len()));
                plan.extend([(at, Fault::Drain(b)), (later, Fault::Leave(b))]);
            }
            11 => plan.push((at, Fault::Come(0.5 + draw.unit() * 1.5))),
            _ => plan.push((at, Fault::Lag(draw.between(1, 1_000) * MS))),
        }
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// A deploy that replaces this part of the boxes within a time: each new one comes before an old one drains.
pub fn deploy(from: Nanos, over: Nanos, boxes: usize, part: f64, speeds: &[f64]) -> Plan {
    let count = (boxes as f64 * part) as usize;
    let mut plan = Plan::new();
    for k in 0..count {
        let at = from + over * k as u64 / count.max(1) as u64;
        plan.push((at, Fault::Come(speeds[k % speeds.len()])));
        plan.push((at + S, Fault::Drain(k as u32)));
        plan.push((at + 6 * S, Fault::Leave(k as u32)));
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// Troubles of an ordinary bad day: neighbours that slow boxes down, boxes that fail, hang or restart, drains, and one
/// outage of all planners.
pub fn troubles(seed: u64, lasts: Nanos, planners: usize, speeds: &[f64]) -> Plan {
    let mut draw = Draw::new(seed, 4);
    let mut plan = Plan::new();
    let boxes = speeds.len();
    for _ in 0..boxes * (lasts / S) as usize / 300 {
        let (at, b) = (draw.between(5 * S, lasts), draw.below(boxes));
        let later = at + draw.between(2 * S, 12 * S);
        match draw.below(8) {
            0..=3 => {
                let slow = speeds[b] * (0.2 + 0.3 * draw.unit());
                plan.extend([(at, Fault::Speed(b as u32, slow)), (later, Fault::Speed(b as u32, speeds[b]))]);
            }
            k @ 4..=6 => {
                let health = [Health::Refuses, Health::Silent, Health::Fails][k - 4];
                plan.extend([
                    (at, Fault::Box(b as u32, health)),
                    (later, Fault::Box(b as u32, Health::Sound)),
                ]);
            }
            _ => plan.push((at, Fault::Restart(b as u32))),
        }
    }
    for p in 0..planners {
        plan.extend([(lasts / 2, Fault::KillPlanner(p)), (lasts / 2 + 8 * S, Fault::StartPlanner(p))]);
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

impl World {
    pub(crate) fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::KillPlanner(p) => self.kill_planner(p),
            Fault::StartPlanner(p) => self.start_planner(p),
            Fault::Cut(p, f) => {
                self.links[p][f].cut = true;
                self.hang_up(p, f);
            }
            Fault::Mute(p, f) => self.links[p][f].mute = true,
            Fault::Mend(p, f) => {
                self.links[p][f].cut = false;
                self.links[p][f].mute = false;
            }
            Fault::Delay(p, f, delay) => self.links[p][f].delay = delay,
            Fault::Freeze(p) => self.brains[p].frozen = true,
            Fault::Thaw(p) => {
                self.brains[p].frozen = false;
                self.list_to_brain(p);
            }
            Fault::Lie(p) => self.brains[p].lies = true,
            Fault::Recant(p) => self.brains[p].lies = false,
            Fault::Box(b, health) => {
                if health == Health::Refuses {
                    self.crash_box(b);
                }
                self.boxes[b as usize].health = health;
            }
            Fault::Speed(b, speed) => self.boxes[b as usize].speed = speed,
            Fault::Restart(b) => {
                let now = self.now;
                self.crash_box(b);
                self.boxes[b as usize].started_at = now;
                if let Some(m) = self.members.get_mut(&b).filter(|m| m.server.phase == Phase::Ready) {
                    m.server.started_at = now;
                    self.list_changed();
                }
            }
            Fault::Drain(b) => self.phase(b, Phase::Draining),
            Fault::Leave(b) => {
                self.members.remove(&b);
                self.boxes[b as usize].health = Health::Refuses;
                self.crash_box(b);
                self.list_changed();
            }
            Fault::Come(speed) => self.come(speed),
            Fault::Lag(lag) => self.lag = lag,
            Fault::Heal => self.heal(),
        }
    }

    fn phase(&mut self, b: u32, phase: Phase) {
        if let Some(m) = self.members.get_mut(&b) {
            m.server.phase = phase;
            self.list_changed();
        }
    }

    fn come(&mut self, speed: f64) {
        let (b, now) = (self.boxes.len() as u32, self.now);
        self.boxes.push(SimBox::new(speed, self.setup.workers, now, self.setup.forwarders));
        self.grow();
        self.members.insert(b, member(b, now));
        self.list_changed();
    }

    fn heal(&mut self) {
        self.agree_from = self.now;
        self.lag = 5 * MS;
        for p in 0..self.brains.len() {
            self.brains[p].lies = false;
            self.brains[p].frozen = false;
            for link in &mut self.links[p] {
                (link.cut, link.mute, link.delay) = (false, false, MS);
            }
            self.start_planner(p);
            self.list_to_brain(p);
        }
    }
}
