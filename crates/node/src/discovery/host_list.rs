//! The server list in discovery's form, and its conversion for the node.

use crate::config::Config;
use crate::site::Site;
use laurelroute_core::fleet::{Addresses, ServerAttributes, ServerEntry};
use laurelroute_policy::interface::{Endpoint, Phase, Server};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

/// One line of the discovery stream.
#[derive(Clone, Debug, Deserialize)]
pub struct HostList {
    /// Version of the list.
    pub seq: u64,
    /// Whether the list names all servers, or only those that changed.
    #[serde(default, rename = "whole")]
    pub full: bool,
    /// The servers.
    pub hosts: Vec<Host>,
}

/// One server, in discovery's format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    pub(super) host: String,
    dial: SocketAddr,
    /// Its Thrift address, if it has one of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    thrift: Option<SocketAddr>,
    #[serde(default, deserialize_with = "names", skip_serializing_if = "Vec::is_empty")]
    pub(super) service: Vec<String>,
    #[serde(default, deserialize_with = "names", skip_serializing_if = "Vec::is_empty")]
    pub(super) services: Vec<String>,
    /// Zone name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    site: Option<String>,
    /// Machine type.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    class: Option<String>,
    /// Cell that the server belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    block: Option<u16>,
    health: Health,
    /// Relative size of the server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    share: Option<f32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    born_ms: Option<u64>,
    /// Version and metadata select the pools of a traffic shift. Values of an unexpected type are ignored and must
    /// not make the list invalid.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    version: Value,
    #[serde(default, skip_serializing_if = "Value::is_null")]
    metadata: Value,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Health {
    Active,
    Leaving,
    Left,
}

/// Deserializes one name or a list of names; values of other types are ignored and do not make the list invalid.
fn names<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let name = |value| match value {
        Value::String(name) => Some(name),
        _ => None,
    };
    Ok(match Value::deserialize(deserializer)? {
        Value::Array(values) => values.into_iter().filter_map(name).collect(),
        value => name(value).into_iter().collect(),
    })
}

/// The attributes that a traffic shift selects servers by.
fn attributes(host: &Host) -> ServerAttributes {
    let pairs = host.metadata.as_object().into_iter().flatten();
    let text = |(key, value): (&String, &Value)| Some((key.clone(), value.as_str()?.to_owned()));
    ServerAttributes {
        kind: host.class.clone().unwrap_or_default(),
        version: host.version.as_str().unwrap_or_default().to_owned(),
        metadata: pairs.filter_map(text).collect(),
        services: Vec::new(),
    }
}

impl Host {
    /// Whether the server has left the list.
    pub(crate) fn has_left(&self) -> bool {
        self.health == Health::Left
    }

    /// The same server, which has left the list.
    pub(crate) fn left(self) -> Host {
        Host { health: Health::Left, ..self }
    }

    /// A server as it is known within the node.
    pub(crate) fn of_entry(entry: ServerEntry, config: &Config) -> Option<Host> {
        let address = |wire: usize| entry.addresses.get(wire).copied().flatten();
        let name_at = |names: &[String], index: usize| names.get(index).cloned();
        Some(Host {
            dial: address(0)?,
            thrift: address(1),
            service: Vec::new(),
            services: Vec::new(),
            site: name_at(&config.zones, usize::from(entry.server.zone)),
            class: name_at(&config.kinds, usize::from(entry.server.kind)),
            block: Some(entry.server.cell),
            health: match entry.server.phase {
                Phase::Ready => Health::Active,
                Phase::Draining => Health::Leaving,
                Phase::Removed => Health::Left,
            },
            share: Some(entry.server.size),
            born_ms: Some(entry.server.started_at / 1_000_000),
            version: Value::Null,
            metadata: Value::Null,
            host: entry.host,
        })
    }

    /// The server's name.
    pub(crate) fn name(&self) -> &str {
        &self.host
    }
}

/// Converts servers from discovery's form for the node.
#[derive(Clone, Debug)]
pub(crate) struct HostConverter {
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Set if Thrift is enabled; the port applies to entries without a Thrift address.
    thrift: Option<Option<u16>>,
    /// A traffic shift needs the servers' versions and metadata.
    with_attributes: bool,
    /// The servers' services are needed.
    with_services: bool,
}

impl HostConverter {
    pub(crate) fn new(config: &Config, site: &Site) -> HostConverter {
        HostConverter {
            zones: config.zones.clone(),
            kinds: config.kinds.clone(),
            thrift: site.thrift.as_ref().map(|t| t.port),
            with_attributes: site.shift.is_some(),
            with_services: false,
        }
    }

    /// Converts all addresses of an entry: other processes may use protocols that this one does not.
    pub(crate) fn with_all_addresses(mut self) -> HostConverter {
        self.thrift = self.thrift.or(Some(None));
        self
    }

    /// Converts the services of an entry as well.
    pub(crate) fn with_services(self) -> HostConverter {
        HostConverter { with_services: true, ..self }
    }

    /// Converts a server to an entry.
    pub(crate) fn entry(&self, mut host: Host) -> ServerEntry {
        // All names that the settings do not list share one index after those that they do.
        let index_of = |names: &[String], name: &Option<String>| {
            let name = name.as_deref().unwrap_or_default();
            names.iter().position(|n| n == name).unwrap_or(names.len())
        };
        let with_attributes = self.with_attributes || self.with_services;
        let attributes = with_attributes.then(|| Box::new(self.attributes(&mut host)));
        ServerEntry {
            addresses: self.addresses(&host),
            attributes,
            server: Server {
                endpoint: Endpoint { address: [0; 4], port: 0 },
                zone: index_of(&self.zones, &host.site).min(255) as u8,
                kind: index_of(&self.kinds, &host.class).min(usize::from(u16::MAX)) as u16,
                cell: host.block.unwrap_or(0),
                phase: match host.health {
                    Health::Active => Phase::Ready,
                    Health::Leaving => Phase::Draining,
                    Health::Left => Phase::Removed,
                },
                size: host.share.filter(|s| s.is_finite()).unwrap_or(0.0),
                started_at: host.born_ms.unwrap_or(0).saturating_mul(1_000_000),
            },
            host: host.host,
        }
    }

    fn attributes(&self, host: &mut Host) -> ServerAttributes {
        let mut attributes =
            if self.with_attributes { attributes(host) } else { ServerAttributes::default() };
        if self.with_services {
            attributes.services = std::mem::take(&mut host.service);
            attributes.services.append(&mut host.services);
        }
        attributes
    }

    /// A server's addresses by protocol: HTTP, and Thrift if this node uses it.
    fn addresses(&self, host: &Host) -> Addresses {
        match self.thrift {
            None => vec![Some(host.dial)],
            Some(port) => {
                let same_host = port.map(|port| SocketAddr::new(host.dial.ip(), port));
                vec![Some(host.dial), host.thrift.or(same_host)]
            }
        }
    }
}
