//! Schedules of faults for a fleet: drawn from a seed, written and read as text, cut down to the shortest that still breaks
//! something. The same ones are played in simulated time and on real processes.

use crate::draw::Draw;
use crate::{Nanos, MS, S};
use laurelroute_membership::MemberId;
use std::fmt;
use std::str::FromStr;

/// Faults, each with the time from the beginning on, the earliest first.
pub type Schedule = Vec<(Nanos, Fault)>;

/// What the links do to a datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Network {
    /// Part that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub doubled: f64,
    /// Part of which a bit is flipped. Simulated, it is lost: what is not marked as ours is not taken.
    pub flipped: f64,
    /// Delay from ... to.
    pub delay: (Nanos, Nanos),
    /// Bytes a second that each direction of each link carries; `None` where there is no limit. What would have to wait for
    /// longer than [`BACKLOG`] is lost.
    pub rate: Option<u64>,
}

/// How long a datagram waits before a link of limited rate at most.
pub const BACKLOG: Nanos = 200 * MS;

/// One direction of a link of limited rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Line {
    free_at: Nanos,
}

impl Line {
    /// How long a datagram of so many bytes is under way that comes now; `None` where it is lost.
    pub fn takes(&mut self, now: Nanos, bytes: usize, rate: Option<u64>) -> Option<Nanos> {
        let Some(rate) = rate else { return Some(0) };
        let waits = self.free_at.saturating_sub(now);
        if waits > BACKLOG {
            return None;
        }
        let takes = (bytes as u64).saturating_mul(S) / rate.max(1);
        self.free_at = now + waits + takes;
        Some(waits + takes)
    }
}

impl Default for Network {
    fn default() -> Self {
        Network { loss: 0.0, doubled: 0.0, flipped: 0.0, delay: (MS / 5, 2 * MS), rate: None }
    }
}

/// Something that is done to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The process ends.
    Kill(MemberId),
    /// It starts with a new life, if it does not run.
    Start(MemberId),
    /// It starts with a new life and without what the one before kept, if it does not run.
    Fresh(MemberId),
    /// Staff take this server out of use there, or put it back.
    Say(MemberId, u16, bool),
    /// It does not run for so long.
    Pause(MemberId, Nanos),
    /// Nothing can be written or read where it keeps what it knows, for so long.
    NoDisk(MemberId, Nanos),
    /// It gets no further descriptor for so long.
    NoDescriptors(MemberId, Nanos),
    /// From each of these nothing comes to any of those.
    Cut(Vec<MemberId>, Vec<MemberId>),
    /// All links carry again.
    Mend,
    /// All links become like this.
    Network(Network),
}

/// Faults drawn from a seed, each with the time from the founding on. After the last one all links are mended and all
/// processes run.
pub fn drawn(seed: u64, members: usize) -> Vec<(Nanos, Fault)> {
    let mut draw = Draw::new(seed, 78);
    let mut faults = Vec::new();
    let mut now = 0;
    for _ in 0..1 + draw.below(8) {
        now += draw.between(0, 6 * S);
        let some = |draw: &mut Draw, most: usize| -> Vec<MemberId> {
            let count = 1 + draw.below(most.max(1));
            (0..count).map(|_| draw.below(members) as MemberId).collect()
        };
        match draw.below(8) {
            0 => {
                let seat = draw.below(members) as MemberId;
                faults.push((now, Fault::Kill(seat)));
                faults.push((now + draw.between(100 * MS, 8 * S), Fault::Start(seat)));
            }
            1 => {
                let killed = some(&mut draw, members / 2);
                faults.extend(killed.iter().map(|s| (now, Fault::Kill(*s))));
                let back = now + draw.between(S, 8 * S);
                faults.extend(killed.iter().map(|s| (back, Fault::Start(*s))));
            }
            2 => {
                let lasts = [500 * MS, 2 * S, 10 * S][draw.below(3)];
                faults
                    .extend(some(&mut draw, members / 5).into_iter().map(|s| (now, Fault::Pause(s, lasts))));
            }
            3 => {
                let (a, b) = (draw.below(members) as MemberId, draw.below(members) as MemberId);
                faults.push((now, Fault::Cut(vec![a], vec![b])));
            }
            4 => {
                let third = some(&mut draw, members / 3);
                let rest: Vec<MemberId> = (0..members as MemberId).filter(|s| !third.contains(s)).collect();
                let inwards = draw.chance(0.5);
                faults.push((now, if inwards { Fault::Cut(rest, third) } else { Fault::Cut(third, rest) }));
            }
            5 => {
                let half: Vec<MemberId> = (0..members as MemberId).filter(|_| draw.chance(0.5)).collect();
                let rest: Vec<MemberId> = (0..members as MemberId).filter(|s| !half.contains(s)).collect();
                faults.push((now, Fault::Cut(half.clone(), rest.clone())));
                faults.push((now, Fault::Cut(rest, half)));
            }
            6 => {
                let loss = 0.3 * draw.unit();
                let high = draw.between(2 * MS, 200 * MS);
                let network = Network {
                    loss,
                    doubled: 0.1 * draw.unit(),
                    flipped: 0.02 * draw.unit(),
                    delay: (MS / 5, high),
                    rate: None,
                };
                faults.push((now, Fault::Network(network)));
            }
            _ => faults.push((now, Fault::Mend)),
        }
    }
    faults.sort_by_key(|(at, _)| *at);
    let end = faults.last().map_or(0, |(at, _)| *at) + 10 * S;
    faults.push((end, Fault::Mend));
    faults.push((end, Fault::Network(Network::default())));
    faults.extend((0..members as MemberId).map(|s| (end, Fault::Start(s))));
    faults
}

/// The same, with disks and descriptors that run out for a while at some, and links that carry little. Only real processes have
/// disks and descriptors.
pub fn strained(seed: u64, members: usize) -> Schedule {
    let mut faults = drawn(seed, members);
    strain(seed, members, &mut faults);
    faults
}

fn strain(seed: u64, members: usize, faults: &mut Schedule) {
    let mut draw = Draw::new(seed, 84);
    let end = faults.last().map_or(0, |(at, _)| *at).saturating_sub(10 * S);
    for _ in 0..draw.below(4) {
        let (at, seat) = (draw.between(0, end + S), draw.below(members) as MemberId);
        let lasts = draw.between(200 * MS, 4 * S);
        match draw.below(3) {
            0 => faults.push((at, Fault::NoDisk(seat, lasts))),
            1 => faults.push((at, Fault::NoDescriptors(seat, lasts))),
            _ => {
                let rate = Some(draw.between(1_000, 8_000));
                faults.push((at, Fault::Network(Network { rate, ..Network::default() })));
            }
        }
    }
    faults.sort_by_key(|(at, _)| *at);
}

/// The same, with staff's words on a few servers all the while, and some that start again without what they kept.
pub fn spoken(seed: u64, members: usize, servers: u16) -> Schedule {
    let mut faults = strained(seed, members);
    let mut draw = Draw::new(seed, 82);
    let end = faults.last().map_or(0, |(at, _)| *at);
    for (_, fault) in &mut faults {
        if let Fault::Start(seat) = *fault {
            if draw.chance(0.5) {
                *fault = Fault::Fresh(seat);
            }
        }
    }
    // Who is killed has often just spoken, and speaks again once it is back.
    let kill = |(at, fault): &(Nanos, Fault)| match fault {
        Fault::Kill(seat) => Some((*at, *seat)),
        _ => None,
    };
    let killed: Vec<(Nanos, MemberId)> = faults.iter().filter_map(kill).collect();
    for (at, seat) in killed {
        let server = draw.below(usize::from(servers)) as u16;
        faults
            .push((at.saturating_sub(draw.between(0, 400 * MS)), Fault::Say(seat, server, draw.chance(0.6))));
        faults.push((at + draw.between(0, 12 * S), Fault::Say(seat, server, draw.chance(0.5))));
    }
    for _ in 0..2 + draw.below(12) {
        let (seat, server) = (draw.below(members) as MemberId, draw.below(usize::from(servers)) as u16);
        let at = draw.between(0, end);
        faults.push((at, Fault::Say(seat, server, draw.chance(0.6))));
        if draw.chance(0.3) {
            // Somebody else says the opposite at about the same moment.
            let other = draw.below(members) as MemberId;
            faults.push((at + draw.between(0, 20 * MS), Fault::Say(other, server, draw.chance(0.5))));
        }
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = |seats: &[MemberId]| seats.iter().map(MemberId::to_string).collect::<Vec<_>>().join(",");
        match self {
            Fault::Kill(seat) => write!(f, "kill {seat}"),
            Fault::Start(seat) => write!(f, "start {seat}"),
            Fault::Fresh(seat) => write!(f, "fresh {seat}"),
            Fault::Say(seat, server, true) => write!(f, "ban {seat} {server}"),
            Fault::Say(seat, server, false) => write!(f, "back {seat} {server}"),
            Fault::Pause(seat, lasts) => write!(f, "pause {seat} {}ms", lasts / MS),
            Fault::NoDisk(seat, lasts) => write!(f, "nodisk {seat} {}ms", lasts / MS),
            Fault::NoDescriptors(seat, lasts) => write!(f, "nodescriptors {seat} {}ms", lasts / MS),
            Fault::Cut(from, to) => write!(f, "cut {} {}", list(from), list(to)),
            Fault::Mend => f.write_str("mend"),
            Fault::Network(n) => write!(
                f,
                "network {} {} {} {}us {}us",
                n.loss,
                n.doubled,
                n.flipped,
                n.delay.0 / 1_000,
                n.delay.1 / 1_000
            )
            .and_then(|()| n.rate.map_or(Ok(()), |rate| write!(f, " {rate}B/s"))),
        }
    }
}

/// A schedule as text: a line a fault.
pub fn write(schedule: &[(Nanos, Fault)]) -> String {
    schedule.iter().map(|(at, fault)| format!("{}ms {fault}\n", at / MS)).collect()
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduleError {
    line: usize,
    text: String,
}

impl fmt::Display for ScheduleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: `{}` is no fault", self.line, self.text)
    }
}

impl std::error::Error for ScheduleError {}

fn number<T: FromStr>(text: Option<&str>, unit: &str) -> Option<T> {
    text?.strip_suffix(unit)?.parse().ok()
}

fn millis(text: Option<&str>) -> Option<Nanos> {
    Some(number::<Nanos>(text, "ms")? * MS)
}

fn seats(text: Option<&str>) -> Option<Vec<MemberId>> {
    text?.split(',').map(|seat| seat.parse().ok()).collect()
}

fn fault(line: &str) -> Option<(Nanos, Fault)> {
    let mut words = line.split_whitespace();
    let at: Nanos = number(words.next(), "ms")?;
    let fault = match words.next()? {
        "kill" => Fault::Kill(number(words.next(), "")?),
        "start" => Fault::Start(number(words.next(), "")?),
        "fresh" => Fault::Fresh(number(words.next(), "")?),
        "ban" => Fault::Say(number(words.next(), "")?, number(words.next(), "")?, true),
        "back" => Fault::Say(number(words.next(), "")?, number(words.next(), "")?, false),
        "pause" => Fault::Pause(number(words.next(), "")?, millis(words.next())?),
        "nodisk" => Fault::NoDisk(number(words.next(), "")?, millis(words.next())?),
        "nodescriptors" => Fault::NoDescriptors(number(words.next(), "")?, millis(words.next())?),
        "cut" => Fault::Cut(seats(words.next())?, seats(words.next())?),
        "mend" => Fault::Mend,
        "network" => Fault::Network(Network {
            loss: number(words.next(), "")?,
            doubled: number(words.next(), "")?,
            flipped: number(words.next(), "")?,
            delay: (
                number::<Nanos>(words.next(), "us")? * 1_000,
                number::<Nanos>(words.next(), "us")? * 1_000,
            ),
            rate: match words.next() {
                Some(rate) => Some(number(Some(rate), "B/s")?),
                None => None,
            },
        }),
        _ => return None,
    };
    words.next().is_none().then_some((at * MS, fault))
}

/// Reads a schedule; empty lines and those that begin with # are passed over.
pub fn read(text: &str) -> Result<Schedule, ScheduleError> {
    let lines = text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty() && !l.starts_with('#'));
    let one = |(k, line): (usize, &str)| {
        fault(line).ok_or_else(|| ScheduleError { line: k + 1, text: line.to_owned() })
    };
    lines.map(one).collect()
}

/// The shortest schedule found that still breaks something: faults are left out as long as it does.
pub fn shortest(schedule: &[(Nanos, Fault)], mut breaks: impl FnMut(&[(Nanos, Fault)]) -> bool) -> Schedule {
    let mut kept = schedule.to_vec();
    let mut piece = kept.len().div_ceil(2);
    while piece > 0 {
        let mut at = 0;
        while at < kept.len() {
            let mut fewer = kept.clone();
            fewer.drain(at..(at + piece).min(kept.len()));
            if breaks(&fewer) {
                kept = fewer;
            } else {
                at += piece;
            }
        }
        piece = if piece == 1 { 0 } else { piece.div_ceil(2) };
    }
    kept
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn schedules_come_back_from_text() {
        for seed in 0..200 {
            let schedule: Schedule =
                spoken(seed, 12, 4).into_iter().map(|(at, f)| (at / MS * MS, f)).collect();
            let text = write(&schedule);
            assert_eq!(write(&read(&text).unwrap()), text);
        }
        assert_eq!(
            read("# all\n\n5ms kill x\n").unwrap_err().to_string(),
            "line 3: `5ms kill x` is no fault"
        );
        let strained =
            "5ms nodisk 3 200ms\n6ms nodescriptors 1 50ms\n7ms network 0 0 0 200us 2000us 900B/s\n";
        assert_eq!(write(&read(strained).unwrap()), strained);
        assert!(read("7ms network 0 0 0 200us 2000us 900").is_err() && read("5ms nodisk 3").is_err());
        assert!(read("5ms mend 3").is_err() && read("mend").is_err());
    }

    #[test]
    fn a_line_of_limited_rate_carries_no_more() {
        let mut line = Line::default();
        let came: usize = (0..1_000).filter(|k| line.takes(k * MS, 100, Some(1_000)).is_some()).count();
        // A second's worth, and what still waits at its end.
        assert!((9..=13).contains(&came), "{came} of 100 bytes each in a second at 1,000");
        assert_eq!(line.takes(0, 1 << 20, None), Some(0));
    }

    #[test]
    fn the_shortest_that_breaks_is_found() {
        let schedule = drawn(7, 12);
        let wanted = schedule[schedule.len() / 2].clone();
        let found = shortest(&schedule, |s| s.contains(&wanted));
        assert_eq!(found, [wanted]);
    }
}
