//! Two levels: a planner whose discovery is silent goes on saying that its plan is current.

#[path = "../bed-2/bed.rs"]
mod bed;

use bed::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
/// How long the planner hears nothing of discovery.
const SILENT: Duration = Duration::from_secs(12);
/// A change counts as told at the latest 6 s after discovery had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// The grace of the settings, and 50 ms.
const GRACE: Duration = Duration::from_millis(300);

fn main() {
    let bed = Bed::new(ms(110_000));
    let seen: Arc<Mutex<Vec<(usize, f64)>>> = Arc::default();
    let servers: Vec<Server> = (0..6)
        .map(|k| {
            let (bed, seen) = (bed.clone(), seen.clone());
            Server::start(&format!("s-{k}"), move |request, conn| {
                lock(&seen).push((k, bed.now()));
                let id = request.header("x-request-id").to_owned();
                thread::sleep(ms(20));
                conn.write(&response("200 OK", "", &format!("answer to {id}"))).is_ok()
            })
        })
        .collect();
    let discovery = Discovery::start(servers.iter().map(|s| Host::of(&s.name, s.address)).collect());
    let relay = Relay::start(discovery.address, Duration::ZERO);
    let (listen, plan) = (free_address(), free_address());
    let tls = bed.root.join("review/bed-2/tls");
    let peers = |name: &str| {
        let file = |ending: &str| tls.join(format!("{name}.{ending}")).display().to_string();
        format!(
            "[peers]\nsite = \"perth\"\nname = \"{name}\"\nauthority = \"{}\"\ncertificate = \"{}\"\nkey = \"{}\"\n",
            tls.join("authority.pem").display(),
            file("pem"),
            file("key")
        )
    };
    let settings = Settings::default();
    let start = |name: &str, role: &str, config: String, own: String| {
        let config = bed.file(&format!("{name}.json"), &config);
        let site = bed.file(&format!("{name}.toml"), &(peers(name) + &own));
        let variables = [
            ("GW_CONFIG", config.display().to_string()),
            ("TMPDIR", bed.subfolder(&format!("tmp-{name}")).display().to_string()),
        ];
        bed.program(name, &format!("{role} --site {}", site.display()), &variables)
    };
    let _planner = start(
        "planner-1",
        "plan",
        config("planner-1", plan, relay.address, &settings),
        format!("[plan]\nlisten = \"{plan}\"\nplanners = 1\n"),
    );
    let _forwarder = start(
        "forwarder-1",
        "forward",
        config("forwarder-1", listen, discovery.address, &settings),
        format!("[forward]\nplanners = [\"{plan}\"]\n"),
    );
    bed.until("the forwarder is up", ms(20_000), || status(listen, "GET", "/up") == 200);
    thread::sleep(ms(4000));
    let stop = Instant::now() + ms(1500) + SILENT + ms(3000);
    let served = AtomicU64::new(0);
    let (mut drained_at, mut told_at) = (0.0, 0.0);
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while Instant::now() < stop {
                    let answer = Conn::connect(listen, ms(500)).and_then(|mut conn| {
                        conn.stream.set_read_timeout(Some(ms(1100)))?;
                        conn.write(&request("GET", "/status/x", &fresh_id(), STATUS_MS))?;
                        conn.read()
                    });
                    served.fetch_add(u64::from(answer.is_ok_and(|a| a.status() == 200)), Ordering::SeqCst);
                    thread::sleep(ms(5));
                }
            });
        }
        thread::sleep(ms(1500));
        if bed.trouble {
            relay.cut.store(true, Ordering::SeqCst);
            bed.log("discovery is silent for the planner");
        }
        let begun = Instant::now();
        thread::sleep(ms(200));
        discovery.change(Host { health: "leaving", ..Host::of(&servers[0].name, servers[0].address) });
        drained_at = bed.now();
        bed.log("s-0 begins to drain: discovery has it");
        // The forwarder's own discovery says so to anybody who asks.
        let list = call(discovery.address, "GET", "/discovery/hosts", ms(1000));
        bed.log(&format!("discovery says: {}", list.map_or(String::new(), |(_, text)| text.chars().take(160).collect())));
        thread::sleep(SILENT.saturating_sub(begun.elapsed()));
        relay.cut.store(false, Ordering::SeqCst);
        told_at = bed.now();
        bed.log("discovery speaks again");
    });
    let bound = drained_at + (TOLD_AFTER + GRACE).as_secs_f64() * 1e3;
    let at_draining: Vec<f64> = lock(&seen).iter().filter(|(k, _)| *k == 0).map(|s| s.1).collect();
    let late = at_draining.iter().filter(|at| **at > bound).count();
    let served = served.load(Ordering::SeqCst);
    bed.log(&format!(
        "served {served}; s-0 had {} requests, {} of them since it drains, the last at {:.0} ms; the bound is {bound:.0} ms, the silence ended at {told_at:.0} ms",
        at_draining.len(),
        at_draining.iter().filter(|at| **at > drained_at).count(),
        at_draining.last().copied().unwrap_or_default()
    ));
    bed.log_output("planner-1");
    bed.log_output("forwarder-1");
    if served < 300 || at_draining.is_empty() {
        bed.end(2, "too little was served to judge");
    }
    match late {
        0 => bed.end(0, "the draining server got nothing new after the bound"),
        n => bed.end(1, &format!("the draining server got {n} requests after the bound")),
    }
}
