//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let mut request = Request { target, headers, body: Vec::new() };
    if let Some(length) = request.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        request.body = body;
    }
    Ok(Some(request))
}

/// Writes a complete answer.
pub fn answer(out: &mut impl Write, status: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes)
}

/// Accepts connections for as long as `is_up` is true; each one is handled in a thread.
pub fn serve(
    listener: TcpListener,
    is_up: impl Fn() -> bool + Send + 'static,
    handle: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        listener.set_nonblocking(true).expect("a listener can be made non-blocking");
        while is_up() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let handle = handle.clone();
                    std::thread::spawn(move || handle(stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    });
}

/// Finds a free port of the loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("a bound listener has an address")
}

/// The answer that a consumer received.
#[derive(Debug, Default, Clone)]
pub struct Received {
    /// 0 if the connection ended without one.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole answer arrived.
    pub is_complete: bool,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends one request on a new connection and reads the answer, until `patience` without a byte.
pub fn call(to: SocketAddr, head: &str, body: &[u8], patience: Duration) -> Received {
    let mut received = Received::default();
    let _ = exchange(to, head, body, patience, &mut received);
    received
}

fn exchange(to: SocketAddr, head: &str, body: &[u8], patience: Duration, received: &mut Received) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(());
    }
    received.status = line.split_whitespace().nth(1).and_then(|v| v.parse().ok()).unwrap_or(0);
    received.headers = read_headers(&mut reader)?;
    if let Some(length) = received.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        received.body = vec![0; length];
        reader.read_exact(&mut received.body)?;
        received.is_complete = true;
        return Ok(());
    }
    // Chunks; an answer without an end chunk is not complete.
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            received.is_complete = true;
            return Ok(());
        }
        received.body.extend_from_slice(&chunk[..length]);
    }
}
