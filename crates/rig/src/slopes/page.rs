//! The tables of `docs/CAPACITY.md`. Each stands between two marks and is made of the stored slopes alone; what stands
//! around them is people's.

use super::fit::{Fit, Shape};
use super::reckoning::{Reckoning, RECKONINGS, ROLES};
use super::store::{Slope, Store};
use super::text::{figure, grouped, with_unit};

/// Why a page and its slopes do not go together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// A mark names no table.
    #[error("line {0}: there is no table `{1}`")]
    Unknown(usize, String),
    /// A table has no end.
    #[error("line {0}: the table `{1}` has no end")]
    Open(usize, String),
    /// A table is not on the page.
    #[error("the page has no table `{0}`")]
    Missing(String),
    /// A table stands on the page twice.
    #[error("line {0}: the table `{1}` stands here again")]
    Twice(usize, String),
    /// The page says something else than the slopes.
    #[error("line {line}: the page says `{page}`, the slopes say `{slopes}`")]
    #[allow(missing_docs)]
    Differs { line: usize, page: String, slopes: String },
}

/// Names of all tables.
pub fn tables() -> Vec<String> {
    ["slopes", "runs"].into_iter().chain(ROLES).map(str::to_owned).collect()
}

fn begin(name: &str) -> String {
    format!("<!-- table: {name} -->")
}

const END: &str = "<!-- end of table -->";

/// The page with all its tables made anew.
pub fn fill(page: &str, store: &Store) -> Result<String, PageError> {
    let (mut filled, mut seen) = (String::new(), Vec::<String>::new());
    let mut lines = page.lines().enumerate();
    while let Some((at, line)) = lines.next() {
        filled += line;
        filled.push('\n');
        let name = line.trim().strip_prefix("<!-- table: ").and_then(|l| l.strip_suffix(" -->"));
        let Some(name) = name else { continue };
        if seen.iter().any(|s| s == name) {
            return Err(PageError::Twice(at + 1, name.to_owned()));
        }
        filled += &table(name, store).ok_or_else(|| PageError::Unknown(at + 1, name.to_owned()))?;
        let end = lines.find(|(_, l)| l.trim() == END || l.trim().starts_with("<!-- table: "));
        if end.is_none_or(|(_, l)| l.trim() != END) {
            return Err(PageError::Open(at + 1, name.to_owned()));
        }
        filled += END;
        filled.push('\n');
        seen.push(name.to_owned());
    }
    match tables().into_iter().find(|t| !seen.contains(t)) {
        Some(missing) => Err(PageError::Missing(missing)),
        None => Ok(filled),
    }
}

/// Whether the page says what the slopes say; the first line where it does not.
pub fn check(page: &str, store: &Store) -> Result<(), PageError> {
    let filled = fill(page, store)?;
    let (mut ours, mut theirs) = (filled.lines(), page.lines());
    for line in 1.. {
        match (ours.next(), theirs.next()) {
            (None, None) => break,
            (slopes, page) if slopes == page => {}
            (slopes, page) => {
                let text = |l: Option<&str>| l.unwrap_or("(nothing)").to_owned();
                return Err(PageError::Differs { line, page: text(page), slopes: text(slopes) });
            }
        }
    }
    Ok(())
}

/// An empty page, with the marks of all tables.
pub fn blank() -> String {
    tables().iter().map(|t| format!("{}\n{END}\n", begin(t))).collect()
}

fn rows(heads: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
    let heads: Vec<String> = heads.iter().map(|h| (*h).to_owned()).collect();
    let rule: Vec<String> = heads.iter().map(|_| "---".to_owned()).collect();
    let all: String = rows.iter().map(|r| line(r)).collect();
    line(&heads) + &line(&rule) + &all
}

fn table(name: &str, store: &Store) -> Option<String> {
    match name {
        "slopes" => Some(slopes(store)),
        "runs" => Some(runs(store)),
        role if ROLES.contains(&role) => Some(role_table(role, store)),
        _ => None,
    }
}

fn fit_text(fit: &Fit, unit: &str) -> String {
    let error = with_unit(fit.error, unit);
    match fit.shape {
        Shape::Line => {
            format!("{} + {} each (+- {error})", with_unit(fit.base, unit), with_unit(fit.slope, unit))
        }
        Shape::Power => {
            format!("{} x size^{:.2} (+- {:.2})", with_unit(fit.base, unit), fit.slope, fit.error)
        }
    }
}

fn slopes(store: &Store) -> String {
    let row = |s: &Slope| {
        let sizes: Vec<String> = s.sizes.iter().map(|v| grouped(*v)).collect();
        let values: Vec<String> = s.values.iter().map(|v| figure(*v)).collect();
        vec![
            format!("`{}`", s.name),
            s.label.clone(),
            s.grows.clone(),
            sizes.join(" / "),
            values.join(" / "),
            s.unit.clone(),
            fit_text(&s.fit, &s.unit),
            format!("{}%", figure(100.0 * s.fit.miss)),
            s.how.clone(),
            format!("`{}`", s.command),
            s.date.clone(),
        ]
    };
    rows(
        &[
            "slope",
            "code",
            "grows with",
            "sizes",
            "figures",
            "unit",
            "fit",
            "worst miss",
            "how",
            "command",
            "day",
        ],
        &store.slopes.iter().map(row).collect::<Vec<_>>(),
    )
}

fn runs(store: &Store) -> String {
    let row = |(name, run): (&String, &super::store::Run)| {
        let figures: Vec<String> = run.figures.iter().map(|(k, v)| format!("{k} {}", figure(*v))).collect();
        vec![name.clone(), figures.join("; "), format!("`{}`", run.command), run.date.clone()]
    };
    rows(&["run", "figures", "command", "day"], &store.runs.iter().map(row).collect::<Vec<_>>())
}

/// The reckoning of one row in figures, and what it comes to; `None` where a slope is not measured.
fn reckon(r: &Reckoning, slope: &Slope, store: &Store) -> Option<(String, f64)> {
    let (fit, size) = (&slope.fit, grouped(r.at));
    let mut text = match fit.shape {
        Shape::Line => format!("{} + {size} x {}", figure(fit.base), figure(fit.slope)),
        Shape::Power => format!("{} x {size}^{:.2}", figure(fit.base), fit.slope),
    };
    let mut comes_to = fit.at(r.at);
    for (name, at) in r.also {
        let further = store.latest(name)?;
        text += &format!(" + {} x {} (`{name}`)", grouped(*at), figure(further.fit.slope));
        comes_to += further.fit.slope * at;
    }
    if r.times.0 != 1.0 {
        text = format!("({text}) x {} {}", figure(r.times.0), r.times.1);
    }
    Some((text, comes_to * r.times.0))
}

fn role_table(role: &str, store: &Store) -> String {
    let row = |r: &Reckoning| {
        let reckoned = store.latest(r.slope).and_then(|slope| Some((slope, reckon(r, slope, store)?)));
        let Some((slope, (text, comes_to))) = reckoned else {
            let dash = || "-".to_owned();
            return vec![
                r.what.to_owned(),
                format!("`{}`", r.slope),
                dash(),
                dash(),
                "not run".to_owned(),
                dash(),
                dash(),
            ];
        };
        let most = slope.sizes.iter().copied().fold(0.0, f64::max);
        let headroom = r.allowed.map(|allowed| match comes_to <= allowed {
            true => format!("{} times", figure(allowed / comes_to)),
            false => format!("**over, {} times**", figure(comes_to / allowed)),
        });
        vec![
            r.what.to_owned(),
            format!("`{}` ({})", r.slope, slope.label),
            grouped(most),
            text,
            with_unit(comes_to, r.unit),
            r.allowed.map_or_else(|| "-".to_owned(), |a| with_unit(a, r.unit)),
            headroom.unwrap_or_else(|| "-".to_owned()),
        ]
    };
    let all: Vec<Vec<String>> = RECKONINGS.iter().filter(|r| r.role == role).map(row).collect();
    rows(&["what", "slope", "measured up to", "reckoning", "comes to", "allowed", "headroom"], &all)
}
