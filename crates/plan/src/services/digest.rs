//! Digests that tell whether two copies of a service hold the same servers in the same state.
//!
//! The digest of a set is the sum of its members' hashes, so that a change takes one subtraction and one addition.
//! It detects copies that have diverged by accident, not deliberate forgery: peers are authenticated.

use crate::member::Member;
use crate::stable_hash;
use crate::wire;
use laurelroute_policy::interface::Phase;
use prost::Message;

/// Returns a member's contribution to the digest of a service; 0 for a removed member.
pub fn member_digest(member: &Member) -> u64 {
    match member.server.phase {
        Phase::Removed => 0,
        Phase::Ready | Phase::Draining => attributes_digest(&member.name, &member.attributes()),
    }
}

/// Returns a server's contribution to the digest of a whole list: its member digest combined with the services that
/// it belongs to, in any order.
pub fn entry_digest<'a>(member: u64, services: impl Iterator<Item = &'a str>) -> u64 {
    let services = services.map(|service| stable_hash(13, service.as_bytes())).fold(0, u64::wrapping_add);
    stable_hash(member, &services.to_le_bytes())
}

fn attributes_digest(name: &str, attributes: &wire::ServerAttributes) -> u64 {
    stable_hash(stable_hash(7, name.as_bytes()), &attributes.encode_to_vec())
}
