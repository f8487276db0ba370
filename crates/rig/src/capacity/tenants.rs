//! Tenants in the settings: what a node holds of them, what finding the last one costs, and a whole request of it.

use super::process::{Node, Pushed};
use super::server_list::{address, config, Temporary};
use super::subject::{Subject, Work};
use super::{count, Measured, ALLOCATOR, INSTRUCTIONS, KERNEL};
use crate::boxes::Boxes;
use crate::report::Failure;
use crate::site::can_count;
use laurelroute_node::config::Config;
use laurelroute_testkit::client::Client;
use laurelroute_testkit::process::{memory_kb, Memory};
use laurelroute_testkit::wire::Wire;
use laurelroute_thrift::codec::Form;
use std::hint::black_box;

/// Tenants in the settings.
const SIZES: [usize; 4] = [1_000, 50_000, 150_000, 380_000];
/// Those at which a request is counted.
const REQUEST_SIZES: [usize; 3] = [1_000, 50_000, 380_000];
/// Requests of the shorter and of the longer life.
const FEW: usize = 100;
const MANY: usize = 500;

/// The name of a tenant.
pub fn name(k: usize) -> String {
    format!("tenant-{k:06}")
}

/// A node reads its settings.
pub fn settings(size: usize) -> Result<Work, Failure> {
    let file = Temporary::holding(&config(address(0), address(1), size).to_string())?;
    let mut kept = Vec::new();
    Ok(Box::new(move || kept.extend(Config::read(&file.0))))
}

/// A node finds the last tenant.
pub fn last(size: usize) -> Result<Work, Failure> {
    let file = Temporary::holding(&config(address(0), address(1), size).to_string())?;
    let (config, name) = (Config::read(&file.0)?, name(size - 1));
    Ok(Box::new(move || {
        black_box(config.gateway.tenant_index(black_box(Some(name.as_bytes()))));
    }))
}

/// The slopes in process.
pub fn measure(_seed: u64) -> Result<Vec<Measured>, Failure> {
    let grows = "tenants in the settings";
    let mut held = Measured::line("node.tenants.held", grows, "bytes", ALLOCATOR);
    let mut resident = Measured::line("node.tenants.resident", grows, "bytes", KERNEL);
    let mut peak = Measured::line("node.tenants.peak", grows, "bytes", KERNEL);
    for size in SIZES {
        println!("  {size} tenants ...");
        held.add(size, count::of(Subject::Tenants, size)?.held);
        let pushed = Pushed::servers(10)?;
        let node = Node::start(&pushed, size, false)?;
        node.until_ready()?;
        let kb = |what| memory_kb(node.pid(), what).map_or(f64::NAN, |kb| kb as f64 * 1024.0);
        resident.add(size, kb(Memory::Resident));
        peak.add(size, kb(Memory::Peak));
    }
    let mut all = vec![held, resident, peak];
    if can_count() {
        let mut find = Measured::line("node.tenant.instructions", grows, "instructions", INSTRUCTIONS);
        for size in [1_000, 10_000, 50_000] {
            find.add(size, count::instructions(Subject::Tenant, size)?);
        }
        all.push(find);
    }
    Ok(all)
}

/// Instructions of a whole request of the last tenant, through a real node to a real box.
pub fn request(_seed: u64) -> Result<Vec<Measured>, Failure> {
    if !can_count() {
        println!("  not run: there is no valgrind");
        return Ok(Vec::new());
    }
    let form = Form::named("framed-binary").ok_or_else(|| Failure("no form".into()))?;
    let boxes = Boxes::start(form, 2)?;
    let addresses: Vec<_> = boxes.addresses.iter().map(|(http, _)| *http).collect();
    let life = |tenants: usize, requests: usize| -> Result<f64, Failure> {
        let pushed = Pushed::listing(&addresses)?;
        let node = Node::start(&pushed, tenants, true)?;
        node.until_ready()?;
        let mut client =
            Client::connect(Wire::Http, node.http).ok_or_else(|| Failure("the node takes nobody".into()))?;
        for k in 0..requests {
            let ask = format!(
                "GET /read HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\nX-Timeout-Ms: 5000\r\nX-Tenant-ID: {}\r\n\r\n",
                laurelroute_testkit::fresh_id(),
                name(tenants - 1)
            );
            client.raw(ask.as_bytes());
            if !client.answer().is_some_and(|a| a.served()) {
                return Err(Failure(format!("request {k} of {requests} was not served")));
            }
        }
        drop(client);
        node.finish()
    };
    let mut whole =
        Measured::line("node.request.instructions", "tenants in the settings", "instructions", INSTRUCTIONS);
    for size in REQUEST_SIZES {
        println!("  {size} tenants, requests under valgrind ...");
        let (few, many) = (life(size, FEW)?, life(size, MANY)?);
        whole.add(size, (many - few) / (MANY - FEW) as f64);
    }
    Ok(vec![whole])
}
