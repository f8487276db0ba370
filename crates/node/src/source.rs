//! Conversion of discovery's server entries for the gateway, the planner and the forwarders.

use crate::discovery::{ListUse, Sink};
use crate::fleet::replica::drain_flags;
use laurelroute_core::fleet::ServerEntry;
use laurelroute_core::gateway::Gateway;
use laurelroute_plan::member::Member;
use laurelroute_policy::interface::ListKind;
use std::net::SocketAddr;
use std::rc::Rc;

/// Sink of a standalone node: passes lists to the gateway and, if the node is a member of a fleet, replicates the
/// drains in them to the other members.
pub(crate) fn gateway_sink(gateway: &Rc<Gateway>, fleet: Option<Rc<crate::fleet::FleetMember>>) -> Sink {
    let gateway = gateway.clone();
    Box::new(move |kind, version, entries| {
        let listed_phases = fleet.is_some().then(|| drain_flags(&entries));
        gateway.update_servers(kind, entries);
        if let (Some(fleet), Some(listed_phases)) = (&fleet, listed_phases) {
            fleet.on_discovery_list(&gateway, kind, version, &listed_phases);
        }
        if matches!(kind, ListKind::Full | ListKind::Changes) {
            gateway.set_ready();
        }
        ListUse::Used
    })
}

/// Converts an entry to a planner's and forwarder's member.
pub(crate) fn to_member(entry: ServerEntry) -> Member {
    Member { name: entry.host, addresses: entry.addresses, server: entry.server }
}

/// Converts a member to the gateway's entry. A server without a Thrift address of its own gets the port
/// `thrift_port`.
pub(crate) fn to_entry(member: Member, thrift_port: Option<u16>) -> ServerEntry {
    let mut addresses = member.addresses;
    if let (Some(port), Some(Some(http)), [_, None]) =
        (thrift_port, addresses.first().copied(), &addresses[..])
    {
        addresses[1] = Some(SocketAddr::new(http.ip(), port));
    }
    ServerEntry { host: member.name, addresses, server: member.server, attributes: None }
}
