//! A client's request: what its head has to contain, why it is rejected, and what of it goes to servers.

use crate::body::{Message, ResponseBody};
use crate::client::Client;
use crate::headers::CompactHeaders;
use crate::intake::IntakeError;
use crate::local_response::{overloaded_response, text_response};
use crate::service::NameError;
use crate::socket::Socket;
use crate::upstream::{self, HttpExchange, UpstreamResponse, TIMEOUT_MS};
use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Response, StatusCode, Uri};
use laurelroute_core::call::ResponseSlot;
use laurelroute_core::events::Label;
use laurelroute_core::gateway::{route_key, Gateway};
use laurelroute_core::request_ids::ClaimError;
use laurelroute_core::route::RouteError;
use laurelroute_policy::interface::{self, Idempotency, Nanos};
use std::rc::{Rc, Weak};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The longest request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Why a request is rejected. It is answered at once and its connection is closed: clients that send such requests have
/// no claim to a slot. None of them has gone to a server, which would reject it or close the connection, and look
/// faulty for that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RequestError {
    #[error("no such class of requests")]
    UnknownClass,
    #[error("the class has another method")]
    WrongMethod,
    #[error("the length of the body is not clear")]
    AmbiguousLength,
    #[error("a request needs one X-Request-ID")]
    InvalidId,
    #[error("{0}")]
    Id(#[from] ClaimError),
    #[error("X-Timeout-Ms is not a number of milliseconds")]
    InvalidTimeout,
    #[error("the class needs one Idempotency-Key")]
    MissingIdempotencyKey,
    #[error("{0}")]
    Body(#[from] IntakeError),
    #[error("{0}")]
    Service(#[from] NameError),
    #[error("{0}")]
    Route(#[from] RouteError),
    #[error("no room")]
    Overloaded,
    #[error("nobody waits for the answer")]
    ClientGone,
    #[error("too much was sent behind the request")]
    TooMuchBehind,
}

impl RequestError {
    /// The response that the client gets.
    pub(crate) fn response(self, gateway: &Gateway) -> Response<ResponseBody> {
        let status = match self {
            RequestError::UnknownClass | RequestError::Route(RouteError::Unknown) => StatusCode::NOT_FOUND,
            RequestError::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::Id(ClaimError::InUse) => StatusCode::CONFLICT,
            RequestError::Body(IntakeError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::Body(IntakeError::TooSlow) => StatusCode::REQUEST_TIMEOUT,
            // These reject a valid request that has not been sent to any server.
            RequestError::Overloaded
            | RequestError::Id(ClaimError::Unrecorded)
            | RequestError::Body(IntakeError::BufferLimit)
            | RequestError::Route(_) => return overloaded_response(Nanos::MAX, gateway),
            _ => StatusCode::BAD_REQUEST,
        };
        text_response(status, Bytes::from(format!("{self}\n")))
    }
}

/// The contents of a valid head.
pub(crate) struct RequestHead {
    pub(crate) class: usize,
    /// The hash of the request's id.
    pub(crate) id: u64,
    pub(crate) label: Label,
    /// How long the client waits.
    pub(crate) client_timeout: Nanos,
}

/// The value of a header that the request has exactly once.
fn single_value(headers: &HeaderMap, name: HeaderName) -> Option<&[u8]> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none()).map(HeaderValue::as_bytes)
}

fn parse_u64(text: &[u8]) -> Option<u64> {
    let digits = text.trim_ascii();
    let valid = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits).ok().filter(|_| valid)?.parse().ok()
}

/// Parses a head. Everything that PROTOCOL requires of a request is checked here, before any memory is held for it.
pub(crate) fn parse_head(
    gateway: &Gateway,
    client: &Client,
    head: &Parts,
) -> Result<RequestHead, RequestError> {
    if client.socket.has_ambiguous_framing(client.request_count()) {
        return Err(RequestError::AmbiguousLength);
    }
    let name = head.uri.path().split('/').nth(1).unwrap_or_default();
    let class = gateway.config.classes.iter().position(|c| c == name).ok_or(RequestError::UnknownClass)?;
    let settings = &gateway.config.settings.classes[class];
    let method = if settings.idempotency == Idempotency::Safe { Method::GET } else { Method::POST };
    if head.method != method {
        return Err(RequestError::WrongMethod);
    }
    if settings.idempotency == Idempotency::Keyed
        && single_value(&head.headers, IDEMPOTENCY_KEY).is_none_or(<[u8]>::is_empty)
    {
        return Err(RequestError::MissingIdempotencyKey);
    }
    let id = single_value(&head.headers, REQUEST_ID).filter(|id| id.iter().all(u8::is_ascii_graphic));
    let id = id.filter(|id| (1..=MAX_REQUEST_ID_BYTES).contains(&id.len())).ok_or(RequestError::InvalidId)?;
    let client_timeout = single_value(&head.headers, TIMEOUT_MS)
        .and_then(parse_u64)
        .filter(|ms| *ms > 0)
        .ok_or(RequestError::InvalidTimeout)?;
    // No client waits longer than its class allows: a longer timeout would only hold memory.
    let client_timeout = client_timeout.saturating_mul(1_000_000).min(settings.client_timeout);
    Ok(RequestHead { class, id: laurelroute_core::stable_hash(id), label: Label::of(id), client_timeout })
}

/// The request in the policy's terms.
pub(crate) fn policy_request(
    gateway: &Gateway,
    head: &RequestHead,
    headers: &HeaderMap,
) -> interface::Request {
    let tenant = headers.get("x-tenant-id").map(HeaderValue::as_bytes);
    let cost = headers.get("x-cost").and_then(|v| v.to_str().ok()?.trim().parse::<f64>().ok());
    interface::Request {
        class: head.class as u8,
        tenant: gateway.config.tenant_index(tenant),
        key: headers.get("x-route-key").map_or(0, |k| route_key(k.as_bytes())),
        work_hint: cost.filter(|us| us.is_finite() && *us > 0.0).map(|us| (us * 1000.0) as Nanos),
        is_retry: headers.get("x-retried").is_some_and(|v| v == "1"),
        is_write: headers
            .get("x-attrs")
            .is_some_and(|v| v.to_str().unwrap_or_default().split(',').any(|a| a.trim() == "write=1")),
        ..interface::Request::new(0, 0)
    }
}

/// The head of a request as it is sent to servers. It refers to nothing of the client's connection.
pub(crate) struct OutboundHead {
    method: Method,
    uri: Uri,
    headers: CompactHeaders,
}

impl OutboundHead {
    /// The length of the body is among the headers, or is told by the body itself.
    pub(crate) fn new(gateway: &Gateway, parts: Parts) -> Result<OutboundHead, RequestError> {
        let mut headers = parts.headers;
        upstream::strip_hop_by_hop(&mut headers);
        headers.remove(header::EXPECT);
        let path = parts.uri.path_and_query().map_or("/", PathAndQuery::as_str);
        // Of an absolute target, only the path is passed on. The text is copied: it is a part of the read buffer.
        let uri = Uri::from_maybe_shared(Bytes::copy_from_slice(path.as_bytes())).unwrap_or_default();
        let headers = CompactHeaders::new(&headers, gateway.budget.body_lease());
        Ok(OutboundHead { method: parts.method, uri, headers: headers.ok_or(RequestError::Overloaded)? })
    }

    /// The request with its body, the place of its response and the client's connection.
    pub(crate) fn exchange(
        self,
        body: (Rc<Message>, Option<u64>),
        reply: ResponseSlot<UpstreamResponse>,
        client: Weak<Socket>,
    ) -> HttpExchange {
        HttpExchange::new((self.method, self.uri, self.headers), body, reply, client)
    }
}
