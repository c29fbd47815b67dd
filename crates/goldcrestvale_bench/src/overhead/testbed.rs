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

use super::{Cell, Kind, Way};
use crate::{
    cpu,
    load::{Amount, Call, Chain, Form, Worker, drive},
};

/// Number of tokens of a draft.
const DRAFT_TOKENS: u32 = 32;
/// Prompt of a draft.
const PROMPT: &str = "a short notice for the weekend paper";
/// Length of the measurement of an idle entry instance.
const IDLE: Duration = Duration::from_secs(3);

/// The processes of the measurement.
pub(super) struct Ground {
    fleet: Fleet,
    proxy: Process,
    proxy_address: SocketAddr,
}

impl Ground {
    /// Starts them.
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
        let proxy_address = address.ok_or_else(|| io::Error::other("the proxy has no address"))?;
        Ok(Self { fleet, proxy, proxy_address })
    }

    /// Returns the processor time a second of the entry instance while no caller is there.
    pub(super) async fn idle(&self) -> io::Result<Duration> {
        let process = self.fleet.entries[0].process.id();
        let before = cpu::used(process)?;
        tokio::time::sleep(IDLE).await;
        Ok((cpu::used(process)? - before).div_f64(IDLE.as_secs_f64()))
    }

    /// Runs one cell, or returns `None` where a kind has no such way.
    pub(super) async fn run(
        &mut self,
        kind: Kind,
        way: Way,
        callers: usize,
        amount: Amount,
    ) -> io::Result<Option<Cell>> {
        let address = match (kind, way) {
            (Kind::Draft, Way::Proxy) => return Ok(None),
            (Kind::Draft, Way::Direct) => {
                let mut workers = Vec::new();
                for _ in 0..callers {
                    workers.push(self.chain().await?);
                }
                return self.measure((kind, way, callers), workers, amount).await;
            }
            (_, Way::Direct) => self.fleet.services[0].address,
            (_, Way::Proxy) => self.proxy_address,
            (_, Way::Entry) => self.fleet.entries[0].callers,
        };
        let mut workers = Vec::new();
        for _ in 0..callers {
            let call = Call::open(address, form(kind)).await;
            workers.push(call.map_err(io::Error::other)?);
        }
        self.measure((kind, way, callers), workers, amount).await
    }

    async fn measure<W: Worker + Send + 'static>(
        &self,
        (kind, way, callers): (Kind, Way, usize),
        workers: Vec<W>,
        amount: Amount,
    ) -> io::Result<Option<Cell>> {
        let process = match way {
            Way::Direct => None,
            Way::Proxy => Some(self.proxy.id()),
            Way::Entry => Some(self.fleet.entries[0].process.id()),
        };
        let before = process.map(cpu::used).transpose()?;
        let seen = drive(workers, amount).await;
        let after = process.map(cpu::used).transpose()?;
        let used = after.zip(before).map(|(after, before)| after - before);
        Ok(Some(Cell::new((kind, way, callers), &seen, used)))
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

/// Returns the form of a kind; a service that is asked directly takes the path as it is.
fn form(kind: Kind) -> Form {
    let service = format!("/services/{SERVICE}/notices");
    match kind {
        Kind::Call => Form { method: Method::GET, path: service, body: Bytes::new(), keyed: false },
        Kind::Keyed => {
            let body = Bytes::from_static(b"{\"page\":3}");
            Form { method: Method::POST, path: service, body, keyed: true }
        }
        Kind::Draft => {
            let body = serde_json::json!({
                "model": MODEL, "prompt": PROMPT, "max_tokens": DRAFT_TOKENS, "stream": false,
            });
            let path = "/v1/completions".to_owned();
            Form { method: Method::POST, path, body: body.to_string().into(), keyed: false }
        }
    }
}
