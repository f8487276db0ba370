//! A traffic shift from an old pool to a new one, over sockets: halted and rolled back because of measured
//! failures, resumed after kills.

mod common;
use common::*;
use laurelroute_testkit::discovery::{Discovery, Entry};
use laurelroute_testkit::program::Wishes;
use std::collections::HashMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often each request, by id, was executed by any server.
type Executions = Arc<Mutex<HashMap<String, u32>>>;

/// Two servers of the old pool, two of the new one, which may fail a class, and a node with a shift between
/// the pools.
struct TestBed {
    _servers: Vec<FakeServer>,
    _discovery: Discovery,
    executions: Executions,
    node: Program,
}

fn id_of(head: &str) -> Option<String> {
    let line = head.lines().find(|l| l.to_lowercase().starts_with("x-request-id:"))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

fn start_server(executions: Executions, failing: &'static str) -> FakeServer {
    FakeServer::start(move |seen, stream| {
        if let Some(id) = id_of(&seen.head) {
            *executions.lock().unwrap().entry(id).or_default() += 1;
        }
        let fail = !failing.is_empty() && seen.head.starts_with(failing);
        let answer = if fail { reply("500 Internal Server Error", "") } else { reply("200 OK", "fine") };
        stream.write_all(&answer).is_ok()
    })
}

impl TestBed {
    fn new(failing: &'static str, settings: &str) -> TestBed {
        let executions = Executions::default();
        let servers: Vec<FakeServer> =
            (0..4).map(|k| start_server(executions.clone(), if k < 2 { "" } else { failing })).collect();
        let names = ["old-1", "old-2", "new-1", "new-2"];
        let entries: Vec<Entry> = names.iter().zip(&servers).map(|(n, s)| host(n, s.address)).collect();
        let discovery = Discovery::start(&entries);
        let site = format!(
            "[shift]\nname = \"release-42\"\nold = {{ id = [\"old-*\"] }}\nnew = {{ id = [\"new-*\"] }}\n\
             steps = [20, 50, 100]\nkeep_back = 20\nleast_fault = 30\nleast_seconds = 0.5\nwatch_seconds = 1\n\
             settle_seconds = 0.5\njournal = \"shift.journal\"\n{settings}\n"
        );
        let node = Program::wishing(&discovery, Wishes { managed: true, site, ..Wishes::default() });
        TestBed { _servers: servers, _discovery: discovery, executions, node }
    }

    /// Sends requests from several clients until `done`, every fifth one unsafe; returns the number of
    /// missing answers.
    fn load(&self, mut done: impl FnMut() -> bool) -> u32 {
        let stop = AtomicBool::new(false);
        thread::scope(|scope| {
            let client = || {
                let mut missing = 0;
                for k in 0u32.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = fresh_id();
                    let text = if k % 5 == 0 { unsafe_request(&id, "x") } else { safe_request(&id) };
                    missing += u32::from(!self.node.raw(text.as_bytes()).starts_with("HTTP/1.1"));
                }
                missing
            };
            let clients: Vec<_> = (0..6).map(|_| scope.spawn(client)).collect();
            for _ in 0..600 {
                if done() {
                    break;
                }
                thread::sleep(Duration::from_millis(50));
            }
            stop.store(true, Ordering::Relaxed);
            clients.into_iter().map(|c| c.join().unwrap()).sum()
        })
    }

    fn status(&self) -> serde_json::Value {
        let (_, text) = self.node.call_for_text("GET", "/_shift").unwrap_or_default();
        serde_json::from_str(&text).unwrap_or_default()
    }

    fn state(&self) -> String {
        self.status()["state"].as_str().unwrap_or_default().to_owned()
    }

    fn post_command(&self, verb: &str) -> Option<u16> {
        self.node.call("POST", &format!("/_shift/{verb}/kim/because"))
    }

    fn rung(&self) -> u64 {
        self.status()["rung"][0].as_u64().unwrap_or(0)
    }

    /// Runs `laurelroute shift` with these arguments; returns its exit code and output.
    fn cli(&self, arguments: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_laurelroute"));
        let at = self.node.management.to_string();
        command.env_remove("GW_CONFIG").env_remove("GW_MANAGEMENT").arg("shift").args(arguments);
        let output = command.args(["--at", &at]).output().expect("the command runs");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
    }

    fn journal(&self) -> PathBuf {
        self.node.folder().join("shift.journal")
    }

    /// Kills the process with SIGKILL and starts it again.
    fn kill_and_restart(mut self) -> TestBed {
        self.node.signal("KILL");
        until("the process has exited", || !self.node.running());
        let next = self.node.successor();
        self.node = next;
        until("the process serves again", || self.node.ask().starts_with("HTTP/1.1 200"));
        self
    }
}

#[test]
fn a_new_pool_that_fails_one_class_is_halted_within_two_steps_and_rolled_back() {
    let bed = TestBed::new("POST /write", "");
    assert_eq!(bed.post_command("start"), Some(200));
    let mut highest_rung = 0;
    let missing = bed.load(|| {
        highest_rung = highest_rung.max(bed.rung());
        bed.state() == "undone"
    });
    let status = bed.status();
    assert_eq!(status["state"], "undone", "{status}");
    assert!(highest_rung <= 2, "the shift reached rung {highest_rung}");
    assert_eq!(missing, 0, "requests without an answer");
    let last = status["changes"].as_array().and_then(|c| c.last()).expect("changes");
    assert!(last["why"].as_str().is_some_and(|w| w.contains("class=write")), "{last}");
    // All requests go to the old pool again, and failed unsafe requests were not retried.
    for _ in 0..20 {
        let answer = bed.node.raw(unsafe_request(&fresh_id(), "x").as_bytes());
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(
        bed.executions.lock().unwrap().iter().all(|(_, n)| *n <= 1),
        "a request was executed more than once"
    );
    let journal = std::fs::read_to_string(bed.journal()).expect("a journal");
    assert!(journal.contains("\"undone\""), "{journal}");
}

#[test]
fn a_healthy_pool_finishes_and_a_kill_at_each_step_loses_only_its_evidence() {
    let mut bed = TestBed::new("", "");
    assert_eq!(bed.post_command("start"), Some(200));
    for rung in 1..=3 {
        assert_eq!(bed.load(|| bed.rung() >= rung), 0);
        assert!(bed.rung() >= rung, "{}", bed.status());
        until("the journal contains the step", || {
            std::fs::read_to_string(bed.journal())
                .is_ok_and(|j| j.contains(&format!("\"rung\":{}", rung - 1)))
        });
        bed = bed.kill_and_restart();
        let status = bed.status();
        assert_eq!((status["state"].as_str(), bed.rung()), (Some("stepping"), rung), "{status}");
    }
    bed.load(|| bed.state() == "finished");
    assert_eq!(bed.state(), "finished", "{}", bed.status());
}

#[test]
fn a_half_written_journal_holds_the_shift() {
    let bed = TestBed::new("", "");
    assert_eq!(bed.post_command("start"), Some(200));
    until("the shift is stepping", || bed.state() == "stepping");
    until("the journal contains the step", || {
        std::fs::read_to_string(bed.journal()).is_ok_and(|j| j.contains("\"step\""))
    });
    let bed = {
        let path = bed.journal();
        let mut text = std::fs::read(&path).expect("a journal");
        text.extend_from_slice(b"0123abcd {\"change\":{\"at\":");
        std::fs::write(&path, text).expect("the journal can be written");
        bed.kill_and_restart()
    };
    assert_eq!(bed.state(), "held", "{}", bed.status());
    assert_eq!(bed.post_command("advance"), Some(200));
    assert_eq!(bed.state(), "stepping");
}

#[test]
fn operators_start_inspect_hold_advance_and_undo() {
    let bed = TestBed::new("", "");
    let (code, text) = bed.cli(&["status"]);
    assert!(code == 0 && text.contains("release-42: not started"), "{code} {text}");
    let (code, text) = bed.cli(&["hold"]);
    assert!(code == 1 && text.contains("the shift is not started: `hold` changes nothing"), "{code} {text}");
    let (code, text) = bed.cli(&["start", "--who", "kim", "--why", "release 42 / second try"]);
    assert!(code == 0 && text.contains("the shift is waiting"), "{code} {text}");
    until("the shift is stepping", || bed.state() == "stepping");
    assert_eq!(bed.cli(&["hold"]).0, 0);
    assert_eq!(bed.state(), "held");
    assert_eq!(bed.cli(&["advance"]).0, 0);
    assert_eq!(bed.cli(&["advance", "--why", "seen enough"]).0, 0);
    assert_eq!(bed.rung(), 2);
    let (_, text) = bed.cli(&["explain"]);
    assert!(text.contains("by kim: release 42 / second try") && text.contains("seen enough"), "{text}");
    let (code, text) = bed.cli(&["undo", "--who", "kim"]);
    assert!(code == 0 && text.contains("undone"), "{text}");
    let (code, text) = bed.cli(&["start"]);
    assert!(code == 1 && text.contains("insist"), "{code} {text}");
    let (code, text) = bed.cli(&["watch"]);
    assert!(code == 0 && text.contains("undone"), "without a terminal it ends with the shift: {code} {text}");
    let (_, json) = bed.cli(&["status", "--json"]);
    assert_eq!(serde_json::from_str::<serde_json::Value>(&json).unwrap()["state"], "undone");
    for (path, status) in
        [("/_shift/sleep/kim/x", 400), ("/_shift/hold/kim", 400), ("/_shift/hold/kim/x/y", 400)]
    {
        assert_eq!(bed.node.call("POST", path), Some(status), "{path}");
    }
}

#[test]
fn a_node_without_a_shift_answers_404_and_a_damaged_journal_prevents_the_start() {
    let server = FakeServer::serving("fine");
    let discovery = Discovery::start(&[host("s", server.address)]);
    let node = Program::wishing(&discovery, Wishes { managed: true, ..Wishes::default() });
    assert_eq!(node.call("GET", "/_shift"), Some(404));
    assert_eq!(node.call("POST", "/_shift/start/kim/x"), Some(404));
    let folder = std::env::temp_dir().join(format!("laurelroute-shift-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let site = folder.join("site.toml");
    std::fs::write(folder.join("j"), "not a journal\nat all\n").expect("a file");
    let text = "[shift]\nname = \"x\"\nold = { id = [\"a\"] }\nnew = { id = [\"b\"] }\njournal = \"j\"\n";
    std::fs::write(&site, text).expect("a file");
    let (code, text) = start_with_site(&site, node.folder());
    assert!(code != 0 && text.contains("line 1 is damaged"), "{code} {text}");
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
}

fn start_with_site(site: &Path, folder: &Path) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_laurelroute"));
    command.env("GW_CONFIG", folder.join("config.json")).env("TMPDIR", folder).arg("--site").arg(site);
    let output = command.output().expect("the command runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}
