//! The shift of traffic from one pool of servers to another, if the operator's file configures one.

use super::{Gateway, State};
use laurelroute_policy::interface::Event;
use laurelroute_shift::controller::{Evaluation, ShiftController};
use laurelroute_shift::rollout::{Change, Command as ShiftCommand, CommandError};
use std::rc::Rc;

impl Gateway {
    /// Sets the shift that this node follows; to be called before the first server list is applied.
    pub fn set_shift(&self, controller: ShiftController) {
        self.state.borrow_mut().shift = Some(Box::new(controller));
    }

    /// Runs `f` on the shift, if there is one.
    pub fn shift<T>(&self, f: impl FnOnce(&ShiftController) -> T) -> Option<T> {
        self.state.borrow().shift.as_deref().map(f)
    }

    /// Evaluates the shift's pools and evidence, and returns the resulting changes. `no_planner` means that planners
    /// are configured and none is reachable.
    pub fn evaluate_shift(self: &Rc<Self>, no_planner: bool) -> Vec<Change> {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let Some(evaluation) = state.shift.as_mut().map(|s| s.evaluate(now, no_planner)) else {
            return Vec::new();
        };
        self.apply_split(&mut state, evaluation)
    }

    /// Applies an operator's command to the shift; `None` if there is no shift.
    pub fn apply_shift_command(
        self: &Rc<Self>,
        command: &ShiftCommand,
    ) -> Option<Result<Vec<Change>, CommandError>> {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let evaluation = state.shift.as_mut()?.apply_command(now, command);
        Some(evaluation.map(|evaluation| self.apply_split(&mut state, evaluation)))
    }

    fn apply_split(self: &Rc<Self>, state: &mut State, evaluation: Evaluation) -> Vec<Change> {
        if let Some(split) = evaluation.split {
            self.handle(state, Event::Split(split));
        }
        evaluation.changes
    }
}
