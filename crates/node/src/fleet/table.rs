//! The operator's file on the fleet: who the members are, and which of them this process is (`[fleet]`).

use crate::site::{SiteError, Validator};
use laurelroute_membership::{Roster, Seat};
use ring::hmac;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use toml::Spanned;

/// Bytes of a key at least: as long as what the MAC gives.
const LEAST_KEY: usize = 16;

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

/// The fleet that this process is a member of.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The installation.
    pub site: String,
    /// All members.
    pub roster: Roster,
    /// Which one this is.
    pub me: Seat,
    /// Where their datagrams go, in the roster's order.
    pub addresses: Vec<SocketAddr>,
    /// Where this one's arrive.
    pub listen: SocketAddr,
    /// With this key each datagram is marked as one of the installation's.
    pub key: Option<hmac::Key>,
    /// A file for what happens, in lines of JSON.
    pub history: Option<PathBuf>,
    /// Staff's word is answered once so many others have it, where there are so many and they answer in time.
    pub confirm: usize,
}

/// A key as an even number of hexadecimal digits.
fn key(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let plain = digits.len().is_multiple_of(2) && digits.iter().all(u8::is_ascii_hexdigit);
    plain.then(|| digits.chunks(2).map(byte).collect()).flatten()
}

impl FleetTable {
    pub(crate) fn validate(self, validator: &Validator<'_>) -> Result<FleetConfig, SiteError> {
        if self.site.get_ref().is_empty() {
            return Err(validator.error_at(&self.site, "`fleet.site` has no text"));
        }
        for (k, member) in self.members.iter().enumerate() {
            let (name, address) = (member.name.get_ref(), member.address.get_ref());
            let before = &self.members[..k];
            if before.iter().any(|m| m.name.get_ref() == name) {
                return Err(validator.error_at(&member.name, format!("the member `{name}` stands twice")));
            }
            if let Some(other) = before.iter().find(|m| m.address.get_ref() == address) {
                let other = other.name.get_ref();
                return Err(validator
                    .error_at(&member.address, format!("`{name}` has the address of `{other}`: {address}")));
            }
            if address.port() == 0 || address.ip().is_unspecified() {
                return Err(validator.error_at(&member.address, format!("nobody can send to {address}")));
            }
        }
        let names = self.members.iter().map(|m| m.name.get_ref().clone()).collect();
        let roster = Roster::new(names)
            .map_err(|e| validator.error_at(&self.name, format!("`[[fleet.member]]`: {e}")))?;
        let own = self.name.get_ref();
        let Some(me) = roster.seat(own) else {
            return Err(validator
                .error_at(&self.name, format!("`fleet.name` is `{own}`, which is no `[[fleet.member]]`")));
        };
        let mut addresses: Vec<(&String, SocketAddr)> =
            self.members.iter().map(|m| (m.name.get_ref(), *m.address.get_ref())).collect();
        addresses.sort_unstable();
        let addresses: Vec<SocketAddr> = addresses.into_iter().map(|(_, address)| address).collect();
        let listen = self.listen.as_ref().map_or(addresses[usize::from(me)], |l| *l.get_ref());
        let key = match &self.key {
            None => None,
            Some(text) => match key(text.get_ref()) {
                Some(bytes) if bytes.len() >= LEAST_KEY => Some(hmac::Key::new(hmac::HMAC_SHA256, &bytes)),
                Some(bytes) => {
                    let message =
                        format!("`fleet.key` has {} bytes; it has to have {LEAST_KEY} at least", bytes.len());
                    return Err(validator.error_at(text, message));
                }
                None => {
                    return Err(
                        validator.error_at(text, "`fleet.key` has to be hexadecimal digits, two for a byte")
                    )
                }
            },
        };
        let confirm = self.confirm.as_ref().map_or(1, |c| *c.get_ref());
        if let Some(at) = self.confirm.as_ref().filter(|_| confirm >= roster.len()) {
            let message =
                format!("`fleet.confirm` is {confirm}, where there are {} others", roster.len() - 1);
            return Err(validator.error_at(at, message));
        }
        if !here(listen.ip()) {
            let at = self.listen.as_ref().map_or(self.name.span().start, |l| l.span().start);
            return Err(
                validator.error(Some(at), format!("`fleet.listen`: {listen} is no address of this machine"))
            );
        }
        Ok(FleetConfig {
            site: self.site.into_inner(),
            roster,
            me,
            addresses,
            listen,
            key,
            history: self.history.map(|path| validator.resolve_path(path)),
            confirm,
        })
    }
}

/// Whether this machine has an address: only then can a socket be bound to it.
fn here(ip: IpAddr) -> bool {
    std::net::UdpSocket::bind((ip, 0)).is_ok()
}

#[cfg(test)]
mod tests {
    use crate::site::Site;

    const FLEET: &str = "[fleet]\nsite = \"perth\"\nname = \"a\"\nkey = \"000102030405060708090a0b0c0d0e0f\"\n\
        [[fleet.member]]\nname = \"b\"\naddress = \"127.0.0.1:2\"\n[[fleet.member]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n";

    #[test]
    fn a_fleet_is_read_in_the_order_of_its_names() {
        let fleet = Site::parse("s", FLEET, None).unwrap().fleet.unwrap();
        assert_eq!((fleet.me, fleet.roster.name(1)), (0, "b"));
        assert_eq!(fleet.addresses[0].port(), 1);
        assert_eq!(fleet.listen.port(), 1);
    }

    #[test]
    fn errors_name_key_and_line() {
        for (from, to, message) in [
            ("\"b\"", "\"a\"", "s, line 9: the member `a` stands twice"),
            (":2\"", ":1\"", "s, line 10: `a` has the address of `b`: 127.0.0.1:1"),
            ("name = \"a\"\nkey", "name = \"c\"\nkey", "s, line 3: `fleet.name` is `c`, which is no"),
            ("0e0f", "", "s, line 4: `fleet.key` has 14 bytes"),
            ("0e0f", "0e0", "s, line 4: `fleet.key` has to be hexadecimal"),
            ("\"perth\"", "\"\"", "s, line 2: `fleet.site` has no text"),
            (
                "key =",
                "listen = \"192.0.2.1:9\"\nkey =",
                "s, line 4: `fleet.listen`: 192.0.2.1:9 is no address",
            ),
            ("127.0.0.1:2", "127.0.0.1:0", "s, line 7: nobody can send to 127.0.0.1:0"),
            ("key =", "kay =", "unknown field `kay`"),
        ] {
            let text = FLEET.replacen(from, to, 1);
            assert_ne!(text, FLEET, "{from}");
            let error = Site::parse("s", &text, None).unwrap_err().to_string();
            assert!(error.contains(message), "{to}: {error}");
        }
    }
}
