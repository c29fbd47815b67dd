//! The client for the platform's instance list.

use std::{net::SocketAddr, time::Duration};

use crate::{client::Client, error::Result, message::Listing};

/// A client for the instance list.
#[derive(Clone, Debug)]
pub struct List {
    client: Client,
}

impl List {
    /// Creates a client. `timeout` limits each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client::new(address, timeout) }
    }

    /// Fetches the list, which may be stale.
    ///
    /// # Errors
    ///
    /// Fails if the platform is unreachable or its answer is malformed.
    pub async fn fetch(&self) -> Result<Listing> {
        self.client.get("/instances", Duration::ZERO).await?.decode()
    }
}
