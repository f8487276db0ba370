//! The file format of a store: one line with the format's name, its version and a checksum of the rest, and then the
//! entries. A file is read completely or rejected.

use crate::entry::{Entry, Key};
use crate::store::{Store, MAX_ENTRIES};

/// Format version. It is raised when programs could not read files of the other version.
pub const VERSION: u32 = 1;
/// Maximum size of a file in bytes.
pub const MAX_FILE_BYTES: usize = 16 * 1024 * 1024;
const FORMAT_NAME: &str = "laurelroute-replica";

/// Why a file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file is too long.
    #[error("longer than {MAX_FILE_BYTES} bytes")]
    TooLong,
    /// The file has another format.
    #[error("not a replica file")]
    UnknownFormat,
    /// The file has an unsupported version.
    #[error("version {0} is not supported, this program reads {VERSION}")]
    Version(u32),
    /// The file is truncated or corrupt.
    #[error("checksum mismatch: expected {expected:08x}, got {actual:08x}")]
    ChecksumMismatch {
        /// The checksum in the first line.
        expected: u32,
        /// The checksum of the entries.
        actual: u32,
    },
    /// The checksum is right, but the entries cannot be decoded.
    #[error("malformed: {0}")]
    Malformed(#[from] postcard::Error),
    /// There are more entries than a store holds, or an invalid one.
    #[error("more than {MAX_ENTRIES} entries of a kind, or an invalid one")]
    LimitExceeded,
}

/// Encodes a store as a file.
pub fn encode(store: &Store) -> Vec<u8> {
    let entries: Vec<_> = store.entries().collect();
    // Encoding entries cannot fail.
    let body = postcard::to_allocvec(&entries).unwrap_or_default();
    let mut file = format!("{FORMAT_NAME} {VERSION} {:08x}\n", crc32fast::hash(&body)).into_bytes();
    file.extend_from_slice(&body);
    file
}

/// Decodes the entries of a file.
pub fn decode(file: &[u8]) -> Result<Vec<(Key, Entry)>, FileError> {
    if file.len() > MAX_FILE_BYTES {
        return Err(FileError::TooLong);
    }
    let header_end = file.iter().position(|b| *b == b'\n').ok_or(FileError::UnknownFormat)?;
    let (header, body) = (&file[..header_end], &file[header_end + 1..]);
    let mut fields = std::str::from_utf8(header).map_err(|_| FileError::UnknownFormat)?.split(' ');
    let (name, version, checksum) = (fields.next(), fields.next(), fields.next());
    let (Some(FORMAT_NAME), Some(Ok(version)), Some(checksum)) =
        (name, version.map(str::parse::<u32>), checksum)
    else {
        return Err(FileError::UnknownFormat);
    };
    if version != VERSION {
        return Err(FileError::Version(version));
    }
    let expected = u32::from_str_radix(checksum, 16).map_err(|_| FileError::UnknownFormat)?;
    let actual = crc32fast::hash(body);
    if expected != actual {
        return Err(FileError::ChecksumMismatch { expected, actual });
    }
    let entries: Vec<(Key, Entry)> = postcard::from_bytes(body)?;
    let valid = entries.len() <= 2 * MAX_ENTRIES
        && entries.iter().all(|(key, entry)| key.is_valid() && entry.is_valid_for(key));
    valid.then_some(entries).ok_or(FileError::LimitExceeded)
}
