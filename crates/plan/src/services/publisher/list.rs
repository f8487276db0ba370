//! Applies the server list, and its changes, to the services.

use super::*;

/// The version under which a configured list is published.
const CONFIGURED_LIST_VERSION: u64 = 0;

impl Publisher {
    /// Applies a full list of servers, or changes to the last one.
    pub fn apply_list(
        &mut self,
        now: Nanos,
        version: u64,
        full: bool,
        entries: Vec<ListedServer>,
    ) -> Dropped {
        let first = !self.list_confirmation.is_confirmed();
        if first && !full {
            // Without a base, servers that the changes do not mention must not be taken for removed.
            return Dropped::default();
        }
        self.list_confirmation = ListConfirmation::at(now);
        let dropped = self.replace_list(now, version, full, entries);
        if first {
            self.process_deferred_interests(now);
        }
        dropped
    }

    /// Applies a configured list before the source has sent one. Its number may be of any count, so it is published as
    /// the earliest version, which overrides nothing that forwarders hold.
    pub fn apply_configured_list(&mut self, now: Nanos, entries: Vec<ListedServer>) -> Dropped {
        if self.list_version.is_some() {
            return Dropped::default();
        }
        let dropped = self.replace_list(now, CONFIGURED_LIST_VERSION, true, entries);
        self.process_deferred_interests(now);
        dropped
    }

    fn replace_list(&mut self, now: Nanos, version: u64, full: bool, entries: Vec<ListedServer>) -> Dropped {
        let version = self.advance_list_version(version);
        let named: BTreeSet<Name> = match full {
            true => BTreeSet::new(),
            false => entries.iter().map(|e| Name::from(e.member.name.as_str())).collect(),
        };
        let before = named.iter().map(|name| self.listed_digest(name)).fold(0, u64::wrapping_add);
        // The list supersedes what forwarders have reported about these servers.
        match full {
            true => self.overrides.clear(),
            false => entries.iter().for_each(|e| drop(self.overrides.remove(e.member.name.as_str()))),
        }
        let dropped = self.apply_entries(now, (version, true), full, entries);
        let sum = |names: &mut dyn Iterator<Item = &Name>| {
            names.map(|name| self.listed_digest(name)).fold(0, u64::wrapping_add)
        };
        self.list_digest = match full {
            true => sum(&mut self.servers.keys()),
            false => self.list_digest.wrapping_sub(before).wrapping_add(sum(&mut named.iter())),
        };
        self.history.push(VersionDigest { version, digest: self.list_digest });
        self.release_waiting(now);
        dropped
    }

    /// Records that the source has confirmed the list as it is: a heartbeat of its watch.
    pub fn confirm_list(&mut self, now: Nanos) {
        if self.list_confirmation.is_confirmed() {
            self.list_confirmation = ListConfirmation::at(now);
            self.release_waiting(now);
        }
    }

    /// Resumes what waited for this list version, or for the source to confirm the list.
    fn release_waiting(&mut self, now: Nanos) {
        let blocked: Vec<u32> = self.blocked_forwarders.iter().copied().collect();
        blocked.into_iter().for_each(|f| self.unblock_subscriptions(now, f));
        self.expire_overrides(now);
    }

    /// Advances to this version number. If the number goes back, the source has restarted and a new epoch begins.
    fn advance_list_version(&mut self, number: u64) -> ListVersion {
        let epoch = match self.list_version {
            None => 0,
            Some(before) => before.epoch + u64::from(number < before.number),
        };
        let version = ListVersion { epoch, number };
        self.list_version = Some(version);
        version
    }

    /// Returns a server's contribution to the digest of the list, as the list describes it.
    fn listed_digest(&self, name: &str) -> u64 {
        if let Some((_, own)) = self.overrides.get(name) {
            return digest::entry_digest(
                digest::member_digest(&own.member),
                own.services.iter().map(String::as_str),
            );
        }
        let Some(server) = self.servers.get(name) else { return 0 };
        let services = server.services.iter().filter_map(|id| self.services.get(id));
        digest::entry_digest(server.digest, services.map(|service| &*service.name))
    }

    /// Processes the interests received before the first list, or that a configured one does not have.
    fn process_deferred_interests(&mut self, now: Nanos) {
        let ids: Vec<u32> = self.forwarders.keys().copied().collect();
        for id in ids {
            self.determine_epoch_offset(id);
            let deferred = self.forwarders.get_mut(&id).map(|f| std::mem::take(&mut f.deferred_interests));
            for interest in deferred.into_iter().flatten() {
                // The limit was checked when the interest was received.
                let _ = self.add_subscription(now, id, &interest);
            }
            self.ready_forwarders.insert(id);
        }
    }

    /// Applies entries to the services. `from_list` is false for entries that a forwarder knows from a later list.
    pub(super) fn apply_entries(
        &mut self,
        now: Nanos,
        (version, from_list): (ListVersion, bool),
        full: bool,
        entries: Vec<ListedServer>,
    ) -> Dropped {
        self.batch += 1;
        let mut dropped = Dropped::default();
        // If a batch has several entries for one server, the last one applies.
        let mut last: BTreeMap<&str, usize> = BTreeMap::new();
        entries.iter().enumerate().for_each(|(k, e)| {
            last.insert(&e.member.name, k);
        });
        let mut keep = vec![false; entries.len()];
        last.into_values().for_each(|k| keep[k] = true);
        let mut affected = BTreeSet::new();
        for (entry, keep) in entries.into_iter().zip(keep) {
            let name = entry.member.name.as_str();
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                dropped.names += 1;
            } else if keep {
                self.apply_entry(entry, &mut affected, &mut dropped);
            }
        }
        if full {
            let batch = self.batch;
            let absent = self.servers.iter().filter(|(_, s)| s.listed_in_batch != batch);
            let absent: Vec<Name> = absent.map(|(name, _)| name.clone()).collect();
            absent.into_iter().for_each(|name| self.remove_server(&name, &mut affected));
        }
        self.finish_batch(now, (version, from_list), affected);
        dropped
    }

    fn apply_entry(
        &mut self,
        ListedServer { services, member }: ListedServer,
        affected: &mut BTreeSet<(u32, usize)>,
        dropped: &mut Dropped,
    ) {
        self.stats.steps += 1;
        let known = self.servers.get_key_value(member.name.as_str()).map(|(name, _)| name.clone());
        if member.server.phase == Phase::Removed {
            return known.into_iter().for_each(|name| self.remove_server(&name, affected));
        }
        if known.is_none() && self.servers.len() >= MAX_SERVERS {
            dropped.servers += 1;
            return;
        }
        let name = known.unwrap_or_else(|| Arc::from(member.name.as_str()));
        let ids = self.service_ids_for(services, dropped);
        let digest = digest::member_digest(&member);
        let closed = member.server.phase != Phase::Ready;
        let batch = self.batch;
        let before = self.servers.get_mut(&name);
        let (same, former) = match &before {
            Some(s) => (s.digest == digest && s.member == member, s.services.clone()),
            None => (false, Vec::new()),
        };
        match before {
            Some(s) => {
                (s.member, s.digest, s.listed_in_batch, s.services) = (member, digest, batch, ids.clone())
            }
            None => {
                let server = Server {
                    member,
                    services: ids.clone(),
                    digest,
                    listed_in_batch: batch,
                    reports: ReportSummary::default(),
                };
                self.servers.insert(name.clone(), server);
            }
        }
        for &id in former.iter().filter(|id| !ids.contains(id)) {
            self.update_row(id, &name, (false, false, 0), affected);
        }
        for &id in ids.iter().filter(|id| !same || !former.contains(id)) {
            self.update_row(id, &name, (true, closed, digest), affected);
        }
    }

    /// Returns the ids of services by name, creating services that do not exist.
    fn service_ids_for(&mut self, services: Vec<String>, dropped: &mut Dropped) -> Vec<u32> {
        let mut ids = Vec::with_capacity(services.len().max(1));
        let unnamed = services.is_empty().then(String::new);
        for name in services.into_iter().chain(unnamed) {
            if name.len() > MAX_NAME_BYTES {
                dropped.names += 1;
                continue;
            }
            if self.services.len() >= MAX_SERVICES && !self.service_ids.contains_key(name.as_str()) {
                self.drop_unused_services();
            }
            let id = match self.service_ids.get(name.as_str()) {
                Some(&id) => id,
                None if self.services.len() >= MAX_SERVICES => {
                    dropped.services += 1;
                    continue;
                }
                None => {
                    let (id, name) = (self.next_service_id, Name::from(name));
                    self.next_service_id += 1;
                    self.service_ids.insert(name.clone(), id);
                    // The version of a slice grows by at most two per batch, namely when the service is divided
                    // anew in it.
                    let first = 2 * self.batch + 4;
                    self.services.insert(id, Service::new(name, first));
                    id
                }
            };
            if ids.len() >= MAX_SERVICES_PER_SERVER {
                dropped.services += 1;
            } else if !ids.contains(&id) {
                ids.push(id);
            }
        }
        ids
    }

    fn remove_server(&mut self, name: &Name, affected: &mut BTreeSet<(u32, usize)>) {
        let Some(server) = self.servers.remove(name) else { return };
        for f in server.reports.reporters() {
            self.forwarders.get_mut(&f).map(|f| f.reported_servers.remove(name));
        }
        server.services.into_iter().for_each(|id| self.update_row(id, name, (false, false, 0), affected));
    }

    fn update_row(
        &mut self,
        id: u32,
        name: &Name,
        (present, closed, digest): (bool, bool, u64),
        affected: &mut BTreeSet<(u32, usize)>,
    ) {
        let Some(service) = self.services.get_mut(&id) else { return };
        let k = service.slice_of(name);
        let slice = &mut service.slices[k];
        if slice.batch != self.batch {
            slice.batch = self.batch;
            slice.version += 1;
        }
        slice.set_row(name, present, closed, digest);
        affected.insert((id, k));
        self.stats.steps += 1;
    }

    /// Notifies the subscribers of all slices that have changed, once per batch.
    fn finish_batch(
        &mut self,
        now: Nanos,
        (list_version, from_list): (ListVersion, bool),
        affected: BTreeSet<(u32, usize)>,
    ) {
        let batch = self.batch;
        let mut record = ChangeRecord {
            listed_at: now,
            list_number: list_version.number,
            affected: Vec::new(),
            pending: 0,
            completed_at: None,
        };
        let mut resliced: BTreeSet<u32> = BTreeSet::new();
        for (id, k) in affected {
            let Some(service) = self.services.get_mut(&id) else { continue };
            if let Some(number) = service.desired_slice_count() {
                resliced.insert(id);
                self.reslice(id, number, list_version);
            }
            if resliced.contains(&id) {
                continue;
            }
            self.services.get_mut(&id).into_iter().for_each(|s| s.slices[k].log_version(list_version, batch));
            self.notify_subscribers(id, k, &mut record);
        }
        for id in resliced {
            let number = self.services.get(&id).map_or(0, |s| s.slices.len());
            (0..number).for_each(|k| self.notify_subscribers(id, k, &mut record));
        }
        if record.affected.is_empty() {
            // After a restart of the source, a version number may return with another meaning.
            if from_list {
                self.batch_by_version.remove(&list_version.number);
            }
            return;
        }
        record.completed_at = (record.pending == 0).then_some(now);
        self.changes.insert(batch, record);
        if from_list {
            self.batch_by_version.insert(list_version.number, batch);
        }
        while self.changes.len() > MAX_RECORDED_CHANGES {
            let Some((old, record)) = self.changes.pop_first() else { break };
            if self.batch_by_version.get(&record.list_number) == Some(&old) {
                self.batch_by_version.remove(&record.list_number);
            }
            record.affected.iter().for_each(|(id, ..)| self.drop_unused_service(*id));
        }
    }

    /// Drops a service that has neither servers nor subscribers, once no recorded change affects it. Until then, a
    /// forwarder that still holds the service may reconnect and must count as lacking the change that emptied it.
    pub(super) fn drop_unused_service(&mut self, id: u32) {
        let Some(service) = self.services.get(&id).filter(|service| service.is_unused()) else { return };
        if self.changes.contains_key(&service.last_batch()) {
            return;
        }
        self.service_ids.remove(&service.name);
        self.services.remove(&id);
    }

    /// Drops every service without servers and subscribers to make room for new ones.
    fn drop_unused_services(&mut self) {
        let unused = self.services.iter().filter(|(_, service)| service.is_unused());
        let unused: Vec<u32> = unused.map(|(id, _)| *id).collect();
        for id in unused {
            let service = self.services.remove(&id);
            service.map(|service| self.service_ids.remove(&service.name));
        }
    }

    fn notify_subscribers(&mut self, id: u32, k: usize, record: &mut ChangeRecord) {
        let Some(service) = self.services.get_mut(&id) else { return };
        let slices = service.slices.len();
        let slice = &mut service.slices[k];
        slice.lower_announced_count();
        let urgent = slice.urgent.last().is_some_and(|(changed, _)| *changed == slice.version);
        record.affected.push((id, k, slices));
        record.pending += slice.subscribers.len();
        for f in &slice.subscribers {
            self.stats.steps += 1;
            let Some(forwarder) = self.forwarders.get_mut(f) else { continue };
            let Some(s) = forwarder.subscriptions.get_mut(&id) else { continue };
            if s.unacknowledged.len() >= MAX_UNACKNOWLEDGED_CHANGES {
                s.unacknowledged.pop_front();
            }
            s.unacknowledged.push_back((slice.version, self.batch));
            forwarder.pending.insert(id);
            if urgent {
                forwarder.urgent.insert(id);
            }
            self.ready_forwarders.insert(*f);
        }
    }

    /// Divides a service into `number` slices. Its subscribers are reassigned and each receives a snapshot of its
    /// slice.
    pub(super) fn reslice(&mut self, id: u32, number: usize, list_version: ListVersion) {
        let Some(service) = self.services.get_mut(&id) else { return };
        let subscribers: BTreeSet<u32> =
            service.slices.iter().flat_map(|s| s.subscribers.iter().copied()).collect();
        let former = service.slices.len();
        service.reslice(number, list_version, self.batch);
        for subscriber in subscribers {
            let Some(f) = self.forwarders.get_mut(&subscriber) else { continue };
            let Some(s) = f.subscriptions.get_mut(&id) else { continue };
            let k = service.choose_slice(&f.name, (s.slice, former));
            let unacknowledged = std::mem::take(&mut s.unacknowledged);
            *s = Subscription {
                unacknowledged,
                stale: s.stale,
                blocked_until: s.blocked_until,
                ..Subscription::from_snapshot(k)
            };
            service.slices[k].subscribers.insert(subscriber);
            f.pending.insert(id);
            f.urgent.insert(id);
            self.ready_forwarders.insert(subscriber);
        }
    }
}
