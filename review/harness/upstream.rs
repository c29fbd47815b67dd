//! Servers of the platform: a plain service, and a model engine that holds a range of layers.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    net::{self, Request},
    record::Record,
    store::{self, SERVERS, Store, number},
};

/// Time between two writes of a server to the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A model and the card of one engine.
#[derive(Clone)]
pub struct Card {
    pub kind: &'static str,
    pub mb: u64,
    pub layer_mb: u64,
    /// Layers of the whole model.
    pub layers: u64,
}

/// How an engine writes its streams.
#[derive(Clone, Copy)]
pub struct Pace {
    pub events: u64,
    /// Events that one write holds.
    pub events_per_write: u64,
    pub write_every: Duration,
    /// One in so many streams has wrong bytes; 0 for none.
    pub spoils_one_in: u64,
}

#[derive(Default)]
struct State {
    layers: Option<(u64, u64)>,
    orders: u64,
    busy: bool,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    born: u64,
    card: Option<Card>,
    pace: Pace,
    work: Duration,
    store: Store,
    record: Record,
    is_up: AtomicBool,
    /// Whether it writes heartbeats.
    is_listed: AtomicBool,
    seq: AtomicU64,
    streams: AtomicU64,
    state: Mutex<State>,
    connections: Mutex<Vec<TcpStream>>,
    /// The other engines of a chain, which all work that passes through them needs.
    pub chain: Mutex<Vec<Arc<Server>>>,
    /// Called for each request that reaches the server.
    pub on_arrival: Mutex<Option<Box<dyn Fn(&str) + Send>>>,
    /// Set once it was ordered to hold more than its memory.
    pub overfull: AtomicBool,
}

pub struct Settings<'s> {
    pub id: &'s str,
    pub service: &'s str,
    pub zone: &'s str,
    pub address: Option<SocketAddr>,
    pub card: Option<Card>,
    pub pace: Pace,
    pub work: Duration,
}

pub const PLAIN: Pace =
    Pace { events: 0, events_per_write: 1, write_every: Duration::ZERO, spoils_one_in: 0 };

impl Server {
    /// Starts a server; it registers itself with its first heartbeat.
    pub fn start(settings: Settings, store: &Store, record: &Record) -> std::io::Result<Arc<Self>> {
        let address = settings.address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = TcpListener::bind(address)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let server = Arc::new(Self {
            id: settings.id.to_owned(),
            address: listener.local_addr()?,
            service: settings.service.to_owned(),
            zone: settings.zone.to_owned(),
            born,
            card: settings.card,
            pace: settings.pace,
            work: settings.work,
            store: store.clone(),
            record: record.clone(),
            is_up: AtomicBool::new(true),
            is_listed: AtomicBool::new(true),
            seq: AtomicU64::new(0),
            streams: AtomicU64::new(0),
            state: Mutex::default(),
            connections: Mutex::default(),
            chain: Mutex::default(),
            on_arrival: Mutex::new(None),
            overfull: AtomicBool::new(false),
        });
        record.line(&format!("{} ({}) starts at {}", server.id, server.service, server.address));
        let (up, handler) = (server.clone(), server.clone());
        net::serve(listener, move || up.is_up(), move |stream| handler.handle(stream));
        let heartbeat = server.clone();
        std::thread::spawn(move || {
            while heartbeat.is_up() {
                if heartbeat.is_listed.load(Ordering::SeqCst) {
                    heartbeat.register();
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(server)
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    /// Ends the process: its connections are reset and its port is closed.
    pub fn end(&self, why: &str) {
        self.record.line(&format!("{} ends: {why}", self.id));
        self.is_up.store(false, Ordering::SeqCst);
        // The port is closed before the connections end, as at the end of a process.
        std::thread::sleep(Duration::from_millis(10));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Writes no more heartbeats; it keeps serving.
    pub fn unlist(&self) {
        self.is_listed.store(false, Ordering::SeqCst);
    }

    pub fn layers(&self) -> Option<(u64, u64)> {
        self.state.lock().unwrap().layers
    }

    fn layers_json(&self) -> String {
        match self.layers() {
            Some((from, to)) => format!(r#"[{{"from":{from},"target":{to},"version":1}}]"#),
            None => "[]".to_owned(),
        }
    }

    /// Writes the entry to the store.
    fn register(&self) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst);
        let (id, address, service, zone) = (&self.id, self.address, &self.service, &self.zone);
        let mut entry = format!(
            r#"{{"id":"{id}","service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"seq":{seq},"born":{}"#,
            self.born
        );
        if let Some(card) = &self.card {
            entry.push_str(&format!(r#","kind":"{}","layers":{}"#, card.kind, self.layers_json()));
        }
        entry.push('}');
        self.store.put(SERVERS, id, &entry);
    }

    fn handle(self: &Arc<Self>, stream: TcpStream) {
        if let Ok(clone) = stream.try_clone() {
            self.connections.lock().unwrap().push(clone);
        }
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = net::read_request(&mut reader) {
            if !self.is_up() || self.answer(&mut out, &request).is_err() {
                return;
            }
        }
    }

    fn answer(self: &Arc<Self>, out: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let json = ("Content-Type", "application/json".to_owned());
        match request.path() {
            "/api/report" if self.card.is_some() => {
                let (busy, orders) = {
                    let state = self.state.lock().unwrap();
                    (state.busy, state.orders)
                };
                let body = format!(
                    r#"{{"stage":"colocated","models":[],"busy":{busy},"seq":{orders},"waiting":0,"running":0,"kvUsed":0,"kvTotal":100000,"handles":0,"stalled":[],"born":{},"layers":{}}}"#,
                    self.born,
                    self.layers_json()
                );
                net::answer(out, "200 OK", &[json], body.as_bytes())
            }
            "/api/order" if self.card.is_some() => self.order(out, request),
            "/health" => {
                net::answer(out, "200 OK", &[("X-Goldcrestvale-Instance-Id", self.id.clone())], b"")
            }
            path if path.starts_with("/api/") => net::answer(out, "404 Not Found", &[], b""),
            _ => self.run(out, request),
        }
    }

    fn order(self: &Arc<Self>, out: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let expected = request.header("x-goldcrestvale-expect-instance").unwrap_or("nobody");
        self.record.line(&format!("{} gets an order (it names {expected}): {body}", self.id));
        // An order that names another server is answered like a request that does.
        if expected != "nobody" && expected != self.id {
            return net::answer(out, "421 Misdirected Request", &[], b"");
        }
        match store::field(&body, "op").as_deref() {
            Some("place") => {}
            Some("repath") => return net::answer(out, "404 Not Found", &[], b""),
            _ => return net::answer(out, "400 Bad Request", &[], b""),
        }
        let (from, to) = (number(&body, "from").unwrap_or(0), number(&body, "target").unwrap_or(0));
        let Some(card) = &self.card else { return Ok(()) };
        {
            let mut state = self.state.lock().unwrap();
            if state.layers == Some((from, to)) && !state.busy {
                return net::answer(out, "200 OK", &[], b"");
            }
            if state.busy || number(&body, "expect").is_some_and(|expect| expect != state.orders) {
                return net::answer(out, "409 Conflict", &[], b"");
            }
            state.orders += 1;
            state.busy = true;
        }
        net::answer(out, "202 Accepted", &[], b"")?;
        let mb = to.saturating_sub(from) * card.layer_mb;
        if mb > card.mb {
            self.record.say(&format!(
                "BROKEN: {} ({}, {} of {} MB) was ordered to hold {} layers of {} MB = {mb} MB",
                self.id, self.service, card.kind, card.mb, to - from, card.layer_mb
            ));
            self.overfull.store(true, Ordering::SeqCst);
            self.end("it was ordered to hold more than its memory");
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let server = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(300));
            {
                let mut state = server.state.lock().unwrap();
                state.layers = Some((from, to));
                state.busy = false;
            }
            server.record.line(&format!("{} holds layers {from} to {to}", server.id));
            server.register();
        });
        Ok(())
    }

    /// Runs a request, unless it names another server.
    fn run(self: &Arc<Self>, out: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let id = request.header("x-goldcrestvale-attempt-id").unwrap_or("none").to_owned();
        let echo = ("X-Goldcrestvale-Attempt-Id", id.clone());
        let not_run = ("X-Goldcrestvale-Not-Executed", "1".to_owned());
        if request.header("x-goldcrestvale-expect-instance").is_some_and(|name| name != self.id) {
            return net::answer(out, "421 Misdirected Request", &[echo, not_run], b"");
        }
        if self.card.is_some() && !self.holds_its_part(request) {
            let at = ("At-Server", self.address.to_string());
            return net::answer(out, "421 Misdirected Request", &[echo, not_run, at], b"");
        }
        if let Some(on_arrival) = &*self.on_arrival.lock().unwrap() {
            on_arrival(&id);
        }
        let seal = ("X-Goldcrestvale-Response-Seal", format!("seal.{}.{id}", self.id));
        let load = ("X-Goldcrestvale-Server-Load", "1,0,64".to_owned());
        if self.card.is_none() {
            self.record.line(&format!("{} runs {id}", self.id));
            std::thread::sleep(self.work);
            self.record.line(&format!("{} answers {id}", self.id));
            let body = format!("done by {} for {id}\n", self.id);
            return net::answer(out, "200 OK", &[echo, seal, load], body.as_bytes());
        }
        self.stream(out, request, &[echo, seal, load], &id)
    }

    /// Returns whether the part of the chain that falls to this server is held here.
    fn holds_its_part(&self, request: &Request) -> bool {
        let Some(card) = &self.card else { return true };
        let own = self.address.to_string();
        let part = request.header("x-goldcrestvale-hop-count").map_or(Some((0, card.layers)), |hops| {
            let (_, range) = hops.split(',').filter_map(|hop| hop.split_once('=')).find(|(at, _)| *at == own)?;
            let (from, to) = range.split_once('-')?;
            Some((from.parse().ok()?, to.parse().ok()?))
        });
        match (part, self.layers()) {
            (Some((from, to)), Some((held_from, held_to))) => held_from <= from && to <= held_to,
            _ => false,
        }
    }

    fn stream(
        &self,
        out: &mut TcpStream,
        request: &Request,
        headers: &[(&str, String)],
        id: &str,
    ) -> std::io::Result<()> {
        let Pace { events, events_per_write, write_every, spoils_one_in } = self.pace;
        let number = self.streams.fetch_add(1, Ordering::SeqCst);
        let after = request.header("last-event-id").and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let is_spoiled = spoils_one_in > 0 && after == 0 && number % spoils_one_in == spoils_one_in - 1;
        self.record.line(&format!("{} runs stream {id} after event {after}", self.id));
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        out.write_all(head.as_bytes())?;
        let mut event = after + 1;
        while event <= events {
            std::thread::sleep(write_every);
            while self.chain.lock().unwrap().iter().any(|other| !other.is_up()) {
                // Work that depends on a dead server stalls; nothing follows here before the time
                // after which it is cut off.
                std::thread::sleep(Duration::from_millis(2_500));
                self.record.line(&format!("{} cuts off stream {id} after event {}", self.id, event - 1));
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            if !self.is_up() {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let last = events.min(event + events_per_write - 1);
            let mut data = String::new();
            for number in event..=last {
                // The middle one of the events in this write has wrong bytes in place of its id.
                if is_spoiled && event > events / 2 && event <= events / 2 + events_per_write && number == event + 1 {
                    self.record.line(&format!("{} spoils event {number} of stream {id}", self.id));
                    data.push_str(&format!("#?: {number}\ndata: token {number}\n\n"));
                } else {
                    data.push_str(&format!("id: {number}\ndata: token {number}\n\n"));
                }
            }
            let chunk = format!("{:x}\r\n{data}\r\n", data.len());
            out.write_all(chunk.as_bytes())?;
            event = last + 1;
        }
        self.record.line(&format!("{} ends stream {id}", self.id));
        out.write_all(b"0\r\n\r\n")
    }
}
