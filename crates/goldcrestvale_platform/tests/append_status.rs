//! Statuses with which the log answers an append.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::id::{Incarnation, RecordId};
use goldcrestvale_platform::{Error, log::Log, message::Entry};
use serde_json::value::RawValue;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Starts a log that answers the first call with a status.
async fn log(status: u16) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await;
        let answer =
            format!("HTTP/1.1 {status:03} OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        // The reader may have closed the connection already.
        let _ = stream.write_all(answer.as_bytes()).await;
    });
    address
}

async fn append(status: u16) -> Error {
    let log = Log::new(log(status).await, Duration::from_secs(5));
    let id = RecordId { incarnation: Incarnation(1), sequence: 1 };
    let data = RawValue::from_string("{}".to_owned()).unwrap();
    log.append("config", vec![Entry { id, data }]).await.unwrap_err()
}

/// Guards against an operator who is told that a change was not taken although it is in the log.
#[tokio::test]
async fn only_a_rejection_shows_that_nothing_was_appended() {
    for status in [400, 413, 429, 503] {
        let error = append(status).await;
        assert!(!error.may_have_appended(), "{status}: {error}");
    }
    for status in [0, 99, 101, 199, 302, 500, 502, 504, 600, 999] {
        let error = append(status).await;
        assert!(error.may_have_appended(), "{status}: {error}");
    }
}
