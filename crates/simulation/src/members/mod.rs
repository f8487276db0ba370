//! Members of a fleet that watch one another, in simulated time: the machines of `laurelroute-membership` on links that
//! lose, delay, double and cut, with processes that pause, die and start again. What they promise is looked at as it happens.

pub mod copies;

use crate::draw::Draw;
use crate::schedule::{Fault, Line, Network};
use crate::{Nanos, MS, S};
use laurelroute_membership::defect::Planted;
use laurelroute_membership::{Incarnation, Machine, MemberId, Output, Roster, View, TICK_INTERVAL};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Bytes of the mark that a carrier adds to each datagram.
const MARK: u64 = 16;
/// Datagrams that a paused process's socket keeps.
const SOCKET: usize = 200;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver { from: MemberId, to: MemberId, bytes: Vec<u8> },
    Tick { seat: MemberId, start: u32 },
}

#[derive(Debug, Default)]
struct Process {
    machine: Option<Machine>,
    starts: u32,
    paused: (Nanos, Nanos),
    waiting: Vec<(MemberId, Vec<u8>)>,
    views: Vec<(Nanos, View)>,
    sent: u64,
    copy: copies::Kept,
}

/// A member that was put out of a view.
#[derive(Clone, Debug, PartialEq)]
pub struct Removal {
    /// When the first one learnt of it.
    pub at: Nanos,
    /// Who.
    pub seat: MemberId,
    /// Its process runs with this life, and has for so long without a pause; `None` where it does not.
    pub ran_for: Option<Nanos>,
    /// Its last pause lasted so long.
    pub pause: Nanos,
}

/// A fleet.
pub struct Fleet {
    /// The present time.
    pub now: Nanos,
    roster: Roster,
    processes: Vec<Process>,
    queue: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    count: u64,
    cut: BTreeSet<(MemberId, MemberId)>,
    network: Network,
    lines: BTreeMap<(MemberId, MemberId), Line>,
    draw: Draw,
    planted: Planted,
    seen: BTreeMap<(u16, u64), View>,
    copies: Option<copies::Copies>,
    /// Those that were put out, each once.
    pub removals: Vec<Removal>,
    /// The largest sum of what all use of one whole.
    pub most: f64,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

impl Fleet {
    /// So many processes, all started within `within`.
    pub fn new(members: usize, seed: u64, within: Nanos) -> Fleet {
        Fleet::planted(members, seed, within, Planted::default())
    }

    /// The same, where all do something wrong.
    pub fn planted(members: usize, seed: u64, within: Nanos, planted: Planted) -> Fleet {
        let names = (0..members).map(|k| format!("node-{k:03}")).collect();
        let roster = Roster::new(names).unwrap_or_else(|e| panic!("{e}"));
        let mut fleet = Fleet {
            now: S,
            processes: (0..members).map(|_| Process::default()).collect(),
            roster,
            queue: BinaryHeap::new(),
            count: 0,
            cut: BTreeSet::new(),
            network: Network::default(),
            lines: BTreeMap::new(),
            draw: Draw::new(seed, 77),
            planted,
            seen: BTreeMap::new(),
            copies: None,
            removals: Vec::new(),
            most: 0.0,
            broken: Vec::new(),
        };
        let starts: Vec<Nanos> = (0..members).map(|_| S + fleet.draw.between(0, within.max(1))).collect();
        for (seat, at) in starts.into_iter().enumerate() {
            fleet.start(seat as MemberId, at);
        }
        fleet
    }

    fn push(&mut self, at: Nanos, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    fn start(&mut self, seat: MemberId, at: Nanos) {
        let mut seed = [0; 16];
        seed.iter_mut().for_each(|b| *b = self.draw.below(256) as u8);
        let mut machine = Machine::new("perth", self.roster.clone(), seat, seed, at);
        machine.plant(self.planted);
        let process = &mut self.processes[usize::from(seat)];
        process.starts += 1;
        process.machine = Some(machine);
        process.waiting.clear();
        process.paused = (0, 0);
        let start = process.starts;
        self.start_copy(seat);
        self.push(at, Event::Tick { seat, start });
    }

    /// Does something to it now.
    pub fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill(seat) => {
                let process = &mut self.processes[usize::from(*seat)];
                process.machine = None;
                process.starts += 1;
                process.copy.stop();
            }
            Fault::Fresh(seat) => {
                if !self.runs(*seat) {
                    self.processes[usize::from(*seat)].copy.lose(self.now);
                    self.start(*seat, self.now);
                }
            }
            Fault::Say(seat, server, out) => self.say(*seat, *server, *out),
            Fault::Start(seat) => {
                if self.processes[usize::from(*seat)].machine.is_none() {
                    self.start(*seat, self.now);
                }
            }
            Fault::Pause(seat, lasts) => {
                let process = &mut self.processes[usize::from(*seat)];
                if process.paused.1 < self.now {
                    process.paused = (self.now, self.now + lasts);
                }
            }
            Fault::Cut(from, to) => {
                let pairs = from.iter().flat_map(|f| to.iter().map(move |t| (*f, *t)));
                self.cut.extend(pairs.filter(|(f, t)| f != t));
            }
            // A process here has neither.
            Fault::NoDisk(..) | Fault::NoDescriptors(..) => {}
            Fault::Mend => self.cut.clear(),
            Fault::Network(network) => self.network = *network,
        }
    }

    /// Lets time go on.
    pub fn run(&mut self, lasts: Nanos) {
        let end = self.now + lasts;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            self.happen(event);
        }
        self.now = end;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick { seat, start } => {
                let now = self.now;
                let process = &mut self.processes[usize::from(seat)];
                if process.starts != start || process.machine.is_none() {
                    return;
                }
                if process.paused.1 > now {
                    let wakes = process.paused.1;
                    return self.push(wakes, Event::Tick { seat, start });
                }
                let waiting = std::mem::take(&mut process.waiting);
                // Which of the two a woken process does first is chance.
                let reads_first = self.draw.chance(0.5);
                if reads_first {
                    waiting.iter().for_each(|(from, bytes)| self.deliver(*from, seat, bytes));
                }
                self.act(seat, |machine| machine.tick(now));
                self.act_copy(seat, |copy| copy.tick(now));
                if !reads_first {
                    waiting.iter().for_each(|(from, bytes)| self.deliver(*from, seat, bytes));
                }
                self.look();
                self.look_after_pause(seat);
                let next = now + TICK_INTERVAL + self.draw.between(0, 2 * MS);
                self.push(next, Event::Tick { seat, start });
            }
            Event::Deliver { from, to, bytes } => {
                let process = &mut self.processes[usize::from(to)];
                if process.machine.is_none() {
                    return;
                }
                if process.paused.1 > self.now {
                    if process.waiting.len() < SOCKET {
                        process.waiting.push((from, bytes));
                    }
                    return;
                }
                self.deliver(from, to, &bytes);
            }
        }
    }

    fn deliver(&mut self, from: MemberId, to: MemberId, bytes: &[u8]) {
        let now = self.now;
        if bytes.first() == Some(&laurelroute_replica::wire::VERSION) {
            return self.act_copy(to, |copy| copy.receive(now, from, bytes));
        }
        self.act(to, |machine| machine.receive(now, from, bytes));
    }

    fn act(&mut self, seat: MemberId, f: impl FnOnce(&mut Machine) -> Vec<Output>) {
        let Some(machine) = &mut self.processes[usize::from(seat)].machine else { return };
        let outputs = f(machine);
        for output in outputs {
            match output {
                Output::Send(to, bytes) => self.send(seat, to, bytes),
                Output::ViewChanged(view) => {
                    self.view_copy(seat, &view);
                    self.saw(seat, view);
                }
                Output::Removed => self.leave_copy(seat),
                Output::Rejected(..) => {}
            }
        }
    }

    fn send(&mut self, from: MemberId, to: MemberId, bytes: Vec<u8>) {
        self.processes[usize::from(from)].sent += bytes.len() as u64 + MARK;
        if bytes.len() > 256 {
            self.broken.push(format!("a datagram of {} bytes", bytes.len()));
        }
        if self.cut.contains(&(from, to)) || self.draw.chance(self.network.loss + self.network.flipped) {
            return;
        }
        let line = self.lines.entry((from, to)).or_default();
        let Some(takes) = line.takes(self.now, bytes.len(), self.network.rate) else { return };
        let copies = if self.draw.chance(self.network.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let (low, high) = self.network.delay;
            let at = self.now + takes + self.draw.between(low, high);
            self.push(at, Event::Deliver { from, to, bytes: bytes.clone() });
        }
    }

    fn saw(&mut self, seat: MemberId, view: View) {
        let key = (view.lineage, view.number);
        let first = self.seen.get(&key).cloned();
        match first {
            Some(other) if other != view => {
                self.broken.push(format!("two views {} at {} ms", view.number, self.now / MS));
            }
            Some(_) => {}
            None => {
                if let Some(before) = self.seen.get(&(view.lineage, view.number - 1)).cloned() {
                    self.note_removals(&before, &view);
                }
                self.seen.insert(key, view.clone());
            }
        }
        let views = &mut self.processes[usize::from(seat)].views;
        if views.last().is_some_and(|(_, v)| v.lineage == view.lineage && v.number >= view.number) {
            self.broken.push(format!("view {} again or back at seat {seat}", view.number));
        }
        views.push((self.now, view));
    }

    fn note_removals(&mut self, before: &View, after: &View) {
        let gone = before.members.iter().filter(|(seat, life)| after.members.get(seat) != Some(life));
        for (seat, life) in gone {
            let process = &self.processes[usize::from(*seat)];
            let runs = process.machine.as_ref().is_some_and(|m| m.incarnation() == *life);
            self.removals.push(Removal {
                at: self.now,
                seat: *seat,
                ran_for: runs.then(|| self.now.saturating_sub(process.paused.1)),
                pause: process.paused.1 - process.paused.0,
            });
        }
    }

    fn running(&self) -> impl Iterator<Item = &Machine> {
        self.processes.iter().filter_map(|p| p.machine.as_ref())
    }

    /// Who has just woken accuses nobody that runs.
    fn look_after_pause(&mut self, seat: MemberId) {
        let process = &self.processes[usize::from(seat)];
        let (from, to) = process.paused;
        let woken = to > from + S && self.now < to + 500 * MS;
        let Some(machine) = process.machine.as_ref().filter(|_| woken) else { return };
        let runs = |s: &&MemberId| {
            let other = &self.processes[usize::from(**s)];
            other.machine.is_some() && other.paused.1 < from
        };
        if let Some(accused) = machine.suspects().iter().find(runs) {
            self.broken.push(format!("seat {seat}, just woken, accuses {accused} at {} ms", self.now / MS));
        }
    }

    /// What is true at every moment.
    fn look(&mut self) {
        let sum: f64 = self.running().map(|m| m.share(self.now)).sum();
        self.most = self.most.max(sum);
        if sum > 1.0 + 1e-9 && self.broken.len() < 10 {
            self.broken.push(format!("{sum:.3} of one whole is used at {} ms", self.now / MS));
        }
    }

    /// The sum of what all running members may use of one whole.
    pub fn used(&self) -> f64 {
        self.running().map(|m| m.share(self.now)).sum()
    }

    /// All that run have one view, and it has just them.
    pub fn agreed(&self) -> bool {
        let running: BTreeMap<MemberId, Incarnation> =
            self.running().map(|m| (m.id(), m.incarnation())).collect();
        self.running().all(|m| m.view().is_some_and(|v| v.members == running))
    }

    /// Lets time go on until all agree and have their part; how long that took, or `None` if it was not within that time.
    pub fn settle(&mut self, within: Nanos) -> Option<Nanos> {
        let begun = self.now;
        while self.now - begun < within {
            self.run(50 * MS);
            if self.agreed() {
                return Some(self.now - begun);
            }
        }
        None
    }

    /// The seats.
    pub fn seats(&self) -> Vec<MemberId> {
        self.roster.ids().collect()
    }

    /// Those whose process runs.
    pub fn runs(&self, seat: MemberId) -> bool {
        self.processes[usize::from(seat)].machine.is_some()
    }

    /// A member's machine, where it runs.
    pub fn machine(&self, seat: MemberId) -> Option<&Machine> {
        self.processes[usize::from(seat)].machine.as_ref()
    }

    /// The views that a seat has seen, with when.
    pub fn views(&self, seat: MemberId) -> &[(Nanos, View)] {
        &self.processes[usize::from(seat)].views
    }

    /// Bytes that each one has sent so far.
    pub fn sent(&self) -> Vec<u64> {
        self.processes.iter().map(|p| p.sent).collect()
    }
}

/// A member may be put out while its process runs where it was paused for longer than this.
pub const LONGEST_PAUSE: Nanos = 2 * S;
/// All agree so soon after the last mend.
pub const AGREE: Nanos = 5 * S;

/// What became of a schedule.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// How long after the last mend all agreed.
    pub agreed: Nanos,
    /// The largest sum of what all used of one whole.
    pub most: f64,
}

/// Plays a schedule on a fleet that has just been founded.
pub fn play(members: usize, seed: u64, faults: &[(Nanos, Fault)], planted: Planted) -> Verdict {
    let mut fleet = Fleet::planted(members, seed, S, planted);
    let mut broken = Vec::new();
    if fleet.settle(30 * S).is_none() {
        broken.push("no first view of all".to_owned());
    }
    let begun = fleet.now;
    let mut cut = false;
    for (at, fault) in faults {
        fleet.run((begun + at).saturating_sub(fleet.now));
        cut |= matches!(fault, Fault::Cut(..));
        fleet.apply(fault);
    }
    let agreed = fleet.settle(12 * S).unwrap_or(12 * S);
    // A cut may put out those that run; without one only a kill or a long pause may.
    let wrongful = |r: &&Removal| !cut && r.ran_for.is_some() && r.pause <= LONGEST_PAUSE;
    broken.extend(fleet.removals.iter().filter(wrongful).map(|r| format!("put out though it ran: {r:?}")));
    if agreed > AGREE {
        broken.push(format!("agreed only {} ms after the last mend", agreed / MS));
    }
    broken.append(&mut fleet.broken);
    Verdict { broken, agreed, most: fleet.most }
}
