//! Servers that operators have taken out of use, and those that they have put back.
//!
//! A last-writer-wins map (Shapiro et al., "A comprehensive study of convergent and commutative replicated data
//! types", 2011, section 3.2.1): words about one server are ordered by their time, so that two processes that tell
//! each other theirs agree, whatever the order and however often.

use laurelroute_policy::interface::{Nanos, Phase, Server};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most words that are held; beyond it, the oldest about servers in use are forgotten first.
pub const MOST: usize = 1024;
/// The longest name of a server.
pub const MOST_NAME: usize = 128;

/// The operators' last word on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// The server's name.
    pub host: String,
    /// Out of use, or back in use.
    pub out: bool,
    /// When it was said, nanoseconds since the Unix epoch.
    pub at: Nanos,
    /// When the server was taken out, for one that is back.
    pub since: Nanos,
}

/// Why a word is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BanError {
    /// So many are out that no further one is remembered.
    #[error("{MOST} servers are out of use already")]
    Full,
}

/// All words that count.
#[derive(Clone, Debug, Default)]
pub struct Bans {
    words: BTreeMap<String, Word>,
    /// When words of others were heard here, on this process's own clock. The clock by which a word was said may have been off,
    /// also by an hour, and a word that was heard cannot have been said later.
    heard: BTreeMap<String, Nanos>,
}

impl PartialEq for Bans {
    /// The same words, whenever they were heard.
    fn eq(&self, other: &Bans) -> bool {
        self.words == other.words
    }
}

impl Eq for Bans {}

impl Bans {
    /// Whether a server is out of use.
    pub fn out(&self, host: &str) -> bool {
        self.words.get(host).is_some_and(|w| w.out)
    }

    /// Whether a server was put back, and that is remembered.
    pub fn back(&self, host: &str) -> bool {
        self.words.get(host).is_some_and(|w| !w.out)
    }

    /// All words, by name.
    pub fn words(&self) -> impl Iterator<Item = &Word> {
        self.words.values()
    }

    /// Takes a server out of use. Taken out twice, it is out once. The word to tell others, if it is new.
    pub fn detach(&mut self, host: &str, now: Nanos) -> Result<Option<Word>, BanError> {
        if self.out(host) {
            return Ok(None);
        }
        let at = self.later(host, now);
        self.say(Word { host: host.to_owned(), out: true, at, since: at }).map(Some)
    }

    /// Uses a server again, however often it was taken out. The word to tell others, if it was out.
    pub fn attach(&mut self, host: &str, now: Nanos) -> Option<Word> {
        let since = self.words.get(host).filter(|w| w.out)?.since;
        let at = self.later(host, now);
        self.say(Word { host: host.to_owned(), out: false, at, since }).ok()
    }

    /// Takes over others' words; gives the names of the servers on which something has changed.
    pub fn merge(&mut self, words: impl IntoIterator<Item = Word>) -> Vec<String> {
        let mut changed = Vec::new();
        for word in words {
            // At the same moment, out weighs more: nothing then goes where somebody wants nothing to go.
            let order = |w: &Word| (w.at, w.out, w.since);
            let newer = self.words.get(&word.host).is_none_or(|w| order(w) < order(&word));
            let host = word.host.clone();
            if newer && host.len() <= MOST_NAME && self.say(word).is_ok() {
                changed.push(host);
            }
        }
        changed
    }

    /// The same for words that are heard now, on the clock of this process.
    pub fn hear(&mut self, words: impl IntoIterator<Item = Word>, now: Nanos) -> Vec<String> {
        let changed = self.merge(words);
        self.heard.extend(changed.iter().map(|host| (host.clone(), now)));
        changed
    }

    /// When a word was said, on this process's own clock.
    fn said_at(&self, word: &Word) -> Nanos {
        self.heard.get(&word.host).map_or(word.at, |heard| word.at.min(*heard))
    }

    /// A server as it counts here, by what discovery lists of it.
    ///
    /// One that is out drains. One that is back has most likely been restarted, and the list, which is seconds late,
    /// may not tell yet: it counts as started when it was put back, as long as the list has no start after the ban.
    pub fn overlay(&self, host: &str, listed: Server) -> Server {
        match self.words.get(host) {
            Some(word) if word.out && listed.phase == Phase::Ready => {
                Server { phase: Phase::Draining, ..listed }
            }
            Some(word) if !word.out && listed.started_at < word.since => {
                Server { started_at: self.said_at(word), ..listed }
            }
            _ => listed,
        }
    }

    /// Forgets the servers that were put back before `before`: they are warm whatever is assumed of them.
    pub fn forget(&mut self, before: Nanos) {
        let heard = std::mem::take(&mut self.heard);
        let old = |w: &Word| heard.get(&w.host).map_or(w.at, |heard| w.at.min(*heard)) < before;
        self.words.retain(|_, w| w.out || !old(w));
        self.heard = heard;
        self.heard.retain(|host, _| self.words.contains_key(host));
    }

    /// A time after all that was said of a server: clocks of two processes may differ by a little.
    fn later(&self, host: &str, now: Nanos) -> Nanos {
        self.words.get(host).map_or(now, |w| now.max(w.at + 1))
    }

    fn say(&mut self, word: Word) -> Result<Word, BanError> {
        if !self.words.contains_key(&word.host) && self.words.len() >= MOST {
            let back = self.words.values().filter(|w| !w.out).min_by_key(|w| w.at).map(|w| w.host.clone());
            self.words.remove(&back.ok_or(BanError::Full)?);
        }
        self.heard.remove(&word.host);
        self.words.insert(word.host.clone(), word.clone());
        Ok(word)
    }
}
