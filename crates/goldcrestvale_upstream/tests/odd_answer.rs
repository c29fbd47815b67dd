//! Answers whose status, fields or trailers are of no form that the protocol allows.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use goldcrestvale_base::exchange::Exchange;
use goldcrestvale_upstream::{
    Error, Result,
    pool::{Limits, Pool, Protocol, Reply},
    service::Service,
};
use http::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Statuses that are none, or that end no request.
const STATUSES: [&str; 12] =
    ["000", "099", "20", "1000", "-1", "+20", "2 0", "2x0", "101", "600", "700", "999"];

/// Names of fields that are none.
const NAMES: [&[u8]; 9] = [
    b"odd name",
    b"odd\x01name",
    b"odd\0name",
    b"odd\x7fname",
    b"odd\tname",
    b"odd\xffname",
    b"",
    b"content length",
    b"transfer encoding",
];

/// Values of fields that are none.
const VALUES: [&[u8]; 3] = [b"a\x01b", b"a\0b", b"a\x7fb"];

/// Starts an upstream that answers the first request on each connection with these bytes.
async fn plain(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let _ = stream.write_all(&answer).await;
                // A client that waits for more would wait for the end of the connection.
                tokio::time::sleep(TIMEOUT / 10).await;
            });
        }
    });
    address
}

/// A frame of HTTP/2.
fn frame(kind: u8, flags: u8, stream: u32, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).unwrap().to_be_bytes();
    [&length[1..], &[kind, flags], &stream.to_be_bytes(), body].concat()
}

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// A field of HTTP/2 as literals.
fn field(name: &[u8], value: &[u8]) -> Vec<u8> {
    let (name_length, value_length) = (name.len() as u8, value.len() as u8);
    [&[0, name_length][..], name, &[value_length], value].concat()
}

/// Reads frames until the head of a request arrived; returns its stream.
async fn read_request(stream: &mut TcpStream) -> std::io::Result<u32> {
    stream.read_exact(&mut [0; 24]).await?;
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head).await?;
        let [a, b, c, kind, _, d, e, f, g] = head;
        let length = u32::from_be_bytes([0, a, b, c]) as usize;
        stream.read_exact(&mut vec![0; length]).await?;
        if kind == HEADERS {
            return Ok(u32::from_be_bytes([d, e, f, g]));
        }
    }
}

/// Starts an upstream of HTTP/2 that answers the first request on each connection with frames.
async fn multiplexed(frames: impl Fn(u32) -> Vec<u8> + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let frames = frames.clone();
            tokio::spawn(async move {
                stream.write_all(&frame(SETTINGS, 0, 0, &[])).await?;
                let id = read_request(&mut stream).await?;
                stream.write_all(&frames(id)).await?;
                tokio::time::sleep(TIMEOUT / 10).await;
                Ok::<_, std::io::Error>(())
            });
        }
    });
    address
}

/// Sends a request in both ways that read the answer completely.
async fn replies(protocol: Protocol, address: SocketAddr) -> [Result<Reply>; 2] {
    // Of their own connections.
    let pool = || Pool::new(protocol, Limits::default());
    let request = || {
        let uri = format!("http://{address}/");
        Request::post(uri).header("host", "a").body(Bytes::from_static(b"hello")).unwrap()
    };
    let called = pool().call(address, request(), Exchange::new(), TIMEOUT).await;
    let fetched = pool().fetch(address, request(), Exchange::new(), TIMEOUT, TIMEOUT).await;
    [called, fetched]
}

async fn assert_broken(protocol: Protocol, address: SocketAddr, case: &[u8]) {
    for reply in replies(protocol, address).await {
        let case = case.escape_ascii();
        assert!(matches!(reply, Err(Error::Broken { .. })), "{case}: {reply:?}");
    }
}

async fn assert_answered(protocol: Protocol, address: SocketAddr, case: &[u8]) {
    for reply in replies(protocol, address).await {
        let reply = reply.unwrap_or_else(|e| panic!("{}: {e}", case.escape_ascii()));
        assert_eq!((reply.head.status.as_u16(), &reply.body[..]), (200, &b"all of it"[..]));
    }
}

fn answer(status: &str, line: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} OK\r\nfine: x\r\ncontent-length: 9\r\n");
    [head.as_bytes(), line, b"\r\nall of it"].concat()
}

#[tokio::test]
async fn odd_status_is_no_answer() {
    assert_answered(Protocol::Http1, plain(answer("200", b"")).await, b"200").await;
    for status in STATUSES {
        let address = plain(answer(status, b"")).await;
        assert_broken(Protocol::Http1, address, status.as_bytes()).await;
    }
}

#[tokio::test]
async fn odd_field_is_no_answer() {
    let lines = NAMES.iter().map(|name| [name, &b": 9\r\n"[..]].concat());
    let values = VALUES.iter().map(|value| [b"odd: ", *value, b"\r\n"].concat());
    let others: [&[u8]; 6] = [
        b"odd : x\r\n",
        b"content-length : 5\r\n",
        b"no colon\r\n",
        b" folded: x\r\n",
        b"content-length: 5\r\n",
        b"content-length: 0x9\r\n",
    ];
    for line in lines.chain(values).chain(others.map(<[u8]>::to_vec)) {
        assert_broken(Protocol::Http1, plain(answer("200", &line)).await, &line).await;
    }
}

#[tokio::test]
async fn odd_interim_answer_is_no_answer() {
    let interim = |line: &[u8]| {
        [b"HTTP/1.1 103 Early Hints\r\n", line, b"\r\n", &answer("200", b"")].concat()
    };
    assert_answered(Protocol::Http1, plain(interim(b"fine: x\r\n")).await, b"103").await;
    for name in NAMES {
        let line = [name, b": x\r\n"].concat();
        assert_broken(Protocol::Http1, plain(interim(&line)).await, &line).await;
    }
}

fn chunked(trailer: &[u8]) -> Vec<u8> {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n";
    [&head[..], trailer, b"\r\n"].concat()
}

#[tokio::test]
async fn odd_trailer_is_no_end() {
    assert_answered(Protocol::Http1, plain(chunked(b"")).await, b"none").await;
    assert_answered(Protocol::Http1, plain(chunked(b"fine: x\r\n")).await, b"fine").await;
    for name in NAMES {
        let line = [name, b": x\r\n"].concat();
        assert_broken(Protocol::Http1, plain(chunked(&line)).await, &line).await;
    }
    for value in VALUES {
        let line = [b"odd: ", value, b"\r\n"].concat();
        assert_broken(Protocol::Http1, plain(chunked(&line)).await, &line).await;
    }
}

/// Returns the frames of an answer with a status and more fields, a body and trailers.
fn frames(status: &[u8], fields: &[u8], trailers: &[u8], stream: u32) -> Vec<u8> {
    // Index 8 is the name `:status`.
    let head = [&[8, status.len() as u8][..], status, fields].concat();
    let is_last = trailers.is_empty();
    let mut bytes = frame(HEADERS, END_HEADERS, stream, &head);
    bytes.extend(frame(DATA, if is_last { END_STREAM } else { 0 }, stream, b"all of it"));
    if !is_last {
        bytes.extend(frame(HEADERS, END_HEADERS | END_STREAM, stream, trailers));
    }
    bytes
}

#[tokio::test]
async fn odd_frames_are_no_answer() {
    let serve = |status: &'static [u8], fields: Vec<u8>, trailers: Vec<u8>| {
        multiplexed(move |stream| frames(status, &fields, &trailers, stream))
    };
    let fine = || field(b"fine", b"x");
    assert_answered(Protocol::Http2, serve(b"200", fine(), fine()).await, b"fine").await;
    for status in STATUSES.into_iter().chain([""]) {
        let address = serve(status.as_bytes(), fine(), Vec::new()).await;
        assert_broken(Protocol::Http2, address, status.as_bytes()).await;
    }
    let others = [&b"Odd"[..], b"connection", b"transfer-encoding", b":odd"];
    let names = NAMES.into_iter().chain(others);
    let fields = names.map(|name| field(name, b"9"));
    for field in fields.chain(VALUES.iter().map(|value| field(b"odd", value))) {
        let head = serve(b"200", field.clone(), Vec::new()).await;
        assert_broken(Protocol::Http2, head, &field).await;
        let trailer = serve(b"200", fine(), field.clone()).await;
        assert_broken(Protocol::Http2, trailer, &field).await;
    }
}

/// Guards against a load report that is used although its status is none.
#[tokio::test]
async fn odd_status_is_no_load_report() {
    let body =
        r#"{"upstream":"a","incarnation":"1","running":0,"waiting":0,"age_ms":0,"leaving":false}"#;
    let report = |status: &str| {
        let length = body.len();
        format!("HTTP/1.1 {status} OK\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
    };
    let services = Service::new(Limits::default());
    assert!(services.load(plain(report("200")).await, TIMEOUT).await.is_ok());
    for status in STATUSES {
        let load = services.load(plain(report(status)).await, TIMEOUT).await;
        assert!(matches!(load, Err(Error::Broken { .. })), "{status}: {load:?}");
    }
}
