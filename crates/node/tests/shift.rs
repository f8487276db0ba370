//! A shift from an old pool to a new one, over sockets: halted and undone by what is measured, and gone on with after kills.

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

/// Requests by id, and how often each was run by any server.
type Ran = Arc<Mutex<HashMap<String, u32>>>;

/// Two old servers and two new ones, of which the new ones fail a class, and a node with a shift between them.
struct Site {
    _servers: Vec<FakeServer>,
    _discovery: Discovery,
    ran: Ran,
    node: Program,
}

fn id_of(head: &str) -> Option<String> {
    let line = head.lines().find(|l| l.to_lowercase().starts_with("x-request-id:"))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

fn server(ran: Ran, fails: &'static str) -> FakeServer {
    FakeServer::start(move |seen, stream| {
        if let Some(id) = id_of(&seen.head) {
            *ran.lock().unwrap().entry(id).or_default() += 1;
        }
        let bad = !fails.is_empty() && seen.head.starts_with(fails);
        let answer = if bad { reply("500 Internal Server Error", "") } else { reply("200 OK", "fine") };
        stream.write_all(&answer).is_ok()
    })
}

impl Site {
    fn new(fails: &'static str, more: &str) -> Site {
        let ran = Ran::default();
        let servers: Vec<FakeServer> =
            (0..4).map(|k| server(ran.clone(), if k < 2 { "" } else { fails })).collect();
        let names = ["old-1", "old-2", "new-1", "new-2"];
        let entries: Vec<Entry> = names.iter().zip(&servers).map(|(n, s)| host(n, s.address)).collect();
        let discovery = Discovery::start(&entries);
        let site = format!(
            "[shift]\nname = \"release-42\"\nold = {{ id = [\"old-*\"] }}\nnew = {{ id = [\"new-*\"] }}\n\
             steps = [20, 50, 100]\nkeep_back = 20\nleast_fault = 30\nleast_seconds = 0.5\nwatch_seconds = 1\n\
             settle_seconds = 0.5\njournal = \"shift.journal\"\n{more}\n"
        );
        let node = Program::wishing(&discovery, Wishes { managed: true, site, ..Wishes::default() });
        Site { _servers: servers, _discovery: discovery, ran, node }
    }

    /// Asks from several clients until `done`, every fifth request unsafe. Answers that are missing are counted.
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

    fn say(&self, verb: &str) -> Option<u16> {
        self.node.call("POST", &format!("/_shift/{verb}/kim/because"))
    }

    fn rung(&self) -> u64 {
        self.status()["rung"][0].as_u64().unwrap_or(0)
    }

    /// `laurelroute shift` with these arguments: its exit code and what it prints.
    fn cli(&self, arguments: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_laurelroute"));
        let at = self.node.management.to_string();
        command.env_remove("GW_CONFIG").env_remove("GW_MANAGEMENT").arg("shift").args(arguments);
        let output = command.args(["--at", &at]).output().expect("it runs");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
    }

    fn journal(&self) -> PathBuf {
        self.node.folder().join("shift.journal")
    }

    /// Ends the process with SIGKILL and starts the same again.
    fn killed(mut self) -> Site {
        self.node.signal("KILL");
        until("it is gone", || !self.node.running());
        let next = self.node.successor();
        self.node = next;
        until("it is back", || self.node.ask().starts_with("HTTP/1.1 200"));
        self
    }
}

#[test]
fn a_new_pool_that_fails_one_class_is_halted_within_two_steps_and_undone() {
    let site = Site::new("POST /write", "");
    assert_eq!(site.say("start"), Some(200));
    let mut most = 0;
    let missing = site.load(|| {
        most = most.max(site.rung());
        site.state() == "undone"
    });
    let status = site.status();
    assert_eq!(status["state"], "undone", "{status}");
    assert!(most <= 2, "it got as far as rung {most}");
    assert_eq!(missing, 0, "requests without an answer");
    let last = status["changes"].as_array().and_then(|c| c.last()).expect("changes");
    assert!(last["why"].as_str().is_some_and(|w| w.contains("class=write")), "{last}");
    // All goes to the old pool again, and what failed there was not sent again.
    for _ in 0..20 {
        let answer = site.node.raw(unsafe_request(&fresh_id(), "x").as_bytes());
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(site.ran.lock().unwrap().iter().all(|(_, n)| *n <= 1), "something ran twice");
    let journal = std::fs::read_to_string(site.journal()).expect("a journal");
    assert!(journal.contains("\"undone\""), "{journal}");
}

#[test]
fn a_sound_pool_is_finished_and_a_kill_at_each_step_costs_only_its_evidence() {
    let mut site = Site::new("", "");
    assert_eq!(site.say("start"), Some(200));
    for rung in 1..=3 {
        assert_eq!(site.load(|| site.rung() >= rung), 0);
        assert!(site.rung() >= rung, "{}", site.status());
        until("the journal has it", || {
            std::fs::read_to_string(site.journal())
                .is_ok_and(|j| j.contains(&format!("\"rung\":{}", rung - 1)))
        });
        site = site.killed();
        let status = site.status();
        assert_eq!((status["state"].as_str(), site.rung()), (Some("stepping"), rung), "{status}");
    }
    site.load(|| site.state() == "finished");
    assert_eq!(site.state(), "finished", "{}", site.status());
}

#[test]
fn a_half_written_journal_holds_the_shift_and_says_so() {
    let site = Site::new("", "");
    assert_eq!(site.say("start"), Some(200));
    until("it steps", || site.state() == "stepping");
    until("the journal has it", || {
        std::fs::read_to_string(site.journal()).is_ok_and(|j| j.contains("\"step\""))
    });
    let site = {
        let path = site.journal();
        let mut text = std::fs::read(&path).expect("a journal");
        text.extend_from_slice(b"0123abcd {\"change\":{\"at\":");
        std::fs::write(&path, text).expect("it can be written");
        site.killed()
    };
    assert_eq!(site.state(), "held", "{}", site.status());
    assert_eq!(site.say("advance"), Some(200));
    assert_eq!(site.state(), "stepping");
}

#[test]
fn operators_start_look_hold_go_on_and_undo() {
    let site = Site::new("", "");
    let (code, text) = site.cli(&["status"]);
    assert!(code == 0 && text.contains("release-42: not started"), "{code} {text}");
    let (code, text) = site.cli(&["hold"]);
    assert!(code == 1 && text.contains("the shift is not started: `hold` changes nothing"), "{code} {text}");
    let (code, text) = site.cli(&["start", "--who", "kim", "--why", "release 42 / second try"]);
    assert!(code == 0 && text.contains("the shift is waiting"), "{code} {text}");
    until("it steps", || site.state() == "stepping");
    assert_eq!(site.cli(&["hold"]).0, 0);
    assert_eq!(site.state(), "held");
    assert_eq!(site.cli(&["advance"]).0, 0);
    assert_eq!(site.cli(&["advance", "--why", "seen enough"]).0, 0);
    assert_eq!(site.rung(), 2);
    let (_, text) = site.cli(&["explain"]);
    assert!(text.contains("by kim: release 42 / second try") && text.contains("seen enough"), "{text}");
    let (code, text) = site.cli(&["undo", "--who", "kim"]);
    assert!(code == 0 && text.contains("undone"), "{text}");
    let (code, text) = site.cli(&["start"]);
    assert!(code == 1 && text.contains("insist"), "{code} {text}");
    let (code, text) = site.cli(&["watch"]);
    assert!(code == 0 && text.contains("undone"), "without a terminal it ends with the shift: {code} {text}");
    let (_, json) = site.cli(&["status", "--json"]);
    assert_eq!(serde_json::from_str::<serde_json::Value>(&json).unwrap()["state"], "undone");
    for (path, status) in
        [("/_shift/sleep/kim/x", 400), ("/_shift/hold/kim", 400), ("/_shift/hold/kim/x/y", 400)]
    {
        assert_eq!(site.node.call("POST", path), Some(status), "{path}");
    }
}

#[test]
fn a_node_without_a_shift_says_so_and_foreign_journals_stop_the_start() {
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
    let (code, said) = starts(&site, node.folder());
    assert!(code != 0 && said.contains("line 1 is damaged"), "{code} {said}");
    std::fs::remove_dir_all(&folder).expect("it can go");
}

fn starts(site: &Path, folder: &Path) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_laurelroute"));
    command.env("GW_CONFIG", folder.join("config.json")).env("TMPDIR", folder).arg("--site").arg(site);
    let output = command.output().expect("it runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}
