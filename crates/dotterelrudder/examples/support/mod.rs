//! Cores in a state that benches and the capacity example start from.
#![allow(dead_code)]

use std::time::Duration;

use dotterelrudder::config::collect;
use dotterelrudder::config::ChangeSet;
use dotterelrudder::config::Configuration;
use dotterelrudder::config::ServiceKind;
use dotterelrudder::config::SourceFile;
use dotterelrudder::control;
use dotterelrudder::control::ControlCore;
use dotterelrudder::control::ControlSettings;
use dotterelrudder::control::RaftTiming;
use dotterelrudder::control::Recovered;
use dotterelrudder::route::EntryCore;
use dotterelrudder::route::EntrySettings;
use dotterelrudder::route::Input;
use dotterelrudder::route::RoutingPolicy;
use dotterelrudder::route::Target;
use dotterelrudder::side;
use dotterelrudder::side::SideCore;
use dotterelrudder::side::SideSettings;
use dotterelrudder::types::AccountKeyHash;
use dotterelrudder::types::AttemptId;
use dotterelrudder::types::BlockKey;
use dotterelrudder::types::Revision;
use dotterelrudder::types::Role;
use dotterelrudder::types::Tier;
use dotterelrudder::wire::Command;
use dotterelrudder::wire::LoadReport;
use dotterelrudder::wire::Message;
use dotterelrudder::wire::Start;
use dotterelrudder::wire::Usage;
use dotterelrudder::wire::Work;

/// A time after the start.
pub const NOW: Duration = Duration::from_secs(10);
const KEY: &str = "bench-key";

/// A configuration with one model service and as many accounts as asked for.
pub fn configuration(accounts: usize) -> Configuration {
    let service =
        "[service]\nname = \"m\"\nkind = \"model\"\nmodel = \"m\"\nweight_version = \"v1\"\n";
    let mut text = service.to_owned();
    for number in 0..accounts {
        let key = if number == 0 {
            KEY.to_owned()
        } else {
            format!("key {number}")
        };
        let hash = AccountKeyHash::of_key(&key)
            .0
            .map(|b| format!("{b:02x}"))
            .concat();
        text.push_str(&format!(
            "[[client_account]]\nname = \"a{number}\"\ntier = \"paying\"\nkey_hashes = [\"sha256:{hash}\"]\n\
             requests_per_second = 1000000\nservices = [\"m\"]\n"
        ));
    }
    let file = SourceFile {
        name: "bench".into(),
        text,
    };
    Configuration {
        revision: Revision(1),
        ..collect(&[file]).expect("valid")
    }
}

/// An entry that knows this many runners.
pub fn entry_with_runners(runners: usize) -> EntryCore {
    let mut entry = EntryCore::new(EntrySettings {
        name: "entry".into(),
        controls: vec!["control".into()],
        incarnation: 1,
        policy: RoutingPolicy::default(),
    });
    let mut out = Vec::new();
    let opened = Input::Opened {
        peer: "control".into(),
        role: Role::Control,
        incarnation: 1,
    };
    entry.handle(Duration::ZERO, opened, &mut out);
    let message = Message::Update(Box::new(configuration(240)));
    let update = Input::Message {
        from: "control".into(),
        revision: Revision(1),
        message,
    };
    entry.handle(Duration::ZERO, update, &mut out);
    for number in 0..runners {
        let name = format!("side-{number}");
        let peer = name.as_str().into();
        entry.handle(
            NOW,
            Input::Opened {
                peer,
                role: Role::Side,
                incarnation: 1,
            },
            &mut out,
        );
        let load = LoadReport {
            service: "m".into(),
            version: "v1".into(),
            open: true,
            slots: 16,
            running: (number % 16) as u32,
            prefill_rate: 2e4,
            ..LoadReport::default()
        };
        let message = Message::Load(load);
        let from = name.as_str().into();
        entry.handle(
            NOW,
            Input::Message {
                from,
                revision: Revision(1),
                message,
            },
            &mut out,
        );
    }
    entry
}

/// Adds blocks to what an entry knows of a runner.
pub fn add_blocks(entry: &mut EntryCore, runner: usize, blocks: usize) {
    let added = (0..blocks).map(|number| {
        let mut key = [0; 16];
        key[..8].copy_from_slice(&(number as u64).to_le_bytes());
        key[8..].copy_from_slice(&(runner as u64).to_le_bytes());
        BlockKey(key)
    });
    let message = Message::Blocks {
        sequence: 1,
        whole: true,
        added: added.collect(),
        removed: Vec::new(),
    };
    let from = format!("side-{runner}").as_str().into();
    entry.handle(
        NOW,
        Input::Message {
            from,
            revision: Revision(1),
            message,
        },
        &mut Vec::new(),
    );
}

/// A completion with a prompt of this many bytes.
pub fn request(id: u64, bytes: usize) -> Input {
    Input::Request {
        id,
        key: Some(KEY.into()),
        target: Target::Completion {
            model: "m".into(),
            prompt: vec![b'x'; bytes].into(),
            max_tokens: 20,
        },
        time_limit: Duration::from_secs(60),
        idempotency_key: None,
    }
}

/// A deployment's only control instance, which leads, with the number of its last record.
pub fn single_control() -> (ControlCore, u64) {
    let settings = ControlSettings {
        name: "control".into(),
        peers: Vec::new(),
        timing: RaftTiming::default(),
        bootstrap: true,
        voters: None,
    };
    let mut out = Vec::new();
    let mut core = ControlCore::new(settings, Recovered::default(), 1, Duration::ZERO, &mut out);
    let mut sequence = 0;
    sync(&mut core, &mut sequence, out, Duration::ZERO);
    for ms in [10, 20, 30] {
        let mut out = Vec::new();
        let now = Duration::from_millis(ms);
        core.handle(now, control::Input::Tick, &mut out);
        sync(&mut core, &mut sequence, out, now);
    }
    assert!(core.raft().is_leader());
    (core, sequence)
}

fn sync(core: &mut ControlCore, sequence: &mut u64, out: Vec<control::Output>, now: Duration) {
    let mut out = out;
    while !out.is_empty() {
        for output in &out {
            if let control::Output::Persist {
                sequence: written, ..
            } = output
            {
                *sequence = *written;
            }
        }
        out = Vec::new();
        let synced = control::Input::Synced {
            sequence: *sequence,
        };
        core.handle(now, synced, &mut out);
    }
}

/// Logs a change of configuration and applies it.
pub fn log_one_change(core: &mut ControlCore, sequence: &mut u64) {
    let command = Command::Publish {
        change_id: format!("{sequence}").as_str().into(),
        base: core.state().configuration().revision,
        author: "bench".into(),
        at_ms: 0,
        content: [0; 32],
        change: ChangeSet::default(),
    };
    propose(core, sequence, command);
}

/// Logs a command and applies it.
pub fn propose(core: &mut ControlCore, sequence: &mut u64, command: Command) {
    let mut out = Vec::new();
    let now = Duration::from_millis(40);
    core.handle(now, control::Input::Propose { tag: 1, command }, &mut out);
    sync(core, sequence, out, now);
}

/// A side with a configuration and a loaded engine.
pub fn ready_side() -> SideCore {
    let mut side = SideCore::new(SideSettings {
        name: "side".into(),
        service: "m".into(),
        kind: ServiceKind::Model,
        controls: vec!["control".into()],
        incarnation: 1,
        slots: 16,
    });
    let mut out = Vec::new();
    for (peer, role) in [("control", Role::Control), ("entry", Role::Entry)] {
        side.handle(
            Duration::ZERO,
            side::Input::Opened {
                peer: peer.into(),
                role,
            },
            &mut out,
        );
    }
    let message = Message::Update(Box::new(configuration(240)));
    let update = side::Input::Message {
        from: "control".into(),
        revision: Revision(1),
        message,
    };
    side.handle(Duration::ZERO, update, &mut out);
    let load = side::BackendStatus {
        version: "v1".into(),
        slots: 16,
        prefill_rate: 2e4,
        block_bytes: 65_536,
    };
    side.handle(Duration::ZERO, side::Input::Load(load), &mut out);
    side
}

/// Runs one attempt from its start to its end.
pub fn run_attempt(side: &mut SideCore, sequence: u64, now: Duration) -> usize {
    let start = Start {
        attempt: AttemptId {
            incarnation: 1,
            sequence,
        },
        service: "m".into(),
        account: "a0".into(),
        tier: Tier::Paying,
        deadline_ms: 10_000,
        prefill_tokens: 0,
        claim: None,
        work: Work::Completion {
            model: "m".into(),
            prompt: "question".into(),
            max_tokens: 1,
            version: None,
            import: Vec::new(),
        },
    };
    let mut out = Vec::new();
    let message = Message::Start(Box::new(start));
    let input = side::Input::Message {
        from: "entry".into(),
        revision: Revision(1),
        message,
    };
    side.handle(now, input, &mut out);
    let run = sequence;
    let started = side::Input::RunStarted {
        run,
        version: "v1".into(),
        status: 200,
        content_type: "".into(),
    };
    side.handle(now, started, &mut out);
    side.handle(
        now,
        side::Input::RunChunk {
            run,
            data: " abc".into(),
        },
        &mut out,
    );
    side.handle(
        now,
        side::Input::RunFinished {
            run,
            usage: Usage::default(),
        },
        &mut out,
    );
    if sequence.is_multiple_of(64) {
        side.handle(now, side::Input::Tick, &mut out);
    }
    out.len()
}
