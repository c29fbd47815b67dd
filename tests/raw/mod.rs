//! A plain service that writes its answers byte by byte, behind entry instances.
#![allow(clippy::unwrap_used, dead_code, unreachable_pub)]

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use goldcrestvale_standin::{
    caller::Caller,
    fleet::{Fleet, SERVICE},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// A service that answers each call with the bytes that were set last.
pub struct Raw {
    pub address: SocketAddr,
    answer: Arc<Mutex<Vec<u8>>>,
    arrivals: Arc<AtomicUsize>,
}

impl Raw {
    /// Starts the service and waits until the entry instances of a fleet know its load.
    pub async fn start(fleet: &Fleet) -> io::Result<Self> {
        let raw = Self::listen().await?;
        let listed = json!({
            "name": "raw-1", "role": "service", "pool": SERVICE, "address": raw.address,
            "domain": "local", "state": "live",
        });
        Caller::default().post(fleet.platform.address, "/instances", &listed).await?;
        for entry in 0..fleet.entries.len() {
            let is_known =
                |dump: &serde_json::Value| !dump["upstreams"]["rows"]["raw-1"]["report"].is_null();
            fleet.wait_dump(entry, is_known).await?;
        }
        Ok(raw)
    }

    async fn listen() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let raw = Self { address, answer: Arc::default(), arrivals: Arc::default() };
        let (answer, arrivals) = (raw.answer.clone(), raw.arrivals.clone());
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (answer, arrivals) = (answer.clone(), arrivals.clone());
                tokio::spawn(async move {
                    let mut request = [0; 8_192];
                    let read = stream.read(&mut request).await.unwrap_or_default();
                    let is_load = request[..read].windows(6).any(|text| text == b"/load ");
                    let bytes = if is_load {
                        load()
                    } else {
                        arrivals.fetch_add(1, Ordering::Relaxed);
                        answer.lock().unwrap().clone()
                    };
                    // The reader may have closed the connection already.
                    let _ = stream.write_all(&bytes).await;
                });
            }
        });
        Ok(raw)
    }

    /// Sets the answer to the calls from now on.
    pub fn answer_with(&self, bytes: impl Into<Vec<u8>>) {
        *self.answer.lock().unwrap() = bytes.into();
    }

    /// Returns the number of calls that arrived.
    pub fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::Relaxed)
    }
}

fn load() -> Vec<u8> {
    let body = json!({
        "upstream": "raw-1", "incarnation": "1", "running": 0, "waiting": 0, "age_ms": 0,
        "leaving": false,
    });
    answer("200", "", &body.to_string()).into_bytes()
}

/// Returns an answer with a status and further lines in its head.
pub fn answer(status: &str, lines: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} OK\r\nconnection: close\r\ncontent-length: {length}\r\n{lines}\r\n{body}"
    )
}
