//! Graceful shutdown of an HTTP server: connections that arrive just before the stop.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use dotterelrudder_daemon::http_server;
use tokio::sync::watch;

const LISTEN: &str = "127.0.0.98:8749";
/// Number of connections opened just before the stop.
const BURST: usize = 40;
/// Time limit for reading an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nhost: a.example\r\n\r\n";

/// Opens a connection. The operating system accepts it even if the server has not yet called
/// `accept`.
fn connect() -> TcpStream {
    let address: SocketAddr = LISTEN.parse().expect("the address is valid");
    let tcp = TcpStream::connect(address).expect("the server accepts connections");
    tcp.set_read_timeout(Some(READ_TIMEOUT))
        .expect("the read timeout is set");
    tcp
}

/// Returns everything that the server sends until it closes the connection.
fn read_all(mut tcp: TcpStream) -> Result<String, std::io::Error> {
    let mut text = String::new();
    tcp.read_to_string(&mut text).map(|_| text)
}

/// A server that drops its listener at a stop resets connections that the operating system had
/// already accepted, and one that closes its open connections at once loses requests that lie
/// unread on them.
#[test]
fn connections_opened_just_before_a_stop_are_answered() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime is built");
    runtime.block_on(async {
        let (stop, stopped) = watch::channel(false);
        let address = LISTEN.parse().expect("the address is valid");
        let handler = |_| async { http_server::answer(200, "text/plain", "ok\n") };
        let connections = http_server::serve(address, stopped, handler).await;
        let connections = connections.expect("the address is free");
        // Two connections that the server has accepted, without and with an earlier request.
        let mut idle = connect();
        let mut reused = connect();
        reused.write_all(REQUEST).expect("the request is sent");
        tokio::time::sleep(Duration::from_millis(100)).await;
        // The calls below block the only thread, so no task of the server runs until all
        // connections are open and the stop is requested.
        let mut burst: Vec<TcpStream> = (0..BURST).map(|_| connect()).collect();
        for tcp in burst.iter_mut().chain([&mut idle, &mut reused]) {
            tcp.write_all(REQUEST).expect("the request is sent");
        }
        stop.send_replace(true);
        connections.closed().await;

        burst.push(idle);
        for (n, tcp) in burst.into_iter().enumerate() {
            let text = read_all(tcp).unwrap_or_else(|e| panic!("connection {n}: {e}"));
            assert!(text.ends_with("ok\n"), "connection {n}: \"{text}\"");
        }
        let text = read_all(reused).expect("the server closes the reused connection gracefully");
        assert_eq!(text.matches("ok\n").count(), 2, "{text}");
    });
}
