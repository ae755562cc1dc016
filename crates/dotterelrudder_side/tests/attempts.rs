//! Attempts on a [`SideCore`]: messages in unexpected order, repeated starts, admission,
//! preemption, import suggestions for another account, and fencing of orders.

use std::time::Duration;

use dotterelrudder_config::collect;
use dotterelrudder_config::Configuration;
use dotterelrudder_config::ServiceKind;
use dotterelrudder_config::SourceFile;
use dotterelrudder_side::BackendStatus;
use dotterelrudder_side::Input;
use dotterelrudder_side::Output;
use dotterelrudder_side::SideCore;
use dotterelrudder_side::SideSettings;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use dotterelrudder_types::Tier;
use dotterelrudder_types::BLOCK_BYTES;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Start;
use dotterelrudder_wire::Work;

const SERVICE: &str = "[service]\nname = \"s\"\nkind = \"model\"\nmodel = \"m\"\n\
    weight_version = \"v1\"\nqueue_limit = 2\n";

fn configuration() -> Configuration {
    let zeros = "0".repeat(63);
    let account = |name: &str, tier: &str, digit: u8| {
        format!(
            "[[client_account]]\nname = \"{name}\"\ntier = \"{tier}\"\n\
             key_hashes = [\"sha256:{zeros}{digit}\"]\nrequests_per_second = 9\nservices = [\"s\"]\n"
        )
    };
    let text = format!(
        "{SERVICE}{}{}",
        account("p", "paying", 1),
        account("t", "trial", 2)
    );
    let file = SourceFile {
        name: "x".into(),
        text,
    };
    Configuration {
        revision: Revision(1),
        ..collect(&[file]).expect("valid")
    }
}

/// A side with one slot, connected to control, an entry and a store, with a configuration in force.
struct SideHarness {
    core: SideCore,
    now: Duration,
}

impl SideHarness {
    fn new() -> Self {
        let core = SideCore::new(SideSettings {
            name: "side".into(),
            service: "s".into(),
            kind: ServiceKind::Model,
            controls: vec!["control".into()],
            incarnation: 1,
            slots: 1,
        });
        let mut harness = Self {
            core,
            now: Duration::ZERO,
        };
        for (peer, role) in [
            ("control", Role::Control),
            ("entry", Role::Entry),
            ("store", Role::Side),
        ] {
            harness.handle(Input::Opened {
                peer: peer.into(),
                role,
            });
        }
        harness.receive("control", Message::Update(Box::new(configuration())));
        let version = "v1".into();
        let load = BackendStatus {
            version,
            slots: 1,
            prefill_rate: 1e4,
            block_bytes: 64,
        };
        harness.handle(Input::Load(load));
        harness
    }

    /// Handles one event; returns its effects.
    fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        out
    }

    /// Handles a message of a peer; returns its effects.
    fn receive(&mut self, from: &str, message: Message) -> Vec<Output> {
        self.handle(Input::Message {
            from: from.into(),
            revision: Revision(1),
            message,
        })
    }

    /// Handles a start message of the entry; returns its effects.
    fn start(&mut self, sequence: u64, account: &str) -> Vec<Output> {
        self.receive("entry", Message::Start(Box::new(start(sequence, account))))
    }
}

fn id(sequence: u64) -> AttemptId {
    AttemptId {
        incarnation: 5,
        sequence,
    }
}

fn start(sequence: u64, account: &str) -> Start {
    Start {
        attempt: id(sequence),
        service: "s".into(),
        account: account.into(),
        tier: Tier::Paying,
        deadline_ms: 1_000,
        prefill_tokens: 0,
        claim: None,
        work: Work::Completion {
            model: "m".into(),
            prompt: "p".into(),
            max_tokens: 3,
            version: None,
            import: Vec::new(),
        },
    }
}

/// Returns the number of calls of the backend server.
fn calls(out: &[Output]) -> usize {
    out.iter()
        .filter(|o| matches!(o, Output::Call { .. }))
        .count()
}

/// Returns the kind of each refusal, and whether it reports the attempt as not run.
fn refusals(out: &[Output]) -> Vec<(ErrorKind, bool)> {
    let refused = out.iter().filter_map(|o| match o {
        Output::Send {
            message: Message::Refused { refusal, .. },
            ..
        } => Some((refusal.kind, refusal.is_not_run())),
        _ => None,
    });
    refused.collect()
}

/// A cancellation can overtake the start message after a reconnect; the attempt must not run.
#[test]
fn a_cancel_that_comes_first_prevents_the_late_start_from_running() {
    let mut side = SideHarness::new();
    side.receive("entry", Message::Cancel { attempt: id(1) });
    let out = side.start(1, "p");
    assert_eq!(
        (calls(&out), refusals(&out)[0].0),
        (0, ErrorKind::Cancelled)
    );
}

/// A query that overtakes the start message is answered with "not run", on which the entry may
/// retry elsewhere; the late start message must not run the attempt a second time.
#[test]
fn a_query_that_comes_first_is_answered_not_run_and_prevents_the_late_start() {
    let mut side = SideHarness::new();
    let out = side.receive(
        "entry",
        Message::Query {
            attempt: id(1),
            from: 0,
        },
    );
    assert_eq!(refusals(&out), [(ErrorKind::NotFound, true)]);
    assert_eq!(calls(&side.start(1, "p")), 0);
}

/// A start message that is sent again after a reconnect must not run the attempt twice. Another
/// entry's query must not return the answer, nor report the attempt as not run.
#[test]
fn a_repeated_start_runs_once_and_another_entry_cannot_query_it() {
    let mut side = SideHarness::new();
    assert_eq!(calls(&side.start(1, "p")), 1);
    assert_eq!(calls(&side.start(1, "p")), 0);
    side.handle(Input::Opened {
        peer: "entry-2".into(),
        role: Role::Entry,
    });
    let out = side.receive(
        "entry-2",
        Message::Query {
            attempt: id(1),
            from: 0,
        },
    );
    assert_eq!(refusals(&out), [(ErrorKind::NotFound, false)]);
}

/// Once the answer is no longer kept, a query is refused; reporting "not run" then would let the
/// entry run the request twice.
#[test]
fn an_attempt_that_ended_long_ago_is_never_reported_as_not_run() {
    let mut side = SideHarness::new();
    side.start(1, "p");
    side.handle(Input::RunFinished {
        run: 1,
        usage: Default::default(),
    });
    side.now += Duration::from_secs(60);
    side.handle(Input::Tick);
    let out = side.receive(
        "entry",
        Message::Query {
            attempt: id(1),
            from: 0,
        },
    );
    assert_eq!(refusals(&out), [(ErrorKind::NotFound, false)]);
}

/// The side checks the account against its own configuration, so that an entry with an outdated one
/// cannot give an account access to the service.
#[test]
fn an_account_without_the_service_is_refused_whatever_the_entry_sends() {
    let mut side = SideHarness::new();
    assert_eq!(
        refusals(&side.start(1, "stranger")),
        [(ErrorKind::NotAllowed, true)]
    );
}

/// A wrong import suggestion must not bring another account's KV cache into the prompt.
#[test]
fn a_suggestion_to_import_another_accounts_block_is_ignored() {
    let mut side = SideHarness::new();
    let prompt = vec![b'x'; BLOCK_BYTES];
    let block = |account: &str| BlockKey::chain(&account.into(), "m", &"v1".into(), &prompt)[0];
    for (sequence, account, asked) in [(1, "t", 0), (2, "p", 1)] {
        let mut foreign = start(sequence, "p");
        if let Work::Completion {
            prompt: text,
            import,
            ..
        } = &mut foreign.work
        {
            *text = prompt.clone().into();
            *import = vec![(block(account), "store".into())];
        }
        let out = side.receive("entry", Message::Start(Box::new(foreign)));
        let gets = out.iter().filter(|o| {
            matches!(
                o,
                Output::Send {
                    message: Message::GetBlock { .. },
                    ..
                }
            )
        });
        assert_eq!(gets.count(), asked, "block of account {account}");
        side.handle(Input::RunFinished {
            run: sequence,
            usage: Default::default(),
        });
    }
}

/// The backend server may still send chunks after a run was cancelled; they must not reach the
/// entry.
#[test]
fn late_events_of_a_cancelled_run_are_dropped() {
    let mut side = SideHarness::new();
    side.start(1, "p");
    side.receive("entry", Message::Cancel { attempt: id(1) });
    let out = side.handle(Input::RunChunk {
        run: 1,
        data: "late".into(),
    });
    assert!(out.is_empty(), "{out:?}");
}

/// Trial requests that fill slot and queue must not keep a paying request waiting: it preempts the
/// running one.
#[test]
fn a_full_queue_refuses_trial_work_and_paying_work_preempts_it() {
    let mut side = SideHarness::new();
    for sequence in 1..=3 {
        assert!(refusals(&side.start(sequence, "t")).is_empty());
    }
    assert_eq!(
        refusals(&side.start(4, "t")),
        [(ErrorKind::Overloaded, true)]
    );
    let out = side.start(5, "p");
    assert_eq!(
        calls(&out),
        1,
        "a paying attempt is queued behind trial attempts"
    );
    let cancelled = out
        .iter()
        .any(|o| matches!(o, Output::CancelRun { run: 1 }));
    assert!(cancelled, "the trial run was not cancelled");
}

/// After a restart the side does not know which orders are outdated. An order accepted before
/// control has sent the fencing number could load old weights.
#[test]
fn no_order_is_accepted_before_the_fencing_number_is_known() {
    let mut side = SideHarness::new();
    let order = |fence| Message::Order {
        fence,
        version: "v2".into(),
    };
    let loads = |out: &[Output]| out.iter().any(|o| matches!(o, Output::LoadVersion { .. }));
    assert!(!loads(&side.receive("control", order(9))));
    let out = side.handle(Input::Tick);
    let tag = out.iter().find_map(|o| match o {
        Output::Send {
            message: Message::Propose { tag, .. },
            ..
        } => Some(*tag),
        _ => None,
    });
    let tag = tag.unwrap_or(1);
    let result = Box::new(dotterelrudder_wire::CommandResult::Fence(8));
    side.receive("control", Message::Result { tag, result });
    assert!(
        !loads(&side.receive("control", order(7))),
        "an order with a lower number than the one in force was accepted"
    );
    assert!(loads(&side.receive("control", order(9))));
}
