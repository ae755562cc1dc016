//! The origins of streams: known while a caller may take the stream up again, and never replaced.

use std::time::Duration;

use dotterelrudder_control::StreamOrigins;
use dotterelrudder_wire::StreamOrigin;

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: "engines".into(),
        software: software.into(),
    }
}

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[test]
fn a_stream_has_the_origin_that_was_reported_first() {
    let mut origins = StreamOrigins::default();
    origins.record(secs(1), vec![(7, origin("v1")), (8, origin("v2"))]);
    origins.record(secs(2), vec![(7, origin("v2"))]);
    assert_eq!(origins.find(7), Some(&origin("v1")));
    assert_eq!(origins.find(8), Some(&origin("v2")));
    assert_eq!(origins.find(9), None);
}

#[test]
fn origins_expire() {
    let mut origins = StreamOrigins::default();
    origins.record(secs(1), vec![(7, origin("v1"))]);
    origins.record(secs(40), vec![(8, origin("v2"))]);
    assert_eq!(origins.find(7), Some(&origin("v1")));
    origins.record(secs(62), Vec::new());
    assert_eq!(origins.find(7), None);
    assert_eq!(origins.find(8), Some(&origin("v2")));
    origins.record(secs(200), Vec::new());
    origins.record(secs(201), vec![(7, origin("v3"))]);
    assert_eq!(origins.find(7), Some(&origin("v3")));
}
