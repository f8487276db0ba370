//! Tenants in the configuration. There may be very many: each is read by itself and put where it stays, and no other copy of
//! them all is ever made.

use crate::config::{flatten, name};
use laurelroute_core::names::Listed;
use laurelroute_policy::settings::Pairs;
use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::fmt;

/// The configuration's settings: the list of tenants, and all others as they are.
pub(crate) struct Said {
    pub(crate) others: Value,
    pub(crate) tenants: Tenants,
}

/// Tenants in their order.
#[derive(Default)]
pub(crate) struct Tenants {
    pub(crate) names: Listed,
    quotas: Vec<f64>,
    /// What is wrong with the first share that cannot be read.
    fault: Option<String>,
    /// Some are more than a name: then all have to have a share.
    shares: bool,
}

impl Tenants {
    /// Their shares; none where there are only names.
    pub(crate) fn quotas(&mut self) -> Result<Vec<f64>, String> {
        let mut quotas = std::mem::take(&mut self.quotas);
        if !self.shares {
            return Ok(Vec::new());
        }
        quotas.shrink_to_fit();
        self.fault.take().map_or(Ok(quotas), Err)
    }

    fn push(&mut self, tenant: &Value) {
        self.names.push(name(tenant));
        self.shares |= tenant.is_object();
        let path = format!("tenants.{}", self.quotas.len());
        let mut pairs = Pairs::default();
        flatten(&path, tenant, &mut pairs);
        match pairs.get(&format!("{path}.quotaPerS")) {
            Ok(quota) => self.quotas.push(quota),
            Err(error) => {
                self.quotas.push(0.0);
                self.fault.get_or_insert(error);
            }
        }
    }
}

impl<'de> Deserialize<'de> for Said {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_map(Settings)
    }
}

impl<'de> Deserialize<'de> for Tenants {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(List)
    }
}

struct Settings;

impl<'de> Visitor<'de> for Settings {
    type Value = Said;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the settings by their names")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut settings: A) -> Result<Said, A::Error> {
        let (mut others, mut tenants) = (Map::new(), Tenants::default());
        while let Some(key) = settings.next_key::<String>()? {
            if key == "tenants" {
                tenants = settings.next_value()?;
            } else {
                others.insert(key, settings.next_value()?);
            }
        }
        Ok(Said { others: Value::Object(others), tenants })
    }
}

/// What is no list names no tenants.
struct List;

impl<'de> Visitor<'de> for List {
    type Value = Tenants;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of tenants")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Tenants, A::Error> {
        let mut tenants = Tenants::default();
        while let Some(tenant) = list.next_element::<Value>()? {
            tenants.push(&tenant);
        }
        Ok(tenants)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tenants, A::Error> {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Tenants::default())
    }

    fn visit_unit<E>(self) -> Result<Tenants, E> {
        Ok(Tenants::default())
    }

    fn visit_bool<E>(self, _: bool) -> Result<Tenants, E> {
        Ok(Tenants::default())
    }

    fn visit_u64<E>(self, _: u64) -> Result<Tenants, E> {
        Ok(Tenants::default())
    }

    fn visit_i64<E>(self, _: i64) -> Result<Tenants, E> {
        Ok(Tenants::default())
    }

    fn visit_f64<E>(self, _: f64) -> Result<Tenants, E> {
        Ok(Tenants::default())
    }

    fn visit_str<E>(self, _: &str) -> Result<Tenants, E> {
        Ok(Tenants::default())
    }
}
