//! How large the bed is, and what is drawn from the seed: the sizes of services, how popular they are, which of them a
//! node uses, and where servers and nodes stand. The driver and its hollow processes draw the same.

use laurelroute_plan::scramble;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

/// Sizes of services fall with their rank to this power: at 6,700 services the largest has some 4,000 servers of 180,000.
const SIZE_POWER: f64 = 0.7;
/// How often services are named falls with their rank to this power.
const POPULARITY_POWER: f64 = 0.9;
/// Zones that servers and nodes stand in.
pub const ZONES: u32 = 9;

/// How large the bed is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Nodes, the real ones included.
    pub nodes: usize,
    /// Nodes that are real processes.
    pub real: usize,
    /// Servers that are data.
    pub servers: usize,
    /// Services of these servers.
    pub services: usize,
    /// Services that a node uses.
    pub uses: usize,
    /// Processes of hollow nodes.
    pub processes: usize,
    /// Servers and nodes of a rack.
    pub rack: (usize, usize),
}

impl Size {
    /// The size of two years from now.
    pub const FULL: Size = Size {
        nodes: 2_100,
        real: 6,
        servers: 180_000,
        services: 6_700,
        uses: 300,
        processes: 14,
        rack: (60, 2),
    };
    /// What a test plays.
    pub const SMALL: Size =
        Size { nodes: 60, real: 3, servers: 3_000, services: 150, uses: 30, processes: 2, rack: (6, 1) };
    /// A single real node before the whole list.
    pub const ONE: Size = Size { nodes: 1, real: 1, processes: 0, ..Size::FULL };

    /// The same with fewer nodes, of which some are hollow in any case.
    pub fn of_nodes(self, nodes: usize) -> Size {
        let nodes = nodes.clamp(if self.processes > 0 { self.real + 10 } else { self.real }, self.nodes);
        Size { nodes, processes: (self.processes * nodes).div_ceil(self.nodes), ..self }
    }

    /// For a hollow process.
    pub fn json(&self) -> Value {
        json!([
            self.nodes,
            self.real,
            self.servers,
            self.services,
            self.uses,
            self.processes,
            self.rack.0,
            self.rack.1
        ])
    }

    /// As `json` words it.
    pub fn from_json(value: &Value) -> Option<Size> {
        let all: Option<Vec<usize>> = value.as_array()?.iter().map(|v| Some(v.as_u64()? as usize)).collect();
        let &[nodes, real, servers, services, uses, processes, a, b] = all?.as_slice() else { return None };
        Some(Size { nodes, real, servers, services, uses, processes, rack: (a, b) })
    }

    /// Hollow nodes of one process: from, to.
    pub fn share(&self, process: usize) -> (usize, usize) {
        let hollow = self.nodes - self.real;
        let at = |k: usize| hollow * k / self.processes.max(1);
        (at(process), at(process + 1))
    }
}

/// The fleet as it was drawn.
#[derive(Debug)]
pub struct Fleet {
    size: Size,
    seed: u64,
    /// The first server of each service, and the number of servers at the end.
    first: Vec<usize>,
    /// How likely each service is named, against others.
    weights: Vec<f64>,
}

/// A draw between 0 and 1, neither of them.
fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (f64::from(rng.next_u32()) + 0.5) / (f64::from(u32::MAX) + 1.0)
}

/// Places 0 to `n`, shuffled.
fn shuffled(rng: &mut Pcg64Mcg, n: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..n).collect();
    for k in (1..n).rev() {
        all.swap(k, ((u64::from(rng.next_u32()) * (k as u64 + 1)) >> 32) as usize);
    }
    all
}

impl Fleet {
    /// Draws it. All follows from the size and the seed.
    pub fn draw(size: Size, seed: u64) -> Fleet {
        let mut rng = Pcg64Mcg::seed_from_u64(scramble(seed ^ 0x0073_6361_6c65));
        let shares: Vec<f64> = (1..=size.services).map(|rank| (rank as f64).powf(-SIZE_POWER)).collect();
        let whole: f64 = shares.iter().sum();
        // Rounded together, so that none is lost; one server at least.
        let mut sum = 0.0;
        let mut given = 0;
        let mut sizes: Vec<usize> = Vec::with_capacity(size.services);
        for share in shares {
            sum += share / whole * size.servers as f64;
            let next = (sum.round() as usize).saturating_sub(given).max(1);
            given += next;
            sizes.push(next);
        }
        sizes[0] = (sizes[0] + size.servers).saturating_sub(given).max(1);
        let (by_size, by_use) = (shuffled(&mut rng, size.services), shuffled(&mut rng, size.services));
        let mut first = vec![0];
        for rank in by_size {
            first.push(first[first.len() - 1] + sizes[rank]);
        }
        let weights = by_use.into_iter().map(|rank| (rank as f64 + 1.0).powf(-POPULARITY_POWER)).collect();
        Fleet { size, seed, first, weights }
    }

    /// How many servers there are.
    pub fn servers(&self) -> usize {
        self.first[self.first.len() - 1]
    }

    /// The size of the largest service.
    pub fn largest(&self) -> usize {
        self.first.windows(2).map(|w| w[1] - w[0]).max().unwrap_or(0)
    }

    /// The service of a server.
    pub fn service_of(&self, server: usize) -> usize {
        self.first.partition_point(|first| *first <= server) - 1
    }

    /// How many servers a service has.
    pub fn size_of(&self, service: usize) -> usize {
        self.first[service + 1] - self.first[service]
    }

    /// The service that is named most often.
    pub fn most_named(&self) -> usize {
        (0..self.weights.len()).max_by(|a, b| self.weights[*a].total_cmp(&self.weights[*b])).unwrap_or(0)
    }

    /// The services that a node uses, those that it names most often first.
    pub fn uses(&self, node: usize) -> Vec<usize> {
        let mut rng = Pcg64Mcg::seed_from_u64(scramble(self.seed ^ ((node as u64) << 32) ^ 0x0075_7365));
        // Drawn without putting back, each as likely as its weight says (Efraimidis and Spirakis, 2006).
        let mut keys: Vec<(f64, usize)> =
            self.weights.iter().enumerate().map(|(k, w)| (-unit(&mut rng).ln() / w, k)).collect();
        let n = self.size.uses.min(keys.len());
        if n < keys.len() {
            keys.select_nth_unstable_by(n, |a, b| a.0.total_cmp(&b.0));
            keys.truncate(n);
        }
        keys.sort_by(|a, b| self.weights[b.1].total_cmp(&self.weights[a.1]));
        keys.into_iter().map(|(_, k)| k).collect()
    }

    /// The zone of a server or node.
    pub fn zone_of(place: usize) -> u32 {
        (scramble(place as u64) % u64::from(ZONES)) as u32
    }

    /// Servers of a rack: so many of one zone, of any service.
    pub fn rack(&self) -> Vec<usize> {
        let mut rng = Pcg64Mcg::seed_from_u64(scramble(self.seed ^ 0x7261_636b));
        let all = shuffled(&mut rng, self.servers());
        all.into_iter().filter(|s| Fleet::zone_of(*s) == 1).take(self.size.rack.0).collect()
    }

    /// Servers of a zone.
    pub fn zone(&self, zone: u32) -> Vec<usize> {
        (0..self.servers()).filter(|s| Fleet::zone_of(*s) == zone).collect()
    }

    /// Hollow nodes of a zone.
    pub fn nodes_of(&self, zone: u32) -> Vec<usize> {
        (0..self.size.nodes - self.size.real).filter(|n| Fleet::zone_of(*n) == zone).collect()
    }
}

/// A service's name.
pub fn service_name(service: usize) -> String {
    format!("service-{service:04}")
}

/// A server's name.
pub fn server_name(server: usize) -> String {
    format!("server-{server:06}")
}

/// The server of a name.
pub fn server_named(name: &str) -> Option<usize> {
    name.strip_prefix("server-")?.parse().ok()
}
