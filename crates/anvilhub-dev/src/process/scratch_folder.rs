use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::{env, fs, process};

use eyre::{Result, WrapErr};

/// A temporary folder for the files of one test. It is removed on drop.
#[derive(Debug)]
pub struct ScratchFolder {
    path: PathBuf,
}

impl ScratchFolder {
    /// Creates the folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the system's temporary folder is not writable.
    pub fn create() -> Result<Self> {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("anvilhub-test-{}-{count}", process::id()));
        fs::create_dir_all(&path).wrap_err_with(|| format!("cannot create {}", path.display()))?;
        Ok(Self { path })
    }

    /// Returns the path of a file in the folder.
    pub fn file_path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Writes a file and returns its path.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.file_path(name);
        fs::write(&path, text).wrap_err_with(|| format!("cannot write {}", path.display()))?;
        Ok(path)
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        // Files that cannot be removed are left to the cleanup of the system's temporary folder.
        let _ = fs::remove_dir_all(&self.path);
    }
}
