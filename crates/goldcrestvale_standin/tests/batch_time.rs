//! Batches: order by priority, time of the cost model, cancellation while waiting.

use std::time::{Duration, Instant};

use goldcrestvale_base::id::Request;
use goldcrestvale_standin::{
    client,
    engine::{Engine, Settings},
    server::Handle,
};
use goldcrestvale_upstream::message::{
    Cancel, Layers, Load, Refusal, RefusalBody, Step, StepInput, StepName,
};
use http::StatusCode;

fn first_step(number: u128, priority: u8, tokens: usize) -> Step {
    let request = Request(uuid::Uuid::from_u128(number));
    Step {
        name: StepName { request, attempt: 1, position: 0, stage: 0 },
        model: "draft".parse().expect("a fixed name is valid"),
        layers: Layers { from: 0, to: 12 },
        priority,
        input: StepInput::Tokens(vec![97; tokens]),
    }
}

async fn wait_for_queued_steps(engine: &Handle<Engine>, count: u32) {
    loop {
        let answer = client::get(engine.address(), "/v1/load").await.expect("an answer");
        let load: Load = answer.json().expect("a load report");
        if load.waiting == count {
            return;
        }
    }
}

fn send(engine: &Handle<Engine>, step: Step) -> tokio::task::JoinHandle<client::Answer> {
    let address = engine.address();
    tokio::spawn(async move { client::post(address, "/v1/steps", &step).await.expect("an answer") })
}

#[tokio::test]
async fn a_batch_takes_at_least_its_modelled_time() {
    // 12 layers take 300 us each, and 100 tokens take 3 us each per layer.
    let engine = Engine::start(Settings::default().with_time_scale(2.0)).await.unwrap();
    let start = Instant::now();
    let answer = send(&engine, first_step(1, 0, 100)).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(start.elapsed() >= Duration::from_micros(2 * 12 * (300 + 100 * 3)));
}

#[tokio::test]
async fn a_waiting_step_is_reported_and_cancelled() {
    let engine = Engine::start(Settings::default().with_time_scale(0.001)).await.unwrap();
    engine.change_faults(|faults| faults.hold = true);
    let queued = send(&engine, first_step(2, 0, 1));
    wait_for_queued_steps(&engine, 1).await;
    let cancel = Cancel { request: Request(uuid::Uuid::from_u128(2)), attempt: None };
    client::post(engine.address(), "/v1/cancel", &cancel).await.unwrap();
    assert_eq!(queued.await.unwrap().json::<RefusalBody>().unwrap().refusal, Refusal::Gap);
    engine.change_faults(|faults| faults.hold = false);
    assert_eq!(send(&engine, first_step(1, 0, 1)).await.unwrap().status, StatusCode::OK);
    assert_eq!(engine.counts().steps, 1);
}

#[tokio::test]
async fn a_higher_priority_runs_first() {
    // Each prompt fills a batch, and the KV cache has capacity only for the first one that runs.
    let settings = Settings::default().with_time_scale(0.001).with_kv_bytes_max(1);
    let engine = Engine::start(settings).await.unwrap();
    engine.change_faults(|faults| faults.hold = true);
    let low = send(&engine, first_step(1, 1, 4_000));
    wait_for_queued_steps(&engine, 1).await;
    let high = send(&engine, first_step(2, 9, 4_000));
    wait_for_queued_steps(&engine, 2).await;
    engine.change_faults(|faults| faults.hold = false);
    assert_eq!(high.await.unwrap().status, StatusCode::OK);
    assert_eq!(low.await.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
}
