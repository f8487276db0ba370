//! The list of servers, as it changes services.

use super::*;

impl Publisher {
    /// The list has spoken: a whole, or changes to it.
    pub fn apply_list(
        &mut self,
        now: Nanos,
        version: u64,
        whole: bool,
        entries: Vec<ListedServer>,
    ) -> Dropped {
        if self.source.is_none() && !whole {
            // Changes to a list that is not known: nobody may take the rest for gone.
            return Dropped::default();
        }
        let first = self.source.is_none();
        let version = self.follow(version);
        let named: BTreeSet<Name> = match whole {
            true => BTreeSet::new(),
            false => entries.iter().map(|e| Name::from(e.member.name.as_str())).collect(),
        };
        let before = named.iter().map(|name| self.listed_digest(name)).fold(0, u64::wrapping_add);
        // What the list says counts from here on.
        match whole {
            true => self.overruled.clear(),
            false => entries.iter().for_each(|e| drop(self.overruled.remove(e.member.name.as_str()))),
        }
        let dropped = self.take(now, (version, true), whole, entries);
        let sum = |names: &mut dyn Iterator<Item = &Name>| {
            names.map(|name| self.listed_digest(name)).fold(0, u64::wrapping_add)
        };
        self.list_digest = match whole {
            true => sum(&mut self.servers.keys()),
            false => self.list_digest.wrapping_sub(before).wrapping_add(sum(&mut named.iter())),
        };
        self.history.push(VersionDigest { version, digest: self.list_digest });
        // Those who held a later list than this one was.
        let waiting: Vec<u32> = self.waiting.iter().copied().collect();
        waiting.into_iter().for_each(|f| self.look_at_later(now, f));
        if first {
            self.hear_early(now);
        }
        dropped
    }

    /// The list has come to this number. Where it goes back, its source has started anew, and another epoch begins.
    fn follow(&mut self, number: u64) -> ListVersion {
        let epoch = match self.source {
            None => 0,
            Some(before) => before.epoch + u64::from(number < before.number),
        };
        let version = ListVersion { epoch, number };
        self.source = Some(version);
        version
    }

    /// What a server adds to the digest of the list, as the list told it.
    fn listed_digest(&self, name: &str) -> u64 {
        if let Some((_, own)) = self.overruled.get(name) {
            return digest::entry_digest(
                digest::member_digest(&own.member),
                own.services.iter().map(String::as_str),
            );
        }
        let Some(server) = self.servers.get(name) else { return 0 };
        let services = server.services.iter().filter_map(|id| self.services.get(id));
        digest::entry_digest(server.digest, services.map(|service| &*service.name))
    }

    /// There is a list now: what was asked for before can be told.
    fn hear_early(&mut self, now: Nanos) {
        let ids: Vec<u32> = self.forwarders.keys().copied().collect();
        for id in ids {
            self.compare_histories(id);
            let early = self.forwarders.get_mut(&id).map(|f| std::mem::take(&mut f.early));
            for interest in early.into_iter().flatten() {
                // They were counted as they came.
                let _ = self.interested(now, id, &interest);
            }
            self.stirred.insert(id);
        }
    }

    /// `told` says that the list did; else others' word of it is ahead of the list here.
    pub(super) fn take(
        &mut self,
        now: Nanos,
        (version, told): (ListVersion, bool),
        whole: bool,
        entries: Vec<ListedServer>,
    ) -> Dropped {
        self.batch += 1;
        let mut dropped = Dropped::default();
        // Of a change and its opposite in one word the last one counts.
        let mut last: BTreeMap<&str, usize> = BTreeMap::new();
        entries.iter().enumerate().for_each(|(k, e)| {
            last.insert(&e.member.name, k);
        });
        let mut keep = vec![false; entries.len()];
        last.into_values().for_each(|k| keep[k] = true);
        let mut touched = BTreeSet::new();
        for (entry, keep) in entries.into_iter().zip(keep) {
            let name = entry.member.name.as_str();
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                dropped.names += 1;
            } else if keep {
                self.take_one(entry, &mut touched, &mut dropped);
            }
        }
        if whole {
            let batch = self.batch;
            let absent = self.servers.iter().filter(|(_, s)| s.named != batch);
            let absent: Vec<Name> = absent.map(|(name, _)| name.clone()).collect();
            absent.into_iter().for_each(|name| self.remove(&name, &mut touched));
        }
        self.end_batch(now, (version, told), touched);
        dropped
    }

    fn take_one(
        &mut self,
        ListedServer { services, member }: ListedServer,
        touched: &mut BTreeSet<(u32, usize)>,
        dropped: &mut Dropped,
    ) {
        self.stats.steps += 1;
        let known = self.servers.get_key_value(member.name.as_str()).map(|(name, _)| name.clone());
        if member.server.phase == Phase::Removed {
            return known.into_iter().for_each(|name| self.remove(&name, touched));
        }
        if known.is_none() && self.servers.len() >= MAX_SERVERS {
            dropped.servers += 1;
            return;
        }
        let name = known.unwrap_or_else(|| Arc::from(member.name.as_str()));
        let ids = self.ids_of(services, dropped);
        let digest = digest::member_digest(&member);
        let closed = member.server.phase != Phase::Ready;
        let batch = self.batch;
        let before = self.servers.get_mut(&name);
        let (same, former) = match &before {
            Some(s) => (s.digest == digest && s.member == member, s.services.clone()),
            None => (false, Vec::new()),
        };
        match before {
            Some(s) => (s.member, s.digest, s.named, s.services) = (member, digest, batch, ids.clone()),
            None => {
                let server = Server {
                    member,
                    services: ids.clone(),
                    digest,
                    named: batch,
                    standing: ReportSummary::default(),
                };
                self.servers.insert(name.clone(), server);
            }
        }
        for &id in former.iter().filter(|id| !ids.contains(id)) {
            self.put(id, &name, (false, false, 0), touched);
        }
        for &id in ids.iter().filter(|id| !same || !former.contains(id)) {
            self.put(id, &name, (true, closed, digest), touched);
        }
    }

    /// The numbers of services by their names; new ones are made.
    fn ids_of(&mut self, services: Vec<String>, dropped: &mut Dropped) -> Vec<u32> {
        let mut ids = Vec::with_capacity(services.len().max(1));
        let unnamed = services.is_empty().then(String::new);
        for name in services.into_iter().chain(unnamed) {
            if name.len() > MAX_NAME_BYTES {
                dropped.names += 1;
                continue;
            }
            if self.services.len() >= MAX_SERVICES && !self.by_name.contains_key(name.as_str()) {
                self.forget_all_unused();
            }
            let id = match self.by_name.get(name.as_str()) {
                Some(&id) => id,
                None if self.services.len() >= MAX_SERVICES => {
                    dropped.services += 1;
                    continue;
                }
                None => {
                    let (id, name) = (self.next_service, Name::from(name));
                    self.next_service += 1;
                    self.by_name.insert(name.clone(), id);
                    // A slice's version grows by two a batch at most, where it is cut anew in it.
                    let first = 2 * self.batch + 4;
                    self.services.insert(id, Service::new(name, first));
                    id
                }
            };
            if ids.len() >= MOST_SERVED {
                dropped.services += 1;
            } else if !ids.contains(&id) {
                ids.push(id);
            }
        }
        ids
    }

    fn remove(&mut self, name: &Name, touched: &mut BTreeSet<(u32, usize)>) {
        let Some(server) = self.servers.remove(name) else { return };
        for f in server.standing.reporters() {
            self.forwarders.get_mut(&f).map(|f| f.reported.remove(name));
        }
        server.services.into_iter().for_each(|id| self.put(id, name, (false, false, 0), touched));
    }

    fn put(
        &mut self,
        id: u32,
        name: &Name,
        (there, closed, digest): (bool, bool, u64),
        touched: &mut BTreeSet<(u32, usize)>,
    ) {
        let Some(service) = self.services.get_mut(&id) else { return };
        let k = service.slice_of(name);
        let slice = &mut service.slices[k];
        if slice.batch != self.batch {
            slice.batch = self.batch;
            slice.version += 1;
        }
        slice.put(name, there, closed, digest);
        touched.insert((id, k));
        self.stats.steps += 1;
    }

    /// Tells all who use what has changed, once for all of a word.
    fn end_batch(
        &mut self,
        now: Nanos,
        (source, told): (ListVersion, bool),
        touched: BTreeSet<(u32, usize)>,
    ) {
        let batch = self.batch;
        let mut record =
            Record { listed_at: now, source: source.number, touched: Vec::new(), waiting: 0, since: None };
        let mut cut: BTreeSet<u32> = BTreeSet::new();
        for (id, k) in touched {
            let Some(service) = self.services.get_mut(&id) else { continue };
            if let Some(number) = service.other_number() {
                cut.insert(id);
                self.cut(id, number, source);
            }
            if cut.contains(&id) {
                continue;
            }
            self.services.get_mut(&id).into_iter().for_each(|s| s.slices[k].log(source, batch));
            self.tell(id, k, &mut record);
        }
        for id in cut {
            let number = self.services.get(&id).map_or(0, |s| s.slices.len());
            (0..number).for_each(|k| self.tell(id, k, &mut record));
        }
        if record.touched.is_empty() {
            // A version that comes again, after the source's restart, no longer says what it said.
            if told {
                self.batches.remove(&source.number);
            }
            return;
        }
        record.since = (record.waiting == 0).then_some(now);
        self.records.insert(batch, record);
        if told {
            self.batches.insert(source.number, batch);
        }
        while self.records.len() > MOST_RECORDS {
            let Some((old, record)) = self.records.pop_first() else { break };
            if self.batches.get(&record.source) == Some(&old) {
                self.batches.remove(&record.source);
            }
            record.touched.iter().for_each(|(id, ..)| self.forget_unused(*id));
        }
    }

    /// Forgets a service that has no servers and no subscribers, once no change of it is followed any longer. Until then a
    /// forwarder may come that still holds what it was, and that has to count as lacking the change that emptied it.
    pub(super) fn forget_unused(&mut self, id: u32) {
        let Some(service) = self.services.get(&id).filter(|service| service.unused()) else { return };
        if self.records.contains_key(&service.last_batch()) {
            return;
        }
        self.by_name.remove(&service.name);
        self.services.remove(&id);
    }

    /// Forgets all services without servers and subscribers, to make room for others.
    fn forget_all_unused(&mut self) {
        let unused = self.services.iter().filter(|(_, service)| service.unused());
        let unused: Vec<u32> = unused.map(|(id, _)| *id).collect();
        for id in unused {
            let service = self.services.remove(&id);
            service.map(|service| self.by_name.remove(&service.name));
        }
    }

    fn tell(&mut self, id: u32, k: usize, record: &mut Record) {
        let Some(service) = self.services.get_mut(&id) else { return };
        let slices = service.slices.len();
        let slice = &mut service.slices[k];
        slice.fewer();
        let urgent = slice.urgent.last().is_some_and(|(changed, _)| *changed == slice.version);
        record.touched.push((id, k, slices));
        record.waiting += slice.subscribers.len();
        for f in &slice.subscribers {
            self.stats.steps += 1;
            let Some(f_) = self.forwarders.get_mut(f) else { continue };
            let Some(s) = f_.subscriptions.get_mut(&id) else { continue };
            if s.owes.len() >= MOST_OWED {
                s.owes.pop_front();
            }
            s.owes.push_back((slice.version, self.batch));
            f_.dirty.insert(id);
            if urgent {
                f_.urgent.insert(id);
            }
            self.stirred.insert(*f);
        }
    }

    /// Cuts a service into so many slices; all who use it are dealt to them anew and get their slice whole.
    pub(super) fn cut(&mut self, id: u32, number: usize, source: ListVersion) {
        let Some(service) = self.services.get_mut(&id) else { return };
        let users: BTreeSet<u32> =
            service.slices.iter().flat_map(|s| s.subscribers.iter().copied()).collect();
        let former = service.slices.len();
        service.cut(number, source, self.batch);
        for user in users {
            let Some(f) = self.forwarders.get_mut(&user) else { continue };
            let Some(s) = f.subscriptions.get_mut(&id) else { continue };
            let k = service.choose(&f.name, (s.slice, former));
            let owes = std::mem::take(&mut s.owes);
            *s = Subscription { owes, stale: s.stale, later: s.later, ..Subscription::whole(k) };
            service.slices[k].subscribers.insert(user);
            f.dirty.insert(id);
            f.urgent.insert(id);
            self.stirred.insert(user);
        }
    }
}
