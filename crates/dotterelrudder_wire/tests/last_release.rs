//! Frames that processes of the last release send and decode: its peers stay in contact while they are
//! replaced one by one.

use std::time::Duration;

use dotterelrudder_types::Revision;
use dotterelrudder_wire::encode_frame;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::Envelope;
use dotterelrudder_wire::FleetQuery;
use dotterelrudder_wire::FrameDecoder;
use dotterelrudder_wire::LimitGrants;
use dotterelrudder_wire::LimitReport;
use dotterelrudder_wire::LimitUpdate;
use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::PartBlock;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::PartVerdicts;
use dotterelrudder_wire::RaftMessage;
use dotterelrudder_wire::RunnerDemand;
use dotterelrudder_wire::RunnerLoss;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::RunnerSoftware;
use dotterelrudder_wire::RunnerWarmUps;
use dotterelrudder_wire::SharedPart;
use dotterelrudder_wire::PROTOCOL_VERSION;

/// The frames of [`messages`] as the last release encodes them, in hexadecimal.
const FRAMES: &[&str] = &[
    "2800000006200103692d3107656e67696e6573000a000001fb901f017a400001016d03fd0068e5cf8b010000",
    "06000000061d07050900",
    "11000000061f010d31302e302e302e313a37353830",
    "1d0000000626040103692d31000000000000004001000000000000f83f02010003",
    "0400000006270400",
    "1000000006280103692d3101000000000000f83f",
    "03000000062300",
];

/// Messages that both releases know.
fn messages() -> Vec<Message> {
    vec![
        Message::Runners(vec![RunnerRecord {
            identity: "i-1".into(),
            service: "engines".into(),
            address: "10.0.0.1:8080".parse().expect("an address"),
            data_centre: "z".into(),
            slots: 64,
            leaving: false,
            weights: vec![ModelWeights {
                model: "m".into(),
                version: 3,
            }],
            software: None,
            born_ms: 1_700_000_000_000,
            cold_left: None,
        }]),
        Message::FleetQuery(FleetQuery {
            asked: 7,
            held: 5,
            directory: 9,
            beside: None,
        }),
        Message::NotLeader {
            leader: Some("10.0.0.1:7580".into()),
        },
        Message::LimitReport(LimitReport {
            number: 4,
            runners: vec![RunnerDemand {
                runner: "i-1".into(),
                held: 2.0,
                named: Some(1.5),
                answers_without: 2,
                wanted: vec![(0, 3)],
            }],
        }),
        Message::LimitGrants(LimitGrants {
            number: 4,
            grants: Vec::new(),
        }),
        Message::RunnerLimits(vec![LimitUpdate {
            runner: "i-1".into(),
            rate: Some(1.5),
        }]),
        Message::PartsUsed(Vec::new()),
    ]
}

fn encoded(message: Message) -> Vec<u8> {
    let mut buf = bytes::BytesMut::new();
    let envelope = Envelope {
        revision: Revision(6),
        message,
    };
    encode_frame(&envelope, &mut buf).expect("a small frame");
    buf.to_vec()
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn messages_of_the_last_release_keep_their_frames() {
    assert_eq!(
        PROTOCOL_VERSION, 4,
        "peers with another number refuse each other"
    );
    for (message, frame) in messages().into_iter().zip(FRAMES) {
        assert_eq!(message.message_set(), 0);
        let bytes = encoded(message.clone());
        assert_eq!(hexadecimal(&bytes), *frame);
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        let read = decoder.take_message::<Envelope>().expect("well formed");
        assert_eq!(read.map(|e| e.message), Some(message));
    }
}

/// The frames of [`block_messages`] as the last release encodes them.
const BLOCK_FRAMES: &[&str] = &[
    "5b00000006290103692d3100fc80f0fa0200fc002d31010102016d03626164001861396632616436336366643264383831\
     323935313938333101016d0362616401000101001861396632616436336366643264383831323935313938333103",
    "2d000000062a0101016d03626164010100186139663261643633636664326438383132393531393833310301fc0065cd1d",
];

/// Messages about blocks, with a whole request among the parts.
fn block_messages() -> Vec<Message> {
    let request = SharedPart::whole_request("a9f2ad63cfd2d88129519831".into());
    let part = SharedPart {
        model: "m".into(),
        id: "bad".into(),
    };
    let report = PartReport {
        losses: vec![RunnerLoss {
            runner: "i-1".into(),
            sent_ago: Duration::from_millis(50),
            lost_ago: Duration::from_millis(20),
            requests: vec![vec![part.clone(), request.clone()]],
        }],
        begun: vec![(part.clone(), Duration::from_secs(1))],
        held: vec![(vec![request.clone()], 3)],
    };
    let verdicts = PartVerdicts {
        is_complete: true,
        watched: vec![part],
        blocks: vec![PartBlock {
            parts: vec![request],
            runners: 3,
            age: Duration::from_millis(1_500),
        }],
    };
    vec![
        Message::PartReport(report),
        Message::PartVerdicts(verdicts.into()),
    ]
}

#[test]
fn blocks_of_requests_keep_the_frames_of_blocks_of_parts() {
    for (message, frame) in block_messages().into_iter().zip(BLOCK_FRAMES) {
        let bytes = encoded(message.clone());
        assert_eq!(hexadecimal(&bytes), *frame);
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        let read = decoder.take_message::<Envelope>().expect("well formed");
        assert_eq!(read.map(|e| e.message), Some(message));
    }
}

#[test]
fn messages_that_the_last_release_does_not_know_are_marked_as_such() {
    let of_set_one = [
        Message::PartReport(PartReport::default()),
        Message::PartVerdicts(PartVerdicts::default().into()),
        Message::RunnerSoftware(RunnerSoftware::default()),
        Message::StreamOrigins(Vec::new()),
        Message::OriginQuery {
            number: 1,
            stream: 2,
        },
        Message::OriginReply {
            number: 1,
            origin: None,
        },
    ];
    for message in of_set_one {
        assert_eq!(message.message_set(), 1, "{message:?}");
    }
    let of_set_two = Message::Raft {
        from: 1,
        to: 2,
        message: Box::new(RaftMessage::NotMember),
    };
    assert_eq!(of_set_two.message_set(), 2);
    let evacuation = Command::SetEvacuation {
        data_centre: "z".into(),
        evacuated: true,
        at_ms: 0,
    };
    let append = RaftMessage::Append {
        term: 1,
        prev_index: 0,
        prev_term: 0,
        entries: vec![LogEntry {
            term: 1,
            index: 1,
            command: evacuation,
        }],
        commit: 0,
        round: 0,
    };
    let of_set_three = [
        Message::RunnerWarmUps(RunnerWarmUps::default()),
        Message::Evacuations(Vec::new()),
        Message::LeavingRunners(Vec::new()),
        Message::Raft {
            from: 1,
            to: 2,
            message: Box::new(append),
        },
    ];
    for message in of_set_three {
        assert_eq!(message.message_set(), 3, "{message:?}");
    }
    for message in [RaftMessage::Stopping, RaftMessage::MayStop] {
        let of_set_four = Message::Raft {
            from: 1,
            to: 2,
            message: Box::new(message),
        };
        assert_eq!(of_set_four.message_set(), 4, "{of_set_four:?}");
    }
}
