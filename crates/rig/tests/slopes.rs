//! Slopes: the fit, the file, and the page that is made of them.

use laurelroute_rig::slopes::fit::{Fit, FitError, Shape};
use laurelroute_rig::slopes::page::{blank, check, fill, tables, PageError};
use laurelroute_rig::slopes::reckoning::first_that_grows;
use laurelroute_rig::slopes::store::{Slope, Store, StoreError};
use laurelroute_rig::slopes::text;
use std::path::PathBuf;

const SIZES: [f64; 4] = [1_000.0, 5_000.0, 10_000.0, 40_000.0];

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-9 * (a.abs() + b.abs() + 1.0)
}

fn slope(name: &str, label: &str, values: [f64; 4]) -> Slope {
    Slope {
        name: name.into(),
        label: label.into(),
        role: "node".into(),
        grows: "servers in one list".into(),
        unit: "bytes".into(),
        sizes: SIZES.to_vec(),
        values: values.to_vec(),
        fit: Fit::of(Shape::Line, &SIZES, &values).unwrap(),
        how: "counted".into(),
        command: "rig capacity --only list".into(),
        date: "2026-12-02".into(),
    }
}

fn store() -> Store {
    let mut store = Store::default();
    store.put(slope("node.list.held", "after", SIZES.map(|s| 5_000.0 + 300.0 * s)));
    store.put(slope("node.list.held", "before", SIZES.map(|s| 5_000.0 + 800.0 * s)));
    store
}

#[test]
fn a_line_is_found_again_without_an_error() {
    let values = SIZES.map(|s| 7.0 + 0.5 * s);
    let fit = Fit::of(Shape::Line, &SIZES, &values).unwrap();
    assert!(near(fit.base, 7.0) && near(fit.slope, 0.5), "{fit:?}");
    assert!(fit.error < 1e-9 && fit.miss < 1e-9, "{fit:?}");
    assert!(near(fit.at(180_000.0), 90_007.0));
}

#[test]
fn a_square_is_found_again() {
    let values = SIZES.map(|s| 3.0 * s * s);
    let fit = Fit::of(Shape::Power, &SIZES, &values).unwrap();
    assert!(near(fit.slope, 2.0) && near(fit.base, 3.0) && fit.error < 1e-9, "{fit:?}");
    assert!((fit.at(180_000.0) / 9.72e10 - 1.0).abs() < 1e-6);
}

/// Sizes 1, 2, 3 and figures 1, 2, 2: slope 1/2, base 2/3, residuals -1/6, 1/3, -1/6, whose squares sum to 1/6; the
/// slope's error is the root of (1/6) / (3 - 2) / 2.
#[test]
fn the_error_of_a_slope_is_that_of_the_textbook() {
    let fit = Fit::of(Shape::Line, &[1.0, 2.0, 3.0], &[1.0, 2.0, 2.0]).unwrap();
    assert!(near(fit.slope, 0.5) && near(fit.base, 2.0 / 3.0), "{fit:?}");
    assert!(near(fit.error, (1.0f64 / 12.0).sqrt()), "{fit:?}");
    // The largest miss is a sixth of 1: a third of 2 is the same part.
    assert!(near(fit.miss, 1.0 / 6.0), "{fit:?}");
}

#[test]
fn what_no_slope_follows_from_is_refused() {
    let line = |sizes: &[f64], values: &[f64]| Fit::of(Shape::Line, sizes, values).unwrap_err();
    assert_eq!(line(&[1.0, 2.0], &[1.0, 2.0]), FitError::Few(2));
    assert_eq!(line(&[2.0, 2.0, 2.0], &[1.0, 2.0, 3.0]), FitError::Few(3));
    assert_eq!(line(&[1.0, 2.0, 3.0], &[1.0, 2.0]), FitError::Uneven(3, 2));
    assert_eq!(line(&[1.0, 2.0, 3.0], &[1.0, 2.0, f64::NAN]), FitError::Nonsense);
    let power = Fit::of(Shape::Power, &[1.0, 2.0, 3.0], &[0.0, 2.0, 3.0]);
    assert_eq!(power.unwrap_err(), FitError::Nonsense);
}

#[test]
fn figures_are_told_with_three_digits() {
    for (value, told) in [
        (0.0, "0"),
        (0.0004567, "0.000457"),
        (1.5, "1.5"),
        (999.6, "1,000"),
        (12_345.0, "12,300"),
        (180_000.0, "180,000"),
        (-2.345, "-2.35"),
    ] {
        assert_eq!(text::figure(value), told, "{value}");
    }
    assert_eq!(text::with_unit(144_000_000.0, "bytes"), "144 MB");
    assert_eq!(text::with_unit(2.5e6, "ns"), "2.5 ms");
    assert_eq!(text::with_unit(40_000.0, "boxes"), "40,000 boxes");
    assert_eq!((text::day(0), text::day(951_782_400)), ("1970-01-01".into(), "2000-02-29".into()));
    assert_eq!(text::day(1_796_169_600), "2026-12-02");
}

#[test]
fn a_measurement_takes_the_place_of_the_older_one_of_its_code() {
    let mut store = store();
    store.put(slope("node.list.held", "after", SIZES.map(|s| 200.0 * s)));
    assert_eq!(store.slopes.len(), 2);
    assert_eq!(store.slopes[0].label, "before");
    let latest = store.latest("node.list.held").unwrap();
    assert!(latest.label == "after" && near(latest.fit.slope, 200.0));
    assert!(store.latest("node.list.cpu").is_none());
}

#[test]
fn a_stored_fit_that_is_not_that_of_its_points_is_found() {
    let path = std::env::temp_dir().join(format!("laurelroute-slopes-{}.json", std::process::id()));
    let mut store = store();
    store.write(&path).unwrap();
    assert_eq!(Store::read(&path).unwrap(), store);
    store.slopes[1].fit.slope *= 0.9;
    store.write(&path).unwrap();
    let read = Store::read(&path);
    std::fs::remove_file(&path).unwrap();
    assert!(
        matches!(&read, Err(StoreError::Bent { name, label }) if name == "node.list.held" && label == "after")
    );
}

#[test]
fn a_page_made_of_slopes_passes_and_a_changed_figure_is_found() {
    let store = store();
    let page = fill(&format!("# Capacity\n\nWords.\n\n{}", blank()), &store).unwrap();
    check(&page, &store).unwrap();
    assert!(page.contains("5,000 + 180,000 x 300") && page.contains("54 MB"), "{page}");
    for (figure, other) in
        [("54 MB", "45 MB"), ("180,000 x 300", "180,000 x 200"), ("1.19 times", "2.19 times")]
    {
        assert!(page.contains(figure), "{figure} is not in {page}");
        let error = check(&page.replacen(figure, other, 1), &store).unwrap_err();
        assert!(matches!(&error, PageError::Differs { page, .. } if page.contains(other)), "{error}");
    }
    // Another slope, and the same page.
    let mut grown = store.clone();
    grown.put(slope("node.list.held", "after", SIZES.map(|s| 5_000.0 + 301.0 * s)));
    assert!(matches!(check(&page, &grown), Err(PageError::Differs { .. })));
    // People's words are theirs.
    check(&page.replace("Words.", "Other words."), &store).unwrap();
}

#[test]
fn what_is_to_cost_the_same_and_grows_is_found() {
    let mut store = store();
    assert_eq!(first_that_grows(&store), None, "nothing is said of what is not measured, or may grow");
    store.put(slope("node.request.instructions", "before", [75e3, 80e3, 95e3, 300e3]));
    assert!(first_that_grows(&store).is_some_and(|w| w.contains("from 75000 to 300000")));
    // The code as it stands counts.
    store.put(slope("node.request.instructions", "after", [75e3, 76e3, 79e3, 82e3]));
    assert_eq!(first_that_grows(&store), None);
    store.put(slope("node.request.instructions", "after", [75e3, 76e3, 79e3, 83e3]));
    assert!(first_that_grows(&store).is_some());
}

#[test]
fn a_table_that_is_missing_open_unknown_or_there_twice_is_found() {
    let store = store();
    let page = blank();
    for table in tables() {
        let mark = format!("<!-- table: {table} -->\n<!-- end of table -->\n");
        assert_eq!(check(&page.replace(&mark, ""), &store), Err(PageError::Missing(table.clone())));
        let open = page.replace(&mark, &format!("<!-- table: {table} -->\n"));
        assert!(matches!(check(&open, &store), Err(PageError::Open(_, t)) if t == table));
        assert!(matches!(check(&format!("{page}{mark}"), &store), Err(PageError::Twice(_, t)) if t == table));
    }
    let unknown = page.replace("table: node", "table: nodes");
    assert!(matches!(check(&unknown, &store), Err(PageError::Unknown(_, t)) if t == "nodes"));
}

fn docs(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)
}

#[test]
fn the_page_of_the_repository_says_what_its_slopes_say() {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_laurelroute-rig"))
        .args(["capacity", "--check", "--slopes"])
        .arg(docs("capacity-slopes.json"))
        .arg("--page")
        .arg(docs("CAPACITY.md"))
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn a_changed_figure_on_the_page_of_the_repository_is_found() {
    let page = std::fs::read_to_string(docs("CAPACITY.md")).unwrap();
    let line = page.lines().find(|l| l.contains("`node.list.held`") && l.contains("180,000 x ")).unwrap();
    let changed = page.replacen(line, &line.replacen("180,000 x ", "180,000 x 1", 1), 1);
    let path = std::env::temp_dir().join(format!("laurelroute-page-{}.md", std::process::id()));
    std::fs::write(&path, changed).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_laurelroute-rig"))
        .args(["capacity", "--check", "--slopes"])
        .arg(docs("capacity-slopes.json"))
        .arg("--page")
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && said.contains("180,000 x 1"), "{said}");
}
