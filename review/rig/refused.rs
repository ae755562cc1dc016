//! A server runs some requests in vain and says so with its own status 503. What may not be repeated
//! must not reach the caller as a promise that it has not run.

use std::time::{Duration, Instant};

use crate::deployment::{configuration, lock, wait, Deployment, Record, Route, HOST, KEY};
use crate::http::call;
use crate::plain_runner::{Mood, PlainRunner, WORK_S};
use crate::Verdict;

const ENTRIES: u8 = 2;
const SERVERS: u8 = 3;
const DEADLINE: Duration = Duration::from_millis(1_000);
const BOOKINGS: u32 = 300;
/// Bookings before the disruption.
const WARM_UP: u32 = 40;
/// The share of its requests that the server fails, as the site's `srv_grey` does.
const FAILING_SHARE: f64 = 0.45;
/// Statuses that promise: not run, and never will be.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn run(record: Record, trouble: bool) -> std::io::Result<Verdict> {
    let deployment = Deployment::new(record.clone())?;
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
    // The disruption has to hit a server that is in use: of three, callers of low load reach one or two.
    for n in 0..WARM_UP {
        let headers = [
            ("Host", HOST.into()),
            ("X-Request-Id", format!("w{n:03}")),
            ("X-Deadline-Ms", "1000".into()),
            ("Api-Key", KEY.into()),
        ];
        let entry = deployment.entry((n % u32::from(ENTRIES)) as u8);
        let _answer = call(entry, "POST", "/booking/1", &headers, b"a seat", DEADLINE).is_err();
    }
    if trouble {
        let used = servers.iter().max_by_key(|s| lock(&s.runs).len());
        used.into_iter()
            .for_each(|s| s.set_mood(Mood::FailsSome(FAILING_SHARE)));
    }
    let runs_of = |id: &str| -> u32 {
        let runs = servers.iter().map(|s| lock(&s.runs).get(id).copied());
        runs.flatten().sum()
    };
    let (mut served, mut broken, mut booked_twice) = (0, 0, 0);
    for booking in 0..BOOKINGS {
        let began = Instant::now();
        let mut booked = 0;
        // The caller retries once, at another entry, after a promise.
        for attempt in 0..2_u32 {
            let id = format!("b{booking:03}-{attempt}");
            let left = DEADLINE.saturating_sub(began.elapsed());
            let headers = [
                ("Host", HOST.into()),
                ("X-Request-Id", id.clone()),
                ("X-Deadline-Ms", left.as_millis().to_string()),
                ("Api-Key", KEY.into()),
            ];
            let entry = deployment.entry(((booking + attempt) % u32::from(ENTRIES)) as u8);
            let sent = call(entry, "POST", "/booking/1", &headers, b"a seat", left);
            let status = sent.as_ref().map_or(0, |a| a.status);
            let stamp = sent
                .as_ref()
                .ok()
                .and_then(|a| a.headers.get("x-response-stamp"));
            let runs = runs_of(&id);
            record.line(&format!(
                "caller of {id} got status {status}, stamp {}; the request ran {runs} times",
                stamp.unwrap_or("none")
            ));
            booked += runs;
            if PROMISES.contains(&status) && runs > 0 {
                broken += 1;
            }
            served += u32::from(status == 200);
            if !PROMISES.contains(&status) {
                break;
            }
        }
        booked_twice += u32::from(booked > 1);
        wait(0.02);
    }
    let text = format!(
        "{served} of {BOOKINGS} served; {broken} refused with a promise though they ran; \
         {booked_twice} ran again under the id of the caller's retry"
    );
    if served < BOOKINGS / 2 {
        return Ok(Verdict::CouldNotRun(text));
    }
    Ok(Verdict::of(broken > 0, text))
}
