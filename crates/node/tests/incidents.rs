//! Regression tests for faults that randomized fault testing has found (`docs/incidents/`); each failed
//! before its fix.

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

/// The environment that runs a program under this shim.
fn shim_environment(shim: &Shim) -> Vec<(String, String)> {
    shim.environment(shim::shared(Path::new(env!("CARGO_TARGET_TMPDIR"))))
}

/// Starts a program that has this server in its list and has used it.
fn start_with(server: &FakeServer) -> Program {
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

/// An answer without a length is complete when its connection is closed, and is forwarded.
#[test]
fn answers_with_no_length_are_forwarded() {
    let server = FakeServer::start(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
        false
    });
    let program = start_with(&server);
    for request in [safe_request, |id: &str| unsafe_request(id, "x"), keyed_request] {
        let before = server.requests();
        let answer = program.raw(request(&fresh_id()).as_bytes());
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("whole"), "{answer:?}");
        assert_eq!(server.requests(), before + 1, "the request must be executed once");
    }
}

/// An answer without a length that is too long to buffer is streamed, and a reset within it leaves the
/// client's answer incomplete.
#[test]
fn long_answers_with_no_length_are_streamed() {
    const LONG_BODY_BYTES: usize = 300_000;
    let server = FakeServer::start(|request, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        let _ = stream.write_all(&vec![b'x'; LONG_BODY_BYTES]);
        if request.body == b"cut" {
            thread::sleep(Duration::from_millis(50));
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
        false
    });
    let program = start_with(&server);
    let answer = program.raw(unsafe_request(&fresh_id(), "whole").as_bytes());
    assert!(answer.starts_with("HTTP/1.1 200") && answer.len() > LONG_BODY_BYTES, "{} bytes", answer.len());
    assert_eq!(program.raw(unsafe_request(&fresh_id(), "cut").as_bytes()), "");
}

/// A reset does not end an answer without a length: the part that arrived before it is not forwarded as an answer.
#[test]
fn reset_answers_with_no_length_are_not_forwarded() {
    let server = FakeServer::start(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal");
        thread::sleep(Duration::from_millis(20));
        // With this option the connection is reset when it is dropped.
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

/// A ban that is made while the disk fails outlives a kill, if the disk works again long before it.
#[test]
fn a_ban_made_while_the_disk_fails_outlives_a_kill() {
    let servers = [FakeServer::serving("first"), FakeServer::serving("second")];
    let discovery = Discovery::start(&[host("s1", servers[0].address), host("s2", servers[1].address)]);
    let failing = Shim::default().with("file_fail", 1.0).with("until", 3.0);
    let wishes = Wishes { managed: true, environment: shim_environment(&failing), ..Wishes::default() };
    let program = Program::wishing(&discovery, wishes);
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    // The disk works from 3 s on.
    thread::sleep(Duration::from_millis(6_500));
    program.signal("KILL");
    let successor = program.successor();
    until("the next process answers", || successor.ask().ends_with("second"));
    for _ in 0..40 {
        assert!(!successor.ask().ends_with("first"), "a banned server was used");
    }
}

/// A node is stopped while a server rejects a request and the client disconnects: once it resumes, it does
/// not retry the request.
#[test]
fn a_request_whose_client_disconnects_while_the_node_is_stopped_is_not_retried() {
    for wire in [Wire::Http, Wire::thrift("framed-binary")] {
        let bed = Bed::new(Path::new(env!("CARGO_BIN_EXE_laurelroute")), wire, 4);
        for round in 0..12 {
            bed.plan.next(&[Act::TurnAwayWhenTold]);
            let ask = Ask::new(Class::Read);
            let mut client = Client::connect(wire, bed.node.address(wire)).expect("the node accepts");
            client.send(&ask);
            until("a server has the request", || bed.arrivals(&ask.id) == 1);
            bed.node.signal("STOP");
            bed.plan.go_on();
            thread::sleep(Duration::from_millis(5));
            client.leave(LEAVINGS[round % LEAVINGS.len()]);
            thread::sleep(Duration::from_millis(130));
            bed.node.signal("CONT");
            thread::sleep(Duration::from_millis(60));
            assert_eq!(
                bed.arrivals(&ask.id),
                1,
                "{wire:?}, round {round}: retried for a client that had disconnected"
            );
        }
    }
}
