//! Attempts at a side's core: cancels that come first, repeats, foreign advice, old orders.

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

    fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        out
    }

    fn receive(&mut self, from: &str, message: Message) -> Vec<Output> {
        self.handle(Input::Message {
            from: from.into(),
            revision: Revision(1),
            message,
        })
    }

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

fn calls(out: &[Output]) -> usize {
    out.iter()
        .filter(|o| matches!(o, Output::Call { .. }))
        .count()
}

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

#[test]
fn a_cancel_that_comes_first_keeps_the_late_original_from_running() {
    let mut side = SideHarness::new();
    side.receive("entry", Message::Cancel { attempt: id(1) });
    let out = side.start(1, "p");
    assert_eq!(
        (calls(&out), refusals(&out)[0].0),
        (0, ErrorKind::Cancelled)
    );
}

#[test]
fn a_query_that_comes_first_is_told_as_not_run_and_stays_so() {
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

#[test]
fn a_repeated_start_runs_once_and_another_entry_learns_nothing_of_it() {
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

#[test]
fn an_attempt_that_ended_long_ago_is_never_told_as_not_run() {
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

#[test]
fn an_account_without_the_service_is_refused_whatever_the_entry_says() {
    let mut side = SideHarness::new();
    assert_eq!(
        refusals(&side.start(1, "stranger")),
        [(ErrorKind::NotAllowed, true)]
    );
}

#[test]
fn advice_to_import_another_accounts_block_is_not_followed() {
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

#[test]
fn late_events_of_a_cancelled_run_reach_nobody() {
    let mut side = SideHarness::new();
    side.start(1, "p");
    side.receive("entry", Message::Cancel { attempt: id(1) });
    let out = side.handle(Input::RunChunk {
        run: 1,
        data: "late".into(),
    });
    assert!(out.is_empty(), "{out:?}");
}

#[test]
fn a_full_queue_refuses_and_paying_work_takes_a_trial_place() {
    let mut side = SideHarness::new();
    for sequence in 1..=3 {
        assert!(refusals(&side.start(sequence, "t")).is_empty());
    }
    assert_eq!(
        refusals(&side.start(4, "t")),
        [(ErrorKind::Overloaded, true)]
    );
    let out = side.start(5, "p");
    assert_eq!(calls(&out), 1, "paying work waits behind trial work");
    let cancelled = out
        .iter()
        .any(|o| matches!(o, Output::CancelRun { run: 1 }));
    assert!(cancelled, "the trial run goes on");
}

#[test]
fn no_order_passes_before_the_fencing_number_is_known() {
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
        "an order older than the number in force"
    );
    assert!(loads(&side.receive("control", order(9))));
}
