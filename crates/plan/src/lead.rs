//! Converts a view into events of the decision module: changes of the server list, and the plan for this node.

use crate::follower::View;
use crate::member::Member;
use crate::wire::Suspicion;
use laurelroute_policy::interface::{Endpoint, NodePlan, Phase, ServerPlan};
use std::collections::BTreeMap;

/// The servers as last passed to the decision module.
#[derive(Clone, Debug, Default)]
pub struct AppliedMembers(BTreeMap<String, Member>);

impl AppliedMembers {
    /// Whether no servers have been passed yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The changes since the last call. Servers that are no longer assigned to this forwarder are reported as removed:
    /// they get no new requests, and requests in flight finish normally.
    pub fn changes(&mut self, view: &View) -> Vec<Member> {
        let members: BTreeMap<String, Member> =
            view.members.iter().map(|m| (m.name.clone(), m.clone())).collect();
        let mut changes = Vec::new();
        for (name, member) in &members {
            let before = self.0.get(name);
            if before != Some(member) && (before.is_some() || member.server.phase == Phase::Ready) {
                changes.push(member.clone());
            }
        }
        let absent = self.0.values().filter(|m| !members.contains_key(&m.name));
        changes.extend(absent.map(|m| m.clone().in_phase(Phase::Removed)));
        self.0 = members;
        changes
    }
}

/// Converts the view for the decision module. `find` returns a server's endpoint there; `tenants` lists names with the
/// default rates for tenants that the plan does not mention.
pub fn node_plan<'a>(
    view: &View,
    find: impl Fn(&str) -> Option<Endpoint>,
    classes: &[String],
    tenants: impl Iterator<Item = (&'a str, f64)>,
) -> NodePlan {
    let server_plan = |row: &crate::follower::PlannedServer| {
        Some(ServerPlan {
            server: find(&row.name)?,
            score: row.score,
            suspected: row.suspicion != Suspicion::None,
            slow_start_rate: row.slow_start_rate,
        })
    };
    let class_limit = |name: &String| view.classes.get(name).copied().unwrap_or(f64::INFINITY);
    NodePlan {
        trust: view.trust,
        servers: view.planned.iter().filter_map(server_plan).collect(),
        tenants: tenants.map(|(name, default)| view.tenants.get(name).copied().unwrap_or(default)).collect(),
        classes: classes.iter().map(class_limit).collect(),
    }
}
