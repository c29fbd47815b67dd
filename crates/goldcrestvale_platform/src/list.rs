//! Fetching the platform's list of instances.

use std::{net::SocketAddr, time::Duration};

use crate::{client::Client, error::Result, message::Listing};

/// A client of the instance list.
#[derive(Clone, Debug)]
pub struct List {
    client: Client,
}

impl List {
    /// Creates a client; `timeout` bounds each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client::new(address, timeout) }
    }

    /// Fetches the list, which lags behind the instances.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or answers in another form.
    pub async fn fetch(&self) -> Result<Listing> {
        self.client.get("/instances", Duration::ZERO).await?.decode()
    }
}
