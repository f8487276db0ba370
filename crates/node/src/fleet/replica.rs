//! This member's replica of the state shared by the fleet: bans and drains of servers. Stores it on disk, applies
//! changes to the gateway and reports to operators.
//!
//! The protocol that keeps replicas consistent is in `laurelroute-replica`.

use super::{learned_state, FleetMember};
use crate::files;
use laurelroute_core::fleet::ServerEntry as Listed;
use laurelroute_core::gateway::Gateway;
use laurelroute_membership::{MemberId, Nanos, MS};
use laurelroute_policy::interface::{ListKind, Phase};
use laurelroute_replica::{disk, BanError, Drain, Entry, Key, LearnedSnapshot, Machine, Output};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};

/// How long the response to an operator waits for the change to reach the disk and other members.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
/// How long other members' responses are waited for when they are asked whether they hold an entry.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval at which the question is repeated until all members hold the entry.
const QUERY_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which these waits check for progress.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay before a failed write is retried.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Age up to which a snapshot of learned state is still sent to a member that has received a part of it.
const PARTIAL_SNAPSHOT_TTL: Nanos = 3_000 * MS;
/// Age up to which a snapshot of learned state is sent to a member that has received none of it.
const SNAPSHOT_TTL: Nanos = 500 * MS;
/// A member that no other member brings up to date reports itself ready after this time all the same.
const CATCH_UP_TIMEOUT: Nanos = 3_000 * MS;
/// How long a drain counts that only other members have seen: by then this node's own list should have it as well.
const REPORTED_DRAIN_TTL: Nanos = 60_000 * MS;

/// A member's replica and its file.
pub(super) struct LocalReplica {
    pub(super) machine: RefCell<Machine>,
    /// The file; `None` where there is no folder for it.
    path: Option<PathBuf>,
    /// When this process took over the file and the port, or its start before that.
    started: Cell<Nanos>,
    /// Number of changes so far.
    changes: Cell<u64>,
    /// Number of changes at the last write of the file, and that write's error where it failed.
    written: watch::Sender<(u64, Option<String>)>,
    write_requested: Notify,
    /// Number of the last query to all members, and the answers to it.
    query: RefCell<(u32, BTreeMap<MemberId, bool>)>,
    /// Drains that only other members have seen, and when they were first reported.
    reported_drains: RefCell<BTreeMap<String, Nanos>>,
    /// Version of this node's own list from discovery.
    list_version: Cell<u64>,
    /// The digest of the replica that was last recorded in the history.
    recorded_root: Cell<u64>,
    /// The warning that this member may be behind has been logged.
    behind_logged: Cell<bool>,
    /// The last snapshot of learned state that was sent to a member, and when it was taken.
    snapshot: RefCell<(Nanos, LearnedSnapshot)>,
    /// The member that this node has received learned state from, and the number of servers in it.
    pub(super) learned_from: RefCell<Option<(String, usize)>>,
}

/// Reads the replica's file; a damaged one is moved aside.
fn load(path: &Path) -> Vec<(Key, Entry)> {
    let bytes = match files::read_bounded(path, disk::MAX_FILE_BYTES) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Vec::new(),
        Err(error) => {
            tracing::warn!("{}: {error}; starting empty, the other members hold the state", path.display());
            return Vec::new();
        }
    };
    disk::decode(&bytes).unwrap_or_else(|error| {
        tracing::warn!("{}: {error}; the file is ignored", path.display());
        files::quarantine(path);
        Vec::new()
    })
}

impl LocalReplica {
    pub(super) fn new(machine: Machine, path: Option<PathBuf>, now: Nanos) -> LocalReplica {
        LocalReplica {
            machine: RefCell::new(machine),
            path,
            started: Cell::new(now),
            changes: Cell::default(),
            written: watch::Sender::default(),
            write_requested: Notify::new(),
            query: RefCell::default(),
            reported_drains: RefCell::default(),
            list_version: Cell::default(),
            recorded_root: Cell::default(),
            behind_logged: Cell::default(),
            snapshot: RefCell::default(),
            learned_from: RefCell::default(),
        }
    }

    /// Writes the file whenever the replica has changed, one write at a time.
    async fn run_writer(self: Rc<Self>) {
        let Some(path) = self.path.clone() else { return };
        loop {
            if self.written.borrow().1.is_some() {
                // After a failure the write is retried even if nothing changes, so that a disk that recovers is up to
                // date.
                let _ = tokio::time::timeout(WRITE_RETRY_INTERVAL, self.write_requested.notified()).await;
            } else {
                self.write_requested.notified().await;
            }
            let changes = self.changes.get();
            let bytes = disk::encode(self.machine.borrow().store());
            let path = path.clone();
            // On another thread: a slow disk must not hold up requests.
            let result = tokio::task::spawn_blocking(move || files::replace_atomically(&path, &bytes)).await;
            let error = match result {
                Ok(Ok(())) => None,
                Ok(Err(error)) => Some(error.to_string()),
                Err(_) => Some("the writer has ended early".to_owned()),
            };
            if let Some(error) = error.as_ref().filter(|e| self.written.borrow().1.as_ref() != Some(*e)) {
                tracing::warn!("fleet: the replica cannot be written to disk: {error}");
            }
            self.written.send_replace((changes, error));
        }
    }

    /// Whether the disk has the first `changes` changes; an error where writing failed or there is no file.
    fn on_disk(&self, changes: u64) -> Result<bool, String> {
        if self.path.is_none() {
            return Err("TMPDIR names no folder".to_owned());
        }
        let written = self.written.borrow();
        match &written.1 {
            Some(error) if written.0 >= changes => Err(error.clone()),
            _ => Ok(written.0 >= changes),
        }
    }
}

impl FleetMember {
    /// Restores the replica from the file, once the old process no longer writes to it, and starts the writer.
    pub(super) fn restore_replica(self: &Rc<Self>, gateway: &Rc<Gateway>) {
        self.replica.started.set(gateway.clock.now());
        let entries = self.replica.path.as_deref().map_or_else(Vec::new, load);
        let outputs = self.replica.machine.borrow_mut().restore(entries);
        self.apply_replica_outputs(gateway, outputs);
        tokio::task::spawn_local(self.replica.clone().run_writer());
    }

    /// Carries out what the replica's state machine requests.
    pub(super) fn apply_replica_outputs(&self, gateway: &Rc<Gateway>, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, bytes) => self.send(to, bytes),
                Output::Changed(key) => self.apply_entry(gateway, &key),
                Output::UnbanOverridden(key) => tracing::warn!(
                    "fleet: server {}: lifting the ban is overridden by a concurrent ban from {}",
                    key.host(),
                    self.banning_members(&key)
                ),
                Output::CaughtUp => {
                    tracing::info!("fleet: this member has caught up with the others");
                    self.record("caught", "");
                    self.publish_local_bans(gateway);
                }
                Output::HolderReply(seat, number, has) => {
                    let mut query = self.replica.query.borrow_mut();
                    if query.0 == number {
                        query.1.insert(seat, has);
                    }
                }
                Output::VersionMismatch(seat, version) => {
                    let reason = laurelroute_membership::RejectReason::Version(version);
                    self.log_refusal(gateway.clock.now(), seat, reason);
                }
                Output::SnapshotRequested(seat, number, first) => {
                    self.send_learned_state(gateway, seat, number, first)
                }
                Output::SnapshotReceived(seat, learned) => self.apply_learned_state(gateway, seat, learned),
                Output::StoreFull(key) => {
                    tracing::warn!("fleet: no room for the other members' entry of server {}", key.host());
                }
            }
        }
    }

    /// Sends what this node has learned about servers to a member that starts. All rows of a transfer come from one
    /// snapshot.
    fn send_learned_state(&self, gateway: &Rc<Gateway>, to: MemberId, number: u32, first: u32) {
        let now = gateway.clock.now();
        let outputs = {
            let (taken_at, snapshot) = &mut *self.replica.snapshot.borrow_mut();
            let ttl = if snapshot.number == number { PARTIAL_SNAPSHOT_TTL } else { SNAPSHOT_TTL };
            if snapshot.number == 0 || now.saturating_sub(*taken_at) > ttl {
                let number = snapshot.number.wrapping_add(1).max(1);
                (*taken_at, *snapshot) = (now, learned_state::encode(number, &gateway.export_learned()));
            }
            self.replica.machine.borrow_mut().send_snapshot(to, snapshot, first)
        };
        self.apply_replica_outputs(gateway, outputs);
    }

    /// Applies the learned state received from another member as soon as there is a list of servers.
    fn apply_learned_state(&self, gateway: &Rc<Gateway>, from: MemberId, learned: LearnedSnapshot) {
        let name = self.config.roster.name(from).to_owned();
        tracing::info!("fleet: received learned state of {} servers from {name}", learned.rows.len());
        self.record("learnt", &name);
        *self.replica.learned_from.borrow_mut() = Some((name, learned.rows.len()));
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            gateway.wait_ready().await;
            // The request rate is this node's own: another member's says nothing about the traffic here.
            let rate = gateway.export_learned().rate;
            gateway.import_learned(learned_state::decode(rate, &learned));
        });
    }

    /// Applies a changed entry to the gateway and schedules a write of the file.
    fn apply_entry(&self, gateway: &Rc<Gateway>, key: &Key) {
        self.replica.changes.set(self.replica.changes.get() + 1);
        self.replica.write_requested.notify_one();
        match key {
            Key::Ban(host) => {
                let banned = self.replica.machine.borrow().bans(host).is_some_and(|b| b.is_banned());
                self.record_ban(host);
                self.apply_fleet_ban(gateway, host, banned);
            }
            Key::Drain(host) => self.apply_drain(gateway, host),
        }
    }

    /// Applies the fleet's decision here, and at the other process of a takeover.
    fn apply_fleet_ban(&self, gateway: &Rc<Gateway>, host: &str, banned: bool) {
        let record = gateway.apply_fleet_ban(host, banned);
        if let (Some(record), Some(on_ban)) = (record, &*self.on_ban.borrow()) {
            on_ban(record);
        }
    }

    /// Applies a drain to the gateway where the fleet's entry is newer than this node's own list.
    fn apply_drain(&self, gateway: &Rc<Gateway>, host: &str) {
        let drain = self.replica.machine.borrow().store().drain(host);
        let ahead_of_list = drain.is_some_and(|d| d.drained && d.version > self.replica.list_version.get());
        let mut reported = self.replica.reported_drains.borrow_mut();
        if ahead_of_list {
            reported.entry(host.to_owned()).or_insert(gateway.clock.now());
        } else if reported.remove(host).is_none() {
            return;
        }
        drop(reported);
        gateway.apply_fleet_drain(host, ahead_of_list);
    }

    /// Enters the drains of this node's list from discovery: other members may receive that list later or not at all.
    pub(crate) fn on_discovery_list(
        &self,
        gateway: &Rc<Gateway>,
        kind: ListKind,
        version: u64,
        entries: &[(String, bool)],
    ) {
        if !matches!(kind, ListKind::Full | ListKind::Changes) {
            return;
        }
        let now = gateway.clock.now();
        self.replica.list_version.set(version);
        let mut drains: Vec<(String, bool)> = entries.to_vec();
        if kind == ListKind::Full {
            let listed: std::collections::BTreeSet<&String> = entries.iter().map(|(host, _)| host).collect();
            let machine = self.replica.machine.borrow();
            // A host that a full list does not contain counts as drained.
            let missing = |(key, entry): (&Key, &Entry)| match key {
                Key::Drain(host) if !entry.excludes_server() && !listed.contains(host) => {
                    Some((host.clone(), true))
                }
                _ => None,
            };
            drains.extend(machine.store().entries().filter_map(missing));
        }
        for (host, drained) in drains {
            let outputs =
                self.replica.machine.borrow_mut().update_drain(now, &host, Drain { version, drained });
            self.apply_replica_outputs(gateway, outputs);
        }
        // This list may contain drains that only other members had reported.
        let reported: Vec<String> = self.replica.reported_drains.borrow().keys().cloned().collect();
        reported.iter().for_each(|host| self.apply_drain(gateway, host));
    }

    /// Ends drains that other members reported and that this node's own list has not shown within
    /// [`REPORTED_DRAIN_TTL`].
    pub(super) fn expire_reported_drains(&self, gateway: &Rc<Gateway>, now: Nanos) {
        let expired = |(host, since): (&String, &Nanos)| {
            (now.saturating_sub(*since) >= REPORTED_DRAIN_TTL).then(|| host.clone())
        };
        let expired: Vec<String> = self.replica.reported_drains.borrow().iter().filter_map(expired).collect();
        for host in expired {
            self.replica.reported_drains.borrow_mut().remove(&host);
            tracing::warn!(
                "fleet: other members report that server {host} drains, but this node's list does not: using it again"
            );
            gateway.apply_fleet_drain(&host, false);
        }
    }

    /// Publishes bans that only this node's file had; where the fleet's state differs, the fleet's state applies.
    fn publish_local_bans(&self, gateway: &Rc<Gateway>) {
        let local_bans: Vec<(String, bool)> =
            gateway.fleet(|f| f.bans.records().map(|w| (w.host.clone(), w.banned)).collect());
        for (host, banned) in local_bans {
            let known = self.replica.machine.borrow().bans(&host).map(|b| b.is_banned());
            match known {
                Some(known) if known != banned => self.apply_fleet_ban(gateway, &host, known),
                None if banned => drop(self.change_ban(gateway, &host, true)),
                _ => {}
            }
        }
    }

    /// Records an operator's change in the replica and sends it to the other members.
    fn change_ban(&self, gateway: &Rc<Gateway>, host: &str, banned: bool) -> Result<(), BanError> {
        let now = gateway.clock.now();
        let outputs = self.replica.machine.borrow_mut().set_ban(now, host, banned, now)?;
        self.record_change(host, banned);
        self.apply_replica_outputs(gateway, outputs);
        Ok(())
    }

    /// Bans a server or lifts its ban for an operator; reports where the change is stored.
    pub(crate) async fn set_ban(&self, gateway: &Rc<Gateway>, host: &str, banned: bool) -> String {
        let key = Key::Ban(host.to_owned());
        let known = self.replica.machine.borrow().bans(host).map(|b| b.is_banned());
        if known.is_none() && !banned {
            return "nobody has taken it out".to_owned();
        }
        if known != Some(banned) {
            if let Err(error) = self.change_ban(gateway, host, banned) {
                return format!("the fleet is not told: {error}");
            }
        }
        let changes = self.replica.changes.get();
        let required =
            self.config.confirm.min(self.machine.borrow().view().map_or(0, |v| v.members.len() - 1));
        let holders = || self.replica.machine.borrow().holder_count(&key);
        let started_at = tokio::time::Instant::now();
        while started_at.elapsed() < CONFIRM_TIMEOUT
            && (holders() < required || self.replica.on_disk(changes) == Ok(false))
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let others = match holders() {
            0 => "kept at this node alone".to_owned(),
            1 => "kept at one other member".to_owned(),
            n => format!("kept at {n} other members"),
        };
        match self.replica.on_disk(changes) {
            Ok(true) => others,
            Ok(false) => format!("{others}; not on the disk here yet"),
            Err(error) => format!("{others}; not on the disk here: {error}"),
        }
    }

    /// Lists whether each member holds this node's state of a ban; `None` for a member that does not answer.
    pub(crate) async fn members_holding_ban(&self, host: &str) -> Vec<(String, Option<bool>)> {
        let key = Key::Ban(host.to_owned());
        let number = {
            let mut query = self.replica.query.borrow_mut();
            *query = (query.0.wrapping_add(1), BTreeMap::new());
            query.0
        };
        let members: Vec<MemberId> =
            self.machine.borrow().view().map_or_else(Vec::new, |v| v.members.keys().copied().collect());
        let others = members.iter().filter(|s| **s != self.config.own_seat).count();
        // Done when a newer query has replaced this one or all members hold the entry; one that does not may receive
        // it a moment later.
        let done = || {
            let query = self.replica.query.borrow();
            query.0 != number || query.1.len() >= others && query.1.values().all(|has| *has)
        };
        let started_at = tokio::time::Instant::now();
        while started_at.elapsed() < QUERY_TIMEOUT && !done() {
            let outputs = self.replica.machine.borrow_mut().query_holders(number, &key);
            for output in outputs {
                if let Output::Send(to, bytes) = output {
                    self.send(to, bytes);
                }
            }
            let asked_at = tokio::time::Instant::now();
            while asked_at.elapsed() < QUERY_RETRY_INTERVAL && !done() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        let query = self.replica.query.borrow();
        let answer = |seat: MemberId| {
            if seat == self.config.own_seat {
                Some(true)
            } else {
                query.1.get(&seat).copied()
            }
        };
        members.into_iter().map(|seat| (self.config.roster.name(seat).to_owned(), answer(seat))).collect()
    }

    /// Whether this member has caught up with the others or has waited long enough for that.
    pub(crate) fn is_ready(&self, now: Nanos) -> bool {
        // While the old process holds the port, it passes on to this one what it receives.
        if self.replica.machine.borrow().caught_up() || self.waiting_for_port.get() {
            return true;
        }
        let timed_out = now.saturating_sub(self.replica.started.get()) >= CATCH_UP_TIMEOUT;
        if timed_out && !self.replica.behind_logged.replace(true) {
            tracing::warn!(
                "fleet: no other member has sent its state: serving, possibly with outdated state"
            );
        }
        timed_out
    }

    /// Reports all entries as JSON for operators, each with the changes behind it.
    pub(crate) fn state_json(&self, kind: Option<&str>) -> serde_json::Value {
        let machine = self.replica.machine.borrow();
        let selected = |(key, _): &(&Key, &Entry)| kind.is_none_or(|kind| key.kind() == kind);
        let rows: Vec<_> = machine
            .store()
            .entries()
            .filter(selected)
            .map(|(key, entry)| self.entry_json(key, entry))
            .collect();
        serde_json::json!({
            "me": self.config.roster.name(self.config.own_seat),
            "caught_up": machine.caught_up(),
            "copy": format!("{:016x}", machine.store().root_digest()),
            "entries": rows,
        })
    }

    /// One entry as JSON, with the changes behind it.
    fn entry_json(&self, key: &Key, entry: &Entry) -> serde_json::Value {
        let records: Vec<_> = match entry {
            Entry::Bans(bans) => bans
                .changes()
                .iter()
                .map(|change| {
                    let by = self.config.roster.name(change.dot.writer.member);
                    serde_json::json!({"by": by, "life": change.dot.writer.incarnation, "number": change.dot.number, "out": change.banned, "at": change.changed_at})
                })
                .collect(),
            Entry::Drain(drain) => vec![serde_json::json!({"version": drain.version, "out": drain.drained})],
        };
        serde_json::json!({"kind": key.kind(), "server": key.host(), "out": entry.excludes_server(), "words": records})
    }

    /// Names of the members whose bans of the server are in force.
    fn banning_members(&self, key: &Key) -> String {
        let machine = self.replica.machine.borrow();
        let changes = machine.bans(key.host()).map_or(&[][..], |b| b.changes());
        let names: Vec<&str> = changes
            .iter()
            .filter(|change| change.banned)
            .map(|change| self.config.roster.name(change.dot.writer.member))
            .collect();
        names.join(" ")
    }

    /// Records a server's ban state in the history.
    fn record_ban(&self, host: &str) {
        let line = {
            let machine = self.replica.machine.borrow();
            let Some(bans) = machine.bans(host) else { return };
            serde_json::json!({"host": host, "out": bans.is_banned(), "known": known_changes(bans)})
        };
        self.record("ban", &line.to_string());
    }

    /// Records a change made at this node, with the changes of the server's ban that were known before.
    fn record_change(&self, host: &str, banned: bool) {
        let line = {
            let machine = self.replica.machine.borrow();
            let Some(change) = machine.bans(host).and_then(|b| b.changes().first().copied()) else { return };
            let writer = change.dot.writer;
            serde_json::json!({"host": host, "out": banned, "dot": [u64::from(writer.member), u64::from(writer.incarnation), change.dot.number],
                "knew": machine.bans(host).map(known_changes)})
        };
        self.record("said", &line.to_string());
    }

    /// Records the replica's digest in the history whenever it has changed.
    pub(super) fn record_replica_digest(&self) {
        let root = self.replica.machine.borrow().store().root_digest();
        if self.replica.recorded_root.replace(root) != root {
            self.record("copy", &format!("{root:016x}"));
        }
    }
}

/// The changes that this ban's state includes, as seat, incarnation and number.
fn known_changes(bans: &laurelroute_replica::Bans) -> Vec<[u64; 3]> {
    bans.version_vector()
        .map(|dot| [dot.writer.member.into(), dot.writer.incarnation.into(), dot.number])
        .collect()
}

/// Reduces a list from discovery to hosts and whether each drains, as members replicate it.
pub(crate) fn drain_flags(entries: &[Listed]) -> Vec<(String, bool)> {
    entries.iter().map(|e| (e.host.clone(), e.server.phase != Phase::Ready)).collect()
}
