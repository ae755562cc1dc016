//! A request crashes each server of a plain service that runs it, after the head of the answer, and its
//! client repeats it at any entry.

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
use crate::fleet::configuration;
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

const SERVICE: &str = "bids";
const SERVERS: u8 = 3;
const ENTRIES: u8 = 2;
/// The body of the request that crashes servers.
const BAD_BODY: &str = "the bid that crashes";
/// How long a crashed server is away.
const AWAY: Duration = Duration::from_secs(3);
/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_secs(3);
/// How long requests come after the third crash.
const AFTERWARDS: Duration = Duration::from_secs(20);
/// The pause between two repetitions, and between two sound requests.
const BAD_PAUSE: Duration = Duration::from_millis(400);
const SOUND_PAUSE: Duration = Duration::from_millis(100);
/// The later retries that the rule allows.
const ALLOWED: usize = 3;

struct World {
    record: Record,
    /// When each server crashed, and when each bad request reached one.
    crashes: Mutex<Vec<Instant>>,
    arrivals: Mutex<Vec<Instant>>,
    crashes_servers: bool,
    /// Whether servers crash before they write anything.
    is_silent: bool,
    crashed: Mutex<Sender<u8>>,
}

/// Runs a request at server `n`.
fn run(world: &World, n: u8, id: &str, req: &Message, out: &mut TcpStream) -> Then {
    let request = req.header("x-request-id").unwrap_or("").to_owned();
    let is_bad = req.text() == BAD_BODY;
    if is_bad {
        world.arrivals.lock().unwrap().push(Instant::now());
        world
            .record
            .line(format!("the request, as {request}, reaches server {id}"));
    }
    std::thread::sleep(Duration::from_millis(15));
    let own = [
        ("X-Request-Id", request.clone()),
        ("X-Response-Stamp", format!("stamp.{id}")),
        ("X-Instance-Id", id.to_owned()),
    ];
    if !is_bad || !world.crashes_servers {
        return respond(out, "200 OK", &own, b"done");
    }
    if !world.is_silent {
        let own: String = own.iter().map(|(k, v)| format!("{k}: {v}\r\n")).collect();
        let begun = format!("HTTP/1.1 200 OK\r\n{own}Content-Length: 300\r\n\r\nThe first words");
        // The server crashes all the same.
        let _written = out.write_all(begun.as_bytes());
    }
    let mut crashes = world.crashes.lock().unwrap();
    crashes.push(Instant::now());
    world.record.line(format!(
        "server {id} crashes on {request}, crash {}",
        crashes.len()
    ));
    drop(crashes);
    // The receiver lives as long as the case.
    let _sent = world.crashed.lock().unwrap().send(n);
    std::thread::sleep(Duration::from_millis(200));
    Then::Close
}

fn start_server(world: &Arc<World>, n: u8, id: &str, at: SocketAddr) -> Result<Server, String> {
    let (world, id) = (world.clone(), id.to_owned());
    Server::start(at, move |req, out| match req.request() {
        ("GET", "/healthz") => respond(out, "200 OK", &[], b"ok"),
        ("POST", path) if path.starts_with("/bid/") => run(&world, n, &id, req, out),
        _ => not_served(out),
    })
}

/// Sends one request. Returns whether it was answered.
fn ask(to: SocketAddr, id: &str, body: &str) -> bool {
    let headers = [
        ("Host", "bids.example".to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", "1000".to_owned()),
        ("Api-Key", "key-of-t1".to_owned()),
    ];
    let answer = call(
        to,
        "POST",
        "/bid/a",
        &headers,
        body.as_bytes(),
        Duration::from_secs(2),
    );
    answer.is_ok_and(|a| a.status() == 200 && a.text() == "done")
}

pub fn play(record: &Record, with_trouble: bool) -> Result<Outcome, String> {
    let is_silent = std::env::var("SILENT").is_ok_and(|v| v == "1");
    record.line(format!(
        "servers crash before they write anything: {is_silent}"
    ));
    let route = format!(
        "{{\"name\":\"r\",\"host\":\"bids.example\",\"pathPrefix\":\"/bid/\",\"kind\":\"unsafe\",\
         \"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":0,\"service\":\"{SERVICE}\",\
         \"maxAttempts\":1,\"public\":false}}"
    );
    let service = format!(
        "{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\
         \"tls\":false}}"
    );
    let tenant = "{\"name\":\"t1\",\"apiKeys\":[\"key-of-t1\"],\"priority\":1}".to_owned();
    let document = configuration(1, &[route], &[service], &[tenant]);
    let (tx, rx) = channel();
    let world = Arc::new(World {
        record: record.clone(),
        crashes: Mutex::default(),
        arrivals: Mutex::default(),
        crashes_servers: with_trouble,
        is_silent,
        crashed: Mutex::new(tx),
    });
    let mut fleet = Fleet::start(record, ENTRIES, 0, &document, |d| {
        (1..=SERVERS)
            .map(|n| row(&format!("b-{n}-1"), SERVICE, d.runner(n), ""))
            .collect()
    })?;
    let mut rows: Vec<Row> = (1..=SERVERS)
        .map(|n| row(&format!("b-{n}-1"), SERVICE, fleet.deployment.runner(n), ""))
        .collect();
    let mut servers = Vec::new();
    for n in 1..=SERVERS {
        let at = fleet.deployment.runner(n);
        servers.push(Some(start_server(&world, n, &format!("b-{n}-1"), at)?));
    }
    std::thread::sleep(Duration::from_secs(2));

    // Crashed servers end and come back under new ids; the list shows a crashed one until it is back.
    let is_over = Arc::new(AtomicBool::new(false));
    let (over, list, supervised) = (
        is_over.clone(),
        fleet.deployment.list.clone(),
        world.clone(),
    );
    let supervisor = std::thread::spawn(move || {
        let mut starts = vec![1; usize::from(SERVERS)];
        let mut away: Vec<(Instant, u8)> = Vec::new();
        while !over.load(Ordering::Acquire) {
            if let Ok(n) = rx.recv_timeout(Duration::from_millis(5)) {
                if servers[usize::from(n) - 1].take().is_some() {
                    away.push((Instant::now(), n));
                }
            }
            let Some(position) = away.iter().position(|(since, _)| since.elapsed() >= AWAY) else {
                continue;
            };
            let (_, n) = away.remove(position);
            let index = usize::from(n) - 1;
            starts[index] += 1;
            let id = format!("b-{n}-{}", starts[index]);
            let address = rows[index].address;
            rows[index] = row(&id, SERVICE, address, "");
            supervised.record.line(format!("server {id} is back"));
            servers[index] = start_server(&supervised, n, &id, address).ok();
            list.set(&rows.iter().map(Row::json).collect::<Vec<_>>());
        }
    });

    let (sound, answered) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let fronts: Vec<SocketAddr> = (1..=ENTRIES).map(|n| fleet.deployment.front(n)).collect();
    let (over, sent, served, to) = (
        is_over.clone(),
        sound.clone(),
        answered.clone(),
        fronts.clone(),
    );
    let callers = std::thread::spawn(move || {
        let mut n = 0;
        while !over.load(Ordering::Acquire) {
            n += 1;
            let (sent, served, to) = (sent.clone(), served.clone(), to[n % to.len()]);
            std::thread::spawn(move || {
                sent.fetch_add(1, Ordering::Relaxed);
                if ask(to, &format!("sound-{n}"), &format!("bid {n}")) {
                    served.fetch_add(1, Ordering::Relaxed);
                }
            });
            std::thread::sleep(SOUND_PAUSE);
        }
    });
    std::thread::sleep(Duration::from_secs(4));
    let counts = || {
        (
            sound.load(Ordering::Relaxed),
            answered.load(Ordering::Relaxed),
        )
    };
    let calm = counts();
    record.line(format!(
        "before: {} of {} sound requests answered",
        calm.1, calm.0
    ));

    let started = Instant::now();
    let mut third: Option<Instant> = None;
    let mut n = 0;
    loop {
        n += 1;
        let to = fronts[n % fronts.len()];
        std::thread::spawn(move || ask(to, &format!("repeated-{n}"), BAD_BODY));
        std::thread::sleep(BAD_PAUSE);
        third = third.or_else(|| world.crashes.lock().unwrap().get(2).copied());
        if third.map_or(started.elapsed(), |at| at.elapsed()) >= AFTERWARDS {
            break;
        }
    }
    let after = counts();
    is_over.store(true, Ordering::Release);
    let _joined = (supervisor.join(), callers.join());
    fleet.check_running()?;
    let crashes = world.crashes.lock().unwrap().len();
    record.line(format!("{crashes} servers crashed under {n} repetitions"));
    record.line(format!(
        "since then: {} of {} sound requests answered",
        after.1 - calm.1,
        after.0 - calm.0
    ));
    let Some(third) = third else {
        record.line("fewer than three servers crashed");
        return Ok(Outcome::Held);
    };
    let arrivals = world.arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|at| **at > third + CONTACT).count();
    record.line(format!(
        "{late} repetitions reached servers later than {CONTACT:?} after the third crash"
    ));
    Ok(match late > ALLOWED {
        true => Outcome::Broken(format!(
            "{late} repetitions reached servers later than {CONTACT:?} after the third crash, {ALLOWED} \
             may; {crashes} servers crashed"
        )),
        false => Outcome::Held,
    })
}
