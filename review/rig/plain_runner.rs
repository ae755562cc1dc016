//! A server of a plain service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::deployment::{lock, wait, Record};
use crate::http::{serve, Headers, Request, Response, Server};

/// How long a request takes, in seconds, as the site's sheet has it.
pub const WORK_S: f64 = 0.015;

/// How a server treats requests now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mood {
    Well,
    /// Runs this share of its requests in vain and answers them with its own status 503. The other
    /// requests and health checks are answered well.
    FailsSome(f64),
    /// Leaves: says so in its answers.
    Leaves,
}

#[derive(Clone)]
pub struct PlainRunner {
    pub id: String,
    record: Record,
    pub mood: Arc<Mutex<Mood>>,
    /// How often each request was run, by its id.
    pub runs: Arc<Mutex<HashMap<String, u32>>>,
    /// When requests arrived that name this server, with their ids.
    pub arrivals: Arc<Mutex<Vec<(f64, String)>>>,
    pub work_s: f64,
    server: Server,
}

impl PlainRunner {
    pub fn start(
        id: &str,
        address: SocketAddr,
        work_s: f64,
        record: Record,
    ) -> std::io::Result<Self> {
        let mut runner = Self {
            id: id.into(),
            record,
            mood: Arc::new(Mutex::new(Mood::Well)),
            runs: Arc::default(),
            arrivals: Arc::default(),
            work_s,
            server: Server::default(),
        };
        let serving = runner.clone();
        runner.server = serve(address, move |request| Some(serving.answer(request)))?;
        Ok(runner)
    }

    /// Ends the server; what it runs at that moment is not answered.
    pub fn end(&self) {
        self.record.line(&format!("server {} ends", self.id));
        self.server.end();
    }

    pub fn set_mood(&self, mood: Mood) {
        *lock(&self.mood) = mood;
        self.record
            .line(&format!("server {} is now {mood:?}", self.id));
    }

    fn answer(&self, request: &Request) -> Response {
        let mut headers = vec![("x-instance-id".into(), self.id.clone())];
        if request.path == "/healthz" {
            return respond(200, headers, "ok");
        }
        let id = request.headers.get("x-request-id").unwrap_or("").to_owned();
        headers.push(("x-request-id".into(), id.clone()));
        let expected = request.headers.get("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return respond(421, headers, "");
        }
        let mood = *lock(&self.mood);
        lock(&self.arrivals).push((self.record.seconds(), id.clone()));
        let run = {
            let mut runs = lock(&self.runs);
            let count = runs.entry(id.clone()).or_default();
            *count += 1;
            runs.len()
        };
        wait(self.work_s);
        headers.push(("x-response-stamp".into(), format!("{}.{run}", self.id)));
        if mood == Mood::Leaves {
            headers.push(("server-leaving".into(), "1".into()));
        }
        let fails = match mood {
            // Every n-th run, so that the share holds in each short span.
            Mood::FailsSome(share) => {
                let n = run as f64;
                (n * share).floor() > ((n - 1.0) * share).floor()
            }
            _ => false,
        };
        let status = if fails { 503 } else { 200 };
        self.record
            .line(&format!("server {} ran {id}, answers {status}", self.id));
        respond(status, headers, &format!("answer to {id}"))
    }
}

fn respond(status: u16, headers: Vec<(String, String)>, body: &str) -> Response {
    Response {
        status,
        headers: Headers(headers),
        body: body.as_bytes().to_vec(),
    }
}
