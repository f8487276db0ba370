//! Listeners of a soak: bound before their thread runs, so that their addresses are known, and served on that thread.

use std::future::Future;
use std::net::{SocketAddr, TcpListener as Listener};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Listeners by row and column, and where they are.
#[derive(Debug)]
pub struct Grid {
    listeners: Vec<Vec<Listener>>,
    /// By row, then by column.
    pub addresses: Vec<Vec<SocketAddr>>,
}

impl Grid {
    /// Binds so many, on ports that the system chooses.
    pub fn bind(rows: usize, columns: usize) -> std::io::Result<Grid> {
        let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
        for _ in 0..rows {
            let row: Vec<Listener> =
                (0..columns).map(|_| Listener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
            addresses.push(row.iter().map(Listener::local_addr).collect::<Result<_, _>>()?);
            listeners.push(row);
        }
        Ok(Grid { listeners, addresses })
    }

    /// Serves all connections on this thread until it is dropped.
    pub async fn serve<F>(&self, serve: impl Fn(TcpStream, usize, usize) -> F + Clone + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        for (row, listeners) in self.listeners.iter().enumerate() {
            for (column, listener) in listeners.iter().enumerate() {
                let listener = listener.try_clone().expect("a listener");
                listener.set_nonblocking(true).expect("a listener");
                let listener = TcpListener::from_std(listener).expect("a listener");
                let serve = serve.clone();
                spawn_local(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        spawn_local(serve(stream, row, column));
                    }
                });
            }
        }
        std::future::pending::<()>().await;
    }
}
