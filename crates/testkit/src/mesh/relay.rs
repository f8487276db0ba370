//! Datagrams between processes that reach one another only through here, each direction of each pair with faults of its
//! own.

use crate::lock;
use laurelroute_simulation::draw::Draw;
use laurelroute_simulation::schedule::{Line, Network};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};

/// The longest datagram that is carried.
const LONGEST: usize = 2048;

#[derive(Debug)]
struct Links {
    size: usize,
    /// From ... to ..., row by row: nothing comes through.
    cut: Vec<bool>,
    /// Likewise: when each is free again where the network's rate is limited.
    lines: Vec<Line>,
    begun: Instant,
    network: Network,
    draw: Draw,
    carried: u64,
}

/// Relays between processes.
#[derive(Debug)]
pub struct Relays {
    links: Arc<Mutex<Links>>,
    /// Where each process finds each other one.
    addresses: Vec<Vec<SocketAddr>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Relays {
    /// Between the processes that listen at these addresses; all that is drawn follows from the seed.
    pub fn start(processes: &[SocketAddr], seed: u64) -> Relays {
        let size = processes.len();
        let links = Links {
            size,
            cut: vec![false; size * size],
            lines: vec![Line::default(); size * size],
            begun: Instant::now(),
            network: Network { delay: (0, 0), ..Network::default() },
            draw: Draw::new(seed, 79),
            carried: 0,
        };
        let links = Arc::new(Mutex::new(links));
        let any = || {
            let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket");
            socket.set_nonblocking(true).expect("a socket that does not wait");
            socket
        };
        let sockets: Vec<Vec<std::net::UdpSocket>> =
            (0..size).map(|_| (0..size).map(|_| any()).collect()).collect();
        let address = |s: &std::net::UdpSocket| s.local_addr().expect("an address");
        let addresses = sockets.iter().map(|row| row.iter().map(address).collect()).collect();
        let (stop, stopped) = oneshot::channel();
        let (processes, shared) = (processes.to_vec(), links.clone());
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            LocalSet::new().block_on(&runtime, async move {
                let sockets: Vec<Vec<Arc<UdpSocket>>> = sockets
                    .into_iter()
                    .map(|row| {
                        row.into_iter().map(|s| Arc::new(UdpSocket::from_std(s).expect("a socket"))).collect()
                    })
                    .collect();
                for from in 0..size {
                    for to in (0..size).filter(|to| *to != from) {
                        // What `from` sends to the address that it has for `to` comes to `to` from the one that that has for `from`.
                        let (inward, outward) = (sockets[from][to].clone(), sockets[to][from].clone());
                        let (at, target) = (processes[from], processes[to]);
                        spawn_local(carry(shared.clone(), (from, to), inward, outward, at, target));
                    }
                }
                let _ = stopped.await;
            });
        });
        Relays { links, addresses, stop: Some(stop), thread: Some(thread) }
    }

    /// Where a process finds another one.
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[from][to]
    }

    /// From each of these nothing comes to any of those.
    pub fn cut(&self, from: &[u16], to: &[u16]) {
        let mut links = lock(&self.links);
        let size = links.size;
        for (f, t) in from.iter().flat_map(|f| to.iter().map(move |t| (usize::from(*f), usize::from(*t)))) {
            links.cut[f * size + t] = true;
        }
    }

    /// All links carry again.
    pub fn mend(&self) {
        lock(&self.links).cut.fill(false);
    }

    /// All links become like this.
    pub fn network(&self, network: Network) {
        lock(&self.links).network = network;
    }

    /// Datagrams carried so far.
    pub fn carried(&self) -> u64 {
        lock(&self.links).carried
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn carry(
    links: Arc<Mutex<Links>>,
    (from, to): (usize, usize),
    inward: Arc<UdpSocket>,
    outward: Arc<UdpSocket>,
    at: SocketAddr,
    target: SocketAddr,
) {
    let mut bytes = vec![0; LONGEST];
    loop {
        // A process that is gone makes the socket say so, once for each datagram that found nobody.
        let Ok((length, source)) = inward.recv_from(&mut bytes).await else { continue };
        if source != at {
            continue;
        }
        let mut datagram = bytes[..length].to_vec();
        for delay in lock(&links).copies(from, to, &mut datagram) {
            if delay.is_zero() {
                let _ = outward.try_send_to(&datagram, target);
                continue;
            }
            let (outward, datagram) = (outward.clone(), datagram.clone());
            spawn_local(async move {
                tokio::time::sleep(delay).await;
                let _ = outward.try_send_to(&datagram, target);
            });
        }
    }
}

impl Links {
    /// After how long each copy of a datagram arrives; it may be spoilt on the way.
    fn copies(&mut self, from: usize, to: usize, datagram: &mut [u8]) -> Vec<Duration> {
        let network = self.network;
        if self.cut[from * self.size + to] || self.draw.chance(network.loss) {
            return Vec::new();
        }
        let now = self.begun.elapsed().as_nanos() as u64;
        let line = &mut self.lines[from * self.size + to];
        let Some(takes) = line.takes(now, datagram.len(), network.rate) else { return Vec::new() };
        self.carried += 1;
        if self.draw.chance(network.flipped) && !datagram.is_empty() {
            let bit = self.draw.below(8 * datagram.len());
            datagram[bit / 8] ^= 1 << (bit % 8);
        }
        let copies = if self.draw.chance(network.doubled) { 2 } else { 1 };
        let (low, high) = network.delay;
        let delay = |draw: &mut Draw| if high == 0 { 0 } else { draw.between(low, high) };
        (0..copies).map(|_| Duration::from_nanos(takes + delay(&mut self.draw))).collect()
    }
}
