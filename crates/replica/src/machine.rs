//! One node's replica: datagrams, words and time in, datagrams and changes out.

use crate::defect::{Defect, Planted};
use crate::entry::{Bans, Dot, Drain, Entry, Key, Word, Writer, MOST_NAME};
use crate::lesson::{Lesson, Step, Student};
use crate::link::Link;
use crate::store::{Full, Store};
use crate::wire::{items, Body, Datagram, Head, Item, VERSION};
use laurelroute_membership::{Life, Nanos, Roster, Seat, View, MS};
use std::collections::{BTreeMap, BTreeSet};

/// Neighbours tell each other this often that nothing has changed.
const ROOT: Nanos = 1_000 * MS;
/// Where no neighbour says that it has caught up itself, all of them have to have said what they have, so long after the
/// first view: by then word of one that has would have come from further away.
const GRACE: Nanos = 1_500 * MS;
/// Bytes a second that go to all neighbours together, whatever their number ...
pub const RATE: u64 = 64 * 1024;
/// ... and at once.
const BURST: u64 = 32 * 1024;

/// Why a word is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SayError {
    /// There is no place for it.
    #[error("{0}")]
    Full(#[from] Full),
    /// No server's name is like that.
    #[error("a name has 1 to {MOST_NAME} bytes")]
    Name,
}

/// What a replica wants done or known.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this.
    Send(Seat, Vec<u8>),
    /// An entry is another one now.
    Changed(Key),
    /// This member's own word to put a server back has lost to a ban that it did not know of.
    Lost(Key),
    /// This copy has all that a neighbour has.
    CaughtUp,
    /// A member says whether it has the copy that was asked for, under that number.
    Has(Seat, u32, bool),
    /// A neighbour speaks another version.
    Version(Seat, u8),
    /// An entry has no place here.
    NoPlace(Key),
    /// A member asks what this one has learnt: the lesson that it has in part, and from which row on ([`Machine::teach`]).
    Asked(Seat, u32, u32),
    /// That one has told all that it has learnt.
    Learnt(Seat, Lesson),
}

/// A replica.
#[derive(Debug)]
pub struct Machine {
    site: u16,
    tag: u16,
    me: Seat,
    writer: Writer,
    number: u64,
    /// The life that the view has for this member.
    life: Life,
    members: BTreeMap<Seat, Life>,
    links: BTreeMap<Seat, Link>,
    store: Store,
    caught_up: bool,
    /// Since when it is in a view.
    since: Option<Nanos>,
    rooted: Option<Nanos>,
    allowance: (Nanos, u64),
    /// Batches that went to anybody: a link that is made anew goes on from there.
    batches: u32,
    /// As long as it wants to learn from others.
    student: Option<Student>,
    /// Words of its own that were told of as lost.
    lost: BTreeSet<Dot>,
    planted: Planted,
    out: Vec<Output>,
}

impl Machine {
    /// A member's replica, with a life of its own that tells its words from those of former runs.
    pub fn new(site: &str, roster: &Roster, me: Seat, life: Life) -> Machine {
        Machine {
            site: laurelroute_membership::view::text(site) as u16,
            tag: roster.tag(),
            me,
            writer: Writer { seat: me, life },
            number: 0,
            life,
            members: BTreeMap::new(),
            links: BTreeMap::new(),
            store: Store::default(),
            caught_up: false,
            since: None,
            rooted: None,
            allowance: (0, BURST),
            batches: 0,
            student: None,
            lost: BTreeSet::new(),
            planted: Planted::default(),
            out: Vec::new(),
        }
    }

    /// Does something wrong from now on, for tests.
    pub fn plant(&mut self, planted: Planted) {
        self.planted = planted;
        if planted.is(Defect::SecondWriter) {
            self.writer.life = 1;
        }
    }

    /// This copy.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Whether a neighbour has said that this copy has all that it has.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Takes in a copy that was kept by a former run, before anything else. What it has wrong the neighbours know better.
    pub fn restore(&mut self, entries: Vec<(Key, Entry)>) -> Vec<Output> {
        entries.into_iter().for_each(|(key, entry)| self.take(None, key, entry));
        std::mem::take(&mut self.out)
    }

    /// A view of the members has come into force here; this member has that life in it.
    pub fn view(&mut self, now: Nanos, view: &View, life: Life) -> Vec<Output> {
        self.life = life;
        self.since.get_or_insert(now);
        self.members.clone_from(&view.members);
        let observers = view.observers();
        let near = |seat: Seat| {
            observers.get(&self.me).is_some_and(|o| o.contains(&seat))
                || observers.get(&seat).is_some_and(|o| o.contains(&self.me))
        };
        let wanted: BTreeMap<Seat, Life> =
            view.members.iter().filter(|(s, _)| **s != self.me && near(**s)).map(|(s, l)| (*s, *l)).collect();
        self.links.retain(|seat, link| wanted.get(seat) == Some(&link.life));
        for (seat, life) in wanted {
            self.links.entry(seat).or_insert_with(|| Link::new(life));
        }
        if self.links.is_empty() || self.planted.is(Defect::ReadyEarly) {
            self.catch_up();
        }
        self.flush(now);
        std::mem::take(&mut self.out)
    }

    /// In no view there is nobody to speak to.
    pub fn leave(&mut self) {
        self.links.clear();
        self.members.clear();
        self.since = None;
    }

    /// Staff's word on a server, said here.
    pub fn say(&mut self, now: Nanos, host: &str, out: bool, at: u64) -> Result<Vec<Output>, SayError> {
        if !(1..=MOST_NAME).contains(&host.len()) {
            return Err(SayError::Name);
        }
        let number = self.number + 1;
        let key = self.store.say(host, Word { dot: Dot { writer: self.writer, number }, out, at })?;
        self.number = number;
        self.changed(None, key);
        self.flush(now);
        Ok(std::mem::take(&mut self.out))
    }

    /// What a list of that version says of a server.
    pub fn listed(&mut self, now: Nanos, host: &str, drain: Drain) -> Vec<Output> {
        let key = Key::Drain(host.to_owned());
        let known = self.store.drain(host);
        // One that has never drained is no news, nor is what is known.
        let news = known.map_or(drain.out, |k| k.out != drain.out && drain.version >= k.version);
        if key.sound() && news {
            self.take(None, key, Entry::Drain(drain));
            self.flush(now);
        }
        std::mem::take(&mut self.out)
    }

    /// Members that are known to have an entry as it is here.
    pub fn held_by(&self, key: &Key) -> usize {
        self.links.values().filter(|link| link.has(key)).count()
    }

    /// Asks all members whether they have an entry as it is here; they answer under that number.
    pub fn ask(&mut self, number: u32, key: &Key) -> Vec<Output> {
        let mark = self.store.mark(key);
        let others: Vec<Seat> = self.members.keys().copied().filter(|s| *s != self.me).collect();
        others.into_iter().for_each(|seat| self.send(seat, Body::Ask(number, key.clone(), mark)));
        std::mem::take(&mut self.out)
    }

    /// This member starts with nothing, and asks others what they have learnt.
    pub fn learn(&mut self) {
        self.student = Some(Student::default());
    }

    /// Tells a member that has asked what this one has learnt, from that row on; as far as the allowance goes, and it asks
    /// again.
    pub fn teach(&mut self, to: Seat, lesson: &Lesson, first: u32) -> Vec<Output> {
        for piece in lesson.pieces(first) {
            if self.allowance.1 == 0 {
                break;
            }
            self.send(to, piece);
        }
        std::mem::take(&mut self.out)
    }

    fn study(&mut self, step: Step) {
        match step {
            Step::Ask(seat, question) => self.send(seat, question),
            Step::Wait => {}
            Step::Learnt(seat, lesson) => {
                self.student = None;
                self.out.push(Output::Learnt(seat, lesson));
            }
            Step::Alone => self.student = None,
        }
    }

    fn catch_up(&mut self) {
        if !std::mem::replace(&mut self.caught_up, true) {
            self.out.push(Output::CaughtUp);
        }
    }

    fn send(&mut self, to: Seat, body: Body) {
        let Some(to_life) = self.members.get(&to) else { return };
        let head = Head {
            version: VERSION,
            site: self.site.to_le_bytes(),
            roster: self.tag.to_le_bytes(),
            from: self.me,
            to,
            life: self.life.to_le_bytes(),
            to_life: to_life.to_le_bytes(),
        };
        if let Some(bytes) = (Datagram { head, body }).encode() {
            self.allowance.1 = self.allowance.1.saturating_sub(bytes.len() as u64);
            self.out.push(Output::Send(to, bytes));
        }
    }

    /// An entry has changed: all neighbours but the one that it came from have to hear of it.
    fn changed(&mut self, from: Option<Seat>, key: Key) {
        self.links.iter_mut().filter(|(seat, _)| Some(**seat) != from).for_each(|(_, link)| link.owe(&key));
        let lost = match self.store.get(&key) {
            Some(Entry::Bans(bans)) => bans.lost().map(|w| w.dot).filter(|d| d.writer == self.writer),
            _ => None,
        };
        if lost.is_some_and(|dot| self.lost.insert(dot)) {
            self.out.push(Output::Lost(key.clone()));
        }
        self.out.push(Output::Changed(key));
    }

    fn take(&mut self, from: Option<Seat>, key: Key, entry: Entry) {
        if !key.sound() || !entry.fits(&key) {
            return;
        }
        match self.store.take(&key, entry, self.planted.is(Defect::WallClock)) {
            Ok(taken) => {
                if let Some(link) = from.and_then(|seat| self.links.get_mut(&seat)) {
                    if taken.more {
                        link.owe(&key)
                    } else {
                        link.settle(&key)
                    }
                }
                if taken.changed {
                    self.changed(from, key);
                }
            }
            Err(Full::Entries) => self.out.push(Output::NoPlace(key)),
        }
    }

    /// To be called each [`laurelroute_membership::TICK`].
    pub fn tick(&mut self, now: Nanos) -> Vec<Output> {
        if self.rooted.is_none_or(|at| now.saturating_sub(at) >= ROOT) {
            self.rooted = Some(now);
            let root = self.store.root();
            let idle: Vec<Seat> = self.links.iter().filter(|(_, l)| l.idle()).map(|(s, _)| *s).collect();
            idle.into_iter().for_each(|seat| self.send(seat, Body::Root(root)));
        }
        let long = self.since.is_some_and(|at| now.saturating_sub(at) >= GRACE);
        if long && self.links.values().all(Link::heard_done) {
            self.catch_up();
        }
        if self.planted.is(Defect::ForgetsEarly) {
            self.forget_early();
        }
        if let Some(step) = self.student.as_mut().map(|s| s.tick(now, self.me, &self.members)) {
            self.study(step);
        }
        self.flush(now);
        std::mem::take(&mut self.out)
    }

    /// For tests.
    fn forget_early(&mut self) {
        let all = |key: &Key| self.links.values().all(|l| l.has(key)) && !self.links.is_empty();
        let idle = |(key, entry): &(&Key, &Entry)| matches!(key, Key::Ban(_)) && !entry.out() && all(key);
        let forgotten: Vec<Key> = self.store.entries().filter(idle).map(|(key, _)| key.clone()).collect();
        forgotten.iter().for_each(|key| self.store.forget(key));
    }

    /// Sends what is owed, as far as the allowance goes.
    fn flush(&mut self, now: Nanos) {
        let (since, left) = self.allowance;
        let earned = now.saturating_sub(since).min(1_000 * MS) * RATE / (1_000 * MS);
        if earned > 0 {
            self.allowance = (now, (left + earned).min(BURST));
        }
        for seat in self.links.keys().copied().collect::<Vec<_>>() {
            if self.allowance.1 == 0 {
                return;
            }
            let Some(link) = self.links.get_mut(&seat) else { continue };
            let words = link.send(now, &self.store, self.caught_up, &mut self.batches);
            words.into_iter().for_each(|body| self.send(seat, body));
        }
    }

    /// Takes a datagram that came from that seat's address.
    pub fn receive(&mut self, now: Nanos, at: Seat, bytes: &[u8]) -> Vec<Output> {
        match (Datagram::decode(bytes), bytes.first()) {
            (_, Some(version)) if *version != VERSION => self.out.push(Output::Version(at, *version)),
            (Some(datagram), _) => self.hear(now, at, datagram),
            _ => {}
        }
        self.flush(now);
        std::mem::take(&mut self.out)
    }

    fn hear(&mut self, now: Nanos, at: Seat, Datagram { head, body }: Datagram) {
        let life = Life::from_le_bytes(head.life);
        let ours = head.site == self.site.to_le_bytes()
            && head.roster == self.tag.to_le_bytes()
            && (head.from, head.to, head.to_life) == (at, self.me, self.life.to_le_bytes())
            && self.members.get(&at) == Some(&life);
        if !ours {
            return;
        }
        match body {
            Body::Ask(number, key, mark) => {
                let same = self.store.get(&key).is_some() && self.store.mark(&key) == mark;
                self.send(at, Body::Answer(number, same));
            }
            Body::Answer(number, same) => self.out.push(Output::Has(at, number, same)),
            Body::Learn(number, first) => self.out.push(Output::Asked(at, number, first)),
            body @ (Body::Usual(..) | Body::Rows(..)) => {
                if let Some(step) = self.student.as_mut().map(|s| s.hear(now, at, life, body)) {
                    self.study(step);
                }
            }
            body => self.hear_near(now, at, life, body),
        }
    }

    fn hear_near(&mut self, now: Nanos, at: Seat, life: Life, body: Body) {
        let Some(link) = self.links.get_mut(&at).filter(|l| l.life == life) else { return };
        match body {
            Body::Root(theirs) if theirs != self.store.root() => link.differs(now),
            Body::Took(number, lacking) => link.took(number, lacking),
            Body::Part(number, part, of, bytes) => {
                let (answer, whole) = link.part(number, part, of, bytes);
                if let Some(items) = whole.and_then(|whole| items(&whole)) {
                    items.into_iter().for_each(|item| self.hear_item(at, item));
                }
                if let Some(answer) = answer {
                    self.send(at, answer);
                }
            }
            _ => {}
        }
    }

    fn hear_item(&mut self, at: Seat, item: Item) {
        match item {
            Item::Entry(key, entry) => self.take(Some(at), key, entry),
            Item::Buckets(theirs, back) => {
                if let Some(link) = self.links.get_mut(&at) {
                    link.compare(&self.store, &theirs, back);
                }
            }
            Item::Done(caught_up) => {
                if let Some(link) = self.links.get_mut(&at) {
                    link.hear_done();
                }
                if caught_up {
                    self.catch_up();
                }
            }
        }
    }

    /// For people: the words on a server.
    pub fn bans(&self, host: &str) -> Option<&Bans> {
        self.store.bans(host)
    }
}
