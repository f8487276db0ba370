//! Small files that are read and replaced as a whole.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::Path;

/// A file's bytes, one more than `most` at most: enough to see that it is longer.
pub(crate) fn read(path: &Path, most: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(most as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Puts these bytes in a file's place. Whoever reads finds the former file or the new one, also after a crash.
pub(crate) fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let draft = path.with_extension(format!("{}-{}", kind(path), std::process::id()));
    let written = write(&draft, bytes).and_then(|()| fs::rename(&draft, path));
    if written.is_err() {
        let _ = fs::remove_file(&draft);
    }
    written?;
    // The name is on the disk once its folder is.
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}

/// Keeps a file that is not sound beside its place, and says so.
pub(crate) fn set_aside(path: &Path) {
    let aside = path.with_extension(format!("{}-unsound", kind(path)));
    match fs::rename(path, &aside) {
        Ok(()) => tracing::warn!("it is kept as {}", aside.display()),
        Err(error) => tracing::warn!("it cannot be set aside: {error}"),
    }
}

fn kind(path: &Path) -> String {
    path.extension().unwrap_or_default().to_string_lossy().into_owned()
}

fn write(draft: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(draft)?;
    file.write_all(bytes)?;
    file.sync_all()
}
