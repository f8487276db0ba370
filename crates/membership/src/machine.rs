//! One member: datagrams and time in, datagrams and changes out.

use crate::council::{Council, To};
use crate::defect::{Defect, Planted};
use crate::founding::Founding;
use crate::lease::Lease;
use crate::view::{quorum, Cut, MemberId, Roster, View};
use crate::watch::{Watch, HEARTBEAT_INTERVAL};
use crate::wire::{Body, Datagram, Head, CHUNK_MEMBERS, MAX_SUSPECTS, VERSION};
use crate::{Incarnation, Nanos, MS, TICK_INTERVAL};
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

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// It has another version of the protocol.
    Version(u8),
    /// It belongs to another site.
    OtherSite,
    /// The sender has another roster.
    OtherRoster,
    /// It claims an ID that the roster has at another address, or is addressed to another member.
    AddressMismatch,
    /// The sender is an older incarnation of a current member.
    Incarnation,
}

impl std::fmt::Display for RejectReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RejectReason::Version(v) => {
                write!(f, "it speaks version {v} of the messages, this program {VERSION}")
            }
            RejectReason::OtherSite => f.write_str("it belongs to another site"),
            RejectReason::OtherRoster => f.write_str("its list of members is another one"),
            RejectReason::AddressMismatch => f.write_str("it claims a name whose address is another one"),
            RejectReason::Incarnation => f.write_str("it is an older incarnation of that name"),
        }
    }
}

/// An action or event that the caller has to handle.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this datagram.
    Send(MemberId, Vec<u8>),
    /// A new view was installed.
    ViewChanged(View),
    /// This member is no longer in a view.
    Removed,
    /// A datagram of this sender was rejected.
    Rejected(MemberId, RejectReason),
}

/// A view that is being fetched in pieces.
#[derive(Debug)]
struct Fetch {
    view: (u64, u16),
    is_primary: bool,
    total: usize,
    members: BTreeMap<MemberId, Incarnation>,
}

/// One member.
#[derive(Debug)]
pub struct Machine {
    site: u16,
    roster: Roster,
    tag: u16,
    me: MemberId,
    incarnation: Incarnation,
    random: Pcg64Mcg,
    planted: Planted,
    view: Option<View>,
    observers: Vec<MemberId>,
    council_members: Vec<MemberId>,
    council: Option<Council>,
    founding: Founding,
    watch: Watch,
    lease: Lease,
    cuts: VecDeque<(u64, Cut)>,
    fetch: Option<Fetch>,
    /// A member of a view that this one is not in.
    sponsor: Option<(MemberId, Nanos)>,
    /// MemberSet of the council whose incarnation in this view is gone: another one speaks from there.
    replaced: BTreeSet<MemberId>,
    cookies: (Nanos, [u64; 2]),
    /// The last cookie that a seat has given.
    given: BTreeMap<MemberId, u64>,
    told: BTreeMap<MemberId, Nanos>,
    asked: BTreeMap<MemberId, Nanos>,
    passed_on: BTreeMap<MemberId, Nanos>,
    /// When anything last went to a seat: whatever that was, it says that this one is there.
    spoken: BTreeMap<MemberId, Nanos>,
    pinged: Option<Nanos>,
    accused: (Nanos, Vec<MemberId>),
    called_out: Nanos,
    out: Vec<Output>,
}

impl Machine {
    /// The member `me` of an installation. All that is drawn follows from the seed, which has to be another at each start.
    pub fn new(site: &str, roster: Roster, me: MemberId, seed: [u8; 16], now: Nanos) -> Machine {
        let mut random = Pcg64Mcg::from_seed(seed);
        let (incarnation, cookies) = (random.next_u32(), [random.next_u64(), random.next_u64()]);
        let start = random.next_u32() as usize % roster.len();
        Machine {
            site: crate::view::stable_text_hash(site) as u16,
            tag: roster.tag(),
            roster,
            me,
            incarnation,
            random,
            planted: Planted::default(),
            view: None,
            observers: Vec::new(),
            council_members: Vec::new(),
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
            self.incarnation = Incarnation::from(self.me) + 1;
        }
    }

    /// Its seat.
    pub fn id(&self) -> MemberId {
        self.me
    }

    /// Its incarnation. It is another one after it was put out of a view.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
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
    pub fn holds_lease(&self, now: Nanos) -> bool {
        self.view.as_ref().is_some_and(|v| v.is_primary) && self.lease.age(now).is_some()
    }

    /// The part of something that all members share that this one may use now, from 0 to 1.
    pub fn share(&self, now: Nanos) -> f64 {
        let (is_primary, members) =
            self.view.as_ref().map_or((false, 1), |v| (v.is_primary, v.members.len()));
        if self.planted.is(Defect::SmallerCount) && self.view.is_some() {
            return 1.0 / members as f64;
        }
        self.lease.share(now, is_primary, members, self.roster.len())
    }

    /// For people: whom it watches and how long each has been silent.
    pub fn silent_times(&self) -> impl Iterator<Item = (MemberId, Nanos)> + '_ {
        self.watch.silent_times()
    }

    /// For people: who accuses a member, as far as this one has a seat on the council.
    pub fn suspected_by(&self, now: Nanos, member: MemberId) -> BTreeSet<MemberId> {
        self.council.as_ref().map_or_else(BTreeSet::new, |c| c.suspected_by(now, member))
    }

    /// Whom it accuses of silence.
    pub fn suspects(&self) -> &[MemberId] {
        &self.accused.1
    }

    /// Times that this process was itself paused.
    pub fn pause_count(&self) -> u64 {
        self.watch.pause_count()
    }

    fn send(&mut self, now: Nanos, to: MemberId, body: Body) {
        let (view, lineage, is_primary) =
            self.view.as_ref().map_or((0, 0, false), |v| (v.number, v.lineage, v.is_primary));
        let head = Head {
            version: VERSION,
            site: self.site.to_le_bytes(),
            roster: self.tag.to_le_bytes(),
            from: self.me,
            to,
            incarnation: self.incarnation.to_le_bytes(),
            view,
            lineage: lineage.to_le_bytes(),
            is_primary,
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
                To::One(member, body) if member == self.me => {
                    let watch = &self.watch;
                    if let Some(council) = &mut self.council {
                        words.extend(council.hear(now, member, body, |s| watch.vouches(now, s)));
                    }
                }
                To::One(member, body) => self.send(now, member, body),
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
        self.tell_council(now, &Body::ViewChange(number, cut.clone()));
        self.view = Some(view);
        self.step(now, &cut);
    }

    fn tell_council(&mut self, now: Nanos, body: &Body) {
        for member in self.council_members.clone() {
            if member != self.me {
                self.send(now, member, body.clone());
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
        if !view.contains(self.me, self.incarnation) {
            self.leave(now);
            return;
        }
        let changed: Vec<MemberId> = match &self.view {
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
        self.council_members = view.council();
        let seats = self.council_members.clone();
        self.council = seats.contains(&self.me).then(|| Council::new(self.me, &view, seats, observers));
        (self.fetch, self.sponsor, self.pinged) = (None, None, None);
        self.replaced.clear();
        self.accused = (0, Vec::new());
        self.view = Some(view.clone());
        self.out.push(Output::ViewChanged(view));
        // Some hear of it at once, and tell others by their beats.
        let others: Vec<MemberId> = self.some_members(HELPERS, self.me);
        others.into_iter().for_each(|s| self.send(now, s, Body::Heartbeat));
    }

    /// Out of its view, it comes back as another incarnation.
    fn leave(&mut self, now: Nanos) {
        self.incarnation = self.random.next_u32();
        self.view = None;
        self.council = None;
        self.council_members.clear();
        self.observers.clear();
        self.watch.over(BTreeSet::new(), |_| false);
        self.lease = Lease::default();
        self.cuts.clear();
        // In no view it accuses nobody.
        self.accused = (now, Vec::new());
        self.fetch = None;
        self.founding = Founding::new(now, usize::from(self.me));
        self.out.push(Output::Removed);
    }

    fn some_members(&mut self, count: usize, but: MemberId) -> Vec<MemberId> {
        let Some(view) = &self.view else { return Vec::new() };
        let mut seats: Vec<MemberId> =
            view.members.keys().copied().filter(|s| *s != self.me && *s != but).collect();
        for k in 0..count.min(seats.len()) {
            let other = k + self.random.next_u32() as usize % (seats.len() - k);
            seats.swap(k, other);
        }
        seats.truncate(count);
        seats
    }

    /// Whether something may be said to a seat again, after so long.
    fn due(times: &mut BTreeMap<MemberId, Nanos>, now: Nanos, member: MemberId, every: Nanos) -> bool {
        let due = times.get(&member).is_none_or(|at| now.saturating_sub(*at) >= every);
        if due {
            times.insert(member, now);
        }
        due
    }

    /// To be called each [`TICK_INTERVAL`]. Gives what is to be done.
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
            helpers.into_iter().for_each(|h| self.send(now, h, Body::ProbeRequest(subject)));
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

    /// Whoever watches this member hears of it each [`HEARTBEAT_INTERVAL`].
    fn beat(&mut self, now: Nanos) {
        for member in self.observers.clone() {
            if self
                .spoken
                .get(&member)
                .is_none_or(|at| now.saturating_sub(*at) + TICK_INTERVAL / 2 >= HEARTBEAT_INTERVAL)
            {
                self.send(now, member, Body::Heartbeat);
            }
        }
    }

    fn call_out(&mut self, now: Nanos) {
        if now.saturating_sub(self.called_out) < CALL_OUT || self.holds_lease(now) {
            return;
        }
        self.called_out = now;
        let Some(view) = &self.view else { return };
        let mut outside: Vec<MemberId> =
            self.roster.ids().filter(|s| !view.members.contains_key(s)).collect();
        for _ in 0..HELPERS.min(outside.len()) {
            let member = outside.swap_remove(self.random.next_u32() as usize % outside.len());
            self.send(now, member, Body::Heartbeat);
        }
    }

    fn accuse(&mut self, now: Nanos) {
        let mut accused = self.watch.accused(now);
        accused.truncate(MAX_SUSPECTS);
        let again = now.saturating_sub(self.accused.0) >= ACCUSE_EVERY;
        if accused == self.accused.1 && (accused.is_empty() || !again) {
            return;
        }
        self.accused = (now, accused.clone());
        if let Some(council) = &mut self.council {
            council.accuse(now, self.me, accused.clone());
        }
        self.tell_council(now, &Body::Suspect(accused));
    }

    fn ping(&mut self, now: Nanos) {
        if let Some(council) = self.council.as_ref().filter(|c| c.in_force()) {
            self.lease.renew(now, self.me, council.seats());
        }
        let every = if self.council.is_some() { PING_ALL } else { PING };
        if self.pinged.is_some_and(|at| now.saturating_sub(at) + TICK_INTERVAL / 2 < every) {
            return;
        }
        self.pinged = Some(now);
        let others: Vec<MemberId> = self.council_members.iter().copied().filter(|s| *s != self.me).collect();
        if self.council.is_some() {
            others.into_iter().for_each(|s| self.send(now, s, Body::LeaseRequest(now)));
        } else if !others.is_empty() {
            let one = others[self.random.next_u32() as usize % others.len()];
            self.send(now, one, Body::LeaseRequest(now));
        }
    }

    fn look_for_a_view(&mut self, now: Nanos) {
        let me = (self.me, self.incarnation);
        let roster = self.roster.len();
        if roster == 1 {
            return self.adopt(now, View::bootstrap(BTreeMap::from([me]), 1));
        }
        let sponsor = self.sponsor.filter(|(_, at)| now.saturating_sub(*at) < SPONSORS).map(|(s, _)| s);
        let mut calls = self.founding.calls(now, self.me, roster);
        if !calls.is_empty() {
            calls.extend(sponsor.filter(|s| !calls.contains(s)));
        }
        for member in calls {
            let cookie = self.given.get(&member).copied().unwrap_or(0);
            self.send(now, member, Body::Join(cookie));
        }
        if sponsor.is_none() {
            if let Some((seats, digest)) = self.founding.ask(now, me, roster) {
                for member in seats {
                    if Self::due(&mut self.asked, now, member, TELL) {
                        self.send(now, member, Body::BootstrapProposal(digest));
                    }
                }
            }
        }
    }

    /// Takes a datagram that came from that seat's address. Gives what is to be done.
    pub fn receive(&mut self, now: Nanos, at: MemberId, bytes: &[u8]) -> Vec<Output> {
        // A word of another version can be told by its first byte.
        match (Datagram::decode(bytes), bytes.first()) {
            (_, Some(version)) if *version != VERSION => {
                self.out.push(Output::Rejected(at, RejectReason::Version(*version)));
            }
            (Some(datagram), _) => self.take(now, at, datagram),
            _ => {}
        }
        std::mem::take(&mut self.out)
    }

    fn take(&mut self, now: Nanos, at: MemberId, Datagram { head, body }: Datagram) {
        let wrong = [
            (head.site != self.site.to_le_bytes(), RejectReason::OtherSite),
            (head.roster != self.tag.to_le_bytes(), RejectReason::OtherRoster),
            (head.from != at || head.to != self.me, RejectReason::AddressMismatch),
        ];
        if let Some((_, reason)) = wrong.into_iter().find(|(is, _)| *is) {
            return self.out.push(Output::Rejected(at, reason));
        }
        if at == self.me {
            return;
        }
        let incarnation = Incarnation::from_le_bytes(head.incarnation);
        match self.view.as_ref().map(|v| (v.number, v.lineage, v.is_primary, v.contains(at, incarnation))) {
            None => self.take_outside(now, at, &head, body),
            Some((number, lineage, is_primary, holds)) => {
                if head.view != 0 && head.lineage() != lineage {
                    // Two that were founded apart: one whose view is in force never gives way.
                    if !self.holds_lease(now) && (head.is_primary || !is_primary && head.lineage() > lineage)
                    {
                        self.leave(now);
                        self.sponsor = Some((at, now));
                    } else if Self::due(&mut self.told, now, at, TELL) {
                        self.send(now, at, Body::Heartbeat);
                    }
                    return;
                }
                self.take_inside(now, at, incarnation, &head, body, (number, holds));
            }
        }
    }

    fn take_outside(&mut self, now: Nanos, at: MemberId, head: &Head, body: Body) {
        let incarnation = Incarnation::from_le_bytes(head.incarnation);
        let me = (self.me, self.incarnation);
        let roster = self.roster.len();
        if head.view == 0 {
            self.founding.hear(now, at, incarnation);
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
            Body::BootstrapProposal(digest)
                if head.view == 0 && self.founding.agrees(now, me, roster, at, digest) =>
            {
                self.send(now, at, Body::BootstrapAccept(digest));
            }
            Body::BootstrapAccept(digest) if head.view == 0 => {
                if let Some(founders) = self.founding.agreed(now, me, roster, at, digest) {
                    self.adopt(now, View::bootstrap(founders, roster));
                }
            }
            Body::ViewChunk(..) => self.take_piece(now, at, head, body),
            _ if head.view != 0 && Self::due(&mut self.asked, now, at, TELL) => {
                let from = self.fetched((head.view, head.lineage()));
                self.send(now, at, Body::ViewRequest(from));
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
        at: MemberId,
        incarnation: Incarnation,
        head: &Head,
        body: Body,
        (number, holds): (u64, bool),
    ) {
        if holds {
            self.watch.hear(now, at);
        }
        if head.view > number {
            if matches!(body, Body::ViewChange(..) | Body::ViewChunk(..)) {
                return self.catch_up(now, at, head, body);
            }
            if Self::due(&mut self.asked, now, at, TELL) {
                let from = self.fetched((head.view, head.lineage()));
                self.send(now, at, Body::ViewRequest(from));
            }
            return;
        }
        if head.view == 0 && !holds && self.dead_view(at) {
            return self.leave(now);
        }
        match body {
            Body::ViewRequest(from) => return self.give(now, at, head.view, from),
            Body::Join(cookie) if !holds => return self.join(now, at, incarnation, cookie),
            _ => {}
        }
        if head.view < number {
            if !holds && head.view == 0 {
                return;
            }
            if !holds {
                self.out.push(Output::Rejected(at, RejectReason::Incarnation));
            }
            if Self::due(&mut self.told, now, at, TELL) {
                self.send(now, at, Body::Heartbeat);
            }
            // What a member says of others counts in its own view only.
            if !matches!(body, Body::Probe(_) | Body::ProbeAck(_)) {
                return;
            }
        }
        if holds {
            self.take_as_member(now, at, incarnation, body);
        }
    }

    /// Another incarnation speaks from a seat: whether with it so many of the council are gone that this view can never end.
    fn dead_view(&mut self, at: MemberId) -> bool {
        if self.council_members.contains(&at) {
            self.replaced.insert(at);
        }
        !quorum(&self.council_members, |s| !self.replaced.contains(&s))
    }

    fn take_as_member(&mut self, now: Nanos, at: MemberId, incarnation: Incarnation, body: Body) {
        match body {
            Body::ProbeRequest(subject) => self.send(now, subject, Body::Probe(at)),
            Body::Probe(asker) => self.send(now, at, Body::ProbeAck(asker)),
            Body::ProbeAck(asker) => self.send(now, asker, Body::ProbeResult(at, incarnation.to_le_bytes())),
            Body::ProbeResult(member, incarnation) => {
                if self
                    .view
                    .as_ref()
                    .is_some_and(|v| v.contains(member, Incarnation::from_le_bytes(incarnation)))
                {
                    self.watch.hear_of(member);
                }
            }
            Body::Suspect(accused) => {
                if let Some(council) = &mut self.council {
                    council.accuse(now, at, accused);
                }
            }
            Body::ForwardedJoin(member, incarnation) => {
                if let Some(council) = &mut self.council {
                    council.join(now, member, Incarnation::from_le_bytes(incarnation));
                }
            }
            Body::LeaseRequest(asked) => self.pong(now, at, asked),
            Body::LeaseReply(asked, age) => {
                // A stamp from before this incarnation is none of its own.
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
    fn pong(&mut self, now: Nanos, at: MemberId, asked: Nanos) {
        let Some(council) = &self.council else { return };
        if !council.in_force() {
            return;
        }
        let age = self.lease.age(now).and_then(|age| u32::try_from(age.div_ceil(MS)).ok());
        let to_council = council.seats().contains(&at);
        match age {
            Some(age) => self.send(now, at, Body::LeaseReply(asked, age)),
            None if to_council => self.send(now, at, Body::LeaseReply(asked, u32::MAX)),
            None => {}
        }
    }

    fn join(&mut self, now: Nanos, at: MemberId, incarnation: Incarnation, cookie: u64) {
        if !self.cookies.1.contains(&cookie) {
            let cookie = self.cookies.1[0];
            return self.send(now, at, Body::Challenge(cookie));
        }
        if !Self::due(&mut self.passed_on, now, at, PASS_ON) {
            return;
        }
        if let Some(council) = &mut self.council {
            council.join(now, at, incarnation);
        }
        self.tell_council(now, &Body::ForwardedJoin(at, incarnation.to_le_bytes()));
    }

    /// What leads from that view to this one's, or a piece of this one's.
    fn give(&mut self, now: Nanos, at: MemberId, theirs: u64, from: u16) {
        if let Some((_, cut)) = self.cuts.iter().find(|(number, _)| *number == theirs && from == 0) {
            let cut = cut.clone();
            return self.send(now, at, Body::ViewChange(theirs, cut));
        }
        let Some(view) = &self.view else { return };
        let members = view.members.iter().skip(usize::from(from)).take(CHUNK_MEMBERS);
        let piece = members.map(|(member, incarnation)| (*member, incarnation.to_le_bytes())).collect();
        let total = view.members.len() as u16;
        self.send(now, at, Body::ViewChunk(from, total, piece));
    }

    fn catch_up(&mut self, now: Nanos, at: MemberId, head: &Head, body: Body) {
        match body {
            Body::ViewChange(base, cut) => {
                if self.view.as_ref().is_none_or(|v| v.number != base) {
                    return;
                }
                self.step(now, &cut);
                if self.view.as_ref().is_some_and(|v| v.number < head.view) {
                    self.send(now, at, Body::ViewRequest(0));
                }
            }
            body => self.take_piece(now, at, head, body),
        }
    }

    fn take_piece(&mut self, now: Nanos, at: MemberId, head: &Head, body: Body) {
        let Body::ViewChunk(from, total, members) = body else { return };
        let view = (head.view, head.lineage());
        if head.view == 0 || usize::from(total) > self.roster.len() {
            return;
        }
        if self.fetch.as_ref().is_none_or(|f| f.view != view) {
            let newer = self.fetch.as_ref().is_none_or(|f| f.view.0 < view.0 || f.view.1 != view.1);
            if !newer || from != 0 {
                return;
            }
            let (is_primary, total) = (head.is_primary, usize::from(total));
            self.fetch = Some(Fetch { view, is_primary, total, members: BTreeMap::new() });
        }
        let Some(fetch) = &mut self.fetch else { return };
        if usize::from(from) != fetch.members.len() {
            return;
        }
        fetch.members.extend(members.iter().map(|(s, l)| (*s, Incarnation::from_le_bytes(*l))));
        if fetch.members.len() < fetch.total {
            let next = fetch.members.len() as u16;
            return self.send(now, at, Body::ViewRequest(next));
        }
        let Some(Fetch { view: (number, lineage), is_primary, members, .. }) = self.fetch.take() else {
            return;
        };
        let view = View { number, lineage, is_primary, members };
        if view.contains(self.me, self.incarnation) || self.view.is_some() {
            self.adopt(now, view);
        }
    }
}
