//! Forwarders: who is connected, what each wants, and what it has acknowledged.

use super::*;
use crate::services::list_version::INITIAL_EPOCH;
use crate::services::subscriber::MAX_VERSION_HISTORY;
use crate::wire::FollowedVersion;

impl Publisher {
    /// A forwarder has connected. It says what it wants by `subscribe`, and all of it anew.
    pub fn forwarder_connected(&mut self, now: Nanos, name: &str, zone: u8) -> Result<(), PublishError> {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(PublishError::InvalidName(name.len()));
        }
        let known = self.forwarder_ids.get(name).copied();
        let here = known.and_then(|id| self.forwarders.get(&id)).is_some_and(|f| f.left_at.is_none());
        if !here && self.connected >= self.settings.max_forwarders {
            return Err(PublishError::AtCapacity(self.connected));
        }
        let id = known.unwrap_or_else(|| self.add(now, name));
        let Some(f) = self.forwarders.get_mut(&id) else { return Ok(()) };
        self.connected += usize::from(!here);
        f.zone = zone;
        (f.left_at, f.joined_at) = (None, now);
        f.under_way.clear();
        f.sent_at = now;
        // What was sent on the former connection may not have come.
        f.subscriptions.values_mut().for_each(|s| s.stale = true);
        (f.dirty, f.urgent, f.hints, f.absent) = Default::default();
        f.fresh.clear();
        f.early.clear();
        (f.followed, f.epochs_ahead) = (Vec::new(), None);
        self.forget_reports(id);
        self.due.insert((now + ANEW, Due::Stale(id)));
        Ok(())
    }

    fn add(&mut self, now: Nanos, name: &str) -> u32 {
        let id = self.next_forwarder;
        self.next_forwarder += 1;
        self.forwarder_ids.insert(name.to_owned(), id);
        let forwarder = Forwarder {
            name: name.to_owned(),
            zone: 0,
            left_at: Some(now),
            joined_at: now,
            subscriptions: BTreeMap::new(),
            fresh: VecDeque::new(),
            dirty: BTreeSet::new(),
            turn: 0,
            urgent: BTreeSet::new(),
            hints: BTreeSet::new(),
            absent: BTreeSet::new(),
            early: Vec::new(),
            followed: Vec::new(),
            epochs_ahead: None,
            reported: BTreeSet::new(),
            tokens: self.settings.burst,
            drain_tokens: self.settings.drain_burst,
            tokens_at: now,
            number: 0,
            under_way: VecDeque::new(),
            sent_at: now,
        };
        self.forwarders.insert(id, forwarder);
        id
    }

    /// Its connection is lost: it lags from now on.
    pub fn forwarder_disconnected(&mut self, now: Nanos, name: &str) {
        let Some(&id) = self.forwarder_ids.get(name) else { return };
        let Some(f) = self.forwarders.get_mut(&id).filter(|f| f.left_at.is_none()) else { return };
        f.left_at = Some(now);
        self.connected -= 1;
        self.due.insert((now + FORWARDER_EXPIRY, Due::Forget(id)));
    }

    /// What a forwarder wants, no longer wants, and knows better.
    pub fn subscribe(&mut self, now: Nanos, name: &str, subscribe: &Subscribe) -> Result<(), PublishError> {
        let id = self.id_of(name)?;
        if subscribe.leaving {
            self.part_with(now, id);
            return Ok(());
        }
        if let Some(bad) = subscribe.interests.iter().find(|i| i.service.len() > MAX_NAME_BYTES) {
            return Err(PublishError::InvalidName(bad.service.len()));
        }
        let allowance = subscribe.allowance;
        if let Some(f) = self.forwarders.get_mut(&id).filter(|_| allowance > 0) {
            f.tokens = f.tokens.min(f64::from(allowance));
            f.drain_tokens = f.drain_tokens.min(f64::from(allowance));
        }
        self.hear_of_history(id, &subscribe.followed);
        self.hear_of_closed(now, id, &subscribe.closed);
        for interest in &subscribe.interests {
            self.stats.steps += 1;
            if interest.unwanted {
                self.unsubscribe(now, id, &interest.service);
            } else {
                self.interested(now, id, interest)?;
            }
        }
        if subscribe.all {
            self.withdraw_stale(now, id);
        }
        self.stirred.insert(id);
        Ok(())
    }

    /// A forwarder says what it has followed of the list, with the first that it says on a connection.
    fn hear_of_history(&mut self, id: u32, followed: &[FollowedVersion]) {
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        if f.epochs_ahead.is_some() {
            return;
        }
        let seen = followed.iter().take(MAX_VERSION_HISTORY).map(FollowedVersion::seen);
        f.followed.extend(seen);
        f.followed.truncate(MAX_VERSION_HISTORY);
        self.compare_histories(id);
    }

    /// Finds out how a forwarder counts epochs. Where nothing tells, its latest one is taken for the present one, so that
    /// the numbers alone are compared.
    pub(super) fn compare_histories(&mut self, id: u32) {
        let (Some(source), Some(f)) = (self.source, self.forwarders.get_mut(&id)) else { return };
        if f.left_at.is_some() || f.epochs_ahead.is_some() {
            return;
        }
        let latest = f.followed.last().map_or(INITIAL_EPOCH, |seen| seen.version.epoch);
        let by_number = latest as i64 - source.epoch as i64;
        f.epochs_ahead = Some(self.history.epoch_offset(&f.followed).unwrap_or(by_number));
        f.followed = Vec::new();
    }

    /// What a forwarder has not named again since it connected is no longer wanted.
    pub(super) fn withdraw_stale(&mut self, now: Nanos, id: u32) {
        let here = |f: &&Forwarder| f.left_at.is_none();
        let stale = self.forwarders.get(&id).filter(here).into_iter().flat_map(|f| &f.subscriptions);
        let stale: Vec<u32> = stale.filter(|(_, s)| s.stale).map(|(service, _)| *service).collect();
        stale.into_iter().for_each(|service| self.withdraw(now, id, service));
    }

    pub(super) fn id_of(&self, name: &str) -> Result<u32, PublishError> {
        self.forwarder_ids.get(name).copied().ok_or_else(|| PublishError::NotConnected(name.to_owned()))
    }

    pub(super) fn interested(
        &mut self,
        now: Nanos,
        id: u32,
        interest: &Interest,
    ) -> Result<(), PublishError> {
        if self.source.is_none() {
            let Some(f) = self.forwarders.get_mut(&id) else { return Ok(()) };
            f.early.retain(|other| other.service != interest.service);
            if f.early.len() >= MAX_SUBSCRIPTIONS {
                return Err(PublishError::TooManySubscriptions(MAX_SUBSCRIPTIONS));
            }
            f.early.push(interest.clone());
            return Ok(());
        }
        let service_id = self.by_name.get(interest.service.as_str()).copied();
        let empty = |s: &u32| self.services.get(s).is_none_or(|s| s.size() == 0);
        let known = service_id;
        let Some(service_id) = service_id.filter(|s| interest.incarnation != 0 || !empty(s)) else {
            // What it held before it dropped the service is of no use: it is told nothing on top of that.
            known.into_iter().for_each(|service| self.withdraw(now, id, service));
            let Some(f) = self.forwarders.get_mut(&id) else { return Ok(()) };
            if f.absent.len() >= MAX_SUBSCRIPTIONS {
                return Err(PublishError::TooManySubscriptions(MAX_SUBSCRIPTIONS));
            }
            f.absent.insert(interest.service.clone());
            return Ok(());
        };
        self.withdraw(now, id, service_id);
        let own_life = self.settings.incarnation;
        let Some(f) = self.forwarders.get_mut(&id) else { return Ok(()) };
        let Some(service) = self.services.get_mut(&service_id) else {
            f.absent.insert(interest.service.clone());
            return Ok(());
        };
        if f.subscriptions.len() >= MAX_SUBSCRIPTIONS {
            return Err(PublishError::TooManySubscriptions(MAX_SUBSCRIPTIONS));
        }
        let holds = interest.incarnation != 0;
        let alike = holds && interest.slices as usize == service.slices.len();
        let k = if alike && (interest.slice as usize) < service.slices.len() {
            interest.slice as usize
        } else {
            service.choose(&f.name, (interest.slice as usize, interest.slices as usize))
        };
        let slice = &mut service.slices[k];
        let told = ListVersion { epoch: f.own_epoch(interest.epoch), number: interest.source };
        let mut s = Subscription::whole(k);
        let resumes = alike && interest.incarnation == own_life && interest.version > 0;
        let held = interest.version;
        // What is held of the present version is what is here, or something has been lost.
        let sound = held != slice.version || interest.digest == slice.digest;
        if resumes && sound && (slice.horizon..=slice.version).contains(&held) {
            // All changes of that version were taken in, so that the next one is the first to come.
            s.resume(held);
        } else if alike && interest.digest == slice.digest {
            s.resume(slice.version);
            (s.same, s.acknowledged) = (Some(slice.digest), None);
        } else if !holds {
            s.ahead = (slice.version + 1, None);
        }
        let lacks_from = match (resumes, holds) {
            (true, _) => held,
            (false, true) => slice.made_from(told),
            (false, false) => slice.version,
        };
        for &(version, _, batch) in slice.log.iter().filter(|(version, ..)| *version > lacks_from) {
            if let Some(record) = self.records.get_mut(&batch) {
                (record.waiting, record.since) = (record.waiting + 1, None);
                s.owes.push_back((version, batch));
            }
        }
        slice.subscribers.insert(id);
        if told > self.source.unwrap_or_default() {
            // From when it came, however often it asks: else it would wait for ever.
            let until = (f.joined_at + STALE_LIST_TIMEOUT).max(now);
            s.later = Some((told, until));
            self.waiting.insert(id);
            self.due.insert((until, Due::Later(id)));
        }
        if holds {
            f.dirty.insert(service_id);
            f.urgent.insert(service_id);
            f.hints.insert(service_id);
        } else {
            f.fresh.push_back(service_id);
        }
        f.subscriptions.insert(service_id, s);
        self.tell_number(service_id, k);
        Ok(())
    }

    /// All who use a slice hear of it when they have become twice as many: what is split among them must not come to more
    /// than the whole.
    pub(super) fn tell_number(&mut self, service: u32, k: usize) {
        let Some(slice) = self.services.get_mut(&service).map(|s| &mut s.slices[k]) else { return };
        let step = slice.step();
        if step <= slice.told {
            return;
        }
        slice.told = step;
        for f in &slice.subscribers {
            self.stats.steps += 1;
            if let Some(f) = self.forwarders.get_mut(f) {
                f.hints.insert(service);
            }
            self.stirred.insert(*f);
        }
    }

    /// A later list than this planner's says that these take nothing new.
    fn hear_of_closed(&mut self, now: Nanos, id: u32, closed: &[ClosedServer]) {
        let Some(source) = self.source else { return };
        let Some(own_epoch) = self.forwarders.get(&id).map(|f| f.epochs_ahead) else { return };
        let mut entries = Vec::new();
        for word in closed {
            let Some(server) = self.servers.get(word.name.as_str()) else { continue };
            let same_life = server.member.server.started_at / MS <= word.started_ms;
            let told = ListVersion { epoch: translated(word.epoch, own_epoch), number: word.membership };
            if told > source && same_life {
                let phase = if word.removed { Phase::Removed } else { Phase::Draining };
                let names = server.services.iter().filter_map(|id| self.services.get(id));
                let services: Vec<String> = names.map(|s| s.name.to_string()).collect();
                let (name, own) = (Name::from(word.name.as_str()), server.member.clone());
                entries
                    .push(ListedServer { services: services.clone(), member: own.clone().in_phase(phase) });
                self.overruled
                    .entry(name)
                    .or_insert((now + STALE_LIST_TIMEOUT, ListedServer { services, member: own }));
                self.due.insert((now + STALE_LIST_TIMEOUT, Due::Overruled));
            }
        }
        if !entries.is_empty() {
            self.take(now, (source, false), false, entries);
        }
    }

    /// Where the own list has not come to say so, the source has lost its versions, and the own list counts.
    pub(super) fn look_at_overruled(&mut self, now: Nanos) {
        let Some(source) = self.source else { return };
        let due: Vec<Name> =
            self.overruled.iter().filter(|(_, (until, _))| *until <= now).map(|(n, _)| n.clone()).collect();
        let back = due.iter().filter_map(|name| self.overruled.remove(name));
        let back: Vec<ListedServer> = back.map(|(_, listed)| listed).collect();
        if !back.is_empty() {
            self.take(now, (source, false), false, back);
        }
    }

    fn unsubscribe(&mut self, now: Nanos, id: u32, service: &str) {
        if let Some(f) = self.forwarders.get_mut(&id) {
            f.absent.remove(service);
            f.early.retain(|interest| interest.service != service);
        }
        if let Some(&service) = self.by_name.get(service) {
            self.withdraw(now, id, service);
        }
    }

    /// A forwarder's subscription ends: it counts neither among those that a change has to reach nor among those that have it.
    pub(super) fn withdraw(&mut self, now: Nanos, id: u32, service_id: u32) {
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        let Some(s) = f.subscriptions.remove(&service_id) else { return };
        for set in [&mut f.dirty, &mut f.urgent, &mut f.hints] {
            set.remove(&service_id);
        }
        f.fresh.retain(|other| *other != service_id);
        s.owes.iter().for_each(|(_, batch)| self.pay(now, *batch));
        let Some(service) = self.services.get_mut(&service_id) else { return };
        if let Some(slice) = service.slices.get_mut(s.slice) {
            slice.subscribers.remove(&id);
        }
        self.forget_unused(service_id);
    }

    pub(super) fn part_with(&mut self, now: Nanos, id: u32) {
        if let Some(f) = self.forwarders.get_mut(&id) {
            f.early.clear();
            f.absent.clear();
        }
        let services = self.forwarders.get(&id).map(|f| f.subscriptions.keys().copied().collect::<Vec<_>>());
        services.into_iter().flatten().for_each(|service| self.withdraw(now, id, service));
    }

    pub(super) fn forget(&mut self, now: Nanos, id: u32) {
        self.part_with(now, id);
        self.forget_reports(id);
        self.waiting.remove(&id);
        self.stirred.remove(&id);
        if let Some(f) = self.forwarders.remove(&id) {
            self.forwarder_ids.remove(&f.name);
        }
    }

    /// An update has been taken in, service by service, or not.
    pub fn acknowledge(&mut self, now: Nanos, name: &str, acknowledge: &UpdateAck) {
        let Some(&id) = self.forwarder_ids.get(name) else { return };
        if acknowledge.incarnation != self.settings.incarnation {
            return;
        }
        let refused = acknowledge.refused.iter();
        let refused: BTreeMap<u32, RejectReason> =
            refused.filter_map(|r| Some((*self.by_name.get(r.service.as_str())?, r.reason()))).collect();
        while let Some(f) = self.forwarders.get_mut(&id) {
            if f.under_way.front().is_none_or(|(number, ..)| *number > acknowledge.number) {
                break;
            }
            let Some((number, _, brought)) = f.under_way.pop_front() else { break };
            for (service, version) in brought {
                let because = refused.get(&service).filter(|_| number == acknowledge.number);
                match (because, version) {
                    // Its word that it no longer wants it is on its way.
                    (Some(RejectReason::NotSubscribed), _) => self.withdraw(now, id, service),
                    (Some(_), _) => self.start_anew(id, service),
                    (None, Some(version)) => self.acknowledged(now, id, service, version),
                    (None, None) => {}
                }
            }
        }
        self.stirred.insert(id);
    }

    /// What a forwarder holds of a service is of no use: it gets the whole.
    fn start_anew(&mut self, id: u32, service: u32) {
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        let Some(s) = f.subscriptions.get_mut(&service) else { return };
        let owes = std::mem::take(&mut s.owes);
        *s = Subscription { owes, stale: s.stale, later: s.later, ..Subscription::whole(s.slice) };
        f.dirty.insert(service);
        f.urgent.insert(service);
    }

    fn acknowledged(&mut self, now: Nanos, id: u32, service: u32, version: u64) {
        let Some(s) = self.forwarders.get_mut(&id).and_then(|f| f.subscriptions.get_mut(&service)) else {
            return;
        };
        // Of a former cut, or of one that was begun anew.
        if s.held.is_none_or(|held| version > held) {
            return;
        }
        s.acknowledged = s.acknowledged.max(Some(version));
        let paid = s.owes.iter().take_while(|(owed, _)| *owed <= version).count();
        let paid: Vec<u64> = s.owes.drain(..paid).map(|(_, batch)| batch).collect();
        paid.into_iter().for_each(|batch| self.pay(now, batch));
    }

    pub(super) fn pay(&mut self, now: Nanos, batch: u64) {
        if let Some(record) = self.records.get_mut(&batch) {
            record.waiting = record.waiting.saturating_sub(1);
            if record.waiting == 0 {
                record.since.get_or_insert(now);
            }
        }
    }
}

impl Forwarder {
    /// One of its epochs, as they are counted here.
    fn own_epoch(&self, theirs: u64) -> u64 {
        translated(theirs, self.epochs_ahead)
    }

    /// One of the own epochs as it counts them; 0 as long as that is not known.
    pub(super) fn their_epoch(&self, own: u64) -> u64 {
        self.epochs_ahead.map_or(0, |ahead| own.saturating_add_signed(ahead))
    }
}

fn translated(theirs: u64, ahead: Option<i64>) -> u64 {
    theirs.saturating_add_signed(-ahead.unwrap_or(0))
}

impl FollowedVersion {
    fn seen(&self) -> VersionDigest {
        VersionDigest { version: ListVersion { epoch: self.epoch, number: self.number }, digest: self.digest }
    }
}
