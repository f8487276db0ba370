//! Watching: whom this member hears of, whom it doubts, and when it doubts itself.

use crate::defect::{Defect, Planted};
use crate::view::MemberId;
use crate::{Nanos, MS, TICK_INTERVAL};
use std::collections::{BTreeMap, BTreeSet};

/// A member says that it is there this often.
pub const HEARTBEAT_INTERVAL: Nanos = 250 * MS;
/// Who has not been heard for so long is asked for by others, too ...
pub const ASK_AFTER: Nanos = 800 * MS;
/// ... this often ...
pub const ASK_EVERY: Nanos = 300 * MS;
/// ... and after this it is accused. All in time that the observer itself ran.
pub const ACCUSE_AFTER: Nanos = 2_200 * MS;
/// One who has not run for so long doubts itself: what it did not hear it may have missed.
const PAUSED: Nanos = 500 * MS;
/// One who hears nobody at all for so long does not accuse.
const DEAF: Nanos = 1_000 * MS;
/// Heard by itself this lately, a member is there whatever others say.
const FRESH: Nanos = 1_200 * MS;

#[derive(Clone, Copy, Debug, Default)]
struct Subject {
    /// In time that this process ran.
    silent: Nanos,
    asked: Nanos,
}

/// What this member has heard.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    subjects: BTreeMap<MemberId, Subject>,
    /// When each member was heard itself.
    heard: BTreeMap<MemberId, Nanos>,
    ticked: Option<Nanos>,
    /// Time that this process ran without hearing anybody.
    deaf: Nanos,
    /// It was paused: until then it believes nothing of others' silence.
    doubts_until: Nanos,
    /// Times that it was.
    pauses: u64,
    planted: Planted,
}

impl Watch {
    /// Does something wrong from now on, for tests.
    pub fn plant(&mut self, planted: Planted) {
        self.planted = planted;
    }

    /// Now watches these. Who was watched before stays as silent as it was.
    pub fn over(&mut self, subjects: BTreeSet<MemberId>, members: impl Fn(MemberId) -> bool) {
        let old = std::mem::take(&mut self.subjects);
        self.subjects = subjects.into_iter().map(|s| (s, old.get(&s).copied().unwrap_or_default())).collect();
        self.heard.retain(|s, _| members(*s));
    }

    /// A seat has a new holder.
    pub fn forget(&mut self, member: MemberId) {
        self.subjects.entry(member).and_modify(|s| *s = Subject::default());
        self.heard.remove(&member);
    }

    /// A word from a member itself.
    pub fn hear(&mut self, now: Nanos, member: MemberId) {
        self.deaf = 0;
        self.heard.insert(member, now);
        self.hear_of(member);
    }

    /// Another one has heard it.
    pub fn hear_of(&mut self, member: MemberId) {
        let keeps = |s: &Subject| self.planted.is(Defect::NoRefutation) && s.silent >= ASK_AFTER;
        self.subjects.entry(member).and_modify(|s| s.silent = if keeps(s) { s.silent } else { 0 });
    }

    /// Heard itself just now.
    pub fn fresh(&self, now: Nanos, member: MemberId) -> bool {
        let accused = self.subjects.get(&member).is_some_and(|s| s.silent >= ACCUSE_AFTER);
        if self.planted.is(Defect::NoRefutation) && accused {
            return false;
        }
        self.heard.get(&member).is_some_and(|at| now.saturating_sub(*at) < FRESH)
    }

    /// Whether this member would stand up for another one that is to be put out.
    pub fn vouches(&self, now: Nanos, member: MemberId) -> bool {
        !self.planted.is(Defect::NoRefutation) && self.fresh(now, member)
    }

    /// Times that this process was itself paused.
    pub fn pause_count(&self) -> u64 {
        self.pauses
    }

    /// Time goes by; gives those whom others should ask for.
    pub fn tick(&mut self, now: Nanos) -> Vec<MemberId> {
        let gap = now.saturating_sub(self.ticked.replace(now).unwrap_or(now));
        let doubts = !self.planted.is(Defect::NoSelfDoubt);
        if gap > PAUSED && doubts {
            self.pauses += 1;
            self.deaf = 0;
            self.doubts_until = now + ASK_AFTER;
            self.subjects.values_mut().for_each(|s| *s = Subject::default());
        }
        let ran = if doubts { gap.min(2 * TICK_INTERVAL) } else { gap };
        self.deaf += if doubts { ran } else { 0 };
        let mut ask = Vec::new();
        for (member, subject) in &mut self.subjects {
            subject.silent += ran;
            if subject.silent >= ASK_AFTER && now.saturating_sub(subject.asked) >= ASK_EVERY {
                subject.asked = now;
                ask.push(*member);
            }
        }
        ask
    }

    /// Whom it accuses.
    pub fn accused(&self, now: Nanos) -> Vec<MemberId> {
        if self.deaf >= DEAF || now < self.doubts_until {
            return Vec::new();
        }
        let silent = |(_, subject): &(&MemberId, &Subject)| subject.silent >= ACCUSE_AFTER;
        self.subjects.iter().filter(silent).map(|(member, _)| *member).collect()
    }

    /// For people: how long each one that it watches has been silent.
    pub fn silent_times(&self) -> impl Iterator<Item = (MemberId, Nanos)> + '_ {
        self.subjects.iter().map(|(member, subject)| (*member, subject.silent))
    }
}
