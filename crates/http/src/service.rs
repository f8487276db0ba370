//! Where a request says which service it is for.

use hyper::header::{HeaderName, HOST};
use hyper::http::request::Parts;
use laurelroute_core::route::{ServiceResolver, MAX_SERVICE_NAME_BYTES};
use std::rc::Rc;

/// Where the name of the service stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceNameSource {
    /// All requests are for the service without a name.
    Unnamed,
    /// It is the host that the client asks, without its port, in lower case.
    Host,
    /// In this header, as it stands there. A request without it is for the service without a name.
    Header(HeaderName),
}

/// Why a request's service cannot be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// No host, or more than one.
    #[error("a request needs one Host")]
    Host,
    /// The header stands more than once.
    #[error("a request names one service")]
    Several,
    /// Too long, or of other than visible ASCII characters.
    #[error("a service's name has 1 to {MAX_SERVICE_NAME_BYTES} visible characters")]
    Name,
}

impl ServiceNameSource {
    /// The service that a request names; empty for the one without a name.
    pub fn service_name(&self, head: &Parts) -> Result<String, NameError> {
        match self {
            ServiceNameSource::Unnamed => Ok(String::new()),
            ServiceNameSource::Host => {
                let mut hosts = head.headers.get_all(HOST).iter();
                let (first, further) = (hosts.next(), hosts.next());
                // The target's own host counts before the header (RFC 9112, section 3.2.2).
                let authority = match (head.uri.authority(), first, further) {
                    (Some(authority), ..) => authority.as_str().as_bytes(),
                    (None, Some(host), None) => host.as_bytes(),
                    _ => return Err(NameError::Host),
                };
                Ok(sound(host(authority).ok_or(NameError::Host)?)?.to_ascii_lowercase())
            }
            ServiceNameSource::Header(name) => {
                let mut values = head.headers.get_all(name).iter();
                match (values.next(), values.next()) {
                    (None, _) => Ok(String::new()),
                    (Some(value), None) => Ok(sound(value.as_bytes())?.to_owned()),
                    _ => Err(NameError::Several),
                }
            }
        }
    }
}

/// A host without its port; brackets around an address stay.
fn host(authority: &[u8]) -> Option<&[u8]> {
    let text = authority.trim_ascii();
    let digits = |port: &[u8]| port.iter().all(u8::is_ascii_digit);
    let end = match text.iter().rposition(|b| *b == b':') {
        Some(colon) if !text.ends_with(b"]") && digits(&text[colon + 1..]) => colon,
        _ => text.len(),
    };
    Some(&text[..end]).filter(|host| !host.is_empty() && !host.contains(&b'@') && !host.contains(&b'/'))
}

fn sound(name: &[u8]) -> Result<&str, NameError> {
    let fits = (1..=MAX_SERVICE_NAME_BYTES).contains(&name.len()) && name.iter().all(u8::is_ascii_graphic);
    std::str::from_utf8(name).ok().filter(|_| fits).ok_or(NameError::Name)
}

/// Which services there are, and where requests name them.
#[derive(Clone)]
pub struct Routing {
    /// Where the name stands.
    pub name_source: ServiceNameSource,
    /// Who knows services.
    pub services: Rc<dyn ServiceResolver>,
}

impl std::fmt::Debug for Routing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Routing({:?})", self.name_source)
    }
}
