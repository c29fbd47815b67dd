//! Streamed drafts whose engines die, hang, leave or lose responses.

use std::{
    io,
    time::{Duration, Instant},
};

use goldcrestvale_standin::{
    caller::{Caller, Event, Events},
    fleet::{Builder, Fleet, LAYERS, MODEL, Programs, Standin, TOKEN},
    process::Signal,
    reference,
};
use serde_json::{Value, json};

const PROMPT: &str = "a tribute";
const TOKENS: u32 = 60;

/// Maximum time from the loss of a stage to the next token, or to an error without a replacement.
const RECOVERY_TARGET: Duration = Duration::from_secs(1);

/// Starts an entry instance and engines with the given names and layers.
async fn fleet(engines: &[(&str, u32, u32)]) -> io::Result<Fleet> {
    let programs = Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale"));
    let mut builder = Builder::new(programs).entry("entry-1", "");
    for (name, from, to) in engines {
        builder = builder.engine(name, *from, *to, &["--time-scale=1"]);
    }
    builder.start().await
}

const TWO_PER_STAGE: [(&str, u32, u32); 4] =
    [("a1", 0, 6), ("a2", 0, 6), ("b1", 6, 12), ("b2", 6, 12)];

fn draft_request(count: u32, resume: &[u32]) -> Value {
    json!({
        "model": MODEL, "prompt": PROMPT, "max_tokens": count, "stream": true, "resume": resume,
    })
}

fn expected() -> Vec<u32> {
    let prompt: Vec<u32> = PROMPT.bytes().map(u32::from).collect();
    reference::answer(&prompt, LAYERS, TOKENS as usize)
}

fn token(event: &Event) -> Option<u32> {
    (event.name == "token").then(|| event.data["token"].as_u64().map(|token| token as u32))?
}

async fn start(fleet: &Fleet, resume: &[u32]) -> io::Result<Events> {
    let entry = fleet.entries[0].callers;
    fleet.customer().stream(entry, "/v1/completions", &draft_request(TOKENS, resume)).await
}

/// Reads a number of tokens.
async fn read(events: &mut Events, count: usize) -> io::Result<Vec<u32>> {
    let mut tokens = Vec::new();
    while tokens.len() < count {
        let event = events.next().await?.expect("the stream continues");
        tokens.push(token(&event).unwrap_or_else(|| panic!("{event:?}")));
    }
    Ok(tokens)
}

/// Returns the engine in use for a stage; names of its engines start with the stage.
async fn engine_in_use<'a>(fleet: &'a mut Fleet, stage: &str) -> io::Result<&'a mut Standin> {
    for engine in fleet.engines.iter_mut().filter(|engine| engine.name.starts_with(stage)) {
        if engine.counts().await?["steps"].as_u64() > Some(0) {
            return Ok(engine);
        }
    }
    panic!("no engine of stage {stage} ran a step")
}

/// Reads the rest of a stream, and returns it with the maximum time between two events.
async fn read_rest(mut events: Events) -> io::Result<(Vec<Event>, Duration)> {
    let (mut all, mut max_gap, mut last) = (Vec::new(), Duration::ZERO, Instant::now());
    while let Some(event) = events.next().await? {
        max_gap = max_gap.max(last.elapsed());
        last = Instant::now();
        all.push(event);
    }
    Ok((all, max_gap))
}

/// Returns the number of recoveries in the metrics of the entry instance.
async fn recoveries(fleet: &Fleet) -> io::Result<u64> {
    let answer = Caller::new(&[("authorization", &format!("Bearer {TOKEN}"))])
        .get(fleet.entries[0].operators, "/metrics")
        .await?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();

    let line = text.lines().find(|line| line.starts_with("goldcrestvale_recovery_seconds_count"));
    Ok(line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0))
}

/// A fault of an engine in the middle of a stream.
#[derive(Debug, Clone, Copy)]
enum EngineFault {
    Kill,
    Fault(&'static str, u64),
}

async fn inject(engine: &Standin, engine_fault: EngineFault) -> io::Result<()> {
    match engine_fault {
        EngineFault::Kill => engine.process.signal(Signal::SIGKILL),
        EngineFault::Fault(fault, 0) => engine.fault(&json!({ fault: true })).await,
        EngineFault::Fault(fault, count) => engine.fault(&json!({ fault: count })).await,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_matches_the_reference_after_any_stage_fault() -> io::Result<()> {
    // The fault, and whether it loses the stage.
    let table = [
        (EngineFault::Kill, true),
        (EngineFault::Fault("die_at_step", 2), true),
        (EngineFault::Fault("hang", 0), true),
        (EngineFault::Fault("hang_after", 0), true),
        (EngineFault::Fault("refuse", 0), true),
        (EngineFault::Fault("busy", 0), true),
        // 100 ms per step, below every timeout.
        (EngineFault::Fault("slow", 60), true),
        (EngineFault::Fault("lose_answers", 1), false),
        (EngineFault::Fault("cross", 1), false),
    ];
    for (engine_fault, lost) in table {
        for stage in ["a", "b"] {
            let mut fleet = fleet(&TWO_PER_STAGE).await?;
            let mut events = start(&fleet, &[]).await?;
            let mut tokens = read(&mut events, 5).await?;
            inject(engine_in_use(&mut fleet, stage).await?, engine_fault).await?;
            let injected = Instant::now();
            let (events, max_gap) = read_rest(events).await?;
            tokens.extend(events.iter().filter_map(token));
            assert_eq!(tokens, expected(), "{engine_fault:?} at {stage}");
            // Through the slow stage, the rest would take more than twice this time.
            let (elapsed, log) = (injected.elapsed(), fleet.entries[0].process.lines().join("\n"));
            assert!(
                elapsed < RECOVERY_TARGET * 3,
                "{engine_fault:?} at {stage}: {elapsed:?}\n{log}"
            );
            let end = events.last().expect("a last event");
            assert_eq!((end.name.as_str(), &end.data["count"]), ("end", &json!(TOKENS)));
            let digest = reference_digest(&tokens);
            assert_eq!(end.data["digest"], json!(digest), "{engine_fault:?} at {stage}");
            assert!(max_gap < RECOVERY_TARGET, "{engine_fault:?} at {stage}: {max_gap:?}");
            let recoveries = recoveries(&fleet).await?;
            assert_eq!(recoveries > 0, lost, "{engine_fault:?} at {stage}: {recoveries}");
        }
    }
    Ok(())
}

fn reference_digest(tokens: &[u32]) -> goldcrestvale::base::id::Digest {
    let bytes: Vec<u8> = tokens.iter().flat_map(|token| token.to_le_bytes()).collect();
    goldcrestvale::base::id::Digest::of(&bytes)
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_transfers_its_cache() -> io::Result<()> {
    for stage in ["a", "b"] {
        let mut fleet = fleet(&TWO_PER_STAGE).await?;
        let mut events = start(&fleet, &[]).await?;
        let mut tokens = read(&mut events, 5).await?;
        let leaving = engine_in_use(&mut fleet, stage).await?;
        let (name, control) = (leaving.name.clone(), leaving.control);
        fleet.customer().post(control, "/leave", &Value::Null).await?;
        let (events, max_gap) = read_rest(events).await?;
        tokens.extend(events.iter().filter_map(token));
        assert_eq!(tokens, expected(), "{stage}");
        assert!(max_gap < RECOVERY_TARGET, "{stage}: {max_gap:?}");
        let mut moved = (0, 0);
        for engine in &fleet.engines {
            let counts = engine.counts().await?;
            let exported = counts["exports"].as_u64().unwrap_or(0);
            assert!(exported == 0 || engine.name == name, "{counts}");
            moved.0 += exported;
            moved.1 += counts["imports"].as_u64().unwrap_or(0);
            assert_eq!(counts["violations"], json!([]));
        }
        assert_eq!(moved, (1, 1), "{stage}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stage_without_replacement_fails_promptly() -> io::Result<()> {
    let one_per_stage = [("a1", 0, 6), ("b1", 6, 12)];
    let mut fleet = fleet(&one_per_stage).await?;
    let mut events = start(&fleet, &[]).await?;
    let mut tokens = read(&mut events, 5).await?;
    let killed = Instant::now();
    engine_in_use(&mut fleet, "b").await?.process.signal(Signal::SIGKILL)?;
    let (events, _) = read_rest(events).await?;
    assert!(killed.elapsed() < RECOVERY_TARGET, "{:?}", killed.elapsed());
    tokens.extend(events.iter().filter_map(token));
    let error = events.last().expect("a last event");
    assert_eq!((error.name.as_str(), &error.data["cause"]), ("error", &json!("no-upstream")));
    assert_eq!(error.data["verdict"], "may-have-run");
    assert!(error.data["retry_after_ms"].as_u64() > Some(0), "{error:?}");
    assert!(tokens.len() < TOKENS as usize && expected().starts_with(&tokens));

    let plain = json!({ "model": MODEL, "prompt": PROMPT, "max_tokens": 4 });
    let entry = fleet.entries[0].callers;
    let answer = fleet.customer().post(entry, "/v1/completions", &plain).await?;
    assert_eq!(answer.status.as_u16(), 503, "{}", answer.json());
    assert!(answer.json().get("tokens").is_none(), "{}", answer.json());

    // A new engine joins, and the caller resumes with the tokens that it has received.
    let program = Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")).standin;
    let arguments = ["--from=6".to_owned(), "--to=12".to_owned()];
    let joined = Standin::start(&program, "engine", "b2", &arguments).await?;
    fleet.upsert_instance(&joined, "engine", "drafting", "live").await?;
    let has_report = |dump: &Value| !dump["upstreams"]["rows"]["b2"]["report"].is_null();
    fleet.wait_dump(0, has_report).await?;
    let events = start(&fleet, &tokens).await?;
    let (events, _) = read_rest(events).await?;
    tokens.extend(events.iter().filter_map(token));
    assert_eq!(tokens, expected());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_cancels_every_stage() -> io::Result<()> {
    let fleet = fleet(&TWO_PER_STAGE).await?;
    let mut events = start(&fleet, &[]).await?;
    read(&mut events, 3).await?;
    drop(events);
    for engine in &fleet.engines {
        while engine.counts().await?["caches"].as_u64() != Some(0) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    fleet.wait_dump(0, |dump| dump["instance"]["requests_in_progress"] == 0).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn ejected_engine_is_used_without_an_alternative() -> io::Result<()> {
    let fleet = fleet(&[("a1", 0, 6), ("b1", 6, 12)]).await?;
    let entry = fleet.entries[0].callers;
    let plain = json!({ "model": MODEL, "prompt": PROMPT, "max_tokens": 4 });
    fleet.engines[1].fault(&json!({ "refuse": true })).await?;
    while fleet.dump(0).await?["health"]["unusable"] != json!(["b1"]) {
        let answer = fleet.customer().post(entry, "/v1/completions", &plain).await?;
        assert_eq!(answer.status.as_u16(), 503, "{}", answer.json());
    }
    fleet.engines[1].fault(&json!({})).await?;
    // The listener is bound again shortly after; the ejection lasts 5 s.
    let cleared = Instant::now();
    loop {
        let answer = fleet.customer().post(entry, "/v1/completions", &plain).await?;
        if answer.status.as_u16() == 200 {
            return Ok(());
        }
        assert!(cleared.elapsed() < RECOVERY_TARGET, "{}", answer.json());
    }
}
