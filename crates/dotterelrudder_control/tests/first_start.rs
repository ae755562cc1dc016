//! The first start of a deployment, while some of its control instances don't reply.

use std::time::Duration;

use dotterelrudder_control::ControlCore;
use dotterelrudder_control::ControlSettings;
use dotterelrudder_control::Input;
use dotterelrudder_control::Output;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_control::Recovered;
use dotterelrudder_wire::FleetQuery;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::RaftMessage;

/// How long the first start is watched.
const WATCHED: Duration = Duration::from_secs(30);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn reply(from: u64, empty: bool) -> Message {
    Message::Raft {
        from,
        to: 0,
        message: Box::new(RaftMessage::JoinReply { empty }),
    }
}

/// Starts the replica that may bootstrap, among `peers`, and delivers messages to it after a second.
/// Returns when it leads, if it does.
fn led_after(peers: &[&str], messages: &[(&str, Message)]) -> Option<Duration> {
    let settings = ControlSettings {
        name: "a".into(),
        peers: peers.iter().map(|p| (*p).into()).collect(),
        timing: RaftTiming::default(),
        bootstrap: true,
        voters: Some(3),
    };
    let mut out = Vec::new();
    let mut core = ControlCore::new(settings, Recovered::default(), 7, ms(0), &mut out);
    let mut now = ms(0);
    let mut undelivered = messages.iter();
    while now < WATCHED {
        now += ms(20);
        if now >= ms(1_000) {
            if let Some((from, message)) = undelivered.next() {
                let (from, message) = ((*from).into(), message.clone());
                core.handle(now, Input::Message { from, message }, &mut out);
            }
        }
        core.handle(now, Input::Tick, &mut out);
        let persisted = out.drain(..).filter_map(|o| match o {
            Output::Persist { sequence, .. } | Output::Rewrite { sequence, .. } => Some(sequence),
            _ => None,
        });
        for sequence in persisted.collect::<Vec<_>>() {
            core.handle(now, Input::Synced { sequence }, &mut out);
        }
        if core.raft().is_leader() {
            return Some(now);
        }
    }
    None
}

/// A control instance that was lost right after the first start and came back at another address kept
/// the deployment from being founded, since its reply was waited for without end.
#[test]
fn a_lost_instance_does_not_keep_the_deployment_from_being_founded() {
    let led = led_after(&["b", "c"], &[("b", reply(2, true))]);
    assert!(
        led.is_some_and(|at| at > ms(5_000) && at < ms(12_000)),
        "{led:?}"
    );
    let two_lost = led_after(
        &["b", "c", "d", "e"],
        &[("b", reply(2, true)), ("c", reply(3, true))],
    );
    assert!(two_lost.is_some());
    // Nothing is waited for when all reply.
    let all = led_after(&["b", "c"], &[("b", reply(2, true)), ("c", reply(3, true))]);
    assert!(all.is_some_and(|at| at < ms(5_000)), "{all:?}");
}

/// An instance whose disk was wiped must not found a second deployment: without a majority that
/// belongs to none, or beside any sign of the first.
#[test]
fn no_second_deployment_is_founded_beside_the_first() {
    let empty = || ("b", reply(2, true));
    assert_eq!(led_after(&["b", "c"], &[]), None);
    assert_eq!(led_after(&["b", "c", "d", "e"], &[empty()]), None);
    assert_eq!(
        led_after(&["b", "c"], &[empty(), ("c", reply(3, false))]),
        None
    );
    let query = FleetQuery {
        asked: 1,
        held: 4,
        directory: 0,
        beside: None,
    };
    let of_entry = ("entry", Message::FleetQuery(query));
    assert_eq!(led_after(&["b", "c"], &[empty(), of_entry.clone()]), None);
    // Entries of a deployment that lost all disks at control follow the new one.
    let all_lost = [empty(), of_entry, ("c", reply(3, true))];
    assert!(led_after(&["b", "c"], &all_lost).is_some());
    let append = RaftMessage::Append {
        term: 3,
        prev_index: 5,
        prev_term: 3,
        entries: Vec::new(),
        commit: 5,
        round: 1,
    };
    let of_member = Message::Raft {
        from: 9,
        to: 8,
        message: Box::new(append),
    };
    assert_eq!(led_after(&["b", "c"], &[empty(), ("d", of_member)]), None);
}
