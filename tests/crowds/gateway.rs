//! A gateway process with the settings of the deploy template.

use std::{io::Write, net::SocketAddr, path::Path, time::Duration};

use bytes::Bytes;
use goldcrestvale_standin::process::{Process, Signal};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tempfile::NamedTempFile;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{
    Bounds, Front, Target,
    usage::{Usage, Watch},
};
use crate::{
    proxy::Proxy,
    store::Store,
    web::{self, Body, full},
};

/// Memory of the machine, in megabytes.
const MEMORY_MB: u64 = 96;

/// Descriptors of the machine, of which [`FILE_DESCRIPTORS`] are for files.
const DESCRIPTORS: u64 = 1_000;
const FILE_DESCRIPTORS: u64 = 200;

/// How long a connection may stay idle by the configuration.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Length of a large answer: one that the gateway buffers completely.
const LARGE_ANSWER: usize = 7 << 20;

/// Host of the routes.
const HOST: &str = "a.example";

/// A gateway process, with a store and an upstream in the process of the test.
pub struct Gateway {
    process: Process,
    watch: Watch,
    callers: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    upstream: SocketAddr,
    store: Store,
    settings: NamedTempFile,
    _stop: DropGuard,
}

/// Limits of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub body_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: IDLE_TIMEOUT,
        }
    }
}

impl Gateway {
    /// Starts the gateway and waits until it is ready.
    pub async fn start() -> Self {
        let stop = CancellationToken::new();
        let upstream = web::serve(stop.clone(), answer).await;
        Self::start_with("front-1", upstream, "", stop).await
    }

    /// Starts a gateway that reaches the upstream through a link of its own, and knows another one.
    pub async fn start_beside(peer: &Self) -> (Self, Proxy) {
        let stop = CancellationToken::new();
        let link = Proxy::start(peer.upstream, stop.clone()).await;
        let seeds = peer.control.to_string();
        (Self::start_with("front-2", link.address, &seeds, stop).await, link)
    }

    async fn start_with(
        name: &str,
        upstream: SocketAddr,
        seeds: &str,
        stop: CancellationToken,
    ) -> Self {
        let store = Store::start(stop.clone()).await;
        store.put("keyed.op", "config", &configuration(1, Limits::default()));
        store.put("keyed.servers", "desk-1", &registration(upstream));
        let control = free_address().await;
        let fields = fields(name, store.address, control, seeds);
        let mut settings = NamedTempFile::with_suffix(".ini").unwrap();
        settings.write_all(fill_template(&fields).as_bytes()).unwrap();
        let (process, callers, ready) = spawn(settings.path()).await;
        let watch = Watch::new(process.id());
        let stop = stop.drop_guard();
        let gateway = Self {
            process,
            watch,
            callers,
            ready,
            control,
            upstream,
            store,
            settings,
            _stop: stop,
        };
        gateway.check_serves().await;
        gateway
    }

    /// Waits until the gateway is ready and answers.
    async fn check_serves(&self) {
        self.check_ready().await;
        self.check_answer().await;
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal).expect("the process has ended");
    }

    /// Waits until the process, which has got a signal, has ended, and starts another one.
    pub async fn restart(&mut self) {
        let ended = tokio::time::timeout(super::ANSWER_TIMEOUT, self.process.wait()).await;
        ended.expect("the process does not end").unwrap();
        (self.process, self.callers, self.ready) = spawn(self.settings.path()).await;
        self.watch = Watch::new(self.process.id());
        self.check_serves().await;
    }

    /// Writes a version of the configuration.
    pub fn configure(&self, version: u64, limits: Limits) {
        self.store.put("keyed.op", "config", &configuration(version, limits));
    }

    /// Returns the address of the readiness check.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready
    }

    /// Returns the address for peers.
    pub fn peers_address(&self) -> SocketAddr {
        self.control
    }

    /// Waits until the readiness check succeeds.
    pub async fn check_ready(&self) {
        let caller = goldcrestvale_standin::caller::Caller::default();
        let ready = async {
            loop {
                let answer = caller.get(self.ready, "/api/ready").await;
                if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let timeout = tokio::time::timeout(super::ANSWER_TIMEOUT, ready).await;
        timeout.expect("the readiness check does not succeed");
    }
}

impl Front for Gateway {
    fn address(&self) -> SocketAddr {
        self.callers
    }

    fn head(&self, target: Target) -> String {
        let path = match target {
            Target::Ordinary => "/desk/now",
            Target::Slow => "/desk/slow",
            Target::Large => "/desk/large",
        };
        format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-goldcrestvale-attempt-id: a-1\r\n\
             x-goldcrestvale-deadline-ms: 60000\r\n"
        )
    }

    fn usage(&self) -> Usage {
        self.watch.usage()
    }

    fn bounds(&self) -> Bounds {
        Bounds { memory_bytes: MEMORY_MB * 1_000_000, descriptors: DESCRIPTORS - FILE_DESCRIPTORS }
    }
}

/// Starts a gateway, and returns it with its addresses for callers and for the readiness check.
async fn spawn(settings: &Path) -> (Process, SocketAddr, SocketAddr) {
    let path = settings.display().to_string();
    let arguments = ["serve".to_owned(), "--settings".to_owned(), path];
    let program = Path::new(env!("CARGO_BIN_EXE_goldcrestvale"));
    let mut process = Process::spawn(program, &arguments).unwrap();
    let line = process.wait_line("\"listening\"").await.unwrap();
    let line: Value = serde_json::from_str(&line).unwrap();
    let address = |key: &str| line[key].as_str().unwrap().parse().unwrap();
    (process, address("callers"), address("ready"))
}

/// Returns a configuration with one service, and limits that are by default like those of the users.
fn configuration(version: u64, limits: Limits) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "desk", "host": HOST, "pathPrefix": "/desk/", "kind": "safe", "service": "desk",
            "timeoutMs": 60_000, "targetLatencyMs": 30_000, "priority": 1, "maxAttempts": 2,
            "public": false, "sticky": false, "resumable": false,
        }],
        "services": [
            { "name": "desk", "healthPath": "/health", "maxConns": 1_000, "protocol": "h1" },
        ],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": limits.body_bytes,
            "headerTimeoutMs": limits.header_timeout.as_millis() as u64,
            "idleTimeoutMs": limits.idle_timeout.as_millis() as u64,
        },
    })
}

fn registration(address: SocketAddr) -> Value {
    json!({
        "service": "desk", "address": address.to_string(), "zone": "bole", "version": "v1",
        "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1_700_000_000_000_u64,
    })
}

/// Returns an address that no other socket listens on.
async fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Returns the fields that the platform fills into the template.
fn fields(name: &str, store: SocketAddr, control: SocketAddr, seeds: &str) -> Value {
    json!({
        "node": name, "role": "gateway", "machineClass": "front", "ip": "127.0.0.1",
        "zone": "bole", "region": "addis", "firstStart": true, "heartbeatMs": 1_200, "seeds": seeds,
        "listen": {
            "front": "127.0.0.1:0", "ready": "127.0.0.1:0", "control": control.to_string(),
        },
        "innerPortRange": [0, 0],
        "limits": {
            "cpuShare": 0.38, "cores": 1, "memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS,
            "linkMbps": 1500.0, "diskMb": 0,
        },
        "bounds": {
            "graceS": 8, "configMs": 2_000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
            "retryBudgetMin": 200,
        },
        "platform": { "address": store.to_string() },
    })
}

/// Fills in the deploy template as the platform does.
fn fill_template(fields: &Value) -> String {
    let template = include_str!("../../deploy/node.ini");
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, tail)) = rest.split_once("{{") {
        let (name, after) = tail.split_once("}}").unwrap();
        let value = &fields[name.split('.').next().unwrap()];
        let value =
            name.split('.').skip(1).fold(value, |value, part| match part.parse::<usize>() {
                Ok(index) => &value[index],
                Err(_) => &value[part],
            });
        assert!(!value.is_null(), "the template has an unknown field {name}");
        text.push_str(before);
        text.push_str(&value.as_str().map_or_else(|| value.to_string(), str::to_owned));
        rest = after;
    }
    text + rest
}

/// Answers as an upstream of the service, once the whole body is there.
async fn answer(request: Request<Incoming>) -> Response<Body> {
    let (head, mut body) = request.into_parts();
    while let Some(Ok(_)) = body.frame().await {}
    let text = match head.uri.path() {
        "/desk/slow" => {
            tokio::time::sleep(Duration::from_secs(1)).await;
            Bytes::from_static(b"done")
        }
        "/desk/large" => Bytes::from(vec![b'a'; LARGE_ANSWER]),
        _ => Bytes::from_static(b"done"),
    };
    let mut response = full(StatusCode::OK, text);
    let headers = response.headers_mut();
    if let Some(id) = head.headers.get("x-goldcrestvale-attempt-id") {
        headers.insert("x-goldcrestvale-attempt-id", id.clone());
    }
    headers.insert("x-goldcrestvale-response-seal", HeaderValue::from_static("seal"));
    response
}
