//! The slot table of a store: a block that was freed, partly written, overwritten or requested
//! under another key is never read.

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

/// Writes and seals a block; returns its slot and the encoded bytes.
fn put(table: &mut BlockTable, number: u8, tier: Tier, now: Duration) -> Option<(SlotRef, Bytes)> {
    let (at, _) = table.begin_write(key(number), tier, 50, now)?;
    let data = encode_block(key(number), at.generation, tier, &[number; 64]);
    table.seal(at).then_some((at, data))
}

/// A block that is found during its write would be read incompletely.
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

/// A failed write must neither make the block readable nor occupy the slot.
#[test]
fn an_aborted_write_frees_its_slot() {
    let mut table = BlockTable::new(1, 1);
    let (at, _) = table
        .begin_write(key(1), Tier::Paying, 50, START)
        .expect("free");
    table.abort(at);
    assert!(!table.seal(at));
    assert_eq!(table.pin(&key(1), START), None);
    assert!(put(&mut table, 2, Tier::Paying, START).is_some());
}

/// A slot that is reused during a read would give the reader another block's bytes.
#[test]
fn a_freed_slot_waits_for_its_readers() {
    let mut table = BlockTable::new(1, 1);
    let (_, data) = put(&mut table, 1, Tier::Paying, START).expect("free");
    let pin = table.pin(&key(1), START).expect("sealed");
    assert!(table.free(&key(1), START));
    assert_eq!(table.pin(&key(1), START), None, "a freed block was found");
    assert!(
        put(&mut table, 2, Tier::Paying, START).is_none(),
        "a pinned slot was reused"
    );
    assert!(table.verify(pin, &key(1), &data).is_some());
    table.unpin(pin);
    assert!(put(&mut table, 2, Tier::Paying, START).is_some());
}

/// A reader that never finishes must not block its slot for ever. After the timeout of its pin the
/// slot is reused; its late read fails, and its late unpin does not affect the new block.
#[test]
fn a_reader_that_takes_too_long_reads_nothing() {
    let mut table = BlockTable::new(1, 1);
    let (_, data) = put(&mut table, 1, Tier::Paying, START).expect("free");
    let pin = table.pin(&key(1), START).expect("sealed");
    table.free(&key(1), START);
    let later = Duration::from_secs(3);
    assert!(
        put(&mut table, 2, Tier::Paying, later).is_some(),
        "the slot was not reused after the timeout of the pin"
    );
    assert_eq!(table.verify(pin, &key(1), &data), None);
    table.unpin(pin);
    assert!(
        table.contains(&key(2)),
        "a late unpin affected the next use of the slot"
    );
}

/// A lost write leaves the bytes of an earlier use in the slot, possibly of the same block. Only
/// the generation distinguishes them.
#[test]
fn bytes_of_an_earlier_use_of_the_slot_are_rejected() {
    let mut table = BlockTable::new(1, 1);
    let (first, old) = put(&mut table, 1, Tier::Paying, START).expect("free");
    table.free(&key(1), START);
    let (second, new) = put(&mut table, 1, Tier::Paying, START).expect("free");
    assert_ne!(first.generation, second.generation);
    let pin = table.pin(&key(1), START).expect("sealed");
    assert_eq!(
        table.verify(pin, &key(1), &old),
        None,
        "bytes of the first use were accepted for the second"
    );
    assert!(table.verify(pin, &key(1), &new).is_some());
    assert_eq!(
        table.verify(pin, &key(2), &new),
        None,
        "a block was accepted under another key"
    );
}

/// Trial accounts must not evict the blocks of paying ones, nor fill more than their share of the
/// slots (50 % here); paying blocks may evict all trial blocks.
#[test]
fn trial_blocks_never_evict_paying_ones() {
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
        "trial blocks do not fill exactly their share of half the slots"
    );
    for number in 11..=14 {
        assert!(put(&mut table, number, Tier::Paying, START).is_some());
    }
    assert!(
        (1..=4).all(|n| !table.contains(&key(n))),
        "paying blocks did not evict all trial blocks"
    );
}

/// A restarted store finds the blocks of its previous process. A generation that is used a second
/// time would let old bytes pass for a new write.
#[test]
fn a_block_found_after_a_restart_is_restored_and_its_generation_not_reused() {
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
    assert!(next.generation > 9, "a generation was used twice");
}

/// Partial writes and bit flips on the store's disk must not be decoded as a block.
#[test]
fn truncated_or_changed_bytes_are_never_decoded_as_a_block() {
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
