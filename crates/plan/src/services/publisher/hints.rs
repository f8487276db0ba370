//! What forwarders have met of servers, summed up for all who use them.
//!
//! A hint weighs servers against each other and bans none. It takes two witnesses for a suspicion: what only one forwarder
//! meets may be its own network.

use super::slice::Name;
use super::{Forwarder, PublishError, Publisher};
use crate::check::check;
use crate::grade;
use crate::wire::{Report, ServerReport, Suspicion};
use laurelroute_policy::interface::{AttemptOutcome, Nanos};
use std::collections::BTreeMap;

/// Servers that one forwarder may report on; it says the rest when it has dropped some.
const MOST_REPORTED: usize = 1_024;
/// Forwarders that have to say so before a server is suspected.
const WITNESSES: usize = 2;
/// Share of failures at a forwarder from which it is a witness.
const FAULTY: f32 = 0.35;

/// What one forwarder has met of a server.
#[derive(Clone, Copy, Debug, Default)]
struct Met {
    accomplished: f32,
    /// It is out of use there, or fails too often.
    against: bool,
    /// No connection came about more often than an answer came.
    refuses: bool,
}

/// What is said of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportSummary {
    met: BTreeMap<u32, Met>,
    /// Sums over all of it.
    accomplished: f64,
    against: usize,
    refuses: usize,
    pub(super) grade: u32,
    pub(super) suspicion: Suspicion,
    /// The number of the last change of it.
    pub(super) number: u64,
}

impl ReportSummary {
    pub(super) fn reporters(&self) -> impl Iterator<Item = u32> + '_ {
        self.met.keys().copied()
    }

    /// Takes what one forwarder has met in place of what it had, `None` for nothing; whether all word on the server together
    /// makes a difference now. Sums are kept along: many report on one server, each several times a minute.
    fn hear(&mut self, forwarder: u32, met: Option<Met>) -> bool {
        let before = match met {
            Some(met) => self.met.insert(forwarder, met),
            None => self.met.remove(&forwarder),
        };
        if let Some(before) = before {
            self.accomplished -= f64::from(before.accomplished);
            self.against -= usize::from(before.against);
            self.refuses -= usize::from(before.against && before.refuses);
        }
        if let Some(met) = met {
            self.accomplished += f64::from(met.accomplished);
            self.against += usize::from(met.against);
            self.refuses += usize::from(met.against && met.refuses);
        }
        if self.met.is_empty() {
            self.accomplished = 0.0;
        }
        let suspected = self.against >= WITNESSES && 2 * self.against > self.met.len();
        let suspicion = match suspected {
            true if 2 * self.refuses > self.against => Suspicion::Refuses,
            true => Suspicion::Fails,
            false => Suspicion::None,
        };
        let grade = grade::of(self.accomplished.max(0.0));
        let differs = grade::differs(self.grade, grade) || suspicion != self.suspicion;
        if differs {
            (self.grade, self.suspicion) = (grade, suspicion);
        }
        differs
    }
}

impl Publisher {
    /// What a forwarder has met. Rows name servers; classes and tenants are not looked at here. Nothing of it counts where any
    /// figure makes no sense.
    pub fn report(&mut self, _now: Nanos, name: &str, report: &Report) -> Result<(), PublishError> {
        let id = self.id_of(name)?;
        check(report)?;
        for row in &report.rows {
            self.met(id, &row.name, Some(row));
        }
        for name in &report.dropped {
            self.met(id, name, None);
        }
        Ok(())
    }

    fn met(&mut self, id: u32, server: &str, seen: Option<&ServerReport>) {
        self.stats.steps += 1;
        let Some((name, _)) = self.servers.get_key_value(server) else { return };
        let name = name.clone();
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        let Some(server) = self.servers.get_mut(&name) else { return };
        match seen {
            Some(_) if !f.reported.contains(&name) && f.reported.len() >= MOST_REPORTED => return,
            Some(_) => drop(f.reported.insert(name.clone())),
            None => drop(f.reported.remove(&name)),
        }
        if server.standing.hear(id, seen.map(met)) {
            self.say(&name);
        }
    }

    /// All who use a server hear of what is said of it now.
    fn say(&mut self, name: &Name) {
        let Some(server) = self.servers.get_mut(name) else { return };
        self.hint += 1;
        server.standing.number = self.hint;
        for id in &server.services {
            let Some(service) = self.services.get_mut(id) else { continue };
            let k = service.slice_of(name);
            service.slices[k].hinted = self.hint;
            for f in &service.slices[k].subscribers {
                self.stats.steps += 1;
                if let Some(f) = self.forwarders.get_mut(f) {
                    f.hints.insert(*id);
                }
            }
        }
    }

    /// What a forwarder has reported may be of an earlier life.
    pub(super) fn forget_reports(&mut self, id: u32) {
        let reported = self.forwarders.get_mut(&id).map(|f: &mut Forwarder| std::mem::take(&mut f.reported));
        for name in reported.into_iter().flatten() {
            if self.servers.get_mut(&name).is_some_and(|server| server.standing.hear(id, None)) {
                self.say(&name);
            }
        }
    }
}

fn met(seen: &ServerReport) -> Met {
    let count = |ending: AttemptOutcome| seen.outcomes.get(ending as usize).copied().unwrap_or(0);
    Met {
        accomplished: seen.score,
        against: seen.ejected || seen.failure_rate >= FAULTY,
        refuses: count(AttemptOutcome::ConnectFailed) > count(AttemptOutcome::Ok),
    }
}
