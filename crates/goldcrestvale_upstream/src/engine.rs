//! The client for model engines.

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::{exchange::Exchange, id::Request};
use http::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    error::{Error, RefusedSnafu, Result},
    message::{CacheEvents, Cancel, Kv, Load, Order, Orders, RefusalBody, Step, StepAnswer},
    pool::{Limits, Pool, Protocol, decode, json_request},
};

/// A client for any number of engines, over HTTP/2.
///
/// # Examples
///
/// ```no_run
/// use std::time::Duration;
///
/// use goldcrestvale_upstream::{engine::Engine, pool::Limits};
///
/// # async fn run() -> goldcrestvale_upstream::Result<()> {
/// let engines = Engine::new(Limits::default());
/// let address = "127.0.0.1:7100".parse().expect("an address");
/// let load = engines.load(address, Duration::from_millis(200)).await?;
/// println!("{} holds {:?}", load.upstream, load.holds);
/// # Ok(())
/// # }
/// ```
#[derive(Debug, Clone)]
pub struct Engine {
    pool: Pool,
}

impl Engine {
    /// Creates a client without connections.
    pub fn new(limits: Limits) -> Self {
        Self { pool: Pool::new(Protocol::Http2, limits) }
    }

    /// Returns the connection pool, for example to drop idle connections.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Runs one step.
    ///
    /// # Errors
    ///
    /// Fails if the engine refuses the request or the transport fails.
    pub async fn step(
        &self,
        address: SocketAddr,
        step: &Step,
        timeout: Duration,
    ) -> Result<StepAnswer> {
        self.post(address, "/v1/steps", step, timeout).await
    }

    /// Drops the state of an attempt, or of all attempts of a request.
    ///
    /// # Errors
    ///
    /// Fails if the transport fails; the engine then drops the state later by itself.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        cancel: &Cancel,
        timeout: Duration,
    ) -> Result<()> {
        let _: serde::de::IgnoredAny = self.post(address, "/v1/cancel", cancel, timeout).await?;
        Ok(())
    }

    /// Fetches the load report of an engine, which may be stale.
    ///
    /// # Errors
    ///
    /// Fails if the transport fails.
    pub async fn load(&self, address: SocketAddr, timeout: Duration) -> Result<Load> {
        self.get(address, "/v1/load", timeout).await
    }

    /// Fetches the cache events from a sequence number on; some may be missing.
    ///
    /// # Errors
    ///
    /// Fails if the transport fails.
    pub async fn events(
        &self,
        address: SocketAddr,
        from: u64,
        timeout: Duration,
    ) -> Result<CacheEvents> {
        self.get(address, &format!("/v1/events?from={from}"), timeout).await
    }

    /// Exports the KV cache of one attempt.
    ///
    /// # Errors
    ///
    /// Fails if the engine refuses the request or the transport fails.
    pub async fn export_kv(
        &self,
        address: SocketAddr,
        request: Request,
        attempt: u32,
        timeout: Duration,
    ) -> Result<Kv> {
        self.get(address, &format!("/v1/kv/{request}/{attempt}"), timeout).await
    }

    /// Imports a KV cache for the attempt that it specifies.
    ///
    /// # Errors
    ///
    /// Fails if the engine refuses the request or the transport fails.
    pub async fn import_kv(&self, address: SocketAddr, kv: &Kv, timeout: Duration) -> Result<()> {
        let _: serde::de::IgnoredAny = self.post(address, "/v1/kv", kv, timeout).await?;
        Ok(())
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Fails if the engine refuses the request or the transport fails.
    pub async fn order(&self, address: SocketAddr, order: &Order, timeout: Duration) -> Result<()> {
        let _: serde::de::IgnoredAny = self.post(address, "/v1/orders", order, timeout).await?;
        Ok(())
    }

    /// Fetches the layers that an engine holds and is loading; the answer is always current.
    ///
    /// # Errors
    ///
    /// Fails if the transport fails.
    pub async fn orders(&self, address: SocketAddr, timeout: Duration) -> Result<Orders> {
        self.get(address, "/v1/orders", timeout).await
    }

    async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T> {
        self.call(Method::GET, address, path, Vec::new(), timeout).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T> {
        let body = serde_json::to_vec(body)
            .map_err(|e| Error::Malformed { address, detail: e.to_string() })?;
        self.call(Method::POST, address, path, body, timeout).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<T> {
        let request = json_request(method, address, path, body)?;
        let reply = self.pool.call(address, request, Exchange::new(), timeout).await?;
        match reply.head.status {
            StatusCode::NO_CONTENT => decode(address, b"null"),
            status if status.is_success() && reply.body.is_empty() => decode(address, b"null"),
            status if status.is_success() => decode(address, &reply.body),
            _ => {
                let body: RefusalBody = decode(address, &reply.body)?;
                RefusedSnafu { address, refusal: body.refusal, detail: body.detail }.fail()
            }
        }
    }
}
