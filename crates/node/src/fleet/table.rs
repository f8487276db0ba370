//! The `[fleet]` section of the operator's file: the members of the fleet and which of them this process is.

use crate::site::{SiteError, Validator};
use laurelroute_membership::{MemberId, Roster};
use ring::hmac;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use toml::Spanned;

/// Minimum length of the key: as long as the authentication tag.
const MIN_KEY_BYTES: usize = 16;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetTable {
    site: Spanned<String>,
    name: Spanned<String>,
    listen: Option<Spanned<SocketAddr>>,
    key: Option<Spanned<String>>,
    history: Option<PathBuf>,
    confirm: Option<Spanned<usize>>,
    #[serde(default, rename = "member")]
    members: Vec<MemberTable>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberTable {
    name: Spanned<String>,
    address: Spanned<SocketAddr>,
}

/// The validated fleet configuration of this process.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Name of the installation.
    pub site: String,
    /// All configured members.
    pub roster: Roster,
    /// This member's seat in the roster.
    pub own_seat: MemberId,
    /// Addresses that datagrams to the members are sent to, in roster order.
    pub addresses: Vec<SocketAddr>,
    /// Address that this member receives datagrams on.
    pub listen: SocketAddr,
    /// Key that authenticates the installation's datagrams; without one they are not authenticated.
    pub key: Option<hmac::Key>,
    /// File that membership events are appended to, one JSON object per line.
    pub history: Option<PathBuf>,
    /// Number of other members that have to hold an operator's change before the call is answered, if there are that
    /// many and they respond in time.
    pub confirm: usize,
}

/// Decodes a key from an even number of hexadecimal digits.
fn parse_key(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let valid = digits.len().is_multiple_of(2) && digits.iter().all(u8::is_ascii_hexdigit);
    valid.then(|| digits.chunks(2).map(byte).collect()).flatten()
}

impl FleetTable {
    /// Checks the section and sorts the members by name, as the roster does.
    pub(crate) fn validate(self, validator: &Validator<'_>) -> Result<FleetConfig, SiteError> {
        if self.site.get_ref().is_empty() {
            return Err(validator.error_at(&self.site, "`fleet.site` must not be empty"));
        }
        for (index, member) in self.members.iter().enumerate() {
            let (name, address) = (member.name.get_ref(), member.address.get_ref());
            let earlier = &self.members[..index];
            if earlier.iter().any(|m| m.name.get_ref() == name) {
                return Err(validator.error_at(&member.name, format!("the member `{name}` is listed twice")));
            }
            if let Some(other) = earlier.iter().find(|m| m.address.get_ref() == address) {
                let other = other.name.get_ref();
                return Err(validator
                    .error_at(&member.address, format!("`{name}` has the address of `{other}`: {address}")));
            }
            if address.port() == 0 || address.ip().is_unspecified() {
                return Err(validator
                    .error_at(&member.address, format!("{address} is not a usable destination address")));
            }
        }
        let names = self.members.iter().map(|m| m.name.get_ref().clone()).collect();
        let roster = Roster::new(names)
            .map_err(|e| validator.error_at(&self.name, format!("`[[fleet.member]]`: {e}")))?;
        let own_name = self.name.get_ref();
        let Some(own_seat) = roster.id_of(own_name) else {
            return Err(validator.error_at(
                &self.name,
                format!("`fleet.name` is `{own_name}`, which is not a `[[fleet.member]]`"),
            ));
        };
        let mut addresses: Vec<(&String, SocketAddr)> =
            self.members.iter().map(|m| (m.name.get_ref(), *m.address.get_ref())).collect();
        addresses.sort_unstable();
        let addresses: Vec<SocketAddr> = addresses.into_iter().map(|(_, address)| address).collect();
        let listen = self.listen.as_ref().map_or(addresses[usize::from(own_seat)], |l| *l.get_ref());
        let key = match &self.key {
            None => None,
            Some(text) => match parse_key(text.get_ref()) {
                Some(bytes) if bytes.len() >= MIN_KEY_BYTES => {
                    Some(hmac::Key::new(hmac::HMAC_SHA256, &bytes))
                }
                Some(bytes) => {
                    let message = format!(
                        "`fleet.key` has {} bytes; it must have at least {MIN_KEY_BYTES}",
                        bytes.len()
                    );
                    return Err(validator.error_at(text, message));
                }
                None => {
                    return Err(
                        validator.error_at(text, "`fleet.key` must be hexadecimal digits, two per byte")
                    )
                }
            },
        };
        let confirm = self.confirm.as_ref().map_or(1, |c| *c.get_ref());
        if let Some(at) = self.confirm.as_ref().filter(|_| confirm >= roster.len()) {
            let message = format!(
                "`fleet.confirm` is {confirm}, but there are only {} other members",
                roster.len() - 1
            );
            return Err(validator.error_at(at, message));
        }
        if !is_local_address(listen.ip()) {
            let at = self.listen.as_ref().map_or(self.name.span().start, |l| l.span().start);
            return Err(validator
                .error(Some(at), format!("`fleet.listen`: {listen} is not an address of this machine")));
        }
        Ok(FleetConfig {
            site: self.site.into_inner(),
            roster,
            own_seat,
            addresses,
            listen,
            key,
            history: self.history.map(|path| validator.resolve_path(path)),
            confirm,
        })
    }
}

/// Whether the address belongs to this machine, checked by binding a socket to it.
fn is_local_address(ip: IpAddr) -> bool {
    std::net::UdpSocket::bind((ip, 0)).is_ok()
}

#[cfg(test)]
mod tests {
    use crate::site::Site;

    const FLEET: &str = "[fleet]\nsite = \"perth\"\nname = \"a\"\nkey = \"000102030405060708090a0b0c0d0e0f\"\n\
        [[fleet.member]]\nname = \"b\"\naddress = \"127.0.0.1:2\"\n[[fleet.member]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n";

    #[test]
    fn members_are_ordered_by_name() {
        let fleet = Site::parse("s", FLEET, None).unwrap().fleet.unwrap();
        assert_eq!((fleet.own_seat, fleet.roster.name(1)), (0, "b"));
        assert_eq!(fleet.addresses[0].port(), 1);
        assert_eq!(fleet.listen.port(), 1);
    }

    #[test]
    fn errors_name_the_key_and_the_line() {
        for (from, to, message) in [
            ("\"b\"", "\"a\"", "s, line 9: the member `a` is listed twice"),
            (":2\"", ":1\"", "s, line 10: `a` has the address of `b`: 127.0.0.1:1"),
            (
                "name = \"a\"\nkey",
                "name = \"c\"\nkey",
                "s, line 3: `fleet.name` is `c`, which is not a `[[fleet.member]]`",
            ),
            ("0e0f", "", "s, line 4: `fleet.key` has 14 bytes"),
            ("0e0f", "0e0", "s, line 4: `fleet.key` must be hexadecimal"),
            ("\"perth\"", "\"\"", "s, line 2: `fleet.site` must not be empty"),
            (
                "key =",
                "listen = \"192.0.2.1:9\"\nkey =",
                "s, line 4: `fleet.listen`: 192.0.2.1:9 is not an address",
            ),
            ("127.0.0.1:2", "127.0.0.1:0", "s, line 7: 127.0.0.1:0 is not a usable destination address"),
            ("key =", "kay =", "unknown field `kay`"),
        ] {
            let text = FLEET.replacen(from, to, 1);
            assert_ne!(text, FLEET, "{from}");
            let error = Site::parse("s", &text, None).unwrap_err().to_string();
            assert!(error.contains(message), "{to}: {error}");
        }
    }
}
