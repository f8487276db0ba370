//! A client that sends the id of another client's open request, during an upgrade.

#[path = "../bed-2/bed.rs"]
mod bed;

use bed::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;

/// Work of the long `acknowledge` requests, within their deadline of 2.5 s.
const WORK_MS: u64 = 2_000;
const REQUESTS: usize = 6;

fn main() {
    let bed = Bed::new(ms(60_000));
    let runs: Arc<Mutex<BTreeMap<String, Vec<String>>>> = Arc::default();
    let servers: Vec<Server> = (0..4)
        .map(|k| {
            let (bed, runs) = (bed.clone(), runs.clone());
            Server::start(&format!("s-{k}"), move |request, conn| {
                let id = request.header("x-request-id").to_owned();
                if request.class() == "acknowledge" {
                    bed.log(&format!("s-{k}: begins acknowledge {id}"));
                    lock(&runs).entry(id.clone()).or_default().push(format!("s-{k}"));
                }
                thread::sleep(ms(if request.path() == "/acknowledge/long" { WORK_MS } else { 20 }));
                conn.write(&response("200 OK", "", &format!("answer to {id}"))).is_ok()
            })
        })
        .collect();
    let discovery = Discovery::start(servers.iter().map(|s| Host::of(&s.name, s.address)).collect());
    let listen = free_address();
    let path = bed.file("config.json", &config_knowing("n0", listen, &discovery, &Settings::default()));
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
    let ask = |method: &str, path: &str, id: &str, timeout: u64| {
        let answer = Conn::connect(listen, ms(1000)).and_then(|mut conn| {
            conn.stream.set_read_timeout(Some(ms(timeout + 500)))?;
            conn.write(&request(method, path, id, timeout))?;
            conn.read()
        });
        answer.map_or_else(|e| (0, e.kind().to_string()), |a| (a.status(), a.text().trim().to_owned()))
    };
    for _ in 0..30 {
        ask("GET", "/status/x", &fresh_id(), STATUS_MS);
    }
    let ids: Vec<String> = (0..REQUESTS).map(|_| fresh_id()).collect();
    let (mut served, mut copies) = (0, Vec::new());
    thread::scope(|scope| {
        let waiting: Vec<_> = ids
            .iter()
            .map(|id| {
                let (bed, ask) = (&bed, &ask);
                thread::sleep(ms(20));
                scope.spawn(move || {
                    let answer = ask("POST", "/acknowledge/long", id, ACKNOWLEDGE_MS);
                    bed.log(&format!("client: acknowledge {id}: {answer:?}"));
                    answer.0 == 200
                })
            })
            .collect();
        thread::sleep(ms(100));
        if bed.trouble {
            let new = start("new", 1);
            bed.until("the new process says yes", ms(1_500), || status(management[1], "GET", "/_ready") == 200);
            bed.log("the new process has said yes");
            bed.signal(&old, SIGTERM);
            std::mem::forget(new);
        } else {
            thread::sleep(ms(50));
        }
        // A bad client sends the ids of requests that are open.
        copies = ids
            .iter()
            .map(|id| {
                let (bed, ask) = (&bed, &ask);
                scope.spawn(move || {
                    let answer = ask("POST", "/acknowledge/x", id, ACKNOWLEDGE_MS);
                    bed.log(&format!("bad client: acknowledge {id}, which is open: {answer:?}"));
                    answer.0
                })
            })
            .collect::<Vec<_>>()
            .into_iter()
            .map(|c| c.join().unwrap_or(0))
            .collect();
        served = waiting.into_iter().map(|w| w.join().unwrap_or(false)).filter(|w| *w).count();
    });
    let twice = lock(&runs).values().filter(|at| at.len() > 1).count();
    let answered = copies.iter().filter(|status| **status == 200).count();
    bed.log(&format!("served: {served} of {REQUESTS}; copies answered with 200: {answered}; ids that ran more than once: {twice}"));
    bed.log_output("old");
    bed.log_output("new");
    if served == 0 {
        bed.end(2, "no acknowledge was under way");
    }
    match (answered, twice) {
        (0, 0) => bed.end(0, "no copy was served or run"),
        _ => bed.end(1, &format!("{answered} copies of open requests were served, {twice} unsafe ids ran twice")),
    }
}
