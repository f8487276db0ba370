//! Stand-ins and scripted peers around the real program, on loopback: boxes that fail in chosen ways and record what
//! ran, a discovery with versions and lag, clients on every wire, and the rule suite that runs over all of them.
//!
//! Ports are the system's choice, every wait is for a condition and has an end, and whatever is drawn comes from a
//! printed seed (`LAURELROUTE_SEED` repeats one).

pub mod attempts;
pub mod between;
pub mod boxes;
pub mod catalogue;
pub mod client;
pub mod discovery;
pub mod levels;
pub mod load;
pub mod mesh;
pub mod newcomers;
pub mod outage;
pub mod port;
pub mod process;
pub mod program;
pub mod silence;
pub mod soak;
pub mod suite;
pub mod takeover;
pub mod wire;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// No condition is waited for longer than this.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until `holds` does, and fails the test with `what` when it never does.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "never happened: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A seed for this run: the one that `LAURELROUTE_SEED` names, or the clock's. It is printed, so that a run that
/// fails can be repeated.
pub fn seed() -> u64 {
    let named = std::env::var("LAURELROUTE_SEED").ok().and_then(|s| s.parse().ok());
    let clock = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |t| t.as_nanos() as u64);
    let seed = named.unwrap_or_else(clock);
    println!("seed {seed}");
    seed
}

/// Draws from a seed.
#[derive(Debug)]
pub struct Random(Pcg64Mcg);

impl Random {
    /// All draws follow from the seed.
    pub fn new(seed: u64) -> Self {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A number below `n`, which is above 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((u64::from(self.0.next_u32()) * n as u64) >> 32) as usize
    }
}

/// What is said of those that are true.
pub(crate) fn those(all: impl IntoIterator<Item = (bool, String)>) -> impl Iterator<Item = String> {
    all.into_iter().filter(|(is, _)| *is).map(|(_, what)| what)
}

static COUNT: AtomicU32 = AtomicU32::new(0);

/// A number that no other caller in this process gets.
pub fn fresh() -> u32 {
    COUNT.fetch_add(1, Ordering::SeqCst)
}

/// An id that no other request of this run has.
pub fn fresh_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), fresh())
}

/// What a panicking thread left behind is still good for a verdict.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
