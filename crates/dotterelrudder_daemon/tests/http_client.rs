//! Responses without end, or with a status that is none, at the client that reads reports, lists, stores
//! and answers of control instances.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_daemon::http_client::HttpClient;
use tokio::task::JoinSet;

/// What a server sends first, and then again and again until its caller closes.
const ENDLESS: &[(&str, &str)] = &[
    ("HTTP/1.1 200 OK\r\n", "x-more: and more\r\n"),
    ("HTTP/1.1 200 OK\r\nx-more: ", "and more "),
    ("", "and more "),
    ("HTTP/1.1 200 OK\r\n\r\n", "and more "),
    (
        "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        "and more ",
    ),
    (CHUNKED, "9\r\nand more \r\n"),
    (CHUNKED, "1;and=more\r\na\r\n"),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;more=",
        "and more ",
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x-more: and more\r\n",
    ),
    ("", "HTTP/1.1 103 Early Hints\r\nlink: more\r\n\r\n"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
];
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
/// Calls at the same time; a process of the smallest machine reads fewer.
const CALLS: usize = 24;
/// The memory of the smallest machine of a deployment.
const SMALLEST_MACHINE_KB: u64 = 110_000;
const TIME_LIMIT: Duration = Duration::from_millis(800);
/// The time by which a call has ended.
const ENDED: Duration = Duration::from_secs(3);

/// Answers each connection with these bytes; `more` is repeated until the caller closes.
fn serve(first: String, more: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    let bytes = Arc::new((first, more.repeat(65_536 / more.len().max(1))));
    std::thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let bytes = bytes.clone();
            std::thread::spawn(move || send(tcp, &bytes));
        }
    });
    address
}

fn send(mut tcp: TcpStream, (first, more): &(String, String)) {
    let mut buf = [0; 4_096];
    if tcp.read(&mut buf).is_err() || tcp.write_all(first.as_bytes()).is_err() {
        return;
    }
    while !more.is_empty() && tcp.write_all(more.as_bytes()).is_ok() {}
}

/// Returns the most memory that this process used, in kilobytes.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a process tells its status");
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok());
    peak.expect("the status tells the peak")
}

// Responses without end were read up to 64 MiB each, and ended the process that read several.
#[test]
fn endless_responses_exhaust_the_memory() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    for (first, more) in ENDLESS {
        let address = serve((*first).into(), (*more).into());
        let ended = runtime.block_on(async {
            let client = HttpClient::default();
            let mut calls = JoinSet::new();
            for _ in 0..CALLS {
                let client = client.clone();
                calls.spawn(async move {
                    let url = format!("http://{address}/");
                    client.get(&url, TIME_LIMIT).await.map(|body| body.len())
                });
            }
            tokio::time::timeout(ENDED, calls.join_all()).await
        });
        let ended = ended.expect("the calls end");
        let read: Vec<_> = ended.into_iter().filter_map(Result::ok).collect();
        assert!(read.is_empty(), "{first:?}, {more:?}: {read:?}");
        let peak = peak_memory_kb();
        assert!(peak < SMALLEST_MACHINE_KB, "{first:?}, {more:?}: {peak} KB");
    }
}

// A document was read from a response whose status is none.
#[test]
fn a_response_without_a_valid_status_is_read() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    for status in ["000", "099", "101", "199", "600", "1000", "+20", "2x0", ""] {
        let response = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\n{{}}");
        let address = serve(response, String::new());
        let url = format!("http://{address}/");
        let read = runtime.block_on(HttpClient::default().get(&url, TIME_LIMIT));
        assert!(read.is_err(), "status {status}: {read:?}");
    }
}
