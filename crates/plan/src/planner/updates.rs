//! Updates to the forwarders: full plans, deltas and heartbeats, and their acknowledgements.

use super::*;

impl Planner {
    /// The next update for a forwarder, if one is due: a full plan, a delta, or an empty heartbeat.
    pub fn next_update(&mut self, now: Nanos, name: &str) -> Option<PlanUpdate> {
        let id = *self.forwarder_ids.get(name)?;
        self.planned_at?;
        let f = self.forwarders.get_mut(&id)?;
        if f.disconnected_at.is_some() {
            return None;
        }
        let unacked = f.version - f.acked_version;
        if unacked > 0 && now.saturating_sub(f.sent_at) > ACK_TIMEOUT {
            f.needs_full_plan = true;
            f.acked_version = f.version;
        } else if unacked >= MAX_UNACKED_UPDATES {
            return None;
        }
        let pause = now.saturating_sub(f.sent_at);
        if f.needs_full_plan {
            let wait = if f.rejected { REJECTED_RETRY_DELAY } else { HEARTBEAT_INTERVAL };
            return (f.sent_at == 0 || pause >= wait).then(|| self.full_update(now, id)).flatten();
        }
        let elapsed = now.saturating_sub(f.refilled_at) as f64 / 1e9;
        f.tokens = (f.tokens + elapsed * self.settings.bytes_per_second).min(self.settings.bytes_per_second);
        f.refilled_at = now;
        let update = self.delta_update(now, id);
        if update.is_some() || pause < HEARTBEAT_INTERVAL {
            return update;
        }
        let f = self.forwarders.get_mut(&id)?;
        f.sent_at = now;
        let (version, base) = (f.version, f.version);
        Some(self.update_header(now, version, base))
    }

    fn update_header(&self, now: Nanos, version: u64, base: u64) -> PlanUpdate {
        PlanUpdate {
            site: self.settings.site.clone(),
            incarnation: self.settings.incarnation,
            version,
            base,
            membership: self.membership.unwrap_or(0),
            connections: self.cover.connections,
            list_age_ms: Some(self.list_confirmation.age_ms(now)),
            ..PlanUpdate::default()
        }
    }

    fn full_update(&mut self, now: Nanos, id: u32) -> Option<PlanUpdate> {
        let f = self.forwarders.get_mut(&id)?;
        for s in std::mem::take(&mut f.sent_rows).keys() {
            self.servers.get_mut(s).map(|s| s.informed.remove(&id));
        }
        f.removed.clear();
        f.pending = f.subset.iter().copied().collect();
        let servers = &self.servers;
        let closed = |s: &&u32| servers.get(s).is_some_and(|s| !s.ready());
        f.pending.extend(f.reports.keys().filter(closed).copied());
        f.changed_rate_shares = [0, 1].map(|k| f.rate_shares[k].keys().copied().collect());
        f.needs_full_plan = false;
        f.tokens = f64::INFINITY;
        f.sent_connections = self.cover.connections;
        let update = self.delta_update(now, id);
        let f = self.forwarders.get_mut(&id)?;
        f.tokens = 0.0;
        f.sent_at = now;
        if update.is_none() {
            f.version += 1;
        }
        let version = f.version;
        Some(PlanUpdate { base: 0, ..update.unwrap_or_else(|| self.update_header(now, version, 0)) })
    }

    /// The row of a server to send to a forwarder; `None` if the forwarder does not use the server.
    fn row(&self, forwarder: &Forwarder, id: u32) -> Option<(SentRow, &Server)> {
        let server = self.servers.get(&id)?;
        let held = forwarder.subset.binary_search(&id).is_ok();
        let used =
            !server.ready() && (forwarder.sent_rows.contains_key(&id) || forwarder.reports.contains_key(&id));
        if !held && !used {
            return None;
        }
        let rate_recipients = self.settings.planners.max(1) as usize * server.holders.len().max(1);
        let slow_start_rate =
            server.published.slow_start_budget.map(|budget| budget / rate_recipients as f64);
        Some((
            SentRow {
                published: server.published,
                slow_start_rate,
                attributes_version: server.attributes_version,
            },
            server,
        ))
    }

    fn delta_update(&mut self, now: Nanos, id: u32) -> Option<PlanUpdate> {
        let f = self.forwarders.get(&id)?;
        let mut tokens = f.tokens;
        let (mut rows, mut sent, mut deferred, mut removed) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for &s in &f.pending {
            let before = f.sent_rows.get(&s);
            let Some((row, server)) = self.row(f, s) else {
                if before.is_some() {
                    removed.push(s);
                }
                continue;
            };
            if before == Some(&row) {
                continue;
            }
            let only_grade_changed = before.is_some_and(|b| {
                b.attributes_version == row.attributes_version
                    && b.published.suspicion == row.published.suspicion
                    && b.slow_start_rate == row.slow_start_rate
            });
            if only_grade_changed && tokens < ROW_BYTES {
                deferred.push(s);
                continue;
            }
            tokens -= ROW_BYTES;
            let attributes: Option<ServerAttributes> = before
                .is_none_or(|b| b.attributes_version != row.attributes_version)
                .then(|| server.member.attributes());
            rows.push(ServerRow {
                name: server.member.name.clone(),
                attributes,
                grade: row.published.grade,
                suspicion: row.published.suspicion as i32,
                slow_start_rate: row.slow_start_rate.map(|r| r as f32),
            });
            sent.push((s, row));
        }
        let names: Vec<String> = removed
            .iter()
            .map(|s| self.servers.get(s).map(|s| s.member.name.clone()))
            .map(Option::unwrap_or_default)
            .collect();
        let connections = self.cover.connections;
        let changed_shares = |k: usize, names: &dyn Fn(usize) -> String| -> Vec<RateShare> {
            let of = |&index: &usize| RateShare {
                name: names(index),
                rate: f.rate_shares[k].get(&index).copied().unwrap_or(0.0) as f32,
            };
            f.changed_rate_shares[k].iter().map(of).collect()
        };
        let classes = changed_shares(0, &|index| self.settings.classes[index].0.clone());
        let tenants = changed_shares(1, &|index| self.settings.tenants[index].0.clone());
        let sent_connections = f.sent_connections;
        let f = self.forwarders.get_mut(&id)?;
        f.tokens = tokens.max(0.0);
        f.pending = deferred.into_iter().collect();
        let mut removed_names: Vec<String> = std::mem::take(&mut f.removed);
        removed_names.extend(names.into_iter().filter(|n| !n.is_empty()));
        for s in &removed {
            f.sent_rows.remove(s);
            self.servers.get_mut(s).map(|s| s.informed.remove(&id));
        }
        for (s, row) in sent {
            f.sent_rows.insert(s, row);
            self.servers.get_mut(&s).map(|s| s.informed.insert(id));
        }
        f.changed_rate_shares = Default::default();
        f.sent_connections = connections;
        let nothing = rows.is_empty() && removed_names.is_empty() && classes.is_empty() && tenants.is_empty();
        if nothing && sent_connections == connections {
            return None;
        }
        f.sent_at = now;
        let base = f.version;
        f.version += 1;
        let version = f.version;
        Some(PlanUpdate {
            rows,
            removed: removed_names,
            classes,
            tenants,
            ..self.update_header(now, version, base)
        })
    }

    /// Processes a forwarder's acknowledgement or rejection of an update.
    pub fn handle_ack(&mut self, name: &str, reply: &PlanAck) {
        let incarnation = self.settings.incarnation;
        let Some(f) = self.forwarder_ids.get(name).and_then(|id| self.forwarders.get_mut(id)) else { return };
        // Of another incarnation, or superseded by a full plan.
        if reply.incarnation != incarnation || reply.version <= f.acked_version || reply.version > f.version {
            return;
        }
        f.acked_version = reply.version;
        f.needs_full_plan |= reply.refused == RejectReason::UnknownBase as i32;
        f.rejected = false;
        if reply.refused != RejectReason::Accepted as i32 && reply.refused != RejectReason::UnknownBase as i32
        {
            // Repeating the update would not help: a full plan is sent after a delay.
            f.needs_full_plan = true;
            f.rejected = true;
            f.acked_version = f.version;
        }
    }
}
