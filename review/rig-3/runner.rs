//! A model runner as the platform's pages describe it: it checks what it is expected to be, keeps
//! prompt parts under the salt of the request, loads weights on order and streams events in chunks.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::deployment::{lock, Record};
use crate::http::{self, Message};

/// The events of a stream.
pub const EVENTS: usize = 3;
pub const MODEL: &str = "daka510000";
/// The memory of a runner, in tokens, and how many of a prompt it reads a second.
const MEMORY_TOKENS: u64 = 95_045;
const TOKENS_PER_S: f64 = 56_600.0;
/// How long new weights take, in milliseconds.
const LOAD: Duration = Duration::from_millis(830);

/// One request that a runner began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub runner: String,
    pub id: String,
    pub version: u64,
    /// The value of the account header; none if the header is absent.
    pub account: Option<Vec<u8>>,
    pub salt: Option<Vec<u8>>,
    /// The requests whose parts in the runner's memory this one used.
    pub used: Vec<String>,
}

struct State {
    id: String,
    /// The name of the service; a plain one has no model.
    service: &'static str,
    born_ms: u64,
    version: u64,
    named: u64,
    orders_taken: u64,
    fence: u64,
    loading: Option<(u64, Instant)>,
    /// The requests that it works on, and their tokens in its memory.
    running: u64,
    tokens: u64,
    /// Whether it is silent after a crash. It isn't listed then.
    dark: bool,
    /// Whether its runs are left out of the record.
    quiet: bool,
    /// Whether its streams are spoiled and broken off.
    spoils: bool,
    /// The request that made each part, by salt and part.
    parts: HashMap<(Vec<u8>, String), String>,
}

#[derive(Clone)]
pub struct Runner {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

impl Runner {
    /// Starts a model runner.
    pub fn start(
        id: &str,
        address: SocketAddr,
        runs: Arc<Mutex<Vec<Run>>>,
        record: Record,
    ) -> Self {
        Self::start_for("huvo11a", id, address, runs, record)
    }

    /// Starts a runner of a service.
    pub fn start_for(
        service: &'static str,
        id: &str,
        address: SocketAddr,
        runs: Arc<Mutex<Vec<Run>>>,
        record: Record,
    ) -> Self {
        let state = State {
            id: id.into(),
            service,
            born_ms: now_ms(),
            version: 1,
            named: 1,
            orders_taken: 0,
            fence: 0,
            loading: None,
            running: 0,
            tokens: 0,
            dark: false,
            quiet: false,
            spoils: false,
            parts: HashMap::new(),
        };
        let runner = Self {
            address,
            state: Arc::new(Mutex::new(state)),
            runs,
            record,
        };
        let serving = runner.clone();
        let handler: http::Handler = Arc::new(move |req, tcp| serving.answer(req, tcp));
        http::serve(address, handler).expect("a runner can listen");
        runner
    }

    /// The runner crashes and falls silent: what it kept is lost, and nothing is answered.
    pub fn go_dark(&self) {
        let mut s = lock(&self.state);
        s.dark = true;
        s.parts.clear();
        self.record.add(format!(
            "runner {} falls silent on version {}",
            s.id, s.version
        ));
    }

    /// The runner starts again under its id, with the version that it had.
    pub fn come_back(&self) {
        let mut s = lock(&self.state);
        s.dark = false;
        s.born_ms = now_ms();
        s.orders_taken = 0;
        s.fence = 0;
        s.loading = None;
        self.record
            .add(format!("runner {} is back on version {}", s.id, s.version));
    }

    pub fn is_listed(&self) -> bool {
        !lock(&self.state).dark
    }

    /// Returns the entry of the platform's list.
    pub fn listed(&self) -> String {
        let s = lock(&self.state);
        let (slots, models) = match s.service {
            "huvo11a" => (
                64,
                format!(
                    "{{\"name\":\"{MODEL}\",\"version\":{},\"adapters\":[]}}",
                    s.version
                ),
            ),
            _ => (6, String::new()),
        };
        format!(
            "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"unified\",\"born\":{},\
             \"models\":[{models}]}}",
            s.id, s.service, self.address, s.born_ms
        )
    }

    /// From now on the runner writes text in the place of a stream's events, and closes the connection.
    pub fn spoil_streams(&self) {
        let mut s = lock(&self.state);
        s.spoils = true;
        self.record
            .add(format!("runner {} spoils its streams", s.id));
    }

    /// Leaves the runs out of the record, where they are very many.
    pub fn keep_quiet(&self) {
        lock(&self.state).quiet = true;
    }

    /// Tells the runner that a version was named; it takes no order for another.
    pub fn name_version(&self, version: u64) {
        lock(&self.state).named = version;
    }

    /// Completes a load whose time is over.
    fn advance(s: &mut State) {
        if let Some((version, _)) = s.loading.filter(|(_, at)| at.elapsed() >= LOAD) {
            s.version = version;
            s.loading = None;
            s.parts.clear();
        }
    }

    fn answer(&self, req: &Message, tcp: &mut TcpStream) -> bool {
        while lock(&self.state).dark {
            // What came meanwhile is lost with the start that it came to.
            std::thread::sleep(Duration::from_millis(20));
            if !lock(&self.state).dark {
                return false;
            }
        }
        Self::advance(&mut lock(&self.state));
        match (req.method(), req.path()) {
            ("GET", "/v1/report") => self.report(tcp),
            ("POST", "/v1/order") => self.order(req, tcp),
            ("GET", "/healthz") => {
                let id = lock(&self.state).id.clone();
                http::respond(tcp, 200, &[("X-Instance-Id", &id)], b"")
            }
            _ => self.run(req, tcp),
        }
    }

    fn report(&self, tcp: &mut TcpStream) -> bool {
        let body = {
            let s = lock(&self.state);
            format!(
                "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{},\"adapters\":[]}}],\
                 \"busy\":{},\"seq\":{},\"waiting\":0,\"running\":{},\"kvUsed\":{},\"kvTotal\":95045,\"handles\":0,\
                 \"state\":\"ready\",\"born\":{}}}",
                s.version,
                s.loading.is_some(),
                s.orders_taken,
                s.running,
                s.tokens,
                s.born_ms
            )
        };
        http::respond(
            tcp,
            200,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }

    fn order(&self, req: &Message, tcp: &mut TcpStream) -> bool {
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let number = |name: &str| {
            let rest = text.split(&format!("\"{name}\":")).nth(1)?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        };
        let status = {
            let mut s = lock(&self.state);
            let (version, fence) = (
                number("version").unwrap_or(0),
                number("fencingToken").unwrap_or(0),
            );
            if fence < s.fence {
                412
            } else if version > s.named || version == 0 {
                400
            } else if s.loading.is_some() || number("expect").is_some_and(|e| e != s.orders_taken) {
                409
            } else if s.version == version {
                200
            } else {
                s.fence = fence;
                s.orders_taken += 1;
                s.loading = Some((version, Instant::now()));
                202
            }
        };
        self.record.add(format!(
            "order at {}: {text} -> {status}",
            lock(&self.state).id
        ));
        http::respond(tcp, status, &[], b"")
    }

    fn run(&self, req: &Message, tcp: &mut TcpStream) -> bool {
        let id = req.header("x-request-id").unwrap_or_default();
        let refuse = |tcp: &mut TcpStream, status| {
            http::respond(
                tcp,
                status,
                &[("X-Request-Id", &id), ("X-Not-Executed", "1")],
                b"",
            )
        };
        let counts = req.header("x-token-counts").unwrap_or_default();
        let tokens: u64 = counts
            .split(',')
            .next()
            .and_then(|t| t.trim().parse().ok())
            .unwrap_or(0);
        let run = {
            let mut s = lock(&self.state);
            if req.header("x-expect-instance").is_some_and(|i| i != s.id) {
                drop(s);
                return refuse(tcp, 421);
            }
            if s.loading.is_some() {
                drop(s);
                return refuse(tcp, 503);
            }
            let version = s.version.to_string();
            if req.header("x-expect-version").is_some_and(|v| v != version) {
                drop(s);
                return refuse(tcp, 421);
            }
            if s.tokens + tokens > MEMORY_TOKENS {
                drop(s);
                return refuse(tcp, 503);
            }
            s.running += 1;
            s.tokens += tokens;
            let salt = req.bytes("x-cache-salt").map(<[u8]>::to_vec);
            // Requests without the header share one text.
            let text = salt.clone().unwrap_or_default();
            let prefix = req.header("x-prefix-hash").unwrap_or_default();
            let parts: Vec<String> = prefix
                .split(',')
                .filter_map(|p| Some(p.split_once(':')?.0.trim().to_owned()))
                .collect();
            let mut used: Vec<String> = Vec::new();
            for part in &parts {
                match s.parts.get(&(text.clone(), part.clone())) {
                    Some(maker) => used.push(maker.clone()),
                    None => break,
                }
            }
            for part in &parts {
                s.parts
                    .entry((text.clone(), part.clone()))
                    .or_insert_with(|| id.clone());
            }
            used.dedup();
            Run {
                at: self.record.at(),
                runner: s.id.clone(),
                id: id.clone(),
                version: s.version,
                account: req.bytes("x-tenant-id").map(<[u8]>::to_vec),
                salt,
                used,
            }
        };
        let shown = |v: &Option<Vec<u8>>| {
            v.as_ref()
                .map_or("absent".into(), |v| String::from_utf8_lossy(v).into_owned())
        };
        let quiet = lock(&self.state).quiet;
        let line = format!(
            "{} runs {} on version {}: X-Tenant-Id {}, X-Cache-Salt {}, uses parts of {:?}",
            run.runner,
            run.id,
            run.version,
            shown(&run.account),
            shown(&run.salt),
            run.used
        );
        if !quiet {
            self.record.add(line);
        }
        let version = run.version;
        lock(&self.runs).push(run);
        let ended = self.answer_run(req, tcp, &id, version, tokens);
        let mut s = lock(&self.state);
        s.running -= 1;
        s.tokens -= tokens;
        ended
    }

    /// Reads the prompt and writes the answer of a request that runs.
    fn answer_run(
        &self,
        req: &Message,
        tcp: &mut TcpStream,
        id: &str,
        version: u64,
        tokens: u64,
    ) -> bool {
        if lock(&self.state).service != "huvo11a" {
            std::thread::sleep(Duration::from_millis(15));
            let headers = [("X-Request-Id", id), ("X-Response-Stamp", "3e1b.07")];
            return http::respond(tcp, 200, &headers, &[b'x'; 800]);
        }
        std::thread::sleep(Duration::from_secs_f64(tokens as f64 / TOKENS_PER_S));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {id}\r\n\
             X-Response-Stamp: 3e1b.07.{id}\r\nX-Weight-Versions: {version}\r\n\r\n"
        );
        if tcp.write_all(head.as_bytes()).is_err() {
            return false;
        }
        if lock(&self.state).spoils {
            let text = "data: internal error\n\n";
            let _written = tcp.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
            std::thread::sleep(Duration::from_millis(50));
            return false;
        }
        // A stream that is taken up goes on behind the last event that its caller has.
        let after = req.header("last-event-id");
        let after = after.and_then(|id| id.parse().ok()).unwrap_or(0);
        for n in after + 1..=EVENTS {
            std::thread::sleep(Duration::from_millis(5));
            let event = format!("id: {n}\ndata: token {n}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if tcp.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        tcp.write_all(b"0\r\n\r\n").is_ok()
    }
}
