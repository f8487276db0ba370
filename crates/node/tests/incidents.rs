//! What the fault hunt has found (`docs/incidents/`), each as a test that failed before its mend.

mod common;
use common::*;
use laurelroute_testkit::boxes::Act;
use laurelroute_testkit::client::{Client, LEAVINGS};
use laurelroute_testkit::discovery::Discovery;
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::soak::shim::{self, Shim};
use laurelroute_testkit::wire::{Ask, Class, Wire};
use std::io::Write;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// The environment of a program under this shim.
fn under(shim: &Shim) -> Vec<(String, String)> {
    shim.environment(shim::shared(Path::new(env!("CARGO_TARGET_TMPDIR"))))
}

/// A program that has heard of this server and used it.
fn started_before(server: &FakeServer) -> Program {
    let program = Program::start(&Discovery::start(&[host("s1", server.address)]));
    until("the server is used", || {
        program.ask();
        server.requests() > 0
    });
    program
}

fn keyed_request(id: &str) -> String {
    format!(
        "POST /keyed HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 4000\r\nIdempotency-Key: {id}\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// An answer that ends with its connection has come whole when that is closed, and is the request's answer.
#[test]
fn answers_with_no_length_are_forwarded() {
    let server = FakeServer::start(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
        false
    });
    let program = started_before(&server);
    for request in [safe_request, |id: &str| unsafe_request(id, "x"), keyed_request] {
        let before = server.requests();
        let answer = program.raw(request(&fresh_id()).as_bytes());
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("whole"), "{answer:?}");
        assert_eq!(server.requests(), before + 1, "it ran once");
    }
}

/// One that is too long to be held back passes through, and what is reset in it ends as no whole answer.
#[test]
fn long_answers_with_no_length_pass_through() {
    const LONG: usize = 300_000;
    let server = FakeServer::start(|request, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        let _ = stream.write_all(&vec![b'x'; LONG]);
        if request.body == b"cut" {
            thread::sleep(Duration::from_millis(50));
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
        false
    });
    let program = started_before(&server);
    let whole = program.raw(unsafe_request(&fresh_id(), "whole").as_bytes());
    assert!(whole.starts_with("HTTP/1.1 200") && whole.len() > LONG, "{} bytes", whole.len());
    assert_eq!(program.raw(unsafe_request(&fresh_id(), "cut").as_bytes()), "");
}

/// A reset is no end: what has come until then is no answer.
#[test]
fn answers_with_no_length_that_are_reset_are_none() {
    let server = FakeServer::start(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal");
        thread::sleep(Duration::from_millis(20));
        // Dropped with this set, a connection is reset.
        let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        false
    });
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let program = Program::start(&discovery);
    until("the server is used", || {
        let answer = program.raw(unsafe_request(&fresh_id(), "x").as_bytes());
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        server.requests() > 3
    });
}

/// The disk fails while staff take a server out, and is well again long before the process is killed: the server is out still.
#[test]
fn a_ban_said_while_the_disk_fails_outlives_a_kill() {
    let servers = [FakeServer::serving("first"), FakeServer::serving("second")];
    let discovery = Discovery::start(&[host("s1", servers[0].address), host("s2", servers[1].address)]);
    let failing = Shim::default().with("file_fail", 1.0).with("until", 3.0);
    let wishes = Wishes { managed: true, environment: under(&failing), ..Wishes::default() };
    let program = Program::wishing(&discovery, wishes);
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    // The disk is well from 3 s on.
    thread::sleep(Duration::from_millis(6_500));
    program.signal("KILL");
    let again = program.successor();
    until("the next process serves", || again.ask().ends_with("second"));
    for _ in 0..40 {
        assert!(!again.ask().ends_with("first"), "a server that is taken out was used");
    }
}

/// A node is held up while a server turns a request away and its client leaves: once it runs again, the request goes nowhere.
#[test]
fn a_client_that_leaves_while_the_node_is_held_up_is_not_served() {
    for wire in [Wire::Http, Wire::thrift("framed-binary")] {
        let bed = Bed::new(Path::new(env!("CARGO_BIN_EXE_laurelroute")), wire, 4);
        for round in 0..12 {
            bed.plan.next(&[Act::TurnAwayWhenTold]);
            let ask = Ask::new(Class::Read);
            let mut client = Client::connect(wire, bed.node.address(wire)).expect("the node accepts");
            client.send(&ask);
            until("the request is with a server", || bed.arrivals(&ask.id) == 1);
            bed.node.signal("STOP");
            bed.plan.go_on();
            thread::sleep(Duration::from_millis(5));
            client.leave(LEAVINGS[round % LEAVINGS.len()]);
            thread::sleep(Duration::from_millis(130));
            bed.node.signal("CONT");
            thread::sleep(Duration::from_millis(60));
            assert_eq!(bed.arrivals(&ask.id), 1, "{wire:?}, round {round}: sent again for nobody");
        }
    }
}
