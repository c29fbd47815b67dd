//! The platform's store: two keyed topics, reads that wait, and one consumer group.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    net::{self, Request},
    record::Record,
};

pub const SERVERS: &str = "keyed.servers";
pub const OPERATOR: &str = "keyed.op";

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<(String, Vec<u8>)>>,
    is_down: bool,
    owner: Option<(String, Instant, Duration)>,
    generation: u64,
    /// Key whose first read of the removal is of interest, and the machines that have read it.
    watched: Option<(String, usize)>,
    readers: Vec<String>,
    goes_down_at_first_read: bool,
}

/// The store; every machine has an address of its own, so that its calls can be told apart.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        Self { state: Arc::default(), record: record.clone() }
    }

    /// Opens an address for the calls of one machine.
    pub fn open(&self, machine: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let (store, machine) = (self.clone(), machine.to_owned());
        net::serve(listener, || true, move |stream| store.handle(stream, &machine));
        address
    }

    /// Appends a record unless the store is down; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.is_down {
            return false;
        }
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.state.1.notify_all();
        true
    }

    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().unwrap().is_down = is_down;
        self.state.1.notify_all();
        self.record.line(if is_down { "store: down (503)" } else { "store: up" });
    }

    /// Drops a key, and goes down once the first machine has read that, if `goes_down`.
    pub fn drop_watched(&self, key: &str, goes_down: bool) {
        let mut state = self.state.0.lock().unwrap();
        let records = state.topics.entry(SERVERS.to_owned()).or_default();
        records.push((key.to_owned(), Vec::new()));
        let offset = records.len() - 1;
        state.watched = Some((key.to_owned(), offset));
        state.goes_down_at_first_read = goes_down;
        self.state.1.notify_all();
    }

    /// Returns the machines that have read the dropped key.
    pub fn readers(&self) -> Vec<String> {
        self.state.0.lock().unwrap().readers.clone()
    }

    pub fn is_down(&self) -> bool {
        self.state.0.lock().unwrap().is_down
    }

    fn handle(&self, stream: TcpStream, machine: &str) {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = net::read_request(&mut reader) {
            if self.answer(&mut out, &request, machine).is_err() {
                return;
            }
        }
    }

    fn answer(&self, out: &mut impl Write, request: &Request, machine: &str) -> std::io::Result<()> {
        if self.is_down() {
            return net::answer(out, "503 Service Unavailable", &[], b"");
        }
        let json = ("Content-Type", "application/json".to_owned());
        match request.path() {
            "/api/log-newest" => {
                let topic = request.query("topic").unwrap_or_default();
                let body = self.newest(topic);
                net::answer(out, "200 OK", &[json], body.as_bytes())
            }
            "/api/log-read" => match self.read(request, machine) {
                Some(body) => net::answer(out, "200 OK", &[], &body),
                None => net::answer(out, "503 Service Unavailable", &[], b""),
            },
            "/api/log-join" => {
                let body = self.join(&String::from_utf8_lossy(&request.body));
                net::answer(out, "200 OK", &[json], body.as_bytes())
            }
            "/api/log-leave" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let member = field(&body, "member").unwrap_or_default();
                let mut state = self.state.0.lock().unwrap();
                if state.owner.as_ref().is_some_and(|(owner, ..)| *owner == member) {
                    state.owner = None;
                }
                drop(state);
                net::answer(out, "200 OK", &[json], b"{}")
            }
            _ => net::answer(out, "404 Not Found", &[], b""),
        }
    }

    fn newest(&self, topic: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut kept: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            kept.insert(key, (offset, value));
        }
        let rows: Vec<String> = kept
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
            })
            .collect();
        format!(r#"{{"items":[{}],"hasMore":false,"end":{}}}"#, rows.join(","), records.len())
    }

    /// Returns the records from an offset on, after waiting for one; `None` if the store goes down.
    fn read(&self, request: &Request, machine: &str) -> Option<Vec<u8>> {
        let topic = request.query("topic").unwrap_or_default();
        let from: usize = request.query("from").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait = request.query("waitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.is_down {
                return None;
            }
            let end = state.topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in &records[from.min(records.len())..] {
            let length = 1 + key.len() + value.len();
            bytes.extend_from_slice(&(length as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend_from_slice(key.as_bytes());
            bytes.extend_from_slice(value);
        }
        let end = records.len();
        let watched = state.watched.as_ref().filter(|(_, offset)| topic == SERVERS && from <= *offset && *offset < end);
        if let Some((key, _)) = watched
            && !state.readers.iter().any(|reader| reader == machine)
        {
            self.record.line(&format!("store: {machine} reads that the entry of {key} is gone"));
            state.readers.push(machine.to_owned());
            if state.goes_down_at_first_read && !state.is_down {
                state.is_down = true;
                self.record.line("store: down (503)");
                self.state.1.notify_all();
            }
        }
        Some(bytes)
    }

    fn join(&self, body: &str) -> String {
        let member = field(body, "member").unwrap_or_default();
        let ttl = Duration::from_millis(number(body, "ttlMs").unwrap_or(2_500));
        let now = Instant::now();
        let mut state = self.state.0.lock().unwrap();
        let is_free = match &state.owner {
            Some((owner, at, ttl)) => *owner == member || now.duration_since(*at) > *ttl,
            None => true,
        };
        if is_free {
            let is_new = state.owner.as_ref().is_none_or(|(owner, ..)| *owner != member);
            state.generation += u64::from(is_new);
            state.owner = Some((member, now, ttl));
        }
        let parts = if is_free { r#"[["placement",0,0]]"# } else { "[]" };
        format!(r#"{{"generation":{},"parts":{parts}}}"#, state.generation)
    }
}

/// Returns a text field of a flat JSON object.
pub fn field(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split_once('"')?.0.to_owned())
}

/// Returns a whole number of a flat JSON object.
pub fn number(json: &str, name: &str) -> Option<u64> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = group.iter().enumerate().fold(0_u32, |v, (i, b)| v | u32::from(*b) << (16 - 8 * i));
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(char::from(DIGITS[(value >> (18 - 6 * index)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}
