//! Blocks in a store's slots: nothing freed, partly written, reused or foreign is ever read.

use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_side::decode_block;
use dotterelrudder_side::encode_block;
use dotterelrudder_side::BlockTable;
use dotterelrudder_side::SlotRef;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::Tier;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const START: Duration = Duration::ZERO;

fn key(number: u8) -> BlockKey {
    BlockKey([number; 16])
}

/// Writes a block wholly; returns the slot and its bytes.
fn put(table: &mut BlockTable, number: u8, tier: Tier, now: Duration) -> Option<(SlotRef, Bytes)> {
    let (at, _) = table.begin_write(key(number), tier, 50, now)?;
    let data = encode_block(key(number), at.generation, tier, &[number; 64]);
    table.seal(at).then_some((at, data))
}

#[test]
fn a_block_is_found_only_once_it_is_sealed() {
    let mut table = BlockTable::new(2, 1);
    let (at, _) = table
        .begin_write(key(1), Tier::Paying, 50, START)
        .expect("free");
    assert!(!table.contains(&key(1)));
    assert_eq!(table.pin(&key(1), START), None);
    assert!(table.seal(at));
    assert_eq!(table.pin(&key(1), START), Some(at));
}

#[test]
fn an_aborted_write_leaves_nothing() {
    let mut table = BlockTable::new(1, 1);
    let (at, _) = table
        .begin_write(key(1), Tier::Paying, 50, START)
        .expect("free");
    table.abort(at);
    assert!(!table.seal(at));
    assert_eq!(table.pin(&key(1), START), None);
    assert!(put(&mut table, 2, Tier::Paying, START).is_some());
}

#[test]
fn a_freed_slot_waits_for_its_readers() {
    let mut table = BlockTable::new(1, 1);
    let (_, data) = put(&mut table, 1, Tier::Paying, START).expect("free");
    let pin = table.pin(&key(1), START).expect("sealed");
    assert!(table.free(&key(1), START));
    assert_eq!(table.pin(&key(1), START), None, "a freed block is found");
    assert!(
        put(&mut table, 2, Tier::Paying, START).is_none(),
        "a pinned slot is reused"
    );
    assert!(table.verify(pin, &key(1), &data).is_some());
    table.unpin(pin);
    assert!(put(&mut table, 2, Tier::Paying, START).is_some());
}

#[test]
fn a_reader_that_takes_too_long_reads_nothing() {
    let mut table = BlockTable::new(1, 1);
    let (_, data) = put(&mut table, 1, Tier::Paying, START).expect("free");
    let pin = table.pin(&key(1), START).expect("sealed");
    table.free(&key(1), START);
    let later = Duration::from_secs(3);
    assert!(
        put(&mut table, 2, Tier::Paying, later).is_some(),
        "the limit of a pin has passed"
    );
    assert_eq!(table.verify(pin, &key(1), &data), None);
    table.unpin(pin);
    assert!(
        table.contains(&key(2)),
        "a late unpin touches the next use of the slot"
    );
}

#[test]
fn bytes_of_an_earlier_use_of_the_slot_are_not_taken() {
    let mut table = BlockTable::new(1, 1);
    let (first, old) = put(&mut table, 1, Tier::Paying, START).expect("free");
    table.free(&key(1), START);
    let (second, new) = put(&mut table, 1, Tier::Paying, START).expect("free");
    assert_ne!(first.generation, second.generation);
    let pin = table.pin(&key(1), START).expect("sealed");
    assert_eq!(
        table.verify(pin, &key(1), &old),
        None,
        "the write of the second use was lost"
    );
    assert!(table.verify(pin, &key(1), &new).is_some());
    assert_eq!(
        table.verify(pin, &key(2), &new),
        None,
        "another key's block"
    );
}

#[test]
fn trial_blocks_never_displace_paying_ones() {
    let mut table = BlockTable::new(4, 1);
    for number in 1..=4 {
        assert!(put(&mut table, number, Tier::Paying, START).is_some());
    }
    assert!(put(&mut table, 9, Tier::Trial, START).is_none());
    let mut table = BlockTable::new(4, 1);
    for number in 1..=4 {
        put(
            &mut table,
            number,
            Tier::Trial,
            Duration::from_millis(u64::from(number)),
        );
    }
    let kept = (1..=4).filter(|n| table.contains(&key(*n))).count();
    assert_eq!(
        kept, 2,
        "trial blocks fill their share of half, the oldest leave"
    );
    for number in 11..=14 {
        assert!(put(&mut table, number, Tier::Paying, START).is_some());
    }
    assert!(
        (1..=4).all(|n| !table.contains(&key(n))),
        "paying blocks take trial places"
    );
}

#[test]
fn a_block_found_after_a_start_is_whole_or_not_found() {
    let data = encode_block(key(1), 9, Tier::Trial, b"payload");
    let (found, generation, tier, payload) = decode_block(&data).expect("whole");
    assert_eq!(
        (found, generation, tier, &payload[..]),
        (key(1), 9, Tier::Trial, &b"payload"[..])
    );
    let mut table = BlockTable::new(2, 1);
    table.restore(0, found, generation, tier);
    assert!(table.contains(&key(1)));
    let (next, _) = table
        .begin_write(key(2), Tier::Paying, 50, START)
        .expect("free");
    assert!(next.generation > 9, "a generation is used twice");
}

#[test]
fn no_cut_or_changed_byte_passes_for_a_block() {
    let data = encode_block(key(7), 3, Tier::Paying, &[5; 200]);
    let config = Config {
        cases: 10_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = runner.run(
        &(0..data.len(), 0u8..8, any::<bool>()),
        |(place, bit, cut)| {
            let mut bytes = data.to_vec();
            if cut {
                bytes.truncate(place);
            } else {
                bytes[place] ^= 1 << bit;
            }
            prop_assert_eq!(decode_block(&bytes.into()), None);
            Ok(())
        },
    );
    assert!(run.is_ok(), "{run:?}");
}
