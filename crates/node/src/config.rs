//! The configuration file: read once, refused with one line when it cannot be acted on.

use crate::discovery::HostList;
use crate::tenants::Said;
use laurelroute_core::budget::MANAGEMENT_SOCKETS;
use laurelroute_core::gateway::Site;
use laurelroute_policy::interface::Nanos;
use laurelroute_policy::settings::{self, Pairs};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// What a watch that has fallen silent misses counts as told after this, whatever the settings say (PROTOCOL, figures).
const TOLD: Nanos = 6_000_000_000;

/// Why the node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("GW_CONFIG does not name a configuration file")]
    Unset,
    /// The file cannot be read.
    #[error("cannot read {path}: {error}")]
    #[allow(missing_docs)]
    Unreadable { path: String, error: std::io::Error },
    /// It is not JSON, or not of this shape.
    #[error("{path}: {error}")]
    #[allow(missing_docs)]
    Malformed { path: String, error: serde_json::Error },
    /// Its settings cannot be acted on.
    #[error("{path}: settings: {error}")]
    #[allow(missing_docs)]
    Settings { path: String, error: String },
    /// The second address is none.
    #[error("GW_MANAGEMENT: `{text}` is no address with a port")]
    #[allow(missing_docs)]
    Management { text: String },
    /// A limit leaves no room to serve.
    #[error("{path}: `limits.{name}` is too small to serve with")]
    #[allow(missing_docs)]
    Limit { path: String, name: &'static str },
}

#[derive(Deserialize)]
struct File {
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    management: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    limits: Limits,
    known: Option<HostList>,
    settings: Said,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct Limits {
    memory_mb: u64,
    sockets: usize,
}

/// All that the node is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, where there is such a place.
    pub management: Option<SocketAddr>,
    /// Where the list of servers comes from.
    pub discovery: SocketAddr,
    /// The list of servers as an earlier life of this node had it.
    pub known: Option<HostList>,
    /// What the core is told.
    pub site: Site,
    /// Names of zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Names of machine kinds, in the order of the settings.
    pub kinds: Vec<String>,
}

/// What `GW_MANAGEMENT` says, where it says anything.
pub(crate) fn management_named() -> Option<String> {
    std::env::var("GW_MANAGEMENT").ok().filter(|text| !text.is_empty())
}

/// The second address that a text names.
pub(crate) fn management_address(text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Management { text: text.to_owned() })
}

impl Config {
    /// Reads the file that `GW_CONFIG` names.
    pub fn load() -> Result<Self, ConfigError> {
        let path = std::env::var("GW_CONFIG").map_err(|_| ConfigError::Unset)?;
        Self::read(Path::new(&path))
    }

    /// Reads a file.
    pub fn read(file: &Path) -> Result<Self, ConfigError> {
        let path = file.display().to_string();
        let bytes =
            std::fs::read(file).map_err(|error| ConfigError::Unreadable { path: path.clone(), error })?;
        Self::parse(&path, &bytes, management_named().as_deref())
    }

    fn parse(path: &str, bytes: &[u8], management: Option<&str>) -> Result<Self, ConfigError> {
        let path = path.to_owned();
        let mut file: File = serde_json::from_slice(bytes)
            .map_err(|error| ConfigError::Malformed { path: path.clone(), error })?;
        if let (None, Some(text)) = (file.management, management) {
            file.management = Some(management_address(text)?);
        }
        for (name, value, least) in
            [("memory_mb", file.limits.memory_mb, 16), ("sockets", file.limits.sockets as u64, 48)]
        {
            if value < least {
                return Err(ConfigError::Limit { path, name });
            }
        }
        let mut pairs = Pairs::default();
        let Said { others, mut tenants } = file.settings;
        flatten("", &others, &mut pairs);
        let fault = |error| ConfigError::Settings { path: path.clone(), error };
        let (mut settings, _) = settings::parse(&pairs).map_err(fault)?;
        settings.ask_within = settings.ask_within.min(TOLD);
        settings.tenant_quota = tenants.quotas().map_err(fault)?;
        settings.validate().map_err(|error| fault(error.to_string()))?;
        let names = |list: &str| names(&others[list]);
        let site = Site {
            conn_idle: pairs.get("caps.connIdleNs").map_err(fault)?,
            connect_timeout: settings::duration(&pairs, "caps.connectTimeoutNs").map_err(fault)?,
            most_connections: None,
            classes: names("classes"),
            tenants: tenants.names.index(),
            // Any text is a seed: what counts is that it is new with each start.
            seed: u64::from_str_radix(&file.seed, 16)
                .unwrap_or_else(|_| laurelroute_core::mix(file.seed.as_bytes())),
            sockets: file.limits.sockets,
            kept_sockets: if file.management.is_some() { MANAGEMENT_SOCKETS } else { 0 },
            memory_mb: file.limits.memory_mb,
            settings,
        };
        Ok(Config {
            zones: names("zones"),
            kinds: names("skus"),
            listen: file.listen,
            discovery: file.discovery,
            management: file.management,
            known: file.known,
            site,
        })
    }
}

/// Names in a list of plain values or of objects with a name.
fn names(list: &Value) -> Vec<String> {
    let all = |items: &Vec<Value>| items.iter().map(|item| name(item).to_owned()).collect();
    list.as_array().map(all).unwrap_or_default()
}

/// The name that a plain value is, or that an object has.
pub(crate) fn name(item: &Value) -> &str {
    item.as_str().or(item["name"].as_str()).unwrap_or_default()
}

/// The paths of the simulator's `path=value` lines: plain lists joined by commas, objects numbered.
pub(crate) fn flatten(path: &str, value: &Value, pairs: &mut Pairs) {
    let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(&under(name), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.set(&under("count"), &items.len().to_string());
            items.iter().enumerate().for_each(|(k, v)| flatten(&under(&k.to_string()), v, pairs));
        }
        Value::Array(items) => pairs.set(path, &items.iter().map(plain).collect::<Vec<_>>().join(",")),
        Value::Null => {}
        _ => pairs.set(path, &plain(value)),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn json_flattens_to_the_wire_paths() {
        let json = serde_json::json!({"zone": 1, "zones": ["a b", "c"], "caps": {"x": true, "none": null},
            "classes": [{"name": "status", "aimNs": 5}], "tenants": []});
        let mut pairs = Pairs::default();
        flatten("", &json, &mut pairs);
        let get = |key: &str| pairs.get::<String>(key).ok();
        assert_eq!(get("zones").as_deref(), Some("a_b,c"));
        assert_eq!(get("classes.count").as_deref(), Some("1"));
        assert_eq!(get("classes.0.aimNs").as_deref(), Some("5"));
        assert_eq!(get("caps.x").as_deref(), Some("true"));
        assert_eq!(get("caps.none"), None);
        assert_eq!(names(&json["classes"]), ["status"]);
    }

    /// A sound configuration, with some of its settings otherwise.
    fn parse(change: impl Fn(&mut Value)) -> Result<Config, String> {
        let mut file = serde_json::json!({
            "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {"memory_mb": 48, "sockets": 256},
            "settings": {
                "classes": [{"name": "read", "aimNs": 1_000_000, "giveUpNs": 2_000_000, "worth": 1.0, "effect": "pure"}],
                "zone": 0, "zones": ["a"], "ordinal": 0, "groupSize": 1, "registryMode": "automatic",
                "caps": {"maxAttempts": 3, "secondCopies": false, "cancelling": true, "mayProbe": false,
                    "peers": false, "connIdleNs": 1_000_000, "connectTimeoutNs": 1_000_000},
                "guarantees": {"coldFrom": 0.5, "rampTimeNs": 1_000_000, "tipMultiple": 3.0, "fallNs": 1_000_000},
            },
        });
        change(&mut file["settings"]);
        Config::parse("f", file.to_string().as_bytes(), None).map_err(|e| e.to_string())
    }

    #[test]
    fn what_other_customers_leave_out_or_add_is_no_fault() {
        let config = parse(|_| {}).unwrap();
        assert!(config.site.tenants.is_empty() && config.zones == ["a"]);
        assert!(parse(|s| s["tenants"] = serde_json::json!([])).is_ok());
        assert!(parse(|s| s["another"] = serde_json::json!({"deep": [{"x": 1}], "none": null})).is_ok());
        assert!(parse(|s| s["classes"][0]["colour"] = "green".into()).is_ok());
        // What counts as told sooner than the settings say.
        let settings =
            parse(|s| s["guarantees"]["askWithinNs"] = 10_000_000_000u64.into()).unwrap().site.settings;
        assert_eq!(settings.ask_within, TOLD);
    }

    #[test]
    fn bad_settings_are_named_in_one_line() {
        let class =
            |key: &'static str, value: Value| move |s: &mut Value| s["classes"][0][key] = value.clone();
        let day = "it has to be from 1 to 86400000000000 nanoseconds (a day)";
        for (error, expected) in [
            (
                parse(class("effect", "twice".into())),
                "`classes.0.effect` has the unknown value `twice`; it may be `pure`, `token`, `side_effect`"
                    .to_owned(),
            ),
            (parse(class("giveUpNs", 0.into())), format!("`classes.0.giveUpNs` is `0`; {day}")),
            (
                parse(class("giveUpNs", u64::MAX.into())),
                format!("`classes.0.giveUpNs` is `{}`; {day}", u64::MAX),
            ),
            (
                parse(class("giveUpNs", "99999999999999999999999".into())),
                format!("`classes.0.giveUpNs` is `99999999999999999999999`; {day}"),
            ),
            (parse(class("giveUpNs", (-5).into())), format!("`classes.0.giveUpNs` is `-5`; {day}")),
            (parse(class("aimNs", 0.into())), format!("`classes.0.aimNs` is `0`; {day}")),
            (
                parse(|s| s["caps"]["connectTimeoutNs"] = 0.into()),
                format!("`caps.connectTimeoutNs` is `0`; {day}"),
            ),
            (
                parse(|s| s["classes"] = serde_json::json!([])),
                "setting `classes` must not be empty".to_owned(),
            ),
            (
                parse(|s| s["registryMode"] = "guess".into()),
                "`registryMode` has the unknown value `guess`; it may be `automatic`, `subscribe`".to_owned(),
            ),
        ] {
            let error = error.expect_err(&expected);
            assert!(error.contains(&expected) && !error.contains('\n'), "{error}");
        }
    }
}
