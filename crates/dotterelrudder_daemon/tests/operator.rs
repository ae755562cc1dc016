//! The operators' command: its calls, and a control instance that is frozen.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

/// Starts a server that answers every call with the same JSON text.
fn serve_json(text: &'static str) -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let serving = listener.try_clone().expect("the listener is cloned");
    std::thread::spawn(move || {
        for tcp in serving.incoming() {
            let mut tcp = tcp.expect("the connection is accepted");
            let mut buf = [0; 4096];
            let _read = tcp.read(&mut buf).expect("the request is read");
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length";
            write!(tcp, "{head}: {}\r\n\r\n{text}", text.len()).expect("the answer is sent");
        }
    });
    listener
}

/// The operating system still accepts connections for a frozen control instance, which never
/// answers. The command has to time out on it and call the next instance within a second.
#[test]
fn a_frozen_instance_is_skipped_within_a_second() {
    let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
    let live = serve_json("{\"rows\": []}");
    let token = std::env::temp_dir().join(format!("token-{}", std::process::id()));
    std::fs::write(&token, "t").unwrap();
    let controls = format!(
        "{},{}",
        frozen.local_addr().unwrap(),
        live.local_addr().unwrap()
    );
    let began = Instant::now();
    let output = Command::new(env!("CARGO_BIN_EXE_dotterelrudder"))
        .args(["audit", "--json", "--control", &controls, "--token-file"])
        .arg(&token)
        .output()
        .unwrap();
    std::fs::remove_file(&token).unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{stderr}");
    // A publish makes two such calls and has to take less than two seconds in total.
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "{:?}",
        began.elapsed()
    );
}

/// Starts a server that gives every call the same answer and passes on the first line of each.
fn record_calls(status: &'static str, body: &'static str) -> (TcpListener, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let serving = listener.try_clone().expect("the listener is cloned");
    let (calls, called) = mpsc::channel();
    std::thread::spawn(move || {
        for tcp in serving.incoming() {
            let mut tcp = tcp.expect("the connection is accepted");
            let mut buf = [0; 4096];
            let read = tcp.read(&mut buf).expect("the request is read");
            let text = String::from_utf8_lossy(&buf[..read]).into_owned();
            let line = text.lines().next().unwrap_or_default().to_owned();
            let _test_ended = calls.send(line).is_err();
            let head = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length");
            write!(tcp, "{head}: {}\r\n\r\n{body}", body.len()).expect("the answer is sent");
        }
    });
    (listener, called)
}

/// Runs a command against one control instance; returns its exit code and what it printed.
fn run(control: &TcpListener, args: &[&str]) -> (Option<i32>, String) {
    let address = control.local_addr().expect("it listens").to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_dotterelrudder"))
        .args(args)
        .args(["--control", &address])
        .output()
        .expect("the command runs");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).into_owned();
    (output.status.code(), text)
}

/// Guards against a command that requests an evacuation where it was to end it, or that reports success
/// where control refused.
#[test]
fn evacuations_are_requested_and_ended() {
    let (control, called) = record_calls("200 OK", "{}");
    let (code, text) = run(&control, &["evacuate", "north"]);
    assert_eq!((code, text.as_str()), (Some(0), "north: evacuation on\n"));
    let (code, text) = run(&control, &["evacuate", "north", "--end"]);
    assert_eq!((code, text.as_str()), (Some(0), "north: evacuation off\n"));
    let calls: Vec<String> = called.try_iter().collect();
    let path = "/v1/evacuations/north HTTP/1.1";
    assert_eq!(calls, [format!("POST {path}"), format!("DELETE {path}")]);
    for args in [&["evacuate"][..], &["evacuate", "north", "south"]] {
        assert_eq!(run(&control, args).0, Some(64));
    }
    assert_eq!(called.try_iter().count(), 0, "no call without one name");

    let refused = "{\"error\":{\"code\":\"not_found\",\"message\":\"no such place\"}}";
    let (control, called) = record_calls("404 Not Found", refused);
    let (code, text) = run(&control, &["evacuate", "nowhere"]);
    assert_eq!(code, Some(66));
    assert!(text.contains("no such place"), "{text}");
    assert_eq!(
        called.try_iter().count(),
        1,
        "an unknown name is not tried again"
    );
}

/// Guards against a status that leaves the evacuations out.
#[test]
fn the_status_shows_evacuations() {
    let status = serve_json("{\"leader\": \"a\", \"evacuated\": [\"north\", \"south\"]}");
    let (code, text) = run(&status, &["status"]);
    assert_eq!(code, Some(0));
    assert!(
        text.contains("evacuated \"north\"\nevacuated \"south\"\n"),
        "{text}"
    );
}
