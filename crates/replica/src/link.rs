//! One neighbour: what it has yet to be told, and what of a batch from it has come.

use crate::entry::Key;
use crate::store::Store;
use crate::wire::{parts, Body, Item, LACKING, PARTS};
use laurelroute_membership::{Incarnation, Nanos, MS};
use std::collections::BTreeSet;

/// A batch that is not answered is sent again after this.
const AGAIN: Nanos = 150 * MS;
/// A batch that has not come through by then is loaded anew: what it says is old.
const STALE: Nanos = 1_000 * MS;
/// Digests of buckets go to a neighbour this often at most.
const DIGESTS: Nanos = 500 * MS;
/// Entries in one batch.
const ENTRIES: usize = 64;

#[derive(Debug)]
struct Flight {
    number: u32,
    parts: Vec<Vec<u8>>,
    lacking: Vec<u8>,
    loaded: Nanos,
    sent: Option<Nanos>,
    keys: BTreeSet<Key>,
    digests: Option<bool>,
    done: Option<bool>,
}

/// A neighbour.
#[derive(Debug)]
pub struct Link {
    /// Its process.
    pub incarnation: Incarnation,
    pending: BTreeSet<Key>,
    digests: Option<bool>,
    digested: Option<Nanos>,
    /// It has said what it has: what it lacks since then is pending.
    known: bool,
    /// It has been told that it has all; and whether this member had caught up then.
    done: Option<bool>,
    /// It has said so itself.
    heard_done: bool,
    flight: Option<Flight>,
    taken: u32,
    assembly: Option<(u32, Vec<Option<Vec<u8>>>)>,
}

impl Link {
    /// A new one: each says what it has.
    pub fn new(incarnation: Incarnation) -> Link {
        Link {
            incarnation,
            pending: BTreeSet::new(),
            digests: Some(true),
            digested: None,
            known: false,
            done: None,
            heard_done: false,
            flight: None,
            taken: 0,
            assembly: None,
        }
    }

    /// It has to be told of an entry.
    pub fn owe(&mut self, key: &Key) {
        self.pending.insert(key.clone());
    }

    /// It has this entry as it is here.
    pub fn settle(&mut self, key: &Key) {
        self.pending.remove(key);
    }

    /// It has said what it has; gives it what it lacks.
    pub fn compare(&mut self, store: &Store, theirs: &[u32], back: bool) {
        self.pending.extend(store.differing_keys(theirs).cloned());
        self.known = true;
        if back {
            // It may have made this link anew.
            self.done = None;
            self.digests = Some(self.digests.unwrap_or(false));
        }
    }

    /// Its copy is another one: says what this one has, and asks what it has.
    pub fn differs(&mut self, now: Nanos) {
        let lately = self.digested.is_some_and(|at| now.saturating_sub(at) < DIGESTS);
        if !lately && self.idle() {
            self.digests = Some(true);
        }
    }

    /// Nothing is under way to it, and nothing is owed.
    pub fn idle(&self) -> bool {
        self.known && self.flight.is_none() && self.pending.is_empty() && self.digests.is_none()
    }

    /// Whether it is known to have an entry as it is here.
    pub fn has(&self, key: &Key) -> bool {
        let under_way = self.flight.as_ref().is_some_and(|f| f.keys.contains(key));
        self.known && !self.pending.contains(key) && !under_way
    }

    /// It has said that this member has all that it has.
    pub fn hear_done(&mut self) {
        self.heard_done = true;
    }

    /// Whether it has said so.
    pub fn heard_done(&self) -> bool {
        self.heard_done
    }

    /// What is to be sent to it now, by a member that has caught up or has not. Batches are numbered over all links of a
    /// process: the other side may know of batches from before this link was made.
    pub fn send(&mut self, now: Nanos, store: &Store, caught_up: bool, batches: &mut u32) -> Vec<Body> {
        if let Some(old) = self.flight.take_if(|f| now.saturating_sub(f.loaded) >= STALE) {
            self.pending.extend(old.keys);
            self.digests = self.digests.max(old.digests);
        }
        if self.flight.is_none() {
            self.flight = self.load(now, store, caught_up, *batches + 1);
            *batches += u32::from(self.flight.is_some());
        }
        let Some(flight) = &mut self.flight else { return Vec::new() };
        if flight.sent.is_some_and(|at| now.saturating_sub(at) < AGAIN) {
            return Vec::new();
        }
        flight.sent = Some(now);
        let of = flight.parts.len() as u8;
        let part = |at: &u8| Body::BatchPart(flight.number, *at, of, flight.parts[usize::from(*at)].clone());
        flight.lacking.iter().map(part).collect()
    }

    /// The next batch.
    fn load(&mut self, now: Nanos, store: &Store, caught_up: bool, number: u32) -> Option<Flight> {
        let mut items = Vec::new();
        let digests = self.digests.take();
        if let Some(back) = digests {
            items.push(Item::BucketDigests(store.bucket_digests(), back));
            self.digested = Some(now);
        }
        let before = items.len();
        let keys: Vec<Key> = self.pending.iter().take(ENTRIES).cloned().collect();
        let entry = |key: &Key| Some(Item::Entry(key.clone(), store.get(key)?.clone()));
        // One that has been forgotten here since is nothing to tell of.
        let (keys, entries): (Vec<Key>, Vec<Item>) =
            keys.into_iter().filter_map(|key| entry(&key).map(|e| (key, e))).unzip();
        if keys.is_empty() {
            self.pending.clear();
        }
        items.extend(entries);
        let news = self.done.is_none_or(|told| caught_up && !told);
        let done = self.known && news && keys.len() == self.pending.len();
        if done {
            items.push(Item::SyncComplete(caught_up));
        }
        if items.is_empty() {
            return None;
        }
        let (taken, parts) = parts(&items);
        let keys: BTreeSet<Key> = keys.into_iter().take(taken.saturating_sub(before)).collect();
        self.pending.retain(|key| !keys.contains(key));
        let lacking = (0..parts.len() as u8).collect();
        let done = (done && taken == items.len()).then_some(caught_up);
        Some(Flight { number, parts, lacking, loaded: now, sent: None, keys, digests, done })
    }

    /// It says which parts of a batch it lacks.
    pub fn took(&mut self, number: u32, lacking: Vec<u8>) {
        let Some(flight) = self.flight.as_mut().filter(|f| f.number == number) else { return };
        if lacking.iter().any(|at| usize::from(*at) >= flight.parts.len()) {
            return;
        }
        flight.lacking = lacking;
        if flight.lacking.is_empty() {
            self.done = flight.done.or(self.done);
            self.flight = None;
        }
    }

    /// Takes a part of a batch. Gives what to answer, and the batch once it is whole.
    pub fn part(&mut self, number: u32, at: u8, of: u8, bytes: Vec<u8>) -> (Option<Body>, Option<Vec<u8>>) {
        if number <= self.taken {
            // It came before, and the answer may be lost.
            return ((number == self.taken).then(|| Body::BatchAck(number, Vec::new())), None);
        }
        let (at, of) = (usize::from(at), usize::from(of));
        if of > PARTS || at >= of {
            return (None, None);
        }
        if self.assembly.as_ref().is_none_or(|(n, parts)| *n < number || *n == number && parts.len() != of) {
            self.assembly = Some((number, vec![None; of]));
        }
        let Some((_, parts)) = self.assembly.as_mut().filter(|(n, _)| *n == number) else {
            return (None, None);
        };
        parts[at] = Some(bytes);
        let lacking: Vec<u8> =
            (0u8..).zip(&*parts).filter(|(_, p)| p.is_none()).map(|(k, _)| k).take(LACKING).collect();
        if !lacking.is_empty() {
            // The last one has come: what is lacking now is lost, or late.
            return ((at + 1 == of).then_some(Body::BatchAck(number, lacking)), None);
        }
        self.taken = number;
        let whole = self.assembly.take().map(|(_, parts)| parts.into_iter().flatten().flatten().collect());
        (Some(Body::BatchAck(number, Vec::new())), whole)
    }
}
