//! A request is not written to a connection that holds unread bytes.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_daemon::gateway::UnreadCheck;
use dotterelrudder_daemon::gateway::UpstreamSocket;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const REFUSAL: &[u8] = b"HTTP/1.1 503 Full\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";

/// Answers a request, writes a refusal when told to, and returns what else it reads.
fn serve(
    listener: &TcpListener,
    repeat: &mpsc::Receiver<()>,
    repeated: &mpsc::Sender<()>,
) -> usize {
    let (mut tcp, _) = listener.accept().expect("a connection");
    let limit = Some(Duration::from_secs(2));
    tcp.set_read_timeout(limit).expect("a time limit");
    let mut buf = [0; 4_096];
    let n = tcp.read(&mut buf).expect("a request");
    assert!(n > 0);
    tcp.write_all(ANSWER).expect("an answer");
    repeat.recv().expect("the client goes on");
    tcp.write_all(REFUSAL).expect("a refusal");
    repeated.send(()).expect("the client waits");
    tcp.read(&mut buf).unwrap_or(0)
}

#[test]
fn a_request_is_not_written_behind_unread_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    let (repeat, repeat_rx) = mpsc::channel();
    let (repeated, repeated_rx) = mpsc::channel();
    let server = std::thread::spawn(move || serve(&listener, &repeat_rx, &repeated));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(async {
        let tcp = tokio::net::TcpStream::connect(address).await.unwrap();
        let check = UnreadCheck::default();
        let socket = UpstreamSocket::new(tcp, check.clone());
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await.unwrap();
        let driver = tokio::spawn(connection);
        let request = || {
            let head = Request::post("/x").header("host", "a");
            head.body(Full::new(Bytes::from("body"))).unwrap()
        };
        check.arm();
        let first = sender.try_send_request(request()).await;
        let first = first.map_err(|e| e.into_error()).expect("an answer");
        let body = first.into_body().collect().await.unwrap().to_bytes();
        assert_eq!(body, "ok");
        sender.ready().await.unwrap();

        // Blocks the runtime, so that it can't notice the refusal before the next request.
        repeat.send(()).unwrap();
        repeated_rx.recv().unwrap();
        std::thread::sleep(Duration::from_millis(20));
        check.arm();
        let second = sender.try_send_request(request()).await;
        let status = second.as_ref().map(|answer| answer.status().as_u16());
        assert_eq!(status.ok(), None, "the refusal was taken for the answer");
        assert!(check.has_failed());
        driver.abort();
    });
    assert_eq!(
        server.join().expect("the server ends"),
        0,
        "the request was written"
    );
}

/// A request that its caller gave up before the first write must not be written later, since the
/// caller was told that it did not run; one that was written cannot be withdrawn.
#[test]
fn a_withdrawn_request_is_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(async {
        let tcp = tokio::net::TcpStream::connect(address).await.unwrap();
        let (mut server, _) = listener.accept().expect("a connection");
        let check = UnreadCheck::default();
        let mut socket = UpstreamSocket::new(tcp, check.clone());
        check.arm();
        socket.write_all(b"a").await.unwrap();
        assert!(!check.withdraw(), "a written request was withdrawn");
        check.arm();
        assert!(check.withdraw() && check.withdraw());
        assert!(socket.write_all(b"b").await.is_err());
        drop(socket);
        let mut read = Vec::new();
        server.read_to_end(&mut read).expect("the end");
        assert_eq!(read, b"a");
    });
}
