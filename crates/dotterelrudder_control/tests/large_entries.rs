//! Log entries that are large together or by themselves.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use dotterelrudder_config::deployment::CallerLimits;
use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_control::ControlCore;
use dotterelrudder_control::ControlSettings;
use dotterelrudder_control::Input;
use dotterelrudder_control::Output;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_control::Recovered;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_wire::encode_frame;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::Envelope;
use dotterelrudder_wire::FrameDecoder;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::RaftMessage;
use dotterelrudder_wire::MAX_FRAME_BYTES;

/// The size of one change, in bytes.
const CHANGE_BYTES: usize = 270_000;
const CHANGES: u64 = 40;
/// How much larger decoded values are than what they are decoded from, at most.
const DECODED_RATIO: usize = 8;

/// Two control instances; the second one receives nothing while it is away.
struct Pair {
    cores: Vec<ControlCore>,
    away: bool,
    now: Duration,
    answers: Vec<(u64, CommandResult)>,
    /// The number of entries and the encoded size of each append message.
    appends: Vec<(usize, usize)>,
}

fn settings(number: usize) -> ControlSettings {
    let peers = [vec!["control-1".into()], vec!["control-0".into()]];
    ControlSettings {
        name: format!("control-{number}").as_str().into(),
        peers: peers[number].clone(),
        timing: RaftTiming::default(),
        bootstrap: number == 0,
        // The first replica commits by itself, as a majority of a larger deployment would.
        voters: Some(1),
    }
}

impl Pair {
    fn new() -> Self {
        let mut pair = Self {
            cores: Vec::new(),
            away: false,
            now: Duration::ZERO,
            answers: Vec::new(),
            appends: Vec::new(),
        };
        for number in 0..2 {
            let mut out = Vec::new();
            let recovered = Recovered::default();
            let core = ControlCore::new(
                settings(number),
                recovered,
                number as u64 + 1,
                pair.now,
                &mut out,
            );
            pair.cores.push(core);
            pair.carry_out(number, out);
        }
        pair.run(Duration::from_secs(3));
        pair
    }

    fn handle(&mut self, number: usize, input: Input) {
        let mut out = Vec::new();
        if let Some(core) = self.cores.get_mut(number) {
            core.handle(self.now, input, &mut out);
        }
        self.carry_out(number, out);
    }

    /// Passes messages on as frames, as a connection does.
    fn carry_out(&mut self, number: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Persist { sequence, .. } | Output::Rewrite { sequence, .. } => {
                    self.handle(number, Input::Synced { sequence });
                }
                Output::Answer { tag, result } => self.answers.push((tag, result)),
                Output::Send { to, message } if !self.away => {
                    let mut buf = BytesMut::new();
                    let entries = match &message {
                        Message::Raft { message, .. } => match &**message {
                            RaftMessage::Append { entries, .. } => entries.len(),
                            _ => 0,
                        },
                        _ => 0,
                    };
                    let envelope = Envelope {
                        revision: Default::default(),
                        message,
                    };
                    encode_frame(&envelope, &mut buf).expect("the message fits into a frame");
                    self.appends.push((entries, buf.len()));
                    let mut decoder = FrameDecoder::default();
                    decoder.push(&buf);
                    let read = decoder.take_message::<Envelope>();
                    let message = read.expect("the peer reads it").expect("whole").message;
                    let receiver = usize::from(to.as_str() == "control-1");
                    let from = settings(number).name;
                    self.handle(receiver, Input::Message { from, message });
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(20);
            for number in 0..2 {
                self.handle(number, Input::Tick);
            }
        }
    }

    fn publish(&mut self, version: u64, bytes: usize) {
        let configuration = DeploymentConfiguration {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            accounts: Vec::new(),
            limits: CallerLimits::default(),
        };
        let command = Command::PublishWhole {
            configuration: Box::new(configuration),
            document: Bytes::from(vec![b'x'; bytes]),
            at_ms: 0,
        };
        let tag = version;
        self.handle(0, Input::Propose { tag, command });
    }
}

/// A follower that missed many large changes was sent them in one frame that it could not read.
#[test]
fn missed_large_changes_come_in_one_frame() {
    let mut pair = Pair::new();
    pair.away = true;
    for version in 1..=CHANGES {
        pair.publish(version, CHANGE_BYTES);
    }
    pair.run(Duration::from_millis(400));
    pair.away = false;
    pair.appends.clear();
    pair.run(Duration::from_secs(2));
    let commits: Vec<u64> = pair.cores.iter().map(|c| c.raft().commit()).collect();
    assert_eq!(commits[0], commits[1]);
    assert!(commits[0] > CHANGES);
    // The last release counts decoded values against the size of a frame.
    let unreadable =
        |(entries, size): &&(usize, usize)| *entries > 1 && size * DECODED_RATIO > MAX_FRAME_BYTES;
    assert_eq!(pair.appends.iter().find(unreadable), None);
}

/// A change that no frame can hold was accepted and could then be sent to no follower.
#[test]
fn a_change_too_large_to_replicate_is_accepted() {
    let mut pair = Pair::new();
    pair.publish(1, MAX_FRAME_BYTES);
    let refused = pair.answers.iter().any(|(tag, result)| {
        *tag == 1 && matches!(result, CommandResult::Refused(r) if r.kind == ErrorKind::TooLarge)
    });
    assert!(refused, "{} answers", pair.answers.len());
    pair.publish(2, MAX_FRAME_BYTES / 2);
    pair.run(Duration::from_secs(1));
    assert_eq!(pair.cores[0].raft().commit(), pair.cores[1].raft().commit());
}
