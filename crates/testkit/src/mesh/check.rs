//! What the members of a fleet wrote of themselves, and whether it keeps what is promised.

use super::copies::Copies;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// One run of one member.
pub type Run = (u64, u64);

/// A view as a member had it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Microseconds of the machine's clock.
    pub at: u64,
    /// Who saw it.
    pub by: Run,
    /// Lineage and number.
    pub key: (u64, u64),
    /// Seats and lives.
    pub members: BTreeMap<u64, u64>,
}

/// All that the members wrote, in the order of the machine's clock.
#[derive(Clone, Debug, Default)]
pub struct Histories {
    /// Views.
    pub views: Vec<Seen>,
    /// What a run may use of one whole from then on.
    pub shares: Vec<(u64, Run, f64)>,
    /// Whom a run accuses of silence from then on.
    pub accusations: Vec<(u64, Run, Vec<u64>)>,
    /// Each seat's last life.
    pub lives: BTreeMap<u64, u64>,
    /// What they wrote of their copies.
    pub copies: Copies,
    /// Lines that are none.
    pub odd: usize,
}

/// A stretch of time in which a seat's process did not run: killed or stopped, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Gap {
    /// Which.
    pub seat: u64,
    /// From when.
    pub from: u64,
    /// Until when; a process that was killed comes back as another run.
    pub to: u64,
    /// It was killed: what that run may use ends with it.
    pub killed: bool,
}

impl Histories {
    /// Reads the members' files.
    pub fn read<'a>(files: impl Iterator<Item = &'a Path>) -> Histories {
        let mut all = Histories::default();
        for file in files {
            let text = std::fs::read_to_string(file).unwrap_or_default();
            // A last line without an end is still being written.
            let whole = text.rfind('\n').map_or("", |end| &text[..end]);
            whole.lines().for_each(|line| all.line(line));
        }
        all.views.sort_by_key(|v| v.at);
        all.shares.sort_by_key(|s| s.0);
        all.copies.sort();
        all
    }

    fn line(&mut self, line: &str) {
        let Ok(line) = serde_json::from_str::<Value>(line) else {
            self.odd += 1;
            return;
        };
        let number = |key: &str| line[key].as_u64().unwrap_or(0);
        let by = (number("seat"), number("life"));
        match line["what"].as_str() {
            Some("view") => {
                let pair = |p: &Value| Some((p[0].as_u64()?, p[1].as_u64()?));
                let members = line["members"].as_array().into_iter().flatten().filter_map(pair).collect();
                let key = (number("lineage"), number("number"));
                self.views.push(Seen { at: number("at"), by, key, members });
            }
            Some("share") => {
                let share = line["value"].as_str().and_then(|v| v.parse().ok()).unwrap_or(1.0);
                self.shares.push((number("at"), by, share));
            }
            Some("accuse") => {
                let seats = line["value"].as_str().unwrap_or_default();
                let seats = seats.split(',').filter_map(|s| s.parse().ok()).collect();
                self.accusations.push((number("at"), by, seats));
            }
            Some("ban" | "said" | "copy" | "caught" | "start") => self.copies.line(number("at"), by, &line),
            _ => {}
        }
        self.lives.insert(by.0, by.1);
    }

    /// The view that each of these seats has now, where all have one that is the same and holds just them.
    pub fn agreed(&self, running: &[u64]) -> bool {
        let lives: BTreeMap<u64, u64> =
            running.iter().filter_map(|s| Some((*s, *self.lives.get(s)?))).collect();
        let last = |(seat, life): (&u64, &u64)| self.views.iter().rfind(|v| v.by == (*seat, *life));
        lives.len() == running.len() && lives.iter().all(|run| last(run).is_some_and(|v| v.members == lives))
    }

    /// Views with one key are one view, and numbers only grow.
    pub fn sequences(&self) -> Vec<String> {
        let (mut views, mut last, mut broken) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        for view in &self.views {
            let first = views.entry(view.key).or_insert(&view.members);
            if **first != view.members {
                broken.push(format!("seat {} has another view {:?} than others", view.by.0, view.key));
            }
            let before = last.insert((view.by, view.key.0), view.key.1);
            if before.is_some_and(|number| number >= view.key.1) {
                broken.push(format!("seat {} goes from view {before:?} to {:?}", view.by.0, view.key));
            }
        }
        broken
    }

    /// The largest sum of what all runs may use at once, but for processes that do not run.
    pub fn most(&self, gaps: &[Gap]) -> f64 {
        let mut changes: Vec<(u64, Option<(Run, f64)>)> =
            self.shares.iter().map(|(at, run, share)| (*at, Some((*run, *share)))).collect();
        changes.extend(gaps.iter().flat_map(|g| [(g.from, None), (g.to, None)]));
        changes.sort_by_key(|(at, _)| *at);
        let (mut now, mut most) = (BTreeMap::<u64, (u64, f64)>::new(), 0.0f64);
        for (at, change) in changes {
            now.retain(|seat, _| !gaps.iter().any(|g| g.killed && g.seat == *seat && g.from == at));
            if let Some(((seat, life), share)) = change {
                // The newest run of a seat is the only one that runs.
                now.insert(seat, (life, share));
            }
            let stopped = |seat: u64| gaps.iter().any(|g| g.seat == seat && g.from <= at && at < g.to);
            let sum = now.iter().filter(|(seat, _)| !stopped(**seat)).map(|(_, (_, share))| share).sum();
            most = most.max(sum);
        }
        most
    }

    /// Who was stopped and has just gone on accuses nobody that has run all the while; `after` in microseconds.
    pub fn rash(&self, gaps: &[Gap], after: u64) -> Vec<String> {
        let ran = |seat: u64, from: u64, to: u64| {
            !gaps.iter().any(|g| g.seat == seat && g.from < to && from < g.to)
        };
        let mut rash = Vec::new();
        for pause in gaps.iter().filter(|g| !g.killed) {
            let just = |at: u64| pause.to.saturating_sub(after) <= at && at < pause.to + after;
            let own = self.accusations.iter().filter(|(at, (seat, _), _)| *seat == pause.seat && just(*at));
            for (at, _, accused) in own {
                let wrong = accused.iter().filter(|s| ran(**s, pause.from, *at));
                rash.extend(wrong.map(|s| format!("seat {} accuses {s}, just woken", pause.seat)));
            }
        }
        rash
    }

    /// Runs that were put out of a view by the next one, with when.
    pub fn removals(&self) -> Vec<(u64, Run)> {
        let mut views: BTreeMap<(u64, u64), &Seen> = BTreeMap::new();
        self.views.iter().for_each(|v| {
            views.entry(v.key).or_insert(v);
        });
        let mut removals = Vec::new();
        for ((lineage, number), after) in &views {
            let Some(before) = views.get(&(*lineage, number.saturating_sub(1))) else { continue };
            let gone = before.members.iter().filter(|(s, l)| after.members.get(s) != Some(l));
            removals.extend(gone.map(|(seat, life)| (after.at, (*seat, *life))));
        }
        removals
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(at: u64, by: Run, number: u64, members: &[(u64, u64)]) -> Seen {
        Seen { at, by, key: (1, number), members: members.iter().copied().collect() }
    }

    #[test]
    fn what_breaks_a_promise_is_found() {
        let (a, b) = ((0, 10), (1, 11));
        let mut all = Histories {
            views: vec![seen(1, a, 1, &[a, b]), seen(2, b, 1, &[a, b]), seen(3, a, 2, &[a])],
            shares: vec![(1, a, 0.5), (2, b, 0.5), (5, a, 0.9)],
            accusations: vec![(8, b, vec![0])],
            lives: [a, b].into_iter().collect(),
            ..Histories::default()
        };
        assert!(all.sequences().is_empty() && !all.agreed(&[0, 1]) && all.agreed(&[0]));
        assert_eq!(all.removals(), [(3, b)]);
        assert!((all.most(&[]) - 1.4).abs() < 1e-9);
        assert!((all.most(&[Gap { seat: 1, from: 4, to: u64::MAX, killed: true }]) - 1.0).abs() < 1e-9);
        assert_eq!(all.rash(&[Gap { seat: 1, from: 4, to: 7, killed: false }], 2).len(), 1);
        assert!(all.rash(&[Gap { seat: 1, from: 2, to: 5, killed: false }], 2).is_empty());
        all.views.push(seen(6, b, 2, &[b]));
        assert_eq!(all.sequences().len(), 1);
        all.views.push(seen(7, a, 1, &[a, b]));
        assert_eq!(all.sequences().len(), 2);
    }
}
