//! Requests from one template over one connection.

use std::net::SocketAddr;

use bytes::Bytes;
use goldcrestvale_standin::{
    client::{Connection, Protocol, Result},
    fleet::{CREDENTIAL, CUSTOMER},
};
use http::{HeaderValue, Method};
use uuid::Uuid;

use super::Worker;

/// The template of a request.
#[derive(Debug, Clone)]
pub struct RequestTemplate {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// Whether each request has its own idempotency key.
    pub keyed: bool,
}

/// Sends requests from one template over one connection.
#[derive(Debug)]
pub struct Call {
    connection: Connection,
    template: RequestTemplate,
}

impl Call {
    /// Opens the connection.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be reached.
    pub async fn open(address: SocketAddr, template: RequestTemplate) -> Result<Self> {
        Ok(Self { connection: Connection::open(address, Protocol::Http1).await?, template })
    }

    async fn try_send(&mut self) -> Result<bool> {
        let template = &self.template;
        let mut request = self.connection.request(
            template.method.clone(),
            &template.path,
            template.body.clone(),
        )?;
        let headers = request.headers_mut();
        headers.insert("goldcrestvale-customer", HeaderValue::from_static(CUSTOMER));
        let bearer = format!("Bearer {CREDENTIAL}");
        let text = |text: String| HeaderValue::try_from(text).expect("a valid header value");
        headers.insert(http::header::AUTHORIZATION, text(bearer));
        if template.keyed {
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
