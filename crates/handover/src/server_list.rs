//! The server list that the processes of a node share: each passes on what it hears, so that all know the latest list
//! that any of them was told.
//!
//! A process that begins is sent the whole list, and later changes in order. Whoever is sent an earlier version than its
//! own, or changes that do not follow on its own version, says so by a message, and the later list comes as a whole.
//! Between two packets nothing but the latest state is kept for a process that does not read.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Bytes of a fragment's text. Encoded as a JSON string they at most double, and have to fit into
/// [`MAX_PACKET_BYTES`](crate::message::MAX_PACKET_BYTES).
const FRAGMENT_BYTES: usize = 15 << 10;
/// Bytes of an update in all of its fragments: twice the longest list that discovery sends.
const MAX_UPDATE_BYTES: usize = 16 << 20;

/// A version of the list. Discovery may lose its version numbers and begin anew; the generation counts how often.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListVersion {
    /// How often the numbers have gone back.
    pub generation: u64,
    /// Discovery's version number.
    pub number: u64,
}

/// A whole list, or changes to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerListUpdate<E> {
    /// The version that the receiver has once the update is applied.
    pub version: ListVersion,
    /// The version that the changes follow on; `None` for a whole list.
    pub base: Option<ListVersion>,
    /// The address of discovery that the list comes from.
    pub source: Option<SocketAddr>,
    /// The servers by name; `None` for one that was removed.
    pub servers: BTreeMap<String, Option<E>>,
}

/// A server before and after an update; `None` where it is not listed.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerChange<E> {
    /// As it was listed.
    pub before: Option<E>,
    /// As it is listed.
    pub after: Option<E>,
}

/// What became of an update that another process has sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Received<E> {
    /// It is applied: the servers that differ from before, by name.
    Applied(BTreeMap<String, ServerChange<E>>),
    /// This process has this version already.
    Known,
    /// The sender has an earlier version: it is to be sent the whole list.
    Outdated,
    /// Versions in between are missing: the sender is to be told which version this process has.
    Gap,
}

/// The list as one process knows it.
#[derive(Clone, Debug)]
pub struct SharedServerList<E> {
    version: ListVersion,
    /// Whether any process of the node has heard of this list from discovery. A configured list yields to any other.
    confirmed: bool,
    source: Option<SocketAddr>,
    servers: BTreeMap<String, E>,
}

impl<E> Default for SharedServerList<E> {
    fn default() -> Self {
        SharedServerList {
            version: ListVersion::default(),
            confirmed: false,
            source: None,
            servers: BTreeMap::new(),
        }
    }
}

impl<E: Clone + PartialEq> SharedServerList<E> {
    /// The version, if any process of the node has heard of the list from discovery.
    pub fn version(&self) -> Option<ListVersion> {
        self.confirmed.then_some(self.version)
    }

    /// The address of discovery that the list comes from.
    pub fn source(&self) -> Option<SocketAddr> {
        self.source
    }

    /// Starts with a configured list.
    pub fn configure(&mut self, number: u64, servers: impl IntoIterator<Item = (String, E)>) {
        self.version.number = number;
        self.servers = servers.into_iter().collect();
    }

    /// Applies what discovery has sent: all servers, or those that changed, `None` for one that was removed. A lower
    /// number than before begins a new generation.
    pub fn update(
        &mut self,
        number: u64,
        source: Option<SocketAddr>,
        full: bool,
        servers: impl IntoIterator<Item = (String, Option<E>)>,
    ) {
        if self.confirmed && number < self.version.number {
            self.version.generation += 1;
        }
        self.version.number = number;
        (self.confirmed, self.source) = (true, source);
        if full {
            self.servers.clear();
        }
        for (name, server) in servers {
            self.set(name, server);
        }
    }

    /// The whole list; `None` if no process of the node has heard of one from discovery.
    pub fn snapshot(&self) -> Option<ServerListUpdate<E>> {
        self.confirmed.then(|| ServerListUpdate {
            version: self.version,
            base: None,
            source: self.source,
            servers: self.servers.iter().map(|(name, e)| (name.clone(), Some(e.clone()))).collect(),
        })
    }

    /// These servers as they are now, as changes that follow on a version.
    pub fn changes_since(
        &self,
        base: ListVersion,
        names: impl IntoIterator<Item = String>,
    ) -> ServerListUpdate<E> {
        let current = |name: String| {
            let server = self.servers.get(&name).cloned();
            (name, server)
        };
        ServerListUpdate {
            version: self.version,
            base: Some(base),
            source: self.source,
            servers: names.into_iter().map(current).collect(),
        }
    }

    /// Applies an update of another process.
    pub fn receive(&mut self, update: ServerListUpdate<E>) -> Received<E> {
        let held = self.version();
        match held {
            Some(held) if update.version == held => return Received::Known,
            Some(held) if update.version < held => return Received::Outdated,
            _ => {}
        }
        if update.base.is_some_and(|base| held.is_none_or(|held| held < base)) {
            return Received::Gap;
        }
        let mut servers = update.servers;
        if update.base.is_none() {
            let absent: Vec<String> =
                self.servers.keys().filter(|name| !servers.contains_key(*name)).cloned().collect();
            servers.extend(absent.into_iter().map(|name| (name, None)));
        }
        (self.version, self.confirmed, self.source) = (update.version, true, update.source);
        let change = |(name, after): (String, Option<E>)| {
            let before = self.servers.get(&name).cloned();
            self.set(name.clone(), after.clone());
            (before != after).then_some((name, ServerChange { before, after }))
        };
        Received::Applied(servers.into_iter().filter_map(change).collect())
    }

    fn set(&mut self, name: String, server: Option<E>) {
        match server {
            Some(server) => drop(self.servers.insert(name, server)),
            None => drop(self.servers.remove(&name)),
        }
    }
}

/// What is still to be sent to one process.
#[derive(Clone, Debug, Default)]
pub struct ListOutbox {
    /// The version that the process has once it has read all that was sent; `None` before the first whole list.
    sent: Option<ListVersion>,
    /// The whole list is to be sent.
    whole: bool,
    /// Names of servers whose changes are to be sent.
    changed: BTreeSet<String>,
    /// This process's version is to be sent, whatever it is.
    announce: bool,
}

impl ListOutbox {
    /// The whole list is to be sent.
    pub fn send_whole(&mut self) {
        self.whole = true;
        self.changed.clear();
    }

    /// These servers have changed.
    pub fn add_changes(&mut self, names: impl IntoIterator<Item = String>) {
        if !self.whole {
            self.changed.extend(names);
        }
    }

    /// The other process has sent this version, which this process has applied or had before.
    pub fn peer_has(&mut self, version: ListVersion) {
        if self.sent < Some(version) {
            self.sent = Some(version);
            self.whole = false;
            self.changed.clear();
        }
    }

    /// This process's version is to be sent, so that the other one answers with what is missing.
    pub fn announce_version(&mut self) {
        self.announce = true;
    }

    /// The next update to send, if there is one.
    pub fn next<E: Clone + PartialEq>(&mut self, list: &SharedServerList<E>) -> Option<ServerListUpdate<E>> {
        let announce = std::mem::take(&mut self.announce);
        let Some(version) = list.version() else {
            // Whatever the other process has is later.
            return announce.then(|| list.changes_since(ListVersion::default(), []));
        };
        if std::mem::take(&mut self.whole) || self.sent.is_none() && !announce {
            self.changed.clear();
            self.sent = Some(version);
            return list.snapshot();
        }
        let base = self.sent.unwrap_or(version);
        if base == version && !announce {
            return None;
        }
        self.sent = self.sent.map(|_| version);
        Some(list.changes_since(base, std::mem::take(&mut self.changed)))
    }
}

/// A part of an encoded update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListFragment {
    /// A part of the update's JSON text.
    pub text: String,
    /// It is the update's last part.
    pub last: bool,
}

impl ListFragment {
    /// Encodes an update as fragments that fit into packets.
    pub fn split<E: Serialize>(update: &ServerListUpdate<E>) -> Vec<ListFragment> {
        let text = serde_json::to_string(update).unwrap_or_default();
        let mut fragments = Vec::new();
        let mut rest = &text[..];
        while !rest.is_empty() {
            let end = (0..=FRAGMENT_BYTES.min(rest.len())).rev().find(|end| rest.is_char_boundary(*end));
            let (text, more) = rest.split_at(end.unwrap_or(rest.len()));
            fragments.push(ListFragment { text: text.to_owned(), last: more.is_empty() });
            rest = more;
        }
        fragments
    }
}

/// Why an update cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It exceeds the limit.
    #[error("a server list of over {MAX_UPDATE_BYTES} bytes")]
    TooLong,
    /// It is not an update.
    #[error("server list: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Puts the fragments of one sender together.
#[derive(Debug, Default)]
pub struct ListAssembler {
    text: String,
    /// The present update exceeds the limit; its other fragments are dropped.
    too_long: bool,
}

impl ListAssembler {
    /// Takes the next fragment; returns the update that it completes.
    pub fn receive<E: for<'de> Deserialize<'de>>(
        &mut self,
        fragment: ListFragment,
    ) -> Result<Option<ServerListUpdate<E>>, ListError> {
        self.too_long |= self.text.len() + fragment.text.len() > MAX_UPDATE_BYTES;
        if self.too_long {
            self.text.clear();
        } else {
            self.text += &fragment.text;
        }
        if !fragment.last {
            return Ok(None);
        }
        let text = std::mem::take(&mut self.text);
        match std::mem::take(&mut self.too_long) {
            true => Err(ListError::TooLong),
            false => Ok(Some(serde_json::from_str(&text)?)),
        }
    }
}
