//! One node's replica: datagrams, words and time in, datagrams and changes out.

use crate::defect::{Defect, Planted};
use crate::entry::{BanChange, Bans, Dot, Drain, Entry, Key, Writer, MAX_NAME_BYTES};
use crate::link::Link;
use crate::snapshot::{FetchStep, LearnedSnapshot, SnapshotFetcher};
use crate::store::{CapacityError, Store};
use crate::wire::{items, Body, Datagram, Head, Item, VERSION};
use laurelroute_membership::{Incarnation, MemberId, Nanos, Roster, View, MS};
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

/// Why a ban or an unban is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BanError {
    /// The store has no room.
    #[error("{0}")]
    Full(#[from] CapacityError),
    /// The server's name is empty or too long.
    #[error("a name has 1 to {MAX_NAME_BYTES} bytes")]
    InvalidName,
}

/// An action or event that the caller has to handle.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this datagram.
    Send(MemberId, Vec<u8>),
    /// An entry has changed.
    Changed(Key),
    /// An unban made at this member has no effect because of a concurrent ban.
    UnbanOverridden(Key),
    /// This store has every entry that a neighbour has.
    CaughtUp,
    /// Reply to [`Machine::query_holders`]: the member, the query's number, and whether it holds the entry.
    HolderReply(MemberId, u32, bool),
    /// A member sent a datagram of this other protocol version.
    VersionMismatch(MemberId, u8),
    /// An entry was dropped because the store is full.
    StoreFull(Key),
    /// A member requests the learned state: the number of the snapshot that it has in part, and the first row that it
    /// lacks. Answered by [`Machine::send_snapshot`].
    SnapshotRequested(MemberId, u32, u32),
    /// The complete snapshot of that member was received.
    SnapshotReceived(MemberId, LearnedSnapshot),
}

/// A replica.
#[derive(Debug)]
pub struct Machine {
    site: u16,
    tag: u16,
    me: MemberId,
    writer: Writer,
    number: u64,
    /// The incarnation that the view has for this member.
    incarnation: Incarnation,
    members: BTreeMap<MemberId, Incarnation>,
    links: BTreeMap<MemberId, Link>,
    store: Store,
    caught_up: bool,
    /// Since when it is in a view.
    since: Option<Nanos>,
    root_sent_at: Option<Nanos>,
    allowance: (Nanos, u64),
    /// Batches that went to anybody: a link that is made anew goes on from there.
    batches: u32,
    /// As long as it wants to learn from others.
    fetcher: Option<SnapshotFetcher>,
    /// Words of its own that were told of as lost.
    lost: BTreeSet<Dot>,
    planted: Planted,
    out: Vec<Output>,
}

impl Machine {
    /// A member's replica, with a incarnation of its own that tells its words from those of former runs.
    pub fn new(site: &str, roster: &Roster, me: MemberId, incarnation: Incarnation) -> Machine {
        Machine {
            site: laurelroute_membership::view::stable_text_hash(site) as u16,
            tag: roster.tag(),
            me,
            writer: Writer { member: me, incarnation },
            number: 0,
            incarnation,
            members: BTreeMap::new(),
            links: BTreeMap::new(),
            store: Store::default(),
            caught_up: false,
            since: None,
            root_sent_at: None,
            allowance: (0, BURST),
            batches: 0,
            fetcher: None,
            lost: BTreeSet::new(),
            planted: Planted::default(),
            out: Vec::new(),
        }
    }

    /// Does something wrong from now on, for tests.
    pub fn plant(&mut self, planted: Planted) {
        self.planted = planted;
        if planted.is(Defect::SecondWriter) {
            self.writer.incarnation = 1;
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

    /// A view of the members has come into force here; this member has that incarnation in it.
    pub fn apply_view(&mut self, now: Nanos, view: &View, incarnation: Incarnation) -> Vec<Output> {
        self.incarnation = incarnation;
        self.since.get_or_insert(now);
        self.members.clone_from(&view.members);
        let observers = view.observers();
        let near = |member: MemberId| {
            observers.get(&self.me).is_some_and(|o| o.contains(&member))
                || observers.get(&member).is_some_and(|o| o.contains(&self.me))
        };
        let wanted: BTreeMap<MemberId, Incarnation> =
            view.members.iter().filter(|(s, _)| **s != self.me && near(**s)).map(|(s, l)| (*s, *l)).collect();
        self.links.retain(|member, link| wanted.get(member) == Some(&link.incarnation));
        for (member, incarnation) in wanted {
            self.links.entry(member).or_insert_with(|| Link::new(incarnation));
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
    pub fn set_ban(
        &mut self,
        now: Nanos,
        host: &str,
        banned: bool,
        changed_at: u64,
    ) -> Result<Vec<Output>, BanError> {
        if !(1..=MAX_NAME_BYTES).contains(&host.len()) {
            return Err(BanError::InvalidName);
        }
        let number = self.number + 1;
        let key = self
            .store
            .set_ban(host, BanChange { dot: Dot { writer: self.writer, number }, banned, changed_at })?;
        self.number = number;
        self.changed(None, key);
        self.flush(now);
        Ok(std::mem::take(&mut self.out))
    }

    /// What a list of that version says of a server.
    pub fn update_drain(&mut self, now: Nanos, host: &str, drain: Drain) -> Vec<Output> {
        let key = Key::Drain(host.to_owned());
        let known = self.store.drain(host);
        // One that has never drained is no news, nor is what is known.
        let news = known.map_or(drain.drained, |k| k.drained != drain.drained && drain.version >= k.version);
        if key.is_valid() && news {
            self.take(None, key, Entry::Drain(drain));
            self.flush(now);
        }
        std::mem::take(&mut self.out)
    }

    /// Members that are known to have an entry as it is here.
    pub fn holder_count(&self, key: &Key) -> usize {
        self.links.values().filter(|link| link.has(key)).count()
    }

    /// Asks all members whether they have an entry as it is here; they answer under that number.
    pub fn query_holders(&mut self, number: u32, key: &Key) -> Vec<Output> {
        let mark = self.store.entry_digest(key);
        let others: Vec<MemberId> = self.members.keys().copied().filter(|s| *s != self.me).collect();
        others.into_iter().for_each(|member| self.send(member, Body::EntryQuery(number, key.clone(), mark)));
        std::mem::take(&mut self.out)
    }

    /// This member starts with nothing, and asks others what they have learnt.
    pub fn request_snapshot(&mut self) {
        self.fetcher = Some(SnapshotFetcher::default());
    }

    /// Tells a member that has asked what this one has learnt, from that row on; as far as the allowance goes, and it asks
    /// again.
    pub fn send_snapshot(&mut self, to: MemberId, snapshot: &LearnedSnapshot, first: u32) -> Vec<Output> {
        for piece in snapshot.pieces(first) {
            if self.allowance.1 == 0 {
                break;
            }
            self.send(to, piece);
        }
        std::mem::take(&mut self.out)
    }

    fn study(&mut self, step: FetchStep) {
        match step {
            FetchStep::Request(member, question) => self.send(member, question),
            FetchStep::Wait => {}
            FetchStep::Complete(member, snapshot) => {
                self.fetcher = None;
                self.out.push(Output::SnapshotReceived(member, snapshot));
            }
            FetchStep::GaveUp => self.fetcher = None,
        }
    }

    fn catch_up(&mut self) {
        if !std::mem::replace(&mut self.caught_up, true) {
            self.out.push(Output::CaughtUp);
        }
    }

    fn send(&mut self, to: MemberId, body: Body) {
        let Some(to_incarnation) = self.members.get(&to) else { return };
        let head = Head {
            version: VERSION,
            site: self.site.to_le_bytes(),
            roster: self.tag.to_le_bytes(),
            from: self.me,
            to,
            incarnation: self.incarnation.to_le_bytes(),
            to_incarnation: to_incarnation.to_le_bytes(),
        };
        if let Some(bytes) = (Datagram { head, body }).encode() {
            self.allowance.1 = self.allowance.1.saturating_sub(bytes.len() as u64);
            self.out.push(Output::Send(to, bytes));
        }
    }

    /// An entry has changed: all neighbours but the one that it came from have to hear of it.
    fn changed(&mut self, from: Option<MemberId>, key: Key) {
        self.links
            .iter_mut()
            .filter(|(member, _)| Some(**member) != from)
            .for_each(|(_, link)| link.owe(&key));
        let lost = match self.store.get(&key) {
            Some(Entry::Bans(bans)) => {
                bans.overridden_unban().map(|w| w.dot).filter(|d| d.writer == self.writer)
            }
            _ => None,
        };
        if lost.is_some_and(|dot| self.lost.insert(dot)) {
            self.out.push(Output::UnbanOverridden(key.clone()));
        }
        self.out.push(Output::Changed(key));
    }

    fn take(&mut self, from: Option<MemberId>, key: Key, entry: Entry) {
        if !key.is_valid() || !entry.is_valid_for(&key) {
            return;
        }
        match self.store.merge(&key, entry, self.planted.is(Defect::WallClock)) {
            Ok(taken) => {
                if let Some(link) = from.and_then(|member| self.links.get_mut(&member)) {
                    if taken.has_more {
                        link.owe(&key)
                    } else {
                        link.settle(&key)
                    }
                }
                if taken.changed {
                    self.changed(from, key);
                }
            }
            Err(CapacityError::TooManyEntries) => self.out.push(Output::StoreFull(key)),
        }
    }

    /// To be called each [`laurelroute_membership::TICK_INTERVAL`].
    pub fn tick(&mut self, now: Nanos) -> Vec<Output> {
        if self.root_sent_at.is_none_or(|at| now.saturating_sub(at) >= ROOT) {
            self.root_sent_at = Some(now);
            let root = self.store.root_digest();
            let idle: Vec<MemberId> = self.links.iter().filter(|(_, l)| l.idle()).map(|(s, _)| *s).collect();
            idle.into_iter().for_each(|member| self.send(member, Body::RootDigest(root)));
        }
        let long = self.since.is_some_and(|at| now.saturating_sub(at) >= GRACE);
        if long && self.links.values().all(Link::heard_done) {
            self.catch_up();
        }
        if self.planted.is(Defect::ForgetsEarly) {
            self.forget_early();
        }
        if let Some(step) = self.fetcher.as_mut().map(|s| s.tick(now, self.me, &self.members)) {
            self.study(step);
        }
        self.flush(now);
        std::mem::take(&mut self.out)
    }

    /// For tests.
    fn forget_early(&mut self) {
        let all = |key: &Key| self.links.values().all(|l| l.has(key)) && !self.links.is_empty();
        let idle = |(key, entry): &(&Key, &Entry)| {
            matches!(key, Key::Ban(_)) && !entry.excludes_server() && all(key)
        };
        let forgotten: Vec<Key> = self.store.entries().filter(idle).map(|(key, _)| key.clone()).collect();
        forgotten.iter().for_each(|key| self.store.remove(key));
    }

    /// Sends what is owed, as far as the allowance goes.
    fn flush(&mut self, now: Nanos) {
        let (since, left) = self.allowance;
        let earned = now.saturating_sub(since).min(1_000 * MS) * RATE / (1_000 * MS);
        if earned > 0 {
            self.allowance = (now, (left + earned).min(BURST));
        }
        for member in self.links.keys().copied().collect::<Vec<_>>() {
            if self.allowance.1 == 0 {
                return;
            }
            let Some(link) = self.links.get_mut(&member) else { continue };
            let words = link.send(now, &self.store, self.caught_up, &mut self.batches);
            words.into_iter().for_each(|body| self.send(member, body));
        }
    }

    /// Takes a datagram that came from that seat's address.
    pub fn receive(&mut self, now: Nanos, at: MemberId, bytes: &[u8]) -> Vec<Output> {
        match (Datagram::decode(bytes), bytes.first()) {
            (_, Some(version)) if *version != VERSION => self.out.push(Output::VersionMismatch(at, *version)),
            (Some(datagram), _) => self.hear(now, at, datagram),
            _ => {}
        }
        self.flush(now);
        std::mem::take(&mut self.out)
    }

    fn hear(&mut self, now: Nanos, at: MemberId, Datagram { head, body }: Datagram) {
        let incarnation = Incarnation::from_le_bytes(head.incarnation);
        let ours = head.site == self.site.to_le_bytes()
            && head.roster == self.tag.to_le_bytes()
            && (head.from, head.to, head.to_incarnation) == (at, self.me, self.incarnation.to_le_bytes())
            && self.members.get(&at) == Some(&incarnation);
        if !ours {
            return;
        }
        match body {
            Body::EntryQuery(number, key, mark) => {
                let same = self.store.get(&key).is_some() && self.store.entry_digest(&key) == mark;
                self.send(at, Body::EntryReply(number, same));
            }
            Body::EntryReply(number, same) => self.out.push(Output::HolderReply(at, number, same)),
            Body::SnapshotRequest(number, first) => {
                self.out.push(Output::SnapshotRequested(at, number, first))
            }
            body @ (Body::SnapshotSummary(..) | Body::SnapshotRows(..)) => {
                if let Some(step) = self.fetcher.as_mut().map(|s| s.hear(now, at, incarnation, body)) {
                    self.study(step);
                }
            }
            body => self.hear_near(now, at, incarnation, body),
        }
    }

    fn hear_near(&mut self, now: Nanos, at: MemberId, incarnation: Incarnation, body: Body) {
        let Some(link) = self.links.get_mut(&at).filter(|l| l.incarnation == incarnation) else { return };
        match body {
            Body::RootDigest(theirs) if theirs != self.store.root_digest() => link.differs(now),
            Body::BatchAck(number, lacking) => link.took(number, lacking),
            Body::BatchPart(number, part, of, bytes) => {
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

    fn hear_item(&mut self, at: MemberId, item: Item) {
        match item {
            Item::Entry(key, entry) => self.take(Some(at), key, entry),
            Item::BucketDigests(theirs, back) => {
                if let Some(link) = self.links.get_mut(&at) {
                    link.compare(&self.store, &theirs, back);
                }
            }
            Item::SyncComplete(caught_up) => {
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
