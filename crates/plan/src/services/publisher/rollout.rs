//! Rollout of list changes to the subscribed forwarders, and the planner's answers to `explain` requests.

use super::*;
use crate::wire::ExplainRequest;
use std::fmt::Write;

/// Maximum number of forwarders, slices or services listed in an answer; further ones are only counted.
const MAX_ENTRIES: usize = 40;

impl Publisher {
    /// Returns how far the list change with this version has been acknowledged, or `None` if the change is not
    /// recorded (any longer). Visits every subscriber of the slices that the change affected.
    pub fn rollout_status(&self, change: u64) -> Option<RolloutStatus> {
        let batch = *self.batch_by_version.get(&change)?;
        let record = self.changes.get(&batch)?;
        let mut rollout = RolloutStatus { listed_at: record.listed_at, ..RolloutStatus::default() };
        // A slice that has been divided again since then has another index, so each subscriber is counted once per
        // service.
        let mut seen = BTreeSet::new();
        for &(id, slice, slices) in &record.affected {
            let Some(service) = self.services.get(&id) else { continue };
            let common = slices.min(service.slices.len());
            let indices = (0..service.slices.len()).filter(|k| k % common == slice % common);
            for subscriber in indices.flat_map(|k| &service.slices[k].subscribers) {
                if !seen.insert((id, *subscriber)) {
                    continue;
                }
                rollout.subscriptions += 1;
                match self.lag(*subscriber, id, batch) {
                    None => rollout.acknowledged += 1,
                    Some(lag) if rollout.lagging.len() < MAX_ENTRIES => {
                        let name = self.forwarders.get(subscriber).map_or("", |f| &f.name);
                        rollout.lagging.push((name.to_owned(), lag));
                    }
                    Some(_) => {}
                }
            }
        }
        rollout.completed_at = record.completed_at.filter(|_| rollout.acknowledged == rollout.subscriptions);
        Some(rollout)
    }

    /// Returns why a forwarder has not acknowledged a change of this service, or `None` if it has.
    fn lag(&self, forwarder: u32, service: u32, batch: u64) -> Option<LagReason> {
        let f = self.forwarders.get(&forwarder)?;
        let s = f.subscriptions.get(&service)?;
        let changed_in =
            s.unacknowledged.iter().find(|(_, changed_in)| *changed_in == batch).map(|(version, _)| *version);
        if changed_in.is_none() && s.acknowledged_version.is_some() {
            return None;
        }
        Some(match (f.disconnected_at, s.blocked_until) {
            (Some(at), _) => LagReason::Disconnected(at),
            (None, Some(_)) => LagReason::NewerList,
            (None, None) if s.sent_version.is_some_and(|sent| sent >= changed_in.unwrap_or(0)) => {
                LagReason::Unacknowledged
            }
            (None, None) => LagReason::Throttled,
        })
    }

    /// Answers an operator's question about a list change, a service, a server, or the whole planner.
    pub fn explain(&self, now: Nanos, request: &ExplainRequest) -> String {
        if request.change > 0 {
            return self.explain_change(now, request.change);
        }
        if let Some(service) = &request.service {
            return self.explain_service(service);
        }
        if !request.server.is_empty() {
            return self.explain_server(&request.server);
        }
        let stats = self.stats();
        let version = self.list_number().map_or("none yet".to_owned(), |v| v.to_string());
        format!(
            "site {}, list {version}\nlist {}\nservices: {} with {} servers\nforwarders: {} connected of {} known, {} \
             subscriptions\nsent: {} updates with {} bytes, {} wholes\n",
            self.settings.site,
            self.list_confirmation.describe(now),
            stats.services,
            stats.servers,
            stats.forwarders,
            self.forwarders.len(),
            stats.subscriptions,
            stats.updates,
            stats.bytes,
            stats.snapshots,
        )
    }

    fn explain_change(&self, now: Nanos, change: u64) -> String {
        let ago = |at: Nanos| now.saturating_sub(at) as f64 / 1e9;
        let Some(rollout) = self.rollout_status(change) else {
            return format!("change {change} is not known here: it touched nothing, or was too long ago\n");
        };
        let mut text = format!("change {change}: told {:.1} s ago, ", ago(rollout.listed_at));
        let _ = match rollout.completed_at {
            Some(at) => writeln!(
                text,
                "in force at {} of {} since {:.1} s",
                rollout.acknowledged,
                rollout.subscriptions,
                ago(at)
            ),
            None => writeln!(text, "in force at {} of {}", rollout.acknowledged, rollout.subscriptions),
        };
        for (name, lag) in &rollout.lagging {
            let reason = match lag {
                LagReason::Disconnected(at) => format!("not connected for {:.1} s", ago(*at)),
                LagReason::Unacknowledged => "sent and not acknowledged".to_owned(),
                LagReason::Throttled => "waits for its bytes".to_owned(),
                LagReason::NewerList => "holds a later list than this planner".to_owned(),
            };
            let _ = writeln!(text, "  {name} lags: {reason}");
        }
        let listed = rollout.lagging.len();
        if rollout.subscriptions - rollout.acknowledged > listed {
            let _ = writeln!(text, "  and {} more", rollout.subscriptions - rollout.acknowledged - listed);
        }
        text
    }

    fn explain_service(&self, name: &str) -> String {
        let Some(service) = self.service_ids.get(name).and_then(|id| self.services.get(id)) else {
            return format!("no service is named `{}`\n", truncated(name));
        };
        let mut text = format!(
            "service `{}`: {} servers in {} slices\n",
            service.name,
            service.size(),
            service.slices.len()
        );
        for (k, slice) in service.slices.iter().enumerate().take(MAX_ENTRIES) {
            let closed = slice.rows.values().filter(|r| r.present && r.closed).count();
            let _ = writeln!(
                text,
                "  slice {k}: version {} by list {}, {} servers ({closed} draining), {} subscribers",
                slice.version,
                slice.list_version.number,
                slice.size,
                slice.subscribers.len()
            );
        }
        if service.slices.len() > MAX_ENTRIES {
            let _ = writeln!(text, "  and {} more", service.slices.len() - MAX_ENTRIES);
        }
        text
    }

    fn explain_server(&self, name: &str) -> String {
        let Some(server) = self.servers.get(name) else {
            return format!("no box is named `{}`\n", truncated(name));
        };
        let phase = match server.member.server.phase {
            Phase::Ready => "ready",
            Phase::Draining => "draining: nothing new goes there",
            Phase::Removed => "gone: nothing new goes there",
        };
        let services = server.services.iter().filter_map(|id| self.services.get(id)).map(|s| &*s.name);
        let services: Vec<String> = services.take(MAX_ENTRIES).map(|name| format!("`{name}`")).collect();
        format!(
            "box {name}: {phase}\nin the services {}\nreported by {} forwarders, {}\n",
            services.join(", "),
            server.reports.reporters().count(),
            match server.reports.suspicion {
                crate::wire::Suspicion::None => "not suspected",
                _ => "suspected",
            }
        )
    }
}

fn truncated(name: &str) -> String {
    name.chars().take(MAX_NAME_BYTES).collect()
}
