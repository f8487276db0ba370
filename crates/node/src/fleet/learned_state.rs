//! What this node has learnt of servers, as members tell it to one that starts.

use laurelroute_policy::interface::{Endpoint, LearnedServer, LearnedState};
use laurelroute_replica::lesson::MOST_SERVERS;
use laurelroute_replica::{Lesson, Row, Usual};

/// Sixteenths of a request, thousandths of what is usual, parts of all.
const SIXTEENTHS: f64 = 16.0;
const THOUSANDTHS: f64 = 1_000.0;
const ALL: f64 = u16::MAX as f64;

fn small(figure: f64, unit: f64) -> u16 {
    (figure * unit).round().clamp(0.0, f64::from(u16::MAX)) as u16
}

/// For one that asks.
pub(super) fn told(number: u32, learnt: &LearnedState) -> Lesson {
    let row = |k: &LearnedServer| Row {
        address: k.server.address,
        port: k.server.port,
        accomplished: (k.score * SIXTEENTHS).round().clamp(0.0, f64::from(u32::MAX)) as u32,
        lag: small(k.relative_latency, THOUSANDTHS),
        faults: small(k.failure_rate, ALL),
    };
    let class =
        |(typical, answers): &(u64, u32)| (u32::try_from(typical / 1_000).unwrap_or(u32::MAX), *answers);
    Lesson {
        number,
        usual: Usual {
            pressure: small(learnt.slowdown, THOUSANDTHS),
            faults: small(learnt.failure_rate, ALL),
            classes: learnt.classes.iter().map(class).collect(),
        },
        rows: learnt.servers.iter().take(MOST_SERVERS).map(row).collect(),
    }
}

/// From one that was asked, beside the rate of requests that this node sees itself.
pub(super) fn heard(rate: f64, lesson: &Lesson) -> LearnedState {
    let known = |row: &Row| LearnedServer {
        server: Endpoint { address: row.address, port: row.port },
        score: f64::from(row.accomplished) / SIXTEENTHS,
        relative_latency: f64::from(row.lag) / THOUSANDTHS,
        failure_rate: f64::from(row.faults) / ALL,
    };
    LearnedState {
        rate,
        classes: lesson
            .usual
            .classes
            .iter()
            .map(|(us, answers)| (u64::from(*us) * 1_000, *answers))
            .collect(),
        slowdown: f64::from(lesson.usual.pressure) / THOUSANDTHS,
        failure_rate: f64::from(lesson.usual.faults) / ALL,
        servers: lesson.rows.iter().map(known).collect(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_learnt_comes_through() {
        let server = LearnedServer {
            server: Endpoint { address: [10, 0, 0, 9], port: 8080 },
            score: 12_345.5,
            relative_latency: 1.25,
            failure_rate: 0.5,
        };
        let odd = LearnedServer { score: f64::NAN, relative_latency: 1e9, failure_rate: -1.0, ..server };
        let learnt = LearnedState {
            rate: 3.0,
            classes: vec![(2_500_000, 300), (0, 0)],
            slowdown: 1.5,
            failure_rate: 0.25,
            servers: vec![server, odd],
        };
        let back = heard(7.0, &told(4, &learnt));
        assert_eq!((back.rate, &back.classes, back.slowdown), (7.0, &learnt.classes, 1.5));
        assert_eq!((back.servers[0].server, back.servers[0].score), (server.server, 12_345.5));
        assert!(
            (back.servers[0].relative_latency - 1.25).abs() < 1e-3
                && (back.servers[0].failure_rate - 0.5).abs() < 1e-4
        );
        let odd = back.servers[1];
        assert_eq!((odd.score, odd.relative_latency, odd.failure_rate), (0.0, 65.535, 0.0));
    }
}
