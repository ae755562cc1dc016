//! Invalid input at the ports, command lines and settings files of real processes gets a clear
//! error and leaves the process healthy.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

/// A running daemon; dropping it kills the process and removes its folder.
struct DaemonProcess {
    child: Child,
    folder: PathBuf,
    port: u16,
    admin: u16,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ended = (self.child.kill(), self.child.wait());
        let _removed = std::fs::remove_dir_all(&self.folder);
    }
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port is free")
        .port()
}

/// Starts a daemon with a settings file and waits until its port accepts connections. `FOLDER` in
/// `extra_settings` stands for the daemon's folder.
fn start(program: &str, name: &str, extra_settings: &str) -> DaemonProcess {
    let folder = std::env::temp_dir().join(format!("dotterelrudder-{name}-{}", free_port()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    std::fs::write(folder.join("secret"), "right").expect("the file is written");
    let (port, admin) = (free_port(), free_port());
    let settings = format!(
        "name = \"{name}\"\ndata_centre = \"x\"\nadmin = \"127.0.0.1:{admin}\"\n\
         listen = \"127.0.0.1:{port}\"\nsecret_file = \"{0}/secret\"\ncontrols = []\n\
         {extra_settings}",
        folder.display()
    )
    .replace("FOLDER", &folder.display().to_string());
    let path = folder.join("settings.toml");
    std::fs::write(&path, settings).expect("the file is written");
    let child = Command::new(program)
        .arg("--settings")
        .arg(&path)
        .spawn()
        .expect("the daemon starts");
    let running = DaemonProcess {
        child,
        folder,
        port,
        admin,
    };
    while TcpStream::connect(("127.0.0.1", running.port)).is_err() {
        std::thread::sleep(Duration::from_millis(10));
    }
    running
}

fn start_entry(name: &str) -> DaemonProcess {
    let extra_settings = "instance_list = \"http://127.0.0.1:1/instances\"\n";
    start(
        env!("CARGO_BIN_EXE_dotterelrudder-entry"),
        name,
        extra_settings,
    )
}

/// How long the sending side stays open without a byte of an answer. A server that reads the end of
/// the input together with the request treats the caller as disconnected and sends no answer.
const WRITE_OPEN_TIME: Duration = Duration::from_millis(500);
/// Time limit for each read after the sending side was closed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends bytes and returns everything received. The sending side is closed once nothing was
/// received for [`WRITE_OPEN_TIME`], which ends requests that stay incomplete.
fn exchange(port: u16, bytes: &[u8]) -> String {
    let mut tcp = TcpStream::connect(("127.0.0.1", port)).expect("the daemon accepts connections");
    tcp.set_read_timeout(Some(WRITE_OPEN_TIME))
        .expect("the read timeout is set");
    // The write may fail, since the server may answer and close the connection before it has read
    // all bytes.
    let _sent = tcp.write_all(bytes);
    let mut answer = Vec::new();
    if tcp.read_to_end(&mut answer).is_err() {
        tcp.set_read_timeout(Some(RESPONSE_TIMEOUT))
            .expect("the read timeout is set");
        let _closed = tcp.shutdown(std::net::Shutdown::Write);
        let _read = tcp.read_to_end(&mut answer);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns whether the daemon's `/healthz` answers 200.
fn is_healthy(running: &DaemonProcess) -> bool {
    let request = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    exchange(running.admin, request).starts_with("HTTP/1.1 200")
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\
         {headers}\r\n{body}"
    )
}

#[test]
fn invalid_requests_get_clear_errors() {
    let entry = start_entry("entry-bad");
    let completion = r#"{"model":"m","prompt":"p","max_tokens":3}"#;
    let large = "x".repeat(5 * 1024 * 1024);
    let many_tokens = completion.replace('3', "99999999");
    let bad = "HTTP/1.1 400";
    let cases = [
        ("not HTTP", "\0\0garbage\r\n\r\n".to_owned(), bad, ""),
        ("no JSON", post("/v1/completions", "", "{"), bad, "body:"),
        (
            "wrong type",
            post("/v1/completions", "", r#"{"model":3}"#),
            bad,
            "body:",
        ),
        (
            "no prompt",
            post("/v1/completions", "", r#"{"model":"m"}"#),
            bad,
            "prompt",
        ),
        (
            "chat body",
            post("/v1/chat/completions", "", completion),
            bad,
            "messages",
        ),
        (
            "max_tokens",
            post("/v1/completions", "", &many_tokens),
            bad,
            "max_tokens can't be",
        ),
        (
            "deadline",
            post("/v1/completions", "x-time-limit-ms: soon\r\n", completion),
            bad,
            "soon",
        ),
        (
            "key",
            post("/v1/completions", "idempotency-key: \r\n", completion),
            bad,
            "idempotency",
        ),
        (
            "large",
            post("/v1/completions", "", &large),
            "HTTP/1.1 413",
            "4194304",
        ),
        (
            "unready",
            post("/v1/completions", "", completion),
            "HTTP/1.1 503",
            "not_ready",
        ),
    ];
    for (name, request, status, detail) in cases {
        let answer = exchange(entry.port, request.as_bytes());
        assert!(answer.starts_with(status), "{name}: {answer}");
        assert!(answer.contains(detail), "{name}: {answer}");
    }
    let unready = exchange(
        entry.port,
        post("/v1/completions", "", completion).as_bytes(),
    );
    assert!(unready.contains("\"outcome\":\"not_run\"") && unready.contains("retry-after: 1"));
    assert!(is_healthy(&entry));
}

#[test]
fn arbitrary_header_bytes_leave_the_entry_healthy() {
    let entry = start_entry("entry-fuzz");
    let config = Config {
        cases: 10_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let name = proptest::sample::select(vec![
        "authorization",
        "idempotency-key",
        "x-time-limit-ms",
        "content-type",
        "content-length",
        "transfer-encoding",
    ]);
    let value = proptest::collection::vec(any::<u8>(), 0..40);
    let run = runner.run(&(name, value), |(name, value)| {
        let mut request = format!("GET /x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{name}: ");
        request.push_str("");
        let bytes = [request.as_bytes(), &value, b"\r\n\r\n"].concat();
        let answer = exchange(entry.port, &bytes);
        prop_assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 "),
            "{}",
            answer
        );
        Ok(())
    });
    assert!(run.is_ok(), "{run:?}");
    assert!(is_healthy(&entry));
}

#[test]
fn a_peer_without_the_secret_is_refused() {
    let zeros = "0".repeat(64);
    let extra_settings = format!(
        "operators = \"127.0.0.1:{}\"\noperator_token_hash = \"sha256:{zeros}\"\n\
         data_folder = \"FOLDER/data\"\n",
        free_port()
    );
    let control = start(
        env!("CARGO_BIN_EXE_dotterelrudder-control"),
        "control-bad",
        &extra_settings,
    );
    let garbage: Vec<u8> = (0..4096).map(|i| (i * 7) as u8).collect();
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    for bytes in [
        garbage.clone(),
        preface.to_vec(),
        [preface.to_vec(), garbage].concat(),
    ] {
        exchange(control.port, &bytes);
    }
    assert!(is_healthy(&control));
    let hello = send_wrong_secret(control.port);
    assert_eq!(hello, None, "a peer with a wrong secret got a reply");
    assert!(is_healthy(&control));
}

/// Connects with a valid hello but a wrong secret; returns the number of bytes received on the
/// stream, if any.
fn send_wrong_secret(port: u16) -> Option<usize> {
    use dotterelrudder_types::Role;
    use dotterelrudder_wire::Hello;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime is built");
    runtime.block_on(async move {
        let tcp = tokio::net::TcpStream::connect(("127.0.0.1", port))
            .await
            .expect("the daemon accepts connections");
        let (sender, driver) = h2::client::handshake(tcp)
            .await
            .expect("the HTTP/2 handshake succeeds");
        tokio::spawn(driver);
        let mut sender = sender
            .ready()
            .await
            .expect("the connection takes a request");
        let req = http::Request::post("http://x/link")
            .body(())
            .expect("the request is valid");
        let (response, mut tx) = sender.send_request(req, false).expect("the frame is sent");
        let hello = Hello {
            protocol: dotterelrudder_wire::PROTOCOL_VERSION,
            secret: "wrong".into(),
            name: "control-2".into(),
            role: Role::Control,
            data_centre: "x".into(),
            incarnation: 1,
            revision: Default::default(),
        };
        let mut buf = bytes::BytesMut::new();
        dotterelrudder_wire::encode_frame(&hello, &mut buf).expect("the hello fits into a frame");
        tx.send_data(buf.freeze(), false)
            .expect("the frame is sent");
        let mut rx = response.await.ok()?.into_body();
        match rx.data().await {
            Some(Ok(data)) => Some(data.len()),
            _ => None,
        }
    })
}

#[test]
fn invalid_settings_and_arguments_are_refused() {
    let folder = std::env::temp_dir().join(format!("dotterelrudder-settings-{}", free_port()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let path = folder.join("s.toml");
    let run = |program: &str, arguments: &[&str]| {
        let output = Command::new(program)
            .args(arguments)
            .output()
            .expect("the program runs");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        (
            output.status.code(),
            text + &String::from_utf8_lossy(&output.stdout),
        )
    };
    let entry = env!("CARGO_BIN_EXE_dotterelrudder-entry");
    let settings = path.to_str().expect("the path is UTF-8");
    std::fs::write(&path, "nam = \"x\"\n").expect("the file is written");
    let (code, text) = run(entry, &["--settings", settings]);
    assert!(
        code == Some(78) && text.contains("did you mean \"name\"?"),
        "{text}"
    );
    let (code, text) = run(entry, &["--setings", settings]);
    assert!(code == Some(64) && text.contains("--help"), "{text}");
    for (program, example) in [
        (entry, "entry"),
        (env!("CARGO_BIN_EXE_dotterelrudder-side"), "side"),
        (env!("CARGO_BIN_EXE_dotterelrudder-control"), "control"),
    ] {
        let root = env!("CARGO_MANIFEST_DIR");
        let path = format!("{root}/../../examples/settings/{example}.toml");
        let (code, text) = run(program, &["--settings", &path, "--check-settings"]);
        assert_eq!(code, Some(0), "{text}");
        assert_eq!(run(program, &["--help"]).0, Some(0));
        assert_eq!(run(program, &["--version"]).0, Some(0));
    }
    let operator = env!("CARGO_BIN_EXE_dotterelrudder");
    std::fs::write(&path, "[service]\nname = \"a\"\nkind = \"stor\"\n")
        .expect("the file is written");
    let (code, text) = run(operator, &["check", settings]);
    let expected = "s.toml:3: key \"service.kind\" can't be \"stor\"; allowed: model, plain, store";
    assert!(code == Some(65) && text.contains(expected), "{text}");
    assert_eq!(run(operator, &["publish", settings]).0, Some(64));
    let unreachable = ["show", "--control", "127.0.0.1:1"];
    assert_eq!(run(operator, &unreachable).0, Some(69));
    let _removed = std::fs::remove_dir_all(&folder);
}
