//! Abandoned attempts of requests that are not sent again. They go on for a while, so that their connections can be kept,
//! and end early where what they hold is needed.

use super::carrier::Carrier;
use super::Gateway;
use laurelroute_policy::interface::{Endpoint, Nanos};
use std::collections::VecDeque;
use tokio::task::AbortHandle;

/// How long an abandoned attempt may continue, so that its connection can be reused. Closing the connection would cost
/// the server a new handshake without stopping the work there.
pub(super) const LINGER_TIME: Nanos = 1_000_000_000;

struct LingeringAttempt {
    until: Nanos,
    server: Endpoint,
    carrier: Carrier,
    task: AbortHandle,
}

impl LingeringAttempt {
    fn end(self) {
        self.carrier.close();
        self.task.abort();
    }
}

/// Abandoned attempts whose outcome has been reported, oldest first; bounded by the connections to servers.
#[derive(Default)]
pub(super) struct LingeringAttempts(VecDeque<LingeringAttempt>);

impl LingeringAttempts {
    /// Adds an attempt that is abandoned now.
    pub(super) fn push(&mut self, now: Nanos, server: Endpoint, carrier: Carrier, task: AbortHandle) {
        let until = now.saturating_add(LINGER_TIME);
        self.0.push_back(LingeringAttempt { until, server, carrier, task });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// When the oldest has to end.
    pub(super) fn next_end(&self) -> Nanos {
        self.0.front().map_or(Nanos::MAX, |attempt| attempt.until)
    }

    /// Ends those whose time is over.
    pub(super) fn end_due(&mut self, now: Nanos) {
        while self.next_end() <= now && self.end_oldest() {}
    }

    /// Ends the oldest; returns false if there is none.
    fn end_oldest(&mut self) -> bool {
        self.0.pop_front().map(LingeringAttempt::end).is_some()
    }

    /// Ends the oldest at a server; returns false if there is none.
    fn end_oldest_at(&mut self, server: Endpoint) -> bool {
        let oldest = self.0.iter().position(|attempt| attempt.server == server);
        oldest.and_then(|index| self.0.remove(index)).map(LingeringAttempt::end).is_some()
    }
}

impl Gateway {
    /// Ends the oldest abandoned attempt, of any service, and closes its connection; returns false if there is none.
    pub(crate) fn end_lingering(&self) -> bool {
        let end = |gateway: &Self| gateway.state.borrow_mut().lingering.end_oldest();
        end(self) || self.process.others(self).iter().any(|gateway| end(gateway))
    }

    /// Ends the oldest abandoned attempt at a server, of any service, and closes its connection; returns false if there
    /// is none.
    pub(crate) fn end_lingering_at(&self, server: Endpoint) -> bool {
        if self.state.borrow_mut().lingering.end_oldest_at(server) {
            return true;
        }
        let Some(host) = self.fleet(|f| f.host_of(server).map(str::to_owned)) else { return false };
        self.process.others(self).iter().any(|gateway| {
            let endpoint = gateway.fleet(|f| f.endpoint_of(&host));
            endpoint.is_some_and(|server| gateway.state.borrow_mut().lingering.end_oldest_at(server))
        })
    }
}
