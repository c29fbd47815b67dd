//! Contract of the platform: the log, the list of instances and their faults.

use std::time::Instant;

use goldcrestvale_base::id::{Incarnation, Offset, RecordId};
use goldcrestvale_platform::message::{
    Append, Appended, Entry, Listed, Listing, Page, Role, State,
};
use goldcrestvale_standin::{
    client::{self, Connection, Protocol},
    platform::{Counts, Faults, Platform, Settings},
    server::Handle,
};
use http::{Method, StatusCode};

fn append(sequences: std::ops::Range<u64>) -> Append {
    let records = sequences.map(|sequence| Entry {
        id: RecordId { incarnation: Incarnation(7), sequence },
        data: serde_json::value::to_raw_value(&sequence).expect("a number is JSON"),
    });
    Append { records: records.collect() }
}

async fn start(settings: Settings) -> Handle<Platform> {
    Platform::start(settings).await.expect("a free port")
}

async fn write(
    platform: &Handle<Platform>,
    stream: &str,
    append: &Append,
) -> client::Result<client::Answer> {
    client::post(platform.address(), &format!("/streams/{stream}/records"), append).await
}

async fn read(platform: &Handle<Platform>, stream: &str, query: &str) -> (StatusCode, Page) {
    let path = format!("/streams/{stream}/records?{query}");
    let answer = client::get(platform.address(), &path).await.expect("an answer");
    (answer.status, answer.json().expect("a page"))
}

fn sequences(page: &Page) -> Vec<u64> {
    page.records.iter().map(|record| record.id.sequence).collect()
}

#[tokio::test]
async fn an_append_assigns_offsets_per_stream() {
    let platform = start(Settings::default()).await;
    for (stream, range, first) in [("a", 0..2, 0), ("b", 10..11, 0), ("a", 2..5, 2)] {
        let next = first + range.end - range.start;
        let answer = write(&platform, stream, &append(range)).await.unwrap();
        let appended: Appended = answer.json().unwrap();
        assert_eq!(appended, Appended { first: Offset(first), next: Offset(next) });
    }
    let (_, page) = read(&platform, "a", "from=1&max=2").await;
    assert_eq!((sequences(&page), page.oldest, page.end), (vec![1, 2], Offset(0), Offset(5)));
    assert_eq!(sequences(&read(&platform, "b", "from=0").await.1), [10]);
    assert_eq!(platform.counts().records, 6);
}

#[tokio::test]
async fn a_read_waits_for_new_records() {
    let platform = start(Settings::default()).await;
    let reader = read(&platform, "a", "from=0&wait_ms=30000");
    let writer = async {
        tokio::task::yield_now().await;
        write(&platform, "a", &append(0..1)).await.unwrap()
    };
    let ((status, page), _) = tokio::join!(reader, writer);
    assert_eq!((status, sequences(&page)), (StatusCode::OK, vec![0]));
    let (status, page) = read(&platform, "a", "from=1&wait_ms=1").await;
    assert_eq!((status, sequences(&page)), (StatusCode::OK, vec![]));
}

#[tokio::test]
async fn a_stop_ends_the_wait_of_a_read() {
    let platform = start(Settings::default()).await;
    let address = platform.address();
    let path = "/streams/a/records?from=0&wait_ms=60000";
    let reader = tokio::spawn(async move { client::get(address, path).await });
    while client::get(address, "/counts").await.unwrap().json::<Counts>().unwrap().waits == 0 {}
    platform.stop().await;
    assert_eq!(reader.await.unwrap().unwrap().json::<Page>().unwrap().records.len(), 0);
}

#[tokio::test]
async fn one_port_serves_both_http_versions() {
    let platform = start(Settings::default()).await;
    for protocol in [Protocol::Http1, Protocol::Http2] {
        let mut connection = Connection::open(platform.address(), protocol).await.unwrap();
        let request = connection.request(Method::GET, "/instances", bytes::Bytes::new()).unwrap();
        assert_eq!(connection.send(request).await.unwrap().status(), StatusCode::OK);
    }
}

#[tokio::test]
async fn records_expire_by_count_age_and_trim() {
    let counted = Settings::default().with_retention_records(2);
    let aged = Settings::default().with_retention_ms(0);
    let cases = [("count", counted, 3), ("age", aged, 5), ("order", Settings::default(), 4)];
    for (name, settings, oldest) in cases {
        let platform = start(settings).await;
        write(&platform, "a", &append(0..5)).await.unwrap();
        if name == "order" {
            platform.server().trim("a", Offset(4));
        }
        let (status, page) = read(&platform, "a", "from=0").await;
        assert_eq!(status, StatusCode::GONE, "{name}");
        assert_eq!((page.oldest, page.end), (Offset(oldest), Offset(5)), "{name}");
        assert!(page.records.is_empty(), "{name}");
        let (status, page) = read(&platform, "a", &format!("from={oldest}")).await;
        assert_eq!((status, page.oldest), (StatusCode::OK, Offset(oldest)), "{name}");
    }
}

#[tokio::test]
async fn the_append_rate_is_limited() {
    let platform = start(Settings::default().with_appends_per_second(2)).await;
    let start = Instant::now();
    let mut refused = 0;
    for sequence in 0..5 {
        let answer = write(&platform, "a", &append(sequence..sequence + 1)).await.unwrap();
        refused += u32::from(answer.status == StatusCode::TOO_MANY_REQUESTS);
    }
    // Each second that has started allows two appends.
    let allowed = 2 * (u32::try_from(start.elapsed().as_secs()).unwrap() + 1);
    assert!(refused >= 5u32.saturating_sub(allowed), "{refused} refused, {allowed} allowed");
    assert_eq!(platform.counts().limited, u64::from(refused));
    assert_eq!(platform.server().end("a"), Offset(u64::from(5 - refused)));
}

/// Each case sets a fault and names the expected status, if any, and the number of records stored.
#[tokio::test]
async fn append_faults() {
    let none = Faults::default;
    let cases = [
        ("none", none(), Some(StatusCode::OK), 1),
        ("down", Faults { down: true, ..none() }, Some(StatusCode::SERVICE_UNAVAILABLE), 0),
        (
            "appends",
            Faults { down_appends: true, ..none() },
            Some(StatusCode::SERVICE_UNAVAILABLE),
            0,
        ),
        ("refuse", Faults { refuse: true, ..none() }, None, 0),
        ("lost answer", Faults { lose_answers: 1, ..none() }, None, 1),
        ("lost append", Faults { lose_appends: 1, ..none() }, None, 0),
        ("slow", Faults { delay_ms: 1, late_ms: 1, ..none() }, Some(StatusCode::OK), 1),
    ];
    for (name, faults, expected, records) in cases {
        let platform = start(Settings::default()).await;
        let set = client::call(platform.control(), Method::PUT, "/faults", &faults).await.unwrap();
        assert_eq!(set.status, StatusCode::OK);
        let answer = write(&platform, "a", &append(0..1)).await;
        assert_eq!(answer.ok().map(|answer| answer.status), expected, "{name}");
        assert_eq!(platform.server().end("a"), Offset(records), "{name}");
        platform.faults().set(none());
        let counts: Counts =
            client::get(platform.control(), "/counts").await.unwrap().json().unwrap();
        assert_eq!(
            (counts.records, counts.lost),
            (records, u64::from(name == "lost answer")),
            "{name}"
        );
        let (status, page) = read(&platform, "a", "from=0").await;
        assert_eq!((status, page.records.len() as u64), (StatusCode::OK, records), "{name}");
    }
}

#[tokio::test]
async fn a_retry_after_a_lost_answer_appends_a_second_copy() {
    let platform = start(Settings::default()).await;
    platform.change_faults(|faults| faults.lose_answers = 1);
    assert!(write(&platform, "a", &append(0..1)).await.is_err());
    write(&platform, "a", &append(0..1)).await.unwrap();
    assert_eq!(sequences(&read(&platform, "a", "from=0").await.1), [0, 0]);
}

#[tokio::test]
async fn the_last_page_is_returned_again() {
    let platform = start(Settings::default()).await;
    write(&platform, "a", &append(0..2)).await.unwrap();
    assert_eq!(sequences(&read(&platform, "a", "from=0").await.1), [0, 1]);
    platform.change_faults(|faults| faults.repeat_pages = 1);
    write(&platform, "a", &append(2..3)).await.unwrap();
    assert_eq!(sequences(&read(&platform, "a", "from=2").await.1), [0, 1]);
    assert_eq!(sequences(&read(&platform, "a", "from=2").await.1), [2]);
}

#[tokio::test]
async fn the_list_is_read_with_its_lag() {
    let listed = |name: &str, state| Listed {
        name: name.into(),
        role: Role::Engine,
        pool: "draft".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "yeka".parse().unwrap(),
        state,
    };
    for (lag_ms, expected) in [(0, 2), (600_000, 0)] {
        let platform = start(Settings::default().with_list_lag_ms(lag_ms)).await;
        let list = vec![listed("e1", State::Live)];
        client::call(platform.address(), Method::PUT, "/instances", &list).await.unwrap();
        for entry in [listed("e2", State::Live), listed("e1", State::Leaving)] {
            client::post(platform.address(), "/instances", &entry).await.unwrap();
        }
        let answer = client::get(platform.address(), "/instances").await.unwrap();
        let listing: Listing = answer.json().unwrap();
        assert_eq!(listing.instances.len(), expected, "lag {lag_ms}");
        if let Some(first) = listing.instances.first() {
            assert_eq!(*first, listed("e1", State::Leaving));
        }
    }
}

#[tokio::test]
async fn malformed_requests_are_refused() {
    let platform = start(Settings::default()).await;
    let cases = [
        (Method::POST, "/streams/a/records", StatusCode::BAD_REQUEST),
        (Method::PUT, "/instances", StatusCode::BAD_REQUEST),
        (Method::POST, "/instances", StatusCode::BAD_REQUEST),
        (Method::PUT, "/faults", StatusCode::BAD_REQUEST),
        (Method::GET, "/elsewhere", StatusCode::NOT_FOUND),
    ];
    for (method, path, status) in cases {
        let answer = client::call(platform.address(), method, path, &"neither").await.unwrap();
        assert_eq!(answer.status, status, "{path}");
    }
}
