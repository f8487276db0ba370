//! Forwarders and planners: sessions, messages, reports, and the list of servers.

use super::*;

impl World {
    /// A planner begins a life with nothing.
    pub(crate) fn start_planner(&mut self, p: usize) {
        if self.setup.mode != Mode::TwoLevel || self.brains[p].planner.is_some() {
            return;
        }
        let now = skewed(self.now, self.brains[p].skew);
        let life = now / MS;
        let settings = planner::Settings {
            site: "world".into(),
            incarnation: life,
            planners: self.setup.planners as u32,
            max_connections: self.setup.cap,
            wanted_connections: self.setup.wanted,
            initial_capacity: self.setup.cold.from,
            ramp: self.setup.cold.ramp,
            settle_time: planner::DEFAULT_SETTLE_TIME,
            classes: CLASSES.iter().map(|c| (c.0.to_owned(), None)).collect(),
            tenants: Vec::new(),
            bytes_per_second: 16_000.0,
        };
        self.brains[p].planner = Some(Planner::new(now, settings));
        self.brains[p].life = life;
        self.push(self.now + TICK, Ev::BrainTick(p));
        self.list_to_brain(p);
    }

    /// A planner's process ends.
    pub(crate) fn kill_planner(&mut self, p: usize) {
        self.brains[p].planner = None;
        (0..self.movers.len()).for_each(|f| self.hang_up(p, f));
    }

    pub(crate) fn hang_up(&mut self, p: usize, f: usize) {
        let now = self.now;
        let link = &mut self.links[p][f];
        if link.session.take().is_some() {
            link.epoch += 1;
            link.retry_at = now + RETRY;
            let (name, skew) = (&self.movers[f].name, self.brains[p].skew);
            if let Some(planner) = &mut self.brains[p].planner {
                planner.forwarder_disconnected(skewed(now, skew), name);
            }
        }
    }

    /// Whether what comes on this session still counts; `way` 0 is towards the forwarder.
    pub(super) fn current(&mut self, p: usize, f: usize, epoch: u64, way: usize) -> bool {
        let now = self.now;
        let link = &mut self.links[p][f];
        let current = link.session.is_some() && link.epoch == epoch && !link.mute;
        if current {
            link.heard_at[way] = now;
        }
        current
    }

    /// When something sent now arrives: in order.
    fn arrival(&mut self, p: usize, f: usize, way: usize) -> Nanos {
        let now = self.now;
        let delay = self.links[p][f].delay;
        let spread = self.draw.between(0, delay + 1);
        let next = &mut self.links[p][f].next_at[way];
        *next = (*next + 1).max(now + delay / 2 + spread);
        *next
    }

    /// A planner does what is due, and sends what there is.
    pub(super) fn pump(&mut self, p: usize) {
        let now = skewed(self.now, self.brains[p].skew);
        let Some(planner) = &mut self.brains[p].planner else { return };
        planner.poll(now);
        for f in 0..self.movers.len() {
            if self.links[p][f].session.is_none() {
                continue;
            }
            while let Some(mut part) = self.brains[p]
                .planner
                .as_mut()
                .and_then(|planner| planner.next_update(now, &self.movers[f].name))
            {
                if self.brains[p].lies {
                    part.rows.iter_mut().for_each(|r| {
                        r.suspicion = Suspicion::Fails as i32;
                        r.slow_start_rate = None;
                    });
                }
                self.tally.bytes[0] += part.encoded_len() as u64;
                let (at, epoch) = (self.arrival(p, f, 0), self.links[p][f].epoch);
                self.push(at, Ev::Part(p, f, epoch, Box::new(part)));
            }
        }
    }

    pub(super) fn part(&mut self, p: usize, f: usize, epoch: u64, part: &PlanUpdate) {
        if !self.current(p, f, epoch, 0) {
            return;
        }
        let mover = &mut self.movers[f];
        let reply = mover.follower.receive(skewed(self.now, mover.skew), p, part);
        if reply.refused == 0 {
            for row in &part.rows {
                if let (Some(server), Some(facts)) = (id_of(&row.name), &row.attributes) {
                    let started = facts.started_ms * MS;
                    mover.closed.heard(self.now, server, facts.phase == 0, part.membership, started);
                }
            }
        }
        let at = self.arrival(p, f, 1);
        self.push(at, Ev::Reply(p, f, epoch, reply));
        self.apply(f);
    }

    pub(super) fn report(&mut self, p: usize, f: usize, epoch: u64, report: &Report) {
        if !self.current(p, f, epoch, 1) {
            return;
        }
        let (now, name) = (skewed(self.now, self.brains[p].skew), self.movers[f].name.clone());
        let taken = self.brains[p].planner.as_mut().map(|planner| planner.report(now, &name, report));
        if let Some(Err(error)) = taken {
            self.broken(format!("planner {p} refuses the report of forwarder {f}: {error}"));
        }
        if !report.closed.is_empty() {
            self.pump(p);
        }
    }

    pub(super) fn mover_tick(&mut self, f: usize, count: u64) {
        if self.setup.mode != Mode::TwoLevel {
            return;
        }
        let now = self.now;
        for p in 0..self.brains.len() {
            self.keep_session(p, f);
        }
        self.send_heartbeat_to_mover(f);
        let mover = &mut self.movers[f];
        let own = skewed(now, mover.skew);
        mover.follower.poll(own);
        if mover.follower.needs_membership(own) {
            mover.alone_at = now;
            if !mover.watching {
                self.watch(f);
            }
        } else if mover.watching && now.saturating_sub(mover.alone_at) > STILL_WATCH {
            mover.watching = false;
            mover.follower.forget_membership(own);
        }
        self.apply(f);
        if count.is_multiple_of(REPORT_EVERY) {
            (0..self.brains.len()).for_each(|p| self.send_report(p, f));
        }
        if now >= self.agree_from && !self.together(f) {
            self.tally.apart_at = now;
        }
    }

    fn keep_session(&mut self, p: usize, f: usize) {
        let now = self.now;
        let link = &mut self.links[p][f];
        if link.session.is_some() {
            if link.heard_at.iter().any(|at| now.saturating_sub(*at) > SILENCE) {
                self.hang_up(p, f);
            }
            return;
        }
        if link.cut || link.mute || now < link.retry_at {
            return;
        }
        let skew = self.brains[p].skew;
        let Some(planner) = &mut self.brains[p].planner else { return };
        link.epoch += 1;
        link.heard_at = [now; 2];
        link.session = Some(Reporter::new(skewed(now, self.movers[f].skew), 8_000.0));
        if let Err(error) = planner.forwarder_connected(skewed(now, skew), &self.movers[f].name, 0) {
            self.broken(format!("planner {p} refuses forwarder {f}: {error}"));
        }
    }

    fn send_report(&mut self, p: usize, f: usize) {
        let mover = &self.movers[f];
        let now = skewed(self.now, mover.skew);
        let link = &mut self.links[p][f];
        let Some(reporter) = &mut link.session else { return };
        let observed: Vec<(String, ServerObservation)> =
            mover.balancer.observations(now).map(|o| (box_name(box_of(o.server)), o)).collect();
        let [classes, _] = mover.balancer.admitted_rates(now);
        let state = NodeState {
            servers: observed.iter().map(|(name, o)| (name.as_str(), *o)).collect(),
            classes: CLASSES.iter().map(|c| c.0).zip(classes).collect(),
            tenants: Vec::new(),
            closed: mover.follower.closed(),
            following: mover.follower.following().unwrap_or_default(),
        };
        if let Some(report) = reporter.report(now, &state) {
            self.tally.bytes[1] += report.encoded_len() as u64;
            let (at, epoch) = (self.arrival(p, f, 1), self.links[p][f].epoch);
            self.push(at, Ev::Report(p, f, epoch, Box::new(report)));
        }
    }

    fn apply(&mut self, f: usize) {
        let mover = &mut self.movers[f];
        let view = mover.follower.view(skewed(self.now, mover.skew));
        self.show(f, &view);
    }

    fn show(&mut self, f: usize, view: &View) {
        let mover = &mut self.movers[f];
        let changes = mover.told.changes(view);
        let server = |m: Member| Some(Server { endpoint: endpoint(id_of(&m.name)?), ..m.server });
        let servers: Vec<Server> = changes.into_iter().filter_map(server).collect();
        let classes: Vec<String> = CLASSES.iter().map(|c| c.0.to_owned()).collect();
        let guide = lead::node_plan(view, |name| id_of(name).map(endpoint), &classes, std::iter::empty());
        let news = guide != mover.guide;
        mover.guide = guide.clone();
        if !servers.is_empty() {
            self.feed(f, Event::List { kind: ListKind::Changes, servers });
        }
        if news {
            self.feed(f, Event::Plan(guide));
        }
    }

    // ---- The list ----

    fn list(&self) -> List {
        Rc::new((self.version, self.members.values().cloned().collect()))
    }

    /// The list has changed: everybody who watches it hears so, each after its own while.
    pub(crate) fn list_changed(&mut self) {
        self.version += 1;
        (0..self.brains.len()).for_each(|p| self.list_to_brain(p));
        for f in 0..self.movers.len() {
            if self.movers[f].watching {
                self.tell_mover(f);
            }
        }
    }

    pub(crate) fn list_to_brain(&mut self, p: usize) {
        let at = (self.now + self.draw.between(MS, self.lag + 2 * MS)).max(self.brains[p].list_at + 1);
        self.brains[p].list_at = at;
        let (life, list) = (self.brains[p].life, self.list());
        self.push(at, Ev::ListToBrain(p, life, list));
    }

    pub(super) fn watch(&mut self, f: usize) {
        (self.movers[f].watching, self.movers[f].list_version) = (true, 0);
        self.tell_mover(f);
    }

    fn tell_mover(&mut self, f: usize) {
        let at = (self.now + self.draw.between(MS, self.lag + 2 * MS)).max(self.movers[f].list_at + 1);
        self.movers[f].list_at = at;
        self.push(at, Ev::ListToMover(f, self.list()));
    }

    /// The source sends a heartbeat to a planner that watches it, if one is due; it arrives behind what was sent before.
    pub(super) fn send_heartbeat_to_brain(&mut self, p: usize) {
        let (now, version) = (self.now, self.version);
        let brain = &mut self.brains[p];
        if brain.frozen || now.saturating_sub(brain.heartbeat_at) < LIST_HEARTBEAT {
            return;
        }
        brain.heartbeat_at = now;
        let (at, life) = ((now + self.lag).max(brain.list_at), brain.life);
        self.push(at, Ev::HeartbeatToBrain(p, life, version));
    }

    pub(super) fn heartbeat_to_brain(&mut self, p: usize, life: u64, version: u64) {
        let brain = &mut self.brains[p];
        let now = skewed(self.now, brain.skew);
        let heard = brain.life == life && !brain.frozen;
        if let Some(planner) = brain.planner.as_mut().filter(|_| heard) {
            // A watch that was cut since then begins with a list.
            if planner.membership_version().is_some_and(|held| held >= version) {
                planner.confirm_membership(now);
            }
        }
    }

    /// The same for a forwarder that watches the list.
    fn send_heartbeat_to_mover(&mut self, f: usize) {
        let (now, version) = (self.now, self.version);
        let mover = &mut self.movers[f];
        if !mover.watching || now.saturating_sub(mover.heartbeat_at) < LIST_HEARTBEAT {
            return;
        }
        mover.heartbeat_at = now;
        let at = (now + self.lag).max(mover.list_at);
        self.push(at, Ev::HeartbeatToMover(f, version));
    }

    pub(super) fn heartbeat_to_mover(&mut self, f: usize, version: u64) {
        let now = self.now;
        let mover = &mut self.movers[f];
        // Whoever has begun to watch again since then begins with a list.
        if mover.watching && mover.list_version >= version {
            mover.follower.confirm_membership(skewed(now, mover.skew));
        }
    }

    pub(super) fn list_to_mover(&mut self, f: usize, list: &List) {
        let (now, one_level) = (self.now, self.setup.mode == Mode::OneLevel);
        let mover = &mut self.movers[f];
        if !mover.watching {
            return;
        }
        for (server, member) in list.1.iter().filter_map(|m| Some((id_of(&m.name)?, m))) {
            let ready = member.server.phase == Phase::Ready;
            mover.closed.heard(now, server, ready, list.0, member.server.started_at);
        }
        if one_level {
            let view = View { members: list.1.clone(), ..View::default() };
            return self.show(f, &view);
        }
        mover.list_version = list.0;
        mover.follower.update_membership(skewed(now, mover.skew), list.0, true, list.1.clone());
        self.apply(f);
    }

    /// Whether a forwarder goes by the latest plan of a living planner, made from the list as it is.
    pub fn together(&self, f: usize) -> bool {
        let mover = &self.movers[f];
        let Some((p, life, _, membership)) = mover.follower.followed_plan() else { return false };
        let brain = &self.brains[p];
        let Some(planner) = &brain.planner else { return false };
        if life != brain.life || membership != self.version {
            return false;
        }
        let view = mover.follower.view(skewed(self.now, mover.skew));
        let ready = view.members.iter().filter(|m| m.server.phase == Phase::Ready);
        let mut names: Vec<&str> = ready.map(|m| m.name.as_str()).collect();
        let mut planned = planner.subset_of(&mover.name);
        names.sort_unstable();
        planned.sort_unstable();
        let true_phases = names
            .iter()
            .filter_map(|n| id_of(n))
            .all(|b| self.members.get(&b).is_some_and(|m| m.server.phase == Phase::Ready));
        names == planned && true_phases
    }
}
