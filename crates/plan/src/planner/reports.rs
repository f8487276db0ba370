//! What forwarders report, and what it makes of a server: suspicion, slow-start budget and rate shares.

use super::*;

impl Planner {
    pub(super) fn discard_reports(&mut self, id: u32) {
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        let demand = std::mem::take(&mut f.demand);
        for s in std::mem::take(&mut f.reports).into_iter() {
            self.subtract_report(id, s.0, &s.1);
        }
        for (all, own) in self.demand.iter_mut().zip(demand) {
            own.into_iter().for_each(|(k, rate)| *all.entry(k).or_insert(0.0) -= rate);
        }
    }

    fn subtract_report(&mut self, forwarder: u32, server: u32, report: &ServerReport) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.reporters.remove(&forwarder);
        s.score = (s.score - f64::from(report.score)).max(0.0);
        s.in_flight = s.in_flight.saturating_sub(report.in_flight.into());
        s.ejected = s.ejected.saturating_sub(report.ejected.into());
        s.failure_rate_sum = (s.failure_rate_sum - f64::from(report.failure_rate)).max(0.0);
        s.latency_sum = (s.latency_sum - f64::from(report.relative_latency)).max(0.0);
        self.failure_rate_sum = (self.failure_rate_sum - f64::from(report.failure_rate)).max(0.0);
        self.reported_rows = (self.reported_rows - 1.0).max(0.0);
    }

    fn add_report(&mut self, forwarder: u32, server: u32, report: &ServerReport) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.reporters.insert(forwarder);
        s.score += f64::from(report.score);
        s.in_flight += u64::from(report.in_flight);
        s.ejected += u32::from(report.ejected);
        s.failure_rate_sum += f64::from(report.failure_rate);
        s.latency_sum += f64::from(report.relative_latency);
        self.failure_rate_sum += f64::from(report.failure_rate);
        self.reported_rows += 1.0;
    }

    /// Applies a forwarder's report. A report with any invalid value is rejected as a whole.
    pub fn report(&mut self, now: Nanos, name: &str, report: &Report) -> Result<(), ReportError> {
        let id = *self.forwarder_ids.get(name).ok_or_else(|| ReportError::NotJoined(name.to_owned()))?;
        check(report)?;
        for row in &report.rows {
            // A server that the membership does not list yet is skipped: the forwarder reports it again deferred.
            let Some(&server) = self.by_name.get(&row.name) else { continue };
            let Some(forwarder) = self.forwarders.get_mut(&id) else { continue };
            let before =
                forwarder.reports.insert(server, ServerReport { name: String::new(), ..row.clone() });
            if let Some(before) = &before {
                self.subtract_report(id, server, before);
            }
            self.add_report(id, server, row);
            self.count_outcomes(server, before.as_ref(), row);
            self.evaluate(now, server);
        }
        for name in &report.dropped {
            let Some(&server) = self.by_name.get(name) else { continue };
            let report = self.forwarders.get_mut(&id).and_then(|f| f.reports.remove(&server));
            if let Some(report) = report {
                self.subtract_report(id, server, &report);
                self.evaluate(now, server);
            }
        }
        for closed in &report.closed {
            let Some(&server) = self.by_name.get(&closed.name) else { continue };
            let s = &self.servers[&server];
            let same_process = s.member.server.started_at / MS <= closed.started_ms;
            if closed.membership >= s.membership_version && same_process {
                let phase = if closed.removed { Phase::Removed } else { Phase::Draining };
                self.close_server(now, server, phase, closed.membership);
            }
        }
        for (k, portions) in [&report.classes, &report.tenants].into_iter().enumerate() {
            for portion in portions {
                let Some(&index) = self.name_indexes[k].get(&portion.name) else { continue };
                let Some(forwarder) = self.forwarders.get_mut(&id) else { continue };
                let rate = f64::from(portion.rate);
                let before = forwarder.demand[k].insert(index, rate).unwrap_or(0.0);
                let all = self.demand[k].entry(index).or_insert(0.0);
                *all = (*all + rate - before).max(0.0);
            }
        }
        if let Some(f) = self.forwarders.get_mut(&id) {
            f.following.clone_from(&report.following);
        }
        self.update_rate_shares(id);
        Ok(())
    }

    fn count_outcomes(&mut self, server: u32, before: Option<&ServerReport>, row: &ServerReport) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        for (k, &count) in row.outcomes.iter().take(ATTEMPT_OUTCOMES).enumerate() {
            let previous = before.and_then(|b| b.outcomes.get(k)).copied().unwrap_or(0);
            // A count below the previous one is of a restarted forwarder.
            s.outcomes[k] += u64::from(count.checked_sub(previous).unwrap_or(count));
        }
    }

    /// Updates this forwarder's shares of class limits and tenant quotas according to its current demand.
    fn update_rate_shares(&mut self, id: u32) {
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        for k in 0..2 {
            for (&index, &own) in &f.demand[k] {
                let limit = match k {
                    0 => self.settings.classes[index].1,
                    _ => Some(self.settings.tenants[index].1),
                };
                let Some(limit) = limit else { continue };
                let all = self.demand[k].get(&index).copied().unwrap_or(0.0);
                let share = share::forwarder_share(limit, own, all, self.connected);
                let sent = f.rate_shares[k].get(&index).copied();
                if sent.is_none_or(|sent| (share - sent).abs() > MIN_RELATIVE_CHANGE * sent) {
                    f.rate_shares[k].insert(index, share);
                    f.changed_rate_shares[k].insert(index);
                }
            }
        }
    }

    /// Re-evaluates the reports of a server, and marks it as pending at its forwarders if its published state changes.
    pub(super) fn evaluate(&mut self, now: Nanos, id: u32) {
        let suspicion = self.suspicion(id);
        let budget = self.slow_start_budget(now, id);
        let Some(server) = self.servers.get_mut(&id) else { return };
        let before = server.published;
        let grade = grade::of(server.score);
        let mut after = Published { suspicion, ..before };
        if grade::differs(before.grade, grade) {
            after.grade = grade;
        }
        after.slow_start_budget = match (before.slow_start_budget, budget) {
            (Some(sent), Some(budget)) if (budget - sent).abs() < MIN_RELATIVE_CHANGE * sent => Some(sent),
            (_, budget) => budget,
        };
        if after != before {
            server.published = after;
            let (was, is) = (before.suspicion != Suspicion::None, suspicion != Suspicion::None);
            let zone = self.zones.entry(server.member.server.zone).or_default();
            zone.suspected = (zone.suspected + u32::from(is && !was)).saturating_sub(u32::from(was && !is));
            self.mark_pending(id);
        }
    }

    fn suspicion(&self, id: u32) -> Suspicion {
        let Some(s) = self.servers.get(&id) else { return Suspicion::None };
        let witnesses = s.reporters.len() as u32;
        if witnesses < MIN_WITNESSES {
            return Suspicion::None;
        }
        let of = f64::from(witnesses);
        let usual = self.failure_rate_sum / self.reported_rows.max(1.0);
        let reason = if s.ejected >= MIN_WITNESSES.max(witnesses.div_ceil(2)) {
            let refused = s.outcomes[laurelroute_policy::interface::AttemptOutcome::ConnectFailed as usize];
            if refused > 0 {
                Suspicion::Refuses
            } else {
                Suspicion::Fails
            }
        } else if s.failure_rate_sum / of > FAILURE_RATE_MARGIN + usual {
            Suspicion::Fails
        } else if s.latency_sum / of > SLOW_RELATIVE_LATENCY {
            Suspicion::Slow
        } else {
            return Suspicion::None;
        };
        if s.published.suspicion != Suspicion::None {
            return reason;
        }
        let zone = self.zones.get(&s.member.server.zone).copied().unwrap_or_default();
        if f64::from(zone.suspected + 1) > MAX_SUSPECTED_FRACTION * f64::from(zone.ready) {
            return Suspicion::None;
        }
        reason
    }

    /// Requests per second that all forwarders together may send to a server in slow start; `None` for a warm server and
    /// while no rate of warm servers is known.
    fn slow_start_budget(&self, now: Nanos, id: u32) -> Option<f64> {
        let s = self.servers.get(&id)?;
        let share = self.capacity_fraction(now, s)?;
        let warm = self.zones.get(&s.member.server.zone)?.warm_rate?;
        Some(SLOW_START_FACTOR * share * warm * s.size())
    }

    /// Recomputes the sums by zone, for slow-start budgets and for the limit on suspected servers.
    pub(super) fn sum_zones(&mut self, now: Nanos) {
        let mut sums: BTreeMap<u8, (Zone, f64, f64)> = BTreeMap::new();
        for s in self.servers.values().filter(|s| s.ready()) {
            let (zone, served, sizes) = sums.entry(s.member.server.zone).or_default();
            zone.ready += 1;
            zone.suspected += u32::from(s.published.suspicion != Suspicion::None);
            if s.score > 0.0 && self.capacity_fraction(now, s).is_none() {
                *served += s.score;
                *sizes += s.size();
            }
        }
        // Scores decay by a factor of e per `ramp`: at a steady rate a score equals the requests served in one `ramp`.
        let seconds = self.settings.ramp as f64 / 1e9;
        let sum = |(zone, served, sizes): (Zone, f64, f64)| Zone {
            warm_rate: (sizes > 0.0).then(|| served / seconds / sizes),
            ..zone
        };
        self.zones = sums.into_iter().map(|(id, sums)| (id, sum(sums))).collect();
        self.connected = self.forwarders.values().filter(|f| f.disconnected_at.is_none()).count();
    }

    /// The fraction of its capacity that a server has reached; `None` once slow start is over.
    pub(super) fn capacity_fraction(&self, now: Nanos, server: &Server) -> Option<f64> {
        let started = server.member.server.started_at;
        if started == 0 {
            return None;
        }
        let age = now.saturating_sub(started) as f64 / self.settings.ramp as f64;
        let share = self.settings.initial_capacity + (1.0 - self.settings.initial_capacity) * age;
        (share < 1.0).then_some(share)
    }
}
