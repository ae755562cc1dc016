//! The file of a replica's journal: opening, appending, syncing, truncating after a failed write,
//! and atomic replacement.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use dotterelrudder_control::read_journal;
use dotterelrudder_control::Record;
use dotterelrudder_control::Recovered;

const JOURNAL_FILE: &str = "journal";
const NEXT_JOURNAL_FILE: &str = "journal.next";

/// An open journal file; appended records are durable once [`JournalFile::sync`] has returned.
#[derive(Debug)]
pub struct JournalFile {
    folder: PathBuf,
    file: File,
    synced_bytes: u64,
}

fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Writes a new file and syncs it.
fn write_file(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

impl JournalFile {
    /// Opens the journal in a folder, which is created if it is missing, and reads the journal. A
    /// torn tail, which was never synced, is truncated; a journal with corrupt records stays as it
    /// is.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    pub fn open(folder: &Path) -> std::io::Result<(Self, Recovered)> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join(JOURNAL_FILE);
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(e),
        };
        let recovered = read_journal(&bytes);
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        if (recovered.valid_bytes as usize) < bytes.len() && !recovered.is_corrupt() {
            file.set_len(recovered.valid_bytes)?;
        }
        file.sync_all()?;
        sync_folder(folder)?;
        let synced_bytes = file.metadata()?.len();
        Ok((
            Self {
                folder: folder.into(),
                file,
                synced_bytes,
            },
            recovered,
        ))
    }

    /// Appends encoded records; they are durable after the next sync.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system; [`JournalFile::truncate_to_synced`] must be called
    /// next.
    pub fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.file.write_all(bytes)
    }

    /// Makes all appended records durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system. It is then unknown which of the records are durable:
    /// they must be appended again after [`JournalFile::truncate_to_synced`].
    pub fn sync(&mut self) -> std::io::Result<()> {
        self.file.sync_data()?;
        self.synced_bytes = self.file.metadata()?.len();
        Ok(())
    }

    /// Truncates the journal to its length at the last sync, after a failed write or sync.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    pub fn truncate_to_synced(&mut self) -> std::io::Result<()> {
        self.file.set_len(self.synced_bytes)?;
        self.file.sync_all()
    }

    /// Replaces the whole journal atomically: a crash leaves either the old or the new one.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    pub fn rewrite(&mut self, records: &[Record]) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().for_each(|record| record.encode(&mut bytes));
        let (path, next) = (
            self.folder.join(JOURNAL_FILE),
            self.folder.join(NEXT_JOURNAL_FILE),
        );
        if let Err(e) = write_file(&next, &bytes) {
            // A part of the new journal would keep the room that the old one needs.
            let _missing = std::fs::remove_file(&next).is_err();
            return Err(e);
        }
        std::fs::rename(&next, &path)?;
        sync_folder(&self.folder)?;
        self.file = OpenOptions::new().append(true).open(&path)?;
        self.synced_bytes = bytes.len() as u64;
        Ok(())
    }
}
