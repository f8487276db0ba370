//! `laurelroute shift watch`: a live view for a terminal of 80 by 24, that says everything without colour as well.

use super::cli::{status, ShiftCommandError};
use laurelroute_shift::explain::{Row, Status};
use ratatui::crossterm::event::{self, Event, KeyCode};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Modifier, Style};
use ratatui::widgets::{Block, Cell, Gauge, Paragraph, Row as Line, Table, Wrap};
use ratatui::Frame;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::time::Duration;

/// The least and the most time between two looks, in seconds.
const EVERY: (f64, f64) = (0.2, 3600.0);

pub(super) fn run(at: Option<SocketAddr>, every: f64) -> Result<(), ShiftCommandError> {
    let pause =
        Duration::from_secs_f64(if every.is_finite() { every.clamp(EVERY.0, EVERY.1) } else { EVERY.0 });
    if !std::io::stdout().is_terminal() {
        return plain(at, pause);
    }
    // What cannot be had at all is said before the screen is taken.
    let mut shown = status(at)?;
    let mut terminal = ratatui::init();
    let outcome = loop {
        if let Err(error) = terminal.draw(|frame| draw(frame, &shown)) {
            break Err(error.into());
        }
        match quits(pause) {
            Ok(true) => break Ok(()),
            Ok(false) => {}
            Err(error) => break Err(error.into()),
        }
        match status(at) {
            Ok(status) => shown = status,
            // A node that is restarted is back soon.
            Err(error) => shown.why = format!("no answer: {error}"),
        }
    };
    ratatui::restore();
    outcome
}

fn quits(within: Duration) -> std::io::Result<bool> {
    if !event::poll(within)? {
        return Ok(false);
    }
    Ok(matches!(event::read()?, Event::Key(key) if matches!(key.code, KeyCode::Char('q') | KeyCode::Esc)))
}

/// One line a change, for files and pipes; ends with the shift.
fn plain(at: Option<SocketAddr>, pause: Duration) -> Result<(), ShiftCommandError> {
    let mut last = String::new();
    loop {
        let status = status(at)?;
        let shares: Vec<String> =
            status.shares.iter().map(|(n, s, _)| format!("{n}={:.1}%", 100.0 * s)).collect();
        let line = format!(
            "{} {} rung {}/{}: {}",
            status.state,
            shares.join(" "),
            status.rung.0,
            status.rung.1,
            status.why
        );
        if line != last {
            println!("{line}");
            last = line;
        }
        if ["undone", "finished", "abandoned"].contains(&status.state.as_str()) {
            return Ok(());
        }
        std::thread::sleep(pause);
    }
}

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
    let head = format!(
        "shift {}: {} for {:.0} s, rung {} of {}\nboxes that take work: {} old, {} new\nwhy: {}",
        status.name,
        status.state,
        status.seconds,
        status.rung.0,
        status.rung.1,
        status.boxes.0,
        status.boxes.1,
        status.why
    );
    frame.render_widget(Paragraph::new(head).wrap(Wrap { trim: true }), areas[0]);
    shares(frame, areas[1], status);
    frame.render_widget(cells(status), areas[2]);
    let changes: Vec<String> =
        status.changes.iter().rev().take(3).map(|c| format!("{}: {}", c.who, c.why)).collect();
    let block = Block::new().title("last changes");
    frame.render_widget(Paragraph::new(changes.join("\n")).block(block), areas[3]);
    frame.render_widget(Paragraph::new("q ends this view; the shift goes on"), areas[4]);
}

fn shares(frame: &mut Frame<'_>, area: Rect, status: &Status) {
    for (k, (name, now, wanted)) in status.shares.iter().enumerate().take(usize::from(area.height)) {
        let line = Rect { y: area.y + k as u16, height: 1, ..area };
        let label = format!("{name} {:.1}% of {:.0}%", 100.0 * now, 100.0 * wanted);
        frame.render_widget(Gauge::default().ratio(now.clamp(0.0, 1.0)).label(label), line);
    }
}

fn cells(status: &Status) -> Table<'_> {
    let part = |t: laurelroute_shift::judge::Tally| format!("{}/{}", t.bad, t.of);
    let line = |row: &Row| {
        let signal = format!("{:?}", row.signal).to_lowercase();
        let least = row.least_fault.map_or("-".to_owned(), |l| format!("{:.1}%", 100.0 * l));
        let doubt = format!("{:.0}%", 100.0 * row.doubt.max(-9.99));
        // Told by a mark as well as by its weight: not everybody sees either.
        let (mark, style) = match row.doubt {
            d if d >= 1.0 => ("!", Style::new().add_modifier(Modifier::BOLD | Modifier::REVERSED)),
            d if d >= 0.5 => ("?", Style::new().add_modifier(Modifier::BOLD)),
            _ => (" ", Style::new()),
        };
        let cells = [format!("{mark} {}", row.cell), signal, part(row.old), part(row.new), doubt, least];
        Line::new(cells.map(Cell::from)).style(style)
    };
    let widths = [34, 8, 12, 11, 6, 6].map(Constraint::Length);
    let head = Line::new(["  cell", "signal", "old", "new", "doubt", "sees"]);
    Table::new(status.rows.iter().map(line), widths).header(head).column_spacing(0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use laurelroute_shift::judge::{Signal, Tally};
    use ratatui::backend::TestBackend;
    use ratatui::Terminal;

    #[test]
    fn everything_is_readable_at_80_by_24_without_colour() {
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
            rung: (2, 5),
            shares: vec![("status".into(), 0.05, 0.05), ("acknowledge".into(), 0.01, 0.05)],
            boxes: (40, 38),
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
        for said in [
            "release-42: stepping",
            "rung 2 of 5",
            "acknowledge 1.0% of 5%",
            "! class=acknowledge",
            "12/100000",
            "30/1000",
            "120%",
            "1.3%",
            "1.0% of acknowledge now",
        ] {
            assert!(text.contains(said), "{said} is not to be seen in {text}");
        }
    }
}
