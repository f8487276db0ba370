//! The promises, looked at from outside: nothing here asks the decision module or the follower what they think.

use crate::{Nanos, MS};
use laurelroute_policy::interface::{AttemptOutcome, Idempotency};
use std::collections::BTreeMap;

/// From the telling of a drain to the last request that may go out.
const DRAINED: Nanos = 250 * MS;

/// What is known of one request.
#[derive(Clone, Debug)]
pub struct Life {
    /// When its client gives up.
    pub give_up_at: Nanos,
    /// How far it may be repeated.
    pub effect: Idempotency,
    /// Attempts out, and those that have ended without proof that they never ran.
    pub out: u32,
    may_have_run: bool,
    /// It has its final answer.
    pub answered: bool,
}

impl Life {
    /// A request that has just come.
    pub fn new(give_up_at: Nanos, effect: Idempotency) -> Life {
        Life { give_up_at, effect, out: 0, may_have_run: false, answered: false }
    }

    /// It goes out, for the first time or again.
    pub fn sent(&mut self, now: Nanos) -> Result<(), String> {
        if self.answered {
            return Err("sent after its final answer".into());
        }
        if now > self.give_up_at {
            return Err("sent after its client gave up".into());
        }
        if self.effect == Idempotency::Unsafe && (self.out > 0 || self.may_have_run) {
            return Err("an unsafe request sent again that may have run".into());
        }
        self.out += 1;
        Ok(())
    }

    /// An attempt has ended.
    pub fn ended(&mut self, ending: AttemptOutcome) {
        self.out = self.out.saturating_sub(1);
        self.may_have_run |= !ending.never_ran();
    }

    /// It gets a final answer; `refused` says that a repeat is harmless.
    pub fn answer(&mut self, now: Nanos, refused: bool) -> Result<(), String> {
        if std::mem::replace(&mut self.answered, true) {
            return Err("a second final answer".into());
        }
        if now > self.give_up_at {
            return Err("a final answer after its client gave up".into());
        }
        if refused && self.effect == Idempotency::Unsafe && (self.may_have_run || self.out > 0) {
            return Err("an unsafe request refused that may have run".into());
        }
        Ok(())
    }
}

/// What one forwarder was told of boxes that take nothing new.
#[derive(Clone, Debug, Default)]
pub struct Closed(BTreeMap<u32, (Nanos, u64, Nanos)>);

impl Closed {
    /// It has heard of a box: closed or ready, by which version of the membership, and which life of the box.
    pub fn heard(&mut self, now: Nanos, server: u32, ready: bool, membership: u64, started_at: Nanos) {
        match self.0.get(&server) {
            Some(&(_, by, life)) if ready && (membership > by || started_at > life) => {
                self.0.remove(&server);
            }
            None if !ready => drop(self.0.insert(server, (now, membership, started_at))),
            Some(&(at, by, life)) if !ready => {
                self.0.insert(server, (at, by.max(membership), life.max(started_at)));
            }
            _ => {}
        }
    }

    /// A request goes to a box.
    pub fn sent(&self, now: Nanos, server: u32) -> Result<(), String> {
        match self.0.get(&server) {
            Some((at, ..)) if now > at + DRAINED => {
                Err(format!("sent to box {server} {} ms after it was told closed", (now - at) / MS))
            }
            _ => Ok(()),
        }
    }
}
