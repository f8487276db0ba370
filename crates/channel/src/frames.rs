//! Message framing: a length of four bytes in big-endian order, then the message.

use laurelroute_plan::wire::{Body, Frame, MAX_MESSAGE_BYTES};
use prost::Message;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Why a connection cannot be used any longer.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The stream broke or ended.
    #[error("{0}")]
    Stream(#[from] std::io::Error),
    /// A message exceeds [`MAX_MESSAGE_BYTES`].
    #[error("a message of {0} bytes; at most {MAX_MESSAGE_BYTES} are taken")]
    TooLong(usize),
    /// The bytes cannot be decoded as a message.
    #[error("a message that cannot be read: {0}")]
    Unreadable(#[from] prost::DecodeError),
}

/// Maximum memory in bytes reserved for a message before its bytes arrive, whatever length the peer announces.
const INITIAL_BUFFER_BYTES: usize = 16 << 10;

/// Reads the next message; `None` for one of a kind unknown to this version.
pub async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Option<Body>, FrameError> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let mut bytes = Vec::with_capacity(length.min(INITIAL_BUFFER_BYTES));
    let received = stream.take(length as u64).read_to_end(&mut bytes).await?;
    if received < length {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    }
    Ok(Frame::decode(&bytes[..])?.body)
}

/// Writes one message and returns its size on the wire in bytes.
pub async fn write(stream: &mut (impl AsyncWrite + Unpin), body: Body) -> Result<usize, FrameError> {
    let frame = Frame::from(body);
    let length = frame.encoded_len();
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let mut bytes = Vec::with_capacity(length + 4);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    // Encoding into a vector cannot fail, as it grows.
    let _ = frame.encode(&mut bytes);
    stream.write_all(&bytes).await?;
    stream.flush().await?;
    Ok(bytes.len())
}

#[cfg(test)]
mod tests {
    use super::*;
    use laurelroute_plan::wire::{ExplainRequest, PlanUpdate};

    fn run<T>(future: impl std::future::Future<Output = T>) -> T {
        tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(future)
    }

    #[test]
    fn messages_survive_a_round_trip_and_invalid_ones_are_classified() {
        run(async {
            let (mut a, mut b) = tokio::io::duplex(1 << 20);
            let bodies = [
                Body::ExplainRequest(ExplainRequest::default()),
                Body::PlanUpdate(PlanUpdate { version: 7, ..PlanUpdate::default() }),
            ];
            for body in &bodies {
                write(&mut a, body.clone()).await.unwrap();
            }
            for body in bodies {
                assert_eq!(read(&mut b).await.unwrap(), Some(body));
            }
            // A message kind of a later version: field 99, empty.
            a.write_all(&[0, 0, 0, 3, 0x9a, 0x06, 0]).await.unwrap();
            assert_eq!(read(&mut b).await.unwrap(), None);
            a.write_all(&[0, 0, 0, 1, 0xff]).await.unwrap();
            assert!(matches!(read(&mut b).await, Err(FrameError::Unreadable(_))));
            a.write_all(&[0xff; 4]).await.unwrap();
            assert!(matches!(read(&mut b).await, Err(FrameError::TooLong(_))));
            a.write_all(&[0, 0, 1, 0, 5]).await.unwrap();
            drop(a);
            assert!(matches!(read(&mut b).await, Err(FrameError::Stream(_))));
        });
    }

    #[test]
    fn a_message_over_the_size_limit_is_not_sent() {
        run(async {
            let (mut a, _b) = tokio::io::duplex(64);
            let part = PlanUpdate { removed: vec!["x".repeat(MAX_MESSAGE_BYTES)], ..PlanUpdate::default() };
            assert!(matches!(write(&mut a, Body::PlanUpdate(part)).await, Err(FrameError::TooLong(_))));
        });
    }
}
