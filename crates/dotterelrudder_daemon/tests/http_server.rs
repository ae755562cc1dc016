//! What a server does with connections that come as it stops.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use dotterelrudder_daemon::http_server;
use tokio::sync::watch;

const LISTEN: &str = "127.0.0.98:8749";
/// Connections that come at once.
const BURST: usize = 40;
/// How long their answers may take.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nhost: a.example\r\n\r\n";

/// Opens a connection; the system accepts it, whether or not the server has been told yet.
fn connect() -> TcpStream {
    let address: SocketAddr = LISTEN.parse().expect("an address");
    let tcp = TcpStream::connect(address).expect("the server listens");
    tcp.set_read_timeout(Some(READ_TIMEOUT))
        .expect("a time limit");
    tcp
}

/// Reads until the server closes; returns what it sent.
fn read_all(mut tcp: TcpStream) -> Result<String, std::io::Error> {
    let mut text = String::new();
    tcp.read_to_string(&mut text).map(|_| text)
}

#[test]
fn connections_that_come_just_before_a_stop_are_answered() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(async {
        let (stop, stopped) = watch::channel(false);
        let address = LISTEN.parse().expect("an address");
        let handler = |_| async { http_server::answer(200, "text/plain", "ok\n") };
        let connections = http_server::serve(address, stopped, handler).await;
        let connections = connections.expect("the address is free");
        // One of each that the server knows of, with and without an earlier request.
        let mut idle = connect();
        let mut reused = connect();
        reused.write_all(REQUEST).expect("the server reads");
        tokio::time::sleep(Duration::from_millis(100)).await;
        // Nothing of the server runs until all have come and the stop was asked for.
        let mut burst: Vec<TcpStream> = (0..BURST).map(|_| connect()).collect();
        for tcp in burst.iter_mut().chain([&mut idle, &mut reused]) {
            tcp.write_all(REQUEST).expect("the system accepts");
        }
        stop.send_replace(true);
        connections.closed().await;

        burst.push(idle);
        for (n, tcp) in burst.into_iter().enumerate() {
            let text = read_all(tcp).unwrap_or_else(|e| panic!("connection {n}: {e}"));
            assert!(text.ends_with("ok\n"), "connection {n}: \"{text}\"");
        }
        let text = read_all(reused).expect("the kept connection ends in order");
        assert_eq!(text.matches("ok\n").count(), 2, "{text}");
    });
}
