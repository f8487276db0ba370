//! The management endpoint, an HTTP server for operators: readiness, counters and events, detaching and attaching
//! servers, traffic shifts and the state of the fleet.

use crate::fleet::FleetMember;
use crate::ledger::BanLedger;
use crate::upgrade::takeover::Takeover;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use laurelroute_core::budget::MANAGEMENT_SOCKETS;
use laurelroute_core::connection::{Connection, ConnectionIo};
use laurelroute_core::events;
use laurelroute_core::gateway::{Gateway, ServerControlError};
use laurelroute_handover::bans::{BanRecord, MAX_NAME_BYTES};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// Maximum number of concurrent connections; one more closes the oldest that has not sent its request yet.
const MAX_CONNECTIONS: usize = MANAGEMENT_SOCKETS - 4;
/// Time limit for receiving the request head.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time limit of a connection after its request head: for the answer and for the client to read it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long an answer waits until a ban is on disk and has been sent to the node's other process.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a detach or attach waits for the first server list after the start.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a failed accept, which is caused by a lack of descriptors or memory.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 8192;

/// A connection of an operator.
struct OperatorConnection {
    /// Owned by the task.
    connection: Weak<Connection>,
    /// Whether a request head has been received.
    request_received: Rc<Cell<bool>>,
    task: AbortHandle,
}

/// Serves the requests of operators.
pub(crate) struct ManagementServer {
    gateway: Rc<Gateway>,
    takeover: Rc<Takeover>,
    ledger: Rc<BanLedger>,
    member: Option<Rc<FleetMember>>,
}

impl ManagementServer {
    pub(crate) fn new(
        gateway: Rc<Gateway>,
        takeover: Rc<Takeover>,
        ledger: Rc<BanLedger>,
        member: Option<Rc<FleetMember>>,
    ) -> Rc<Self> {
        Rc::new(ManagementServer { gateway, takeover, ledger, member })
    }

    /// Accepts connections forever.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let connections = Rc::new(RefCell::new(VecDeque::<OperatorConnection>::new()));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let mut open = connections.borrow_mut();
            open.retain(|c| !c.task.is_finished());
            if open.len() >= MAX_CONNECTIONS {
                let evicted = open.iter().position(|c| !c.request_received.get()).unwrap_or(0);
                if let Some(operator) = open.remove(evicted) {
                    // The task lives on until the runtime gets to it, and must not hold the descriptor until then.
                    operator.connection.upgrade().iter().for_each(|connection| connection.close());
                    operator.task.abort();
                }
            }
            let request_received = Rc::new(Cell::new(false));
            let io = ConnectionIo(Connection::new(stream, ()));
            let connection = Rc::downgrade(&io.0);
            let task = spawn_local(self.clone().serve(io, request_received.clone())).abort_handle();
            open.push_back(OperatorConnection { connection, request_received, task });
        }
    }

    async fn serve(self: Rc<Self>, io: ConnectionIo, request_received: Rc<Cell<bool>>) {
        let service = service_fn(|request| {
            request_received.set(true);
            self.answer(request)
        });
        let mut builder = http1::Builder::new();
        builder
            .keep_alive(false)
            .max_buf_size(MAX_HEAD_BYTES)
            .timer(TokioTimer::new())
            .header_read_timeout(REQUEST_TIMEOUT);
        let connection = builder.serve_connection(TokioIo::new(io), service);
        // Errors are ignored: the client has disconnected or sent an invalid request, which hyper has answered.
        let _ = timeout(REQUEST_TIMEOUT + RESPONSE_TIMEOUT, connection).await;
    }

    /// Routes a request and builds its response.
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let path = request.uri().path();
        let servers = path.strip_prefix("/_servers/").and_then(|rest| rest.split_once('/'));
        let (status, text) = match (request.method(), servers) {
            (&Method::GET | &Method::HEAD, None) if path == "/_ready" => {
                let now = self.gateway.clock.now();
                let catching_up = self.member.as_ref().is_some_and(|m| !m.is_ready(now));
                match self.takeover.is_serving(&self.gateway) {
                    true if catching_up => {
                        (StatusCode::SERVICE_UNAVAILABLE, "has yet to hear what its fleet knows".to_owned())
                    }
                    true => (StatusCode::OK, "takes clients".to_owned()),
                    false => (StatusCode::SERVICE_UNAVAILABLE, "takes no clients".to_owned()),
                }
            }
            (&Method::POST, Some(("detach", id))) => self.change_server(id, true, Gateway::detach).await,
            (&Method::POST, Some(("attach", id))) => self.change_server(id, false, Gateway::attach).await,
            (&Method::GET, None) if path == "/_counters" => (StatusCode::OK, events::counts()),
            (&Method::GET, None) if path == "/_events" => {
                (StatusCode::OK, events::recent(self.gateway.clock.now()))
            }
            (&Method::GET, None) if path == "/_shift" => crate::shift::api::status(&self.gateway),
            (&Method::POST, None) if path.starts_with("/_shift/") => {
                crate::shift::api::apply_command(&self.gateway, &path["/_shift/".len()..], percent_decode)
            }
            (&Method::GET, None) if path == "/_fleet" => match &self.member {
                Some(member) => (StatusCode::OK, member.members_json(self.gateway.clock.now()).to_string()),
                None => (StatusCode::NOT_FOUND, "this node is no member of a fleet".to_owned()),
            },
            (&Method::GET, None) if path.starts_with("/_fleet/") => {
                self.fleet(&path["/_fleet/".len()..]).await
            }
            (_, Some(("detach" | "attach", _))) => (StatusCode::METHOD_NOT_ALLOWED, "POST".to_owned()),
            (_, None) if path == "/_ready" => (StatusCode::METHOD_NOT_ALLOWED, "GET".to_owned()),
            _ => (StatusCode::NOT_FOUND, "no such call".to_owned()),
        };
        let mut response = Response::new(Full::new(Bytes::from(text.clone() + "\n")));
        *response.status_mut() = status;
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        if let (StatusCode::METHOD_NOT_ALLOWED, Ok(allow)) = (status, HeaderValue::try_from(text)) {
            response.headers_mut().insert(ALLOW, allow);
        }
        Ok(response)
    }

    /// The `/_fleet/` requests: this member's copy of the shared state, and which members hold the same state of a
    /// server.
    async fn fleet(&self, path: &str) -> (StatusCode, String) {
        let Some(member) = &self.member else {
            return (StatusCode::NOT_FOUND, "this node is no member of a fleet".to_owned());
        };
        match path.split_once('/') {
            None if path == "state" => (StatusCode::OK, member.state_json(None).to_string()),
            Some(("state", kind @ ("ban" | "drain"))) => {
                (StatusCode::OK, member.state_json(Some(kind)).to_string())
            }
            Some(("held", id)) => match percent_decode(id) {
                Some(host) => {
                    (StatusCode::OK, serde_json::json!(member.members_holding_ban(&host).await).to_string())
                }
                None => (StatusCode::BAD_REQUEST, "that is no server's name".to_owned()),
            },
            _ => (StatusCode::NOT_FOUND, "no such call".to_owned()),
        }
    }

    /// Detaches or attaches a server, persists the ban and sends it to the node's other process and to the fleet.
    async fn change_server(
        &self,
        id: &str,
        ban: bool,
        change: fn(&Rc<Gateway>, &str) -> Result<Option<BanRecord>, ServerControlError>,
    ) -> (StatusCode, String) {
        let Some(host) = percent_decode(id).filter(|host| (1..=MAX_NAME_BYTES).contains(&host.len())) else {
            return (StatusCode::BAD_REQUEST, "that is no server's name".to_owned());
        };
        let mut result = change(&self.gateway, &host);
        if result == Err(ServerControlError::Unknown) && !self.gateway.ready.get() {
            // Before the first list, an unknown name may still be that of a server.
            let _ = timeout(FIRST_LIST_TIMEOUT, self.gateway.wait_ready()).await;
            result = change(&self.gateway, &host);
        }
        match result {
            Ok(record) => {
                if let Some(record) = &record {
                    tracing::info!("server {host}: {}", if record.banned { "detached" } else { "attached" });
                }
                let fleet = async {
                    match &self.member {
                        Some(member) => format!("; {}", member.set_ban(&self.gateway, &host, ban).await),
                        None => String::new(),
                    }
                };
                let (text, fleet) = tokio::join!(self.persist(record), fleet);
                (StatusCode::OK, text + &fleet)
            }
            Err(error @ ServerControlError::Unknown) => (StatusCode::NOT_FOUND, error.to_string()),
            Err(error @ ServerControlError::Bans(_)) => (StatusCode::INSUFFICIENT_STORAGE, error.to_string()),
        }
    }

    /// Persists a change of a ban and sends it to the node's other process; returns the text of the answer.
    async fn persist(&self, record: Option<BanRecord>) -> String {
        let sent = async {
            if let Some(record) = record {
                self.takeover.send_ban_update(record).await;
            }
        };
        // Writes the file even if nothing has changed: an earlier write may have failed.
        let (persisted, _) = tokio::join!(
            timeout(PERSIST_TIMEOUT, self.ledger.persist(&self.gateway)),
            timeout(PERSIST_TIMEOUT, sent)
        );
        let error = match persisted {
            Ok(Ok(())) => return "done".to_owned(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "the disk does not answer yet".to_owned(),
        };
        format!("done, but forgotten when this process is killed before the disk takes it: {error}")
    }
}

/// Percent-encodes a name as a path segment: all but the unreserved characters are escaped (RFC 3986, section 2.3).
pub(crate) fn percent_encode(name: &str) -> String {
    let unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    name.bytes()
        .map(|b| if unreserved(b) { char::from(b).to_string() } else { format!("%{b:02X}") })
        .collect()
}

/// Decodes a percent-encoded path segment (RFC 3986, section 2.1). Invalid escapes, invalid UTF-8 and control
/// characters are rejected.
fn percent_decode(segment: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let escaped =
            || std::str::from_utf8(tail.get(..2)?).ok().and_then(|hex| u8::from_str_radix(hex, 16).ok());
        (first != b'%').then_some(first).or_else(escaped).map(|byte| bytes.push(byte))?;
        rest = if first == b'%' { &tail[2..] } else { tail };
    }
    String::from_utf8(bytes).ok().filter(|name| !name.contains(char::is_control))
}

#[cfg(test)]
mod tests {
    use super::{percent_decode, percent_encode};

    #[test]
    fn names_survive_percent_coding() {
        assert_eq!(percent_decode("s-5be2").as_deref(), Some("s-5be2"));
        assert_eq!(percent_decode("a%2fb%20c").as_deref(), Some("a/b c"));
        for name in ["s-5be2", "a/b c", "100%", "\u{e9}~", "?#&"] {
            assert_eq!(percent_decode(&percent_encode(name)).as_deref(), Some(name));
        }
        for bad in ["%", "%2", "%zz", "%+1", "%0a", "%ff"] {
            assert_eq!(percent_decode(bad), None, "{bad}");
        }
    }
}
