//! The shift as a state machine: what climbs a step, and what holds, halts, undoes and ends it.
//!
//! Time alone moves nothing. A step is left upwards when each class has shown as much as [`ShiftSettings::least_fault`]
//! asks, no cell is in doubt, and the new pool can carry the next share; it is left downwards as soon as one cell alarms.

use crate::analysis::{Alarm, Blame, CanaryAnalysis, LatencyBaseline, Outcome, Signal, Signals};
use crate::capacity::{self, CapacityPlan, Zone};
use crate::cells::CellsError;
use crate::pool::Pool;
use crate::settings::{OnAlarm, ShiftSettings};
use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Changes of state that are remembered.
const MAX_CHANGES: usize = 64;
/// A cell is in doubt, and no step is climbed, with this part of the evidence that alarms.
const DOUBT: f64 = 0.5;
/// Without a planner, a forwarder undoes on its own evidence with so many times of what alarms.
const BEYOND_DOUBT: f64 = 2.0;
/// A share shrinks within a step only when less than this part of it can be carried: a ramp must not flap.
const SHRINK: f64 = 0.9;
/// No step is climbed while more than this part of what was meant for the new pool on the step goes to the old one.
const MOST_GIVEN_BACK: f64 = 0.2;
/// Shares nearer than this are equal.
const NEAR: f64 = 1e-6;

/// Why a shift stands still.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HoldReason {
    /// An operator's word.
    Operator,
    /// Cells are worse in the new pool.
    Alarm,
    /// A depot is cut off: what is worse now may be the network's doing.
    #[serde(rename = "cut-off")]
    ZoneUnreachable,
    /// The old pool is gone: nothing is left to compare with or to go back to.
    #[serde(rename = "old-gone")]
    OldPoolEmpty,
    /// The journal ends in the middle of a record.
    #[serde(rename = "half-written")]
    JournalTruncated,
}

/// Where a shift is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// Nobody has said `start`.
    Ready,
    /// Started; the new pool has no box yet.
    Waiting,
    /// On a step, and judged.
    Step {
        /// From 0.
        #[serde(rename = "rung")]
        step: usize,
    },
    /// Standing still on a step; what alarms there is taken back all the same.
    Held {
        /// The step.
        #[serde(rename = "rung")]
        step: usize,
        /// Why.
        why: HoldReason,
    },
    /// Going back, as far as the old pool can carry.
    Undoing,
    /// All is back.
    Undone,
    /// All is with the new pool, and nothing is compared any longer. An operator can still undo it.
    Finished,
    /// Nobody moves anything: pools are no longer told apart.
    Abandoned,
}

impl State {
    /// Whether requests are told apart by pool.
    pub fn on(&self) -> bool {
        !matches!(self, State::Ready | State::Abandoned)
    }
}

/// What operators can say.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verb {
    /// Begin, or begin again after an undo.
    Start,
    /// Stand still.
    Hold,
    /// Go on where it was held, or climb a step whatever the evidence.
    Advance,
    /// Take all back.
    Undo,
    /// All to the new pool.
    Finish,
    /// Forget the shift.
    Abandon,
}

/// An operator's word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// What.
    pub verb: Verb,
    /// Who.
    pub who: String,
    /// Why.
    pub why: String,
    /// Whatever speaks against it.
    pub insist: bool,
}

/// Why a word is not followed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// It means nothing in this state.
    #[error("the shift is {0}: `{1}` changes nothing there")]
    InvalidState(String, String),
    /// It was undone a short time ago.
    #[error("it was undone {0} s ago and rests for {1} s: insist to begin again")]
    CoolingDown(u64, u64),
    /// Nobody is there to go to, or to go back to.
    #[error("the {0} pool has no box")]
    EmptyPool(&'static str),
}

/// A change of state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// When.
    pub at: Nanos,
    /// The state from then on.
    pub state: State,
    /// The step from then on.
    #[serde(rename = "rung")]
    pub step: usize,
    /// Who: an operator, or `laurelroute`.
    pub who: String,
    /// Why.
    pub why: String,
    /// The shares from then on, by class.
    pub shares: Vec<f64>,
    /// The cell that has alarmed, with its name.
    pub alarm: Option<(String, Alarm)>,
}

/// What is seen of the pools beside the endings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolStatus {
    /// Work and strength, by zone.
    pub zones: Vec<Zone>,
    /// Boxes that take work.
    pub old: usize,
    /// See there.
    pub new: usize,
    /// A depot is cut off.
    pub cut_off: bool,
    /// This node follows planners and hears of none.
    pub no_planner: bool,
}

/// How an attempt ended, for the shift.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Served.
    Served,
    /// An error, a reset, no connection, or a spoilt answer.
    Failed,
    /// No answer in time.
    TimedOut,
    /// Turned away unseen.
    Rejected,
    /// Called off, or its client has left: says nothing.
    Cancelled,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt<'a> {
    /// The box's pool when it was sent.
    pub pool: Pool,
    /// The box is of both pools: it serves as an old one, and is no evidence.
    pub ambiguous: bool,
    /// The box, by a number that the caller keeps.
    pub server: u32,
    /// The request's class.
    pub class: usize,
    /// The box's zone.
    pub zone: usize,
    /// It repeats another attempt, or its client says that it asks again.
    pub again: bool,
    /// The group of its tenant in each split.
    pub groups: &'a [usize],
    /// How it ended.
    pub end: AttemptResult,
    /// Time until its answer, or until it ended.
    pub took: Nanos,
    /// The class's aim.
    pub aim: Nanos,
    /// The box was cold when it was sent.
    pub cold: bool,
}

/// One shift under way. See the module's documentation.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// What it was told.
    pub settings: ShiftSettings,
    /// Its evidence.
    pub analysis: CanaryAnalysis,
    state: State,
    step: usize,
    shares: Vec<f64>,
    room: CapacityPlan,
    entered: Nanos,
    cause_left: Option<Nanos>,
    undone_at: Option<Nanos>,
    usual: Vec<LatencyBaseline>,
    changes: VecDeque<Change>,
    changed: u64,
    sight: PoolStatus,
    /// Requests meant for the new pool on this step, and those of them that had to go to the old one.
    given_back: (u64, u64),
}

impl Rollout {
    /// A shift that nobody has started.
    pub fn new(settings: ShiftSettings) -> Result<Rollout, CellsError> {
        let analysis = CanaryAnalysis::new(settings.cells()?, settings.bounds);
        let classes = settings.classes.len();
        Ok(Rollout {
            analysis,
            state: State::Ready,
            step: 0,
            shares: vec![0.0; classes],
            room: CapacityPlan::default(),
            entered: 0,
            cause_left: None,
            undone_at: None,
            usual: vec![LatencyBaseline::default(); classes],
            changes: VecDeque::new(),
            changed: 0,
            sight: PoolStatus::default(),
            given_back: (0, 0),
            settings,
        })
    }

    /// Where it is.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The step that it is on, was on last, or goes to next.
    pub fn step(&self) -> usize {
        self.step
    }

    /// The share of each class that goes to the new pool now.
    pub fn shares(&self) -> &[f64] {
        &self.shares
    }

    /// What the pools could carry when it was last looked at.
    pub fn capacity_plan(&self) -> &CapacityPlan {
        &self.room
    }

    /// What was seen of the pools then.
    pub fn pool_status(&self) -> &PoolStatus {
        &self.sight
    }

    /// When it came to its state.
    pub fn state_since(&self) -> Nanos {
        self.entered
    }

    /// The last changes, the oldest first.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter()
    }

    /// How many changes there were since this rollout was made, those forgotten among them.
    pub fn change_count(&self) -> u64 {
        self.changed
    }

    /// Counts an attempt that has ended.
    pub fn record_attempt(&mut self, attempt: &EndedAttempt<'_>) {
        if !self.state.on()
            || attempt.ambiguous
            || attempt.pool == Pool::Outside
            || attempt.end == AttemptResult::Cancelled
        {
            return;
        }
        let Some(usual) = self.usual.get_mut(attempt.class) else { return };
        let mut bad = Signals::default();
        match attempt.end {
            AttemptResult::Failed => bad = bad.with(Signal::Failed),
            AttemptResult::TimedOut => bad = bad.with(Signal::Late).with(Signal::Slow),
            AttemptResult::Rejected => bad = bad.with(Signal::Refused),
            AttemptResult::Served => {
                if attempt.took > attempt.aim {
                    bad = bad.with(Signal::Late);
                }
                if usual.slow(attempt.took) {
                    bad = bad.with(Signal::Slow);
                }
                if attempt.pool == Pool::Old {
                    usual.observe(attempt.took);
                }
            }
            AttemptResult::Cancelled => {}
        }
        let mut judged = match attempt.end {
            // What never ran has no time; what failed has none that says anything.
            AttemptResult::Rejected => Signals::default().with(Signal::Refused),
            AttemptResult::Failed => Signals::ALL.without(Signal::Late).without(Signal::Slow),
            _ => Signals::ALL,
        };
        if attempt.cold {
            judged = judged.without(Signal::Late).without(Signal::Slow).without(Signal::Refused);
        }
        let mut values = [0usize; crate::cells::MAX_DIMENSIONS];
        values[..3].copy_from_slice(&[attempt.class, attempt.zone, usize::from(attempt.again)]);
        let groups = attempt.groups.len().min(values.len() - 3);
        values[3..3 + groups].copy_from_slice(&attempt.groups[..groups]);
        let values = &values[..3 + groups];
        self.analysis.record(&Outcome { pool: attempt.pool, server: attempt.server, values, bad, judged });
    }

    /// A request that was meant for the new pool goes there, or to the old one: the new one has nobody to take it, or would
    /// be late. That is no evidence of a fault, which shows in what was sent there, but nothing climbs on it.
    pub fn record_new_pool_request(&mut self, given_back: bool) {
        self.given_back.0 += 1;
        self.given_back.1 += u64::from(given_back);
    }

    fn change(&mut self, now: Nanos, state: State, who: &str, why: String, alarm: Option<Alarm>) -> Change {
        if state != self.state {
            self.entered = now;
            self.cause_left = None;
        }
        self.state = state;
        let alarm = alarm.map(|a| (self.analysis.cells.name(a.cell), a));
        let (shares, step) = (self.shares.clone(), self.step);
        let change =
            Change { at: now, state: self.state.clone(), step, who: who.to_owned(), why, shares, alarm };
        self.changes.push_back(change.clone());
        self.changed += 1;
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        change
    }

    /// An operator has spoken.
    pub fn apply_command(&mut self, now: Nanos, word: &Command) -> Result<Change, CommandError> {
        let senseless = |c: &Rollout| {
            let (state, verb) = (c.state_name(), format!("{:?}", word.verb).to_lowercase());
            Err(CommandError::InvalidState(state.to_owned(), verb))
        };
        let last = self.settings.step_count() - 1;
        let who = word.who.as_str();
        let why = word.why.clone();
        match (word.verb, self.state.clone()) {
            (Verb::Start, State::Ready | State::Abandoned | State::Undone) => {
                let age = self.undone_at.map(|at| now.saturating_sub(at));
                if let Some(age) = age.filter(|a| *a < self.settings.restart_cooldown && !word.insist) {
                    return Err(CommandError::CoolingDown(
                        age / 1_000_000_000,
                        self.settings.restart_cooldown / 1_000_000_000,
                    ));
                }
                self.analysis = CanaryAnalysis::new(self.analysis.cells.clone(), self.settings.bounds);
                self.step = 0;
                self.shares.fill(0.0);
                Ok(self.change(now, State::Waiting, who, why, None))
            }
            (Verb::Hold, State::Step { step }) => {
                Ok(self.change(now, State::Held { step, why: HoldReason::Operator }, who, why, None))
            }
            // A hold of its own would end by itself; an operator's does not.
            (Verb::Hold, State::Held { step, why: held }) if held != HoldReason::Operator => {
                Ok(self.change(now, State::Held { step, why: HoldReason::Operator }, who, why, None))
            }
            (Verb::Advance, State::Held { .. } | State::Step { .. }) => {
                self.analysis.update_evidence();
                let doubtful = !self.analysis.alarms().is_empty();
                self.analysis.excuse_evidence();
                if matches!(self.state, State::Step { .. }) {
                    if self.step == last {
                        return senseless(self);
                    }
                    self.climb(self.step + 1);
                }
                let said = if doubtful { format!("{why} (on evidence against it)") } else { why };
                Ok(self.change(now, State::Step { step: self.step }, who, said, None))
            }
            (Verb::Undo, State::Waiting | State::Step { .. } | State::Held { .. } | State::Finished) => {
                if self.sight.old == 0 && !word.insist {
                    return Err(CommandError::EmptyPool("old"));
                }
                Ok(self.undo(now, who, why, None))
            }
            (Verb::Finish, State::Waiting | State::Step { .. } | State::Held { .. }) => {
                if self.sight.new == 0 {
                    return Err(CommandError::EmptyPool("new"));
                }
                self.analysis.excuse_evidence();
                self.climb(last);
                self.shares = self.settings.shares(last);
                Ok(self.change(now, State::Finished, who, why, None))
            }
            (Verb::Abandon, state) if state != State::Abandoned => {
                self.shares.fill(0.0);
                Ok(self.change(now, State::Abandoned, who, why, None))
            }
            _ => senseless(self),
        }
    }

    /// While the shift goes on, a part of each class stays with the old pool: without it nothing tells a fault of the new
    /// one from what strikes all.
    pub(crate) fn kept_back(&self, mut shares: Vec<f64>) -> Vec<f64> {
        let most = 1.0 - self.settings.holdback;
        shares.iter_mut().for_each(|s| *s = s.min(most));
        shares
    }

    fn climb(&mut self, step: usize) {
        self.given_back = (0, 0);
        self.step = step;
        self.analysis.begin_step();
    }

    fn undo(&mut self, now: Nanos, who: &str, why: String, alarm: Option<Alarm>) -> Change {
        let stays = self.room.stays;
        self.shares.iter_mut().for_each(|s| *s = s.min(stays));
        self.undone_at = Some(now);
        let state = if stays > NEAR { State::Undoing } else { State::Undone };
        self.change(now, state, who, why, alarm)
    }

    /// Looks at the pools and at the evidence; what has changed by it.
    pub fn tick(&mut self, now: Nanos, sight: PoolStatus) -> Vec<Change> {
        self.analysis.update_evidence();
        self.sight = sight;
        let wanted = match self.state {
            State::Step { .. } | State::Held { .. } => self.kept_back(self.settings.shares(self.step)),
            State::Finished => self.settings.shares(self.step),
            _ => vec![0.0; self.shares.len()],
        };
        self.room = capacity::solve(&self.sight.zones, &wanted);
        let mut changes = Vec::new();
        match self.state.clone() {
            State::Ready | State::Abandoned | State::Undone => {}
            State::Waiting if self.sight.new > 0 && self.sight.old > 0 => {
                self.climb(0);
                let why = format!("{} boxes of the new pool take work", self.sight.new);
                changes.push(self.change(now, State::Step { step: 0 }, SELF, why, None));
            }
            State::Waiting => {}
            State::Undoing => changes.extend(self.back(now)),
            State::Finished => self.follow_room(&wanted),
            State::Step { .. } | State::Held { .. } => changes.extend(self.judged(now, &wanted)),
        }
        changes
    }

    /// Half-way back: as the old pool's strength returns, so does its share.
    fn back(&mut self, now: Nanos) -> Option<Change> {
        let stays = self.room.stays;
        self.shares.iter_mut().for_each(|s| *s = s.min(stays));
        (stays <= NEAR).then(|| {
            self.undone_at = Some(now);
            self.change(now, State::Undone, SELF, "the old pool carries all again".to_owned(), None)
        })
    }

    fn judged(&mut self, now: Nanos, wanted: &[f64]) -> Option<Change> {
        if self.sight.new == 0 {
            return Some(self.undo(now, SELF, "the new pool has no box left".to_owned(), None));
        }
        if let Some(change) = self.alarmed(now) {
            return Some(change);
        }
        self.follow_room(wanted);
        let cause = if self.sight.old == 0 {
            Some((HoldReason::OldPoolEmpty, "the old pool has no box left"))
        } else if self.sight.cut_off {
            Some((HoldReason::ZoneUnreachable, "a depot is cut off"))
        } else {
            None
        };
        match (self.state.clone(), cause) {
            (State::Step { step }, Some((why, text))) => {
                Some(self.change(now, State::Held { step, why }, SELF, text.to_owned(), None))
            }
            (State::Held { why: HoldReason::ZoneUnreachable | HoldReason::OldPoolEmpty, .. }, None) => {
                let since = *self.cause_left.get_or_insert(now);
                let settled = now.saturating_sub(since) >= self.settings.settle_time;
                settled.then(|| {
                    let why = "what it was held for is over".to_owned();
                    self.analysis.begin_step();
                    self.change(now, State::Step { step: self.step }, SELF, why, None)
                })
            }
            (State::Held { .. }, Some(_)) => {
                self.cause_left = None;
                None
            }
            (State::Step { .. }, None) => self.next(now, wanted),
            _ => None,
        }
    }

    /// What alarms is taken back, held or not. While a depot is cut off, or without a planner, only what is beyond doubt.
    fn alarmed(&mut self, now: Nanos) -> Option<Change> {
        let strict = if self.sight.no_planner || self.sight.cut_off { BEYOND_DOUBT } else { 1.0 };
        let held = matches!(self.state, State::Held { why: HoldReason::Alarm, .. });
        let alarm = self.analysis.alarms().into_iter().find(|a| a.evidence >= strict * a.bound)?;
        if held || self.sight.old == 0 {
            return None;
        }
        let why = self.describe(&alarm);
        if self.settings.on_alarm == OnAlarm::Hold {
            let state = State::Held { step: self.step, why: HoldReason::Alarm };
            return Some(self.change(now, state, SELF, why, Some(alarm)));
        }
        Some(self.undo(now, SELF, why, Some(alarm)))
    }

    fn describe(&self, alarm: &Alarm) -> String {
        let whose = match &alarm.blame {
            Blame::Release => "the release, on its boxes alike".to_owned(),
            Blame::Servers(boxes) => format!("{} of its boxes alone", boxes.len()),
            Blame::Unclear => "too few boxes to tell whose".to_owned(),
        };
        let (old, new) = (alarm.old, alarm.new);
        format!(
            "{:?} in {}: {} of {} in the new pool against {} of {}; {whose}",
            alarm.signal,
            self.analysis.cells.name(alarm.cell),
            new.bad,
            new.of,
            old.bad,
            old.of
        )
    }

    /// Shares follow what the new pool can carry, up to the step's: a cold pool warms along its ramp.
    fn follow_room(&mut self, wanted: &[f64]) {
        for (class, share) in self.shares.iter_mut().enumerate() {
            let fits = self.room.shares.get(class).copied().unwrap_or(0.0);
            // What the old pool cannot carry stays with the new one in any case.
            let fits = fits.max(self.room.stays.min(*share)).min(wanted[class]);
            if fits > *share || fits < SHRINK * *share || wanted[class] < *share {
                *share = fits;
            }
        }
    }

    /// The next step, if nothing speaks against it.
    fn next(&mut self, now: Nanos, wanted: &[f64]) -> Option<Change> {
        if self.standing(now, wanted).is_some() {
            return None;
        }
        if self.step + 1 == self.settings.step_count() {
            return Some(self.change(
                now,
                State::Finished,
                SELF,
                "all step_count have shown enough".to_owned(),
                None,
            ));
        }
        let seen = self.analysis.comparison(0, Signal::Failed).new_in_step;
        self.climb(self.step + 1);
        let why = format!("{} of {} failed on the step before, no cell in doubt", seen.bad, seen.of);
        Some(self.change(now, State::Step { step: self.step }, SELF, why, None))
    }

    /// Why the next step is not climbed now.
    fn standing(&self, now: Nanos, wanted: &[f64]) -> Option<Standing> {
        if self.sight.no_planner {
            return Some(Standing::NoPlanner);
        }
        let age = now.saturating_sub(self.entered);
        let last = self.step + 1 == self.settings.step_count();
        let least = if last { self.settings.final_step_time } else { self.settings.min_step_time };
        if age < least {
            return Some(Standing::Young(least - age));
        }
        let short = self.shares.iter().zip(wanted).position(|(s, w)| *s < w - NEAR);
        if let Some(class) = short {
            return Some(Standing::Small { class, share: self.shares[class], wanted: wanted[class] });
        }
        let (meant, back) = self.given_back;
        if back as f64 > MOST_GIVEN_BACK * meant as f64 {
            return Some(Standing::GivesBack { back, meant });
        }
        let doubtful = (0..self.analysis.cells.len()).find(|&c| self.analysis.evidence_ratio(c) >= DOUBT);
        if let Some(cell) = doubtful {
            return Some(Standing::Doubt { cell, part: self.analysis.evidence_ratio(cell) });
        }
        self.lacking().map(|(cell, has, needs)| Standing::Thin { cell, has, needs })
    }

    /// The first cell that a step waits for, what it has and what it needs.
    fn lacking(&self) -> Option<(usize, u64, u64)> {
        let cells = &self.analysis.cells;
        let moved =
            |c: &usize| cells.class(*c).is_none_or(|class| self.shares.get(class).is_some_and(|s| *s > 0.0));
        (0..cells.len()).filter(|&c| cells.requires_evidence(c)).filter(moved).find_map(|cell| {
            [Signal::Failed, Signal::Late].into_iter().find_map(|signal| {
                let duel = self.analysis.comparison(cell, signal);
                // A class that nobody asks for is not waited for.
                let asked = duel.old.of + duel.new.of > 0 || cell == 0;
                let (rate, fault) = (duel.old.rate(), self.settings.min_detectable_fault);
                let shown =
                    self.analysis.would_detect(cell, rate, fault, (duel.old_in_step, duel.new_in_step.of));
                let needs = self.analysis.required_outcomes(cell, rate, fault).max(duel.new_in_step.of + 1);
                (asked && !shown).then_some((cell, duel.new_in_step.of, needs))
            })
        })
    }

    /// Why it stands where it stands, in words.
    pub fn explain_state(&self, now: Nanos) -> String {
        let last = self.changes.back();
        match &self.state {
            State::Ready => "nobody has said start".to_owned(),
            State::Waiting => format!(
                "the pools have {} old and {} new boxes that take work",
                self.sight.old, self.sight.new
            ),
            State::Step { .. } => {
                let standing = self.standing(now, &self.kept_back(self.settings.shares(self.step)));
                standing.map_or_else(|| "about to climb".to_owned(), |s| s.say(self))
            }
            State::Undoing => {
                format!("the old pool cannot carry {:.0}% of the work yet", 100.0 * self.room.stays)
            }
            _ => last.map_or_else(String::new, |c| c.why.clone()),
        }
    }

    /// The state in one word.
    pub fn state_name(&self) -> &'static str {
        match self.state {
            State::Ready => "not started",
            State::Waiting => "waiting",
            State::Step { .. } => "stepping",
            State::Held { .. } => "held",
            State::Undoing => "going back",
            State::Undone => "undone",
            State::Finished => "finished",
            State::Abandoned => "abandoned",
        }
    }

    /// Goes on from what a journal holds. The step's evidence is gathered anew.
    pub(crate) fn resume(&mut self, change: Change, whole: bool) {
        self.step = change.step.min(self.settings.step_count() - 1);
        self.shares = change.shares.clone();
        self.shares.resize(self.settings.classes.len(), 0.0);
        self.entered = change.at;
        if matches!(change.state, State::Undone | State::Undoing) {
            self.undone_at = Some(change.at);
        }
        let moving = matches!(change.state, State::Step { .. } | State::Waiting | State::Finished);
        self.state = match change.state.clone() {
            _ if !whole && moving => State::Held { step: self.step, why: HoldReason::JournalTruncated },
            State::Step { .. } => State::Step { step: self.step },
            State::Held { why, .. } => State::Held { step: self.step, why },
            other => other,
        };
        self.changes.push_back(change);
    }

    /// An old change of a journal, for those who ask what was.
    pub(crate) fn remember(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}

/// Who changes a state where no operator does.
const SELF: &str = "laurelroute";

/// What the next step waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    NoPlanner,
    Young(Nanos),
    Small { class: usize, share: f64, wanted: f64 },
    Doubt { cell: usize, part: f64 },
    GivesBack { back: u64, meant: u64 },
    Thin { cell: usize, has: u64, needs: u64 },
}

impl Standing {
    fn say(&self, rollout: &Rollout) -> String {
        let cells = &rollout.analysis.cells;
        match *self {
            Standing::NoPlanner => "no planner is heard: the share is kept".to_owned(),
            Standing::Young(left) => format!("{:.1} s more on this step", left as f64 / 1e9),
            Standing::Small { class, share, wanted } => format!(
                "the new pool carries {:.1}% of {} now, {:.0}% is wanted",
                100.0 * share,
                rollout.settings.classes[class],
                100.0 * wanted
            ),
            Standing::Doubt { cell, part } => {
                format!("{} is in doubt ({:.0}% of what alarms)", cells.name(cell), 100.0 * part)
            }
            Standing::GivesBack { back, meant } => {
                format!("{back} of {meant} requests meant for the new pool went to the old one")
            }
            Standing::Thin { cell, has, needs } => {
                format!("{} has shown {has} of {needs} requests on this step", cells.name(cell))
            }
        }
    }
}
