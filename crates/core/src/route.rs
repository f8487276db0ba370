//! Routing from the service that a request names to the service's gateway, in a process with several services.
//!
//! A front reads the name from the request's head and resolves it at once, so that the service is fetched while the
//! body arrives.

use crate::clock::Clock;
use crate::gateway::Gateway;
use laurelroute_policy::interface::{Nanos, Settings};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// The longest name of a service, in bytes.
pub const MAX_SERVICE_NAME_BYTES: usize = 256;
/// A request waits for an unknown service until one third of its class's target latency is left: before the module has
/// seen any response of a class, it expects one to take a third of the target, and refuses requests with less time than
/// that.
const FIRST_RESPONSE_DIVISOR: Nanos = 3;

/// The state of a service when a request names it.
pub enum ServiceStatus {
    /// The service's servers are known to this gateway.
    Available(Rc<Gateway>),
    /// The service's servers have been requested.
    Pending,
    /// There is no such service.
    Unknown,
    /// There is no room for another service.
    AtCapacity,
}

/// Resolves services by name; resolving a service counts as using it.
pub trait ServiceResolver {
    /// The state of a service; one that is not available yet is requested.
    fn resolve(&self, service: &str) -> ServiceStatus;
    /// Keeps a service loaded while a request of it is in flight, until the matching `unpin`.
    fn pin(&self, service: &str);
    /// Releases a `pin`.
    fn unpin(&self, service: &str);
    /// Completes when the service's state may have changed since `resolve` was called. To be called right after
    /// `resolve`, and to be dropped if the result is no longer needed.
    fn status_changed(&self, service: &str) -> Pin<Box<dyn Future<Output = ()>>>;
}

/// Why a request has no gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// There is no such service.
    #[error("no such service")]
    Unknown,
    /// There is no room for another service.
    #[error("no room for another service")]
    AtCapacity,
    /// The service's servers did not arrive in time.
    #[error("the service is not known in time")]
    TimedOut,
    /// The maximum number of requests are waiting for services.
    #[error("too many wait for a service")]
    TooManyWaiting,
}

/// Counts the requests that wait for their services. Each holds its client's slot, which requests of known services
/// need too: while no planner is reachable, one unknown service must not take up all slots.
#[derive(Debug, Default)]
pub struct WaiterCount(Cell<usize>);

/// A waiting request, counted until it is dropped.
struct WaitingRequest<'a>(&'a WaiterCount);

impl WaiterCount {
    fn enter(&self, max_waiting: usize) -> Option<WaitingRequest<'_>> {
        (self.0.get() < max_waiting).then(|| {
            self.0.set(self.0.get() + 1);
            WaitingRequest(self)
        })
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.0 .0.set(self.0 .0.get() - 1);
    }
}

/// The service of a request, pinned until this is dropped.
pub struct ServiceRoute {
    services: Rc<dyn ServiceResolver>,
    service: String,
}

impl std::fmt::Debug for ServiceRoute {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ServiceRoute({})", self.service.escape_debug())
    }
}

impl ServiceRoute {
    /// Resolves the service that a request names, and fails at once if it is known not to exist.
    pub fn new(services: &Rc<dyn ServiceResolver>, service: String) -> Result<ServiceRoute, RouteError> {
        match services.resolve(&service) {
            ServiceStatus::Unknown => return Err(RouteError::Unknown),
            ServiceStatus::AtCapacity => return Err(RouteError::AtCapacity),
            ServiceStatus::Available(_) | ServiceStatus::Pending => {}
        }
        services.pin(&service);
        Ok(ServiceRoute { services: services.clone(), service })
    }

    /// The service's gateway, and whether the request had to wait for it. Waits until `deadline` at most, and fails if
    /// more than `max_waiting` requests would wait at once.
    pub async fn gateway(
        &self,
        clock: &Clock,
        deadline: Nanos,
        (waiting, max_waiting): (&WaiterCount, usize),
    ) -> Result<(Rc<Gateway>, bool), RouteError> {
        let mut wait = None;
        loop {
            match self.services.resolve(&self.service) {
                ServiceStatus::Available(gateway) => return Ok((gateway, wait.is_some())),
                ServiceStatus::Unknown => return Err(RouteError::Unknown),
                ServiceStatus::AtCapacity => return Err(RouteError::AtCapacity),
                ServiceStatus::Pending => {}
            }
            if wait.is_none() {
                wait = Some(waiting.enter(max_waiting).ok_or(RouteError::TooManyWaiting)?);
            }
            let left = Duration::from_nanos(deadline.saturating_sub(clock.now()));
            let changed = self.services.status_changed(&self.service);
            if left.is_zero() || tokio::time::timeout(left, changed).await.is_err() {
                return Err(RouteError::TimedOut);
            }
        }
    }
}

impl Drop for ServiceRoute {
    fn drop(&mut self) {
        self.services.unpin(&self.service);
    }
}

/// The time until which a request of a class with the deadline `give_up_at` may wait for its service.
pub fn wait_deadline(settings: &Settings, class: usize, give_up_at: Nanos) -> Nanos {
    let response_time = settings.classes.get(class).map_or(0, |c| c.latency_target / FIRST_RESPONSE_DIVISOR);
    give_up_at.saturating_sub(response_time)
}
