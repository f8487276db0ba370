//! Services by subscription: one planner says that a server drains and is killed; the other one has an older list.

#[path = "../bed-2/bed.rs"]
mod bed;

use bed::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
/// How long the planner hears nothing of discovery.
const SILENT: Duration = Duration::from_secs(20);
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
    let (listen, plans) = (free_address(), [free_address(), free_address()]);
    let tls = bed.root.join("review/bed-2/tls");
    let peers = |name: &str| {
        let certified = if name.starts_with("planner") { "planner-1" } else { name };
        let file = |ending: &str| tls.join(format!("{certified}.{ending}")).display().to_string();
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
    // Each planner has a relay to discovery of its own: the one in the depot that is cut off hears nothing.
    let relays: Vec<Relay> = (0..2).map(|_| Relay::start(discovery.address, Duration::ZERO)).collect();
    let planners: Vec<Process> = (0..2)
        .map(|k| {
            let name = format!("planner-{}", k + 1);
            let text = config(&name, plans[k], relays[k].address, &settings);
            start(&name, "plan", text, format!("[plan]\nlisten = \"{}\"\nplanners = 2\nservices = true\n", plans[k]))
        })
        .collect();
    let _forwarder = start(
        "forwarder-1",
        "forward",
        config("forwarder-1", listen, discovery.address, &settings),
        format!("[forward]\nplanners = [\"{}\", \"{}\"]\nservices = true\n", plans[0], plans[1]),
    );
    bed.until("the forwarder is up", ms(20_000), || status(listen, "GET", "/up") == 200);
    thread::sleep(ms(4000));
    // Which planner the forwarder has chosen is in its log; the other one is cut off.
    let log = std::fs::read_to_string(bed.folder.join("forwarder-1.log")).unwrap_or_default();
    let followed = usize::from(log.rfind("connected to `planner-2`") > log.rfind("connected to `planner-1`"));
    let relay = &relays[1 - followed];
    bed.log(&format!("the forwarder follows planner-{}", followed + 1));
    let stop = Instant::now() + ms(1500) + SILENT + ms(4000);
    let served = AtomicU64::new(0);
    let (mut drained_at, mut told_at) = (0.0, 0.0);
    let at = |from: f64, to: f64| lock(&seen).iter().filter(|(k, at)| *k == 0 && *at > from && *at <= to).count();
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
            bed.log(&format!("discovery is silent for planner-{}", 2 - followed));
        }
        let begun = Instant::now();
        thread::sleep(ms(200));
        discovery.change(Host { health: "leaving", ..Host::of(&servers[0].name, servers[0].address) });
        drained_at = bed.now();
        bed.log("s-0 begins to drain: discovery has it");
        thread::sleep(ms(1000));
        let last = lock(&seen).iter().filter(|(k, _)| *k == 0).map(|s| s.1).fold(0.0, f64::max);
        bed.log(&format!("the last request at s-0 so far came at {last:.0} ms"));
        if last > drained_at + 300.0 {
            bed.end(2, "the forwarder was not told of the drain");
        }
        if bed.trouble {
            bed.signal(&planners[followed], SIGKILL);
        }
        thread::sleep(SILENT.saturating_sub(begun.elapsed()));
        relay.cut.store(false, Ordering::SeqCst);
        told_at = bed.now();
        bed.log("discovery speaks again");
    });
    let bound = drained_at + 1000.0 + GRACE.as_secs_f64() * 1e3;
    let at_draining: Vec<f64> = lock(&seen).iter().filter(|(k, _)| *k == 0).map(|s| s.1).collect();
    let late = at_draining.iter().filter(|at| **at > bound).count();
    let served = served.load(Ordering::SeqCst);
    bed.log(&format!(
        "served {served}; s-0 had {} requests, {} of them since it drains, the last at {:.0} ms; the bound is {bound:.0} ms, the silence ended at {told_at:.0} ms",
        at_draining.len(),
        at_draining.iter().filter(|at| **at > drained_at).count(),
        at_draining.last().copied().unwrap_or_default()
    ));
    for second in 0..26 {
        let from = drained_at + f64::from(second) * 1e3;
        bed.log(&format!("second {second} after the drain: {} requests at s-0", at(from, from + 1e3)));
    }
    bed.log_output("planner-1");
    bed.log_output("planner-2");
    bed.log_output("forwarder-1");
    if served < 300 || at_draining.is_empty() {
        bed.end(2, "too little was served to judge");
    }
    match late {
        0 => bed.end(0, "the draining server got nothing new after the bound"),
        n => bed.end(1, &format!("the draining server got {n} requests after the bound")),
    }
}
