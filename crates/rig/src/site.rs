//! A node as the measurements run it: this program under another name, so that what it allocates and asks of the
//! kernel is counted and told at its end.

use crate::boxes::Boxes;
use crate::report::Failure;
use crate::ALLOCATOR;
use laurelroute_core::io_counters::IoCounters;
use laurelroute_testkit::discovery::Discovery;
use laurelroute_testkit::program::{Program, Wishes};
use laurelroute_testkit::wire::{Ask, Class, Wire};
use laurelroute_thrift::codec::Form;
use std::path::{Path, PathBuf};

/// What a process has used since its start, as it tells at its end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Used {
    /// Allocations, growths of them included.
    pub allocations: f64,
    /// Bytes of them.
    pub bytes: f64,
    /// System calls on connections.
    pub syscalls: f64,
    /// Bytes of messages that were copied.
    pub copied: f64,
    /// Instructions, where valgrind counted them.
    pub instructions: f64,
}

impl Used {
    /// What was used for each of `n` requests between two lives, the second of which carried `n` more.
    pub fn per(self, before: Used, n: u64) -> Used {
        let n = n as f64;
        Used {
            allocations: (self.allocations - before.allocations) / n,
            bytes: (self.bytes - before.bytes) / n,
            syscalls: (self.syscalls - before.syscalls) / n,
            copied: (self.copied - before.copied) / n,
            instructions: (self.instructions - before.instructions) / n,
        }
    }

    /// Reads what a process has written.
    pub fn read(output: &str) -> Used {
        let figure = |key: &str| {
            let line = output.lines().find(|l| l.contains(key))?;
            line.split(key).nth(1)?.split_whitespace().next()?.replace(',', "").parse().ok()
        };
        Used {
            allocations: figure("USED allocations=").unwrap_or(f64::NAN),
            bytes: figure(" bytes=").unwrap_or(f64::NAN),
            syscalls: figure(" syscalls=").unwrap_or(f64::NAN),
            copied: figure(" copied=").unwrap_or(f64::NAN),
            instructions: figure("Collected :").unwrap_or(f64::NAN),
        }
    }
}

/// Tells what this process has used.
pub fn tell() {
    let (stats, tally) = (ALLOCATOR.stats(), IoCounters::now());
    println!(
        "USED allocations={} bytes={} syscalls={} copied={}",
        stats.allocations + stats.reallocations,
        stats.bytes_allocated,
        tally.syscalls(),
        tally.copied_bytes
    );
}

/// The node's process.
pub fn node(site: &Path) -> Result<(), Failure> {
    laurelroute_node::run::start(Some(site), laurelroute_node::run::Role::Standalone)?;
    tell();
    Ok(())
}

/// The command that runs this program again, under valgrind where that is wanted.
pub fn again(command: &str, counted: bool) -> Result<Vec<String>, Failure> {
    let own = std::env::current_exe()?.display().to_string();
    let mut all: Vec<String> = Vec::new();
    if counted {
        all.extend(["valgrind", "--tool=callgrind", "--callgrind-out-file=/dev/null"].map(str::to_owned));
    }
    all.extend([own, command.to_owned()]);
    Ok(all)
}

/// Whether valgrind is there to count instructions.
pub fn can_count() -> bool {
    std::process::Command::new("valgrind").arg("--version").output().is_ok_and(|out| out.status.success())
}

/// A node before boxes.
pub struct Site {
    /// The node.
    pub node: Program,
    output: PathBuf,
    _discovery: Discovery,
}

impl Site {
    /// Starts a node before these boxes, which speak this form, and waits until it serves.
    pub fn start(boxes: &Boxes, form: Form, counted: bool) -> Result<Site, Failure> {
        Self::wishing(boxes, form, counted, Wishes::default())
    }

    /// The same with wishes.
    pub fn wishing(boxes: &Boxes, form: Form, counted: bool, wishes: Wishes) -> Result<Site, Failure> {
        let entries = boxes.entries();
        let discovery = Discovery::start(&entries);
        let output = std::env::temp_dir().join(format!(
            "laurelroute-rig-{}-{}.out",
            std::process::id(),
            laurelroute_testkit::fresh()
        ));
        let wishes =
            Wishes { sockets: 1024, launch: again("node", counted)?, output: Some(output.clone()), ..wishes };
        let node = Program::start(&std::env::current_exe()?, discovery.address, form, wishes);
        laurelroute_testkit::until("the node serves", || {
            node.ask(Wire::Http, &Ask::new(Class::Read)).is_some_and(|a| a.served())
        });
        Ok(Site { node, output, _discovery: discovery })
    }

    /// Ends the node in order and gives what it has used.
    pub fn finish(mut self) -> Result<Used, Failure> {
        self.node.signal("TERM");
        laurelroute_testkit::until("the node ends", || !self.node.running());
        let text = std::fs::read_to_string(&self.output)?;
        let _ = std::fs::remove_file(&self.output);
        Ok(Used::read(&text))
    }
}

/// Processor time of a process in nanoseconds, over all its threads.
pub fn cpu_ns(pid: u32) -> Result<u64, Failure> {
    let mut sum = 0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
        sum += text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(sum)
}
