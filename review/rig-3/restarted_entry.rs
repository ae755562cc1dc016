//! An entry is restarted as planned while new weights come in, and a runner that was down returns with
//! the older ones.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::{lock, Deployment, Member, Record, CONTROLS};
use crate::http;
use crate::runner::{Run, Runner, MODEL};
use crate::Verdict;

/// `versionMs` of the settings, in seconds.
const VERSION_S: f64 = 10.0;
/// `contactMs`: a machine is in touch this long after its start, in seconds.
const CONTACT_S: f64 = 3.0;
const KEY: &str = "nu6wsjnbanfqasnmgkcu";
/// The model runners, of which one falls silent.
const RUNNERS: u8 = 4;
/// The prompts that are sent at once.
const BURST: usize = 20;

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"host\":\"pule25.example\",\"pathPrefix\":\"/puxa400/\",\
         \"kind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"huvo11a\",\
         \"maxAttempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"gapAimMs\":250}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":95045,\"kvTokenBytes\":18432,\"linkMbps\":370000.0,\
         \"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"jeye930\",\"apiKeys\":[\"{KEY}\"]}}]}}"
    )
}

/// Sends some long prompts at once, and waits for their answers.
fn burst(deployment: &Arc<Deployment>, name: &str) {
    let callers: Vec<_> = (0..BURST)
        .map(|n| {
            let (deployment, id) = (deployment.clone(), format!("{name}-{n}"));
            std::thread::spawn(move || {
                let prefix = format!("{:x}:9122,e44{n:02x}:2870", 0x5c1e_07a2 + n);
                let headers: Vec<(&str, &[u8])> = vec![
                    ("Host", b"pule25.example"),
                    ("X-Request-Id", id.as_bytes()),
                    ("X-Model", MODEL.as_bytes()),
                    ("X-Token-Counts", b"11992,76"),
                    ("X-Prefix-Hash", prefix.as_bytes()),
                    ("X-Deadline-Ms", b"15000"),
                    ("Api-Key", KEY.as_bytes()),
                ];
                let (entry, limit) = (deployment.entry(0), Duration::from_secs(15));
                let reply = http::call(entry, "POST", "/puxa400/2f", &headers, b"prompt", limit);
                let status = reply.map_or(0, |r| r.message.status());
                deployment.record.add(format!("{id} is answered {status}"));
            })
        })
        .collect();
    for caller in callers {
        let _ended = caller.join();
    }
}

/// Waits until a time of the record, in seconds.
fn wait_until(record: &Record, at: f64) {
    std::thread::sleep(Duration::from_secs_f64((at - record.at()).max(0.0)));
}

pub fn play(record: Record, trouble: bool) -> Verdict {
    let deployment = Arc::new(Deployment::new(record.clone()));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let start = |n| {
        let (address, record) = (deployment.runner(n), record.clone());
        Runner::start(&format!("i-{n}"), address, runs.clone(), record)
    };
    let runners: Vec<Runner> = (0..RUNNERS).map(start).collect();
    let listed = runners.clone();
    deployment.serve_list(move || {
        let listed = listed.iter().filter(|r| r.is_listed());
        listed.map(Runner::listed).collect()
    });
    (0..CONTROLS).for_each(|n| deployment.start(Member::Control(n), true));
    deployment.start(Member::Entry(0), true);
    (0..RUNNERS).for_each(|n| deployment.start(Member::Side(n), true));
    let limit = Duration::from_secs(25);
    deployment.operate("PUT", "/v1/config", &configuration(), limit)?;
    deployment.wait_ready(0, limit)?;
    std::thread::sleep(Duration::from_secs(3));
    burst(&deployment, "before");

    // Without the restart of the entry, to tell which of the disruptions it takes.
    let restarts = std::env::var("RESTART").map_or(true, |v| v != "0");
    let (lost, side) = (
        &runners[usize::from(RUNNERS) - 1],
        Member::Side(RUNNERS - 1),
    );
    if trouble {
        lost.go_dark();
    }
    std::thread::sleep(Duration::from_secs(1));
    runners.iter().for_each(|r| r.name_version(2));
    let body = format!("{{\"model\":\"{MODEL}\",\"version\":2}}");
    deployment.operate("POST", "/v1/version-put", &body, limit)?;
    let acknowledged = record.at();
    wait_until(&record, acknowledged + 3.0);
    let mut started = 0.0;
    if trouble && restarts {
        deployment.signal(Member::Entry(0), "TERM");
        deployment.reap(Member::Entry(0), Duration::from_secs(8));
        started = record.at();
        deployment.start(Member::Entry(0), false);
    }
    deployment.wait_ready(0, limit)?;
    wait_until(&record, acknowledged + VERSION_S - 0.5);
    if trouble {
        deployment.signal(side, "STOP");
    }
    wait_until(&record, acknowledged + VERSION_S + 0.2);
    if trouble {
        lost.come_back();
    }
    let from = (acknowledged + VERSION_S + 0.8).max(started + CONTACT_S + 0.2);
    wait_until(&record, from);
    for n in 0..3 {
        burst(&deployment, &format!("after{n}"));
    }
    if trouble {
        deployment.signal(side, "CONT");
    }
    let runs = lock(&runs).clone();
    let late: Vec<&Run> = runs.iter().filter(|r| r.at > from).collect();
    if late.is_empty() {
        return Err("no request ran after the limit".into());
    }
    let stale: Vec<&&Run> = late.iter().filter(|r| r.version < 2).collect();
    record.add(format!(
        "{} of {} runs after the limit began on version 1",
        stale.len(),
        late.len()
    ));
    Ok(stale.first().map(|run| {
        format!(
            "VERSION: {} begins on version 1 of {} {:.1} s after version 2 was acknowledged",
            run.id,
            run.runner,
            run.at - acknowledged
        )
    }))
}
