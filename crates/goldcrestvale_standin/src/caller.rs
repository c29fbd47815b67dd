//! A small HTTP client for tests, examples and measurement.

use std::{io, net::SocketAddr};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

/// An HTTP client that acts as a caller or an operator.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    headers: Vec<(String, String)>,
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// One server-sent event.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Name of the event.
    pub name: String,
    /// Id of the event; empty if it has none.
    pub id: String,
    /// Data, as JSON.
    pub data: Value,
}

/// A stream of server-sent events.
#[derive(Debug)]
pub struct Events {
    body: Incoming,
    pending: BytesMut,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new(&[])
    }
}

impl Caller {
    /// Creates a caller that adds the headers to each request.
    pub fn new(headers: &[(&str, &str)]) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        let to_owned = |&(name, value): &(&str, &str)| (name.to_owned(), value.to_owned());
        Self { client, headers: headers.iter().map(to_owned).collect() }
    }

    /// Returns a caller that sends a customer's name and credential.
    pub fn customer(name: &str, credential: &str) -> Self {
        let bearer = format!("Bearer {credential}");
        Self::new(&[("goldcrestvale-customer", name), ("authorization", &bearer)])
    }

    /// Returns a copy of the caller that uses separate HTTP/2 connections.
    pub fn over_http2(&self) -> Self {
        let client = Client::builder(TokioExecutor::new()).http2_only(true).build_http();
        Self { client, headers: self.headers.clone() }
    }

    /// Returns a copy of the caller with an additional header.
    pub fn with(&self, name: &str, value: &str) -> Self {
        let mut caller = self.clone();
        caller.headers.push((name.to_owned(), value.to_owned()));
        caller
    }

    /// Sends a request and returns the complete answer.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer is received.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> io::Result<Answer> {
        let response = self.open(address, method, path, body.into()).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        Ok(Answer { status: head.status, headers: head.headers, body })
    }

    /// Sends a `GET` request.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer is received.
    pub async fn get(&self, address: SocketAddr, path: &str) -> io::Result<Answer> {
        self.send(address, Method::GET, path, Bytes::new()).await
    }

    /// Sends a `POST` request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer is received.
    pub async fn post(&self, address: SocketAddr, path: &str, body: &Value) -> io::Result<Answer> {
        self.send(address, Method::POST, path, body.to_string()).await
    }

    /// Sends a `POST` request with a JSON body and reads the answer as server-sent events.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the status is not a success.
    pub async fn stream(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> io::Result<Events> {
        let response = self.open(address, Method::POST, path, body.to_string().into()).await?;
        if !response.status().is_success() {
            return Err(io::Error::other(format!("status {}", response.status())));
        }
        Ok(Events { body: response.into_body(), pending: BytesMut::new() })
    }

    async fn open(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> io::Result<Response<Incoming>> {
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(body)).map_err(io::Error::other)?;
        self.client.request(request).await.map_err(io::Error::other)
    }
}

impl Answer {
    /// Returns the body as JSON, or `null` if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns a header as text; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

impl Events {
    /// Returns the next event, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the stream is cut off.
    pub async fn next(&mut self) -> io::Result<Option<Event>> {
        loop {
            if let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
                let text = self.pending.split_to(end + 2);
                return Ok(Some(parse(&text)));
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(e)) => return Err(io::Error::other(e)),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.pending.extend_from_slice(data);
                    }
                }
            }
        }
    }

    /// Returns all events up to the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the stream is cut off.
    pub async fn collect(mut self) -> io::Result<Vec<Event>> {
        let mut events = Vec::new();
        while let Some(event) = self.next().await? {
            events.push(event);
        }
        Ok(events)
    }
}

fn parse(text: &[u8]) -> Event {
    let text = String::from_utf8_lossy(text);
    let field = |name: &str| {
        let prefix = format!("{name}: ");
        text.lines().find_map(|line| line.strip_prefix(&prefix)).unwrap_or_default().to_owned()
    };
    let data = serde_json::from_str(&field("data")).unwrap_or_default();
    Event { name: field("event"), id: field("id"), data }
}
