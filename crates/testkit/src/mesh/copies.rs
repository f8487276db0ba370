//! What staff said at processes of a fleet, what these wrote of their copies, and whether the copies keep what is promised. A
//! word is taken as its speaker wrote it down, with what it knew then; what all come to is worked out here anew.

use super::check::Run;
use crate::program::call_for_text;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// All copies are equal so soon after all agree on the members.
pub const EQUAL: Duration = Duration::from_secs(3);
/// Who says that it has caught up has what all others had for so long, in microseconds.
const UNDER_WAY: u64 = 3_000_000;

/// A process that is killed so soon after it learnt of something may not have it on its disk, in microseconds. Staff are
/// answered later.
const WRITTEN: u64 = 300_000;

/// What seats lost of what they knew, with when.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    /// Those that started without what they had kept.
    pub fresh: Vec<(u64, u64)>,
    /// Those whose process was killed.
    pub kills: Vec<(u64, u64)>,
    /// Those whose process was stopped, from when to when.
    pub stops: Vec<(u64, u64, u64)>,
}

/// What staff were answered.
#[derive(Clone, Debug)]
pub struct Answered {
    /// At which seat.
    pub seat: u64,
    /// On which box.
    pub host: String,
    /// Out, or back.
    pub out: bool,
    /// The answer says that other members have the word.
    pub kept: bool,
}

/// Says a word to a process.
pub fn call(management: SocketAddr, seat: u64, host: String, out: bool) -> Answered {
    let path = format!("/_servers/{}/{host}", if out { "detach" } else { "attach" });
    let (status, text) = call_for_text(management, "POST", &path).unwrap_or_default();
    let kept = status == 200 && text.contains("other member");
    Answered { seat, host, out, kept }
}

/// A word: its speaker's seat and life, and its number.
type Dot = (u64, u64, u64);

/// Of each speaker's run, up to which number its words are known.
type Known = BTreeMap<(u64, u64), u64>;

#[derive(Clone, Debug)]
struct Said {
    at: u64,
    by: Run,
    host: String,
    out: bool,
    dot: Dot,
    knew: Known,
}

#[derive(Clone, Debug)]
struct Ban {
    at: u64,
    by: Run,
    host: String,
    out: bool,
    known: Known,
}

/// What the processes wrote.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    said: Vec<Said>,
    bans: Vec<Ban>,
    roots: Vec<(u64, Run, String)>,
    caught: Vec<(u64, Run)>,
    /// Starts of each seat's processes. One of them may have several lives as a member.
    starts: Vec<(u64, u64)>,
}

fn dots(value: &Value) -> Vec<Dot> {
    let dot = |d: &Value| Some((d[0].as_u64()?, d[1].as_u64()?, d[2].as_u64()?));
    value.as_array().into_iter().flatten().filter_map(dot).collect()
}

fn known(value: &Value) -> Known {
    dots(value).into_iter().map(|(seat, life, number)| ((seat, life), number)).collect()
}

fn holds(known: &Known, (seat, life, number): Dot) -> bool {
    known.get(&(seat, life)).is_some_and(|n| *n >= number)
}

impl Copies {
    pub(super) fn line(&mut self, at: u64, by: Run, line: &Value) {
        let text = line["value"].as_str().unwrap_or_default();
        let value: Value = serde_json::from_str(text).unwrap_or_default();
        let host = value["host"].as_str().unwrap_or_default().to_owned();
        let out = value["out"] == true;
        match line["what"].as_str() {
            Some("ban") => self.bans.push(Ban { at, by, host, out, known: known(&value["known"]) }),
            Some("said") => {
                let dot =
                    dots(&Value::Array(vec![value["dot"].clone()])).first().copied().unwrap_or_default();
                let mut knew = known(&value["knew"]);
                // Its own former words are among what it knew, and this one is not.
                match dot.2 {
                    0 | 1 => knew.remove(&(dot.0, dot.1)),
                    n => knew.insert((dot.0, dot.1), n - 1),
                };
                self.said.push(Said { at, by, host, out, dot, knew });
            }
            Some("start") => self.starts.push((at, by.0)),
            Some("copy") => self.roots.push((at, by, text.to_owned())),
            _ => self.caught.push((at, by)),
        }
    }

    pub(super) fn sort(&mut self) {
        self.said.sort_by_key(|s| s.at);
        self.bans.sort_by_key(|b| b.at);
        self.roots.sort_by_key(|r| r.0);
        self.starts.sort_unstable();
    }

    /// When the process started that a seat had then.
    fn started(&self, seat: u64, at: u64) -> u64 {
        self.starts.iter().rfind(|(start, s)| *s == seat && *start <= at).map_or(0, |(start, _)| *start)
    }

    /// Whether the copies that these seats' processes have last written of are one.
    pub fn equal(&self, seats: &BTreeMap<u64, u64>) -> bool {
        let last = |seat: u64| {
            let since = self.started(seat, u64::MAX);
            self.roots.iter().rfind(|(at, by, _)| by.0 == seat && *at >= since).map(|(_, _, root)| root)
        };
        let roots: BTreeSet<Option<&String>> = seats.keys().map(|seat| last(*seat)).collect();
        roots.len() <= 1
    }

    /// Since when a seat has known then that a box is out.
    pub fn out_for(&self, seat: u64, host: &str, at: u64) -> Option<u64> {
        let (started, mut since) = (self.started(seat, at), None);
        let of = |b: &&Ban| b.by.0 == seat && b.host == host && (started..=at).contains(&b.at);
        for ban in self.bans.iter().filter(of) {
            since = if ban.out { since.or(Some(ban.at)) } else { None };
        }
        since
    }

    fn last(&self, seat: u64, host: &str) -> Option<&Ban> {
        let since = self.started(seat, u64::MAX);
        self.bans.iter().rfind(|b| b.by.0 == seat && b.host == host && b.at >= since)
    }

    /// What the copies have come to, against what was said and answered.
    pub fn check(&self, lives: &BTreeMap<u64, u64>, losses: &Losses, answered: &[Answered]) -> Vec<String> {
        let mut broken = self.early(losses);
        let lost_after = |seat: u64, at: u64| {
            losses.fresh.iter().any(|(s, when)| *s == seat && *when > at)
                || losses.kills.iter().any(|(s, when)| *s == seat && *when > at && *when < at + WRITTEN)
        };
        let hosts: BTreeSet<&String> = self.said.iter().map(|s| &s.host).collect();
        for host in hosts {
            let said: Vec<&Said> = self.said.iter().filter(|s| s.host == *host).collect();
            for seat in lives.keys() {
                let last = self.last(*seat, host);
                let knows = |s: &Said| last.is_some_and(|b| holds(&b.known, s.dot));
                // Somebody had it and has not lost it since.
                let had = |s: &Said| {
                    let by = self.bans.iter().filter(|b| b.host == *host && holds(&b.known, s.dot));
                    let mut had = by.map(|b| (b.by.0, b.at));
                    had.any(|(seat, at)| !lost_after(seat, at))
                };
                let forgotten = said.iter().filter(|s| had(s) && !knows(s));
                broken.extend(forgotten.map(|s| format!("seat {seat} lacks the word {:?} on {host}", s.dot)));
                let standing = |s: &&&Said| {
                    knows(s) && !said.iter().any(|o| knows(o) && o.dot != s.dot && holds(&o.knew, s.dot))
                };
                let out = said.iter().filter(standing).any(|s| s.out);
                if last.is_some_and(|b| b.out) != out {
                    broken.push(format!(
                        "seat {seat}: {host} is out: {}, and by what was said it is {out}",
                        !out
                    ));
                }
            }
        }
        broken.extend(self.unwritten(answered));
        broken
    }

    /// Words that were answered as kept, and that nobody has written of.
    fn unwritten(&self, answered: &[Answered]) -> Vec<String> {
        let wrote =
            |a: &&Answered| self.bans.iter().any(|b| b.by.0 == a.seat && b.host == a.host && b.out == a.out);
        let none = answered.iter().filter(|a| a.kept && !wrote(a));
        none.map(|a| format!("seat {} answered that {} is kept, and never wrote of it", a.seat, a.host))
            .collect()
    }

    /// Who says that it has caught up has what all others had a second before.
    fn early(&self, losses: &Losses) -> Vec<String> {
        let mut early = Vec::new();
        // Who has just woken has yet to read what came meanwhile.
        let woken = |seat: u64, at: u64| {
            losses.stops.iter().any(|(s, from, to)| *s == seat && *from < at && at < to + UNDER_WAY)
        };
        for (at, run) in self.caught.iter().filter(|(at, run)| !woken(run.0, *at)) {
            for said in self.said.iter().filter(|s| s.at + UNDER_WAY < *at && s.by.0 != run.0) {
                // What a process before on that seat had is lost with its disk.
                let had = |seat: u64| {
                    let since = self.started(seat, *at);
                    let knew = |b: &&Ban| b.by.0 == seat && b.host == said.host && holds(&b.known, said.dot);
                    self.bans.iter().filter(knew).any(|b| (since..*at - UNDER_WAY).contains(&b.at))
                };
                let seats: BTreeSet<u64> = self.roots.iter().map(|(_, by, _)| by.0).chain([run.0]).collect();
                let others = seats.iter().filter(|s| **s != run.0);
                let all = others.clone().count() > 0 && others.clone().all(|s| had(*s));
                let since = self.started(run.0, *at);
                let knows = self.bans.iter().any(|b| {
                    b.by.0 == run.0
                        && b.at >= since
                        && b.host == said.host
                        && b.at <= *at
                        && holds(&b.known, said.dot)
                });
                if all && !knows {
                    early
                        .push(format!("seat {} says that it has caught up, and lacks {:?}", run.0, said.dot));
                }
            }
        }
        early
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ban(at: u64, by: Run, out: bool, known: &[(Run, u64)]) -> Ban {
        Ban { at, by, host: "b".to_owned(), out, known: known.iter().copied().collect() }
    }

    fn said(at: u64, by: Run, out: bool, number: u64, knew: &[(Run, u64)]) -> Said {
        Said {
            at,
            by,
            host: "b".to_owned(),
            out,
            dot: (by.0, by.1, number),
            knew: knew.iter().copied().collect(),
        }
    }

    #[test]
    fn what_breaks_a_promise_is_found() {
        let (a, b) = ((0, 10), (1, 11));
        let lives: BTreeMap<u64, u64> = [a, b].into_iter().collect();
        let mut all = Copies {
            said: vec![said(1, a, true, 1, &[]), said(5, b, false, 1, &[(a, 1)])],
            bans: vec![
                ban(1, a, true, &[(a, 1)]),
                ban(2, b, true, &[(a, 1)]),
                ban(5, b, false, &[(a, 1), (b, 1)]),
                ban(6, a, false, &[(a, 1), (b, 1)]),
            ],
            ..Copies::default()
        };
        assert_eq!(all.check(&lives, &Losses::default(), &[]), Vec::<String>::new());
        assert_eq!((all.out_for(1, "b", 4), all.out_for(1, "b", 5)), (Some(2), None));
        // The ban did not know of the word that put it back: it stands.
        all.said[1].knew.clear();
        assert_eq!(all.check(&lives, &Losses::default(), &[]).len(), 2);
        all.said[1].knew.insert(a, 1);
        all.bans.pop();
        assert_eq!(all.check(&lives, &Losses::default(), &[]).len(), 1, "one lacks the word");
        // Had it been at one that lost its disk since, nobody need have it.
        all.bans.retain(|b| b.at != 5);
        assert_eq!(all.check(&lives, &Losses::default(), &[]).len(), 0);
        all.caught.push((5_000_000, (2, 12)));
        all.roots = vec![(1, a, String::new()), (1, b, String::new())];
        assert_eq!(all.check(&lives, &Losses::default(), &[]).len(), 1, "one that had not caught up");
    }
}
