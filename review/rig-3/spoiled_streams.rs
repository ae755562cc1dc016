//! A faulty runner spoils its streams and breaks them off; another one is sound.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::{lock, Deployment, Member, Record, CONTROLS};
use crate::http;
use crate::runner::{Run, Runner, EVENTS, MODEL};
use crate::Verdict;

const KEY: &str = "nu6wsjnbanfqasnmgkcu";
const REQUESTS: usize = 12;

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
    let deployment = Deployment::new(record.clone());
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
    let listed = runners.clone();
    deployment.serve_list(move || listed.iter().map(Runner::listed).collect());
    (0..CONTROLS).for_each(|n| deployment.start(Member::Control(n), true));
    deployment.start(Member::Entry(0), true);
    (0..2).for_each(|n| deployment.start(Member::Side(n), true));
    let limit = Duration::from_secs(25);
    deployment.operate("PUT", "/v1/config", &configuration(), limit)?;
    deployment.wait_ready(0, limit)?;
    std::thread::sleep(Duration::from_secs(2));
    if trouble {
        runners[0].spoil_streams();
    }
    let mut broken = None;
    let mut complete = 0;
    for n in 0..REQUESTS {
        let id = format!("stream-{n}");
        let prefix = format!("5c1e07a2:341,91bd{n:04x}:1520,e440{n:04x}:507");
        let headers: Vec<(&str, &[u8])> = vec![
            ("Host", b"pule25.example"),
            ("X-Request-Id", id.as_bytes()),
            ("X-Model", MODEL.as_bytes()),
            ("X-Token-Counts", b"2368,5"),
            ("X-Prefix-Hash", prefix.as_bytes()),
            ("X-Deadline-Ms", b"3000"),
            ("Api-Key", KEY.as_bytes()),
        ];
        let reply = http::call(
            deployment.entry(0),
            "POST",
            "/cufi501/2f",
            &headers,
            b"prompt",
            Duration::from_secs(4),
        );
        let reply = reply.ok_or("an entry gave no answer")?;
        let (status, body) = (
            reply.message.status(),
            String::from_utf8_lossy(&reply.message.body).into_owned(),
        );
        record.add(format!(
            "{id} is answered {status}, whole: {}, {body:?}",
            reply.whole
        ));
        if status != 200 || !reply.whole {
            continue;
        }
        complete += 1;
        // A stream is complete only with the events of one run, or of a run that went on behind the last one.
        let expected: String = (1..=EVENTS)
            .map(|n| format!("id: {n}\ndata: token {n}\n\n"))
            .collect();
        if body != expected {
            let at: Vec<String> = lock(&runs)
                .iter()
                .filter(|r| r.id == id)
                .map(|r| r.runner.clone())
                .collect();
            broken = broken.or(Some(format!(
                "ORDER: {id} ran at {at:?}, no run was asked to go on behind an event, and its whole answer joins their pieces"
            )));
        }
    }
    if !trouble && complete < REQUESTS {
        return Err("not all streams were served".into());
    }
    Ok(broken)
}
