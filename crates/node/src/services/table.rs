//! The service subscription keys of the operator's file: the keys of `[forward]` and `[plan]` that apply with
//! `services = true`.

use crate::site::{SiteError, Validator};
use hyper::header::HeaderName;
use laurelroute_http::service::ServiceNameSource;
use laurelroute_policy::interface::Nanos;
use toml::{Spanned, Value};

const SECOND: Nanos = 1_000_000_000;
/// Upper bound of the durations: one day.
const MAX_SECONDS: u64 = 86_400;
/// Upper bound of the traffic to or from one forwarder, in bytes per second or as a burst.
const MAX_TRAFFIC_BYTES: u32 = 10_000_000;
/// Upper bound of the services that a forwarder holds. A forwarder holds those that its requests name; where it would
/// have to hold all, a node without planners fits better.
const MAX_SERVICES: u32 = 10_000;
/// Upper bound of the memory for services, in bytes.
const MAX_SERVICE_BYTES: u32 = 1 << 30;
/// Upper bound of the forwarders of one planner.
const MAX_FORWARDERS: u32 = 100_000;

/// The service keys of `[forward]`, not yet validated.
#[derive(Debug)]
pub(crate) struct ForwarderServicesTable {
    pub(crate) services: Option<Spanned<bool>>,
    pub(crate) service: Option<Spanned<Value>>,
    pub(crate) most_services: Option<Spanned<u32>>,
    pub(crate) most_service_bytes: Option<Spanned<u32>>,
    pub(crate) unused_seconds: Option<Spanned<u64>>,
    pub(crate) unknown_seconds: Option<Spanned<u64>>,
    pub(crate) report_burst: Option<Spanned<u32>>,
    pub(crate) update_bytes: Option<Spanned<u32>>,
    pub(crate) update_burst: Option<Spanned<u32>>,
}

/// The service keys of `[plan]`, not yet validated.
#[derive(Debug)]
pub(crate) struct PlannerServicesTable {
    pub(crate) services: Option<Spanned<bool>>,
    pub(crate) most_forwarders: Option<Spanned<u32>>,
    pub(crate) update_bytes: Option<Spanned<u32>>,
    pub(crate) update_burst: Option<Spanned<u32>>,
    pub(crate) drain_bytes: Option<Spanned<u32>>,
    pub(crate) drain_burst: Option<Spanned<u32>>,
}

/// Service settings of a forwarder.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwarderServices {
    /// Where a request names its service.
    pub name_source: ServiceNameSource,
    /// Maximum number of services held.
    pub max_services: usize,
    /// Maximum memory for the services held, in bytes.
    pub max_service_bytes: usize,
    /// A service is dropped after this time without a request that names it.
    pub unused_timeout: Nanos,
    /// How long an unknown service is remembered as such.
    pub unknown_ttl: Nanos,
    /// Rate limit for reports to the planner, in bytes per second.
    pub report_bytes: u32,
    /// Burst allowed beyond `report_bytes`, in bytes.
    pub report_burst: u32,
    /// Rate limit for updates from all planners, in bytes per second.
    pub update_bytes: u32,
    /// Burst allowed beyond `update_bytes`, in bytes.
    pub update_burst: u32,
}

/// Service settings of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerServices {
    /// Maximum number of forwarders.
    pub max_forwarders: usize,
    /// Rate limit for updates to one forwarder, in bytes per second.
    pub update_bytes: u32,
    /// Burst allowed beyond `update_bytes`, in bytes.
    pub update_burst: u32,
    /// Separate rate limit for drains and removals of servers, in bytes per second.
    pub drain_bytes: u32,
    /// Burst allowed beyond `drain_bytes`, in bytes.
    pub drain_burst: u32,
}

/// Rejects keys that require `services = true` where it is not set.
fn reject_unused(
    validator: &Validator<'_>,
    section: &str,
    keys: impl IntoIterator<Item = (&'static str, Option<usize>)>,
) -> Result<(), SiteError> {
    match keys.into_iter().find_map(|(key, at)| Some((key, at?))) {
        Some((key, at)) => {
            let message = format!("`{section}.{key}` applies only with `services = true`");
            Err(validator.error(Some(at), message))
        }
        None => Ok(()),
    }
}

/// Position of a value in the file.
fn position<T>(value: &Option<Spanned<T>>) -> Option<usize> {
    value.as_ref().map(|v| v.span().start)
}

impl ForwarderServicesTable {
    /// Checks the keys and applies the defaults; `None` without `services = true`.
    pub(crate) fn validate(
        self,
        validator: &Validator<'_>,
        report_bytes: Option<Spanned<u32>>,
    ) -> Result<Option<ForwarderServices>, SiteError> {
        if !self.services.is_some_and(Spanned::into_inner) {
            let keys = [
                ("service", position(&self.service)),
                ("most_services", position(&self.most_services)),
                ("most_service_bytes", position(&self.most_service_bytes)),
                ("unused_seconds", position(&self.unused_seconds)),
                ("unknown_seconds", position(&self.unknown_seconds)),
                ("report_burst", position(&self.report_burst)),
                ("update_bytes", position(&self.update_bytes)),
                ("update_burst", position(&self.update_burst)),
            ];
            return reject_unused(validator, "forward", keys).map(|()| None);
        }
        let number = |key: &str, value, max, default| {
            validator.bounded_number(&format!("forward.{key}"), value, max, default)
        };
        let seconds = |key: &str, value, default| {
            validator
                .bounded_number(&format!("forward.{key}"), value, MAX_SECONDS, default)
                .map(|s| s * SECOND)
        };
        Ok(Some(ForwarderServices {
            name_source: self
                .service
                .map_or(Ok(ServiceNameSource::Unnamed), |value| name_source(validator, &value))?,
            max_services: number("most_services", self.most_services, MAX_SERVICES, 1_000)? as usize,
            max_service_bytes: number(
                "most_service_bytes",
                self.most_service_bytes,
                MAX_SERVICE_BYTES,
                16 << 20,
            )? as usize,
            unused_timeout: seconds("unused_seconds", self.unused_seconds, 600)?,
            unknown_ttl: seconds("unknown_seconds", self.unknown_seconds, 10)?,
            report_bytes: number("report_bytes", report_bytes, MAX_TRAFFIC_BYTES, 1_500)?,
            report_burst: number("report_burst", self.report_burst, MAX_TRAFFIC_BYTES, 8_000)?,
            update_bytes: number("update_bytes", self.update_bytes, MAX_TRAFFIC_BYTES, 7_000)?,
            update_burst: number("update_burst", self.update_burst, MAX_TRAFFIC_BYTES, 36_000)?,
        }))
    }
}

/// Parses `"host"` or `{ header = "NAME" }`.
fn name_source(validator: &Validator<'_>, value: &Spanned<Value>) -> Result<ServiceNameSource, SiteError> {
    let header = |table: &toml::Table| match table.get("header") {
        Some(Value::String(name)) if table.len() == 1 => HeaderName::try_from(name.as_str()).ok(),
        _ => None,
    };
    match value.get_ref() {
        Value::String(text) if text == "host" => Some(ServiceNameSource::Host),
        Value::Table(table) => header(table).map(ServiceNameSource::Header),
        _ => None,
    }
    .ok_or_else(|| validator.error_at(value, "`forward.service` must be \"host\" or { header = \"NAME\" }"))
}

impl PlannerServicesTable {
    /// Whether `services = true` is set.
    pub(crate) fn enabled(&self) -> bool {
        self.services.as_ref().is_some_and(|on| *on.get_ref())
    }

    /// Checks the keys and applies the defaults; `None` without `services = true`.
    pub(crate) fn validate(self, validator: &Validator<'_>) -> Result<Option<PlannerServices>, SiteError> {
        if !self.enabled() {
            let keys = [
                ("most_forwarders", position(&self.most_forwarders)),
                ("update_bytes", position(&self.update_bytes)),
                ("update_burst", position(&self.update_burst)),
                ("drain_bytes", position(&self.drain_bytes)),
                ("drain_burst", position(&self.drain_burst)),
            ];
            return reject_unused(validator, "plan", keys).map(|()| None);
        }
        let number = |key: &str, value, max, default| {
            validator.bounded_number(&format!("plan.{key}"), value, max, default)
        };
        Ok(Some(PlannerServices {
            max_forwarders: number("most_forwarders", self.most_forwarders, MAX_FORWARDERS, 10_000)? as usize,
            update_bytes: number("update_bytes", self.update_bytes, MAX_TRAFFIC_BYTES, 7_000)?,
            update_burst: number("update_burst", self.update_burst, MAX_TRAFFIC_BYTES, 36_000)?,
            drain_bytes: number("drain_bytes", self.drain_bytes, MAX_TRAFFIC_BYTES, 1_500)?,
            drain_burst: number("drain_burst", self.drain_burst, MAX_TRAFFIC_BYTES, 4_000)?,
        }))
    }
}
