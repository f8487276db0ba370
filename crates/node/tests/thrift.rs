//! Behavior that is specific to Thrift: split, oversized and malformed frames, pipelining, oneway calls,
//! methods and headers.

use laurelroute_testkit::boxes::{Act, Plan, StandIn};
use laurelroute_testkit::client::Client;
use laurelroute_testkit::discovery::{Discovery, Entry};
use laurelroute_testkit::load::Load;
use laurelroute_testkit::program::{Bed, Program, Wishes};
use laurelroute_testkit::wire::{Answer, Ask, Class, Say, Wire};
use laurelroute_testkit::{until, PATIENCE};
use laurelroute_thrift::codec::application;
use laurelroute_thrift::codec::decoder::{Accept, Decoder, Item};
use laurelroute_thrift::codec::head::Head;
use laurelroute_thrift::codec::header::Header;
use laurelroute_thrift::codec::message::Message;
use laurelroute_thrift::codec::walk::Token;
use laurelroute_thrift::codec::write::Writer;
use laurelroute_thrift::codec::{Form, Kind, Limits, Protocol, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_laurelroute");
const FORMS: [&str; 6] = [
    "framed-binary",
    "framed-binary-old",
    "framed-compact",
    "unframed-binary",
    "unframed-compact",
    "header-compact",
];

fn bed(form: &str, servers: usize) -> Bed {
    Bed::new(Path::new(PROGRAM), Wire::thrift(form), servers)
}

/// Makes 240 calls that are answered at once, so that the balancer measures fast servers and admits more
/// calls at a time.
fn warm_up(bed: &Bed) {
    let mut client = bed.node.connect(bed.wire);
    for k in 0..240 {
        let class = if k % 2 == 0 { Class::Read } else { Class::Write };
        assert!(client.ask(&Ask::new(class)).is_some_and(|a| a.served()));
    }
}

fn served(ask: &Ask) -> Option<Answer> {
    Some(Answer::Served(ask.id.clone().into_bytes()))
}

/// Every wire form is detected from its first bytes, also if each byte is written by itself.
#[test]
fn calls_arrive_byte_by_byte() {
    let bed = bed("framed-binary", 1);
    for form in FORMS {
        let wire = Wire::mixed(form, "framed-binary");
        let mut client = bed.node.connect(wire);
        for seqid in 1..3 {
            let ask = Ask::new(Class::Write).carrying(40);
            for byte in ask.bytes(wire, seqid) {
                assert!(client.raw(&[byte]));
            }
            assert_eq!(client.answer(), served(&ask), "{form}");
        }
    }
}

/// A frame with a length of 2 GB, or a negative one, closes its connection after the answers to earlier
/// calls, and does not affect other connections.
#[test]
fn an_oversized_frame_fails_alone() {
    let bed = bed("framed-binary", 1);
    let mut neighbour = bed.node.connect(bed.wire);
    for size in [0x7fff_ffffu32, 0x8000_0000 + 5, 70_000] {
        bed.plan.next(&[Act::After(Duration::from_millis(60)); 2]);
        let other = Ask::new(Class::Read);
        neighbour.send(&other);
        until("the neighbour's call is at the server", || bed.arrivals(&other.id) == 1);
        let mut client = bed.node.connect(bed.wire);
        let ask = Ask::new(Class::Write);
        client.send(&ask);
        client.raw(&size.to_be_bytes());
        client.raw(&[0x55; 100]);
        assert_eq!(client.answer(), served(&ask), "the earlier call is answered");
        assert!(matches!(client.answer(), Some(Answer::Failed { .. })));
        assert!(client.closed(), "{size:#x}");
        assert_eq!(neighbour.answer(), served(&other));
    }
}

fn framed(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u32).to_be_bytes(), message].concat()
}

/// A framed strict binary call of `read` with these bytes as its arguments.
fn call(seqid: i32, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    Head { name: "read".into(), kind: Kind::Call, seqid }.write(Protocol::BinaryStrict, &mut out);
    framed(&[&out[..], body].concat())
}

/// A malformed frame fails alone: the calls before and after it on the same connection are answered, in order.
#[test]
fn malformed_frames_fail_alone() {
    let bed = bed("framed-binary", 1);
    let deep = [[12, 0, 1].repeat(1000), vec![0; 1001]].concat();
    let bodies: [&[u8]; 6] = [
        &deep,
        &[5, 0, 1, 0],
        &[13, 0, 1, 8, 8, 0x7f, 0xff, 0xff, 0xff, 0],
        &[11, 0, 1, 0xff, 0xff, 0xff, 0xfe],
        &[8, 0, 1, 0],
        &[0, 0, 0],
    ];
    let mut client = bed.node.connect(bed.wire);
    for (k, body) in bodies.into_iter().enumerate() {
        let (before, after) = (Ask::new(Class::Read), Ask::new(Class::Read));
        let first = client.send(&before);
        client.raw(&call(1000 + k as i32, body));
        let last = client.send(&after);
        assert_eq!(client.numbered(), served(&before).map(|a| (first, a)), "{k}");
        assert_eq!(client.numbered(), Some((1000 + k as i32, Answer::Failed { late: false })), "{k}");
        assert_eq!(client.numbered(), served(&after).map(|a| (last, a)), "{k}");
    }
    // A call whose head cannot be read is answered too, with sequence id 0.
    let ask = Ask::new(Class::Read);
    client.raw(&framed(&[0x80, 1, 0, 77]));
    client.send(&ask);
    assert_eq!(client.numbered(), Some((0, Answer::Failed { late: false })));
    assert_eq!(client.answer(), served(&ask));
}

/// A malformed unframed message has no known end: it is answered and its connection is closed.
#[test]
fn a_malformed_unframed_call_closes_its_connection() {
    let bed = bed("unframed-binary", 1);
    let mut client = bed.node.connect(bed.wire);
    let ask = Ask::new(Class::Read);
    client.send(&ask);
    client.raw(&call(77, &[5])[4..]);
    assert_eq!(client.answer(), served(&ask));
    assert_eq!(client.numbered(), Some((77, Answer::Failed { late: false })));
    assert!(client.closed());
    assert!(bed.one(Class::Read).is_some_and(|a| a.served()));
}

/// Pipelined calls are answered in order, also if the first is the slowest and there are more than are
/// admitted at once.
#[test]
fn pipelined_calls_are_answered_in_order() {
    for form in FORMS {
        let bed = bed(form, 3);
        warm_up(&bed);
        bed.plan.next(&[Act::After(Duration::from_millis(250))]);
        let mut client = bed.node.connect(bed.wire);
        let asks: Vec<_> = (0..40).map(|_| Ask::new(Class::Write)).collect();
        let sent: Vec<_> = asks.iter().map(|ask| client.send(ask)).collect();
        for (ask, seqid) in asks.iter().zip(sent) {
            assert_eq!(client.numbered(), served(ask).map(|a| (seqid, a)), "{form}");
            assert_eq!(bed.runs(&ask.id), 1);
        }
    }
}

/// A client that disconnects inside a frame leaves no call behind, and one that stalls is disconnected.
#[test]
fn an_incomplete_frame_is_not_forwarded() {
    let bed = bed("framed-binary", 1);
    let ask = Ask::new(Class::Write).carrying(3000);
    let bytes = ask.bytes(bed.wire, 1);
    for cut in [1, 3, 4, 5, 20, bytes.len() - 1] {
        let mut client = bed.node.connect(bed.wire);
        client.raw(&bytes[..cut]);
        drop(client);
    }
    let mut stalled = bed.node.connect(bed.wire);
    stalled.raw(&bytes[..bytes.len() - 1]);
    assert!(stalled.closed(), "half a frame kept its connection open");
    assert!(bed.one(Class::Write).is_some_and(|a| a.served()));
    assert_eq!(bed.arrivals(&ask.id), 0);
}

/// An unsafe oneway call is executed once and not answered, also if its client disconnects at once.
#[test]
fn oneway_calls_are_executed_once_and_not_answered() {
    let bed = bed("framed-compact", 2);
    for disconnect in [false, true] {
        let oneway = Ask { oneway: true, ..Ask::new(Class::Write) };
        let mut client = bed.node.connect(bed.wire);
        client.send(&oneway);
        if disconnect {
            drop(client);
        } else {
            let ask = Ask::new(Class::Read);
            let seqid = client.send(&ask);
            assert_eq!(
                client.numbered(),
                served(&ask).map(|a| (seqid, a)),
                "only the two-way call is answered"
            );
            assert!(client.silent_for(Duration::from_millis(60)));
        }
        until("the oneway call is executed", || bed.runs(&oneway.id) == 1);
        assert!(bed.one(Class::Read).is_some_and(|a| a.served()));
        assert_eq!(bed.runs(&oneway.id), 1);
    }
}

/// A oneway call to a server that refuses connections was not executed and goes to another server.
#[test]
fn a_oneway_call_avoids_a_dead_server() {
    let bed = bed("framed-binary", 2);
    warm_up(&bed);
    let dead = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let entry = Entry { name: "dead".into(), http: dead, thrift: Some(dead), ..Entry::of(&bed.boxes[0]) };
    bed.discovery.told(bed.discovery.tell(&[bed.entries(), vec![entry]].concat()));
    let asks: Vec<_> = (0..20).map(|_| Ask { oneway: true, ..Ask::new(Class::Write) }).collect();
    let mut client = bed.node.connect(bed.wire);
    for ask in &asks {
        client.send(ask);
    }
    until("all calls are executed", || asks.iter().all(|ask| bed.runs(&ask.id) == 1));
}

#[test]
fn an_unknown_method_and_a_reply_are_refused_by_type() {
    let bed = bed("framed-binary", 1);
    let mut raw = RawConnection::connect(bed.node.thrift);
    let ask = |name: &str, kind| {
        let mut out = Vec::new();
        Head { name: name.into(), kind, seqid: 3 }.write(Protocol::BinaryStrict, &mut out);
        framed(&[&out[..], &[0]].concat())
    };
    assert_eq!(application::decode(&raw.ask(&ask("nothing", Kind::Call))).0, application::UNKNOWN_METHOD);
    assert_eq!(application::decode(&raw.ask(&ask("read", Kind::Reply))).0, application::INVALID_MESSAGE_TYPE);
    // A negative timeout.
    let body = [8, 0, 2, 0xff, 0xff, 0xff, 0xff, 0];
    assert_eq!(application::decode(&raw.ask(&call(1, &body))).0, application::PROTOCOL_ERROR);
    assert!(bed.boxes[0].came().iter().all(|c| c.id.is_some()));
}

/// A connection for raw frames, with a decoder for the answers.
struct RawConnection {
    stream: TcpStream,
    decoder: Decoder,
}

impl RawConnection {
    fn connect(address: SocketAddr) -> RawConnection {
        RawConnection::new(TcpStream::connect(address).expect("the program accepts"))
    }

    fn new(stream: TcpStream) -> RawConnection {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        RawConnection { stream, decoder: Decoder::new(Accept::Detect, Limits::default()) }
    }

    fn message(&mut self) -> Option<Message> {
        loop {
            match self.decoder.take_item() {
                Some(Item::Message(message)) => return Some(message),
                Some(other) => panic!("{other:?}"),
                None => {}
            }
            let mut chunk = [0; 1024];
            let n = self.stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
            self.decoder.buffer().extend_from_slice(&chunk[..n]);
        }
    }

    fn ask(&mut self, bytes: &[u8]) -> Message {
        self.stream.write_all(bytes).unwrap();
        self.message().expect("an answer")
    }
}

type Script = dyn Fn(&Message) -> Vec<u8> + Send + Sync;

/// Starts a server that answers with a script and records the messages that it has read.
fn start_scripted_server(script: Arc<Script>) -> (SocketAddr, Arc<Mutex<Vec<Message>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let seen: Arc<Mutex<Vec<Message>>> = Arc::default();
    let recorded = seen.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (script, recorded) = (script.clone(), recorded.clone());
            thread::spawn(move || {
                let mut raw = RawConnection::new(stream);
                while let Some(message) = raw.message() {
                    recorded.lock().unwrap().push(message.clone());
                    if raw.stream.write_all(&script(&message)).is_err() {
                        break;
                    }
                }
            });
        }
    });
    (address, seen)
}

/// Starts a node with one scripted server that speaks `form`.
fn node_with_scripted_server(
    form: &str,
    script: Arc<Script>,
) -> (Program, Arc<Mutex<Vec<Message>>>, Discovery) {
    node_wishing(form, script, Wishes::default())
}

fn node_wishing(
    form: &str,
    script: Arc<Script>,
    wishes: Wishes,
) -> (Program, Arc<Mutex<Vec<Message>>>, Discovery) {
    let form = Form::named(form).unwrap();
    let (address, seen) = start_scripted_server(script);
    let other = StandIn::start("http", form, Arc::<Plan>::default());
    let entry = Entry { name: "box".into(), thrift: Some(address), ..Entry::of(&other) };
    let discovery = Discovery::start(&[entry]);
    let program = Program::start(Path::new(PROGRAM), discovery.address, form, wishes);
    until("the list has arrived", || {
        program.ask(Wire::Http, &Ask::new(Class::Read)).is_some_and(|a| a.served())
    });
    (program, seen, discovery)
}

fn reply(call: &Message, name: &str, field: i16) -> Vec<u8> {
    reply_with(call, name, field, b"declared")
}

fn reply_with(call: &Message, name: &str, field: i16, text: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let protocol = call.form.protocol;
    Head { name: name.into(), kind: Kind::Reply, seqid: call.head.seqid }.write(protocol, &mut out);
    let mut writer = Writer::new(protocol, &mut out);
    for token in [
        Token::StructBegin,
        Token::Field { id: field, kind: Type::Struct },
        Token::StructBegin,
        Token::Field { id: 1, kind: Type::Binary },
        Token::Binary(text),
        Token::StructEnd,
        Token::StructEnd,
    ] {
        writer.put(token);
    }
    framed(&out)
}

/// A declared exception of the service is forwarded like any other answer, byte for byte.
#[test]
fn a_declared_exception_is_served() {
    let (program, _, _discovery) =
        node_with_scripted_server("framed-binary", Arc::new(|call| reply(call, call.head.method(), 1)));
    let mut raw = RawConnection::connect(program.thrift);
    let answer = raw.ask(&call(9, &[0]));
    assert_eq!((answer.head.kind, answer.head.seqid), (Kind::Reply, 9));
    assert_eq!(framed(answer.bytes()), reply(&answer, "read", 1));
}

/// An answer that names another method is invalid.
#[test]
fn an_answer_that_names_another_method_is_invalid() {
    let (program, seen, _discovery) =
        node_with_scripted_server("framed-binary", Arc::new(|call| reply(call, "somebody_else", 0)));
    let mut raw = RawConnection::connect(program.thrift);
    let ask = Ask::new(Class::Write).bytes(Wire::thrift("framed-binary"), 4);
    let answer = raw.ask(&ask);
    assert_eq!((answer.head.kind, answer.head.seqid), (Kind::Exception, 4));
    assert_eq!(application::decode(&answer).0, application::INTERNAL_ERROR);
    assert_eq!(seen.lock().unwrap().len(), 1, "an unsafe call was sent again");
}

/// A call between equal wire forms is forwarded unchanged; a THeader server receives the remaining time and
/// the client's own headers.
#[test]
fn a_theader_server_receives_the_remaining_time() {
    let script: Arc<Script> = Arc::new(|call| {
        let mut out = vec![0; 4];
        Header::default().write(call.form.protocol, &mut out);
        out.extend_from_slice(&reply(call, call.head.method(), 0)[4..]);
        let len = (out.len() - 4) as u32;
        out[..4].copy_from_slice(&len.to_be_bytes());
        out
    });
    let (program, seen, _discovery) = node_with_scripted_server("header-compact", script);
    let mut raw = RawConnection::connect(program.thrift);
    let mut message = Vec::new();
    Head { name: "read".into(), kind: Kind::Call, seqid: 6 }.write(Protocol::Compact, &mut message);
    message.push(0);
    let pairs = vec![("shire".to_owned(), "swan-valley".to_owned())];
    let mut frame = Vec::new();
    Header { flags: 0, seqid: 41, pairs }.write(Protocol::Compact, &mut frame);
    let answer = raw.ask(&framed(&[&frame[..], &message].concat()));
    assert_eq!(
        answer.header.as_ref().map(|h| h.seqid),
        Some(41),
        "the sequence id of the THeader frame is returned"
    );
    let seen = seen.lock().unwrap();
    assert_eq!(&seen[0].bytes()[..], &message[..], "byte for byte");
    let header = seen[0].header.as_ref().unwrap();
    assert_eq!(header.get("shire"), Some("swan-valley"));
    let remaining_ms: u64 = header.get("x-timeout-ms").unwrap().parse().unwrap();
    assert!((1..=5000).contains(&remaining_ms), "{remaining_ms} ms");
}

/// The operator configures which exception type is a rejection by the server: with that type an unsafe call
/// is retried, with any other it fails.
#[test]
fn the_rejection_exception_type_is_configurable() {
    for (boxes_table, served) in [("", false), ("turned_away = 6", true)] {
        let wishes = Wishes { boxes: boxes_table.to_owned(), ..Wishes::default() };
        let bed = Bed::wishing(Path::new(PROGRAM), Wire::thrift("framed-binary"), 2, wishes);
        bed.plan.next(&[Act::Say(Say::Error)]);
        let ask = Ask::new(Class::Write);
        let answer = Client::connect(bed.wire, bed.node.thrift).unwrap().ask(&ask);
        assert_eq!(answer.is_some_and(|a| a.served()), served, "{boxes_table}");
        assert_eq!(bed.arrivals(&ask.id), 1 + usize::from(served), "{boxes_table}");
    }
}

/// `check` reports an error in the operator's file in one line that names the key and the line.
#[test]
fn an_error_in_the_site_file_is_reported_with_key_and_line() {
    let path = std::env::temp_dir().join(format!("laurelroute-site-{}.toml", std::process::id()));
    let check = || {
        let out = std::process::Command::new(PROGRAM).arg("check").arg(&path).output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr).into_owned() + &String::from_utf8_lossy(&out.stdout);
        (out.status.code(), text)
    };
    std::fs::write(&path, include_str!("../../../deploy/site.example.toml")).unwrap();
    assert_eq!(check().0, Some(0), "{}", check().1);
    let broken = include_str!("../../../deploy/site.example.toml").replace("pipeline = 16", "pipeline = 0");
    std::fs::write(&path, &broken).unwrap();
    let (code, text) = check();
    let line = 1 + broken.lines().position(|l| l.starts_with("pipeline")).unwrap();
    assert_eq!(code, Some(1));
    assert!(text.contains(&format!("line {line}: `thrift.pipeline` is 0")), "{text}");
    std::fs::remove_file(&path).unwrap();
    assert_eq!(check().0, Some(1));
}

/// Silent Thrift connections that take all connection slots are evicted for clients of either wire.
#[test]
fn silent_connections_make_room_for_both_wires() {
    let wishes = Wishes { sockets: 64, ..Wishes::default() };
    let bed = Bed::wishing(Path::new(PROGRAM), Wire::thrift("framed-binary"), 1, wishes);
    let silent: Vec<_> = (0..100).map(|_| bed.node.connect(bed.wire)).collect();
    for wire in [Wire::Http, bed.wire] {
        assert!(bed.node.ask(wire, &Ask::new(Class::Read)).is_some_and(|a| a.served()), "{wire:?}");
    }
    drop(silent);
}

/// Servers that share a Thrift address by mistake in the discovery list are all still used for HTTP.
#[test]
fn two_servers_with_one_thrift_address_both_serve_http() {
    let bed = bed("framed-binary", 2);
    let shared = Some(bed.boxes[0].thrift);
    let entries: Vec<_> = bed.entries().into_iter().map(|e| Entry { thrift: shared, ..e }).collect();
    bed.discovery.told(bed.discovery.tell(&entries));
    until("Thrift calls go to one server only", || {
        let before = bed.boxes[1].came().len();
        (0..20).all(|_| bed.one(Class::Read).is_some_and(|a| a.served()))
            && bed.boxes[1].came().len() == before
    });
    bed.boxes.iter().for_each(|b| b.usually(Act::After(Duration::from_millis(5))));
    let load = Load::start(Wire::Http, bed.node.http, 4, Class::Read, 0);
    let before: Vec<_> = bed.boxes.iter().map(|b| b.came().len()).collect();
    until("both servers serve HTTP", || bed.boxes.iter().zip(&before).all(|(b, n)| b.came().len() > n + 5));
    assert!(load.finish().lost.is_empty());
}

/// Guards against a client that reads a long answer slowly and without a pause being cut off while it reads.
#[test]
fn a_client_that_reads_slowly_receives_all_of_a_long_answer() {
    const LENGTH: usize = 5_000_000;
    const RATE: usize = 256_000;
    let long = vec![b'x'; LENGTH];
    let script = move |call: &Message| reply_with(call, call.head.method(), 0, &long);
    let wishes = Wishes { thrift: "max_message = 6000000".to_owned(), ..Wishes::default() };
    let (program, _, _discovery) = node_wishing("framed-binary", Arc::new(script), wishes);
    let mut client = TcpStream::connect(program.address(Wire::thrift("framed-binary"))).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
    client.write_all(&Ask::new(Class::Read).bytes(Wire::thrift("framed-binary"), 1)).unwrap();
    let (begun, mut count) = (std::time::Instant::now(), 0);
    let mut buffer = vec![0; RATE / 20];
    while count < LENGTH {
        let read = client.read(&mut buffer).unwrap_or(0);
        assert!(read > 0, "cut off after {count} bytes and {:?}", begun.elapsed());
        count += read;
        let due = Duration::from_secs_f64(count as f64 / RATE as f64);
        let slow = begun.elapsed() < Duration::from_secs(8);
        thread::sleep(due.saturating_sub(begun.elapsed()).min(if slow { due } else { Duration::ZERO }));
    }
}
