//! The journal's file when the disk refuses a write.

use std::path::PathBuf;

use dotterelrudder_control::Record;
use dotterelrudder_daemon::control::JournalFile;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    // A run that was ended may have left it behind.
    let _missing = std::fs::remove_dir_all(&folder).is_err();
    folder
}

fn record(term: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    Record::HardState { term, voted_for: 1 }.encode(&mut bytes);
    bytes
}

/// What a refused write left behind is cut off, so that what is written next isn't taken for
/// damage behind a torn record.
#[test]
fn a_refused_write_leaves_nothing_behind() {
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

/// Cutting back never takes what was synced, also behind a rewrite.
#[test]
fn what_was_synced_stays() {
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
