//! The operator's settings of a two-level installation: this peer's identity (`[peers]`) and its role as a forwarder
//! (`[forward]`) or as a planner (`[plan]`).

use crate::services::table::{
    ForwarderServices, ForwarderServicesTable, PlannerServices, PlannerServicesTable,
};
use crate::site::{Classes, SiteError, Validator};
use laurelroute_channel::tls::{Tls, TlsError};
use laurelroute_plan::member::MAX_NAME_BYTES;
use laurelroute_plan::planner::DEFAULT_SETTLE_TIME;
use laurelroute_policy::interface::Nanos;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use toml::Spanned;

/// Maximum number of planners in an installation: each forwarder connects to all of them.
const MAX_PLANNERS: usize = 16;
const MAX_BYTES_PER_SECOND: u32 = 10_000_000;
const MAX_SETTLE_MS: u64 = 60_000;

/// Why a role cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum RoleError {
    /// The operator's file lacks the section.
    #[error("this role needs `[{0}]` in the operator's file (--site FILE)")]
    Missing(&'static str),
    /// The certificates cannot be loaded.
    #[error("`[peers]`: {0}")]
    Tls(#[from] TlsError),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PeersTable {
    site: Spanned<String>,
    name: Spanned<String>,
    authority: PathBuf,
    certificate: PathBuf,
    key: PathBuf,
    #[serde(default = "default_planner_name")]
    planner: String,
}

fn default_planner_name() -> String {
    "planner.laurelroute".to_owned()
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ForwardTable {
    planners: Spanned<Vec<SocketAddr>>,
    report_bytes: Option<Spanned<u32>>,
    services: Option<Spanned<bool>>,
    service: Option<Spanned<toml::Value>>,
    most_services: Option<Spanned<u32>>,
    most_service_bytes: Option<Spanned<u32>>,
    unused_seconds: Option<Spanned<u64>>,
    unknown_seconds: Option<Spanned<u64>>,
    report_burst: Option<Spanned<u32>>,
    update_bytes: Option<Spanned<u32>>,
    update_burst: Option<Spanned<u32>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlanTable {
    listen: SocketAddr,
    planners: Option<Spanned<u32>>,
    max_connections: Option<Spanned<u32>>,
    wanted_connections: Option<Spanned<u32>>,
    plan_bytes: Option<Spanned<u32>>,
    settle_ms: Option<Spanned<u64>>,
    services: Option<Spanned<bool>>,
    most_forwarders: Option<Spanned<u32>>,
    update_bytes: Option<Spanned<u32>>,
    update_burst: Option<Spanned<u32>>,
    drain_bytes: Option<Spanned<u32>>,
    drain_burst: Option<Spanned<u32>>,
    #[serde(default, rename = "class")]
    classes: Vec<ClassTable>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassTable {
    name: Spanned<String>,
    limit: Spanned<f64>,
}

/// The sections of the file, not yet validated.
pub(crate) struct LevelTables {
    pub(crate) peers: Option<Spanned<PeersTable>>,
    pub(crate) forward: Option<Spanned<ForwardTable>>,
    pub(crate) plan: Option<Spanned<PlanTable>>,
}

/// Identity of this peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSettings {
    /// Name of the installation.
    pub site: String,
    /// Name of this peer, unique within the installation.
    pub name: String,
    /// The installation's certificate authority, a PEM file.
    pub authority: PathBuf,
    /// Certificate of this peer, a PEM file.
    pub certificate: PathBuf,
    /// Private key of the certificate, a PEM file.
    pub key: PathBuf,
    /// Name in the planners' certificates.
    pub planner: String,
}

impl PeerSettings {
    /// Loads the certificates.
    pub fn tls(&self) -> Result<Tls, TlsError> {
        Tls::load(&self.authority, &self.certificate, &self.key, &self.planner)
    }
}

/// Settings of the forwarder role.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwarderSettings {
    /// Addresses of the planners.
    pub planners: Vec<SocketAddr>,
    /// Bandwidth limit of reports to one planner, in bytes per second.
    pub report_bytes: u32,
    /// Set if the forwarder follows the planners per service.
    pub services: Option<ForwarderServices>,
}

/// Settings of the planner role.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Address that forwarders connect to.
    pub listen: SocketAddr,
    /// Number of planners in this installation, running or not.
    pub planners: u32,
    /// Connections that one server accepts from all forwarders together.
    pub max_connections: Option<u32>,
    /// Connections that a forwarder should be able to hold to each of its servers.
    pub wanted_connections: u32,
    /// Bandwidth limit of non-urgent changes to one forwarder, in bytes per second.
    pub plan_bytes: u32,
    /// How long reports are collected before the first plan, in nanoseconds.
    pub settle: Nanos,
    /// Request classes with a rate limit, in requests per second over all forwarders.
    pub limits: Vec<(String, f64)>,
    /// Set if the planner publishes its list per service.
    pub services: Option<PlannerServices>,
}

/// The validated settings of a two-level installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Levels {
    /// Identity of this peer.
    pub peers: Option<PeerSettings>,
    /// Settings of the forwarder role.
    pub forward: Option<ForwarderSettings>,
    /// Settings of the planner role.
    pub plan: Option<PlannerSettings>,
}

impl LevelTables {
    pub(crate) fn validate(
        self,
        validator: &Validator<'_>,
        classes: Classes<'_>,
    ) -> Result<Levels, SiteError> {
        for (name, span) in [
            ("forward", self.forward.as_ref().map(|t| t.span().start)),
            ("plan", self.plan.as_ref().map(|t| t.span().start)),
        ] {
            if let (Some(at), None) = (span, &self.peers) {
                return Err(
                    validator.error(Some(at), format!("`[{name}]` needs `[peers]`, which names this peer"))
                );
            }
        }
        Ok(Levels {
            peers: self.peers.map(|t| peers(validator, t.into_inner())).transpose()?,
            forward: self.forward.map(|t| forward(validator, t.into_inner())).transpose()?,
            plan: self.plan.map(|t| plan(validator, t.into_inner(), classes)).transpose()?,
        })
    }
}

fn peers(validator: &Validator<'_>, table: PeersTable) -> Result<PeerSettings, SiteError> {
    for (key, name) in [("peers.site", &table.site), ("peers.name", &table.name)] {
        if name.get_ref().is_empty() || name.get_ref().len() > MAX_NAME_BYTES {
            return Err(validator.error_at(name, format!("`{key}` has to have 1 to {MAX_NAME_BYTES} bytes")));
        }
    }
    Ok(PeerSettings {
        site: table.site.into_inner(),
        name: table.name.into_inner(),
        authority: validator.resolve_path(table.authority),
        certificate: validator.resolve_path(table.certificate),
        key: validator.resolve_path(table.key),
        planner: table.planner,
    })
}

fn forward(validator: &Validator<'_>, table: ForwardTable) -> Result<ForwarderSettings, SiteError> {
    let planners = table.planners.get_ref();
    if planners.is_empty() || planners.len() > MAX_PLANNERS {
        return Err(validator.error_at(
            &table.planners,
            format!("`forward.planners` has to name 1 to {MAX_PLANNERS} addresses"),
        ));
    }
    if let Some(duplicate) = planners.iter().enumerate().find(|(k, p)| planners[..*k].contains(p)) {
        return Err(
            validator.error_at(&table.planners, format!("`forward.planners` names {} twice", duplicate.1))
        );
    }
    let planners = planners.clone();
    let services = ForwarderServicesTable {
        services: table.services,
        service: table.service,
        most_services: table.most_services,
        most_service_bytes: table.most_service_bytes,
        unused_seconds: table.unused_seconds,
        unknown_seconds: table.unknown_seconds,
        report_burst: table.report_burst,
        update_bytes: table.update_bytes,
        update_burst: table.update_burst,
    };
    let services = services.validate(validator, table.report_bytes.clone())?;
    let report_bytes =
        validator.bounded_number("forward.report_bytes", table.report_bytes, MAX_BYTES_PER_SECOND, 8_000)?;
    Ok(ForwarderSettings { planners, report_bytes, services })
}

fn plan(
    validator: &Validator<'_>,
    table: PlanTable,
    classes: Classes<'_>,
) -> Result<PlannerSettings, SiteError> {
    let services = PlannerServicesTable {
        services: table.services,
        most_forwarders: table.most_forwarders,
        update_bytes: table.update_bytes,
        update_burst: table.update_burst,
        drain_bytes: table.drain_bytes,
        drain_burst: table.drain_burst,
    };
    let services = services.validate(validator)?;
    if services.is_some() {
        // Ignoring these settings silently would allow more connections than the servers can take.
        let unsupported = [
            ("max_connections", table.max_connections.as_ref().map(|n| n.span().start)),
            ("wanted_connections", table.wanted_connections.as_ref().map(|n| n.span().start)),
            ("plan_bytes", table.plan_bytes.as_ref().map(|n| n.span().start)),
            ("settle_ms", table.settle_ms.as_ref().map(|n| n.span().start)),
            ("class", table.classes.first().map(|c| c.name.span().start)),
        ];
        if let Some((key, Some(at))) = unsupported.into_iter().find(|(_, at)| at.is_some()) {
            let message = format!("`plan.{key}` has no effect with `services = true`");
            return Err(validator.error(Some(at), message));
        }
    }
    let mut limits: Vec<(String, f64)> = Vec::new();
    for class in table.classes {
        let name = class.name.get_ref();
        if let Some((names, _)) = classes {
            if !names.contains(name) {
                let message = format!("`name` is `{name}`; the settings have {}", names.join(", "));
                return Err(validator.error_at(&class.name, message));
            }
        }
        if limits.iter().any(|(other, _)| other == name) {
            return Err(validator.error_at(&class.name, format!("`{name}` is defined twice")));
        }
        let limit = *class.limit.get_ref();
        if !(limit.is_finite() && limit > 0.0) {
            return Err(validator.error_at(&class.limit, format!("`limit` is {limit}; it has to be above 0")));
        }
        limits.push((name.clone(), limit));
    }
    let max_connections = match table.max_connections {
        None => None,
        some => Some(validator.bounded_number("plan.max_connections", some, 1_000_000, 1)?),
    };
    Ok(PlannerSettings {
        listen: table.listen,
        planners: validator.bounded_number("plan.planners", table.planners, MAX_PLANNERS as u32, 1)?,
        max_connections,
        wanted_connections: validator.bounded_number(
            "plan.wanted_connections",
            table.wanted_connections,
            10_000,
            8,
        )?,
        plan_bytes: validator.bounded_number(
            "plan.plan_bytes",
            table.plan_bytes,
            MAX_BYTES_PER_SECOND,
            16_000,
        )?,
        settle: 1_000_000
            * validator.bounded_number(
                "plan.settle_ms",
                table.settle_ms,
                MAX_SETTLE_MS,
                DEFAULT_SETTLE_TIME / 1_000_000,
            )?,
        limits,
        services,
    })
}

#[cfg(test)]
mod tests {
    use crate::site::Site;
    use laurelroute_http::service::ServiceNameSource;

    const PEERS: &str = "[peers]\nsite = \"perth\"\nname = \"f0\"\nauthority = \"ca.pem\"\ncertificate = \"f0.pem\"\nkey = \"f0.key\"\n";

    #[test]
    fn paths_are_relative_to_the_operators_file() {
        let site = Site::parse("/etc/laurelroute/site.toml", PEERS, None).unwrap();
        let peers = site.levels.peers.unwrap();
        assert_eq!(peers.key.to_str(), Some("/etc/laurelroute/f0.key"));
        assert_eq!(peers.planner, "planner.laurelroute");
    }

    #[test]
    fn the_service_name_comes_from_the_host_or_a_header() {
        let name_source = |settings: &str| {
            let text = format!("{PEERS}[forward]\nplanners = [\"127.0.0.1:1\"]\n{settings}");
            let forward = Site::parse("s", &text, None).unwrap().levels.forward.unwrap();
            forward.services.map(|s| s.name_source)
        };
        assert_eq!(name_source(""), None);
        assert_eq!(name_source("services = false\n"), None);
        assert_eq!(name_source("services = true\n"), Some(ServiceNameSource::Unnamed));
        assert_eq!(name_source("services = true\nservice = \"host\"\n"), Some(ServiceNameSource::Host));
        let header = name_source("services = true\nservice = { header = \"X-Service\" }\n");
        assert_eq!(
            header,
            Some(ServiceNameSource::Header(hyper::header::HeaderName::from_static("x-service")))
        );
    }

    #[test]
    fn errors_name_the_key_and_the_line() {
        let wrong = |text: &str| Site::parse("s", text, None).unwrap_err().to_string();
        let with = |text: &str| wrong(&format!("{PEERS}{text}"));
        assert_eq!(
            wrong("\n[plan]\nlisten = \"127.0.0.1:1\"\n"),
            "s, line 2: `[plan]` needs `[peers]`, which names this peer"
        );
        assert_eq!(
            with("[forward]\nplanners = []\n"),
            "s, line 8: `forward.planners` has to name 1 to 16 addresses"
        );
        assert_eq!(
            with("[forward]\nplanners = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n"),
            "s, line 8: `forward.planners` names 127.0.0.1:1 twice"
        );
        assert_eq!(
            with("[plan]\nlisten = \"127.0.0.1:1\"\nplanners = 99\n"),
            "s, line 9: `plan.planners` is 99; it has to be from 1 to 16"
        );
        assert_eq!(
            with("[plan]\nlisten = \"127.0.0.1:1\"\n[[plan.class]]\nname = \"a\"\nlimit = -1.0\n"),
            "s, line 11: `limit` is -1; it has to be above 0"
        );
        let by_services = "[forward]\nplanners = [\"127.0.0.1:1\"]\nservices = true\n";
        assert_eq!(
            with(&format!("{by_services}service = \"path\"\n")),
            "s, line 10: `forward.service` must be \"host\" or { header = \"NAME\" }"
        );
        assert_eq!(
            with(&format!("{by_services}most_services = 0\n")),
            "s, line 10: `forward.most_services` is 0; it has to be from 1 to 10000"
        );
        assert_eq!(
            with("[forward]\nplanners = [\"127.0.0.1:1\"]\nservice = \"host\"\n"),
            "s, line 9: `forward.service` applies only with `services = true`"
        );
        assert_eq!(
            with("[plan]\nlisten = \"127.0.0.1:1\"\nupdate_bytes = 1\n"),
            "s, line 9: `plan.update_bytes` applies only with `services = true`"
        );
        assert_eq!(
            with("[plan]\nlisten = \"127.0.0.1:1\"\nservices = true\nmax_connections = 4\n"),
            "s, line 10: `plan.max_connections` has no effect with `services = true`"
        );
        assert!(with("[plan]\nlisten = \"127.0.0.1:1\"\nwhat = 1\n").contains("line 9: unknown field `what`"));
    }
}
