//! A box: some workers, a bounded queue, a speed, a cold start, and what can be wrong with it.

use crate::{Nanos, S};
use std::collections::VecDeque;

/// What a box does with requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// Serves.
    Sound,
    /// Its process is gone: connections are refused.
    Refuses,
    /// Takes requests and never answers.
    Silent,
    /// Answers with errors, at once.
    Fails,
}

/// How boxes start cold, as the settings word it.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Share of the capacity at the start.
    pub from: f64,
    /// Time until it is warm.
    pub ramp: Nanos,
    /// Multiple of the present capacity that pushes over ...
    pub tip: f64,
    /// ... when it lasts so long.
    pub fall: Nanos,
}

/// One box.
#[derive(Clone, Debug)]
pub struct SimBox {
    /// Work a second of one worker, 1 being usual.
    pub speed: f64,
    /// What is wrong with it.
    pub health: Health,
    /// When it started; 0 for long ago.
    pub started_at: Nanos,
    free_at: Vec<Nanos>,
    /// Work that came while it was cold.
    arrivals: VecDeque<(Nanos, f64)>,
    recent: f64,
    /// Connections that were open at once, and are now, by forwarder.
    pub open: Vec<(u32, u32)>,
}

/// What becomes of a request that comes to a box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// It will be answered then.
    Until(Nanos),
    /// No room: turned away unseen.
    Full,
}

/// Requests that wait in a box at most, for each worker.
const WAITING: f64 = 25.0;

impl SimBox {
    /// A sound box.
    pub fn new(speed: f64, workers: usize, started_at: Nanos, forwarders: usize) -> SimBox {
        SimBox {
            speed,
            health: Health::Sound,
            started_at,
            free_at: vec![0; workers],
            arrivals: VecDeque::new(),
            recent: 0.0,
            open: vec![(0, 0); forwarders],
        }
    }

    /// Part of its capacity that it has reached.
    pub fn warmth(&self, now: Nanos, cold: &Cold) -> f64 {
        if self.started_at == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.started_at) as f64 / cold.ramp as f64;
        (cold.from + (1.0 - cold.from) * age).min(1.0)
    }

    /// Takes a request of so much work, in seconds of a usual worker.
    pub fn take(&mut self, now: Nanos, work: f64, cold: &Cold) -> Taken {
        let rate = self.speed * self.warmth(now, cold);
        let Some(first) = (0..self.free_at.len()).min_by_key(|&w| self.free_at[w]) else {
            return Taken::Full;
        };
        let begin = self.free_at[first].max(now);
        if (begin - now) as f64 > WAITING * 0.03 / rate * 1e9 {
            return Taken::Full;
        }
        let end = begin + (work / rate * 1e9) as Nanos;
        self.free_at[first] = end;
        Taken::Until(end)
    }

    /// When a request of so much work would be answered: what a policy that sees all goes by.
    pub fn would_end(&self, now: Nanos, work: f64, cold: &Cold) -> Nanos {
        let first = self.free_at.iter().copied().min().unwrap_or(Nanos::MAX);
        first.max(now) + (work / (self.speed * self.warmth(now, cold)) * 1e9) as Nanos
    }

    /// Its process ends: nothing is under way any longer.
    pub fn clear(&mut self) {
        self.free_at.iter_mut().for_each(|at| *at = 0);
    }

    /// Counts work that came to a cold box; true where that has pushed it over.
    pub fn pushed(&mut self, now: Nanos, work: f64, cold: &Cold) -> bool {
        if self.warmth(now, cold) >= 1.0 {
            self.arrivals.clear();
            self.recent = 0.0;
            return false;
        }
        self.arrivals.push_back((now, work));
        self.recent += work;
        while let Some(&(at, old)) = self.arrivals.front() {
            if now.saturating_sub(at) <= cold.fall {
                break;
            }
            self.recent -= old;
            self.arrivals.pop_front();
        }
        let capacity = self.free_at.len() as f64 * self.speed * self.warmth(now, cold);
        self.recent > cold.tip * capacity * cold.fall as f64 / S as f64
    }

    /// One more request of a forwarder is out to it, or one less.
    pub fn count(&mut self, forwarder: usize, more: bool) {
        let (peak, now) = &mut self.open[forwarder];
        *now = if more { *now + 1 } else { now.saturating_sub(1) };
        *peak = (*peak).max(*now);
    }

    /// Connections that it had to hold: each forwarder keeps as many as it ever used at once.
    pub fn connections(&self) -> u32 {
        self.open.iter().map(|(peak, _)| peak).sum()
    }
}
