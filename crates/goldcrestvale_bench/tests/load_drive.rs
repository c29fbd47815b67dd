//! The load driver: calls directly and through the bare pass-through, and drafts over a chain.

use std::time::Duration;

use bytes::Bytes;
use goldcrestvale_base::engine::Layers;
use goldcrestvale_bench::{
    baseline::Proxy,
    load::{Amount, Call, Chain, Form, drive},
};
use goldcrestvale_standin::{engine, engine::Engine, service, service::Service};
use http::Method;

const AMOUNT: Amount = Amount { requests: 40, time: Duration::from_secs(60) };

#[tokio::test]
async fn calls_are_counted_directly_and_through_the_proxy() {
    let service = Service::start(service::Settings::default()).await.unwrap();
    let proxy = Proxy::bind(service.address()).await.unwrap();
    let proxied = proxy.address().unwrap();
    tokio::spawn(proxy.run());
    let form = Form {
        method: Method::POST,
        path: "/notices".into(),
        body: Bytes::from_static(b"{}"),
        keyed: true,
    };
    for (address, effects) in [(service.address(), 40), (proxied, 80)] {
        let mut workers = Vec::new();
        for _ in 0..4 {
            workers.push(Call::open(address, form.clone()).await.unwrap());
        }
        let seen = drive(workers, AMOUNT).await;
        assert_eq!((seen.answered, seen.failed), (40, 0));
        assert!(seen.latency(50.0) <= seen.latency(99.0));
        let counts = service.counts();
        assert_eq!((counts.effects, counts.by_key.len()), (effects, effects as usize));
    }
    service.change_faults(|faults| faults.fail = 7);
    let worker = Call::open(service.address(), form).await.unwrap();
    let seen = drive(vec![worker], AMOUNT).await;
    assert_eq!((seen.answered, seen.failed), (33, 7));
}

#[tokio::test]
async fn drafts_run_every_layer_once() {
    let settings = engine::Settings::default;
    let first = Engine::start(settings().with_to(5)).await.unwrap();
    let second = Engine::start(settings().with_from(5)).await.unwrap();
    let stages = [
        (first.address(), Layers { from: 0, to: 5 }),
        (second.address(), Layers { from: 5, to: 12 }),
    ];
    let chain = Chain::open(&stages, "draft".parse().unwrap(), &[97, 98, 99], 4).await.unwrap();
    let seen = drive(vec![chain], Amount { requests: 3, ..AMOUNT }).await;
    assert_eq!((seen.answered, seen.failed), (3, 0));
    for engine in [first, second] {
        let counts = engine.counts();
        assert_eq!((counts.steps, counts.gaps, counts.caches), (3 * 4, 0, 0));
    }
}
