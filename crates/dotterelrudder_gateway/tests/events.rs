//! The event splitter returns whole events wherever the byte stream is cut, and the event sequence
//! takes none that belongs to another answer.

use dotterelrudder_gateway::EventFault;
use dotterelrudder_gateway::EventSequence;
use dotterelrudder_gateway::EventSplitter;
use dotterelrudder_gateway::StreamPosition;
use proptest::prelude::*;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid:3\ndata: c\n\nid: 4\nda";

proptest! {
    #[test]
    fn events_come_out_whole_and_in_order(cuts in proptest::collection::vec(0..STREAM.len(), 0..9)) {
        let mut cuts = cuts;
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let (mut ids, mut bytes) = (Vec::new(), Vec::new());
        for pair in cuts.windows(2) {
            splitter.push(&STREAM[pair[0]..pair[1]]);
            while let Some(event) = splitter.take() {
                ids.push(event.id.map(|id| id.to_string()));
                bytes.extend_from_slice(&event.bytes);
            }
        }
        let expected = ["1", "2", "", "3"].map(|id| (!id.is_empty()).then(|| id.to_string()));
        prop_assert_eq!(ids, expected);
        prop_assert_eq!(splitter.rest(), b"id: 4\nda");
        bytes.extend_from_slice(splitter.rest());
        prop_assert_eq!(&bytes[..], STREAM);
    }
}

/// Takes a stream behind the event that the caller has; returns the bytes that are relayed, and why
/// no more are.
fn relayed(after: Option<&str>, stream: &[u8]) -> (Vec<u8>, Option<EventFault>) {
    let mut splitter = EventSplitter::default();
    let mut sequence = EventSequence::after(after, &["weights"]);
    splitter.push(stream);
    let mut bytes = Vec::new();
    while let Some(event) = splitter.take() {
        match sequence.accept(&event) {
            Ok(()) => bytes.extend_from_slice(&event.bytes),
            Err(fault) => return (bytes, Some(fault)),
        }
    }
    (bytes, None)
}

#[test]
fn streams_are_relayed_as_they_are() {
    let sound: &[&[u8]] = &[
        b"id: 1\ndata: a\n\n: note\n\nid: 4\ndata: b\ndata: c\n\n",
        b"event: tokens\nid:1\ndata\n\nretry: 200\n\nweights: 3\nid: 2\ndata: a\n\n",
        b"data: a\n\ndata: b\n\n",
        b"id: a7\r\ndata: a\r\n\r\nid: a6\r\ndata: b\r\n\r\n",
    ];
    for stream in sound {
        assert_eq!(relayed(None, stream), (stream.to_vec(), None));
    }
}

#[test]
fn what_belongs_to_another_answer_is_not_relayed() {
    let begun = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n".to_vec();
    let foreign: &[(&[u8], EventFault)] = &[
        (
            b"HTTP/1.1 500 Error\r\ncontent-length: 4\r\n\r\nerr\n\n",
            EventFault::UnknownField,
        ),
        (b"{\"error\": 1}\n\n", EventFault::UnknownField),
        (b"internal error\n\n", EventFault::UnknownField),
        (
            b"id: 3\ndata: id: 1\nid: 1\ndata: a\n\n",
            EventFault::SeveralIds,
        ),
        (b"data: {\"error\": 1}\n\n", EventFault::NoId),
        (b"id: 1\ndata: a\n\n", EventFault::NotIncreasing),
        (b"id: 2\ndata: b\n\n", EventFault::NotIncreasing),
        (b"id: x\ndata: b\n\n", EventFault::NotIncreasing),
    ];
    for (more, fault) in foreign {
        let stream = [&begun[..], more].concat();
        assert_eq!(relayed(None, &stream), (begun.clone(), Some(*fault)));
        assert_eq!(relayed(Some("2"), more), (Vec::new(), Some(*fault)));
    }
}

/// Returns the position of a caller who was given a stream's events.
fn position(after: Option<&str>, stream: &[u8]) -> StreamPosition {
    let mut splitter = EventSplitter::default();
    let mut position = StreamPosition::new(after.map(Into::into));
    splitter.push(stream);
    while let Some(event) = splitter.take() {
        position.record(&event);
    }
    position
}

// A run began from the start although its caller had text without ids.
#[test]
fn no_run_begins_behind_text_that_no_id_covers() {
    let covered: &[(&[u8], StreamPosition)] = &[
        (b"", StreamPosition::Start),
        (b": note\n\nretry: 200\n\n", StreamPosition::Start),
        (
            b"id: 3\ndata: a\n\n: note\n\n",
            StreamPosition::After("3".into()),
        ),
    ];
    for (stream, expected) in covered {
        assert_eq!(position(None, stream), *expected);
    }
    assert_eq!(
        position(Some("x"), b": note\n\n"),
        StreamPosition::After("x".into())
    );
    let uncovered: &[&[u8]] = &[
        b"data: a\n\n",
        b": note\rdata: a\n\n",
        b"id: x\ndata: a\n\n",
        b"id:\ndata: a\n\n",
        b"id: 1\ndata: \xff\n\n",
        b"id: 1\ndata: a\n\ndata: b\n\n",
        b"data: a\n\nid: 1\ndata: b\n\n",
    ];
    for stream in uncovered {
        let position = position(Some("0"), stream);
        assert!(!position.is_resumable(), "{stream:?}: {position:?}");
    }
}
