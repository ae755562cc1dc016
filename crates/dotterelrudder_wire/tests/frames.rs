//! Decoding of frames from a hostile or faulty peer. Random, corrupted or oversized input must not
//! cause a panic, a hang or unbounded memory use, and messages must survive any split of the
//! stream.

use std::time::Duration;

use bytes::BytesMut;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Tier;
use dotterelrudder_wire::encode_frame;
use dotterelrudder_wire::AnswerChunk;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::Envelope;
use dotterelrudder_wire::FrameDecoder;
use dotterelrudder_wire::FrameError;
use dotterelrudder_wire::LimitReport;
use dotterelrudder_wire::LimitUpdate;
use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Member;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::RaftMessage;
use dotterelrudder_wire::RunnerDemand;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::SharedPart;
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
    assert_eq!(
        decode_all(&mut decoder),
        (0, Some(FrameError::Malformed(body.len())))
    );
}

/// Returns a message that fits into a frame, and nearly fills it, with its frame; `make` makes a
/// message of this many elements.
fn nearly_full_frame<M>(make: M) -> (Message, BytesMut)
where
    M: Fn(usize) -> Message,
{
    let encoded = |count| {
        let mut buf = BytesMut::new();
        let envelope = Envelope {
            revision: Revision(1),
            message: make(count),
        };
        encode_frame(&envelope, &mut buf).ok().map(|()| buf)
    };
    let size = |count| encoded(count).expect("few elements fit").len();
    let per_thousand = size(1_001) - size(1);
    let estimate = MAX_FRAME_BYTES / per_thousand * 1_000;
    let margin = estimate / 50 + 1;
    let (mut fits, mut too_many) = (estimate - margin, estimate + margin);
    while fits + margin / 32 + 1 < too_many {
        let count = fits.midpoint(too_many);
        if encoded(count).is_some() {
            fits = count;
        } else {
            too_many = count;
        }
    }
    (make(fits), encoded(fits).expect("one element fits"))
}

/// Makes a message of this many elements.
type Maker = Box<dyn Fn(usize) -> Message>;

/// Frames that were sent could not be read: the reader counted decoded sizes, the writer bytes.
#[test]
fn a_frame_at_the_limit_is_refused_by_its_reader() {
    let entry = |command| LogEntry {
        term: 1,
        index: 1,
        command,
    };
    let append = |entries| Message::Raft {
        from: 1,
        to: 2,
        message: Box::new(RaftMessage::Append {
            term: 1,
            prev_index: 0,
            prev_term: 0,
            entries,
            commit: 0,
            round: 0,
        }),
    };
    let member = Member {
        id: 1,
        instance: "".into(),
        voter: true,
    };
    let makers: [(&str, Maker); 9] = [
        ("entries", {
            Box::new(move |n| append(vec![entry(Command::Noop); n]))
        }),
        ("members of an entry", {
            Box::new(move |n| {
                let members = vec![member.clone(); n];
                append(vec![entry(Command::Members { members })])
            })
        }),
        ("a snapshot", {
            Box::new(|n| Message::Raft {
                from: 1,
                to: 2,
                message: Box::new(RaftMessage::Snapshot {
                    term: 1,
                    index: 1,
                    last_term: 1,
                    offset: 0,
                    total: 0,
                    data: vec![0; n],
                    round: 0,
                }),
            })
        }),
        ("runners", {
            let runner = RunnerRecord {
                identity: "".into(),
                service: "".into(),
                address: "10.0.0.1:80".parse().expect("an address"),
                data_centre: "".into(),
                slots: 1,
                leaving: false,
                weights: Vec::new(),
                software: None,
                born_ms: 0,
                cold_left: None,
            };
            Box::new(move |n| Message::Runners(vec![runner.clone(); n]))
        }),
        ("limits", {
            let limit = LimitUpdate {
                runner: "".into(),
                rate: None,
            };
            Box::new(move |n| Message::RunnerLimits(vec![limit.clone(); n]))
        }),
        ("demands", {
            let demand = RunnerDemand {
                runner: "".into(),
                held: 0.0,
                named: None,
                answers_without: 0,
                wanted: vec![(0, 0); 8],
            };
            Box::new(move |n| {
                Message::LimitReport(LimitReport {
                    number: 0,
                    runners: vec![demand.clone(); n],
                })
            })
        }),
        ("parts", {
            let part = SharedPart {
                model: "".into(),
                id: "".into(),
            };
            Box::new(move |n| {
                Message::PartReport(PartReport {
                    losses: Vec::new(),
                    begun: vec![(part.clone(), Duration::ZERO); n],
                    held: Vec::new(),
                })
            })
        }),
        ("a chunk", {
            Box::new(|n| {
                Message::AnswerChunk(AnswerChunk {
                    attempt: AttemptId {
                        incarnation: 0,
                        sequence: 0,
                    },
                    number: 0,
                    data: vec![0; n].into(),
                })
            })
        }),
        ("keys", {
            Box::new(|n| {
                let key = PartKey {
                    salt: "".into(),
                    part: "".into(),
                };
                Message::PartsUsed(vec![key; n])
            })
        }),
    ];
    for (name, make) in makers {
        let (message, frame) = nearly_full_frame(make);
        let mut decoder = FrameDecoder::default();
        decoder.push(&frame);
        let read = decoder.take_message::<Envelope>();
        let read = read.unwrap_or_else(|e| panic!("{name}: {e}"));
        assert!(read.is_some_and(|e| e.message == message), "{name}");
    }
}

#[test]
fn a_dropped_message_is_not_named_in_the_log() {
    let message = Box::new(RaftMessage::NotMember);
    let raft = Message::Raft {
        from: 1,
        to: 2,
        message,
    };
    assert_eq!(raft.kind(), "NotMember");
    assert_eq!(Message::PartsUsed(Vec::new()).kind(), "PartsUsed");
}
