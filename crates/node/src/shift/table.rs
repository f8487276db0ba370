//! The `[shift]` section of the operator's file: the settings of a traffic shift between two pools of servers.

use crate::site::{Classes, SiteError, Validator};
use ipnet::IpNet;
use laurelroute_shift::analysis::CanaryAnalysis;
use laurelroute_shift::pool::{Pools, Predicate};
use laurelroute_shift::settings::{OnAlarm, ShiftError, ShiftSettings, Split};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use toml::Spanned;
use wildmatch::WildMatch;

/// Upper bound of the durations: one day.
const MAX_SECONDS: f64 = 86_400.0;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ShiftTable {
    name: Spanned<String>,
    old: Spanned<PoolTable>,
    new: Spanned<PoolTable>,
    steps: Option<Spanned<Vec<f64>>>,
    keep_back: Option<Spanned<f64>>,
    least_seconds: Option<Spanned<f64>>,
    watch_seconds: Option<Spanned<f64>>,
    settle_seconds: Option<Spanned<f64>>,
    rest_seconds: Option<Spanned<f64>>,
    false_halts: Option<Spanned<f64>>,
    tolerance: Option<Spanned<f64>>,
    least_fault: Option<Spanned<f64>>,
    box_rate: Option<Spanned<f64>>,
    on_alarm: Option<Spanned<String>>,
    journal: Option<PathBuf>,
    #[serde(default, rename = "class")]
    classes: Vec<ClassTable>,
    #[serde(default, rename = "split")]
    splits: Vec<SplitTable>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct PoolTable {
    #[serde(default)]
    id: Vec<String>,
    #[serde(default)]
    zone: Vec<String>,
    #[serde(default)]
    kind: Vec<String>,
    #[serde(default)]
    version: Vec<String>,
    #[serde(default)]
    network: Vec<Spanned<String>>,
    #[serde(default)]
    metadata: BTreeMap<String, Vec<String>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassTable {
    name: Spanned<String>,
    behind: Spanned<usize>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SplitTable {
    name: Spanned<String>,
    groups: toml::Table,
}

/// The validated settings of a shift, except for those that only the platform's configuration holds.
#[derive(Clone, Debug)]
pub struct ShiftConfig {
    /// Settings of the shift.
    pub settings: ShiftSettings,
    /// Path of the journal; relative paths are resolved against the folder of the operator's file.
    pub journal: Option<PathBuf>,
}

impl ShiftConfig {
    /// Describes the shift's steps and statistical bounds in a few lines.
    pub(crate) fn summary(&self) -> String {
        let settings = &self.settings;
        let steps: Vec<String> = settings.steps.iter().map(|s| format!("{}%", 100.0 * s)).collect();
        let mut text = format!("shift {}: {}", settings.name, steps.join(", "));
        if let Ok(cells) = settings.cells() {
            let analysis = CanaryAnalysis::new(cells, settings.bounds);
            let requests = analysis.required_outcomes(0, 0.001, settings.min_detectable_fault);
            text += &format!(
                "; {} cells, a healthy pool is halted with a probability of at most {}; to detect a fault of {}% a step needs \
                 about {requests} requests of the new pool",
                analysis.cells.len(),
                settings.bounds.false_alarm_rate,
                100.0 * settings.min_detectable_fault,
            );
        }
        text
    }
}

/// Compiles wildcard patterns.
fn patterns(texts: &[String]) -> Vec<WildMatch> {
    texts.iter().map(|t| WildMatch::new(t)).collect()
}

impl PoolTable {
    /// Converts the conditions under `shift.{key}` to a predicate on servers.
    fn predicate(&self, validator: &Validator<'_>, key: &str) -> Result<Predicate, SiteError> {
        let network = |text: &Spanned<String>| {
            text.get_ref().parse::<IpNet>().map_err(|_| {
                let message = format!(
                    "`shift.{key}.network`: `{}` is not a network, such as 10.2.0.0/16",
                    text.get_ref()
                );
                validator.error_at(text, message)
            })
        };
        Ok(Predicate {
            ids: patterns(&self.id),
            zones: patterns(&self.zone),
            kinds: patterns(&self.kind),
            versions: patterns(&self.version),
            networks: self.network.iter().map(network).collect::<Result<_, _>>()?,
            metadata: self.metadata.iter().map(|(key, texts)| (key.clone(), patterns(texts))).collect(),
        })
    }
}

impl ShiftTable {
    /// Checks the section against the configured classes, if they are known.
    pub(crate) fn validate(
        self,
        validator: &Validator<'_>,
        classes: Classes<'_>,
    ) -> Result<ShiftConfig, SiteError> {
        let pools = Pools {
            old: self.old.get_ref().predicate(validator, "old")?,
            new: self.new.get_ref().predicate(validator, "new")?,
        };
        let names = match classes {
            Some((names, _)) => names.to_vec(),
            // Without the platform's configuration only the classes named in the file are known.
            None => self.classes.iter().map(|c| c.name.get_ref().clone()).collect(),
        };
        let mut settings = ShiftSettings::new(self.name.get_ref(), pools, names, vec!["any".to_owned()]);
        if let Some(steps) = &self.steps {
            settings.steps = steps.get_ref().iter().map(|s| s / 100.0).collect();
        }
        let percent =
            |v: &Option<Spanned<f64>>, default: f64| v.as_ref().map_or(default, |v| v.get_ref() / 100.0);
        settings.holdback = percent(&self.keep_back, settings.holdback);
        settings.bounds.tolerance = percent(&self.tolerance, settings.bounds.tolerance);
        settings.min_detectable_fault = percent(&self.least_fault, settings.min_detectable_fault);
        settings.bounds.false_alarm_rate =
            self.false_halts.as_ref().map_or(settings.bounds.false_alarm_rate, |v| *v.get_ref());
        settings.server_rate = self.box_rate.as_ref().map(|v| *v.get_ref());
        for (key, value, target) in [
            ("least_seconds", &self.least_seconds, &mut settings.min_step_time),
            ("watch_seconds", &self.watch_seconds, &mut settings.final_step_time),
            ("settle_seconds", &self.settle_seconds, &mut settings.settle_time),
            ("rest_seconds", &self.rest_seconds, &mut settings.restart_cooldown),
        ] {
            let Some(value) = value else { continue };
            let seconds = *value.get_ref();
            if !(0.0..=MAX_SECONDS).contains(&seconds) {
                let message = format!("`shift.{key}` is {seconds}; it must be from 0 to {MAX_SECONDS}");
                return Err(validator.error_at(value, message));
            }
            *target = (seconds * 1e9) as u64;
        }
        settings.on_alarm = match self.on_alarm.as_ref().map(|v| (v, v.get_ref().as_str())) {
            None | Some((_, "undo")) => OnAlarm::Undo,
            Some((_, "hold")) => OnAlarm::Hold,
            Some((value, other)) => {
                return Err(validator.error_at(
                    value,
                    format!("`shift.on_alarm` is `{other}`; allowed values are undo, hold"),
                ));
            }
        };
        self.apply_classes(validator, &mut settings)?;
        for split in &self.splits {
            settings.splits.push(split.validate(validator)?);
        }
        settings.validate().map_err(|e| self.locate_error(validator, &e))?;
        let folder = Path::new(validator.file).parent().unwrap_or(Path::new(""));
        Ok(ShiftConfig { settings, journal: self.journal.as_ref().map(|j| folder.join(j)) })
    }

    /// Sets how many steps each listed class stays behind.
    fn apply_classes(
        &self,
        validator: &Validator<'_>,
        settings: &mut ShiftSettings,
    ) -> Result<(), SiteError> {
        let mut seen = Vec::new();
        for class in &self.classes {
            let name = class.name.get_ref();
            let Some(index) = settings.classes.iter().position(|c| c == name) else {
                let known = settings.classes.join(", ");
                return Err(validator.error_at(
                    &class.name,
                    format!("`shift.class` is `{name}`; the configured classes are {known}"),
                ));
            };
            if seen.contains(&index) {
                return Err(validator.error_at(&class.name, format!("`shift.class` lists `{name}` twice")));
            }
            seen.push(index);
            settings.class_delays[index] = *class.behind.get_ref();
        }
        Ok(())
    }

    /// Adds the position of the key that is the cause of an error found in the settings as a whole.
    fn locate_error(&self, validator: &Validator<'_>, error: &ShiftError) -> SiteError {
        let message = format!("`shift`: {error}");
        let start_of = |value: &Option<Spanned<f64>>| value.as_ref().map(|v| v.span().start);
        let start = match error {
            ShiftError::Everything("old") => Some(self.old.span().start),
            ShiftError::Everything(_) | ShiftError::Same => Some(self.new.span().start),
            ShiftError::Steps => self.steps.as_ref().map(|s| s.span().start),
            ShiftError::Range("false_halts", _) => start_of(&self.false_halts),
            ShiftError::Range("tolerance", _) => start_of(&self.tolerance),
            ShiftError::Range("least_fault", _) => start_of(&self.least_fault),
            ShiftError::Range("keep_back", _) => start_of(&self.keep_back),
            ShiftError::Range("box_rate", _) => start_of(&self.box_rate),
            ShiftError::Range(..) => self.classes.first().map(|c| c.behind.span().start),
            ShiftError::Cells(_) => self.splits.first().map(|s| s.name.span().start),
            ShiftError::Name => None,
        };
        validator.error(Some(start.unwrap_or(self.name.span().start)), message)
    }
}

impl SplitTable {
    /// Checks a split and compiles its patterns.
    fn validate(&self, validator: &Validator<'_>) -> Result<Split, SiteError> {
        let name = self.name.get_ref();
        let not_a_list = |group: &str| {
            validator.error_at(
                &self.name,
                format!("`shift.split.groups.{group}` of `{name}` must be a list of patterns"),
            )
        };
        let mut groups = Vec::new();
        for (group, value) in &self.groups {
            let list = value.as_array().ok_or_else(|| not_a_list(group))?;
            let texts: Option<Vec<String>> = list.iter().map(|v| v.as_str().map(str::to_owned)).collect();
            groups.push((group.clone(), patterns(&texts.ok_or_else(|| not_a_list(group))?)));
        }
        if ["class", "zone", "repeat"].contains(&name.as_str()) {
            return Err(validator.error_at(
                &self.name,
                format!("`shift.split`: `{name}` is always split on and cannot be redefined"),
            ));
        }
        Ok(Split { name: name.clone(), groups })
    }
}

#[cfg(test)]
mod tests {
    use crate::site::Site;

    const VALID: &str = r#"
[shift]
name = "release-42"
old = { version = ["41"] }
new = { version = ["42"], network = ["10.2.0.0/16"] }
steps = [1, 10, 100]
journal = "release-42.journal"

[[shift.class]]
name = "status"
behind = 1

[[shift.split]]
name = "shire"
groups = { north = ["broome-*", "derby"], south = ["albany"] }
"#;

    #[test]
    fn a_shift_is_parsed_and_errors_name_the_key_and_the_line() {
        let shift = Site::parse("deploy/site.toml", VALID, None).unwrap().shift.unwrap();
        assert_eq!(shift.settings.steps, [0.01, 0.1, 1.0]);
        assert_eq!(shift.settings.class_delays, [1]);
        assert_eq!(shift.settings.splits[0].group_index("broome-town"), 0);
        assert_eq!(shift.settings.splits[0].group_index("perth"), 2);
        assert_eq!(shift.journal.unwrap().to_str(), Some("deploy/release-42.journal"));
        for (from, to, line, message) in [
            ("10.2.0.0/16", "10.2.0.0/99", 5, "`shift.new.network`: `10.2.0.0/99` is not a network"),
            ("old = { version = [\"41\"] }", "old = {}", 4, "`old` names no condition"),
            ("steps = [1, 10, 100]", "steps = [10, 1, 100]", 6, "`steps` have to rise"),
            ("steps = [1, 10, 100]", "steps = [1, 10]", 6, "`steps` have to rise"),
            ("steps = [1, 10, 100]", "keep_back = 60", 6, "`keep_back` has to be above 0 and below 50"),
            ("steps = [1, 10, 100]", "on_alarm = \"sleep\"", 6, "`shift.on_alarm` is `sleep`"),
            ("steps = [1, 10, 100]", "watch_seconds = -1", 6, "`shift.watch_seconds` is -1"),
            ("name = \"release-42\"", "name = \"a/b\"", 3, "`name` has to have 1 to 64"),
            ("\"shire\"", "\"zone\"", 14, "`zone` is always split on and cannot be redefined"),
            ("[\"albany\"]", "\"albany\"", 14, "must be a list of patterns"),
            ("behind = 1", "behind = 99", 11, "`behind` has to be 32 steps at most"),
        ] {
            let text = VALID.replacen(from, to, 1);
            assert_ne!(text, VALID, "{from}");
            let error = Site::parse("f", &text, None).unwrap_err();
            assert_eq!(error.line, Some(line), "{error}");
            assert!(error.message.contains(message), "{error}");
        }
    }
}
