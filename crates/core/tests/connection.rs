//! A connection is closed, and its slots are released, in the moment in which its owner closes it.

use laurelroute_core::budget::Budget;
use laurelroute_core::connection::{Connection, ConnectionIo};
use laurelroute_core::peer::PeerState;
use std::future::Future;
use std::io::ErrorKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(test);
}

/// A connection and its peer.
async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (connected, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (connected.expect("a connection"), accepted.expect("a connection").0)
}

/// Whoever else still refers to a connection does not keep it open.
#[test]
fn a_closed_connection_is_closed_whoever_refers_to_it() {
    run(async {
        let (stream, peer) = pair().await;
        let budget = Budget::new(64, 16, 0);
        let connection = Connection::new(stream, budget.acquire_server());
        let holds_one = budget.descriptors_in_use();
        let mut io = ConnectionIo(connection.clone());
        assert!(connection.is_open() && connection.is_quiescent());
        connection.close();
        // The kernel is asked at once: no task has run since.
        assert_eq!(socket2::SockRef::from(&peer).peek(&mut [std::mem::MaybeUninit::uninit()]).ok(), Some(0));
        assert_eq!(budget.descriptors_in_use(), holds_one - 1);
        assert!(!connection.is_open() && !connection.is_quiescent());
        assert_eq!(connection.peer_state(), PeerState::Closed);
        let read = io.read(&mut [0; 4]).await.map_err(|e| e.kind());
        assert_eq!(read, Err(ErrorKind::NotConnected));
        let written = io.write(b"late").await.map_err(|e| e.kind());
        assert_eq!(written, Err(ErrorKind::NotConnected));
    });
}

/// A connection that is only referred to by others than its owner is closed when that is dropped.
#[test]
fn a_connection_ends_with_its_owner() {
    run(async {
        let (stream, mut peer) = pair().await;
        let budget = Budget::new(64, 16, 0);
        let connection = Connection::new(stream, budget.acquire_client());
        let referred = std::rc::Rc::downgrade(&connection);
        assert_eq!(budget.clients(), 1);
        drop(ConnectionIo(connection));
        assert_eq!((budget.clients(), referred.upgrade().is_none()), (0, true));
        assert_eq!(peer.read(&mut [0; 4]).await.ok(), Some(0));
    });
}
