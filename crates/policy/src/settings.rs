//! Reads settings from `path=value` pairs: the benchmark adapter receives them as lines, the node flattens
//! its JSON to the same paths. Unknown keys are ignored; missing or malformed ones are named in the error.

use crate::interface::{Class, DedupGroup, Idempotency, Nanos, Settings};
use std::collections::BTreeMap;
use std::str::FromStr;

/// Setting values by path.
#[derive(Clone, Debug, Default)]
pub struct SettingPairs(BTreeMap<String, String>);

impl SettingPairs {
    /// Parses `path=value` lines.
    pub fn from_lines(bytes: &[u8]) -> Result<Self, String> {
        let text = std::str::from_utf8(bytes).map_err(|e| format!("not UTF-8: {e}"))?;
        let mut pairs = SettingPairs::default();
        for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
            let (key, value) =
                line.split_once('=').ok_or_else(|| format!("line {}: no `=` in `{line}`", n + 1))?;
            pairs.set(key.trim(), value.trim());
        }
        Ok(pairs)
    }

    /// Sets a value, replacing an earlier one.
    pub fn set(&mut self, key: &str, value: &str) {
        self.0.insert(key.to_owned(), value.to_owned());
    }

    fn text(&self, key: &str) -> Result<&str, String> {
        self.0.get(key).map(String::as_str).ok_or_else(|| format!("`{key}` is missing"))
    }

    /// Parses the value at a path.
    pub fn get<T: FromStr>(&self, key: &str) -> Result<T, String> {
        let text = self.text(key)?;
        text.parse().map_err(|_| format!("`{key}` has the unreadable value `{text}`"))
    }

    fn or<T: FromStr>(&self, key: &str, absent: T) -> Result<T, String> {
        if self.0.contains_key(key) {
            self.get(key)
        } else {
            Ok(absent)
        }
    }

    fn count(&self, list: &str) -> Result<usize, String> {
        let n: usize = self.or(&format!("{list}.count"), 0)?;
        if n > self.0.len() {
            return Err(format!("`{list}.count` is {n}, more than there are lines"));
        }
        Ok(n)
    }

    fn position(&self, key: &str, limit: usize) -> Result<usize, String> {
        let n: usize = self.get(key)?;
        if n < limit {
            Ok(n)
        } else {
            Err(format!("`{key}` is {n}, beyond its list of {limit}"))
        }
    }
}

fn choice<T: Copy>(pairs: &SettingPairs, key: &str, choices: &[(&str, T)]) -> Result<T, String> {
    let text = pairs.text(key)?;
    let found = choices.iter().find(|(name, _)| *name == text);
    let named = || choices.iter().map(|(name, _)| format!("`{name}`")).collect::<Vec<_>>().join(", ");
    found
        .map(|(_, value)| *value)
        .ok_or_else(|| format!("`{key}` has the unknown value `{text}`; it may be {}", named()))
}

/// The longest duration that a setting may have: a day. Sums of a few of them cannot overflow the clock.
const MAX_DURATION: Nanos = 86_400_000_000_000;

/// Reads a duration in nanoseconds, from 1 to a day.
pub fn duration(pairs: &SettingPairs, key: &str) -> Result<Nanos, String> {
    let text = pairs.text(key)?;
    let value = text.parse().ok().filter(|v| (1..=MAX_DURATION).contains(v));
    value.ok_or_else(|| {
        format!("`{key}` is `{text}`; it has to be from 1 to {MAX_DURATION} nanoseconds (a day)")
    })
}

fn class(pairs: &SettingPairs, k: usize) -> Result<Class, String> {
    let key = |name: &str| format!("classes.{k}.{name}");
    let effects =
        [("pure", Idempotency::Safe), ("token", Idempotency::Keyed), ("side_effect", Idempotency::Unsafe)];
    let groups = [("all", DedupGroup::All), ("zone", DedupGroup::Zone), ("cell", DedupGroup::Cell)];
    let effect = choice(pairs, &key("effect"), &effects)?;
    let keyed = effect == Idempotency::Keyed;
    Ok(Class {
        latency_target: duration(pairs, &key("aimNs"))?,
        client_timeout: duration(pairs, &key("giveUpNs"))?,
        value: pairs.get(&key("worth"))?,
        late_value: pairs.or(&key("lateWorth"), 0.0)?,
        idempotency: effect,
        dedup_group: if keyed { choice(pairs, &key("group"), &groups)? } else { DedupGroup::All },
        dedup_window: if keyed { pairs.get(&key("windowNs"))? } else { 0 },
        stream: pairs.or(&key("stream"), false)?,
    })
}

/// A field of a load report, by its name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)] // The names say it all.
pub enum LoadReportField {
    Concurrent,
    Queued,
    Utilisation,
    ServiceMs,
    Rate,
    ErrorRate,
    Unknown,
}

impl LoadReportField {
    /// Maps a wire name to its field; unknown names give [`LoadReportField::Unknown`], which is ignored.
    pub fn from_name(name: &str) -> Self {
        match name {
            "concurrent" => LoadReportField::Concurrent,
            "depth" => LoadReportField::Queued,
            "load_share" => LoadReportField::Utilisation,
            "mean_ms" => LoadReportField::ServiceMs,
            "tps" => LoadReportField::Rate,
            "err_ps" => LoadReportField::ErrorRate,
            _ => LoadReportField::Unknown,
        }
    }
}

/// Defaults for absent settings: the shortest that the specification allows.
const DEFAULT_MAX_LIST_AGE: Nanos = 6_000_000_000;
const DEFAULT_DRAIN_GRACE: Nanos = 100_000_000;

/// Reads the settings and the order of the load report's fields.
pub fn parse(pairs: &SettingPairs) -> Result<(Settings, Vec<LoadReportField>), String> {
    let classes = (0..pairs.count("classes")?).map(|k| class(pairs, k)).collect::<Result<_, _>>()?;
    let tenant_quota = (0..pairs.count("tenants")?)
        .map(|k| pairs.get(&format!("tenants.{k}.quotaPerS")))
        .collect::<Result<_, _>>()?;
    let zones = pairs.text("zones")?.split(',').count();
    let silent = pairs.or("report.via", String::new())? == "silent";
    let names = if silent { String::new() } else { pairs.or("report.names", String::new())? };
    let retry_after = pairs.or("caps.retryAfter", false)?;
    let settings = Settings {
        classes,
        tenant_quota,
        over_quota_value: pairs.or("overShareWorth", 1.0)?,
        value_per_work: pairs.or("countedBy", String::new())? == "work",
        zone: pairs.position("zone", zones.min(256))? as u8,
        ordinal: pairs.get("ordinal")?,
        group_size: pairs.get("groupSize")?,
        must_subscribe: choice(pairs, "registryMode", &[("automatic", false), ("subscribe", true)])?,
        max_list_age: pairs.or("guarantees.askWithinNs", DEFAULT_MAX_LIST_AGE)?,
        drain_grace: pairs.or("guarantees.stopSendingWithinNs", DEFAULT_DRAIN_GRACE)?,
        max_attempts: pairs.get("caps.maxAttempts")?,
        hedging: pairs.get("caps.secondCopies")?,
        cancel: pairs.get("caps.cancelling")?,
        probes: pairs.get("caps.mayProbe")?,
        peers: pairs.get("caps.peers")?,
        retry_after,
        max_retry_after: if retry_after { pairs.get("caps.maxRetryAfterNs")? } else { 0 },
        initial_capacity: pairs.get("guarantees.coldFrom")?,
        ramp: pairs.get("guarantees.rampTimeNs")?,
        overload_multiple: pairs.get("guarantees.tipMultiple")?,
        overload_window: pairs.get("guarantees.fallNs")?,
        sizes_known: pairs.or("weightSource", String::from("none"))? != "none",
        key_affinity: pairs.or("familyInfo.warmKeys", false)?,
        cross_zone_cost: pairs.or("prices.crossZone", 0.0)?,
    };
    settings.validate().map_err(|e| e.to_string())?;
    Ok((settings, names.split(',').map(LoadReportField::from_name).collect()))
}
