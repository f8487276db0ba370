//! The state machine of one node's replica: takes datagrams, changes and time, returns datagrams and events.

use crate::defect::{Defect, Planted};
use crate::entry::{BanChange, Bans, Dot, Drain, Entry, Key, Writer, MAX_NAME_BYTES};
use crate::link::Link;
use crate::snapshot::{FetchStep, LearnedSnapshot, SnapshotFetcher};
use crate::store::{CapacityError, Store};
use crate::wire::{decode_items, Body, Datagram, Head, Item, VERSION};
use laurelroute_membership::{Incarnation, MemberId, Nanos, Roster, View, MS};
use std::collections::{BTreeMap, BTreeSet};

/// Interval at which idle neighbours exchange root digests.
const ROOT_DIGEST_INTERVAL: Nanos = 1_000 * MS;
/// If no neighbour reports that it has caught up, this replica counts as caught up once all neighbours have sent
/// their entries and this time has passed since its first view: by then, news from a member that has caught up would
/// have arrived even from further away.
const CATCH_UP_TIMEOUT: Nanos = 1_500 * MS;
/// Rate limit in bytes per second for all neighbours together, whatever their number.
pub const BYTES_PER_SECOND: u64 = 64 * 1024;
/// Burst of the rate limit, in bytes.
const BURST_BYTES: u64 = 32 * 1024;

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

/// The state machine of a replica.
#[derive(Debug)]
pub struct Machine {
    site: u16,
    tag: u16,
    me: MemberId,
    writer: Writer,
    last_change: u64,
    /// This member's incarnation in the current view.
    incarnation: Incarnation,
    members: BTreeMap<MemberId, Incarnation>,
    links: BTreeMap<MemberId, Link>,
    store: Store,
    caught_up: bool,
    /// Since when this member has been in a view.
    joined_at: Option<Nanos>,
    root_sent_at: Option<Nanos>,
    send_budget: (Nanos, u64),
    /// Number of batches sent to any neighbour; a link that is created anew continues the numbering.
    batches_sent: u32,
    /// Present while a snapshot is wanted.
    fetcher: Option<SnapshotFetcher>,
    /// This member's unbans that have been reported as overridden.
    reported_unbans: BTreeSet<Dot>,
    planted: Planted,
    outputs: Vec<Output>,
}

impl Machine {
    /// Creates the replica of a member. The incarnation distinguishes its changes from those of earlier runs.
    pub fn new(site: &str, roster: &Roster, me: MemberId, incarnation: Incarnation) -> Machine {
        Machine {
            site: laurelroute_membership::view::stable_text_hash(site) as u16,
            tag: roster.tag(),
            me,
            writer: Writer { member: me, incarnation },
            last_change: 0,
            incarnation,
            members: BTreeMap::new(),
            links: BTreeMap::new(),
            store: Store::default(),
            caught_up: false,
            joined_at: None,
            root_sent_at: None,
            send_budget: (0, BURST_BYTES),
            batches_sent: 0,
            fetcher: None,
            reported_unbans: BTreeSet::new(),
            planted: Planted::default(),
            outputs: Vec::new(),
        }
    }

    /// Injects a defect, for tests.
    pub fn plant(&mut self, planted: Planted) {
        self.planted = planted;
        if planted.is(Defect::SecondWriter) {
            self.writer.incarnation = 1;
        }
    }

    /// This member's store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Whether this replica has caught up with its neighbours.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Merges the entries that an earlier run stored, before anything else. Outdated ones are corrected by the
    /// neighbours.
    pub fn restore(&mut self, entries: Vec<(Key, Entry)>) -> Vec<Output> {
        entries.into_iter().for_each(|(key, entry)| self.merge(None, key, entry));
        std::mem::take(&mut self.outputs)
    }

    /// Applies a new view, in which this member has this incarnation.
    pub fn apply_view(&mut self, now: Nanos, view: &View, incarnation: Incarnation) -> Vec<Output> {
        self.incarnation = incarnation;
        self.joined_at.get_or_insert(now);
        self.members.clone_from(&view.members);
        let observers = view.observers();
        let is_neighbour = |member: MemberId| {
            observers.get(&self.me).is_some_and(|o| o.contains(&member))
                || observers.get(&member).is_some_and(|o| o.contains(&self.me))
        };
        let wanted: BTreeMap<MemberId, Incarnation> = view
            .members
            .iter()
            .filter(|(s, _)| **s != self.me && is_neighbour(**s))
            .map(|(s, l)| (*s, *l))
            .collect();
        self.links.retain(|member, link| wanted.get(member) == Some(&link.incarnation));
        for (member, incarnation) in wanted {
            self.links.entry(member).or_insert_with(|| Link::new(incarnation));
        }
        if self.links.is_empty() || self.planted.is(Defect::ReadyEarly) {
            self.set_caught_up();
        }
        self.flush(now);
        std::mem::take(&mut self.outputs)
    }

    /// Leaves the view: there are no members to communicate with.
    pub fn leave(&mut self) {
        self.links.clear();
        self.members.clear();
        self.joined_at = None;
    }

    /// Bans or unbans a server, on behalf of an operator at this member.
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
        let number = self.last_change + 1;
        let key = self
            .store
            .set_ban(host, BanChange { dot: Dot { writer: self.writer, number }, banned, changed_at })?;
        self.last_change = number;
        self.spread_change(None, key);
        self.flush(now);
        Ok(std::mem::take(&mut self.outputs))
    }

    /// Updates a server's status from a version of the discovery list.
    pub fn update_drain(&mut self, now: Nanos, host: &str, drain: Drain) -> Vec<Output> {
        let key = Key::Drain(host.to_owned());
        let known = self.store.drain(host);
        // A server that has never drained, or whose status is known, is no change.
        let is_change =
            known.map_or(drain.drained, |k| k.drained != drain.drained && drain.version >= k.version);
        if key.is_valid() && is_change {
            self.merge(None, key, Entry::Drain(drain));
            self.flush(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Number of neighbours that are known to have an entry as it is here.
    pub fn holder_count(&self, key: &Key) -> usize {
        self.links.values().filter(|link| link.has(key)).count()
    }

    /// Asks all members whether they have an entry as it is here; the replies carry this number.
    pub fn query_holders(&mut self, number: u32, key: &Key) -> Vec<Output> {
        let digest = self.store.entry_digest(key);
        let others: Vec<MemberId> = self.members.keys().copied().filter(|s| *s != self.me).collect();
        others
            .into_iter()
            .for_each(|member| self.send(member, Body::EntryQuery(number, key.clone(), digest)));
        std::mem::take(&mut self.outputs)
    }

    /// Starts to fetch the learned state of another member.
    pub fn request_snapshot(&mut self) {
        self.fetcher = Some(SnapshotFetcher::default());
    }

    /// Sends the rows of a snapshot from `first` on to a member that requested them, as far as the rate limit allows;
    /// the member requests the rest again.
    pub fn send_snapshot(&mut self, to: MemberId, snapshot: &LearnedSnapshot, first: u32) -> Vec<Output> {
        for message in snapshot.messages(first) {
            if self.send_budget.1 == 0 {
                break;
            }
            self.send(to, message);
        }
        std::mem::take(&mut self.outputs)
    }

    fn fetch_step(&mut self, step: FetchStep) {
        match step {
            FetchStep::Request(member, request) => self.send(member, request),
            FetchStep::Wait => {}
            FetchStep::Complete(member, snapshot) => {
                self.fetcher = None;
                self.outputs.push(Output::SnapshotReceived(member, snapshot));
            }
            FetchStep::GaveUp => self.fetcher = None,
        }
    }

    fn set_caught_up(&mut self) {
        if !std::mem::replace(&mut self.caught_up, true) {
            self.outputs.push(Output::CaughtUp);
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
            self.send_budget.1 = self.send_budget.1.saturating_sub(bytes.len() as u64);
            self.outputs.push(Output::Send(to, bytes));
        }
    }

    /// Marks a changed entry to be sent to all neighbours except the one that it came from, and reports it.
    fn spread_change(&mut self, from: Option<MemberId>, key: Key) {
        self.links
            .iter_mut()
            .filter(|(member, _)| Some(**member) != from)
            .for_each(|(_, link)| link.mark_pending(&key));
        let overridden = match self.store.get(&key) {
            Some(Entry::Bans(bans)) => {
                bans.overridden_unban().map(|c| c.dot).filter(|d| d.writer == self.writer)
            }
            _ => None,
        };
        if overridden.is_some_and(|dot| self.reported_unbans.insert(dot)) {
            self.outputs.push(Output::UnbanOverridden(key.clone()));
        }
        self.outputs.push(Output::Changed(key));
    }

    fn merge(&mut self, from: Option<MemberId>, key: Key, entry: Entry) {
        if !key.is_valid() || !entry.is_valid_for(&key) {
            return;
        }
        match self.store.merge(&key, entry, self.planted.is(Defect::WallClock)) {
            Ok(merged) => {
                if let Some(link) = from.and_then(|member| self.links.get_mut(&member)) {
                    if merged.has_more {
                        link.mark_pending(&key)
                    } else {
                        link.mark_settled(&key)
                    }
                }
                if merged.changed {
                    self.spread_change(from, key);
                }
            }
            Err(CapacityError::TooManyEntries) => self.outputs.push(Output::StoreFull(key)),
        }
    }

    /// Advances the time. Has to be called every [`laurelroute_membership::TICK_INTERVAL`].
    pub fn tick(&mut self, now: Nanos) -> Vec<Output> {
        if self.root_sent_at.is_none_or(|at| now.saturating_sub(at) >= ROOT_DIGEST_INTERVAL) {
            self.root_sent_at = Some(now);
            let root = self.store.root_digest();
            let idle: Vec<MemberId> =
                self.links.iter().filter(|(_, l)| l.is_idle()).map(|(s, _)| *s).collect();
            idle.into_iter().for_each(|member| self.send(member, Body::RootDigest(root)));
        }
        let timed_out = self.joined_at.is_some_and(|at| now.saturating_sub(at) >= CATCH_UP_TIMEOUT);
        if timed_out && self.links.values().all(Link::sync_received) {
            self.set_caught_up();
        }
        if self.planted.is(Defect::ForgetsEarly) {
            self.remove_early();
        }
        if let Some(step) = self.fetcher.as_mut().map(|s| s.tick(now, self.me, &self.members)) {
            self.fetch_step(step);
        }
        self.flush(now);
        std::mem::take(&mut self.outputs)
    }

    /// Removes unbans that all neighbours have ([`Defect::ForgetsEarly`]).
    fn remove_early(&mut self) {
        let all = |key: &Key| self.links.values().all(|l| l.has(key)) && !self.links.is_empty();
        let idle = |(key, entry): &(&Key, &Entry)| {
            matches!(key, Key::Ban(_)) && !entry.excludes_server() && all(key)
        };
        let removed: Vec<Key> = self.store.entries().filter(idle).map(|(key, _)| key.clone()).collect();
        removed.iter().for_each(|key| self.store.remove(key));
    }

    /// Sends pending batches to the neighbours, as far as the rate limit allows.
    fn flush(&mut self, now: Nanos) {
        let (updated_at, left) = self.send_budget;
        let earned = now.saturating_sub(updated_at).min(1_000 * MS) * BYTES_PER_SECOND / (1_000 * MS);
        if earned > 0 {
            self.send_budget = (now, (left + earned).min(BURST_BYTES));
        }
        for member in self.links.keys().copied().collect::<Vec<_>>() {
            if self.send_budget.1 == 0 {
                return;
            }
            let Some(link) = self.links.get_mut(&member) else { continue };
            let messages = link.send(now, &self.store, self.caught_up, &mut self.batches_sent);
            messages.into_iter().for_each(|body| self.send(member, body));
        }
    }

    /// Handles a datagram received from the address of the member `at`.
    pub fn receive(&mut self, now: Nanos, at: MemberId, bytes: &[u8]) -> Vec<Output> {
        match (Datagram::decode(bytes), bytes.first()) {
            (_, Some(version)) if *version != VERSION => {
                self.outputs.push(Output::VersionMismatch(at, *version))
            }
            (Some(datagram), _) => self.handle(now, at, datagram),
            _ => {}
        }
        self.flush(now);
        std::mem::take(&mut self.outputs)
    }

    fn handle(&mut self, now: Nanos, at: MemberId, Datagram { head, body }: Datagram) {
        let incarnation = Incarnation::from_le_bytes(head.incarnation);
        let is_for_us = head.site == self.site.to_le_bytes()
            && head.roster == self.tag.to_le_bytes()
            && (head.from, head.to, head.to_incarnation) == (at, self.me, self.incarnation.to_le_bytes())
            && self.members.get(&at) == Some(&incarnation);
        if !is_for_us {
            return;
        }
        match body {
            Body::EntryQuery(number, key, digest) => {
                let same = self.store.get(&key).is_some() && self.store.entry_digest(&key) == digest;
                self.send(at, Body::EntryReply(number, same));
            }
            Body::EntryReply(number, same) => self.outputs.push(Output::HolderReply(at, number, same)),
            Body::SnapshotRequest(number, first) => {
                self.outputs.push(Output::SnapshotRequested(at, number, first))
            }
            body @ (Body::SnapshotSummary(..) | Body::SnapshotRows(..)) => {
                if let Some(step) = self.fetcher.as_mut().map(|s| s.receive(now, at, incarnation, body)) {
                    self.fetch_step(step);
                }
            }
            body => self.handle_from_neighbour(now, at, incarnation, body),
        }
    }

    fn handle_from_neighbour(&mut self, now: Nanos, at: MemberId, incarnation: Incarnation, body: Body) {
        let Some(link) = self.links.get_mut(&at).filter(|l| l.incarnation == incarnation) else { return };
        match body {
            Body::RootDigest(theirs) if theirs != self.store.root_digest() => link.root_differs(now),
            Body::BatchAck(number, missing) => link.handle_ack(number, missing),
            Body::BatchPart(number, index, count, bytes) => {
                let (ack, batch) = link.receive_part(number, index, count, bytes);
                if let Some(items) = batch.and_then(|batch| decode_items(&batch)) {
                    items.into_iter().for_each(|item| self.handle_item(at, item));
                }
                if let Some(ack) = ack {
                    self.send(at, ack);
                }
            }
            _ => {}
        }
    }

    fn handle_item(&mut self, at: MemberId, item: Item) {
        match item {
            Item::Entry(key, entry) => self.merge(Some(at), key, entry),
            Item::BucketDigests(their_digests, back) => {
                if let Some(link) = self.links.get_mut(&at) {
                    link.compare(&self.store, &their_digests, back);
                }
            }
            Item::SyncComplete(caught_up) => {
                if let Some(link) = self.links.get_mut(&at) {
                    link.set_sync_received();
                }
                if caught_up {
                    self.set_caught_up();
                }
            }
        }
    }

    /// For diagnostics: the ban state of a server.
    pub fn bans(&self, host: &str) -> Option<&Bans> {
        self.store.bans(host)
    }
}
