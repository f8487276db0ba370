//! The attempts that are under way over the links of a soak. A node's end of an attempt is judged at the node's side of its
//! link, by the kernel's state of that connection: what the proxy holds back or adds plays no part.

use super::history::{Ended, Moment, Over, Recorder};
use crate::lock;
use crate::process::{tcp_state, TcpState};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The two ends of a link's connection with its node: the proxy's and the node's.
pub type NodeSide = (SocketAddr, SocketAddr);

#[derive(Debug, Default)]
struct State {
    /// By the port from which the proxy reaches the server.
    links: HashMap<u16, NodeSide>,
    /// By request: the links of attempts whose last byte has come and that the server has not ended.
    attempts: HashMap<String, Vec<u16>>,
}

impl State {
    /// Whether the node has neither closed its side of a link nor ended its sending there.
    fn is_held_by_node(&self, port: u16) -> bool {
        let state = self.links.get(&port).and_then(|(proxy, node)| tcp_state(*proxy, *node));
        matches!(state, Some(TcpState::Established | TcpState::FinWait1 | TcpState::FinWait2))
    }
}

/// All links, as the proxy and the servers see them.
#[derive(Clone, Debug, Default)]
pub struct Links(Arc<Mutex<State>>);

impl Links {
    /// The proxy has joined a node to a server, which it reaches from this port.
    pub fn opened(&self, port: u16, node_side: NodeSide) {
        lock(&self.0).links.insert(port, node_side);
    }

    /// The proxy has ended a link.
    pub fn closed(&self, port: u16) {
        lock(&self.0).links.remove(&port);
    }

    /// The last byte of an attempt has come over a link: how many earlier ones of its request are under way. None are
    /// beside one that its node has given up already.
    pub fn begin(&self, id: &str, port: u16) -> usize {
        let mut state = lock(&self.0);
        let earlier = state.attempts.get(id).cloned().unwrap_or_default();
        let held = earlier.iter().filter(|earlier| state.is_held_by_node(**earlier)).count();
        let beside = if held > 0 && state.is_held_by_node(port) { held } else { 0 };
        state.attempts.entry(id.to_owned()).or_default().push(port);
        beside
    }

    fn end(&self, id: &str, port: u16) {
        let mut state = lock(&self.0);
        if let Some(attempts) = state.attempts.get_mut(id) {
            attempts.retain(|other| *other != port);
            if attempts.is_empty() {
                state.attempts.remove(id);
            }
        }
    }
}

/// An attempt at its server. It is over when this is dropped: right before its whole answer is written, or with its
/// connection.
pub struct Attempt {
    /// All links.
    pub links: Links,
    /// Where its end is written.
    pub recorder: Recorder,
    /// Its request.
    pub id: String,
    /// Its link.
    pub port: u16,
    /// Its place in the history.
    pub came: usize,
    /// How it ends.
    pub ended: Ended,
}

impl Attempt {
    /// Its whole answer is about to be written.
    pub fn answered(mut self) {
        self.ended = Ended::Answered;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.links.end(&self.id, self.port);
        let at: Moment = self.recorder.now();
        let over = Over { at, how: self.ended };
        self.recorder.write(|h| {
            if let Some(came) = h.came.get_mut(self.came) {
                came.over = Some(over);
            }
        });
    }
}
