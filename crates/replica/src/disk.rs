//! A copy in a file: one line that names what it is, with a checksum of all that follows, and the entries. A file is believed
//! whole or not at all.

use crate::entry::{Entry, Key};
use crate::store::{Store, MAX_ENTRIES};

/// Raised when a program could not understand a file of another version.
pub const VERSION: u32 = 1;
/// The longest file in bytes.
pub const MAX_FILE_BYTES: usize = 16 * 1024 * 1024;
const NAME: &str = "laurelroute-replica";

/// Why a file is not believed.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// Longer than any.
    #[error("longer than {MAX_FILE_BYTES} bytes")]
    Long,
    /// Something else stands in its place.
    #[error("no copy of what the fleet knows")]
    Foreign,
    /// Written by a program that this one does not understand.
    #[error("of version {0}, where this program knows {VERSION}")]
    Version(u32),
    /// Cut off, or changed on the disk.
    #[error("torn: its checksum is {found:08x}, and {named:08x} is named")]
    Torn {
        /// What its first line says.
        named: u32,
        /// What it has.
        found: u32,
    },
    /// Its checksum holds, and yet it says what cannot be.
    #[error("malformed: {0}")]
    Malformed(#[from] postcard::Error),
    /// More, or larger, than is ever held.
    #[error("more than {MAX_ENTRIES} entries of a kind, or one that cannot be")]
    Beyond,
}

/// A file of this copy.
pub fn encode(store: &Store) -> Vec<u8> {
    let entries: Vec<_> = store.entries().collect();
    // Entries can always be written.
    let body = postcard::to_allocvec(&entries).unwrap_or_default();
    let mut file = format!("{NAME} {VERSION} {:08x}\n", crc32fast::hash(&body)).into_bytes();
    file.extend_from_slice(&body);
    file
}

/// The entries in a file.
pub fn decode(file: &[u8]) -> Result<Vec<(Key, Entry)>, FileError> {
    if file.len() > MAX_FILE_BYTES {
        return Err(FileError::Long);
    }
    let end = file.iter().position(|b| *b == b'\n').ok_or(FileError::Foreign)?;
    let (first, body) = (&file[..end], &file[end + 1..]);
    let mut words = std::str::from_utf8(first).map_err(|_| FileError::Foreign)?.split(' ');
    let (name, version, sum) = (words.next(), words.next(), words.next());
    let (Some(NAME), Some(Ok(version)), Some(sum)) = (name, version.map(str::parse::<u32>), sum) else {
        return Err(FileError::Foreign);
    };
    if version != VERSION {
        return Err(FileError::Version(version));
    }
    let named = u32::from_str_radix(sum, 16).map_err(|_| FileError::Foreign)?;
    let found = crc32fast::hash(body);
    if named != found {
        return Err(FileError::Torn { named, found });
    }
    let entries: Vec<(Key, Entry)> = postcard::from_bytes(body)?;
    let sound = entries.len() <= 2 * MAX_ENTRIES
        && entries.iter().all(|(key, entry)| key.is_valid() && entry.is_valid_for(key));
    sound.then_some(entries).ok_or(FileError::Beyond)
}
