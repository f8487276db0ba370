//! The order and the rate of updates to one forwarder.
//!
//! Drains and removals are sent first and have a rate of their own. Services that were just subscribed to follow in
//! the order of subscription: each as a snapshot that is compressed once for all subscribers or, if that is too
//! long, as a first chunk, so that requests need not wait for the rest. Changes and the rest of snapshots come
//! next, and hints last.

use super::hints::ReportSummary;
use super::slice::{Name, Slice};
use super::*;
use crate::wire::{deflate, Chunk, PackedRows, ServerRow, ServiceChanges, Update};
use prost::Message;
use std::ops::Bound;

/// Approximate size of an update before compression, small enough for many services to take turns.
const TARGET_UPDATE_BYTES: usize = 8_000;
/// Expected compression ratio of an update. The actual size is charged after compression.
const EXPECTED_COMPRESSION: f64 = 0.4;
/// Maximum size of an update in bytes, with one row of maximum length. A forwarder's budget may be overdrawn by
/// this much.
pub const MAX_UPDATE_BYTES: usize = TARGET_UPDATE_BYTES + 2_048;
/// Bytes that the channel adds to a message: the length prefix and a TLS record.
pub const FRAMING_BYTES: usize = 40;
/// Bytes of a service's changes in an update beside the message itself: its tag and its length.
const CHANGES_OVERHEAD_BYTES: usize = 4;
/// Number of servers in the first chunk of a service that was just subscribed to.
const FIRST_CHUNK_SERVERS: usize = 8;
/// Maximum size of a slice's rows before compression to send them as one snapshot.
const MAX_SNAPSHOT_BYTES: usize = 32 << 10;
/// Maximum number of changes with which drains are sent in order with the other changes, which is as quick as
/// sending them ahead.
const MAX_IN_ORDER_CHANGES: usize = 32;
/// Maximum number of unacknowledged updates.
const MAX_UPDATES_IN_FLIGHT: usize = 16;
/// Time without an acknowledgement after which a forwarder's connection is given up.
pub const ACK_TIMEOUT: Nanos = 10 * S;
/// Bytes that must remain in the budget before hints are sent.
const HINT_RESERVE_BYTES: f64 = 8_000.0;

/// Changes of a service, and the version that they complete, if any.
type VersionedChanges = (ServiceChanges, Option<u64>);

impl Publisher {
    /// Returns the next update for a forwarder, if there is one; to be called until it returns none.
    pub fn next_update(&mut self, now: Nanos, name: &str) -> Result<Option<Update>, PublishError> {
        let id = self.forwarder_id(name)?;
        let Some(f) = self.forwarders.get_mut(&id).filter(|f| f.disconnected_at.is_none()) else {
            return Ok(None);
        };
        if f.in_flight.front().is_some_and(|(_, at, _)| now.saturating_sub(*at) >= ACK_TIMEOUT) {
            return Err(PublishError::Unresponsive(ACK_TIMEOUT / S));
        }
        f.refill(now, &self.settings);
        let mut update = Update {
            site: self.settings.site.clone(),
            incarnation: self.settings.incarnation,
            source: self.list_version.unwrap_or_default().number,
            epoch: f.remote_epoch(self.list_version.unwrap_or_default().epoch),
            list_digest: self.list_digest,
            list_age_ms: Some(self.list_confirmation.age_ms(now)),
            ..Update::default()
        };
        if f.in_flight.len() < MAX_UPDATES_IN_FLIGHT && self.list_version.is_some() {
            let versions = self.fill_update(id, &mut update);
            if !update.services.is_empty() {
                return Ok(Some(self.finish_update(now, id, update, versions)));
            }
        }
        let Some(f) = self.forwarders.get_mut(&id) else { return Ok(None) };
        let heartbeat_due = now.saturating_sub(f.last_sent_at) >= HEARTBEAT_INTERVAL;
        if heartbeat_due {
            f.last_sent_at = now;
            f.tokens -= (update.encoded_len() + FRAMING_BYTES) as f64;
        }
        Ok(heartbeat_due.then_some(update))
    }

    /// Assigns a number to an update and charges its bytes.
    fn finish_update(
        &mut self,
        now: Nanos,
        id: u32,
        mut update: Update,
        versions: Vec<(u32, Option<u64>)>,
    ) -> Update {
        if let Some(f) = self.forwarders.get_mut(&id) {
            f.last_update += 1;
            update.number = f.last_update;
            update.pack();
            f.in_flight.push_back((f.last_update, now, versions));
            f.last_sent_at = now;
            f.tokens -= (update.encoded_len() + FRAMING_BYTES) as f64;
            // The bytes of drains and removals were credited in `take_drain_bytes`.
            self.stats.updates += 1;
            self.stats.bytes += (update.encoded_len() + FRAMING_BYTES) as u64;
        }
        update
    }

    /// Fills an update in order of priority and returns the versions that it carries.
    fn fill_update(&mut self, id: u32, update: &mut Update) -> Vec<(u32, Option<u64>)> {
        let mut versions = Vec::new();
        // The size is tracked incrementally; measuring the whole update for each added service would take quadratic
        // time.
        let mut size = update.encoded_len();
        let mut add =
            |size: &mut usize, update: &mut Update, service: u32, (changes, version): VersionedChanges| {
                *size += changes.encoded_len() + CHANGES_OVERHEAD_BYTES;
                update.services.push(changes);
                versions.push((service, version));
            };
        let remaining = |size: usize| TARGET_UPDATE_BYTES.saturating_sub(size);
        while let Some(service) = self.forwarders.get(&id).and_then(|f| f.urgent.first().copied()) {
            if remaining(size) == 0 || !self.has_drain_bytes(id) {
                break;
            }
            let Some(changes) = self.urgent_changes(id, service, remaining(size)) else { continue };
            self.take_drain_bytes(id, (EXPECTED_COMPRESSION * changes.0.encoded_len() as f64) as usize);
            add(&mut size, update, service, changes);
        }
        let has_budget = |publisher: &Publisher, size: usize| {
            publisher.forwarders.get(&id).is_some_and(|f| f.tokens > EXPECTED_COMPRESSION * size as f64)
        };
        while remaining(size) > 0 && has_budget(self, size) {
            let Some(f) = self.forwarders.get_mut(&id) else { break };
            if let Some(name) = f.unknown_services.pop_first() {
                let unknown = ServiceChanges {
                    service: name,
                    chunk: Chunk::Unknown as i32,
                    ..ServiceChanges::default()
                };
                size += unknown.encoded_len() + CHANGES_OVERHEAD_BYTES;
                update.services.push(unknown);
            } else if let Some(service) = f.new_services.pop_front() {
                f.pending.insert(service);
                if let Some(first) = self.next_changes(id, service, remaining(size), FIRST_CHUNK_SERVERS) {
                    add(&mut size, update, service, first);
                }
            } else if let Some(service) = f.next_pending() {
                match self.next_changes(id, service, remaining(size), usize::MAX) {
                    Some(changes) => add(&mut size, update, service, changes),
                    None => drop(self.forwarders.get_mut(&id).map(|f| f.pending.remove(&service))),
                }
            } else {
                break;
            }
        }
        let only_hints = update.services.is_empty();
        while only_hints && remaining(size) > 0 {
            let charged = EXPECTED_COMPRESSION * size as f64;
            let Some(f) = self.forwarders.get_mut(&id).filter(|f| f.tokens - charged > HINT_RESERVE_BYTES)
            else {
                break;
            };
            let Some(service) = f.pending_hints.pop_first() else { break };
            if let Some(hints) = self.hint_changes(id, service) {
                add(&mut size, update, service, (hints, None));
            }
        }
        versions
    }

    fn has_drain_bytes(&self, id: u32) -> bool {
        self.forwarders.get(&id).is_some_and(|f| f.drain_tokens > 0.0 || f.tokens > 0.0)
    }

    /// Charges the bytes of drains and removals to their own budget as far as it goes.
    fn take_drain_bytes(&mut self, id: u32, bytes: usize) {
        if let Some(f) = self.forwarders.get_mut(&id) {
            let charged = (bytes as f64).min(f.drain_tokens.max(0.0));
            f.drain_tokens -= charged;
            // `finish_update` charges all bytes of the update to the general budget.
            f.tokens += charged;
        }
    }

    /// Returns a service's unsent drains and removals: in order with the other changes if that is as quick,
    /// otherwise ahead of them. The service stops being urgent once all have been sent.
    fn urgent_changes(&mut self, id: u32, service_id: u32, remaining: usize) -> Option<VersionedChanges> {
        let f = self.forwarders.get_mut(&id)?;
        let Some((s, slice)) = f.sendable(service_id, &self.services) else {
            f.urgent.remove(&service_id);
            return None;
        };
        let in_order = s.snapshot_version.is_none()
            && s.sent_version.is_some()
            && changes_after(&slice.by_version, &s.sent_up_to).take(MAX_IN_ORDER_CHANGES + 1).count()
                <= MAX_IN_ORDER_CHANGES
            && f.tokens > 0.0;
        if in_order {
            f.urgent.remove(&service_id);
            return self.next_changes(id, service_id, remaining, usize::MAX);
        }
        // Servers that the forwarder does not hold before the snapshot need no message ahead of it.
        let mut changes = ServiceChanges {
            chunk: Chunk::OutOfBand as i32,
            ..slice.changes_header(&self.services[&service_id].name)
        };
        (changes.slice, changes.slices) = (s.slice as u32, self.services[&service_id].slices.len() as u32);
        let (mut size, mut position, mut complete) = (0, s.urgent_sent_up_to.clone(), true);
        for (changed, name) in changes_after(&slice.urgent, &s.urgent_sent_up_to) {
            if size >= remaining {
                complete = false;
                break;
            }
            self.stats.steps += 1;
            size += self.servers.add_row(slice, name, &mut changes);
            position = (*changed, Some(name.clone()));
        }
        if complete {
            f.urgent.remove(&service_id);
        }
        if let Some(s) = f.subscriptions.get_mut(&service_id) {
            s.urgent_sent_up_to = position;
        }
        (size > 0).then_some((changes, None))
    }

    /// Returns the next changes of a service in order, of limited bytes and rows, or `None` if there are none.
    fn next_changes(
        &mut self,
        id: u32,
        service_id: u32,
        remaining: usize,
        max_rows: usize,
    ) -> Option<VersionedChanges> {
        let f = self.forwarders.get_mut(&id)?;
        let (s, slice) = f.sendable(service_id, &self.services)?;
        let slices = self.services[&service_id].slices.len() as u32;
        let header = ServiceChanges {
            slice: s.slice as u32,
            slices,
            ..slice.changes_header(&self.services[&service_id].name)
        };
        let s = f.subscriptions.get_mut(&service_id)?;
        if let Some(digest) = s.confirmed_digest.take() {
            let version = s.sent_version?;
            s.announced_subscribers = slice.announced_subscribers;
            return Some((
                ServiceChanges { version, digest, chunk: Chunk::Unchanged as i32, ..header },
                Some(version),
            ));
        }
        let starting = s.sent_version.is_none() && s.snapshot_version.is_none();
        if starting {
            self.stats.snapshots += 1;
            if let Some(packed) = self.compressed_snapshot(service_id, header.slice as usize) {
                return self.snapshot_chunk(id, service_id, ServiceChanges { packed, ..header });
            }
        }
        let f = self.forwarders.get_mut(&id)?;
        let s = f.subscriptions.get_mut(&service_id)?;
        let slice = self.services.get(&service_id)?.slices.get(s.slice)?;
        if starting {
            s.snapshot_version = Some(slice.version);
        }
        let mut changes = ServiceChanges {
            base: s.sent_version.filter(|_| s.snapshot_version.is_none()).unwrap_or(0),
            ..header
        };
        let (mut size, mut position, mut rows, mut complete) = (0, s.sent_up_to.clone(), 0, true);
        for (changed, name) in changes_after(&slice.by_version, &s.sent_up_to) {
            if size >= remaining || rows >= max_rows {
                complete = false;
                break;
            }
            self.stats.steps += 1;
            // Servers removed before the snapshot began were never sent in it.
            let known = s.snapshot_version.is_none_or(|begun| *changed > begun);
            if known || slice.rows.get(name).is_some_and(|r| r.present) {
                size += self.servers.add_row(slice, name, &mut changes);
                rows += 1;
            }
            position = (*changed, Some(name.clone()));
        }
        let announced = slice.announced_subscribers;
        if !starting
            && complete
            && rows == 0
            && s.sent_version == Some(slice.version)
            && s.snapshot_version.is_none()
            && s.announced_subscribers == announced
        {
            return None;
        }
        s.announced_subscribers = announced;
        if !complete {
            s.sent_up_to = position;
            changes.chunk = if starting { Chunk::First } else { Chunk::Continued } as i32;
            return Some((changes, None));
        }
        let completes_snapshot = s.snapshot_version.take().is_some();
        changes.chunk = if completes_snapshot && starting { Chunk::Full } else { Chunk::Last } as i32;
        Some(f.mark_up_to_date(service_id, slice, changes))
    }

    /// Returns a compressed snapshot as a single chunk.
    fn snapshot_chunk(
        &mut self,
        id: u32,
        service_id: u32,
        mut changes: ServiceChanges,
    ) -> Option<VersionedChanges> {
        let f = self.forwarders.get_mut(&id)?;
        let slice = self.services.get(&service_id)?.slices.get(changes.slice as usize)?;
        changes.chunk = Chunk::Full as i32;
        Some(f.mark_up_to_date(service_id, slice, changes))
    }

    /// Returns a slice's compressed rows, computed once for each state, or `None` if they are too long for one
    /// update.
    fn compressed_snapshot(&mut self, service_id: u32, k: usize) -> Option<Vec<u8>> {
        let slice = self.services.get(&service_id)?.slices.get(k)?;
        let state = (slice.version, slice.last_hint);
        if let Some((_, packed)) = slice.compressed.as_ref().filter(|(of, _)| *of == state) {
            return Some(packed.clone());
        }
        let mut changes = ServiceChanges::default();
        for (name, _) in slice.rows.iter().filter(|(_, row)| row.present) {
            self.stats.steps += 1;
            self.servers.add_row(slice, name, &mut changes);
        }
        let rows = PackedRows { rows: changes.rows }.encode_to_vec();
        let packed = (rows.len() <= MAX_SNAPSHOT_BYTES).then(|| deflate(&rows));
        let packed = packed.filter(|p| p.len() <= TARGET_UPDATE_BYTES && !p.is_empty())?;
        let slice = self.services.get_mut(&service_id)?.slices.get_mut(k)?;
        slice.compressed = Some((state, packed.clone()));
        Some(packed)
    }

    /// Returns a service's hints and subscriber count that this forwarder has not been sent.
    fn hint_changes(&mut self, id: u32, service_id: u32) -> Option<ServiceChanges> {
        let f = self.forwarders.get_mut(&id)?;
        let (s, slice) = f.sendable(service_id, &self.services)?;
        let service = &self.services[&service_id];
        let header = slice.changes_header(&service.name);
        let mut changes = ServiceChanges {
            chunk: Chunk::OutOfBand as i32,
            slice: s.slice as u32,
            slices: service.slices.len() as u32,
            ..header
        };
        // A slice has a few dozen servers, so all are visited when one has a hint; no order of hints is kept.
        let hinted = slice.last_hint > s.last_hint;
        for (name, _) in slice.rows.iter().filter(|(_, row)| hinted && row.present) {
            self.stats.steps += 1;
            let Some(server) =
                self.servers.get(name).filter(|server| server.reports.changed_at > s.last_hint)
            else {
                continue;
            };
            changes.rows.push(hint_row(name, &server.reports));
        }
        let number = self.last_hint;
        let s = f.subscriptions.get_mut(&service_id)?;
        s.last_hint = number;
        let count_changed = std::mem::replace(&mut s.announced_subscribers, slice.announced_subscribers)
            != slice.announced_subscribers;
        (count_changed || !changes.rows.is_empty()).then_some(changes)
    }

    /// Returns when `next_update` may next return an update without new input: when the budget allows, for a
    /// heartbeat, or at the acknowledgement timeout.
    pub fn next_wakeup(&self, now: Nanos, name: &str) -> Nanos {
        let f = self.forwarder_ids.get(name).and_then(|id| self.forwarders.get(id));
        let Some(f) = f.filter(|f| f.disconnected_at.is_none()) else { return Nanos::MAX };
        let heartbeat_at = f.last_sent_at.saturating_add(HEARTBEAT_INTERVAL);
        let ack_deadline =
            f.in_flight.front().map_or(Nanos::MAX, |(_, at, _)| at.saturating_add(ACK_TIMEOUT));
        let has_changes = !(f.pending.is_empty()
            && f.new_services.is_empty()
            && f.urgent.is_empty()
            && f.unknown_services.is_empty());
        let has_hints = !f.pending_hints.is_empty();
        let needed = if has_changes { 1.0 } else { HINT_RESERVE_BYTES + 1.0 };
        let shortfall = (needed - f.tokens).max(0.0) / self.settings.bytes_per_second.max(1.0);
        let shortfall = match f.urgent.is_empty() {
            true => shortfall,
            false => {
                shortfall.min((1.0 - f.drain_tokens).max(0.0) / self.settings.drain_bytes_per_second.max(1.0))
            }
        };
        // Never at once, because everything that could be sent now has been fetched.
        let bytes = match (has_changes || has_hints) && f.in_flight.len() < MAX_UPDATES_IN_FLIGHT {
            true => now.saturating_add(((shortfall * 1e9) as Nanos).max(10 * MS)),
            false => Nanos::MAX,
        };
        heartbeat_at.min(ack_deadline).min(bytes)
    }
}

impl Forwarder {
    fn refill(&mut self, now: Nanos, settings: &Settings) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1e9;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * settings.bytes_per_second).min(settings.burst);
        let drains = self.drain_tokens + elapsed * settings.drain_bytes_per_second;
        self.drain_tokens = drains.min(settings.drain_burst);
    }

    /// Completes a service with these changes: everything has been sent.
    fn mark_up_to_date(
        &mut self,
        service: u32,
        slice: &Slice,
        mut changes: ServiceChanges,
    ) -> VersionedChanges {
        if let Some(s) = self.subscriptions.get_mut(&service) {
            s.sent_up_to = (slice.version + 1, None);
            s.urgent_sent_up_to = s.sent_up_to.clone();
            s.sent_version = Some(slice.version);
            s.announced_subscribers = slice.announced_subscribers;
        }
        changes.version = slice.version;
        changes.digest = slice.digest;
        self.pending.remove(&service);
        self.urgent.remove(&service);
        (changes, Some(slice.version))
    }

    /// Returns a subscription that may be sent now, with its slice.
    fn sendable<'a>(
        &self,
        service: u32,
        services: &'a BTreeMap<u32, Service>,
    ) -> Option<(&Subscription, &'a Slice)> {
        let s = self.subscriptions.get(&service).filter(|s| !s.stale && s.blocked_until.is_none())?;
        Some((s, services.get(&service)?.slices.get(s.slice)?))
    }

    /// Returns the next service with pending changes in round-robin order, so that a long one does not delay the
    /// others.
    fn next_pending(&mut self) -> Option<u32> {
        let next = self.pending.range((Bound::Excluded(self.last_served), Bound::Unbounded)).next().copied();
        self.last_served = next.or_else(|| self.pending.first().copied())?;
        Some(self.last_served)
    }
}

/// Returns the changes after a position.
fn changes_after<'a>(
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
    /// Returns empty changes with the service's header fields.
    fn changes_header(&self, service: &Name) -> ServiceChanges {
        ServiceChanges {
            service: service.to_string(),
            source: self.list_version.number,
            subscribers: self.announced_subscribers,
            ..ServiceChanges::default()
        }
    }
}

/// Writes servers to messages.
trait AddRow {
    /// Adds a server's present state and returns its approximate size in bytes.
    fn add_row(&self, slice: &Slice, name: &Name, changes: &mut ServiceChanges) -> usize;
}

impl AddRow for BTreeMap<Name, Server> {
    fn add_row(&self, slice: &Slice, name: &Name, changes: &mut ServiceChanges) -> usize {
        let present = slice.rows.get(name).is_some_and(|r| r.present);
        match self.get(name).filter(|_| present) {
            Some(server) => {
                let row = ServerRow {
                    attributes: Some(server.member.attributes()),
                    ..hint_row(name, &server.reports)
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

fn hint_row(name: &Name, summary: &ReportSummary) -> ServerRow {
    ServerRow {
        name: name.to_string(),
        grade: summary.grade,
        suspicion: summary.suspicion as i32,
        ..ServerRow::default()
    }
}
