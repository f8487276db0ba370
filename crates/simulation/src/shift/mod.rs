//! Pools that are shifted: drawn new pools, sound, cold or faulty, and what becomes of a shift to them.
//!
//! Two models. [`course`] draws endings and puts them to the course alone, so that tens of thousands of seeds can be
//! played; [`world`] has clients, boxes with queues and cold starts, and the decision module that runs in service.

pub mod course;
pub mod rivals;
pub mod world;

use crate::draw::Draw;
use laurelroute_shift::pool::{Pools, Predicate};
use laurelroute_shift::settings::{ShiftSettings, Split};
use wildmatch::WildMatch;

/// Classes of the model, with their part of the requests.
pub const CLASSES: [(&str, f64); 3] = [("status", 0.6), ("gauges", 0.3), ("acknowledge", 0.1)];
/// Shires, as groups of tenants.
pub const SHIRES: usize = 27;
/// Zones.
pub const ZONES: usize = 3;

/// What is wrong with a new pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Errors.
    Fails,
    /// Answers that take three times as long.
    Slow,
    /// Answers with status 200 that are spoilt.
    Spoilt,
    /// No answer.
    Hangs,
}

/// Where a fault shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Where {
    /// In all requests.
    All,
    /// In one class.
    Class(usize),
    /// In one shire.
    Shire(usize),
    /// In one class of one shire.
    Both(usize, usize),
    /// In repeats alone.
    Repeats,
    /// On so many of the new boxes.
    Boxes(usize),
    /// Below 60% of the usual load.
    Quiet,
}

/// A fault of the new pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// Where.
    pub at: Where,
    /// The part of those requests that it strikes.
    pub size: f64,
    /// Seconds after the start.
    pub after: f64,
}

impl Fault {
    /// A fault of a size from 0.5% to 50% of a cell.
    pub fn drawn(draw: &mut Draw, boxes: usize) -> Fault {
        let kind = [Kind::Fails, Kind::Slow, Kind::Spoilt, Kind::Hangs][draw.below(4)];
        let at = match draw.below(7) {
            0 => Where::All,
            1 => Where::Class(draw.below(CLASSES.len())),
            2 => Where::Shire(draw.below(SHIRES)),
            3 => Where::Both(draw.below(CLASSES.len()), draw.below(SHIRES)),
            4 => Where::Repeats,
            5 => Where::Quiet,
            _ => Where::Boxes(2.min(boxes)),
        };
        // Even in its logarithm: small faults are as usual as large ones.
        let size = 0.005 * 100f64.powf(draw.unit());
        let after = if draw.chance(0.15) { 600.0 * draw.unit() } else { 0.0 };
        Fault { kind, at, size, after }
    }

    /// Whether a request is one that it may strike.
    pub fn strikes(&self, asked: &Asked, server: usize) -> bool {
        let Asked { class, shire, again, load, .. } = *asked;
        match self.at {
            Where::Quiet => load < 0.6,
            Where::All => true,
            Where::Class(c) => c == class,
            Where::Shire(s) => s == shire,
            Where::Both(c, s) => c == class && s == shire,
            Where::Repeats => again,
            Where::Boxes(n) => server < n,
        }
    }
}

/// A request of the models.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// Its class.
    pub class: usize,
    /// Its shire.
    pub shire: usize,
    /// It repeats another.
    pub again: bool,
    /// The load when it came, 1 being usual.
    pub load: f64,
}

/// The shift that the models play: pools by name, shires by tenant.
pub fn settings() -> ShiftSettings {
    let ids = |pattern: &str| Predicate { ids: vec![WildMatch::new(pattern)], ..Predicate::default() };
    let names = CLASSES.iter().map(|(name, _)| (*name).to_owned()).collect();
    let zones = (0..ZONES).map(|z| format!("zone-{z}")).collect();
    let mut settings =
        ShiftSettings::new("model", Pools { old: ids("old-*"), new: ids("new-*") }, names, zones);
    let shire = |s: usize| (format!("shire-{s}"), vec![WildMatch::new(&format!("shire-{s}"))]);
    settings.splits = vec![Split { name: "shire".to_owned(), groups: (0..SHIRES).map(shire).collect() }];
    settings
}

/// A class by its part of the requests.
pub fn class(draw: &mut Draw) -> usize {
    let mut at = draw.unit();
    for (k, (_, part)) in CLASSES.iter().enumerate() {
        if at < *part {
            return k;
        }
        at -= part;
    }
    CLASSES.len() - 1
}
