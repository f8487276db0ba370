//! What a hollow node says that it has met: a few servers of its services in turn, with some noise, as quiet traffic has it.

use laurelroute_plan::services::subscriber::Subscriber;
use laurelroute_plan::wire::Report;
use laurelroute_policy::interface::{Endpoint, Nanos, ServerObservation};
use laurelroute_rig::scale_model::fleet::service_name;

/// Services looked at for one report, and servers of each.
const SERVICES: usize = 2;
const SERVERS: usize = 4;

/// Whose turn it is.
#[derive(Debug, Default)]
pub struct Rounds {
    next: usize,
}

impl Rounds {
    /// The next report, within what the subscriber lets it say.
    pub fn report(&mut self, subscriber: &mut Subscriber, now: Nanos, named: &[usize]) -> Option<Report> {
        let mut met: Vec<(String, ServerObservation)> = Vec::new();
        for _ in 0..SERVICES.min(named.len()) {
            self.next = self.next.wrapping_add(1);
            let members = subscriber.members_of(&service_name(named[self.next % named.len()]));
            let members = members.unwrap_or_default();
            let from = self.next % members.len().max(1);
            for member in members.iter().skip(from).take(SERVERS) {
                met.push((member.name.clone(), observed(self.next)));
            }
        }
        subscriber.next_report(now, &mut met.iter().map(|(name, o)| (name.as_str(), *o)))
    }
}

fn observed(round: usize) -> ServerObservation {
    ServerObservation {
        server: Endpoint { address: [0; 4], port: 0 },
        score: 40.0 + (round % 11) as f64,
        in_flight: (round % 3) as u32,
        relative_latency: 1.0 + (round % 7) as f64 / 50.0,
        failure_rate: 0.0,
        ejected: false,
        outcomes: [0; laurelroute_policy::interface::ATTEMPT_OUTCOMES],
    }
}
