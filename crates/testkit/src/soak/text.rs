//! HTTP/1.1 as the parties of a soak read it: heads and bodies of a known length.

use tokio::io::{AsyncReadExt, Interest};
use tokio::net::TcpStream;

/// A message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its head.
    pub head: String,
    /// Its body.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// An answer's status.
    pub fn status(&self) -> Option<u16> {
        self.head.split(' ').nth(1)?.parse().ok()
    }
}

/// Waits for the first byte of the next message; false where the peer has closed.
pub async fn begun(stream: &TcpStream) -> bool {
    loop {
        match stream.peek(&mut [0]).await {
            Ok(n) => return n > 0,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                let _ = stream.ready(Interest::READABLE).await;
            }
            Err(_) => return false,
        }
    }
}

/// Reads a message; `None` where the connection ends in it.
pub async fn read(stream: &mut TcpStream) -> Option<Message> {
    let mut bytes = Vec::with_capacity(512);
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        (stream.read_buf(&mut bytes).await.ok()? > 0).then_some(())?;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut message = Message { head, body: bytes.split_off(end) };
    let length = message.field("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while message.body.len() < length {
        (stream.read_buf(&mut message.body).await.ok()? > 0).then_some(())?;
    }
    message.body.truncate(length);
    Some(message)
}
