//! Measured slopes in a file, one for each name and label.

use super::fit::{Fit, FitError, Shape};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// One measured slope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Names it, with its role ahead of a dot.
    pub name: String,
    /// On which code it was measured: `before` or `after` the mends.
    pub label: String,
    /// Whose cost it is.
    pub role: String,
    /// What grows.
    pub grows: String,
    /// Unit of the figures.
    pub unit: String,
    /// Sizes that were measured.
    pub sizes: Vec<f64>,
    /// Figures at those sizes.
    pub values: Vec<f64>,
    /// The fit to them.
    pub fit: Fit,
    /// How it was measured: counted in process, counted instructions, processor time, the kernel's word.
    pub how: String,
    /// The command.
    pub command: String,
    /// The day, in UTC.
    pub date: String,
}

/// Figures of another measurement of the rig, as its `--json` has them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The command.
    pub command: String,
    /// The day, in UTC.
    pub date: String,
    /// Its figures.
    pub figures: BTreeMap<String, f64>,
}

/// All that is stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    /// Slopes, by name and label.
    pub slopes: Vec<Slope>,
    /// Other measurements, by the rig's name for them.
    #[serde(default)]
    pub runs: BTreeMap<String, Run>,
}

/// Why a store cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file cannot be read or written.
    #[error("{path}: {error}")]
    #[allow(missing_docs)]
    File { path: String, error: std::io::Error },
    /// It is no store.
    #[error("{path}: {error}")]
    #[allow(missing_docs)]
    Malformed { path: String, error: serde_json::Error },
    /// A slope's points do not carry its fit.
    #[error("slope `{name}` ({label}): {error}")]
    #[allow(missing_docs)]
    Unfit { name: String, label: String, error: FitError },
    /// A slope's fit is not the one of its points.
    #[error("slope `{name}` ({label}): its fit is not that of its sizes and values")]
    #[allow(missing_docs)]
    Bent { name: String, label: String },
}

impl Store {
    /// Reads a store and makes every fit again from its points.
    pub fn read(path: &Path) -> Result<Store, StoreError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| StoreError::File { path: name.clone(), error })?;
        let store: Store =
            serde_json::from_str(&text).map_err(|error| StoreError::Malformed { path: name, error })?;
        store.slopes.iter().try_for_each(Slope::sound)?;
        Ok(store)
    }

    /// The same, empty where there is no such file yet.
    pub fn read_or_new(path: &Path) -> Result<Store, StoreError> {
        if path.exists() {
            Store::read(path)
        } else {
            Ok(Store::default())
        }
    }

    /// Writes it.
    pub fn write(&self, path: &Path) -> Result<(), StoreError> {
        let name = path.display().to_string();
        let text = serde_json::to_string_pretty(self)
            .map_err(|error| StoreError::Malformed { path: name.clone(), error })?;
        std::fs::write(path, text + "\n").map_err(|error| StoreError::File { path: name, error })
    }

    /// Takes a slope in, in place of an older one of the same name and label.
    pub fn put(&mut self, slope: Slope) {
        self.slopes.retain(|s| (&s.name, &s.label) != (&slope.name, &slope.label));
        let at =
            self.slopes.partition_point(|s| (&s.name, rank(&s.label)) < (&slope.name, rank(&slope.label)));
        self.slopes.insert(at, slope);
    }

    /// A slope as it was measured on the code with this label.
    pub fn labelled(&self, name: &str, label: &str) -> Option<&Slope> {
        self.slopes.iter().find(|s| s.name == name && s.label == label)
    }

    /// A slope of the code as it stands: `after` where that is measured, else `before`.
    pub fn latest(&self, name: &str) -> Option<&Slope> {
        self.labelled(name, "after").or_else(|| self.labelled(name, "before"))
    }
}

/// `before` comes before `after`.
fn rank(label: &str) -> (bool, &str) {
    (label != "before", label)
}

impl Slope {
    /// Whether its fit is that of its points.
    fn sound(&self) -> Result<(), StoreError> {
        let (name, label) = (self.name.clone(), self.label.clone());
        let shape: Shape = self.fit.shape;
        let fit = match Fit::of(shape, &self.sizes, &self.values) {
            Ok(fit) => fit,
            Err(error) => return Err(StoreError::Unfit { name, label, error }),
        };
        let near = |a: f64, b: f64| (a - b).abs() <= 1e-6 * (a.abs() + b.abs()) + 1e-6;
        let pairs = [
            (fit.base, self.fit.base),
            (fit.slope, self.fit.slope),
            (fit.error, self.fit.error),
            (fit.miss, self.fit.miss),
        ];
        match pairs.into_iter().all(|(a, b)| near(a, b)) {
            true => Ok(()),
            false => Err(StoreError::Bent { name, label }),
        }
    }
}
