//! What operators do with a node every day: take servers out, put them back, replace the process under load.

mod common;
use common::*;
use laurelroute_testkit::discovery::{Discovery, Entry};
use laurelroute_testkit::program::Wishes;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

fn managed(discovery: &Discovery) -> Program {
    Program::wishing(discovery, Wishes { managed: true, ..Wishes::default() })
}

/// Two servers whose answers tell them apart, and a node that uses both.
fn two_servers() -> ([FakeServer; 2], Vec<Entry>, Discovery, Program) {
    let servers = [FakeServer::serving("first"), FakeServer::serving("second")];
    let entries = vec![host("s1", servers[0].address), host("s2", servers[1].address)];
    let discovery = Discovery::start(&entries);
    let program = managed(&discovery);
    both(&program);
    (servers, entries, discovery, program)
}

/// Asked one at a time, idle servers are not used in turn: one that was slow once, on a busy machine, is not tried again as
/// long as the other is as quick as ever. Of many at once no server gets all.
fn both(program: &Program) {
    until("both are used", || {
        let answers: Vec<_> = thread::scope(|scope| {
            let asking: Vec<_> = (0..20).map(|_| scope.spawn(|| program.ask())).collect();
            asking.into_iter().map(|asked| asked.join().unwrap()).collect()
        });
        ["first", "second"].iter().all(|body| answers.iter().any(|a| a.ends_with(body)))
    });
}

/// The first server gets nothing of so many requests. One that is back is cold, so that not all may be taken.
fn only_second(program: &Program) {
    until("the second is used", || program.ask().ends_with("second"));
    for _ in 0..40 {
        assert!(!program.ask().ends_with("first"));
    }
}

#[test]
fn a_server_is_taken_out_whatever_the_list_says() {
    let (_servers, entries, discovery, program) = two_servers();
    assert_eq!(program.call("GET", "/_ready"), Some(200));
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    only_second(&program);
    // The list names it anew, as started just now, and for a moment not at all.
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    for list in [vec![entries[1].clone()], vec![entries[0].clone().born(now), entries[1].clone()]] {
        let seq = discovery.tell(&list);
        discovery.told(seq);
        thread::sleep(Duration::from_millis(50));
        only_second(&program);
    }
    // Out twice, back once.
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    assert_eq!(program.call("POST", "/_servers/attach/s1"), Some(200));
    both(&program);
}

#[test]
fn calls_that_make_no_sense_are_told_so() {
    let (_servers, _, _discovery, program) = two_servers();
    for (method, path, status) in [
        ("POST", "/_servers/detach/nobody", 404),
        ("POST", "/_servers/attach/nobody", 404),
        ("POST", "/_servers/detach/", 400),
        ("POST", "/_servers/detach/%zz", 400),
        ("GET", "/_servers/detach/s1", 405),
        ("POST", "/_ready", 405),
        ("POST", "/_servers/drop/s1", 404),
        ("GET", "/", 404),
    ] {
        assert_eq!(program.call(method, path), Some(status), "{method} {path}");
    }
    both(&program);
}

/// `laurelroute` with these arguments and the node's second address: its exit code and what it prints.
fn staff(program: &Program, arguments: &[&str], address: Option<&str>) -> (i32, String) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_laurelroute"));
    command.env_remove("GW_CONFIG").env("GW_MANAGEMENT", program.management.to_string()).args(arguments);
    let output = command.args(address.map(|a| ["--at", a]).iter().flatten()).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap().trim().to_owned())
}

#[test]
fn staff_have_commands_for_all_calls() {
    let (_servers, _, _discovery, program) = two_servers();
    assert_eq!(staff(&program, &["ready"], None), (0, "takes clients".to_owned()));
    assert_eq!(staff(&program, &["servers", "detach", "s1"], None).0, 0);
    only_second(&program);
    assert_eq!(staff(&program, &["servers", "attach", "s1"], None), (0, "done".to_owned()));
    both(&program);
    let (code, text) = staff(&program, &["servers", "detach", "no/body"], None);
    assert_eq!((code, text.as_str()), (1, "laurelroute: no server has this name"));
    let nobody = laurelroute_testkit::port::Port::keep();
    let (code, text) = staff(&program, &["ready"], Some(&nobody.address().to_string()));
    assert!(code == 2 && text.contains("refused"), "{code}: {text}");
    assert_eq!(staff(&program, &["ready"], Some("here")).0, 2);
}

/// Those that say nothing, or half a call, keep nobody else waiting, and are cut.
#[test]
fn silent_callers_hold_nobody_up() {
    let (_servers, _, _discovery, program) = two_servers();
    let mut silent: Vec<_> = (0..60)
        .map(|k| {
            let mut stream = TcpStream::connect(program.management).unwrap();
            if k % 2 == 0 {
                stream.write_all(b"POST /_servers/det").unwrap();
            }
            stream
        })
        .collect();
    let begun = Instant::now();
    assert_eq!(program.call("GET", "/_ready"), Some(200));
    assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    for stream in &mut silent {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut rest = Vec::new();
        assert!(stream.read_to_end(&mut rest).is_ok() || rest.is_empty());
    }
    both(&program);
}

/// A load of clients, each on a kept connection with pauses, and a second one on new connections. Counts what is not
/// served, also where a request crosses the close of its connection.
struct Load {
    stop: Arc<AtomicBool>,
    failed: Arc<AtomicUsize>,
    served: Arc<AtomicUsize>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(program: &Program) -> Load {
        let (stop, failed, served) =
            (Arc::<AtomicBool>::default(), Arc::default(), Arc::<AtomicUsize>::default());
        let threads = (0..8u64)
            .map(|k| {
                let (stop, served, failed) =
                    (stop.clone(), served.clone(), Arc::<AtomicUsize>::clone(&failed));
                let address = program.http;
                thread::spawn(move || {
                    let mut kept = None;
                    while !stop.load(Ordering::SeqCst) {
                        let good =
                            TcpStream::connect(address).ok().filter(|_| kept.is_none()).or(kept.take());
                        let asked = good.and_then(|mut stream| {
                            stream.set_read_timeout(Some(PATIENCE)).ok()?;
                            stream.write_all(safe_request(&fresh_id()).as_bytes()).ok()?;
                            let answer = read_message(&mut stream)?;
                            Some((stream, answer))
                        });
                        match asked {
                            Some((stream, answer)) if answer.head.starts_with("HTTP/1.1 200") => {
                                served.fetch_add(1, Ordering::SeqCst);
                                let close = answer.head.to_lowercase().contains("connection: close");
                                kept = Some(stream).filter(|_| k % 2 == 0 && !close);
                            }
                            other => {
                                eprintln!("{:?}", other.map(|o| o.1.head));
                                failed.fetch_add(1, Ordering::SeqCst);
                            }
                        }
                        thread::sleep(Duration::from_millis(1 + 7 * k));
                    }
                })
            })
            .collect();
        Load { stop, failed, served, threads }
    }

    /// Waits until so many more are served.
    fn goes_on(&self, more: usize) {
        let before = self.served.load(Ordering::SeqCst);
        until("the load goes on", || self.served.load(Ordering::SeqCst) >= before + more);
    }

    fn end(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| t.join().unwrap());
        (self.served.load(Ordering::SeqCst), self.failed.load(Ordering::SeqCst))
    }
}

#[test]
fn a_second_process_takes_over_under_load_and_nothing_is_lost() {
    let (_servers, _, _discovery, mut program) = two_servers();
    let load = Load::start(&program);
    load.goes_on(50);
    // A connection that rests is the new process's too.
    let mut resting = program.connect();
    resting.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
    assert!(read_message(&mut resting).unwrap().head.starts_with("HTTP/1.1 200"));
    for _ in 0..3 {
        let next = program.successor();
        until("the new process takes clients", || next.call("GET", "/_ready") == Some(200));
        load.goes_on(20);
        program.signal("TERM");
        until("the old process ends", || !program.running());
        load.goes_on(50);
        program = next;
        resting.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
        assert!(read_message(&mut resting).unwrap().head.starts_with("HTTP/1.1 200"));
    }
    let (served, failed) = load.end();
    assert_eq!(failed, 0, "{served} served");
}

/// Bytes that stand in the kernel's queues between these two ends of a connection, as proc(5) tells.
fn queued(from: std::net::SocketAddr, to: std::net::SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
    let end = |port: u16| format!("0100007F:{port:04X}");
    let queue = |local: u16, remote: u16, which: usize| {
        let wanted = [end(local), end(remote)];
        let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let row = rows.find(|row| row.get(1..3).is_some_and(|ends| ends == wanted));
        let queues = row.and_then(|row| row.get(4)?.split(':').nth(which).map(str::to_owned));
        queues.map_or(0, |q| usize::from_str_radix(&q, 16).unwrap())
    };
    queue(from.port(), to.port(), 0) + queue(to.port(), from.port(), 1)
}

/// A client that does not read its answer yet has all of it in the end. The kernel has no room for the last bytes, while
/// the node has taken them all and the request is over for it: until they are gone the connection does not go over.
#[test]
fn an_answer_that_waits_for_its_client_stays_with_the_old_process() {
    const WHOLE: usize = 12_000_000;
    let server = FakeServer::start(|seen, stream| {
        let length = seen.head.split(['=', ' ']).nth(2).and_then(|n| n.parse().ok()).unwrap_or(1);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(&[head.as_bytes(), &vec![b'x'; length]].concat()).is_ok()
    });
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let mut program = managed(&discovery);
    until("the list has come", || program.ask().starts_with("HTTP/1.1 200"));
    let ask = |length: usize| {
        let mut client = program.connect();
        let request = safe_request(&fresh_id()).replace("/read", &format!("/read?length={length}"));
        client.write_all(request.as_bytes()).unwrap();
        client
    };
    // How much the kernel takes of an answer that nobody reads.
    let unread = ask(WHOLE);
    let ends = (program.http, unread.local_addr().unwrap());
    let mut room = 0;
    until("the kernel takes no more", || {
        let before = std::mem::replace(&mut room, queued(ends.0, ends.1));
        thread::sleep(Duration::from_millis(50));
        room > 1_000 && room == before
    });
    drop(unread);
    let lengths = [0, 1, 2, 4, 8, 16, 32, 64].map(|more| room + more * 1_000);
    let clients = lengths.map(&ask);
    until("all answers have begun", || clients.iter().all(|c| c.peek(&mut [0]).is_ok()));
    thread::sleep(Duration::from_millis(200));
    let next = started_again(&program);
    thread::sleep(Duration::from_millis(50));
    for (mut client, length) in clients.into_iter().zip(lengths) {
        let answer = read_message(&mut client);
        assert_eq!(answer.map(|a| a.body.len()), Some(length), "{room} bytes stand in the kernel");
    }
    program.signal("TERM");
    until("the old process ends", || !program.running());
    drop(next);
}

/// The old process is told to end while the new one has no list yet: it goes on until that takes clients.
#[test]
fn an_old_process_told_to_end_waits_for_a_new_one_that_is_still_starting() {
    let (_servers, _, discovery, mut program) = two_servers();
    let quiet = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut kept = program.connect();
    let served = |kept: &mut TcpStream| {
        kept.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
        let answer = read_message(kept).expect("an answer");
        answer.head.starts_with("HTTP/1.1 200") && !answer.head.to_lowercase().contains("connection: close")
    };
    assert!(served(&mut kept));
    program.configure(quiet.local_addr().unwrap());
    let next = program.successor();
    until("the new process asks for a list", || {
        quiet.set_nonblocking(true).is_ok() && quiet.accept().is_ok()
    });
    program.signal("TERM");
    let told = Instant::now();
    while told.elapsed() < Duration::from_millis(1_200) {
        assert!(served(&mut kept) && program.running(), "after {:?}", told.elapsed());
        assert!(program.ask().starts_with("HTTP/1.1 200"), "after {:?}", told.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
    next.configure(discovery.address);
    next.signal("HUP");
    until("the new process takes clients", || next.call("GET", "/_ready") == Some(200));
    until("the old process ends", || !program.running());
    assert!(told.elapsed() < Duration::from_millis(3_000), "{:?}", told.elapsed());
    assert!(served(&mut kept));
}

#[test]
fn bans_outlive_the_process_and_reach_both_while_two_run() {
    let (_servers, _, _discovery, mut program) = two_servers();
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    let next = program.successor();
    until("the new process takes clients", || next.call("GET", "/_ready") == Some(200));
    only_second(&next);
    // Said to the old one, it counts at the new one, and the other way round.
    assert_eq!(program.call("POST", "/_servers/attach/s1"), Some(200));
    both(&next);
    assert_eq!(next.call("POST", "/_servers/detach/s1"), Some(200));
    assert_eq!(next.call("POST", "/_servers/detach/s2"), Some(200));
    assert_eq!(program.call("POST", "/_servers/attach/s2"), Some(200));
    program.signal("TERM");
    until("the old process ends", || !program.running());
    only_second(&next);
    assert_eq!(next.call("POST", "/_servers/attach/s1"), Some(200));
    both(&next);
}

fn killed(program: &mut Program) {
    program.signal("KILL");
    until("the process is gone", || !program.running());
}

fn started_again(program: &Program) -> Program {
    let next = program.successor();
    until("the new process takes clients", || next.call("GET", "/_ready") == Some(200));
    next
}

/// The file of bans of the only node that has this folder.
fn file_of_bans(program: &Program) -> std::path::PathBuf {
    let files = std::fs::read_dir(program.folder()).unwrap().map(|entry| entry.unwrap().path());
    let found: Vec<_> = files.filter(|p| p.extension().is_some_and(|e| e == "bans")).collect();
    assert_eq!(found.len(), 1, "{found:?}");
    found[0].clone()
}

/// Nobody is left to ask when the only process was killed: the file tells.
#[test]
fn bans_outlive_a_kill() {
    let (_servers, _, _discovery, mut program) = two_servers();
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    killed(&mut program);
    let mut next = started_again(&program);
    only_second(&next);
    assert_eq!(next.call("POST", "/_servers/attach/s1"), Some(200));
    killed(&mut next);
    both(&started_again(&next));
}

/// Killed while two processes run, with the word said to either: the one that is left knows it, and so does its successor.
#[test]
fn bans_outlive_a_kill_of_both_processes() {
    let (_servers, _, _discovery, mut program) = two_servers();
    let mut next = started_again(&program);
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    killed(&mut program);
    killed(&mut next);
    let mut third = started_again(&next);
    only_second(&third);
    let mut fourth = started_again(&third);
    assert_eq!(fourth.call("POST", "/_servers/attach/s1"), Some(200));
    killed(&mut fourth);
    both(&third);
    killed(&mut third);
    both(&started_again(&third));
}

/// A file that was cut or spoilt is set aside; nothing in it is believed, and new words are kept again.
#[test]
fn a_spoilt_file_of_bans_is_set_aside() {
    let (_servers, _, _discovery, mut program) = two_servers();
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    killed(&mut program);
    let path = file_of_bans(&program);
    let sound = std::fs::read(&path).unwrap();
    std::fs::write(&path, &sound[..sound.len() - 1]).unwrap();
    let mut next = started_again(&program);
    both(&next);
    assert_eq!(std::fs::read(path.with_extension("bans-unsound")).unwrap(), sound[..sound.len() - 1]);
    assert_eq!(next.call("POST", "/_servers/detach/s1"), Some(200));
    killed(&mut next);
    only_second(&started_again(&next));
}

/// Where the word cannot be kept it counts all the same, and the caller hears that it will not last.
#[test]
fn a_ban_that_cannot_be_kept_counts_and_says_so() {
    let (_servers, _, _discovery, program) = two_servers();
    assert_eq!(program.call("POST", "/_servers/detach/s2"), Some(200));
    assert_eq!(program.call("POST", "/_servers/attach/s2"), Some(200));
    let path = file_of_bans(&program);
    std::fs::remove_file(&path).unwrap();
    std::fs::create_dir(&path).unwrap();
    let (status, text) = program.call_for_text("POST", "/_servers/detach/s1").unwrap();
    assert_eq!(status, 200);
    assert!(text.contains("forgotten when this process is killed"), "{text}");
    only_second(&program);
    std::fs::remove_dir(&path).unwrap();
    let (status, text) = program.call_for_text("POST", "/_servers/detach/s1").unwrap();
    assert_eq!((status, text.trim()), (200, "done"));
}

/// With thousands of servers what is handed over does not fit into the socket at once.
#[test]
fn a_large_fleet_is_handed_over_whole() {
    let mut entries: Vec<_> = (0..6_000u32)
        .map(|k| host(&format!("s-{k:08}"), format!("127.1.{}.{}:9", k / 250, k % 250 + 1).parse().unwrap()))
        .collect();
    let server = FakeServer::serving("here");
    entries.push(host("here", server.address));
    let discovery = Discovery::start(&entries);
    let mut program = managed(&discovery);
    until("the list is there", || program.call("POST", "/_servers/detach/s-00000007") == Some(200));
    std::fs::remove_file(file_of_bans(&program)).unwrap();
    let next = started_again(&program);
    // It has the listening sockets, and so the old process takes no more clients; and it has the ban.
    assert_eq!(program.call("GET", "/_ready"), Some(503));
    program.signal("TERM");
    until("the old process ends", || !program.running());
    let (_, text) = next.call_for_text("POST", "/_servers/attach/s-00000007").unwrap();
    assert_eq!(text.trim(), "done");
    assert!(std::fs::read_to_string(file_of_bans(&next)).unwrap().contains("\"out\":false"));
}

/// A new process that dies before the old one is ended leaves the old one in service, and the next one takes over.
#[test]
fn a_failed_upgrade_leaves_the_old_process_in_service() {
    let (_servers, _, _discovery, program) = two_servers();
    let load = Load::start(&program);
    let next = program.successor();
    until("the new process takes clients", || next.call("GET", "/_ready") == Some(200));
    load.goes_on(20);
    assert_eq!(program.call("GET", "/_ready"), Some(503));
    drop(next);
    until("the old process takes clients again", || program.call("GET", "/_ready") == Some(200));
    // What the dead one held is lost with it.
    load.goes_on(50);
    load.end();
    let next = program.successor();
    until("the next process takes clients", || next.call("GET", "/_ready") == Some(200));
    both(&next);
    drop(program);
    both(&next);
}
