//! A server that staff put back at a fleet's member while that is being upgraded.

#[path = "../bed-2/bed.rs"]
mod bed;

use bed::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const MEMBERS: usize = 3;
const CLIENTS: usize = 8;

fn main() {
    let bed = Bed::new(ms(110_000));
    let seen: Arc<Mutex<Vec<(usize, String, f64)>>> = Arc::default();
    let servers: Vec<Server> = (0..4)
        .map(|k| {
            let (bed, seen) = (bed.clone(), seen.clone());
            Server::start(&format!("s-{k}"), move |request, conn| {
                let id = request.header("x-request-id").to_owned();
                lock(&seen).push((k, id.clone(), bed.now()));
                thread::sleep(ms(15));
                conn.write(&response("200 OK", "", &format!("answer to {id}"))).is_ok()
            })
        })
        .collect();
    let discovery = Discovery::start(servers.iter().map(|s| Host::of(&s.name, s.address)).collect());
    let addresses: Vec<_> = (0..MEMBERS).map(|_| (free_address(), free_address(), free_address())).collect();
    let roster: String = addresses
        .iter()
        .enumerate()
        .map(|(k, (.., peer))| format!("[[fleet.member]]\nname = \"node-{k}\"\naddress = \"{peer}\"\n"))
        .collect();
    let start = |k: usize, life: usize, management: std::net::SocketAddr| {
        let listen = addresses[k].0;
        let settings = Settings { nodes: MEMBERS as u32, ordinal: k as u32, peers: true, ..Settings::default() };
        let text = config_knowing(&format!("node-{k}"), listen, &discovery, &settings);
        let path = bed.file(&format!("config-{k}.json"), &text);
        let site = bed.file(
            &format!("site-{k}.toml"),
            &format!("[fleet]\nsite = \"perth\"\nname = \"node-{k}\"\nkey = \"00112233445566778899aabbccddeeff\"\n{roster}"),
        );
        let folder = bed.subfolder(&format!("tmp-{k}-{life}"));
        let variables = [
            ("GW_CONFIG", path.display().to_string()),
            ("TMPDIR", folder.display().to_string()),
            ("GW_MANAGEMENT", management.to_string()),
        ];
        let name = if management == addresses[k].1 { format!("node-{k}-{life}") } else { format!("node-{k}-{life}b") };
        bed.program(&name, &format!("--site {}", site.display()), &variables)
    };
    let nodes: Vec<_> = (0..MEMBERS).map(|k| start(k, 0, addresses[k].1)).collect();
    for (listen, management, _) in &addresses {
        bed.until("a member is ready", ms(20_000), || status(*management, "GET", "/_ready") == 200);
        bed.until("a member is up", ms(20_000), || status(*listen, "GET", "/up") == 200);
    }
    let members = |k: usize| {
        call(addresses[k].1, "GET", "/_fleet", ms(1000)).map_or(String::new(), |(_, text)| text)
    };
    bed.until("all are in one view", ms(30_000), || {
        (0..MEMBERS).all(|k| members(k).matches("\"member\":true").count() == MEMBERS)
    });
    bed.log(&members(0));
    let listens: Vec<_> = addresses.iter().map(|a| a.0).collect();
    let ask = Arc::new(move |k: usize| {
        let id = fresh_id();
        let answer = Conn::connect(listens[k], ms(500)).and_then(|mut conn| {
            conn.stream.set_read_timeout(Some(ms(1100)))?;
            conn.write(&request("GET", "/status/x", &id, STATUS_MS))?;
            conn.read()
        });
        (id, answer.map_or(0, |a| a.status()))
    });
    // A light load at all of them.
    thread::scope(|scope| {
        for n in 0..CLIENTS {
            let ask = ask.clone();
            scope.spawn(move || (0..25).for_each(|k| drop(ask((n + k) % MEMBERS))));
        }
    });
    bed.log(&format!("s-0 has had {} of 200 requests", lock(&seen).iter().filter(|s| s.0 == 0).count()));
    let answer = call(addresses[0].1, "POST", "/_servers/detach/s-0", ms(1000));
    bed.log(&format!("detach s-0 at node-0: {answer:?}"));
    if answer.is_none_or(|(status, _)| status != 200) {
        bed.end(2, "no yes");
    }
    thread::sleep(ms(3000));
    let held = call(addresses[0].1, "GET", "/_fleet/held/s-0", ms(2000));
    bed.log(&format!("who has the word: {held:?}"));
    let mut at = addresses[1].1;
    let mut upgrade = None;
    if bed.trouble {
        at = free_address();
        let new = start(1, 0, at);
        bed.until("the new process says yes", ms(6_000), || status(at, "GET", "/_ready") == 200);
        bed.log("node-1: the new process has said yes");
        upgrade = Some(new);
    }
    let answer = call(at, "POST", "/_servers/attach/s-0", ms(1000));
    bed.log(&format!("attach s-0 at node-1: {answer:?}"));
    if answer.is_none_or(|(status, _)| status != 200) {
        bed.end(2, "no yes");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (stop, served, ask) = (stop.clone(), served.clone(), ask.clone());
            thread::spawn(move || {
                let mut k = n;
                while !stop.load(Ordering::SeqCst) {
                    k += 1;
                    served.fetch_add(u64::from(ask(k % MEMBERS).1 == 200), Ordering::SeqCst);
                    thread::sleep(ms(5));
                }
            })
        })
        .collect();
    if upgrade.is_some() {
        bed.signal(&nodes[1], SIGTERM);
        bed.until("the old process ends", ms(6_000), || bed.ended(&nodes[1]));
    }
    // What is to hold holds by now: put back is put back at once, and tried within about 2 s.
    thread::sleep(ms(4000));
    let from = bed.now();
    thread::sleep(ms(10_000));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    let served = served.load(Ordering::SeqCst);
    let got = lock(&seen).iter().filter(|(k, _, at)| *k == 0 && *at > from).count();
    let mut out = 0;
    for (k, (_, management, _)) in addresses.iter().enumerate() {
        let at = if k == 1 { at } else { *management };
        let state = call(at, "GET", "/_fleet/state/ban", ms(1000)).map_or(String::new(), |(_, text)| text);
        out += u64::from(state.contains("\"kind\":\"ban\",\"out\":true,\"server\":\"s-0\""));
        bed.log(&format!("node-{k}: {}", state.trim()));
    }
    bed.log(&format!("served: {served}; s-0 had {got} requests in the last 10 s; {out} members say that it is out"));
    bed.log_output("node-1-0");
    bed.log_output("node-1-0b");
    if served < 100 {
        bed.end(2, "too little was served to judge");
    }
    match (got, out) {
        (0, 1..) => bed.end(1, "the server that was put back is out, and got nothing"),
        _ => bed.end(0, "the server that was put back is used again"),
    }
}
