//! What goes wrong, done to the world.

use super::link::End;
use super::schedule::Fault;
use super::world::{Event, World};
use crate::{Nanos, MS};

impl World {
    pub(super) fn strike(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::KillPlanner(p) => self.kill_planner(p),
            Fault::StartPlanner(p) => self.start_planner(p),
            Fault::KillForwarder(f) => self.kill_forwarder(f),
            Fault::StartForwarder(f) => self.start_forwarder(f),
            Fault::Pause(f, lasts) => {
                let until = now + lasts;
                self.forwarders[f].paused_until = self.forwarders[f].paused_until.max(until);
                self.at(until, Event::Resume(f));
            }
            Fault::Lose(p, f, end, later) => {
                if let Some(c) = self.between(p, f) {
                    self.connections[c].ways[end as usize].dead = true;
                    for end in [End::Forwarder, End::Planner] {
                        let at = now + later + self.draw.between(0, 300) * MS;
                        self.at(at, Event::Broken(c, end));
                    }
                }
            }
            Fault::Deaf(p, f, end) => self.links[p][f].deaf[end as usize] = true,
            Fault::Cut(p, f) => self.links[p][f].deaf = [true, true],
            Fault::Mend(p, f) => self.mend(p, f),
            Fault::Break(p, f) => {
                if let Some(c) = self.between(p, f) {
                    for end in [End::Forwarder, End::Planner] {
                        let at = now + self.draw.between(0, 200) * MS;
                        self.at(at, Event::Broken(c, end));
                    }
                }
            }
            Fault::Delay(p, f, delay) => {
                self.links[p][f].delay = delay;
                self.links[p][f].sound_since = now;
            }
            Fault::Freeze(p) => self.planners[p].feed.frozen = true,
            Fault::Thaw(p, whole) => {
                let feed = &mut self.planners[p].feed;
                feed.frozen = false;
                feed.whole |= whole;
                self.hear(p);
            }
            Fault::Late(p, delay) => {
                self.planners[p].feed.delay = delay;
                self.at(now + delay, Event::Hear(p));
            }
            Fault::SourceRestart => {
                self.restarted_at = Some(now);
                self.source.restart(now);
                self.listed();
            }
            Fault::Flood(f, many) => self.flood(f, many),
            Fault::Turn(f) => {
                let services = self.source.services.len();
                self.forwarders[f].app.turn(services);
            }
            Fault::Heal => self.heal(),
        }
    }

    /// The connection between the two, if there is one that both hold for open.
    fn between(&self, p: usize, f: usize) -> Option<usize> {
        let c = *self.planners[p].joined.get(&f)?;
        (self.connections[c].open == [true, true]).then_some(c)
    }

    fn mend(&mut self, p: usize, f: usize) {
        let now = self.now;
        let link = &mut self.links[p][f];
        if !link.sound() {
            link.deaf = [false, false];
            link.sound_since = now;
        }
    }

    fn heal(&mut self) {
        let now: Nanos = self.now;
        self.healed = true;
        for p in 0..self.planners.len() {
            for f in 0..self.forwarders.len() {
                self.mend(p, f);
                self.links[p][f].delay = MS;
            }
            self.planners[p].feed.frozen = false;
            self.planners[p].feed.delay = 0;
            self.start_planner(p);
            self.hear(p);
        }
        for c in 0..self.connections.len() {
            let connection = &self.connections[c];
            let dead = connection.ways.iter().any(|w| w.dead);
            if connection.open != [false, false] && (dead || connection.open != [true, true]) {
                self.at(now + 50 * MS, Event::Broken(c, End::Forwarder));
                self.at(now + 50 * MS, Event::Broken(c, End::Planner));
            }
        }
        for f in 0..self.forwarders.len() {
            self.start_forwarder(f);
            if self.forwarders[f].paused_until > now {
                self.forwarders[f].paused_until = now;
                self.at(now, Event::Resume(f));
            }
        }
    }
}
