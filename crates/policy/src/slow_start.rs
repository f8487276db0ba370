//! Slow start: how fast requests may be sent to a server that has just started.
//!
//! A server in slow start is overloaded by more than a multiple of its present capacity over a time that the
//! settings name, counted over all nodes. Its capacity is not told. Two lower bounds of it are known: what
//! each server of the fleet serves, times the part of the ramp that this one has reached, and what it has
//! served itself. What is asked for is none, as the fleet may be asked for more than it can do: of that, no
//! more than a like share is sent. Each node reckons from its own traffic, so that all budgets add up.

use super::*;

/// The part of the settings' multiple that is used. The rest is for chance, and for nodes that differ.
const MARGIN: f64 = 0.75;

/// The part of its ramp share of the arrivals that a server gets, whatever has been served.
const ARRIVALS_PART: f64 = 0.9;

/// What has not been used may be sent later, up to this part of the time that the settings name.
const BURST: f64 = 0.2;

impl Balancer {
    /// The part of its capacity that a server has reached for certain.
    pub(super) fn cold_share(&self, now: Nanos, i: usize) -> f64 {
        self.nodes[i].server.capacity_fraction(now, self.settings.initial_capacity, self.settings.ramp)
    }

    /// When the next request may go to a server that is sent one now. After a pause it may get some in a row.
    pub(super) fn after_send(&self, now: Nanos, i: usize) -> Nanos {
        if self.cold_share(now, i) >= 1.0 {
            return 0;
        }
        let saved = (BURST * self.settings.overload_window as f64) as Nanos;
        let from = self.nodes[i].cold_next.max(now.saturating_sub(saved));
        from.saturating_add(self.cold_interval(now, i) as Nanos)
    }

    /// The longest wait before the first send to a server that starts. With no request yet there is no rate.
    pub(super) fn first_wait(&self, now: Nanos, i: usize) -> f64 {
        let (fall, ramp) = (self.settings.overload_window as f64, self.settings.ramp as f64);
        let known = self.arrivals.since_start(now, ramp) > 0.0;
        if known {
            self.cold_interval(now, i).min(ramp)
        } else {
            fall
        }
    }

    /// Time between two sends to a server in slow start.
    fn cold_interval(&self, now: Nanos, i: usize) -> f64 {
        let multiple = MARGIN * self.settings.overload_multiple;
        let ramp = self.settings.ramp as f64;
        let share = self.cold_share(now, i) * self.even_part(i);
        let served = share * self.served.since_start(now, ramp);
        let served_here = self.nodes[i].served.read(now, self.settings.overload_window as f64);
        let arrivals = share * self.arrivals.since_start(now, ramp);
        let budget = (multiple * served.max(served_here)).max(ARRIVALS_PART * arrivals);
        1e9 / budget.min(self.nodes[i].slow_start_rate).max(1e-6)
    }

    /// The part of this node's requests that a server of this size gets if all are equal. All nodes may cross
    /// to one elsewhere, each with its part; after a release all are cold, also where no node is.
    fn even_part(&self, i: usize) -> f64 {
        let (home, zone) = (usize::from(self.settings.zone), usize::from(self.nodes[i].server.zone));
        let counts = self.zones.iter().enumerate().filter(|(z, _)| zone != home || *z == home);
        let size: f64 = counts.map(|(_, zone)| zone.size).sum();
        self.nodes[i].size / size.max(self.nodes[i].size)
    }
}
