//! The sizes asked for, and what each slope comes to there.

use super::store::Store;

/// Nodes.
pub const NODES: f64 = 2_100.0;
/// Servers of all services.
pub const SERVERS: f64 = 180_000.0;
/// Services.
pub const SERVICES: f64 = 6_700.0;
/// Services that a node uses.
pub const SERVICES_IN_USE: f64 = 300.0;
/// Servers of a service in the mean.
pub const MEAN_SERVERS: f64 = 27.0;
/// Tenants in the settings.
pub const TENANTS: f64 = 380_000.0;
/// Requests a second of the mean node at the peak.
pub const REQUESTS: f64 = 667.0;
/// Changes of servers a day: 36,000 of configuration, 50,000 restarts or replacements, which are a leaving and a coming each.
pub const CHANGES_A_SECOND: f64 = (36_000.0 + 2.0 * 50_000.0) / 86_400.0;
/// Memory for control at a node, bytes.
pub const NODE_MEMORY: f64 = 64e6;
/// Bytes a second for control at a node.
pub const NODE_BYTES: f64 = 15_000.0;
/// Processor time for control at a node, nanoseconds a second: 3.1% of a core.
pub const NODE_CPU: f64 = 0.031e9;
/// What is in force everywhere has to be so within this, nanoseconds.
pub const IN_FORCE: f64 = 19e9;

/// One figure at the size asked for.
#[derive(Clone, Copy, Debug)]
pub struct Reckoning {
    /// Whose table it stands in.
    pub role: &'static str,
    /// What it is.
    pub what: &'static str,
    /// The slope that it follows from.
    pub slope: &'static str,
    /// The size asked for.
    pub at: f64,
    /// Further slopes at their sizes, of which only what grows is added.
    pub also: &'static [(&'static str, f64)],
    /// So often, or in so many places.
    pub times: (f64, &'static str),
    /// What is allowed, in the unit of the outcome.
    pub allowed: Option<f64>,
    /// Unit of the outcome.
    pub unit: &'static str,
}

const ONCE: (f64, &str) = (1.0, "");
const CHANGES: (f64, &str) = (CHANGES_A_SECOND, "changes a second");

const fn row(
    role: &'static str,
    what: &'static str,
    slope: &'static str,
    at: f64,
    times: (f64, &'static str),
    allowed: Option<f64>,
    unit: &'static str,
) -> Reckoning {
    Reckoning { role, what, slope, at, also: &[], times, allowed, unit }
}

/// Slopes that are to be none: what costs the same whatever there is, within this part.
pub const FLAT: &[&str] = &[
    "node.request.instructions",
    "node.change.allocations",
    "node.service_change.allocations",
    "planner.service_change.steps",
    "planner.service_change.allocations",
];
/// See [`FLAT`].
pub const FLAT_WITHIN: f64 = 0.1;

/// The first slope that is to be none and is one, as it was measured last.
pub fn first_that_grows(store: &Store) -> Option<String> {
    FLAT.iter().filter_map(|name| store.latest(name)).find_map(|slope| {
        let most = slope.values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let least = slope.values.iter().copied().fold(f64::INFINITY, f64::min);
        let grows = most > least * (1.0 + FLAT_WITHIN);
        grows.then(|| format!("`{}` goes from {least} to {most} {}", slope.name, slope.unit))
    })
}

/// Roles that have a table, in the order of the page.
pub const ROLES: [&str; 5] = ["node", "planner", "member", "copy", "source"];

/// All reckonings.
pub const RECKONINGS: &[Reckoning] = &[
    row(
        "node",
        "memory, all servers in one list (process)",
        "node.list.resident",
        SERVERS,
        ONCE,
        Some(NODE_MEMORY),
        "bytes",
    ),
    row(
        "node",
        "memory, all servers in one list (counted)",
        "node.list.held",
        SERVERS,
        ONCE,
        Some(NODE_MEMORY),
        "bytes",
    ),
    row("node", "processor time until ready", "node.list.ready_cpu", SERVERS, ONCE, Some(IN_FORCE), "ns"),
    row("node", "processor time at rest, a second", "node.rest.cpu", SERVERS, ONCE, Some(NODE_CPU), "ns"),
    row(
        "node",
        "processor time of changes, a second",
        "node.change.cpu",
        SERVERS,
        CHANGES,
        Some(NODE_CPU),
        "ns",
    ),
    row(
        "node",
        "bytes of changes, a second",
        "source.change.bytes",
        SERVERS,
        CHANGES,
        Some(NODE_BYTES),
        "bytes",
    ),
    row(
        "node",
        "memory, all tenants in the settings",
        "node.tenants.held",
        TENANTS,
        ONCE,
        Some(NODE_MEMORY),
        "bytes",
    ),
    row(
        "node",
        "memory, the same (process, peak)",
        "node.tenants.peak",
        TENANTS,
        ONCE,
        Some(NODE_MEMORY),
        "bytes",
    ),
    row(
        "node",
        "instructions of a request of the last tenant",
        "node.request.instructions",
        TENANTS,
        ONCE,
        None,
        "instructions",
    ),
    row(
        "node",
        "memory of a process with the servers of 300 services",
        "node.list.resident",
        SERVICES_IN_USE * MEAN_SERVERS,
        ONCE,
        Some(NODE_MEMORY),
        "bytes",
    ),
    row(
        "node",
        "processor time at rest, a second, with those",
        "node.rest.cpu",
        SERVICES_IN_USE * MEAN_SERVERS,
        ONCE,
        Some(NODE_CPU),
        "ns",
    ),
    row(
        "node",
        "processor time of ten times the changes, a second, with those",
        "node.change.cpu",
        SERVICES_IN_USE * MEAN_SERVERS,
        (10.0 * CHANGES_A_SECOND * SERVICES_IN_USE / SERVICES, "changes a second"),
        Some(NODE_CPU),
        "ns",
    ),
    row(
        "node",
        "bytes of ten times the changes, a second, with those",
        "node.service_change.bytes",
        SERVICES_IN_USE,
        (10.0 * CHANGES_A_SECOND * SERVICES_IN_USE / SERVICES, "changes a second"),
        Some(NODE_BYTES),
        "bytes",
    ),
    Reckoning {
        also: &[
            ("node.list.resident", SERVICES_IN_USE * MEAN_SERVERS),
            ("node.services.held", SERVICES_IN_USE),
        ],
        ..row(
            "node",
            "memory of all tenants, those servers and their subscriptions",
            "node.tenants.resident",
            TENANTS,
            ONCE,
            Some(NODE_MEMORY),
            "bytes",
        )
    },
    row(
        "node",
        "memory of 300 services by subscription",
        "node.services.held",
        SERVICES_IN_USE,
        ONCE,
        Some(NODE_MEMORY),
        "bytes",
    ),
    row(
        "node",
        "bytes of a start with 300 services",
        "node.services.start_bytes",
        SERVICES_IN_USE,
        ONCE,
        None,
        "bytes",
    ),
    row(
        "node",
        "time of that start, by the bytes a second that it may take",
        "node.services.start",
        SERVICES_IN_USE,
        ONCE,
        None,
        "ns",
    ),
    row(
        "node",
        "allocations of one change at 300 services",
        "node.service_change.allocations",
        SERVICES_IN_USE,
        ONCE,
        None,
        "allocations",
    ),
    row(
        "node",
        "memory of all services by subscription, where one uses all",
        "node.services.held",
        SERVICES,
        ONCE,
        Some(NODE_MEMORY),
        "bytes",
    ),
    row(
        "node",
        "bytes of catching up after an hour, 300 services",
        "node.absence.bytes",
        3_600.0,
        ONCE,
        None,
        "bytes",
    ),
    row(
        "node",
        "time of catching up after an hour",
        "node.absence.caught_up",
        3_600.0,
        ONCE,
        Some(IN_FORCE),
        "ns",
    ),
    row(
        "planner",
        "memory, all servers in services of 27",
        "planner.services.held",
        SERVERS,
        ONCE,
        None,
        "bytes",
    ),
    row(
        "planner",
        "memory besides, a third of all nodes with 300 services each",
        "planner.subscriptions.held",
        NODES / 3.0 * SERVICES_IN_USE,
        ONCE,
        None,
        "bytes",
    ),
    row(
        "planner",
        "processor time of a whole list, by services",
        "planner.services.list_cpu",
        SERVERS,
        ONCE,
        Some(IN_FORCE),
        "ns",
    ),
    row(
        "planner",
        "processor time of one change that 20 forwarders use",
        "planner.service_change.cpu",
        SERVERS,
        ONCE,
        None,
        "ns",
    ),
    row(
        "planner",
        "servers and subscriptions looked at for it",
        "planner.service_change.steps",
        SERVERS,
        ONCE,
        None,
        "steps",
    ),
    row(
        "planner",
        "bytes of a whole of the largest service (one slice of it)",
        "planner.whole.bytes",
        4_000.0,
        ONCE,
        None,
        "bytes",
    ),
    row(
        "planner",
        "processor time of ten times the changes, a second, each used by 20",
        "planner.service_change.cpu",
        SERVERS,
        (10.0 * CHANGES_A_SECOND, "changes a second"),
        Some(1e9),
        "ns",
    ),
    row("planner", "memory, all servers as one service", "planner.boxes.held", SERVERS, ONCE, None, "bytes"),
    row(
        "planner",
        "memory, all forwarders on 10,000 boxes",
        "planner.forwarders.held",
        NODES,
        ONCE,
        None,
        "bytes",
    ),
    row("planner", "processor time of the first plan", "planner.boxes.plan_cpu", SERVERS, ONCE, None, "ns"),
    row(
        "planner",
        "processor time of a new plan after one drain",
        "planner.boxes.drain_cpu",
        SERVERS,
        ONCE,
        None,
        "ns",
    ),
    row(
        "planner",
        "the same by forwarders, 10,000 boxes",
        "planner.forwarders.drain_cpu",
        NODES,
        ONCE,
        None,
        "ns",
    ),
    row("planner", "bytes of a whole to one forwarder", "planner.boxes.whole", SERVERS, ONCE, None, "bytes"),
    row("member", "bytes a second, each member", "member.bytes", NODES, ONCE, Some(NODE_BYTES), "bytes"),
    row("copy", "bytes a second at rest, each member", "copy.bytes", NODES, ONCE, Some(NODE_BYTES), "bytes"),
    row(
        "copy",
        "bytes in the second after one ban, each member",
        "copy.ban_bytes",
        NODES,
        ONCE,
        Some(NODE_BYTES),
        "bytes",
    ),
    row("source", "bytes of a whole list", "source.list.bytes", SERVERS, ONCE, None, "bytes"),
    row(
        "source",
        "bytes of whole lists to all nodes at once",
        "source.list.bytes",
        SERVERS,
        (NODES, "nodes"),
        None,
        "bytes",
    ),
];
