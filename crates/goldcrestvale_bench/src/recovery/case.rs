//! One fault at one engine while drafts are in progress.

use std::{
    io,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

use goldcrestvale_base::id::Request;
use goldcrestvale_standin::{
    caller::Caller,
    engine::Counts,
    fleet::{Builder, Fleet, LAYERS, Programs, Standin},
    process::Signal,
};
use tokio::sync::watch;

use super::{Draft, Row, Settings};

/// Number of tokens that every draft has before the fault.
const TOKENS_BEFORE_FAULT: u32 = 30;

/// The fault of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// No fault.
    None,
    /// The process is killed: its connections break and new ones are refused.
    Kill,
    /// The process is stopped: it keeps its connections and does not respond.
    Stop,
    /// The engine starts to leave; it finishes the work in progress.
    Leave,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 4] = [Self::None, Self::Kill, Self::Stop, Self::Leave];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Kill => "killed",
            Self::Stop => "stopped",
            Self::Leave => "leaving",
        }
    }

    async fn inject(self, engine: &Standin) -> io::Result<()> {
        match self {
            Self::None => Ok(()),
            Self::Kill => engine.process.signal(Signal::SIGKILL),
            Self::Stop => engine.process.signal(Signal::SIGSTOP),
            Self::Leave => {
                let caller = Caller::default();
                caller.post(engine.control, "/leave", &serde_json::Value::Null).await.map(drop)
            }
        }
    }
}

/// Runs one case in its own fleet.
pub(super) async fn run(settings: &Settings, fault: Fault, prompt: usize) -> io::Result<Row> {
    let fleet = start(settings).await?;
    let ready = Arc::new(AtomicUsize::new(0));
    let (all_ready, mut wait) = watch::channel(false);
    let mut tasks = Vec::new();
    for number in 0..settings.drafts {
        let (ready, all_ready) = (ready.clone(), all_ready.clone());
        let drafts = settings.drafts;
        let on_token = move |tokens: u32| {
            if tokens == TOKENS_BEFORE_FAULT && ready.fetch_add(1, Ordering::Relaxed) + 1 == drafts
            {
                all_ready.send_replace(true);
            }
        };
        let caller = fleet.customer();
        let entry = fleet.entries[0].callers;
        let draft = Draft::run(caller, entry, number, prompt, settings.tokens, on_token);
        tasks.push(tokio::spawn(draft));
    }
    drop(all_ready);
    // The sender is dropped without a value if drafts fail before the fault.
    let _ = wait.wait_for(|ready| *ready).await;
    let (victim, served) = select_victim(&fleet).await?;
    let fault_time = Instant::now();
    fault.inject(victim).await?;
    let mut drafts = Vec::new();
    for task in tasks {
        drafts.push(task.await.map_err(io::Error::other)??);
    }
    if fault == Fault::Stop {
        victim.process.signal(Signal::SIGCONT)?;
    }
    Ok(Row::new(&drafts, &served, fault_time))
}

async fn start(settings: &Settings) -> io::Result<Fleet> {
    let own = std::env::current_exe()?;
    let router = settings
        .router
        .clone()
        .unwrap_or_else(|| PathBuf::from(&own).with_file_name("goldcrestvale"));
    let scale = format!("--time-scale={}", settings.time_scale);
    let half = LAYERS / 2;
    let mut builder = Builder::new(Programs::beside(&router.display().to_string()));
    for name in ["first-1", "first-2"] {
        builder = builder.engine(name, 0, half, &[&scale]);
    }
    for name in ["second-1", "second-2"] {
        builder = builder.engine(name, half, LAYERS, &[&scale]);
    }
    builder.entry("entry-1", "").start().await
}

/// Returns the engine of the second stage that ran the most steps, and the requests that it served.
async fn select_victim(fleet: &Fleet) -> io::Result<(&Standin, Vec<Request>)> {
    let mut busiest: Option<(u64, &Standin, Vec<Request>)> = None;
    for engine in fleet.engines.iter().filter(|engine| engine.name.starts_with("second")) {
        let counts: Counts = serde_json::from_value(engine.counts().await?)?;
        let mut served: Vec<Request> = counts.runs.iter().map(|run| run.request).collect();
        served.dedup();
        if busiest.as_ref().is_none_or(|(steps, ..)| counts.steps > *steps) {
            busiest = Some((counts.steps, engine, served));
        }
    }
    let (_, engine, served) = busiest.ok_or_else(|| io::Error::other("no engine"))?;
    Ok((engine, served))
}
