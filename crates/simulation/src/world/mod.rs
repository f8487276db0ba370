//! The world: an ordered queue of events, and what each does to forwarders, planners, boxes and the list.

mod levels;
pub mod measure;

use crate::boxes::{Cold, Health, SimBox, Taken};
use crate::draw::Draw;
use crate::faults::Fault;
use crate::rules::{Closed, Life};
use crate::{Nanos, MS, S};
use laurelroute_plan::follower::{Follower, View};
use laurelroute_plan::lead::{self, AppliedMembers};
use laurelroute_plan::member::Member;
use laurelroute_plan::planner::{self, Planner};
use laurelroute_plan::reporter::{NodeState, Reporter};
use laurelroute_plan::wire::{PlanAck, PlanUpdate, Report, Suspicion};
use laurelroute_policy::interface::*;
use laurelroute_policy::Balancer;
use prost::Message;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;

/// The world begins then: late enough that a clock that goes wrong stays above zero.
pub const BEGIN: Nanos = 1_000 * S;
/// From a forwarder to a box, one way.
const NET: Nanos = 300_000;
const TICK: Nanos = 50 * MS;
/// Ticks between two reports.
const REPORT_EVERY: u64 = 4;
/// A session on which nothing comes for so long is given up, and one that was lost is tried again after this.
const SILENCE: Nanos = 3 * S;
const RETRY: Nanos = 300 * MS;
const STILL_WATCH: Nanos = 2 * S;
/// Interval between heartbeats of a watch of the list.
const LIST_HEARTBEAT: Nanos = 2 * S;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Every forwarder by itself, as the one-level node does.
    OneLevel,
    /// Forwarders led by planners.
    TwoLevel,
    /// A policy that sees every queue and every speed as they are, and needs no rules.
    TrueState,
}

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Settles all draws.
    pub seed: u64,
    /// Who decides.
    pub mode: Mode,
    /// Forwarders.
    pub forwarders: usize,
    /// Planners.
    pub planners: usize,
    /// Speeds of the boxes at the start.
    pub speeds: Vec<f64>,
    /// Workers of a box.
    pub workers: usize,
    /// Requests a second over all forwarders.
    pub rate: f64,
    /// Connections that a box takes of all forwarders together.
    pub cap: Option<u32>,
    /// Connections that a forwarder would like to hold to each of its boxes: fewer make for more boxes.
    pub wanted: u32,
    /// How boxes start cold.
    pub cold: Cold,
    /// Clocks go wrong by at most this.
    pub skew: Nanos,
}

/// Classes of every world: work in seconds of a usual worker, aim, give-up time, effect.
const CLASSES: [(&str, f64, Nanos, Nanos, Idempotency); 3] = [
    ("status", 0.020, 300 * MS, 2_000 * MS, Idempotency::Safe),
    ("gauges", 0.030, 500 * MS, 2_500 * MS, Idempotency::Keyed),
    ("acknowledge", 0.040, 800 * MS, 3_000 * MS, Idempotency::Unsafe),
];

/// What became of the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// All of them.
    pub asked: u64,
    /// Served within the aim.
    pub in_aim: u64,
    /// Served.
    pub served: u64,
}

/// Sums over a run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// By class.
    pub classes: [Count; CLASSES.len()],
    /// Asked and served within the aim, by 10 s.
    pub windows: Vec<(u64, u64)>,
    /// Requests that came before this are not counted.
    pub since: Nanos,
    /// The first window that is whole.
    pub from: usize,
    /// Bytes from planners to forwarders, and back.
    pub bytes: [u64; 2],
    /// Promises that were broken, with when.
    pub broken: Vec<String>,
    /// When not all forwarders were last in agreement with a planner and the list.
    pub apart_at: Nanos,
}

pub(crate) struct Req {
    life: Life,
    class: usize,
    work: f64,
    arrived: Nanos,
    attempts: Vec<(u32, Nanos, bool)>,
}

pub(crate) struct Mover {
    name: String,
    pub(crate) balancer: Balancer,
    pub(crate) follower: Follower,
    told: AppliedMembers,
    guide: NodePlan,
    closed: Closed,
    requests: HashMap<u32, Req>,
    next_id: u32,
    skew: i64,
    watching: bool,
    alone_at: Nanos,
    list_at: Nanos,
    /// The version of the last list that its watch has brought.
    list_version: u64,
    /// When its watch of the list was last sent a heartbeat.
    heartbeat_at: Nanos,
}

pub(crate) struct Brain {
    pub(crate) planner: Option<Planner>,
    pub(crate) life: u64,
    /// Its source of the list has stopped, and where it stood.
    pub(crate) frozen: bool,
    list_at: Nanos,
    /// When its watch of the list was last sent a heartbeat.
    heartbeat_at: Nanos,
    skew: i64,
    /// It says that every box is suspected.
    pub(crate) lies: bool,
}

#[derive(Default)]
pub(crate) struct Link {
    epoch: u64,
    session: Option<Reporter>,
    /// No connection comes about.
    pub(crate) cut: bool,
    /// What is sent does not arrive.
    pub(crate) mute: bool,
    pub(crate) delay: Nanos,
    next_at: [Nanos; 2],
    heard_at: [Nanos; 2],
    retry_at: Nanos,
}

type List = Rc<(u64, Vec<Member>)>;

enum Ev {
    Client(usize),
    Arrive(usize, u32, u8),
    Done(usize, u32, u8, u64, AttemptOutcome),
    Deadline(usize, u32),
    Timer(usize, u32),
    Part(usize, usize, u64, Box<PlanUpdate>),
    Reply(usize, usize, u64, PlanAck),
    Report(usize, usize, u64, Box<Report>),
    MoverTick(usize, u64),
    BrainTick(usize),
    ListToBrain(usize, u64, List),
    ListToMover(usize, List),
    /// A heartbeat of the list's source to a planner in this life: the list is still of this version.
    HeartbeatToBrain(usize, u64, u64),
    /// The same to a forwarder.
    HeartbeatToMover(usize, u64),
    Fault(usize),
}

/// See the module's documentation.
pub struct World {
    /// What it is made of.
    pub setup: Setup,
    /// The time.
    pub now: Nanos,
    /// What was seen.
    pub tally: Tally,
    pub(crate) movers: Vec<Mover>,
    pub(crate) brains: Vec<Brain>,
    pub(crate) links: Vec<Vec<Link>>,
    pub(crate) boxes: Vec<SimBox>,
    /// Incarnations of boxes: what was under way in an earlier one is lost.
    incarnation: Vec<u64>,
    pub(crate) members: BTreeMap<u32, Member>,
    pub(crate) version: u64,
    pub(crate) lag: Nanos,
    pub(crate) draw: Draw,
    arrivals: Draw,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: HashMap<u64, Ev>,
    next_event: u64,
    faults: Vec<Fault>,
    /// Agreement is looked at from here on.
    pub agree_from: Nanos,
    /// Measure the time that the decision module takes; it changes nothing in the world.
    pub timed: bool,
    decided: std::time::Duration,
}

pub(crate) fn box_name(server: u32) -> String {
    format!("box-{server:05}")
}

fn endpoint(server: u32) -> Endpoint {
    Endpoint { address: server.to_be_bytes(), port: 80 }
}

fn box_of(endpoint: Endpoint) -> u32 {
    u32::from_be_bytes(endpoint.address)
}

fn id_of(name: &str) -> Option<u32> {
    name.strip_prefix("box-")?.parse().ok()
}

fn skewed(now: Nanos, skew: i64) -> Nanos {
    now.saturating_add_signed(skew)
}

impl World {
    /// A world at its beginning, with faults that come at their times.
    pub fn new(setup: Setup, faults: Vec<(Nanos, Fault)>) -> World {
        let mut draw = Draw::new(setup.seed, 1);
        let skew = |draw: &mut Draw| draw.between(0, 2 * setup.skew + 1) as i64 - setup.skew as i64;
        let names: Vec<String> = (0..setup.planners).map(|p| format!("p{p}")).collect();
        let movers = (0..setup.forwarders).map(|f| {
            let skew = skew(&mut draw);
            let name = format!("f{f:04}");
            Mover {
                balancer: balancer(&setup, f),
                follower: Follower::new(skewed(BEGIN, skew), &name, "world", &names),
                name,
                told: AppliedMembers::default(),
                guide: NodePlan::default(),
                closed: Closed::default(),
                requests: HashMap::new(),
                next_id: 0,
                skew,
                watching: false,
                alone_at: BEGIN,
                list_at: 0,
                list_version: 0,
                heartbeat_at: 0,
            }
        });
        let movers: Vec<Mover> = movers.collect();
        let brains = (0..setup.planners).map(|_| Brain {
            planner: None,
            life: 0,
            frozen: false,
            list_at: 0,
            heartbeat_at: 0,
            skew: skew(&mut draw),
            lies: false,
        });
        let brains = brains.collect();
        let link = |_| Link { delay: MS, ..Link::default() };
        let links = (0..setup.planners).map(|_| (0..setup.forwarders).map(link).collect()).collect();
        let boxes: Vec<SimBox> =
            setup.speeds.iter().map(|&s| SimBox::new(s, setup.workers, 0, setup.forwarders)).collect();
        let members = (0..boxes.len() as u32).map(|b| (b, member(b, 0))).collect();
        let mut world = World {
            now: BEGIN,
            tally: Tally::default(),
            movers,
            brains,
            links,
            incarnation: vec![0; boxes.len()],
            boxes,
            members,
            version: 1,
            lag: 5 * MS,
            arrivals: Draw::new(setup.seed, 2),
            draw,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            faults: Vec::new(),
            agree_from: Nanos::MAX,
            timed: false,
            decided: std::time::Duration::ZERO,
            setup,
        };
        world.begin(faults);
        world
    }

    fn begin(&mut self, faults: Vec<(Nanos, Fault)>) {
        for p in 0..self.brains.len() {
            self.start_planner(p);
        }
        for f in 0..self.movers.len() {
            let at = self.now + self.draw.between(0, TICK);
            self.push(at, Ev::MoverTick(f, self.draw.clone().below(4) as u64));
            self.next_client(f);
        }
        for (at, fault) in faults {
            self.faults.push(fault);
            self.push(BEGIN + at, Ev::Fault(self.faults.len() - 1));
        }
        if self.setup.mode == Mode::OneLevel {
            (0..self.movers.len()).for_each(|f| self.watch(f));
        }
    }

    fn push(&mut self, at: Nanos, event: Ev) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    /// Counts requests from now on: what the world's beginning costs is another matter.
    pub fn count_from_now(&mut self) {
        self.tally.classes = Default::default();
        self.tally.windows.clear();
        self.tally.bytes = [0; 2];
        self.tally.since = self.now;
        self.tally.from = (self.now - BEGIN).div_ceil(10 * S) as usize;
        self.decided = std::time::Duration::ZERO;
    }

    /// Goes on until this time after the beginning.
    pub fn run_until(&mut self, end: Nanos) {
        while let Some(&Reverse((at, id))) = self.queue.peek() {
            if at > BEGIN + end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.happen(event);
            }
        }
        self.now = BEGIN + end;
    }

    fn happen(&mut self, event: Ev) {
        match event {
            Ev::Client(f) => self.client(f),
            Ev::Arrive(f, id, attempt) => self.arrive(f, id, attempt),
            Ev::Done(f, id, attempt, incarnation, ending) => {
                let server = self.movers[f].requests.get(&id).map(|r| r.attempts[usize::from(attempt)].0);
                let Some(server) = server else { return };
                let same = self.incarnation[server as usize] == incarnation;
                self.conclude(f, id, attempt, if same { ending } else { AttemptOutcome::Reset });
            }
            Ev::Deadline(f, id) => self.deadline(f, id),
            Ev::Timer(f, token) => self.feed(f, Event::Timer { token }),
            Ev::Part(p, f, epoch, part) => self.part(p, f, epoch, &part),
            Ev::Reply(p, f, epoch, reply) => {
                if self.current(p, f, epoch, 1) {
                    let name = self.movers[f].name.clone();
                    if let Some(planner) = &mut self.brains[p].planner {
                        planner.handle_ack(&name, &reply);
                    }
                }
            }
            Ev::Report(p, f, epoch, report) => self.report(p, f, epoch, &report),
            Ev::MoverTick(f, count) => {
                self.mover_tick(f, count);
                self.push(self.now + TICK, Ev::MoverTick(f, count + 1));
            }
            Ev::BrainTick(p) => {
                self.send_heartbeat_to_brain(p);
                self.pump(p);
                if self.brains[p].planner.is_some() {
                    self.push(self.now + TICK, Ev::BrainTick(p));
                }
            }
            Ev::ListToBrain(p, life, list) => {
                let brain = &mut self.brains[p];
                let now = skewed(self.now, brain.skew);
                if brain.life == life && !brain.frozen {
                    if let Some(planner) = &mut brain.planner {
                        planner.update_membership(now, list.0, true, list.1.clone());
                    }
                    self.pump(p);
                }
            }
            Ev::ListToMover(f, list) => self.list_to_mover(f, &list),
            Ev::HeartbeatToBrain(p, life, version) => self.heartbeat_to_brain(p, life, version),
            Ev::HeartbeatToMover(f, version) => self.heartbeat_to_mover(f, version),
            Ev::Fault(k) => {
                let fault = self.faults[k].clone();
                self.strike(fault);
            }
        }
    }

    fn broken(&mut self, what: String) {
        if self.tally.broken.len() < 20 {
            let at = (self.now - BEGIN) / MS;
            self.tally.broken.push(format!("seed {} at {at} ms: {what}", self.setup.seed));
        }
    }

    // ---- Requests ----

    fn next_client(&mut self, f: usize) {
        let mean = 1e9 * self.setup.forwarders as f64 / self.setup.rate;
        let at = self.now + self.arrivals.exponential(mean) as Nanos;
        self.push(at, Ev::Client(f));
    }

    fn client(&mut self, f: usize) {
        self.next_client(f);
        let class = [0, 0, 0, 0, 0, 1, 1, 1, 2, 2][self.arrivals.below(10)];
        let (_, mean, _, give_up, effect) = CLASSES[class];
        let work = self.arrivals.exponential(mean);
        self.tally.classes[class].asked += 1;
        let window = ((self.now - BEGIN) / (10 * S)) as usize;
        if self.tally.windows.len() <= window {
            self.tally.windows.resize(window + 1, (0, 0));
        }
        self.tally.windows[window].0 += 1;
        if self.setup.mode == Mode::TrueState {
            return self.true_state(f, class, work);
        }
        let mover = &mut self.movers[f];
        let id = mover.next_id;
        mover.next_id += 1;
        let give_up_at = self.now + give_up;
        let life = Life::new(give_up_at, effect);
        mover.requests.insert(id, Req { life, class, work, arrived: self.now, attempts: Vec::new() });
        let request =
            Request { class: class as u8, ..Request::new(id, skewed(give_up_at, self.movers[f].skew)) };
        self.push(give_up_at, Ev::Deadline(f, id));
        self.feed(f, Event::Request(request));
    }

    fn true_state(&mut self, f: usize, class: usize, work: f64) {
        let (now, cold) = (self.now, self.setup.cold);
        let usable =
            self.members.iter().filter(|(_, m)| m.server.phase == Phase::Ready).map(|(b, _)| *b as usize);
        let sound = usable.filter(|&b| self.boxes[b].health == Health::Sound);
        let Some(best) = sound.min_by_key(|&b| self.boxes[b].would_end(now, work, &cold)) else { return };
        if let Taken::Until(end) = self.boxes[best].take(now + NET, work, &cold) {
            self.boxes[best].count(f, true);
            self.served(class, now, end + NET);
            // Counted at once: what such a policy holds is not what is compared.
            self.boxes[best].count(f, false);
        }
    }

    fn served(&mut self, class: usize, arrived: Nanos, at: Nanos) {
        let took = at - arrived;
        let (_, _, aim, give_up, _) = CLASSES[class];
        if arrived < self.tally.since {
            return;
        }
        let count = &mut self.tally.classes[class];
        count.served += u64::from(took <= give_up);
        count.in_aim += u64::from(took <= aim);
        let window = ((arrived - BEGIN) / (10 * S)) as usize;
        if let Some(window) = self.tally.windows.get_mut(window) {
            window.1 += u64::from(took <= aim);
        }
    }

    /// Tells the decision module, and does what it says until nothing more follows.
    fn feed(&mut self, f: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        let begun = self.timed.then(std::time::Instant::now);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            let now = skewed(self.now, self.movers[f].skew);
            self.movers[f].balancer.handle(now, event, &mut actions);
            for action in actions {
                self.act(f, action, &mut events);
            }
        }
        self.decided += begun.map(|at| at.elapsed()).unwrap_or_default();
    }

    fn act(&mut self, f: usize, action: Action, events: &mut VecDeque<Event>) {
        let now = self.now;
        match action {
            Action::Send { request, server, .. } => {
                let server = box_of(server);
                let mover = &mut self.movers[f];
                let Some(req) = mover.requests.get_mut(&request) else {
                    return self.broken(format!("request {request} sent after its end"));
                };
                let fits = req.life.sent(now).and(mover.closed.sent(now, server));
                let attempt = req.attempts.len() as u8;
                req.attempts.push((server, now, true));
                self.boxes[server as usize].count(f, true);
                self.push(now + NET, Ev::Arrive(f, request, attempt));
                if let Err(what) = fits {
                    self.broken(format!("forwarder {f}, request {request}: {what}"));
                }
            }
            Action::Refuse { request, .. } => self.answer(f, request, true),
            Action::Fail { request } => self.answer(f, request, false),
            Action::Cancel { request, attempt } => {
                events.extend(self.end(f, request, attempt, AttemptOutcome::Cancelled));
                self.forget(f, request);
            }
            Action::StartTimer { after, token } => self.push(now.saturating_add(after), Ev::Timer(f, token)),
            _ => {}
        }
    }

    fn answer(&mut self, f: usize, id: u32, refused: bool) {
        let now = self.now;
        let fits = match self.movers[f].requests.get_mut(&id) {
            Some(req) => req.life.answer(now, refused),
            None => Err("an answer after its end".to_owned()),
        };
        if let Err(what) = fits {
            self.broken(format!("forwarder {f}, request {id}: {what}"));
        }
        self.forget(f, id);
    }

    fn forget(&mut self, f: usize, id: u32) {
        let over = |r: &Req| r.life.answered && r.life.out == 0;
        if self.movers[f].requests.get(&id).is_some_and(over) {
            self.movers[f].requests.remove(&id);
        }
    }

    fn arrive(&mut self, f: usize, id: u32, attempt: u8) {
        let Some(req) = self.movers[f].requests.get(&id) else { return };
        let (server, _, open) = req.attempts[usize::from(attempt)];
        let (work, now, cold) = (req.work, self.now, self.setup.cold);
        if !open {
            return;
        }
        let b = &mut self.boxes[server as usize];
        let incarnation = self.incarnation[server as usize];
        let back = |at: Nanos, ending| (at + NET, Ev::Done(f, id, attempt, incarnation, ending));
        let pushed = b.health == Health::Sound && b.pushed(now, work, &cold);
        let answer = match b.health {
            Health::Silent => None,
            Health::Refuses => Some(back(now, AttemptOutcome::ConnectFailed)),
            Health::Fails => Some(back(now + MS, AttemptOutcome::Error)),
            Health::Sound => Some(match b.take(now, work, &cold) {
                Taken::Until(end) => back(end, AttemptOutcome::Ok),
                Taken::Full => back(now, AttemptOutcome::Rejected),
            }),
        };
        if let Some((at, event)) = answer {
            self.push(at, event);
        }
        if pushed {
            self.broken(format!("cold box {server} is pushed over"));
        }
    }

    /// An attempt has ended; what the decision module is told of it.
    fn end(&mut self, f: usize, id: u32, attempt: u8, ending: AttemptOutcome) -> Option<Event> {
        let now = self.now;
        let req = self.movers[f].requests.get_mut(&id)?;
        let (server, sent_at, open) = req.attempts.get_mut(usize::from(attempt))?;
        if !std::mem::replace(open, false) {
            return None;
        }
        let (server, took) = (*server, now - *sent_at);
        req.life.ended(ending);
        let mut first = None;
        if ending == AttemptOutcome::Ok && !req.life.answered {
            first = Some((req.class, req.arrived));
            if let Err(what) = req.life.answer(now, false) {
                self.broken(format!("forwarder {f}, request {id}: {what}"));
            }
        }
        self.boxes[server as usize].count(f, false);
        if let Some((class, arrived)) = first {
            self.served(class, arrived, now);
        }
        let finished = self.movers[f].requests.get(&id).is_some_and(|r| r.life.answered);
        Some(Event::AttemptEnded {
            request: id,
            server: endpoint(server),
            attempt,
            finished,
            took,
            outcome: ending,
            report: None,
        })
    }

    fn conclude(&mut self, f: usize, id: u32, attempt: u8, ending: AttemptOutcome) {
        if let Some(event) = self.end(f, id, attempt, ending) {
            self.feed(f, event);
            self.forget(f, id);
        }
    }

    fn deadline(&mut self, f: usize, id: u32) {
        let Some(req) = self.movers[f].requests.get(&id) else { return };
        for attempt in 0..req.attempts.len() as u8 {
            self.conclude(f, id, attempt, AttemptOutcome::TimedOut);
        }
        if self.movers[f].requests.get(&id).is_some_and(|r| !r.life.answered) {
            self.broken(format!("forwarder {f}, request {id}: no final answer in time"));
        }
        self.movers[f].requests.remove(&id);
    }

    /// One box more than before.
    pub(crate) fn grow(&mut self) {
        self.incarnation.push(0);
    }

    pub(crate) fn crash_box(&mut self, server: u32) {
        self.incarnation[server as usize] += 1;
        self.boxes[server as usize].clear();
    }
}

pub(crate) fn member(server: u32, started_at: Nanos) -> Member {
    Member::warm(&box_name(server)).started(started_at)
}

fn balancer(setup: &Setup, ordinal: usize) -> Balancer {
    let class = |&(_, _, aim, give_up, effect): &(&str, f64, Nanos, Nanos, Idempotency)| Class {
        latency_target: aim,
        client_timeout: give_up,
        value: 1.0,
        late_value: 0.0,
        idempotency: effect,
        dedup_group: DedupGroup::All,
        dedup_window: 2_000 * MS,
        stream: false,
    };
    let settings = Settings {
        classes: CLASSES.iter().map(class).collect(),
        ordinal: ordinal as u32,
        group_size: setup.forwarders as u32,
        initial_capacity: setup.cold.from,
        ramp: setup.cold.ramp,
        overload_multiple: setup.cold.tip,
        overload_window: setup.cold.fall,
        sizes_known: false,
        ..Settings::single_class(300 * MS, 2_000 * MS)
    };
    match Balancer::new(settings, setup.seed ^ (ordinal as u64) << 20) {
        Ok(balancer) => balancer,
        Err(error) => unreachable!("the world's own settings: {error}"),
    }
}
