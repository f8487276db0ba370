//! The platform's configuration file (JSON): parsed and validated. A file that cannot be used is rejected with a
//! one-line error.

use crate::discovery::HostList;
use crate::tenants::ParsedSettings;
use laurelroute_core::budget::MANAGEMENT_SOCKETS;
use laurelroute_core::gateway::GatewayConfig;
use laurelroute_policy::interface::Nanos;
use laurelroute_policy::settings::{self, SettingPairs};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Upper bound of `askWithinNs`: a change missed by a watch that stopped delivering counts as known after 6 s,
/// whatever the settings allow (PROTOCOL, figures).
const MAX_LIST_AGE: Nanos = 6_000_000_000;

/// Why the node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// `GW_CONFIG` is not set.
    #[error("GW_CONFIG does not name a configuration file")]
    Unset,
    /// The file cannot be read.
    #[error("cannot read {path}: {error}")]
    #[allow(missing_docs)]
    Unreadable { path: String, error: std::io::Error },
    /// The file is not valid JSON, or a field is missing or has the wrong type.
    #[error("{path}: {error}")]
    #[allow(missing_docs)]
    Malformed { path: String, error: serde_json::Error },
    /// A setting is missing or out of range.
    #[error("{path}: settings: {error}")]
    #[allow(missing_docs)]
    Settings { path: String, error: String },
    /// `GW_MANAGEMENT` is not a socket address.
    #[error("GW_MANAGEMENT: `{text}` is not an address with a port")]
    #[allow(missing_docs)]
    Management { text: String },
    /// A resource limit is below the minimum to serve with.
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
    #[serde(rename = "known")]
    cached_list: Option<HostList>,
    settings: ParsedSettings,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct Limits {
    memory_mb: u64,
    sockets: usize,
}

/// The node's configuration at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of the management endpoint, if it is enabled.
    pub management: Option<SocketAddr>,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Server list that an earlier run of this node had stored.
    pub cached_list: Option<HostList>,
    /// Settings of the core.
    pub gateway: GatewayConfig,
    /// Zone names, in the order of the settings.
    pub zones: Vec<String>,
    /// Machine type names, in the order of the settings.
    pub kinds: Vec<String>,
}

/// The value of `GW_MANAGEMENT`, unless it is unset or empty.
pub(crate) fn management_from_env() -> Option<String> {
    std::env::var("GW_MANAGEMENT").ok().filter(|text| !text.is_empty())
}

/// Parses a management address.
pub(crate) fn parse_management_address(text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Management { text: text.to_owned() })
}

impl Config {
    /// Reads the file that `GW_CONFIG` names.
    pub fn load() -> Result<Self, ConfigError> {
        let path = std::env::var("GW_CONFIG").map_err(|_| ConfigError::Unset)?;
        Self::read(Path::new(&path))
    }

    /// Reads and validates the file at a path.
    pub fn read(file: &Path) -> Result<Self, ConfigError> {
        let path = file.display().to_string();
        let bytes =
            std::fs::read(file).map_err(|error| ConfigError::Unreadable { path: path.clone(), error })?;
        Self::parse(&path, &bytes, management_from_env().as_deref())
    }

    fn parse(path: &str, bytes: &[u8], management: Option<&str>) -> Result<Self, ConfigError> {
        let path = path.to_owned();
        let mut file: File = serde_json::from_slice(bytes)
            .map_err(|error| ConfigError::Malformed { path: path.clone(), error })?;
        if let (None, Some(text)) = (file.management, management) {
            file.management = Some(parse_management_address(text)?);
        }
        for (name, value, min) in
            [("memory_mb", file.limits.memory_mb, 16), ("sockets", file.limits.sockets as u64, 48)]
        {
            if value < min {
                return Err(ConfigError::Limit { path, name });
            }
        }
        let mut pairs = SettingPairs::default();
        let ParsedSettings { others, mut tenants } = file.settings;
        flatten("", &others, &mut pairs);
        let invalid = |error| ConfigError::Settings { path: path.clone(), error };
        let (mut settings, _) = settings::parse(&pairs).map_err(invalid)?;
        settings.max_list_age = settings.max_list_age.min(MAX_LIST_AGE);
        settings.tenant_quota = tenants.take_quotas().map_err(invalid)?;
        settings.validate().map_err(|error| invalid(error.to_string()))?;
        let names = |list: &str| names(&others[list]);
        let gateway = GatewayConfig {
            server_idle_timeout: pairs.get("caps.connIdleNs").map_err(invalid)?,
            connect_timeout: settings::duration(&pairs, "caps.connectTimeoutNs").map_err(invalid)?,
            max_connections_per_server: None,
            classes: names("classes"),
            tenants: tenants.names.index(),
            // Any text works as a seed: it only has to differ between starts.
            seed: u64::from_str_radix(&file.seed, 16)
                .unwrap_or_else(|_| laurelroute_core::stable_hash(file.seed.as_bytes())),
            max_descriptors: file.limits.sockets,
            reserved_descriptors: if file.management.is_some() { MANAGEMENT_SOCKETS } else { 0 },
            memory_mb: file.limits.memory_mb,
            settings,
        };
        Ok(Config {
            zones: names("zones"),
            kinds: names("skus"),
            listen: file.listen,
            discovery: file.discovery,
            management: file.management,
            cached_list: file.cached_list,
            gateway,
        })
    }
}

/// The names of a JSON list, whose items are strings or objects with a `name`.
fn names(list: &Value) -> Vec<String> {
    let all = |items: &Vec<Value>| items.iter().map(|item| name(item).to_owned()).collect();
    list.as_array().map(all).unwrap_or_default()
}

/// The value itself if it is a string, else its `name` field; empty if there is neither.
pub(crate) fn name(item: &Value) -> &str {
    item.as_str().or(item["name"].as_str()).unwrap_or_default()
}

/// Flattens JSON into the simulator's `path=value` pairs: lists of plain values are joined by commas, objects in a
/// list are numbered.
pub(crate) fn flatten(path: &str, value: &Value, pairs: &mut SettingPairs) {
    let child_path = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(&child_path(name), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.set(&child_path("count"), &items.len().to_string());
            items.iter().enumerate().for_each(|(k, v)| flatten(&child_path(&k.to_string()), v, pairs));
        }
        Value::Array(items) => pairs.set(path, &items.iter().map(scalar_text).collect::<Vec<_>>().join(",")),
        Value::Null => {}
        _ => pairs.set(path, &scalar_text(value)),
    }
}

fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn json_is_flattened_to_dotted_paths() {
        let json = serde_json::json!({"zone": 1, "zones": ["a b", "c"], "caps": {"x": true, "none": null},
            "classes": [{"name": "status", "aimNs": 5}], "tenants": []});
        let mut pairs = SettingPairs::default();
        flatten("", &json, &mut pairs);
        let get = |key: &str| pairs.get::<String>(key).ok();
        assert_eq!(get("zones").as_deref(), Some("a_b,c"));
        assert_eq!(get("classes.count").as_deref(), Some("1"));
        assert_eq!(get("classes.0.aimNs").as_deref(), Some("5"));
        assert_eq!(get("caps.x").as_deref(), Some("true"));
        assert_eq!(get("caps.none"), None);
        assert_eq!(names(&json["classes"]), ["status"]);
    }

    /// Parses a valid configuration whose settings `change` has modified.
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
    fn missing_tenants_and_unknown_settings_are_accepted() {
        let config = parse(|_| {}).unwrap();
        assert!(config.gateway.tenants.is_empty() && config.zones == ["a"]);
        assert!(parse(|s| s["tenants"] = serde_json::json!([])).is_ok());
        assert!(parse(|s| s["another"] = serde_json::json!({"deep": [{"x": 1}], "none": null})).is_ok());
        assert!(parse(|s| s["classes"][0]["colour"] = "green".into()).is_ok());
        // The protocol's bound on `askWithinNs` is below the configured value.
        let settings =
            parse(|s| s["guarantees"]["askWithinNs"] = 10_000_000_000u64.into()).unwrap().gateway.settings;
        assert_eq!(settings.max_list_age, MAX_LIST_AGE);
    }

    #[test]
    fn invalid_settings_are_reported_in_one_line() {
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
