//! Every caller gets the complete answer to its own prompt, over reused connections.

use std::io;

use goldcrestvale_standin::{
    fleet::{Builder, Fleet, LAYERS, MODEL, Programs},
    reference,
};
use serde_json::{Value, json};

const DRAFTS: usize = 24;
const TOKENS: u32 = 12;

async fn fleet() -> io::Result<Fleet> {
    Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
        .engine("a1", 0, 6, &[])
        .engine("a2", 0, 6, &[])
        .engine("b1", 6, 12, &[])
        .engine("b2", 6, 12, &[])
        .entry("entry-1", "")
        .start()
        .await
}

/// Sends many drafts concurrently and checks each against the reference.
async fn check(fleet: &Fleet, name: &str) -> io::Result<()> {
    let drafts = (0..DRAFTS).map(|index| {
        let prompt = format!("{name} notice {index}");
        let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": TOKENS });
        let (customer, entry) = (fleet.customer(), fleet.entries[0].callers);
        tokio::spawn(async move {
            let answer = customer.post(entry, "/v1/completions", &body).await?;
            io::Result::Ok((prompt, answer))
        })
    });
    for draft in drafts.collect::<Vec<_>>() {
        let (prompt, answer) = draft.await??;
        let tokens: Vec<u32> = prompt.bytes().map(u32::from).collect();
        let expected = reference::answer(&tokens, LAYERS, TOKENS as usize);
        let body: Value = answer.json();
        assert_eq!(answer.status.as_u16(), 200, "{name}, {prompt}: {body}");
        assert_eq!(body["tokens"], json!(expected), "{name}, {prompt}");
        assert_eq!(body["count"], TOKENS, "{name}, {prompt}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_complete_under_engine_faults() -> io::Result<()> {
    let table = [
        ("no fault", json!({})),
        ("crossed", json!({ "cross": 30 })),
        ("lost", json!({ "lose_answers": 3 })),
        ("cut", json!({ "cut": 3, "cut_bytes": 20 })),
        ("late", json!({ "late_ms": 40 })),
        ("late and crossed", json!({ "late_ms": 10, "cross": 20 })),
    ];
    for (name, faults) in table {
        let fleet = fleet().await?;
        for engine in fleet.engines.iter().filter(|engine| engine.name.ends_with('1')) {
            engine.fault(&faults).await?;
        }
        check(&fleet, name).await?;
        // The connections are reused after the faults are cleared.
        for engine in &fleet.engines {
            engine.fault(&json!({})).await?;
        }
        check(&fleet, name).await?;
        for engine in &fleet.engines {
            assert_eq!(engine.counts().await?["violations"], json!([]), "{name}");
        }
    }
    Ok(())
}
