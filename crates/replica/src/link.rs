//! The link to one neighbour: the entries still to be sent to it, and the batch that is being received from it.

use crate::entry::Key;
use crate::store::Store;
use crate::wire::{split_batch, Body, Item, MAX_MISSING, MAX_PARTS};
use laurelroute_membership::{Incarnation, Nanos, MS};
use std::collections::BTreeSet;

/// A batch without an acknowledgement is sent again after this time.
const RETRY_INTERVAL: Nanos = 150 * MS;
/// A batch that has not been acknowledged completely after this time is built anew, because its contents are
/// outdated.
const BATCH_TIMEOUT: Nanos = 1_000 * MS;
/// Minimum interval at which bucket digests are sent to a neighbour because its root digest differs.
const DIGEST_INTERVAL: Nanos = 500 * MS;
/// Maximum number of entries in one batch.
const MAX_BATCH_ENTRIES: usize = 64;

#[derive(Debug)]
struct InFlight {
    number: u32,
    parts: Vec<Vec<u8>>,
    missing: Vec<u8>,
    built_at: Nanos,
    sent_at: Option<Nanos>,
    keys: BTreeSet<Key>,
    digests: Option<bool>,
    sync_complete: Option<bool>,
}

/// The link to a neighbour.
#[derive(Debug)]
pub struct Link {
    /// The neighbour's incarnation.
    pub incarnation: Incarnation,
    pending: BTreeSet<Key>,
    digests: Option<bool>,
    digests_sent_at: Option<Nanos>,
    /// The neighbour's bucket digests have been received, and the entries that it lacks since then are pending.
    compared: bool,
    /// Whether the neighbour has acknowledged that it has all entries; the value tells whether this member had caught
    /// up then.
    sync_acknowledged: Option<bool>,
    /// The neighbour has sent that this member has all of its entries.
    sync_received: bool,
    in_flight: Option<InFlight>,
    last_received: u32,
    assembly: Option<(u32, Vec<Option<Vec<u8>>>)>,
}

impl Link {
    /// Creates a link; both sides start by sending their bucket digests.
    pub fn new(incarnation: Incarnation) -> Link {
        Link {
            incarnation,
            pending: BTreeSet::new(),
            digests: Some(true),
            digests_sent_at: None,
            compared: false,
            sync_acknowledged: None,
            sync_received: false,
            in_flight: None,
            last_received: 0,
            assembly: None,
        }
    }

    /// Marks an entry to be sent.
    pub fn mark_pending(&mut self, key: &Key) {
        self.pending.insert(key.clone());
    }

    /// Marks an entry as equal on both sides.
    pub fn mark_settled(&mut self, key: &Key) {
        self.pending.remove(key);
    }

    /// Compares the neighbour's bucket digests with the store and marks the differing entries to be sent. `back`
    /// tells whether the neighbour asks for this member's digests.
    pub fn compare(&mut self, store: &Store, their_digests: &[u32], wants_reply: bool) {
        self.pending.extend(store.differing_keys(their_digests).cloned());
        self.compared = true;
        if wants_reply {
            // The neighbour may have created the link anew.
            self.sync_acknowledged = None;
            self.digests = Some(self.digests.unwrap_or(false));
        }
    }

    /// Handles a root digest that differs: sends this member's bucket digests and asks for the neighbour's.
    pub fn root_differs(&mut self, now: Nanos) {
        let recently = self.digests_sent_at.is_some_and(|at| now.saturating_sub(at) < DIGEST_INTERVAL);
        if !recently && self.is_idle() {
            self.digests = Some(true);
        }
    }

    /// Whether nothing is in flight or pending.
    pub fn is_idle(&self) -> bool {
        self.compared && self.in_flight.is_none() && self.pending.is_empty() && self.digests.is_none()
    }

    /// Whether the neighbour is known to have an entry as it is here.
    pub fn has(&self, key: &Key) -> bool {
        let is_in_flight = self.in_flight.as_ref().is_some_and(|f| f.keys.contains(key));
        self.compared && !self.pending.contains(key) && !is_in_flight
    }

    /// Records that the neighbour has sent all of its entries.
    pub fn set_sync_received(&mut self) {
        self.sync_received = true;
    }

    /// Whether the neighbour has sent all of its entries.
    pub fn sync_received(&self) -> bool {
        self.sync_received
    }

    /// The messages to send now. `caught_up` tells whether this member has caught up. Batches are numbered across all
    /// links of a process, because the neighbour may know batches from before this link was created.
    pub fn send(&mut self, now: Nanos, store: &Store, caught_up: bool, batches: &mut u32) -> Vec<Body> {
        if let Some(old) = self.in_flight.take_if(|f| now.saturating_sub(f.built_at) >= BATCH_TIMEOUT) {
            self.pending.extend(old.keys);
            self.digests = self.digests.max(old.digests);
        }
        if self.in_flight.is_none() {
            self.in_flight = self.build_batch(now, store, caught_up, *batches + 1);
            *batches += u32::from(self.in_flight.is_some());
        }
        let Some(in_flight) = &mut self.in_flight else { return Vec::new() };
        if in_flight.sent_at.is_some_and(|at| now.saturating_sub(at) < RETRY_INTERVAL) {
            return Vec::new();
        }
        in_flight.sent_at = Some(now);
        let count = in_flight.parts.len() as u8;
        let part = |index: &u8| {
            Body::BatchPart(in_flight.number, *index, count, in_flight.parts[usize::from(*index)].clone())
        };
        in_flight.missing.iter().map(part).collect()
    }

    /// Builds the next batch.
    fn build_batch(&mut self, now: Nanos, store: &Store, caught_up: bool, number: u32) -> Option<InFlight> {
        let mut items = Vec::new();
        let digests = self.digests.take();
        if let Some(wants_reply) = digests {
            items.push(Item::BucketDigests(store.bucket_digests(), wants_reply));
            self.digests_sent_at = Some(now);
        }
        let digest_items = items.len();
        let keys: Vec<Key> = self.pending.iter().take(MAX_BATCH_ENTRIES).cloned().collect();
        let entry = |key: &Key| Some(Item::Entry(key.clone(), store.get(key)?.clone()));
        // Entries that have been removed from the store since then are not sent.
        let (keys, entries): (Vec<Key>, Vec<Item>) =
            keys.into_iter().filter_map(|key| entry(&key).map(|e| (key, e))).unzip();
        if keys.is_empty() {
            self.pending.clear();
        }
        items.extend(entries);
        let is_change = self.sync_acknowledged.is_none_or(|had_caught_up| caught_up && !had_caught_up);
        let sync_complete = self.compared && is_change && keys.len() == self.pending.len();
        if sync_complete {
            items.push(Item::SyncComplete(caught_up));
        }
        if items.is_empty() {
            return None;
        }
        let (included, parts) = split_batch(&items);
        let keys: BTreeSet<Key> = keys.into_iter().take(included.saturating_sub(digest_items)).collect();
        self.pending.retain(|key| !keys.contains(key));
        let missing = (0..parts.len() as u8).collect();
        let sync_complete = (sync_complete && included == items.len()).then_some(caught_up);
        Some(InFlight { number, parts, missing, built_at: now, sent_at: None, keys, digests, sync_complete })
    }

    /// Handles an acknowledgement with the missing parts of a batch.
    pub fn handle_ack(&mut self, number: u32, missing: Vec<u8>) {
        let Some(in_flight) = self.in_flight.as_mut().filter(|f| f.number == number) else { return };
        if missing.iter().any(|at| usize::from(*at) >= in_flight.parts.len()) {
            return;
        }
        in_flight.missing = missing;
        if in_flight.missing.is_empty() {
            self.sync_acknowledged = in_flight.sync_complete.or(self.sync_acknowledged);
            self.in_flight = None;
        }
    }

    /// Handles a part of a batch. Returns the acknowledgement to send, and the batch once it is complete.
    pub fn receive_part(
        &mut self,
        number: u32,
        index: u8,
        count: u8,
        bytes: Vec<u8>,
    ) -> (Option<Body>, Option<Vec<u8>>) {
        if number <= self.last_received {
            // The batch was received before, and the acknowledgement may have been lost.
            return ((number == self.last_received).then(|| Body::BatchAck(number, Vec::new())), None);
        }
        let (index, count) = (usize::from(index), usize::from(count));
        if count > MAX_PARTS || index >= count {
            return (None, None);
        }
        if self.assembly.as_ref().is_none_or(|(n, parts)| *n < number || *n == number && parts.len() != count)
        {
            self.assembly = Some((number, vec![None; count]));
        }
        let Some((_, parts)) = self.assembly.as_mut().filter(|(n, _)| *n == number) else {
            return (None, None);
        };
        parts[index] = Some(bytes);
        let missing: Vec<u8> =
            (0u8..).zip(&*parts).filter(|(_, p)| p.is_none()).map(|(k, _)| k).take(MAX_MISSING).collect();
        if !missing.is_empty() {
            // The last part has arrived: missing ones are lost or late.
            return ((index + 1 == count).then_some(Body::BatchAck(number, missing)), None);
        }
        self.last_received = number;
        let batch = self.assembly.take().map(|(_, parts)| parts.into_iter().flatten().flatten().collect());
        (Some(Body::BatchAck(number, Vec::new())), batch)
    }
}
