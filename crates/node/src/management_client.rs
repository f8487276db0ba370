//! Client of a running node's management endpoint, as used by the subcommands `ready`, `servers`, `shift` and
//! `fleet`.

use crate::config::{management_from_env, parse_management_address, Config, ConfigError};
use crate::management::percent_encode;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use laurelroute_core::connect::connect_with_retry;
use laurelroute_core::retry_io::RetryingStream;
use laurelroute_shift::rollout::Command;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Time limit of a request; a node answers within 1 s under any load.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response body: a copy of the fleet's shared state has up to 2,048 entries.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// A request to the management endpoint.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ManagementRequest {
    /// Asks whether the process accepts clients.
    Ready,
    /// Detaches a server.
    Detach(String),
    /// Attaches a server again.
    Attach(String),
    /// Lists the fleet's members.
    Fleet,
    /// Returns the state shared by the fleet, of one kind or all.
    FleetState(Option<String>),
    /// Asks which members hold the same state of a server as this node.
    FleetHeld(String),
    /// Returns the status of the traffic shift.
    ShiftStatus,
    /// Sends an operator's command to the traffic shift.
    ShiftCommand(Command),
}

impl ManagementRequest {
    fn method_and_path(&self) -> (Method, String) {
        match self {
            ManagementRequest::Ready => (Method::GET, "/_ready".to_owned()),
            ManagementRequest::Detach(id) => {
                (Method::POST, format!("/_servers/detach/{}", percent_encode(id)))
            }
            ManagementRequest::Fleet => (Method::GET, "/_fleet".to_owned()),
            ManagementRequest::FleetState(None) => (Method::GET, "/_fleet/state".to_owned()),
            ManagementRequest::FleetState(Some(kind)) => {
                (Method::GET, format!("/_fleet/state/{}", percent_encode(kind)))
            }
            ManagementRequest::FleetHeld(id) => (Method::GET, format!("/_fleet/held/{}", percent_encode(id))),
            ManagementRequest::ShiftStatus => (Method::GET, "/_shift".to_owned()),
            ManagementRequest::ShiftCommand(command) => {
                (Method::POST, crate::shift::api::command_path(command))
            }
            ManagementRequest::Attach(id) => {
                (Method::POST, format!("/_servers/attach/{}", percent_encode(id)))
            }
        }
    }
}

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ClientError {
    #[error("no management address: set one with --at, or in GW_MANAGEMENT or GW_CONFIG")]
    NoAddress,
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("{0}: {1}")]
    Connect(SocketAddr, std::io::Error),
    #[error("{0}: {1}")]
    Http(SocketAddr, hyper::Error),
    #[error("{0}: invalid response: {1}")]
    InvalidResponse(SocketAddr, String),
    #[error("{0}: no answer within {} s", TIMEOUT.as_secs())]
    Timeout(SocketAddr),
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ManagementError {
    #[error("{0}")]
    Client(#[from] ClientError),
    /// The node answered with an error status.
    #[error("{0}")]
    Refused(String),
}

/// Sends a request and returns the text of a successful answer.
pub(crate) fn request(
    request: &ManagementRequest,
    at: Option<SocketAddr>,
) -> Result<String, ManagementError> {
    let reply = send_request(request, at)?;
    match reply.success {
        true => Ok(reply.text),
        false => Err(ManagementError::Refused(reply.text)),
    }
}

/// A node's answer.
#[derive(Debug)]
pub(crate) struct Reply {
    /// Whether the status is a success.
    pub(crate) success: bool,
    /// The body without control characters.
    pub(crate) text: String,
}

/// The management address: the explicit one, else that of the environment, else that of the configuration.
fn address(explicit: Option<SocketAddr>) -> Result<SocketAddr, ClientError> {
    if let Some(address) = explicit {
        return Ok(address);
    }
    match management_from_env() {
        Some(text) => Ok(parse_management_address(&text)?),
        None if std::env::var_os("GW_CONFIG").is_some() => {
            Config::load()?.management.ok_or(ClientError::NoAddress)
        }
        None => Err(ClientError::NoAddress),
    }
}

/// Sends a request to an explicit address or to the configured one.
pub(crate) fn send_request(
    request: &ManagementRequest,
    at: Option<SocketAddr>,
) -> Result<Reply, ClientError> {
    let address = address(at)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        timeout(TIMEOUT, send(request, address)).await.map_err(|_| ClientError::Timeout(address))?
    })
}

async fn send(request: &ManagementRequest, address: SocketAddr) -> Result<Reply, ClientError> {
    let http_error = |e| ClientError::Http(address, e);
    let stream = connect_with_retry(address).await.map_err(|e| ClientError::Connect(address, e))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(RetryingStream::new(stream))).await.map_err(http_error)?;
    let (method, path) = request.method_and_path();
    let request = Request::builder().method(method).uri(path).header(HOST, address.to_string());
    let request = request
        .body(Empty::<Bytes>::new())
        .map_err(|e| ClientError::InvalidResponse(address, e.to_string()))?;
    let reply = async {
        let response = sender.send_request(request).await.map_err(http_error)?;
        let success = response.status().is_success();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|e| ClientError::InvalidResponse(address, e.to_string()))?.to_bytes();
        let text: String =
            String::from_utf8_lossy(&body).trim().chars().filter(|c| !c.is_control()).collect();
        Ok(Reply { success, text })
    };
    let mut reply = std::pin::pin!(reply);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        result = &mut reply => result,
        // The connection may end before the buffered end of the response has been read.
        ended = &mut connection => match ended {
            Ok(()) => reply.await,
            Err(e) => Err(http_error(e)),
        },
    }
}
