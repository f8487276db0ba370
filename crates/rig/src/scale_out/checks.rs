//! What the page promises, against what was seen. Pure.

use super::counted::Rates;
use super::day::{Seen, EVENTS, IN_FORCE};
use super::figures::Figures;
use super::traffic::Became;

/// Bytes a second and node, both ways, over any ten seconds.
pub const BYTES: f64 = 15_000.0;
/// Memory of a real forwarder, with all that it does, in kB.
pub const NODE_KB: u64 = 64 << 10;
/// Memory of a planner, in kB.
pub const PLANNER_KB: u64 = 512 << 10;
/// Processor time of a real forwarder for control, as a share of a core.
pub const CONTROL: f64 = 0.031;

/// What is broken of a day's promises.
pub fn of_day(seen: &Seen, figures: &Figures, became: &Became, real: &[Rates]) -> Vec<String> {
    let mut broken = seen.broken.clone();
    for (name, event) in EVENTS.iter().zip(&figures.events) {
        if event.changes == 0 {
            broken.push(format!("{name}: no change concerned any node"));
        }
        if event.lagging > 0 {
            broken.push(format!(
                "{name}: {} of {} never held a change ({})",
                event.lagging,
                event.pairs,
                event.some.join(", ")
            ));
        }
        if event.within(1.0) > IN_FORCE.as_secs_f64() {
            broken.push(format!("{name}: a change was in force after {:.1} s only", event.within(1.0)));
        }
    }
    for (changes, said) in &seen.explained {
        let early = |id: &&usize| !matches!(figures.held_at.get(*id), Some(Some(held)) if held <= said);
        if let Some(id) = changes.iter().find(early) {
            broken.push(format!("change {id} was said to be in force before it was"));
        }
    }
    let (_, most) = figures.bytes();
    broken.extend(bytes("a hollow node", most[2]));
    broken.extend(real.iter().flat_map(|r| bytes("a real forwarder", r.ten)));
    broken.extend(memory("a real forwarder", seen.memory_kb[1], NODE_KB));
    broken.extend(memory("a planner", seen.memory_kb[0], PLANNER_KB));
    let busy = seen.costs.iter().find(|c| c.name == EVENTS[1]);
    broken.extend(busy.and_then(|c| control(c.control)));
    for (count, what) in [
        (became.lost, "requests without an answer"),
        (became.mixed, "requests with another's answer"),
        (became.doubled, "unsafe requests that did not run once"),
    ] {
        if count > 0 {
            broken.push(format!("{count} {what}"));
        }
    }
    if became.served == 0 {
        broken.push("nothing was served".to_owned());
    }
    broken
}

/// Bytes over ten seconds.
pub fn bytes(who: &str, ten: f64) -> Option<String> {
    (ten > BYTES).then(|| format!("{who} took {ten:.0} bytes a second over ten seconds"))
}

/// Memory.
pub fn memory(who: &str, kb: u64, most: u64) -> Option<String> {
    (kb > most).then(|| format!("{who} held {:.1} MB", kb as f64 / 1024.0))
}

/// Processor time for control at ten times the ordinary day's rate.
pub fn control(share: f64) -> Option<String> {
    (share > CONTROL)
        .then(|| format!("control took {:.1}% of a core at ten times the ordinary rate", share * 100.0))
}
