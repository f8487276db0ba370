//! All that runs: discovery, planners, real forwarders before boxes, and processes of hollow nodes.

use super::hollow::{Orders, Time, SITE};
use super::relay::Relay;
use crate::report::Failure;
use crate::AS_PROGRAM;
use laurelroute_rig::scale_model::awaited::State;
use laurelroute_rig::scale_model::fleet::{server_name, service_name, Fleet, Size};
use laurelroute_testkit::boxes::{Act, Plan, StandIn};
use laurelroute_testkit::catalogue::{Catalogue, Listed};
use laurelroute_testkit::levels::{Authority, Levels, Planner};
use laurelroute_testkit::program::{Program, Wishes};
use laurelroute_thrift::codec::Form;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

/// Planners of the installation.
pub const PLANNERS: usize = 3;
/// Services whose servers are stand-in boxes, and boxes of each.
pub const LIVE: (usize, usize) = (6, 6);
/// How long a box takes to answer.
pub const WORK: Duration = Duration::from_millis(8);

/// A process of hollow nodes.
pub struct Hollow {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    /// Its nodes: from, to.
    pub nodes: (usize, usize),
}

impl Hollow {
    fn start(program: &Path, orders: &Orders, nodes: (usize, usize)) -> Result<Hollow, Failure> {
        let mut command = Command::new(program);
        command.arg("hollow").env_remove(AS_PROGRAM).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let silent = || Failure("a hollow process without input or output".into());
        let mut input = child.stdin.take().ok_or_else(silent)?;
        let output = BufReader::new(child.stdout.take().ok_or_else(silent)?);
        writeln!(input, "{}", orders.json())?;
        Ok(Hollow { child, input, output, nodes })
    }

    fn tell(&mut self, order: &Value) -> Result<(), Failure> {
        Ok(writeln!(self.input, "{order}")?)
    }

    fn hear(&mut self) -> Result<Value, Failure> {
        let mut line = String::new();
        if self.output.read_line(&mut line)? == 0 {
            return Err(Failure("a process of hollow nodes has ended".into()));
        }
        Ok(serde_json::from_str(&line)?)
    }
}

impl Drop for Hollow {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A real forwarder.
pub struct Real {
    /// The process.
    pub program: Program,
    /// Its way to the planners.
    pub relay: Relay,
    /// The services that it uses beside those of the boxes.
    pub uses: Vec<usize>,
}

/// The bed.
pub struct Bed {
    /// How large it is.
    pub size: Size,
    /// What was drawn.
    pub fleet: Fleet,
    /// The list.
    pub catalogue: Catalogue,
    /// The planners.
    pub planners: Vec<Planner>,
    /// Hollow nodes.
    pub hollow: Vec<Hollow>,
    /// Real nodes.
    pub real: Vec<Real>,
    /// Boxes of the services that clients ask for, service after service.
    pub boxes: Vec<StandIn>,
    /// The clock of all processes.
    pub time: Time,
    /// How servers stand by the list, where it differs from its beginning.
    states: std::collections::HashMap<usize, State>,
    /// Where servers that are data can be reached: requests of the real forwarders that only name a service end there.
    crowd: StandIn,
    _authority: Authority,
}

/// Ready, started long ago, of the usual size.
const FIRST: State = State { phase: 0, born_ms: 0, share: 1.0 };

/// A live service's name.
pub fn live_name(service: usize) -> String {
    format!("live-{service}")
}

fn health(phase: u8) -> &'static str {
    match phase {
        0 => "active",
        1 => "leaving",
        _ => "left",
    }
}

impl Bed {
    /// Starts discovery, planners and real forwarders; hollow processes are there, without nodes yet.
    pub fn start(program: &Path, size: Size, seed: u64) -> Result<Bed, Failure> {
        let fleet = Fleet::draw(size, seed);
        let form = Form::named("framed-binary").ok_or_else(|| Failure("no such form".into()))?;
        let plan = Arc::<Plan>::default();
        let crowd = StandIn::start("crowd", form, plan.clone());
        let boxes: Vec<StandIn> = (0..LIVE.0 * LIVE.1)
            .map(|k| StandIn::start(&format!("box-{}-{}", k / LIVE.1, k % LIVE.1), form, plan.clone()))
            .collect();
        boxes.iter().for_each(|b| b.usually(Act::After(WORK)));
        let data = (0..fleet.servers()).map(|s| listed(&fleet, crowd.http, s, &FIRST));
        let live = boxes.iter().enumerate().map(|(k, b)| live_listed(k, b, &FIRST));
        let catalogue = Catalogue::start(data.chain(live));
        let authority = Authority::default();
        // A forwarder before so many servers holds a connection to some of them at a time.
        let wishes = Wishes { levels: Some(Levels::Up), sockets: 512, ..Wishes::default() };
        let mut planners: Vec<Planner> = (0..PLANNERS)
            .map(|k| {
                let own = format!("planners = {PLANNERS}\nservices = true\n");
                Planner::of(program, &authority, &format!("p{k}"), catalogue.address, &wishes, &own)
            })
            .collect();
        planners.iter_mut().for_each(Planner::start);
        let addresses: Vec<SocketAddr> = planners.iter().map(|p| p.address).collect();
        let files: [PathBuf; 3] = authority.files("hollow");
        let orders = Orders { size, seed, planners: addresses.clone(), files };
        let hollow: Result<Vec<_>, _> =
            (0..size.processes).map(|k| Hollow::start(program, &orders, size.share(k))).collect();
        let mut bed = Bed {
            size,
            fleet,
            catalogue,
            planners,
            hollow: hollow?,
            real: Vec::new(),
            boxes,
            time: Time::new(),
            states: std::collections::HashMap::new(),
            crowd,
            _authority: authority,
        };
        for k in 0..size.real {
            let relay = Relay::start(&addresses)?;
            let name = format!("real-{k}");
            let ways: Vec<String> = relay.addresses.iter().map(|a| format!("{:?}", a.to_string())).collect();
            let site = format!(
                "{}[forward]\nservices = true\nservice = \"host\"\nplanners = [{}]\n",
                bed._authority.peers(SITE, &name),
                ways.join(", ")
            );
            let wishes = Wishes { site, name, ..wishes.clone() };
            let program = Program::start(program, bed.catalogue.address, form, wishes);
            let uses = bed.fleet.uses(size.nodes - size.real + k);
            bed.real.push(Real { program, relay, uses });
        }
        Ok(bed)
    }

    /// Gives the same order to all hollow processes; their answers.
    pub fn all(&mut self, order: &Value) -> Result<Vec<Value>, Failure> {
        self.hollow.iter_mut().try_for_each(|h| h.tell(order))?;
        self.hollow.iter_mut().map(Hollow::hear).collect()
    }

    /// Starts or stops hollow nodes.
    pub fn nodes(&mut self, what: &str, nodes: &[usize], within: Duration) -> Result<(), Failure> {
        for hollow in &mut self.hollow {
            let (from, to) = hollow.nodes;
            let own: Vec<usize> = nodes.iter().copied().filter(|n| (from..to).contains(n)).collect();
            hollow.tell(&json!({"do": what, "nodes": own, "within_ms": within.as_millis() as u64}))?;
        }
        self.hollow.iter_mut().try_for_each(|h| h.hear().map(drop))
    }

    /// Sum of a figure over all hollow processes.
    pub fn sum(&mut self, order: &str, key: &str) -> Result<u64, Failure> {
        let answers = self.all(&json!({ "do": order }))?;
        Ok(answers.iter().filter_map(|a| a[key].as_u64()).sum())
    }

    /// How a server stands by the list.
    pub fn state(&self, server: usize) -> State {
        self.states.get(&server).copied().unwrap_or(FIRST)
    }

    /// Has the hollow nodes await these changes, numbered, and pushes them; gives the list's version.
    pub fn push(&mut self, event: usize, changes: &[(usize, usize, State)]) -> Result<u64, Failure> {
        let at = self.push_unseen(event, changes)?;
        self.seen(changes, at.1)?;
        Ok(at.0)
    }

    /// The same, but that they can be seen (`seen`) is told later. Gives the version, and when it was pushed.
    pub fn push_unseen(
        &mut self,
        event: usize,
        changes: &[(usize, usize, State)],
    ) -> Result<(u64, u64), Failure> {
        let row = |(id, server, state): &(usize, usize, State)| {
            let [phase, born, share] = state.numbers();
            [*id as u64, *server as u64, phase, born, share]
        };
        let rows: Vec<[u64; 5]> = changes.iter().map(row).collect();
        self.all(&json!({"do": "expect", "event": event, "changes": rows}))?;
        let mut entries = Vec::with_capacity(changes.len());
        for (_, server, state) in changes {
            // Who has left keeps the rest of what was said of it.
            let before = self.state(*server);
            let said = State { phase: state.phase, ..if *state == State::GONE { before } else { *state } };
            entries.push(listed(&self.fleet, self.crowd.http, *server, &said));
            self.states.insert(*server, said);
        }
        let at = self.time.now();
        Ok((self.catalogue.push(&entries), at))
    }

    /// From then on these could be seen.
    pub fn seen(&mut self, changes: &[(usize, usize, State)], at: u64) -> Result<(), Failure> {
        let ids: Vec<usize> = changes.iter().map(|c| c.0).collect();
        self.all(&json!({"do": "pushed", "changes": ids, "at": at})).map(drop)
    }

    /// Pushes a box's state; gives the version.
    pub fn push_box(&self, place: usize, state: &State) -> u64 {
        self.catalogue.push(&[live_listed(place, &self.boxes[place], state)])
    }
}

fn listed(fleet: &Fleet, http: SocketAddr, server: usize, state: &State) -> Listed {
    Listed {
        name: server_name(server),
        service: service_name(fleet.service_of(server)),
        http,
        health: health(state.phase),
        born_ms: state.born_ms,
        share: state.share,
    }
}

fn live_listed(place: usize, stand_in: &StandIn, state: &State) -> Listed {
    Listed {
        name: stand_in.name.clone(),
        service: live_name(place / LIVE.1),
        http: stand_in.http,
        health: health(state.phase),
        born_ms: state.born_ms,
        share: state.share,
    }
}
