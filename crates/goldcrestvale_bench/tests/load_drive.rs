//! The load driver: calls directly and through the pass-through proxy, and drafts over a chain.

use std::time::Duration;

use bytes::Bytes;
use goldcrestvale_base::engine::Layers;
use goldcrestvale_bench::{
    baseline::Proxy,
    load::{Call, Chain, Limits, RequestTemplate, drive},
};
use goldcrestvale_standin::{engine, engine::Engine, service, service::Service};
use http::Method;

const LIMITS: Limits = Limits { requests: 40, time: Duration::from_secs(60) };

#[tokio::test]
async fn calls_are_counted_directly_and_through_the_proxy() {
    let service = Service::start(service::Settings::default()).await.unwrap();
    let proxy = Proxy::bind(service.address()).await.unwrap();
    let proxied = proxy.address().unwrap();
    tokio::spawn(proxy.run());
    let template = RequestTemplate {
        method: Method::POST,
        path: "/notices".into(),
        body: Bytes::from_static(b"{}"),
        keyed: true,
    };
    for (address, effects) in [(service.address(), 40), (proxied, 80)] {
        let mut workers = Vec::new();
        for _ in 0..4 {
            workers.push(Call::open(address, template.clone()).await.unwrap());
        }
        let stats = drive(workers, LIMITS).await;
        assert_eq!((stats.answered, stats.failed), (40, 0));
        assert!(stats.latency(50.0) <= stats.latency(99.0));
        let counts = service.counts();
        assert_eq!((counts.effects, counts.by_key.len()), (effects, effects as usize));
    }
    service.change_faults(|faults| faults.fail = 7);
    let worker = Call::open(service.address(), template).await.unwrap();
    let stats = drive(vec![worker], LIMITS).await;
    assert_eq!((stats.answered, stats.failed), (33, 7));
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
    let stats = drive(vec![chain], Limits { requests: 3, ..LIMITS }).await;
    assert_eq!((stats.answered, stats.failed), (3, 0));
    for engine in [first, second] {
        let counts = engine.counts();
        assert_eq!((counts.steps, counts.gaps, counts.caches), (3 * 4, 0, 0));
    }
}
