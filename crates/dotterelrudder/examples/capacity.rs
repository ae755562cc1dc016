//! Measures the slopes that docs/CAPACITY.md is worked out from: processor time and memory of each
//! role at one size a process, since memory that one size freed would hide the next one's need.

use std::time::Duration;
use std::time::Instant;

use dotterelrudder::route::Input;
use dotterelrudder::types::AttemptId;
use dotterelrudder::types::Revision;
use dotterelrudder::wire::ClaimKey;
use dotterelrudder::wire::Command;
use dotterelrudder::wire::LoadReport;
use dotterelrudder::wire::Message;

mod support;

const PAGE_BYTES: usize = 4_096;
const ROUNDS: u64 = 2_000;

/// Returns the memory that the process holds, in bytes.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|n| n.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the microseconds that one of `rounds` calls takes.
fn micros<F>(rounds: u64, mut step: F) -> f64
where
    F: FnMut(u64),
{
    let began = Instant::now();
    (0..rounds).for_each(&mut step);
    began.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

fn entry_slope(runners: usize) {
    let before = resident();
    let mut entry = support::entry_with_runners(runners);
    for runner in 0..runners {
        support::add_blocks(&mut entry, runner, 200);
    }
    let held = resident().saturating_sub(before);
    let mut id = 0;
    let mut route = |bytes: usize| {
        micros(ROUNDS / 4, |_| {
            id += 1;
            let mut out = Vec::new();
            entry.handle(support::NOW, support::request(id, bytes), &mut out);
            entry.handle(support::NOW, Input::CallerGone { id }, &mut out);
        })
    };
    let (short, long) = (route(400), route(40_000));
    let report = micros(ROUNDS, |round| {
        let load = LoadReport {
            service: "m".into(),
            version: "v1".into(),
            ..Default::default()
        };
        let from = format!("side-{}", round as usize % runners).as_str().into();
        let message = Message::Load(load);
        let input = Input::Message {
            from,
            revision: Revision(1),
            message,
        };
        entry.handle(support::NOW, input, &mut Vec::new());
    });
    let held = held as f64 / 1e6;
    println!("| entry | {runners} runners | short {short:.1}, 10,000 tokens {long:.1}, load report {report:.2} | {held:.1} |");
}

fn side_slope(attempts: u64) {
    let before = resident();
    let mut side = support::ready_side();
    let spread = Duration::from_secs(29) / attempts as u32;
    let each = micros(attempts, |round| {
        support::run_attempt(&mut side, round + 1, spread * round as u32);
    });
    let held = resident().saturating_sub(before) as f64 / 1e6;
    println!("| side | {attempts} attempts in 30 s | whole attempt {each:.1} | {held:.1} |");
}

fn claim_slope(claims: u64) {
    let before = resident();
    let (mut core, mut sequence) = support::single_control();
    let each = micros(claims, |round| {
        let attempt = AttemptId {
            incarnation: 1,
            sequence: round,
        };
        let key = ClaimKey {
            account: "a0".into(),
            key: format!("0190a7f0-0000-7000-8000-{round:012}")
                .as_str()
                .into(),
            request_hash: [1; 16],
        };
        let claim = Command::Claim {
            key: key.clone(),
            holder: "side-1".into(),
            incarnation: 1,
            attempt,
            at_ms: 0,
        };
        support::propose(&mut core, &mut sequence, claim);
        let finish = Command::FinishClaim {
            key,
            attempt,
            status: 200,
            content_type: "application/json".into(),
            body: vec![b'x'; 200].into(),
            usage: Default::default(),
            at_ms: 0,
        };
        support::propose(&mut core, &mut sequence, finish);
    });
    let held = resident().saturating_sub(before) as f64 / 1e6;
    let snapshot = core.state().encode().len() as f64 / 1e6;
    println!("| control | {claims} claims kept, snapshot {snapshot:.1} MB | claim and answer {each:.1} | {held:.1} |");
}

fn configuration_slope(accounts: usize) {
    let before = resident();
    let cfg = support::configuration(accounts);
    let held = resident().saturating_sub(before) as f64 / 1e6;
    let mut buf = bytes::BytesMut::new();
    let message = Message::Update(Box::new(cfg));
    dotterelrudder::wire::encode_frame(&message, &mut buf).expect("within a frame");
    let whole = buf.len() as f64 / 1e3;
    let (mut core, mut sequence) = support::single_control();
    let each = micros(ROUNDS, |_| {
        support::log_one_change(&mut core, &mut sequence)
    });
    println!("| control | {accounts} client accounts, whole configuration {whole:.1} KB | change {each:.1} | {held:.1} |");
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let size = arguments.get(1).and_then(|size| size.parse::<usize>().ok());
    match (arguments.first().map(String::as_str), size) {
        (Some("entry"), Some(size)) => entry_slope(size),
        (Some("side"), Some(size)) => side_slope(size as u64),
        (Some("claims"), Some(size)) => claim_slope(size as u64),
        (Some("configuration"), Some(size)) => configuration_slope(size),
        _ => eprintln!("Usage: capacity entry|side|claims|configuration SIZE"),
    }
}
