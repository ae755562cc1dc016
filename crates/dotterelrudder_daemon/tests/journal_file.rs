//! The journal file after a failed write.

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

/// A failed write may leave part of a record in the file. It has to be truncated, or recovery would
/// report the records written after it as damage behind a torn record.
#[test]
fn a_failed_write_leaves_no_partial_record() {
    let folder = folder("journal-refused");
    let (mut journal, _) = JournalFile::open(&folder).unwrap();
    journal.append(&record(3)).unwrap();
    journal.sync().unwrap();
    let half = &record(4)[..5];
    journal.append(half).unwrap();
    journal.cut_back().unwrap();
    journal.append(&record(5)).unwrap();
    journal.sync().unwrap();
    drop(journal);
    let (_, recovered) = JournalFile::open(&folder).unwrap();
    assert!(recovered.damage.is_none(), "{:?}", recovered.damage);
    assert_eq!(recovered.term, 5);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Truncation after a failed write must not remove synced records, also after a rewrite of the
/// file.
#[test]
fn truncation_keeps_synced_records() {
    let folder = folder("journal-synced");
    let (mut journal, _) = JournalFile::open(&folder).unwrap();
    journal.append(&record(3)).unwrap();
    journal.sync().unwrap();
    journal.cut_back().unwrap();
    let records = [Record::HardState {
        term: 6,
        voted_for: 1,
    }];
    journal.rewrite(&records).unwrap();
    journal.cut_back().unwrap();
    drop(journal);
    let (_, recovered) = JournalFile::open(&folder).unwrap();
    assert_eq!(recovered.term, 6);
    std::fs::remove_dir_all(&folder).unwrap();
}
