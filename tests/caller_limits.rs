//! Limits on the size and the duration of requests, and on the number of connections.
#![allow(clippy::unwrap_used)]

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use goldcrestvale::{entry::settings::Settings, serve};
use goldcrestvale_standin::{platform, server::Handle};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

const HEADER_TIMEOUT: Duration = Duration::from_millis(300);
const BODY_TIMEOUT: Duration = Duration::from_millis(300);
const IDLE_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time until a connection that exceeds a limit is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

async fn instance() -> io::Result<(Handle<platform::Platform>, serve::Instance)> {
    let platform = platform::Platform::start(platform::Settings::default()).await?;
    let mut settings = Settings::default();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    settings.callers.address = any;
    settings.operators.address = any;
    settings.platform.address = platform.address();
    settings.callers.header_bytes = 8 << 10;
    settings.callers.header_timeout = HEADER_TIMEOUT;
    settings.callers.body_timeout = BODY_TIMEOUT;
    settings.callers.idle_timeout = IDLE_TIMEOUT;
    settings.callers.connections = 3;
    settings.callers.http2_connections = 1;
    let instance = serve::Instance::start(settings).await.map_err(io::Error::other)?;
    while !instance.node().lifecycle.is_ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok((platform, instance))
}

/// Writes bytes, then reads until the instance closes the connection.
async fn exchange(address: SocketAddr, request: &[u8]) -> io::Result<(String, Duration)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request).await?;
    let started = Instant::now();
    let mut read = Vec::new();
    let closed = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut read)).await;
    // A reset counts as closed.
    let _ = closed.map_err(|_| io::Error::other("the connection stays open"))?;
    Ok((String::from_utf8_lossy(&read).into_owned(), started.elapsed()))
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_and_large_heads() -> io::Result<()> {
    let (_platform, instance) = instance().await?;
    let large = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(9 << 10));
    let table: [(&str, &str, &str, Duration); 5] = [
        ("idle", "", "", IDLE_TIMEOUT.min(HEADER_TIMEOUT)),
        ("slow head", "GET / HT", "", HEADER_TIMEOUT),
        ("large head", &large, "HTTP/1.1 431", Duration::ZERO),
        ("no HTTP", "\u{1}\u{2}\u{3}\r\n\r\n", "HTTP/1.1 400", Duration::ZERO),
        ("kept alive", "GET /x HTTP/1.1\r\nhost: a\r\n\r\n", "HTTP/1.1 404", HEADER_TIMEOUT),
    ];
    for (case, request, response, min_elapsed) in table {
        let (read, elapsed) = exchange(instance.callers(), request.as_bytes()).await?;
        assert!(read.starts_with(response), "{case}: {read}");
        assert!(elapsed >= min_elapsed, "{case}: closed after {elapsed:?}");
    }
    assert!(instance.stop().await);
    Ok(())
}

/// Returns how many connections a limit has ended.
fn ended_by(instance: &serve::Instance, limit: &str) -> u64 {
    let text = String::from_utf8(instance.node().metrics.scrape().unwrap()).unwrap();
    let label = format!("limit=\"{limit}\"");
    let mut lines = text.lines().filter(|line| {
        line.starts_with("goldcrestvale_connections_ended_total") && line.contains(&label)
    });
    lines.next().and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_are_counted() -> io::Result<()> {
    let (_platform, instance) = instance().await?;
    let _ = exchange(instance.callers(), b"GET / HT").await?;
    assert_eq!(ended_by(&instance, "late head"), 1);
    let _ = exchange(instance.callers(), b"").await?;
    assert_eq!(ended_by(&instance, "idle"), 1);
    assert_eq!(ended_by(&instance, "unread"), 0);
    assert!(instance.stop().await);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_answers() -> io::Result<()> {
    let (_platform, instance) = instance().await?;
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(4 << 10)?;
    let mut stream = socket.connect(instance.callers()).await?;
    let requests = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n".repeat(1_000);
    // Sends until the instance closes the connection, and reads nothing.
    let sending = async { while stream.write_all(requests.as_bytes()).await.is_ok() {} };
    tokio::time::timeout(2 * CLOSE_TIMEOUT, sending).await.map_err(io::Error::other)?;
    assert_eq!(ended_by(&instance, "unread"), 1);
    assert!(instance.stop().await);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_body() -> io::Result<()> {
    let (_platform, instance) = instance().await?;
    configure(&instance).await?;
    let head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\ngoldcrestvale-customer: c\r\n\
                authorization: Bearer b\r\ncontent-length: 100\r\n\r\n{";
    let (read, _) = exchange(instance.callers(), head.as_bytes()).await?;
    assert!(read.starts_with("HTTP/1.1 408"), "{read}");
    assert!(read.contains("goldcrestvale-verdict: not-run"), "{read}");
    assert!(read.contains("\"cause\":\"slow-body\""), "{read}");
    assert!(instance.stop().await);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn too_many_connections() -> io::Result<()> {
    let (_platform, instance) = instance().await?;
    let mut held = Vec::new();
    for _ in 0..3 {
        held.push(TcpStream::connect(instance.callers()).await?);
    }
    let (read, _) = exchange(instance.callers(), b"").await?;
    assert_eq!(read, "");
    drop(held);
    assert!(instance.stop().await);
    Ok(())
}

/// What a client of HTTP/2 sends first: the preface and its settings.
const HTTP2_OPENING: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

#[tokio::test(flavor = "multi_thread")]
async fn too_many_http2_connections() -> io::Result<()> {
    let (_platform, instance) = instance().await?;
    let mut first = TcpStream::connect(instance.callers()).await?;
    first.write_all(HTTP2_OPENING).await?;
    first.read_u8().await?;
    exchange(instance.callers(), HTTP2_OPENING).await?;
    assert_eq!(ended_by(&instance, "no place for http2"), 1);
    let (read, _) = exchange(instance.callers(), b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n").await?;
    assert!(read.starts_with("HTTP/1.1 404"), "{read}");
    assert!(instance.stop().await);
    Ok(())
}

/// Creates customer `c` with credential `b`.
async fn configure(instance: &serve::Instance) -> io::Result<()> {
    let credential = goldcrestvale::base::id::Digest::of(b"b");
    let change = serde_json::json!({
        "schema": { "major": 1, "minor": 0 }, "kind": "customer", "name": "c", "base": null,
        "body": { "credential": credential, "weight": 1, "max_in_flight": 1 }, "operator": "test",
    });
    let caller = goldcrestvale_standin::caller::Caller::default();
    let answer = caller.post(instance.operators(), "/config/changes", &change).await?;
    assert_eq!(answer.status, 200, "{}", answer.json());
    Ok(())
}
