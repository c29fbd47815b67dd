//! Answers whose end only the connection shows, and answers that never end.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::exchange::Exchange;
use goldcrestvale_upstream::{
    Error, Result,
    pool::Limits,
    service::{Answer, Call, Service},
};
use http::{HeaderMap, Method};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// What follows the first bytes of an answer.
#[derive(Clone, Copy)]
enum Ending {
    Close,
    Reset,
    Endless,
}

/// Starts a service that answers one request with these bytes.
async fn service(answer: &'static [u8], ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4_096];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(answer).await;
        match ending {
            Ending::Close => {}
            Ending::Reset => {
                tokio::time::sleep(Duration::from_millis(50)).await;
                let _ = stream.set_zero_linger();
            }
            Ending::Endless => while stream.write_all(&[b'x'; 1_024]).await.is_ok() {},
        }
    });
    address
}

async fn call(answer: &'static [u8], ending: Ending) -> Result<Answer> {
    let address = service(answer, ending).await;
    let limits = Limits { max_answer_bytes: MAX_ANSWER_BYTES, ..Limits::default() };
    let (method, path, headers) = (Method::GET, "/".to_owned(), HeaderMap::new());
    let call = Call { method, path, headers, body: bytes::Bytes::new() };
    Service::new(limits).call(address, call, Exchange::new(), Duration::from_secs(5)).await
}

const UNFRAMED: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nall of it";

#[tokio::test]
async fn unframed_answer_ends_with_its_connection() {
    let answer = call(UNFRAMED, Ending::Close).await.unwrap();
    assert_eq!(&answer.body[..], b"all of it");
}

#[tokio::test]
async fn reset_unframed_answer_is_broken() {
    let error = call(UNFRAMED, Ending::Reset).await.unwrap_err();
    assert!(matches!(error, Error::Broken { .. }), "{error}");
}

#[tokio::test]
async fn endless_body_is_oversized() {
    let error = call(UNFRAMED, Ending::Endless).await.unwrap_err();
    assert!(matches!(error, Error::Oversized { .. }), "{error}");
}

#[tokio::test]
async fn endless_head_is_broken() {
    let error = call(b"HTTP/1.1 200 OK\r\nx: ", Ending::Endless).await.unwrap_err();
    assert!(matches!(error, Error::Broken { .. }), "{error}");
}

#[tokio::test]
async fn endless_noise_is_broken() {
    let error = call(b"\x00\x01", Ending::Endless).await.unwrap_err();
    assert!(matches!(error, Error::Broken { .. }), "{error}");
}
