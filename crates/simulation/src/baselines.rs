//! Two ways to notice silent members that the fleet's own is measured against: plain heartbeats, all to all, each member for
//! itself; and SWIM as its paper has it (Das, Gupta and Motivala, DSN 2002, with suspicion), without Lifeguard's self-doubt.
//! Both are set to notice a kill in about the time that the fleet's own takes.

use crate::draw::Draw;
use crate::schedule::Network;
use crate::{Nanos, MS, S};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Each says to all others that it is there; who has not been heard for a time is out.
    Heartbeats,
    /// Random probes, helpers, suspicion that is told and may be answered.
    Swim,
}

/// Heartbeats go out this often, and SWIM's protocol period is as long.
const PERIOD: Nanos = 500 * MS;
/// Silent for so long, a member is out by plain heartbeats.
const SILENT: Nanos = 2_200 * MS;
/// A probe without an answer after this is tried through others.
const DIRECT: Nanos = 150 * MS;
/// Those others.
const HELPERS: usize = 3;
/// A suspicion that nobody has answered for so long is a death.
const SUSPICION: Nanos = 1_200 * MS;
/// Rumours in one datagram.
const RUMOURS: usize = 6;
/// A rumour goes out so often times the logarithm of the number of members.
const TELLINGS: f64 = 3.0;
/// A member may be called dead, with no wrong done, where it was stopped for longer than this ...
const LONGEST_PAUSE: Nanos = 2 * S;
/// ... and until so long after it went on.
const RECOVERS: Nanos = 4 * S;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum State {
    Alive,
    Suspect,
    Dead,
}

/// What is said of a member: the later incarnation counts, and within one the worse.
type Rumour = (usize, u32, State);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Word {
    Beat,
    Ping(u32),
    Ack(u32),
    /// Ask this one for me.
    Ask(usize, u32),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Deliver(usize, usize, Word, Vec<Rumour>),
}

#[derive(Clone, Debug, Default)]
struct Member {
    paused: (Nanos, Nanos),
    waiting: Vec<(usize, Word, Vec<Rumour>)>,
    heard: BTreeMap<usize, Nanos>,
    states: BTreeMap<usize, (u32, Option<State>, Nanos)>,
    own: u32,
    rumours: Vec<(Rumour, u32)>,
    period: Nanos,
    round: u32,
    /// Whom it probes, since when, whether others were asked, and which round it was.
    probe: Option<(usize, Nanos, bool, u32)>,
    /// Probes that it makes for others: its round, and who asked with which.
    relayed: BTreeMap<u32, (usize, u32)>,
}

/// Members that watch one another in one of those ways.
pub struct Watchers {
    /// The present time.
    pub now: Nanos,
    kind: Kind,
    members: Vec<Member>,
    queue: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    count: u64,
    network: Network,
    draw: Draw,
    /// Whether somebody wrongly calls this one dead now.
    wronged: Vec<bool>,
    /// How often that began.
    pub wrongful: usize,
}

impl Watchers {
    /// So many members, all there from the beginning and known to all.
    pub fn new(kind: Kind, members: usize, seed: u64, network: Network) -> Watchers {
        let mut all = Watchers {
            now: S,
            kind,
            members: vec![Member::default(); members],
            queue: BinaryHeap::new(),
            count: 0,
            network,
            draw: Draw::new(seed, 81),
            wronged: vec![false; members],
            wrongful: 0,
        };
        for k in 0..members {
            all.members[k].heard = (0..members).map(|o| (o, S)).collect();
            let first = S + all.draw.between(0, PERIOD);
            all.members[k].period = first;
            all.push(first, Event::Tick(k));
        }
        all
    }

    /// A member does not run for so long.
    pub fn pause(&mut self, member: usize, lasts: Nanos) {
        self.members[member].paused = (self.now, self.now + lasts);
    }

    /// Lets time go on.
    pub fn run(&mut self, lasts: Nanos) {
        let end = self.now + lasts;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            match event {
                Event::Tick(k) => self.tick(k),
                Event::Deliver(from, to, word, rumours) => self.arrive(from, to, word, rumours),
            }
        }
        self.now = end;
    }

    fn push(&mut self, at: Nanos, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    fn tick(&mut self, k: usize) {
        let now = self.now;
        if self.members[k].paused.1 > now {
            return self.push(self.members[k].paused.1, Event::Tick(k));
        }
        let waiting = std::mem::take(&mut self.members[k].waiting);
        // Which of the two a woken process does first is chance.
        let reads_first = self.draw.chance(0.5);
        if !reads_first {
            self.act(k);
        }
        for (from, word, rumours) in waiting {
            self.hear(from, k, word, rumours);
        }
        if reads_first {
            self.act(k);
        }
        self.push(now + 50 * MS, Event::Tick(k));
    }

    fn act(&mut self, k: usize) {
        match self.kind {
            Kind::Heartbeats => self.beat(k),
            Kind::Swim => self.probe(k),
        }
        self.look();
    }

    fn beat(&mut self, k: usize) {
        if self.now >= self.members[k].period {
            self.members[k].period = self.now + PERIOD;
            (0..self.members.len()).filter(|o| *o != k).for_each(|o| self.send(k, o, Word::Beat));
        }
    }

    fn probe(&mut self, k: usize) {
        let now = self.now;
        let late: Vec<Rumour> = self.members[k]
            .states
            .iter()
            .filter(|(_, (_, state, at))| {
                *state == Some(State::Suspect) && now.saturating_sub(*at) >= SUSPICION
            })
            .map(|(o, (incarnation, ..))| (*o, *incarnation, State::Dead))
            .collect();
        late.into_iter().for_each(|rumour| self.learn(k, rumour));
        if let Some((subject, at, false, round)) = self.members[k].probe {
            if now.saturating_sub(at) >= DIRECT {
                self.members[k].probe = Some((subject, at, true, round));
                let others: Vec<usize> = self.some(k, HELPERS, subject);
                others.into_iter().for_each(|h| self.send(k, h, Word::Ask(subject, round)));
            }
        }
        if now < self.members[k].period {
            return;
        }
        if let Some((subject, ..)) = self.members[k].probe.take() {
            let incarnation = self.members[k].states.get(&subject).map_or(0, |s| s.0);
            self.learn(k, (subject, incarnation, State::Suspect));
        }
        self.members[k].period = now + PERIOD;
        self.members[k].round += 2;
        if let Some(subject) = self.some(k, 1, k).pop() {
            let round = self.members[k].round;
            self.members[k].probe = Some((subject, now, false, round));
            self.send(k, subject, Word::Ping(round));
        }
    }

    /// Others that it takes for alive.
    fn some(&mut self, k: usize, count: usize, but: usize) -> Vec<usize> {
        let mut all: Vec<usize> =
            (0..self.members.len()).filter(|o| *o != k && *o != but && !self.dead(k, *o)).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !all.is_empty() {
            let at = self.draw.below(all.len());
            chosen.push(all.swap_remove(at));
        }
        chosen
    }

    fn dead(&self, by: usize, of: usize) -> bool {
        let member = &self.members[by];
        match self.kind {
            Kind::Heartbeats => self.now.saturating_sub(member.heard[&of]) >= SILENT,
            Kind::Swim => member.states.get(&of).is_some_and(|(_, state, _)| *state == Some(State::Dead)),
        }
    }

    /// Takes a rumour, and tells it on where it is news.
    fn learn(&mut self, k: usize, (of, incarnation, state): Rumour) {
        if of == k {
            if state != State::Alive && incarnation >= self.members[k].own {
                self.members[k].own = incarnation + 1;
                let own = self.members[k].own;
                self.tell_on(k, (k, own, State::Alive));
            }
            return;
        }
        let known = self.members[k]
            .states
            .get(&of)
            .map_or((0, State::Alive), |(i, s, _)| (*i, s.unwrap_or(State::Alive)));
        if (incarnation, state) > known {
            self.members[k].states.insert(of, (incarnation, Some(state), self.now));
            self.tell_on(k, (of, incarnation, state));
        }
    }

    fn tell_on(&mut self, k: usize, rumour: Rumour) {
        let tellings = (TELLINGS * (self.members.len() as f64).log2()).ceil() as u32;
        self.members[k].rumours.retain(|((of, ..), _)| *of != rumour.0);
        self.members[k].rumours.push((rumour, tellings));
    }

    fn send(&mut self, from: usize, to: usize, word: Word) {
        let rumours = &mut self.members[from].rumours;
        rumours.sort_by_key(|(_, left)| Reverse(*left));
        let told: Vec<Rumour> =
            rumours.iter_mut().take(RUMOURS).map(|(r, left)| (*left -= 1, *r).1).collect();
        rumours.retain(|(_, left)| *left > 0);
        if self.draw.chance(self.network.loss) {
            return;
        }
        let at = self.now + self.draw.between(self.network.delay.0, self.network.delay.1);
        self.push(at, Event::Deliver(from, to, word, told));
    }

    fn arrive(&mut self, from: usize, to: usize, word: Word, rumours: Vec<Rumour>) {
        if self.members[to].paused.1 > self.now {
            // What the system keeps for a process that does not run.
            if self.members[to].waiting.len() < 200 {
                self.members[to].waiting.push((from, word, rumours));
            }
            return;
        }
        self.hear(from, to, word, rumours);
    }

    fn hear(&mut self, from: usize, to: usize, word: Word, rumours: Vec<Rumour>) {
        self.members[to].heard.insert(from, self.now);
        rumours.into_iter().for_each(|rumour| self.learn(to, rumour));
        match word {
            Word::Beat => {}
            Word::Ping(round) => self.send(to, from, Word::Ack(round)),
            Word::Ask(subject, round) => {
                // Odd rounds are probes for others.
                self.members[to].round += 2;
                let own = self.members[to].round + 1;
                self.members[to].relayed.insert(own, (from, round));
                self.send(to, subject, Word::Ping(own));
            }
            Word::Ack(round) => {
                if let Some((asker, theirs)) = self.members[to].relayed.remove(&round) {
                    self.send(to, asker, Word::Ack(theirs));
                } else if self.members[to].probe.is_some_and(|(.., own)| own == round) {
                    self.members[to].probe = None;
                }
            }
        }
    }

    /// Counts those that are called dead though they run.
    fn look(&mut self) {
        let now = self.now;
        for of in 0..self.members.len() {
            let (from, to) = self.members[of].paused;
            let excused = to.saturating_sub(from) > LONGEST_PAUSE && now < to + RECOVERS;
            let runs = |m: &Member| m.paused.1 <= now;
            let called =
                (0..self.members.len()).any(|by| by != of && runs(&self.members[by]) && self.dead(by, of));
            let wronged = called && !excused;
            self.wrongful += usize::from(wronged && !self.wronged[of]);
            self.wronged[of] = wronged;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_quiet_fleet_wrongs_nobody_and_one_that_wakes_does() {
        for kind in [Kind::Heartbeats, Kind::Swim] {
            let mut calm = Watchers::new(kind, 6, 1, Network::default());
            calm.run(30 * S);
            assert_eq!(calm.wrongful, 0, "{kind:?}");
        }
        let mut woken = Watchers::new(Kind::Heartbeats, 6, 1, Network::default());
        woken.run(2 * S);
        woken.pause(2, 5 * S);
        woken.run(8 * S);
        let lossy = Network { loss: 0.4, ..Network::default() };
        let mut lost = Watchers::new(Kind::Swim, 6, 1, lossy);
        lost.run(120 * S);
        assert!(lost.wrongful > 0);
    }
}
