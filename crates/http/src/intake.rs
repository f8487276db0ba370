//! Request bodies as they are received: buffered up to a limit, and streamed from there on.

use crate::body::{remainder_channel, stream_chunk, BodyChunk, Message, MAX_BODY_BYTES};
use crate::pace::{PaceLimits, PaceTracker};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use laurelroute_core::budget::Budget;
use laurelroute_core::connection::write_stall_timeout;
use laurelroute_core::payload::BufferedBody;
use laurelroute_core::running::timeout;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::pin;
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
/// The most that the kernels of both sides hold of a body that is not read here. Of a body with a longer remainder, the
/// client cannot have sent the last byte.
const MAX_IN_TRANSIT_BYTES: u64 = 5 * 1024 * 1024;

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
    /// The total length, where it is known.
    length: Option<u64>,
    received: u64,
    /// The client had not sent the last byte before this time. While a server is slow to take the body, the rest of it
    /// may long have arrived in the kernel.
    incomplete_until: Instant,
}

impl BodySource {
    /// Whether so much of the body is missing that its last byte cannot be in the kernel yet.
    fn last_byte_is_elsewhere(&self) -> bool {
        self.length.is_some_and(|length| length.saturating_sub(self.received) > MAX_IN_TRANSIT_BYTES)
    }

    /// The next chunk; `None` at the end. `on_wait` is called when the client has sent no more yet.
    async fn next(&mut self, on_wait: impl Fn()) -> Result<Option<Bytes>, IntakeError> {
        loop {
            let (started, timeout_after) = (Instant::now(), self.pace.next_timeout());
            let has_waited = Cell::new(false);
            let note_wait = || {
                has_waited.set(true);
                on_wait();
            };
            let frame = timeout(timeout_after, noting_wait(self.body.frame(), note_wait)).await;
            if has_waited.get() || self.last_byte_is_elsewhere() {
                self.incomplete_until = Instant::now();
            }
            let Some(frame) = frame.map_err(|_| IntakeError::TooSlow)? else { return Ok(None) };
            if let Ok(data) = frame.map_err(|_| IntakeError::Incomplete)?.into_data() {
                // A longer wait means that this process was held up, and when the data arrived is unknown.
                let waited =
                    Some(started.elapsed()).filter(|waited| *waited <= timeout_after).unwrap_or_default();
                self.pace.received(data.len(), waited);
                self.received += data.len() as u64;
                return Ok(Some(data));
            }
        }
    }
}

/// Polls a future, and calls `on_wait` whenever it is not ready.
async fn noting_wait<F: Future>(future: F, on_wait: impl Fn()) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|context| {
        let polled = future.as_mut().poll(context);
        if polled.is_pending() {
            on_wait();
        }
        polled
    })
    .await
}

/// What is known of the time at which a client sends the last byte of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastByte {
    /// It has not been sent yet.
    Outstanding,
    /// It may have been sent at this time at the earliest. More than that is not known while a server is slow to take the
    /// body, as nothing is read from the client meanwhile.
    PossibleSince(Instant),
}

/// A request body being received.
pub struct BodyIntake {
    source: BodySource,
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
        let pace = BODY_PACE.start();
        let source = BodySource { body, pace, length, received: 0, incomplete_until: Instant::now() };
        Ok(BodyIntake { source, streamed, buffered })
    }

    /// Buffers the body; returns false where it is too long for that and its remainder is to be streamed.
    pub async fn buffer(&mut self) -> Result<bool, IntakeError> {
        if self.streamed {
            return Ok(false);
        }
        while let Some(data) = self.source.next(|| ()).await? {
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
        let length = self.source.length;
        let upload = BodyUpload { source: self.source, sender: Some(sender) };
        Ok((Message::streamed(self.buffered, remainder, length), Some(upload)))
    }
}

/// The remainder of a streamed body on its way to the attempt that takes it.
pub struct BodyUpload {
    source: BodySource,
    /// `None` once the receiver has gone or has stalled.
    sender: Option<mpsc::Sender<BodyChunk>>,
}

impl BodyUpload {
    /// Forwards the remainder until the client's last byte has arrived. Data that no attempt accepts any more is still
    /// read: closing the connection with unread data would reset it and lose an early response. `report` is called when
    /// what is known of the last byte has changed.
    pub async fn run(mut self, report: impl Fn(LastByte)) -> Result<(), IntakeError> {
        let reported_possible = Cell::new(false);
        loop {
            let report_outstanding = || {
                if reported_possible.take() {
                    report(LastByte::Outstanding);
                }
            };
            let Some(data) = self.source.next(report_outstanding).await? else { break };
            if self.source.received > MAX_BODY_BYTES {
                return Err(IntakeError::TooLarge);
            }
            let possible_since =
                (!self.source.last_byte_is_elsewhere()).then_some(self.source.incomplete_until);
            let report_possible = || {
                if let Some(since) = possible_since {
                    reported_possible.set(true);
                    report(LastByte::PossibleSince(since));
                }
            };
            self.forward(stream_chunk(data), report_possible).await;
        }
        report(LastByte::PossibleSince(self.source.incomplete_until));
        self.forward(BodyChunk::End, || ()).await;
        Ok(())
    }

    /// Passes a chunk to the attempt; `on_wait` is called when the server is slow to take what came before.
    async fn forward(&mut self, chunk: BodyChunk, on_wait: impl Fn()) {
        let Some(sender) = &self.sender else { return };
        let sending = noting_wait(sender.send(chunk), on_wait);
        if !matches!(timeout(write_stall_timeout(false), sending).await, Ok(Ok(()))) {
            self.sender = None;
        }
    }
}
