//! Temporary folder for the files of one test.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

static COUNT: AtomicU32 = AtomicU32::new(0);

/// Temporary folder that is removed on drop.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Creates an empty folder with a name unique to this process and call.
    pub fn new() -> Self {
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("poplarvale-test-{}-{count}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("the temporary folder is created");
        Self(path)
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("the file is written");
        path
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Default for Folder {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that cannot be removed only takes disk space.
        let _ = fs::remove_dir_all(&self.0);
    }
}
