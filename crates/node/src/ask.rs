//! `laurelroute explain`: one question to a planner.

use crate::levels::LevelError;
use crate::site::{Site, SiteError};
use laurelroute_channel::frames::{self, FrameError};
use laurelroute_channel::hello::{self, HelloError, Identity};
use laurelroute_core::connect::establish;
use laurelroute_core::retry_io::Retried;
use laurelroute_plan::wire::{Ask, Body, Role};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(5);

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AskError {
    #[error("{0}")]
    Site(#[from] SiteError),
    #[error("{0}")]
    Level(#[from] LevelError),
    #[error("planner {0}: {1}")]
    Connect(SocketAddr, std::io::Error),
    #[error("planner {0}: {1}")]
    Hello(SocketAddr, HelloError),
    #[error("planner {0}: {1}")]
    Frame(SocketAddr, FrameError),
    #[error("planner {0}: no answer within {} s", PATIENCE.as_secs())]
    Silent(SocketAddr),
    #[error("planner {0}: its answer is none")]
    Odd(SocketAddr),
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// Prints what the planner says of what is asked, or of its plan as a whole where nothing is named.
pub(crate) fn explain(site: Option<&Path>, planner: SocketAddr, ask: Ask) -> Result<(), AskError> {
    let path = site.ok_or(LevelError::Missing("peers"))?;
    let peers = Site::load(path, None)?.levels.peers.ok_or(LevelError::Missing("peers"))?;
    let tls = peers.tls().map_err(LevelError::from)?;
    let identity =
        Identity { role: Role::Asker, name: peers.name, site: peers.site, life: 0, zone: 0, services: false };
    let asking = async {
        let connect = |e| AskError::Connect(planner, e);
        let stream = establish(planner).await.map_err(connect)?;
        let mut stream = tls.connect(Retried::new(stream)).await.map_err(connect)?;
        hello::greet(&mut stream, &identity, Role::Planner).await.map_err(|e| AskError::Hello(planner, e))?;
        let broken = |e| AskError::Frame(planner, e);
        frames::write(&mut stream, Body::Ask(ask)).await.map_err(broken)?;
        match frames::read(&mut stream).await.map_err(broken)? {
            Some(Body::Told(told)) => Ok(told.text),
            _ => Err(AskError::Odd(planner)),
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let text = runtime
        .block_on(async { timeout(PATIENCE, asking).await.map_err(|_| AskError::Silent(planner))? })?;
    // What a peer says goes to a terminal: no control characters but line ends.
    let clean: String = text.chars().filter(|c| *c == '\n' || !c.is_control()).collect();
    print!("{clean}");
    Ok(())
}
