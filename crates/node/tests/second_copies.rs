//! Attempts of one request that are under way at once, seen at the servers, where answers are spoilt in every way.

mod common;
use common::*;
use laurelroute_testkit::attempts::{peer_closed, Attempts};
use laurelroute_testkit::discovery::Discovery;
use laurelroute_testkit::program::Wishes;
use laurelroute_testkit::soak::shim::{self, Shim};
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// How a server spoils its answer to an attempt. It keeps the connection open afterwards, unless the name says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Spoilt {
    HeadStalls,
    BodyStalls,
    ChunkStalls,
    TwoFramings,
    TooLong,
    ErrorBodyStalls,
    ErrorHeadAlone,
    ErrorWithTwoFramings,
    RejectionBodyStalls,
    ErrorBodySlow,
    RejectionBodySlow,
    ErrorWhole,
    RejectionWhole,
    Noise,
    BadChunk,
    EndlessHead,
    ShutAfterRequest,
    BodyShut,
    Reset,
    Closed,
}

const SPOILT: [Spoilt; 20] = [
    Spoilt::HeadStalls,
    Spoilt::BodyStalls,
    Spoilt::ChunkStalls,
    Spoilt::TwoFramings,
    Spoilt::TooLong,
    Spoilt::ErrorBodyStalls,
    Spoilt::ErrorHeadAlone,
    Spoilt::ErrorWithTwoFramings,
    Spoilt::RejectionBodyStalls,
    Spoilt::ErrorBodySlow,
    Spoilt::RejectionBodySlow,
    Spoilt::ErrorWhole,
    Spoilt::RejectionWhole,
    Spoilt::Noise,
    Spoilt::BadChunk,
    Spoilt::EndlessHead,
    Spoilt::ShutAfterRequest,
    Spoilt::BodyShut,
    Spoilt::Reset,
    Spoilt::Closed,
];

/// How long the server that does serve takes: an earlier attempt that is still open then is seen.
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// The pause within a slow body.
const SLOW_BODY: Duration = Duration::from_millis(200);
/// How long a server waits for the node to close a connection.
const HELD_OPEN: Duration = Duration::from_secs(6);

impl Spoilt {
    fn bytes(self) -> Vec<u8> {
        let text = match self {
            Spoilt::HeadStalls => "HTTP/1.1 200 OK\r\nContent-Le",
            Spoilt::BodyStalls => "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
            Spoilt::ChunkStalls => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc",
            Spoilt::TwoFramings => {
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
            }
            Spoilt::TooLong => "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
            Spoilt::ErrorBodyStalls | Spoilt::ErrorBodySlow => {
                "HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nabc"
            }
            Spoilt::ErrorHeadAlone => "HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\n",
            Spoilt::ErrorWithTwoFramings => {
                "HTTP/1.1 500 No\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
            }
            Spoilt::RejectionBodyStalls | Spoilt::RejectionBodySlow => {
                "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nabc"
            }
            Spoilt::ErrorWhole => "HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nabc",
            Spoilt::RejectionWhole => {
                "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 3\r\n\r\nabc"
            }
            Spoilt::Noise => "\0\u{1}\u{2} noise\r\n\r\n",
            Spoilt::BadChunk => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc",
            Spoilt::EndlessHead => return endless_head(),
            Spoilt::BodyShut => "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
            Spoilt::ShutAfterRequest | Spoilt::Reset | Spoilt::Closed => "",
        };
        text.as_bytes().to_vec()
    }

    /// Whether the bytes are a whole answer that fails the attempt.
    fn whole(self) -> bool {
        matches!(self, Spoilt::ErrorWhole | Spoilt::RejectionWhole)
    }

    /// What follows a pause.
    fn rest(self) -> Option<&'static [u8]> {
        matches!(self, Spoilt::ErrorBodySlow | Spoilt::RejectionBodySlow).then_some(b"defghi")
    }
}

fn endless_head() -> Vec<u8> {
    let mut head = b"HTTP/1.1 200 OK\r\n".to_vec();
    while head.len() < 40_000 {
        head.extend_from_slice(b"X-More: abcdefghijklmnopqrstuvwxyz\r\n");
    }
    head
}

/// Waits until the node has closed its end.
fn wait_closed(stream: &mut TcpStream) {
    let end = Instant::now() + HELD_OPEN;
    while !peer_closed(stream) && Instant::now() < end {
        thread::sleep(Duration::from_millis(1));
    }
}

/// A request id that tells servers to spoil its first `count` attempts.
fn spoilt_id(spoilt: Spoilt, count: usize) -> String {
    let index = SPOILT.iter().position(|s| *s == spoilt).expect("a kind of the list");
    format!("spoilt.{index}.{count}.{}", fresh_id())
}

/// What the id of a request tells a server to do.
fn told_by(head: &str) -> (String, Option<(Spoilt, usize)>) {
    let id = head.lines().find_map(|line| {
        line.to_lowercase().starts_with("x-request-id:").then(|| line[13..].trim().to_owned())
    });
    let id = id.expect("a request has an id");
    let mut parts = id.split('.').skip(1);
    let mut number = || parts.next()?.parse::<usize>().ok();
    let told = number().zip(number()).map(|(index, count)| (SPOILT[index], count));
    (id, told)
}

/// A server that spoils the attempts that it is told to, and serves the others after a while.
fn spoiling_server(attempts: &Attempts) -> FakeServer {
    let attempts = attempts.clone();
    FakeServer::start(move |request, stream| {
        let (id, told) = told_by(&request.head);
        let record = attempts.begin(&id, stream);
        let spoilt = told.filter(|(_, count)| record.number() < *count).map(|(spoilt, _)| spoilt);
        let Some(spoilt) = spoilt else {
            if told.is_some() {
                thread::sleep(SERVICE_TIME);
            }
            drop(record);
            return stream.write_all(&reply("200 OK", &id)).is_ok();
        };
        if spoilt.whole() {
            drop(record);
            return stream.write_all(&spoilt.bytes()).is_ok();
        }
        let _ = stream.write_all(&spoilt.bytes());
        match spoilt {
            Spoilt::ShutAfterRequest | Spoilt::BodyShut => drop(stream.shutdown(std::net::Shutdown::Write)),
            Spoilt::Reset => drop(socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO))),
            _ => {}
        }
        if matches!(spoilt, Spoilt::Reset | Spoilt::Closed) {
            return false;
        }
        if let Some(rest) = spoilt.rest() {
            thread::sleep(SLOW_BODY);
            if !peer_closed(stream) {
                drop(record);
                return stream.write_all(rest).is_ok();
            }
        }
        wait_closed(stream);
        false
    })
}

fn request(id: &str, keyed: bool) -> String {
    let key = format!("Idempotency-Key: {id}\r\nContent-Length: 0\r\n");
    let (line, key) = if keyed { ("POST /keyed", key.as_str()) } else { ("GET /read", "") };
    format!("{line} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 4000\r\n{key}\r\n")
}

/// Plays all kinds of spoilt answers, the first and the first two of each request, and asserts how many attempts of a
/// request are under way at once.
fn attempts_under_way(wishes: Wishes, beside: impl Fn(&Program) + Sync) {
    const SERVERS: usize = 12;
    const HEALTHY_REQUESTS: usize = 100;
    let attempts = Attempts::default();
    let servers: Vec<_> = (0..SERVERS).map(|_| spoiling_server(&attempts)).collect();
    let names: Vec<_> = (0..SERVERS).map(|k| format!("s{k}")).collect();
    let entries: Vec<_> = names.iter().zip(&servers).map(|(name, s)| host(name, s.address)).collect();
    let discovery = Discovery::start(&entries);
    let allowed = wishes.attempts_at_once();
    let program = Program::wishing(&discovery, wishes);
    let mut over = Vec::new();
    for spoilt in SPOILT {
        until("requests are sent again", || {
            // Retries are a part of what is served, and attempts go over kept connections as well.
            (0..HEALTHY_REQUESTS).for_each(|_| drop(program.ask()));
            let ids: Vec<_> = (0..4).map(|k| (spoilt_id(spoilt, 1 + k / 2), k % 2 == 1)).collect();
            ask_all(&program, &ids, &beside);
            ids.iter().any(|(id, _)| attempts.begun(id) > 1)
        });
        let found = attempts.over(allowed);
        over.extend(found.into_iter().skip(over.len()).map(|overlap| (spoilt, overlap)));
    }
    assert!(over.is_empty(), "too many attempts of a request at once: {over:#?}");
}

/// Sends all requests at once, keyed ones where told, and does this again and again until all are answered.
fn ask_all(program: &Program, ids: &[(String, bool)], beside: impl Fn(&Program)) {
    thread::scope(|scope| {
        let ask = |(id, keyed): &(String, bool)| {
            let bytes = request(id, *keyed);
            scope.spawn(move || program.raw(bytes.as_bytes()))
        };
        let asked: Vec<_> = ids.iter().map(ask).collect();
        while asked.iter().any(|thread| !thread.is_finished()) {
            beside(program);
            thread::sleep(Duration::from_millis(5));
        }
    });
}

/// Stops the process for a moment, and lets it run for a moment.
fn stop_and_continue(program: &Program) {
    program.signal("STOP");
    thread::sleep(Duration::from_millis(100));
    program.signal("CONT");
    thread::sleep(Duration::from_millis(150));
}

/// Report 4fe19f: an attempt that had failed was still open at its server while the next one was under way.
#[test]
fn a_failed_attempt_is_closed_before_the_next_one_is_sent() {
    attempts_under_way(Wishes::default(), |_| ());
}

/// The same where attempts may not be cancelled.
#[test]
fn a_failed_attempt_is_closed_before_the_next_one_is_sent_without_cancelling() {
    attempts_under_way(Wishes { cancelling: false, ..Wishes::default() }, |_| ());
}

/// Where second copies are allowed, failed attempts must not make it three.
#[test]
fn no_third_attempt_is_under_way_where_two_are_allowed() {
    attempts_under_way(Wishes { hedging: true, ..Wishes::default() }, |_| ());
}

/// The same where attempts may not be cancelled.
#[test]
fn no_third_attempt_is_under_way_where_two_are_allowed_without_cancelling() {
    attempts_under_way(Wishes { hedging: true, cancelling: false, ..Wishes::default() }, |_| ());
}

/// Requests of each kind whose first answers are spoilt.
const SPOILT_REQUESTS: usize = 8;

/// Sends requests one after the other until so many have been forwarded; how many of these were served.
fn served_with_spoilt_answers(spoilt: Spoilt, keyed: bool) -> usize {
    const HEALTHY_REQUESTS: usize = 60;
    let attempts = Attempts::default();
    let servers: Vec<_> = (0..4).map(|_| spoiling_server(&attempts)).collect();
    let names: Vec<_> = (0..4).map(|k| format!("s{k}")).collect();
    let entries: Vec<_> = names.iter().zip(&servers).map(|(name, s)| host(name, s.address)).collect();
    let program = Program::start(&Discovery::start(&entries));
    let (mut forwarded, mut served) = (0, 0);
    until("the requests are forwarded", || {
        (0..HEALTHY_REQUESTS).for_each(|_| drop(program.ask()));
        let id = spoilt_id(spoilt, 1);
        let answer = program.raw(request(&id, keyed).as_bytes());
        // A busy node may refuse a request that it has not sent anywhere.
        forwarded += usize::from(attempts.begun(&id) > 0);
        served += usize::from(answer.starts_with("HTTP/1.1 200"));
        forwarded == SPOILT_REQUESTS
    });
    assert_eq!(attempts.over(1), [], "{spoilt:?}: attempts of a request at once");
    served
}

/// A request whose first answer is spoilt is served by another server, once the failed attempt is closed.
#[test]
fn requests_whose_first_answer_is_spoilt_are_served() {
    let kinds = [
        Spoilt::HeadStalls,
        Spoilt::BodyStalls,
        Spoilt::TwoFramings,
        Spoilt::TooLong,
        Spoilt::ErrorBodyStalls,
        Spoilt::RejectionBodyStalls,
    ];
    thread::scope(|scope| {
        for (spoilt, keyed) in kinds.into_iter().flat_map(|spoilt| [(spoilt, false), (spoilt, true)]) {
            scope.spawn(move || {
                let served = served_with_spoilt_answers(spoilt, keyed);
                assert_eq!(served, SPOILT_REQUESTS, "{spoilt:?}, {keyed}");
            });
        }
    });
}

/// Interrupted and short system calls, and closes that report errors, leave no failed attempt open.
#[test]
fn a_failed_attempt_is_closed_although_system_calls_fail() {
    let failing = ["recv_eintr", "send_eintr", "recv_short", "send_short", "epoll_eintr", "close_fail"];
    let shim = failing.into_iter().fold(Shim::default(), |shim, knob| shim.with(knob, 0.2));
    let environment = shim.environment(shim::shared(Path::new(env!("CARGO_TARGET_TMPDIR"))));
    attempts_under_way(Wishes { environment, ..Wishes::default() }, |_| ());
}

/// A process that is stopped and continued leaves no failed attempt open.
#[test]
fn a_failed_attempt_is_closed_although_the_process_is_stopped() {
    attempts_under_way(Wishes::default(), stop_and_continue);
}

/// The events at the management address show each attempt of a repeated request: its server, its end and its connection.
#[test]
fn the_attempts_of_a_repeated_request_are_shown() {
    let attempts = Attempts::default();
    let servers: Vec<_> = (0..4).map(|_| spoiling_server(&attempts)).collect();
    let names: Vec<_> = (0..4).map(|k| format!("s{k}")).collect();
    let entries: Vec<_> = names.iter().zip(&servers).map(|(name, s)| host(name, s.address)).collect();
    let program =
        Program::wishing(&Discovery::start(&entries), Wishes { managed: true, ..Wishes::default() });
    let ends = [
        (Spoilt::BodyStalls, "outcome=Reset connection=Closed"),
        (Spoilt::RejectionBodyStalls, "outcome=Rejected connection=Closed"),
        (Spoilt::RejectionWhole, "outcome=Rejected connection=Released"),
    ];
    for (spoilt, end) in ends {
        until("a request is sent again and shown", || {
            (0..100).for_each(|_| drop(program.ask()));
            let id = spoilt_id(spoilt, 1);
            ask_all(&program, &[(id.clone(), false)], |_| ());
            let (_, events) = program.call_for_text("GET", "/_events").unwrap_or_default();
            let shown: Vec<&str> =
                events.lines().filter(|line| line.contains(&id[id.len() - 16..])).collect();
            let failed = |line: &&str| line.contains("attempt_failed") && line.contains(end);
            let repeated =
                |line: &&str| line.contains("attempt_repeated") && line.contains("attempt=1 server=s");
            attempts.begun(&id) > 1 && shown.iter().any(failed) && shown.iter().any(repeated)
        });
    }
}
