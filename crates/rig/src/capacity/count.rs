//! What a piece of work costs: bytes and allocations by the rig's allocator, processor time of the thread, instructions.

use super::subject::Subject;
use crate::report::{median, Failure};
use crate::ALLOCATOR;
use std::process::Command;

/// What was counted of one piece of work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counted {
    /// Bytes that are held after it and were not before.
    pub held: f64,
    /// Allocations, growths of them included.
    pub allocations: f64,
    /// Processor time in nanoseconds.
    pub cpu: f64,
}

/// Processor time of this thread, in nanoseconds.
fn thread_cpu() -> Result<f64, Failure> {
    // The kernel brings the figure up to date when the thread gives way.
    std::thread::yield_now();
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = text.split(' ').next().and_then(|ns| ns.parse().ok());
    first.ok_or_else(|| Failure(format!("the kernel says `{text}`")))
}

/// Does a piece of work so often and gives what one time has cost.
pub fn counted(times: usize, mut work: impl FnMut()) -> Result<Counted, Failure> {
    let (cpu, before) = (thread_cpu()?, ALLOCATOR.stats());
    (0..times).for_each(|_| work());
    let (cpu, after) = (thread_cpu()? - cpu, ALLOCATOR.stats());
    let held = |s: &stats_alloc::Stats| s.bytes_allocated as f64 - s.bytes_deallocated as f64;
    let allocations = |s: &stats_alloc::Stats| (s.allocations + s.reallocations) as f64;
    let each = |all: f64| all / times as f64;
    Ok(Counted {
        held: each(held(&after) - held(&before)),
        allocations: each(allocations(&after) - allocations(&before)),
        cpu: each(cpu),
    })
}

/// The same for a subject, made anew three times: counts of the last, and the middle processor time.
pub fn of(subject: Subject, size: usize) -> Result<Counted, Failure> {
    let (mut last, mut times) = (Counted::default(), Vec::new());
    for _ in 0..3 {
        let mut work = subject.prepare(size)?;
        last = counted(subject.times(), &mut work)?;
        times.push(last.cpu);
    }
    Ok(Counted { cpu: median(times), ..last })
}

/// Instructions of one time of a subject's work: two lives under valgrind, one with the work and one without.
pub fn instructions(subject: Subject, size: usize) -> Result<f64, Failure> {
    let life = |times: usize| -> Result<f64, Failure> {
        let output = Command::new("valgrind")
            .args(["--tool=callgrind", "--callgrind-out-file=/dev/null"])
            .arg(std::env::current_exe()?)
            .args(["probe", subject.name(), &size.to_string(), &times.to_string()])
            .output()?;
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        let collected = text.lines().find_map(|l| l.split("Collected :").nth(1)?.trim().parse().ok());
        collected
            .filter(|_| output.status.success())
            .ok_or_else(|| Failure(format!("no instructions of `{}` at {size}: {text}", subject.name())))
    };
    let times = subject.times();
    Ok((life(times)? - life(0)?) / times as f64)
}
