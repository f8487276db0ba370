//! A process with little memory and many descriptors stays within its memory limit whatever hundreds of clients do at
//! once, and serves others meanwhile.

mod common;
use common::*;
use laurelroute_testkit::discovery::Discovery;
use laurelroute_testkit::process::{memory_kb, Memory};
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::wire::{Ask, Class, Wire};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const SOCKETS: usize = 1_024;
const CLIENTS: usize = 600;
const SERVERS: usize = 16;
/// How long the clients go on.
const DURATION: Duration = Duration::from_secs(5);
/// How often a client gives its connection another look.
const TURN: Duration = Duration::from_millis(50);

fn wishes() -> Wishes {
    Wishes { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Wishes::default() }
}

/// A client that connects again when its connection ends. It never waits.
struct CrowdClient {
    address: SocketAddr,
    stream: Option<TcpStream>,
    request: Vec<u8>,
    sent: usize,
    /// Bytes sent and read in one turn.
    pace: (usize, usize),
}

impl CrowdClient {
    fn connect(&mut self) {
        self.sent = 0;
        let stream = TcpStream::connect_timeout(&self.address, TURN).ok();
        self.stream = stream.filter(|stream| stream.set_nonblocking(true).is_ok());
    }

    fn turn(&mut self) {
        let Some(stream) = &mut self.stream else { return self.connect() };
        let end = self.request.len().min(self.sent + self.pace.0);
        let mut alive = true;
        if self.sent < end {
            match stream.write(&self.request[self.sent..end]) {
                Ok(written) => self.sent += written,
                Err(error) => alive = error.kind() == ErrorKind::WouldBlock,
            }
        }
        let mut buffer = [0; 8_192];
        alive &= match stream.read(&mut buffer[..self.pace.1]) {
            Ok(read) => read > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        };
        if !alive {
            self.stream = None;
        }
    }
}

/// Runs a crowd of clients with these requests beside one that `ask` serves; returns the process's peak of memory in kB.
fn peak_with_crowd(
    (pid, address): (u32, SocketAddr),
    request: impl Fn() -> Vec<u8>,
    pace: (usize, usize),
    ask: impl Fn() -> bool + Send,
) -> u64 {
    let client = |_| CrowdClient { address, stream: None, request: request(), sent: 0, pace };
    let mut crowd: Vec<_> = (0..CLIENTS).map(client).collect();
    let begun = Instant::now();
    let served = thread::scope(|scope| {
        let honest = scope.spawn(move || {
            let mut served = 0;
            while begun.elapsed() < DURATION {
                served += usize::from(ask());
                thread::sleep(TURN);
            }
            served
        });
        while begun.elapsed() < DURATION {
            let turn = Instant::now();
            crowd.iter_mut().for_each(CrowdClient::turn);
            thread::sleep(TURN.saturating_sub(turn.elapsed()));
        }
        honest.join().expect("the thread ends")
    });
    assert!(served > 0, "nobody else was served");
    memory_kb(pid, Memory::Peak).expect("the process runs")
}

fn assert_within_limit(peak: u64) {
    assert!(peak <= MEMORY_MB * 1_024, "{peak} kB");
    println!("{peak} kB");
}

/// Runs a crowd on HTTP, with servers that take a while for a short answer and give long ones.
fn peak_on_http(request: impl Fn() -> Vec<u8>, pace: (usize, usize)) -> u64 {
    const LONG: usize = 8 << 20;
    let start_server = |_| {
        FakeServer::start(|seen, stream| {
            if seen.head.contains("/long") {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n");
                let long = vec![b'x'; LONG];
                return stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&long)).is_ok();
            }
            if seen.head.contains("/delayed") {
                thread::sleep(Duration::from_millis(800));
            }
            stream.write_all(&reply("200 OK", "fine")).is_ok()
        })
    };
    let servers: Vec<_> = (0..SERVERS).map(start_server).collect();
    let entry = |(k, server): (usize, &FakeServer)| host(&format!("s{k}"), server.address);
    let discovery = Discovery::start(&servers.iter().enumerate().map(entry).collect::<Vec<_>>());
    let program = Program::wishing(&discovery, wishes());
    let served = || program.ask().starts_with("HTTP/1.1 200");
    until("the list has arrived", served);
    for _ in 0..200 {
        served();
    }
    peak_with_crowd((program.pid(), program.http), request, pace, served)
}

fn long_upload() -> Vec<u8> {
    const LENGTH: usize = 500_000;
    let head =
        unsafe_request(&fresh_id(), "").replace("Content-Length: 0", &format!("Content-Length: {LENGTH}"));
    [head.as_bytes(), &vec![b'x'; LENGTH]].concat()
}

fn head_with_fields(path: &str, fields: usize) -> String {
    let request = safe_request(&fresh_id()).replace("/read", path);
    let fields: String = (0..fields).map(|k| format!("a{k}:\r\n")).collect();
    format!("{}{fields}", &request[..request.len() - 2])
}

/// Guards against bodies of hundreds of clients that together take more than the limit, each written slowly.
#[test]
fn bodies_that_are_written_slowly_stay_within_the_memory_limit() {
    assert_within_limit(peak_on_http(long_upload, (3_200, 8_192)));
}

/// The same with bodies that stop halfway.
#[test]
fn bodies_that_stop_halfway_stay_within_the_memory_limit() {
    let half = || {
        let mut request = long_upload();
        request.truncate(request.len() / 2);
        request
    };
    assert_within_limit(peak_on_http(half, (usize::MAX / 2, 8_192)));
}

/// Guards against the memory of parsed heads: each field takes far more than its bytes.
#[test]
fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    let request = || (head_with_fields("/read/delayed", 95) + "\r\n").into_bytes();
    assert_within_limit(peak_on_http(request, (usize::MAX / 2, 8_192)));
}

/// The same with heads that do not end.
#[test]
fn heads_without_an_end_stay_within_the_memory_limit() {
    let request = || head_with_fields("/read", 1_500).into_bytes();
    assert_within_limit(peak_on_http(request, (usize::MAX / 2, 8_192)));
}

/// Guards against the memory of long answers that are read slowly.
#[test]
fn long_answers_that_are_read_slowly_stay_within_the_memory_limit() {
    let request = || head_with_fields("/read/long", 0).into_bytes();
    let request = || [request(), b"\r\n".to_vec()].concat();
    assert_within_limit(peak_on_http(request, (usize::MAX / 2, 3_200)));
}

/// Guards against Thrift messages that stop halfway: a part of a message counted against no limit.
#[test]
fn thrift_messages_that_stop_halfway_stay_within_the_memory_limit() {
    let wire = Wire::thrift("framed-binary");
    let bed = Bed::wishing(Path::new(env!("CARGO_BIN_EXE_laurelroute")), wire, 4, wishes());
    let request = || {
        let mut request = Ask::new(Class::Write).carrying(64_000).bytes(wire, 1);
        request.truncate(request.len() - 1);
        request
    };
    let ask = || bed.one(Class::Read).is_some_and(|answer| answer.served());
    let process = (bed.node.pid(), bed.node.address(wire));
    assert_within_limit(peak_with_crowd(process, request, (usize::MAX / 2, 8_192), ask));
}
