//! Whether a report makes sense: looked at before anything of it counts, the same for plans and for services.

use crate::member::MAX_NAME_BYTES;
use crate::planner::ReportError;
use crate::wire::Report;

/// Rows of one report that are taken; a forwarder says the rest in the next.
const MOST_SEEN: usize = 4_096;

/// Refuses a report of which any part makes no sense.
pub(crate) fn check(report: &Report) -> Result<(), ReportError> {
    let rows = report.rows.len() + report.dropped.len() + report.closed.len();
    if rows > MOST_SEEN {
        return Err(ReportError::Rows(rows));
    }
    if report.following.len() > MAX_NAME_BYTES {
        return Err(ReportError::Name(report.following.len()));
    }
    let figure = |server: &str, field, value: f32, most: f32| {
        if (0.0..=most).contains(&value) {
            return Ok(());
        }
        let server = server.chars().take(MAX_NAME_BYTES).collect();
        Err(ReportError::InvalidValue { server, field, value: value.to_string() })
    };
    for row in &report.rows {
        if row.name.is_empty() || row.name.len() > MAX_NAME_BYTES {
            return Err(ReportError::Name(row.name.len()));
        }
        figure(&row.name, "accomplished", row.score, 1e12)?;
        figure(&row.name, "lag", row.relative_latency, 1e9)?;
        figure(&row.name, "faults", row.failure_rate, 1.0)?;
    }
    for portion in report.classes.iter().chain(&report.tenants) {
        figure(&portion.name, "rate", portion.rate, 1e9)?;
    }
    Ok(())
}
