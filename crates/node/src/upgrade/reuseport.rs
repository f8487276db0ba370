//! Routes new connections to one of two processes that share an address by SO_REUSEPORT.
//!
//! The kernel distributes connections over the group's sockets by a hash. If one of the processes is stopped, half of
//! the connections would wait in its queue. A classic BPF program that returns a constant selects the socket with
//! that index in the group instead (SO_ATTACH_REUSEPORT_CBPF, socket(7)). An index outside the group falls back to
//! the hash.

use nix::libc::{sock_filter, sock_fprog, BPF_K, BPF_RET};
use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::{IpAddr, SocketAddr};
use std::os::fd::AsFd;

/// State of a listening socket in the kernel's tables.
const STATE_LISTEN: &str = "0A";

/// Routes all new connections to the socket that was the last to listen on the address. The group is ordered by when
/// its sockets started to listen.
pub(super) fn route_to_newest(socket: impl AsFd, address: SocketAddr) -> io::Result<()> {
    let table = if address.is_ipv4() { "/proc/self/net/tcp" } else { "/proc/self/net/tcp6" };
    let sockets = count_listening(BufReader::new(File::open(table)?).lines(), address)?;
    let index = u32::try_from(sockets.saturating_sub(1)).map_err(io::Error::other)?;
    let code = u16::try_from(BPF_RET | BPF_K).map_err(io::Error::other)?;
    let mut program = [sock_filter { code, jt: 0, jf: 0, k: index }];
    let program = sock_fprog { len: 1, filter: program.as_mut_ptr() };
    Ok(setsockopt(&socket, AttachReusePortCbpf, &program)?)
}

/// Counts the sockets that listen on the address, in a table in the format of proc(5): a header, then all listening
/// sockets. The rest is not read: with tens of thousands of closed connections, reading it on a busy machine took
/// longer than clients wait.
fn count_listening(
    table: impl Iterator<Item = io::Result<String>>,
    address: SocketAddr,
) -> io::Result<usize> {
    let ip_hex = match address.ip() {
        IpAddr::V4(ip) => format!("{:08X}", u32::from_ne_bytes(ip.octets())),
        IpAddr::V6(ip) => {
            let to_u32 = |bytes: &[u8]| bytes.try_into().map_or(0, u32::from_ne_bytes);
            ip.octets().chunks(4).map(|bytes| format!("{:08X}", to_u32(bytes))).collect()
        }
    };
    let wanted = format!("{ip_hex}:{:04X}", address.port());
    let mut count = 0;
    for line in table.skip(1) {
        let line = line?;
        let mut columns = line.split_whitespace().skip(1);
        let (local, state) = (columns.next(), columns.nth(1));
        if state != Some(STATE_LISTEN) {
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
        count_listening(table.lines().map(|l| Ok(l.to_owned())), address.parse().unwrap()).unwrap()
    }

    #[test]
    fn listening_sockets_are_counted_by_address_and_port() {
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
    fn reading_stops_after_the_listening_sockets() {
        let rows = ["sl", "0: 0100007F:1F90 00000000:0000 0A 0", "1: 0100007F:1F90 0100007F:8000 06 0"];
        let rows = rows.into_iter().map(|row| Ok(row.to_owned()));
        let table = rows.chain(std::iter::from_fn(|| panic!("read beyond the listening sockets")));
        assert_eq!(count_listening(table, "127.0.0.1:8080".parse().unwrap()).unwrap(), 1);
    }
}
