//! Failure detection: when each member was last heard from, which members are suspected, and when this process was
//! itself paused.

use crate::defect::{Defect, Planted};
use crate::view::MemberId;
use crate::{Nanos, MS, TICK_INTERVAL};
use std::collections::{BTreeMap, BTreeSet};

/// Interval of the heartbeats to a member's observers.
pub const HEARTBEAT_INTERVAL: Nanos = 250 * MS;
/// A member that has been silent for this long is probed through others.
pub const PROBE_AFTER: Nanos = 800 * MS;
/// Interval of the indirect probes.
pub const PROBE_INTERVAL: Nanos = 300 * MS;
/// A member that has been silent for this long is suspected. Like the other silences, it is counted only in time in
/// which the observer itself ran.
pub const SUSPECT_AFTER: Nanos = 2_200 * MS;
/// A process that has not run for this long was paused, and may have missed the others' datagrams.
const PAUSE_THRESHOLD: Nanos = 500 * MS;
/// A member that hears from no other for this long suspects nobody: its own connectivity is at fault.
const ISOLATED_AFTER: Nanos = 1_000 * MS;
/// A member that was heard directly within this time is alive, whatever others report.
const FRESH_WITHIN: Nanos = 1_200 * MS;

#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    /// Time since the member was last heard from, counted only while this process ran.
    silent_for: Nanos,
    probed_at: Nanos,
}

/// The state of the failure detector.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    observed: BTreeMap<MemberId, Observed>,
    /// When each member was last heard from directly.
    heard_at: BTreeMap<MemberId, Nanos>,
    ticked_at: Option<Nanos>,
    /// Time that this process ran without hearing from any other member.
    isolated_for: Nanos,
    /// End of the time after a pause in which nobody is suspected.
    grace_until: Nanos,
    /// Number of pauses.
    pauses: u64,
    planted: Planted,
}

impl FailureDetector {
    /// Injects a defect, for tests.
    pub fn plant(&mut self, planted: Planted) {
        self.planted = planted;
    }

    /// Sets the members to observe. Those that were observed before keep their silence.
    pub fn observe(&mut self, observed: BTreeSet<MemberId>, members: impl Fn(MemberId) -> bool) {
        let previous = std::mem::take(&mut self.observed);
        self.observed =
            observed.into_iter().map(|s| (s, previous.get(&s).copied().unwrap_or_default())).collect();
        self.heard_at.retain(|s, _| members(*s));
    }

    /// Forgets a member's state: its ID belongs to a new incarnation.
    pub fn forget(&mut self, member: MemberId) {
        self.observed.entry(member).and_modify(|s| *s = Observed::default());
        self.heard_at.remove(&member);
    }

    /// Records a datagram from a member.
    pub fn record_datagram(&mut self, now: Nanos, member: MemberId) {
        self.isolated_for = 0;
        self.heard_at.insert(member, now);
        self.record_alive(member);
    }

    /// Records that another member has heard from this one.
    pub fn record_alive(&mut self, member: MemberId) {
        let stays_silent =
            |s: &Observed| self.planted.is(Defect::NoRefutation) && s.silent_for >= PROBE_AFTER;
        self.observed
            .entry(member)
            .and_modify(|s| s.silent_for = if stays_silent(s) { s.silent_for } else { 0 });
    }

    /// Whether the member was heard from directly within the last [`FRESH_WITHIN`].
    pub fn heard_recently(&self, now: Nanos, member: MemberId) -> bool {
        let suspected = self.observed.get(&member).is_some_and(|s| s.silent_for >= SUSPECT_AFTER);
        if self.planted.is(Defect::NoRefutation) && suspected {
            return false;
        }
        self.heard_at.get(&member).is_some_and(|at| now.saturating_sub(*at) < FRESH_WITHIN)
    }

    /// Whether this member objects to the removal of another one.
    pub fn objects_to_removal(&self, now: Nanos, member: MemberId) -> bool {
        !self.planted.is(Defect::NoRefutation) && self.heard_recently(now, member)
    }

    /// Number of times that this process was paused.
    pub fn pause_count(&self) -> u64 {
        self.pauses
    }

    /// Advances the time; returns the members to probe through others.
    pub fn tick(&mut self, now: Nanos) -> Vec<MemberId> {
        let gap = now.saturating_sub(self.ticked_at.replace(now).unwrap_or(now));
        let detects_pauses = !self.planted.is(Defect::NoSelfDoubt);
        if gap > PAUSE_THRESHOLD && detects_pauses {
            self.pauses += 1;
            self.isolated_for = 0;
            self.grace_until = now + PROBE_AFTER;
            self.observed.values_mut().for_each(|s| *s = Observed::default());
        }
        let running_time = if detects_pauses { gap.min(2 * TICK_INTERVAL) } else { gap };
        self.isolated_for += if detects_pauses { running_time } else { 0 };
        let mut probe = Vec::new();
        for (member, state) in &mut self.observed {
            state.silent_for += running_time;
            if state.silent_for >= PROBE_AFTER && now.saturating_sub(state.probed_at) >= PROBE_INTERVAL {
                state.probed_at = now;
                probe.push(*member);
            }
        }
        probe
    }

    /// The members that this one suspects.
    pub fn suspects(&self, now: Nanos) -> Vec<MemberId> {
        if self.isolated_for >= ISOLATED_AFTER || now < self.grace_until {
            return Vec::new();
        }
        let silent = |(_, state): &(&MemberId, &Observed)| state.silent_for >= SUSPECT_AFTER;
        self.observed.iter().filter(silent).map(|(member, _)| *member).collect()
    }

    /// For diagnostics: how long each observed member has been silent.
    pub fn silent_times(&self) -> impl Iterator<Item = (MemberId, Nanos)> + '_ {
        self.observed.iter().map(|(member, state)| (*member, state.silent_for))
    }
}
