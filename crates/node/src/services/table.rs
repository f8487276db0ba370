//! The operator's file on services by subscription: keys of `[forward]` and `[plan]` that count with `services = true`.

use crate::site::{SiteError, Validator};
use hyper::header::HeaderName;
use laurelroute_http::service::Place;
use laurelroute_policy::interface::Nanos;
use toml::{Spanned, Value};

const SECOND: Nanos = 1_000_000_000;
const MOST_SECONDS: u64 = 86_400;
/// Bytes a second, or at once, to or from one forwarder.
const MOST_BYTES: u32 = 10_000_000;
/// A forwarder holds what its requests name; one that should hold all would be better off as a one-level node.
const MOST_SERVICES: u32 = 10_000;
const MOST_SERVICE_BYTES: u32 = 1 << 30;
const MOST_FORWARDERS: u32 = 100_000;

/// Keys of `[forward]`.
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

/// Keys of `[plan]`.
#[derive(Debug)]
pub(crate) struct PlannerServicesTable {
    pub(crate) services: Option<Spanned<bool>>,
    pub(crate) most_forwarders: Option<Spanned<u32>>,
    pub(crate) update_bytes: Option<Spanned<u32>>,
    pub(crate) update_burst: Option<Spanned<u32>>,
    pub(crate) drain_bytes: Option<Spanned<u32>>,
    pub(crate) drain_burst: Option<Spanned<u32>>,
}

/// How a forwarder uses services.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwarderServices {
    /// Where a request's service stands.
    pub place: Place,
    /// Services held at most.
    pub max_services: usize,
    /// Bytes that they may take at most.
    pub max_service_bytes: usize,
    /// A service that no request has named for so long is dropped.
    pub unused_timeout: Nanos,
    /// That a service does not exist is remembered for so long.
    pub unknown_ttl: Nanos,
    /// Bytes a second that it says to its planner.
    pub report_bytes: u32,
    /// Bytes beyond that at once.
    pub report_burst: u32,
    /// Bytes a second that it takes, over all planners.
    pub update_bytes: u32,
    /// Bytes beyond that at once.
    pub update_burst: u32,
}

/// What a planner publishes.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerServices {
    /// Forwarders that it takes at most.
    pub max_forwarders: usize,
    /// Bytes a second to one forwarder.
    pub update_bytes: u32,
    /// Bytes beyond that at once.
    pub update_burst: u32,
    /// The same for drains and leavings.
    pub drain_bytes: u32,
    /// See `drain_bytes`.
    pub drain_burst: u32,
}

/// Refuses keys that count only with services, where there are none.
fn unused(
    validator: &Validator<'_>,
    part: &str,
    keys: impl IntoIterator<Item = (&'static str, Option<usize>)>,
) -> Result<(), SiteError> {
    match keys.into_iter().find_map(|(key, at)| Some((key, at?))) {
        Some((key, at)) => {
            let message = format!("`{part}.{key}` counts only with `services = true`");
            Err(validator.error(Some(at), message))
        }
        None => Ok(()),
    }
}

fn start<T>(value: &Option<Spanned<T>>) -> Option<usize> {
    value.as_ref().map(|v| v.span().start)
}

impl ForwarderServicesTable {
    pub(crate) fn validate(
        self,
        validator: &Validator<'_>,
        report_bytes: Option<Spanned<u32>>,
    ) -> Result<Option<ForwarderServices>, SiteError> {
        if !self.services.is_some_and(Spanned::into_inner) {
            let keys = [
                ("service", start(&self.service)),
                ("most_services", start(&self.most_services)),
                ("most_service_bytes", start(&self.most_service_bytes)),
                ("unused_seconds", start(&self.unused_seconds)),
                ("unknown_seconds", start(&self.unknown_seconds)),
                ("report_burst", start(&self.report_burst)),
                ("update_bytes", start(&self.update_bytes)),
                ("update_burst", start(&self.update_burst)),
            ];
            return unused(validator, "forward", keys).map(|()| None);
        }
        let number =
            |key: &str, value, most, or| validator.bounded_number(&format!("forward.{key}"), value, most, or);
        let seconds = |key: &str, value, or| {
            validator.bounded_number(&format!("forward.{key}"), value, MOST_SECONDS, or).map(|s| s * SECOND)
        };
        Ok(Some(ForwarderServices {
            place: self.service.map_or(Ok(Place::Nowhere), |value| place(validator, &value))?,
            max_services: number("most_services", self.most_services, MOST_SERVICES, 1_000)? as usize,
            max_service_bytes: number("most_service_bytes", self.most_service_bytes, MOST_SERVICE_BYTES, 16 << 20)?
                as usize,
            unused_timeout: seconds("unused_seconds", self.unused_seconds, 600)?,
            unknown_ttl: seconds("unknown_seconds", self.unknown_seconds, 10)?,
            report_bytes: number("report_bytes", report_bytes, MOST_BYTES, 1_500)?,
            report_burst: number("report_burst", self.report_burst, MOST_BYTES, 8_000)?,
            update_bytes: number("update_bytes", self.update_bytes, MOST_BYTES, 7_000)?,
            update_burst: number("update_burst", self.update_burst, MOST_BYTES, 36_000)?,
        }))
    }
}

/// `"host"` or `{ header = "NAME" }`.
fn place(validator: &Validator<'_>, value: &Spanned<Value>) -> Result<Place, SiteError> {
    let header = |table: &toml::Table| match table.get("header") {
        Some(Value::String(name)) if table.len() == 1 => HeaderName::try_from(name.as_str()).ok(),
        _ => None,
    };
    match value.get_ref() {
        Value::String(text) if text == "host" => Some(Place::Host),
        Value::Table(table) => header(table).map(Place::Header),
        _ => None,
    }
    .ok_or_else(|| validator.error_at(value, "`forward.service` has to be \"host\" or { header = \"NAME\" }"))
}

impl PlannerServicesTable {
    pub(crate) fn enabled(&self) -> bool {
        self.services.as_ref().is_some_and(|on| *on.get_ref())
    }

    pub(crate) fn validate(self, validator: &Validator<'_>) -> Result<Option<PlannerServices>, SiteError> {
        if !self.enabled() {
            let keys = [
                ("most_forwarders", start(&self.most_forwarders)),
                ("update_bytes", start(&self.update_bytes)),
                ("update_burst", start(&self.update_burst)),
                ("drain_bytes", start(&self.drain_bytes)),
                ("drain_burst", start(&self.drain_burst)),
            ];
            return unused(validator, "plan", keys).map(|()| None);
        }
        let number =
            |key: &str, value, most, or| validator.bounded_number(&format!("plan.{key}"), value, most, or);
        Ok(Some(PlannerServices {
            max_forwarders: number("most_forwarders", self.most_forwarders, MOST_FORWARDERS, 10_000)?
                as usize,
            update_bytes: number("update_bytes", self.update_bytes, MOST_BYTES, 7_000)?,
            update_burst: number("update_burst", self.update_burst, MOST_BYTES, 36_000)?,
            drain_bytes: number("drain_bytes", self.drain_bytes, MOST_BYTES, 1_500)?,
            drain_burst: number("drain_burst", self.drain_burst, MOST_BYTES, 4_000)?,
        }))
    }
}
