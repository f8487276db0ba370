//! The forwarder's role with services: keeps a connection to one planner at a time and feeds the directory from it.

use super::directory::Directory;
use super::table::ForwarderServices;
use crate::levels::{ForwarderSettings, PeerSettings};
use crate::log::RateLimitedWarning;
use crate::site::Site;
use laurelroute_channel::hello::Identity;
use laurelroute_channel::subscription::{SessionError, SubscriberClient};
use laurelroute_channel::tls::Tls;
use laurelroute_core::connect::connect_with_retry;
use laurelroute_core::gateway::Gateway;
use laurelroute_core::retry_io::RetryingStream;
use laurelroute_http::front::SWEEP_INTERVAL;
use laurelroute_http::service::{Routing, ServiceNameSource};
use laurelroute_plan::services::subscriber;
use laurelroute_plan::wire::{Hello, Role};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// How long a planner may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts the subscription to the planners; returns where requests name their service and the directory that resolves
/// it.
pub(crate) fn start(
    gateway: &Rc<Gateway>,
    site: &Site,
    forward: &ForwarderSettings,
    peers: &PeerSettings,
    tls: &Tls,
    services: &ForwarderServices,
) -> Routing {
    let now = gateway.clock.now();
    let settings = subscriber::Settings {
        name: peers.name.clone(),
        site: peers.site.clone(),
        planners: forward.planners.iter().map(SocketAddr::to_string).collect(),
        max_services: services.max_services,
        max_bytes: services.max_service_bytes,
        unused_timeout: services.unused_timeout,
        unknown_ttl: services.unknown_ttl,
        bytes_per_second: services.report_bytes.into(),
        burst: services.report_burst.into(),
        receive_bytes_per_second: services.update_bytes.into(),
        receive_burst: services.update_burst.into(),
        seed: gateway.config.seed ^ laurelroute_core::stable_hash(peers.name.as_bytes()) ^ now,
    };
    if !gateway.config.settings.tenant_quota.is_empty() && services.name_source != ServiceNameSource::Unnamed
    {
        tracing::warn!("tenant quotas apply only to the unnamed service");
    }
    let thrift = site.thrift.as_ref();
    let directory = Directory::new(gateway.clone(), settings, thrift.and_then(|t| t.port));
    // Thrift calls do not name a service.
    if thrift.is_some() || services.name_source == ServiceNameSource::Unnamed {
        spawn_local(directory.clone().keep_unnamed_service());
    }
    let identity = Identity {
        role: Role::Forwarder,
        name: peers.name.clone(),
        site: peers.site.clone(),
        incarnation: now / 1_000_000,
        zone: gateway.config.settings.zone,
        services: true,
    };
    spawn_local(subscribe(
        directory.clone(),
        gateway.clone(),
        identity,
        forward.planners.clone(),
        tls.clone(),
    ));
    let sweeping = directory.clone();
    spawn_local(async move {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            sweeping.sweep();
        }
    });
    Routing { name_source: services.name_source.clone(), services: directory }
}

/// Keeps a subscription to one of the planners, for good.
async fn subscribe(
    directory: Rc<Directory>,
    gateway: Rc<Gateway>,
    identity: Identity,
    planners: Vec<SocketAddr>,
    tls: Tls,
) {
    let warnings = RefCell::new(RateLimitedWarning::default());
    let on_session_change = |index: usize, outcome: Result<&Hello, &SessionError>| match outcome {
        Ok(planner) => {
            tracing::info!("planner {}: connected to `{}`", planners[index], planner.name.escape_debug());
            gateway.set_ready();
        }
        Err(error) => {
            warnings.borrow_mut().warn(|more| format!("planner {}: {error}{more}", planners[index]));
        }
    };
    let (now, changed) = (|| directory.now(), || directory.apply_changes());
    let subscribing = SubscriberClient {
        subscriber: &directory.subscriber,
        now: &now,
        interest_added: &directory.wanted,
        on_change: &changed,
        report: &|now| directory.report(now),
        on_session: &on_session_change,
    };
    let (planners, tls) = (&planners, &tls);
    let connect = |index: usize| async move {
        let stream = timeout(CONNECT_TIMEOUT, connect_with_retry(planners[index])).await??;
        stream.set_nodelay(true)?;
        tls.connect(RetryingStream::new(stream)).await
    };
    subscribing.run(&identity, connect).await;
}
