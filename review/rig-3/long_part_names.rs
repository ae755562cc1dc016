//! Callers that nobody controls give the parts of their prompts very long names, within the limit of a
//! head.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Member, Record, CONTROLS, ENTRY_MEMORY_MB};
use crate::http;
use crate::runner::{Run, Runner, MODEL};
use crate::Verdict;

const KEY: &str = "nu6wsjnbanfqasnmgkcu";
/// How long the callers send.
const SPAN: Duration = Duration::from_secs(75);
const CALLERS: usize = 12;
/// How long each of them waits between two requests.
const PAUSE: Duration = Duration::from_millis(60);
/// The length of a name; the head stays under `maxHeaderBytes`.
const LONG: usize = 15_000;

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"host\":\"pule25.example\",\"pathPrefix\":\"/cufi501/\",\
         \"kind\":\"streaming\",\"timeoutMs\":3000,\"targetLatencyMs\":400,\"priority\":0,\"service\":\"huvo11a\",\
         \"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gapAimMs\":250}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":95045,\"kvTokenBytes\":18432,\"linkMbps\":370000.0,\
         \"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"jeye930\",\"apiKeys\":[\"{KEY}\"]}}]}}"
    )
}

pub fn play(record: Record, trouble: bool) -> Verdict {
    let deployment = Arc::new(Deployment::new(record.clone()));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let runners: Vec<Runner> = (0..2)
        .map(|n| {
            Runner::start(
                &format!("i-{n}"),
                deployment.runner(n),
                runs.clone(),
                record.clone(),
            )
        })
        .collect();
    runners.iter().for_each(Runner::keep_quiet);
    let listed = runners.clone();
    deployment.serve_list(move || listed.iter().map(Runner::listed).collect());
    (0..CONTROLS).for_each(|n| deployment.start(Member::Control(n), true));
    deployment.start(Member::Entry(0), true);
    (0..2).for_each(|n| deployment.start(Member::Side(n), true));
    let limit = Duration::from_secs(25);
    deployment.operate("PUT", "/v1/config", &configuration(), limit)?;
    deployment.wait_ready(0, limit)?;
    std::thread::sleep(Duration::from_secs(2));

    let length = if trouble { LONG } else { 8 };
    record.add(format!(
        "{CALLERS} callers send prompts of two parts, the first with a name of {length} digits"
    ));
    let began = Instant::now();
    let (sent, answered) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (deployment, sent, answered) = (deployment.clone(), sent.clone(), answered.clone());
            std::thread::spawn(move || {
                let mut n = 0;
                while began.elapsed() < SPAN && deployment.runs(Member::Entry(0)) {
                    let (id, part) = (format!("long-{caller}-{n}"), format!("{caller:02x}{n:06x}"));
                    let prefix = format!("{part:0>length$}:341,e440{n:04x}:160");
                    let headers: Vec<(&str, &[u8])> = vec![
                        ("Host", b"pule25.example"),
                        ("X-Request-Id", id.as_bytes()),
                        ("X-Model", MODEL.as_bytes()),
                        ("X-Token-Counts", b"501,5"),
                        ("X-Prefix-Hash", prefix.as_bytes()),
                        ("X-Deadline-Ms", b"3000"),
                        ("Api-Key", KEY.as_bytes()),
                    ];
                    let limit = Duration::from_secs(3);
                    let reply = http::call(
                        deployment.entry(0),
                        "POST",
                        "/cufi501/2f",
                        &headers,
                        b"prompt",
                        limit,
                    );
                    sent.fetch_add(1, Ordering::Relaxed);
                    let is_ok = reply.is_some_and(|r| r.whole && r.message.status() == 200);
                    answered.fetch_add(usize::from(is_ok), Ordering::Relaxed);
                    n += 1;
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    let mut most = 0;
    while began.elapsed() < SPAN && deployment.runs(Member::Entry(0)) {
        std::thread::sleep(Duration::from_secs(3));
        let memory = deployment.memory_mb(Member::Entry(0));
        most = most.max(memory);
        let (sent, answered) = (
            sent.load(Ordering::Relaxed),
            answered.load(Ordering::Relaxed),
        );
        record.add(format!(
            "the entry uses {memory} MB after {sent} requests, {answered} answered 200"
        ));
    }
    callers.into_iter().for_each(|c| drop(c.join()));
    if !deployment.runs(Member::Entry(0)) {
        return Ok(Some("Fault: the entry ended".into()));
    }
    if answered.load(Ordering::Relaxed) * 2 < sent.load(Ordering::Relaxed) && !trouble {
        return Err("too few requests were served".into());
    }
    Ok((most > ENTRY_MEMORY_MB).then(|| {
        format!("Fault: the entry uses {most} MB on a machine of {ENTRY_MEMORY_MB} MB, where it is killed")
    }))
}
