//! A part of a prompt crashes each runner that begins to write an answer on it. The streams of these
//! runners have neither a length nor chunks and end with their connection.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::not_served;
use crate::deployment::unix_ms;
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
const RUNNERS: u8 = 6;
const ENTRIES: u8 = 2;
/// The part that crashes runners, and the one that all requests share.
const BAD_PART: &str = "bad0bad0";
const FIRST_PART: &str = "5c1e07a2";
/// How long a crashed runner is away.
const AWAY: Duration = Duration::from_secs(3);
/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_secs(3);
/// How long requests come after the fifth crash.
const AFTERWARDS: Duration = Duration::from_secs(20);
/// The pause between two requests with the bad part, and between two sound ones.
const BAD_PAUSE: Duration = Duration::from_millis(400);
const SOUND_PAUSE: Duration = Duration::from_millis(100);
/// The requests of each kind that the rule needs at least.
const ENOUGH: usize = 20;

/// What the runners have seen of the bad part.
#[derive(Default)]
struct Seen {
    /// When each runner crashed.
    crashes: Vec<Instant>,
    /// When each request with the part reached a runner, and its id.
    arrivals: Vec<(Instant, String)>,
}

struct World {
    record: Record,
    seen: Mutex<Seen>,
    crashes_runners: bool,
    is_framed: bool,
    crashed: Mutex<Sender<u8>>,
}

/// Writes the head of a stream, with chunks or with neither chunks nor a length.
fn begin(req: &Message, out: &mut TcpStream, id: &str, is_framed: bool) -> std::io::Result<()> {
    let framing = match is_framed {
        true => "Transfer-Encoding: chunked\r\n",
        false => "Connection: close\r\n",
    };
    let request = req.header("x-request-id").unwrap_or("");
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request}\r\n\
         X-Response-Stamp: stamp.{id}\r\nX-Instance-Id: {id}\r\nX-Weight-Versions: 1\r\n{framing}\r\n"
    );
    out.write_all(head.as_bytes())
}

fn write(out: &mut TcpStream, text: &str, is_framed: bool) -> std::io::Result<()> {
    let bytes = match is_framed {
        true => format!("{:x}\r\n{text}\r\n", text.len()),
        false => text.to_owned(),
    };
    out.write_all(bytes.as_bytes())
}

/// Runs a request at runner `n`.
fn run(world: &World, n: u8, id: &str, req: &Message, out: &mut TcpStream) -> Then {
    let request = req.header("x-request-id").unwrap_or("").to_owned();
    let is_bad = req
        .header("x-prefix-hash")
        .is_some_and(|p| p.contains(BAD_PART));
    if is_bad {
        let mut seen = world.seen.lock().unwrap();
        seen.arrivals.push((Instant::now(), request.clone()));
        world.record.line(format!(
            "request {request} with the part reaches runner {id}"
        ));
    }
    std::thread::sleep(Duration::from_millis(20));
    if begin(req, out, id, world.is_framed).is_err() {
        return Then::Close;
    }
    if is_bad && world.crashes_runners {
        // The first event is being written.
        let _written = write(out, "id: 1\ndata: wo", world.is_framed);
        let mut seen = world.seen.lock().unwrap();
        seen.crashes.push(Instant::now());
        let crashes = seen.crashes.len();
        drop(seen);
        world.record.line(format!(
            "runner {id} crashes on request {request}, crash {crashes}"
        ));
        // The receiver lives as long as the case.
        let _sent = world.crashed.lock().unwrap().send(n);
        std::thread::sleep(Duration::from_millis(200));
        return Then::Close;
    }
    for event in 1..=3 {
        if write(
            out,
            &format!("id: {event}\ndata: word\n\n"),
            world.is_framed,
        )
        .is_err()
        {
            return Then::Close;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    if world.is_framed && out.write_all(b"0\r\n\r\n").is_ok() {
        return Then::Keep;
    }
    Then::Close
}

fn start_runner(world: &Arc<World>, n: u8, id: &str, at: SocketAddr) -> Result<Server, String> {
    let (world, id, born_ms) = (world.clone(), id.to_owned(), unix_ms());
    Server::start(at, move |req, out| match req.request() {
        ("GET", "/v1/report") => {
            let json = [("Content-Type", "application/json".to_owned())];
            respond(out, "200 OK", &json, report(MODEL, born_ms, 0).as_bytes())
        }
        ("POST", path) if path.starts_with("/notes/") => run(&world, n, &id, req, out),
        _ => not_served(out),
    })
}

/// Sends one request. Returns whether its stream began.
fn ask(to: SocketAddr, id: &str, parts: &str) -> bool {
    let headers = [
        ("Host", "notes.example".to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Model", MODEL.to_owned()),
        ("X-Token-Counts", "1460,80".to_owned()),
        ("X-Prefix-Hash", parts.to_owned()),
        ("X-Deadline-Ms", "3000".to_owned()),
        ("Api-Key", "key-of-t1".to_owned()),
    ];
    let body = format!("prompt of {id}");
    let answer = call(
        to,
        "POST",
        "/notes/a",
        &headers,
        body.as_bytes(),
        Duration::from_secs(4),
    );
    answer.is_ok_and(|a| a.status() == 200 && a.text().contains("data: word\n\n"))
}

pub fn play(record: &Record, with_trouble: bool) -> Result<Outcome, String> {
    let is_framed = std::env::var("FRAMED").is_ok_and(|v| v == "1");
    record.line(format!("streams with chunks: {is_framed}"));
    let route = format!(
        "{{\"name\":\"r\",\"host\":\"notes.example\",\"pathPrefix\":\"/notes/\",\"kind\":\"streaming\",\
         \"timeoutMs\":3000,\"targetLatencyMs\":400,\"priority\":0,\"service\":\"{SERVICE}\",\
         \"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gapAimMs\":250}}"
    );
    let tenant = "{\"name\":\"t1\",\"apiKeys\":[\"key-of-t1\"],\"priority\":1}".to_owned();
    let document = configuration(1, &[route], &[engine_service(SERVICE, MODEL)], &[tenant]);
    let (tx, rx) = channel();
    let world = Arc::new(World {
        record: record.clone(),
        seen: Mutex::default(),
        crashes_runners: with_trouble,
        is_framed,
        crashed: Mutex::new(tx),
    });
    let mut fleet = Fleet::start(record, ENTRIES, RUNNERS, &document, |d| {
        let rows = (1..=RUNNERS).map(|n| row(&format!("i-{n}-1"), SERVICE, d.runner(n), MODEL));
        rows.collect()
    })?;
    let rows: Vec<Row> = (1..=RUNNERS)
        .map(|n| {
            row(
                &format!("i-{n}-1"),
                SERVICE,
                fleet.deployment.runner(n),
                MODEL,
            )
        })
        .collect();
    let rows = Arc::new(Mutex::new(rows));
    let mut servers = Vec::new();
    for n in 1..=RUNNERS {
        let at = fleet.deployment.runner(n);
        servers.push(Some(start_runner(&world, n, &format!("i-{n}-1"), at)?));
    }
    std::thread::sleep(Duration::from_secs(2));

    // Crashed runners end and come back under new ids; the list shows a crashed one until it is back.
    let is_over = Arc::new(AtomicBool::new(false));
    let (over, list, at) = (is_over.clone(), fleet.deployment.list.clone(), rows.clone());
    let supervised = world.clone();
    let supervisor = std::thread::spawn(move || {
        let mut starts = vec![1; usize::from(RUNNERS)];
        let mut away: Vec<(Instant, u8)> = Vec::new();
        while !over.load(Ordering::Acquire) {
            if let Ok(n) = rx.recv_timeout(Duration::from_millis(5)) {
                let ended = servers[usize::from(n) - 1].take();
                if ended.is_some() {
                    drop(ended);
                    away.push((Instant::now(), n));
                }
            }
            let Some(position) = away.iter().position(|(since, _)| since.elapsed() >= AWAY) else {
                continue;
            };
            let (_, n) = away.remove(position);
            let index = usize::from(n) - 1;
            starts[index] += 1;
            let id = format!("i-{n}-{}", starts[index]);
            let mut rows = at.lock().unwrap();
            let address = rows[index].address;
            rows[index] = row(&id, SERVICE, address, MODEL);
            supervised.record.line(format!("runner {id} is back"));
            servers[index] = start_runner(&supervised, n, &id, address).ok();
            list.set(&rows.iter().map(Row::json).collect::<Vec<_>>());
        }
    });

    // Sound requests share their first part with the bad ones.
    let (sound, begun) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let fronts: Vec<SocketAddr> = (1..=ENTRIES).map(|n| fleet.deployment.front(n)).collect();
    let (over, asked, began, to) = (
        is_over.clone(),
        sound.clone(),
        begun.clone(),
        fronts.clone(),
    );
    let callers = std::thread::spawn(move || {
        let mut n = 0;
        while !over.load(Ordering::Acquire) {
            n += 1;
            let (asked, began, to) = (asked.clone(), began.clone(), to[n % to.len()]);
            std::thread::spawn(move || {
                asked.fetch_add(1, Ordering::Relaxed);
                if ask(
                    to,
                    &format!("sound-{n}"),
                    &format!("{FIRST_PART}:800,5a{n:06x}:250"),
                ) {
                    began.fetch_add(1, Ordering::Relaxed);
                }
            });
            std::thread::sleep(SOUND_PAUSE);
        }
    });
    std::thread::sleep(Duration::from_secs(4));
    let share = |from: (usize, usize)| {
        let asked = sound.load(Ordering::Relaxed) - from.0;
        let began = begun.load(Ordering::Relaxed) - from.1;
        (began, asked)
    };
    let (calm_began, calm_asked) = share((0, 0));
    record.line(format!(
        "before: {calm_began} of {calm_asked} sound requests began"
    ));

    let started = Instant::now();
    let mut fifth: Option<Instant> = None;
    let mut late_from: Option<(usize, usize)> = None;
    let mut n = 0;
    loop {
        n += 1;
        let (to, parts) = (
            fronts[n % fronts.len()],
            format!("{FIRST_PART}:800,{BAD_PART}:410,b{n:07x}:250"),
        );
        std::thread::spawn(move || ask(to, &format!("bad-{n}"), &parts));
        std::thread::sleep(BAD_PAUSE);
        fifth = fifth.or_else(|| world.seen.lock().unwrap().crashes.get(4).copied());
        let now = (sound.load(Ordering::Relaxed), begun.load(Ordering::Relaxed));
        if late_from.is_none() && fifth.is_some_and(|at| at.elapsed() >= 2 * CONTACT) {
            late_from = Some(now);
        }
        let since = fifth.map_or(started.elapsed(), |at| at.elapsed());
        if since >= AFTERWARDS {
            break;
        }
    }
    let (late_began, late_asked) = share(late_from.unwrap_or_default());
    is_over.store(true, Ordering::Release);
    let _joined = (supervisor.join(), callers.join());
    fleet.check_running()?;
    for n in 1..=ENTRIES {
        fleet
            .deployment
            .quote_log(&format!("entry-{n}"), &["blocked", "probed"]);
    }
    let seen = world.seen.lock().unwrap();
    let crashes = seen.crashes.len();
    record.line(format!("{crashes} runners crashed"));
    if !with_trouble {
        return Ok(Outcome::Held);
    }
    let Some(fifth) = fifth else {
        record.line("fewer than five runners crashed, the part was blocked");
        return Ok(Outcome::Held);
    };
    record.line(format!(
        "afterwards: {late_began} of {late_asked} sound requests began"
    ));
    let late = seen
        .arrivals
        .iter()
        .filter(|(at, _)| *at > fifth + CONTACT)
        .count();
    record.line(format!(
        "{late} requests with the part reached runners later than {CONTACT:?} after the fifth crash \
         (BUDGET: three may)"
    ));
    if calm_asked < ENOUGH || late_asked < ENOUGH {
        return Err("too few sound requests were sent".into());
    }
    let (before, after) = (
        share_of(calm_began, calm_asked),
        share_of(late_began, late_asked),
    );
    Ok(match after < before / 2.0 {
        true => Outcome::Broken(format!(
            "{late_began} of {late_asked} sound requests with the same first part began from {:?} after \
             the fifth crash, {calm_began} of {calm_asked} before",
            2 * CONTACT
        )),
        false => Outcome::Held,
    })
}

fn share_of(part: usize, whole: usize) -> f64 {
    part as f64 / whole as f64
}
