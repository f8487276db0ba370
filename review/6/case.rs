//! A second copy of an answer that comes some milliseconds late, on a network with the delays of the pages.

#[path = "../bed-2/bed.rs"]
mod bed;

use bed::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One way between a node and a server of another depot, the least that the site says.
const ONE_WAY: Duration = Duration::from_micros(1_400);
/// One answer in so many is followed by a second copy of itself.
const COPY_EACH: u64 = 50;
/// One request in so many is turned away at once: the queue is full.
const TURNED_AWAY_EACH: u64 = 12;
const CLIENTS: usize = 10;
const RUN: Duration = Duration::from_secs(40);

fn main() {
    let bed = Bed::new(ms(100_000));
    let copies = Arc::new(AtomicU64::new(0));
    let answered = Arc::new(AtomicU64::new(0));
    let sent = Arc::new(AtomicU64::new(0));
    // How often each `acknowledge` ran, over all servers.
    let runs: Arc<Mutex<std::collections::BTreeMap<String, u64>>> = Arc::default();
    let servers: Vec<Server> = (0..3)
        .map(|k| {
            let (bed, copies, answered) = (bed.clone(), copies.clone(), answered.clone());
            let (sent, runs) = (sent.clone(), runs.clone());
            Server::start(&format!("s-{k}"), move |request, conn| {
                let id = request.header("x-request-id").to_owned();
                if answered.fetch_add(1, Ordering::SeqCst) % TURNED_AWAY_EACH == 0 {
                    return conn.write(&response("503 Service Unavailable", "X-Not-Processed: 1\r\n", "full")).is_ok();
                }
                if request.class() == "acknowledge" {
                    *lock(&runs).entry(id.clone()).or_insert(0) += 1;
                }
                thread::sleep(ms(if request.class() == "acknowledge" { 100 } else { 25 }));
                let answer = response("200 OK", "", &format!("answer to {id}"));
                if conn.write(&answer).is_err() {
                    return false;
                }
                let n = sent.fetch_add(1, Ordering::SeqCst) + 1;
                if bed.trouble && n % COPY_EACH == 0 {
                    // Some milliseconds late, and only where nothing else waits on the connection.
                    thread::sleep(ms(2 + n / COPY_EACH % 5));
                    if conn.quiet() {
                        copies.fetch_add(1, Ordering::SeqCst);
                        bed.log(&format!("s-{k}: second copy of the answer to {id}"));
                        return conn.write(&answer).is_ok();
                    }
                }
                true
            })
        })
        .collect();
    let relays: Vec<Relay> = servers.iter().map(|s| Relay::start(s.address, ONE_WAY)).collect();
    let hosts = servers.iter().zip(&relays).map(|(s, r)| Host::of(&s.name, r.address)).collect();
    let discovery = Discovery::start(hosts);
    let listen = free_address();
    let path = bed.file("config.json", &config("n0", listen, discovery.address, &Settings::default()));
    let variables = [
        ("GW_CONFIG", path.display().to_string()),
        ("TMPDIR", bed.subfolder("tmp").display().to_string()),
    ];
    let _node = bed.program("n0", "", &variables);
    bed.until("the node is up", ms(20_000), || status(listen, "GET", "/up") == 200);
    let wrong: Arc<Mutex<Vec<String>>> = Arc::default();
    let counts: Arc<Mutex<std::collections::BTreeMap<String, u64>>> = Arc::default();
    let end = Instant::now() + RUN;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (bed, wrong, counts) = (bed.clone(), wrong.clone(), counts.clone());
            thread::spawn(move || {
                let mut conn: Option<Conn> = None;
                let mut n = client;
                while Instant::now() < end {
                    let id = fresh_id();
                    n += 1;
                    let (method, class, timeout) = match n % 4 {
                        0 => ("POST", "acknowledge", ACKNOWLEDGE_MS),
                        _ => ("GET", "status", STATUS_MS),
                    };
                    let mut open = match conn.take() {
                        Some(open) => open,
                        None => match Conn::connect(listen, ms(1000)) {
                            Ok(open) => open,
                            Err(_) => continue,
                        },
                    };
                    let _ = open.stream.set_read_timeout(Some(ms(timeout + 500)));
                    let sent = open.write(&request(method, &format!("/{class}/x"), &id, timeout));
                    let answer = sent.and_then(|()| open.read());
                    let said = match answer {
                        Ok(answer) => {
                            if answer.status() == 200 && answer.text() != format!("answer to {id}") {
                                bed.log(&format!("client: {class} {id} was served `{}`", answer.text()));
                                lock(&wrong).push(id.clone());
                            }
                            if answer.header("connection") != "close" {
                                conn = Some(open);
                            }
                            answer.status().to_string()
                        }
                        Err(error) => error.kind().to_string(),
                    };
                    *lock(&counts).entry(format!("{class} {said}")).or_insert(0) += 1;
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| drop(c.join()));
    bed.log(&format!("answers by servers: {}", answered.load(Ordering::SeqCst)));
    bed.log(&format!("second copies: {}", copies.load(Ordering::SeqCst)));
    lock(&counts).iter().for_each(|(what, n)| bed.log(&format!("clients: {what}: {n}")));
    bed.log_output("n0");
    let wrong = lock(&wrong).len();
    if lock(&counts).iter().filter(|(what, _)| what.ends_with(" 200")).map(|(_, n)| n).sum::<u64>() < 500 {
        bed.end(2, "too little was served to judge");
    }
    let twice: Vec<String> = lock(&runs).iter().filter(|(_, n)| **n > 1).map(|(id, _)| id.clone()).collect();
    twice.iter().for_each(|id| bed.log(&format!("acknowledge {id} ran more than once")));
    match (wrong, twice.len()) {
        (0, 0) => bed.end(0, "every client was served the answer to its own request, and no acknowledge ran twice"),
        (n, m) => bed.end(1, &format!("{n} clients were served the answer to another request; {m} acknowledges ran twice")),
    }
}
