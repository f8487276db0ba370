//! `laurelroute explain`: sends one query to a planner and prints the answer.

use crate::levels::RoleError;
use crate::site::{Site, SiteError};
use laurelroute_channel::frames::{self, FrameError};
use laurelroute_channel::hello::{self, HelloError, Identity};
use laurelroute_core::connect::connect_with_retry;
use laurelroute_core::retry_io::RetryingStream;
use laurelroute_plan::wire::{Body, ExplainRequest, Role};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::timeout;

/// Time limit of the whole exchange, connecting included.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Why a planner could not be queried.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExplainError {
    #[error("{0}")]
    Site(#[from] SiteError),
    #[error("{0}")]
    Role(#[from] RoleError),
    #[error("planner {0}: {1}")]
    Connect(SocketAddr, std::io::Error),
    #[error("planner {0}: {1}")]
    Hello(SocketAddr, HelloError),
    #[error("planner {0}: {1}")]
    Frame(SocketAddr, FrameError),
    #[error("planner {0}: no answer within {} s", TIMEOUT.as_secs())]
    Timeout(SocketAddr),
    #[error("planner {0}: unexpected message instead of an answer")]
    UnexpectedMessage(SocketAddr),
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// Prints the planner's answer to a query; a query that names nothing covers the plan as a whole.
pub(crate) fn explain(
    site: Option<&Path>,
    planner: SocketAddr,
    query: ExplainRequest,
) -> Result<(), ExplainError> {
    let path = site.ok_or(RoleError::Missing("peers"))?;
    let peers = Site::load(path, None)?.levels.peers.ok_or(RoleError::Missing("peers"))?;
    let tls = peers.tls().map_err(RoleError::from)?;
    let identity = Identity {
        role: Role::Operator,
        name: peers.name,
        site: peers.site,
        incarnation: 0,
        zone: 0,
        services: false,
    };
    let exchange = async {
        let connect_error = |e| ExplainError::Connect(planner, e);
        let stream = connect_with_retry(planner).await.map_err(connect_error)?;
        let mut stream = tls.connect(RetryingStream::new(stream)).await.map_err(connect_error)?;
        hello::connect(&mut stream, &identity, Role::Planner)
            .await
            .map_err(|e| ExplainError::Hello(planner, e))?;
        let frame_error = |e| ExplainError::Frame(planner, e);
        frames::write(&mut stream, Body::ExplainRequest(query)).await.map_err(frame_error)?;
        match frames::read(&mut stream).await.map_err(frame_error)? {
            Some(Body::ExplainResponse(answer)) => Ok(answer.text),
            _ => Err(ExplainError::UnexpectedMessage(planner)),
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let text = runtime
        .block_on(async { timeout(TIMEOUT, exchange).await.map_err(|_| ExplainError::Timeout(planner))? })?;
    // The peer's text goes to a terminal: control characters other than line feeds are dropped.
    let printable: String = text.chars().filter(|c| *c == '\n' || !c.is_control()).collect();
    print!("{printable}");
    Ok(())
}
