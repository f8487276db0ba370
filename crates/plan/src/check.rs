//! Validation of reports, shared by plans and services. A report is checked as a whole before any of it is applied.

use crate::member::MAX_NAME_BYTES;
use crate::planner::ReportError;
use crate::wire::Report;

/// Maximum number of rows in one report; a forwarder sends the rest in the next one.
const MAX_REPORT_ROWS: usize = 4_096;

/// Rejects a report that contains any invalid value.
pub(crate) fn check(report: &Report) -> Result<(), ReportError> {
    let rows = report.rows.len() + report.dropped.len() + report.closed.len();
    if rows > MAX_REPORT_ROWS {
        return Err(ReportError::Rows(rows));
    }
    if report.following.len() > MAX_NAME_BYTES {
        return Err(ReportError::Name(report.following.len()));
    }
    let check_value = |server: &str, field, value: f32, max: f32| {
        if (0.0..=max).contains(&value) {
            return Ok(());
        }
        let server = server.chars().take(MAX_NAME_BYTES).collect();
        Err(ReportError::InvalidValue { server, field, value: value.to_string() })
    };
    for row in &report.rows {
        if row.name.is_empty() || row.name.len() > MAX_NAME_BYTES {
            return Err(ReportError::Name(row.name.len()));
        }
        check_value(&row.name, "accomplished", row.score, 1e12)?;
        check_value(&row.name, "lag", row.relative_latency, 1e9)?;
        check_value(&row.name, "faults", row.failure_rate, 1.0)?;
    }
    for share in report.classes.iter().chain(&report.tenants) {
        check_value(&share.name, "rate", share.rate, 1e9)?;
    }
    Ok(())
}
