//! From a view to the decision module's events: the list as far as it has changed, and the guide.

use crate::follower::View;
use crate::member::Member;
use crate::wire::Suspicion;
use laurelroute_policy::interface::{Endpoint, NodePlan, Phase, ServerPlan};
use std::collections::BTreeMap;

/// What the decision module was told of the boxes.
#[derive(Clone, Debug, Default)]
pub struct AppliedMembers(BTreeMap<String, Member>);

impl AppliedMembers {
    /// Whether nothing was told yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// What has changed since the last call. Boxes that are no longer this forwarder's are told as gone: nothing new
    /// goes there, and what is under way ends as it would.
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

/// The view in the decision module's words. `find` gives a box's identity there; `tenants` are named with the rates
/// that count where the plan says nothing.
pub fn node_plan<'a>(
    view: &View,
    find: impl Fn(&str) -> Option<Endpoint>,
    classes: &[String],
    tenants: impl Iterator<Item = (&'a str, f64)>,
) -> NodePlan {
    let standing = |word: &crate::follower::PlannedServer| {
        Some(ServerPlan {
            server: find(&word.name)?,
            score: word.score,
            suspected: word.suspicion != Suspicion::None,
            slow_start_rate: word.slow_start_rate,
        })
    };
    let class = |name: &String| view.classes.get(name).copied().unwrap_or(f64::INFINITY);
    NodePlan {
        trust: view.trust,
        servers: view.planned.iter().filter_map(standing).collect(),
        tenants: tenants.map(|(name, even)| view.tenants.get(name).copied().unwrap_or(even)).collect(),
        classes: classes.iter().map(class).collect(),
    }
}
