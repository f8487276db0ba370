//! The servers that the gateway knows: lists from discovery, operators' and the fleet's decisions on servers, and their
//! effect on the decision module.

use super::{Gateway, State};
use crate::fleet::{ServerAttributes, ServerEntry};
use laurelroute_handover::bans::{BanError, BanRecord, Bans};
use laurelroute_policy::interface::{Event, ListKind, Nanos, Server};
use laurelroute_shift::controller::{ListedServer, ShiftController};
use laurelroute_shift::pool::ServerLabels;
use std::rc::Rc;

/// Why a server could not be detached or attached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ServerControlError {
    /// There is no server of this name.
    #[error("no server has this name")]
    Unknown,
    /// The ban list is full.
    #[error("{0}")]
    Bans(#[from] BanError),
}

impl Gateway {
    /// Applies a server list or changes to it. The fleet is updated before the decision module, whose actions must find
    /// the servers there.
    pub fn update_servers(self: &Rc<Self>, kind: ListKind, entries: Vec<ServerEntry>) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let shift_entries = state.shift.is_some().then(|| entries.clone());
        state.fleet.set_wall_clock_offset(self.clock.wall().wrapping_sub(now) as i64);
        let servers = state.fleet.update(now, kind, entries);
        if let (Some(shift), Some(entries)) = (&mut state.shift, shift_entries) {
            update_shift_servers(shift, kind != ListKind::Changes, &entries, &servers);
        }
        self.report_servers(&mut state, kind, servers);
    }

    /// Records a contact with discovery that brought no changes.
    pub fn record_discovery_contact(&self) {
        let now = self.clock.now();
        self.fleet(|f| f.record_discovery_contact(now));
    }

    fn report_servers(self: &Rc<Self>, state: &mut State, kind: ListKind, servers: Vec<Server>) {
        if let Some(shift) = &mut state.shift {
            shift.update_servers(&servers);
        }
        self.handle(state, Event::List { kind, servers });
        if let Some(split) = state.shift.as_mut().and_then(|s| s.split_after_list_update()) {
            self.handle(state, Event::Split(split));
        }
        for server in state.fleet.take_restored() {
            self.handle(state, Event::Reinstated { server });
        }
    }

    /// Takes a server out of use, whatever the list says; returns the record to send to other processes, if this is a
    /// change.
    pub fn detach(self: &Rc<Self>, host: &str) -> Result<Option<BanRecord>, ServerControlError> {
        self.control_server(host, |bans, now| bans.detach(host, now))
    }

    /// Puts a detached server back into use; does nothing for a server that was not detached.
    pub fn attach(self: &Rc<Self>, host: &str) -> Result<Option<BanRecord>, ServerControlError> {
        self.control_server(host, |bans, now| Ok(bans.attach(host, now)))
    }

    /// Applies an operator's command on a server, if the server is known.
    fn control_server(
        self: &Rc<Self>,
        host: &str,
        command: impl FnOnce(&mut Bans, Nanos) -> Result<Option<BanRecord>, BanError>,
    ) -> Result<Option<BanRecord>, ServerControlError> {
        let others = self.process.others(self);
        let known = |g: &Rc<Self>| g.fleet(|f| f.is_listed(host) || f.bans.is_banned(host));
        if !known(self) && !others.iter().any(known) {
            return Err(ServerControlError::Unknown);
        }
        let record = self.fleet(|f| command(&mut f.bans, self.clock.now()))?;
        self.reapply_bans_and_drains(&[host.to_owned()]);
        // An operator's command applies to the server in all its services.
        others.iter().for_each(|g| g.merge_ban_records(record.iter().cloned().collect()));
        Ok(record)
    }

    /// Applies the fleet's decision on a server, which overrides local commands. Returns the record of the change, for
    /// the other processes of this node, unless it changes nothing.
    pub fn apply_fleet_ban(self: &Rc<Self>, host: &str, banned: bool) -> Option<BanRecord> {
        let now = self.clock.now();
        let record = self.fleet(|f| match banned {
            true => f.bans.detach(host, now).ok().flatten(),
            false => f.bans.attach(host, now),
        });
        if let Some(record) = &record {
            self.reapply_bans_and_drains(&[host.to_owned()]);
            self.process.others(self).iter().for_each(|g| g.merge_ban_records(vec![record.clone()]));
        }
        record
    }

    /// Sets whether other nodes report a server as draining, which may be ahead of the list here.
    pub fn apply_fleet_drain(self: &Rc<Self>, host: &str, draining: bool) {
        if self.fleet(|f| f.set_drained(host, draining)) {
            self.reapply_bans_and_drains(&[host.to_owned()]);
            for other in self.process.others(self) {
                other.fleet(|f| f.set_drained(host, draining));
                other.reapply_bans_and_drains(&[host.to_owned()]);
            }
        }
    }

    /// Merges ban records from another process of this node.
    pub fn merge_bans(self: &Rc<Self>, records: Vec<BanRecord>) {
        self.process.others(self).iter().for_each(|g| g.merge_ban_records(records.clone()));
        self.merge_ban_records(records);
    }

    fn merge_ban_records(self: &Rc<Self>, records: Vec<BanRecord>) {
        let now = self.clock.now();
        let changed = self.fleet(|f| f.bans.merge_received(records, now));
        // Known records are received again with each call, mostly without changes, which need no update.
        if !changed.is_empty() {
            self.reapply_bans_and_drains(&changed);
        }
    }

    fn reapply_bans_and_drains(self: &Rc<Self>, hosts: &[String]) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let slow_start_over = now.saturating_sub(2 * self.config.settings.ramp);
        state.fleet.bans.forget_restored_before(slow_start_over);
        let servers = state.fleet.reapply(now, hosts);
        self.report_servers(&mut state, ListKind::Changes, servers);
    }
}

/// Passes the server list to the shift. `servers` are in the order of their entries.
fn update_shift_servers(
    shift: &mut ShiftController,
    is_full_list: bool,
    entries: &[ServerEntry],
    servers: &[Server],
) {
    let no_attributes = ServerAttributes::default();
    let zones = shift.rollout.settings.zones.clone();
    let listed = entries.iter().zip(servers).map(|(entry, server)| {
        let attributes = entry.attributes.as_deref().unwrap_or(&no_attributes);
        let address = entry.addresses.iter().flatten().next().map(|a| a.ip());
        let zone = zones.get(usize::from(server.zone)).map_or("", String::as_str);
        let labels = ServerLabels {
            id: &entry.host,
            zone,
            kind: &attributes.kind,
            version: &attributes.version,
            address,
            metadata: &attributes.metadata,
        };
        ListedServer { labels, server: *server }
    });
    shift.update_list(is_full_list, listed);
}
