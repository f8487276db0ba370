//! Slow peers: a transfer goes on as long as the peer takes or gives something, however much the kernel holds for it.

mod common;
use common::*;
use laurelroute_testkit::discovery::Discovery;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Longer than the kernel's buffers on both sides together hold.
const LONG: usize = 12 << 20;
/// Bytes a second that a slow peer reads, without a pause.
const SLOW_RATE: usize = 128_000;
/// How long it reads slowly. A peer that takes nothing for so long is given up.
const SLOW_TIME: Duration = Duration::from_secs(9);

/// Writes an answer of [`LONG`] bytes at full pace.
fn write_long_answer(stream: &mut TcpStream) -> bool {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n");
    stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&vec![b'x'; LONG])).is_ok()
}

/// Reads slowly for a while; returns the number of bytes read.
fn read_slowly(stream: &mut TcpStream) -> usize {
    let (begun, mut count) = (Instant::now(), 0);
    let mut buffer = vec![0; SLOW_RATE / 20];
    while begun.elapsed() < SLOW_TIME {
        let read = stream.read(&mut buffer).unwrap_or(0);
        assert!(read > 0, "cut off after {count} bytes and {:?}", begun.elapsed());
        count += read;
        let due = Duration::from_secs_f64(count as f64 / SLOW_RATE as f64);
        thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    count
}

/// Reads the rest of `length` bytes; returns the number of bytes read in all.
fn read_rest(stream: &mut TcpStream, length: usize, mut count: usize) -> usize {
    let mut buffer = vec![0; 1 << 16];
    while count < length {
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => count += read,
            _ => break,
        }
    }
    count
}

/// Guards against a client that reads slowly and without a pause being taken for one that does not read: the kernel
/// lets a write through only after a third of its megabytes have gone.
#[test]
fn a_client_that_reads_slowly_receives_all_of_a_long_answer() {
    let (_server, program, _discovery) = node_with_server(|_, stream| write_long_answer(stream));
    let mut client = program.connect();
    client.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
    let count = read_slowly(&mut client);
    let total = read_rest(&mut client, LONG, count);
    assert!(total >= LONG, "{total} of {LONG} bytes");
}

/// Guards against the same with a server that reads a long request slowly.
#[test]
fn a_server_that_reads_slowly_receives_all_of_a_long_request() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut head = vec![0; 4096];
                let first = stream.read(&mut head).unwrap_or(0);
                if head.starts_with(b"GET") {
                    let _ = stream.write_all(&reply("200 OK", "fine"));
                    return;
                }
                let count = first + read_slowly(&mut stream);
                read_rest(&mut stream, LONG, count);
                let _ = stream.write_all(&reply("200 OK", "fine"));
            });
        }
    });
    let discovery = Discovery::start(&[host("s1", address)]);
    let program = Program::start(&discovery);
    until("the list has arrived", || program.ask().starts_with("HTTP/1.1 200"));
    let mut client = program.connect();
    let request =
        unsafe_request(&fresh_id(), "").replace("Content-Length: 0", &format!("Content-Length: {LONG}"));
    client.write_all(request.as_bytes()).unwrap();
    client.write_all(&vec![b'x'; LONG]).unwrap();
    client.set_read_timeout(Some(SLOW_TIME + PATIENCE)).unwrap();
    let answer = read_message(&mut client).expect("an answer");
    assert!(answer.head.starts_with("HTTP/1.1 200"), "{}", answer.head);
}

/// A client that takes nothing at all does not hold its connection for long.
#[test]
fn a_client_that_reads_nothing_is_cut_off() {
    let (_server, program, _discovery) = node_with_server(|_, stream| write_long_answer(stream));
    let mut client = program.connect();
    client.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
    thread::sleep(Duration::from_secs(12));
    let total = read_rest(&mut client, LONG, 0);
    assert!(total < LONG, "all of the answer was there");
}

/// How a server frames a long answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerFraming {
    Length,
    Chunked,
    Close,
}

/// A server that writes a long answer in lumps, with a pause behind its head and between any two of them.
fn write_in_lumps(framing: AnswerFraming, late_body: bool, stream: &mut TcpStream) -> bool {
    const PAUSE: Duration = Duration::from_millis(1_000);
    const LUMP: usize = 40_000;
    const LUMPS: usize = 4;
    let head = match framing {
        AnswerFraming::Length => format!("Content-Length: {}\r\n\r\n", LUMP * LUMPS),
        AnswerFraming::Chunked => "Transfer-Encoding: chunked\r\n\r\n".to_owned(),
        AnswerFraming::Close => "Connection: close\r\n\r\n".to_owned(),
    };
    let mut alive = stream.write_all(format!("HTTP/1.1 200 OK\r\n{head}").as_bytes()).is_ok();
    for k in 0..LUMPS {
        if k > 0 || late_body {
            thread::sleep(PAUSE);
        }
        let lump = vec![b'x'; LUMP];
        let framed = match framing {
            AnswerFraming::Chunked => [format!("{LUMP:x}\r\n").as_bytes(), &lump, b"\r\n"].concat(),
            AnswerFraming::Length | AnswerFraming::Close => lump,
        };
        alive = alive && stream.write_all(&framed).is_ok();
    }
    if framing == AnswerFraming::Chunked {
        alive = alive && stream.write_all(b"0\r\n\r\n").is_ok();
    }
    alive && framing != AnswerFraming::Close
}

/// Asks for a long answer, whose beginning has to come in time, until the request is not refused.
fn ask_for_lumps(program: &Program, safe: bool, length: usize) -> Result<(), String> {
    const TIMEOUT_MS: u64 = 1_400;
    let end = Instant::now() + PATIENCE;
    loop {
        let request = if safe { safe_request(&fresh_id()) } else { unsafe_request(&fresh_id(), "x") };
        let request = request.replace(" HTTP", "/lumps HTTP").replace(": 4000", &format!(": {TIMEOUT_MS}"));
        let mut client = program.connect();
        client.write_all(request.as_bytes()).unwrap();
        client.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS))).unwrap();
        client.peek(&mut [0]).map_err(|_| "nothing in time".to_owned())?;
        client.set_read_timeout(Some(PATIENCE)).unwrap();
        match read_long_answer(&mut client, length) {
            Err(answer) if answer.contains("http/1.1 503") && Instant::now() < end => {}
            answer => return answer,
        }
    }
}

/// Guards against a long answer being cut off because its server pauses, behind the head or within the beginning.
#[test]
fn a_long_answer_of_a_server_that_pauses_is_not_cut_off() {
    const LENGTH: usize = 160_000;
    let cases = [AnswerFraming::Length, AnswerFraming::Chunked, AnswerFraming::Close]
        .into_iter()
        .flat_map(|framing| [(framing, false), (framing, true)]);
    thread::scope(|scope| {
        for (framing, late_body) in cases {
            scope.spawn(move || {
                let (server, program, _discovery) =
                    node_with_server(move |seen, stream| match seen.head.contains("/lumps") {
                        true => write_in_lumps(framing, late_body, stream),
                        false => stream.write_all(&reply("200 OK", "fine")).is_ok(),
                    });
                let before = server.requests();
                for safe in [true, false] {
                    let answer = ask_for_lumps(&program, safe, LENGTH);
                    assert!(answer.is_ok(), "{framing:?}, late body: {late_body}, safe: {safe}: {answer:?}");
                }
                assert_eq!(server.requests() - before, 2, "{framing:?} {late_body}: sent again");
            });
        }
    });
}

/// Reads an answer of more than this length in any framing; an error is what came instead.
fn read_long_answer(stream: &mut TcpStream, length: usize) -> Result<(), String> {
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 1 << 16]);
    let head = |bytes: &[u8]| String::from_utf8_lossy(&bytes[..bytes.len().min(300)]).to_lowercase();
    let whole = |bytes: &[u8]| {
        bytes.len() > length && (!head(bytes).contains("chunked") || bytes.ends_with(b"0\r\n\r\n"))
    };
    while !whole(&bytes) {
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => bytes.extend_from_slice(&buffer[..read]),
            _ => return Err(format!("{} bytes: {}", bytes.len(), head(&bytes))),
        }
        // A refusal is short, and its connection stays open.
        if head(&bytes).starts_with("http/1.1 503") && bytes.ends_with(b"busy\n") {
            return Err(head(&bytes));
        }
    }
    Ok(())
}

/// Guards against an answer that comes seconds after its time, where a server reads a long request slowly: the client
/// has sent its last byte long before it is read.
#[test]
fn the_final_answer_is_in_time_though_a_server_reads_a_long_request_slowly() {
    const TIMEOUT_MS: u64 = 1_400;
    // More than the node and the kernels on the way to the server hold.
    const LENGTH: usize = 6_000_000;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            // The server's kernel holds little for it.
            let _ = socket2::SockRef::from(&stream).set_recv_buffer_size(16 * 1024);
            thread::spawn(move || {
                let mut head = vec![0; 4096];
                let _ = stream.read(&mut head);
                match head.starts_with(b"GET") {
                    true => drop(stream.write_all(&reply("200 OK", "fine"))),
                    false => thread::sleep(SLOW_TIME),
                }
            });
        }
    });
    let discovery = Discovery::start(&[host("s1", address)]);
    let program = Program::start(&discovery);
    until("the list has arrived", || program.ask().starts_with("HTTP/1.1 200"));
    for chunked in [false, true] {
        let body = vec![b'x'; LENGTH];
        let request = unsafe_request(&fresh_id(), "").replace(": 4000", &format!(": {TIMEOUT_MS}"));
        let request = match chunked {
            true => {
                let head = request.replace("Content-Length: 0", "Transfer-Encoding: chunked");
                [head.as_bytes(), format!("{LENGTH:x}\r\n").as_bytes(), &body, b"\r\n0\r\n\r\n"].concat()
            }
            false => {
                let head = request.replace("Content-Length: 0", &format!("Content-Length: {LENGTH}"));
                [head.as_bytes(), &body].concat()
            }
        };
        let mut client = program.connect();
        client.write_all(&request).unwrap();
        let sent = Instant::now();
        let answer = read_message(&mut client).expect("an answer");
        assert!(answer.head.starts_with("HTTP/1.1 50"), "{}", answer.head);
        let late = sent.elapsed().saturating_sub(Duration::from_millis(TIMEOUT_MS));
        assert!(late <= Duration::from_millis(150), "chunked {chunked}: {late:?} late");
    }
}

/// Guards against a client's pause within its request being counted against the time of the answer.
#[test]
fn a_client_that_pauses_within_a_long_request_is_served() {
    let (_server, program, _discovery) =
        node_with_server(|_, stream| stream.write_all(&reply("200 OK", "fine")).is_ok());
    const LENGTH: usize = 800_000;
    let request = unsafe_request(&fresh_id(), "").replace(": 4000", ": 500");
    let head = request.replace("Content-Length: 0", &format!("Content-Length: {LENGTH}"));
    let mut client = program.connect();
    client.write_all(head.as_bytes()).unwrap();
    for part in vec![b'x'; LENGTH].chunks(LENGTH / 4) {
        thread::sleep(Duration::from_millis(900));
        client.write_all(part).unwrap();
    }
    let answer = read_message(&mut client).expect("an answer");
    assert!(answer.head.starts_with("HTTP/1.1 200"), "{}", answer.head);
}
