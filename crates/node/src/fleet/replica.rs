//! This member's copy of what the fleet knows: its file, what it has the gateway do, and what staff are told.
//!
//! How copies are brought in line stands in `laurelroute-replica`.

use super::{learned_state, FleetMember};
use crate::files;
use laurelroute_core::fleet::Entry as Listed;
use laurelroute_core::gateway::Gateway;
use laurelroute_membership::{Nanos, Seat, MS};
use laurelroute_policy::interface::{ListKind, Phase};
use laurelroute_replica::{disk, Drain, Entry, Key, Lesson, Machine, Output, SayError};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};

/// How long an answer to staff waits until the word is on the disk and at other members.
const KEPT: Duration = Duration::from_millis(300);
/// How long members are waited for that are asked what they have.
const ANSWERS: Duration = Duration::from_millis(1000);
/// Those who have not said yes by then are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// Looks at whether others have a word, in between.
const LOOK: Duration = Duration::from_millis(10);
/// What could not be written is tried again after this.
const WRITE_AGAIN: Duration = Duration::from_secs(1);
/// What was learnt is told as it was for so long: to one that has a part of it, and to one that has none.
const TAUGHT: Nanos = 3_000 * MS;
const FRESH: Nanos = 500 * MS;
/// A member that nobody brings up to date says that it is ready after this all the same.
const BEHIND: Nanos = 3_000 * MS;
/// A drain that only others have heard of counts for so long: the list has had its time to come here as well.
const HEARD: Nanos = 60_000 * MS;

/// A member's copy.
pub(super) struct LocalReplica {
    pub(super) machine: RefCell<Machine>,
    path: Option<PathBuf>,
    started: Cell<Nanos>,
    /// How often it has changed, and how often it had when the file was written; `Err` where that failed.
    changes: Cell<u64>,
    kept: watch::Sender<(u64, Option<String>)>,
    write: Notify,
    /// The last question to all, and who has answered.
    asked: RefCell<(u32, BTreeMap<Seat, bool>)>,
    /// Drains that only others have heard of, with when that was.
    heard: RefCell<BTreeMap<String, Nanos>>,
    /// The version of this node's own list.
    version: Cell<u64>,
    root: Cell<u64>,
    /// It has said that it may be behind.
    behind: Cell<bool>,
    /// What it has learnt of servers, as last told to one that has asked, and when that was.
    lesson: RefCell<(Nanos, Lesson)>,
    /// From whom it has learnt itself, and of how many servers.
    pub(super) learnt: RefCell<Option<(String, usize)>>,
}

fn load(path: &Path) -> Vec<(Key, Entry)> {
    let bytes = match files::read_bounded(path, disk::MOST_FILE) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Vec::new(),
        Err(error) => {
            tracing::warn!("{}: {error}; the other members are the memory", path.display());
            return Vec::new();
        }
    };
    disk::decode(&bytes).unwrap_or_else(|error| {
        tracing::warn!("{}: {error}; nothing is taken from it", path.display());
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
            kept: watch::Sender::default(),
            write: Notify::new(),
            asked: RefCell::default(),
            heard: RefCell::default(),
            version: Cell::default(),
            root: Cell::default(),
            behind: Cell::default(),
            lesson: RefCell::default(),
            learnt: RefCell::default(),
        }
    }

    /// Writes the file each time that something has changed, one write at a time.
    async fn keep(self: Rc<Self>) {
        let Some(path) = self.path.clone() else { return };
        loop {
            if self.kept.borrow().1.is_some() {
                // A disk that was full or gone has all of it once it is well again, whether or not anything changes.
                let _ = tokio::time::timeout(WRITE_AGAIN, self.write.notified()).await;
            } else {
                self.write.notified().await;
            }
            let changes = self.changes.get();
            let bytes = disk::encode(self.machine.borrow().store());
            let path = path.clone();
            // A disk may take its time, and clients do not wait for it.
            let written = tokio::task::spawn_blocking(move || files::replace_atomically(&path, &bytes)).await;
            let error = match written {
                Ok(Ok(())) => None,
                Ok(Err(error)) => Some(error.to_string()),
                Err(_) => Some("the writer has ended early".to_owned()),
            };
            if let Some(error) = error.as_ref().filter(|e| self.kept.borrow().1.as_ref() != Some(*e)) {
                tracing::warn!("what the fleet knows is not kept on this node's disk: {error}");
            }
            self.kept.send_replace((changes, error));
        }
    }

    /// Whether the disk has all that has changed up to this; why not, where it will not.
    fn on_disk(&self, changes: u64) -> Result<bool, String> {
        if self.path.is_none() {
            return Err("TMPDIR names no folder".to_owned());
        }
        let kept = self.kept.borrow();
        match &kept.1 {
            Some(error) if kept.0 >= changes => Err(error.clone()),
            _ => Ok(kept.0 >= changes),
        }
    }
}

impl FleetMember {
    /// Reads what the process before has kept, once it no longer writes there.
    pub(super) fn remember(self: &Rc<Self>, gateway: &Rc<Gateway>) {
        self.copy.started.set(gateway.clock.now());
        let entries = self.copy.path.as_deref().map_or_else(Vec::new, load);
        let outputs = self.copy.machine.borrow_mut().restore(entries);
        self.carry_out_copy(gateway, outputs);
        tokio::task::spawn_local(self.copy.clone().keep());
    }

    pub(super) fn carry_out_copy(&self, gateway: &Rc<Gateway>, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, bytes) => self.post(to, bytes),
                Output::Changed(key) => self.follow(gateway, &key),
                Output::Lost(key) => tracing::warn!(
                    "fleet: server {}: the word to put it back loses to a ban of {} that was said meanwhile",
                    key.host(),
                    self.speakers(&key)
                ),
                Output::CaughtUp => {
                    tracing::info!("fleet: this member has what the others know");
                    self.note("caught", "");
                    self.settle(gateway);
                }
                Output::Has(seat, number, has) => {
                    let mut asked = self.copy.asked.borrow_mut();
                    if asked.0 == number {
                        asked.1.insert(seat, has);
                    }
                }
                Output::Version(seat, version) => {
                    let reason = laurelroute_membership::Reason::Version(version);
                    self.refuse(gateway.clock.now(), seat, reason);
                }
                Output::Asked(seat, number, first) => self.teach(gateway, seat, number, first),
                Output::Learnt(seat, lesson) => self.take_lesson(gateway, seat, lesson),
                Output::NoPlace(key) => {
                    tracing::warn!("fleet: no place for what others say of server {}", key.host());
                }
            }
        }
    }

    /// Tells a member that starts what this one has learnt of servers. Rows that go together are of one moment.
    fn teach(&self, gateway: &Rc<Gateway>, to: Seat, number: u32, first: u32) {
        let now = gateway.clock.now();
        let outputs = {
            let (at, lesson) = &mut *self.copy.lesson.borrow_mut();
            let lasts = if lesson.number == number { TAUGHT } else { FRESH };
            if lesson.number == 0 || now.saturating_sub(*at) > lasts {
                let number = lesson.number.wrapping_add(1).max(1);
                (*at, *lesson) = (now, learned_state::told(number, &gateway.learnt()));
            }
            self.copy.machine.borrow_mut().teach(to, lesson, first)
        };
        self.carry_out_copy(gateway, outputs);
    }

    /// Goes by what another member has learnt, as soon as there is a list of servers.
    fn take_lesson(&self, gateway: &Rc<Gateway>, from: Seat, lesson: Lesson) {
        let name = self.site.roster.name(from).to_owned();
        tracing::info!("fleet: learnt of {} servers from {name}", lesson.rows.len());
        self.note("learnt", &name);
        *self.copy.learnt.borrow_mut() = Some((name, lesson.rows.len()));
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            gateway.listed().await;
            // How much comes here this node knows best itself.
            let rate = gateway.learnt().rate;
            gateway.take_over(learned_state::heard(rate, &lesson));
        });
    }

    /// An entry is another one: the gateway goes by it, and the disk has to have it.
    fn follow(&self, gateway: &Rc<Gateway>, key: &Key) {
        self.copy.changes.set(self.copy.changes.get() + 1);
        self.copy.write.notify_one();
        match key {
            Key::Ban(host) => {
                let out = self.copy.machine.borrow().bans(host).is_some_and(|b| b.out());
                self.note_ban(host);
                gateway.follow_ban(host, out);
            }
            Key::Drain(host) => self.follow_drain(gateway, host),
        }
    }

    fn follow_drain(&self, gateway: &Rc<Gateway>, host: &str) {
        let drain = self.copy.machine.borrow().store().drain(host);
        let beyond = drain.is_some_and(|d| d.out && d.version > self.copy.version.get());
        let mut heard = self.copy.heard.borrow_mut();
        if beyond {
            heard.entry(host.to_owned()).or_insert(gateway.clock.now());
        } else if heard.remove(host).is_none() {
            return;
        }
        drop(heard);
        gateway.follow_drain(host, beyond);
    }

    /// What discovery says here: others may hear of it later, or not at all.
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
        self.copy.version.set(version);
        let mut said: Vec<(String, bool)> = entries.to_vec();
        if kind == ListKind::Full {
            let named: std::collections::BTreeSet<&String> = entries.iter().map(|(host, _)| host).collect();
            let machine = self.copy.machine.borrow();
            let drained = |(key, entry): (&Key, &Entry)| match key {
                Key::Drain(host) if !entry.out() && !named.contains(host) => Some((host.clone(), true)),
                _ => None,
            };
            said.extend(machine.store().entries().filter_map(drained));
        }
        for (host, out) in said {
            let outputs = self.copy.machine.borrow_mut().listed(now, &host, Drain { version, out });
            self.carry_out_copy(gateway, outputs);
        }
        // What only others had heard of may be in this list.
        let heard: Vec<String> = self.copy.heard.borrow().keys().cloned().collect();
        heard.iter().for_each(|host| self.follow_drain(gateway, host));
    }

    /// What others have heard of, and the list here has still not said, counts no longer.
    pub(super) fn forget_heard(&self, gateway: &Rc<Gateway>, now: Nanos) {
        let old = |(host, at): (&String, &Nanos)| (now.saturating_sub(*at) >= HEARD).then(|| host.clone());
        let old: Vec<String> = self.copy.heard.borrow().iter().filter_map(old).collect();
        for host in old {
            self.copy.heard.borrow_mut().remove(&host);
            tracing::warn!(
                "fleet: others say that server {host} drains, and the list here does not: it is used again"
            );
            gateway.follow_drain(&host, false);
        }
    }

    /// Bans that only this node's file had are said to all; where the fleet knows better, its word counts.
    fn settle(&self, gateway: &Rc<Gateway>) {
        let words: Vec<(String, bool)> =
            gateway.fleet(|f| f.bans.words().map(|w| (w.host.clone(), w.out)).collect());
        for (host, out) in words {
            let known = self.copy.machine.borrow().bans(&host).map(|b| b.out());
            match known {
                Some(known) if known != out => gateway.follow_ban(&host, known),
                None if out => drop(self.speak(gateway, &host, true)),
                _ => {}
            }
        }
    }

    fn speak(&self, gateway: &Rc<Gateway>, host: &str, out: bool) -> Result<(), SayError> {
        let now = gateway.clock.now();
        let outputs = self.copy.machine.borrow_mut().say(now, host, out, now)?;
        self.note_said(host, out);
        self.carry_out_copy(gateway, outputs);
        Ok(())
    }

    /// Staff's word, said here: what to tell them of where it is kept.
    pub(crate) async fn set_ban(&self, gateway: &Rc<Gateway>, host: &str, out: bool) -> String {
        let key = Key::Ban(host.to_owned());
        let known = self.copy.machine.borrow().bans(host).map(|b| b.out());
        if known.is_none() && !out {
            return "nobody has taken it out".to_owned();
        }
        if known != Some(out) {
            if let Err(error) = self.speak(gateway, host, out) {
                return format!("the fleet is not told: {error}");
            }
        }
        let changes = self.copy.changes.get();
        let wanted = self.site.confirm.min(self.machine.borrow().view().map_or(0, |v| v.members.len() - 1));
        let held = || self.copy.machine.borrow().held_by(&key);
        let begun = tokio::time::Instant::now();
        while begun.elapsed() < KEPT && (held() < wanted || self.copy.on_disk(changes) == Ok(false)) {
            tokio::time::sleep(LOOK).await;
        }
        let others = match held() {
            0 => "kept at this node alone".to_owned(),
            1 => "kept at one other member".to_owned(),
            n => format!("kept at {n} other members"),
        };
        match self.copy.on_disk(changes) {
            Ok(true) => others,
            Ok(false) => format!("{others}; not on the disk here yet"),
            Err(error) => format!("{others}; not on the disk here: {error}"),
        }
    }

    /// Which members have this node's copy of a ban; `None` where one does not answer.
    pub(crate) async fn members_holding_ban(&self, host: &str) -> Vec<(String, Option<bool>)> {
        let key = Key::Ban(host.to_owned());
        let number = {
            let mut asked = self.copy.asked.borrow_mut();
            *asked = (asked.0.wrapping_add(1), BTreeMap::new());
            asked.0
        };
        let members: Vec<Seat> =
            self.machine.borrow().view().map_or_else(Vec::new, |v| v.members.keys().copied().collect());
        let others = members.iter().filter(|s| **s != self.site.me).count();
        // Another question has come since, or all have said yes; who has not may have it a moment later.
        let over = || {
            let asked = self.copy.asked.borrow();
            asked.0 != number || asked.1.len() >= others && asked.1.values().all(|has| *has)
        };
        let begun = tokio::time::Instant::now();
        while begun.elapsed() < ANSWERS && !over() {
            let outputs = self.copy.machine.borrow_mut().ask(number, &key);
            for output in outputs {
                if let Output::Send(to, bytes) = output {
                    self.post(to, bytes);
                }
            }
            let asked = tokio::time::Instant::now();
            while asked.elapsed() < ASK_AGAIN && !over() {
                tokio::time::sleep(LOOK).await;
            }
        }
        let asked = self.copy.asked.borrow();
        let answer = |seat: Seat| if seat == self.site.me { Some(true) } else { asked.1.get(&seat).copied() };
        members.into_iter().map(|seat| (self.site.roster.name(seat).to_owned(), answer(seat))).collect()
    }

    /// Whether this member knows what the others know, or has waited for that long enough.
    pub(crate) fn is_ready(&self, now: Nanos) -> bool {
        // As long as the process before has the port, it tells this one what it hears.
        if self.copy.machine.borrow().caught_up() || self.waits.get() {
            return true;
        }
        let long = now.saturating_sub(self.copy.started.get()) >= BEHIND;
        if long && !self.copy.behind.replace(true) {
            tracing::warn!(
                "fleet: nobody has told this member what the others know: it serves, and may be behind"
            );
        }
        long
    }

    /// For operators, as JSON: all entries, each with who has spoken on it.
    pub(crate) fn state_json(&self, kind: Option<&str>) -> serde_json::Value {
        let machine = self.copy.machine.borrow();
        let wanted = |(key, _): &(&Key, &Entry)| kind.is_none_or(|kind| key.kind() == kind);
        let rows: Vec<_> =
            machine.store().entries().filter(wanted).map(|(key, entry)| self.row(key, entry)).collect();
        serde_json::json!({
            "me": self.site.roster.name(self.site.me),
            "caught_up": machine.caught_up(),
            "copy": format!("{:016x}", machine.store().root()),
            "entries": rows,
        })
    }

    fn row(&self, key: &Key, entry: &Entry) -> serde_json::Value {
        let words: Vec<_> = match entry {
            Entry::Bans(bans) => bans
                .words()
                .iter()
                .map(|w| {
                    let by = self.site.roster.name(w.dot.writer.seat);
                    serde_json::json!({"by": by, "life": w.dot.writer.life, "number": w.dot.number, "out": w.out, "at": w.at})
                })
                .collect(),
            Entry::Drain(drain) => vec![serde_json::json!({"version": drain.version, "out": drain.out})],
        };
        serde_json::json!({"kind": key.kind(), "server": key.host(), "out": entry.out(), "words": words})
    }

    /// Who stands behind a ban.
    fn speakers(&self, key: &Key) -> String {
        let machine = self.copy.machine.borrow();
        let words = machine.bans(key.host()).map_or(&[][..], |b| b.words());
        let names: Vec<&str> =
            words.iter().filter(|w| w.out).map(|w| self.site.roster.name(w.dot.writer.seat)).collect();
        names.join(" ")
    }

    fn note_ban(&self, host: &str) {
        let line = {
            let machine = self.copy.machine.borrow();
            let Some(bans) = machine.bans(host) else { return };
            serde_json::json!({"host": host, "out": bans.out(), "known": known(bans)})
        };
        self.note("ban", &line.to_string());
    }

    /// What was said here, and what was known of the server before.
    fn note_said(&self, host: &str, out: bool) {
        let line = {
            let machine = self.copy.machine.borrow();
            let Some(word) = machine.bans(host).and_then(|b| b.words().first().copied()) else { return };
            let writer = word.dot.writer;
            serde_json::json!({"host": host, "out": out, "dot": [u64::from(writer.seat), u64::from(writer.life), word.dot.number],
                "knew": machine.bans(host).map(known)})
        };
        self.note("said", &line.to_string());
    }

    /// Its copy, told from others, each time that it is another one.
    pub(super) fn note_copy(&self) {
        let root = self.copy.machine.borrow().store().root();
        if self.copy.root.replace(root) != root {
            self.note("copy", &format!("{root:016x}"));
        }
    }
}

fn known(bans: &laurelroute_replica::Bans) -> Vec<[u64; 3]> {
    bans.known().map(|dot| [dot.writer.seat.into(), dot.writer.life.into(), dot.number]).collect()
}

/// What the members are told of a list.
pub(crate) fn drain_flags(entries: &[Listed]) -> Vec<(String, bool)> {
    entries.iter().map(|e| (e.host.clone(), e.server.phase != Phase::Ready)).collect()
}
