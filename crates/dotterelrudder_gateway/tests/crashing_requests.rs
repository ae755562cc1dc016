//! What an entry does about a request under which it saw runners end.

mod support;

use std::time::Duration;

use dotterelrudder_gateway::Admission;
use dotterelrudder_gateway::CallerRequest;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::RequestFingerprint;
use dotterelrudder_gateway::RequestTraits;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_wire::PartBlock;
use dotterelrudder_wire::PartVerdicts;
use support::*;

/// A request as it reaches an entry: path and query, API key, body, and the headers' differences.
struct Sent {
    admission: Admission,
    call: CallerRequest,
    fingerprint: RequestFingerprint,
}

impl Sent {
    fn new(gateway: &mut Gateway, path: &str, key: &str, body: &str) -> Self {
        let mut call = call(path, key);
        call.prompt = None;
        let admission = gateway.admit(ms(1), &call).expect("a known key");
        let uri = format!("{path}?q=1");
        let head = http::Request::post(uri).body(()).expect("well formed");
        let (head, ()) = head.into_parts();
        let fingerprint = RequestFingerprint::new(&admission, &call, &head, body.as_bytes());
        Self {
            admission,
            call,
            fingerprint,
        }
    }

    fn traits(&self) -> RequestTraits<'_> {
        RequestTraits {
            prompt: self.call.prompt.as_ref(),
            fingerprint: self.fingerprint,
        }
    }
}

/// Records that a runner ended under a request, and returns the blocks that follow from it.
fn end(gateway: &mut Gateway, now: Duration, runner: &str, request: &Sent) -> Vec<PartBlock> {
    let runner = runner.into();
    gateway.on_connection_closed(now, &runner, now, request.traits());
    gateway.on_runner_probed(&runner, true)
}

#[test]
fn only_repetitions_of_a_request_have_its_fingerprint() {
    let mut gateway = gateway(1);
    let request = Sent::new(&mut gateway, "/long/x", "k1", "body").fingerprint;
    let mut again = Sent::new(&mut gateway, "/long/x", "k1", "body");
    assert_eq!(again.fingerprint, request);
    for (path, key, body) in [
        ("/long/y", "k1", "body"),
        ("/long/x", "k2", "body"),
        ("/long/x", "k1", "bodz"),
        ("/long/x", "k1", ""),
    ] {
        let other = Sent::new(&mut gateway, path, key, body);
        assert_ne!(other.fingerprint, request, "{path} {key} {body}");
    }
    // A route may lead to several services.
    again.admission.service = "other".into();
    // The host is the entry that the client chose, and the id is new each time.
    again.call.id = "other".into();
    let head = http::Request::post("/long/x?q=1").header("x-request-id", "other");
    let (head, ()) = head
        .header("host", "b")
        .body(())
        .expect("well formed")
        .into_parts();
    let other = RequestFingerprint::new(&again.admission, &again.call, &head, b"body");
    assert_eq!(other, request);
}

#[test]
fn an_entry_refuses_a_request_under_which_it_saw_three_runners_end() {
    let mut gateway = gateway(1);
    let dead = Sent::new(&mut gateway, "/long/x", "k1", "dead");
    let other_account = Sent::new(&mut gateway, "/long/x", "k2", "dead");
    for n in 0..2 {
        let blocks = end(&mut gateway, ms(100 + n), &format!("r{n}"), &dead);
        assert_eq!(blocks, Vec::new());
        assert!(!gateway.is_suspect(ms(103), dead.traits()));
    }
    let blocks = end(&mut gateway, ms(110), "r2", &dead);
    assert_eq!(blocks.len(), 1);
    let refusal = gateway.block_refusal(dead.traits()).expect("it is blocked");
    assert_eq!(refusal.kind, ErrorKind::RequestBlocked);
    assert!(!gateway.is_blocked(other_account.traits()));
    assert_eq!(gateway.part_blocks(), (0, 1));
}

#[test]
fn a_request_gets_no_further_attempt_once_three_connections_were_lost_under_it() {
    let mut gateway = gateway(1);
    let dead = Sent::new(&mut gateway, "/long/x", "k1", "dead");
    for n in 0..3 {
        assert!(!gateway.is_suspect(ms(100 + n), dead.traits()));
        let runner = format!("r{n}").as_str().into();
        // It isn't known yet whether the runner ended.
        gateway.on_connection_closed(ms(100 + n), &runner, ms(90), dead.traits());
    }
    assert!(gateway.is_suspect(ms(103), dead.traits()));
    // A reset connection of a runner that is there speaks for nothing.
    gateway.on_runner_probed(&"r0".into(), false);
    assert!(!gateway.is_suspect(ms(104), dead.traits()));
    // The leader knows of ends at other entries.
    let verdicts = PartVerdicts {
        is_complete: true,
        watched: vec![dead.fingerprint.part()],
        blocks: Vec::new(),
    };
    gateway.on_part_verdicts(ms(105), &verdicts);
    assert!(gateway.is_suspect(ms(106), dead.traits()));
}

#[test]
fn a_request_that_begins_is_neither_refused_nor_suspect() {
    let mut gateway = gateway(1);
    let sound = Sent::new(&mut gateway, "/long/x", "k1", "body");
    for n in 0..9 {
        let now = ms(100 * n);
        assert_eq!(end(&mut gateway, now, &format!("r{n}"), &sound), Vec::new());
        assert!(!gateway.is_suspect(now, sound.traits()));
        gateway.on_answer_begun(now + ms(50), sound.traits());
    }
}

#[test]
fn an_own_block_ends_when_the_leader_neither_blocks_nor_watches_the_request() {
    let mut gateway = gateway(1);
    let dead = Sent::new(&mut gateway, "/long/x", "k1", "dead");
    for n in 0..3 {
        end(&mut gateway, ms(100 + n), &format!("r{n}"), &dead);
    }
    let mut verdicts = PartVerdicts {
        is_complete: true,
        watched: vec![dead.fingerprint.part()],
        blocks: Vec::new(),
    };
    gateway.on_part_verdicts(ms(200), &verdicts);
    assert!(gateway.is_blocked(dead.traits()), "under suspicion");
    verdicts.watched.clear();
    gateway.on_part_verdicts(ms(300), &verdicts);
    assert!(!gateway.is_blocked(dead.traits()), "it began elsewhere");
}

#[test]
fn a_new_leader_is_told_the_ends_that_the_one_before_knew() {
    let mut gateway = gateway(1);
    let dead = Sent::new(&mut gateway, "/long/x", "k1", "dead");
    for n in 0..2 {
        end(&mut gateway, ms(100 + n), &format!("r{n}"), &dead);
    }
    let report = gateway.take_part_report(ms(200)).expect("two ends");
    assert_eq!(report.losses.len(), 2);
    assert_eq!(gateway.take_part_report(ms(300)), None);
    let verdicts = |is_complete| PartVerdicts {
        is_complete,
        ..PartVerdicts::default()
    };
    gateway.on_part_verdicts(ms(400), &verdicts(true));
    assert_eq!(gateway.take_part_report(ms(500)), None);
    gateway.on_part_verdicts(ms(600), &verdicts(false));
    let report = gateway.take_part_report(ms(700)).expect("both again");
    assert_eq!(report.losses.len(), 2);
    // Once is enough for one leader.
    gateway.on_part_verdicts(ms(800), &verdicts(false));
    assert_eq!(gateway.take_part_report(ms(900)), None);
}

#[test]
fn ends_are_kept_while_the_leader_does_not_answer() {
    let mut gateway = gateway(1);
    let dead = Sent::new(&mut gateway, "/long/x", "k1", "dead");
    end(&mut gateway, ms(4_000), "r0", &dead);
    assert_eq!(gateway.take_part_report(ms(4_100)), None);
    assert!(gateway.is_part_report_due());
    gateway.on_fleet_state(ms(9_000), fleet_state(1), Some(ms(9_000)));
    let report = gateway.take_part_report(ms(9_100)).expect("one end");
    assert_eq!(report.losses.len(), 1);
}

#[test]
fn evidence_against_requests_is_bounded() {
    let mut gateway = gateway(1);
    for n in 0..300u64 {
        let dead = Sent::new(&mut gateway, "/long/x", "k1", &format!("dead {n}"));
        for k in 0..3 {
            let runner = format!("r{n}-{k}");
            end(&mut gateway, ms(100 + 9 * n + k), &runner, &dead);
        }
    }
    let (_, requests) = gateway.part_blocks();
    assert!(requests <= 64, "{requests} blocks");
    let report = gateway.take_part_report(ms(2_900)).expect("ends");
    assert!(report.losses.len() <= 64, "{} losses", report.losses.len());
}

#[test]
fn a_sound_request_at_runners_that_are_lost_together_is_not_blocked() {
    let mut gateway = gateway(1);
    let sound = Sent::new(&mut gateway, "/long/x", "k1", "body");
    gateway.on_answer_begun(ms(1_000), sound.traits());
    for n in 0..4 {
        let blocks = end(&mut gateway, ms(1_050 + n), &format!("r{n}"), &sound);
        assert_eq!(blocks, Vec::new());
    }
    // Beside another request's runners, though none of its own began before.
    let (new, other) = (
        Sent::new(&mut gateway, "/long/y", "k1", "body"),
        Sent::new(&mut gateway, "/long/z", "k1", "body"),
    );
    end(&mut gateway, ms(5_000), "s", &other);
    for n in 0..4 {
        let blocks = end(&mut gateway, ms(5_001 + n), &format!("s{n}"), &new);
        assert_eq!(blocks, Vec::new());
    }
}

#[test]
fn a_new_leader_takes_over_no_block_that_an_entry_made_alone() {
    let mut gateway = gateway(1);
    let dead = Sent::new(&mut gateway, "/long/x", "k1", "dead");
    for n in 0..3 {
        end(&mut gateway, ms(100 + n), &format!("r{n}"), &dead);
    }
    assert!(gateway.is_blocked(dead.traits()));
    let report = gateway.take_part_report(ms(200)).expect("three ends");
    assert_eq!((report.losses.len(), report.held), (3, Vec::new()));
}

#[test]
fn beginnings_count_as_long_as_the_ends_that_they_speak_against() {
    let mut gateway = gateway(1);
    let sound = Sent::new(&mut gateway, "/long/x", "k1", "body");
    end(&mut gateway, ms(1_000), "r0", &sound);
    end(&mut gateway, ms(2_000), "r1", &sound);
    gateway.on_answer_begun(ms(3_000), sound.traits());
    assert_eq!(end(&mut gateway, ms(40_000), "r2", &sound), Vec::new());
}

#[test]
fn an_own_block_ends_without_a_leader_too() {
    let mut gateway = gateway(1);
    let dead = Sent::new(&mut gateway, "/long/x", "k1", "dead");
    for n in 0..3 {
        end(&mut gateway, ms(100 + n), &format!("r{n}"), &dead);
    }
    assert_eq!(gateway.take_part_report(ms(300_000)), None);
    assert!(gateway.is_blocked(dead.traits()));
    assert_eq!(gateway.take_part_report(ms(700_000)), None);
    assert!(!gateway.is_blocked(dead.traits()));
}
