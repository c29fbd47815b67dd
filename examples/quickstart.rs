//! Starts a complete deployment on loopback in one process, sends drafts and a booking, and prints
//! the results. With `--stay` it keeps serving and prints `curl` commands to try.

#![expect(clippy::print_stdout, reason = "the example prints its results")]

use std::{error::Error, net::SocketAddr, time::Duration};

use clap::Parser;
use goldcrestvale::{
    base::{engine::Accelerator, id::Digest},
    entry::settings::Settings,
    platform::message::{Listed, Role, State},
    serve::Instance,
};
use goldcrestvale_standin::{
    caller::Caller,
    engine, platform,
    server::{Handle, Server},
    service,
};
use serde_json::{Value, json};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const CREDENTIAL: &str = "family-credential";
const LAYERS: u32 = 12;

/// Runs a small deployment on loopback.
#[derive(Debug, Parser)]
struct Cli {
    /// Keep serving after the first requests.
    #[arg(long)]
    stay: bool,
}

/// The parts of the deployment, all in one process.
struct Deployment {
    platform: Handle<platform::Platform>,
    engines: Vec<Handle<engine::Engine>>,
    service: Handle<service::Service>,
    entries: Vec<Instance>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let cli = Cli::parse();
    let deployment = Deployment::start().await?;
    configure(deployment.entries[0].operators()).await?;
    deployment.wait_ready().await;
    send_draft(deployment.entries[0].callers()).await?;
    send_stream(deployment.entries[1].callers()).await?;
    send_booking(&deployment).await?;
    if cli.stay {
        print_curl(&deployment.entries[0]);
        tokio::signal::ctrl_c().await?;
    }
    for entry in deployment.entries {
        let name = entry.node().settings.instance.name.clone();
        let clean = entry.stop().await;
        println!("{name} stopped; every request finished: {clean}");
    }
    Ok(())
}

impl Deployment {
    async fn start() -> Result<Self> {
        let platform = platform::Platform::start(platform::Settings::default()).await?;
        println!("platform   {}", platform.address());
        let mut engines = Vec::new();
        for (name, from, to, accelerator) in [
            ("large-1", 0, 6, Accelerator::Large),
            ("large-2", 6, LAYERS, Accelerator::Large),
            ("small-1", 0, 6, Accelerator::Small),
            ("small-2", 6, LAYERS, Accelerator::Small),
        ] {
            let mut settings = engine::Settings { from, to, accelerator, ..Default::default() };
            settings.name = name.parse()?;
            let engine = engine::Engine::start(settings).await?;
            println!("engine     {} {name}, layers {from} to {to}", engine.address());
            platform.server().upsert(listed(name, Role::Engine, "drafting", &engine)?);
            engines.push(engine);
        }
        let service = service::Service::start(service::Settings::default()).await?;
        println!("service    {} booking-1", service.address());
        platform.server().upsert(listed("booking-1", Role::Service, "booking", &service)?);
        let mut entries = Vec::new();
        for name in ["entry-1", "entry-2"] {
            let entry = Instance::start(settings(name, platform.address())?).await?;
            println!("{name}    callers {}, operators {}", entry.callers(), entry.operators());
            entries.push(entry);
        }
        Ok(Self { platform, engines, service, entries })
    }

    /// Waits until both instances have the latest configuration and the reports of all upstreams.
    async fn wait_ready(&self) {
        let upstreams = self.engines.len() + 1;
        let end = self.platform.server().end("config");
        for entry in &self.entries {
            let node = entry.node();
            let is_behind = || node.config.load().version.next() < end;
            let lacks_reports = || {
                let table = node.upstreams.load();
                table.rows.values().filter(|row| row.report.is_some()).count() < upstreams
            };
            while !node.lifecycle.is_ready() || is_behind() || lacks_reports() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

fn settings(name: &str, platform: SocketAddr) -> Result<Settings> {
    let mut settings = Settings::default();
    settings.instance.name = name.parse()?;
    settings.callers.address = "127.0.0.1:0".parse()?;
    settings.operators.address = "127.0.0.1:0".parse()?;
    settings.platform.address = platform;
    settings.stop.notice = Duration::from_millis(100);
    Ok(settings)
}

fn listed<S: Server>(name: &str, role: Role, pool: &str, handle: &Handle<S>) -> Result<Listed> {
    Ok(Listed {
        name: name.to_owned(),
        role,
        pool: pool.to_owned(),
        address: handle.address(),
        domain: "local".parse()?,
        state: State::Live,
    })
}

/// Creates a customer, a model, a service, and the bindings between them.
async fn configure(operators: SocketAddr) -> Result<()> {
    let credential = Digest::of(CREDENTIAL.as_bytes());
    let methods = json!([{ "method": "GET", "path": "/", "idempotent": true }]);
    let bind = |target: Value| json!({ "customer": "family", "target": target });
    let changes = [
        (
            "customer",
            "family",
            json!({ "credential": credential, "weight": 1, "max_in_flight": 10 }),
        ),
        (
            "model",
            "draft",
            json!({ "layers": LAYERS, "version": "1", "context_tokens": 4096, "activation_bytes": 8192 }),
        ),
        (
            "service",
            "booking",
            json!({ "pool": "booking", "timeout_ms": 5000, "methods": methods }),
        ),
        ("binding", "family-draft", bind(json!({ "model": "draft" }))),
        ("binding", "family-booking", bind(json!({ "service": "booking" }))),
    ];
    for (kind, name, body) in changes {
        let change = json!({
            "schema": { "major": 1, "minor": 0 },
            "kind": kind, "name": name, "base": null, "body": body, "operator": "quickstart",
        });
        let answer = Caller::default().post(operators, "/config/changes", &change).await?;
        println!("configured {kind} {name}: {}", answer.json()["outcome"]);
    }
    Ok(())
}

async fn send_draft(callers: SocketAddr) -> Result<()> {
    let caller = Caller::customer("family", CREDENTIAL);
    let body = json!({ "model": "draft", "prompt": "A notice for", "max_tokens": 16 });
    let answer = caller.post(callers, "/v1/completions", &body).await?;
    let verdict = answer.header("goldcrestvale-verdict");
    println!("draft      status {}, verdict {verdict}: {}", answer.status, answer.json()["text"]);
    Ok(())
}

async fn send_stream(callers: SocketAddr) -> Result<()> {
    let caller = Caller::customer("family", CREDENTIAL);
    let body =
        json!({ "model": "draft", "prompt": "A tribute to", "max_tokens": 8, "stream": true });
    let mut events = caller.stream(callers, "/v1/completions", &body).await?;
    while let Some(event) = events.next().await? {
        println!("stream     {} {}", event.name, event.data);
    }
    Ok(())
}

/// Books with an idempotency key, and once without one, which is rejected.
async fn send_booking(deployment: &Deployment) -> Result<()> {
    let callers = deployment.entries[0].callers();
    let caller = Caller::customer("family", CREDENTIAL);
    let body = json!({ "page": 3 });
    let key = uuid::Uuid::now_v7().to_string();
    let keyed = caller.with("idempotency-key", &key);
    for (case, caller) in [("with key", &keyed), ("same key", &keyed), ("no key", &caller)] {
        let answer = caller.post(callers, "/services/booking/notices", &body).await?;
        let verdict = answer.header("goldcrestvale-verdict");
        println!("booking    {case}: status {}, verdict {verdict}", answer.status);
    }
    println!("service    counts {}", serde_json::to_string(&deployment.service.counts())?);
    Ok(())
}

fn print_curl(entry: &Instance) {
    let (callers, operators) = (entry.callers(), entry.operators());
    println!("\nserving until interrupted; try:");
    println!(
        "  curl -N http://{callers}/v1/completions -H 'goldcrestvale-customer: family' \
         -H 'authorization: Bearer {CREDENTIAL}' \
         -d '{{\"model\":\"draft\",\"prompt\":\"Dear\",\"max_tokens\":20,\"stream\":true}}'"
    );
    println!(
        "  curl http://{callers}/services/booking/status -H 'goldcrestvale-customer: family' \
         -H 'authorization: Bearer {CREDENTIAL}'"
    );
    println!("  curl http://{operators}/dump");
    println!("  curl http://{operators}/metrics");
}
