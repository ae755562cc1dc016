//! The file that holds a replica's journal.

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

/// An open journal; what was appended lasts once [`JournalFile::sync`] returned.
#[derive(Debug)]
pub struct JournalFile {
    folder: PathBuf,
    file: File,
    synced_bytes: u64,
}

fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}

impl JournalFile {
    /// Opens the journal in a folder, which is made if it is missing, and reads it back. A torn
    /// tail, which was never synced, is cut off.
    ///
    /// # Errors
    ///
    /// Returns what the system refused.
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

    /// Appends encoded records; they last after the next sync.
    ///
    /// # Errors
    ///
    /// Returns what the system refused; [`JournalFile::truncate_to_synced`] has to come next then.
    pub fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.file.write_all(bytes)
    }

    /// Makes everything appended last.
    ///
    /// # Errors
    ///
    /// Returns what the system refused; what lasts is unknown then and has to be written again
    /// behind [`JournalFile::truncate_to_synced`].
    pub fn sync(&mut self) -> std::io::Result<()> {
        self.file.sync_data()?;
        self.synced_bytes = self.file.metadata()?.len();
        Ok(())
    }

    /// Takes back everything since the last sync, after a write or a sync that failed.
    ///
    /// # Errors
    ///
    /// Returns what the system refused.
    pub fn truncate_to_synced(&mut self) -> std::io::Result<()> {
        self.file.set_len(self.synced_bytes)?;
        self.file.sync_all()
    }

    /// Replaces the whole journal, so that a crash leaves either the old or the new one. The old
    /// one is kept aside when it holds damage worth looking at.
    ///
    /// # Errors
    ///
    /// Returns what the system refused.
    pub fn rewrite(&mut self, records: &[Record]) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().for_each(|record| record.encode(&mut bytes));
        let (path, next) = (
            self.folder.join(JOURNAL_FILE),
            self.folder.join(NEXT_JOURNAL_FILE),
        );
        let mut file = File::create(&next)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&next, &path)?;
        sync_folder(&self.folder)?;
        self.file = OpenOptions::new().append(true).open(&path)?;
        self.synced_bytes = bytes.len() as u64;
        Ok(())
    }
}
