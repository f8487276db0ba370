//! Deserialization of the configuration's tenants. There may be very many: each is parsed by itself and stored in
//! its final place, so that the whole list is never held twice.

use crate::config::{flatten, name};
use laurelroute_core::name_index::NameList;
use laurelroute_policy::settings::SettingPairs;
use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::fmt;

/// The configuration's settings: the tenants, and all other settings as JSON.
pub(crate) struct ParsedSettings {
    pub(crate) others: Value,
    pub(crate) tenants: Tenants,
}

/// Tenants in the order of the configuration.
#[derive(Default)]
pub(crate) struct Tenants {
    pub(crate) names: NameList,
    quotas: Vec<f64>,
    /// The error of the first invalid quota.
    first_error: Option<String>,
    /// Some tenants are objects, not only names: then each must have a quota.
    has_quotas: bool,
}

impl Tenants {
    /// Takes the quotas; empty if the tenants are only names.
    pub(crate) fn take_quotas(&mut self) -> Result<Vec<f64>, String> {
        let mut quotas = std::mem::take(&mut self.quotas);
        if !self.has_quotas {
            return Ok(Vec::new());
        }
        quotas.shrink_to_fit();
        self.first_error.take().map_or(Ok(quotas), Err)
    }

    fn push(&mut self, tenant: &Value) {
        self.names.push(name(tenant));
        self.has_quotas |= tenant.is_object();
        let path = format!("tenants.{}", self.quotas.len());
        let mut pairs = SettingPairs::default();
        flatten(&path, tenant, &mut pairs);
        match pairs.get(&format!("{path}.quotaPerS")) {
            Ok(quota) => self.quotas.push(quota),
            Err(error) => {
                self.quotas.push(0.0);
                self.first_error.get_or_insert(error);
            }
        }
    }
}

impl<'de> Deserialize<'de> for ParsedSettings {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(SettingsVisitor)
    }
}

impl<'de> Deserialize<'de> for Tenants {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TenantListVisitor)
    }
}

struct SettingsVisitor;

impl<'de> Visitor<'de> for SettingsVisitor {
    type Value = ParsedSettings;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map of settings")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut settings: A) -> Result<ParsedSettings, A::Error> {
        let (mut others, mut tenants) = (Map::new(), Tenants::default());
        while let Some(key) = settings.next_key::<String>()? {
            if key == "tenants" {
                tenants = settings.next_value()?;
            } else {
                others.insert(key, settings.next_value()?);
            }
        }
        Ok(ParsedSettings { others: Value::Object(others), tenants })
    }
}

/// Visitor of the tenant list; a value that is not a list yields no tenants.
struct TenantListVisitor;

impl<'de> Visitor<'de> for TenantListVisitor {
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
