//! How a request names the service that it is for.

use hyper::header::{HeaderName, HOST};
use hyper::http::request::Parts;
use laurelroute_core::route::{ServiceResolver, MAX_SERVICE_NAME_BYTES};
use std::rc::Rc;

/// Where requests carry the name of their service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceNameSource {
    /// Requests carry no name: all are for the unnamed service.
    Unnamed,
    /// The host of the request without its port, in lower case.
    Host,
    /// The value of this header, unchanged. A request without it is for the unnamed service.
    Header(HeaderName),
}

/// Why a request's service cannot be determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The request has no valid host, or more than one.
    #[error("a request needs one Host")]
    Host,
    /// The request has the header more than once.
    #[error("a request names one service")]
    Multiple,
    /// The name is empty or too long, or has characters other than visible ASCII.
    #[error("a service's name has 1 to {MAX_SERVICE_NAME_BYTES} visible characters")]
    Invalid,
}

impl ServiceNameSource {
    /// The name of the request's service; empty for the unnamed service.
    pub fn service_name(&self, head: &Parts) -> Result<String, NameError> {
        match self {
            ServiceNameSource::Unnamed => Ok(String::new()),
            ServiceNameSource::Host => {
                let mut hosts = head.headers.get_all(HOST).iter();
                let (first, second) = (hosts.next(), hosts.next());
                // The host of an absolute request target takes precedence over the header (RFC 9112, section 3.2.2).
                let authority = match (head.uri.authority(), first, second) {
                    (Some(authority), ..) => authority.as_str().as_bytes(),
                    (None, Some(host), None) => host.as_bytes(),
                    _ => return Err(NameError::Host),
                };
                Ok(valid_name(host_without_port(authority).ok_or(NameError::Host)?)?.to_ascii_lowercase())
            }
            ServiceNameSource::Header(name) => {
                let mut values = head.headers.get_all(name).iter();
                match (values.next(), values.next()) {
                    (None, _) => Ok(String::new()),
                    (Some(value), None) => Ok(valid_name(value.as_bytes())?.to_owned()),
                    _ => Err(NameError::Multiple),
                }
            }
        }
    }
}

/// Removes the port of a host; the brackets around an IPv6 address stay.
fn host_without_port(authority: &[u8]) -> Option<&[u8]> {
    let text = authority.trim_ascii();
    let digits = |port: &[u8]| port.iter().all(u8::is_ascii_digit);
    let end = match text.iter().rposition(|b| *b == b':') {
        Some(colon) if !text.ends_with(b"]") && digits(&text[colon + 1..]) => colon,
        _ => text.len(),
    };
    Some(&text[..end]).filter(|host| !host.is_empty() && !host.contains(&b'@') && !host.contains(&b'/'))
}

fn valid_name(name: &[u8]) -> Result<&str, NameError> {
    let valid = (1..=MAX_SERVICE_NAME_BYTES).contains(&name.len()) && name.iter().all(u8::is_ascii_graphic);
    std::str::from_utf8(name).ok().filter(|_| valid).ok_or(NameError::Invalid)
}

/// How requests are routed to services.
#[derive(Clone)]
pub struct Routing {
    /// Where requests carry the name of their service.
    pub name_source: ServiceNameSource,
    /// Resolves names of services.
    pub services: Rc<dyn ServiceResolver>,
}

impl std::fmt::Debug for Routing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Routing({:?})", self.name_source)
    }
}
