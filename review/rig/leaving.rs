//! A server of a plain service leaves while the platform's list is down. Its answers say so.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::{configuration, lock, wait, Deployment, Record, Route, HOST, KEY};
use crate::http::call;
use crate::plain_runner::{Mood, PlainRunner};
use crate::Verdict;

const ENTRIES: u8 = 2;
const SERVERS: u8 = 3;
/// Callers that send one request after the other.
const CALLERS: u32 = 8;
/// How long a request takes: the longest that the site's sheet has.
const WORK_S: f64 = 0.11;
/// Seconds within which a leaving server gets its last request (`drainMs`).
const DRAIN_S: f64 = 3.0;
/// Seconds for which the server goes on after it began to leave, and for which the list is down.
const LEAVING_S: f64 = 6.0;
const DOWN_S: f64 = 8.0;

/// A request as its caller sent it.
struct Sent {
    at: f64,
    entry: u8,
    status: u16,
    says_leaving: bool,
}

pub fn run(record: Record, trouble: bool) -> std::io::Result<Verdict> {
    let deployment = Arc::new(Deployment::new(record.clone())?);
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let id = format!("i-desk-{n}");
        let address = deployment.runner(n);
        servers.push(PlainRunner::start(&id, address, WORK_S, record.clone())?);
        deployment.add_listed(&id, "desk", address);
    }
    for n in 0..3 {
        deployment.start_control(n, true)?;
    }
    for n in 0..ENTRIES {
        deployment.start_entry(n)?;
    }
    let route = Route {
        name: "booking",
        path: "/booking/",
        kind: "unsafe",
        service: "desk",
        attempts: 1,
        timeout_ms: 1_000,
    };
    let body = configuration(1, &[route], &["desk"]);
    let is_set_up = deployment.order(&[0, 1, 2], "/v1/config", &body, 20.0)
        && (0..ENTRIES).all(|n| deployment.wait_until_ready(n, 10.0));
    if !is_set_up {
        return Ok(Verdict::CouldNotRun("the deployment isn't ready".into()));
    }
    wait(1.5);
    let sent: Arc<Mutex<HashMap<String, Sent>>> = Arc::default();
    let (is_over, number) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU32::new(0)),
    );
    let callers = (0..CALLERS).map(|caller| {
        let (deployment, record, sent) = (deployment.clone(), record.clone(), sent.clone());
        let (is_over, number) = (is_over.clone(), number.clone());
        std::thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let n = number.fetch_add(1, Ordering::SeqCst);
                let (id, entry) = (format!("b{n:05}"), (n % u32::from(ENTRIES)) as u8);
                let headers = [
                    ("Host", HOST.into()),
                    ("X-Request-Id", id.clone()),
                    ("X-Deadline-Ms", "1000".into()),
                    ("Api-Key", KEY.into()),
                ];
                let at = record.seconds();
                let address = deployment.entry(entry);
                let limit = Duration::from_millis(1_200);
                let answer = call(address, "POST", "/booking/1", &headers, b"a seat", limit);
                let status = answer.as_ref().map_or(0, |a| a.status);
                let says_leaving = answer.is_ok_and(|a| a.headers.get("server-leaving").is_some());
                record.line(&format!(
                    "caller of {id} at entry-{entry} got status {status}, leaving: {says_leaving}"
                ));
                let request = Sent {
                    at,
                    entry,
                    status,
                    says_leaving,
                };
                lock(&sent).insert(id, request);
                wait(0.013 + 0.007 * f64::from(caller));
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    wait(2.0);
    let leaver = &servers[0];
    if trouble {
        record.line("the platform's list is down");
        *lock(&deployment.list.is_down) = true;
    }
    deployment.list.set_leaving(&leaver.id);
    leaver.set_mood(Mood::Leaves);
    wait(LEAVING_S);
    deployment.list.remove(&leaver.id);
    leaver.end();
    wait(DOWN_S - LEAVING_S);
    *lock(&deployment.list.is_down) = false;
    wait(1.0);
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _panicked = caller.join().is_err();
    }
    let sent = lock(&sent);
    let reached: Vec<&Sent> = lock(&leaver.arrivals)
        .iter()
        .filter_map(|(_, id)| sent.get(id))
        .collect();
    let mut late = 0;
    for entry in 0..ENTRIES {
        let told = reached
            .iter()
            .filter(|r| r.entry == entry && r.says_leaving);
        let told = told.map(|r| r.at).fold(f64::MAX, f64::min);
        late += reached
            .iter()
            .filter(|r| r.entry == entry && r.at > told + DRAIN_S)
            .count();
    }
    let cut = reached.iter().filter(|r| r.status != 200).count();
    let served = sent.values().filter(|r| r.status == 200).count();
    let text = format!(
        "{served} of {} served; {late} requests reached the leaving server that callers sent more than \
         {DRAIN_S} s after an answer with Server-Leaving came from the same entry; {cut} requests that \
         reached it were lost",
        sent.len()
    );
    let is_told = reached.iter().any(|r| r.says_leaving);
    if served < 100 || trouble && !is_told {
        return Ok(Verdict::CouldNotRun(text));
    }
    Ok(Verdict::of(late > 0, text))
}
