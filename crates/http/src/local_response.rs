//! Responses that the node makes itself.

use crate::body::ResponseBody;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use laurelroute_core::gateway::Gateway;
use laurelroute_policy::interface::Nanos;

/// A refusal: trying again is harmless.
pub(crate) fn overloaded_response(retry_after: Nanos, gateway: &Gateway) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"busy\n"));
    let retry_after_seconds = gateway
        .config
        .retry_after_seconds(retry_after)
        .and_then(|s| HeaderValue::try_from(format!("{s:.3}")).ok());
    if let Some(value) = retry_after_seconds {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// A response with a text of the node itself.
pub(crate) fn text_response(status: StatusCode, text: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Local(Some(text).filter(|t| !t.is_empty())));
    *response.status_mut() = status;
    response
}

/// A response after which the connection is closed.
pub(crate) fn with_connection_close<B>(mut response: Response<B>) -> Response<B> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
