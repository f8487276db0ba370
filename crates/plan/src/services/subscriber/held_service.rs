//! State of one subscribed service and how updates change it.

use super::{Change, PlannedServer};
use crate::grade;
use crate::member::{Member, MAX_NAME_BYTES};
use crate::services::list_version::ListVersion;
use crate::services::{digest, slice_index};
use crate::wire::{Chunk, RejectReason, ServerRow, ServiceChanges, Suspicion};
use laurelroute_policy::interface::{Nanos, Phase};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of rows in one message about a service.
const MAX_ROWS: usize = 4_096;
/// Maximum number of servers of one service. A slice has a few dozen.
const MAX_SERVERS: usize = 65_536;
/// Time for which the largest subscriber count is kept: a planner that has just started knows only a part of the
/// forwarders.
const SUBSCRIBER_COUNT_TTL: Nanos = 60_000_000_000;
/// Maximum number of removed servers remembered for planners with an earlier list.
const MAX_REMOVED: usize = 1_024;

/// A server that was removed.
#[derive(Clone, Debug)]
pub(super) struct RemovedServer {
    pub(super) name: String,
    pub(super) started_at: Nanos,
    pub(super) list_version: ListVersion,
    pub(super) removed_at: Nanos,
}

#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) member: Member,
    digest: u64,
    grade: u32,
    suspicion: Suspicion,
}

/// Changes that have not been reported yet.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingChange {
    /// Changed servers; removed ones in their last state.
    members: BTreeMap<String, Member>,
    hints: bool,
    subscribers: bool,
}

#[derive(Clone, Debug)]
pub(super) struct HeldService {
    pub(super) servers: BTreeMap<String, Server>,
    /// Incarnation of the planner that issued `version`; 0 for none.
    pub(super) incarnation: u64,
    pub(super) version: u64,
    pub(super) list_version: ListVersion,
    pub(super) digest: u64,
    pub(super) slice: u32,
    pub(super) slices: u32,
    /// Whether any of the service has been received.
    pub(super) received: bool,
    /// Names received so far of the snapshot in progress.
    pub(super) snapshot_names: Option<BTreeSet<String>>,
    subscribers: u32,
    counted_at: Nanos,
    pub(super) last_used_at: Nanos,
}

type Rows = Vec<(ServerRow, Option<Member>)>;

impl HeldService {
    pub(super) fn new(now: Nanos) -> HeldService {
        HeldService {
            servers: BTreeMap::new(),
            incarnation: 0,
            version: 0,
            list_version: ListVersion::default(),
            digest: 0,
            slice: 0,
            slices: 0,
            received: false,
            snapshot_names: None,
            subscribers: 0,
            counted_at: now,
            last_used_at: now,
        }
    }

    /// Applies a planner's changes, made from the list version `source`. A rejected message changes nothing, unless
    /// the planner's digest shows that an update was lost.
    pub(super) fn apply(
        &mut self,
        now: Nanos,
        (incarnation, source): (u64, ListVersion),
        changes: &ServiceChanges,
        changed: &mut PendingChange,
        removed: &mut VecDeque<RemovedServer>,
    ) -> Result<(), RejectReason> {
        let rows = validate(changes)?;
        let chunk = changes.chunk();
        let same_state =
            self.incarnation == incarnation && self.slices == changes.slices && self.slice == changes.slice;
        match chunk {
            Chunk::Unchanged => {
                // The planner confirms the held state, which must not have changed since it was reported.
                if self.digest != changes.digest || self.slices != changes.slices {
                    return Err(RejectReason::UnknownBase);
                }
                (self.incarnation, self.version, self.list_version) = (incarnation, changes.version, source);
                (self.slice, self.snapshot_names) = (changes.slice, None);
                return Ok(());
            }
            Chunk::OutOfBand => {
                self.apply_out_of_band(now, source, rows, changes, changed, removed);
                // An earlier list must not undo this, even one of the planner that issued the held version.
                self.raise_list_version(incarnation, source);
                return Ok(());
            }
            Chunk::First | Chunk::Full => self.begin_snapshot(now, source, changes, changed),
            _ if changes.base == 0 && self.snapshot_names.is_none() => return Err(RejectReason::UnknownBase),
            _ if changes.base != 0 && !(same_state && changes.base <= self.version) => {
                return Err(RejectReason::UnknownBase)
            }
            _ => {}
        }
        if self.servers.len() + rows.len() > MAX_SERVERS {
            return Err(RejectReason::Invalid);
        }
        for (row, member) in rows {
            if let Some(named) = &mut self.snapshot_names {
                named.insert(row.name.clone());
            }
            self.set_server(&row, member, changed);
        }
        for name in &changes.removed {
            if let Some(named) = &mut self.snapshot_names {
                named.remove(name);
            }
            self.remove(now, source, name, changed, removed);
        }
        self.received = true;
        self.raise_list_version(incarnation, source);
        if matches!(chunk, Chunk::Last | Chunk::Full) {
            if changes.base == 0 {
                let named = self.snapshot_names.take().unwrap_or_default();
                let absent: Vec<String> =
                    self.servers.keys().filter(|name| !named.contains(*name)).cloned().collect();
                absent.iter().for_each(|name| self.remove(now, source, name, changed, removed));
            }
            if self.digest != changes.digest {
                (self.incarnation, self.version) = (0, 0);
                return Err(RejectReason::UnknownBase);
            }
            (self.incarnation, self.version, self.list_version) = (incarnation, changes.version, source);
            (self.slice, self.slices) = (changes.slice, changes.slices);
        }
        Ok(())
    }

    /// Raises the list version after changes from `source` were applied.
    fn raise_list_version(&mut self, incarnation: u64, source: ListVersion) {
        if self.incarnation != incarnation {
            (self.incarnation, self.version) = (0, 0);
        }
        self.list_version = self.list_version.max(source);
    }

    /// Begins a snapshot. Servers that belong to other slices are dropped at once, since their drains would not be
    /// received.
    fn begin_snapshot(
        &mut self,
        now: Nanos,
        source: ListVersion,
        changes: &ServiceChanges,
        changed: &mut PendingChange,
    ) {
        self.snapshot_names = Some(BTreeSet::new());
        if self.slices == changes.slices && self.slice == changes.slice {
            return;
        }
        let (slice, slices) = (changes.slice as usize, changes.slices as usize);
        let foreign: Vec<String> =
            self.servers.keys().filter(|name| slice_index(name, slices) != slice).cloned().collect();
        // These servers have not left the list, so none are announced to planners as removed.
        let mut reassigned = VecDeque::new();
        foreign.iter().for_each(|name| self.remove(now, source, name, changed, &mut reassigned));
        (self.incarnation, self.version) = (0, 0);
        (self.slice, self.slices) = (changes.slice, changes.slices);
    }

    /// Applies drains and removals sent ahead of their order, and hints.
    fn apply_out_of_band(
        &mut self,
        now: Nanos,
        source: ListVersion,
        rows: Rows,
        changes: &ServiceChanges,
        changed: &mut PendingChange,
        removed: &mut VecDeque<RemovedServer>,
    ) {
        for (row, member) in rows {
            let closed = member.as_ref().is_none_or(|m| m.server.phase != Phase::Ready);
            if closed && self.servers.contains_key(&row.name) {
                self.set_server(&row, member, changed);
            }
        }
        changes.removed.iter().for_each(|name| self.remove(now, source, name, changed, removed));
    }

    fn set_server(&mut self, row: &ServerRow, member: Option<Member>, changed: &mut PendingChange) {
        let suspicion = row.suspicion();
        let Some(member) = member else {
            if let Some(server) = self.servers.get_mut(&row.name) {
                changed.hints |= (server.grade, server.suspicion) != (row.grade, suspicion);
                (server.grade, server.suspicion) = (row.grade, suspicion);
            }
            return;
        };
        let digest = digest::member_digest(&member);
        let before = self.servers.get(&row.name);
        changed.hints |=
            before.map_or((0, Suspicion::None), |s| (s.grade, s.suspicion)) != (row.grade, suspicion);
        if before.is_none_or(|s| s.member != member) {
            changed.members.insert(row.name.clone(), member.clone());
        }
        self.digest = self.digest.wrapping_sub(before.map_or(0, |s| s.digest)).wrapping_add(digest);
        self.servers.insert(row.name.clone(), Server { member, digest, grade: row.grade, suspicion });
    }

    fn remove(
        &mut self,
        now: Nanos,
        source: ListVersion,
        name: &str,
        changed: &mut PendingChange,
        removed: &mut VecDeque<RemovedServer>,
    ) {
        let Some(server) = self.servers.remove(name) else { return };
        self.digest = self.digest.wrapping_sub(server.digest);
        let started_at = server.member.server.started_at;
        // A server that was not draining may only have left this service.
        if server.member.server.phase == Phase::Draining {
            removed.push_back(RemovedServer {
                name: name.to_owned(),
                started_at,
                list_version: source,
                removed_at: now,
            });
        }
        if removed.len() > MAX_REMOVED {
            removed.pop_front();
        }
        changed.members.insert(name.to_owned(), server.member.in_phase(Phase::Removed));
    }

    /// Removes all servers, because the service no longer exists.
    pub(super) fn remove_all(
        &mut self,
        now: Nanos,
        changed: &mut PendingChange,
        removed: &mut VecDeque<RemovedServer>,
    ) {
        let all: Vec<String> = self.servers.keys().cloned().collect();
        let source = self.list_version;
        all.iter().for_each(|name| self.remove(now, source, name, changed, removed));
        (self.incarnation, self.version, self.snapshot_names) = (0, 0, None);
    }

    /// Sets the number of forwarders that use the service. The largest count of the last minute is kept, so that
    /// shares of a rate that is split among them do not add up to more than the whole.
    pub(super) fn update_subscriber_count(
        &mut self,
        now: Nanos,
        subscribers: u32,
        changed: &mut PendingChange,
    ) {
        if subscribers >= self.subscribers || now.saturating_sub(self.counted_at) >= SUBSCRIBER_COUNT_TTL {
            changed.subscribers |= subscribers != self.subscribers;
            (self.subscribers, self.counted_at) = (subscribers, now);
        }
    }

    /// Converts the changes to events for the request path.
    pub(super) fn changes_to_report(
        &self,
        service: String,
        changed: PendingChange,
    ) -> impl Iterator<Item = Change> {
        let hints = || {
            let hint = |s: &Server| PlannedServer {
                name: s.member.name.clone(),
                score: grade::value(s.grade),
                suspicion: s.suspicion,
                slow_start_rate: f64::INFINITY,
            };
            let has_hint = |s: &&Server| s.grade > 0 || s.suspicion != Suspicion::None;
            self.servers.values().filter(has_hint).map(hint).collect()
        };
        let hint_change = changed.hints.then(|| Change::Hints { service: service.clone(), hints: hints() });
        let has_members = !changed.members.is_empty() || changed.subscribers;
        let members = has_members.then(|| Change::Members {
            service,
            members: changed.members.into_values().collect(),
            subscribers: self.subscribers.max(1),
        });
        members.into_iter().chain(hint_change)
    }
}

/// Validates the changes and returns their rows with the decoded servers.
fn validate(changes: &ServiceChanges) -> Result<Rows, RejectReason> {
    let bad_name = |name: &String| name.is_empty() || name.len() > MAX_NAME_BYTES;
    let slices = changes.slices as usize;
    let valid_slice = slices.is_power_of_two() && (changes.slice as usize) < slices;
    if changes.rows.len() + changes.removed.len() > MAX_ROWS
        || !valid_slice
        || changes.removed.iter().any(bad_name)
    {
        return Err(RejectReason::Invalid);
    }
    let row = |row: &ServerRow| {
        if bad_name(&row.name) {
            return Err(RejectReason::Invalid);
        }
        let member = row
            .attributes
            .as_ref()
            .map(|attributes| Member::from_attributes(&row.name, attributes))
            .transpose();
        Ok((row.clone(), member.map_err(|_| RejectReason::Invalid)?))
    };
    changes.rows.iter().map(row).collect()
}
