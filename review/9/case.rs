//! An upgrade while discovery is down, after a server has begun to drain.

#[path = "../bed-2/bed.rs"]
mod bed;

use bed::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CLIENTS: usize = 8;
/// Discovery's news bind from 2 s after the yes; the grace of the settings is 250 ms, and each limit is 50 ms longer.
const AFTER_YES_MS: f64 = 2_000.0 + 250.0 + 50.0;
/// How long discovery is down.
const DOWN_MS: u64 = 8_000;

fn main() {
    let bed = Bed::new(ms(100_000));
    let seen: Arc<Mutex<Vec<(usize, String, f64)>>> = Arc::default();
    let servers: Vec<Server> = (0..4)
        .map(|k| {
            let (bed, seen) = (bed.clone(), seen.clone());
            Server::start(&format!("s-{k}"), move |request, conn| {
                let id = request.header("x-request-id").to_owned();
                lock(&seen).push((k, id.clone(), bed.now()));
                thread::sleep(ms(if request.class() == "acknowledge" { 100 } else { 20 }));
                conn.write(&response("200 OK", "", &format!("answer to {id}"))).is_ok()
            })
        })
        .collect();
    let discovery = Discovery::start(servers.iter().map(|s| Host::of(&s.name, s.address)).collect());
    let listen = free_address();
    // `known` in the configuration: the list as the node last had it. It is some seconds old.
    let text = config_knowing("n0", listen, &discovery, &Settings::default());
    let path = bed.file("config.json", &text);
    let shared = bed.subfolder("tmp").display().to_string();
    let management = [free_address(), free_address()];
    let start = |name: &str, at: usize| {
        let variables = [
            ("GW_CONFIG", path.display().to_string()),
            ("TMPDIR", shared.clone()),
            ("GW_MANAGEMENT", management[at].to_string()),
        ];
        bed.program(name, "", &variables)
    };
    let old = start("old", 0);
    bed.until("the old process takes clients", ms(20_000), || status(management[0], "GET", "/_ready") == 200);
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, served) = (stop.clone(), served.clone());
            thread::spawn(move || {
                let mut n = client;
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    let (method, class, timeout) = match n % 4 {
                        0 => ("POST", "acknowledge", ACKNOWLEDGE_MS),
                        _ => ("GET", "status", STATUS_MS),
                    };
                    let answer = Conn::connect(listen, ms(1000)).and_then(|mut conn| {
                        conn.stream.set_read_timeout(Some(ms(timeout + 500)))?;
                        conn.write(&request(method, &format!("/{class}/x"), &fresh_id(), timeout))?;
                        conn.read()
                    });
                    served.fetch_add(u64::from(answer.is_ok_and(|a| a.status() == 200)), Ordering::SeqCst);
                    thread::sleep(ms(5));
                }
            })
        })
        .collect();
    thread::sleep(ms(2000));
    let at_first = |from: f64| lock(&seen).iter().filter(|(k, _, at)| *k == 0 && *at > from).count();
    bed.log(&format!("s-0 has had {} requests", at_first(0.0)));
    let seq = discovery.change(Host { health: "leaving", ..Host::of(&servers[0].name, servers[0].address) });
    bed.until("the node is told", ms(5_000), || discovery.told_at(seq).is_some());
    let told = bed.now();
    bed.log("s-0 drains, and the node has been told");
    thread::sleep(ms(1500));
    bed.log(&format!("s-0 has had {} requests later than 300 ms after that", at_first(told + 300.0)));
    let mut yes = told;
    if bed.trouble {
        // Discovery goes down: watches end, and the agent is silent.
        *lock(&discovery.mode) = WatchMode::SilentAfter(0);
        discovery.end_up_to.store(discovery.watches.load(Ordering::SeqCst), Ordering::SeqCst);
        bed.log("discovery is down");
        let down = bed.now();
        thread::sleep(ms(500));
        let new = start("new", 1);
        bed.until("the new process says yes", ms(6_000), || status(management[1], "GET", "/_ready") == 200);
        yes = bed.now();
        bed.log("the new process has said yes");
        bed.signal(&old, SIGTERM);
        thread::sleep(ms((down + DOWN_MS as f64 - bed.now()).max(0.0) as u64));
        *lock(&discovery.mode) = WatchMode::Sound;
        discovery.end_up_to.store(discovery.watches.load(Ordering::SeqCst), Ordering::SeqCst);
        bed.log("discovery is back");
        std::mem::forget(new);
    } else {
        thread::sleep(ms(DOWN_MS));
    }
    thread::sleep(ms(4000));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    let bound = if bed.trouble { yes + AFTER_YES_MS } else { told + 300.0 };
    let (after_yes, late) = (at_first(yes), at_first(bound));
    let last = lock(&seen).iter().filter(|s| s.0 == 0).map(|s| s.2).fold(0.0, f64::max);
    let served = served.load(Ordering::SeqCst);
    bed.log(&format!(
        "served {served}; s-0 has had {after_yes} requests since the yes and {late} after the bound of {bound:.0} ms, the last at {last:.0} ms"
    ));
    bed.log_output("old");
    bed.log_output("new");
    if served < 500 {
        bed.end(2, "too little was served to judge");
    }
    match late {
        0 => bed.end(0, "the draining server got nothing new"),
        n => bed.end(1, &format!("the draining server got {n} new requests, of which this node had been told that it drains")),
    }
}
