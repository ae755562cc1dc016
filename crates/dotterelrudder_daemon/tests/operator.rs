//! The operators' command while a control instance is frozen.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
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
