//! Small files that are read whole and replaced atomically.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::Path;

/// Reads at most `max_bytes + 1` bytes of a file: enough to detect that it is too long.
pub(crate) fn read_bounded(path: &Path, max_bytes: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Replaces a file's contents. A reader finds either the old contents or the new ones, also after a crash.
pub(crate) fn replace_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension(format!("{}-{}", extension(path), std::process::id()));
    let written = write(&temporary, bytes).and_then(|()| fs::rename(&temporary, path));
    if written.is_err() {
        let _ = fs::remove_file(&temporary);
    }
    written?;
    // The rename is durable only after the directory has been synced.
    path.parent().map_or(Ok(()), |directory| File::open(directory)?.sync_all())
}

/// Renames a corrupt file so that it is kept for inspection, and logs its new name.
pub(crate) fn quarantine(path: &Path) {
    let quarantined = path.with_extension(format!("{}-unsound", extension(path)));
    match fs::rename(path, &quarantined) {
        Ok(()) => tracing::warn!("the corrupt file was renamed to {}", quarantined.display()),
        Err(error) => tracing::warn!("the corrupt file cannot be renamed: {error}"),
    }
}

fn extension(path: &Path) -> String {
    path.extension().unwrap_or_default().to_string_lossy().into_owned()
}

fn write(temporary: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(temporary)?;
    file.write_all(bytes)?;
    file.sync_all()
}
