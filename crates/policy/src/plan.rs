//! A plan for the whole fleet: what it changes here, and what is told to those who make it.

use super::*;

/// What others' failures at a server cost, in mean responses: it comes last, but where all are suspected,
/// none is behind the others. An own success counts for more than such word for this many give-up times.
const SUSPECT_COST: f64 = 4.0;
const OWN_WORD: f64 = 1.0;

impl Balancer {
    /// What was met of each server that is not gone, without what a plan has said of it.
    pub fn observations(&self, now: Nanos) -> impl Iterator<Item = ServerObservation> + '_ {
        let grown = (now.saturating_sub(self.epoch) as f64 / self.fade()).exp();
        let known = (0..self.nodes.len()).filter(|&i| self.nodes[i].server.phase != Phase::Removed);
        known.map(move |i| {
            let node = &self.nodes[i];
            let fresh = (-(now.saturating_sub(node.latency_at) as f64) / self.memory).exp();
            ServerObservation {
                server: node.server.endpoint,
                score: ((node.score - node.planned) / grown).max(0.0),
                in_flight: node.out,
                relative_latency: 1.0 + (node.relative_latency - 1.0) * fresh,
                failure_rate: self.failure_rate_now(now, i),
                ejected: node.blocked_until > now,
                outcomes: node.outcomes,
            }
        })
    }

    /// The servers of a zone that this node ranks, the most accomplished first.
    pub fn ranking(&self, zone: usize) -> impl Iterator<Item = Endpoint> + '_ {
        self.zones.get(zone).into_iter().flat_map(|z| &z.rank).map(|&i| self.nodes[i].server.endpoint)
    }

    /// Requests a second that were let in lately, by class and by tenant.
    pub fn admitted_rates(&self, now: Nanos) -> [Vec<f64>; 2] {
        [&self.classes, &self.tenants].map(|rates| rates.iter().map(|r| r.read(now, self.memory)).collect())
    }

    /// Takes over what a plan says. What it adds to a counter fades as own counts do, which then take over.
    pub(super) fn follow_plan(&mut self, now: Nanos, guide: NodePlan) {
        let grown = self.increment(now) * guide.trust.clamp(0.0, 1.0);
        let known = guide.servers.iter().filter_map(|s| Some((*self.by_endpoint.get(&s.server)?, s)));
        let standings = known.collect::<BTreeMap<_, _>>();
        for i in 0..self.nodes.len() {
            let said = standings.get(&i);
            let standing = said.map_or(0.0, |s| s.score);
            let planned = if standing.is_finite() { standing.max(0.0) * grown } else { 0.0 };
            let node = &mut self.nodes[i];
            node.suspected = said.is_some_and(|s| s.suspected);
            node.slow_start_rate = said.map_or(f64::INFINITY, |s| s.slow_start_rate);
            let more = planned - std::mem::replace(&mut node.planned, planned);
            self.credit(i, more);
        }
        let regroup = (guide.trust > 0.0) != (self.guide.trust > 0.0);
        self.guide = NodePlan { servers: Vec::new(), ..guide };
        if regroup {
            (0..self.zones.len()).for_each(|zone| self.regroup(now, zone));
        }
    }

    /// What others' suspicion costs in the choice, not in admission, without own success there of late.
    pub(super) fn suspect(&self, now: Nanos, i: usize) -> f64 {
        let node = &self.nodes[i];
        let own = (OWN_WORD * self.longest as f64) as Nanos;
        let suspected = node.suspected && node.served_at.is_none_or(|at| now.saturating_sub(at) > own);
        SUSPECT_COST * if suspected { self.guide.trust } else { 0.0 }
    }
}
