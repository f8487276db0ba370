//! Request bodies as they are received: buffered up to a limit, and streamed from there on.

use crate::body::{remainder_channel, stream_chunk, BodyChunk, Message, MAX_BODY_BYTES};
use crate::pace::{PaceLimits, PaceTracker};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use laurelroute_core::budget::Budget;
use laurelroute_core::payload::BufferedBody;
use laurelroute_core::running::timeout;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Clients may send as slowly as 64 kB/s and in small chunks, so the lowest accepted rate is half of that. A body that
/// does not arrive at all is given up soon, like a head.
const BODY_PACE: PaceLimits = PaceLimits {
    max_pause: Duration::from_millis(1_500),
    grace: Duration::from_millis(2_000),
    min_rate: 32_000,
};
/// A body up to this size is buffered in full before anything is sent, so that its server is chosen as late as possible
/// and another one can retry it. Longer ones are streamed.
const MAX_BUFFERED_REQUEST_BYTES: u64 = 512 * 1024;
/// How long a server may accept nothing of a streamed body.
const UPSTREAM_STALL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Why a body is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IntakeError {
    /// The body exceeds [`MAX_BODY_BYTES`].
    #[error("the body is over 33 MiB")]
    TooLarge,
    /// The client's connection or the body's framing broke off.
    #[error("the body broke off")]
    Incomplete,
    /// The client sends too slowly.
    #[error("the body did not come in time")]
    TooSlow,
    /// The node's buffers are full.
    #[error("no room for the body")]
    BufferLimit,
}

/// The part of a body that the client still has to send.
struct BodySource {
    body: Incoming,
    pace: PaceTracker,
}

impl BodySource {
    /// The next chunk; `None` at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, IntakeError> {
        loop {
            let (started, timeout_after) = (Instant::now(), self.pace.next_timeout());
            let frame = timeout(timeout_after, self.body.frame()).await;
            let Some(frame) = frame.map_err(|_| IntakeError::TooSlow)? else { return Ok(None) };
            if let Ok(data) = frame.map_err(|_| IntakeError::Incomplete)?.into_data() {
                // A longer wait means that this process was held up, and when the data arrived is unknown.
                let waited =
                    Some(started.elapsed()).filter(|waited| *waited <= timeout_after).unwrap_or_default();
                self.pace.received(data.len(), waited);
                return Ok(Some(data));
            }
        }
    }
}

/// A request body being received.
pub struct BodyIntake {
    source: BodySource,
    length: Option<u64>,
    /// The body is too long to be buffered, or there is no room for it: it is streamed from its first byte.
    streamed: bool,
    /// The part received so far.
    pub buffered: BufferedBody,
}

impl BodyIntake {
    /// Starts without reading anything. A body whose declared length exceeds the limit is rejected at once.
    pub fn new(budget: &Rc<Budget>, body: Incoming) -> Result<Self, IntakeError> {
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err(IntakeError::TooLarge);
        }
        let length = body.size_hint().exact();
        let mut buffered = BufferedBody::new(budget.body_lease());
        // Room for all of the body is reserved at once: many bodies that each found room for a part would fail halfway.
        let streamed =
            length.is_some_and(|length| length > MAX_BUFFERED_REQUEST_BYTES || !buffered.reserve(length));
        let source = BodySource { body, pace: BODY_PACE.start() };
        Ok(BodyIntake { source, length, streamed, buffered })
    }

    /// Buffers the body; returns false where it is too long for that and its remainder is to be streamed.
    pub async fn buffer(&mut self) -> Result<bool, IntakeError> {
        if self.streamed {
            return Ok(false);
        }
        while let Some(data) = self.source.next().await? {
            if !self.buffered.push(&data) {
                return Err(IntakeError::BufferLimit);
            }
            if self.buffered.len() > MAX_BUFFERED_REQUEST_BYTES {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// The message, and the upload of its remainder where the body is not complete.
    pub fn into_message(mut self, complete: bool) -> Result<(Rc<Message>, Option<BodyUpload>), IntakeError> {
        if complete {
            return Ok((Message::buffered(self.buffered), None));
        }
        if !self.buffered.reserve_stream() {
            return Err(IntakeError::BufferLimit);
        }
        let (sender, remainder) = remainder_channel();
        let upload = BodyUpload { source: self.source, received: self.buffered.len(), sender: Some(sender) };
        Ok((Message::streamed(self.buffered, remainder, self.length), Some(upload)))
    }
}

/// The remainder of a streamed body on its way to the attempt that takes it.
pub struct BodyUpload {
    source: BodySource,
    received: u64,
    /// `None` once the receiver has gone or has stalled.
    sender: Option<mpsc::Sender<BodyChunk>>,
}

impl BodyUpload {
    /// Forwards the remainder until the client's last byte has arrived. Data that no attempt accepts any more is still
    /// read: closing the connection with unread data would reset it and lose an early response.
    pub async fn run(mut self) -> Result<(), IntakeError> {
        while let Some(data) = self.source.next().await? {
            self.received += data.len() as u64;
            if self.received > MAX_BODY_BYTES {
                return Err(IntakeError::TooLarge);
            }
            self.forward(stream_chunk(data)).await;
        }
        self.forward(BodyChunk::End).await;
        Ok(())
    }

    async fn forward(&mut self, chunk: BodyChunk) {
        if let Some(sender) = &self.sender {
            if !matches!(timeout(UPSTREAM_STALL_TIMEOUT, sender.send(chunk)).await, Ok(Ok(()))) {
                self.sender = None;
            }
        }
    }
}
