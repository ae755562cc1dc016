//! A small HTTP/1.1 client and server on plain sockets, so that a test sees the bytes as they come.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// How often a server looks whether it has to stop.
const POLL: Duration = Duration::from_millis(2);
/// The largest head or body that is read, in bytes.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// The first line, the headers and the body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body arrived, by its own framing.
    pub is_complete: bool,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Bytes of a connection that were received and not used yet.
pub struct Reader<'a> {
    tcp: &'a TcpStream,
    buf: Vec<u8>,
}

impl<'a> Reader<'a> {
    pub fn new(tcp: &'a TcpStream) -> Self {
        Self {
            tcp,
            buf: Vec::new(),
        }
    }

    /// Receives more bytes. Returns false at the end of the stream.
    fn more(&mut self) -> std::io::Result<bool> {
        let mut part = [0; 16 * 1024];
        let n = self.tcp.read(&mut part)?;
        self.buf.extend_from_slice(&part[..n]);
        Ok(n > 0 && self.buf.len() < MAX_BYTES)
    }

    /// Reads a head; none if the peer closed before one began.
    pub fn head(&mut self) -> std::io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if !self.more()? {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buf.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n").filter(|l| !l.is_empty());
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|l| {
            let (name, value) = l.split_once(':')?;
            Some((name.trim().to_owned(), value.trim().to_owned()))
        });
        Ok(Some(Message {
            first_line,
            headers: headers.collect(),
            ..Message::default()
        }))
    }

    fn line(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..at]).into_owned()));
            }
            if !self.more()? {
                return Ok(None);
            }
        }
    }

    fn bytes(&mut self, n: usize, into: &mut Vec<u8>) -> std::io::Result<bool> {
        while self.buf.len() < n {
            if !self.more()? {
                into.append(&mut self.buf);
                return Ok(false);
            }
        }
        into.extend(self.buf.drain(..n));
        Ok(true)
    }

    /// Reads the body of a message; a broken one is kept as far as it came.
    pub fn body(&mut self, message: &mut Message, is_response: bool) {
        let read = self.read_body(message, is_response);
        message.is_complete = read.unwrap_or(false);
    }

    fn read_body(&mut self, message: &mut Message, is_response: bool) -> std::io::Result<bool> {
        let chunked = message.header("transfer-encoding");
        if chunked.is_some_and(|v| v.to_ascii_lowercase().ends_with("chunked")) {
            loop {
                let Some(size) = self.line()? else {
                    return Ok(false);
                };
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                    return Ok(false);
                };
                if !self.bytes(size, &mut message.body)? {
                    return Ok(false);
                }
                if self.line()?.is_none() {
                    return Ok(false);
                }
                if size == 0 {
                    return Ok(true);
                }
            }
        }
        if let Some(length) = message.header("content-length") {
            let Ok(length) = length.parse() else {
                return Ok(false);
            };
            return self.bytes(length, &mut message.body);
        }
        if !is_response || matches!(message.status(), 204 | 304) {
            return Ok(true);
        }
        while self.more()? {}
        message.body.append(&mut self.buf);
        Ok(true)
    }
}

/// Sends one request over a new connection and reads the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    patience: Duration,
) -> Result<Message, String> {
    let mut tcp = TcpStream::connect_timeout(&to, patience).map_err(|e| e.to_string())?;
    tcp.set_read_timeout(Some(patience))
        .and_then(|()| tcp.set_nodelay(true))
        .map_err(|e| e.to_string())?;
    exchange(&mut tcp, method, path, headers, body)
}

/// Sends one request over an open connection and reads the response.
pub fn exchange(
    tcp: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<Message, String> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        head += "Host: test.example\r\n";
    }
    if !body.is_empty() || method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    tcp.write_all(&bytes).map_err(|e| e.to_string())?;
    let mut reader = Reader::new(tcp);
    let head = reader.head().map_err(|e| e.to_string())?;
    let mut message = head.ok_or("the connection closed without a response")?;
    reader.body(&mut message, true);
    Ok(message)
}

/// What a server does with a connection after a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Then {
    Keep,
    Close,
}

/// A running server. Dropping it closes the port and all connections.
pub struct Server {
    stop: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<std::thread::JoinHandle<()>>,
}

impl Server {
    /// Serves each request by `handler`, which writes the response.
    pub fn start<H>(address: SocketAddr, handler: H) -> Result<Self, String>
    where
        H: Fn(&Message, &mut TcpStream) -> Then + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
        listener.set_nonblocking(true).map_err(|e| e.to_string())?;
        let stop = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (stopped, connections) = (stop.clone(), open.clone());
        let accepting = std::thread::spawn(move || {
            while !stopped.load(Ordering::Acquire) {
                let Ok((tcp, _)) = listener.accept() else {
                    std::thread::sleep(POLL);
                    continue;
                };
                let ready = tcp.set_nonblocking(false).and(tcp.set_nodelay(true));
                let Ok(kept) = ready.and_then(|()| tcp.try_clone()) else {
                    continue;
                };
                connections.lock().unwrap().push(kept);
                let handler = handler.clone();
                std::thread::spawn(move || serve(tcp, &*handler));
            }
        });
        Ok(Self {
            stop,
            open,
            accepting: Some(accepting),
        })
    }

    /// Closes the port and all connections, as when the process ends.
    pub fn end(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(accepting) = self.accepting.take() {
            let _ended = accepting.join();
        }
        for tcp in self.open.lock().unwrap().drain(..) {
            let _closed = tcp.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

fn serve<H>(tcp: TcpStream, handler: &H)
where
    H: Fn(&Message, &mut TcpStream) -> Then,
{
    let mut out = match tcp.try_clone() {
        Ok(out) => out,
        Err(_) => return,
    };
    let mut reader = Reader::new(&tcp);
    while let Ok(Some(mut message)) = reader.head() {
        reader.body(&mut message, false);
        if !message.is_complete || handler(&message, &mut out) == Then::Close {
            break;
        }
    }
    let _closed = tcp.shutdown(std::net::Shutdown::Both);
}

/// Writes a whole response with a length.
pub fn respond(out: &mut TcpStream, status: &str, headers: &[(&str, String)], body: &[u8]) -> Then {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    match out.write_all(&bytes) {
        Ok(()) => Then::Keep,
        Err(_) => Then::Close,
    }
}

/// Waits until `done` returns true. Returns whether it did in time.
pub fn wait_until<F>(limit: Duration, mut done: F) -> bool
where
    F: FnMut() -> bool,
{
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    done()
}
