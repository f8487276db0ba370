//! Regression tests of the real program over loopback sockets: reloads, invalid requests and answers, stalled
//! clients.

mod common;
use common::*;
use laurelroute_testkit::discovery::Discovery;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// After SIGHUP the program follows the discovery that the new configuration names.
#[test]
fn sighup_moves_to_the_new_discovery() {
    let (first, second) = (FakeServer::serving("first"), FakeServer::serving("second"));
    let old = Discovery::start(&[host("s1", first.address)]);
    let new = Discovery::start(&[host("s2", second.address)]);
    let mut program = Program::start(&old);
    until("the first server answers", || program.ask().ends_with("first"));
    program.configure(new.address);
    program.signal("HUP");
    until("the new list is used", || program.ask().ends_with("second"));
    // A second reload moves back to the first discovery.
    program.configure(old.address);
    program.signal("HUP");
    until("the old list is used again", || program.ask().ends_with("first"));
    assert!(program.running());
}

/// A configuration file that cannot be read leaves the old configuration in force.
#[test]
fn sighup_with_an_invalid_file_keeps_the_configuration() {
    let server = FakeServer::serving("here");
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let mut program = Program::start(&discovery);
    program.spoil_config();
    program.signal("HUP");
    // Signals are handled in order: once a later one has taken effect, the first was handled too.
    let other = Discovery::start(&[host("s1", server.address)]);
    until("the program has tried the file", || {
        program.configure(other.address);
        program.signal("HUP");
        other.watches.load(Ordering::SeqCst) > 0
    });
    assert!(program.running() && program.ask().ends_with("here"));
}

/// A configuration file that is still being written at SIGHUP is read once it is complete, without a second signal.
#[test]
fn sighup_waits_for_a_file_that_is_still_being_written() {
    let (first, second) = (FakeServer::serving("first"), FakeServer::serving("second"));
    let old = Discovery::start(&[host("s1", first.address)]);
    let new = Discovery::start(&[host("s2", second.address)]);
    let program = Program::start(&old);
    until("the first server answers", || program.ask().ends_with("first"));
    program.spoil_config();
    program.signal("HUP");
    let signalled = Instant::now();
    thread::sleep(Duration::from_millis(2_000));
    program.configure(new.address);
    until("the new list is used", || program.ask().ends_with("second"));
    assert!(signalled.elapsed() < Duration::from_secs(4), "{:?}", signalled.elapsed());
}

fn one_server(
    script: impl Fn(&Seen, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> (FakeServer, Program) {
    let server = FakeServer::start(script);
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let program = Program::start(&discovery);
    until("the list has arrived", || program.ask().starts_with("HTTP/1.1 200"));
    (server, program)
}

fn serve(_: &Seen, stream: &mut TcpStream) -> bool {
    stream.write_all(&reply("200 OK", "fine")).is_ok()
}

/// A request that no server could use is answered with an error and not forwarded, and its connection is closed.
#[test]
fn invalid_requests_are_not_forwarded() {
    let (server, program) = one_server(serve);
    let before = server.requests();
    let line = |method: &str, path: &str, fields: &str| {
        format!("{method} {path} HTTP/1.1\r\nHost: app.svc\r\n{fields}\r\n")
    };
    let id = fresh_id();
    let valid_fields = format!("X-Request-ID: {id}\r\nX-Timeout-Ms: 4000\r\n");
    let smuggled = format!("0\r\n\r\n{}", safe_request(&fresh_id()));
    let invalid_requests = [
        line("GET", "/read", "X-Timeout-Ms: 4000\r\n"),
        line("GET", "/read", &format!("X-Request-ID: {id}\r\nX-Request-ID: x\r\nX-Timeout-Ms: 4000\r\n")),
        line("GET", "/read", &format!("X-Request-ID: {id}\r\nX-Timeout-Ms: soon\r\n")),
        line("GET", "/read", &format!("X-Request-ID: {id}\r\nX-Timeout-Ms: -5\r\n")),
        line("GET", "/read", &format!("X-Request-ID: {id}\r\nX-Timeout-Ms: 99999999999999999999999\r\n")),
        line("GET", "/other", &valid_fields),
        line("POST", "/read", &format!("{valid_fields}Content-Length: 0\r\n")),
        line("GET", "/write", &valid_fields),
        line("POST", "/write", &format!("{valid_fields}Content-Length: -4\r\n")) + "abcd",
        line("POST", "/write", &format!("{valid_fields}Content-Length: 60000000\r\n")) + &"x".repeat(5000),
        line(
            "POST",
            "/write",
            &format!("{valid_fields}Content-Length: 120\r\nTransfer-Encoding: chunked\r\n"),
        ) + &smuggled,
        line(
            "POST",
            "/write",
            &format!("{valid_fields}Transfer-Encoding: chunked\r\nContent-Length: 120\r\n"),
        ) + &smuggled,
    ];
    for request in &invalid_requests {
        let answer = program.raw(request.as_bytes());
        let status = answer.get(9..12).unwrap_or_default();
        // A client that is still sending may see the close before the answer.
        assert!(answer.is_empty() || status.starts_with('4'), "{answer:?} to {request:.200}");
    }
    // The server has received nothing but the valid request.
    assert!(program.ask().ends_with("fine"));
    assert_eq!(server.requests(), before + 1);
}

/// A request id belongs to one request: while that one may be in flight, another with the same id is not forwarded.
#[test]
fn an_id_in_flight_is_rejected_for_another_request() {
    let (server, program) = one_server(|request, stream| {
        thread::sleep(Duration::from_millis(if request.head.starts_with("POST") { 300 } else { 0 }));
        serve(request, stream)
    });
    let id = fresh_id();
    let mut first = program.connect();
    first.write_all(unsafe_request(&id, "once").as_bytes()).unwrap();
    until("the server has it", || server.seen.lock().unwrap().iter().any(|s| s.head.contains(&id)));
    assert!(program.raw(unsafe_request(&id, "once").as_bytes()).starts_with("HTTP/1.1 409"));
    assert!(read_message(&mut first).unwrap().head.starts_with("HTTP/1.1 200"));
    assert!(program.raw(unsafe_request(&id, "once").as_bytes()).starts_with("HTTP/1.1 409"));
    assert_eq!(server.seen.lock().unwrap().iter().filter(|s| s.head.contains(&id)).count(), 1);
}

/// A stalled client is disconnected: one that sends nothing, half a head or half a body, or nothing after a
/// request.
#[test]
fn stalled_clients_are_disconnected() {
    let (_server, program) = one_server(serve);
    let half_body = unsafe_request(&fresh_id(), "abcd").replace("abcd", "ab");
    for (what, bytes) in [
        ("silence", String::new()),
        ("half a head", "GET /read HTTP/1.1\r\nHost:".to_owned()),
        ("half a body", half_body),
        ("a request", safe_request(&fresh_id())),
        ("a request and half a head", safe_request(&fresh_id()) + "GET /rea"),
    ] {
        let mut stream = program.connect();
        stream.write_all(bytes.as_bytes()).unwrap();
        let mut rest = Vec::new();
        // Bounded by the read timeout of the connection; only that the close happens is checked.
        stream.read_to_end(&mut rest).unwrap_or_else(|e| panic!("{what}: never closed: {e}"));
        assert_eq!(rest.starts_with(b"HTTP/1.1 200"), what.starts_with("a request"), "{what}");
    }
}

/// Silent connections that take all connection slots are evicted for other clients.
#[test]
fn silent_connections_make_room() {
    let server = FakeServer::start(serve);
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let program = Program::with_sockets(&discovery, 64);
    until("the list has arrived", || program.ask().ends_with("fine"));
    let silent: Vec<_> = (0..100).map(|_| program.connect()).collect();
    // At the first attempt: a client must not be refused for the sake of silent connections.
    let answer = program.ask();
    assert!(answer.ends_with("fine"), "{answer:?}");
    drop(silent);
}

/// No client receives a malformed answer: a request that is safe to retry gets a valid one, and one that must
/// not be executed more than once fails.
#[test]
fn malformed_answers_reach_no_client() {
    let malformed: [&[u8]; 9] = [
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nfine",
        b"\x00\x01\x02 noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nfine",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nfine",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nfine",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nfine",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nfine",
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ];
    let servers: Vec<_> = (0..3)
        .map(|_| {
            FakeServer::start(move |request, stream| {
                let which = request.head.split("?v=").nth(1).and_then(|v| v.split(' ').next()?.parse().ok());
                // The first attempt of each request gets a malformed answer.
                static ANSWERED_MALFORMED: Mutex<Vec<usize>> = Mutex::new(Vec::new());
                match which {
                    Some(n) if !ANSWERED_MALFORMED.lock().unwrap().contains(&n) => {
                        ANSWERED_MALFORMED.lock().unwrap().push(n);
                        stream.write_all(malformed[n % malformed.len()]).is_ok()
                    }
                    _ => serve(request, stream),
                }
            })
        })
        .collect();
    let list: Vec<_> = servers.iter().enumerate().map(|(k, s)| host(&format!("s{k}"), s.address)).collect();
    let discovery = Discovery::start(&list);
    let program = Program::start(&discovery);
    until("the list has arrived", || program.ask().starts_with("HTTP/1.1 200"));
    for n in 0..malformed.len() {
        let read = safe_request(&fresh_id()).replace("/read", &format!("/read?v={n}"));
        // Valid answers in between refill the retry budget and restore the servers' scores.
        for _ in 0..20 {
            program.ask();
            program.raw(unsafe_request(&fresh_id(), "x").as_bytes());
        }
        let answer = program.raw(read.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("fine"), "{n}: {answer:?}");
        // Valid answers in between refill the retry budget and restore the servers' scores.
        for _ in 0..20 {
            program.ask();
            program.raw(unsafe_request(&fresh_id(), "x").as_bytes());
        }
        let write =
            unsafe_request(&fresh_id(), "x").replace("/write", &format!("/write?v={}", n + malformed.len()));
        let answer = program.raw(write.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 502"), "{n}: {answer:?}");
    }
}

/// A valid answer with other answers before or after it is forwarded, and the next request gets its own answer.
#[test]
fn surplus_answers_are_discarded() {
    let (_server, program) = one_server(|request, stream| {
        let id = request.head.split("x-request-id: ").nth(1).and_then(|v| v.split("\r\n").next());
        let good = reply("200 OK", id.unwrap_or_default());
        let answers =
            [b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".to_vec(), good.clone(), good].concat();
        stream.write_all(&answers).is_ok()
    });
    for _ in 0..50 {
        let id = fresh_id();
        let answer = program.raw(safe_request(&id).as_bytes());
        assert!(answer.ends_with(&id), "{answer:?} to {id}");
    }
}

/// A new server at the address of one that the list still contains: the address counts as one server, the newer.
#[test]
fn a_new_server_replaces_the_old_one_at_its_address() {
    let server = FakeServer::serving("here");
    let old = host("old", server.address);
    let discovery = Discovery::start(std::slice::from_ref(&old));
    let program = Program::start(&discovery);
    until("the list has arrived", || program.ask().ends_with("here"));
    let connections_before = server.connections.load(Ordering::SeqCst);
    let new = host("new", server.address).born(1000);
    discovery.tell(&[old, new]);
    until("the new server is used", || {
        program.ask().ends_with("here") && server.connections.load(Ordering::SeqCst) > connections_before
    });
    // The connections to the old server are not used again.
    let before = server.requests();
    for _ in 0..100 {
        assert!(program.ask().ends_with("here"));
    }
    assert!(server.seen.lock().unwrap()[before..].iter().all(|s| s.connection >= connections_before));
}

/// Idle connections are closed sooner on a crowded node than on one with a single client.
#[test]
fn idle_connections_of_a_crowded_node_are_closed_sooner() {
    let server = FakeServer::start(serve);
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let program = || {
        let program = Program::with_sockets(&discovery, 64);
        until("the list has arrived", || program.ask().ends_with("fine"));
        program
    };
    let (calm, crowded) = (program(), program());
    let served_client = |program: &Program| {
        let mut stream = program.connect();
        stream.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
        read_message(&mut stream).expect("an answer");
        stream
    };
    let mut single = served_client(&calm);
    let crowd: Vec<_> = (0..14).map(|_| served_client(&crowded)).collect();
    let closing = thread::spawn(move || {
        single.read_to_end(&mut Vec::new()).unwrap();
        Instant::now()
    });
    for mut stream in crowd.into_iter().take(3) {
        stream.read_to_end(&mut Vec::new()).unwrap();
    }
    let crowd_closed_at = Instant::now();
    assert!(crowd_closed_at < closing.join().unwrap());
}
