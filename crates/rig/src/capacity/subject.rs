//! Pieces of work whose cost is counted, in this process and in one of their own under valgrind.

use super::{planner, server_list, tenants};
use crate::report::Failure;

/// A piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A node takes a whole list of servers.
    List,
    /// A node with so many servers hears that one has changed.
    Change,
    /// A node reads settings with so many tenants.
    Tenants,
    /// A node looks up the last of so many tenants.
    Tenant,
    /// A planner with so many boxes makes its first plan.
    PlanBoxes,
    /// A planner with so many boxes hears that one drains, plans anew and tells all forwarders.
    DrainBoxes,
    /// A planner with so many forwarders makes its first plan.
    PlanForwarders,
    /// A planner with so many forwarders hears that one box drains, plans anew and tells all forwarders.
    DrainForwarders,
}

/// Work that can be done again and again.
pub type Work = Box<dyn FnMut()>;

const ALL: [(Subject, &str, usize); 8] = [
    (Subject::List, "list", 1),
    (Subject::Change, "change", 8),
    (Subject::Tenants, "tenants", 1),
    (Subject::Tenant, "tenant", 400),
    (Subject::PlanBoxes, "plan-boxes", 1),
    (Subject::DrainBoxes, "drain-boxes", 2),
    (Subject::PlanForwarders, "plan-forwarders", 1),
    (Subject::DrainForwarders, "drain-forwarders", 2),
];

impl Subject {
    fn row(self) -> (&'static str, usize) {
        ALL.iter().find(|(s, ..)| *s == self).map_or(("", 1), |(_, name, times)| (name, *times))
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        self.row().0
    }

    /// How often the work is done where its cost is counted.
    pub fn times(self) -> usize {
        self.row().1
    }

    /// All that has to be there before the work is done.
    pub fn prepare(self, size: usize) -> Result<Work, Failure> {
        match self {
            Subject::List => server_list::list(size),
            Subject::Change => server_list::change(size),
            Subject::Tenants => tenants::settings(size),
            Subject::Tenant => tenants::last(size),
            Subject::PlanBoxes => planner::plan(planner::FORWARDERS, size),
            Subject::DrainBoxes => planner::drain(planner::FORWARDERS, size),
            Subject::PlanForwarders => planner::plan(size, planner::BOXES),
            Subject::DrainForwarders => planner::drain(size, planner::BOXES),
        }
    }
}

/// The process that does the work of a subject so often, for valgrind to count.
pub fn probe(name: &str, size: usize, times: usize) -> Result<(), Failure> {
    let subject = ALL.iter().find(|(_, n, _)| *n == name).map(|(s, ..)| *s);
    let mut work = subject.ok_or_else(|| Failure(format!("there is no `{name}`")))?.prepare(size)?;
    (0..times).for_each(|_| work());
    // What was built is not taken apart: that is no part of the work.
    std::process::exit(0)
}
