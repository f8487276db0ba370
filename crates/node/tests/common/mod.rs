//! Helpers that run the real program between fake HTTP servers and raw client sockets of the test.
#![allow(dead_code)]

use laurelroute_testkit::discovery::{Discovery, Entry};
use laurelroute_testkit::program::{self, Wishes};
pub use laurelroute_testkit::{fresh_id, until, PATIENCE};
use laurelroute_thrift::codec::FORMS;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// A request that a fake server has read.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
    /// The connection that it arrived on, numbered in the order of accepting.
    pub connection: usize,
}

/// Reads one message, head and body; `None` if the peer closed the connection or sent a malformed message.
pub fn read_message(stream: &mut TcpStream) -> Option<Seen> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        (stream.read(&mut byte).ok()? == 1).then_some(())?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    if head.to_lowercase().contains("transfer-encoding: chunked") {
        let body = read_chunks(stream)?;
        return Some(Seen { head, body, connection: 0 });
    }
    let length = head
        .to_lowercase()
        .lines()
        .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(Seen { head, body, connection: 0 })
}

fn read_chunks(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let (mut line, mut byte) = (Vec::new(), [0]);
        while !line.ends_with(b"\r\n") {
            stream.read_exact(&mut byte).ok()?;
            line.push(byte[0]);
        }
        let size = std::str::from_utf8(&line).ok()?.split(';').next()?.trim().to_owned();
        let size = usize::from_str_radix(&size, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// A response with this status (code and reason) and body.
pub fn reply(status: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

type Script = dyn Fn(&Seen, &mut TcpStream) -> bool + Send + Sync;

/// A server that answers with a script, which returns whether the connection stays open.
pub struct FakeServer {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub connections: Arc<AtomicUsize>,
}

impl FakeServer {
    pub fn start(script: impl Fn(&Seen, &mut TcpStream) -> bool + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (seen, connections) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
        let script: Arc<Script> = Arc::new(script);
        let (recorded, accepted) = (seen.clone(), connections.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (script, recorded) = (script.clone(), recorded.clone());
                let connection = accepted.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    while let Some(request) = read_message(&mut stream) {
                        let request = Seen { connection, ..request };
                        recorded.lock().expect("not poisoned").push(request.clone());
                        if !script(&request, &mut stream) {
                            break;
                        }
                    }
                });
            }
        });
        FakeServer { address, seen, connections }
    }

    /// Starts a server that answers every request with this body.
    pub fn serving(body: &'static str) -> Self {
        Self::start(move |_, stream| stream.write_all(&reply("200 OK", body)).is_ok())
    }

    pub fn requests(&self) -> usize {
        self.seen.lock().expect("not poisoned").len()
    }
}

/// An entry of the discovery list.
pub fn host(name: &str, address: SocketAddr) -> Entry {
    Entry {
        name: name.to_owned(),
        http: address,
        thrift: None,
        health: "active",
        born_ms: 0,
        block: 1,
        services: Vec::new(),
    }
}

/// The program under test; it is ended when this is dropped.
pub struct Program(program::Program);

impl Deref for Program {
    type Target = program::Program;

    fn deref(&self) -> &program::Program {
        &self.0
    }
}

impl DerefMut for Program {
    fn deref_mut(&mut self) -> &mut program::Program {
        &mut self.0
    }
}

impl Program {
    /// Starts the program and waits until it accepts clients.
    pub fn start(discovery: &Discovery) -> Self {
        Self::with_sockets(discovery, Wishes::default().sockets)
    }

    pub fn with_sockets(discovery: &Discovery, sockets: usize) -> Self {
        Self::wishing(discovery, Wishes { sockets, ..Wishes::default() })
    }

    pub fn wishing(discovery: &Discovery, wishes: Wishes) -> Self {
        let path = Path::new(env!("CARGO_BIN_EXE_laurelroute"));
        Program(program::Program::start(path, discovery.address, FORMS[0].1, wishes))
    }

    /// Starts a second process of the same node.
    pub fn successor(&self) -> Self {
        Program(self.0.successor())
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.http).expect("the program accepts");
        stream.set_read_timeout(Some(PATIENCE)).expect("the read timeout can be set");
        stream
    }

    /// Sends bytes on a new connection and returns the first complete response, or an empty text if there is none.
    pub fn raw(&self, bytes: &[u8]) -> String {
        let Ok(mut stream) = TcpStream::connect(self.http) else { return String::new() };
        let _ = stream.set_read_timeout(Some(PATIENCE));
        let _ = stream.write_all(bytes);
        read_message(&mut stream)
            .map(|message| message.head + &String::from_utf8_lossy(&message.body))
            .unwrap_or_default()
    }

    /// Sends a well-formed read request with a fresh id and returns the response.
    pub fn ask(&self) -> String {
        self.raw(safe_request(&fresh_id()).as_bytes())
    }
}

/// Starts a server with a script and a node that has it as its only one.
pub fn node_with_server(
    script: impl Fn(&Seen, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> (FakeServer, Program, Discovery) {
    let server = FakeServer::start(script);
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let program = Program::start(&discovery);
    until("the list has arrived", || !program.ask().starts_with("HTTP/1.1 503"));
    (server, program, discovery)
}

/// A request of the class that may be retried.
pub fn safe_request(id: &str) -> String {
    format!("GET /read HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 4000\r\n\r\n")
}

/// A request of the class that must not be executed more than once.
pub fn unsafe_request(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /write HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 4000\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}
