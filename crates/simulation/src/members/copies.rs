//! What the members of a simulated fleet know alike: the machines of `laurelroute-replica` on the same links, staff's words, and
//! whether the copies keep what is promised. Each word is noted down as it is said, with what its speaker knew then; what the
//! copies come to is held against that record and not against what they say of themselves.

use super::{Fleet, AGREE};
use crate::schedule::Fault;
use crate::{Nanos, MS, S};
use laurelroute_membership::defect::Planted as MemberPlanted;
use laurelroute_membership::{Incarnation, MemberId, View};
use laurelroute_replica::defect::Planted;
use laurelroute_replica::{disk, Bans, Dot, Machine, Output};
use std::collections::BTreeMap;

/// All copies are equal so soon after all agree on the members.
pub const EQUAL: Nanos = 3 * S;
/// Who says that it has caught up has what all others have had for so long: a batch that is lost a few times holds up what
/// is newer.
const UNDER_WAY: Nanos = 3 * S;
/// What a member's wall clock may be off by, either way.
const SKEW: i64 = 5 * S as i64;

/// What one process has of it, and what is on its disk.
#[derive(Debug, Default)]
pub struct Kept {
    machine: Option<Machine>,
    disk: Vec<u8>,
    /// When its disk was last lost.
    lost: Option<Nanos>,
}

impl Kept {
    /// The process ends.
    pub fn stop(&mut self) {
        self.machine = None;
    }

    /// Its disk is new.
    pub fn lose(&mut self, now: Nanos) {
        self.lost = Some(now);
        self.disk.clear();
    }
}

/// A word as it was said.
#[derive(Clone, Debug)]
struct Said {
    at: Nanos,
    host: String,
    dot: Dot,
    out: bool,
    /// What its speaker knew of the server.
    knew: Bans,
    /// When all that ran had it.
    everywhere: Option<Nanos>,
    /// Since when each run of a process has it.
    had: BTreeMap<(MemberId, u32), Nanos>,
}

/// What is said, and how the clocks go.
#[derive(Debug)]
pub struct Copies {
    planted: Planted,
    skews: Vec<i64>,
    said: Vec<Said>,
    /// Those that said that they had caught up, and lacked a word that all others had.
    early: Vec<String>,
    lost: usize,
}

fn host(server: u16) -> String {
    format!("box-{server}")
}

impl Fleet {
    /// Has all members keep copies from their next start on; to be called before time goes on.
    pub fn with_copies(&mut self, planted: Planted) {
        let skews =
            (0..self.processes.len()).map(|_| self.draw.between(0, 2 * SKEW as u64) as i64 - SKEW).collect();
        self.copies = Some(Copies { planted, skews, said: Vec::new(), early: Vec::new(), lost: 0 });
        for seat in self.seats() {
            self.start_copy(seat);
        }
    }

    pub(super) fn start_copy(&mut self, seat: MemberId) {
        let Some(copies) = &self.copies else { return };
        let process = &mut self.processes[usize::from(seat)];
        let Some(life) = process.machine.as_ref().map(|m| m.incarnation()) else { return };
        let mut machine = Machine::new("perth", &self.roster, seat, life);
        machine.plant(copies.planted);
        // A disk that was new holds nothing, which is no file.
        machine.restore(disk::decode(&process.copy.disk).unwrap_or_default());
        process.copy.machine = Some(machine);
    }

    pub(super) fn view_copy(&mut self, seat: MemberId, view: &View) {
        let Some(life) = self.processes[usize::from(seat)].machine.as_ref().map(|m| m.incarnation()) else {
            return;
        };
        let now = self.now;
        self.act_copy(seat, |copy| copy.apply_view(now, view, life));
    }

    pub(super) fn leave_copy(&mut self, seat: MemberId) {
        if let Some(machine) = &mut self.processes[usize::from(seat)].copy.machine {
            machine.leave();
        }
    }

    pub(super) fn act_copy(&mut self, seat: MemberId, f: impl FnOnce(&mut Machine) -> Vec<Output>) {
        let Some(machine) = &mut self.processes[usize::from(seat)].copy.machine else { return };
        let outputs = f(machine);
        let mut changed = false;
        for output in outputs {
            match output {
                Output::Send(to, bytes) => self.send(seat, to, bytes),
                Output::Changed(_) => changed = true,
                Output::CaughtUp => self.look_at_caught_up(seat),
                // Nobody here has servers to learn of.
                Output::SnapshotRequested(..) | Output::SnapshotReceived(..) => {}
                Output::UnbanOverridden(_) => self.copies.iter_mut().for_each(|c| c.lost += 1),
                Output::HolderReply(..) | Output::VersionMismatch(..) | Output::StoreFull(_) => {}
            }
        }
        let copy = &mut self.processes[usize::from(seat)].copy;
        if let Some(machine) = copy.machine.as_ref().filter(|_| changed) {
            copy.disk = disk::encode(machine.store());
            self.look_at_words();
        }
    }

    pub(super) fn say(&mut self, seat: MemberId, server: u16, out: bool) {
        let (now, paused) = (self.now, self.processes[usize::from(seat)].paused.1);
        let Some(copies) = &self.copies else { return };
        let at = now.saturating_add_signed(copies.skews[usize::from(seat)]);
        let host = host(server);
        let Some(machine) = self.processes[usize::from(seat)].copy.machine.as_mut().filter(|_| paused <= now)
        else {
            return;
        };
        let knew = machine.bans(&host).cloned().unwrap_or_default();
        // Who puts back what is not out says nothing, as at a node.
        if knew.is_banned() == out {
            return;
        }
        let Ok(outputs) = machine.set_ban(now, &host, out, at) else { return };
        let Some(dot) = machine.bans(&host).and_then(|b| b.changes().first()).map(|w| w.dot) else { return };
        if let Some(copies) = &mut self.copies {
            // The disk has it before anybody is answered.
            copies.said.push(Said { at: now, host, dot, out, knew, everywhere: None, had: BTreeMap::new() });
        }
        self.act_copy(seat, |_| outputs);
    }

    fn knows(&self, seat: MemberId, said: &Said) -> bool {
        let machine = self.processes[usize::from(seat)].copy.machine.as_ref();
        machine.and_then(|m| m.bans(&said.host)).is_some_and(|b| b.has_seen(said.dot))
    }

    fn look_at_words(&mut self) {
        let Some(mut copies) = self.copies.take() else { return };
        for said in &mut copies.said {
            let who: Vec<MemberId> = self.seats().into_iter().filter(|s| self.knows(*s, said)).collect();
            for seat in who {
                let run = (seat, self.processes[usize::from(seat)].starts);
                said.had.entry(run).or_insert(self.now);
            }
            if said.everywhere.is_some() {
                continue;
            }
            let mut running = self.seats().into_iter().filter(|s| self.runs(*s));
            if running.all(|s| self.knows(s, said)) {
                said.everywhere = Some(self.now);
            }
        }
        self.copies = Some(copies);
    }

    /// What all others of its view know, it has to know now.
    fn look_at_caught_up(&mut self, seat: MemberId) {
        let Some(mut copies) = self.copies.take() else { return };
        let members: Vec<(MemberId, Incarnation)> = self
            .machine(seat)
            .and_then(|m| m.view())
            .map_or_else(Vec::new, |v| v.members.iter().map(|(s, l)| (*s, *l)).collect());
        // Who has just woken has yet to read what came meanwhile.
        let ran = self.processes[usize::from(seat)].paused.1 + UNDER_WAY <= self.now;
        let there = |(s, l): &&(MemberId, Incarnation)| {
            *s != seat && self.machine(*s).is_some_and(|m| m.incarnation() == *l)
        };
        for said in &copies.said {
            let others: Vec<MemberId> = members.iter().filter(there).map(|(s, _)| *s).collect();
            let run = |seat: MemberId| (seat, self.processes[usize::from(seat)].starts);
            let had = |s: &MemberId| said.had.get(&run(*s)).is_some_and(|at| self.now - at >= UNDER_WAY);
            let all = ran && !others.is_empty() && others.iter().all(had);
            if all && !self.knows(seat, said) {
                copies
                    .early
                    .push(format!("seat {seat} says that it has caught up, and lacks {:?}", said.dot));
            }
        }
        self.copies = Some(copies);
    }

    /// All that run have equal copies.
    pub fn equal(&self) -> bool {
        let running = self.processes.iter().filter_map(|p| p.copy.machine.as_ref());
        let mut copies = running.map(|m| disk::encode(m.store()));
        let first = copies.next();
        copies.all(|copy| Some(copy) == first)
    }

    /// For each word, how long it took until all that ran had it.
    pub fn spread(&self) -> Vec<Option<Nanos>> {
        let said = self.copies.iter().flat_map(|c| &c.said);
        said.map(|s| s.everywhere.map(|at| at - s.at)).collect()
    }

    /// Words to put a server back that were told of as lost to a ban.
    pub fn lost(&self) -> usize {
        self.copies.as_ref().map_or(0, |c| c.lost)
    }

    /// What the copies have come to, against what was said.
    fn look_at_the_end(&self) -> Vec<String> {
        let Some(copies) = &self.copies else { return Vec::new() };
        let mut broken = copies.early.clone();
        let Some(seat) = self.seats().into_iter().find(|s| self.runs(*s)) else { return broken };
        // Somebody has had it and has not lost it since.
        let safe = |said: &Said| {
            said.had
                .iter()
                .any(|((s, _), at)| self.processes[usize::from(*s)].copy.lost.is_none_or(|lost| lost < *at))
        };
        for said in copies.said.iter().filter(|s| safe(s) && !self.knows(seat, s)) {
            broken.push(format!(
                "forgotten: {} {:?} out {} at {} ms",
                said.host,
                said.dot,
                said.out,
                said.at / MS
            ));
        }
        let mut hosts: Vec<&String> = copies.said.iter().map(|s| &s.host).collect();
        hosts.sort_unstable();
        hosts.dedup();
        for host in hosts {
            let known: Vec<&Said> =
                copies.said.iter().filter(|s| s.host == *host && self.knows(seat, s)).collect();
            // A word stands until somebody who knew of it has spoken.
            let stands = |s: &&&Said| !known.iter().any(|other| other.knew.has_seen(s.dot));
            let out = known.iter().filter(stands).any(|s| s.out);
            let machine = self.processes[usize::from(seat)].copy.machine.as_ref();
            let is = machine.and_then(|m| m.bans(host)).is_some_and(Bans::is_banned);
            if is != out {
                broken.push(format!("{host} is out: {is}, and by what was said it is {out}"));
            }
        }
        broken
    }
}

/// What became of a schedule.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// From the moment at which all agreed on the members until all copies were equal.
    pub equal: Nanos,
    /// Words that were said, and how long each took until all had it, where no fault was in the way for ever.
    pub spread: Vec<Option<Nanos>>,
    /// Words that lost, and were told of.
    pub lost: usize,
}

/// Plays a schedule with staff's words in it on a fleet that has just been founded.
pub fn play(members: usize, seed: u64, faults: &[(Nanos, Fault)], planted: Planted) -> Verdict {
    let mut fleet = Fleet::planted(members, seed, S, MemberPlanted::default());
    fleet.with_copies(planted);
    let mut broken = Vec::new();
    if fleet.settle(30 * S).is_none() {
        broken.push("no first view of all".to_owned());
    }
    let begun = fleet.now;
    for (at, fault) in faults {
        fleet.run((begun + at).saturating_sub(fleet.now));
        fleet.apply(fault);
    }
    if fleet.settle(2 * AGREE).is_none() {
        broken.push("no agreement on the members".to_owned());
    }
    let agreed = fleet.now;
    while !fleet.equal() && fleet.now - agreed < 2 * EQUAL {
        fleet.run(50 * MS);
    }
    let equal = fleet.now - agreed;
    if equal > EQUAL {
        broken.push(format!("copies differ {} ms after all agreed", equal / MS));
    }
    broken.extend(fleet.look_at_the_end());
    Verdict { broken, equal, spread: fleet.spread(), lost: fleet.lost() }
}
