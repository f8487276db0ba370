//! Bodies of requests as they come in: held as far as there is room, and passed through from there.

use crate::body::{rest, Message, Piece, MOST_BODY};
use crate::pace::{Pace, Paced};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use laurelroute_core::budget::Budget;
use laurelroute_core::payload::BufferedBody;
use laurelroute_core::running::timeout;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// A client may come to 64 kB a second and write in small pieces: half of that is the least. A body that does not come at
/// all is given up soon, as its head was.
const PACE: Pace =
    Pace { pause: Duration::from_millis(1_500), grace: Duration::from_millis(2_000), rate: 32_000 };
/// A body up to this is held whole: nothing is sent before its last byte, so that its server is chosen as late as can be
/// and another one can take it. Longer ones pass through.
const HELD: u64 = 512 * 1024;
/// How long a server may take nothing of a body that passes through.
const UNTAKEN: Duration = Duration::from_millis(3_000);

/// Why a body is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IntakeError {
    /// Longer than any that passes.
    #[error("the body is over 33 MiB")]
    TooLarge,
    /// The client's connection or its framing ended it.
    #[error("the body broke off")]
    Broken,
    /// Slower than any honest client.
    #[error("the body did not come in time")]
    Slow,
    /// The node holds all that it may.
    #[error("no room for the body")]
    NoRoom,
}

/// What a client still sends.
struct Source {
    body: Incoming,
    paced: Paced,
}

impl Source {
    /// The next piece; `None` at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, IntakeError> {
        loop {
            let (begun, patience) = (Instant::now(), self.paced.patience());
            let frame = timeout(patience, self.body.frame()).await;
            let Some(frame) = frame.map_err(|_| IntakeError::Slow)? else { return Ok(None) };
            if let Ok(data) = frame.map_err(|_| IntakeError::Broken)?.into_data() {
                // Where it took longer, this process was held up, and when the data came is not known.
                let waited = Some(begun.elapsed()).filter(|waited| *waited <= patience).unwrap_or_default();
                self.paced.came(data.len(), waited);
                return Ok(Some(data));
            }
        }
    }
}

/// A body as it comes in.
pub struct Intake {
    source: Source,
    length: Option<u64>,
    /// What has come so far.
    pub held: BufferedBody,
}

impl Intake {
    /// Nothing read yet. One whose length is too large is refused before any of it is read.
    pub fn new(budget: &Rc<Budget>, body: Incoming) -> Result<Self, IntakeError> {
        if body.size_hint().lower() > MOST_BODY {
            return Err(IntakeError::TooLarge);
        }
        let length = body.size_hint().exact();
        Ok(Intake {
            source: Source { body, paced: PACE.start() },
            length,
            held: BufferedBody::new(budget.body_lease()),
        })
    }

    /// Holds what comes; false where it is long, and the rest is to pass through.
    pub async fn hold(&mut self) -> Result<bool, IntakeError> {
        if self.length.is_some_and(|l| l > HELD) {
            return Ok(false);
        }
        while let Some(data) = self.source.next().await? {
            if !self.held.push(data) {
                return Err(IntakeError::NoRoom);
            }
            if self.held.len() > HELD {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// The message, and what brings its rest where that is still to come.
    pub fn into_message(self, whole: bool) -> (Rc<Message>, Option<Upload>) {
        if whole {
            return (Message::whole(self.held), None);
        }
        let (to, rest) = rest();
        let upload = Upload { source: self.source, came: self.held.len(), to: Some(to) };
        (Message::long(self.held, rest, self.length), Some(upload))
    }
}

/// The rest of a long body on its way to whoever takes it.
pub struct Upload {
    source: Source,
    came: u64,
    /// Nobody, once the one who took it has gone.
    to: Option<mpsc::Sender<Piece>>,
}

impl Upload {
    /// Brings it, until the client's last byte has come. What nobody takes any more is read all the same: a close would
    /// take an early answer with it.
    pub async fn run(mut self) -> Result<(), IntakeError> {
        while let Some(data) = self.source.next().await? {
            self.came += data.len() as u64;
            if self.came > MOST_BODY {
                return Err(IntakeError::TooLarge);
            }
            self.bring(Piece::Data(data)).await;
        }
        self.bring(Piece::End).await;
        Ok(())
    }

    async fn bring(&mut self, piece: Piece) {
        if let Some(to) = &self.to {
            if !matches!(timeout(UNTAKEN, to.send(piece)).await, Ok(Ok(()))) {
                self.to = None;
            }
        }
    }
}
