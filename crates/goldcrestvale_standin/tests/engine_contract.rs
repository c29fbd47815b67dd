//! Contract of an engine: steps, KV cache, load, events, orders and their faults.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::{Offset, Request};
use goldcrestvale_standin::{
    audit,
    client::{self, Answer},
    engine::{Counts, Engine, Faults, Settings, weights::Store},
    reference,
    server::Handle,
};
use goldcrestvale_upstream::{
    message::{
        Accelerator, CacheChange, CacheEvents, Cancel, Desired, Held, Kv, Layers, Load, Order,
        Orders, Refusal, RefusalBody, Step, StepAnswer, StepInput, StepName, StepOutput,
    },
    prefix,
};
use http::{Method, StatusCode};

const DEPTH: u32 = 12;

fn request(number: u128) -> Request {
    Request(uuid::Uuid::from_u128(number))
}

fn step(position: u32, stage: u32, layers: (u32, u32), input: StepInput) -> Step {
    Step {
        name: StepName { request: request(1), attempt: 1, position, stage },
        model: "draft".parse().expect("a fixed name is valid"),
        layers: Layers { from: layers.0, to: layers.1 },
        priority: 0,
        input,
    }
}

fn prompt(length: u32) -> Vec<u32> {
    (0..length).map(|index| 97 + index % 26).collect()
}

fn full_step(position: u32, tokens: Vec<u32>) -> Step {
    step(position, 0, (0, DEPTH), StepInput::Tokens(tokens))
}

async fn start(settings: Settings) -> Handle<Engine> {
    Engine::start(settings).await.expect("a free port")
}

async fn run(engine: &Handle<Engine>, step: &Step) -> StepOutput {
    let answer = post(engine, "/v1/steps", step).await.expect("an answer");
    let answer: StepAnswer = answer.json().expect("an answer to a step");
    assert_eq!(answer.name, step.name);
    answer.output
}

async fn post(
    engine: &Handle<Engine>,
    path: &str,
    body: &impl serde::Serialize,
) -> client::Result<Answer> {
    client::post(engine.address(), path, body).await
}

async fn get<T: serde::de::DeserializeOwned>(engine: &Handle<Engine>, path: &str) -> T {
    let answer = client::get(engine.address(), path).await.expect("an answer");
    answer.json().expect("the expected type")
}

/// Generates tokens for one request over a chain of engines, each with its layers.
async fn draft(chain: &[(&Handle<Engine>, (u32, u32))], attempt: u32, count: usize) -> Vec<u32> {
    let mut tokens = prompt(5);
    let (mut position, mut answer) = (0, Vec::new());
    while answer.len() < count {
        let positions = u32::try_from(tokens.len()).expect("a short prompt");
        let mut input = StepInput::Tokens(tokens);
        let mut next = None;
        for ((engine, layers), stage) in chain.iter().zip(0..) {
            let mut step = step(position, stage, *layers, input);
            step.name.attempt = attempt;
            input = match run(engine, &step).await {
                StepOutput::Activations(activations) => StepInput::Activations(activations),
                StepOutput::Token(token) => {
                    next = Some(token);
                    break;
                }
            };
        }
        let token = next.expect("the last stage returns a token");
        answer.push(token);
        position += positions;
        tokens = vec![token];
    }
    answer
}

#[tokio::test]
async fn chains_with_any_split_give_the_reference_answer() {
    let splits: [&[u32]; 4] = [&[0, 12], &[0, 1, 12], &[0, 5, 7, 12], &[0, 4, 8, 11, 12]];
    for split in splits {
        let mut engines = Vec::new();
        for bounds in split.windows(2) {
            let settings = Settings::default().with_from(bounds[0]).with_to(bounds[1]);
            engines.push((start(settings).await, (bounds[0], bounds[1])));
        }
        let chain: Vec<_> = engines.iter().map(|(engine, layers)| (engine, *layers)).collect();
        let answer = draft(&chain, 1, 8).await;
        assert_eq!(answer, reference::answer(&prompt(5), DEPTH, 8), "{split:?}");
        let runs = engines.iter().flat_map(|(engine, _)| engine.counts().runs);
        assert_eq!(audit::check(runs, DEPTH, &[(request(1), 12)]), Vec::<String>::new());
    }
}

/// Each case sends a step after a first one with 5 positions and names the expected refusal, if
/// any.
#[tokio::test]
async fn steps_that_do_not_continue_are_refused() {
    let tokens = |position| full_step(position, vec![97]);
    let changed = |change: fn(&mut Step)| {
        let mut step = full_step(5, vec![97]);
        change(&mut step);
        step
    };
    let cases = [
        ("next", tokens(5), None),
        ("first again", full_step(0, prompt(5)), None),
        ("skips", tokens(6), Some((StatusCode::CONFLICT, Refusal::Gap))),
        ("repeats", tokens(4), Some((StatusCode::CONFLICT, Refusal::Gap))),
        ("other stage", changed(|step| step.name.stage = 1), None),
        (
            "new attempt",
            changed(|step| step.name.attempt = 2),
            Some((StatusCode::CONFLICT, Refusal::Gap)),
        ),
        (
            "model",
            changed(|step| step.model = "x".parse().unwrap()),
            Some((StatusCode::CONFLICT, Refusal::NotHeld)),
        ),
        (
            "layers",
            changed(|step| step.layers.to = 13),
            Some((StatusCode::CONFLICT, Refusal::NotHeld)),
        ),
        ("empty", full_step(5, vec![]), Some((StatusCode::BAD_REQUEST, Refusal::Malformed))),
        (
            "activations into layer 0",
            step(5, 0, (0, DEPTH), StepInput::Activations(vec![1])),
            Some((StatusCode::BAD_REQUEST, Refusal::Malformed)),
        ),
    ];
    for time_scale in [0.0, 0.001] {
        for (name, step, refused) in &cases {
            let engine = start(Settings::default().with_time_scale(time_scale)).await;
            run(&engine, &full_step(0, prompt(5))).await;
            let answer = post(&engine, "/v1/steps", step).await.unwrap();
            let refusal =
                answer.json::<RefusalBody>().ok().map(|body| (answer.status, body.refusal));
            assert_eq!(refusal, *refused, "{name}");
            let ran = 5 * u64::from(DEPTH)
                + if refused.is_none() && *name != "first again" { 12 } else { 0 };
            let counts = engine.counts();
            assert_eq!((counts.layer_runs, counts.violations.len()), (ran, 0), "{name}");
        }
    }
}

/// Each case sets a fault and names the expected status, if any, and the number of steps that run.
#[tokio::test]
async fn step_faults() {
    let none = Faults::default;
    let cases = [
        ("none", none(), Some(StatusCode::OK), 1),
        ("refuse", Faults { refuse: true, ..none() }, None, 0),
        ("die", Faults { die: true, ..none() }, None, 0),
        ("die at step", Faults { die_at_step: 1, ..none() }, None, 0),
        ("busy", Faults { busy: true, ..none() }, Some(StatusCode::SERVICE_UNAVAILABLE), 0),
        ("late", Faults { late_ms: 1, ..none() }, Some(StatusCode::OK), 1),
        ("slow", Faults { slow: 3.0, ..none() }, Some(StatusCode::OK), 1),
        ("lost answer", Faults { lose_answers: 1, ..none() }, None, 1),
        ("cut", Faults { cut: 1, cut_bytes: 9, ..none() }, None, 1),
    ];
    for (name, faults, expected, steps) in cases {
        let mut engine = start(Settings::default().with_time_scale(0.001)).await;
        engine.faults().set(faults.clone());
        if faults.die {
            engine.wait().await;
        }
        let answer = post(&engine, "/v1/steps", &full_step(0, prompt(5))).await;
        assert_eq!(answer.ok().map(|answer| answer.status), expected, "{name}");
        assert_eq!(engine.counts().steps, steps, "{name}");
    }
}

#[tokio::test]
async fn a_retry_after_a_lost_answer_does_not_run_again() {
    let engine = start(Settings::default()).await;
    engine.change_faults(|faults| faults.lose_answers = 1);
    assert!(post(&engine, "/v1/steps", &full_step(0, prompt(5))).await.is_err());
    let output = run(&engine, &full_step(0, prompt(5))).await;
    assert_eq!(output, StepOutput::Token(reference::answer(&prompt(5), DEPTH, 1)[0]));
    assert_eq!((engine.counts().steps, engine.counts().repeats), (1, 1));
}

#[tokio::test]
async fn a_crossed_answer_carries_the_name_of_another_step() {
    let engine = start(Settings::default()).await;
    engine.change_faults(|faults| faults.cross = 1);
    let answer = post(&engine, "/v1/steps", &full_step(0, prompt(5))).await.unwrap();
    assert_eq!(answer.json::<StepAnswer>().unwrap().name.position, 1);
}

#[tokio::test]
async fn a_hang_happens_before_or_after_the_effect() {
    for (name, faults, steps) in [
        ("before", Faults { hang: true, ..Faults::default() }, 0),
        ("after", Faults { hang_after: true, ..Faults::default() }, 1),
    ] {
        let engine = start(Settings::default()).await;
        engine.faults().set(faults);
        let ran = async {
            while engine.counts().steps < steps {
                tokio::task::yield_now().await;
            }
        };
        let first = full_step(0, prompt(5));
        tokio::select! {
            answer = post(&engine, "/v1/steps", &first) => panic!("{name}: {answer:?}"),
            () = async { tokio::time::sleep(Duration::from_millis(5)).await; ran.await } => {}
        }
        assert_eq!(engine.counts().steps, steps, "{name}");
    }
}

#[tokio::test]
async fn a_cancel_drops_one_attempt_or_all_attempts() {
    for (attempt, dropped) in [(Some(1), 1), (Some(3), 0), (None, 2)] {
        let engine = start(Settings::default()).await;
        for attempt in [1, 2] {
            draft(&[(&engine, (0, DEPTH))], attempt, 1).await;
        }
        let cancel = Cancel { request: request(1), attempt };
        assert_eq!(post(&engine, "/v1/cancel", &cancel).await.unwrap().status, StatusCode::OK);
        let counts = engine.counts();
        assert_eq!((counts.cancels, counts.caches), (dropped, 2 - dropped), "{attempt:?}");
    }
}

#[tokio::test]
async fn a_rerun_after_a_cancel_is_a_violation() {
    let engine = start(Settings::default()).await;
    run(&engine, &full_step(0, prompt(5))).await;
    post(&engine, "/v1/cancel", &Cancel { request: request(1), attempt: None }).await.unwrap();
    run(&engine, &full_step(0, prompt(5))).await;
    let counts: Counts = get(&engine, "/counts").await;
    assert_eq!(counts.violations.len(), DEPTH as usize);
    assert_eq!(audit::check(counts.runs, DEPTH, &[]).len(), DEPTH as usize);
}

#[tokio::test]
async fn an_exported_cache_continues_on_another_engine_under_a_new_attempt() {
    let (old, new) = (start(Settings::default()).await, start(Settings::default()).await);
    let generated = draft(&[(&old, (0, DEPTH))], 1, 3).await;
    let mut kv: Kv = get(&old, &format!("/v1/kv/{}/1", request(1))).await;
    assert_eq!((kv.positions, kv.layers), (7, Layers { from: 0, to: DEPTH }));
    kv.attempt = 2;
    assert_eq!(post(&new, "/v1/kv", &kv).await.unwrap().status, StatusCode::OK);
    let mut next = full_step(7, vec![generated[2]]);
    next.name.attempt = 2;
    let expected = reference::answer(&prompt(5), DEPTH, 4);
    assert_eq!(
        (&expected[..3], run(&new, &next).await),
        (&generated[..], StepOutput::Token(expected[3]))
    );
    let runs = old.counts().runs.into_iter().chain(new.counts().runs);
    assert!(audit::check(runs, DEPTH, &[(request(1), 8)]).is_empty());
    assert_eq!(post(&new, "/v1/kv", &kv).await.unwrap().status, StatusCode::CONFLICT);
    kv.state = "{}".into();
    kv.attempt = 3;
    assert_eq!(post(&new, "/v1/kv", &kv).await.unwrap().status, StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn a_leaving_engine_completes_its_requests() {
    for (lag_ms, reported) in [(0, true), (600_000, false)] {
        let engine = start(Settings::default().with_load_lag_ms(lag_ms)).await;
        let before: Load = get(&engine, "/v1/load").await;
        run(&engine, &full_step(0, prompt(5))).await;
        engine.leave();
        run(&engine, &full_step(5, vec![97])).await;
        let mut new = full_step(0, prompt(5));
        new.name.request = request(2);
        let refused = post(&engine, "/v1/steps", &new).await.unwrap();
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(refused.json::<RefusalBody>().unwrap().refusal, Refusal::Leaving);
        let after: Load = get(&engine, "/v1/load").await;
        assert_eq!((before.leaving, after.leaving), (false, reported));
        assert_eq!(before.incarnation, after.incarnation);
        let _: Kv = get(&engine, &format!("/v1/kv/{}/1", request(1))).await;
    }
}

#[tokio::test]
async fn a_stop_waits_for_requests_in_progress() {
    let engine = start(Settings::default().with_grace_ms(60_000)).await;
    run(&engine, &full_step(0, prompt(5))).await;
    let address = engine.address();
    let stop = tokio::spawn(engine.stop());
    while !client::get(address, "/v1/load").await.unwrap().json::<Load>().unwrap().leaving {}
    let next = client::post(address, "/v1/steps", &full_step(5, vec![97])).await.unwrap();
    assert_eq!(next.status, StatusCode::OK);
    let cancel = Cancel { request: request(1), attempt: None };
    client::post(address, "/v1/cancel", &cancel).await.unwrap();
    stop.await.unwrap();
    assert!(client::get(address, "/v1/load").await.is_err());
}

#[tokio::test]
async fn a_full_cache_refuses_new_requests_only() {
    let engine = start(Settings::default().with_kv_bytes_max(1)).await;
    run(&engine, &full_step(0, prompt(5))).await;
    run(&engine, &full_step(5, vec![97])).await;
    let mut new = full_step(0, prompt(5));
    new.name.request = request(2);
    let refused = post(&engine, "/v1/steps", &new).await.unwrap();
    assert_eq!(refused.json::<RefusalBody>().unwrap().refusal, Refusal::Busy);
    assert!(get::<Load>(&engine, "/v1/load").await.kv_bytes > 0);
}

fn order(fence: u64, token: &str, desired: Desired) -> Order {
    Order { fence: Offset(fence), token: token.into(), desired }
}

fn held(version: &str, to: u32) -> Held {
    Held {
        model: "draft".parse().expect("a fixed name is valid"),
        version: version.into(),
        layers: Layers { from: 0, to },
        adapters: Vec::new(),
    }
}

/// Sends two orders, the second with a lower fencing number, to engines that check the fencing
/// number and the sender, or do not.
#[tokio::test]
async fn orders_are_checked_as_configured() {
    let fenced = || Some(Refusal::Fenced);
    let sender = || Some(Refusal::Sender);
    let cases = [
        (true, None, "t", None, fenced(), "new", 0),
        (false, None, "t", None, None, "old", 1),
        (true, Some("t"), "t", None, fenced(), "new", 0),
        (false, Some("t"), "forged", sender(), sender(), "1", 0),
    ];
    for (fences, token, sent, first, second, version, stale) in cases {
        let settings =
            Settings::default().with_fenced(fences).with_order_token(token.map(Into::into));
        let engine = start(settings).await;
        for (fence, version, expected) in [(9, "new", first), (8, "old", second)] {
            let order = order(fence, sent, Desired::Load(held(version, 4)));
            let answer = post(&engine, "/v1/orders", &order).await.unwrap();
            let refusal = answer.json::<RefusalBody>().ok().map(|body| body.refusal);
            let status = if expected.is_some() { StatusCode::FORBIDDEN } else { StatusCode::OK };
            assert_eq!((answer.status, refusal), (status, expected));
        }
        let orders: Orders = get(&engine, "/v1/orders").await;
        assert_eq!(orders.holds[0].version, version);
        assert_eq!(engine.counts().stale_orders, stale);
    }
}

#[tokio::test]
async fn loads_share_the_rate_of_the_weight_store() {
    // One layer takes an hour, so no load completes during the test.
    let slow = Arc::new(Store::new(1_000));
    let settings = || Settings::default().with_to(0).with_layer_bytes(3_600_000);
    let engine = Engine::start_with_store(settings(), slow.clone()).await.unwrap();
    post(&engine, "/v1/orders", &order(1, "", Desired::Load(held("1", 4)))).await.unwrap();
    let orders: Orders = get(&engine, "/v1/orders").await;
    assert_eq!((orders.holds, orders.loading), (vec![], vec![held("1", 4)]));
    let now = tokio::time::Instant::now();
    assert!(slow.read(now, 0) > now + Duration::from_secs(3 * 3_600));
    post(&engine, "/v1/orders", &order(2, "", Desired::Unload("draft".parse().unwrap())))
        .await
        .unwrap();
    let orders: Orders = get(&engine, "/v1/orders").await;
    assert_eq!((orders.fence, orders.loading), (Some(Offset(2)), vec![]));
}

#[tokio::test]
async fn an_order_with_a_lost_answer_takes_effect() {
    let engine = start(Settings::default()).await;
    engine.change_faults(|faults| faults.lose_order_answers = 1);
    let order = order(1, "", Desired::Load(held("2", 12)));
    assert!(post(&engine, "/v1/orders", &order).await.is_err());
    assert_eq!(get::<Orders>(&engine, "/v1/orders").await.holds, [held("2", 12)]);
}

#[tokio::test]
async fn cache_events_are_delayed_and_lost() {
    let digests = prefix::digests(prompt(40).into_iter().map(u64::from));
    let cases = [(0, 0.0, 2), (600_000, 0.0, 0), (0, 1.0, 0)];
    for (lag_ms, loss, expected) in cases {
        let settings = Settings::default().with_event_lag_ms(lag_ms).with_event_loss(loss);
        let engine = start(settings).await;
        run(&engine, &full_step(0, prompt(40))).await;
        let events: CacheEvents = get(&engine, "/v1/events?from=0").await;
        assert_eq!(
            (events.events.len(), events.next),
            (expected, expected as u64),
            "{lag_ms} {loss}"
        );
        for (event, digest) in events.events.iter().zip(&digests) {
            assert_eq!((event.prefix, &event.change), (*digest, &CacheChange::Stored));
        }
    }
    let engine = start(Settings::default().with_prefix_blocks(1)).await;
    run(&engine, &full_step(0, prompt(40))).await;
    let events: CacheEvents = get(&engine, "/v1/events?from=2").await;
    assert_eq!(
        (events.events[0].prefix, &events.events[0].change),
        (digests[0], &CacheChange::Evicted)
    );
}

#[tokio::test]
async fn faults_and_counts_are_available_over_http() {
    let engine = start(Settings::default().with_accelerator(Accelerator::Small)).await;
    let faults = Faults { busy: true, ..Faults::default() };
    for address in [engine.address(), engine.control()] {
        client::call(address, Method::PUT, "/faults", &faults).await.unwrap();
        assert_eq!(
            client::get(address, "/faults").await.unwrap().json::<Faults>().unwrap(),
            faults
        );
        let counts: Counts = client::get(address, "/counts").await.unwrap().json().unwrap();
        assert_eq!(counts, Counts::default());
    }
    let bad = client::call(engine.control(), Method::PUT, "/faults", &["unknown"]).await.unwrap();
    assert_eq!(bad.status, StatusCode::BAD_REQUEST);
    assert_eq!(get::<Load>(&engine, "/v1/load").await.accelerator, Accelerator::Small);
}
