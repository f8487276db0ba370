//! What discovery says, handed to whoever goes by it.

use crate::discovery::Sink;
use crate::fleet::copy::phases;
use laurelroute_core::fleet::Entry;
use laurelroute_core::gateway::Gateway;
use laurelroute_plan::member::Member;
use laurelroute_policy::interface::ListKind;
use std::net::SocketAddr;
use std::rc::Rc;

/// Straight to the gateway: the one-level node. Where it is a member of a fleet, the others hear of what drains.
pub(crate) fn to_gateway(gateway: &Rc<Gateway>, fleet: Option<Rc<crate::fleet::Member>>) -> Sink {
    let gateway = gateway.clone();
    Box::new(move |kind, version, entries| {
        let said = fleet.is_some().then(|| phases(&entries));
        gateway.list(kind, entries);
        if let (Some(fleet), Some(said)) = (&fleet, said) {
            fleet.listed(&gateway, kind, version, &said);
        }
        if matches!(kind, ListKind::Full | ListKind::Changes) {
            gateway.set_ready();
        }
    })
}

/// A box as planners and forwarders know it.
pub(crate) fn member(entry: Entry) -> Member {
    Member { name: entry.host, addresses: entry.dials, server: entry.server }
}

/// A box as the gateway knows it. Where the list does not say where it speaks Thrift, it does so on `port`.
pub(crate) fn entry(member: Member, port: Option<u16>) -> Entry {
    let mut dials = member.addresses;
    if let (Some(port), Some(Some(http)), [_, None]) = (port, dials.first().copied(), &dials[..]) {
        dials[1] = Some(SocketAddr::new(http.ip(), port));
    }
    Entry { host: member.name, dials, server: member.server, said: None }
}
