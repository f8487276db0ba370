//! The file format of the operators' bans, which a process reads at its start when no other process runs that it could
//! ask.
//!
//! One header line with a magic name, the version and a checksum of the rest of the file, then the records as JSON. A
//! file is used in full or not at all: a truncated one may lack the record that restored a server, or the one that
//! banned it.

use crate::bans::{BanRecord, MAX_NAME_BYTES, MAX_RECORDS};

/// Version of the format; raised when an older program could not read the new one.
pub const VERSION: u32 = 1;
/// The longest file in bytes: the most records with the longest names, each byte of them escaped.
pub const MAX_FILE_BYTES: usize = 64 + MAX_RECORDS * (6 * MAX_NAME_BYTES + 128);
const MAGIC: &str = "laurelroute-bans";

/// Why a file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The file exceeds [`MAX_FILE_BYTES`].
    #[error("longer than {MAX_FILE_BYTES} bytes")]
    TooLong,
    /// The header line is not that of a file of bans.
    #[error("not a file of bans")]
    NotBansFile,
    /// The file has a version that this program does not support.
    #[error("unsupported version {0}, expected {VERSION}")]
    UnsupportedVersion(u32),
    /// The file is truncated or corrupted.
    #[error("checksum mismatch: expected {expected:08x}, got {actual:08x}")]
    ChecksumMismatch {
        /// The checksum in the header line.
        expected: u32,
        /// The checksum of the content.
        actual: u32,
    },
    /// The checksum matches, but the content is not a list of records.
    #[error("malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// More records than [`MAX_RECORDS`], or a name that is empty or longer than [`MAX_NAME_BYTES`].
    #[error("more than {MAX_RECORDS} servers, or a name of more than {MAX_NAME_BYTES} bytes")]
    LimitExceeded,
}

/// Encodes records as a file.
pub fn encode<'a>(records: impl IntoIterator<Item = &'a BanRecord>) -> Vec<u8> {
    let records: Vec<_> = records.into_iter().collect();
    // Serialization of strings, numbers and booleans cannot fail.
    let body = serde_json::to_vec(&records).unwrap_or_default();
    let mut file = format!("{MAGIC} {VERSION} {:08x}\n", crc32fast::hash(&body)).into_bytes();
    file.extend_from_slice(&body);
    file
}

/// Decodes a file's records.
pub fn decode(file: &[u8]) -> Result<Vec<BanRecord>, LedgerError> {
    if file.len() > MAX_FILE_BYTES {
        return Err(LedgerError::TooLong);
    }
    let header_end = file.iter().position(|b| *b == b'\n').ok_or(LedgerError::NotBansFile)?;
    let (header, body) = (&file[..header_end], &file[header_end + 1..]);
    let mut fields = std::str::from_utf8(header).map_err(|_| LedgerError::NotBansFile)?.split(' ');
    let (magic, version, checksum) = (fields.next(), fields.next(), fields.next());
    let version = version.and_then(|v| v.parse::<u32>().ok());
    let (Some(MAGIC), Some(version), Some(checksum)) = (magic, version, checksum) else {
        return Err(LedgerError::NotBansFile);
    };
    if version != VERSION {
        return Err(LedgerError::UnsupportedVersion(version));
    }
    let expected = u32::from_str_radix(checksum, 16).map_err(|_| LedgerError::NotBansFile)?;
    let actual = crc32fast::hash(body);
    if expected != actual {
        return Err(LedgerError::ChecksumMismatch { expected, actual });
    }
    let records: Vec<BanRecord> = serde_json::from_slice(body)?;
    let within_limits =
        records.len() <= MAX_RECORDS && records.iter().all(|r| (1..=MAX_NAME_BYTES).contains(&r.host.len()));
    within_limits.then_some(records).ok_or(LedgerError::LimitExceeded)
}
