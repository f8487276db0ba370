//! What the hollow processes told, summed up. Pure.

use super::day::EVENTS;
use crate::report::{quantile, table, Outcome};
use serde_json::Value;
use std::collections::BTreeMap;

/// One event's changes.
#[derive(Clone, Debug, Default)]
pub struct Event {
    /// Changes that concerned at least one node.
    pub changes: usize,
    /// Pairs of a change and a node that it concerned and that stayed.
    pub pairs: usize,
    /// Pairs whose node never held the change.
    pub lagging: usize,
    /// Of each change, how long its last node took, in milliseconds.
    pub last: Vec<u64>,
    /// Some that lag, for people.
    pub some: Vec<String>,
}

/// All of it.
#[derive(Debug, Default)]
pub struct Figures {
    /// By event, in the day's order.
    pub events: Vec<Event>,
    /// When the last node held a change, by the change's number: Unix time in nanoseconds; `None` where one never did.
    pub held_at: BTreeMap<usize, Option<u64>>,
    /// Mean, worst second and worst ten seconds of each hollow node, in bytes a second.
    pub rates: Vec<[f64; 3]>,
}

/// What processes told of one change: its event, when it was pushed, how long each node took, how many lacked it, and which.
type Told = (usize, u64, Vec<u64>, usize, Vec<String>);

/// Sums up what all processes told.
pub fn summed(told: &[Value]) -> Figures {
    let mut figures = Figures { events: vec![Event::default(); EVENTS.len()], ..Figures::default() };
    // A change's nodes are spread over processes.
    let mut changes: BTreeMap<usize, Told> = BTreeMap::new();
    let number = |v: &Value| v.as_u64().unwrap_or(0);
    for process in told {
        let rates = process["rates"].as_array().into_iter().flatten();
        figures
            .rates
            .extend(rates.map(|r| [0, 1, 2].map(|k| r.get(k).and_then(Value::as_f64).unwrap_or(0.0))));
        for change in process["changes"].as_array().into_iter().flatten() {
            let entry = changes.entry(number(&change["id"]) as usize).or_default();
            entry.0 = number(&change["event"]) as usize;
            entry.1 = number(&change["pushed"]);
            entry.2.extend(change["took"].as_array().into_iter().flatten().map(number));
            entry.3 += number(&change["lagging"]) as usize;
            let nodes = change["some"].as_array().into_iter().flatten();
            entry.4.extend(nodes.map(|n| format!("node {n}: server {}", change["server"])));
        }
    }
    for (id, (event, pushed, took, lagging, some)) in changes {
        let last = took.iter().copied().max();
        figures.held_at.insert(id, (lagging == 0).then(|| pushed + (last.unwrap_or(0) + 1) * 1_000_000));
        let Some(event) = figures.events.get_mut(event) else { continue };
        if took.len() + lagging == 0 {
            continue;
        }
        event.changes += 1;
        event.pairs += took.len() + lagging;
        event.lagging += lagging;
        event.last.extend(last);
        event.some.extend(some);
        event.some.truncate(5);
    }
    figures
}

impl Event {
    /// The time within which this part of the changes was in force at their last node, in seconds.
    pub fn within(&self, part: f64) -> f64 {
        quantile(self.last.clone(), part) as f64 / 1e3
    }
}

impl Figures {
    /// Mean over nodes, and the worst of them: mean, worst second, worst ten seconds.
    pub fn bytes(&self) -> ([f64; 3], [f64; 3]) {
        let n = self.rates.len().max(1) as f64;
        let mean = |k: usize| self.rates.iter().map(|r| r[k]).sum::<f64>() / n;
        let most = |k: usize| self.rates.iter().map(|r| r[k]).fold(0.0, f64::max);
        ([0, 1, 2].map(mean), [0, 1, 2].map(most))
    }

    /// Prints the table of events, and puts its figures.
    pub fn tell(&self, outcome: &mut Outcome) {
        let row = |(name, event): (&&str, &Event)| {
            let s = |part| format!("{:.2}", event.within(part));
            vec![
                (*name).to_owned(),
                event.changes.to_string(),
                event.pairs.to_string(),
                s(0.5),
                s(0.99),
                s(1.0),
                event.lagging.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> = EVENTS.iter().zip(&self.events).map(row).collect();
        println!("in force at the last node that uses what changed, in seconds after the list told it:");
        table(&["event", "changes", "at nodes", "p50", "p99", "worst", "never"], &rows);
        for (name, event) in EVENTS.iter().zip(&self.events) {
            let key = name.replace(' ', "_");
            outcome.put(format!("{key}_changes"), event.changes as f64);
            outcome.put(format!("{key}_p50_s"), event.within(0.5));
            outcome.put(format!("{key}_p99_s"), event.within(0.99));
            outcome.put(format!("{key}_worst_s"), event.within(1.0));
            outcome.put(format!("{key}_never"), event.lagging as f64);
        }
    }
}
