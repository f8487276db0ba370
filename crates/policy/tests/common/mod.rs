//! Helpers that drive a balancer event by event.
#![allow(dead_code)]

use laurelroute_policy::interface::*;
use laurelroute_policy::Balancer;

pub const MS: Nanos = 1_000_000;

pub fn endpoint(k: u8) -> Endpoint {
    Endpoint { address: [10, 0, 0, k], port: 80 }
}

pub fn servers(n: u8) -> Vec<Server> {
    (0..n).map(|k| Server::warm(endpoint(k))).collect()
}

pub fn settings(idempotency: Idempotency) -> Settings {
    let mut settings = Settings::single_class(400 * MS, 800 * MS);
    settings.classes[0].idempotency = idempotency;
    settings.classes[0].dedup_window = 600 * MS;
    settings.max_attempts = 4;
    settings
}

/// The most requests of mean work that all nodes together may send a server in slow start within one overload window,
/// for a `budget` computed from the settings; the specification allows some more for random variation.
pub fn slow_start_limit(budget: f64) -> f64 {
    let chance = if budget < 30.0 { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 };
    budget + chance
}

/// A high-value class and one of an eighth of its value, both with a latency target of 400 ms.
pub fn two_classes() -> Settings {
    let mut settings = settings(Idempotency::Safe);
    let class = settings.classes[0].clone();
    settings.classes.push(Class { value: class.value / 8.0, ..class });
    settings
}

/// An attempt in flight: when its response is due, when it was sent, the request and its server.
pub type InFlight = (Nanos, Nanos, RequestId, Endpoint);

pub struct TestBed {
    pub balancer: Balancer,
    pub now: Nanos,
    next_id: RequestId,
}

impl TestBed {
    pub fn new(settings: Settings, list: Vec<Server>, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("sound settings");
        let mut bed = TestBed { balancer, now: 1_000_000 * MS, next_id: 0 };
        bed.list(ListKind::Full, list);
        bed
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut sink = Vec::new();
        self.balancer.handle(self.now, event, &mut sink);
        sink
    }

    pub fn list(&mut self, kind: ListKind, servers: Vec<Server>) -> Vec<Action> {
        self.feed(Event::List { kind, servers })
    }

    /// Sends a new request of class 0 with a deadline in 800 ms.
    pub fn request(&mut self) -> (RequestId, Vec<Action>) {
        self.hinted(None)
    }

    /// Sends a new request of class 0 with a deadline in 800 ms and a work hint.
    pub fn hinted(&mut self, work_hint: Option<Nanos>) -> (RequestId, Vec<Action>) {
        self.next_id += 1;
        let id = self.next_id;
        let request = Request { work_hint, ..Request::new(id, self.now + 800 * MS) };
        (id, self.feed(Event::Request(request)))
    }

    pub fn outcome(
        &mut self,
        request: RequestId,
        server: Endpoint,
        attempt: u8,
        took: Nanos,
        outcome: AttemptOutcome,
    ) -> Vec<Action> {
        let finished = outcome == AttemptOutcome::Ok;
        self.feed(Event::AttemptEnded { request, server, attempt, finished, took, outcome, report: None })
    }

    /// Delivers the responses that are due by now, the earliest first.
    pub fn answer_due(&mut self, in_flight: &mut Vec<InFlight>) {
        in_flight.sort_unstable_by_key(|o| o.0);
        while in_flight.first().is_some_and(|o| o.0 <= self.now) {
            let (at, sent_at, id, server) = in_flight.remove(0);
            self.outcome(id, server, 0, at - sent_at, AttemptOutcome::Ok);
        }
    }

    /// Sends one request, delivers its response after `took`, and returns the server it went to.
    pub fn served(&mut self, took: Nanos) -> Option<Endpoint> {
        let (id, actions) = self.request();
        let server = sent(&actions, id)?;
        self.outcome(id, server, 0, took, AttemptOutcome::Ok);
        Some(server)
    }
}

/// The server that the request was sent to, if any.
pub fn sent(actions: &[Action], id: RequestId) -> Option<Endpoint> {
    actions.iter().find_map(|a| match a {
        Action::Send { request, server, .. } if *request == id => Some(*server),
        _ => None,
    })
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if *request == id))
}
