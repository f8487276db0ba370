//! The table in which all processes of a node claim request ids: a file of fixed size, which a process finds by its path
//! without the help of another one, and which outlives each of them.
//!
//! The table is an array of buckets, and an id belongs to one bucket. A claim locks its bucket, so that of two processes
//! that claim the same id one is first. The kernel releases the locks of a process that ends. A stopped process may hold
//! the lock of one bucket: the ids of that bucket can then not be claimed ([`TableError::Locked`]).

use crate::clock::Clock;
use laurelroute_policy::interface::Nanos;
use nix::errno::Errno;
use nix::fcntl::{fallocate, fcntl, FallocateFlags, FcntlArg};
use nix::libc;
use nix::time::{clock_gettime, ClockId};
use std::cell::Cell;
use std::fs::File;
use std::io;
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::Path;

/// Bytes of an entry: the id and its expiry time, little-endian. An id of 0 marks a free entry. The lowest bit of the time
/// is set once the request has ended.
const ENTRY_BYTES: usize = 16;
const BUCKET_ENTRIES: usize = 16;
const BUCKET_BYTES: usize = ENTRY_BYTES * BUCKET_ENTRIES;
const BUCKETS: u64 = 2048;
const TABLE_BYTES: u64 = BUCKETS * BUCKET_BYTES as u64;
/// The longest time that a claim may last. An entry that expires later is left over from before a restart of the
/// machine, at which the monotonic clock starts again.
const MAX_CLAIM_TIME: Nanos = 900_000_000_000;
/// How long the ends of requests are recorded after a bucket was found half full. Only a full bucket needs to know them.
const CROWDED_TIME: Nanos = 4_000_000_000;
/// Attempts to lock a bucket. Other processes hold it for a few microseconds.
const LOCK_ATTEMPTS: u32 = 100;

/// Why a claim cannot be recorded.
#[derive(Debug, thiserror::Error)]
pub enum TableError {
    /// All entries of the id's bucket are in use.
    #[error("the table is full")]
    Full,
    /// Another process holds the lock of the id's bucket and does not run.
    #[error("the table is locked")]
    Locked,
    /// The system has reported an error.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// The table of the node's request ids.
#[derive(Debug)]
pub struct IdTable {
    file: File,
    /// What the node's clock is ahead of the system's monotonic clock, which all processes share.
    clock_offset: i64,
    /// Until when the ends of requests are recorded.
    crowded_until: Cell<Nanos>,
}

/// The bit of an expiry time that marks a request that has ended.
const ENDED: Nanos = 1;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Entry {
    id: u64,
    /// On the system's monotonic clock.
    expires_at: Nanos,
}

impl Entry {
    fn decode(bytes: &[u8]) -> Entry {
        let number = |part: &[u8]| part.try_into().map_or(0, u64::from_le_bytes);
        let (id, expires_at) = bytes.split_at(ENTRY_BYTES / 2);
        Entry { id: number(id), expires_at: number(expires_at) }
    }

    fn encode(self) -> [u8; ENTRY_BYTES] {
        let mut bytes = [0; ENTRY_BYTES];
        bytes[..ENTRY_BYTES / 2].copy_from_slice(&self.id.to_le_bytes());
        bytes[ENTRY_BYTES / 2..].copy_from_slice(&self.expires_at.to_le_bytes());
        bytes
    }

    fn is_in_use(&self, now: Nanos) -> bool {
        self.id != 0 && self.expires_at > now && self.expires_at - now <= MAX_CLAIM_TIME
    }

    fn has_ended(&self) -> bool {
        self.expires_at & ENDED != 0
    }
}

impl IdTable {
    /// Opens the table at this path, and creates it if there is none. All of its space is reserved, so that a full disk
    /// affects no later claim.
    pub fn open(path: &Path, clock: Clock) -> io::Result<IdTable> {
        let mut options = File::options();
        let file = options.read(true).write(true).create(true).truncate(false).mode(0o600).open(path)?;
        let length = libc::off_t::try_from(TABLE_BYTES).map_err(io::Error::other)?;
        fallocate(&file, FallocateFlags::empty(), 0, length)?;
        let clock_offset = clock.now().wrapping_sub(monotonic_time()?) as i64;
        Ok(IdTable { file, clock_offset, crowded_until: Cell::new(0) })
    }

    /// Claims an id until a time on the node's clock; returns false if it is in use. In a full bucket the claim takes the
    /// place of a request that has ended: however many new ids come, none of an open request is forgotten.
    pub fn claim(&self, clock: Clock, id: u64, until: Nanos) -> Result<bool, TableError> {
        let (now, id) = (self.monotonic(clock.now()), stored_id(id));
        let expires_at = self.monotonic(until).min(now.saturating_add(MAX_CLAIM_TIME));
        let bucket = self.lock_bucket(id)?;
        let entries = bucket.read()?;
        if entries.iter().any(|entry| entry.id == id && entry.is_in_use(now)) {
            return Ok(false);
        }
        if entries.iter().filter(|entry| entry.is_in_use(now)).count() >= BUCKET_ENTRIES / 2 {
            self.crowded_until.set(now + CROWDED_TIME);
        }
        let free = entries.iter().position(|entry| !entry.is_in_use(now));
        let ended = || {
            let ended = entries.iter().enumerate().filter(|(_, entry)| entry.has_ended());
            ended.min_by_key(|(_, entry)| entry.expires_at).map(|(index, _)| index)
        };
        let index = free.or_else(ended).ok_or(TableError::Full)?;
        bucket.write(index, Entry { id, expires_at: expires_at & !ENDED })?;
        Ok(true)
    }

    /// Whether the ends of requests have to be recorded.
    pub fn is_crowded(&self, clock: Clock) -> bool {
        self.monotonic(clock.now()) < self.crowded_until.get()
    }

    /// Records that the request of an id that this process has claimed has ended, and until when on the node's clock the
    /// id stays in use; a time that has passed releases it.
    pub fn end(&self, clock: Clock, id: u64, until: Nanos) -> Result<(), TableError> {
        let (now, id) = (self.monotonic(clock.now()), stored_id(id));
        let bucket = self.lock_bucket(id)?;
        let entries = bucket.read()?;
        if let Some(index) = entries.iter().position(|entry| entry.id == id && entry.is_in_use(now)) {
            bucket.write(index, Entry { id, expires_at: self.monotonic(until) | ENDED })?;
        }
        Ok(())
    }

    /// Converts a time on the node's clock.
    fn monotonic(&self, at: Nanos) -> Nanos {
        at.saturating_sub_signed(self.clock_offset)
    }

    fn lock_bucket(&self, id: u64) -> Result<LockedBucket<'_>, TableError> {
        let bucket = LockedBucket { file: &self.file, offset: id % BUCKETS * BUCKET_BYTES as u64 };
        for _ in 0..LOCK_ATTEMPTS {
            match bucket.set_lock(libc::F_WRLCK) {
                Ok(()) => return Ok(bucket),
                Err(Errno::EAGAIN | Errno::EACCES) => std::thread::yield_now(),
                Err(Errno::EINTR) => {}
                Err(error) => return Err(io::Error::from(error).into()),
            }
        }
        Err(TableError::Locked)
    }
}

/// A bucket of which this process holds the lock until it is dropped.
struct LockedBucket<'a> {
    file: &'a File,
    offset: u64,
}

impl LockedBucket<'_> {
    fn set_lock(&self, kind: libc::c_int) -> Result<(), Errno> {
        // Locks of the open file: several processes of one node never share that.
        let lock = libc::flock {
            l_type: kind as libc::c_short,
            l_whence: libc::SEEK_SET as libc::c_short,
            l_start: self.offset as libc::off_t,
            l_len: BUCKET_BYTES as libc::off_t,
            l_pid: 0,
        };
        fcntl(self.file, FcntlArg::F_OFD_SETLK(&lock)).map(drop)
    }

    fn read(&self) -> io::Result<[Entry; BUCKET_ENTRIES]> {
        let mut bytes = [0; BUCKET_BYTES];
        self.file.read_exact_at(&mut bytes, self.offset)?;
        let mut entries = [Entry::default(); BUCKET_ENTRIES];
        for (entry, bytes) in entries.iter_mut().zip(bytes.chunks_exact(ENTRY_BYTES)) {
            *entry = Entry::decode(bytes);
        }
        Ok(entries)
    }

    fn write(&self, index: usize, entry: Entry) -> io::Result<()> {
        self.file.write_all_at(&entry.encode(), self.offset + (index * ENTRY_BYTES) as u64)
    }
}

impl Drop for LockedBucket<'_> {
    fn drop(&mut self) {
        // Without a lock, this changes nothing.
        let _ = self.set_lock(libc::F_UNLCK);
    }
}

/// The id as it is stored: 0 stands for a free entry.
fn stored_id(id: u64) -> u64 {
    id.max(1)
}

fn monotonic_time() -> io::Result<Nanos> {
    let time = clock_gettime(ClockId::CLOCK_MONOTONIC)?;
    Ok(time.tv_sec() as Nanos * 1_000_000_000 + time.tv_nsec() as Nanos)
}
