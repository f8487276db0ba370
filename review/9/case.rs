//! A shift that is undone while an upgrade is under way.

#[path = "../bed-2/bed.rs"]
mod bed;

use bed::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

fn main() {
    let bed = Bed::new(ms(100_000));
    // Requests that boxes of the new pool began, with their times.
    let at_new: Arc<Mutex<Vec<f64>>> = Arc::default();
    let at_old = Arc::new(AtomicU64::new(0));
    let servers: Vec<Server> = (0..6)
        .map(|k| {
            let (bed, at_new, at_old) = (bed.clone(), at_new.clone(), at_old.clone());
            let name = if k < 3 { format!("old-{k}") } else { format!("new-{k}") };
            Server::start(&name, move |request, conn| {
                match k < 3 {
                    true => drop(at_old.fetch_add(1, Ordering::SeqCst)),
                    false => lock(&at_new).push(bed.now()),
                }
                let id = request.header("x-request-id").to_owned();
                thread::sleep(ms(20));
                conn.write(&response("200 OK", "", &format!("answer to {id}"))).is_ok()
            })
        })
        .collect();
    let hosts = servers.iter().enumerate().map(|(k, s)| {
        let version = if k < 3 { "41" } else { "42" };
        Host { more: format!(",\"version\":\"{version}\""), ..Host::of(&s.name, s.address) }
    });
    let discovery = Discovery::start(hosts.collect());
    let listen = free_address();
    let settings = Settings::default();
    let path = bed.file("config.json", &config_knowing("n0", listen, &discovery, &settings));
    let site = bed.file(
        "site.toml",
        "[shift]\nname = \"release-42\"\nold = { version = [\"41\"] }\nnew = { version = [\"42\"] }\n\
         steps = [50, 100]\njournal = \"release-42.journal\"\n",
    );
    let shared = bed.subfolder("tmp").display().to_string();
    let management = [free_address(), free_address()];
    let start = |name: &str, at: usize| {
        let variables = [
            ("GW_CONFIG", path.display().to_string()),
            ("TMPDIR", shared.clone()),
            ("GW_MANAGEMENT", management[at].to_string()),
        ];
        bed.program(name, &format!("--site {}", site.display()), &variables)
    };
    let say = |at: usize, word: &str| {
        let answer = call(management[at], "POST", &format!("/_shift/{word}/kim/review"), ms(1000));
        bed.log(&format!("`{word}` at process {at}: {answer:?}"));
        answer.is_some_and(|(status, _)| status == 200)
    };
    let state = |at: usize| {
        let text = call(management[at], "GET", "/_shift", ms(1000)).map_or(String::new(), |(_, text)| text);
        text.chars().take(300).collect::<String>()
    };
    let old = start("old", 0);
    bed.until("the old process takes clients", ms(20_000), || status(management[0], "GET", "/_ready") == 200);
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (stop, served) = (stop.clone(), served.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    if let Ok(mut conn) = Conn::connect(listen, ms(1000)) {
                        let _ = conn.stream.set_read_timeout(Some(ms(1100)));
                        let sent = conn.write(&request("GET", "/status/x", &fresh_id(), STATUS_MS));
                        if sent.and_then(|()| conn.read()).is_ok_and(|a| a.status() == 200) {
                            served.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                    thread::sleep(ms(10));
                }
            })
        })
        .collect();
    thread::sleep(ms(1000));
    if !say(0, "start") {
        bed.end(2, "the shift does not start");
    }
    let before = lock(&at_new).len();
    bed.until("the new pool gets its share", ms(10_000), || lock(&at_new).len() > before + 100);
    bed.log(&format!("process 0: {}", state(0)));
    let mut new = None;
    if bed.trouble {
        // Discovery is down: the agent says nothing to who asks now.
        *lock(&discovery.mode) = WatchMode::SilentAfter(0);
        bed.log("the agent is silent");
        new = Some(start("new", 1));
        bed.until("the new process answers", ms(5_000), || status(management[1], "GET", "/_ready") != 0);
        thread::sleep(ms(200));
        let ready = status(management[1], "GET", "/_ready");
        bed.log(&format!("process 1 before its yes, `/_ready`: {ready}"));
        if ready == 200 {
            bed.end(2, "the new process was ready too early to say anything before its yes");
        }
    }
    if !say(0, "undo") {
        bed.end(2, "the shift is not undone");
    }
    bed.log(&format!("process 0: {}", state(0)));
    if new.is_some() {
        *lock(&discovery.mode) = WatchMode::Sound;
        bed.until("the new process says yes", ms(6_000), || status(management[1], "GET", "/_ready") == 200);
        bed.log("the new process has said yes");
        bed.signal(&old, SIGTERM);
        bed.until("the old process ends", ms(6_000), || bed.ended(&old));
        bed.log(&format!("process 1: {}", state(1)));
    } else {
        thread::sleep(ms(4_000));
    }
    // From here on nothing is owed to the new pool any more.
    thread::sleep(ms(1_000));
    let (from, old_before) = (bed.now(), at_old.load(Ordering::SeqCst));
    thread::sleep(ms(5_000));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    let late = lock(&at_new).iter().filter(|at| **at > from).count();
    let at_old = at_old.load(Ordering::SeqCst) - old_before;
    bed.log(&format!("in the last 5 s: {at_old} requests at the old pool, {late} at the new pool"));
    let journal = std::fs::read_to_string(bed.folder.join("release-42.journal")).unwrap_or_default();
    journal.lines().filter(|l| !l.contains("evidence")).for_each(|l| bed.log(&format!("  [journal] {l}")));
    bed.log_output("old");
    bed.log_output("new");
    if at_old + (late as u64) < 100 || served.load(Ordering::SeqCst) < 300 {
        bed.end(2, "too little was served to judge");
    }
    match late {
        0 => bed.end(0, "nothing went to the new pool after the shift was undone"),
        n => bed.end(1, &format!("{n} requests went to the new pool after the shift was undone")),
    }
}
