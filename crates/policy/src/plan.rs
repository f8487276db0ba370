//! Applies a fleet-wide plan at this node, and provides the observations that planners need.

use super::*;

/// Cost of a server that other nodes suspect, in mean responses: it comes last, but if all are suspected
/// none is behind the others. A success of this node's own outweighs the suspicion for this many times the
/// longest client timeout.
const SUSPICION_PENALTY: f64 = 4.0;
const OWN_SUCCESS_TIMEOUTS: f64 = 1.0;

impl Balancer {
    /// Observations of each server that is not removed, without what a plan has added.
    pub fn observations(&self, now: Nanos) -> impl Iterator<Item = ServerObservation> + '_ {
        let growth = (now.saturating_sub(self.score_epoch) as f64 / self.score_decay_time()).exp();
        let present = (0..self.servers.len()).filter(|&i| self.servers[i].server.phase != Phase::Removed);
        present.map(move |i| {
            let state = &self.servers[i];
            let decay = (-(now.saturating_sub(state.latency_at) as f64) / self.latency_memory).exp();
            ServerObservation {
                server: state.server.endpoint,
                score: ((state.score - state.planned_score) / growth).max(0.0),
                in_flight: state.in_flight,
                relative_latency: 1.0 + (state.relative_latency - 1.0) * decay,
                failure_rate: self.failure_rate_now(now, i),
                ejected: state.ejected_until > now,
                outcomes: state.outcomes,
            }
        })
    }

    /// The servers of a zone that this node ranks, by descending score.
    pub fn ranking(&self, zone: usize) -> impl Iterator<Item = Endpoint> + '_ {
        self.zones.get(zone).into_iter().flat_map(|z| &z.ranking).map(|&i| self.servers[i].server.endpoint)
    }

    /// Rates of recently admitted requests per second, by class and by tenant.
    pub fn admitted_rates(&self, now: Nanos) -> [Vec<f64>; 2] {
        [&self.class_rates, &self.tenant_rates]
            .map(|rates| rates.iter().map(|r| r.read(now, self.latency_memory)).collect())
    }

    /// Applies a plan. What it adds to a score decays as the node's own counts do, which then take over.
    pub(super) fn apply_plan(&mut self, now: Nanos, plan: NodePlan) {
        let growth = self.score_increment(now) * plan.trust.clamp(0.0, 1.0);
        let tracked = plan.servers.iter().filter_map(|s| Some((*self.by_endpoint.get(&s.server)?, s)));
        let by_server = tracked.collect::<BTreeMap<_, _>>();
        for i in 0..self.servers.len() {
            let planned_server = by_server.get(&i);
            let score = planned_server.map_or(0.0, |s| s.score);
            let planned = if score.is_finite() { score.max(0.0) * growth } else { 0.0 };
            let state = &mut self.servers[i];
            state.suspected = planned_server.is_some_and(|s| s.suspected);
            state.slow_start_rate = planned_server.map_or(f64::INFINITY, |s| s.slow_start_rate);
            let change = planned - std::mem::replace(&mut state.planned_score, planned);
            self.add_score(i, change);
        }
        let trust_changed = (plan.trust > 0.0) != (self.plan.trust > 0.0);
        self.plan = NodePlan { servers: Vec::new(), ..plan };
        if trust_changed {
            (0..self.zones.len()).for_each(|zone| self.rank_zone(now, zone));
        }
    }

    /// The cost of other nodes' suspicion, without a recent success of this node's own. It affects the
    /// choice of a server but not admission.
    pub(super) fn suspicion_penalty(&self, now: Nanos, i: usize) -> f64 {
        let state = &self.servers[i];
        let memory = (OWN_SUCCESS_TIMEOUTS * self.longest_timeout as f64) as Nanos;
        let suspected =
            state.suspected && state.last_success_at.is_none_or(|at| now.saturating_sub(at) > memory);
        SUSPICION_PENALTY * if suspected { self.plan.trust } else { 0.0 }
    }
}
