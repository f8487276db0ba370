//! Routine operations on a node: ban and reinstate servers, replace the process under load, keep the ban ledger.

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

fn start_managed(discovery: &Discovery) -> Program {
    Program::wishing(discovery, Wishes { managed: true, ..Wishes::default() })
}

/// Two servers with distinct answers, and a node that uses both.
fn two_servers() -> ([FakeServer; 2], Vec<Entry>, Discovery, Program) {
    let servers = [FakeServer::serving("first"), FakeServer::serving("second")];
    let entries = vec![host("s1", servers[0].address), host("s2", servers[1].address)];
    let discovery = Discovery::start(&entries);
    let program = start_managed(&discovery);
    await_both_used(&program);
    (servers, entries, discovery, program)
}

/// Waits until both servers have answered, with bursts of concurrent requests. Single requests do not
/// alternate between idle servers: one that was slow once, on a busy machine, is not tried again as long as
/// the other stays fast.
fn await_both_used(program: &Program) {
    until("both servers are used", || {
        let answers: Vec<_> = thread::scope(|scope| {
            let asking: Vec<_> = (0..20).map(|_| scope.spawn(|| program.ask())).collect();
            asking.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        ["first", "second"].iter().all(|body| answers.iter().any(|a| a.ends_with(body)))
    });
}

/// The second server answers, and 40 further requests never reach the first. A server that has just been
/// reinstated is in slow start, so that some of the requests may be rejected.
fn expect_only_second(program: &Program) {
    until("the second server is used", || program.ask().ends_with("second"));
    for _ in 0..40 {
        assert!(!program.ask().ends_with("first"));
    }
}

#[test]
fn a_banned_server_stays_out_whatever_the_list_contains() {
    let (_servers, entries, discovery, program) = two_servers();
    assert_eq!(program.call("GET", "/_ready"), Some(200));
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    expect_only_second(&program);
    // The list omits it for a moment, then contains it again with a start time of now.
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    for list in [vec![entries[1].clone()], vec![entries[0].clone().born(now), entries[1].clone()]] {
        let seq = discovery.tell(&list);
        discovery.told(seq);
        thread::sleep(Duration::from_millis(50));
        expect_only_second(&program);
    }
    // Banned twice, reinstated by one call.
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    assert_eq!(program.call("POST", "/_servers/attach/s1"), Some(200));
    await_both_used(&program);
}

#[test]
fn invalid_management_calls_are_rejected() {
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
    await_both_used(&program);
}

/// Runs `laurelroute` with these arguments against the node's management address; returns its exit code and output.
fn run_command(program: &Program, arguments: &[&str], address: Option<&str>) -> (i32, String) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_laurelroute"));
    command.env_remove("GW_CONFIG").env("GW_MANAGEMENT", program.management.to_string()).args(arguments);
    let output = command.args(address.map(|a| ["--at", a]).iter().flatten()).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap().trim().to_owned())
}

#[test]
fn every_management_call_has_a_command() {
    let (_servers, _, _discovery, program) = two_servers();
    assert_eq!(run_command(&program, &["ready"], None), (0, "takes clients".to_owned()));
    assert_eq!(run_command(&program, &["servers", "detach", "s1"], None).0, 0);
    expect_only_second(&program);
    assert_eq!(run_command(&program, &["servers", "attach", "s1"], None), (0, "done".to_owned()));
    await_both_used(&program);
    let (code, text) = run_command(&program, &["servers", "detach", "no/body"], None);
    assert_eq!((code, text.as_str()), (1, "laurelroute: no server has this name"));
    let unused_port = laurelroute_testkit::port::Port::keep();
    let (code, text) = run_command(&program, &["ready"], Some(&unused_port.address().to_string()));
    assert!(code == 2 && text.contains("refused"), "{code}: {text}");
    assert_eq!(run_command(&program, &["ready"], Some("here")).0, 2);
}

/// Management connections that send nothing, or half a request, delay no other caller and are closed.
#[test]
fn silent_management_connections_delay_no_other_caller() {
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
    await_both_used(&program);
}

/// A load of clients, half of which keep their connections, with pauses between requests. Counts requests
/// that are not served, also those that meet a close of their connection.
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
                        let connection =
                            TcpStream::connect(address).ok().filter(|_| kept.is_none()).or(kept.take());
                        let response = connection.and_then(|mut stream| {
                            stream.set_read_timeout(Some(PATIENCE)).ok()?;
                            stream.write_all(safe_request(&fresh_id()).as_bytes()).ok()?;
                            let answer = read_message(&mut stream)?;
                            Some((stream, answer))
                        });
                        match response {
                            Some((stream, answer)) if answer.head.starts_with("HTTP/1.1 200") => {
                                served.fetch_add(1, Ordering::SeqCst);
                                let close = answer.head.to_lowercase().contains("connection: close");
                                kept = Some(stream).filter(|_| k % 2 == 0 && !close);
                            }
                            other => {
                                eprintln!("{:?}", other.map(|(_, answer)| answer.head));
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

    /// Waits until this many more requests are served.
    fn await_served(&self, more: usize) {
        let before = self.served.load(Ordering::SeqCst);
        until("the load goes on", || self.served.load(Ordering::SeqCst) >= before + more);
    }

    fn finish(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| t.join().unwrap());
        (self.served.load(Ordering::SeqCst), self.failed.load(Ordering::SeqCst))
    }
}

#[test]
fn a_takeover_under_load_loses_no_request() {
    let (_servers, _, _discovery, mut program) = two_servers();
    let load = Load::start(&program);
    load.await_served(50);
    // An idle connection is handed over to the new process too.
    let mut idle = program.connect();
    idle.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
    assert!(read_message(&mut idle).unwrap().head.starts_with("HTTP/1.1 200"));
    for _ in 0..3 {
        let next = program.successor();
        until("the new process accepts clients", || next.call("GET", "/_ready") == Some(200));
        load.await_served(20);
        program.signal("TERM");
        until("the old process exits", || !program.running());
        load.await_served(50);
        program = next;
        idle.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
        assert!(read_message(&mut idle).unwrap().head.starts_with("HTTP/1.1 200"));
    }
    let (served, failed) = load.finish();
    assert_eq!(failed, 0, "{served} served");
}

/// Bytes in the kernel's queues between these two ends of a connection, from /proc/self/net/tcp.
fn queued_bytes(from: std::net::SocketAddr, to: std::net::SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
    let proc_address = |port: u16| format!("0100007F:{port:04X}");
    let queue_length = |local: u16, remote: u16, column: usize| {
        let connection_ends = [proc_address(local), proc_address(remote)];
        let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let row = rows.find(|row| row.get(1..3).is_some_and(|ends| ends == connection_ends));
        let queues = row.and_then(|row| row.get(4)?.split(':').nth(column).map(str::to_owned));
        queues.map_or(0, |q| usize::from_str_radix(&q, 16).unwrap())
    };
    queue_length(from.port(), to.port(), 0) + queue_length(to.port(), from.port(), 1)
}

/// A client that does not read its answer until after a takeover receives all of it. The node has the whole
/// answer and regards the request as finished, while the kernel has no room for its last bytes: until they
/// are written, the connection is not handed over.
#[test]
fn an_answer_that_its_client_has_not_read_stays_with_the_old_process() {
    const UNREAD_BYTES: usize = 12_000_000;
    let server = FakeServer::start(|seen, stream| {
        let length = seen.head.split(['=', ' ']).nth(2).and_then(|n| n.parse().ok()).unwrap_or(1);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(&[head.as_bytes(), &vec![b'x'; length]].concat()).is_ok()
    });
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let mut program = start_managed(&discovery);
    until("the list has arrived", || program.ask().starts_with("HTTP/1.1 200"));
    let ask = |length: usize| {
        let mut client = program.connect();
        let request = safe_request(&fresh_id()).replace("/read", &format!("/read?length={length}"));
        client.write_all(request.as_bytes()).unwrap();
        client
    };
    // Measures how much of an unread answer the kernel accepts.
    let unread = ask(UNREAD_BYTES);
    let ends = (program.http, unread.local_addr().unwrap());
    let mut kernel_room = 0;
    until("the kernel accepts no more", || {
        let before = std::mem::replace(&mut kernel_room, queued_bytes(ends.0, ends.1));
        thread::sleep(Duration::from_millis(50));
        kernel_room > 1_000 && kernel_room == before
    });
    drop(unread);
    let lengths = [0, 1, 2, 4, 8, 16, 32, 64].map(|more| kernel_room + more * 1_000);
    let clients = lengths.map(&ask);
    until("all answers have begun", || clients.iter().all(|c| c.peek(&mut [0]).is_ok()));
    thread::sleep(Duration::from_millis(200));
    let next = start_successor(&program);
    thread::sleep(Duration::from_millis(50));
    for (mut client, length) in clients.into_iter().zip(lengths) {
        let answer = read_message(&mut client);
        assert_eq!(
            answer.map(|a| a.body.len()),
            Some(length),
            "{kernel_room} bytes are in the kernel queues"
        );
    }
    program.signal("TERM");
    until("the old process exits", || !program.running());
    drop(next);
}

/// The old process receives SIGTERM while the new one is not ready yet, as discovery is silent for it: the old one keeps
/// serving until the new one accepts clients, by the list that it has sent it.
#[test]
fn sigterm_waits_for_a_successor_that_is_still_starting() {
    let (_servers, _, discovery, mut program) = two_servers();
    let silent_discovery = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut kept = program.connect();
    let served = |kept: &mut TcpStream| {
        kept.write_all(safe_request(&fresh_id()).as_bytes()).unwrap();
        let answer = read_message(kept).expect("an answer");
        answer.head.starts_with("HTTP/1.1 200") && !answer.head.to_lowercase().contains("connection: close")
    };
    assert!(served(&mut kept));
    program.configure(silent_discovery.local_addr().unwrap());
    let next = program.successor();
    until("the new process asks for a list", || {
        silent_discovery.set_nonblocking(true).is_ok() && silent_discovery.accept().is_ok()
    });
    program.signal("TERM");
    let signalled = Instant::now();
    let ready = || next.call("GET", "/_ready") == Some(200);
    assert!(!ready(), "the new process is still starting");
    let mut ready_at = None;
    while signalled.elapsed() < Duration::from_millis(1_200) {
        // Asked in this order: the old one must not end before the new one is ready.
        let running = program.running();
        if ready() {
            ready_at.get_or_insert(signalled.elapsed());
        }
        assert!(running || ready_at.is_some(), "nobody serves after {:?}", signalled.elapsed());
        assert!(served(&mut kept), "after {:?}", signalled.elapsed());
        assert!(program.ask().starts_with("HTTP/1.1 200"), "after {:?}", signalled.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
    assert!(ready_at.is_some(), "the new process goes by the old one's list");
    next.configure(discovery.address);
    next.signal("HUP");
    until("the old process exits", || !program.running());
    assert!(signalled.elapsed() < Duration::from_millis(3_000), "{:?}", signalled.elapsed());
    assert!(served(&mut kept));
}

#[test]
fn bans_outlive_the_process_and_apply_to_both_during_a_takeover() {
    let (_servers, _, _discovery, mut program) = two_servers();
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    let next = program.successor();
    until("the new process accepts clients", || next.call("GET", "/_ready") == Some(200));
    expect_only_second(&next);
    // A command to the old process takes effect at the new one, and the other way round.
    assert_eq!(program.call("POST", "/_servers/attach/s1"), Some(200));
    await_both_used(&next);
    assert_eq!(next.call("POST", "/_servers/detach/s1"), Some(200));
    assert_eq!(next.call("POST", "/_servers/detach/s2"), Some(200));
    assert_eq!(program.call("POST", "/_servers/attach/s2"), Some(200));
    program.signal("TERM");
    until("the old process exits", || !program.running());
    expect_only_second(&next);
    assert_eq!(next.call("POST", "/_servers/attach/s1"), Some(200));
    await_both_used(&next);
}

fn kill(program: &mut Program) {
    program.signal("KILL");
    until("the process has exited", || !program.running());
}

fn start_successor(program: &Program) -> Program {
    let next = program.successor();
    until("the new process accepts clients", || next.call("GET", "/_ready") == Some(200));
    next
}

/// The ban ledger file of the only node that uses this folder.
fn ban_ledger_file(program: &Program) -> std::path::PathBuf {
    let files = std::fs::read_dir(program.folder()).unwrap().map(|entry| entry.unwrap().path());
    let found: Vec<_> = files.filter(|p| p.extension().is_some_and(|e| e == "bans")).collect();
    assert_eq!(found.len(), 1, "{found:?}");
    found[0].clone()
}

/// After the only process is killed, its successor recovers the bans from the ledger file.
#[test]
fn bans_outlive_a_kill() {
    let (_servers, _, _discovery, mut program) = two_servers();
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    kill(&mut program);
    let mut next = start_successor(&program);
    expect_only_second(&next);
    assert_eq!(next.call("POST", "/_servers/attach/s1"), Some(200));
    kill(&mut next);
    await_both_used(&start_successor(&next));
}

/// Bans outlive the kill of either of two processes, whichever of them received the command: the remaining
/// one and its successors have them.
#[test]
fn bans_outlive_a_kill_of_both_processes() {
    let (_servers, _, _discovery, mut program) = two_servers();
    let mut next = start_successor(&program);
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    kill(&mut program);
    kill(&mut next);
    let mut third = start_successor(&next);
    expect_only_second(&third);
    let mut fourth = start_successor(&third);
    assert_eq!(fourth.call("POST", "/_servers/attach/s1"), Some(200));
    kill(&mut fourth);
    await_both_used(&third);
    kill(&mut third);
    await_both_used(&start_successor(&third));
}

/// A truncated ledger file is quarantined and ignored as a whole; later bans are persisted again.
#[test]
fn a_damaged_ban_ledger_is_quarantined() {
    let (_servers, _, _discovery, mut program) = two_servers();
    assert_eq!(program.call("POST", "/_servers/detach/s1"), Some(200));
    kill(&mut program);
    let path = ban_ledger_file(&program);
    let intact = std::fs::read(&path).unwrap();
    std::fs::write(&path, &intact[..intact.len() - 1]).unwrap();
    let mut next = start_successor(&program);
    await_both_used(&next);
    assert_eq!(std::fs::read(path.with_extension("bans-unsound")).unwrap(), intact[..intact.len() - 1]);
    assert_eq!(next.call("POST", "/_servers/detach/s1"), Some(200));
    kill(&mut next);
    expect_only_second(&start_successor(&next));
}

/// A ban that cannot be persisted takes effect all the same, and the answer warns that it will not outlive
/// the process.
#[test]
fn a_ban_that_cannot_be_persisted_takes_effect_with_a_warning() {
    let (_servers, _, _discovery, program) = two_servers();
    assert_eq!(program.call("POST", "/_servers/detach/s2"), Some(200));
    assert_eq!(program.call("POST", "/_servers/attach/s2"), Some(200));
    let path = ban_ledger_file(&program);
    std::fs::remove_file(&path).unwrap();
    std::fs::create_dir(&path).unwrap();
    let (status, text) = program.call_for_text("POST", "/_servers/detach/s1").unwrap();
    assert_eq!(status, 200);
    assert!(text.contains("forgotten when this process is killed"), "{text}");
    expect_only_second(&program);
    std::fs::remove_dir(&path).unwrap();
    let (status, text) = program.call_for_text("POST", "/_servers/detach/s1").unwrap();
    assert_eq!((status, text.trim()), (200, "done"));
}

/// The state of thousands of servers does not fit into the handover socket at once and is handed over completely.
#[test]
fn a_large_server_list_is_handed_over_completely() {
    let mut entries: Vec<_> = (0..6_000u32)
        .map(|k| host(&format!("s-{k:08}"), format!("127.1.{}.{}:9", k / 250, k % 250 + 1).parse().unwrap()))
        .collect();
    let server = FakeServer::serving("here");
    entries.push(host("here", server.address));
    let discovery = Discovery::start(&entries);
    let mut program = start_managed(&discovery);
    until("the list has arrived", || program.call("POST", "/_servers/detach/s-00000007") == Some(200));
    std::fs::remove_file(ban_ledger_file(&program)).unwrap();
    let next = start_successor(&program);
    // The successor has the listening sockets, so that the old process accepts no more clients; and it has the ban.
    assert_eq!(program.call("GET", "/_ready"), Some(503));
    program.signal("TERM");
    until("the old process exits", || !program.running());
    let (_, text) = next.call_for_text("POST", "/_servers/attach/s-00000007").unwrap();
    assert_eq!(text.trim(), "done");
    assert!(std::fs::read_to_string(ban_ledger_file(&next)).unwrap().contains("\"out\":false"));
}

/// If the new process dies before the old one has shut down, the old one serves again, and the next process
/// takes over.
#[test]
fn a_failed_upgrade_leaves_the_old_process_in_service() {
    let (_servers, _, _discovery, program) = two_servers();
    let load = Load::start(&program);
    let next = program.successor();
    until("the new process accepts clients", || next.call("GET", "/_ready") == Some(200));
    load.await_served(20);
    assert_eq!(program.call("GET", "/_ready"), Some(503));
    drop(next);
    until("the old process accepts clients again", || program.call("GET", "/_ready") == Some(200));
    // The connections of the killed process are lost with it, so failures are not counted here.
    load.await_served(50);
    load.finish();
    let next = program.successor();
    until("the next process accepts clients", || next.call("GET", "/_ready") == Some(200));
    await_both_used(&next);
    drop(program);
    await_both_used(&next);
}

/// A crowd at the management address keeps within the descriptors that are reserved for it.
#[test]
fn a_crowd_at_the_management_address_keeps_within_the_descriptors() {
    const SOCKETS: usize = 64;
    const CROWD: usize = 300;
    let server = FakeServer::serving("served");
    let discovery = Discovery::start(&[host("s1", server.address)]);
    let program =
        Program::wishing(&discovery, Wishes { managed: true, sockets: SOCKETS, ..Wishes::default() });
    let most = thread::scope(|scope| {
        let crowd = scope.spawn(|| {
            let connect = |_| std::net::TcpStream::connect(program.management).ok();
            (0..CROWD).filter_map(connect).collect::<Vec<_>>()
        });
        let mut most = 0;
        while !crowd.is_finished() {
            most = most.max(program.descriptors());
        }
        drop(crowd);
        most
    });
    assert!(most <= SOCKETS, "{most} descriptors of {SOCKETS}");
    assert_eq!(program.call("GET", "/_ready"), Some(200));
}
