//! The status of a shift, as data and as text.

use crate::analysis::{Signal, Tally, SIGNALS};
use crate::rollout::{Change, Rollout, State};
use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// Maximum number of comparisons in a status, strongest evidence first.
pub const MAX_ROWS: usize = 64;

/// One comparison.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The cell's name.
    pub cell: String,
    /// What is compared.
    pub signal: Signal,
    /// Old pool.
    pub old: Tally,
    /// New pool.
    pub new: Tally,
    /// Evidence against the new pool as a part of the alarm threshold; below 0 it is in its favor.
    pub doubt: f64,
    /// The smallest fault that would have been detected by now, if any.
    pub least_fault: Option<f64>,
}

/// A shift's status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The shift.
    pub name: String,
    /// The name of its state.
    pub state: String,
    /// Time in the state, in seconds.
    pub seconds: f64,
    /// The step, from 1, and how many there are.
    #[serde(rename = "rung")]
    pub step: (usize, usize),
    /// Each class with its current share and that of the step.
    pub shares: Vec<(String, f64, f64)>,
    /// Servers that take work, old and new.
    #[serde(rename = "boxes")]
    pub servers: (usize, usize),
    /// Explanation of the state.
    pub why: String,
    /// The part of the work that the old pool could not take back.
    pub stays: f64,
    /// Comparisons, strongest evidence first.
    pub rows: Vec<Row>,
    /// Cells with too few outcomes on this step.
    pub thin: Vec<String>,
    /// The last changes of state.
    pub changes: Vec<Change>,
}

/// The current status of a shift.
pub fn status(rollout: &Rollout, now: Nanos) -> Status {
    let wanted = match rollout.state() {
        State::Step { .. } | State::Held { .. } => {
            rollout.apply_holdback(rollout.settings.shares(rollout.step()))
        }
        State::Finished => rollout.settings.shares(rollout.step()),
        _ => vec![0.0; rollout.shares().len()],
    };
    let names = rollout.settings.classes.iter().cloned();
    let shares = names.zip(rollout.shares()).zip(wanted).map(|((n, s), w)| (n, *s, w)).collect();
    Status {
        name: rollout.settings.name.clone(),
        state: rollout.state_name().to_owned(),
        seconds: now.saturating_sub(rollout.state_since()) as f64 / 1e9,
        step: (rollout.step() + 1, rollout.settings.step_count()),
        shares,
        servers: (rollout.pool_status().old, rollout.pool_status().new),
        why: rollout.explain_state(now),
        stays: rollout.capacity_plan().stays,
        rows: rows(rollout),
        thin: rollout
            .analysis
            .sparse_cells()
            .take(MAX_ROWS)
            .map(|c| rollout.analysis.cells.name(c))
            .collect(),
        changes: rollout.changes().cloned().collect(),
    }
}

fn rows(rollout: &Rollout) -> Vec<Row> {
    let analysis = &rollout.analysis;
    let mut rows: Vec<Row> = Vec::new();
    for cell in 0..analysis.cells.len() {
        for signal in SIGNALS {
            let comparison = analysis.comparison(cell, signal);
            if comparison.new.of == 0 {
                continue;
            }
            let least_fault = analysis.detectable_fault(
                cell,
                comparison.old.rate(),
                (comparison.old.of, comparison.new.of),
            );
            let doubt = comparison.evidence() / analysis.alarm_threshold(cell);
            let (cell, old, new) = (analysis.cells.name(cell), comparison.old, comparison.new);
            rows.push(Row { cell, signal, old, new, doubt, least_fault });
        }
    }
    rows.sort_by(|a, b| b.doubt.total_cmp(&a.doubt));
    rows.truncate(MAX_ROWS);
    rows
}

impl Status {
    /// The status as plain text for a terminal of 80 columns or a file.
    pub fn plain(&self, rows: usize) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "shift {}: {} for {:.0} s, step {} of {}",
            self.name, self.state, self.seconds, self.step.0, self.step.1
        );
        let shares = self.shares.iter().map(|(name, now, wanted)| {
            let aim = if (now - wanted).abs() > 1e-6 {
                format!(" of {:.0}%", 100.0 * wanted)
            } else {
                String::new()
            };
            format!("{name} {:.1}%{aim}", 100.0 * now)
        });
        let _ = writeln!(text, "to the new pool: {}", shares.collect::<Vec<_>>().join(", "));
        let _ = writeln!(text, "boxes that take work: {} old, {} new", self.servers.0, self.servers.1);
        let _ = writeln!(text, "why: {}", self.why);
        if self.stays > 0.0 {
            let _ = writeln!(text, "an undo would leave {:.0}% with the new pool", 100.0 * self.stays);
        }
        if !self.rows.is_empty() {
            let _ =
                writeln!(text, "{:<34} {:<8} {:>12} {:>12} {:>7}", "cell", "signal", "old", "new", "doubt");
        }
        for row in self.rows.iter().take(rows) {
            let part = |t: Tally| format!("{}/{}", t.bad, t.of);
            let cell: String = row.cell.chars().take(34).collect();
            let signal = format!("{:?}", row.signal).to_lowercase();
            let _ = writeln!(
                text,
                "{cell:<34} {signal:<8} {:>12} {:>12} {:>6.0}%",
                part(row.old),
                part(row.new),
                100.0 * row.doubt.max(-9.99)
            );
        }
        if !self.thin.is_empty() {
            let names = self.thin.iter().take(4).cloned().collect::<Vec<_>>().join("; ");
            let more = if self.thin.len() > 4 {
                format!(" and {} more", self.thin.len() - 4)
            } else {
                String::new()
            };
            let _ = writeln!(text, "too thin to judge on this step: {names}{more}");
        }
        text
    }

    /// The history of changes, one per line.
    pub fn history(&self) -> String {
        let mut text = String::new();
        for change in &self.changes {
            let state = serde_json::to_string(&change.state).unwrap_or_default();
            let shares: Vec<String> = change.shares.iter().map(|s| format!("{:.1}%", 100.0 * s)).collect();
            let _ = writeln!(
                text,
                "{:>10.1} s  {state} [{}] by {}: {}",
                change.at as f64 / 1e9,
                shares.join(" "),
                change.who,
                change.why
            );
        }
        text
    }
}
