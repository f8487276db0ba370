//! A fault proxy on each link between a node and a server: passes bytes both ways, and by the plan holds them back, cuts one
//! direction, lets answers drip, shuts one side or resets the link.

use super::history::Recorder;
use super::links::Links;
use super::listen::Grid;
use super::plan::{Kind, Plan};
use super::server::reset;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Bytes of a drip, and the pause behind each.
const DRIP: usize = 24;
const DRIP_PAUSE: Duration = Duration::from_millis(25);
/// How often a link that holds back looks whether its fault is over.
const LOOK: Duration = Duration::from_millis(5);

/// The relays of all links.
#[derive(Debug)]
pub struct Relays {
    /// By server, then by node: where nodes find the servers.
    pub grid: Grid,
    /// Where the servers are.
    targets: Vec<Vec<SocketAddr>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToNode,
}

/// How a direction of a link ended.
#[derive(PartialEq, Eq)]
enum Ended {
    Closed,
    Reset,
}

struct Link {
    server: usize,
    plan: Arc<Plan>,
    recorder: Recorder,
    links: Links,
}

impl Relays {
    /// Binds a relay ahead of each of these.
    pub fn bind(targets: &[Vec<SocketAddr>]) -> std::io::Result<Relays> {
        let columns = targets.first().map_or(0, Vec::len);
        Ok(Relays { grid: Grid::bind(targets.len(), columns)?, targets: targets.to_vec() })
    }
}

/// Relays on this thread until it is dropped.
pub async fn serve(relays: Arc<Relays>, plan: Arc<Plan>, recorder: Recorder, links: Links) {
    let all = relays.clone();
    let join = move |stream, server: usize, node: usize| {
        let link = Link { server, plan: plan.clone(), recorder: recorder.clone(), links: links.clone() };
        let target = all.targets[server][node];
        async move { link.join(stream, target).await }
    };
    relays.grid.serve(join).await;
}

impl Link {
    fn active(&self, kind: Kind) -> bool {
        self.plan.active(kind, self.server, self.recorder.now()).is_some()
    }

    async fn join(&self, node: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target).await else { return reset(&node) };
        let _ = (node.set_nodelay(true), server.set_nodelay(true));
        let addresses = (server.local_addr(), node.local_addr(), node.peer_addr());
        let (Ok(from), Ok(proxy_end), Ok(node_end)) = addresses else { return reset(&node) };
        self.links.opened(from.port(), (proxy_end, node_end));
        self.relay(node, server).await;
        self.links.closed(from.port());
    }

    async fn relay(&self, node: TcpStream, server: TcpStream) {
        let ((from_node, to_node), (from_server, to_server)) = (node.into_split(), server.into_split());
        let (up, down) = tokio::join!(
            self.pass(from_node, to_server, Direction::ToServer),
            self.pass(from_server, to_node, Direction::ToNode),
        );
        let broken = up.1 == Ended::Reset || down.1 == Ended::Reset;
        for (reader, writer) in [(up.0 .0, down.0 .1), (down.0 .0, up.0 .1)] {
            if let (true, Ok(stream)) = (broken, reader.reunite(writer)) {
                reset(&stream);
            }
        }
    }

    async fn pass(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        direction: Direction,
    ) -> ((OwnedReadHalf, OwnedWriteHalf), Ended) {
        let ended = self.pass_bytes(&mut from, &mut to, direction).await;
        if ended == Ended::Closed {
            let _ = to.shutdown().await;
        }
        ((from, to), ended)
    }

    async fn pass_bytes(
        &self,
        from: &mut OwnedReadHalf,
        to: &mut OwnedWriteHalf,
        direction: Direction,
    ) -> Ended {
        let mut bytes = [0; 4096];
        loop {
            let read = tokio::select! {
                read = from.read(&mut bytes) => read,
                () = self.is_reset() => return Ended::Reset,
            };
            let Ok(n) = read else { return Ended::Reset };
            if self.holds_back(direction) {
                // What was under way is gone; once the link is back, its ends find that out.
                while self.holds_back(direction) {
                    sleep(LOOK).await;
                }
                return Ended::Reset;
            }
            if n == 0 {
                return Ended::Closed;
            }
            let drips = direction == Direction::ToNode && self.active(Kind::LinkDrips);
            let piece = if drips { DRIP } else { bytes.len() };
            for piece in bytes[..n].chunks(piece) {
                if to.write_all(piece).await.is_err() {
                    return Ended::Reset;
                }
                if drips {
                    sleep(DRIP_PAUSE).await;
                }
            }
            if direction == Direction::ToNode && self.active(Kind::LinkHalfCloses) {
                return Ended::Closed;
            }
        }
    }

    fn holds_back(&self, direction: Direction) -> bool {
        let one_way = direction == Direction::ToNode && self.active(Kind::LinkOneWay);
        one_way || self.active(Kind::LinkSilent)
    }

    async fn is_reset(&self) {
        while !self.active(Kind::LinkReset) {
            sleep(LOOK * 4).await;
        }
    }
}
