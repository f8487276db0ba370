//! Many seeds on all cores.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Plays seeds on all cores; what is kept of each, in the order of seeds.
pub fn all<T: Send>(seeds: u64, one: impl Fn(u64) -> T + Sync) -> Vec<T> {
    at_a_time(std::thread::available_parallelism().map_or(1, |n| n.get()), seeds, one)
}

/// Plays so many seeds at a time; what is kept of each, in the order of seeds.
pub fn at_a_time<T: Send>(workers: usize, seeds: u64, one: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let (next, done) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| loop {
                let k = next.fetch_add(1, Ordering::SeqCst);
                if k >= seeds {
                    return;
                }
                let kept = one(k);
                let mut done = done.lock().unwrap_or_else(|e| e.into_inner());
                done.push((k, kept));
                if seeds >= 1000 && (done.len() as u64).is_multiple_of(seeds / 10) {
                    println!("  {} of {seeds}", done.len());
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(|e| e.into_inner());
    done.sort_by_key(|(k, _)| *k);
    done.into_iter().map(|(_, kept)| kept).collect()
}
