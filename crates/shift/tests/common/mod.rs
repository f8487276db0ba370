//! Fixtures that drive a shift without a network.
#![allow(dead_code)]

use laurelroute_shift::capacity::{PoolCapacity, Zone};
use laurelroute_shift::pool::{Pool, Pools, Predicate};
use laurelroute_shift::rollout::{AttemptResult, Command, EndedAttempt, PoolStatus, Rollout, Verb};
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
    settings.final_step_time = 5 * S;
    settings
}

pub fn command(verb: Verb) -> Command {
    Command { verb, who: "kim".into(), why: "because".into(), insist: false }
}

/// Pools whose capacity is a multiple of the load of 100.
pub fn pool_status(old: f64, new: f64) -> PoolStatus {
    let strength = |times: f64| PoolCapacity { warm: 100.0 * times, cold: 0.0 };
    let zone = Zone { load: vec![80.0, 20.0], old: strength(old), new: strength(new) };
    let boxes = |times: f64| if times > 0.0 { 4 } else { 0 };
    PoolStatus {
        zones: vec![zone, Zone::default()],
        old: boxes(old),
        new: boxes(new),
        ..PoolStatus::default()
    }
}

pub struct Fixture {
    pub rollout: Rollout,
    pub now: u64,
    rng: Pcg64Mcg,
}

impl Fixture {
    pub fn new(settings: ShiftSettings, seed: u64) -> Fixture {
        let rollout = Rollout::new(settings).expect("sound settings");
        Fixture { rollout, now: 1000 * S, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    pub fn started(seed: u64) -> Fixture {
        let mut fixture = Fixture::new(settings(), seed);
        fixture.rollout.apply_command(fixture.now, &command(Verb::Start)).expect("a start");
        fixture.rollout.tick(fixture.now, pool_status(3.0, 3.0));
        fixture
    }

    fn chance(&mut self, p: f64) -> bool {
        f64::from(self.rng.next_u32()) < p * f64::from(u32::MAX)
    }

    /// Runs one second of 1,000 requests, one in five of class acknowledge, with these failure rates by pool and class.
    pub fn run_second(&mut self, old: [f64; 2], new: [f64; 2], pool_status: PoolStatus) {
        for k in 0..1000u32 {
            let class = usize::from(k % 5 == 0);
            let pool = if self.chance(self.rollout.shares()[class]) { Pool::New } else { Pool::Old };
            let fails = if pool == Pool::New { new[class] } else { old[class] };
            let end = if self.chance(fails) { AttemptResult::Failed } else { AttemptResult::Served };
            let took = 20 * MS + u64::from(self.rng.next_u32() % 1000) * 20_000;
            self.rollout.record_attempt(&EndedAttempt {
                pool,
                ambiguous: false,
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
        self.rollout.tick(self.now, pool_status);
    }

    pub fn run_healthy(&mut self, seconds: u32) {
        for _ in 0..seconds {
            self.run_second([0.001; 2], [0.001; 2], pool_status(3.0, 3.0));
        }
    }
}
