//! From the service that a request names to the gateway that carries it, where a process has more than one service.
//!
//! A front reads the name with the request's head and asks for it at once; while the body comes in, so does the service.

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
/// A service that is not known yet is waited for until no more than this part of the class's aim is left to the request:
/// as long as the module has seen no answer of a class it expects one to take a third of the aim, and turns away what has
/// less time than that.
const FIRST_ANSWER_PART: Nanos = 3;

/// How a service stands as a request names it.
pub enum ServiceStatus {
    /// Its servers are known to this gateway.
    Available(Rc<Gateway>),
    /// Its servers are on their way.
    Pending,
    /// There is no such service.
    Unknown,
    /// There is no room for another service.
    AtCapacity,
}

/// Knows services; a request's word on one counts as its use.
pub trait ServiceResolver {
    /// How a service stands; one that is not held is asked for.
    fn resolve(&self, service: &str) -> ServiceStatus;
    /// A request of the service is under way: it is not dropped before that has `ended`.
    fn pin(&self, service: &str);
    /// See `began`.
    fn unpin(&self, service: &str);
    /// Ends when the service's standing may have changed since `want` was asked; to be called at once after that, and to be
    /// dropped where nobody waits any longer.
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
    /// The service's servers have not come in time.
    #[error("the service is not known in time")]
    TimedOut,
    /// So many requests wait for services that no further one may.
    #[error("too many wait for a service")]
    TooManyWaiting,
}

/// Requests that wait for their services. Each holds its client's place, which those of services that are known need too:
/// with no planner there, one service that is not known must not take all of them.
#[derive(Debug, Default)]
pub struct WaiterCount(Cell<usize>);

/// One that waits.
struct Wait<'a>(&'a WaiterCount);

impl WaiterCount {
    fn enter(&self, most: usize) -> Option<Wait<'_>> {
        (self.0.get() < most).then(|| {
            self.0.set(self.0.get() + 1);
            Wait(self)
        })
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.0 .0.set(self.0 .0.get() - 1);
    }
}

/// A request's service, pinned for as long as this lives.
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
    /// A request names this service. What is known not to be there is told at once.
    pub fn new(services: &Rc<dyn ServiceResolver>, service: String) -> Result<ServiceRoute, RouteError> {
        match services.resolve(&service) {
            ServiceStatus::Unknown => return Err(RouteError::Unknown),
            ServiceStatus::AtCapacity => return Err(RouteError::AtCapacity),
            ServiceStatus::Available(_) | ServiceStatus::Pending => {}
        }
        services.pin(&service);
        Ok(ServiceRoute { services: services.clone(), service })
    }

    /// The service's gateway, waited for until `latest` at most, and by no more than so many at once; and whether it had to
    /// be waited for.
    pub async fn gateway(
        &self,
        clock: &Clock,
        latest: Nanos,
        (waits, most): (&WaiterCount, usize),
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
                wait = Some(waits.enter(most).ok_or(RouteError::TooManyWaiting)?);
            }
            let left = Duration::from_nanos(latest.saturating_sub(clock.now()));
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

/// Until when a request of this class that gives up then may wait for its service.
pub fn wait_deadline(settings: &Settings, class: usize, give_up_at: Nanos) -> Nanos {
    let answer = settings.classes.get(class).map_or(0, |c| c.latency_target / FIRST_ANSWER_PART);
    give_up_at.saturating_sub(answer)
}
