//! The operator's file on two levels: who this peer is (`[peers]`), and what it does as forwarder (`[forward]`) or as
//! planner (`[plan]`).

use crate::services::table::{Publish, PublishTable, Use, UseTable};
use crate::site::{Check, Classes, SiteError};
use laurelroute_channel::tls::{Tls, TlsError};
use laurelroute_plan::member::LONGEST_NAME;
use laurelroute_plan::planner::SETTLE;
use laurelroute_policy::interface::Nanos;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use toml::Spanned;

/// Planners of one installation at most: each forwarder speaks with all of them.
const MOST_PLANNERS: usize = 16;
const MOST_BYTES: u32 = 10_000_000;
const MOST_SETTLE_MS: u64 = 60_000;

/// Why a role cannot be taken on.
#[derive(Debug, thiserror::Error)]
pub enum LevelError {
    /// The operator's file does not have the part.
    #[error("this role needs `[{0}]` in the operator's file (--site FILE)")]
    Missing(&'static str),
    /// The certificates cannot be used.
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
    #[serde(default = "planner_name")]
    planner: String,
}

fn planner_name() -> String {
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

/// The parts of the file, unchecked.
pub(crate) struct LevelTables {
    pub(crate) peers: Option<Spanned<PeersTable>>,
    pub(crate) forward: Option<Spanned<ForwardTable>>,
    pub(crate) plan: Option<Spanned<PlanTable>>,
}

/// Who this peer is.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// The installation.
    pub site: String,
    /// Its name, unlike any other's of the installation.
    pub name: String,
    /// The installation's authority, a PEM file.
    pub authority: PathBuf,
    /// Its certificate, a PEM file.
    pub certificate: PathBuf,
    /// The key to that, a PEM file.
    pub key: PathBuf,
    /// The name that planners' certificates hold.
    pub planner: String,
}

impl Peers {
    /// Reads the certificates.
    pub fn tls(&self) -> Result<Tls, TlsError> {
        Tls::load(&self.authority, &self.certificate, &self.key, &self.planner)
    }
}

/// What a forwarder is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Forward {
    /// Where the planners are.
    pub planners: Vec<SocketAddr>,
    /// Bytes a second that reports to one planner may take.
    pub report_bytes: u32,
    /// It goes by services.
    pub services: Option<Use>,
}

/// What a planner is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Where forwarders connect.
    pub listen: SocketAddr,
    /// Planners of this installation, running or not.
    pub planners: u32,
    /// Connections that one box takes of all forwarders together.
    pub max_connections: Option<u32>,
    /// Connections that a forwarder should be able to hold to each of its boxes.
    pub wanted_connections: u32,
    /// Bytes a second to one forwarder for changes that can wait.
    pub plan_bytes: u32,
    /// How long reports are collected before the first plan, in nanoseconds.
    pub settle: Nanos,
    /// Classes with a limit, in requests a second over all forwarders.
    pub limits: Vec<(String, f64)>,
    /// It goes by services.
    pub services: Option<Publish>,
}

/// All of it, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Levels {
    /// Who this peer is.
    pub peers: Option<Peers>,
    /// As a forwarder.
    pub forward: Option<Forward>,
    /// As a planner.
    pub plan: Option<Plan>,
}

impl LevelTables {
    pub(crate) fn checked(self, check: &Check<'_>, classes: Classes<'_>) -> Result<Levels, SiteError> {
        for (name, span) in [
            ("forward", self.forward.as_ref().map(|t| t.span().start)),
            ("plan", self.plan.as_ref().map(|t| t.span().start)),
        ] {
            if let (Some(at), None) = (span, &self.peers) {
                return Err(
                    check.error(Some(at), format!("`[{name}]` needs `[peers]`, which says who this is"))
                );
            }
        }
        Ok(Levels {
            peers: self.peers.map(|t| peers(check, t.into_inner())).transpose()?,
            forward: self.forward.map(|t| forward(check, t.into_inner())).transpose()?,
            plan: self.plan.map(|t| plan(check, t.into_inner(), classes)).transpose()?,
        })
    }
}

fn peers(check: &Check<'_>, table: PeersTable) -> Result<Peers, SiteError> {
    for (key, name) in [("peers.site", &table.site), ("peers.name", &table.name)] {
        if name.get_ref().is_empty() || name.get_ref().len() > LONGEST_NAME {
            return Err(check.at(name, format!("`{key}` has to have 1 to {LONGEST_NAME} bytes")));
        }
    }
    Ok(Peers {
        site: table.site.into_inner(),
        name: table.name.into_inner(),
        authority: check.beside(table.authority),
        certificate: check.beside(table.certificate),
        key: check.beside(table.key),
        planner: table.planner,
    })
}

fn forward(check: &Check<'_>, table: ForwardTable) -> Result<Forward, SiteError> {
    let planners = table.planners.get_ref();
    if planners.is_empty() || planners.len() > MOST_PLANNERS {
        return Err(check
            .at(&table.planners, format!("`forward.planners` has to name 1 to {MOST_PLANNERS} addresses")));
    }
    if let Some(twice) = planners.iter().enumerate().find(|(k, p)| planners[..*k].contains(p)) {
        return Err(check.at(&table.planners, format!("`forward.planners` names {} twice", twice.1)));
    }
    let planners = planners.clone();
    let services = UseTable {
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
    let services = services.checked(check, table.report_bytes.clone())?;
    let report_bytes = check.number("forward.report_bytes", table.report_bytes, MOST_BYTES, 8_000)?;
    Ok(Forward { planners, report_bytes, services })
}

fn plan(check: &Check<'_>, table: PlanTable, classes: Classes<'_>) -> Result<Plan, SiteError> {
    let services = PublishTable {
        services: table.services,
        most_forwarders: table.most_forwarders,
        update_bytes: table.update_bytes,
        update_burst: table.update_burst,
        drain_bytes: table.drain_bytes,
        drain_burst: table.drain_burst,
    };
    let services = services.checked(check)?;
    if services.is_some() {
        // To leave out what was asked for would let servers take more connections than they can.
        let others = [
            ("max_connections", table.max_connections.as_ref().map(|n| n.span().start)),
            ("wanted_connections", table.wanted_connections.as_ref().map(|n| n.span().start)),
            ("plan_bytes", table.plan_bytes.as_ref().map(|n| n.span().start)),
            ("settle_ms", table.settle_ms.as_ref().map(|n| n.span().start)),
            ("class", table.classes.first().map(|c| c.name.span().start)),
        ];
        if let Some((key, Some(at))) = others.into_iter().find(|(_, at)| at.is_some()) {
            let message = format!("`plan.{key}` does not count with `services = true`");
            return Err(check.error(Some(at), message));
        }
    }
    let mut limits: Vec<(String, f64)> = Vec::new();
    for class in table.classes {
        let name = class.name.get_ref();
        if let Some((names, _)) = classes {
            if !names.contains(name) {
                let message = format!("`name` is `{name}`; the settings have {}", names.join(", "));
                return Err(check.at(&class.name, message));
            }
        }
        if limits.iter().any(|(other, _)| other == name) {
            return Err(check.at(&class.name, format!("`{name}` stands twice")));
        }
        let limit = *class.limit.get_ref();
        if !(limit.is_finite() && limit > 0.0) {
            return Err(check.at(&class.limit, format!("`limit` is {limit}; it has to be above 0")));
        }
        limits.push((name.clone(), limit));
    }
    let max_connections = match table.max_connections {
        None => None,
        some => Some(check.number("plan.max_connections", some, 1_000_000, 1)?),
    };
    Ok(Plan {
        listen: table.listen,
        planners: check.number("plan.planners", table.planners, MOST_PLANNERS as u32, 1)?,
        max_connections,
        wanted_connections: check.number("plan.wanted_connections", table.wanted_connections, 10_000, 8)?,
        plan_bytes: check.number("plan.plan_bytes", table.plan_bytes, MOST_BYTES, 16_000)?,
        settle: 1_000_000
            * check.number("plan.settle_ms", table.settle_ms, MOST_SETTLE_MS, SETTLE / 1_000_000)?,
        limits,
        services,
    })
}

#[cfg(test)]
mod tests {
    use crate::site::Site;
    use laurelroute_http::service::Place;

    const PEERS: &str = "[peers]\nsite = \"perth\"\nname = \"f0\"\nauthority = \"ca.pem\"\ncertificate = \"f0.pem\"\nkey = \"f0.key\"\n";

    #[test]
    fn files_are_meant_from_where_the_operators_file_is() {
        let site = Site::parse("/etc/laurelroute/site.toml", PEERS, None).unwrap();
        let peers = site.levels.peers.unwrap();
        assert_eq!(peers.key.to_str(), Some("/etc/laurelroute/f0.key"));
        assert_eq!(peers.planner, "planner.laurelroute");
    }

    #[test]
    fn a_service_stands_in_the_host_or_in_a_header() {
        let place = |own: &str| {
            let text = format!("{PEERS}[forward]\nplanners = [\"127.0.0.1:1\"]\n{own}");
            let forward = Site::parse("s", &text, None).unwrap().levels.forward.unwrap();
            forward.services.map(|s| s.place)
        };
        assert_eq!(place(""), None);
        assert_eq!(place("services = false\n"), None);
        assert_eq!(place("services = true\n"), Some(Place::Nowhere));
        assert_eq!(place("services = true\nservice = \"host\"\n"), Some(Place::Host));
        let header = place("services = true\nservice = { header = \"X-Service\" }\n");
        assert_eq!(header, Some(Place::Header(hyper::header::HeaderName::from_static("x-service"))));
    }

    #[test]
    fn errors_name_key_and_line() {
        let wrong = |text: &str| Site::parse("s", text, None).unwrap_err().to_string();
        let with = |text: &str| wrong(&format!("{PEERS}{text}"));
        assert_eq!(
            wrong("\n[plan]\nlisten = \"127.0.0.1:1\"\n"),
            "s, line 2: `[plan]` needs `[peers]`, which says who this is"
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
            "s, line 10: `forward.service` has to be \"host\" or { header = \"NAME\" }"
        );
        assert_eq!(
            with(&format!("{by_services}most_services = 0\n")),
            "s, line 10: `forward.most_services` is 0; it has to be from 1 to 10000"
        );
        assert_eq!(
            with("[forward]\nplanners = [\"127.0.0.1:1\"]\nservice = \"host\"\n"),
            "s, line 9: `forward.service` counts only with `services = true`"
        );
        assert_eq!(
            with("[plan]\nlisten = \"127.0.0.1:1\"\nupdate_bytes = 1\n"),
            "s, line 9: `plan.update_bytes` counts only with `services = true`"
        );
        assert_eq!(
            with("[plan]\nlisten = \"127.0.0.1:1\"\nservices = true\nmax_connections = 4\n"),
            "s, line 10: `plan.max_connections` does not count with `services = true`"
        );
        assert!(with("[plan]\nlisten = \"127.0.0.1:1\"\nwhat = 1\n").contains("line 9: unknown field `what`"));
    }
}
