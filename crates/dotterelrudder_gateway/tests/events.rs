//! The event splitter returns whole events wherever the byte stream is cut.

use dotterelrudder_gateway::EventSplitter;
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
