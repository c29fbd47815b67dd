//! Replay of drafts with long prompts after the loss of one of two engines that hold the same
//! layers.

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

/// Starts a deployment with the named engines for the first half of the layers and two engines for
/// the second half.
async fn fleet(first_engines: &[&str]) -> io::Result<Fleet> {
    let scale = "--time-scale=4";
    let half = LAYERS / 2;
    let builder = Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")));
    let builder = first_engines.iter().fold(builder, |b, name| b.engine(name, 0, half, &[scale]));
    builder
        .engine("second-1", half, LAYERS, &[scale])
        .engine("second-2", half, LAYERS, &[scale])
        .entry("entry-1", "")
        .start()
        .await
}

/// The remaining engine replays all prompts, batch by batch. It is slow for a while, but must not
/// count as lost: there is no alternative.
#[tokio::test(flavor = "multi_thread")]
async fn burst_of_replays_does_not_time_out() -> io::Result<()> {
    let fleet = fleet(&["first-1"]).await?;
    check_replay_after_kill(&fleet, |_| 1).await
}

/// The remaining engine was late at the start, and is used again because there is no alternative.
#[tokio::test(flavor = "multi_thread")]
async fn late_engine_is_used_without_an_alternative() -> io::Result<()> {
    let fleet = fleet(&["first-1", "first-2"]).await?;
    check_replay_after_kill(&fleet, |steps| if steps[2] > steps[3] { 2 } else { 3 }).await
}

/// Kills one engine, selected by the steps that each ran, while drafts run, and checks the answers.
async fn check_replay_after_kill(
    fleet: &Fleet,
    victim: impl Fn(&[u64]) -> usize,
) -> io::Result<()> {
    let (reached, mut ready) = mpsc::channel(DRAFTS);
    let mut drafts = Vec::new();
    for number in 0..DRAFTS {
        let (caller, reached) = (fleet.customer(), reached.clone());
        let entry = fleet.entries[0].callers;
        drafts.push(tokio::spawn(async move {
            let prompt: String = format!("{number} {}", "x".repeat(PROMPT_TOKENS));
            let body = json!({
                "model": MODEL, "prompt": prompt, "max_tokens": ANSWER_TOKENS, "stream": true,
            });
            let mut events = caller.stream(entry, "/v1/completions", &body).await?;
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
        // The channel closes early if a draft fails before it has these tokens.
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
