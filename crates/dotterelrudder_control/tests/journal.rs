//! Recovery of torn and corrupt journals: both are distinguished, and synced records are never
//! dropped silently.

use dotterelrudder_control::read_journal;
use dotterelrudder_control::Damage;
use dotterelrudder_control::Record;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::LogEntry;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

/// Random cases per property test.
const CASES: u32 = 10_000;

/// Returns an encoded journal of 22 records and the offset at which each of them ends.
fn sample_journal() -> (Vec<u8>, Vec<usize>) {
    let mut bytes = Vec::new();
    let mut ends = Vec::new();
    let entry = |index| {
        Record::Entry(LogEntry {
            term: 1,
            index,
            command: Command::Noop,
        })
    };
    let mut records = vec![
        Record::Identity { id: 7, boot: 1 },
        Record::HardState {
            term: 1,
            voted_for: 7,
        },
    ];
    records.extend((1..=20).map(entry));
    for record in records {
        record.encode(&mut bytes);
        ends.push(bytes.len());
    }
    (bytes, ends)
}

fn seeded_test_runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]))
}

#[test]
fn a_whole_journal_is_read_back() {
    let (bytes, _) = sample_journal();
    let found = read_journal(&bytes);
    assert_eq!(
        (found.id, found.boot, found.term, found.voted_for),
        (7, 1, 1, 7)
    );
    assert_eq!(found.entries.len(), 20);
    assert_eq!(
        (found.valid_bytes as usize, found.damage),
        (bytes.len(), None)
    );
}

#[test]
fn a_cut_at_any_offset_is_a_torn_tail_after_the_last_whole_record() {
    let (bytes, ends) = sample_journal();
    for cut in 0..bytes.len() {
        let found = read_journal(&bytes[..cut]);
        let valid_end = ends
            .iter()
            .filter(|end| **end <= cut)
            .max()
            .copied()
            .unwrap_or(0);
        assert_eq!(found.valid_bytes as usize, valid_end, "cut at {cut}");
        let expected = (valid_end < cut).then_some(Damage::TornTail {
            offset: valid_end as u64,
        });
        assert_eq!(found.damage, expected, "cut at {cut}");
    }
}

#[test]
fn zeros_after_the_last_record_are_a_torn_tail() {
    let (mut bytes, _) = sample_journal();
    let valid_end = bytes.len();
    bytes.extend_from_slice(&[0; 512]);
    let found = read_journal(&bytes);
    assert_eq!(
        found.damage,
        Some(Damage::TornTail {
            offset: valid_end as u64
        })
    );
}

/// A flipped bit in synced data must not be taken for a torn tail, which would drop synced records
/// silently. It counts as corrupt wherever another record follows.
#[test]
fn a_flipped_bit_before_the_last_record_is_reported_as_corrupt() {
    let (bytes, ends) = sample_journal();
    let last = ends[ends.len() - 2];
    let result = seeded_test_runner().run(&(0..last, 0u8..8), |(position, bit)| {
        let mut bytes = bytes.clone();
        bytes[position] ^= 1 << bit;
        let found = read_journal(&bytes);
        prop_assert!(
            found.is_corrupt(),
            "{:?} after a flip at {}",
            found.damage,
            position
        );
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

#[test]
fn random_bytes_are_read_without_a_panic() {
    let result =
        seeded_test_runner().run(&proptest::collection::vec(any::<u8>(), 0..400), |bytes| {
            let found = read_journal(&bytes);
            prop_assert!(found.valid_bytes as usize <= bytes.len());
            Ok(())
        });
    assert!(result.is_ok(), "{result:?}");
}
