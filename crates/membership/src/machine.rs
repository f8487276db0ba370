//! One member: datagrams and time in, datagrams and changes out.

use crate::council::{Council, To};
use crate::defect::{Defect, Planted};
use crate::founding::Founding;
use crate::lease::Lease;
use crate::view::{quorum, Cut, Roster, Seat, View};
use crate::watch::{Watch, BEAT};
use crate::wire::{Body, Datagram, Head, ACCUSED, PIECE, VERSION};
use crate::{Life, Nanos, MS, TICK};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Others that are asked whether they hear one that this member does not.
const HELPERS: usize = 3;
/// The council is asked whether the view is in force this often ...
const PING: Nanos = 300 * MS;
/// ... and its members ask one another, each of them all the others, so often.
const PING_ALL: Nanos = 600 * MS;
/// One that is behind is told so, and one that is ahead is asked, this often at most.
const TELL: Nanos = 150 * MS;
/// A wish to join goes on to the council this often at most.
const PASS_ON: Nanos = 200 * MS;
/// A cookie counts so long, and one time as long after it has been replaced.
const COOKIE: Nanos = 30_000 * MS;
/// A member of a view that this one is not in is asked for so long after its last word.
const SPONSORS: Nanos = 3_000 * MS;
/// Cuts that are kept for those that are behind.
const CUTS: usize = 8;
/// A member whose view is not in force, as far as it knows, calls some that are not in it this often: they may be of another.
const CALL_OUT: Nanos = 1_000 * MS;
/// Accusations are said again this often.
const ACCUSE_EVERY: Nanos = 300 * MS;

/// Why a datagram's sender is not spoken to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Another version of the messages.
    Version(u8),
    /// Another installation.
    Site,
    /// Another list of members.
    Roster,
    /// It comes from where another name of the roster is.
    Name,
    /// An older life of a seat that has a newer one.
    Life,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reason::Version(v) => write!(f, "it speaks version {v} of the messages, this program {VERSION}"),
            Reason::Site => f.write_str("it belongs to another site"),
            Reason::Roster => f.write_str("its list of members is another one"),
            Reason::Name => f.write_str("it claims a name whose address is another one"),
            Reason::Life => f.write_str("it is an older life of that name"),
        }
    }
}

/// What a member wants done or known.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this.
    Send(Seat, Vec<u8>),
    /// A new view is in force here.
    View(View),
    /// This member is in no view now.
    Out,
    /// A sender is not spoken to.
    Refused(Seat, Reason),
}

/// A view that is being fetched in pieces.
#[derive(Debug)]
struct Fetch {
    view: (u64, u16),
    rooted: bool,
    total: usize,
    members: BTreeMap<Seat, Life>,
}

/// One member.
#[derive(Debug)]
pub struct Machine {
    site: u16,
    roster: Roster,
    tag: u16,
    me: Seat,
    life: Life,
    random: Pcg64Mcg,
    planted: Planted,
    view: Option<View>,
    observers: Vec<Seat>,
    council_seats: Vec<Seat>,
    council: Option<Council>,
    founding: Founding,
    watch: Watch,
    lease: Lease,
    cuts: VecDeque<(u64, Cut)>,
    fetch: Option<Fetch>,
    /// A member of a view that this one is not in.
    sponsor: Option<(Seat, Nanos)>,
    /// Seats of the council whose life in this view is gone: another one speaks from there.
    replaced: BTreeSet<Seat>,
    cookies: (Nanos, [u64; 2]),
    /// The last cookie that a seat has given.
    given: BTreeMap<Seat, u64>,
    told: BTreeMap<Seat, Nanos>,
    asked: BTreeMap<Seat, Nanos>,
    passed_on: BTreeMap<Seat, Nanos>,
    /// When anything last went to a seat: whatever that was, it says that this one is there.
    spoken: BTreeMap<Seat, Nanos>,
    pinged: Option<Nanos>,
    accused: (Nanos, Vec<Seat>),
    called_out: Nanos,
    out: Vec<Output>,
}

impl Machine {
    /// The member `me` of an installation. All that is drawn follows from the seed, which has to be another at each start.
    pub fn new(site: &str, roster: Roster, me: Seat, seed: [u8; 16], now: Nanos) -> Machine {
        let mut random = Pcg64Mcg::from_seed(seed);
        let (life, cookies) = (random.next_u32(), [random.next_u64(), random.next_u64()]);
        let start = random.next_u32() as usize % roster.len();
        Machine {
            site: crate::view::text(site) as u16,
            tag: roster.tag(),
            roster,
            me,
            life,
            random,
            planted: Planted::default(),
            view: None,
            observers: Vec::new(),
            council_seats: Vec::new(),
            council: None,
            founding: Founding::new(now, start),
            watch: Watch::default(),
            lease: Lease::default(),
            cuts: VecDeque::new(),
            fetch: None,
            sponsor: None,
            replaced: BTreeSet::new(),
            cookies: (now, cookies),
            given: BTreeMap::new(),
            told: BTreeMap::new(),
            asked: BTreeMap::new(),
            passed_on: BTreeMap::new(),
            spoken: BTreeMap::new(),
            pinged: None,
            accused: (0, Vec::new()),
            called_out: now,
            out: Vec::new(),
        }
    }

    /// Does something wrong from now on, for tests.
    pub fn plant(&mut self, planted: Planted) {
        self.planted = planted;
        self.watch.plant(planted);
        if planted.is(Defect::LifeComesBack) {
            self.life = Life::from(self.me) + 1;
        }
    }

    /// Its seat.
    pub fn seat(&self) -> Seat {
        self.me
    }

    /// Its life. It is another one after it was put out of a view.
    pub fn life(&self) -> Life {
        self.life
    }

    /// The roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Its view, where it is in one.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Whether its view was in force a moment ago, for sure.
    pub fn attached(&self, now: Nanos) -> bool {
        self.view.as_ref().is_some_and(|v| v.rooted) && self.lease.age(now).is_some()
    }

    /// The part of something that all members share that this one may use now, from 0 to 1.
    pub fn share(&self, now: Nanos) -> f64 {
        let (rooted, members) = self.view.as_ref().map_or((false, 1), |v| (v.rooted, v.members.len()));
        if self.planted.is(Defect::SmallerCount) && self.view.is_some() {
            return 1.0 / members as f64;
        }
        self.lease.share(now, rooted, members, self.roster.len())
    }

    /// For people: whom it watches and how long each has been silent.
    pub fn silences(&self) -> impl Iterator<Item = (Seat, Nanos)> + '_ {
        self.watch.silences()
    }

    /// For people: who accuses a member, as far as this one has a seat on the council.
    pub fn accusers_of(&self, now: Nanos, seat: Seat) -> BTreeSet<Seat> {
        self.council.as_ref().map_or_else(BTreeSet::new, |c| c.accusers_of(now, seat))
    }

    /// Whom it accuses of silence.
    pub fn accuses(&self) -> &[Seat] {
        &self.accused.1
    }

    /// Times that this process was itself paused.
    pub fn pauses(&self) -> u64 {
        self.watch.pauses()
    }

    fn send(&mut self, now: Nanos, to: Seat, body: Body) {
        let (view, lineage, rooted) =
            self.view.as_ref().map_or((0, 0, false), |v| (v.number, v.lineage, v.rooted));
        let head = Head {
            version: VERSION,
            site: self.site.to_le_bytes(),
            roster: self.tag.to_le_bytes(),
            from: self.me,
            to,
            life: self.life.to_le_bytes(),
            view,
            lineage: lineage.to_le_bytes(),
            rooted,
        };
        if let Some(bytes) = (Datagram { head, body }).encode() {
            self.spoken.insert(to, now);
            self.out.push(Output::Send(to, bytes));
        }
    }

    fn carry(&mut self, now: Nanos, words: Vec<To>) {
        let mut words: VecDeque<To> = words.into();
        while let Some(word) = words.pop_front() {
            match word {
                To::One(seat, body) if seat == self.me => {
                    let watch = &self.watch;
                    if let Some(council) = &mut self.council {
                        words.extend(council.hear(now, seat, body, |s| watch.vouches(now, s)));
                    }
                }
                To::One(seat, body) => self.send(now, seat, body),
                To::All(body) => self.tell_council(now, &body),
                To::Decided(cut) => return self.decided(now, cut),
            }
        }
    }

    /// The council learns of it by this word: who decided may itself be out now, and then nobody else knows.
    fn decided(&mut self, now: Nanos, cut: Cut) {
        let Some(view) = self.view.clone() else { return };
        let number = view.number;
        self.view = Some(view.next(&cut, self.roster.len()));
        self.tell_council(now, &Body::Change(number, cut.clone()));
        self.view = Some(view);
        self.step(now, &cut);
    }

    fn tell_council(&mut self, now: Nanos, body: &Body) {
        for seat in self.council_seats.clone() {
            if seat != self.me {
                self.send(now, seat, body.clone());
            }
        }
    }

    /// The next view, by a cut of the present one.
    fn step(&mut self, now: Nanos, cut: &Cut) {
        let Some(view) = &self.view else { return };
        let next = view.next(cut, self.roster.len());
        self.cuts.push_back((view.number, cut.clone()));
        if self.cuts.len() > CUTS {
            self.cuts.pop_front();
        }
        self.adopt(now, next);
    }

    fn adopt(&mut self, now: Nanos, view: View) {
        if !view.holds(self.me, self.life) {
            self.leave(now);
            return;
        }
        let changed: Vec<Seat> = match &self.view {
            Some(old) => {
                view.members.iter().filter(|(s, l)| old.members.get(s) != Some(l)).map(|(s, _)| *s).collect()
            }
            None => view.members.keys().copied().collect(),
        };
        changed.iter().for_each(|s| self.watch.forget(*s));
        let first = self.view.is_none() && view.number == 1;
        let before = self.view.is_some().then(|| self.share(now));
        // A first view that all founded: nobody has had a part so far.
        self.lease = if first { Lease::default() } else { Lease::anew(now, before) };
        let observers = view.observers();
        self.observers = observers.get(&self.me).into_iter().flatten().copied().collect();
        let mine = observers.iter().filter(|(_, by)| by.contains(&self.me)).map(|(s, _)| *s).collect();
        self.watch.over(mine, |s| view.members.contains_key(&s));
        self.council_seats = view.council();
        let seats = self.council_seats.clone();
        self.council = seats.contains(&self.me).then(|| Council::new(self.me, &view, seats, observers));
        (self.fetch, self.sponsor, self.pinged) = (None, None, None);
        self.replaced.clear();
        self.accused = (0, Vec::new());
        self.view = Some(view.clone());
        self.out.push(Output::View(view));
        // Some hear of it at once, and tell others by their beats.
        let others: Vec<Seat> = self.some_members(HELPERS, self.me);
        others.into_iter().for_each(|s| self.send(now, s, Body::Beat));
    }

    /// Out of its view, it comes back as another life.
    fn leave(&mut self, now: Nanos) {
        self.life = self.random.next_u32();
        self.view = None;
        self.council = None;
        self.council_seats.clear();
        self.observers.clear();
        self.watch.over(BTreeSet::new(), |_| false);
        self.lease = Lease::default();
        self.cuts.clear();
        // In no view it accuses nobody.
        self.accused = (now, Vec::new());
        self.fetch = None;
        self.founding = Founding::new(now, usize::from(self.me));
        self.out.push(Output::Out);
    }

    fn some_members(&mut self, count: usize, but: Seat) -> Vec<Seat> {
        let Some(view) = &self.view else { return Vec::new() };
        let mut seats: Vec<Seat> =
            view.members.keys().copied().filter(|s| *s != self.me && *s != but).collect();
        for k in 0..count.min(seats.len()) {
            let other = k + self.random.next_u32() as usize % (seats.len() - k);
            seats.swap(k, other);
        }
        seats.truncate(count);
        seats
    }

    /// Whether something may be said to a seat again, after so long.
    fn due(times: &mut BTreeMap<Seat, Nanos>, now: Nanos, seat: Seat, every: Nanos) -> bool {
        let due = times.get(&seat).is_none_or(|at| now.saturating_sub(*at) >= every);
        if due {
            times.insert(seat, now);
        }
        due
    }

    /// To be called each [`TICK`]. Gives what is to be done.
    pub fn tick(&mut self, now: Nanos) -> Vec<Output> {
        if now.saturating_sub(self.cookies.0) >= COOKIE {
            self.cookies = (now, [self.random.next_u64(), self.cookies.1[0]]);
        }
        let ask = self.watch.tick(now);
        if self.view.is_none() {
            self.look_for_a_view(now);
            return std::mem::take(&mut self.out);
        }
        for subject in ask {
            let helpers = self.some_members(HELPERS, subject);
            helpers.into_iter().for_each(|h| self.send(now, h, Body::Ask(subject)));
        }
        self.accuse(now);
        self.ping(now);
        self.beat(now);
        self.call_out(now);
        let watch = &self.watch;
        if let Some(council) = &mut self.council {
            let words = council.tick(now, |s| watch.fresh(now, s));
            self.carry(now, words);
        }
        std::mem::take(&mut self.out)
    }

    /// Whoever watches this member hears of it each [`BEAT`].
    fn beat(&mut self, now: Nanos) {
        for seat in self.observers.clone() {
            if self.spoken.get(&seat).is_none_or(|at| now.saturating_sub(*at) + TICK / 2 >= BEAT) {
                self.send(now, seat, Body::Beat);
            }
        }
    }

    fn call_out(&mut self, now: Nanos) {
        if now.saturating_sub(self.called_out) < CALL_OUT || self.attached(now) {
            return;
        }
        self.called_out = now;
        let Some(view) = &self.view else { return };
        let mut outside: Vec<Seat> = self.roster.seats().filter(|s| !view.members.contains_key(s)).collect();
        for _ in 0..HELPERS.min(outside.len()) {
            let seat = outside.swap_remove(self.random.next_u32() as usize % outside.len());
            self.send(now, seat, Body::Beat);
        }
    }

    fn accuse(&mut self, now: Nanos) {
        let mut accused = self.watch.accused(now);
        accused.truncate(ACCUSED);
        let again = now.saturating_sub(self.accused.0) >= ACCUSE_EVERY;
        if accused == self.accused.1 && (accused.is_empty() || !again) {
            return;
        }
        self.accused = (now, accused.clone());
        if let Some(council) = &mut self.council {
            council.accuse(now, self.me, accused.clone());
        }
        self.tell_council(now, &Body::Accuse(accused));
    }

    fn ping(&mut self, now: Nanos) {
        if let Some(council) = self.council.as_ref().filter(|c| c.in_force()) {
            self.lease.renew(now, self.me, council.seats());
        }
        let every = if self.council.is_some() { PING_ALL } else { PING };
        if self.pinged.is_some_and(|at| now.saturating_sub(at) + TICK / 2 < every) {
            return;
        }
        self.pinged = Some(now);
        let others: Vec<Seat> = self.council_seats.iter().copied().filter(|s| *s != self.me).collect();
        if self.council.is_some() {
            others.into_iter().for_each(|s| self.send(now, s, Body::Ping(now)));
        } else if !others.is_empty() {
            let one = others[self.random.next_u32() as usize % others.len()];
            self.send(now, one, Body::Ping(now));
        }
    }

    fn look_for_a_view(&mut self, now: Nanos) {
        let me = (self.me, self.life);
        let roster = self.roster.len();
        if roster == 1 {
            return self.adopt(now, View::found(BTreeMap::from([me]), 1));
        }
        let sponsor = self.sponsor.filter(|(_, at)| now.saturating_sub(*at) < SPONSORS).map(|(s, _)| s);
        let mut calls = self.founding.calls(now, self.me, roster);
        if !calls.is_empty() {
            calls.extend(sponsor.filter(|s| !calls.contains(s)));
        }
        for seat in calls {
            let cookie = self.given.get(&seat).copied().unwrap_or(0);
            self.send(now, seat, Body::Join(cookie));
        }
        if sponsor.is_none() {
            if let Some((seats, digest)) = self.founding.ask(now, me, roster) {
                for seat in seats {
                    if Self::due(&mut self.asked, now, seat, TELL) {
                        self.send(now, seat, Body::Found(digest));
                    }
                }
            }
        }
    }

    /// Takes a datagram that came from that seat's address. Gives what is to be done.
    pub fn receive(&mut self, now: Nanos, at: Seat, bytes: &[u8]) -> Vec<Output> {
        // A word of another version can be told by its first byte.
        match (Datagram::decode(bytes), bytes.first()) {
            (_, Some(version)) if *version != VERSION => {
                self.out.push(Output::Refused(at, Reason::Version(*version)));
            }
            (Some(datagram), _) => self.take(now, at, datagram),
            _ => {}
        }
        std::mem::take(&mut self.out)
    }

    fn take(&mut self, now: Nanos, at: Seat, Datagram { head, body }: Datagram) {
        let wrong = [
            (head.site != self.site.to_le_bytes(), Reason::Site),
            (head.roster != self.tag.to_le_bytes(), Reason::Roster),
            (head.from != at || head.to != self.me, Reason::Name),
        ];
        if let Some((_, reason)) = wrong.into_iter().find(|(is, _)| *is) {
            return self.out.push(Output::Refused(at, reason));
        }
        if at == self.me {
            return;
        }
        let life = Life::from_le_bytes(head.life);
        match self.view.as_ref().map(|v| (v.number, v.lineage, v.rooted, v.holds(at, life))) {
            None => self.take_outside(now, at, &head, body),
            Some((number, lineage, rooted, holds)) => {
                if head.view != 0 && head.lineage() != lineage {
                    // Two that were founded apart: one whose view is in force never gives way.
                    if !self.attached(now) && (head.rooted || !rooted && head.lineage() > lineage) {
                        self.leave(now);
                        self.sponsor = Some((at, now));
                    } else if Self::due(&mut self.told, now, at, TELL) {
                        self.send(now, at, Body::Beat);
                    }
                    return;
                }
                self.take_inside(now, at, life, &head, body, (number, holds));
            }
        }
    }

    fn take_outside(&mut self, now: Nanos, at: Seat, head: &Head, body: Body) {
        let life = Life::from_le_bytes(head.life);
        let me = (self.me, self.life);
        let roster = self.roster.len();
        if head.view == 0 {
            self.founding.hear(now, at, life);
            self.sponsor = self.sponsor.filter(|(s, _)| *s != at);
        } else {
            self.founding.gone(at);
            self.sponsor = Some((at, now));
        }
        match body {
            Body::Challenge(cookie) => {
                self.given.insert(at, cookie);
                self.send(now, at, Body::Join(cookie));
            }
            Body::Found(digest) if head.view == 0 && self.founding.agrees(now, me, roster, at, digest) => {
                self.send(now, at, Body::Founded(digest));
            }
            Body::Founded(digest) if head.view == 0 => {
                if let Some(founders) = self.founding.agreed(now, me, roster, at, digest) {
                    self.adopt(now, View::found(founders, roster));
                }
            }
            Body::Piece(..) => self.take_piece(now, at, head, body),
            _ if head.view != 0 && Self::due(&mut self.asked, now, at, TELL) => {
                let from = self.fetched((head.view, head.lineage()));
                self.send(now, at, Body::Want(from));
            }
            _ => {}
        }
    }

    /// How many members of a view have been fetched.
    fn fetched(&mut self, view: (u64, u16)) -> u16 {
        self.fetch.as_ref().filter(|f| f.view == view).map_or(0, |f| f.members.len() as u16)
    }

    fn take_inside(
        &mut self,
        now: Nanos,
        at: Seat,
        life: Life,
        head: &Head,
        body: Body,
        (number, holds): (u64, bool),
    ) {
        if holds {
            self.watch.hear(now, at);
        }
        if head.view > number {
            if matches!(body, Body::Change(..) | Body::Piece(..)) {
                return self.catch_up(now, at, head, body);
            }
            if Self::due(&mut self.asked, now, at, TELL) {
                let from = self.fetched((head.view, head.lineage()));
                self.send(now, at, Body::Want(from));
            }
            return;
        }
        if head.view == 0 && !holds && self.dead_view(at) {
            return self.leave(now);
        }
        match body {
            Body::Want(from) => return self.give(now, at, head.view, from),
            Body::Join(cookie) if !holds => return self.join(now, at, life, cookie),
            _ => {}
        }
        if head.view < number {
            if !holds && head.view == 0 {
                return;
            }
            if !holds {
                self.out.push(Output::Refused(at, Reason::Life));
            }
            if Self::due(&mut self.told, now, at, TELL) {
                self.send(now, at, Body::Beat);
            }
            // What a member says of others counts in its own view only.
            if !matches!(body, Body::Probe(_) | Body::Alive(_)) {
                return;
            }
        }
        if holds {
            self.take_as_member(now, at, life, body);
        }
    }

    /// Another life speaks from a seat: whether with it so many of the council are gone that this view can never end.
    fn dead_view(&mut self, at: Seat) -> bool {
        if self.council_seats.contains(&at) {
            self.replaced.insert(at);
        }
        !quorum(&self.council_seats, |s| !self.replaced.contains(&s))
    }

    fn take_as_member(&mut self, now: Nanos, at: Seat, life: Life, body: Body) {
        match body {
            Body::Ask(subject) => self.send(now, subject, Body::Probe(at)),
            Body::Probe(asker) => self.send(now, at, Body::Alive(asker)),
            Body::Alive(asker) => self.send(now, asker, Body::Seen(at, life.to_le_bytes())),
            Body::Seen(seat, life) => {
                if self.view.as_ref().is_some_and(|v| v.holds(seat, Life::from_le_bytes(life))) {
                    self.watch.hear_of(seat);
                }
            }
            Body::Accuse(accused) => {
                if let Some(council) = &mut self.council {
                    council.accuse(now, at, accused);
                }
            }
            Body::Joiner(seat, life) => {
                if let Some(council) = &mut self.council {
                    council.join(now, seat, Life::from_le_bytes(life));
                }
            }
            Body::Ping(asked) => self.pong(now, at, asked),
            Body::Pong(asked, age) => {
                // A stamp from before this life is none of its own.
                if asked <= now {
                    self.lease.confirmed(at, asked);
                    if age != u32::MAX && self.council.is_none() {
                        self.lease.heard(asked, Nanos::from(age) * MS);
                    }
                }
            }
            body => {
                let watch = &self.watch;
                let Some(council) = &mut self.council else { return };
                let words = council.hear(now, at, body, |s| watch.vouches(now, s));
                self.carry(now, words);
            }
        }
    }

    /// The council's word that the view is in force, where it is; to one of the council, that this one thinks so.
    fn pong(&mut self, now: Nanos, at: Seat, asked: Nanos) {
        let Some(council) = &self.council else { return };
        if !council.in_force() {
            return;
        }
        let age = self.lease.age(now).and_then(|age| u32::try_from(age.div_ceil(MS)).ok());
        let to_council = council.seats().contains(&at);
        match age {
            Some(age) => self.send(now, at, Body::Pong(asked, age)),
            None if to_council => self.send(now, at, Body::Pong(asked, u32::MAX)),
            None => {}
        }
    }

    fn join(&mut self, now: Nanos, at: Seat, life: Life, cookie: u64) {
        if !self.cookies.1.contains(&cookie) {
            let cookie = self.cookies.1[0];
            return self.send(now, at, Body::Challenge(cookie));
        }
        if !Self::due(&mut self.passed_on, now, at, PASS_ON) {
            return;
        }
        if let Some(council) = &mut self.council {
            council.join(now, at, life);
        }
        self.tell_council(now, &Body::Joiner(at, life.to_le_bytes()));
    }

    /// What leads from that view to this one's, or a piece of this one's.
    fn give(&mut self, now: Nanos, at: Seat, theirs: u64, from: u16) {
        if let Some((_, cut)) = self.cuts.iter().find(|(number, _)| *number == theirs && from == 0) {
            let cut = cut.clone();
            return self.send(now, at, Body::Change(theirs, cut));
        }
        let Some(view) = &self.view else { return };
        let members = view.members.iter().skip(usize::from(from)).take(PIECE);
        let piece = members.map(|(seat, life)| (*seat, life.to_le_bytes())).collect();
        let total = view.members.len() as u16;
        self.send(now, at, Body::Piece(from, total, piece));
    }

    fn catch_up(&mut self, now: Nanos, at: Seat, head: &Head, body: Body) {
        match body {
            Body::Change(base, cut) => {
                if self.view.as_ref().is_none_or(|v| v.number != base) {
                    return;
                }
                self.step(now, &cut);
                if self.view.as_ref().is_some_and(|v| v.number < head.view) {
                    self.send(now, at, Body::Want(0));
                }
            }
            body => self.take_piece(now, at, head, body),
        }
    }

    fn take_piece(&mut self, now: Nanos, at: Seat, head: &Head, body: Body) {
        let Body::Piece(from, total, members) = body else { return };
        let view = (head.view, head.lineage());
        if head.view == 0 || usize::from(total) > self.roster.len() {
            return;
        }
        if self.fetch.as_ref().is_none_or(|f| f.view != view) {
            let newer = self.fetch.as_ref().is_none_or(|f| f.view.0 < view.0 || f.view.1 != view.1);
            if !newer || from != 0 {
                return;
            }
            let (rooted, total) = (head.rooted, usize::from(total));
            self.fetch = Some(Fetch { view, rooted, total, members: BTreeMap::new() });
        }
        let Some(fetch) = &mut self.fetch else { return };
        if usize::from(from) != fetch.members.len() {
            return;
        }
        fetch.members.extend(members.iter().map(|(s, l)| (*s, Life::from_le_bytes(*l))));
        if fetch.members.len() < fetch.total {
            let next = fetch.members.len() as u16;
            return self.send(now, at, Body::Want(next));
        }
        let Some(Fetch { view: (number, lineage), rooted, members, .. }) = self.fetch.take() else { return };
        let view = View { number, lineage, rooted, members };
        if view.holds(self.me, self.life) || self.view.is_some() {
            self.adopt(now, view);
        }
    }
}
