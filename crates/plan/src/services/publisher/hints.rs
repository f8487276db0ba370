//! Aggregation of what forwarders report about servers, sent as hints to all forwarders that use these servers. A
//! hint shifts load between servers and ejects none. A server is suspected only if two forwarders report it: a
//! problem seen by one forwarder may be that forwarder's network.

use super::slice::Name;
use super::{Forwarder, PublishError, Publisher};
use crate::check::check;
use crate::grade;
use crate::wire::{Report, ServerReport, Suspicion};
use laurelroute_policy::interface::{AttemptOutcome, Nanos};
use std::collections::BTreeMap;

/// Maximum number of servers that one forwarder may report on. It can report further ones after it has dropped
/// some.
const MAX_REPORTED_SERVERS: usize = 1_024;
/// Minimum number of forwarders that must report a server as failing before it is suspected.
const MIN_WITNESSES: usize = 2;
/// Failure rate from which a forwarder counts as a witness against a server.
const WITNESS_FAILURE_RATE: f32 = 0.35;

/// One forwarder's observation of a server.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    score: f32,
    /// Whether the server is ejected at this forwarder or its failure rate is too high.
    failing: bool,
    /// Whether more connection attempts failed than requests succeeded.
    refuses: bool,
}

/// The aggregated reports on one server.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportSummary {
    by_forwarder: BTreeMap<u32, Observation>,
    /// Sums over all forwarders.
    score: f64,
    failing: usize,
    refuses: usize,
    pub(super) grade: u32,
    pub(super) suspicion: Suspicion,
    /// The hint number of the last change.
    pub(super) changed_at: u64,
}

impl ReportSummary {
    pub(super) fn reporters(&self) -> impl Iterator<Item = u32> + '_ {
        self.by_forwarder.keys().copied()
    }

    /// Replaces a forwarder's observation (`None` removes it) and returns whether the aggregate has changed
    /// noticeably. The sums are maintained incrementally, since many forwarders report on a server several times a
    /// minute.
    fn update(&mut self, forwarder: u32, observation: Option<Observation>) -> bool {
        let before = match observation {
            Some(observation) => self.by_forwarder.insert(forwarder, observation),
            None => self.by_forwarder.remove(&forwarder),
        };
        if let Some(before) = before {
            self.score -= f64::from(before.score);
            self.failing -= usize::from(before.failing);
            self.refuses -= usize::from(before.failing && before.refuses);
        }
        if let Some(observation) = observation {
            self.score += f64::from(observation.score);
            self.failing += usize::from(observation.failing);
            self.refuses += usize::from(observation.failing && observation.refuses);
        }
        if self.by_forwarder.is_empty() {
            self.score = 0.0;
        }
        let suspected = self.failing >= MIN_WITNESSES && 2 * self.failing > self.by_forwarder.len();
        let suspicion = match suspected {
            true if 2 * self.refuses > self.failing => Suspicion::Refuses,
            true => Suspicion::Fails,
            false => Suspicion::None,
        };
        let grade = grade::of(self.score.max(0.0));
        let differs = grade::differs(self.grade, grade) || suspicion != self.suspicion;
        if differs {
            (self.grade, self.suspicion) = (grade, suspicion);
        }
        differs
    }
}

impl Publisher {
    /// Applies a forwarder's report on servers; its class and tenant rates are ignored here. A report with an
    /// invalid figure is rejected as a whole.
    pub fn report(&mut self, _now: Nanos, name: &str, report: &Report) -> Result<(), PublishError> {
        let id = self.forwarder_id(name)?;
        check(report)?;
        for row in &report.rows {
            self.apply_report_row(id, &row.name, Some(row));
        }
        for name in &report.dropped {
            self.apply_report_row(id, name, None);
        }
        Ok(())
    }

    fn apply_report_row(&mut self, id: u32, server: &str, report: Option<&ServerReport>) {
        self.stats.steps += 1;
        let Some((name, _)) = self.servers.get_key_value(server) else { return };
        let name = name.clone();
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        let Some(server) = self.servers.get_mut(&name) else { return };
        match report {
            Some(_)
                if !f.reported_servers.contains(&name)
                    && f.reported_servers.len() >= MAX_REPORTED_SERVERS =>
            {
                return
            }
            Some(_) => drop(f.reported_servers.insert(name.clone())),
            None => drop(f.reported_servers.remove(&name)),
        }
        if server.reports.update(id, report.map(to_observation)) {
            self.announce_hint(&name);
        }
    }

    /// Queues a hint on a server for every forwarder subscribed to one of its services.
    fn announce_hint(&mut self, name: &Name) {
        let Some(server) = self.servers.get_mut(name) else { return };
        self.last_hint += 1;
        server.reports.changed_at = self.last_hint;
        for id in &server.services {
            let Some(service) = self.services.get_mut(id) else { continue };
            let k = service.slice_of(name);
            service.slices[k].last_hint = self.last_hint;
            for f in &service.slices[k].subscribers {
                self.stats.steps += 1;
                if let Some(f) = self.forwarders.get_mut(f) {
                    f.pending_hints.insert(*id);
                }
            }
        }
    }

    /// Discards a forwarder's reports, which may date from an earlier run of its process.
    pub(super) fn forget_reports(&mut self, id: u32) {
        let reported =
            self.forwarders.get_mut(&id).map(|f: &mut Forwarder| std::mem::take(&mut f.reported_servers));
        for name in reported.into_iter().flatten() {
            if self.servers.get_mut(&name).is_some_and(|server| server.reports.update(id, None)) {
                self.announce_hint(&name);
            }
        }
    }
}

fn to_observation(report: &ServerReport) -> Observation {
    let count = |outcome: AttemptOutcome| report.outcomes.get(outcome as usize).copied().unwrap_or(0);
    Observation {
        score: report.score,
        failing: report.ejected || report.failure_rate >= WITNESS_FAILURE_RATE,
        refuses: count(AttemptOutcome::ConnectFailed) > count(AttemptOutcome::Ok),
    }
}
