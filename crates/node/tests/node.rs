//! The real program over loopback sockets: what failed there must not fail again.

mod common;
use common::*;
use laurelroute_testkit::discovery::Discovery;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// A new configuration under load: the program goes on and follows the discovery that the file now names.
#[test]
fn a_hangup_moves_to_the_new_discovery() {
    let (first, second) = (FakeServer::serving("first"), FakeServer::serving("second"));
    let old = Discovery::start(&[host("s1", first.address)]);
    let new = Discovery::start(&[host("s2", second.address)]);
    let mut program = Program::start(&old);
    until("the first server answers", || program.ask().ends_with("first"));
    program.configure(new.address);
    program.signal("HUP");
    until("the new list counts", || program.ask().ends_with("second"));
    // More than once, also back to where it was.
    program.configure(old.address);
    program.signal("HUP");
    until("the old list counts again", || program.ask().ends_with("first"));
    assert!(program.running());
}

/// A file that cannot be read leaves the old configuration in force.
#[test]
fn a_hangup_survives_a_broken_file() {
    let server = FakeServer::serving("here");
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let mut program = Program::start(&discovery);
    program.spoil_config();
    program.signal("HUP");
    // The signal after it is handled too, so the first one has been by then.
    let other = Discovery::start(&[host("s1", server.address)]);
    until("the program has tried the file", || {
        program.configure(other.address);
        program.signal("HUP");
        other.watches.load(Ordering::SeqCst) > 0
    });
    assert!(program.running() && program.ask().ends_with("here"));
}

/// A file that is still being written as the signal comes counts once it is there: no second signal is owed.
#[test]
fn a_hangup_waits_for_a_file_that_is_still_being_written() {
    let (first, second) = (FakeServer::serving("first"), FakeServer::serving("second"));
    let old = Discovery::start(&[host("s1", first.address)]);
    let new = Discovery::start(&[host("s2", second.address)]);
    let program = Program::start(&old);
    until("the first server answers", || program.ask().ends_with("first"));
    program.spoil_config();
    program.signal("HUP");
    let told = Instant::now();
    thread::sleep(Duration::from_millis(2_000));
    program.configure(new.address);
    until("the new list counts", || program.ask().ends_with("second"));
    assert!(told.elapsed() < Duration::from_secs(4), "{:?}", told.elapsed());
}

fn one_server(
    script: impl Fn(&Seen, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> (FakeServer, Program) {
    let server = FakeServer::start(script);
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let program = Program::start(&discovery);
    until("the list has come", || program.ask().starts_with("HTTP/1.1 200"));
    (server, program)
}

fn serve(_: &Seen, stream: &mut TcpStream) -> bool {
    stream.write_all(&reply("200 OK", "fine")).is_ok()
}

/// What no server could use is answered with an error, closes its connection and goes nowhere.
#[test]
fn what_cannot_be_used_goes_nowhere() {
    let (server, program) = one_server(serve);
    let before = server.requests();
    let line = |method: &str, path: &str, fields: &str| {
        format!("{method} {path} HTTP/1.1\r\nHost: app.svc\r\n{fields}\r\n")
    };
    let id = fresh_id();
    let sound = format!("X-Request-ID: {id}\r\nX-Timeout-Ms: 4000\r\n");
    let hidden = format!("0\r\n\r\n{}", safe_request(&fresh_id()));
    let faults = [
        line("GET", "/read", "X-Timeout-Ms: 4000\r\n"),
        line("GET", "/read", &format!("X-Request-ID: {id}\r\nX-Request-ID: x\r\nX-Timeout-Ms: 4000\r\n")),
        line("GET", "/read", &format!("X-Request-ID: {id}\r\nX-Timeout-Ms: soon\r\n")),
        line("GET", "/read", &format!("X-Request-ID: {id}\r\nX-Timeout-Ms: -5\r\n")),
        line("GET", "/read", &format!("X-Request-ID: {id}\r\nX-Timeout-Ms: 99999999999999999999999\r\n")),
        line("GET", "/other", &sound),
        line("POST", "/read", &format!("{sound}Content-Length: 0\r\n")),
        line("GET", "/write", &sound),
        line("POST", "/write", &format!("{sound}Content-Length: -4\r\n")) + "abcd",
        line("POST", "/write", &format!("{sound}Content-Length: 60000000\r\n")) + &"x".repeat(5000),
        line("POST", "/write", &format!("{sound}Content-Length: 120\r\nTransfer-Encoding: chunked\r\n"))
            + &hidden,
        line("POST", "/write", &format!("{sound}Transfer-Encoding: chunked\r\nContent-Length: 120\r\n"))
            + &hidden,
    ];
    for request in &faults {
        let answer = program.raw(request.as_bytes());
        let status = answer.get(9..12).unwrap_or_default();
        // A client that is still sending may see the close before the answer.
        assert!(answer.is_empty() || status.starts_with('4'), "{answer:?} to {request:.200}");
    }
    // All that came to the server after these is what was sound.
    assert!(program.ask().ends_with("fine"));
    assert_eq!(server.requests(), before + 1);
}

/// An id is one request's: while that one may be under way, another under it goes nowhere.
#[test]
fn an_open_id_is_taken_once() {
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

/// No client holds a descriptor for good: not by silence, nor by half a head or body, nor after a request.
#[test]
fn those_that_stand_still_are_closed() {
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
        // Bounded by the time-out of the connection; what counts is that the end comes at all.
        stream.read_to_end(&mut rest).unwrap_or_else(|e| panic!("{what}: never closed: {e}"));
        assert_eq!(rest.starts_with(b"HTTP/1.1 200"), what.starts_with("a request"), "{what}");
    }
}

/// Connections that hold more than there are places do not keep others out.
#[test]
fn silent_connections_make_room() {
    let server = FakeServer::start(serve);
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let program = Program::with_sockets(&discovery, 64);
    until("the list has come", || program.ask().ends_with("fine"));
    let silent: Vec<_> = (0..100).map(|_| program.connect()).collect();
    // At the first try: it is not for those that say nothing that another is told to come back.
    let answer = program.ask();
    assert!(answer.ends_with("fine"), "{answer:?}");
    drop(silent);
}

/// Spoilt answers: a request that is safe to repeat gets a good one, no client sees a spoilt one, and one that
/// must not run twice fails.
#[test]
fn spoilt_answers_are_nobodys() {
    let spoilt: [&[u8]; 9] = [
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
                // The first attempt of each is spoilt.
                static SPOILT: Mutex<Vec<usize>> = Mutex::new(Vec::new());
                match which {
                    Some(n) if !SPOILT.lock().unwrap().contains(&n) => {
                        SPOILT.lock().unwrap().push(n);
                        stream.write_all(spoilt[n % spoilt.len()]).is_ok()
                    }
                    _ => serve(request, stream),
                }
            })
        })
        .collect();
    let list: Vec<_> = servers.iter().enumerate().map(|(k, s)| host(&format!("s{k}"), s.address)).collect();
    let discovery = Discovery::start(&list);
    let program = Program::start(&discovery);
    until("the list has come", || program.ask().starts_with("HTTP/1.1 200"));
    for n in 0..spoilt.len() {
        let read = safe_request(&fresh_id()).replace("/read", &format!("/read?v={n}"));
        // Good answers in between: trust and the budget of repeats have to come back.
        for _ in 0..20 {
            program.ask();
            program.raw(unsafe_request(&fresh_id(), "x").as_bytes());
        }
        let answer = program.raw(read.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("fine"), "{n}: {answer:?}");
        // Good answers in between: trust and the budget of repeats have to come back.
        for _ in 0..20 {
            program.ask();
            program.raw(unsafe_request(&fresh_id(), "x").as_bytes());
        }
        let write =
            unsafe_request(&fresh_id(), "x").replace("/write", &format!("/write?v={}", n + spoilt.len()));
        let answer = program.raw(write.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 502"), "{n}: {answer:?}");
    }
}

/// A good answer with more behind or ahead is good, and the next request on that connection gets its own.
#[test]
fn what_comes_behind_an_answer_is_no_answer() {
    let (_server, program) = one_server(|request, stream| {
        let id = request.head.split("x-request-id: ").nth(1).and_then(|v| v.split("\r\n").next());
        let good = reply("200 OK", id.unwrap_or_default());
        let all = [b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".to_vec(), good.clone(), good].concat();
        stream.write_all(&all).is_ok()
    });
    for _ in 0..50 {
        let id = fresh_id();
        let answer = program.raw(safe_request(&id).as_bytes());
        assert!(answer.ends_with(&id), "{answer:?} to {id}");
    }
}

/// A new server at the address of one that the list still names: that address counts as one server, the newer.
#[test]
fn a_successor_displaces_the_departed() {
    let server = FakeServer::serving("here");
    let old = host("old", server.address);
    let discovery = Discovery::start(std::slice::from_ref(&old));
    let program = Program::start(&discovery);
    until("the list has come", || program.ask().ends_with("here"));
    let open = server.connections.load(Ordering::SeqCst);
    let new = host("new", server.address).born(1000);
    discovery.tell(&[old, new]);
    until("the successor is used", || {
        program.ask().ends_with("here") && server.connections.load(Ordering::SeqCst) > open
    });
    // What was connected to the departed one is not used again.
    let before = server.requests();
    for _ in 0..100 {
        assert!(program.ask().ends_with("here"));
    }
    assert!(server.seen.lock().unwrap()[before..].iter().all(|s| s.connection >= open));
}

/// Where many clients have asked once and stay, their connections are closed sooner than one that stands alone.
#[test]
fn a_crowd_that_stays_is_sent_away_sooner() {
    let server = FakeServer::start(serve);
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let program = || {
        let program = Program::with_sockets(&discovery, 64);
        until("the list has come", || program.ask().ends_with("fine"));
        program
    };
    let (calm, crowded) = (program(), program());
    let asked = |program: &Program| {
        let mut stream = program.connect();
        stream.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
        read_message(&mut stream).expect("an answer");
        stream
    };
    let mut alone = asked(&calm);
    let crowd: Vec<_> = (0..14).map(|_| asked(&crowded)).collect();
    let closing = thread::spawn(move || {
        alone.read_to_end(&mut Vec::new()).unwrap();
        Instant::now()
    });
    for mut stream in crowd.into_iter().take(3) {
        stream.read_to_end(&mut Vec::new()).unwrap();
    }
    let crowd_gone = Instant::now();
    assert!(crowd_gone < closing.join().unwrap());
}
