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

/// A connection's state in the kernel's table (include/net/tcp_states.h).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TcpState {
    /// Open on both sides.
    Established,
    /// Ended here, which the peer has not acknowledged.
    FinWait1,
    /// Ended here; the peer has not.
    FinWait2,
    /// Ended by the peer, and open here.
    CloseWait,
    /// Any other.
    Other,
}

impl TcpState {
    fn of(code: &str) -> TcpState {
        match code {
            "01" => TcpState::Established,
            "04" => TcpState::FinWait1,
            "05" => TcpState::FinWait2,
            "08" => TcpState::CloseWait,
            _ => TcpState::Other,
        }
    }
}

/// An IPv4 address as the kernel's table has it.
fn table_address(address: SocketAddr) -> String {
    let SocketAddr::V4(v4) = address else { return String::new() };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port())
}

/// Calls `f` with local address, peer and state of each IPv4 connection of this machine, in the table's form.
fn each_connection(mut f: impl FnMut(&str, &str, TcpState)) {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    for line in table.lines().skip(1) {
        let mut fields = line.split_ascii_whitespace().skip(1);
        if let (Some(local), Some(peer), Some(code)) = (fields.next(), fields.next(), fields.next()) {
            f(local, peer, TcpState::of(code));
        }
    }
}

/// Connections with this local address that their peers have closed and that are still open here.
pub fn close_wait(local: SocketAddr) -> usize {
    let local = table_address(local);
    let mut count = 0;
    each_connection(|own, _, state| count += usize::from(own == local && state == TcpState::CloseWait));
    count
}

/// The state of the connection between two addresses, on the side of the first; `None` where there is none.
pub fn tcp_state(local: SocketAddr, peer: SocketAddr) -> Option<TcpState> {
    let (local, peer) = (table_address(local), table_address(peer));
    let mut found = None;
    each_connection(|own, other, state| {
        if own == local && other == peer {
            found = Some(state);
        }
    });
    found
}
