//! The shim that makes system calls of one process fail: built from C with the machine's compiler, loaded with
//! `LD_PRELOAD`.

use std::fmt::Write as _;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Why there is no shim.
#[derive(Debug, thiserror::Error)]
pub enum ShimError {
    /// The compiler cannot be run.
    #[error("cc: {0}")]
    Compiler(#[from] io::Error),
    /// It does not take the source.
    #[error("cc failed: {0}")]
    Source(String),
}

/// What fails in a process, as chances per call. See `shim/faults.c`.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Shim {
    knobs: Vec<(String, f64)>,
}

impl Shim {
    /// The same with one more knob set.
    pub fn with(mut self, name: &str, value: f64) -> Shim {
        self.knobs.push((name.to_owned(), value));
        self
    }

    /// Nothing fails.
    pub fn is_empty(&self) -> bool {
        self.knobs.is_empty()
    }

    /// The environment of a process under this shim.
    pub fn environment(&self, library: &Path) -> Vec<(String, String)> {
        let mut text = String::new();
        for (name, value) in &self.knobs {
            // Writing to a string cannot fail.
            let _ = write!(text, "{name}={value};");
        }
        vec![("LD_PRELOAD".to_owned(), library.display().to_string()), ("SOAK_SHIM".to_owned(), text)]
    }
}

/// The library that all tests of a process share, built below this folder.
pub fn shared(folder: &Path) -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let own = folder.join(format!("shim-{}", std::process::id()));
        std::fs::create_dir_all(&own).expect("a folder can be made");
        build(&own).expect("the shim can be built")
    })
}

/// Builds the library in a folder; gives its path.
pub fn build(folder: &Path) -> Result<PathBuf, ShimError> {
    let source = folder.join("faults.c");
    let library = folder.join("faults.so");
    std::fs::write(&source, include_str!("../../shim/faults.c"))?;
    let built =
        Command::new("cc").args(["-O1", "-shared", "-fPIC", "-o"]).arg(&library).arg(&source).output()?;
    match built.status.success() {
        true => Ok(library),
        false => Err(ShimError::Source(String::from_utf8_lossy(&built.stderr).into_owned())),
    }
}
