//! What the kernel says of a process.

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

/// The name that the kernel shows of a process (proc(5)): its starter's until its own program has begun, which is after the
/// starter's descriptors are closed in it. `None` where it has ended.
pub fn name(pid: &str) -> Option<String> {
    std::fs::read_to_string(format!("/proc/{pid}/comm")).ok()
}

/// Descriptors that a process holds; none where it has ended.
pub fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}
