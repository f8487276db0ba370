//! Clients that close with much unread behind their request: their close does not arrive before that is read.

mod common;
use common::*;
use laurelroute_testkit::discovery::Discovery;
use std::io::{ErrorKind, Write};
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// More than the node's receive buffer holds.
const UNREAD_BYTES: usize = 1_000_000;
/// When the server turns the first request away, so that it may be sent again.
const REJECTED_AFTER: Duration = Duration::from_millis(300);
/// When the client closes.
const CLOSED_AFTER: Duration = Duration::from_millis(150);
/// An attempt that begins later than this after the client's close is too late.
const LIMIT: Duration = Duration::from_millis(100);

fn request(rejected: bool) -> Vec<u8> {
    let path = if rejected { "/read?rejected" } else { "/read?delayed" };
    safe_request(&fresh_id()).replace("/read", path).into_bytes()
}

/// Guards against requests that are sent on long after their client has closed.
#[test]
fn nothing_is_sent_for_a_client_that_has_closed_with_much_unread() {
    let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let start_server = |_| {
        let arrivals = arrivals.clone();
        FakeServer::start(move |seen, stream| {
            if !seen.head.contains('?') {
                return stream.write_all(&reply("200 OK", "fine")).is_ok();
            }
            arrivals.lock().unwrap().push((Instant::now(), seen.head.clone()));
            thread::sleep(REJECTED_AFTER);
            let answer = match seen.head.contains("?rejected") {
                true => reply("503 Busy\r\nX-Not-Processed: 1", ""),
                false => reply("200 OK", "fine"),
            };
            stream.write_all(&answer).is_ok()
        })
    };
    let servers: Vec<_> = (0..3).map(start_server).collect();
    let entry = |(k, server): (usize, &FakeServer)| host(&format!("s{k}"), server.address);
    let discovery = Discovery::start(&servers.iter().enumerate().map(entry).collect::<Vec<_>>());
    let program = Program::start(&discovery);
    until("the list has arrived", || program.ask().starts_with("HTTP/1.1 200"));
    (0..50).for_each(|_| drop(program.ask()));
    for half_closed in [false, true] {
        let mut bytes = request(true);
        while bytes.len() < UNREAD_BYTES {
            bytes.extend(request(false));
        }
        let mut client = program.connect();
        client.set_nonblocking(true).unwrap();
        let (begun, mut sent) = (Instant::now(), 0);
        while begun.elapsed() < CLOSED_AFTER {
            match client.write(&bytes[sent..]) {
                Ok(written) => sent += written,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                // The node has rejected the request: so much behind it is not sound.
                Err(_) => break,
            }
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(CLOSED_AFTER.saturating_sub(begun.elapsed()));
        let _ = client.shutdown(if half_closed { Shutdown::Write } else { Shutdown::Both });
        let closed_at = Instant::now();
        thread::sleep(4 * REJECTED_AFTER);
        let late: Vec<_> = arrivals
            .lock()
            .unwrap()
            .iter()
            .filter(|(at, _)| *at > closed_at + LIMIT)
            .map(|(at, head)| (at.duration_since(closed_at), head.lines().next().map(str::to_owned)))
            .collect();
        assert!(late.is_empty(), "half closed: {half_closed}: {late:?}");
        arrivals.lock().unwrap().clear();
    }
}
