//! The journal on a disk that refuses operations or takes a part of a write: what was reported as
//! durable is read back, and nothing is read as damage.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use dotterelrudder_control::read_journal;
use dotterelrudder_control::Record;
use dotterelrudder_daemon::control::JournalDisk;
use dotterelrudder_daemon::control::JournalFile;
use dotterelrudder_daemon::control::JournalWrite;
use dotterelrudder_daemon::control::JournalWriter;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::LogEntry;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// How often operations are tried until the disk has room again.
const TRIES: usize = 12;

/// What the disk does to the next operations, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Append,
    /// An append that takes this many bytes.
    PartialAppend(usize),
    Sync,
    Truncate,
    Rewrite,
    /// A rewrite that fails once the new journal is in place.
    LateRewrite,
}

/// A journal whose disk refuses the operations that are due.
struct FaultyDisk {
    journal: JournalFile,
    faults: Vec<Fault>,
}

impl FaultyDisk {
    /// Takes the next fault if it concerns an operation.
    fn take(&mut self, is_concerned: fn(&Fault) -> bool) -> Option<Fault> {
        let first = self.faults.first().copied().filter(is_concerned)?;
        self.faults.remove(0);
        Some(first)
    }
}

fn refused() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

impl JournalDisk for FaultyDisk {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self.take(|f| matches!(f, Fault::Append | Fault::PartialAppend(_))) {
            Some(Fault::PartialAppend(most)) => {
                self.journal.append(&bytes[..most.min(bytes.len() - 1)])?;
                Err(refused())
            }
            Some(_) => Err(refused()),
            None => self.journal.append(bytes),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        match self.take(|f| *f == Fault::Sync) {
            Some(_) => Err(refused()),
            None => self.journal.sync(),
        }
    }

    fn truncate_to_synced(&mut self) -> io::Result<()> {
        match self.take(|f| *f == Fault::Truncate) {
            Some(_) => Err(refused()),
            None => self.journal.truncate_to_synced(),
        }
    }

    fn rewrite(&mut self, records: &[Record]) -> io::Result<()> {
        match self.take(|f| matches!(f, Fault::Rewrite | Fault::LateRewrite)) {
            Some(Fault::LateRewrite) => {
                self.journal.rewrite(records)?;
                Err(refused())
            }
            Some(_) => Err(refused()),
            None => self.journal.rewrite(records),
        }
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    // An aborted run may have left the folder behind.
    let _missing = std::fs::remove_dir_all(&folder).is_err();
    folder
}

fn entry(index: u64) -> Record {
    Record::Entry(LogEntry {
        term: 1,
        index,
        command: Command::Noop,
    })
}

fn append(index: u64) -> JournalWrite {
    let mut bytes = Vec::new();
    entry(index).encode(&mut bytes);
    JournalWrite::Append {
        sequence: index,
        bytes,
    }
}

/// Returns the rewrite of a journal that holds entries up to an index.
fn rewrite(index: u64) -> JournalWrite {
    JournalWrite::Rewrite {
        sequence: index,
        records: (1..=index).map(entry).collect(),
    }
}

/// Writes until the disk takes everything; `faults` are those of the first operations.
fn write(folder: &Path, faults: Vec<Fault>, mut writes: Vec<JournalWrite>) -> u64 {
    let (journal, _) = JournalFile::open(folder).expect("the journal opens");
    let mut writer = JournalWriter::new(FaultyDisk { journal, faults });
    for _ in 0..TRIES {
        if let Ok(sequence) = writer.write(&mut writes) {
            return sequence;
        }
    }
    panic!("the disk has room, and nothing is written");
}

/// Returns the indices of the entries that are read back.
fn read_back(folder: &Path) -> Vec<u64> {
    let bytes = std::fs::read(folder.join("journal")).expect("the journal is there");
    let recovered = read_journal(&bytes);
    assert_eq!(recovered.damage, None);
    recovered.entries.iter().map(|e| e.index).collect()
}

// While the disk refused the truncation too, records were written behind the torn ones: the journal
// was corrupt at the next start, and the instance gave up its vote.
#[test]
fn records_are_written_behind_torn_bytes() {
    let folder = folder("journal-torn");
    write(&folder, Vec::new(), vec![append(1)]);
    for (n, refused) in [0, 1, 3].into_iter().enumerate() {
        let mut faults = vec![Fault::PartialAppend(5)];
        faults.extend(vec![Fault::Truncate; refused]);
        let index = n as u64 + 2;
        assert_eq!(write(&folder, faults, vec![append(index)]), index);
        assert_eq!(read_back(&folder), Vec::from_iter(1..=index));
    }
    std::fs::remove_dir_all(&folder).expect("the folder is there");
}

// Drawn faults of a disk that fills up again and again, also while a journal is replaced.
#[test]
fn what_was_reported_as_durable_is_missing_after_full_disks() {
    let folder = folder("journal-drawn");
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let _missing = std::fs::remove_dir_all(&folder).is_err();
        let mut index = 0;
        for _ in 0..6 {
            let mut writes = Vec::new();
            for _ in 0..rng.random_range(1..5) {
                let is_rewrite = rng.random_bool(0.25);
                index += u64::from(!is_rewrite);
                writes.push(match is_rewrite {
                    true => rewrite(index),
                    false => append(index),
                });
            }
            let faults = (0..rng.random_range(0..6)).map(|_| match rng.random_range(0..6) {
                0 => Fault::Append,
                1 => Fault::PartialAppend(rng.random_range(0..60)),
                2 => Fault::Sync,
                3 => Fault::Truncate,
                4 => Fault::Rewrite,
                _ => Fault::LateRewrite,
            });
            let faults: Vec<Fault> = faults.collect();
            write(&folder, faults.clone(), writes);
            let read = read_back(&folder);
            assert_eq!(read, Vec::from_iter(1..=index), "seed {seed}: {faults:?}");
        }
    }
    std::fs::remove_dir_all(&folder).expect("the folder is there");
}
