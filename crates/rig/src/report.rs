//! Tables, the `RESULT` line and its JSON.

use crate::Common;
use serde_json::{Map, Value};

/// Why a measurement failed: it could not be made, or a promise was broken.
#[derive(Debug)]
pub struct Failure(pub String);

impl<E: std::error::Error> From<E> for Failure {
    fn from(error: E) -> Self {
        Failure(error.to_string())
    }
}

/// Prints rows under heads, columns aligned.
pub fn table(heads: &[&str], rows: &[Vec<String>]) {
    let width = |k: usize| rows.iter().map(|r| r[k].len()).chain([heads[k].len()]).max().unwrap_or(0);
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let cells: Vec<String> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:>width$}")).collect();
        println!("{}", cells.join("  "));
    };
    line(heads.to_vec());
    rows.iter().for_each(|row| line(row.iter().map(String::as_str).collect()));
}

/// A measurement's figures, by key.
#[derive(Debug, Default)]
pub struct Outcome(Map<String, Value>);

impl Outcome {
    /// Adds a figure, rounded to three places.
    pub fn put(&mut self, key: impl Into<String>, value: f64) {
        self.0.insert(key.into(), ((value * 1000.0).round() / 1000.0).into());
    }

    /// Prints the `RESULT` line and writes the JSON.
    pub fn close(self, name: &str, common: &Common) -> Result<(), Failure> {
        let pairs: Vec<String> = self.0.iter().map(|(key, value)| format!("{key}={value}")).collect();
        println!("RESULT {name} {}", pairs.join(" "));
        if let Some(path) = &common.json {
            let json = serde_json::json!({"name": name, "seed": common.seed, "figures": self.0});
            std::fs::write(path, format!("{json:#}\n"))?;
        }
        Ok(())
    }
}

/// The figure that this part of them, from 0 to 1, does not exceed; 0 where there is none.
pub fn quantile(mut figures: Vec<u64>, part: f64) -> u64 {
    figures.sort_unstable();
    let at = ((figures.len() as f64 * part) as usize).min(figures.len().saturating_sub(1));
    figures.get(at).copied().unwrap_or(0)
}

/// The middle of some figures.
pub fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    match figures.len() {
        0 => f64::NAN,
        n if n % 2 == 1 => figures[n / 2],
        n => (figures[n / 2 - 1] + figures[n / 2]) / 2.0,
    }
}
