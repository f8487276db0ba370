//! Long messages and slow peers: messages above 64 KiB are streamed, and slow peers are not disconnected.

mod common;
use common::*;
use laurelroute_testkit::discovery::Discovery;
use laurelroute_testkit::process::{memory_kb, Memory};
use std::io::{Read, Write};
use std::net::Shutdown;
use std::thread;
use std::time::{Duration, Instant};

const MB: usize = 1_000_000;

/// Bytes that depend on their position.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|k| (k % 251) as u8).collect()
}

fn answer_head(length: usize) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes()
}

/// A request with a body of this length, given as a length or in chunks.
fn upload(length: usize, chunked: bool) -> (String, Vec<u8>) {
    let id = fresh_id();
    let framing = match chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {length}"),
    };
    let mut request = format!(
        "POST /write HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 4000\r\n{framing}\r\n\r\n"
    )
    .into_bytes();
    for piece in pattern(length).chunks(if chunked { 7_777 } else { length }) {
        if chunked {
            request.extend(format!("{:x};note=1\r\n", piece.len()).into_bytes());
        }
        request.extend(piece);
        request.extend(if chunked { &b"\r\n"[..] } else { b"" });
    }
    request.extend(if chunked { &b"0\r\nX-Trailer: 1\r\n\r\n"[..] } else { b"" });
    (id, request)
}

/// A long answer is streamed: the client has its first bytes while the server still holds back the rest, and
/// then all of it.
#[test]
fn a_long_answer_is_streamed() {
    for chunked in [false, true] {
        let (_server, program, _discovery) = node_with_server(move |_, stream| {
            let body = pattern(3 * MB);
            let (first, rest) = body.split_at(100_000);
            let framed = |piece: &[u8]| match chunked {
                true => [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat(),
                false => piece.to_vec(),
            };
            let head = match chunked {
                true => b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(),
                false => answer_head(body.len()),
            };
            let end = if chunked { &b"0\r\n\r\n"[..] } else { b"" };
            let begun = stream.write_all(&[head, framed(first)].concat()).is_ok();
            thread::sleep(Duration::from_millis(700));
            begun && stream.write_all(&[&framed(rest)[..], end].concat()).is_ok()
        });
        let mut stream = program.connect();
        stream.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
        let begun = Instant::now();
        stream.peek(&mut [0]).unwrap();
        assert!(begun.elapsed() < Duration::from_millis(600), "{:?}", begun.elapsed());
        let answer = read_message(&mut stream).unwrap();
        assert!(answer.body == pattern(3 * MB), "{} bytes", answer.body.len());
        // The connection can be used again.
        stream.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
        assert_eq!(read_message(&mut stream).unwrap().body.len(), 3 * MB);
    }
}

/// A long answer that its server cuts off is visibly incomplete for the client.
#[test]
fn a_long_answer_that_is_cut_off_is_visibly_incomplete() {
    let (_server, program, _discovery) = node_with_server(|_, stream| {
        let _ = stream.write_all(&answer_head(MB)).and_then(|()| stream.write_all(&pattern(MB / 2)));
        false
    });
    let mut stream = program.connect();
    stream.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    assert!(all.starts_with(b"HTTP/1.1 200") && all.len() < MB, "{} bytes", all.len());
}

#[test]
fn a_long_body_is_forwarded_once() {
    let (server, program, _discovery) =
        node_with_server(|_, stream| stream.write_all(&reply("200 OK", "fine")).is_ok());
    for (length, chunked) in [(70_000, false), (70_000, true), (4 * MB, false), (4 * MB, true), (0, true)] {
        let (id, request) = upload(length, chunked);
        let mut stream = program.connect();
        stream.write_all(&request).unwrap();
        let answer = read_message(&mut stream).unwrap();
        assert!(answer.head.starts_with("HTTP/1.1 200"), "{}", answer.head);
        let seen = server.seen.lock().unwrap();
        let received: Vec<_> = seen.iter().filter(|s| s.head.contains(&id)).collect();
        assert_eq!(received.len(), 1);
        assert!(received[0].body == pattern(length), "{length} {chunked}: {}", received[0].body.len());
    }
}

/// Fifteen bodies of 4 MB at once are streamed by a node with 48 MB and are never all buffered.
#[test]
fn many_long_bodies_fit_into_memory() {
    let servers: Vec<_> = (0..15).map(|_| FakeServer::serving("fine")).collect();
    let entry = |(k, server): (usize, &FakeServer)| host(&format!("s{k}"), server.address);
    let discovery = Discovery::start(&servers.iter().enumerate().map(entry).collect::<Vec<_>>());
    let program = Program::start(&discovery);
    until("the list has arrived", || program.ask().starts_with("HTTP/1.1 200"));
    let threads: Vec<_> = (0..15)
        .map(|_| {
            let mut stream = program.connect();
            thread::spawn(move || {
                let (_, request) = upload(4 * MB, false);
                stream.write_all(&request).unwrap();
                read_message(&mut stream).unwrap().head
            })
        })
        .collect();
    for thread in threads {
        let head = thread.join().unwrap();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    let peak = memory_kb(program.pid(), Memory::Peak);
    assert!(peak.unwrap() < 40_000, "{peak:?} kB");
    let long_bodies =
        |server: &FakeServer| server.seen.lock().unwrap().iter().filter(|s| s.body.len() == 4 * MB).count();
    assert_eq!(servers.iter().map(long_bodies).sum::<usize>(), 15);
}

/// A request whose head takes 2 s, and one whose body arrives in small pieces, are served.
#[test]
fn slow_clients_are_served() {
    let (_server, program, _discovery) =
        node_with_server(|_, stream| stream.write_all(&reply("200 OK", "fine")).is_ok());
    let mut stream = program.connect();
    let request = safe_request(&fresh_id());
    for piece in request.as_bytes().chunks(request.len() / 18) {
        stream.write_all(piece).unwrap();
        thread::sleep(Duration::from_millis(100));
    }
    assert!(read_message(&mut stream).unwrap().head.starts_with("HTTP/1.1 200"));
    let (_, request) = upload(130_000, false);
    let mut stream = program.connect();
    for piece in request.chunks(3_200) {
        stream.write_all(piece).unwrap();
        thread::sleep(Duration::from_millis(45));
    }
    assert!(read_message(&mut stream).unwrap().head.starts_with("HTTP/1.1 200"));
}

/// A body that stops halfway is answered with 408, also if its first half was already streamed, and is never
/// executed.
#[test]
fn a_body_that_stops_is_answered_with_408() {
    let (server, program, _discovery) =
        node_with_server(|_, stream| stream.write_all(&reply("200 OK", "fine")).is_ok());
    for length in [1_000, 2 * MB] {
        let (id, request) = upload(length, false);
        let mut stream = program.connect();
        stream.write_all(&request[..request.len() - length / 2]).unwrap();
        let begun = Instant::now();
        let answer = read_message(&mut stream).unwrap();
        assert!(answer.head.starts_with("HTTP/1.1 408"), "{}", answer.head);
        assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
        assert!(server.seen.lock().unwrap().iter().all(|s| !s.head.contains(&id)));
    }
}

/// A server reads a part of a long body and closes: the request was not executed, and is refused rather than
/// failed. The receive buffer is small and the body longer than the kernel's buffers together: once the last
/// byte was written, it would be unknown whether the request was executed.
#[test]
fn a_long_body_whose_server_closes_is_refused() {
    let listener = listen_with_small_buffers();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut first = [0; 100_000];
                let _ = stream.read_exact(&mut first);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    let discovery = Discovery::start(&[host("s1", address)]);
    let program = Program::start(&discovery);
    let (_, request) = upload(30 * MB, false);
    let mut stream = program.connect();
    let mut other = stream.try_clone().unwrap();
    let writer = thread::spawn(move || other.write_all(&request));
    let answer = read_message(&mut stream).unwrap();
    assert!(answer.head.starts_with("HTTP/1.1 503"), "{}", answer.head);
    let _ = writer.join().unwrap();
}

/// A listener whose connections buffer about 64 KB of unread bytes.
fn listen_with_small_buffers() -> std::net::TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(64 * 1024).unwrap();
    socket.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(64).unwrap();
    socket.into()
}
