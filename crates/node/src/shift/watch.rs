//! `laurelroute shift watch`: a live view of the shift's status for a terminal of 80 by 24, readable without colour
//! as well.

use super::cli::{fetch_status, ShiftCommandError};
use laurelroute_shift::explain::{Row, Status};
use ratatui::crossterm::event::{self, Event, KeyCode};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Modifier, Style};
use ratatui::widgets::{Block, Cell, Gauge, Paragraph, Row as Line, Table, Wrap};
use ratatui::Frame;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum and maximum interval between two updates, in seconds.
const INTERVAL_SECONDS: (f64, f64) = (0.2, 3600.0);

/// Shows the status every `every` seconds until the view is closed.
pub(super) fn run(at: Option<SocketAddr>, every: f64) -> Result<(), ShiftCommandError> {
    let interval = Duration::from_secs_f64(if every.is_finite() {
        every.clamp(INTERVAL_SECONDS.0, INTERVAL_SECONDS.1)
    } else {
        INTERVAL_SECONDS.0
    });
    if !std::io::stdout().is_terminal() {
        return print_changes(at, interval);
    }
    // Fetched before the screen is switched, so that a failure is reported as an ordinary error.
    let mut shown = fetch_status(at)?;
    let mut terminal = ratatui::init();
    let outcome = loop {
        if let Err(error) = terminal.draw(|frame| draw(frame, &shown)) {
            break Err(error.into());
        }
        match quit_requested(interval) {
            Ok(true) => break Ok(()),
            Ok(false) => {}
            Err(error) => break Err(error.into()),
        }
        match fetch_status(at) {
            Ok(status) => shown = status,
            // The node may be restarting: keep trying.
            Err(error) => shown.why = format!("no response: {error}"),
        }
    };
    ratatui::restore();
    outcome
}

/// Waits up to `within` for a key; true where it ends the view.
fn quit_requested(within: Duration) -> std::io::Result<bool> {
    if !event::poll(within)? {
        return Ok(false);
    }
    Ok(matches!(event::read()?, Event::Key(key) if matches!(key.code, KeyCode::Char('q') | KeyCode::Esc)))
}

/// Prints one line per change, for files and pipes; returns when the shift ends.
fn print_changes(at: Option<SocketAddr>, interval: Duration) -> Result<(), ShiftCommandError> {
    let mut last = String::new();
    loop {
        let status = fetch_status(at)?;
        let shares: Vec<String> =
            status.shares.iter().map(|(n, s, _)| format!("{n}={:.1}%", 100.0 * s)).collect();
        let line = format!(
            "{} {} step {}/{}: {}",
            status.state,
            shares.join(" "),
            status.step.0,
            status.step.1,
            status.why
        );
        if line != last {
            println!("{line}");
            last = line;
        }
        if ["undone", "finished", "abandoned"].contains(&status.state.as_str()) {
            return Ok(());
        }
        std::thread::sleep(interval);
    }
}

/// Draws the whole view.
fn draw(frame: &mut Frame<'_>, status: &Status) {
    let classes = status.shares.len().clamp(1, 4) as u16;
    let areas = Layout::vertical([
        Constraint::Length(3),
        Constraint::Length(classes),
        Constraint::Min(5),
        Constraint::Length(4),
        Constraint::Length(1),
    ])
    .split(frame.area());
    let header = format!(
        "shift {}: {} for {:.0} s, step {} of {}\nservers in use: {} old, {} new\nreason: {}",
        status.name,
        status.state,
        status.seconds,
        status.step.0,
        status.step.1,
        status.servers.0,
        status.servers.1,
        status.why
    );
    frame.render_widget(Paragraph::new(header).wrap(Wrap { trim: true }), areas[0]);
    draw_shares(frame, areas[1], status);
    frame.render_widget(comparison_table(status), areas[2]);
    let changes: Vec<String> =
        status.changes.iter().rev().take(3).map(|c| format!("{}: {}", c.who, c.why)).collect();
    let block = Block::new().title("last changes");
    frame.render_widget(Paragraph::new(changes.join("\n")).block(block), areas[3]);
    frame.render_widget(Paragraph::new("q closes this view; the shift continues"), areas[4]);
}

/// Draws a gauge per class: the new pool's share now, of the wanted share.
fn draw_shares(frame: &mut Frame<'_>, area: Rect, status: &Status) {
    for (index, (name, now, wanted)) in status.shares.iter().enumerate().take(usize::from(area.height)) {
        let line = Rect { y: area.y + index as u16, height: 1, ..area };
        let label = format!("{name} {:.1}% of {:.0}%", 100.0 * now, 100.0 * wanted);
        frame.render_widget(Gauge::default().ratio(now.clamp(0.0, 1.0)).label(label), line);
    }
}

/// The comparisons of the two pools, the most suspicious first.
fn comparison_table(status: &Status) -> Table<'_> {
    let ratio = |tally: laurelroute_shift::analysis::Tally| format!("{}/{}", tally.bad, tally.of);
    let line = |row: &Row| {
        let signal = format!("{:?}", row.signal).to_lowercase();
        let detectable = row.least_fault.map_or("-".to_owned(), |l| format!("{:.1}%", 100.0 * l));
        let doubt = format!("{:.0}%", 100.0 * row.doubt.max(-9.99));
        // Marked by a character as well as by its weight, for readers who cannot see one of them.
        let (mark, style) = match row.doubt {
            d if d >= 1.0 => ("!", Style::new().add_modifier(Modifier::BOLD | Modifier::REVERSED)),
            d if d >= 0.5 => ("?", Style::new().add_modifier(Modifier::BOLD)),
            _ => (" ", Style::new()),
        };
        let cells =
            [format!("{mark} {}", row.cell), signal, ratio(row.old), ratio(row.new), doubt, detectable];
        Line::new(cells.map(Cell::from)).style(style)
    };
    let widths = [34, 8, 12, 11, 6, 6].map(Constraint::Length);
    let header = Line::new(["  cell", "signal", "old", "new", "doubt", "sees"]);
    Table::new(status.rows.iter().map(line), widths).header(header).column_spacing(0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use laurelroute_shift::analysis::{Signal, Tally};
    use ratatui::backend::TestBackend;
    use ratatui::Terminal;

    #[test]
    fn the_view_is_complete_at_80_by_24_without_colour() {
        let row = Row {
            cell: "class=acknowledge".into(),
            signal: Signal::Failed,
            old: Tally { of: 100_000, bad: 12 },
            new: Tally { of: 1000, bad: 30 },
            doubt: 1.2,
            least_fault: Some(0.013),
        };
        let status = Status {
            name: "release-42".into(),
            state: "stepping".into(),
            seconds: 12.0,
            step: (2, 5),
            shares: vec![("status".into(), 0.05, 0.05), ("acknowledge".into(), 0.01, 0.05)],
            servers: (40, 38),
            why: "the new pool carries 1.0% of acknowledge now, 5% is wanted".into(),
            stays: 0.0,
            rows: vec![row],
            thin: Vec::new(),
            changes: Vec::new(),
        };
        let mut terminal = Terminal::new(TestBackend::new(80, 24)).unwrap();
        terminal.draw(|frame| draw(frame, &status)).unwrap();
        let buffer = terminal.backend().buffer();
        let text: String = buffer.content().iter().map(|c| c.symbol()).collect();
        for expected in [
            "release-42: stepping",
            "step 2 of 5",
            "acknowledge 1.0% of 5%",
            "! class=acknowledge",
            "12/100000",
            "30/1000",
            "120%",
            "1.3%",
            "1.0% of acknowledge now",
        ] {
            assert!(text.contains(expected), "`{expected}` is missing in {text}");
        }
    }
}
