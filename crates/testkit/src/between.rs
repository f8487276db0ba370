//! Between the two processes of a takeover: their Unix socket goes through here, and either may stop hearing the other.
//!
//! Packets are held and not lost, as the kernel loses none: to whoever speaks it is a peer that does not read.

use crate::silence::Who;
use crate::{lock, until};
use rustix::net::{
    self, AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, Shutdown, SocketAddrUnix, SocketFlags, SocketType,
};
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// No packet is longer, and none has more descriptors.
const MOST_BYTES: usize = 64 * 1024;
const MOST_DESCRIPTORS: usize = 16;

/// Whether each side is deaf, the elder first; told to those who carry.
#[derive(Debug, Default)]
struct Deaf {
    sides: Mutex<[bool; 2]>,
    changed: Condvar,
}

impl Deaf {
    fn wait_until_heard(&self, side: Who) {
        let mut sides = lock(&self.sides);
        while sides[side as usize] {
            sides = self.changed.wait(sides).unwrap_or_else(std::sync::PoisonError::into_inner);
        }
    }
}

/// The way between the process that serves and the next one that starts.
#[derive(Debug)]
pub struct Between {
    deaf: Arc<Deaf>,
}

fn seqpacket() -> OwnedFd {
    net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)
        .expect("a socket")
}

fn address(place: &Path) -> SocketAddrUnix {
    SocketAddrUnix::new(place).expect("a place short enough for a socket")
}

/// Where the only node that has this folder waits for an heir.
fn place(folder: &Path) -> Option<PathBuf> {
    let files = std::fs::read_dir(folder).ok()?.filter_map(|entry| Some(entry.ok()?.path()));
    files.into_iter().find(|path| path.extension().is_some_and(|e| e == "sock"))
}

impl Between {
    /// Steps between the process that waits there and its next heir. Whoever comes after that one finds it directly.
    pub fn step(folder: &Path) -> Between {
        until("the process waits for an heir", || place(folder).is_some());
        let place = place(folder).expect("it was there");
        let elder = place.with_extension("elder");
        std::fs::rename(&place, &elder).expect("the socket can be moved");
        let door = seqpacket();
        net::bind(&door, &address(&place)).expect("a socket can be bound there");
        net::listen(&door, 1).expect("it can listen");
        let deaf = Arc::<Deaf>::default();
        let shared = deaf.clone();
        thread::spawn(move || {
            let Ok(heir) = net::accept(&door) else { return };
            let up = seqpacket();
            if net::connect(&up, &address(&elder)).is_err() {
                return;
            }
            let (heir, up) = (Arc::new(heir), Arc::new(up));
            let (to, from, other) = (up.clone(), heir.clone(), shared.clone());
            thread::spawn(move || carry(&from, &to, Who::Elder, &other));
            carry(&up, &heir, Who::Heir, &shared);
        });
        Between { deaf }
    }

    /// From now on this side hears nothing, until it does again; what is said meanwhile it hears then.
    pub fn deafen(&self, side: Who, deaf: bool) {
        lock(&self.deaf.sides)[side as usize] = deaf;
        self.deaf.changed.notify_all();
    }
}

impl Drop for Between {
    fn drop(&mut self) {
        // Those who carry go on, and end with the processes.
        [Who::Elder, Who::Heir].into_iter().for_each(|side| self.deafen(side, false));
    }
}

/// Carries packets with their descriptors to that side until either end has closed.
fn carry(from: impl AsFd, to: impl AsFd, side: Who, deaf: &Deaf) {
    let mut packet = vec![0; MOST_BYTES];
    loop {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_DESCRIPTORS))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let flags = RecvFlags::CMSG_CLOEXEC;
        let Ok(got) = net::recvmsg(&from, &mut [IoSliceMut::new(&mut packet)], &mut control, flags) else {
            break;
        };
        let rights = control.drain().filter_map(|m| match m {
            RecvAncillaryMessage::ScmRights(rights) => Some(rights),
            _ => None,
        });
        let descriptors: Vec<OwnedFd> = rights.flatten().collect();
        deaf.wait_until_heard(side);
        if got.bytes == 0 {
            break;
        }
        let borrowed: Vec<_> = descriptors.iter().map(AsFd::as_fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_DESCRIPTORS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !borrowed.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(&borrowed));
        }
        let bytes = [IoSlice::new(&packet[..got.bytes])];
        if net::sendmsg(&to, &bytes, &mut control, SendFlags::NOSIGNAL).is_err() {
            break;
        }
    }
    // The other process sees that this one has gone.
    let _ = net::shutdown(&to, Shutdown::Both);
    let _ = net::shutdown(&from, Shutdown::Both);
}
