//! The operator's configuration file (TOML), which extends the platform's configuration.
//!
//! Every error names the file, the line and the key. Features are off unless the file configures them.

use crate::fleet::table::{FleetConfig, FleetTable};
use crate::levels::{ForwardTable, LevelTables, Levels, PeersTable, PlanTable};
use crate::shift::table::{ShiftConfig, ShiftTable};
use laurelroute_policy::interface::{Idempotency, Settings};
use laurelroute_thrift::codec::decoder::Accept;
use laurelroute_thrift::codec::{application, Form, Limits, FORMS};
use laurelroute_thrift::front::FrontSettings;
use laurelroute_thrift::table::{Method, Source, Sources, Table};
use laurelroute_thrift::upstream::Boxes;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// Upper bound of `max_message`: THeader encodes sizes in 30 bits, and memory is bounded anyway.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Upper bound of `max_depth`: no service nests deeper, and each level costs 16 bytes for every message being
/// decoded.
const MAX_DEPTH: usize = 1024;
const MAX_PIPELINE: usize = 1024;
const MAX_IDLE_MS: u64 = 86_400_000;

/// An error in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteError {
    /// The file.
    pub file: String,
    /// The line, from 1; `None` if the error concerns the file as a whole.
    pub line: Option<usize>,
    /// The error, with the key.
    pub message: String,
}

impl fmt::Display for SiteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}, line {line}: {}", self.file, self.message),
            None => write!(f, "{}: {}", self.file, self.message),
        }
    }
}

impl std::error::Error for SiteError {}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    servers: ServersTable,
    thrift: Option<ThriftTable>,
    peers: Option<Spanned<PeersTable>>,
    forward: Option<Spanned<ForwardTable>>,
    plan: Option<Spanned<PlanTable>>,
    shift: Option<Spanned<ShiftTable>>,
    fleet: Option<FleetTable>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServersTable {
    max_connections: Option<Spanned<u32>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ThriftTable {
    listen: SocketAddr,
    form: Option<Spanned<String>>,
    max_message: Option<Spanned<usize>>,
    max_depth: Option<Spanned<usize>>,
    pipeline: Option<Spanned<usize>>,
    idle_ms: Option<Spanned<u64>>,
    #[serde(rename = "boxes")]
    servers: ThriftServersTable,
    #[serde(default)]
    facts: FactsTable,
    #[serde(default, rename = "method")]
    methods: Vec<MethodTable>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ThriftServersTable {
    form: Spanned<String>,
    port: Option<Spanned<u16>>,
    turned_away: Option<i32>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct FactsTable {
    #[serde(default)]
    deadline: Vec<Spanned<String>>,
    #[serde(default)]
    request_id: Vec<Spanned<String>>,
    #[serde(default)]
    tenant: Vec<Spanned<String>>,
    #[serde(default)]
    route_key: Vec<Spanned<String>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MethodTable {
    name: Spanned<String>,
    class: Spanned<String>,
    effect: Option<Spanned<String>>,
    #[serde(default)]
    deadline: Vec<Spanned<String>>,
    #[serde(default)]
    request_id: Vec<Spanned<String>>,
    #[serde(default)]
    tenant: Vec<Spanned<String>>,
    #[serde(default)]
    route_key: Vec<Spanned<String>>,
}

/// Settings of the Thrift front end.
#[derive(Clone, Debug)]
pub struct Thrift {
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Thrift port of servers whose list entry has no Thrift address.
    pub port: Option<u16>,
    /// Settings of the front end itself.
    pub front: FrontSettings,
}

/// The validated contents of the operator's file.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// Maximum number of connections from this node to one server, over all protocols.
    pub max_connections: Option<u32>,
    /// The Thrift front end.
    pub thrift: Option<Thrift>,
    /// This peer's identity and role in a two-level installation.
    pub levels: Levels,
    /// A traffic shift from one pool of servers to another.
    pub shift: Option<ShiftConfig>,
    /// The fleet that this process is a member of.
    pub fleet: Option<FleetConfig>,
}

/// The request classes that methods may name, with their settings; `None` skips the validation of class names.
pub type Classes<'a> = Option<(&'a [String], &'a Settings)>;

impl Site {
    /// Reads and validates a file.
    pub fn load(path: &Path, classes: Classes<'_>) -> Result<Site, SiteError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| SiteError {
            file: file.clone(),
            line: None,
            message: error.to_string(),
        })?;
        Self::parse(&file, &text, classes)
    }

    /// Validates the text of a file.
    pub fn parse(file: &str, text: &str, classes: Classes<'_>) -> Result<Site, SiteError> {
        let validator = Validator { file, text };
        let table: File =
            toml::from_str(text).map_err(|e| validator.error(e.span().map(|s| s.start), e.message()))?;
        let max_connections = match &table.servers.max_connections {
            Some(n) if *n.get_ref() == 0 => {
                return Err(validator.error_at(n, "`servers.max_connections` must be above 0"))
            }
            n => n.as_ref().map(|n| *n.get_ref()),
        };
        let thrift = table.thrift.map(|t| validator.thrift(t, classes)).transpose()?;
        let tables = LevelTables { peers: table.peers, forward: table.forward, plan: table.plan };
        let levels = tables.validate(&validator, classes)?;
        let shift = table.shift.map(|t| t.into_inner().validate(&validator, classes)).transpose()?;
        let fleet = table.fleet.map(|t| t.validate(&validator)).transpose()?;
        Ok(Site { max_connections, thrift, levels, shift, fleet })
    }
}

/// Helper that validates the values of one file and reports errors with their line.
pub(crate) struct Validator<'a> {
    pub(crate) file: &'a str,
    text: &'a str,
}

impl Validator<'_> {
    /// An error at a byte offset of the file.
    pub(crate) fn error(&self, offset: Option<usize>, message: impl Into<String>) -> SiteError {
        let line = offset.map(|at| 1 + self.text[..at.min(self.text.len())].matches('\n').count());
        SiteError { file: self.file.to_owned(), line, message: message.into() }
    }

    /// An error at a value's position in the file.
    pub(crate) fn error_at<T>(&self, value: &Spanned<T>, message: impl Into<String>) -> SiteError {
        self.error(Some(value.span().start), message)
    }

    /// Resolves a path in the file. It is relative to the file's directory: the program may be started anywhere.
    pub(crate) fn resolve_path(&self, path: PathBuf) -> PathBuf {
        Path::new(self.file).parent().map(|p| p.join(&path)).unwrap_or(path)
    }

    /// Checks that a number is between 1 and `max`; a missing one gets the default.
    pub(crate) fn bounded_number<T>(
        &self,
        key: &str,
        value: Option<Spanned<T>>,
        max: T,
        default: T,
    ) -> Result<T, SiteError>
    where
        T: Copy + PartialOrd + Default + fmt::Display,
    {
        let Some(value) = value else { return Ok(default) };
        let number = *value.get_ref();
        if number <= T::default() || number > max {
            return Err(self.error_at(&value, format!("`{key}` is {number}; it has to be from 1 to {max}")));
        }
        Ok(number)
    }

    fn form(&self, key: &str, name: &Spanned<String>) -> Result<Form, SiteError> {
        Form::named(name.get_ref()).ok_or_else(|| {
            let names: Vec<_> = FORMS.iter().map(|(name, _)| *name).collect();
            self.error_at(name, format!("`{key}` is `{}`; known are {}", name.get_ref(), names.join(", ")))
        })
    }

    fn sources(&self, key: &str, list: &[Spanned<String>]) -> Result<Vec<Source>, SiteError> {
        let source = |text: &Spanned<String>| {
            text.get_ref().parse().map_err(|e| self.error_at(text, format!("`{key}`: {e}")))
        };
        list.iter().map(source).collect()
    }

    /// Parses the sources of deadline, request id, tenant and route key, whose keys have the given prefix.
    fn facts(&self, prefix: &str, lists: [&[Spanned<String>]; 4]) -> Result<Sources, SiteError> {
        let [deadline, request_id, tenant, route_key] = lists;
        let sources = |key: &str, list| self.sources(&format!("{prefix}{key}"), list);
        Ok(Sources {
            deadline: sources("deadline", deadline)?,
            request_id: sources("request_id", request_id)?,
            tenant: sources("tenant", tenant)?,
            route_key: sources("route_key", route_key)?,
        })
    }

    fn thrift(&self, table: ThriftTable, classes: Classes<'_>) -> Result<Thrift, SiteError> {
        let defaults = Limits::default();
        let message = self.bounded_number(
            "thrift.max_message",
            table.max_message,
            MAX_MESSAGE_BYTES,
            defaults.message,
        )?;
        let depth = self.bounded_number("thrift.max_depth", table.max_depth, MAX_DEPTH, defaults.depth)?;
        let limits = Limits { message, depth, ..defaults };
        let accept = match &table.form {
            Some(name) if name.get_ref() != "detect" => Accept::Only(self.form("thrift.form", name)?),
            _ => Accept::Detect,
        };
        let boxes = Boxes {
            form: self.form("thrift.boxes.form", &table.servers.form)?,
            turned_away: table.servers.turned_away.unwrap_or(application::LOAD_SHEDDING),
            limits,
        };
        let port = match table.servers.port {
            Some(port) if *port.get_ref() == 0 => {
                return Err(self.error_at(&port, "`thrift.boxes.port` must be above 0"));
            }
            port => port.map(Spanned::into_inner),
        };
        let facts = &table.facts;
        let common = self
            .facts("thrift.facts.", [&facts.deadline, &facts.request_id, &facts.tenant, &facts.route_key])?;
        let mut methods = Table::default();
        for method in &table.methods {
            self.method(&mut methods, method, &common, classes)?;
        }
        if methods.is_empty() {
            return Err(self.error(None, "`thrift` has no `[[thrift.method]]`: every call would be refused"));
        }
        let idle = self.bounded_number("thrift.idle_ms", table.idle_ms, MAX_IDLE_MS, 60_000)?;
        let front = FrontSettings {
            accept,
            limits,
            pipeline: self.bounded_number("thrift.pipeline", table.pipeline, MAX_PIPELINE, 16)?,
            idle: Duration::from_millis(idle),
            table: methods,
            boxes,
        };
        Ok(Thrift { listen: table.listen, port, front })
    }

    fn method(
        &self,
        methods: &mut Table,
        method: &MethodTable,
        common: &Sources,
        classes: Classes<'_>,
    ) -> Result<(), SiteError> {
        let (name, class_name) = (method.name.get_ref(), method.class.get_ref());
        if name.is_empty() || name.len() > Limits::default().name {
            return Err(self.error_at(&method.name, "`name` has to have 1 to 256 bytes"));
        }
        let effect = method.effect.as_ref().map(|e| self.effect(e)).transpose()?;
        let class = match classes {
            None => 0,
            Some((names, settings)) => {
                let class = names.iter().position(|c| c == class_name).ok_or_else(|| {
                    let known = names.join(", ");
                    self.error_at(
                        &method.class,
                        format!("`class` is `{class_name}`; the settings have {known}"),
                    )
                })?;
                let class_effect = settings.classes[class].idempotency;
                if let Some((text, effect)) = effect.filter(|(_, effect)| *effect != class_effect) {
                    let message = format!(
                        "`effect` of `{name}` is {effect:?}, but its class `{class_name}` is {class_effect:?}"
                    );
                    return Err(self.error_at(text, message));
                }
                class
            }
        };
        let sources =
            self.facts("", [&method.deadline, &method.request_id, &method.tenant, &method.route_key])?;
        if !methods.add(name, Method { class: class as u8, sources: sources.or(common) }) {
            return Err(self.error_at(&method.name, format!("`{name}` is defined twice")));
        }
        Ok(())
    }

    fn effect<'a>(&self, text: &'a Spanned<String>) -> Result<(&'a Spanned<String>, Idempotency), SiteError> {
        match text.get_ref().as_str() {
            "safe" => Ok((text, Idempotency::Safe)),
            "keyed" => Ok((text, Idempotency::Keyed)),
            "unsafe" => Ok((text, Idempotency::Unsafe)),
            other => {
                Err(self.error_at(text, format!("`effect` is `{other}`; known are safe, keyed, unsafe")))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const EXAMPLE: &str = include_str!("../../../deploy/site.example.toml");

    fn settings() -> (Vec<String>, Settings) {
        let mut settings = Settings::single_class(1, 2);
        let class = settings.classes[0].clone();
        settings.classes.push(class.clone());
        settings.classes.push(class);
        settings.classes[2].idempotency = Idempotency::Unsafe;
        (["status", "gauges", "acknowledge"].map(str::to_owned).to_vec(), settings)
    }

    #[test]
    fn the_example_is_valid() {
        let (names, settings) = settings();
        let site = Site::parse("example", EXAMPLE, Some((&names, &settings))).unwrap();
        let thrift = site.thrift.expect("the example enables Thrift");
        assert_eq!(thrift.front.table.method("Warnings:acknowledge").map(|m| m.class), Some(2));
        let levels = site.levels;
        assert!(levels.peers.is_some() && levels.forward.is_some());
        assert_eq!(levels.plan.map(|p| p.limits), Some(vec![("gauges".to_owned(), 5000.0)]));
        assert!(Site::parse("empty", "", None).unwrap().thrift.is_none());
    }

    #[test]
    fn errors_name_the_key_and_the_line() {
        let (names, settings) = settings();
        for (from, to, line_of, message) in [
            (
                "pipeline = 16",
                "pipeline = 0",
                "pipeline",
                "`thrift.pipeline` is 0; it has to be from 1 to 1024",
            ),
            ("pipeline = 16", "pipline = 16", "pipline", "unknown field `pipline`"),
            (
                "form = \"detect\"",
                "form = \"framed\"",
                "form = \"framed\"",
                "`thrift.form` is `framed`; known are",
            ),
            ("max_message = 65536", "max_message = \"x\"", "max_message", "expected usize"),
            ("port = 9090", "port = 0", "port = 0", "`thrift.boxes.port` must be above 0"),
            (
                "effect = \"unsafe\"",
                "effect = \"safe\"",
                "effect = \"safe\"",
                "but its class `acknowledge` is Unsafe",
            ),
            ("effect = \"unsafe\"", "effect = \"odd\"", "effect = \"odd\"", "`effect` is `odd`"),
            (
                "class = \"gauges\"",
                "class = \"gouges\"",
                "class = \"gouges\"",
                "`class` is `gouges`; the settings have",
            ),
            (
                "header:x-tenant-id",
                "x-tenant-id",
                "[\"x-tenant-id",
                "`thrift.facts.tenant`: `x-tenant-id` is neither",
            ),
            ("name = \"gauges\"", "name = \"status\"", "", "`status` is defined twice"),
            ("max_connections = 48", "max_connections = 0", "max_connections", "must be above 0"),
        ] {
            let text = EXAMPLE.replacen(from, to, 1);
            assert_ne!(text, EXAMPLE, "{from} is not in the example");
            let error = Site::parse("f.toml", &text, Some((&names, &settings))).unwrap_err();
            assert!(error.to_string().contains(message), "{to}: {error}");
            let line = error.line.expect("a line");
            assert!(text.lines().nth(line - 1).unwrap().contains(line_of), "{to}: {error}");
        }
    }
}
