//! Between a real forwarder and the planners: its bytes are counted.

use super::counted::{lock, Counted, Rates, Seconds};
use crate::report::Failure;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

/// The way of one forwarder to all planners.
pub struct Relay {
    /// Where it finds the planners, in their order.
    pub addresses: Vec<SocketAddr>,
    seconds: Arc<Mutex<Seconds>>,
    begun: Instant,
}

impl Relay {
    /// Carries for a forwarder, until the program ends.
    pub fn start(planners: &[SocketAddr]) -> Result<Relay, Failure> {
        let begun = Instant::now();
        let seconds = Arc::new(Mutex::new(Seconds::new(begun)));
        let listeners: Result<Vec<_>, _> =
            planners.iter().map(|_| std::net::TcpListener::bind("127.0.0.1:0")).collect();
        let listeners = listeners?;
        // The runtime wants them so.
        listeners.iter().try_for_each(|l| l.set_nonblocking(true))?;
        let addresses: Result<Vec<_>, _> = listeners.iter().map(std::net::TcpListener::local_addr).collect();
        let ways: Vec<(std::net::TcpListener, SocketAddr)> =
            listeners.into_iter().zip(planners.to_vec()).collect();
        let counted = seconds.clone();
        std::thread::Builder::new().name("relay".into()).spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
                return;
            };
            LocalSet::new().block_on(&runtime, async move {
                for (listener, planner) in ways {
                    // It was made not to block above.
                    let Ok(listener) = TcpListener::from_std(listener) else { continue };
                    spawn_local(carry(listener, planner, counted.clone()));
                }
                std::future::pending::<()>().await
            })
        })?;
        Ok(Relay { addresses: addresses?, seconds, begun })
    }

    /// Seconds since it was started.
    pub fn second(&self) -> usize {
        self.begun.elapsed().as_secs() as usize
    }

    /// What was carried both ways from a second on.
    pub fn rates(&self, from: usize) -> Rates {
        lock(&self.seconds).rates(from)
    }
}

async fn carry(listener: TcpListener, planner: SocketAddr, seconds: Arc<Mutex<Seconds>>) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let seconds = seconds.clone();
        spawn_local(async move {
            let _ = near.set_nodelay(true);
            // A planner that is not there: the forwarder sees its connection end.
            let far = TcpStream::connect(planner).await?;
            far.set_nodelay(true)?;
            copy_bidirectional(&mut Counted::new(near, seconds), &mut { far }).await
        });
    }
}
