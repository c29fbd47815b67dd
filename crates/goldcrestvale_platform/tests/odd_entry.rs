//! Entries of the instance list and records of the log that other writers left.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::{id::Offset, time::Wall};
use goldcrestvale_platform::{Error, list::List, log::Log, reader::Reader};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a platform that answers each call with the same JSON text.
async fn platform(body: String) -> SocketAddr {
    platform_with("200 OK", vec![body]).await
}

/// Starts a platform that answers each call with the next JSON text, and then with the last one.
async fn platform_with(status: &'static str, mut bodies: Vec<String>) -> SocketAddr {
    bodies.reverse();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let body = if bodies.len() > 1 { bodies.pop() } else { bodies.last().cloned() };
            let body = body.unwrap();
            let head = format!(
                "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            let answer = [head.as_bytes(), body.as_bytes()].concat();
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                // The reader may have closed the connection already.
                let _ = stream.write_all(&answer).await;
            });
        }
    });
    address
}

fn listed(name: &str) -> Value {
    json!({
        "name": name, "role": "engine", "pool": "drafting", "address": "127.0.0.1:7201",
        "domain": "bole", "state": "live",
    })
}

#[tokio::test]
async fn odd_entries_of_the_list_are_skipped() {
    let odd = [
        "7".to_owned(),
        "null".to_owned(),
        "{}".to_owned(),
        listed("a").to_string().replace("engine", "printer"),
        listed("a").to_string().replace("live", "resting"),
        listed("a").to_string().replace("127.0.0.1:7201", "somewhere"),
        listed("a").to_string().replace("bole", "b o/l&e"),
        listed("a").to_string().replace("\"a\"", "\"\\udc80\""),
    ];
    for entry in &odd {
        let (first, last) = (listed("large-1"), listed("large-2"));
        let body = format!("{{\"as_of\":5,\"instances\":[{first},{entry},{last}]}}");
        let list = List::new(platform(body).await, TIMEOUT).fetch().await;
        let listing = list.unwrap_or_else(|e| panic!("{entry}: {e}"));
        let names: Vec<&str> = listing.instances.iter().map(|i| i.name.as_str()).collect();
        assert_eq!((listing.as_of, &names[..]), (Wall(5), &["large-1", "large-2"][..]));
    }
}

fn record(offset: u64, id: &Value, data: &str) -> String {
    format!("{{\"offset\":{offset},\"id\":{id},\"written\":9,\"data\":{data}}}")
}

fn page(records: &[String], end: u64) -> String {
    format!("{{\"oldest\":0,\"end\":{end},\"records\":[{}]}}", records.join(","))
}

fn id(sequence: u64) -> Value {
    json!(format!("{:032x}-{sequence}", 1))
}

/// Guards against a stream that no reader gets past a record of another writer.
#[tokio::test]
async fn records_with_odd_ids_are_read() {
    for odd in [json!("not an id"), json!(""), json!(7), json!(null), json!({})] {
        let records =
            [record(0, &id(0), "1"), record(1, &odd, "{\"any\":2}"), record(2, &id(2), "3")];
        let log = Log::new(platform(page(&records, 3)).await, TIMEOUT);
        let mut reader = Reader::new(log, "config", Offset(0));
        let read = reader.read(Duration::ZERO).await.unwrap_or_else(|e| panic!("{odd}: {e}"));
        let data: Vec<&str> = read.iter().map(|record| record.data.get()).collect();
        assert_eq!(data, ["1", "{\"any\":2}", "3"]);
        assert_eq!(reader.position(), Offset(3));
        // All instances name it alike, and by no identity of an instance.
        assert_eq!(read[1].id.to_string(), format!("{:032x}-1", 0));
        assert_eq!(read[1].written, Wall(9));
    }
}

/// Guards against a reader that asks for the same page as fast as the platform answers.
#[tokio::test]
async fn page_that_does_not_get_on_is_an_error() {
    let log = Log::new(platform(page(&[], 3)).await, TIMEOUT);
    let read = log.read("config", Offset(0), 100, Duration::ZERO).await;
    assert!(matches!(read, Err(Error::Malformed { .. })), "{read:?}");
    // Nothing is missing at the end of the stream, nor beyond the end of an old page.
    for from in [Offset(3), Offset(5)] {
        assert!(log.read("config", from, 100, Duration::ZERO).await.unwrap().records.is_empty());
    }
}

/// Guards against a reader that asks at once again after a page with other records only.
#[tokio::test]
async fn page_of_other_records_is_an_error() {
    let log = Log::new(platform(page(&[record(5, &id(5), "1")], 9)).await, TIMEOUT);
    let mut reader = Reader::new(log, "config", Offset(2));
    let read = reader.read(Duration::ZERO).await;
    assert!(matches!(read, Err(Error::Malformed { .. })), "{read:?}");
    assert_eq!(reader.position(), Offset(2));
}

/// An old page may be delivered again, and has no effect.
#[tokio::test]
async fn old_page_has_no_effect() {
    let records = [record(0, &id(0), "1"), record(1, &id(1), "2")];
    let log = Log::new(platform(page(&records, 2)).await, TIMEOUT);
    let mut reader = Reader::new(log, "config", Offset(0));
    assert_eq!(reader.read(Duration::ZERO).await.unwrap().len(), 2);
    assert!(reader.read(Duration::ZERO).await.unwrap().is_empty());
    assert_eq!(reader.position(), Offset(2));
}

/// Guards against a reader that asks an outdated replica as fast as it answers.
#[tokio::test]
async fn old_page_before_the_end_is_an_error() {
    let pages = vec![page(&[record(0, &id(0), "1")], 5), page(&[record(0, &id(0), "1")], 1)];
    let log = Log::new(platform_with("200 OK", pages).await, TIMEOUT);
    let mut reader = Reader::new(log, "config", Offset(0));
    assert_eq!(reader.read(Duration::ZERO).await.unwrap().len(), 1);
    let read = reader.read(Duration::ZERO).await;
    assert!(matches!(read, Err(Error::Malformed { .. })), "{read:?}");
    assert_eq!(reader.position(), Offset(1));
}

/// Guards against a reader that starts at the same record again and again.
#[tokio::test]
async fn trim_of_nothing_is_an_error() {
    for oldest in [0, 7] {
        let body = json!({ "oldest": oldest, "end": 9, "records": [] }).to_string();
        let log = Log::new(platform_with("410 Gone", vec![body]).await, TIMEOUT);
        let read = log.read("config", Offset(7), 100, Duration::ZERO).await;
        assert!(matches!(read, Err(Error::Malformed { .. })), "{read:?}");
    }
    let body = json!({ "oldest": 8, "end": 9, "records": [] }).to_string();
    let log = Log::new(platform_with("410 Gone", vec![body]).await, TIMEOUT);
    let read = log.read("config", Offset(7), 100, Duration::ZERO).await;
    assert!(matches!(read, Err(Error::Trimmed { .. })), "{read:?}");
}
