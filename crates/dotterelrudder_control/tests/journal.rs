//! Torn and damaged journals: told apart, never silently shortened below what was synced.

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

const CASES: u32 = 10_000;

fn journal() -> (Vec<u8>, Vec<usize>) {
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

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]))
}

#[test]
fn a_whole_journal_is_read_back() {
    let (bytes, _) = journal();
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
fn a_cut_anywhere_is_a_torn_tail_after_the_last_whole_record() {
    let (bytes, ends) = journal();
    for cut in 0..bytes.len() {
        let found = read_journal(&bytes[..cut]);
        let whole = ends
            .iter()
            .filter(|end| **end <= cut)
            .max()
            .copied()
            .unwrap_or(0);
        assert_eq!(found.valid_bytes as usize, whole, "cut at {cut}");
        let expected = (whole < cut).then_some(Damage::TornTail {
            offset: whole as u64,
        });
        assert_eq!(found.damage, expected, "cut at {cut}");
    }
}

#[test]
fn zeros_after_the_last_record_are_a_torn_tail() {
    let (mut bytes, _) = journal();
    let whole = bytes.len();
    bytes.extend_from_slice(&[0; 512]);
    let found = read_journal(&bytes);
    assert_eq!(
        found.damage,
        Some(Damage::TornTail {
            offset: whole as u64
        })
    );
}

#[test]
fn a_flipped_bit_before_the_last_record_is_damage_and_never_a_shorter_log() {
    let (bytes, ends) = journal();
    let last = ends[ends.len() - 2];
    let run = runner().run(&(0..last, 0u8..8), |(place, bit)| {
        let mut bytes = bytes.clone();
        bytes[place] ^= 1 << bit;
        let found = read_journal(&bytes);
        prop_assert!(
            found.is_corrupt(),
            "{:?} after a flip at {}",
            found.damage,
            place
        );
        Ok(())
    });
    assert!(run.is_ok(), "{run:?}");
}

#[test]
fn random_bytes_are_read_without_harm() {
    let run = runner().run(&proptest::collection::vec(any::<u8>(), 0..400), |bytes| {
        let found = read_journal(&bytes);
        prop_assert!(found.valid_bytes as usize <= bytes.len());
        Ok(())
    });
    assert!(run.is_ok(), "{run:?}");
}
