//! Clients that read a long answer slowly and without a pause.

#[path = "../bed-2/bed.rs"]
mod bed;

use bed::*;
use std::io::Read;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A long answer; the pages allow 32 MB.
const SIZE: usize = 8 << 20;
/// What a slow client reads in a second: twice the rate at which the pages let clients send a body.
const RATE: usize = 128_000;
const CLIENTS: usize = 4;

fn main() {
    let bed = Bed::new(ms(115_000));
    let servers: Vec<Server> = (0..4)
        .map(|k| {
            let bed = bed.clone();
            Server::start(&format!("s-{k}"), move |request, conn| {
                let id = request.header("x-request-id").to_owned();
                if request.path() != "/gauges/long" {
                    thread::sleep(ms(20));
                    return conn.write(&response("200 OK", "", &format!("answer to {id}"))).is_ok();
                }
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {SIZE}\r\n\r\n");
                let written = conn.write(head.as_bytes()).and_then(|()| conn.write(&vec![b'x'; SIZE]));
                bed.log(&match &written {
                    Ok(()) => format!("s-{k}: all of the answer to {id} is written"),
                    Err(error) => format!("s-{k}: while it still writes the answer to {id}: {}", error.kind()),
                });
                written.is_ok()
            })
        })
        .collect();
    let discovery = Discovery::start(servers.iter().map(|s| Host::of(&s.name, s.address)).collect());
    let listen = free_address();
    let path = bed.file("config.json", &config("n0", listen, discovery.address, &Settings::default()));
    let variables = [
        ("GW_CONFIG", path.display().to_string()),
        ("TMPDIR", bed.subfolder("tmp").display().to_string()),
    ];
    let _node = bed.program("n0", "", &variables);
    bed.until("the node is up", ms(20_000), || status(listen, "GET", "/up") == 200);
    // Some usual requests, so that the node knows its servers.
    for _ in 0..40 {
        if let Ok(mut conn) = Conn::connect(listen, ms(500)) {
            let _ = conn.stream.set_read_timeout(Some(ms(2000)));
            let _ = conn.write(&request("GET", "/gauges/x", &fresh_id(), GAUGES_MS)).and_then(|()| conn.read());
        }
    }
    let whole: Arc<Mutex<usize>> = Arc::default();
    let cut: Arc<Mutex<usize>> = Arc::default();
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            let (bed, whole, cut) = (bed.clone(), whole.clone(), cut.clone());
            thread::sleep(ms(300));
            scope.spawn(move || {
                let id = fresh_id();
                let Ok(mut conn) = Conn::connect(listen, ms(500)) else { return };
                let _ = conn.stream.set_read_timeout(Some(ms(10_000)));
                if conn.write(&request("GET", "/gauges/long", &id, GAUGES_MS)).is_err() {
                    return;
                }
                let begun = Instant::now();
                let (mut head, mut got, mut first) = (Vec::new(), 0, None);
                let mut bytes = vec![0; RATE / 20];
                let (mut last, mut pause) = (Instant::now(), Duration::ZERO);
                let why = loop {
                    let read = conn.stream.read(&mut bytes);
                    if first.is_some() {
                        pause = pause.max(last.elapsed());
                    }
                    last = Instant::now();
                    match read {
                        Ok(0) => break "the connection ended".to_owned(),
                        Ok(n) => {
                            first.get_or_insert(begun.elapsed());
                            if head.len() < 4096 {
                                head.extend_from_slice(&bytes[..n.min(1024)]);
                            }
                            got += n;
                        }
                        Err(error) => break error.kind().to_string(),
                    }
                    if got >= SIZE {
                        break "all is there".to_owned();
                    }
                    if bed.trouble {
                        // So much a second, in twenty reads.
                        let due = Duration::from_secs_f64(got as f64 / RATE as f64);
                        thread::sleep(due.saturating_sub(begun.elapsed()));
                    }
                };
                let head = String::from_utf8_lossy(&head).into_owned();
                let status = head.get(9..12).unwrap_or("").to_owned();
                bed.log(&format!(
                    "client {id}: status {status}, first byte after {:.0} ms, {got} of {SIZE} bytes after {:.1} s, never over {:.0} ms between two reads: {why}",
                    first.unwrap_or_default().as_secs_f64() * 1e3,
                    begun.elapsed().as_secs_f64(),
                    pause.as_secs_f64() * 1e3
                ));
                match (status.as_str(), got >= SIZE) {
                    ("200", true) => *lock(&whole) += 1,
                    ("200", false) => *lock(&cut) += 1,
                    _ => {}
                }
            });
        }
    });
    bed.log_output("n0");
    let (whole, cut) = (*lock(&whole), *lock(&cut));
    if whole + cut == 0 {
        bed.end(2, "no long answer has begun");
    }
    match cut {
        0 => bed.end(0, &format!("all of the {whole} long answers came whole")),
        n => bed.end(1, &format!("{n} of {} long answers were cut off while their clients read and their servers wrote", whole + cut)),
    }
}
