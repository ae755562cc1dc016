//! The journal file after failed writes and syncs.

use std::path::PathBuf;

use dotterelrudder_control::Record;
use dotterelrudder_daemon::control::JournalFile;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    // An aborted run may have left the folder behind.
    let _missing = std::fs::remove_dir_all(&folder).is_err();
    folder
}

fn record(term: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    Record::HardState { term, voted_for: 1 }.encode(&mut bytes);
    bytes
}

/// Guards against a partial record in the middle of the journal: a failed write leaves its first
/// bytes in the file. They must be truncated before the next append, since otherwise the next
/// records follow a torn record and are read back as damage.
#[test]
fn a_failed_write_leaves_no_partial_record() {
    let folder = folder("journal-refused");
    let (mut journal, _) = JournalFile::open(&folder).unwrap();
    journal.append(&record(3)).unwrap();
    journal.sync().unwrap();
    let half = &record(4)[..5];
    journal.append(half).unwrap();
    journal.truncate_to_synced().unwrap();
    journal.append(&record(5)).unwrap();
    journal.sync().unwrap();
    drop(journal);
    let (_, recovered) = JournalFile::open(&folder).unwrap();
    assert!(recovered.damage.is_none(), "{:?}", recovered.damage);
    assert_eq!(recovered.term, 5);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Guards against the loss of synced records: truncation after a failed write must keep all records
/// up to the last sync, and all records of a rewritten journal.
#[test]
fn truncation_keeps_synced_records() {
    let folder = folder("journal-synced");
    let (mut journal, _) = JournalFile::open(&folder).unwrap();
    journal.append(&record(3)).unwrap();
    journal.sync().unwrap();
    journal.truncate_to_synced().unwrap();
    let records = [Record::HardState {
        term: 6,
        voted_for: 1,
    }];
    journal.rewrite(&records).unwrap();
    journal.truncate_to_synced().unwrap();
    drop(journal);
    let (_, recovered) = JournalFile::open(&folder).unwrap();
    assert_eq!(recovered.term, 6);
    std::fs::remove_dir_all(&folder).unwrap();
}
