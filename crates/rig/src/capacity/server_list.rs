//! One list of servers at a node: what is held of it, what the whole and one change of it cost.

use super::subject::{Subject, Work};
use super::{count, Measured, ALLOCATOR, CPU, INSTRUCTIONS};
use crate::report::Failure;
use crate::site::can_count;
use laurelroute_core::fleet::ServerEntry;
use laurelroute_core::gateway::{Gateway, GatewayConfig};
use laurelroute_node::config::Config;
use laurelroute_policy::interface::{Endpoint, ListKind, Phase, Server};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Zones of the installation.
const ZONES: usize = 9;
/// Servers in one list.
pub const SIZES: [usize; 5] = [1_000, 5_000, 10_000, 20_000, 40_000];
/// Those at which a whole list is timed: where it costs the square, that is seen only among the larger. A list of more
/// than some 65,000 is not taken from discovery.
pub const LARGE: [usize; 4] = [10_000, 20_000, 40_000, 60_000];
/// Those at which instructions are counted: valgrind is some fifty times slower.
const COUNTED_LARGE: [usize; 4] = [5_000, 10_000, 20_000, 40_000];
const COUNTED_SIZES: [usize; 4] = [2_500, 5_000, 10_000, 20_000];

/// Where the server of a number listens; nobody connects to it.
pub fn address(k: usize) -> SocketAddr {
    let k = k as u32;
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + k), 8080))
}

/// Its name.
pub fn name(k: usize) -> String {
    format!("box-{k:06}")
}

/// Its zone's name.
pub fn zone(k: usize) -> String {
    format!("zone-{}", k % ZONES)
}

/// The configuration of a node with so many tenants.
pub fn config(listen: SocketAddr, discovery: SocketAddr, tenants: usize) -> Value {
    let zones: Vec<String> = (0..ZONES).map(zone).collect();
    let tenants: Vec<Value> =
        (0..tenants).map(|k| json!({"name": super::tenants::name(k), "quotaPerS": 100.0})).collect();
    json!({
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 256},
        "settings": {
            "classes": [{"name": "read", "aimNs": 3_000_000_000u64, "giveUpNs": 5_000_000_000u64, "worth": 1.0,
                "effect": "pure"}],
            "tenants": tenants, "zone": 0, "zones": zones, "skus": ["m"], "ordinal": 0, "groupSize": 1,
            "registryMode": "automatic",
            "caps": {"maxAttempts": 3, "secondCopies": false, "cancelling": true, "mayProbe": false, "peers": false,
                "retryAfter": true, "maxRetryAfterNs": 2_000_000_000u64, "connIdleNs": 10_000_000_000u64,
                "connectTimeoutNs": 1_000_000_000u64},
            "guarantees": {"coldFrom": 0.3, "rampTimeNs": 5_000_000_000u64, "tipMultiple": 3.0,
                "fallNs": 2_000_000_000u64, "askWithinNs": 10_000_000_000u64, "stopSendingWithinNs": 250_000_000u64},
        },
    })
}

/// A file that goes with this.
pub struct Temporary(pub PathBuf);

impl Temporary {
    /// Writes a file.
    pub fn holding(text: &str) -> Result<Temporary, Failure> {
        let name = format!("laurelroute-capacity-{}-{}", std::process::id(), laurelroute_testkit::fresh());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text)?;
        Ok(Temporary(path))
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn site() -> Result<GatewayConfig, Failure> {
    let file = Temporary::holding(&config(address(0), address(1), 0).to_string())?;
    Ok(Config::read(&file.0)?.gateway)
}

fn entry(k: usize, phase: Phase) -> ServerEntry {
    let server = Server::warm(Endpoint { address: [0; 4], port: 0 });
    let server = Server { zone: (k % ZONES) as u8, phase, ..server };
    ServerEntry { host: name(k), addresses: vec![Some(address(k))], server, attributes: None }
}

fn entries(size: usize) -> Vec<ServerEntry> {
    (0..size).map(|k| entry(k, Phase::Ready)).collect()
}

fn gateway(site: GatewayConfig) -> Result<Rc<Gateway>, Failure> {
    let (calls, _) = mpsc::unbounded_channel();
    Ok(Gateway::new(site, calls)?)
}

/// A node takes a whole list.
pub fn list(size: usize) -> Result<Work, Failure> {
    let gateway = gateway(site()?)?;
    let mut entries = Some(entries(size));
    Ok(Box::new(move || {
        // The list comes from its reader and is not the node's to keep.
        gateway.update_servers(ListKind::Full, entries.take().unwrap_or_default());
    }))
}

/// A node hears of one changed server.
pub fn change(size: usize) -> Result<Work, Failure> {
    let gateway = gateway(site()?)?;
    gateway.update_servers(ListKind::Full, entries(size));
    let mut next = 0;
    Ok(Box::new(move || {
        next += 1;
        gateway.update_servers(ListKind::Changes, vec![entry(next * 7 % size, Phase::Draining)]);
    }))
}

/// Bytes that a node holds of a list: its reader's share of them is given back.
fn held(size: usize) -> Result<(f64, f64), Failure> {
    let gateway = gateway(site()?)?;
    let (mut held, mut allocations) = (0.0, 0.0);
    let counted = count::counted(1, || gateway.update_servers(ListKind::Full, entries(size)))?;
    let reader = count::counted(1, || drop(entries(size)))?;
    held += counted.held;
    allocations += counted.allocations - reader.allocations;
    Ok((held, allocations))
}

/// The slopes.
pub fn measure(_seed: u64) -> Result<Vec<Measured>, Failure> {
    let grows = "servers in one list";
    let mut bytes = Measured::line("node.list.held", grows, "bytes", ALLOCATOR);
    let mut allocations = Measured::line("node.list.allocations", grows, "allocations", ALLOCATOR);
    let mut cpu = Measured::power("node.list.cpu", grows, "ns", CPU);
    let mut change_allocations = Measured::line("node.change.allocations", grows, "allocations", ALLOCATOR);
    let mut change_cpu = Measured::line("node.change.work_cpu", grows, "ns", CPU);
    for size in SIZES {
        println!("  {size} servers ...");
        let (held, all) = held(size)?;
        bytes.add(size, held);
        allocations.add(size, all);
        let change = count::of(Subject::Change, size)?;
        change_allocations.add(size, change.allocations);
        change_cpu.add(size, change.cpu);
    }
    for size in LARGE {
        println!("  {size} servers, timed ...");
        cpu.add(size, count::of(Subject::List, size)?.cpu);
    }
    let mut all = vec![bytes, allocations, cpu, change_allocations, change_cpu];
    if can_count() {
        let mut list = Measured::power("node.list.instructions", grows, "instructions", INSTRUCTIONS);
        let mut change = Measured::line("node.change.instructions", grows, "instructions", INSTRUCTIONS);
        for size in COUNTED_SIZES {
            println!("  {size} servers, under valgrind ...");
            change.add(size, count::instructions(Subject::Change, size)?);
        }
        for size in COUNTED_LARGE {
            println!("  a list of {size}, under valgrind ...");
            list.add(size, count::instructions(Subject::List, size)?);
        }
        all.extend([list, change]);
    }
    Ok(all)
}
