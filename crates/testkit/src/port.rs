//! Ports for programs that are still to be started, each for one of them alone.

use socket2::{Domain, Protocol, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr};

/// A port of loopback that the system chose, kept for a program that shares its address by SO_REUSEPORT.
///
/// Were it only looked up and given back, another test could be given the same one before the program is there, and
/// two programs that share their address would each get some of the other's clients without a word. Nobody
/// connects to it meanwhile: it is bound and does not listen.
#[derive(Debug)]
pub struct Port {
    address: SocketAddr,
    _held: Socket,
}

impl Port {
    /// One that nobody else has as long as this is kept.
    pub fn keep() -> Port {
        let held = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).expect("a socket");
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        // Chosen while it is shared with nobody, for else the system may choose one that is shared already.
        held.bind(&any.into()).expect("a port");
        held.set_reuse_address(true).expect("an address to be used again");
        held.set_reuse_port(true).expect("a port to be shared");
        let address = held.local_addr().ok().and_then(|a| a.as_socket()).expect("an address");
        Port { address, _held: held }
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

#[cfg(test)]
mod tests {
    use super::Port;
    use socket2::{Domain, Socket, Type};
    use std::collections::HashSet;
    use std::net::{TcpListener, TcpStream};

    #[test]
    fn nobody_else_is_given_a_port_that_is_kept() {
        let kept: Vec<Port> = (0..500).map(|_| Port::keep()).collect();
        let mut seen: HashSet<_> = kept.iter().map(Port::address).collect();
        assert_eq!(seen.len(), kept.len(), "a port was given twice");
        let others: Vec<_> = (0..500).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        assert!(others.iter().all(|l| seen.insert(l.local_addr().unwrap())), "a kept port was given away");
    }

    #[test]
    fn the_program_that_it_is_kept_for_can_listen_there() {
        let port = Port::keep();
        assert!(TcpStream::connect(port.address()).is_err(), "somebody listens already");
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        socket.set_reuse_port(true).unwrap();
        socket.bind(&port.address().into()).unwrap();
        socket.listen(64).unwrap();
        for _ in 0..20 {
            TcpStream::connect(port.address()).unwrap();
        }
    }
}
