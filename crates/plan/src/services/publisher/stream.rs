//! What goes to one forwarder, in which order, and within which bytes.
//!
//! Drains and leavings go first and have bytes of their own; then each service that was just asked for, in the order in which
//! that was: its whole, packed once for all who get it, or where that is too long a first piece, so that its requests need
//! not wait for the rest; then what has changed, and the rest of wholes; hints last.

use super::hints::ReportSummary;
use super::slice::{Name, Slice};
use super::*;
use crate::wire::{deflate, Chunk, PackedRows, ServerRow, ServiceChanges, Update};
use prost::Message;
use std::ops::Bound;

/// Bytes of one update before it is packed, about: many services get a turn.
const UPDATE: usize = 8_000;
/// What a packed update takes of that, as a rule; what it takes is counted once it is packed.
const PACKED: f64 = 0.4;
/// Longest update in bytes, where one row is as long as it may be. The bytes of a forwarder may be overdrawn by as much.
pub const MAX_UPDATE_BYTES: usize = UPDATE + 2_048;
/// What the channel adds to a message, in bytes: the length, and a record of TLS.
pub const FRAMING_BYTES: usize = 40;
/// What a service's changes take beside themselves: their tag and their length.
const HEAD: usize = 4;
/// Servers of a service that has just been asked for that come before its rest.
const FIRST: usize = 8;
/// A slice's rows before they are packed, where they are to go in one piece.
const LONGEST_WHOLE: usize = 32 << 10;
/// Changes that go in their turn rather than ahead of it: they are as quick.
const FEW: usize = 32;
/// Updates under way that are not acknowledged.
const WINDOW: usize = 16;
/// A forwarder that acknowledges nothing for so long is of no use on this connection.
pub const ACK_TIMEOUT: Nanos = 10 * S;
/// Hints wait until so many bytes are left for what counts.
const HINTS_FROM: f64 = 8_000.0;

/// Changes of one service, and the version that they bring with them.
type Brought = (ServiceChanges, Option<u64>);

impl Publisher {
    /// The next update for a forwarder, if there is one now; to be called until there is none.
    pub fn next_update(&mut self, now: Nanos, name: &str) -> Result<Option<Update>, PublishError> {
        let id = self.id_of(name)?;
        let Some(f) = self.forwarders.get_mut(&id).filter(|f| f.left_at.is_none()) else { return Ok(None) };
        if f.under_way.front().is_some_and(|(_, at, _)| now.saturating_sub(*at) >= ACK_TIMEOUT) {
            return Err(PublishError::Unresponsive(ACK_TIMEOUT / S));
        }
        f.refill(now, &self.settings);
        let mut update = Update {
            site: self.settings.site.clone(),
            incarnation: self.settings.incarnation,
            source: self.source.unwrap_or_default().number,
            epoch: f.their_epoch(self.source.unwrap_or_default().epoch),
            list_digest: self.list_digest,
            ..Update::default()
        };
        if f.under_way.len() < WINDOW && self.source.is_some() {
            let brought = self.fill(id, &mut update);
            if !update.services.is_empty() {
                return Ok(Some(self.close(now, id, update, brought)));
            }
        }
        let Some(f) = self.forwarders.get_mut(&id) else { return Ok(None) };
        let beat = now.saturating_sub(f.sent_at) >= HEARTBEAT_INTERVAL;
        if beat {
            f.sent_at = now;
            f.tokens -= (update.encoded_len() + FRAMING_BYTES) as f64;
        }
        Ok(beat.then_some(update))
    }

    /// Numbers an update and takes its bytes.
    fn close(&mut self, now: Nanos, id: u32, mut update: Update, brought: Vec<(u32, Option<u64>)>) -> Update {
        if let Some(f) = self.forwarders.get_mut(&id) {
            f.number += 1;
            update.number = f.number;
            update.pack();
            f.under_way.push_back((f.number, now, brought));
            f.sent_at = now;
            f.tokens -= (update.encoded_len() + FRAMING_BYTES) as f64;
            // What drains and leavings took of it was taken there.
            self.stats.updates += 1;
            self.stats.bytes += (update.encoded_len() + FRAMING_BYTES) as u64;
        }
        update
    }

    /// Fills an update in the order of what matters, and says which versions it brings.
    fn fill(&mut self, id: u32, update: &mut Update) -> Vec<(u32, Option<u64>)> {
        let mut brought = Vec::new();
        // Its size is kept along: to measure the whole update for each service that is put in would cost the square of them.
        let mut size = update.encoded_len();
        let mut put = |size: &mut usize, update: &mut Update, service: u32, (changes, version): Brought| {
            *size += changes.encoded_len() + HEAD;
            update.services.push(changes);
            brought.push((service, version));
        };
        let room = |size: usize| UPDATE.saturating_sub(size);
        while let Some(service) = self.forwarders.get(&id).and_then(|f| f.urgent.first().copied()) {
            if room(size) == 0 || !self.has_drain_bytes(id) {
                break;
            }
            let Some(changes) = self.urgent(id, service, room(size)) else { continue };
            self.take_drain_bytes(id, (PACKED * changes.0.encoded_len() as f64) as usize);
            put(&mut size, update, service, changes);
        }
        let spends = |publisher: &Publisher, size: usize| {
            publisher.forwarders.get(&id).is_some_and(|f| f.tokens > PACKED * size as f64)
        };
        while room(size) > 0 && spends(self, size) {
            let Some(f) = self.forwarders.get_mut(&id) else { break };
            if let Some(absent) = f.absent.pop_first() {
                let unknown = ServiceChanges {
                    service: absent,
                    chunk: Chunk::Unknown as i32,
                    ..ServiceChanges::default()
                };
                size += unknown.encoded_len() + HEAD;
                update.services.push(unknown);
            } else if let Some(service) = f.fresh.pop_front() {
                f.dirty.insert(service);
                if let Some(first) = self.in_turn(id, service, room(size), FIRST) {
                    put(&mut size, update, service, first);
                }
            } else if let Some(service) = f.next_dirty() {
                match self.in_turn(id, service, room(size), usize::MAX) {
                    Some(changes) => put(&mut size, update, service, changes),
                    None => drop(self.forwarders.get_mut(&id).map(|f| f.dirty.remove(&service))),
                }
            } else {
                break;
            }
        }
        let only_hints = update.services.is_empty();
        while only_hints && room(size) > 0 {
            let spent = PACKED * size as f64;
            let Some(f) = self.forwarders.get_mut(&id).filter(|f| f.tokens - spent > HINTS_FROM) else {
                break;
            };
            let Some(service) = f.hints.pop_first() else { break };
            if let Some(hints) = self.hints_for(id, service) {
                put(&mut size, update, service, (hints, None));
            }
        }
        brought
    }

    fn has_drain_bytes(&self, id: u32) -> bool {
        self.forwarders.get(&id).is_some_and(|f| f.drain_tokens > 0.0 || f.tokens > 0.0)
    }

    /// Takes the bytes of drains and leavings from those kept for them, as far as there are any.
    fn take_drain_bytes(&mut self, id: u32, bytes: usize) {
        if let Some(f) = self.forwarders.get_mut(&id) {
            let own = (bytes as f64).min(f.drain_tokens.max(0.0));
            f.drain_tokens -= own;
            // `close` takes all bytes of the update from the others.
            f.tokens += own;
        }
    }

    /// Drains and leavings of a service that a forwarder has not been told of: in their turn where that is as quick, else ahead
    /// of it. The service is no longer urgent once all are told.
    fn urgent(&mut self, id: u32, service_id: u32, room: usize) -> Option<Brought> {
        let f = self.forwarders.get_mut(&id)?;
        let Some((s, slice)) = f.usable(service_id, &self.services) else {
            f.urgent.remove(&service_id);
            return None;
        };
        let in_turn = s.whole.is_none()
            && s.held.is_some()
            && after(&slice.changes, &s.sent).take(FEW + 1).count() <= FEW
            && f.tokens > 0.0;
        if in_turn {
            f.urgent.remove(&service_id);
            return self.in_turn(id, service_id, room, usize::MAX);
        }
        // What is only to be told from its whole on needs no word ahead.
        let mut changes =
            ServiceChanges { chunk: Chunk::OutOfBand as i32, ..slice.head(&self.services[&service_id].name) };
        (changes.slice, changes.slices) = (s.slice as u32, self.services[&service_id].slices.len() as u32);
        let (mut size, mut ahead, mut all) = (0, s.ahead.clone(), true);
        for (changed, name) in after(&slice.urgent, &s.ahead) {
            if size >= room {
                all = false;
                break;
            }
            self.stats.steps += 1;
            size += self.servers.add_row(slice, name, &mut changes);
            ahead = (*changed, Some(name.clone()));
        }
        if all {
            f.urgent.remove(&service_id);
        }
        if let Some(s) = f.subscriptions.get_mut(&service_id) {
            s.ahead = ahead;
        }
        (size > 0).then_some((changes, None))
    }

    /// What comes next of a service, at most so many bytes and rows; `None` where there is nothing.
    fn in_turn(&mut self, id: u32, service_id: u32, room: usize, most: usize) -> Option<Brought> {
        let f = self.forwarders.get_mut(&id)?;
        let (s, slice) = f.usable(service_id, &self.services)?;
        let slices = self.services[&service_id].slices.len() as u32;
        let head =
            ServiceChanges { slice: s.slice as u32, slices, ..slice.head(&self.services[&service_id].name) };
        let s = f.subscriptions.get_mut(&service_id)?;
        if let Some(digest) = s.same.take() {
            let version = s.held?;
            s.told = slice.told;
            return Some((
                ServiceChanges { version, digest, chunk: Chunk::Unchanged as i32, ..head },
                Some(version),
            ));
        }
        let begins = s.held.is_none() && s.whole.is_none();
        if begins {
            self.stats.snapshots += 1;
            if let Some(packed) = self.packed(service_id, head.slice as usize) {
                return self.whole(id, service_id, ServiceChanges { packed, ..head });
            }
        }
        let f = self.forwarders.get_mut(&id)?;
        let s = f.subscriptions.get_mut(&service_id)?;
        let slice = self.services.get(&service_id)?.slices.get(s.slice)?;
        if begins {
            s.whole = Some(slice.version);
        }
        let mut changes = ServiceChanges { base: s.held.filter(|_| s.whole.is_none()).unwrap_or(0), ..head };
        let (mut size, mut sent, mut rows, mut all) = (0, s.sent.clone(), 0, true);
        for (changed, name) in after(&slice.changes, &s.sent) {
            if size >= room || rows >= most {
                all = false;
                break;
            }
            self.stats.steps += 1;
            // Who left before a whole began was never told there.
            let known = s.whole.is_none_or(|begun| *changed > begun);
            if known || slice.rows.get(name).is_some_and(|r| r.there) {
                size += self.servers.add_row(slice, name, &mut changes);
                rows += 1;
            }
            sent = (*changed, Some(name.clone()));
        }
        let told = slice.told;
        if !begins && all && rows == 0 && s.held == Some(slice.version) && s.whole.is_none() && s.told == told
        {
            return None;
        }
        s.told = told;
        if !all {
            s.sent = sent;
            changes.chunk = if begins { Chunk::First } else { Chunk::Continued } as i32;
            return Some((changes, None));
        }
        let whole = s.whole.take().is_some();
        changes.chunk = if whole && begins { Chunk::Full } else { Chunk::Last } as i32;
        Some(f.up_to_date(service_id, slice, changes))
    }

    /// A whole in one piece, as it is packed for all.
    fn whole(&mut self, id: u32, service_id: u32, mut changes: ServiceChanges) -> Option<Brought> {
        let f = self.forwarders.get_mut(&id)?;
        let slice = self.services.get(&service_id)?.slices.get(changes.slice as usize)?;
        changes.chunk = Chunk::Full as i32;
        Some(f.up_to_date(service_id, slice, changes))
    }

    /// A slice's rows, packed once for each state of it; `None` where they are too long for one update.
    fn packed(&mut self, service_id: u32, k: usize) -> Option<Vec<u8>> {
        let slice = self.services.get(&service_id)?.slices.get(k)?;
        let state = (slice.version, slice.hinted);
        if let Some((_, packed)) = slice.packed.as_ref().filter(|(of, _)| *of == state) {
            return Some(packed.clone());
        }
        let mut changes = ServiceChanges::default();
        for (name, _) in slice.rows.iter().filter(|(_, row)| row.there) {
            self.stats.steps += 1;
            self.servers.add_row(slice, name, &mut changes);
        }
        let rows = PackedRows { rows: changes.rows }.encode_to_vec();
        let packed = (rows.len() <= LONGEST_WHOLE).then(|| deflate(&rows));
        let packed = packed.filter(|p| p.len() <= UPDATE && !p.is_empty())?;
        let slice = self.services.get_mut(&service_id)?.slices.get_mut(k)?;
        slice.packed = Some((state, packed.clone()));
        Some(packed)
    }

    /// What is said of a service's servers, and of how many use it, that this forwarder has not been told.
    fn hints_for(&mut self, id: u32, service_id: u32) -> Option<ServiceChanges> {
        let f = self.forwarders.get_mut(&id)?;
        let (s, slice) = f.usable(service_id, &self.services)?;
        let service = &self.services[&service_id];
        let head = slice.head(&service.name);
        let mut changes = ServiceChanges {
            chunk: Chunk::OutOfBand as i32,
            slice: s.slice as u32,
            slices: service.slices.len() as u32,
            ..head
        };
        // A slice has some dozens of servers: they are looked at where there is a hint, and no order of hints is kept.
        let hinted = slice.hinted > s.hinted;
        for (name, _) in slice.rows.iter().filter(|(_, row)| hinted && row.there) {
            self.stats.steps += 1;
            let Some(server) = self.servers.get(name).filter(|server| server.standing.number > s.hinted)
            else {
                continue;
            };
            changes.rows.push(hint(name, &server.standing));
        }
        let number = self.hint;
        let s = f.subscriptions.get_mut(&service_id)?;
        s.hinted = number;
        let more = std::mem::replace(&mut s.told, slice.told) != slice.told;
        (more || !changes.rows.is_empty()).then_some(changes)
    }

    /// When `next_update` may have something without further news: bytes, a beat, or patience that ends.
    pub fn next_wakeup(&self, now: Nanos, name: &str) -> Nanos {
        let f = self.forwarder_ids.get(name).and_then(|id| self.forwarders.get(id));
        let Some(f) = f.filter(|f| f.left_at.is_none()) else { return Nanos::MAX };
        let beat = f.sent_at.saturating_add(HEARTBEAT_INTERVAL);
        let patience = f.under_way.front().map_or(Nanos::MAX, |(_, at, _)| at.saturating_add(ACK_TIMEOUT));
        let waits = !(f.dirty.is_empty() && f.fresh.is_empty() && f.urgent.is_empty() && f.absent.is_empty());
        let hints = !f.hints.is_empty();
        let wanted = if waits { 1.0 } else { HINTS_FROM + 1.0 };
        let short = (wanted - f.tokens).max(0.0) / self.settings.bytes_per_second.max(1.0);
        let short = match f.urgent.is_empty() {
            true => short,
            false => {
                short.min((1.0 - f.drain_tokens).max(0.0) / self.settings.drain_bytes_per_second.max(1.0))
            }
        };
        // Never at once: what could be said now has been asked for.
        let bytes = match (waits || hints) && f.under_way.len() < WINDOW {
            true => now.saturating_add(((short * 1e9) as Nanos).max(10 * MS)),
            false => Nanos::MAX,
        };
        beat.min(patience).min(bytes)
    }
}

impl Forwarder {
    fn refill(&mut self, now: Nanos, settings: &Settings) {
        let elapsed = now.saturating_sub(self.tokens_at) as f64 / 1e9;
        self.tokens_at = self.tokens_at.max(now);
        self.tokens = (self.tokens + elapsed * settings.bytes_per_second).min(settings.burst);
        let drains = self.drain_tokens + elapsed * settings.drain_bytes_per_second;
        self.drain_tokens = drains.min(settings.drain_burst);
    }

    /// All of a service has been sent with these changes.
    fn up_to_date(&mut self, service: u32, slice: &Slice, mut changes: ServiceChanges) -> Brought {
        if let Some(s) = self.subscriptions.get_mut(&service) {
            s.sent = (slice.version + 1, None);
            s.ahead = s.sent.clone();
            s.held = Some(slice.version);
            s.told = slice.told;
        }
        changes.version = slice.version;
        changes.digest = slice.digest;
        self.dirty.remove(&service);
        self.urgent.remove(&service);
        (changes, Some(slice.version))
    }

    /// A subscription that may be told of now, with its slice.
    fn usable<'a>(
        &self,
        service: u32,
        services: &'a BTreeMap<u32, Service>,
    ) -> Option<(&Subscription, &'a Slice)> {
        let s = self.subscriptions.get(&service).filter(|s| !s.stale && s.later.is_none())?;
        Some((s, services.get(&service)?.slices.get(s.slice)?))
    }

    /// The next service with something to tell, in turn, so that a long one does not keep others waiting.
    fn next_dirty(&mut self) -> Option<u32> {
        let next = self.dirty.range((Bound::Excluded(self.turn), Bound::Unbounded)).next().copied();
        self.turn = next.or_else(|| self.dirty.first().copied())?;
        Some(self.turn)
    }
}

/// What comes after a place in the order of changes.
fn after<'a>(
    changes: &'a BTreeSet<(u64, Name)>,
    (version, name): &(u64, Option<Name>),
) -> impl Iterator<Item = &'a (u64, Name)> {
    let from = match name {
        Some(name) => Bound::Excluded((*version, name.clone())),
        None => Bound::Included((*version, Name::from(""))),
    };
    changes.range((from, Bound::Unbounded))
}

impl Slice {
    /// Changes of nothing yet.
    fn head(&self, service: &Name) -> ServiceChanges {
        ServiceChanges {
            service: service.to_string(),
            source: self.source.number,
            subscribers: self.told,
            ..ServiceChanges::default()
        }
    }
}

/// Servers in the form of a message.
trait AddRow {
    /// Adds how a server stands now; the bytes that it takes, about.
    fn add_row(&self, slice: &Slice, name: &Name, changes: &mut ServiceChanges) -> usize;
}

impl AddRow for BTreeMap<Name, Server> {
    fn add_row(&self, slice: &Slice, name: &Name, changes: &mut ServiceChanges) -> usize {
        let there = slice.rows.get(name).is_some_and(|r| r.there);
        match self.get(name).filter(|_| there) {
            Some(server) => {
                let row = ServerRow {
                    attributes: Some(server.member.attributes()),
                    ..hint(name, &server.standing)
                };
                let size = row.encoded_len() + 3;
                changes.rows.push(row);
                size
            }
            None => {
                changes.removed.push(name.to_string());
                name.len() + 3
            }
        }
    }
}

fn hint(name: &Name, standing: &ReportSummary) -> ServerRow {
    ServerRow {
        name: name.to_string(),
        grade: standing.grade,
        suspicion: standing.suspicion as i32,
        ..ServerRow::default()
    }
}
