//! The Unix socket between the old and the new process of a node: packets with descriptors, and the path of the socket.

use laurelroute_core::retry_io::retry_interrupted;
use laurelroute_handover::message::{Message, MessageError, MAX_PACKET_BYTES, MAX_PACKET_DESCRIPTORS};
use rustix::net::{
    self, AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketFlags, SocketType,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use tokio::io::Interest;
use tokio::net::{UnixDatagram, UnixListener};

/// File kind of the socket on which the serving process awaits takeover requests.
pub(super) const SOCKET: &str = "sock";

/// Why communication between the two processes failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LinkError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("invalid packet: {0}")]
    Packet(#[from] MessageError),
    #[error("the other process has closed the connection")]
    Closed,
}

impl From<rustix::io::Errno> for LinkError {
    fn from(errno: rustix::io::Errno) -> Self {
        LinkError::Io(errno.into())
    }
}

/// A connection between the two processes. SOCK_SEQPACKET keeps packets and their descriptors together; tokio has no
/// type for it and polls it as a datagram socket.
pub(crate) struct Link(UnixDatagram);

impl Link {
    pub(super) fn new(socket: OwnedFd) -> io::Result<Link> {
        Ok(Link(UnixDatagram::from_std(socket.into())?))
    }

    /// Sends a packet without waiting; false where the socket's buffer is full.
    pub(super) fn try_send(
        &self,
        message: &Message,
        descriptors: &[BorrowedFd<'_>],
    ) -> Result<bool, LinkError> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PACKET_DESCRIPTORS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !descriptors.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(descriptors));
        }
        let packet = message.encode();
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        let sent = self.0.try_io(Interest::WRITABLE, || {
            retry_interrupted(|| Ok(net::sendmsg(&self.0, &[IoSlice::new(&packet)], &mut control, flags)?))
        });
        match sent {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    /// Sends a packet, waiting for room in the socket's buffer.
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

    /// Receives the next packet with its descriptors.
    pub(super) async fn receive(&self) -> Result<(Message, Vec<OwnedFd>), LinkError> {
        let read = || retry_interrupted(|| read_packet(&self.0));
        let (packet, descriptors) = self.0.async_io(Interest::READABLE, read).await?;
        decode_packet(packet, descriptors)
    }

    /// Process id of the peer, where the kernel reports one.
    pub(super) fn peer_pid(&self) -> Option<u32> {
        let credentials = net::sockopt::socket_peercred(&self.0).ok()?;
        u32::try_from(credentials.pid.as_raw_nonzero().get()).ok()
    }
}

/// Reads one packet and its descriptors without waiting.
fn read_packet(socket: impl AsFd) -> io::Result<(Vec<u8>, Vec<OwnedFd>)> {
    let mut packet = vec![0; MAX_PACKET_BYTES + 1];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PACKET_DESCRIPTORS))];
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

/// Decodes a packet; an empty one means that the peer has closed.
fn decode_packet(packet: Vec<u8>, descriptors: Vec<OwnedFd>) -> Result<(Message, Vec<OwnedFd>), LinkError> {
    match packet.len() {
        0 => Err(LinkError::Closed),
        _ => Ok((Message::decode(&packet)?, descriptors)),
    }
}

/// Queue on which the old process puts idle clients' connections and from which both processes can take them: the
/// kernel gives each to exactly one.
pub(super) struct IdleQueue {
    sender: Link,
    /// Receiving end, shared with the new process.
    pub(super) receiver: OwnedFd,
}

impl IdleQueue {
    pub(super) fn new() -> Result<IdleQueue, LinkError> {
        let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
        let (sender, receiver) = net::socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?;
        Ok(IdleQueue { sender: Link::new(sender)?, receiver })
    }

    /// Queues a client's connection; false where the queue is full.
    pub(super) fn push(&self, client: &Message, connection: BorrowedFd<'_>) -> bool {
        self.sender.try_send(client, &[connection]).unwrap_or(false)
    }

    /// Takes back the connections that the new process has not taken.
    pub(super) fn reclaim(&self) -> Vec<(Message, Vec<OwnedFd>)> {
        let next = || read_packet(&self.receiver).ok();
        std::iter::from_fn(next).filter_map(|(packet, clients)| decode_packet(packet, clients).ok()).collect()
    }
}

/// Path of a file shared by the processes of the node that listens on this address, in the folder that TMPDIR names;
/// `None` without such a folder.
pub(crate) fn runtime_path(listen: SocketAddr, kind: &str) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    let name =
        format!("laurelroute-{:016x}.{kind}", laurelroute_core::stable_hash(listen.to_string().as_bytes()));
    Some(Path::new(&folder).join(name))
}

/// The address of the socket file at `path`. The folder is opened and addressed through its descriptor, as a socket
/// address has room for only 107 bytes; it has to stay open while the address is used.
pub(super) fn socket_address(path: &Path) -> Result<(std::fs::File, SocketAddrUnix), LinkError> {
    let folder = std::fs::File::open(path.parent().unwrap_or(Path::new("/")))?;
    let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
    let descriptor = std::os::fd::AsRawFd::as_raw_fd(&folder);
    let short_path = format!("/proc/self/fd/{descriptor}/{name}");
    Ok((folder, SocketAddrUnix::new(short_path.as_str())?))
}

/// Creates an unconnected SOCK_SEQPACKET socket.
pub(super) fn socket() -> Result<OwnedFd, LinkError> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// A listening socket for takeover requests, and the file that it is bound to.
pub(super) struct RequestListener {
    pub(super) listener: UnixListener,
    path: PathBuf,
    /// Device and inode of the file.
    file: Option<(u64, u64)>,
}

impl RequestListener {
    /// Whether requests still come here: another process may have bound the path since.
    pub(super) fn owns_path(&self) -> bool {
        self.file.is_some() && file_id(&self.path) == self.file
    }
}

/// Device and inode of a file.
fn file_id(path: &Path) -> Option<(u64, u64)> {
    let metadata = std::fs::symlink_metadata(path).ok()?;
    Some((metadata.dev(), metadata.ino()))
}

/// Listens for takeover requests at `path`, replacing a socket file that is already there.
pub(super) fn bind(path: &Path) -> Result<RequestListener, LinkError> {
    let (_folder, address) = socket_address(path)?;
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e.into()),
        _ => {}
    }
    let socket = socket()?;
    net::bind(&socket, &address)?;
    net::listen(&socket, 4)?;
    let listener = UnixListener::from_std(socket.into())?;
    Ok(RequestListener { listener, path: path.to_owned(), file: file_id(path) })
}
