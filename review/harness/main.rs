//! Stand-ins, and the cases of the review that are scripts: `review-harness CASE DIR`.
//!
//! A case exits with 1 if its rule was broken, 0 if it held, and 2 if it could not run. Without the
//! disruption, with `TROUBLE=0`, it does the same otherwise.

mod case_deadline;
mod case_drain;
mod case_foreign;
mod case_limit;
mod case_order;
mod gateway;
mod net;
mod record;
mod store;
mod upstream;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use record::Record;
use store::Store;

/// What every case needs.
pub struct Setup {
    pub root: PathBuf,
    /// Folder for settings and logs.
    pub dir: PathBuf,
    pub record: Record,
    pub store: Store,
    pub has_trouble: bool,
}

/// The result of a case that ran: whether the rule held.
pub type Outcome = Result<bool, String>;

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const HOST: &str = "ficu95.example";

/// Returns a route of the configuration.
pub fn route(name: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u32) -> String {
    let (target, resumable) = if kind == "stream" { (500, true) } else { (100, false) };
    format!(
        r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":{target},"priority":1,"service":"{service}","maxAttempts":{attempts},"public":false,"sticky":true,"resumable":{resumable},"targetGapMs":200}}"#
    )
}

/// Returns a service of engines in the configuration.
pub fn engine_service(name: &str, layers: u64, layer_mb: u64, kinds: &[(&str, u64)]) -> String {
    let kinds: Vec<String> = kinds
        .iter()
        .map(|(kind, mb)| format!(r#"{{"name":"{kind}","mb":{mb},"pace":1.0,"readX":1.0}}"#))
        .collect();
    format!(
        r#"{{"name":"{name}","healthPath":"/health","maxConns":978,"protocol":"h1","engine":{{"slots":192,"kvTokens":100000,"kvTokenBytes":80000,"models":[{{"name":"m0","loadS":1.0}}],"loads_at_once":6,"usual":{{"prompt":760,"answer":172}},"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000,"layers":{layers},"layerMb":{layer_mb},"kinds":[{}]}}}}"#,
        kinds.join(",")
    )
}

pub fn plain_service(name: &str) -> String {
    format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":110,"protocol":"h1"}}"#)
}

impl Setup {
    /// Writes the first configuration to the store.
    pub fn configure(&self, routes: &[String], services: &[String]) {
        self.configure_version(3, routes, services);
    }

    pub fn configure_version(&self, version: u64, routes: &[String], services: &[String]) {
        let configuration = format!(
            r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#,
            routes.join(","),
            services.join(",")
        );
        self.store.put(store::OPERATOR, "config", &configuration);
    }

    /// Starts one machine in each of the zones; they know each other by their seeds. Tries again if
    /// another process has taken one of the free ports.
    pub fn start_machines(&self, zones: &[&str]) -> Result<Vec<gateway::Gateway>, String> {
        self.try_start(zones).or_else(|_| self.try_start(zones)).or_else(|_| self.try_start(zones))
    }

    fn try_start(&self, zones: &[&str]) -> Result<Vec<gateway::Gateway>, String> {
        let machines: Vec<gateway::Machine> = zones
            .iter()
            .enumerate()
            .map(|(index, zone)| {
                let name = format!("front-{zone}-{}", index + 1);
                gateway::Machine::new(&name, zone, self.store.open(&name))
            })
            .collect();
        let seeds: Vec<_> = machines.iter().take(3).map(|machine| machine.control).collect();
        let mut gateways = Vec::new();
        for machine in machines {
            let started = gateway::Gateway::start(&self.root, &self.dir, machine, &seeds);
            gateways.push(started.map_err(|e| format!("a machine cannot be started: {e}"))?);
            std::thread::sleep(Duration::from_millis(100));
        }
        match gateway::wait_until_ready(&gateways, &self.record) {
            true => Ok(gateways),
            false => Err("the machines are not ready".to_owned()),
        }
    }
}

/// Sends requests at a steady rate from threads until it is dropped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

impl Traffic {
    /// `send` gets the number of each request, and runs in a thread of its own.
    pub fn start(every: Duration, send: impl Fn(u64) + Send + Sync + 'static) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (is_over, send, number) = (stop.clone(), Arc::new(send), AtomicU64::new(0));
        std::thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let (send, number) = (send.clone(), number.fetch_add(1, Ordering::SeqCst));
                std::thread::spawn(move || send(number));
                std::thread::sleep(every);
            }
        });
        Self { stop }
    }
}

/// Returns the head of a request, to which the length is added.
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Goldcrestvale-Attempt-Id: {id}\r\nX-Goldcrestvale-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n"
    )
}

/// Returns the head of a request for a stream.
pub fn stream_head(path: &str, id: &str, deadline_ms: u64) -> String {
    let prompt = format!("X-Goldcrestvale-Model: m0\r\nX-Goldcrestvale-Token-Usage: 760,172\r\nX-Goldcrestvale-Prompt-Prefix: 5c1e07a2:40,{:x}:720\r\n", id.bytes().fold(7_u64, |sum, b| sum.wrapping_mul(31) + u64::from(b)));
    head("POST", path, id, deadline_ms) + &prompt
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("review-harness CASE DIR");
        return ExitCode::from(2);
    };
    let folder = Path::new(&folder);
    let dir = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if let Err(e) = std::fs::create_dir_all(&dir) {
        eprintln!("{}: {e}", dir.display());
        return ExitCode::from(2);
    }
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("record.txt: {e}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let root = std::env::current_dir().unwrap_or_default();
    let setup = Setup { root, dir: dir.clone(), store: Store::new(&record), record, has_trouble };
    setup.record.line(if has_trouble { "with the disruption" } else { "without the disruption" });
    let outcome = match case.as_str() {
        "limit" => case_limit::run(&setup),
        "order" => case_order::run(&setup),
        "drain" => case_drain::run(&setup),
        "foreign" => case_foreign::run(&setup),
        "deadline" => case_deadline::run(&setup),
        _ => Err("no such case".to_owned()),
    };
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    match outcome {
        Ok(true) => {
            setup.record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            setup.record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(why) => {
            setup.record.say(&format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
