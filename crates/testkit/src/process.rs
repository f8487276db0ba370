//! What the kernel says of a process.

use std::net::SocketAddr;
use std::time::Duration;

/// What is told of a process's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Memory {
    /// What it holds now.
    Resident,
    /// The most that it has held.
    Peak,
}

/// Memory of a process in kB; `None` where it has ended.
pub fn memory_kb(pid: u32, memory: Memory) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let key = match memory {
        Memory::Resident => "VmRSS:",
        Memory::Peak => "VmHWM:",
    };
    status.lines().find_map(|l| l.strip_prefix(key)?.trim().strip_suffix(" kB")?.parse().ok())
}

/// Time that a process has had a processor, over all of its threads; none where it has ended.
pub fn processor(pid: u32) -> Duration {
    let nanos = |task: std::fs::DirEntry| -> Option<u64> {
        // The first number is nanoseconds on a processor (the kernel's sched-stats.rst).
        std::fs::read_to_string(task.path().join("schedstat")).ok()?.split(' ').next()?.parse().ok()
    };
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().filter_map(Result::ok);
    Duration::from_nanos(tasks.filter_map(nanos).sum())
}

/// Whether a process has begun as the command that has this argument (proc(5)). Before that it is a copy of the one that
/// starts it, with its arguments and all of its descriptors: those are closed before the new arguments are in place.
pub fn begun(pid: u32, argument: &[u8]) -> bool {
    let arguments = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
    arguments.split(|byte| *byte == 0).any(|a| a == argument)
}

/// Descriptors that a process holds; none where it has ended.
pub fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Connections with this local IPv4 address that their peers have closed and that are still open here (CLOSE_WAIT).
pub fn close_wait(local: SocketAddr) -> usize {
    const CLOSE_WAIT: &str = "08";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let local = format!("0100007F:{:04X}", local.port());
    let row = |line: &&str| {
        let mut fields = line.split_ascii_whitespace().skip(1);
        fields.next() == Some(&local) && fields.nth(1) == Some(CLOSE_WAIT)
    };
    table.lines().filter(row).count()
}
