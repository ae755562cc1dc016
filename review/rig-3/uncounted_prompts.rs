//! Requests of isolated client accounts that name their prompt's parts, but not its length.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::{lock, Deployment, Member, Record, CONTROLS};
use crate::http;
use crate::runner::{Run, Runner, MODEL};
use crate::Verdict;

/// How long a version may take until all machines obey it (`configApplyMs`), with a margin.
const APPLIED: Duration = Duration::from_millis(3_000);
/// The parts that the prompts of both accounts begin with.
const SHARED: &str = "5c1e07a2:1800,91bd3f06:410";
const KEYS: [&str; 2] = ["nu6wsjnbanfqasnmgkcu", "yj8pjbvk9m68k7b2ex5w"];
const ACCOUNTS: [&str; 2] = ["jeye930", "lohu412"];

fn configuration() -> String {
    let tenant = |n: usize| {
        let (name, key) = (ACCOUNTS[n], KEYS[n]);
        format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"isolated\":true}}")
    };
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"host\":\"pule25.example\",\"pathPrefix\":\"/cufi501/\",\
         \"kind\":\"streaming\",\"timeoutMs\":3000,\"targetLatencyMs\":400,\"priority\":0,\"service\":\"huvo11a\",\
         \"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gapAimMs\":250}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":95045,\"kvTokenBytes\":18432,\"linkMbps\":370000.0,\
         \"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{},{}]}}",
        tenant(0),
        tenant(1)
    )
}

pub fn play(record: Record, trouble: bool) -> Verdict {
    let deployment = Deployment::new(record.clone());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let runner = Runner::start(
        "i-7f3a91c2",
        deployment.runner(0),
        runs.clone(),
        record.clone(),
    );
    let listed = runner.clone();
    deployment.serve_list(move || vec![listed.listed()]);
    (0..CONTROLS).for_each(|n| deployment.start(Member::Control(n), true));
    deployment.start(Member::Entry(0), true);
    deployment.start(Member::Side(0), true);
    let limit = Duration::from_secs(25);
    deployment.operate("PUT", "/v1/config", &configuration(), limit)?;
    deployment.wait_ready(0, limit)?;
    std::thread::sleep(APPLIED);

    let mut served = 0;
    for n in 0..6 {
        let account = n % 2;
        let id = format!("account{account}-{n}");
        let prefix = format!("{SHARED},e4402b{n:02}:150");
        let mut headers: Vec<(&str, &[u8])> = vec![
            ("Host", b"pule25.example"),
            ("X-Request-Id", id.as_bytes()),
            ("X-Model", MODEL.as_bytes()),
            ("X-Prefix-Hash", prefix.as_bytes()),
            ("X-Deadline-Ms", b"3000"),
            ("Api-Key", KEYS[account].as_bytes()),
        ];
        if !trouble {
            headers.push(("X-Token-Counts", b"2360,20"));
        }
        record.add(format!("{id} is sent, with X-Token-Counts: {}", !trouble));
        let reply = http::call(
            deployment.entry(0),
            "POST",
            "/cufi501/2f",
            &headers,
            b"prompt",
            Duration::from_secs(4),
        );
        let reply = reply.ok_or("an entry gave no answer")?;
        record.add(format!(
            "{id} is answered {}, whole: {}",
            reply.message.status(),
            reply.whole
        ));
        served += usize::from(reply.message.status() == 200 && reply.whole);
    }
    // A refusal of such requests would keep the wall too.
    if !trouble && served < 6 {
        return Err("not all requests were served".into());
    }
    let account_of = |id: &str| id.split('-').next().unwrap_or("").to_owned();
    let runs = lock(&runs).clone();
    let foreign = runs.iter().find_map(|run| {
        let maker = run
            .used
            .iter()
            .find(|maker| account_of(maker) != account_of(&run.id))?;
        Some(format!(
            "WALL: {} uses KV cache that {maker} made, and both accounts are isolated",
            run.id
        ))
    });
    Ok(foreign)
}
