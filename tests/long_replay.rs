//! Drafts with long prompts, after the loss of one of two engines that hold the same layers.

use std::io;

use goldcrestvale_standin::{
    fleet::{Builder, Fleet, LAYERS, MODEL, Programs},
    process::Signal,
    reference,
};
use serde_json::json;
use tokio::sync::mpsc;

const DRAFTS: usize = 8;
const PROMPT_TOKENS: usize = 1_000;
const ANSWER_TOKENS: usize = 120;
const TOKENS_BEFORE: usize = 30;

/// Starts a deployment with one or two engines for the first half of the layers, two for the
/// second.
async fn fleet(firsts: &[&str]) -> io::Result<Fleet> {
    let scale = "--time-scale=4";
    let half = LAYERS / 2;
    let builder = Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")));
    let builder = firsts.iter().fold(builder, |b, name| b.engine(name, 0, half, &[scale]));
    builder
        .engine("second-1", half, LAYERS, &[scale])
        .engine("second-2", half, LAYERS, &[scale])
        .entry("entry-1", "")
        .start()
        .await
}

/// The engine that is left reads all prompts again, one batch after the other: it is slow for a
/// moment, not lost, and there is no other.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_of_replays_is_waited_for() -> io::Result<()> {
    let fleet = fleet(&["first-1"]).await?;
    survive(&fleet, |_| 1).await
}

/// The engine that is left was late at the start, and is used again for want of another.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_was_late_is_used_again() -> io::Result<()> {
    let fleet = fleet(&["first-1", "first-2"]).await?;
    survive(&fleet, |steps| if steps[2] > steps[3] { 2 } else { 3 }).await
}

/// Kills one engine, chosen by the steps that each ran, while drafts run.
async fn survive(fleet: &Fleet, victim: impl Fn(&[u64]) -> usize) -> io::Result<()> {
    let (reached, mut ready) = mpsc::channel(DRAFTS);
    let mut drafts = Vec::new();
    for number in 0..DRAFTS {
        let (caller, reached) = (fleet.customer(), reached.clone());
        let entry = fleet.entries[0].callers;
        drafts.push(tokio::spawn(async move {
            let prompt: String = format!("{number} {}", "x".repeat(PROMPT_TOKENS));
            let ask = json!({
                "model": MODEL, "prompt": prompt, "max_tokens": ANSWER_TOKENS, "stream": true,
            });
            let mut events = caller.stream(entry, "/v1/completions", &ask).await?;
            let mut all = Vec::new();
            while let Some(event) = events.next().await? {
                all.push(event);
                if all.len() == TOKENS_BEFORE {
                    let _ = reached.send(()).await;
                }
            }
            io::Result::Ok((prompt, all))
        }));
    }
    drop(reached);
    for _ in 0..DRAFTS {
        // The channel ends early if a draft fails before it has these tokens.
        ready.recv().await;
    }
    let mut steps = Vec::new();
    for engine in &fleet.engines {
        steps.push(engine.counts().await?["steps"].as_u64().unwrap_or(0));
    }
    fleet.engines[victim(&steps)].process.signal(Signal::SIGKILL)?;
    for draft in drafts {
        let (prompt, events) = draft.await??;
        let last = events.last().expect("a last event");
        assert_eq!(last.name, "end", "{}", last.data);
        let prompt: Vec<u32> = prompt.bytes().map(u32::from).collect();
        let expected = reference::answer(&prompt, LAYERS, ANSWER_TOKENS);
        let tokens = events.iter().filter_map(|event| event.data["token"].as_u64());
        assert!(tokens.eq(expected.into_iter().map(u64::from)));
    }
    Ok(())
}
