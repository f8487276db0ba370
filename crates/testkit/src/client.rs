//! A client on any wire, which sends one request at a time or many.

use crate::wire::{Answer, Ask, Class, Conn, Wire};
use crate::PATIENCE;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How a client goes away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// It closes its connection.
    Close,
    /// It resets it.
    Reset,
    /// It sends a part of a further request and closes.
    More,
}

/// All ways.
pub const LEAVINGS: [Leaving; 3] = [Leaving::Close, Leaving::Reset, Leaving::More];

/// A connection to a node.
#[derive(Debug)]
pub struct Client {
    wire: Wire,
    conn: Conn,
    next: i32,
}

impl Client {
    /// Connects; `None` where nobody listens.
    pub fn connect(wire: Wire, address: SocketAddr) -> Option<Client> {
        Client::connect_within(wire, address, PATIENCE)
    }

    /// Connects, and waits so long for that and for anything that comes.
    pub fn connect_within(wire: Wire, address: SocketAddr, patience: Duration) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, patience).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        let form = match wire {
            Wire::Http => None,
            Wire::Thrift { client, .. } => Some(client),
        };
        Some(Client { wire, conn: Conn::new(stream, form), next: 1 })
    }

    /// Sends a request; gives its number on the connection.
    pub fn send(&mut self, ask: &Ask) -> i32 {
        let seqid = self.next;
        self.next += 1;
        self.conn.write(&ask.bytes(self.wire, seqid));
        seqid
    }

    /// Sends bytes as they are.
    pub fn raw(&mut self, bytes: &[u8]) -> bool {
        self.conn.write(bytes)
    }

    /// Goes away.
    pub fn leave(mut self, how: Leaving) {
        match how {
            Leaving::Close => {}
            Leaving::Reset => {
                let _ = socket2::SockRef::from(&self.conn.stream).set_linger(Some(Duration::ZERO));
            }
            Leaving::More => {
                // A part of a further request, which is read by nobody.
                self.conn.write(&self.beginning());
            }
        }
    }

    fn beginning(&self) -> Vec<u8> {
        let mut bytes = Ask::new(Class::Read).bytes(self.wire, self.next);
        bytes.truncate(bytes.len() - 2);
        bytes
    }

    /// The next answer; `None` where the connection ends first.
    pub fn answer(&mut self) -> Option<Answer> {
        self.conn.answer()
    }

    /// The next Thrift answer with its call's number.
    pub fn numbered(&mut self) -> Option<(i32, Answer)> {
        self.conn.numbered_answer()
    }

    /// Sends a request and waits for its answer.
    pub fn ask(&mut self, ask: &Ask) -> Option<Answer> {
        self.send(ask);
        self.answer()
    }

    /// The node has said that it closes after the last answer.
    pub fn told_to_close(&self) -> bool {
        self.conn.told_to_close
    }

    /// Whether nothing more comes for a while: not one answer too many.
    pub fn silent_for(&mut self, pause: Duration) -> bool {
        let _ = self.conn.stream.set_read_timeout(Some(pause));
        let silent = match self.conn.stream.peek(&mut [0]) {
            Ok(n) => n == 0,
            Err(_) => true,
        };
        let _ = self.conn.stream.set_read_timeout(Some(PATIENCE));
        silent
    }

    /// Waits until the node closes the connection; false where something else comes, or nothing in time.
    pub fn closed(&mut self) -> bool {
        let begun = Instant::now();
        match self.conn.stream.peek(&mut [0]) {
            Ok(n) => n == 0,
            Err(_) => begun.elapsed() < PATIENCE,
        }
    }
}
