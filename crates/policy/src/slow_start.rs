//! Slow start: the rate at which requests may be sent to a server that has just started.
//!
//! A server in slow start is overloaded by more than a multiple of its present capacity within a time
//! window, both of which the settings give, counted over all nodes. Its capacity is unknown, but has two
//! lower bounds: what each server of the fleet serves times the share of its capacity that this server has
//! reached, and what it has served itself. The rate of arrivals is no bound, because clients may ask for
//! more than the fleet can serve: only the server's even share of it, scaled to its present capacity, is
//! sent. Each node computes the rate from its own traffic, so that the budgets of all nodes add up.

use super::*;

/// The share of the overload multiple that is used. The rest allows for random variation and for
/// differences between nodes.
const OVERLOAD_MARGIN: f64 = 0.75;

/// The share of its part of the arrivals, scaled to its present capacity, that a server gets however little
/// has been served.
const MIN_ARRIVALS_SHARE: f64 = 0.9;

/// Unused budget may be used later, up to this share of the overload window.
const BURST_SHARE: f64 = 0.2;

impl Balancer {
    /// The share of its full capacity that a server has reached at least.
    pub(super) fn capacity_fraction(&self, now: Nanos, i: usize) -> f64 {
        self.servers[i].server.capacity_fraction(now, self.settings.initial_capacity, self.settings.ramp)
    }

    /// When the next request may be sent to a server after one that is sent now. After a pause, a short
    /// burst is allowed.
    pub(super) fn next_send_time(&self, now: Nanos, i: usize) -> Nanos {
        if self.capacity_fraction(now, i) >= 1.0 {
            return 0;
        }
        let burst = (BURST_SHARE * self.settings.overload_window as f64) as Nanos;
        let from = self.servers[i].next_send_at.max(now.saturating_sub(burst));
        from.saturating_add(self.send_interval(now, i) as Nanos)
    }

    /// The longest delay of the first request to a starting server. Before any request there is no rate to
    /// compute it from.
    pub(super) fn initial_send_delay(&self, now: Nanos, i: usize) -> f64 {
        let (window, ramp) = (self.settings.overload_window as f64, self.settings.ramp as f64);
        let rate_known = self.arrivals.since_start(now, ramp) > 0.0;
        if rate_known {
            self.send_interval(now, i).min(ramp)
        } else {
            window
        }
    }

    /// The interval between two requests to a server in slow start.
    fn send_interval(&self, now: Nanos, i: usize) -> f64 {
        let multiple = OVERLOAD_MARGIN * self.settings.overload_multiple;
        let ramp = self.settings.ramp as f64;
        let share = self.capacity_fraction(now, i) * self.even_share(i);
        let served = share * self.served_rate.since_start(now, ramp);
        let served_here = self.servers[i].served_rate.read(now, self.settings.overload_window as f64);
        let arrivals = share * self.arrivals.since_start(now, ramp);
        let budget = (multiple * served.max(served_here)).max(MIN_ARRIVALS_SHARE * arrivals);
        1e9 / budget.min(self.servers[i].slow_start_rate).max(1e-6)
    }

    /// The share of this node's requests that a server of this size gets if all are equal. Any node may
    /// cross to a server in another zone, each with its share; after a release all servers are cold, also
    /// in zones without a node.
    fn even_share(&self, i: usize) -> f64 {
        let (local, zone) = (usize::from(self.settings.zone), usize::from(self.servers[i].server.zone));
        let zones = self.zones.iter().enumerate().filter(|(z, _)| zone != local || *z == local);
        let size: f64 = zones.map(|(_, zone)| zone.ranked_size).sum();
        self.servers[i].size / size.max(self.servers[i].size)
    }
}
