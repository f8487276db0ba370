//! The real program, with a site around it.

use crate::boxes::{self, Plan, StandIn};
use crate::client::Client;
use crate::discovery::{Discovery, Entry};
use crate::levels::{Levels, Upper};
use crate::port::Port;
use crate::process;
use crate::wire::{Answer, Ask, Class, Wire};
use crate::{fresh, until, PATIENCE};
use laurelroute_thrift::codec::Form;
use rustix::process::{Resource, Rlimit};
use std::collections::HashMap;
use std::ffi::OsString;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Instant;

/// What a test may want otherwise of the site.
#[derive(Clone, Debug)]
pub struct Wishes {
    /// Descriptors that the node may hold.
    pub sockets: usize,
    /// The node's memory limit in MiB.
    pub memory_mb: u64,
    /// Cold servers start at this share of their capacity, and are warm after so many milliseconds.
    pub cold: (f64, u64),
    /// Attempts of one request at most.
    pub max_attempts: u32,
    /// How long a kept connection may stand idle, in milliseconds.
    pub conn_idle_ms: u64,
    /// The aim of every class in milliseconds. The module expects a third of it at first, and turns away what has
    /// less time left.
    pub aim_ms: u64,
    /// Lines for the operator's file, ahead of its Thrift part.
    pub site: String,
    /// Lines for `[thrift.boxes]` in the operator's file.
    pub boxes: String,
    /// The command that starts the node, where it is another than the program itself.
    pub launch: Vec<String>,
    /// A file for what the node writes; else nobody reads it.
    pub output: Option<PathBuf>,
    /// Who drops the repeats of keyed requests: `all`, `zone` or `cell`.
    pub group: &'static str,
    /// Two levels: the node is a forwarder, with planners in this state.
    pub levels: Option<Levels>,
    /// The node's name among its peers.
    pub name: String,
    /// It has a second address, for operators.
    pub managed: bool,
    /// The settings allow talk between nodes.
    pub peers: bool,
    /// Further variables of its environment.
    pub environment: Vec<(String, String)>,
    /// How long a client of any class waits at most, in milliseconds.
    pub give_up_ms: u64,
    /// For how long servers drop the repeats of a keyed request, in milliseconds.
    pub window_ms: u64,
    /// A connection to a server that is not up after so many milliseconds has failed.
    pub connect_timeout_ms: u64,
    /// Attempts may be called off.
    pub cancelling: bool,
    /// A slow safe request may be sent a second time.
    pub hedging: bool,
    /// Lines for `[thrift]` in the operator's file.
    pub thrift: String,
    /// Lists come only to those who ask for them.
    pub asked: bool,
    /// ... and have to ask within so many milliseconds.
    pub ask_within_ms: u64,
    /// The node's number among the nodes of its tier, and how many these are.
    pub ordinal: (usize, usize),
    /// The list of servers in its configuration, with its version.
    pub known: Option<(u64, Vec<Entry>)>,
}

impl Default for Wishes {
    fn default() -> Self {
        Wishes {
            sockets: 256,
            memory_mb: 48,
            cold: (0.3, 5_000),
            max_attempts: 3,
            conn_idle_ms: 10_000,
            aim_ms: 3_000,
            site: String::new(),
            boxes: String::new(),
            launch: Vec::new(),
            output: None,
            group: "all",
            levels: None,
            name: "f0".to_owned(),
            managed: false,
            peers: false,
            environment: Vec::new(),
            give_up_ms: 5_000,
            window_ms: 5_000,
            connect_timeout_ms: 1_000,
            cancelling: true,
            hedging: false,
            thrift: String::new(),
            asked: false,
            ask_within_ms: 10_000,
            ordinal: (0, 1),
            known: None,
        }
    }
}

impl Wishes {
    /// How many attempts of a request may be under way at once.
    pub fn attempts_at_once(&self) -> usize {
        if self.hedging {
            2
        } else {
            1
        }
    }
}

/// A running node. It is ended with the test.
#[derive(Debug)]
pub struct Program {
    child: Child,
    /// Where it takes HTTP.
    pub http: SocketAddr,
    /// Where it takes Thrift.
    pub thrift: SocketAddr,
    /// Where operators call, where they can.
    pub management: SocketAddr,
    wishes: Wishes,
    files: [PathBuf; 2],
    command: Vec<OsString>,
    /// What the processes of this node share, kept while any of them runs.
    place: Arc<Place>,
    _own: Port,
}

/// Something that a process is without until this is dropped.
pub struct Lost(Box<dyn Fn() + Send>);

impl Drop for Lost {
    fn drop(&mut self) {
        (self.0)();
    }
}

#[derive(Debug)]
struct Place {
    folder: PathBuf,
    _ports: [Port; 2],
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Program {
    /// Starts `program` with Thrift on, its boxes speaking `form`, and waits until it takes clients.
    pub fn start(program: &Path, discovery: SocketAddr, form: Form, wishes: Wishes) -> Program {
        let ports = [Port::keep(), Port::keep()];
        let (http, thrift) = (ports[0].address(), ports[1].address());
        let folder = std::env::temp_dir().join(format!("laurelroute-{}-{}", std::process::id(), fresh()));
        std::fs::create_dir(&folder).expect("a folder can be made");
        let files = [folder.join("config.json"), folder.join("site.toml")];
        write_config(&files[0], http, discovery, &wishes);
        std::fs::write(&files[1], site(thrift, form, &wishes)).expect("the site's file can be written");
        let mut command: Vec<OsString> = wishes.launch.iter().map(OsString::from).collect();
        if command.is_empty() {
            command.push(program.into());
        }
        if wishes.levels.is_some() {
            command.push("forward".into());
        }
        command.extend(["--site".into(), files[1].clone().into_os_string()]);
        let place = Arc::new(Place { folder, _ports: ports });
        let program = Program::spawn(command, files, place, (http, thrift), wishes);
        until("the program is up", || program.up());
        program
    }

    /// Starts the same again while this one runs, with a second address of its own. It may not take clients yet.
    pub fn successor(&self) -> Program {
        let (command, files) = (self.command.clone(), self.files.clone());
        Program::spawn(command, files, self.place.clone(), (self.http, self.thrift), self.wishes.clone())
    }

    /// The same, as soon as it has said that it is ready. It is asked without a pause: what a test does next is to come within
    /// microseconds of that.
    pub fn ready_successor(&self) -> Program {
        let new = self.successor();
        let end = Instant::now() + PATIENCE;
        while new.call("GET", "/_ready") != Some(200) {
            assert!(Instant::now() < end, "the new process never is ready");
        }
        new
    }

    /// Starts the same again with a folder of its own, so that the two share nothing but their addresses.
    pub fn stranger(&self) -> Program {
        let folder = self.place.folder.with_extension(format!("apart-{}", fresh()));
        std::fs::create_dir(&folder).expect("a folder can be made");
        // The addresses are kept by the first one, which has to outlive this.
        let place = Arc::new(Place { folder, _ports: [Port::keep(), Port::keep()] });
        let (command, files) = (self.command.clone(), self.files.clone());
        Program::spawn(command, files, place, (self.http, self.thrift), self.wishes.clone())
    }

    fn spawn(
        command: Vec<OsString>,
        files: [PathBuf; 2],
        place: Arc<Place>,
        (http, thrift): (SocketAddr, SocketAddr),
        wishes: Wishes,
    ) -> Program {
        let own = Port::keep();
        let management = own.address();
        let sink = || match &wishes.output {
            Some(path) => {
                let file = std::fs::File::options().create(true).append(true).open(path);
                Stdio::from(file.expect("the output can be written"))
            }
            None => Stdio::null(),
        };
        let mut child = Command::new(&command[0]);
        child.args(&command[1..]).env("GW_CONFIG", &files[0]).env("TMPDIR", &place.folder);
        child.envs(wishes.environment.iter().map(|(key, value)| (key, value)));
        if wishes.managed {
            child.env("GW_MANAGEMENT", management.to_string());
        }
        let child = child.stdout(sink()).stderr(sink()).spawn().expect("the program starts");
        Program { child, http, thrift, management, wishes, files, command, place, _own: own }
    }

    /// The status of a call on the second address; `None` where it gets none.
    pub fn call(&self, method: &str, path: &str) -> Option<u16> {
        self.call_for_text(method, path).map(|(status, _)| status)
    }

    /// The same with what the answer says to people.
    pub fn call_for_text(&self, method: &str, path: &str) -> Option<(u16, String)> {
        call_for_text(self.management, method, path)
    }

    fn up(&self) -> bool {
        let Some(mut client) = Client::connect(Wire::Http, self.http) else { return false };
        client.raw(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n");
        client.answer().is_some_and(|a| a.served())
    }

    /// Replaces the configuration by one with another discovery.
    pub fn configure(&self, discovery: SocketAddr) {
        write_config(&self.files[0], self.http, discovery, &self.wishes);
    }

    /// Leaves half a configuration in the file.
    pub fn spoil_config(&self) {
        std::fs::write(&self.files[0], "{\"listen\":").expect("the configuration can be written");
    }

    /// Sends a signal, named as `kill` names it.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(kill.expect("kill runs").success());
    }

    /// Takes away the folder that its processes share until that is dropped: they neither read nor write there.
    pub fn lose_disk(&self) -> Lost {
        let (here, away) = (self.place.folder.clone(), self.place.folder.with_extension("away"));
        std::fs::rename(&here, &away).expect("the folder can be moved");
        Lost(Box::new(move || std::fs::rename(&away, &here).expect("the folder can be moved back")))
    }

    /// The process gets no descriptor beyond those that it has, until that is dropped.
    pub fn lose_descriptors(&self) -> Lost {
        let pid = rustix::process::Pid::from_raw(self.pid() as i32);
        let limit = move |current| {
            let whole = rustix::process::getrlimit(Resource::Nofile);
            let _ = rustix::process::prlimit(pid, Resource::Nofile, Rlimit { current, ..whole });
        };
        let whole = rustix::process::getrlimit(Resource::Nofile).current;
        limit(Some(self.descriptors() as u64));
        Lost(Box::new(move || limit(whole)))
    }

    /// What its processes share.
    pub fn folder(&self) -> &Path {
        &self.place.folder
    }

    /// The process's number.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Descriptors that it holds; none before it has begun, when it still has those of the process that started it, and none
    /// once it has ended.
    pub fn descriptors(&self) -> usize {
        match process::begun(self.pid(), self.files[1].as_os_str().as_encoded_bytes()) {
            true => process::descriptors(self.pid()),
            false => 0,
        }
    }

    /// Whether it still runs.
    pub fn running(&mut self) -> bool {
        self.child.try_wait().expect("it can be asked").is_none()
    }

    /// Where it listens on a wire.
    pub fn address(&self, wire: Wire) -> SocketAddr {
        match wire {
            Wire::Http => self.http,
            Wire::Thrift { .. } => self.thrift,
        }
    }

    /// A new connection.
    pub fn connect(&self, wire: Wire) -> Client {
        Client::connect(wire, self.address(wire)).expect("the program accepts")
    }

    /// One request on a connection of its own.
    pub fn ask(&self, wire: Wire, ask: &Ask) -> Option<Answer> {
        Client::connect(wire, self.address(wire))?.ask(ask)
    }
}

/// A call on a second address: the status, and what the answer says to people; `None` where it gets none.
pub fn call_for_text(management: SocketAddr, method: &str, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(management).ok()?;
    stream.set_read_timeout(Some(crate::PATIENCE)).ok()?;
    stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let text = answer.split_once("\r\n\r\n").map_or("", |(_, text)| text).to_owned();
    Some((answer.get(9..12)?.parse().ok()?, text))
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn site(listen: SocketAddr, form: Form, wishes: &Wishes) -> String {
    let methods: String = crate::wire::CLASSES
        .iter()
        .map(|c| format!("[[thrift.method]]\nname = \"{0}\"\nclass = \"{0}\"\n", c.name()))
        .collect();
    format!(
        "{}\n[thrift]\nlisten = \"{listen}\"\n{}\n[thrift.boxes]\nform = \"{}\"\n{}\n[thrift.facts]\n\
         request_id = [\"field:1\"]\ndeadline = [\"field:2\"]\n{methods}",
        wishes.site,
        wishes.thrift,
        form.name(),
        wishes.boxes
    )
}

pub(crate) fn write_config(path: &Path, listen: SocketAddr, discovery: SocketAddr, wishes: &Wishes) {
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "aimNs": wishes.aim_ms * 1_000_000, "giveUpNs": wishes.give_up_ms * 1_000_000, "worth": 1.0,
            "effect": effect, "group": wishes.group, "windowNs": wishes.window_ms * 1_000_000})
    };
    let mut config = serde_json::json!({
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": wishes.memory_mb, "sockets": wishes.sockets},
        "settings": {
            "classes": [class("read", "pure"), class("write", "side_effect"), class("keyed", "token")],
            "tenants": [], "zone": 0, "zones": ["a"], "skus": ["m"], "ordinal": wishes.ordinal.0, "groupSize": wishes.ordinal.1,
            "registryMode": if wishes.asked { "subscribe" } else { "automatic" },
            "caps": {"maxAttempts": wishes.max_attempts, "secondCopies": wishes.hedging, "cancelling": wishes.cancelling,
                "mayProbe": false, "peers": wishes.peers, "retryAfter": true, "maxRetryAfterNs": 2_000_000_000u64,
                "connIdleNs": wishes.conn_idle_ms * 1_000_000, "connectTimeoutNs": wishes.connect_timeout_ms * 1_000_000},
            "guarantees": {"coldFrom": wishes.cold.0, "rampTimeNs": wishes.cold.1 * 1_000_000,
                "tipMultiple": 3.0, "fallNs": 2_000_000_000u64, "askWithinNs": wishes.ask_within_ms * 1_000_000,
                "stopSendingWithinNs": 250_000_000u64},
        },
    });
    if let Some((seq, entries)) = &wishes.known {
        let hosts: Vec<_> = entries.iter().map(Entry::json).collect();
        config["known"] = serde_json::json!({"seq": seq, "whole": true, "hosts": hosts});
    }
    // Renamed into place: the program must never read half a file.
    let draft = path.with_extension("new");
    std::fs::write(&draft, config.to_string()).expect("the configuration can be written");
    std::fs::rename(&draft, path).expect("the configuration can be replaced");
}

/// A site: boxes, discovery and a node that has heard of all boxes.
pub struct Bed {
    /// The wire under test.
    pub wire: Wire,
    /// The boxes.
    pub boxes: Vec<StandIn>,
    /// What they do with the next requests.
    pub plan: Arc<Plan>,
    /// Discovery.
    pub discovery: Discovery,
    /// The node.
    pub node: Program,
    /// The planners above it, on two levels.
    pub upper: Option<Upper>,
    _judge: AttemptsJudge,
}

/// Asserts as the test ends, whatever it is about, that there were never more attempts of a request at once than the
/// settings allow.
struct AttemptsJudge {
    plan: Arc<Plan>,
    allowed: usize,
}

impl Drop for AttemptsJudge {
    fn drop(&mut self) {
        let too_many = self.plan.too_many_attempts(self.allowed);
        assert!(std::thread::panicking() || too_many.is_empty(), "too many attempts at once: {too_many:#?}");
    }
}

impl Bed {
    /// A site of so many boxes.
    pub fn new(program: &Path, wire: Wire, boxes: usize) -> Bed {
        Bed::wishing(program, wire, boxes, Wishes::default())
    }

    /// A site with wishes.
    pub fn wishing(program: &Path, wire: Wire, boxes: usize, wishes: Wishes) -> Bed {
        let form = match wire {
            Wire::Http => Form::named("framed-binary").expect("a form"),
            Wire::Thrift { boxes, .. } => boxes,
        };
        let plan = Arc::<Plan>::default();
        let boxes: Vec<_> =
            (0..boxes).map(|k| StandIn::start(&format!("box-{k}"), form, plan.clone())).collect();
        let entries: Vec<_> = boxes.iter().map(Entry::of).collect();
        let discovery = Discovery::start(&entries);
        let upper = wishes.levels.map(|levels| Upper::start(program, levels, &discovery, &entries, &wishes));
        let site = upper.as_ref().map(|u| u.site(&wishes.name)).unwrap_or_default();
        let wishes = Wishes { site: wishes.site + &site, ..wishes };
        let judge = AttemptsJudge { plan: plan.clone(), allowed: wishes.attempts_at_once() };
        let node = Program::start(program, discovery.address, form, wishes);
        let mut bed = Bed { wire, boxes, plan, discovery, node, upper, _judge: judge };
        until("the node serves", || bed.one(Class::Read).is_some_and(|a| a.served()));
        if let Some(upper) = &mut bed.upper {
            upper.settle(&bed.discovery);
        }
        bed
    }

    /// One request of a class on a connection of its own.
    pub fn one(&self, class: Class) -> Option<Answer> {
        self.node.ask(self.wire, &Ask::new(class))
    }

    /// All are told of another discovery.
    pub fn configure(&self, discovery: SocketAddr) {
        self.node.configure(discovery);
        self.node.signal("HUP");
        self.upper.iter().flat_map(|u| &u.planners).for_each(|p| p.configure(discovery));
    }

    /// How often a request ran, over all boxes.
    pub fn runs(&self, id: &str) -> usize {
        self.boxes.iter().map(|b| b.runs(id)).sum()
    }

    /// How often each request ran, over all boxes: for those who ask of many.
    pub fn ran(&self) -> HashMap<String, usize> {
        boxes::ran(&self.boxes)
    }

    /// How often a request came to a box as far as its id, over all boxes.
    pub fn arrivals(&self, id: &str) -> usize {
        self.boxes.iter().map(|b| b.arrivals(id)).sum()
    }

    /// The list as it stands when all is well.
    pub fn entries(&self) -> Vec<Entry> {
        self.boxes.iter().map(Entry::of).collect()
    }
}
