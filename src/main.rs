//! One load-balancing node: configuration, runtime, signals.

mod net;

use net::clients::Clients;
use net::config::{Config, ConfigError};
use net::discovery::Watcher;
use net::gateway::Gateway;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, LocalSet};

/// Connections that the kernel may hold for us while we are busy; it cuts this down to what it allows.
const BACKLOG: u32 = 4096;
/// From the start, a node with no word from discovery serves by the list in its configuration after this ...
const READY_KNOWN: Duration = Duration::from_millis(700);
/// At a planned restart new connections go on coming for a while, and SIGKILL follows the longest deadline.
const STILL_ACCEPT: Duration = Duration::from_millis(500);
const LEAVE_WITHIN: Duration = Duration::from_millis(3600);

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("settings: {0}")]
    Settings(#[from] yarrowfield::interface::SettingsError),
    #[error("cannot listen on {address}: {error}")]
    Listen { address: std::net::SocketAddr, error: std::io::Error },
    #[error("{0}")]
    System(#[from] std::io::Error),
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yarrowfield: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), StartError> {
    let config = Config::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(config))
}

fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // A restarted node must not wait for its former connections to age.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn run(config: Config) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let address = config.listen;
    let (push, known) =
        (!config.settings.must_subscribe, config.known.as_ref().is_some_and(|k| !k.hosts.is_empty()));
    let (list_calls, calls) = mpsc::unbounded_channel();
    let gateway = Gateway::new(config, list_calls)?;
    let listener = listen(address).map_err(|error| StartError::Listen { address, error })?;
    let watcher = Watcher::new(gateway.clone());
    if push {
        spawn_local(watcher.follow());
    } else {
        spawn_local(watcher.obey(calls));
    }
    spawn_local(gateway.clone().run_timers());
    let clients = Clients::new(gateway.clone());
    let stop = Rc::new(Notify::new());
    let accepting = spawn_local(clients.clone().accept(listener, stop.clone()));
    let ready = gateway.clone();
    spawn_local(async move {
        tokio::time::sleep(READY_KNOWN).await;
        ready.ready.set(ready.ready.get() || known);
    });
    spawn_local(sweep(gateway.clone(), clients.clone()));

    terminate.recv().await;
    let told = Instant::now();
    gateway.leaving.set(true);
    tokio::time::sleep(STILL_ACCEPT).await;
    stop.notify_one();
    let _ = accepting.await;
    while clients.close_idle() > 0 && told.elapsed() < LEAVE_WITHIN {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Once a second: connections that have stood idle or still for too long are closed.
async fn sweep(gateway: Rc<Gateway>, clients: Rc<Clients>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        clients.sweep();
        gateway.sweep_servers();
    }
}
