//! A request is not written to a connection that holds unread bytes, and a response that ends early does not
//! look complete.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_daemon::gateway::HeadLimit;
use dotterelrudder_daemon::gateway::UnreadCheck;
use dotterelrudder_daemon::gateway::UpstreamSocket;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const REFUSAL: &[u8] = b"HTTP/1.1 503 Full\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
/// More than the buffers of two sockets hold.
const UPLOAD_BYTES: usize = 64 * 1024 * 1024;

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
        let socket = UpstreamSocket::new(tcp, check.clone(), HeadLimit::default());
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
        let mut socket = UpstreamSocket::new(tcp, check.clone(), HeadLimit::default());
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

/// How a server ends its connection behind a part of its response.
#[derive(Debug, Clone, Copy)]
enum End {
    /// By a reset, after this time.
    Reset(Duration),
    /// By the end of its own bytes, in order. It reads no more of the request.
    HalfClose,
}

/// Answers the head of an upload at once with a part of a response that has no length, and ends.
fn answer_early(listener: &TcpListener, end: End) {
    let (mut tcp, _) = listener.accept().expect("a connection");
    let mut buf = [0; 1_024];
    assert!(tcp.read(&mut buf).expect("a request") > 0);
    tcp.write_all(b"HTTP/1.1 200 OK\r\n\r\na part of")
        .expect("a part of a response");
    match end {
        End::Reset(after) => {
            std::thread::sleep(after);
            let reset = SockRef::from(&tcp).set_linger(Some(Duration::ZERO));
            reset.expect("the socket resets");
        }
        End::HalfClose => {
            let ended = tcp.shutdown(Shutdown::Write);
            ended.expect("the socket closes");
            std::thread::sleep(Duration::from_millis(200));
        }
    }
}

/// Uploads more than the buffers of both sockets hold; returns the body of the response, if it looks
/// complete.
async fn upload(address: std::net::SocketAddr) -> Option<Bytes> {
    let tcp = tokio::net::TcpStream::connect(address).await;
    let tcp = tcp.expect("a connection");
    let check = UnreadCheck::default();
    let socket = UpstreamSocket::new(tcp, check.clone(), HeadLimit::default());
    let handshake = http1::handshake(TokioIo::new(socket)).await;
    let (mut sender, connection) = handshake.expect("a connection");
    let driver = tokio::spawn(connection);
    check.arm();
    let body = Full::new(Bytes::from(vec![b'a'; UPLOAD_BYTES]));
    let req = Request::post("/x").header("host", "a").body(body);
    let req = req.expect("a request");
    let answer = sender.try_send_request(req).await.ok()?;
    let body = answer.into_body().collect().await;
    driver.abort();
    Some(body.ok()?.to_bytes())
}

// A part of a response without a length, behind which the server broke off while the request was
// still being written, looked like the whole response.
#[test]
fn a_response_that_ends_during_the_upload_looks_complete() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    let resets = [0, 0, 1, 5, 20].map(|ms| End::Reset(Duration::from_millis(ms)));
    for end in resets.into_iter().chain([End::HalfClose]) {
        for _ in 0..8 {
            let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
            let address = listener.local_addr().expect("an address");
            let server = std::thread::spawn(move || answer_early(&listener, end));
            let body = runtime.block_on(upload(address));
            assert_eq!(body, None, "{end:?}");
            server.join().expect("the server ends");
        }
    }
}

// A reset is reported once: a reader behind a failed write saw the end of the stream in order.
#[test]
fn a_read_behind_a_failed_write_ends_in_order() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let address = listener.local_addr().expect("an address");
        let tcp = tokio::net::TcpStream::connect(address).await.unwrap();
        let (mut server, _) = listener.accept().expect("a connection");
        let mut socket = UpstreamSocket::new(tcp, UnreadCheck::default(), HeadLimit::default());
        server.write_all(b"a part").expect("a part of a response");
        let reset = SockRef::from(&server).set_linger(Some(Duration::ZERO));
        reset.expect("the socket resets");
        drop(server);
        while socket.write_all(b"more").await.is_ok() {}
        let mut read = Vec::new();
        assert!(socket.read_to_end(&mut read).await.is_err(), "{read:?}");
    });
}
