//! Requests of one form over one connection.

use std::net::SocketAddr;

use bytes::Bytes;
use goldcrestvale_standin::{
    client::{Connection, Protocol, Result},
    fleet::{CREDENTIAL, CUSTOMER},
};
use http::{HeaderValue, Method};
use uuid::Uuid;

use super::Worker;

/// The form of a request.
#[derive(Debug, Clone)]
pub struct Form {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// Whether each request has an idempotency key of its own.
    pub keyed: bool,
}

/// Sends requests of one form over one connection.
#[derive(Debug)]
pub struct Call {
    connection: Connection,
    form: Form,
}

impl Call {
    /// Opens the connection.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be reached.
    pub async fn open(address: SocketAddr, form: Form) -> Result<Self> {
        Ok(Self { connection: Connection::open(address, Protocol::Http1).await?, form })
    }

    async fn try_send(&mut self) -> Result<bool> {
        let form = &self.form;
        let mut request =
            self.connection.request(form.method.clone(), &form.path, form.body.clone())?;
        let headers = request.headers_mut();
        headers.insert("goldcrestvale-customer", HeaderValue::from_static(CUSTOMER));
        let bearer = format!("Bearer {CREDENTIAL}");
        let text = |text: String| HeaderValue::try_from(text).expect("a valid header value");
        headers.insert(http::header::AUTHORIZATION, text(bearer));
        if form.keyed {
            headers.insert("idempotency-key", text(Uuid::now_v7().to_string()));
        }
        Ok(self.connection.send(request).await?.status().is_success())
    }
}

impl Worker for Call {
    async fn send(&mut self) -> bool {
        self.try_send().await.unwrap_or(false)
    }
}
