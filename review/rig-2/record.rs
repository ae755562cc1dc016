//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The record; clones share it.
#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of a case.
    pub fn create(folder: &Path) -> Result<Self, String> {
        let file = File::create(folder.join("record.txt")).map_err(|e| e.to_string())?;
        Ok(Self {
            inner: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        })
    }

    /// Writes one line.
    pub fn line<T>(&self, text: T)
    where
        T: AsRef<str>,
    {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.inner.lock().unwrap();
        // A record that can't be written shows by its missing lines.
        let _written = writeln!(file, "{at:8.3}  {}", text.as_ref());
    }
}
