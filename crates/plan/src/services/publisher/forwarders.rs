//! Connected forwarders, their subscriptions and their acknowledgements.

use super::*;
use crate::services::list_version::INITIAL_EPOCH;
use crate::services::subscriber::MAX_VERSION_HISTORY;
use crate::wire::FollowedVersion;

impl Publisher {
    /// Registers the connection of a forwarder, which then sends all of its subscriptions anew with `subscribe`.
    pub fn forwarder_connected(&mut self, now: Nanos, name: &str, zone: u8) -> Result<(), PublishError> {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(PublishError::InvalidName(name.len()));
        }
        let known = self.forwarder_ids.get(name).copied();
        let is_connected =
            known.and_then(|id| self.forwarders.get(&id)).is_some_and(|f| f.disconnected_at.is_none());
        if !is_connected && self.connected >= self.settings.max_forwarders {
            return Err(PublishError::AtCapacity(self.connected));
        }
        let id = known.unwrap_or_else(|| self.add_forwarder(now, name));
        let Some(f) = self.forwarders.get_mut(&id) else { return Ok(()) };
        self.connected += usize::from(!is_connected);
        f.zone = zone;
        (f.disconnected_at, f.connected_at) = (None, now);
        f.in_flight.clear();
        // A heartbeat tells it at once of a list that is stale.
        let first_heartbeat_in = if self.list_confirmation.is_fresh(now) { HEARTBEAT_INTERVAL } else { 0 };
        f.last_sent_at = (now + first_heartbeat_in).saturating_sub(HEARTBEAT_INTERVAL);
        // Updates sent on the previous connection may not have arrived.
        f.subscriptions.values_mut().for_each(|s| s.stale = true);
        (f.pending, f.urgent, f.pending_hints, f.unknown_services) = Default::default();
        f.new_services.clear();
        f.deferred_interests.clear();
        (f.version_history, f.epoch_offset) = (Vec::new(), None);
        self.forget_reports(id);
        self.timers.insert((now + RESUBSCRIBE_TIMEOUT, Timer::RemoveStale(id)));
        Ok(())
    }

    fn add_forwarder(&mut self, now: Nanos, name: &str) -> u32 {
        let id = self.next_forwarder_id;
        self.next_forwarder_id += 1;
        self.forwarder_ids.insert(name.to_owned(), id);
        let forwarder = Forwarder {
            name: name.to_owned(),
            zone: 0,
            disconnected_at: Some(now),
            connected_at: now,
            subscriptions: BTreeMap::new(),
            new_services: VecDeque::new(),
            pending: BTreeSet::new(),
            last_served: 0,
            urgent: BTreeSet::new(),
            pending_hints: BTreeSet::new(),
            unknown_services: BTreeSet::new(),
            deferred_interests: Vec::new(),
            version_history: Vec::new(),
            epoch_offset: None,
            reported_servers: BTreeSet::new(),
            tokens: self.settings.burst,
            drain_tokens: self.settings.drain_burst,
            refilled_at: now,
            last_update: 0,
            in_flight: VecDeque::new(),
            last_sent_at: now,
        };
        self.forwarders.insert(id, forwarder);
        id
    }

    /// Marks a forwarder as disconnected. It counts as lagging from now on.
    pub fn forwarder_disconnected(&mut self, now: Nanos, name: &str) {
        let Some(&id) = self.forwarder_ids.get(name) else { return };
        let Some(f) = self.forwarders.get_mut(&id).filter(|f| f.disconnected_at.is_none()) else { return };
        f.disconnected_at = Some(now);
        self.connected -= 1;
        self.timers.insert((now + FORWARDER_EXPIRY, Timer::ForgetForwarder(id)));
    }

    /// Applies a forwarder's new and ended subscriptions, and the drains and removals that it knows from a later
    /// list.
    pub fn subscribe(&mut self, now: Nanos, name: &str, subscribe: &Subscribe) -> Result<(), PublishError> {
        let id = self.forwarder_id(name)?;
        if subscribe.leaving {
            self.remove_all_subscriptions(now, id);
            return Ok(());
        }
        if let Some(invalid) = subscribe.interests.iter().find(|i| i.service.len() > MAX_NAME_BYTES) {
            return Err(PublishError::InvalidName(invalid.service.len()));
        }
        let allowance = subscribe.allowance;
        if let Some(f) = self.forwarders.get_mut(&id).filter(|_| allowance > 0) {
            f.tokens = f.tokens.min(f64::from(allowance));
            f.drain_tokens = f.drain_tokens.min(f64::from(allowance));
        }
        self.receive_version_history(id, &subscribe.followed);
        self.apply_closed_servers(now, id, &subscribe.closed);
        for interest in &subscribe.interests {
            self.stats.steps += 1;
            if interest.unwanted {
                self.unsubscribe(now, id, &interest.service);
            } else {
                self.add_subscription(now, id, interest)?;
            }
        }
        if subscribe.all {
            self.remove_stale_subscriptions(now, id);
        }
        self.ready_forwarders.insert(id);
        Ok(())
    }

    /// Receives the list versions that a forwarder has followed, sent with its first message on a connection.
    fn receive_version_history(&mut self, id: u32, followed: &[FollowedVersion]) {
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        if f.epoch_offset.is_some() {
            return;
        }
        let versions = followed.iter().take(MAX_VERSION_HISTORY).map(FollowedVersion::version_digest);
        f.version_history.extend(versions);
        f.version_history.truncate(MAX_VERSION_HISTORY);
        self.determine_epoch_offset(id);
    }

    /// Determines the offset between a forwarder's epochs and the local ones. If the two histories have no version
    /// in common, its latest epoch is taken for the present one, so that only the numbers are compared.
    pub(super) fn determine_epoch_offset(&mut self, id: u32) {
        let (Some(source), Some(f)) = (self.list_version, self.forwarders.get_mut(&id)) else { return };
        if f.disconnected_at.is_some() || f.epoch_offset.is_some() {
            return;
        }
        let latest = f.version_history.last().map_or(INITIAL_EPOCH, |last| last.version.epoch);
        let assumed_offset = latest as i64 - source.epoch as i64;
        f.epoch_offset = Some(self.history.epoch_offset(&f.version_history).unwrap_or(assumed_offset));
        f.version_history = Vec::new();
    }

    /// Removes the subscriptions that a forwarder has not renewed since it connected.
    pub(super) fn remove_stale_subscriptions(&mut self, now: Nanos, id: u32) {
        let is_connected = |f: &&Forwarder| f.disconnected_at.is_none();
        let stale = self.forwarders.get(&id).filter(is_connected).into_iter().flat_map(|f| &f.subscriptions);
        let stale: Vec<u32> = stale.filter(|(_, s)| s.stale).map(|(service, _)| *service).collect();
        stale.into_iter().for_each(|service| self.remove_subscription(now, id, service));
    }

    pub(super) fn forwarder_id(&self, name: &str) -> Result<u32, PublishError> {
        self.forwarder_ids.get(name).copied().ok_or_else(|| PublishError::NotConnected(name.to_owned()))
    }

    pub(super) fn add_subscription(
        &mut self,
        now: Nanos,
        id: u32,
        interest: &Interest,
    ) -> Result<(), PublishError> {
        let service_id = self.service_ids.get(interest.service.as_str()).copied();
        let is_empty = |s: &u32| self.services.get(s).is_none_or(|s| s.size() == 0);
        let known = service_id;
        // Without a list of the source, nothing is said of services that a configured one does not have.
        if !self.list_confirmation.is_confirmed() && known.is_none_or(|s| is_empty(&s)) {
            let Some(f) = self.forwarders.get_mut(&id) else { return Ok(()) };
            f.deferred_interests.retain(|other| other.service != interest.service);
            if f.deferred_interests.len() >= MAX_SUBSCRIPTIONS {
                return Err(PublishError::TooManySubscriptions(MAX_SUBSCRIPTIONS));
            }
            f.deferred_interests.push(interest.clone());
            return Ok(());
        }
        let Some(service_id) = service_id.filter(|s| interest.incarnation != 0 || !is_empty(s)) else {
            // The forwarder's state from before it dropped the service is of no use as a base for updates.
            known.into_iter().for_each(|service| self.remove_subscription(now, id, service));
            let Some(f) = self.forwarders.get_mut(&id) else { return Ok(()) };
            if f.unknown_services.len() >= MAX_SUBSCRIPTIONS {
                return Err(PublishError::TooManySubscriptions(MAX_SUBSCRIPTIONS));
            }
            f.unknown_services.insert(interest.service.clone());
            return Ok(());
        };
        self.remove_subscription(now, id, service_id);
        let own_incarnation = self.settings.incarnation;
        let Some(f) = self.forwarders.get_mut(&id) else { return Ok(()) };
        let Some(service) = self.services.get_mut(&service_id) else {
            f.unknown_services.insert(interest.service.clone());
            return Ok(());
        };
        if f.subscriptions.len() >= MAX_SUBSCRIPTIONS {
            return Err(PublishError::TooManySubscriptions(MAX_SUBSCRIPTIONS));
        }
        let holds_state = interest.incarnation != 0;
        let same_slices = holds_state && interest.slices as usize == service.slices.len();
        let k = if same_slices && (interest.slice as usize) < service.slices.len() {
            interest.slice as usize
        } else {
            service.choose_slice(&f.name, (interest.slice as usize, interest.slices as usize))
        };
        let slice = &mut service.slices[k];
        let known_version = ListVersion { epoch: f.local_epoch(interest.epoch), number: interest.source };
        let mut s = Subscription::from_snapshot(k);
        let can_resume = same_slices && interest.incarnation == own_incarnation && interest.version > 0;
        let held = interest.version;
        // A forwarder that holds the present version must have the same digest; otherwise an update was lost.
        let is_consistent = held != slice.version || interest.digest == slice.digest;
        if can_resume && is_consistent && (slice.removed_horizon..=slice.version).contains(&held) {
            // Every change up to that version has been applied, so the next one is the first to send.
            s.resume(held);
        } else if same_slices && interest.digest == slice.digest {
            s.resume(slice.version);
            (s.confirmed_digest, s.acknowledged_version) = (Some(slice.digest), None);
        } else if !holds_state {
            s.urgent_sent_up_to = (slice.version + 1, None);
        }
        let missing_after = match (can_resume, holds_state) {
            (true, _) => held,
            (false, true) => slice.last_version_from(known_version),
            (false, false) => slice.version,
        };
        for &(version, _, batch) in slice.version_log.iter().filter(|(version, ..)| *version > missing_after)
        {
            if let Some(record) = self.changes.get_mut(&batch) {
                (record.pending, record.completed_at) = (record.pending + 1, None);
                s.unacknowledged.push_back((version, batch));
            }
        }
        slice.subscribers.insert(id);
        if known_version > self.list_version.unwrap_or_default() {
            // Counted from the connection, however often the forwarder asks; otherwise it could wait forever.
            let until = (f.connected_at + STALE_LIST_TIMEOUT).max(now);
            s.blocked_until = Some((known_version, until));
            self.blocked_forwarders.insert(id);
            self.timers.insert((until, Timer::Unblock(id)));
        }
        if holds_state {
            f.pending.insert(service_id);
            f.urgent.insert(service_id);
            f.pending_hints.insert(service_id);
        } else {
            f.new_services.push_back(service_id);
        }
        f.subscriptions.insert(service_id, s);
        self.announce_subscriber_count(service_id, k);
        Ok(())
    }

    /// Announces the number of subscribers of a slice when it has doubled: the shares of a rate that is split among
    /// them must not add up to more than the whole.
    pub(super) fn announce_subscriber_count(&mut self, service: u32, k: usize) {
        let Some(slice) = self.services.get_mut(&service).map(|s| &mut s.slices[k]) else { return };
        let bound = slice.subscriber_bound();
        if bound <= slice.announced_subscribers {
            return;
        }
        slice.announced_subscribers = bound;
        for f in &slice.subscribers {
            self.stats.steps += 1;
            if let Some(f) = self.forwarders.get_mut(f) {
                f.pending_hints.insert(service);
            }
            self.ready_forwarders.insert(*f);
        }
    }

    /// Closes servers that drain or were removed according to a later list than this planner's.
    fn apply_closed_servers(&mut self, now: Nanos, id: u32, closed: &[ClosedServer]) {
        let Some(source) = self.list_version else { return };
        let Some(epoch_offset) = self.forwarders.get(&id).map(|f| f.epoch_offset) else { return };
        let mut entries = Vec::new();
        for closed_server in closed {
            let Some(server) = self.servers.get(closed_server.name.as_str()) else { continue };
            let same_incarnation = server.member.server.started_at / MS <= closed_server.started_ms;
            let known_version = ListVersion {
                epoch: to_local_epoch(closed_server.epoch, epoch_offset),
                number: closed_server.membership,
            };
            if known_version > source && same_incarnation {
                let phase = if closed_server.removed { Phase::Removed } else { Phase::Draining };
                let names = server.services.iter().filter_map(|id| self.services.get(id));
                let services: Vec<String> = names.map(|s| s.name.to_string()).collect();
                let (name, own) = (Name::from(closed_server.name.as_str()), server.member.clone());
                entries
                    .push(ListedServer { services: services.clone(), member: own.clone().in_phase(phase) });
                self.overrides
                    .entry(name)
                    .or_insert((now + STALE_LIST_TIMEOUT, ListedServer { services, member: own }));
                self.timers.insert((now + STALE_LIST_TIMEOUT, Timer::ExpireOverrides));
            }
        }
        if !entries.is_empty() {
            self.apply_entries(now, (source, false), false, entries);
        }
    }

    /// Restores the servers that this planner's own list has not closed within `STALE_LIST_TIMEOUT`: the source has
    /// lost its versions, so the own list is authoritative. While that list is stale, the servers stay closed.
    pub(super) fn expire_overrides(&mut self, now: Nanos) {
        let Some(source) = self.list_version.filter(|_| self.list_confirmation.is_fresh(now)) else { return };
        let expired: Vec<Name> =
            self.overrides.iter().filter(|(_, (until, _))| *until <= now).map(|(n, _)| n.clone()).collect();
        let restored = expired.iter().filter_map(|name| self.overrides.remove(name));
        let restored: Vec<ListedServer> = restored.map(|(_, listed)| listed).collect();
        if !restored.is_empty() {
            self.apply_entries(now, (source, false), false, restored);
        }
    }

    fn unsubscribe(&mut self, now: Nanos, id: u32, service: &str) {
        if let Some(f) = self.forwarders.get_mut(&id) {
            f.unknown_services.remove(service);
            f.deferred_interests.retain(|interest| interest.service != service);
        }
        if let Some(&service) = self.service_ids.get(service) {
            self.remove_subscription(now, id, service);
        }
    }

    /// Removes a forwarder's subscription. It no longer counts in the rollout of any change.
    pub(super) fn remove_subscription(&mut self, now: Nanos, id: u32, service_id: u32) {
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        let Some(s) = f.subscriptions.remove(&service_id) else { return };
        for set in [&mut f.pending, &mut f.urgent, &mut f.pending_hints] {
            set.remove(&service_id);
        }
        f.new_services.retain(|other| *other != service_id);
        s.unacknowledged.iter().for_each(|(_, batch)| self.settle_change(now, *batch));
        let Some(service) = self.services.get_mut(&service_id) else { return };
        if let Some(slice) = service.slices.get_mut(s.slice) {
            slice.subscribers.remove(&id);
        }
        self.drop_unused_service(service_id);
    }

    pub(super) fn remove_all_subscriptions(&mut self, now: Nanos, id: u32) {
        if let Some(f) = self.forwarders.get_mut(&id) {
            f.deferred_interests.clear();
            f.unknown_services.clear();
        }
        let services = self.forwarders.get(&id).map(|f| f.subscriptions.keys().copied().collect::<Vec<_>>());
        services.into_iter().flatten().for_each(|service| self.remove_subscription(now, id, service));
    }

    pub(super) fn forget_forwarder(&mut self, now: Nanos, id: u32) {
        self.remove_all_subscriptions(now, id);
        self.forget_reports(id);
        self.blocked_forwarders.remove(&id);
        self.ready_forwarders.remove(&id);
        if let Some(f) = self.forwarders.remove(&id) {
            self.forwarder_ids.remove(&f.name);
        }
    }

    /// Processes the acknowledgement of an update, which accepts or rejects each of its services.
    pub fn acknowledge(&mut self, now: Nanos, name: &str, ack: &UpdateAck) {
        let Some(&id) = self.forwarder_ids.get(name) else { return };
        if ack.incarnation != self.settings.incarnation {
            return;
        }
        let rejected = ack.refused.iter();
        let rejected: BTreeMap<u32, RejectReason> =
            rejected.filter_map(|r| Some((*self.service_ids.get(r.service.as_str())?, r.reason()))).collect();
        while let Some(f) = self.forwarders.get_mut(&id) {
            if f.in_flight.front().is_none_or(|(number, ..)| *number > ack.number) {
                break;
            }
            let Some((number, _, versions)) = f.in_flight.pop_front() else { break };
            for (service, version) in versions {
                let reason = rejected.get(&service).filter(|_| number == ack.number);
                match (reason, version) {
                    // The message that ends the subscription is on its way.
                    (Some(RejectReason::NotSubscribed), _) => self.remove_subscription(now, id, service),
                    (Some(_), _) => self.restart_subscription(id, service),
                    (None, Some(version)) => self.record_acknowledgement(now, id, service, version),
                    (None, None) => {}
                }
            }
        }
        self.ready_forwarders.insert(id);
    }

    /// Sends the service again from a snapshot, because the forwarder's state cannot be updated.
    fn restart_subscription(&mut self, id: u32, service: u32) {
        let Some(f) = self.forwarders.get_mut(&id) else { return };
        let Some(s) = f.subscriptions.get_mut(&service) else { return };
        let unacknowledged = std::mem::take(&mut s.unacknowledged);
        *s = Subscription {
            unacknowledged,
            stale: s.stale,
            blocked_until: s.blocked_until,
            ..Subscription::from_snapshot(s.slice)
        };
        f.pending.insert(service);
        f.urgent.insert(service);
    }

    fn record_acknowledgement(&mut self, now: Nanos, id: u32, service: u32, version: u64) {
        let Some(s) = self.forwarders.get_mut(&id).and_then(|f| f.subscriptions.get_mut(&service)) else {
            return;
        };
        // The version belongs to a former division into slices, or to a subscription that was restarted.
        if s.sent_version.is_none_or(|held| version > held) {
            return;
        }
        s.acknowledged_version = s.acknowledged_version.max(Some(version));
        let settled = s.unacknowledged.iter().take_while(|(changed_in, _)| *changed_in <= version).count();
        let settled: Vec<u64> = s.unacknowledged.drain(..settled).map(|(_, batch)| batch).collect();
        settled.into_iter().for_each(|batch| self.settle_change(now, batch));
    }

    pub(super) fn settle_change(&mut self, now: Nanos, batch: u64) {
        if let Some(record) = self.changes.get_mut(&batch) {
            record.pending = record.pending.saturating_sub(1);
            if record.pending == 0 {
                record.completed_at.get_or_insert(now);
            }
        }
    }
}

impl Forwarder {
    /// Converts an epoch of this forwarder to a local one.
    fn local_epoch(&self, remote: u64) -> u64 {
        to_local_epoch(remote, self.epoch_offset)
    }

    /// Converts a local epoch to one of this forwarder; 0 while the offset is unknown.
    pub(super) fn remote_epoch(&self, local: u64) -> u64 {
        self.epoch_offset.map_or(0, |offset| local.saturating_add_signed(offset))
    }
}

fn to_local_epoch(remote: u64, offset: Option<i64>) -> u64 {
    remote.saturating_add_signed(-offset.unwrap_or(0))
}

impl FollowedVersion {
    fn version_digest(&self) -> VersionDigest {
        VersionDigest { version: ListVersion { epoch: self.epoch, number: self.number }, digest: self.digest }
    }
}
