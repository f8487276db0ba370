//! The sizes asked for, and what each slope comes to there.

/// Nodes.
pub const NODES: f64 = 2_100.0;
/// Servers of all services.
pub const SERVERS: f64 = 180_000.0;
/// Services.
pub const SERVICES: f64 = 6_700.0;
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
    Reckoning { role, what, slope, at, times, allowed, unit }
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
        "instructions to find the last tenant",
        "node.tenant.instructions",
        TENANTS,
        ONCE,
        None,
        "instructions",
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
