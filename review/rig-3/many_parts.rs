//! Callers that nobody controls name very many parts of their prompts, within the limit of a head.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deployment::{lock, Deployment, Member, Record, CONTROLS};
use crate::http;
use crate::runner::{Run, Runner, MODEL};
use crate::store;
use crate::Verdict;

const KEYS: [&str; 2] = ["nu6wsjnbanfqasnmgkcu", "yj8pjbvk9m68k7b2ex5w"];
/// How long the callers send.
const SPAN: Duration = Duration::from_secs(20);
/// What an ordinary caller waits for its answer.
const DEADLINE: Duration = Duration::from_millis(1_000);
/// The callers that name many parts, one request at a time each.
const MANY_CALLERS: usize = 96;
/// The model runners, as many as the site has.
const RUNNERS: u8 = 12;
/// The length of each of their prompts, in tokens.
const TOKENS: usize = 70_400;
/// The parts that they name; the head stays under `maxHeaderBytes`.
const MANY: usize = 1_100;

fn configuration(store: SocketAddr) -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-2\",\"host\":\"pule25.example\",\"pathPrefix\":\"/puxa400/\",\
         \"kind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"huvo11a\",\
         \"maxAttempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"gapAimMs\":250}},\
         {{\"name\":\"r-3\",\"host\":\"pule25.example\",\"pathPrefix\":\"/defi252/\",\"kind\":\"safe\",\"timeoutMs\":1000,\
         \"targetLatencyMs\":100,\"priority\":2,\"service\":\"kafi81c\",\"maxAttempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"wuno96b\",\"kvStoreAddr\":\"{store}\",\"zone\":\"hall\",\"kvCapacity\":148300,\
         \"linkMbps\":83000.0,\"maxInflight\":12,\"managed\":true,\"first_ms\":0.5}},\
         {{\"name\":\"huvo11a\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":95045,\"kvTokenBytes\":18432,\"linkMbps\":370000.0,\"managed\":true,\
         \"models\":[{{\"name\":\"{MODEL}\"}}]}}}},\
         {{\"name\":\"kafi81c\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"jeye930\",\"apiKeys\":[\"{}\"]}},{{\"name\":\"lohu412\",\"apiKeys\":[\"{}\"]}}]}}",
        KEYS[0], KEYS[1]
    )
}

/// What a caller sends.
struct Ask<'a> {
    path: &'a str,
    id: &'a str,
    key: &'a str,
    /// The token counts and the parts of a prompt.
    prompt: Option<(&'a str, &'a str)>,
    limit: Duration,
}

/// Sends one request and returns its status, 0 without an answer in time, and the size of its head.
fn send(deployment: &Deployment, ask: &Ask) -> (u16, usize) {
    let deadline = ask.limit.as_millis().to_string();
    let mut headers: Vec<(&str, &[u8])> = vec![
        ("Host", b"pule25.example"),
        ("X-Request-Id", ask.id.as_bytes()),
        ("X-Deadline-Ms", deadline.as_bytes()),
        ("Api-Key", ask.key.as_bytes()),
    ];
    if let Some((counts, parts)) = ask.prompt {
        headers.push(("X-Model", MODEL.as_bytes()));
        headers.push(("X-Token-Counts", counts.as_bytes()));
        headers.push(("X-Prefix-Hash", parts.as_bytes()));
    }
    let head: usize = headers.iter().map(|(n, v)| n.len() + v.len() + 4).sum();
    let (method, body): (&str, &[u8]) = if ask.prompt.is_some() {
        ("POST", b"prompt")
    } else {
        ("GET", b"")
    };
    let began = Instant::now();
    let reply = http::call(
        deployment.entry(0),
        method,
        ask.path,
        &headers,
        body,
        ask.limit,
    );
    let status = reply
        .filter(|r| r.whole && began.elapsed() <= ask.limit)
        .map_or(0, |r| r.message.status());
    (status, head + ask.path.len() + method.len() + 32)
}

pub fn play(record: Record, trouble: bool) -> Verdict {
    let deployment = Arc::new(Deployment::new(record.clone()));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let runners: Vec<Runner> = (0..RUNNERS)
        .map(|n| {
            Runner::start(
                &format!("i-{n}"),
                deployment.runner(n),
                runs.clone(),
                record.clone(),
            )
        })
        .collect();
    let desk = Runner::start_for(
        "kafi81c",
        "i-desk",
        deployment.runner(RUNNERS),
        runs.clone(),
        record.clone(),
    );
    let runners: Vec<Runner> = runners.into_iter().chain([desk]).collect();
    runners.iter().for_each(Runner::keep_quiet);
    let listed = runners.clone();
    deployment.serve_list(move || listed.iter().map(Runner::listed).collect());
    store::serve(deployment.store());
    (0..CONTROLS).for_each(|n| deployment.start(Member::Control(n), true));
    deployment.start(Member::Entry(0), true);
    (0..RUNNERS).for_each(|n| deployment.start(Member::Side(n), true));
    let limit = Duration::from_secs(25);
    deployment.operate(
        "PUT",
        "/v1/config",
        &configuration(deployment.store()),
        limit,
    )?;
    deployment.wait_ready(0, limit)?;
    // A store takes nothing until some seconds after it was first read.
    std::thread::sleep(Duration::from_secs(8));

    let parts = if trouble { MANY } else { 3 };
    record.add(format!(
        "{MANY_CALLERS} callers send prompts of {parts} parts for {} s",
        SPAN.as_secs()
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let (sent, answered, largest) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
    );
    let mut callers = Vec::new();
    for caller in 0..MANY_CALLERS {
        let (deployment, stop) = (deployment.clone(), stop.clone());
        let (sent, answered, largest) = (sent.clone(), answered.clone(), largest.clone());
        callers.push(std::thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                let prefix: Vec<String> = (0..parts)
                    .map(|p| format!("{caller:x}{n:04x}{p:03x}:{}", TOKENS / parts))
                    .collect();
                let (id, parts) = (format!("many-{caller}-{n}"), prefix.join(","));
                let counts = format!("{TOKENS},5");
                let limit = Duration::from_secs(15);
                let ask = Ask {
                    path: "/puxa400/2f",
                    id: &id,
                    key: KEYS[1],
                    prompt: Some((&counts, &parts)),
                    limit,
                };
                let (status, head) = send(&deployment, &ask);
                sent.fetch_add(1, Ordering::Relaxed);
                answered.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                largest.fetch_max(head, Ordering::Relaxed);
                n += 1;
                std::thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    // The platform asks once a second whether the entry is ready; no answer within a second is a miss.
    let (platform, stopped) = (deployment.clone(), stop.clone());
    let probes = std::thread::spawn(move || {
        let (mut probes, mut misses) = (0, 0);
        while !stopped.load(Ordering::Relaxed) {
            let began = Instant::now();
            let reply = http::call(
                platform.ready(0),
                "GET",
                "/v1/readyz",
                &[],
                b"",
                Duration::from_secs(1),
            );
            probes += 1;
            misses += usize::from(reply.is_none_or(|r| r.message.status() != 200));
            std::thread::sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
        }
        (probes, misses)
    });
    // Ordinary callers begin when the others have sent for some seconds.
    std::thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let mut ordinary = Vec::new();
    let mut n = 0;
    while began.elapsed() < SPAN {
        let (deployment, id) = (deployment.clone(), format!("ordinary-{n}"));
        ordinary.push(std::thread::spawn(move || {
            let began = Instant::now();
            let ask = Ask {
                path: "/defi252/2f",
                id: &id,
                key: KEYS[0],
                prompt: None,
                limit: DEADLINE,
            };
            let (status, _) = send(&deployment, &ask);
            deployment.record.add(format!(
                "{id} is answered {status} after {:.0} ms",
                began.elapsed().as_secs_f64() * 1_000.0
            ));
            status
        }));
        n += 1;
        std::thread::sleep(Duration::from_millis(250));
    }
    stop.store(true, Ordering::Relaxed);
    let statuses: Vec<u16> = ordinary
        .into_iter()
        .map(|o| o.join().unwrap_or(0))
        .collect();
    callers.into_iter().for_each(|c| drop(c.join()));
    let (probed, misses) = probes.join().unwrap_or((0, 0));
    record.add(format!(
        "{misses} of {probed} readiness checks got no 200 within a second"
    ));
    let ok = statuses.iter().filter(|s| **s == 200).count();
    record.add(format!(
        "{} requests with {parts} parts were sent, {} answered 200; the largest head has {} bytes",
        sent.load(Ordering::Relaxed),
        answered.load(Ordering::Relaxed),
        largest.load(Ordering::Relaxed)
    ));
    record.add(format!(
        "{ok} of {} ordinary requests were answered 200 within {} ms",
        statuses.len(),
        DEADLINE.as_millis()
    ));
    let runs = lock(&runs).len();
    record.add(format!("{runs} runs"));
    let entry_runs = deployment.runs(Member::Entry(0));
    if !entry_runs {
        return Ok(Some("Fault: the entry ended".into()));
    }
    Ok((ok * 2 < statuses.len()).then(|| {
        format!(
            "Fault: {ok} of {} ordinary callers got an answer in time while others name many parts",
            statuses.len()
        )
    }))
}
