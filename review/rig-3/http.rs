//! A small HTTP/1.1 server and client on threads, for the stand-ins of the review.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request or a response head with its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line, split at spaces.
    pub first: Vec<String>,
    /// Headers with names in lower case; values are bytes, since they need not be ASCII.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn method(&self) -> &str {
        self.first.first().map_or("", |s| s)
    }

    pub fn path(&self) -> &str {
        self.first.get(1).map_or("", |s| s)
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn bytes(&self, name: &str) -> Option<&[u8]> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_slice())
    }

    pub fn header(&self, name: &str) -> Option<String> {
        self.bytes(name)
            .map(|v| String::from_utf8_lossy(v).into_owned())
    }
}

fn read_line<R: BufRead>(reader: &mut R) -> Option<Vec<u8>> {
    let mut line = Vec::new();
    let read = reader.read_until(b'\n', &mut line).ok()?;
    if read == 0 || line.last() != Some(&b'\n') {
        return None;
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Some(line)
}

/// Reads the first line and the headers.
pub fn read_head<R: BufRead>(reader: &mut R) -> Option<Message> {
    let first = String::from_utf8_lossy(&read_line(reader)?).into_owned();
    let mut message = Message {
        first: first.split(' ').map(str::to_owned).collect(),
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(message);
        }
        let colon = line.iter().position(|b| *b == b':')?;
        let name = String::from_utf8_lossy(&line[..colon]).to_lowercase();
        message
            .headers
            .push((name, line[colon + 1..].trim_ascii().to_vec()));
    }
}

/// Reads a body; false if it breaks off. `to_end` tells that a body without framing ends with the
/// connection.
fn read_body<R: BufRead>(reader: &mut R, message: &mut Message, to_end: bool) -> bool {
    if message
        .header("transfer-encoding")
        .is_some_and(|e| e.contains("chunked"))
    {
        loop {
            let Some(line) = read_line(reader) else {
                return false;
            };
            let text = String::from_utf8_lossy(&line).into_owned();
            let size = text.split(';').next().unwrap_or("").trim();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return false;
            };
            let mut chunk = vec![0; size];
            if reader.read_exact(&mut chunk).is_err() || read_line(reader).is_none() {
                return false;
            }
            if size == 0 {
                return true;
            }
            message.body.extend(chunk);
        }
    }
    if let Some(length) = message
        .header("content-length")
        .and_then(|l| l.parse().ok())
    {
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body).is_ok();
    }
    !to_end || reader.read_to_end(&mut message.body).is_ok()
}

/// Answers one request; returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// Serves connections on threads until the process ends.
pub fn serve(address: SocketAddr, handler: Handler) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    std::thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(tcp, &handler));
        }
    });
    Ok(())
}

/// Serves the requests of one connection.
pub fn serve_connection(mut tcp: TcpStream, handler: &Handler) {
    let _nodelay = tcp.set_nodelay(true);
    let Ok(read_half) = tcp.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(read_half);
    while let Some(mut request) = read_head(&mut reader) {
        if !read_body(&mut reader, &mut request, false) || !handler(&request, &mut tcp) {
            break;
        }
    }
    let _closed = tcp.shutdown(std::net::Shutdown::Both);
}

/// Writes a response with a length.
pub fn respond(tcp: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    tcp.write_all(text.as_bytes()).is_ok() && tcp.write_all(body).is_ok()
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Reply {
    pub message: Message,
    /// Whether the response ended as its framing says.
    pub whole: bool,
}

/// Sends one request over a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &[u8])],
    body: &[u8],
    limit: Duration,
) -> Option<Reply> {
    let mut tcp = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    tcp.set_nodelay(true).ok()?;
    tcp.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        head.extend(format!("Host: {address}\r\n").bytes());
    }
    for (name, value) in headers {
        head.extend(name.bytes());
        head.extend(b": ");
        head.extend(*value);
        head.extend(b"\r\n");
    }
    head.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    head.extend(body);
    tcp.write_all(&head).ok()?;
    let mut reader = BufReader::new(tcp);
    let mut message = read_head(&mut reader)?;
    let whole = read_body(&mut reader, &mut message, true);
    Some(Reply { message, whole })
}
