//! A bed of several processes of the program that reach one another only through relays, with a client load on each and
//! faults from a schedule: on each direction of each link, and on each process.

pub mod check;
pub mod copies;
pub mod relay;

use crate::boxes::{ran, too_many_attempts, Act, StandIn};
use crate::discovery::{Discovery, Entry};
use crate::load::{Load, Tally};
use crate::process::processor;
use crate::program::{Lost, Program, Wishes};
use crate::wire::{Class, Wire};
use crate::{fresh, those, until};
use check::{Gap, Histories};
use laurelroute_simulation::schedule::{Fault, Schedule};
use laurelroute_simulation::Nanos;
use laurelroute_thrift::codec::Form;
use relay::Relays;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A process that was woken looks at its clock within this.
const WAKES: Duration = Duration::from_millis(150);
/// A member may be put out while its process runs where it was stopped for longer than this.
const LONGEST_PAUSE: u64 = 2_000_000;
/// All agree so soon after the last mend.
pub const AGREE: Duration = Duration::from_secs(5);
/// The installation's key on the bed.
const KEY: &str = "6c617572656c726f7574652d6f6e2d61";

/// What a bed is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Processes of the program.
    pub members: usize,
    /// Boxes behind them.
    pub boxes: usize,
    /// Clients of each process, half of them with unsafe requests.
    pub clients: usize,
    /// A defect that all processes have, for programs that can have one.
    pub planted: Option<String>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup { members: 12, boxes: 4, clients: 2, planted: None }
    }
}

/// A fleet of real processes.
pub struct Mesh {
    /// The relays between them.
    pub relays: Relays,
    members: Vec<Member>,
    boxes: Vec<StandIn>,
    gaps: Vec<Gap>,
    /// When each seat started without what it had kept.
    fresh: Vec<(u64, u64)>,
    calls: Vec<thread::JoinHandle<copies::Answered>>,
    begun: (Instant, u64),
    loads: Vec<[Load; 2]>,
    /// Stretches of time in which something was cut.
    cuts: Vec<(u64, u64)>,
    wants: Vec<(usize, Want, Instant, Lost)>,
    folder: PathBuf,
    _discovery: Discovery,
}

/// What a process may be without for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Want {
    Disk,
    Descriptors,
}

struct Member {
    program: Program,
    /// Those before, whose addresses and files it has.
    past: Vec<Program>,
    history: PathBuf,
    runs: bool,
    /// It was killed at some time: what it held then is lost with it.
    killed: bool,
    wakes: Option<Instant>,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// From the last mend until all agreed.
    pub agreed: Option<Duration>,
    /// The largest sum of what all may use of one whole.
    pub most: f64,
    /// Views that there were.
    pub views: usize,
    /// Requests that were served, refused and failed.
    pub served: (usize, usize, usize),
    /// Requests without an answer at processes that were never killed.
    pub lost: usize,
    /// Datagrams that the relays carried.
    pub carried: u64,
    /// Staff's words that were said, and those that were answered as kept elsewhere as well.
    pub words: (usize, usize),
    /// From the moment at which all agreed on the members until all copies were equal.
    pub equal: Option<Duration>,
}

fn micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as u64)
}

/// An address of loopback that nobody else on this machine has: a host number of this process's own.
fn own_address(host: u32) -> SocketAddr {
    let process = std::process::id();
    let ip =
        Ipv4Addr::new(127, 64 + (process % 128) as u8, (process / 128 % 256) as u8, (1 + host % 250) as u8);
    let socket = UdpSocket::bind((ip, 0)).expect("loopback has this address");
    socket.local_addr().expect("an address")
}

impl Mesh {
    /// Starts the processes, and waits until all are of one view.
    pub fn start(program: &Path, setup: &Setup, seed: u64) -> Mesh {
        let form = Form::named("framed-binary").expect("a form");
        let plan = Arc::default();
        let boxes: Vec<_> =
            (0..setup.boxes).map(|k| StandIn::start(&format!("box-{k}"), form, Arc::clone(&plan))).collect();
        boxes.iter().for_each(|b| b.usually(Act::After(Duration::from_millis(20))));
        let discovery = Discovery::start(&boxes.iter().map(Entry::of).collect::<Vec<_>>());
        let folder =
            std::env::temp_dir().join(format!("laurelroute-mesh-{}-{}", std::process::id(), fresh()));
        std::fs::create_dir(&folder).expect("a folder can be made");
        let listens: Vec<SocketAddr> = (0..setup.members).map(|_| own_address(fresh())).collect();
        let relays = Relays::start(&listens, seed);
        let members = (0..setup.members).map(|k| {
            let history = folder.join(format!("{k}.history"));
            let wishes = Wishes {
                managed: true,
                peers: true,
                cold: (1.0, 1_000),
                site: site(&relays, &listens, k, &history),
                environment: setup
                    .planted
                    .iter()
                    .map(|d| ("LAURELROUTE_PLANTED".to_owned(), d.clone()))
                    .collect(),
                ..Wishes::default()
            };
            let program = Program::start(program, discovery.address, form, wishes);
            Member { program, past: Vec::new(), history, runs: true, killed: false, wakes: None }
        });
        let members: Vec<Member> = members.collect();
        let load = |class, member: &Member| {
            Load::start(Wire::Http, member.program.http, setup.clients.div_ceil(2), class, 50)
        };
        let loads = members.iter().map(|m| [load(Class::Read, m), load(Class::Write, m)]).collect();
        let mesh = Mesh {
            relays,
            members,
            boxes,
            gaps: Vec::new(),
            fresh: Vec::new(),
            calls: Vec::new(),
            begun: (Instant::now(), micros()),
            loads,
            cuts: Vec::new(),
            wants: Vec::new(),
            folder,
            _discovery: discovery,
        };
        until("all are of one view", || mesh.agreed());
        mesh
    }

    /// The servers.
    pub fn boxes(&self) -> &[StandIn] {
        &self.boxes
    }

    /// A process.
    pub fn process(&self, k: usize) -> &Program {
        &self.members[k].program
    }

    /// Time that each of them takes of a processor in a second, while nothing is done to them.
    pub fn processor(&mut self, lasts: Duration) -> Vec<Duration> {
        let taken = |mesh: &Mesh| -> Vec<Duration> {
            mesh.members.iter().map(|m| processor(m.program.pid())).collect()
        };
        let (before, begun) = (taken(self), Instant::now());
        self.run(lasts);
        let took = begun.elapsed().as_secs_f64();
        taken(self).into_iter().zip(before).map(|(now, then)| (now - then).div_f64(took)).collect()
    }

    /// What all have written so far.
    pub fn histories(&self) -> Histories {
        Histories::read(self.members.iter().map(|m| m.history.as_path()))
    }

    /// All that run have one view, and it has just them.
    pub fn agreed(&self) -> bool {
        let running: Vec<u64> = (0u64..).zip(&self.members).filter(|(_, m)| m.runs).map(|(k, _)| k).collect();
        self.histories().agreed(&running)
    }

    /// Does something to it now.
    pub fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill(seat) => self.kill(usize::from(*seat)),
            Fault::Start(seat) => self.restart(usize::from(*seat), false),
            Fault::Fresh(seat) => self.restart(usize::from(*seat), true),
            Fault::Say(seat, server, out) => self.say(usize::from(*seat), usize::from(*server), *out),
            Fault::Pause(seat, lasts) => self.pause(usize::from(*seat), *lasts),
            Fault::NoDisk(seat, lasts) => self.want(usize::from(*seat), Want::Disk, *lasts),
            Fault::NoDescriptors(seat, lasts) => self.want(usize::from(*seat), Want::Descriptors, *lasts),
            Fault::Cut(from, to) => {
                self.cuts.push((micros(), u64::MAX));
                self.relays.cut(from, to);
            }
            Fault::Mend => {
                self.cuts.iter_mut().for_each(|(_, to)| *to = (*to).min(micros()));
                self.relays.mend();
            }
            Fault::Network(network) => self.relays.network(*network),
        }
    }

    fn kill(&mut self, k: usize) {
        // Its folder is there for the next one.
        self.wants.retain(|(seat, ..)| *seat != k);
        let member = &mut self.members[k];
        if !member.runs {
            return;
        }
        let from = micros();
        member.program.signal("KILL");
        until("a killed process ends", || !member.program.running());
        (member.runs, member.killed, member.wakes) = (false, true, None);
        // What it wrote last it wrote before that.
        let from = from.max(
            self.histories().shares.iter().filter(|s| s.1 .0 == k as u64).map(|s| s.0 + 1).max().unwrap_or(0),
        );
        self.gaps.push(Gap { seat: k as u64, from, to: u64::MAX, killed: true });
    }

    fn restart(&mut self, k: usize, fresh: bool) {
        let member = &mut self.members[k];
        if member.runs {
            return;
        }
        if fresh {
            self.fresh.push((k as u64, micros()));
            let program = member.program.stranger();
            member.past.push(std::mem::replace(&mut member.program, program));
        } else {
            member.program = member.program.successor();
        }
        member.runs = true;
        for gap in self.gaps.iter_mut().filter(|g| g.seat == k as u64) {
            gap.to = gap.to.min(micros());
        }
    }

    fn pause(&mut self, k: usize, lasts: Nanos) {
        let member = &mut self.members[k];
        if !member.runs || member.wakes.is_some() {
            return;
        }
        member.program.signal("STOP");
        let lasts = Duration::from_nanos(lasts);
        member.wakes = Some(Instant::now() + lasts);
        let from = micros();
        // What it wrote before it looked at its clock again does not count.
        let to = from + (lasts + WAKES).as_micros() as u64;
        self.gaps.push(Gap { seat: k as u64, from, to, killed: false });
    }

    /// Something that a process needs is not there for so long.
    fn want(&mut self, k: usize, what: Want, lasts: Nanos) {
        let program = &self.members[k].program;
        let mended = match what {
            _ if !self.members[k].runs || self.wants.iter().any(|(seat, w, ..)| (*seat, *w) == (k, what)) => {
                return
            }
            Want::Disk => program.lose_disk(),
            Want::Descriptors => program.lose_descriptors(),
        };
        self.wants.push((k, what, Instant::now() + Duration::from_nanos(lasts), mended));
    }

    /// Staff take a box out of use at a process, or put it back; where it does not run there is nobody to tell.
    fn say(&mut self, k: usize, server: usize, out: bool) {
        let member = &self.members[k];
        if !member.runs || member.wakes.is_some() {
            return;
        }
        let host = self.boxes[server % self.boxes.len()].name.clone();
        let management = member.program.management;
        self.calls.push(thread::spawn(move || copies::call(management, k as u64, host, out)));
    }

    /// Lets time go on; those whose pause is over go on with it.
    pub fn run(&mut self, lasts: Duration) {
        let end = Instant::now() + lasts;
        loop {
            let now = Instant::now();
            for member in self.members.iter_mut().filter(|m| m.wakes.is_some_and(|at| at <= now)) {
                member.wakes = None;
                member.program.signal("CONT");
            }
            // Dropped, it is there again.
            self.wants.retain(|(.., until, _)| *until > now);
            if now >= end {
                return;
            }
            thread::sleep((end - now).min(Duration::from_millis(10)));
        }
    }

    /// Plays a schedule to its end.
    pub fn play(&mut self, schedule: &Schedule) {
        let begun = Instant::now();
        for (at, fault) in schedule {
            self.run(Duration::from_nanos(*at).saturating_sub(begun.elapsed()));
            self.apply(fault);
        }
    }

    /// From now on until all agree, where they do within twice the time that they have.
    pub fn settle(&mut self) -> Option<Duration> {
        let begun = Instant::now();
        while begun.elapsed() < 2 * AGREE {
            if self.agreed() && self.members.iter().all(|m| m.wakes.is_none()) {
                return Some(begun.elapsed());
            }
            self.run(Duration::from_millis(50));
        }
        None
    }

    /// From now on until all copies are equal, where they are within twice the time that they have.
    pub fn even_out(&mut self) -> Option<Duration> {
        let begun = Instant::now();
        while begun.elapsed() < 2 * copies::EQUAL {
            let all = self.histories();
            if all.copies.equal(&all.lives) {
                return Some(begun.elapsed());
            }
            self.run(Duration::from_millis(50));
        }
        None
    }

    /// Ends the load and looks at what became of all.
    pub fn finish(mut self, agreed: Option<Duration>) -> Verdict {
        // What the last to come back may use is what it will.
        self.run(Duration::from_millis(300));
        let tallies: Vec<[Tally; 2]> =
            std::mem::take(&mut self.loads).into_iter().map(|l| l.map(Load::finish)).collect();
        let all = self.histories();
        let ran = ran(&self.boxes);
        let answered: Vec<_> =
            std::mem::take(&mut self.calls).into_iter().filter_map(|c| c.join().ok()).collect();
        let mut verdict = Verdict { agreed, carried: self.relays.carried(), ..Verdict::default() };
        let mut twice = 0;
        for (member, [reads, writes]) in self.members.iter().zip(&tallies) {
            twice += writes.twice(&ran);
            for tally in [reads, writes] {
                verdict.served.0 += tally.served.len();
                verdict.served.1 += tally.refused;
                verdict.served.2 += tally.failed;
                if !member.killed {
                    verdict.lost += tally.lost.len() + tally.mixed.len();
                }
            }
        }
        verdict.most = all.most(&self.gaps);
        verdict.views = all.views.iter().map(|v| v.key).collect::<std::collections::BTreeSet<_>>().len();
        verdict.broken = all.sequences();
        verdict.broken.extend(self.wrongful(&all));
        // Also under cuts: who was stopped for so long believes no silence at first.
        let long: Vec<Gap> =
            self.gaps.iter().copied().filter(|g| g.killed || g.to - g.from > 1_000_000).collect();
        verdict.broken.extend(all.rash(&long, 2 * WAKES.as_micros() as u64));
        verdict.broken.extend(self.used_though_out(&all, &tallies));
        verdict.words = (answered.len(), answered.iter().filter(|a| a.kept).count());
        let kills = self.gaps.iter().filter(|g| g.killed).map(|g| (g.seat, g.from)).collect();
        let stops = self.gaps.iter().filter(|g| !g.killed).map(|g| (g.seat, g.from, g.to)).collect();
        let losses = copies::Losses { fresh: self.fresh.clone(), kills, stops };
        verdict.broken.extend(all.copies.check(&all.lives, &losses, &answered));
        let late = agreed.is_none_or(|took| took > AGREE);
        let at_once = too_many_attempts(&self.boxes, Wishes::default().attempts_at_once());
        let wrong = [
            (late, format!("agreed after {agreed:?}, where {AGREE:?} are owed")),
            (verdict.most > 1.0 + 1e-6, format!("{:.4} of one whole is used at once", verdict.most)),
            (twice > 0, format!("{twice} unsafe requests ran twice")),
            (at_once > 0, format!("{at_once} attempts beside others of their requests")),
            (verdict.lost > 0, format!("{} requests lost at processes that ran on", verdict.lost)),
            (verdict.served.0 == 0, "nothing was served".to_owned()),
            (all.odd > 0, format!("{} lines of histories cannot be read", all.odd)),
        ];
        verdict.broken.extend(those(wrong));
        verdict
    }

    /// Boxes that a process sent something new to, a quarter of a second after it knew that they were out.
    fn used_though_out(&self, all: &Histories, tallies: &[[Tally; 2]]) -> Vec<String> {
        let (begun, then) = self.begun;
        let by: std::collections::HashMap<&String, u64> = (0u64..)
            .zip(tallies)
            .flat_map(|(k, tallies)| tallies.iter().flat_map(move |t| t.sent().map(move |id| (id, k))))
            .collect();
        let came = self.boxes.iter().flat_map(|b| b.came().into_iter().map(move |c| (b.name.as_str(), c)));
        let mut broken = Vec::new();
        for (name, came) in came {
            let Some(seat) = came.id.as_ref().and_then(|id| by.get(id)) else { continue };
            let at = then + came.at.saturating_duration_since(begun).as_micros() as u64;
            // A process that was stopped may have had the request under way.
            let stopped = self
                .gaps
                .iter()
                .any(|g| g.seat == *seat && g.from <= at && at < g.to.saturating_add(250_000));
            if !stopped
                && all.copies.out_for(*seat, name, at).is_some_and(|since| since + 250_000 < at)
                && broken.len() < 5
            {
                broken.push(format!("seat {seat} uses {name} at {at}, out there for longer than 250 ms"));
            }
        }
        broken
    }

    /// Members that were put out though they ran and could be reached; under cuts, and until all agree after them, nobody can
    /// be told.
    fn wrongful(&self, all: &Histories) -> Vec<String> {
        let after = AGREE.as_micros() as u64;
        let excused = |at: u64, seat: u64| {
            let cut = self.cuts.iter().any(|(from, to)| *from <= at && at < to.saturating_add(after));
            let longest = LONGEST_PAUSE + WAKES.as_micros() as u64;
            let long = |g: &&Gap| g.seat == seat && g.from <= at && g.to.saturating_sub(g.from) > longest;
            let dead = |g: &&Gap| g.seat == seat && g.from <= at && self.members[seat as usize].killed;
            cut || self.gaps.iter().any(|g| long(&g) || dead(&g))
        };
        let removals = all.removals().into_iter().filter(|(at, (seat, _))| !excused(*at, *seat));
        removals.map(|(_, (seat, _))| format!("seat {seat} was put out though it ran")).collect()
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        // A stopped process cannot be asked for anything before it goes on.
        self.members.iter().filter(|m| m.wakes.is_some()).for_each(|m| m.program.signal("CONT"));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn site(relays: &Relays, listens: &[SocketAddr], me: usize, history: &Path) -> String {
    let members: String = (0..listens.len())
        .map(|k| {
            let address = if k == me { listens[me] } else { relays.address(me, k) };
            format!("[[fleet.member]]\nname = \"node-{k:03}\"\naddress = \"{address}\"\n")
        })
        .collect();
    format!(
        "[fleet]\nsite = \"bed\"\nname = \"node-{me:03}\"\nlisten = \"{}\"\nkey = \"{KEY}\"\nhistory = \"{}\"\n{members}",
        listens[me],
        history.display()
    )
}

/// Plays a schedule on a fleet that has just been founded.
pub fn play(program: &Path, setup: &Setup, seed: u64, schedule: &Schedule) -> Verdict {
    let mut mesh = Mesh::start(program, setup, seed);
    mesh.play(schedule);
    let agreed = mesh.settle();
    let equal = mesh.even_out();
    let mut verdict = mesh.finish(agreed);
    verdict.equal = equal;
    if equal.is_none_or(|took| took > copies::EQUAL) {
        verdict
            .broken
            .push(format!("copies equal {equal:?} after all agreed, where {:?} are owed", copies::EQUAL));
    }
    verdict
}
