//! Servers that operators have banned, and those that they have restored since.
//!
//! A last-writer-wins map (Shapiro et al., "A comprehensive study of convergent and commutative replicated data
//! types", 2011, section 3.2.1): records of one server are ordered by their time, so that two processes that exchange
//! theirs converge, in whatever order and however often records are delivered.

use laurelroute_policy::interface::{Nanos, Phase, Server};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most records that are kept; beyond it, the oldest of restored servers are dropped first.
pub const MAX_RECORDS: usize = 1024;
/// The longest name of a server, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The operators' latest decision on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BanRecord {
    /// The server's name.
    pub host: String,
    /// Whether the server is banned; otherwise it has been restored.
    #[serde(rename = "out")]
    pub banned: bool,
    /// When the decision was made, in nanoseconds since the Unix epoch.
    #[serde(rename = "at")]
    pub updated_at: Nanos,
    /// When the server was banned, kept also once it is restored.
    #[serde(rename = "since")]
    pub banned_at: Nanos,
}

/// Why a record is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BanError {
    /// [`MAX_RECORDS`] servers are banned, and no restored one can be dropped for another.
    #[error("{MAX_RECORDS} servers are out of use already")]
    Full,
}

/// The latest record of each server.
#[derive(Clone, Debug, Default)]
pub struct Bans {
    records: BTreeMap<String, BanRecord>,
    /// When records of other processes were received, by this process's clock. The sender's clock may have been off,
    /// even by an hour, and a record cannot have been made after it was received.
    received_at: BTreeMap<String, Nanos>,
}

impl PartialEq for Bans {
    /// Compares the records, not when they were received.
    fn eq(&self, other: &Bans) -> bool {
        self.records == other.records
    }
}

impl Eq for Bans {}

impl Bans {
    /// Whether a server is banned.
    pub fn is_banned(&self, host: &str) -> bool {
        self.records.get(host).is_some_and(|r| r.banned)
    }

    /// Whether a server has been restored and its record is still kept.
    pub fn is_restored(&self, host: &str) -> bool {
        self.records.get(host).is_some_and(|r| !r.banned)
    }

    /// All records, ordered by name.
    pub fn records(&self) -> impl Iterator<Item = &BanRecord> {
        self.records.values()
    }

    /// Bans a server and returns the record to replicate, or `None` where it is banned already: bans are not counted.
    pub fn detach(&mut self, host: &str, now: Nanos) -> Result<Option<BanRecord>, BanError> {
        if self.is_banned(host) {
            return Ok(None);
        }
        let at = self.next_update_time(host, now);
        self.insert(BanRecord { host: host.to_owned(), banned: true, updated_at: at, banned_at: at })
            .map(Some)
    }

    /// Restores a server, however often it was banned, and returns the record to replicate, or `None` where it is not
    /// banned.
    pub fn attach(&mut self, host: &str, now: Nanos) -> Option<BanRecord> {
        let banned_at = self.records.get(host).filter(|r| r.banned)?.banned_at;
        let updated_at = self.next_update_time(host, now);
        self.insert(BanRecord { host: host.to_owned(), banned: false, updated_at, banned_at }).ok()
    }

    /// Merges records and returns the names of the servers whose records changed.
    pub fn merge(&mut self, records: impl IntoIterator<Item = BanRecord>) -> Vec<String> {
        let mut changed = Vec::new();
        for record in records {
            // At equal times a ban wins: no request goes to a server that some operator wants unused.
            let order = |r: &BanRecord| (r.updated_at, r.banned, r.banned_at);
            let newer = self.records.get(&record.host).is_none_or(|r| order(r) < order(&record));
            let host = record.host.clone();
            if newer && host.len() <= MAX_NAME_BYTES && self.insert(record).is_ok() {
                changed.push(host);
            }
        }
        changed
    }

    /// Merges records that another process has sent, and notes when they were received by this process's clock.
    pub fn merge_received(
        &mut self,
        records: impl IntoIterator<Item = BanRecord>,
        now: Nanos,
    ) -> Vec<String> {
        let changed = self.merge(records);
        self.received_at.extend(changed.iter().map(|host| (host.clone(), now)));
        changed
    }

    /// When a record was made, and no later than it was received here.
    fn effective_time(&self, record: &BanRecord) -> Nanos {
        self.received_at
            .get(&record.host)
            .map_or(record.updated_at, |received| record.updated_at.min(*received))
    }

    /// Applies the server's record to its entry in the discovery list.
    ///
    /// A banned server drains. A restored one has most likely been restarted, and the list, which is seconds late, may
    /// not show it yet: it counts as started when it was restored, unless the list has a start after the ban.
    pub fn overlay(&self, host: &str, listed: Server) -> Server {
        match self.records.get(host) {
            Some(record) if record.banned && listed.phase == Phase::Ready => {
                Server { phase: Phase::Draining, ..listed }
            }
            Some(record) if !record.banned && listed.started_at < record.banned_at => {
                Server { started_at: self.effective_time(record), ..listed }
            }
            _ => listed,
        }
    }

    /// Drops the records of servers that were restored before `cutoff`: these have left slow start whenever they were
    /// started.
    pub fn forget_restored_before(&mut self, cutoff: Nanos) {
        let received_at = std::mem::take(&mut self.received_at);
        let expired = |r: &BanRecord| {
            received_at.get(&r.host).map_or(r.updated_at, |received| r.updated_at.min(*received)) < cutoff
        };
        self.records.retain(|_, r| r.banned || !expired(r));
        self.received_at = received_at;
        self.received_at.retain(|host, _| self.records.contains_key(host));
    }

    /// A time after the server's latest record: the clocks of two processes may differ slightly.
    fn next_update_time(&self, host: &str, now: Nanos) -> Nanos {
        self.records.get(host).map_or(now, |r| now.max(r.updated_at + 1))
    }

    fn insert(&mut self, record: BanRecord) -> Result<BanRecord, BanError> {
        if !self.records.contains_key(&record.host) && self.records.len() >= MAX_RECORDS {
            let restored = self.records.values().filter(|r| !r.banned);
            let oldest = restored.min_by_key(|r| r.updated_at).map(|r| r.host.clone());
            self.records.remove(&oldest.ok_or(BanError::Full)?);
        }
        self.received_at.remove(&record.host);
        self.records.insert(record.host.clone(), record.clone());
        Ok(record)
    }
}
