//! A complete deployment on loopback: platform, engines, services and entry instances as processes.

use std::{
    io::{self, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    sync::Once,
};

use goldcrestvale_base::id::Digest;
use http::StatusCode;
use serde_json::{Value, json};
use tempfile::NamedTempFile;

use crate::{
    caller::Caller,
    process::{Process, value_of},
};

/// Name of the customer in the default configuration.
pub const CUSTOMER: &str = "tester";

/// Credential of [`CUSTOMER`].
pub const CREDENTIAL: &str = "tester-credential";

/// Token of the operators' interface of all entry instances.
pub const TOKEN: &str = "operator-token";

/// Name of the model in the default configuration.
pub const MODEL: &str = "draft";

/// Number of layers of [`MODEL`].
pub const LAYERS: u32 = 12;

/// Name of the service in the default configuration; its `GET` method is idempotent.
pub const SERVICE: &str = "booking";

/// Paths of the programs.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The program of the entry instances.
    pub router: PathBuf,
    /// The program of the stand-ins.
    pub standin: PathBuf,
}

impl Programs {
    /// Finds the stand-ins next to the router and builds them if they are missing, as they may be
    /// under `cargo test` of a single test.
    ///
    /// # Panics
    ///
    /// Panics if the stand-ins are missing and cannot be built.
    pub fn beside(router: &str) -> Self {
        static BUILD: Once = Once::new();
        let router = PathBuf::from(router);
        let standin = router.with_file_name("goldcrestvale-standin");
        if !standin.exists() {
            BUILD.call_once(|| build(&standin));
        }
        Self { router, standin }
    }
}

/// Builds the stand-ins into the target directory of a program, with the `cargo` that runs the
/// tests.
fn build(program: &Path) {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let profile_dir = program.parent().unwrap_or(program);
    let mut command = Command::new(cargo);
    command.args(["build", "--locked", "--package", "goldcrestvale_standin", "--bins"]);
    command.arg("--target-dir").arg(profile_dir.parent().unwrap_or(profile_dir));
    if profile_dir.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().expect("cargo cannot be run");
    assert!(status.success(), "the stand-ins cannot be built: {status}");
}

/// A stand-in that runs as a process.
#[derive(Debug)]
pub struct Standin {
    /// The process.
    pub process: Process,
    /// Name in the instance list; empty for the platform.
    pub name: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for faults and counts.
    pub control: SocketAddr,
}

/// An entry instance that runs as a process.
#[derive(Debug)]
pub struct Entry {
    /// The process.
    pub process: Process,
    /// Name of the instance.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    _settings: NamedTempFile,
}

/// A deployment under construction.
#[derive(Debug)]
pub struct Builder {
    programs: Programs,
    platform: Vec<String>,
    engines: Vec<(String, Vec<String>)>,
    services: Vec<String>,
    entries: Vec<(String, String)>,
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    programs: Programs,
    /// The platform.
    pub platform: Standin,
    /// The engines.
    pub engines: Vec<Standin>,
    /// The instances of the service.
    pub services: Vec<Standin>,
    /// The entry instances.
    pub entries: Vec<Entry>,
    caller: Caller,
}

impl Builder {
    /// Creates a builder without engines, services and entry instances.
    pub fn new(programs: Programs) -> Self {
        Self {
            programs,
            platform: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
        }
    }

    /// Adds a command-line argument for the platform, such as `--retention-ms=1000`.
    pub fn platform(mut self, argument: &str) -> Self {
        self.platform.push(argument.to_owned());
        self
    }

    /// Adds an engine that holds layers `from..to`, with additional command-line arguments.
    pub fn engine(mut self, name: &str, from: u32, to: u32, arguments: &[&str]) -> Self {
        let mut all_arguments = vec![format!("--from={from}"), format!("--to={to}")];
        all_arguments.extend(arguments.iter().map(|&argument| argument.to_owned()));
        self.engines.push((name.to_owned(), all_arguments));
        self
    }

    /// Adds an instance of the service.
    pub fn service(mut self, name: &str) -> Self {
        self.services.push(name.to_owned());
        self
    }

    /// Adds an entry instance with additional lines of settings.
    pub fn entry(mut self, name: &str, settings: &str) -> Self {
        self.entries.push((name.to_owned(), settings.to_owned()));
        self
    }

    /// Starts all processes, lists the upstreams, applies the default configuration and waits until
    /// every entry instance is ready and knows the load of every upstream.
    ///
    /// # Errors
    ///
    /// Fails when a program cannot be started or does not become ready.
    pub async fn start(self) -> io::Result<Fleet> {
        let fleet = self.start_without_defaults().await?;
        if !fleet.entries.is_empty() {
            fleet.put_defaults().await?;
            fleet.wait_ready().await?;
        }
        Ok(fleet)
    }

    /// Starts all processes, lists the upstreams and waits until every entry instance is ready and
    /// knows the load of every upstream, without applying the default configuration.
    ///
    /// # Errors
    ///
    /// Fails when a program cannot be started or does not become ready.
    pub async fn start_without_defaults(self) -> io::Result<Fleet> {
        let standin = &self.programs.standin;
        let platform = Standin::start(standin, "platform", "", &self.platform).await?;
        let mut engines = Vec::new();
        for (name, arguments) in &self.engines {
            engines.push(Standin::start(standin, "engine", name, arguments).await?);
        }
        let mut services = Vec::new();
        for name in &self.services {
            let arguments = [format!("--service={SERVICE}")];
            services.push(Standin::start(standin, "service", name, &arguments).await?);
        }
        let mut fleet = Fleet {
            programs: self.programs.clone(),
            platform,
            engines,
            services,
            entries: Vec::new(),
            caller: Caller::default().with("authorization", &format!("Bearer {TOKEN}")),
        };
        fleet.list_upstreams().await?;
        for (name, settings) in &self.entries {
            fleet.start_entry(name, settings).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }
}

impl Standin {
    /// Starts a stand-in of kind `platform`, `engine` or `service`.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub async fn start(
        program: &Path,
        kind: &str,
        name: &str,
        arguments: &[String],
    ) -> io::Result<Self> {
        let mut all_arguments = vec![kind.to_owned(), "--address=127.0.0.1:0".to_owned()];
        if !name.is_empty() {
            all_arguments.push(format!("--name={name}"));
        }
        all_arguments.extend_from_slice(arguments);
        let mut process = Process::spawn(program, &all_arguments)?;
        let address = parse_address(&process.wait_line("listening on ").await?)?;
        let control = parse_address(&process.wait_line("control on ").await?)?;
        Ok(Self { process, name: name.to_owned(), address, control })
    }

    /// Returns the counts of the stand-in.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn counts(&self) -> io::Result<Value> {
        Ok(Caller::default().get(self.control, "/counts").await?.json())
    }

    /// Sets the faults of the stand-in.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in rejects them.
    pub async fn fault(&self, faults: &Value) -> io::Result<()> {
        let put = http::Method::PUT;
        let answer =
            Caller::default().send(self.control, put, "/faults", faults.to_string()).await?;
        check_status(answer.status, "faults")
    }
}

impl Fleet {
    /// Starts an additional entry instance without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub async fn start_entry(&mut self, name: &str, settings: &str) -> io::Result<()> {
        let mut file = NamedTempFile::with_suffix(".ini")?;
        let platform = self.platform.address;
        let has_stop = settings.contains("[stop]");
        let stop = if has_stop { "" } else { "[stop]\nnotice_ms = 100\ntimeout_ms = 20000\n" };
        write!(
            file,
            "[instance]\nname = {name}\ndomain = local\n\
             [callers]\naddress = 127.0.0.1:0\n\
             [operators]\naddress = 127.0.0.1:0\ntoken = {TOKEN}\n\
             [platform]\naddress = {platform}\nlist_interval_ms = 50\n\
             [upstream]\nload_interval_ms = 50\n\
             {stop}{settings}\n"
        )?;
        let arguments =
            ["serve".to_owned(), "--settings".to_owned(), file.path().display().to_string()];
        let mut process = Process::spawn(&self.programs.router, &arguments)?;
        let line = process.wait_line("event=\"listening\"").await?;
        let address = |key| {
            value_of(&line, key)
                .and_then(|address| address.parse().ok())
                .ok_or_else(|| io::Error::other(format!("no {key} in {line}")))
        };
        let (callers, operators) = (address("callers")?, address("operators")?);
        let name = name.to_owned();
        self.entries.push(Entry { process, name, callers, operators, _settings: file });
        Ok(())
    }

    /// Adds or replaces an upstream in the platform's list; role, pool and state are written as in
    /// the list.
    ///
    /// # Errors
    ///
    /// Fails when the platform rejects it.
    pub async fn upsert_instance(
        &self,
        upstream: &Standin,
        role: &str,
        pool: &str,
        state: &str,
    ) -> io::Result<()> {
        let listed = json!({
            "name": upstream.name, "role": role, "pool": pool, "address": upstream.address,
            "domain": "local", "state": state,
        });
        let answer = self.caller.post(self.platform.address, "/instances", &listed).await?;
        check_status(answer.status, "instances")
    }

    /// Changes the configuration through an entry instance and returns the answer's body.
    ///
    /// # Errors
    ///
    /// Fails when the change is not accepted.
    pub async fn put(
        &self,
        entry: usize,
        kind: &str,
        name: &str,
        body: &Value,
    ) -> io::Result<Value> {
        let operators = self.entries[entry].operators;
        let current = self.caller.get(operators, &format!("/config/{kind}/{name}")).await?;
        let change = json!({
            "schema": { "major": 1, "minor": 0 }, "kind": kind, "name": name,
            "base": current.json()["version"], "body": body, "operator": "test",
        });
        let answer = self.caller.post(operators, "/config/changes", &change).await?;
        if answer.status != StatusCode::OK {
            return Err(io::Error::other(format!("{kind} {name}: {}", answer.json())));
        }
        Ok(answer.json())
    }

    /// Returns a caller with the credential of [`CUSTOMER`].
    pub fn customer(&self) -> Caller {
        Caller::customer(CUSTOMER, CREDENTIAL)
    }

    /// Returns the state dump of an entry instance.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not answer.
    pub async fn dump(&self, entry: usize) -> io::Result<Value> {
        Ok(self.caller.get(self.entries[entry].operators, "/dump").await?.json())
    }

    /// Waits until the dump of an entry instance satisfies a condition.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not answer.
    pub async fn wait_dump(
        &self,
        entry: usize,
        mut condition: impl FnMut(&Value) -> bool,
    ) -> io::Result<Value> {
        loop {
            let dump = self.dump(entry).await?;
            if condition(&dump) {
                return Ok(dump);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn list_upstreams(&self) -> io::Result<()> {
        for engine in &self.engines {
            self.upsert_instance(engine, "engine", "drafting", "live").await?;
        }
        for service in &self.services {
            self.upsert_instance(service, "service", SERVICE, "live").await?;
        }
        Ok(())
    }

    async fn put_defaults(&self) -> io::Result<()> {
        let credential = Digest::of(CREDENTIAL.as_bytes());
        let customer = json!({ "credential": credential, "weight": 1, "max_in_flight": 1000 });
        let model = json!({
            "layers": LAYERS, "version": "1", "context_tokens": 16384, "activation_bytes": 8192,
        });
        let service = json!({
            "pool": SERVICE, "timeout_ms": 5000,
            "methods": [{ "method": "GET", "path": "/", "idempotent": true }],
        });
        let binding =
            |target: Value| json!({ "customer": CUSTOMER, "target": target, "priority": 1 });
        self.put(0, "customer", CUSTOMER, &customer).await?;
        self.put(0, "model", MODEL, &model).await?;
        self.put(0, "service", SERVICE, &service).await?;
        self.put(0, "binding", "tester-draft", &binding(json!({ "model": MODEL }))).await?;
        self.put(0, "binding", "tester-booking", &binding(json!({ "service": SERVICE }))).await?;
        Ok(())
    }

    /// Waits until every entry instance is ready, has at least the configuration version of the
    /// first instance and knows the load of every upstream.
    ///
    /// # Errors
    ///
    /// Fails when an instance does not answer.
    pub async fn wait_ready(&self) -> io::Result<()> {
        if self.entries.is_empty() {
            return Ok(());
        }
        let version = self.dump(0).await?["config"]["version"].as_u64();
        let upstreams = self.engines.len() + self.services.len();
        for entry in 0..self.entries.len() {
            let ready = |dump: &Value| {
                let rows = dump["upstreams"]["rows"].as_object();
                let with_report = rows
                    .map_or(0, |rows| rows.values().filter(|row| !row["report"].is_null()).count());
                dump["instance"]["phase"] == "serving"
                    && dump["config"]["version"].as_u64() >= version
                    && with_report >= upstreams
            };
            self.wait_dump(entry, ready).await?;
        }
        Ok(())
    }
}

/// Interval between two checks of a condition on a dump.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(10);

fn parse_address(line: &str) -> io::Result<SocketAddr> {
    let word = line.rsplit(' ').next().unwrap_or_default();
    word.parse().map_err(|_| io::Error::other(format!("no address in {line:?}")))
}

fn check_status(status: StatusCode, what: &str) -> io::Result<()> {
    if status.is_success() {
        return Ok(());
    }
    Err(io::Error::other(format!("{what}: status {status}")))
}
