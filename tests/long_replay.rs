//! Drafts with long prompts, after the loss of one of two engines that hold the same layers.

use std::io;

use goldcrestvale_standin::{
    fleet::{Builder, LAYERS, MODEL, Programs},
    process::Signal,
    reference,
};
use serde_json::json;
use tokio::sync::mpsc;

const DRAFTS: usize = 8;
const PROMPT_TOKENS: usize = 1_000;
const ANSWER_TOKENS: usize = 30;
const TOKENS_BEFORE: usize = 5;

/// The engine that is left reads all prompts again, one batch after the other: it is slow for a
/// moment, not lost, and there is no other.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_of_replays_is_waited_for() -> io::Result<()> {
    let scale = "--time-scale=4";
    let half = LAYERS / 2;
    let fleet = Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
        .engine("first-1", 0, half, &[scale])
        .engine("second-1", half, LAYERS, &[scale])
        .engine("second-2", half, LAYERS, &[scale])
        .entry("entry-1", "")
        .start()
        .await?;
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
    fleet.engines[1].process.signal(Signal::SIGKILL)?;
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
