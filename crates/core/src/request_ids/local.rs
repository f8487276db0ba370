//! The ids that this process has claimed without a table.

use super::ClaimError;
use laurelroute_policy::interface::Nanos;
use std::collections::{BTreeSet, HashMap};

/// Maximum number of ids in use. Further requests are refused: forgetting an id would let a copy of its request pass.
const MAX_IDS: usize = 32 * 1024;

/// Ids and their expiry times.
#[derive(Default)]
pub(super) struct LocalIds {
    expiry: HashMap<u64, Nanos>,
    by_expiry: BTreeSet<(Nanos, u64)>,
}

impl LocalIds {
    /// Whether an id is in use.
    pub(super) fn is_in_use(&mut self, now: Nanos, id: u64) -> bool {
        self.remove_expired(now);
        self.expiry.contains_key(&id)
    }

    /// Claims an id that is not in use until a time.
    pub(super) fn claim(&mut self, id: u64, until: Nanos) -> Result<(), ClaimError> {
        if self.expiry.len() >= MAX_IDS {
            return Err(ClaimError::Unrecorded);
        }
        self.insert(id, until);
        Ok(())
    }

    /// Changes until when an id is in use.
    pub(super) fn set_expiry(&mut self, now: Nanos, id: u64, until: Nanos) {
        if self.remove(id) && until > now {
            self.insert(id, until);
        }
    }

    /// Releases an id; returns whether it was in use.
    fn remove(&mut self, id: u64) -> bool {
        let Some(until) = self.expiry.remove(&id) else { return false };
        self.by_expiry.remove(&(until, id));
        true
    }

    fn insert(&mut self, id: u64, until: Nanos) {
        self.expiry.insert(id, until);
        self.by_expiry.insert((until, id));
    }

    fn remove_expired(&mut self, now: Nanos) {
        while let Some(&(until, id)) = self.by_expiry.first().filter(|(until, _)| *until <= now) {
            self.by_expiry.remove(&(until, id));
            self.expiry.remove(&id);
        }
    }
}
