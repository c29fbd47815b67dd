//! The processes of the measurement.

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use bytes::Bytes;
use goldcrestvale_base::engine::Layers;
use goldcrestvale_standin::{
    fleet::{Builder, Fleet, LAYERS, MODEL, Programs, SERVICE},
    process::Process,
};
use http::Method;

use super::{Cell, Kind, Route};
use crate::{
    cpu,
    load::{Call, Chain, Limits, RequestTemplate, Worker, drive},
};

/// Number of tokens of a draft.
const DRAFT_TOKENS: u32 = 32;
/// Prompt of a draft.
const PROMPT: &str = "a short notice for the weekend paper";
/// Duration of the measurement of an idle entry instance.
const IDLE_DURATION: Duration = Duration::from_secs(3);

/// The processes of the measurement.
pub(super) struct Testbed {
    fleet: Fleet,
    proxy: Process,
    proxy_address: SocketAddr,
}

impl Testbed {
    /// Starts the processes.
    pub(super) async fn start(router: Option<&Path>) -> io::Result<Self> {
        let own = std::env::current_exe()?;
        let router = router.map_or_else(|| own.with_file_name("goldcrestvale"), PathBuf::from);
        let programs = Programs::beside(&router.display().to_string());
        let engine = ["--record-runs=false"];
        let fleet = Builder::new(programs)
            .engine("engine-1", 0, LAYERS / 2, &engine)
            .engine("engine-2", LAYERS / 2, LAYERS, &engine)
            .service("booking-1")
            .entry("entry-1", "")
            .start()
            .await?;
        let target = format!("--target={}", fleet.services[0].address);
        let mut proxy = Process::spawn(&own, &["proxy".to_owned(), target])?;
        let line = proxy.wait_line("listening on ").await?;
        let address = line.rsplit(' ').next().and_then(|word| word.parse().ok());
        let proxy_address =
            address.ok_or_else(|| io::Error::other("the proxy printed no address"))?;
        Ok(Self { fleet, proxy, proxy_address })
    }

    /// Returns the processor time per second of the entry instance without callers.
    pub(super) async fn idle(&self) -> io::Result<Duration> {
        let process = self.fleet.entries[0].process.id();
        let before = cpu::used(process)?;
        tokio::time::sleep(IDLE_DURATION).await;
        Ok((cpu::used(process)? - before).div_f64(IDLE_DURATION.as_secs_f64()))
    }

    /// Runs one cell; returns `None` if the kind has no such route.
    pub(super) async fn run(
        &mut self,
        kind: Kind,
        route: Route,
        callers: usize,
        limits: Limits,
    ) -> io::Result<Option<Cell>> {
        let address = match (kind, route) {
            (Kind::Draft, Route::Proxy) => return Ok(None),
            (Kind::Draft, Route::Direct) => {
                let mut workers = Vec::new();
                for _ in 0..callers {
                    workers.push(self.chain().await?);
                }
                return self.measure((kind, route, callers), workers, limits).await;
            }
            (_, Route::Direct) => self.fleet.services[0].address,
            (_, Route::Proxy) => self.proxy_address,
            (_, Route::Entry) => self.fleet.entries[0].callers,
        };
        let mut workers = Vec::new();
        for _ in 0..callers {
            let call = Call::open(address, template(kind)).await;
            workers.push(call.map_err(io::Error::other)?);
        }
        self.measure((kind, route, callers), workers, limits).await
    }

    async fn measure<W: Worker + Send + 'static>(
        &self,
        (kind, route, callers): (Kind, Route, usize),
        workers: Vec<W>,
        limits: Limits,
    ) -> io::Result<Option<Cell>> {
        let process = match route {
            Route::Direct => None,
            Route::Proxy => Some(self.proxy.id()),
            Route::Entry => Some(self.fleet.entries[0].process.id()),
        };
        let before = process.map(cpu::used).transpose()?;
        let stats = drive(workers, limits).await;
        let after = process.map(cpu::used).transpose()?;
        let used = after.zip(before).map(|(after, before)| after - before);
        Ok(Some(Cell::new((kind, route, callers), &stats, used)))
    }

    async fn chain(&self) -> io::Result<Chain> {
        let half = LAYERS / 2;
        let layers = [Layers { from: 0, to: half }, Layers { from: half, to: LAYERS }];
        let engines = self.fleet.engines.iter().zip(layers);
        let engines: Vec<_> = engines.map(|(engine, layers)| (engine.address, layers)).collect();
        let prompt: Vec<u32> = PROMPT.bytes().map(u32::from).collect();
        let model = MODEL.parse().map_err(io::Error::other)?;
        let chain = Chain::open(&engines, model, &prompt, DRAFT_TOKENS as usize).await;
        chain.map_err(io::Error::other)
    }
}

/// Returns the request template of a kind; a service that is called directly accepts the same path.
fn template(kind: Kind) -> RequestTemplate {
    let service = format!("/services/{SERVICE}/notices");
    match kind {
        Kind::Call => {
            RequestTemplate { method: Method::GET, path: service, body: Bytes::new(), keyed: false }
        }
        Kind::Keyed => {
            let body = Bytes::from_static(b"{\"page\":3}");
            RequestTemplate { method: Method::POST, path: service, body, keyed: true }
        }
        Kind::Draft => {
            let body = serde_json::json!({
                "model": MODEL, "prompt": PROMPT, "max_tokens": DRAFT_TOKENS, "stream": false,
            });
            let path = "/v1/completions".to_owned();
            RequestTemplate {
                method: Method::POST,
                path,
                body: body.to_string().into(),
                keyed: false,
            }
        }
    }
}
