//! One service as it is held here, and how its planner's word changes it.

use super::{Change, PlannedServer};
use crate::grade;
use crate::member::{Member, MAX_NAME_BYTES};
use crate::services::list_version::ListVersion;
use crate::services::{digest, slice_index};
use crate::wire::{Chunk, RejectReason, ServerRow, ServiceChanges, Suspicion};
use laurelroute_policy::interface::{Nanos, Phase};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Rows that one word on a service may have.
const MOST_ROWS: usize = 4_096;
/// Servers of one service: a slice has some dozens.
const MAX_SERVERS: usize = 65_536;
/// How long the largest number of subscribers counts: after a planner's start fewer are known than there are.
const REMEMBER: Nanos = 60_000_000_000;
/// Servers that have left and are remembered for planners with an earlier list.
const MAX_REMOVED: usize = 1_024;

/// A server that has left.
#[derive(Clone, Debug)]
pub(super) struct Left {
    pub(super) name: String,
    pub(super) started_at: Nanos,
    pub(super) source: ListVersion,
    pub(super) at: Nanos,
}

#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) member: Member,
    digest: u64,
    grade: u32,
    suspicion: Suspicion,
}

/// What has changed and was not told yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Changed {
    /// Servers; those that left as they were last.
    members: BTreeMap<String, Member>,
    hints: bool,
    subscribers: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) servers: BTreeMap<String, Server>,
    /// The life of the planner whose version this is; 0 for none.
    pub(super) life: u64,
    pub(super) version: u64,
    pub(super) source: ListVersion,
    pub(super) digest: u64,
    pub(super) slice: u32,
    pub(super) slices: u32,
    /// Something of it has come.
    pub(super) known: bool,
    /// Names that the whole which is under way has had so far.
    pub(super) whole: Option<BTreeSet<String>>,
    subscribers: u32,
    counted_at: Nanos,
    pub(super) used_at: Nanos,
}

type Rows = Vec<(ServerRow, Option<Member>)>;

impl Held {
    pub(super) fn new(now: Nanos) -> Held {
        Held {
            servers: BTreeMap::new(),
            life: 0,
            version: 0,
            source: ListVersion::default(),
            digest: 0,
            slice: 0,
            slices: 0,
            known: false,
            whole: None,
            subscribers: 0,
            counted_at: now,
            used_at: now,
        }
    }

    /// Takes in what a planner of this life says by this version of the list. What is refused changes nothing, but where the
    /// planner's own digest says that something has been lost.
    pub(super) fn take(
        &mut self,
        now: Nanos,
        (life, source): (u64, ListVersion),
        changes: &ServiceChanges,
        changed: &mut Changed,
        left: &mut VecDeque<Left>,
    ) -> Result<(), RejectReason> {
        let rows = checked(changes)?;
        let piece = changes.chunk();
        let mine = self.life == life && self.slices == changes.slices && self.slice == changes.slice;
        match piece {
            Chunk::Unchanged => {
                // It says what is held: nothing of it may have changed since it was asked.
                if self.digest != changes.digest || self.slices != changes.slices {
                    return Err(RejectReason::UnknownBase);
                }
                (self.life, self.version, self.source) = (life, changes.version, source);
                (self.slice, self.whole) = (changes.slice, None);
                return Ok(());
            }
            Chunk::OutOfBand => {
                self.aside(now, source, rows, changes, changed, left);
                // An earlier list is not to undo it, also not one of the planner whose version this was.
                self.raise(life, source);
                return Ok(());
            }
            Chunk::First | Chunk::Full => self.begin(now, source, changes, changed),
            _ if changes.base == 0 && self.whole.is_none() => return Err(RejectReason::UnknownBase),
            _ if changes.base != 0 && !(mine && changes.base <= self.version) => {
                return Err(RejectReason::UnknownBase)
            }
            _ => {}
        }
        if self.servers.len() + rows.len() > MAX_SERVERS {
            return Err(RejectReason::Invalid);
        }
        for (row, member) in rows {
            if let Some(mentioned) = &mut self.whole {
                mentioned.insert(row.name.clone());
            }
            self.put(&row, member, changed);
        }
        for name in &changes.removed {
            if let Some(mentioned) = &mut self.whole {
                mentioned.remove(name);
            }
            self.remove(now, source, name, changed, left);
        }
        self.known = true;
        self.raise(life, source);
        if matches!(piece, Chunk::Last | Chunk::Full) {
            if changes.base == 0 {
                let mentioned = self.whole.take().unwrap_or_default();
                let absent: Vec<String> =
                    self.servers.keys().filter(|name| !mentioned.contains(*name)).cloned().collect();
                absent.iter().for_each(|name| self.remove(now, source, name, changed, left));
            }
            if self.digest != changes.digest {
                (self.life, self.version) = (0, 0);
                return Err(RejectReason::UnknownBase);
            }
            (self.life, self.version, self.source) = (life, changes.version, source);
            (self.slice, self.slices) = (changes.slice, changes.slices);
        }
        Ok(())
    }

    /// Something of this list has been taken in.
    fn raise(&mut self, life: u64, source: ListVersion) {
        if self.life != life {
            (self.life, self.version) = (0, 0);
        }
        self.source = self.source.max(source);
    }

    /// A whole begins. What is another slice's now goes at once: nobody would tell of its drains.
    fn begin(&mut self, now: Nanos, source: ListVersion, changes: &ServiceChanges, changed: &mut Changed) {
        self.whole = Some(BTreeSet::new());
        if self.slices == changes.slices && self.slice == changes.slice {
            return;
        }
        let (slice, slices) = (changes.slice as usize, changes.slices as usize);
        let other: Vec<String> =
            self.servers.keys().filter(|name| slice_index(name, slices) != slice).cloned().collect();
        // They have not left the list: no planner is to be told so.
        let mut moved = VecDeque::new();
        other.iter().for_each(|name| self.remove(now, source, name, changed, &mut moved));
        (self.life, self.version) = (0, 0);
        (self.slice, self.slices) = (changes.slice, changes.slices);
    }

    /// Drains and leavings ahead of their turn, and hints.
    fn aside(
        &mut self,
        now: Nanos,
        source: ListVersion,
        rows: Rows,
        changes: &ServiceChanges,
        changed: &mut Changed,
        left: &mut VecDeque<Left>,
    ) {
        for (row, member) in rows {
            let closes = member.as_ref().is_none_or(|m| m.server.phase != Phase::Ready);
            if closes && self.servers.contains_key(&row.name) {
                self.put(&row, member, changed);
            }
        }
        changes.removed.iter().for_each(|name| self.remove(now, source, name, changed, left));
    }

    fn put(&mut self, row: &ServerRow, member: Option<Member>, changed: &mut Changed) {
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
        changed: &mut Changed,
        left: &mut VecDeque<Left>,
    ) {
        let Some(server) = self.servers.remove(name) else { return };
        self.digest = self.digest.wrapping_sub(server.digest);
        let started_at = server.member.server.started_at;
        // One that did not drain may only have left this service.
        if server.member.server.phase == Phase::Draining {
            left.push_back(Left { name: name.to_owned(), started_at, source, at: now });
        }
        if left.len() > MAX_REMOVED {
            left.pop_front();
        }
        changed.members.insert(name.to_owned(), server.member.in_phase(Phase::Removed));
    }

    /// The service is there no longer: all of its servers have left.
    pub(super) fn empty(&mut self, now: Nanos, changed: &mut Changed, left: &mut VecDeque<Left>) {
        let all: Vec<String> = self.servers.keys().cloned().collect();
        let source = self.source;
        all.iter().for_each(|name| self.remove(now, source, name, changed, left));
        (self.life, self.version, self.whole) = (0, 0, None);
    }

    /// So many forwarders use it. The largest count of the last minute stands: what is split among them must not come to more
    /// than the whole.
    pub(super) fn count(&mut self, now: Nanos, subscribers: u32, changed: &mut Changed) {
        if subscribers >= self.subscribers || now.saturating_sub(self.counted_at) >= REMEMBER {
            changed.subscribers |= subscribers != self.subscribers;
            (self.subscribers, self.counted_at) = (subscribers, now);
        }
    }

    /// What has changed, for who sends requests.
    pub(super) fn told(&self, service: String, changed: Changed) -> impl Iterator<Item = Change> {
        let words = || {
            let word = |s: &Server| PlannedServer {
                name: s.member.name.clone(),
                score: grade::value(s.grade),
                suspicion: s.suspicion,
                slow_start_rate: f64::INFINITY,
            };
            let said = |s: &&Server| s.grade > 0 || s.suspicion != Suspicion::None;
            self.servers.values().filter(said).map(word).collect()
        };
        let hints = changed.hints.then(|| Change::Hints { service: service.clone(), words: words() });
        let any = !changed.members.is_empty() || changed.subscribers;
        let members = any.then(|| Change::Members {
            service,
            members: changed.members.into_values().collect(),
            subscribers: self.subscribers.max(1),
        });
        members.into_iter().chain(hints)
    }
}

/// The rows with who they are, or why the changes cannot be used.
fn checked(changes: &ServiceChanges) -> Result<Rows, RejectReason> {
    let bad_name = |name: &String| name.is_empty() || name.len() > MAX_NAME_BYTES;
    let slices = changes.slices as usize;
    let sliced = slices.is_power_of_two() && (changes.slice as usize) < slices;
    if changes.rows.len() + changes.removed.len() > MOST_ROWS
        || !sliced
        || changes.removed.iter().any(bad_name)
    {
        return Err(RejectReason::Invalid);
    }
    let row = |row: &ServerRow| {
        if bad_name(&row.name) {
            return Err(RejectReason::Invalid);
        }
        let member =
            row.attributes.as_ref().map(|facts| Member::from_attributes(&row.name, facts)).transpose();
        Ok((row.clone(), member.map_err(|_| RejectReason::Invalid)?))
    };
    changes.rows.iter().map(row).collect()
}
