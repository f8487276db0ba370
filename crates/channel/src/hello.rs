//! The handshake after TLS: exchanges identities and protocol versions.

use crate::frames::{self, FrameError};
use laurelroute_plan::member::MAX_NAME_BYTES;
use laurelroute_plan::wire::{Body, Hello, Refusal, Role, NEWEST_VERSION, OLDEST_VERSION};
use tokio::io::{AsyncRead, AsyncWrite};

/// The identity of this side.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its role.
    pub role: Role,
    /// Its name, unique within the installation.
    pub name: String,
    /// The installation.
    pub site: String,
    /// Start time of this process, Unix time in milliseconds.
    pub incarnation: u64,
    /// Its zone.
    pub zone: u8,
    /// Whether it uses subscriptions to services.
    pub services: bool,
}

impl Identity {
    /// The handshake message of this side.
    pub fn hello(&self) -> Hello {
        Hello {
            oldest: OLDEST_VERSION,
            newest: NEWEST_VERSION,
            role: self.role as i32,
            name: self.name.clone(),
            site: self.site.clone(),
            incarnation: self.incarnation,
            zone: self.zone.into(),
            services: self.services,
        }
    }
}

/// Why a handshake fails.
#[derive(Debug, thiserror::Error)]
pub enum HelloError {
    /// The connection is broken.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The first message of the peer is not a handshake.
    #[error("its first message is no greeting")]
    NoHello,
    /// There is no common protocol version.
    #[error(
        "it speaks versions {0} to {1} of the messages, this program {OLDEST_VERSION} to {NEWEST_VERSION}"
    )]
    Version(u32, u32),
    /// The peer belongs to another installation.
    #[error("it belongs to site `{0}`")]
    Site(String),
    /// Its name is empty or too long.
    #[error("its name has {0} bytes; 1 to {MAX_NAME_BYTES} are allowed")]
    Name(usize),
    /// The peer's role is not expected here.
    #[error("it is no {0:?}")]
    Role(Role),
    /// The peer has refused this side.
    #[error("it refuses: {0}")]
    Refused(String),
}

fn validate(hello: Hello, site: &str, roles: &[Role]) -> Result<Hello, HelloError> {
    if hello.version().is_none() {
        return Err(HelloError::Version(hello.oldest, hello.newest));
    }
    if hello.name.is_empty() || hello.name.len() > MAX_NAME_BYTES {
        return Err(HelloError::Name(hello.name.len()));
    }
    if hello.site != site {
        return Err(HelloError::Site(hello.site.chars().take(MAX_NAME_BYTES).collect()));
    }
    if !roles.contains(&hello.role()) {
        return Err(HelloError::Role(roles.first().copied().unwrap_or(Role::Unknown)));
    }
    Ok(hello)
}

/// Performs the handshake as the side that connected.
pub async fn connect<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    own: &Identity,
    expected: Role,
) -> Result<Hello, HelloError> {
    frames::write(stream, Body::Hello(own.hello())).await?;
    match frames::read(stream).await? {
        Some(Body::Hello(hello)) => validate(hello, &own.site, &[expected]),
        Some(Body::Refusal(refusal)) => Err(HelloError::Refused(refusal.reason.chars().take(500).collect())),
        _ => Err(HelloError::NoHello),
    }
}

/// Performs the handshake as the side that accepted the connection. A peer that is rejected is sent the reason.
pub async fn accept_hello<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    own: &Identity,
    roles: &[Role],
) -> Result<Hello, HelloError> {
    let hello = receive_hello(stream, own, roles).await?;
    accept(stream, own).await?;
    Ok(hello)
}

/// The first half of [`accept_hello`]: receives and validates a handshake without answering it; [`accept`] or
/// [`send_refusal`] must follow. A peer that is rejected is sent the reason.
pub async fn receive_hello<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    own: &Identity,
    roles: &[Role],
) -> Result<Hello, HelloError> {
    let result = match frames::read(stream).await? {
        Some(Body::Hello(hello)) => validate(hello, &own.site, roles),
        _ => Err(HelloError::NoHello),
    };
    if let Err(error) = &result {
        let _ = send_refusal(stream, format!("to {}: {error}", own.name)).await;
    }
    result
}

/// Accepts a handshake that was received.
pub async fn accept(stream: &mut (impl AsyncWrite + Unpin), own: &Identity) -> Result<(), HelloError> {
    frames::write(stream, Body::Hello(own.hello())).await?;
    Ok(())
}

/// Refuses a handshake that was received, with the reason.
pub async fn send_refusal(stream: &mut (impl AsyncWrite + Unpin), reason: String) -> Result<(), HelloError> {
    frames::write(stream, Body::Refusal(Refusal { reason })).await?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn identity(role: Role, name: &str, site: &str) -> Identity {
        Identity { role, name: name.into(), site: site.into(), incarnation: 1, zone: 0, services: false }
    }

    fn handshake(mut hello: Hello) -> (Result<Hello, HelloError>, Option<Body>) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(async {
            let (mut a, mut b) = tokio::io::duplex(1 << 16);
            hello.zone = 3;
            frames::write(&mut a, Body::Hello(hello)).await.unwrap();
            let own = identity(Role::Planner, "p0", "perth");
            let accepted = accept_hello(&mut b, &own, &[Role::Forwarder]).await;
            (accepted, frames::read(&mut a).await.unwrap())
        })
    }

    #[test]
    fn compatible_peers_are_accepted_and_others_are_sent_the_reason() {
        let forwarder = identity(Role::Forwarder, "f0", "perth").hello();
        let (accepted, answer) = handshake(forwarder.clone());
        assert_eq!(accepted.unwrap().zone, 3);
        assert!(matches!(answer, Some(Body::Hello(h)) if h.name == "p0"));
        // A later version that still accepts this version's messages.
        assert!(handshake(Hello { newest: NEWEST_VERSION + 1, ..forwarder.clone() }).0.is_ok());
        let rejection = |hello| match handshake(hello) {
            (Err(error), Some(Body::Refusal(refusal))) => {
                assert!(refusal.reason.ends_with(&error.to_string()), "{refusal:?}");
                error.to_string()
            }
            other => panic!("{other:?}"),
        };
        let later = Hello { oldest: NEWEST_VERSION + 1, newest: NEWEST_VERSION + 2, ..forwarder.clone() };
        assert!(rejection(later).starts_with("it speaks versions 2 to 3"));
        assert_eq!(
            rejection(Hello { site: "albany".into(), ..forwarder.clone() }),
            "it belongs to site `albany`"
        );
        assert_eq!(
            rejection(Hello { role: Role::Planner as i32, ..forwarder.clone() }),
            "it is no Forwarder"
        );
        assert!(rejection(Hello { name: String::new(), ..forwarder }).starts_with("its name has 0 bytes"));
    }
}
