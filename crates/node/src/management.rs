//! The second address, where operators call: whether this process takes clients, and servers taken out and put back.

use crate::fleet::Member;
use crate::ledger::Ledger;
use crate::upgrade::succession::Succession;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use laurelroute_core::budget::MANAGEMENT_SOCKETS;
use laurelroute_core::events;
use laurelroute_core::gateway::{Gateway, Unmanaged};
use laurelroute_core::retry_io::Retried;
use laurelroute_handover::bans::{Word, MOST_NAME};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// Connections at once; with one more the oldest that has not made its call yet goes.
const MOST: usize = MANAGEMENT_SOCKETS - 4;
/// A call is there at once, or its caller has none to make.
const CALL: Duration = Duration::from_millis(1000);
/// From its call on, a connection is given this long to take its answer.
const WHOLE: Duration = Duration::from_millis(3000);
/// How long an answer waits until the word is on the disk, and the node's other process knows of it too.
const KEPT: Duration = Duration::from_millis(300);
/// How long a call on a server waits for the first list after the start.
const LIST: Duration = Duration::from_millis(600);
/// The system gives no descriptor or memory: waiting is all that helps.
const EXHAUSTED: Duration = Duration::from_millis(20);
/// A call's head.
const BUFFER: usize = 8192;

struct Caller {
    called: Rc<Cell<bool>>,
    task: AbortHandle,
}

/// Takes operators' calls.
pub(crate) struct Desk {
    gateway: Rc<Gateway>,
    succession: Rc<Succession>,
    ledger: Rc<Ledger>,
    member: Option<Rc<Member>>,
}

impl Desk {
    pub(crate) fn new(
        gateway: Rc<Gateway>,
        succession: Rc<Succession>,
        ledger: Rc<Ledger>,
        member: Option<Rc<Member>>,
    ) -> Rc<Self> {
        Rc::new(Desk { gateway, succession, ledger, member })
    }

    /// Takes calls for good.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let callers = Rc::new(RefCell::new(VecDeque::<Caller>::new()));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(EXHAUSTED).await;
                continue;
            };
            let mut open = callers.borrow_mut();
            open.retain(|c| !c.task.is_finished());
            if open.len() >= MOST {
                let silent = open.iter().position(|c| !c.called.get()).unwrap_or(0);
                if let Some(caller) = open.remove(silent) {
                    caller.task.abort();
                }
            }
            let called = Rc::new(Cell::new(false));
            let task = spawn_local(self.clone().serve(stream, called.clone())).abort_handle();
            open.push_back(Caller { called, task });
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, called: Rc<Cell<bool>>) {
        let service = service_fn(|request| {
            called.set(true);
            self.answer(request)
        });
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(BUFFER).timer(TokioTimer::new()).header_read_timeout(CALL);
        let connection = builder.serve_connection(TokioIo::new(Retried::new(stream)), service);
        // A caller that has gone, or sent what is no call, has had all that it can get.
        let _ = timeout(CALL + WHOLE, connection).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let path = request.uri().path();
        let servers = path.strip_prefix("/_servers/").and_then(|rest| rest.split_once('/'));
        let (status, text) = match (request.method(), servers) {
            (&Method::GET | &Method::HEAD, None) if path == "/_ready" => {
                let now = self.gateway.clock.now();
                let behind = self.member.as_ref().is_some_and(|m| !m.ready(now));
                match self.succession.serving(&self.gateway) {
                    true if behind => {
                        (StatusCode::SERVICE_UNAVAILABLE, "has yet to hear what its fleet knows".to_owned())
                    }
                    true => (StatusCode::OK, "takes clients".to_owned()),
                    false => (StatusCode::SERVICE_UNAVAILABLE, "takes no clients".to_owned()),
                }
            }
            (&Method::POST, Some(("detach", id))) => self.decide(id, true, Gateway::detach).await,
            (&Method::POST, Some(("attach", id))) => self.decide(id, false, Gateway::attach).await,
            (&Method::GET, None) if path == "/_counters" => (StatusCode::OK, events::counts()),
            (&Method::GET, None) if path == "/_events" => {
                (StatusCode::OK, events::last(self.gateway.clock.now()))
            }
            (&Method::GET, None) if path == "/_shift" => crate::shift::desk::status(&self.gateway),
            (&Method::POST, None) if path.starts_with("/_shift/") => {
                crate::shift::desk::say(&self.gateway, &path["/_shift/".len()..], decode)
            }
            (&Method::GET, None) if path == "/_fleet" => match &self.member {
                Some(member) => (StatusCode::OK, member.members(self.gateway.clock.now()).to_string()),
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

    /// What a member's copy has, and who has the same of one server.
    async fn fleet(&self, call: &str) -> (StatusCode, String) {
        let Some(member) = &self.member else {
            return (StatusCode::NOT_FOUND, "this node is no member of a fleet".to_owned());
        };
        match call.split_once('/') {
            None if call == "state" => (StatusCode::OK, member.state(None).to_string()),
            Some(("state", kind @ ("ban" | "drain"))) => {
                (StatusCode::OK, member.state(Some(kind)).to_string())
            }
            Some(("held", id)) => match decode(id) {
                Some(host) => (StatusCode::OK, serde_json::json!(member.held(&host).await).to_string()),
                None => (StatusCode::BAD_REQUEST, "that is no server's name".to_owned()),
            },
            _ => (StatusCode::NOT_FOUND, "no such call".to_owned()),
        }
    }

    /// Takes a server out or puts it back, and sees to it that the node's other process knows.
    async fn decide(
        &self,
        id: &str,
        out: bool,
        change: fn(&Rc<Gateway>, &str) -> Result<Option<Word>, Unmanaged>,
    ) -> (StatusCode, String) {
        let Some(host) = decode(id).filter(|host| (1..=MOST_NAME).contains(&host.len())) else {
            return (StatusCode::BAD_REQUEST, "that is no server's name".to_owned());
        };
        let mut done = change(&self.gateway, &host);
        if done == Err(Unmanaged::Unknown) && !self.gateway.ready.get() {
            // The list is on its way: only then is a name nobody's.
            let _ = timeout(LIST, self.gateway.listed()).await;
            done = change(&self.gateway, &host);
        }
        match done {
            Ok(word) => {
                if let Some(word) = &word {
                    tracing::info!("server {host}: {}", if word.out { "taken out" } else { "put back" });
                }
                let fleet = async {
                    match &self.member {
                        Some(member) => format!("; {}", member.say(&self.gateway, &host, out).await),
                        None => String::new(),
                    }
                };
                let (kept, fleet) = tokio::join!(self.kept(word), fleet);
                (StatusCode::OK, kept + &fleet)
            }
            Err(error @ Unmanaged::Unknown) => (StatusCode::NOT_FOUND, error.to_string()),
            Err(error @ Unmanaged::Bans(_)) => (StatusCode::INSUFFICIENT_STORAGE, error.to_string()),
        }
    }

    /// Sees to it that a word outlives this process, and that the node's other one knows of it.
    async fn kept(&self, word: Option<Word>) -> String {
        let told = async {
            if let Some(word) = word {
                self.succession.tell(word).await;
            }
        };
        // A word that was said before may not have been kept then.
        let (kept, _) = tokio::join!(timeout(KEPT, self.ledger.keep(&self.gateway)), timeout(KEPT, told));
        let error = match kept {
            Ok(Ok(())) => return "done".to_owned(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "the disk does not answer yet".to_owned(),
        };
        format!("done, but forgotten when this process is killed before the disk takes it: {error}")
    }
}

/// A name as a part of a path: all but the unreserved characters escaped (RFC 3986, section 2.3).
pub(crate) fn encode(name: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    name.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}

/// A part of a path without its percent signs (RFC 3986, section 2.1).
fn decode(part: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(part.len());
    let mut rest = part.as_bytes();
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
    use super::{decode, encode};

    #[test]
    fn names_come_out_of_paths() {
        assert_eq!(decode("s-5be2").as_deref(), Some("s-5be2"));
        assert_eq!(decode("a%2fb%20c").as_deref(), Some("a/b c"));
        for name in ["s-5be2", "a/b c", "100%", "\u{e9}~", "?#&"] {
            assert_eq!(decode(&encode(name)).as_deref(), Some(name));
        }
        for bad in ["%", "%2", "%zz", "%+1", "%0a", "%ff"] {
            assert_eq!(decode(bad), None, "{bad}");
        }
    }
}
