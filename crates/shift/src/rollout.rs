//! The state machine of a shift: what advances it to the next step, and what holds, undoes and ends it.
//!
//! Time alone advances nothing. A step is passed when every class has enough outcomes to detect a fault of
//! [`ShiftSettings::min_detectable_fault`], no cell is suspicious and the new pool can carry the next share. It is undone
//! as soon as one cell raises an alarm.

use crate::analysis::{Alarm, Blame, CanaryAnalysis, LatencyBaseline, Outcome, Signal, Signals};
use crate::capacity::{self, CapacityPlan, Zone};
use crate::cells::CellsError;
use crate::pool::Pool;
use crate::settings::{OnAlarm, ShiftSettings};
use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of retained state changes.
const MAX_CHANGES: usize = 64;
/// No step is passed while a cell has at least this part of the evidence that raises an alarm.
const MAX_EVIDENCE_RATIO: f64 = 0.5;
/// Without a planner, or with a zone unreachable, an undo requires this multiple of the alarm threshold.
const STRICT_ALARM_MULTIPLE: f64 = 2.0;
/// A share is reduced within a step only if less than this part of it can be carried, so that a ramp does not flap.
const MIN_SHARE_REDUCTION: f64 = 0.9;
/// No step is passed while more than this part of the requests meant for the new pool goes to the old one.
const MAX_GIVEN_BACK: f64 = 0.2;
/// Shares that differ by less than this are equal.
const SHARE_TOLERANCE: f64 = 1e-6;

/// The reason for a hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HoldReason {
    /// Requested by an operator.
    Operator,
    /// Cells are worse in the new pool.
    Alarm,
    /// A zone is unreachable: failures may be due to the network.
    #[serde(rename = "cut-off")]
    ZoneUnreachable,
    /// The old pool has no servers: there is nothing to compare with or to return to.
    #[serde(rename = "old-gone")]
    OldPoolEmpty,
    /// The journal ends in the middle of a record.
    #[serde(rename = "half-written")]
    JournalTruncated,
}

/// The state of a shift.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// Not started.
    Ready,
    /// Started; waits for servers in both pools.
    Waiting,
    /// Sends a share to the new pool and compares the pools.
    Step {
        /// The step's index, from 0.
        #[serde(rename = "rung")]
        step: usize,
    },
    /// Does not advance; alarms still take traffic back.
    Held {
        /// The step's index, from 0.
        #[serde(rename = "rung")]
        step: usize,
        /// The reason.
        why: HoldReason,
    },
    /// Returns traffic as far as the old pool can carry it.
    Undoing,
    /// All traffic is back with the old pool.
    Undone,
    /// All traffic goes to the new pool and nothing is compared. An operator can still undo it.
    Finished,
    /// Ended: pools are no longer told apart.
    Abandoned,
}

impl State {
    /// Whether requests are told apart by pool.
    pub fn on(&self) -> bool {
        !matches!(self, State::Ready | State::Abandoned)
    }
}

/// The kind of an operator's command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verb {
    /// Starts, also after an undo.
    Start,
    /// Holds at the current step.
    Hold,
    /// Resumes a held shift, or advances by one step regardless of the evidence.
    Advance,
    /// Returns all traffic to the old pool.
    Undo,
    /// Sends all traffic to the new pool.
    Finish,
    /// Ends the shift without a result.
    Abandon,
}

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The command.
    pub verb: Verb,
    /// The operator.
    pub who: String,
    /// The reason.
    pub why: String,
    /// Overrides the checks that would reject the command.
    pub insist: bool,
}

/// Why a command is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The command does not apply in this state.
    #[error("the shift is {0}: `{1}` changes nothing there")]
    InvalidState(String, String),
    /// The shift was undone less than the restart cooldown ago.
    #[error("it was undone {0} s ago and rests for {1} s: insist to begin again")]
    CoolingDown(u64, u64),
    /// The pool that traffic would go to has no servers.
    #[error("the {0} pool has no box")]
    EmptyPool(&'static str),
}

/// A change of state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Time of the change.
    pub at: Nanos,
    /// The new state.
    pub state: State,
    /// The new step.
    #[serde(rename = "rung")]
    pub step: usize,
    /// The operator, or `laurelroute` for an automatic change.
    pub who: String,
    /// The reason.
    pub why: String,
    /// The new shares, by class.
    pub shares: Vec<f64>,
    /// The name of the cell that raised an alarm, and the alarm.
    pub alarm: Option<(String, Alarm)>,
}

/// The state of the pools at an evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolStatus {
    /// Load and capacity by zone.
    pub zones: Vec<Zone>,
    /// Servers of the old pool that take requests.
    pub old: usize,
    /// Servers of the new pool that take requests.
    pub new: usize,
    /// A zone is unreachable.
    pub cut_off: bool,
    /// Planners are configured and none is reachable.
    pub no_planner: bool,
}

/// The result of an attempt as the shift counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered.
    Served,
    /// An error, a reset, a failed connection or a malformed response.
    Failed,
    /// Timed out.
    TimedOut,
    /// Rejected by a full server without being processed.
    Rejected,
    /// Cancelled, or the client disconnected: not evidence.
    Cancelled,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt<'a> {
    /// The server's pool when the attempt was sent.
    pub pool: Pool,
    /// Both predicates match the server: it counts as an old one and its attempts are no evidence.
    pub ambiguous: bool,
    /// The server, by a number that the caller assigns.
    pub server: u32,
    /// The request's class.
    pub class: usize,
    /// The server's zone.
    pub zone: usize,
    /// A retry, by the proxy or by the client.
    pub again: bool,
    /// The tenant's group in each split.
    pub groups: &'a [usize],
    /// The result.
    pub end: AttemptResult,
    /// Time until the response, or until the attempt ended.
    pub took: Nanos,
    /// The class's latency target.
    pub aim: Nanos,
    /// The server was in slow start when the attempt was sent.
    pub cold: bool,
}

/// The state of one shift.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The settings.
    pub settings: ShiftSettings,
    /// The evidence.
    pub analysis: CanaryAnalysis,
    state: State,
    step: usize,
    shares: Vec<f64>,
    capacity_plan: CapacityPlan,
    state_since: Nanos,
    cause_cleared_at: Option<Nanos>,
    undone_at: Option<Nanos>,
    usual: Vec<LatencyBaseline>,
    changes: VecDeque<Change>,
    changed: u64,
    pool_status: PoolStatus,
    /// Requests meant for the new pool on this step, and how many of them went to the old one.
    given_back: (u64, u64),
}

impl Rollout {
    /// Creates a shift that is not started.
    pub fn new(settings: ShiftSettings) -> Result<Rollout, CellsError> {
        let analysis = CanaryAnalysis::new(settings.cells()?, settings.bounds);
        let classes = settings.classes.len();
        Ok(Rollout {
            analysis,
            state: State::Ready,
            step: 0,
            shares: vec![0.0; classes],
            capacity_plan: CapacityPlan::default(),
            state_since: 0,
            cause_cleared_at: None,
            undone_at: None,
            usual: vec![LatencyBaseline::default(); classes],
            changes: VecDeque::new(),
            changed: 0,
            pool_status: PoolStatus::default(),
            given_back: (0, 0),
            settings,
        })
    }

    /// The current state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The current, last or next step.
    pub fn step(&self) -> usize {
        self.step
    }

    /// The share of each class that goes to the new pool now.
    pub fn shares(&self) -> &[f64] {
        &self.shares
    }

    /// The capacity plan of the last evaluation.
    pub fn capacity_plan(&self) -> &CapacityPlan {
        &self.capacity_plan
    }

    /// The pools' state at the last evaluation.
    pub fn pool_status(&self) -> &PoolStatus {
        &self.pool_status
    }

    /// Time of the last change of state.
    pub fn state_since(&self) -> Nanos {
        self.state_since
    }

    /// The retained changes, oldest first.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter()
    }

    /// Number of changes since this value was created, including those no longer retained.
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
            // A rejected attempt has no latency, and that of a failed one is not meaningful.
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

    /// Counts a request meant for the new pool; `given_back` means that it went to the old one because the new one had no
    /// server for it or would have been late. That is no evidence of a fault, but a high rate blocks the next step.
    pub fn record_new_pool_request(&mut self, given_back: bool) {
        self.given_back.0 += 1;
        self.given_back.1 += u64::from(given_back);
    }

    fn change(&mut self, now: Nanos, state: State, who: &str, why: String, alarm: Option<Alarm>) -> Change {
        if state != self.state {
            self.state_since = now;
            self.cause_cleared_at = None;
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

    /// Applies an operator's command.
    pub fn apply_command(&mut self, now: Nanos, command: &Command) -> Result<Change, CommandError> {
        let invalid = |c: &Rollout| {
            let (state, verb) = (c.state_name(), format!("{:?}", command.verb).to_lowercase());
            Err(CommandError::InvalidState(state.to_owned(), verb))
        };
        let last = self.settings.step_count() - 1;
        let who = command.who.as_str();
        let why = command.why.clone();
        match (command.verb, self.state.clone()) {
            (Verb::Start, State::Ready | State::Abandoned | State::Undone) => {
                let age = self.undone_at.map(|at| now.saturating_sub(at));
                if let Some(age) = age.filter(|a| *a < self.settings.restart_cooldown && !command.insist) {
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
            // An automatic hold would end by itself; an operator's does not.
            (Verb::Hold, State::Held { step, why: held }) if held != HoldReason::Operator => {
                Ok(self.change(now, State::Held { step, why: HoldReason::Operator }, who, why, None))
            }
            (Verb::Advance, State::Held { .. } | State::Step { .. }) => {
                self.analysis.update_evidence();
                let doubtful = !self.analysis.alarms().is_empty();
                self.analysis.excuse_evidence();
                if matches!(self.state, State::Step { .. }) {
                    if self.step == last {
                        return invalid(self);
                    }
                    self.enter_step(self.step + 1);
                }
                let said = if doubtful { format!("{why} (on evidence against it)") } else { why };
                Ok(self.change(now, State::Step { step: self.step }, who, said, None))
            }
            (Verb::Undo, State::Waiting | State::Step { .. } | State::Held { .. } | State::Finished) => {
                if self.pool_status.old == 0 && !command.insist {
                    return Err(CommandError::EmptyPool("old"));
                }
                Ok(self.undo(now, who, why, None))
            }
            (Verb::Finish, State::Waiting | State::Step { .. } | State::Held { .. }) => {
                if self.pool_status.new == 0 {
                    return Err(CommandError::EmptyPool("new"));
                }
                self.analysis.excuse_evidence();
                self.enter_step(last);
                self.shares = self.settings.shares(last);
                Ok(self.change(now, State::Finished, who, why, None))
            }
            (Verb::Abandon, state) if state != State::Abandoned => {
                self.shares.fill(0.0);
                Ok(self.change(now, State::Abandoned, who, why, None))
            }
            _ => invalid(self),
        }
    }

    /// Limits the shares by the holdback: until the shift is finished part of each class stays with the old pool, without
    /// which a fault of the new pool could not be told from one that affects both.
    pub(crate) fn apply_holdback(&self, mut shares: Vec<f64>) -> Vec<f64> {
        let most = 1.0 - self.settings.holdback;
        shares.iter_mut().for_each(|s| *s = s.min(most));
        shares
    }

    fn enter_step(&mut self, step: usize) {
        self.given_back = (0, 0);
        self.step = step;
        self.analysis.begin_step();
    }

    fn undo(&mut self, now: Nanos, who: &str, why: String, alarm: Option<Alarm>) -> Change {
        let stays = self.capacity_plan.stays;
        self.shares.iter_mut().for_each(|s| *s = s.min(stays));
        self.undone_at = Some(now);
        let state = if stays > SHARE_TOLERANCE { State::Undoing } else { State::Undone };
        self.change(now, state, who, why, alarm)
    }

    /// Evaluates the pools and the evidence, and returns the resulting changes.
    pub fn tick(&mut self, now: Nanos, pool_status: PoolStatus) -> Vec<Change> {
        self.analysis.update_evidence();
        self.pool_status = pool_status;
        let wanted = match self.state {
            State::Step { .. } | State::Held { .. } => self.apply_holdback(self.settings.shares(self.step)),
            State::Finished => self.settings.shares(self.step),
            _ => vec![0.0; self.shares.len()],
        };
        self.capacity_plan = capacity::solve(&self.pool_status.zones, &wanted);
        let mut changes = Vec::new();
        match self.state.clone() {
            State::Ready | State::Abandoned | State::Undone => {}
            State::Waiting if self.pool_status.new > 0 && self.pool_status.old > 0 => {
                self.enter_step(0);
                let why = format!("{} boxes of the new pool take work", self.pool_status.new);
                changes.push(self.change(now, State::Step { step: 0 }, AUTOMATIC_ACTOR, why, None));
            }
            State::Waiting => {}
            State::Undoing => changes.extend(self.continue_undo(now)),
            State::Finished => self.follow_capacity(&wanted),
            State::Step { .. } | State::Held { .. } => changes.extend(self.evaluate_step(now, &wanted)),
        }
        changes
    }

    /// Continues an undo as the old pool's capacity returns.
    fn continue_undo(&mut self, now: Nanos) -> Option<Change> {
        let stays = self.capacity_plan.stays;
        self.shares.iter_mut().for_each(|s| *s = s.min(stays));
        (stays <= SHARE_TOLERANCE).then(|| {
            self.undone_at = Some(now);
            self.change(
                now,
                State::Undone,
                AUTOMATIC_ACTOR,
                "the old pool carries all again".to_owned(),
                None,
            )
        })
    }

    fn evaluate_step(&mut self, now: Nanos, wanted: &[f64]) -> Option<Change> {
        if self.pool_status.new == 0 {
            return Some(self.undo(now, AUTOMATIC_ACTOR, "the new pool has no box left".to_owned(), None));
        }
        if let Some(change) = self.handle_alarm(now) {
            return Some(change);
        }
        self.follow_capacity(wanted);
        let cause = if self.pool_status.old == 0 {
            Some((HoldReason::OldPoolEmpty, "the old pool has no box left"))
        } else if self.pool_status.cut_off {
            Some((HoldReason::ZoneUnreachable, "a depot is cut off"))
        } else {
            None
        };
        match (self.state.clone(), cause) {
            (State::Step { step }, Some((why, text))) => {
                Some(self.change(now, State::Held { step, why }, AUTOMATIC_ACTOR, text.to_owned(), None))
            }
            (State::Held { why: HoldReason::ZoneUnreachable | HoldReason::OldPoolEmpty, .. }, None) => {
                let since = *self.cause_cleared_at.get_or_insert(now);
                let settled = now.saturating_sub(since) >= self.settings.settle_time;
                settled.then(|| {
                    let why = "what it was held for is over".to_owned();
                    self.analysis.begin_step();
                    self.change(now, State::Step { step: self.step }, AUTOMATIC_ACTOR, why, None)
                })
            }
            (State::Held { .. }, Some(_)) => {
                self.cause_cleared_at = None;
                None
            }
            (State::Step { .. }, None) => self.try_advance(now, wanted),
            _ => None,
        }
    }

    /// Undoes or holds on an alarm. While a zone is unreachable, or without a planner, stronger evidence is required.
    fn handle_alarm(&mut self, now: Nanos) -> Option<Change> {
        let strict =
            if self.pool_status.no_planner || self.pool_status.cut_off { STRICT_ALARM_MULTIPLE } else { 1.0 };
        let held = matches!(self.state, State::Held { why: HoldReason::Alarm, .. });
        let alarm = self.analysis.alarms().into_iter().find(|a| a.evidence >= strict * a.bound)?;
        if held || self.pool_status.old == 0 {
            return None;
        }
        let why = self.describe(&alarm);
        if self.settings.on_alarm == OnAlarm::Hold {
            let state = State::Held { step: self.step, why: HoldReason::Alarm };
            return Some(self.change(now, state, AUTOMATIC_ACTOR, why, Some(alarm)));
        }
        Some(self.undo(now, AUTOMATIC_ACTOR, why, Some(alarm)))
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

    /// Adjusts the shares to what the new pool can carry, up to the step's: capacity grows during slow start.
    fn follow_capacity(&mut self, wanted: &[f64]) {
        for (class, share) in self.shares.iter_mut().enumerate() {
            let fits = self.capacity_plan.shares.get(class).copied().unwrap_or(0.0);
            // Traffic that the old pool cannot carry stays with the new one in any case.
            let fits = fits.max(self.capacity_plan.stays.min(*share)).min(wanted[class]);
            if fits > *share || fits < MIN_SHARE_REDUCTION * *share || wanted[class] < *share {
                *share = fits;
            }
        }
    }

    /// Advances to the next step if nothing blocks it.
    fn try_advance(&mut self, now: Nanos, wanted: &[f64]) -> Option<Change> {
        if self.blocker(now, wanted).is_some() {
            return None;
        }
        if self.step + 1 == self.settings.step_count() {
            return Some(self.change(
                now,
                State::Finished,
                AUTOMATIC_ACTOR,
                "all rungs have shown enough".to_owned(),
                None,
            ));
        }
        let seen = self.analysis.comparison(0, Signal::Failed).new_in_step;
        self.enter_step(self.step + 1);
        let why = format!("{} of {} failed on the rung before, no cell in doubt", seen.bad, seen.of);
        Some(self.change(now, State::Step { step: self.step }, AUTOMATIC_ACTOR, why, None))
    }

    /// The first condition that blocks the next step.
    fn blocker(&self, now: Nanos, wanted: &[f64]) -> Option<Blocker> {
        if self.pool_status.no_planner {
            return Some(Blocker::NoPlanner);
        }
        let age = now.saturating_sub(self.state_since);
        let last = self.step + 1 == self.settings.step_count();
        let least = if last { self.settings.final_step_time } else { self.settings.min_step_time };
        if age < least {
            return Some(Blocker::Young(least - age));
        }
        let short = self.shares.iter().zip(wanted).position(|(s, w)| *s < w - SHARE_TOLERANCE);
        if let Some(class) = short {
            return Some(Blocker::Small { class, share: self.shares[class], wanted: wanted[class] });
        }
        let (meant, back) = self.given_back;
        if back as f64 > MAX_GIVEN_BACK * meant as f64 {
            return Some(Blocker::GivesBack { back, meant });
        }
        let doubtful =
            (0..self.analysis.cells.len()).find(|&c| self.analysis.evidence_ratio(c) >= MAX_EVIDENCE_RATIO);
        if let Some(cell) = doubtful {
            return Some(Blocker::Doubt { cell, part: self.analysis.evidence_ratio(cell) });
        }
        self.missing_evidence().map(|(cell, has, needs)| Blocker::Thin { cell, has, needs })
    }

    /// The first cell that lacks outcomes on this step, with its count and the required count.
    fn missing_evidence(&self) -> Option<(usize, u64, u64)> {
        let cells = &self.analysis.cells;
        let moved =
            |c: &usize| cells.class(*c).is_none_or(|class| self.shares.get(class).is_some_and(|s| *s > 0.0));
        (0..cells.len()).filter(|&c| cells.requires_evidence(c)).filter(moved).find_map(|cell| {
            [Signal::Failed, Signal::Late].into_iter().find_map(|signal| {
                let comparison = self.analysis.comparison(cell, signal);
                // A class without requests is not waited for.
                let asked = comparison.old.of + comparison.new.of > 0 || cell == 0;
                let (rate, fault) = (comparison.old.rate(), self.settings.min_detectable_fault);
                let shown = self.analysis.would_detect(
                    cell,
                    rate,
                    fault,
                    (comparison.old_in_step, comparison.new_in_step.of),
                );
                let needs =
                    self.analysis.required_outcomes(cell, rate, fault).max(comparison.new_in_step.of + 1);
                (asked && !shown).then_some((cell, comparison.new_in_step.of, needs))
            })
        })
    }

    /// Explains the current state in one sentence.
    pub fn explain_state(&self, now: Nanos) -> String {
        let last = self.changes.back();
        match &self.state {
            State::Ready => "nobody has said start".to_owned(),
            State::Waiting => format!(
                "the pools have {} old and {} new boxes that take work",
                self.pool_status.old, self.pool_status.new
            ),
            State::Step { .. } => {
                let blocker = self.blocker(now, &self.apply_holdback(self.settings.shares(self.step)));
                blocker.map_or_else(|| "about to climb".to_owned(), |s| s.describe(self))
            }
            State::Undoing => {
                format!("the old pool cannot carry {:.0}% of the work yet", 100.0 * self.capacity_plan.stays)
            }
            _ => last.map_or_else(String::new, |c| c.why.clone()),
        }
    }

    /// The name of the state as shown to operators.
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

    /// Resumes from the last change of a journal. The step's evidence is gathered anew.
    pub(crate) fn resume(&mut self, change: Change, whole: bool) {
        self.step = change.step.min(self.settings.step_count() - 1);
        self.shares = change.shares.clone();
        self.shares.resize(self.settings.classes.len(), 0.0);
        self.state_since = change.at;
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

    /// Adds an earlier change of a journal to the history.
    pub(crate) fn restore_change(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}

/// The actor of automatic changes.
const AUTOMATIC_ACTOR: &str = "laurelroute";

/// A condition that blocks the next step.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Blocker {
    NoPlanner,
    Young(Nanos),
    Small { class: usize, share: f64, wanted: f64 },
    Doubt { cell: usize, part: f64 },
    GivesBack { back: u64, meant: u64 },
    Thin { cell: usize, has: u64, needs: u64 },
}

impl Blocker {
    fn describe(&self, rollout: &Rollout) -> String {
        let cells = &rollout.analysis.cells;
        match *self {
            Blocker::NoPlanner => "no planner is heard: the share is kept".to_owned(),
            Blocker::Young(left) => format!("{:.1} s more on this rung", left as f64 / 1e9),
            Blocker::Small { class, share, wanted } => format!(
                "the new pool carries {:.1}% of {} now, {:.0}% is wanted",
                100.0 * share,
                rollout.settings.classes[class],
                100.0 * wanted
            ),
            Blocker::Doubt { cell, part } => {
                format!("{} is in doubt ({:.0}% of what alarms)", cells.name(cell), 100.0 * part)
            }
            Blocker::GivesBack { back, meant } => {
                format!("{back} of {meant} requests meant for the new pool went to the old one")
            }
            Blocker::Thin { cell, has, needs } => {
                format!("{} has shown {has} of {needs} requests on this rung", cells.name(cell))
            }
        }
    }
}
