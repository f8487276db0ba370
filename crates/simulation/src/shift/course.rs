//! Endings drawn for a shift's course: no queues and no module, so that a seed takes some milliseconds.
//!
//! Of the old pool's requests only some are drawn, eight for each of the new one's: more say next to nothing further, and
//! which ones are drawn does not depend on how they end.

use super::{settings, Asked, Fault, Kind, Where, CLASSES, SHIRES, ZONES};
use crate::draw::Draw;
use crate::{Nanos, MS, S};
use laurelroute_shift::analysis::{Blame, Signal};
use laurelroute_shift::capacity::{PoolCapacity, Zone};
use laurelroute_shift::pool::Pool;
use laurelroute_shift::rollout::{AttemptResult, Command, EndedAttempt, PoolStatus, Rollout, State, Verb};

/// The new pool of a seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum New {
    /// As the old one.
    Sound,
    /// Cold at the start, and else sound.
    Cold,
    /// With a fault, and perhaps cold.
    Faulty(Fault),
}

/// Old requests that are drawn for each new one.
const OLD_FOR_NEW: f64 = 8.0;
/// How often the course is looked at here.
const LOOK: Nanos = S;
/// New requests that are drawn for each old one at most, and requests a second on the last step.
const NEW_FOR_OLD: f64 = 8.0;
const WATCH_RATE: f64 = 200.0;
/// A box is warm after this.
const RAMP: Nanos = 20 * S;
/// Nothing is played for longer.
const LONGEST: Nanos = 2400 * S;
/// The part of the requests of two rungs that has to be enough by the stated formula for a halt to be owed: it is of the
/// mean, and a single course has bad luck.
const OWED_PART: f64 = 1.0 / 3.0;

/// What became of a seed.
#[derive(Clone, Debug)]
pub struct Played {
    /// Halted and undone.
    pub undone: bool,
    /// Came to its end.
    pub finished: bool,
    /// The step where it was halted, and that where the fault began to strike.
    pub rungs: (usize, usize),
    /// The fault is above the stated least for what two rungs have shown, and so had to be found within them.
    pub owed: bool,
    /// Outcomes of the new pool in the fault's own cell until it was halted.
    pub shown: u64,
    /// Seconds from the fault's beginning to the halt, or to the end.
    pub seconds: f64,
    /// Requests of clients that the fault struck, of all that were sent.
    pub hurt: f64,
    /// Why it was halted.
    pub why: String,
    /// Whose fault it was said to be.
    pub blame: Option<Blame>,
}

struct Site {
    rate: f64,
    boxes: usize,
    failing: f64,
    /// Both pools fail so much more in this time.
    storm: (Nanos, Nanos, f64),
    load: fn(Nanos) -> f64,
    mean: [f64; 3],
}

fn steady(_: Nanos) -> f64 {
    1.0
}

fn tidal(now: Nanos) -> f64 {
    0.75 + 0.35 * (now as f64 / 1e9 / 40.0 * std::f64::consts::TAU).sin()
}

fn doubling(now: Nanos) -> f64 {
    if now > 30 * S {
        2.0
    } else {
        1.0
    }
}

impl Site {
    fn drawn(draw: &mut Draw, quiet: bool) -> Site {
        let storm = if draw.chance(0.3) {
            let from = draw.between(0, 60 * S);
            (from, from + draw.between(S, 30 * S), 0.3 * draw.unit())
        } else {
            (0, 0, 0.0)
        };
        let load = if quiet || draw.chance(0.3) {
            tidal
        } else if draw.chance(0.3) {
            doubling
        } else {
            steady
        };
        Site {
            rate: 2000.0 + 6000.0 * draw.unit(),
            boxes: 3 + draw.below(38),
            failing: 0.01 * draw.unit() * draw.unit(),
            storm,
            load,
            mean: [30e6, 60e6, 90e6],
        }
    }

    fn sight(&self, now: Nanos, cold: bool) -> PoolStatus {
        let warmth = if cold { (0.3 + 0.7 * now as f64 / RAMP as f64).min(1.0) } else { 1.0 };
        let (load, each) = (self.rate * (self.load)(now), 2.5 * self.rate / ZONES as f64);
        let part = |k: usize| load * CLASSES[k].1 / ZONES as f64;
        let zone = |_| Zone {
            load: (0..CLASSES.len()).map(part).collect(),
            old: PoolCapacity { warm: each, cold: 0.0 },
            new: if warmth < 1.0 {
                PoolCapacity { warm: 0.0, cold: each * warmth }
            } else {
                PoolCapacity { warm: each, cold: 0.0 }
            },
        };
        let zones = (0..ZONES).map(zone).collect();
        PoolStatus { zones, old: self.boxes, new: self.boxes, ..PoolStatus::default() }
    }

    /// How an attempt ends, and how long that takes. What fails here fails in either pool.
    fn end(&self, draw: &mut Draw, now: Nanos, class: usize, warmth: f64) -> (AttemptResult, Nanos) {
        // A sum of two exponentials: a mean and a tail as of a box with a short queue.
        let mean = self.mean[class] / warmth / 2.0;
        let took = (draw.exponential(mean) + draw.exponential(mean)) as Nanos;
        let storm = if (self.storm.0..self.storm.1).contains(&now) { self.storm.2 } else { 0.0 };
        if draw.chance(self.failing + storm) {
            (AttemptResult::Failed, took)
        } else if warmth < 1.0 && draw.chance(0.1 * (1.0 - warmth)) {
            (AttemptResult::Rejected, 0)
        } else {
            (AttemptResult::Served, took)
        }
    }
}

/// Plays a seed.
pub fn play(seed: u64, new: New) -> Played {
    let mut draw = Draw::new(seed, 16);
    let fault = match new {
        New::Faulty(fault) => Some(fault),
        New::Sound | New::Cold => None,
    };
    let site = Site::drawn(&mut draw, fault.is_some_and(|f| f.at == Where::Quiet));
    let cold = new == New::Cold || (fault.is_some() && draw.chance(0.3));
    let mut play = Play::new(site, fault, cold);
    play.run(&mut draw);
    play.told()
}

struct Play {
    site: Site,
    fault: Option<Fault>,
    cold: bool,
    course: Rollout,
    now: Nanos,
    /// The cell that is the fault's own.
    cell: usize,
    began: Option<(Nanos, usize)>,
    hurt: f64,
    /// Outcomes of the old and the new pool in the fault's cell when it began, and at the end of its second step.
    shown: ((u64, u64), Option<(u64, u64)>),
}

impl Play {
    fn new(site: Site, fault: Option<Fault>, cold: bool) -> Play {
        // The settings are the model's own, and sound.
        let mut course = Rollout::new(settings()).unwrap_or_else(|e| unreachable!("{e}"));
        let word = Command { verb: Verb::Start, who: "model".into(), why: "play".into(), insist: false };
        let started = course.apply_command(0, &word);
        debug_assert!(started.is_ok());
        let cell = course.analysis.cells.find(&fault.map_or("all".to_owned(), name)).unwrap_or(0);
        Play { site, fault, cold, course, now: 0, cell, began: None, hurt: 0.0, shown: ((0, 0), None) }
    }

    fn run(&mut self, draw: &mut Draw) {
        while self.now < LONGEST && !self.over() {
            self.now += LOOK;
            self.traffic(draw);
            self.course.tick(self.now, self.site.sight(self.now, self.cold));
            self.mark();
        }
    }

    fn over(&self) -> bool {
        matches!(self.course.state(), State::Undone | State::Undoing | State::Finished)
    }

    fn seen(&self) -> (u64, u64) {
        let duel = self.course.analysis.comparison(self.cell, Signal::Failed);
        (duel.old.of, duel.new.of)
    }

    fn mark(&mut self) {
        let Some((_, step)) = self.began else { return };
        if self.shown.1.is_none() && self.course.step() > step + 1 {
            self.shown.1 = Some(self.seen());
        }
    }

    fn traffic(&mut self, draw: &mut Draw) {
        let load = (self.site.load)(self.now);
        let each = self.site.rate * load * LOOK as f64 / 1e9;
        for (class_of, (_, part)) in CLASSES.iter().enumerate() {
            let all = each * part;
            let share = self.course.shares()[class_of];
            let (new, old) = (all * share, all * (1.0 - share));
            let seen = if share > 0.0 { (OLD_FOR_NEW * new).min(old) } else { old.min(20.0) };
            let drawn = (NEW_FOR_OLD * seen).min(new);
            // The long last step is drawn thinner, both pools alike.
            let thin = if share > 0.9 { (WATCH_RATE * part / (drawn + seen)).min(1.0) } else { 1.0 };
            let weight = if drawn > 0.0 { new / (drawn * thin) } else { 1.0 };
            for (pool, number) in [(Pool::New, drawn * thin), (Pool::Old, seen * thin)] {
                for _ in 0..whole(draw, number) {
                    self.request(draw, class_of, pool, load, weight);
                }
            }
        }
    }

    fn request(&mut self, draw: &mut Draw, class: usize, pool: Pool, load: f64, weight: f64) {
        let shire = draw.below(SHIRES);
        let again = draw.chance(0.04);
        let server = draw.below(self.site.boxes);
        let warm = pool == Pool::Old || !self.cold || self.now >= RAMP;
        let warmth = if warm { 1.0 } else { 0.3 + 0.7 * self.now as f64 / RAMP as f64 };
        let (mut end, mut took) = self.site.end(draw, self.now, class, warmth);
        let asked = Asked { class, shire, again, load };
        let fault = self
            .fault
            .filter(|f| pool == Pool::New && self.now as f64 / 1e9 >= f.after && f.strikes(&asked, server));
        if let Some(fault) = fault {
            if self.began.is_none() {
                self.began = Some((self.now, self.course.step()));
                self.shown.0 = self.seen();
            }
            if draw.chance(fault.size) {
                self.hurt += weight;
                (end, took) = match fault.kind {
                    Kind::Fails | Kind::Spoilt => (AttemptResult::Failed, took),
                    Kind::Hangs => (AttemptResult::TimedOut, 800 * MS),
                    // Five times: past what nine in ten take, and for many past the aim.
                    Kind::Slow => (end, took * 5),
                };
            }
        }
        let groups = [shire];
        self.course.record_attempt(&EndedAttempt {
            pool,
            ambiguous: false,
            server: server as u32,
            class,
            zone: server % ZONES,
            again,
            groups: &groups,
            end,
            took,
            aim: 400 * MS,
            cold: !warm,
        });
    }

    fn told(self) -> Played {
        let undone = matches!(self.course.state(), State::Undone | State::Undoing);
        let step = self.course.step();
        let last = self.course.changes().last();
        let (from, began) = self.began.unwrap_or((self.now, step));
        let (before, after) = (self.shown.0, self.shown.1.unwrap_or_else(|| self.seen()));
        let shown = (after.0 - before.0, after.1 - before.1);
        let rate = self.course.analysis.comparison(self.cell, Signal::Failed).old.rate();
        let part = |n: u64| (OWED_PART * n as f64) as u64;
        let least = self.course.analysis.detectable_fault(self.cell, rate, (part(shown.0), part(shown.1)));
        // What a slow answer shows is whether it was slow, which one in ten is anyway, and the same for late ones.
        let seen_size = |f: Fault| match f.kind {
            Kind::Slow => (f.size - 0.1).max(0.0) * 0.6,
            _ => f.size,
        };
        let diluted = |f: Fault| match f.at {
            Where::Boxes(n) => n as f64 / self.site.boxes as f64,
            Where::Quiet => 0.3,
            _ => 1.0,
        };
        let owed = self
            .fault
            .is_some_and(|f| self.began.is_some() && least.is_some_and(|l| seen_size(f) * diluted(f) >= l));
        Played {
            undone,
            finished: *self.course.state() == State::Finished,
            rungs: (step, began),
            owed,
            shown: shown.1,
            seconds: (self.now - from) as f64 / 1e9,
            hurt: self.hurt,
            why: last.map(|c| c.why.clone()).unwrap_or_default(),
            blame: last.and_then(|c| c.alarm.as_ref().map(|(_, a)| a.blame.clone())),
        }
    }
}

impl Played {
    /// The fault was found while the step where it began or the next one was on.
    pub fn in_two_steps(&self) -> bool {
        self.undone && self.rungs.0 <= self.rungs.1 + 1
    }
}

/// The cell that a fault fills.
fn name(fault: Fault) -> String {
    match fault.at {
        Where::All | Where::Boxes(_) | Where::Quiet => "all".to_owned(),
        Where::Class(c) => format!("class={}", CLASSES[c].0),
        Where::Shire(s) => format!("shire=shire-{s}"),
        Where::Both(c, s) => format!("class={} shire=shire-{s}", CLASSES[c].0),
        Where::Repeats => "repeat=again".to_owned(),
    }
}

/// A whole number with this mean.
fn whole(draw: &mut Draw, mean: f64) -> usize {
    mean as usize + usize::from(draw.chance(mean.fract()))
}
