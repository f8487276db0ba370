//! The oracle: reads a history and names every promise that it breaks. It knows nothing of the program.

use super::history::{Asked, Ban, Came, End, Happened, Health, History, Made, Moment, Ramp};
use crate::wire::Class;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

/// What each time limit is longer by on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// How late the soak's own stamps may be.
const STAMP: Duration = Duration::from_millis(15);
/// Nothing new goes to a server so long after its change counts as told.
const DRAIN: Duration = Duration::from_millis(250);
/// An answer may come so long after its client's time.
const LATE: Duration = Duration::from_millis(500);
/// What a server is told to wait may exceed what the client has left by this.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// An attempt may begin so long after its client has gone.
const GONE: Duration = Duration::from_millis(100);
/// Bad clients get their error or close within this.
const HALF: Duration = Duration::from_secs(3);
/// A hold-up that all rules but that on drains bear.
const HELD_UP: Duration = Duration::from_millis(150);
/// A process that is started again is ready within this.
const READY: Duration = Duration::from_secs(10);

/// Refusals of a second are judged where so many were asked ...
const LEAST_ASKED: usize = 50;
/// ... and are too many from this part on.
const MOST_REFUSED: f64 = 0.2;

/// Answers with no length are judged from so many on.
const LEAST_OF_NO_LENGTH: usize = 10;

/// A process that lives for so long with a sound disk has kept on it what it was told.
const DISK_TIME: Duration = Duration::from_millis(1_200);
/// A process that is told to end has so long to do so.
const END_TIME: Duration = Duration::from_millis(2_400);

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer in time, by whoever made it.
    Lost,
    /// An answer that no server made for the request.
    Mixed,
    /// No unsafe effect twice, and no keyed one outside its window.
    Duplicate,
    /// No more attempts of a request under way at once than the settings allow.
    SecondCopy,
    /// Nothing new to a server past its grace.
    Drain,
    /// Nothing goes to a server that staff have taken out.
    Ban,
    /// No server in slow start overloaded.
    Overload,
    /// The deadline passed on is no longer than the client's.
    Deadline,
    /// No attempt begins once its client has gone.
    Gone,
    /// Whoever stops in a request hears of it.
    Half,
    /// No process ends by itself, and each is ready in time and ends in time.
    Process,
    /// Not refused, unsent, while servers idle.
    Idle,
    /// No process counts a violation of its own invariants.
    Invariant,
    /// Of the answers with no length that come whole, half at least are forwarded.
    NoLength,
}

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: Moment,
    /// The request, where it is one's.
    pub id: Option<String>,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = self.id.as_deref().unwrap_or("-");
        write!(f, "{:?} at {:.3} s, {id}: {}", self.rule, self.at.0 as f64 / 1e6, self.text)
    }
}

/// The share of its capacity that a server has at a moment.
pub fn share(ramp: &Ramp, born: Moment, now: Moment) -> f64 {
    if born == Moment(0) {
        return 1.0;
    }
    let age = now.since(born).as_secs_f64() * 1e3 / ramp.time_ms as f64;
    (ramp.from + (1.0 - ramp.from) * age).min(1.0)
}

/// All promises that a history breaks, by time.
pub fn check(history: &History) -> Vec<Violation> {
    let index = Index::new(history);
    let mut found = Vec::new();
    history.asked.iter().for_each(|asked| answers(&index, asked, &mut found));
    for (id, came) in &index.came {
        repeats(history, &index, id, came, &mut found);
    }
    history.came.iter().for_each(|came| attempt(&index, came, &mut found));
    history.came.iter().for_each(|came| second_copies(history, came, &mut found));
    history.bans.iter().for_each(|ban| banned(history, ban, &mut found));
    halves(history, &mut found);
    overloads(history, &mut found);
    processes(history, &mut found);
    idle_refusals(history, &mut found);
    answers_of_no_length(history, &mut found);
    if let Some(count) = history.counters.get("violation").filter(|count| **count > 0) {
        let text = format!("{count} violations counted by the processes themselves");
        found.push(Violation { rule: Rule::Invariant, at: Moment(0), id: None, text });
    }
    found.sort_by_key(|v| v.at);
    found
}

/// A change of a server's state: when it was made, when it counts, and the state.
type Change = (Moment, Moment, Health);

struct Index<'a> {
    asked: HashMap<&'a str, &'a Asked>,
    came: BTreeMap<&'a str, Vec<&'a Came>>,
    kills: Vec<(usize, Moment)>,
    /// By node and server, in the order in which changes were made.
    told: HashMap<(usize, usize), Vec<Change>>,
}

impl<'a> Index<'a> {
    fn new(history: &'a History) -> Self {
        let asked = history.asked.iter().map(|a| (a.id.as_str(), a)).collect();
        let mut came: BTreeMap<&str, Vec<&Came>> = BTreeMap::new();
        history.came.iter().for_each(|c| came.entry(&c.id).or_default().push(c));
        let killed = |l: &&super::history::Life| matches!(l.what, Happened::Killed | Happened::Crashed);
        let kills = history.lives.iter().filter(killed).map(|l| (l.node, l.at)).collect();
        let mut told: HashMap<_, Vec<_>> = HashMap::new();
        for t in &history.told {
            told.entry((t.node, t.server)).or_default().push((t.made, t.counts, t.health));
        }
        told.values_mut().for_each(|changes| changes.sort_by_key(|(made, ..)| *made));
        Index { asked, came, kills, told }
    }

    /// A process of the node was killed while this went on.
    fn killed(&self, node: usize, from: Moment, until: Moment) -> bool {
        let until = until.after(STAMP);
        self.kills.iter().any(|(n, at)| *n == node && *at >= from && *at <= until)
    }
}

fn answers(index: &Index, asked: &Asked, found: &mut Vec<Violation>) {
    let mut say = |rule, at, text: String| {
        found.push(Violation { rule, at, id: Some(asked.id.clone()), text });
    };
    let class = asked.class;
    for (k, sending) in asked.tries.iter().enumerate() {
        if index.killed(asked.node, sending.sent, sending.ended) {
            return;
        }
        let took = sending.ended.since(sending.sent);
        let due = Duration::from_millis(sending.deadline_ms) + LATE;
        match sending.end {
            End::Answered(409) if k > 0 => {
                say(Rule::Lost, sending.ended, format!("{class:?} read, closed with no answer, then 409"));
            }
            End::Answered(_) if took > due => {
                say(Rule::Lost, sending.ended, format!("{class:?} answered after {took:?}"));
            }
            End::Mixed => say(Rule::Mixed, sending.ended, format!("{class:?} has another's answer")),
            End::Silent => say(Rule::Lost, sending.ended, format!("{class:?} no answer in {took:?}")),
            End::Closed if sending.fresh => {
                say(
                    Rule::Lost,
                    sending.ended,
                    format!("{class:?} closed on a new connection after {took:?}"),
                );
            }
            End::Closed => {
                let next = asked.tries.get(k + 1).map_or(Moment(u64::MAX), |t| t.begun);
                let came = index.came.get(asked.id.as_str()).into_iter().flatten();
                if came.clone().any(|c| c.first < next) {
                    say(Rule::Lost, sending.ended, format!("{class:?} sent on, then closed with no answer"));
                }
            }
            End::Answered(_) | End::Left | End::Unreached => {}
        }
    }
}

/// What may be sent again.
fn repeats(history: &History, index: &Index, id: &str, came: &[&Came], found: &mut Vec<Violation>) {
    let Some(asked) = index.asked.get(id) else { return };
    let ran: Vec<_> = came.iter().filter(|c| c.made == Made::Ran).collect();
    let Some(first) = ran.first() else { return };
    // A client that sends again after its node was killed is no matter of the node's.
    if index.killed(asked.node, first.first, first.first.after(Duration::from_secs(5))) {
        return;
    }
    for again in &ran[1..] {
        let apart = again.first.since(first.first);
        let window = Duration::from_millis(history.window_ms) + SLACK + HELD_UP;
        let wrong = match asked.class {
            Class::Read => false,
            Class::Write => true,
            Class::Keyed => apart > window,
        };
        if wrong {
            let text = format!("{:?} ran again at s-{} after {apart:?}", asked.class, again.server);
            found.push(Violation { rule: Rule::Duplicate, at: again.first, id: Some(id.to_owned()), text });
        }
    }
}

/// How many attempts of a request may be under way at once.
fn second_copies(history: &History, came: &Came, found: &mut Vec<Violation>) {
    let at_once = came.beside + 1;
    if at_once > history.attempts_at_once {
        let text = format!(
            "{at_once} attempts under way at once with that of node {} at s-{}, where {} may be",
            came.node, came.server, history.attempts_at_once
        );
        found.push(Violation { rule: Rule::SecondCopy, at: came.last, id: Some(came.id.clone()), text });
    }
}

/// What holds for each attempt.
fn attempt(index: &Index, came: &Came, found: &mut Vec<Violation>) {
    let mut say = |rule, text: String| {
        found.push(Violation { rule, at: came.first, id: Some(came.id.clone()), text });
    };
    if let Some(changes) = index.told.get(&(came.node, came.server)) {
        // The last change that counts for this node by then: what it was told in between does not matter.
        let counts = changes.iter().filter(|(_, counts, _)| *counts <= came.first);
        let last = counts.max_by_key(|(made, ..)| *made);
        // It may know more than it has to.
        let newer = |(made, _, health): &&Change| {
            *health == Health::Active && *made <= came.first && last.is_some_and(|(at, ..)| made > at)
        };
        if let Some((_, at, Health::Leaving)) = last.filter(|_| changes.iter().find(newer).is_none()) {
            let late = came.first.since(*at);
            if late > DRAIN + SLACK + STAMP {
                say(
                    Rule::Drain,
                    format!("sent by node {} to s-{} {late:?} after it was told", came.node, came.server),
                );
            }
        }
    }
    let Some(asked) = index.asked.get(came.id.as_str()) else { return };
    // The sending that it belongs to is the last one before it.
    let Some(sending) = asked.tries.iter().rev().find(|t| t.sent <= came.first.after(STAMP)) else { return };
    let left = Duration::from_millis(sending.deadline_ms).saturating_sub(came.first.since(sending.sent));
    let wait = Duration::from_millis(came.wait_ms);
    if wait > left + DEADLINE_SLACK + STAMP {
        say(Rule::Deadline, format!("told to wait {wait:?} where its client has {left:?}"));
    }
    if sending.end == End::Left && came.first.since(sending.ended) > GONE + STAMP {
        let late = came.first.since(sending.ended);
        say(Rule::Gone, format!("sent by node {} {late:?} after its client left", came.node));
    }
}

fn banned(history: &History, ban: &Ban, found: &mut Vec<Violation>) {
    // A process that had no time with a sound disk cannot have kept the word.
    let hopeless = |l: &super::history::Life| match l.what {
        Happened::Killed => l.at < ban.well.after(DISK_TIME),
        Happened::Told => l.at.after(END_TIME) < ban.well,
        _ => false,
    };
    if history.lives.iter().any(|l| l.node == ban.node && l.at >= ban.at && hopeless(l)) {
        return;
    }
    let since = ban.at.after(DRAIN + SLACK + STAMP);
    let sent = |c: &&Came| c.node == ban.node && c.server == ban.server && c.first > since;
    if let Some(came) = history.came.iter().filter(sent).min_by_key(|c| c.first) {
        let text = format!(
            "node {} sent to s-{} {:?} after it was taken out",
            ban.node,
            ban.server,
            came.first.since(ban.at)
        );
        found.push(Violation { rule: Rule::Ban, at: came.first, id: Some(came.id.clone()), text });
    }
}

fn halves(history: &History, found: &mut Vec<Violation>) {
    for half in &history.halves {
        let end = half.ended.unwrap_or(Moment(u64::MAX));
        let took = end.since(half.stopped);
        if took > HALF + HELD_UP {
            let text = match half.ended {
                Some(_) => format!("node {}: half a request ended after {took:?}", half.node),
                None => format!("node {}: half a request never ended", half.node),
            };
            found.push(Violation { rule: Rule::Half, at: half.stopped, id: None, text });
        }
    }
}

/// Cold servers: what came in any window that ends with a request.
fn overloads(history: &History, found: &mut Vec<Violation>) {
    let ramp = &history.ramp;
    let window = Duration::from_millis(ramp.window_ms);
    for birth in &history.births {
        let next = history.births.iter().filter(|b| b.server == birth.server && b.at > birth.at);
        let end = next.map(|b| b.at).min().unwrap_or(Moment(u64::MAX));
        let warm = birth.at.after(Duration::from_millis(ramp.time_ms)).min(end);
        let mut times: Vec<Moment> = history
            .came
            .iter()
            .filter(|c| c.server == birth.server && c.first >= birth.at && c.first < warm)
            .map(|c| c.first)
            .collect();
        times.sort();
        for (k, now) in times.iter().enumerate() {
            let from = times.partition_point(|t| t.after(window) < *now);
            let count = (k + 1 - from) as f64;
            let allowed = ramp.multiple * share(ramp, birth.at, *now) * ramp.capacity * window.as_secs_f64();
            let root = allowed.sqrt();
            let most = allowed + if allowed < 30.0 { 3.0 * root + 3.0 } else { 2.0 * root + 2.0 };
            if count > most {
                let text = format!("s-{} got {count} where {most:.0} may come", birth.server);
                found.push(Violation { rule: Rule::Overload, at: *now, id: None, text });
                break;
            }
        }
    }
}

fn processes(history: &History, found: &mut Vec<Violation>) {
    let mut say = |at, text: String| found.push(Violation { rule: Rule::Process, at, id: None, text });
    for (k, life) in history.lives.iter().enumerate() {
        let node = life.node;
        match life.what {
            Happened::Crashed => say(life.at, format!("node {node} ended with nobody asking")),
            Happened::Overdue => say(life.at, format!("node {node} did not end after SIGTERM")),
            Happened::Started => {
                let later = history.lives[k..].iter().filter(|l| l.node == node);
                let up = later.clone().find(|l| l.what == Happened::Up);
                if up.is_none_or(|up| up.at.since(life.at) > READY) {
                    say(life.at, format!("node {node} was not ready within {READY:?}"));
                }
            }
            _ => {}
        }
    }
}

/// Seconds in which much was refused unsent while the servers had at most half of their work: no rule is broken, and it is a
/// fault all the same. Requests that a warm server with one other request could not serve in time do not count.
fn idle_refusals(history: &History, found: &mut Vec<Violation>) {
    const SECOND: u64 = 1_000_000;
    let least_ms = 2.0 * 1e3 / history.ramp.capacity;
    let sent: HashSet<&str> = history.came.iter().map(|c| c.id.as_str()).collect();
    let mut seconds: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    for asked in &history.asked {
        let Some(last) = asked.tries.last().filter(|t| t.deadline_ms as f64 >= least_ms) else { continue };
        let (all, refused) = seconds.entry(last.sent.0 / SECOND).or_default();
        *all += 1;
        let turned_away = matches!(last.end, End::Answered(429 | 503));
        *refused += usize::from(turned_away && !sent.contains(asked.id.as_str()));
    }
    let servers: BTreeSet<usize> = history.came.iter().map(|c| c.server).collect();
    for (second, (all, refused)) in seconds {
        let now = Moment(second * SECOND);
        let born = |server| {
            let births = history.births.iter().filter(move |b| b.server == server && b.at <= now);
            births.map(|b| b.at).max().unwrap_or(Moment(0))
        };
        let capacity: f64 =
            servers.iter().map(|s| share(&history.ramp, born(*s), now) * history.ramp.capacity).sum();
        let came = history.came.iter().filter(|c| c.first.0 / SECOND == second).count();
        if all >= LEAST_ASKED && refused as f64 > MOST_REFUSED * all as f64 && (came as f64) < capacity / 2.0
        {
            let text =
                format!("{refused} of {all} refused unsent, servers had {came} where {capacity:.0} go");
            found.push(Violation { rule: Rule::Idle, at: now, id: None, text });
        }
    }
}

fn answers_of_no_length(history: &History, found: &mut Vec<Violation>) {
    let whole: HashSet<&str> = history.no_length.iter().map(String::as_str).collect();
    let waits = |a: &&Asked| whole.contains(a.id.as_str()) && a.tries.iter().all(|t| t.end != End::Left);
    // One that was sent again has another server's answer.
    let runs = |id: &str| history.came.iter().filter(|c| c.id == id).count();
    let answered =
        |a: &&&Asked| matches!(a.tries.last().map(|t| t.end), Some(End::Answered(200))) && runs(&a.id) <= 1;
    let asked: Vec<&Asked> = history.asked.iter().filter(waits).collect();
    let forwarded = asked.iter().filter(answered).count();
    if asked.len() >= LEAST_OF_NO_LENGTH && forwarded * 2 < asked.len() {
        let text = format!("{forwarded} of {} answers with no length were forwarded", asked.len());
        found.push(Violation {
            rule: Rule::NoLength,
            at: Moment(0),
            id: asked.first().map(|a| a.id.clone()),
            text,
        });
    }
}

/// What became of the requests, for those who look for availability.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shares {
    /// Requests.
    pub asked: usize,
    /// Served.
    pub served: usize,
    /// Answered 429 or 503.
    pub refused: usize,
    /// Answered otherwise.
    pub failed: usize,
    /// Whose client left.
    pub left: usize,
}

impl Shares {
    /// Counts.
    pub fn of(history: &History) -> Shares {
        let mut shares = Shares::default();
        for asked in &history.asked {
            shares.asked += 1;
            match asked.tries.last().map(|t| t.end) {
                Some(End::Answered(200)) => shares.served += 1,
                Some(End::Answered(429 | 503)) => shares.refused += 1,
                Some(End::Left) => shares.left += 1,
                _ => shares.failed += 1,
            }
        }
        shares
    }
}

/// All that was seen of one request, by time.
pub fn timeline(history: &History, id: &str) -> Vec<String> {
    let mut lines = Vec::new();
    for asked in history.asked.iter().filter(|a| a.id == id) {
        for (k, t) in asked.tries.iter().enumerate() {
            let on = if t.fresh { "a new" } else { "a kept" };
            let (class, node, wait) = (asked.class, asked.node, t.deadline_ms);
            lines.push((
                t.sent,
                format!("client sends {class:?} (try {k}) to node {node} on {on} connection, {wait} ms"),
            ));
            lines.push((t.ended, format!("client: {:?}", t.end)));
        }
    }
    for came in history.came.iter().filter(|c| c.id == id) {
        let Came { node, server, wait_ms, made, .. } = came;
        lines.push((
            came.first,
            format!("s-{server}: first byte from node {node}, told to wait {wait_ms} ms"),
        ));
        lines.push((came.last, format!("s-{server}: last byte, {made:?}, beside {} others", came.beside)));
        if let Some(over) = came.over {
            lines.push((over.at, format!("s-{server}: over, {:?}", over.how)));
        }
    }
    let nodes: Vec<usize> = history.asked.iter().filter(|a| a.id == id).map(|a| a.node).collect();
    let (from, until) = match (lines.iter().map(|(at, _)| *at).min(), lines.iter().map(|(at, _)| *at).max()) {
        (Some(from), Some(until)) => (from, until.after(Duration::from_secs(1))),
        _ => return Vec::new(),
    };
    let begin = Moment(from.0.saturating_sub(1_000_000));
    for life in history.lives.iter().filter(|l| nodes.contains(&l.node) && l.at >= begin && l.at <= until) {
        lines.push((life.at, format!("node {}: {:?}", life.node, life.what)));
    }
    lines.sort();
    lines.into_iter().map(|(at, text)| format!("{:>9.4} s  {text}", at.0 as f64 / 1e6)).collect()
}
