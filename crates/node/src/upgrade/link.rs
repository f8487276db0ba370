//! The Unix socket between the two processes of a node: packets with descriptors, and where they find each other.

use laurelroute_core::retry_io::retried;
use laurelroute_handover::message::{Message, MessageError, MOST_DESCRIPTORS, MOST_PACKET};
use rustix::net::{
    self, AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketFlags, SocketType,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use tokio::io::Interest;
use tokio::net::{UnixDatagram, UnixListener};

/// The kind of the file where heirs find the process that serves.
pub(super) const SOCKET: &str = "sock";

/// Why the two processes do not speak.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LinkError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("a packet that cannot be read: {0}")]
    Packet(#[from] MessageError),
    #[error("the other process has closed")]
    Closed,
}

impl From<rustix::io::Errno> for LinkError {
    fn from(errno: rustix::io::Errno) -> Self {
        LinkError::Io(errno.into())
    }
}

/// A connection between the two. SOCK_SEQPACKET keeps packets and their descriptors together; the library, which has
/// no type for it, waits for it as it does for a datagram socket.
pub(crate) struct Link(UnixDatagram);

impl Link {
    pub(super) fn new(socket: OwnedFd) -> io::Result<Link> {
        Ok(Link(UnixDatagram::from_std(socket.into())?))
    }

    /// Sends a packet now; false where the other side has no room for it.
    pub(super) fn try_send(
        &self,
        message: &Message,
        descriptors: &[BorrowedFd<'_>],
    ) -> Result<bool, LinkError> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_DESCRIPTORS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !descriptors.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(descriptors));
        }
        let packet = message.encode();
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        let sent = self.0.try_io(Interest::WRITABLE, || {
            retried(|| Ok(net::sendmsg(&self.0, &[IoSlice::new(&packet)], &mut control, flags)?))
        });
        match sent {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    pub(super) async fn send(
        &self,
        message: &Message,
        descriptors: &[BorrowedFd<'_>],
    ) -> Result<(), LinkError> {
        while !self.try_send(message, descriptors)? {
            self.0.writable().await?;
        }
        Ok(())
    }

    /// The next packet with its descriptors.
    pub(super) async fn receive(&self) -> Result<(Message, Vec<OwnedFd>), LinkError> {
        let read = || retried(|| read_packet(&self.0));
        let (packet, descriptors) = self.0.async_io(Interest::READABLE, read).await?;
        read_message(packet, descriptors)
    }

    /// The process on the other side, where this machine names it.
    pub(super) fn peer(&self) -> Option<u32> {
        let credentials = net::sockopt::socket_peercred(&self.0).ok()?;
        u32::try_from(credentials.pid.as_raw_nonzero().get()).ok()
    }
}

fn read_packet(socket: impl AsFd) -> io::Result<(Vec<u8>, Vec<OwnedFd>)> {
    let mut packet = vec![0; MOST_PACKET + 1];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_DESCRIPTORS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
    let received = net::recvmsg(socket, &mut [IoSliceMut::new(&mut packet)], &mut control, flags)?;
    let rights = control.drain().filter_map(|m| match m {
        RecvAncillaryMessage::ScmRights(rights) => Some(rights),
        _ => None,
    });
    let descriptors = rights.flatten().collect();
    packet.truncate(received.bytes);
    Ok((packet, descriptors))
}

fn read_message(packet: Vec<u8>, descriptors: Vec<OwnedFd>) -> Result<(Message, Vec<OwnedFd>), LinkError> {
    match packet.len() {
        0 => Err(LinkError::Closed),
        _ => Ok((Message::decode(&packet)?, descriptors)),
    }
}

/// Where an elder puts down clients at rest, and both processes can pick them up: the kernel gives each to exactly one.
pub(super) struct Rest {
    put: Link,
    /// Also the heir's.
    pub(super) taken_from: OwnedFd,
}

impl Rest {
    pub(super) fn new() -> Result<Rest, LinkError> {
        let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
        let (put, taken_from) = net::socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?;
        Ok(Rest { put: Link::new(put)?, taken_from })
    }

    /// Puts a client down; false where there is no room.
    pub(super) fn put(&self, client: &Message, connection: BorrowedFd<'_>) -> bool {
        self.put.try_send(client, &[connection]).unwrap_or(false)
    }

    /// Those that the heir has not picked up.
    pub(super) fn reclaim(&self) -> Vec<(Message, Vec<OwnedFd>)> {
        let next = || read_packet(&self.taken_from).ok();
        std::iter::from_fn(next).filter_map(|(packet, clients)| read_message(packet, clients).ok()).collect()
    }
}

/// A file that the processes of the node that listens there share, in the folder that they share. Without one there is
/// no such place.
pub(crate) fn runtime_path(listen: SocketAddr, kind: &str) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    let name = format!("laurelroute-{:016x}.{kind}", laurelroute_core::mix(listen.to_string().as_bytes()));
    Some(Path::new(&folder).join(name))
}

/// The folder is opened, and the place named through its descriptor: a socket's address has room for 107 bytes.
pub(super) fn socket_address(place: &Path) -> Result<(std::fs::File, SocketAddrUnix), LinkError> {
    let folder = std::fs::File::open(place.parent().unwrap_or(Path::new("/")))?;
    let name = place.file_name().unwrap_or_default().to_string_lossy().into_owned();
    let descriptor = std::os::fd::AsRawFd::as_raw_fd(&folder);
    let short = format!("/proc/self/fd/{descriptor}/{name}");
    Ok((folder, SocketAddrUnix::new(short.as_str())?))
}

pub(super) fn socket() -> Result<OwnedFd, LinkError> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// Waits for heirs at that place, in the stead of whoever did so before.
pub(super) fn bind(place: &Path) -> Result<UnixListener, LinkError> {
    let (_folder, address) = socket_address(place)?;
    match std::fs::remove_file(place) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e.into()),
        _ => {}
    }
    let socket = socket()?;
    net::bind(&socket, &address)?;
    net::listen(&socket, 4)?;
    Ok(UnixListener::from_std(socket.into())?)
}
