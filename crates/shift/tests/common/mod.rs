//! A shift by hand.
#![allow(dead_code)]

use laurelroute_shift::capacity::{Strength, Zone};
use laurelroute_shift::course::{Course, End, Met, Sight, Verb, Word};
use laurelroute_shift::pool::{Pool, Pools, Predicate};
use laurelroute_shift::settings::ShiftSettings;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wildmatch::WildMatch;

pub const S: u64 = 1_000_000_000;
pub const MS: u64 = 1_000_000;

pub fn ids(pattern: &str) -> Predicate {
    Predicate { ids: vec![WildMatch::new(pattern)], ..Predicate::default() }
}

pub fn settings() -> ShiftSettings {
    let pools = Pools { old: ids("old-*"), new: ids("new-*") };
    let names = |list: &[&str]| list.iter().map(|s| (*s).to_owned()).collect::<Vec<_>>();
    let mut settings =
        ShiftSettings::new("release-42", pools, names(&["status", "acknowledge"]), names(&["a", "b"]));
    settings.watch = 5 * S;
    settings
}

pub fn word(verb: Verb) -> Word {
    Word { verb, who: "kim".into(), why: "because".into(), insist: false }
}

/// Pools that can carry so many times the load of 100.
pub fn sight(old: f64, new: f64) -> Sight {
    let strength = |times: f64| Strength { warm: 100.0 * times, cold: 0.0 };
    let zone = Zone { load: vec![80.0, 20.0], old: strength(old), new: strength(new) };
    let boxes = |times: f64| if times > 0.0 { 4 } else { 0 };
    Sight { zones: vec![zone, Zone::default()], old: boxes(old), new: boxes(new), ..Sight::default() }
}

pub struct Bed {
    pub course: Course,
    pub now: u64,
    rng: Pcg64Mcg,
}

impl Bed {
    pub fn new(settings: ShiftSettings, seed: u64) -> Bed {
        let course = Course::new(settings).expect("sound settings");
        Bed { course, now: 1000 * S, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    pub fn started(seed: u64) -> Bed {
        let mut bed = Bed::new(settings(), seed);
        bed.course.say(bed.now, &word(Verb::Start)).expect("a start");
        bed.course.tick(bed.now, sight(3.0, 3.0));
        bed
    }

    fn chance(&mut self, p: f64) -> bool {
        f64::from(self.rng.next_u32()) < p * f64::from(u32::MAX)
    }

    /// A second of 1,000 requests of which the pools fail these parts, acknowledge being one in five.
    pub fn second(&mut self, old: [f64; 2], new: [f64; 2], sight: Sight) {
        for k in 0..1000u32 {
            let class = usize::from(k % 5 == 0);
            let pool = if self.chance(self.course.shares()[class]) { Pool::New } else { Pool::Old };
            let fails = if pool == Pool::New { new[class] } else { old[class] };
            let end = if self.chance(fails) { End::Failed } else { End::Served };
            let took = 20 * MS + u64::from(self.rng.next_u32() % 1000) * 20_000;
            self.course.met(&Met {
                pool,
                twice: false,
                server: self.rng.next_u32() % 4,
                class,
                zone: 0,
                again: false,
                groups: &[],
                end,
                took,
                aim: 400 * MS,
                cold: false,
            });
        }
        self.now += S;
        self.course.tick(self.now, sight);
    }

    pub fn sound(&mut self, seconds: u32) {
        for _ in 0..seconds {
            self.second([0.001; 2], [0.001; 2], sight(3.0, 3.0));
        }
    }
}
