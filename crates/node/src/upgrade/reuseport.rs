//! New connections to an address that two processes share by SO_REUSEPORT, brought to one of them.
//!
//! The kernel deals connections to the group's sockets by a hash. Where one of the processes is stopped, half of them would
//! wait in its queue. A classic BPF program that gives a constant chooses the socket with that place in the group instead
//! (SO_ATTACH_REUSEPORT_CBPF, socket(7)). A place that is none leaves it to the hash.

use nix::libc::{sock_filter, sock_fprog, BPF_K, BPF_RET};
use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::{IpAddr, SocketAddr};
use std::os::fd::AsFd;

/// The state of a listening socket in the kernel's tables.
const LISTENING: &str = "0A";

/// Brings all new connections to the socket that has begun to listen at that address last. Sockets have their place in
/// the order in which they began.
pub(super) fn route_to_newest(socket: impl AsFd, address: SocketAddr) -> io::Result<()> {
    let table = if address.is_ipv4() { "/proc/self/net/tcp" } else { "/proc/self/net/tcp6" };
    let listening = listening(BufReader::new(File::open(table)?).lines(), address)?;
    let place = u32::try_from(listening.saturating_sub(1)).map_err(io::Error::other)?;
    let code = u16::try_from(BPF_RET | BPF_K).map_err(io::Error::other)?;
    let mut program = [sock_filter { code, jt: 0, jf: 0, k: place }];
    let program = sock_fprog { len: 1, filter: program.as_mut_ptr() };
    Ok(setsockopt(&socket, AttachReusePortCbpf, &program)?)
}

/// Sockets that listen at that address, in a table as proc(5) has it: first its heading, then all that listen. What follows
/// is not read: tens of thousands of closed connections in it cost a busy machine more time than clients have.
fn listening(table: impl Iterator<Item = io::Result<String>>, address: SocketAddr) -> io::Result<usize> {
    let words = match address.ip() {
        IpAddr::V4(ip) => format!("{:08X}", u32::from_ne_bytes(ip.octets())),
        IpAddr::V6(ip) => {
            let word = |w: &[u8]| w.try_into().map_or(0, u32::from_ne_bytes);
            ip.octets().chunks(4).map(|w| format!("{:08X}", word(w))).collect()
        }
    };
    let wanted = format!("{words}:{:04X}", address.port());
    let mut count = 0;
    for line in table.skip(1) {
        let line = line?;
        let mut columns = line.split_whitespace().skip(1);
        let (local, state) = (columns.next(), columns.nth(1));
        if state != Some(LISTENING) {
            break;
        }
        count += usize::from(local == Some(&wanted));
    }
    Ok(count)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn count(table: &str, address: &str) -> usize {
        listening(table.lines().map(|l| Ok(l.to_owned())), address.parse().unwrap()).unwrap()
    }

    #[test]
    fn listening_sockets_are_counted_by_their_whole_address() {
        let table = "  sl  local_address rem_address   st\n\
            0: 0100007F:1F90 00000000:0000 0A 0\n\
            1: 0100007F:1F90 00000000:0000 0A 0\n\
            2: 0200007F:1F90 00000000:0000 0A 0\n\
            3: 0100007F:1F90 0100007F:8000 01 0\n";
        assert_eq!(count(table, "127.0.0.1:8080"), 2);
        assert_eq!(count(table, "127.0.0.1:8081"), 0);
        let table = "sl\n0: 00000000000000000000000001000000:1F90 0000:0000 0A\n";
        assert_eq!(count(table, "[::1]:8080"), 1);
    }

    #[test]
    fn what_does_not_listen_is_not_read() {
        let rows = ["sl", "0: 0100007F:1F90 00000000:0000 0A 0", "1: 0100007F:1F90 0100007F:8000 06 0"];
        let rows = rows.into_iter().map(|row| Ok(row.to_owned()));
        let table = rows.chain(std::iter::from_fn(|| panic!("read beyond those that listen")));
        assert_eq!(listening(table, "127.0.0.1:8080".parse().unwrap()).unwrap(), 1);
    }
}
