//! The runners of a service are restarted in place, one after the other, with another version of their
//! software. They keep their ids and addresses.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crate::deployment::not_served;
use crate::fleet::configuration;
use crate::fleet::engine_service;
use crate::fleet::report;
use crate::fleet::row;
use crate::fleet::Fleet;
use crate::fleet::Row;
use crate::http::call;
use crate::http::respond;
use crate::http::Message;
use crate::http::Server;
use crate::http::Then;
use crate::record::Record;
use crate::Outcome;

const MODEL: &str = "m0";
const SERVICE: &str = "lm";
const RUNNERS: u8 = 2;
const ENTRIES: u8 = 2;
const STREAMS: usize = 16;
/// The events of a stream and the pause between them.
const EVENTS: u64 = 60;
const PAUSE: Duration = Duration::from_millis(100);
/// How long a restart takes, and the time from one restart to the next.
const RESTART: Duration = Duration::from_millis(150);
const NEXT_RESTART: Duration = Duration::from_millis(800);
/// The streams of two versions that the rule allows.
const ALLOWED: usize = 2;

/// Writes a stream from the event after the one that the request names.
fn stream(req: &Message, out: &mut TcpStream, id: &str, software: &str, record: &Record) -> Then {
    let request = req.header("x-request-id").unwrap_or("").to_owned();
    let after = req.header("last-event-id").and_then(|v| v.parse().ok());
    let first = after.map_or(1, |n: u64| n + 1);
    record.line(format!(
        "runner {id} ({software}) runs {request} from event {first}"
    ));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request}\r\n\
         X-Response-Stamp: stamp.{id}\r\nX-Instance-Id: {id}\r\nX-Weight-Versions: 1\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    if out.write_all(head.as_bytes()).is_err() {
        return Then::Close;
    }
    for event in first..=EVENTS {
        let text = format!("id: {event}\ndata: word by {software}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if out.write_all(chunk.as_bytes()).is_err() {
            return Then::Close;
        }
        std::thread::sleep(PAUSE);
    }
    match out.write_all(b"0\r\n\r\n") {
        Ok(()) => Then::Keep,
        Err(_) => Then::Close,
    }
}

fn start_runner(row: &Row, running: &Arc<AtomicUsize>, record: &Record) -> Result<Server, String> {
    let (id, software, born_ms) = (row.id.clone(), row.software, row.born_ms);
    let (running, record) = (running.clone(), record.clone());
    record.line(format!("runner {id} starts with software {software}"));
    Server::start(row.address, move |req, out| match req.request() {
        ("GET", "/v1/report") => {
            let json = [("Content-Type", "application/json".to_owned())];
            let running = running.load(Ordering::Relaxed);
            respond(
                out,
                "200 OK",
                &json,
                report(MODEL, born_ms, running).as_bytes(),
            )
        }
        ("POST", path) if path.starts_with("/notes/") => {
            running.fetch_add(1, Ordering::Relaxed);
            let then = stream(req, out, &id, software, &record);
            running.fetch_sub(1, Ordering::Relaxed);
            then
        }
        _ => not_served(out),
    })
}

/// Returns the versions whose events a stream holds.
fn versions(answer: &Message) -> BTreeSet<String> {
    let text = answer.text();
    let words = text
        .lines()
        .filter_map(|l| l.strip_prefix("data: word by "));
    words.map(str::to_owned).collect()
}

pub fn play(record: &Record, with_trouble: bool) -> Result<Outcome, String> {
    let route = format!(
        "{{\"name\":\"r\",\"host\":\"notes.example\",\"pathPrefix\":\"/notes/\",\"kind\":\"streaming\",\
         \"timeoutMs\":15000,\"targetLatencyMs\":1000,\"priority\":0,\"service\":\"{SERVICE}\",\
         \"maxAttempts\":3,\"public\":false,\"sticky\":true,\"resumable\":true,\"gapAimMs\":250}}"
    );
    let tenant = "{\"name\":\"t1\",\"apiKeys\":[\"key-of-t1\"],\"priority\":1}".to_owned();
    let document = configuration(1, &[route], &[engine_service(SERVICE, MODEL)], &[tenant]);
    let mut fleet = Fleet::start(record, ENTRIES, RUNNERS, &document, |_| Vec::new())?;
    let mut rows: Vec<Row> = (1..=RUNNERS)
        .map(|n| {
            row(
                &format!("i-{n}"),
                SERVICE,
                fleet.deployment.runner(n),
                MODEL,
            )
        })
        .collect();
    let set_list = |rows: &[Row]| {
        let rows: Vec<String> = rows.iter().map(Row::json).collect();
        fleet.deployment.list.set(&rows);
    };
    set_list(&rows);
    let running: Vec<Arc<AtomicUsize>> = rows.iter().map(|_| Arc::default()).collect();
    let mut servers = Vec::new();
    for (row, running) in rows.iter().zip(&running) {
        servers.push(Some(start_runner(row, running, record)?));
    }
    std::thread::sleep(Duration::from_secs(4));

    let callers = (1..=STREAMS).map(|n| {
        let to: SocketAddr = fleet.deployment.front(1 + (n % usize::from(ENTRIES)) as u8);
        let headers = [
            ("Host", "notes.example".to_owned()),
            ("X-Request-Id", format!("stream-{n}")),
            ("X-Model", MODEL.to_owned()),
            ("X-Token-Counts", "1460,80".to_owned()),
            ("X-Prefix-Hash", format!("{n:08x}:800,a{n:07x}:250")),
            ("X-Deadline-Ms", "15000".to_owned()),
            ("Api-Key", "key-of-t1".to_owned()),
        ];
        std::thread::spawn(move || {
            call(
                to,
                "POST",
                "/notes/a",
                &headers,
                b"prompt",
                Duration::from_secs(8),
            )
        })
    });
    let callers: Vec<_> = callers.collect();
    std::thread::sleep(Duration::from_secs(2));
    if with_trouble {
        for n in 0..usize::from(RUNNERS) {
            record.line(format!(
                "runner {} is restarted with software v2",
                rows[n].id
            ));
            servers[n] = None;
            std::thread::sleep(RESTART);
            rows[n] = Row {
                software: "v2",
                ..row(&rows[n].id, SERVICE, rows[n].address, MODEL)
            };
            set_list(&rows);
            servers[n] = Some(start_runner(&rows[n], &running[n], record)?);
            std::thread::sleep(NEXT_RESTART - RESTART);
        }
    }
    let (mut begun, mut whole, mut mixed) = (0, 0, 0);
    for (n, caller) in callers.into_iter().enumerate() {
        let answer = caller.join().map_err(|_| "a caller panicked")?;
        let Ok(answer) = answer else {
            record.line(format!("client: stream-{} got no answer", n + 1));
            continue;
        };
        let versions = versions(&answer);
        record.line(format!(
            "client: stream-{} got {}, complete {}, events of {versions:?}",
            n + 1,
            answer.status(),
            answer.is_complete
        ));
        begun += usize::from(answer.status() == 200);
        whole += usize::from(answer.is_complete);
        mixed += usize::from(versions.len() > 1);
    }
    fleet.check_running()?;
    for n in 1..=ENTRIES {
        fleet
            .deployment
            .quote_log(&format!("entry-{n}"), &["stream resumed", "not resumed"]);
    }
    record.line(format!(
        "{begun} streams began, {whole} are complete, {mixed} hold events of both versions"
    ));
    if begun < STREAMS / 2 {
        return Err("too few streams began".into());
    }
    Ok(match mixed > ALLOWED {
        true => Outcome::Broken(format!(
            "{mixed} streams hold events from runners of two software versions, {ALLOWED} may"
        )),
        false => Outcome::Held,
    })
}
