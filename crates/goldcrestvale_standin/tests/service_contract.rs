//! Contract of an instance of a plain service and its faults.

use goldcrestvale_base::id::Digest;
use goldcrestvale_standin::{
    client::{self, Connection, Protocol},
    server::Handle,
    service::{Answer, Counts, Faults, Service, Settings},
};
use goldcrestvale_upstream::message::ServiceLoad;
use http::{HeaderValue, Method, StatusCode};

async fn start(settings: Settings) -> Handle<Service> {
    Service::start(settings).await.expect("a free port")
}

async fn book(service: &Handle<Service>, protocol: Protocol) -> Option<(StatusCode, bytes::Bytes)> {
    let mut connection = Connection::open(service.address(), protocol).await.ok()?;
    let mut request = connection.request(Method::POST, "/book?day=1", "notice".into()).ok()?;
    request.headers_mut().insert("idempotency-key", HeaderValue::from_static("k1"));
    request.headers_mut().insert("goldcrestvale-request", HeaderValue::from_static("r1"));
    let response = connection.send(request).await.ok()?;
    Some((response.status(), response.into_body()))
}

async fn load(service: &Handle<Service>) -> ServiceLoad {
    let answer = client::get(service.address(), "/load").await.expect("an answer");
    answer.json().expect("a load report")
}

#[tokio::test]
async fn an_answer_describes_the_received_request() {
    let service = start(Settings::default()).await;
    for (protocol, effect) in [(Protocol::Http1, 1), (Protocol::Http2, 2)] {
        let (status, body) = book(&service, protocol).await.unwrap();
        let answer: Answer = serde_json::from_slice(&body).unwrap();
        let expected = Answer {
            service: "booking".parse().unwrap(),
            path: "/book?day=1".into(),
            key: Some("k1".into()),
            effect,
            digest: Digest::of(b"notice"),
        };
        assert_eq!((status, answer), (StatusCode::OK, expected));
    }
    let counts: Counts = client::get(service.address(), "/counts").await.unwrap().json().unwrap();
    assert_eq!((counts.effects, counts.by_key["k1"], counts.by_request["r1"]), (2, 2, 2));
    assert_eq!(counts.duplicate_keys().collect::<Vec<_>>(), ["k1"]);
}

/// Each case sets a fault and names the expected status, if any, and the number of effects.
#[tokio::test]
async fn call_faults() {
    let none = Faults::default;
    let failed = Some(StatusCode::INTERNAL_SERVER_ERROR);
    let cases = [
        ("none", none(), Some(StatusCode::OK), 1),
        ("refuse", Faults { refuse: true, ..none() }, None, 0),
        ("close before", Faults { close_before: 1, ..none() }, None, 0),
        ("close after", Faults { close_after: 1, ..none() }, None, 1),
        ("close half", Faults { close_half: 1, ..none() }, None, 1),
        ("fail", Faults { fail: 1, ..none() }, failed, 0),
        ("fail after", Faults { fail_after: 1, ..none() }, failed, 1),
        ("slow", Faults { delay_ms: 1, slow_body_ms: 1, ..none() }, Some(StatusCode::OK), 1),
        ("die", Faults { die: true, ..none() }, None, 0),
    ];
    for (name, faults, expected, effects) in cases {
        for protocol in [Protocol::Http1, Protocol::Http2] {
            let mut service = start(Settings::default()).await;
            service.faults().set(faults.clone());
            if faults.die {
                service.wait().await;
            }
            let answer = book(&service, protocol).await;
            assert_eq!(answer.map(|(status, _)| status), expected, "{name} {protocol:?}");
            assert_eq!(service.counts().effects, effects, "{name} {protocol:?}");
        }
    }
}

#[tokio::test]
async fn a_hang_happens_before_or_after_the_effect() {
    for (name, faults, effects) in [
        ("before", Faults { hang: true, ..Faults::default() }, 0),
        ("after", Faults { hang_after: true, ..Faults::default() }, 1),
    ] {
        let service = start(Settings::default()).await;
        service.faults().set(faults);
        let arrived = async {
            while load(&service).await.running == 0 || service.counts().effects < effects {}
        };
        tokio::select! {
            answer = book(&service, Protocol::Http1) => panic!("{name}: {answer:?}"),
            () = arrived => {}
        }
        assert_eq!(service.counts().effects, effects, "{name}");
    }
}

#[tokio::test]
async fn a_truncated_answer_announces_its_full_length() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let service = start(Settings::default()).await;
    service.change_faults(|faults| faults.close_half = 1);
    let mut stream = tokio::net::TcpStream::connect(service.address()).await.unwrap();
    stream.write_all(b"POST /book HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n").await.unwrap();
    let mut received = String::new();
    let _ = stream.read_to_string(&mut received).await;
    let (head, body) = received.split_once("\r\n\r\n").unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap();
    let length: usize = length.parse().unwrap();
    assert_eq!(body.len(), length / 2);
}

#[tokio::test]
async fn a_refusing_instance_is_reset_over_its_control_address() {
    let service = start(Settings::default()).await;
    service.change_faults(|faults| faults.refuse = true);
    assert!(book(&service, Protocol::Http1).await.is_none());
    let none = Faults::default();
    client::call(service.control(), Method::PUT, "/faults", &none).await.unwrap();
    let mut answer = None;
    while answer.is_none() {
        answer = book(&service, Protocol::Http1).await;
    }
    assert_eq!(service.counts().effects, 1);
}

#[tokio::test]
async fn a_leaving_instance_reports_it_and_refuses_requests() {
    for (lag_ms, reported) in [(0, true), (600_000, false)] {
        let service = start(Settings::default().with_load_lag_ms(lag_ms)).await;
        assert!(!load(&service).await.leaving);
        client::post(service.address(), "/leave", &()).await.unwrap();
        let (status, _) = book(&service, Protocol::Http1).await.unwrap();
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        let load = load(&service).await;
        assert_eq!((load.leaving, load.running, load.waiting), (reported, 0, 0));
        assert_eq!((service.counts().effects, service.counts().refusals), (0, 1));
    }
}

#[tokio::test]
async fn a_stop_completes_the_request_in_progress() {
    let service = start(Settings::default()).await;
    service.change_faults(|faults| faults.delay_ms = 50);
    let address = service.address();
    let caller = tokio::spawn(async move { client::post(address, "/book", &()).await });
    while load(&service).await.running == 0 {}
    service.stop().await;
    assert_eq!(caller.await.unwrap().unwrap().status, StatusCode::OK);
    assert!(client::get(address, "/load").await.is_err());
}
