//! Decoding of frames from a hostile or faulty peer. Random, corrupted or oversized input must not
//! cause a panic, a hang or unbounded memory use, and messages must survive any split of the
//! stream.

use bytes::BytesMut;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Tier;
use dotterelrudder_wire::encode_frame;
use dotterelrudder_wire::AnswerChunk;
use dotterelrudder_wire::Envelope;
use dotterelrudder_wire::FrameDecoder;
use dotterelrudder_wire::FrameError;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::MAX_FRAME_BYTES;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const CASES: u32 = 10_000;

/// Returns a test runner with a fixed seed, so that a failure can be reproduced.
fn proptest_runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Generates envelopes with four kinds of messages: chunks, queries, stored blocks, subscriptions.
fn messages() -> impl Strategy<Value = Envelope> {
    let id = (any::<u64>(), any::<u64>()).prop_map(|(incarnation, sequence)| AttemptId {
        incarnation,
        sequence,
    });
    let data = proptest::collection::vec(any::<u8>(), 0..200);
    let message = (id, data, any::<u32>(), 0u8..4).prop_map(|(attempt, data, number, which)| {
        let data = bytes::Bytes::from(data);
        match which {
            0 => Message::AnswerChunk(AnswerChunk {
                attempt,
                number,
                data,
            }),
            1 => Message::Query {
                attempt,
                from: number,
            },
            2 => {
                let key = BlockKey([number as u8; 16]);
                Message::PutBlock {
                    key,
                    tier: Tier::Trial,
                    trial_percent: 7,
                    data,
                }
            }
            _ => Message::Subscribe {
                held: Revision(u64::from(number)),
            },
        }
    });
    (any::<u64>(), message).prop_map(|(revision, message)| Envelope {
        revision: Revision(revision),
        message,
    })
}

/// Decodes all messages and stops at the first error, as a connection does. Returns the number of
/// messages and the error.
fn decode_all(decoder: &mut FrameDecoder) -> (usize, Option<FrameError>) {
    let mut taken = 0;
    loop {
        match decoder.take_message::<Envelope>() {
            Ok(Some(_)) => taken += 1,
            Ok(None) => return (taken, None),
            Err(e) => return (taken, Some(e)),
        }
    }
}

#[test]
fn random_bytes_end_in_an_error_or_wait_for_more() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..300);
    let run = proptest_runner().run(&bytes, |bytes| {
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        let (taken, _) = decode_all(&mut decoder);
        prop_assert!(taken <= bytes.len());
        Ok(())
    });
    assert!(run.is_ok(), "{run:?}");
}

#[test]
fn messages_survive_any_cut_of_the_stream() {
    let strategy = (proptest::collection::vec(messages(), 1..5), 1usize..64);
    let run = proptest_runner().run(&strategy, |(sent, chunk)| {
        let mut buf = BytesMut::new();
        for message in &sent {
            prop_assert!(encode_frame(message, &mut buf).is_ok());
        }
        let mut decoder = FrameDecoder::default();
        let mut received = Vec::new();
        for part in buf.chunks(chunk) {
            decoder.push(part);
            while let Some(message) = decoder
                .take_message::<Envelope>()
                .expect("frames are valid")
            {
                received.push(message);
            }
        }
        prop_assert_eq!(received, sent);
        Ok(())
    });
    assert!(run.is_ok(), "{run:?}");
}

#[test]
fn a_changed_byte_does_no_harm() {
    let strategy = (messages(), any::<usize>(), any::<u8>());
    let run = proptest_runner().run(&strategy, |(message, place, value)| {
        let mut buf = BytesMut::new();
        prop_assert!(encode_frame(&message, &mut buf).is_ok());
        let place = place % buf.len();
        buf[place] = value;
        let mut decoder = FrameDecoder::default();
        decoder.push(&buf);
        let _taken = decode_all(&mut decoder);
        Ok(())
    });
    assert!(run.is_ok(), "{run:?}");
}

#[test]
fn a_length_over_the_limit_is_refused_before_its_body_comes() {
    let mut decoder = FrameDecoder::default();
    decoder.push(&u32::MAX.to_le_bytes());
    let expected = FrameError::TooLarge(u32::MAX as usize);
    assert_eq!(decode_all(&mut decoder), (0, Some(expected)));
    let large = vec![0u8; MAX_FRAME_BYTES + 1];
    let mut buf = BytesMut::new();
    assert!(encode_frame(&large, &mut buf).is_err());
    assert!(buf.is_empty());
}

#[test]
fn a_length_inside_a_body_allocates_nothing_beyond_the_frame() {
    // The body declares a list of 2^60 rows in a frame of a few bytes. A decoder that trusts the
    // declared length would try to allocate memory for all of them.
    let mut body = vec![0u8, 13];
    body.extend_from_slice(&[253, 0, 0, 0, 0, 0, 0, 0, 16]);
    let mut decoder = FrameDecoder::default();
    decoder.push(&(body.len() as u32).to_le_bytes());
    decoder.push(&body);
    assert_eq!(decode_all(&mut decoder), (0, Some(FrameError::Malformed)));
}
