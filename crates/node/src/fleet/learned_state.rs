//! Converts what this node has learned about servers to and from the fixed-point form that members send to a starting
//! one.

use laurelroute_policy::interface::{Endpoint, LearnedServer, LearnedState};
use laurelroute_replica::snapshot::MAX_SERVERS;
use laurelroute_replica::{FleetAverages, LearnedSnapshot, ServerRow};

/// Units of the fixed-point form: sixteenths of a request, thousandths of a ratio, and `u16::MAX` for a fraction of 1.
const SIXTEENTHS: f64 = 16.0;
const THOUSANDTHS: f64 = 1_000.0;
const FULL_SCALE: f64 = u16::MAX as f64;

/// Scales to a `u16`, saturating at its bounds.
fn to_fixed(value: f64, unit: f64) -> u16 {
    (value * unit).round().clamp(0.0, f64::from(u16::MAX)) as u16
}

/// Encodes learned state for a member that requests it.
pub(super) fn encode(number: u32, learned: &LearnedState) -> LearnedSnapshot {
    let row = |known: &LearnedServer| ServerRow {
        address: known.server.address,
        port: known.server.port,
        score: (known.score * SIXTEENTHS).round().clamp(0.0, f64::from(u32::MAX)) as u32,
        relative_latency: to_fixed(known.relative_latency, THOUSANDTHS),
        failure_rate: to_fixed(known.failure_rate, FULL_SCALE),
    };
    let class =
        |(typical, answers): &(u64, u32)| (u32::try_from(typical / 1_000).unwrap_or(u32::MAX), *answers);
    LearnedSnapshot {
        number,
        averages: FleetAverages {
            slowdown: to_fixed(learned.slowdown, THOUSANDTHS),
            failure_rate: to_fixed(learned.failure_rate, FULL_SCALE),
            classes: learned.classes.iter().map(class).collect(),
        },
        rows: learned.servers.iter().take(MAX_SERVERS).map(row).collect(),
    }
}

/// Decodes learned state received from another member; `rate` is the request rate that this node observes itself.
pub(super) fn decode(rate: f64, message: &LearnedSnapshot) -> LearnedState {
    let known = |row: &ServerRow| LearnedServer {
        server: Endpoint { address: row.address, port: row.port },
        score: f64::from(row.score) / SIXTEENTHS,
        relative_latency: f64::from(row.relative_latency) / THOUSANDTHS,
        failure_rate: f64::from(row.failure_rate) / FULL_SCALE,
    };
    LearnedState {
        rate,
        classes: message
            .averages
            .classes
            .iter()
            .map(|(us, answers)| (u64::from(*us) * 1_000, *answers))
            .collect(),
        slowdown: f64::from(message.averages.slowdown) / THOUSANDTHS,
        failure_rate: f64::from(message.averages.failure_rate) / FULL_SCALE,
        servers: message.rows.iter().map(known).collect(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn learned_state_survives_a_round_trip() {
        let server = LearnedServer {
            server: Endpoint { address: [10, 0, 0, 9], port: 8080 },
            score: 12_345.5,
            relative_latency: 1.25,
            failure_rate: 0.5,
        };
        let out_of_range =
            LearnedServer { score: f64::NAN, relative_latency: 1e9, failure_rate: -1.0, ..server };
        let learned = LearnedState {
            rate: 3.0,
            classes: vec![(2_500_000, 300), (0, 0)],
            slowdown: 1.5,
            failure_rate: 0.25,
            servers: vec![server, out_of_range],
        };
        let decoded = decode(7.0, &encode(4, &learned));
        assert_eq!((decoded.rate, &decoded.classes, decoded.slowdown), (7.0, &learned.classes, 1.5));
        assert_eq!((decoded.servers[0].server, decoded.servers[0].score), (server.server, 12_345.5));
        assert!(
            (decoded.servers[0].relative_latency - 1.25).abs() < 1e-3
                && (decoded.servers[0].failure_rate - 0.5).abs() < 1e-4
        );
        let clamped = decoded.servers[1];
        assert_eq!((clamped.score, clamped.relative_latency, clamped.failure_rate), (0.0, 65.535, 0.0));
    }
}
