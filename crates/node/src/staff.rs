//! `laurelroute ready` and `laurelroute servers`: one call on a running node's second address.

use crate::config::{management_address, management_named, Config, ConfigError};
use crate::management::encode;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use laurelroute_core::connect::establish;
use laurelroute_core::retry_io::Retried;
use laurelroute_shift::course::Word;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// A node answers within 1 s, whatever its load.
const PATIENCE: Duration = Duration::from_secs(3);
/// What an answer says at most: a copy of what the fleet knows has up to 2,048 entries.
const TEXT: usize = 1024 * 1024;

/// A call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Call {
    /// Whether the process takes clients.
    Ready,
    /// Takes a server out.
    Detach(String),
    /// Uses it again.
    Attach(String),
    /// Who is in the fleet.
    Fleet,
    /// What the members know alike, of one kind or all.
    FleetState(Option<String>),
    /// Which members have what this node has of a server.
    FleetHeld(String),
    /// What is to be said of the shift.
    ShiftStatus,
    /// An operator's word on the shift.
    ShiftWord(Word),
}

impl Call {
    fn line(&self) -> (Method, String) {
        match self {
            Call::Ready => (Method::GET, "/_ready".to_owned()),
            Call::Detach(id) => (Method::POST, format!("/_servers/detach/{}", encode(id))),
            Call::Fleet => (Method::GET, "/_fleet".to_owned()),
            Call::FleetState(None) => (Method::GET, "/_fleet/state".to_owned()),
            Call::FleetState(Some(kind)) => (Method::GET, format!("/_fleet/state/{}", encode(kind))),
            Call::FleetHeld(id) => (Method::GET, format!("/_fleet/held/{}", encode(id))),
            Call::ShiftStatus => (Method::GET, "/_shift".to_owned()),
            Call::ShiftWord(word) => (Method::POST, crate::shift::desk::path(word)),
            Call::Attach(id) => (Method::POST, format!("/_servers/attach/{}", encode(id))),
        }
    }
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StaffError {
    #[error("no second address: name one with --at, or in GW_MANAGEMENT or GW_CONFIG")]
    Nowhere,
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("{0}: {1}")]
    Connect(SocketAddr, std::io::Error),
    #[error("{0}: {1}")]
    Http(SocketAddr, hyper::Error),
    #[error("{0}: its answer is none: {1}")]
    Odd(SocketAddr, String),
    #[error("{0}: no answer within {} s", PATIENCE.as_secs())]
    Silent(SocketAddr),
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// Why a call came to nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("{0}")]
    Staff(#[from] StaffError),
    /// The node's own no.
    #[error("{0}")]
    No(String),
}

/// What a node that says yes says with it.
pub(crate) fn answered(call: &Call, at: Option<SocketAddr>) -> Result<String, CallError> {
    let said = make(call, at)?;
    match said.yes {
        true => Ok(said.text),
        false => Err(CallError::No(said.text)),
    }
}

/// What the node said.
#[derive(Debug)]
pub(crate) struct Said {
    /// Yes, by its status.
    pub(crate) yes: bool,
    /// For people, without control characters.
    pub(crate) text: String,
}

/// The second address: the one that is named, that of the environment, or that of the configuration.
fn address(named: Option<SocketAddr>) -> Result<SocketAddr, StaffError> {
    if let Some(address) = named {
        return Ok(address);
    }
    match management_named() {
        Some(text) => Ok(management_address(&text)?),
        None if std::env::var_os("GW_CONFIG").is_some() => {
            Config::load()?.management.ok_or(StaffError::Nowhere)
        }
        None => Err(StaffError::Nowhere),
    }
}

/// Makes a call, at an address or where the environment says.
pub(crate) fn make(call: &Call, at: Option<SocketAddr>) -> Result<Said, StaffError> {
    let address = address(at)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        timeout(PATIENCE, send(call, address)).await.map_err(|_| StaffError::Silent(address))?
    })
}

async fn send(call: &Call, address: SocketAddr) -> Result<Said, StaffError> {
    let broken = |e| StaffError::Http(address, e);
    let stream = establish(address).await.map_err(|e| StaffError::Connect(address, e))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(Retried::new(stream))).await.map_err(broken)?;
    let (method, path) = call.line();
    let request = Request::builder().method(method).uri(path).header(HOST, address.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|e| StaffError::Odd(address, e.to_string()))?;
    let answer = async {
        let response = sender.send_request(request).await.map_err(broken)?;
        let yes = response.status().is_success();
        let body = Limited::new(response.into_body(), TEXT).collect().await;
        let body = body.map_err(|e| StaffError::Odd(address, e.to_string()))?.to_bytes();
        let text: String =
            String::from_utf8_lossy(&body).trim().chars().filter(|c| !c.is_control()).collect();
        Ok(Said { yes, text })
    };
    let mut answer = std::pin::pin!(answer);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        said = &mut answer => said,
        // The last bytes may be with the answer's part already.
        ended = &mut connection => match ended {
            Ok(()) => answer.await,
            Err(e) => Err(broken(e)),
        },
    }
}
