//! The handshake after TLS: who both are, and which version of the messages they speak.

use crate::frames::{self, FrameError};
use laurelroute_plan::member::MAX_NAME_BYTES;
use laurelroute_plan::wire::{Body, Hello, Refusal, Role, NEWEST_VERSION, OLDEST_VERSION};
use tokio::io::{AsyncRead, AsyncWrite};

/// What this side is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its role.
    pub role: Role,
    /// Its name, unlike any other's of the installation.
    pub name: String,
    /// The installation.
    pub site: String,
    /// When this life began, Unix time in milliseconds.
    pub incarnation: u64,
    /// Its zone.
    pub zone: u8,
    /// It goes by services.
    pub services: bool,
}

impl Identity {
    /// The first word.
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

/// Why two peers do not work together.
#[derive(Debug, thiserror::Error)]
pub enum HelloError {
    /// The connection is of no use.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The peer began with something else.
    #[error("its first message is no greeting")]
    NoHello,
    /// No common version.
    #[error(
        "it speaks versions {0} to {1} of the messages, this program {OLDEST_VERSION} to {NEWEST_VERSION}"
    )]
    Version(u32, u32),
    /// Another installation.
    #[error("it belongs to site `{0}`")]
    Site(String),
    /// Its name is empty or too long.
    #[error("its name has {0} bytes; 1 to {MAX_NAME_BYTES} are allowed")]
    Name(usize),
    /// Not what is spoken to here.
    #[error("it is no {0:?}")]
    Role(Role),
    /// It has refused this side.
    #[error("it refuses: {0}")]
    Refused(String),
}

fn checked(hello: Hello, site: &str, roles: &[Role]) -> Result<Hello, HelloError> {
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

/// Greets as the side that connected.
pub async fn connect<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    own: &Identity,
    wanted: Role,
) -> Result<Hello, HelloError> {
    frames::write(stream, Body::Hello(own.hello())).await?;
    match frames::read(stream).await? {
        Some(Body::Hello(hello)) => checked(hello, &own.site, &[wanted]),
        Some(Body::Refusal(refusal)) => Err(HelloError::Refused(refusal.reason.chars().take(500).collect())),
        _ => Err(HelloError::NoHello),
    }
}

/// Greets as the side that was connected to. A peer that does not fit hears why.
pub async fn accept_hello<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    own: &Identity,
    roles: &[Role],
) -> Result<Hello, HelloError> {
    let hello = receive_hello(stream, own, roles).await?;
    accept(stream, own).await?;
    Ok(hello)
}

/// The first half of [`welcome`]: hears a greeting and leaves it without an answer, which [`answered`] or [`refused`] has
/// to give. A peer that does not fit hears why.
pub async fn receive_hello<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    own: &Identity,
    roles: &[Role],
) -> Result<Hello, HelloError> {
    let fits = match frames::read(stream).await? {
        Some(Body::Hello(hello)) => checked(hello, &own.site, roles),
        _ => Err(HelloError::NoHello),
    };
    if let Err(error) = &fits {
        let _ = send_refusal(stream, format!("to {}: {error}", own.name)).await;
    }
    fits
}

/// Answers a greeting that was heard.
pub async fn accept(stream: &mut (impl AsyncWrite + Unpin), own: &Identity) -> Result<(), HelloError> {
    frames::write(stream, Body::Hello(own.hello())).await?;
    Ok(())
}

/// Says why a greeting that was heard is not answered.
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

    fn meet(mut hello: Hello) -> (Result<Hello, HelloError>, Option<Body>) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(async {
            let (mut a, mut b) = tokio::io::duplex(1 << 16);
            hello.zone = 3;
            frames::write(&mut a, Body::Hello(hello)).await.unwrap();
            let own = identity(Role::Planner, "p0", "perth");
            let met = accept_hello(&mut b, &own, &[Role::Forwarder]).await;
            (met, frames::read(&mut a).await.unwrap())
        })
    }

    #[test]
    fn neighbours_meet_and_others_hear_why_not() {
        let forwarder = identity(Role::Forwarder, "f0", "perth").hello();
        let (met, answer) = meet(forwarder.clone());
        assert_eq!(met.unwrap().zone, 3);
        assert!(matches!(answer, Some(Body::Hello(h)) if h.name == "p0"));
        // A later program that still understands this one's messages.
        assert!(meet(Hello { newest: NEWEST_VERSION + 1, ..forwarder.clone() }).0.is_ok());
        let why = |hello| match meet(hello) {
            (Err(error), Some(Body::Refusal(told))) => {
                assert!(told.reason.ends_with(&error.to_string()), "{told:?}");
                error.to_string()
            }
            other => panic!("{other:?}"),
        };
        let later = Hello { oldest: NEWEST_VERSION + 1, newest: NEWEST_VERSION + 2, ..forwarder.clone() };
        assert!(why(later).starts_with("it speaks versions 2 to 3"));
        assert_eq!(why(Hello { site: "albany".into(), ..forwarder.clone() }), "it belongs to site `albany`");
        assert_eq!(why(Hello { role: Role::Planner as i32, ..forwarder.clone() }), "it is no Forwarder");
        assert!(why(Hello { name: String::new(), ..forwarder }).starts_with("its name has 0 bytes"));
    }
}
