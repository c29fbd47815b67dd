//! Drafts whose prompt ends every engine that runs it.

use std::io;

use goldcrestvale_standin::fleet::{Builder, Fleet, MODEL, Programs};
use http::StatusCode;
use serde_json::{Value, json};

/// Number of engines, each of which holds all layers.
const ENGINES: usize = 8;

/// Beginning that all prompts share, of a length that differs from any block of tokens.
const SHARED: &str = "Write the notice in the manner of our house, plain and short, without praise, \
    and name the family last. Keep to the facts that follow and add none of your own. ";

/// Part of the harmful prompts.
const HARMFUL: &str = "The name of the deceased is given in a script that the tokenizer does not \
    know, and the place of the service is written in the same script, after the name. ";

async fn fleet() -> io::Result<Fleet> {
    let programs = Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale"));
    let mut builder = Builder::new(programs).entry("entry-1", "");
    for number in 0..ENGINES {
        builder = builder.engine(&format!("engine-{number}"), 0, 12, &["--time-scale=1"]);
    }
    builder.start().await
}

fn draft(prompt: &str) -> Value {
    json!({ "model": MODEL, "prompt": prompt, "max_tokens": 8 })
}

async fn send(fleet: &Fleet, prompt: &str) -> io::Result<(StatusCode, Value)> {
    let entry = fleet.entries[0].callers;
    let answer = fleet.customer().post(entry, "/v1/completions", &draft(prompt)).await?;
    Ok((answer.status, answer.json()))
}

async fn running_engines(fleet: &Fleet) -> usize {
    let mut running = 0;
    for engine in &fleet.engines {
        running += usize::from(engine.counts().await.is_ok());
    }
    running
}

#[tokio::test]
async fn crashing_prompt_ends_all_engines() -> io::Result<()> {
    let fleet = fleet().await?;
    assert_eq!(send(&fleet, &format!("{SHARED}For Almaz.")).await?.0, StatusCode::OK);
    let sequence: Vec<u32> = HARMFUL.bytes().map(u32::from).collect();
    for engine in &fleet.engines {
        engine.fault(&json!({ "die_on": sequence })).await?;
    }
    for number in 0..6 {
        let (status, _) = send(&fleet, &format!("{SHARED}{HARMFUL}Number {number}.")).await?;
        assert_ne!(status, StatusCode::OK);
    }
    let running = running_engines(&fleet).await;
    assert!(running >= ENGINES - 3, "{running} of {ENGINES} engines run");
    let (status, body) = send(&fleet, &format!("{SHARED}{HARMFUL}Number 9.")).await?;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(body["cause"], "quarantined");
    assert_eq!(running_engines(&fleet).await, running);
    assert_eq!(send(&fleet, &format!("{SHARED}For Bekele.")).await?.0, StatusCode::OK);
    Ok(())
}
