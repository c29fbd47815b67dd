//! Stand-ins of the platform, of plain servers and of consumers for the cases 6 to 10.
//!
//! Standard library only. Everything listens on loopback addresses.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::FromRawFd,
    path::PathBuf,
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The record of a run: what was sent, answered and run, with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3}  {}\n", text.as_ref());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Sleeps until this number of seconds after the start.
    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case cannot run: {why}");
    exit(2);
}

/// Returns whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn id(&self) -> String {
        self.header("X-Goldcrestvale-Attempt-Id").unwrap_or("-").to_owned()
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value.to_owned())
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let mut request = Request { method, target, headers, body: Vec::new() };
    let length = request.header("Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: body.into() }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {} Status\r\n", self.status);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        stream.write_all(&bytes)
    }
}

/// A listener on a loopback address.
#[derive(Clone)]
pub struct Listener {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
}

impl Listener {
    /// Refuses connections from now on.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Ends the wait for a connection.
        let _ = TcpStream::connect(self.address);
    }
}

/// Serves each connection in a thread; a handler that returns `None` closes it.
pub fn serve(handler: impl Fn(Request) -> Option<Response> + Send + Sync + 'static) -> Listener {
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    let is_closed = Arc::new(AtomicBool::new(false));
    let handle = Listener { address, is_closed: is_closed.clone() };
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_closed.load(Ordering::SeqCst) {
                return;
            }
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    let Some(response) = handler(request) else { break };
                    if response.write(&mut writer).is_err() {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    handle
}

// ---------------------------------------------------------------- the platform's store

type Entry = (Vec<u8>, Vec<u8>);

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Vec<(Instant, Entry)>>,
    /// Offset of the first record of each topic that can still be read.
    first: BTreeMap<String, usize>,
    /// Whether all calls are refused with 503.
    is_down: bool,
    era: u64,
}

/// The platform's store: keyed topics of one partition and one group.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

const OPERATOR: &str = "keyed.op";
const SERVERS: &str = "keyed.servers";

impl Store {
    pub fn start() -> Self {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        let shared = state.clone();
        let listener = serve(move |request| Some(answer(&shared, &request)));
        Self { address: listener.address, state }
    }

    fn put(&self, topic: &str, key: &str, value: &[u8]) -> bool {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.is_down {
            return false;
        }
        let entry = (key.as_bytes().to_vec(), value.to_vec());
        state.topics.entry(topic.to_owned()).or_default().push((Instant::now(), entry));
        changed.notify_all();
        true
    }

    /// Writes a configuration as the operator.
    pub fn configure(&self, json: &str) -> bool {
        self.put(OPERATOR, "config", json.as_bytes())
    }

    /// Writes or removes a server's entry; returns whether the store accepted it.
    pub fn register(&self, id: &str, json: &str) -> bool {
        self.put(SERVERS, id, json.as_bytes())
    }

    pub fn set_down(&self, is_down: bool) {
        let (lock, changed) = &*self.state;
        lock.lock().unwrap().is_down = is_down;
        changed.notify_all();
    }

    /// Deletes the records of the operator and of the servers but for the newest one of each key.
    pub fn compact(&self) {
        let mut state = self.state.0.lock().unwrap();
        for topic in [OPERATOR, SERVERS] {
            let end = state.topics.get(topic).map_or(0, Vec::len);
            state.first.insert(topic.to_owned(), end);
        }
    }

    /// Comes back from a copy of this age: the entries of the servers since then are lost.
    pub fn restore(&self, age: Duration) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let taken = Instant::now() - age;
        for entries in state.topics.values_mut() {
            entries.retain(|(at, _)| *at <= taken);
        }
        state.era += 1;
        state.is_down = false;
        changed.notify_all();
    }
}

fn answer(shared: &Arc<(Mutex<StoreState>, Condvar)>, request: &Request) -> Response {
    let topic = request.query("topic").unwrap_or_default();
    let (lock, changed) = &**shared;
    let mut state = lock.lock().unwrap();
    let era = |state: &StoreState, response: Response| match state.era {
        0 => response,
        era => response.with("Store-Era", era.to_string()),
    };
    if state.is_down {
        return era(&state, Response::new(503, ""));
    }
    let response = match request.path() {
        "/api/log-newest" => {
            let entries = state.topics.get(&topic).cloned().unwrap_or_default();
            let mut newest: BTreeMap<Vec<u8>, (usize, Vec<u8>)> = BTreeMap::new();
            for (offset, (_, (key, value))) in entries.iter().enumerate() {
                newest.insert(key.clone(), (offset, value.clone()));
            }
            let items: Vec<String> = newest
                .iter()
                .filter(|(_, (_, value))| !value.is_empty())
                .map(|(key, (offset, value))| {
                    let key = String::from_utf8_lossy(key);
                    format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
                })
                .collect();
            let items = items.join(",");
            let end = entries.len();
            json(200, format!(r#"{{"items":[{items}],"hasMore":false,"end":{end}}}"#))
        }
        "/api/log-read" => {
            let number = |name| request.query(name).and_then(|n| n.parse().ok()).unwrap_or(0_u64);
            let (from, wait) = (number("from") as usize, number("waitMs").min(30_000));
            let until = Instant::now() + Duration::from_millis(wait);
            loop {
                let end = state.topics.get(&topic).map_or(0, Vec::len);
                let left = until.saturating_duration_since(Instant::now());
                if state.is_down {
                    break Response::new(503, "");
                }
                let first = state.first.get(&topic).copied().unwrap_or(0);
                if from > end || from < first {
                    break json(410, format!(r#"{{"first":{first}}}"#));
                }
                if end > from || left.is_zero() {
                    let mut body = Vec::new();
                    body.extend_from_slice(&(end as u64).to_be_bytes());
                    body.extend_from_slice(&(first as u64).to_be_bytes());
                    let entries = state.topics.get(&topic).map_or(&[][..], Vec::as_slice);
                    for (_, (key, value)) in &entries[from..] {
                        let length = 1 + key.len() + value.len();
                        body.extend_from_slice(&(length as u32).to_be_bytes());
                        body.push(key.len() as u8);
                        body.extend_from_slice(key);
                        body.extend_from_slice(value);
                    }
                    break Response::new(200, body);
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
        "/api/log-append" => {
            let mut entries = Vec::new();
            let mut rest = &request.body[..];
            while rest.len() >= 4 {
                let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                let record = &rest[4..4 + length];
                let key = record[0] as usize;
                entries.push((record[1..1 + key].to_vec(), record[1 + key..].to_vec()));
                rest = &rest[4 + length..];
            }
            let now = Instant::now();
            let log = state.topics.entry(topic).or_default();
            let offset = log.len();
            log.extend(entries.into_iter().map(|entry| (now, entry)));
            changed.notify_all();
            json(200, format!(r#"{{"offset":{offset},"end":{}}}"#, log.len()))
        }
        "/api/log-join" => {
            json(200, r#"{"generation":1,"parts":[["placement",0,0]]}"#.to_owned())
        }
        "/api/log-leave" => json(200, "{}".to_owned()),
        _ => Response::new(404, ""),
    };
    era(&state, response)
}

fn json(status: u16, body: String) -> Response {
    Response::new(status, body).with("Content-Type", "application/json")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------- servers

/// The entry of a plain server.
pub fn entry(service: &str, address: SocketAddr, zone: &str, state: &str, born: u64, seq: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"{state}","coldLeftMs":0,"born":{born},"seq":{seq}}}"#
    )
}

/// Returns a server's answer to a request that it has run.
pub fn ran(request: &Request, body: impl Into<Vec<u8>>) -> Response {
    Response::new(200, body)
        .with("X-Goldcrestvale-Attempt-Id", request.id())
        .with("X-Goldcrestvale-Response-Seal", format!("seal-{}", request.id()))
}

// ---------------------------------------------------------------- the program

/// A gateway instance: `target/release/goldcrestvale serve` with settings like `deploy/node.ini`.
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    settings: PathBuf,
}

/// Addresses and limits of an instance.
pub struct Setup<'s> {
    pub name: &'s str,
    pub zone: &'s str,
    pub store: SocketAddr,
    pub memory_mb: u32,
    pub descriptors: u32,
}

impl Gateway {
    /// Starts an instance and waits until it says that it is ready.
    pub fn start(folder: &str, setup: &Setup<'_>) -> Self {
        let Setup { name, zone, store, memory_mb, descriptors } = setup;
        let [front, ready, control, metrics] =
            [0; 4].map(|_| SocketAddr::from(([127, 0, 0, 1], free_port())));
        let text = format!(
            "[instance]\nname = {name}\ndomain = {zone}\n\n\
             [machine]\nmemory_mb = {memory_mb}\ndescriptors = {descriptors}\n\n\
             [callers]\naddress = {front}\n\n\
             [gateway]\nstore = {store}\nready = {ready}\nmetrics = {metrics}\n\
             retry_ratio = 0.2\nretry_floor = 200\nretry_span_s = 10\nheartbeat_ms = 1200\n\
             configuration_bound_ms = 2000\nfirst_start = true\ngrace_s = 8\n\n\
             [peer]\naddress = {control}\nseeds = {control}\nheartbeat_ms = 500\n\
             secret = 6d1f0c5b8e3a47929b04d7c16fe82a35c09d4e7718ab63f25d90be41a7c83e16\n\n\
             [log]\noutput = stdout\nformat = json\n"
        );
        let settings = PathBuf::from(folder).join(format!("{name}.ini"));
        fs::write(&settings, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = File::create(PathBuf::from(folder).join(format!("{name}.log"))).unwrap();
        let program = std::env::var("GATEWAY")
            .unwrap_or_else(|_| "target/release/goldcrestvale".to_owned());
        let child = Command::new(program)
            .arg("serve")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("GOLDCRESTVALE_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        // `run.sh` ends what is left after an early end of the case.
        let processes = PathBuf::from(folder).join("processes");
        let processes = fs::OpenOptions::new().create(true).append(true).open(processes);
        let _ = processes.and_then(|mut file| writeln!(file, "{}", child.id()));
        let gateway = Self { front, ready, child, settings };
        let until = Instant::now() + Duration::from_secs(15);
        while !gateway.is_ready() {
            if Instant::now() > until {
                drop(gateway);
                cannot_run("the gateway is not ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
        gateway
    }

    /// Asks as the platform does.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let head = format!("GET /api/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ready);
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line).is_ok() && line.contains(" 200")
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the child was not waited for yet, so the id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const [u8; 16], length: u32) -> i32;
}

// ---------------------------------------------------------------- consumers

/// How an answer ended at a consumer.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// It is complete.
    Whole { status: u16, bytes: usize },
    /// The connection ended inside the body.
    Cut { status: u16, bytes: usize, announced: usize },
    /// There is no head of an answer.
    NoAnswer(String),
}

/// Opens a connection like one over a real network, with segments of 1,400 bytes and a small window.
pub fn connect_over_network(address: SocketAddr, window: i32) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(v4) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    let segment = 1_400_i32;
    // SAFETY: the pointers are valid for the calls, and the descriptor is owned from here on.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        if connect(fd, &raw, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Sends a request and reads its answer at a rate of at most `bytes_per_s`.
pub fn call(stream: &mut TcpStream, request: &str, bytes_per_s: Option<f64>) -> End {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    if let Err(e) = stream.write_all(request.as_bytes()) {
        return End::NoAnswer(e.to_string());
    }
    let Ok(clone) = stream.try_clone() else { return End::NoAnswer("no descriptor".to_owned()) };
    let mut reader = BufReader::with_capacity(4_096, clone);
    let (first, headers) = match read_head(&mut reader) {
        Ok(Some(head)) => head,
        Ok(None) => return End::NoAnswer("closed".to_owned()),
        Err(e) => return End::NoAnswer(e.to_string()),
    };
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let announced: usize = length.and_then(|(_, l)| l.parse().ok()).unwrap_or(0);
    let mut bytes = 0;
    let mut buffer = [0_u8; 4_096];
    let start = Instant::now();
    while bytes < announced {
        match reader.read(&mut buffer[..4_096.min(announced - bytes)]) {
            Ok(0) | Err(_) => return End::Cut { status, bytes, announced },
            Ok(read) => bytes += read,
        }
        if let Some(rate) = bytes_per_s {
            let due = Duration::from_secs_f64(bytes as f64 / rate);
            thread::sleep(due.saturating_sub(start.elapsed()));
        }
    }
    End::Whole { status, bytes }
}

/// Opens a connection and sends one request.
pub fn call_once(address: SocketAddr, request: &str) -> End {
    match TcpStream::connect(address) {
        Ok(mut stream) => call(&mut stream, request, None),
        Err(e) => End::NoAnswer(e.to_string()),
    }
}

/// Returns the text of a request without a body.
pub fn request_text(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Goldcrestvale-Attempt-Id: {id}\r\n\
         X-Goldcrestvale-Deadline-Ms: {deadline_ms}\r\n{length}Authorization: Bearer key1\r\n\r\n"
    )
}

/// A configuration with an unsafe and a safe route to one plain service.
pub fn configuration(version: u64, timeout_ms: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":{timeout_ms},"targetLatencyMs":1000,"priority":2,"service":"desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false}},{{"name":"status","host":"desk.example","pathPrefix":"/status/","kind":"safe","timeoutMs":{timeout_ms},"targetLatencyMs":1000,"priority":2,"service":"desk","maxAttempts":2,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"desk","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["key1"],"priority":1}}]}}"#
    )
}
