//! The forwarder's role by services: a connection to one planner at a time, and the directory that it feeds.

use super::directory::Directory;
use super::table::ForwarderServices;
use crate::levels::{ForwarderSettings, PeerSettings};
use crate::log::RateLimitedWarning;
use crate::site::Site;
use laurelroute_channel::hello::Identity;
use laurelroute_channel::subscription::{SessionError, Subscribing};
use laurelroute_channel::tls::Tls;
use laurelroute_core::connect::establish;
use laurelroute_core::gateway::Gateway;
use laurelroute_core::retry_io::Retried;
use laurelroute_http::front::SWEEP;
use laurelroute_http::service::{Place, Routing};
use laurelroute_plan::services::subscriber;
use laurelroute_plan::wire::{Hello, Role};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A planner that does not take a connection by then is not there.
const CONNECT: Duration = Duration::from_millis(500);

/// Starts to follow the planners; where requests name services, and who knows these.
pub(crate) fn start(
    gateway: &Rc<Gateway>,
    site: &Site,
    forward: &ForwarderSettings,
    peers: &PeerSettings,
    tls: &Tls,
    own: &ForwarderServices,
) -> Routing {
    let now = gateway.clock.now();
    let settings = subscriber::Settings {
        name: peers.name.clone(),
        site: peers.site.clone(),
        planners: forward.planners.iter().map(SocketAddr::to_string).collect(),
        most_services: own.max_services,
        most_bytes: own.max_service_bytes,
        unused_after: own.unused_timeout,
        unknown_for: own.unknown_ttl,
        bytes_per_second: own.report_bytes.into(),
        burst: own.report_burst.into(),
        takes_per_second: own.update_bytes.into(),
        takes_burst: own.update_burst.into(),
        seed: gateway.site.seed ^ laurelroute_core::mix(peers.name.as_bytes()) ^ now,
    };
    if !gateway.site.settings.tenant_quota.is_empty() && own.place != Place::Nowhere {
        tracing::warn!("tenants' shares count for the service without a name only");
    }
    let thrift = site.thrift.as_ref();
    let directory = Directory::new(gateway.clone(), settings, thrift.and_then(|t| t.port));
    // Thrift calls name none.
    if thrift.is_some() || own.place == Place::Nowhere {
        spawn_local(directory.clone().keep_nameless());
    }
    let identity = Identity {
        role: Role::Forwarder,
        name: peers.name.clone(),
        site: peers.site.clone(),
        life: now / 1_000_000,
        zone: gateway.site.settings.zone,
        services: true,
    };
    spawn_local(keep(directory.clone(), gateway.clone(), identity, forward.planners.clone(), tls.clone()));
    let swept = directory.clone();
    spawn_local(async move {
        loop {
            tokio::time::sleep(SWEEP).await;
            swept.sweep();
        }
    });
    Routing { place: own.place.clone(), services: directory }
}

async fn keep(
    directory: Rc<Directory>,
    gateway: Rc<Gateway>,
    identity: Identity,
    planners: Vec<SocketAddr>,
    tls: Tls,
) {
    let seldom = RefCell::new(RateLimitedWarning::default());
    let noted = |place: usize, word: Result<&Hello, &SessionError>| match word {
        Ok(planner) => {
            tracing::info!("planner {}: `{}` is there", planners[place], planner.name.escape_debug());
            gateway.set_ready();
        }
        Err(error) => {
            seldom.borrow_mut().warn(|more| format!("planner {}: {error}{more}", planners[place]));
        }
    };
    let (now, changed) = (|| directory.now(), || directory.take_changes());
    let subscribing = Subscribing {
        subscriber: &directory.subscriber,
        now: &now,
        wanted: &directory.wanted,
        changed: &changed,
        report: &|now| directory.report(now),
        noted: &noted,
    };
    let (planners, tls) = (&planners, &tls);
    let connect = |place: usize| async move {
        let stream = timeout(CONNECT, establish(planners[place])).await??;
        stream.set_nodelay(true)?;
        tls.connect(Retried::new(stream)).await
    };
    subscribing.keep(&identity, connect).await;
}
