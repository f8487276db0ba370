//! Pools in a world with clients, boxes with queues and cold starts, and the decision module that runs in service: whether
//! a cold pool is pushed over, and what a shift does to clients.

use super::{class, settings, Asked, Fault, Kind, SHIRES};
use crate::boxes::{Cold, SimBox, Taken};
use crate::draw::Draw;
use crate::{Nanos, MS, S};
use laurelroute_policy::interface::{
    Action, AttemptOutcome, Class, Endpoint, Event, Idempotency, ListKind, Phase, Request, RequestId, Server,
    Settings,
};
use laurelroute_policy::Balancer;
use laurelroute_shift::controller::{ListedServer, ShiftController, EVALUATION_INTERVAL};
use laurelroute_shift::pool::ServerLabels;
use laurelroute_shift::rollout::{Change, Command, Rollout, State, Verb};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// What is played.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct World {
    /// Boxes of the old and the new pool.
    pub boxes: (usize, usize),
    /// Part of the old pool's capacity that is asked for.
    pub load: f64,
    /// The new pool starts cold with the shift.
    pub cold: bool,
    /// What is wrong with it.
    pub fault: Option<Fault>,
    /// The old pool is deleted after this time.
    pub old_gone: Option<Nanos>,
    /// The load doubles after this time.
    pub doubles: Option<Nanos>,
    /// Simulated time.
    pub until: Nanos,
    /// The last rung lasts so long at least.
    pub watch: Nanos,
}

impl World {
    /// Forty old boxes and forty new ones at 60% load.
    pub fn usual() -> World {
        World {
            boxes: (40, 40),
            load: 0.6,
            cold: false,
            fault: None,
            old_gone: None,
            doubles: None,
            until: 120 * S,
            watch: 20 * S,
        }
    }
}

/// What is seen at a look.
#[derive(Clone, Debug)]
pub struct Point {
    /// When.
    pub at: Nanos,
    /// The share of each class.
    pub shares: Vec<f64>,
    /// The least warmth of the new pool's boxes.
    pub warmth: f64,
    /// Requests that came since the look before, that were answered in their aim, and that the fault struck.
    pub came: u32,
    /// See there.
    pub in_aim: u32,
    /// See there.
    pub struck: u32,
    /// The most doubt of any cell.
    pub doubt: f64,
}

/// What became of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The course at each look.
    pub points: Vec<Point>,
    /// Changes of state.
    pub changes: Vec<Change>,
    /// The last state.
    pub state: State,
    /// Cold boxes that were pushed over.
    pub pushed: u32,
    /// Unsafe requests that ran, or may have run, more than once.
    pub twice: u32,
    /// Sends to a box more than 250 ms after the module was told that it is gone.
    pub late_sends: u32,
    /// Requests without a final answer at their time, of all.
    pub lost: u32,
    /// All.
    pub requests: u32,
    /// Sessions that went to the new pool after they had come back from it, on an undo.
    pub moved_twice: u32,
}

const COLD: Cold = Cold { from: 0.3, ramp: 20 * S, tip: 3.0, fall: 500 * MS };
/// Answers of three classes take so long on a usual box.
const WORK: [f64; 3] = [0.010, 0.020, 0.030];
const AIM: Nanos = 400 * MS;
const GIVE_UP: Nanos = 800 * MS;
const WORKERS: usize = 4;
/// Sessions.
const KEYS: u64 = 2000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive,
    Ends { request: RequestId, attempt: u8, server: usize, sent: Nanos, ending: u8 },
    Due(RequestId),
    Timer(u32),
    Look,
    OldGone,
}

struct Open {
    request: Request,
    came: Nanos,
    attempts: u8,
    ran: u32,
}

struct Run<'a> {
    world: &'a World,
    draw: Draw,
    now: Nanos,
    balancer: Balancer,
    follower: ShiftController,
    boxes: Vec<SimBox>,
    servers: Vec<Server>,
    place: BTreeMap<Endpoint, usize>,
    events: BinaryHeap<Reverse<(Nanos, u64, What)>>,
    order: u64,
    open: BTreeMap<RequestId, Open>,
    next: RequestId,
    gone_at: Option<Nanos>,
    out: Outcome,
    since: [u32; 3],
    back: BTreeMap<u64, bool>,
}

fn endpoint(k: usize) -> Endpoint {
    Endpoint { address: [10, 0, (k / 250) as u8, (k % 250) as u8 + 1], port: 80 }
}

fn ending(code: u8) -> AttemptOutcome {
    [AttemptOutcome::Ok, AttemptOutcome::Error, AttemptOutcome::Rejected, AttemptOutcome::TimedOut]
        [usize::from(code)]
}

fn module() -> Settings {
    let class = |effect, worth| Class {
        idempotency: effect,
        value: worth,
        ..Settings::single_class(AIM, GIVE_UP).classes[0].clone()
    };
    Settings {
        classes: vec![
            class(Idempotency::Safe, 5.0),
            class(Idempotency::Safe, 1.0),
            class(Idempotency::Unsafe, 5.0),
        ],
        tenant_quota: vec![1e9; SHIRES],
        initial_capacity: COLD.from,
        ramp: COLD.ramp,
        overload_multiple: COLD.tip,
        overload_window: COLD.fall,
        hedging: true,
        ..Settings::single_class(AIM, GIVE_UP)
    }
}

/// Plays a world from a seed.
pub fn play(world: &World, seed: u64) -> Outcome {
    let mut shift = settings();
    shift.final_step_time = world.watch;
    // The model's own settings are sound.
    let course = Rollout::new(shift).unwrap_or_else(|e| unreachable!("{e}"));
    let tenants: Vec<String> = (0..SHIRES).map(|s| format!("shire-{s}")).collect();
    let settings = module();
    let mut run = Run {
        follower: ShiftController::new(course, &settings, tenants.iter().map(String::as_str)),
        balancer: Balancer::new(settings, seed).unwrap_or_else(|e| unreachable!("{e}")),
        draw: Draw::new(seed, 17),
        world,
        now: 1000 * S,
        boxes: Vec::new(),
        servers: Vec::new(),
        place: BTreeMap::new(),
        events: BinaryHeap::new(),
        order: 0,
        open: BTreeMap::new(),
        next: 0,
        gone_at: None,
        out: Outcome {
            points: Vec::new(),
            changes: Vec::new(),
            state: State::Ready,
            pushed: 0,
            twice: 0,
            late_sends: 0,
            lost: 0,
            requests: 0,
            moved_twice: 0,
        },
        since: [0; 3],
        back: BTreeMap::new(),
    };
    run.begin();
    run.go();
    run.out.state = run.follower.rollout.state().clone();
    run.out
}

impl Run<'_> {
    fn at(&mut self, at: Nanos, what: What) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, what)));
    }

    fn begin(&mut self) {
        let (old, new) = self.world.boxes;
        for k in 0..old + new {
            let cold = k >= old && self.world.cold;
            // The new pool comes a second after the start, when the old one is known.
            let started = if cold { self.now + 5 * S } else { 0 };
            self.boxes.push(SimBox::new(1.0, WORKERS, started, 1));
            let zone = 0;
            self.servers.push(Server { zone, started_at: started, ..Server::warm(endpoint(k)) });
            self.place.insert(endpoint(k), k);
        }
        self.list(ListKind::Full, 0..old);
        let start = self.now;
        self.at(start, What::Arrive);
        self.at(start + EVALUATION_INTERVAL, What::Look);
        if let Some(gone) = self.world.old_gone {
            self.at(start + gone, What::OldGone);
        }
    }

    fn list(&mut self, kind: ListKind, of: std::ops::Range<usize>) {
        let old = self.world.boxes.0;
        let servers: Vec<Server> = of.clone().map(|k| self.servers[k]).collect();
        let names: Vec<String> =
            of.map(|k| if k < old { format!("old-{k}") } else { format!("new-{k}") }).collect();
        let nothing = BTreeMap::new();
        let told = names.iter().zip(&servers).map(|(id, server)| ListedServer {
            labels: ServerLabels {
                id,
                zone: "zone-0",
                kind: "",
                version: "",
                address: None,
                metadata: &nothing,
            },
            server: *server,
        });
        self.follower.update_list(kind == ListKind::Full, told);
        self.feed(Event::List { kind, servers });
        if let Some(split) = self.follower.split_after_list_update() {
            self.feed(Event::Split(split));
        }
    }

    fn go(&mut self) {
        let end = self.now + self.world.until;
        let mut told = false;
        while let Some(Reverse((at, _, what))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let old = self.world.boxes.0;
            if !told && at >= end - self.world.until + 5 * S {
                told = true;
                self.list(ListKind::Changes, old..self.boxes.len());
                let word =
                    Command { verb: Verb::Start, who: "model".into(), why: "play".into(), insist: false };
                if let Ok(look) = self.follower.apply_command(self.now, &word) {
                    self.told(look);
                }
            }
            match what {
                What::Arrive => self.arrive(),
                What::Ends { request, attempt, server, sent, ending: code } => {
                    self.ended(request, attempt, server, sent, ending(code));
                }
                What::Due(id) => self.due(id),
                What::Timer(token) => self.feed(Event::Timer { token }),
                What::Look => self.look(),
                What::OldGone => self.old_gone(),
            }
        }
    }

    fn told(&mut self, look: laurelroute_shift::controller::Evaluation) {
        if let Some(split) = look.split {
            self.feed(Event::Split(split));
        }
        self.out.changes.extend(look.changes);
    }

    fn old_gone(&mut self) {
        let old = self.world.boxes.0;
        self.servers[..old].iter_mut().for_each(|s| s.phase = Phase::Removed);
        self.gone_at = Some(self.now);
        self.list(ListKind::Changes, 0..old);
    }

    fn look(&mut self) {
        let look = self.follower.evaluate(self.now, false);
        self.told(look);
        let course = &self.follower.rollout;
        let old = self.world.boxes.0;
        let warmth = self.boxes[old..].iter().map(|b| b.warmth(self.now, &COLD)).fold(1.0, f64::min);
        let doubt =
            (0..course.analysis.cells.len()).map(|c| course.analysis.evidence_ratio(c)).fold(0.0, f64::max);
        let [came, in_aim, struck] = std::mem::take(&mut self.since);
        let shares = course.shares().to_vec();
        self.out.points.push(Point { at: self.now, shares, warmth, came, in_aim, struck, doubt });
        self.at(self.now + EVALUATION_INTERVAL, What::Look);
    }

    fn arrive(&mut self) {
        let begun = self.events_begun();
        let doubled = self.world.doubles.is_some_and(|at| begun >= at);
        let mean_work = 0.6 * WORK[0] + 0.3 * WORK[1] + 0.1 * WORK[2];
        let most = (self.world.boxes.0 * WORKERS) as f64 / mean_work;
        let rate = most * self.world.load * if doubled { 2.0 } else { 1.0 };
        let gap = self.draw.exponential(1e9 / rate) as Nanos;
        self.at(self.now + gap.max(1), What::Arrive);
        self.next += 1;
        let (id, class) = (self.next, class(&mut self.draw));
        let key = 1 + self.draw.below(KEYS as usize) as u64;
        let tenant = self.draw.below(SHIRES) as u32;
        let give_up_at = self.now + GIVE_UP;
        let mut request = Request { class: class as u8, tenant, key, ..Request::new(id, give_up_at) };
        request.split_position = self.follower.split_position(&request);
        self.follower.request_received(&request);
        self.open.insert(id, Open { request, came: self.now, attempts: 0, ran: 0 });
        self.out.requests += 1;
        self.since[0] += 1;
        self.at(give_up_at, What::Due(id));
        self.feed(Event::Request(request));
    }

    fn events_begun(&self) -> Nanos {
        self.now - 1000 * S
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server, .. } => self.send(request, server),
                Action::Refuse { request, .. } | Action::Fail { request } => drop(self.open.remove(&request)),
                Action::StartTimer { after, token } => self.at(self.now + after, What::Timer(token)),
                _ => {}
            }
        }
    }

    fn send(&mut self, id: RequestId, server: Endpoint) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let (k, number) = (self.place[&server], open.attempts);
        open.attempts += 1;
        let request = open.request;
        self.follower.attempt_sent(&request, server, usize::from(number));
        let (old, now) = (self.world.boxes.0, self.now);
        if self.gone_at.is_some_and(|at| k < old && now > at + 250 * MS) {
            self.out.late_sends += 1;
        }
        if number == 0 {
            self.moved(&request, k >= old);
        }
        let class = usize::from(request.class);
        let work = WORK[class] * (0.3 + self.draw.exponential(0.7));
        let asked = Asked { class, shire: request.tenant as usize, again: number > 0, load: self.world.load };
        let begun = self.events_begun() as f64 / 1e9;
        let fault = self.world.fault.filter(|f| k >= old && begun >= f.after && f.strikes(&asked, k - old));
        let struck = fault.filter(|f| self.draw.chance(f.size));
        self.since[2] += u32::from(struck.is_some());
        let pushed = self.boxes[k].pushed(now, work, &COLD);
        self.out.pushed += u32::from(pushed);
        let taken = self.boxes[k].take(now, work, &COLD);
        let (at, code) = match (taken, struck.map(|f| f.kind)) {
            (Taken::Full, _) => (now + MS, 2),
            (Taken::Until(_), Some(Kind::Hangs)) => (request.deadline, 3),
            (Taken::Until(end), Some(Kind::Fails | Kind::Spoilt)) => (end, 1),
            (Taken::Until(end), Some(Kind::Slow)) => (end + 4 * (end - now), 0),
            (Taken::Until(end), None) => (end, 0),
        };
        if let Some(open) = self.open.get_mut(&id).filter(|_| code != 2) {
            open.ran += 1;
            self.out.twice += u32::from(open.ran > 1 && class == 2);
        }
        let (at, code) = if at >= request.deadline { (request.deadline, 3) } else { (at, code) };
        self.at(at, What::Ends { request: id, attempt: number, server: k, sent: now, ending: code });
    }

    /// After an undo a session stays where it is: it has moved once to the new pool and once back.
    fn moved(&mut self, request: &Request, new: bool) {
        let undone = matches!(self.follower.rollout.state(), State::Undone);
        if undone && new && self.back.get(&request.key) == Some(&true) {
            self.out.moved_twice += 1;
        }
        if undone && !new {
            self.back.insert(request.key, true);
        }
    }

    fn ended(&mut self, id: RequestId, attempt: u8, k: usize, sent: Nanos, ending: AttemptOutcome) {
        let Some(open) = self.open.get(&id) else {
            // Its answer was given: the module is owed the end all the same.
            let server = endpoint(k);
            let took = self.now - sent;
            let event = Event::AttemptEnded {
                request: id,
                server,
                attempt,
                finished: true,
                took,
                outcome: ending,
                report: None,
            };
            return self.feed(event);
        };
        let (request, came, server, took) = (open.request, open.came, endpoint(k), self.now - sent);
        self.follower.attempt_ended(&request, (server, usize::from(attempt)), (sent, took), ending);
        let finished = ending == AttemptOutcome::Ok;
        if finished {
            self.open.remove(&id);
            self.since[1] += u32::from(self.now - came <= AIM);
        }
        self.feed(Event::AttemptEnded {
            request: id,
            server,
            attempt,
            finished,
            took,
            outcome: ending,
            report: None,
        });
    }

    /// Its client waits no longer: every request has had its answer by now.
    fn due(&mut self, id: RequestId) {
        if let Some(open) = self.open.remove(&id) {
            // A time-out ends at this very moment, and the module answers it.
            self.out.lost += u32::from(open.attempts == 0);
            self.feed(Event::ClientDisconnected { request: id });
        }
    }
}
